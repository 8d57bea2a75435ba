"""What an operator sets of the rebalancer: the table `[rebalance]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Ratio = Annotated[float, Meta(ge=1.0, le=10.0)]
Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Rate = Annotated[float, Meta(gt=0.0, le=1000.0)]


class RebalanceSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How unequal load may be, and how fast it is evened out. Ratios are of a form server's load to its share
    of the warm fleet's load.
    """

    enabled: Annotated[bool, Meta(description="Whether households are moved at all.")] = False
    start_at: Annotated[Ratio, Meta(description="What a form server holds over this is too much.")] = 1.25
    stop_at: Annotated[Ratio, Meta(description="Moving ends where none holds more than this.")] = 1.16
    fill_to: Annotated[Ratio, Meta(description="No form server is filled beyond this by moves.")] = 1.05
    cores: Annotated[
        float,
        Meta(
            ge=0.0, le=1024.0, description="Cores of a form server of size 1; 0: not known, balance always."
        ),
    ] = 0.0
    spare_below: Annotated[
        float,
        Meta(
            gt=0.0, le=1.0, description="With cores: nobody is moved off a form server used less than this."
        ),
    ] = 0.7
    patience_s: Annotated[
        Seconds,
        Meta(description="Moving begins once the excess over start_at, times its seconds, comes to this."),
    ] = 1.5
    rest_s: Annotated[Seconds, Meta(description="Nobody is moved again within this time.")] = 60.0
    first_per_s: Annotated[
        Rate, Meta(description="Connections a second that all nodes together move to a form server at first.")
    ] = 0.8
    most_per_s: Annotated[
        Rate, Meta(description="Connections a second that all nodes together move to a form server at most.")
    ] = 2.0
    widening: Annotated[
        Ratio, Meta(description="Growth of the pace in a second in which the balance became better.")
    ] = 1.5
    hold_s: Annotated[Seconds, Meta(description="Nothing is moved for so long after a sign of trouble.")] = (
        3.0
    )
    tell_s: Annotated[Seconds, Meta(description="The least time between two datagrams of a node.")] = 2.0
    neighbours: Annotated[
        bool, Meta(description="Whether nodes tell each other their loads, where the platform lets them.")
    ] = True

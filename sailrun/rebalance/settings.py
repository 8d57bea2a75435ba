"""The operator's settings of the rebalancer: the table `[rebalance]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Ratio = Annotated[float, Meta(ge=1.0, le=10.0)]
Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Rate = Annotated[float, Meta(gt=0.0, le=1000.0)]


class RebalanceSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The imbalance that is allowed, and the rate of moves.

    A ratio is a form server's load divided by its share of the load of all form servers that are out of slow
    start.
    """

    enabled: Annotated[bool, Meta(description="Whether clients are moved to balance the load.")] = False
    start_at: Annotated[
        Ratio, Meta(description="Moving begins when a form server's ratio is over this for long enough.")
    ] = 1.25
    stop_at: Annotated[Ratio, Meta(description="Moving ends when no form server's ratio is over this.")] = (
        1.16
    )
    fill_to: Annotated[Ratio, Meta(description="Moves do not raise a form server's ratio over this.")] = 1.05
    cores: Annotated[
        float,
        Meta(
            ge=0.0,
            le=1024.0,
            description="Cores of a form server of size 1; 0: unknown, any imbalance counts.",
        ),
    ] = 0.0
    spare_below: Annotated[
        float,
        Meta(
            gt=0.0,
            le=1.0,
            description="With cores: no client is moved off a form server with a utilization below this.",
        ),
    ] = 0.7
    patience_s: Annotated[
        Seconds,
        Meta(
            description="Moving begins when the excess over start_at, integrated over seconds, reaches this."
        ),
    ] = 1.5
    rest_s: Annotated[
        Seconds, Meta(description="A client that reconnected is not moved within this time.")
    ] = 60.0
    first_per_s: Annotated[
        Rate,
        Meta(
            description="Initial rate: connections a second that all nodes together move to one form server."
        ),
    ] = 0.8
    most_per_s: Annotated[
        Rate,
        Meta(
            description="Maximum rate: connections a second that all nodes together move to one form server."
        ),
    ] = 2.0
    widening: Annotated[
        Ratio, Meta(description="Factor by which the rate grows in a second in which the balance improved.")
    ] = 1.5
    hold_s: Annotated[Seconds, Meta(description="Seconds without moves after a sign of trouble.")] = 3.0
    tell_s: Annotated[Seconds, Meta(description="Minimum seconds between two datagrams of a node.")] = 2.0
    neighbours: Annotated[
        bool,
        Meta(description="Whether nodes report their loads to each other, where the platform allows it."),
    ] = True

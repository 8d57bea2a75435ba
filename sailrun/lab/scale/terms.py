"""The terms of a node in a scale run: the program's defaults, with every part of the fleet switched on."""

from __future__ import annotations

from sailrun.lab.scale.plan import Place, ScalePlan, voters_of
from sailrun.members.terms import MembersTerms
from sailrun.owners.agent import AgentTerms
from sailrun.owners.terms import OwnersTerms, PermitsTerms, ReaderTerms
from sailrun.replica.terms import ReplicaTerms

FLEET = "scale"
# Nodes join by the first so many, which stand in as many regions.
JOIN_BY = 3


def node_terms(plan: ScalePlan, places: list[Place], place: Place) -> AgentTerms:
    """The terms of one node. The owner of the rebalancer's pace is kept, although nobody asks it."""
    joins = tuple(p.address for p in places[:JOIN_BY] if p.name != place.name)
    return AgentTerms(
        MembersTerms(enabled=True, fleet=FLEET, name=place.name, listen=place.address, join=joins),
        OwnersTerms(enabled=True, voters=voters_of(places)),
        PermitsTerms(enabled=True),
        ReaderTerms(enabled=True),
        pace=True,
        replica=ReplicaTerms(enabled=plan.replica),
    )

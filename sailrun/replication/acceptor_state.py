"""What a voter remembers of its promises and of the other voters, and how that is journalled."""

from __future__ import annotations

from typing import NamedTuple

from sailrun.replication.journal import ReplicaJournal

# A voter's crash vector: by name, the latest incarnation of each voter that it knows of (Michael and others
# 2017). An incarnation is the stretch between two losses of a voter's memory, numbered by the voter.
CrashVector = dict[str, int]


class DurableAcceptorState(NamedTuple):
    """As the journal has it, in this order."""

    incarnation: int
    promised_term: int
    crash_vector: CrashVector
    is_recovered: bool


class AcceptorState:
    """A voter's memory; shared by what answers leaders and what recovers it after a restart."""

    def __init__(self, journal: ReplicaJournal, is_recovered: bool) -> None:
        self._journal = journal
        self.incarnation = 0
        self.crash_vector: CrashVector = {}
        self.promised_term = 0
        self.is_recovered = is_recovered  # nothing that the voter promised or accepted is forgotten
        self.is_verifying_folder = False  # its folder is being compared with what others know of it

    def get_durable_state(self) -> DurableAcceptorState:
        """The state as it is to be found after a restart."""
        is_recovered = self.is_recovered or self.is_verifying_folder
        return DurableAcceptorState(
            self.incarnation, self.promised_term, dict(self.crash_vector), is_recovered
        )

    def save(self) -> None:
        """Records the state in the journal."""
        self._journal.write_acceptor_state(*self.get_durable_state())

    def promise(self, term: int) -> None:
        """Accepts nothing of a lower term from now on."""
        if term > self.promised_term:
            self.promised_term = term
            self.save()

    def observe_incarnation(self, voter: str, incarnation: int) -> None:
        """Notes the incarnation of a voter, unless a later one is known."""
        self.crash_vector[voter] = max(incarnation, self.crash_vector.get(voter, 0))

    def merge_crash_vector(self, name: str, crash_vector: CrashVector) -> None:
        """Takes over what another voter knows of the others; of itself, voter `name` knows best."""
        for voter, incarnation in crash_vector.items():
            if voter != name:
                self.observe_incarnation(voter, incarnation)

"""A voter's promised term, crash vector and recovery status, and how they are written to the journal."""

from __future__ import annotations

from typing import NamedTuple

from sailrun.replication.journal import ReplicaJournal

# A voter's crash vector: the latest known incarnation of each voter, by name (Michael and others 2017). An
# incarnation is the period between two losses of a voter's state; the voter numbers its incarnations.
CrashVector = dict[str, int]


class DurableAcceptorState(NamedTuple):
    """The state as the journal stores it, in this order."""

    incarnation: int
    promised_term: int
    crash_vector: CrashVector
    is_recovered: bool


class AcceptorState:
    """A voter's state, shared by `Acceptor` and `AcceptorRecovery`."""

    def __init__(self, journal: ReplicaJournal, is_recovered: bool) -> None:
        self._journal = journal
        self.incarnation = 0
        self.crash_vector: CrashVector = {}
        self.promised_term = 0
        self.is_recovered = is_recovered  # the state has everything that the voter promised or accepted
        self.is_verifying_folder = False  # checks with the other voters whether the folder is up to date

    def get_durable_state(self) -> DurableAcceptorState:
        """Returns the state to restore after a restart."""
        is_recovered = self.is_recovered or self.is_verifying_folder
        return DurableAcceptorState(
            self.incarnation, self.promised_term, dict(self.crash_vector), is_recovered
        )

    def save(self) -> None:
        """Writes the state to the journal."""
        self._journal.write_acceptor_state(*self.get_durable_state())

    def promise(self, term: int) -> None:
        """Promises to accept nothing of a lower term."""
        if term > self.promised_term:
            self.promised_term = term
            self.save()

    def observe_incarnation(self, voter: str, incarnation: int) -> None:
        """Stores the incarnation of a voter unless a later one is known."""
        self.crash_vector[voter] = max(incarnation, self.crash_vector.get(voter, 0))

    def merge_crash_vector(self, name: str, crash_vector: CrashVector) -> None:
        """Merges another voter's crash vector, except for the entry of voter `name` itself, which is the
        authority on its own incarnation.
        """
        for voter, incarnation in crash_vector.items():
            if voter != name:
                self.observe_incarnation(voter, incarnation)

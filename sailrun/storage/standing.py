"""Whether a voter's folder is the newest there is of it. Pure.

A folder restored from a backup, copied, or short of its last generation looks like any other to itself. So a
voter has the others note how far its folder has come, in their own, and promises nothing before a majority
has. A voter that starts asks them first:

- one that goes by its folder (`ASKS`) votes once a majority, itself among it, has answered, the others that
  live were waited for a moment, and nobody knew a newer life or a later position of it;
- one that has none to go by (`LEARNS`) takes a life above all that a majority knows, has a majority note it,
  and is to be told everything else by the others: no older folder under its name is gone by from then on.

What was promised is so missed in one case alone: no voter that noted it is there when an older folder starts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from sailrun.storage.entries import Noted
from sailrun.storage.messages import Stand, Stood

ASK_US, TELL_US = 250_000, 250_000
# Once a majority has answered, the other voters that live are waited for so long: one of them may know more.
GRACE_US = 1_000_000
GOES_BY, LEARNS = 1, 2  # what a Stand begins
Post = tuple[str, Stand | Stood]


class Trust(Enum):
    ASKS = "asks"
    TRUSTED = "trusted"
    LEARNS = "learns"
    LEARNED = "learned"  # its new life is noted by a majority
    OLD = "old"  # the fleet knew a newer folder; until it has begun anew


@dataclass(slots=True)
class Own:
    """This voter's own folder."""

    identity: str
    run: int  # this process's own number
    life: int  # that of this process, as the folder counts them
    loaded: int  # the position that was found at its start
    synced: int  # what is on the disk by now


class Standing:
    def __init__(
        self,
        name: str,
        voters: Callable[[], list[str]],
        majority: Callable[[set[str]], bool],
        note: Callable[[Noted], None],
        number: int,
        lives: Callable[[str], bool],
        off: frozenset[str] = frozenset(),
    ) -> None:
        """`note` has a note written down. `number` begins this process's own numbers. `lives`: as far as
        members know.
        """
        self._lives = lives
        self._name, self._voters, self._majority, self._note = name, voters, majority, note
        self._number, self._off = number, off
        self.notes: dict[str, Noted] = {}
        self.own: Own | None = None
        self.trust = Trust.LEARNS
        self.newest: Noted | None = None  # what somebody knew of this voter that its folder does not
        self.why_old = ""
        self._answered: dict[str, Noted] = {}
        self._asked_us = 0
        self._asked = 0
        self._told: dict[str, int] = {}  # by voter, the position that it has noted
        self._telling: dict[int, tuple[str, int]] = {}
        self._heard_enough = False  # a majority knows of no newer folder
        self._grace_us = 0  # until when the others are waited for as well
        self._told_us = 0
        self._recalls: dict[str, int] = {}  # by voter without memory, in which process of its that was

    def take_up(self, own: Own, sound: bool, notes: dict[str, Noted]) -> None:
        """`sound`: as far as the folder itself can tell."""
        self.own, self.notes = own, {**notes, **self.notes}
        self.trust = Trust.ASKS if sound else Trust.LEARNS
        if "generation" in self._off and sound:
            self.trust = Trust.TRUSTED

    @property
    def registered(self) -> bool:
        """Whether no older folder of this voter can be gone by any more."""
        return self.own is None or self.trust in (Trust.TRUSTED, Trust.LEARNED)

    # ------------------------------------------------------------------ what others tell

    def hear(self, sender: str, told: Stand) -> Stood:
        """Notes how far another voter's folder has come, and tells what was known before. What contradicts
        that is not noted: the sender is to hear of it, however often it has to ask.
        """
        before = self.notes.get(sender, Noted(sender, "", 0, 0))
        noted = Noted(sender, told.identity, told.life, told.position, told.run)
        if told.begins == GOES_BY:
            takes = told.life > before.life and not _older(noted, told.life - 1, before)
        elif told.begins == LEARNS:
            takes = told.life > before.life
        else:
            same = (told.run, told.life, told.identity) == (before.run, before.life, before.identity)
            takes = told.life > before.life or (same and told.position > before.position)
        if takes:
            self._set(noted)
        return Stood(told.number, before.identity, before.life, before.position, before.run)

    def forgot(self, sender: str, process: int) -> None:
        """That voter has started without a memory: whatever folder it had is older than what it does now."""
        if self._recalls.get(sender) != process:
            self._recalls[sender] = process
            before = self.notes.get(sender)
            if before is not None and before.run != process:  # else it has a folder, and has told of it
                self._set(Noted(sender, "", before.life + 1, 0, process))

    def _set(self, noted: Noted) -> None:
        self.notes[noted.voter] = noted
        self._note(noted)

    # ------------------------------------------------------------------ this voter's own

    def told(self, sender: str, answer: Stood) -> None:
        own = self.own
        telling = self._telling.pop(answer.number, None)
        if telling is not None:
            if own is not None and answer.run != own.run and answer.life >= own.life:
                # It was not there to be asked when this life was taken: a later one is taken, and noted.
                if self.trust is Trust.LEARNED:
                    own.life, self.trust = answer.life + 1, Trust.LEARNS
                    self._ask_again()
                elif self.trust is Trust.TRUSTED:
                    # Out of reach when this voter asked: its folder is an older one after all.
                    known = Noted(self._name, answer.identity, answer.life, answer.position, answer.run)
                    self.trust, self.newest, self.why_old = Trust.OLD, known, "a later life is known"
                return
            self._told[sender] = max(telling[1], self._told.get(sender, 0))
            return
        if own is None or answer.number != self._asked or sender not in self._voters():
            return
        known = Noted(self._name, answer.identity, answer.life, answer.position, answer.run)
        self._answered[sender] = known
        heard = self._majority({*self._answered, self._name})
        if self.trust is Trust.ASKS:
            self._compare(own, known)
            self._heard_enough = heard
        elif self.trust is Trust.LEARNS and heard:
            mine = (own.run, own.life, own.identity)
            if all((k.run, k.life, k.identity) == mine for k in self._answered.values()):
                self.trust = Trust.LEARNED
            else:
                above = max(k.life for k in self._answered.values())
                if above >= own.life:
                    own.life = above + 1
                self._ask_again()

    def _compare(self, own: Own, known: Noted) -> None:
        """What another voter knew of this one against what its folder has."""
        mine = Noted(self._name, own.identity, own.life, own.loaded, own.run)
        why = _older(mine, own.life - 1, known)
        if known.run != own.run and why:
            self.trust, self.newest, self.why_old = Trust.OLD, known, why

    def known(self, position: int) -> bool:
        """Whether a majority knows that this folder has come so far. What was found at the start was compared
        with what they know.
        """
        if self.own is not None and self.trust is Trust.TRUSTED and position <= self.own.loaded:
            return True
        return self._majority({self._name, *(n for n, told in self._told.items() if told >= position)})

    def begin_anew(self, identity: str) -> None:
        """After `OLD`: with another folder, as one that has none to go by."""
        assert self.own is not None
        life = max([self.own.life, *(k.life for k in self._answered.values())]) + 1
        self.own = Own(identity, self.own.run, life, 0, 0)
        self.trust = Trust.LEARNS
        self._ask_again()

    def _ask_again(self) -> None:
        self._answered.clear()
        self._asked = self._asked_us = 0

    # ------------------------------------------------------------------ time

    @property
    def asking(self) -> bool:
        return self.own is not None and self.trust in (Trust.ASKS, Trust.LEARNS) and bool(self.own.life)

    def due_us(self) -> int | None:
        if self.asking:
            return self._asked_us
        return self._told_us + TELL_US if self._untold() else None

    def _untold(self) -> list[str]:
        own = self.own
        if own is None or self.trust not in (Trust.TRUSTED, Trust.LEARNED):
            return []
        return [n for n in self._voters() if n != self._name and self._told.get(n, -1) < own.synced]

    def turn(self, now_us: int) -> list[Post]:
        own = self.own
        if own is None:
            return []
        if self.trust is Trust.ASKS and self._heard_enough:
            self._grace_us = self._grace_us or now_us + GRACE_US
            missing = [n for n in self._voters() if n != self._name and n not in self._answered]
            if now_us >= self._grace_us or not any(self._lives(n) for n in missing):
                self.trust = Trust.TRUSTED
                return []
        if self.asking and now_us >= self._asked_us:
            self._asked_us = now_us + ASK_US
            if not self._asked:
                self._number += 1
                self._asked = self._number
            begins = GOES_BY if self.trust is Trust.ASKS else LEARNS
            stand = Stand(self._asked, own.identity, own.life, own.loaded, own.run, begins)
            alone = [n for n in self._voters() if n != self._name]
            if not alone or self._majority({self._name}):
                self.trust = Trust.TRUSTED if self.trust is Trust.ASKS else Trust.LEARNED
                return []
            return [(n, stand) for n in alone]
        if now_us >= self._told_us + TELL_US:
            return self.tell(now_us)
        return []

    def tell(self, now_us: int) -> list[Post]:
        """How far this folder has come, to whoever has not noted it yet: as often as something was
        promised.
        """
        own, posts = self.own, list[Post]()
        if own is None:
            return []
        self._told_us = now_us
        for name in self._untold():
            self._number += 1
            self._telling[self._number] = (name, own.synced)
            while len(self._telling) > 64:
                del self._telling[next(iter(self._telling))]
            posts.append((name, Stand(self._number, own.identity, own.life, own.synced, own.run)))
        return posts


def _older(mine: Noted, loaded_life: int, known: Noted) -> str:
    """Why a folder is older than what is known of it; empty: it is not. `loaded_life`: of the process
    before.
    """
    if known.life > loaded_life:
        return "a later life is known"
    if known.identity == mine.identity:
        return "a later position is known" if known.position > mine.position else ""
    return "another folder is known of that life" if known.life == loaded_life and known.life else ""

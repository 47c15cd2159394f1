"""Shared budgets without I/O: one lessor hands out pieces, holders spend them, the sum keeps to the rule.

The rule (WIRE 2, rule 4): within any window of length W, a cold node is sent no more work than M x P x W x C
(fall multiple, present capacity as a part, window, capacity). Routers that know nothing of each other share
this by their number: each keeps to 1/N of it, and what one does not use is lost. With leases, a part `own`
of the rule stays with the N guards (the fallback, without a word from anybody), the rest is handed out in
pieces to whoever has use for it.

Invariant, for every window of length W: own x rule (the guards together) + what was spent of pieces <= rule.

- A piece is good for `life` from the moment the holder *asked*, by the holder's own steady clock. The lessor
  books it at the moment it grants, which is later; so a piece can't be spent later than `life` after it was
  booked.
- The lessor grants no more than (1 - own) x rule within any W + life. What is spent within W was granted
  within W + life before the window's end: the invariant. The rule is
  the one told last: it rises as a node warms up, and is told by the least capacity that the node can have.
- A piece that is given back unspent is booked as not granted; one whose holder died ages out like any other.
- An answer that comes twice, or to a question that was given up, is passed over by its number. A question
  that is asked again under its number gets the same piece, once.
- A lessor that knows nothing of the past grants nothing for W + life: no journal is needed for the
  invariant. A steady clock that jumps back (another boot) counts as knowing nothing.

Times are seconds of a steady clock that all processes of a host share; work is in the unit of the rule.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

OWN = 0.3  # part of the rule that stays with the guards of their own
MANY = 5  # holders from which on that part shrinks
LIFE_PART = 0.125  # of the window, for which a piece is good: what is lent stays booked for so much longer
PIECE_PART = 0.02  # of what is to be handed out within a window, as one piece


def own_part(holders: int) -> float:
    """The part of the rule that stays with the guards of so many holders.

    Among many, a guard's part does not carry one piece of work, and all of theirs together lies idle.
    """
    return OWN * min(1.0, MANY / max(1, holders))


class Grant(NamedTuple):
    """A piece: so much work for that node, under the number of its question."""

    number: int
    node: int
    work: float


@dataclass(slots=True)
class _Booked:
    at: float
    holder: str
    number: int
    work: float


@dataclass(slots=True)
class _Account:
    """What was granted for one node, newest last, and the rule that holds."""

    rule: float
    booked: deque[_Booked] = field(default_factory=deque)
    total: float = 0.0


class Lessor:
    """Hands out pieces of the rule."""

    def __init__(
        self, window: float, now: float, own: float = OWN, piece: float = PIECE_PART, life: float = LIFE_PART
    ) -> None:
        """`window` in seconds; knows nothing of what was granted before, so nothing is granted for a
        while.
        """
        self.window = window
        self.life = window * life
        self._own = own
        self._piece = piece
        self._silent_until = now + window + self.life
        self._accounts: dict[int, _Account] = {}
        self._answers: dict[str, dict[int, Grant]] = {}
        self._last = now
        self.granted = 0
        self.refused = 0

    def rule(self, node: int, allowed: float, now: float) -> None:
        """What the rule allows a cold node within one window, from now on; it is told again as it rises."""
        self._time(now)
        account = self._accounts.get(node)
        if account is None:
            self._accounts[node] = _Account(allowed)
        else:
            account.rule = allowed

    def forget(self, node: int) -> None:
        """The node is warm or gone."""
        self._accounts.pop(node, None)

    def ask(self, holder: str, number: int, node: int, now: float, wanted: float = 0.0) -> Grant | None:
        """A holder asks for a piece under a number of its own; None if there is nothing left now.

        `wanted`: work that it has at hand; less is of no use to it. The more holders there are, the nearer to
        it is the piece: what one of many does not spend in time is lost to all.
        """
        self._time(now)
        if (known := self._answers.get(holder, {}).get(number)) is not None:
            return known
        account = self._accounts.get(node)
        if account is None or now < self._silent_until:
            self.refused += 1
            return None
        self._age(account, now)
        most = (1.0 - self._own) * account.rule
        size = most * self._piece
        if wanted > 0:
            size = max(wanted, size / max(1, len(self._answers)))
        work = min(size, most - account.total)
        if work < max(min(wanted, size), size * 0.5):
            self.refused += 1
            return None
        account.booked.append(_Booked(now, holder, number, work))
        account.total += work
        grant = Grant(number, node, work)
        self._answers.setdefault(holder, {})[number] = grant
        self.granted += 1
        return grant

    def give_back(self, holder: str, number: int, unspent: float, now: float) -> None:
        """A holder has no use for the rest of a piece. Told twice, or for more than was granted, it
        changes nothing.
        """
        self._time(now)
        grant = self._answers.get(holder, {}).pop(number, None)
        if grant is None:
            return
        account = self._accounts.get(grant.node)
        for booked in account.booked if account else ():
            if booked.holder == holder and booked.number == number and account is not None:
                back = min(max(0.0, unspent), booked.work)
                booked.work -= back
                account.total -= back
                return

    def gone(self, holder: str) -> None:
        """A holder is no more. What it held may be spent: it ages out, and its numbers are forgotten."""
        self._answers.pop(holder, None)

    def booked(self, node: int, now: float) -> float:
        """Work that is granted and not aged out."""
        account = self._accounts.get(node)
        if account is None:
            return 0.0
        self._age(account, now)
        return account.total

    def _time(self, now: float) -> None:
        if (
            now < self._last
        ):  # guards against a clock that was set back: what was booked can't be dated any more
            self._accounts.clear()
            self._answers.clear()
            self._silent_until = now + self.window + self.life
        self._last = now

    def _age(self, account: _Account, now: float) -> None:
        until = now - self.window - self.life
        while account.booked and account.booked[0].at <= until:
            old = account.booked.popleft()
            account.total -= old.work
            answers = self._answers.get(old.holder)
            if answers is not None:
                answers.pop(old.number, None)
        if not account.booked:
            account.total = 0.0  # no sum of rounding is carried on


@dataclass(slots=True)
class _Piece:
    left: float
    until: float
    number: int


class Holder:
    """Pieces that one router holds. It never waits: without a piece, the guard of its own decides."""

    def __init__(self, life: float) -> None:
        """`life`: seconds for which a piece is good, from when it was asked for."""
        self._life = life
        self._number = 0
        self._asked: dict[int, tuple[int, float]] = {}  # by number: node, and when
        self._asking: dict[int, int] = {}  # by node: the number that is out
        self._pieces: dict[int, deque[_Piece]] = {}
        self._last = 0.0
        self._over: list[tuple[int, float]] = []  # pieces whose time is over, to be given back
        self.late = 0  # answers that came when the piece was over, or nobody waited

    def wants(self, node: int, now: float) -> int | None:
        """Asks for a piece; its number, or None while one is out for this node."""
        self._time(now)
        number = self._asking.get(node)
        if number is not None and now < self._asked[number][1] + self._life:
            return None
        if number is not None:
            del self._asked[number]  # given up: its answer would be late
        self._number += 1
        self._asked[self._number] = node, now
        self._asking[node] = self._number
        return self._number

    def granted(self, grant: Grant, now: float) -> bool:
        """An answer; False if it is late, comes twice, or was never asked for."""
        self._time(now)
        asked = self._asked.get(grant.number)
        if asked is None or asked[0] != grant.node:
            self.late += 1
            return False
        self.refused(grant.number)  # the question is over, in any case
        if not asked[1] <= now < asked[1] + self._life:
            self.late += 1
            return False
        piece = _Piece(grant.work, asked[1] + self._life, grant.number)
        self._pieces.setdefault(grant.node, deque()).append(piece)
        return True

    def hand_over(self, node: int) -> list[tuple[int, float, float]]:
        """Pieces that somebody else spends from now on: (number, work, until when)."""
        return [(piece.number, piece.left, piece.until) for piece in self._pieces.pop(node, ())]

    def refused(self, number: int) -> None:
        """There is nothing now; the node may be asked for again when its question has aged."""
        asked = self._asked.pop(number, None)
        if asked is not None and self._asking.get(asked[0]) == number:
            del self._asking[asked[0]]

    def spend(self, node: int, work: float, now: float) -> bool:
        """Takes work from the pieces, all of it or nothing."""
        self._time(now)
        pieces = self._pieces.get(node)
        if not pieces:
            return False
        while pieces and not now < pieces[0].until:
            over = pieces.popleft()
            self._over.append((over.number, over.left))
        if sum(piece.left for piece in pieces) < work:
            return False
        while work > 0.0 and pieces:
            part = min(work, pieces[0].left)
            pieces[0].left -= part
            work -= part
            if pieces[0].left <= 0.0:
                pieces.popleft()
        return True

    def left(self, node: int, now: float) -> float:
        """Work that may still be taken."""
        return sum(piece.left for piece in self._pieces.get(node, ()) if now < piece.until)

    def idle(self, now: float) -> list[tuple[int, float]]:
        """Pieces whose time is over, to be given back, each once: (number, unspent work)."""
        self._time(now)
        for node, pieces in list(self._pieces.items()):
            while pieces and not now < pieces[0].until:
                over = pieces.popleft()
                self._over.append((over.number, over.left))
            if not pieces:
                del self._pieces[node]
        found, self._over = [one for one in self._over if one[1] > 0], []
        return found

    def _time(self, now: float) -> None:
        """Guards against a clock that was set back: by it, pieces would be good for longer than they are."""
        if now < self._last:
            self._pieces.clear()
            self._asked.clear()
            self._asking.clear()
            self._over.clear()
        self._last = now

"""Who is asked next, and what becomes of a question: answered, refused, answered to others, or not at all."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import IntEnum
from functools import lru_cache

from stonecove.gossip.claims import NOBODY, Claim

RETENTION = 5.0  # seconds for which a number that was sent is known
MAX_RETAINED = 4096


class Purpose(IntEnum):
    """Why a ping went out."""

    PROBE = 0  # the period's own
    JOIN = 1  # our life asks to be counted
    HELP = 2  # another asked us to
    LOST = 3  # one who was given up may be back


@dataclass(slots=True)
class Sent:
    """A datagram that went out. `slot` is whom it went to."""

    slot: int
    at: float
    purpose: Purpose | None = None
    ident: int = NOBODY
    asker: tuple[int, int] | None = None  # slot and number of who asked for help
    done: bool = False
    claims: tuple[Claim, ...] = ()  # rumours that it carried


class Outbox:
    """Numbers of what was sent, so that an answer or a refusal is laid to the right question, once."""

    def __init__(self, seed: int) -> None:
        """Numbers begin anywhere: those of an earlier life are none of ours."""
        self._number = random.Random(seed).getrandbits(31)
        self._sent: dict[int, Sent] = {}

    def number(self, sent: Sent) -> int:
        """Books one; the oldest are forgotten."""
        self._number = self._number % 0xFFFFFFFF + 1
        self._sent[self._number] = sent
        while (first := next(iter(self._sent))) and (
            len(self._sent) > MAX_RETAINED or self._sent[first].at < sent.at - RETENTION
        ):
            del self._sent[first]
        return self._number

    def find(self, number: int, slot: int) -> Sent | None:
        """What went out under that number, to there."""
        sent = self._sent.get(number)
        return sent if sent is not None and sent.slot == slot else None


def target(idents: list[int], mine: int, turn: int) -> int | None:
    """Whom to probe in that turn, of ids in order.

    All go round the same ring by the same step, so that in each turn each is probed once; the steps are
    shuffled alike everywhere. Guards against one that nobody happens to probe for several turns. Where tables
    or clocks differ it is still a round: within as many turns as there are others, each was asked.
    """
    if mine not in idents:
        idents = sorted([*idents, mine])
    count = len(idents)
    if count < 2:
        return None
    return idents[(idents.index(mine) + _steps(count)[turn % (count - 1)]) % count]


@lru_cache(maxsize=8)
def _steps(count: int) -> tuple[int, ...]:
    steps = list(range(1, count))
    random.Random(count).shuffle(steps)
    return tuple(steps)


@dataclass(slots=True)
class Probe:
    """The period's own question."""

    ident: int
    slot: int
    number: int
    at: float
    ends: float
    asked: bool = False  # others were
    helpers: set[int] = field(default_factory=set)  # slots that were asked
    witnesses: set[int] = field(default_factory=set)  # of these, who could not reach it either
    answered: bool = False

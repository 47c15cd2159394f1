"""What routers tell of each other. A claim is about one *generation* of a router, from its start to its end.

Claims on one router are ordered, and the greater one holds: a later generation; within one its end, which
nobody can take back; then the higher incarnation, which only the router itself raises; then the worse state.
Being a total order, it gives the same whatever the order in which claims arrive, and however often.
"""

from __future__ import annotations

import hashlib
from enum import IntEnum
from typing import NamedTuple

MAX_GENERATION = (1 << 48) - 1
MAX_INCARNATION = (1 << 16) - 1
NOBODY = 0  # no router's id


class MemberState(IntEnum):
    """How a router stands, by its own word or that of others; worse is greater."""

    ALIVE = 0
    LEAVING = 1  # its own word: it finishes what it took
    SUSPECT = 2  # did not answer, neither us nor those who asked for us
    FAILED = 3  # suspected for long enough; it may still be there, cut off or stopped
    LEFT = 4  # its own last word: this life is over
    GONE = 5  # proven: its address refused, or another life is there; this life is over


def over(state: MemberState) -> bool:
    """Whether that life has ended for sure."""
    return state >= MemberState.LEFT


class Claim(NamedTuple):
    """One router's standing, as somebody tells it. `life` is the Unix millisecond at which it began."""

    ident: int
    generation: int
    incarnation: int
    state: MemberState
    zone: int

    def order(self) -> tuple[int, bool, int, int]:
        """By which words of the same router are compared."""
        return self.generation, over(self.state), self.incarnation, int(self.state)


class Kind(IntEnum):
    """Kinds of datagrams."""

    PING = 1  # answer me; who answers counts the sender from then on
    ACK = 2  # to a ping, under its number
    ASK = 3  # ping `about` for me
    VIA = 4  # to an ask: it answered
    MISS = 5  # to an ask: it did not answer in time, but I am here
    NEWS = 6  # words alone
    SYNC = 7  # digests of my table by bucket: tell me what differs
    STALE = 8  # a greater life than yours was heard from your address or under your name: `life`


class Datagram(NamedTuple):
    """What goes from router to router. `number` is the sender's own, `answers` that of what it answers."""

    kind: Kind
    number: int
    sender: Claim
    answers: int = 0
    about: int = NOBODY
    generation: int = 0
    view: int = 0
    view_digest: int = 0
    table_digest: int = 0
    paused: float = 0.0  # seconds that the sender was stopped for, if that was of late
    joined: bool = False  # the sender acts on its whole share: it has been answered by all
    claims: tuple[Claim, ...] = ()
    buckets: tuple[int, ...] = ()


def ident_of(name: str) -> int:
    """A router's id: 64 bits of a hash of its name, never 0."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") or 1


def shown(ident: int) -> str:
    """An id as people are told it."""
    return f"r-{ident:016x}"

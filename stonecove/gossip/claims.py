"""Claims that routers make about each other. A claim is about one *generation*: one process, start to end.

Claims about one router are ordered, and the greater one holds: a later generation; within a generation its
end, which nobody can take back; then the higher incarnation, which only the router itself raises; then the
worse state. Because the order is total, the result depends neither on the order in which claims arrive nor on
how often they do.
"""

from __future__ import annotations

import hashlib
from enum import IntEnum
from typing import NamedTuple

MAX_GENERATION = (1 << 48) - 1
MAX_INCARNATION = (1 << 16) - 1
NO_MEMBER = 0  # never the id of a router


class MemberState(IntEnum):
    """The state of a router, by its own claim or by those of others; a worse state is greater."""

    ALIVE = 0
    LEAVING = 1  # claimed by itself: it finishes its requests and takes no more
    SUSPECT = 2  # answered neither this router's ping nor indirect pings
    FAILED = 3  # suspected for the whole timeout; it may still run, partitioned or paused
    LEFT = 4  # claimed by itself at its end: this generation has ended
    GONE = 5  # proven: its address refused a datagram or has another generation; this one has ended


def has_ended(state: MemberState) -> bool:
    """Return whether a generation in this state has certainly ended."""
    return state >= MemberState.LEFT


class Claim(NamedTuple):
    """The state of one router as some router claims it. `generation` is its process start in Unix ms."""

    ident: int
    generation: int
    incarnation: int
    state: MemberState
    zone: int

    def order(self) -> tuple[int, bool, int, int]:
        """Return the key by which claims about the same router are compared."""
        return self.generation, has_ended(self.state), self.incarnation, int(self.state)


class Kind(IntEnum):
    """The kind of a datagram."""

    PING = 1  # to be answered; a router that answers counts the sender in its shares from then on
    ACK = 2  # answers a ping
    ASK = 3  # requests an indirect ping of `target`
    VIA = 4  # answers an indirect ping request: the target answered
    MISS = 5  # answers an indirect ping request: the target did not answer in time (Lifeguard's nack)
    NEWS = 6  # claims alone
    SYNC = 7  # digests of the sender's table by bucket: requests the claims of the buckets that differ
    STALE = 8  # a later `generation` than the receiver's is known from its address or under its name


class Datagram(NamedTuple):
    """A datagram between routers. `number` is the sender's; `in_reply_to` that of the datagram answered."""

    kind: Kind
    number: int
    sender: Claim
    in_reply_to: int = 0
    target: int = NO_MEMBER
    generation: int = 0
    view: int = 0
    view_digest: int = 0
    table_digest: int = 0
    paused_s: float = 0.0  # length of a recent pause of the sender's process
    joined: bool = False  # the sender acts on its full share: all have answered it
    claims: tuple[Claim, ...] = ()
    buckets: tuple[int, ...] = ()


def ident_of(name: str) -> int:
    """Return a router's id: 64 bits of a hash of its name, never 0."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") or 1


def format_member_id(ident: int) -> str:
    """Return an id as logs and commands show it."""
    return f"r-{ident:016x}"

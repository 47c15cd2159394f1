"""Choice of probe targets, and the datagrams in flight to which answers and refusals are matched."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import IntEnum
from functools import lru_cache

from stonecove.gossip.claims import NO_MEMBER, Claim

RETENTION_S = 5.0  # how long a sent datagram can be matched
MAX_RETAINED = 4096


class Purpose(IntEnum):
    """Why a ping was sent."""

    PROBE = 0  # the probe of the current interval
    JOIN = 1  # this generation asks to be counted
    INDIRECT = 2  # on behalf of another router
    RECHECK = 3  # to a failed member that may be back, or to renew the lease


@dataclass(slots=True)
class SentDatagram:
    """A datagram that was sent to `slot`."""

    slot: int
    sent_at: float
    purpose: Purpose | None = None
    ident: int = NO_MEMBER
    requester: tuple[int, int] | None = None  # slot and number of the indirect ping request
    completed: bool = False
    claims: tuple[Claim, ...] = ()  # piggybacked claims


class SentTracker:
    """Sent datagrams by number, so that an answer or a refusal is matched to the right one, once."""

    def __init__(self, seed: int) -> None:
        """Start at a random number, so that replies to an earlier generation do not match."""
        self._number = random.Random(seed).getrandbits(31)
        self._sent: dict[int, SentDatagram] = {}

    def record(self, sent: SentDatagram) -> int:
        """Record a datagram and return its number; the oldest records are dropped."""
        self._number = self._number % 0xFFFFFFFF + 1
        self._sent[self._number] = sent
        while (first := next(iter(self._sent))) and (
            len(self._sent) > MAX_RETAINED or self._sent[first].sent_at < sent.sent_at - RETENTION_S
        ):
            del self._sent[first]
        return self._number

    def find(self, number: int, slot: int) -> SentDatagram | None:
        """Return the datagram that was sent to this slot under this number."""
        sent = self._sent.get(number)
        return sent if sent is not None and sent.slot == slot else None


def probe_target(idents: list[int], own_ident: int, turn: int) -> int | None:
    """Return the member to probe in this turn; `idents` are sorted.

    All routers go round the same ring by the same step, so that in each turn each member is probed exactly
    once; the order of steps is shuffled alike everywhere. With independent random choices some member would
    go without a probe for several turns. Where tables or clocks differ it is still a round robin: within as
    many turns as there are other members, each is probed.
    """
    if own_ident not in idents:
        idents = sorted([*idents, own_ident])
    count = len(idents)
    if count < 2:
        return None
    return idents[(idents.index(own_ident) + _steps(count)[turn % (count - 1)]) % count]


@lru_cache(maxsize=8)
def _steps(count: int) -> tuple[int, ...]:
    steps = list(range(1, count))
    random.Random(count).shuffle(steps)
    return tuple(steps)


@dataclass(slots=True)
class Probe:
    """The probe of the current interval."""

    ident: int
    slot: int
    number: int
    started_at: float
    deadline: float
    indirect_requested: bool = False
    helpers: set[int] = field(default_factory=set)  # slots that were asked for an indirect ping
    nacks: set[int] = field(default_factory=set)  # of these, the slots that could not reach it either
    answered: bool = False

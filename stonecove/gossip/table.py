"""What this router believes of each other router, and on what evidence."""

from __future__ import annotations

import hashlib
import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from stonecove.gossip.claims import Claim, MemberState, has_ended

MAX_EVIDENCE = 24  # entries that are retained for each member
MAX_MEMBERS = 20_000  # a new member of a full table replaces one that has ended
BUCKETS = 16  # partitions of the table that are compared by digest


@dataclass(slots=True)
class Suspicion:
    """Lifeguard's suspicion of a member: each independent suspicion shortens its timeout."""

    started_at: float
    min_s: float
    max_s: float
    expected_confirmations: int
    confirmers: set[int] = field(default_factory=set)

    def shorten(self, timeout_s: float) -> None:
        """Shorten it to `timeout_s`: another router's suspicion has already run its full time."""
        self.min_s = min(self.min_s, timeout_s)
        self.max_s = min(self.max_s, self.min_s)

    def expires_at(self) -> float:
        """Return when the member becomes failed."""
        fraction = math.log(len(self.confirmers) + 1) / math.log(self.expected_confirmations + 1)
        return self.started_at + max(self.min_s, self.max_s - (self.max_s - self.min_s) * fraction)


@dataclass(slots=True)
class Member:
    """One other router."""

    claim: Claim
    slot: int | None  # its index in the list of peers; None: known from others alone
    since: float
    last_received: float = -math.inf  # its last datagram
    last_reached: float = -math.inf  # its last answer to this router
    missed_probes: int = 0  # consecutive probes of this router that it did not answer
    last_reached_indirectly: float = -math.inf  # its last answer to an indirect ping for this router
    suspicion: Suspicion | None = None
    failed_claim: Claim | None = None  # FAILED as believed of this generation, until it joins anew
    failure_confirmers: set[int] = field(default_factory=set)  # routers that also believe it failed
    view: tuple[int, int] = (0, 0)
    pause: tuple[float, float] = (-math.inf, 0.0)  # when it announced a pause, and the pause's length in s
    evidence: deque[tuple[float, str]] = field(default_factory=lambda: deque(maxlen=MAX_EVIDENCE))

    @property
    def unreachable(self) -> bool:
        """Return whether other routers reach it and this one does not."""
        return self.missed_probes > 0 and self.last_reached_indirectly > self.last_reached

    def status_name(self, now: float) -> str:
        """Return its state as operators see it."""
        state = self.claim.state
        if state in (MemberState.ALIVE, MemberState.LEAVING) and self.unreachable:
            return "unreachable"
        if state is MemberState.ALIVE and now - self.pause[0] < 10.0 and self.pause[1]:
            return "paused"
        return state.name.lower()


class Table:
    """All members by id. Claims are merged by their order alone, so that all tables converge."""

    def __init__(self) -> None:
        self.members: dict[int, Member] = {}
        self.suspects: dict[int, Member] = {}
        self.failed: dict[int, Member] = {}
        self._digest: tuple[int, ...] | None = None

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def get(self, ident: int) -> Member | None:
        """Return the member with this id."""
        return self.members.get(ident)

    def merge(self, claim: Claim, now: float, why: str) -> bool:
        """Merge a claim if it is greater than the known one; return whether it was."""
        known = self.members.get(claim.ident)
        if known is None:
            if len(self.members) >= MAX_MEMBERS and not self._evict_ended():
                return False
            known = self.members[claim.ident] = Member(claim, None, now)
        elif claim.order() <= known.claim.order():
            return False
        else:
            if claim.generation > known.claim.generation:
                known.missed_probes, known.suspicion, known.last_reached_indirectly = 0, None, -math.inf
                known.failed_claim = None
            known.claim, known.since = claim, now
            known.failure_confirmers.clear()
            if claim.state is not MemberState.SUSPECT:
                known.suspicion = None
        if claim.state is MemberState.FAILED:
            known.failed_claim = claim
        for state, group in ((MemberState.SUSPECT, self.suspects), (MemberState.FAILED, self.failed)):
            if claim.state is state:
                group[claim.ident] = known
            else:
                group.pop(claim.ident, None)
        known.evidence.append((now, f"{claim.state.name.lower()}: {why}"))
        self._digest = None
        return True

    def _evict_ended(self) -> bool:
        """Drop the member that ended first; return whether there was one."""
        oldest = min(
            (member for member in self if has_ended(member.claim.state)),
            key=lambda member: member.since,
            default=None,
        )
        if oldest is not None:
            del self.members[oldest.claim.ident]
        return oldest is not None

    def assign_slot(self, ident: int, slot: int) -> Member | None:
        """Assign a slot to a member; return the other member that had it before, if any."""
        before = next((other for other in self if other.slot == slot and other.claim.ident != ident), None)
        if before is not None:
            before.slot = None
        if (member := self.members.get(ident)) is not None:
            member.slot = slot
        return before

    def in_view(self) -> list[Member]:
        """Return the members that belong to the view; suspects do until they become failed."""
        return [member for member in self if member.claim.state <= MemberState.SUSPECT]

    def digests(self, own_claim: Claim) -> tuple[int, ...]:
        """Return a digest of each bucket, own claim included; equal tables have equal digests."""
        if self._digest is None:
            buckets: list[list[Claim]] = [[] for _ in range(BUCKETS)]
            for member in self:
                buckets[member.claim.ident % BUCKETS].append(member.claim)
            buckets[own_claim.ident % BUCKETS].append(own_claim)
            self._digest = tuple(_digest(bucket) for bucket in buckets)
        return self._digest

    def invalidate_digests(self) -> None:
        """Drop the cached digests after a change of the own claim."""
        self._digest = None

    def digest(self, own_claim: Claim) -> int:
        """Return a digest of the whole table."""
        return digest_of(self.digests(own_claim))


def _digest(claims: list[Claim]) -> int:
    return digest_of(part for claim in sorted(claims) for part in claim[:4])


def digest_of(numbers: Iterable[int]) -> int:
    """Return 32 bits of a hash of integers."""
    text = ",".join(map(str, map(int, numbers)))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")

"""What this router believes of each other one, and on what evidence."""

from __future__ import annotations

import hashlib
import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from stonecove.gossip.claims import Claim, MemberState, over

MAX_EVIDENCE = 24  # lines kept of each
MAX_MEMBERS = 20_000  # names that a table holds; who comes when it is full takes the place of one long over
BUCKETS = 16  # parts of the table that are compared by digest


@dataclass(slots=True)
class Suspicion:
    """Doubt in a member: the more others doubt it of their own, the sooner it ends in a verdict."""

    began: float
    least: float
    most: float
    enough: int
    doubters: set[int] = field(default_factory=set)

    def confirm(self, timeout: float) -> None:
        """Shorten it to `timeout` seconds: another router's suspicion has already run its full time."""
        self.least = min(self.least, timeout)
        self.most = min(self.most, self.least)

    def until(self) -> float:
        """When it ends."""
        part = math.log(len(self.doubters) + 1) / math.log(self.enough + 1)
        return self.began + max(self.least, self.most - (self.most - self.least) * part)


@dataclass(slots=True)
class Member:
    """One other router."""

    claim: Claim
    slot: int | None  # its place in our list of peers; None: others know it, we have not heard it
    since: float
    heard: float = -math.inf  # the last datagram of its own
    reached: float = -math.inf  # the last answer to ours
    missed: int = 0  # probes of ours in a row that it did not answer
    via: float = -math.inf  # the last answer to others who asked for us
    suspicion: Suspicion | None = None
    failed_claim: Claim | None = None  # the word by which we did, in this life, until it has asked us anew
    failure_witnesses: set[int] = field(default_factory=set)  # who holds it for failed, as we do
    view: tuple[int, int] = (0, 0)
    paused: tuple[float, float] = (-math.inf, 0.0)  # when it told so, and for how long it was stopped
    evidence: deque[tuple[float, str]] = field(default_factory=lambda: deque(maxlen=MAX_EVIDENCE))

    @property
    def unreachable(self) -> bool:
        """Others reach it and we don't."""
        return self.missed > 0 and self.via > self.reached

    def told(self, now: float) -> str:
        """How it stands, as people are told it."""
        state = self.claim.state
        if state in (MemberState.ALIVE, MemberState.LEAVING) and self.unreachable:
            return "unreachable"
        if state is MemberState.ALIVE and now - self.paused[0] < 10.0 and self.paused[1]:
            return "paused"
        return state.name.lower()


class Table:
    """All members by id. Words are merged by their order alone, so that all tables come to the same."""

    def __init__(self) -> None:
        self.members: dict[int, Member] = {}
        self.suspects: dict[int, Member] = {}
        self.failed: dict[int, Member] = {}
        self._digest: tuple[int, ...] | None = None

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def get(self, ident: int) -> Member | None:
        """Of that id."""
        return self.members.get(ident)

    def believe(self, claim: Claim, now: float, why: str) -> bool:
        """Takes a word if it is greater than what is known; says whether it was."""
        known = self.members.get(claim.ident)
        if known is None:
            if len(self.members) >= MAX_MEMBERS and not self._make_room():
                return False
            known = self.members[claim.ident] = Member(claim, None, now)
        elif claim.order() <= known.claim.order():
            return False
        else:
            if claim.generation > known.claim.generation:
                known.missed, known.suspicion, known.via = 0, None, -math.inf
                known.failed_claim = None
            known.claim, known.since = claim, now
            known.failure_witnesses.clear()
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

    def _make_room(self) -> bool:
        oldest = min((one for one in self if over(one.claim.state)), key=lambda one: one.since, default=None)
        if oldest is not None:
            del self.members[oldest.claim.ident]
        return oldest is not None

    def place(self, ident: int, slot: int) -> Member | None:
        """That router speaks from there; returns who had that slot before, if it was another."""
        before = next((one for one in self if one.slot == slot and one.claim.ident != ident), None)
        if before is not None:
            before.slot = None
        if (member := self.members.get(ident)) is not None:
            member.slot = slot
        return before

    def in_view(self) -> list[Member]:
        """Those who are taken for members: silent ones are until the verdict."""
        return [one for one in self if one.claim.state <= MemberState.SUSPECT]

    def digests(self, mine: Claim) -> tuple[int, ...]:
        """By bucket, of all words with our own; equal tables have equal digests."""
        if self._digest is None:
            parts: list[list[Claim]] = [[] for _ in range(BUCKETS)]
            for one in self:
                parts[one.claim.ident % BUCKETS].append(one.claim)
            parts[mine.ident % BUCKETS].append(mine)
            self._digest = tuple(_digest(part) for part in parts)
        return self._digest

    def changed(self) -> None:
        """Our own word has changed."""
        self._digest = None

    def digest(self, mine: Claim) -> int:
        """Of the whole."""
        return digest_of(self.digests(mine))


def _digest(claims: list[Claim]) -> int:
    return digest_of(part for claim in sorted(claims) for part in claim[:4])


def digest_of(numbers: Iterable[int]) -> int:
    """32 bits of a hash of whole numbers."""
    text = ",".join(map(str, map(int, numbers)))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")

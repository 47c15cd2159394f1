"""What this router believes of each other one, and on what evidence."""

from __future__ import annotations

import hashlib
import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from stonecove.gossip.words import Standing, Word, over

MOST_EVIDENCE = 24  # lines kept of each
MOST_MEMBERS = 20_000  # names that a table holds; who comes when it is full takes the place of one long over
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

    word: Word
    slot: int | None  # its place in our list of peers; None: others know it, we have not heard it
    since: float
    heard: float = -math.inf  # the last datagram of its own
    reached: float = -math.inf  # the last answer to ours
    missed: int = 0  # probes of ours in a row that it did not answer
    via: float = -math.inf  # the last answer to others who asked for us
    suspicion: Suspicion | None = None
    held_failed: Word | None = None  # the word by which we did, in this life, until it has asked us anew
    disowners: set[int] = field(default_factory=set)  # who holds it for failed, as we do
    view: tuple[int, int] = (0, 0)
    paused: tuple[float, float] = (-math.inf, 0.0)  # when it told so, and for how long it was stopped
    evidence: deque[tuple[float, str]] = field(default_factory=lambda: deque(maxlen=MOST_EVIDENCE))

    @property
    def cut(self) -> bool:
        """Others reach it and we don't."""
        return self.missed > 0 and self.via > self.reached

    def told(self, now: float) -> str:
        """How it stands, as people are told it."""
        standing = self.word.standing
        if standing in (Standing.ALIVE, Standing.LEAVING) and self.cut:
            return "unreachable"
        if standing is Standing.ALIVE and now - self.paused[0] < 10.0 and self.paused[1]:
            return "paused"
        return standing.name.lower()


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

    def believe(self, word: Word, now: float, why: str) -> bool:
        """Takes a word if it is greater than what is known; says whether it was."""
        known = self.members.get(word.ident)
        if known is None:
            if len(self.members) >= MOST_MEMBERS and not self._make_room():
                return False
            known = self.members[word.ident] = Member(word, None, now)
        elif word.order() <= known.word.order():
            return False
        else:
            if word.life > known.word.life:
                known.missed, known.suspicion, known.via = 0, None, -math.inf
                known.held_failed = None
            known.word, known.since = word, now
            known.disowners.clear()
            if word.standing is not Standing.SUSPECT:
                known.suspicion = None
        if word.standing is Standing.FAILED:
            known.held_failed = word
        for standing, group in ((Standing.SUSPECT, self.suspects), (Standing.FAILED, self.failed)):
            if word.standing is standing:
                group[word.ident] = known
            else:
                group.pop(word.ident, None)
        known.evidence.append((now, f"{word.standing.name.lower()}: {why}"))
        self._digest = None
        return True

    def _make_room(self) -> bool:
        oldest = min(
            (one for one in self if over(one.word.standing)), key=lambda one: one.since, default=None
        )
        if oldest is not None:
            del self.members[oldest.word.ident]
        return oldest is not None

    def place(self, ident: int, slot: int) -> Member | None:
        """That router speaks from there; returns who had that slot before, if it was another."""
        before = next((one for one in self if one.slot == slot and one.word.ident != ident), None)
        if before is not None:
            before.slot = None
        if (member := self.members.get(ident)) is not None:
            member.slot = slot
        return before

    def in_view(self) -> list[Member]:
        """Those who are taken for members: silent ones are until the verdict."""
        return [one for one in self if one.word.standing <= Standing.SUSPECT]

    def digests(self, mine: Word) -> tuple[int, ...]:
        """By bucket, of all words with our own; equal tables have equal digests."""
        if self._digest is None:
            parts: list[list[Word]] = [[] for _ in range(BUCKETS)]
            for one in self:
                parts[one.word.ident % BUCKETS].append(one.word)
            parts[mine.ident % BUCKETS].append(mine)
            self._digest = tuple(_digest(part) for part in parts)
        return self._digest

    def changed(self) -> None:
        """Our own word has changed."""
        self._digest = None

    def digest(self, mine: Word) -> int:
        """Of the whole."""
        return digest_of(self.digests(mine))


def _digest(words: list[Word]) -> int:
    return digest_of(part for word in sorted(words) for part in word[:4])


def digest_of(numbers: Iterable[int]) -> int:
    """32 bits of a hash of whole numbers."""
    text = ",".join(map(str, map(int, numbers)))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")

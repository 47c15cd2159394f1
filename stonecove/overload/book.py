"""The book of amplification: what came of each request that a client meant, over the whole fleet.

A client means a request once, and may try it several times. A try leads to attempts at caches; one that goes
out beside or after another of the same try is a repeat. Attempts lead to fills from parents and fetches from
the origin. Each is harmless, and together they may keep an overload going after its cause has ended: so they
are counted by second beside what was meant in that second, and by the meaning that they belong to.

Knows no I/O. Moments are seconds, from any beginning.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

MEANT, TRY, ATTEMPT, REPEAT, FILL, ORIGIN, CONNECT, PROBE = (
    "meant", "try", "attempt", "repeat", "fill", "origin", "connect", "probe")  # fmt: skip
CAUSES = (TRY, ATTEMPT, REPEAT, FILL, ORIGIN, CONNECT, PROBE)  # in the order in which one leads to another
SERVED, REFUSED, FAILED, LATE, LOST = "served", "refused", "failed", "late", "lost"
OUTCOMES = (SERVED, REFUSED, FAILED, LATE, LOST)
NOBODY = -1  # the meaning of what belongs to no request
FEWEST = 10  # meant in a second, below which its ratios say nothing
GOOD = 0.9  # the part of what was meant that is served in a good second
STEADY = 3  # good seconds in a row that count as recovered


class Event(NamedTuple):
    """Something that happened. `what`: one of CAUSES, or of OUTCOMES for the end of what was meant then."""

    at: float
    what: str
    meaning: int = NOBODY
    cls: str = ""


@dataclass(slots=True)
class Second:
    """What happened within one second. `ends`: of what was meant in it, whenever that was."""

    meant: int = 0
    came: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)

    def ratio(self, cause: str) -> float:
        """How many of these came for each that was meant."""
        return self.came[cause] / self.meant if self.meant else math.nan

    @property
    def served(self) -> float:
        """The part of what was meant that was served in the end."""
        return self.ends[SERVED] / self.meant if self.meant else math.nan


class Book:
    """All events of one play, by second, by cause and by meaning."""

    def __init__(self, events: Iterable[Event]) -> None:
        """Events in any order. What is meant is told by MEANT, its end by one of OUTCOMES."""
        self.seconds: dict[int, Second] = defaultdict(Second)
        self.by_class: dict[str, Counter[str]] = defaultdict(Counter)
        self._of: dict[int, Counter[str]] = defaultdict(Counter)
        meant: dict[int, Event] = {}
        events = sorted(events)
        for event in events:
            if event.what == MEANT:
                meant[event.meaning] = event
                self.seconds[int(event.at)].meant += 1
                self.by_class[event.cls][MEANT] += 1
        for event in events:
            began = meant.get(event.meaning)
            if event.what in OUTCOMES and began is not None:
                self.seconds[int(began.at)].ends[event.what] += 1
                self.by_class[began.cls][event.what] += 1
            elif event.what in CAUSES:
                self.seconds[int(event.at)].came[event.what] += 1
                self.by_class[began.cls if began is not None else ""][event.what] += 1
                if began is not None:
                    self._of[event.meaning][event.what] += 1

    @property
    def meant(self) -> int:
        """How many requests clients meant."""
        return sum(second.meant for second in self.seconds.values())

    def total(self, what: str) -> int:
        """How many of a cause, or ends of an outcome."""
        return sum(second.came[what] + second.ends[what] for second in self.seconds.values())

    def worst(self, cause: str) -> tuple[int, float]:
        """The second in which most of these came for each that was meant, and how many; (0, 0.0): none."""
        told = [(second.ratio(cause), at) for at, second in self.seconds.items() if second.meant >= FEWEST]
        ratio, at = max(told, default=(0.0, 0))
        return at, ratio

    def most(self, cause: str) -> tuple[int, int]:
        """The meaning to which most of these belong, and how many."""
        return max(((meaning, came[cause]) for meaning, came in self._of.items()),
                   key=lambda pair: pair[1], default=(NOBODY, 0))  # fmt: skip

    def recovered(self, cause_ended: float) -> float:
        """Seconds from the end of the cause until service is good and stays so; infinite if it never is."""
        last = max(self.seconds, default=0)
        good = 0
        for at in range(int(cause_ended), last):
            second = self.seconds.get(at)
            if second is None or second.meant < FEWEST:
                continue
            good = good + 1 if second.served >= GOOD else 0
            if good == STEADY:
                return max(0.0, at + 1 - STEADY - cause_ended)
        return math.inf

    def sustained_by(self, cause_ended: float, calm_until: float) -> list[tuple[str, float]]:
        """What keeps service from coming back: causes whose ratio after the end of the cause is above that of
        the calm before it, by how many times, the largest first.
        """
        found = []
        for cause in CAUSES:
            calm = [
                one.ratio(cause)
                for at, one in self.seconds.items()
                if at < calm_until and one.meant >= FEWEST
            ]
            after = [
                one.ratio(cause)
                for at, one in self.seconds.items()
                if at >= cause_ended and one.meant >= FEWEST and one.served < GOOD
            ]
            if calm and after and (usual := sum(calm) / len(calm)) > 0.0:
                times = sum(after) / len(after) / usual
                if times > 1.0:
                    found.append((cause, times))
        return sorted(found, key=lambda pair: -pair[1])

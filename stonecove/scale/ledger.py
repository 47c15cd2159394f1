"""Which events each router took in force and when, held against what the control machines have told.

Moments are nanoseconds of the host's clock; 0 stands for never. Events are called by their numbers.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import numpy.typing as npt

from stonecove.scale.results import Delays

Moments = npt.NDArray[np.int64]

MILLISECOND = 1e6  # nanoseconds


class Ledger:
    """One life of one router: when it took each event in force."""

    def __init__(self, router: int, last: int, now: int) -> None:
        """`last`: the number up to which its configuration has told it everything; `now` in ns."""
        self.router, self.last, self.began = router, last, now
        self.ended = 0
        self.newest = last
        self.repeated = 0
        self.taken = array("q")  # the moment of each event, from the one after `last` on

    def took(self, number: int, now: int) -> None:
        """An event is in force at that moment."""
        place = number - self.last - 1
        if place < 0:
            self.repeated += 1
            return
        if place >= len(self.taken):
            self.taken.extend([0] * (place + 1 - len(self.taken)))
        if self.taken[place]:
            self.repeated += 1
            return
        self.taken[place] = now
        self.newest = max(self.newest, number)


@dataclass(frozen=True, slots=True)
class Life:
    """A router's life as the runner holds it: `taken` begins with the event after `last`."""

    router: int
    last: int
    began: int
    ended: int  # 0: it runs still
    repeated: int
    taken: Moments

    @classmethod
    def of(cls, ledger: Ledger) -> Life:
        """What a ledger holds."""
        taken = np.array(ledger.taken, dtype=np.int64)
        return cls(ledger.router, ledger.last, ledger.began, ledger.ended, ledger.repeated, taken)


@dataclass(frozen=True, slots=True)
class Published:
    """What the control machines have told: events from number `first` on, and the first byte of each."""

    first: int
    first_bytes: Moments
    purges: frozenset[int] = field(default=frozenset())  # numbers of the events that are purges

    @property
    def last(self) -> int:
        """The number of the newest."""
        return self.first + len(self.first_bytes) - 1


def earliest(reports: Iterable[Sequence[int]], count: int) -> Moments:
    """The first byte of each event at any control machine, by the reports of all; 0 where nobody told it."""
    never = np.iinfo(np.int64).max
    found = np.full(count, never, dtype=np.int64)
    for report in reports:
        moments = np.array(report[:count], dtype=np.int64)
        part = found[: len(moments)]
        np.minimum(part, np.where(moments > 0, moments, never), out=part)
    found[found == never] = 0
    return found


def _moments_of(life: Life, published: Published) -> Moments:
    """When a life took each published event; 0: never."""
    found = np.zeros(len(published.first_bytes), dtype=np.int64)
    skip = life.last + 1 - published.first  # the life's first event, among those published
    source, target = max(0, -skip), max(0, skip)
    count = min(len(life.taken) - source, len(found) - target)
    if count > 0:
        found[target : target + count] = life.taken[source : source + count]
    return found


def lost(lives: Iterable[Life], published: Published) -> int:
    """Events that a router which was up never had in force.

    Of a router that is up at the end, every event after its start counts; of a life that was ended, only
    those before the newest that it took.
    """
    count = 0
    for life in lives:
        begin = max(0, life.last + 1 - published.first)
        expected = _moments_of(life, published)[begin:]
        if life.ended:
            taken = np.flatnonzero(expected)
            expected = expected[: taken[-1] + 1] if len(taken) else expected[:0]
        count += int(np.count_nonzero(expected == 0))
    return count


def repeated(lives: Iterable[Life]) -> int:
    """Events that were taken twice in one life of a router."""
    return sum(life.repeated for life in lives)


def _last_in_force(lives: Sequence[Life], published: Published, begin: int, end: int) -> Moments:
    """When the last of these routers took each event of a part of the log; 0 if one of them never did."""
    found = np.zeros(end - begin, dtype=np.int64)
    missing = np.zeros(end - begin, dtype=bool)
    for life in lives:
        moments = _moments_of(life, published)[begin:end]
        missing |= moments == 0
        np.maximum(found, moments, out=found)
    found[missing] = 0
    return found


def purge_delays(lives: Sequence[Life], published: Published, first: int, last: int) -> Delays:
    """How long purges with numbers from `first` to `last` took until the last of these routers had them."""
    begin, end = first - published.first, last + 1 - published.first
    is_purge = np.array([number in published.purges for number in range(first, last + 1)], dtype=bool)
    in_force = _last_in_force(lives, published, begin, end)
    told = published.first_bytes[begin:end]
    counted = is_purge & (in_force > 0) & (told > 0)
    return delays_of((in_force - told)[counted] / MILLISECOND)


def delays_of(milliseconds: Sequence[float] | np.ndarray[Any, np.dtype[np.float64]]) -> Delays:
    """Of many events; all 0 without any."""
    if not len(milliseconds):
        return Delays(0, 0.0, 0.0, 0.0)
    p50, p99 = np.percentile(milliseconds, (50, 99))
    return Delays(len(milliseconds), float(p50), float(p99), float(np.max(milliseconds)))


def level_at(lives: Sequence[Life], published: Published, number: int) -> int:
    """When all of these routers had everything up to that event in force; ns, 0 if one never had."""
    place = number - published.first
    if place < 0:
        return max((life.began for life in lives), default=0)
    moments = _last_in_force(lives, published, 0, place + 1)
    return int(moments.max()) if len(moments) and moments.all() else 0

"""Record when each router applied each event, and compare that with what the control machines published.

Times are nanoseconds of the host's clock; 0 stands for never. Events are identified by their numbers.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import numpy.typing as npt

from stonecove.scale.results import Delays

Timestamps = npt.NDArray[np.int64]

NS_PER_MS = 1e6


class Ledger:
    """When one incarnation of a router applied each event."""

    def __init__(self, router: int, last: int, now_ns: int) -> None:
        """Create an empty one; `last` is the newest event covered by the configuration."""
        self.router, self.last, self.started_at_ns = router, last, now_ns
        self.ended_at_ns = 0
        self.newest = last
        self.repeated = 0
        self.applied_at_ns = array("q")  # the time of each event, from the one after `last` on

    def record_applied(self, number: int, now_ns: int) -> None:
        """Record that an event was applied at this time."""
        index = number - self.last - 1
        if index < 0:
            self.repeated += 1
            return
        if index >= len(self.applied_at_ns):
            self.applied_at_ns.extend([0] * (index + 1 - len(self.applied_at_ns)))
        if self.applied_at_ns[index]:
            self.repeated += 1
            return
        self.applied_at_ns[index] = now_ns
        self.newest = max(self.newest, number)


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One incarnation as the runner reads it: `applied_at_ns` starts with the event after `last`."""

    router: int
    last: int
    started_at_ns: int
    ended_at_ns: int  # 0: still running
    repeated: int
    applied_at_ns: Timestamps

    @classmethod
    def of(cls, ledger: Ledger) -> Incarnation:
        """Convert a ledger."""
        times_ns = np.array(ledger.applied_at_ns, dtype=np.int64)
        return cls(
            ledger.router, ledger.last, ledger.started_at_ns, ledger.ended_at_ns, ledger.repeated, times_ns
        )


@dataclass(frozen=True, slots=True)
class Published:
    """What the control machines published: events from number `first` on, and the first byte of each."""

    first: int
    first_bytes: Timestamps
    purges: frozenset[int] = field(default=frozenset())  # numbers of the purge events

    @property
    def last(self) -> int:
        """Return the number of the newest event."""
        return self.first + len(self.first_bytes) - 1


def earliest_first_bytes_ns(reports: Iterable[Sequence[int]], count: int) -> Timestamps:
    """Return when each event was first sent by any control machine; 0 where none sent it."""
    never_ns = np.iinfo(np.int64).max
    result = np.full(count, never_ns, dtype=np.int64)
    for report in reports:
        times_ns = np.array(report[:count], dtype=np.int64)
        window = result[: len(times_ns)]
        np.minimum(window, np.where(times_ns > 0, times_ns, never_ns), out=window)
    result[result == never_ns] = 0
    return result


def _applied_times(incarnation: Incarnation, published: Published) -> Timestamps:
    """Return when an incarnation applied each published event; 0: never."""
    result = np.zeros(len(published.first_bytes), dtype=np.int64)
    skip = incarnation.last + 1 - published.first  # index of its first event among those published
    source, target = max(0, -skip), max(0, skip)
    count = min(len(incarnation.applied_at_ns) - source, len(result) - target)
    if count > 0:
        result[target : target + count] = incarnation.applied_at_ns[source : source + count]
    return result


def count_lost(incarnations: Iterable[Incarnation], published: Published) -> int:
    """Return how many events running routers never applied.

    For a router that runs at the end, every event after its start counts; for an ended incarnation, only
    those before the newest that it applied.
    """
    count = 0
    for incarnation in incarnations:
        start_index = max(0, incarnation.last + 1 - published.first)
        expected_ns = _applied_times(incarnation, published)[start_index:]
        if incarnation.ended_at_ns:
            applied_indexes = np.flatnonzero(expected_ns)
            expected_ns = expected_ns[: applied_indexes[-1] + 1] if len(applied_indexes) else expected_ns[:0]
        count += int(np.count_nonzero(expected_ns == 0))
    return count


def count_repeated(incarnations: Iterable[Incarnation]) -> int:
    """Return how many events were applied twice in one incarnation of a router."""
    return sum(incarnation.repeated for incarnation in incarnations)


def _last_applied(
    incarnations: Sequence[Incarnation], published: Published, start_index: int, end_index: int
) -> Timestamps:
    """Return when the last of these routers applied each event of a range; 0 if one never did."""
    result = np.zeros(end_index - start_index, dtype=np.int64)
    missing = np.zeros(end_index - start_index, dtype=bool)
    for incarnation in incarnations:
        times_ns = _applied_times(incarnation, published)[start_index:end_index]
        missing |= times_ns == 0
        np.maximum(result, times_ns, out=result)
    result[missing] = 0
    return result


def purge_delays(incarnations: Sequence[Incarnation], published: Published, first: int, last: int) -> Delays:
    """Return the delays of the purges from `first` to `last` until the last of these routers applied them."""
    start_index, end_index = first - published.first, last + 1 - published.first
    is_purge = np.array([number in published.purges for number in range(first, last + 1)], dtype=bool)
    last_applied_ns = _last_applied(incarnations, published, start_index, end_index)
    published_at_ns = published.first_bytes[start_index:end_index]
    counted = is_purge & (last_applied_ns > 0) & (published_at_ns > 0)
    return summarize_delays((last_applied_ns - published_at_ns)[counted] / NS_PER_MS)


def summarize_delays(milliseconds: Sequence[float] | np.ndarray[Any, np.dtype[np.float64]]) -> Delays:
    """Return count and percentiles of delays in ms; all 0 without any."""
    if not len(milliseconds):
        return Delays(0, 0.0, 0.0, 0.0)
    p50, p99 = np.percentile(milliseconds, (50, 99))
    return Delays(len(milliseconds), float(p50), float(p99), float(np.max(milliseconds)))


def caught_up_at_ns(incarnations: Sequence[Incarnation], published: Published, number: int) -> int:
    """Return when all of these routers had applied all events up to this one; ns, 0 if one never did."""
    index = number - published.first
    if index < 0:
        return max((incarnation.started_at_ns for incarnation in incarnations), default=0)
    times_ns = _last_applied(incarnations, published, 0, index + 1)
    return int(times_ns.max()) if len(times_ns) and times_ns.all() else 0

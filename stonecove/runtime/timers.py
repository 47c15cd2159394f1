"""Timers that run on the clock. Waiting for the next one is the caller's task."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent

MIN_COMPACTION_SIZE = 1024  # entries, cancelled ones included, below which the heap is not compacted


def no_op() -> None:
    """Do nothing; the default of callbacks."""


class Timer:
    """A callback that is due at some time, unless it is cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the timer."""
        self.callback = None


class Timers:
    """All timers, in the order of their due times.

    Setting the system clock does not move timers that are already set.
    """

    def __init__(
        self, clock: Clock, monotonic: Callable[[], float], wake: Callable[[], None] = no_op
    ) -> None:
        """Create an empty set of timers.

        `monotonic` returns seconds of a clock that can't be set. `wake` is called when a timer is set that is
        due before all others.
        """
        self._clock = clock
        self._monotonic = monotonic
        self._wake = wake
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = 0
        self._compact_at = MIN_COMPACTION_SIZE

    def call_at(self, moment_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback for a Unix time in ms, never within the current turn.

        The heap is compacted as it grows. Otherwise cancelled timers that are due in a minute would pile up,
        as with thousands of clients that claim to wait for long and disconnect.
        """
        timer = Timer(callback)
        due_s = self._monotonic() + (moment_ms - self._clock.now()) / 1000.0
        self._sequence += 1
        if len(self._heap) >= self._compact_at:
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._compact_at = max(MIN_COMPACTION_SIZE, 2 * len(self._heap))
        entry = (due_s, self._sequence, timer)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._wake()
        return timer

    def next_due(self) -> float:
        """Return when the next timer is due, in seconds of the monotonic clock; infinite without one."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self) -> None:
        """Run the callbacks that are due by now."""
        now_s = self._monotonic()
        while self._heap and (self._heap[0][0] <= now_s or self._heap[0][2].callback is None):
            callback = heapq.heappop(self._heap)[2].callback
            if callback is not None:
                self._run_callback(callback)

    @staticmethod
    def _run_callback(callback: Callable[[], None]) -> None:
        """Run a callback; an exception is logged, so that the other timers still run."""
        try:
            callback()
        except Exception as error:
            log(LogEvent.INTERNAL_ERROR, where="timer", error=repr(error))

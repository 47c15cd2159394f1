"""The alarms that run on the clock. Who waits for the next one is somebody else's concern."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent

LEAST_TIDIED = 1024  # alarms, those called off among them, up to which nothing is thrown away


def nobody() -> None:
    """Nobody waits, so nobody is woken."""


class Alarm:
    """A call to be made at its time, unless called off."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def off(self) -> None:
        """Calls it off."""
        self.call = None


class Timers:
    """All alarms, in the order of their times; once set, they don't mind if the system's clock is set."""

    def __init__(self, clock: Clock, steady: Callable[[], float], wake: Callable[[], None] = nobody) -> None:
        """`steady` tells seconds that nobody sets; `wake` is called when an earlier alarm than all is set."""
        self._clock = clock
        self._steady = steady
        self._wake = wake
        self._heap: list[tuple[float, int, Alarm]] = []
        self._count = 0
        self._tidy_at = LEAST_TIDIED

    def at(self, moment: float, call: Callable[[], None]) -> Alarm:
        """Has the call made at that Unix millisecond, never before this turn is over.

        Guards against alarms that are called off but due in a minute, as of clients that come, claim to wait
        for long and go, by the thousand.
        """
        alarm = Alarm(call)
        due = self._steady() + (moment - self._clock.now()) / 1000.0
        self._count += 1
        if len(self._heap) >= self._tidy_at:
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._tidy_at = max(LEAST_TIDIED, 2 * len(self._heap))
        entry = (due, self._count, alarm)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._wake()
        return alarm

    def next_due(self) -> float:
        """When the next alarm falls due, in seconds of the steady clock; infinite without one."""
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def run_due(self) -> None:
        """Makes the calls that have fallen due by now."""
        now = self._steady()
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].call is None):
            call = heapq.heappop(self._heap)[2].call
            if call is not None:
                self._make(call)

    @staticmethod
    def _make(call: Callable[[], None]) -> None:
        """Guards against one call that goes wrong ending all the others."""
        try:
            call()
        except Exception as error:
            log(LogEvent.INTERNAL_ERROR, where="timer", error=repr(error))

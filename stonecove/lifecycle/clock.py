"""The one clock, in Unix milliseconds, and the timers that run on it."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable

import trio

LONGEST_SLEEP = 0.5  # seconds; then the wall clock is read again, in case it was set


class Clock:
    """Unix milliseconds that never go back."""

    def __init__(self) -> None:
        self._last = 0.0

    def now(self) -> float:
        """The present moment."""
        self._last = max(self._last, time.time() * 1000.0)
        return self._last


class Alarm:
    """A call to be made at its time, unless called off."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def off(self) -> None:
        """Calls it off."""
        self.call = None


class Timers:
    """All alarms, in the order of their times."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Alarm]] = []
        self._count = itertools.count()
        self._wake = trio.Event()

    def at(self, moment: float, call: Callable[[], None]) -> Alarm:
        """Has the call made at that Unix millisecond, never before this turn is over."""
        alarm = Alarm(call)
        entry = (moment, next(self._count), alarm)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._wake.set()
        return alarm

    async def run(self) -> None:
        """Makes the calls as they fall due."""
        while True:
            self._wake = trio.Event()
            now = self._clock.now()
            while self._heap and (self._heap[0][0] <= now or self._heap[0][2].call is None):
                call = heapq.heappop(self._heap)[2].call
                if call is not None:
                    call()
            wait = (self._heap[0][0] - now) / 1000.0 if self._heap else LONGEST_SLEEP
            with trio.move_on_after(min(max(wait, 0.0), LONGEST_SLEEP)):
                await self._wake.wait()

"""The one clock, in Unix milliseconds, and the timers that run on it."""

from __future__ import annotations

import heapq
import itertools
import math
import time
from collections.abc import Callable

import trio

from stonecove.lifecycle.log import log

GRID = 0.005  # seconds: alarms fall due in steps, for each waking costs as much as many calls
CPU_PART = 0.97  # part of our share that we use before we refuse
CPU_SAVED = 0.1  # seconds of it that can be saved up
LONGEST_SLIP = 2000.0  # ms by which the clock may be put back unnoticed


class Clock:
    """Unix milliseconds that don't go back, unless the system's clock is set back by a lot."""

    def __init__(self) -> None:
        self._last = 0.0

    def now(self) -> float:
        """The present moment."""
        wall = time.time() * 1000.0
        # Guards against purges that seem old after a clock that ran ahead was put right.
        if wall < self._last - LONGEST_SLIP:
            self._last = wall
        self._last = max(self._last, wall)
        return self._last


class CpuCredit:
    """What of our share of a core is left to use, against being stopped by the platform for using more."""

    def __init__(self) -> None:
        self.share(1.0)

    def share(self, cores: float) -> None:
        """So much of a core is ours from now on."""
        self._cores, self._credit = cores, 0.0
        self._wall, self._used = time.monotonic(), time.process_time()

    def left(self) -> float:
        """Seconds of CPU saved up; below 0, too many were used. Nothing is said of a whole core."""
        if self._cores >= 1.0:
            return 0.0
        wall, used = time.monotonic(), time.process_time()
        earned = (wall - self._wall) * self._cores * CPU_PART
        self._credit = min(CPU_SAVED * self._cores, self._credit + earned - (used - self._used))
        self._wall, self._used = wall, used
        return self._credit


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

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Alarm]] = []
        self._count = itertools.count()
        self._wake = trio.Event()

    def at(self, moment: float, call: Callable[[], None]) -> Alarm:
        """Has the call made at that Unix millisecond, never before this turn is over."""
        alarm = Alarm(call)
        due = trio.current_time() + (moment - self._clock.now()) / 1000.0
        entry = (due, next(self._count), alarm)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._wake.set()
        return alarm

    @staticmethod
    def _make(call: Callable[[], None]) -> None:
        """Guards against one call that goes wrong ending all the others."""
        try:
            call()
        except Exception as error:
            log("bug", where="timer", error=repr(error))

    async def run(self) -> None:
        """Makes the calls as they fall due."""
        while True:
            self._wake = trio.Event()
            now = trio.current_time()
            while self._heap and (self._heap[0][0] <= now or self._heap[0][2].call is None):
                call = heapq.heappop(self._heap)[2].call
                if call is not None:
                    self._make(call)
            with trio.move_on_at(max(self._heap[0][0], now + GRID) if self._heap else math.inf):
                await self._wake.wait()

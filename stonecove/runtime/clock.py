"""The one clock, in Unix milliseconds, and what of our share of a core is left."""

from __future__ import annotations

import time
from collections.abc import Callable

CPU_PART = 0.97  # part of our share that we use before we refuse
CPU_SAVED = 0.1  # seconds of it that can be saved up
LONGEST_SLIP = 2000.0  # ms by which the clock may be put back unnoticed


class Clock:
    """Unix milliseconds that don't go back, unless the system's clock is set back by a lot."""

    def __init__(self, wall: Callable[[], float] = time.time) -> None:
        """`wall` tells Unix seconds, and may be set at any time."""
        self._wall = wall
        self._last = 0.0

    def now(self) -> float:
        """The present moment."""
        wall = self._wall() * 1000.0
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

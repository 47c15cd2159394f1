"""The clock, in Unix milliseconds, and the router's CPU credit."""

from __future__ import annotations

import time
from collections.abc import Callable

USABLE_CPU_FRACTION = 0.97  # of the router's share, used before requests are rejected
MAX_CPU_CREDIT_S = 0.1  # unused CPU time that can be accumulated, for a share of a whole core
MAX_BACKWARD_STEP_MS = 2000.0  # smaller steps back of the system clock are hidden


class Clock:
    """Unix milliseconds that don't go back, unless the system clock is set back by a lot."""

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        """Create a clock over `wall_clock`, which returns Unix seconds and may be set at any time."""
        self._wall_clock = wall_clock
        self._last_ms = 0.0

    def now(self) -> float:
        """Return the current time in Unix ms."""
        wall_ms = self._wall_clock() * 1000.0
        # A clock that ran ahead and was corrected must be followed, or new purges would seem old.
        if wall_ms < self._last_ms - MAX_BACKWARD_STEP_MS:
            self._last_ms = wall_ms
        self._last_ms = max(self._last_ms, wall_ms)
        return self._last_ms


class CpuCredit:
    """CPU time that the router may still use of its share of a core.

    A process that uses more than its share is suspended by the platform.
    """

    def __init__(self) -> None:
        self.set_cores(1.0)

    def set_cores(self, cores: float) -> None:
        """Set the router's share, in cores, and reset the credit."""
        self._cores, self._credit_s = cores, 0.0
        self._measured_at_s, self._cpu_used_s = time.monotonic(), time.process_time()

    def remaining_s(self) -> float:
        """Return the remaining CPU time in seconds; negative if the share was exceeded.

        It is always 0 for a share of a whole core.
        """
        if self._cores >= 1.0:
            return 0.0
        wall_s, used_s = time.monotonic(), time.process_time()
        earned_s = (wall_s - self._measured_at_s) * self._cores * USABLE_CPU_FRACTION
        self._credit_s = min(
            MAX_CPU_CREDIT_S * self._cores, self._credit_s + earned_s - (used_s - self._cpu_used_s)
        )
        self._measured_at_s, self._cpu_used_s = wall_s, used_s
        return self._credit_s

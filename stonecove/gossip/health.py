"""Lifeguard's local health: a router that was paused or hears from nobody suspects itself first."""

from __future__ import annotations

PAUSE_THRESHOLD_S = 0.5  # a gap between two clock readings from which on this process counts as paused
MAX_SCORE = 8
PAUSE_ANNOUNCED_S = 10.0  # how long a pause is announced to other routers


class LocalHealth:
    """The local health score: 0 is healthy, and each point lengthens all timeouts by their base value."""

    def __init__(self, now: float) -> None:
        self.score = 0
        self.paused_at = -PAUSE_ANNOUNCED_S
        self.paused_for_s = 0.0
        self._last_reading = now

    def reset_clock(self, now: float) -> None:
        """Restart the measurement; otherwise the time until the first tick would count as a pause."""
        self._last_reading = now

    def measure_gap(self, now: float) -> float:
        """Read the clock; return the seconds for which this process was paused, or 0.

        Without it, messages missed during an own pause would be taken for the silence of others.
        """
        gap, self._last_reading = now - self._last_reading, now
        if gap < PAUSE_THRESHOLD_S:
            return 0.0
        self.paused_at, self.paused_for_s = now, gap
        self.record_failure()
        return gap

    def record_failure(self) -> None:
        """Raise the score after evidence that this router is at fault."""
        self.score = min(MAX_SCORE, self.score + 1)

    def record_success(self) -> None:
        """Lower the score after evidence that this router is healthy."""
        self.score = max(0, self.score - 1)

    @property
    def timeout_multiplier(self) -> float:
        """Return the factor by which timeouts on others are multiplied."""
        return 1.0 + self.score

    def recent_pause_s(self, now: float) -> float:
        """Return the length of a recent pause for announcement, or 0."""
        return self.paused_for_s if now - self.paused_at < PAUSE_ANNOUNCED_S else 0.0

"""A router's doubt in itself, after Lifeguard: who was stopped, or hears nobody, blames itself first."""

from __future__ import annotations

GAP = 0.5  # seconds between two looks at the clock from which on we were stopped ourselves
WORST = 8
ANNOUNCED_FOR = 10.0  # seconds for which a pause is told to others


class Health:
    """Own health: 0 is well, and each step more makes all patience longer by as much again."""

    def __init__(self, now: float) -> None:
        self.score = 0
        self.paused_at = -ANNOUNCED_FOR
        self.paused_for = 0.0
        self._looked = now

    def begin(self, now: float) -> None:
        """Looks begin now. Guards against taking the wait of a start for a stop."""
        self._looked = now

    def measure_gap(self, now: float) -> float:
        """We look at the clock; returns the seconds that we were stopped for, 0 if we were not.

        Guards against taking for the silence of others what was our own.
        """
        gap, self._looked = now - self._looked, now
        if gap < GAP:
            return 0.0
        self.paused_at, self.paused_for = now, gap
        self.record_failure()
        return gap

    def record_failure(self) -> None:
        """A sign against ourselves."""
        self.score = min(WORST, self.score + 1)

    def record_success(self) -> None:
        """A sign for ourselves."""
        self.score = max(0, self.score - 1)

    @property
    def patience(self) -> float:
        """By which waits for others are multiplied."""
        return 1.0 + self.score

    def told(self, now: float) -> float:
        """The length of a pause of late, for the others to know."""
        return self.paused_for if now - self.paused_at < ANNOUNCED_FOR else 0.0

"""When changes of the merged list are handed to the decisions. Knows no I/O; times are seconds of a steady
clock.

Each handing over makes the decisions sort their lists anew, which costs by the length of the list. What
forbids fresh work is in the table of the last look at once; handing it on may wait for a little, and never
for longer than `MOST_WAIT`, which leaves the rule of 250 ms its room.
"""

from __future__ import annotations

SHARE = 0.2  # part of the time that handing over may take
MOST_WAIT = 0.1


class Pace:
    """Spreads handing over in time."""

    def __init__(self, batch: float) -> None:
        """`batch`: seconds for which changes that forbid nothing wait for others."""
        self.batch = batch
        self._allowed = 0.0  # not before then, for what the last one cost
        self._due = float("inf")

    def changed(self, now: float, urgent: bool) -> None:
        """There is something to hand over."""
        wanted = max(now if urgent else now + self.batch, self._allowed)
        self._due = min(self._due, wanted)

    def due(self) -> float:
        """When to hand over; infinite if there is nothing."""
        return self._due

    def done(self, began: float, ended: float) -> None:
        """All was handed over, which took from then till then."""
        self._due = float("inf")
        self._allowed = ended + min((ended - began) * (1.0 / SHARE - 1.0), MOST_WAIT)

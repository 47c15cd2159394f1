"""Pacing of the updates that the merged list delivers to the decision module. No I/O; times are seconds of a
monotonic clock.

Each delivery makes the decision module sort its lists again, at a cost that grows with their length. Changes
that forbid new work are applied to the node table at once, which is checked before each write; their delivery
may be delayed, but never by more than `MAX_DELAY_S`, which leaves enough of the 250 ms within which a
drain has to take effect.
"""

from __future__ import annotations

MAX_DUTY_CYCLE = 0.2  # share of the time that may be spent on deliveries
MAX_DELAY_S = 0.1


class UpdatePacer:
    """Decides when pending changes are delivered, and limits the time spent on deliveries."""

    def __init__(self, batch_delay_s: float) -> None:
        """Create a pacer that collects changes which forbid no new work for `batch_delay_s` seconds."""
        self.batch_delay_s = batch_delay_s
        self._not_before_s = 0.0  # end of the pause that the cost of the last delivery calls for
        self._deliver_at_s = float("inf")

    def schedule(self, now_s: float, urgent: bool) -> None:
        """Schedule a delivery because of a change; `urgent`: it forbids new work."""
        requested_s = max(now_s if urgent else now_s + self.batch_delay_s, self._not_before_s)
        self._deliver_at_s = min(self._deliver_at_s, requested_s)

    def deliver_at_s(self) -> float:
        """Return when to deliver; infinite if nothing is pending."""
        return self._deliver_at_s

    def delivered(self, started_s: float, ended_s: float) -> None:
        """Record a delivery of all pending changes, and how long it took."""
        self._deliver_at_s = float("inf")
        self._not_before_s = ended_s + min((ended_s - started_s) * (1.0 / MAX_DUTY_CYCLE - 1.0), MAX_DELAY_S)

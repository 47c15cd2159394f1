"""Rolling restarts with a bounded number of unavailable instances; the first failure stops the restart.

The module performs no I/O.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RollingState(Enum):
    """The state of a rolling restart; the values stand in the journal."""

    NONE = "none"
    ROLLING = "rolling"
    DONE = "done"
    STOPPED = "stopped"


class RestartStep(NamedTuple):
    """An instance that is to be restarted now."""

    name: str


class RollingRestart:
    """Restarts instances in order.

    No more than `max_unavailable` are unavailable at once, including those that are unavailable for other
    reasons.
    """

    def __init__(self) -> None:
        self.state = RollingState.NONE
        self.reason = ""
        self.max_unavailable = 1
        self.remaining: list[str] = []
        self.in_progress: list[str] = []
        self.finished: list[str] = []

    def start(self, names: list[str], max_unavailable: int) -> None:
        """Start a rolling restart; raises ValueError while another one is in progress."""
        if self.state is RollingState.ROLLING:
            raise ValueError("a roll is under way")
        if max_unavailable < 1:
            raise ValueError("at least one instance is out at a time")
        self.state, self.reason, self.max_unavailable = RollingState.ROLLING, "", max_unavailable
        self.remaining, self.in_progress, self.finished = list(names), [], []

    def next_steps(self, not_ready: set[str]) -> list[RestartStep]:
        """Return the instances to restart now; `not_ready` are those unavailable for whatever reason."""
        if self.state is not RollingState.ROLLING:
            return []
        steps = []
        # Instances that are down by themselves count, so that a crash does not raise the number unavailable.
        while self.remaining and len(not_ready | set(self.in_progress)) < self.max_unavailable:
            name = self.remaining.pop(0)
            self.in_progress.append(name)
            steps.append(RestartStep(name))
        if not self.remaining and not self.in_progress:
            self.state = RollingState.DONE
        return steps

    def mark_ready(self, name: str) -> None:
        """Record that a restarted instance is ready."""
        if name in self.in_progress:
            self.in_progress.remove(name)
            self.finished.append(name)

    def mark_failed(self, name: str, reason: str) -> None:
        """Stop the rolling restart because a restarted instance crashed, was late or is suspended."""
        if self.state is RollingState.ROLLING and name in self.in_progress:
            self.state, self.reason = RollingState.STOPPED, f"{name}: {reason}"

    def stop(self, reason: str) -> None:
        """Stop the rolling restart for a reason other than a failed instance."""
        if self.state is RollingState.ROLLING:
            self.state, self.reason = RollingState.STOPPED, reason

    def to_journal(self) -> dict[str, object]:
        """Return the journal's entry."""
        return {
            "state": self.state.value,
            "why": self.reason,
            "out": self.max_unavailable,
            "left": self.remaining,
            "under_way": self.in_progress,
            "done": self.finished,
        }

    def restore(self, entry: dict[str, object], known: set[str]) -> None:
        """Restore the state of a journal entry, without instances that are not in `known`.

        Instances in progress count as finished once they are seen ready.
        """

        def names(field: str) -> list[str]:
            value = entry.get(field, [])
            return [str(name) for name in value if name in known] if isinstance(value, list) else []

        self.state = RollingState(str(entry.get("state", "none")))
        self.reason, self.max_unavailable = str(entry.get("why", "")), int(str(entry.get("out", 1)))
        self.remaining, self.in_progress, self.finished = names("left"), names("under_way"), names("done")

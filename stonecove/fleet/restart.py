"""Decide when an instance is started, stopped, restarted or suspended.

The module performs no I/O; times are seconds of a monotonic clock unless said otherwise.

    STOPPED --run--> STARTING --ready--> READY --exit--> BACKING_OFF --deadline--> STARTING
                        |  timeout         | unhealthy         | too many restarts within the window
                        v                  v                   v
                   STOPPING, KILLED <------+               SUSPENDED --operator--> STARTING

An instance that should run is started. One that exits by itself is restarted after a backoff that doubles.
One that exits too often within a window is suspended, with an alarm, until an operator starts it. One that
does not become ready in time, or no longer answers health checks, is stopped: SIGTERM, then SIGKILL.
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum
from typing import NamedTuple


class Phase(Enum):
    """The phase of an instance's lifecycle; the values stand in the status output."""

    STOPPED = "stopped"
    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"  # SIGTERM was sent
    KILLED = "killed"  # SIGKILL was sent, the exit is not yet observed
    BACKING_OFF = "waiting"  # until the next start
    SUSPENDED = "held"


class Action(Enum):
    """What the supervisor has to do."""

    START = "start"
    TERMINATE = "terminate"
    KILL = "kill"
    ALARM = "alarm"


class RestartPolicy(NamedTuple):
    """Limits and timeouts of the restart decisions."""

    ready_timeout_s: float = 10.0
    initial_backoff_s: float = 0.2
    max_backoff_s: float = 30.0
    max_restarts: int = 5  # within the window; the next one suspends the instance
    restart_window_s: float = 60.0
    unhealthy_threshold: int = 3  # consecutive health checks without an answer
    stop_timeout_s: float = 3.7  # from SIGTERM to SIGKILL
    backoff_reset_s: float = 30.0  # time in READY after which the backoff is reset


class InstanceLifecycle:
    """State machine of one supervised instance."""

    def __init__(self, policy: RestartPolicy) -> None:
        self.policy = policy
        self.phase = Phase.STOPPED
        self.should_run = False
        self.reason = "not started yet"
        self.phase_since = 0.0
        self.restarts = 0  # total, over all supervisor processes
        self._restart_times: deque[float] = deque()
        self._backoff_s = policy.initial_backoff_s
        self._deadline = math.inf
        self._failed_checks = 0
        self._restart_pending = False  # stopped only in order to be started again

    # -- operator requests --

    def set_should_run(self, run: bool, now: float, reason: str = "by an operator") -> list[Action]:
        """Set whether the instance should run; setting it for a suspended instance starts it again."""
        self.should_run = run
        if run and self.phase in (Phase.STOPPED, Phase.SUSPENDED):
            self._restart_times.clear()
            self._backoff_s = self.policy.initial_backoff_s
            return self._start(now, reason)
        if run and self.phase in (Phase.STOPPING, Phase.KILLED):
            self._restart_pending = True
        if not run:
            self._restart_pending = False
            if self.phase in (Phase.STARTING, Phase.READY):
                return self._terminate(now, reason)
            if self.phase in (Phase.BACKING_OFF, Phase.SUSPENDED):
                self._enter_phase(Phase.STOPPED, now, reason)
        return []

    def request_restart(self, now: float, reason: str) -> list[Action]:
        """Stop the instance and start it again, as in a rolling restart; this does not count as a crash."""
        self.should_run = True
        if self.phase in (Phase.STARTING, Phase.READY):
            self._restart_pending = True
            return self._terminate(now, reason)
        return self.set_should_run(True, now, reason)

    # -- observations --

    def on_adopted(self, ready: bool, now: float) -> None:
        """Record that a running process was found by its run file."""
        self.should_run = True
        self._enter_phase(Phase.READY if ready else Phase.STARTING, now, "found running")
        self._deadline = math.inf if ready else now + self.policy.ready_timeout_s

    def on_health_check(self, healthy: bool, now: float) -> list[Action]:
        """Process the result of a health check; a check without an answer in time is not healthy."""
        if healthy:
            self._failed_checks = 0
            if self.phase is Phase.STARTING:
                self._enter_phase(Phase.READY, now, "answers")
                self._deadline = now + self.policy.backoff_reset_s
            return []
        if self.phase is Phase.READY:
            self._failed_checks += 1
            if self._failed_checks >= self.policy.unhealthy_threshold:
                return self._terminate_as_crash(now, f"no answer to {self._failed_checks} health checks")
        return []

    def on_limit_exceeded(self, reason: str, now: float) -> list[Action]:
        """Stop an instance that uses more of a resource than its limit allows."""
        return self._terminate_as_crash(now, reason) if self.phase in (Phase.STARTING, Phase.READY) else []

    def on_exited(self, reason: str, now: float) -> list[Action]:
        """Process the exit of the instance's process."""
        requested = self.phase in (Phase.STOPPING, Phase.KILLED)
        if requested and self._restart_pending and self.should_run:
            self._restart_pending = False
            return self._start(now, "restarted")
        if not self.should_run:
            self._enter_phase(Phase.STOPPED, now, reason)
            self._deadline = math.inf
            return []
        return self._back_off_or_suspend(now, reason)

    def on_start_failed(self, reason: str, now: float) -> list[Action]:
        """Process a failure to create the instance's process."""
        return self._back_off_or_suspend(now, reason)

    def tick(self, now: float) -> list[Action]:
        """Return what is to be done because a deadline has passed."""
        if now < self._deadline:
            return []
        if self.phase is Phase.BACKING_OFF:
            return self._start(now, "after backoff")
        if self.phase is Phase.STARTING:
            return self._terminate_as_crash(now, f"not ready within {self.policy.ready_timeout_s:g} s")
        if self.phase is Phase.STOPPING:
            self._enter_phase(Phase.KILLED, now, self.reason)
            self._deadline = now + self.policy.stop_timeout_s
            return [Action.KILL]
        if self.phase is Phase.KILLED:
            self._deadline = now + self.policy.stop_timeout_s
            return [Action.KILL]
        if self.phase is Phase.READY:
            self._backoff_s, self._deadline = self.policy.initial_backoff_s, math.inf
        return []

    def next_deadline(self) -> float:
        """Return the time at which `tick` has to be called next."""
        return self._deadline

    # -- transitions --

    def _enter_phase(self, phase: Phase, now: float, reason: str) -> None:
        if phase is not self.phase:
            self.phase_since = now
        self.phase, self.reason = phase, reason

    def _start(self, now: float, reason: str) -> list[Action]:
        self._failed_checks = 0
        self._enter_phase(Phase.STARTING, now, reason)
        self._deadline = now + self.policy.ready_timeout_s
        return [Action.START]

    def _terminate(self, now: float, reason: str) -> list[Action]:
        self._enter_phase(Phase.STOPPING, now, reason)
        self._deadline = now + self.policy.stop_timeout_s
        return [Action.TERMINATE]

    def _terminate_as_crash(self, now: float, reason: str) -> list[Action]:
        """Stop a faulty instance; its exit counts as a crash."""
        self._restart_pending = False
        return self._terminate(now, reason)

    def _back_off_or_suspend(self, now: float, reason: str) -> list[Action]:
        while self._restart_times and self._restart_times[0] <= now - self.policy.restart_window_s:
            self._restart_times.popleft()
        if len(self._restart_times) >= self.policy.max_restarts:
            self._enter_phase(
                Phase.SUSPENDED,
                now,
                f"{reason}; {len(self._restart_times)} restarts within {self.policy.restart_window_s:g} s",
            )
            self._deadline = math.inf
            return [Action.ALARM]
        self._restart_times.append(now)
        self.restarts += 1
        self._enter_phase(Phase.BACKING_OFF, now, reason)
        self._deadline = now + self._backoff_s
        self._backoff_s = min(2.0 * self._backoff_s, self.policy.max_backoff_s)
        return []

    # -- persistence --

    def to_journal(self, unix_s: float, now: float) -> dict[str, object]:
        """Return the journal's entry; the times of recent restarts are written as Unix seconds."""
        return {
            "wanted": self.should_run,
            "held": self.phase is Phase.SUSPENDED,
            "why": self.reason,
            "restarts": self.restarts,
            "recent": [unix_s - (now - at) for at in self._restart_times],
        }

    def restore(self, entry: dict[str, object], unix_s: float, now: float) -> None:
        """Restore the state of a journal entry.

        After the system clock was set back, recent restarts count as if they had happened now.
        """
        self.should_run = bool(entry.get("wanted"))
        self.restarts = int(str(entry.get("restarts", 0)))
        recent = entry.get("recent", [])
        if isinstance(recent, list):
            self._restart_times = deque(now - max(0.0, unix_s - float(at)) for at in recent)
        if entry.get("held"):
            self._enter_phase(Phase.SUSPENDED, now, str(entry.get("why", "")))

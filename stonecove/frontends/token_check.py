"""Checks the tokens of requests for all fronts: the gate, joined to the clock, the counts and the log."""

from __future__ import annotations

import time
from collections.abc import Callable

from stonecove.access.gate import Decision, Gate
from stonecove.access.grants import Request
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log_limited
from stonecove.runtime.log_events import LogEvent


class TokenChecker:
    """Checks tokens with one gate for all fronts of a router."""

    def __init__(self, gate: Gate, clock: Clock, depot: str, count: Callable[[str], None]) -> None:
        """`depot`: the zone of this router; `count` is called with the counter's name on each refusal."""
        self.gate, self._clock, self.depot, self._count = gate, clock, depot, count

    def check(self, request: Request) -> Decision:
        """Decides on a request; logs reason, key id and subject of a refusal, never the token."""
        parts = request.path.split("/")
        item = "/".join(parts[2:4])
        decision = self.gate.check(request, item, self._clock.now() / 1000.0, time.monotonic())
        if not decision.good:
            self._count(f"token_{decision.reason.value}")
            log_limited(
                LogEvent.TOKEN_REJECTED,
                reason=decision.reason.value,
                path=request.path[:200],
                source=request.source,
                subject=decision.subject[:64],
                key=decision.key_id[:64],
                detail=decision.why,
            )
        return decision

    def over(self, decision: Decision, ran: bool) -> None:
        """Called once an admitted request has its final answer; `ran`: whether it may have had an effect."""
        self.gate.over(decision, ran)

"""Token checks for all frontends: connects the gate to the clock, the counters and the log."""

from __future__ import annotations

import time
from collections.abc import Callable

from stonecove.access.gate import Decision, Gate
from stonecove.access.grants import Request
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log_limited
from stonecove.runtime.log_events import LogEvent


class TokenChecker:
    """Checks tokens with one gate for all frontends of a router."""

    def __init__(self, gate: Gate, clock: Clock, depot: str, count: Callable[[str], None]) -> None:
        """Create a checker; `depot` is the zone of this router.

        `count` is called with the name of a counter on each rejection.
        """
        self.gate, self._clock, self.depot, self._count = gate, clock, depot, count

    def check(self, request: Request) -> Decision:
        """Decide on a request; a rejection is logged with reason, key id and subject, but no token."""
        segments = request.path.split("/")
        item = "/".join(segments[2:4])
        decision = self.gate.check(request, item, self._clock.now() / 1000.0, time.monotonic())
        if not decision.admitted:
            self._count(f"token_{decision.reason.value}")
            log_limited(
                LogEvent.TOKEN_REJECTED,
                reason=decision.reason.value,
                path=request.path[:200],
                source=request.source,
                subject=decision.subject[:64],
                key=decision.key_id[:64],
                detail=decision.log_detail,
            )
        return decision

    def release(self, decision: Decision, ran: bool) -> None:
        """Release an admitted request after its final answer; `ran`: it may have had an effect."""
        self.gate.finish_request(decision, ran)

"""Stage 6, recording: ends each attempt once, closes completed requests, and counts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from stonecove.pipeline.admit import Admit
from stonecove.routing.events import PROVEN_NOT_EXECUTED, AttemptEnded, Event, Outcome, reported_outcome
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent
from stonecove.state.requests import Attempt, OpenRequest


class AttemptRecorder:
    """Reports the end of each attempt to the decision module exactly once."""

    def __init__(self, clock: Clock, admit: Admit, post: Callable[[Event], None]) -> None:
        self._clock = clock
        self._admit = admit
        self._post = post
        self.counts: Counter[str] = Counter()

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cache_status: int = 0,
        waited_ms: float = 0.0,
        load: tuple[float, ...] = (),
    ) -> None:
        """Record the end of an attempt; later events of it are ignored."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.not_executed = outcome in PROVEN_NOT_EXECUTED
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
        self.counts[reported_outcome(outcome)] += 1
        request, action = attempt.request, attempt.action
        duration_ms = self._clock.now() - (attempt.written_at_ms or attempt.decided_at_ms)
        self._post(
            AttemptEnded(
                request.request_id,
                attempt.number,
                action.node_id,
                outcome,
                duration_ms,
                request.answered,
                cache_status,
                waited_ms,
                load,
            )
        )
        self.close_if_complete(request)

    def close_if_complete(self, request: OpenRequest) -> None:
        """Close a request that is answered and has no attempt in flight."""
        if request.answered and all(attempt.ended for attempt in request.attempts):
            if request.backstop_timer is not None:
                request.backstop_timer.cancel()
            self._admit.close_request(request, self._clock.now())

    def log_statistics(self, **fields: object) -> None:
        """Log the counts since the last call, and reset them."""
        log(LogEvent.STATS, **fields, **dict(sorted(self.counts.items())))
        self.counts.clear()

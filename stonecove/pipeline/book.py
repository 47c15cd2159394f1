"""Stage 6, book: ends each attempt once, closes requests, and counts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from stonecove.pipeline.admit import Admit
from stonecove.routing.events import PROVEN_NOT_EXECUTED, AttemptEnded, Event, Outcome, reported_outcome
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent
from stonecove.state.requests import Attempt, OpenRequest


class Book:
    """Tells the decisions of every end, exactly once."""

    def __init__(self, clock: Clock, admit: Admit, post: Callable[[Event], None]) -> None:
        self._clock = clock
        self._admit = admit
        self._post = post
        self.counts: Counter[str] = Counter()

    def ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        note: int = 0,
        waited: float = 0.0,
        load: tuple[float, ...] = (),
    ) -> None:
        """An attempt is over; late news of it is dropped."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.not_run = outcome in PROVEN_NOT_EXECUTED
        if attempt.alarm is not None:
            attempt.alarm.off()
        self.counts[reported_outcome(outcome)] += 1
        request, order = attempt.request, attempt.order
        took = self._clock.now() - (attempt.written_at or attempt.ordered_at)
        self._post(
            AttemptEnded(
                request.req,
                attempt.number,
                order.node_id,
                outcome,
                took,
                request.answered,
                note,
                waited,
                load,
            )
        )
        self.close_if_over(request)

    def close_if_over(self, request: OpenRequest) -> None:
        """Forgets a request that is answered and has nothing out any more."""
        if request.answered and all(attempt.ended for attempt in request.attempts):
            if request.backstop is not None:
                request.backstop.off()
            self._admit.leave(request)

    def line(self, **more: object) -> None:
        """Writes what was counted since the last line."""
        log(LogEvent.STATS, **more, **dict(sorted(self.counts.items())))
        self.counts.clear()

"""Stage 5, relaying: validates a cache's response and gives the client its one final answer."""

from __future__ import annotations

import re
from typing import NamedTuple

from stonecove.exchange import Answer, Verdict
from stonecove.pipeline.book import AttemptRecorder
from stonecove.routing.events import CacheStatus, Outcome
from stonecove.routing.settings import ClassSettings, Settings
from stonecove.runtime.log import log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.state.requests import Attempt, OpenRequest

AGE_TOLERANCE_MS = 50.0  # by which a copy may seem older than the requested maximum age

MAX_BODY_BYTES = 240_000  # longest object

OUTCOMES = {
    "200": Outcome.OK,
    "304": Outcome.OK,
    "404": Outcome.MISS,
    "503": Outcome.REJECTED_OVERLOADED,
    "500": Outcome.ERROR,
    "504": Outcome.EXPIRED_UNSENT,
}
_TAG = re.compile(r"[0-9A-Za-z._-]{1,64}")
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,12})?")
_CACHE_STATUSES = {
    "hit": CacheStatus.HIT,
    "filled": CacheStatus.FILLED,
    "via_origin": CacheStatus.FILLED_BY_ORIGIN,
    "joined": CacheStatus.JOINED,
    "stale": CacheStatus.STALE,
    "src_refused": CacheStatus.SOURCE_REJECTED,
    "src_broke": CacheStatus.SOURCE_DISCONNECTED,
    "src_lacks": CacheStatus.SOURCE_MISSING_OBJECT,
    "no_slot": CacheStatus.NO_FILL_SLOT,
    "origin_failed": CacheStatus.ORIGIN_FAILED,
}


class Reply(NamedTuple):
    """A cache's response to one attempt."""

    status: str
    fields: dict[str, str]
    body: bytes


def _parse_number(text: str) -> float | None:
    """Return a number as caches write it; None if it is malformed."""
    return float(text) if _DECIMAL.fullmatch(text) else None


class Relay:
    """Passes responses on to clients."""

    def __init__(self, settings: Settings, recorder: AttemptRecorder) -> None:
        self._recorder = recorder
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings; each request keeps the class settings under which it was admitted."""
        self._report_fields = settings.load_report_fields

    def answer(self, request: OpenRequest, answer: Answer) -> None:
        """Give a request its final answer; a second one is ignored."""
        if request.answered:
            return
        request.answered = True
        self._recorder.counts[answer.verdict.value] += 1
        request.client_request.reply(answer)
        self._recorder.close_if_complete(request)

    def client_disconnected(self, request: OpenRequest) -> None:
        """Note that no answer is due, as the client has disconnected."""
        request.answered = True
        self._recorder.counts["left"] += 1
        self._recorder.close_if_complete(request)

    def corruption_reason(self, attempt: Attempt, reply: Reply) -> str:
        """Return why a response can't have been written by a working cache; empty if it is plausible.

        Corrupt data could otherwise be served, or be taken for a statement that nothing ran.
        """
        if reply.status not in OUTCOMES:
            return f"an answer of the word {reply.status[:20]!r}"
        if OUTCOMES[reply.status] is not Outcome.OK:
            return "an error response with a body" if reply.body else ""
        if len(reply.body) > MAX_BODY_BYTES:
            return f"an answer of {len(reply.body)} bytes"
        cached = not attempt.request.class_settings.never_cached
        tag, created_at = (reply.fields.get(name, "") for name in ("ver", "born"))
        if cached and not (_TAG.fullmatch(tag) and _parse_number(created_at)):
            return "a copy without a tag or an age"
        return ""

    def handle_reply(self, attempt: Attempt, reply: Reply) -> None:
        """Handle a cache's response to an attempt that is in flight."""
        outcome = OUTCOMES[reply.status]
        if outcome is Outcome.OK and (reason := self._rejection_reason(attempt, reply)):
            log_limited(LogEvent.COPY_REJECTED, node=f"s-{attempt.action.node_id:08x}", reason=reason)
            outcome = Outcome.ERROR
        if outcome is Outcome.OK:
            verdict = Verdict.UNCHANGED if reply.status == "304" else Verdict.SERVED
            self.answer(
                attempt.request,
                Answer(
                    verdict,
                    reply.body,
                    reply.fields.get("ver", ""),
                    copy_made_at_ms=_parse_number(reply.fields.get("born", "")) or 0.0,
                ),
            )
        cache_status = _CACHE_STATUSES.get(reply.fields.get("tell", ""), CacheStatus.NONE)
        self._recorder.attempt_ended(
            attempt,
            outcome,
            int(cache_status),
            _parse_number(reply.fields.get("waited", "")) or 0.0,
            self._load_report(reply.fields.get("meter", "")),
        )

    def _rejection_reason(self, attempt: Attempt, reply: Reply) -> str:
        """Return why a successful response must not be passed on; empty if it may."""
        client_request, cls = attempt.request.client_request, attempt.request.class_settings
        if reply.status == "304" and (
            not client_request.client_tag or reply.fields.get("ver") != client_request.client_tag
        ):
            return "a 304 for a copy that the client does not have"
        if reply.status == "304" and reply.body:
            return "a 304 with a body"
        max_age_ms = self._max_age_ms(cls, attempt)
        created_at_ms = _parse_number(reply.fields.get("born", "")) or 0.0
        if (
            not cls.never_cached
            and max_age_ms
            and created_at_ms < attempt.written_at_ms - max_age_ms - AGE_TOLERANCE_MS
        ):
            return f"{attempt.written_at_ms - created_at_ms:.0f} ms old, maximum {max_age_ms:.0f}"
        return ""

    @staticmethod
    def _max_age_ms(cls: ClassSettings, attempt: Attempt) -> float:
        """Return the maximum age that was requested; 0 for any age."""
        return attempt.action.max_age_ms or cls.fresh_ms

    def _load_report(self, meter: str) -> tuple[float, ...]:
        """Return the load report, in the order of the settings; empty if a figure is missing or malformed.

        An incomplete report would otherwise pass for that of an idle cache.
        """
        values = dict(pair.split(":", 1) for pair in meter.split(";") if ":" in pair)
        numbers = [_parse_number(values.get(name, "")) for name in self._report_fields]
        return tuple(number for number in numbers if number is not None) if None not in numbers else ()

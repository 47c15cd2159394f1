"""Stage 5, relay: judges what a cache sent and gives the client its one final answer."""

from __future__ import annotations

import re
from typing import NamedTuple

from stonecove.exchange import Answer, Verdict
from stonecove.pipeline.book import Book
from stonecove.routing.events import CacheStatus, Outcome
from stonecove.routing.settings import ClassSettings, Settings
from stonecove.runtime.log import log_some
from stonecove.runtime.log_events import LogEvent
from stonecove.state.requests import Attempt, OpenRequest

SLACK = 50.0  # ms by which a copy may seem older than was asked for

MOST_BODY = 240_000  # bytes of the longest object

OUTCOMES = {
    "200": Outcome.OK,
    "304": Outcome.OK,
    "404": Outcome.MISS,
    "503": Outcome.REJECTED_OVERLOADED,
    "500": Outcome.ERROR,
    "504": Outcome.EXPIRED_UNSENT,
}
_TAG = re.compile(r"[0-9A-Za-z._-]{1,64}")
_FIGURE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,12})?")
_NOTES = {
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
    """A cache's answer to one attempt."""

    word: str
    fields: dict[str, str]
    body: bytes


def _number(text: str) -> float | None:
    """A figure as caches write it; None if it can't be read."""
    return float(text) if _FIGURE.fullmatch(text) else None


class Relay:
    """The way back to the client."""

    def __init__(self, settings: Settings, book: Book) -> None:
        self._book = book
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold from now on; each request keeps the class it came under."""
        self._report_fields = settings.load_report_fields

    def answer(self, request: OpenRequest, answer: Answer) -> None:
        """The final answer; only the first counts."""
        if request.answered:
            return
        request.answered = True
        self._book.counts[answer.verdict.value] += 1
        request.asked.reply(answer)
        self._book.close_if_over(request)

    def left(self, request: OpenRequest) -> None:
        """The client has gone: no answer is owed."""
        request.answered = True
        self._book.counts["left"] += 1
        self._book.close_if_over(request)

    def spoilt(self, attempt: Attempt, reply: Reply) -> str:
        """Why an answer can't be what a cache says; empty if it may be.

        Guards against passing on noise as served, or taking it for the word that nothing ran.
        """
        if reply.word not in OUTCOMES:
            return f"an answer of the word {reply.word[:20]!r}"
        if OUTCOMES[reply.word] is not Outcome.OK:
            return "an error with bytes" if reply.body else ""
        if len(reply.body) > MOST_BODY:
            return f"an answer of {len(reply.body)} bytes"
        kept = not attempt.request.cls.never_cached
        tag, born = (reply.fields.get(name, "") for name in ("ver", "born"))
        if kept and not (_TAG.fullmatch(tag) and _number(born)):
            return "a copy without a tag or an age"
        return ""

    def arrived(self, attempt: Attempt, reply: Reply) -> None:
        """A cache has answered an attempt that is out."""
        outcome = OUTCOMES[reply.word]
        if outcome is Outcome.OK and (wrong := self._wrong(attempt, reply)):
            log_some(LogEvent.COPY_REJECTED, node=f"s-{attempt.order.node_id:08x}", reason=wrong)
            outcome = Outcome.ERROR
        if outcome is Outcome.OK:
            verdict = Verdict.UNCHANGED if reply.word == "304" else Verdict.SERVED
            self.answer(
                attempt.request,
                Answer(
                    verdict,
                    reply.body,
                    reply.fields.get("ver", ""),
                    copy_made_at_ms=_number(reply.fields.get("born", "")) or 0.0,
                ),
            )
        note = _NOTES.get(reply.fields.get("tell", ""), CacheStatus.NONE)
        self._book.ended(
            attempt,
            outcome,
            int(note),
            _number(reply.fields.get("waited", "")) or 0.0,
            self._load(reply.fields.get("meter", "")),
        )

    def _wrong(self, attempt: Attempt, reply: Reply) -> str:
        """What is wrong with an answer that says ok. Guards against passing on a copy that won't do."""
        asked, cls = attempt.request.asked, attempt.request.cls
        if reply.word == "304" and (not asked.client_tag or reply.fields.get("ver") != asked.client_tag):
            return "unchanged, but not the client's copy"
        if reply.word == "304" and reply.body:
            return "unchanged, but with bytes"
        oldest = self._oldest(cls, attempt)
        born = _number(reply.fields.get("born", "")) or 0.0
        if not cls.never_cached and oldest and born < attempt.written_at - oldest - SLACK:
            return f"{attempt.written_at - born:.0f} ms old, asked for {oldest:.0f}"
        return ""

    @staticmethod
    def _oldest(cls: ClassSettings, attempt: Attempt) -> float:
        """The age that was asked for; 0: any."""
        return attempt.order.max_age_ms or cls.fresh_ms

    def _load(self, meter: str) -> tuple[float, ...]:
        """The load report, in the order of the settings; empty without a whole one.

        Guards against a figure that can't be read passing for an idle cache.
        """
        told = dict(pair.split(":", 1) for pair in meter.split(";") if ":" in pair)
        figures = [_number(told.get(name, "")) for name in self._report_fields]
        return tuple(figure for figure in figures if figure is not None) if None not in figures else ()

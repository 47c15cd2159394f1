"""Stage 5, relay: judges what a cache sent and gives the client its one final answer."""

from __future__ import annotations

import math
from typing import NamedTuple

from stonecove.interface import ClassSettings, Note, Outcome, Settings
from stonecove.lifecycle.log import log
from stonecove.memory.requests import Attempt, OpenRequest
from stonecove.stages.book import Book
from stonecove.stages.types import Answer, Verdict

SLACK = 50.0  # ms by which a copy may seem older than was asked for

_OUTCOMES = {"200": Outcome.OK, "304": Outcome.OK, "404": Outcome.MISS, "503": Outcome.FULL,
             "500": Outcome.ERROR, "504": Outcome.MOOT}
_NOTES = {"hit": Note.HIT, "filled": Note.FILLED, "via_origin": Note.FILLED_BY_ORIGIN, "joined": Note.JOINED,
          "stale": Note.OLD_COPY, "src_refused": Note.SOURCE_REFUSED, "src_broke": Note.SOURCE_BROKE,
          "src_lacks": Note.SOURCE_LACKS, "no_slot": Note.NO_FILL_PLACE, "origin_failed": Note.ORIGIN_FAILED}


class Reply(NamedTuple):
    """A cache's answer to one attempt."""

    word: str
    fields: dict[str, str]
    body: bytes


def _number(text: str, default: float) -> float:
    try:
        value = float(text)
    except ValueError:
        return default
    return value if math.isfinite(value) else default


class Relay:
    """The way back to the client."""

    def __init__(self, settings: Settings, book: Book) -> None:
        self._settings = settings
        self._book = book

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

    def arrived(self, attempt: Attempt, reply: Reply) -> None:
        """A cache has answered an attempt that is out."""
        outcome = _OUTCOMES.get(reply.word, Outcome.ERROR)
        if outcome is Outcome.OK and (wrong := self._wrong(attempt, reply)):
            log("bad-copy", node=f"s-{attempt.order.node:08x}", why=wrong)
            outcome = Outcome.ERROR
        if outcome is Outcome.OK:
            verdict = Verdict.UNCHANGED if reply.word == "304" else Verdict.SERVED
            self.answer(attempt.request, Answer(verdict, reply.body, reply.fields.get("ver", "")))
        note = _NOTES.get(reply.fields.get("tell", ""), Note.NONE)
        self._book.ended(attempt, outcome, int(note), _number(reply.fields.get("waited", ""), 0.0),
                         self._load(reply.fields.get("meter", "")))

    def _wrong(self, attempt: Attempt, reply: Reply) -> str:
        """What is wrong with an answer that says ok. Guards against passing on a copy that won't do."""
        asked = attempt.request.asked
        cls = self._settings.classes[asked.kind]
        if reply.word == "304" and (not asked.seen or reply.fields.get("ver", asked.seen) != asked.seen):
            return "unchanged, but not the client's copy"
        if reply.word == "304" and reply.body:
            return "unchanged, but with bytes"
        oldest = self._oldest(cls, attempt)
        born = _number(reply.fields.get("born", ""), math.inf)
        if not cls.never_kept and oldest and born < attempt.written_at - oldest - SLACK:
            return f"{attempt.written_at - born:.0f} ms old, asked for {oldest:.0f}"
        return ""

    @staticmethod
    def _oldest(cls: ClassSettings, attempt: Attempt) -> float:
        """The age that was asked for; 0: any."""
        return attempt.order.age or cls.fresh

    def _load(self, meter: str) -> tuple[float, ...]:
        """The load report, in the order of the settings; empty without one."""
        if not meter:
            return ()
        told = dict(pair.split(":", 1) for pair in meter.split(";") if ":" in pair)
        return tuple(_number(told.get(name, ""), 0.0) for name in self._settings.report_fields)

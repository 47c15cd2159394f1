"""Follows requests by their ids through all stages, with OpenTelemetry. Off, and not imported, by default.

STONECOVE_TRACE is RATIO:MOST_BYTES:KEEP:FILE. A request is a span `request`, each attempt a span `attempt`
below it; what happens in between are events (admitted, written, arrived). The trace's id is
made from the request's own (X-Txn), so that all instances choose the same requests, and a request that a
client sends again is found under one id. Spans go as JSON, a line each, into a file that turns over by size.

The stages know nothing of this: their methods are wrapped from outside, where they pass a request on.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Sequence
from functools import wraps
from pathlib import Path
from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import IdGenerator, RandomIdGenerator
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import Span, set_span_in_context

from stonecove.exchange import Answer, ClientRequest
from stonecove.pipeline.route import Route
from stonecove.routing.events import Outcome, reported_outcome
from stonecove.routing.rendezvous import mix64
from stonecove.server.config import Config
from stonecove.state.requests import Attempt, OpenRequest

EXPORT_EVERY = 500  # ms
MOST_QUEUED = 8192  # spans that wait to be written; more are dropped, and nothing waits for them


def trace_id_of(txn: str) -> int:
    """128 bits that belong to an id of 16 hex digits; mixed, as the ratio is taken from the low half."""
    return int(txn, 16) << 64 | mix64(int(txn, 16))


class ByRequest(IdGenerator):
    """Trace ids from requests' ids, random span ids."""

    def __init__(self) -> None:
        self._random = RandomIdGenerator()
        self.txn = "0" * 16

    def generate_span_id(self) -> int:
        """A random one."""
        return self._random.generate_span_id()

    def generate_trace_id(self) -> int:
        """That of the request that is taken in just now."""
        return trace_id_of(self.txn)


class SpanFile(SpanExporter):
    """Spans as JSON, a line each; runs in the exporter's thread. A full disk drops with a count."""

    def __init__(self, path: Path, most_bytes: int, keep: int) -> None:
        self._path, self._most, self._keep = path, most_bytes, keep
        self.dropped = 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Appends; turns the file over first if it would grow too long."""
        data = b"".join(line_of(span) for span in spans)
        try:
            if self._path.exists() and self._path.stat().st_size + len(data) > self._most:
                self._turn_over()
            with self._path.open("ab") as file:
                file.write(data)
        except OSError:
            self.dropped += len(spans)
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def _turn_over(self) -> None:
        names = [self._path, *(Path(f"{self._path}.{number}") for number in range(1, self._keep + 1))]
        if self._keep == 0:
            self._path.unlink()
        for old, new in reversed(list(zip(names, names[1:], strict=False))):
            if old.exists():
                os.replace(old, new)


def line_of(span: ReadableSpan) -> bytes:
    """One span as a line; times are Unix nanoseconds."""
    context, parent = span.get_span_context(), span.parent
    assert context is not None
    return (
        json.dumps(
            {
                "name": span.name,
                "trace": f"{context.trace_id:032x}",
                "span": f"{context.span_id:016x}",
                "parent": f"{parent.span_id:016x}" if parent is not None else "",
                "start": span.start_time,
                "end": span.end_time,
                "by": str(span.resource.attributes.get("service.instance.id", "")),
                "attributes": dict(span.attributes or {}),
                "events": [
                    {"name": event.name, "at": event.timestamp, **dict(event.attributes or {})}
                    for event in span.events
                ],
            }
        ).encode()
        + b"\n"
    )


class Watch:
    """Wraps the places at which stages pass requests on."""

    def __init__(self, route: Route, provider: TracerProvider, ids: ByRequest) -> None:
        self._route, self._ids = route, ids
        self._tracer = provider.get_tracer("stonecove")
        self._requests: dict[int, Span] = {}  # by number, sampled ones alone
        self._attempts: dict[Attempt, Span] = {}
        self._wrap(route, "submit", self._asked)
        self._wrap(route.send, "start", self._ordered)
        self._wrap(route.send, "begin", self._begun)
        self._wrap(route.relay, "handle_reply", self._arrived)
        self._wrap(route.relay, "answer", self._answered)
        self._wrap(route.relay, "client_disconnected", self._left)
        self._wrap(route.recorder, "attempt_ended", self._ended)

    @staticmethod
    def _wrap(owner: object, name: str, around: Callable[..., Any]) -> None:
        inner = getattr(owner, name)

        @wraps(inner)
        def wrapped(*args: Any, **kwargs: Any) -> Any:
            return around(inner, *args, **kwargs)

        setattr(owner, name, wrapped)

    def _asked(
        self, inner: Callable[[ClientRequest], OpenRequest | None], asked: ClientRequest
    ) -> OpenRequest | None:
        self._ids.txn = asked.txn
        span = self._tracer.start_span(
            "request",
            attributes={
                "txn": asked.txn,
                "class": asked.cls,
                "item": asked.item,
                "part": asked.chunk_index,
                "ttl_ms": asked.timeout_ms,
            },
        )
        request = inner(asked)
        if not span.is_recording():
            return request
        if request is None:
            span.set_attribute("verdict", "refused at the door")
            span.end()
            return None
        span.add_event("admitted", {"open": len(self._route.requests)})
        self._requests[request.request_id] = span
        return request

    def _ordered(self, inner: Callable[[Attempt], None], attempt: Attempt) -> None:
        parent = self._requests.get(attempt.request.request_id)
        if parent is not None:
            order = attempt.action
            self._attempts[attempt] = self._tracer.start_span(
                "attempt",
                context=set_span_in_context(parent),
                attributes={
                    "number": attempt.number,
                    "node": f"s-{order.node_id:08x}",
                    "source": f"s-{order.source_id:08x}",
                    "keep": order.cache_rank,
                    "how": int(order.fetch_mode),
                },
            )
        inner(attempt)

    def _begun(self, inner: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        found = inner(*args, **kwargs)
        for attempt in (one for one in args if isinstance(one, Attempt)):
            if attempt in self._attempts and attempt.written_at_ms:
                self._attempts[attempt].add_event("written")
        return found

    def _arrived(self, inner: Callable[..., None], attempt: Attempt, reply: Any) -> None:
        if (span := self._attempts.get(attempt)) is not None:
            span.add_event(
                "arrived",
                {"word": reply.status, "bytes": len(reply.body), "tell": reply.fields.get("tell", "")},
            )
        inner(attempt, reply)

    def _answered(self, inner: Callable[..., None], request: OpenRequest, answer: Answer) -> None:
        if not request.answered and (span := self._requests.pop(request.request_id, None)) is not None:
            span.set_attributes(
                {
                    "verdict": answer.verdict.value,
                    "pause_ms": answer.retry_after_ms,
                    "bytes": len(answer.body),
                    "attempts": len(request.attempts),
                }
            )
            span.end()
        inner(request, answer)

    def _left(self, inner: Callable[..., None], request: OpenRequest) -> None:
        if (span := self._requests.pop(request.request_id, None)) is not None:
            span.set_attribute("verdict", "left")
            span.end()
        inner(request)

    def _ended(self, inner: Callable[..., None], attempt: Attempt, outcome: Outcome, *args: Any) -> None:
        if not attempt.ended and (span := self._attempts.pop(attempt, None)) is not None:
            span.set_attribute("outcome", reported_outcome(outcome))
            span.end()
        inner(attempt, outcome, *args)


def trace_from(setting: str, config: Config, route: Route) -> TracerProvider:
    """Begins to trace, as the setting says; raises ValueError for one that can't be read."""
    ratio, most_bytes, keep, path = setting.split(":", 3)
    ids = ByRequest()
    provider = TracerProvider(
        sampler=TraceIdRatioBased(float(ratio)),
        id_generator=ids,
        resource=Resource({"service.name": "stonecove", "service.instance.id": config.name}),
    )
    exporter = SpanFile(Path(path), int(most_bytes), int(keep))
    provider.add_span_processor(
        BatchSpanProcessor(exporter, max_queue_size=MOST_QUEUED, schedule_delay_millis=EXPORT_EVERY)
    )
    Watch(route, provider, ids)
    return provider

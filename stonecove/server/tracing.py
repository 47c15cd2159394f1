"""Trace requests through all stages with OpenTelemetry. Off, and not imported, by default.

STONECOVE_TRACE is RATIO:MOST_BYTES:KEEP:FILE. A request is a span `request`, each attempt a child span
`attempt`; steps in between are events (admitted, written, arrived). The trace id is derived from the id of
the request (X-Txn), so that all instances sample the same requests, and a request that a client retries is
found under one id. Spans are written as JSON, one per line, to a file that is rotated by size.

The stages do not depend on this module: it wraps those of their methods that pass a request on.
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

EXPORT_INTERVAL_MS = 500
MAX_QUEUED_SPANS = 8192  # more are dropped: requests never wait for spans to be written


def trace_id_of(txn: str) -> int:
    """Return the 128-bit trace id of a request id of 16 hex digits.

    The low half is a hash, as the sampler compares it with the ratio.
    """
    return int(txn, 16) << 64 | mix64(int(txn, 16))


class RequestIdGenerator(IdGenerator):
    """Generates trace ids from request ids, and random span ids."""

    def __init__(self) -> None:
        self._random = RandomIdGenerator()
        self.txn = "0" * 16

    def generate_span_id(self) -> int:
        """Return a random span id."""
        return self._random.generate_span_id()

    def generate_trace_id(self) -> int:
        """Return the trace id of the request that is being accepted."""
        return trace_id_of(self.txn)


class SpanFileExporter(SpanExporter):
    """Writes spans as JSON lines, in the exporter's thread; spans that can't be written are counted."""

    def __init__(self, path: Path, max_bytes: int, rotated_files: int) -> None:
        self._path, self._max_bytes, self._rotated_files = path, max_bytes, rotated_files
        self.dropped = 0

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append spans to the file, after rotating it if it would grow too large."""
        data = b"".join(span_to_line(span) for span in spans)
        try:
            if self._path.exists() and self._path.stat().st_size + len(data) > self._max_bytes:
                self._rotate()
            with self._path.open("ab") as file:
                file.write(data)
        except OSError:
            self.dropped += len(spans)
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def _rotate(self) -> None:
        names = [
            self._path,
            *(Path(f"{self._path}.{number}") for number in range(1, self._rotated_files + 1)),
        ]
        if self._rotated_files == 0:
            self._path.unlink()
        for old, new in reversed(list(zip(names, names[1:], strict=False))):
            if old.exists():
                os.replace(old, new)


def span_to_line(span: ReadableSpan) -> bytes:
    """Return one span as a JSON line; times are in Unix nanoseconds."""
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


class RequestTracer:
    """Wraps the methods with which stages pass requests on, and records spans."""

    def __init__(self, route: Route, provider: TracerProvider, ids: RequestIdGenerator) -> None:
        self._route, self._ids = route, ids
        self._tracer = provider.get_tracer("stonecove")
        self._requests: dict[int, Span] = {}  # by request number; only sampled requests
        self._attempts: dict[Attempt, Span] = {}
        self._wrap(route, "submit", self._trace_request)
        self._wrap(route.send, "start", self._trace_order)
        self._wrap(route.send, "begin", self._trace_write)
        self._wrap(route.relay, "handle_reply", self._trace_reply)
        self._wrap(route.relay, "answer", self._trace_answer)
        self._wrap(route.relay, "client_disconnected", self._trace_departure)
        self._wrap(route.recorder, "attempt_ended", self._trace_outcome)

    @staticmethod
    def _wrap(owner: object, name: str, hook: Callable[..., Any]) -> None:
        wrapped_method = getattr(owner, name)

        @wraps(wrapped_method)
        def wrapper(*args: Any, **kwargs: Any) -> Any:
            return hook(wrapped_method, *args, **kwargs)

        setattr(owner, name, wrapper)

    def _trace_request(
        self, wrapped_method: Callable[[ClientRequest], OpenRequest | None], client_request: ClientRequest
    ) -> OpenRequest | None:
        self._ids.txn = client_request.txn
        span = self._tracer.start_span(
            "request",
            attributes={
                "txn": client_request.txn,
                "class": client_request.cls,
                "item": client_request.item,
                "part": client_request.chunk_index,
                "ttl_ms": client_request.timeout_ms,
            },
        )
        request = wrapped_method(client_request)
        if not span.is_recording():
            return request
        if request is None:
            span.set_attribute("verdict", "refused at the door")
            span.end()
            return None
        span.add_event("admitted", {"open": len(self._route.requests)})
        self._requests[request.request_id] = span
        return request

    def _trace_order(self, wrapped_method: Callable[[Attempt], None], attempt: Attempt) -> None:
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
        wrapped_method(attempt)

    def _trace_write(self, wrapped_method: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        result = wrapped_method(*args, **kwargs)
        for attempt in (argument for argument in args if isinstance(argument, Attempt)):
            if attempt in self._attempts and attempt.written_at_ms:
                self._attempts[attempt].add_event("written")
        return result

    def _trace_reply(self, wrapped_method: Callable[..., None], attempt: Attempt, reply: Any) -> None:
        if (span := self._attempts.get(attempt)) is not None:
            span.add_event(
                "arrived",
                {"word": reply.status, "bytes": len(reply.body), "tell": reply.fields.get("tell", "")},
            )
        wrapped_method(attempt, reply)

    def _trace_answer(
        self, wrapped_method: Callable[..., None], request: OpenRequest, answer: Answer
    ) -> None:
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
        wrapped_method(request, answer)

    def _trace_departure(self, wrapped_method: Callable[..., None], request: OpenRequest) -> None:
        if (span := self._requests.pop(request.request_id, None)) is not None:
            span.set_attribute("verdict", "left")
            span.end()
        wrapped_method(request)

    def _trace_outcome(
        self, wrapped_method: Callable[..., None], attempt: Attempt, outcome: Outcome, *args: Any
    ) -> None:
        if not attempt.ended and (span := self._attempts.pop(attempt, None)) is not None:
            span.set_attribute("outcome", reported_outcome(outcome))
            span.end()
        wrapped_method(attempt, outcome, *args)


def start_tracing(setting: str, config: Config, route: Route) -> TracerProvider:
    """Start tracing as STONECOVE_TRACE says; raises ValueError for a malformed setting."""
    ratio, max_bytes, rotated_files, path = setting.split(":", 3)
    ids = RequestIdGenerator()
    provider = TracerProvider(
        sampler=TraceIdRatioBased(float(ratio)),
        id_generator=ids,
        resource=Resource({"service.name": "stonecove", "service.instance.id": config.name}),
    )
    exporter = SpanFileExporter(Path(path), int(max_bytes), int(rotated_files))
    provider.add_span_processor(
        BatchSpanProcessor(
            exporter, max_queue_size=MAX_QUEUED_SPANS, schedule_delay_millis=EXPORT_INTERVAL_MS
        )
    )
    RequestTracer(route, provider, ids)
    return provider

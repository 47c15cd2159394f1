"""Read the spans that instances have written, and format those of one request."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

TRACE_NAME = "trace"


def read_spans(folder: Path, txn: str) -> Iterator[dict[str, Any]]:
    """Yield all spans of a request from all instances of a fleet, without lines that can't be read.

    Raises ValueError if `txn` is not a hexadecimal number.
    """
    prefix = f'"trace": "{int(txn, 16):016x}'
    for path in sorted(folder.glob(f"*/{TRACE_NAME}*")):
        with contextlib.suppress(OSError), path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                if prefix in line:
                    with contextlib.suppress(ValueError):
                        yield json.loads(line)


def format_spans(found: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Yield the spans as lines: each request, then its events and attempts, in ms from its start."""
    spans = sorted(found, key=lambda span: (span["start"], span["name"] != "request"))
    for request in [span for span in spans if not span["parent"]]:
        start_ns = request["start"]

        def ms(time_ns: int, start_ns: int = start_ns) -> str:
            return f"{(time_ns - start_ns) / 1e6:.1f}"

        yield (
            f"{start_ns / 1e9:.3f} {request['by']} request took {ms(request['end'])} ms"
            f"{_format_fields(request['attributes'])}"
        )
        for event in request["events"]:
            yield f"  {ms(event['at'])} {event['name']}{_format_fields(event, 'name', 'at')}"
        for span in spans:
            if span["parent"] != request["span"]:
                continue
            yield f"  {ms(span['start'])} to {ms(span['end'])} attempt{_format_fields(span['attributes'])}"
            for event in span["events"]:
                yield f"    {ms(event['at'])} {event['name']}{_format_fields(event, 'name', 'at')}"


def _format_fields(table: dict[str, Any], *excluded: str) -> str:
    return "".join(f" {name}={value}" for name, value in table.items() if name not in excluded)

"""Reads the spans that instances have written, and tells what became of one request."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

FILE = "trace"


def spans(folder: Path, txn: str) -> Iterator[dict[str, Any]]:
    """All spans of a request, from all instances of a fleet; lines that can't be read are skipped."""
    start = f'"trace": "{int(txn, 16):016x}'
    for path in sorted(folder.glob(f"*/{FILE}*")):
        with contextlib.suppress(OSError), path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                if start in line:
                    with contextlib.suppress(ValueError):
                        yield json.loads(line)


def told(found: Iterable[dict[str, Any]]) -> Iterator[str]:
    """The spans as lines: each request with what it was asked, its attempts below it, times in ms from its
    start.
    """
    every = sorted(found, key=lambda span: (span["start"], span["name"] != "request"))
    for request in [span for span in every if not span["parent"]]:
        began = request["start"]

        def ms(at: int, began: int = began) -> str:
            return f"{(at - began) / 1e6:.1f}"

        yield (
            f"{began / 1e9:.3f} {request['by']} request took {ms(request['end'])} ms"
            f"{_fields(request['attributes'])}"
        )
        for event in request["events"]:
            yield f"  {ms(event['at'])} {event['name']}{_fields(event, 'name', 'at')}"
        for span in every:
            if span["parent"] != request["span"]:
                continue
            yield f"  {ms(span['start'])} to {ms(span['end'])} attempt{_fields(span['attributes'])}"
            for event in span["events"]:
                yield f"    {ms(event['at'])} {event['name']}{_fields(event, 'name', 'at')}"


def _fields(table: dict[str, Any], *but: str) -> str:
    return "".join(f" {name}={value}" for name, value in table.items() if name not in but)

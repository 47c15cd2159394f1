"""The log: one line per event on standard error, in a form that can be searched with grep."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

Sink = Callable[[str, dict[str, object]], None]

MAX_LINES_PER_SECOND = 5  # of one event that peers can cause at any rate

_sink: Sink | None = None
_lines_by_event: dict[str, tuple[int, int]] = {}  # the current second, and the lines requested in it


def set_log_sink(sink: Sink | None) -> None:
    """Pass each event and its fields to `sink`; None restores standard error."""
    global _sink
    _sink = sink


def log_limited(event: str, **fields: object) -> None:
    """Log an event that a faulty peer could fill the log with, at most `MAX_LINES_PER_SECOND` times a second.

    The first line of a later second has the number of suppressed lines in its field `more`.
    """
    second = int(time.time())
    last, count = _lines_by_event.get(event, (second, 0))
    if last != second:
        if count > MAX_LINES_PER_SECOND:
            fields["more"] = count - MAX_LINES_PER_SECOND
        count = 0
    _lines_by_event[event] = second, count + 1
    if count < MAX_LINES_PER_SECOND:
        log(event, **fields)


def format_line(event: str, fields: dict[str, object]) -> str:
    """Return `time event name=value ...`; values with spaces or unprintable characters are quoted."""
    parts = [f"{time.time():.3f}", event]
    for name, value in fields.items():
        text = f"{value:.1f}" if isinstance(value, float) else str(value)
        parts.append(f"{name}={ascii(text) if ' ' in text or not text.isprintable() else text}")
    return " ".join(parts)


def log(event: str, **fields: object) -> None:
    """Log an event; a log that can't be written is ignored."""
    if _sink is not None:
        _sink(event, fields)
        return
    try:
        sys.stderr.write(format_line(event, fields) + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass

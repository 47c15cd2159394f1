"""One greppable line per event, on standard error."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

Sink = Callable[[str, dict[str, object]], None]

MOST_A_SECOND = 5  # lines of one event that peers can bring about as often as they like

_sink: Sink | None = None
_told: dict[str, tuple[int, int]] = {}  # by event: the second, and lines asked for in it


def divert(sink: Sink | None) -> None:
    """Hands each line, as event and fields, to somebody else; None: to standard error again."""
    global _sink
    _sink = sink


def log_some(event: str, **fields: object) -> None:
    """A line of an event that a bad peer could fill the log with: a few a second, `more` tells how many."""
    second = int(time.time())
    last, count = _told.get(event, (second, 0))
    if last != second:
        if count > MOST_A_SECOND:
            fields["more"] = count - MOST_A_SECOND
        count = 0
    _told[event] = second, count + 1
    if count < MOST_A_SECOND:
        log(event, **fields)


def line(event: str, fields: dict[str, object]) -> str:
    """`time event name=value ...`, values with spaces quoted."""
    words = [f"{time.time():.3f}", event]
    for name, value in fields.items():
        text = f"{value:.1f}" if isinstance(value, float) else str(value)
        words.append(f"{name}={ascii(text) if ' ' in text or not text.isprintable() else text}")
    return " ".join(words)


def log(event: str, **fields: object) -> None:
    """Writes a line. A log that is gone stops nothing."""
    if _sink is not None:
        _sink(event, fields)
        return
    try:
        sys.stderr.write(line(event, fields) + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass

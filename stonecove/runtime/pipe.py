"""The log into a named pipe that somebody else empties: never waits; what finds no room is dropped and
counted.

Imported only where STONECOVE_LOG names a pipe (`PATH`, or `json:PATH`), as a fleet's supervisor does.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

from stonecove.runtime.log import line

MOST = 4000  # bytes of a line: up to PIPE_BUF (4096) it goes in whole or not at all (pipe(7))


def _json() -> Callable[[str, dict[str, object]], str]:
    """By structlog: an object a line, with `time` in Unix seconds and `event`."""
    import structlog

    render = structlog.processors.JSONRenderer()

    def as_object(event: str, fields: dict[str, object]) -> str:
        table: dict[str, Any] = {"time": round(time.time(), 3), "event": event}
        # A field may be called as ours are: those stay what they are.
        table.update((f"{name}_" if name in table else name, value) for name, value in fields.items())
        return str(render(None, "", table))

    return as_object


class Pipe:
    """A sink for `runtime.log.divert`."""

    def __init__(self, path: str, as_json: bool = False) -> None:
        """Opened for both ways, so that it stays open whoever else is there; raises OSError."""
        self._fd = os.open(path, os.O_RDWR | os.O_NONBLOCK | os.O_CLOEXEC)
        self._line = _json() if as_json else line
        self.dropped = 0

    def __call__(self, event: str, fields: dict[str, object]) -> None:
        """Writes a line, and how many were dropped before it."""
        if self.dropped and self._write("log-dropped", {"count": self.dropped}):
            self.dropped = 0
        if not self._write(event, fields):
            self.dropped += 1

    def _write(self, event: str, fields: dict[str, object]) -> bool:
        data = self._line(event, fields).encode("utf-8", "replace")[:MOST] + b"\n"
        try:
            return os.write(self._fd, data) == len(data)
        except OSError:
            return False


def from_setting(text: str) -> Pipe:
    """`PATH` or `json:PATH`; raises OSError."""
    as_json = text.startswith("json:")
    return Pipe(text.removeprefix("json:"), as_json)

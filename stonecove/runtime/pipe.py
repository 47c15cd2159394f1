"""A log sink that writes into a named pipe.

It never blocks: lines that don't fit into the pipe are dropped and counted. The module is imported only where
STONECOVE_LOG names a pipe (`PATH`, or `json:PATH`), as a fleet's supervisor sets it.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

from stonecove.runtime.log import format_line

MAX_LINE_BYTES = 4000  # below PIPE_BUF (4096), so that a write is atomic (pipe(7))


def _json_formatter() -> Callable[[str, dict[str, object]], str]:
    """Return a structlog formatter: one object per line, with `time` in Unix seconds and `event`."""
    import structlog

    render = structlog.processors.JSONRenderer()

    def format_object(event: str, fields: dict[str, object]) -> str:
        record: dict[str, Any] = {"time": round(time.time(), 3), "event": event}
        # Fields of the event must not replace the two above.
        record.update((f"{name}_" if name in record else name, value) for name, value in fields.items())
        return str(render(None, "", record))

    return format_object


class PipeSink:
    """A sink for `set_log_sink`."""

    def __init__(self, path: str, as_json: bool = False) -> None:
        """Open the pipe for reading and writing, so that it stays open without a reader; raises OSError."""
        self._fd = os.open(path, os.O_RDWR | os.O_NONBLOCK | os.O_CLOEXEC)
        self._format = _json_formatter() if as_json else format_line
        self.dropped = 0

    def __call__(self, event: str, fields: dict[str, object]) -> None:
        """Write a line, after one with the number of lines dropped before it."""
        if self.dropped and self._write("log-dropped", {"count": self.dropped}):
            self.dropped = 0
        if not self._write(event, fields):
            self.dropped += 1

    def _write(self, event: str, fields: dict[str, object]) -> bool:
        data = self._format(event, fields).encode("utf-8", "replace")[:MAX_LINE_BYTES] + b"\n"
        try:
            return os.write(self._fd, data) == len(data)
        except OSError:
            return False


def open_pipe_sink(text: str) -> PipeSink:
    """Open the sink described by `PATH` or `json:PATH`; raise OSError if that fails."""
    as_json = text.startswith("json:")
    return PipeSink(text.removeprefix("json:"), as_json)

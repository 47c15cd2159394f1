"""Logs of a fleet: named pipes that instances write to, log files with rotation, and a view merged by time.

A separate thread writes behind a bounded queue, so that a slow or full disk delays neither the supervisor nor
an instance. Lines that exceed the queue are dropped and counted; the count is written with the next line that
reaches the file.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import os
import queue
import stat
import threading
from collections.abc import Iterable, Iterator
from pathlib import Path

MAX_QUEUED_LINES = 4096
PIPE_NAME = "log.pipe"
LOG_NAME = "log"


def make_pipe(folder: Path) -> Path:
    """Create the named pipe of an instance with rights 0600, or reuse the existing one."""
    path = folder / PIPE_NAME
    try:
        if not stat.S_ISFIFO(path.stat().st_mode):
            path.unlink()
            raise FileNotFoundError
    except FileNotFoundError:
        os.mkfifo(path, 0o600)
    return path


def open_pipe(path: Path) -> int:
    """Return a descriptor to read from; opened read-write, it reports no end while there is no writer."""
    return os.open(path, os.O_RDWR | os.O_NONBLOCK | os.O_CLOEXEC)


class LineSplitter:
    """Splits the bytes read from a pipe into lines."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[str]:
        """Return the lines that are complete after `data`."""
        *complete, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > 65_536:
            complete, self._incomplete = [*complete, self._incomplete], b""
        return [line.decode("utf-8", "replace") for line in complete if line]


class RotatingFile:
    """A log file that is rotated at a maximum size; `.1` is the newest of the rotated files."""

    def __init__(self, path: Path, max_bytes: int, max_rotated: int) -> None:
        self._path, self._max_bytes, self._max_rotated = path, max_bytes, max_rotated
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 - it stays open
        self._size = self._file.tell()

    def write(self, data: bytes) -> None:
        """Write complete lines; raises OSError, with nothing of a failed write left in the file."""
        if self._size and self._size + len(data) > self._max_bytes:
            self._rotate()
        start = self._size
        written = 0
        try:
            while written < len(data):
                written += self._file.write(data[written:]) or 0
        except OSError:
            with contextlib.suppress(OSError):
                os.ftruncate(self._file.fileno(), start)
            raise
        self._size += len(data)

    def _rotate(self) -> None:
        self._file.close()
        try:
            if self._max_rotated < 1:
                self._path.unlink(missing_ok=True)
            for number in range(self._max_rotated - 1, 0, -1):
                rotated = self._path.with_name(f"{self._path.name}.{number}")
                if rotated.exists():
                    os.replace(rotated, self._path.with_name(f"{self._path.name}.{number + 1}"))
            if self._max_rotated >= 1:
                os.replace(self._path, self._path.with_name(f"{self._path.name}.1"))
        finally:
            self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115
            self._size = self._file.tell()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class LogWriter:
    """Writes lines to files in a thread; `put` does not block."""

    def __init__(self, max_queued_lines: int = MAX_QUEUED_LINES) -> None:
        self._queue: queue.Queue[tuple[RotatingFile, str] | None] = queue.Queue(max_queued_lines)
        self._lock = threading.Lock()
        self._unreported_drops: dict[RotatingFile, int] = {}
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def put(self, file: RotatingFile, line: str) -> None:
        """Queue a line for a file; if the queue is full, the line is dropped and counted."""
        try:
            self._queue.put_nowait((file, line))
        except queue.Full:
            self._drop(file)

    def _drop(self, file: RotatingFile) -> None:
        with self._lock:
            self.dropped += 1
            self._unreported_drops[file] = self._unreported_drops.get(file, 0) + 1

    def _run(self) -> None:
        while (job := self._queue.get()) is not None:
            file, line = job
            with self._lock:
                drops = self._unreported_drops.get(file, 0)
            note = f"{line.partition(' ')[0]} log-dropped count={drops}\n" if drops else ""
            try:
                file.write((note + line + "\n").encode())
            except (OSError, ValueError):
                self._drop(file)
                continue
            if drops:
                with self._lock:
                    self._unreported_drops[file] -= drops

    def close(self, timeout_s: float = 1.0) -> None:
        """Write the queued lines and end the thread, waiting at most `timeout_s` for each of the two."""
        with contextlib.suppress(queue.Full):
            self._queue.put(None, timeout=timeout_s)
        self._thread.join(timeout_s)


def line_time_s(line: str) -> float:
    """Return the Unix time of a line in text or JSON form; 0 if it has none."""
    try:
        if line.startswith("{"):
            return float(json.loads(line)["time"])
        return float(line.partition(" ")[0])
    except (ValueError, KeyError, TypeError):
        return 0.0


def _log_files(folder: Path) -> list[Path]:
    """Return the log files of an instance, oldest first."""
    rotated = sorted(
        (path for path in folder.glob(f"{LOG_NAME}.*") if path.suffix[1:].isdigit()),
        key=lambda path: -int(path.suffix[1:]),
    )
    return [*rotated, folder / LOG_NAME]


def _read_lines(name: str, folder: Path) -> Iterator[tuple[float, str, str]]:
    last_s = 0.0
    for path in _log_files(folder):
        with contextlib.suppress(FileNotFoundError), open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                last_s = max(last_s, line_time_s(line))  # a line without a time stays after the previous one
                yield last_s, name, line.rstrip("\n")


def merge_logs(folders: Iterable[tuple[str, Path]]) -> Iterator[tuple[float, str, str]]:
    """Yield all lines of several instances ordered by time: (Unix seconds, name, line)."""
    return heapq.merge(*(_read_lines(name, folder) for name, folder in folders))

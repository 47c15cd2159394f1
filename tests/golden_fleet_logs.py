"""Golden cases of the fleet area: logs, log pipes and notifications."""

from __future__ import annotations

import os
import socket
from typing import Any
from unittest import mock

from golden_fleet_files import UNIX_TIME_S, file_texts, notify_socket, temporary_folder
from golden_folder import Meaning, Snapshot, bytes_to_json

from stonecove.fleet import logs
from stonecove.runtime.notify import notify, notify_reloading, watchdog_interval_s
from stonecove.runtime.pipe import open_pipe_sink

LINES = [f"{1_764_576_000 + number}.000 served class=image number={number:02d}" for number in range(24)]


def _rotated_files(max_bytes: int, max_rotated: int, lines: list[str]) -> Meaning:
    with temporary_folder() as folder:
        file = logs.RotatingFile(folder / "log", max_bytes, max_rotated)
        for line in lines:
            file.write(line.encode() + b"\n")
        file.close()
        return file_texts(folder)


def _rotations() -> list[Meaning]:
    cases = [(1000, 3), (200, 3), (200, 1), (200, 0), (53, 2), (54, 2), (10, 2)]
    results = [
        {"most_bytes": max_bytes, "kept": max_rotated, "files": _rotated_files(max_bytes, max_rotated, LINES)}
        for max_bytes, max_rotated in cases
    ]
    with temporary_folder() as folder:  # an existing file is appended to
        (folder / "log").write_text(LINES[0] + "\n")
        (folder / "log.1").write_text("older\n")
        file = logs.RotatingFile(folder / "log", 120, 3)
        for line in LINES[1:4]:
            file.write(line.encode() + b"\n")
        file.close()
        results.append({"most_bytes": 120, "kept": 3, "there_before": 2, "files": file_texts(folder)})
    return results


class _FailingFile(logs.RotatingFile):
    """A log whose first writes fail."""

    failures = 3

    def write(self, data: bytes) -> None:
        if self.failures:
            self.failures -= 1
            raise OSError(28, "No space left on device")
        super().write(data)


def _writer_output() -> Meaning:
    """Return the log after its first writes have failed."""
    with temporary_folder() as folder:
        file = _FailingFile(folder / "log", 10_000, 1)
        writer = logs.LogWriter()
        for line in LINES[:6]:
            writer.put(file, line)
        writer.close(30.0)
        file.close()
        return {"dropped": writer.dropped, "files": file_texts(folder)}


def _split_lines() -> list[Meaning]:
    splitter = logs.LineSplitter()
    chunks = [
        b"one\ntwo",
        b" and more\n\n\nthree\n",
        b"",
        b"\xff\xfe\xc3",
        b"\xa9\n",
        b"x" * 70_000,
        b"y\n",
        b"rest",
    ]
    return [
        {"read": bytes_to_json(chunk), "lines": [_shorten(line) for line in splitter.feed(chunk)]}
        for chunk in chunks
    ]


def _shorten(line: str) -> Any:
    return line if len(line) < 100 else {"starts": line[:5], "length": len(line)}


def _merged_lines() -> list[Any]:
    """Return the lines of two instances merged by time."""
    with temporary_folder() as folder:
        first, second = folder / "r-0", folder / "r-1"
        for instance_folder in (first, second):
            instance_folder.mkdir()
        (first / "log.10").write_text("1764576000.100 a\n")
        (first / "log.2").write_text("1764576000.300 b\n  no time\n")
        (first / "log").write_text("1764576000.900 c\n")
        (second / "log.1").write_text('{"time": 1764576000.2, "event": "d"}\nno JSON {\n')
        (second / "log").write_text('{"time": 1764576000.5, "event": "e"}\n{"event": "f"}\n')
        (second / "log.old").write_text("1764576000.600 never\n")
        folders = [("r-0", first), ("r-1", second), ("r-2", folder / "r-2")]
        return [list(line) for line in logs.merge_logs(folders)]


def _log_pipe_output() -> Meaning:
    """Return how the named pipe of an instance is created, and what an instance writes to it."""
    events: list[tuple[str, dict[str, object]]] = [
        ("served", {"class": "image", "took": 12.345, "count": 7, "to": "10.0.0.4:6565"}),
        ("odd", {"text": "two words", "sign": "\u00e9", "line": "a\nb", "empty": "", "none": None}),
        ("twice", {"time": 5, "event": "mine"}),
        ("long", {"text": "x" * 5000}),
    ]  # fmt: skip
    results: Meaning = {}
    with temporary_folder() as folder, mock.patch("time.time", lambda: UNIX_TIME_S + 0.1236):
        path = logs.make_pipe(folder)
        results["name"], results["rights"] = path.name, oct(path.stat().st_mode & 0o777)
        assert logs.make_pipe(folder) == path
        for name, prefix in (("lines", ""), ("objects", "json:")):
            reader = logs.open_pipe(path)
            sink = open_pipe_sink(f"{prefix}{path}")
            results[name] = []
            for event, fields in events:
                sink(event, fields)
                data = os.read(reader, 65_536)
                results[name].append({"length": len(data), "starts": data[:200].decode()})
            filler_bytes = _fill_pipe(reader)
            for event, fields in events[:3]:
                sink(event, fields)
            _drain_pipe(reader, filler_bytes)
            sink(*events[0])
            results[f"{name} after three that were dropped"] = os.read(reader, 65_536).decode()
            os.close(reader)
    return results


def _fill_pipe(descriptor: int) -> int:
    """Fill a pipe; return the number of bytes written."""
    written = 0
    for size in (4096, 1):
        try:
            while True:
                written += os.write(descriptor, b"-" * size)
        except BlockingIOError:
            pass
    return written


def _drain_pipe(descriptor: int, count: int) -> None:
    while count:
        count -= len(os.read(descriptor, min(count, 65_536)))


# -- notifications --


def _notifications() -> Meaning:
    with notify_socket() as received_messages:
        sent = [
            notify("READY=1"),
            notify("READY=1", "STATUS=2 of 3 instances ready"),
            notify("STATUS=\u00e9"),
            notify("STOPPING=1"),
            notify("WATCHDOG=1"),
            notify_reloading(),
        ]
        messages = received_messages()
    abstract_name = f"stonecove-golden-{os.getpid()}"
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.bind(f"\0{abstract_name}")
        abstract_result = (
            notify("READY=1", env={"NOTIFY_SOCKET": f"@{abstract_name}"}),
            sock.recv(100).decode(),
        )
    pid = str(os.getpid())
    watchdogs: list[dict[str, str]] = [
        {},
        {"WATCHDOG_USEC": "3000000"},
        {"WATCHDOG_USEC": "3000000", "WATCHDOG_PID": pid},
        {"WATCHDOG_USEC": "3000000", "WATCHDOG_PID": "1"},
        {"WATCHDOG_USEC": "0"},
        {"WATCHDOG_USEC": "soon"},
    ]
    return {
        "sent": sent,
        "messages": messages,
        "to_abstract_name": abstract_result,
        "nobody_asked": notify("READY=1", env={}),
        "nobody_hears": notify("READY=1", env={"NOTIFY_SOCKET": "/nowhere/notify"}),
        "no_path": notify("READY=1", env={"NOTIFY_SOCKET": "notify"}),
        "watchdog": [
            {"settings": {name: "<pid>" if text == pid else text for name, text in env.items()},
             "every_s": watchdog_interval_s(env)} for env in watchdogs
        ],
    }  # fmt: skip


CASES = (
    Snapshot("log-rotation", _rotations),
    Snapshot("log-writer", _writer_output),
    Snapshot("log-lines", _split_lines),
    Snapshot("log-merged", _merged_lines),
    Snapshot("log-pipe", _log_pipe_output),
    Snapshot("notifications", _notifications),
)

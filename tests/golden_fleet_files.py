"""Helpers shared by the golden cases of the fleet area."""

from __future__ import annotations

import json
import os
import re
import socket
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

from golden_folder import GoldenFolder, Meaning

FOLDER = GoldenFolder("fleet")
UNIX_TIME_S = 1_764_576_000.0


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Create a temporary folder with a path short enough for Unix sockets."""
    with tempfile.TemporaryDirectory(prefix="golden-") as folder:
        yield Path(folder)


def json_or_text(data: bytes) -> Any:
    """Return the parsed JSON, or the text if it is not JSON."""
    try:
        return json.loads(data)
    except ValueError:
        return data.decode()


def file_texts(folder: Path) -> Meaning:
    """Return the texts of a folder's files by file name."""
    return {path.name: path.read_text() for path in sorted(folder.iterdir())}


@contextmanager
def notify_socket() -> Iterator[Callable[[], list[str]]]:
    """Set NOTIFY_SOCKET to a test socket; yield a function that returns the messages received."""
    with temporary_folder() as folder, socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.bind(str(folder / "notify"))
        sock.setblocking(False)

        def received_messages() -> list[str]:
            messages = []
            try:
                while True:
                    messages.append(sock.recv(4096).decode())
            except BlockingIOError:
                return [re.sub(r"MONOTONIC_USEC=\d+", "MONOTONIC_USEC=<number>", text) for text in messages]

        with mock.patch.dict(os.environ, {"NOTIFY_SOCKET": str(folder / "notify")}):
            yield received_messages

"""What the cases of the fleet area share."""

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

from golden_folder import Folder, Meaning

FOLDER = Folder("fleet")
UNIX = 1_764_576_000.0


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """A folder with a short path, so that sockets fit into it."""
    with tempfile.TemporaryDirectory(prefix="golden-") as folder:
        yield Path(folder)


def as_json(data: bytes) -> Any:
    """Return JSON as a value, or the text where it is none."""
    try:
        return json.loads(data)
    except ValueError:
        return data.decode()


def files_in(folder: Path) -> Meaning:
    """Return the texts of a folder's files by their names."""
    return {path.name: path.read_text() for path in sorted(folder.iterdir())}


@contextmanager
def notified() -> Iterator[Callable[[], list[str]]]:
    """A service manager's socket, named by NOTIFY_SOCKET; gives a call that returns what was told."""
    with temporary_folder() as folder, socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.bind(str(folder / "notify"))
        sock.setblocking(False)

        def heard() -> list[str]:
            found = []
            try:
                while True:
                    found.append(sock.recv(4096).decode())
            except BlockingIOError:
                return [re.sub(r"MONOTONIC_USEC=\d+", "MONOTONIC_USEC=<number>", text) for text in found]

        with mock.patch.dict(os.environ, {"NOTIFY_SOCKET": str(folder / "notify")}):
            yield heard

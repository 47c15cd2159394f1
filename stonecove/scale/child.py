"""Child processes that take orders as JSON lines on standard input and answer on standard output.

A child ends when its standard input does: none outlives the process that started it.
"""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import threading
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

import trio

PATIENCE = 10.0  # seconds for an end
MOST_LINE = 65_536  # bytes that are read at once

Order = dict[str, Any]


class ChildError(Exception):
    """A child that has ended, or answers nothing that can be read."""


class Child:
    """One child process, seen from its parent. Threads may share it."""

    def __init__(self, module: str, log: Path, arguments: Sequence[str] = ()) -> None:
        """Starts it; `log` takes its standard error."""
        self.log = log
        self._lock = threading.Lock()
        with log.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors,
            )  # fmt: skip

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether its process is there."""
        return self.process.poll() is None

    def tell(self, do: str, **fields: Any) -> None:
        """An order that has no answer; raises ChildError."""
        with self._lock:
            self._write(do, fields)

    def ask(self, do: str, **fields: Any) -> Order:
        """An order and its answer; raises ChildError."""
        with self._lock:
            self._write(do, fields)
            return self._read()

    def hear(self) -> Order:
        """What it says unasked, as at its start; raises ChildError."""
        with self._lock:
            return self._read()

    def _write(self, do: str, fields: Order) -> None:
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(json.dumps({"do": do, **fields}).encode() + b"\n")
            self.process.stdin.flush()
        except (OSError, ValueError) as error:
            raise ChildError(f"a child takes no orders: {error}; see {self.log}") from error

    def _read(self) -> Order:
        assert self.process.stdout is not None
        try:
            answer: Order = json.loads(self.process.stdout.readline())
        except ValueError as error:
            raise ChildError(f"a child does not answer; see {self.log}") from error
        return answer

    def kill(self) -> None:
        """Ends it without a word, and waits until it is gone."""
        self.process.kill()
        self._reap()

    def close(self) -> None:
        """Ends it: by the end of its orders, or by force where that is not enough."""
        assert self.process.stdin is not None
        with contextlib.suppress(OSError):
            self.process.stdin.close()
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(PATIENCE)
        if self.running:
            self.process.kill()
        self._reap()

    def _reap(self) -> None:
        self.process.wait(PATIENCE)
        for pipe in (self.process.stdin, self.process.stdout):
            assert pipe is not None
            with contextlib.suppress(OSError):
                pipe.close()


def ask_all(children: Sequence[Child], do: str, **fields: Any) -> list[Order]:
    """The answers of all, who work on them at the same time; raises ChildError."""
    answers: list[Order | None] = [None] * len(children)
    problems: list[ChildError] = []

    def ask(place: int) -> None:
        try:
            answers[place] = children[place].ask(do, **fields)
        except ChildError as error:
            problems.append(error)

    threads = [threading.Thread(target=ask, args=(place,)) for place in range(len(children))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if problems:
        raise problems[0]
    return [answer for answer in answers if answer is not None]


async def orders() -> AsyncIterator[Order]:
    """The orders that come to this process, until its parent ends."""
    async with trio.lowlevel.FdStream(os.dup(0)) as stream:
        waiting = b""
        while piece := await stream.receive_some(MOST_LINE):
            *lines, waiting = (waiting + piece).split(b"\n")
            for line in lines:
                yield json.loads(line)


def answer(**fields: Any) -> None:
    """This process's answer to an order."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def resident_mb() -> float:
    """Memory of this process that is resident, in MB."""
    return resident_mb_of(os.getpid())


def resident_mb_of(pid: int) -> float:
    """Memory of a process that is resident, in MB; proc(5)."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

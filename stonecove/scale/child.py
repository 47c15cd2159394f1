"""Control child processes with JSON lines: commands on standard input, responses on standard output.

A child exits when its standard input is closed, so none outlives the process that started it.
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

EXIT_TIMEOUT_S = 10.0
MAX_READ_BYTES = 65_536

Message = dict[str, Any]


class ChildError(Exception):
    """A child process has exited or sent a response that can't be parsed."""


class Child:
    """One child process, as its parent controls it. Threads may share an instance."""

    def __init__(self, module: str, log: Path, arguments: Sequence[str] = ()) -> None:
        """Start the process; its standard error is appended to `log`."""
        self.log = log
        self._lock = threading.Lock()
        with log.open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors,
            )  # fmt: skip

    @property
    def pid(self) -> int:
        """Return the process ID."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self.process.poll() is None

    def send(self, command: str, **fields: Any) -> None:
        """Send a command that has no response; raises ChildError."""
        with self._lock:
            self._write(command, fields)

    def request(self, command: str, **fields: Any) -> Message:
        """Send a command and return its response; raises ChildError."""
        with self._lock:
            self._write(command, fields)
            return self._read()

    def receive(self) -> Message:
        """Return a message that the child sends unasked, as at its start; raises ChildError."""
        with self._lock:
            return self._read()

    def _write(self, command: str, fields: Message) -> None:
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(json.dumps({"do": command, **fields}).encode() + b"\n")
            self.process.stdin.flush()
        except (OSError, ValueError) as error:
            raise ChildError(f"child process does not accept commands: {error}; see {self.log}") from error

    def _read(self) -> Message:
        assert self.process.stdout is not None
        try:
            response: Message = json.loads(self.process.stdout.readline())
        except ValueError as error:
            raise ChildError(f"child process sent no valid response; see {self.log}") from error
        return response

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        self.process.kill()
        self._reap()

    def close(self) -> None:
        """Close the command pipe and wait for the exit; kill the process if it takes too long."""
        assert self.process.stdin is not None
        with contextlib.suppress(OSError):
            self.process.stdin.close()
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(EXIT_TIMEOUT_S)
        if self.running:
            self.process.kill()
        self._reap()

    def _reap(self) -> None:
        self.process.wait(EXIT_TIMEOUT_S)
        for pipe in (self.process.stdin, self.process.stdout):
            assert pipe is not None
            with contextlib.suppress(OSError):
                pipe.close()


def request_all(children: Sequence[Child], command: str, **fields: Any) -> list[Message]:
    """Return the responses of all children, which work at the same time; raises ChildError."""
    responses: list[Message | None] = [None] * len(children)
    errors: list[ChildError] = []

    def request(index: int) -> None:
        try:
            responses[index] = children[index].request(command, **fields)
        except ChildError as error:
            errors.append(error)

    threads = [threading.Thread(target=request, args=(index,)) for index in range(len(children))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]
    return [response for response in responses if response is not None]


async def receive_commands() -> AsyncIterator[Message]:
    """Yield the commands sent to this process until its parent exits."""
    async with trio.lowlevel.FdStream(os.dup(0)) as stream:
        buffered = b""
        while chunk := await stream.receive_some(MAX_READ_BYTES):
            *lines, buffered = (buffered + chunk).split(b"\n")
            for line in lines:
                yield json.loads(line)


def send_response(**fields: Any) -> None:
    """Send this process's response to a command."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    return resident_mb_of(os.getpid())


def resident_mb_of(pid: int) -> float:
    """Return the resident memory of a process in MB, from proc(5)."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

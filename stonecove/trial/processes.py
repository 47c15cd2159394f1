"""Real processes of the program under trial, and signals to them: by pid, and only to those started here."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from stonecove.trial import shifted
from stonecove.trial.relay import Address

PATIENCE = 30.0  # seconds for a start or an end
QUESTION = 2.0
SET = "trial-clock"  # the event in a log from which on the router's clock is off by so much


def free_address(host: str) -> Address:
    """A port of a loopback address at which nobody listens."""
    with socket.create_server((host, 0)) as free:
        port: int = free.getsockname()[1]
    return host, port


class RouterProcess:
    """One router's place: its configuration, its lives one after the other, its log."""

    def __init__(self, folder: Path, name: str, config: dict[str, Any], operator: str | None) -> None:
        """`config` as the platform gives one; `operator`: the text of the operator's file, if any."""
        self.name, self.folder = name, folder
        folder.mkdir(parents=True, exist_ok=True)
        self.socket = str(folder / "members.sock")
        self.log = folder / "log"
        host, _, port = str(config["listen"]).rpartition(":")
        self.address: Address = (host, int(port))
        self._config = folder / "config.json"
        self.configure(config)
        self._operator: Path | None = None
        if operator is not None:
            self._operator = folder / "operator.cue"
            self._operator.write_text(f'{operator}\nmembers: socket: "{self.socket}"\n')
        self.process: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self.lives: list[tuple[float, float | None]] = []  # Unix seconds of start and end
        self.shifts = [(0.0, 0.0)]  # from when, and by how many seconds its clock is off
        self._clock: Path | None = None

    def configure(self, config: dict[str, Any]) -> None:
        """Writes its configuration anew, in one step."""
        written = self._config.with_suffix(".new")
        written.write_text(json.dumps(config))
        written.replace(self._config)

    @property
    def running(self) -> bool:
        """Whether its process is there."""
        return self.process is not None and self.process.poll() is None

    def set_clock(self, by: float) -> None:
        """Its clock is set by so many seconds. Has to be called before its first life, by 0 if by nothing."""
        self.shifts.append((time.time(), self.shifts[-1][1] + by))
        self._clock = self.folder / "clock"
        shifted.write(self._clock, self.shifts[-1][1])
        with self.log.open("ab") as log:  # which lines come after it can't be told by their times
            log.write(f"0 {SET} by={self.shifts[-1][1]}\n".encode())

    def start(self, env: dict[str, str] | None = None) -> None:
        """A new life."""
        assert not self.running, f"{self.name} runs already"
        program, more = "stonecove", {"RELAY_CONFIG": str(self._config)}
        if self._clock is not None:
            program = shifted.__name__
            more[shifted.VARIABLE] = str(self._clock)
        command = [sys.executable, "-m", program, "run"]
        if self._operator is not None:
            command += ["--operator", str(self._operator)]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                stderr=log, stdin=subprocess.DEVNULL, env={**os.environ, **(env or {}), **more},
            )  # fmt: skip
        self.stopped = False
        self.lives.append((time.time(), None))

    def ready(self) -> bool:
        """Whether it takes connections."""
        try:
            socket.create_connection(self.address, QUESTION).close()
        except OSError:
            return False
        return True

    def signal(self, number: signal.Signals) -> None:
        """To this place's process, by its pid, if it runs."""
        if self.running and self.process is not None:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Stops it without a word."""
        self.signal(signal.SIGSTOP)
        self.stopped = True

    def resume(self) -> None:
        """It goes on."""
        self.signal(signal.SIGCONT)
        self.stopped = False

    def kill(self) -> None:
        """Ends it without a word, and waits until it is gone."""
        self.signal(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        """For its end; the exit code."""
        assert self.process is not None
        code = self.process.wait(PATIENCE)
        started, ended = self.lives[-1]
        self.lives[-1] = started, ended or time.time()
        return code

    def ask(self, question: str) -> dict[str, Any] | None:
        """A question to its members socket; None if it can't answer now."""
        try:
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(QUESTION)
                sock.connect(self.socket)
                sock.sendall(question.encode() + b"\n")
                answer: dict[str, Any] = json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))
        except (OSError, ValueError):
            return None
        return answer

    def lines(self, event: str) -> list[dict[str, str]]:
        """The log's lines of one event, of all lives: `at` is Unix seconds, by a clock that was not set."""
        found, by = [], 0.0
        for line in self.log.read_text(errors="replace").splitlines() if self.log.exists() else ():
            words = line.split(" ")
            if len(words) < 2 or not words[0].replace(".", "", 1).isdigit():
                continue
            fields = dict(word.split("=", 1) for word in words[2:] if "=" in word)
            if words[1] == SET:
                by = float(fields["by"])
            elif words[1] == event:
                found.append({"at": f"{float(words[0]) - by:.3f}", **fields})
        return found

    def shift_at(self, at: float) -> float:
        """By how many seconds its clock was off then."""
        return next(by for since, by in reversed(self.shifts) if since <= at)

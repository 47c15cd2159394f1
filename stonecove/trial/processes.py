"""Starts the routers under trial as real processes, and signals only these processes, by their pids."""

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

PROCESS_TIMEOUT_S = 30.0  # for the exit of a process
QUERY_TIMEOUT_S = 2.0
CLOCK_SET_EVENT = "trial-clock"  # the testbed's own log line: total clock shift from this line on


def free_address(host: str) -> Address:
    """Return a free port of that loopback address."""
    with socket.create_server((host, 0)) as listener:
        port: int = listener.getsockname()[1]
    return host, port


class RouterProcess:
    """One router: its configuration, its successive processes, and its log."""

    def __init__(self, folder: Path, name: str, config: dict[str, Any], operator: str | None) -> None:
        """Write the files. `config`: as the platform provides it; `operator`: text of the operator file."""
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
        self.suspended = False
        self.run_times: list[tuple[float, float | None]] = []  # Unix seconds of each process's start and end
        self.shifts = [(0.0, 0.0)]  # (Unix s, total clock shift in s)
        self._clock: Path | None = None

    def configure(self, config: dict[str, Any]) -> None:
        """Replace the configuration file atomically."""
        new_file = self._config.with_suffix(".new")
        new_file.write_text(json.dumps(config))
        new_file.replace(self._config)

    @property
    def running(self) -> bool:
        """Whether its process is running."""
        return self.process is not None and self.process.poll() is None

    def set_clock(self, shift_s: float) -> None:
        """Shift its clock by further `shift_s` seconds.

        Must be called before the first start if the clock is ever to be shifted; 0 for no shift yet.
        """
        self.shifts.append((time.time(), self.shifts[-1][1] + shift_s))
        self._clock = self.folder / "clock"
        shifted.write_offset(self._clock, self.shifts[-1][1])
        with self.log.open("ab") as log:  # the lines' own times do not show which were logged after the shift
            log.write(f"0 {CLOCK_SET_EVENT} by={self.shifts[-1][1]}\n".encode())

    def start(self, env: dict[str, str] | None = None) -> None:
        """Start a new process."""
        assert not self.running, f"{self.name} is already running"
        module, extra_env = "stonecove", {"RELAY_CONFIG": str(self._config)}
        if self._clock is not None:
            module = shifted.__name__
            extra_env[shifted.CLOCK_FILE_VARIABLE] = str(self._clock)
        command = [sys.executable, "-m", module, "run"]
        if self._operator is not None:
            command += ["--operator", str(self._operator)]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                stderr=log, stdin=subprocess.DEVNULL, env={**os.environ, **(env or {}), **extra_env},
            )  # fmt: skip
        self.suspended = False
        self.run_times.append((time.time(), None))

    def ready(self) -> bool:
        """Return whether it accepts connections."""
        try:
            socket.create_connection(self.address, QUERY_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this router's process, by its pid, if it is running."""
        if self.running and self.process is not None:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)
        self.suspended = True

    def resume(self) -> None:
        """Continue the process with SIGCONT."""
        self.signal(signal.SIGCONT)
        self.suspended = False

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self.signal(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        """Wait until the process has ended; return its exit code."""
        assert self.process is not None
        exit_code = self.process.wait(PROCESS_TIMEOUT_S)
        started, ended = self.run_times[-1]
        self.run_times[-1] = started, ended or time.time()
        return exit_code

    def send_query(self, query: str) -> dict[str, Any] | None:
        """Send a query to its members socket; return the answer, None if it cannot answer now."""
        try:
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(QUERY_TIMEOUT_S)
                sock.connect(self.socket)
                sock.sendall(query.encode() + b"\n")
                answer: dict[str, Any] = json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))
        except (OSError, ValueError):
            return None
        return answer

    def lines(self, event: str) -> list[dict[str, str]]:
        """Return the log lines of an event, from all processes; `at`: Unix seconds by the unshifted clock."""
        matches, shift_s = [], 0.0
        for line in self.log.read_text(errors="replace").splitlines() if self.log.exists() else ():
            words = line.split(" ")
            if len(words) < 2 or not words[0].replace(".", "", 1).isdigit():
                continue
            fields = dict(pair.split("=", 1) for pair in words[2:] if "=" in pair)
            if words[1] == CLOCK_SET_EVENT:
                shift_s = float(fields["by"])
            elif words[1] == event:
                matches.append({"at": f"{float(words[0]) - shift_s:.3f}", **fields})
        return matches

    def shift_at(self, at_s: float) -> float:
        """Return the seconds by which its clock was shifted at `at_s` (Unix seconds)."""
        return next(shift_s for since, shift_s in reversed(self.shifts) if since <= at_s)

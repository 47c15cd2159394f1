"""Real routers of a scale run: whole processes of the program with load, beside the hollow ones."""

from __future__ import annotations

import os
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stonecove.overload.book import OUTCOMES, SERVED
from stonecove.scale.child import resident_mb_of
from stonecove.trial.open_loop import ClientBehaviour, OpenLoopClients
from stonecove.trial.processes import RouterProcess

TICKS = os.sysconf("SC_CLK_TCK")


class RealRouterError(Exception):
    """A real router that did not become ready."""


@dataclass(frozen=True, slots=True)
class Requests:
    """How requests have ended so far."""

    answered: int
    failed: int

    def since(self, before: Requests) -> Requests:
        """Those that have ended between two looks."""
        return Requests(self.answered - before.answered, self.failed - before.failed)


@dataclass(frozen=True, slots=True)
class Spent:
    """What all real routers together have spent by a moment."""

    cpu: float  # seconds
    memory_mb: float


class RealRouters:
    """All real routers. Ends all that it started by `close`."""

    def __init__(self, folder: Path, tables: dict[int, dict[str, Any]]) -> None:
        """`tables`: the configuration of each, by its number. Nothing runs yet."""
        self._processes = {
            router: RouterProcess(folder / str(table["name"]), str(table["name"]), table, None)
            for router, table in tables.items()
        }
        self._clients: OpenLoopClients | None = None

    def __len__(self) -> int:
        return len(self._processes)

    def __contains__(self, router: int) -> bool:
        return router in self._processes

    def start(self, routers: set[int]) -> None:
        """Starts those of them that are real."""
        for router in sorted(routers & self._processes.keys()):
            self._processes[router].start()

    def kill(self, routers: set[int]) -> None:
        """Ends those of them that are real, without a word."""
        for router in sorted(routers & self._processes.keys()):
            self._processes[router].kill()

    def ready(self) -> bool:
        """Whether all take connections."""
        return all(process.ready() for process in self._processes.values())

    def wait_ready(self, patience: float) -> None:
        """Waits for so many seconds at most; raises RealRouterError."""
        limit = time.monotonic() + patience
        for process in self._processes.values():
            while not process.ready():
                if time.monotonic() > limit or not process.running:
                    raise RealRouterError(f"{process.name} did not become ready: {process.log}")
                time.sleep(0.02)

    def load(self, requests_a_second: float, seed: int) -> None:
        """Begins to ask all of them, so many times a second together."""
        if self._processes and requests_a_second > 0:
            addresses = [process.address for process in self._processes.values()]
            self._clients = OpenLoopClients(addresses, requests_a_second, ClientBehaviour(), seed)

    def requests(self) -> Requests:
        """How requests have ended so far."""
        if self._clients is None:
            return Requests(0, 0)
        ends = Counter(event.kind for event in list(self._clients.events))
        return Requests(ends[SERVED], sum(ends[end] for end in OUTCOMES) - ends[SERVED])

    def spent(self) -> Spent:
        """CPU and memory of all that run; proc(5)."""
        cpu, memory = 0.0, 0.0
        for process in self._processes.values():
            if process.process is not None and process.running:
                cpu += cpu_of(process.process.pid)
                memory += resident_mb_of(process.process.pid)
        return Spent(cpu, memory)

    def bugs(self) -> list[str]:
        """Lines of their logs that should not be there."""
        return [
            f"{process.name}: {line}"
            for process in self._processes.values()
            for line in process.lines("internal_error")
        ]

    def close(self) -> None:
        """Ends the load and all routers."""
        if self._clients is not None:
            self._clients.end()
        for process in self._processes.values():
            if process.running:
                process.kill()


def cpu_of(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS

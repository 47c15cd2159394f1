"""Run real routers with load beside the hollow ones: each is a process of the complete router."""

from __future__ import annotations

import os
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stonecove.overload.amplification import OUTCOMES, SERVED
from stonecove.scale.child import resident_mb_of
from stonecove.trial.open_loop import ClientBehaviour, OpenLoopClients
from stonecove.trial.processes import RouterProcess

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class RealRouterError(Exception):
    """A real router did not become ready."""


@dataclass(frozen=True, slots=True)
class Requests:
    """Cumulative outcomes of requests."""

    answered: int
    failed: int

    def since(self, before: Requests) -> Requests:
        """Return the requests that ended since an earlier sample."""
        return Requests(self.answered - before.answered, self.failed - before.failed)


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Cumulative resource usage of all real routers."""

    cpu_s: float
    memory_mb: float


class RealRouters:
    """All real routers; `close` stops them."""

    def __init__(self, folder: Path, tables: dict[int, dict[str, Any]]) -> None:
        """Create the processes without starting them; `tables` holds each configuration by router number."""
        self._processes = {
            router: RouterProcess(folder / str(table["name"]), str(table["name"]), table, None)
            for router, table in tables.items()
        }
        self._clients: OpenLoopClients | None = None

    def __len__(self) -> int:
        """Return the number of routers."""
        return len(self._processes)

    def __contains__(self, router: int) -> bool:
        """Return whether a router is real."""
        return router in self._processes

    def start(self, routers: set[int]) -> None:
        """Start those of these routers that are real."""
        for router in sorted(routers & self._processes.keys()):
            self._processes[router].start()

    def kill(self, routers: set[int]) -> None:
        """Kill those of these routers that are real."""
        for router in sorted(routers & self._processes.keys()):
            self._processes[router].kill()

    def ready(self) -> bool:
        """Return whether all accept connections."""
        return all(process.ready() for process in self._processes.values())

    def wait_ready(self, timeout_s: float) -> None:
        """Wait until all are ready; raises RealRouterError on timeout or exit."""
        deadline_s = time.monotonic() + timeout_s
        for process in self._processes.values():
            while not process.ready():
                if time.monotonic() > deadline_s or not process.running:
                    raise RealRouterError(f"{process.name} did not become ready: {process.log}")
                time.sleep(0.02)

    def load(self, requests_per_s: float, seed: int) -> None:
        """Start to send requests to all of them, at this total rate."""
        if self._processes and requests_per_s > 0:
            addresses = [process.address for process in self._processes.values()]
            self._clients = OpenLoopClients(addresses, requests_per_s, ClientBehaviour(), seed)

    def requests(self) -> Requests:
        """Return the cumulative outcomes of requests."""
        if self._clients is None:
            return Requests(0, 0)
        counts = Counter(event.kind for event in list(self._clients.events))
        return Requests(counts[SERVED], sum(counts[outcome] for outcome in OUTCOMES) - counts[SERVED])

    def resource_usage(self) -> ResourceUsage:
        """Return CPU time and memory of all running processes, from proc(5)."""
        cpu_s, memory_mb = 0.0, 0.0
        for process in self._processes.values():
            if process.process is not None and process.running:
                cpu_s += cpu_s_of(process.process.pid)
                memory_mb += resident_mb_of(process.process.pid)
        return ResourceUsage(cpu_s, memory_mb)

    def bugs(self) -> list[str]:
        """Return the `internal_error` lines of their logs."""
        return [
            f"{process.name}: {line}"
            for process in self._processes.values()
            for line in process.lines("internal_error")
        ]

    def close(self) -> None:
        """Stop the load and all routers."""
        if self._clients is not None:
            self._clients.stop()
        for process in self._processes.values():
            if process.running:
                process.kill()


def cpu_s_of(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

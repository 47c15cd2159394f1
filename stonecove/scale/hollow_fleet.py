"""Control all hollow routers of a scale run across their processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from stonecove.scale.child import Child, request_all
from stonecove.scale.configuration import Applied
from stonecove.scale.ledger import Incarnation
from stonecove.scale.results import ControlCost

MODULE = "stonecove.scale.hollow_process"


@dataclass(frozen=True, slots=True)
class FleetSample:
    """Cumulative resource usage of all hollow routers."""

    cpu_s: float
    cpu_alone_s: float  # of the router that has a process to itself
    memory_mb: float  # without that of their processes before the routers started
    received: int
    sent: int
    headers: int
    receiving: int  # routers that have received a frame
    bugs: tuple[str, ...]
    events: Counter[str]  # counts of log lines so far

    def cost_since(self, before: FleetSample, routers: int, seconds: float) -> ControlCost:
        """Return the cost of one router since an earlier sample."""
        router_seconds = routers * seconds
        return ControlCost(
            (self.received - before.received) / router_seconds,
            (self.sent - before.sent) / router_seconds,
            (self.headers - before.headers) / router_seconds,
            100.0 * (self.cpu_s - before.cpu_s) / router_seconds,
            self.memory_mb / routers,
            100.0 * (self.cpu_alone_s - before.cpu_alone_s) / seconds,
        )


class HollowFleet:
    """All processes of hollow routers; `close` stops them."""

    def __init__(
        self, folder: Path, shared: dict[str, Any], routers: dict[int, dict[str, Any]], per_process: int
    ) -> None:
        """Start the processes, without routers.

        `shared` is the common configuration, `routers` what differs for each, by router number.
        """
        self._folder, self._shared, self._routers = folder, shared, routers
        numbers = sorted(routers)
        # The first has a process to itself, as routers in one process also share the turns of its event loop.
        self._assignments = [numbers[:1]]
        self._assignments += [
            numbers[start : start + per_process] for start in range(1, len(numbers), per_process)
        ]
        self._children: list[Child] = []
        self._idle_mb = 0.0
        try:
            for index in range(len(self._assignments)):
                self._children.append(Child(MODULE, folder / f"hollow-{index}.log"))
        except BaseException:
            self.close()
            raise

    def __len__(self) -> int:
        """Return the number of routers."""
        return len(self._routers)

    @property
    def pids(self) -> list[int]:
        """Return the IDs of all processes."""
        return [child.pid for child in self._children]

    @property
    def routers(self) -> set[int]:
        """Return the numbers of all routers."""
        return set(self._routers)

    def start_all(self) -> None:
        """Send each process its routers, which start at once."""
        self._idle_mb = sum(response["memory_mb"] for response in request_all(self._children, "idle"))
        for child, assigned in zip(self._children, self._assignments, strict=True):
            child.send(
                "routers", shared=self._shared, routers={number: self._routers[number] for number in assigned}
            )
        for child in self._children:
            child.receive()

    def start(self, routers: set[int], spread_s: float) -> None:
        """Restart these routers, spread over this many seconds."""
        for child, assigned in zip(self._children, self._assignments, strict=True):
            if selected := [number for number in assigned if number in routers]:
                child.send("start", routers=selected, within=spread_s)

    def kill(self, routers: set[int]) -> None:
        """Stop these routers as if their processes were killed."""
        for child, assigned in zip(self._children, self._assignments, strict=True):
            if selected := [number for number in assigned if number in routers]:
                child.send("kill", routers=selected)

    def count_lagging(self, number: int) -> int:
        """Return how many routers lack an event; those not running count."""
        return sum(response["behind"] for response in request_all(self._children, "level", number=number))

    def applied(self) -> list[Applied]:
        """Return the settings versions that the running routers have applied."""
        responses = request_all(self._children, "applied")
        return [Applied(*record) for response in responses for record in response["applied"]]

    def sample(self) -> FleetSample:
        """Return the cumulative resource usage."""
        responses = request_all(self._children, "sample")

        def total(name: str) -> int:
            return sum(response[name] for response in responses)

        bugs = tuple(bug for response in responses for bug in response["bugs"])
        events = sum((Counter(response["events"]) for response in responses), Counter[str]())
        routers_mb = total("memory_mb") - self._idle_mb
        return FleetSample(total("cpu"), responses[0]["cpu"], routers_mb, total("received"), total("sent"),
                           total("headers"), total("heard"), bugs, events)  # fmt: skip

    def incarnations(self) -> list[Incarnation]:
        """Return the ledgers of all incarnations of all routers."""
        incarnations = []
        for index, child in enumerate(self._children):
            path = self._folder / f"ledgers-{index}"
            headers = child.request("ledgers", path=str(path))["lives"]
            incarnations += _read_incarnations(headers, path)
            path.unlink()
        return incarnations

    def close(self) -> None:
        """Stop all processes."""
        for child in self._children:
            child.close()


def _read_incarnations(headers: Iterable[list[int]], path: Path) -> list[Incarnation]:
    """Read the file that `HollowProcess.write_ledgers` wrote."""
    times_ns, offset, incarnations = np.fromfile(path, dtype=np.int64), 0, []
    for router, last, started_at_ns, ended_at_ns, repeated, count in headers:
        incarnations.append(
            Incarnation(router, last, started_at_ns, ended_at_ns, repeated, times_ns[offset : offset + count])
        )
        offset += count
    return incarnations

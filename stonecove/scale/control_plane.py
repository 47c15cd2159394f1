"""Start, kill, partition and read out the three control machines of a scale run."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stonecove.scale.child import Child, ChildError, Message, request_all
from stonecove.scale.control_machine import MAX_LAG_BYTES
from stonecove.scale.event_log import EventLog
from stonecove.scale.results import MachineCost
from stonecove.scale.topology import MACHINES

MODULE = "stonecove.scale.control_machine"


@dataclass(frozen=True, slots=True)
class MachineReport:
    """Resource usage and state of a control machine; `first_bytes` in ns from the first event on."""

    cpu: float  # seconds
    memory_mb: float
    sent: int
    connections: int
    cut_off: int  # routers disconnected for their lag
    most_behind: int  # bytes; the largest lag seen
    first_bytes: tuple[int, ...]
    last: int

    @classmethod
    def of(cls, message: Message) -> MachineReport:
        """Parse a machine's response."""
        return cls(**{**message, "first_bytes": tuple(message["first_bytes"])})

    def cost_since(self, before: MachineReport, name: str, seconds: float) -> MachineCost:
        """Return the cost since an earlier report, rates per second."""
        return MachineCost(
            name,
            100.0 * (self.cpu - before.cpu) / seconds,
            self.memory_mb,
            (self.sent - before.sent) / seconds,
            self.connections,
        )


class ControlPlane:
    """All control machines; `close` stops them."""

    def __init__(self, folder: Path, log: EventLog, max_lag_bytes: int = MAX_LAG_BYTES) -> None:
        """Start the machines; raises ChildError or OSError."""
        self._folder, self._log, self._max_lag_bytes = folder, log, max_lag_bytes
        self._machines: list[Child | None] = [None] * MACHINES
        self._ports = [0] * MACHINES
        self.first_bytes: list[tuple[int, ...]] = []  # reported by machines before they were killed
        self.cut_off = 0  # routers disconnected for their lag by machines that were killed since
        try:
            for machine in range(MACHINES):
                self._spawn(machine)
            for machine in range(MACHINES):
                self._attach(machine)
        except BaseException:
            self.close()
            raise

    @property
    def ports(self) -> tuple[int, ...]:
        """Return the port of each machine, which a restart keeps."""
        return tuple(self._ports)

    @property
    def pids(self) -> list[int]:
        """Return the process IDs of the running machines."""
        return [child.pid for child in self._running()]

    def _running(self) -> list[Child]:
        return [child for child in self._machines if child is not None]

    def start(self, machine: int) -> None:
        """Start a killed machine again on the same port; raises ChildError."""
        self._spawn(machine)
        self._attach(machine)

    def _spawn(self, machine: int) -> None:
        arguments = [str(number) for number in (machine, self._ports[machine], self._max_lag_bytes)]
        self._machines[machine] = Child(MODULE, self._folder / f"control-{machine}.log", arguments)

    def _attach(self, machine: int) -> None:
        """Wait until a machine listens, and send it all events."""
        child = self._machines[machine]
        assert child is not None
        self._ports[machine] = int(child.receive()["port"])
        self._log.attach(child)

    def kill(self, machine: int) -> None:
        """Kill a machine with SIGKILL; its connections break."""
        child = self._machines[machine]
        assert child is not None
        report = MachineReport.of(child.request("report"))
        self.first_bytes.append(report.first_bytes)
        self.cut_off += report.cut_off
        self._log.detach(child)
        self._machines[machine] = None
        child.kill()

    def partition(
        self, zones: Iterable[int], partitioned: bool, machines: Iterable[int] = range(MACHINES)
    ) -> None:
        """Start or end a partition between these machines and zones."""
        fields: dict[str, Any] = {"zones": list(zones), "cut": partitioned}
        for machine in machines:
            if child := self._machines[machine]:
                child.send("cut", **fields)

    def reports(self) -> list[MachineReport]:
        """Return the reports of all machines; raises ChildError if one is not running."""
        if len(self._running()) < MACHINES:
            raise ChildError("a control machine is not running")
        return [MachineReport.of(message) for message in request_all(self._running(), "report")]

    def close(self) -> None:
        """Stop all machines."""
        for machine, child in enumerate(self._machines):
            if child is not None:
                self._log.detach(child)
                child.close()
                self._machines[machine] = None

"""The three control machines of a scale run: started, killed, cut off and read out."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stonecove.scale.child import Child, ChildError, Order, ask_all
from stonecove.scale.control_machine import MOST_BEHIND
from stonecove.scale.event_log import EventLog
from stonecove.scale.results import MachineCost
from stonecove.scale.topology import MACHINES

MODULE = "stonecove.scale.control_machine"


@dataclass(frozen=True, slots=True)
class MachineReport:
    """What a control machine has spent and seen by a moment; `first_bytes` in ns from the first event on."""

    cpu: float  # seconds
    memory_mb: float
    sent: int
    connections: int
    cut_off: int  # routers that were too far behind
    most_behind: int  # bytes
    first_bytes: tuple[int, ...]
    last: int

    @classmethod
    def of(cls, order: Order) -> MachineReport:
        """From a machine's own words."""
        return cls(**{**order, "first_bytes": tuple(order["first_bytes"])})

    def cost_since(self, before: MachineReport, name: str, seconds: float) -> MachineCost:
        """What it spent a second since an earlier report."""
        return MachineCost(
            name,
            100.0 * (self.cpu - before.cpu) / seconds,
            self.memory_mb,
            (self.sent - before.sent) / seconds,
            self.connections,
        )


class ControlPlane:
    """All control machines. Ends all that it started by `close`."""

    def __init__(self, folder: Path, log: EventLog, most_behind: int = MOST_BEHIND) -> None:
        """Starts them."""
        self._folder, self._log, self._most_behind = folder, log, most_behind
        self._machines: list[Child | None] = [None] * MACHINES
        self._ports = [0] * MACHINES
        self.first_bytes: list[tuple[int, ...]] = []  # as reported by machines that were killed since
        self.cut_off = 0  # routers that were too far behind, at such machines
        try:
            for machine in range(MACHINES):
                self._spawn(machine)
            for machine in range(MACHINES):
                self._join(machine)
        except BaseException:
            self.close()
            raise

    @property
    def ports(self) -> tuple[int, ...]:
        """Where each listens; the same in all lives of it."""
        return tuple(self._ports)

    @property
    def pids(self) -> list[int]:
        """Of those that run."""
        return [child.pid for child in self._running()]

    def _running(self) -> list[Child]:
        return [child for child in self._machines if child is not None]

    def start(self, machine: int) -> None:
        """A new life of that machine, at the same port; raises ChildError."""
        self._spawn(machine)
        self._join(machine)

    def _spawn(self, machine: int) -> None:
        arguments = [str(number) for number in (machine, self._ports[machine], self._most_behind)]
        self._machines[machine] = Child(MODULE, self._folder / f"control-{machine}.log", arguments)

    def _join(self, machine: int) -> None:
        """Waits until it listens, and gives it all events."""
        child = self._machines[machine]
        assert child is not None
        self._ports[machine] = int(child.hear()["port"])
        self._log.attach(child)

    def kill(self, machine: int) -> None:
        """Ends it without a word; its connections break."""
        child = self._machines[machine]
        assert child is not None
        report = MachineReport.of(child.ask("report"))
        self.first_bytes.append(report.first_bytes)
        self.cut_off += report.cut_off
        self._log.detach(child)
        self._machines[machine] = None
        child.kill()

    def cut(self, zones: Iterable[int], cut: bool, machines: Iterable[int] = range(MACHINES)) -> None:
        """Nothing passes between these machines and zones from now on, or everything does again."""
        fields: dict[str, Any] = {"zones": list(zones), "cut": cut}
        for machine in machines:
            if child := self._machines[machine]:
                child.tell("cut", **fields)

    def reports(self) -> list[MachineReport]:
        """Of all machines; raises ChildError if one does not run."""
        if len(self._running()) < MACHINES:
            raise ChildError("a control machine does not run")
        return [MachineReport.of(order) for order in ask_all(self._running(), "report")]

    def close(self) -> None:
        """Ends all."""
        for machine, child in enumerate(self._machines):
            if child is not None:
                self._log.detach(child)
                child.close()
                self._machines[machine] = None

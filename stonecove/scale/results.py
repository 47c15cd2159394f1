"""Results of a scale run. Times in milliseconds, rates per second, sizes in bytes or megabytes."""

from __future__ import annotations

from dataclasses import dataclass, field

NO_MECHANISM = -1.0  # value of a figure that was not measured


@dataclass(frozen=True, slots=True)
class Delays:
    """Delays of many events, from the first byte at a control machine until the last router has each."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Cost of control traffic for one router, the mean over all hollow ones."""

    received_bytes_a_second: float  # payload
    sent_bytes_a_second: float  # payload
    header_bytes_a_second: float  # estimate for headers and acknowledgements, both ways
    cpu_percent: float  # of one core
    memory_mb: float
    cpu_percent_alone: float = 0.0  # of one hollow router in a process of its own, like a real router

    @property
    def bytes_a_second(self) -> float:
        """Return all bytes per second, both ways, headers included."""
        return self.received_bytes_a_second + self.sent_bytes_a_second + self.header_bytes_a_second


@dataclass(frozen=True, slots=True)
class MachineCost:
    """Resource usage of one control machine."""

    name: str
    cpu_percent: float  # of one core
    memory_mb: float
    sent_bytes_a_second: float
    connections: int


@dataclass(frozen=True, slots=True)
class FaultResult:
    """One fault, and the time until all routers had caught up; negative if they never did."""

    name: str
    level_ms: float
    purge_max_ms: float  # of the routers not affected by the fault, while it lasted
    note: str = ""


@dataclass(frozen=True, slots=True)
class Measurement:
    """The measurements at one size."""

    routers: int
    hollow: int
    real: int
    caches: int
    seconds: float
    purges: int
    purge: Delays
    config: Delays | None  # None without roll-outs
    cost: ControlCost
    machines: tuple[MachineCost, ...]
    faults: tuple[FaultResult, ...] = ()
    lost: int = 0
    repeated: int = 0
    requests_answered: int = 0
    requests_failed: int = 0
    notes: tuple[str, ...] = field(default=())

"""What a scale run measures, typed. Times in milliseconds, rates a second, sizes in bytes or megabytes."""

from __future__ import annotations

from dataclasses import dataclass, field

NO_MECHANISM = -1.0  # a figure that nothing in the program can give yet


@dataclass(frozen=True, slots=True)
class Delays:
    """Delays of many events: from the first byte at a control machine until the last router has each."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class ControlCost:
    """What control costs one router, the mean over all hollow ones."""

    received_bytes_a_second: float  # payload
    sent_bytes_a_second: float  # payload
    header_bytes_a_second: float  # the allowance for headers and acknowledgements, both ways
    cpu_percent: float  # of one core
    memory_mb: float
    cpu_percent_alone: float = 0.0  # of one hollow router that has a process to itself, as real ones have

    @property
    def bytes_a_second(self) -> float:
        """All bytes, both ways, with the allowance for headers."""
        return self.received_bytes_a_second + self.sent_bytes_a_second + self.header_bytes_a_second


@dataclass(frozen=True, slots=True)
class MachineCost:
    """What one control machine spends."""

    name: str
    cpu_percent: float  # of one core
    memory_mb: float
    sent_bytes_a_second: float
    connections: int


@dataclass(frozen=True, slots=True)
class FaultResult:
    """One fault, and how long it took until all routers were level again; negative if they never were."""

    name: str
    level_ms: float
    purge_max_ms: float  # of the routers that the fault did not touch, while it lasted
    note: str = ""


@dataclass(frozen=True, slots=True)
class Measurement:
    """One size, played."""

    routers: int
    hollow: int
    real: int
    caches: int
    seconds: float
    purges: int
    purge: Delays
    config: Delays | None  # None while there is no mechanism
    cost: ControlCost
    machines: tuple[MachineCost, ...]
    faults: tuple[FaultResult, ...] = ()
    lost: int = 0
    repeated: int = 0
    requests_answered: int = 0
    requests_failed: int = 0
    notes: tuple[str, ...] = field(default=())

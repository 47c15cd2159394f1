"""Options of a scale run, read from a file and checked before anything is started.

Each problem is one `OptionError`, which names the field.
"""

from __future__ import annotations

import math
import resource
from dataclasses import dataclass, fields, replace
from importlib import resources
from pathlib import Path
from typing import Any

from stonecove.operator_config.grammar import OperatorError
from stonecove.operator_config.reader import read_source_text, validate_against_schema

SCHEMA = "schema.cue"
MEMORY_INFO = Path("/proc/meminfo")

# The faults that `stonecove.scale.faults` can play, in the order in which they are played.
ROUTERS_RESTARTED = "routers-restarted"
ROUTERS_KILLED = "routers-killed"
MACHINE_KILLED = "machine-killed"
MACHINE_CUT = "machine-cut"
ZONE_CUT = "zone-cut"
REGION_CUT = "region-cut"
SLOW_READER = "slow-reader"
FAULTS = (ROUTERS_RESTARTED, ROUTERS_KILLED, MACHINE_KILLED, MACHINE_CUT, ZONE_CUT, REGION_CUT, SLOW_READER)

CONTROL_MACHINES = 3  # the machines that the operators set aside for control
LEAST_SIZES = 4  # three that are fitted and one that is predicted
LARGEST_SIZE = 2000
LEAST_SECONDS = 2.0
MOST_PROCESSES = 200
MOST_MEMORY_SHARE = 0.5  # of the machine's memory

CONNECTIONS_PER_ROUTER = 2  # of a hollow one: to its control machine, and the swarm's datagram socket
CONNECTIONS_PER_CACHE = 4  # that a real router holds to one cache at most
SPARE_DESCRIPTORS = 64  # standard streams, pipes, event queues, logs

REAL_ROUTER_MB = 192.0  # what the platform grants `run`
PROCESS_MB = 64.0  # measured: 28 for a control machine, 63 for the process with 290 caches
HOLLOW_ROUTER_MB = 0.5  # beyond its process; measured: 0.12 at 60 routers with 290 caches


class OptionError(Exception):
    """A file, an option or the machine can't be used; one line that names the field."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field


@dataclass(frozen=True, slots=True)
class ScaleOptions:
    """What a scale run plays. The costs at all sizes but the last predict those at the last."""

    sizes: tuple[int, ...] = (50, 150, 400, 730)  # routers, real ones included
    caches: int = 290
    real: int = 2  # routers that are whole processes; the others are hollow
    hollow_per_process: int = 50
    purges_a_second: float = 22.0
    day_factor: float = 600.0  # failures and restarts of a day come so many times faster
    seconds: float = 20.0  # of load at each size, without faults
    faults: tuple[str, ...] = FAULTS  # one after the other at the last size, after the load without
    requests_a_second: float = 50.0  # sent to all real routers together
    seed: int = 1
    swarm: bool = False  # hollow routers also tell each other of themselves
    folder: Path | None = None  # where logs stay
    rollout: bool = False  # changes of settings are rolled out to the hollow routers

    @property
    def fitted_sizes(self) -> tuple[int, ...]:
        """The sizes that the lines are fitted to."""
        return self.sizes[:-1]

    @property
    def predicted_size(self) -> int:
        """The size whose costs are predicted before it is played."""
        return self.sizes[-1]

    def hollow(self, routers: int) -> int:
        """How many of so many routers are hollow."""
        return max(0, routers - self.real)

    def hollow_processes(self, routers: int) -> int:
        """In how many processes the hollow ones of so many routers run."""
        return math.ceil(self.hollow(routers) / self.hollow_per_process)


SHORT = ScaleOptions(
    sizes=(10, 20, 30, 60),
    real=1,
    hollow_per_process=20,
    seconds=4.0,
    faults=(ROUTERS_KILLED, MACHINE_KILLED, REGION_CUT),
    requests_a_second=20.0,
)


def read_options(path: Path, base: ScaleOptions) -> ScaleOptions:
    """`base` with what a file changes; raises OptionError with the first problem of the file."""
    schema = resources.files("stonecove.scale").joinpath(SCHEMA).read_text()
    try:
        table, _ = validate_against_schema(read_source_text(path), str(path), schema, "#Scale")
    except OperatorError as error:
        problem = error.problems[0]
        place = f"{problem.text} ({problem.at})" if problem.path else str(problem)
        raise OptionError(problem.path or "file", place) from None
    return _changed(base, table)


def _changed(base: ScaleOptions, table: dict[str, Any]) -> ScaleOptions:
    """`base` with the values of a table that the schema has passed."""
    values = dict(table)
    for name in ("sizes", "faults"):
        if name in values:
            values[name] = tuple(values[name])
    for name in ("purges_a_second", "day_factor", "seconds", "requests_a_second"):
        if name in values:
            values[name] = float(values[name])
    known = {field.name for field in fields(base)}
    return replace(base, **{name: value for name, value in values.items() if name in known})


def check_options(options: ScaleOptions) -> None:
    """Raises OptionError if a value, or two of them together, can't be played."""
    _check_sizes(options)
    _check_range("caches", options.caches, 1, 1000)
    _check_range("hollow_per_process", options.hollow_per_process, 1, 500)
    _check_range("purges_a_second", options.purges_a_second, 0.1, 1000.0)
    _check_range("day_factor", options.day_factor, 0.0, 10_000.0)
    _check_range("seconds", options.seconds, LEAST_SECONDS, 3600.0)
    _check_range("requests_a_second", options.requests_a_second, 0.0, 2000.0)
    for place, fault in enumerate(options.faults):
        if fault not in FAULTS:
            raise OptionError("faults", f"no fault {fault!r}; there are {', '.join(FAULTS)}")
        if fault in options.faults[:place]:
            raise OptionError("faults", f"{fault} is named twice")
    if options.folder is not None and options.folder.exists() and not options.folder.is_dir():
        raise OptionError("logs", f"{options.folder} is no folder")


def _check_sizes(options: ScaleOptions) -> None:
    sizes = options.sizes
    if len(sizes) < LEAST_SIZES:
        raise OptionError("sizes", f"{len(sizes)} are named; three to fit and one to predict are needed")
    if any(later <= earlier for earlier, later in zip(sizes, sizes[1:], strict=False)):
        raise OptionError("sizes", "each has to be larger than the one before")
    if sizes[-1] > LARGEST_SIZE:
        raise OptionError("sizes", f"{sizes[-1]} is above {LARGEST_SIZE}")
    if sizes[0] < 2:
        raise OptionError("sizes", f"{sizes[0]} is below 2")
    if not 0 <= options.real < sizes[0]:
        raise OptionError("real", f"{options.real} leaves no hollow router among {sizes[0]}")


def _check_range(field: str, value: float, least: float, most: float) -> None:
    if not least <= value <= most:  # NaN fails this as well
        raise OptionError(field, f"{value:g} is not from {least:g} to {most:g}")


def check_machine(options: ScaleOptions) -> None:
    """Raises OptionError if this machine can't hold the largest size."""
    if (processes := processes_needed(options)) > MOST_PROCESSES:
        raise OptionError(
            "hollow_per_process",
            f"{options.predicted_size} routers take {processes} processes; {MOST_PROCESSES} at most",
        )
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = descriptors_needed(options)
    if allowed != resource.RLIM_INFINITY and needed > allowed:
        raise OptionError(
            "sizes",
            f"{options.predicted_size} routers need {needed} descriptors in one process; "
            f"{allowed} are allowed (RLIMIT_NOFILE)",
        )
    memory = memory_needed(options)
    if memory > (most := MOST_MEMORY_SHARE * total_memory()):
        raise OptionError(
            "sizes",
            f"{options.predicted_size} routers need about {memory:.0f} MB; "
            f"{most:.0f} MB is half of this machine's memory",
        )


def processes_needed(options: ScaleOptions) -> int:
    """All processes at the largest size: routers, control machines, the one with player and caches, and with
    roll-outs the coordination service.
    """
    others = CONTROL_MACHINES + 1 + options.rollout
    return options.hollow_processes(options.predicted_size) + options.real + others


def descriptors_needed(options: ScaleOptions) -> int:
    """What the process with the most descriptors needs at the largest size.

    A control machine may have all routers while the others are gone; a process of hollow routers has the
    connections of each; the one with the caches has their listeners and all that real routers open to them.
    """
    control_machine = options.predicted_size
    hollow_process = options.hollow_per_process * (CONNECTIONS_PER_ROUTER + options.rollout)  # a session each
    cache_process = options.caches * (1 + options.real * CONNECTIONS_PER_CACHE)
    return max(control_machine, hollow_process, cache_process) + SPARE_DESCRIPTORS


def memory_needed(options: ScaleOptions) -> float:
    """An estimate in MB for the largest size, on the high side."""
    others = processes_needed(options) - options.real
    return (
        options.real * REAL_ROUTER_MB
        + others * PROCESS_MB
        + options.hollow(options.predicted_size) * HOLLOW_ROUTER_MB
    )


def total_memory() -> float:
    """MB of memory that this machine has, by `MemTotal`."""
    for line in MEMORY_INFO.read_text().splitlines():
        name, _, rest = line.partition(":")
        if name == "MemTotal":
            return float(rest.split()[0]) / 1024.0
    raise OptionError("memory", f"{MEMORY_INFO} does not tell MemTotal")

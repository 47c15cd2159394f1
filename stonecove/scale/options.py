"""Read the options of a scale run from a file, and check them before anything is started.

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

CONTROL_MACHINES = 3  # reserved for control by the operators
MIN_SIZE_COUNT = 4  # three to fit and one to predict
MAX_ROUTERS = 2000
MIN_DURATION_S = 2.0
MAX_PROCESSES = 200
MAX_MEMORY_FRACTION = 0.5  # of the machine's memory

CONNECTIONS_PER_ROUTER = 2  # of a hollow router: to its control machine, and the gossip socket
CONNECTIONS_PER_CACHE = 4  # maximum from one real router to one cache
BASE_DESCRIPTORS = 64  # standard streams, pipes, event queues, logs

REAL_ROUTER_MB = 192.0  # the platform's memory limit
PROCESS_MB = 64.0  # a control machine takes 28 MB, the process with 290 caches 63 MB
HOLLOW_ROUTER_MB = 0.5  # without its process; it takes 0.12 MB with 60 routers and 290 caches


class OptionError(Exception):
    """A file, an option or this machine can't be used; the one-line text names the field."""

    def __init__(self, field: str, problem: str) -> None:
        """Create one for a field of the options or the file."""
        super().__init__(f"{field}: {problem}")
        self.field = field


@dataclass(frozen=True, slots=True)
class ScaleOptions:
    """Options of a scale run. The costs at all sizes but the last predict those at the last."""

    sizes: tuple[int, ...] = (50, 150, 400, 730)  # number of routers, real ones included
    caches: int = 290
    real: int = 2  # routers that are separate processes; the others are hollow
    hollow_per_process: int = 50
    purges_a_second: float = 22.0
    day_factor: float = 600.0  # speed-up of a day's failures and restarts
    seconds: float = 20.0  # of load at each size, without faults
    faults: tuple[str, ...] = FAULTS  # one after the other at the last size, after the load without faults
    requests_a_second: float = 50.0  # to all real routers together
    seed: int = 1
    swarm: bool = False  # hollow routers take part in gossip
    folder: Path | None = None  # where logs are kept
    rollout: bool = False  # changes of settings are rolled out to the hollow routers

    @property
    def fitted_sizes(self) -> tuple[int, ...]:
        """Return the sizes that the lines are fitted to."""
        return self.sizes[:-1]

    @property
    def predicted_size(self) -> int:
        """Return the size whose costs are predicted before it is played."""
        return self.sizes[-1]

    def hollow(self, routers: int) -> int:
        """Return how many of this number of routers are hollow."""
        return max(0, routers - self.real)

    def hollow_processes(self, routers: int) -> int:
        """Return the number of processes for the hollow ones of this number of routers."""
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
    """Return `base` with the values of a file; raises OptionError with the first problem of the file."""
    schema = resources.files("stonecove.scale").joinpath(SCHEMA).read_text()
    try:
        table, _ = validate_against_schema(read_source_text(path), str(path), schema, "#Scale")
    except OperatorError as error:
        problem = error.problems[0]
        location = f"{problem.text} ({problem.at})" if problem.path else str(problem)
        raise OptionError(problem.path or "file", location) from None
    return _apply_table(base, table)


def _apply_table(base: ScaleOptions, table: dict[str, Any]) -> ScaleOptions:
    """Return `base` with the values of a table that has passed the schema."""
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
    """Raise OptionError if a value or a combination of values is invalid."""
    _check_sizes(options)
    _check_range("caches", options.caches, 1, 1000)
    _check_range("hollow_per_process", options.hollow_per_process, 1, 500)
    _check_range("purges_a_second", options.purges_a_second, 0.1, 1000.0)
    _check_range("day_factor", options.day_factor, 0.0, 10_000.0)
    _check_range("seconds", options.seconds, MIN_DURATION_S, 3600.0)
    _check_range("requests_a_second", options.requests_a_second, 0.0, 2000.0)
    for index, fault in enumerate(options.faults):
        if fault not in FAULTS:
            raise OptionError("faults", f"no fault {fault!r}; there are {', '.join(FAULTS)}")
        if fault in options.faults[:index]:
            raise OptionError("faults", f"{fault} is named twice")
    if options.folder is not None and options.folder.exists() and not options.folder.is_dir():
        raise OptionError("logs", f"{options.folder} is no folder")


def _check_sizes(options: ScaleOptions) -> None:
    sizes = options.sizes
    if len(sizes) < MIN_SIZE_COUNT:
        raise OptionError("sizes", f"{len(sizes)} are named; three to fit and one to predict are needed")
    if any(later <= earlier for earlier, later in zip(sizes, sizes[1:], strict=False)):
        raise OptionError("sizes", "each has to be larger than the one before")
    if sizes[-1] > MAX_ROUTERS:
        raise OptionError("sizes", f"{sizes[-1]} is above {MAX_ROUTERS}")
    if sizes[0] < 2:
        raise OptionError("sizes", f"{sizes[0]} is below 2")
    if not 0 <= options.real < sizes[0]:
        raise OptionError("real", f"{options.real} leaves no hollow router among {sizes[0]}")


def _check_range(field: str, value: float, minimum: float, maximum: float) -> None:
    if not minimum <= value <= maximum:  # NaN fails this as well
        raise OptionError(field, f"{value:g} is not from {minimum:g} to {maximum:g}")


def check_machine(options: ScaleOptions) -> None:
    """Raise OptionError if this machine can't run the largest size."""
    if (processes := processes_needed(options)) > MAX_PROCESSES:
        raise OptionError(
            "hollow_per_process",
            f"{options.predicted_size} routers take {processes} processes; {MAX_PROCESSES} at most",
        )
    max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = descriptors_needed(options)
    if max_descriptors != resource.RLIM_INFINITY and needed > max_descriptors:
        raise OptionError(
            "sizes",
            f"{options.predicted_size} routers need {needed} descriptors in one process; "
            f"{max_descriptors} are allowed (RLIMIT_NOFILE)",
        )
    needed_mb = memory_needed_mb(options)
    if needed_mb > (limit_mb := MAX_MEMORY_FRACTION * total_memory_mb()):
        raise OptionError(
            "sizes",
            f"{options.predicted_size} routers need about {needed_mb:.0f} MB; "
            f"{limit_mb:.0f} MB is half of this machine's memory",
        )


def processes_needed(options: ScaleOptions) -> int:
    """Return the number of processes at the largest size.

    These are the routers, the control machines, the one with player and caches, and with roll-outs the
    coordination service.
    """
    others = CONTROL_MACHINES + 1 + options.rollout
    return options.hollow_processes(options.predicted_size) + options.real + others


def descriptors_needed(options: ScaleOptions) -> int:
    """Return the descriptors of the process that needs most at the largest size.

    A control machine may have all routers while the others are down; a process of hollow routers has the
    connections of each; the one with the caches has their listeners and all that real routers open to them.
    """
    control_machine = options.predicted_size
    hollow_process = options.hollow_per_process * (CONNECTIONS_PER_ROUTER + options.rollout)  # a session each
    cache_process = options.caches * (1 + options.real * CONNECTIONS_PER_CACHE)
    return max(control_machine, hollow_process, cache_process) + BASE_DESCRIPTORS


def memory_needed_mb(options: ScaleOptions) -> float:
    """Return a conservative estimate in MB for the largest size."""
    others = processes_needed(options) - options.real
    return (
        options.real * REAL_ROUTER_MB
        + others * PROCESS_MB
        + options.hollow(options.predicted_size) * HOLLOW_ROUTER_MB
    )


def total_memory_mb() -> float:
    """Return this machine's memory in MB, from `MemTotal`."""
    for line in MEMORY_INFO.read_text().splitlines():
        name, _, rest = line.partition(":")
        if name == "MemTotal":
            return float(rest.split()[0]) / 1024.0
    raise OptionError("memory", f"{MEMORY_INFO} does not tell MemTotal")

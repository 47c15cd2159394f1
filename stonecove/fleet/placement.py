"""Assignment of instances to CPU cores. The module performs no I/O.

An instance uses at most one core, so this is bin packing of core fractions into cores of capacity 1.0: the
largest demand first, each on the core with the least load (the longest-processing-time rule, Graham 1969,
with a capacity). Demands that do not fit are reported, never reduced.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Demand(NamedTuple):
    """The resources that an instance may use."""

    cores: float  # fraction of one core
    memory_bytes: int
    descriptors: int


class Host(NamedTuple):
    """The resources of the host."""

    cpus: tuple[int, ...]  # numbers of the cores that may be used
    memory_bytes: int
    descriptors: int  # that one process may have


class Place(NamedTuple):
    """The core that an instance is assigned to."""

    cpu: int
    demand: Demand


class Placement(NamedTuple):
    """The places by instance name, or the problems for which there are none."""

    places: dict[str, Place]
    problems: tuple[str, ...]


def place_instances(
    demands: Mapping[str, Demand], host: Host, current_cpus: Mapping[str, int] | None = None
) -> Placement:
    """Assign each instance to a core.

    `current_cpus` has the cores of running instances, which keep them if all demands still fit.
    """
    problems = []
    if not host.cpus:
        problems.append("no core may be used")
    for name, demand in sorted(demands.items()):
        if not 0 < demand.cores <= 1:
            problems.append(f"{name}: {demand.cores:g} cores requested; an instance uses at most one")
        if demand.descriptors > host.descriptors:
            problems.append(
                f"{name}: {demand.descriptors} descriptors requested; a process may have {host.descriptors}"
            )
    memory_bytes = sum(demand.memory_bytes for demand in demands.values())
    if memory_bytes > host.memory_bytes:
        problems.append(
            f"{memory_bytes >> 20} MiB of memory requested in total; {host.memory_bytes >> 20} MiB available"
        )
    if problems:
        return Placement({}, tuple(problems))
    retained = {
        name: cpu for name, cpu in (current_cpus or {}).items() if name in demands and cpu in host.cpus
    }
    for fixed in (retained, {}):
        found = _pack(demands, host.cpus, fixed)
        if found is not None:
            return Placement({name: Place(cpu, demands[name]) for name, cpu in found.items()}, ())
    cores = sum(demand.cores for demand in demands.values())
    return Placement({}, (f"{cores:g} cores requested in fractions that do not fit on {len(host.cpus)}",))


def _pack(
    demands: Mapping[str, Demand], cpus: Sequence[int], fixed: Mapping[str, int]
) -> dict[str, int] | None:
    """Return the cores by instance name, given the `fixed` ones; None if some instance does not fit."""
    load = dict.fromkeys(cpus, 0.0)
    found = dict(fixed)
    for name, cpu in fixed.items():
        load[cpu] += demands[name].cores
    if any(used > 1.0 + 1e-9 for used in load.values()):
        return None
    for name in sorted(demands, key=lambda name: (-demands[name].cores, name)):
        if name in found:
            continue
        cpu = min(load, key=lambda cpu: (load[cpu], cpu))
        if load[cpu] + demands[name].cores > 1.0 + 1e-9:
            return None
        load[cpu] += demands[name].cores
        found[name] = cpu
    return found

"""Bounds of the control plane, curve fits, and the CPU and memory of processes and objects."""

from __future__ import annotations

import gc
import math
import os
import sys
import types
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import numpy

ROUTERS, CACHES, ZONES, REGIONS = 730, 290, 19, 7
PURGES_PER_S = 22.0  # purges a second
CHANGES_PER_DAY = 1600  # of the configuration
DAY_S = 86_400.0
BOUND_BYTES_PER_S = 2048.0  # control traffic per router and second, sent plus received
BOUND_CORE = 0.033  # fraction of a core per router, for control
BOUND_MB = 64.0  # memory per router, for control

Figures = dict[str, float]


class Power(NamedTuple):
    """Power law: factor x size ** exponent."""

    factor: float
    exponent: float

    def at(self, size: float) -> float:
        """Return the fitted value for a fleet size."""
        return float(self.factor * size**self.exponent)


class Line(NamedTuple):
    """Straight line: base + slope x size."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the fitted value for a fleet size."""
        return self.base + self.slope * size


def power_fit(sizes: Sequence[float], values: Sequence[float]) -> Power:
    """Fit a power law by least squares on logarithms.

    Values that are not positive are skipped; with fewer than two left the result is NaN.
    """
    pairs = [(size, value) for size, value in zip(sizes, values, strict=True) if value > 0]
    if len(pairs) < 2:
        return Power(math.nan, math.nan)
    logs = numpy.log(numpy.array(pairs))
    exponent, factor = numpy.polyfit(logs[:, 0], logs[:, 1], 1)
    return Power(float(numpy.exp(factor)), float(exponent))


def line_fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a straight line by least squares."""
    slope, base = numpy.polyfit(numpy.array(sizes, float), numpy.array(values, float), 1)
    return Line(float(base), float(slope))


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds of all threads of a process, from the scheduler's accounting."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total / 1e9


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def deep_size(root: object) -> int:
    """Return the bytes of an object and everything it references, without modules, types and code."""
    shared = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType, types.CodeType)
    seen, pending, total = {id(root)}, [root], 0
    while pending:
        current = pending.pop()
        total += sys.getsizeof(current)
        for referent in gc.get_referents(current):
            if id(referent) not in seen and not isinstance(referent, shared):
                seen.add(id(referent))
                pending.append(referent)
    return total

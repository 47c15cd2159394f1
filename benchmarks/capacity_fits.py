"""Bounds of the control plane, slopes, and what processes and objects take."""

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
PURGE_RATE = 22.0  # purges a second
CHANGES_A_DAY = 1600  # of the configuration
DAY = 86_400.0  # seconds
BOUND_BYTES = 2048.0  # a second and router, for control, sent and received
BOUND_CORE = 0.033  # of a core of a router, for control
BOUND_MB = 64.0  # of a router's memory, for control

Figures = dict[str, float]


class Power(NamedTuple):
    """factor x size ** exponent."""

    factor: float
    exponent: float

    def at(self, size: float) -> float:
        """The value at that size."""
        return float(self.factor * size**self.exponent)


class Line(NamedTuple):
    """base + slope x size."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """The value at that size."""
        return self.base + self.slope * size


def power_fit(sizes: Sequence[float], values: Sequence[float]) -> Power:
    """Least squares on logarithms; values that are not positive are left out, two are needed."""
    pairs = [(size, value) for size, value in zip(sizes, values, strict=True) if value > 0]
    if len(pairs) < 2:
        return Power(math.nan, math.nan)
    logs = numpy.log(numpy.array(pairs))
    exponent, factor = numpy.polyfit(logs[:, 0], logs[:, 1], 1)
    return Power(float(numpy.exp(factor)), float(exponent))


def line_fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Least squares."""
    slope, base = numpy.polyfit(numpy.array(sizes, float), numpy.array(values, float), 1)
    return Line(float(base), float(slope))


def cpu_of(pid: int) -> float:
    """Seconds of CPU that all threads of a process have used, by the scheduler's own count."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total / 1e9


def resident_of(pid: int) -> float:
    """MB of a process that are in memory."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def deep_size(root: object) -> int:
    """Bytes of an object and all that it refers to, without modules, types and code."""
    shared = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType, types.CodeType)
    seen, open_ones, total = {id(root)}, [root], 0
    while open_ones:
        one = open_ones.pop()
        total += sys.getsizeof(one)
        for other in gc.get_referents(one):
            if id(other) not in seen and not isinstance(other, shared):
                seen.add(id(other))
                open_ones.append(other)
    return total

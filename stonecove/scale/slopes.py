"""Lines fitted to what control costs at several sizes, and how well they predict the costs at a larger one.

Each figure is fitted by ordinary least squares as `intercept + slope * routers`. What a linear model leaves
out: queues, whose delays rise faster than any line once a control machine or the cores of the test machine
near saturation; the largest of many delays, which grows with the logarithm of their number; steps, such as
one more process of hollow routers or a table that doubles; and the spread between two plays of the same size,
as each size is played once. A small error therefore says that costs were linear up to the predicted size, not
beyond.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from stonecove.scale.results import MachineCost, Measurement

# What the operators allow.
PURGE_BOUND_MS = 7800.0  # a purge is done everywhere
CONFIG_BOUND_MS = 8000.0  # a configuration change is in force everywhere
CONTROL_BOUND_BYTES_A_SECOND = 2000.0  # of one router, both ways
CONTROL_BOUND_CPU_PERCENT = 3.3  # of one core, of one router
CONTROL_BOUND_MB = 64.0  # of one router
MACHINE_BOUND_CPU_PERCENT = 100.0  # a control machine keeps to one core


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a measurement. `bound`: the most that the operators allow, if they say so."""

    name: str
    unit: str
    value: Callable[[Measurement], float]
    bound: float | None = None


def _worst(value: Callable[[MachineCost], float]) -> Callable[[Measurement], float]:
    """The largest value of any control machine; 0 without one."""
    return lambda measured: max((value(machine) for machine in measured.machines), default=0.0)


FIGURES = (
    Figure("purge_p99_ms", "ms", lambda measured: measured.purge.p99_ms, PURGE_BOUND_MS),
    Figure("purge_max_ms", "ms", lambda measured: measured.purge.max_ms, PURGE_BOUND_MS),
    Figure(
        "control_bytes_a_second",
        "B/s",
        lambda measured: measured.cost.bytes_a_second,
        CONTROL_BOUND_BYTES_A_SECOND,
    ),
    Figure(
        "control_cpu_percent",
        "% of a core",
        lambda measured: measured.cost.cpu_percent,
        CONTROL_BOUND_CPU_PERCENT,
    ),
    Figure("control_mb", "MB", lambda measured: measured.cost.memory_mb, CONTROL_BOUND_MB),
    Figure(
        "control_machine_cpu_percent",
        "% of a core",
        _worst(lambda machine: machine.cpu_percent),
        MACHINE_BOUND_CPU_PERCENT,
    ),
    Figure("control_machine_mb", "MB", _worst(lambda machine: machine.memory_mb)),
    Figure("control_machine_sent_bytes_a_second", "B/s", _worst(lambda machine: machine.sent_bytes_a_second)),
)


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line over the number of routers."""

    slope: float  # for each router more
    intercept: float

    def at(self, routers: float) -> float:
        """The figure that the line gives for so many routers."""
        return self.intercept + self.slope * routers


@dataclass(frozen=True, slots=True)
class Prediction:
    """What a figure is expected to be at a size that has not been played."""

    figure: Figure
    line: Line
    points: tuple[tuple[int, float], ...]  # routers and the figure, as measured
    routers: int

    @property
    def value(self) -> float:
        """The predicted figure."""
        return self.line.at(self.routers)


@dataclass(frozen=True, slots=True)
class Comparison:
    """A prediction beside what was then measured."""

    prediction: Prediction
    measured: float

    @property
    def error_percent(self) -> float:
        """How far the prediction is off, in percent of what was measured; infinite if that is 0."""
        difference = abs(self.prediction.value - self.measured)
        if difference == 0.0:
            return 0.0
        return 100.0 * difference / abs(self.measured) if self.measured else math.inf


def fit(points: Sequence[tuple[int, float]]) -> Line:
    """The line with the least sum of squared errors; raises StatisticsError below two different sizes."""
    sizes, values = [float(size) for size, _ in points], [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    return Line(slope, intercept)


def predict(measurements: Sequence[Measurement], routers: int) -> tuple[Prediction, ...]:
    """All figures at so many routers, from the measurements at other sizes."""
    predictions = []
    for figure in FIGURES:
        points = tuple((measured.routers, figure.value(measured)) for measured in measurements)
        predictions.append(Prediction(figure, fit(points), points, routers))
    return tuple(predictions)


def compare(predictions: Sequence[Prediction], measured: Measurement) -> tuple[Comparison, ...]:
    """Each prediction beside the figure at the size it was made for."""
    return tuple(Comparison(prediction, prediction.figure.value(measured)) for prediction in predictions)


def worst(comparisons: Sequence[Comparison]) -> Comparison:
    """The comparison with the largest error."""
    return max(comparisons, key=lambda comparison: comparison.error_percent)

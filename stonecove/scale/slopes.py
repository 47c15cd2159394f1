"""Fit lines to the cost of control at several sizes, and compare them with the cost at a larger size.

Each figure is fitted by ordinary least squares as `intercept + slope * routers`. A linear model ignores:
queueing, where delays rise faster than any line once a control machine or the cores of the test machine
near saturation; the largest of many delays, which grows with the logarithm of their number; steps, such as
one more process of hollow routers or a table that doubles; and the variance between two runs of the
same size, as each size is played once. A small error therefore shows that costs were linear up to the
predicted size, not beyond.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from stonecove.scale.results import MachineCost, Measurement

# Limits that the operators set.
PURGE_BOUND_MS = 7800.0  # until a purge is applied by all routers
CONFIG_BOUND_MS = 8000.0  # until a configuration change is applied by all routers
CONTROL_BOUND_BYTES_A_SECOND = 2000.0  # of one router, both ways
CONTROL_BOUND_CPU_PERCENT = 3.3  # of one core, of one router
CONTROL_BOUND_MB = 64.0  # of one router
MACHINE_BOUND_CPU_PERCENT = 100.0  # a control machine uses one core at most


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a measurement. `bound` is the operators' limit, if there is one."""

    name: str
    unit: str
    value: Callable[[Measurement], float]
    bound: float | None = None


def _max_over_machines(value: Callable[[MachineCost], float]) -> Callable[[Measurement], float]:
    """Return a function that gives the largest value of any control machine; 0 without one."""
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
        _max_over_machines(lambda machine: machine.cpu_percent),
        MACHINE_BOUND_CPU_PERCENT,
    ),
    Figure("control_machine_mb", "MB", _max_over_machines(lambda machine: machine.memory_mb)),
    Figure(
        "control_machine_sent_bytes_a_second",
        "B/s",
        _max_over_machines(lambda machine: machine.sent_bytes_a_second),
    ),
)


@dataclass(frozen=True, slots=True)
class Line:
    """A line fitted over the number of routers."""

    slope: float  # for each additional router
    intercept: float

    def at(self, routers: float) -> float:
        """Return the value of the line at this number of routers."""
        return self.intercept + self.slope * routers


@dataclass(frozen=True, slots=True)
class Prediction:
    """Expected value of a figure at a size that has not been played."""

    figure: Figure
    line: Line
    points: tuple[tuple[int, float], ...]  # routers and the figure, as measured
    routers: int

    @property
    def value(self) -> float:
        """Return the predicted value."""
        return self.line.at(self.routers)


@dataclass(frozen=True, slots=True)
class Comparison:
    """A prediction and the value measured afterwards."""

    prediction: Prediction
    measured: float

    @property
    def error_percent(self) -> float:
        """Return the prediction's error in percent of the measured value; infinite if that is 0."""
        difference = abs(self.prediction.value - self.measured)
        if difference == 0.0:
            return 0.0
        return 100.0 * difference / abs(self.measured) if self.measured else math.inf


def fit(points: Sequence[tuple[int, float]]) -> Line:
    """Return the least-squares line; raises StatisticsError with fewer than two different sizes."""
    sizes, values = [float(size) for size, _ in points], [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    return Line(slope, intercept)


def predict(measurements: Sequence[Measurement], routers: int) -> tuple[Prediction, ...]:
    """Return the predictions of all figures at this size, from the measurements at other sizes."""
    predictions = []
    for figure in FIGURES:
        points = tuple((measured.routers, figure.value(measured)) for measured in measurements)
        predictions.append(Prediction(figure, fit(points), points, routers))
    return tuple(predictions)


def compare(predictions: Sequence[Prediction], measured: Measurement) -> tuple[Comparison, ...]:
    """Return each prediction with the figure measured at its size."""
    return tuple(Comparison(prediction, prediction.figure.value(measured)) for prediction in predictions)


def worst(comparisons: Sequence[Comparison]) -> Comparison:
    """Return the comparison with the largest error."""
    return max(comparisons, key=lambda comparison: comparison.error_percent)

"""Plays all sizes of a scale run in order, and predicts the last from the others before it is played.

Faults are played at the last size alone: no fitted figure is of a time with faults.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stonecove.scale.options import ScaleOptions
from stonecove.scale.results import Measurement
from stonecove.scale.slopes import Comparison, Prediction, compare, predict

Play = Callable[[ScaleOptions, int], Measurement]


class Listener(Protocol):
    """Is told of a series while it is played."""

    def played(self, measured: Measurement) -> None:
        """One size was played."""

    def predicted(self, predictions: tuple[Prediction, ...]) -> None:
        """All sizes but the last were played; the last has not been started."""


@dataclass(frozen=True, slots=True)
class Series:
    """All sizes, played, and what was predicted of the last."""

    options: ScaleOptions
    measurements: tuple[Measurement, ...]
    comparisons: tuple[Comparison, ...]

    @property
    def largest(self) -> Measurement:
        """The measurement at the last size."""
        return self.measurements[-1]


def play_series(options: ScaleOptions, play: Play, listener: Listener) -> Series:
    """Plays each size by `play`; each has its own folder below that of the options, if there is one."""
    without_faults = dataclasses.replace(options, faults=())
    measurements = []
    for routers in options.fitted_sizes:
        measured = play(_in_own_folder(without_faults, routers), routers)
        listener.played(measured)
        measurements.append(measured)
    predictions = predict(measurements, options.predicted_size)
    listener.predicted(predictions)
    largest = play(_in_own_folder(options, options.predicted_size), options.predicted_size)
    listener.played(largest)
    return Series(options, (*measurements, largest), compare(predictions, largest))


def _in_own_folder(options: ScaleOptions, routers: int) -> ScaleOptions:
    if options.folder is None:
        return options
    folder = options.folder / f"routers-{routers}"
    folder.mkdir(parents=True, exist_ok=True)
    return dataclasses.replace(options, folder=folder)

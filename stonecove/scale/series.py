"""Play all sizes of a scale run in order, and predict the last from the others before it is played.

Faults are played at the last size only, so no fitted figure includes time with faults.
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
    """Receives the progress of a series."""

    def played(self, measured: Measurement) -> None:
        """Handle the measurement of one size."""

    def predicted(self, predictions: tuple[Prediction, ...]) -> None:
        """Handle the predictions for the last size, which has not been started."""


@dataclass(frozen=True, slots=True)
class Series:
    """The measurements at all sizes, and the predictions for the last."""

    options: ScaleOptions
    measurements: tuple[Measurement, ...]
    comparisons: tuple[Comparison, ...]

    @property
    def largest(self) -> Measurement:
        """Return the measurement at the last size."""
        return self.measurements[-1]


def play_series(options: ScaleOptions, play: Play, listener: Listener) -> Series:
    """Play each size with `play`; each gets its own subfolder of the options' folder, if there is one."""
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

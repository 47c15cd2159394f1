"""A picture of a scale run: each figure over the routers, its line, its prediction and its bound."""

from __future__ import annotations

import math
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

from stonecove.scale.series import Series  # noqa: E402
from stonecove.scale.slopes import Comparison  # noqa: E402

COLUMNS = 2
PICTURE = "slopes.png"
BOUND_IN_SIGHT = (
    4.0  # a bound above so many times the largest value is written, not drawn: it would flatten the rest
)
HEADROOM = 1.2  # for what is written above the points
POINT_COLOUR, LINE_COLOUR, MEASURED_COLOUR, BOUND_COLOUR = "#3d85c6", "#999999", "#38761d", "#cc0000"


def draw(series: Series, folder: Path) -> Path:
    """Draws all figures into one picture in a folder, which exists; its path."""
    rows = math.ceil(len(series.comparisons) / COLUMNS)
    figure, grid = plt.subplots(rows, COLUMNS, figsize=(6.5 * COLUMNS, 3.4 * rows), squeeze=False)
    places = [axes for row in grid for axes in row]
    for axes in places[len(series.comparisons) :]:
        axes.set_visible(False)
    for axes, comparison in zip(places, series.comparisons, strict=False):
        _draw_figure(axes, comparison)
    handles, labels = places[0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="upper center", ncols=len(labels), fontsize=9)
    figure.tight_layout(rect=(0.0, 0.0, 1.0, 0.96))
    path = folder / PICTURE
    figure.savefig(path, dpi=110)
    plt.close(figure)
    return path


def _draw_figure(axes: Axes, comparison: Comparison) -> None:
    prediction = comparison.prediction
    figure, last = prediction.figure, prediction.routers
    sizes = [size for size, _ in prediction.points]
    values = [value for _, value in prediction.points]
    axes.plot(
        [0, last], [prediction.line.at(0), prediction.value], color=LINE_COLOUR, linestyle="--", label="fit"
    )
    axes.plot(sizes, values, "o", color=POINT_COLOUR, label="measured, fitted")
    axes.plot(
        [last],
        [prediction.value],
        "D",
        color=LINE_COLOUR,
        markerfacecolor="none",
        markersize=9,
        label="predicted",
    )
    axes.plot([last], [comparison.measured], "s", color=MEASURED_COLOUR, label="measured, last size")
    highest = max([*values, prediction.line.at(0), prediction.value, comparison.measured])
    if figure.bound is not None:
        highest = max(highest, _draw_bound(axes, figure.bound, figure.unit, highest))
    axes.set_ylim(min(0.0, prediction.line.at(0), prediction.value), HEADROOM * highest or 1.0)
    axes.set_title(f"{figure.name}: error {comparison.error_percent:.1f} %", fontsize=10)
    axes.set_xlabel("routers", fontsize=9)
    axes.set_ylabel(figure.unit, fontsize=9)
    axes.grid(alpha=0.3)


def _draw_bound(axes: Axes, bound: float, unit: str, highest: float) -> float:
    """Draws or writes the bound; the height that it takes."""
    if bound <= BOUND_IN_SIGHT * highest:
        axes.axhline(bound, color=BOUND_COLOUR)
        axes.annotate(
            f"bound {bound:g} {unit}",
            (0.02, bound),
            xycoords=("axes fraction", "data"),
            color=BOUND_COLOUR,
            fontsize=8,
            va="bottom",
        )
        return bound
    text = (
        f"bound {bound:g} {unit}, {bound / highest:.0f} times the top"
        if highest > 0.0
        else f"bound {bound:g} {unit}"
    )
    axes.annotate(text, (0.02, 0.97), xycoords="axes fraction", color=BOUND_COLOUR, fontsize=8, va="top")
    return 0.0

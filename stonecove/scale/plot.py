"""Plot a scale run: each figure over the number of routers, with its line, prediction and bound."""

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
FILE_NAME = "slopes.png"
# A bound above this multiple of the largest value is written, not drawn, as it would flatten the plot.
MAX_DRAWN_BOUND_RATIO = 4.0
HEADROOM = 1.2  # space for text above the points
POINT_COLOUR, LINE_COLOUR, MEASURED_COLOUR, BOUND_COLOUR = "#3d85c6", "#999999", "#38761d", "#cc0000"


def draw(series: Series, folder: Path) -> Path:
    """Plot all figures into one file in an existing folder; return its path."""
    rows = math.ceil(len(series.comparisons) / COLUMNS)
    figure, grid = plt.subplots(rows, COLUMNS, figsize=(6.5 * COLUMNS, 3.4 * rows), squeeze=False)
    all_axes = [axes for row in grid for axes in row]
    for axes in all_axes[len(series.comparisons) :]:
        axes.set_visible(False)
    for axes, comparison in zip(all_axes, series.comparisons, strict=False):
        _draw_figure(axes, comparison)
    handles, labels = all_axes[0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="upper center", ncols=len(labels), fontsize=9)
    figure.tight_layout(rect=(0.0, 0.0, 1.0, 0.96))
    path = folder / FILE_NAME
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
    """Draw or write the bound; return the height that it needs."""
    if bound <= MAX_DRAWN_BOUND_RATIO * highest:
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

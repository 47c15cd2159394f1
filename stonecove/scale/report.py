"""Report a scale run: tables, a JSON record, one line of figures, and broken rules."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from rich.table import Table

from stonecove.scale.results import NO_MECHANISM, FaultResult, Measurement
from stonecove.scale.series import Series
from stonecove.scale.slopes import CONFIG_BOUND_MS, FIGURES, PURGE_BOUND_MS, Comparison, Prediction, worst

PARTITION_FAULT_MARKER = "cut"  # in the names of faults that partition routers from control machines


def broken_rules(series: Series) -> tuple[str, ...]:
    """Return a line for each lost or repeated event count and exceeded bound; empty if there are none."""
    return tuple(line for measured in series.measurements for line in _broken_rules_of_size(measured))


def _broken_rules_of_size(measured: Measurement) -> list[str]:
    lines = []
    if measured.lost:
        lines.append(f"lost: {measured.lost} events never came to all routers")
    if measured.repeated:
        lines.append(f"repeated: {measured.repeated} events came more than once")
    if measured.purge.count == 0:
        lines.append("purges: none came to all routers, so that no delay was measured")
    for figure in FIGURES:
        value = figure.value(measured)
        if figure.bound is not None and not value <= figure.bound:
            lines.append(f"{figure.name}: {value:.4g} is above {figure.bound:g} {figure.unit}")
    if measured.config is not None and not measured.config.max_ms <= CONFIG_BOUND_MS:
        lines.append(f"config_max_ms: {measured.config.max_ms:.4g} is above {CONFIG_BOUND_MS:g} ms")
    for fault in measured.faults:
        lines += _broken_rules_of_fault(fault)
    return [f"{measured.routers} routers: {line}" for line in lines]


def _broken_rules_of_fault(fault: FaultResult) -> list[str]:
    lines = []
    if fault.level_ms < 0.0:
        lines.append(f"{fault.name}: routers were never level again")
    if fault.purge_max_ms > PURGE_BOUND_MS:
        lines.append(
            f"{fault.name}: purge_max_ms of routers beside it: {fault.purge_max_ms:.4g} "
            f"is above {PURGE_BOUND_MS:g} ms"
        )
    return lines


def summary(series: Series) -> dict[str, float]:
    """Return the figures of the last line: costs at the largest size, events over all sizes."""
    largest = series.largest
    figures = {figure.name: figure.value(largest) for figure in FIGURES}
    return {
        "routers": largest.routers,
        "hollow": largest.hollow,
        "real": largest.real,
        "caches": largest.caches,
        "purges": sum(measured.purges for measured in series.measurements),
        **figures,
        "config_max_ms": largest.config.max_ms if largest.config is not None else NO_MECHANISM,
        "level_after_cut_ms": _level_after_cut(largest),
        "lost": sum(measured.lost for measured in series.measurements),
        "repeated": sum(measured.repeated for measured in series.measurements),
        "requests_answered": sum(measured.requests_answered for measured in series.measurements),
        "requests_failed": sum(measured.requests_failed for measured in series.measurements),
        "predicted_error_percent": worst(series.comparisons).error_percent,
    }


def _level_after_cut(measured: Measurement) -> float:
    """Return the longest of all partitions; infinite if routers never caught up, NO_MECHANISM without one."""
    levels = [fault.level_ms for fault in measured.faults if PARTITION_FAULT_MARKER in fault.name]
    return max((level if level >= 0.0 else math.inf for level in levels), default=NO_MECHANISM)


def summary_line(series: Series) -> str:
    """Return the summary as `key=value` words."""
    return " ".join(f"{key}={_format_number(value)}" for key, value in summary(series).items())


def _format_number(value: float) -> str:
    """Format integers in full, other numbers with four digits and never with an exponent."""
    if isinstance(value, int) or not math.isfinite(value):
        return str(value)
    digits = max(0, 3 - math.floor(math.log10(abs(value)))) if value else 0
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def record(series: Series) -> dict[str, Any]:
    """Return the whole series for JSON; infinite values become None."""
    options = dataclasses.asdict(series.options)
    options["folder"] = str(series.options.folder) if series.options.folder is not None else None
    result = {
        "options": options,
        "measurements": [dataclasses.asdict(measured) for measured in series.measurements],
        "predictions": [_comparison_record(comparison) for comparison in series.comparisons],
        "broken": list(broken_rules(series)),
        "figures": summary(series),
    }
    return {key: _replace_non_finite(value) for key, value in result.items()}


def _comparison_record(comparison: Comparison) -> dict[str, Any]:
    prediction = comparison.prediction
    return {
        "figure": prediction.figure.name,
        "slope": prediction.line.slope,
        "intercept": prediction.line.intercept,
        "routers": prediction.routers,
        "predicted": prediction.value,
        "measured": comparison.measured,
        "error_percent": comparison.error_percent,
        "bound": prediction.figure.bound,
    }


def _replace_non_finite(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _replace_non_finite(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_replace_non_finite(item) for item in value]
    return None if isinstance(value, float) and not math.isfinite(value) else value


def played_line(measured: Measurement) -> str:
    """Return one line about a size that has been played."""
    cost = measured.cost
    return (
        f"{measured.routers} routers ({measured.hollow} hollow, {measured.real} real): "
        f"{measured.purges} purges, p99 {measured.purge.p99_ms:.1f} ms, max {measured.purge.max_ms:.1f} ms; "
        f"a router {cost.bytes_a_second:.0f} B/s, {cost.cpu_percent:.3f} % of a core, "
        f"{cost.memory_mb:.2f} MB; lost {measured.lost}, repeated {measured.repeated}"
    )


def prediction_lines(predictions: tuple[Prediction, ...]) -> list[str]:
    """Return the lines that show the predictions before the size is played."""
    sizes = ", ".join(str(size) for size, _ in predictions[0].points)
    lines = [f"predicted for {predictions[0].routers} routers, from {sizes}:"]
    for prediction in predictions:
        line, figure = prediction.line, prediction.figure
        lines.append(
            f"  {figure.name} = {line.intercept:.4g} {line.slope:+.4g} * routers = "
            f"{_format_number(prediction.value)} {figure.unit}"
        )
    return lines


def table(series: Series) -> Table:
    """Return a table of each figure at each size, with prediction, error and bound."""
    sizes = [str(measured.routers) for measured in series.measurements]
    rich_table = Table()
    rich_table.add_column("figure", no_wrap=True)
    rich_table.add_column("unit", no_wrap=True)
    for name in (*sizes, "predicted", "error", "bound"):
        rich_table.add_column(name, justify="right")
    for comparison in series.comparisons:
        figure = comparison.prediction.figure
        rich_table.add_row(
            figure.name,
            figure.unit,
            *(_format_number(figure.value(measured)) for measured in series.measurements),
            _format_number(comparison.prediction.value),
            f"{comparison.error_percent:.1f} %",
            _format_number(figure.bound) if figure.bound is not None else "-",
        )
    return rich_table


def fault_table(series: Series) -> Table | None:
    """Return a table of the time until all routers caught up after each fault; None without faults."""
    if not series.largest.faults:
        return None
    rich_table = Table()
    rich_table.add_column("fault", no_wrap=True)
    for name in ("level_ms", "purge_max_ms beside it"):
        rich_table.add_column(name, justify="right")
    rich_table.add_column("note")
    for fault in series.largest.faults:
        level = _format_number(fault.level_ms) if fault.level_ms >= 0.0 else "never"
        rich_table.add_row(fault.name, level, _format_number(fault.purge_max_ms), fault.note)
    return rich_table


def closing_lines(series: Series) -> list[str]:
    """Return the notes of all sizes, the worst prediction and the broken rules."""
    lines = _note_lines(series)
    largest_error = worst(series.comparisons)
    lines.append(
        f"largest error of a prediction: {largest_error.error_percent:.1f} %, "
        f"{largest_error.prediction.figure.name}"
    )
    return lines + [f"BROKEN {line}" for line in broken_rules(series)]


def _note_lines(series: Series) -> list[str]:
    """Return each note once; one that does not hold for all sizes is followed by its sizes."""
    sizes_of: dict[str, list[int]] = {}
    for measured in series.measurements:
        for note in measured.notes:
            sizes_of.setdefault(note, []).append(measured.routers)
    lines = []
    for note, sizes in sizes_of.items():
        everywhere = len(sizes) == len(series.measurements)
        suffix = "" if everywhere else f" ({', '.join(map(str, sizes))} routers)"
        lines.append(f"note{suffix}: {note}")
    return lines

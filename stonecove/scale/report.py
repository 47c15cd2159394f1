"""Reports of a scale run: tables for people, a record for programs, one line of figures, broken rules."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from rich.table import Table

from stonecove.scale.results import NO_MECHANISM, FaultResult, Measurement
from stonecove.scale.series import Series
from stonecove.scale.slopes import CONFIG_BOUND_MS, FIGURES, PURGE_BOUND_MS, Comparison, Prediction, worst

CUT = "cut"  # in the names of faults that part routers from control machines


def broken_rules(series: Series) -> tuple[str, ...]:
    """What was lost, repeated or beyond its bound, a line each; empty if all was kept."""
    return tuple(line for measured in series.measurements for line in _broken_at(measured))


def _broken_at(measured: Measurement) -> list[str]:
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
        lines += _broken_by(fault)
    return [f"{measured.routers} routers: {line}" for line in lines]


def _broken_by(fault: FaultResult) -> list[str]:
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
    """The figures of the last line: costs at the largest size, events over all sizes."""
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
    """The longest of all cuts; infinite if routers were never level again, NO_MECHANISM without a cut."""
    levels = [fault.level_ms for fault in measured.faults if CUT in fault.name]
    return max((level if level >= 0.0 else math.inf for level in levels), default=NO_MECHANISM)


def summary_line(series: Series) -> str:
    """`key=value` for all of the summary."""
    return " ".join(f"{key}={_short(value)}" for key, value in summary(series).items())


def _short(value: float) -> str:
    """Counts whole; other figures with four digits, and never as powers of ten."""
    if isinstance(value, int) or not math.isfinite(value):
        return str(value)
    digits = max(0, 3 - math.floor(math.log10(abs(value)))) if value else 0
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def record(series: Series) -> dict[str, Any]:
    """All of it for programs, fit for JSON: what is infinite is None."""
    options = dataclasses.asdict(series.options)
    options["folder"] = str(series.options.folder) if series.options.folder is not None else None
    found = {
        "options": options,
        "measurements": [dataclasses.asdict(measured) for measured in series.measurements],
        "predictions": [_compared(comparison) for comparison in series.comparisons],
        "broken": list(broken_rules(series)),
        "figures": summary(series),
    }
    return {key: _finite(value) for key, value in found.items()}


def _compared(comparison: Comparison) -> dict[str, Any]:
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


def _finite(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _finite(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [_finite(one) for one in value]
    return None if isinstance(value, float) and not math.isfinite(value) else value


def played_line(measured: Measurement) -> str:
    """One size in a line, as it ends."""
    cost = measured.cost
    return (
        f"{measured.routers} routers ({measured.hollow} hollow, {measured.real} real): "
        f"{measured.purges} purges, p99 {measured.purge.p99_ms:.1f} ms, max {measured.purge.max_ms:.1f} ms; "
        f"a router {cost.bytes_a_second:.0f} B/s, {cost.cpu_percent:.3f} % of a core, "
        f"{cost.memory_mb:.2f} MB; lost {measured.lost}, repeated {measured.repeated}"
    )


def prediction_lines(predictions: tuple[Prediction, ...]) -> list[str]:
    """What is predicted, with its line, before the size is played."""
    sizes = ", ".join(str(size) for size, _ in predictions[0].points)
    lines = [f"predicted for {predictions[0].routers} routers, from {sizes}:"]
    for prediction in predictions:
        line, figure = prediction.line, prediction.figure
        lines.append(
            f"  {figure.name} = {line.intercept:.4g} {line.slope:+.4g} * routers = "
            f"{_short(prediction.value)} {figure.unit}"
        )
    return lines


def table(series: Series) -> Table:
    """Each figure at each size, what was predicted of the last, the error and the bound."""
    sizes = [str(measured.routers) for measured in series.measurements]
    shown = Table()
    shown.add_column("figure", no_wrap=True)
    shown.add_column("unit", no_wrap=True)
    for name in (*sizes, "predicted", "error", "bound"):
        shown.add_column(name, justify="right")
    for comparison in series.comparisons:
        figure = comparison.prediction.figure
        shown.add_row(
            figure.name,
            figure.unit,
            *(_short(figure.value(measured)) for measured in series.measurements),
            _short(comparison.prediction.value),
            f"{comparison.error_percent:.1f} %",
            _short(figure.bound) if figure.bound is not None else "-",
        )
    return shown


def fault_table(series: Series) -> Table | None:
    """How long each fault took until all routers were level; None if none was played."""
    if not series.largest.faults:
        return None
    shown = Table()
    shown.add_column("fault", no_wrap=True)
    for name in ("level_ms", "purge_max_ms beside it"):
        shown.add_column(name, justify="right")
    shown.add_column("note")
    for fault in series.largest.faults:
        level = _short(fault.level_ms) if fault.level_ms >= 0.0 else "never"
        shown.add_row(fault.name, level, _short(fault.purge_max_ms), fault.note)
    return shown


def closing_lines(series: Series) -> list[str]:
    """Notes of all sizes, the worst prediction, and what was broken."""
    lines = _note_lines(series)
    largest_error = worst(series.comparisons)
    lines.append(
        f"largest error of a prediction: {largest_error.error_percent:.1f} %, "
        f"{largest_error.prediction.figure.name}"
    )
    return lines + [f"BROKEN {line}" for line in broken_rules(series)]


def _note_lines(series: Series) -> list[str]:
    """Each note once; one that does not hold for all sizes with those for which it does."""
    sizes_of: dict[str, list[int]] = {}
    for measured in series.measurements:
        for note in measured.notes:
            sizes_of.setdefault(note, []).append(measured.routers)
    lines = []
    for note, sizes in sizes_of.items():
        everywhere = len(sizes) == len(series.measurements)
        place = "" if everywhere else f" ({', '.join(map(str, sizes))} routers)"
        lines.append(f"note{place}: {note}")
    return lines

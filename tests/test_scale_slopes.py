"""Test fitted lines, predictions before the last size, reports and exit codes of scale runs."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import click
import pytest
from click.testing import CliRunner, Result

from stonecove.commands import scale as command
from stonecove.scale.options import SHORT, ScaleOptions
from stonecove.scale.results import ControlCost, Delays, FaultResult, MachineCost, Measurement
from stonecove.scale.slopes import FIGURES, compare, fit, predict, worst

SIZES = (10, 20, 30, 60)
Play = Callable[[ScaleOptions, int], Measurement]


def measurement_on_lines(routers: int) -> Measurement:
    """Return a measurement whose every figure is on a known line over the routers."""
    return Measurement(
        routers=routers,
        hollow=routers - 1,
        real=1,
        caches=290,
        seconds=4.0,
        purges=88,
        purge=Delays(88, 5.0, 10.0 + 0.5 * routers, 20.0 + 1.0 * routers),
        config=None,
        cost=ControlCost(500.0 + 1.0 * routers, 100.0, 50.0, 0.2 + 0.001 * routers, 1.5),
        machines=(
            MachineCost("a", 1.0, 30.0, 100.0, routers),
            MachineCost("b", 2.0 + 0.1 * routers, 40.0 + 0.2 * routers, 1000.0 * routers, routers),
        ),
        requests_answered=80,
    )


@pytest.fixture
def scale_run(monkeypatch: pytest.MonkeyPatch) -> Callable[..., Result]:
    """Return a function that runs the command with a given play."""

    def run(play: Play, *arguments: str) -> Result:
        monkeypatch.setattr(command, "_player", lambda: play)
        sizes = ",".join(map(str, SIZES))
        return CliRunner().invoke(command.scale, ["run", "--short", "--sizes", sizes, *arguments])

    return run


def parse_last_line(result: Result) -> dict[str, float]:
    key_value_pairs = (pair.partition("=") for pair in result.stdout.splitlines()[-1].split())
    return {key: float(value) for key, _, value in key_value_pairs}


def test_fit_is_exact_on_a_line_and_least_squares_otherwise() -> None:
    line = fit([(10, 25.0), (20, 45.0), (40, 85.0)])
    assert line.slope == pytest.approx(2.0)
    assert line.intercept == pytest.approx(5.0)
    least_squares = fit([(0, 0.0), (1, 2.0), (2, 1.0)])  # by hand: mean 1, slope (1 * 1) / 2, intercept 1/2
    assert least_squares.slope == pytest.approx(0.5)
    assert least_squares.intercept == pytest.approx(0.5)
    assert least_squares.at(10) == pytest.approx(5.5)


def test_predictions_are_exact_for_figures_on_lines() -> None:
    predictions = predict([measurement_on_lines(size) for size in SIZES[:-1]], 60)
    assert [prediction.figure for prediction in predictions] == list(FIGURES)
    values = {prediction.figure.name: prediction.value for prediction in predictions}
    assert values == {
        "purge_p99_ms": pytest.approx(40.0),
        "purge_max_ms": pytest.approx(80.0),
        "control_bytes_a_second": pytest.approx(710.0),
        "control_cpu_percent": pytest.approx(0.26),
        "control_mb": pytest.approx(1.5),
        "control_machine_cpu_percent": pytest.approx(8.0),
        "control_machine_mb": pytest.approx(52.0),
        "control_machine_sent_bytes_a_second": pytest.approx(60_000.0),
    }
    assert worst(compare(predictions, measurement_on_lines(60))).error_percent == pytest.approx(0.0, abs=1e-9)


def test_the_error_is_in_percent_of_the_measured_value_and_the_worst_is_found() -> None:
    predictions = predict([measurement_on_lines(size) for size in SIZES[:-1]], 60)
    measured = replace(measurement_on_lines(60), purge=Delays(88, 5.0, 50.0, 64.0))
    errors = {
        comparison.prediction.figure.name: comparison.error_percent
        for comparison in compare(predictions, measured)
    }
    assert errors["purge_p99_ms"] == pytest.approx(20.0)  # 40 predicted, 50 measured
    assert errors["purge_max_ms"] == pytest.approx(25.0)  # 80 predicted, 64 measured
    assert worst(compare(predictions, measured)).prediction.figure.name == "purge_max_ms"
    with_zero = replace(measured, purge=Delays(88, 5.0, 0.0, 64.0))
    assert worst(compare(predictions, with_zero)).error_percent == math.inf


def test_the_prediction_is_printed_before_the_last_size_is_played(
    monkeypatch: pytest.MonkeyPatch, scale_run: Callable[..., Result]
) -> None:
    events: list[str] = []
    echo = click.echo

    def record_echo(message: str, err: bool = False) -> None:
        events.append(message)
        echo(message, err=err)

    def play(options: ScaleOptions, routers: int) -> Measurement:
        events.append(f"play {routers}")
        return measurement_on_lines(routers)

    monkeypatch.setattr(click, "echo", record_echo)
    result = scale_run(play)
    assert result.exit_code == 0
    predicted_index = next(
        index for index, entry in enumerate(events) if entry.startswith("predicted for 60 routers")
    )
    assert events.index("play 30") < predicted_index < events.index("play 60")
    assert [entry for entry in events if entry.startswith("play")] == [f"play {size}" for size in SIZES]
    entries_before_last_size = events[: events.index("play 60")]
    assert any("purge_max_ms = 20 +1 * routers = 80 ms" in entry for entry in entries_before_last_size)


def test_the_last_line_has_the_figures_of_the_last_size(scale_run: Callable[..., Result]) -> None:
    fault_results = (FaultResult("zone-cut", 900.0, 30.0), FaultResult("region-cut", 1234.0, 40.0, "of 7"),
            FaultResult("routers-killed", 5000.0, 40.0))  # fmt: skip
    result = scale_run(lambda options, routers: replace(measurement_on_lines(routers), faults=fault_results))
    figures = parse_last_line(result)
    assert result.exit_code == 0
    assert figures == {
        "routers": 60, "hollow": 59, "real": 1, "caches": 290, "purges": 352, "purge_p99_ms": 40,
        "purge_max_ms": 80, "control_bytes_a_second": 710, "control_cpu_percent": 0.26, "control_mb": 1.5,
        "control_machine_cpu_percent": 8, "control_machine_mb": 52,
        "control_machine_sent_bytes_a_second": 60000, "config_max_ms": -1, "level_after_cut_ms": 1234.0,
        "lost": 0, "repeated": 0, "requests_answered": 320, "requests_failed": 0,
        "predicted_error_percent": pytest.approx(0.0, abs=1e-6),
    }  # fmt: skip
    assert "region-cut" in result.stdout and "of 7" in result.stdout


def with_cost(measured: Measurement, **change: float) -> Measurement:
    return replace(measured, cost=replace(measured.cost, **change))


@pytest.mark.parametrize(
    ("alter", "message"),
    [
        (lambda measured: replace(measured, lost=1), "lost: 1 events"),
        (lambda measured: replace(measured, repeated=2), "repeated: 2 events"),
        (lambda measured: replace(measured, purge=Delays(0, 0.0, 0.0, 0.0)), "purges: none"),
        (
            lambda measured: replace(measured, purge=Delays(9, 1.0, 10.0, 7801.0)),
            "purge_max_ms: 7801 is above 7800",
        ),
        (
            lambda measured: replace(measured, purge=Delays(9, 1.0, math.nan, 10.0)),
            "purge_p99_ms: nan is above",
        ),
        (
            lambda measured: replace(measured, config=Delays(9, 1.0, 10.0, 8001.0)),
            "config_max_ms: 8001 is above 8000",
        ),
        (lambda measured: with_cost(measured, sent_bytes_a_second=1900.0), "control_bytes_a_second: "),
        (lambda measured: with_cost(measured, cpu_percent=3.4), "control_cpu_percent: 3.4 is above 3.3"),
        (lambda measured: with_cost(measured, memory_mb=64.5), "control_mb: 64.5 is above 64"),
        (
            lambda measured: replace(
                measured, machines=(MachineCost("a", 101.0, 1.0, 1.0, 1), *measured.machines)
            ),
            "control_machine_cpu_percent: 101 is above 100",
        ),
        (
            lambda measured: replace(measured, faults=(FaultResult("zone-cut", -1.0, 5.0),)),
            "zone-cut: routers were never level again",
        ),
        (
            lambda measured: replace(measured, faults=(FaultResult("zone-cut", 1.0, 7900.0),)),
            "zone-cut: purge_max_ms of routers beside it: 7900 is above 7800",
        ),
    ],
)
@pytest.mark.parametrize("size", [20, 60])
def test_losses_and_exceeded_bounds_are_reported_with_exit_code_1(
    alter: Callable[[Measurement], Measurement], message: str, size: int, scale_run: Callable[..., Result]
) -> None:
    def play(options: ScaleOptions, routers: int) -> Measurement:
        return alter(measurement_on_lines(routers)) if routers == size else measurement_on_lines(routers)

    result = scale_run(play)
    assert result.exit_code == 1
    broken = [line for line in result.stdout.splitlines() if line.startswith("BROKEN")]
    assert len(broken) == 1 and broken[0].startswith(f"BROKEN {size} routers: {message}")


def test_json_is_the_only_standard_output(scale_run: Callable[..., Result]) -> None:
    def play(options: ScaleOptions, routers: int) -> Measurement:
        return replace(measurement_on_lines(routers), lost=1 if routers == 60 else 0, machines=())

    result = scale_run(play, "--json")
    report = json.loads(result.stdout)
    assert result.exit_code == 1 and report["figures"]["lost"] == 1
    assert report["broken"] == ["60 routers: lost: 1 events never came to all routers"]
    assert [measurement["routers"] for measurement in report["measurements"]] == list(SIZES)
    by_name = {prediction["figure"]: prediction for prediction in report["predictions"]}
    assert by_name["control_bytes_a_second"]["slope"] == pytest.approx(1.0)
    assert by_name["control_bytes_a_second"]["bound"] == 2000.0
    assert "predicted for 60 routers" in result.stderr


def test_a_plot_is_written_each_size_has_a_folder_and_only_the_last_has_faults(
    tmp_path: Path, scale_run: Callable[..., Result]
) -> None:
    folders: list[Path | None] = []
    faults: list[tuple[str, ...]] = []

    def play(options: ScaleOptions, routers: int) -> Measurement:
        folders.append(options.folder)
        faults.append(options.faults)
        return measurement_on_lines(routers)

    result = scale_run(play, "--plot", str(tmp_path / "plots"), "--logs", str(tmp_path / "logs"))
    assert result.exit_code == 0
    assert (tmp_path / "plots" / "slopes.png").stat().st_size > 20_000
    assert folders == [tmp_path / "logs" / f"routers-{size}" for size in SIZES]
    assert all(folder is not None and folder.is_dir() for folder in folders)
    assert faults == [(), (), (), SHORT.faults]


def test_notes_that_do_not_apply_to_all_sizes_name_their_sizes(scale_run: Callable[..., Result]) -> None:
    def play(options: ScaleOptions, routers: int) -> Measurement:
        return replace(
            measurement_on_lines(routers), notes=("everywhere", "small" if routers < 30 else "large")
        )

    lines = scale_run(play).stdout.splitlines()
    notes = [line for line in lines if line.startswith("note")]
    assert notes == ["note: everywhere", "note (10, 20 routers): small", "note (30, 60 routers): large"]


def test_the_table_shows_full_names_prediction_error_and_bound(
    scale_run: Callable[..., Result],
) -> None:
    def play(options: ScaleOptions, routers: int) -> Measurement:
        return replace(
            measurement_on_lines(routers), purge=Delays(88, 5.0, 50.0 if routers == 60 else 25.0, 60.0)
        )

    rows = [
        [cell.strip() for cell in line.split("│")[1:-1]]
        for line in scale_run(play).stdout.splitlines()
        if "│" in line
    ]
    assert ["purge_p99_ms", "ms", "25", "25", "25", "50", "25", "50.0 %", "7800"] in rows
    assert [row[0] for row in rows[:8]] == [figure.name for figure in FIGURES]

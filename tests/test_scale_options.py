"""Test options of scale runs: what a file changes, and that nothing starts with invalid options."""

from __future__ import annotations

import dataclasses
import resource
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from stonecove.commands import scale as command
from stonecove.scale import faults, series
from stonecove.scale import options as scale_options
from stonecove.scale.options import FAULTS, SHORT, OptionError, ScaleOptions, check_options, read_options


@pytest.fixture
def played_options(monkeypatch: pytest.MonkeyPatch) -> list[ScaleOptions]:
    """Record the options of each scale run that is started; each fails at once."""
    options_list: list[ScaleOptions] = []

    def play_series(options: ScaleOptions, play: series.Play, listener: series.Listener) -> series.Series:
        options_list.append(options)
        raise OSError("only options are tested here")

    monkeypatch.setattr(series, "play_series", play_series)
    return options_list


def run_scale_command(*arguments: str) -> Result:
    return CliRunner().invoke(command.scale, ["run", *arguments])


def test_a_file_changes_the_fields_it_names_and_command_line_options_override_it(
    tmp_path: Path, played_options: list[ScaleOptions]
) -> None:
    file = tmp_path / "one.cue"
    file.write_text('sizes: [5, 6, 7, 8], real: 2, seconds: 3, faults: ["zone-cut"], purges_a_second: 40')
    assert read_options(file, SHORT) == dataclasses.replace(
        SHORT, sizes=(5, 6, 7, 8), real=2, seconds=3.0, faults=("zone-cut",), purges_a_second=40.0
    )
    assert run_scale_command(str(file), "--sizes", "4,9,16,25,36", "--seed", "7", "--swarm").exit_code == 2
    assert played_options[0] == dataclasses.replace(
        ScaleOptions(),
        sizes=(4, 9, 16, 25, 36),
        real=2,
        seconds=3.0,
        faults=("zone-cut",),
        purges_a_second=40.0,
        seed=7,
        swarm=True,
    )


def test_the_schema_names_each_option_and_each_fault() -> None:
    schema = Path(scale_options.__file__).with_name(scale_options.SCHEMA).read_text()
    schema_fields = {line.strip().partition("?:")[0] for line in schema.splitlines() if "?:" in line}
    assert schema_fields == {field.name for field in dataclasses.fields(ScaleOptions)} - {"folder"}
    assert all(f'"{fault}"' in schema for fault in FAULTS)
    assert tuple(faults.FAULTS) == FAULTS  # each has an implementation


@pytest.mark.parametrize(
    ("arguments", "field"),
    [
        (["--sizes", "50,150,400"], "sizes"),
        (["--sizes", "50,150,150,400"], "sizes"),
        (["--sizes", "50,150,400,2001"], "sizes"),
        (["--sizes", "1,150,400,700"], "sizes"),
        (["--sizes", "50,many"], "sizes"),
        (["--sizes", ""], "sizes"),
        (["--real", "50"], "real"),
        (["--real", "-1"], "real"),
        (["--real", "half"], "--real"),
        (["--seconds", "1"], "seconds"),
        (["--seconds", "nan"], "seconds"),
        (["--seconds", "soon"], "--seconds"),
        (["--faults", "zone-cut,flood"], "faults"),
        (["--faults", "zone-cut,zone-cut"], "faults"),
        (["--faults", "zone-cut", "--no-faults"], "faults"),
        (["--sized", "50"], "--sized"),
        (["nowhere.cue"], "file"),
        (["one.cue", "two.cue"], "two.cue"),
    ],
)
def test_invalid_arguments_give_one_error_line_before_anything_starts(
    arguments: list[str], field: str, played_options: list[ScaleOptions]
) -> None:
    result = run_scale_command(*arguments)
    assert (result.exit_code, result.stdout, played_options) == (2, "", [])
    assert len(result.stderr.splitlines()) == 1
    assert result.stderr.startswith("stonecove scale: ") and field in result.stderr


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("sizes: [5, 6, 7]", "sizes"),
        ("sizes: [5, 6, 7, 1e9]", "sizes"),
        ('seconds: "long"', "seconds"),
        ("caches: 0", "caches"),
        ("real: 51", "real"),
        ("purges_a_second: -1", "purges_a_second"),
        ('faults: ["flood"]', "faults"),
        ("speed: 3", "speed"),
        ("sizes: [", "file"),
        ("seconds: 3\nreal: 99\ncaches: 0", "real"),
    ],
)
def test_an_invalid_file_gives_one_error_line_that_names_the_field(
    text: str, field: str, tmp_path: Path, played_options: list[ScaleOptions]
) -> None:
    file = tmp_path / "one.cue"
    file.write_text(text)
    result = run_scale_command(str(file))
    assert (result.exit_code, result.stdout, played_options) == (2, "", [])
    assert len(result.stderr.splitlines()) == 1
    assert result.stderr.startswith(f"stonecove scale: {field}")


@pytest.mark.parametrize("option", ["--plot", "--logs"])
def test_a_folder_that_cannot_be_created_is_reported_before_anything_starts(
    option: str, tmp_path: Path, played_options: list[ScaleOptions]
) -> None:
    file = tmp_path / "file"
    file.write_text("")
    result = run_scale_command(option, str(file / "below"))
    assert (result.exit_code, played_options) == (2, [])
    assert len(result.stderr.splitlines()) == 1 and option.strip("-") in result.stderr


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"caches": 0}, "caches"),
        ({"hollow_per_process": 0}, "hollow_per_process"),
        ({"purges_a_second": 0.0}, "purges_a_second"),
        ({"day_factor": float("nan")}, "day_factor"),
        ({"requests_a_second": -1.0}, "requests_a_second"),
    ],
)
def test_a_value_out_of_range_names_its_field(change: dict[str, float], field: str) -> None:
    options = dataclasses.replace(ScaleOptions(), **change)  # type: ignore[arg-type]
    with pytest.raises(OptionError) as caught:
        check_options(options)
    assert caught.value.field == field


def test_defaults_are_valid() -> None:
    check_options(ScaleOptions())
    check_options(SHORT)


def test_more_than_200_processes_are_rejected(tmp_path: Path, played_options: list[ScaleOptions]) -> None:
    file = tmp_path / "one.cue"
    file.write_text("hollow_per_process: 3")
    result = run_scale_command(str(file))
    assert (result.exit_code, played_options) == (2, [])
    assert result.stderr.startswith("stonecove scale: hollow_per_process: 730 routers take ")
    assert len(result.stderr.splitlines()) == 1


def test_too_little_memory_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, played_options: list[ScaleOptions]
) -> None:
    meminfo = tmp_path / "meminfo"
    meminfo.write_text("MemFree: 1000 kB\nMemTotal: 1024000 kB\n")
    monkeypatch.setattr(scale_options, "MEMORY_INFO", meminfo)
    result = run_scale_command()
    assert (result.exit_code, played_options) == (2, [])
    assert result.stderr.startswith("stonecove scale: sizes: 730 routers need about ")
    assert "500 MB is half of this machine's memory" in result.stderr
    assert len(result.stderr.splitlines()) == 1


def test_too_few_descriptors_are_reported_by_the_command() -> None:
    def lower_limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (256, 256))

    result = subprocess.run(
        [sys.executable, "-m", "stonecove", "scale", "run"],
        capture_output=True,
        text=True,
        check=False,
        preexec_fn=lower_limit,
        timeout=30,
    )
    assert (result.returncode, result.stdout) == (2, "")
    assert len(result.stderr.splitlines()) == 1
    assert "sizes: 730 routers need" in result.stderr and "256 are allowed (RLIMIT_NOFILE)" in result.stderr


def test_a_run_that_cannot_be_started_gives_one_error_line(played_options: list[ScaleOptions]) -> None:
    result = run_scale_command("--short")
    assert (result.exit_code, len(played_options)) == (2, 1)
    assert result.stderr == "stonecove scale: only options are tested here\n"


def test_roll_outs_count_in_the_needed_processes_and_descriptors() -> None:
    without_rollout = ScaleOptions(sizes=(2, 3, 4, 400), real=0, caches=1, hollow_per_process=300)
    with_rollout = dataclasses.replace(without_rollout, rollout=True)
    assert scale_options.processes_needed(with_rollout) == scale_options.processes_needed(without_rollout) + 1
    assert (
        scale_options.descriptors_needed(with_rollout)
        == scale_options.descriptors_needed(without_rollout) + 300
    )

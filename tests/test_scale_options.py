"""Options of scale runs: what a file changes, and that nothing starts where something can't be used."""

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
def started(monkeypatch: pytest.MonkeyPatch) -> list[ScaleOptions]:
    """What was asked to be played; it ends at once as what can't be."""
    asked: list[ScaleOptions] = []

    def play_series(options: ScaleOptions, play: series.Play, listener: series.Listener) -> series.Series:
        asked.append(options)
        raise OSError("only options are tested here")

    monkeypatch.setattr(series, "play_series", play_series)
    return asked


def run(*words: str) -> Result:
    return CliRunner().invoke(command.scale, ["run", *words])


def test_a_file_changes_what_it_names_and_options_go_before_it(
    tmp_path: Path, started: list[ScaleOptions]
) -> None:
    file = tmp_path / "one.cue"
    file.write_text('sizes: [5, 6, 7, 8], real: 2, seconds: 3, faults: ["zone-cut"], purges_a_second: 40')
    assert read_options(file, SHORT) == dataclasses.replace(
        SHORT, sizes=(5, 6, 7, 8), real=2, seconds=3.0, faults=("zone-cut",), purges_a_second=40.0
    )
    assert run(str(file), "--sizes", "4,9,16,25,36", "--seed", "7", "--swarm").exit_code == 2
    assert started[0] == dataclasses.replace(
        ScaleOptions(),
        sizes=(4, 9, 16, 25, 36),
        real=2,
        seconds=3.0,
        faults=("zone-cut",),
        purges_a_second=40.0,
        seed=7,
        swarm=True,
    )


def test_the_schema_of_files_names_each_option_and_each_fault() -> None:
    schema = Path(scale_options.__file__).with_name(scale_options.SCHEMA).read_text()
    named = {line.strip().partition("?:")[0] for line in schema.splitlines() if "?:" in line}
    assert named == {field.name for field in dataclasses.fields(ScaleOptions)} - {"folder"}
    assert all(f'"{fault}"' in schema for fault in FAULTS)
    assert tuple(faults.FAULTS) == FAULTS  # each can be played


@pytest.mark.parametrize(
    ("words", "field"),
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
def test_what_cannot_be_used_is_one_line_before_anything_starts(
    words: list[str], field: str, started: list[ScaleOptions]
) -> None:
    result = run(*words)
    assert (result.exit_code, result.stdout, started) == (2, "", [])
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
def test_a_file_that_cannot_be_used_is_one_line_that_names_the_field(
    text: str, field: str, tmp_path: Path, started: list[ScaleOptions]
) -> None:
    file = tmp_path / "one.cue"
    file.write_text(text)
    result = run(str(file))
    assert (result.exit_code, result.stdout, started) == (2, "", [])
    assert len(result.stderr.splitlines()) == 1
    assert result.stderr.startswith(f"stonecove scale: {field}")


@pytest.mark.parametrize("option", ["--plot", "--logs"])
def test_a_folder_that_cannot_be_made_is_told_before_anything_starts(
    option: str, tmp_path: Path, started: list[ScaleOptions]
) -> None:
    file = tmp_path / "file"
    file.write_text("")
    result = run(option, str(file / "below"))
    assert (result.exit_code, started) == (2, [])
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
    with pytest.raises(OptionError) as found:
        check_options(options)
    assert found.value.field == field


def test_defaults_can_be_used() -> None:
    check_options(ScaleOptions())
    check_options(SHORT)


def test_more_than_200_processes_are_refused(tmp_path: Path, started: list[ScaleOptions]) -> None:
    file = tmp_path / "one.cue"
    file.write_text("hollow_per_process: 3")
    result = run(str(file))
    assert (result.exit_code, started) == (2, [])
    assert result.stderr.startswith("stonecove scale: hollow_per_process: 730 routers take ")
    assert len(result.stderr.splitlines()) == 1


def test_too_little_memory_is_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, started: list[ScaleOptions]
) -> None:
    told = tmp_path / "meminfo"
    told.write_text("MemFree: 1000 kB\nMemTotal: 1024000 kB\n")
    monkeypatch.setattr(scale_options, "MEMORY_INFO", told)
    result = run()
    assert (result.exit_code, started) == (2, [])
    assert result.stderr.startswith("stonecove scale: sizes: 730 routers need about ")
    assert "500 MB is half of this machine's memory" in result.stderr
    assert len(result.stderr.splitlines()) == 1


def test_too_few_descriptors_are_told_by_the_real_command() -> None:
    def lower() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (256, 256))

    found = subprocess.run(
        [sys.executable, "-m", "stonecove", "scale", "run"],
        capture_output=True,
        text=True,
        check=False,
        preexec_fn=lower,
        timeout=30,
    )
    assert (found.returncode, found.stdout) == (2, "")
    assert len(found.stderr.splitlines()) == 1
    assert "sizes: 730 routers need" in found.stderr and "256 are allowed (RLIMIT_NOFILE)" in found.stderr


def test_a_play_that_cannot_be_started_is_one_line(started: list[ScaleOptions]) -> None:
    result = run("--short")
    assert (result.exit_code, len(started)) == (2, 1)
    assert result.stderr == "stonecove scale: only options are tested here\n"


def test_roll_outs_are_counted_before_anything_starts() -> None:
    plain = ScaleOptions(sizes=(2, 3, 4, 400), real=0, caches=1, hollow_per_process=300)
    with_rollout = dataclasses.replace(plain, rollout=True)
    assert scale_options.processes_needed(with_rollout) == scale_options.processes_needed(plain) + 1
    assert scale_options.descriptors_needed(with_rollout) == scale_options.descriptors_needed(plain) + 300

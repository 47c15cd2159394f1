"""One size of a scale run, played small."""

from __future__ import annotations

import dataclasses
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from stand import Stand

from stonecove.scale import faults
from stonecove.scale.child import ChildError
from stonecove.scale.control_plane import ControlPlane
from stonecove.scale.options import FAULTS, MACHINE_KILLED, ScaleOptions
from stonecove.scale.run import ScaleRun, play

SMALL = ScaleOptions(
    caches=20, real=1, hollow_per_process=6, seconds=3.0, faults=(), requests_a_second=20.0, day_factor=3000.0
)
ROUTERS = 13


def _children(parent: int) -> set[int]:
    """The processes that all threads of one have started; proc(5)."""
    lists = [path.read_text() for path in Path(f"/proc/{parent}/task").glob("*/children")]
    return {int(pid) for listed in lists for pid in listed.split()}


def test_a_small_size_loses_and_repeats_nothing(tmp_path: Path) -> None:
    before = _children(os.getpid())
    measured = play(dataclasses.replace(SMALL, folder=tmp_path), ROUTERS)
    assert (measured.routers, measured.hollow, measured.real, measured.caches) == (ROUTERS, 12, 1, 20)
    assert (measured.lost, measured.repeated) == (0, 0)
    assert measured.purge.count == measured.purges > 0
    assert 0 < measured.purge.p50_ms <= measured.purge.p99_ms <= measured.purge.max_ms
    assert measured.config is None
    assert measured.cost.received_bytes_a_second > 0
    assert measured.cost.header_bytes_a_second > 0
    assert measured.cost.cpu_percent > 0
    assert measured.cost.cpu_percent_alone > 0
    assert measured.cost.memory_mb > 0
    assert [machine.connections for machine in measured.machines] == [5, 4, 4]
    assert measured.requests_answered > 0
    assert not [note for note in measured.notes if "bug" in note or "internal_error" in note]
    assert _children(os.getpid()) <= before


def test_a_killed_control_machine_costs_only_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(faults, "LASTS", 1.0)
    monkeypatch.setattr(faults, "AFTER", 0.2)
    options = dataclasses.replace(SMALL, real=0, seconds=1.0, faults=(MACHINE_KILLED,))
    measured = play(options, ROUTERS)
    (fault,) = measured.faults
    assert fault.name == MACHINE_KILLED
    assert fault.level_ms >= 0
    assert fault.purge_max_ms > 0
    assert (measured.lost, measured.repeated) == (0, 0)


def test_every_fault_of_the_options_can_be_played() -> None:
    assert set(faults.FAULTS) == set(FAULTS)


def test_a_start_that_fails_leaves_nothing_behind(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    before, join = _children(os.getpid()), ControlPlane._join

    def fail_at_last(plane: ControlPlane, machine: int) -> None:
        if machine == 2:
            raise ChildError("none to be had")
        join(plane, machine)

    monkeypatch.setattr(ControlPlane, "_join", fail_at_last)
    run = ScaleRun(SMALL, ROUTERS, tmp_path)
    with pytest.raises(ChildError):
        run.start()
    run.close()
    assert _children(os.getpid()) <= before


def test_sigterm_ends_all_that_was_started(tmp_path: Path) -> None:
    program = (
        "import pathlib, sys; from stonecove.scale.options import ScaleOptions; "
        "from stonecove.scale.run import play; "
        "play(ScaleOptions(caches=10, real=1, hollow_per_process=6, seconds=60.0, faults=(),"
        " folder=pathlib.Path(sys.argv[1])), 7)"
    )
    process = subprocess.Popen([sys.executable, "-c", program, str(tmp_path)])
    log = tmp_path / "edge-0" / "log"
    Stand.wait(lambda: log.exists() and " router_ready " in log.read_text(), "the real router to be ready")
    children = _children(process.pid)
    assert len(children) >= 5
    process.send_signal(signal.SIGTERM)
    assert process.wait(30.0) == 128 + signal.SIGTERM
    Stand.wait(lambda: not any(Path(f"/proc/{pid}").exists() for pid in children), "all to have ended")

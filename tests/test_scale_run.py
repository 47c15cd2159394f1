"""Test one small size of a scale run."""

from __future__ import annotations

import dataclasses
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from process_harness import ProcessHarness

from stonecove.scale import faults
from stonecove.scale.child import ChildError
from stonecove.scale.control_plane import ControlPlane
from stonecove.scale.options import FAULTS, MACHINE_KILLED, ScaleOptions
from stonecove.scale.run import ScaleRun, play

SMALL_RUN = ScaleOptions(
    caches=20, real=1, hollow_per_process=6, seconds=3.0, faults=(), requests_a_second=20.0, day_factor=3000.0
)
ROUTERS = 13


def _children(parent: int) -> set[int]:
    """Return the child processes of all threads of a process, from proc(5).

    A thread that ends while the list is read takes its file with it; the list is read again then.
    """
    while True:
        try:
            pid_lists = [path.read_text() for path in Path(f"/proc/{parent}/task").glob("*/children")]
        except (FileNotFoundError, ProcessLookupError):
            continue
        return {int(pid) for pids in pid_lists for pid in pids.split()}


def test_a_small_run_loses_and_repeats_no_event(tmp_path: Path) -> None:
    children_before = _children(os.getpid())
    measured = play(dataclasses.replace(SMALL_RUN, folder=tmp_path), ROUTERS)
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
    assert _children(os.getpid()) <= children_before


def test_a_killed_control_machine_loses_no_event(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(faults, "FAULT_DURATION_S", 1.0)
    monkeypatch.setattr(faults, "DELAY_AFTER_FAULT_S", 0.2)
    options = dataclasses.replace(SMALL_RUN, real=0, seconds=1.0, faults=(MACHINE_KILLED,))
    measured = play(options, ROUTERS)
    (fault,) = measured.faults
    assert fault.name == MACHINE_KILLED
    assert fault.level_ms >= 0
    assert fault.purge_max_ms > 0
    assert (measured.lost, measured.repeated) == (0, 0)


def test_every_fault_in_the_options_has_an_implementation() -> None:
    assert set(faults.FAULTS) == set(FAULTS)


def test_a_failed_start_leaves_no_process(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    children_before, attach = _children(os.getpid()), ControlPlane._attach

    def fail_on_last_machine(plane: ControlPlane, machine: int) -> None:
        if machine == 2:
            raise ChildError("no process available")
        attach(plane, machine)

    monkeypatch.setattr(ControlPlane, "_attach", fail_on_last_machine)
    run = ScaleRun(SMALL_RUN, ROUTERS, tmp_path)
    with pytest.raises(ChildError):
        run.start()
    run.close()
    assert _children(os.getpid()) <= children_before


def test_sigterm_ends_all_child_processes(tmp_path: Path) -> None:
    program = (
        "import pathlib, sys; from stonecove.scale.options import ScaleOptions; "
        "from stonecove.scale.run import play; "
        "play(ScaleOptions(caches=10, real=1, hollow_per_process=6, seconds=60.0, faults=(),"
        " folder=pathlib.Path(sys.argv[1])), 7)"
    )
    process = subprocess.Popen([sys.executable, "-c", program, str(tmp_path)])
    log = tmp_path / "edge-0" / "log"
    ProcessHarness.wait_until(
        lambda: log.exists() and " router_ready " in log.read_text(), "the real router to be ready"
    )
    children = _children(process.pid)
    assert len(children) >= 5
    process.send_signal(signal.SIGTERM)
    assert process.wait(30.0) == 128 + signal.SIGTERM
    ProcessHarness.wait_until(
        lambda: not any(Path(f"/proc/{pid}").exists() for pid in children), "all processes to exit"
    )

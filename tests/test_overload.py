"""Tests of the amplification statistics, of a depot with limited capacity, and of the reports on both."""

from __future__ import annotations

import json
import math
import subprocess
import sys
from pathlib import Path

import pytest

from stonecove.overload.amplification import (
    ATTEMPT,
    FAILED,
    INTENDED,
    ORIGIN,
    REFUSED,
    REPEAT,
    SERVED,
    TRY,
    AmplificationStatistics,
    LoadEvent,
)  # fmt: skip
from stonecove.standins.depot import Depot
from stonecove.standins.loaded import LoadedDepot, ServerCapacity, SlotQueue
from stonecove.trial.judge import events_of, judge
from stonecove.trial.schedule import trial_of
from stonecove.trial.testbed import Testbed

READ_CLASS, WRITE_CLASS = "item-image", "pick-confirm"


def make_events(
    seconds: int, rate: int, tries_by_second: dict[int, int], refused_seconds: set[int]
) -> list[LoadEvent]:
    """Return evenly spaced requests; `tries_by_second`: tries of each request, 1 by default."""
    events = []
    for number in range(seconds * rate):
        at_s = number / rate
        events.append(LoadEvent(at_s, INTENDED, number, READ_CLASS))
        for retry in range(tries_by_second.get(int(at_s), 1)):
            try_at_s = at_s + retry * 0.001
            events += [LoadEvent(try_at_s, TRY, number, READ_CLASS), LoadEvent(try_at_s, ATTEMPT, number)]
        events.append(
            LoadEvent(at_s + 0.5, REFUSED if int(at_s) in refused_seconds else SERVED, number, READ_CLASS)
        )
    return events


def test_an_intended_request_is_counted_once_with_all_work_it_caused() -> None:
    events = make_events(10, 20, {4: 3}, {4})
    events += [LoadEvent(4.5, REPEAT, 85), LoadEvent(4.5, ORIGIN, 85), LoadEvent(7.2, ORIGIN)]
    statistics = AmplificationStatistics(reversed(events))  # events of several servers come in any order
    assert (
        statistics.intended,
        statistics.total(SERVED),
        statistics.total(REFUSED),
        statistics.total(FAILED),
    ) == (200, 180, 20, 0)
    assert statistics.worst_second(ATTEMPT) == (4, 3.0) and statistics.worst_second(REPEAT) == (4, 0.05)
    assert statistics.most_amplified(ATTEMPT)[1] == 3 and statistics.total(ORIGIN) == 2
    assert statistics.by_class[READ_CLASS][ATTEMPT] == 240 and statistics.by_class[""][ORIGIN] == 1
    assert statistics.seconds[4].served_share == 0.0 and statistics.seconds[5].ratio(ATTEMPT) == 1.0


@pytest.mark.parametrize(
    ("bad_seconds", "fault_ended_s", "expected_s"),
    [
        (set(), 3.0, 0.0),
        ({3, 4, 5, 6}, 4.0, 3.0),  # the overload lasts three seconds after its cause
        ({3, 4, 6, 8}, 4.0, 5.0),  # single good seconds in between do not count
        (set(range(3, 20)), 4.0, math.inf),
    ],
)
def test_recovery_is_counted_from_the_end_of_the_cause(
    bad_seconds: set[int], fault_ended_s: float, expected_s: float
) -> None:
    tries_by_second = {second: 4 for second in bad_seconds}
    statistics = AmplificationStatistics(make_events(20, 20, tries_by_second, bad_seconds))
    assert statistics.recovery_s(fault_ended_s) == expected_s
    if bad_seconds:
        assert statistics.sustained_by(fault_ended_s, 3.0)[0] == (TRY, 4.0)


def test_a_queue_rejects_at_once_requests_that_would_wait_too_long() -> None:
    queue = SlotQueue(2, 0.5)
    assert [queue.reserve(0.0, 0.3) for _ in range(4)] == [0.3, 0.3, 0.6, 0.6]
    assert queue.reserve(0.0, 0.3) is None
    assert queue.reserve(0.2, 0.3) == pytest.approx(0.9)


def test_an_overloaded_origin_stops_for_a_time_and_then_serves_again() -> None:
    depot = LoadedDepot(1, 4.0, 1, ServerCapacity(origin_per_s=10.0, work_s=0.001, stop_s=1.0))
    try:
        cache = depot.caches[0]
        source = {"from": f"s-{depot.origin.ident:08x}", "chunk": "0", "cls": READ_CLASS}

        def fetch(item: int, now: float) -> tuple[float, bytes]:
            return depot._process(cache, f"{item:x}", {"item": f"{item:x}", **source}, now)

        results = [fetch(item, 100.0) for item in range(40)]
        served = [at for at, data in results if b"via_origin" in data]
        assert len(served) == 8 and max(served) == pytest.approx(100.8, abs=0.01)  # waits 0.4 s
        assert depot.origin_stop_times == [100.0]
        assert b"src_refused" in fetch(50, 100.9)[1]  # the origin has stopped
        assert b"via_origin" in fetch(51, 101.5)[1]
        assert b"joined" in fetch(51, 101.7)[1] and b"hit" in fetch(51, 102.0)[1]
        assert [sent.served for sent in depot.fetches].count(True) == 9
    finally:
        depot.close()


def test_each_change_log_lists_the_servers_at_the_host_given_for_it() -> None:
    depot = Depot(2, zones=2)
    try:
        instances = depot.endpoint_list("127.9.9.9")["results"][0]["fleet"]["instances"]  # type: ignore[index]
        assert [(entry["hostPort"].split(":")[0], entry["zone"]) for entry in instances[:2]] == [
            ("127.9.9.9", "edge-1"), ("127.9.9.9", "edge-2")]  # fmt: skip
        assert depot.add_change_log("127.9.9.9") != depot.log_port
    finally:
        depot.close()


def test_statistics_written_by_a_trial_are_reported_and_plotted(tmp_path: Path) -> None:
    """Run real routers in front of an origin that serves few fetches per second, with clients that retry."""
    text = """title: "pressed", routers: 2, lasts: 6s, window: 300ms, rate: 40, writes: 0.2, swarm: false
        crowd: {tries: 3, patience: 1s, items: 100000}, bears: {origin: 60}
        faults: [{at: 2s, do: "slow", factor: 0.1, for: 2s}, {at: 2s, do: "surge", factor: 1.5, for: 1s}]"""
    trial_file, folder = tmp_path / "pressed.cue", tmp_path / "logs"
    trial_file.write_text(text)

    def run_stonecove(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "stonecove", *arguments], capture_output=True, text=True, check=False
        )

    completed_trial = run_stonecove("trial", "run", str(trial_file), "--json", "--logs", str(folder))
    figures = json.loads(completed_trial.stdout)["figures"]
    assert completed_trial.returncode == 0 and figures["lost"] == 0 and figures["writes_twice"] == 0
    assert 100 < figures["meant"] < 500 and 0.0 < figures["served_of_meant"] < 1.0
    report = json.loads(run_stonecove("overload", "report", str(folder), "--json").stdout)
    assert (
        report["meant"] == figures["meant"] and report["ends"]["served"] > 0 and report["ends"]["lost"] == 0
    )
    assert report["causes"]["try"]["all"] > report["meant"] and report["causes"]["try"]["most_of_one"] == 3
    assert report["causes"]["connect"]["all"] >= 2 and set(report["classes"]) == {READ_CLASS, WRITE_CLASS}
    text_report = run_stonecove("overload", "report", str(folder), "--seconds").stdout
    assert (
        "requests were meant" in text_report
        and "worst second" in text_report
        and "slow 0.1 times" in text_report
    )
    assert run_stonecove("overload", "plot", str(folder)).stdout.strip().endswith("overload.png")
    assert (folder / "overload.png").stat().st_size > 5000
    failed_report = run_stonecove("overload", "report", str(tmp_path))
    assert failed_report.returncode == 2 and len(failed_report.stderr.splitlines()) == 1


def test_open_loop_clients_continue_while_a_router_is_stopped(tmp_path: Path) -> None:
    """Open-loop clients send without waiting for answers; an answer after the timeout counts as late."""
    text = """title: "t", routers: 2, lasts: 4s, window: 300ms, rate: 60, crowd: {patience: 500ms}
        faults: [{at: 1s, do: "pause", who: [0], for: 2s}]"""
    testbed = Testbed(trial_of(text, "t", 1), 5, tmp_path)
    try:
        record = testbed.run()
    finally:
        testbed.close()
    verdict = judge(record)
    statistics = AmplificationStatistics(events_of(record))
    assert verdict.violations == [] and statistics.total("late") > 20
    intended = [statistics.seconds[second].intended for second in range(4)]
    assert min(intended) > 30  # also while half of all answers are late

"""The book of amplification, the depot that bears only so much, and what people are told of both."""

from __future__ import annotations

import json
import math
import subprocess
import sys
from pathlib import Path

import pytest

from stonecove.overload.book import (
    ATTEMPT,
    FAILED,
    MEANT,
    ORIGIN,
    REFUSED,
    REPEAT,
    SERVED,
    TRY,
    Book,
    Event,
)  # fmt: skip
from stonecove.standins.depot import Depot
from stonecove.standins.loaded import Bears, Line, LoadedDepot
from stonecove.trial.judge import events_of, judge
from stonecove.trial.schedule import trial_of
from stonecove.trial.testbed import Testbed

READ, WRITE = "item-image", "pick-confirm"


def day(seconds: int, rate: int, tries: dict[int, int], bad: set[int]) -> list[Event]:
    """Requests that are meant evenly; tries each by second, all refused in the bad ones."""
    found = []
    for number in range(seconds * rate):
        at = number / rate
        found.append(Event(at, MEANT, number, READ))
        for again in range(tries.get(int(at), 1)):
            moment = at + again * 0.001
            found += [Event(moment, TRY, number, READ), Event(moment, ATTEMPT, number)]
        found.append(Event(at + 0.5, REFUSED if int(at) in bad else SERVED, number, READ))
    return found


def test_what_was_meant_is_counted_once_with_all_that_came_of_it() -> None:
    events = day(10, 20, {4: 3}, {4})
    events += [Event(4.5, REPEAT, 85), Event(4.5, ORIGIN, 85), Event(7.2, ORIGIN)]
    book = Book(reversed(events))  # books of several servers come in no order
    assert (book.meant, book.total(SERVED), book.total(REFUSED), book.total(FAILED)) == (200, 180, 20, 0)
    assert book.worst(ATTEMPT) == (4, 3.0) and book.worst(REPEAT) == (4, 0.05)
    assert book.most(ATTEMPT)[1] == 3 and book.total(ORIGIN) == 2
    assert book.by_class[READ][ATTEMPT] == 240 and book.by_class[""][ORIGIN] == 1
    assert book.seconds[4].served == 0.0 and book.seconds[5].ratio(ATTEMPT) == 1.0


@pytest.mark.parametrize(
    ("bad", "ended", "after"),
    [
        (set(), 3.0, 0.0),
        ({3, 4, 5, 6}, 4.0, 3.0),  # it goes on for three seconds after its cause
        ({3, 4, 6, 8}, 4.0, 5.0),  # single good seconds in between are none
        (set(range(3, 20)), 4.0, math.inf),
    ],
)
def test_recovery_is_counted_from_the_end_of_the_cause(bad: set[int], ended: float, after: float) -> None:
    tries = {at: 4 for at in bad}
    book = Book(day(20, 20, tries, bad))
    assert book.recovered(ended) == after
    if bad:
        assert book.sustained_by(ended, 3.0)[0] == (TRY, 4.0)


def test_a_line_turns_away_at_once_who_would_wait_too_long() -> None:
    line = Line(2, 0.5)
    assert [line.take(0.0, 0.3) for _ in range(4)] == [0.3, 0.3, 0.6, 0.6]
    assert line.take(0.0, 0.3) is None
    assert line.take(0.2, 0.3) == pytest.approx(0.9)


def test_an_origin_that_is_pressed_stops_and_one_that_is_not_serves_at_its_pace() -> None:
    depot = LoadedDepot(1, 4.0, 1, Bears(origin=10.0, work=0.001, stop=1.0))
    try:
        box = depot.caches[0]
        source = {"from": f"s-{depot.origin.ident:08x}", "chunk": "0", "cls": READ}

        def ask(item: int, now: float) -> tuple[float, bytes]:
            return depot._through(box, f"{item:x}", {"item": f"{item:x}", **source}, now)

        times = [ask(item, 100.0) for item in range(40)]
        served = [at for at, data in times if b"via_origin" in data]
        assert len(served) == 8 and max(served) == pytest.approx(100.8, abs=0.01)  # waits 0.4 s
        assert depot.stops == [100.0]
        assert b"src_refused" in ask(50, 100.9)[1]  # it has stopped
        assert b"via_origin" in ask(51, 101.5)[1]
        assert b"joined" in ask(51, 101.7)[1] and b"hit" in ask(51, 102.0)[1]
        assert [one.served for one in depot.fetches].count(True) == 9
    finally:
        depot.close()


def test_the_change_log_tells_each_listener_its_own_addresses() -> None:
    depot = Depot(2, zones=2)
    try:
        boxes = depot.known("127.9.9.9")["results"][0]["fleet"]["instances"]  # type: ignore[index]
        assert [(one["hostPort"].split(":")[0], one["zone"]) for one in boxes[:2]] == [
            ("127.9.9.9", "edge-1"), ("127.9.9.9", "edge-2")]  # fmt: skip
        assert depot.log_for("127.9.9.9") != depot.log_port
    finally:
        depot.close()


def test_a_trial_leaves_a_book_that_people_can_read(tmp_path: Path) -> None:
    """Real routers before an origin of a few fetches a second, and clients that come again."""
    text = """title: "pressed", routers: 2, lasts: 6s, window: 300ms, rate: 40, writes: 0.2, swarm: false
        crowd: {tries: 3, patience: 1s, items: 100000}, bears: {origin: 60}
        faults: [{at: 2s, do: "slow", factor: 0.1, for: 2s}, {at: 2s, do: "surge", factor: 1.5, for: 1s}]"""
    file, folder = tmp_path / "pressed.cue", tmp_path / "logs"
    file.write_text(text)

    def stonecove(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "stonecove", *words], capture_output=True, text=True, check=False
        )

    played = stonecove("trial", "run", str(file), "--json", "--logs", str(folder))
    figures = json.loads(played.stdout)["figures"]
    assert played.returncode == 0 and figures["lost"] == 0 and figures["writes_twice"] == 0
    assert 100 < figures["meant"] < 500 and 0.0 < figures["served_of_meant"] < 1.0
    said = json.loads(stonecove("overload", "report", str(folder), "--json").stdout)
    assert said["meant"] == figures["meant"] and said["ends"]["served"] > 0 and said["ends"]["lost"] == 0
    assert said["causes"]["try"]["all"] > said["meant"] and said["causes"]["try"]["most_of_one"] == 3
    assert said["causes"]["connect"]["all"] >= 2 and set(said["classes"]) == {READ, WRITE}
    told = stonecove("overload", "report", str(folder), "--seconds").stdout
    assert "requests were meant" in told and "worst second" in told and "slow 0.1 times" in told
    assert stonecove("overload", "plot", str(folder)).stdout.strip().endswith("overload.png")
    assert (folder / "overload.png").stat().st_size > 5000
    nothing = stonecove("overload", "report", str(tmp_path))
    assert nothing.returncode == 2 and len(nothing.stderr.splitlines()) == 1


def test_a_crowd_goes_on_while_a_router_is_stopped(tmp_path: Path) -> None:
    """Open arrivals: nobody waits for another's answer, and what comes too late is told as late."""
    text = """title: "t", routers: 2, lasts: 4s, window: 300ms, rate: 60, crowd: {patience: 500ms}
        faults: [{at: 1s, do: "pause", who: [0], for: 2s}]"""
    testbed = Testbed(trial_of(text, "t", 1), 5, tmp_path)
    try:
        played = testbed.play()
    finally:
        testbed.close()
    verdict = judge(played)
    book = Book(events_of(played))
    assert verdict.violations == [] and book.total("late") > 20
    meant = [book.seconds[second].meant for second in range(4)]
    assert min(meant) > 30  # also while half of all answers are late

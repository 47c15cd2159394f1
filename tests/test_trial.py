"""Routers as real processes with faults between them, and the judge over them."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from stand import Stand, free_address

from stonecove.explore import scope
from stonecove.explore.copying import run
from stonecove.explore.simulation import Simulation
from stonecove.explore.trace import simulation_start
from stonecove.operator_config.grammar import OperatorError
from stonecove.standins.depot import Fetched
from stonecove.trial.judge import judge
from stonecove.trial.processes import RouterProcess
from stonecove.trial.rejoin import all_joined_for_good, joined_for_good, longest_rejoin
from stonecove.trial.schedule import Trial, read_trial, trial_of
from stonecove.trial.testbed import Testbed, TrialRecord

TRIALS = Path(__file__).parent.parent / "stonecove" / "trial" / "trials"
SMALL = 'title: "t", lasts: 4s, window: 300ms, rate: 30\n'
Play = Callable[[Trial], TrialRecord]


@pytest.fixture
def play(tmp_path: Path) -> Iterator[Play]:
    testbeds = []

    def played(trial: Trial) -> TrialRecord:
        testbeds.append(Testbed(trial, 5, tmp_path))
        return testbeds[-1].play()

    yield played
    for testbed in testbeds:
        testbed.close()


SHORT = [path for path in sorted(TRIALS.glob("*.cue")) if not path.stem.endswith("-long")]


@pytest.mark.parametrize("path", SHORT, ids=lambda path: path.stem)
def test_the_trials_that_come_along_keep_all_rules(path: Path, play: Play) -> None:
    """Stops, loss, one-sided and whole cuts, a mass kill, a roll, late words, twins, a flood, 20 starts."""
    played = play(read_trial(path, 5))
    verdict = judge(played)
    assert [one.summary() for one in verdict.violations] == []
    assert verdict.figures["answers"] > 0
    if path.stem == "zone-cut":  # the cut lasts 9 s: some are held for failed, and wait for a window of 3 s
        assert 3.0 <= verdict.figures["joined_s"] <= 5.0
    if path.stem == "twins":
        assert all(router.lines("gossip_name_conflict") for router in played.routers[1:3])


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("lasts: 1s", "title"),
        ('title: "t", lasts: 5s, faults: [{at: 1s, do: "pause", who: [0]}]', "faults[0]"),
        ('title: "t", lasts: 5s, faults: [{at: 4s, do: "pause", who: [0], for: 2s}]', "not over"),
        ('title: "t", lasts: 5s, faults: [{at: 1s, do: "kill", who: [7]}]', "router 7"),
        ('title: "t", lasts: 5s, faults: [{at: 1s, do: "kill"}]', "neither who nor some"),
        ('title: "t", lasts: 5s, faults: [{at: 1s, do: "melt", who: [0]}]', "melt"),
        ('title: "t", lasts: 5s, routers: 21', "routers"),
        ('title: "t", lasts: 5s, faults: [{at: 1s, do: "down", who: [0], for: 1s}]', "needs of"),
        ('title: "t", lasts: 5s, faults: [{at: 1s, do: "cut", of: ["cache-3"], for: 1s}]', "cache-3"),
        ('title: "t", lasts: 5s, faults: [{at: 1s, do: "kill", zone: 2}]', "zone 2"),
        ('title: "t", lasts: 5s, faults: [{at: 1s, do: "clock", who: [0]}]', "ahead or back"),
    ],
)
def test_a_trial_that_makes_no_sense_is_refused_naming_what_is_wrong(
    text: str, named: str, tmp_path: Path
) -> None:
    with pytest.raises(OperatorError) as refused:
        trial_of(text, "t.cue", 1)
    assert named in str(refused.value)
    path = tmp_path / "t.cue"
    path.write_text(text)
    found = subprocess.run(
        [sys.executable, "-m", "stonecove", "trial", "run", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert (found.returncode, named in found.stderr) == (2, True)


def test_the_same_seed_draws_the_same_routers() -> None:
    text = 'title: "t", lasts: 5s, routers: 20, faults: [{at: 1s, do: "kill", some: 5}]'
    drawn = [trial_of(text, "t", number).faults[0].who for number in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]


def test_the_judge_names_rule_time_and_process(play: Play) -> None:
    """Each rule is broken in what a real trial left behind, and found."""
    played = play(trial_of(SMALL + "routers: 2", "t", 1))
    assert judge(played).violations == []
    now = played.began + 1.0
    with played.routers[0].log.open("a") as log:
        log.write(
            f"{now:.3f} gossip_share_changed joined=True unleased_fraction=1.000 fleet_size=1 "
            "by_zone=0,1 view=1\n"
        )
        log.write(
            f"{now:.3f} gossip_member_changed member={played.ids[1]} state=failed generation=9999999999999\n"
        )
        log.write(f"{now:.3f} internal_error where=x\n")
    assert played.clients is not None
    played.clients.lost.append((now, 1))
    played.repeated = 1
    played.codes.append((0, -6))
    played.colds.append((now, "s-1", [now * 1000.0 + 5.0] * 4000))
    played.drains.append((now - 2.0, now + 1.0, 0x21))
    played.depot.seen.append(Fetched(now * 1000.0, 0x11, "1", "item-image", "s-00000021"))
    item = {"item": "7", "chunk": "0", "cls": "item-image"}
    played.depot.caches[0].copy("7/0", 0.0)
    played.purges.append(time.time() * 1000.0)
    for _ in range(2):  # the second, once the grace is over, is the copy of before
        played.depot.answer(played.depot.caches[0], "2", item)
        time.sleep(1.1)
    found = {one.rule: one for one in judge(played).violations}
    assert set(found) == {"answer", "write", "crash", "bug", "cold", "shares", "failed", "drain", "purge"}
    assert found["failed"].processes == ("edge-0", "edge-1")
    assert 0.9 <= found["shares"].at <= 1.1


def test_people_are_told_how_the_swarm_stands(tmp_path: Path) -> None:
    testbed = Testbed(trial_of(SMALL + "routers: 3", "t", 1), 5, tmp_path)

    def asked(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "stonecove", "swarm", "--socket", testbed.routers[0].socket, *words],
            capture_output=True, text=True, check=False,
        )  # fmt: skip

    try:
        for place in range(3):
            testbed.start(place)
        assert testbed.until(testbed.joined, 30.0)
        assert testbed.until(lambda: "of 3 members" in asked("status").stdout, 30.0)
        assert testbed.until(lambda: asked("status").returncode == 0, 30.0)
        assert "edge-1" in asked("explain", "edge-1").stdout
        assert asked("explain", "nobody").returncode == 1
        testbed.kill(1)
        assert testbed.until(lambda: "is gone" in asked("explain", "edge-1").stdout, 30.0)
        assert re.search("gone: (its address refused|told by)", asked("explain", "edge-1").stdout)
        assert testbed.until(lambda: len(asked("history").stdout.splitlines()) > 5, 30.0)
        told = json.loads(asked("--json", "status").stdout)["status"]
        assert told["states"] == {"alive": 1, "gone": 1}
        address = ":".join(map(str, testbed.relays.address(0, 2)))
        assert asked("gone", "--yes", "127.0.0.1:1").returncode == 1
        assert asked("gone", "--yes", address).returncode == 0
        testbed.kill(0)
        assert asked("status").returncode == 2
    finally:
        testbed.close()


@pytest.mark.parametrize(
    ("record", "changes", "named"),
    [
        ("swarm: period: 1ms", {}, "swarm.period"),
        ("swarm: {period: 200ms, answer: 150ms}", {}, "swarm.answer"),
        ("swarm: {}", {"peer_listen": ""}, "peer_listen"),
        ("swarm: {}", {"peers": ["nowhere"]}, "nowhere"),
        ("swarm: {}", {"peers": ["127.0.0.1:9", "127.0.0.1:9"]}, "twice"),
        ("swarm: {}", {"may": False}, "allow no messages"),
    ],
)
def test_a_swarm_that_can_not_be_had_is_one_line_and_code_2(
    record: str, changes: dict[str, object], named: str, tmp_path: Path
) -> None:
    config = json.loads(json.dumps(Stand.plain_config()))
    listen = ":".join(map(str, free_address()))
    config |= {"peer_listen": listen, "peers": ["127.0.0.1:9"], **changes}
    config["settings"]["limits"]["peers"] = changes.get("may", True)
    path, operator = tmp_path / "config.json", tmp_path / "operator.cue"
    path.write_text(json.dumps(config))
    operator.write_text(record + "\n")
    found = subprocess.run(
        [sys.executable, "-m", "stonecove", "run", "--operator", str(operator)],
        env={"RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert found.returncode == 2
    assert named in found.stderr and len(found.stderr.splitlines()) == 1


def test_what_was_decided_before_a_stop_is_decided_anew() -> None:
    """The last look before the first byte: an attempt that has outlived its share never goes."""
    simulation = run(simulation_start(scope.named(scope.SMALL, "links")), ("ask 0", "decide"))
    assert isinstance(simulation, Simulation)
    outlived = [True]
    simulation.route.send.is_decision_outdated = lambda attempt: bool(outlived) and outlived.pop()
    simulation.do("up c1.0")
    (request,) = simulation.route.requests
    assert [(one.ended, one.written_at_ms > 0) for one in request.attempts] == [(True, False), (False, False)]
    assert simulation.route.recorder.counts["moot"] == 1


def test_a_router_that_was_stopped_says_so_and_one_that_ends_in_order_too(tmp_path: Path) -> None:
    testbed = Testbed(trial_of(SMALL + "routers: 2", "t", 1), 5, tmp_path)
    try:
        for place in range(2):
            testbed.start(place)
        assert testbed.until(testbed.joined, 30.0)
        testbed.routers[0].pause()
        time.sleep(1.2)
        testbed.routers[0].resume()
        assert testbed.until(lambda: testbed.routers[0].lines("gossip_stopped"), 30.0)
        testbed.routers[0].signal(signal.SIGTERM)
        assert testbed.routers[0].wait() == 0
        stands = [line["state"] for line in testbed.routers[1].lines("gossip_member_changed")]
        assert testbed.until(
            lambda: testbed.routers[1].lines("gossip_member_changed")[-1]["state"] == "left", 30.0
        )
        assert "leaving" in stands and "failed" not in stands
    finally:
        testbed.close()


# -- the moment of joining for good --


def _router_with_log(folder: Path, *lines: str) -> RouterProcess:
    router = RouterProcess(folder, folder.name, {"listen": "127.0.0.1:1"}, None)
    router.lives = [(100.0, None)]
    router.log.write_text("".join(f"{line}\n" for line in lines))
    return router


def test_a_router_has_joined_for_good_after_its_last_time_without_its_share(tmp_path: Path) -> None:
    """Guard against a first look at which all are joined, as they have not learned yet what they missed."""
    first = _router_with_log(
        tmp_path / "a",
        "90.000 gossip_share_changed joined=False",  # an earlier process
        "103.000 gossip_share_changed joined=True",
        "110.400 gossip_suspected incarnation=1",
        "110.400 gossip_share_changed joined=False",
        "113.500 gossip_share_changed joined=True",
        "114.000 gossip_share_changed joined=True",
    )
    second = _router_with_log(tmp_path / "b", "104.000 gossip_share_changed joined=True")
    assert (joined_for_good(first, 120.0), joined_for_good(second, 120.0)) == (113.5, 104.0)
    assert all_joined_for_good([first, second], 110.0, 120.0) == 113.5
    assert all_joined_for_good([second], 110.0, 120.0) == 110.0  # all the time
    assert all_joined_for_good([first, second], 110.0, 113.0) is None
    assert longest_rejoin(3.0, [first, second], 110.0, 3.0) == 5.0
    assert longest_rejoin(9.0, [first], 110.0, 3.0) == 9.0
    assert longest_rejoin(3.0, [second], 110.0, 3.0) == 3.0

"""Trials with routers as real processes and faults between them, and the judge of their records."""

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
from process_harness import ProcessHarness, free_address

from stonecove.explore import scope
from stonecove.explore.copying import run
from stonecove.explore.simulation import Simulation
from stonecove.explore.trace import simulation_start
from stonecove.operator_config.grammar import OperatorError
from stonecove.standins.depot import ReceivedRequest
from stonecove.trial.judge import judge
from stonecove.trial.processes import RouterProcess
from stonecove.trial.rejoin import all_joined_since, join_time_limit_s, joined_since
from stonecove.trial.schedule import Trial, read_trial, trial_of
from stonecove.trial.testbed import Testbed, TrialRecord

TRIALS = Path(__file__).parent.parent / "stonecove" / "trial" / "trials"
SMALL_TRIAL = 'title: "t", lasts: 4s, window: 300ms, rate: 30\n'
RunTrial = Callable[[Trial], TrialRecord]


@pytest.fixture
def run_trial(tmp_path: Path) -> Iterator[RunTrial]:
    testbeds = []

    def run_on_testbed(trial: Trial) -> TrialRecord:
        testbeds.append(Testbed(trial, 5, tmp_path))
        return testbeds[-1].run()

    yield run_on_testbed
    for testbed in testbeds:
        testbed.close()


SHORT_TRIALS = [path for path in sorted(TRIALS.glob("*.cue")) if not path.stem.endswith("-long")]


@pytest.mark.parametrize("path", SHORT_TRIALS, ids=lambda path: path.stem)
def test_bundled_trials_violate_no_rule(path: Path, run_trial: RunTrial) -> None:
    """Suspension, loss, one-sided and full partitions, a mass kill, a rolling restart, late datagrams.

    Also routers with the same name, a flood of datagrams, and 20 starts.
    """
    record = run_trial(read_trial(path, 5))
    verdict = judge(record)
    assert [violation.summary() for violation in verdict.violations] == []
    assert verdict.figures["answers"] > 0
    if path.stem == "zone-cut":  # after the 9 s partition, routers declared failed wait for a window of 3 s
        assert 3.0 <= verdict.figures["joined_s"] <= 5.0
    if path.stem == "twins":
        assert all(router.lines("gossip_name_conflict") for router in record.routers[1:3])


@pytest.mark.parametrize(
    ("text", "expected_text"),
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
def test_invalid_trial_is_rejected_with_the_reason(text: str, expected_text: str, tmp_path: Path) -> None:
    with pytest.raises(OperatorError) as rejected:
        trial_of(text, "t.cue", 1)
    assert expected_text in str(rejected.value)
    path = tmp_path / "t.cue"
    path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "stonecove", "trial", "run", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert (completed.returncode, expected_text in completed.stderr) == (2, True)


def test_the_same_seed_draws_the_same_routers() -> None:
    text = 'title: "t", lasts: 5s, routers: 20, faults: [{at: 1s, do: "kill", some: 5}]'
    drawn = [trial_of(text, "t", seed).faults[0].who for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]


def test_judge_reports_rule_time_and_processes(run_trial: RunTrial) -> None:
    """Violate each of these rules in the record of a real trial: the judge reports every violation."""
    record = run_trial(trial_of(SMALL_TRIAL + "routers: 2", "t", 1))
    assert judge(record).violations == []
    now = record.started_at + 1.0
    with record.routers[0].log.open("a") as log:
        log.write(
            f"{now:.3f} gossip_share_changed joined=True unleased_fraction=1.000 fleet_size=1 "
            "by_zone=0,1 view=1\n"
        )
        log.write(
            f"{now:.3f} gossip_member_changed member={record.member_ids[1]} state=failed "
            "generation=9999999999999\n"
        )
        log.write(f"{now:.3f} internal_error where=x\n")
    assert record.clients is not None
    record.clients.lost.append((now, 1))
    record.repeated_write_count = 1
    record.unexpected_exits.append((0, -6))
    record.cache_starts.append((now, "s-1", [now * 1000.0 + 5.0] * 4000))
    record.drains.append((now - 2.0, now + 1.0, 0x21))
    fetch = ReceivedRequest(now * 1000.0, 0x11, "1", "item-image", "s-00000021")
    record.depot.received_requests.append(fetch)
    item = {"item": "7", "chunk": "0", "cls": "item-image"}
    record.depot.caches[0].copy("7/0", 0.0)
    record.purges.append(time.time() * 1000.0)
    for _ in range(2):  # the second answer, after the grace period, is older than the purge
        record.depot.answer(record.depot.caches[0], "2", item)
        time.sleep(1.1)
    violations = {violation.rule: violation for violation in judge(record).violations}
    assert set(violations) == {
        "answer",
        "write",
        "crash",
        "bug",
        "cold",
        "shares",
        "failed",
        "drain",
        "purge",
    }
    assert violations["failed"].processes == ("edge-0", "edge-1")
    assert 0.9 <= violations["shares"].at <= 1.1


def test_swarm_commands_report_member_states(tmp_path: Path) -> None:
    testbed = Testbed(trial_of(SMALL_TRIAL + "routers: 3", "t", 1), 5, tmp_path)

    def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "stonecove", "swarm", "--socket", testbed.routers[0].socket, *arguments],
            capture_output=True, text=True, check=False,
        )  # fmt: skip

    try:
        for index in range(3):
            testbed.start(index)
        assert testbed.until(testbed.joined, 30.0)
        assert testbed.until(lambda: "of 3 members" in run_command("status").stdout, 30.0)
        assert testbed.until(lambda: run_command("status").returncode == 0, 30.0)
        assert "edge-1" in run_command("explain", "edge-1").stdout
        assert run_command("explain", "nobody").returncode == 1
        testbed.kill(1)
        assert testbed.until(lambda: "is gone" in run_command("explain", "edge-1").stdout, 30.0)
        assert re.search("gone: (its address refused|told by)", run_command("explain", "edge-1").stdout)
        assert testbed.until(lambda: len(run_command("history").stdout.splitlines()) > 5, 30.0)
        status = json.loads(run_command("--json", "status").stdout)["status"]
        assert status["states"] == {"alive": 1, "gone": 1}
        address = ":".join(map(str, testbed.relays.address(0, 2)))
        assert run_command("gone", "--yes", "127.0.0.1:1").returncode == 1
        assert run_command("gone", "--yes", address).returncode == 0
        testbed.kill(0)
        assert run_command("status").returncode == 2
    finally:
        testbed.close()


@pytest.mark.parametrize(
    ("operator_text", "changes", "expected_text"),
    [
        ("swarm: period: 1ms", {}, "swarm.period"),
        ("swarm: {period: 200ms, answer: 150ms}", {}, "swarm.answer"),
        ("swarm: {}", {"peer_listen": ""}, "peer_listen"),
        ("swarm: {}", {"peers": ["nowhere"]}, "nowhere"),
        ("swarm: {}", {"peers": ["127.0.0.1:9", "127.0.0.1:9"]}, "twice"),
        ("swarm: {}", {"may": False}, "allow no messages"),
    ],
)
def test_invalid_swarm_configuration_exits_with_code_2_and_one_line(
    operator_text: str, changes: dict[str, object], expected_text: str, tmp_path: Path
) -> None:
    config = json.loads(json.dumps(ProcessHarness.config_without_nodes()))
    listen = ":".join(map(str, free_address()))
    config |= {"peer_listen": listen, "peers": ["127.0.0.1:9"], **changes}
    config["settings"]["limits"]["peers"] = changes.get("may", True)
    path, operator = tmp_path / "config.json", tmp_path / "operator.cue"
    path.write_text(json.dumps(config))
    operator.write_text(operator_text + "\n")
    completed = subprocess.run(
        [sys.executable, "-m", "stonecove", "run", "--operator", str(operator)],
        env={"RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert expected_text in completed.stderr and len(completed.stderr.splitlines()) == 1


def test_outdated_decision_is_made_again_before_the_first_byte() -> None:
    """Check before the first byte: an attempt whose share has expired is never sent."""
    simulation = run(simulation_start(scope.named(scope.SMALL, "links")), ("ask 0", "decide"))
    assert isinstance(simulation, Simulation)
    outdated = [True]
    simulation.route.send.is_decision_outdated = lambda attempt: bool(outdated) and outdated.pop()
    simulation.do("up c1.0")
    (request,) = simulation.route.requests
    assert [(one.ended, one.written_at_ms > 0) for one in request.attempts] == [(True, False), (False, False)]
    assert simulation.route.recorder.counts["moot"] == 1


def test_suspended_and_terminated_routers_announce_it(tmp_path: Path) -> None:
    testbed = Testbed(trial_of(SMALL_TRIAL + "routers: 2", "t", 1), 5, tmp_path)
    try:
        for index in range(2):
            testbed.start(index)
        assert testbed.until(testbed.joined, 30.0)
        testbed.routers[0].pause()
        time.sleep(1.2)
        testbed.routers[0].resume()
        assert testbed.until(lambda: testbed.routers[0].lines("gossip_stopped"), 30.0)
        testbed.routers[0].signal(signal.SIGTERM)
        assert testbed.routers[0].wait() == 0
        states = [line["state"] for line in testbed.routers[1].lines("gossip_member_changed")]
        assert testbed.until(
            lambda: testbed.routers[1].lines("gossip_member_changed")[-1]["state"] == "left", 30.0
        )
        assert "leaving" in states and "failed" not in states
    finally:
        testbed.close()


# -- when a router joined for the last time --


def _router_with_log(folder: Path, *lines: str) -> RouterProcess:
    router = RouterProcess(folder, folder.name, {"listen": "127.0.0.1:1"}, None)
    router.run_times = [(100.0, None)]
    router.log.write_text("".join(f"{line}\n" for line in lines))
    return router


def test_router_is_joined_since_it_last_regained_its_share(tmp_path: Path) -> None:
    """Guard against sampling too early, when all seem joined because none has learned of the fault yet."""
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
    assert (joined_since(first, 120.0), joined_since(second, 120.0)) == (113.5, 104.0)
    assert all_joined_since([first, second], 110.0, 120.0) == 113.5
    assert all_joined_since([second], 110.0, 120.0) == 110.0  # joined throughout
    assert all_joined_since([first, second], 110.0, 113.0) is None
    assert join_time_limit_s(3.0, [first, second], 110.0, 3.0) == 5.0
    assert join_time_limit_s(9.0, [first], 110.0, 3.0) == 9.0
    assert join_time_limit_s(3.0, [second], 110.0, 3.0) == 3.0

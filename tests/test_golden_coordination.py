"""Compare endpoint merging, gossip, roll-outs and health samples with their recordings."""

from __future__ import annotations

import json
import random
import sys
from collections import Counter
from functools import cache
from typing import Any

import pytest
from golden_decisions_storage import FOLDER, difference_from, read_json, stored_steps, write_json
from golden_gossip_cases import NEUTRAL_EVENT_NAMES, GossipFleet
from golden_merge_cases import ALARMS, EndpointSources
from golden_rollout_cases import RolloutFleet

from stonecove.rollout.health import HealthWindow, should_report
from stonecove.rollout.messages import Health

# Seed, and whether the last list is retained.
MERGE_RUNS = {"merge-refuse": (21, False), "merge-keep": (22, True)}
# Seed, routers, zones, and whether claims of FAILED are accepted at once, as in the first two recordings.
GOSSIP_RUNS = {
    "gossip-5": (32, 5, 1, True),
    "gossip-8": (31, 8, 2, True),
    "gossip-8-confirmed": (31, 8, 2, False),
}
ROLLOUT_RUNS = {"rollout-a": 43, "rollout-b": 48}


@cache
def merge_output(name: str) -> dict[str, Any]:
    """Return the output of a run of the endpoint sources, as it is stored."""
    sources = EndpointSources(*MERGE_RUNS[name])
    lines = sources.run(2000)
    return {"seen": dict(sorted(sources.seen.items())), **stored_steps(lines, full=100)}


@cache
def gossip_output(name: str) -> dict[str, Any]:
    """Return the output of a run of gossiping routers, as it is stored."""
    fleet = GossipFleet(*GOSSIP_RUNS[name])
    fleet.run(fault_s=22.0, quiet_s=8.0)
    return {
        "datagrams": dict(sorted(fleet.datagram_kinds.items())),
        "log_events": dict(sorted(fleet.log_events.items())),
        **stored_steps(fleet.lines),
        "end": fleet.answers_at_end(),
    }


@cache
def rollout_output(name: str) -> dict[str, Any]:
    """Return the output of a run of roll-outs, as it is stored."""
    fleet = RolloutFleet(ROLLOUT_RUNS[name])
    lines = fleet.run(420)
    return {"seen": dict(sorted(fleet.seen.items())), **stored_steps(lines, full=30)}


def health_output() -> dict[str, Any]:
    """Return samples of a router's health from counters that grow and are reset."""
    rng, counts = random.Random(51), Counter[str]()
    window, reported, samples = HealthWindow(counts), Health(), []
    for _ in range(120):
        for verdict in ("served", "unchanged", "refused", "failed", "other"):
            counts[verdict] += rng.choice((0, 1, 40))
        if rng.random() < 0.1:
            counts.clear()
        health = window.sample()
        is_reported = should_report(reported, health)
        samples.append(
            [health.answered, health.refused, health.failed, health.unsuccessful_share, is_reported]
        )
        reported = health if is_reported else reported
    return {"samples": samples}


def test_merge_notifies_the_sink_as_recorded() -> None:
    for name in MERGE_RUNS:
        assert not difference_from(f"{name}.json", merge_output(name))


def test_merge_recordings_cover_every_kind_of_step() -> None:
    seen = Counter[str]()
    for name in MERGE_RUNS:
        seen.update(read_json(f"{name}.json")["seen"])
    step_kinds = {"claim", "claimed", "confirmation-wanted", "due", "explained", "told", "known", "error"}
    assert set(seen) == step_kinds | {name for name, _ in ALARMS.values()}


@pytest.mark.parametrize("name", GOSSIP_RUNS)
def test_gossip_sends_the_recorded_datagrams(name: str) -> None:
    assert not difference_from(f"{name}.json", gossip_output(name))


def test_gossip_recordings_cover_every_kind_of_datagram_and_log_event() -> None:
    kinds, log_events = Counter[str](), Counter[str]()
    for name in GOSSIP_RUNS:
        kinds.update(read_json(f"{name}.json")["datagrams"])
        log_events.update(read_json(f"{name}.json")["log_events"])
    assert set(kinds) == {str(kind) for kind in range(1, 9)}
    assert set(log_events) == set(NEUTRAL_EVENT_NAMES.values())


@pytest.mark.parametrize("name", ROLLOUT_RUNS)
def test_rollouts_run_as_recorded(name: str) -> None:
    assert not difference_from(f"{name}.json", rollout_output(name))


def test_rollout_recordings_cover_every_kind_of_step() -> None:
    seen = Counter[str]()
    for name in ROLLOUT_RUNS:
        seen.update(read_json(f"{name}.json")["seen"])
    assert set(seen) == {
        "begin", "halt", "resume", "roll-back", "error", "write", "wait", "finished", "progress", "report",
        "fetched", "not-taken", "state rolling", "state halted", "state complete",
    }  # fmt: skip


def test_health_is_sampled_as_recorded() -> None:
    assert read_json("rollout-health.json") == json.loads(json.dumps(health_output()))


def record() -> None:
    """Record all golden files of this module again."""
    for name in MERGE_RUNS:
        write_json(FOLDER / f"{name}.json", merge_output(name))
    for name in GOSSIP_RUNS:
        write_json(FOLDER / f"{name}.json", gossip_output(name))
    for name in ROLLOUT_RUNS:
        write_json(FOLDER / f"{name}.json", rollout_output(name))
    write_json(FOLDER / "rollout-health.json", health_output())


if __name__ == "__main__" and sys.argv[1:] == ["--record"]:
    record()

"""What routers agree on - endpoint lists, gossip, roll-outs - matches what was recorded."""

from __future__ import annotations

import json
import random
import sys
from collections import Counter
from functools import cache
from typing import Any

import pytest
from golden_decisions_storage import FOLDER, difference_from, read_json, stored_lines, write_json
from golden_gossip_cases import NOTES, GossipFleet
from golden_merge_cases import ALARMS, EndpointSources
from golden_rollout_cases import RolloutFleet

from stonecove.rollout.health import HealthWindow, should_report
from stonecove.rollout.messages import Health

# Seed, and whether the last list is retained.
MERGES = {"merge-refuse": (21, False), "merge-keep": (22, True)}
# Seed, routers, zones, and whether claims of FAILED are accepted at once, as in the first two recordings.
FLEETS = {
    "gossip-5": (32, 5, 1, True),
    "gossip-8": (31, 8, 2, True),
    "gossip-8-confirmed": (31, 8, 2, False),
}
ROLLOUTS = {"rollout-a": 43, "rollout-b": 48}


@cache
def merge_found(name: str) -> dict[str, Any]:
    """Return what is recorded of a run of the endpoint sources."""
    sources = EndpointSources(*MERGES[name])
    lines = sources.run(2000)
    return {"seen": dict(sorted(sources.seen.items())), **stored_lines(lines, full=100)}


@cache
def gossip_found(name: str) -> dict[str, Any]:
    """Return what is recorded of a run of routers that gossip."""
    fleet = GossipFleet(*FLEETS[name])
    fleet.run(fault_s=22.0, quiet_s=8.0)
    return {
        "datagrams": dict(sorted(fleet.kinds.items())),
        "log_events": dict(sorted(fleet.noted.items())),
        **stored_lines(fleet.lines),
        "end": fleet.end(),
    }


@cache
def rollout_found(name: str) -> dict[str, Any]:
    """Return what is recorded of a run of roll-outs."""
    fleet = RolloutFleet(ROLLOUTS[name])
    lines = fleet.run(420)
    return {"seen": dict(sorted(fleet.seen.items())), **stored_lines(lines, full=30)}


def health_found() -> dict[str, Any]:
    """Return samples of a router's health from counters that grow and are reset."""
    rng, counts = random.Random(51), Counter[str]()
    window, reported, lines = HealthWindow(counts), Health(), []
    for _ in range(120):
        for verdict in ("served", "unchanged", "refused", "failed", "other"):
            counts[verdict] += rng.choice((0, 1, 40))
        if rng.random() < 0.1:
            counts.clear()
        found = window.sample()
        is_reported = should_report(reported, found)
        lines.append([found.answered, found.refused, found.failed, found.unsuccessful_share, is_reported])
        reported = found if is_reported else reported
    return {"samples": lines}


def test_merge_notifies_the_sink_as_recorded() -> None:
    for name in MERGES:
        assert not difference_from(f"{name}.json", merge_found(name))


def test_merge_recordings_hold_every_kind_of_step() -> None:
    seen = Counter[str]()
    for name in MERGES:
        seen.update(read_json(f"{name}.json")["seen"])
    own = {"claim", "claimed", "confirmation-wanted", "due", "explained", "told", "known", "error"}
    assert set(seen) == own | {name for name, _ in ALARMS.values()}


@pytest.mark.parametrize("name", FLEETS)
def test_gossip_sends_the_recorded_datagrams(name: str) -> None:
    assert not difference_from(f"{name}.json", gossip_found(name))


def test_gossip_recordings_hold_every_kind_of_datagram_and_log_event() -> None:
    kinds, noted = Counter[str](), Counter[str]()
    for name in FLEETS:
        kinds.update(read_json(f"{name}.json")["datagrams"])
        noted.update(read_json(f"{name}.json")["log_events"])
    assert set(kinds) == {str(kind) for kind in range(1, 9)}
    assert set(noted) == set(NOTES.values())


@pytest.mark.parametrize("name", ROLLOUTS)
def test_rollouts_run_as_recorded(name: str) -> None:
    assert not difference_from(f"{name}.json", rollout_found(name))


def test_rollout_recordings_hold_every_kind_of_step() -> None:
    seen = Counter[str]()
    for name in ROLLOUTS:
        seen.update(read_json(f"{name}.json")["seen"])
    assert set(seen) == {
        "begin", "halt", "resume", "roll-back", "error", "write", "wait", "finished", "progress", "report",
        "fetched", "not-taken", "state rolling", "state halted", "state complete",
    }  # fmt: skip


def test_health_is_sampled_as_recorded() -> None:
    assert read_json("rollout-health.json") == json.loads(json.dumps(health_found()))


def record() -> None:
    """Record all golden files of this module again."""
    for name in MERGES:
        write_json(FOLDER / f"{name}.json", merge_found(name))
    for name in FLEETS:
        write_json(FOLDER / f"{name}.json", gossip_found(name))
    for name in ROLLOUTS:
        write_json(FOLDER / f"{name}.json", rollout_found(name))
    write_json(FOLDER / "rollout-health.json", health_found())


if __name__ == "__main__" and sys.argv[1:] == ["--record"]:
    record()

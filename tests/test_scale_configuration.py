"""Test changes of settings in a scale run: when a change counts as complete, and a run with roll-outs."""

from __future__ import annotations

import pytest

from stonecove.scale.configuration import Applied, Change, configuration_delays
from stonecove.scale.options import ScaleOptions
from stonecove.scale.run import play

NS_PER_MS = 1_000_000
ROUTERS = frozenset({1, 2})


def test_a_change_is_complete_when_the_last_router_applied_it() -> None:
    changes = [Change(1, 0), Change(2, 100 * NS_PER_MS)]
    applied = [
        Applied(1, 1, 5 * NS_PER_MS),
        Applied(2, 1, 9 * NS_PER_MS),
        Applied(1, 1, 70 * NS_PER_MS),  # applied again, as after a reload: the first time counts
        Applied(2, 2, 120 * NS_PER_MS),
        Applied(1, 2, 140 * NS_PER_MS),
        Applied(3, 2, 900 * NS_PER_MS),  # a router that is not counted
    ]
    delays = configuration_delays(changes, applied, ROUTERS)
    assert delays is not None
    assert delays.count == 2
    assert delays.max_ms == pytest.approx(40.0)


def test_a_change_that_one_router_has_not_applied_is_not_complete() -> None:
    applied = [Applied(1, 1, 5 * NS_PER_MS), Applied(2, 1, 6 * NS_PER_MS), Applied(1, 2, 7 * NS_PER_MS)]
    delays = configuration_delays([Change(1, 0), Change(2, 0)], applied, ROUTERS)
    assert delays is not None and delays.count == 1
    assert configuration_delays([Change(2, 0)], applied, ROUTERS) is None


def test_a_run_rolls_out_changes_to_all_hollow_routers() -> None:
    options = ScaleOptions(
        caches=12, real=0, hollow_per_process=4, seconds=4.0, faults=(), requests_a_second=0.0, rollout=True
    )
    measured = play(options, 8)
    assert measured.config is not None and measured.config.count > 0 and measured.config.max_ms > 0
    assert (measured.lost, measured.repeated) == (0, 0)
    assert not [
        note for note in measured.notes if "not complete" in note or "bug" in note or "internal_error" in note
    ]

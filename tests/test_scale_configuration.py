"""Changes of settings in a scale run: what counts as in force everywhere, and a run that rolls some out."""

from __future__ import annotations

import pytest

from stonecove.scale.configuration import Applied, Change, configuration_delays
from stonecove.scale.options import ScaleOptions
from stonecove.scale.run import play

MS = 1_000_000  # ns
ROUTERS = frozenset({1, 2})


def test_a_change_is_in_force_with_the_last_router_that_takes_it() -> None:
    changes = [Change(1, 0), Change(2, 100 * MS)]
    applied = [
        Applied(1, 1, 5 * MS),
        Applied(2, 1, 9 * MS),
        Applied(1, 1, 70 * MS),  # the same again, as after a reload: the first time counts
        Applied(2, 2, 120 * MS),
        Applied(1, 2, 140 * MS),
        Applied(3, 2, 900 * MS),  # none of those that are looked at
    ]
    delays = configuration_delays(changes, applied, ROUTERS)
    assert delays is not None
    assert delays.count == 2
    assert delays.max_ms == pytest.approx(40.0)


def test_a_change_that_one_router_lacks_is_not_in_force() -> None:
    applied = [Applied(1, 1, 5 * MS), Applied(2, 1, 6 * MS), Applied(1, 2, 7 * MS)]
    delays = configuration_delays([Change(1, 0), Change(2, 0)], applied, ROUTERS)
    assert delays is not None and delays.count == 1
    assert configuration_delays([Change(2, 0)], applied, ROUTERS) is None


def test_a_run_rolls_changes_out_to_all_hollow_routers() -> None:
    options = ScaleOptions(
        caches=12, real=0, hollow_per_process=4, seconds=4.0, faults=(), requests_a_second=0.0, rollout=True
    )
    measured = play(options, 8)
    assert measured.config is not None and measured.config.count > 0 and measured.config.max_ms > 0
    assert (measured.lost, measured.repeated) == (0, 0)
    assert not [
        note for note in measured.notes if "not complete" in note or "bug" in note or "internal_error" in note
    ]

"""Tests of roll-outs without I/O: records, merge patches, selection, steps of routers and controllers."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest
from process_harness import SETTINGS

from stonecove.rollout.controller import (
    Finished,
    RolloutError,
    Wait,
    Write,
    base_version,
    begin_rollout,
    halt_rollout,
    next_step,
    resume_rollout,
    roll_back_to,
)
from stonecove.rollout.follower import SETTLE_MS, Follower
from stonecove.rollout.health import HealthWindow, should_report
from stonecove.rollout.merge import merge_patch, settings_with
from stonecove.rollout.messages import (
    MAX_OVERLAY_BYTES,
    Bounds,
    Health,
    MessageError,
    Overlay,
    Refusal,
    Report,
    RolloutState,
    Target,
    validate_waves,
    version_path,
)
from stonecove.rollout.progress import progress_of
from stonecove.rollout.selection import is_chosen, rollout_position, share_for, wanted_version

NAMES = [f"edge-{number}" for number in range(200)]
NOW = 1_800_000_000_000.0
WRITER = "test-1"


# -- records --


def test_records_round_trip() -> None:
    target = Target(
        7,
        6,
        0.2,
        RolloutState.HALTED,
        3,
        True,
        (0.1, 1.0),
        Bounds(0.1, 0.2, 0.3, 900.0),
        NOW,
        5,
        0.25,
        "a",
        "b",
    )
    report = Report(7, NOW, Refusal(6, "why"), 3, True, Health(5, 4, 3), "127.0.0.1:1", NOW)
    overlay = Overlay(7, {"rules": {"warm_up": 1.5}})
    assert Target.decode(target.encode()) == target
    assert Report.decode(report.encode()) == report
    assert Report.decode(Report().encode()) == Report()
    assert Overlay.decode(7, overlay.encode()) == overlay


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("version", -1),
        ("version", True),
        ("previous", 1.5),
        ("share", 1.01),
        ("share", None),
        ("state", "paused"),
        ("round", "1"),
        ("rollback", 0),
        ("waves", [0.5]),
        ("waves", "all"),
        ("bounds", []),
        ("since_ms", -1.0),
        ("expected", None),
        ("baseline", 2),
        ("writer", 5),
        ("why", None),
    ],
)
def test_an_invalid_target_is_rejected_with_the_name_of_its_field(field: str, value: Any) -> None:
    fields = json.loads(Target(2, 1, 0.5, RolloutState.ROLLING).encode())
    with pytest.raises(MessageError, match=f"^{field}: "):
        Target.decode(json.dumps({**fields, field: value}).encode())


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "not JSON"),
        (b"{", "not JSON"),
        (b"\xff\xfe", "not JSON"),
        (b"[1]", "not a JSON object"),
        (b'{"merge": {}}', "version: None"),
        (b'{"version": 4, "merge": {}}', "version: 4 in the node of version 5"),
        (b'{"version": 5}', "merge: None"),
        (b'{"version": 5, "merge": []}', "merge: "),
        (b'{"version": 5, "merge": {"zone": 2}}', "merge.zone"),
        (b'{"version": 5, "merge": {"fleet_size": 2}}', "merge.fleet_size"),
        (b'{"version": 5, "merge": {}}' + b" " * MAX_OVERLAY_BYTES, f"{MAX_OVERLAY_BYTES} at most"),
    ],
)
def test_an_invalid_overlay_is_rejected_with_the_reason_in_one_line(data: bytes, reason: str) -> None:
    with pytest.raises(MessageError) as caught:
        Overlay.decode(5, data)
    assert reason in str(caught.value) and "\n" not in str(caught.value)


def test_an_overlay_that_is_too_large_is_not_encoded() -> None:
    with pytest.raises(MessageError, match="at most"):
        Overlay(5, {"text": "x" * MAX_OVERLAY_BYTES}).encode()


@pytest.mark.parametrize("waves", [(), (0.5,), (0.0, 1.0), (0.5, 0.2, 1.0), (0.5, 0.5, 1.0), (1.0, 1.5)])
def test_waves_that_do_not_rise_to_the_whole_fleet_are_rejected(waves: tuple[float, ...]) -> None:
    with pytest.raises(MessageError, match="^waves: "):
        validate_waves(waves)


# -- merge patch --


@pytest.mark.parametrize(
    ("base", "patch", "merged"),
    [  # the examples of RFC 7396, appendix A
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b"}, {"a": None}, {}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        (["a", "b"], ["c", "d"], ["c", "d"]),
        ({"a": "b"}, ["c"], ["c"]),
        ({"a": "foo"}, None, None),
        ({"a": "foo"}, "bar", "bar"),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ],
)
def test_merge_patch_follows_rfc_7396_and_leaves_the_base_unchanged(
    base: Any, patch: Any, merged: Any
) -> None:
    before = json.dumps(base)
    assert merge_patch(base, patch) == merged
    assert json.dumps(base) == before


def test_a_patch_nested_too_deeply_is_refused() -> None:
    patch: dict[str, Any] = {}
    for _ in range(100):
        patch = {"a": patch}
    with pytest.raises(MessageError, match="deep"):
        merge_patch({}, patch)


def test_settings_with_an_overlay_keep_the_other_fields_of_the_routers_file() -> None:
    settings = settings_with(SETTINGS, Overlay(1, {"rules": {"warm_up": 123.0}}))
    assert settings.slow_start_ms == 123.0
    assert settings.zone == SETTINGS["zone"]
    assert settings.slow_start_initial_fraction == SETTINGS["rules"]["cold_from"]


@pytest.mark.parametrize(
    "merge", [{"classes": []}, {"classes": None}, {"rules": {"warm_up": "long"}}, {"domain": 5}]
)
def test_an_overlay_that_leads_to_invalid_settings_is_rejected(merge: dict[str, Any]) -> None:
    with pytest.raises(MessageError):
        settings_with(SETTINGS, Overlay(1, merge))


# -- selection --


def rolling_target(share: float, version: int = 2, previous: int = 1, **fields: Any) -> Target:
    return Target(version, previous, share, RolloutState.ROLLING, **fields)


def test_a_larger_share_selects_all_routers_that_a_smaller_one_selects() -> None:
    chosen = [
        {name for name in NAMES if is_chosen(rolling_target(share), name)} for share in (0.02, 0.2, 0.5, 1.0)
    ]
    assert all(smaller < larger for smaller, larger in zip(chosen, chosen[1:], strict=False))
    assert len(chosen[-1]) == len(NAMES)
    assert 20 <= len(chosen[1]) <= 60


def test_different_versions_begin_with_different_routers() -> None:
    first = [min(NAMES, key=lambda name: rollout_position(name, version)) for version in range(20)]
    assert len(set(first)) > 10


def test_a_wave_of_a_small_fleet_selects_at_least_one_router() -> None:
    for version in range(50):
        share = share_for(0.02, version, NAMES[:3])
        assert sum(is_chosen(rolling_target(share, version), name) for name in NAMES[:3]) >= 1
    assert share_for(0.02, 1, ()) == 0.02


def test_a_halted_target_selects_no_router_and_a_complete_one_selects_all() -> None:
    assert wanted_version(Target(2, 1, 1.0, RolloutState.HALTED), "a") == 1
    assert wanted_version(Target(2, 1, 0.0, RolloutState.COMPLETE), "a") == 2


# -- the router's steps --


def overlay_of(version: int) -> bytes:
    return Overlay(version, {"rules": {"warm_up": float(version)}}).encode()


def make_follower(target: Target | None = None, revision: int = 1) -> Follower:
    follower = Follower("edge-0", "127.0.0.1:1", NOW)
    if target is not None:
        follower.receive_target(target, revision, NOW)
    return follower


def apply_next(follower: Follower, now: float = NOW) -> None:
    version = follower.next_version()
    assert version is not None
    overlay = follower.decode_overlay(version, overlay_of(version), now)
    assert overlay is not None
    follower.record_applied(overlay.version, now)


def test_a_router_applies_the_version_and_reports_its_health_after_a_settling_time() -> None:
    follower = make_follower(rolling_target(1.0, round=4))
    assert follower.report().round == 0
    apply_next(follower, NOW + 10)
    report = follower.report()
    assert (report.in_force, report.since_ms, report.round, report.settled) == (2, NOW + 10, 4, False)
    assert follower.health_due_ms() == NOW + 10 + SETTLE_MS
    follower.record_health(Health(9, 1, 0))
    assert follower.report().settled and follower.report().health == Health(9, 1, 0)
    assert follower.health_due_ms() is None
    assert follower.next_version() is None


def test_a_router_that_is_not_selected_applies_the_previous_version() -> None:
    follower = make_follower(rolling_target(0.0))
    assert follower.next_version() == 1
    apply_next(follower)
    assert follower.report().in_force == 1 and follower.report().round == 0


def test_an_older_target_is_ignored() -> None:
    follower = make_follower(rolling_target(1.0, version=3), revision=9)
    follower.receive_target(rolling_target(1.0, version=2), 8, NOW)
    assert follower.next_version() == 3
    follower.reset_revision()
    follower.receive_target(rolling_target(1.0, version=2), 8, NOW)
    assert follower.next_version() == 2


def test_superseded_versions_are_skipped() -> None:
    follower = make_follower(rolling_target(1.0, version=2))
    assert follower.next_version() == 2
    follower.receive_target(rolling_target(1.0, version=6, previous=5), 2, NOW)
    assert follower.decode_overlay(2, overlay_of(2), NOW) is None
    assert follower.report().refused is None
    apply_next(follower)
    assert follower.in_force == 6


@pytest.mark.parametrize("data", [None, b"nonsense", overlay_of(3)])
def test_an_unusable_version_is_reported_and_not_retried_in_its_round(data: bytes | None) -> None:
    follower = make_follower(Target(1, 0, 1.0, RolloutState.COMPLETE))
    apply_next(follower)
    follower.receive_target(rolling_target(0.9999999, round=2), 2, NOW)
    assert follower.decode_overlay(2, data, NOW) is None
    report = follower.report()
    assert report.in_force == 1 and report.round == 2
    assert report.refused is not None and report.refused.version == 2 and report.refused.why
    follower.receive_target(rolling_target(1.0, round=2), 3, NOW)
    assert follower.next_version() is None
    follower.receive_target(rolling_target(1.0, round=3), 4, NOW)
    apply_next(follower)
    assert follower.report().refused is None and follower.in_force == 2


def test_version_zero_is_the_routers_own_file_without_an_overlay() -> None:
    follower = make_follower(Target(1, 0, 1.0, RolloutState.COMPLETE))
    apply_next(follower)
    follower.receive_target(Target(2, 0, 0.0, RolloutState.HALTED), 2, NOW)
    assert follower.next_version() == 0
    overlay = follower.decode_overlay(0, None, NOW)
    assert overlay is not None and overlay.merge == {}


def test_a_refused_version_is_retried_after_the_routers_file_has_changed() -> None:
    follower = make_follower(rolling_target(1.0))
    follower.record_refusal(2, "no room", NOW)
    assert follower.next_version() is None
    follower.retry_refused()
    assert follower.next_version() == 2


def test_a_new_round_of_the_version_in_force_is_acknowledged() -> None:
    follower = make_follower(rolling_target(1.0, round=1))
    apply_next(follower)
    follower.record_health(Health())
    follower.receive_target(rolling_target(1.0, round=2), 2, NOW + 50)
    assert follower.report().round == 2 and not follower.report().settled
    assert follower.report().since_ms == NOW


# -- health --


def test_health_counts_since_the_last_sample_and_survives_counter_resets() -> None:
    counts = {"served": 5, "ok": 99}
    window = HealthWindow(counts)
    counts.update(served=8, unchanged=2, refused=1, failed=4)
    assert window.sample() == Health(5, 1, 4)
    assert window.sample() == Health()
    counts.clear()
    counts.update(served=3)
    assert window.sample() == Health(3, 0, 0)


def test_only_a_significant_change_of_health_over_many_requests_is_reported() -> None:
    assert not should_report(Health(100), Health(1000, 5, 0))
    assert not should_report(Health(100), Health(10, 5, 0))
    assert should_report(Health(100), Health(90, 5, 5))


# -- the controller's steps --


def reports_of(target: Target, count: int = 200, **changes: Any) -> dict[str, Report]:
    """Return reports of routers that have all applied their wanted version."""
    return {
        name: replace(
            Report(
                wanted_version(target, name),
                NOW,
                None,
                target.round if is_chosen(target, name) else 0,
                is_chosen(target, name),
                Health(100, 0, 0),
            ),
            **changes,
        )
        for name in NAMES[:count]
    }


def started_target(count: int = 200, **options: Any) -> Target:
    previous = Target(1, 0, 1.0, RolloutState.COMPLETE)
    return begin_rollout(previous, 2, reports_of(previous, count), NOW, WRITER, **options)


def written_target(step: object) -> Target:
    assert isinstance(step, Write)
    return step.target


def test_a_rollout_passes_through_all_waves_and_completes() -> None:
    target = started_target()
    shares: list[float] = []
    reports = reports_of(target, in_force=1, round=1)
    while target.state is RolloutState.ROLLING:
        if target.share not in shares:
            shares.append(target.share)
        assert target.previous == 1 and target.round == 2
        assert target.expected == sum(is_chosen(target, name) for name in NAMES)
        step = next_step(target, reports, NOW, WRITER)
        if reports == reports_of(target):
            target = written_target(step)
        else:
            assert step == Wait(NOW + target.bounds.wave_timeout_ms)
            reports = reports_of(target)
    assert shares == [0.02, 0.2, 1.0]
    assert target.state is RolloutState.COMPLETE
    assert next_step(target, reports, NOW, WRITER) == Finished(RolloutState.COMPLETE)


def chosen_names(target: Target) -> list[str]:
    return [name for name in NAMES if is_chosen(target, name)]


def test_a_rollout_halts_once_refusals_exceed_their_bound() -> None:
    target = started_target(waves=(0.5, 1.0), bounds=Bounds(refused_share=0.05))
    reports, names = reports_of(target), chosen_names(target)
    allowed = int(0.05 * len(names))
    for name in names[:allowed]:
        reports[name] = replace(reports[name], in_force=1, refused=Refusal(2, "no"))
    assert written_target(next_step(target, reports, NOW, WRITER)).state is RolloutState.ROLLING
    reports[names[allowed]] = replace(reports[names[allowed]], in_force=1, refused=Refusal(2, "no"))
    next_target = written_target(next_step(target, reports, NOW, WRITER))
    assert next_target.state is RolloutState.HALTED and next_target.share == 0.0
    assert next_target.why == f"refused by {allowed + 1} of {len(names)}"
    assert all(wanted_version(next_target, name) == 1 for name in NAMES)


def test_a_refusal_of_an_earlier_round_does_not_count() -> None:
    target = started_target(waves=(1.0,))
    reports = reports_of(target, refused=Refusal(2, "no"), round=1, in_force=1)
    assert isinstance(next_step(target, reports, NOW, WRITER), Wait)


def test_routers_that_report_nothing_halt_a_rollout_only_after_the_timeout() -> None:
    target = started_target(waves=(0.5, 1.0), bounds=Bounds(missing_share=0.05, wave_timeout_ms=700.0))
    reports, names = reports_of(target), chosen_names(target)
    allowed = int(0.05 * len(names))
    for name in names[: allowed + 1]:
        reports[name] = replace(reports[name], in_force=1, round=1)
    assert next_step(target, reports, NOW + 699, WRITER) == Wait(NOW + 700)
    next_target = written_target(next_step(target, reports, NOW + 700, WRITER))
    assert next_target.state is RolloutState.HALTED and next_target.why.startswith(
        f"no word from {allowed + 1} of"
    )
    reports[names[0]] = reports_of(target)[names[0]]
    assert written_target(next_step(target, reports, NOW + 700, WRITER)).share == 1.0


def test_routers_that_vanish_in_a_wave_count_as_missing() -> None:
    target = started_target()
    reports = reports_of(target)
    for name in chosen_names(target):
        del reports[name]
    assert isinstance(next_step(target, reports, NOW, WRITER), Wait)
    next_target = written_target(next_step(target, reports, NOW + target.bounds.wave_timeout_ms, WRITER))
    assert next_target.state is RolloutState.HALTED


def test_a_rollout_halts_if_health_is_worse_than_the_baseline() -> None:
    target = started_target(waves=(0.5, 1.0), bounds=Bounds(worse_by=0.05))
    reports = reports_of(target, health=Health(96, 2, 2))
    assert written_target(next_step(target, reports, NOW, WRITER)).state is RolloutState.ROLLING
    reports = reports_of(target, health=Health(94, 3, 3))
    next_target = written_target(next_step(target, reports, NOW, WRITER))
    assert next_target.state is RolloutState.HALTED and "0.060 of requests" in next_target.why
    target_with_poor_baseline = replace(target, baseline=0.02)
    assert (
        written_target(next_step(target_with_poor_baseline, reports, NOW, WRITER)).state
        is RolloutState.ROLLING
    )


def test_health_over_few_requests_does_not_halt_a_rollout() -> None:
    target = started_target(count=2, waves=(1.0,))
    reports = reports_of(target, 2, health=Health(0, 20, 20))
    assert written_target(next_step(target, reports, NOW, WRITER)).state is RolloutState.COMPLETE


def test_commands_are_rejected_in_states_that_do_not_allow_them() -> None:
    target = started_target()
    with pytest.raises(RolloutError, match="being rolled out"):
        begin_rollout(target, 3, {}, NOW, WRITER)
    halted = halt_rollout(target, "by hand", NOW, WRITER)
    with pytest.raises(RolloutError, match="halted"):
        halt_rollout(halted, "again", NOW, WRITER)
    assert base_version(target) == base_version(halted) == 1
    assert begin_rollout(halted, 3, {}, NOW, WRITER).previous == 1
    complete = replace(target, state=RolloutState.COMPLETE)
    assert base_version(complete) == 2 and base_version(None) == 0
    with pytest.raises(RolloutError, match="complete"):
        resume_rollout(complete, {}, NOW, WRITER)
    with pytest.raises(RolloutError, match="not earlier"):
        roll_back_to(complete, 2, {}, NOW, WRITER)


def test_a_resumed_rollout_restarts_at_its_first_wave_in_a_new_round() -> None:
    target = started_target()
    restarted = resume_rollout(
        halt_rollout(target, "by hand", NOW, WRITER), reports_of(target), NOW + 5, "other"
    )
    assert (restarted.state, restarted.round, restarted.share) == (RolloutState.ROLLING, 3, 0.02)
    assert (restarted.writer, restarted.why, restarted.since_ms) == ("other", "", NOW + 5)


def test_a_rollout_that_another_controller_takes_over_continues_at_its_wave() -> None:
    target = replace(started_target(), share=0.2, expected=40)
    taken_over = resume_rollout(target, {}, NOW + 5000, "other")
    assert (taken_over.share, taken_over.round, taken_over.expected) == (0.2, 2, 40)
    assert (taken_over.writer, taken_over.since_ms) == ("other", NOW + 5000)


def test_a_rollback_selects_all_routers_at_once_in_any_state() -> None:
    target = replace(started_target(), version=5, previous=4)
    for before in (
        target,
        halt_rollout(target, "", NOW, WRITER),
        replace(target, state=RolloutState.COMPLETE),
    ):
        rollback = roll_back_to(before, 3, reports_of(before), NOW, WRITER)
        assert rollback.rollback and rollback.share == 1.0 and rollback.version == 3
        assert rollback.round == before.round + 1 and rollback.previous == base_version(before)


# -- progress --


def test_progress_counts_versions_and_names_lagging_and_refusing_routers() -> None:
    target = rolling_target(0.5)
    names = chosen_names(target)
    reports = reports_of(target)
    reports[names[0]] = replace(reports[names[0]], in_force=1)
    reports[names[1]] = replace(reports[names[1]], in_force=1, refused=Refusal(2, "no"))
    progress = progress_of(target, reports)
    assert progress.live == 200 and progress.in_force == 198
    assert progress.by_version == {1: 200 - len(names) + 2, 2: len(names) - 2}
    assert progress.lagging == (names[0],) and progress.refused == (names[1],)
    assert not progress.in_force_everywhere
    complete = Target(2, 1, 1.0, RolloutState.COMPLETE)
    assert progress_of(complete, reports_of(complete)).in_force_everywhere


def test_names_of_version_nodes_sort_as_their_numbers() -> None:
    assert version_path("/c", 12) == "/c/versions/0000000012"

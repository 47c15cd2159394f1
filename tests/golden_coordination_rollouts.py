"""Golden cases of the coordination area: records of roll-outs."""

from __future__ import annotations

import json
from typing import Any

from golden_folder import NOT_JSON_OBJECTS, Format, Meaning, json_with, key_of, reason_without_json_error

from stonecove.rollout.messages import (
    MAX_OVERLAY_BYTES,
    MAX_REPORT_BYTES,
    MAX_TARGET_BYTES,
    Bounds,
    Health,
    MessageError,
    Overlay,
    Refusal,
    Report,
    RolloutState,
    Target,
)

ROLLOUT_STATES = {
    "rolling": RolloutState.ROLLING,
    "halted": RolloutState.HALTED,
    "complete": RolloutState.COMPLETE,
}


def describe_target(target: Target) -> Meaning:
    """Return the meaning of a roll-out's target."""
    return {
        "version": target.version,
        "previous_version": target.previous,
        "fraction": target.share,
        "state": key_of(ROLLOUT_STATES, target.state),
        "attempt": target.round,
        "is_rollback": target.rollback,
        "waves": list(target.waves),
        "most_rejected_fraction": target.bounds.refused_share,
        "most_missing_fraction": target.bounds.missing_share,
        "most_error_increase": target.bounds.worse_by,
        "wave_timeout_ms": target.bounds.wave_timeout_ms,
        "wave_began_ms": target.since_ms,
        "expected_routers": target.expected,
        "error_baseline": target.baseline,
        "controller": target.writer,
        "halt_reason": target.why,
    }


def build_target(meaning: Meaning) -> Target:
    """Build the target that a meaning describes."""
    bounds = Bounds(
        meaning["most_rejected_fraction"],
        meaning["most_missing_fraction"],
        meaning["most_error_increase"],
        meaning["wave_timeout_ms"],
    )
    return Target(
        version=meaning["version"],
        previous=meaning["previous_version"],
        share=meaning["fraction"],
        state=ROLLOUT_STATES[meaning["state"]],
        round=meaning["attempt"],
        rollback=meaning["is_rollback"],
        waves=tuple(meaning["waves"]),
        bounds=bounds,
        since_ms=meaning["wave_began_ms"],
        expected=meaning["expected_routers"],
        baseline=meaning["error_baseline"],
        writer=meaning["controller"],
        why=meaning["halt_reason"],
    )


def _target(**changes: Any) -> Meaning:
    return {
        "version": 12,
        "previous_version": 11,
        "fraction": 0.2,
        "state": "rolling",
        "attempt": 3,
        "is_rollback": False,
        "waves": [0.02, 0.2, 1.0],
        "most_rejected_fraction": 0.01,
        "most_missing_fraction": 0.05,
        "most_error_increase": 0.05,
        "wave_timeout_ms": 2000.0,
        "wave_began_ms": 1_764_576_000_123.0,
        "expected_routers": 146,
        "error_baseline": 0.0125,
        "controller": "host-1-4711-0a1b2c3d",
        "halt_reason": "",
        **changes,
    }


def _broken_targets() -> tuple[tuple[str, bytes], ...]:
    valid = build_target(_target()).encode()
    bounds = json.loads(valid)["bounds"]
    return (
        *NOT_JSON_OBJECTS,
        ("too long", b" " * (MAX_TARGET_BYTES + 1)),
        *((f"without {name}", json_with(valid, **{name: None})) for name in json.loads(valid)),
        *((f"{name} is a list", json_with(valid, **{name: [-1]})) for name in json.loads(valid)),
        ("version below 0", json_with(valid, version=-1)),
        ("version of eleven digits", json_with(valid, version=10_000_000_000)),
        ("version is a fraction", json_with(valid, version=1.5)),
        ("version is true", json_with(valid, version=True)),
        ("state is none", json_with(valid, state="paused")),
        ("share above 1", json_with(valid, share=1.01)),
        ("no wave", json_with(valid, waves=[])),
        ("17 waves", json_with(valid, waves=[(n + 1) / 17 for n in range(17)])),
        ("waves that fall", json_with(valid, waves=[0.5, 0.2, 1])),
        ("waves that end below 1", json_with(valid, waves=[0.5])),
        ("a wave of 0", json_with(valid, waves=[0, 1])),
        ("a wave that is true", json_with(valid, waves=[True])),
        *(
            (f"bound {name} below 0", json_with(valid, bounds={**bounds, name: -0.01}))
            for name in sorted(bounds)
        ),
        ("wave timeout above an hour", json_with(valid, bounds={**bounds, "wave_timeout_ms": 3_600_001})),
    )


TARGETS = Format(
    "rollout-targets",
    lambda meaning: build_target(meaning).encode(),
    lambda data: describe_target(Target.decode(data)),
    samples=(
        ("rolling", _target()),
        ("halted", _target(state="halted", halt_reason='12 of 146 routers refuse it: a/b "c" \u00e9')),
        ("complete", _target(state="complete", fraction=1.0)),
        ("rollback at once", _target(is_rollback=True, waves=[1.0], version=1, attempt=9)),
        (
            "first version, with bounds of 0",
            _target(
                version=1,
                previous_version=0,
                most_rejected_fraction=0.0,
                most_missing_fraction=0.0,
                most_error_increase=0.0,
                error_baseline=0.0,
                wave_timeout_ms=0.5,
                expected_routers=0,
            ),
        ),
        ("greatest version", _target(version=9_999_999_999, previous_version=9_999_999_998)),
    ),  # fmt: skip
    inputs=(
        (
            "whole numbers and unknown fields",
            json_with(
                build_target(_target()).encode(), share=1, waves=[1], baseline=0, since_ms=5, later={"a": 1}
            ),
        ),
        ("a long reason is cut", json_with(build_target(_target()).encode(), why="x" * 300)),
    ),  # fmt: skip
    broken=_broken_targets(),
    error=MessageError,
    reason=reason_without_json_error,
)


def _encode_overlay(meaning: Meaning) -> bytes:
    padding = {"padding": "x" * meaning["padding"]} if "padding" in meaning else {}
    return Overlay(meaning["version"], {**meaning["merge_patch"], **padding}).encode()


def _decode_overlay(data: bytes) -> Meaning:
    overlay = Overlay.decode(12, data)
    return {"version": overlay.version, "merge_patch": dict(overlay.merge)}


OVERLAYS = Format(
    "rollout-overlays",
    _encode_overlay,
    _decode_overlay,
    samples=(
        ("empty", {"version": 12, "merge_patch": {}}),
        (
            "changes, a list and a removal",
            {
                "version": 12,
                "merge_patch": {
                    "limits": {"most_tries": 3, "second_copies": False},
                    "classes": [{"name": "a/b", "deadline": 9000.5}],
                    "rules": None,
                    "text": '\u00e9 "quoted"',
                },
            },
        ),
    ),  # fmt: skip
    inputs=(("unknown fields beside it", b'{"merge": {"a": 1}, "version": 12, "by": "x"}'),),
    broken=(
        *NOT_JSON_OBJECTS,
        ("too long", b" " * (MAX_OVERLAY_BYTES + 1)),
        ("another version", b'{"version": 13, "merge": {}}'),
        ("no version", b'{"merge": {}}'),
        ("no patch", b'{"version": 12}'),
        ("patch is a list", b'{"version": 12, "merge": []}'),
        ("patch sets the zone", b'{"version": 12, "merge": {"zone": 1}}'),
        ("patch removes the fleet size", b'{"version": 12, "merge": {"fleet_size": null}}'),
    ),
    unwritable=(("too long", {"version": 12, "merge_patch": {}, "padding": MAX_OVERLAY_BYTES}),),
    error=MessageError,
    reason=reason_without_json_error,
)


def describe_report(report: Report) -> Meaning:
    """Return the meaning of a router's report."""
    refused = report.refused
    return {
        "version_in_force": report.in_force,
        "in_force_since_ms": report.since_ms,
        "rejected": None if refused is None else {"version": refused.version, "reason": refused.why},
        "attempt": report.round,
        "health_is_settled": report.settled,
        "requests_answered": report.health.answered,
        "requests_rejected": report.health.refused,
        "requests_failed": report.health.failed,
        "listen_address": report.listen,
        "started_ms": report.started,
    }


def build_report(meaning: Meaning) -> Report:
    """Build the report that a meaning describes."""
    rejected = meaning["rejected"]
    return Report(
        in_force=meaning["version_in_force"],
        since_ms=meaning["in_force_since_ms"],
        refused=None if rejected is None else Refusal(rejected["version"], rejected["reason"]),
        round=meaning["attempt"],
        settled=meaning["health_is_settled"],
        health=Health(meaning["requests_answered"], meaning["requests_rejected"], meaning["requests_failed"]),
        listen=meaning["listen_address"],
        started=meaning["started_ms"],
    )


def _report(**changes: Any) -> Meaning:
    return {
        "version_in_force": 12,
        "in_force_since_ms": 1_764_576_000_123.0,
        "rejected": None,
        "attempt": 3,
        "health_is_settled": True,
        "requests_answered": 950,
        "requests_rejected": 40,
        "requests_failed": 10,
        "listen_address": "10.0.0.4:6565",
        "started_ms": 1_764_570_000_000.0,
        **changes,
    }


def _broken_reports() -> tuple[tuple[str, bytes], ...]:
    valid = build_report(_report()).encode()
    health = json.loads(valid)["health"]
    required = [name for name in json.loads(valid) if name not in ("refused", "settled")]
    return (
        *NOT_JSON_OBJECTS,
        ("too long", b" " * (MAX_REPORT_BYTES + 1)),
        *((f"without {name}", json_with(valid, **{name: None})) for name in required),
        *((f"{name} is a list", json_with(valid, **{name: [1]})) for name in [*required, "refused"]),
        *((f"health with {name} below 0", json_with(valid, health={**health, name: -1})) for name in health),
        ("a rejection without a reason", json_with(valid, refused={"version": 1})),
        ("a rejection without a version", json_with(valid, refused={"why": "x"})),
    )


REPORTS = Format(
    "rollout-reports",
    lambda meaning: build_report(meaning).encode(),
    lambda data: describe_report(Report.decode(data)),
    samples=(
        ("in force", _report()),
        (
            "of a new router",
            _report(
                version_in_force=0,
                attempt=0,
                health_is_settled=False,
                requests_answered=0,
                requests_rejected=0,
                requests_failed=0,
            ),
        ),
        ("rejected", _report(rejected={"version": 13, "reason": "classes: a/b does not begin with c"})),
        ("rejected for a long reason", _report(rejected={"version": 13, "reason": "x" * 300})),
    ),  # fmt: skip
    inputs=(
        (
            "settled is no truth value, unknown fields",
            json_with(build_report(_report()).encode(), settled=1, later=[1]),
        ),
        ("without settled", json_with(build_report(_report()).encode(), settled=None)),
    ),  # fmt: skip
    broken=_broken_reports(),
    error=MessageError,
    reason=reason_without_json_error,
)

FORMATS = (TARGETS, OVERLAYS, REPORTS)

"""What a roll-out controller writes next. It does no I/O and has no state: all state is in the target.

Any controller can therefore continue where another stopped. Each writes by compare-and-set, and one whose
write loses stops. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from stonecove.rollout.messages import (
    DEFAULT_WAVES,
    LOCAL_VERSION,
    Bounds,
    Report,
    RolloutState,
    Target,
    validate_waves,
)
from stonecove.rollout.progress import Wave, health_of
from stonecove.rollout.selection import is_chosen, share_for

MIN_JUDGED_REQUESTS = 100  # of a wave; its health is not significant with fewer


class RolloutError(Exception):
    """Raised for a command that the current target does not allow; the text is one line."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The step of a roll-out that has ended."""

    state: RolloutState


@dataclass(frozen=True, slots=True)
class Write:
    """The step that replaces the target by this one."""

    target: Target


@dataclass(frozen=True, slots=True)
class Wait:
    """The step that waits for reports, until `until_ms` at the latest."""

    until_ms: float


Step = Finished | Write | Wait


def next_step(target: Target, reports: Mapping[str, Report], now_ms: float, writer: str) -> Step:
    """Return the next step of a roll-out; `reports` are those of all live routers."""
    if target.state is not RolloutState.ROLLING:
        return Finished(target.state)
    wave = Wave.of(target, reports)
    if why := _halt_reason(target, wave, now_ms):
        return Write(halt_rollout(target, why, now_ms, writer))
    deadline_ms = target.since_ms + target.bounds.wave_timeout_ms
    if _missing_count(target, wave) and now_ms < deadline_ms:
        return Wait(deadline_ms)
    if target.share < 1.0:
        larger = next(share for share in target.waves if share > target.share)
        return Write(_start_wave(target, larger, reports, now_ms, writer))
    return Write(replace(target, state=RolloutState.COMPLETE, since_ms=now_ms, writer=writer))


def base_version(target: Target | None) -> int:
    """Return the version that the fleet has or returns to, from which the next roll-out starts."""
    if target is None:
        return LOCAL_VERSION
    return target.version if target.state is RolloutState.COMPLETE else target.previous


def begin_rollout(
    before: Target | None,
    version: int,
    reports: Mapping[str, Report],
    now_ms: float,
    writer: str,
    waves: tuple[float, ...] = DEFAULT_WAVES,
    bounds: Bounds | None = None,
) -> Target:
    """Return the first target of a new version; raise RolloutError while another one is rolled out."""
    if before is not None and before.state is RolloutState.ROLLING:
        raise RolloutError(f"version {before.version} is being rolled out: halt or resume it first")
    target = Target(
        version=version,
        previous=base_version(before),
        share=0.0,
        state=RolloutState.ROLLING,
        round=1 + (before.round if before is not None else 0),
        waves=validate_waves(waves),
        bounds=bounds or Bounds(),
        baseline=health_of(reports).unsuccessful_share,
    )
    return _start_wave(target, target.waves[0], reports, now_ms, writer)


def halt_rollout(target: Target, why: str, now_ms: float, writer: str) -> Target:
    """Return a target with which all return to the previous version; raise RolloutError if it has ended."""
    if target.state is not RolloutState.ROLLING:
        raise RolloutError(f"version {target.version} is {target.state.value}: nothing is rolled out")
    return replace(
        target, share=0.0, state=RolloutState.HALTED, since_ms=now_ms, expected=0, writer=writer, why=why
    )


def resume_rollout(target: Target, reports: Mapping[str, Report], now_ms: float, writer: str) -> Target:
    """Return a target that restarts a halted roll-out, or takes over one that is rolling.

    Raises RolloutError if the roll-out is complete.
    """
    if target.state is RolloutState.COMPLETE:
        raise RolloutError(f"version {target.version} is complete: there is nothing to resume")
    if target.state is RolloutState.ROLLING:
        expected = _chosen_count(target, reports)
        return replace(target, since_ms=now_ms, writer=writer, expected=max(expected, target.expected))
    restarted = replace(
        target,
        state=RolloutState.ROLLING,
        share=0.0,
        round=target.round + 1,
        why="",
        baseline=health_of(reports).unsuccessful_share,
    )
    return _start_wave(restarted, restarted.waves[0], reports, now_ms, writer)


def roll_back_to(
    target: Target,
    version: int,
    reports: Mapping[str, Report],
    now_ms: float,
    writer: str,
    waves: tuple[float, ...] = (1.0,),
) -> Target:
    """Return a target with an earlier version, in any state; by default for all routers at once.

    Raises RolloutError if the version is not earlier.
    """
    if version >= target.version:
        raise RolloutError(f"version {version} is not earlier than {target.version}")
    rollback = Target(
        version=version,
        previous=base_version(target),
        share=0.0,
        state=RolloutState.ROLLING,
        round=target.round + 1,
        rollback=True,
        waves=validate_waves(waves),
        bounds=replace(target.bounds, worse_by=1.0),  # poor health may be the reason for the rollback
        baseline=health_of(reports).unsuccessful_share,
    )
    return _start_wave(rollback, rollback.waves[0], reports, now_ms, writer)


def _start_wave(target: Target, wave: float, reports: Iterable[str], now_ms: float, writer: str) -> Target:
    """Return the target of the next wave, which expects the routers that are live now."""
    names = tuple(reports)
    share = share_for(wave, target.version, names)
    started = replace(target, share=share, since_ms=now_ms, writer=writer)
    return replace(started, expected=_chosen_count(started, names))


def _chosen_count(target: Target, names: Iterable[str]) -> int:
    return sum(is_chosen(target, name) for name in names)


def _missing_count(target: Target, wave: Wave) -> int:
    """Return how many selected routers have not reported, with those that departed during the wave."""
    return max(0, max(wave.chosen, target.expected) - wave.settled - wave.refused)


def _halt_reason(target: Target, wave: Wave, now_ms: float) -> str:
    """Return why the roll-out has to halt; empty if it need not."""
    bounds, chosen = target.bounds, max(wave.chosen, target.expected)
    if wave.refused > bounds.refused_share * chosen:
        return f"refused by {wave.refused} of {chosen}"
    if (
        wave.health.total >= MIN_JUDGED_REQUESTS
        and wave.health.unsuccessful_share > target.baseline + bounds.worse_by
    ):
        return (
            f"{wave.health.unsuccessful_share:.3f} of requests refused or failed, "
            f"{target.baseline:.3f} before"
        )
    missing = _missing_count(target, wave)
    is_late = now_ms >= target.since_ms + bounds.wave_timeout_ms
    if is_late and missing > bounds.missing_share * chosen:
        return f"no word from {missing} of {chosen} in {bounds.wave_timeout_ms:.0f} ms"
    return ""

"""What a controller writes next. Knows no I/O, and keeps no state: all of it is in the target.

So any controller can go on where another stopped. Each writes by compare-and-set; who loses stops.
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
    checked_waves,
)
from stonecove.rollout.progress import Wave, health_of
from stonecove.rollout.selection import is_chosen, share_for

LEAST_JUDGED = 100  # requests of a wave, below which its health says nothing


class RolloutError(Exception):
    """A command that the present target does not allow; the text is one line."""


@dataclass(frozen=True, slots=True)
class Finished:
    """Nothing is left to be done."""

    state: RolloutState


@dataclass(frozen=True, slots=True)
class Write:
    """The target is to be replaced by this one."""

    target: Target


@dataclass(frozen=True, slots=True)
class Wait:
    """For reports, but no longer than until that moment, in Unix ms."""

    until_ms: float


Step = Finished | Write | Wait


def next_step(target: Target, reports: Mapping[str, Report], now: float, writer: str) -> Step:
    """The next step of a roll-out; `reports` are those of all live routers."""
    if target.state is not RolloutState.ROLLING:
        return Finished(target.state)
    wave = Wave.of(target, reports)
    if why := _halting(target, wave, now):
        return Write(halted(target, why, now, writer))
    deadline = target.since_ms + target.bounds.wave_timeout_ms
    if _missing(target, wave) and now < deadline:
        return Wait(deadline)
    if target.share < 1.0:
        larger = next(share for share in target.waves if share > target.share)
        return Write(_wave(target, larger, reports, now, writer))
    return Write(replace(target, state=RolloutState.COMPLETE, since_ms=now, writer=writer))


def base_version(target: Target | None) -> int:
    """The version that the fleet has, or goes back to: what the next roll-out starts from."""
    if target is None:
        return LOCAL_VERSION
    return target.version if target.state is RolloutState.COMPLETE else target.previous


def begun(
    before: Target | None,
    version: int,
    reports: Mapping[str, Report],
    now: float,
    writer: str,
    waves: tuple[float, ...] = DEFAULT_WAVES,
    bounds: Bounds | None = None,
) -> Target:
    """The first target of a new version; raises RolloutError while another one is rolled out."""
    if before is not None and before.state is RolloutState.ROLLING:
        raise RolloutError(f"version {before.version} is being rolled out: halt or resume it first")
    target = Target(
        version=version,
        previous=base_version(before),
        share=0.0,
        state=RolloutState.ROLLING,
        round=1 + (before.round if before is not None else 0),
        waves=checked_waves(waves),
        bounds=bounds or Bounds(),
        baseline=health_of(reports).bad_share,
    )
    return _wave(target, target.waves[0], reports, now, writer)


def halted(target: Target, why: str, now: float, writer: str) -> Target:
    """All go back to the previous version; raises RolloutError if the roll-out is over already."""
    if target.state is not RolloutState.ROLLING:
        raise RolloutError(f"version {target.version} is {target.state.value}: nothing is rolled out")
    return replace(
        target, share=0.0, state=RolloutState.HALTED, since_ms=now, expected=0, writer=writer, why=why
    )


def resumed(target: Target, reports: Mapping[str, Report], now: float, writer: str) -> Target:
    """A halted roll-out begins again; one that is rolling is taken over from the controller that had it."""
    if target.state is RolloutState.COMPLETE:
        raise RolloutError(f"version {target.version} is complete: there is nothing to resume")
    if target.state is RolloutState.ROLLING:
        expected = _chosen(target, reports)
        return replace(target, since_ms=now, writer=writer, expected=max(expected, target.expected))
    begins = replace(
        target,
        state=RolloutState.ROLLING,
        share=0.0,
        round=target.round + 1,
        why="",
        baseline=health_of(reports).bad_share,
    )
    return _wave(begins, begins.waves[0], reports, now, writer)


def rolled_back(
    target: Target,
    version: int,
    reports: Mapping[str, Report],
    now: float,
    writer: str,
    waves: tuple[float, ...] = (1.0,),
) -> Target:
    """To an earlier version, in any state; by default all routers at once."""
    if version >= target.version:
        raise RolloutError(f"version {version} is not earlier than {target.version}")
    back = Target(
        version=version,
        previous=base_version(target),
        share=0.0,
        state=RolloutState.ROLLING,
        round=target.round + 1,
        rollback=True,
        waves=checked_waves(waves),
        bounds=replace(target.bounds, worse_by=1.0),  # the fleet may be in a bad state: that is why
        baseline=health_of(reports).bad_share,
    )
    return _wave(back, back.waves[0], reports, now, writer)


def _wave(target: Target, wave: float, reports: Iterable[str], now: float, writer: str) -> Target:
    """The target's next wave, by the routers that are there."""
    names = tuple(reports)
    share = share_for(wave, target.version, names)
    begins = replace(target, share=share, since_ms=now, writer=writer)
    return replace(begins, expected=_chosen(begins, names))


def _chosen(target: Target, names: Iterable[str]) -> int:
    return sum(is_chosen(target, name) for name in names)


def _missing(target: Target, wave: Wave) -> int:
    """Chosen routers that have not told yet, with those that were there when the wave began and are gone."""
    return max(0, max(wave.chosen, target.expected) - wave.settled - wave.refused)


def _halting(target: Target, wave: Wave, now: float) -> str:
    """Why the roll-out has to halt; empty if it need not."""
    bounds, chosen = target.bounds, max(wave.chosen, target.expected)
    if wave.refused > bounds.refused_share * chosen:
        return f"refused by {wave.refused} of {chosen}"
    if wave.health.total >= LEAST_JUDGED and wave.health.bad_share > target.baseline + bounds.worse_by:
        return f"{wave.health.bad_share:.3f} of requests refused or failed, {target.baseline:.3f} before"
    missing = _missing(target, wave)
    late = now >= target.since_ms + bounds.wave_timeout_ms
    if late and missing > bounds.missing_share * chosen:
        return f"no word from {missing} of {chosen} in {bounds.wave_timeout_ms:.0f} ms"
    return ""

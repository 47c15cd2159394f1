"""Tests of roll-outs in seeded random orders of events.

The events include losses, reordered notifications, restarts and competing controllers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from stonecove.rollout.controller import (
    Finished,
    RolloutError,
    Write,
    begin_rollout,
    halt_rollout,
    next_step,
    resume_rollout,
    roll_back_to,
)
from stonecove.rollout.follower import Follower
from stonecove.rollout.merge import merge_patch
from stonecove.rollout.messages import Bounds, Health, Overlay, Report, RolloutState, Target
from stonecove.rollout.selection import rollout_position, wanted_version

SEEDS = range(150)
STEPS = 400
BASE_SETTINGS = {"own": "kept", "a": 0, "b": {"c": 0}}
BOUNDS = Bounds(refused_share=0.1, missing_share=0.2, worse_by=0.5, wave_timeout_ms=40.0)


def changes_of(version: int) -> dict[str, Any]:
    """Return a change of several fields, so that a mix of two versions differs from both."""
    return {"a": version, "b": {"c": version}, f"only-{version}": True}


@dataclass
class Router:
    """A router with its pending input: an overlay being fetched, and the revisions that it has read."""

    name: str
    follower: Follower
    settings: dict[str, Any] = field(default_factory=lambda: dict(BASE_SETTINGS))
    fetching: int | None = None
    disconnected: bool = False
    last_read: int = -1  # the newest revision read
    last_checked: int = -1  # the newest revision when its version was last checked


class Simulation:
    """The coordination service's history, the routers and the controllers of one simulation."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.history: list[Target] = []  # the index is the revision
        self.versions: dict[int, bytes] = {}
        self.unusable: set[tuple[str, int]] = set()
        self.reports: dict[str, Report] = {}
        self.started = 0
        self.controllers: list[str] = []  # running, the newest last
        self.routers = [self.start_router(f"r{number}") for number in range(self.random.randint(3, 14))]
        self.halts = self.completions = self.takeovers = self.rollbacks = self.downgrades = 0

    def start_router(self, name: str) -> Router:
        follower = Follower(name, name, self.now)
        self.reports[name] = follower.report()
        return Router(name, follower)

    # -- the coordination service --

    def target(self) -> Target | None:
        return self.history[-1] if self.history else None

    def write(self, target: Target, revision: int) -> bool:
        """Write the target by compare-and-set; return whether it was written."""
        if revision != len(self.history) - 1:
            return False
        self.history.append(target)
        return True

    # -- routers --

    def read_target(self, router: Router, revision: int) -> None:
        """Read a target, which may be of an older revision than the last."""
        router.follower.receive_target(self.history[revision], revision, self.now)
        router.last_read = max(router.last_read, revision)
        self.advance(router)

    def advance(self, router: Router) -> None:
        version = router.follower.next_version()
        if version == 0:
            self.apply(router, router.follower.decode_overlay(0, None, self.now))
        elif version is not None and router.fetching is None:
            router.fetching = version
        self.report(router)

    def receive_overlay(self, router: Router) -> None:
        version, router.fetching = router.fetching, None
        assert version is not None
        self.apply(router, router.follower.decode_overlay(version, self.versions.get(version), self.now))
        self.advance(router)

    def apply(self, router: Router, overlay: Overlay | None) -> None:
        if overlay is None:
            return
        if (router.name, overlay.version) in self.unusable:
            router.follower.record_refusal(overlay.version, "unusable", self.now)
            return
        before, after = router.follower.in_force, overlay.version
        router.settings = merge_patch(BASE_SETTINGS, overlay.merge)
        router.follower.record_applied(after, self.now)
        self.check_selection(router, after)
        if after < before:
            self.downgrades += 1
            targets = self.history[max(0, router.last_checked) : router.last_read + 1]
            assert any(target.state is RolloutState.HALTED or target.rollback for target in targets), (
                before,
                after,
            )
        router.last_checked = router.last_read

    def report(self, router: Router) -> None:
        if not router.disconnected:
            self.reports[router.name] = router.follower.report()

    def check_selection(self, router: Router, version: int) -> None:
        """Check that the version is the one that the newest target read so far gives this router."""
        target = self.history[router.last_read]
        selected = rollout_position(router.name, target.version) < target.share
        chosen = target.state is RolloutState.COMPLETE or (target.state is RolloutState.ROLLING and selected)
        assert version == (target.version if chosen else target.previous)

    def check_not_mixed(self) -> None:
        for router in self.routers:
            version = router.follower.in_force
            expected = merge_patch(BASE_SETTINGS, changes_of(version)) if version else BASE_SETTINGS
            assert router.settings == expected, f"{router.name} mixes the settings of several versions"

    # -- controllers --

    def publish(self) -> None:
        """Let up to two operators publish at the same moment; only one succeeds."""
        before, revision = self.target(), len(self.history) - 1
        published = 0
        for number in range(self.random.choice((1, 1, 2))):
            version = max(self.versions, default=0) + 1
            self.versions[version] = Overlay(version, changes_of(version)).encode()
            if self.random.random() < 0.35:
                refusing = self.random.sample(self.routers, self.random.randint(1, len(self.routers)))
                self.unusable |= {(router.name, version) for router in refusing}
            writer = f"publish-{len(self.history)}-{number}"
            try:
                target = begin_rollout(before, version, self.reports, self.now, writer, bounds=BOUNDS)
            except RolloutError:
                return
            if self.write(target, revision):
                published += 1
                self.controllers.append(writer)
        assert published == 1

    def run_command(self, change_target: Callable[[Target], Target]) -> None:
        """Run a command by its own controller; the earlier one finds itself superseded at its next step."""
        target, revision = self.target(), len(self.history) - 1
        if target is None:
            return
        try:
            changed = change_target(target)
        except RolloutError:
            return
        assert self.write(changed, revision)
        if changed.state is RolloutState.ROLLING:
            self.controllers.append(changed.writer)

    def take_over(self) -> None:
        writer = f"resume-{len(self.history)}"
        self.takeovers += 1
        self.run_command(lambda target: resume_rollout(target, self.reports, self.now, writer))

    def roll_back(self) -> None:
        version = self.random.choice([0, *self.versions])
        writer = f"rollback-{len(self.history)}"
        self.rollbacks += 1
        self.run_command(lambda target: roll_back_to(target, version, self.reports, self.now, writer))

    def halt(self) -> None:
        self.run_command(lambda target: halt_rollout(target, "by hand", self.now, "operator"))

    def control(self, writer: str) -> None:
        """Run one step of a controller as its loop does: read, decide, and write if still allowed."""
        target, revision = self.target(), len(self.history) - 1
        assert target is not None
        if target.writer != writer:
            self.controllers.remove(writer)
            return
        step = next_step(target, dict(self.reports), self.now, writer)
        if isinstance(step, Finished):
            self.controllers.remove(writer)
        elif isinstance(step, Write):
            if self.random.random() < 0.1:  # another controller writes first
                self.halt()
            if self.write(step.target, revision):
                self.halts += step.target.state is RolloutState.HALTED
                self.completions += step.target.state is RolloutState.COMPLETE
            else:
                self.controllers.remove(writer)

    # -- one step of the run --

    def step(self) -> None:
        self.now += self.random.expovariate(1 / 3.0)
        router = self.random.choice(self.routers)
        draw = self.random.random()
        if draw < 0.45:
            if not router.disconnected and self.history:
                last = len(self.history) - 1
                self.read_target(router, last if self.random.random() < 0.7 else self.random.randint(0, last))
        elif draw < 0.65:
            if router.fetching is not None and not router.disconnected:
                if self.random.random() < 0.15:
                    router.fetching = None  # lost with its connection
                else:
                    self.receive_overlay(router)
        elif draw < 0.80:
            if router.follower.health_due_ms() is not None:
                unhealthy = self.random.random() < 0.05
                router.follower.record_health(Health(20, 80, 0) if unhealthy else Health(100, 0, 0))
                self.report(router)
        elif draw < 0.92:
            if self.controllers:
                self.control(self.random.choice(self.controllers))
        else:
            self.inject_fault(router)

    def inject_fault(self, router: Router) -> None:
        match self.random.randrange(9):
            case 0:
                self.publish()
            case 1:
                if self.controllers:
                    self.controllers.pop()  # it ends, between waves or within one
            case 2:
                self.take_over()
            case 3:
                self.halt()
            case 4:
                self.roll_back()
            case 5:
                self.routers[self.routers.index(router)] = self.start_router(router.name)
            case 6:
                router.disconnected = True
                self.reports.pop(router.name, None)  # its session has expired
            case _:
                router.disconnected = False
                self.report(router)

    def settle(self) -> None:
        """Reconnect all routers, deliver all targets, and let a controller finish the roll-out."""
        for router in self.routers:
            router.disconnected = False
            router.fetching = None
            self.report(router)
        if self.target() is None:
            return
        self.controllers.clear()
        if self.history[-1].state is RolloutState.ROLLING or self.random.random() < 0.5:
            self.take_over()
        for _ in range(40):
            self.now += 20.0
            for router in self.routers:
                self.read_target(router, len(self.history) - 1)
                while router.fetching is not None:
                    self.receive_overlay(router)
                if router.follower.health_due_ms() is not None:
                    router.follower.record_health(Health(100, 0, 0))
                    self.report(router)
            for writer in list(self.controllers):
                self.control(writer)
            self.check_not_mixed()


def check_settled(simulation: Simulation) -> None:
    """Check that each router has applied or refused its version, which is the previous one after a halt."""
    target = simulation.target()
    if target is None:
        assert all(router.follower.in_force == 0 for router in simulation.routers)
        return
    assert target.state is not RolloutState.ROLLING and not simulation.controllers
    for router in simulation.routers:
        report, wanted = simulation.reports[router.name], wanted_version(target, router.name)
        assert report == router.follower.report()
        refuses = report.refused is not None and report.refused.version == wanted
        assert report.in_force == wanted or (refuses and (router.name, wanted) in simulation.unusable)
        if target.state is RolloutState.HALTED and not refuses:
            assert report.in_force == target.previous


def run_simulation(seed: int) -> Simulation:
    simulation = Simulation(seed)
    for _ in range(STEPS):
        simulation.step()
        simulation.check_not_mixed()
    simulation.settle()
    check_settled(simulation)
    return simulation


@pytest.mark.parametrize("first_seed", range(0, len(SEEDS), 30))
def test_properties_hold_in_random_orders_of_events(first_seed: int) -> None:
    simulations = [run_simulation(seed) for seed in SEEDS[first_seed : first_seed + 30]]
    # Without the events that they constrain, the properties would hold vacuously.
    assert sum(simulation.halts for simulation in simulations) > 5
    assert sum(simulation.completions for simulation in simulations) > 5
    assert sum(simulation.takeovers for simulation in simulations) > 30
    assert sum(simulation.rollbacks for simulation in simulations) > 30
    assert sum(simulation.downgrades for simulation in simulations) > 30


def test_the_properties_detect_a_router_that_follows_old_targets(monkeypatch: pytest.MonkeyPatch) -> None:
    def follow_any_revision(self: Follower, target: Target, revision: int, now: float) -> None:
        self._revision = -1
        receive_target(self, target, revision, now)

    receive_target = Follower.receive_target
    monkeypatch.setattr(Follower, "receive_target", follow_any_revision)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            run_simulation(seed)


def test_the_properties_detect_a_router_that_applies_a_version_it_was_not_selected_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("stonecove.rollout.follower.wanted_version", lambda target, name: target.version)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            run_simulation(seed)

"""Roll-outs in seeded random orders: losses, reordered notices, restarts, controllers that die or compete."""

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
    begun,
    halted,
    next_step,
    resumed,
    rolled_back,
)
from stonecove.rollout.follower import Follower
from stonecove.rollout.merge import merge_patch
from stonecove.rollout.messages import Bounds, Health, Overlay, Report, RolloutState, Target
from stonecove.rollout.selection import place, wanted_version

SEEDS = range(150)
STEPS = 400
BASE = {"own": "kept", "a": 0, "b": {"c": 0}}
BOUNDS = Bounds(refused_share=0.1, missing_share=0.2, worse_by=0.5, wave_timeout_ms=40.0)


def merge_of(version: int) -> dict[str, Any]:
    """A change in several places: a mix of two versions would differ from each."""
    return {"a": version, "b": {"c": version}, f"only-{version}": True}


@dataclass
class Router:
    """A router with what reaches it: revisions that it has yet to read, and an overlay on its way."""

    name: str
    follower: Follower
    settings: dict[str, Any] = field(default_factory=lambda: dict(BASE))
    fetching: int | None = None
    cut_off: bool = False
    followed: int = -1  # the newest revision that it has read
    checked: int = -1  # the revision that was the newest when its version was checked last


class World:
    """The service's history, the routers and the controllers of one run."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.history: list[Target] = []  # the revision is the place
        self.versions: dict[int, bytes] = {}
        self.unusable: set[tuple[str, int]] = set()
        self.reports: dict[str, Report] = {}
        self.started = 0
        self.controllers: list[str] = []  # that are alive, the newest last
        self.routers = [self.start(f"r{number}") for number in range(self.random.randint(3, 14))]
        self.halts = self.completions = self.takeovers = self.rollbacks = self.backwards = 0

    def start(self, name: str) -> Router:
        follower = Follower(name, name, self.now)
        self.reports[name] = follower.report()
        return Router(name, follower)

    # -- the service --

    def target(self) -> Target | None:
        return self.history[-1] if self.history else None

    def write(self, target: Target, revision: int) -> bool:
        """Compare-and-set."""
        if revision != len(self.history) - 1:
            return False
        self.history.append(target)
        return True

    # -- routers --

    def read(self, router: Router, revision: int) -> None:
        """A notice, which may be of an older revision than the last."""
        router.follower.follow(self.history[revision], revision, self.now)
        router.followed = max(router.followed, revision)
        self.go_on(router)

    def go_on(self, router: Router) -> None:
        version = router.follower.next_version()
        if version == 0:
            self.take(router, router.follower.overlay(0, None, self.now))
        elif version is not None and router.fetching is None:
            router.fetching = version
        self.tell(router)

    def fetched(self, router: Router) -> None:
        version, router.fetching = router.fetching, None
        assert version is not None
        self.take(router, router.follower.overlay(version, self.versions.get(version), self.now))
        self.go_on(router)

    def take(self, router: Router, overlay: Overlay | None) -> None:
        if overlay is None:
            return
        if (router.name, overlay.version) in self.unusable:
            router.follower.refuse(overlay.version, "unusable", self.now)
            return
        before, after = router.follower.in_force, overlay.version
        router.settings = merge_patch(BASE, overlay.merge)
        router.follower.took(after, self.now)
        self.check_chosen(router, after)
        if after < before:
            self.backwards += 1
            since = self.history[max(0, router.checked) : router.followed + 1]
            assert any(one.state is RolloutState.HALTED or one.rollback for one in since), (before, after)
        router.checked = router.followed

    def tell(self, router: Router) -> None:
        if not router.cut_off:
            self.reports[router.name] = router.follower.report()

    def check_chosen(self, router: Router, version: int) -> None:
        """The version is the one that the newest target that was read has for this router."""
        target = self.history[router.followed]
        mine = place(router.name, target.version) < target.share
        chosen = target.state is RolloutState.COMPLETE or (target.state is RolloutState.ROLLING and mine)
        assert version == (target.version if chosen else target.previous)

    def check_whole(self) -> None:
        for router in self.routers:
            version = router.follower.in_force
            wanted = merge_patch(BASE, merge_of(version)) if version else BASE
            assert router.settings == wanted, "a mix of two versions"

    # -- controllers --

    def publish(self) -> None:
        """Up to two operators publish in the same moment: one of them loses."""
        before, revision = self.target(), len(self.history) - 1
        won = 0
        for number in range(self.random.choice((1, 1, 2))):
            version = max(self.versions, default=0) + 1
            self.versions[version] = Overlay(version, merge_of(version)).encode()
            if self.random.random() < 0.35:
                bad = self.random.sample(self.routers, self.random.randint(1, len(self.routers)))
                self.unusable |= {(router.name, version) for router in bad}
            writer = f"publish-{len(self.history)}-{number}"
            try:
                target = begun(before, version, self.reports, self.now, writer, bounds=BOUNDS)
            except RolloutError:
                return
            if self.write(target, revision):
                won += 1
                self.controllers.append(writer)
        assert won == 1

    def command(self, make: Callable[[Target], Target]) -> None:
        """A command by its own controller; the one before sees at its next step that it has lost."""
        target, revision = self.target(), len(self.history) - 1
        if target is None:
            return
        try:
            told = make(target)
        except RolloutError:
            return
        assert self.write(told, revision)
        if told.state is RolloutState.ROLLING:
            self.controllers.append(told.writer)

    def take_over(self) -> None:
        writer = f"resume-{len(self.history)}"
        self.takeovers += 1
        self.command(lambda target: resumed(target, self.reports, self.now, writer))

    def roll_back(self) -> None:
        version = self.random.choice([0, *self.versions])
        writer = f"rollback-{len(self.history)}"
        self.rollbacks += 1
        self.command(lambda target: rolled_back(target, version, self.reports, self.now, writer))

    def halt(self) -> None:
        self.command(lambda target: halted(target, "by hand", self.now, "operator"))

    def control(self, writer: str) -> None:
        """One step of one controller, as its loop does: it looks, decides, and writes if it still may."""
        target, revision = self.target(), len(self.history) - 1
        assert target is not None
        if target.writer != writer:
            self.controllers.remove(writer)
            return
        step = next_step(target, dict(self.reports), self.now, writer)
        if isinstance(step, Finished):
            self.controllers.remove(writer)
        elif isinstance(step, Write):
            if self.random.random() < 0.1:  # somebody else is faster
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
        dice = self.random.random()
        if dice < 0.45:
            if not router.cut_off and self.history:
                last = len(self.history) - 1
                self.read(router, last if self.random.random() < 0.7 else self.random.randint(0, last))
        elif dice < 0.65:
            if router.fetching is not None and not router.cut_off:
                if self.random.random() < 0.15:
                    router.fetching = None  # lost with its connection
                else:
                    self.fetched(router)
        elif dice < 0.80:
            if router.follower.settle_due() is not None:
                bad = self.random.random() < 0.05
                router.follower.settle(Health(20, 80, 0) if bad else Health(100, 0, 0))
                self.tell(router)
        elif dice < 0.92:
            if self.controllers:
                self.control(self.random.choice(self.controllers))
        else:
            self.trouble(router)

    def trouble(self, router: Router) -> None:
        match self.random.randrange(9):
            case 0:
                self.publish()
            case 1:
                if self.controllers:
                    self.controllers.pop()  # it dies, between waves or within one
            case 2:
                self.take_over()
            case 3:
                self.halt()
            case 4:
                self.roll_back()
            case 5:
                self.routers[self.routers.index(router)] = self.start(router.name)
            case 6:
                router.cut_off = True
                self.reports.pop(router.name, None)  # its session has expired
            case _:
                router.cut_off = False
                self.tell(router)

    def calm(self) -> None:
        """All come back, notices arrive, and somebody finishes the roll-out."""
        for router in self.routers:
            router.cut_off = False
            router.fetching = None
            self.tell(router)
        if self.target() is None:
            return
        self.controllers.clear()
        if self.history[-1].state is RolloutState.ROLLING or self.random.random() < 0.5:
            self.take_over()
        for _ in range(40):
            self.now += 20.0
            for router in self.routers:
                self.read(router, len(self.history) - 1)
                while router.fetching is not None:
                    self.fetched(router)
                if router.follower.settle_due() is not None:
                    router.follower.settle(Health(100, 0, 0))
                    self.tell(router)
            for writer in list(self.controllers):
                self.control(writer)
            self.check_whole()


def check_calm(world: World) -> None:
    """Each has the target's version or tells that it refuses it; after a halt all have the previous one."""
    target = world.target()
    if target is None:
        assert all(router.follower.in_force == 0 for router in world.routers)
        return
    assert target.state is not RolloutState.ROLLING and not world.controllers
    for router in world.routers:
        report, wanted = world.reports[router.name], wanted_version(target, router.name)
        assert report == router.follower.report()
        refuses = report.refused is not None and report.refused.version == wanted
        assert report.in_force == wanted or (refuses and (router.name, wanted) in world.unusable)
        if target.state is RolloutState.HALTED and not refuses:
            assert report.in_force == target.previous


def play(seed: int) -> World:
    world = World(seed)
    for _ in range(STEPS):
        world.step()
        world.check_whole()
    world.calm()
    check_calm(world)
    return world


@pytest.mark.parametrize("first", range(0, len(SEEDS), 30))
def test_properties_hold_in_any_order(first: int) -> None:
    worlds = [play(seed) for seed in SEEDS[first : first + 30]]
    # What the properties speak of has to occur, or they say nothing.
    assert sum(world.halts for world in worlds) > 5
    assert sum(world.completions for world in worlds) > 5
    assert sum(world.takeovers for world in worlds) > 30
    assert sum(world.rollbacks for world in worlds) > 30
    assert sum(world.backwards for world in worlds) > 30


def test_the_properties_notice_a_router_that_heeds_old_notices(monkeypatch: pytest.MonkeyPatch) -> None:
    def heedless(self: Follower, target: Target, revision: int, now: float) -> None:
        self._revision = -1
        follow(self, target, revision, now)

    follow = Follower.follow
    monkeypatch.setattr(Follower, "follow", heedless)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            play(seed)


def test_the_properties_notice_a_router_that_takes_what_it_was_not_chosen_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("stonecove.rollout.follower.wanted_version", lambda target, name: target.version)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            play(seed)

"""Seeded runs of roll-outs: routers that follow and controllers that write one target.

Targets and reports are recorded as they are stored; the functions named `describe_...` know the other types.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from typing import Any

from stonecove.rollout import controller
from stonecove.rollout.follower import Follower
from stonecove.rollout.messages import Bounds, Health, MessageError, Overlay, Report, Target
from stonecove.rollout.progress import Progress, progress_of

EPOCH_MS = 1_700_000_000_000.0
# What may be wrong with a version.
FAULTS = ("", "", "unusable", "unusable", "harmful", "harmful", "unreadable", "missing", "other-version")
ROUTERS = [f"edge-{number}" for number in range(24)]


def describe_step(step: controller.Step) -> list[Any]:
    """Return what a controller does next."""
    match step:
        case controller.Write():
            return ["write", step.target.encode().decode()]
        case controller.Wait():
            return ["wait", step.until_ms]
        case controller.Finished():
            return ["finished", step.state.value]


def describe_progress(progress: Progress) -> list[Any]:
    """Return how far a fleet is."""
    return [
        progress.live,
        [[version, count] for version, count in progress.by_version.items()],
        progress.in_force,
        list(progress.lagging),
        list(progress.refused),
        progress.in_force_everywhere,
    ]


class RolloutFleet:
    """Routers that follow, and controllers that write, one target in a simulated coordination service."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._now = EPOCH_MS
        self._target: bytes | None = None
        self._revision = 0
        self._versions: dict[int, bytes] = {}
        self._bad: dict[int, str] = {}  # what is wrong with a version
        self._reports: dict[str, bytes] = {}
        self._followers: dict[str, Follower] = {}
        self._line: list[Any] = []
        self.seen: Counter[str] = Counter()

    def run(self, steps: int) -> list[list[Any]]:
        """Return for each step what was written, reported and refused."""
        lines = []
        for name in ROUTERS:
            self._join(name)
        for _ in range(steps):
            self._line = []
            self._now += self._random.choice((20.0, 60.0, 120.0, 300.0))
            self._churn()
            for follower in list(self._followers.values()):
                if self._random.random() < 0.7:
                    self._follow(follower)
            self._operate()
            self._control()
            lines.append([self._now, *self._line])
            self.seen.update(entry[0] for entry in self._line)
        return lines

    def _note(self, kind: str, *values: Any) -> None:
        self._line.append([kind, *values])

    # -- routers --

    def _join(self, name: str) -> None:
        follower = Follower(name, f"10.1.0.{ROUTERS.index(name)}:80", self._now)
        self._followers[name] = follower
        self._report(follower)

    def _report(self, follower: Follower) -> None:
        data = follower.report().encode()
        if self._reports.get(follower.name) != data:
            self._reports[follower.name] = data
            self._note("report", follower.name, data.decode())

    def _churn(self) -> None:
        chooser = self._random
        name = chooser.choice(ROUTERS)
        roll = chooser.random()
        if roll < 0.05 and name in self._followers:
            del self._followers[name], self._reports[name]
        elif roll < 0.15 and name not in self._followers:
            self._join(name)
        elif roll < 0.35:
            refused = [one for one, data in self._reports.items() if json.loads(data)["refused"]]
            for one in refused:
                self._followers[one].try_again()
        elif roll < 0.37 and name in self._followers:
            self._followers[name].forget_revision()

    def _follow(self, follower: Follower) -> None:
        chooser = self._random
        if self._target is not None:
            follower.follow(Target.decode(self._target), self._revision, self._now)
        version = follower.next_version()
        if version is not None and chooser.random() < 0.8:
            self._take(follower, version)
        due = follower.settle_due()
        if due is not None and self._now >= due:
            follower.settle(self._health(follower.in_force))
        self._report(follower)

    def _take(self, follower: Follower, version: int) -> None:
        asked = version if self._random.random() < 0.95 else version + 1  # overtaken while it was fetched
        overlay = follower.overlay(asked, self._versions.get(asked), self._now)
        if overlay is None:
            self._note("not-taken", follower.name, asked)
            return
        self._note("fetched", follower.name, overlay.version, json.dumps(dict(overlay.merge)))
        if self._bad.get(version) == "unusable" and self._random.random() < 0.15:
            follower.refuse(version, "classes: there are none" * 20, self._now)
        elif self._random.random() < 0.998:
            follower.took(version, self._now)
        else:
            follower.refuse(version, "limits.most_tries: none", self._now)

    def _health(self, version: int) -> Health:
        chooser = self._random
        answered, share = chooser.randrange(5, 90), 0.3 if self._bad.get(version) == "harmful" else 0.004
        failed = sum(chooser.random() < share for _ in range(answered))
        return Health(answered - failed, failed // 2, failed - failed // 2)

    # -- operators and controllers --

    def _present(self) -> tuple[Target | None, dict[str, Report]]:
        target = None if self._target is None else Target.decode(self._target)
        return target, {name: Report.decode(data) for name, data in sorted(self._reports.items())}

    def _store(self, target: Target, kind: str) -> None:
        self._target = target.encode()
        self._revision += 1
        self._note(kind, self._target.decode())

    def _operate(self) -> None:
        """Give one of the operators' commands, now and then."""
        chooser = self._random
        target, reports = self._present()
        if target is not None and chooser.random() > 0.1:
            return
        waves = chooser.choice(((0.1, 0.5, 1.0), (0.01, 0.2, 1.0), (1.0,)))
        command = chooser.choice(("begin", "begin", "begin", "halt", "resume", "roll-back"))
        try:
            if command == "begin":
                bounds = chooser.choice((None, Bounds(0.2, 0.2, 0.1, 900.0)))
                begun = controller.begun(
                    target, self._publish(), reports, self._now, "operator", waves, bounds
                )
                self._store(begun, command)
            elif target is None:
                return
            elif command == "halt":
                self._store(controller.halted(target, "told to", self._now, "operator"), command)
            elif command == "resume":
                self._store(controller.resumed(target, reports, self._now, "other"), command)
            else:
                version = chooser.randrange(target.version + 1)
                self._store(controller.rolled_back(target, version, reports, self._now, "operator"), command)
        except (controller.RolloutError, MessageError) as error:
            self._note("error", command, str(error))

    def _publish(self) -> int:
        chooser, version = self._random, 1 + max(self._bad, default=0)
        overlay = Overlay(version, {"rules": {"warm_up": version * 1.5}, "limits": {"most_tries": None}})
        self._versions[version] = overlay.encode()
        fault = chooser.choice(FAULTS)
        self._bad[version] = fault
        if fault == "unreadable":
            self._versions[version] = b"{"
        elif fault == "missing":
            del self._versions[version]
        elif fault == "other-version":
            self._versions[version] = Overlay(version + 1, {}).encode()
        return version

    def _control(self) -> None:
        target, reports = self._present()
        if target is None:
            return
        step = controller.next_step(target, reports, self._now, self._random.choice(("one", "two")))
        found = describe_step(step)
        self._note(*found)
        self.seen[f"state {target.state.value}"] += 1
        if found[0] == "write":
            self._target = found[1].encode()
            self._revision += 1
        self._note("progress", *describe_progress(progress_of(target, reports)))

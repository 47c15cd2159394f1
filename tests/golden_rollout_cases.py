"""Seeded runs of roll-outs: routers that follow one target, and controllers that write it.

Targets and reports are recorded as they are stored; the functions named `describe_...` map the other types.
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
# The possible faults of a version; "" is none. Repeated ones are drawn more often.
FAULTS = ("", "", "unusable", "unusable", "harmful", "harmful", "unreadable", "missing", "other-version")
ROUTER_NAMES = [f"edge-{number}" for number in range(24)]


def describe_step(step: controller.Step) -> list[Any]:
    """Return a controller's next step."""
    match step:
        case controller.Write():
            return ["write", step.target.encode().decode()]
        case controller.Wait():
            return ["wait", step.until_ms]
        case controller.Finished():
            return ["finished", step.state.value]


def describe_progress(progress: Progress) -> list[Any]:
    """Return a fleet's progress."""
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
        self._now_ms = EPOCH_MS
        self._target: bytes | None = None
        self._revision = 0
        self._versions: dict[int, bytes] = {}
        self._faults: dict[int, str] = {}  # the fault of a version
        self._reports: dict[str, bytes] = {}
        self._followers: dict[str, Follower] = {}
        self._entries: list[Any] = []
        self.seen: Counter[str] = Counter()

    def run(self, steps: int) -> list[list[Any]]:
        """Return for each step what was written, reported and refused."""
        lines = []
        for name in ROUTER_NAMES:
            self._add_router(name)
        for _ in range(steps):
            self._entries = []
            self._now_ms += self._random.choice((20.0, 60.0, 120.0, 300.0))
            self._churn()
            for follower in list(self._followers.values()):
                if self._random.random() < 0.7:
                    self._follow(follower)
            self._operate()
            self._control()
            lines.append([self._now_ms, *self._entries])
            self.seen.update(entry[0] for entry in self._entries)
        return lines

    def _record_entry(self, kind: str, *values: Any) -> None:
        self._entries.append([kind, *values])

    # -- routers --

    def _add_router(self, name: str) -> None:
        follower = Follower(name, f"10.1.0.{ROUTER_NAMES.index(name)}:80", self._now_ms)
        self._followers[name] = follower
        self._report(follower)

    def _report(self, follower: Follower) -> None:
        data = follower.report().encode()
        if self._reports.get(follower.name) != data:
            self._reports[follower.name] = data
            self._record_entry("report", follower.name, data.decode())

    def _churn(self) -> None:
        rng = self._random
        name = rng.choice(ROUTER_NAMES)
        draw = rng.random()
        if draw < 0.05 and name in self._followers:
            del self._followers[name], self._reports[name]
        elif draw < 0.15 and name not in self._followers:
            self._add_router(name)
        elif draw < 0.35:
            refusing = [router for router, data in self._reports.items() if json.loads(data)["refused"]]
            for router in refusing:
                self._followers[router].retry_refused()
        elif draw < 0.37 and name in self._followers:
            self._followers[name].reset_revision()

    def _follow(self, follower: Follower) -> None:
        rng = self._random
        if self._target is not None:
            follower.receive_target(Target.decode(self._target), self._revision, self._now_ms)
        version = follower.next_version()
        if version is not None and rng.random() < 0.8:
            self._fetch(follower, version)
        due_ms = follower.health_due_ms()
        if due_ms is not None and self._now_ms >= due_ms:
            follower.record_health(self._health(follower.in_force))
        self._report(follower)

    def _fetch(self, follower: Follower, version: int) -> None:
        fetched = version if self._random.random() < 0.95 else version + 1  # superseded while it was fetched
        overlay = follower.decode_overlay(fetched, self._versions.get(fetched), self._now_ms)
        if overlay is None:
            self._record_entry("not-taken", follower.name, fetched)
            return
        self._record_entry("fetched", follower.name, overlay.version, json.dumps(dict(overlay.merge)))
        if self._faults.get(version) == "unusable" and self._random.random() < 0.15:
            follower.record_refusal(version, "classes: there are none" * 20, self._now_ms)
        elif self._random.random() < 0.998:
            follower.record_applied(version, self._now_ms)
        else:
            follower.record_refusal(version, "limits.most_tries: none", self._now_ms)

    def _health(self, version: int) -> Health:
        rng = self._random
        answered, share = rng.randrange(5, 90), 0.3 if self._faults.get(version) == "harmful" else 0.004
        failed = sum(rng.random() < share for _ in range(answered))
        return Health(answered - failed, failed // 2, failed - failed // 2)

    # -- operators and controllers --

    def _stored_state(self) -> tuple[Target | None, dict[str, Report]]:
        target = None if self._target is None else Target.decode(self._target)
        return target, {name: Report.decode(data) for name, data in sorted(self._reports.items())}

    def _store(self, target: Target, kind: str) -> None:
        self._target = target.encode()
        self._revision += 1
        self._record_entry(kind, self._target.decode())

    def _operate(self) -> None:
        """Run an operator's command in a tenth of the steps, and in each step until there is a target."""
        rng = self._random
        target, reports = self._stored_state()
        if target is not None and rng.random() > 0.1:
            return
        waves = rng.choice(((0.1, 0.5, 1.0), (0.01, 0.2, 1.0), (1.0,)))
        command = rng.choice(("begin", "begin", "begin", "halt", "resume", "roll-back"))
        try:
            if command == "begin":
                bounds = rng.choice((None, Bounds(0.2, 0.2, 0.1, 900.0)))
                rollout = controller.begin_rollout(
                    target, self._publish(), reports, self._now_ms, "operator", waves, bounds
                )
                self._store(rollout, command)
            elif target is None:
                return
            elif command == "halt":
                self._store(controller.halt_rollout(target, "told to", self._now_ms, "operator"), command)
            elif command == "resume":
                self._store(controller.resume_rollout(target, reports, self._now_ms, "other"), command)
            else:
                version = rng.randrange(target.version + 1)
                self._store(
                    controller.roll_back_to(target, version, reports, self._now_ms, "operator"), command
                )
        except (controller.RolloutError, MessageError) as error:
            self._record_entry("error", command, str(error))

    def _publish(self) -> int:
        rng, version = self._random, 1 + max(self._faults, default=0)
        overlay = Overlay(version, {"rules": {"warm_up": version * 1.5}, "limits": {"most_tries": None}})
        self._versions[version] = overlay.encode()
        fault = rng.choice(FAULTS)
        self._faults[version] = fault
        if fault == "unreadable":
            self._versions[version] = b"{"
        elif fault == "missing":
            del self._versions[version]
        elif fault == "other-version":
            self._versions[version] = Overlay(version + 1, {}).encode()
        return version

    def _control(self) -> None:
        target, reports = self._stored_state()
        if target is None:
            return
        step = controller.next_step(target, reports, self._now_ms, self._random.choice(("one", "two")))
        entry = describe_step(step)
        self._record_entry(*entry)
        self.seen[f"state {target.state.value}"] += 1
        if entry[0] == "write":
            self._target = entry[1].encode()
            self._revision += 1
        self._record_entry("progress", *describe_progress(progress_of(target, reports)))

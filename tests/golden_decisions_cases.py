"""Seeded closed-loop conversations with the routing decisions.

A simulated fleet and its clients respond to the actions of the director, so that each event depends on the
actions before it. Settings are written as the published JSON.
"""

from __future__ import annotations

import heapq
import itertools
import json
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple

from golden_decisions_storage import stored_lines
from golden_decisions_types import (
    CACHED,
    CANCELLED,
    CONNECT_FAILED,
    DELTA,
    DRAINING,
    ERROR,
    EVENT_FACTORIES,
    FAILED,
    FILLED,
    FILLED_BY_ORIGIN,
    HIT,
    MISS,
    NO_NOTE,
    NOTES,
    OK,
    ORIGIN_FAILED,
    OUTCOMES,
    OVERLOADED,
    READY,
    REMOVED,
    RESET,
    RETRY_LEASE_NODE,
    SNAPSHOT,
    SOURCE_DISCONNECTED,
    SOURCE_MISSING_OBJECT,
    SOURCE_REJECTED,
    TIMEOUT,
    Endpoint,
    Step,
    describe_action,
)

from stonecove.routing.director import Director
from stonecove.settings import read_settings

# -- settings, as the published JSON --


def request_class(name: str, deadline: float, on_time: float, **more: Any) -> dict[str, Any]:
    """Return one class of requests."""
    return {"name": name, "deadline": deadline, "on_time": on_time, **more}


CLASSES = [
    request_class("pictures", 4000.0, 700.0, importance=2.0, late_worth=0.1, aim_stretch=1.5),
    request_class("films", 9000.0, 1500.0, aim_stretch=2.0),
    request_class("orders", 4000.0, 800.0, effect="token", group="all", window=2500.0),
    request_class("carts", 3000.0, 600.0, effect="token", group="zone", window=1500.0),
    request_class("votes", 3000.0, 600.0, effect="token", group="cell", window=1500.0),
    request_class("payments", 5000.0, 900.0, effect="side_effect"),
    request_class("pages", 2500.0, 400.0, importance=3.0),
]
APPENDED = request_class("previews", 2000.0, 300.0)
LIFETIMES = [0.0, 8000.0, 0.0, 0.0, 0.0, 0.0, 3000.0]


def router_settings(**parts: Any) -> dict[str, Any]:
    """Return settings; the given tables are merged into the usual ones."""
    base: dict[str, Any] = {
        "zone": 1,
        "fleet_size": 3,
        "classes": CLASSES,
        "domain": {
            "lifetime_by_class": LIFETIMES,
            "stale_for": [0.0, 20_000.0, 0.0, 0.0, 0.0, 0.0, 5000.0],
            "worth_when_old": [0.5] * 7,
            "never_kept": [False, False, True, True, True, True, False],
            "instances_by_zone": [0, 2, 1],
            "zone_link_kb_per_s": [0.0, 40_000.0, 20_000.0],
            "client_kb_per_s": 1000.0,
            "shield_kind": 1,
            "store_kind": 2,
            "joins": True,
            "parent_cold_from": 0.1,
            "parent_warms_in": 12_000.0,
            "parent_limit_factor": 2.0,
            "heed_within": 500.0,
            "purge_settles": 5000.0,
        },
        "rules": {"cold_from": 0.2, "warm_up": 10_000.0, "tip_multiple": 2.0, "overload_for": 1000.0},
        "limits": {
            "most_tries": 4,
            "second_copies": True,
            "cancel": True,
            "may_probe": True,
            "retry_after": True,
            "max_retry_after": 900.0,
            "connect_timeout": 300.0,
        },
    }
    for name, part in parts.items():
        base[name] = {**base[name], **part} if isinstance(base.get(name), dict) else part
    return base


# -- the fleet around a director --


def make_endpoints(caches: int, parents: int, origins: int, weight: float = 20.0) -> list[Endpoint]:
    """Return ready endpoints after their slow start, with two caches of a zone that must not be used."""
    found = [Endpoint(0xA01 + n, 0, 0.0, READY, n % 3, 1, weight * (1 + n % 2)) for n in range(caches)]
    found += [Endpoint(0xB01 + n, 0, 0.0, READY, 0, 2, weight) for n in range(2)]
    found += [Endpoint(0xC01 + n, 1, 0.0, READY, 0, 0, 2 * weight) for n in range(parents)]
    return found + [Endpoint(0xD01 + n, 2, 0.0, READY, 0, 0, 5 * weight) for n in range(origins)]


@dataclass(frozen=True)
class Scenario:
    """One conversation: the settings, the fleet, and the rates of events."""

    name: str
    seed: int
    events: int
    settings: tuple[dict[str, Any], ...]  # the first at the start, the others in turn later
    endpoints: list[Endpoint]
    request_interval_ms: float = 12.0  # mean
    objects: int = 400
    known_size_fraction: float = 0.85  # of requests
    max_size_kb: float = 6000.0
    transfer_slowdown: float = 1.0  # against the pace of the client
    fault_fraction: float = 0.3  # of the time in which some endpoint is faulty
    origin_overload_fraction: float = 0.1  # of the time in which the origin rejects fetches
    list_interval_ms: float = 900.0
    purge_interval_ms: float = 4000.0
    restart_fraction: float = 0.2  # of the changes of the list that restart an endpoint
    leases: tuple[float, float] | None = None  # the terms, where leases are in use
    fleet_sizes: tuple[int, ...] = ()
    early_requests: int = 0  # before any endpoint is listed


@dataclass
class OpenRequest:
    """A request without a final answer, as the simulation records it."""

    class_index: int
    size_kb: float
    sent_ms: list[float] = field(default_factory=list)


class Recording(NamedTuple):
    """The events and actions of a conversation."""

    events: list[Step]
    times: list[float]
    actions: list[list[list[Any]]]
    event_kinds: Counter[str]
    outcomes: Counter[int]
    notes: Counter[int]

    @property
    def action_kinds(self) -> Counter[str]:
        """Return how many actions of each kind there were."""
        return Counter(str(action[0]) for actions in self.actions for action in actions)


PlannedEvent = Callable[[], Step | None]


class Conversation:
    """Simulate a fleet and its clients around one director, with a random generator of their own."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._director = Director(read_settings(json.dumps(scenario.settings[0])), scenario.seed)
        self._now_ms = 100_000.0
        self._queue: list[tuple[float, int, PlannedEvent]] = []
        self._sequence = itertools.count()
        self._endpoints = {one.node: one for one in scenario.endpoints}
        self._open: dict[int, OpenRequest] = {}
        self._request_ids = itertools.count(1)
        self._lease_ids = itertools.count(1)
        self._faults: dict[int, str] = {}
        self._origin_rejects = False
        self._settings_index = 0
        self._class_count = len(scenario.settings[0]["classes"])
        self._recording = Recording([], [], [], Counter(), Counter(), Counter())

    def run(self) -> Recording:
        """Return the conversation once it has as many events as the scenario asks for."""
        scenario = self._scenario
        if scenario.leases is not None:
            self._deliver("lease-terms", scenario.leases)
        else:
            self._deliver("lease", (0, 0xA01, 5.0, self._now_ms + 100.0))  # to a router without leases
        for number in range(scenario.early_requests):
            self._now_ms += 1.0
            key = self._key(50) if number % 10 == 0 else 1 + number
            self._deliver(*self._request(next(self._request_ids), key=key))
        self._deliver("list", (CACHED, tuple(self._endpoints.values())))
        self._schedule(0.0, self._arrive)
        for mean_ms, planned in (
            (700.0, self._change_faults),
            (scenario.list_interval_ms, self._update_list),
            (scenario.purge_interval_ms, self._purge),
            (3000.0, self._probe_end),
            (1200.0, self._settings_change),
            (1500.0, self._fleet_size),
        ):
            self._schedule_repeatedly(mean_ms, planned)
        while len(self._recording.events) < scenario.events:
            due_ms, _, planned = heapq.heappop(self._queue)
            self._now_ms = max(self._now_ms, due_ms)
            step = planned()
            if step is not None:
                self._deliver(*step)
        return self._recording

    # -- the clock --

    def _schedule(self, delay_ms: float, planned: PlannedEvent) -> None:
        heapq.heappush(self._queue, (self._now_ms + delay_ms, next(self._sequence), planned))

    def _schedule_repeatedly(self, mean_ms: float, planned: PlannedEvent) -> None:
        def again() -> Step | None:
            self._schedule_repeatedly(mean_ms, planned)
            return planned()

        self._schedule(self._random.uniform(0.3, 1.7) * mean_ms, again)

    def _deliver(self, kind: str, arguments: tuple[Any, ...]) -> None:
        found = self._recording
        event = EVENT_FACTORIES[kind](*arguments)
        found.events.append((kind, arguments))
        found.times.append(self._now_ms)
        found.event_kinds[kind] += 1
        actions = [describe_action(action) for action in self._director.handle(self._now_ms, event)]
        found.actions.append(actions)
        for action in actions:
            self._respond(action)

    # -- responses to the actions of the director --

    def _respond(self, action: list[Any]) -> None:
        match action:
            case ["send", request, node, _, source, *_]:
                self._attempt(request, node, source)
            case ["cancel", request, attempt]:
                self._schedule(1.0, lambda: self._end(request, attempt, 0, CANCELLED, NO_NOTE, 1.0))
            case ["reject", request, retry_after_ms]:
                opened = self._open.pop(request, None)
                if opened is not None and retry_after_ms > 0 and self._random.random() < 0.5:
                    self._schedule(retry_after_ms, lambda: self._request(next(self._request_ids)))
            case ["fail", request]:
                self._open.pop(request, None)
            case ["timer", token, expires_at_ms]:
                late_ms = self._random.choice((0.0, 0.0, 0.4, 3.0))
                self._schedule(expires_at_ms - self._now_ms + late_ms, lambda: ("timer-end", (token,)))
            case ["watch"]:
                self._schedule(5.0, self._update_list)
            case ["request-lease", node, work, limit, growth, share, _]:
                if self._random.random() < 0.7:
                    self._grant(node, min(work * self._random.uniform(1.0, 6.0), limit + growth), share)

    def _grant(self, node: int, work: float, share: float) -> None:
        number, lifetime_ms = next(self._lease_ids), self._random.uniform(100.0, 1500.0)
        granted = 1.0 + 3.0 * share if node == RETRY_LEASE_NODE else work
        expires_at_ms = self._now_ms + lifetime_ms
        self._schedule(4.0, lambda: ("lease", (number, node, granted, expires_at_ms)))
        if self._random.random() < 0.3:
            self._schedule(lifetime_ms * 0.6, lambda: ("lease", (number, node, 0.0, expires_at_ms)))

    def _attempt(self, request: int, node: int, source: int) -> None:
        chooser = self._random
        opened = self._open.setdefault(request, OpenRequest(0, 10.0))
        attempt = len(opened.sent_ms)
        opened.sent_ms.append(self._now_ms)
        outcome, note, duration_ms = self._outcome(node, source, opened)
        if duration_ms == math.inf:
            return
        if chooser.random() < 0.1:
            self._schedule(duration_ms * 0.5, lambda: ("response-start", (request, attempt, node)))
        self._schedule(duration_ms, lambda: self._end(request, attempt, node, outcome, note, duration_ms))
        if chooser.random() < 0.01:  # an end that is delivered twice, and one of an unknown attempt
            self._schedule(
                duration_ms + 1.0, lambda: self._end(request, attempt, node, outcome, note, duration_ms)
            )
            self._schedule(
                duration_ms * 0.5, lambda: self._end(request, attempt + 7, node, outcome, note, duration_ms)
            )

    def _outcome(self, node: int, source: int, opened: OpenRequest) -> tuple[int, int, float]:
        """Return outcome, note and duration of an attempt; the duration is infinite if its end is lost."""
        chooser, scenario = self._random, self._scenario
        transfer_ms = max(1.0, opened.size_kb) * scenario.transfer_slowdown * chooser.lognormvariate(0.0, 0.3)
        wait_ms = chooser.expovariate(1 / 60.0)
        match self._faults.get(node):
            case "dead":
                return CONNECT_FAILED, NO_NOTE, 1.0
            case "silent":
                return TIMEOUT, NO_NOTE, math.inf if chooser.random() < 0.7 else 2500.0
            case "slow":
                transfer_ms *= 8.0
            case "resetting" if chooser.random() < 0.6:
                return RESET, NO_NOTE, transfer_ms * 0.3
            case "full" if chooser.random() < 0.6:
                return OVERLOADED, NO_NOTE, 2.0
            case "erring" if chooser.random() < 0.6:
                return ERROR, NO_NOTE, transfer_ms * 0.5
        if source == node:
            return (OK, HIT, transfer_ms) if chooser.random() < 0.5 else (MISS, NO_NOTE, 3.0)
        kind = self._endpoints[source].kind if source in self._endpoints else 2
        if self._faults.get(source) in ("dead", "silent", "erring"):
            return (
                ERROR,
                chooser.choice((SOURCE_REJECTED, SOURCE_DISCONNECTED, SOURCE_MISSING_OBJECT)),
                wait_ms + 5.0,
            )
        if kind == 2 and self._origin_rejects and chooser.random() < 0.8:
            return ERROR, chooser.choice((ORIGIN_FAILED, SOURCE_REJECTED)), wait_ms + 5.0
        roll = chooser.random()
        if roll < 0.5:
            return OK, HIT, transfer_ms
        if roll < 0.75:
            return OK, FILLED_BY_ORIGIN if kind == 2 else FILLED, wait_ms + transfer_ms * 1.5
        if roll < 0.93:
            return OK, chooser.choice((0, 0, 1, 2, 3, 4, 5, 9)), wait_ms + transfer_ms
        return chooser.choice(OUTCOMES[1:]), chooser.choice(NOTES), wait_ms + transfer_ms

    def _end(
        self, request: int, attempt: int, node: int, outcome: int, note: int, duration_ms: float
    ) -> Step:
        chooser = self._random
        final = outcome == OK or (outcome not in (CANCELLED, MISS) and chooser.random() < 0.05)
        if final:
            self._open.pop(request, None)
        self._recording.outcomes[outcome] += 1
        self._recording.notes[note] += 1
        waited_ms = chooser.uniform(0.0, 0.8) * duration_ms if note in (FILLED, FILLED_BY_ORIGIN) else 0.0
        load = tuple(chooser.random() for _ in range(chooser.randrange(3)))
        return "attempt-end", (request, attempt, node, outcome, duration_ms, final, note, waited_ms, load)

    # -- events that no action causes --

    def _arrive(self) -> Step:
        self._schedule(self._random.expovariate(1 / self._scenario.request_interval_ms), self._arrive)
        return self._request(next(self._request_ids))

    def _key(self, objects: int) -> int:
        rank = int(self._random.paretovariate(0.7)) % objects
        return (1 + rank) * 0x9E3779B97F4A7C15 % (1 << 64)

    def _request(self, request: int, key: int = 0) -> Step:
        chooser, scenario = self._random, self._scenario
        kind = chooser.choice((0, 0, 0, 1, 1, 6, chooser.randrange(self._class_count)))
        if chooser.random() < 0.005:
            kind = 200  # an unknown class
        key = key or self._key(scenario.objects)
        size_kb = 0.0
        if chooser.random() < scenario.known_size_fraction:
            size_kb = (
                scenario.max_size_kb if key % 37 == 0 else 5.0 + key % 97 * scenario.max_size_kb / 4000.0
            )
        timeout_ms = chooser.choice((4000.0, 2500.0, 1000.0, max(0.0, chooser.uniform(-300.0, 9000.0))))
        chunk = chooser.randrange(12) if key % 5 == 0 else 0
        self._open[request] = OpenRequest(kind, size_kb)
        if chooser.random() < 0.04:
            self._schedule(chooser.uniform(0.0, 800.0), lambda: self._disconnect(request))
        return "request", (request, kind, key, timeout_ms, size_kb, key % 6, chunk)

    def _disconnect(self, request: int) -> Step:
        self._open.pop(request, None)
        return "disconnect", (request,)

    def _change_faults(self) -> None:
        """Change which endpoints are faulty."""
        chooser, scenario = self._random, self._scenario
        self._faults = {}
        self._origin_rejects = chooser.random() < scenario.origin_overload_fraction
        if chooser.random() < scenario.fault_fraction:
            nodes = sorted(node for node, one in self._endpoints.items() if one.kind != 2)
            for node in chooser.sample(nodes, min(len(nodes), chooser.choice((1, 1, 2, 4)))):
                self._faults[node] = chooser.choice(("dead", "silent", "slow", "resetting", "full", "erring"))

    def _update_list(self) -> Step:
        chooser = self._random
        roll = chooser.random()
        if roll < 0.06:
            return "list", (FAILED, ())
        if roll < 0.14:
            form = chooser.choice((SNAPSHOT, CACHED))
            return "list", (form, tuple(self._endpoints.values()))
        changed = []
        for node in chooser.sample(sorted(self._endpoints), chooser.choice((1, 1, 2))):
            one = self._change(self._endpoints[node])
            changed.append(one)
            if one.state == REMOVED:
                del self._endpoints[node]
                restored = one._replace(
                    state=READY, started_ms=chooser.choice((one.started_ms, self._now_ms))
                )
                self._schedule(chooser.choice((200.0, 3000.0)), partial(self._restore, restored))
            else:
                self._endpoints[node] = one
        return "list", (DELTA, tuple(changed))

    def _change(self, one: Endpoint) -> Endpoint:
        chooser = self._random
        if chooser.random() < self._scenario.restart_fraction:
            return one._replace(started_ms=self._now_ms - chooser.choice((0.0, 500.0, 4000.0)), state=READY)
        if one.state == DRAINING:
            return one._replace(state=chooser.choice((READY, READY, REMOVED)))
        match chooser.randrange(4):
            case 0 if one.kind != 2:
                return one._replace(state=DRAINING)
            case 1 if one.kind != 2:
                return one._replace(state=REMOVED)
            case 2:
                return one._replace(weight=one.weight * chooser.choice((0.5, 2.0)))
        return one

    def _restore(self, one: Endpoint) -> Step:
        self._endpoints[one.node] = one
        return "list", (DELTA, (one,))

    def _purge(self) -> Step:
        chooser = self._random
        age = chooser.choice((0.0, 30.0, 2000.0))
        if chooser.random() < 0.3:
            return "purge", (age, chooser.randrange(6), 0)
        key = self._key(20)
        return "purge", (age, key % 6, key)

    def _probe_end(self) -> Step:
        node = self._random.choice(sorted(self._endpoints))
        return "probe-end", (node, self._random.random() < 0.5, 3.0, (0.5,))

    def _settings_change(self) -> Step | None:
        settings = self._scenario.settings
        if len(settings) == 1:
            return None
        self._settings_index = 1 + self._settings_index % (len(settings) - 1)
        chosen = settings[self._settings_index]
        self._class_count = len(chosen["classes"])
        return "settings-change", (chosen,)

    def _fleet_size(self) -> Step | None:
        if not self._scenario.fleet_sizes:
            return None
        fleet = self._random.choice(self._scenario.fleet_sizes)
        return "fleet-size", (fleet, (0, fleet - fleet // 3, fleet // 3))


# -- the conversations --

_MORE_CLASSES = [*CLASSES, APPENDED]
_NO_EXTRAS = {"second_copies": False, "cancel": False, "retry_after": False, "most_tries": 3}

SCENARIOS = [
    Scenario(
        "ordinary",
        seed=11,
        events=3600,
        settings=(router_settings(),),
        endpoints=make_endpoints(6, 3, 2),
        fleet_sizes=(2, 3, 6),
    ),
    Scenario(
        "leased-cold-fleet",
        seed=12,
        events=3600,
        settings=(router_settings(weights="nominal", fleet_size=12),),
        endpoints=make_endpoints(5, 3, 1, weight=6.0),
        request_interval_ms=25.0,
        list_interval_ms=400.0,
        restart_fraction=0.7,
        fault_fraction=0.5,
        leases=(0.3, 0.2),
        fleet_sizes=(8, 12, 20),
    ),
    Scenario(
        "crowded-links",
        seed=13,
        events=3600,
        settings=(router_settings(domain={"zone_link_kb_per_s": [0.0, 9000.0, 4000.0]}, fleet_size=2),),
        endpoints=make_endpoints(4, 2, 1),
        request_interval_ms=14.0,
        known_size_fraction=0.8,
        max_size_kb=3000.0,
        transfer_slowdown=2.5,
        restart_fraction=0.4,
    ),
    Scenario(
        "overloaded-origin",
        seed=14,
        events=3600,
        settings=(router_settings(limits={"most_tries": 6}),),
        endpoints=make_endpoints(4, 1, 2),
        origin_overload_fraction=0.7,
        fault_fraction=0.6,
        purge_interval_ms=500.0,
        objects=60,
    ),
    Scenario(
        "changing-settings",
        seed=15,
        events=3600,
        settings=(
            router_settings(discovery="ask", limits=_NO_EXTRAS),
            router_settings(classes=_MORE_CLASSES, rules={"warm_up": 4000.0, "cold_from": 0.05}),
            router_settings(
                classes=_MORE_CLASSES,
                weights="rough",
                fleet_size=9,
                domain={"purge_settles": 900.0, "instances_by_zone": [], "zone_link_kb_per_s": [0.0, 9e4]},
            ),
            router_settings(classes=_MORE_CLASSES, discovery="ask", limits={"max_retry_after": 50.0}),
        ),
        endpoints=make_endpoints(5, 2, 1),
        list_interval_ms=500.0,
        purge_interval_ms=1500.0,
        leases=(0.6, 0.5),
        fleet_sizes=(1, 4),
    ),
    Scenario(
        "no-parents",
        seed=16,
        events=2500,
        settings=(
            router_settings(
                zone=0,
                domain={"client_kb_per_s": 0.0, "joins": False, "shield_kind": -1, "instances_by_zone": []},
                limits=_NO_EXTRAS,
            ),
        ),
        endpoints=[one._replace(zone=0) for one in make_endpoints(3, 0, 1, weight=0.0)],
        fault_fraction=0.5,
    ),
    Scenario(
        "many-objects",
        seed=17,
        events=27_400,
        settings=(
            router_settings(
                limits={"retry_after": False},
                rules={"warm_up": 500.0},
                domain={"purge_settles": 400.0},
            ),
        ),
        endpoints=make_endpoints(3, 2, 1),
        request_interval_ms=400.0,  # long enough for counts to decay by many half-lives
        early_requests=25_000,
    ),
]


# -- what is stored --


def summary_of(found: Recording) -> dict[str, Any]:
    """Return what is stored of a conversation."""
    lines = [[now, *actions] for now, actions in zip(found.times, found.actions, strict=True)]
    return {
        "events": len(found.events),
        "event_kinds": dict(sorted(found.event_kinds.items())),
        "action_kinds": dict(sorted(found.action_kinds.items())),
        "outcomes": {str(code): count for code, count in sorted(found.outcomes.items())},
        "notes": {str(code): count for code, count in sorted(found.notes.items())},
        **stored_lines(lines),
    }

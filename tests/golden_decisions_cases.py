"""Seeded closed-loop simulations of a fleet around the routing decisions.

The simulated fleet and its clients respond to the actions of the director, so that each event depends on the
actions before it. Settings are in the form of the published JSON.
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

from golden_decisions_storage import stored_steps
from golden_decisions_types import (
    CACHE_STATUSES,
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
    NO_CACHE_STATUS,
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


def request_class(name: str, deadline: float, on_time: float, **optional_settings: Any) -> dict[str, Any]:
    """Return the settings of one request class."""
    return {"name": name, "deadline": deadline, "on_time": on_time, **optional_settings}


CLASSES = [
    request_class("pictures", 4000.0, 700.0, importance=2.0, late_worth=0.1, aim_stretch=1.5),
    request_class("films", 9000.0, 1500.0, aim_stretch=2.0),
    request_class("orders", 4000.0, 800.0, effect="token", group="all", window=2500.0),
    request_class("carts", 3000.0, 600.0, effect="token", group="zone", window=1500.0),
    request_class("votes", 3000.0, 600.0, effect="token", group="cell", window=1500.0),
    request_class("payments", 5000.0, 900.0, effect="side_effect"),
    request_class("pages", 2500.0, 400.0, importance=3.0),
]
APPENDED_CLASS = request_class("previews", 2000.0, 300.0)
LIFETIMES = [0.0, 8000.0, 0.0, 0.0, 0.0, 0.0, 3000.0]


def router_settings(**overrides: Any) -> dict[str, Any]:
    """Return the default settings with overrides; a table is merged into the default one."""
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
    for name, value in overrides.items():
        base[name] = {**base[name], **value} if isinstance(base.get(name), dict) else value
    return base


# -- the fleet around a director --


def make_endpoints(caches: int, parents: int, origins: int, weight: float = 20.0) -> list[Endpoint]:
    """Return ready endpoints after their slow start, with two caches of a zone that must not be used."""
    endpoints = [Endpoint(0xA01 + n, 0, 0.0, READY, n % 3, 1, weight * (1 + n % 2)) for n in range(caches)]
    endpoints += [Endpoint(0xB01 + n, 0, 0.0, READY, 0, 2, weight) for n in range(2)]
    endpoints += [Endpoint(0xC01 + n, 1, 0.0, READY, 0, 0, 2 * weight) for n in range(parents)]
    return endpoints + [Endpoint(0xD01 + n, 2, 0.0, READY, 0, 0, 5 * weight) for n in range(origins)]


@dataclass(frozen=True)
class Scenario:
    """The settings, the fleet and the event rates of one simulation."""

    name: str
    seed: int
    events: int
    settings: tuple[dict[str, Any], ...]  # the first at the start, then the others in turn
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
    """The events and actions of a simulation."""

    events: list[Step]
    times: list[float]
    actions: list[list[list[Any]]]
    event_kinds: Counter[str]
    outcomes: Counter[int]
    cache_statuses: Counter[int]

    @property
    def action_kinds(self) -> Counter[str]:
        """Return how many actions of each kind there were."""
        return Counter(str(action[0]) for actions in self.actions for action in actions)


ScheduledEvent = Callable[[], Step | None]


class Simulation:
    """Simulate a fleet and its clients around one director, with a random generator of their own."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._director = Director(read_settings(json.dumps(scenario.settings[0])), scenario.seed)
        self._now_ms = 100_000.0
        self._queue: list[tuple[float, int, ScheduledEvent]] = []
        self._sequence = itertools.count()
        self._endpoints = {endpoint.node: endpoint for endpoint in scenario.endpoints}
        self._open_requests: dict[int, OpenRequest] = {}
        self._request_ids = itertools.count(1)
        self._lease_ids = itertools.count(1)
        self._faults: dict[int, str] = {}
        self._origin_rejects = False
        self._settings_index = 0
        self._class_count = len(scenario.settings[0]["classes"])
        self._recording = Recording([], [], [], Counter(), Counter(), Counter())

    def run(self) -> Recording:
        """Run until the scenario's number of events has been delivered; return the recording."""
        scenario = self._scenario
        if scenario.leases is not None:
            self._deliver("lease-terms", scenario.leases)
        else:
            # A grant to a router that has no lease terms.
            self._deliver("lease", (0, 0xA01, 5.0, self._now_ms + 100.0))
        for number in range(scenario.early_requests):
            self._now_ms += 1.0
            key = self._draw_key(50) if number % 10 == 0 else 1 + number
            self._deliver(*self._make_request(next(self._request_ids), key=key))
        self._deliver("list", (CACHED, tuple(self._endpoints.values())))
        self._schedule(0.0, self._receive_request)
        for mean_ms, scheduled in (
            (700.0, self._change_faults),
            (scenario.list_interval_ms, self._update_list),
            (scenario.purge_interval_ms, self._purge),
            (3000.0, self._end_probe),
            (1200.0, self._change_settings),
            (1500.0, self._change_fleet_size),
        ):
            self._schedule_repeatedly(mean_ms, scheduled)
        while len(self._recording.events) < scenario.events:
            due_ms, _, scheduled = heapq.heappop(self._queue)
            self._now_ms = max(self._now_ms, due_ms)
            step = scheduled()
            if step is not None:
                self._deliver(*step)
        return self._recording

    # -- the clock --

    def _schedule(self, delay_ms: float, scheduled: ScheduledEvent) -> None:
        heapq.heappush(self._queue, (self._now_ms + delay_ms, next(self._sequence), scheduled))

    def _schedule_repeatedly(self, mean_ms: float, scheduled: ScheduledEvent) -> None:
        def run_and_reschedule() -> Step | None:
            self._schedule_repeatedly(mean_ms, scheduled)
            return scheduled()

        self._schedule(self._random.uniform(0.3, 1.7) * mean_ms, run_and_reschedule)

    def _deliver(self, kind: str, arguments: tuple[Any, ...]) -> None:
        recording = self._recording
        event = EVENT_FACTORIES[kind](*arguments)
        recording.events.append((kind, arguments))
        recording.times.append(self._now_ms)
        recording.event_kinds[kind] += 1
        actions = [describe_action(action) for action in self._director.handle(self._now_ms, event)]
        recording.actions.append(actions)
        for action in actions:
            self._respond(action)

    # -- responses to the actions of the director --

    def _respond(self, action: list[Any]) -> None:
        match action:
            case ["send", request, node, _, source, *_]:
                self._start_attempt(request, node, source)
            case ["cancel", request, attempt]:
                self._schedule(
                    1.0, lambda: self._end_attempt(request, attempt, 0, CANCELLED, NO_CACHE_STATUS, 1.0)
                )
            case ["reject", request, retry_after_ms]:
                open_request = self._open_requests.pop(request, None)
                if open_request is not None and retry_after_ms > 0 and self._random.random() < 0.5:
                    self._schedule(retry_after_ms, lambda: self._make_request(next(self._request_ids)))
            case ["fail", request]:
                self._open_requests.pop(request, None)
            case ["timer", token, expires_at_ms]:
                late_ms = self._random.choice((0.0, 0.0, 0.4, 3.0))
                self._schedule(expires_at_ms - self._now_ms + late_ms, lambda: ("timer-end", (token,)))
            case ["watch"]:
                self._schedule(5.0, self._update_list)
            case ["request-lease", node, work, limit, growth, share, _]:
                if self._random.random() < 0.7:
                    self._grant_lease(node, min(work * self._random.uniform(1.0, 6.0), limit + growth), share)

    def _grant_lease(self, node: int, work: float, share: float) -> None:
        lease_id, lifetime_ms = next(self._lease_ids), self._random.uniform(100.0, 1500.0)
        granted_work = 1.0 + 3.0 * share if node == RETRY_LEASE_NODE else work
        expires_at_ms = self._now_ms + lifetime_ms
        self._schedule(4.0, lambda: ("lease", (lease_id, node, granted_work, expires_at_ms)))
        if self._random.random() < 0.3:
            self._schedule(lifetime_ms * 0.6, lambda: ("lease", (lease_id, node, 0.0, expires_at_ms)))

    def _start_attempt(self, request: int, node: int, source: int) -> None:
        rng = self._random
        open_request = self._open_requests.setdefault(request, OpenRequest(0, 10.0))
        attempt = len(open_request.sent_ms)
        open_request.sent_ms.append(self._now_ms)
        outcome, cache_status, duration_ms = self._draw_outcome(node, source, open_request)
        if duration_ms == math.inf:
            return
        if rng.random() < 0.1:
            self._schedule(duration_ms * 0.5, lambda: ("response-start", (request, attempt, node)))
        self._schedule(
            duration_ms, lambda: self._end_attempt(request, attempt, node, outcome, cache_status, duration_ms)
        )
        if rng.random() < 0.01:  # a duplicate end, and the end of an unknown attempt
            self._schedule(
                duration_ms + 1.0,
                lambda: self._end_attempt(request, attempt, node, outcome, cache_status, duration_ms),
            )
            self._schedule(
                duration_ms * 0.5,
                lambda: self._end_attempt(request, attempt + 7, node, outcome, cache_status, duration_ms),
            )

    def _draw_outcome(self, node: int, source: int, open_request: OpenRequest) -> tuple[int, int, float]:
        """Return outcome, cache status and duration of an attempt; infinite if its end is lost."""
        rng, scenario = self._random, self._scenario
        transfer_ms = (
            max(1.0, open_request.size_kb) * scenario.transfer_slowdown * rng.lognormvariate(0.0, 0.3)
        )
        wait_ms = rng.expovariate(1 / 60.0)
        match self._faults.get(node):
            case "dead":
                return CONNECT_FAILED, NO_CACHE_STATUS, 1.0
            case "silent":
                return TIMEOUT, NO_CACHE_STATUS, math.inf if rng.random() < 0.7 else 2500.0
            case "slow":
                transfer_ms *= 8.0
            case "resetting" if rng.random() < 0.6:
                return RESET, NO_CACHE_STATUS, transfer_ms * 0.3
            case "full" if rng.random() < 0.6:
                return OVERLOADED, NO_CACHE_STATUS, 2.0
            case "erring" if rng.random() < 0.6:
                return ERROR, NO_CACHE_STATUS, transfer_ms * 0.5
        if source == node:
            return (OK, HIT, transfer_ms) if rng.random() < 0.5 else (MISS, NO_CACHE_STATUS, 3.0)
        kind = self._endpoints[source].kind if source in self._endpoints else 2
        if self._faults.get(source) in ("dead", "silent", "erring"):
            return (
                ERROR,
                rng.choice((SOURCE_REJECTED, SOURCE_DISCONNECTED, SOURCE_MISSING_OBJECT)),
                wait_ms + 5.0,
            )
        if kind == 2 and self._origin_rejects and rng.random() < 0.8:
            return ERROR, rng.choice((ORIGIN_FAILED, SOURCE_REJECTED)), wait_ms + 5.0
        draw = rng.random()
        if draw < 0.5:
            return OK, HIT, transfer_ms
        if draw < 0.75:
            return OK, FILLED_BY_ORIGIN if kind == 2 else FILLED, wait_ms + transfer_ms * 1.5
        if draw < 0.93:
            return OK, rng.choice((0, 0, 1, 2, 3, 4, 5, 9)), wait_ms + transfer_ms
        return rng.choice(OUTCOMES[1:]), rng.choice(CACHE_STATUSES), wait_ms + transfer_ms

    def _end_attempt(
        self, request: int, attempt: int, node: int, outcome: int, cache_status: int, duration_ms: float
    ) -> Step:
        rng = self._random
        final = outcome == OK or (outcome not in (CANCELLED, MISS) and rng.random() < 0.05)
        if final:
            self._open_requests.pop(request, None)
        self._recording.outcomes[outcome] += 1
        self._recording.cache_statuses[cache_status] += 1
        waited_ms = rng.uniform(0.0, 0.8) * duration_ms if cache_status in (FILLED, FILLED_BY_ORIGIN) else 0.0
        load = tuple(rng.random() for _ in range(rng.randrange(3)))
        return "attempt-end", (
            request,
            attempt,
            node,
            outcome,
            duration_ms,
            final,
            cache_status,
            waited_ms,
            load,
        )

    # -- events that are not caused by an action --

    def _receive_request(self) -> Step:
        self._schedule(
            self._random.expovariate(1 / self._scenario.request_interval_ms), self._receive_request
        )
        return self._make_request(next(self._request_ids))

    def _draw_key(self, objects: int) -> int:
        rank = int(self._random.paretovariate(0.7)) % objects
        return (1 + rank) * 0x9E3779B97F4A7C15 % (1 << 64)

    def _make_request(self, request: int, key: int = 0) -> Step:
        rng, scenario = self._random, self._scenario
        class_index = rng.choice((0, 0, 0, 1, 1, 6, rng.randrange(self._class_count)))
        if rng.random() < 0.005:
            class_index = 200  # an unknown class
        key = key or self._draw_key(scenario.objects)
        size_kb = 0.0
        if rng.random() < scenario.known_size_fraction:
            size_kb = (
                scenario.max_size_kb if key % 37 == 0 else 5.0 + key % 97 * scenario.max_size_kb / 4000.0
            )
        timeout_ms = rng.choice((4000.0, 2500.0, 1000.0, max(0.0, rng.uniform(-300.0, 9000.0))))
        chunk = rng.randrange(12) if key % 5 == 0 else 0
        self._open_requests[request] = OpenRequest(class_index, size_kb)
        if rng.random() < 0.04:
            self._schedule(rng.uniform(0.0, 800.0), lambda: self._disconnect(request))
        return "request", (request, class_index, key, timeout_ms, size_kb, key % 6, chunk)

    def _disconnect(self, request: int) -> Step:
        self._open_requests.pop(request, None)
        return "disconnect", (request,)

    def _change_faults(self) -> None:
        """Change which endpoints are faulty."""
        rng, scenario = self._random, self._scenario
        self._faults = {}
        self._origin_rejects = rng.random() < scenario.origin_overload_fraction
        if rng.random() < scenario.fault_fraction:
            nodes = sorted(node for node, endpoint in self._endpoints.items() if endpoint.kind != 2)
            for node in rng.sample(nodes, min(len(nodes), rng.choice((1, 1, 2, 4)))):
                self._faults[node] = rng.choice(("dead", "silent", "slow", "resetting", "full", "erring"))

    def _update_list(self) -> Step:
        rng = self._random
        draw = rng.random()
        if draw < 0.06:
            return "list", (FAILED, ())
        if draw < 0.14:
            list_kind = rng.choice((SNAPSHOT, CACHED))
            return "list", (list_kind, tuple(self._endpoints.values()))
        changed = []
        for node in rng.sample(sorted(self._endpoints), rng.choice((1, 1, 2))):
            endpoint = self._change_endpoint(self._endpoints[node])
            changed.append(endpoint)
            if endpoint.state == REMOVED:
                del self._endpoints[node]
                restored = endpoint._replace(
                    state=READY, started_ms=rng.choice((endpoint.started_ms, self._now_ms))
                )
                self._schedule(rng.choice((200.0, 3000.0)), partial(self._restore_endpoint, restored))
            else:
                self._endpoints[node] = endpoint
        return "list", (DELTA, tuple(changed))

    def _change_endpoint(self, endpoint: Endpoint) -> Endpoint:
        rng = self._random
        if rng.random() < self._scenario.restart_fraction:
            return endpoint._replace(started_ms=self._now_ms - rng.choice((0.0, 500.0, 4000.0)), state=READY)
        if endpoint.state == DRAINING:
            return endpoint._replace(state=rng.choice((READY, READY, REMOVED)))
        match rng.randrange(4):
            case 0 if endpoint.kind != 2:
                return endpoint._replace(state=DRAINING)
            case 1 if endpoint.kind != 2:
                return endpoint._replace(state=REMOVED)
            case 2:
                return endpoint._replace(weight=endpoint.weight * rng.choice((0.5, 2.0)))
        return endpoint

    def _restore_endpoint(self, endpoint: Endpoint) -> Step:
        self._endpoints[endpoint.node] = endpoint
        return "list", (DELTA, (endpoint,))

    def _purge(self) -> Step:
        rng = self._random
        age = rng.choice((0.0, 30.0, 2000.0))
        if rng.random() < 0.3:
            return "purge", (age, rng.randrange(6), 0)
        key = self._draw_key(20)
        return "purge", (age, key % 6, key)

    def _end_probe(self) -> Step:
        node = self._random.choice(sorted(self._endpoints))
        return "probe-end", (node, self._random.random() < 0.5, 3.0, (0.5,))

    def _change_settings(self) -> Step | None:
        settings = self._scenario.settings
        if len(settings) == 1:
            return None
        self._settings_index = 1 + self._settings_index % (len(settings) - 1)
        next_settings = settings[self._settings_index]
        self._class_count = len(next_settings["classes"])
        return "settings-change", (next_settings,)

    def _change_fleet_size(self) -> Step | None:
        if not self._scenario.fleet_sizes:
            return None
        fleet_size = self._random.choice(self._scenario.fleet_sizes)
        return "fleet-size", (fleet_size, (0, fleet_size - fleet_size // 3, fleet_size // 3))


# -- the scenarios --

_CLASSES_WITH_APPENDED = [*CLASSES, APPENDED_CLASS]
_RESTRICTED_LIMITS = {"second_copies": False, "cancel": False, "retry_after": False, "most_tries": 3}

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
            router_settings(discovery="ask", limits=_RESTRICTED_LIMITS),
            router_settings(classes=_CLASSES_WITH_APPENDED, rules={"warm_up": 4000.0, "cold_from": 0.05}),
            router_settings(
                classes=_CLASSES_WITH_APPENDED,
                weights="rough",
                fleet_size=9,
                domain={"purge_settles": 900.0, "instances_by_zone": [], "zone_link_kb_per_s": [0.0, 9e4]},
            ),
            router_settings(
                classes=_CLASSES_WITH_APPENDED, discovery="ask", limits={"max_retry_after": 50.0}
            ),
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
                limits=_RESTRICTED_LIMITS,
            ),
        ),
        endpoints=[endpoint._replace(zone=0) for endpoint in make_endpoints(3, 0, 1, weight=0.0)],
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


# -- the stored form --


def summary_of(recording: Recording) -> dict[str, Any]:
    """Return the stored form of a recording."""
    steps = [[now_ms, *actions] for now_ms, actions in zip(recording.times, recording.actions, strict=True)]
    return {
        "events": len(recording.events),
        "event_kinds": dict(sorted(recording.event_kinds.items())),
        "action_kinds": dict(sorted(recording.action_kinds.items())),
        "outcomes": {str(code): count for code, count in sorted(recording.outcomes.items())},
        "notes": {str(code): count for code, count in sorted(recording.cache_statuses.items())},
        **stored_steps(steps),
    }

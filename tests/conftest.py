"""A small world of made-up settings and nodes for the tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import known_red
import pytest

from stonecove.routing.actions import Action, SendAttempt
from stonecove.routing.director import Director
from stonecove.routing.endpoints import EndpointListKind, Node, NodeState
from stonecove.routing.events import AttemptEnded, EndpointListUpdate, Event, Outcome, RequestReceived
from stonecove.routing.settings import ClassSettings, DeduplicationScope, Idempotency, Settings

CACHES = (11, 12, 13, 14)
PARENTS = (21, 22)
ORIGIN = 31


def pytest_configure(config: pytest.Config) -> None:
    """Tests that are known to fail are held to failing."""
    known_red.configure(config, config.rootpath / known_red.NAME)


def make_class(**changes: Any) -> ClassSettings:
    base = ClassSettings(
        name="pictures",
        priority_weight=2.0,
        late_priority_weight=0.1,
        latency_objective_ms=700.0,
        objective_stretch=1.5,
        deadline_ms=4000.0,
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_ms=2000.0,
        fresh_ms=0.0,
        stale_ms=0.0,
        stale_priority_weight=0.5,
        never_cached=False,
    )
    return replace(base, **changes)


def make_settings(*classes: ClassSettings, **changes: Any) -> Settings:
    base = Settings(
        classes=classes or (make_class(),),
        zone=1,
        fleet_size=2,
        routers_by_zone=(0, 1, 1),
        zone_link_kb_per_s=(0.0, 20000.0, 20000.0),
        client_kb_per_s=1000.0,
        parent_kind=1,
        origin_kind=2,
        fill_joining_allowed=True,
        weights_known=False,
        parent_bypass_allowed=False,
        siblings="any",
        slow_start_initial_fraction=0.2,
        slow_start_ms=10000.0,
        overload_multiple=2.0,
        overload_window_ms=1000.0,
        parent_slow_start_initial_fraction=0.1,
        parent_slow_start_ms=12000.0,
        parent_overload_multiple=2.0,
        purge_grace_ms=500.0,
        purge_settled_ms=5000.0,
        drain_grace_ms=250.0,
        max_attempts=4,
        hedging_allowed=True,
        cancellation_allowed=True,
        health_checks_allowed=True,
        retry_after_allowed=True,
        max_retry_after_ms=900.0,
        connect_timeout_ms=300.0,
        load_report_fields=(),
        endpoint_list_polled=False,
    )
    return replace(base, **changes)


def make_nodes() -> list[Node]:
    ready = NodeState.READY
    nodes = [Node(n, 0, 0.0, ready, n % 2, 1, 1.0) for n in CACHES]
    nodes += [Node(n, 1, 0.0, ready, 0, 0, 1.0) for n in PARENTS]
    return [*nodes, Node(ORIGIN, 2, 0.0, ready, 0, 0, 1.0)]


class World:
    """One director, its clock and the requests it was given."""

    def __init__(self, settings: Settings | None = None, nodes: list[Node] | None = None) -> None:
        self.director = Director(settings or make_settings(), 7)
        self.now = 100_000.0
        self.next = 0
        self.nodes = make_nodes() if nodes is None else nodes
        self.give(EndpointListUpdate(EndpointListKind.CACHED_SNAPSHOT, tuple(self.nodes)))

    def give(self, event: Event, wait: float = 0.0) -> list[Action]:
        self.now += wait
        return self.director.handle(self.now, event)

    def ask(self, object_key: int = 5, wait: float = 1.0, **changes: Any) -> list[Action]:
        self.next += 1
        request = RequestReceived(self.next, 0, object_key, 4000.0, 100.0, 3, 0)
        return self.give(request._replace(**changes), wait)

    def end(
        self,
        get: SendAttempt,
        outcome: Outcome = Outcome.OK,
        wait: float = 1.0,
        note: int = 0,
        attempt: int = 0,
        closed: bool | None = None,
    ) -> list[Action]:
        over = outcome is Outcome.OK if closed is None else closed
        return self.give(
            AttemptEnded(get.request_id, attempt, get.node_id, outcome, wait, over, note, 0.0, ()), wait
        )

    def list(
        self, node: int, kind: EndpointListKind = EndpointListKind.DELTA, **changes: Any
    ) -> list[Action]:
        entry = next(n for n in self.nodes if n.node_id == node)
        return self.give(EndpointListUpdate(kind, (entry._replace(**changes),)))


def gets(actions: list[Action]) -> list[SendAttempt]:
    return [act for act in actions if isinstance(act, SendAttempt)]


@pytest.fixture
def world() -> World:
    return World()

"""Settings, nodes and a harness around one director, for tests of the routing decisions."""

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
    """Register the known failures; a listed test must fail, so that the list stays current."""
    known_red.configure(config, config.rootpath / known_red.NAME)


def make_class(**changes: Any) -> ClassSettings:
    """Return the settings of a class, with these changes to the usual ones."""
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
    """Return the settings of a router, with these changes to the usual ones."""
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
    """Return the usual caches, parents and origin, all ready and warmed up."""
    ready = NodeState.READY
    nodes = [Node(n, 0, 0.0, ready, n % 2, 1, 1.0) for n in CACHES]
    nodes += [Node(n, 1, 0.0, ready, 0, 0, 1.0) for n in PARENTS]
    return [*nodes, Node(ORIGIN, 2, 0.0, ready, 0, 0, 1.0)]


class DirectorHarness:
    """One director with its clock and request numbers."""

    def __init__(self, settings: Settings | None = None, nodes: list[Node] | None = None) -> None:
        self.director = Director(settings or make_settings(), 7)
        self.now_ms = 100_000.0
        self.last_request_id = 0
        self.nodes = make_nodes() if nodes is None else nodes
        self.deliver(EndpointListUpdate(EndpointListKind.CACHED_SNAPSHOT, tuple(self.nodes)))

    def deliver(self, event: Event, wait_ms: float = 0.0) -> list[Action]:
        """Advance the clock and deliver an event; return the director's actions."""
        self.now_ms += wait_ms
        return self.director.handle(self.now_ms, event)

    def request(self, object_key: int = 5, wait_ms: float = 1.0, **changes: Any) -> list[Action]:
        """Deliver a new request; return the director's actions."""
        self.last_request_id += 1
        request = RequestReceived(self.last_request_id, 0, object_key, 4000.0, 100.0, 3, 0)
        return self.deliver(request._replace(**changes), wait_ms)

    def end_attempt(
        self,
        sent: SendAttempt,
        outcome: Outcome = Outcome.OK,
        wait_ms: float = 1.0,
        cache_status: int = 0,
        attempt_index: int = 0,
        answered: bool | None = None,
    ) -> list[Action]:
        """Deliver the end of an attempt that took `wait_ms`; return the director's actions.

        `answered`, whether the request has its final answer, follows from the outcome if it is None.
        """
        has_answer = outcome is Outcome.OK if answered is None else answered
        return self.deliver(
            AttemptEnded(
                sent.request_id,
                attempt_index,
                sent.node_id,
                outcome,
                wait_ms,
                has_answer,
                cache_status,
                0.0,
                (),
            ),
            wait_ms,
        )

    def update_node(
        self, node_id: int, kind: EndpointListKind = EndpointListKind.DELTA, **changes: Any
    ) -> list[Action]:
        """Deliver an update of the endpoint list with one changed node; return the director's actions."""
        entry = next(node for node in self.nodes if node.node_id == node_id)
        return self.deliver(EndpointListUpdate(kind, (entry._replace(**changes),)))


def sent_attempts(actions: list[Action]) -> list[SendAttempt]:
    """Return the attempts among the actions."""
    return [action for action in actions if isinstance(action, SendAttempt)]


@pytest.fixture
def harness() -> DirectorHarness:
    """Return a harness with the usual settings and nodes."""
    return DirectorHarness()

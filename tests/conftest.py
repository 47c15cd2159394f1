"""A small world of made-up settings and nodes for the tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from stonecove.routing.director import Director
from stonecove.routing.events import (
    Action,
    ClassSettings,
    Effect,
    Ended,
    Event,
    Get,
    KeyGroup,
    Listed,
    ListKind,
    Node,
    NodeState,
    Outcome,
    Request,
    Settings,
)

import known_red

CACHES = (11, 12, 13, 14)
PARENTS = (21, 22)
ORIGIN = 31


def pytest_configure(config: pytest.Config) -> None:
    """Tests that are known to fail are held to failing."""
    known_red.configure(config, config.rootpath / known_red.NAME)


def make_class(**changes: Any) -> ClassSettings:
    base = ClassSettings(
        name="pictures",
        worth=2.0,
        late_worth=0.1,
        aim=700.0,
        aim_stretch=1.5,
        deadline=4000.0,
        effect=Effect.SAFE,
        group=KeyGroup.ALL,
        window=2000.0,
        fresh=0.0,
        stale=0.0,
        stale_worth=0.5,
        never_kept=False,
    )
    return replace(base, **changes)


def make_settings(*classes: ClassSettings, **changes: Any) -> Settings:
    base = Settings(
        classes=classes or (make_class(),),
        zone=1,
        fleet=2,
        zone_directors=(0, 1, 1),
        zone_link=(0.0, 20000.0, 20000.0),
        client_pace=1000.0,
        parent_kind=1,
        origin_kind=2,
        joins=True,
        weighted=False,
        may_bypass=False,
        siblings="any",
        cold_from=0.2,
        warm_up=10000.0,
        fall_multiple=2.0,
        fall_window=1000.0,
        parent_cold_from=0.1,
        parent_warm_up=12000.0,
        parent_fall_multiple=2.0,
        purge_grace=500.0,
        purge_done=5000.0,
        drain_grace=250.0,
        most_attempts=4,
        second_copies=True,
        may_cancel=True,
        may_probe=True,
        may_pause=True,
        longest_pause=900.0,
        connect_timeout=300.0,
        report_fields=(),
        list_by_asking=False,
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
        self.give(Listed(ListKind.CACHED, tuple(self.nodes)))

    def give(self, event: Event, wait: float = 0.0) -> list[Action]:
        self.now += wait
        return self.director.handle(self.now, event)

    def ask(self, key: int = 5, wait: float = 1.0, **changes: Any) -> list[Action]:
        self.next += 1
        request = Request(self.next, 0, key, 4000.0, 100.0, 3, 0)
        return self.give(request._replace(**changes), wait)

    def end(
        self,
        get: Get,
        outcome: Outcome = Outcome.OK,
        wait: float = 1.0,
        note: int = 0,
        attempt: int = 0,
        closed: bool | None = None,
    ) -> list[Action]:
        over = outcome is Outcome.OK if closed is None else closed
        return self.give(Ended(get.req, attempt, get.node, outcome, wait, over, note, 0.0, ()), wait)

    def list(self, node: int, kind: ListKind = ListKind.DELTA, **changes: Any) -> list[Action]:
        entry = next(n for n in self.nodes if n.node == node)
        return self.give(Listed(kind, (entry._replace(**changes),)))


def gets(actions: list[Action]) -> list[Get]:
    return [act for act in actions if isinstance(act, Get)]


@pytest.fixture
def world() -> World:
    return World()

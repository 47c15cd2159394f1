"""Large fleets, thin shares and odd lists: nothing raises, every request gets its one answer."""

from __future__ import annotations

import math
from types import SimpleNamespace
from typing import Any, cast

import pytest
from conftest import CACHES, ORIGIN, DirectorHarness, make_nodes, make_settings, sent_attempts

from stonecove.pipeline.send import NodeConnection
from stonecove.routing.actions import FailRequest, RejectRequest, SendAttempt
from stonecove.routing.endpoints import EndpointListKind, Node, NodeState
from stonecove.routing.events import AttemptEnded, CacheStatus, EndpointListUpdate, HealthCheckEnded, Outcome

READY = NodeState.READY


def answered(harness: DirectorHarness, requests: int) -> list[SendAttempt]:
    """Asks so many times; every request is sent, refused or failed at once."""
    sent = []
    for key in range(requests):
        actions = harness.request(object_key=key)
        sent += sent_attempts(actions)
        assert sent_attempts(actions) or isinstance(actions[-1], (RejectRequest, FailRequest))
        for get in sent_attempts(actions):
            harness.end_attempt(get, cache_status=CacheStatus.HIT)
    return sent


def test_hundreds_of_nodes_and_directors() -> None:
    nodes = [Node(n + 1, 0, 0.0, READY, n, n % 40, 1.0) for n in range(400)]
    nodes += [Node(1000 + n, 1, 0.0, READY, 0, 0, 1.0) for n in range(100)]
    settings = make_settings(
        fleet_size=600, routers_by_zone=(0, *[15] * 40), zone_link_kb_per_s=(0.0, *[9000.0] * 40)
    )
    sent = answered(DirectorHarness(settings, [*nodes, Node(ORIGIN + 5000, 2, 0.0, READY, 0, 0, 1.0)]), 300)
    assert len({get.source_id for get in sent}) > 50
    assert {get.node_id % 40 for get in sent} == {2}


@pytest.mark.parametrize(
    "changes",
    [
        {"fleet_size": 10**9, "routers_by_zone": (0, 10**9, 0)},
        {"routers_by_zone": (0, 0, 0), "fleet_size": 0},
        {"zone": 77},
        {"zone": -1},
    ],
)
def test_odd_shares(changes: dict[str, int]) -> None:
    harness = DirectorHarness(
        make_settings(**changes), [n._replace(zone=changes.get("zone", 1)) for n in make_nodes()]
    )
    assert answered(harness, 60)


def test_a_location_with_one_cache() -> None:
    sent = answered(DirectorHarness(nodes=[n for n in make_nodes() if n.node_id not in CACHES[1:]]), 40)
    assert {get.node_id for get in sent} == {CACHES[0]}


def test_all_caches_replaced_at_once_while_hundreds_are_held() -> None:
    harness = DirectorHarness(make_settings(max_attempts=6), [n._replace(weight=500.0) for n in make_nodes()])
    held = [sent_attempts(harness.request(object_key=n, size_kb=1.0))[0] for n in range(300)]
    fresh = [Node(100 + n, 0, harness.now_ms, READY, 0, 1, 1.0) for n in range(4)]
    harness.deliver(
        EndpointListUpdate(
            EndpointListKind.SNAPSHOT, (*fresh, *[n for n in harness.nodes if n.node_id not in CACHES])
        )
    )
    for get in held:
        actions = harness.deliver(
            AttemptEnded(get.request_id, 0, get.node_id, Outcome.RESET, 5.0, False, 0, 0.0, ())
        )
        assert all(again.node_id >= 100 for again in sent_attempts(actions))
        assert sent_attempts(actions) or isinstance(actions[-1], RejectRequest)


def test_weights_that_change_with_every_list() -> None:
    harness = DirectorHarness(make_settings(weights_known=True))
    for turn, weight in enumerate((0.0, 1e-9, 4.0, 1e9, -3.0) * 4):
        harness.update_node(CACHES[turn % 4], weight=weight)
        for get in sent_attempts(harness.request(object_key=turn)):
            harness.end_attempt(get, cache_status=CacheStatus.HIT)


@pytest.mark.parametrize("load", [(), (0.0,), (math.nan, math.inf, -1.0, 1e30, 7.0)])
def test_reports_of_any_kind_mislead_nobody(load: tuple[float, ...]) -> None:
    harness = DirectorHarness(make_settings(load_report_fields=("busy_reqs", "x1")))
    home = sent_attempts(harness.request(object_key=1))[0]
    harness.deliver(
        AttemptEnded(home.request_id, 0, home.node_id, Outcome.OK, 1.0, True, CacheStatus.HIT, 0.0, load)
    )
    for node in (home.node_id, 999):
        assert harness.deliver(HealthCheckEnded(node, True, 1.0, load)) == []
    assert sent_attempts(harness.request(object_key=1))[0].node_id == home.node_id


class Compared(str):
    """An id that counts how often it is compared."""

    compared = 0
    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        Compared.compared += 1
        return str.__eq__(self, other)


@pytest.mark.parametrize("busy", [False, True])
def test_a_look_at_a_connections_earlier_ids_does_not_compare_them_all(busy: bool) -> None:
    """It is taken for each attempt at each connection to a cache: hundreds of ids cost CPU for nothing."""
    link = NodeConnection(11, cast(Any, None), ("127.0.0.1", 1), 0.0)
    link.channel = cast(Any, SimpleNamespace(is_closed=False, partial_reply_at_ms=0.0))
    for number in range(300):
        link.cancelled_ids.add(f"{number:016x}")
        link.answered_ids.add(f"{number + 1000:016x}")
    if busy:
        link.attempts["ff"] = cast(Any, SimpleNamespace(written_at_ms=0.0, decided_at_ms=0.0))
    Compared.compared = 0
    assert link.can_take(Compared("9b1f03aa5c7e2d41"), 1.0, 1, 100.0) is not busy
    assert Compared.compared <= 4
    assert not link.can_take(f"{299:016x}", 1.0, 2, 100.0) and not link.can_take(
        f"{1299:016x}", 1.0, 2, 100.0
    )
    assert (
        link.can_take(f"{0:016x}", 1.0, 2, 100.0) and len(link.cancelled_ids) == 256
    )  # the oldest are forgotten

"""Large fleets, small shares and unusual endpoint lists: nothing raises, each request has one outcome."""

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


def send_requests(harness: DirectorHarness, requests: int) -> list[SendAttempt]:
    """Send this many requests; each is sent, rejected or failed at once."""
    sent = []
    for key in range(requests):
        actions = harness.request(object_key=key)
        sent += sent_attempts(actions)
        assert sent_attempts(actions) or isinstance(actions[-1], (RejectRequest, FailRequest))
        for attempt in sent_attempts(actions):
            harness.end_attempt(attempt, cache_status=CacheStatus.HIT)
    return sent


def test_a_router_of_a_large_fleet_sends_only_to_caches_of_its_zone() -> None:
    nodes = [Node(n + 1, 0, 0.0, READY, n, n % 40, 1.0) for n in range(400)]
    nodes += [Node(1000 + n, 1, 0.0, READY, 0, 0, 1.0) for n in range(100)]
    settings = make_settings(
        fleet_size=600, routers_by_zone=(0, *[15] * 40), zone_link_kb_per_s=(0.0, *[9000.0] * 40)
    )
    sent = send_requests(
        DirectorHarness(settings, [*nodes, Node(ORIGIN + 5000, 2, 0.0, READY, 0, 0, 1.0)]), 300
    )
    assert len({attempt.source_id for attempt in sent}) > 50
    assert {attempt.node_id % 40 for attempt in sent} == {2}


@pytest.mark.parametrize(
    "changes",
    [
        {"fleet_size": 10**9, "routers_by_zone": (0, 10**9, 0)},
        {"routers_by_zone": (0, 0, 0), "fleet_size": 0},
        {"zone": 77},
        {"zone": -1},
    ],
)
def test_unusual_shares_still_send_requests(changes: dict[str, int]) -> None:
    harness = DirectorHarness(
        make_settings(**changes), [n._replace(zone=changes.get("zone", 1)) for n in make_nodes()]
    )
    assert send_requests(harness, 60)


def test_all_requests_of_a_zone_with_one_cache_go_to_it() -> None:
    sent = send_requests(DirectorHarness(nodes=[n for n in make_nodes() if n.node_id not in CACHES[1:]]), 40)
    assert {attempt.node_id for attempt in sent} == {CACHES[0]}


def test_attempts_in_flight_are_retried_on_new_caches_when_all_are_replaced() -> None:
    harness = DirectorHarness(make_settings(max_attempts=6), [n._replace(weight=500.0) for n in make_nodes()])
    pending = [sent_attempts(harness.request(object_key=n, size_kb=1.0))[0] for n in range(300)]
    new_nodes = [Node(100 + n, 0, harness.now_ms, READY, 0, 1, 1.0) for n in range(4)]
    harness.deliver(
        EndpointListUpdate(
            EndpointListKind.SNAPSHOT, (*new_nodes, *[n for n in harness.nodes if n.node_id not in CACHES])
        )
    )
    for attempt in pending:
        actions = harness.deliver(
            AttemptEnded(attempt.request_id, 0, attempt.node_id, Outcome.RESET, 5.0, False, 0, 0.0, ())
        )
        assert all(retry.node_id >= 100 for retry in sent_attempts(actions))
        assert sent_attempts(actions) or isinstance(actions[-1], RejectRequest)


def test_extreme_weights_that_change_with_every_endpoint_list_raise_nothing() -> None:
    harness = DirectorHarness(make_settings(weights_known=True))
    for index, weight in enumerate((0.0, 1e-9, 4.0, 1e9, -3.0) * 4):
        harness.update_node(CACHES[index % 4], weight=weight)
        for attempt in sent_attempts(harness.request(object_key=index)):
            harness.end_attempt(attempt, cache_status=CacheStatus.HIT)


@pytest.mark.parametrize("load", [(), (0.0,), (math.nan, math.inf, -1.0, 1e30, 7.0)])
def test_malformed_load_reports_do_not_change_the_choice(load: tuple[float, ...]) -> None:
    harness = DirectorHarness(make_settings(load_report_fields=("busy_reqs", "x1")))
    first_attempt = sent_attempts(harness.request(object_key=1))[0]
    harness.deliver(
        AttemptEnded(
            first_attempt.request_id,
            0,
            first_attempt.node_id,
            Outcome.OK,
            1.0,
            True,
            CacheStatus.HIT,
            0.0,
            load,
        )
    )
    for node in (first_attempt.node_id, 999):
        assert harness.deliver(HealthCheckEnded(node, True, 1.0, load)) == []
    assert sent_attempts(harness.request(object_key=1))[0].node_id == first_attempt.node_id


class CountingId(str):
    """An ID that counts how often it is compared."""

    comparisons = 0
    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        CountingId.comparisons += 1
        return str.__eq__(self, other)


@pytest.mark.parametrize("busy", [False, True])
def test_can_take_does_not_compare_all_earlier_ids(busy: bool) -> None:
    """Guard against a scan of hundreds of earlier IDs for each attempt at each connection."""
    connection = NodeConnection(11, cast(Any, None), ("127.0.0.1", 1), 0.0)
    connection.channel = cast(Any, SimpleNamespace(is_closed=False, partial_reply_at_ms=0.0))
    for number in range(300):
        connection.cancelled_ids.add(f"{number:016x}")
        connection.answered_ids.add(f"{number + 1000:016x}")
    if busy:
        connection.attempts["ff"] = cast(Any, SimpleNamespace(written_at_ms=0.0, decided_at_ms=0.0))
    CountingId.comparisons = 0
    assert connection.can_take(CountingId("9b1f03aa5c7e2d41"), 1.0, 1, 100.0) is not busy
    assert CountingId.comparisons <= 4
    assert not connection.can_take(f"{299:016x}", 1.0, 2, 100.0) and not connection.can_take(
        f"{1299:016x}", 1.0, 2, 100.0
    )
    # The oldest IDs are dropped.
    assert connection.can_take(f"{0:016x}", 1.0, 2, 100.0) and len(connection.cancelled_ids) == 256

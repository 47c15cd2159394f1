"""The five hard rules of routing, each with a test that fails when its check is removed."""

from __future__ import annotations

import pytest
from conftest import (
    CACHES,
    ORIGIN,
    PARENTS,
    DirectorHarness,
    make_class,
    make_nodes,
    make_settings,
    sent_attempts,
)

from stonecove.routing.actions import CancelAttempt, FailRequest, FetchMode, RejectRequest
from stonecove.routing.endpoints import EndpointListKind, NodeState
from stonecove.routing.events import (
    CacheStatus,
    ClientDisconnected,
    EndpointListUpdate,
    Outcome,
    PurgeReceived,
    TimerExpired,
)
from stonecove.routing.settings import DeduplicationScope, Idempotency

FINAL_ANSWERS = (RejectRequest, FailRequest)


# -- 1. one final answer --


def test_a_request_that_times_out_at_the_deadline_is_rejected_once(harness: DirectorHarness) -> None:
    attempt = sent_attempts(harness.request())[0]
    actions = harness.end_attempt(attempt, Outcome.TIMEOUT, 4000.0)
    assert [type(action) for action in actions if isinstance(action, FINAL_ANSWERS)] == [RejectRequest]
    assert not sent_attempts(actions)
    assert harness.deliver(ClientDisconnected(attempt.request_id)) == []


def test_nothing_is_sent_after_the_final_answer(harness: DirectorHarness) -> None:
    attempt = sent_attempts(harness.request())[0]
    harness.deliver(ClientDisconnected(attempt.request_id))
    assert harness.deliver(TimerExpired(attempt.request_id), 2000.0) == []
    assert harness.end_attempt(attempt, Outcome.CANCELLED, answered=True) == []


def test_no_hedged_request_is_sent_after_the_deadline(harness: DirectorHarness) -> None:
    attempts = [sent_attempts(harness.request(object_key=1))[0] for _ in range(3)]
    harness.now_ms += 4500.0
    assert not any(sent_attempts(harness.deliver(TimerExpired(attempt.request_id))) for attempt in attempts)


def test_an_answer_cancels_the_other_attempt_of_the_request(harness: DirectorHarness) -> None:
    earlier = sent_attempts(harness.request(object_key=1))[0]
    attempt = sent_attempts(harness.request(object_key=1))[0]
    assert earlier.node_id == attempt.node_id
    harness.deliver(TimerExpired(earlier.request_id), 1500.0)
    hedge = sent_attempts(harness.deliver(TimerExpired(attempt.request_id)))[0]
    assert hedge.node_id != attempt.node_id
    actions = harness.end_attempt(hedge, attempt_index=1)
    assert actions == [CancelAttempt(attempt.request_id, 0)]


def test_no_more_than_max_attempts_are_sent() -> None:
    harness = DirectorHarness(make_settings(max_attempts=2))
    first = sent_attempts(harness.request())[0]
    retry = sent_attempts(harness.end_attempt(first, Outcome.CONNECT_FAILED))[0]
    actions = harness.end_attempt(retry, Outcome.CONNECT_FAILED, attempt_index=1)
    assert isinstance(actions[-1], RejectRequest) and not sent_attempts(actions)


def test_retry_after_is_given_where_it_is_allowed() -> None:
    for allowed, min_ms, max_ms in ((True, 400.0, 900.0), (False, 0.0, 0.0)):
        harness = DirectorHarness(make_settings(retry_after_allowed=allowed), nodes=[])
        delays_ms = [
            action.retry_after_ms
            for _ in range(20)
            for action in harness.request()
            if isinstance(action, RejectRequest)
        ]
        assert len(delays_ms) == 20 and min_ms <= min(delays_ms) and max(delays_ms) <= max_ms


# -- 2. no duplicate effects --


def harness_with_idempotency_keys(**changes: object) -> DirectorHarness:
    """Return a harness whose only class has idempotency keys and is never cached."""
    cls = make_class(idempotency=Idempotency.IDEMPOTENCY_KEY, never_cached=True, **changes)
    return DirectorHarness(make_settings(cls))


def test_non_idempotent_requests_are_retried_only_if_proven_not_executed() -> None:
    for outcome, retried in (
        (Outcome.REJECTED_OVERLOADED, True),
        (Outcome.RESET, False),
        (Outcome.ERROR, False),
    ):
        harness = DirectorHarness(make_settings(make_class(idempotency=Idempotency.NON_IDEMPOTENT)))
        actions = harness.end_attempt(sent_attempts(harness.request())[0], outcome)
        assert bool(sent_attempts(actions)) is retried
        assert retried or isinstance(actions[-1], FailRequest)


def test_requests_with_an_idempotency_key_are_not_retried_after_the_deduplication_window() -> None:
    for wait_ms, retried in ((1500.0, True), (2500.0, False)):
        harness = harness_with_idempotency_keys()
        actions = harness.end_attempt(sent_attempts(harness.request())[0], Outcome.RESET, wait_ms)
        assert bool(sent_attempts(actions)) is retried


def test_the_deduplication_window_starts_at_the_first_attempt_that_may_have_run() -> None:
    harness = harness_with_idempotency_keys()
    attempts = [sent_attempts(harness.request(object_key=1))[0] for _ in range(2)]
    harness.deliver(TimerExpired(attempts[0].request_id), 1200.0)
    hedge = sent_attempts(harness.deliver(TimerExpired(attempts[1].request_id)))[0]
    assert not sent_attempts(harness.end_attempt(hedge, Outcome.RESET, 100.0, attempt_index=1))
    actions = harness.end_attempt(attempts[1], Outcome.RESET, 900.0)
    assert not sent_attempts(actions) and isinstance(actions[-1], RejectRequest)


def test_retries_with_an_idempotency_key_stay_within_the_cell() -> None:
    harness = harness_with_idempotency_keys(deduplication_scope=DeduplicationScope.CELL)
    attempt = sent_attempts(harness.request())[0]
    retries = sent_attempts(harness.end_attempt(attempt, Outcome.RESET))
    assert retries and retries[0].node_id % 2 == attempt.node_id % 2
    actions = harness.end_attempt(retries[0], Outcome.RESET, 2500.0, attempt_index=1)
    assert isinstance(actions[-1], FailRequest)


def test_no_hedged_request_is_sent_where_hedging_is_not_allowed() -> None:
    harness = DirectorHarness(make_settings(hedging_allowed=False))
    attempts = [sent_attempts(harness.request(object_key=1))[0] for _ in range(3)]
    harness.deliver(TimerExpired(attempts[0].request_id), 1500.0)
    assert not any(sent_attempts(harness.deliver(TimerExpired(attempt.request_id))) for attempt in attempts)


# -- 3. drains --


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.REMOVED])
def test_draining_and_removed_nodes_get_no_new_requests(state: NodeState) -> None:
    harness = DirectorHarness()
    attempt = sent_attempts(harness.request())[0]
    harness.update_node(attempt.node_id, state=state)
    harness.update_node(attempt.source_id, state=state)
    for key in range(20):
        for sent in sent_attempts(harness.request(object_key=key, size_kb=1.0)):
            assert sent.node_id != attempt.node_id and sent.source_id != attempt.source_id
    retries = sent_attempts(harness.end_attempt(attempt, Outcome.RESET))
    assert retries and retries[0].node_id != attempt.node_id and retries[0].source_id != attempt.source_id


def test_a_node_missing_from_a_snapshot_is_removed(harness: DirectorHarness) -> None:
    harness.deliver(
        EndpointListUpdate(
            EndpointListKind.SNAPSHOT, tuple(node for node in harness.nodes if node.node_id != CACHES[0])
        )
    )
    assert all(sent_attempts(harness.request(object_key=key))[0].node_id != CACHES[0] for key in range(100))


def test_a_failed_endpoint_list_request_leaves_the_list_unchanged(harness: DirectorHarness) -> None:
    harness.deliver(EndpointListUpdate(EndpointListKind.FAILED, ()))
    assert sent_attempts(harness.request())


# -- 4. slow start --


def test_a_cache_in_slow_start_gets_no_more_than_its_budget() -> None:
    settings = make_settings()
    harness = DirectorHarness(settings)
    for node_id in CACHES[1:]:
        harness.update_node(node_id, state=NodeState.REMOVED)
    harness.update_node(CACHES[0], started_ms=harness.now_ms)
    work = sum(
        100.0
        for n in range(400)
        for attempt in sent_attempts(harness.request(object_key=n, wait_ms=1.0))
        if attempt.node_id == CACHES[0]
    )
    capacity = settings.zone_link_kb_per_s[1] / settings.client_kb_per_s
    assert (
        0
        < work
        <= settings.overload_multiple
        * settings.slow_start_initial_fraction
        * settings.overload_window_ms
        * capacity
    )


def test_a_parent_in_slow_start_gets_no_more_than_its_budget() -> None:
    settings = make_settings()
    harness = DirectorHarness(settings)
    harness.update_node(PARENTS[0], started_ms=harness.now_ms)
    sources = []
    for n in range(300):
        for attempt in sent_attempts(harness.request(object_key=n, wait_ms=1.0, size_kb=500.0)):
            sources.append(attempt.source_id)
            harness.end_attempt(attempt, cache_status=CacheStatus.FILLED)
    capacity = sum(settings.zone_link_kb_per_s) / settings.client_kb_per_s / len(PARENTS)
    allowed_work = (
        settings.parent_overload_multiple
        * settings.parent_slow_start_initial_fraction
        * settings.overload_window_ms
        * capacity
    )
    assert sources.count(PARENTS[0]) * 500.0 <= allowed_work / settings.fleet_size
    assert sources.count(PARENTS[1]) > sources.count(PARENTS[0])


def test_a_node_that_started_long_ago_is_not_in_slow_start(harness: DirectorHarness) -> None:
    harness.update_node(PARENTS[0], started_ms=harness.now_ms - 60_000.0)
    sources = {sent_attempts(harness.request(object_key=n))[0].source_id for n in range(60)}
    assert sources == set(PARENTS)


# -- 5. purges --


def test_no_copy_older_than_a_purge_is_accepted(harness: DirectorHarness) -> None:
    assert sent_attempts(harness.request(object_key=9))[0].max_age_ms == 0.0
    attempt_before_purge = sent_attempts(harness.request(object_key=9))[0]
    harness.deliver(PurgeReceived(200.0, 0, 9), 1.0)
    attempt_after_purge = sent_attempts(harness.request(object_key=9, wait_ms=50.0))[0]
    assert (
        0 < attempt_after_purge.max_age_ms < 250.0
        and not attempt_after_purge.fetch_mode & FetchMode.JOIN_FILL
    )
    retry = sent_attempts(harness.end_attempt(attempt_before_purge, Outcome.RESET))[0]
    assert 0 < retry.max_age_ms < 252.0


def test_a_purge_of_a_group_covers_its_objects(harness: DirectorHarness) -> None:
    harness.deliver(PurgeReceived(0.0, 3, 0))
    assert 0 < sent_attempts(harness.request(object_key=4, wait_ms=0.0))[0].max_age_ms < 1.0
    assert sent_attempts(harness.request(object_key=4, group=2))[0].max_age_ms == 0.0


def test_the_latest_purge_limits_the_age_until_it_expires(harness: DirectorHarness) -> None:
    harness.deliver(PurgeReceived(0.0, 0, 9))
    harness.deliver(PurgeReceived(300.0, 0, 9), 100.0)
    assert sent_attempts(harness.request(object_key=9, wait_ms=0.0))[0].max_age_ms < 100.1
    assert sent_attempts(harness.request(object_key=9, wait_ms=5000.0))[0].max_age_ms > 0.0
    assert sent_attempts(harness.request(object_key=9, wait_ms=10_000.0))[0].max_age_ms == 0.0


def test_the_age_limit_of_the_class_still_applies_after_a_purge() -> None:
    harness = DirectorHarness(make_settings(make_class(fresh_ms=1000.0, stale_ms=3000.0)))
    harness.deliver(PurgeReceived(0.0, 0, 9))
    assert sent_attempts(harness.request(object_key=9, wait_ms=3000.0))[0].max_age_ms == 1000.0


def test_many_purges_take_bounded_memory(harness: DirectorHarness) -> None:
    for n in range(20_000):
        harness.deliver(PurgeReceived(0.0, 0, n + 1), 10.0)
    assert len(harness.director.state.purges._purged_at_ms) < 3000


def test_requests_that_are_never_cached_go_to_the_origin() -> None:
    harness = harness_with_idempotency_keys()
    attempt = sent_attempts(harness.request())[0]
    assert attempt.source_id == ORIGIN and attempt.cache_rank == 0


def test_requests_are_rejected_where_no_cache_is_listed() -> None:
    harness = DirectorHarness(nodes=make_nodes()[-1:])
    assert isinstance(harness.request()[0], RejectRequest)

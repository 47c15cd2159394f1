"""The five rules, each with a test that fails when its guard is taken out."""

from __future__ import annotations

import pytest
from conftest import CACHES, ORIGIN, PARENTS, World, gets, make_class, make_nodes, make_settings

from stonecove.routing.actions import CancelAttempt, FailRequest, RejectRequest
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

FINAL = (RejectRequest, FailRequest)


# -- 1. one final answer --


def test_timeout_at_the_deadline_is_answered_once(world: World) -> None:
    get = gets(world.ask())[0]
    actions = world.end(get, Outcome.TIMEOUT, 4000.0)
    assert [type(a) for a in actions if isinstance(a, FINAL)] == [RejectRequest]
    assert not gets(actions)
    assert world.give(ClientDisconnected(get.request_id)) == []


def test_nothing_goes_out_after_the_final_answer(world: World) -> None:
    get = gets(world.ask())[0]
    world.give(ClientDisconnected(get.request_id))
    assert world.give(TimerExpired(get.request_id), 2000.0) == []
    assert world.end(get, Outcome.CANCELLED, closed=True) == []


def test_no_second_copy_goes_out_at_the_deadline(world: World) -> None:
    asked = [gets(world.ask(object_key=1))[0] for _ in range(3)]
    world.now += 4500.0
    assert not any(gets(world.give(TimerExpired(get.request_id))) for get in asked)


def test_answer_calls_off_the_second_copy(world: World) -> None:
    first = gets(world.ask(object_key=1))[0]
    other = gets(world.ask(object_key=1))[0]
    assert first.node_id == other.node_id
    world.give(TimerExpired(first.request_id), 1500.0)
    second = gets(world.give(TimerExpired(other.request_id)))[0]
    assert second.node_id != other.node_id
    actions = world.end(second, attempt=1)
    assert actions == [CancelAttempt(other.request_id, 0)]


def test_no_more_attempts_than_allowed() -> None:
    world = World(make_settings(max_attempts=2))
    first = gets(world.ask())[0]
    second = gets(world.end(first, Outcome.CONNECT_FAILED))[0]
    last = world.end(second, Outcome.CONNECT_FAILED, attempt=1)
    assert isinstance(last[-1], RejectRequest) and not gets(last)


def test_pause_is_told_where_it_is_passed_on() -> None:
    for allowed, least, most in ((True, 400.0, 900.0), (False, 0.0, 0.0)):
        world = World(make_settings(retry_after_allowed=allowed), nodes=[])
        pauses = [
            act.retry_after_ms for _ in range(20) for act in world.ask() if isinstance(act, RejectRequest)
        ]
        assert len(pauses) == 20 and least <= min(pauses) and max(pauses) <= most


# -- 2. no effect twice --


def keyed(**changes: object) -> World:
    cls = make_class(idempotency=Idempotency.IDEMPOTENCY_KEY, never_cached=True, **changes)
    return World(make_settings(cls))


def test_unsafe_work_is_retried_only_when_it_surely_did_not_run() -> None:
    for outcome, again in (
        (Outcome.REJECTED_OVERLOADED, True),
        (Outcome.RESET, False),
        (Outcome.ERROR, False),
    ):
        world = World(make_settings(make_class(idempotency=Idempotency.NON_IDEMPOTENT)))
        actions = world.end(gets(world.ask())[0], outcome)
        assert bool(gets(actions)) is again
        assert again or isinstance(actions[-1], FailRequest)


def test_keyed_work_is_not_resent_after_its_window() -> None:
    for wait, again in ((1500.0, True), (2500.0, False)):
        world = keyed()
        actions = world.end(gets(world.ask())[0], Outcome.RESET, wait)
        assert bool(gets(actions)) is again


def test_the_window_counts_from_the_first_attempt_that_may_have_run() -> None:
    world = keyed()
    asked = [gets(world.ask(object_key=1))[0] for _ in range(2)]
    world.give(TimerExpired(asked[0].request_id), 1200.0)
    second = gets(world.give(TimerExpired(asked[1].request_id)))[0]
    assert not gets(world.end(second, Outcome.RESET, 100.0, attempt=1))
    actions = world.end(asked[1], Outcome.RESET, 900.0)
    assert not gets(actions) and isinstance(actions[-1], RejectRequest)


def test_keyed_work_stays_within_its_cell() -> None:
    world = keyed(deduplication_scope=DeduplicationScope.CELL)
    get = gets(world.ask())[0]
    again = gets(world.end(get, Outcome.RESET))
    assert again and again[0].node_id % 2 == get.node_id % 2
    last = world.end(again[0], Outcome.RESET, 2500.0, attempt=1)
    assert isinstance(last[-1], FailRequest)


def test_no_second_copy_where_none_is_allowed() -> None:
    world = World(make_settings(hedging_allowed=False))
    asked = [gets(world.ask(object_key=1))[0] for _ in range(3)]
    world.give(TimerExpired(asked[0].request_id), 1500.0)
    assert not any(gets(world.give(TimerExpired(get.request_id))) for get in asked)


# -- 3. drains --


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.REMOVED])
def test_nothing_new_goes_to_a_leaving_node(state: NodeState) -> None:
    world = World()
    get = gets(world.ask())[0]
    world.list(get.node_id, state=state)
    world.list(get.source_id, state=state)
    for key in range(20):
        for sent in gets(world.ask(object_key=key, size_kb=1.0)):
            assert sent.node_id != get.node_id and sent.source_id != get.source_id
    again = gets(world.end(get, Outcome.RESET))
    assert again and again[0].node_id != get.node_id and again[0].source_id != get.source_id


def test_a_node_missing_from_a_full_list_is_gone(world: World) -> None:
    world.give(
        EndpointListUpdate(EndpointListKind.SNAPSHOT, tuple(n for n in world.nodes if n.node_id != CACHES[0]))
    )
    assert all(gets(world.ask(object_key=key))[0].node_id != CACHES[0] for key in range(100))


def test_a_failed_list_call_changes_nothing(world: World) -> None:
    world.give(EndpointListUpdate(EndpointListKind.FAILED, ()))
    assert gets(world.ask())


# -- 4. cold nodes --


def test_a_cold_cache_gets_no_more_than_its_budget() -> None:
    settings = make_settings()
    world = World(settings)
    for node in CACHES[1:]:
        world.list(node, state=NodeState.REMOVED)
    world.list(CACHES[0], started_ms=world.now)
    work = sum(
        100.0
        for n in range(400)
        for get in gets(world.ask(object_key=n, wait=1.0))
        if get.node_id == CACHES[0]
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


def test_a_cold_parent_gets_no_more_than_its_budget() -> None:
    settings = make_settings()
    world = World(settings)
    world.list(PARENTS[0], started_ms=world.now)
    sources = []
    for n in range(300):
        for get in gets(world.ask(object_key=n, wait=1.0, size_kb=500.0)):
            sources.append(get.source_id)
            world.end(get, note=CacheStatus.FILLED)
    capacity = sum(settings.zone_link_kb_per_s) / settings.client_kb_per_s / len(PARENTS)
    allowed = (
        settings.parent_overload_multiple
        * settings.parent_slow_start_initial_fraction
        * settings.overload_window_ms
        * capacity
    )
    assert sources.count(PARENTS[0]) * 500.0 <= allowed / settings.fleet_size
    assert sources.count(PARENTS[1]) > sources.count(PARENTS[0])


def test_a_node_long_started_is_warm(world: World) -> None:
    world.list(PARENTS[0], started_ms=world.now - 60_000.0)
    sources = {gets(world.ask(object_key=n))[0].source_id for n in range(60)}
    assert sources == set(PARENTS)


# -- 5. purges --


def test_no_copy_older_than_a_purge_will_do(world: World) -> None:
    assert gets(world.ask(object_key=9))[0].max_age_ms == 0.0
    held = gets(world.ask(object_key=9))[0]
    world.give(PurgeReceived(200.0, 0, 9), 1.0)
    sent = gets(world.ask(object_key=9, wait=50.0))[0]
    assert 0 < sent.max_age_ms < 250.0 and not sent.fetch_mode & 1
    again = gets(world.end(held, Outcome.RESET))[0]
    assert 0 < again.max_age_ms < 252.0


def test_a_purge_of_a_group_covers_its_objects(world: World) -> None:
    world.give(PurgeReceived(0.0, 3, 0))
    assert 0 < gets(world.ask(object_key=4, wait=0.0))[0].max_age_ms < 1.0
    assert gets(world.ask(object_key=4, group=2))[0].max_age_ms == 0.0


def test_the_youngest_purge_counts_and_is_forgotten_in_time(world: World) -> None:
    world.give(PurgeReceived(0.0, 0, 9))
    world.give(PurgeReceived(300.0, 0, 9), 100.0)
    assert gets(world.ask(object_key=9, wait=0.0))[0].max_age_ms < 100.1
    assert gets(world.ask(object_key=9, wait=5000.0))[0].max_age_ms > 0.0
    assert gets(world.ask(object_key=9, wait=10_000.0))[0].max_age_ms == 0.0


def test_the_class_limit_still_caps_the_age() -> None:
    world = World(make_settings(make_class(fresh_ms=1000.0, stale_ms=3000.0)))
    world.give(PurgeReceived(0.0, 0, 9))
    assert gets(world.ask(object_key=9, wait=3000.0))[0].max_age_ms == 1000.0


def test_many_purges_take_bounded_memory(world: World) -> None:
    for n in range(20_000):
        world.give(PurgeReceived(0.0, 0, n + 1), 10.0)
    assert len(world.director.state.purges._purged_at_ms) < 3000


def test_work_that_is_never_kept_goes_to_the_origin_unkept() -> None:
    world = keyed()
    get = gets(world.ask())[0]
    assert get.source_id == ORIGIN and get.cache_rank == 0


def test_list_made_of_nothing_but_origins_refuses() -> None:
    world = World(nodes=make_nodes()[-1:])
    assert isinstance(world.ask()[0], RejectRequest)

"""The five rules, each with a test that fails when its guard is taken out."""

from __future__ import annotations

import pytest
from conftest import CACHES, ORIGIN, PARENTS, World, gets, make_class, make_nodes, make_settings

from stonecove.routing.events import (
    Due,
    Effect,
    Fail,
    KeyGroup,
    Left,
    Listed,
    ListKind,
    NodeState,
    Note,
    Outcome,
    Purged,
    Refuse,
)

FINAL = (Refuse, Fail)


# -- 1. one final answer --


def test_timeout_at_the_deadline_is_answered_once(world: World) -> None:
    get = gets(world.ask())[0]
    actions = world.end(get, Outcome.TIMEOUT, 4000.0)
    assert [type(a) for a in actions if isinstance(a, FINAL)] == [Refuse]
    assert not gets(actions)
    assert world.give(Left(get.req)) == []


def test_nothing_goes_out_after_the_final_answer(world: World) -> None:
    get = gets(world.ask())[0]
    world.give(Left(get.req))
    assert world.give(Due(get.req), 2000.0) == []
    assert world.end(get, Outcome.CANCELLED, closed=True) == []


def test_no_second_copy_goes_out_at_the_deadline(world: World) -> None:
    asked = [gets(world.ask(key=1))[0] for _ in range(3)]
    world.now += 4500.0
    assert not any(gets(world.give(Due(get.req))) for get in asked)


def test_answer_calls_off_the_second_copy(world: World) -> None:
    first = gets(world.ask(key=1))[0]
    other = gets(world.ask(key=1))[0]
    assert first.node == other.node
    world.give(Due(first.req), 1500.0)
    second = gets(world.give(Due(other.req)))[0]
    assert second.node != other.node
    actions = world.end(second, attempt=1)
    assert [(a.req, a.attempt) for a in actions] == [(other.req, 0)]  # type: ignore[union-attr]


def test_no_more_attempts_than_allowed() -> None:
    world = World(make_settings(most_attempts=2))
    first = gets(world.ask())[0]
    second = gets(world.end(first, Outcome.CONNECT_FAILED))[0]
    last = world.end(second, Outcome.CONNECT_FAILED, attempt=1)
    assert isinstance(last[-1], Refuse) and not gets(last)


def test_pause_is_told_where_it_is_passed_on() -> None:
    for allowed, least, most in ((True, 400.0, 900.0), (False, 0.0, 0.0)):
        world = World(make_settings(may_pause=allowed), nodes=[])
        pauses = [act.pause for _ in range(20) for act in world.ask() if isinstance(act, Refuse)]
        assert len(pauses) == 20 and least <= min(pauses) and max(pauses) <= most


# -- 2. no effect twice --


def keyed(**changes: object) -> World:
    cls = make_class(effect=Effect.KEYED, never_kept=True, **changes)
    return World(make_settings(cls))


def test_unsafe_work_is_retried_only_when_it_surely_did_not_run() -> None:
    for outcome, again in ((Outcome.FULL, True), (Outcome.RESET, False), (Outcome.ERROR, False)):
        world = World(make_settings(make_class(effect=Effect.UNSAFE)))
        actions = world.end(gets(world.ask())[0], outcome)
        assert bool(gets(actions)) is again
        assert again or isinstance(actions[-1], Fail)


def test_keyed_work_is_not_resent_after_its_window() -> None:
    for wait, again in ((1500.0, True), (2500.0, False)):
        world = keyed()
        actions = world.end(gets(world.ask())[0], Outcome.RESET, wait)
        assert bool(gets(actions)) is again


def test_the_window_counts_from_the_first_attempt_that_may_have_run() -> None:
    world = keyed()
    asked = [gets(world.ask(key=1))[0] for _ in range(2)]
    world.give(Due(asked[0].req), 1200.0)
    second = gets(world.give(Due(asked[1].req)))[0]
    assert not gets(world.end(second, Outcome.RESET, 100.0, attempt=1))
    actions = world.end(asked[1], Outcome.RESET, 900.0)
    assert not gets(actions) and isinstance(actions[-1], Refuse)


def test_keyed_work_stays_within_its_cell() -> None:
    world = keyed(group=KeyGroup.CELL)
    get = gets(world.ask())[0]
    again = gets(world.end(get, Outcome.RESET))
    assert again and again[0].node % 2 == get.node % 2
    last = world.end(again[0], Outcome.RESET, 2500.0, attempt=1)
    assert isinstance(last[-1], Fail)


def test_no_second_copy_where_none_is_allowed() -> None:
    world = World(make_settings(second_copies=False))
    asked = [gets(world.ask(key=1))[0] for _ in range(3)]
    world.give(Due(asked[0].req), 1500.0)
    assert not any(gets(world.give(Due(get.req))) for get in asked)


# -- 3. drains --


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.GONE])
def test_nothing_new_goes_to_a_leaving_node(state: NodeState) -> None:
    world = World()
    get = gets(world.ask())[0]
    world.list(get.node, state=state)
    world.list(get.source, state=state)
    for key in range(20):
        for sent in gets(world.ask(key=key, size=1.0)):
            assert sent.node != get.node and sent.source != get.source
    again = gets(world.end(get, Outcome.RESET))
    assert again and again[0].node != get.node and again[0].source != get.source


def test_a_node_missing_from_a_full_list_is_gone(world: World) -> None:
    world.give(Listed(ListKind.FULL, tuple(n for n in world.nodes if n.node != CACHES[0])))
    assert all(gets(world.ask(key=key))[0].node != CACHES[0] for key in range(100))


def test_a_failed_list_call_changes_nothing(world: World) -> None:
    world.give(Listed(ListKind.FAILED, ()))
    assert gets(world.ask())


# -- 4. cold nodes --


def test_a_cold_cache_gets_no_more_than_its_budget() -> None:
    settings = make_settings()
    world = World(settings)
    for node in CACHES[1:]:
        world.list(node, state=NodeState.GONE)
    world.list(CACHES[0], started=world.now)
    work = sum(100.0 for n in range(400) for get in gets(world.ask(key=n, wait=1.0)) if get.node == CACHES[0])
    capacity = settings.zone_link[1] / settings.client_pace
    assert 0 < work <= settings.fall_multiple * settings.cold_from * settings.fall_window * capacity


def test_a_cold_parent_gets_no_more_than_its_budget() -> None:
    settings = make_settings()
    world = World(settings)
    world.list(PARENTS[0], started=world.now)
    sources = []
    for n in range(300):
        for get in gets(world.ask(key=n, wait=1.0, size=500.0)):
            sources.append(get.source)
            world.end(get, note=Note.FILLED)
    capacity = sum(settings.zone_link) / settings.client_pace / len(PARENTS)
    allowed = settings.parent_fall_multiple * settings.parent_cold_from * settings.fall_window * capacity
    assert sources.count(PARENTS[0]) * 500.0 <= allowed / settings.fleet
    assert sources.count(PARENTS[1]) > sources.count(PARENTS[0])


def test_a_node_long_started_is_warm(world: World) -> None:
    world.list(PARENTS[0], started=world.now - 60_000.0)
    sources = {gets(world.ask(key=n))[0].source for n in range(60)}
    assert sources == set(PARENTS)


# -- 5. purges --


def test_no_copy_older_than_a_purge_will_do(world: World) -> None:
    assert gets(world.ask(key=9))[0].age == 0.0
    held = gets(world.ask(key=9))[0]
    world.give(Purged(200.0, 0, 9), 1.0)
    sent = gets(world.ask(key=9, wait=50.0))[0]
    assert 0 < sent.age < 250.0 and not sent.how & 1
    again = gets(world.end(held, Outcome.RESET))[0]
    assert 0 < again.age < 252.0


def test_a_purge_of_a_group_covers_its_objects(world: World) -> None:
    world.give(Purged(0.0, 3, 0))
    assert 0 < gets(world.ask(key=4, wait=0.0))[0].age < 1.0
    assert gets(world.ask(key=4, group=2))[0].age == 0.0


def test_the_youngest_purge_counts_and_is_forgotten_in_time(world: World) -> None:
    world.give(Purged(0.0, 0, 9))
    world.give(Purged(300.0, 0, 9), 100.0)
    assert gets(world.ask(key=9, wait=0.0))[0].age < 100.1
    assert gets(world.ask(key=9, wait=5000.0))[0].age > 0.0
    assert gets(world.ask(key=9, wait=10_000.0))[0].age == 0.0


def test_the_class_limit_still_caps_the_age() -> None:
    world = World(make_settings(make_class(fresh=1000.0, stale=3000.0)))
    world.give(Purged(0.0, 0, 9))
    assert gets(world.ask(key=9, wait=3000.0))[0].age == 1000.0


def test_many_purges_take_bounded_memory(world: World) -> None:
    for n in range(20_000):
        world.give(Purged(0.0, 0, n + 1), 10.0)
    assert len(world.director._purges._moments) < 3000


def test_work_that_is_never_kept_goes_to_the_origin_unkept() -> None:
    world = keyed()
    get = gets(world.ask())[0]
    assert get.source == ORIGIN and get.keep == 0


def test_list_made_of_nothing_but_origins_refuses() -> None:
    world = World(nodes=make_nodes()[-1:])
    assert isinstance(world.ask()[0], Refuse)

"""Other settings for a decision module that runs: what holds from then on, and what is kept."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest
from conftest import CACHES, PARENTS, World, gets, make_class, make_nodes, make_settings

from stonecove.routing.actions import Action, FailRequest, RejectRequest, SendAttempt, StartTimer
from stonecove.routing.class_statistics import MeanWork
from stonecove.routing.endpoints import EndpointListKind, NodeState
from stonecove.routing.events import (
    AttemptEnded,
    CacheStatus,
    ClientDisconnected,
    EndpointListUpdate,
    FleetSizeChanged,
    Outcome,
    PurgeReceived,
    RequestReceived,
    SettingsChanged,
    TimerExpired,
)
from stonecove.routing.popularity import MIN_REQUESTS_FOR_RANKING, Popularity
from stonecove.routing.purges import PURGE_RETENTION_MARGIN, PurgeHistory
from stonecove.routing.rendezvous import RendezvousHash
from stonecove.routing.settings import Idempotency, Settings


def told(world: World, settings: Settings) -> None:
    assert world.give(SettingsChanged(settings)) == []


def dues(actions: list[Action]) -> list[float]:
    return [act.expires_at_ms for act in actions if isinstance(act, StartTimer)]


# -- what comes later goes by the new settings --


def test_the_aim_holds_for_later_requests_and_open_ones_keep_theirs(world: World) -> None:
    early = world.ask(object_key=1, size_kb=10.0)
    told(world, make_settings(make_class(latency_objective_ms=100.0, objective_stretch=0.0)))
    late = world.ask(object_key=2, size_kb=10.0)
    assert dues(early)[0] - world.now > 400.0 and dues(late)[0] - world.now < 100.0
    again = gets(world.end(gets(early)[0], Outcome.CONNECT_FAILED))
    assert again and again[0].deadline_ms == gets(early)[0].deadline_ms  # and the deadline that was told


def test_an_open_request_keeps_its_effect(world: World) -> None:
    get = gets(world.ask())[0]
    told(world, make_settings(make_class(idempotency=Idempotency.NON_IDEMPOTENT)))
    assert gets(world.end(get, Outcome.RESET))  # it was taken in as one that does no harm twice
    later = gets(world.ask(object_key=9))[0]
    assert world.end(later, Outcome.RESET) == [FailRequest(later.request_id)]


def test_attempts_are_bounded_by_what_holds_now(world: World) -> None:
    told(world, make_settings(max_attempts=1))
    get = gets(world.ask())[0]
    assert not gets(world.end(get, Outcome.CONNECT_FAILED))
    told(world, make_settings())
    get = gets(world.ask())[0]
    assert gets(world.end(get, Outcome.CONNECT_FAILED))


def test_a_class_that_is_appended_is_served(world: World) -> None:
    assert world.ask(class_index=1) == [RejectRequest(1, 0.0)]
    told(world, make_settings(make_class(), make_class(name="new")))
    assert gets(world.ask(class_index=1)) and gets(world.ask(class_index=0))


def test_the_aim_stands_for_work_that_is_not_known_yet(world: World) -> None:
    told(world, make_settings(make_class(latency_objective_ms=50.0)))
    assert world.director.state.statistics.mean_work == [MeanWork(0.0, 50.0)]
    world.ask(size_kb=200.0)
    told(world, make_settings(make_class(latency_objective_ms=70.0)))
    assert world.director.state.statistics.mean_work == [MeanWork(1.0, 200.0)]


def test_weights_hold_from_now_on(world: World) -> None:
    heavy = [node._replace(weight=50.0 if node.node_id == CACHES[0] else 1.0) for node in world.nodes]
    world.give(EndpointListUpdate(EndpointListKind.SNAPSHOT, tuple(heavy)))
    caches = [node for node in heavy if node.node_id in CACHES]
    for weighted in (False, True, False):
        told(world, make_settings(weights_known=weighted))
        homes = RendezvousHash(caches, weighted)
        assert all(world.director.state.endpoints.caches.order(key) == homes.order(key) for key in range(60))


# -- what was learned stays --


def test_an_ejected_cache_stays_ejected_and_others_are_asked(world: World) -> None:
    get = gets(world.ask())[0]
    world.end(get, Outcome.CONNECT_FAILED)
    told(world, make_settings(connect_timeout_ms=5000.0))
    assert all(gets(world.ask(object_key=key))[0].node_id != get.node_id for key in range(40))
    world.now += 1250.0  # the pause was begun under the old time-out, and ends by it
    assert any(gets(world.ask(object_key=key))[0].node_id == get.node_id for key in range(40))


def test_popular_objects_keep_their_rank(world: World) -> None:
    for n in range(MIN_REQUESTS_FOR_RANKING * 6):
        get = gets(world.ask(object_key=n % 3 if n % 4 else 1000 + n))[0]
        world.end(get, note=CacheStatus.HIT)
    popularity = world.director.state.popularity
    ranks = {key: popularity.cache_rank(key) for key in (*range(3), 1000, 1004)}
    told(world, make_settings(slow_start_ms=90_000.0, purge_settled_ms=1000.0))
    assert {key: popularity.cache_rank(key) for key in ranks} == ranks and set(ranks.values()) >= {0}


@pytest.mark.parametrize("half_life", [500.0, 1000.0, 80_000.0])
def test_counts_go_on_from_what_they_are_worth(half_life: float) -> None:
    popularity = Popularity(1000.0)
    for n in range(100):
        popularity.record_request(100_000.0 + n * 30.0, 1, 10.0, 0)
    now = 103_000.0
    before = popularity._current_weight(now)
    popularity.set_half_life(now, half_life)
    assert popularity._current_weight(now) == pytest.approx(before)
    assert popularity._current_weight(now + half_life) == pytest.approx(2 * before)


def cold_world(**changes: float) -> World:
    cold = [node._replace(started_ms=99_900.0) if node.kind == 0 else node for node in make_nodes()]
    return World(make_settings(**changes), cold)


def flood(world: World, count: int = 600) -> int:
    """How many of so many requests, all at one moment, are sent to the cold caches."""
    return sum(len(gets(world.ask(object_key=n, wait=0.0, size_kb=20.0))) for n in range(count))


def test_a_cold_cache_gets_no_second_budget() -> None:
    world = cold_world()
    assert 0 < flood(world) < 600
    for multiple in (2.0, 1.0, 2.0):
        told(world, make_settings(overload_multiple=multiple, max_attempts=8))
        assert flood(world) == 0
    once = cold_world(overload_multiple=4.0)
    most = flood(once)
    told(world, make_settings(overload_multiple=4.0))
    first = charged(world)
    flood(world)
    total = charged(world)
    alone = charged(once)
    assert most > 0 and first < total <= alone * 1.05  # what was sent before counts in the larger budget


def charged(world: World) -> float:
    budget = world.director.state.cache_budget
    return sum(charge.work_ms for charges in budget.charges.values() for charge in charges)


def limit_now(world: World, key: int, group: int = 3) -> float:
    return world.director.state.purges.max_age_ms(world.now, key, group)


def test_a_purge_that_was_told_stays_guarded_though_the_times_get_shorter(world: World) -> None:
    lasts = 5000.0 * PURGE_RETENTION_MARGIN + 500.0
    world.give(PurgeReceived(0.0, 0, 5))
    told(world, make_settings(purge_settled_ms=100.0, purge_grace_ms=10.0))
    world.now += lasts - 1.0
    get = gets(world.ask(object_key=5, wait=0.0))[0]
    assert 0.0 < get.max_age_ms <= lasts
    world.now += 2.0
    world.give(PurgeReceived(0.0, 0, 6))  # all that was purged before is over
    world.now += 100.0 * PURGE_RETENTION_MARGIN + 10.0
    assert (
        limit_now(world, 6) == limit_now(world, 5) == math.inf
    )  # and what comes later goes by the new times


def test_a_purge_is_guarded_longer_once_copies_last_longer(world: World) -> None:
    world.give(PurgeReceived(0.0, 0, 5))
    told(world, make_settings(purge_settled_ms=20_000.0))
    world.now += 25_000.0
    assert gets(world.ask(object_key=5, wait=0.0))[0].max_age_ms > 0.0


def test_the_table_of_purges_stays_bounded_however_often_settings_change() -> None:
    purges = PurgeHistory()
    purges.configure(0.0, 1000.0)
    for n in range(2000):
        purges.record(n * 10.0, PurgeReceived(0.0, 0, n + 1))
        purges.configure(n * 10.0, 1000.0)
    assert len(purges._purged_at_ms) <= 210


def test_links_keep_what_was_learned_in_proportion(world: World) -> None:
    world.ask()
    director = world.director
    cache = next(iter(director.state.link_loads.values()))
    cache.capacity, before = cache.capacity * 0.5, cache.capacity
    director.state.zone_link.capacity *= 2.0
    link = director.state.zone_link.capacity
    told(world, make_settings(zone_link_kb_per_s=(0.0, 40_000.0, 20_000.0)))
    assert cache.capacity == pytest.approx(before) and director.state.zone_link.capacity == pytest.approx(
        2 * link
    )
    told(world, make_settings())
    assert cache.capacity == pytest.approx(before / 2) and director.state.zone_link.capacity == pytest.approx(
        link
    )


def test_the_same_settings_change_nothing(world: World) -> None:
    twin = World()
    for n in range(300):
        if n % 10 == 0:
            told(world, make_settings())
        ours, theirs = world.ask(object_key=n % 17), twin.ask(object_key=n % 17)
        assert ours == theirs
        if n % 3:
            outcome = Outcome.OK if n % 7 else Outcome.RESET
            assert world.end(gets(ours)[0], outcome, note=CacheStatus.HIT) == twin.end(
                gets(theirs)[0], outcome, note=CacheStatus.HIT
            )


# -- numbers of directors go the same way --


def test_a_share_that_goes_down_and_up_again_is_what_it_was() -> None:
    world = World(make_settings(weights_known=True))
    world.ask()
    loads = world.director.state.link_loads
    before = {node: load.capacity for node, load in loads.items()}
    for _ in range(10):
        world.give(FleetSizeChanged(8, (0, 8, 0)))
        world.give(FleetSizeChanged(2, (0, 1, 1)))
    assert {node: load.capacity for node, load in loads.items()} == before


def test_links_of_parents_go_by_all_directors_and_not_by_those_of_the_zone(world: World) -> None:
    world.ask()
    source = next(node for node in world.director.state.link_loads if node in PARENTS)
    before = world.director.state.link_loads[source].capacity
    assert before > 4.0
    world.give(FleetSizeChanged(4, (0, 1, 3)))  # twice as many in all, as many in our zone
    assert world.director.state.link_loads[source].capacity == pytest.approx(before / 2)


# -- any order --


class Play:
    """Seeded events of all kinds, as a router would tell them; judges each answer and each copy."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.classes = [
            make_class(),
            make_class(name="act", idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True),
        ]
        self.world = World(make_settings(*self.classes))
        self.open: dict[int, RequestReceived] = {}
        self.out: dict[int, list[SendAttempt]] = {}
        self.pending: dict[tuple[int, int], SendAttempt] = {}
        self.purged: dict[int, float] = {}  # by object: until when, by the times that held when it was told
        self.moments: dict[int, float] = {}
        self.lasts = 5000.0
        self.timers: list[tuple[float, int]] = []
        self.answers = 0

    def take(self, actions: list[Action]) -> None:
        for act in actions:
            if isinstance(act, SendAttempt):
                self.judge(act)
                attempts = self.out[act.request_id]
                self.pending[act.request_id, len(attempts)] = act
                attempts.append(act)
            elif isinstance(act, (RejectRequest, FailRequest)):
                self.answered(act.request_id)
            elif isinstance(act, StartTimer):
                self.timers.append((act.expires_at_ms, act.token))

    def answered(self, req: int) -> None:
        assert req in self.open, "a second final answer, or one that is not owed"
        del self.open[req]
        self.answers += 1

    def judge(self, get: SendAttempt) -> None:
        """No copy that may be older than a purge."""
        request, now = self.open[get.request_id], self.world.now
        if request.class_index == 0 and now < self.purged.get(request.object_key, 0.0):
            assert 0.0 < get.max_age_ms <= max(now - self.moments[request.object_key], 0.001)

    def step(self) -> None:
        random, world = self.random, self.world
        world.now += random.expovariate(1 / 20.0)
        for at, token in [one for one in self.timers if one[0] <= world.now]:
            self.timers.remove((at, token))
            self.take(world.give(TimerExpired(token)))
        kind = random.choices(
            ["ask", "end", "purge", "list", "settings", "peers", "left"], [10, 12, 1, 1, 2, 1, 1]
        )
        getattr(self, kind[0])()

    def ask(self) -> None:
        self.world.next += 1
        request = RequestReceived(
            self.world.next,
            self.random.randrange(len(self.classes) + 1),
            self.random.randrange(1, 12),
            self.random.choice([200.0, 4000.0]),
            100.0,
            3,
            0,
        )
        self.open[request.request_id], self.out[request.request_id] = request, []
        self.take(self.world.give(request))

    def end(self) -> None:
        if not self.pending:
            return
        req, number = self.random.choice(list(self.pending))
        get = self.pending.pop((req, number))
        outcome = self.random.choice(
            [Outcome.OK, Outcome.OK, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.MISS]
        )
        if outcome is Outcome.OK and req in self.open:
            self.answered(req)
        self.take(
            self.world.give(
                AttemptEnded(req, number, get.node_id, outcome, 30.0, outcome is Outcome.OK, 0, 0.0, ())
            )
        )

    def purge(self) -> None:
        key, now = self.random.randrange(1, 12), self.world.now
        self.moments[key], self.purged[key] = now, max(self.purged.get(key, 0.0), now + self.lasts)
        self.take(self.world.give(PurgeReceived(0.0, 0, key)))

    def list(self) -> None:
        node = self.random.choice(self.world.nodes)
        state = self.random.choice([NodeState.READY, NodeState.READY, NodeState.DRAINING, NodeState.REMOVED])
        started = self.random.choice([0.0, self.world.now])
        self.take(
            self.world.give(
                EndpointListUpdate(EndpointListKind.DELTA, (node._replace(state=state, started_ms=started),))
            )
        )

    def settings(self) -> None:
        random = self.random
        if random.random() < 0.05:
            self.classes.append(make_class(name=f"c{len(self.classes)}"))
        aim = random.choice([1.0, 700.0, 4000.0])
        self.classes = [replace(cls, latency_objective_ms=aim) for cls in self.classes]
        self.lasts = random.choice([100.0, 5000.0, 30_000.0])
        settings = make_settings(
            *self.classes,
            purge_settled_ms=self.lasts,
            max_attempts=random.choice([1, 4, 8]),
            connect_timeout_ms=random.choice([10.0, 300.0]),
            zone_link_kb_per_s=(0.0, random.choice([0.0, 20_000.0]), 0.0),
            weights_known=random.random() < 0.5,
            hedging_allowed=random.random() < 0.5,
            slow_start_ms=random.choice([0.0, 10_000.0]),
            overload_multiple=random.choice([0.5, 2.0]),
            fleet_size=random.choice([1, 5]),
        )
        told(self.world, settings)

    def peers(self) -> None:
        self.take(
            self.world.give(
                FleetSizeChanged(self.random.randrange(1, 5), (0, self.random.randrange(1, 4), 1))
            )
        )

    def left(self) -> None:
        if self.open:
            req = self.random.choice(list(self.open))
            del self.open[req]
            self.take(self.world.give(ClientDisconnected(req)))


@pytest.mark.parametrize("seed", range(12))
def test_any_order_gives_one_answer_each_and_nothing_older_than_a_purge(seed: int) -> None:
    play = Play(seed)
    for _ in range(1500):
        play.step()
    play.world.now += 60_000.0
    while play.pending:
        (req, number), get = play.pending.popitem()
        over = req not in play.open
        play.take(
            play.world.give(AttemptEnded(req, number, get.node_id, Outcome.TIMEOUT, 30.0, over, 0, 0.0, ()))
        )
    assert not play.open and play.answers > 200
    assert not play.world.director.state.in_flight
    assert all(load.in_flight == 0 for load in play.world.director.state.link_loads.values())

"""Test changes of the settings of a running decision module: what applies, and what is retained."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest
from conftest import CACHES, PARENTS, DirectorHarness, make_class, make_nodes, make_settings, sent_attempts

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


def apply_settings(harness: DirectorHarness, settings: Settings) -> None:
    assert harness.deliver(SettingsChanged(settings)) == []


def timer_deadlines(actions: list[Action]) -> list[float]:
    return [act.expires_at_ms for act in actions if isinstance(act, StartTimer)]


# -- new settings apply to later events --


def test_the_latency_objective_applies_to_later_requests_and_open_ones_keep_theirs(
    harness: DirectorHarness,
) -> None:
    early = harness.request(object_key=1, size_kb=10.0)
    apply_settings(harness, make_settings(make_class(latency_objective_ms=100.0, objective_stretch=0.0)))
    late = harness.request(object_key=2, size_kb=10.0)
    assert (
        timer_deadlines(early)[0] - harness.now_ms > 400.0
        and timer_deadlines(late)[0] - harness.now_ms < 100.0
    )
    again = sent_attempts(harness.end_attempt(sent_attempts(early)[0], Outcome.CONNECT_FAILED))
    assert (
        again and again[0].deadline_ms == sent_attempts(early)[0].deadline_ms
    )  # and the deadline is unchanged


def test_an_open_request_keeps_its_idempotency(harness: DirectorHarness) -> None:
    get = sent_attempts(harness.request())[0]
    apply_settings(harness, make_settings(make_class(idempotency=Idempotency.NON_IDEMPOTENT)))
    assert sent_attempts(harness.end_attempt(get, Outcome.RESET))  # it was accepted as idempotent
    later = sent_attempts(harness.request(object_key=9))[0]
    assert harness.end_attempt(later, Outcome.RESET) == [FailRequest(later.request_id)]


def test_attempts_are_limited_by_the_present_settings(harness: DirectorHarness) -> None:
    apply_settings(harness, make_settings(max_attempts=1))
    get = sent_attempts(harness.request())[0]
    assert not sent_attempts(harness.end_attempt(get, Outcome.CONNECT_FAILED))
    apply_settings(harness, make_settings())
    get = sent_attempts(harness.request())[0]
    assert sent_attempts(harness.end_attempt(get, Outcome.CONNECT_FAILED))


def test_a_class_that_is_appended_is_served(harness: DirectorHarness) -> None:
    assert harness.request(class_index=1) == [RejectRequest(1, 0.0)]
    apply_settings(harness, make_settings(make_class(), make_class(name="new")))
    assert sent_attempts(harness.request(class_index=1)) and sent_attempts(harness.request(class_index=0))


def test_the_latency_objective_replaces_unknown_mean_work(harness: DirectorHarness) -> None:
    apply_settings(harness, make_settings(make_class(latency_objective_ms=50.0)))
    assert harness.director.state.statistics.mean_work == [MeanWork(0.0, 50.0)]
    harness.request(size_kb=200.0)
    apply_settings(harness, make_settings(make_class(latency_objective_ms=70.0)))
    assert harness.director.state.statistics.mean_work == [MeanWork(1.0, 200.0)]


def test_weights_apply_at_once(harness: DirectorHarness) -> None:
    heavy = [node._replace(weight=50.0 if node.node_id == CACHES[0] else 1.0) for node in harness.nodes]
    harness.deliver(EndpointListUpdate(EndpointListKind.SNAPSHOT, tuple(heavy)))
    caches = [node for node in heavy if node.node_id in CACHES]
    for weighted in (False, True, False):
        apply_settings(harness, make_settings(weights_known=weighted))
        homes = RendezvousHash(caches, weighted)
        assert all(
            harness.director.state.endpoints.caches.order(key) == homes.order(key) for key in range(60)
        )


# -- learned state is retained --


def test_an_ejected_cache_stays_ejected_and_others_are_used(harness: DirectorHarness) -> None:
    get = sent_attempts(harness.request())[0]
    harness.end_attempt(get, Outcome.CONNECT_FAILED)
    apply_settings(harness, make_settings(connect_timeout_ms=5000.0))
    assert all(sent_attempts(harness.request(object_key=key))[0].node_id != get.node_id for key in range(40))
    harness.now_ms += 1250.0  # the ejection began under the old time-out, and ends by it
    assert any(sent_attempts(harness.request(object_key=key))[0].node_id == get.node_id for key in range(40))


def test_popular_objects_keep_their_rank(harness: DirectorHarness) -> None:
    for n in range(MIN_REQUESTS_FOR_RANKING * 6):
        get = sent_attempts(harness.request(object_key=n % 3 if n % 4 else 1000 + n))[0]
        harness.end_attempt(get, cache_status=CacheStatus.HIT)
    popularity = harness.director.state.popularity
    ranks = {key: popularity.cache_rank(key) for key in (*range(3), 1000, 1004)}
    apply_settings(harness, make_settings(slow_start_ms=90_000.0, purge_settled_ms=1000.0))
    assert {key: popularity.cache_rank(key) for key in ranks} == ranks and set(ranks.values()) >= {0}


@pytest.mark.parametrize("half_life", [500.0, 1000.0, 80_000.0])
def test_popularity_keeps_its_present_value_when_the_half_life_changes(half_life: float) -> None:
    popularity = Popularity(1000.0)
    for n in range(100):
        popularity.record_request(100_000.0 + n * 30.0, 1, 10.0, 0)
    now = 103_000.0
    before = popularity._current_weight(now)
    popularity.set_half_life(now, half_life)
    assert popularity._current_weight(now) == pytest.approx(before)
    assert popularity._current_weight(now + half_life) == pytest.approx(2 * before)


def warming_world(**changes: float) -> DirectorHarness:
    nodes = [node._replace(started_ms=99_900.0) if node.kind == 0 else node for node in make_nodes()]
    return DirectorHarness(make_settings(**changes), nodes)


def send_burst(harness: DirectorHarness, count: int = 600) -> int:
    """Return how many of `count` simultaneous requests are sent to the caches that are warming up."""
    return sum(
        len(sent_attempts(harness.request(object_key=n, wait_ms=0.0, size_kb=20.0))) for n in range(count)
    )


def test_a_cache_that_warms_up_gets_no_second_budget() -> None:
    harness = warming_world()
    assert 0 < send_burst(harness) < 600
    for multiple in (2.0, 1.0, 2.0):
        apply_settings(harness, make_settings(overload_multiple=multiple, max_attempts=8))
        assert send_burst(harness) == 0
    reference = warming_world(overload_multiple=4.0)
    most = send_burst(reference)
    apply_settings(harness, make_settings(overload_multiple=4.0))
    first = charged_work_ms(harness)
    send_burst(harness)
    total = charged_work_ms(harness)
    alone = charged_work_ms(reference)
    assert most > 0 and first < total <= alone * 1.05  # work sent before counts towards the larger budget


def charged_work_ms(harness: DirectorHarness) -> float:
    budget = harness.director.state.cache_budget
    return sum(charge.work_ms for charges in budget.charges.values() for charge in charges)


def current_max_age_ms(harness: DirectorHarness, key: int, group: int = 3) -> float:
    return harness.director.state.purges.max_age_ms(harness.now_ms, key, group)


def test_an_earlier_purge_stays_enforced_when_the_retention_is_shortened(harness: DirectorHarness) -> None:
    retention = 5000.0 * PURGE_RETENTION_MARGIN + 500.0
    harness.deliver(PurgeReceived(0.0, 0, 5))
    apply_settings(harness, make_settings(purge_settled_ms=100.0, purge_grace_ms=10.0))
    harness.now_ms += retention - 1.0
    get = sent_attempts(harness.request(object_key=5, wait_ms=0.0))[0]
    assert 0.0 < get.max_age_ms <= retention
    harness.now_ms += 2.0
    harness.deliver(PurgeReceived(0.0, 0, 6))  # earlier purges have expired
    harness.now_ms += 100.0 * PURGE_RETENTION_MARGIN + 10.0
    assert (
        current_max_age_ms(harness, 6) == current_max_age_ms(harness, 5) == math.inf
    )  # and later purges go by the new times


def test_a_purge_is_enforced_longer_when_the_retention_is_extended(harness: DirectorHarness) -> None:
    harness.deliver(PurgeReceived(0.0, 0, 5))
    apply_settings(harness, make_settings(purge_settled_ms=20_000.0))
    harness.now_ms += 25_000.0
    assert sent_attempts(harness.request(object_key=5, wait_ms=0.0))[0].max_age_ms > 0.0


def test_the_table_of_purges_stays_bounded_however_often_settings_change() -> None:
    purges = PurgeHistory()
    purges.configure(0.0, 1000.0)
    for n in range(2000):
        purges.record(n * 10.0, PurgeReceived(0.0, 0, n + 1))
        purges.configure(n * 10.0, 1000.0)
    assert len(purges._purged_at_ms) <= 210


def test_links_scale_their_estimates_in_proportion(harness: DirectorHarness) -> None:
    harness.request()
    director = harness.director
    cache = next(iter(director.state.link_loads.values()))
    cache.capacity, before = cache.capacity * 0.5, cache.capacity
    director.state.zone_link.capacity *= 2.0
    link = director.state.zone_link.capacity
    apply_settings(harness, make_settings(zone_link_kb_per_s=(0.0, 40_000.0, 20_000.0)))
    assert cache.capacity == pytest.approx(before) and director.state.zone_link.capacity == pytest.approx(
        2 * link
    )
    apply_settings(harness, make_settings())
    assert cache.capacity == pytest.approx(before / 2) and director.state.zone_link.capacity == pytest.approx(
        link
    )


def test_the_same_settings_change_nothing(harness: DirectorHarness) -> None:
    twin = DirectorHarness()
    for n in range(300):
        if n % 10 == 0:
            apply_settings(harness, make_settings())
        actions, twin_actions = harness.request(object_key=n % 17), twin.request(object_key=n % 17)
        assert actions == twin_actions
        if n % 3:
            outcome = Outcome.OK if n % 7 else Outcome.RESET
            assert harness.end_attempt(
                sent_attempts(actions)[0], outcome, cache_status=CacheStatus.HIT
            ) == twin.end_attempt(sent_attempts(twin_actions)[0], outcome, cache_status=CacheStatus.HIT)


# -- changes of the number of routers --


def test_a_share_that_shrinks_and_grows_again_is_restored() -> None:
    harness = DirectorHarness(make_settings(weights_known=True))
    harness.request()
    loads = harness.director.state.link_loads
    before = {node: load.capacity for node, load in loads.items()}
    for _ in range(10):
        harness.deliver(FleetSizeChanged(8, (0, 8, 0)))
        harness.deliver(FleetSizeChanged(2, (0, 1, 1)))
    assert {node: load.capacity for node, load in loads.items()} == before


def test_links_of_parents_depend_on_all_routers_and_not_on_those_of_the_zone(
    harness: DirectorHarness,
) -> None:
    harness.request()
    source = next(node for node in harness.director.state.link_loads if node in PARENTS)
    before = harness.director.state.link_loads[source].capacity
    assert before > 4.0
    harness.deliver(FleetSizeChanged(4, (0, 1, 3)))  # twice as many in all, as many in the router's zone
    assert harness.director.state.link_loads[source].capacity == pytest.approx(before / 2)


# -- random sequences --


class RandomSequence:
    """Plays seeded events of all kinds, as a router would report them; checks each answer and each copy."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.classes = [
            make_class(),
            make_class(name="act", idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True),
        ]
        self.harness = DirectorHarness(make_settings(*self.classes))
        self.open: dict[int, RequestReceived] = {}
        self.attempts: dict[int, list[SendAttempt]] = {}
        self.pending: dict[tuple[int, int], SendAttempt] = {}
        self.purged: dict[int, float] = {}  # end of enforcement by object, set at the time of the purge
        self.purged_at: dict[int, float] = {}
        self.retention_ms = 5000.0
        self.timers: list[tuple[float, int]] = []
        self.answers = 0

    def take(self, actions: list[Action]) -> None:
        for act in actions:
            if isinstance(act, SendAttempt):
                self.check_age(act)
                attempts = self.attempts[act.request_id]
                self.pending[act.request_id, len(attempts)] = act
                attempts.append(act)
            elif isinstance(act, (RejectRequest, FailRequest)):
                self.answered(act.request_id)
            elif isinstance(act, StartTimer):
                self.timers.append((act.expires_at_ms, act.token))

    def answered(self, req: int) -> None:
        assert req in self.open, "a second final answer, or one without an open request"
        del self.open[req]
        self.answers += 1

    def check_age(self, get: SendAttempt) -> None:
        """Check that no copy older than a purge may be used."""
        request, now = self.open[get.request_id], self.harness.now_ms
        if request.class_index == 0 and now < self.purged.get(request.object_key, 0.0):
            assert 0.0 < get.max_age_ms <= max(now - self.purged_at[request.object_key], 0.001)

    def step(self) -> None:
        random, harness = self.random, self.harness
        harness.now_ms += random.expovariate(1 / 20.0)
        for at, token in [timer for timer in self.timers if timer[0] <= harness.now_ms]:
            self.timers.remove((at, token))
            self.take(harness.deliver(TimerExpired(token)))
        kind = random.choices(
            ["ask", "end", "purge", "list", "settings", "peers", "left"], [10, 12, 1, 1, 2, 1, 1]
        )
        getattr(self, kind[0])()

    def ask(self) -> None:
        self.harness.last_request_id += 1
        request = RequestReceived(
            self.harness.last_request_id,
            self.random.randrange(len(self.classes) + 1),
            self.random.randrange(1, 12),
            self.random.choice([200.0, 4000.0]),
            100.0,
            3,
            0,
        )
        self.open[request.request_id], self.attempts[request.request_id] = request, []
        self.take(self.harness.deliver(request))

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
            self.harness.deliver(
                AttemptEnded(req, number, get.node_id, outcome, 30.0, outcome is Outcome.OK, 0, 0.0, ())
            )
        )

    def purge(self) -> None:
        key, now = self.random.randrange(1, 12), self.harness.now_ms
        self.purged_at[key], self.purged[key] = now, max(self.purged.get(key, 0.0), now + self.retention_ms)
        self.take(self.harness.deliver(PurgeReceived(0.0, 0, key)))

    def list(self) -> None:
        node = self.random.choice(self.harness.nodes)
        state = self.random.choice([NodeState.READY, NodeState.READY, NodeState.DRAINING, NodeState.REMOVED])
        started = self.random.choice([0.0, self.harness.now_ms])
        self.take(
            self.harness.deliver(
                EndpointListUpdate(EndpointListKind.DELTA, (node._replace(state=state, started_ms=started),))
            )
        )

    def settings(self) -> None:
        random = self.random
        if random.random() < 0.05:
            self.classes.append(make_class(name=f"c{len(self.classes)}"))
        objective_ms = random.choice([1.0, 700.0, 4000.0])
        self.classes = [replace(cls, latency_objective_ms=objective_ms) for cls in self.classes]
        self.retention_ms = random.choice([100.0, 5000.0, 30_000.0])
        settings = make_settings(
            *self.classes,
            purge_settled_ms=self.retention_ms,
            max_attempts=random.choice([1, 4, 8]),
            connect_timeout_ms=random.choice([10.0, 300.0]),
            zone_link_kb_per_s=(0.0, random.choice([0.0, 20_000.0]), 0.0),
            weights_known=random.random() < 0.5,
            hedging_allowed=random.random() < 0.5,
            slow_start_ms=random.choice([0.0, 10_000.0]),
            overload_multiple=random.choice([0.5, 2.0]),
            fleet_size=random.choice([1, 5]),
        )
        apply_settings(self.harness, settings)

    def peers(self) -> None:
        self.take(
            self.harness.deliver(
                FleetSizeChanged(self.random.randrange(1, 5), (0, self.random.randrange(1, 4), 1))
            )
        )

    def left(self) -> None:
        if self.open:
            req = self.random.choice(list(self.open))
            del self.open[req]
            self.take(self.harness.deliver(ClientDisconnected(req)))


@pytest.mark.parametrize("seed", range(12))
def test_any_order_gives_one_answer_each_and_nothing_older_than_a_purge(seed: int) -> None:
    sequence = RandomSequence(seed)
    for _ in range(1500):
        sequence.step()
    sequence.harness.now_ms += 60_000.0
    while sequence.pending:
        (req, number), get = sequence.pending.popitem()
        ended = req not in sequence.open
        sequence.take(
            sequence.harness.deliver(
                AttemptEnded(req, number, get.node_id, Outcome.TIMEOUT, 30.0, ended, 0, 0.0, ())
            )
        )
    assert not sequence.open and sequence.answers > 200
    assert not sequence.harness.director.state.in_flight
    assert all(load.in_flight == 0 for load in sequence.harness.director.state.link_loads.values())

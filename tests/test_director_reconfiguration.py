"""Test changes of the settings of a running director: which values apply, and which state is retained."""

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
    return [action.expires_at_ms for action in actions if isinstance(action, StartTimer)]


# -- new settings apply to later events --


def test_latency_objective_applies_to_later_requests_only(
    harness: DirectorHarness,
) -> None:
    early = harness.request(object_key=1, size_kb=10.0)
    apply_settings(harness, make_settings(make_class(latency_objective_ms=100.0, objective_stretch=0.0)))
    late = harness.request(object_key=2, size_kb=10.0)
    assert (
        timer_deadlines(early)[0] - harness.now_ms > 400.0
        and timer_deadlines(late)[0] - harness.now_ms < 100.0
    )
    retries = sent_attempts(harness.end_attempt(sent_attempts(early)[0], Outcome.CONNECT_FAILED))
    # the deadline is unchanged
    assert retries and retries[0].deadline_ms == sent_attempts(early)[0].deadline_ms


def test_open_request_keeps_its_idempotency(harness: DirectorHarness) -> None:
    attempt = sent_attempts(harness.request())[0]
    apply_settings(harness, make_settings(make_class(idempotency=Idempotency.NON_IDEMPOTENT)))
    # the request was accepted as idempotent
    assert sent_attempts(harness.end_attempt(attempt, Outcome.RESET))
    later = sent_attempts(harness.request(object_key=9))[0]
    assert harness.end_attempt(later, Outcome.RESET) == [FailRequest(later.request_id)]


def test_attempts_are_limited_by_current_settings(harness: DirectorHarness) -> None:
    apply_settings(harness, make_settings(max_attempts=1))
    attempt = sent_attempts(harness.request())[0]
    assert not sent_attempts(harness.end_attempt(attempt, Outcome.CONNECT_FAILED))
    apply_settings(harness, make_settings())
    attempt = sent_attempts(harness.request())[0]
    assert sent_attempts(harness.end_attempt(attempt, Outcome.CONNECT_FAILED))


def test_appended_class_is_served(harness: DirectorHarness) -> None:
    assert harness.request(class_index=1) == [RejectRequest(1, 0.0)]
    apply_settings(harness, make_settings(make_class(), make_class(name="new")))
    assert sent_attempts(harness.request(class_index=1)) and sent_attempts(harness.request(class_index=0))


def test_latency_objective_replaces_unknown_mean_work(harness: DirectorHarness) -> None:
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


def test_ejected_cache_stays_ejected_and_others_are_used(harness: DirectorHarness) -> None:
    attempt = sent_attempts(harness.request())[0]
    harness.end_attempt(attempt, Outcome.CONNECT_FAILED)
    apply_settings(harness, make_settings(connect_timeout_ms=5000.0))
    assert all(
        sent_attempts(harness.request(object_key=key))[0].node_id != attempt.node_id for key in range(40)
    )
    harness.now_ms += 1250.0  # the ejection began with the old time-out, which determines its end
    assert any(
        sent_attempts(harness.request(object_key=key))[0].node_id == attempt.node_id for key in range(40)
    )


def test_popular_objects_keep_their_rank(harness: DirectorHarness) -> None:
    for number in range(MIN_REQUESTS_FOR_RANKING * 6):
        attempt = sent_attempts(harness.request(object_key=number % 3 if number % 4 else 1000 + number))[0]
        harness.end_attempt(attempt, cache_status=CacheStatus.HIT)
    popularity = harness.director.state.popularity
    ranks = {key: popularity.cache_rank(key) for key in (*range(3), 1000, 1004)}
    apply_settings(harness, make_settings(slow_start_ms=90_000.0, purge_settled_ms=1000.0))
    assert {key: popularity.cache_rank(key) for key in ranks} == ranks and set(ranks.values()) >= {0}


@pytest.mark.parametrize("half_life", [500.0, 1000.0, 80_000.0])
def test_popularity_keeps_its_value_when_half_life_changes(half_life: float) -> None:
    popularity = Popularity(1000.0)
    for number in range(100):
        popularity.record_request(100_000.0 + number * 30.0, 1, 10.0, 0)
    now = 103_000.0
    before = popularity._current_weight(now)
    popularity.set_half_life(now, half_life)
    assert popularity._current_weight(now) == pytest.approx(before)
    assert popularity._current_weight(now + half_life) == pytest.approx(2 * before)


def slow_start_harness(**changes: float) -> DirectorHarness:
    nodes = [node._replace(started_ms=99_900.0) if node.kind == 0 else node for node in make_nodes()]
    return DirectorHarness(make_settings(**changes), nodes)


def send_burst(harness: DirectorHarness, count: int = 600) -> int:
    """Return how many of `count` simultaneous requests are sent to the caches that are warming up."""
    return sum(
        len(sent_attempts(harness.request(object_key=number, wait_ms=0.0, size_kb=20.0)))
        for number in range(count)
    )


def test_cache_in_slow_start_gets_no_second_budget() -> None:
    harness = slow_start_harness()
    assert 0 < send_burst(harness) < 600
    for multiple in (2.0, 1.0, 2.0):
        apply_settings(harness, make_settings(overload_multiple=multiple, max_attempts=8))
        assert send_burst(harness) == 0
    reference = slow_start_harness(overload_multiple=4.0)
    reference_count = send_burst(reference)
    apply_settings(harness, make_settings(overload_multiple=4.0))
    work_before_ms = charged_work_ms(harness)
    send_burst(harness)
    total_work_ms = charged_work_ms(harness)
    reference_work_ms = charged_work_ms(reference)
    # work sent before counts towards the larger budget
    assert reference_count > 0 and work_before_ms < total_work_ms <= reference_work_ms * 1.05


def charged_work_ms(harness: DirectorHarness) -> float:
    budget = harness.director.state.cache_budget
    return sum(charge.work_ms for charges in budget.charges.values() for charge in charges)


def current_max_age_ms(harness: DirectorHarness, key: int, group: int = 3) -> float:
    return harness.director.state.purges.max_age_ms(harness.now_ms, key, group)


def test_earlier_purge_stays_enforced_when_retention_is_shortened(harness: DirectorHarness) -> None:
    retention = 5000.0 * PURGE_RETENTION_MARGIN + 500.0
    harness.deliver(PurgeReceived(0.0, 0, 5))
    apply_settings(harness, make_settings(purge_settled_ms=100.0, purge_grace_ms=10.0))
    harness.now_ms += retention - 1.0
    attempt = sent_attempts(harness.request(object_key=5, wait_ms=0.0))[0]
    assert 0.0 < attempt.max_age_ms <= retention
    harness.now_ms += 2.0
    harness.deliver(PurgeReceived(0.0, 0, 6))  # by now the earlier purge has expired
    harness.now_ms += 100.0 * PURGE_RETENTION_MARGIN + 10.0
    # the later purge has expired by the new retention
    assert current_max_age_ms(harness, 6) == current_max_age_ms(harness, 5) == math.inf


def test_purge_is_enforced_longer_when_retention_is_extended(harness: DirectorHarness) -> None:
    harness.deliver(PurgeReceived(0.0, 0, 5))
    apply_settings(harness, make_settings(purge_settled_ms=20_000.0))
    harness.now_ms += 25_000.0
    assert sent_attempts(harness.request(object_key=5, wait_ms=0.0))[0].max_age_ms > 0.0


def test_purge_history_stays_bounded_however_often_settings_change() -> None:
    purges = PurgeHistory()
    purges.configure(0.0, 1000.0)
    for number in range(2000):
        purges.record(number * 10.0, PurgeReceived(0.0, 0, number + 1))
        purges.configure(number * 10.0, 1000.0)
    assert len(purges._purged_at_ms) <= 210


def test_link_capacity_estimates_scale_with_settings(harness: DirectorHarness) -> None:
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


def test_unchanged_settings_change_nothing(harness: DirectorHarness) -> None:
    reference = DirectorHarness()
    for number in range(300):
        if number % 10 == 0:
            apply_settings(harness, make_settings())
        actions, reference_actions = (
            harness.request(object_key=number % 17),
            reference.request(object_key=number % 17),
        )
        assert actions == reference_actions
        if number % 3:
            outcome = Outcome.OK if number % 7 else Outcome.RESET
            assert harness.end_attempt(
                sent_attempts(actions)[0], outcome, cache_status=CacheStatus.HIT
            ) == reference.end_attempt(
                sent_attempts(reference_actions)[0], outcome, cache_status=CacheStatus.HIT
            )


# -- changes of the number of routers --


def test_share_that_shrinks_and_grows_again_is_restored() -> None:
    harness = DirectorHarness(make_settings(weights_known=True))
    harness.request()
    loads = harness.director.state.link_loads
    before = {node: load.capacity for node, load in loads.items()}
    for _ in range(10):
        harness.deliver(FleetSizeChanged(8, (0, 8, 0)))
        harness.deliver(FleetSizeChanged(2, (0, 1, 1)))
    assert {node: load.capacity for node, load in loads.items()} == before


def test_parent_links_depend_on_all_routers_not_on_those_of_the_zone(
    harness: DirectorHarness,
) -> None:
    harness.request()
    source = next(node for node in harness.director.state.link_loads if node in PARENTS)
    before = harness.director.state.link_loads[source].capacity
    assert before > 4.0
    # twice as many routers in all, as many as before in this router's zone
    harness.deliver(FleetSizeChanged(4, (0, 1, 3)))
    assert harness.director.state.link_loads[source].capacity == pytest.approx(before / 2)


# -- random sequences --


class RandomSequence:
    """Delivers seeded random events of all kinds to a director; checks each answer and each maximum age."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.classes = [
            make_class(),
            make_class(name="act", idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True),
        ]
        self.harness = DirectorHarness(make_settings(*self.classes))
        self.open_requests: dict[int, RequestReceived] = {}
        self.attempts: dict[int, list[SendAttempt]] = {}
        self.pending: dict[tuple[int, int], SendAttempt] = {}
        self.enforced_until: dict[int, float] = {}  # by object; set at the time of the purge
        self.purged_at: dict[int, float] = {}
        self.retention_ms = 5000.0
        self.timers: list[tuple[float, int]] = []
        self.answers = 0

    def process_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self.check_max_age(action)
                attempts = self.attempts[action.request_id]
                self.pending[action.request_id, len(attempts)] = action
                attempts.append(action)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.record_answer(action.request_id)
            elif isinstance(action, StartTimer):
                self.timers.append((action.expires_at_ms, action.token))

    def record_answer(self, request_id: int) -> None:
        assert request_id in self.open_requests, "a second final answer, or an answer without an open request"
        del self.open_requests[request_id]
        self.answers += 1

    def check_max_age(self, attempt: SendAttempt) -> None:
        """Check that no copy older than an enforced purge may be used."""
        request, now = self.open_requests[attempt.request_id], self.harness.now_ms
        if request.class_index == 0 and now < self.enforced_until.get(request.object_key, 0.0):
            assert 0.0 < attempt.max_age_ms <= max(now - self.purged_at[request.object_key], 0.001)

    def step(self) -> None:
        random, harness = self.random, self.harness
        harness.now_ms += random.expovariate(1 / 20.0)
        for at, token in [timer for timer in self.timers if timer[0] <= harness.now_ms]:
            self.timers.remove((at, token))
            self.process_actions(harness.deliver(TimerExpired(token)))
        method_name = random.choices(
            [
                "submit_request",
                "end_attempt",
                "purge_object",
                "change_endpoint",
                "change_settings",
                "change_fleet_size",
                "disconnect_client",
            ],
            [10, 12, 1, 1, 2, 1, 1],
        )
        getattr(self, method_name[0])()

    def submit_request(self) -> None:
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
        self.open_requests[request.request_id], self.attempts[request.request_id] = request, []
        self.process_actions(self.harness.deliver(request))

    def end_attempt(self) -> None:
        if not self.pending:
            return
        request_id, number = self.random.choice(list(self.pending))
        attempt = self.pending.pop((request_id, number))
        outcome = self.random.choice(
            [Outcome.OK, Outcome.OK, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.MISS]
        )
        if outcome is Outcome.OK and request_id in self.open_requests:
            self.record_answer(request_id)
        self.process_actions(
            self.harness.deliver(
                AttemptEnded(
                    request_id, number, attempt.node_id, outcome, 30.0, outcome is Outcome.OK, 0, 0.0, ()
                )
            )
        )

    def purge_object(self) -> None:
        key, now = self.random.randrange(1, 12), self.harness.now_ms
        self.purged_at[key], self.enforced_until[key] = (
            now,
            max(self.enforced_until.get(key, 0.0), now + self.retention_ms),
        )
        self.process_actions(self.harness.deliver(PurgeReceived(0.0, 0, key)))

    def change_endpoint(self) -> None:
        node = self.random.choice(self.harness.nodes)
        state = self.random.choice([NodeState.READY, NodeState.READY, NodeState.DRAINING, NodeState.REMOVED])
        started = self.random.choice([0.0, self.harness.now_ms])
        self.process_actions(
            self.harness.deliver(
                EndpointListUpdate(EndpointListKind.DELTA, (node._replace(state=state, started_ms=started),))
            )
        )

    def change_settings(self) -> None:
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

    def change_fleet_size(self) -> None:
        self.process_actions(
            self.harness.deliver(
                FleetSizeChanged(self.random.randrange(1, 5), (0, self.random.randrange(1, 4), 1))
            )
        )

    def disconnect_client(self) -> None:
        if self.open_requests:
            request_id = self.random.choice(list(self.open_requests))
            del self.open_requests[request_id]
            self.process_actions(self.harness.deliver(ClientDisconnected(request_id)))


@pytest.mark.parametrize("seed", range(12))
def test_random_events_give_one_answer_each_and_no_copy_older_than_a_purge(seed: int) -> None:
    sequence = RandomSequence(seed)
    for _ in range(1500):
        sequence.step()
    sequence.harness.now_ms += 60_000.0
    while sequence.pending:
        (request_id, number), attempt = sequence.pending.popitem()
        ended = request_id not in sequence.open_requests
        sequence.process_actions(
            sequence.harness.deliver(
                AttemptEnded(request_id, number, attempt.node_id, Outcome.TIMEOUT, 30.0, ended, 0, 0.0, ())
            )
        )
    assert not sequence.open_requests and sequence.answers > 200
    assert not sequence.harness.director.state.in_flight
    assert all(load.in_flight == 0 for load in sequence.harness.director.state.link_loads.values())

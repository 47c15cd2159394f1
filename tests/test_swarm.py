"""The gossip protocol: claims, datagrams, failure detector, views, and the sum of shares under faults."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from stonecove.gossip.broadcasts import BroadcastQueue
from stonecove.gossip.claims import Claim, Datagram, Kind, MemberState, format_member_id, has_ended, ident_of
from stonecove.gossip.figures import GossipConfig
from stonecove.gossip.shares import Shares
from stonecove.gossip.table import Table
from stonecove.gossip.view import Views
from stonecove.protocols.gossip import MAX_DATAGRAM_BYTES, GossipError, decode, encode, parse_number
from stonecove.trial.model import NetworkConditions, SwarmModel

CLAIM = Claim(7, 1_700_000_000_000, 3, MemberState.SUSPECT, 2)
FULL_DATAGRAM = Datagram(
    Kind.ASK, 9, CLAIM, 4, 1 << 63, 1 << 47, 12, 5, 6, 1.5, True, (CLAIM,) * 6, tuple(range(16))
)
claim_strategy = st.builds(
    Claim, st.integers(1, 4), st.integers(1, 3), st.integers(0, 2), st.sampled_from(MemberState), st.just(0)
)


# -- claims and datagrams --


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(claim_strategy, max_size=12), st.randoms(use_true_random=False))
def test_tables_converge_whatever_the_order_of_claims(received: list[Claim], rng: random.Random) -> None:
    tables = []
    for _ in range(2):
        table = Table()
        for claim in received + rng.sample(received, len(received) // 2):
            table.merge(claim, 0.0, "")
        tables.append({member.claim.ident: member.claim.order() for member in table})
        rng.shuffle(received)
    assert tables[0] == tables[1]


def test_only_a_later_generation_replaces_one_that_has_ended() -> None:
    table = Table()
    assert table.merge(CLAIM._replace(state=MemberState.GONE), 0.0, "")
    assert not table.merge(CLAIM._replace(state=MemberState.ALIVE, incarnation=60_000), 0.0, "")
    assert table.merge(
        CLAIM._replace(state=MemberState.ALIVE, generation=CLAIM.generation + 1, incarnation=0), 0.0, ""
    )


@pytest.mark.parametrize(
    "datagram", [Datagram(Kind.PING, 1, CLAIM), FULL_DATAGRAM, FULL_DATAGRAM._replace(claims=(), buckets=())]
)
def test_a_decoded_datagram_equals_the_encoded_one(datagram: Datagram) -> None:
    data = encode(datagram)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decode(data) == datagram
    assert parse_number(data[:8]) == datagram.number


def test_a_truncated_or_corrupt_datagram_is_rejected() -> None:
    data = encode(FULL_DATAGRAM)
    for index in range(len(data)):
        for corrupt in (data[:index], data[:index] + bytes((data[index] ^ 1,)) + data[index + 1 :]):
            with pytest.raises(GossipError):
                decode(corrupt)
    with pytest.raises(GossipError):
        encode(FULL_DATAGRAM._replace(claims=(CLAIM,) * 11))


def test_a_claim_is_sent_a_bounded_number_of_times_not_counting_refused_datagrams() -> None:
    queue = BroadcastQueue()
    queue.add(CLAIM)
    for _ in range(3):
        queue.requeue(queue.take(9, 20), 20)
    sent = [queue.take(9, 20) for _ in range(100)]
    assert sum(map(len, sent)) == BroadcastQueue.max_transmits(20)
    assert not len(queue)


def test_a_view_combines_changes_and_adopts_the_view_number_of_others() -> None:
    views = Views(0.0, 1.5, 4.0)
    members = [(ident, 1) for ident in range(10)]
    for count in range(1, 11):
        views.propose(frozenset(members[:count]), count * 0.1)
    assert views.advance(2.0, False) is None
    first_view = views.advance(2.6, False)
    assert first_view is not None and first_view.number == 1
    views.propose(frozenset(members[:3]), 10.0)
    views.propose(frozenset(members), 10.5)  # the change is reverted
    assert views.advance(20.0, False) is None
    views.propose(frozenset(members[:3]), 21.0)
    other_views = Views(0.0, 1.5, 4.0)
    other_views.propose(frozenset(members[:3]), 0.0)
    view_of_other = other_views.advance(9.0, False)
    assert view_of_other is not None
    views.receive(7, view_of_other.digest)
    assert views.advance(23.0, True) is None  # a member is suspected
    last_view = views.advance(25.1, True)
    assert last_view is not None and (last_view.number, last_view.digest) == (7, view_of_other.digest)


# -- shares --


def share_at(shares: Shares, now: float) -> tuple[bool, float, int]:
    state = shares.share_state(now)
    return state.joined, round(state.usable_fraction, 3), state.counted_routers


def test_a_share_changes_only_on_proof_about_the_other_routers() -> None:
    shares = Shares(3, 0, 4, (4,), 3.0, 0.0)
    assert share_at(shares, 1.0) == (False, 0.0, 4)  # what an earlier generation sent is still in the window
    assert share_at(shares, 3.0) == (False, 0.3, 4)
    for slot in range(3):
        shares.record_generation(slot, 100 + slot, 0)
        shares.record_answer(slot, 4.0 + slot)
    assert share_at(shares, 8.9) == (False, 0.3, 4)
    assert share_at(shares, 9.0) == (True, 1.0, 4)
    shares.record_end(0, 99, 10.0)  # the end of an earlier generation proves nothing
    shares.record_end(0, 100, 10.0)
    assert share_at(shares, 12.9) == (True, 1.0, 4)
    assert share_at(shares, 13.0) == (True, 0.925, 3)  # a reserve remains for a router that starts there
    shares.record_generation(0, 100, 0)  # a late datagram of that generation
    assert share_at(shares, 13.0) == (True, 0.925, 3)
    shares.record_generation(0, 200, 0)
    assert share_at(shares, 13.0) == (True, 1.0, 4)
    shares.add_unplaced(77, 300)  # a router without a slot counts, up to the maximum
    assert share_at(shares, 13.0) == (True, 1.0, 4)
    shares.begin_generation(14.0)
    assert share_at(shares, 14.0) == (False, 0.0, 4)
    assert shares.unanswered_slots() == [0, 1, 2]


def test_a_slot_never_received_from_remains_counted_after_a_refusal() -> None:
    """A router without gossip may run at that address and act on 1/N, so the slot remains counted."""
    shares = Shares(2, 0, 5, (5,), 1.0, 0.0)
    shares.record_refusal(0, 0.4, 0.5)
    shares.record_generation(1, 9, 0)
    shares.record_answer(1, 0.5)
    assert share_at(shares, 60.0) == (True, 1.0, 5)
    shares.record_refusal(1, 59.9, 60.0)
    assert share_at(shares, 61.0) == (True, 0.94, 4)


@pytest.mark.parametrize(("run_seed", "zones"), [(run_seed, 1 + run_seed % 3) for run_seed in range(8)])
def test_shares_sum_to_at_most_one_through_random_faults(run_seed: int, zones: int) -> None:
    """Check the sum during the faults, and that all routers have their full share again afterwards."""
    model, rng = SwarmModel(8, seed=run_seed, zones=zones, window=1.0), random.Random(run_seed)
    indices = range(8)
    for index in indices:
        model.start(index)
    for _ in range(60):
        router_index = rng.choice(indices)
        match rng.randrange(9):
            case 0 | 1:
                model.kill(router_index)
            case 2 | 3:
                model.start(router_index, skew=rng.choice((0.0, 2.0, -2.0)))
            case 4:
                model.suspend(router_index, rng.uniform(0.1, 4.0))
            case 5:
                model.cut([router_index], rng.sample(indices, 3), both=rng.random() < 0.5)
            case 6:
                model.cuts.clear()
            case 7:
                model.network = NetworkConditions(rng.choice((0.0, 0.3)), (0.0, rng.choice((0.02, 1.0))), 0.2)
            case 8:
                for other in rng.sample(indices, 5):
                    model.kill(other)
        model.run(rng.uniform(0.05, 1.0))
    model.cuts.clear()
    model.network = NetworkConditions()
    for index in indices:
        if model.routers[index].swarm is None:
            model.start(index)
    assert model.until(lambda: model.joined() and model.shares() > 0.999, 60.0) < 60.0
    assert model.max_share_sum <= 1.0 + 1e-9


SHORT_TIMINGS = GossipConfig(
    probe_interval_s=0.2,
    ping_timeout_s=0.06,
    suspicion_timeout_s=0.6,
    lease_min_s=2.0,
    view_settle_s=0.3,
    view_settle_max_s=1.0,
)


def test_shares_sum_to_at_most_one_where_leases_expire_in_partitions_and_pauses() -> None:
    freed_slots = 0
    for run_seed in range(8):
        model, rng = (
            SwarmModel(4 + run_seed % 4, run_seed, 1 + run_seed % 2, 1.0, SHORT_TIMINGS),
            random.Random(run_seed),
        )
        indices = range(len(model.routers))
        for index in indices:
            model.start(index)
        for _ in range(60):
            router_index = rng.choice(indices)
            match rng.randrange(12):
                case 0 | 1:
                    model.kill(router_index)
                case 2 | 3 | 4:
                    model.start(router_index, skew=rng.choice((0.0, 2.0, -2.0)))
                case 5:
                    model.suspend(router_index, rng.choice((0.3, 2.0, 8.0)))
                case 6 | 7 | 8:
                    model.cut([router_index], rng.sample(indices, 3), both=rng.random() < 0.6)
                case 9:
                    model.cuts = {pair for pair in sorted(model.cuts) if rng.random() < 0.3}
            model.run(rng.choice((0.05, 0.3, 1.0, 6.0)))
            freed_slots += sum(
                not router.swarm.gossip.shares.is_counted(slot, model.now) and slot_state.ended_at == math.inf
                for router in model.running_routers()
                if router.swarm is not None
                for slot, slot_state in enumerate(router.swarm.gossip.shares.slots)
            )
        assert model.max_share_sum <= 1.0 + 1e-9, f"seed {run_seed}"
    assert freed_slots  # otherwise no lease has expired and the test proves nothing


# -- the detector --


def joined_fleet(count: int, **options: object) -> SwarmModel:
    model = SwarmModel(count, **options)  # type: ignore[arg-type]
    for index in range(count):
        model.start(index)
    assert model.until(model.joined, 20.0) < 20.0
    model.run(5.0)
    model.notes.clear()
    return model


def failure_events(model: SwarmModel) -> list[dict[str, object]]:
    return [
        fields
        for _, _, event, fields in model.notes
        if event == "gossip_member_changed" and fields["state"] in ("failed", "gone")
    ]


def test_killed_routers_are_detected_by_all_with_at_most_three_views() -> None:
    model = joined_fleet(20)
    model.kill(3)
    assert model.until(lambda: model.known_ended(3), 3.0) <= 3.0
    for index in range(4, 18):
        model.kill(index)
    assert model.until(lambda: all(model.known_ended(index) for index in range(4, 18)), 6.0) <= 6.0
    model.run(6.0)
    views = {
        router.swarm.gossip.views.current[:2]
        for router in model.running_routers()
        if router.swarm is not None
    }
    assert len(views) == 1 and views.pop()[0] <= 3


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_router_paused_for_5_s_under_loss_is_not_declared_failed_and_declares_none_failed(
    loss: float,
) -> None:
    model = joined_fleet(10)
    model.network = NetworkConditions(loss)
    model.suspend(4, 5.0)
    model.run(30.0)
    assert failure_events(model) == []
    assert any(event == "gossip_stopped" for _, index, event, _ in model.notes if index == 4)
    assert model.shares() == pytest.approx(1.0)


def test_a_router_that_one_router_cannot_reach_is_unreachable_for_it_and_not_declared_failed() -> None:
    model = joined_fleet(5)
    model.cut([0], [1], both=False)
    model.run(30.0)
    assert (model.state_of(1, by=0), model.state_of(0, by=2)) == ("unreachable", "alive")
    assert failure_events(model) == []


def test_an_isolated_router_declares_none_failed_and_both_sides_of_a_partition_remain_counted() -> None:
    model = joined_fleet(5)
    model.cut([0], range(1, 5))
    model.run(40.0)
    assert all(model.state_of(0, by=index) == "failed" for index in range(1, 5))
    assert all(model.state_of(index, by=0) not in ("failed", "gone") for index in range(1, 5))
    assert model.shares() == pytest.approx(1.0)  # no share was freed, as the router may still run
    model.cuts.clear()
    assert (
        model.until(lambda: all(model.state_of(0, by=index) == "alive" for index in range(1, 5)), 30.0) < 30.0
    )


def test_verdicts_of_a_cut_are_not_believed_by_those_who_hear_the_router() -> None:
    """Check that a claim of FAILED from across a partition is not accepted by routers that reach its subject.

    As the partition ends, each side's claims reach the other before the refutations do.
    """
    model = joined_fleet(9, seed=36, zones=3)
    model.run(0.36)
    zone = (0, 3, 6)
    model.cut(zone, (1, 2, 4, 5, 7, 8))
    model.run(9.0)
    model.cuts.clear()
    model.run(5.0)
    indices = {format_member_id(ident_of(f"router-{index}")): index for index in range(9)}
    within_reach = [
        (observer, indices[str(fields["member"])])
        for _, observer, event, fields in model.notes
        if event == "gossip_member_changed" and fields["state"] == "failed"
        if (observer in zone) == (indices[str(fields["member"])] in zone)
    ]
    assert within_reach == []
    assert len(failure_events(model)) <= 36  # 3 routers declared 6 failed, and 6 declared 3, each once


def test_a_vanished_machine_is_declared_failed_after_suspicion_and_its_share_freed_after_its_lease() -> None:
    model = joined_fleet(5)
    model.cut([2], range(5))
    model.kill(2)  # no datagram reaches its address, so none is refused
    model.run(5.0)
    assert failure_events(model) == []
    assert model.until(lambda: model.known_ended(2), 30.0) < 30.0
    model.run(20.0)
    assert model.shares() == pytest.approx(0.8)
    assert model.until(lambda: model.shares() > 0.9, 40.0) < 40.0
    assert model.shares() == pytest.approx(0.94)


@pytest.mark.parametrize("paused", [False, True], ids=["partitioned", "paused"])
def test_a_router_whose_lease_expired_has_the_unleased_share_until_all_count_it(paused: bool) -> None:
    model = joined_fleet(5)
    if paused:
        model.suspend(2, 70.0)
    else:
        model.cut([2], range(5))
    model.run(70.0)
    model.run(0.01)
    swarm = model.routers[2].swarm
    assert swarm is not None
    assert swarm.share_state(model.now)[:2] == (False, 0.3)
    assert 0.8 <= model.shares() <= 1.0 + 1e-9
    model.cuts.clear()
    assert model.until(lambda: model.joined() and model.shares() > 0.999, 60.0) < 60.0
    assert any(event == "gossip_suspected" for _, index, event, _ in model.notes if index == 2)
    assert model.max_share_sum <= 1.0 + 1e-9


def test_a_machine_that_is_off_can_be_declared_gone() -> None:
    model = joined_fleet(3)
    model.cut([2], range(3))
    model.kill(2)
    swarm = model.routers[0].swarm
    assert swarm is not None
    swarm.declare_gone(1, model.now)
    model.run(3.5)
    assert (model.state_of(2, by=0), model.state_of(2, by=1)) == ("gone", "gone")
    assert model.shares() == pytest.approx(0.9)


def test_a_router_restarted_with_its_clock_set_back_raises_its_generation_above_the_earlier_one() -> None:
    model = joined_fleet(4)
    model.kill(1)
    model.run(1.0)
    model.start(1, skew=-3600.0)
    assert model.until(lambda: model.joined() and model.state_of(1, by=0) == "alive", 30.0) < 30.0
    assert any(event == "gossip_generation_raised" for _, index, event, _ in model.notes if index == 1)
    assert model.max_share_sum <= 1.0 + 1e-9


def test_another_router_at_an_address_proves_that_the_earlier_one_has_ended() -> None:
    model = joined_fleet(4)
    model.kill(1)
    model.start(1, name="somebody-else")
    assert model.until(lambda: all(model.state_of(1, by=index) == "gone" for index in (0, 2, 3)), 5.0) < 5.0
    assert model.until(model.joined, 10.0) < 10.0
    assert model.shares() == pytest.approx(1.0)


def test_a_duplicate_name_is_logged_by_both_routers_and_retained_by_the_one_started_later() -> None:
    model = joined_fleet(4)
    model.kill(1)
    model.run(1.0)
    model.start(1, name="router-2")
    model.run(10.0)
    conflicts = {
        index: fields["kept"] for _, index, event, fields in model.notes if event == "gossip_name_conflict"
    }
    assert conflicts == {1: "ours", 2: "theirs"}
    assert model.joined() and model.max_share_sum <= 1.0 + 1e-9


def test_two_routers_started_together_under_one_name_do_not_raise_their_generations_for_ever() -> None:
    model = SwarmModel(4)
    for index in range(4):
        model.start(index, name="router-2" if index in (1, 2) else "")
    assert model.until(model.joined, 10.0) < 10.0
    assert model.shares() == pytest.approx(1.0)
    assert {index for _, index, event, _ in model.notes if event == "gossip_name_conflict"} == {1, 2}


def test_a_refusal_of_a_datagram_older_than_the_last_received_proves_nothing() -> None:
    model = joined_fleet(3)
    swarm = model.routers[0].swarm
    assert swarm is not None
    number = swarm.gossip.send(0, Kind.PING, model.now)
    model.run(2.0)  # meanwhile datagrams from that router arrive
    swarm.receive_refusal(0, number, model.now)
    model.run(0.1)
    assert model.state_of(1, by=0) == "alive" and failure_events(model) == []


def test_the_datagram_rate_of_a_router_does_not_grow_with_the_fleet() -> None:
    for count in (6, 30):
        model = joined_fleet(count)
        sent_before = model.sent
        model.run(20.0)
        assert (model.sent - sent_before) / 20.0 / count <= 4.0


def test_a_router_that_leaves_announces_it_and_frees_its_share() -> None:
    model = joined_fleet(4)
    swarm = model.routers[2].swarm
    assert swarm is not None
    swarm.announce_leaving(model.now)
    model.run(1.0)
    assert model.state_of(2, by=0) == "leaving"
    swarm.announce_left(model.now)
    model._send_outgoing(model.routers[2], swarm)
    model.cut([2], range(4))  # the end is proven by its last claim alone, not by a refusal
    model.kill(2)
    model.run(1.0)
    assert [model.state_of(2, by=index) for index in (0, 1, 3)] == ["left"] * 3
    assert all(
        has_ended(router.swarm.gossip.table.members[ident_of("router-2")].claim.state)
        for router in model.running_routers()
        if router.swarm is not None
    )
    model.run(3.0)
    assert model.shares() == pytest.approx(0.925)

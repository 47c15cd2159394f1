"""The swarm's decisions: words, datagrams, detector, views, and the sum of shares under random faults."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from stonecove.gossip.broadcasts import BroadcastQueue
from stonecove.gossip.claims import Claim, Datagram, Kind, MemberState, ident_of, over, shown
from stonecove.gossip.figures import Figures
from stonecove.gossip.shares import Shares
from stonecove.gossip.table import Table
from stonecove.gossip.view import Views
from stonecove.protocols.gossip import MOST_BYTES, GossipError, decode, encode, number_of
from stonecove.trial.model import NetworkConditions, SwarmModel

WORD = Claim(7, 1_700_000_000_000, 3, MemberState.SUSPECT, 2)
WHOLE = Datagram(Kind.ASK, 9, WORD, 4, 1 << 63, 1 << 47, 12, 5, 6, 1.5, True, (WORD,) * 6, tuple(range(16)))
claims = st.builds(
    Claim, st.integers(1, 4), st.integers(1, 3), st.integers(0, 2), st.sampled_from(MemberState), st.just(0)
)


# -- words and datagrams --


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_tables_come_to_the_same_whatever_the_order(told: list[Claim], chooser: random.Random) -> None:
    tables = []
    for _ in range(2):
        table = Table()
        for word in told + chooser.sample(told, len(told) // 2):
            table.believe(word, 0.0, "")
        tables.append({one.claim.ident: one.claim.order() for one in table})
        chooser.shuffle(told)
    assert tables[0] == tables[1]


def test_the_end_of_a_life_can_be_taken_back_by_a_later_life_alone() -> None:
    table = Table()
    assert table.believe(WORD._replace(state=MemberState.GONE), 0.0, "")
    assert not table.believe(WORD._replace(state=MemberState.ALIVE, incarnation=60_000), 0.0, "")
    assert table.believe(
        WORD._replace(state=MemberState.ALIVE, generation=WORD.generation + 1, incarnation=0), 0.0, ""
    )


@pytest.mark.parametrize(
    "datagram", [Datagram(Kind.PING, 1, WORD), WHOLE, WHOLE._replace(claims=(), buckets=())]
)
def test_a_datagram_is_read_as_it_was_written(datagram: Datagram) -> None:
    data = encode(datagram)
    assert len(data) <= MOST_BYTES
    assert decode(data) == datagram
    assert number_of(data[:8]) == datagram.number


def test_a_datagram_that_was_changed_anywhere_is_not_read() -> None:
    data = encode(WHOLE)
    for place in range(len(data)):
        for broken in (data[:place], data[:place] + bytes((data[place] ^ 1,)) + data[place + 1 :]):
            with pytest.raises(GossipError):
                decode(broken)
    with pytest.raises(GossipError):
        encode(WHOLE._replace(claims=(WORD,) * 11))


def test_a_word_is_told_a_bounded_number_of_times_and_not_counted_where_nobody_was() -> None:
    rumours = BroadcastQueue()
    rumours.add(WORD)
    for _ in range(3):
        rumours.requeue(rumours.take(9, 20), 20)
    told = [rumours.take(9, 20) for _ in range(100)]
    assert sum(map(len, told)) == BroadcastQueue.most(20)
    assert not len(rumours)


def test_a_view_takes_many_changes_in_one_step_and_the_number_that_others_gave_it() -> None:
    views = Views(0.0, 1.5, 4.0)
    everybody = [(ident, 1) for ident in range(10)]
    for count in range(1, 11):
        views.wants(frozenset(everybody[:count]), count * 0.1)
    assert views.move(2.0, False) is None
    first = views.move(2.6, False)
    assert first is not None and first.number == 1
    views.wants(frozenset(everybody[:3]), 10.0)
    views.wants(frozenset(everybody), 10.5)  # it was nothing
    assert views.move(20.0, False) is None
    views.wants(frozenset(everybody[:3]), 21.0)
    other = Views(0.0, 1.5, 4.0)
    other.wants(frozenset(everybody[:3]), 0.0)
    there = other.move(9.0, False)
    assert there is not None
    views.heard(7, there.digest)
    assert views.move(23.0, True) is None  # somebody is in doubt
    last = views.move(25.1, True)
    assert last is not None and (last.number, last.digest) == (7, there.digest)


# -- shares --


def counted(shares: Shares, now: float) -> tuple[bool, float, int]:
    stand = shares.share_state(now)
    return stand.joined, round(stand.own, 3), stand.fleet


def test_shares_rise_and_fall_by_proof_alone() -> None:
    shares = Shares(3, 0, 4, (4,), 3.0, 0.0)
    assert counted(shares, 1.0) == (False, 0.0, 4)  # what an earlier life sent is still in the window
    assert counted(shares, 3.0) == (False, 0.3, 4)
    for slot in range(3):
        shares.heard(slot, 100 + slot, 0)
        shares.answered(slot, 4.0 + slot)
    assert counted(shares, 8.9) == (False, 0.3, 4)
    assert counted(shares, 9.0) == (True, 1.0, 4)
    shares.over(0, 99, 10.0)  # an earlier life's end proves nothing
    shares.over(0, 100, 10.0)
    assert counted(shares, 12.9) == (True, 1.0, 4)
    assert counted(shares, 13.0) == (True, 0.925, 3)  # a part is left for who starts there
    shares.heard(0, 100, 0)  # a late word of that life
    assert counted(shares, 13.0) == (True, 0.925, 3)
    shares.heard(0, 200, 0)
    assert counted(shares, 13.0) == (True, 1.0, 4)
    shares.add_unplaced(77, 300)  # a router that we can't place counts, but no more than there may be
    assert counted(shares, 13.0) == (True, 1.0, 4)
    shares.begin_generation(14.0)
    assert counted(shares, 14.0) == (False, 0.0, 4)
    assert shares.asking() == [0, 1, 2]


def test_who_never_spoke_counts_on_though_its_address_refuses() -> None:
    """It may be a router without a swarm, which acts on 1/N."""
    shares = Shares(2, 0, 5, (5,), 1.0, 0.0)
    shares.refused(0, 0.4, 0.5)
    shares.heard(1, 9, 0)
    shares.answered(1, 0.5)
    assert counted(shares, 60.0) == (True, 1.0, 5)
    shares.refused(1, 59.9, 60.0)
    assert counted(shares, 61.0) == (True, 0.94, 4)


@pytest.mark.parametrize(("number", "zones"), [(number, 1 + number % 3) for number in range(8)])
def test_the_sum_of_shares_keeps_to_the_rule_through_random_faults(number: int, zones: int) -> None:
    """And all have all of it again, once the faults are over."""
    model, chooser = SwarmModel(8, seed=number, zones=zones, window=1.0), random.Random(number)
    places = range(8)
    for place in places:
        model.start(place)
    for _ in range(60):
        one = chooser.choice(places)
        match chooser.randrange(9):
            case 0 | 1:
                model.kill(one)
            case 2 | 3:
                model.start(one, skew=chooser.choice((0.0, 2.0, -2.0)))
            case 4:
                model.stop(one, chooser.uniform(0.1, 4.0))
            case 5:
                model.cut([one], chooser.sample(places, 3), both=chooser.random() < 0.5)
            case 6:
                model.cuts.clear()
            case 7:
                model.network = NetworkConditions(
                    chooser.choice((0.0, 0.3)), (0.0, chooser.choice((0.02, 1.0))), 0.2
                )
            case 8:
                for other in chooser.sample(places, 5):
                    model.kill(other)
        model.run(chooser.uniform(0.05, 1.0))
    model.cuts.clear()
    model.network = NetworkConditions()
    for place in places:
        if model.routers[place].swarm is None:
            model.start(place)
    assert model.until(lambda: model.joined() and model.shares() > 0.999, 60.0) < 60.0
    assert model.worst <= 1.0 + 1e-9


BRIEF = Figures(period=0.2, answer=0.06, suspicion=0.6, lease=2.0, settle=0.3, most_settle=1.0)


def test_the_sum_keeps_to_the_rule_where_leases_end_under_long_cuts_and_stops() -> None:
    freed = 0
    for number in range(8):
        model, chooser = SwarmModel(4 + number % 4, number, 1 + number % 2, 1.0, BRIEF), random.Random(number)
        places = range(len(model.routers))
        for place in places:
            model.start(place)
        for _ in range(60):
            one = chooser.choice(places)
            match chooser.randrange(12):
                case 0 | 1:
                    model.kill(one)
                case 2 | 3 | 4:
                    model.start(one, skew=chooser.choice((0.0, 2.0, -2.0)))
                case 5:
                    model.stop(one, chooser.choice((0.3, 2.0, 8.0)))
                case 6 | 7 | 8:
                    model.cut([one], chooser.sample(places, 3), both=chooser.random() < 0.6)
                case 9:
                    model.cuts = {way for way in sorted(model.cuts) if chooser.random() < 0.3}
            model.run(chooser.choice((0.05, 0.3, 1.0, 6.0)))
            freed += sum(
                not router.swarm.gossip.shares.counts(slot, model.now) and one.over_at == math.inf
                for router in model.here()
                if router.swarm is not None
                for slot, one in enumerate(router.swarm.gossip.shares.slots)
            )
        assert model.worst <= 1.0 + 1e-9, number
    assert freed  # or it would show nothing


# -- the detector --


def fleet(count: int, **options: object) -> SwarmModel:
    model = SwarmModel(count, **options)  # type: ignore[arg-type]
    for place in range(count):
        model.start(place)
    assert model.until(model.joined, 20.0) < 20.0
    model.run(5.0)
    model.notes.clear()
    return model


def verdicts(model: SwarmModel) -> list[dict[str, object]]:
    return [
        fields
        for _, _, event, fields in model.notes
        if event == "gossip_member_changed" and fields["state"] in ("failed", "gone")
    ]


def test_a_killed_router_is_known_everywhere_soon_and_in_one_step() -> None:
    model = fleet(20)
    model.kill(3)
    assert model.until(lambda: model.known_over(3), 3.0) <= 3.0
    for place in range(4, 18):  # seven in ten
        model.kill(place)
    assert model.until(lambda: all(model.known_over(place) for place in range(4, 18)), 6.0) <= 6.0
    model.run(6.0)
    views = {router.swarm.gossip.views.now[:2] for router in model.here() if router.swarm is not None}
    assert len(views) == 1 and views.pop()[0] <= 3


@pytest.mark.parametrize("lost", [0.0, 0.3])
def test_who_was_stopped_for_5_s_or_is_hard_to_hear_is_not_given_up_and_gives_nobody_up(lost: float) -> None:
    model = fleet(10)
    model.network = NetworkConditions(lost)
    model.stop(4, 5.0)
    model.run(30.0)
    assert verdicts(model) == []
    assert any(event == "gossip_stopped" for _, place, event, _ in model.notes if place == 4)
    assert model.shares() == pytest.approx(1.0)


def test_whom_others_reach_is_unreachable_and_not_failed() -> None:
    model = fleet(5)
    model.cut([0], [1], both=False)
    model.run(30.0)
    assert (model.stands(1, by=0), model.stands(0, by=2)) == ("unreachable", "alive")
    assert verdicts(model) == []


def test_who_hears_nobody_gives_no_verdict_and_both_sides_of_a_cut_go_on_counting() -> None:
    model = fleet(5)
    model.cut([0], range(1, 5))
    model.run(40.0)
    assert all(model.stands(0, by=place) == "failed" for place in range(1, 5))
    assert all(model.stands(place, by=0) not in ("failed", "gone") for place in range(1, 5))
    assert model.shares() == pytest.approx(1.0)  # nothing was freed: it may still be there
    model.cuts.clear()
    assert model.until(lambda: all(model.stands(0, by=p) == "alive" for p in range(1, 5)), 30.0) < 30.0


def test_verdicts_of_a_cut_are_not_believed_by_those_who_hear_the_router() -> None:
    """Check that a verdict from across a cut isn't believed by routers that hear its subject.

    As the cut ends, each side's verdicts reach the other before the refutations do.
    """
    model = fleet(9, seed=36, zones=3)
    model.run(0.36)
    zone = (0, 3, 6)
    model.cut(zone, (1, 2, 4, 5, 7, 8))
    model.run(9.0)
    model.cuts.clear()
    model.run(5.0)
    places = {shown(ident_of(f"router-{place}")): place for place in range(9)}
    within_reach = [
        (by, places[str(fields["member"])])
        for _, by, event, fields in model.notes
        if event == "gossip_member_changed" and fields["state"] == "failed"
        if (by in zone) == (places[str(fields["member"])] in zone)
    ]
    assert within_reach == []
    assert len(verdicts(model)) <= 36  # each of three and each of six held the other side for failed, once


def test_a_vanished_machine_is_failed_after_its_suspicion_and_freed_after_its_lease() -> None:
    model = fleet(5)
    model.cut([2], range(5))
    model.kill(2)  # it refuses nothing: nobody hears its address
    model.run(5.0)
    assert verdicts(model) == []
    assert model.until(lambda: model.known_over(2), 30.0) < 30.0
    model.run(20.0)
    assert model.shares() == pytest.approx(0.8)
    assert model.until(lambda: model.shares() > 0.9, 40.0) < 40.0
    assert model.shares() == pytest.approx(0.94)


@pytest.mark.parametrize("stopped", [False, True], ids=["cut off", "stopped"])
def test_who_outlives_its_lease_has_the_fallback_until_all_count_it_again(stopped: bool) -> None:
    model = fleet(5)
    if stopped:
        model.stop(2, 70.0)
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
    assert any(event == "gossip_suspected" for _, place, event, _ in model.notes if place == 2)
    assert model.worst <= 1.0 + 1e-9


def test_a_machine_that_is_off_can_be_declared_gone() -> None:
    model = fleet(3)
    model.cut([2], range(3))
    model.kill(2)
    swarm = model.routers[0].swarm
    assert swarm is not None
    swarm.declare_gone(1, model.now)
    model.run(3.5)
    assert (model.stands(2, by=0), model.stands(2, by=1)) == ("gone", "gone")
    assert model.shares() == pytest.approx(0.9)


def test_a_restart_with_the_clock_set_back_tops_its_earlier_life() -> None:
    model = fleet(4)
    model.kill(1)
    model.run(1.0)
    model.start(1, skew=-3600.0)
    assert model.until(lambda: model.joined() and model.stands(1, by=0) == "alive", 30.0) < 30.0
    assert any(event == "gossip_generation_raised" for _, place, event, _ in model.notes if place == 1)
    assert model.worst <= 1.0 + 1e-9


def test_another_router_at_an_address_ends_the_one_before() -> None:
    model = fleet(4)
    model.kill(1)
    model.start(1, name="somebody-else")
    assert model.until(lambda: all(model.stands(1, by=p) == "gone" for p in (0, 2, 3)), 5.0) < 5.0
    assert model.until(model.joined, 10.0) < 10.0
    assert model.shares() == pytest.approx(1.0)


def test_one_name_twice_is_told_to_both_and_the_later_start_holds_it() -> None:
    model = fleet(4)
    model.kill(1)
    model.run(1.0)
    model.start(1, name="router-2")
    model.run(10.0)
    alarms = {
        place: fields["kept"] for _, place, event, fields in model.notes if event == "gossip_name_conflict"
    }
    assert alarms == {1: "ours", 2: "theirs"}
    assert model.joined() and model.worst <= 1.0 + 1e-9


def test_two_that_start_together_under_one_name_do_not_top_each_other_for_ever() -> None:
    model = SwarmModel(4)
    for place in range(4):
        model.start(place, name="router-2" if place in (1, 2) else "")
    assert model.until(model.joined, 10.0) < 10.0
    assert model.shares() == pytest.approx(1.0)
    assert {place for _, place, event, _ in model.notes if event == "gossip_name_conflict"} == {1, 2}


def test_a_refusal_of_what_was_sent_before_the_last_word_proves_nothing() -> None:
    model = fleet(3)
    swarm = model.routers[0].swarm
    assert swarm is not None
    number = swarm.gossip.send(0, Kind.PING, model.now)
    model.run(2.0)  # it is heard meanwhile
    swarm.refused(0, number, model.now)
    model.run(0.1)
    assert model.stands(1, by=0) == "alive" and verdicts(model) == []


def test_the_load_of_a_router_does_not_grow_with_their_number() -> None:
    for count in (6, 30):
        model = fleet(count)
        before = model.sent
        model.run(20.0)
        assert (model.sent - before) / 20.0 / count <= 4.0


def test_a_router_that_leaves_says_so_and_frees_its_share() -> None:
    model = fleet(4)
    swarm = model.routers[2].swarm
    assert swarm is not None
    swarm.leaving(model.now)
    model.run(1.0)
    assert model.stands(2, by=0) == "leaving"
    swarm.left(model.now)
    model._flush(model.routers[2], swarm)
    model.cut([2], range(4))  # its last word alone says it, no refusal
    model.kill(2)
    model.run(1.0)
    assert [model.stands(2, by=place) for place in (0, 1, 3)] == ["left"] * 3
    assert all(
        over(router.swarm.gossip.table.members[ident_of("router-2")].claim.state)
        for router in model.here()
        if router.swarm is not None
    )
    model.run(3.0)
    assert model.shares() == pytest.approx(0.925)

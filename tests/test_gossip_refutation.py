"""Claims of FAILED that cross the end of a partition, and the refutations of those that are there."""

from __future__ import annotations

import pytest
from gossip_cuts import PartitionedFleet

from stonecove.gossip.claims import ident_of
from stonecove.trial.model import NetworkConditions

SEEDS = (36, 1, 2)
SETTLES = 12.0  # seconds after a cut: a lost question, the answers, a window, and views that move


def settle(fleet: PartitionedFleet) -> None:
    """Let all join again, and hold what has to be so at any time after a partition."""
    assert fleet.model.until(lambda: fleet.model.joined() and fleet.model.shares() > 0.999, SETTLES) < SETTLES
    assert fleet.model.worst <= 1.0 + 1e-9
    fleet.model.run(3.0)
    assert len(fleet.tables()) == 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("routers", "zones", "seconds"),
    [(5, 2, 9.0), (9, 3, 5.0), (9, 3, 9.0), (9, 3, 15.0), (9, 3, 40.0), (12, 2, 8.0), (20, 4, 9.0)],
)
def test_no_router_is_failed_by_one_that_reaches_it_as_a_cut_ends(
    routers: int, zones: int, seconds: float, seed: int
) -> None:
    fleet = PartitionedFleet(routers, seed, zones)
    fleet.cut_zone(0)
    fleet.model.run(seconds)
    fleet.heal()
    fleet.model.run(5.0)
    assert fleet.verdicts_within_reach() == []
    assert len(fleet.verdicts()) == len(set(fleet.verdicts()))  # nobody is failed a second time
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_router_is_failed_by_one_that_reaches_it_after_a_one_sided_cut(seed: int) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.cut_zone(0, both=False)
    fleet.model.run(12.0)
    fleet.heal()
    fleet.model.run(5.0)
    assert fleet.verdicts_within_reach() == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_router_is_failed_by_one_that_reaches_it_under_a_cut_that_comes_back_at_once(seed: int) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    for healed, cut in ((0.3, 2.0), (0.05, 9.0), (1.0, 0.5), (0.1, 8.0)):
        fleet.cut_zone(0)
        fleet.model.run(cut)
        fleet.heal()
        fleet.model.run(healed)
    fleet.model.run(5.0)
    assert fleet.verdicts_within_reach() == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_router_is_failed_by_one_that_reaches_it_under_two_cuts_that_overlap(seed: int) -> None:
    fleet = PartitionedFleet(12, seed, 3)
    fleet.cut_zone(0)
    fleet.model.run(5.0)
    fleet.cut_zone(1)
    fleet.model.run(5.0)
    fleet.heal(1)
    fleet.model.run(5.0)
    fleet.heal()
    fleet.model.run(5.0)
    assert fleet.verdicts_within_reach() == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_router_is_failed_by_one_that_reaches_it_while_datagrams_are_lost(seed: int) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.model.network = NetworkConditions(lose=0.2)
    fleet.cut_zone(0)
    fleet.model.run(9.0)
    fleet.heal()
    fleet.model.run(8.0)
    assert fleet.verdicts_within_reach() == []
    fleet.model.network = NetworkConditions()
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_router_that_is_paused_through_the_end_of_a_cut_is_failed_by_none_that_reaches_it(
    seed: int,
) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.cut_zone(0)
    fleet.model.run(7.0)
    fleet.model.stop(4, 5.0)
    fleet.model.run(2.0)
    fleet.heal()
    fleet.model.run(9.0)
    assert fleet.verdicts_within_reach() == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_routers_beside_one_of_an_older_program_fail_nobody_that_they_reach(seed: int) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.run_as_before_the_mend([3, 4])
    fleet.cut_zone(0)
    fleet.model.run(9.0)
    fleet.heal()
    fleet.model.run(5.0)
    assert [pair for pair in fleet.verdicts_within_reach() if pair[0] not in (3, 4)] == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("delay", [-3.0, 0.1], ids=["during the cut", "right after it"])
def test_a_machine_that_vanishes_around_the_end_of_a_cut_is_failed_for_all(delay: float, seed: int) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.cut_zone(0)
    fleet.model.run(9.0 + min(0.0, delay))
    if delay < 0.0:
        _vanish(fleet, 4)
        fleet.model.run(-delay)
        fleet.heal()
        fleet.model.cut([4], range(9))
    else:
        fleet.heal()
        fleet.model.run(delay)
        _vanish(fleet, 4)
    # Suspected within two periods and a probe's patience, for twice the least suspicion at the most.
    assert fleet.model.until(lambda: fleet.model.known_over(4), 18.0) < 18.0


def _vanish(fleet: PartitionedFleet, place: int) -> None:
    """End a router so that nobody hears it, and its address refuses nothing."""
    fleet.model.cut([place], range(len(fleet.model.routers)))
    fleet.model.kill(place)


@pytest.mark.parametrize("routers", [5, 20])
def test_a_verdict_is_believed_at_once_by_those_that_have_suspected_for_long_enough(routers: int) -> None:
    """Guard against a verdict that each router has to reach by itself, the last by its own doubts."""
    fleet = PartitionedFleet(routers, 1, 1)
    _vanish(fleet, 2)
    failed_at: list[float] = []
    ident = ident_of("router-2")

    def note_verdicts() -> None:
        count = sum(
            swarm.gossip.table.members[ident].claim.state >= 3
            for router in fleet.model.here()
            if (swarm := router.swarm) is not None
        )
        failed_at.extend([fleet.model.now] * (count - len(failed_at)))

    fleet.model.run(25.0, note_verdicts)
    assert len(failed_at) == routers - 1
    assert failed_at[-1] - failed_at[0] <= 1.0

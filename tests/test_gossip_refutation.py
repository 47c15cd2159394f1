"""Claims of FAILED that are in flight as a partition ends, and the refutations of routers still alive."""

from __future__ import annotations

import pytest
from gossip_partitions import PartitionedFleet

from stonecove.gossip.claims import MemberState, ident_of
from stonecove.trial.model import NetworkConditions

SEEDS = (36, 1, 2)
SETTLE_TIMEOUT_S = 12.0  # after a partition: a lost ping, the answers, a window, and the next views


def settle(fleet: PartitionedFleet) -> None:
    """Wait until all routers have joined again; check the sum of shares and that all tables agree."""
    assert (
        fleet.model.until(lambda: fleet.model.joined() and fleet.model.shares() > 0.999, SETTLE_TIMEOUT_S)
        < SETTLE_TIMEOUT_S
    )
    assert fleet.model.max_share_sum <= 1.0 + 1e-9
    fleet.model.run(3.0)
    assert len(fleet.tables()) == 1


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("routers", "zones", "partitioned_s"),
    [(5, 2, 9.0), (9, 3, 5.0), (9, 3, 9.0), (9, 3, 15.0), (9, 3, 40.0), (12, 2, 8.0), (20, 4, 9.0)],
)
def test_no_router_is_declared_failed_by_one_that_reaches_it_as_a_partition_ends(
    routers: int, zones: int, partitioned_s: float, seed: int
) -> None:
    fleet = PartitionedFleet(routers, seed, zones)
    fleet.partition_zone(0)
    fleet.model.run(partitioned_s)
    fleet.heal()
    fleet.model.run(5.0)
    assert fleet.failures_of_reachable() == []
    assert len(fleet.failures()) == len(set(fleet.failures()))  # none is declared failed twice
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_router_is_declared_failed_by_one_that_reaches_it_after_a_one_sided_partition(seed: int) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.partition_zone(0, both=False)
    fleet.model.run(12.0)
    fleet.heal()
    fleet.model.run(5.0)
    assert fleet.failures_of_reachable() == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_router_is_declared_failed_by_one_that_reaches_it_under_a_partition_that_recurs_at_once(
    seed: int,
) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    for healed_s, partitioned_s in ((0.3, 2.0), (0.05, 9.0), (1.0, 0.5), (0.1, 8.0)):
        fleet.partition_zone(0)
        fleet.model.run(partitioned_s)
        fleet.heal()
        fleet.model.run(healed_s)
    fleet.model.run(5.0)
    assert fleet.failures_of_reachable() == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_router_is_declared_failed_by_one_that_reaches_it_under_two_partitions_that_overlap(
    seed: int,
) -> None:
    fleet = PartitionedFleet(12, seed, 3)
    fleet.partition_zone(0)
    fleet.model.run(5.0)
    fleet.partition_zone(1)
    fleet.model.run(5.0)
    fleet.heal(1)
    fleet.model.run(5.0)
    fleet.heal()
    fleet.model.run(5.0)
    assert fleet.failures_of_reachable() == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_router_is_declared_failed_by_one_that_reaches_it_while_datagrams_are_lost(seed: int) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.model.network = NetworkConditions(lose=0.2)
    fleet.partition_zone(0)
    fleet.model.run(9.0)
    fleet.heal()
    fleet.model.run(8.0)
    assert fleet.failures_of_reachable() == []
    fleet.model.network = NetworkConditions()
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_router_paused_through_the_end_of_a_partition_is_declared_failed_by_none_that_reaches_it(
    seed: int,
) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.partition_zone(0)
    fleet.model.run(7.0)
    fleet.model.suspend(4, 5.0)
    fleet.model.run(2.0)
    fleet.heal()
    fleet.model.run(9.0)
    assert fleet.failures_of_reachable() == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_routers_beside_an_older_version_declare_no_reachable_router_failed(seed: int) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.accept_claims_unconfirmed([3, 4])
    fleet.partition_zone(0)
    fleet.model.run(9.0)
    fleet.heal()
    fleet.model.run(5.0)
    assert [
        (observer, member) for observer, member in fleet.failures_of_reachable() if observer not in (3, 4)
    ] == []
    settle(fleet)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("offset_s", [-3.0, 0.1], ids=["during the partition", "right after it"])
def test_a_machine_that_vanishes_around_the_end_of_a_partition_is_declared_failed_by_all(
    offset_s: float, seed: int
) -> None:
    fleet = PartitionedFleet(9, seed, 3)
    fleet.partition_zone(0)
    fleet.model.run(9.0 + min(0.0, offset_s))
    if offset_s < 0.0:
        _cut_off_and_kill(fleet, 4)
        fleet.model.run(-offset_s)
        fleet.heal()
        fleet.model.cut([4], range(9))
    else:
        fleet.heal()
        fleet.model.run(offset_s)
        _cut_off_and_kill(fleet, 4)
    # Suspected within two probe intervals and a ping timeout, then for at most twice the minimum suspicion.
    assert fleet.model.until(lambda: fleet.model.known_ended(4), 18.0) < 18.0


def _cut_off_and_kill(fleet: PartitionedFleet, index: int) -> None:
    """End a router so that no datagram from it arrives and none to its address is refused."""
    fleet.model.cut([index], range(len(fleet.model.routers)))
    fleet.model.kill(index)


@pytest.mark.parametrize("routers", [5, 20])
def test_a_failure_is_accepted_at_once_by_those_that_have_suspected_for_long_enough(routers: int) -> None:
    """Guard against routers that each wait for the end of their own suspicion before they accept FAILED."""
    fleet = PartitionedFleet(routers, 1, 1)
    _cut_off_and_kill(fleet, 2)
    failed_at: list[float] = []
    ident = ident_of("router-2")

    def record_failures() -> None:
        count = sum(
            swarm.gossip.table.members[ident].claim.state >= MemberState.FAILED
            for router in fleet.model.running_routers()
            if (swarm := router.swarm) is not None
        )
        failed_at.extend([fleet.model.now] * (count - len(failed_at)))

    fleet.model.run(25.0, record_failures)
    assert len(failed_at) == routers - 1
    assert failed_at[-1] - failed_at[0] <= 1.0

"""Test the ledger, the control machine, and hollow routers that follow it."""

from __future__ import annotations

import time
from pathlib import Path

import numpy as np
from process_harness import ProcessHarness

from stonecove.scale.child import Child
from stonecove.scale.control_machine import FIRST_NUMBER
from stonecove.scale.control_plane import ControlPlane, MachineReport
from stonecove.scale.event_log import EventLog
from stonecove.scale.faults import SlowReader
from stonecove.scale.hollow_fleet import HollowFleet
from stonecove.scale.ledger import (
    Incarnation,
    Ledger,
    Published,
    caught_up_at_ns,
    count_lost,
    count_repeated,
    earliest_first_bytes_ns,
    purge_delays,
)
from stonecove.scale.router_tables import peer_tables, router_table, shared_table
from stonecove.scale.topology import MACHINES, REGIONS, SITES, ZONES, control_address, location_of, zones_of
from stonecove.standins.depot import OBJECT_PURGE, Depot, object_purge

NS_PER_MS = 1_000_000
ROUTER_COUNT = 8
LARGE_EVENT_BYTES = 20_000  # size of an event of an unknown kind, which routers ignore
UNKNOWN_KIND = 77


def _incarnation(
    router: int, times_ns: list[int], last_covered: int = 1, started_at_ns: int = 0, ended_at_ns: int = 0
) -> Incarnation:
    ledger = Ledger(router, last_covered, started_at_ns)
    for index, time_ns in enumerate(times_ns):
        if time_ns:
            ledger.record_applied(last_covered + 1 + index, time_ns)
    ledger.ended_at_ns = ended_at_ns
    return Incarnation.of(ledger)


def _published(*first_bytes: int, purges: frozenset[int] = frozenset()) -> Published:
    return Published(FIRST_NUMBER, np.array(first_bytes, dtype=np.int64), purges)


def test_an_event_that_a_router_never_applied_counts_as_lost() -> None:
    published = _published(10, 20, 30)
    complete, with_gap, lagging = (
        _incarnation(0, [11, 21, 31]),
        _incarnation(1, [12, 0, 32]),
        _incarnation(2, [11, 21]),
    )
    assert count_lost([complete], published) == 0
    assert count_lost([complete, with_gap], published) == 1
    assert count_lost([complete, with_gap, lagging], published) == 2


def test_only_gaps_count_as_lost_for_an_ended_incarnation() -> None:
    published = _published(10, 20, 30)
    assert count_lost([_incarnation(0, [11, 21], ended_at_ns=25)], published) == 0
    assert count_lost([_incarnation(0, [0, 21], ended_at_ns=25)], published) == 1
    assert count_lost([_incarnation(0, [], ended_at_ns=25)], published) == 0


def test_a_later_incarnation_only_needs_events_after_its_endpoint_list() -> None:
    assert count_lost([_incarnation(0, [31], last_covered=3)], _published(10, 20, 30)) == 0


def test_an_event_that_is_applied_twice_counts_as_repeated() -> None:
    ledger = Ledger(0, 1, 0)
    ledger.record_applied(2, 10)
    assert count_repeated([Incarnation.of(ledger)]) == 0
    ledger.record_applied(2, 12)
    ledger.record_applied(1, 13)  # already covered by its configuration
    assert count_repeated([Incarnation.of(ledger)]) == 2
    assert ledger.applied_at_ns[0] == 10


def test_a_purge_is_complete_when_the_last_router_applied_it() -> None:
    published = _published(10 * NS_PER_MS, 20 * NS_PER_MS, 30 * NS_PER_MS, purges=frozenset({2, 4}))
    incarnations = [
        _incarnation(0, [11 * NS_PER_MS, 900 * NS_PER_MS, 31 * NS_PER_MS]),
        _incarnation(1, [14 * NS_PER_MS, 900 * NS_PER_MS, 38 * NS_PER_MS]),
    ]
    delays = purge_delays(incarnations, published, 2, 4)
    assert (delays.count, delays.p50_ms, delays.max_ms) == (2, 6.0, 8.0)
    assert purge_delays(incarnations, published, 2, 3).max_ms == 4.0


def test_routers_have_caught_up_once_the_last_applied_every_event() -> None:
    published = _published(10, 20)
    assert caught_up_at_ns([_incarnation(0, [11, 21]), _incarnation(1, [15, 44])], published, 3) == 44
    assert caught_up_at_ns([_incarnation(0, [11, 21]), _incarnation(1, [15])], published, 3) == 0
    assert caught_up_at_ns([_incarnation(0, [11, 21]), _incarnation(1, [15])], published, 2) == 15


def test_the_first_byte_is_the_earliest_of_all_machines() -> None:
    assert list(earliest_first_bytes_ns([[5, 0], [4, 9], [7]], 3)) == [4, 9, 0]


def test_routers_are_located_in_all_sites_zones_and_regions() -> None:
    locations = [location_of(router) for router in range(730)]
    assert {location.site for location in locations} == set(range(SITES))
    assert {location.zone for location in locations} == set(range(1, ZONES + 1))
    assert {location.region for location in locations} == set(range(REGIONS))
    assert [sum(location.machine == machine for location in locations) for machine in range(MACHINES)] == [
        244,
        243,
        243,
    ]
    assert sorted(zone for region in range(REGIONS) for zone in zones_of(region)) == list(range(1, ZONES + 1))


class FleetHarness:
    """Control machines and one process of hollow routers."""

    def __init__(self, folder: Path, max_lag_bytes: int = 65_536, swarm: bool = False) -> None:
        self.log = EventLog()
        self.depot = Depot(5, zones=ZONES)
        self.control = ControlPlane(folder, self.log, max_lag_bytes)
        locations = [location_of(router) for router in range(ROUTER_COUNT)]
        shared = shared_table(locations, self.depot, swarm)
        tables = {location.router: router_table(location, self.control.ports, 1) for location in locations}
        if swarm:
            peers = peer_tables(locations)
            tables = {router: table | peers[router] for router, table in tables.items()}
        self.hollow = HollowFleet(folder, shared, tables, ROUTER_COUNT)
        self.hollow.start_all()
        self.wait_until_caught_up()

    def publish_purges(self, count: int = 1) -> int:
        for _ in range(count):
            event_number = self.log.publish(OBJECT_PURGE, object_purge(77, time.time() * 1000.0))
        return event_number

    def wait_until_caught_up(self) -> None:
        ProcessHarness.wait_until(
            lambda: self.hollow.sample().receiving == ROUTER_COUNT, "all routers to receive a frame"
        )
        ProcessHarness.wait_until(
            lambda: not self.hollow.count_lagging(self.log.last), "all routers to catch up"
        )

    def reports(self) -> list[MachineReport]:
        return self.control.reports()

    def close(self) -> None:
        self.hollow.close()
        self.control.close()
        self.depot.close()


def _lost_and_repeated(fleet: FleetHarness) -> tuple[int, int]:
    incarnations = fleet.hollow.incarnations()
    first_bytes = earliest_first_bytes_ns(
        (report.first_bytes for report in fleet.reports()), fleet.log.last - 1
    )
    return count_lost(incarnations, Published(FIRST_NUMBER, first_bytes)), count_repeated(incarnations)


def test_hollow_routers_apply_every_event_once_and_their_traffic_is_counted(tmp_path: Path) -> None:
    fleet = FleetHarness(tmp_path)
    try:
        before = fleet.hollow.sample()
        fleet.publish_purges(100)
        fleet.wait_until_caught_up()
        after = fleet.hollow.sample()
        assert _lost_and_repeated(fleet) == (0, 0)
        # The frame of a purge has a header of 13 bytes and a body of 16.
        assert after.received - before.received >= ROUTER_COUNT * 100 * 29
        assert after.sent == ROUTER_COUNT * 8  # the number of the last event, sent once
        assert after.headers > before.headers
        assert after.memory_mb > 0
        assert not after.bugs
    finally:
        fleet.close()


def test_routers_of_a_restarted_control_machine_receive_every_event(tmp_path: Path) -> None:
    fleet = FleetHarness(tmp_path)
    try:
        fleet.publish_purges(10)
        fleet.wait_until_caught_up()
        fleet.control.kill(0)
        event_number = fleet.publish_purges(10)
        # Routers 0, 3 and 6 follow machine 0.
        ProcessHarness.wait_until(
            lambda: fleet.hollow.count_lagging(event_number) == 3,
            "only the routers of machine 0 to lack the last event",
        )
        fleet.control.start(0)
        fleet.wait_until_caught_up()
        assert _lost_and_repeated(fleet) == (0, 0)
    finally:
        fleet.close()


def test_routers_of_a_partitioned_zone_catch_up(tmp_path: Path) -> None:
    fleet = FleetHarness(tmp_path)
    try:
        zone = location_of(0).zone
        fleet.control.partition([zone], True)
        event_number = fleet.publish_purges()
        ProcessHarness.wait_until(
            lambda: fleet.hollow.count_lagging(event_number) == 1,
            "all other routers to receive the last event",
        )
        # Connections that the router closes meanwhile are all established at once when the partition ends.
        ProcessHarness.wait_until(
            lambda: fleet.hollow.sample().events["change_log_disconnected"] >= 2,
            "the partitioned router to close two connections",
        )
        fleet.control.partition([zone], False)
        fleet.wait_until_caught_up()
        assert _lost_and_repeated(fleet) == (0, 0)
    finally:
        fleet.close()


def test_restarted_routers_lose_and_repeat_no_event(tmp_path: Path) -> None:
    fleet = FleetHarness(tmp_path)
    try:
        event_number = fleet.publish_purges(10)
        fleet.wait_until_caught_up()
        fleet.hollow.kill({1, 2})
        assert fleet.hollow.count_lagging(event_number) == 2
        fleet.hollow.start({1, 2}, 0.0)
        fleet.wait_until_caught_up()
        assert len(fleet.hollow.incarnations()) == ROUTER_COUNT + 2
        assert _lost_and_repeated(fleet) == (0, 0)
    finally:
        fleet.close()


def test_a_slow_reader_is_disconnected_and_delays_no_other_router(tmp_path: Path) -> None:
    max_lag_bytes = 60_000
    fleet = FleetHarness(tmp_path, max_lag_bytes)
    reader = SlowReader(control_address(location_of(0), fleet.control.ports))
    try:
        fleet.wait_until_caught_up()
        reader.start()
        ProcessHarness.wait_until(lambda: reader.received > 0, "the slow reader to receive data")

        def publish_until_disconnected() -> bool:
            fleet.log.publish(UNKNOWN_KIND, bytes(LARGE_EVENT_BYTES))
            event_number = fleet.publish_purges()
            ProcessHarness.wait_until(
                lambda: not fleet.hollow.count_lagging(event_number),
                "all other routers to receive the last event",
            )
            return fleet.reports()[0].cut_off > 0

        ProcessHarness.wait_until(publish_until_disconnected, "the slow reader to be disconnected")
        assert fleet.reports()[0].most_behind <= max_lag_bytes + 2 * LARGE_EVENT_BYTES + 1000
        # The slow reader reads the rest, and reconnects with the number of its last event.
        reader.max_read_bytes, reader.read_interval_s = 65_536, 0.001
        ProcessHarness.wait_until(lambda: reader.last == fleet.log.last, "the slow reader to catch up")
        assert reader.connections == 2
    finally:
        reader.close()
        fleet.close()


def test_gossiping_hollow_routers_receive_claims_and_still_apply_every_event_once(tmp_path: Path) -> None:
    fleet = FleetHarness(tmp_path, swarm=True)
    try:
        ProcessHarness.wait_until(
            lambda: fleet.hollow.sample().events["gossip_share_changed"] >= 2 * ROUTER_COUNT,
            "all routers to receive claims of others",
        )
        sample = fleet.hollow.sample()
        assert sample.sent > ROUTER_COUNT * 8 + ROUTER_COUNT * 100  # more than they send to control machines
        assert not sample.bugs
        fleet.hollow.kill({1})
        event_number = fleet.publish_purges()
        ProcessHarness.wait_until(
            lambda: fleet.hollow.count_lagging(event_number) == 1,
            "all other routers to receive the last event",
        )
        fleet.hollow.start({1}, 0.0)
        fleet.wait_until_caught_up()
        assert _lost_and_repeated(fleet) == (0, 0)
    finally:
        fleet.close()


def test_a_child_exits_when_its_command_pipe_closes(tmp_path: Path) -> None:
    child = Child("stonecove.scale.hollow_process", tmp_path / "log")
    assert child.request("idle")["memory_mb"] > 0
    child.close()
    assert child.process.returncode == 0

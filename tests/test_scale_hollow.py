"""The ledger, the control machine, and hollow routers that follow it."""

from __future__ import annotations

import time
from pathlib import Path

import numpy as np
from stand import Stand

from stonecove.scale.child import Child
from stonecove.scale.control_machine import FIRST_NUMBER
from stonecove.scale.control_plane import ControlPlane, MachineReport
from stonecove.scale.event_log import EventLog
from stonecove.scale.faults import SlowReader
from stonecove.scale.hollow_fleet import HollowFleet
from stonecove.scale.ledger import (
    Ledger,
    Life,
    Published,
    earliest,
    level_at,
    lost,
    purge_delays,
    repeated,
)
from stonecove.scale.router_tables import own_table, peer_tables, shared_table
from stonecove.scale.topology import MACHINES, REGIONS, SITES, ZONES, control_address, place_of, zones_of
from stonecove.standins.depot import OBJECT_PURGE, Depot, object_purge

MS = 1_000_000  # nanoseconds
FLEET = 8
LARGE = 20_000  # bytes of an event that nobody knows the kind of; a router passes over it
UNKNOWN_KIND = 77


def _life(router: int, moments: list[int], last: int = 1, began: int = 0, ended: int = 0) -> Life:
    ledger = Ledger(router, last, began)
    for place, moment in enumerate(moments):
        if moment:
            ledger.took(last + 1 + place, moment)
    ledger.ended = ended
    return Life.of(ledger)


def _published(*first_bytes: int, purges: frozenset[int] = frozenset()) -> Published:
    return Published(FIRST_NUMBER, np.array(first_bytes, dtype=np.int64), purges)


def test_an_event_that_a_router_never_had_is_told_as_lost() -> None:
    published = _published(10, 20, 30)
    whole, gap, late = _life(0, [11, 21, 31]), _life(1, [12, 0, 32]), _life(2, [11, 21])
    assert lost([whole], published) == 0
    assert lost([whole, gap], published) == 1
    assert lost([whole, gap, late], published) == 2


def test_of_a_life_that_was_ended_only_gaps_are_lost() -> None:
    published = _published(10, 20, 30)
    assert lost([_life(0, [11, 21], ended=25)], published) == 0
    assert lost([_life(0, [0, 21], ended=25)], published) == 1
    assert lost([_life(0, [], ended=25)], published) == 0


def test_a_life_that_begins_later_owes_only_what_came_after_its_list() -> None:
    assert lost([_life(0, [31], last=3)], _published(10, 20, 30)) == 0


def test_an_event_that_is_taken_twice_is_told_as_repeated() -> None:
    ledger = Ledger(0, 1, 0)
    ledger.took(2, 10)
    assert repeated([Life.of(ledger)]) == 0
    ledger.took(2, 12)
    ledger.took(1, 13)  # its configuration has told that already
    assert repeated([Life.of(ledger)]) == 2
    assert ledger.taken[0] == 10


def test_a_purge_is_done_when_the_last_router_has_it() -> None:
    published = _published(10 * MS, 20 * MS, 30 * MS, purges=frozenset({2, 4}))
    lives = [_life(0, [11 * MS, 900 * MS, 31 * MS]), _life(1, [14 * MS, 900 * MS, 38 * MS])]
    delays = purge_delays(lives, published, 2, 4)
    assert (delays.count, delays.p50_ms, delays.max_ms) == (2, 6.0, 8.0)
    assert purge_delays(lives, published, 2, 3).max_ms == 4.0


def test_routers_are_level_once_the_last_has_everything() -> None:
    published = _published(10, 20)
    assert level_at([_life(0, [11, 21]), _life(1, [15, 44])], published, 3) == 44
    assert level_at([_life(0, [11, 21]), _life(1, [15])], published, 3) == 0
    assert level_at([_life(0, [11, 21]), _life(1, [15])], published, 2) == 15


def test_the_first_byte_is_the_earliest_at_any_machine() -> None:
    assert list(earliest([[5, 0], [4, 9], [7]], 3)) == [4, 9, 0]


def test_routers_stand_in_all_sites_zones_and_regions() -> None:
    places = [place_of(router) for router in range(730)]
    assert {place.site for place in places} == set(range(SITES))
    assert {place.zone for place in places} == set(range(1, ZONES + 1))
    assert {place.region for place in places} == set(range(REGIONS))
    assert [sum(place.machine == machine for place in places) for machine in range(MACHINES)] == [
        244,
        243,
        243,
    ]
    assert sorted(zone for region in range(REGIONS) for zone in zones_of(region)) == list(range(1, ZONES + 1))


class Fleet:
    """Control machines and one process of hollow routers."""

    def __init__(self, folder: Path, most_behind: int = 65_536, swarm: bool = False) -> None:
        self.log = EventLog()
        self.depot = Depot(5, zones=ZONES)
        self.control = ControlPlane(folder, self.log, most_behind)
        places = [place_of(router) for router in range(FLEET)]
        shared = shared_table(places, self.depot, swarm)
        tables = {place.router: own_table(place, self.control.ports, 1) for place in places}
        if swarm:
            peers = peer_tables(places)
            tables = {router: table | peers[router] for router, table in tables.items()}
        self.hollow = HollowFleet(folder, shared, tables, FLEET)
        self.hollow.start_all()
        self.settle()

    def purge(self, count: int = 1) -> int:
        for _ in range(count):
            number = self.log.publish(OBJECT_PURGE, object_purge(77, time.time() * 1000.0))
        return number

    def settle(self) -> None:
        Stand.wait(lambda: self.hollow.sample().heard == FLEET, "all routers to hear")
        Stand.wait(lambda: not self.hollow.behind(self.log.last), "all routers to be level")

    def reports(self) -> list[MachineReport]:
        return self.control.reports()

    def close(self) -> None:
        self.hollow.close()
        self.control.close()
        self.depot.close()


def _lost_and_repeated(fleet: Fleet) -> tuple[int, int]:
    lives = fleet.hollow.lives()
    first_bytes = earliest((report.first_bytes for report in fleet.reports()), fleet.log.last - 1)
    return lost(lives, Published(FIRST_NUMBER, first_bytes)), repeated(lives)


def test_hollow_routers_take_every_event_once_and_are_counted(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    try:
        before = fleet.hollow.sample()
        fleet.purge(100)
        fleet.settle()
        after = fleet.hollow.sample()
        assert _lost_and_repeated(fleet) == (0, 0)
        assert after.received - before.received >= FLEET * 100 * 29  # a frame of a purge: 13 and 16 bytes
        assert after.sent == FLEET * 8  # the number of the last event, once
        assert after.headers > before.headers
        assert after.memory_mb > 0
        assert not after.bugs
    finally:
        fleet.close()


def test_a_control_machine_that_was_killed_comes_back_with_everything(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    try:
        fleet.purge(10)
        fleet.settle()
        fleet.control.kill(0)
        number = fleet.purge(10)
        Stand.wait(lambda: fleet.hollow.behind(number) == 3, "the others to go on")  # routers 0, 3 and 6
        fleet.control.start(0)
        fleet.settle()
        assert _lost_and_repeated(fleet) == (0, 0)
    finally:
        fleet.close()


def test_routers_of_a_zone_that_was_cut_catch_up(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    try:
        zone = place_of(0).zone
        fleet.control.cut([zone], True)
        number = fleet.purge()
        Stand.wait(lambda: fleet.hollow.behind(number) == 1, "all others to have it")
        # The connections that it gives up meanwhile come up all at once when the cut ends.
        Stand.wait(
            lambda: fleet.hollow.sample().events["change_log_disconnected"] >= 2, "it to give up twice"
        )
        fleet.control.cut([zone], False)
        fleet.settle()
        assert _lost_and_repeated(fleet) == (0, 0)
    finally:
        fleet.close()


def test_routers_that_were_killed_begin_with_their_list(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    try:
        number = fleet.purge(10)
        fleet.settle()
        fleet.hollow.kill({1, 2})
        assert fleet.hollow.behind(number) == 2
        fleet.hollow.start({1, 2}, 0.0)
        fleet.settle()
        assert len(fleet.hollow.lives()) == FLEET + 2
        assert _lost_and_repeated(fleet) == (0, 0)
    finally:
        fleet.close()


def test_a_slow_reader_is_cut_off_and_holds_nobody_up(tmp_path: Path) -> None:
    bound = 60_000
    fleet = Fleet(tmp_path, bound)
    reader = SlowReader(control_address(place_of(0), fleet.control.ports))
    try:
        fleet.settle()
        reader.start()
        Stand.wait(lambda: reader.received > 0, "the slow reader to be there")

        def told_until_cut_off() -> bool:
            fleet.log.publish(UNKNOWN_KIND, bytes(LARGE))
            number = fleet.purge()
            Stand.wait(lambda: not fleet.hollow.behind(number), "all others to have it")
            return fleet.reports()[0].cut_off > 0

        Stand.wait(told_until_cut_off, "the slow reader to be cut off")
        assert fleet.reports()[0].most_behind <= bound + 2 * LARGE + 1000
        reader.piece, reader.pause = 65_536, 0.001  # it reads what is left, and comes again by its number
        Stand.wait(lambda: reader.last == fleet.log.last, "it to be level")
        assert reader.connections == 2
    finally:
        reader.close()
        fleet.close()


def test_hollow_routers_may_form_a_swarm(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, swarm=True)
    try:
        Stand.wait(
            lambda: fleet.hollow.sample().events["gossip_share_changed"] >= 2 * FLEET, "all to hear of others"
        )
        sample = fleet.hollow.sample()
        assert sample.sent > FLEET * 8 + FLEET * 100  # more than what they tell control machines
        assert not sample.bugs
        fleet.hollow.kill({1})
        number = fleet.purge()
        Stand.wait(lambda: fleet.hollow.behind(number) == 1, "all others to have it")
        fleet.hollow.start({1}, 0.0)
        fleet.settle()
        assert _lost_and_repeated(fleet) == (0, 0)
    finally:
        fleet.close()


def test_children_end_with_their_orders(tmp_path: Path) -> None:
    child = Child("stonecove.scale.hollow_process", tmp_path / "log")
    assert child.ask("idle")["memory_mb"] > 0
    child.close()
    assert child.process.returncode == 0

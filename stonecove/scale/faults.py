"""Inject the faults of a scale run, and wait after each until all routers have caught up.

A fault starts, lasts for a while and ends; counted is the time from its end until the last router has
applied every event published up to then.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stonecove.discovery import MembershipEvent
from stonecove.protocols.buffer import Buffer, BufferFullError
from stonecove.protocols.change_log import MAX_FRAME_BYTES, ChangeLogError, Follower, frames
from stonecove.scale.control_machine import FIRST_NUMBER
from stonecove.scale.ledger import Incarnation, Published, caught_up_at_ns, purge_delays
from stonecove.scale.options import (
    MACHINE_CUT,
    MACHINE_KILLED,
    REGION_CUT,
    ROUTERS_KILLED,
    ROUTERS_RESTARTED,
    SLOW_READER,
    ZONE_CUT,
)
from stonecove.scale.results import FaultResult
from stonecove.scale.topology import RouterLocation, control_address, zones_of
from stonecove.trial.relay import Address

# Longer than the silence after which a router closes a connection.
FAULT_DURATION_S = 5.0
RESTART_SPREAD_S = 2.0  # in which every router is started
CATCH_UP_TIMEOUT_S = 20.0  # after which routers count as not caught up
DELAY_AFTER_FAULT_S = 1.0
SLOW_READ_BYTES, SLOW_READ_INTERVAL_S = 10, 0.1  # 100 bytes a second
SLOW_RECEIVE_BUFFER_BYTES = 2304  # the smallest receive buffer that Linux gives a socket
VICTIM_MACHINE = 0
VICTIM_REGION = 2
NS_PER_MS = 1e6


class FaultTarget(Protocol):
    """The run that a fault acts upon."""

    @property
    def locations(self) -> list[RouterLocation]:
        """Return the locations of all routers, real ones included."""

    @property
    def ports(self) -> tuple[int, ...]:
        """Return the ports of the control machines."""

    def newest(self) -> int:
        """Return the number of the newest event."""

    def kill_machine(self, machine: int) -> None:
        """Kill a control machine with SIGKILL."""

    def start_machine(self, machine: int) -> None:
        """Start a killed control machine at the same address."""

    def partition(self, zones: list[int], partitioned: bool, machines: list[int] | None = None) -> None:
        """Start or end a partition between zones and control machines (None: all)."""

    def kill_routers(self, routers: set[int]) -> None:
        """Kill real routers; stop hollow ones as if they were killed."""

    def start_routers(self, routers: set[int], spread_s: float) -> None:
        """Start killed routers, spread over this many seconds."""

    def wait_until_caught_up(self, number: int, timeout_s: float) -> bool:
        """Wait until all routers run and have applied this event; return False on timeout."""


@dataclass(frozen=True, slots=True)
class Window:
    """When a fault was played, as times in ns and numbers of events."""

    name: str
    affected_routers: frozenset[int]
    started_at_ns: int
    ended_at_ns: int
    settled_at_ns: int  # when the wait for routers to catch up was over
    first: int  # the first event after its start
    last: int  # the newest event at its end
    newest: int  # the newest event at `settled_at_ns`
    note: str

    def result(self, incarnations: list[Incarnation], published: Published) -> FaultResult:
        """Return the fault's result, from the ledgers of the whole run."""
        running = [
            incarnation
            for incarnation in incarnations
            if incarnation.started_at_ns <= self.settled_at_ns and _runs(incarnation, self.settled_at_ns)
        ]
        caught_up_ns = caught_up_at_ns(running, published, self.last)
        level_ms = max(0.0, (caught_up_ns - self.ended_at_ns) / NS_PER_MS) if caught_up_ns else -1.0
        others = [
            incarnation
            for incarnation in running
            if incarnation.router not in self.affected_routers
            and incarnation.started_at_ns < self.started_at_ns
        ]
        note = self.note
        if others:
            purge_max_ms = purge_delays(others, published, self.first, self.newest).max_ms
        else:
            purge_max_ms, note = 0.0, f"{note}; it affected every hollow router"
        return FaultResult(self.name, level_ms, purge_max_ms, note)


def _runs(incarnation: Incarnation, at_ns: int) -> bool:
    return not incarnation.ended_at_ns or incarnation.ended_at_ns > at_ns


def _play(
    target: FaultTarget,
    name: str,
    affected_routers: set[int],
    begin: Callable[[], None],
    duration_s: float,
    end: Callable[[], None],
    note: str,
) -> Window:
    first, started_at_ns = target.newest() + 1, time.time_ns()
    begin()
    time.sleep(duration_s)
    last = target.newest()
    ended_at_ns = time.time_ns()
    end()
    target.wait_until_caught_up(last, CATCH_UP_TIMEOUT_S)
    settled_at_ns = time.time_ns()
    time.sleep(DELAY_AFTER_FAULT_S)
    return Window(
        name,
        frozenset(affected_routers),
        started_at_ns,
        ended_at_ns,
        settled_at_ns,
        first,
        last,
        target.newest(),
        note,
    )


def _select_routers(target: FaultTarget, matches: Callable[[RouterLocation], bool]) -> set[int]:
    return {location.router for location in target.locations if matches(location)}


def _largest_zone(target: FaultTarget) -> int:
    zones = [location.zone for location in target.locations]
    return max(sorted(set(zones)), key=zones.count)


def machine_killed(target: FaultTarget) -> Window:
    """Kill one control machine, and restart it at the same address."""
    affected_routers = _select_routers(target, lambda location: location.machine == VICTIM_MACHINE)
    return _play(
        target,
        MACHINE_KILLED,
        affected_routers,
        lambda: target.kill_machine(VICTIM_MACHINE),
        FAULT_DURATION_S,
        lambda: target.start_machine(VICTIM_MACHINE),
        f"killed for {FAULT_DURATION_S:g} s, its routers have no other address; "
        "counted from its restart, start time included",
    )


def machine_cut(target: FaultTarget) -> Window:
    """Partition one control machine from all zones for a while."""
    affected_routers = _select_routers(target, lambda location: location.machine == VICTIM_MACHINE)
    zones = sorted({location.zone for location in target.locations})
    return _play(
        target,
        MACHINE_CUT,
        affected_routers,
        lambda: target.partition(zones, True, [VICTIM_MACHINE]),
        FAULT_DURATION_S,
        lambda: target.partition(zones, False, [VICTIM_MACHINE]),
        f"partitioned for {FAULT_DURATION_S:g} s; counted from the end of the partition",
    )


def _play_partition(target: FaultTarget, name: str, zones: list[int]) -> Window:
    affected_routers = _select_routers(target, lambda location: location.zone in zones)
    return _play(
        target,
        name,
        affected_routers,
        lambda: target.partition(zones, True),
        FAULT_DURATION_S,
        lambda: target.partition(zones, False),
        f"{len(affected_routers)} routers partitioned for {FAULT_DURATION_S:g} s; "
        "counted from the end of the partition",
    )


def zone_cut(target: FaultTarget) -> Window:
    """Partition one zone from all control machines for a while."""
    return _play_partition(target, ZONE_CUT, [_largest_zone(target)])


def region_cut(target: FaultTarget) -> Window:
    """Partition one region from all control machines for a while."""
    return _play_partition(target, REGION_CUT, list(zones_of(VICTIM_REGION)))


def routers_killed(target: FaultTarget) -> Window:
    """Kill all routers of a zone, and restart them together."""
    zone = _largest_zone(target)
    affected_routers = _select_routers(target, lambda location: location.zone == zone)
    return _play(
        target,
        ROUTERS_KILLED,
        affected_routers,
        lambda: target.kill_routers(affected_routers),
        FAULT_DURATION_S,
        lambda: target.start_routers(affected_routers, 0.0),
        f"{len(affected_routers)} routers of a zone down for {FAULT_DURATION_S:g} s; "
        "counted from their restart, with the endpoint list from the start of the run",
    )


def routers_restarted(target: FaultTarget) -> Window:
    """Restart every router within a short time."""
    affected_routers = _select_routers(target, lambda location: True)

    def begin() -> None:
        target.kill_routers(affected_routers)
        target.start_routers(affected_routers, RESTART_SPREAD_S)

    return _play(
        target,
        ROUTERS_RESTARTED,
        affected_routers,
        begin,
        RESTART_SPREAD_S,
        lambda: None,
        f"all {len(affected_routers)} restarted within {RESTART_SPREAD_S:g} s; "
        "counted from the last start, with the endpoint list from the start of the run; "
        "hollow routers that share a process also share its core",
    )


def slow_reader(target: FaultTarget) -> Window:
    """Let one more client follow the log at 100 bytes per second."""
    location = next(location for location in target.locations if location.machine == VICTIM_MACHINE)
    reader = SlowReader(control_address(location, target.ports))
    try:
        window = _play(
            target,
            SLOW_READER,
            set(),
            reader.start,
            FAULT_DURATION_S,
            lambda: None,
            f"reads {SLOW_READ_BYTES / SLOW_READ_INTERVAL_S:g} bytes per second "
            f"for {FAULT_DURATION_S:g} s and longer",
        )
    finally:
        reader.close()
    return window


class SlowReader:
    """Follows the change log slowly, and reconnects with its last number when it is disconnected."""

    def __init__(self, address: Address) -> None:
        """Create one that is not running yet."""
        self._address = address
        self._follower = Follower(FIRST_NUMBER - 1)  # from the first event on, so that much is pending
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.max_read_bytes, self.read_interval_s = SLOW_READ_BYTES, SLOW_READ_INTERVAL_S
        self.connections = 0
        self.received = 0

    @property
    def last(self) -> int:
        """Return the number of the last complete event."""
        return self._follower.last

    def start(self) -> None:
        """Start to read."""
        self._thread.start()

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Ignore the event."""

    def _run(self) -> None:
        while not self._stopped.is_set():
            with contextlib.suppress(OSError, ChangeLogError, BufferFullError), socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
                sock.settimeout(SLOW_READ_INTERVAL_S)
                sock.connect(self._address)
                sock.sendall(struct.pack(">Q", self._follower.last))
                self.connections += 1
                self._read(sock)
            self._stopped.wait(SLOW_READ_INTERVAL_S)

    def _read(self, sock: socket.socket) -> None:
        buffer = Buffer(2 * MAX_FRAME_BYTES)
        while not self._stopped.wait(self.read_interval_s):
            try:
                chunk = sock.recv(self.max_read_bytes)
            except TimeoutError:
                continue
            if not chunk:
                return
            self.received += len(chunk)
            buffer.feed(chunk)
            for frame in frames(buffer):
                self._follower.take(frame, self)

    def close(self) -> None:
        """Stop reading and wait for the thread."""
        self._stopped.set()
        if self._thread.ident is not None:
            self._thread.join()


FAULTS: dict[str, Callable[[FaultTarget], Window]] = {
    ROUTERS_RESTARTED: routers_restarted,
    ROUTERS_KILLED: routers_killed,
    MACHINE_KILLED: machine_killed,
    MACHINE_CUT: machine_cut,
    ZONE_CUT: zone_cut,
    REGION_CUT: region_cut,
    SLOW_READER: slow_reader,
}

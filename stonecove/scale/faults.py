"""Faults that a scale run plays, each until all routers are level again.

A fault begins, lasts, and is ended; from its end on it is counted how long the last router takes until it has
everything in force that was published up to then.
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
from stonecove.scale.ledger import Life, Published, level_at, purge_delays
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
from stonecove.scale.topology import RouterPlace, control_address, zones_of
from stonecove.trial.relay import Address

LASTS = 5.0  # seconds of a fault: longer than the silence after which a router gives a connection up
RESTART_WITHIN = 2.0  # seconds in which every router is started
LEVEL_PATIENCE = 20.0  # seconds until it is said that routers were never level again
AFTER = 1.0  # seconds between two faults
SLOW_PIECE, SLOW_EVERY = 10, 0.1  # bytes, and seconds between two reads: 100 bytes a second
SLOW_BUFFER = 2304  # bytes; the least that Linux gives a socket to receive
VICTIM_MACHINE = 0
VICTIM_REGION = 2
MILLISECOND = 1e6  # nanoseconds


class Ground(Protocol):
    """What a fault acts upon: the run."""

    @property
    def places(self) -> list[RouterPlace]:
        """Of all routers, real ones among them."""

    @property
    def ports(self) -> tuple[int, ...]:
        """Of the control machines."""

    def newest(self) -> int:
        """The number of the newest event."""

    def kill_machine(self, machine: int) -> None:
        """Ends a control machine without a word."""

    def start_machine(self, machine: int) -> None:
        """Starts it again, at the same address."""

    def cut(self, zones: list[int], cut: bool, machines: list[int] | None = None) -> None:
        """Cuts the ways between zones and control machines (None: all), or joins them."""

    def kill_routers(self, routers: set[int]) -> None:
        """Ends routers without a word."""

    def start_routers(self, routers: set[int], within: float) -> None:
        """Starts them again, spread over so many seconds."""

    def until_level(self, number: int, patience: float) -> bool:
        """Waits until all routers run and have that event in force; says whether it came to that."""


@dataclass(frozen=True, slots=True)
class Window:
    """When a fault was played. Moments in ns; `settled`: when the wait for level was over."""

    name: str
    touched: frozenset[int]  # routers
    began: int
    ended: int
    settled: int
    first: int  # the first event after its beginning
    last: int  # the newest event at its end
    newest: int  # and when it was settled
    note: str

    def result(self, lives: list[Life], published: Published) -> FaultResult:
        """What came of it, by the ledgers of the whole run."""
        present = [life for life in lives if life.began <= self.settled and _runs(life, self.settled)]
        at = level_at(present, published, self.last)
        level_ms = max(0.0, (at - self.ended) / MILLISECOND) if at else -1.0
        others = [life for life in present if life.router not in self.touched and life.began < self.began]
        note = self.note
        if others:
            purge_max_ms = purge_delays(others, published, self.first, self.newest).max_ms
        else:
            purge_max_ms, note = 0.0, f"{note}; it touched every hollow router"
        return FaultResult(self.name, level_ms, purge_max_ms, note)


def _runs(life: Life, moment: int) -> bool:
    return not life.ended or life.ended > moment


def _play(ground: Ground, name: str, touched: set[int], begin: Callable[[], None], lasts: float,
          end: Callable[[], None], note: str) -> Window:  # fmt: skip
    first, began = ground.newest() + 1, time.time_ns()
    begin()
    time.sleep(lasts)
    last = ground.newest()
    ended = time.time_ns()
    end()
    ground.until_level(last, LEVEL_PATIENCE)
    settled = time.time_ns()
    time.sleep(AFTER)
    return Window(name, frozenset(touched), began, ended, settled, first, last, ground.newest(), note)


def _routers_of(ground: Ground, matches: Callable[[RouterPlace], bool]) -> set[int]:
    return {place.router for place in ground.places if matches(place)}


def _largest_zone(ground: Ground) -> int:
    zones = [place.zone for place in ground.places]
    return max(sorted(set(zones)), key=zones.count)


def machine_killed(ground: Ground) -> Window:
    """One control machine is killed, and started again at its address."""
    touched = _routers_of(ground, lambda place: place.machine == VICTIM_MACHINE)
    return _play(
        ground, MACHINE_KILLED, touched, lambda: ground.kill_machine(VICTIM_MACHINE), LASTS,
        lambda: ground.start_machine(VICTIM_MACHINE),
        f"killed for {LASTS:g} s, its routers have no other address; from its new start on, which is counted",
    )  # fmt: skip


def machine_cut(ground: Ground) -> Window:
    """One control machine can't be heard by anybody for a while."""
    touched = _routers_of(ground, lambda place: place.machine == VICTIM_MACHINE)
    zones = sorted({place.zone for place in ground.places})
    return _play(
        ground, MACHINE_CUT, touched, lambda: ground.cut(zones, True, [VICTIM_MACHINE]), LASTS,
        lambda: ground.cut(zones, False, [VICTIM_MACHINE]),
        f"silent for {LASTS:g} s; from the end of the silence on",
    )  # fmt: skip


def _cut(ground: Ground, name: str, zones: list[int]) -> Window:
    touched = _routers_of(ground, lambda place: place.zone in zones)
    return _play(
        ground, name, touched, lambda: ground.cut(zones, True), LASTS, lambda: ground.cut(zones, False),
        f"{len(touched)} routers hear nothing for {LASTS:g} s; from the end of the silence on",
    )  # fmt: skip


def zone_cut(ground: Ground) -> Window:
    """A zone is cut off from all control machines for a while, without a word."""
    return _cut(ground, ZONE_CUT, [_largest_zone(ground)])


def region_cut(ground: Ground) -> Window:
    """A region is cut off from all control machines for a while, without a word."""
    return _cut(ground, REGION_CUT, list(zones_of(VICTIM_REGION)))


def routers_killed(ground: Ground) -> Window:
    """All routers of a zone are killed, and started again at once."""
    zone = _largest_zone(ground)
    touched = _routers_of(ground, lambda place: place.zone == zone)
    return _play(
        ground, ROUTERS_KILLED, touched, lambda: ground.kill_routers(touched), LASTS,
        lambda: ground.start_routers(touched, 0.0),
        f"{len(touched)} routers of a zone away for {LASTS:g} s; from their new start on, with the list "
        "that they began the run with",
    )  # fmt: skip


def routers_restarted(ground: Ground) -> Window:
    """Every router is started anew within a short time."""
    touched = _routers_of(ground, lambda place: True)

    def begin() -> None:
        ground.kill_routers(touched)
        ground.start_routers(touched, RESTART_WITHIN)

    return _play(
        ground, ROUTERS_RESTARTED, touched, begin, RESTART_WITHIN, lambda: None,
        f"all {len(touched)} started within {RESTART_WITHIN:g} s; from the last start on, with the list that "
        "they began the run with; hollow ones that share a process also share its core meanwhile",
    )  # fmt: skip


def slow_reader(ground: Ground) -> Window:
    """Somebody follows the log who reads 100 bytes a second."""
    place = next(place for place in ground.places if place.machine == VICTIM_MACHINE)
    reader = SlowReader(control_address(place, ground.ports))
    try:
        window = _play(
            ground, SLOW_READER, set(), reader.start, LASTS, lambda: None,
            f"reads {SLOW_PIECE / SLOW_EVERY:g} bytes a second for {LASTS:g} s and longer",
        )  # fmt: skip
    finally:
        reader.close()
    return window


class SlowReader:
    """Follows the change log, and reads next to nothing; comes again by its number where it is cut off."""

    def __init__(self, address: Address) -> None:
        """Nothing runs yet."""
        self._address = address
        self._follower = Follower(FIRST_NUMBER - 1)  # from the very first event on, so that much waits for it
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.piece, self.pause = SLOW_PIECE, SLOW_EVERY  # bytes of a read, and seconds before it
        self.connections = 0
        self.received = 0

    @property
    def last(self) -> int:
        """The number of the last event that it has read whole."""
        return self._follower.last

    def start(self) -> None:
        """Begins to read."""
        self._thread.start()

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Takes nothing in."""

    def _run(self) -> None:
        while not self._over.is_set():
            with contextlib.suppress(OSError, ChangeLogError, BufferFullError), socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER)
                sock.settimeout(SLOW_EVERY)
                sock.connect(self._address)
                sock.sendall(struct.pack(">Q", self._follower.last))
                self.connections += 1
                self._read(sock)
            self._over.wait(SLOW_EVERY)

    def _read(self, sock: socket.socket) -> None:
        buffer = Buffer(2 * MAX_FRAME_BYTES)
        while not self._over.wait(self.pause):
            try:
                piece = sock.recv(self.piece)
            except TimeoutError:
                continue
            if not piece:
                return
            self.received += len(piece)
            buffer.feed(piece)
            for frame in frames(buffer):
                self._follower.take(frame, self)

    def close(self) -> None:
        """Reads no more."""
        self._over.set()
        if self._thread.ident is not None:
            self._thread.join()


FAULTS: dict[str, Callable[[Ground], Window]] = {
    ROUTERS_RESTARTED: routers_restarted,
    ROUTERS_KILLED: routers_killed,
    MACHINE_KILLED: machine_killed,
    MACHINE_CUT: machine_cut,
    ZONE_CUT: zone_cut,
    REGION_CUT: region_cut,
    SLOW_READER: slow_reader,
}

"""Hollow routers: the program's own control path without traffic, many in one process.

Each follows the change log by a connection of its own (`wire.follow`), keeps its table of nodes and has its
decision module told of purges and changes (`stages.route`), as a router does that nobody asks anything. What
is added here only looks on: the ledger notes what reaches the core, and the kernel counts what passes over
the connections.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from stonecove.discovery import MembershipEvent, MembershipSink
from stonecove.pipeline.route import Route
from stonecove.protocols.change_log import Follower, Frame
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.runtime.clock import Clock
from stonecove.runtime.timers import Timers
from stonecove.scale.ledger import Ledger
from stonecove.server.config import Config
from stonecove.state.budget import MemoryBudget
from stonecove.transport.change_log_follower import ChangeLogClient

HEADER_BYTES = 52  # of a TCP segment: 20 for IP, 20 for TCP, 12 for its time stamps; also of a bare ACK
DATAGRAM_HEADER_BYTES = 28  # 20 for IP, 8 for UDP
TIMER_GRID = 0.005  # seconds: as the router steps its alarms

# From tcp_info of linux/tcp.h: bytes acked and received, segments sent and received, bare ACKs among them.
_TCP_INFO = struct.Struct("=QQII")
_TCP_INFO_OFFSET = 120
_TCP_INFO_BYTES = _TCP_INFO_OFFSET + _TCP_INFO.size


@dataclass(slots=True)
class Traffic:
    """Bytes of payload and segments or datagrams, both ways."""

    received: int = 0
    sent: int = 0
    headers: int = 0

    def add(self, other: Traffic) -> None:
        """As much more."""
        self.received += other.received
        self.sent += other.sent
        self.headers += other.headers


class CountedSockets:
    """Makes the sockets of one change log, and asks the kernel what has passed over them."""

    def __init__(self) -> None:
        self._present: socket.socket | None = None
        self._before = Traffic()  # of connections that have ended
        self._seen = Traffic()  # of the present one, when it was looked at last

    def new(self) -> socket.socket:
        """A socket for the next connection."""
        self._before.add(self._seen)
        self._seen = Traffic()
        self._present = socket.socket()
        return self._present

    def traffic(self) -> Traffic:
        """All that has passed. Of an ended connection, what came after the last look at it is missing."""
        if self._present is not None and self._present.fileno() >= 0:
            told = self._present.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
            acked, received, out, back = _TCP_INFO.unpack_from(told, _TCP_INFO_OFFSET)
            self._seen = Traffic(received, max(0, acked - 1), (out + back) * HEADER_BYTES)  # without the SYN
        found = Traffic()
        found.add(self._before)
        found.add(self._seen)
        return found


class CountedDatagrams(socket.socket):
    """A socket for the swarm's datagrams that counts them."""

    traffic: Traffic

    @classmethod
    def around(cls, plain: socket.socket) -> CountedDatagrams:
        """Takes a socket over."""
        counted = cls(fileno=plain.detach())
        counted.setblocking(False)
        counted.traffic = Traffic()
        return counted

    def recvfrom(self, *arguments: Any) -> tuple[bytes, Any]:
        """As of any socket."""
        data, address = super().recvfrom(*arguments)
        self.traffic.add(Traffic(received=len(data), headers=DATAGRAM_HEADER_BYTES))
        return data, address

    def sendto(self, *arguments: Any) -> int:
        """As of any socket."""
        count = super().sendto(*arguments)
        self.traffic.add(Traffic(sent=count, headers=DATAGRAM_HEADER_BYTES))
        return count


class _NumberedFollower(Follower):
    """The program's count of numbers, which tells the number of what it is about to pass on."""

    def __init__(self, last: int) -> None:
        super().__init__(last)
        self.taking = last

    def take(self, frame: Frame, sink: MembershipSink) -> bool:
        """As the program does."""
        self.taking = frame.number
        return super().take(frame, sink)


class _BookedRoute:
    """Passes events on to the core, and notes each that it has taken in."""

    def __init__(self, route: Route, follower: _NumberedFollower, ledger: Ledger) -> None:
        self._route, self._follower, self._ledger = route, follower, ledger

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """One event of the change log."""
        self._route.handle_membership_event(event)
        self._ledger.took(self._follower.taking, time.time_ns())


class _NoRequestsError(Exception):
    """A hollow router was about to connect to a cache, though nobody asks it anything."""


def _no_connection(owner: Owner, address: tuple[str, int], patience: float) -> Channel:
    raise _NoRequestsError


class HollowRouter:
    """One life of a hollow router."""

    def __init__(self, router: int, config: Config) -> None:
        """Nothing runs yet."""
        self.config = config
        self.ledger = Ledger(router, config.last, time.time_ns())
        self.sockets = CountedSockets()
        self.clock = Clock()
        self._alarm_set = trio.Event()
        self._timers = Timers(self.clock, trio.current_time, lambda: self._alarm_set.set())
        self.route = Route(
            config.settings,
            config.seed,
            self.clock,
            self._timers,
            MemoryBudget(),
            config.pace,
            _no_connection,
        )
        follower = _NumberedFollower(config.last)
        self._changelog = ChangeLogClient(*config.changelog, follower, self.sockets.new)
        self._sink = _BookedRoute(self.route, follower, self.ledger)
        self.ending = contextlib.ExitStack()  # what is closed once it has ended
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None

    def spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Runs a task until the router ends."""
        assert self._nursery is not None
        self._nursery.start_soon(task)

    async def run(self, started: Callable[[HollowRouter], None] | None = None) -> None:
        """Until `end`; `started` may spawn more."""
        for event in self.config.known:
            self.route.handle_membership_event(event)
        try:
            with self._scope:
                async with trio.open_nursery() as self._nursery:
                    self._nursery.start_soon(self._run_timers)
                    self._nursery.start_soon(self._changelog.run, self._sink)
                    if started is not None:
                        started(self)
        finally:
            self.ledger.ended = time.time_ns()
            trio.lowlevel.remove_instrument(self._changelog)
            self.ending.close()

    def end(self) -> None:
        """As if its process was killed: the kernel closes its connection."""
        self._scope.cancel()

    @property
    def heard(self) -> bool:
        """Whether the change log has said anything."""
        return self._changelog.last_frame_at_s > 0

    async def _run_timers(self) -> None:
        while True:
            self._alarm_set = trio.Event()
            now = trio.current_time()
            self._timers.run_due()
            with trio.move_on_at(max(self._timers.next_due(), now + TIMER_GRID)):
                await self._alarm_set.wait()

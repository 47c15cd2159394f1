"""Hollow routers: the router's own control path without traffic, many in one process.

Each follows the change log over its own connection, keeps its endpoint table and passes purges and changes
to its decision module (`pipeline.route`), as a router without requests does. The code here only observes:
the ledger records what reaches the core, and the kernel counts what passes over the connections.
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

HEADER_BYTES = 52  # of a TCP segment or bare ACK: 20 for IP, 20 for TCP, 12 for TCP timestamps
DATAGRAM_HEADER_BYTES = 28  # 20 for IP, 8 for UDP
TIMER_RESOLUTION_S = 0.005  # the same as in the router

# Fields of tcp_info in linux/tcp.h: bytes acked and received, segments sent and received (with bare ACKs).
_TCP_INFO = struct.Struct("=QQII")
_TCP_INFO_OFFSET = 120
_TCP_INFO_BYTES = _TCP_INFO_OFFSET + _TCP_INFO.size


@dataclass(slots=True)
class Traffic:
    """Payload bytes in both directions, and header bytes of both together."""

    received: int = 0
    sent: int = 0
    headers: int = 0

    def add(self, other: Traffic) -> None:
        """Add other traffic to this."""
        self.received += other.received
        self.sent += other.sent
        self.headers += other.headers


class CountedSockets:
    """Creates the sockets of one change log client, and reads their traffic from the kernel."""

    def __init__(self) -> None:
        """Start with no traffic."""
        self._current: socket.socket | None = None
        self._closed_traffic = Traffic()  # of closed connections
        self._current_traffic = Traffic()  # of the current connection, when last read

    def new(self) -> socket.socket:
        """Return a socket for the next connection."""
        self._closed_traffic.add(self._current_traffic)
        self._current_traffic = Traffic()
        self._current = socket.socket()
        return self._current

    def traffic(self) -> Traffic:
        """Return all traffic; what a closed connection carried after the last call is missing."""
        if self._current is not None and self._current.fileno() >= 0:
            tcp_info = self._current.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
            acked, received, segments_out, segments_in = _TCP_INFO.unpack_from(tcp_info, _TCP_INFO_OFFSET)
            self._current_traffic = Traffic(
                received, max(0, acked - 1), (segments_out + segments_in) * HEADER_BYTES
            )  # without the SYN, which tcpi_bytes_acked counts
        total = Traffic()
        total.add(self._closed_traffic)
        total.add(self._current_traffic)
        return total


class CountedDatagrams(socket.socket):
    """A UDP socket for gossip that counts its traffic."""

    traffic: Traffic

    @classmethod
    def from_socket(cls, sock: socket.socket) -> CountedDatagrams:
        """Take over the descriptor of a socket."""
        counted = cls(fileno=sock.detach())
        counted.setblocking(False)
        counted.traffic = Traffic()
        return counted

    def recvfrom(self, *arguments: Any) -> tuple[bytes, Any]:
        """Receive a datagram and count it."""
        data, address = super().recvfrom(*arguments)
        self.traffic.add(Traffic(received=len(data), headers=DATAGRAM_HEADER_BYTES))
        return data, address

    def sendto(self, *arguments: Any) -> int:
        """Send a datagram and count it."""
        count = super().sendto(*arguments)
        self.traffic.add(Traffic(sent=count, headers=DATAGRAM_HEADER_BYTES))
        return count


class _NumberedFollower(Follower):
    """A follower that exposes the number of the event it is about to pass on."""

    def __init__(self, last: int) -> None:
        super().__init__(last)
        self.current_number = last

    def take(self, frame: Frame, sink: MembershipSink) -> bool:
        """Record the number and handle the frame."""
        self.current_number = frame.number
        return super().take(frame, sink)


class _RecordingRoute:
    """Passes events on to the core, and records when each was handled."""

    def __init__(self, route: Route, follower: _NumberedFollower, ledger: Ledger) -> None:
        self._route, self._follower, self._ledger = route, follower, ledger

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Pass on one event of the change log and record it."""
        self._route.handle_membership_event(event)
        self._ledger.record_applied(self._follower.current_number, time.time_ns())


class _NoRequestsError(Exception):
    """A hollow router was about to connect to a cache, though it receives no requests."""


def _no_connection(owner: Owner, address: tuple[str, int], timeout_s: float) -> Channel:
    raise _NoRequestsError


class HollowRouter:
    """One incarnation of a hollow router."""

    def __init__(self, router: int, config: Config) -> None:
        """Create one that is not running yet."""
        self.config = config
        self.ledger = Ledger(router, config.last, time.time_ns())
        self.sockets = CountedSockets()
        self.clock = Clock()
        self._timer_set = trio.Event()
        self._timers = Timers(self.clock, trio.current_time, lambda: self._timer_set.set())
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
        self._sink = _RecordingRoute(self.route, follower, self.ledger)
        self.exit_stack = contextlib.ExitStack()  # closed after the router has stopped
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None

    def spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until the router stops."""
        assert self._nursery is not None
        self._nursery.start_soon(task)

    async def run(self, started: Callable[[HollowRouter], None] | None = None) -> None:
        """Run until `end` is called; `started` may spawn more tasks."""
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
            self.ledger.ended_at_ns = time.time_ns()
            trio.lowlevel.remove_instrument(self._changelog)
            self.exit_stack.close()

    def end(self) -> None:
        """Stop as if the process was killed: the kernel closes its connection."""
        self._scope.cancel()

    @property
    def has_received(self) -> bool:
        """Return whether a frame of the change log has been received."""
        return self._changelog.last_frame_at_s > 0

    async def _run_timers(self) -> None:
        while True:
            self._timer_set = trio.Event()
            now_s = trio.current_time()
            self._timers.run_due()
            with trio.move_on_at(max(self._timers.next_due(), now_s + TIMER_RESOLUTION_S)):
                await self._timer_set.wait()

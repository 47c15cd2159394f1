"""Relays for TCP between each router and each server of the depot: silence, lost answers, resets, refusals.

Each router knows the servers at a loopback address of its own, by their own ports. What it opens there goes
on to the server. A way that is cut acts as a network does: what is open stays open and quiet, new connections
never come up, and what was sent comes late once the cut has ended.
"""

from __future__ import annotations

import contextlib
import errno
import random
import socket
import struct
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio

from stonecove.trial.relay import Address
from stonecove.trial.thread import TrioThread

BACKLOG = 128
MOST = 65_536
AGAIN = 0.2  # seconds until what was lost is sent again
_RESET = struct.pack("ii", 1, 0)  # linger: on, for no time at all


def host_of(router: int) -> str:
    """The address at which that router finds all servers."""
    return f"127.100.{1 + router}.1"


@dataclass(slots=True)
class StreamFaults:
    """What becomes of connections on one way. `lose`: the part of pieces that come a repeat later."""

    cut: bool = False
    swallow: bool = False  # answers never come back
    down: bool = False  # refuses, and resets what is open
    delay: tuple[float, float] = (0.0, 0.0)  # seconds, each way; the order stays
    lose: float = 0.0


@dataclass(slots=True)
class _Way:
    """One router's way to one server."""

    listen: Address
    server: Address
    faults: StreamFaults = field(default_factory=StreamFaults)
    sock: socket.socket | None = None
    fillers: list[socket.socket] = field(default_factory=list)  # that keep others from coming up
    open: trio.Event = field(default_factory=trio.Event)  # while it is not cut
    pairs: list[tuple[socket.socket, socket.socket]] = field(default_factory=list)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Streams(TrioThread):
    """All ways between routers and servers. Servers are called by their ports."""

    def __init__(self, routers: int, servers: Iterable[Address], seed: int) -> None:
        """All ways are open."""
        super().__init__()
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._ways = {(router, port): _Way((host_of(router), port), (host, port))
                      for router in range(routers) for host, port in servers}  # fmt: skip
        self._each(self._ways.values(), self._listen)

    def change(self, ways: Iterable[tuple[int, int]], change: Callable[[StreamFaults], None]) -> None:
        """Changes what becomes of connections on these ways, each from a router to a port."""

        def both(way: _Way) -> None:
            change(way.faults)
            self._settle(way)

        self._each([self._ways[way] for way in ways], both)

    def reset(self, ways: Iterable[tuple[int, int]]) -> None:
        """Resets what is open on these, on both sides."""
        self._each([self._ways[way] for way in ways], self._reset)

    def _each(self, ways: Iterable[_Way], call: Callable[[_Way], None]) -> None:
        def all_() -> None:
            for way in ways:
                call(way)

        self._call(all_)

    # -- within its thread --

    def _listen(self, way: _Way) -> None:
        way.sock = socket.socket()
        way.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        way.sock.setblocking(False)
        way.sock.bind(way.listen)
        way.sock.listen(BACKLOG)
        way.scope = trio.CancelScope()
        way.open.set()
        self._nursery.start_soon(self._accept, way, way.sock, way.scope)

    def _settle(self, way: _Way) -> None:
        if way.faults.down and way.sock is not None:
            way.scope.cancel()
            way.sock.close()
            way.sock = None
            self._reset(way)
        elif not way.faults.down and way.sock is None:
            self._listen(way)
        if way.faults.cut and way.open.is_set():
            way.open = trio.Event()
            if way.sock is not None:
                # A queue of one that is full lets nobody else come up.
                way.sock.listen(0)
                way.fillers = [socket.socket() for _ in range(2)]
                for filler in way.fillers:
                    filler.setblocking(False)
                    filler.connect_ex(way.listen)
        elif not way.faults.cut and not way.open.is_set():
            for filler in way.fillers:
                filler.close()
            way.fillers = []
            if way.sock is not None:
                way.sock.listen(BACKLOG)
            way.open.set()

    def _reset(self, way: _Way) -> None:
        for pair in way.pairs:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                _closed(sock)
        self.counts["reset"] += len(way.pairs)
        way.pairs = []

    async def _accept(self, way: _Way, sock: socket.socket, scope: trio.CancelScope) -> None:
        with scope, contextlib.suppress(trio.ClosedResourceError):
            while True:
                await trio.lowlevel.wait_readable(sock)
                if way.faults.cut:
                    await way.open.wait()
                    continue
                try:
                    client, _ = sock.accept()
                except OSError:
                    continue
                client.setblocking(False)
                self._nursery.start_soon(self._serve, way, client)

    async def _serve(self, way: _Way, client: socket.socket) -> None:
        """One connection, until both sides have ended."""
        server = socket.socket()
        server.setblocking(False)
        pair = client, server
        way.pairs.append(pair)
        with client, server:
            code = server.connect_ex(way.server)
            if code == errno.EINPROGRESS:
                with contextlib.suppress(trio.ClosedResourceError):
                    await trio.lowlevel.wait_writable(server)
                    code = server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code == 0:
                self.counts["opened"] += 1
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, way, client, server, False)
                    nursery.start_soon(self._pump, way, server, client, True)
            if pair in way.pairs:
                way.pairs.remove(pair)
            _closed(client)
            _closed(server)

    async def _pump(self, way: _Way, source: socket.socket, to: socket.socket, answers: bool) -> None:
        with contextlib.suppress(trio.ClosedResourceError):
            while True:
                await trio.lowlevel.wait_readable(source)
                try:
                    data = source.recv(MOST)
                except BlockingIOError:
                    continue
                except OSError:  # reset by the one, so by the other
                    with contextlib.suppress(OSError):
                        to.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                    _closed(to)
                    return
                await self._on_the_way(way)
                if answers and way.faults.swallow:
                    self.counts["swallowed"] += len(data)
                    if data:
                        continue
                if not data:
                    with contextlib.suppress(OSError):
                        to.shutdown(socket.SHUT_WR)
                    return
                if not await _sent(to, data):
                    _closed(source)
                    return

    async def _on_the_way(self, way: _Way) -> None:
        """As long as the network takes."""
        while not way.open.is_set():
            await way.open.wait()
        delay = self._random.uniform(*way.faults.delay)
        while self._random.random() < way.faults.lose:
            delay += AGAIN
        if delay > 0:
            await trio.sleep(delay)
        while not way.open.is_set():
            await way.open.wait()


async def _sent(to: socket.socket, data: bytes) -> bool:
    """Whether all of it could be passed on."""
    left = memoryview(data)
    while left:
        try:
            left = left[to.send(left) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(to)
        except OSError:
            return False
    return True


def _closed(sock: socket.socket) -> None:
    """Closes it, and lets whoever waits for it know."""
    if sock.fileno() >= 0:
        trio.lowlevel.notify_closing(sock)
        sock.close()

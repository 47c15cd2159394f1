"""TCP relays between each router and each server: silence, lost answers, resets and refusals.

Each router knows the servers at a loopback address of its own, by their own ports. What it opens there goes
on to the server. A path that is cut acts as a network does: what is open stays open and quiet, no new
connection comes up, and what was sent comes late once the cut has ended.
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
    """What becomes of connections on one path. `lose`: the part of pieces that come a repeat later."""

    cut: bool = False
    swallow: bool = False  # answers never come back
    down: bool = False  # refuses, and resets what is open
    delay: tuple[float, float] = (0.0, 0.0)  # seconds, in each direction; the order stays
    lose: float = 0.0


@dataclass(slots=True)
class _StreamPath:
    """One router's path to one server."""

    listen: Address
    server: Address
    faults: StreamFaults = field(default_factory=StreamFaults)
    sock: socket.socket | None = None
    fillers: list[socket.socket] = field(default_factory=list)  # that keep others from coming up
    open: trio.Event = field(default_factory=trio.Event)  # while it is not cut
    pairs: list[tuple[socket.socket, socket.socket]] = field(default_factory=list)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class StreamRelays(TrioThread):
    """All paths between routers and servers. Servers are called by their ports."""

    def __init__(self, routers: int, servers: Iterable[Address], seed: int) -> None:
        """All paths are open."""
        super().__init__()
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._paths = {(router, port): _StreamPath((host_of(router), port), (host, port))
                      for router in range(routers) for host, port in servers}  # fmt: skip
        self._each(self._paths.values(), self._listen)

    def change(self, paths: Iterable[tuple[int, int]], change: Callable[[StreamFaults], None]) -> None:
        """Changes what becomes of connections on these paths, each from a router to a port."""

        def both(path: _StreamPath) -> None:
            change(path.faults)
            self._settle(path)

        self._each([self._paths[path] for path in paths], both)

    def reset(self, paths: Iterable[tuple[int, int]]) -> None:
        """Resets what is open on these, on both sides."""
        self._each([self._paths[path] for path in paths], self._reset)

    def _each(self, paths: Iterable[_StreamPath], call: Callable[[_StreamPath], None]) -> None:
        def all_() -> None:
            for path in paths:
                call(path)

        self._call(all_)

    # -- within its thread --

    def _listen(self, path: _StreamPath) -> None:
        path.sock = socket.socket()
        path.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        path.sock.setblocking(False)
        path.sock.bind(path.listen)
        path.sock.listen(BACKLOG)
        path.scope = trio.CancelScope()
        path.open.set()
        self._nursery.start_soon(self._accept, path, path.sock, path.scope)

    def _settle(self, path: _StreamPath) -> None:
        if path.faults.down and path.sock is not None:
            path.scope.cancel()
            path.sock.close()
            path.sock = None
            self._reset(path)
        elif not path.faults.down and path.sock is None:
            self._listen(path)
        if path.faults.cut and path.open.is_set():
            path.open = trio.Event()
            if path.sock is not None:
                # A queue of one that is full lets nobody else come up.
                path.sock.listen(0)
                path.fillers = [socket.socket() for _ in range(2)]
                for filler in path.fillers:
                    filler.setblocking(False)
                    filler.connect_ex(path.listen)
        elif not path.faults.cut and not path.open.is_set():
            for filler in path.fillers:
                filler.close()
            path.fillers = []
            if path.sock is not None:
                path.sock.listen(BACKLOG)
            path.open.set()

    def _reset(self, path: _StreamPath) -> None:
        for pair in path.pairs:
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                _closed(sock)
        self.counts["reset"] += len(path.pairs)
        path.pairs = []

    async def _accept(self, path: _StreamPath, sock: socket.socket, scope: trio.CancelScope) -> None:
        with scope, contextlib.suppress(trio.ClosedResourceError):
            while True:
                await trio.lowlevel.wait_readable(sock)
                if path.faults.cut:
                    await path.open.wait()
                    continue
                try:
                    client, _ = sock.accept()
                except OSError:
                    continue
                client.setblocking(False)
                self._nursery.start_soon(self._serve, path, client)

    async def _serve(self, path: _StreamPath, client: socket.socket) -> None:
        """One connection, until both sides have ended."""
        server = socket.socket()
        server.setblocking(False)
        pair = client, server
        path.pairs.append(pair)
        with client, server:
            code = server.connect_ex(path.server)
            if code == errno.EINPROGRESS:
                with contextlib.suppress(trio.ClosedResourceError):
                    await trio.lowlevel.wait_writable(server)
                    code = server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code == 0:
                self.counts["opened"] += 1
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, path, client, server, False)
                    nursery.start_soon(self._pump, path, server, client, True)
            if pair in path.pairs:
                path.pairs.remove(pair)
            _closed(client)
            _closed(server)

    async def _pump(self, path: _StreamPath, source: socket.socket, to: socket.socket, answers: bool) -> None:
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
                await self._delayed(path)
                if answers and path.faults.swallow:
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

    async def _delayed(self, path: _StreamPath) -> None:
        """As long as the network takes."""
        while not path.open.is_set():
            await path.open.wait()
        delay = self._random.uniform(*path.faults.delay)
        while self._random.random() < path.faults.lose:
            delay += AGAIN
        if delay > 0:
            await trio.sleep(delay)
        while not path.open.is_set():
            await path.open.wait()


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

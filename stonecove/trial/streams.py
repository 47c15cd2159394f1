"""TCP relays between each router and each server: partitions, lost responses, resets and refusals.

Each router knows the servers at a loopback address of its own, by the servers' own ports. A connection to it
is relayed to the server. A partitioned path behaves like a network: open connections stay open and silent, no
new connection is established, and data arrives late, once the partition has ended.
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
MAX_READ_BYTES = 65_536
RETRANSMIT_DELAY_S = 0.2  # until lost data is retransmitted
_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on with 0 s: closing sends a reset


def host_of(router: int) -> str:
    """Return the address at which that router reaches all servers."""
    return f"127.100.{1 + router}.1"


@dataclass(slots=True)
class StreamFaults:
    """Faults of one path's connections; `lose`: probability that a chunk has to be retransmitted."""

    cut: bool = False
    swallow: bool = False  # drops all responses
    down: bool = False  # refuses connections, and resets open ones
    delay: tuple[float, float] = (0.0, 0.0)  # range in seconds, in each direction; order is kept
    lose: float = 0.0


@dataclass(slots=True)
class _StreamPath:
    """One router's path to one server."""

    listen: Address
    server: Address
    faults: StreamFaults = field(default_factory=StreamFaults)
    sock: socket.socket | None = None
    # connections that fill the accept queue, so that no other is established
    fillers: list[socket.socket] = field(default_factory=list)
    open: trio.Event = field(default_factory=trio.Event)  # set while it is not partitioned
    pairs: list[tuple[socket.socket, socket.socket]] = field(default_factory=list)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class StreamRelays(TrioThread):
    """All paths between routers and servers; a server is identified by its port."""

    def __init__(self, routers: int, servers: Iterable[Address], seed: int) -> None:
        """Open all paths."""
        super().__init__()
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._paths = {(router, port): _StreamPath((host_of(router), port), (host, port))
                      for router in range(routers) for host, port in servers}  # fmt: skip
        self._apply(self._paths.values(), self._listen)

    def change(self, paths: Iterable[tuple[int, int]], change: Callable[[StreamFaults], None]) -> None:
        """Change the faults of these paths, each from a router to a port."""

        def change_and_apply(path: _StreamPath) -> None:
            change(path.faults)
            self._apply_faults(path)

        self._apply([self._paths[path] for path in paths], change_and_apply)

    def reset(self, paths: Iterable[tuple[int, int]]) -> None:
        """Reset the open connections of these paths, on both sides."""
        self._apply([self._paths[path] for path in paths], self._reset)

    def _apply(self, paths: Iterable[_StreamPath], call: Callable[[_StreamPath], None]) -> None:
        def apply_to_all() -> None:
            for path in paths:
                call(path)

        self._call(apply_to_all)

    # -- in the relay's thread --

    def _listen(self, path: _StreamPath) -> None:
        path.sock = socket.socket()
        path.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        path.sock.setblocking(False)
        path.sock.bind(path.listen)
        path.sock.listen(BACKLOG)
        path.scope = trio.CancelScope()
        path.open.set()
        self._nursery.start_soon(self._accept, path, path.sock, path.scope)

    def _apply_faults(self, path: _StreamPath) -> None:
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
                # With its accept queue of one full, the socket establishes no other connection.
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
                _close_socket(sock)
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
        """Relay one connection until both sides have ended."""
        server = socket.socket()
        server.setblocking(False)
        pair = client, server
        path.pairs.append(pair)
        with client, server:
            error_code = server.connect_ex(path.server)
            if error_code == errno.EINPROGRESS:
                with contextlib.suppress(trio.ClosedResourceError):
                    await trio.lowlevel.wait_writable(server)
                    error_code = server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_code == 0:
                self.counts["opened"] += 1
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, path, client, server, False)
                    nursery.start_soon(self._pump, path, server, client, True)
            if pair in path.pairs:
                path.pairs.remove(pair)
            _close_socket(client)
            _close_socket(server)

    async def _pump(
        self, path: _StreamPath, source: socket.socket, target: socket.socket, is_response: bool
    ) -> None:
        with contextlib.suppress(trio.ClosedResourceError):
            while source.fileno() >= 0:  # `_reset` may have closed it during a delay
                await trio.lowlevel.wait_readable(source)
                try:
                    data = source.recv(MAX_READ_BYTES)
                except BlockingIOError:
                    continue
                except OSError:  # one side has reset the connection: reset the other
                    with contextlib.suppress(OSError):
                        target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                    _close_socket(target)
                    return
                await self._wait_delay(path)
                if is_response and path.faults.swallow:
                    self.counts["swallowed"] += len(data)
                    if data:
                        continue
                if not data:
                    with contextlib.suppress(OSError):
                        target.shutdown(socket.SHUT_WR)
                    return
                if not await _send_all(target, data):
                    _close_socket(source)
                    return

    async def _wait_delay(self, path: _StreamPath) -> None:
        """Wait for as long as the network delays a chunk."""
        while not path.open.is_set():
            await path.open.wait()
        delay_s = self._random.uniform(*path.faults.delay)
        while self._random.random() < path.faults.lose:
            delay_s += RETRANSMIT_DELAY_S
        if delay_s > 0:
            await trio.sleep(delay_s)
        while not path.open.is_set():
            await path.open.wait()


async def _send_all(target: socket.socket, data: bytes) -> bool:
    """Send all of the data; return whether that succeeded."""
    remaining = memoryview(data)
    while remaining:
        try:
            remaining = remaining[target.send(remaining) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(target)
        except OSError:
            return False
    return True


def _close_socket(sock: socket.socket) -> None:
    """Close the socket and wake all tasks that wait for it."""
    if sock.fileno() >= 0:
        trio.lowlevel.notify_closing(sock)
        sock.close()

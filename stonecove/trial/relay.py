"""UDP relays between the routers under trial, which can lose, delay, duplicate, reorder or drop datagrams.

Each router has its own address for each other router: a datagram sent there is delivered to that router, from
the address by which it knows the sender. While a router's process is down and both directions are open, its
addresses refuse datagrams like those of a process that has ended; a partitioned direction drops everything,
including refusals.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from stonecove.trial.thread import TrioThread

Address = tuple[str, int]
MAX_DATAGRAM_BYTES = 65_536


@dataclass(slots=True)
class DatagramFaults:
    """Faults injected into the datagrams of one direction between two routers."""

    lose: float = 0.0
    # Range in seconds; if it is not a single value, the order changes.
    delay: tuple[float, float] = (0.0, 0.0)
    repeat: float = 0.0
    cut: bool = False


def _own_address(viewer: int, viewed: int) -> str:
    """Return a loopback address that no other pair uses, so that its port is not taken while it is closed."""
    return f"127.{64 + viewer}.{1 + viewed}.7"


class DatagramRelays(TrioThread):
    """Relays in both directions between all pairs of `count` routers."""

    def __init__(self, count: int, seed: int) -> None:
        """Open no address yet: all routers count as down at first."""
        self.count = count
        self.global_faults = DatagramFaults()  # of all directions, in addition to their own faults
        self.faults = {(a, b): DatagramFaults() for a in range(count) for b in range(count) if a != b}
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._listen_addresses: dict[int, Address] = {}
        self._sockets: dict[tuple[int, int], socket.socket] = {}
        self._ports: dict[tuple[int, int], int] = {}
        self._scopes: dict[tuple[int, int], trio.CancelScope] = {}
        for viewer, viewed in self.faults:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind((_own_address(viewer, viewed), 0))
                self._ports[viewer, viewed] = sock.getsockname()[1]
        super().__init__()

    def address(self, viewer: int, viewed: int) -> Address:
        """Return the address by which one router knows another."""
        return _own_address(viewer, viewed), self._ports[viewer, viewed]

    def announce_start(self, router_index: int, listen: Address) -> None:
        """Announce that the router's process is about to start and will listen at that address."""
        self._call(partial(self._set_listen_address, router_index, listen))

    def announce_exit(self, router_index: int) -> None:
        """Announce that the router's process has ended."""
        self._call(partial(self._set_listen_address, router_index, None))

    def change(self, change: Callable[[], None]) -> None:
        """Apply a change of the faults, then open and close addresses as needed."""

        def change_and_update() -> None:
            change()
            self._update_sockets()

        self._call(change_and_update)

    # -- in the relay's thread --

    def _set_listen_address(self, router_index: int, listen: Address | None) -> None:
        if listen is None:
            self._listen_addresses.pop(router_index, None)
        else:
            self._listen_addresses[router_index] = listen
        self._update_sockets()

    def _update_sockets(self) -> None:
        """Open and close addresses: one refuses if its router is down and both directions are open."""
        for (viewer, viewed), faults in self.faults.items():
            partitioned = faults.cut or self.faults[viewed, viewer].cut
            required, key = viewed in self._listen_addresses or partitioned, (viewer, viewed)
            if required and key not in self._sockets:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setblocking(False)
                sock.bind(self.address(viewer, viewed))
                self._sockets[key] = sock
                self._scopes[key] = trio.CancelScope()
                self._nursery.start_soon(self._relay, key, sock, self._scopes[key])
            elif not required and key in self._sockets:
                self._scopes.pop(key).cancel()
                self._sockets.pop(key).close()

    async def _relay(self, key: tuple[int, int], sock: socket.socket, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    await trio.lowlevel.wait_readable(sock)
                    data = sock.recv(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    continue
                except (OSError, trio.ClosedResourceError):
                    if sock.fileno() < 0:
                        return
                    continue  # a datagram forwarded earlier from this socket was refused
                self._forward(key, data)

    def _forward(self, key: tuple[int, int], data: bytes) -> None:
        """Forward a datagram of the router `viewer` to the one it knows as `viewed`."""
        path_faults, global_faults = self.faults[key], self.global_faults
        self.counts["sent"] += 1
        if path_faults.cut:
            self.counts["cut"] += 1
            return
        for _ in range(1 + (self._random.random() < path_faults.repeat + global_faults.repeat)):
            if self._random.random() < 1.0 - (1.0 - path_faults.lose) * (1.0 - global_faults.lose):
                self.counts["lost"] += 1
                continue
            delay_s = self._random.uniform(*path_faults.delay) + self._random.uniform(*global_faults.delay)
            if delay_s > 0:
                self._nursery.start_soon(self._deliver_later, delay_s, key, data)
            else:
                self._deliver(key, data)

    async def _deliver_later(self, delay_s: float, key: tuple[int, int], data: bytes) -> None:
        await trio.sleep(delay_s)
        self._deliver(key, data)

    def _deliver(self, key: tuple[int, int], data: bytes) -> None:
        viewer, viewed = key
        sock, target = self._sockets.get((viewed, viewer)), self._listen_addresses.get(viewed)
        if target is None:
            return
        try:
            if sock is not None:
                sock.sendto(data, target)
                return
            # The sender has exited since; its datagram must still come from its address.
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as late_socket:
                late_socket.bind(self.address(viewed, viewer))
                late_socket.sendto(data, target)
        except OSError:
            self.counts["undelivered"] += 1

    def flood(
        self,
        listen: Address,
        router_index: int,
        rate_per_s: float,
        duration_s: float,
        stopping: threading.Event,
    ) -> None:
        """Send malformed datagrams to a router, from a peer's address and from an unknown one."""
        rng = random.Random(7)
        peer = next(viewer for viewer, viewed in self._sockets if viewer == router_index)
        peer_socket = next(sock for key, sock in self._sockets.items() if key[0] == peer)
        interval_s, until = 0.01, time.monotonic() + duration_s
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_socket:
            while time.monotonic() < until and not stopping.is_set():
                for number in range(round(rate_per_s * interval_s)):
                    data = rng.randbytes(rng.randrange(0, 400))
                    with contextlib.suppress(OSError):
                        (peer_socket if number % 2 else unknown_socket).sendto(data, listen)
                time.sleep(interval_s)

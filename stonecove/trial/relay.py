"""UDP relays between the routers under trial, which can lose, delay, duplicate, reorder or drop datagrams.

Each router has an address of its own for each other one: what it sends there comes out at the other, from the
address by which that one knows the sender. While a router's process is down and both directions are open, its
addresses refuse, as those of a process that has ended do; a direction that is cut drops all, refusals too.
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
MOST = 65_536


@dataclass(slots=True)
class Faults:
    """Faults injected into the datagrams of one direction between two routers."""

    lose: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)  # seconds; where they differ, datagrams overtake each other
    repeat: float = 0.0
    cut: bool = False


def _own_address(viewer: int, viewed: int) -> str:
    """A loopback address that no other pair uses, so that nobody takes its port while it is closed."""
    return f"127.{64 + viewer}.{1 + viewed}.7"


class DatagramRelays(TrioThread):
    """Relays in both directions between all pairs of `count` routers."""

    def __init__(self, count: int, seed: int) -> None:
        """All routers count as down at first."""
        self.count = count
        self.weather = Faults()  # of all directions, in addition to their own
        self.faults = {(a, b): Faults() for a in range(count) for b in range(count) if a != b}
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)
        self._up: dict[int, Address] = {}
        self._sockets: dict[tuple[int, int], socket.socket] = {}
        self._ports: dict[tuple[int, int], int] = {}
        self._scopes: dict[tuple[int, int], trio.CancelScope] = {}
        for viewer, viewed in self.faults:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind((_own_address(viewer, viewed), 0))
                self._ports[viewer, viewed] = sock.getsockname()[1]
        super().__init__()

    def address(self, viewer: int, viewed: int) -> Address:
        """The address by which one router knows another."""
        return _own_address(viewer, viewed), self._ports[viewer, viewed]

    def up(self, place: int, listen: Address) -> None:
        """The router's process is about to start, and will listen at that address."""
        self._call(partial(self._set_up, place, listen))

    def down(self, place: int) -> None:
        """Its process has ended."""
        self._call(partial(self._set_up, place, None))

    def change(self, change: Callable[[], None]) -> None:
        """Applies a change of the faults."""

        def both() -> None:
            change()
            self._settle()

        self._call(both)

    # -- within its thread --

    def _set_up(self, place: int, listen: Address | None) -> None:
        if listen is None:
            self._up.pop(place, None)
        else:
            self._up[place] = listen
        self._settle()

    def _settle(self) -> None:
        """Opens and closes addresses: one refuses if its router is down and both directions are open."""
        for (viewer, viewed), faults in self.faults.items():
            cut = faults.cut or self.faults[viewed, viewer].cut
            wanted, key = viewed in self._up or cut, (viewer, viewed)
            if wanted and key not in self._sockets:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setblocking(False)
                sock.bind(self.address(viewer, viewed))
                self._sockets[key] = sock
                self._scopes[key] = trio.CancelScope()
                self._nursery.start_soon(self._carry, key, sock, self._scopes[key])
            elif not wanted and key in self._sockets:
                self._scopes.pop(key).cancel()
                self._sockets.pop(key).close()

    async def _carry(self, key: tuple[int, int], sock: socket.socket, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    await trio.lowlevel.wait_readable(sock)
                    data = sock.recv(MOST)
                except BlockingIOError:
                    continue
                except (OSError, trio.ClosedResourceError):
                    if sock.fileno() < 0:
                        return
                    continue  # the word that what was sent on was refused
                self._sent(key, data)

    def _sent(self, key: tuple[int, int], data: bytes) -> None:
        """The router `viewer` has sent to the one it knows as `viewed`."""
        one, all_ = self.faults[key], self.weather
        self.counts["sent"] += 1
        if one.cut:
            self.counts["cut"] += 1
            return
        for _ in range(1 + (self._random.random() < one.repeat + all_.repeat)):
            if self._random.random() < 1.0 - (1.0 - one.lose) * (1.0 - all_.lose):
                self.counts["lost"] += 1
                continue
            delay = self._random.uniform(*one.delay) + self._random.uniform(*all_.delay)
            if delay > 0:
                self._nursery.start_soon(self._later, delay, key, data)
            else:
                self._deliver(key, data)

    async def _later(self, delay: float, key: tuple[int, int], data: bytes) -> None:
        await trio.sleep(delay)
        self._deliver(key, data)

    def _deliver(self, key: tuple[int, int], data: bytes) -> None:
        viewer, viewed = key
        sock, to = self._sockets.get((viewed, viewer)), self._up.get(viewed)
        if to is None:
            return
        try:
            if sock is not None:
                sock.sendto(data, to)
                return
            # What a router that has ended since had sent: it comes from its address all the same.
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as late:
                late.bind(self.address(viewed, viewer))
                late.sendto(data, to)
        except OSError:
            self.counts["undelivered"] += 1

    def flood(self, listen: Address, place: int, rate: float, seconds: float, over: threading.Event) -> None:
        """Sends malformed datagrams to a router, from a peer's address and from an unknown one."""
        chooser = random.Random(7)
        peer = next(viewer for viewer, viewed in self._sockets if viewer == place)
        known = next(sock for key, sock in self._sockets.items() if key[0] == peer)
        step, until = 0.01, time.monotonic() + seconds
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            while time.monotonic() < until and not over.is_set():
                for number in range(round(rate * step)):
                    data = chooser.randbytes(chooser.randrange(0, 400))
                    with contextlib.suppress(OSError):
                        (known if number % 2 else stranger).sendto(data, listen)
                time.sleep(step)

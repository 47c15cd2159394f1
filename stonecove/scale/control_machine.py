"""A stand-in control machine: a process that serves the change log to many routers.

It keeps every event once, as a frame, in order. A router that follows has only a position in that list, so
one that reads slowly costs the others nothing; one too far behind is cut off, and comes again by its last
number.
"""

from __future__ import annotations

import contextlib
import itertools
import signal
import socket
import struct
import sys
import time

import trio

from stonecove.scale import child
from stonecove.scale.topology import ZONES, host_of
from stonecove.standins.depot import NOTHING, event_frame

FIRST_NUMBER = 2  # of the events told here; number 1 is the list in the routers' configuration
HEARTBEAT = 1.0  # seconds between two empty frames
BACKLOG = 4096
PORT_TRIES = 5
SEND_BUFFER = 16_384  # bytes that the kernel holds for one router
MOST_BEHIND = 65_536  # bytes by which a router may fall behind after it has connected
MOST_PIECE = 512  # frames that are joined for one write
_HELLO = struct.Struct(">Q")
_RESET = struct.pack("ii", 1, 0)  # linger: on, for no time at all


class Subscriber:
    """A router that follows the log."""

    __slots__ = ("allowed", "blocked", "pending", "position", "sock")

    def __init__(self, sock: socket.socket, position: int, allowed: int) -> None:
        """`position`: the first event that it lacks; `allowed`: bytes that it may be behind."""
        self.sock, self.position, self.allowed = sock, position, allowed
        self.pending = b""  # of a piece that was written in part
        self.blocked = False  # a task waits until it can be written to


class ZoneListener:
    """Where the routers of one zone come in."""

    def __init__(self, machine: int, zone: int, port: int) -> None:
        """`port` 0: any; raises OSError."""
        self.subscribers: set[Subscriber] = set()
        self.open = trio.Event()  # while the way to the zone is not cut
        self.open.set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        try:
            self.sock.bind((host_of(machine, zone), port))
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise

    @property
    def port(self) -> int:
        """Where it listens."""
        found: int = self.sock.getsockname()[1]
        return found

    @property
    def cut(self) -> bool:
        """Whether nothing passes between this machine and the zone."""
        return not self.open.is_set()


class ControlMachine:
    """All that one control machine does."""

    def __init__(self, listeners: list[ZoneListener], most_behind: int, nursery: trio.Nursery) -> None:
        """`most_behind`: bytes, see `MOST_BEHIND`."""
        self._listeners, self._most_behind, self._nursery = listeners, most_behind, nursery
        self._frames: list[bytes] = []
        self._ends: list[int] = []  # bytes of all frames up to each, itself included
        self._first_bytes: list[int] = []  # when each was first written to anybody; ns, 0: not yet
        self._sent = 0
        self._cut_off = 0
        self._most_seen_behind = 0

    def start(self) -> None:
        """Begins to serve."""
        for place, listener in enumerate(self._listeners):
            self._nursery.start_soon(self._accept, listener)
            self._nursery.start_soon(self._beat, listener, HEARTBEAT * place / len(self._listeners))

    @property
    def last(self) -> int:
        """The number of the newest event."""
        return FIRST_NUMBER - 1 + len(self._frames)

    def publish(self, frames: list[bytes]) -> None:
        """The next events."""
        for frame in frames:
            self._frames.append(frame)
            self._ends.append(len(frame) + (self._ends[-1] if self._ends else 0))
            self._first_bytes.append(0)
        for listener in self._listeners:
            if listener.cut:
                continue
            for subscriber in tuple(listener.subscribers):
                self._pump(listener, subscriber)

    def set_cut(self, zones: list[int], cut: bool) -> None:
        """From now on nothing passes to and from these zones, or everything does again."""
        for zone in zones:
            listener = self._listeners[zone - 1]
            if cut and not listener.cut:
                listener.open = trio.Event()
            elif not cut and listener.cut:
                listener.open.set()
                for subscriber in tuple(listener.subscribers):
                    self._pump(listener, subscriber)

    def report(self) -> child.Order:
        """What it has spent and seen; `first_bytes` in ns, from `FIRST_NUMBER` on."""
        return {
            "cpu": time.process_time(),
            "memory_mb": child.resident_mb(),
            "sent": self._sent,
            "connections": sum(len(listener.subscribers) for listener in self._listeners),
            "cut_off": self._cut_off,
            "most_behind": self._most_seen_behind,
            "first_bytes": self._first_bytes,
            "last": self.last,
        }

    # -- connections --

    async def _accept(self, listener: ZoneListener) -> None:
        while True:
            await trio.lowlevel.wait_readable(listener.sock)
            try:
                sock, _ = listener.sock.accept()
            except OSError:  # it has gone again
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
            self._nursery.start_soon(self._serve, listener, sock)

    async def _serve(self, listener: ZoneListener, sock: socket.socket) -> None:
        subscriber: Subscriber | None = None
        try:
            hello = b""
            while len(hello) < _HELLO.size:
                piece = await self._read(listener, sock, _HELLO.size - len(hello))
                if not piece:
                    return
                hello += piece
            subscriber = self._subscriber(sock, _HELLO.unpack(hello)[0])
            listener.subscribers.add(subscriber)
            self._pump(listener, subscriber)
            self._tell_nothing_new(listener, subscriber)
            while await self._read(listener, sock, _HELLO.size):
                pass  # a router says nothing after its number
        except (OSError, trio.ClosedResourceError):
            pass  # it has gone, or was cut off
        finally:
            if subscriber is not None:
                self._drop(listener, subscriber)
            else:
                self._close(sock)

    @staticmethod
    async def _read(listener: ZoneListener, sock: socket.socket, most: int) -> bytes:
        while True:
            if sock.fileno() < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(sock)
            await listener.open.wait()
            try:
                return sock.recv(most)
            except BlockingIOError:
                continue

    def _subscriber(self, sock: socket.socket, last: int) -> Subscriber:
        position = min(max(0, last - FIRST_NUMBER + 1), len(self._frames))
        return Subscriber(sock, position, self._behind(position) + self._most_behind)

    def _behind(self, position: int) -> int:
        """Bytes of all events from a position on."""
        if position >= len(self._ends):
            return 0
        return self._ends[-1] - (self._ends[position - 1] if position else 0)

    async def _beat(self, listener: ZoneListener, phase: float) -> None:
        """An empty frame each second to all who have the newest event."""
        due = trio.current_time() + phase
        while True:
            await trio.sleep_until(due)
            due += HEARTBEAT
            if not listener.cut:
                for subscriber in tuple(listener.subscribers):
                    self._tell_nothing_new(listener, subscriber)

    def _tell_nothing_new(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        if not subscriber.pending and subscriber.position == len(self._frames) and not listener.cut:
            subscriber.pending = event_frame(self.last, NOTHING)
            self._pump(listener, subscriber)

    def _pump(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        """Writes what a router lacks, as far as its socket takes it."""
        if subscriber.blocked:
            self._check_behind(listener, subscriber)
            return
        while not listener.cut:
            if not subscriber.pending and not self._take_piece(subscriber):
                return
            try:
                count = subscriber.sock.send(subscriber.pending)
            except BlockingIOError:
                subscriber.blocked = True
                self._nursery.start_soon(self._wait_writable, listener, subscriber)
                return
            except OSError:
                self._drop(listener, subscriber)
                return
            self._sent += count
            subscriber.pending = subscriber.pending[count:]

    def _take_piece(self, subscriber: Subscriber) -> bool:
        """The next events for a router, as one piece; whether there are any."""
        begin, end = subscriber.position, min(subscriber.position + MOST_PIECE, len(self._frames))
        if begin == end:
            return False
        subscriber.pending = self._frames[begin] if end == begin + 1 else b"".join(self._frames[begin:end])
        subscriber.position = end
        if not self._first_bytes[end - 1]:
            now = time.time_ns()
            for place in range(begin, end):
                self._first_bytes[place] = self._first_bytes[place] or now
        return True

    async def _wait_writable(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        try:
            await trio.lowlevel.wait_writable(subscriber.sock)
        except (OSError, trio.ClosedResourceError):
            return  # it has gone, or was cut off
        await listener.open.wait()
        subscriber.blocked = False
        if subscriber in listener.subscribers:
            self._pump(listener, subscriber)

    def _check_behind(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        behind = self._behind(subscriber.position) + len(subscriber.pending)
        self._most_seen_behind = max(self._most_seen_behind, behind)
        if behind > subscriber.allowed:
            self._cut_off += 1
            # Resets it: what the kernel holds for it goes at once.
            subscriber.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._drop(listener, subscriber)

    def _drop(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        if subscriber in listener.subscribers:
            listener.subscribers.discard(subscriber)
            self._close(subscriber.sock)

    @staticmethod
    def _close(sock: socket.socket) -> None:
        trio.lowlevel.notify_closing(sock)
        sock.close()


def _listeners(machine: int, port: int) -> list[ZoneListener]:
    """One for each zone, all at one port; raises OSError if the port is taken at one of the addresses."""
    made: list[ZoneListener] = []
    try:
        for zone in range(1, ZONES + 1):
            made.append(ZoneListener(machine, zone, port))
            port = made[0].port
    except OSError:
        for listener in made:
            listener.sock.close()
        raise
    return made


def _free_listeners(machine: int, port: int) -> list[ZoneListener]:
    """With port 0, at any that is free at all addresses."""
    for _ in range(PORT_TRIES - 1 if port == 0 else 0):
        with contextlib.suppress(OSError):
            return _listeners(machine, port)
    return _listeners(machine, port)


async def serve(machine: int, port: int, most_behind: int) -> None:
    """Runs until the orders end."""
    async with trio.open_nursery() as nursery:
        listeners = _free_listeners(machine, port)
        control = ControlMachine(listeners, most_behind, nursery)
        control.start()
        child.answer(port=listeners[0].port)
        async for order in child.orders():
            match order["do"]:
                case "publish":
                    control.publish([bytes.fromhex(frame) for frame in order["frames"]])
                case "cut":
                    control.set_cut(order["zones"], order["cut"])
                case "report":
                    child.answer(**control.report())
        nursery.cancel_scope.cancel()


def main(arguments: list[str]) -> None:
    """`MACHINE PORT MOST_BEHIND`, all numbers."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # ends with its parent
    machine, port, most_behind = map(int, itertools.islice(arguments, 3))
    trio.run(serve, machine, port, most_behind)


if __name__ == "__main__":
    main(sys.argv[1:])

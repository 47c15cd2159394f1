"""Run a stand-in control machine: a process that serves the change log to many routers.

It stores every event once, as a frame, in order. A connected router is only a position in that list, so
a slow reader costs the others nothing; one that lags too far is disconnected, and reconnects with the
number of its last event.
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

FIRST_NUMBER = 2  # of the published events; number 1 is the endpoint list in the routers' configuration
HEARTBEAT_INTERVAL_S = 1.0  # between two empty frames
BACKLOG = 4096
MAX_PORT_ATTEMPTS = 5
SEND_BUFFER_BYTES = 16_384  # kernel buffer for one router
MAX_LAG_BYTES = 65_536  # by which a router may fall behind after it has connected
MAX_FRAMES_PER_WRITE = 512
_HELLO = struct.Struct(">Q")
_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with 0 s: close() sends a RST


class Subscriber:
    """A router that follows the change log."""

    __slots__ = ("allowed_lag_bytes", "blocked", "pending", "position", "sock")

    def __init__(self, sock: socket.socket, position: int, allowed_lag_bytes: int) -> None:
        """Create one; `position` is the first event it lacks, `allowed_lag_bytes` its maximum lag."""
        self.sock, self.position, self.allowed_lag_bytes = sock, position, allowed_lag_bytes
        self.pending = b""  # rest of a chunk that was written in part
        self.blocked = False  # a task waits until the socket is writable


class ZoneListener:
    """Listening socket for the routers of one zone."""

    def __init__(self, machine: int, zone: int, port: int) -> None:
        """Open the socket; port 0 means any free port. Raises OSError."""
        self.subscribers: set[Subscriber] = set()
        self.reachable = trio.Event()  # set while the zone is reachable
        self.reachable.set()
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
        """Return the port it listens on."""
        port: int = self.sock.getsockname()[1]
        return port

    @property
    def partitioned(self) -> bool:
        """Return whether this machine and the zone are partitioned."""
        return not self.reachable.is_set()


class ControlMachine:
    """The change log of one control machine and the routers that follow it."""

    def __init__(self, listeners: list[ZoneListener], max_lag_bytes: int, nursery: trio.Nursery) -> None:
        """Create one; `max_lag_bytes` is explained at `MAX_LAG_BYTES`."""
        self._listeners, self._max_lag_bytes, self._nursery = listeners, max_lag_bytes, nursery
        self._frames: list[bytes] = []
        self._end_offsets: list[int] = []  # bytes of all frames up to and including each
        self._first_bytes: list[int] = []  # ns when each was first written to a router; 0: not yet
        self._sent = 0
        self._cut_off = 0
        self._max_observed_lag_bytes = 0

    def start(self) -> None:
        """Start to accept connections and send heartbeats."""
        for index, listener in enumerate(self._listeners):
            self._nursery.start_soon(self._accept, listener)
            self._nursery.start_soon(
                self._send_heartbeats, listener, HEARTBEAT_INTERVAL_S * index / len(self._listeners)
            )

    @property
    def last(self) -> int:
        """Return the number of the newest event."""
        return FIRST_NUMBER - 1 + len(self._frames)

    def publish(self, frames: list[bytes]) -> None:
        """Append the next events and write them to all reachable routers."""
        for frame in frames:
            self._frames.append(frame)
            self._end_offsets.append(len(frame) + (self._end_offsets[-1] if self._end_offsets else 0))
            self._first_bytes.append(0)
        for listener in self._listeners:
            if listener.partitioned:
                continue
            for subscriber in tuple(listener.subscribers):
                self._write_pending(listener, subscriber)

    def set_partitioned(self, zones: list[int], partitioned: bool) -> None:
        """Start or end a partition between this machine and these zones."""
        for zone in zones:
            listener = self._listeners[zone - 1]
            if partitioned and not listener.partitioned:
                listener.reachable = trio.Event()
            elif not partitioned and listener.partitioned:
                listener.reachable.set()
                for subscriber in tuple(listener.subscribers):
                    self._write_pending(listener, subscriber)

    def report(self) -> child.Message:
        """Return resource usage and state; `first_bytes` in ns, from `FIRST_NUMBER` on."""
        return {
            "cpu": time.process_time(),
            "memory_mb": child.resident_mb(),
            "sent": self._sent,
            "connections": sum(len(listener.subscribers) for listener in self._listeners),
            "cut_off": self._cut_off,
            "most_behind": self._max_observed_lag_bytes,
            "first_bytes": self._first_bytes,
            "last": self.last,
        }

    # -- connections --

    async def _accept(self, listener: ZoneListener) -> None:
        while True:
            await trio.lowlevel.wait_readable(listener.sock)
            try:
                sock, _ = listener.sock.accept()
            except OSError:  # the peer has closed the connection already
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            self._nursery.start_soon(self._serve, listener, sock)

    async def _serve(self, listener: ZoneListener, sock: socket.socket) -> None:
        subscriber: Subscriber | None = None
        try:
            hello = b""
            while len(hello) < _HELLO.size:
                chunk = await self._read(listener, sock, _HELLO.size - len(hello))
                if not chunk:
                    return
                hello += chunk
            subscriber = self._subscriber(sock, _HELLO.unpack(hello)[0])
            listener.subscribers.add(subscriber)
            self._write_pending(listener, subscriber)
            self._send_heartbeat(listener, subscriber)
            while await self._read(listener, sock, _HELLO.size):
                pass  # a router sends nothing after its number
        except (OSError, trio.ClosedResourceError):
            pass  # the peer closed the connection, or it was disconnected here
        finally:
            if subscriber is not None:
                self._disconnect(listener, subscriber)
            else:
                self._close(sock)

    @staticmethod
    async def _read(listener: ZoneListener, sock: socket.socket, max_bytes: int) -> bytes:
        while True:
            if sock.fileno() < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(sock)
            await listener.reachable.wait()
            try:
                return sock.recv(max_bytes)
            except BlockingIOError:
                continue

    def _subscriber(self, sock: socket.socket, last: int) -> Subscriber:
        position = min(max(0, last - FIRST_NUMBER + 1), len(self._frames))
        return Subscriber(sock, position, self._lag_bytes(position) + self._max_lag_bytes)

    def _lag_bytes(self, position: int) -> int:
        """Return the bytes of all events from a position on."""
        if position >= len(self._end_offsets):
            return 0
        return self._end_offsets[-1] - (self._end_offsets[position - 1] if position else 0)

    async def _send_heartbeats(self, listener: ZoneListener, phase_s: float) -> None:
        """Send an empty frame each second to all routers that have the newest event."""
        next_heartbeat_s = trio.current_time() + phase_s
        while True:
            await trio.sleep_until(next_heartbeat_s)
            next_heartbeat_s += HEARTBEAT_INTERVAL_S
            if not listener.partitioned:
                for subscriber in tuple(listener.subscribers):
                    self._send_heartbeat(listener, subscriber)

    def _send_heartbeat(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        if not subscriber.pending and subscriber.position == len(self._frames) and not listener.partitioned:
            subscriber.pending = event_frame(self.last, NOTHING)
            self._write_pending(listener, subscriber)

    def _write_pending(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        """Write the events that a router lacks until its socket blocks."""
        if subscriber.blocked:
            self._disconnect_if_lagging(listener, subscriber)
            return
        while not listener.partitioned:
            if not subscriber.pending and not self._load_next_frames(subscriber):
                return
            try:
                count = subscriber.sock.send(subscriber.pending)
            except BlockingIOError:
                subscriber.blocked = True
                self._nursery.start_soon(self._wait_writable, listener, subscriber)
                return
            except OSError:
                self._disconnect(listener, subscriber)
                return
            self._sent += count
            subscriber.pending = subscriber.pending[count:]

    def _load_next_frames(self, subscriber: Subscriber) -> bool:
        """Join the next events for a router into one chunk; return whether there are any."""
        begin, end = subscriber.position, min(subscriber.position + MAX_FRAMES_PER_WRITE, len(self._frames))
        if begin == end:
            return False
        subscriber.pending = self._frames[begin] if end == begin + 1 else b"".join(self._frames[begin:end])
        subscriber.position = end
        if not self._first_bytes[end - 1]:
            now = time.time_ns()
            for index in range(begin, end):
                self._first_bytes[index] = self._first_bytes[index] or now
        return True

    async def _wait_writable(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        try:
            await trio.lowlevel.wait_writable(subscriber.sock)
        except (OSError, trio.ClosedResourceError):
            return  # the peer closed the connection, or it was disconnected here
        await listener.reachable.wait()
        subscriber.blocked = False
        if subscriber in listener.subscribers:
            self._write_pending(listener, subscriber)

    def _disconnect_if_lagging(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        lag_bytes = self._lag_bytes(subscriber.position) + len(subscriber.pending)
        self._max_observed_lag_bytes = max(self._max_observed_lag_bytes, lag_bytes)
        if lag_bytes > subscriber.allowed_lag_bytes:
            self._cut_off += 1
            # Reset the connection, so that the kernel drops its send buffer at once.
            subscriber.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._disconnect(listener, subscriber)

    def _disconnect(self, listener: ZoneListener, subscriber: Subscriber) -> None:
        if subscriber in listener.subscribers:
            listener.subscribers.discard(subscriber)
            self._close(subscriber.sock)

    @staticmethod
    def _close(sock: socket.socket) -> None:
        trio.lowlevel.notify_closing(sock)
        sock.close()


def _listeners(machine: int, port: int) -> list[ZoneListener]:
    """Open one listener for each zone, all on one port; raises OSError if it is in use at one address."""
    opened: list[ZoneListener] = []
    try:
        for zone in range(1, ZONES + 1):
            opened.append(ZoneListener(machine, zone, port))
            port = opened[0].port
    except OSError:
        for listener in opened:
            listener.sock.close()
        raise
    return opened


def _free_listeners(machine: int, port: int) -> list[ZoneListener]:
    """Open the listeners; with port 0, on a port that is free at all addresses."""
    for _ in range(MAX_PORT_ATTEMPTS - 1 if port == 0 else 0):
        with contextlib.suppress(OSError):
            return _listeners(machine, port)
    return _listeners(machine, port)


async def serve(machine: int, port: int, max_lag_bytes: int) -> None:
    """Serve until the command pipe is closed."""
    async with trio.open_nursery() as nursery:
        listeners = _free_listeners(machine, port)
        control = ControlMachine(listeners, max_lag_bytes, nursery)
        control.start()
        child.send_response(port=listeners[0].port)
        async for command in child.receive_commands():
            match command["do"]:
                case "publish":
                    control.publish([bytes.fromhex(frame) for frame in command["frames"]])
                case "cut":
                    control.set_partitioned(command["zones"], command["cut"])
                case "report":
                    child.send_response(**control.report())
        nursery.cancel_scope.cancel()


def main(arguments: list[str]) -> None:
    """Run the process; the arguments are `MACHINE PORT MAX_LAG_BYTES`, all numbers."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # ends with its parent
    machine, port, max_lag_bytes = map(int, itertools.islice(arguments, 3))
    trio.run(serve, machine, port, max_lag_bytes)


if __name__ == "__main__":
    main(sys.argv[1:])

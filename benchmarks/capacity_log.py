"""Measure the change log: bytes and segments of a follower, and the server's CPU for N followers."""

from __future__ import annotations

import contextlib
import math
import multiprocessing
import random
import socket
import struct
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import trio

from benchmarks.capacity_fits import BOUND_BYTES_PER_S, PURGES_PER_S, ROUTERS, Figures, line_fit
from stonecove.discovery import MembershipEvent, PurgeUpdate
from stonecove.protocols.change_log import Follower
from stonecove.runtime.log import set_log_sink
from stonecove.standins.depot import HOST
from stonecove.transport.change_log_follower import ChangeLogClient

TCP_HEADER_BYTES, TCP_TIMESTAMP_BYTES = 40, 12
WINDOWS_S = (0.0, 0.05, 0.1, 0.2, 0.5)  # batching windows of a change log's server
HEARTBEAT, OBJECT_PURGE = 0, 3  # kinds of frames
FrameHead = struct.Struct(">IQB")
ObjectPurge = struct.Struct(">QQ")


@dataclass(frozen=True, slots=True)
class Segments:
    """Traffic of a TCP connection, as counted by the kernel (Linux, TCP_INFO)."""

    segments_sent: int
    segments_received: int
    bytes_sent: int
    bytes_received: int
    header_bytes: int  # bytes of each segment

    @classmethod
    def of(cls, sock: socket.socket) -> Segments:
        """Read the current counters of a socket."""
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
        acked_bytes, received_bytes, segments_sent, segments_received = struct.unpack_from(
            "=QQII", tcp_info, 120
        )
        return cls(
            segments_sent,
            segments_received,
            acked_bytes,
            received_bytes,
            TCP_HEADER_BYTES + TCP_TIMESTAMP_BYTES * (tcp_info[5] & 1),
        )

    def since(self, before: Segments) -> Segments:
        """Return the traffic since `before`."""
        return Segments(
            self.segments_sent - before.segments_sent,
            self.segments_received - before.segments_received,
            self.bytes_sent - before.bytes_sent,
            self.bytes_received - before.bytes_received,
            self.header_bytes,
        )

    @property
    def total_bytes(self) -> int:
        """Return the bytes including headers, in both directions."""
        return (
            self.bytes_sent
            + self.bytes_received
            + (self.segments_sent + self.segments_received) * self.header_bytes
        )


def frame(number: int, kind: int, body: bytes = b"") -> bytes:
    """Return an encoded frame of the change log."""
    return FrameHead.pack(9 + len(body), number, kind) + body


class LogServer:
    """A change log that sends purges to all followers, batched over `window_s` (0: immediately)."""

    def __init__(self, window_s: float = 0.0) -> None:
        """Start to accept followers in a thread."""
        self.window_s = window_s
        self.number = 1
        self.purged_at_s: dict[int, float] = {}  # by number of the purge, monotonic time
        self.followers: list[socket.socket] = []
        self._pending: list[bytes] = []
        self._listener = socket.create_server((HOST, 0), backlog=1024)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.recv(8, socket.MSG_WAITALL)
                sock.send(frame(self.number, HEARTBEAT))
            except OSError:
                return
            self.followers.append(sock)

    def run(self, rate: float, seconds: float, seed: int = 3) -> int:
        """Record purges at random times, `rate` per second on average; return how many."""
        generator = random.Random(seed)
        started_at_s = now_s = time.monotonic()
        next_purge_s = now_s + generator.expovariate(rate) if rate else math.inf
        next_heartbeat_s, next_flush_s, count = now_s + 1.0, now_s + self.window_s, 0
        while now_s < started_at_s + seconds:
            while next_purge_s <= now_s:
                self.record_purge()
                count, next_purge_s = count + 1, next_purge_s + generator.expovariate(rate)
            if next_heartbeat_s <= now_s:
                self._pending.append(frame(self.number, HEARTBEAT))
                next_heartbeat_s += 1.0
            if next_flush_s <= now_s or not self.window_s:
                self.flush()
                next_flush_s += self.window_s
            wake_at_s = min(
                next_purge_s,
                next_heartbeat_s,
                next_flush_s if self.window_s else math.inf,
                started_at_s + seconds,
            )
            time.sleep(max(0.0, wake_at_s - time.monotonic()))
            now_s = time.monotonic()
        self.flush()
        return count

    def record_purge(self) -> None:
        """Record a purge, which is sent with the next flush."""
        self.number += 1
        self.purged_at_s[self.number] = time.monotonic()
        body = ObjectPurge.pack(self.number, int(time.time() * 1000))
        self._pending.append(frame(self.number, OBJECT_PURGE, body))

    def flush(self) -> None:
        """Send the pending frames to all followers."""
        data, self._pending = b"".join(self._pending), []
        if data:
            for sock in list(self.followers):
                try:
                    sock.send(data)
                except OSError:  # the follower has disconnected
                    self.followers.remove(sock)

    def close(self) -> None:
        """Close the listener and all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        for sock in (self._listener, *self.followers):
            sock.close()


class DelaySink:
    """Records the delay of each purge."""

    def __init__(self, server: LogServer) -> None:
        """Measure the purges of `server`."""
        self._server = server
        self.delays_s: list[float] = []

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Record the delay if the event is a purge."""
        if isinstance(event, PurgeUpdate):
            self.delays_s.append(time.monotonic() - self._server.purged_at_s[event.key])


async def _follow_all(servers: Sequence[LogServer], sinks: Sequence[DelaySink], seconds: float) -> None:
    async with trio.open_nursery() as nursery:
        for server, sink in zip(servers, sinks, strict=True):
            nursery.start_soon(ChangeLogClient(HOST, server.port, Follower(1)).run, sink)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()


def log(short: bool) -> Figures:
    """Measure one follower per batching window, all at the same time."""
    warm_up_s, seconds = (1.0, 3.0) if short else (5.0, 60.0)
    servers = [LogServer(window_s) for window_s in WINDOWS_S]
    sinks = [DelaySink(server) for server in servers]
    carried: dict[float, Segments] = {}

    def serve(server: LogServer) -> None:
        server.run(PURGES_PER_S, warm_up_s)
        before = Segments.of(server.followers[0])
        server.run(PURGES_PER_S, seconds, seed=4)
        time.sleep(0.2)  # lets the last frame be acknowledged
        carried[server.window_s] = Segments.of(server.followers[0]).since(before)

    threads = [threading.Thread(target=serve, args=(server,)) for server in servers]

    def start_when_connected() -> None:
        while not all(server.followers for server in servers):
            time.sleep(0.01)
        for thread in threads:
            thread.start()

    set_log_sink(lambda event, fields: None)
    try:
        threading.Thread(target=start_when_connected).start()
        trio.run(_follow_all, servers, sinks, warm_up_s + seconds + 1.5)
    finally:
        set_log_sink(None)
    for thread in threads:
        thread.join()
    figures: Figures = {}
    for server, sink in zip(servers, sinks, strict=True):
        figures |= _window_figures(server.window_s, carried[server.window_s], sink.delays_s, seconds)
        server.close()
    return figures


def _window_figures(window_s: float, carried: Segments, delays_s: list[float], seconds: float) -> Figures:
    ordered = sorted(delays_s)
    p99 = ordered[int(len(ordered) * 0.99)]
    name = f"log_{window_s * 1000:.0f}ms"
    print(
        f"change log, batched over {window_s * 1000:3.0f} ms: {carried.bytes_sent / seconds:.0f} bytes sent, "
        f"{carried.segments_sent / seconds:.1f} segments sent, "
        f"{carried.segments_received / seconds:.1f} received, {carried.total_bytes / seconds:.0f} bytes "
        f"per second with headers of {carried.header_bytes} "
        f"({carried.total_bytes / seconds / BOUND_BYTES_PER_S:.2f} of the bound); {len(delays_s)} purges, "
        f"delay mean {sum(delays_s) / len(delays_s) * 1000:.1f} ms, p99 {p99 * 1000:.1f}, max "
        f"{ordered[-1] * 1000:.1f}"
    )
    return {
        f"{name}_payload_bytes_s": carried.bytes_sent / seconds,
        f"{name}_segments_down_s": carried.segments_sent / seconds,
        f"{name}_segments_up_s": carried.segments_received / seconds,
        f"{name}_bytes_s": carried.total_bytes / seconds,
        f"{name}_delay_mean_ms": sum(delays_s) / len(delays_s) * 1000,
        f"{name}_delay_p99_ms": p99 * 1000,
    }


def _run_followers(port: int, count: int, ready: Any) -> None:
    """Run followers that discard everything until the server closes."""
    sockets = [socket.create_connection((HOST, port)) for _ in range(count)]
    for sock in sockets:
        sock.send(bytes(8))
    ready.set()

    async def read(sock: socket.socket) -> None:
        sock.setblocking(False)
        with trio.socket.from_stdlib_socket(sock) as stream:
            try:
                while await stream.recv(65_536):
                    pass
            except ConnectionResetError:
                return

    async def read_all() -> None:
        async with trio.open_nursery() as nursery:
            for sock in sockets:
                nursery.start_soon(read, sock)

    trio.run(read_all)


def fanout(short: bool) -> Figures:
    """Measure the server's CPU by followers, with purges sent immediately and batched over 100 ms."""
    sizes, seconds = ((10, 30), 2.0) if short else ((50, 150, 400), 8.0)
    context = multiprocessing.get_context("spawn")
    figures: Figures = {}
    for window_s in (0.0, 0.1):
        cores_used = []
        for count in sizes:
            server, ready = LogServer(window_s), context.Event()
            child = context.Process(target=_run_followers, args=(server.port, count, ready))
            child.start()
            ready.wait(30)
            while len(server.followers) < count:
                time.sleep(0.01)
            before = time.process_time()
            server.run(PURGES_PER_S, seconds)
            cores_used.append((time.process_time() - before) / seconds)
            server.close()
            child.join(10)
        line = line_fit(sizes, cores_used)
        name = f"fanout_{window_s * 1000:.0f}ms"
        shown = ", ".join(f"{cpu:.4f} at {size}" for size, cpu in zip(sizes, cores_used, strict=True))
        print(
            f"server CPU, purges batched over {window_s * 1000:.0f} ms: cores {shown}; "
            f"{line.slope * 1e6:.1f} us per second and follower; {ROUTERS}: {line.at(ROUTERS):.3f}, "
            f"a third of them: {line.at(ROUTERS / 3):.3f}"
        )
        figures |= {
            f"{name}_us_follower_s": line.slope * 1e6,
            f"{name}_core_730": line.at(ROUTERS),
            f"{name}_core_third": line.at(ROUTERS / 3),
        }
    return figures

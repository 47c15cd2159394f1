"""The change log: bytes and segments at a follower, and what its server spends on N of them."""

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

from benchmarks.capacity_fits import BOUND_BYTES, PURGE_RATE, ROUTERS, Figures, line_fit
from stonecove.discovery import MembershipEvent, PurgeUpdate
from stonecove.protocols.change_log import Follower
from stonecove.runtime.log import set_log_sink
from stonecove.standins.depot import HOST
from stonecove.transport.change_log_follower import ChangeLogClient

TCP_HEADERS, TCP_TIMESTAMPS = 40, 12
WINDOWS = (0.0, 0.05, 0.1, 0.2, 0.5)  # seconds for which a change log's server gathers
NOTHING_NEW, OBJECT_PURGE = 0, 3  # kinds of frames
FrameHead = struct.Struct(">IQB")
ObjectPurge = struct.Struct(">QQ")


@dataclass(frozen=True, slots=True)
class Segments:
    """What a TCP connection has carried, by the kernel's count (Linux, TCP_INFO)."""

    out: int
    came: int
    bytes_out: int
    bytes_came: int
    headers: int  # bytes of each segment

    @classmethod
    def of(cls, sock: socket.socket) -> Segments:
        """As it stands."""
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
        acked, received, out, came = struct.unpack_from("=QQII", told, 120)
        return cls(out, came, acked, received, TCP_HEADERS + TCP_TIMESTAMPS * (told[5] & 1))

    def since(self, before: Segments) -> Segments:
        """What was carried from then on."""
        return Segments(
            self.out - before.out,
            self.came - before.came,
            self.bytes_out - before.bytes_out,
            self.bytes_came - before.bytes_came,
            self.headers,
        )

    @property
    def total(self) -> int:
        """Bytes with headers, both ways."""
        return self.bytes_out + self.bytes_came + (self.out + self.came) * self.headers


def frame(number: int, kind: int, body: bytes = b"") -> bytes:
    """A frame of the change log."""
    return FrameHead.pack(9 + len(body), number, kind) + body


class LogServer:
    """A change log that tells all followers of purges, gathered for `window` seconds (0: each at once)."""

    def __init__(self, window: float = 0.0) -> None:
        """Accepts followers from now on, in a thread."""
        self.window = window
        self.number = 1
        self.made: dict[int, float] = {}  # by number of the purge, in monotonic seconds
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
                sock.send(frame(self.number, NOTHING_NEW))
            except OSError:
                return
            self.followers.append(sock)

    def run(self, rate: float, seconds: float, seed: int = 3) -> int:
        """Makes purges at random moments, `rate` a second; returns how many."""
        chooser = random.Random(seed)
        began = now = time.monotonic()
        purge = now + chooser.expovariate(rate) if rate else math.inf
        beat, flush, count = now + 1.0, now + self.window, 0
        while now < began + seconds:
            while purge <= now:
                self.make()
                count, purge = count + 1, purge + chooser.expovariate(rate)
            if beat <= now:
                self._pending.append(frame(self.number, NOTHING_NEW))
                beat += 1.0
            if flush <= now or not self.window:
                self.flush()
                flush += self.window
            due = min(purge, beat, flush if self.window else math.inf, began + seconds)
            time.sleep(max(0.0, due - time.monotonic()))
            now = time.monotonic()
        self.flush()
        return count

    def make(self) -> None:
        """One more purge, told with the next flush."""
        self.number += 1
        self.made[self.number] = time.monotonic()
        body = ObjectPurge.pack(self.number, int(time.time() * 1000))
        self._pending.append(frame(self.number, OBJECT_PURGE, body))

    def flush(self) -> None:
        """Tells all followers what was gathered."""
        data, self._pending = b"".join(self._pending), []
        if data:
            for sock in list(self.followers):
                try:
                    sock.send(data)
                except OSError:  # it has gone
                    self.followers.remove(sock)

    def close(self) -> None:
        """Ends it and its connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        for sock in (self._listener, *self.followers):
            sock.close()


class DelaySink:
    """Notes how long each purge was on its way."""

    def __init__(self, server: LogServer) -> None:
        self._server = server
        self.delays: list[float] = []  # seconds

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """An event of the log."""
        if isinstance(event, PurgeUpdate):
            self.delays.append(time.monotonic() - self._server.made[event.key])


async def _follow_all(servers: Sequence[LogServer], sinks: Sequence[DelaySink], seconds: float) -> None:
    async with trio.open_nursery() as nursery:
        for server, sink in zip(servers, sinks, strict=True):
            nursery.start_soon(ChangeLogClient(HOST, server.port, Follower(1)).run, sink)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()


def log(short: bool) -> Figures:
    """One follower for each batching window, all at the same time."""
    warm, seconds = (1.0, 3.0) if short else (5.0, 60.0)
    servers = [LogServer(window) for window in WINDOWS]
    sinks = [DelaySink(server) for server in servers]
    carried: dict[float, Segments] = {}

    def serve(server: LogServer) -> None:
        server.run(PURGE_RATE, warm)
        before = Segments.of(server.followers[0])
        server.run(PURGE_RATE, seconds, seed=4)
        time.sleep(0.2)  # the last word is answered
        carried[server.window] = Segments.of(server.followers[0]).since(before)

    threads = [threading.Thread(target=serve, args=(server,)) for server in servers]

    def begin() -> None:
        while not all(server.followers for server in servers):
            time.sleep(0.01)
        for thread in threads:
            thread.start()

    set_log_sink(lambda event, fields: None)
    try:
        threading.Thread(target=begin).start()
        trio.run(_follow_all, servers, sinks, warm + seconds + 1.5)
    finally:
        set_log_sink(None)
    for thread in threads:
        thread.join()
    figures: Figures = {}
    for server, sink in zip(servers, sinks, strict=True):
        figures |= _window_figures(server.window, carried[server.window], sink.delays, seconds)
        server.close()
    return figures


def _window_figures(window: float, carried: Segments, delays: list[float], seconds: float) -> Figures:
    ordered = sorted(delays)
    p99 = ordered[int(len(ordered) * 0.99)]
    name = f"log_{window * 1000:.0f}ms"
    print(
        f"change log, gathered for {window * 1000:3.0f} ms: {carried.bytes_out / seconds:.0f} bytes told, "
        f"{carried.out / seconds:.1f} segments out, {carried.came / seconds:.1f} back, "
        f"{carried.total / seconds:.0f} bytes a second with headers of {carried.headers} "
        f"({carried.total / seconds / BOUND_BYTES:.2f} of the bound); {len(delays)} purges, delay mean "
        f"{sum(delays) / len(delays) * 1000:.1f} ms, p99 {p99 * 1000:.1f}, most {ordered[-1] * 1000:.1f}"
    )
    return {
        f"{name}_payload_bytes_s": carried.bytes_out / seconds,
        f"{name}_segments_down_s": carried.out / seconds,
        f"{name}_segments_up_s": carried.came / seconds,
        f"{name}_bytes_s": carried.total / seconds,
        f"{name}_delay_mean_ms": sum(delays) / len(delays) * 1000,
        f"{name}_delay_p99_ms": p99 * 1000,
    }


def _drain(port: int, count: int, ready: Any) -> None:
    """Followers that read and drop all, until the server closes."""
    socks = [socket.create_connection((HOST, port)) for _ in range(count)]
    for sock in socks:
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
            for sock in socks:
                nursery.start_soon(read, sock)

    trio.run(read_all)


def fanout(short: bool) -> Figures:
    """CPU of the server for a second of purges, by followers: told at once, and gathered for 100 ms."""
    sizes, seconds = ((10, 30), 2.0) if short else ((50, 150, 400), 8.0)
    context = multiprocessing.get_context("spawn")
    figures: Figures = {}
    for window in (0.0, 0.1):
        used = []
        for count in sizes:
            server, ready = LogServer(window), context.Event()
            child = context.Process(target=_drain, args=(server.port, count, ready))
            child.start()
            ready.wait(30)
            while len(server.followers) < count:
                time.sleep(0.01)
            before = time.process_time()
            server.run(PURGE_RATE, seconds)
            used.append((time.process_time() - before) / seconds)
            server.close()
            child.join(10)
        line = line_fit(sizes, used)
        name = f"fanout_{window * 1000:.0f}ms"
        shown = ", ".join(f"{cpu:.4f} at {size}" for size, cpu in zip(sizes, used, strict=True))
        print(
            f"a server's CPU, purges gathered for {window * 1000:.0f} ms: cores {shown}; "
            f"{line.slope * 1e6:.1f} us a second and follower; {ROUTERS}: {line.at(ROUTERS):.3f}, "
            f"a third of them: {line.at(ROUTERS / 3):.3f}"
        )
        figures |= {
            f"{name}_us_follower_s": line.slope * 1e6,
            f"{name}_core_730": line.at(ROUTERS),
            f"{name}_core_third": line.at(ROUTERS / 3),
        }
    return figures

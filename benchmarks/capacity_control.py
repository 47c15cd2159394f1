"""What the control plane costs by the size of the fleet, and what that comes to at 730 routers.

    python -m benchmarks.capacity_control [--part NAME]... [--short] [--sizes 25,50] [--figures FILE]

`swarm`         datagrams, bytes, CPU and memory of the decisions, on a simulated clock (`trial.model`)
`log`           bytes and TCP segments of one follower of the change log, by the server's batching window
`fanout`        CPU of a server that tells N followers
`follower`      CPU and memory of the real router by purges, restarts and SIGHUPs
`coordination`  bytes of ZooKeeper sessions against the stand-in ensemble
`supervisor`    the supervisor of a host by its instances
`days`          the figures of the other parts, of this run or of `--figures FILE`, worked out for whole days

Bytes include IP and UDP or TCP headers, sent and received together. All sockets are on loopback. The last
line is `key=value ...`; without `--part` all parts run.
"""

from __future__ import annotations

import gc
import json
import math
import multiprocessing
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import types
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import click
import numpy
import trio

from stonecove.commands.demo import free_port, wait_ready
from stonecove.fleet.control import ControlError, ask
from stonecove.membership import PurgeUpdate, Told
from stonecove.runtime.log import divert
from stonecove.standins.depot import HOST
from stonecove.standins.webserver import settings
from stonecove.trial.model import Box, Model
from stonecove.swarm.swarm import Swarm
from stonecove.wire.ensemble import Ensemble
from stonecove.wire.follow import ChangeLog
from stonecove.wire.zkpresence import Registrar
from stonecove.wire.zksession import Figures as SessionFigures
from stonecove.wire.zktree import Tree
from stonecove.wire.zookeeper import Stat

ROUTERS, CACHES, ZONES, REGIONS = 730, 290, 19, 7
PURGE_RATE = 22.0  # purges a second
BOUND_BYTES = 2048.0  # a second and router, for control
BOUND_CORE = 0.033  # of a router's core, for control
BOUND_MB = 64.0  # of a router's memory, for control
DAY = 86_400.0
CHANGES_A_DAY = 1600  # of the configuration

UDP_HEADERS = 28  # IP and UDP
REFUSAL_HEADERS = 56  # IP and ICMP, and the headers of what was refused, which come back with it
TCP_HEADERS, TCP_TIMESTAMPS = 40, 12

SIZES, SHORT_SIZES = (25, 50, 100, 150, 200), (10, 20)
WINDOWS = (0.0, 0.05, 0.1, 0.2, 0.5)  # seconds for which a change log's server gathers

FrameHead = struct.Struct(">IQB")
ObjectPurge = struct.Struct(">QQ")
NOTHING_NEW, OBJECT_PURGE = 0, 3  # kinds of frames

Figures = dict[str, float]


# -- fits --


class Power(NamedTuple):
    """factor x size ** exponent."""

    factor: float
    exponent: float

    def at(self, size: float) -> float:
        """The value at that size."""
        return float(self.factor * size**self.exponent)


class Line(NamedTuple):
    """base + slope x size."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """The value at that size."""
        return self.base + self.slope * size


def power_fit(sizes: Sequence[float], values: Sequence[float]) -> Power:
    """Least squares on logarithms; values that are not positive are left out, two are needed."""
    pairs = [(size, value) for size, value in zip(sizes, values, strict=True) if value > 0]
    if len(pairs) < 2:
        return Power(math.nan, math.nan)
    logs = numpy.log(numpy.array(pairs))
    exponent, factor = numpy.polyfit(logs[:, 0], logs[:, 1], 1)
    return Power(float(numpy.exp(factor)), float(exponent))


def line_fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Least squares."""
    slope, base = numpy.polyfit(numpy.array(sizes, float), numpy.array(values, float), 1)
    return Line(float(base), float(slope))


# -- processes --


def cpu_of(pid: int) -> float:
    """Seconds of CPU that all threads of a process have used, by the scheduler's own count."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total / 1e9


def resident_of(pid: int) -> float:
    """MB of a process that are in memory."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def deep_size(root: object) -> int:
    """Bytes of an object and all that it refers to, without modules, types and code."""
    shared = (type, types.ModuleType, types.FunctionType, types.BuiltinFunctionType, types.CodeType)
    seen, open_ones, total = {id(root)}, [root], 0
    while open_ones:
        one = open_ones.pop()
        total += sys.getsizeof(one)
        for other in gc.get_referents(one):
            if id(other) not in seen and not isinstance(other, shared):
                seen.add(id(other))
                open_ones.append(other)
    return total


# -- swarm --


class CountedModel(Model):
    """A simulated fleet that counts datagrams, bytes and the decisions' CPU. Shares are not judged."""

    def __init__(self, count: int, seed: int = 7) -> None:
        """As `Model`, in one zone."""
        super().__init__(count, seed)
        self.bytes: Counter[tuple[int, int]] = Counter()  # by simulated second and place, both ways
        self.decision_ns = 0
        self._within_ns = 0  # of the tick that runs: what is counted elsewhere, or is the simulator's

    def _look(self) -> None:
        return

    def _carry(self, source: int, to: int, data: bytes) -> None:
        self.bytes[int(self.now), source] += len(data) + UDP_HEADERS
        super()._carry(source, to, data)

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        if self.boxes[to].swarm is not None:
            self.bytes[int(self.now), to] += len(data) + UDP_HEADERS
        elif (to, source) not in self.cuts:
            self.bytes[int(self.now), source] += len(data) + REFUSAL_HEADERS
        super()._arrive(source, to, data)

    def _take(self, box: Box, life: Swarm, slot: int, data: bytes, refused: bool) -> None:
        began = time.thread_time_ns()
        super()._take(box, life, slot, data, refused)
        took = time.thread_time_ns() - began
        self.decision_ns += took
        self._within_ns += took

    def _flush(self, box: Box, life: Swarm) -> None:
        began = time.thread_time_ns()
        super()._flush(box, life)
        self._within_ns += time.thread_time_ns() - began

    def _tick(self, box: Box, life: Swarm | None) -> None:
        self._within_ns, began = 0, time.thread_time_ns()
        super()._tick(box, life)
        self.decision_ns += time.thread_time_ns() - began - self._within_ns


class Phase(NamedTuple):
    """What a while of a simulated fleet cost."""

    seconds: float
    datagrams: int
    bytes: int  # sent and received, by all
    peak: float  # bytes a router, in the worst second on average
    peak_one: float  # bytes of the worst router in its worst second
    decision_s: float  # of CPU, by all


def observe(model: CountedModel, act: Callable[[], None], passes: Callable[[], None]) -> Phase:
    """Does something to a fleet, lets time pass, and tells what that cost."""
    model.run(math.ceil(model.now) - model.now)  # whole seconds are compared
    began, datagrams, decisions = model.now, model.sent, model.decision_ns
    model.bytes.clear()
    act()
    passes()
    by_second: Counter[int] = Counter()
    for (second, _), count in model.bytes.items():
        by_second[second] += count
    return Phase(
        model.now - began,
        model.sent - datagrams,
        sum(by_second.values()),
        max(by_second.values(), default=0) / len(model.boxes),
        max(model.bytes.values(), default=0),
        (model.decision_ns - decisions) / 1e9,
    )


def start_within(model: CountedModel, places: Iterable[int], seconds: float) -> None:
    """Starts them, evenly over that time."""
    chosen = list(places)
    for place in chosen:
        model.start(place)
        model.run(seconds / len(chosen))


def vanish(model: CountedModel, places: Iterable[int]) -> None:
    """Their machines are gone: nothing there refuses."""
    gone = list(places)
    model.cut(gone, set(range(len(model.boxes))) - set(gone))
    for place in gone:
        model.kill(place)


def play_fleet(count: int, short: bool) -> Figures:
    """One fleet through its days; the figures of each phase."""
    model = CountedModel(count)
    everyone = range(count)
    zone, region, tenth = (range(max(1, round(count / part))) for part in (ZONES, REGIONS, 10))
    joined = partial(model.until, model.joined, 120.0)

    def kill_and_start() -> None:
        model.kill(count - 1)
        model.run(1.0)
        model.start(count - 1)

    def restart_tenth() -> None:
        for place in tenth:
            model.kill(place)
        model.run(1.0)
        start_within(model, tenth, 1.0)

    def back() -> None:
        model.cuts.clear()
        start_within(model, zone, 2.0)

    phases = {"join": observe(model, partial(start_within, model, everyone, 2.0), lambda: void(joined()))}
    model.run(5.0)
    phases["calm"] = observe(model, idle, partial(model.run, 10.0))
    memory = deep_size(model.boxes[0].swarm) / 1e6
    phases["kill"] = observe(model, partial(model.kill, 0), partial(model.run, 15.0))
    model.start(0)
    joined()
    model.run(3.0)
    phases["restart"] = observe(model, kill_and_start, partial(model.run, 12.0))
    phases["tenth"] = observe(model, restart_tenth, partial(model.run, 12.0))
    if not short:
        phases["zone"] = observe(model, partial(vanish, model, zone), partial(model.run, 25.0))
        phases["zone_back"] = observe(model, back, partial(model.run, 12.0))
        away = set(everyone) - set(region)
        phases["cut"] = observe(model, partial(model.cut, region, away), partial(model.run, 30.0))
        phases["cut_on"] = observe(model, idle, partial(model.run, 15.0))
        phases["meet"] = observe(model, model.cuts.clear, partial(model.run, 25.0))
    calm = phases["calm"]
    figures = {
        "memory_mb": memory,
        "calm_bytes_a_datagram": calm.bytes / max(1, calm.datagrams) / 2,  # each is sent and received
        "join_bytes_a_datagram": phases["join"].bytes / phases["join"].datagrams / 2,
    }
    for name, phase in phases.items():
        figures |= phase_figures(name, phase, calm, count)
    return figures


def idle() -> None:
    """Nothing is done."""


def void(_: object) -> None:
    """Drops a result."""


def phase_figures(name: str, phase: Phase, calm: Phase, count: int) -> Figures:
    """A phase by router; what it costs beside what calm costs in as many seconds."""
    rest = 0.0 if name in ("join", "calm") else phase.seconds / calm.seconds
    return {
        f"{name}_s": phase.seconds,
        f"{name}_datagrams": phase.datagrams,
        f"{name}_datagrams_each_s": phase.datagrams / phase.seconds / count,
        f"{name}_bytes_each_s": phase.bytes / phase.seconds / count,
        f"{name}_extra_datagrams": phase.datagrams - calm.datagrams * rest,
        f"{name}_extra_bytes_each": (phase.bytes - calm.bytes * rest) / count,
        f"{name}_peak_bytes": phase.peak,
        f"{name}_peak_one_bytes": phase.peak_one,
        f"{name}_cpu_us_each_s": phase.decision_s / phase.seconds / count * 1e6,
        f"{name}_cpu_ms_each": phase.decision_s / count * 1e3,
    }


def swarm(short: bool, sizes: Sequence[int]) -> Figures:
    """Fleets of several sizes, each in a process of its own, and what their slopes say of 730."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(sizes), mp_context=context) as pool:
        found = list(pool.map(play_fleet, sizes, [short] * len(sizes)))
    figures: Figures = {}
    print("swarm: " + " ".join(f"{size:>10}" for size in sizes) + "   fit; at 730")
    for name in found[0]:
        values = [one[name] for one in found]
        power = power_fit(sizes, values)
        shown = " ".join(f"{value:10.4g}" for value in values)
        predicted = power.at(ROUTERS)
        print(f"{name:26} {shown}   {power.factor:.3g} x N^{power.exponent:.2f}; {predicted:.4g}")
        figures |= {f"swarm_{name}_{size}": value for size, value in zip(sizes, values, strict=True)}
        figures |= {f"swarm_{name}_exponent": power.exponent, f"swarm_{name}_{ROUTERS}": predicted}
    return figures


# -- the change log --


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
                self._make()
                count, purge = count + 1, purge + chooser.expovariate(rate)
            if beat <= now:
                self._pending.append(frame(self.number, NOTHING_NEW))
                beat += 1.0
            if flush <= now or not self.window:
                self._flush()
                flush += self.window
            due = min(purge, beat, flush if self.window else math.inf, began + seconds)
            time.sleep(max(0.0, due - time.monotonic()))
            now = time.monotonic()
        self._flush()
        return count

    def _make(self) -> None:
        self.number += 1
        self.made[self.number] = time.monotonic()
        body = ObjectPurge.pack(self.number, int(time.time() * 1000))
        self._pending.append(frame(self.number, OBJECT_PURGE, body))

    def _flush(self) -> None:
        data, self._pending = b"".join(self._pending), []
        if data:
            for sock in list(self.followers):
                try:
                    sock.send(data)
                except OSError:  # it has gone
                    self.followers.remove(sock)

    def close(self) -> None:
        """Ends it and its connections."""
        for sock in (self._listener, *self.followers):
            sock.close()


class DelaySink:
    """Notes how long each purge was on its way."""

    def __init__(self, server: LogServer) -> None:
        self._server = server
        self.delays: list[float] = []  # seconds

    def told(self, event: Told) -> None:
        """An event of the log."""
        if isinstance(event, PurgeUpdate):
            self.delays.append(time.monotonic() - self._server.made[event.key])


async def _follow_all(servers: Sequence[LogServer], sinks: Sequence[DelaySink], seconds: float) -> None:
    async with trio.open_nursery() as nursery:
        for server, sink in zip(servers, sinks, strict=True):
            nursery.start_soon(ChangeLog(HOST, server.port, 1).run, sink)
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

    divert(lambda event, fields: None)
    try:
        threading.Thread(target=begin).start()
        trio.run(_follow_all, servers, sinks, warm + seconds + 1.5)
    finally:
        divert(None)
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


# -- the real router --


def known_caches(count: int) -> dict[str, object]:
    """The list of the start with that many caches that nobody asks."""
    entries = [
        {
            "instanceId": f"s-{0x100 + place:08x}",
            "hostPort": f"127.3.{place // 250}.{place % 250 + 1}:7",
            "zone": "edge-1",
            "machineType": "small-box",
            "cell": 0,
            "lifecycle": "up",
            "weight": 20.0,
            "startedAtMs": 0,
        }
        for place in range(count)
    ]
    return {
        "seq": 1,
        "results": [{"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": entries}}],
    }


class Router:
    """The real program, following a change log."""

    def __init__(self, folder: Path, server: LogServer, caches: int) -> None:
        """Returns once it is ready; `ready_s` and `cpu_s` are what that took."""
        self.port = free_port()
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "capacity",
                    "listen": f"{HOST}:{self.port}",
                    "seed": "7",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "changelog": f"{HOST}:{server.port}",
                    "known": known_caches(caches),
                    "settings": {**settings(), "fleet_size": ROUTERS},
                }
            )
        )
        environ = {**os.environ, "RELAY_CONFIG": str(config)}
        began = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stonecove"], stderr=subprocess.DEVNULL, env=environ
        )
        wait_ready(self.port, self.process)
        self.ready_s = time.monotonic() - began
        self.cpu_s = cpu_of(self.process.pid)

    def stop(self) -> float:
        """Seconds from SIGTERM to its end."""
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(30)
        return time.monotonic() - began


def follower(short: bool) -> Figures:
    """CPU and memory of the real router by purges; what a restart and a SIGHUP take."""
    with tempfile.TemporaryDirectory() as folder:
        figures = _restarts(Path(folder), (12,) if short else (12, 100, CACHES), 2 if short else 5)
        return figures | _purges(Path(folder), (0.0, 220.0) if short else (0.0, 22.0, 220.0, 1100.0), short)


def _restarts(folder: Path, sizes: Sequence[int], rounds: int) -> Figures:
    figures: Figures = {}
    for caches in sizes:
        cpu, ready, stop = [], [], []
        for _ in range(rounds):
            server = LogServer()
            router = Router(folder, server, caches)
            cpu.append(router.cpu_s)
            ready.append(router.ready_s)
            stop.append(router.stop())
            server.close()
        print(
            f"restart with {caches} caches, {rounds} starts: {sorted(cpu)[rounds // 2]:.3f} s of CPU and "
            f"{sorted(ready)[rounds // 2]:.3f} s to ready, {sorted(stop)[rounds // 2]:.3f} s to its end"
        )
        figures |= {
            f"restart_cpu_s_{caches}": sorted(cpu)[rounds // 2],
            f"restart_ready_s_{caches}": sorted(ready)[rounds // 2],
            f"restart_stop_s_{caches}": sorted(stop)[rounds // 2],
        }
    return figures


def _purges(folder: Path, rates: Sequence[float], short: bool) -> Figures:
    server = LogServer()
    router = Router(folder, server, CACHES)
    pid, seconds, reloads = router.process.pid, 2.0 if short else 8.0, 5 if short else 20
    time.sleep(1.0)
    used, began_mb, told = [], resident_of(pid), 0
    for rate in rates:
        before = cpu_of(pid)
        told += server.run(rate, seconds)
        used.append((cpu_of(pid) - before) / seconds)
    line = line_fit(rates, used)
    ended_mb = resident_of(pid)
    before = cpu_of(pid)
    for _ in range(reloads):
        router.process.send_signal(signal.SIGHUP)
        server.run(0.0, 0.1)
    reload_s = (cpu_of(pid) - before - line.base * reloads * 0.1) / reloads
    router.stop()
    server.close()
    shown = ", ".join(f"{cpu * 1e6:.0f} at {rate:g}" for rate, cpu in zip(rates, used, strict=True))
    print(
        f"the router's CPU, us a second by purges a second: {shown}; {line.slope * 1e6:.0f} us a purge, "
        f"{line.base * 1e6:.0f} us a second without; {began_mb:.1f} MB, {ended_mb:.1f} after {told} purges; "
        f"SIGHUP {reload_s * 1e3:.2f} ms of CPU"
    )
    return {
        "purge_us": line.slope * 1e6,
        "idle_us_s": line.base * 1e6,
        "purged_mb": ended_mb - began_mb,
        "purged": told,
        "reload_cpu_ms": reload_s * 1e3,
    }


# -- the coordination service --


class CountingSink:
    """Counts what a tree tells."""

    def __init__(self) -> None:
        self.puts = 0
        self.complete = False

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """A node's data."""
        self.puts += 1

    def removed(self, names: Iterable[str]) -> None:
        """Nodes are gone."""

    def whole(self, names: frozenset[str], confirmed: bool) -> None:
        """The list was read."""
        self.complete = True

    def absent(self, confirmed: bool) -> None:
        """Nobody made the path."""


class Member:
    """One router's session: the caches' nodes, its own node and those of all routers."""

    CACHES_PATH, ROUTERS_PATH = "/stonecove/boxes", "/stonecove/routers"

    def __init__(self, servers: tuple[tuple[str, int], ...], number: int, recursive: bool) -> None:
        self.ensemble = Ensemble(servers, number, SessionFigures(), lambda: None)
        self.caches, self.routers = CountingSink(), CountingSink()
        record = json.dumps(
            {"name": f"router-{number:04}", "zone": "edge-1", "state": "ready",
             "listen": f"10.0.{number // 250}.{number % 250}:6565", "started": 1_700_000_000_000}
        ).encode()  # fmt: skip
        self.registrar = Registrar(
            self.ROUTERS_PATH, f"router-{number:04}", record, self.ensemble.ask,
            lambda: self.ensemble.session.session, lambda data: False, lambda *what, **more: None,
        )  # fmt: skip
        trees = (
            Tree(self.CACHES_PATH, self.ensemble.ask, self.caches, recursive),
            Tree(self.ROUTERS_PATH, self.ensemble.ask, self.routers, recursive),
        )
        for feed in (trees[0].feed, self.registrar.feed, trees[1].feed):
            self.ensemble.add(feed)

    @property
    def settled(self) -> bool:
        """Whether all is read and its own node stands."""
        return self.caches.complete and self.routers.complete and self.registrar.settled


class Standin:
    """The stand-in ensemble as a process, and its control port."""

    def __init__(self, servers: int) -> None:
        command = [sys.executable, "-m", "stonecove", "standin", "zookeeper", "--servers", str(servers)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        lines = [self.process.stdout.readline().split()[-1] for _ in range(servers + 1)]
        addresses = [(host, int(port)) for host, _, port in (line.rpartition(":") for line in lines)]
        self.servers, control = tuple(addresses[:-1]), addresses[-1]
        self._stream = socket.create_connection(control).makefile("rw")

    def do(self, command: str) -> None:
        """One command; raises RuntimeError if it fails."""
        self._stream.write(command + "\n")
        self._stream.flush()
        answer = self._stream.readline().strip()
        if answer != "ok":
            raise RuntimeError(f"{command}: {answer}")

    def close(self) -> None:
        """Ends it."""
        self._stream.close()
        self.process.terminate()
        self.process.wait(10)


class Carried(NamedTuple):
    """Bytes with headers and segments of all open connections to some ports, both ways."""

    bytes: int
    segments: int

    def since(self, before: Carried) -> Carried:
        """What was carried from then on."""
        return Carried(self.bytes - before.bytes, self.segments - before.segments)


def carried_to(ports: set[int]) -> dict[int, Carried]:
    """What each open connection of this process to those ports has carried, by its local port."""
    found: dict[int, Carried] = {}
    for name in os.listdir("/proc/self/fd"):
        try:
            if not os.readlink(f"/proc/self/fd/{name}").startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(name))) as sock:
                if sock.family != socket.AF_INET or sock.getpeername()[1] not in ports:
                    continue
                one = Segments.of(sock)
                found[sock.getsockname()[1]] = Carried(one.total, one.out + one.came)
        except OSError:
            continue
    return found


def carried_since(before: dict[int, Carried], ports: set[int]) -> Carried:
    """What the connections of before that are still open have carried since."""
    now = carried_to(ports)
    parts = [now[port].since(one) for port, one in before.items() if port in now]
    return Carried(sum(one.bytes for one in parts), sum(one.segments for one in parts))


def coordination(short: bool) -> Figures:
    """Sessions of several fleets against the stand-in ensemble, plain and recursive watches."""
    figures: Figures = {}
    sizes, caches = ((5, 10), 10) if short else ((20, 50, 100), 50)
    for recursive in (False, True):
        found = [trio.run(_sessions, size, caches, recursive, short) for size in sizes]
        word = "recursive" if recursive else "plain"
        print(f"coordination, {word} watches, {caches} caches, sessions: {', '.join(map(str, sizes))}")
        for name in found[0]:
            values = [one[name] for one in found]
            line = line_fit(sizes, values)
            shown = ", ".join(f"{value:.4g}" for value in values)
            print(f"  {name}: {shown}; {line.base:.4g} + {line.slope:.4g} N; {line.at(ROUTERS):.4g} at 730")
            figures |= {f"coordination_{word}_{name}_{sizes[-1]}": values[-1],
                        f"coordination_{word}_{name}_slope": line.slope,
                        f"coordination_{word}_{name}_730": line.at(ROUTERS)}  # fmt: skip
    return figures


async def _until(holds: Callable[[], bool], most: float = 60.0) -> None:
    with trio.fail_after(most):
        while not holds():
            await trio.sleep(0.05)


async def _sessions(count: int, caches: int, recursive: bool, short: bool) -> Figures:
    keeper = await trio.to_thread.run_sync(Standin, 3)
    divert(lambda event, fields: None)
    try:
        for path in ("/stonecove", Member.CACHES_PATH, Member.ROUTERS_PATH):
            keeper.do(f"create {path}")
        for place in range(caches):
            keeper.do(f"create {Member.CACHES_PATH}/b{place:04} {_cache_record(place, 20.0)}")
        async with trio.open_nursery() as nursery:
            figures = await _fleet_of_sessions(keeper, nursery, count, caches, recursive, short)
            nursery.cancel_scope.cancel()
        return figures
    finally:
        divert(None)
        keeper.close()


def _cache_record(place: int, weight: float) -> str:
    record = {"id": f"s-{place:08x}", "address": f"127.2.0.{place + 1}:7", "zone": "edge-1",
              "kind": "small-box", "cell": 0, "weight": weight, "started": 0, "state": "up"}  # fmt: skip
    return json.dumps(record)


async def _fleet_of_sessions(
    keeper: Standin, nursery: trio.Nursery, count: int, caches: int, recursive: bool, short: bool
) -> Figures:
    ports = {port for _, port in keeper.servers}
    members = [Member(keeper.servers, number, recursive) for number in range(count)]
    for member in members:
        nursery.start_soon(member.ensemble.run)
    await _until(lambda: all(member.settled and member.routers.puts >= count for member in members))
    await trio.sleep(0.5)
    started = sum(one.bytes for one in carried_to(ports).values())

    seconds = 4.0 if short else 12.0
    before = carried_to(ports)
    await trio.sleep(seconds)
    calm = carried_since(before, ports)

    changes, before = 5 if short else 20, carried_to(ports)
    puts = [member.caches.puts for member in members]
    for number in range(changes):
        record = _cache_record(number % caches, 30.0 + number)
        await trio.to_thread.run_sync(keeper.do, f"set {Member.CACHES_PATH}/b{number % caches:04} {record}")
        await _until(
            lambda done=number + 1: all(  # type: ignore[misc]
                member.caches.puts >= before_it + done
                for member, before_it in zip(members, puts, strict=True)
            )
        )
    await trio.sleep(0.1)
    changed = carried_since(before, ports)

    restarts = 2 if short else 4
    await trio.sleep(0.5)
    borne: list[Carried] = []  # by all others
    for number, member in enumerate(members[:restarts]):
        before_one = carried_to(ports)
        member.ensemble.close()
        await trio.sleep(0.5)
        fresh = Member(keeper.servers, number, recursive)
        nursery.start_soon(fresh.ensemble.run)
        await _until(lambda new=fresh: new.settled)  # type: ignore[misc]
        await trio.sleep(0.5)
        borne.append(carried_since(before_one, ports))
    return {
        "start_bytes_each": started / count,
        "calm_bytes_s": calm.bytes / seconds / count,
        "calm_segments_s": calm.segments / seconds / count,
        "change_bytes_each": changed.bytes / changes / count,
        "change_segments_each": changed.segments / changes / count,
        "restart_bytes_each_other": sum(one.bytes for one in borne) / restarts / (count - 1),
    }


# -- the supervisor of a host --


def supervisor(short: bool) -> Figures:
    """The supervisor and its idle instances, by their number."""
    sizes = (1, 2) if short else (2, 5, 10)
    found = [_supervised(size, 1.5 if short else 5.0) for size in sizes]
    figures: Figures = {}
    for name in found[0]:
        line = line_fit(sizes, [one[name] for one in found])
        shown = ", ".join(f"{one[name]:.4g} at {size}" for size, one in zip(sizes, found, strict=True))
        print(f"supervisor {name}: {shown}; {line.base:.4g} + {line.slope:.4g} an instance")
        figures |= {f"supervisor_{name}_base": line.base, f"supervisor_{name}_slope": line.slope}
    return figures


def _supervised(instances: int, seconds: float) -> Figures:
    server = LogServer()
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        base, operator, fleet = folder / "base.json", folder / "operator.cue", folder / "fleet"
        base.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": "127.0.0.1:1",
                    "seed": "7",
                    "changelog": f"{HOST}:{server.port}",
                    "known": known_caches(CACHES),
                    "settings": {**settings(), "fleet_size": instances},
                }
            )
        )
        operator.write_text(
            f'fleet: {{folder: "{fleet}"\n'
            f'groups: r: {{config: "{base}", host: "127.78.7.7", first_port: 7300, count: {instances}}}}}\n'
        )
        command = [sys.executable, "-m", "stonecove", "fleet", "--operator", str(operator), "run"]
        process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
        beats = threading.Thread(target=server.run, args=(0.0, seconds + 60.0), daemon=True)
        beats.start()
        try:
            pids = _pids_when_ready(fleet, instances)
            time.sleep(1.0)
            before, idle_before = cpu_of(process.pid), sum(map(cpu_of, pids))
            time.sleep(seconds)
            return {
                "cpu_us_s": (cpu_of(process.pid) - before) / seconds * 1e6,
                "mb": resident_of(process.pid),
                "instances_cpu_us_s": (sum(map(cpu_of, pids)) - idle_before) / seconds * 1e6,
                "instances_mb": sum(map(resident_of, pids)),
            }
        finally:
            process.terminate()
            process.wait(60)


def _pids_when_ready(folder: Path, count: int) -> list[int]:
    limit = time.monotonic() + 60.0
    while time.monotonic() < limit:
        try:
            units = ask(folder, "status")["instances"]
        except ControlError:
            units = []
        if len(units) == count and all(unit["phase"] == "ready" for unit in units):
            return [unit["pid"] for unit in units]
        time.sleep(0.05)
    raise RuntimeError(f"not all of {count} instances became ready")


# -- days --


class Day(NamedTuple):
    """One kind of day: what a router's control costs in its worst second, and beside calm in all."""

    name: str
    peak_bytes: float
    extra_bytes: float


def worked_out_days(figures: Figures, window: str = "0ms") -> list[Day]:
    """Days at 730 routers from the slopes; the change log tells purges gathered for that window."""
    steady = figures[f"log_{window}_bytes_s"]

    def of(name: str, times: float = 1.0) -> Day:
        peak = figures[f"swarm_{name}_peak_bytes_{ROUTERS}"]
        return Day(name, peak + steady, figures[f"swarm_{name}_extra_bytes_each_{ROUTERS}"] * times)

    calm = Day("calm", figures[f"swarm_calm_bytes_each_s_{ROUTERS}"] + steady, 0.0)
    meeting = of("meet")
    cut = of("cut")
    lasting = figures[f"swarm_cut_on_extra_bytes_each_{ROUTERS}"] / 15.0 * 270.0
    apart = Day("region cut for 300 s and back", max(cut.peak_bytes, meeting.peak_bytes),
                cut.extra_bytes + lasting + meeting.extra_bytes)  # fmt: skip
    return [
        calm,
        of("kill"),
        of("restart"),
        of("tenth", 10.0)._replace(name="release, ten steps of a tenth"),
        of("zone")._replace(name="zone lost"),
        of("zone_back")._replace(name="zone back"),
        apart,
        of("join")._replace(name="everything started within 2 s"),
    ]


def days(figures: Figures) -> Figures:
    """Prints the days; returns the worst ratio to the bound of bytes."""
    told: Figures = {}
    for window in ("0ms", "500ms"):
        for day in worked_out_days(figures, window):
            print(
                f"{day.name}, change log gathered for {window}: worst second {day.peak_bytes:.0f} bytes a "
                f"router ({day.peak_bytes / BOUND_BYTES:.2f} of the bound), {day.extra_bytes / 1000:.0f} KB "
                f"a router beside calm"
            )
            key = day.name.split(",")[0].replace(" ", "_")
            told[f"day_{window}_{key}_ratio"] = day.peak_bytes / BOUND_BYTES
    rate = CHANGES_A_DAY * ROUTERS / DAY
    print(f"{CHANGES_A_DAY} changes a day by restart: {rate:.1f} restarts a second, each router every "
          f"{ROUTERS / rate:.0f} s")  # fmt: skip
    return told | {"restarts_a_second": rate}


def read_figures(path: Path) -> Figures:
    """The `key=value` lines of earlier runs."""
    found: Figures = {}
    for line in path.read_text().splitlines():
        pairs = [part.partition("=") for part in line.split()]
        if pairs and all(sign and key.isidentifier() for key, sign, _ in pairs):
            found |= {key: float(value) for key, _, value in pairs}
    return found


PARTS: dict[str, Callable[[bool], Figures]] = {
    "log": log,
    "fanout": fanout,
    "follower": follower,
    "coordination": coordination,
    "supervisor": supervisor,
}


@click.command()
@click.option("--part", "parts", multiple=True, type=click.Choice(("swarm", *PARTS, "days")))
@click.option("--short", is_flag=True, help="Small sizes, a few seconds each.")
@click.option("--sizes", default="", help="Sizes of simulated fleets, as 25,50,100.")
@click.option("--figures", "earlier", type=click.Path(exists=True, path_type=Path))
def main(parts: tuple[str, ...], short: bool, sizes: str, earlier: Path | None) -> None:
    """Measures the parts that are named, or all."""
    wanted = parts or ("swarm", *PARTS, "days")
    chosen = [int(size) for size in sizes.split(",") if size] or (SHORT_SIZES if short else SIZES)
    figures: Figures = {}
    for part in wanted:
        if part == "swarm":
            figures |= swarm(short, chosen)
        elif part != "days":
            figures |= PARTS[part](short)
        sys.stdout.flush()
    known = (read_figures(earlier) if earlier else {}) | figures
    if "days" in wanted and not (short and not earlier):
        figures |= days(known)
    print(" ".join(f"{key}={value:.4g}" for key, value in figures.items()))


if __name__ == "__main__":
    main()

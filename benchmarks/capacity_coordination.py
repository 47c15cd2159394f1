"""Sessions with a coordination service: bytes by the number of routers, against the stand-in ensemble."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import Callable, Iterable
from typing import NamedTuple

import trio

from benchmarks.capacity_fits import ROUTERS, Figures, line_fit
from benchmarks.capacity_log import Segments
from stonecove.protocols.zookeeper.messages import Stat
from stonecove.protocols.zookeeper.registration import Registrar
from stonecove.protocols.zookeeper.session import SessionConfig
from stonecove.protocols.zookeeper.tree_watch import TreeWatch
from stonecove.runtime.log import set_log_sink
from stonecove.transport.zookeeper import ZooKeeperClient


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

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        """The list was read."""
        self.complete = True

    def absent(self, confirmed: bool) -> None:
        """Nobody made the path."""


class Member:
    """One router's session: the caches' nodes, its own node and those of all routers."""

    CACHES_PATH, ROUTERS_PATH = "/stonecove/boxes", "/stonecove/routers"

    def __init__(self, servers: tuple[tuple[str, int], ...], number: int, recursive: bool) -> None:
        self.ensemble = ZooKeeperClient(servers, number, SessionConfig(), lambda: None)
        self.caches, self.routers = CountingSink(), CountingSink()
        record = json.dumps(
            {"name": f"router-{number:04}", "zone": "edge-1", "state": "ready",
             "listen": f"10.0.{number // 250}.{number % 250}:6565", "started": 1_700_000_000_000}
        ).encode()  # fmt: skip
        self.registrar = Registrar(
            self.ROUTERS_PATH, f"router-{number:04}", record, self.ensemble.request,
            lambda: self.ensemble.session.session, lambda data: False, lambda *what, **more: None,
        )  # fmt: skip
        trees = (
            TreeWatch(self.CACHES_PATH, self.ensemble.request, self.caches, recursive),
            TreeWatch(self.ROUTERS_PATH, self.ensemble.request, self.routers, recursive),
        )
        for feed in (trees[0].feed, self.registrar.feed, trees[1].feed):
            self.ensemble.add_listener(feed)

    @property
    def settled(self) -> bool:
        """Whether all is read and its own node stands."""
        return self.caches.complete and self.routers.complete and self.registrar.is_current


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
    set_log_sink(lambda event, fields: None)
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
        set_log_sink(None)
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

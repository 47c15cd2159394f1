"""Measure the bytes of coordination-service sessions by fleet size, against the stand-in ensemble."""

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
    """Counts the notifications of a tree watch."""

    def __init__(self) -> None:
        """Start with no notifications."""
        self.puts = 0
        self.complete = False

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """Count a node's data."""
        self.puts += 1

    def removed(self, names: Iterable[str]) -> None:
        """Ignore removed nodes."""

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        """Note that the list of nodes was read."""
        self.complete = True

    def absent(self, confirmed: bool) -> None:
        """Ignore that the path does not exist."""


class RouterSession:
    """One router's session: it watches the nodes of caches and routers and registers its own node."""

    CACHES_PATH, ROUTERS_PATH = "/stonecove/boxes", "/stonecove/routers"

    def __init__(self, servers: tuple[tuple[str, int], ...], number: int, recursive: bool) -> None:
        """Set up the session and its watches; nothing runs yet."""
        self.ensemble = ZooKeeperClient(servers, number, SessionConfig(), lambda: None)
        self.caches, self.routers = CountingSink(), CountingSink()
        record = json.dumps(
            {"name": f"router-{number:04}", "zone": "edge-1", "state": "ready",
             "listen": f"10.0.{number // 250}.{number % 250}:6565", "started": 1_700_000_000_000}
        ).encode()  # fmt: skip
        self.registrar = Registrar(
            self.ROUTERS_PATH, f"router-{number:04}", record, self.ensemble.request,
            lambda: self.ensemble.session.session, lambda data: False, lambda *arguments, **fields: None,
        )  # fmt: skip
        trees = (
            TreeWatch(self.CACHES_PATH, self.ensemble.request, self.caches, recursive),
            TreeWatch(self.ROUTERS_PATH, self.ensemble.request, self.routers, recursive),
        )
        for feed in (trees[0].feed, self.registrar.feed, trees[1].feed):
            self.ensemble.add_listener(feed)

    @property
    def settled(self) -> bool:
        """Return whether both lists are read and the router's own node is registered."""
        return self.caches.complete and self.routers.complete and self.registrar.is_current


class StandinEnsemble:
    """The stand-in ensemble as a process with its control port."""

    def __init__(self, servers: int) -> None:
        """Start the process and connect to its control port."""
        command = [sys.executable, "-m", "stonecove", "standin", "zookeeper", "--servers", str(servers)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        lines = [self.process.stdout.readline().split()[-1] for _ in range(servers + 1)]
        addresses = [(host, int(port)) for host, _, port in (line.rpartition(":") for line in lines)]
        self.servers, control = tuple(addresses[:-1]), addresses[-1]
        self._stream = socket.create_connection(control).makefile("rw")

    def do(self, command: str) -> None:
        """Run a control command; raises RuntimeError if it fails."""
        self._stream.write(command + "\n")
        self._stream.flush()
        answer = self._stream.readline().strip()
        if answer != "ok":
            raise RuntimeError(f"{command}: {answer}")

    def close(self) -> None:
        """Stop the process."""
        self._stream.close()
        self.process.terminate()
        self.process.wait(10)


class Traffic(NamedTuple):
    """Bytes including headers, and segments, of connections in both directions."""

    bytes: int
    segments: int

    def since(self, before: Traffic) -> Traffic:
        """Return the traffic since `before`."""
        return Traffic(self.bytes - before.bytes, self.segments - before.segments)


def traffic_by_port(ports: set[int]) -> dict[int, Traffic]:
    """Return the traffic of each open connection of this process to `ports`, by local port."""
    results: dict[int, Traffic] = {}
    for name in os.listdir("/proc/self/fd"):
        try:
            if not os.readlink(f"/proc/self/fd/{name}").startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(name))) as sock:
                if sock.family != socket.AF_INET or sock.getpeername()[1] not in ports:
                    continue
                item_traffic = Segments.of(sock)
                results[sock.getsockname()[1]] = Traffic(
                    item_traffic.total_bytes, item_traffic.segments_sent + item_traffic.segments_received
                )
        except OSError:
            continue
    return results


def traffic_since(before: dict[int, Traffic], ports: set[int]) -> Traffic:
    """Return the traffic since `before` of the connections that are still open."""
    now = traffic_by_port(ports)
    differences = [now[port].since(item_traffic) for port, item_traffic in before.items() if port in now]
    return Traffic(
        sum(item_traffic.bytes for item_traffic in differences),
        sum(item_traffic.segments for item_traffic in differences),
    )


def coordination(short: bool) -> Figures:
    """Measure sessions of several fleet sizes with plain and recursive watches."""
    figures: Figures = {}
    sizes, caches = ((5, 10), 10) if short else ((20, 50, 100), 50)
    for recursive in (False, True):
        results = [trio.run(_sessions, size, caches, recursive, short) for size in sizes]
        watch_kind = "recursive" if recursive else "plain"
        print(f"coordination, {watch_kind} watches, {caches} caches, sessions: {', '.join(map(str, sizes))}")
        for name in results[0]:
            values = [item_traffic[name] for item_traffic in results]
            line = line_fit(sizes, values)
            shown = ", ".join(f"{value:.4g}" for value in values)
            print(f"  {name}: {shown}; {line.base:.4g} + {line.slope:.4g} N; {line.at(ROUTERS):.4g} at 730")
            figures |= {f"coordination_{watch_kind}_{name}_{sizes[-1]}": values[-1],
                        f"coordination_{watch_kind}_{name}_slope": line.slope,
                        f"coordination_{watch_kind}_{name}_730": line.at(ROUTERS)}  # fmt: skip
    return figures


async def _wait_until(condition: Callable[[], bool], timeout_s: float = 60.0) -> None:
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.05)


async def _sessions(count: int, caches: int, recursive: bool, short: bool) -> Figures:
    stand_in = await trio.to_thread.run_sync(StandinEnsemble, 3)
    set_log_sink(lambda event, fields: None)
    try:
        for path in ("/stonecove", RouterSession.CACHES_PATH, RouterSession.ROUTERS_PATH):
            stand_in.do(f"create {path}")
        for index in range(caches):
            stand_in.do(f"create {RouterSession.CACHES_PATH}/b{index:04} {_cache_record(index, 20.0)}")
        async with trio.open_nursery() as nursery:
            figures = await _fleet_of_sessions(stand_in, nursery, count, caches, recursive, short)
            nursery.cancel_scope.cancel()
        return figures
    finally:
        set_log_sink(None)
        stand_in.close()


def _cache_record(index: int, weight: float) -> str:
    record = {"id": f"s-{index:08x}", "address": f"127.2.0.{index + 1}:7", "zone": "edge-1",
              "kind": "small-box", "cell": 0, "weight": weight, "started": 0, "state": "up"}  # fmt: skip
    return json.dumps(record)


async def _fleet_of_sessions(
    stand_in: StandinEnsemble, nursery: trio.Nursery, count: int, caches: int, recursive: bool, short: bool
) -> Figures:
    ports = {port for _, port in stand_in.servers}
    router_sessions = [RouterSession(stand_in.servers, number, recursive) for number in range(count)]
    for router_session in router_sessions:
        nursery.start_soon(router_session.ensemble.run)
    await _wait_until(
        lambda: all(
            router_session.settled and router_session.routers.puts >= count
            for router_session in router_sessions
        )
    )
    await trio.sleep(0.5)
    start_bytes = sum(item_traffic.bytes for item_traffic in traffic_by_port(ports).values())

    duration_s = 4.0 if short else 12.0
    before = traffic_by_port(ports)
    await trio.sleep(duration_s)
    steady = traffic_since(before, ports)

    changes, before = 5 if short else 20, traffic_by_port(ports)
    puts = [router_session.caches.puts for router_session in router_sessions]
    for number in range(changes):
        record = _cache_record(number % caches, 30.0 + number)
        await trio.to_thread.run_sync(
            stand_in.do, f"set {RouterSession.CACHES_PATH}/b{number % caches:04} {record}"
        )
        await _wait_until(
            lambda changes_done=number + 1: all(  # type: ignore[misc]
                router_session.caches.puts >= puts_before + changes_done
                for router_session, puts_before in zip(router_sessions, puts, strict=True)
            )
        )
    await trio.sleep(0.1)
    changed = traffic_since(before, ports)

    restarts = 2 if short else 4
    await trio.sleep(0.5)
    restart_traffic: list[Traffic] = []  # by all other routers
    for number, router_session in enumerate(router_sessions[:restarts]):
        before_restart = traffic_by_port(ports)
        router_session.ensemble.close()
        await trio.sleep(0.5)
        restarted = RouterSession(stand_in.servers, number, recursive)
        nursery.start_soon(restarted.ensemble.run)
        await _wait_until(lambda restarted_session=restarted: restarted_session.settled)  # type: ignore[misc]
        await trio.sleep(0.5)
        restart_traffic.append(traffic_since(before_restart, ports))
    return {
        "start_bytes_each": start_bytes / count,
        "calm_bytes_s": steady.bytes / duration_s / count,
        "calm_segments_s": steady.segments / duration_s / count,
        "change_bytes_each": changed.bytes / changes / count,
        "change_segments_each": changed.segments / changes / count,
        "restart_bytes_each_other": sum(item_traffic.bytes for item_traffic in restart_traffic)
        / restarts
        / (count - 1),
    }

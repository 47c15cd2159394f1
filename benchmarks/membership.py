"""Membership from ephemeral nodes: how soon a change is heeded, what it costs, and what a storm looks like.

    python -m benchmarks.membership [--short]

Real router, stand-in caches and stand-in ensemble, on loopback. Times are taken from the system's clock,
which all processes share. The last line is `key=value ...`.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import trio
from hdrh.histogram import HdrHistogram

from stonecove.commands.demo import free_port, wait_ready
from stonecove.discovery import Member
from stonecove.discovery.merge import EndpointMerger, EndpointSource, RecordedClaim, merge_all_claims
from stonecove.discovery.records import TopologyNames, parse_member
from stonecove.discovery.roster import Claim
from stonecove.protocols.zookeeper.session import SessionConfig
from stonecove.routing.endpoints import NodeState
from stonecove.runtime.log import set_log_sink
from stonecove.standins.depot import Depot
from stonecove.standins.webserver import FastCgiClient, settings
from stonecove.transport.zookeeper import ZooKeeperClient

BOXES, ROUTERS = "/stonecove/boxes", "/stonecove/routers"
PACE = 400.0  # requests a second
WORKERS = 16


def record(ident: int, address: str, zone: str = "edge-1", **changes: Any) -> str:
    """The record of a box."""
    return json.dumps(
        {
            "id": f"s-{ident:08x}",
            "address": address,
            "zone": zone,
            "kind": "small-box",
            "cell": 0,
            "weight": 20.0,
            "started": 0,
            "state": "up",
            **changes,
        }
    )


class Keeper:
    """The stand-in ensemble, by its control port."""

    def __init__(self, servers: int = 1) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stonecove", "standin", "zookeeper", "--servers", str(servers)],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.servers = [self.process.stdout.readline().split()[-1] for _ in range(servers)]
        host, _, port = self.process.stdout.readline().split()[-1].rpartition(":")
        self._sock = socket.create_connection((host, int(port)))
        self._stream = self._sock.makefile("r")

    def do(self, *commands: str) -> list[str]:
        """Commands, written in one go; the lines of all answers but `ok`."""
        self._sock.sendall("".join(f"{command}\n" for command in commands).encode())
        lines: list[str] = []
        left = len(commands)
        while left:
            line = self._stream.readline().strip()
            if line.startswith("error") or not line:
                raise RuntimeError(f"{commands[0]}: {line}")
            if line == "ok":
                left -= 1
            else:
                lines.append(line)
        return lines

    def trace(self) -> list[dict[str, Any]]:
        """All that happened."""
        return [json.loads(line) for line in self.do("trace")]

    def close(self) -> None:
        """Ends it."""
        self.process.send_signal(signal.SIGTERM)
        self.process.wait()


class Router:
    """The real program with an operator's file."""

    def __init__(self, depot: Depot, keeper: Keeper, folder: Path, trace: int = 200_000) -> None:
        self.port, self.socket = free_port(), folder / "members.sock"
        servers = ", ".join(f'"{server}"' for server in keeper.servers)
        operator = folder / "operator.cue"
        operator.write_text(
            f'sources: zookeeper: {{servers: [{servers}], path: "{BOXES}"}}\n'
            f'members: {{socket: "{self.socket}", trace: {trace}}}\n'
        )
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "bench",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "7",
                    "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 1024},
                    "changelog": f"127.0.0.1:{depot.log_port}",
                    "known": depot.known(),
                    "settings": settings(),
                }
            )
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stonecove"],
            stderr=subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(config), "STONECOVE_OPERATOR": str(operator)},
        )
        wait_ready(self.port, self.process)

    def ask(self, question: str) -> dict[str, Any]:
        """A question of `stonecove members`."""
        with socket.socket(socket.AF_UNIX) as sock:
            sock.connect(str(self.socket))
            sock.sendall(question.encode() + b"\n")
            found: dict[str, Any] = json.loads(b"".join(iter(lambda: sock.recv(1 << 20), b"")))
            return found

    def resident(self) -> float:
        """MB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def close(self) -> None:
        """Ends it."""
        self.process.kill()
        self.process.wait()


def _worker(port: int, seed: int, seconds: float, out: Any) -> None:
    """Asks at its share of the pace; puts (milliseconds, status) of each request."""
    chooser, asker = random.Random(seed), FastCgiClient(port)
    found, gap = [], WORKERS / PACE
    start = time.monotonic() + seed * gap / WORKERS
    for number in range(int(seconds / gap)):
        time.sleep(max(0.0, start + number * gap - time.monotonic()))
        began = time.monotonic()
        try:
            status = asker.request_item(seed << 32 | number, chooser.randrange(1, 3000))[0][:3]
        except (OSError, EOFError):
            found.append((0.0, "lost"))
            break
        found.append(((time.monotonic() - began) * 1000.0, status))
    out.put(found)


def _load(port: int, seconds: float, out: Any) -> None:
    """Workers in a process of their own, so that measuring does not slow what is measured."""
    import queue
    import threading

    parts: queue.Queue[list[tuple[float, str]]] = queue.Queue()
    threads = [threading.Thread(target=_worker, args=(port, seed, seconds, parts)) for seed in range(WORKERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    out.put([one for _ in threads for one in parts.get()])


class Load:
    """Requests at the pace, from another process."""

    def __init__(self, port: int, seconds: float) -> None:
        context = multiprocessing.get_context("spawn")
        self._out = context.Queue()
        self._process = context.Process(target=_load, args=(port, seconds, self._out))
        self._process.start()

    def done(self) -> tuple[HdrHistogram, Counter[str]]:
        """Latencies in microseconds, and statuses."""
        found = self._out.get()
        self._process.join()
        histogram = HdrHistogram(1, 60_000_000, 3)
        for took, _ in found:
            histogram.record_value(max(1, round(took * 1000)))
        return histogram, Counter(status for _, status in found)


def _figures(histogram: HdrHistogram) -> str:
    return " ".join(
        f"{name} {histogram.get_value_at_percentile(part) / 1000:.2f}"
        for name, part in (("p50", 50), ("p99", 99), ("max", 100))
    )


def heed(changes: int, folder: Path) -> dict[str, float]:
    """From a change at the server to the router's decision, and to the last fresh work, under the load."""
    depot, keeper = Depot(12), Keeper()
    for at in range(1, len(BOXES.split("/"))):
        keeper.do("create " + "/".join(BOXES.split("/")[: at + 1]))
    names = {cache.ident: f"{BOXES}/b{cache.ident}" for cache in depot.caches}
    address = {cache.ident: f"127.0.0.1:{cache.port}" for cache in depot.caches}
    for ident, path in names.items():
        keeper.do(f"create {path} {record(ident, address[ident])}")
    router = Router(depot, keeper, folder)
    gap = 0.02
    try:
        load = Load(router.port, changes * gap + 4)
        time.sleep(2)
        chooser, moments = random.Random(3), []
        draining: list[int] = []
        start = time.monotonic()
        for number in range(changes):
            time.sleep(max(0.0, start + number * gap - time.monotonic()))
            if len(draining) >= 4:
                ident, state = draining.pop(0), "up"
            else:
                ident = chooser.choice([ident for ident in names if ident not in draining])
                draining.append(ident)
                state = "draining"
            keeper.do(f"set {names[ident]} {record(ident, address[ident], state=state)}")
            moments.append((ident, state))
        latencies, statuses = load.done()
        told: dict[int, list[tuple[float, str]]] = {ident: [] for ident in names}
        for line in router.ask("trace")["lines"]:
            if line["what"] == "state":
                told.setdefault(int(line["id"][2:], 16), []).append((line["at"], line["state"]))
        sets = [entry for entry in keeper.trace() if entry["what"] == "set"]
        decided, fresh = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
        worst_wire = 0.0
        for place, (entry, (ident, state)) in enumerate(zip(sets, moments, strict=True)):
            wanted = "ready" if state == "up" else "draining"
            heeded = next(
                (when for when, what in told[ident] if when >= entry["at"] - 1 and what == wanted), None
            )
            if heeded is None:
                raise RuntimeError(f"change {place} was never heeded")
            decided.record_value(max(1, round((heeded - entry["at"]) * 1000)))
            if state == "draining":
                back = next(
                    (
                        sets[later]["at"]
                        for later in range(place + 1, len(moments))
                        if moments[later] == (ident, "up")
                    ),
                    float("inf"),
                )
                late = [
                    one.at - entry["at"]
                    for one in depot.seen
                    if one.cache == ident and entry["at"] < one.at < back
                ]
                fresh.record_value(max(1, round(max(late, default=0.0) * 1000)))
                worst_wire = max(worst_wire, max(late, default=0.0))
        print(f"a change at the server to the router's decision, {changes} changes: ms {_figures(decided)}")
        print(
            f"a drain at the server to the last fresh work, {fresh.total_count} drains: ms {_figures(fresh)}"
        )
        print(f"requests meanwhile: ms {_figures(latencies)}, {dict(statuses)}")
        return {
            "changes": changes,
            "decided_p99_ms": decided.get_value_at_percentile(99) / 1000,
            "fresh_p50_ms": fresh.get_value_at_percentile(50) / 1000,
            "fresh_p99_ms": fresh.get_value_at_percentile(99) / 1000,
            "fresh_max_ms": worst_wire,
            "lost": statuses["lost"],
            "served_share": statuses["200"] / sum(statuses.values()),
        }
    finally:
        router.close()
        keeper.close()
        depot.close()


def crowd(nodes: int, seconds: float, folder: Path) -> dict[str, float]:
    """A long list: time and memory to take it in, and 1,000 changes a second beside the load."""
    depot, keeper = Depot(12), Keeper()
    for at in range(1, len(BOXES.split("/"))):
        keeper.do("create " + "/".join(BOXES.split("/")[: at + 1]))
    paths = [f"{BOXES}/n{number}" for number in range(nodes)]
    texts = [
        record(0x10000 + number, f"127.2.{number // 250}.{number % 250}:7", "central")
        for number in range(nodes)
    ]
    empty = Router(depot, keeper, folder)
    base = empty.resident()
    empty.close()
    for at in range(0, nodes, 500):
        keeper.do(
            *(
                f"create {path} {text}"
                for path, text in zip(paths[at : at + 500], texts[at : at + 500], strict=True)
            )
        )
    began = time.monotonic()
    router = Router(depot, keeper, folder, trace=4096)
    try:
        while len(router.ask("sources")["sources"]) < 2 or not router.ask("sources")["sources"][1]["has_say"]:
            time.sleep(0.02)
        listed = time.monotonic() - began
        resident = router.resident()
        calm, _ = Load(router.port, seconds).done()
        load = Load(router.port, seconds + 1)
        time.sleep(1)
        sent, start = 0, time.monotonic()
        while time.monotonic() < start + seconds - 1:
            places = [(sent + number) % nodes for number in range(50)]
            keeper.do(
                *(
                    f"set {paths[place]} {texts[place].replace('20.0', f'{20 + sent % 7}.5')}"
                    for place in places
                )
            )
            sent += 50
            time.sleep(max(0.0, start + sent / 1000.0 - time.monotonic()))
        rate = sent / (time.monotonic() - start)
        time.sleep(0.5)
        busy, statuses = load.done()
        claims = [line for line in router.ask("trace")["lines"] if line["what"] == "claim"]
        last = keeper.trace()[-1]["at"]
        behind = max(0.0, claims[-1]["at"] - last) if claims else float("inf")
        print(f"{nodes} nodes: listed after {listed:.2f} s, {resident:.1f} MB ({base:.1f} MB with none)")
        print(f"requests, no changes: ms {_figures(calm)}")
        print(
            f"requests, {rate:.0f} changes a second: ms {_figures(busy)}, {dict(statuses)}; "
            f"the last change was heeded after {behind:.0f} ms"
        )
        return {
            "nodes": nodes,
            "listed_s": listed,
            "nodes_mb": resident - base,
            "changes_per_s": rate,
            "calm_p50_ms": calm.get_value_at_percentile(50) / 1000,
            "busy_p50_ms": busy.get_value_at_percentile(50) / 1000,
            "calm_p99_ms": calm.get_value_at_percentile(99) / 1000,
            "busy_p99_ms": busy.get_value_at_percentile(99) / 1000,
            "crowd_lost": statuses["lost"],
        }
    finally:
        router.close()
        keeper.close()
        depot.close()


def index(nodes: int, changes: int) -> dict[str, float]:
    """The index against a plain dict that is made anew with each change, over the same claims."""
    names = TopologyNames(("central", "edge-1"), ("small-box", "parent", "origin"))
    sources = (EndpointSource("changelog", 0), EndpointSource("zookeeper", 1))
    members: list[Member] = [
        parse_member(record(0x10000 + number, f"127.2.{number // 250}.{number % 250}:7").encode(), names)
        for number in range(nodes)
    ]
    merge = EndpointMerger(sources)
    claims: dict[int, dict[EndpointSource, RecordedClaim]] = {}
    for source in sources:
        merge.set_current(source, True, 0.0)
    number = 0
    for member in members:
        claims[member.node.node_id] = {}
        for source in sources:
            number += 1
            claim = Claim(NodeState.READY, member, "up")
            claims[member.node.node_id][source] = RecordedClaim(claim, number, 0.0)
            merge.apply_claim(source, member.node.node_id, claim, 0.0)
    merge.take_changes()
    say = dict.fromkeys(sources, True)
    chooser = random.Random(1)
    picked = [
        (chooser.choice(members), chooser.choice((NodeState.READY, NodeState.DRAINING)))
        for _ in range(changes)
    ]
    began = time.perf_counter()
    for member, state in picked:
        merge.apply_claim(sources[1], member.node.node_id, Claim(state, member, "x"), 0.0)
        merge.take_changes()
    mine = (time.perf_counter() - began) / changes * 1e6
    few = picked[:5]
    began = time.perf_counter()
    for member, state in few:
        number += 1
        claims[member.node.node_id][sources[1]] = RecordedClaim(Claim(state, member, "x"), number, 0.0)
        merge_all_claims(claims, say)
    plain = (time.perf_counter() - began) / len(few) * 1e6
    print(f"one change among {nodes} nodes: index {mine:.1f} us, plain dict made anew {plain:.0f} us")
    return {"index_us": mine, "plain_us": plain}


def storm(instances: int, silent: float) -> dict[str, float]:
    """All sessions break at once, then all servers fall silent; connects a second at the servers.

    The bound that is stated: with a first wait of 50 ms and jitter 0.5, an instance tries no sooner than 25
    ms after its last try, n servers once each before its waits double: instances x n / 0.025 a second at the
    worst.
    """
    keeper = Keeper(3)
    servers = tuple((server.rpartition(":")[0], int(server.rpartition(":")[2])) for server in keeper.servers)
    took: dict[str, float] = {}

    async def play() -> float:
        figures = SessionConfig(session_timeout_s=1.0)
        ensembles = [ZooKeeperClient(servers, seed, figures, lambda: None) for seed in range(instances)]

        async def all_up(name: str, began: float) -> None:
            while sum(ensemble.session.connected for ensemble in ensembles) < instances:
                await trio.sleep(0.001)
            took[name] = time.time() * 1000 - began

        async with trio.open_nursery() as nursery:
            for ensemble in ensembles:
                nursery.start_soon(ensemble.run)
            began = time.time() * 1000
            await all_up("start", began)
            began = time.time() * 1000
            await trio.to_thread.run_sync(keeper.do, "restart")
            await trio.sleep(0.02)
            await all_up("lost", began)
            await trio.to_thread.run_sync(keeper.do, "partition")
            await trio.sleep(silent)
            healed = time.time() * 1000
            await trio.to_thread.run_sync(keeper.do, "heal")
            await all_up("silent", healed)
            nursery.cancel_scope.cancel()
        return began

    set_log_sink(lambda event, fields: None)
    try:
        began = trio.run(play)
        at = sorted(
            entry["at"] for entry in keeper.trace() if entry["what"] == "connect" and entry["at"] >= began
        )
        worst = max(sum(begin <= other < begin + 1000 for other in at) for begin in at)
        bound = instances * len(servers) / 0.025
        print(
            f"{instances} sessions: all lost at once, back after {took['lost']:.0f} ms; servers silent for "
            f"{silent:.0f} s, back {took['silent']:.0f} ms after; {len(at)} connects, most in a second "
            f"{worst} "
            f"(bound {bound:.0f})"
        )
        return {
            "storm_connects_per_s": worst,
            "storm_back_ms": took["lost"],
            "storm_silent_back_ms": took["silent"],
        }
    finally:
        set_log_sink(None)
        keeper.close()


def main() -> None:
    """Measures all, and prints the figures."""
    short = "--short" in sys.argv[1:]
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        figures |= heed(300 if short else 1000, Path(folder))
    with tempfile.TemporaryDirectory() as folder:
        figures |= crowd(2000 if short else 10_000, 5 if short else 10, Path(folder))
    figures |= index(2000 if short else 10_000, 2000)
    figures |= storm(20, 4 if short else 10)
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

"""Measure membership from ephemeral nodes: delay and cost of a change, and reconnection after lost sessions.

    python -m benchmarks.membership [--short]

Runs a real router, stand-in caches and a stand-in ensemble on loopback. Times come from the system clock,
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

CACHES_PATH, ROUTERS_PATH = "/stonecove/boxes", "/stonecove/routers"
REQUESTS_PER_S = 400.0
WORKERS = 16


def cache_record(cache_id: int, address: str, zone: str = "edge-1", **changes: Any) -> str:
    """Return the record of a cache as JSON."""
    return json.dumps(
        {
            "id": f"s-{cache_id:08x}",
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


class StandinEnsemble:
    """The stand-in ensemble as a process with its control port."""

    def __init__(self, servers: int = 1) -> None:
        """Start the process and connect to its control port."""
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
        """Send control commands in one write; return the answer lines except `ok`."""
        self._sock.sendall("".join(f"{command}\n" for command in commands).encode())
        lines: list[str] = []
        pending = len(commands)
        while pending:
            line = self._stream.readline().strip()
            if line.startswith("error") or not line:
                raise RuntimeError(f"{commands[0]}: {line}")
            if line == "ok":
                pending -= 1
            else:
                lines.append(line)
        return lines

    def trace(self) -> list[dict[str, Any]]:
        """Return the trace of all events."""
        return [json.loads(line) for line in self.do("trace")]

    def close(self) -> None:
        """Stop the process."""
        self.process.send_signal(signal.SIGTERM)
        self.process.wait()


class Router:
    """The real program with an operator configuration."""

    def __init__(self, depot: Depot, stand_in: StandinEnsemble, folder: Path, trace: int = 200_000) -> None:
        """Start the router and wait until it is ready."""
        self.port, self.socket = free_port(), folder / "members.sock"
        servers = ", ".join(f'"{server}"' for server in stand_in.servers)
        operator = folder / "operator.cue"
        operator.write_text(
            f'sources: zookeeper: {{servers: [{servers}], path: "{CACHES_PATH}"}}\n'
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
                    "known": depot.endpoint_list(),
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

    def query(self, command_line: str) -> dict[str, Any]:
        """Send a query of `stonecove members` and return its answer."""
        with socket.socket(socket.AF_UNIX) as sock:
            sock.connect(str(self.socket))
            sock.sendall(command_line.encode() + b"\n")
            answer: dict[str, Any] = json.loads(b"".join(iter(lambda: sock.recv(1 << 20), b"")))
            return answer

    def resident_mb(self) -> float:
        """Return the resident memory in MB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def close(self) -> None:
        """Stop the process."""
        self.process.kill()
        self.process.wait()


def _worker(port: int, seed: int, seconds: float, results: Any) -> None:
    """Send requests at this worker's share of the rate; put (milliseconds, status) of each."""
    generator, client = random.Random(seed), FastCgiClient(port)
    samples, gap_s = [], WORKERS / REQUESTS_PER_S
    start = time.monotonic() + seed * gap_s / WORKERS
    for number in range(int(seconds / gap_s)):
        time.sleep(max(0.0, start + number * gap_s - time.monotonic()))
        started_at = time.monotonic()
        try:
            status = client.request_item(seed << 32 | number, generator.randrange(1, 3000))[0][:3]
        except (OSError, EOFError):
            samples.append((0.0, "lost"))
            break
        samples.append(((time.monotonic() - started_at) * 1000.0, status))
    results.put(samples)


def _load(port: int, seconds: float, results: Any) -> None:
    """Run the workers in a separate process, so that the load does not slow the measurement."""
    import queue
    import threading

    worker_results: queue.Queue[list[tuple[float, str]]] = queue.Queue()
    threads = [
        threading.Thread(target=_worker, args=(port, seed, seconds, worker_results))
        for seed in range(WORKERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results.put([sample for _ in threads for sample in worker_results.get()])


class Load:
    """Requests at the configured rate from another process."""

    def __init__(self, port: int, seconds: float) -> None:
        """Start the load for `seconds`."""
        context = multiprocessing.get_context("spawn")
        self._out = context.Queue()
        self._process = context.Process(target=_load, args=(port, seconds, self._out))
        self._process.start()

    def finish(self) -> tuple[HdrHistogram, Counter[str]]:
        """Wait for the end; return latencies in microseconds, and statuses."""
        samples = self._out.get()
        self._process.join()
        histogram = HdrHistogram(1, 60_000_000, 3)
        for latency_ms, _ in samples:
            histogram.record_value(max(1, round(latency_ms * 1000)))
        return histogram, Counter(status for _, status in samples)


def _format_latency(histogram: HdrHistogram) -> str:
    return " ".join(
        f"{name} {histogram.get_value_at_percentile(percentile) / 1000:.2f}"
        for name, percentile in (("p50", 50), ("p99", 99), ("max", 100))
    )


def measure_decision_delay(changes: int, folder: Path) -> dict[str, float]:
    """Measure the delay from a change at the server to the router's decision and the last new request."""
    depot, stand_in = Depot(12), StandinEnsemble()
    for depth in range(1, len(CACHES_PATH.split("/"))):
        stand_in.do("create " + "/".join(CACHES_PATH.split("/")[: depth + 1]))
    names = {cache.ident: f"{CACHES_PATH}/b{cache.ident}" for cache in depot.caches}
    address = {cache.ident: f"127.0.0.1:{cache.port}" for cache in depot.caches}
    for cache_id, path in names.items():
        stand_in.do(f"create {path} {cache_record(cache_id, address[cache_id])}")
    router = Router(depot, stand_in, folder)
    gap_s = 0.02
    try:
        load = Load(router.port, changes * gap_s + 4)
        time.sleep(2)
        generator, sent_changes = random.Random(3), []
        draining: list[int] = []
        start = time.monotonic()
        for number in range(changes):
            time.sleep(max(0.0, start + number * gap_s - time.monotonic()))
            if len(draining) >= 4:
                cache_id, state = draining.pop(0), "up"
            else:
                cache_id = generator.choice([cache_id for cache_id in names if cache_id not in draining])
                draining.append(cache_id)
                state = "draining"
            stand_in.do(f"set {names[cache_id]} {cache_record(cache_id, address[cache_id], state=state)}")
            sent_changes.append((cache_id, state))
        latencies, statuses = load.finish()
        decisions: dict[int, list[tuple[float, str]]] = {cache_id: [] for cache_id in names}
        for line in router.query("trace")["lines"]:
            if line["what"] == "state":
                decisions.setdefault(int(line["id"][2:], 16), []).append((line["at"], line["state"]))
        sets = [entry for entry in stand_in.trace() if entry["what"] == "set"]
        decision_delay, new_request_delay = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
        worst_delay_ms = 0.0
        for position, (entry, (cache_id, state)) in enumerate(zip(sets, sent_changes, strict=True)):
            expected_state = "ready" if state == "up" else "draining"
            decided_at_ms = next(
                (
                    when
                    for when, what in decisions[cache_id]
                    if when >= entry["at"] - 1 and what == expected_state
                ),
                None,
            )
            if decided_at_ms is None:
                raise RuntimeError(f"change {position} never reached the router's decisions")
            decision_delay.record_value(max(1, round((decided_at_ms - entry["at"]) * 1000)))
            if state == "draining":
                up_again_at_ms = next(
                    (
                        sets[later]["at"]
                        for later in range(position + 1, len(sent_changes))
                        if sent_changes[later] == (cache_id, "up")
                    ),
                    float("inf"),
                )
                late_requests_ms = [
                    request.at - entry["at"]
                    for request in depot.received_requests
                    if request.cache == cache_id and entry["at"] < request.at < up_again_at_ms
                ]
                new_request_delay.record_value(max(1, round(max(late_requests_ms, default=0.0) * 1000)))
                worst_delay_ms = max(worst_delay_ms, max(late_requests_ms, default=0.0))
        print(
            f"a change at the server to the router's decision, {changes} changes: ms "
            f"{_format_latency(decision_delay)}"
        )
        print(
            f"a drain at the server to the last new request, {new_request_delay.total_count} drains: ms "
            f"{_format_latency(new_request_delay)}"
        )
        print(f"requests during the changes: ms {_format_latency(latencies)}, {dict(statuses)}")
        return {
            "changes": changes,
            "decided_p99_ms": decision_delay.get_value_at_percentile(99) / 1000,
            "fresh_p50_ms": new_request_delay.get_value_at_percentile(50) / 1000,
            "fresh_p99_ms": new_request_delay.get_value_at_percentile(99) / 1000,
            "fresh_max_ms": worst_delay_ms,
            "lost": statuses["lost"],
            "served_share": statuses["200"] / sum(statuses.values()),
        }
    finally:
        router.close()
        stand_in.close()
        depot.close()


def measure_large_list(nodes: int, seconds: float, folder: Path) -> dict[str, float]:
    """Measure the time and memory to load a large list, and 1,000 changes a second under load."""
    depot, stand_in = Depot(12), StandinEnsemble()
    for depth in range(1, len(CACHES_PATH.split("/"))):
        stand_in.do("create " + "/".join(CACHES_PATH.split("/")[: depth + 1]))
    paths = [f"{CACHES_PATH}/n{number}" for number in range(nodes)]
    records = [
        cache_record(0x10000 + number, f"127.2.{number // 250}.{number % 250}:7", "central")
        for number in range(nodes)
    ]
    empty = Router(depot, stand_in, folder)
    empty_mb = empty.resident_mb()
    empty.close()
    for first in range(0, nodes, 500):
        stand_in.do(
            *(
                f"create {path} {text}"
                for path, text in zip(paths[first : first + 500], records[first : first + 500], strict=True)
            )
        )
    started_at = time.monotonic()
    router = Router(depot, stand_in, folder, trace=4096)
    try:
        while (
            len(router.query("sources")["sources"]) < 2
            or not router.query("sources")["sources"][1]["has_say"]
        ):
            time.sleep(0.02)
        listed_s = time.monotonic() - started_at
        resident_mb = router.resident_mb()
        without_changes, _ = Load(router.port, seconds).finish()
        load = Load(router.port, seconds + 1)
        time.sleep(1)
        sent, start = 0, time.monotonic()
        while time.monotonic() < start + seconds - 1:
            positions = [(sent + number) % nodes for number in range(50)]
            stand_in.do(
                *(
                    f"set {paths[position]} {records[position].replace('20.0', f'{20 + sent % 7}.5')}"
                    for position in positions
                )
            )
            sent += 50
            time.sleep(max(0.0, start + sent / 1000.0 - time.monotonic()))
        rate = sent / (time.monotonic() - start)
        time.sleep(0.5)
        with_changes, statuses = load.finish()
        claims = [line for line in router.query("trace")["lines"] if line["what"] == "claim"]
        last_change_ms = stand_in.trace()[-1]["at"]
        lag_ms = max(0.0, claims[-1]["at"] - last_change_ms) if claims else float("inf")
        print(
            f"{nodes} nodes: listed after {listed_s:.2f} s, {resident_mb:.1f} MB ({empty_mb:.1f} MB "
            f"without nodes)"
        )
        print(f"requests, no changes: ms {_format_latency(without_changes)}")
        print(
            f"requests, {rate:.0f} changes per second: ms {_format_latency(with_changes)}, {dict(statuses)}; "
            f"the last change was applied after {lag_ms:.0f} ms"
        )
        return {
            "nodes": nodes,
            "listed_s": listed_s,
            "nodes_mb": resident_mb - empty_mb,
            "changes_per_s": rate,
            "calm_p50_ms": without_changes.get_value_at_percentile(50) / 1000,
            "busy_p50_ms": with_changes.get_value_at_percentile(50) / 1000,
            "calm_p99_ms": without_changes.get_value_at_percentile(99) / 1000,
            "busy_p99_ms": with_changes.get_value_at_percentile(99) / 1000,
            "crowd_lost": statuses["lost"],
        }
    finally:
        router.close()
        stand_in.close()
        depot.close()


def measure_index(nodes: int, changes: int) -> dict[str, float]:
    """Compare the index with merging all claims anew for each change, over the same claims."""
    names = TopologyNames(("central", "edge-1"), ("small-box", "parent", "origin"))
    sources = (EndpointSource("changelog", 0), EndpointSource("zookeeper", 1))
    members: list[Member] = [
        parse_member(
            cache_record(0x10000 + number, f"127.2.{number // 250}.{number % 250}:7").encode(), names
        )
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
    is_current = dict.fromkeys(sources, True)
    generator = random.Random(1)
    picked_changes = [
        (generator.choice(members), generator.choice((NodeState.READY, NodeState.DRAINING)))
        for _ in range(changes)
    ]
    started_at = time.perf_counter()
    for member, state in picked_changes:
        merge.apply_claim(sources[1], member.node.node_id, Claim(state, member, "x"), 0.0)
        merge.take_changes()
    index_us = (time.perf_counter() - started_at) / changes * 1e6
    sample = picked_changes[:5]
    started_at = time.perf_counter()
    for member, state in sample:
        number += 1
        claims[member.node.node_id][sources[1]] = RecordedClaim(Claim(state, member, "x"), number, 0.0)
        merge_all_claims(claims, is_current)
    full_merge_us = (time.perf_counter() - started_at) / len(sample) * 1e6
    print(f"one change among {nodes} nodes: index {index_us:.1f} us, full merge {full_merge_us:.0f} us")
    return {"index_us": index_us, "plain_us": full_merge_us}


def measure_reconnection(instances: int, silent_s: float) -> dict[str, float]:
    """Break all sessions at once, then partition all servers; count the connects per second.

    The upper bound: with an initial backoff of 50 ms and jitter 0.5, an instance waits at least 25 ms between
    attempts and tries each of n servers once before its backoff doubles: instances x n / 0.025 per second.
    """
    stand_in = StandinEnsemble(3)
    servers = tuple(
        (server.rpartition(":")[0], int(server.rpartition(":")[2])) for server in stand_in.servers
    )
    recovery_ms: dict[str, float] = {}

    async def play() -> float:
        figures = SessionConfig(session_timeout_s=1.0)
        ensembles = [ZooKeeperClient(servers, seed, figures, lambda: None) for seed in range(instances)]

        async def all_up(name: str, started_at: float) -> None:
            while sum(ensemble.session.connected for ensemble in ensembles) < instances:
                await trio.sleep(0.001)
            recovery_ms[name] = time.time() * 1000 - started_at

        async with trio.open_nursery() as nursery:
            for ensemble in ensembles:
                nursery.start_soon(ensemble.run)
            started_at = time.time() * 1000
            await all_up("start", started_at)
            started_at = time.time() * 1000
            await trio.to_thread.run_sync(stand_in.do, "restart")
            await trio.sleep(0.02)
            await all_up("lost", started_at)
            await trio.to_thread.run_sync(stand_in.do, "partition")
            await trio.sleep(silent_s)
            healed_at_ms = time.time() * 1000
            await trio.to_thread.run_sync(stand_in.do, "heal")
            await all_up("silent", healed_at_ms)
            nursery.cancel_scope.cancel()
        return started_at

    set_log_sink(lambda event, fields: None)
    try:
        started_at = trio.run(play)
        connect_times_ms = sorted(
            entry["at"]
            for entry in stand_in.trace()
            if entry["what"] == "connect" and entry["at"] >= started_at
        )
        worst = max(
            sum(begin <= other < begin + 1000 for other in connect_times_ms) for begin in connect_times_ms
        )
        bound = instances * len(servers) / 0.025
        print(
            f"{instances} sessions: all lost at once, reconnected after {recovery_ms['lost']:.0f} ms; "
            f"servers silent for "
            f"{silent_s:.0f} s, reconnected {recovery_ms['silent']:.0f} ms after; "
            f"{len(connect_times_ms)} connects, max per second "
            f"{worst} "
            f"(bound {bound:.0f})"
        )
        return {
            "storm_connects_per_s": worst,
            "storm_back_ms": recovery_ms["lost"],
            "storm_silent_back_ms": recovery_ms["silent"],
        }
    finally:
        set_log_sink(None)
        stand_in.close()


def main() -> None:
    """Run all measurements and print the figures."""
    short = "--short" in sys.argv[1:]
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        figures |= measure_decision_delay(300 if short else 1000, Path(folder))
    with tempfile.TemporaryDirectory() as folder:
        figures |= measure_large_list(2000 if short else 10_000, 5 if short else 10, Path(folder))
    figures |= measure_index(2000 if short else 10_000, 2000)
    figures |= measure_reconnection(20, 4 if short else 10)
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

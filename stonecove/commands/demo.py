"""`stonecove demo`: run the router against a simulated depot and print what happens."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from stonecove.standins.depot import Depot
from stonecove.standins.webserver import FastCgiClient, settings

TIMEOUT_S = 20.0


def free_port() -> int:
    """Return a TCP port of the loopback address that is currently unused."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def _log(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')}  {text}", flush=True)


def wait_ready(port: int, router: subprocess.Popen[bytes]) -> None:
    """Wait until the router reports that it is live; raise RuntimeError if it exits or times out."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline and router.poll() is None:
        try:
            client = FastCgiClient(port)
            status, _ = client.request("/status/live")
            client.close()
            if status.startswith("200"):
                return
        except (OSError, EOFError):
            pass
        time.sleep(0.02)
    raise RuntimeError("the router did not become ready")


def router_config(name: str, depot: Depot, port: int) -> dict[str, Any]:
    """Return the configuration of a router on a loopback port that uses the stand-ins of `depot`."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "changelog": f"127.0.0.1:{depot.log_port}",
        "known": depot.endpoint_list(),
        "settings": settings(),
    }


def run_demo(request_count: int) -> int:
    """Run the demonstration.

    Return 0 if every request got exactly one answer and no check failed, otherwise 1.
    """
    depot = Depot(caches=3)
    port = free_port()
    config = router_config("demo", depot, port)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(config))
        log_path = Path(folder, "router.log")
        with open(log_path, "wb") as log:
            router = subprocess.Popen(
                [sys.executable, "-m", "stonecove"],
                stderr=log,
                env={**os.environ, "RELAY_CONFIG": str(path)},
            )
        try:
            wait_ready(port, router)
            _log(f"the router is ready, with {len(depot.caches)} caches, a parent and an origin")
            return _run_traffic(port, depot, request_count, router)
        finally:
            if router.poll() is None:
                router.kill()
            router.wait()
            depot.close()


def _run_traffic(port: int, depot: Depot, request_count: int, router: subprocess.Popen[bytes]) -> int:
    generator = random.Random(7)
    outcomes: Counter[str] = Counter()
    lock = threading.Lock()
    problems: list[str] = []

    def send_requests(numbers: range) -> None:
        client = FastCgiClient(port)
        for number in numbers:
            request_class = "pick-confirm" if number % 7 == 0 else "item-image"
            with lock:
                item = generator.randrange(1, 24)
            try:
                status, body = client.request_item(number, item, request_class)
            except (OSError, EOFError) as error:
                problems.append(f"request {number} got no answer: {error}")
                return
            with lock:
                outcomes[{"200": "served", "503": "refused"}.get(status[:3], "failed")] += 1
                if (
                    status.startswith("200")
                    and request_class == "item-image"
                    and not body.startswith(f"{item:x}:".encode())
                ):
                    problems.append(f"request {number} got another item's answer")
        client.close()

    def run_phase(phase: int, title: str) -> None:
        before = sum(outcomes.values())
        numbers = range(phase * request_count // 4, (phase + 1) * request_count // 4)
        threads = [threading.Thread(target=send_requests, args=(numbers[offset::4],)) for offset in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        _log(f"{title}: {sum(outcomes.values()) - before} answers, so far {dict(outcomes)}")

    run_phase(0, "normal operation")
    drained_cache = depot.caches[0]
    depot.announce_state(drained_cache, "draining")
    time.sleep(0.3)
    before = drained_cache.fetches
    run_phase(1, f"s-{drained_cache.ident:08x} drains")
    _log(
        f"s-{drained_cache.ident:08x} got {drained_cache.fetches - before} fetches "
        "more than 250 ms after the drain was announced"
    )
    if drained_cache.fetches != before:
        problems.append("a drained cache received new requests")
    purged_at = depot.announce_purge(17)
    time.sleep(0.5)
    run_phase(2, "group 17 is purged")
    _log(f"{depot.count_stale_answers(purged_at)} answers after the purge were older than it")
    if depot.count_stale_answers(purged_at):
        problems.append("an answer was older than a purge")
    depot.caches[1].stop()
    run_phase(3, f"s-{depot.caches[1].ident:08x} has died")
    router.send_signal(signal.SIGTERM)
    exit_code = router.wait(TIMEOUT_S)
    _log(f"SIGTERM: the router exited with {exit_code}")
    if exit_code != 0:
        problems.append(f"the router exited with {exit_code}")
    if sum(outcomes.values()) != request_count:
        problems.append(f"{sum(outcomes.values())} answers to {request_count} requests")
    if depot.count_repeated_writes():
        problems.append(f"{depot.count_repeated_writes()} pick-confirms ran twice")
    _log(
        f"{request_count} requests, {sum(outcomes.values())} final answers, "
        f"{depot.count_repeated_writes()} pick-confirms run twice"
    )
    for problem in problems:
        _log(f"PROBLEM: {problem}")
    return 1 if problems else 0

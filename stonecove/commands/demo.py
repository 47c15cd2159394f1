"""`stonecove demo`: the router in a made-up depot, told as it happens."""

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
from stonecove.standins.webserver import Asker, settings

PATIENCE = 20.0


def free_port() -> int:
    """A port of the loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def _say(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')}  {text}", flush=True)


def wait_ready(port: int, router: subprocess.Popen[bytes]) -> None:
    """Waits until the router says that it is ready; raises RuntimeError if it does not."""
    limit = time.monotonic() + PATIENCE
    while time.monotonic() < limit and router.poll() is None:
        try:
            asker = Asker(port)
            status, _ = asker.ask("/status/live")
            asker.close()
            if status.startswith("200"):
                return
        except (OSError, EOFError):
            pass
        time.sleep(0.02)
    raise RuntimeError("the router did not become ready")


def router_config(name: str, depot: Depot, port: int) -> dict[str, Any]:
    """The configuration of one router on that loopback port, before the stand-ins of `depot`."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "changelog": f"127.0.0.1:{depot.log_port}",
        "known": depot.known(),
        "settings": settings(),
    }


def play(count: int) -> int:
    """Runs the whole demonstration; 0 if each request got its one answer and all rules shown held."""
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
            _say(f"the router is ready, with {len(depot.caches)} caches, a parent and an origin")
            return _traffic(port, depot, count, router)
        finally:
            if router.poll() is None:
                router.kill()
            router.wait()
            depot.close()


def _traffic(port: int, depot: Depot, count: int, router: subprocess.Popen[bytes]) -> int:
    chooser = random.Random(7)
    verdicts: Counter[str] = Counter()
    lock = threading.Lock()
    problems: list[str] = []

    def some(numbers: range) -> None:
        asker = Asker(port)
        for number in numbers:
            cls = "pick-confirm" if number % 7 == 0 else "item-image"
            with lock:
                item = chooser.randrange(1, 24)
            try:
                status, body = asker.ask_item(number, item, cls)
            except (OSError, EOFError) as error:
                problems.append(f"request {number} got no answer: {error}")
                return
            with lock:
                verdicts[{"200": "served", "503": "refused"}.get(status[:3], "failed")] += 1
                if (
                    status.startswith("200")
                    and cls == "item-image"
                    and not body.startswith(f"{item:x}:".encode())
                ):
                    problems.append(f"request {number} got what was not its own")
        asker.close()

    def stretch(part: int, title: str) -> None:
        before = sum(verdicts.values())
        quarter = range(part * count // 4, (part + 1) * count // 4)
        workers = [threading.Thread(target=some, args=(quarter[place::4],)) for place in range(4)]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        _say(f"{title}: {sum(verdicts.values()) - before} answers, so far {dict(verdicts)}")

    stretch(0, "an ordinary stretch")
    drained = depot.caches[0]
    depot.tell_state(drained, "draining")
    time.sleep(0.3)
    before = drained.fetches
    stretch(1, f"s-{drained.ident:08x} drains")
    _say(
        f"s-{drained.ident:08x} got {drained.fetches - before} fetches "
        "more than 250 ms after the drain was told"
    )
    if drained.fetches != before:
        problems.append("a drained cache got fresh work")
    moment = depot.tell_purge(17)
    time.sleep(0.5)
    stretch(2, "group 17 is purged")
    _say(f"{depot.too_old(moment)} answers since were older than the purge")
    if depot.too_old(moment):
        problems.append("an answer was older than a purge")
    depot.caches[1].die()
    stretch(3, f"s-{depot.caches[1].ident:08x} has died")
    router.send_signal(signal.SIGTERM)
    code = router.wait(PATIENCE)
    _say(f"SIGTERM: the router ended with {code}")
    if code != 0:
        problems.append(f"the router ended with {code}")
    if sum(verdicts.values()) != count:
        problems.append(f"{sum(verdicts.values())} answers to {count} requests")
    if depot.repeated():
        problems.append(f"{depot.repeated()} pick-confirms ran twice")
    _say(
        f"{count} requests, {sum(verdicts.values())} final answers, "
        f"{depot.repeated()} pick-confirms run twice"
    )
    for problem in problems:
        _say(f"PROBLEM: {problem}")
    return 1 if problems else 0

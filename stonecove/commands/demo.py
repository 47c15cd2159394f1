"""`stonecove demo`: the router in a made-up depot, told as it happens."""

from __future__ import annotations

import json
import os
import random
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

from stonecove.standins.depot import Depot
from stonecove.wire import fastcgi

PATIENCE = 20.0
CLASSES = (("item-image", "pure", 3000.0), ("pick-confirm", "side_effect", 3000.0))


def settings() -> dict[str, object]:
    """The settings of a made-up depot, as the platform's configuration gives them."""
    return {
        "areas": ["central", "edge-1"],
        "models": ["small-box", "parent", "origin"],
        "zone": 1,
        "fleet_size": 1,
        "weights": "nominal",
        "discovery": "push",
        "classes": [
            {
                "name": name,
                "importance": 1.0,
                "on_time": 400.0,
                "deadline": deadline,
                "effect": effect,
                "late_worth": 0.2,
                "window": 5000.0,
            }
            for name, effect, deadline in CLASSES
        ],
        "domain": {
            "client_kb_per_s": 4200.0,
            "heed_within": 500.0,
            "instances_by_zone": [0, 1],
            "joins": True,
            "never_kept": [False, True],
            "lifetime_by_class": [0.0, 0.0],
            "purge_settles": 6000.0,
            "shield_kind": 1,
            "store_kind": 2,
            "zone_link_kb_per_s": [0.0, 60000.0],
        },
        "limits": {
            "cancel": True,
            "connect_timeout": 400.0,
            "max_retry_after": 1000.0,
            "most_tries": 8,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "rules": {
            "cold_from": 0.25,
            "drain_grace": 250.0,
            "overload_for": 3000.0,
            "tip_multiple": 4.0,
            "warm_up": 16000.0,
        },
    }


def free_port() -> int:
    """A port of the loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Asker:
    """One FastCGI connection that asks one request after the other."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self._sock = socket.create_connection((host, port), PATIENCE)
        self._stream = self._sock.makefile("rb")

    def closed(self) -> bool:
        """Whether the router has closed the connection while nothing was asked on it."""
        if not select.select([self._sock], [], [], 0)[0]:
            return False
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

    def ask(self, path: str, **fields: str) -> tuple[str, bytes]:
        """The status line and the bytes of the answer; raises EOFError if there is none."""
        table = {"SCRIPT_NAME": path, **{f"HTTP_X_{name}": value for name, value in fields.items()}}
        params = b"".join(
            bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in table.items()
        )
        self._sock.sendall(
            fastcgi.record(fastcgi.BEGIN, 1, struct.pack(">HB5x", fastcgi.RESPONDER, fastcgi.KEEP_CONN))
            + fastcgi.record(fastcgi.PARAMS, 1, params)
            + fastcgi.record(fastcgi.PARAMS, 1)
            + fastcgi.record(fastcgi.STDIN, 1)
        )
        out = b""
        while len(head := self._stream.read(8)) == 8:
            _, kind, _, length, padding, _ = struct.unpack(">BBHHBB", head)
            content = self._stream.read(length + padding)[:length]
            if kind == fastcgi.STDOUT:
                out += content
            elif kind == fastcgi.END:
                head, _, body = out.partition(b"\r\n\r\n")
                return head.decode("latin-1").partition("\r\n")[0].removeprefix("Status: "), body
        raise EOFError("the router closed the connection")

    def ask_item(self, number: int, item: int, cls: str = "item-image", kb: int = 40) -> tuple[str, bytes]:
        """Asks for an object under an id that is made of the number."""
        return self.ask(
            f"/svc/{cls}", TXN=f"{number + 1:016x}", TTL_MS="3000", ROW=f"{item:016x}", BUCKET="17",
            WORKING_SET_KB=str(kb),
        )

    def close(self) -> None:
        """Ends the connection."""
        self._sock.close()


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


def play(count: int) -> int:
    """Runs the whole demonstration; 0 if each request got its one answer and all rules shown held."""
    depot = Depot(caches=3)
    port = free_port()
    config = {
        "name": "demo",
        "listen": f"127.0.0.1:{port}",
        "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "changelog": f"127.0.0.1:{depot.log_port}",
        "known": depot.known(),
        "settings": settings(),
    }
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

"""Tokens: verdicts a second, the front under a mix of good and bad ones, and under a flood of forged ones.

    python -m benchmarks.tokens [--short]

Part one plays the gate alone; part two runs one real router with the HTTP front against stand-in caches. The
last line is `key=value ...`.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time
import tracemalloc
from collections import Counter
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from stonecove.access import formats
from stonecove.access.gate import Gate, Limits
from stonecove.access.grants import Request
from stonecove.access.keys import Key, KeyRing, generate
from stonecove.access.routes import LinearRoutes, Policy, Routes
from stonecove.access.seen import DictReplayCache, ReplayCache
from stonecove.commands.demo import free_port
from stonecove.standins.depot import Depot
from stonecove.standins.webserver import settings

PATH = "/svc/item-image/7f3a9c21e0b4d655/0"
WORKERS = 8


def _ring() -> dict[str, Any]:
    return {
        "keys": [
            generate("rsa", "RSA-SHA1", ["cloudfront"], 0.0),
            generate("mac", "HMAC-SHA256", ["edge-auth"], 0.0),
            generate("hs", "HS256", ["bearer"], 0.0),
            generate("es", "ES256", ["cdni"], 0.0),
        ]
    }


def _asked(form: str, key: Key, number: int, now: float) -> Request:
    """A request with a token of its own."""
    path, until = f"/svc/item-image/{number:016x}/0", int(now) + 300
    query = fields = ""
    if form == "cloudfront":
        policy = formats.canned_policy(f"http://e{path}", until)
        query = "&".join("=".join(pair) for pair in formats.sign_cloudfront(key, policy, True, until))
    elif form == "edge-auth":
        query = f"hdnts={formats.sign_edge_auth(key, until, path=path, data='kid:mac')}"
    elif form == "cdni":
        claims = {"exp": until, "cdniuc": f"regex:http://e{path}"}
        query = f"URISigningPackage={formats.sign_jwt(key, claims)}"
    else:
        fields = f"Bearer {formats.sign_jwt(key, {'exp': until, 'sub': str(number)})}"
    return Request("GET", "http", "e", f"{path}?{query}" if query else path, "10.0.0.1", "edge-1", fields)


def verdicts(count: int) -> dict[str, float]:
    """Verdicts a second of each format, cold and by memory."""
    now, found = time.time(), dict[str, float]()
    ring = KeyRing.read(_ring())
    for form, ident in (("cloudfront", "rsa"), ("edge-auth", "mac"), ("cdni", "es"), ("bearer", "hs")):
        gate = Gate(Routes([Policy("/svc")]), ring, Limits(checks=1e9))
        asked = [_asked(form, ring.keys[ident], number, now) for number in range(count)]
        for name in ("cold", "cached"):
            began = time.perf_counter()
            good = sum(gate.check(one, "x", now, now).admitted for one in asked)
            found[f"{form.replace('-', '_')}_{name}"] = count / (time.perf_counter() - began)
            assert good == count
        print(
            f"{form}: {found[form.replace('-', '_') + '_cold']:.0f} verdicts a second cold, "
            f"{found[form.replace('-', '_') + '_cached']:.0f} by memory"
        )
    return found


def structures(short: bool) -> dict[str, float]:
    """The trie against a scan at 10,000 rules, the wheel of ids against a dict; memory of 1,000,000 ids."""
    chooser, found = random.Random(3), dict[str, float]()
    prefixes = [f"/svc/c{number % 100}/o{number}" for number in range(10_000)]
    policies = [Policy(prefix) for prefix in prefixes]
    paths = [f"{chooser.choice(prefixes)}/{number}" for number in range(200)]
    for name, routes in (("trie", Routes(policies)), ("scan", LinearRoutes(policies))):
        began = time.perf_counter()
        hits = sum(routes.find(path) is not None for path in paths)
        found[f"{name}_us"] = (time.perf_counter() - began) / len(paths) * 1e6
        assert hits == len(paths)
    count = 100_000 if short else 1_000_000
    for name, made in (("wheel", ReplayCache(2 * count)), ("dict", DictReplayCache(2 * count))):
        tracemalloc.start()
        for number in range(count):
            made.check_and_add(f"key {number:032x}", 1000.0 + number % 300, 0.0)
        found[f"{name}_bytes"] = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        began = time.perf_counter()
        made.check_and_add("one more", 2000.0, 1100.0)  # a sweep, with a third of them over
        found[f"{name}_sweep_ms"] = (time.perf_counter() - began) * 1e3
        began = time.perf_counter()
        for number in range(20_000):
            made.check_and_add(f"new {number}", 5000.0, 1100.0)
        found[f"{name}_see_us"] = (time.perf_counter() - began) / 20_000 * 1e6
    print(
        f"10,000 rules: trie {found['trie_us']:.1f} us, scan {found['scan_us']:.0f} us; {count} ids: wheel "
        f"{found['wheel_bytes']:.0f} bytes each, sweep {found['wheel_sweep_ms']:.1f} ms, "
        f"{found['wheel_see_us']:.1f} us to see one; dict {found['dict_bytes']:.0f}, "
        f"{found['dict_sweep_ms']:.1f}, {found['dict_see_us']:.1f}"
    )
    return found


class Clients:
    """Clients over HTTP, each with tokens of some kinds; every answer is held against what it has to be."""

    WANTED = {
        "valid": 200,
        "none": 401,
        "expired": 403,
        "forged": 403,
        "replayed": 403,
        "write": 200,
        "forged-write": 403,
    }

    def __init__(
        self, port: int, ring: KeyRing, pace: float, kinds: list[str], seconds: float, tokens: bool = True
    ) -> None:
        self.port, self.ring, self.pace, self.kinds, self.seconds = port, ring, pace, kinds, seconds
        self.tokens = tokens
        self.answers: Counter[str] = Counter()
        self.wrong: Counter[str] = Counter()
        self.lost = 0
        self.took = HdrHistogram(1, 60_000_000, 3)
        self._lock = threading.Lock()
        forger = KeyRing.read({"keys": [{"id": "hs", "algorithm": "HS256", "secret": "ab" * 32}]})
        self._forger = forger.keys["hs"]
        self._threads = [threading.Thread(target=self._work, args=(seed,)) for seed in range(WORKERS)]
        for thread in self._threads:
            thread.start()

    def _token(self, kind: str, number: int) -> str:
        now, key = time.time(), self._forger if "forged" in kind else self.ring.keys["hs"]
        claims: dict[str, Any] = {
            "exp": now - 60 if kind == "expired" else now + 300,
            "sub": f"s{number % 50}",
        }
        if kind in ("write", "forged-write", "replayed"):
            claims["jti"] = "replayed" if kind == "replayed" else f"{number}"
        return formats.sign_jwt(key, claims)

    def _work(self, seed: int) -> None:
        chooser, number = random.Random(seed), 0
        client = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
        kept = {kind: [self._token(kind, seed * 100 + one) for one in range(20)] for kind in ("valid",)}
        end = time.monotonic() + self.seconds
        due = time.monotonic()
        while due < end:
            due += chooser.expovariate(self.pace / WORKERS)
            time.sleep(max(0.0, due - time.monotonic()))
            number += 1
            kind = chooser.choice(self.kinds)
            write = kind in ("write", "forged-write", "replayed")
            path = f"/svc/{'pick-confirm' if write else 'item-image'}/{chooser.randrange(1, 400):016x}/0"
            token = (
                ""
                if kind == "none"
                else chooser.choice(kept["valid"])
                if kind == "valid"
                else (self._token(kind, seed << 32 | number))
            )
            headers = {"Authorization": f"Bearer {token}"} if token and self.tokens else {}
            began = time.monotonic()
            try:
                client.request("POST" if write else "GET", path, b"x" if write else None, headers)
                answer = client.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                self.lost += 1
                client.close()
                continue
            with self._lock:
                self.answers[f"{kind} {answer.status}"] += 1
                if answer.status != self.WANTED[kind] and not (
                    kind.startswith("forged") and answer.status == 503
                ):
                    self.wrong[f"{kind} {answer.status}"] += 1
                if kind == "valid":
                    self.took.record_value(max(1, round((time.monotonic() - began) * 1e6)))

    def end(self) -> None:
        """Waits for all."""
        for thread in self._threads:
            thread.join()


def _cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def live(seconds: float) -> dict[str, float]:
    """One real router: without tokens, with good ones, with a mix, and under a flood of forged ones."""
    depot, found = Depot(caches=4), dict[str, float]()
    port, web = free_port(), free_port()
    with tempfile.TemporaryDirectory() as text:
        folder, table = Path(text), _ring()
        ring = KeyRing.read(table)
        ring_file = folder / "ring.json"
        ring_file.touch(mode=0o600)
        ring_file.write_text(json.dumps(table))
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": f"127.0.0.1:{port}",
                    "seed": "7",
                    "changelog": f"127.0.0.1:{depot.log_port}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "known": depot.known(),
                    "settings": settings(),
                }
            )
        )
        asks = (
            f'access: {{ring: "{ring_file}"\npolicies: [{{prefix: "/svc"}}, '
            '{prefix: "/svc/pick-confirm", methods: ["POST"], once: true, floor: true}]}\n'
        )
        for name, kinds, pace, tokens in (
            ("plain", ["valid"], 400.0, False),
            ("good", ["valid"], 400.0, True),
            (
                "mix",
                ["valid"] * 6 + ["none", "expired", "forged", "replayed", "write", "forged-write"],
                400.0,
                True,
            ),
            ("flood", ["valid"], 100.0, True),
        ):
            operator = folder / "operator.cue"
            operator.write_text((asks if tokens else "") + f'http: listen: "127.0.0.1:{web}"\n')
            router = subprocess.Popen(
                [sys.executable, "-m", "stonecove"],
                stderr=subprocess.DEVNULL,
                env={**os.environ, "RELAY_CONFIG": str(config), "STONECOVE_OPERATOR": str(operator)},
            )
            try:
                _wait(web)
                before, ran = _cpu(router.pid), sum(cache.fetches for cache in depot.caches)
                if tokens:  # used before: each time it comes from now on it is a replay
                    first = Clients(web, ring, 1.0, ["none"], 0.0)
                    first.end()
                    _use(web, first._token("replayed", 0))
                flood = Clients(web, ring, 1000.0, ["forged"], seconds) if name == "flood" else None
                clients = Clients(web, ring, pace, kinds, seconds, tokens)
                clients.end()
                if flood is not None:
                    flood.end()
                total = sum(clients.answers.values())
                cpu = (_cpu(router.pid) - before) / max(1, total) * 1e6
                fetched = sum(cache.fetches for cache in depot.caches) - ran
                allowed = clients.answers["valid 200"] + clients.answers["write 200"] + 1
            finally:
                router.terminate()
                router.wait(30)
            good = clients.answers["valid 200"] / max(
                1, sum(count for kind, count in clients.answers.items() if kind.startswith("valid"))
            )
            p50, p99 = (clients.took.get_value_at_percentile(part) / 1000 for part in (50, 99))
            print(
                f"{name}: {dict(clients.answers)}, wrong {dict(clients.wrong)}, lost "
                f"{clients.lost}, p50 {p50:.2f} ms, p99 {p99:.2f} ms, {cpu:.0f} us of CPU a request; "
                "caches saw "
                f"{fetched} of {allowed} that were let in"
                + (f"; beside {sum(flood.answers.values())} forged {dict(flood.answers)}" if flood else "")
            )
            found |= {
                f"{name}_cpu_us": cpu,
                f"{name}_p50_ms": p50,
                f"{name}_p99_ms": p99,
                f"{name}_wrong": sum(clients.wrong.values()),
                f"{name}_lost": clients.lost,
                f"{name}_good": good,
                f"{name}_fetched_too_much": max(0, fetched - allowed),
            }
    depot.close()
    return found


def _use(port: int, token: str) -> None:
    client = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    client.request("POST", "/svc/pick-confirm/0000000000000001/0", b"x", {"Authorization": f"Bearer {token}"})
    client.getresponse().read()
    client.close()


def _wait(port: int) -> None:
    end = time.monotonic() + 20
    while time.monotonic() < end:
        try:
            client = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
            client.request("GET", "/status/live")
            if client.getresponse().status == 200:
                return
        except OSError:
            time.sleep(0.02)
        finally:
            client.close()
    raise RuntimeError("the router did not become ready")


def main() -> None:
    """Measures all parts, and prints the figures."""
    short = "--short" in sys.argv[1:]
    figures = verdicts(300 if short else 3000) | structures(short) | live(6.0 if short else 30.0)
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

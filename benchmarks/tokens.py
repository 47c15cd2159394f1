"""Measure tokens: checks per second, and the HTTP front under valid, invalid and forged ones.

    python -m benchmarks.tokens [--short]

Part one measures the gate alone; part two runs one real router with the HTTP front against stand-in caches.
The last line is `key=value ...`.
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


def _signed_request(token_format: str, key: Key, number: int, now: float) -> Request:
    """Return a request with its own token of the given format."""
    path, expires_at = f"/svc/item-image/{number:016x}/0", int(now) + 300
    query = fields = ""
    if token_format == "cloudfront":
        policy = formats.canned_policy(f"http://e{path}", expires_at)
        query = "&".join("=".join(pair) for pair in formats.sign_cloudfront(key, policy, True, expires_at))
    elif token_format == "edge-auth":
        query = f"hdnts={formats.sign_edge_auth(key, expires_at, path=path, data='kid:mac')}"
    elif token_format == "cdni":
        claims = {"exp": expires_at, "cdniuc": f"regex:http://e{path}"}
        query = f"URISigningPackage={formats.sign_jwt(key, claims)}"
    else:
        fields = f"Bearer {formats.sign_jwt(key, {'exp': expires_at, 'sub': str(number)})}"
    return Request("GET", "http", "e", f"{path}?{query}" if query else path, "10.0.0.1", "edge-1", fields)


def measure_checks(count: int) -> dict[str, float]:
    """Measure checks per second of each token format, first uncached, then cached."""
    now, measured = time.time(), dict[str, float]()
    ring = KeyRing.read(_ring())
    for token_format, key_id in (
        ("cloudfront", "rsa"),
        ("edge-auth", "mac"),
        ("cdni", "es"),
        ("bearer", "hs"),
    ):
        gate = Gate(Routes([Policy("/svc")]), ring, Limits(checks=1e9))
        requests = [_signed_request(token_format, ring.keys[key_id], number, now) for number in range(count)]
        for name in ("cold", "cached"):
            started_at_s = time.perf_counter()
            admitted = sum(gate.check(request, "x", now, now).admitted for request in requests)
            measured[f"{token_format.replace('-', '_')}_{name}"] = count / (
                time.perf_counter() - started_at_s
            )
            assert admitted == count
        print(
            f"{token_format}: {measured[token_format.replace('-', '_') + '_cold']:.0f} checks per second "
            f"uncached, "
            f"{measured[token_format.replace('-', '_') + '_cached']:.0f} cached"
        )
    return measured


def measure_structures(short: bool) -> dict[str, float]:
    """Compare the trie with a scan at 10,000 rules, and the wheel with a dict at up to 1,000,000 ids."""
    generator, measured = random.Random(3), dict[str, float]()
    prefixes = [f"/svc/c{number % 100}/o{number}" for number in range(10_000)]
    policies = [Policy(prefix) for prefix in prefixes]
    paths = [f"{generator.choice(prefixes)}/{number}" for number in range(200)]
    for name, routes in (("trie", Routes(policies)), ("scan", LinearRoutes(policies))):
        started_at_s = time.perf_counter()
        hits = sum(routes.find(path) is not None for path in paths)
        measured[f"{name}_us"] = (time.perf_counter() - started_at_s) / len(paths) * 1e6
        assert hits == len(paths)
    count = 100_000 if short else 1_000_000
    for name, replay_cache in (("wheel", ReplayCache(2 * count)), ("dict", DictReplayCache(2 * count))):
        tracemalloc.start()
        for number in range(count):
            replay_cache.check_and_add(f"key {number:032x}", 1000.0 + number % 300, 0.0)
        measured[f"{name}_bytes"] = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        started_at_s = time.perf_counter()
        replay_cache.check_and_add("one more", 2000.0, 1100.0)  # a sweep, with a third of the ids expired
        measured[f"{name}_sweep_ms"] = (time.perf_counter() - started_at_s) * 1e3
        started_at_s = time.perf_counter()
        for number in range(20_000):
            replay_cache.check_and_add(f"new {number}", 5000.0, 1100.0)
        measured[f"{name}_see_us"] = (time.perf_counter() - started_at_s) / 20_000 * 1e6
    print(
        f"10,000 rules: trie {measured['trie_us']:.1f} us, scan {measured['scan_us']:.0f} us; {count} "
        f"ids: wheel "
        f"{measured['wheel_bytes']:.0f} bytes each, sweep {measured['wheel_sweep_ms']:.1f} ms, "
        f"{measured['wheel_see_us']:.1f} us per check; dict {measured['dict_bytes']:.0f}, "
        f"{measured['dict_sweep_ms']:.1f}, {measured['dict_see_us']:.1f}"
    )
    return measured


class Clients:
    """HTTP clients that send tokens of several kinds and compare every status with the expected one."""

    EXPECTED_STATUS = {
        "valid": 200,
        "none": 401,
        "expired": 403,
        "forged": 403,
        "replayed": 403,
        "write": 200,
        "forged-write": 403,
    }

    def __init__(
        self,
        port: int,
        ring: KeyRing,
        requests_per_s: float,
        kinds: list[str],
        seconds: float,
        tokens: bool = True,
    ) -> None:
        """Start the client threads."""
        self.port, self.ring, self.requests_per_s, self.kinds, self.seconds = (
            port,
            ring,
            requests_per_s,
            kinds,
            seconds,
        )
        self.tokens = tokens
        self.answers: Counter[str] = Counter()
        self.unexpected: Counter[str] = Counter()
        self.lost = 0
        self.latency_us = HdrHistogram(1, 60_000_000, 3)
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
        generator, number = random.Random(seed), 0
        client = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
        reused_tokens = {
            kind: [self._token(kind, seed * 100 + offset) for offset in range(20)] for kind in ("valid",)
        }
        deadline_s = time.monotonic() + self.seconds
        next_request_s = time.monotonic()
        while next_request_s < deadline_s:
            next_request_s += generator.expovariate(self.requests_per_s / WORKERS)
            time.sleep(max(0.0, next_request_s - time.monotonic()))
            number += 1
            kind = generator.choice(self.kinds)
            is_write = kind in ("write", "forged-write", "replayed")
            path = f"/svc/{'pick-confirm' if is_write else 'item-image'}/{generator.randrange(1, 400):016x}/0"
            token = (
                ""
                if kind == "none"
                else generator.choice(reused_tokens["valid"])
                if kind == "valid"
                else (self._token(kind, seed << 32 | number))
            )
            headers = {"Authorization": f"Bearer {token}"} if token and self.tokens else {}
            started_at_s = time.monotonic()
            try:
                client.request("POST" if is_write else "GET", path, b"x" if is_write else None, headers)
                answer = client.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                self.lost += 1
                client.close()
                continue
            with self._lock:
                self.answers[f"{kind} {answer.status}"] += 1
                if answer.status != self.EXPECTED_STATUS[kind] and not (
                    kind.startswith("forged") and answer.status == 503
                ):
                    self.unexpected[f"{kind} {answer.status}"] += 1
                if kind == "valid":
                    self.latency_us.record_value(max(1, round((time.monotonic() - started_at_s) * 1e6)))

    def join_threads(self) -> None:
        """Wait until all threads have ended."""
        for thread in self._threads:
            thread.join()


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_router(seconds: float) -> dict[str, float]:
    """Run one real router without tokens, with valid ones, with a mix, and under a flood of forged ones."""
    depot, measured = Depot(caches=4), dict[str, float]()
    port, http_port = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder_name:
        folder, table = Path(folder_name), _ring()
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
                    "known": depot.endpoint_list(),
                    "settings": settings(),
                }
            )
        )
        access_config = (
            f'access: {{ring: "{ring_file}"\npolicies: [{{prefix: "/svc"}}, '
            '{prefix: "/svc/pick-confirm", methods: ["POST"], once: true, floor: true}]}\n'
        )
        for name, kinds, requests_per_s, tokens in (
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
            operator.write_text(
                (access_config if tokens else "") + f'http: listen: "127.0.0.1:{http_port}"\n'
            )
            router = subprocess.Popen(
                [sys.executable, "-m", "stonecove"],
                stderr=subprocess.DEVNULL,
                env={**os.environ, "RELAY_CONFIG": str(config), "STONECOVE_OPERATOR": str(operator)},
            )
            try:
                _wait(http_port)
                cpu_before_s, fetches_before = (
                    _cpu_s(router.pid),
                    sum(cache.fetches for cache in depot.caches),
                )
                if tokens:  # use the token once: each later use is a replay
                    priming_clients = Clients(http_port, ring, 1.0, ["none"], 0.0)
                    priming_clients.join_threads()
                    _use_token(http_port, priming_clients._token("replayed", 0))
                flood = Clients(http_port, ring, 1000.0, ["forged"], seconds) if name == "flood" else None
                clients = Clients(http_port, ring, requests_per_s, kinds, seconds, tokens)
                clients.join_threads()
                if flood is not None:
                    flood.join_threads()
                total = sum(clients.answers.values())
                cpu = (_cpu_s(router.pid) - cpu_before_s) / max(1, total) * 1e6
                new_fetches = sum(cache.fetches for cache in depot.caches) - fetches_before
                allowed = clients.answers["valid 200"] + clients.answers["write 200"] + 1
            finally:
                router.terminate()
                router.wait(30)
            valid_share = clients.answers["valid 200"] / max(
                1, sum(count for kind, count in clients.answers.items() if kind.startswith("valid"))
            )
            p50, p99 = (clients.latency_us.get_value_at_percentile(part) / 1000 for part in (50, 99))
            print(
                f"{name}: {dict(clients.answers)}, unexpected {dict(clients.unexpected)}, lost "
                f"{clients.lost}, p50 {p50:.2f} ms, p99 {p99:.2f} ms, {cpu:.0f} us of CPU per request; "
                "caches received "
                f"{new_fetches} of {allowed} admitted requests"
                + (f"; plus {sum(flood.answers.values())} forged {dict(flood.answers)}" if flood else "")
            )
            measured |= {
                f"{name}_cpu_us": cpu,
                f"{name}_p50_ms": p50,
                f"{name}_p99_ms": p99,
                f"{name}_wrong": sum(clients.unexpected.values()),
                f"{name}_lost": clients.lost,
                f"{name}_good": valid_share,
                f"{name}_fetched_too_much": max(0, new_fetches - allowed),
            }
    depot.close()
    return measured


def _use_token(port: int, token: str) -> None:
    client = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    client.request("POST", "/svc/pick-confirm/0000000000000001/0", b"x", {"Authorization": f"Bearer {token}"})
    client.getresponse().read()
    client.close()


def _wait(port: int) -> None:
    deadline_s = time.monotonic() + 20
    while time.monotonic() < deadline_s:
        try:
            client = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
            client.request("GET", "/status/live")
            if client.getresponse().status == 200:
                return
        except OSError:
            time.sleep(0.02)
        finally:
            client.close()
    raise RuntimeError("the router did not become ready within 20 s")


def main() -> None:
    """Run all parts and print the figures."""
    short = "--short" in sys.argv[1:]
    figures = (
        measure_checks(300 if short else 3000)
        | measure_structures(short)
        | measure_router(6.0 if short else 30.0)
    )
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

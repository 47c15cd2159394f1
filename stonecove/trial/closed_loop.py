"""A closed-loop load generator: each worker sends one request at a time and records its outcome."""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from stonecove.standins.webserver import FastCgiClient

WORKERS = 20
Address = tuple[str, int]


class ClosedLoopClients:
    """Web servers: each worker sends one request at a time, to any router that accepts its connection.

    `skew`: routers are selected in proportion to 1/rank, as by web servers with sticky routers.
    """

    def __init__(
        self, addresses: Sequence[Address], rate: float, skew: bool = False, kb: int = 40, writes: float = 0.0
    ) -> None:
        """Start all workers. `rate`: total requests per second; `writes`: fraction that is not idempotent."""
        router_count = len(addresses)
        self._addresses, self.rate, self.kb, self._writes = addresses, rate, kb, writes
        self.weights = [1.0 / (rank + 1) if skew else 1.0 for rank in range(router_count)]
        self.stopping = threading.Event()
        self.answers: Counter[str] = Counter()
        self.close_races = 0  # requests that raced a close of their connection, and were sent again
        self.refused_connections = 0  # refused connections: no request was accepted
        # (Unix s, router index) of each accepted request without an answer
        self.lost: list[tuple[float, int]] = []
        self.latency_us = HdrHistogram(1, 60_000_000, 3)
        self._lock = threading.Lock()
        self._threads = [threading.Thread(target=self._run_worker, args=(seed,)) for seed in range(WORKERS)]
        for thread in self._threads:
            thread.start()

    def _run_worker(self, seed: int) -> None:
        rng, connections, request_number = random.Random(seed), dict[int, FastCgiClient](), 0
        while not self.stopping.is_set():
            time.sleep(rng.expovariate(self.rate / WORKERS))
            router_index = rng.choices(range(len(self.weights)), self.weights)[0]
            request_number += 1
            if router_index in connections and connections[router_index].closed():
                connections.pop(router_index).close()
            item, started_at = rng.randrange(1, 400), time.monotonic()
            request_class = "pick-confirm" if rng.random() < self._writes else "item-image"
            status = self._send(connections, router_index, seed << 32 | request_number, item, request_class)
            if status == "crossed":  # by the protocol, a request that races a close is sent again, once
                self.close_races += 1
                status = self._send(
                    connections, router_index, seed << 32 | request_number | 1 << 31, item, request_class
                )
            if status == "refused":
                self.refused_connections += 1
                continue
            if status in ("lost", "crossed"):
                with self._lock:
                    self.lost.append((time.time(), router_index))
                continue
            with self._lock:
                self.answers[status[:3]] += 1
                self.latency_us.record_value(max(1, round((time.monotonic() - started_at) * 1e6)))

    def _send(
        self,
        connections: dict[int, FastCgiClient],
        router_index: int,
        request_number: int,
        item: int,
        request_class: str,
    ) -> str:
        """Return the status of the answer, or why there is none.

        `refused`: no connection; `crossed`: the connection was closed within 50 ms of sending; `lost`: it was
        closed later.
        """
        started_at = time.monotonic()
        try:
            if router_index not in connections:
                host, port = self._addresses[router_index]
                connections[router_index] = FastCgiClient(port, host)
        except OSError:
            return "refused"
        try:
            return connections[router_index].request_item(request_number, item, request_class, kb=self.kb)[0][
                :3
            ]
        except (OSError, EOFError):
            connections.pop(router_index).close()
            return "crossed" if time.monotonic() - started_at < 0.05 else "lost"

    def stop(self) -> None:
        """Stop all workers and wait for them."""
        self.stopping.set()
        for thread in self._threads:
            thread.join()

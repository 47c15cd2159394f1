"""A closed-loop load generator: workers that send one request after the other, and what became of each."""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from stonecove.standins.webserver import Asker

WORKERS = 20
Address = tuple[str, int]


class ClosedLoopClients:
    """Web servers: each worker sends one request after the other, to any instance that takes its connection.

    `skew`: instances are asked in proportion to 1/rank, as web servers that keep to some routers do.
    """

    def __init__(
        self, addresses: Sequence[Address], pace: float, skew: bool = False, kb: int = 40, writes: float = 0.0
    ) -> None:
        """`pace`: requests a second in all; `writes`: the part of them that may run once only."""
        instances = len(addresses)
        self._addresses, self.pace, self.kb, self._writes = addresses, pace, kb, writes
        self.weights = [1.0 / (rank + 1) if skew else 1.0 for rank in range(instances)]
        self.over = threading.Event()
        self.answers: Counter[str] = Counter()
        self.crossed = 0  # requests that crossed a close, and were sent again
        self.turned_away = 0  # connections that were refused: nothing was taken
        self.lost: list[tuple[float, int]] = []  # when, and at which instance, a taken request had no answer
        self.took = HdrHistogram(1, 60_000_000, 3)
        self._lock = threading.Lock()
        self._threads = [threading.Thread(target=self._work, args=(seed,)) for seed in range(WORKERS)]
        for thread in self._threads:
            thread.start()

    def _work(self, seed: int) -> None:
        chooser, askers, number = random.Random(seed), dict[int, Asker](), 0
        while not self.over.is_set():
            time.sleep(chooser.expovariate(self.pace / WORKERS))
            at = chooser.choices(range(len(self.weights)), self.weights)[0]
            number += 1
            if at in askers and askers[at].closed():
                askers.pop(at).close()
            item, began = chooser.randrange(1, 400), time.monotonic()
            cls = "pick-confirm" if chooser.random() < self._writes else "item-image"
            status = self._ask(askers, at, seed << 32 | number, item, cls)
            if status == "crossed":  # PROTOCOL: one that crosses a close is sent again, once
                self.crossed += 1
                status = self._ask(askers, at, seed << 32 | number | 1 << 31, item, cls)
            if status == "refused":
                self.turned_away += 1
                continue
            if status in ("lost", "crossed"):
                with self._lock:
                    self.lost.append((time.time(), at))
                continue
            with self._lock:
                self.answers[status[:3]] += 1
                self.took.record_value(max(1, round((time.monotonic() - began) * 1e6)))

    def _ask(self, askers: dict[int, Asker], at: int, number: int, item: int, cls: str) -> str:
        """The status of the answer; `refused`: no connection; `crossed`: closed within 50 ms of asking;
        `lost`.
        """
        began = time.monotonic()
        try:
            if at not in askers:
                host, port = self._addresses[at]
                askers[at] = Asker(port, host)
        except OSError:
            return "refused"
        try:
            return askers[at].ask_item(number, item, cls, kb=self.kb)[0][:3]
        except (OSError, EOFError):
            askers.pop(at).close()
            return "crossed" if time.monotonic() - began < 0.05 else "lost"

    def end(self) -> None:
        """Stops asking."""
        self.over.set()
        for thread in self._threads:
            thread.join()

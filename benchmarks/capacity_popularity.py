"""Counts of popularity at a router's pace: what the module's table holds, and what a sketch would.

The sketch is measured here and used nowhere.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from array import array
from collections.abc import Callable
from typing import Protocol

import numpy

from benchmarks.capacity_sizes import ROUTER_REQUESTS, zipf_keys, zipf_ranks
from stonecove.routing.popularity import ADMITTED_REQUEST_SHARE, MAX_TRACKED_OBJECTS, Popularity
from stonecove.routing.rendezvous import mix64
from stonecove.routing.state import POPULARITY_HALF_LIFE_IN_SLOW_STARTS

WARM_UP = 16_000.0  # ms, of a cache in the made-up settings
COUNTS_HALVE = POPULARITY_HALF_LIFE_IN_SLOW_STARTS * WARM_UP
SIZE_KB = 100.0
ROWS = 4  # of the sketch
HEAVY = 4.0  # requests of late from which an object's size is kept
STEPS = 4  # of the sketch's histogram, for each doubling
DEEPEST = 160  # steps below the present weight that are told apart


class Counts(Protocol):
    """What both ways of counting can do."""

    def record_request(self, now: float, key: int, size: float, part: int) -> None:
        """A request for the object."""

    def is_admitted(self, key: int) -> bool:
        """Whether it belongs to the top set."""


class SketchPopularity:
    """A count-min sketch with conservative update, ageing, and a small table of the most popular objects.

    A histogram of the counted weight by estimate stands in for the sort that finds the least count of the
    top set.
    """

    def __init__(self, half_life: float, width: int, heavy: int) -> None:
        """`width`: cells a row; `heavy`: objects whose sizes are kept."""
        self._half_life, self._width, self._most_heavy = half_life, width, heavy
        self._cells = array("f", bytes(4 * width * ROWS))
        self._heavy: dict[int, list[float]] = {}
        self._heavy_keys: list[int] = []
        self._chooser = random.Random(7)
        self._weights: dict[int, float] = {}  # counted weight by step of the estimate
        self._total = 0.0
        self._origin = -1.0
        self._least, self._least_at = 0.0, -1.0

    def _places(self, key: int) -> list[int]:
        mixed = mix64(key)
        first, second, width = mixed & 0xFFFFFFFF, mixed >> 32 | 1, self._width
        return [row * width + (first + row * second) % width for row in range(ROWS)]

    def _weight(self, now: float) -> float:
        if self._origin < 0:
            self._origin = now
        doublings = (now - self._origin) / self._half_life
        if doublings > 16:
            self._rescale(2.0**-doublings)
            self._origin, doublings = now, 0.0
        return float(2.0**doublings)

    def _rescale(self, factor: float) -> None:
        cells = numpy.frombuffer(self._cells, dtype=numpy.float32)
        numpy.multiply(cells, factor, out=cells)
        scaled: dict[int, float] = {}
        for step, weight in self._weights.items():
            lower = self._step(self._edge(step) * factor * 1.0001)
            scaled[lower] = scaled.get(lower, 0.0) + weight * factor
        self._weights = scaled
        self._total *= factor

    @staticmethod
    def _step(estimate: float) -> int:
        return int(numpy.floor(numpy.log2(estimate) * STEPS)) if estimate > 0 else -DEEPEST

    @staticmethod
    def _edge(step: int) -> float:
        return float(2.0 ** (step / STEPS))

    def record_request(self, now: float, key: int, size: float, part: int) -> None:
        """A request for the object."""
        weight, cells, places = self._weight(now), self._cells, self._places(key)
        before = min(cells[place] for place in places)
        after = before + weight
        for place in places:
            if cells[place] < after:
                cells[place] = after
        weights = self._weights
        if before > 0:
            weights[self._step(before)] = weights.get(self._step(before), 0.0) - before
        weights[self._step(after)] = weights.get(self._step(after), 0.0) + after
        self._total += weight
        if after >= HEAVY * weight:
            self._keep_size(key, size, part)
        if now >= self._least_at:
            self._least_at = now + 1000.0
            self._least = self._find_least()

    def _keep_size(self, key: int, size: float, part: int) -> None:
        known = self._heavy.get(key)
        if known is not None:
            known[0] += (size - known[0]) / 16.0
            return
        if len(self._heavy) >= self._most_heavy:
            chosen = [self._chooser.randrange(len(self._heavy_keys)) for _ in range(5)]
            place = min(chosen, key=lambda at: self._estimate(self._heavy_keys[at]))
            del self._heavy[self._heavy_keys[place]]
            self._heavy_keys[place] = key
        else:
            self._heavy_keys.append(key)
        self._heavy[key] = [size, part]

    def _estimate(self, key: int) -> float:
        return min(self._cells[place] for place in self._places(key))

    def _find_least(self) -> float:
        """The least estimate within the top set."""
        reached = 0.0
        for step in sorted(self._weights, reverse=True):
            reached += self._weights[step]
            if reached >= ADMITTED_REQUEST_SHARE * self._total:
                return self._edge(step)
        return 0.0

    def is_admitted(self, key: int) -> bool:
        """Whether it belongs to the top set."""
        estimate = self._estimate(key)
        return 0 < self._least <= estimate


class TimedPopularity(Popularity):
    """The module's counts, with the time that its sorts take."""

    def __init__(self, half_life: float) -> None:
        super().__init__(half_life)
        self.sorts: list[float] = []  # seconds each

    def _timed(self, call: Callable[[], None]) -> None:
        began = time.perf_counter()
        call()
        self.sorts.append(time.perf_counter() - began)

    def _rebuild_ranks(self) -> None:
        self._timed(super()._rebuild_ranks)

    def _evict_less_popular_half(self) -> None:
        self._timed(super()._evict_less_popular_half)


def held_share(counts: Counts, keys: list[int], requests_a_second: float) -> tuple[float, float]:
    """The part of the later half of the requests that were in the top set as they came; us for each note."""
    gap, half, held, spent = 1000.0 / requests_a_second, len(keys) // 2, 0, 0.0
    for place, key in enumerate(keys):
        held += place >= half and counts.is_admitted(key)
        began = time.perf_counter()
        counts.record_request(1e12 + place * gap, key, SIZE_KB, 0)
        spent += time.perf_counter() - began
    return held / (len(keys) - half), spent / len(keys) * 1e6


def best_held(objects: int, exponent: float, most: int) -> float:
    """The part that so many objects hold if the popularity of all is known."""
    shares = numpy.arange(1, objects + 1, dtype=float) ** -exponent
    return float(shares[:most].sum() / shares.sum())


def top_set(objects: int, exponent: float) -> int:
    """Objects in the top set if the popularity of all is known."""
    shares = numpy.cumsum(numpy.arange(1, objects + 1, dtype=float) ** -exponent)
    return int(numpy.searchsorted(shares, ADMITTED_REQUEST_SHARE * shares[-1])) + 1


def pooled_share(objects: int, exponent: float, requests_a_second: float, seconds: int) -> float:
    """What counts without a bound, of all these requests, hold in the later half; in steps of a second."""
    ranks = zipf_ranks(objects, exponent, int(requests_a_second) * seconds)
    counts, fade = numpy.zeros(objects), 0.5 ** (1000.0 / COUNTS_HALVE)
    least, held, seen = 0.0, 0, 0
    for second, step in enumerate(numpy.array_split(ranks, seconds)):
        if second % 5 == 0:
            ordered = numpy.sort(counts)[::-1]
            reached = numpy.cumsum(ordered)
            at = int(numpy.searchsorted(reached, ADMITTED_REQUEST_SHARE * reached[-1]))
            least = max(float(ordered[min(at, objects - 1)]), 1e-9)
        if second >= seconds // 2:
            held += int((counts[step] >= least).sum())
            seen += len(step)
        counts *= fade
        counts += numpy.bincount(step, minlength=objects)
        least *= fade
    return held / seen


def table_bytes(entries: int) -> float:
    """Bytes that the module's table takes for each object."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    counts = Popularity(COUNTS_HALVE)
    for key in zipf_keys(10 * entries, 0.0, entries):
        counts.record_request(1e12, key, SIZE_KB + key % 7, 0)
    held = tracemalloc.get_traced_memory()[0] - before
    size = len(counts._table)
    tracemalloc.stop()
    return held / size


def sketch_bytes(width: int, heavy: int) -> float:
    """Bytes that a sketch takes once its table is full."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    sketch = SketchPopularity(COUNTS_HALVE, width, heavy)
    for key in zipf_keys(10 * heavy, 0.0, heavy):
        sketch._keep_size(key, SIZE_KB + key % 7, 0)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return float(held)


def measure(seconds: int, objects: int, exponents: tuple[float, ...]) -> dict[str, float]:
    """All figures of the counts at a router's pace."""
    entries, width, heavy = MAX_TRACKED_OBJECTS, 1 << 17, 8_000
    figures = {
        "table_bytes_an_object": table_bytes(entries),
        "sketch_mb": sketch_bytes(width, heavy) / 1e6,
    }
    figures["table_mb"] = figures["table_bytes_an_object"] * entries / 1e6
    for exponent in exponents:
        keys = zipf_keys(objects, exponent, int(seconds * ROUTER_REQUESTS))
        name = f"{exponent:g}"
        bounded = TimedPopularity(COUNTS_HALVE)
        share, cost = held_share(bounded, keys, ROUTER_REQUESTS)
        figures |= {
            f"table_held_{name}": share,
            f"note_us_{name}": cost,
            f"sorts_core_{name}": sum(bounded.sorts) / seconds,
            f"sort_longest_ms_{name}": max(bounded.sorts) * 1000.0,
            f"top_set_objects_{name}": top_set(objects, exponent),
            f"top_known_held_{name}": best_held(objects, exponent, entries),
        }
        sketch = SketchPopularity(COUNTS_HALVE, width, heavy)
        figures[f"sketch_held_{name}"], figures[f"sketch_note_us_{name}"] = held_share(
            sketch, keys, ROUTER_REQUESTS
        )
        figures[f"unbounded_held_{name}"] = pooled_share(objects, exponent, ROUTER_REQUESTS, seconds)
        figures[f"zone_pooled_held_{name}"] = pooled_share(objects, exponent, 38 * ROUTER_REQUESTS, seconds)
    return figures

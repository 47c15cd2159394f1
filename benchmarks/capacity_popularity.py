"""Compare popularity counting at a router's request rate: the module's table and a sketch.

The sketch is used in this benchmark only.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from array import array
from collections.abc import Callable
from typing import Protocol

import numpy

from benchmarks.capacity_sizes import ROUTER_REQUESTS_PER_S, zipf_keys, zipf_ranks
from stonecove.routing.popularity import ADMITTED_REQUEST_SHARE, MAX_TRACKED_OBJECTS, Popularity
from stonecove.routing.rendezvous import mix64
from stonecove.routing.state import POPULARITY_HALF_LIFE_IN_SLOW_STARTS

SLOW_START_MS = 16_000.0  # slow start of a cache in the synthetic settings
HALF_LIFE_MS = POPULARITY_HALF_LIFE_IN_SLOW_STARTS * SLOW_START_MS
SIZE_KB = 100.0
SKETCH_ROWS = 4  # rows of the sketch
MIN_HEAVY_REQUESTS = 4.0  # recent requests from which an object's size is stored
STEPS_PER_DOUBLING = 4  # steps of the sketch's histogram per doubling
MAX_STEPS_BELOW = 160  # steps below the current weight that are distinguished


class Counts(Protocol):
    """The interface of both counting methods."""

    def record_request(self, now: float, key: int, size: float, part: int) -> None:
        """Count a request for the object."""

    def is_admitted(self, key: int) -> bool:
        """Return whether the object belongs to the top set."""


class SketchPopularity:
    """A count-min sketch with conservative update, ageing, and a small table of the most popular objects.

    A histogram of the counted weight by estimate replaces the sort that finds the threshold of the top set.
    """

    def __init__(self, half_life: float, width: int, max_heavy: int) -> None:
        """Create an empty sketch with `width` cells per row that stores the sizes of `max_heavy` objects."""
        self._half_life, self._width, self._max_heavy = half_life, width, max_heavy
        self._cells = array("f", bytes(4 * width * SKETCH_ROWS))
        self._heavy: dict[int, list[float]] = {}
        self._heavy_keys: list[int] = []
        self._generator = random.Random(7)
        self._weights: dict[int, float] = {}  # counted weight by step of the estimate
        self._total = 0.0
        self._origin = -1.0
        self._threshold, self._next_threshold_at_ms = 0.0, -1.0

    def _cell_indexes(self, key: int) -> list[int]:
        mixed = mix64(key)
        first, second, width = mixed & 0xFFFFFFFF, mixed >> 32 | 1, self._width
        return [row * width + (first + row * second) % width for row in range(SKETCH_ROWS)]

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
        return (
            int(numpy.floor(numpy.log2(estimate) * STEPS_PER_DOUBLING)) if estimate > 0 else -MAX_STEPS_BELOW
        )

    @staticmethod
    def _edge(step: int) -> float:
        return float(2.0 ** (step / STEPS_PER_DOUBLING))

    def record_request(self, now: float, key: int, size: float, part: int) -> None:
        """Count a request for the object."""
        weight, cells, cell_indexes = self._weight(now), self._cells, self._cell_indexes(key)
        before = min(cells[index] for index in cell_indexes)
        after = before + weight
        for index in cell_indexes:
            if cells[index] < after:
                cells[index] = after
        weights = self._weights
        if before > 0:
            weights[self._step(before)] = weights.get(self._step(before), 0.0) - before
        weights[self._step(after)] = weights.get(self._step(after), 0.0) + after
        self._total += weight
        if after >= MIN_HEAVY_REQUESTS * weight:
            self._update_size(key, size, part)
        if now >= self._next_threshold_at_ms:
            self._next_threshold_at_ms = now + 1000.0
            self._threshold = self._find_threshold()

    def _update_size(self, key: int, size: float, part: int) -> None:
        entry = self._heavy.get(key)
        if entry is not None:
            entry[0] += (size - entry[0]) / 16.0
            return
        if len(self._heavy) >= self._max_heavy:
            candidates = [self._generator.randrange(len(self._heavy_keys)) for _ in range(5)]
            index = min(candidates, key=lambda candidate: self._estimate(self._heavy_keys[candidate]))
            del self._heavy[self._heavy_keys[index]]
            self._heavy_keys[index] = key
        else:
            self._heavy_keys.append(key)
        self._heavy[key] = [size, part]

    def _estimate(self, key: int) -> float:
        return min(self._cells[index] for index in self._cell_indexes(key))

    def _find_threshold(self) -> float:
        """Return the lowest estimate within the top set."""
        cumulative = 0.0
        for step in sorted(self._weights, reverse=True):
            cumulative += self._weights[step]
            if cumulative >= ADMITTED_REQUEST_SHARE * self._total:
                return self._edge(step)
        return 0.0

    def is_admitted(self, key: int) -> bool:
        """Return whether the object belongs to the top set."""
        estimate = self._estimate(key)
        return 0 < self._threshold <= estimate


class TimedPopularity(Popularity):
    """The module's counts, with the duration of its sorts."""

    def __init__(self, half_life: float) -> None:
        """Start with empty counts."""
        super().__init__(half_life)
        self.sort_durations_s: list[float] = []  # seconds each

    def _timed(self, call: Callable[[], None]) -> None:
        started_at_s = time.perf_counter()
        call()
        self.sort_durations_s.append(time.perf_counter() - started_at_s)

    def _rebuild_ranks(self) -> None:
        self._timed(super()._rebuild_ranks)

    def _evict_less_popular_half(self) -> None:
        self._timed(super()._evict_less_popular_half)


def admitted_share(counts: Counts, keys: list[int], requests_per_s: float) -> tuple[float, float]:
    """Return the fraction of the later half of the requests that were admitted, and us per request."""
    gap_ms, first_counted, admitted, spent_s = 1000.0 / requests_per_s, len(keys) // 2, 0, 0.0
    for index, key in enumerate(keys):
        admitted += index >= first_counted and counts.is_admitted(key)
        started_at_s = time.perf_counter()
        counts.record_request(1e12 + index * gap_ms, key, SIZE_KB, 0)
        spent_s += time.perf_counter() - started_at_s
    return admitted / (len(keys) - first_counted), spent_s / len(keys) * 1e6


def ideal_admitted_share(objects: int, exponent: float, tracked: int) -> float:
    """Return the share of requests for the `tracked` most popular objects, with perfect knowledge."""
    shares = numpy.arange(1, objects + 1, dtype=float) ** -exponent
    return float(shares[:tracked].sum() / shares.sum())


def top_set(objects: int, exponent: float) -> int:
    """Return the number of objects in the top set, with perfect knowledge."""
    shares = numpy.cumsum(numpy.arange(1, objects + 1, dtype=float) ** -exponent)
    return int(numpy.searchsorted(shares, ADMITTED_REQUEST_SHARE * shares[-1])) + 1


def unbounded_admitted_share(objects: int, exponent: float, requests_per_s: float, seconds: int) -> float:
    """Return the admitted fraction of the later half with unbounded counts, in steps of a second."""
    ranks = zipf_ranks(objects, exponent, int(requests_per_s) * seconds)
    counts, decay = numpy.zeros(objects), 0.5 ** (1000.0 / HALF_LIFE_MS)
    threshold, admitted, counted = 0.0, 0, 0
    for second, step in enumerate(numpy.array_split(ranks, seconds)):
        if second % 5 == 0:
            ordered = numpy.sort(counts)[::-1]
            cumulative = numpy.cumsum(ordered)
            threshold_index = int(numpy.searchsorted(cumulative, ADMITTED_REQUEST_SHARE * cumulative[-1]))
            threshold = max(float(ordered[min(threshold_index, objects - 1)]), 1e-9)
        if second >= seconds // 2:
            admitted += int((counts[step] >= threshold).sum())
            counted += len(step)
        counts *= decay
        counts += numpy.bincount(step, minlength=objects)
        threshold *= decay
    return admitted / counted


def table_bytes(entries: int) -> float:
    """Return the bytes per object of the module's table."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    counts = Popularity(HALF_LIFE_MS)
    for key in zipf_keys(10 * entries, 0.0, entries):
        counts.record_request(1e12, key, SIZE_KB + key % 7, 0)
    allocated = tracemalloc.get_traced_memory()[0] - before
    size = len(counts._table)
    tracemalloc.stop()
    return allocated / size


def sketch_bytes(width: int, max_heavy: int) -> float:
    """Return the bytes of a sketch with a full table."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    sketch = SketchPopularity(HALF_LIFE_MS, width, max_heavy)
    for key in zipf_keys(10 * max_heavy, 0.0, max_heavy):
        sketch._update_size(key, SIZE_KB + key % 7, 0)
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return float(allocated)


def measure(seconds: int, objects: int, exponents: tuple[float, ...]) -> dict[str, float]:
    """Return all figures of the counts at a router's request rate."""
    entries, width, max_heavy = MAX_TRACKED_OBJECTS, 1 << 17, 8_000
    figures = {
        "table_bytes_an_object": table_bytes(entries),
        "sketch_mb": sketch_bytes(width, max_heavy) / 1e6,
    }
    figures["table_mb"] = figures["table_bytes_an_object"] * entries / 1e6
    for exponent in exponents:
        keys = zipf_keys(objects, exponent, int(seconds * ROUTER_REQUESTS_PER_S))
        name = f"{exponent:g}"
        bounded = TimedPopularity(HALF_LIFE_MS)
        share, record_us = admitted_share(bounded, keys, ROUTER_REQUESTS_PER_S)
        figures |= {
            f"table_held_{name}": share,
            f"note_us_{name}": record_us,
            f"sorts_core_{name}": sum(bounded.sort_durations_s) / seconds,
            f"sort_longest_ms_{name}": max(bounded.sort_durations_s) * 1000.0,
            f"top_set_objects_{name}": top_set(objects, exponent),
            f"top_known_held_{name}": ideal_admitted_share(objects, exponent, entries),
        }
        sketch = SketchPopularity(HALF_LIFE_MS, width, max_heavy)
        figures[f"sketch_held_{name}"], figures[f"sketch_note_us_{name}"] = admitted_share(
            sketch, keys, ROUTER_REQUESTS_PER_S
        )
        figures[f"unbounded_held_{name}"] = unbounded_admitted_share(
            objects, exponent, ROUTER_REQUESTS_PER_S, seconds
        )
        figures[f"zone_pooled_held_{name}"] = unbounded_admitted_share(
            objects, exponent, 38 * ROUTER_REQUESTS_PER_S, seconds
        )
    return figures

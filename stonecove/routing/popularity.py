"""Selection of the objects that are popular enough to be cached, and of their ranks."""

from __future__ import annotations

import math
from dataclasses import dataclass

ADMITTED_REQUEST_SHARE = 0.9  # the most popular objects are cached until they make up this share of requests
MAX_TRACKED_OBJECTS = 20_000
MIN_REQUESTS_FOR_RANKING = 50
MIN_REQUESTS_PER_REBUILD = 50
MAX_DOUBLINGS = 30  # counts are scaled back before their weight grows further
MAX_SIZE_SAMPLES = 16
MIN_HALF_LIFE_MS = 1.0


@dataclass(slots=True)
class ObjectCount:
    """Requests counted for one object."""

    size_kb: float
    count: float = 0.0
    chunks: int = 1


class Popularity:
    """Count requests by object in a bounded table, where older requests weigh less."""

    def __init__(self, half_life_ms: float = MIN_HALF_LIFE_MS) -> None:
        self._half_life_ms = max(half_life_ms, MIN_HALF_LIFE_MS)
        self._table: dict[int, ObjectCount] = {}
        self._total_count = self._total_kb = self._min_admitted_count = self._epoch_ms = 0.0
        self._requests_seen, self._rebuild_at = 0, MIN_REQUESTS_PER_REBUILD
        self._rank_densities = (math.inf, math.inf)

    def _current_weight(self, now_ms: float) -> float:
        """Return the weight of a request; weights grow with time, so that old counts need no update."""
        doublings = (now_ms - self._epoch_ms) / self._half_life_ms
        if doublings > MAX_DOUBLINGS or not self._requests_seen:
            self._rescale(2.0**-doublings if self._requests_seen else 1.0)
            self._epoch_ms, doublings = now_ms, 0.0
        return float(2.0**doublings)

    def _rescale(self, factor: float) -> None:
        for item in self._table.values():
            item.count *= factor
        self._total_count, self._total_kb = self._total_count * factor, self._total_kb * factor
        self._min_admitted_count *= factor

    def set_half_life(self, now_ms: float, half_life_ms: float) -> None:
        """Change the half-life of counts from now on; their current weights stay."""
        previous_ms, self._half_life_ms = self._half_life_ms, max(half_life_ms, MIN_HALF_LIFE_MS)
        self._epoch_ms = now_ms - (now_ms - self._epoch_ms) * (self._half_life_ms / previous_ms)

    def record_request(self, now_ms: float, key: int, size_kb: float, chunk_index: int) -> None:
        """Count one request of a chunk of an object. `size_kb` is 0 where it is unknown."""
        weight = self._current_weight(now_ms)
        item = self._table.get(key)
        if item is None:
            if len(self._table) >= MAX_TRACKED_OBJECTS:
                self._evict_less_popular_half()
            item = self._table[key] = ObjectCount(size_kb)
        item.count += weight
        item.size_kb += (size_kb - item.size_kb) / min(MAX_SIZE_SAMPLES, item.chunks + 1) if size_kb else 0.0
        item.chunks = max(item.chunks, chunk_index + 1)
        self._total_count += weight
        self._total_kb += weight * size_kb
        self._requests_seen += 1
        if self._requests_seen >= self._rebuild_at:
            self._rebuild_at = self._requests_seen + max(MIN_REQUESTS_PER_REBUILD, len(self._table) // 8)
            self._rebuild_ranks()

    def _evict_less_popular_half(self) -> None:
        """Drop half of the objects. They stay in the totals, or the shares of others would be overstated."""
        by_count = sorted(self._table, key=lambda key: (-self._table[key].count, key))
        self._table = {key: self._table[key] for key in by_count[: MAX_TRACKED_OBJECTS // 2]}

    @staticmethod
    def _density(item: ObjectCount) -> float:
        """Return requests per KB and chunk."""
        return item.count / (item.chunks * max(item.size_kb, 1.0))

    def _rebuild_ranks(self) -> None:
        """Find the smallest admitted count and the densities that separate the ranks."""
        items = sorted(self._table.items(), key=lambda pair: (-pair[1].count, pair[0]))
        cumulative_count, densities = 0.0, []
        for _, item in items:
            densities.append(self._density(item))
            cumulative_count += item.count
            self._min_admitted_count = item.count
            if cumulative_count >= ADMITTED_REQUEST_SHARE * self._total_count:
                break
        densities.sort(reverse=True)
        self._rank_densities = (densities[len(densities) // 3], densities[2 * len(densities) // 3])

    def is_untrained(self) -> bool:
        """Return whether too few requests were counted for a ranking."""
        return self._requests_seen < MIN_REQUESTS_FOR_RANKING

    def is_admitted(self, key: int) -> bool:
        """Return whether the object is popular enough to be cached."""
        item = self._table.get(key)
        return item is not None and item.count >= self._min_admitted_count

    def cache_rank(self, key: int) -> int:
        """Return the rank, 1 to 3, at which a copy is stored; 0 if it is not to be stored."""
        if self.is_untrained():
            return 1
        if not self.is_admitted(key):
            return 0
        density = self._density(self._table[key])
        return 3 if density > self._rank_densities[0] else 2 if density > self._rank_densities[1] else 1

    def byte_share(self, key: int) -> float:
        """Return the share of all requested bytes that one chunk of an admitted object makes up, else 0."""
        item = self._table.get(key) if not self.is_untrained() and self.is_admitted(key) else None
        return (
            item.count * item.size_kb / item.chunks / self._total_kb if item and self._total_kb > 0 else 0.0
        )

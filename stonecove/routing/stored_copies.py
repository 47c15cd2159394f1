"""Record of the caches that probably store copies of objects."""

from __future__ import annotations

import math
from typing import NamedTuple

from stonecove.routing.endpoints import NodeId
from stonecove.routing.popularity import MAX_TRACKED_OBJECTS

EVICTIONS_PER_RECORD = 2


class StoredCopy(NamedTuple):
    """A chunk of an object at a cache."""

    object_key: int
    chunk_index: int
    node_id: NodeId


class StoredCopies:
    """Record, in a bounded table, when this router last had each copy stored."""

    def __init__(self) -> None:
        self.stored_at_ms: dict[StoredCopy, float] = {}

    def record(self, now_ms: float, copy: StoredCopy, lifetime_ms: float) -> None:
        """Record a copy. A few copies older than `lifetime_ms` are evicted at each call."""
        self.stored_at_ms.pop(copy, None)
        self.stored_at_ms[copy] = now_ms
        for _ in range(EVICTIONS_PER_RECORD):
            oldest = next(iter(self.stored_at_ms))
            is_recent = now_ms - self.stored_at_ms[oldest] <= lifetime_ms
            if len(self.stored_at_ms) < MAX_TRACKED_OBJECTS and is_recent:
                break
            del self.stored_at_ms[oldest]

    def last_stored_ms(self, copy: StoredCopy) -> float:
        """Return when the copy was last stored; minus infinity if unknown."""
        return self.stored_at_ms.get(copy, -math.inf)

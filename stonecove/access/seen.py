"""Replay protection: the ids of single-use tokens, remembered until they expire, in bounded memory.

Ids are compared by 64-bit hashes under a seed that is new with each process, so that nobody can craft two
that collide. When the cache is full, requests are refused rather than accepted without replay protection; a
share of the capacity is reserved for the highest-priority class. A clock that is set back allows no
replay: the ids that were dropped had expired by the latest time observed, so an id that expires before that
time counts as used.
"""

from __future__ import annotations

import math
import secrets
from enum import Enum

import xxhash

RESERVED_FRACTION = 0.05  # of the capacity, for the highest-priority class


class ReplayStatus(Enum):
    """Whether an id was presented before."""

    NEW = "new"
    SEEN_BEFORE = "again"
    FULL = "full"


class ReplayCache:
    """Time wheel of sets of 64-bit hashes, one set for each interval of expiry."""

    def __init__(self, max_ids: int, bucket_s: float = 10.0, seed: int | None = None) -> None:
        """Create a cache of at most `max_ids` ids, in buckets of `bucket_s` seconds of expiry."""
        self.max_ids, self._bucket_s = max_ids, bucket_s
        self._seed = secrets.randbits(64) if seed is None else seed
        self._buckets: dict[int, set[int]] = {}
        self._count = 0
        self._latest_s = -math.inf
        self._swept_at_s = -math.inf

    def __len__(self) -> int:
        return self._count

    def check_and_add(
        self, token_id: str, expires: float, now: float, high_priority: bool = False
    ) -> ReplayStatus:
        """Record an id until it expires, and return whether it was there. Times are Unix seconds."""
        self._latest_s = max(self._latest_s, now)
        if self._latest_s >= self._swept_at_s + self._bucket_s:
            self._sweep()
        if expires < self._latest_s:
            return ReplayStatus.SEEN_BEFORE  # its bucket may have been dropped already
        digest = xxhash.xxh3_64_intdigest(token_id.encode(), seed=self._seed)
        bucket = self._buckets.get(self._bucket_index(expires))
        if bucket is not None and digest in bucket:
            return ReplayStatus.SEEN_BEFORE
        if self._count >= (self.max_ids if high_priority else self.max_ids * (1 - RESERVED_FRACTION)):
            return ReplayStatus.FULL
        if bucket is None:
            bucket = self._buckets[self._bucket_index(expires)] = set()
        bucket.add(digest)
        self._count += 1
        return ReplayStatus.NEW

    def forget(self, token_id: str, expires: float) -> None:
        """Remove the id of a token whose request was not executed, so that it may be presented again."""
        bucket = self._buckets.get(self._bucket_index(expires))
        digest = xxhash.xxh3_64_intdigest(token_id.encode(), seed=self._seed)
        if bucket is not None and digest in bucket:
            bucket.remove(digest)
            self._count -= 1

    def _bucket_index(self, expires: float) -> int:
        return math.floor(expires / self._bucket_s) if math.isfinite(expires) else 1 << 62

    def _sweep(self) -> None:
        """Drop the buckets in which all ids have expired."""
        self._swept_at_s = self._latest_s
        expired = [index for index in self._buckets if (index + 1) * self._bucket_s <= self._latest_s]
        for index in expired:
            self._count -= len(self._buckets.pop(index))


class DictReplayCache:
    """Reference implementation of `ReplayCache` as one dict, for tests and benchmarks."""

    def __init__(self, max_ids: int, sweep_interval_s: float = 10.0) -> None:
        """Create a cache of at most `max_ids` ids, swept every `sweep_interval_s` seconds."""
        self.max_ids, self._sweep_interval_s = max_ids, sweep_interval_s
        self._expiries: dict[str, float] = {}
        self._swept_at_s = -math.inf

    def __len__(self) -> int:
        return len(self._expiries)

    def check_and_add(
        self, token_id: str, expires: float, now: float, high_priority: bool = False
    ) -> ReplayStatus:
        """Record an id until it expires, and return whether it was there. Times are Unix seconds."""
        if now >= self._swept_at_s + self._sweep_interval_s:
            self._swept_at_s = now
            self._expiries = {known: until for known, until in self._expiries.items() if until >= now}
        if token_id in self._expiries:
            return ReplayStatus.SEEN_BEFORE
        if len(self._expiries) >= self.max_ids:
            return ReplayStatus.FULL
        self._expiries[token_id] = expires
        return ReplayStatus.NEW

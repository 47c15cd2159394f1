"""Tokens that were seen, until they expire: a wheel of buckets by expiry, bounded.

Ids are told by 64 bits under a key that is new with each process, so that nobody can make two that collide.
When the memory is full, what is asked for is refused rather than let through a second time, but for a part
that is kept for the most valued class. A clock that is set back forgets nothing: what was dropped had expired
by the clock of then, so ids that expire before the latest moment seen count as seen.
"""

from __future__ import annotations

import math
import secrets
from enum import Enum

import xxhash

FLOOR_PART = 0.05  # of the memory, for the most valued class


class Seen(Enum):
    """What the memory says of an id."""

    NEW = "new"
    AGAIN = "again"
    FULL = "full"


class SeenIds:
    """A time wheel of sets of 64-bit ids."""

    def __init__(self, most: int, grain: float = 10.0, seed: int | None = None) -> None:
        """`most` ids; buckets of `grain` seconds."""
        self.most, self._grain = most, grain
        self._seed = secrets.randbits(64) if seed is None else seed
        self._buckets: dict[int, set[int]] = {}
        self._count = 0
        self._latest = -math.inf
        self._swept = -math.inf

    def __len__(self) -> int:
        return self._count

    def see(self, ident: str, expires: float, now: float, valued: bool = False) -> Seen:
        """Notes an id that is good until then."""
        self._latest = max(self._latest, now)
        if self._latest >= self._swept + self._grain:
            self._sweep()
        if expires < self._latest:
            return Seen.AGAIN  # it may have been seen, and forgotten
        short = xxhash.xxh3_64_intdigest(ident.encode(), seed=self._seed)
        bucket = self._buckets.get(self._place(expires))
        if bucket is not None and short in bucket:
            return Seen.AGAIN
        if self._count >= (self.most if valued else self.most * (1 - FLOOR_PART)):
            return Seen.FULL
        if bucket is None:
            bucket = self._buckets[self._place(expires)] = set()
        bucket.add(short)
        self._count += 1
        return Seen.NEW

    def forget(self, ident: str, expires: float) -> None:
        """What was asked for under it never ran: it may come once more."""
        bucket = self._buckets.get(self._place(expires))
        short = xxhash.xxh3_64_intdigest(ident.encode(), seed=self._seed)
        if bucket is not None and short in bucket:
            bucket.remove(short)
            self._count -= 1

    def _place(self, expires: float) -> int:
        return math.floor(expires / self._grain) if math.isfinite(expires) else 1 << 62

    def _sweep(self) -> None:
        """Drops whole buckets whose time is over."""
        self._swept = self._latest
        over = [place for place in self._buckets if (place + 1) * self._grain <= self._latest]
        for place in over:
            self._count -= len(self._buckets.pop(place))


class PlainSeen:
    """The same as one dict, looked through when it is swept: what the wheel is measured against."""

    def __init__(self, most: int, grain: float = 10.0) -> None:
        """`most` ids, swept every `grain` seconds."""
        self.most, self._grain = most, grain
        self._ids: dict[str, float] = {}
        self._swept = -math.inf

    def __len__(self) -> int:
        return len(self._ids)

    def see(self, ident: str, expires: float, now: float, valued: bool = False) -> Seen:
        """Notes an id that is good until then."""
        if now >= self._swept + self._grain:
            self._swept = now
            self._ids = {one: until for one, until in self._ids.items() if until >= now}
        if ident in self._ids:
            return Seen.AGAIN
        if len(self._ids) >= self.most:
            return Seen.FULL
        self._ids[ident] = expires
        return Seen.NEW

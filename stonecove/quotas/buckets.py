"""A hierarchy of token buckets: fleet, zone, class, client. No I/O; times are seconds of a steady clock.

A request takes one token from its leaf and from each bucket above it, all or none. A bucket that is empty may
borrow from its parent what its siblings leave unused, up to `ceil` tokens a second; the floor of the class
with the highest priority is reserved at every level and cannot be borrowed by others.

Source: hierarchical token buckets as in the Linux `tc-htb` description (rate, ceil, borrowing from the
parent).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_CLIENT_BUCKETS = 10_000  # beyond this the least recently used client starts over


@dataclass(slots=True)
class Bucket:
    """A bucket: `rate` tokens a second, at most `burst`; `ceil` tokens a second including borrowed ones."""

    rate: float
    burst: float
    ceil: float
    parent: Bucket | None = None
    tokens: float = 0.0
    ceil_tokens: float = 0.0
    refilled_at_s: float = -1.0

    def __post_init__(self) -> None:
        if not 0 <= self.rate <= self.ceil or self.burst <= 0:
            raise ValueError("a bucket needs 0 <= rate <= ceil and a positive burst")
        self.tokens, self.ceil_tokens = self.burst, self.burst

    def refill(self, now_s: float) -> None:
        """Add the tokens earned since the last refill; a clock that was set back adds none."""
        if self.refilled_at_s >= 0:
            elapsed_s = max(0.0, now_s - self.refilled_at_s)
            self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate)
            self.ceil_tokens = min(self.burst, self.ceil_tokens + elapsed_s * self.ceil)
        self.refilled_at_s = now_s


class BucketHierarchy:
    """Buckets of the fleet, its zones, classes and clients, with a floor for one class."""

    def __init__(self, rate: float, burst: float, floor_fraction: float = 0.0, floor_class: str = "") -> None:
        """Allow `rate` requests a second in total, `floor_fraction` of them to `floor_class` alone.

        Raise ValueError for a floor that leaves nothing to the other classes.
        """
        if not 0.0 <= floor_fraction < 1.0:
            raise ValueError("the floor must be a fraction below 1")
        self._floor_class = floor_class
        self.fleet_bucket = Bucket(
            rate * (1.0 - floor_fraction),
            max(1.0, burst * (1.0 - floor_fraction)),
            rate * (1.0 - floor_fraction),
        )
        self.floor_bucket = (
            Bucket(rate * floor_fraction, max(1.0, burst * floor_fraction), rate * floor_fraction)
            if floor_fraction
            else None
        )
        self._buckets: dict[tuple[str, ...], Bucket] = {}
        self._client_buckets: OrderedDict[tuple[str, ...], Bucket] = OrderedDict()
        self._client_limit: tuple[float, float] | None = None

    def add_bucket(self, path: tuple[str, ...], rate: float, burst: float, ceil: float) -> None:
        """Set the bucket at (zone), (zone, class) or (zone, class, client).

        Its parent must exist, unless that is the fleet's; raise ValueError otherwise.
        """
        if not 1 <= len(path) <= 3:
            raise ValueError("a path is zone, class and client")
        parent = self.fleet_bucket if len(path) == 1 else self._buckets.get(path[:-1])
        if parent is None:
            raise ValueError(f"no bucket at {'/'.join(path[:-1])}")
        self._buckets[path] = Bucket(rate, burst, ceil, parent)

    def limit_each_client(self, burst: float, ceil: float) -> None:
        """Limit each client that has no bucket. Nothing is reserved for it, all its tokens are borrowed.

        Raise ValueError for limits that no bucket can have.
        """
        Bucket(0.0, burst, ceil)
        self._client_limit = burst, ceil

    def _client_bucket(self, path: tuple[str, ...]) -> Bucket | None:
        """Return the client's bucket, which is created on its first request."""
        if self._client_limit is None or not path[-1] or path in self._buckets:
            return None
        bucket = self._client_buckets.get(path)
        if bucket is None:
            if len(self._client_buckets) >= MAX_CLIENT_BUCKETS:
                self._client_buckets.popitem(last=False)
            parent = self._buckets.get(path[:2]) or self._buckets.get(path[:1]) or self.fleet_bucket
            burst, ceil = self._client_limit
            bucket = self._client_buckets[path] = Bucket(0.0, burst, ceil, parent)
            bucket.tokens = 0.0
        else:
            self._client_buckets.move_to_end(path)
        return bucket

    def _bucket_chain(self, path: tuple[str, ...]) -> list[Bucket]:
        """Return the buckets from the deepest existing one up to the fleet's."""
        client = self._client_bucket(path)
        for length in range(len(path), 0, -1):
            if client is not None or path[:length] in self._buckets:
                found, bucket = [], client if client is not None else self._buckets[path[:length]]
                while bucket is not None:
                    found.append(bucket)
                    bucket = bucket.parent  # type: ignore[assignment]
                return found
        return [self.fleet_bucket]

    def take(self, zone: str, cls: str, client: str, now_s: float) -> str:
        """Take one token; return "" if the request is admitted, else the name of the exhausted limit."""
        path = (zone, cls, client)
        chain = self._bucket_chain(path)
        for bucket in chain:
            bucket.refill(now_s)
        if cls == self._floor_class and self.floor_bucket is not None:
            self.floor_bucket.refill(now_s)
            if self.floor_bucket.tokens >= 1.0:
                self.floor_bucket.tokens -= 1.0
                return ""
        # The nearest bucket with tokens pays: a bucket's own rate needs no permission from above. More is
        # borrowed from the buckets above, up to the ceiling of each bucket on the way there.
        for depth, bucket in enumerate(chain):
            if bucket.tokens >= 1.0:
                break
            if bucket.ceil_tokens < 1.0:
                return self._limit_name(path, chain, depth)
        else:
            return "fleet"
        for bucket in chain:
            # Children that use their own rate may take a parent below zero; nothing is borrowed from it then.
            bucket.tokens = max(-bucket.burst, bucket.tokens - 1.0)
            bucket.ceil_tokens = max(-bucket.burst, bucket.ceil_tokens - 1.0)
        return ""

    def take_many(self, path: tuple[str, str, str], max_count: int, now_s: float) -> tuple[int, str]:
        """Take up to `max_count` tokens; return their number and the limit that withheld the others."""
        for count in range(max_count):
            if limit_name := self.take(*path, now_s):
                return count, limit_name
        return max_count, ""

    def _limit_name(self, path: tuple[str, ...], chain: list[Bucket], depth: int) -> str:
        """Return the path of a bucket in the chain; a client created on demand is not identified."""
        bucket = chain[depth]
        if bucket is self.fleet_bucket:
            return "fleet"
        for name, each in self._buckets.items():
            if each is bucket:
                return "/".join(name)
        return "/".join((*path[:2], "client"))

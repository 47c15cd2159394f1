"""A hierarchy of token buckets: fleet, zone, class, client. Knows no I/O; times are seconds of a steady
clock.

A request takes one token from its leaf and from each bucket above it, all or none. A bucket that is empty
may borrow from its parent what its siblings leave unused, up to `borrow` times its own rate; the floor of
the most valued class is set aside at every level and can't be borrowed by others.

Source: hierarchical token buckets as in the Linux `tc-htb` description (rate, ceil, borrowing from the
parent).
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MOST_CLIENTS = 10_000  # with a bucket of their own; the one unused for longest begins anew


@dataclass(slots=True)
class Bucket:
    """One bucket: `rate` tokens a second, `burst` at most; `ceil` tokens a second with what it borrows."""

    rate: float
    burst: float
    ceil: float
    parent: Bucket | None = None
    tokens: float = 0.0
    ceil_tokens: float = 0.0
    at: float = -1.0

    def __post_init__(self) -> None:
        if not 0 <= self.rate <= self.ceil or self.burst <= 0:
            raise ValueError("a bucket needs 0 <= rate <= ceil, and a burst")
        self.tokens, self.ceil_tokens = self.burst, self.burst

    def fill(self, now: float) -> None:
        """Adds what has come since; a clock that was set back adds nothing."""
        if self.at >= 0:
            passed = max(0.0, now - self.at)
            self.tokens = min(self.burst, self.tokens + passed * self.rate)
            self.ceil_tokens = min(self.burst, self.ceil_tokens + passed * self.ceil)
        self.at = now


class Hierarchy:
    """Fleet, zones, classes and clients, with a floor for the most valued class."""

    def __init__(self, rate: float, burst: float, floor: float = 0.0, floor_class: str = "") -> None:
        """`rate` requests a second in all; `floor`: part of it that only `floor_class` may use."""
        if not 0.0 <= floor < 1.0:
            raise ValueError("the floor is a part below 1")
        self._floor_class = floor_class
        self.common = Bucket(rate * (1.0 - floor), max(1.0, burst * (1.0 - floor)), rate * (1.0 - floor))
        self.floor = Bucket(rate * floor, max(1.0, burst * floor), rate * floor) if floor else None
        self._nodes: dict[tuple[str, ...], Bucket] = {}
        self._clients: OrderedDict[tuple[str, ...], Bucket] = OrderedDict()
        self._each: tuple[float, float] | None = None

    def set(self, path: tuple[str, ...], rate: float, burst: float, ceil: float) -> None:
        """A bucket at (zone), (zone, class) or (zone, class, client); its parent must be there, or is the
        fleet.
        """
        if not 1 <= len(path) <= 3:
            raise ValueError("a path is zone, class and client")
        parent = self.common if len(path) == 1 else self._nodes.get(path[:-1])
        if parent is None:
            raise ValueError(f"no bucket at {'/'.join(path[:-1])}")
        self._nodes[path] = Bucket(rate, burst, ceil, parent)

    def each_client(self, burst: float, ceil: float) -> None:
        """A bound for each client of a class that has no bucket: nothing is set aside for it, all is
        borrowed.
        """
        Bucket(0.0, burst, ceil)
        self._each = burst, ceil

    def _client(self, path: tuple[str, ...]) -> Bucket | None:
        """The client's bucket, made when it is first seen."""
        if self._each is None or not path[-1] or path in self._nodes:
            return None
        bucket = self._clients.get(path)
        if bucket is None:
            if len(self._clients) >= MOST_CLIENTS:
                self._clients.popitem(last=False)
            parent = self._nodes.get(path[:2]) or self._nodes.get(path[:1]) or self.common
            burst, ceil = self._each
            bucket = self._clients[path] = Bucket(0.0, burst, ceil, parent)
            bucket.tokens = 0.0
        else:
            self._clients.move_to_end(path)
        return bucket

    def _chain(self, path: tuple[str, ...]) -> list[Bucket]:
        """The buckets from the deepest that there is up to the fleet's."""
        client = self._client(path)
        for length in range(len(path), 0, -1):
            if client is not None or path[:length] in self._nodes:
                found, bucket = [], client if client is not None else self._nodes[path[:length]]
                while bucket is not None:
                    found.append(bucket)
                    bucket = bucket.parent  # type: ignore[assignment]
                return found
        return [self.common]

    def take(self, zone: str, cls: str, client: str, now: float) -> str:
        """Takes one token; empty if it may go, else the name of the limit that refuses."""
        path = (zone, cls, client)
        chain = self._chain(path)
        for bucket in chain:
            bucket.fill(now)
        if cls == self._floor_class and self.floor is not None:
            self.floor.fill(now)
            if self.floor.tokens >= 1.0:
                self.floor.tokens -= 1.0
                return ""
        # The nearest bucket with tokens pays: one's own rate needs nobody's leave. More is borrowed from
        # above, up to the ceiling of each bucket on the way there.
        for place, bucket in enumerate(chain):
            if bucket.tokens >= 1.0:
                break
            if bucket.ceil_tokens < 1.0:
                return self._name(path, chain, place)
        else:
            return "fleet"
        for bucket in chain:
            # What others are owed by their own rate may take a parent below zero: then nobody borrows from
            # it.
            bucket.tokens = max(-bucket.burst, bucket.tokens - 1.0)
            bucket.ceil_tokens = max(-bucket.burst, bucket.ceil_tokens - 1.0)
        return ""

    def take_many(self, path: tuple[str, str, str], wanted: int, now: float) -> tuple[int, str]:
        """Takes up to so many tokens: how many there were, and the limit that held back the rest."""
        for count in range(wanted):
            if limit := self.take(*path, now):
                return count, limit
        return wanted, ""

    def _name(self, path: tuple[str, ...], chain: list[Bucket], place: int) -> str:
        """The bucket's own path; a client's is told without who it is."""
        bucket = chain[place]
        if bucket is self.common:
            return "fleet"
        for name, one in self._nodes.items():
            if one is bucket:
                return "/".join(name)
        return "/".join((*path[:2], "client"))

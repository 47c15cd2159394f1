"""A depot of limited capacity: request slots, a parent cache that fills, an origin that stops under overload.

Each request takes a service time in one of a server's slots. A request that would wait too long is rejected
at once. An origin that rejects more requests within a second than it can serve stops for a while, like one
that is overloaded by the retries of all rejected clients. Responses are sent in any order.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import socket
import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from stonecove.standins.depot import (
    WRITE,
    Cache,
    Depot,
    confirmation_response,
    copy_response,
    failure_response,
    part_name,
)


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """Capacity of the servers, in seconds and requests per second."""

    origin_per_s: float  # fetches per second
    work_s: float  # service time of one request at a cache or the parent
    slots: int = 4  # concurrent requests at a cache, and at the origin
    parent_slots: int = 16
    max_wait_s: float = 0.4  # a request that would wait longer is rejected
    stop_s: float = 2.0  # duration of an origin stop


class Fetch(NamedTuple):
    """A fill from the parent, or a fetch from the origin. `served`: whether it was not rejected."""

    at: float  # Unix ms
    kind: str  # `fill` or `origin`
    txn: str
    served: bool


class SlotQueue:
    """A queue before a fixed number of slots, each busy for the service time of its request."""

    def __init__(self, slots: int, max_wait_s: float) -> None:
        """Create a queue whose requests wait at most `max_wait_s`."""
        self._free_at = [0.0] * slots
        self._max_wait_s = max_wait_s

    def reserve(self, now_s: float, work_s: float) -> float | None:
        """Return the time at which the request completes, or None if it would wait too long."""
        if self._free_at[0] > now_s + self._max_wait_s:
            return None
        ends_at = max(now_s, self._free_at[0]) + work_s
        heapq.heapreplace(self._free_at, ends_at)
        return ends_at


class LoadedDepot(Depot):
    """All servers of a depot, with limited capacity."""

    def __init__(self, caches: int, weight: float, zones: int, capacity: ServerCapacity) -> None:
        """Start all servers. `weight`: link weight of a cache in the endpoint list."""
        self.capacity = capacity
        self.origin_speed_factor = 1.0  # the origin's current fraction of its capacity
        self.fetches: list[Fetch] = []
        self.origin_stop_times: list[float] = []  # Unix seconds at which the origin stopped
        self._rejected_at: deque[float] = deque()  # times of the origin's rejections within the last second
        self._stopped_until = 0.0
        self._queues: dict[int, SlotQueue] = {}
        # Unix seconds, by id of the cache or parent and name of the part.
        self._fill_ends_at: dict[tuple[int, str], float] = {}
        self._pending: list[tuple[float, int, socket.socket, bytes]] = []
        self._sequence = itertools.count()
        self._wake = threading.Condition()
        self._closed = False
        super().__init__(caches, weight, zones)
        for server in self.servers:
            slots = capacity.parent_slots if server is self.parent else capacity.slots
            self._queues[server.ident] = SlotQueue(slots, capacity.max_wait_s)
        self._answering = threading.Thread(target=self._answer_due, daemon=True)
        self._answering.start()

    def serve(self, cache: Cache, sock: socket.socket, txn: str, fields: dict[str, str]) -> None:
        """Reserve slots for a fetch, and queue its response for the time at which it completes."""
        with self._lock:
            answer_at, data = self._process(cache, txn, fields, time.time())
        with self._wake:
            heapq.heappush(self._pending, (answer_at, next(self._sequence), sock, data))
            self._wake.notify()

    def close(self) -> None:
        """Stop all servers."""
        with self._wake:
            self._closed = True
            self._wake.notify()
        self._answering.join()
        super().close()

    # -- processing --

    def _process(self, cache: Cache, txn: str, fields: dict[str, str], now: float) -> tuple[float, bytes]:
        """Return the time of the response, and the response."""
        name, source = part_name(fields), fields.get("from", "")
        write = fields["cls"] == WRITE
        max_age_ms = float(fields.get("oldest", 0))
        cached = (
            not write
            and self._fill_ends_at.get((cache.ident, name), 0.0) <= now
            and cache.has_copy(name, max_age_ms)
        )
        cache_status, filled_at = "hit", now
        if not cached:
            ends_at, cache_status = self._fill(cache, name, txn, source, now, max_age_ms, write)
            if ends_at is None:
                return now, failure_response(txn, b"500", cache_status)
            filled_at = ends_at
        answered_at = self._queues[cache.ident].reserve(filled_at, self.capacity.work_s)
        if answered_at is None and not write:
            return now, failure_response(txn, b"503", "")
        if write:
            self._run_counts[txn] += 1
            return filled_at, confirmation_response(txn)
        assert answered_at is not None
        created_ms, _ = cache.copy(name, max_age_ms)
        self._served_copies.append((now * 1000.0, created_ms))
        return answered_at, copy_response(txn, fields, created_ms, cache_status, (filled_at - now) * 1000.0)

    def _fill(
        self, cache: Cache, name: str, txn: str, source: str, now: float, max_age_ms: float, write: bool
    ) -> tuple[float | None, str]:
        """Return when the content is available and its cache status, or None and the reason for failure."""
        if not source:
            return None, "src_lacks"
        joined_until = self._fill_ends_at.get((cache.ident, name), 0.0)
        if joined_until > now and not write:
            return joined_until, "joined"
        from_parent = source == f"s-{self.parent.ident:08x}"
        ends_at: float | None = now
        if from_parent:
            ends_at = self._queues[self.parent.ident].reserve(now, self.capacity.work_s)
            self.fetches.append(Fetch(now * 1000.0, "fill", txn, ends_at is not None))
            if ends_at is None:
                return None, "src_refused"
        shares_fill = from_parent and not write
        running_fill_ends_at = self._fill_ends_at.get((self.parent.ident, name), 0.0) if shares_fill else 0.0
        if running_fill_ends_at > now or not shares_fill or not self.parent.has_copy(name, max_age_ms):
            ends_at = running_fill_ends_at if running_fill_ends_at > now else self._from_origin(txn, now)
            if ends_at is None:
                return None, "origin_failed" if from_parent else "src_refused"
            if shares_fill:
                self._fill_ends_at[self.parent.ident, name] = ends_at
                self.parent.copy(name, max_age_ms)
        assert ends_at is not None
        if not write:
            self._fill_ends_at[cache.ident, name] = ends_at
        return ends_at, "filled" if from_parent else "via_origin"

    def _from_origin(self, txn: str, now: float) -> float | None:
        ends_at = None
        if now >= self._stopped_until:
            work_s = self.capacity.slots / (self.capacity.origin_per_s * self.origin_speed_factor)
            ends_at = self._queues[self.origin.ident].reserve(now, work_s)
        self.fetches.append(Fetch(now * 1000.0, "origin", txn, ends_at is not None))
        if ends_at is None and now >= self._stopped_until:
            self._rejected_at.append(now)
            while self._rejected_at[0] < now - 1.0:
                self._rejected_at.popleft()
            if len(self._rejected_at) > self.capacity.origin_per_s:
                self.origin_stop_times.append(now)
                self._stopped_until = now + self.capacity.stop_s
                self._rejected_at.clear()
        return ends_at

    def _answer_due(self) -> None:
        while True:
            with self._wake:
                while not self._closed and (not self._pending or self._pending[0][0] > time.time()):
                    self._wake.wait(self._pending[0][0] - time.time() if self._pending else None)
                if self._closed:
                    return
                _, _, sock, data = heapq.heappop(self._pending)
            with contextlib.suppress(OSError):
                sock.sendall(data)

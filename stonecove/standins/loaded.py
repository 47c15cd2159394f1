"""A depot that bears only so much: links with places, parents that fill, an origin that stops when pressed.

What a server is given takes its time on a line with so many places. Who would wait for too long is turned
away at once. An origin that turned away more than it serves in a second stops for a while, as one does that
is asked again and again by all who were turned away. Answers come in any order.
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

from stonecove.standins.depot import WRITE, Cache, Depot, confirmed, copied, failed, name_of


@dataclass(frozen=True, slots=True)
class Bears:
    """What the servers bear. Seconds, and requests a second."""

    origin: float  # fetches a second
    work: float  # of one request on a cache's or the parent's line
    places: int = 4  # of a cache's line, and of the origin
    parent_places: int = 16
    patience: float = 0.4  # nobody waits for longer on a line
    stop: float = 2.0  # for which the origin stops


class Fetch(NamedTuple):
    """A fill from the parent, or a fetch from the origin. `served`: it was not turned away."""

    at: float  # Unix ms
    what: str  # fill, origin
    txn: str
    served: bool


class Line:
    """So many places, each taken for as long as its work."""

    def __init__(self, places: int, patience: float) -> None:
        self._free = [0.0] * places
        self._patience = patience

    def take(self, now: float, work: float) -> float | None:
        """When the work is done; None where it would wait for too long."""
        if self._free[0] > now + self._patience:
            return None
        ends = max(now, self._free[0]) + work
        heapq.heapreplace(self._free, ends)
        return ends


class LoadedDepot(Depot):
    """All servers of a depot, which bear so much and no more."""

    def __init__(self, caches: int, weight: float, zones: int, bears: Bears) -> None:
        """`weight`: as a cache's link is told in the list."""
        self.bears, self.pace = bears, 1.0  # the origin's pace now, of what it bears
        self.fetches: list[Fetch] = []
        self.stops: list[float] = []  # Unix seconds at which the origin stopped
        self._turned: deque[float] = deque()  # when it turned somebody away, within a second
        self._stopped_until = 0.0
        self._lines: dict[int, Line] = {}
        self._fills: dict[tuple[int, str], float] = {}  # under way at a cache or parent, until when
        self._due: list[tuple[float, int, socket.socket, bytes]] = []
        self._order = itertools.count()
        self._wake = threading.Condition()
        self._over = False
        super().__init__(caches, weight, zones)
        for server in self.servers:
            places = bears.parent_places if server is self.parent else bears.places
            self._lines[server.ident] = Line(places, bears.patience)
        self._answering = threading.Thread(target=self._answer_due, daemon=True)
        self._answering.start()

    def serve(self, cache: Cache, sock: socket.socket, txn: str, fields: dict[str, str]) -> None:
        """Books the fetch on the lines that it takes, and answers it when it is through them."""
        with self._lock:
            at, data = self._through(cache, txn, fields, time.time())
        with self._wake:
            heapq.heappush(self._due, (at, next(self._order), sock, data))
            self._wake.notify()

    def close(self) -> None:
        """Ends all servers."""
        with self._wake:
            self._over = True
            self._wake.notify()
        self._answering.join()
        super().close()

    # -- within --

    def _through(self, cache: Cache, txn: str, fields: dict[str, str], now: float) -> tuple[float, bytes]:
        """When the answer comes, and which."""
        name, source = name_of(fields), fields.get("from", "")
        write = fields["cls"] == WRITE
        oldest = float(fields.get("oldest", 0))
        held = not write and self._fills.get((cache.ident, name), 0.0) <= now and cache.holds(name, oldest)
        tell, filled = "hit", now
        if not held:
            ends, tell = self._filled(cache, name, txn, source, now, oldest, write)
            if ends is None:
                return now, failed(txn, b"500", tell)
            filled = ends
        through = self._lines[cache.ident].take(filled, self.bears.work)
        if through is None and not write:
            return now, failed(txn, b"503", "")
        if write:
            self._ran[txn] += 1
            return filled, confirmed(txn)
        assert through is not None
        born, _ = cache.copy(name, oldest)
        self._answers.append((now * 1000.0, born))
        return through, copied(txn, fields, born, tell, (filled - now) * 1000.0)

    def _filled(
        self, cache: Cache, name: str, txn: str, source: str, now: float, oldest: float, write: bool
    ) -> tuple[float | None, str]:
        """When the bytes are there and how they came, or None and why not."""
        if not source:
            return None, "src_lacks"
        joined = self._fills.get((cache.ident, name), 0.0)
        if joined > now and not write:
            return joined, "joined"
        parent = source == f"s-{self.parent.ident:08x}"
        ends: float | None = now
        if parent:
            ends = self._lines[self.parent.ident].take(now, self.bears.work)
            self.fetches.append(Fetch(now * 1000.0, "fill", txn, ends is not None))
            if ends is None:
                return None, "src_refused"
        joins = parent and not write
        under_way = self._fills.get((self.parent.ident, name), 0.0) if joins else 0.0
        if under_way > now or not joins or not self.parent.holds(name, oldest):
            ends = under_way if under_way > now else self._from_origin(txn, now)
            if ends is None:
                return None, "origin_failed" if parent else "src_refused"
            if joins:
                self._fills[self.parent.ident, name] = ends
                self.parent.copy(name, oldest)
        assert ends is not None
        if not write:
            self._fills[cache.ident, name] = ends
        return ends, "filled" if parent else "via_origin"

    def _from_origin(self, txn: str, now: float) -> float | None:
        ends = None
        if now >= self._stopped_until:
            work = self.bears.places / (self.bears.origin * self.pace)
            ends = self._lines[self.origin.ident].take(now, work)
        self.fetches.append(Fetch(now * 1000.0, "origin", txn, ends is not None))
        if ends is None and now >= self._stopped_until:
            self._turned.append(now)
            while self._turned[0] < now - 1.0:
                self._turned.popleft()
            if len(self._turned) > self.bears.origin:
                self.stops.append(now)
                self._stopped_until = now + self.bears.stop
                self._turned.clear()
        return ends

    def _answer_due(self) -> None:
        while True:
            with self._wake:
                while not self._over and (not self._due or self._due[0][0] > time.time()):
                    self._wake.wait(self._due[0][0] - time.time() if self._due else None)
                if self._over:
                    return
                _, _, sock, data = heapq.heappop(self._due)
            with contextlib.suppress(OSError):
                sock.sendall(data)

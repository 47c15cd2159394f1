"""A depot in threads: caches, a parent, an origin and a change log, as PROTOCOL describes them."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from ipaddress import IPv4Address
from typing import NamedTuple

from stonecove.protocols import resp
from stonecove.protocols.buffer import Buffer

NOTHING, WHOLE_LIST, CHANGES, OBJECT_PURGE, GROUP_PURGE = range(5)  # kinds of frames
_HEAD = struct.Struct(">IQB")
_RECORD = struct.Struct(">IIHBBBHIQ")
_STATES = {"up": 0, "draining": 1, "removed": 2}
SETTLES = 6000.0  # ms after a purge in which a cache drops its copies; routers ask for none till then
_KINDS = ("small-box", "parent", "origin")
WRITE = "pick-confirm"  # the class that has an effect
HOST = "127.0.0.1"


class Fetched(NamedTuple):
    """A request that came to a server. `source`: from where it may fill, as its id is written."""

    at: float  # Unix ms
    cache: int
    txn: str
    cls: str
    source: str


class _Listener:
    """Accepts connections in threads of their own, until it is closed."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._sock = socket.create_server((HOST, 0))
        self.port: int = self._sock.getsockname()[1]
        self._accepted: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self._accepted.append(sock)
            threading.Thread(target=self._one, args=(sock,), daemon=True).start()

    def _one(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, resp.RespError, struct.error), sock:
            self._serve(sock)

    def close(self) -> None:
        """Ends the listener and all its connections."""
        for sock in (self._sock, *self._accepted):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Cache:
    """A cache that answers each fetch of an object with a copy that it made when it was first asked."""

    def __init__(self, ident: int, kind: int, depot: Depot) -> None:
        self.ident, self.kind = ident, kind
        self.state = "up"
        self.zone = 0 if kind else 1  # its place in the settings' list
        self.fetches = 0
        self.started = 0.0  # Unix ms; 0: long ago
        self.book: list[float] = []  # Unix ms of each fetch since then
        self._depot = depot
        self._copies: dict[str, float] = {}
        self._listener = _Listener(self._serve)
        self.port = self._listener.port

    def _commands(self, sock: socket.socket) -> Iterator[list[bytes]]:
        buffer, decoder = Buffer(1 << 20), resp.Decoder()
        while data := sock.recv(65_536):
            buffer.feed(data)
            yield from decoder.arrays(buffer)

    def _serve(self, sock: socket.socket) -> None:
        self._depot.connects.append(time.time() * 1000.0)
        for command in self._commands(sock):
            if command[0] == b"fetch":
                self._fetch(sock, command)

    def _fetch(self, sock: socket.socket, command: list[bytes]) -> None:
        fields = resp.parse_fields(command[2])
        self.fetches += 1
        self._depot.seen.append(
            Fetched(
                time.time() * 1000.0, self.ident, command[1].decode(), fields["cls"], fields.get("from", "")
            )
        )
        if self.started:
            self.book.append(time.time() * 1000.0)
        self._depot.serve(self, sock, command[1].decode(), fields)

    def holds(self, name: str, oldest: float) -> bool:
        """Whether it has a copy that will do."""
        now = time.time() * 1000.0
        least = max(now - oldest if oldest else 0.0, self._depot.settled(now))
        return name in self._copies and self._copies[name] >= least

    def copy(self, name: str, oldest: float) -> tuple[float, bool]:
        """When its copy was born, and whether it was there; one too old is made anew."""
        held = self.holds(name, oldest)
        if not held:
            self._copies[name] = time.time() * 1000.0
        return self._copies[name], held

    def forget(self) -> None:
        """Its process was started anew: it is cold and empty, and keeps the book on what it is sent."""
        self._copies.clear()
        self.book = []
        self.started = float(int(time.time() * 1000.0))

    def die(self) -> None:
        """The process ends: its connections are reset and new ones refused."""
        self._listener.close()


def name_of(fields: dict[str, str]) -> str:
    """Of the part of an object that is asked for."""
    return f"{fields['item']}/{fields['chunk']}"


def confirmed(txn: str) -> bytes:
    """The answer to a write."""
    words = [("tell", "filled"), ("ver", "c0"), ("born", f"{time.time() * 1000:.0f}")]
    return resp.encode(txn.encode(), b"200", resp.format_fields(words), b"confirmed")


def copied(txn: str, fields: dict[str, str], born: float, tell: str, waited: float) -> bytes:
    """The answer to a read: a copy that was born then, and how it came. `waited`: ms."""
    item = int(fields["item"], 16)
    words = [("tell", tell), ("ver", f"v{item:x}"), ("born", f"{born:.0f}"), ("waited", f"{waited:.0f}")]
    return resp.encode(txn.encode(), b"200", resp.format_fields(words), f"{item:x}:".encode() + bytes(2000))


def failed(txn: str, status: bytes, tell: str) -> bytes:
    """An answer without a copy."""
    return resp.encode(txn.encode(), status, resp.format_fields([("tell", tell)]), b"")


def event_frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """A frame of the change log; one of kind `NOTHING` only tells the number of the last event."""
    return _HEAD.pack(9 + len(payload), number, kind) + payload


def member_record(cache: Cache, host: str, state: str, weight: float) -> bytes:
    """What the change log tells of a server that is up, draining or removed."""
    address, told, thousandths = int(IPv4Address(host)), _STATES[state], round(weight * 1000)
    return _RECORD.pack(cache.ident, address, cache.port, told, cache.zone, cache.kind, 0, thousandths,
                        int(cache.started))  # fmt: skip


def object_purge(key: int, moment: float) -> bytes:
    """The payload of an `OBJECT_PURGE` of that Unix millisecond."""
    return struct.pack(">QQ", key, int(moment))


def group_purge(group: int, moment: float) -> bytes:
    """The payload of a `GROUP_PURGE` of that Unix millisecond."""
    return struct.pack(">HQ", group, int(moment))


class Depot:
    """All servers of a depot, and what they have seen."""

    cache_type: type[Cache] = Cache

    def __init__(self, caches: int, weight: float = 20.0, zones: int = 1) -> None:
        """`weight`: transfers at once that a cache's link carries; caches stand in zones in turn."""
        self.weight = weight
        self._lock = threading.Lock()
        self._ran: Counter[str] = Counter()  # by id, for classes that have an effect
        self._purges: list[float] = []
        self._answers: list[tuple[float, float]] = []  # when, and the birth of the copy
        self.seen: list[Fetched] = []
        self.connects: list[float] = []  # Unix ms
        self.caches = [self.cache_type(0x11 + place, 0, self) for place in range(caches)]
        for place, cache in enumerate(self.caches):
            cache.zone = 1 + place % zones
        self.parent, self.origin = self.cache_type(0x21, 1, self), self.cache_type(0x31, 2, self)
        self.servers = [*self.caches, self.parent, self.origin]
        self._events: list[Callable[[str], bytes]] = []  # frames, by the host under which servers are known
        self._followers: list[tuple[str, socket.socket]] = []
        self._logs: list[_Listener] = []
        self.log_port = self.log_for(HOST)

    def serve(self, cache: Cache, sock: socket.socket, txn: str, fields: dict[str, str]) -> None:
        """Answers a fetch; raises OSError if the connection is gone."""
        sock.sendall(self.answer(cache, txn, fields))

    def answer(self, cache: Cache, txn: str, fields: dict[str, str]) -> bytes:
        """A cache's answer to a fetch."""
        with self._lock:
            if fields["cls"] == WRITE:
                self._ran[txn] += 1
                return confirmed(txn)
            born, held = cache.copy(name_of(fields), float(fields.get("oldest", 0)))
            self._answers.append((time.time() * 1000.0, born))
        return copied(txn, fields, born, "hit" if held else "filled", 1.0)

    def too_old(self, moment: float, grace: float = 500.0) -> int:
        """Answers given later than `grace` ms after then from a copy older than that."""
        with self._lock:
            return sum(at > moment + grace and born < moment for at, born in self._answers)

    def settled(self, now: float) -> float:
        """The latest purge that caches have carried out themselves by then; 0 if there is none."""
        return max((moment for moment in self._purges if moment < now - SETTLES), default=0.0)

    def repeated(self) -> int:
        """Requests with an effect that ran more than once."""
        with self._lock:
            return sum(count > 1 for count in self._ran.values())

    def log_for(self, host: str) -> int:
        """The port of one more change log, which tells that all servers are at that host."""
        self._logs.append(_Listener(partial(self._follow, host)))
        return self._logs[-1].port

    def known(self, host: str = HOST) -> dict[str, object]:
        """The list of the start, as JSON gives it."""
        entries = [
            {
                "instanceId": f"s-{cache.ident:08x}",
                "hostPort": f"{host}:{cache.port}",
                "zone": f"edge-{cache.zone}" if cache.zone else "central",
                "machineType": _KINDS[cache.kind],
                "cell": 0,
                "lifecycle": "up",
                "weight": self.weight,
                "startedAtMs": 0,
            }
            for cache in self.servers
        ]
        return {
            "seq": 1,
            "results": [{"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": entries}}],
        }

    def _follow(self, host: str, sock: socket.socket) -> None:
        (last,) = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))
        with self._lock:
            for event in self._events[max(0, last - 1) :]:
                sock.sendall(event(host))
            self._followers.append((host, sock))
        while True:
            time.sleep(1.0)
            with self._lock:
                sock.sendall(event_frame(len(self._events) + 1, NOTHING))

    def _tell(self, kind: int, payload: Callable[[str], bytes]) -> None:
        with self._lock:
            number = len(self._events) + 2

            def frame(host: str) -> bytes:
                return event_frame(number, kind, payload(host))

            self._events.append(frame)
            for host, sock in self._followers:
                with contextlib.suppress(OSError):
                    sock.sendall(frame(host))

    def tell_state(self, cache: Cache, state: str) -> None:
        """The list says that the cache is up, draining or removed."""
        cache.state = state
        self._tell(CHANGES, lambda host: member_record(cache, host, state, self.weight))

    def tell_purge(self, group: int) -> float:
        """Tells of the purge of a group; the Unix millisecond of it."""
        moment = time.time() * 1000.0
        self._purges.append(moment)
        self._tell(GROUP_PURGE, lambda host: group_purge(group, moment))
        return moment

    def close(self) -> None:
        """Ends all servers."""
        for cache in self.servers:
            cache.die()
        for log in self._logs:
            log.close()

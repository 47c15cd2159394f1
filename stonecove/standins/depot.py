"""A depot run in threads: caches, a parent cache, an origin and a change log, by the platform's protocol."""

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

NOTHING, WHOLE_LIST, CHANGES, OBJECT_PURGE, GROUP_PURGE = range(5)  # kinds of change log frames
_FRAME_HEADER = struct.Struct(">IQB")
_MEMBER_RECORD = struct.Struct(">IIHBBBHIQ")
_STATE_CODES = {"up": 0, "draining": 1, "removed": 2}
# Caches apply a purge within this time; until then, routers must not request copies older than the purge.
PURGE_SETTLING_MS = 6000.0
_MACHINE_TYPES = ("small-box", "parent", "origin")
WRITE = "pick-confirm"  # the request class with an effect
HOST = "127.0.0.1"


class ReceivedRequest(NamedTuple):
    """A request that a server received. `source`: id of the server that it may fill from, as sent."""

    at: float  # Unix ms
    cache: int
    txn: str
    cls: str
    source: str


class _Listener:
    """Accepts connections until it is closed, and serves each in its own thread."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._sock = socket.create_server((HOST, 0))
        self.port: int = self._sock.getsockname()[1]
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self._connections.append(sock)
            threading.Thread(target=self._serve_connection, args=(sock,), daemon=True).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, resp.RespError, struct.error), sock:
            self._serve(sock)

    def close(self) -> None:
        """Close the listening socket and all accepted connections."""
        for sock in (self._sock, *self._connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Cache:
    """A cache that answers each fetch with a stored copy, made at the first fetch of the object."""

    def __init__(self, ident: int, kind: int, depot: Depot) -> None:
        """Start a listener on a free port. `kind`: index of the machine type."""
        self.ident, self.kind = ident, kind
        self.state = "up"
        self.zone = 0 if kind else 1  # index in the list of areas in the settings
        self.fetches = 0
        self.started_ms = 0.0  # Unix ms; 0: long ago
        self.request_times_ms: list[float] = []  # Unix ms of each fetch since a restart
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
        self._depot.connection_times_ms.append(time.time() * 1000.0)
        for command in self._commands(sock):
            if command[0] == b"fetch":
                self._fetch(sock, command)

    def _fetch(self, sock: socket.socket, command: list[bytes]) -> None:
        fields = resp.parse_fields(command[2])
        self.fetches += 1
        self._depot.received_requests.append(
            ReceivedRequest(
                time.time() * 1000.0, self.ident, command[1].decode(), fields["cls"], fields.get("from", "")
            )
        )
        if self.started_ms:
            self.request_times_ms.append(time.time() * 1000.0)
        self._depot.serve(self, sock, command[1].decode(), fields)

    def has_copy(self, name: str, max_age_ms: float) -> bool:
        """Return whether a stored copy is no older than `max_age_ms` (0: any) and than settled purges."""
        now_ms = time.time() * 1000.0
        min_created_ms = max(
            now_ms - max_age_ms if max_age_ms else 0.0, self._depot.last_settled_purge(now_ms)
        )
        return name in self._copies and self._copies[name] >= min_created_ms

    def copy(self, name: str, max_age_ms: float) -> tuple[float, bool]:
        """Return the copy's creation time (Unix ms) and whether it was stored; replace an old copy."""
        cached = self.has_copy(name, max_age_ms)
        if not cached:
            self._copies[name] = time.time() * 1000.0
        return self._copies[name], cached

    def restart_empty(self) -> None:
        """Act as a newly started process: drop all copies, and record the time of each request."""
        self._copies.clear()
        self.request_times_ms = []
        self.started_ms = float(int(time.time() * 1000.0))

    def stop(self) -> None:
        """End the process: reset its connections and refuse new ones."""
        self._listener.close()


def part_name(fields: dict[str, str]) -> str:
    """Return the name of the requested part of an object."""
    return f"{fields['item']}/{fields['chunk']}"


def confirmation_response(txn: str) -> bytes:
    """Return the response to a write."""
    response_fields = [("tell", "filled"), ("ver", "c0"), ("born", f"{time.time() * 1000:.0f}")]
    return resp.encode(txn.encode(), b"200", resp.format_fields(response_fields), b"confirmed")


def copy_response(
    txn: str, fields: dict[str, str], created_ms: float, cache_status: str, waited_ms: float
) -> bytes:
    """Return the response to a read, with the copy's creation time (Unix ms) and how it was obtained."""
    item = int(fields["item"], 16)
    response_fields = [
        ("tell", cache_status),
        ("ver", f"v{item:x}"),
        ("born", f"{created_ms:.0f}"),
        ("waited", f"{waited_ms:.0f}"),
    ]
    return resp.encode(
        txn.encode(), b"200", resp.format_fields(response_fields), f"{item:x}:".encode() + bytes(2000)
    )


def failure_response(txn: str, status: bytes, cache_status: str) -> bytes:
    """Return a response without a copy."""
    return resp.encode(txn.encode(), status, resp.format_fields([("tell", cache_status)]), b"")


def event_frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    """Return a change log frame; one of kind `NOTHING` only reports the number of the last event."""
    return _FRAME_HEADER.pack(9 + len(payload), number, kind) + payload


def member_record(cache: Cache, host: str, state: str, weight: float) -> bytes:
    """Return the change log record of a server that is up, draining or removed."""
    address, code, weight_milli = (
        int(IPv4Address(host)),
        _STATE_CODES[state],
        round(weight * 1000),
    )
    return _MEMBER_RECORD.pack(
        cache.ident, address, cache.port, code, cache.zone, cache.kind, 0, weight_milli, int(cache.started_ms)
    )


def object_purge(key: int, purged_at_ms: float) -> bytes:
    """Return the payload of an `OBJECT_PURGE` at that time (Unix ms)."""
    return struct.pack(">QQ", key, int(purged_at_ms))


def group_purge(group: int, purged_at_ms: float) -> bytes:
    """Return the payload of a `GROUP_PURGE` at that time (Unix ms)."""
    return struct.pack(">HQ", group, int(purged_at_ms))


class Depot:
    """All servers of a depot, and a record of the requests that they received."""

    cache_type: type[Cache] = Cache

    def __init__(self, caches: int, weight: float = 20.0, zones: int = 1) -> None:
        """Start all servers.

        `weight`: concurrent transfers on a cache's link. Caches are assigned to the zones in turn.
        """
        self.weight = weight
        self._lock = threading.Lock()
        self._run_counts: Counter[str] = Counter()  # by transaction id, for classes with an effect
        self._purges: list[float] = []
        # (answered at, copy created at), in Unix ms
        self._served_copies: list[tuple[float, float]] = []
        self.received_requests: list[ReceivedRequest] = []
        self.connection_times_ms: list[float] = []  # Unix ms
        self.caches = [self.cache_type(0x11 + index, 0, self) for index in range(caches)]
        for index, cache in enumerate(self.caches):
            cache.zone = 1 + index % zones
        self.parent, self.origin = self.cache_type(0x21, 1, self), self.cache_type(0x31, 2, self)
        self.servers = [*self.caches, self.parent, self.origin]
        # Each returns the event's frame, with the servers listed at the given host.
        self._events: list[Callable[[str], bytes]] = []
        self._followers: list[tuple[str, socket.socket]] = []
        self._log_listeners: list[_Listener] = []
        self.log_port = self.add_change_log(HOST)

    def serve(self, cache: Cache, sock: socket.socket, txn: str, fields: dict[str, str]) -> None:
        """Answer a fetch; raise OSError if the connection is closed."""
        sock.sendall(self.answer(cache, txn, fields))

    def answer(self, cache: Cache, txn: str, fields: dict[str, str]) -> bytes:
        """Return a cache's response to a fetch."""
        with self._lock:
            if fields["cls"] == WRITE:
                self._run_counts[txn] += 1
                return confirmation_response(txn)
            created_ms, cached = cache.copy(part_name(fields), float(fields.get("oldest", 0)))
            self._served_copies.append((time.time() * 1000.0, created_ms))
        return copy_response(txn, fields, created_ms, "hit" if cached else "filled", 1.0)

    def count_stale_answers(self, purged_at_ms: float, grace_ms: float = 500.0) -> int:
        """Count answers from copies older than a purge, sent over `grace_ms` after it."""
        with self._lock:
            return sum(
                answered_ms > purged_at_ms + grace_ms and created_ms < purged_at_ms
                for answered_ms, created_ms in self._served_copies
            )

    def last_settled_purge(self, now_ms: float) -> float:
        """Return the time (Unix ms) of the last purge that caches have applied by `now_ms`; 0 if none."""
        return max(
            (purged_at_ms for purged_at_ms in self._purges if purged_at_ms < now_ms - PURGE_SETTLING_MS),
            default=0.0,
        )

    def count_repeated_writes(self) -> int:
        """Return the number of requests with an effect that ran more than once."""
        with self._lock:
            return sum(count > 1 for count in self._run_counts.values())

    def add_change_log(self, host: str) -> int:
        """Start another change log that lists all servers at that host; return its port."""
        self._log_listeners.append(_Listener(partial(self._follow, host)))
        return self._log_listeners[-1].port

    def endpoint_list(self, host: str = HOST) -> dict[str, object]:
        """Return the initial endpoint list, in the form of the JSON configuration."""
        entries = [
            {
                "instanceId": f"s-{cache.ident:08x}",
                "hostPort": f"{host}:{cache.port}",
                "zone": f"edge-{cache.zone}" if cache.zone else "central",
                "machineType": _MACHINE_TYPES[cache.kind],
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
        (last_number,) = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))
        with self._lock:
            for event in self._events[max(0, last_number - 1) :]:
                sock.sendall(event(host))
            self._followers.append((host, sock))
        while True:
            time.sleep(1.0)
            with self._lock:
                sock.sendall(event_frame(len(self._events) + 1, NOTHING))

    def _announce(self, kind: int, payload: Callable[[str], bytes]) -> None:
        with self._lock:
            number = len(self._events) + 2

            def frame(host: str) -> bytes:
                return event_frame(number, kind, payload(host))

            self._events.append(frame)
            for host, sock in self._followers:
                with contextlib.suppress(OSError):
                    sock.sendall(frame(host))

    def announce_state(self, cache: Cache, state: str) -> None:
        """Announce in the change log that the cache is up, draining or removed."""
        cache.state = state
        self._announce(CHANGES, lambda host: member_record(cache, host, state, self.weight))

    def announce_purge(self, group: int) -> float:
        """Announce the purge of a group; return its time in Unix ms."""
        purged_at_ms = time.time() * 1000.0
        self._purges.append(purged_at_ms)
        self._announce(GROUP_PURGE, lambda host: group_purge(group, purged_at_ms))
        return purged_at_ms

    def close(self) -> None:
        """Stop all servers and change logs."""
        for cache in self.servers:
            cache.stop()
        for listener in self._log_listeners:
            listener.close()

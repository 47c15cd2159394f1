"""A depot stand-in that records all requests; its caches and change log misbehave as planned."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import threading
import time
from dataclasses import dataclass
from typing import Any

from stonecove.protocols import resp
from stonecove.protocols.buffer import Buffer
from stonecove.soak.plan import CacheBehaviour, LogBehaviour
from stonecove.standins.depot import (
    HOST,
    NOTHING,
    Cache,
    Depot,
    confirmation_response,
    event_frame,
    failure_response,
)
from stonecove.trial.testbed import GROUP

READ_CLASS = "item-image"  # the request class that is answered from cached copies
LATE_ANSWER_DELAY_S = 0.35
CLOSE_IDLE_TIMEOUT_S = 0.1  # idle timeout under CacheBehaviour.CLOSE_IDLE
POLL_INTERVAL_S = 0.01
EMPTY_FRAME_INTERVAL_S = 1.0
SLOW_FRAME_DELAY_S = 0.4  # delay before each frame of a slow change log
FRAGMENT_INTERVAL_S = 0.002
BURST_FRAMES = 50  # consecutive empty frames under LogBehaviour.BURST
_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Arrival:
    """A request that a server received completely."""

    received_at: float  # Unix seconds
    cache_id: int
    txn: str
    class_name: str
    source: str
    rejected_at: float | None = None  # when an answer stated that the request never executed


class SoakCache(Cache):
    """A cache that closes idle connections and applies the fault behaviour set in its depot."""

    def _serve(self, sock: socket.socket) -> None:
        depot = self._depot
        assert isinstance(depot, SoakDepot)
        depot.connection_times_ms.append(time.time() * 1000.0)
        buffer, decoder = Buffer(1 << 20), resp.Decoder()
        open_request_ids: set[str] = set()
        idle_since = time.monotonic()
        while True:
            if not select.select([sock], [], [], POLL_INTERVAL_S)[0]:
                if not open_request_ids and time.monotonic() - idle_since > depot.idle_timeout_s(self):
                    return
                continue
            if not (data := sock.recv(65_536)):
                return
            idle_since = time.monotonic()
            buffer.feed(data)
            for command in decoder.arrays(buffer):
                self._handle_soak_command(sock, command, open_request_ids)

    def _handle_soak_command(
        self, sock: socket.socket, command: list[bytes], open_request_ids: set[str]
    ) -> None:
        depot, txn = self._depot, command[1].decode()
        assert isinstance(depot, SoakDepot)
        if command[0] != b"fetch":
            open_request_ids.discard(txn)
            return
        self._fetch(sock, command)
        if depot.cache_behaviours.get(self.ident) in (CacheBehaviour.HANG, CacheBehaviour.NEVER_COMPLETE):
            open_request_ids.add(txn)


class SoakDepot(Depot):
    """The stand-ins for all servers of a soak."""

    cache_type = SoakCache

    def __init__(self, cache_count: int, weight: float, idle_timeout_ms: float) -> None:
        """Start the servers; caches close connections that are idle for `idle_timeout_ms`."""
        self.cache_behaviours: dict[int, CacheBehaviour] = {}  # by cache identifier
        self.log_behaviour: LogBehaviour | None = None
        self.arrivals: list[Arrival] = []
        self._idle_timeout_s = idle_timeout_ms / 1000.0
        self._silenced_sockets: set[int] = set()  # id() of sockets on which a truncated answer was sent
        super().__init__(cache_count, weight)

    def idle_timeout_s(self, cache: Cache) -> float:
        """Return the cache's idle timeout in seconds."""
        return (
            CLOSE_IDLE_TIMEOUT_S
            if self.cache_behaviours.get(cache.ident) is CacheBehaviour.CLOSE_IDLE
            else self._idle_timeout_s
        )

    def serve(self, cache: Cache, sock: socket.socket, txn: str, fields: dict[str, str]) -> None:
        """Answer a request according to the cache's behaviour; raises OSError if the connection is closed."""
        arrival = Arrival(time.time(), cache.ident, txn, fields["cls"], fields.get("from", ""))
        self.arrivals.append(arrival)
        behaviour = self.cache_behaviours.get(cache.ident)
        if id(sock) in self._silenced_sockets or behaviour is CacheBehaviour.HANG:
            return
        if behaviour is CacheBehaviour.REFUSE:
            sock.sendall(failure_response(txn, b"503", "no_slot"))
            arrival.rejected_at = arrival.received_at
            return
        if behaviour is CacheBehaviour.FAIL:
            sock.sendall(failure_response(txn, b"500", "origin_failed"))
            return
        self._send(sock, self.answer(cache, txn, fields), behaviour)

    def answer(self, cache: Cache, txn: str, fields: dict[str, str]) -> bytes:
        """Return an answer with a cached copy, or with the confirmation of a side effect."""
        return (
            super().answer(cache, txn, fields) if fields["cls"] == READ_CLASS else confirmation_response(txn)
        )

    def _send(self, sock: socket.socket, answer: bytes, behaviour: CacheBehaviour | None) -> None:
        match behaviour:
            case CacheBehaviour.LATE:
                threading.Timer(LATE_ANSWER_DELAY_S, self._send_late, (sock, answer)).start()
            case CacheBehaviour.TRUNCATED:
                sock.sendall(answer[: len(answer) // 2])
                sock.shutdown(socket.SHUT_RDWR)
            case CacheBehaviour.NEVER_COMPLETE:
                self._silenced_sockets.add(id(sock))
                sock.sendall(answer[: len(answer) // 2])
            case CacheBehaviour.DUPLICATE:
                sock.sendall(answer + answer)
            case CacheBehaviour.RESET:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
                sock.close()
                raise ConnectionResetError
            case _:
                sock.sendall(answer)

    @staticmethod
    def _send_late(sock: socket.socket, answer: bytes) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(answer)

    def endpoint_list(self, host: str = HOST) -> dict[str, object]:
        """Return the current endpoint list and past purges in the form of a start-up configuration."""
        results: Any = super().endpoint_list(host)["results"]
        snapshot: dict[str, Any] = results[0]
        for entry, cache in zip(snapshot["fleet"]["instances"], self.servers, strict=True):
            entry["lifecycle"], entry["startedAtMs"] = cache.state, int(cache.started_ms)
        sequence_number = len(self._events) + 1
        snapshot["seq"] = sequence_number - len(self._purges)
        purges = [
            {"seq": snapshot["seq"] + offset, "invalidate": {"bucket": GROUP, "time": int(purged_at_ms)}}
            for offset, purged_at_ms in enumerate(self._purges, 1)
        ]
        return {"seq": sequence_number, "results": [snapshot, *purges]}

    # -- the change log --

    def _follow(self, host: str, sock: socket.socket) -> None:
        (next_event,) = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))
        next_empty_frame_at = time.monotonic()
        while True:
            behaviour = self.log_behaviour
            if select.select([sock], [], [], POLL_INTERVAL_S)[0] and not sock.recv(1):
                return
            if behaviour is LogBehaviour.SILENT:
                continue
            with self._lock:
                events = self._events[max(0, next_event - 1) :]
            for event in events:
                self._send_frame(sock, event(host), behaviour)
                next_event += 1
            with self._lock:
                is_current = next_event == len(self._events) + 1
            if is_current and (behaviour is LogBehaviour.BURST or time.monotonic() >= next_empty_frame_at):
                frame_count = BURST_FRAMES if behaviour is LogBehaviour.BURST else 1
                self._send_frame(sock, event_frame(next_event, NOTHING) * frame_count, behaviour)
                next_empty_frame_at = time.monotonic() + EMPTY_FRAME_INTERVAL_S

    @staticmethod
    def _send_frame(sock: socket.socket, frame: bytes, behaviour: LogBehaviour | None) -> None:
        if behaviour is LogBehaviour.SLOW:
            time.sleep(SLOW_FRAME_DELAY_S)
        if behaviour is not LogBehaviour.FRAGMENTED:
            sock.sendall(frame)
            return
        for index in range(len(frame)):
            sock.sendall(frame[index : index + 1])
            time.sleep(FRAGMENT_INTERVAL_S)

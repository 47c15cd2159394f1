"""A depot whose caches and change log misbehave as a plan says, and which notes all that reaches it."""

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
from stonecove.soak.plan import Behaviour, LogBehaviour
from stonecove.standins.depot import HOST, NOTHING, Cache, Depot, confirmed, event_frame, failed
from stonecove.trial.testbed import GROUP

READ = "item-image"  # the class whose answers are copies
LATE_S = 0.35
CLOSE_IDLE_S = 0.1  # after which a cache that closes idle connections does so
POLL_S = 0.01
EMPTY_FRAME_S = 1.0
SLOW_FRAME_S = 0.4  # a slow change log takes so long for each frame
PIECE_S = 0.002
CROWD_FRAMES = 50  # empty frames in a row from a crowded change log
_RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Arrival:
    """A request that reached a server whole."""

    at: float  # Unix seconds
    cache: int
    txn: str
    cls: str
    source: str
    proved_at: float | None = None  # when an answer said that it never ran


class SoakCache(Cache):
    """A cache that closes idle connections, and misbehaves while the depot says so."""

    def _serve(self, sock: socket.socket) -> None:
        depot = self._depot
        assert isinstance(depot, SoakDepot)
        depot.connects.append(time.time() * 1000.0)
        buffer, decoder = Buffer(1 << 20), resp.Decoder()
        open_ids: set[str] = set()
        idle_since = time.monotonic()
        while True:
            if not select.select([sock], [], [], POLL_S)[0]:
                if not open_ids and time.monotonic() - idle_since > depot.idle_of(self):
                    return
                continue
            if not (data := sock.recv(65_536)):
                return
            idle_since = time.monotonic()
            buffer.feed(data)
            for command in decoder.arrays(buffer):
                self._take(sock, command, open_ids)

    def _take(self, sock: socket.socket, command: list[bytes], open_ids: set[str]) -> None:
        depot, txn = self._depot, command[1].decode()
        assert isinstance(depot, SoakDepot)
        if command[0] != b"fetch":
            open_ids.discard(txn)
            return
        self._fetch(sock, command)
        if depot.behaviours.get(self.ident) in (Behaviour.HANG, Behaviour.NEVER_WHOLE):
            open_ids.add(txn)


class SoakDepot(Depot):
    """All servers of a soak."""

    cache_type = SoakCache

    def __init__(self, caches: int, weight: float, idle_ms: float) -> None:
        """`idle_ms`: after which caches close idle connections."""
        self.behaviours: dict[int, Behaviour] = {}  # by cache
        self.log_behaviour: LogBehaviour | None = None
        self.arrivals: list[Arrival] = []
        self._idle_s = idle_ms / 1000.0
        self._mute: set[int] = set()  # connections on which half an answer was left
        super().__init__(caches, weight)

    def idle_of(self, cache: Cache) -> float:
        """Return the seconds after which the cache closes an idle connection."""
        return CLOSE_IDLE_S if self.behaviours.get(cache.ident) is Behaviour.CLOSE_IDLE else self._idle_s

    def serve(self, cache: Cache, sock: socket.socket, txn: str, fields: dict[str, str]) -> None:
        """Answer a request as the cache's behaviour says; raises OSError if the connection is gone."""
        arrival = Arrival(time.time(), cache.ident, txn, fields["cls"], fields.get("from", ""))
        self.arrivals.append(arrival)
        behaviour = self.behaviours.get(cache.ident)
        if id(sock) in self._mute or behaviour is Behaviour.HANG:
            return
        if behaviour is Behaviour.REFUSE:
            sock.sendall(failed(txn, b"503", "no_slot"))
            arrival.proved_at = arrival.at
            return
        if behaviour is Behaviour.FAIL:
            sock.sendall(failed(txn, b"500", "origin_failed"))
            return
        self._send(sock, self.answer(cache, txn, fields), behaviour)

    def answer(self, cache: Cache, txn: str, fields: dict[str, str]) -> bytes:
        """Return an answer with a copy, or with the confirmation of an effect."""
        return super().answer(cache, txn, fields) if fields["cls"] == READ else confirmed(txn)

    def _send(self, sock: socket.socket, answer: bytes, behaviour: Behaviour | None) -> None:
        match behaviour:
            case Behaviour.LATE:
                threading.Timer(LATE_S, self._send_late, (sock, answer)).start()
            case Behaviour.HALF:
                sock.sendall(answer[: len(answer) // 2])
                sock.shutdown(socket.SHUT_RDWR)
            case Behaviour.NEVER_WHOLE:
                self._mute.add(id(sock))
                sock.sendall(answer[: len(answer) // 2])
            case Behaviour.TWICE:
                sock.sendall(answer + answer)
            case Behaviour.RESET:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.close()
                raise ConnectionResetError
            case _:
                sock.sendall(answer)

    @staticmethod
    def _send_late(sock: socket.socket, answer: bytes) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(answer)

    def known(self, host: str = HOST) -> dict[str, object]:
        """Return the list as it stands, and the purges so far, as a configuration tells them at a start."""
        results: Any = super().known(host)["results"]
        first: dict[str, Any] = results[0]
        for entry, cache in zip(first["fleet"]["instances"], self.servers, strict=True):
            entry["lifecycle"], entry["startedAtMs"] = cache.state, int(cache.started)
        number = len(self._events) + 1
        first["seq"] = number - len(self._purges)
        purges = [
            {"seq": first["seq"] + place, "invalidate": {"bucket": GROUP, "time": int(moment)}}
            for place, moment in enumerate(self._purges, 1)
        ]
        return {"seq": number, "results": [first, *purges]}

    # -- the change log --

    def _follow(self, host: str, sock: socket.socket) -> None:
        (position,) = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))
        empty_at = time.monotonic()
        while True:
            behaviour = self.log_behaviour
            if select.select([sock], [], [], POLL_S)[0] and not sock.recv(1):
                return
            if behaviour is LogBehaviour.SILENT:
                continue
            with self._lock:
                events = self._events[max(0, position - 1) :]
            for event in events:
                self._send_frame(sock, event(host), behaviour)
                position += 1
            with self._lock:
                current = position == len(self._events) + 1
            if current and (behaviour is LogBehaviour.CROWDED or time.monotonic() >= empty_at):
                count = CROWD_FRAMES if behaviour is LogBehaviour.CROWDED else 1
                self._send_frame(sock, event_frame(position, NOTHING) * count, behaviour)
                empty_at = time.monotonic() + EMPTY_FRAME_S

    @staticmethod
    def _send_frame(sock: socket.socket, frame: bytes, behaviour: LogBehaviour | None) -> None:
        if behaviour is LogBehaviour.SLOW:
            time.sleep(SLOW_FRAME_S)
        if behaviour is not LogBehaviour.PIECES:
            sock.sendall(frame)
            return
        for place in range(len(frame)):
            sock.sendall(frame[place : place + 1])
            time.sleep(PIECE_S)

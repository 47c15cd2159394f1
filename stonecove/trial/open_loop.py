"""An open-loop load generator: clients arrive at random, wait for a limited time, and retry.

The arrival rate does not depend on the answers: a slow router does not slow the clients down, and latency is
measured from the planned arrival (no coordinated omission). Many requests share a connection, as with web
servers as clients.
"""

from __future__ import annotations

import errno
import random
import struct
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio
from hdrh.histogram import HdrHistogram

from stonecove.overload.amplification import FAILED, INTENDED, LATE, LOST, REFUSED, SERVED, TRY, LoadEvent
from stonecove.protocols.fastcgi import codec as fastcgi
from stonecove.trial.relay import Address
from stonecove.trial.thread import TrioThread

MAX_REQUESTS_IN_FLIGHT = 32  # per connection
IDLE_TIMEOUT_S = 4.0  # after which a connection without requests is closed
CLOSE_RACE_S = 0.05  # a request whose connection closes within this time of sending is sent again
RETRY_DELAY_S = 0.05, 0.3  # range until the next attempt, unless the answer asks for a longer delay
IDS_PER_REQUEST = 16  # request ids reserved for the attempts of one intended request
OUTCOME_BY_STATUS = {"200": SERVED, "429": REFUSED, "503": REFUSED}
_RECORD_HEADER = struct.Struct(">BBHHBB")


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How often clients try, how long they wait, and what they request."""

    tries: int = 1
    timeout_s: float = 3.0  # for one attempt
    obeys_retry_after: bool = True  # whether they wait for the delay that an answer asks for
    items: int = 400  # number of distinct objects requested
    kb: int = 40  # work of a request
    writes: float = 0.0  # fraction of requests with an effect


def request_number_of(attempt_id: str) -> int:
    """Return the number of the intended request that an attempt belongs to, by the attempt's id."""
    return int(attempt_id, 16) // IDS_PER_REQUEST


@dataclass(slots=True)
class _PendingRequest:
    """A request that was sent and is not answered yet."""

    sent_at: float
    done: trio.Event = field(default_factory=trio.Event)
    response: bytes = b""
    complete: bool = False


class _Connection:
    """One connection to a router."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.pending: dict[int, _PendingRequest] = {}
        self.closed = False
        self.idle_since = time.monotonic()
        self._sending = trio.Lock()
        self._free_ids = list(range(1, MAX_REQUESTS_IN_FLIGHT + 1))

    @property
    def has_capacity(self) -> bool:
        """Whether the connection can take one more request."""
        return not self.closed and bool(self._free_ids)

    async def send(self, request: _PendingRequest, params: bytes) -> int:
        """Send a request and return its FastCGI id; raise trio.BrokenResourceError if that fails."""
        request_id = self._free_ids.pop()
        self.pending[request_id] = request
        async with self._sending:
            request.sent_at = time.monotonic()
            begin = struct.pack(">HB5x", fastcgi.RESPONDER, fastcgi.KEEP_CONN)
            await self.stream.send_all(
                fastcgi.record(fastcgi.BEGIN, request_id, begin)
                + fastcgi.record(fastcgi.PARAMS, request_id, params)
                + fastcgi.record(fastcgi.PARAMS, request_id) + fastcgi.record(fastcgi.STDIN, request_id)
            )  # fmt: skip
        return request_id

    async def abort(self, request_id: int) -> None:
        """Abort a request; the router still ends it."""
        async with self._sending:
            await self.stream.send_all(fastcgi.record(fastcgi.ABORT, request_id))

    async def read(self) -> None:
        """Read answers until the connection ends."""
        data = bytearray()
        try:
            while chunk := await self.stream.receive_some(65_536):
                data += chunk
                while len(data) >= _RECORD_HEADER.size:
                    _, kind, request_id, length, padding, _ = _RECORD_HEADER.unpack_from(data)
                    if len(data) < _RECORD_HEADER.size + length + padding:
                        break
                    self._handle_record(
                        kind, request_id, bytes(data[_RECORD_HEADER.size : _RECORD_HEADER.size + length])
                    )
                    del data[: _RECORD_HEADER.size + length + padding]
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.mark_closed()
        await self.stream.aclose()

    def _handle_record(self, kind: int, request_id: int, content: bytes) -> None:
        request = self.pending.get(request_id)
        if request is None:
            return
        if kind == fastcgi.STDOUT:
            request.response += content
        elif kind == fastcgi.END:
            del self.pending[request_id]
            self._free_ids.append(request_id)
            self.idle_since = time.monotonic()
            request.complete = True
            request.done.set()

    def mark_closed(self) -> None:
        """Mark the connection as closed and wake all tasks that wait for an answer."""
        self.closed = True
        for request in self.pending.values():
            request.done.set()


class OpenLoopClients(TrioThread):
    """Clients that send `rate` requests per second; the rate may be changed at any time.

    `events` records the outcome of each request.
    """

    def __init__(
        self, addresses: Sequence[Address], rate: float, behaviour: ClientBehaviour, seed: int = 1
    ) -> None:
        """Start sending at once."""
        self.rate, self.behaviour = rate, behaviour
        self.events: list[LoadEvent] = []
        self.answers: Counter[str] = Counter()
        # (Unix s, router index) of each accepted request without an answer
        self.lost: list[tuple[float, int]] = []
        self.latency_us = HdrHistogram(1, 60_000_000, 3)
        self.refused_connections = 0  # no request was accepted
        self.close_races = 0  # requests that raced a close of their connection, and were sent again
        self._addresses = addresses
        self._connections: list[list[_Connection]] = [[] for _ in addresses]
        self._random = random.Random(seed)
        self._in_flight = 0
        self._stopping = False
        super().__init__()
        self._call(lambda: self._nursery.start_soon(self._arrivals))
        self._call(lambda: self._nursery.start_soon(self._close_idle))

    def stop(self) -> None:
        """Stop arrivals and wait for the requests in flight."""
        self._stopping = True
        deadline = time.monotonic() + self.behaviour.timeout_s + 1.0
        while self._in_flight and time.monotonic() < deadline:
            time.sleep(0.02)
        self.close()

    # -- in the clients' thread --

    async def _arrivals(self) -> None:
        planned_at, request_number = time.monotonic(), 0
        while not self._stopping:
            if self.rate <= 0:
                await trio.sleep(0.05)
                planned_at = time.monotonic()
                continue
            planned_at += self._random.expovariate(self.rate)
            await trio.sleep(max(0.0, planned_at - time.monotonic()))
            request_number += 1
            self._in_flight += 1
            self._nursery.start_soon(self._run_request, request_number, planned_at)

    async def _close_idle(self) -> None:
        """Close idle connections before the router does."""
        while True:
            await trio.sleep(0.5)
            for connections in self._connections:
                for connection in connections:
                    if not connection.pending and time.monotonic() - connection.idle_since > IDLE_TIMEOUT_S:
                        connection.mark_closed()
                        await connection.stream.aclose()
                connections[:] = [connection for connection in connections if not connection.closed]

    async def _run_request(self, request_number: int, planned_at: float) -> None:
        """Send one intended request: try until it is answered or no attempt is left."""
        rng, behaviour = self._random, self.behaviour
        request_class = "pick-confirm" if rng.random() < behaviour.writes else "item-image"
        item = rng.randrange(1, behaviour.items + 1)
        self.events.append(LoadEvent(time.time(), INTENDED, request_number, request_class))
        outcome = FAILED
        for attempt in range(behaviour.tries):
            self.events.append(LoadEvent(time.time(), TRY, request_number, request_class))
            outcome, retry_after_s = await self._run_attempt(
                request_number * IDS_PER_REQUEST + attempt, item, request_class, attempt > 0
            )
            if outcome in (SERVED, LOST) or attempt + 1 == behaviour.tries or self._stopping:
                break
            await trio.sleep(
                max(rng.uniform(*RETRY_DELAY_S), retry_after_s if behaviour.obeys_retry_after else 0.0)
            )
        self.events.append(LoadEvent(time.time(), outcome, request_number, request_class))
        self.latency_us.record_value(max(1, round((time.monotonic() - planned_at) * 1e6)))
        self._in_flight -= 1

    async def _run_attempt(
        self, attempt_id: int, item: int, request_class: str, is_retry: bool
    ) -> tuple[str, float]:
        """Make one attempt; return its outcome and the seconds that the answer asks the client to wait."""
        router_index = self._random.randrange(len(self._addresses))
        fields = {"TXN": f"{attempt_id:016x}", "TTL_MS": f"{self.behaviour.timeout_s * 1000:.0f}",
                  "BUCKET": "17", "ROW": f"{item:016x}",
                  "WORKING_SET_KB": str(self.behaviour.kb)}  # fmt: skip
        if is_retry:
            fields["SECOND_TRY"] = "1"
        for _ in range(2):
            try:
                connection = await self._connect(router_index)
            except OSError:
                self.refused_connections += 1
                return REFUSED, 0.0
            request = _PendingRequest(time.monotonic())
            status, retry_after_s = await self._exchange(connection, request, f"/svc/{request_class}", fields)
            if status != LOST or time.monotonic() - request.sent_at > CLOSE_RACE_S:
                break
            self.close_races += 1
        if status == LOST:
            self.lost.append((time.time(), router_index))
        return status, retry_after_s

    async def _exchange(
        self, connection: _Connection, request: _PendingRequest, path: str, fields: dict[str, str]
    ) -> tuple[str, float]:
        params_table = {"SCRIPT_NAME": path, **{f"HTTP_X_{name}": value for name, value in fields.items()}}
        params = b"".join(
            bytes((len(name), len(value))) + name.encode() + value.encode()
            for name, value in params_table.items()
        )
        try:
            request_id = await connection.send(request, params)
            with trio.move_on_after(self.behaviour.timeout_s):
                await request.done.wait()
            if not request.done.is_set():
                await connection.abort(request_id)
                return LATE, 0.0
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return LOST, 0.0
        if not request.complete:
            return LOST, 0.0
        headers, _, _ = request.response.partition(b"\r\n\r\n")
        lines = headers.decode("latin-1").split("\r\n")
        status = lines[0].removeprefix("Status: ")[:3]
        self.answers[status] += 1
        throttle_ms = [line.partition(":")[2] for line in lines if line.lower().startswith("x-throttle-ms:")]
        return OUTCOME_BY_STATUS.get(status, FAILED), float(throttle_ms[0]) / 1000.0 if throttle_ms else 0.0

    async def _connect(self, router_index: int) -> _Connection:
        """Return a connection that can take a request, a new one if there is none; raise OSError."""
        for connection in self._connections[router_index]:
            if connection.has_capacity:
                return connection
        host, port = self._addresses[router_index]
        sock = trio.socket.socket()
        try:
            with trio.fail_after(self.behaviour.timeout_s):
                await sock.connect((host, port))
        except trio.TooSlowError:
            sock.close()
            raise OSError(errno.ETIMEDOUT, "connection timed out") from None
        except OSError:
            sock.close()
            raise
        connection = _Connection(trio.SocketStream(sock))
        self._connections[router_index].append(connection)
        self._nursery.start_soon(connection.read)
        return connection

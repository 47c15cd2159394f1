"""An open-loop load generator: clients that arrive at random, wait for a limited time, and try again.

The rate of arrivals does not depend on the answers: a slow router does not slow them down, and latency is
counted from the planned arrival (no coordinated omission). Many requests share a connection, as they do where
web servers are the clients.
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

from stonecove.overload.book import FAILED, INTENDED, LATE, LOST, REFUSED, SERVED, TRY, LoadEvent
from stonecove.protocols.fastcgi import codec as fastcgi
from stonecove.trial.relay import Address
from stonecove.trial.thread import TrioThread

MOST_OPEN = 32  # requests at once on a connection
IDLE = 4.0  # seconds after which a connection without requests is closed
CROSSED = 0.05  # seconds within which a request that met a close is sent again
AGAIN = 0.05, 0.3  # seconds until the next try where the answer names no pause
TRIES = 16  # request ids reserved for the tries of one intended request
STATUS = {"200": SERVED, "429": REFUSED, "503": REFUSED}
_RECORD = struct.Struct(">BBHHBB")


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How many times clients try, for how long they wait, and what they ask for."""

    tries: int = 1
    patience: float = 3.0  # seconds for one try
    heeds: bool = True  # stays away for as long as it is told to
    items: int = 400
    kb: int = 40
    writes: float = 0.0


def meaning_of(txn: str) -> int:
    """The number of the intended request that a try belongs to, by the id of the try."""
    return int(txn, 16) // TRIES


@dataclass(slots=True)
class _PendingRequest:
    """A request that was sent and is not answered yet."""

    sent: float
    done: trio.Event = field(default_factory=trio.Event)
    out: bytes = b""
    whole: bool = False


class _Connection:
    """One connection to a router."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.open: dict[int, _PendingRequest] = {}
        self.over = False
        self.idle_since = time.monotonic()
        self._sending = trio.Lock()
        self._free = list(range(1, MOST_OPEN + 1))

    @property
    def takes(self) -> bool:
        """Whether the connection has room for one more request."""
        return not self.over and bool(self._free)

    async def ask(self, waiting: _PendingRequest, params: bytes) -> int:
        """Sends a request and returns its FastCGI id. Raises trio.BrokenResourceError."""
        ident = self._free.pop()
        self.open[ident] = waiting
        async with self._sending:
            waiting.sent = time.monotonic()
            begin = struct.pack(">HB5x", fastcgi.RESPONDER, fastcgi.KEEP_CONN)
            await self.stream.send_all(
                fastcgi.record(fastcgi.BEGIN, ident, begin) + fastcgi.record(fastcgi.PARAMS, ident, params)
                + fastcgi.record(fastcgi.PARAMS, ident) + fastcgi.record(fastcgi.STDIN, ident)
            )  # fmt: skip
        return ident

    async def give_up(self, ident: int) -> None:
        """Aborts a request; the router still ends it."""
        async with self._sending:
            await self.stream.send_all(fastcgi.record(fastcgi.ABORT, ident))

    async def read(self) -> None:
        """Reads answers until the connection ends."""
        data = bytearray()
        try:
            while piece := await self.stream.receive_some(65_536):
                data += piece
                while len(data) >= _RECORD.size:
                    _, kind, ident, length, padding, _ = _RECORD.unpack_from(data)
                    if len(data) < _RECORD.size + length + padding:
                        break
                    self._take(kind, ident, bytes(data[_RECORD.size : _RECORD.size + length]))
                    del data[: _RECORD.size + length + padding]
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.end()
        await self.stream.aclose()

    def _take(self, kind: int, ident: int, content: bytes) -> None:
        waiting = self.open.get(ident)
        if waiting is None:
            return
        if kind == fastcgi.STDOUT:
            waiting.out += content
        elif kind == fastcgi.END:
            del self.open[ident]
            self._free.append(ident)
            self.idle_since = time.monotonic()
            waiting.whole = True
            waiting.done.set()

    def end(self) -> None:
        """Marks the connection as ended; wakes all who wait for an answer."""
        self.over = True
        for waiting in self.open.values():
            waiting.done.set()


class OpenLoopClients(TrioThread):
    """Clients that send `rate` requests a second, which may be changed at any time.

    `events` records what became of each request.
    """

    def __init__(
        self, addresses: Sequence[Address], rate: float, behaviour: ClientBehaviour, seed: int = 1
    ) -> None:
        """Starts sending at once."""
        self.rate, self.behaviour = rate, behaviour
        self.events: list[LoadEvent] = []
        self.answers: Counter[str] = Counter()
        self.lost: list[tuple[float, int]] = []  # when, and at which router, a taken request had no answer
        self.took = HdrHistogram(1, 60_000_000, 3)
        self.turned_away = 0  # connections that were refused: nothing was taken
        self.crossed = 0  # requests that crossed a close, and were sent again
        self._addresses = addresses
        self._links: list[list[_Connection]] = [[] for _ in addresses]
        self._random = random.Random(seed)
        self._open = 0
        self._over = False
        super().__init__()
        self._call(lambda: self._nursery.start_soon(self._arrivals))
        self._call(lambda: self._nursery.start_soon(self._sweep))

    def end(self) -> None:
        """Stops arrivals, and waits for the answers that are still out."""
        self._over = True
        limit = time.monotonic() + self.behaviour.patience + 1.0
        while self._open and time.monotonic() < limit:
            time.sleep(0.02)
        self.close()

    # -- within its thread --

    async def _arrivals(self) -> None:
        due, meaning = time.monotonic(), 0
        while not self._over:
            if self.rate <= 0:
                await trio.sleep(0.05)
                due = time.monotonic()
                continue
            due += self._random.expovariate(self.rate)
            await trio.sleep(max(0.0, due - time.monotonic()))
            meaning += 1
            self._open += 1
            self._nursery.start_soon(self._mean, meaning, due)

    async def _sweep(self) -> None:
        """Closes idle connections before the router does."""
        while True:
            await trio.sleep(0.5)
            for links in self._links:
                for link in links:
                    if not link.open and time.monotonic() - link.idle_since > IDLE:
                        link.end()
                        await link.stream.aclose()
                links[:] = [link for link in links if not link.over]

    async def _mean(self, meaning: int, due: float) -> None:
        """One intended request: tried until it is answered, or no try is left."""
        chooser, behaviour = self._random, self.behaviour
        cls = "pick-confirm" if chooser.random() < behaviour.writes else "item-image"
        item = chooser.randrange(1, behaviour.items + 1)
        self.events.append(LoadEvent(time.time(), INTENDED, meaning, cls))
        outcome = FAILED
        for number in range(behaviour.tries):
            self.events.append(LoadEvent(time.time(), TRY, meaning, cls))
            outcome, pause = await self._try(meaning * TRIES + number, item, cls, number > 0)
            if outcome in (SERVED, LOST) or number + 1 == behaviour.tries or self._over:
                break
            await trio.sleep(max(chooser.uniform(*AGAIN), pause if behaviour.heeds else 0.0))
        self.events.append(LoadEvent(time.time(), outcome, meaning, cls))
        self.took.record_value(max(1, round((time.monotonic() - due) * 1e6)))
        self._open -= 1

    async def _try(self, txn: int, item: int, cls: str, again: bool) -> tuple[str, float]:
        """One try: its outcome, and the seconds for which the answer asks the client to wait."""
        place = self._random.randrange(len(self._addresses))
        fields = {"TXN": f"{txn:016x}", "TTL_MS": f"{self.behaviour.patience * 1000:.0f}", "BUCKET": "17",
                  "ROW": f"{item:016x}", "WORKING_SET_KB": str(self.behaviour.kb)}  # fmt: skip
        if again:
            fields["SECOND_TRY"] = "1"
        for _ in range(2):
            try:
                link = await self._link(place)
            except OSError:
                self.turned_away += 1
                return REFUSED, 0.0
            waiting = _PendingRequest(time.monotonic())
            status, pause = await self._answer(link, waiting, f"/svc/{cls}", fields)
            if status != LOST or time.monotonic() - waiting.sent > CROSSED:
                break
            self.crossed += 1
        if status == LOST:
            self.lost.append((time.time(), place))
        return status, pause

    async def _answer(
        self, link: _Connection, waiting: _PendingRequest, path: str, fields: dict[str, str]
    ) -> tuple[str, float]:
        table = {"SCRIPT_NAME": path, **{f"HTTP_X_{name}": value for name, value in fields.items()}}
        params = b"".join(
            bytes((len(name), len(value))) + name.encode() + value.encode() for name, value in table.items()
        )
        try:
            ident = await link.ask(waiting, params)
            with trio.move_on_after(self.behaviour.patience):
                await waiting.done.wait()
            if not waiting.done.is_set():
                await link.give_up(ident)
                return LATE, 0.0
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return LOST, 0.0
        if not waiting.whole:
            return LOST, 0.0
        head, _, _ = waiting.out.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = lines[0].removeprefix("Status: ")[:3]
        self.answers[status] += 1
        told = [line.partition(":")[2] for line in lines if line.lower().startswith("x-throttle-ms:")]
        return STATUS.get(status, FAILED), float(told[0]) / 1000.0 if told else 0.0

    async def _link(self, place: int) -> _Connection:
        """A connection with room, opened if there is none; raises OSError."""
        for link in self._links[place]:
            if link.takes:
                return link
        host, port = self._addresses[place]
        sock = trio.socket.socket()
        try:
            with trio.fail_after(self.behaviour.patience):
                await sock.connect((host, port))
        except trio.TooSlowError:
            sock.close()
            raise OSError(errno.ETIMEDOUT, "no connection came up in time") from None
        except OSError:
            sock.close()
            raise
        link = _Connection(trio.SocketStream(sock))
        self._links[place].append(link)
        self._nursery.start_soon(link.read)
        return link

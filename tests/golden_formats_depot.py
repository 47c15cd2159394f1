"""A router's core connected to scripted caches, without sockets: for golden data of exchanges."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

from golden_formats_cases import input_bytes, latin1_text

from stonecove.exchange import ClientRequest
from stonecove.pipeline.route import Route
from stonecove.protocols.change_log import known_events
from stonecove.protocols.resp import RespError
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import set_log_sink
from stonecove.runtime.timers import Timers
from stonecove.settings import read_settings
from stonecove.state.budget import MemoryBudget

NOW_MS = 1764576000000.0
SEED = 7
MAX_TIMER_ROUNDS = 100  # of one exchange


def exchange_settings() -> Settings:
    """Return the settings of all exchanges."""
    return read_settings(input_bytes("exchange-settings.in.json"))


def describe_request(request: ClientRequest) -> dict[str, object]:
    """Return a client's request under neutral keys, whichever front end received it."""
    return {
        "transaction": request.txn,
        "class": request.cls,
        "class_index": request.class_index,
        "object": request.item,
        "object_number": str(request.object_key),
        "segment": request.chunk,
        "segment_number": request.chunk_index,
        "group": request.group,
        "size_kb": request.size_kb,
        "timeout_ms": request.timeout_ms,
        "client_tag": request.client_tag,
        "body": latin1_text(request.body),
        "idempotency_key": request.idempotency_key,
        "client": request.client,
    }


@contextmanager
def quiet_log() -> Iterator[None]:
    """Keep the log off standard error, and fail if it reports an internal error."""
    errors: list[Mapping[str, object]] = []
    set_log_sink(lambda event, fields: errors.append(fields) if event == "internal_error" else None)
    try:
        yield
    finally:
        set_log_sink(None)
    assert not errors


class RecordingSocket:
    """A socket that accepts and records all bytes."""

    def __init__(self) -> None:
        self.written = bytearray()

    def send(self, data: bytes | memoryview, /) -> int:
        """Record all bytes."""
        self.written += data
        return len(data)

    def recv(self, count: int, flags: int, /) -> bytes:
        """Raise BlockingIOError: the connection is open and nothing was received."""
        raise BlockingIOError


class CacheConnection:
    """One connection from the router to a cache."""

    def __init__(self, channel: Channel, address: tuple[str, int]) -> None:
        self.channel, self.address = channel, address
        self.sock = RecordingSocket()
        self.ended = False

    def open(self) -> None:
        """Establish the connection, once."""
        if not self.channel.reached and not self.ended:
            self.channel.opened(self.sock)

    def answer(self, txn: bytes, status: str, fields: str, body: str) -> None:
        """Answer a fetch as the cache."""
        items = (txn, status.encode("latin-1"), fields.encode(), body.encode("latin-1"))
        encoded = b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)
        self.channel.buffer.feed(b"*4\r\n" + encoded)
        try:
            self.channel.received()
        except RespError as error:
            self.end(str(error))

    def end(self, why: str = "") -> None:
        """End the connection, once."""
        if not self.ended:
            self.ended = True
            self.channel.ended(why)


class Depot:
    """The router's core, connected to scripted caches; time advances only to the next timer."""

    def __init__(self, answers: Iterable[list[str]], endpoints: int = 3) -> None:
        self.settings = exchange_settings()
        self.received_requests: list[dict[str, object]] = []  # passed on by a front end, in order
        self.sent_commands: list[dict[str, object]] = []  # to caches, in order
        self._now = NOW_MS
        self._answers = iter(answers)
        self._connections: list[CacheConnection] = []
        self.clock = Clock(lambda: self._now / 1000.0)
        self._timers = Timers(self.clock, lambda: self._now / 1000.0)
        self.budget = MemoryBudget()
        self.budget.limit_bytes = 1e9
        self.route = Route(self.settings, SEED, self.clock, self._timers, self.budget, 4.3e6, self._connect)
        self.route.send.max_connections = 100
        self.route.shared_limit_check = self._record
        for update in known_events(endpoint_list_json(endpoints), self.settings):
            self.route.handle_membership_event(update)

    def _record(self, request: ClientRequest) -> str:
        """Record a request, and reject none."""
        self.received_requests.append(describe_request(request))
        return ""

    def _connect(self, owner: Owner, address: tuple[str, int], timeout: float) -> Channel:
        channel = Channel(owner, self.clock.now)
        self._connections.append(CacheConnection(channel, address))
        return channel

    def _handle_commands(self, connection: CacheConnection) -> bool:
        """Record the commands sent to a cache and answer its fetches; return whether there were any."""
        data, connection.sock.written = bytes(connection.sock.written), bytearray()
        if not data:
            return False
        self.sent_commands.append({"to": list(connection.address), "bytes": latin1_text(data)})
        for txn in re.findall(rb"\$5\r\nfetch\r\n\$16\r\n([0-9a-f]{16})\r\n", data):
            if answer := next(self._answers, None):
                connection.answer(txn, *answer)
        return True

    def run_until_idle(self) -> None:
        """Decide, send and answer until nothing is left to do at the present time."""
        busy = True
        while busy:
            busy = self.route.decide()
            for connection in list(self._connections):
                connection.open()
                busy |= self._handle_commands(connection)
                if connection.channel.is_closed:
                    connection.end()

    def run(self) -> None:
        """Run until idle; while requests are open, advance to the next timer."""
        self.run_until_idle()
        for _ in range(MAX_TIMER_ROUNDS):
            if all(request.answered for request in self.route.requests):
                return
            self._now = max(self._now, self._timers.next_due() * 1000.0)
            self._timers.run_due()
            self.run_until_idle()


def endpoint_list_json(endpoints: int) -> dict[str, Any]:
    """Return up to three endpoints as change log JSON: a cache, the parent, the origin."""
    instances = [
        {
            "instanceId": f"s-000000{number}1",
            "hostPort": f"10.1.0.{number}:7000",
            "zone": zone,
            "machineType": kind,
            "lifecycle": "up",
            "weight": 20,
        }
        for number, zone, kind in ((1, "coast", "box"), (2, "hub", "shield"), (3, "hub", "store"))
    ]
    return {"results": [{"fleet": {"reset": True, "instances": instances[:endpoints]}}]}

"""Test clients that disconnect, flood the router or send requests in parts at inconvenient times."""

from __future__ import annotations

import contextlib
import random
import signal
import socket
import struct
import threading
import time
from collections import Counter, deque
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing
from conftest import make_class, make_nodes, make_settings
from process_harness import Client, ProcessHarness, fastcgi_record

from stonecove.discovery import Member, MembersUpdate
from stonecove.exchange import Answer, ClientRequest
from stonecove.frontends.fastcgi import FastCgiFrontend
from stonecove.pipeline.route import Route
from stonecove.protocols.fastcgi.session import Session
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.runtime.clock import Clock
from stonecove.runtime.timers import Timers
from stonecove.server.serve import Server
from stonecove.state.budget import MemoryBudget
from stonecove.state.requests import OpenRequest
from stonecove.transport.client_connection import ClientConnection

ABORT = fastcgi_record(2, 1)
LONG_RECORD_HEADER = struct.pack(">BBHHBB", 1, 5, 1, 65_535, 0, 0)


class ClientSocket:
    """The router's end of a client connection; it accepts all data, or none."""

    def __init__(self, accepts: bool = True) -> None:
        self.accepts = accepts
        self.written = b""
        self.unread = b""

    def send(self, data: bytes | memoryview, /) -> int:
        if not self.accepts:
            raise BlockingIOError
        self.written += bytes(data)
        return len(data)

    def recv(self, count: int, flags: int, /) -> bytes:
        if not self.unread:
            raise BlockingIOError
        return self.unread[:count]


class SimulatedClient(Session):
    """A client connection whose I/O the test simulates."""

    closed = False
    close_if_idle: Any = ClientConnection.close_if_idle
    evict: Any = ClientConnection.evict

    def close(self) -> None:
        self.closed = True

    def _read_available(self) -> bool:
        sock: Any = self._sock
        data, sock.unread = sock.unread, b""
        self.feed(data)
        return True

    def feed(self, data: bytes) -> None:
        for offset in range(0, len(data), 4096):
            self._buffer.feed(data[offset : offset + 4096])
            self.received()
            while self.has_more_buffered():
                self.received()


class RouterHarness:
    """A router without I/O: front end, stages, and channels to caches that the test opens."""

    def __init__(self, cancellation_allowed: bool = True, memory_bytes: float = 48e6) -> None:
        self.time_s = 1000.0
        self.clock = Clock(lambda: self.time_s)
        self.timers = Timers(self.clock, lambda: self.time_s)
        self.budget = MemoryBudget()
        self.budget.limit_bytes = memory_bytes
        self.channels: list[Channel] = []
        self.answers: list[Answer] = []
        settings = make_settings(
            make_class(deadline_ms=60_000.0, latency_objective_ms=30_000.0),
            cancellation_allowed=cancellation_allowed,
        )
        self.route = Route(settings, 7, self.clock, self.timers, self.budget, 0.0, self._connect)
        self.route.send.max_connections = 100
        self.route.handle_membership_event(
            MembersUpdate(True, tuple(Member(node, "127.0.0.1", 1) for node in make_nodes()))
        )
        self.front = FastCgiFrontend(settings, self.route)
        self.front.ready = True

    def _connect(self, owner: Owner, address: tuple[str, int], timeout_s: float) -> Channel:
        self.channels.append(Channel(owner, self.clock.now))
        return self.channels[-1]

    def client(self, sock: ClientSocket | None = None) -> SimulatedClient:
        return SimulatedClient(sock or ClientSocket(), self.front, self.clock.now, self.budget)


def request(ident: int = 1, path: str = "/svc/pictures", **options: Any) -> bytes:
    """Return the records of a complete request."""
    return Client.encode_request(None, ident, path, **options)  # type: ignore[arg-type]


def peak_memory_mb(harness: ProcessHarness) -> float:
    """Return the router's peak memory in MB."""
    text = Path(f"/proc/{harness.process.pid}/status").read_text()
    return int(text.partition("VmHWM:")[2].split()[0]) / 1e3


@pytest.fixture
def harness() -> Iterator[ProcessHarness]:
    running = ProcessHarness()
    yield running
    assert running.process.poll() is None and not running.log_lines("internal_error")
    running.close()


# -- clients that disconnect --


def disconnect(client: Client, disconnection: str) -> None:
    """Abort request 1, or end the connection in the given way."""
    if disconnection == "abort":
        client.sock.sendall(ABORT)
    elif disconnection == "half-close":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        if disconnection == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()


def send_nothing(client: Client) -> None:
    """Send nothing beyond the request."""


def send_rejected_requests(client: Client) -> None:
    """Send requests for an unknown class until the router stops reading requests."""
    client.sock.sendall(b"".join(request(ident, "/svc/nothing") for ident in range(2, 23)))
    assert {client.read_answer().status for _ in range(21)} == {404}


def send_many_aborts(client: Client) -> None:
    """Send hundreds of aborts for requests that are not open."""
    client.sock.sendall(b"".join(fastcgi_record(2, ident) for ident in range(2, 900)))


@pytest.mark.parametrize("disconnection", ["abort", "FIN", "half-close", "reset"])
@pytest.mark.parametrize("send_before", [send_nothing, send_rejected_requests, send_many_aborts])
def test_disconnect_is_noticed_whatever_the_client_sent_before(
    harness: ProcessHarness, send_before: Any, disconnection: str
) -> None:
    """A client that is about to be disconnected must still be read, or its requests are sent to caches."""
    client = harness.client()
    client.send(X_TTL_MS="60000")
    fetch = harness.next_command()
    send_before(client)
    # once another client has its answer, the router has read all that was sent before
    assert harness.client().exchange(path="/status/live").status == 200
    disconnect(client, disconnection)
    found = harness.next_command_within(2.0)
    assert found is not None and (found.name, found.txn) == ("abort", fetch.txn)


def test_abort_behind_much_data_of_client_that_reads_nothing_is_forwarded(harness: ProcessHarness) -> None:
    client = harness.client()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for ident in range(1, 33):
        client.send(ident, X_ROW=f"{ident:016x}", X_TTL_MS="60000")
    fetches = [harness.next_command() for _ in range(32)]
    for fetch in fetches:
        if fetch.fields["item"] != f"{1:016x}":
            fetch.reply(body=bytes(240_000))
    client.sock.sendall(fastcgi_record(5, 99, bytes(60_000)) * 30 + ABORT)
    assert harness.next_command("abort").txn == next(
        f.txn for f in fetches if f.fields["item"] == f"{1:016x}"
    )


@pytest.mark.parametrize(
    "data", [fastcgi_record(1, 1, struct.pack(">HB5x", 1, 1)), fastcgi_record(9, 0), request(1)]
)
def test_only_aborts_are_processed_while_client_is_being_disconnected(data: bytes) -> None:
    harness = RouterHarness()
    client = harness.client()
    client.feed(request(1) + b"".join(request(ident, "/svc/nothing") for ident in range(2, 25)))
    harness.route.decide()
    written = len(client._sock.written)  # type: ignore[attr-defined]
    client.feed(data)
    assert len(client._sock.written) == written and not client.closed  # type: ignore[attr-defined]
    assert len(harness.route.requests) == 1
    client.feed(ABORT)
    assert not len(harness.route.requests)
    client = harness.client()
    client.feed(request(1) + b"".join(request(ident, "/svc/nothing") for ident in range(2, 25)))
    client.feed(fastcgi_record(5, 99, bytes(60_000)) * 20)
    assert client.closed  # a client that is being disconnected may not send without limit


def test_abort_behind_overdue_record_is_processed() -> None:
    harness = RouterHarness()
    client = harness.client()
    client.feed(request(1) + request(2)[:-8] + LONG_RECORD_HEADER)
    harness.time_s += 2.2
    client.expire_overdue(harness.clock.now())
    assert client._closing_reason and not client.closed
    client.feed(bytes(65_535) + fastcgi_record(5, 2) + request(3) + ABORT)
    assert not len(harness.route.requests) and not harness.budget._reserved_bytes


@pytest.mark.parametrize("cancellation_allowed", [True, False])
@pytest.mark.parametrize("disconnection", ["abort", "end"])
@pytest.mark.parametrize("state", ["undecided", "connecting", "socket full", "moved", "retried"])
def test_waiting_attempt_is_not_sent_after_client_disconnects(
    state: str, disconnection: str, cancellation_allowed: bool
) -> None:
    """This holds whatever the attempt waits for, and also where the settings allow no cancellation."""
    harness, sock = RouterHarness(cancellation_allowed), ClientSocket(accepts=state != "socket full")
    client = harness.client()
    client.feed(request(1, X_TTL_MS="60000"))
    if state != "undecided":
        harness.route.decide()
        channel = harness.channels[-1]
        if state == "socket full":
            channel.opened(sock)
        elif state == "moved":
            channel.reached = True  # it opened and was reset before anything was written
            channel.ended("reset")
        elif state == "retried":
            channel.ended("refused")
        assert len(harness.channels) == 1 + (state in ("moved", "retried"))
    harness.time_s += 0.1
    client.feed(ABORT) if disconnection == "abort" else client.ended()
    harness.time_s += 0.3
    harness.route.decide()
    for channel in harness.channels:
        sock.accepts = True
        if channel.reached:
            channel.writable()
        else:
            channel.opened(sock)
    assert not sock.written and not len(harness.route.requests) and not harness.budget._reserved_bytes


@pytest.mark.parametrize("cancellation_allowed", [True, False])
def test_written_fetch_is_aborted_when_client_disconnects(cancellation_allowed: bool) -> None:
    harness, sock = RouterHarness(cancellation_allowed), ClientSocket()
    client = harness.client()
    client.feed(request(1, X_TXN="9b1f03aa5c7e2d41", X_TTL_MS="60000"))
    harness.route.decide()
    harness.channels[-1].opened(sock)
    client.feed(ABORT)
    assert (b"abort\r\n$16\r\n9b1f03aa5c7e2d41" in sock.written) is cancellation_allowed


# -- floods, and their effect on other clients --


def test_client_is_not_disconnected_for_shortage_of_memory() -> None:
    """A shortage of memory must not cost a regular client its open or unread requests."""
    harness = RouterHarness(memory_bytes=100.0)
    client, sock = harness.client(), ClientSocket()
    client._sock = sock
    client.feed(b"".join(request(1, body=bytes(1000)) for _ in range(30)))
    assert not client._closing_reason and sock.written.count(struct.pack(">IB3x", 0, 2)) == 30
    harness.budget.limit_bytes = 48e6
    client.feed(request(1))
    assert len(harness.route.requests) == 1


@pytest.mark.parametrize("earlier", ["no request", "answered request"])
def test_client_with_unread_request_is_not_evicted(earlier: str) -> None:
    """Requests that arrive while the router is busy must not be lost to new clients."""
    harness = ProcessHarness(sockets=16)  # of which clients get 8
    try:
        for _ in range(10):  # the operating system chooses which socket is served first
            connected = [harness.client() for _ in range(8)]
            for client in connected if earlier != "no request" else connected[:1]:
                assert client.exchange(path="/status/live").status == 200
            harness.process.send_signal(signal.SIGSTOP)
            time.sleep(0.15)  # after this time all clients count as silent or idle
            late = harness.client()
            for client in [*connected, late]:
                client.send(X_ROW="7f3a9c21e0b4d655")
            harness.process.send_signal(signal.SIGCONT)
            for _ in connected:
                harness.next_command().reply()
            assert [client.read_answer().status for client in connected] == [200] * 8
            harness.next_command().reply()
            assert late.read_answer().status == 200
            for client in [*connected, late]:
                client.close()
    finally:
        harness.close()


@pytest.mark.parametrize("closed_by", ["eviction", "overdue check"])
@pytest.mark.parametrize("unread", [b"", request()[:40]])
def test_client_with_unread_data_is_not_closed(unread: bytes, closed_by: str) -> None:
    harness, sock = RouterHarness(), ClientSocket()
    client, sock.unread = harness.client(sock), unread
    harness.time_s += 2.2
    server: Any = SimpleNamespace(_clock=harness.clock, _clients={client}, _evicting=set(), _max_clients=8)
    if closed_by == "eviction":
        Server._evict_clients(server)
    else:
        client.expire_overdue(harness.clock.now())
    assert bool(client._closing_reason) is not bool(unread) and not client.closed


def test_stalled_incomplete_request_is_evicted_for_new_client() -> None:
    """Where incomplete requests hold all connections, one must be closed for a client that waits."""
    harness = ProcessHarness(sockets=16)
    try:
        incomplete = [harness.client() for _ in range(8)]
        for client in incomplete:
            client.sock.sendall(request()[:-8])
        late = harness.client()
        assert late.exchange(path="/status/live").status == 200
        statuses = []
        for client in incomplete:
            try:
                statuses.append(client.read_answer().status)
            except (EOFError, ConnectionResetError):
                statuses.append(0)
        # the connection that made way for the new client was closed without an answer
        assert 0 in statuses and set(statuses) <= {0, 408}
    finally:
        harness.close()


@pytest.mark.parametrize("memory_mb", [64, 80, 192])
def test_size_decides_nothing_while_memory_is_short(memory_mb: int) -> None:
    """Small requests must not take all memory that is released, or large ones are never admitted."""
    harness, random_source = RouterHarness(memory_bytes=memory_mb * 0.25e6), random.Random(7)
    admit, submitted, admitted = harness.route.admit, Counter[str](), Counter[str]()
    open_requests: deque[OpenRequest] = deque()
    for number in range(20_000):
        kind = "large" if random_source.random() < 0.1 else "small"
        size = 240.0 if kind == "large" else random_source.uniform(10.0, 40.0)  # KB
        submitted[kind] += 1
        found = admit.open_request(
            1000.0,
            ClientRequest(
                f"{number:016x}",
                "pictures",
                "",
                "0",
                0,
                1,
                0,
                0,
                size,
                1000.0,
                "",
                b"",
                harness.answers.append,
            ),
        )
        if found is not None:
            admitted[kind] += 1
            open_requests.append(found)
        if random_source.random() < 0.5 and open_requests:  # half as many requests end as are submitted
            completed = open_requests.popleft()
            completed.answered = True
            admit.close_request(completed, 1000.0)
        assert 0 <= harness.budget._reserved_bytes <= memory_mb * 0.25e6
    shares = {kind: admitted[kind] / submitted[kind] for kind in submitted}
    assert shares["small"] < 0.9 and shares["large"] > 0.9 * shares["small"]


def test_incomplete_requests_of_few_clients_do_not_block_other_clients() -> None:
    """Another client's complete request is always admitted, and closing the flood releases all memory."""
    harness = RouterHarness(memory_bytes=16e6)
    flood = [harness.client() for _ in range(24)]
    for client in flood:
        for ident in range(1, 33):
            client.feed(request(ident, body=bytes(60_000))[:-8])
    regular = harness.client()
    regular.feed(request(body=bytes(48_000)))
    assert len(harness.route.requests) == 1 and 3e6 < harness.budget._incomplete_bytes <= 4e6
    for client in flood:
        client.ended()
    assert not harness.budget._incomplete_bytes


def test_memory_of_incomplete_records_is_bounded() -> None:
    """Incomplete requests must not exhaust the memory, whose limit counts only data that was read."""
    harness = ProcessHarness(memory_mb=64)
    try:
        regular, incomplete = harness.client(), [harness.client() for _ in range(300)]
        before = peak_memory_mb(harness)
        for client in incomplete:
            client.sock.sendall(request()[:-8] + LONG_RECORD_HEADER + bytes(65_000))
        regular.send(path="/svc/confirm", body=bytes(4000))
        harness.next_command().reply(body=b"usual")
        assert regular.read_answer().body == b"usual"
        for client in incomplete:
            with contextlib.suppress(ConnectionResetError):
                while client.sock.recv(4096):
                    pass  # at the end of the connection, all data that was sent has been read
        assert peak_memory_mb(harness) < before + 16.0  # 40 MB if each connection keeps its partial record
    finally:
        harness.close()


@pytest.mark.parametrize("chunk_bytes", [1, 7, 4096, 70_000])
def test_long_record_is_parsed_alike_however_it_is_split(chunk_bytes: int) -> None:
    body = random.Random(3).randbytes(60_000)
    data = (
        request(1, body=body, padding=200) + ABORT + request(1, body=body) + fastcgi_record(2, 9) + request(2)
    )
    harness = RouterHarness()
    client = harness.client()
    for offset in range(0, len(data), chunk_bytes):
        client.feed(data[offset : offset + chunk_bytes])
    assert [open_request.client_request.body for open_request in harness.route.requests] == [body, b""]
    assert not harness.budget._incomplete_bytes and client._partial_since_ms == 0 == len(client._buffer)


def test_connection_with_slowly_received_record_is_closed_in_time() -> None:
    harness = RouterHarness()
    client = harness.client()
    client.feed(request()[:-8] + LONG_RECORD_HEADER)
    for _ in range(25):
        harness.time_s += 0.1
        client.feed(b"x")
    client.expire_overdue(harness.clock.now())
    assert client._closing_reason == "a record is not whole in time"


def test_cancelled_timers_do_not_accumulate() -> None:
    """Clients may repeatedly send requests with a long time-out and abort them."""
    harness = RouterHarness()
    client = harness.client()
    timer = harness.timers.call_at(harness.clock.now() + 50.0, lambda: None)
    for _ in range(2000):
        client.feed(request(1, X_TTL_MS="3600000") + ABORT)
    assert len(harness.timers._heap) <= 1025 and timer in [found for _, _, found in harness.timers._heap]
    assert not len(harness.route.requests)


def test_floods_before_disconnects_do_not_affect_other_clients() -> None:
    """A flood has hundreds of requests, long bodies, incomplete requests and a repeated id."""
    harness, stopped = ProcessHarness(memory_mb=64), threading.Event()
    fetched: set[str] = set()

    def serve() -> None:
        while not stopped.is_set():
            if (fetch := harness.next_command_within(0.05)) is not None and fetch.name == "fetch":
                fetched.add(fetch.fields["item"])
                if fetch.fields["item"] == "7f3a9c21e0b4d655":
                    fetch.reply(body=bytes(20_000))

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    try:
        regular, random_source, before = harness.client(), random.Random(5), peak_memory_mb(harness)
        for number in range(60):
            flooding = harness.client()
            txn, data = f"{number:016x}", b""
            for ident in range(1, 301):
                data += request(
                    ident,
                    "/svc/image",
                    X_ROW=f"{ident:016x}",
                    X_TXN=txn if number % 3 else None,
                    X_TTL_MS="60000",
                    body=bytes(random_source.choice((0, 0, 9000))),
                )
            data += fastcgi_record(5, 300, bytes(60_000)) * 5 + b"".join(
                fastcgi_record(2, ident) for ident in range(400)
            )
            with contextlib.suppress(OSError):
                flooding.sock.sendall(data[: random_source.randrange(len(data) // 2, len(data))])
            disconnect(flooding, random_source.choice(("FIN", "reset")))
            regular.send()
            assert regular.read_answer().status == 200
        assert peak_memory_mb(harness) < before + 24.0
        assert (
            not harness.log_lines("internal_error")
            and sum(map(len, harness.log_lines("request_malformed"))) < 20_000
        )
    finally:
        stopped.set()
        server.join()
        harness.close()


def test_incomplete_requests_are_ended_where_each_check_comes_late() -> None:
    """On a busy host, incomplete requests would otherwise keep their connections forever."""
    checked_at: list[float] = []

    async def run_scenario() -> None:
        client = SimpleNamespace(expire_overdue=checked_at.append)
        server: Any = SimpleNamespace(_clients=[client], _clock=Clock(trio.current_time))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Server._check_clients, server)
            for _ in range(10):
                await trio.sleep(0.1)
                mock_clock.jump(0.8)  # no task ran during this time
            nursery.cancel_scope.cancel()

    mock_clock = trio.testing.MockClock(autojump_threshold=0.0)
    trio.run(run_scenario, clock=mock_clock)
    assert len(checked_at) >= 5


def test_request_completed_during_suspension_is_not_closed() -> None:
    """Its remainder is in the socket when the router resumes, and is read before the time-out counts."""
    harness = ProcessHarness()
    try:
        clients = [harness.client() for _ in range(4)]
        requests = [client.encode_request(1, X_ROW="7f3a9c21e0b4d655") for client in clients]
        for client, data in zip(clients, requests, strict=True):
            client.sock.sendall(data[:40])
        time.sleep(0.3)
        harness.process.send_signal(signal.SIGSTOP)
        time.sleep(2.5)
        for client, data in zip(clients, requests, strict=True):
            client.sock.sendall(data[40:])
        time.sleep(0.1)
        harness.process.send_signal(signal.SIGCONT)
        for _ in clients:
            harness.next_command().reply()
        assert [client.read_answer().status for client in clients] == [200] * 4
    finally:
        harness.close()


def test_client_accepted_before_suspension_is_read_before_it_is_closed() -> None:
    """A check after a suspension must not close a connection before its task has read it."""
    near, far = socket.socketpair()
    with near, far:
        near.setblocking(False)
        harness = RouterHarness()
        client = ClientConnection(near, harness.front, harness.clock.now, harness.budget)
        far.sendall(request())
        harness.time_s += 3.0
        client.expire_overdue(harness.clock.now())
        assert not client.is_closing()

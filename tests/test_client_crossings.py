"""Clients that disconnect, flood the router or send requests in parts, at inconvenient moments."""

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
from stand import Client, Stand, record

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

ABORT = record(2, 1)
HEADER = struct.pack(">BBHHBB", 1, 5, 1, 65_535, 0, 0)


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

    def close(self) -> None:
        self.closed = True

    def _read_available(self) -> bool:
        sock: Any = self._sock
        data, sock.unread = sock.unread, b""
        self.feed(data)
        return True

    def feed(self, data: bytes) -> None:
        for at in range(0, len(data), 4096):
            self._buffer.feed(data[at : at + 4096])
            self.received()


class RouterHarness:
    """A router without I/O: front end, stages, and channels to caches that open when the test says so."""

    def __init__(self, may_cancel: bool = True, memory_bytes: float = 48e6) -> None:
        self.time_s = 1000.0
        self.clock = Clock(lambda: self.time_s)
        self.timers = Timers(self.clock, lambda: self.time_s)
        self.budget = MemoryBudget()
        self.budget.limit_bytes = memory_bytes
        self.channels: list[Channel] = []
        self.answers: list[Answer] = []
        settings = make_settings(
            make_class(deadline_ms=60_000.0, latency_objective_ms=30_000.0), cancellation_allowed=may_cancel
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


def request(ident: int = 1, path: str = "/svc/pictures", **what: Any) -> bytes:
    """Return the records of a complete request."""
    return Client.request(None, ident, path, **what)  # type: ignore[arg-type]


def peak_memory_mb(stand: Stand) -> float:
    """Return the router's peak memory in MB."""
    text = Path(f"/proc/{stand.process.pid}/status").read_text()
    return int(text.partition("VmHWM:")[2].split()[0]) / 1e3


@pytest.fixture
def stand() -> Iterator[Stand]:
    running = Stand()
    yield running
    assert running.process.poll() is None and not running.lines("internal_error")
    running.close()


# -- clients that disconnect --


def disconnect(client: Client, how: str) -> None:
    """Abort request 1, or end the connection in the given way."""
    if how == "abort":
        client.sock.sendall(ABORT)
    elif how == "half-close":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()


def regular(client: Client) -> None:
    """Do nothing beyond the request."""


def rejected_often(client: Client) -> None:
    """Send requests for an unknown class until the router stops reading requests."""
    client.sock.sendall(b"".join(request(ident, "/svc/nothing") for ident in range(2, 23)))
    assert {client.answer().status for _ in range(21)} == {404}


def aborted_often(client: Client) -> None:
    """Send hundreds of aborts for requests that are not open."""
    client.sock.sendall(b"".join(record(2, ident) for ident in range(2, 900)))


@pytest.mark.parametrize("how", ["abort", "FIN", "half-close", "reset"])
@pytest.mark.parametrize("before", [regular, rejected_often, aborted_often])
def test_a_client_that_leaves_is_noticed_whatever_it_did_before(stand: Stand, before: Any, how: str) -> None:
    """A client that is about to be disconnected must still be read, or its requests are sent on."""
    client = stand.client()
    client.send(X_TTL_MS="60000")
    fetch = stand.command()
    before(client)
    assert (
        stand.client().ask(path="/status/live").status == 200
    )  # by now it has seen all that was sent before
    disconnect(client, how)
    found = stand.maybe_command(2.0)
    assert found is not None and (found.word, found.txn) == ("abort", fetch.txn)


def test_an_abort_behind_much_data_of_a_client_that_reads_nothing(stand: Stand) -> None:
    client = stand.client()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for ident in range(1, 33):
        client.send(ident, X_ROW=f"{ident:016x}", X_TTL_MS="60000")
    fetches = [stand.command() for _ in range(32)]
    for fetch in fetches:
        if fetch.fields["item"] != f"{1:016x}":
            fetch.reply(body=bytes(240_000))
    client.sock.sendall(record(5, 99, bytes(60_000)) * 30 + ABORT)
    assert stand.command("abort").txn == next(f.txn for f in fetches if f.fields["item"] == f"{1:016x}")


@pytest.mark.parametrize("bad", [record(1, 1, struct.pack(">HB5x", 1, 1)), record(9, 0), request(1)])
def test_what_a_client_sends_once_it_is_left_is_passed_over_but_for_aborts(bad: bytes) -> None:
    harness = RouterHarness()
    client = harness.client()
    client.feed(request(1) + b"".join(request(ident, "/svc/nothing") for ident in range(2, 25)))
    harness.route.decide()
    written = len(client._sock.written)  # type: ignore[attr-defined]
    client.feed(bad)
    assert len(client._sock.written) == written and not client.closed  # type: ignore[attr-defined]
    assert len(harness.route.requests) == 1
    client.feed(ABORT)
    assert not len(harness.route.requests)
    client = harness.client()
    client.feed(request(1) + b"".join(request(ident, "/svc/nothing") for ident in range(2, 25)))
    client.feed(record(5, 99, bytes(60_000)) * 20)
    assert client.closed  # a client that is being disconnected may not send without end


def test_an_abort_behind_a_record_that_was_not_whole_in_time() -> None:
    harness = RouterHarness()
    client = harness.client()
    client.feed(request(1) + request(2)[:-8] + HEADER)
    harness.time_s += 2.2
    client.expire_overdue(harness.clock.now())
    assert client._closing_reason and not client.closed
    client.feed(bytes(65_535) + record(5, 2) + request(3) + ABORT)
    assert not len(harness.route.requests) and not harness.budget._reserved_bytes


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("how", ["abort", "end"])
@pytest.mark.parametrize("state", ["undecided", "connecting", "full", "moved", "tried again"])
def test_what_waits_is_not_sent_on_for_a_client_that_left(state: str, how: str, may_cancel: bool) -> None:
    """Whatever an attempt waits for, and also where the settings allow no cancelling."""
    harness, sock = RouterHarness(may_cancel), ClientSocket(accepts=state != "full")
    client = harness.client()
    client.feed(request(1, X_TTL_MS="60000"))
    if state != "undecided":
        harness.route.decide()
        channel = harness.channels[-1]
        if state == "full":
            channel.opened(sock)
        elif state == "moved":
            channel.reached = True  # it opened and was reset before anything was written
            channel.ended("reset")
        elif state == "tried again":
            channel.ended("refused")
        assert len(harness.channels) == 1 + (state in ("moved", "tried again"))
    harness.time_s += 0.1
    client.feed(ABORT) if how == "abort" else client.ended()
    harness.time_s += 0.3
    harness.route.decide()
    for channel in harness.channels:
        sock.accepts = True
        if channel.reached:
            channel.writable()
        else:
            channel.opened(sock)
    assert not sock.written and not len(harness.route.requests) and not harness.budget._reserved_bytes


@pytest.mark.parametrize("may_cancel", [True, False])
def test_what_was_written_is_aborted_when_its_client_leaves(may_cancel: bool) -> None:
    harness, sock = RouterHarness(may_cancel), ClientSocket()
    client = harness.client()
    client.feed(request(1, X_TXN="9b1f03aa5c7e2d41", X_TTL_MS="60000"))
    harness.route.decide()
    harness.channels[-1].opened(sock)
    client.feed(ABORT)
    assert (b"abort\r\n$16\r\n9b1f03aa5c7e2d41" in sock.written) is may_cancel


# -- floods, and their effect on other clients --


def test_a_client_for_which_we_have_no_memory_is_not_left_for_it() -> None:
    """A shortage of memory must not cost a regular client its open or unread requests."""
    harness = RouterHarness(memory_bytes=100.0)
    client, sock = harness.client(), ClientSocket()
    client._sock = sock
    client.feed(b"".join(request(1, body=bytes(1000)) for _ in range(30)))
    assert not client._closing_reason and sock.written.count(struct.pack(">IB3x", 0, 2)) == 30
    harness.budget.limit_bytes = 48e6
    client.feed(request(1))
    assert len(harness.route.requests) == 1


@pytest.mark.parametrize("earlier", ["nothing", "an earlier request"])
def test_a_client_whose_request_is_unread_keeps_its_place(earlier: str) -> None:
    """Requests that arrive while the router is busy must not be lost to new clients."""
    stand = Stand(sockets=16)  # of which clients get 8
    try:
        for _ in range(10):  # the system picks who is woken first
            held = [stand.client() for _ in range(8)]
            for client in held if earlier != "nothing" else held[:1]:
                assert client.ask(path="/status/live").status == 200
            stand.process.send_signal(signal.SIGSTOP)
            time.sleep(0.15)  # by now all count as silent, or idle
            late = stand.client()
            for client in [*held, late]:
                client.send(X_ROW="7f3a9c21e0b4d655")
            stand.process.send_signal(signal.SIGCONT)
            for _ in held:
                stand.command().reply()
            assert [client.answer().status for client in held] == [200] * 8
            stand.command().reply()
            assert late.answer().status == 200
            for client in [*held, late]:
                client.close()
    finally:
        stand.close()


@pytest.mark.parametrize("by", ["room", "check"])
@pytest.mark.parametrize("unread", [b"", request()[:40]])
def test_no_room_is_made_by_what_is_unread(unread: bytes, by: str) -> None:
    harness, sock = RouterHarness(), ClientSocket()
    client, sock.unread = harness.client(sock), unread
    harness.time_s += 2.2
    server: Any = SimpleNamespace(_clock=harness.clock, _clients={client}, _evicting=set(), _max_clients=8)
    if by == "room":
        Server._evict_clients(server)
    else:
        client.expire_overdue(harness.clock.now())
    assert bool(client._closing_reason) is not bool(unread) and not client.closed


def test_stalled_incomplete_requests_make_room() -> None:
    """Incomplete requests that hold all places must be ended for a regular client that waits."""
    stand = Stand(sockets=16)
    try:
        incomplete = [stand.client() for _ in range(8)]
        for client in incomplete:
            client.sock.sendall(request()[:-8])
        late = stand.client()
        assert late.ask(path="/status/live").status == 200
        ends = []
        for client in incomplete:
            try:
                ends.append(client.answer().status)
            except (EOFError, ConnectionResetError):
                ends.append(0)
        assert 0 in ends and set(ends) <= {0, 408}  # it took the place of one, which was told nothing
    finally:
        stand.close()


@pytest.mark.parametrize("memory_mb", [64, 80, 192])
def test_size_decides_nothing_while_memory_is_short(memory_mb: int) -> None:
    """Small requests must not take all memory as it is released, so that large ones are never admitted."""
    harness, chooser = RouterHarness(memory_bytes=memory_mb * 0.25e6), random.Random(7)
    admit, submitted, admitted = harness.route.admit, Counter[str](), Counter[str]()
    open_requests: deque[OpenRequest] = deque()
    for number in range(20_000):
        kind = "large" if chooser.random() < 0.1 else "small"
        size = 240.0 if kind == "large" else chooser.uniform(10.0, 40.0)  # KB
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
        if chooser.random() < 0.5 and open_requests:  # half as many end as are admitted
            completed = open_requests.popleft()
            completed.answered = True
            admit.close_request(completed)
        assert 0 <= harness.budget._reserved_bytes <= memory_mb * 0.25e6
    shares = {kind: admitted[kind] / submitted[kind] for kind in submitted}
    assert shares["small"] < 0.9 and shares["large"] > 0.9 * shares["small"]


def test_incomplete_requests_of_a_few_clients_keep_nobody_out() -> None:
    """Another client's complete request is always admitted, and all is released once they are ended."""
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


def test_records_that_are_never_whole_are_held_within_bounds() -> None:
    """Incomplete requests must not exhaust the memory, of which only what has been read is counted."""
    stand = Stand(memory_mb=64)
    try:
        regular, incomplete = stand.client(), [stand.client() for _ in range(300)]
        before = peak_memory_mb(stand)
        for client in incomplete:
            client.sock.sendall(request()[:-8] + HEADER + bytes(65_000))
        regular.send(path="/svc/confirm", body=bytes(4000))
        stand.command().reply(body=b"usual")
        assert regular.answer().body == b"usual"
        for client in incomplete:
            with contextlib.suppress(ConnectionResetError):
                while client.sock.recv(4096):
                    pass  # until its end: all that was sent has been read
        assert peak_memory_mb(stand) < before + 16.0  # 40 MB when each connection held its half record
    finally:
        stand.close()


@pytest.mark.parametrize("step", [1, 7, 4096, 70_000])
def test_a_long_record_is_the_same_however_it_is_cut(step: int) -> None:
    body = random.Random(3).randbytes(60_000)
    data = request(1, body=body, padding=200) + ABORT + request(1, body=body) + record(2, 9) + request(2)
    harness = RouterHarness()
    client = harness.client()
    for at in range(0, len(data), step):
        client.feed(data[at : at + step])
    assert [open_request.client_request.body for open_request in harness.route.requests] == [body, b""]
    assert not harness.budget._incomplete_bytes and client._partial_since_ms == 0 == len(client._buffer)


def test_a_record_that_drips_is_ended_in_time() -> None:
    harness = RouterHarness()
    client = harness.client()
    client.feed(request()[:-8] + HEADER)
    for _ in range(25):
        harness.time_s += 0.1
        client.feed(b"x")
    client.expire_overdue(harness.clock.now())
    assert client._closing_reason == "a record is not whole in time"


def test_cancelled_timers_do_not_pile_up() -> None:
    """As with clients that connect, claim to wait for a minute and disconnect."""
    harness = RouterHarness()
    client = harness.client()
    timer = harness.timers.call_at(harness.clock.now() + 50.0, lambda: None)
    for _ in range(2000):
        client.feed(request(1, X_TTL_MS="3600000") + ABORT)
    assert len(harness.timers._heap) <= 1025 and timer in [found for _, _, found in harness.timers._heap]
    assert not len(harness.route.requests)


def test_floods_that_go_at_once_take_nothing_from_others() -> None:
    """Hundreds of requests, long bodies, incomplete requests, a repeated id, and then a FIN or a reset."""
    stand, stopped = Stand(memory_mb=64), threading.Event()
    fetched: set[str] = set()

    def serve() -> None:
        while not stopped.is_set():
            if (fetch := stand.maybe_command(0.05)) is not None and fetch.word == "fetch":
                fetched.add(fetch.fields["item"])
                if fetch.fields["item"] == "7f3a9c21e0b4d655":
                    fetch.reply(body=bytes(20_000))

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    try:
        regular, chooser, before = stand.client(), random.Random(5), peak_memory_mb(stand)
        for number in range(60):
            bad = stand.client()
            txn, data = f"{number:016x}", b""
            for ident in range(1, 301):
                data += request(
                    ident,
                    "/svc/image",
                    X_ROW=f"{ident:016x}",
                    X_TXN=txn if number % 3 else None,
                    X_TTL_MS="60000",
                    body=bytes(chooser.choice((0, 0, 9000))),
                )
            data += record(5, 300, bytes(60_000)) * 5 + b"".join(record(2, ident) for ident in range(400))
            with contextlib.suppress(OSError):
                bad.sock.sendall(data[: chooser.randrange(len(data) // 2, len(data))])
            disconnect(bad, chooser.choice(("FIN", "reset")))
            regular.send()
            assert regular.answer().status == 200
        assert peak_memory_mb(stand) < before + 24.0
        assert not stand.lines("internal_error") and sum(map(len, stand.lines("request_malformed"))) < 20_000
    finally:
        stopped.set()
        server.join()
        stand.close()


def test_incomplete_requests_are_ended_where_each_check_comes_late() -> None:
    """On a busy host, incomplete requests would otherwise hold their places for good."""
    checked_at: list[float] = []

    async def play() -> None:
        client = SimpleNamespace(expire_overdue=checked_at.append)
        server: Any = SimpleNamespace(_clients=[client], _clock=Clock(trio.current_time))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Server._check_clients, server)
            for _ in range(10):
                await trio.sleep(0.1)
                mock.jump(0.8)  # nobody ran for so long
            nursery.cancel_scope.cancel()

    mock = trio.testing.MockClock(autojump_threshold=0.0)
    trio.run(play, clock=mock)
    assert len(checked_at) >= 5


def test_a_request_received_in_parts_during_a_suspension_is_not_ended() -> None:
    """Its remainder is in the socket as the router resumes, and is read before the time-out counts."""
    stand = Stand()
    try:
        clients = [stand.client() for _ in range(4)]
        requests = [client.request(1, X_ROW="7f3a9c21e0b4d655") for client in clients]
        for client, data in zip(clients, requests, strict=True):
            client.sock.sendall(data[:40])
        time.sleep(0.3)
        stand.process.send_signal(signal.SIGSTOP)
        time.sleep(2.5)
        for client, data in zip(clients, requests, strict=True):
            client.sock.sendall(data[40:])
        time.sleep(0.1)
        stand.process.send_signal(signal.SIGCONT)
        for _ in clients:
            stand.command().reply()
        assert [client.answer().status for client in clients] == [200] * 4
    finally:
        stand.close()


def test_a_client_that_was_accepted_before_a_stop_is_not_ended_before_it_is_read() -> None:
    """A check that follows a suspension must not come before the task that reads the connection."""
    near, far = socket.socketpair()
    with near, far:
        near.setblocking(False)
        harness = RouterHarness()
        client = ClientConnection(near, harness.front, harness.clock.now, harness.budget)
        far.sendall(request())
        harness.time_s += 3.0
        client.expire_overdue(harness.clock.now())
        assert not client.is_closing()

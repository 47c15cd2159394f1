"""Clients that leave, flood or come in parts, in the moments in which that is easily missed."""

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
from stonecove.frontends.fastcgi import Front
from stonecove.pipeline.route import Route
from stonecove.protocols.fastcgi.session import Session
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.runtime.clock import Clock
from stonecove.runtime.timers import Timers
from stonecove.server.serve import Server
from stonecove.state.budget import Budget
from stonecove.state.requests import OpenRequest
from stonecove.transport.client_connection import Connection

ABORT = record(2, 1)
HEADER = struct.pack(">BBHHBB", 1, 5, 1, 65_535, 0, 0)


class Wire:
    """A socket's end that takes what it is given while it has room."""

    def __init__(self, room: bool = True) -> None:
        self.room = room
        self.written = b""
        self.unread = b""

    def send(self, data: bytes | memoryview, /) -> int:
        if not self.room:
            raise BlockingIOError
        self.written += bytes(data)
        return len(data)

    def recv(self, count: int, flags: int, /) -> bytes:
        if not self.unread:
            raise BlockingIOError
        return self.unread[:count]


class Line(Session):
    """A client connection without its I/O."""

    over = False
    finish: Any = Connection.finish

    def close(self) -> None:
        self.over = True

    def _look(self) -> bool:
        wire: Any = self._sock
        came, wire.unread = wire.unread, b""
        self.feed(came)
        return True

    def feed(self, data: bytes) -> None:
        for at in range(0, len(data), 4096):
            self._buffer.feed(data[at : at + 4096])
            self.received()


class Seam:
    """A router without I/O: a front, its route, and channels to caches that come up when the test says so."""

    def __init__(self, may_cancel: bool = True, memory: float = 48e6) -> None:
        self.time = 1000.0
        self.clock = Clock(lambda: self.time)
        self.timers = Timers(self.clock, lambda: self.time)
        self.budget = Budget()
        self.budget.most = memory
        self.channels: list[Channel] = []
        self.answers: list[Answer] = []
        settings = make_settings(
            make_class(deadline_ms=60_000.0, latency_objective_ms=30_000.0), cancellation_allowed=may_cancel
        )
        self.route = Route(settings, 7, self.clock, self.timers, self.budget, 0.0, self._connect)
        self.route.send.most_links = 100
        self.route.told(MembersUpdate(True, tuple(Member(node, "127.0.0.1", 1) for node in make_nodes())))
        self.front = Front(settings, self.route)
        self.front.ready = True

    def _connect(self, owner: Owner, address: tuple[str, int], patience: float) -> Channel:
        self.channels.append(Channel(owner, self.clock.now))
        return self.channels[-1]

    def line(self, sock: Wire | None = None) -> Line:
        return Line(sock or Wire(), self.front, self.clock.now, self.budget)


def request(ident: int = 1, path: str = "/svc/pictures", **what: Any) -> bytes:
    """The records of a whole request."""
    return Client.request(None, ident, path, **what)  # type: ignore[arg-type]


def peak(stand: Stand) -> float:
    """MB of memory that the router has held at most."""
    text = Path(f"/proc/{stand.process.pid}/status").read_text()
    return int(text.partition("VmHWM:")[2].split()[0]) / 1e3


@pytest.fixture
def stand() -> Iterator[Stand]:
    running = Stand()
    yield running
    assert running.process.poll() is None and not running.lines("internal_error")
    running.close()


# -- clients that leave --


def leave(client: Client, way: str) -> None:
    """Leaves request 1 by that way."""
    if way == "abort":
        client.sock.sendall(ABORT)
    elif way == "half-close":
        client.sock.shutdown(socket.SHUT_WR)
    else:
        if way == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()


def usual(client: Client) -> None:
    """Nothing more than the request."""


def turned_away(client: Client) -> None:
    """Asks for what there is not until it is taken in no more."""
    client.sock.sendall(b"".join(request(ident, "/svc/nothing") for ident in range(2, 23)))
    assert {client.answer().status for _ in range(21)} == {404}


def aborted_a_lot(client: Client) -> None:
    """Aborts by the hundred, of what is not open, and more requests than may be open."""
    client.sock.sendall(b"".join(record(2, ident) for ident in range(2, 900)))


@pytest.mark.parametrize("way", ["abort", "FIN", "half-close", "reset"])
@pytest.mark.parametrize("before", [usual, turned_away, aborted_a_lot])
def test_a_client_that_leaves_is_noticed_whatever_it_did_before(stand: Stand, before: Any, way: str) -> None:
    """Guards against clients that we are about to leave, and read no more, whose requests are sent on."""
    client = stand.client()
    client.send(X_TTL_MS="60000")
    fetch = stand.command()
    before(client)
    assert stand.client().ask(path="/status/live").status == 200  # by now it has seen all that came before
    leave(client, way)
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
    seam = Seam()
    line = seam.line()
    line.feed(request(1) + b"".join(request(ident, "/svc/nothing") for ident in range(2, 25)))
    seam.route.decide()
    written = len(line._sock.written)  # type: ignore[attr-defined]
    line.feed(bad)
    assert len(line._sock.written) == written and not line.over  # type: ignore[attr-defined]
    assert len(seam.route.requests) == 1
    line.feed(ABORT)
    assert not len(seam.route.requests)
    line = seam.line()
    line.feed(request(1) + b"".join(request(ident, "/svc/nothing") for ident in range(2, 25)))
    line.feed(record(5, 99, bytes(60_000)) * 20)
    assert line.over  # it may not go on for ever


def test_an_abort_behind_a_record_that_was_not_whole_in_time() -> None:
    seam = Seam()
    line = seam.line()
    line.feed(request(1) + request(2)[:-8] + HEADER)
    seam.time += 2.2
    line.check(seam.clock.now())
    assert line._leaving and not line.over
    line.feed(bytes(65_535) + record(5, 2) + request(3) + ABORT)
    assert not len(seam.route.requests) and not seam.budget._used


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("way", ["abort", "end"])
@pytest.mark.parametrize("state", ["undecided", "connecting", "full", "moved", "tried again"])
def test_what_waits_is_not_sent_on_for_a_client_that_left(state: str, way: str, may_cancel: bool) -> None:
    """Whatever it waits for; where the settings allow no cancelling, too."""
    seam, sock = Seam(may_cancel), Wire(room=state != "full")
    line = seam.line()
    line.feed(request(1, X_TTL_MS="60000"))
    if state != "undecided":
        seam.route.decide()
        channel = seam.channels[-1]
        if state == "full":
            channel.opened(sock)
        elif state == "moved":
            channel.up = True  # it came up and was reset before anything was written
            channel.ended("reset")
        elif state == "tried again":
            channel.ended("refused")
        assert len(seam.channels) == 1 + (state in ("moved", "tried again"))
    seam.time += 0.1
    line.feed(ABORT) if way == "abort" else line.ended()
    seam.time += 0.3
    seam.route.decide()
    for channel in seam.channels:
        sock.room = True
        if channel.up:
            channel.writable()
        else:
            channel.opened(sock)
    assert not sock.written and not len(seam.route.requests) and not seam.budget._used


@pytest.mark.parametrize("may_cancel", [True, False])
def test_what_was_written_is_aborted_when_its_client_leaves(may_cancel: bool) -> None:
    seam, sock = Seam(may_cancel), Wire()
    line = seam.line()
    line.feed(request(1, X_TXN="9b1f03aa5c7e2d41", X_TTL_MS="60000"))
    seam.route.decide()
    seam.channels[-1].opened(sock)
    line.feed(ABORT)
    assert (b"abort\r\n$16\r\n9b1f03aa5c7e2d41" in sock.written) is may_cancel


# -- floods, and what others lose by them --


def test_a_client_for_which_we_have_no_memory_is_not_left_for_it() -> None:
    """Guards against a usual client that loses what is open, or unread, because we were short of memory."""
    seam = Seam(memory=100.0)
    line, sock = seam.line(), Wire()
    line._sock = sock
    line.feed(b"".join(request(1, body=bytes(1000)) for _ in range(30)))
    assert not line._leaving and sock.written.count(struct.pack(">IB3x", 0, 2)) == 30
    seam.budget.most = 48e6
    line.feed(request(1))
    assert len(seam.route.requests) == 1


@pytest.mark.parametrize("said", ["nothing", "an earlier request"])
def test_a_client_whose_request_is_unread_keeps_its_place(said: str) -> None:
    """Guards against losing what came while we did other things, as new clients' requests."""
    stand = Stand(sockets=16)  # of which clients get 8
    try:
        for _ in range(10):  # the system picks who is woken first
            held = [stand.client() for _ in range(8)]
            for client in held if said != "nothing" else held[:1]:
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
@pytest.mark.parametrize("came", [b"", request()[:40]])
def test_no_room_is_made_by_what_is_unread(came: bytes, by: str) -> None:
    seam, sock = Seam(), Wire()
    client, sock.unread = seam.line(sock), came
    seam.time += 2.2
    server: Any = SimpleNamespace(_clock=seam.clock, _clients={client}, _making_room=set(), _most_clients=8)
    if by == "room":
        Server._make_room(server)
    else:
        client.check(seam.clock.now())
    assert bool(client._leaving) is not bool(came) and not client.over


def test_halves_that_go_no_further_make_room() -> None:
    """Guards against a usual client that waits until they are ended, though places are all they have."""
    stand = Stand(sockets=16)
    try:
        halves = [stand.client() for _ in range(8)]
        for client in halves:
            client.sock.sendall(request()[:-8])
        late = stand.client()
        assert late.ask(path="/status/live").status == 200
        ends = []
        for client in halves:
            try:
                ends.append(client.answer().status)
            except (EOFError, ConnectionResetError):
                ends.append(0)
        assert 0 in ends and set(ends) <= {0, 408}  # it took the place of one, which was told nothing
    finally:
        stand.close()


@pytest.mark.parametrize("memory_mb", [64, 80, 192])
def test_size_decides_nothing_while_memory_is_short(memory_mb: int) -> None:
    """Guards against large requests that find no room while small ones take all that comes free."""
    seam, draw = Seam(memory=memory_mb * 0.25e6), random.Random(7)
    admit, asked, taken = seam.route.admit, Counter[str](), Counter[str]()
    held: deque[OpenRequest] = deque()
    for number in range(20_000):
        kind = "large" if draw.random() < 0.1 else "small"
        size = 240.0 if kind == "large" else draw.uniform(10.0, 40.0)  # KB
        asked[kind] += 1
        found = admit.enter(
            1000.0,
            ClientRequest(
                f"{number:016x}", "pictures", "", "0", 0, 1, 0, 0, size, 1000.0, "", b"", seam.answers.append
            ),
        )
        if found is not None:
            taken[kind] += 1
            held.append(found)
        if draw.random() < 0.5 and held:  # half as many end as come
            over = held.popleft()
            over.answered = True
            admit.leave(over)
        assert 0 <= seam.budget._used <= memory_mb * 0.25e6
    shares = {kind: taken[kind] / asked[kind] for kind in asked}
    assert shares["small"] < 0.9 and shares["large"] > 0.9 * shares["small"]


def test_halves_of_a_few_clients_keep_nobody_out() -> None:
    """Whatever they hold, another's whole request finds room; all is given back once they are ended."""
    seam = Seam(memory=16e6)
    flood = [seam.line() for _ in range(24)]
    for line in flood:
        for ident in range(1, 33):
            line.feed(request(ident, body=bytes(60_000))[:-8])
    usual = seam.line()
    usual.feed(request(body=bytes(48_000)))
    assert len(seam.route.requests) == 1 and 3e6 < seam.budget._coming <= 4e6
    for line in flood:
        line.ended()
    assert not seam.budget._coming


def test_records_that_are_never_whole_are_held_within_bounds() -> None:
    """Guards against being killed for memory by halves, of which only what is read may be counted."""
    stand = Stand(memory_mb=64)
    try:
        usual, halves = stand.client(), [stand.client() for _ in range(300)]
        before = peak(stand)
        for client in halves:
            client.sock.sendall(request()[:-8] + HEADER + bytes(65_000))
        usual.send(path="/svc/confirm", body=bytes(4000))
        stand.command().reply(body=b"usual")
        assert usual.answer().body == b"usual"
        for client in halves:
            with contextlib.suppress(ConnectionResetError):
                while client.sock.recv(4096):
                    pass  # until its end: all that came has been read
        assert peak(stand) < before + 16.0  # 40 MB when each connection held its half record
    finally:
        stand.close()


@pytest.mark.parametrize("step", [1, 7, 4096, 70_000])
def test_a_long_record_is_the_same_however_it_is_cut(step: int) -> None:
    body = random.Random(3).randbytes(60_000)
    data = request(1, body=body, padding=200) + ABORT + request(1, body=body) + record(2, 9) + request(2)
    seam = Seam()
    line = seam.line()
    for at in range(0, len(data), step):
        line.feed(data[at : at + step])
    assert [open_.asked.body for open_ in seam.route.requests] == [body, b""]
    assert not seam.budget._coming and line._partial_since == 0 == len(line._buffer)


def test_a_record_that_drips_is_ended_in_time() -> None:
    seam = Seam()
    line = seam.line()
    line.feed(request()[:-8] + HEADER)
    for _ in range(25):
        seam.time += 0.1
        line.feed(b"x")
    line.check(seam.clock.now())
    assert line._leaving == "a record is not whole in time"


def test_alarms_that_are_called_off_do_not_pile_up() -> None:
    """As of clients that come, claim to wait for a minute and go."""
    seam = Seam()
    line = seam.line()
    kept = seam.timers.at(seam.clock.now() + 50.0, lambda: None)
    for _ in range(2000):
        line.feed(request(1, X_TTL_MS="3600000") + ABORT)
    assert len(seam.timers._heap) <= 1025 and kept in [alarm for _, _, alarm in seam.timers._heap]
    assert not len(seam.route.requests)


def test_floods_that_go_at_once_take_nothing_from_others() -> None:
    """Hundreds of requests at once, long bodies, halves, the same id again, and then a FIN or a reset."""
    stand, over = Stand(memory_mb=64), threading.Event()
    fetched: set[str] = set()

    def serve() -> None:
        while not over.is_set():
            if (fetch := stand.maybe_command(0.05)) is not None and fetch.word == "fetch":
                fetched.add(fetch.fields["item"])
                if fetch.fields["item"] == "7f3a9c21e0b4d655":
                    fetch.reply(body=bytes(20_000))

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    try:
        usual, draw, before = stand.client(), random.Random(5), peak(stand)
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
                    body=bytes(draw.choice((0, 0, 9000))),
                )
            data += record(5, 300, bytes(60_000)) * 5 + b"".join(record(2, ident) for ident in range(400))
            with contextlib.suppress(OSError):
                bad.sock.sendall(data[: draw.randrange(len(data) // 2, len(data))])
            leave(bad, draw.choice(("FIN", "reset")))
            usual.send()
            assert usual.answer().status == 200
        assert peak(stand) < before + 24.0
        assert not stand.lines("internal_error") and sum(map(len, stand.lines("request_malformed"))) < 20_000
    finally:
        over.set()
        server.join()
        stand.close()


def test_halves_are_ended_where_each_look_comes_late() -> None:
    """Guard against a busy host on which a late look is no look, and halves hold their places for good."""
    looked: list[float] = []

    async def play() -> None:
        client = SimpleNamespace(check=looked.append)
        server: Any = SimpleNamespace(_clients=[client], _clock=Clock(trio.current_time))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(Server._check, server)
            for _ in range(10):
                await trio.sleep(0.1)
                mock.jump(0.8)  # nobody ran for so long
            nursery.cancel_scope.cancel()

    mock = trio.testing.MockClock(autojump_threshold=0.0)
    trio.run(play, clock=mock)
    assert len(looked) >= 5


def test_what_came_in_parts_while_we_were_stopped_is_no_half() -> None:
    """Guard against ending a client for our own stop: its request lies in the socket, whole, as we go on."""
    stand = Stand()
    try:
        clients = [stand.client() for _ in range(4)]
        wholes = [client.request(1, X_ROW="7f3a9c21e0b4d655") for client in clients]
        for client, whole in zip(clients, wholes, strict=True):
            client.sock.sendall(whole[:40])
        time.sleep(0.3)
        stand.process.send_signal(signal.SIGSTOP)
        time.sleep(2.5)
        for client, whole in zip(clients, wholes, strict=True):
            client.sock.sendall(whole[40:])
        time.sleep(0.1)
        stand.process.send_signal(signal.SIGCONT)
        for _ in clients:
            stand.command().reply()
        assert [client.answer().status for client in clients] == [200] * 4
    finally:
        stand.close()


def test_a_client_that_was_accepted_before_a_stop_is_not_ended_before_it_is_read() -> None:
    """Guard against a look that comes, after a stop of ours, ahead of the task that reads the connection."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        seam = Seam()
        client = Connection(ours, seam.front, seam.clock.now, seam.budget)
        theirs.sendall(request())
        seam.time += 3.0
        client.check(seam.clock.now())
        assert not client.leaving()

"""Test signals, and closes by the router, that cross with data in transit."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from stand import SETTINGS, WAIT_TIMEOUT_S, ChangeLog, Client, Stand, UnresponsiveAddress, resp

from stonecove.protocols.fastcgi.session import RECEIVE_TIMEOUT_MS, Session
from stonecove.state.budget import MemoryBudget
from stonecove.transport.client_connection import ClientConnection

TERM, HUP = signal.SIGTERM, signal.SIGHUP
BUDGET = MemoryBudget()
BUDGET.limit_bytes = 1e6


@pytest.fixture
def stand() -> Iterator[Stand]:
    """Yield a running router, which the test has to stop."""
    running = Stand()
    yield running
    assert running.process.wait(WAIT_TIMEOUT_S) == 0
    assert running.lines("router_stopped")[0].endswith(" open=0") and not running.lines("internal_error")
    running.close()


def stop(stand: Stand) -> None:
    stand.process.send_signal(TERM)
    stand.wait(lambda: stand.lines("router_stopping"), "the stop")


def refuses_connections(stand: Stand) -> bool:
    """Return whether the router no longer accepts connections."""
    with contextlib.suppress(OSError), socket.create_connection(stand.address, WAIT_TIMEOUT_S):
        return False
    return True


# -- signals --


@pytest.mark.parametrize("number", [HUP, TERM])
@pytest.mark.parametrize("where", ["imports", "reads", "starts"])
def test_a_signal_before_the_router_is_ready(tmp_path: Path, where: str, number: signal.Signals) -> None:
    """A signal must not end the start: SIGHUP reloads the configuration, SIGTERM ends with exit code 0."""
    config, gate, real = Stand.plain_config(), tmp_path / "gate", tmp_path / "real"
    log, released = ChangeLog(), threading.Event()
    log.missed = lambda: released.wait(WAIT_TIMEOUT_S) and struct.pack(">IQB", 9, 0, 0) or b""
    config["changelog"] = f"127.0.0.1:{log.listener.port}"
    config["settings"] = {**SETTINGS, "rules": {**SETTINGS["rules"], "drain_grace": 60_000.0}}
    real.write_text(json.dumps(config))
    os.mkfifo(gate)
    env = {**os.environ, "RELAY_CONFIG": str(gate if where == "reads" else real)}
    if where == "imports":
        (tmp_path / "ujson.py").write_text(
            f"import sys; open({str(gate)!r}).read(); sys.path.remove({str(tmp_path)!r})\n"
            "del sys.modules['ujson']; import ujson"
        )
        env["PYTHONPATH"] = str(tmp_path)
    with subprocess.Popen([sys.executable, "-m", "stonecove"], env=env, stderr=subprocess.PIPE) as process:
        try:
            if where == "starts":
                Stand.wait(lambda: log.listener.accepted, "a connection to the change log")
                process.send_signal(number)
            else:
                opened: list[int] = []

                def open_gate() -> bool:
                    with contextlib.suppress(OSError):
                        opened.append(os.open(gate, os.O_WRONLY | os.O_NONBLOCK))
                    return bool(opened)

                Stand.wait(open_gate, "the start stands still")
                process.send_signal(number)
                os.write(opened[0], real.read_bytes())
                real.rename(gate) if where == "reads" else None
                os.close(opened[0])
            assert process.stderr is not None
            if number == HUP:
                released.set()
                lines = iter(process.stderr.readline, b"")
                assert any(b" config_reloaded " in line for line in lines)
                process.send_signal(TERM)
            assert process.wait(WAIT_TIMEOUT_S) == 0
        finally:
            released.set()
            process.kill()
            log.listener.close()


@pytest.mark.parametrize("number", [HUP, TERM])
def test_signals_while_the_router_drains_until_it_has_ended(stand: Stand, number: signal.Signals) -> None:
    client = stand.client()
    client.send()
    fetch = stand.command()
    stop(stand)
    stand.process.send_signal(number)
    fetch.reply(body=b"whole")
    assert client.answer().body == b"whole"
    client.close()

    def ended() -> bool:
        stand.process.send_signal(number)
        return stand.process.poll() is not None

    stand.wait(ended, "the end")
    assert not stand.lines("config_reloaded")


# -- the drain --


def test_a_request_that_is_half_read_when_the_grace_period_ends(stand: Stand) -> None:
    client = stand.client()
    data = client.request()
    stand.process.send_signal(TERM)
    stand.wait(lambda: stand.lines("router_stopping"), "the stop")
    client.sock.sendall(data[:-20])
    stand.wait(lambda: refuses_connections(stand), "the end of the grace")
    client.sock.sendall(data[-20:])
    stand.command().reply(body=b"whole")
    assert client.answer().body == b"whole" and client.ended()


@pytest.mark.parametrize("where", ["written", "half answered"])
def test_a_request_in_flight_when_the_router_stops(stand: Stand, where: str) -> None:
    client = stand.client()
    client.send()
    fetch = stand.command()
    answer = resp(fetch.txn.encode(), b"200", b"ver=a,born=9999999999999,tell=hit", b"x" * 20_000)
    half = len(answer) // 2 if where == "half answered" else 0
    fetch.sock.sendall(answer[:half])
    stop(stand)
    fetch.sock.sendall(answer[half:])
    assert client.answer().body == b"x" * 20_000 and client.ended()


def test_a_request_that_waits_for_a_connection_when_the_router_stops() -> None:
    stand, hanging = Stand(limits={**SETTINGS["limits"], "connect_timeout": 28_000.0}), UnresponsiveAddress()
    try:
        for number, cache in enumerate(stand.caches, 2):
            stand.log.tell(number, 2, stand.record(cache, 0, port=hanging.port))
        stand.wait(lambda: len(stand.lines("endpoint_updated")) == 6, "the change")
        client = stand.client()
        client.send()
        assert client.ask(ident=2, path="/svc/nothing").status == 404  # so the first one has been decided
        stop(stand)
        link = hanging.open()
        with link, link.makefile("rb") as stream:
            assert stream.readline() == b"*4\r\n" and stream.readline() == b"$5\r\n"
            stream.readline(), stream.readline()
            txn = stream.readline().strip()
            link.sendall(resp(txn, b"200", b"ver=a,born=9999999999999,tell=hit", b"came up"))
            assert client.answer().body == b"came up"
        client.close()
        assert stand.process.wait(WAIT_TIMEOUT_S) == 0
    finally:
        hanging.close()
        stand.close()


def test_the_drain_ends_before_sigkill_despite_hanging_idle_or_trickling_clients(stand: Stand) -> None:
    hanging, idle, silent, trickling = (stand.client() for _ in range(4))
    assert idle.ask(path="/status/live").status == 200
    hanging.send(X_TTL_MS="3600000")
    stand.command()
    stop(stand)
    data = iter(trickling.request())

    def ended() -> bool:
        with contextlib.suppress(OSError):
            trickling.sock.send(bytes((next(data),)))
        return stand.process.poll() is not None

    stand.wait(ended, "the end")
    assert hanging.answer().status == 503
    assert idle.ended() and silent.ended()
    first, last = (float(stand.lines(event)[0].split()[0]) for event in ("router_stopping", "router_stopped"))
    assert last - first < 3.7


def test_a_connection_between_the_last_poll_of_the_listener_and_its_close(tmp_path: Path) -> None:
    """The process connects to itself: the kernel has established a connection that is not accepted yet."""
    config = Stand.plain_config()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    request = Client.request(Client.__new__(Client), path="/status/live")
    host, port = config["listen"].split(":")
    program = f"""if True:
        import os, select, signal, socket, sys
        from stonecove.server import serve
        look, late = select.select, []
        def last(*lists):
            if not (found := look(*lists)[0]):
                late.append(socket.create_connection(({host!r}, {port}), 20))
                late[0].sendall({request!r})
            return [found]
        select.select = last
        log = serve.log
        def logged(event, **fields):
            log(event, **fields)
            if event == "router_ready":
                os.kill(os.getpid(), signal.SIGTERM)
        serve.log = logged
        code = serve.main()
        print(late[0].recv(1000))
        sys.exit(code)"""
    done = subprocess.run(
        [sys.executable, "-c", program],
        env={**os.environ, "RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_S,
    )
    assert done.returncode == 0 and "Status: 200 OK" in done.stdout, done.stderr


# -- closes that cross with data --


class SlowClient(Client):
    """A client with a small receive buffer: answers stay in the router's socket buffer until it reads."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.sock.settimeout(WAIT_TIMEOUT_S)
        self.sock.connect(address)
        self._stream = self.sock.makefile("rb")
        self._out = {}

    def router_has_closed(self) -> bool:
        """Return whether the router has closed its side."""
        ends = [
            "{:08X}:{:04X}".format(*struct.unpack("=I", socket.inet_aton(host)), port)
            for host, port in (self.sock.getpeername(), self.sock.getsockname())
        ]
        rows = [line.split()[1:4] for line in Path("/proc/net/tcp").read_text().splitlines()]
        return [*ends, "01"] not in rows


@pytest.mark.parametrize("cause", ["the router stops", "others want its place"])
def test_an_unread_answer_survives_a_request_that_crosses_the_close(cause: str) -> None:
    """Otherwise a reset would discard a written answer."""
    stand = Stand(sockets=16)  # of which clients get 8
    client = SlowClient(stand.address)
    client.send()
    stand.command().reply(body=b"x" * 20_000)
    client.sock.recv(1, socket.MSG_PEEK)
    others: list[Client] = []
    if cause == "the router stops":
        stop(stand)
    else:
        for _ in range(7):
            others.append(stand.client())
            others[-1].send()
            stand.command()
        others.append(stand.client())
        others[-1].send()
    stand.wait(client.router_has_closed, "the close")
    client.send(2, X_ROW="0123456789abcdef")
    assert client.answer()[3] == b"x" * 20_000
    with pytest.raises(EOFError):
        client.answer()
    client.close()
    if others:
        stand.command().reply(body=b"has a place")
        assert others[-1].answer().body == b"has a place"
    stand.close()


def test_invalid_data_does_not_abort_an_open_request(stand: Stand) -> None:
    client = stand.client()
    client.send(1)
    fetch = stand.command()
    client.sock.sendall(b"GET / HTTP/1.1\r\n\r\n" * 8000)  # more than one read takes: a close would reset
    stand.wait(lambda: stand.client().ask(path="/status/live").status == 200, "a look at others")
    fetch.reply(body=b"whole")
    assert client.answer().body == b"whole" and client.ended()
    stop(stand)


class RequestRecorder:
    """Records the requests of a connection."""

    def __init__(self) -> None:
        self.idents: list[int] = []
        self.answers = False  # whether each request is answered at once

    def request(self, connection: Session, ident: int, *_: Any) -> bool:
        self.idents.append(ident)
        if self.answers:
            connection.answer(ident, b"\r\n", b"")
        return True

    def aborted(self, connection: Session, ident: int) -> None:
        """Ignore the abort."""


@pytest.mark.parametrize("close", ["check", "finish"])
def test_a_received_but_unread_request_keeps_its_connection_open(close: str) -> None:
    """The request arrives just when the connection is closed as idle."""
    request, handler = Client.request(Client.__new__(Client), 7), RequestRecorder()

    async def play() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        client = ClientConnection(near, handler, lambda: 1.0, BUDGET)

        def close_connection() -> None:
            client.expire_overdue(RECEIVE_TIMEOUT_MS + 2.0) if close == "check" else client.close_if_idle()

        with near, far:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.run)
                await trio.testing.wait_all_tasks_blocked()
                far.sendall(request)
                close_connection()
                assert handler.idents == [7] and not client._closing_reason
                client.answer(7, b"\r\n", b"")
                assert far.recv(4096)
                far.sendall(request[:20])
                close_connection()
                far.sendall(request[20:])
                await trio.testing.wait_all_tasks_blocked()
                assert handler.idents == [7, 7]
                nursery.cancel_scope.cancel()

    trio.run(play)


def test_a_request_read_after_the_close_is_not_forwarded() -> None:
    handler, (near, far) = RequestRecorder(), socket.socketpair()
    request = Client.request(Client.__new__(Client), 7)
    with near, far:
        session = Session(near, handler, lambda: 1.0, BUDGET)
        session.expire_overdue(RECEIVE_TIMEOUT_MS + 2.0)
        session._buffer.feed(request)
        session.received()
        assert handler.idents == []
        session = Session(near, handler, lambda: 1.0, BUDGET)
        last = request.replace(struct.pack(">HB5x", 1, 1), bytes((0, 1)) + bytes(6), 1)
        handler.answers = True
        session._buffer.feed(last + request)  # the second request follows the last answer of the connection
        session.received()
        assert handler.idents == [7]

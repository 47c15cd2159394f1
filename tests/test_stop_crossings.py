"""Signals and closes of the router's own that meet bytes on their way."""

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
from stonecove.memory.budget import Budget
from stonecove.wire.client import Connection
from stonecove.wire.session import TAKE_IN, Session

from stand import PATIENCE, SETTINGS, ChangeLog, Client, Stand

TERM, HUP = signal.SIGTERM, signal.SIGHUP
ROOM = Budget()
ROOM.most = 1e6


@pytest.fixture
def stand() -> Iterator[Stand]:
    """One that the test has to end."""
    running = Stand()
    yield running
    assert running.process.wait(PATIENCE) == 0
    assert running.lines("stopped")[0].endswith(" open=0") and not running.lines("bug")
    running.close()


def stop(stand: Stand) -> None:
    stand.process.send_signal(TERM)
    stand.wait(lambda: stand.lines("stopping"), "the stop")


def refused(stand: Stand) -> bool:
    """Whether the router takes no new connections any more."""
    with contextlib.suppress(OSError), socket.create_connection(stand.address, PATIENCE):
        return False
    return True


# -- signals --


@pytest.mark.parametrize("number", [HUP, TERM])
@pytest.mark.parametrize("where", ["imports", "reads", "starts"])
def test_a_signal_before_the_router_is_ready(tmp_path: Path, where: str, number: signal.Signals) -> None:
    """Guards against a start that a signal ends: SIGHUP means a new configuration, SIGTERM an end with 0."""
    config, gate, real = Stand.plain_config(), tmp_path / "gate", tmp_path / "real"
    log, released = ChangeLog(), threading.Event()
    log.missed = lambda: released.wait(PATIENCE) and struct.pack(">IQB", 9, 0, 0) or b""
    config["changelog"] = f"127.0.0.1:{log.listener.port}"
    config["settings"] = {**SETTINGS, "rules": {**SETTINGS["rules"], "drain_grace": 60_000.0}}
    real.write_text(json.dumps(config))
    os.mkfifo(gate)
    env = {**os.environ, "RELAY_CONFIG": str(gate if where == "reads" else real)}
    if where == "imports":
        (tmp_path / "ujson.py").write_text(
            f"import sys; open({str(gate)!r}).read(); sys.path.remove({str(tmp_path)!r})\n"
            "del sys.modules['ujson']; import ujson")
        env["PYTHONPATH"] = str(tmp_path)
    with subprocess.Popen([sys.executable, "-m", "stonecove"], env=env, stderr=subprocess.PIPE) as process:
        try:
            if where == "starts":
                Stand.wait(lambda: log.listener.accepted, "the change log is asked")
                process.send_signal(number)
            else:
                opened: list[int] = []

                def reads() -> bool:
                    with contextlib.suppress(OSError):
                        opened.append(os.open(gate, os.O_WRONLY | os.O_NONBLOCK))
                    return bool(opened)

                Stand.wait(reads, "the start stands still")
                process.send_signal(number)
                os.write(opened[0], real.read_bytes())
                real.rename(gate) if where == "reads" else None
                os.close(opened[0])
            assert process.stderr is not None
            if number == HUP:
                released.set()
                lines = iter(process.stderr.readline, b"")
                assert any(b" reloaded " in line for line in lines)
                process.send_signal(TERM)
            assert process.wait(PATIENCE) == 0
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
    assert not stand.lines("reloaded")


# -- closes that meet bytes --


def test_what_can_not_be_read_takes_no_open_request_along(stand: Stand) -> None:
    client = stand.client()
    client.send(1)
    fetch = stand.command()
    client.sock.sendall(b"GET / HTTP/1.1\r\n\r\n" * 8000)  # more than is read at once: a close would reset
    stand.wait(lambda: stand.client().ask(path="/status/live").status == 200, "a look at others")
    fetch.reply(body=b"whole")
    assert client.answer().body == b"whole" and client.ended()
    stop(stand)


class Taken:
    """Notes the requests of a connection."""

    def __init__(self) -> None:
        self.idents: list[int] = []
        self.answers = False  # each one at once

    def request(self, connection: Session, ident: int, *_: Any) -> bool:
        self.idents.append(ident)
        if self.answers:
            connection.answer(ident, b"\r\n", b"")
        return True

    def aborted(self, connection: Session, ident: int) -> None:
        """Nobody waits."""


def test_a_request_that_has_come_but_is_not_read_keeps_its_connection() -> None:
    """It comes in the very moment in which the connection is ended for its silence."""
    asked, handler = Client.request(Client.__new__(Client), 7), Taken()

    async def play() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        client = Connection(near, handler, lambda: 1.0, ROOM)

        def end() -> None:
            client.check(TAKE_IN + 2.0)

        with near, far:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.run)
                await trio.testing.wait_all_tasks_blocked()
                far.sendall(asked)
                end()
                assert handler.idents == [7] and not client._leaving
                client.answer(7, b"\r\n", b"")
                assert far.recv(4096)
                far.sendall(asked[:20])
                end()
                far.sendall(asked[20:])
                await trio.testing.wait_all_tasks_blocked()
                assert handler.idents == [7, 7]
                nursery.cancel_scope.cancel()

    trio.run(play)


def test_a_request_that_is_read_after_we_left_is_not_sent_on() -> None:
    handler, (near, far) = Taken(), socket.socketpair()
    asked = Client.request(Client.__new__(Client), 7)
    with near, far:
        session = Session(near, handler, lambda: 1.0, ROOM)
        session.check(TAKE_IN + 2.0)
        session._buffer.feed(asked)
        session.received()
        assert handler.idents == []
        session = Session(near, handler, lambda: 1.0, ROOM)
        last = asked.replace(struct.pack(">HB5x", 1, 1), bytes((0, 1)) + bytes(6), 1)
        handler.answers = True
        session._buffer.feed(last + asked)  # the second one comes after the answer that was to be the last
        session.received()
        assert handler.idents == [7]

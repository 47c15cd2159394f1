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

import pytest
from stonecove.memory.budget import Budget

from stand import PATIENCE, SETTINGS, ChangeLog, Stand

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

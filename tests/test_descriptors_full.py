"""Idle clients fill the descriptors while discovery is down: what the router itself needs still comes up."""

from __future__ import annotations

import socket
import struct
import threading
from functools import partial
from pathlib import Path

import pytest

from stand import ChangeLog, Client, Stand

LIMIT = 64  # descriptors that the system gives, of which the configuration does not know


def descriptors(stand: Stand) -> int:
    return len(list(Path(f"/proc/{stand.process.pid}/fd").iterdir()))


def hold(stand: Stand, speaks: bool) -> Client:
    """A client that holds its place; one that speaks has asked once."""
    client = stand.client()
    if speaks:
        client.send(path="/status/live")
    return client


def grown(stand: Stand, before: int) -> bool:
    """Whether there are more descriptors in use than before, or it was seen that there are too few."""
    return descriptors(stand) > before or bool(stand.lines("no-descriptors"))


def fill(stand: Stand, waiting: int) -> list[Client]:
    """Clients until no descriptor is left, every other one mute, and so many more that wait for a place."""
    held: list[Client] = []
    while descriptors(stand) < LIMIT and not stand.lines("no-descriptors"):
        before = descriptors(stand)
        held.append(hold(stand, len(held) % 2 == 0))
        stand.wait(partial(grown, stand, before), "the descriptor of a client")
    return held + [hold(stand, False) for _ in range(waiting)]


class Asker:
    """A web server: it connects anew where an idle connection of its own was ended."""

    def __init__(self, stand: Stand) -> None:
        self._stand, self._client = stand, stand.client()

    def ask(self, number: int) -> int:
        """The status of the answer to a request for that object."""
        while True:
            try:
                return self._client.ask(X_ROW=f"{number:016x}").status
            except (EOFError, ConnectionError):
                self._client.close()
                self._client = self._stand.client()


class Answers(threading.Thread):
    """Has all fetches answered."""

    def __init__(self, stand: Stand) -> None:
        super().__init__(daemon=True)
        self._stand, self._over = stand, threading.Event()
        self.start()

    def run(self) -> None:
        while not self._over.is_set():
            fetch = self._stand.maybe_command(0.05)
            if fetch is not None and fetch.word == "fetch":
                fetch.reply()

    def end(self) -> None:
        self._over.set()
        self.join()


@pytest.mark.parametrize("waiting", [0, 60])
@pytest.mark.parametrize("sockets", [1024, LIMIT])
def test_the_log_and_the_caches_are_reached_though_clients_hold_all_there_is(
    waiting: int, sockets: int
) -> None:
    stand = Stand(descriptors=LIMIT, sockets=sockets)
    answers = Answers(stand)
    try:
        asker = Asker(stand)
        stand.log.listener.close()
        with socket.socket() as down:  # at that address nobody listens until the log is back
            down.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            down.bind(("127.0.0.1", stand.log.listener.port))
            stand.wait(lambda: stand.lines("changelog-lost"), "the end of the log")
            held = (
                fill(stand, waiting)
                if sockets > LIMIT
                else [hold(stand, n % 2 == 0) for n in range(2 * LIMIT)]
            )
            served = [asker.ask(number) for number in range(1, 25)]
            assert served == [200] * len(served)  # by connections to caches that come up only now
            down.listen()
            back = ChangeLog(down)
            cache = stand.caches[0]
            drain = stand.record(cache, 1)
            back.missed = lambda: struct.pack(">IQB", 9 + len(drain), 2, 2) + drain
            stand.wait(lambda: any("draining" in line for line in stand.lines("node")), "what the log tells")
            served = [asker.ask(number) for number in range(25, 49)]
            assert served == [200] * len(served)
            assert not stand.lines("bug")
            back.listener.close()
        for client in held:
            client.close()
    finally:
        answers.end()
        stand.close()

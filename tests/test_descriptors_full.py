"""Idle clients fill the descriptors while discovery is down: what the router itself needs still comes up."""

from __future__ import annotations

import select
import selectors
import socket
import struct
import threading
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest
from stand import ChangeLog, Client, Stand

LIMIT = 64  # descriptors that the system gives, of which the configuration does not know


def descriptors(stand: Stand) -> int:
    return len(list(Path(f"/proc/{stand.process.pid}/fd").iterdir()))


def answered(stand: Stand, client: Client) -> bool:
    """Whether that client has its answer, or it was seen that there are too few descriptors."""
    return bool(select.select([client.sock], [], [], 0)[0]) or bool(stand.lines("descriptors_exhausted"))


def fill(stand: Stand) -> list[Client]:
    """Clients that have asked once and stay, until no descriptor is left; nobody waits for a place."""
    held: list[Client] = []
    while descriptors(stand) < LIMIT and not stand.lines("descriptors_exhausted"):
        held.append(stand.client())
        held[-1].send(path="/status/live")
        stand.wait(partial(answered, stand, held[-1]), "the answer to a client")
    return held


class Flood(threading.Thread):
    """Clients that say nothing, and come again whenever they are ended."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        super().__init__(daemon=True)
        self._address, self._count, self._over = address, count, threading.Event()
        self.start()

    def run(self) -> None:
        selector, held = selectors.DefaultSelector(), set[socket.socket]()
        while not self._over.is_set():
            while len(held) < self._count:
                held.add(sock := socket.create_connection(self._address))
                selector.register(sock, selectors.EVENT_READ)
            for key, _ in selector.select(0.05):
                selector.unregister(sock := key.fileobj)  # type: ignore[assignment]
                held.discard(sock)
                sock.close()
        for sock in held:
            sock.close()

    def end(self) -> None:
        self._over.set()
        self.join()


class Asker:
    """A web server: it connects anew where an idle connection of its own was ended."""

    def __init__(self, stand: Stand) -> None:
        self._stand, self._client = stand, stand.client()
        assert self._client.ask(path="/status/live").status == 200  # one that never asked is ended after 2 s

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


@pytest.fixture(params=[(1024, "refuses"), (1024, "is silent"), (LIMIT, "refuses")], ids=str)
def full(request: pytest.FixtureRequest) -> Iterator[tuple[Stand, socket.socket]]:
    """A router that gets so few descriptors, be its limit set so or not, and its change log's socket; that is
    down.
    """
    sockets, how = request.param
    stand = Stand(descriptors=LIMIT, sockets=sockets)
    answers = Answers(stand)
    stand.log.listener.close()
    try:
        with socket.socket() as down:
            down.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            down.bind(("127.0.0.1", stand.log.listener.port))
            if how == "is silent":
                down.listen()  # connections come up, and nobody speaks
            stand.wait(lambda: stand.lines("change_log_disconnected"), "the end of the log")
            yield stand, down
        assert stand.process.poll() is None and not stand.lines("internal_error")
    finally:
        answers.end()
        stand.close()


@pytest.mark.parametrize("first", ["log", "caches"])
def test_the_log_and_the_caches_are_reached_though_idle_clients_hold_all_there_is(
    full: tuple[Stand, socket.socket], first: str
) -> None:
    """`first`: what needs a descriptor first."""
    stand, down = full
    asker = Asker(stand)
    held = (
        fill(stand) if stand.config["limits"]["sockets"] > LIMIT else [stand.client() for _ in range(LIMIT)]
    )
    if first == "caches":
        ask_all(asker, range(1, 25))
    back = return_log(stand, down)
    ask_all(asker, range(25, 49))
    back.listener.close()
    for client in held:
        client.close()


def test_clients_that_come_again_and_again_leave_descriptors_to_what_may_have_to_come_up(
    full: tuple[Stand, socket.socket],
) -> None:
    stand, down = full
    flood, asker = Flood(stand.address, 2 * LIMIT), Asker(stand)
    try:
        ask_all(asker, range(1, 25))
        back = return_log(stand, down)
        ask_all(asker, range(25, 49))
        assert max(samples(stand)) < LIMIT
        back.listener.close()
    finally:
        flood.end()


def samples(stand: Stand) -> Iterator[int]:
    """Descriptors in use, again and again for half a second."""
    for _ in range(50):
        yield descriptors(stand)
        time.sleep(0.01)


def ask_all(asker: Asker, numbers: range) -> None:
    served = [asker.ask(number) for number in numbers]
    assert served == [200] * len(served)


def return_log(stand: Stand, down: socket.socket) -> ChangeLog:
    """The change log is back, and the router hears what it has to tell."""
    down.listen()
    back, drain = ChangeLog(down), stand.record(stand.caches[0], 1)
    back.missed = lambda: struct.pack(">IQB", 9 + len(drain), 2, 2) + drain
    stand.wait(
        lambda: any("draining" in line for line in stand.lines("endpoint_updated")), "what the log tells"
    )
    return back

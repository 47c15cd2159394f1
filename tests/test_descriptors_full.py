"""Idle clients use up the descriptors while discovery is down; the router's own connections still open."""

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

DESCRIPTOR_LIMIT = 64  # the process's limit, which the configuration does not state


def open_descriptors(stand: Stand) -> int:
    return len(list(Path(f"/proc/{stand.process.pid}/fd").iterdir()))


def answered(stand: Stand, client: Client) -> bool:
    """Return whether a client has its answer, or the shortage of descriptors was noticed."""
    return bool(select.select([client.sock], [], [], 0)[0]) or bool(stand.lines("descriptors_exhausted"))


def exhaust_descriptors(stand: Stand) -> list[Client]:
    """Connect clients that send one request and stay, until no descriptor is left and no client waits."""
    clients: list[Client] = []
    while open_descriptors(stand) < DESCRIPTOR_LIMIT and not stand.lines("descriptors_exhausted"):
        clients.append(stand.client())
        clients[-1].send(path="/status/live")
        stand.wait(partial(answered, stand, clients[-1]), "the answer to a client")
    return clients


class Flood(threading.Thread):
    """Clients that send nothing, and reconnect whenever they are disconnected."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        super().__init__(daemon=True)
        self._address, self._count, self._stopped = address, count, threading.Event()
        self.start()

    def run(self) -> None:
        selector, clients = selectors.DefaultSelector(), set[socket.socket]()
        while not self._stopped.is_set():
            while len(clients) < self._count:
                clients.add(sock := socket.create_connection(self._address))
                selector.register(sock, selectors.EVENT_READ)
            for key, _ in selector.select(0.05):
                selector.unregister(sock := key.fileobj)  # type: ignore[assignment]
                clients.discard(sock)
                sock.close()
        for sock in clients:
            sock.close()

    def end(self) -> None:
        self._stopped.set()
        self.join()


class WebServer:
    """A web server that reconnects if its idle connection was closed."""

    def __init__(self, stand: Stand) -> None:
        self._stand, self._client = stand, stand.client()
        assert (
            self._client.ask(path="/status/live").status == 200
        )  # a client without a request is ended after 2 s

    def ask(self, number: int) -> int:
        """Return the status of the answer to a request for that object."""
        while True:
            try:
                return self._client.ask(X_ROW=f"{number:016x}").status
            except (EOFError, ConnectionError):
                self._client.close()
                self._client = self._stand.client()


class AnsweringCaches(threading.Thread):
    """Answers all fetches."""

    def __init__(self, stand: Stand) -> None:
        super().__init__(daemon=True)
        self._stand, self._stopped = stand, threading.Event()
        self.start()

    def run(self) -> None:
        while not self._stopped.is_set():
            fetch = self._stand.maybe_command(0.05)
            if fetch is not None and fetch.word == "fetch":
                fetch.reply()

    def end(self) -> None:
        self._stopped.set()
        self.join()


@pytest.fixture(params=[(1024, "refuses"), (1024, "is silent"), (DESCRIPTOR_LIMIT, "refuses")], ids=str)
def exhausted(request: pytest.FixtureRequest) -> Iterator[tuple[Stand, socket.socket]]:
    """A router with few descriptors, whether its configuration states the limit or not, and the socket of its
    change log, which is down.
    """
    sockets, outage = request.param
    stand = Stand(descriptors=DESCRIPTOR_LIMIT, sockets=sockets)
    caches = AnsweringCaches(stand)
    stand.log.listener.close()
    try:
        with socket.socket() as log_socket:
            log_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            log_socket.bind(("127.0.0.1", stand.log.listener.port))
            if outage == "is silent":
                log_socket.listen()  # connections open, and nothing is sent
            stand.wait(lambda: stand.lines("change_log_disconnected"), "the end of the log")
            yield stand, log_socket
        assert stand.process.poll() is None and not stand.lines("internal_error")
    finally:
        caches.end()
        stand.close()


@pytest.mark.parametrize("first", ["log", "caches"])
def test_the_log_and_the_caches_are_reached_though_idle_clients_hold_all_there_is(
    exhausted: tuple[Stand, socket.socket], first: str
) -> None:
    """Either the change log or the caches need a descriptor first."""
    stand, log_socket = exhausted
    web_server = WebServer(stand)
    clients = (
        exhaust_descriptors(stand)
        if stand.config["limits"]["sockets"] > DESCRIPTOR_LIMIT
        else [stand.client() for _ in range(DESCRIPTOR_LIMIT)]
    )
    if first == "caches":
        request_all(web_server, range(1, 25))
    log = return_log(stand, log_socket)
    request_all(web_server, range(25, 49))
    log.listener.close()
    for client in clients:
        client.close()


def test_clients_that_come_again_and_again_leave_descriptors_to_what_may_have_to_come_up(
    exhausted: tuple[Stand, socket.socket],
) -> None:
    stand, log_socket = exhausted
    flood, web_server = Flood(stand.address, 2 * DESCRIPTOR_LIMIT), WebServer(stand)
    try:
        request_all(web_server, range(1, 25))
        log = return_log(stand, log_socket)
        request_all(web_server, range(25, 49))
        assert max(samples(stand)) < DESCRIPTOR_LIMIT
        log.listener.close()
    finally:
        flood.end()


def samples(stand: Stand) -> Iterator[int]:
    """Yield the number of descriptors in use, repeatedly for half a second."""
    for _ in range(50):
        yield open_descriptors(stand)
        time.sleep(0.01)


def request_all(web_server: WebServer, numbers: range) -> None:
    served = [web_server.ask(number) for number in numbers]
    assert served == [200] * len(served)


def return_log(stand: Stand, log_socket: socket.socket) -> ChangeLog:
    """Start the change log again, and wait until the router has received a drain."""
    log_socket.listen()
    log, drain = ChangeLog(log_socket), stand.record(stand.caches[0], 1)
    log.missed = lambda: struct.pack(">IQB", 9 + len(drain), 2, 2) + drain
    stand.wait(
        lambda: any("draining" in line for line in stand.lines("endpoint_updated")), "what the log tells"
    )
    return log

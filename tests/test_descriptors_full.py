"""Idle clients use all descriptors while discovery is down; the router still opens its own connections."""

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
from process_harness import ChangeLog, Client, ProcessHarness

DESCRIPTOR_LIMIT = 64  # of the process; the configuration may state a higher one


def open_descriptors(harness: ProcessHarness) -> int:
    return len(list(Path(f"/proc/{harness.process.pid}/fd").iterdir()))


def is_answered_or_exhausted(harness: ProcessHarness, client: Client) -> bool:
    """Return whether a client has its answer, or the router has logged that no descriptor is left."""
    return bool(select.select([client.sock], [], [], 0)[0]) or bool(
        harness.log_lines("descriptors_exhausted")
    )


def exhaust_descriptors(harness: ProcessHarness) -> list[Client]:
    """Connect clients that stay after the answer to one request, until no descriptor is left."""
    clients: list[Client] = []
    while open_descriptors(harness) < DESCRIPTOR_LIMIT and not harness.log_lines("descriptors_exhausted"):
        clients.append(harness.client())
        clients[-1].send(path="/status/live")
        harness.wait_until(partial(is_answered_or_exhausted, harness, clients[-1]), "the answer to a client")
    return clients


class ReconnectingClients(threading.Thread):
    """Clients that send nothing, and reconnect when they are disconnected."""

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

    def stop(self) -> None:
        self._stopped.set()
        self.join()


class WebServer:
    """A web server that sends requests to the router, and reconnects if its idle connection was closed."""

    def __init__(self, harness: ProcessHarness) -> None:
        self._harness, self._client = harness, harness.client()
        assert (
            self._client.exchange(path="/status/live").status == 200
        )  # a client without a request is disconnected after 2 s

    def request_object(self, number: int) -> int:
        """Request an object; return the status of the answer."""
        while True:
            try:
                return self._client.exchange(X_ROW=f"{number:016x}").status
            except (EOFError, ConnectionError):
                self._client.close()
                self._client = self._harness.client()


class AnsweringCaches(threading.Thread):
    """Caches that answer all fetches."""

    def __init__(self, harness: ProcessHarness) -> None:
        super().__init__(daemon=True)
        self._harness, self._stopped = harness, threading.Event()
        self.start()

    def run(self) -> None:
        while not self._stopped.is_set():
            fetch = self._harness.next_command_within(0.05)
            if fetch is not None and fetch.name == "fetch":
                fetch.reply()

    def stop(self) -> None:
        self._stopped.set()
        self.join()


@pytest.fixture(params=[(1024, "refuses"), (1024, "is silent"), (DESCRIPTOR_LIMIT, "refuses")], ids=str)
def exhausted(request: pytest.FixtureRequest) -> Iterator[tuple[ProcessHarness, socket.socket]]:
    """Yield a router with few descriptors whose change log is down, and the socket of that change log.

    The configuration states the limit, or a higher one.
    """
    sockets, outage = request.param
    harness = ProcessHarness(descriptors=DESCRIPTOR_LIMIT, sockets=sockets)
    caches = AnsweringCaches(harness)
    harness.change_log.listener.close()
    try:
        with socket.socket() as log_socket:
            log_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            log_socket.bind(("127.0.0.1", harness.change_log.listener.port))
            if outage == "is silent":
                log_socket.listen()  # connections open, and nothing is sent
            harness.wait_until(
                lambda: harness.log_lines("change_log_disconnected"), "the disconnection from the change log"
            )
            yield harness, log_socket
        assert harness.process.poll() is None and not harness.log_lines("internal_error")
    finally:
        caches.stop()
        harness.close()


@pytest.mark.parametrize("first", ["log", "caches"])
def test_change_log_and_caches_are_reached_while_idle_clients_use_all_descriptors(
    exhausted: tuple[ProcessHarness, socket.socket], first: str
) -> None:
    """`first` tells whether the change log or the caches need a descriptor first."""
    harness, log_socket = exhausted
    web_server = WebServer(harness)
    clients = (
        exhaust_descriptors(harness)
        if harness.config["limits"]["sockets"] > DESCRIPTOR_LIMIT
        else [harness.client() for _ in range(DESCRIPTOR_LIMIT)]
    )
    if first == "caches":
        request_all(web_server, range(1, 25))
    log = restart_change_log(harness, log_socket)
    request_all(web_server, range(25, 49))
    log.listener.close()
    for client in clients:
        client.close()


def test_reconnecting_clients_leave_descriptors_for_upstream_connections(
    exhausted: tuple[ProcessHarness, socket.socket],
) -> None:
    harness, log_socket = exhausted
    reconnecting, web_server = ReconnectingClients(harness.address, 2 * DESCRIPTOR_LIMIT), WebServer(harness)
    try:
        request_all(web_server, range(1, 25))
        log = restart_change_log(harness, log_socket)
        request_all(web_server, range(25, 49))
        assert max(count_descriptors(harness)) < DESCRIPTOR_LIMIT
        log.listener.close()
    finally:
        reconnecting.stop()


def count_descriptors(harness: ProcessHarness) -> Iterator[int]:
    """Yield the number of open descriptors, repeatedly for half a second."""
    for _ in range(50):
        yield open_descriptors(harness)
        time.sleep(0.01)


def request_all(web_server: WebServer, numbers: range) -> None:
    served = [web_server.request_object(number) for number in numbers]
    assert served == [200] * len(served)


def restart_change_log(harness: ProcessHarness, log_socket: socket.socket) -> ChangeLog:
    """Start the change log again, and wait until the router has received a drain from it."""
    log_socket.listen()
    log, drain = ChangeLog(log_socket), harness.endpoint_record(harness.caches[0], 1)
    log.first_frames = lambda: struct.pack(">IQB", 9 + len(drain), 2, 2) + drain
    harness.wait_until(
        lambda: any("draining" in line for line in harness.log_lines("endpoint_updated")),
        "the drain",
    )
    return log

"""Test that no attempt begins more than 0.1 s after its client has aborted the request or disconnected.

These tests run the real program over loopback. Beside the clients that disconnect, one stays connected: it
shows that the attempt would otherwise have begun.
"""

from __future__ import annotations

import contextlib
import signal
import socket
import struct
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest
from process_harness import (
    SETTINGS,
    WAIT_TIMEOUT_S,
    Cache,
    CacheCommand,
    Client,
    ProcessHarness,
    UnresponsiveAddress,
    fastcgi_record,
)

DISCONNECT_METHODS = ("abort", "FIN", "half-close", "reset")
STAYS_CONNECTED = "stays connected"
DISCONNECT_DETECTION_S = 0.2  # a disconnection is noticed by then; the limit is 0.1 s
QUIET_PERIOD_S = 0.6  # if no fetch arrives for this long, none is expected
HEDGE_AFTER_S = 1.2  # in tests of hedged attempts
LONG_TTL: dict[str, Any] = {"X_TTL_MS": "60000"}


class DisconnectingClient(NamedTuple):
    """A client with a request for an item of its own, and the method by which it disconnects."""

    method: str
    item: str
    client: Client

    def disconnect(self, ident: int = 1) -> None:
        """Abort request `ident`, or end the connection."""
        if self.method == "abort":
            self.client.sock.sendall(fastcgi_record(2, ident))
        elif self.method == "half-close":
            self.client.sock.shutdown(socket.SHUT_WR)
        elif self.method != STAYS_CONNECTED:
            if self.method == "reset":
                self.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.client.close()


@contextlib.contextmanager
def running(
    limits: dict[str, Any] | None = None, objective_ms: float = 30_000.0, memory_mb: float = 192
) -> Iterator[ProcessHarness]:
    """Run a router with other limits; `objective_ms` delays hedged attempts."""
    classes = [{**cls, "on_time": objective_ms, "deadline": 60_000.0} for cls in SETTINGS["classes"]]
    harness = ProcessHarness(
        limits={**SETTINGS["limits"], **(limits or {})}, classes=classes, memory_mb=memory_mb
    )
    try:
        yield harness
        assert harness.process.poll() is None and not harness.log_lines("internal_error")
    finally:
        harness.close()


def disconnecting_clients(
    harness: ProcessHarness,
    items: Sequence[str],
    methods: Sequence[str] = (*DISCONNECT_METHODS, STAYS_CONNECTED),
) -> list[DisconnectingClient]:
    """Return a client for each item, with the methods of disconnecting in turn."""
    return [
        DisconnectingClient(methods[number % len(methods)], item, harness.client())
        for number, item in enumerate(items)
    ]


def item_name(number: int) -> str:
    return f"{number:016x}"


def item_names(count: int) -> list[str]:
    return [item_name(1 + number) for number in range(count)]


def fetches(harness: ProcessHarness, count: int) -> dict[str, CacheCommand]:
    """Return the next fetches, by item."""
    found: dict[str, CacheCommand] = {}
    while len(found) < count:
        fetch = harness.next_command()
        found[fetch.fields["item"]] = fetch
    return found


def remaining_fetches(harness: ProcessHarness) -> list[str]:
    """Return the items of all fetches that still arrive."""
    found = []
    while (command := harness.next_command_within(QUIET_PERIOD_S)) is not None:
        if command.name == "fetch":
            found.append(command.fields["item"])
    return found


def items_of_cache(harness: ProcessHarness, cache: Cache, count: int) -> list[str]:
    """Return items whose home is that cache."""
    found: list[str] = []
    client, number = harness.client(), 0
    while len(found) < count:
        number += 1
        client.send(X_ROW=item_name(number))
        fetch = harness.next_command()
        if fetch.cache is cache:
            found.append(item_name(number))
        fetch.reply()
        assert client.read_answer().status == 200
    client.close()
    return found


def disconnect_all(clients: Sequence[DisconnectingClient]) -> None:
    for each in clients:
        each.disconnect()


def items_of_connected(clients: Sequence[DisconnectingClient]) -> list[str]:
    return sorted(each.item for each in clients if each.method == STAYS_CONNECTED)


@contextlib.contextmanager
def suspended(harness: ProcessHarness) -> Iterator[None]:
    """Suspend the router, so that it handles all events of that time in one iteration, in any order."""
    harness.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{harness.process.pid}/stat")
    harness.wait_until(lambda: stat.read_text().split()[2] == "T", "the suspension")
    yield
    time.sleep(DISCONNECT_DETECTION_S)
    harness.process.send_signal(signal.SIGCONT)


def move_cache_to_port(harness: ProcessHarness, cache: Cache, port: int) -> None:
    """Announce that the cache listens at another port."""
    before = len(harness.log_lines("endpoint_updated"))
    harness.change_log.send_event(
        before - 2, 2, harness.endpoint_record(cache, 0, port=port)
    )  # the first event of the log is number 2
    harness.wait_until(
        lambda: len(harness.log_lines("endpoint_updated")) == before + 1, "the new port of the cache"
    )


# -- attempts that wait --


def receive_until(listener: UnresponsiveAddress, until: str) -> bytes:
    """Return the data of all connections, up to the time when `until` has arrived and no more data follows.

    The kernel may complete the handshake of a connection that is not accepted yet, so an attempt may arrive
    on any of them.
    """
    connections, data, end = [listener.accept()], b"", time.monotonic() + WAIT_TIMEOUT_S
    listener.sock.setblocking(False)
    while time.monotonic() < end:
        with contextlib.suppress(BlockingIOError):
            connections.append(listener.sock.accept()[0])
        for connection in connections:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                before, data = data, data + connection.recv(65_536)
                if until.encode() in data and until.encode() not in before:
                    end = time.monotonic() + QUIET_PERIOD_S
        time.sleep(0.01)
    return data


def test_no_first_attempt_on_connection_that_opens_after_disconnect() -> None:
    limits = {"cancel": False, "connect_timeout": 28_000.0}  # time for the kernel to retry the handshake
    with running(limits) as harness:
        unresponsive_address = UnresponsiveAddress()
        move_cache_to_port(harness, harness.caches[0], unresponsive_address.port)
        harness.change_log.send_event(
            3, 2, harness.endpoint_record(harness.caches[1], 1)
        )  # so that all requests go to one cache
        harness.wait_until(lambda: len(harness.log_lines("endpoint_updated")) == 6, "the drain")
        clients = disconnecting_clients(harness, item_names(5))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
            # once it has its answer, the first request has been decided
            assert each.client.exchange(ident=2, path="/svc/nothing").status == 404
        disconnect_all(clients)
        time.sleep(DISCONNECT_DETECTION_S)
        data = receive_until(unresponsive_address, *items_of_connected(clients))
        assert [each.item for each in clients if each.item.encode() in data] == items_of_connected(clients)
        unresponsive_address.close()


def test_no_attempt_at_next_cache_after_connect_timeout() -> None:
    """The cache never completes the handshake; the next cache gets only requests that still have a client."""
    with running({"connect_timeout": 500.0}) as harness:
        clients = disconnecting_clients(harness, items_of_cache(harness, harness.caches[0], 5))
        unresponsive_address = UnresponsiveAddress()
        move_cache_to_port(harness, harness.caches[0], unresponsive_address.port)
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
            assert each.client.exchange(ident=2, path="/svc/nothing").status == 404
        disconnect_all(clients)
        assert remaining_fetches(harness) == items_of_connected(clients)
        unresponsive_address.close()


@pytest.mark.parametrize("cancellation_allowed", [True, False])
def test_no_retry_after_failed_attempt(cancellation_allowed: bool) -> None:
    failures = ("503", "500", "reset")
    with running({"cancel": cancellation_allowed}) as harness:
        clients = disconnecting_clients(harness, item_names(15))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        in_flight = fetches(harness, len(clients))
        disconnect_all(clients)
        time.sleep(DISCONNECT_DETECTION_S)
        for number, each in enumerate(clients):
            if failures[number // 5] == "reset":
                in_flight[each.item].sock.shutdown(socket.SHUT_RDWR)
            else:
                with contextlib.suppress(OSError):
                    in_flight[each.item].reply(failures[number // 5])
        assert sorted(remaining_fetches(harness)) == items_of_connected(clients)


def test_no_hedged_attempt_after_disconnect() -> None:
    with running({"connect_timeout": 150.0}, HEDGE_AFTER_S / 0.6 * 1000.0) as harness:
        clients = disconnecting_clients(harness, item_names(5))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        fetches(harness, len(clients))
        disconnect_all(clients)
        time.sleep(HEDGE_AFTER_S)
        assert set(remaining_fetches(harness)) == set(items_of_connected(clients))


# -- busy clients --


def test_no_retry_for_clients_with_full_receive_buffers() -> None:
    """Each has 32 requests open or unread, and the router's send buffers to them are full."""
    with running({"cancel": False}) as harness:
        clients = disconnecting_clients(harness, item_names(len(DISCONNECT_METHODS) + 1))
        for place, each in enumerate(clients):
            each.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            each.client.send(X_ROW=each.item, **LONG_TTL)
            for ident in range(2, 33):
                each.client.send(ident, X_ROW=item_name(1000 * (place + 1) + ident), **LONG_TTL)
        in_flight = fetches(harness, 32 * len(clients))
        for item, fetch in in_flight.items():
            if int(item, 16) % 1000 > 16:
                fetch.reply(body=bytes(100_000))
        time.sleep(DISCONNECT_DETECTION_S)
        disconnect_all(clients)
        time.sleep(DISCONNECT_DETECTION_S)
        for each in clients:
            in_flight[each.item].reply("503")
        assert remaining_fetches(harness) == items_of_connected(clients)


def test_no_retry_for_clients_that_disconnect_while_memory_is_exhausted() -> None:
    with running({"cancel": False}, memory_mb=12) as harness:  # a quarter of it is 3 MB
        clients = disconnecting_clients(harness, item_names(len(DISCONNECT_METHODS) + 1))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        in_flight, flood = fetches(harness, len(clients)), harness.client()
        for ident in range(1, 33):
            flood.send(ident, X_ROW=item_name(100 + ident), X_WORKING_SET_KB="240", **LONG_TTL)
        assert flood.read_answer().status == 503  # the memory is exhausted
        disconnect_all(clients)
        time.sleep(DISCONNECT_DETECTION_S)
        for fetch in in_flight.values():
            fetch.reply("503")
        assert set(remaining_fetches(harness)) & set(in_flight) == set(items_of_connected(clients))


# -- a router that was suspended and finds all events at once --


def test_request_read_together_with_disconnect_is_not_sent() -> None:
    with running() as harness:
        with suspended(harness):
            clients = disconnecting_clients(harness, item_names(50))
            for each in clients:
                each.client.send(X_ROW=each.item, **LONG_TTL)
            disconnect_all(clients)
        assert sorted(remaining_fetches(harness)) == items_of_connected(clients)


@pytest.mark.parametrize("method", ["FIN", "half-close", "reset", STAYS_CONNECTED])
def test_requests_are_not_sent_after_their_client_left_much_unread(method: str) -> None:
    """Guards against an end of the connection that is hidden behind more than is read at once."""
    with running() as harness:
        with suspended(harness):
            client = DisconnectingClient(method, "", harness.client())
            bodies = {ident: bytes(60_000) for ident in range(1, 33)}
            data = b"".join(
                client.client.encode_request(ident, path="/svc/confirm", body=body, X_ROW=item_name(ident))
                for ident, body in bodies.items()
            )
            client.client.sock.setblocking(False)
            sent = client.client.sock.send(data)  # loopback takes the whole amount, or the test proves less
            assert sent > 1_000_000
            client.disconnect()
        sent_on = remaining_fetches(harness)
        if method == STAYS_CONNECTED:
            assert len(sent_on) >= sent * len(bodies) // len(data)
        else:
            assert sent_on == []


TXN = "9b1f03aa5c7e2d41"


def send_and_leave(harness: ProcessHarness, path: str) -> CacheCommand:
    """Send a request whose client leaves while it runs; return its fetch."""
    client = harness.client()
    client.send(path=path, X_TXN=TXN, **LONG_TTL)
    fetch = harness.next_command()
    client.close()
    harness.next_command("abort")
    return fetch


@pytest.mark.parametrize("spelling", [TXN, TXN.upper()])
def test_id_that_comes_again_after_its_client_left_is_not_run_again(spelling: str) -> None:
    """Guards against an effect that happens twice, as an id was forgotten with its client."""
    with running() as harness:
        send_and_leave(harness, "/svc/confirm")
        client = harness.client()
        assert client.exchange(path="/svc/confirm", X_TXN=spelling, **LONG_TTL).status == 400
        assert remaining_fetches(harness) == []
        client.send(path="/svc/confirm", **LONG_TTL)  # another id
        harness.next_command().reply(body=b"done")
        assert client.read_answer().body == b"done"


def test_id_of_a_served_request_is_not_run_again() -> None:
    with running() as harness:
        client = harness.client()
        client.send(path="/svc/confirm", X_TXN=TXN)
        harness.next_command().reply()
        assert client.read_answer().status == 200
        assert client.exchange(path="/svc/confirm", X_TXN=TXN).status == 400
        assert remaining_fetches(harness) == []


def test_id_may_come_again_where_nothing_ran_or_a_repeat_is_harmless() -> None:
    with running() as harness:
        send_and_leave(harness, "/svc/image")
        client = harness.client()
        client.send(path="/svc/image", X_TXN=TXN)
        harness.next_command().reply(body=b"again")
        assert client.read_answer().body == b"again"
        client.send(path="/svc/confirm", X_TXN=TXN, **LONG_TTL)
        while (fetch := harness.next_command_within(QUIET_PERIOD_S)) is not None:
            fetch.reply("503")  # no cache has run it
        assert client.read_answer().status == 503
        client.send(path="/svc/confirm", X_TXN=TXN, **LONG_TTL)
        harness.next_command().reply(body=b"now")
        assert client.read_answer().body == b"now"


def test_retry_due_together_with_disconnect_is_not_sent() -> None:
    """No retry is sent after a reply that allows one."""
    with running({"cancel": False}) as harness:
        clients = disconnecting_clients(harness, item_names(40))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        in_flight = fetches(harness, len(clients))
        with suspended(harness):
            for fetch in in_flight.values():
                fetch.reply("503")
            disconnect_all(clients)
        retried = set(remaining_fetches(harness))
        assert retried <= set(items_of_connected(clients)) and retried  # retries are bounded


def test_hedge_due_together_with_disconnect_is_not_sent() -> None:
    with running({"connect_timeout": 150.0}, HEDGE_AFTER_S / 0.6 * 1000.0) as harness:
        clients = disconnecting_clients(harness, item_names(20))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        fetches(harness, len(clients))
        with suspended(harness):
            disconnect_all(clients)
            time.sleep(HEDGE_AFTER_S)
        retried = set(remaining_fetches(harness))
        assert retried <= set(items_of_connected(clients)) and retried


def open_connections(listeners: Sequence[UnresponsiveAddress]) -> list[socket.socket]:
    """Return a connection of each listener where one opens; the kernel retries handshakes after 1 and 3 s."""

    def open_soon(listener: UnresponsiveAddress) -> socket.socket | None:
        with contextlib.suppress(TimeoutError):
            return listener.accept(3.5)
        return None

    with ThreadPoolExecutor(len(listeners)) as pool:
        return [connection for connection in pool.map(open_soon, listeners) if connection is not None]


def test_connections_come_up_together_with_the_ends_of_their_clients() -> None:
    with running({"connect_timeout": 28_000.0}) as harness:
        unresponsive_addresses = [
            UnresponsiveAddress() for _ in range(6)
        ]  # one for each cache that attempts wait for
        updates = b"".join(harness.endpoint_record(cache, 1) for cache in harness.caches)
        for number, address in enumerate(unresponsive_addresses):
            updates += harness.endpoint_record(SimpleNamespace(ident=0x50 + number), 0, port=address.port)  # type: ignore[arg-type]
        harness.change_log.send_event(2, 2, updates)
        harness.wait_until(
            lambda: len(harness.log_lines("endpoint_updated")) == 4 + 2 + len(unresponsive_addresses),
            "the endpoint updates",
        )
        clients = disconnecting_clients(harness, item_names(24), DISCONNECT_METHODS)
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
            assert each.client.exchange(ident=2, path="/svc/nothing").status == 404
        with suspended(harness):
            connections = open_connections(unresponsive_addresses)
            disconnect_all(clients)
        assert len(connections) > len(unresponsive_addresses) / 2  # the other connections open too late
        time.sleep(QUIET_PERIOD_S)
        for connection in connections:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                assert connection.recv(4096) == b""
        for address in unresponsive_addresses:
            address.close()

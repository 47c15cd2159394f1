"""No attempt begins more than 0.1 s after its client has aborted the request or disconnected.

These tests run the real program over loopback. Beside the clients that disconnect there is one that stays: it
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
from stand import SETTINGS, WAIT_TIMEOUT_S, Cache, CacheCommand, Client, Stand, UnresponsiveAddress, record

DISCONNECTIONS = ("abort", "FIN", "half-close", "reset")
STAYS = "stays"
NOTICED_WITHIN_S = 0.2  # after which a disconnection has been noticed; 0.1 s are allowed
SILENCE_S = 0.6  # without a new fetch, after which no more are expected
HEDGE_AFTER_S = 1.2  # in tests of hedged attempts
LONG_TTL: dict[str, Any] = {"X_TTL_MS": "60000"}


class DisconnectingClient(NamedTuple):
    """A client with a request for an item of its own, and the way in which it disconnects."""

    how: str
    item: str
    client: Client

    def disconnect(self, ident: int = 1) -> None:
        """Abort request `ident`, or end the connection."""
        if self.how == "abort":
            self.client.sock.sendall(record(2, ident))
        elif self.how == "half-close":
            self.client.sock.shutdown(socket.SHUT_WR)
        elif self.how != STAYS:
            if self.how == "reset":
                self.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.client.close()


@contextlib.contextmanager
def running(
    limits: dict[str, Any] | None = None, objective_ms: float = 30_000.0, memory_mb: float = 192
) -> Iterator[Stand]:
    """Run a router with other limits; `objective_ms` delays hedged attempts."""
    classes = [{**cls, "on_time": objective_ms, "deadline": 60_000.0} for cls in SETTINGS["classes"]]
    stand = Stand(limits={**SETTINGS["limits"], **(limits or {})}, classes=classes, memory_mb=memory_mb)
    try:
        yield stand
        assert stand.process.poll() is None and not stand.lines("internal_error")
    finally:
        stand.close()


def disconnecting_clients(
    stand: Stand, items: Sequence[str], how: Sequence[str] = (*DISCONNECTIONS, STAYS)
) -> list[DisconnectingClient]:
    """Return a client for each item, with the ways of disconnecting in turn."""
    return [
        DisconnectingClient(how[number % len(how)], item, stand.client()) for number, item in enumerate(items)
    ]


def item_of(number: int) -> str:
    return f"{number:016x}"


def items_of(count: int) -> list[str]:
    return [item_of(1 + number) for number in range(count)]


def fetches(stand: Stand, count: int) -> dict[str, CacheCommand]:
    """Return the next fetches, by item."""
    found: dict[str, CacheCommand] = {}
    while len(found) < count:
        fetch = stand.command()
        found[fetch.fields["item"]] = fetch
    return found


def remaining_fetches(stand: Stand) -> list[str]:
    """Return the items of all fetches that still arrive."""
    found = []
    while (command := stand.maybe_command(SILENCE_S)) is not None:
        if command.word == "fetch":
            found.append(command.fields["item"])
    return found


def items_of_cache(stand: Stand, cache: Cache, count: int) -> list[str]:
    """Return items whose home is that cache."""
    found: list[str] = []
    client, number = stand.client(), 0
    while len(found) < count:
        number += 1
        client.send(X_ROW=item_of(number))
        fetch = stand.command()
        if fetch.cache is cache:
            found.append(item_of(number))
        fetch.reply()
        assert client.answer().status == 200
    client.close()
    return found


def disconnect_all(clients: Sequence[DisconnectingClient]) -> None:
    for each in clients:
        each.disconnect()


def items_of_staying(clients: Sequence[DisconnectingClient]) -> list[str]:
    return sorted(each.item for each in clients if each.how == STAYS)


@contextlib.contextmanager
def suspended(stand: Stand) -> Iterator[None]:
    """Suspend the router, so that it finds all that happens meanwhile in one turn, in any order."""
    stand.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{stand.process.pid}/stat")
    stand.wait(lambda: stat.read_text().split()[2] == "T", "the stop")
    yield
    time.sleep(NOTICED_WITHIN_S)
    stand.process.send_signal(signal.SIGCONT)


def move_cache(stand: Stand, cache: Cache, port: int) -> None:
    """Announce that the cache listens at another port."""
    before = len(stand.lines("endpoint_updated"))
    stand.log.tell(before - 2, 2, stand.record(cache, 0, port=port))  # the first event of the log is number 2
    stand.wait(lambda: len(stand.lines("endpoint_updated")) == before + 1, "the move")


# -- attempts that wait --


def received(listener: UnresponsiveAddress, until: str) -> bytes:
    """Return what is received on all connections, until that text has arrived and nothing follows.

    The kernel may complete a handshake for a connection that is not accepted yet, so an attempt may arrive on
    any.
    """
    connections, data, end = [listener.open()], b"", time.monotonic() + WAIT_TIMEOUT_S
    listener.sock.setblocking(False)
    while time.monotonic() < end:
        with contextlib.suppress(BlockingIOError):
            connections.append(listener.sock.accept()[0])
        for connection in connections:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                before, data = data, data + connection.recv(65_536)
                if until.encode() in data and until.encode() not in before:
                    end = time.monotonic() + SILENCE_S
        time.sleep(0.01)
    return data


def test_no_first_attempt_on_a_connection_that_comes_up_late() -> None:
    limits = {"cancel": False, "connect_timeout": 28_000.0}  # time for the kernel to retry the handshake
    with running(limits) as stand:
        hanging = UnresponsiveAddress()
        move_cache(stand, stand.caches[0], hanging.port)
        stand.log.tell(3, 2, stand.record(stand.caches[1], 1))  # so that all requests go to one cache
        stand.wait(lambda: len(stand.lines("endpoint_updated")) == 6, "the drain")
        clients = disconnecting_clients(stand, items_of(5))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
            assert each.client.ask(ident=2, path="/svc/nothing").status == 404  # the first is decided
        disconnect_all(clients)
        time.sleep(NOTICED_WITHIN_S)
        data = received(hanging, *items_of_staying(clients))
        assert [each.item for each in clients if each.item.encode() in data] == items_of_staying(clients)
        hanging.close()


def test_no_attempt_elsewhere_once_a_connection_has_not_come_up() -> None:
    """The cache never completes the handshake; the next one gets the requests that still have a client."""
    with running({"connect_timeout": 500.0}) as stand:
        clients = disconnecting_clients(stand, items_of_cache(stand, stand.caches[0], 5))
        hanging = UnresponsiveAddress()
        move_cache(stand, stand.caches[0], hanging.port)
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
            assert each.client.ask(ident=2, path="/svc/nothing").status == 404
        disconnect_all(clients)
        assert remaining_fetches(stand) == items_of_staying(clients)
        hanging.close()


@pytest.mark.parametrize("may_cancel", [True, False])
def test_no_further_attempt_after_a_failed_one(may_cancel: bool) -> None:
    ends = ("503", "500", "reset")
    with running({"cancel": may_cancel}) as stand:
        clients = disconnecting_clients(stand, items_of(15))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        in_flight = fetches(stand, len(clients))
        disconnect_all(clients)
        time.sleep(NOTICED_WITHIN_S)
        for number, each in enumerate(clients):
            if ends[number // 5] == "reset":
                in_flight[each.item].sock.shutdown(socket.SHUT_RDWR)
            else:
                with contextlib.suppress(OSError):
                    in_flight[each.item].reply(ends[number // 5])
        assert sorted(remaining_fetches(stand)) == items_of_staying(clients)


def test_no_second_copy_that_falls_due_later() -> None:
    with running({"connect_timeout": 150.0}, HEDGE_AFTER_S / 0.6 * 1000.0) as stand:
        clients = disconnecting_clients(stand, items_of(5))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        fetches(stand, len(clients))
        disconnect_all(clients)
        time.sleep(HEDGE_AFTER_S)
        assert set(remaining_fetches(stand)) == set(items_of_staying(clients))


# -- busy clients --


def test_clients_that_read_nothing_of_what_fills_their_connections() -> None:
    """Each has 32 requests open or unread, and the router's sockets to them are full."""
    with running({"cancel": False}) as stand:
        clients = disconnecting_clients(stand, items_of(len(DISCONNECTIONS) + 1))
        for place, each in enumerate(clients):
            each.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            each.client.send(X_ROW=each.item, **LONG_TTL)
            for ident in range(2, 33):
                each.client.send(ident, X_ROW=item_of(1000 * (place + 1) + ident), **LONG_TTL)
        in_flight = fetches(stand, 32 * len(clients))
        for item, fetch in in_flight.items():
            if int(item, 16) % 1000 > 16:
                fetch.reply(body=bytes(100_000))
        time.sleep(NOTICED_WITHIN_S)
        disconnect_all(clients)
        time.sleep(NOTICED_WITHIN_S)
        for each in clients:
            in_flight[each.item].reply("503")
        assert remaining_fetches(stand) == items_of_staying(clients)


def test_clients_that_leave_while_all_memory_is_held() -> None:
    with running({"cancel": False}, memory_mb=12) as stand:  # a quarter of it is 3 MB
        clients = disconnecting_clients(stand, items_of(len(DISCONNECTIONS) + 1))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        in_flight, flood = fetches(stand, len(clients)), stand.client()
        for ident in range(1, 33):
            flood.send(ident, X_ROW=item_of(100 + ident), X_WORKING_SET_KB="240", **LONG_TTL)
        assert flood.answer().status == 503  # the memory is exhausted
        disconnect_all(clients)
        time.sleep(NOTICED_WITHIN_S)
        for fetch in in_flight.values():
            fetch.reply("503")
        assert set(remaining_fetches(stand)) & set(in_flight) == set(items_of_staying(clients))


# -- a router that was suspended, and finds all events at once --


def test_what_is_read_together_with_the_end_of_its_client_is_not_sent() -> None:
    with running() as stand:
        with suspended(stand):
            clients = disconnecting_clients(stand, items_of(50))
            for each in clients:
                each.client.send(X_ROW=each.item, **LONG_TTL)
            disconnect_all(clients)
        assert sorted(remaining_fetches(stand)) == items_of_staying(clients)


def test_what_is_due_together_with_the_end_of_its_client_does_not_begin() -> None:
    """No further attempt begins after a response that allows one."""
    with running({"cancel": False}) as stand:
        clients = disconnecting_clients(stand, items_of(40))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        in_flight = fetches(stand, len(clients))
        with suspended(stand):
            for fetch in in_flight.values():
                fetch.reply("503")
            disconnect_all(clients)
        retried = set(remaining_fetches(stand))
        assert retried <= set(items_of_staying(clients)) and retried  # retries are bounded


def test_a_second_copy_is_due_together_with_the_end_of_its_client() -> None:
    with running({"connect_timeout": 150.0}, HEDGE_AFTER_S / 0.6 * 1000.0) as stand:
        clients = disconnecting_clients(stand, items_of(20))
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
        fetches(stand, len(clients))
        with suspended(stand):
            disconnect_all(clients)
            time.sleep(HEDGE_AFTER_S)
        retried = set(remaining_fetches(stand))
        assert retried <= set(items_of_staying(clients)) and retried


def opened(listeners: Sequence[UnresponsiveAddress]) -> list[socket.socket]:
    """Return a connection of each listener that opens soon; the kernel retries a handshake after 1 s."""

    def open_soon(listener: UnresponsiveAddress) -> socket.socket | None:
        with contextlib.suppress(TimeoutError):
            return listener.open(2.0)
        return None

    with ThreadPoolExecutor(len(listeners)) as pool:
        return [connection for connection in pool.map(open_soon, listeners) if connection is not None]


def test_connections_come_up_together_with_the_ends_of_their_clients() -> None:
    with running({"connect_timeout": 28_000.0}) as stand:
        hanging = [UnresponsiveAddress() for _ in range(6)]  # one per cache, each of which is waited for
        updates = b"".join(stand.record(cache, 1) for cache in stand.caches)
        for number, one in enumerate(hanging):
            updates += stand.record(SimpleNamespace(ident=0x50 + number), 0, port=one.port)  # type: ignore[arg-type]
        stand.log.tell(2, 2, updates)
        stand.wait(lambda: len(stand.lines("endpoint_updated")) == 4 + 2 + len(hanging), "the list")
        clients = disconnecting_clients(stand, items_of(24), DISCONNECTIONS)
        for each in clients:
            each.client.send(X_ROW=each.item, **LONG_TTL)
            assert each.client.ask(ident=2, path="/svc/nothing").status == 404
        with suspended(stand):
            connections = opened(hanging)
            disconnect_all(clients)
        assert len(connections) > len(hanging) / 2  # the others open too late
        time.sleep(SILENCE_S)
        for connection in connections:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                assert connection.recv(4096) == b""
        for one in hanging:
            one.close()

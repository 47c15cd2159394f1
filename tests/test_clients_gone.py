"""A client that closes or cancels has gone: no attempt, first or further, begins more than 0.1 s later.

The real program over loopback. Beside the clients that leave there is one that stays each time: what would
begin for the others does begin for it.
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
from stand import PATIENCE, SETTINGS, Cache, Client, Fetch, Hanging, Stand, record

WAYS = ("abort", "FIN", "half-close", "reset")
STAYS = "stays"
NOTICED = 0.2  # seconds after which a client that left surely has gone; 0.1 are allowed
QUIET = 0.6  # seconds without a new fetch after which none comes any more
OVERDUE = 1.2  # seconds after which a second copy is due, where a test is about that
LONG: dict[str, Any] = {"X_TTL_MS": "60000"}


class Leaver(NamedTuple):
    """A client with a request for an item of its own, and the way in which it leaves."""

    way: str
    item: str
    client: Client

    def leave(self, ident: int = 1) -> None:
        """Leaves request `ident`, or with it the connection."""
        if self.way == "abort":
            self.client.sock.sendall(record(2, ident))
        elif self.way == "half-close":
            self.client.sock.shutdown(socket.SHUT_WR)
        elif self.way != STAYS:
            if self.way == "reset":
                self.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.client.close()


@contextlib.contextmanager
def running(
    limits: dict[str, Any] | None = None, wanted: float = 30_000.0, memory_mb: float = 192
) -> Iterator[Stand]:
    """A router with other limits; `wanted`: ms within which all answers are, or second copies go out."""
    classes = [{**cls, "on_time": wanted, "deadline": 60_000.0} for cls in SETTINGS["classes"]]
    stand = Stand(limits={**SETTINGS["limits"], **(limits or {})}, classes=classes, memory_mb=memory_mb)
    try:
        yield stand
        assert stand.process.poll() is None and not stand.lines("internal_error")
    finally:
        stand.close()


def leavers(stand: Stand, items: Sequence[str], ways: Sequence[str] = (*WAYS, STAYS)) -> list[Leaver]:
    """Clients with a way and an item each; the ways come round again."""
    return [Leaver(ways[number % len(ways)], item, stand.client()) for number, item in enumerate(items)]


def item_of(number: int) -> str:
    return f"{number:016x}"


def items_of(count: int) -> list[str]:
    return [item_of(1 + number) for number in range(count)]


def fetches(stand: Stand, count: int) -> dict[str, Fetch]:
    """So many fetches, by their item."""
    found: dict[str, Fetch] = {}
    while len(found) < count:
        fetch = stand.command()
        found[fetch.fields["item"]] = fetch
    return found


def begun_later(stand: Stand) -> list[str]:
    """Items of all fetches that still come."""
    found = []
    while (command := stand.maybe_command(QUIET)) is not None:
        if command.word == "fetch":
            found.append(command.fields["item"])
    return found


def homes(stand: Stand, cache: Cache, count: int) -> list[str]:
    """So many items whose home that cache is."""
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


def all_leave(clients: Sequence[Leaver]) -> None:
    for leaver in clients:
        leaver.leave()


def staying(clients: Sequence[Leaver]) -> list[str]:
    return sorted(leaver.item for leaver in clients if leaver.way == STAYS)


@contextlib.contextmanager
def standing_still(stand: Stand) -> Iterator[None]:
    """What happens meanwhile is found by the router in one turn, in any order."""
    stand.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{stand.process.pid}/stat")
    stand.wait(lambda: stat.read_text().split()[2] == "T", "the stop")
    yield
    time.sleep(NOTICED)
    stand.process.send_signal(signal.SIGCONT)


def move(stand: Stand, cache: Cache, port: int) -> None:
    """The list tells that the cache is at that port now."""
    before = len(stand.lines("endpoint_updated"))
    stand.log.tell(before - 2, 2, stand.record(cache, 0, port=port))  # the first event of the log is number 2
    stand.wait(lambda: len(stand.lines("endpoint_updated")) == before + 1, "the move")


# -- what waits --


def received(hanging: Hanging, until: str) -> bytes:
    """What comes on all connections that come up, until that has come and nothing follows any more.

    The kernel may take a connection for up that has no place yet with us: what waits may go by any of them.
    """
    links, came, end = [hanging.open()], b"", time.monotonic() + PATIENCE
    hanging.sock.setblocking(False)
    while time.monotonic() < end:
        with contextlib.suppress(BlockingIOError):
            links.append(hanging.sock.accept()[0])
        for link in links:
            link.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                before, came = came, came + link.recv(65_536)
                if until.encode() in came and until.encode() not in before:
                    end = time.monotonic() + QUIET
        time.sleep(0.01)
    return came


def test_no_first_attempt_on_a_connection_that_comes_up_late() -> None:
    limits = {"cancel": False, "connect_timeout": 28_000.0}  # time for the kernel to try again
    with running(limits) as stand:
        hanging = Hanging()
        move(stand, stand.caches[0], hanging.port)
        stand.log.tell(3, 2, stand.record(stand.caches[1], 1))  # all go to one cache
        stand.wait(lambda: len(stand.lines("endpoint_updated")) == 6, "the drain")
        clients = leavers(stand, items_of(5))
        for leaver in clients:
            leaver.client.send(X_ROW=leaver.item, **LONG)
            assert leaver.client.ask(ident=2, path="/svc/nothing").status == 404  # the first is decided
        all_leave(clients)
        time.sleep(NOTICED)
        came = received(hanging, *staying(clients))
        assert [leaver.item for leaver in clients if leaver.item.encode() in came] == staying(clients)
        hanging.close()


def test_no_attempt_elsewhere_once_a_connection_has_not_come_up() -> None:
    """The cache never answers the handshake; the next one is asked for those alone who still wait."""
    with running({"connect_timeout": 500.0}) as stand:
        clients = leavers(stand, homes(stand, stand.caches[0], 5))
        hanging = Hanging()
        move(stand, stand.caches[0], hanging.port)
        for leaver in clients:
            leaver.client.send(X_ROW=leaver.item, **LONG)
            assert leaver.client.ask(ident=2, path="/svc/nothing").status == 404
        all_leave(clients)
        assert begun_later(stand) == staying(clients)
        hanging.close()


@pytest.mark.parametrize("may_cancel", [True, False])
def test_no_further_attempt_after_a_failed_one(may_cancel: bool) -> None:
    ends = ("503", "500", "reset")
    with running({"cancel": may_cancel}) as stand:
        clients = leavers(stand, items_of(15))
        for leaver in clients:
            leaver.client.send(X_ROW=leaver.item, **LONG)
        out = fetches(stand, len(clients))
        all_leave(clients)
        time.sleep(NOTICED)
        for number, leaver in enumerate(clients):
            if ends[number // 5] == "reset":
                out[leaver.item].sock.shutdown(socket.SHUT_RDWR)
            else:
                with contextlib.suppress(OSError):
                    out[leaver.item].reply(ends[number // 5])
        assert sorted(begun_later(stand)) == staying(clients)


def test_no_second_copy_that_falls_due_later() -> None:
    with running({"connect_timeout": 150.0}, OVERDUE / 0.6 * 1000.0) as stand:
        clients = leavers(stand, items_of(5))
        for leaver in clients:
            leaver.client.send(X_ROW=leaver.item, **LONG)
        fetches(stand, len(clients))
        all_leave(clients)
        time.sleep(OVERDUE)
        assert set(begun_later(stand)) == set(staying(clients))


# -- clients that are busy otherwise --


def test_clients_that_read_nothing_of_what_fills_their_connections() -> None:
    """32 requests each are open or unread, and our sockets to them are full."""
    with running({"cancel": False}) as stand:
        clients = leavers(stand, items_of(len(WAYS) + 1))
        for place, leaver in enumerate(clients):
            leaver.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            leaver.client.send(X_ROW=leaver.item, **LONG)
            for ident in range(2, 33):
                leaver.client.send(ident, X_ROW=item_of(1000 * (place + 1) + ident), **LONG)
        out = fetches(stand, 32 * len(clients))
        for item, fetch in out.items():
            if int(item, 16) % 1000 > 16:
                fetch.reply(body=bytes(100_000))
        time.sleep(NOTICED)
        all_leave(clients)
        time.sleep(NOTICED)
        for leaver in clients:
            out[leaver.item].reply("503")
        assert begun_later(stand) == staying(clients)


def test_clients_that_leave_while_all_memory_is_held() -> None:
    with running({"cancel": False}, memory_mb=12) as stand:  # a quarter of it is 3 MB
        clients = leavers(stand, items_of(len(WAYS) + 1))
        for leaver in clients:
            leaver.client.send(X_ROW=leaver.item, **LONG)
        out, flood = fetches(stand, len(clients)), stand.client()
        for ident in range(1, 33):
            flood.send(ident, X_ROW=item_of(100 + ident), X_WORKING_SET_KB="240", **LONG)
        assert flood.answer().status == 503  # there is room for no more
        all_leave(clients)
        time.sleep(NOTICED)
        for fetch in out.values():
            fetch.reply("503")
        assert set(begun_later(stand)) & set(out) == set(staying(clients))


# -- a router that stood still, and finds all at once --


def test_what_is_read_together_with_the_end_of_its_client_is_not_sent() -> None:
    with running() as stand:
        with standing_still(stand):
            clients = leavers(stand, items_of(50))
            for leaver in clients:
                leaver.client.send(X_ROW=leaver.item, **LONG)
            all_leave(clients)
        assert sorted(begun_later(stand)) == staying(clients)


def test_what_is_due_together_with_the_end_of_its_client_does_not_begin() -> None:
    """Further attempts, after an answer that allows them."""
    with running({"cancel": False}) as stand:
        clients = leavers(stand, items_of(40))
        for leaver in clients:
            leaver.client.send(X_ROW=leaver.item, **LONG)
        out = fetches(stand, len(clients))
        with standing_still(stand):
            for fetch in out.values():
                fetch.reply("503")
            all_leave(clients)
        again = set(begun_later(stand))
        assert again <= set(staying(clients)) and again  # retries are bounded


def test_a_second_copy_is_due_together_with_the_end_of_its_client() -> None:
    with running({"connect_timeout": 150.0}, OVERDUE / 0.6 * 1000.0) as stand:
        clients = leavers(stand, items_of(20))
        for leaver in clients:
            leaver.client.send(X_ROW=leaver.item, **LONG)
        fetches(stand, len(clients))
        with standing_still(stand):
            all_leave(clients)
            time.sleep(OVERDUE)
        again = set(begun_later(stand))
        assert again <= set(staying(clients)) and again


def opened(hanging: Sequence[Hanging]) -> list[socket.socket]:
    """One connection of each that comes up soon; the kernel tries again after 1 s."""

    def one(of: Hanging) -> socket.socket | None:
        with contextlib.suppress(TimeoutError):
            return of.open(2.0)
        return None

    with ThreadPoolExecutor(len(hanging)) as pool:
        return [link for link in pool.map(one, hanging) if link is not None]


def test_connections_come_up_together_with_the_ends_of_their_clients() -> None:
    with running({"connect_timeout": 28_000.0}) as stand:
        hanging = [Hanging() for _ in range(6)]  # as many caches, of which each is waited for
        news = b"".join(stand.record(cache, 1) for cache in stand.caches)
        for number, one in enumerate(hanging):
            news += stand.record(SimpleNamespace(ident=0x50 + number), 0, port=one.port)  # type: ignore[arg-type]
        stand.log.tell(2, 2, news)
        stand.wait(lambda: len(stand.lines("endpoint_updated")) == 4 + 2 + len(hanging), "the list")
        clients = leavers(stand, items_of(24), WAYS)
        for leaver in clients:
            leaver.client.send(X_ROW=leaver.item, **LONG)
            assert leaver.client.ask(ident=2, path="/svc/nothing").status == 404
        with standing_still(stand):
            links = opened(hanging)
            all_leave(clients)
        assert len(links) > len(hanging) / 2  # the others come up too late
        time.sleep(QUIET)
        for link in links:
            link.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                assert link.recv(4096) == b""
        for one in hanging:
            one.close()

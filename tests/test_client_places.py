"""Test that clients which complete no request keep no others out, whatever they send."""

from __future__ import annotations

import contextlib
import struct
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from bad_clients import BadClients, Flood
from process_harness import Client, ProcessHarness, fastcgi_record, name_value_pair
from test_client_faults import ClientSocket, RouterHarness, request

from stonecove.protocols.fastcgi.codec import STDIN
from stonecove.server.client_eviction import MIN_USE_MS, select_for_eviction
from stonecove.state.client_activity import MAX_WASTED_BYTES, RECORD_COST_BYTES, PlaceStatus, PlaceUse

SOCKETS = 64  # half of which are places for clients
PLACES = SOCKETS // 2
ANSWER_DUE_S = 2.0  # time limit of a request, 1.5 s, and the half second after which it counts as lost
BEGIN = fastcgi_record(1, 1, struct.pack(">HB5x", 1, 1))
INCOMPLETE = request()[:-8]
WRONG_ROLE = fastcgi_record(1, 1, struct.pack(">HB5x", 3, 1))


FLOODS = {
    "endless body": Flood(INCOMPLETE, fastcgi_record(STDIN, 1, bytes(4000)), 0.0),
    "body byte by byte": Flood(INCOMPLETE, fastcgi_record(STDIN, 1, b"y"), 0.05),
    "body in short records": Flood(INCOMPLETE, fastcgi_record(STDIN, 1, b"y") * 3000, 0.0),
    "requests begun and aborted": Flood(INCOMPLETE, fastcgi_record(2, 1) + INCOMPLETE, 0.05),
    "records of no request": Flood(fastcgi_record(STDIN, 9), fastcgi_record(STDIN, 9, bytes(100)), 0.03),
    "queries of values": Flood(b"", fastcgi_record(9, 0, name_value_pair("FCGI_MAX_CONNS", "")), 0.03),
    "unknown roles": Flood(b"", WRONG_ROLE, 0.05),
    "part of a header": Flood(b"\1", b"", 9.0),
}


@contextlib.contextmanager
def flooded_router(flood: Flood) -> Iterator[ProcessHarness]:
    """Run a router whose places for clients are all taken by bad clients."""
    harness = ProcessHarness(sockets=SOCKETS)
    bad_clients = BadClients(harness.address, flood, PLACES + 4)
    try:
        time.sleep(0.5)
        yield harness
        assert harness.process.poll() is None and not harness.log_lines("internal_error")
    finally:
        bad_clients.stop()
        harness.close()


@pytest.mark.parametrize("flood", FLOODS.values(), ids=FLOODS)
def test_new_clients_are_served_while_bad_clients_take_all_places(flood: Flood) -> None:
    """Guards against input that is no request but keeps its connection from being evicted."""
    with flooded_router(flood) as harness:
        for _ in range(6):
            client = harness.client()
            client.sock.settimeout(ANSWER_DUE_S)
            client.send(X_TTL_MS="1500")
            harness.next_command().reply(body=b"usual")
            assert client.read_answer().body == b"usual"
            client.close()


def test_client_that_sends_too_much_beside_its_requests_is_disconnected_after_its_answers() -> None:
    harness = RouterHarness()
    client = harness.client()
    client.feed(request(1, X_TTL_MS="60000"))
    record_bytes = 4000
    records = MAX_WASTED_BYTES // (record_bytes + RECORD_COST_BYTES)
    client.feed(fastcgi_record(STDIN, 9, bytes(record_bytes)) * records)
    assert not client.is_closing()
    client.feed(fastcgi_record(STDIN, 9, bytes(record_bytes)))
    assert client.is_closing() and not client.closed and len(harness.route.requests) == 1


def test_client_with_sound_requests_may_send_any_amount_between_them() -> None:
    """Guards against a sound client that is disconnected for records which cross their answers."""
    harness = RouterHarness()
    client = harness.client()
    for ident in range(1, 30):
        client.feed(fastcgi_record(STDIN, 99, bytes(60_000)) * 2 + request(ident, "/status/live"))
    assert not client.is_closing()


def test_rejected_body_that_goes_on_makes_its_client_evictable() -> None:
    harness = RouterHarness()
    client = harness.client()
    client.feed(request(1)[:-8] + fastcgi_record(STDIN, 1, bytes(60_000)))
    assert client.place_status().use is PlaceUse.RECEIVING
    client.feed(fastcgi_record(STDIN, 1, bytes(60_000)))
    rejected_at_ms = harness.clock.now()
    harness.time_s += 1.0
    client.feed(fastcgi_record(STDIN, 1, bytes(4000)))
    status = client.place_status()
    assert status == (PlaceUse.WASTING, rejected_at_ms)
    client._nursery = object()  # type: ignore[attr-defined]
    client.evict(status.use, 0.1)
    assert client.is_closing() and client.place_status().use is PlaceUse.LINGERING


def test_request_that_arrives_with_the_eviction_is_kept() -> None:
    """Guards against a request that was written whole and lost as its connection was evicted."""
    for data, use in ((fastcgi_record(STDIN, 9), PlaceUse.WASTING), (INCOMPLETE, PlaceUse.RECEIVING)):
        harness, sock = RouterHarness(), ClientSocket()
        client = harness.client(sock)
        client.feed(data)
        assert client.place_status().use is use
        sock.unread = request(2) if use is PlaceUse.WASTING else fastcgi_record(STDIN, 1)
        client.evict(use, 0.1)
        assert not client.is_closing() and len(harness.route.requests) == 1


def test_incomplete_request_of_evicted_client_is_refused() -> None:
    harness, sock = RouterHarness(), ClientSocket()
    client = harness.client(sock)
    client.feed(INCOMPLETE)
    client.evict(PlaceUse.RECEIVING, 0.1)
    assert sock.written == fastcgi_record(3, 1, struct.pack(">IB3x", 0, 2)) and client.is_closing()


class Place:
    """A client whose use of its place is given."""

    def __init__(self, use: PlaceUse, since_ms: float, has_sent_request: bool = True) -> None:
        self.status, self.sent = PlaceStatus(use, since_ms), has_sent_request

    def place_status(self) -> PlaceStatus:
        return self.status

    def has_sent_request(self) -> bool:
        return self.sent


def test_least_valuable_use_is_evicted_first_and_only_after_its_time() -> None:
    now_ms = 10_000.0
    places = [Place(use, now_ms - MIN_USE_MS.get(use, 0.0)) for use in reversed(PlaceUse)]
    for use in list(PlaceUse)[:-1]:
        assert [found for _, found in select_for_eviction(places, 10, now_ms)] == [use]
        places.pop()
    assert select_for_eviction(places, 10, now_ms) == []
    for use, min_ms in MIN_USE_MS.items():
        assert select_for_eviction([Place(use, now_ms - min_ms + 1.0)], 1, now_ms) == []


@pytest.mark.parametrize("order", [lambda places: places, lambda places: places[::-1]])
def test_slow_clients_that_never_sent_a_request_go_before_those_that_did(
    order: Callable[[list[Any]], list[Any]],
) -> None:
    known = Place(PlaceUse.RECEIVING, 1.0, has_sent_request=True)
    new = Place(PlaceUse.RECEIVING, 2.0, has_sent_request=False)
    assert select_for_eviction(order([known, new]), 1, 10_000.0) == [(new, PlaceUse.RECEIVING)]
    old = Place(PlaceUse.IDLE, 1.0)
    recent = Place(PlaceUse.IDLE, 2.0)
    assert select_for_eviction(order([old, recent]), 1, 10_000.0) == [(old, PlaceUse.IDLE)]


def test_client_is_free_to_end_a_rejected_body_and_go_on() -> None:
    """Guards against a sound client that is disconnected for the rest of a body which was too long."""
    harness = ProcessHarness()
    try:
        client: Client = harness.client()
        client.sock.sendall(request(1, "/svc/image", body=b"")[:-8])
        client.sock.sendall(fastcgi_record(STDIN, 1, bytes(60_000)) * 3 + fastcgi_record(STDIN, 1))
        assert client.read_answer().status == 413
        assert client.exchange(path="/status/live").status == 200
    finally:
        harness.close()

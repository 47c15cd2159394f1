"""Test that no client's input delays the answers to others, or takes memory without a bound."""

from __future__ import annotations

import contextlib
import socket
import statistics
import struct
import threading
import time
from collections.abc import Iterator

import pytest
from bad_clients import BadClients, Flood
from process_harness import Client, ProcessHarness, fastcgi_record, name_value_pair
from test_client_faults import ClientSocket, RouterHarness, peak_memory_mb, request

from stonecove.protocols.fastcgi.codec import MAX_PARAMS, PARAMS, STDIN
from stonecove.protocols.fastcgi.session import MAX_RECORDS_PER_TURN
from stonecove.transport.client_connection import MAX_RECORDS_PER_CHECK, ClientConnection

TIME_LIMIT_S = 1.5  # of the usual clients' requests
OBJECTIVE_S = 0.4  # within which an answer is wanted
MEMORY_MB = 64
BEGIN = fastcgi_record(1, 1, struct.pack(">HB5x", 1, 1))


def ids(count: int) -> range:
    return range(1, 1 + count)


def request_in_short_records(ident: int) -> bytes:
    """Return a write whose body comes byte by byte."""
    whole = request(ident, "/svc/confirm")
    return whole[:-8] + fastcgi_record(STDIN, ident, b"y") * 500 + whole[-8:]


def short_fields(size_bytes: int) -> bytes:
    """Return so many bytes of parameters with short names and no values."""
    names = (f"HTTP_{number:X}" for number in range(4000))
    return b"".join(name_value_pair(name, "") for name in names)[:size_bytes].rpartition(b"\5")[0]


def head_of_short_fields(ident: int) -> bytes:
    return (
        fastcgi_record(1, ident, struct.pack(">HB5x", 1, 1))
        + fastcgi_record(PARAMS, ident, short_fields(32_000))
        + fastcgi_record(PARAMS, ident)
        + fastcgi_record(STDIN, ident)
    )


def liveness_request(ident: int) -> bytes:
    return request(ident, "/status/live")


def unsound_and_sound_request(ident: int) -> bytes:
    return request(2 * ident, X_ROW="none") + liveness_request(2 * ident + 1)


def serve(harness: ProcessHarness, stopped: threading.Event) -> None:
    """Answer all requests that reach a cache."""
    while not stopped.is_set():
        command = harness.next_command_within(0.05)
        if command is not None and command.name == "fetch":
            with contextlib.suppress(OSError):
                command.reply(body=b"usual")


@contextlib.contextmanager
def flooded_router(
    flood: Flood, clients: int, memory_mb: float, processes: int = 1
) -> Iterator[ProcessHarness]:
    """Run a router with caches that answer all requests, and bad clients."""
    harness, stopped = ProcessHarness(memory_mb=memory_mb), threading.Event()
    caches = threading.Thread(target=serve, args=(harness, stopped), daemon=True)
    caches.start()
    shares = [clients // processes] * processes
    bad_clients = [BadClients(harness.address, flood, share) for share in shares]
    try:
        time.sleep(1.0)
        yield harness
        assert harness.process.poll() is None and not harness.log_lines("internal_error")
    finally:
        for process in bad_clients:
            process.stop()
        stopped.set()
        caches.join()
        harness.close()


def answer_times_s(harness: ProcessHarness, count: int) -> list[float]:
    """Return how long usual requests take, each on a new connection; all of them must be served in time."""
    times = []
    for _ in range(count):
        client = harness.client()
        client.sock.settimeout(TIME_LIMIT_S + 0.5)
        sent_at = time.monotonic()
        client.send(X_TTL_MS="1500")
        assert client.read_answer().body == b"usual"
        times.append(time.monotonic() - sent_at)
        client.close()
    return times


@pytest.mark.parametrize(
    "one_request",
    [request_in_short_records, liveness_request, unsound_and_sound_request, head_of_short_fields],
)
def test_client_at_full_speed_does_not_delay_others(one_request: object) -> None:
    """Guards against one connection whose input is handled at length while all others wait."""
    assert callable(one_request)
    data = b"".join(one_request(ident) for ident in ids(30))
    with flooded_router(Flood(data, data, 0.0), 1, 192) as harness:
        times = answer_times_s(harness, 9)
        assert statistics.median(times) < OBJECTIVE_S and max(times) < TIME_LIMIT_S


def test_hundreds_of_heads_with_very_many_fields_neither_stop_the_router_nor_fill_its_memory() -> None:
    """Guards against heads that take milliseconds each to be decoded, only to be rejected."""
    data = b"".join(head_of_short_fields(ident) for ident in ids(30))
    with flooded_router(Flood(data, data, 0.0), 300, MEMORY_MB, 3) as harness:
        answer_times_s(harness, 5)
        assert peak_memory_mb(harness) * 1.024 < MEMORY_MB


def test_many_short_records_are_handled_a_few_at_a_time_and_all_in_the_end() -> None:
    harness, sock = RouterHarness(), ClientSocket()
    client = harness.client(sock)
    client._buffer.feed(fastcgi_record(9, 0) * (3 * MAX_RECORDS_PER_TURN))
    reply = fastcgi_record(10, 0)
    for turn in (1, 2, 3):
        client.received()
        assert sock.written == reply * (turn * MAX_RECORDS_PER_TURN)
        assert client.has_more_buffered() is (turn < 3)


def test_check_for_a_disconnect_reads_few_records_at_once() -> None:
    """Guards against a check before each attempt that handles all that one client has sent ahead."""
    near, far = socket.socketpair()
    with near, far:
        near.setblocking(False)
        harness = RouterHarness()
        connection = ClientConnection(near, harness.front, harness.clock.now, harness.budget)
        connection._nursery = object()  # type: ignore[assignment]
        far.sendall(fastcgi_record(STDIN, 9, b"y") * 5000)
        connection.detect_disconnect()
        handled = connection._decoder.records_handled
        assert MAX_RECORDS_PER_CHECK <= handled <= MAX_RECORDS_PER_CHECK + MAX_RECORDS_PER_TURN


def test_number_of_parameters_is_bounded() -> None:
    """Guards against a bound that requests of ordinary web servers could meet."""
    harness = ProcessHarness()
    try:
        client: Client = harness.client()
        ordinary = 10  # parameters of the request itself
        for count, status in ((MAX_PARAMS - ordinary, 200), (MAX_PARAMS + 1, 400)):
            client.send(cgi={f"HTTP_A{number}": "b" for number in range(count)})
            if status == 200:
                harness.next_command().reply()
            assert client.read_answer().status == status
    finally:
        harness.close()

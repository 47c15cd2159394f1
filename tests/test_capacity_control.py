"""The control plane benchmarks: traffic counting and extrapolation."""

from __future__ import annotations

import math
import socket
import threading
import time
from pathlib import Path

import pytest
import trio

from benchmarks.capacity_coordination import traffic_by_port, traffic_since
from benchmarks.capacity_days import UDP_HEADER_BYTES, byte_rate_limit, extrapolated_days, read_figures
from benchmarks.capacity_fits import ROUTERS, Figures, deep_size, line_fit, power_fit
from benchmarks.capacity_log import DelaySink, LogServer, Segments, frame
from benchmarks.capacity_swarm import (
    CountedModel,
    let_settle,
    observe,
    play_fleet,
    start_within,
    vanish,
)
from stonecove.discovery import MembershipEvent
from stonecove.protocols.change_log import Follower
from stonecove.protocols.gossip import FIXED_BYTES
from stonecove.runtime.log import set_log_sink
from stonecove.transport.change_log_follower import ChangeLogClient

HOST = "127.0.0.1"


def test_fits_recover_the_generating_parameters() -> None:
    sizes = (25, 50, 100, 200)
    power = power_fit(sizes, [2.3 * size**2 for size in sizes])
    assert power == pytest.approx((2.3, 2.0))
    assert power.at(730) == pytest.approx(2.3 * 730**2)
    assert line_fit(sizes, [7.0 + 0.5 * size for size in sizes]).at(730) == pytest.approx(372.0)


def test_power_fit_needs_two_positive_values() -> None:
    assert math.isnan(power_fit((10, 20), (0.0, 5.0)).exponent)


def test_deep_size_counts_each_object_once() -> None:
    shared = b"x" * 1000
    assert deep_size([shared, shared]) - deep_size([shared]) < 1000 < deep_size([shared])


def steady_fleet(count: int) -> CountedModel:
    model = CountedModel(count)
    start_within(model, range(count), 1.0)
    assert model.until(model.joined, 60.0) < 60.0
    let_settle(model, 6.0)
    return model


def test_each_datagram_is_counted_at_sender_and_receiver() -> None:
    model = steady_fleet(6)
    steady = observe(model, lambda: None, lambda: model.run(10.0))
    # Steady state has no claims, so each datagram has minimum size. Some are in flight at either end.
    assert steady.datagrams > 6 * 10 * 3
    assert steady.bytes == pytest.approx(steady.datagrams * 2 * (FIXED_BYTES + UDP_HEADER_BYTES), abs=6 * 200)
    assert steady.peak_bytes * 6 <= steady.bytes
    assert steady.decision_s > 0.0


def refusals(model: CountedModel) -> int:
    return sum(
        router.swarm.gossip.counts["refused"] for router in model.routers[1:] if router.swarm is not None
    )


def test_removed_machine_refuses_no_datagrams() -> None:
    model = steady_fleet(6)
    refusals_before = refusals(model)  # the first routers were refused by those not yet started
    observe(model, lambda: vanish(model, [0]), lambda: model.run(3.0))
    assert refusals(model) == refusals_before
    model = steady_fleet(6)
    refusals_before = refusals(model)
    observe(model, lambda: model.kill(0), lambda: model.run(3.0))
    assert refusals(model) > refusals_before


def test_starting_fleet_sends_more_than_a_steady_one() -> None:
    figures = play_fleet(8, True)
    assert figures["join_datagrams"] >= 2 * 8 * 7  # each router pings all others, and each answers
    assert figures["join_datagrams_each_s"] > figures["calm_datagrams_each_s"]
    assert figures["restart_extra_datagrams"] > 2 * 7
    assert figures["memory_mb"] > 0.0


class CountingSink:
    """Counts membership events and signals when all have arrived."""

    def __init__(self, expected: int) -> None:
        self.remaining = expected
        self.done = trio.Event()

    def handle_membership_event(self, event: MembershipEvent) -> None:
        self.remaining -= 1
        if not self.remaining:
            self.done.set()


def follower_traffic(window_s: float, purges: int) -> Segments:
    """Return the traffic of a follower's connection for `purges` purges within a tenth of a second."""
    server, sink = LogServer(window_s), CountingSink(purges)
    traffic: list[Segments] = []

    def serve() -> None:
        while not server.followers:
            time.sleep(0.005)
        time.sleep(0.1)
        before = Segments.of(server.followers[0])
        recorded = 0
        while recorded < purges:
            server.record_purge()
            recorded += 1
            if not window_s:
                server.flush()
        server.flush()
        trio.from_thread.run(sink.done.wait)
        time.sleep(0.1)  # lets the last acknowledgement arrive
        traffic.append(Segments.of(server.followers[0]).since(before))

    async def play() -> None:
        with trio.fail_after(20.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ChangeLogClient(HOST, server.port, Follower(1)).run, sink)
                await trio.to_thread.run_sync(serve)
                nursery.cancel_scope.cancel()

    set_log_sink(lambda event, fields: None)
    try:
        trio.run(play)
    finally:
        set_log_sink(None)
        server.close()
    return traffic[0]


def test_batched_purges_need_fewer_segments_for_the_same_bytes() -> None:
    single, batched = follower_traffic(0.0, 20), follower_traffic(0.5, 20)
    frames = 20 * len(frame(1, 3, bytes(16)))
    assert single.bytes_sent == batched.bytes_sent == frames == 20 * 29
    assert (single.segments_sent, batched.segments_sent) == (20, 1)
    assert batched.total_bytes < single.total_bytes
    assert (
        single.total_bytes
        == frames
        + single.bytes_received
        + (single.segments_sent + single.segments_received) * single.header_bytes
    )


def test_disconnected_follower_does_not_affect_the_others() -> None:
    server = LogServer()
    sockets = [socket.create_connection((HOST, server.port), 5.0) for _ in range(2)]
    for sock in sockets:
        sock.sendall(bytes(8))
        assert sock.recv(13, socket.MSG_WAITALL) == frame(1, 0)
    while len(server.followers) < 2:
        time.sleep(0.005)
    sockets[0].close()
    for number in range(2, 30):
        server.record_purge()
        server.flush()
        assert sockets[1].recv(29, socket.MSG_WAITALL)[4:12] == number.to_bytes(8, "big")
        time.sleep(0.002)
    assert len(server.followers) == 1
    sockets[1].close()
    server.close()


def test_sink_records_one_delay_per_purge() -> None:
    server = LogServer(0.2)
    sink = DelaySink(server)

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ChangeLogClient(HOST, server.port, Follower(1)).run, sink)
            with trio.fail_after(20.0):
                while not server.followers:
                    await trio.sleep(0.005)
                count = await trio.to_thread.run_sync(lambda: server.run(100.0, 1.0))
                while len(sink.delays_s) < count:
                    await trio.sleep(0.005)
            nursery.cancel_scope.cancel()

    set_log_sink(lambda event, fields: None)
    try:
        trio.run(play)
    finally:
        set_log_sink(None)
        server.close()
    assert len(sink.delays_s) == len(server.purged_at_s)
    # Purges are batched: the first one of a window waits for its end.
    assert max(sink.delays_s) > 0.1 > min(sink.delays_s)


def test_traffic_since_counts_only_connections_still_open() -> None:
    with socket.create_server((HOST, 0)) as listener:
        address = listener.getsockname()
        open_socket, closed_socket = socket.create_connection(address), socket.create_connection(address)
        accepted = [listener.accept()[0] for _ in range(2)]
        before = traffic_by_port({address[1]})
        assert set(before) == {open_socket.getsockname()[1], closed_socket.getsockname()[1]}
        closed_socket.close()
        open_socket.sendall(bytes(1000))
        assert len(accepted[0].recv(1000, socket.MSG_WAITALL)) == 1000
        deadline = time.monotonic() + 5.0
        while traffic_since(before, {address[1]}).bytes < 1000 and time.monotonic() < deadline:
            time.sleep(0.005)  # until the data is acknowledged
        traffic = traffic_since(before, {address[1]})
        assert 1000 < traffic.bytes < 1300
        assert traffic.segments >= 2
        for sock in (open_socket, *accepted):
            sock.close()


def figures_of_all_days() -> Figures:
    figures = {"log_0ms_bytes_s": 3000.0}
    for size in (50, 100):
        figures[f"swarm_calm_bytes_each_s_{size}"] = 600.0
        for name in [
            "kill",
            "restart",
            "tenth",
            "zone",
            "zone_back",
            "cut",
            "cut_on",
            "meet",
            "join",
            "spread",
        ]:
            figures[f"swarm_{name}_peak_bytes_{size}"] = 10.0 * size
            figures[f"swarm_{name}_extra_bytes_each_{size}"] = 2.0 * size
    return figures


def test_days_add_change_log_bytes_to_the_swarms_worst_second() -> None:
    days = {day.name: day for day in extrapolated_days(figures_of_all_days())}
    assert days["calm"].peak_bytes == pytest.approx(3600.0)
    assert days["kill"].peak_bytes == pytest.approx(3000.0 + 10.0 * ROUTERS)
    assert days["release, ten steps of a tenth"].extra_bytes == pytest.approx(10.0 * 2.0 * ROUTERS)
    extra_bytes_per_event = 2.0 * ROUTERS
    partition_day = days["region cut for 300 s and back"]
    assert partition_day.extra_bytes == pytest.approx(
        extra_bytes_per_event + extra_bytes_per_event / 10.0 * 275.0 + extra_bytes_per_event
    )
    assert days["everything started within 2 s"].extra_bytes == pytest.approx(2 * extra_bytes_per_event)


def test_worst_second_is_capped_by_the_rate_limits() -> None:
    figures = figures_of_all_days() | {f"swarm_join_peak_bytes_{size}": 5000.0 * size for size in (50, 100)}
    days = {day.name: day for day in extrapolated_days(figures)}
    assert days["everything started within 2 s"].peak_bytes == 3000.0 + byte_rate_limit("join")
    # 160 pings and as many answers per second, each way, 15 with claims and 4 probes, 272 bytes each
    assert byte_rate_limit("join") == 2 * 272 * (2 * 160 + 15 + 4)
    assert byte_rate_limit("zone") == 2 * 272 * (15 + 4)


def test_earlier_figures_are_read_from_key_value_lines(tmp_path: Path) -> None:
    path = tmp_path / "run.txt"
    path.write_text("swarm: 25 50\nlog at=once: 3\na_1=2.5 b=1e+03\nb=7\nrc 0\n")
    assert read_figures(path) == {"a_1": 2.5, "b": 7.0}


def test_threads_of_a_closed_server_end() -> None:
    threads_before = threading.active_count()
    LogServer().close()
    deadline = time.monotonic() + 5.0
    while threading.active_count() > threads_before and time.monotonic() < deadline:
        time.sleep(0.005)
    assert threading.active_count() == threads_before

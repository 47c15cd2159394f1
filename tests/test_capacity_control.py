"""The measurements of the control plane: they count what was carried, and work out what follows."""

from __future__ import annotations

import math
import socket
import threading
import time
from pathlib import Path

import pytest
import trio

from benchmarks.capacity_coordination import carried_since, carried_to
from benchmarks.capacity_days import UDP_HEADERS, limit_of, read_figures, worked_out_days
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


def test_fits_give_back_what_made_the_values() -> None:
    sizes = (25, 50, 100, 200)
    power = power_fit(sizes, [2.3 * size**2 for size in sizes])
    assert power == pytest.approx((2.3, 2.0))
    assert power.at(730) == pytest.approx(2.3 * 730**2)
    assert line_fit(sizes, [7.0 + 0.5 * size for size in sizes]).at(730) == pytest.approx(372.0)


def test_a_power_needs_two_positive_values() -> None:
    assert math.isnan(power_fit((10, 20), (0.0, 5.0)).exponent)


def test_size_counts_each_object_once() -> None:
    part = b"x" * 1000
    assert deep_size([part, part]) - deep_size([part]) < 1000 < deep_size([part])


def calm_fleet(count: int) -> CountedModel:
    model = CountedModel(count)
    start_within(model, range(count), 1.0)
    assert model.until(model.joined, 60.0) < 60.0
    let_settle(model, 6.0)
    return model


def test_each_datagram_counts_where_it_is_sent_and_where_it_arrives() -> None:
    model = calm_fleet(6)
    calm = observe(model, lambda: None, lambda: model.run(10.0))
    # Nothing is told in calm: each datagram is as short as can be. Some are under way at either end.
    assert calm.datagrams > 6 * 10 * 3
    assert calm.bytes == pytest.approx(calm.datagrams * 2 * (FIXED_BYTES + UDP_HEADERS), abs=6 * 200)
    assert calm.peak * 6 <= calm.bytes
    assert calm.decision_s > 0.0


def refusals(model: CountedModel) -> int:
    return sum(box.swarm.gossip.counts["refused"] for box in model.routers[1:] if box.swarm is not None)


def test_a_machine_that_vanishes_refuses_nothing() -> None:
    model = calm_fleet(6)
    before = refusals(model)  # who started first was refused by those that were not there yet
    observe(model, lambda: vanish(model, [0]), lambda: model.run(3.0))
    assert refusals(model) == before
    model = calm_fleet(6)
    before = refusals(model)
    observe(model, lambda: model.kill(0), lambda: model.run(3.0))
    assert refusals(model) > before


def test_a_fleet_that_starts_asks_more_than_one_in_calm() -> None:
    figures = play_fleet(8, True)
    assert figures["join_datagrams"] >= 2 * 8 * 7  # each asks each other one, and is answered
    assert figures["join_datagrams_each_s"] > figures["calm_datagrams_each_s"]
    assert figures["restart_extra_datagrams"] > 2 * 7
    assert figures["memory_mb"] > 0.0


class Counting:
    """Counts what is told."""

    def __init__(self, wanted: int) -> None:
        self.left = wanted
        self.done = trio.Event()

    def handle_membership_event(self, event: MembershipEvent) -> None:
        self.left -= 1
        if not self.left:
            self.done.set()


def followed(window: float, purges: int) -> Segments:
    """What a follower's connection carries for so many purges, all made within a tenth of a second."""
    server, sink = LogServer(window), Counting(purges)
    carried: list[Segments] = []

    def serve() -> None:
        while not server.followers:
            time.sleep(0.005)
        time.sleep(0.1)
        before = Segments.of(server.followers[0])
        made = 0
        while made < purges:
            server.make()
            made += 1
            if not window:
                server.flush()
        server.flush()
        trio.from_thread.run(sink.done.wait)
        time.sleep(0.1)  # the last acknowledgement is on its way
        carried.append(Segments.of(server.followers[0]).since(before))

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
    return carried[0]


def test_gathered_purges_carry_the_same_bytes_in_fewer_segments() -> None:
    single, gathered = followed(0.0, 20), followed(0.5, 20)
    frames = 20 * len(frame(1, 3, bytes(16)))
    assert single.bytes_out == gathered.bytes_out == frames == 20 * 29
    assert (single.out, gathered.out) == (20, 1)
    assert gathered.total < single.total
    assert single.total == frames + single.bytes_came + (single.out + single.came) * single.headers


def test_a_follower_that_goes_away_does_not_end_the_others() -> None:
    server = LogServer()
    socks = [socket.create_connection((HOST, server.port), 5.0) for _ in range(2)]
    for sock in socks:
        sock.sendall(bytes(8))
        assert sock.recv(13, socket.MSG_WAITALL) == frame(1, 0)
    while len(server.followers) < 2:
        time.sleep(0.005)
    socks[0].close()
    for number in range(2, 30):
        server.make()
        server.flush()
        assert socks[1].recv(29, socket.MSG_WAITALL)[4:12] == number.to_bytes(8, "big")
        time.sleep(0.002)
    assert len(server.followers) == 1
    socks[1].close()
    server.close()


def test_delays_are_those_of_the_purges() -> None:
    server = LogServer(0.2)
    sink = DelaySink(server)

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ChangeLogClient(HOST, server.port, Follower(1)).run, sink)
            with trio.fail_after(20.0):
                while not server.followers:
                    await trio.sleep(0.005)
                count = await trio.to_thread.run_sync(lambda: server.run(100.0, 1.0))
                while len(sink.delays) < count:
                    await trio.sleep(0.005)
            nursery.cancel_scope.cancel()

    set_log_sink(lambda event, fields: None)
    try:
        trio.run(play)
    finally:
        set_log_sink(None)
        server.close()
    assert len(sink.delays) == len(server.made)
    assert max(sink.delays) > 0.1 > min(sink.delays)  # gathered: the first of a window waits for its end


def test_only_connections_that_stay_open_are_compared() -> None:
    with socket.create_server((HOST, 0)) as listener:
        address = listener.getsockname()
        stays, goes = socket.create_connection(address), socket.create_connection(address)
        ends = [listener.accept()[0] for _ in range(2)]
        before = carried_to({address[1]})
        assert set(before) == {stays.getsockname()[1], goes.getsockname()[1]}
        goes.close()
        stays.sendall(bytes(1000))
        assert len(ends[0].recv(1000, socket.MSG_WAITALL)) == 1000
        deadline = time.monotonic() + 5.0
        while carried_since(before, {address[1]}).bytes < 1000 and time.monotonic() < deadline:
            time.sleep(0.005)  # until it is acknowledged
        carried = carried_since(before, {address[1]})
        assert 1000 < carried.bytes < 1300
        assert carried.segments >= 2
        for sock in (stays, *ends):
            sock.close()


def days_figures() -> Figures:
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


def test_days_add_the_change_log_to_the_worst_second_of_the_swarm() -> None:
    days = {day.name: day for day in worked_out_days(days_figures())}
    assert days["calm"].peak_bytes == pytest.approx(3600.0)
    assert days["kill"].peak_bytes == pytest.approx(3000.0 + 10.0 * ROUTERS)
    assert days["release, ten steps of a tenth"].extra_bytes == pytest.approx(10.0 * 2.0 * ROUTERS)
    each = 2.0 * ROUTERS
    apart = days["region cut for 300 s and back"]
    assert apart.extra_bytes == pytest.approx(each + each / 10.0 * 275.0 + each)
    assert days["everything started within 2 s"].extra_bytes == pytest.approx(2 * each)


def test_the_worst_second_is_no_more_than_the_program_sends() -> None:
    figures = days_figures() | {f"swarm_join_peak_bytes_{size}": 5000.0 * size for size in (50, 100)}
    days = {day.name: day for day in worked_out_days(figures)}
    assert days["everything started within 2 s"].peak_bytes == 3000.0 + limit_of("join")
    # 160 questions and as many answers a second, each way, 15 with news and 4 probes, 272 bytes each
    assert limit_of("join") == 2 * 272 * (2 * 160 + 15 + 4)
    assert limit_of("zone") == 2 * 272 * (15 + 4)


def test_figures_of_earlier_runs_are_read_from_their_last_lines(tmp_path: Path) -> None:
    path = tmp_path / "run.txt"
    path.write_text("swarm: 25 50\nlog at=once: 3\na_1=2.5 b=1e+03\nb=7\nrc 0\n")
    assert read_figures(path) == {"a_1": 2.5, "b": 7.0}


def test_threads_of_a_closed_server_end() -> None:
    before = threading.active_count()
    LogServer().close()
    deadline = time.monotonic() + 5.0
    while threading.active_count() > before and time.monotonic() < deadline:
        time.sleep(0.005)
    assert threading.active_count() == before

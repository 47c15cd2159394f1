"""Measure a router's cost at the platform's size; the source of the figures in docs/CAPACITY.md.

    python -m benchmarks.capacity_router [--short] [order] [popularity] [cold [SCENARIO...]] [control] [data]

order: the cached orders of the rendezvous hash, and the cost of a list change. popularity: the request
counts. cold: shares of a slow-starting node's limit. control: updates of purges and of the list, without I/O.
data: the real program over loopback. Without a part, all run. The last line is `key=value ...`.
"""

from __future__ import annotations

import os
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import lru_cache

from benchmarks import capacity_data, capacity_popularity, capacity_slow_start
from benchmarks.capacity_data import LOADS, Load
from benchmarks.capacity_sizes import (
    MEAN_KB,
    PARENT_COUNTS,
    PURGES_PER_S,
    ROUTER_MB_PER_S,
    ROUTER_REQUESTS_PER_S,
    ZONE_CACHES,
    edge_settings,
    listed_nodes,
    node,
    zipf_keys,
)
from benchmarks.capacity_slow_start import SCENARIOS, Scenario
from stonecove.discovery import Member, MembersUpdate, PurgeUpdate
from stonecove.pipeline.route import Route
from stonecove.protocols.buffer import Buffer
from stonecove.protocols.change_log import _HEADER, _OBJECT, _RECORD, frames
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.routing.endpoints import NodeState
from stonecove.routing.events import PurgeReceived
from stonecove.routing.popularity import MAX_TRACKED_OBJECTS
from stonecove.routing.purges import PURGE_RETENTION_MARGIN, PurgeHistory
from stonecove.routing.rendezvous import RendezvousHash
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import set_log_sink
from stonecove.runtime.timers import Timers
from stonecove.state.budget import MemoryBudget

STEADY_CHANGES_PER_DAY = 318  # 6 caches fail and 100 restart, each announced as draining, gone and ready
RELEASE_CHANGES = 870  # each of 290 caches, announced three times as above
RELEASE_DURATION_S = 3600.0  # an assumption; the real duration is unknown
DAY_S = 86_400.0
OBJECTS = 2_000_000
ORDERS_FOR_MEMORY = 4000  # cached orders whose memory is measured
ALTERNATING_STATES = (NodeState.DRAINING, NodeState.READY)  # of the node that changes


def rendezvous_hash(count: int) -> RendezvousHash:
    """Return a rendezvous hash over `count` nodes."""
    return RendezvousHash([node(1000 + index) for index in range(count)], True)


def cpu_us_per_call(call: Callable[[int], object], count: int, rounds: int = 3) -> float:
    """Return the microseconds of CPU per call, the best of several rounds."""
    best = float("inf")
    for _ in range(rounds):
        started_at_s = time.process_time()
        for index in range(count):
            call(index)
        best = min(best, time.process_time() - started_at_s)
    return best / count * 1e6


def order_bytes(nodes: int, entries: int) -> float:
    """Return the bytes per cached order."""
    keys, orders = zipf_keys(10**6, 0.0, entries), rendezvous_hash(nodes)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for key in keys:
        orders.order(key)
    allocated_bytes = tracemalloc.get_traced_memory()[0] - before
    cached = orders.order.cache_info().currsize
    tracemalloc.stop()
    return allocated_bytes / cached


def cache_miss_share(keys: list[int], interval_s: float) -> float:
    """Return the fraction of requests without a cached order if the cache is cleared every `interval_s`."""
    cached = lru_cache(MAX_TRACKED_OBJECTS)(_no_order)
    interval_requests, misses = max(1, int(interval_s * ROUTER_REQUESTS_PER_S)), 0
    for index, key in enumerate(keys):
        if index and index % interval_requests == 0:
            misses += cached.cache_info().misses
            cached.cache_clear()
        cached(key)
    return (misses + cached.cache_info().misses) / len(keys)


def _no_order(_: int) -> None:
    return None


def measure_order(short: bool) -> dict[str, float]:
    """Measure the cost of an order, the memory of cached orders and the cache misses."""
    figures: dict[str, float] = {}
    node_counts = (10, ZONE_CACHES, 40) if short else (6, 10, ZONE_CACHES, 20, 40, 85, 290)
    keys = zipf_keys(10**6, 0.0, 500)
    for count in node_counts:
        orders = rendezvous_hash(count)
        figures[f"order_us_{count}"] = cpu_us_per_call(
            lambda index, orders=orders: orders._order(keys[index]),  # type: ignore[misc]
            len(keys),
        )
        figures[f"order_bytes_{count}"] = order_bytes(count, 500 if short else ORDERS_FOR_MEMORY)
        print(
            f"order of {count} nodes: {figures[f'order_us_{count}']:.1f} us, "
            f"{figures[f'order_bytes_{count}']:.0f} bytes cached",
            flush=True,
        )
    seconds = 30 if short else 1200
    release_interval_s = RELEASE_DURATION_S / RELEASE_CHANGES
    for exponent in (0.8, 1.0):
        requested_keys = zipf_keys(
            10**5 if short else OBJECTS, exponent, int(seconds * ROUTER_REQUESTS_PER_S)
        )
        for name, interval_s in (
            ("calm", DAY_S / STEADY_CHANGES_PER_DAY),
            ("release", release_interval_s),
            ("unchanged", 1e9),
        ):
            share = cache_miss_share(requested_keys, interval_s)
            figures[f"order_missing_{name}_{exponent:g}"] = share
            print(f"Zipf {exponent:g}, {name}: {share:.3f} of the requests need a new order", flush=True)
        burst = requested_keys[-int(ROUTER_REQUESTS_PER_S) :]
        figures[f"order_burst_{exponent:g}"] = len(set(burst)) / len(burst)
    return figures


# -- updates of purges and of the list --


def _connect(owner: Owner, address: tuple[str, int], timeout: float) -> Channel:
    raise AssertionError("this benchmark opens no connections")


def route_without_io(parents: int) -> tuple[Route, tuple[Member, ...]]:
    """Return a router's core without I/O that has received a complete list, and the list."""
    clock = Clock()
    budget = MemoryBudget()
    budget.limit_bytes = 48e6
    route = Route(
        edge_settings(), 7, clock, Timers(clock, time.monotonic, _do_nothing), budget, 0.0, _connect
    )
    members = tuple(Member(endpoint, "127.0.0.1", 6565) for endpoint in listed_nodes(parents))
    route.handle_membership_event(MembersUpdate(True, members))
    return route, members


def _do_nothing() -> None:
    return None


def _discard(event: str, fields: dict[str, object]) -> None:
    """Format a log line and discard it."""
    " ".join(f"{name}={value}" for name, value in fields.items())


@contextmanager
def silent_log() -> Iterator[None]:
    """Discard the log lines of the core."""
    set_log_sink(_discard)
    try:
        yield
    finally:
        set_log_sink(None)


def purge_frame(number: int) -> bytes:
    """Return the change log's frame for the purge of an object."""
    payload = _OBJECT.pack(number, int(time.time() * 1000))
    return _HEADER.pack(9 + len(payload), number, 3) + payload


def list_frame(number: int, members: tuple[Member, ...], is_complete: bool) -> bytes:
    """Return the change log's frame for a complete list or for changes of it."""
    payload = b"".join(
        _RECORD.pack(
            member.node.node_id, 0x7F000001, member.port, 0, member.node.zone, member.node.kind, 0, 1000, 0
        )
        for member in members
    )
    return _HEADER.pack(9 + len(payload), number, 1 if is_complete else 2) + payload


def count_frames(data: bytes) -> int:
    """Parse frames as the follower does and return their count."""
    buffer = Buffer(1 << 20)
    buffer.feed(data)
    return len(list(frames(buffer)))


def retained_purges(seconds: float) -> tuple[int, float]:
    """Return the maximum number of retained purges at the platform's rate, and their bytes."""
    settings = edge_settings()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    purges, max_retained, allocated_bytes = PurgeHistory(), 0, 0
    purges.configure(0.0, settings.purge_settled_ms * PURGE_RETENTION_MARGIN + settings.purge_grace_ms)
    for number in range(int(seconds * PURGES_PER_S)):
        purges.record(1e12 + number * 1000.0 / PURGES_PER_S, PurgeReceived(0.0, 0, 10**12 + number))
        max_retained = max(max_retained, len(purges._purged_at_ms))
        allocated_bytes = max(allocated_bytes, tracemalloc.get_traced_memory()[0] - before)
    tracemalloc.stop()
    return max_retained, float(allocated_bytes)


def measure_control(short: bool) -> dict[str, float]:
    """Measure CPU and bytes of a purge, a list change and a complete list, and the memory of purges."""
    calls, figures = (50 if short else 2000), dict[str, float]()
    with silent_log():
        for parents in PARENT_COUNTS[1:]:
            route, members = route_without_io(parents)
            member = members[7]

            def change(index: int, route: Route = route, member: Member = member) -> None:
                changed = member._replace(node=member.node._replace(state=ALTERNATING_STATES[index % 2]))
                route.handle_membership_event(MembersUpdate(False, (changed,)))

            def complete_list(_: int, route: Route = route, members: tuple[Member, ...] = members) -> None:
                route.handle_membership_event(MembersUpdate(True, members))

            def purge(index: int, route: Route = route) -> None:
                route.handle_membership_event(PurgeUpdate(time.time() * 1000.0, 0, 10**9 + index))

            figures |= {
                f"purge_us_{parents}": cpu_us_per_call(purge, calls),
                f"change_us_{parents}": cpu_us_per_call(change, max(10, calls // 10)),
                f"whole_us_{parents}": cpu_us_per_call(complete_list, max(5, calls // 50)),
            }
            figures[f"whole_bytes_{parents}"] = len(list_frame(1, members, True))
        encoded_purge, encoded_change = purge_frame(1), list_frame(1, members[:1], False)
        figures |= {
            "purge_bytes": len(encoded_purge),
            "change_bytes": len(encoded_change),
            "purge_read_us": cpu_us_per_call(lambda _: count_frames(encoded_purge), calls),
            "change_read_us": cpu_us_per_call(lambda _: count_frames(encoded_change), calls),
        }
        complete_list_frame = list_frame(1, members, True)
        figures["whole_read_us"] = cpu_us_per_call(
            lambda _: count_frames(complete_list_frame), max(5, calls // 50)
        )
    retained, allocated_bytes = retained_purges(20.0 if short else 120.0)
    figures |= {"purges_kept": retained, "purges_bytes": allocated_bytes}
    for name, value in figures.items():
        print(f"{name}: {value:.1f}")
    return figures


def measure_popularity(short: bool) -> dict[str, float]:
    """Measure popularity counting at a router's request rate."""
    if short:
        return capacity_popularity.measure(20, 50_000, (0.8,))
    return capacity_popularity.measure(320, OBJECTS, (0.8, 1.0))


def measure_slow_start(short: bool) -> dict[str, float]:
    """Measure the shares of slow-starting nodes' limits."""
    if short:
        return capacity_slow_start.measure((Scenario("parent85", 100, 85, 1.0, 2000.0),))
    selected = tuple(scenario for scenario in SCENARIOS if scenario.name in sys.argv[1:])
    return capacity_slow_start.measure(selected or SCENARIOS)


def measure_data(short: bool) -> dict[str, float]:
    """Measure the real program and derive the cores that a router machine needs."""
    if short:
        figures = capacity_data.measure((Load(10, 50.0), Load(10, 150.0), Load(120, 100.0)), 1.0, (60,), 10)
    else:
        figures = capacity_data.measure(LOADS, 6.0, (10, 60, 120, 240), 100)
    cores = (ROUTER_REQUESTS_PER_S * figures["request_us"] + ROUTER_MB_PER_S * figures["megabyte_us"]) / 1e6
    return figures | {"cores_at_size": cores, "mean_kb": MEAN_KB}


PARTS: dict[str, Callable[[bool], dict[str, float]]] = {
    "order": measure_order,
    "popularity": measure_popularity,
    "cold": measure_slow_start,
    "control": measure_control,
    "data": measure_data,
}


def main() -> None:
    """Run the selected parts, or all, and print the figures."""
    selected = [argument for argument in sys.argv[1:] if argument in PARTS]
    short, figures = "--short" in sys.argv[1:], dict[str, float]()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}", flush=True)
    for part in selected or PARTS:
        started_at_s = time.monotonic()
        part_figures = PARTS[part](short)
        print(f"{part}: {time.monotonic() - started_at_s:.1f} s", flush=True)
        figures |= part_figures
    print(" ".join(f"{name}={value:.5g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

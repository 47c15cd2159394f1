"""The platform's size, one router's part of it, and synthetic traffic and settings of that size.

Times are milliseconds, sizes KB (1,000 bytes), unless a name says otherwise.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import numpy

from stonecove.routing.endpoints import Node, NodeState
from stonecove.routing.settings import Settings
from stonecove.settings import settings_from
from stonecove.standins.webserver import settings as small_settings

ROUTERS = 730
ZONES = 19
CACHES = 290
REQUESTS_PER_S = 440_000  # per second
BITS_PER_S = 1.1e12  # per second
PURGES_PER_S = 22  # per second
PURGE_COMPLETE_MS = 7800.0  # a purge is complete in the whole fleet within this time

ROUTER_REQUESTS_PER_S = REQUESTS_PER_S / ROUTERS  # per second
ROUTER_MB_PER_S = BITS_PER_S / 8 / 1e6 / ROUTERS  # per second
MEAN_KB = BITS_PER_S / 8 / 1000 / REQUESTS_PER_S
ZONE_ROUTERS = round(ROUTERS / ZONES)
ZONE_CACHES = round(CACHES / ZONES)
CLIENT_KB_PER_S = 4200.0  # of one transfer
MEAN_TRANSFER_MS = MEAN_KB / CLIENT_KB_PER_S * 1000.0  # duration of a mean transfer at full rate
CAPACITY_FACTOR = 1.5  # concurrent transfers that a node can carry per transfer it has on average
MISS_FRACTION = 0.25  # fraction of the requests that a cache fills from a parent or the origin
PARENT_COUNTS = (6, 20, 85)  # the real number is unknown: one per 3 zones, per zone, and per 3.4 caches

ZONE, PARENT_KIND, ORIGIN_KIND = 1, 1, 2
_KEY_MULTIPLIER = 0x9E3779B97F4A7C15  # multiplier that spreads ranks over the 64-bit keys


def edge_settings(**changes: Any) -> Settings:
    """Return the settings of a router in a zone of average size."""
    base = settings_from(small_settings())
    zone_link_kb_per_s_each = ZONE_CACHES * CACHE_CAPACITY * CLIENT_KB_PER_S
    scaled = replace(
        base,
        fleet_size=ROUTERS,
        routers_by_zone=(0, *[ZONE_ROUTERS] * ZONES),
        zone_link_kb_per_s=(0.0, *[zone_link_kb_per_s_each] * ZONES),
        weights_known=True,
        purge_settled_ms=PURGE_COMPLETE_MS,
        parent_slow_start_initial_fraction=0.1,
        parent_slow_start_ms=17_000.0,
        parent_overload_multiple=2.0,
    )
    return replace(scaled, **changes)


CACHE_CAPACITY = CAPACITY_FACTOR * REQUESTS_PER_S / CACHES * MEAN_TRANSFER_MS / 1000.0  # concurrent transfers


def parent_capacity(parents: int) -> float:
    """Return the concurrent transfers that each of `parents` parents can carry."""
    return CAPACITY_FACTOR * MISS_FRACTION * REQUESTS_PER_S / parents * MEAN_TRANSFER_MS / 1000.0


def node(node_id: int, kind: int = 0, zone: int = ZONE, weight: float = CACHE_CAPACITY) -> Node:
    """Return a ready node whose slow start is long over."""
    return Node(node_id, kind, 0.0, NodeState.READY, 0, zone, weight)


def listed_nodes(parents: int, caches: int = CACHES) -> tuple[Node, ...]:
    """Return a complete endpoint list: caches round-robin over the zones, parents, the origin."""
    nodes = [node(1000 + index, zone=1 + index % ZONES) for index in range(caches)]
    capacity = parent_capacity(parents)
    nodes += [node(5000 + index, PARENT_KIND, 0, capacity) for index in range(parents)]
    return (*nodes, node(9000, ORIGIN_KIND, 0, 1e6))


def zipf_keys(objects: int, exponent: float, count: int, seed: int = 7) -> list[int]:
    """Return the keys of `count` requests, drawn by Zipf's law over `objects` objects."""
    return [
        (rank + 1) * _KEY_MULTIPLIER & (2**64 - 1)
        for rank in zipf_ranks(objects, exponent, count, seed).tolist()
    ]


def zipf_ranks(objects: int, exponent: float, count: int, seed: int = 7) -> numpy.ndarray[Any, Any]:
    """Return the popularity ranks, from 0, of `count` requests drawn by Zipf's law."""
    shares = numpy.cumsum(numpy.arange(1, objects + 1, dtype=float) ** -exponent)
    samples = numpy.random.default_rng(seed).random(count) * shares[-1]
    ranks: numpy.ndarray[Any, Any] = numpy.searchsorted(shares, samples)
    return ranks


def sizes_kb(seed: int, sigma: float = 0.9) -> Iterator[float]:
    """Yield object sizes without end, log-normal around the platform's mean size."""
    generator = random.Random(seed)
    while True:
        yield MEAN_KB * generator.lognormvariate(-sigma * sigma / 2.0, sigma)

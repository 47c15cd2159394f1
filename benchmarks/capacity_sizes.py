"""The platform's size, what follows from it for one router, and made-up traffic and settings of that size.

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
REQUESTS = 440_000  # a second
BITS = 1.1e12  # a second
PURGES = 22  # a second
PURGE_DONE = 7800.0  # ms within which a purge is done everywhere

ROUTER_REQUESTS = REQUESTS / ROUTERS  # a second
ROUTER_MB = BITS / 8 / 1e6 / ROUTERS  # a second
MEAN_KB = BITS / 8 / 1000 / REQUESTS
ZONE_ROUTERS = round(ROUTERS / ZONES)
ZONE_CACHES = round(CACHES / ZONES)
CLIENT_KB = 4200.0  # a second, of one transfer
MEAN_WORK = MEAN_KB / CLIENT_KB * 1000.0  # ms of a mean transfer at full pace
ROOM = 1.5  # transfers at once that a node carries, for each that it has on average
MISSES = 0.25  # part of the requests that a cache has filled
PARENTS = (6, 20, 85)  # nobody has told the number: one for about 3 zones, one a zone, one for 3.4 caches

ZONE, PARENT_KIND, ORIGIN_KIND = 1, 1, 2
_STEP = 0x9E3779B97F4A7C15  # spreads ranks over the keys


def edge_settings(**changes: Any) -> Settings:
    """Settings of a router in a zone of the middle size."""
    base = settings_from(small_settings())
    zone_link = ZONE_CACHES * CACHE_CARRIES * CLIENT_KB
    sized = replace(
        base,
        fleet_size=ROUTERS,
        routers_by_zone=(0, *[ZONE_ROUTERS] * ZONES),
        zone_link_kb_per_s=(0.0, *[zone_link] * ZONES),
        weights_known=True,
        purge_settled_ms=PURGE_DONE,
        parent_slow_start_initial_fraction=0.1,
        parent_slow_start_ms=17_000.0,
        parent_overload_multiple=2.0,
    )
    return replace(sized, **changes)


CACHE_CARRIES = ROOM * REQUESTS / CACHES * MEAN_WORK / 1000.0  # transfers at once


def parent_carries(parents: int) -> float:
    """Transfers at once that each of so many parents carries."""
    return ROOM * MISSES * REQUESTS / parents * MEAN_WORK / 1000.0


def node(ident: int, kind: int = 0, zone: int = ZONE, weight: float = CACHE_CARRIES) -> Node:
    """A node that is ready and has been so for long."""
    return Node(ident, kind, 0.0, NodeState.READY, 0, zone, weight)


def listed_nodes(parents: int, caches: int = CACHES) -> tuple[Node, ...]:
    """A whole list: caches over all zones in turn, parents, the origin."""
    found = [node(1000 + place, zone=1 + place % ZONES) for place in range(caches)]
    carries = parent_carries(parents)
    found += [node(5000 + place, PARENT_KIND, 0, carries) for place in range(parents)]
    return (*found, node(9000, ORIGIN_KIND, 0, 1e6))


def zipf_keys(objects: int, exponent: float, count: int, seed: int = 7) -> list[int]:
    """Keys that are asked for, by Zipf's law over so many objects."""
    return [(rank + 1) * _STEP & (2**64 - 1) for rank in zipf_ranks(objects, exponent, count, seed).tolist()]


def zipf_ranks(objects: int, exponent: float, count: int, seed: int = 7) -> numpy.ndarray[Any, Any]:
    """The same as ranks, from 0."""
    shares = numpy.cumsum(numpy.arange(1, objects + 1, dtype=float) ** -exponent)
    drawn = numpy.random.default_rng(seed).random(count) * shares[-1]
    ranks: numpy.ndarray[Any, Any] = numpy.searchsorted(shares, drawn)
    return ranks


def sizes_kb(seed: int, sigma: float = 0.9) -> Iterator[float]:
    """Sizes of objects without end: log-normal around the mean that the platform's figures give."""
    chooser = random.Random(seed)
    while True:
        yield MEAN_KB * chooser.lognormvariate(-sigma * sigma / 2.0, sigma)

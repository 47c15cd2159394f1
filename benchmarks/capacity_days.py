"""Extrapolate the control traffic of 730 routers over several kinds of days from the fitted slopes.

A line or power law fitted to small fleets ignores the program's own rate limits, which only larger fleets
reach: the join pings per tick of a starting router and the gossip messages per second. The worst second is
the smaller of the extrapolation and the limit.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from benchmarks.capacity_fits import (
    BOUND_BYTES_PER_S,
    CHANGES_PER_DAY,
    DAY_S,
    ROUTERS,
    ZONES,
    Figures,
    line_fit,
    power_fit,
)
from stonecove.gossip.gossip import MAX_CLAIMS, PUSH_RATE
from stonecove.gossip.swarm import JOIN_PINGS_PER_TICK, TICK_S
from stonecove.protocols.gossip import FIXED_BYTES

PARTITION_ONSET_S, PARTITION_STEADY_S = (
    25.0,
    10.0,
)  # seconds of the two phases of a partition: onset and steady state
UDP_HEADER_BYTES = 28  # bytes of the IP and UDP headers
CLAIM_BYTES = 18  # of one claim in a datagram
FULL_DATAGRAM_BYTES = (
    FIXED_BYTES + MAX_CLAIMS * CLAIM_BYTES + UDP_HEADER_BYTES
)  # bytes of a datagram full of claims
STEADY_DATAGRAMS_PER_S = 4.0  # per second and router, upper bound
# The fraction of the fleet that pings all other routers to join.
JOINING_FRACTION = {
    "join": 1.0,
    "meet": 1.0,
    "tenth": 0.1,
    "zone_back": 1.0 / ZONES,
    "restart": 1.0 / ROUTERS,
}
# Traffic of a single event hardly grows with the fleet; in the other phases it is proportional to it.
ONE_EVENT = ("kill", "restart", "cut_on")


def byte_rate_limit(phase: str) -> float:
    """Return the mean bytes per second and router, sent plus received, that the rate limits allow."""
    pings_per_s = JOIN_PINGS_PER_TICK / TICK_S * JOINING_FRACTION.get(phase, 0.0)  # each ping is answered
    return 2.0 * FULL_DATAGRAM_BYTES * (2.0 * pings_per_s + PUSH_RATE + STEADY_DATAGRAMS_PER_S)


def predicted(figures: Figures, name: str, linear: bool) -> float:
    """Extrapolate a swarm figure to 730 routers by a line or a power law over the simulated fleets."""
    start = f"swarm_{name}_"
    found = {int(key[len(start) :]): value for key, value in figures.items()
             if key.startswith(start) and key[len(start) :].isdigit()}  # fmt: skip
    sizes = sorted(size for size in found if size != ROUTERS)
    values = [found[size] for size in sizes]
    return line_fit(sizes, values).at(ROUTERS) if linear else power_fit(sizes, values).at(ROUTERS)


class Day(NamedTuple):
    """One kind of day: a router's control bytes in the worst second, and its total above steady state."""

    name: str
    peak_bytes: float
    extra_bytes: float


def extrapolated_days(figures: Figures, window: str = "0ms") -> list[Day]:
    """Return the days at 730 routers, with a change log that batches purges over `window`."""
    log_bytes_per_s = figures[f"log_{window}_bytes_s"]

    def day_of(name: str, repetitions: float = 1.0) -> Day:
        linear = name not in ONE_EVENT
        peak = min(predicted(figures, f"{name}_peak_bytes", linear), byte_rate_limit(name))
        return Day(
            name, peak + log_bytes_per_s, predicted(figures, f"{name}_extra_bytes_each", linear) * repetitions
        )

    steady_day = Day("calm", predicted(figures, "calm_bytes_each_s", False) + log_bytes_per_s, 0.0)
    meeting = day_of("meet")
    partition_onset, join = day_of("cut"), day_of("join")
    lasting_bytes = day_of("cut_on").extra_bytes / PARTITION_STEADY_S * (300.0 - PARTITION_ONSET_S)
    partition_day = Day("region cut for 300 s and back", max(partition_onset.peak_bytes, meeting.peak_bytes),
                partition_onset.extra_bytes + lasting_bytes + meeting.extra_bytes)  # fmt: skip
    return [
        steady_day,
        day_of("kill"),
        day_of("restart"),
        day_of("tenth", 10.0)._replace(name="release, ten steps of a tenth"),
        day_of("zone")._replace(name="zone lost"),
        day_of("zone_back")._replace(name="zone back"),
        partition_day,
        Day(
            "everything started within 2 s", join.peak_bytes, join.extra_bytes + day_of("spread").extra_bytes
        ),
    ]


def days(figures: Figures) -> Figures:
    """Print the days and return each day's ratio to the byte bound."""
    ratios: Figures = {}
    for window in ("0ms", "500ms"):
        for day in extrapolated_days(figures, window):
            print(
                f"{day.name}, change log batched over {window}: worst second {day.peak_bytes:.0f} bytes per "
                f"router ({day.peak_bytes / BOUND_BYTES_PER_S:.2f} of the bound), "
                f"{day.extra_bytes / 1000:.0f} KB per router above steady state"
            )
            key = day.name.split(",")[0].replace(" ", "_")
            ratios[f"day_{window}_{key}_ratio"] = day.peak_bytes / BOUND_BYTES_PER_S
    rate = CHANGES_PER_DAY * ROUTERS / DAY_S
    print(f"{CHANGES_PER_DAY} changes per day by restart: {rate:.1f} restarts per second, each router every "
          f"{ROUTERS / rate:.0f} s")  # fmt: skip
    return ratios | {"restarts_a_second": rate}


def read_figures(path: Path) -> Figures:
    """Read the figures from the `key=value` lines of earlier runs."""
    found: Figures = {}
    for line in path.read_text().splitlines():
        pairs = [part.partition("=") for part in line.split()]
        if pairs and all(separator and key.isidentifier() for key, separator, _ in pairs):
            found |= {key: float(value) for key, _, value in pairs}
    return found

"""Days of 730 routers, worked out from the slopes.

A straight line or a power of the measured fleets says nothing of the program's own limits, which only larger
fleets reach: how many a starting router asks in a tick, how much news goes out a second. The worst second is
the smaller of both.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from benchmarks.capacity_fits import (
    BOUND_BYTES,
    CHANGES_A_DAY,
    DAY,
    ROUTERS,
    ZONES,
    Figures,
    line_fit,
    power_fit,
)
from stonecove.gossip.gossip import MAX_CLAIMS, PUSH_RATE
from stonecove.gossip.swarm import JOIN_PINGS_PER_TICK, TICK_S
from stonecove.protocols.gossip import FIXED_BYTES

CUT_FIRST, CUT_ON = 25.0, 10.0  # seconds of the two phases of a cut: what it brings about, and what goes on
UDP_HEADERS = 28  # IP and UDP
WORD_BYTES = 18  # of a word in a datagram
FULL = FIXED_BYTES + MAX_CLAIMS * WORD_BYTES + UDP_HEADERS  # bytes of a datagram full of words
CALM_DATAGRAMS = 4.0  # a second and router, at the most
# The part of the fleet that asks all others to count it.
ASKING = {"join": 1.0, "meet": 1.0, "tenth": 0.1, "zone_back": 1.0 / ZONES, "restart": 1.0 / ROUTERS}
# What one event brings about hardly grows with the fleet; the others' words are a part of the fleet.
ONE_EVENT = ("kill", "restart", "cut_on")


def limit_of(phase: str) -> float:
    """Bytes a second that the program's own rates allow a router on average, sent and received."""
    asked = JOIN_PINGS_PER_TICK / TICK_S * ASKING.get(phase, 0.0)  # each question is answered
    return 2.0 * FULL * (2.0 * asked + PUSH_RATE + CALM_DATAGRAMS)


def predicted(figures: Figures, name: str, linear: bool) -> float:
    """A figure of the swarm at 730 routers, by a line or a power of the fleets that were played."""
    start = f"swarm_{name}_"
    found = {int(key[len(start) :]): value for key, value in figures.items()
             if key.startswith(start) and key[len(start) :].isdigit()}  # fmt: skip
    sizes = sorted(size for size in found if size != ROUTERS)
    values = [found[size] for size in sizes]
    return line_fit(sizes, values).at(ROUTERS) if linear else power_fit(sizes, values).at(ROUTERS)


class Day(NamedTuple):
    """One kind of day: what a router's control costs in its worst second, and beside calm in all."""

    name: str
    peak_bytes: float
    extra_bytes: float


def worked_out_days(figures: Figures, window: str = "0ms") -> list[Day]:
    """Days at 730 routers from the slopes; the change log tells purges gathered for that window."""
    steady = figures[f"log_{window}_bytes_s"]

    def of(name: str, times: float = 1.0) -> Day:
        linear = name not in ONE_EVENT
        peak = min(predicted(figures, f"{name}_peak_bytes", linear), limit_of(name))
        return Day(name, peak + steady, predicted(figures, f"{name}_extra_bytes_each", linear) * times)

    calm = Day("calm", predicted(figures, "calm_bytes_each_s", False) + steady, 0.0)
    meeting = of("meet")
    cut, join = of("cut"), of("join")
    lasting = of("cut_on").extra_bytes / CUT_ON * (300.0 - CUT_FIRST)
    apart = Day("region cut for 300 s and back", max(cut.peak_bytes, meeting.peak_bytes),
                cut.extra_bytes + lasting + meeting.extra_bytes)  # fmt: skip
    return [
        calm,
        of("kill"),
        of("restart"),
        of("tenth", 10.0)._replace(name="release, ten steps of a tenth"),
        of("zone")._replace(name="zone lost"),
        of("zone_back")._replace(name="zone back"),
        apart,
        Day("everything started within 2 s", join.peak_bytes, join.extra_bytes + of("spread").extra_bytes),
    ]


def days(figures: Figures) -> Figures:
    """Prints the days; returns the worst ratio to the bound of bytes."""
    told: Figures = {}
    for window in ("0ms", "500ms"):
        for day in worked_out_days(figures, window):
            print(
                f"{day.name}, change log gathered for {window}: worst second {day.peak_bytes:.0f} bytes a "
                f"router ({day.peak_bytes / BOUND_BYTES:.2f} of the bound), {day.extra_bytes / 1000:.0f} KB "
                f"a router beside calm"
            )
            key = day.name.split(",")[0].replace(" ", "_")
            told[f"day_{window}_{key}_ratio"] = day.peak_bytes / BOUND_BYTES
    rate = CHANGES_A_DAY * ROUTERS / DAY
    print(f"{CHANGES_A_DAY} changes a day by restart: {rate:.1f} restarts a second, each router every "
          f"{ROUTERS / rate:.0f} s")  # fmt: skip
    return told | {"restarts_a_second": rate}


def read_figures(path: Path) -> Figures:
    """The `key=value` lines of earlier runs."""
    found: Figures = {}
    for line in path.read_text().splitlines():
        pairs = [part.partition("=") for part in line.split()]
        if pairs and all(sign and key.isidentifier() for key, sign, _ in pairs):
            found |= {key: float(value) for key, _, value in pairs}
    return found

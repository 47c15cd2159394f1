"""Days of 730 routers, worked out from the slopes."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from benchmarks.capacity_fits import BOUND_BYTES, CHANGES_A_DAY, DAY, ROUTERS, Figures

CUT_FIRST, CUT_ON = 25.0, 10.0  # seconds of the two phases of a cut: what it brings about, and what goes on


class Day(NamedTuple):
    """One kind of day: what a router's control costs in its worst second, and beside calm in all."""

    name: str
    peak_bytes: float
    extra_bytes: float


def worked_out_days(figures: Figures, window: str = "0ms") -> list[Day]:
    """Days at 730 routers from the slopes; the change log tells purges gathered for that window."""
    steady = figures[f"log_{window}_bytes_s"]

    def of(name: str, times: float = 1.0) -> Day:
        peak = figures[f"swarm_{name}_peak_bytes_{ROUTERS}"]
        return Day(name, peak + steady, figures[f"swarm_{name}_extra_bytes_each_{ROUTERS}"] * times)

    calm = Day("calm", figures[f"swarm_calm_bytes_each_s_{ROUTERS}"] + steady, 0.0)
    meeting = of("meet")
    cut, join = of("cut"), of("join")
    lasting = figures[f"swarm_cut_on_extra_bytes_each_{ROUTERS}"] / CUT_ON * (300.0 - CUT_FIRST)
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

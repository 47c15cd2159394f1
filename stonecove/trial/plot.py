"""Draws a trial: the member states that each router reported over time, with the faults marked."""

from __future__ import annotations

import json
import re
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.patches import Patch  # noqa: E402

from stonecove.overload.amplification import ATTEMPT, SERVED, WORK_KINDS, AmplificationStatistics  # noqa: E402

COLOURS = {
    "alive": "#d8ead3", "paused": "#c9daf8", "suspect": "#ffe599", "unreachable": "#f9cb9c",
    "leaving": "#d9d2e9", "left": "#b4a7d6", "failed": "#e06666", "gone": "#666666",
}  # fmt: skip
FAULT_TIME = re.compile(r"^([0-9.]+) s:")


def draw_member_states(folder: Path) -> Path:
    """Draw `trial.png` in the folder; raise OSError, ValueError or KeyError if the samples cannot be used."""
    record = json.loads((folder / "samples.json").read_text())
    ids, samples = record["ids"], record["samples"]
    count = len(ids)
    figure, axes = plt.subplots(figsize=(14, 1.5 + 0.18 * count * count))
    last_states: dict[tuple[int, int], tuple[float, str]] = {}
    for sample in samples:
        for member in sample["members"]:
            if member["member"] not in ids:
                continue
            pair = sample["by"], ids.index(member["member"])
            row = pair[0] * (count + 1) + pair[1]
            if pair in last_states and sample["at"] - last_states[pair][0] < 1.0:
                since_s, state = last_states[pair]
                axes.barh(
                    row,
                    sample["at"] - since_s,
                    left=since_s,
                    height=1.0,
                    color=COLOURS.get(state, "white"),
                    linewidth=0,
                )
            last_states[pair] = sample["at"], member["state"]
    _draw_faults(axes, record["faults"], -1.5)
    axes.set_yticks(
        [router_index * (count + 1) + (count - 1) / 2 for router_index in range(count)],
        [f"view of router {router_index}" for router_index in range(count)],
    )
    axes.invert_yaxis()
    axes.set_xlabel("seconds since the load began")
    axes.legend(
        handles=[Patch(color=colour, label=state) for state, colour in COLOURS.items()],
        loc="upper left",
        bbox_to_anchor=(1.0, 1.0),
        fontsize=7,
    )
    path = folder / "trial.png"
    figure.savefig(path, dpi=110, bbox_inches="tight")
    plt.close(figure)
    return path


def _draw_faults(axes: Axes, faults: list[str], text_y: float) -> None:
    for fault in faults:
        if (match := FAULT_TIME.match(fault)) is not None:
            axes.axvline(float(match[1]), color="black", linewidth=0.8)
            text = fault.partition(": ")[2]
            axes.text(float(match[1]), text_y, text, rotation=30, fontsize=7, va="bottom")


def draw_load(folder: Path, title: str, faults: list[str], statistics: AmplificationStatistics) -> Path:
    """Draw `overload.png` in the folder: intended and served requests, and the work for each, by second."""
    figure, (demand, ratios) = plt.subplots(2, 1, figsize=(12, 7), sharex=True)
    seconds = sorted(statistics.seconds)
    demand.plot(
        seconds, [statistics.seconds[second].intended for second in seconds], label="meant", color="black"
    )
    demand.plot(
        seconds,
        [statistics.seconds[second].ended[SERVED] for second in seconds],
        label="served",
        color="#38761d",
    )
    demand.set_ylabel("requests per second")
    for kind in WORK_KINDS:
        ratios.plot(
            seconds,
            [statistics.seconds[second].ratio(kind) for second in seconds],
            label=kind,
            linewidth=2.0 if kind == ATTEMPT else 1.0,
        )
    ratios.set_ylabel("work per intended request")
    ratios.set_xlabel("seconds since the load began")
    _draw_faults(demand, faults, demand.get_ylim()[1])
    for axes in (demand, ratios):
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=8)
    figure.suptitle(title, y=0.02, fontsize=9)
    path = folder / "overload.png"
    figure.savefig(path, dpi=110, bbox_inches="tight")
    plt.close(figure)
    return path

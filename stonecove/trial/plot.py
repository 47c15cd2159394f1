"""A picture of a trial: what each router held of each other, over time, with the faults drawn in."""

from __future__ import annotations

import json
import re
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
from matplotlib.patches import Patch  # noqa: E402

COLOURS = {
    "alive": "#d8ead3", "paused": "#c9daf8", "suspect": "#ffe599", "unreachable": "#f9cb9c",
    "leaving": "#d9d2e9", "left": "#b4a7d6", "failed": "#e06666", "gone": "#666666",
}  # fmt: skip
MOMENT = re.compile(r"^([0-9.]+) s:")


def draw(folder: Path) -> Path:
    """Draws `trial.png` there; raises OSError, ValueError or KeyError where the samples can't be used."""
    found = json.loads((folder / "samples.json").read_text())
    ids, samples = found["ids"], found["samples"]
    count = len(ids)
    figure, axes = plt.subplots(figsize=(14, 1.5 + 0.18 * count * count))
    last: dict[tuple[int, int], tuple[float, str]] = {}
    for sample in samples:
        for member in sample["members"]:
            if member["member"] not in ids:
                continue
            pair = sample["by"], ids.index(member["member"])
            row = pair[0] * (count + 1) + pair[1]
            if pair in last and sample["at"] - last[pair][0] < 1.0:
                since, state = last[pair]
                axes.barh(row, sample["at"] - since, left=since, height=1.0,
                          color=COLOURS.get(state, "white"), linewidth=0)
            last[pair] = sample["at"], member["state"]
    for fault in found["faults"]:
        if (moment := MOMENT.match(fault)) is not None:
            axes.axvline(float(moment[1]), color="black", linewidth=0.8)
            axes.text(float(moment[1]), -1.5, fault.partition(": ")[2], rotation=30, fontsize=7, va="bottom")
    axes.set_yticks([by * (count + 1) + (count - 1) / 2 for by in range(count)],
                    [f"as {by} sees them" for by in range(count)])
    axes.invert_yaxis()
    axes.set_xlabel("seconds since the load began")
    axes.legend(handles=[Patch(color=colour, label=state) for state, colour in COLOURS.items()],
                loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
    path = folder / "trial.png"
    figure.savefig(path, dpi=110, bbox_inches="tight")
    plt.close(figure)
    return path

"""A counterexample as a sequence chart, drawn by matplotlib."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from stonecove.explore.scope import ANSWERS  # noqa: E402
from stonecove.explore.trace import ReplayedStep, Trace  # noqa: E402

ROW_HEIGHT_INCHES = 0.34
_CLIENT_ACTIONS = ("ask", "abort", "retry", "leave", "stall", "unstall")
_LIST_ACTIONS = (
    "drain",
    "gone",
    "replace",
    "restart",
    "back",
    "join",
    "purge",
    "purgeall",
    "cut",
    "mend",
    "repeat",
    "gap",
)


def _lane(step: ReplayedStep) -> str:
    """Return the lane of a step: client, list, a node, or the router."""
    action, _, rest = step.step.partition(" ")
    if action in _CLIENT_ACTIONS:
        return "client"
    if action in _LIST_ACTIONS:
        return "list"
    first = rest.split()[0] if rest else ""
    return first.partition(".")[0] if "." in first else "router"


def draw(trace: Trace, path: Path) -> None:
    """Write the chart as SVG or PNG, depending on the suffix of the path."""
    steps, violations = trace.play()
    lanes = [
        "client",
        "router",
        *sorted({lane for lane in map(_lane, steps) if lane not in ("client", "router", "list")}),
        "list",
    ]
    height = ROW_HEIGHT_INCHES * (len(steps) + 4)
    figure, axes = pyplot.subplots(figsize=(2.6 + 2.2 * len(lanes), max(2.0, height)))
    for index, lane in enumerate(lanes):
        axes.text(index, 0.9, lane, ha="center", weight="bold")
        axes.plot((index, index), (0.6, -len(steps) - 0.6), color="0.8", zorder=0)
    router = lanes.index("router")
    for row, step in enumerate(steps):
        y, from_lane = -row, lanes.index(_lane(step))
        action = step.step.partition(" ")[0]
        label = step.text.partition(": ")[2] or step.text
        if from_lane == router:
            axes.plot(router, y, "s", color="0.4", markersize=5)
            axes.text(router + 0.06, y + 0.12, label, size=7, color="0.3")
        else:
            axes.annotate(
                "",
                (router, y),
                (from_lane, y),
                arrowprops={"arrowstyle": "->", "color": "tab:green" if action in ANSWERS else "tab:blue"},
            )
            axes.text((from_lane + router) / 2, y + 0.12, label, size=7, ha="center")
        axes.text(-0.75, y, f"{step.at_ms:.0f} ms", size=7, ha="right", va="center", color="0.4")
    why = "; ".join(f"{violation.prop}: {violation.why}" for violation in violations) or "nothing is broken"
    axes.text(router, -len(steps) - 0.9, why, size=8, color="tab:red", ha="center")
    axes.set_xlim(-1.2, len(lanes) - 0.4)
    axes.set_ylim(-len(steps) - 1.4, 1.4)
    axes.axis("off")
    axes.set_title(f"scope {trace.scope.name}" + (f", fault {trace.seed}" if trace.seed else ""), size=9)
    figure.savefig(path, bbox_inches="tight")
    pyplot.close(figure)

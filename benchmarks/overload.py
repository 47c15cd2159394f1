"""What overload does to a fleet of real routers whose guards know nothing of one another.

    python -m benchmarks.overload [--short]

Twenty processes before a depot that bears only so much, with clients that come again: the origin goes at a
quarter of its pace for 10 s, then demand of 1, 1.5, 2 and 3 times what the caches bear for 8 s, between calm
on both sides. Each figure ends in `_alone`. The last line is `key=value ...`.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from stonecove.trial import judge
from stonecove.trial.schedule import PACE, trial_of

ROUTERS, CACHES, PLACES, KB = 20, 4, 2, 200
BEARS = CACHES * PLACES * PACE / KB  # requests a second that the caches bear
SLOW = """title: "the origin at a quarter of its pace for 10 s under full demand", routers: %d, swarm: false
caches: 4, lasts: 32s, rate: 120, writes: 0.1, window: 1s
crowd: {tries: 4, patience: 1500ms, items: 100000}, bears: origin: 160
faults: [{at: 6s, do: "slow", factor: 0.25, for: 10s}]"""
SURGE = """title: "%g times what the caches bear for 8 s", routers: %d, swarm: false
caches: %d, lasts: 22s, rate: %g, writes: 0.1, window: 1s, kb: %d
crowd: {tries: 4, patience: 1500ms, items: 300}, bears: {origin: 400, places: %d}
faults: [{at: 5s, do: "surge", factor: %g, for: 8s}]"""
CALM = 0.5  # of what the caches bear, before and after


def play(text: str) -> dict[str, float]:
    """One trial; its figures, which are printed."""
    trial = trial_of(text, "overload", 1)
    with tempfile.TemporaryDirectory() as folder:
        _, verdict = judge.play(trial, 3, Path(folder))
    for one in verdict.violations:
        print(f"  BROKEN {one.summary()}")
    print(f"{trial.title}: " + " ".join(f"{key}={value:.4g}" for key, value in verdict.figures.items()))
    return verdict.figures


def main() -> None:
    """Plays all and prints the figures."""
    times = (2.0,) if "--short" in sys.argv[1:] else (1.0, 1.5, 2.0, 3.0)
    slow = play(SLOW % ROUTERS)
    surges = {many: play(SURGE % (many, ROUTERS, CACHES, BEARS * CALM, KB, PLACES, many / CALM))
              for many in times}  # fmt: skip
    every = [slow, *surges.values()]
    figures = {
        "amplification_worst": max(one["amplification_worst"] for one in every),
        "origin_stops": slow["origin_stops"], "recovery_s": max(one["recovery_s"] for one in every),
        "valued_class_served": surges[2.0]["valued"], "served_at_twice": surges[2.0]["served_of_meant"],
        "lost": sum(one["lost"] for one in every), "writes_twice": sum(one["writes_twice"] for one in every),
    }  # fmt: skip
    print(" ".join(f"{key}_alone={value:.4g}" for key, value in figures.items()))


if __name__ == "__main__":
    main()

"""Measure overload of a fleet of real routers whose overload protection is not coordinated.

    python -m benchmarks.overload [--short]

Runs twenty router processes against a depot of limited capacity, with clients that retry: first the origin
runs at a quarter of its rate for 10 s, then the offered load is 1, 1.5, 2 and 3 times the capacity of the
caches for 8 s, with normal load before and after. Each figure ends in `_alone`.
The last line is `key=value ...`.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from stonecove.trial import judge
from stonecove.trial.schedule import TRANSFER_KB_PER_S, trial_of

ROUTERS, CACHES, CONCURRENT_TRANSFERS, KB = 20, 4, 2, 200
# Capacity of the caches, in requests per second.
CAPACITY_PER_S = CACHES * CONCURRENT_TRANSFERS * TRANSFER_KB_PER_S / KB
SLOW_ORIGIN = """\
title: "the origin at a quarter of its pace for 10 s under full demand", routers: %d, swarm: false
caches: 4, lasts: 32s, rate: 120, writes: 0.1, window: 1s
crowd: {tries: 4, patience: 1500ms, items: 100000}, bears: origin: 160
faults: [{at: 6s, do: "slow", factor: 0.25, for: 10s}]"""
SURGE_TRIAL = """title: "%g times what the caches bear for 8 s", routers: %d, swarm: false
caches: %d, lasts: 22s, rate: %g, writes: 0.1, window: 1s, kb: %d
crowd: {tries: 4, patience: 1500ms, items: 300}, bears: {origin: 400, places: %d}
faults: [{at: 5s, do: "surge", factor: %g, for: 8s}]"""
NORMAL_LOAD_FRACTION = 0.5  # of the capacity, before and after the surge


def play(text: str) -> dict[str, float]:
    """Run one trial, print its figures and return them."""
    trial = trial_of(text, "overload", 1)
    with tempfile.TemporaryDirectory() as folder:
        _, verdict = judge.run_trial(trial, 3, Path(folder))
    for violation in verdict.violations:
        print(f"  BROKEN {violation.summary()}")
    print(f"{trial.title}: " + " ".join(f"{key}={value:.4g}" for key, value in verdict.figures.items()))
    return verdict.figures


def main() -> None:
    """Run all trials and print the figures."""
    load_multiples = (2.0,) if "--short" in sys.argv[1:] else (1.0, 1.5, 2.0, 3.0)
    slow_origin = play(SLOW_ORIGIN % ROUTERS)
    surges = {load_multiple: play(SURGE_TRIAL % (
                  load_multiple, ROUTERS, CACHES, CAPACITY_PER_S * NORMAL_LOAD_FRACTION, KB,
                  CONCURRENT_TRANSFERS, load_multiple / NORMAL_LOAD_FRACTION))
              for load_multiple in load_multiples}  # fmt: skip
    all_figures = [slow_origin, *surges.values()]
    figures = {
        "amplification_worst": max(trial_figures["amplification_worst"] for trial_figures in all_figures),
        "origin_stops": slow_origin["origin_stops"],
        "recovery_s": max(trial_figures["recovery_s"] for trial_figures in all_figures),
        "valued_class_served": surges[2.0]["valued"], "served_at_twice": surges[2.0]["served_of_meant"],
        "lost": sum(trial_figures["lost"] for trial_figures in all_figures),
        "writes_twice": sum(trial_figures["writes_twice"] for trial_figures in all_figures),
    }  # fmt: skip
    print(" ".join(f"{key}_alone={value:.4g}" for key, value in figures.items()))


if __name__ == "__main__":
    main()

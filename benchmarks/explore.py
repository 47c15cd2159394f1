"""Compare each technique of the explorer with the simple alternative in the same run.

python -m benchmarks.explore [--short]
"""

from __future__ import annotations

import os
import sys
import time
from statistics import median

import numpy as np

from stonecove.explore import runner, search, seeds
from stonecove.explore.copying import DeepCopy, Pickle, Replay, Restorer, run
from stonecove.explore.scope import SMALL, named
from stonecove.explore.search import Options, Result, WorkerPool
from stonecove.explore.trace import simulation_start
from stonecove.explore.visited import FingerprintSet, PlainSet, Visited

DEPTHS = {"links": (6, 8), "clients": (6, 7), "drain": (5, 7), "confirm": (7, 9)}


def _play(name: str, depth: int, processes: int = 1, **options: object) -> Result:
    with WorkerPool(processes) as pool:
        runner.explore(
            named(SMALL, name).with_bounds(depth=2), pool, Options()
        )  # starts the worker processes before the timed run
        return runner.explore(named(SMALL, name).with_bounds(depth=depth), pool, Options(**options))  # type: ignore[arg-type]


def _rates(result: Result) -> str:
    return (
        f"{result.states:7} states {result.transitions:7} transitions {result.seconds:6.2f} s "
        f"{result.states / result.seconds:6.0f} states/s "
        f"{result.transitions / result.seconds:6.0f} transitions/s"
    )


def measure_copies() -> dict[str, float]:
    """Return the microseconds to restore a state, by strategy and depth."""
    found = {}
    start = simulation_start(named(SMALL, "links"))
    for steps in (("ask 0",), ("ask 0", "decide", "up c1.0", "wait", "fire", "up c1.1")):
        strategies: dict[str, Restorer] = {
            "replay": Replay(start),
            "deepcopy": DeepCopy(),
            "pickle": Pickle(),
        }
        for name, strategy in strategies.items():
            strategy.save(run(start, steps), steps)
            durations_s = []
            for _ in range(60):
                started_at_s = time.perf_counter()
                strategy.restore()
                durations_s.append(time.perf_counter() - started_at_s)
            found[f"{name}_{len(steps)}_us"] = median(durations_s) * 1e6
            print(
                f"  restored by {name:8} after {len(steps)} steps: {found[f'{name}_{len(steps)}_us']:7.0f} us"
            )
    return found


def measure_sets(count: int) -> dict[str, float]:
    """Measure bytes and microseconds per state of both visited sets, filled level by level."""
    found = {}
    generator = np.random.default_rng(7)
    fingerprints = generator.integers(0, 1 << 63, count, dtype=np.uint64)
    for name, empty_set in (("runs", FingerprintSet()), ("set", PlainSet())):
        visited_set: Visited = empty_set
        started_at_s = time.perf_counter()
        for offset in range(0, count, 20_000):
            visited_set.add(fingerprints[offset : offset + 20_000])
            visited_set.add(fingerprints[max(0, offset - 10_000) : offset])
        seconds = time.perf_counter() - started_at_s
        found[f"{name}_bytes"] = visited_set.nbytes() / len(visited_set)
        found[f"{name}_us"] = seconds / count * 1e6
        print(
            f"  {name:5} {visited_set.nbytes() / len(visited_set):6.1f} bytes per state, "
            f"{seconds / count * 1e6:5.2f} us per state"
        )
    return found


def main() -> None:
    """Run all measurements and print one line of figures at the end."""
    short = "--short" in sys.argv[1:]
    depth_index = 0 if short else 1
    print("Strategies to restore a state:")
    figures = measure_copies()
    print("Visited sets:")
    figures |= measure_sets(100_000 if short else 1_000_000)
    print("Sleep sets off and on, then a plain set, then copying by replay, all on one core:")
    saved_fractions = []
    for name in ("clients", "links") if short else DEPTHS:
        depth = DEPTHS[name][depth_index]
        without_reduction, with_reduction = _play(name, depth, reduce=False), _play(name, depth, reduce=True)
        saved_fractions.append(1 - with_reduction.transitions / without_reduction.transitions)
        print(
            f"  {name:8} off    {_rates(without_reduction)}\n  {name:8} on     {_rates(with_reduction)}  "
            f"{saved_fractions[-1] * 100:.1f} % fewer transitions, the same states: "
            f"{without_reduction.states == with_reduction.states}"
        )
        if name == "links":
            print(f"  {name:8} set    {_rates(_play(name, depth, plain_set=True))}")
            replayed = _play(name, depth, copying="replay")
            print(f"  {name:8} replay {_rates(replayed)}")
            figures["pickle_over_replay"] = replayed.seconds / with_reduction.seconds
            figures["states_per_s"] = with_reduction.states / with_reduction.seconds
            depth_first_result = search.depth_first(simulation_start(named(SMALL, name)), depth)
            print(f"  {name:8} depth  {_rates(depth_first_result)}")
    figures["sleep_saved_percent"] = 100 * sum(saved_fractions) / len(saved_fractions)
    print("Cores:")
    single_process_s = 0.0
    for processes in (1, 8) if short else (1, 2, 4, 8):
        if processes > (os.cpu_count() or 1):
            break
        result = _play("drain", DEPTHS["drain"][depth_index], processes)
        single_process_s = single_process_s or result.seconds
        figures[f"speedup_{processes}"] = single_process_s / result.seconds
        print(
            f"  {processes} processes {_rates(result)}  {single_process_s / result.seconds:.2f} times as fast"
        )
    if not short:
        print("Time to find each planted fault, on one core each:")
        for detection in runner.find_seeded_faults(
            [planted_fault.name for planted_fault in seeds.SEEDS], min(8, os.cpu_count() or 1)
        ):
            print(
                f"  {detection.name:32} {detection.seconds:6.2f} s {detection.states:6} states "
                f"{len(detection.found.steps) if detection.found else 0:3} steps"
            )
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

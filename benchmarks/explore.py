"""What the explorer's techniques cost and save, each against the plain way in the same run.

python -m benchmarks.explore [--short]
"""

from __future__ import annotations

import os
import sys
import time
from statistics import median

import numpy as np

from stonecove.explore import runner, search, seeds
from stonecove.explore.copying import DeepCopy, Pickle, Replay, Way, run
from stonecove.explore.scope import SMALL, named
from stonecove.explore.search import Options, Result, WorkerPool
from stonecove.explore.trace import simulation_start
from stonecove.explore.visited import FingerprintSet, PlainSet, Visited

DEPTHS = {"links": (6, 8), "clients": (6, 7), "drain": (5, 7), "confirm": (7, 9)}


def _play(name: str, depth: int, processes: int = 1, **options: object) -> Result:
    with WorkerPool(processes) as pool:
        runner.explore(named(SMALL, name).with_bounds(depth=2), pool, Options())  # processes are up by now
        return runner.explore(named(SMALL, name).with_bounds(depth=depth), pool, Options(**options))  # type: ignore[arg-type]


def _rates(result: Result) -> str:
    return (
        f"{result.states:7} states {result.transitions:7} transitions {result.seconds:6.2f} s "
        f"{result.states / result.seconds:6.0f} states/s "
        f"{result.transitions / result.seconds:6.0f} transitions/s"
    )


def copies() -> dict[str, float]:
    """Microseconds to come back to a state, by way and depth."""
    found = {}
    start = simulation_start(named(SMALL, "links"))
    for steps in (("ask 0",), ("ask 0", "decide", "up c1.0", "wait", "fire", "up c1.1")):
        ways: dict[str, Way] = {"replay": Replay(start), "deepcopy": DeepCopy(), "pickle": Pickle()}
        for name, way in ways.items():
            way.keep(run(start, steps), steps)
            times = []
            for _ in range(60):
                began = time.perf_counter()
                way.back()
                times.append(time.perf_counter() - began)
            found[f"{name}_{len(steps)}_us"] = median(times) * 1e6
            print(f"  back by {name:8} after {len(steps)} steps: {found[f'{name}_{len(steps)}_us']:7.0f} us")
    return found


def sets(count: int) -> dict[str, float]:
    """Bytes and seconds of the two sets for so many states, taken in by levels."""
    found = {}
    chooser = np.random.default_rng(7)
    prints = chooser.integers(0, 1 << 63, count, dtype=np.uint64)
    for name, made in (("runs", FingerprintSet()), ("set", PlainSet())):
        kept: Visited = made
        began = time.perf_counter()
        for at in range(0, count, 20_000):
            kept.add(prints[at : at + 20_000])
            kept.add(prints[max(0, at - 10_000) : at])
        seconds = time.perf_counter() - began
        found[f"{name}_bytes"] = kept.nbytes() / len(kept)
        found[f"{name}_us"] = seconds / count * 1e6
        print(
            f"  {name:5} {kept.nbytes() / len(kept):6.1f} bytes a state, "
            f"{seconds / count * 1e6:5.2f} us a state"
        )
    return found


def main() -> None:
    """Measures all, and prints one line of figures at the end."""
    short = "--short" in sys.argv[1:]
    place = 0 if short else 1
    print("Ways back to a state:")
    figures = copies()
    print("Sets of states:")
    figures |= sets(100_000 if short else 1_000_000)
    print("Sleep sets off and on, then a plain set, then copying by replay, all on one core:")
    saved = []
    for name in ("clients", "links") if short else DEPTHS:
        depth = DEPTHS[name][place]
        off, on = _play(name, depth, reduce=False), _play(name, depth, reduce=True)
        saved.append(1 - on.transitions / off.transitions)
        print(
            f"  {name:8} off    {_rates(off)}\n  {name:8} on     {_rates(on)}  "
            f"{saved[-1] * 100:.1f} % fewer transitions, the same states: {off.states == on.states}"
        )
        if name == "links":
            print(f"  {name:8} set    {_rates(_play(name, depth, plain_set=True))}")
            replayed = _play(name, depth, copying="replay")
            print(f"  {name:8} replay {_rates(replayed)}")
            figures["pickle_over_replay"] = replayed.seconds / on.seconds
            figures["states_per_s"] = on.states / on.seconds
            deep = search.depth_first(simulation_start(named(SMALL, name)), depth)
            print(f"  {name:8} depth  {_rates(deep)}")
    figures["sleep_saved_percent"] = 100 * sum(saved) / len(saved)
    print("Cores:")
    one = 0.0
    for processes in (1, 8) if short else (1, 2, 4, 8):
        if processes > (os.cpu_count() or 1):
            break
        result = _play("drain", DEPTHS["drain"][place], processes)
        one = one or result.seconds
        figures[f"speedup_{processes}"] = one / result.seconds
        print(f"  {processes} processes {_rates(result)}  {one / result.seconds:.2f} times as fast")
    if not short:
        print("Time to each seeded fault, on one core each:")
        for caught in runner.find_seeded_faults(
            [seed.name for seed in seeds.SEEDS], min(8, os.cpu_count() or 1)
        ):
            print(
                f"  {caught.name:32} {caught.seconds:6.2f} s {caught.states:6} states "
                f"{len(caught.found.steps) if caught.found else 0:3} steps"
            )
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

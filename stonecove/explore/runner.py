"""Whole explorations: lists of scopes, the small state machines, planted faults and random walks."""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from stonecove.explore import codecs, coordination, fleet, seeds, swarm
from stonecove.explore.channels import ChannelMachine
from stonecove.explore.machine import Machine
from stonecove.explore.scope import SMALL, WALK, Scope, named
from stonecove.explore.search import Found, Options, Result, Start, WorkerPool, breadth_first
from stonecove.explore.trace import Trace, shrink, simulation_start
from stonecove.explore.walk import Walks, walk

CHANNEL_DEPTH = 14
SCOPE_TIMEOUT_S = 400.0  # a scope that takes longer is stopped and reported as incomplete


def channel_start(seed: str = "") -> Start:
    """Plant a fault and return a function that starts the state machine of a connection."""
    seeds.plant(seed)

    def start() -> Machine:
        return ChannelMachine()

    return start


def explore(
    scope: Scope,
    pool: WorkerPool,
    options: Options | None = None,
    seed: str = "",  # noqa: B008
    progress: Callable[[Result, int], None] | None = None,
) -> Result:
    """Explore a whole scope."""
    return breadth_first(
        pool, simulation_start, (scope, seed), scope.depth, options or Options(), f"{scope}/{seed}", progress
    )


def explore_all(
    scopes: tuple[Scope, ...],
    pool: WorkerPool,
    save: Path | None = None,
    report: Callable[[str, Result], None] | None = None,
    save_interval_s: float = 20.0,
    extra_depth: int | None = None,
) -> Result:
    """Explore scopes, then the smaller machines: coordination, fleet, swarm, channel, codecs.

    `extra_depth`: additional steps in the scopes of the smaller machines; None skips these.

    With `save`, each scope saves its frontier to a file named after `save` and the scope. Completed scopes
    are saved with their result, so that a later run continues with the rest.
    """
    total = Result()
    for scope in scopes:
        path = save.with_name(f"{save.name}.{scope.name}") if save else None
        result = explore(
            scope, pool, Options(max_duration_s=SCOPE_TIMEOUT_S, save=path, save_interval_s=save_interval_s)
        )
        total.add(result)
        if report:
            report(scope.name, result)
    for bounds in ALL_MACHINES.values() if extra_depth is not None else ():
        result = explore_machine(bounds._replace(depth=bounds.depth + (extra_depth or 0)), pool)
        total.add(result)
        if report:
            report(bounds.name, result)
    for name, result in (("channel", explore_channel(pool)), ("codecs", explore_codecs())):
        total.add(result)
        if report:
            report(name, result)
    return total


Bounds = coordination.Bounds | fleet.LeaseBounds | fleet.LifecycleBounds | swarm.SwarmBounds
SMALL_MACHINES: dict[str, Bounds] = {
    bounds.name: bounds for bounds in (*coordination.SCOPES, *fleet.SCOPES, *swarm.SCOPES)
}
ALL_MACHINES = SMALL_MACHINES | {bounds.name: bounds for bounds in swarm.LATER_SCOPES}


def machine_start(bounds: Bounds, seed: str = "") -> Start:
    """Plant a fault and return a function that starts the coordination, fleet or swarm machine."""
    seeds.plant(seed)
    if isinstance(bounds, swarm.SwarmBounds):
        return swarm.starter(bounds)
    return coordination.starter(bounds) if isinstance(bounds, coordination.Bounds) else fleet.starter(bounds)


def explore_machine(bounds: Bounds, pool: WorkerPool, seed: str = "", stop_at_first: bool = False) -> Result:
    """Explore one scope of the coordination, fleet or swarm machine."""
    options = Options(stop_at_first=stop_at_first, max_duration_s=SCOPE_TIMEOUT_S)
    return breadth_first(pool, machine_start, (bounds, seed), bounds.depth, options)


def explore_channel(pool: WorkerPool, seed: str = "", stop_at_first: bool = False) -> Result:
    """Explore the state machine of a connection."""
    return breadth_first(pool, channel_start, (seed,), CHANNEL_DEPTH, Options(stop_at_first=stop_at_first))


def explore_codecs(seed: str = "", short: bool = True) -> Result:
    """Decode all splits of both codecs' streams; a stream counts as a state, a split as a transition."""
    started_at = time.monotonic()
    seeds.plant(seed)
    try:
        done = codecs.check(short)
    finally:
        seeds.plant("")
    return Result(
        states=done.streams, transitions=done.cuts, seconds=time.monotonic() - started_at, found=done.found
    )


@dataclass(frozen=True)
class SeededResult:
    """The result of the search for one planted fault."""

    name: str
    breaks: str  # the property that it must violate
    where: str = ""  # the scope that found it; empty if none did
    found: Found | None = None
    states: int = 0  # explored until then, over all scopes that were tried
    seconds: float = 0.0
    crash: str = ""

    def trace(self) -> Trace | None:
        """Return the counterexample; None unless the simulation of the router found it."""
        if self.found is None or self.where in ("codecs", "channel", *ALL_MACHINES):
            return None
        return Trace(
            named(SMALL, self.where),
            self.found.steps,
            self.found.violation.prop,
            self.found.violation.why,
            self.name,
        )


def find_seeded_fault(name: str) -> SeededResult:
    """Search for one planted fault in this process, then remove it."""
    seed = seeds.by_name(name)
    started_at, states = time.monotonic(), 0
    try:
        with WorkerPool(1) as pool:
            for where in seed.scopes:
                if where == "codecs":
                    result = explore_codecs(name)
                elif where in ALL_MACHINES:
                    result = explore_machine(ALL_MACHINES[where], pool, name, stop_at_first=True)
                elif where == "channel":
                    result = explore_channel(pool, name, stop_at_first=True)
                else:
                    result = explore(named(SMALL, where), pool, Options(stop_at_first=True), name)
                states += result.states
                if result.found:
                    expected = [found for found in result.found if found.violation.prop == seed.breaks]
                    return SeededResult(
                        name,
                        seed.breaks,
                        where,
                        (expected or result.found)[0],
                        states,
                        time.monotonic() - started_at,
                    )
        return SeededResult(name, seed.breaks, states=states, seconds=time.monotonic() - started_at)
    except Exception as error:
        return SeededResult(
            name, seed.breaks, states=states, seconds=time.monotonic() - started_at, crash=repr(error)
        )
    finally:
        seeds.plant("")


def run_walks(first: int, count: int, steps: int, scope: Scope = WALK, seed: str = "") -> Walks:
    """Run random walks with seeds starting at `first`; stop at the first violation and shrink its trace."""
    done = Walks()
    start = simulation_start(scope, seed)
    try:
        for walk_seed in range(first, first + count):
            walk(start, scope, walk_seed, steps, done)
            if done.found:
                found = done.found[0]
                done.found[0] = Found(shrink(start, found.steps, found.violation.prop), found.violation)
                break
    finally:
        seeds.plant("")
    return done


def find_seeded_faults(names: list[str], processes: int) -> list[SeededResult]:
    """Search for several faults in a process pool; results are in the order of the names."""
    if processes == 1:
        return list(map(find_seeded_fault, names))
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        return pool.map(find_seeded_fault, names, chunksize=1)


def run_walks_in_pool(first: int, count: int, steps: int, processes: int) -> Walks:
    """Run random walks on several processes; the walks do not depend on the number of processes."""
    spans = [(walk_seed, 1, steps) for walk_seed in range(first, first + count)]
    total = Walks()
    if processes == 1:
        parts = list(map(_run_walk_span, spans))
    else:
        with multiprocessing.get_context("spawn").Pool(processes) as pool:
            parts = pool.map(_run_walk_span, spans, chunksize=1)
    for part in parts:
        total.walks += part.walks
        total.steps += part.steps
        total.found += part.found
        for action, taken in part.steps_by_action.items():
            total.steps_by_action[action] = total.steps_by_action.get(action, 0) + taken
    return total


def _run_walk_span(span: tuple[int, int, int]) -> Walks:
    """Call `run_walks` in a pool; `span`: first seed, count, steps."""
    return run_walks(*span)

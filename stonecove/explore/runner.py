"""Runs whole explorations: lists of scopes, the small state machines, seeded faults, random walks."""

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
PER_SCOPE = 400.0  # seconds after which a scope is given up and reported as incomplete


def channel_start(seed: str = "") -> Start:
    """Plants a seed, and returns what starts the state machine of a connection."""
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
    """Explores a whole scope."""
    return breadth_first(
        pool, simulation_start, (scope, seed), scope.depth, options or Options(), f"{scope}/{seed}", progress
    )


def explore_all(
    scopes: tuple[Scope, ...],
    pool: WorkerPool,
    save: Path | None = None,
    tell: Callable[[str, Result], None] | None = None,
    save_every: float = 20.0,
    deeper: int | None = None,
) -> Result:
    """Explores scopes, then the smaller machines: coordination, fleet, swarm, channel, codecs.

    `deeper`: additional steps in the scopes of the smaller machines; None leaves these out.

    With `save`, each scope keeps its frontier in a file of that name and the scope's; what is done is marked
    there by its result, so that a later run goes on with the rest.
    """
    total = Result()
    for scope in scopes:
        path = save.with_name(f"{save.name}.{scope.name}") if save else None
        result = explore(scope, pool, Options(most_seconds=PER_SCOPE, save=path, save_every=save_every))
        total.add(result)
        if tell:
            tell(scope.name, result)
    for bounds in ALL_MACHINES.values() if deeper is not None else ():
        result = explore_machine(bounds._replace(depth=bounds.depth + (deeper or 0)), pool)
        total.add(result)
        if tell:
            tell(bounds.name, result)
    for name, result in (("channel", explore_channel(pool)), ("codecs", explore_codecs())):
        total.add(result)
        if tell:
            tell(name, result)
    return total


Bounds = coordination.Bounds | fleet.LeaseBounds | fleet.LifeBounds | swarm.SwarmBounds
SMALL_MACHINES: dict[str, Bounds] = {
    bounds.name: bounds for bounds in (*coordination.SCOPES, *fleet.SCOPES, *swarm.SCOPES)
}
ALL_MACHINES = SMALL_MACHINES | {bounds.name: bounds for bounds in swarm.LATER_SCOPES}


def machine_start(bounds: Bounds, seed: str = "") -> Start:
    """Plants a seed, and returns what starts the coordination, fleet or swarm machine."""
    seeds.plant(seed)
    if isinstance(bounds, swarm.SwarmBounds):
        return swarm.starter(bounds)
    return coordination.starter(bounds) if isinstance(bounds, coordination.Bounds) else fleet.starter(bounds)


def explore_machine(bounds: Bounds, pool: WorkerPool, seed: str = "", stop_at_first: bool = False) -> Result:
    """Explores one scope of the coordination, fleet or swarm machine."""
    options = Options(stop_at_first=stop_at_first, most_seconds=PER_SCOPE)
    return breadth_first(pool, machine_start, (bounds, seed), bounds.depth, options)


def explore_channel(pool: WorkerPool, seed: str = "", stop_at_first: bool = False) -> Result:
    """Explores the state machine of a connection."""
    return breadth_first(pool, channel_start, (seed,), CHANNEL_DEPTH, Options(stop_at_first=stop_at_first))


def explore_codecs(seed: str = "", short: bool = True) -> Result:
    """Decodes all splits of both codecs' streams; a stream counts as a state, a split as a transition."""
    began = time.monotonic()
    seeds.plant(seed)
    try:
        done = codecs.check(short)
    finally:
        seeds.plant("")
    return Result(
        states=done.streams, transitions=done.cuts, seconds=time.monotonic() - began, found=done.found
    )


@dataclass(frozen=True)
class SeededResult:
    """Whether, where and how a seeded fault was found."""

    name: str
    breaks: str  # the property that it was to break
    where: str = ""  # the scope that found it; empty if none did
    found: Found | None = None
    states: int = 0  # until then, over all scopes that were tried
    seconds: float = 0.0
    crash: str = ""

    def trace(self) -> Trace | None:
        """The counterexample, if the simulation of the router found it."""
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
    """Looks for one seeded fault in this process, and removes it again."""
    seed = seeds.by_name(name)
    began, states = time.monotonic(), 0
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
                    right = [found for found in result.found if found.violation.prop == seed.breaks]
                    return SeededResult(
                        name,
                        seed.breaks,
                        where,
                        (right or result.found)[0],
                        states,
                        time.monotonic() - began,
                    )
        return SeededResult(name, seed.breaks, states=states, seconds=time.monotonic() - began)
    except Exception as error:
        return SeededResult(
            name, seed.breaks, states=states, seconds=time.monotonic() - began, crash=repr(error)
        )
    finally:
        seeds.plant("")


def run_walks(first: int, count: int, steps: int, scope: Scope = WALK, seed: str = "") -> Walks:
    """Random walks with the seeds from `first` on; stops at the first violation, whose trace is shrunk."""
    done = Walks()
    start = simulation_start(scope, seed)
    try:
        for chance in range(first, first + count):
            walk(start, scope, chance, steps, done)
            if done.found:
                found = done.found[0]
                done.found[0] = Found(shrink(start, found.steps, found.violation.prop), found.violation)
                break
    finally:
        seeds.plant("")
    return done


def find_seeded_faults(names: list[str], processes: int) -> list[SeededResult]:
    """Looks for several faults, each in one process of a pool; results come in the order of the names."""
    if processes == 1:
        return list(map(find_seeded_fault, names))
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        return pool.map(find_seeded_fault, names, chunksize=1)


def run_walks_in_pool(first: int, count: int, steps: int, processes: int) -> Walks:
    """Random walks on several processes; the walks do not depend on the number of processes."""
    spans = [(chance, 1, steps) for chance in range(first, first + count)]
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
        for word, times in part.words.items():
            total.words[word] = total.words.get(word, 0) + times
    return total


def _run_walk_span(span: tuple[int, int, int]) -> Walks:
    """`run_walks` for a pool; `span`: first seed, count, steps."""
    return run_walks(*span)

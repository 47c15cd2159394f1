"""Runs whole explorations: a list of scopes, the small machines, the seeded faults, walks."""

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
from stonecove.explore.search import Crew, Found, Options, Result, Start, breadth_first
from stonecove.explore.trace import Trace, shrink, simulation_start
from stonecove.explore.walk import Walks, walk

CHANNEL_DEPTH = 14
PER_SCOPE = 400.0  # seconds after which a scope is given up, and told as incomplete


def channel_start(seed: str = "") -> Start:
    """What starts the machine of a connection's life, a seed planted."""
    seeds.plant(seed)

    def start() -> Machine:
        return ChannelMachine()

    return start


def explore(
    scope: Scope,
    crew: Crew,
    options: Options | None = None,
    seed: str = "",  # noqa: B008
    progress: Callable[[Result, int], None] | None = None,
) -> Result:
    """Plays all of a scope."""
    return breadth_first(
        crew, simulation_start, (scope, seed), scope.depth, options or Options(), f"{scope}/{seed}", progress
    )


def explore_all(
    scopes: tuple[Scope, ...],
    crew: Crew,
    save: Path | None = None,
    tell: Callable[[str, Result], None] | None = None,
    save_every: float = 20.0,
    deeper: int | None = None,
) -> Result:
    """Plays scopes one after the other, and the smaller machines: sessions and lists, a connection, codecs.

    `deeper`: so many steps more in the scopes of the smaller machines; None leaves these out.

    With `save`, each scope keeps its frontier in a file of that name and the scope's; what is done is marked
    there by its result, so that a later run goes on with the rest.
    """
    total = Result()
    for scope in scopes:
        path = save.with_name(f"{save.name}.{scope.name}") if save else None
        result = explore(scope, crew, Options(most_seconds=PER_SCOPE, save=path, save_every=save_every))
        total.add(result)
        if tell:
            tell(scope.name, result)
    for bounds in SMALL_MACHINES.values() if deeper is not None else ():
        result = explore_machine(bounds._replace(depth=bounds.depth + (deeper or 0)), crew)
        total.add(result)
        if tell:
            tell(bounds.name, result)
    for name, result in (("channel", explore_channel(crew)), ("codecs", explore_codecs())):
        total.add(result)
        if tell:
            tell(name, result)
    return total


Bounds = coordination.Bounds | fleet.LeaseBounds | fleet.LifeBounds | swarm.SwarmBounds
SMALL_MACHINES: dict[str, Bounds] = {
    bounds.name: bounds for bounds in (*coordination.SCOPES, *fleet.SCOPES, *swarm.SCOPES)
}


def machine_start(bounds: Bounds, seed: str = "") -> Start:
    """What starts the machine of sessions and lists, one of the fleet's or the swarm's, a seed planted."""
    seeds.plant(seed)
    if isinstance(bounds, swarm.SwarmBounds):
        return swarm.starter(bounds)
    return coordination.starter(bounds) if isinstance(bounds, coordination.Bounds) else fleet.starter(bounds)


def explore_machine(bounds: Bounds, crew: Crew, seed: str = "", stop_at_first: bool = False) -> Result:
    """Plays one scope of sessions, lists and the merge, or of the fleet's or the swarm's decisions."""
    options = Options(stop_at_first=stop_at_first, most_seconds=PER_SCOPE)
    return breadth_first(crew, machine_start, (bounds, seed), bounds.depth, options)


def explore_channel(crew: Crew, seed: str = "", stop_at_first: bool = False) -> Result:
    """Plays the life of a connection."""
    return breadth_first(crew, channel_start, (seed,), CHANNEL_DEPTH, Options(stop_at_first=stop_at_first))


def explore_codecs(seed: str = "", short: bool = True) -> Result:
    """Plays all cuts of the streams of both codecs; a stream counts as a state, a cut as a transition."""
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
class Caught:
    """What became of a seeded fault."""

    name: str
    breaks: str  # the property that it was to break
    where: str = ""  # the scope that found it; empty if none did
    found: Found | None = None
    states: int = 0  # until then, over all scopes that were tried
    seconds: float = 0.0
    crash: str = ""

    def trace(self) -> Trace | None:
        """The counterexample, if the router's simulation found it."""
        if self.found is None or self.where in ("codecs", "channel", *SMALL_MACHINES):
            return None
        return Trace(
            named(SMALL, self.where),
            self.found.steps,
            self.found.violation.prop,
            self.found.violation.why,
            self.name,
        )


def catch(name: str) -> Caught:
    """Looks for one seeded fault, in this process; takes it out again."""
    seed = seeds.by_name(name)
    began, states = time.monotonic(), 0
    try:
        with Crew(1) as crew:
            for where in seed.scopes:
                if where == "codecs":
                    result = explore_codecs(name)
                elif where in SMALL_MACHINES:
                    result = explore_machine(SMALL_MACHINES[where], crew, name, stop_at_first=True)
                elif where == "channel":
                    result = explore_channel(crew, name, stop_at_first=True)
                else:
                    result = explore(named(SMALL, where), crew, Options(stop_at_first=True), name)
                states += result.states
                if result.found:
                    right = [found for found in result.found if found.violation.prop == seed.breaks]
                    return Caught(
                        name,
                        seed.breaks,
                        where,
                        (right or result.found)[0],
                        states,
                        time.monotonic() - began,
                    )
        return Caught(name, seed.breaks, states=states, seconds=time.monotonic() - began)
    except Exception as error:
        return Caught(name, seed.breaks, states=states, seconds=time.monotonic() - began, crash=repr(error))
    finally:
        seeds.plant("")


def wander(first: int, count: int, steps: int, scope: Scope = WALK, seed: str = "") -> Walks:
    """Walks with the chance seeds from `first` on; stops at the first violation, shrunk."""
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


def catch_all(names: list[str], processes: int) -> list[Caught]:
    """Looks for several faults, each in one process of a pool; in the order of the names."""
    if processes == 1:
        return list(map(catch, names))
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        return pool.map(catch, names, chunksize=1)


def wander_all(first: int, count: int, steps: int, processes: int) -> Walks:
    """Walks on several processes; the same walks, whatever their number."""
    spans = [(chance, 1, steps) for chance in range(first, first + count)]
    total = Walks()
    if processes == 1:
        parts = list(map(wander_apart, spans))
    else:
        with multiprocessing.get_context("spawn").Pool(processes) as pool:
            parts = pool.map(wander_apart, spans, chunksize=1)
    for part in parts:
        total.walks += part.walks
        total.steps += part.steps
        total.found += part.found
        for word, times in part.words.items():
            total.words[word] = total.words.get(word, 0) + times
    return total


def wander_apart(span: tuple[int, int, int]) -> Walks:
    """For a pool: (first, count, steps)."""
    return wander(*span)

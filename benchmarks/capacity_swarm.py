"""The swarm by the size of the fleet: the program's own decisions on a simulated clock."""

from __future__ import annotations

import math
import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from benchmarks.capacity_days import CUT_FIRST, CUT_ON, UDP_HEADERS
from benchmarks.capacity_fits import REGIONS, ROUTERS, ZONES, Figures, deep_size, power_fit
from stonecove.gossip.swarm import Swarm
from stonecove.trial.model import SimulatedRouter, SwarmModel

REFUSAL_HEADERS = 56  # IP and ICMP, and the headers of what was refused, which come back with it


class CountedModel(SwarmModel):
    """A simulated fleet that counts datagrams, bytes and the decisions' CPU. Shares are not judged."""

    def __init__(self, count: int, seed: int = 7) -> None:
        """As `SwarmModel`, in one zone."""
        super().__init__(count, seed)
        self.bytes: Counter[tuple[int, int]] = Counter()  # by simulated second and place, both ways
        self.decision_ns = 0
        self._within_ns = 0  # of the tick that runs: what is counted elsewhere, or is the simulator's

    def nothing_to_tell(self) -> bool:
        """Whether no router has a word left that it passes on."""
        return not any(
            len(router.swarm.gossip.broadcasts) for router in self.routers if router.swarm is not None
        )

    def _record_shares(self) -> None:
        return

    def _transmit(self, source: int, to: int, data: bytes) -> None:
        self.bytes[int(self.now), source] += len(data) + UDP_HEADERS
        super()._transmit(source, to, data)

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        if self.routers[to].swarm is not None:
            self.bytes[int(self.now), to] += len(data) + UDP_HEADERS
        elif (to, source) not in self.cuts:
            self.bytes[int(self.now), source] += len(data) + REFUSAL_HEADERS
        super()._arrive(source, to, data)

    def _process(self, router: SimulatedRouter, life: Swarm, slot: int, data: bytes, refused: bool) -> None:
        began = time.thread_time_ns()
        super()._process(router, life, slot, data, refused)
        took = time.thread_time_ns() - began
        self.decision_ns += took
        self._within_ns += took

    def _send_outgoing(self, router: SimulatedRouter, life: Swarm) -> None:
        began = time.thread_time_ns()
        super()._send_outgoing(router, life)
        self._within_ns += time.thread_time_ns() - began

    def _tick(self, router: SimulatedRouter, life: Swarm | None) -> None:
        self._within_ns, began = 0, time.thread_time_ns()
        super()._tick(router, life)
        self.decision_ns += time.thread_time_ns() - began - self._within_ns


class Phase(NamedTuple):
    """What a while of a simulated fleet cost."""

    seconds: float
    datagrams: int
    bytes: int  # sent and received, by all
    peak: float  # bytes a router, in the worst second on average
    peak_one: float  # bytes of the worst router in its worst second
    decision_s: float  # of CPU, by all


def observe(model: CountedModel, act: Callable[[], None], passes: Callable[[], None]) -> Phase:
    """Does something to a fleet, lets time pass, and tells what that cost."""
    model.run(math.ceil(model.now) - model.now)  # whole seconds are compared
    began, datagrams, decisions = model.now, model.sent, model.decision_ns
    model.bytes.clear()
    act()
    passes()
    by_second: Counter[int] = Counter()
    for (second, _), count in model.bytes.items():
        by_second[second] += count
    return Phase(
        model.now - began,
        model.sent - datagrams,
        sum(by_second.values()),
        max(by_second.values(), default=0) / len(model.routers),
        max(model.bytes.values(), default=0),
        (model.decision_ns - decisions) / 1e9,
    )


def start_within(model: CountedModel, places: Iterable[int], seconds: float) -> None:
    """Starts them, evenly over that time."""
    chosen = list(places)
    for place in chosen:
        model.start(place)
        model.run(seconds / len(chosen))


def vanish(model: CountedModel, places: Iterable[int]) -> None:
    """Their machines are gone: nothing there refuses."""
    gone = list(places)
    model.cut(gone, set(range(len(model.routers))) - set(gone))
    for place in gone:
        model.kill(place)


def play_fleet(count: int, short: bool) -> Figures:
    """One fleet through its days; the figures of each phase."""
    model = CountedModel(count)
    everyone = range(count)
    zone, region, tenth = (range(max(1, round(count / part))) for part in (ZONES, REGIONS, 10))
    settle = partial(let_settle, model)

    def kill_and_start() -> None:
        model.kill(count - 1)
        model.run(1.0)
        model.start(count - 1)

    def restart_tenth() -> None:
        for place in tenth:
            model.kill(place)
        model.run(1.0)
        start_within(model, tenth, 1.0)

    def back() -> None:
        model.cuts.clear()
        start_within(model, zone, 2.0)

    phases = {"join": observe(model, partial(start_within, model, everyone, 2.0), partial(let_join, model))}
    phases["spread"] = observe(model, idle, partial(settle, 1.0))
    phases["calm"] = observe(model, idle, partial(model.run, 10.0))
    memory = deep_size(model.routers[0].swarm) / 1e6
    phases["kill"] = observe(model, partial(model.kill, 0), partial(settle, 5.0))
    model.start(0)
    settle(5.0)
    phases["restart"] = observe(model, kill_and_start, partial(settle, 8.0))
    phases["tenth"] = observe(model, restart_tenth, partial(settle, 8.0))
    if not short:
        phases["zone"] = observe(model, partial(vanish, model, zone), partial(settle, 20.0))
        phases["zone_back"] = observe(model, back, partial(settle, 8.0))
        away = set(everyone) - set(region)
        phases["cut"] = observe(model, partial(model.cut, region, away), partial(settle, CUT_FIRST))
        phases["cut_on"] = observe(model, idle, partial(model.run, CUT_ON))
        phases["meet"] = observe(model, model.cuts.clear, partial(settle, 20.0))
    calm = phases["calm"]
    figures = {
        "memory_mb": memory,
        "calm_bytes_a_datagram": calm.bytes / max(1, calm.datagrams) / 2,  # each is sent and received
        "join_bytes_a_datagram": phases["join"].bytes / phases["join"].datagrams / 2,
    }
    for name, phase in phases.items():
        figures |= phase_figures(name, phase, calm, count)
    return figures


def idle() -> None:
    """Nothing is done."""


def let_join(model: CountedModel) -> None:
    """Until all have their full share."""
    model.until(model.joined, 120.0)


def let_settle(model: CountedModel, least: float) -> None:
    """So many seconds at least, and until nobody has anything left to tell."""
    model.run(least)
    model.until(model.nothing_to_tell, 300.0)


def phase_figures(name: str, phase: Phase, calm: Phase, count: int) -> Figures:
    """A phase by router; what it costs beside what calm costs in as many seconds."""
    rest = 0.0 if name in ("join", "calm") else phase.seconds / calm.seconds
    return {
        f"{name}_s": phase.seconds,
        f"{name}_datagrams": phase.datagrams,
        f"{name}_datagrams_each_s": phase.datagrams / phase.seconds / count,
        f"{name}_bytes_each_s": phase.bytes / phase.seconds / count,
        f"{name}_extra_datagrams": phase.datagrams - calm.datagrams * rest,
        f"{name}_extra_bytes_each": (phase.bytes - calm.bytes * rest) / count,
        f"{name}_peak_bytes": phase.peak,
        f"{name}_peak_one_bytes": phase.peak_one,
        f"{name}_cpu_us_each_s": phase.decision_s / phase.seconds / count * 1e6,
        f"{name}_cpu_ms_each": phase.decision_s / count * 1e3,
    }


def swarm(short: bool, sizes: Sequence[int]) -> Figures:
    """Fleets of several sizes, each in a process of its own, and what their slopes say of 730."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(sizes), mp_context=context) as pool:
        found = list(pool.map(play_fleet, sizes, [short] * len(sizes)))
    figures: Figures = {}
    print("swarm: " + " ".join(f"{size:>10}" for size in sizes) + "   fit; at 730")
    for name in found[0]:
        values = [one[name] for one in found]
        power = power_fit(sizes, values)
        shown = " ".join(f"{value:10.4g}" for value in values)
        predicted = power.at(ROUTERS)
        print(f"{name:26} {shown}   {power.factor:.3g} x N^{power.exponent:.2f}; {predicted:.4g}")
        figures |= {f"swarm_{name}_{size}": value for size, value in zip(sizes, values, strict=True)}
        figures |= {f"swarm_{name}_exponent": power.exponent, f"swarm_{name}_{ROUTERS}": predicted}
    return figures

"""Measure the swarm by fleet size: the program's own decisions on a simulated clock."""

from __future__ import annotations

import math
import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from benchmarks.capacity_days import PARTITION_ONSET_S, PARTITION_STEADY_S, UDP_HEADER_BYTES
from benchmarks.capacity_fits import REGIONS, ROUTERS, ZONES, Figures, deep_size, power_fit
from stonecove.gossip.swarm import Swarm
from stonecove.trial.model import SimulatedRouter, SwarmModel

REFUSAL_HEADER_BYTES = 56  # bytes: IP and ICMP, plus the returned headers of the refused datagram


class CountedModel(SwarmModel):
    """A simulated fleet that counts datagrams, bytes and the decisions' CPU. Shares are not checked."""

    def __init__(self, count: int, seed: int = 7) -> None:
        """Create the routers as `SwarmModel` does, in one zone."""
        super().__init__(count, seed)
        # By simulated second and router index, in both directions.
        self.bytes: Counter[tuple[int, int]] = Counter()
        self.decision_ns = 0
        self._within_ns = 0  # of the current tick: time counted elsewhere or spent in the simulator

    def broadcasts_done(self) -> bool:
        """Return whether no router has a claim left to broadcast."""
        return not any(
            len(router.swarm.gossip.broadcasts) for router in self.routers if router.swarm is not None
        )

    def _record_shares(self) -> None:
        return

    def _transmit(self, source: int, to: int, data: bytes) -> None:
        self.bytes[int(self.now), source] += len(data) + UDP_HEADER_BYTES
        super()._transmit(source, to, data)

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        if self.routers[to].swarm is not None:
            self.bytes[int(self.now), to] += len(data) + UDP_HEADER_BYTES
        elif (to, source) not in self.cuts:
            self.bytes[int(self.now), source] += len(data) + REFUSAL_HEADER_BYTES
        super()._arrive(source, to, data)

    def _process(self, router: SimulatedRouter, swarm: Swarm, slot: int, data: bytes, refused: bool) -> None:
        started_at_ns = time.thread_time_ns()
        super()._process(router, swarm, slot, data, refused)
        elapsed_ns = time.thread_time_ns() - started_at_ns
        self.decision_ns += elapsed_ns
        self._within_ns += elapsed_ns

    def _send_outgoing(self, router: SimulatedRouter, swarm: Swarm) -> None:
        started_at_ns = time.thread_time_ns()
        super()._send_outgoing(router, swarm)
        self._within_ns += time.thread_time_ns() - started_at_ns

    def _tick(self, router: SimulatedRouter, swarm: Swarm | None) -> None:
        self._within_ns, started_at_ns = 0, time.thread_time_ns()
        super()._tick(router, swarm)
        self.decision_ns += time.thread_time_ns() - started_at_ns - self._within_ns


class Phase(NamedTuple):
    """The cost of a phase of a simulated fleet."""

    seconds: float
    datagrams: int
    bytes: int  # sent plus received, of all routers
    peak_bytes: float  # mean bytes per router in the worst second
    peak_router_bytes: float  # bytes of the worst router in its worst second
    decision_s: float  # of CPU, of all routers


def observe(model: CountedModel, action: Callable[[], None], let_time_pass: Callable[[], None]) -> Phase:
    """Apply an action to a fleet, let time pass and return the cost of that phase."""
    model.run(math.ceil(model.now) - model.now)  # whole seconds are compared
    started_at_s, datagrams, decisions = model.now, model.sent, model.decision_ns
    model.bytes.clear()
    action()
    let_time_pass()
    by_second: Counter[int] = Counter()
    for (second, _), count in model.bytes.items():
        by_second[second] += count
    return Phase(
        model.now - started_at_s,
        model.sent - datagrams,
        sum(by_second.values()),
        max(by_second.values(), default=0) / len(model.routers),
        max(model.bytes.values(), default=0),
        (model.decision_ns - decisions) / 1e9,
    )


def start_within(model: CountedModel, indexes: Iterable[int], seconds: float) -> None:
    """Start the routers at even intervals within `seconds`."""
    router_indexes = list(indexes)
    for index in router_indexes:
        model.start(index)
        model.run(seconds / len(router_indexes))


def vanish(model: CountedModel, indexes: Iterable[int]) -> None:
    """Remove the routers with their machines, so that nothing refuses datagrams to them."""
    removed = list(indexes)
    model.cut(removed, set(range(len(model.routers))) - set(removed))
    for index in removed:
        model.kill(index)


def play_fleet(count: int, short: bool) -> Figures:
    """Run one fleet through all phases and return the figures of each phase."""
    model = CountedModel(count)
    all_indexes = range(count)
    zone, region, tenth = (range(max(1, round(count / divisor))) for divisor in (ZONES, REGIONS, 10))
    settle = partial(let_settle, model)

    def kill_and_start() -> None:
        model.kill(count - 1)
        model.run(1.0)
        model.start(count - 1)

    def restart_tenth() -> None:
        for index in tenth:
            model.kill(index)
        model.run(1.0)
        start_within(model, tenth, 1.0)

    def restore_zone() -> None:
        model.cuts.clear()
        start_within(model, zone, 2.0)

    phases = {
        "join": observe(model, partial(start_within, model, all_indexes, 2.0), partial(let_join, model))
    }
    phases["spread"] = observe(model, idle, partial(settle, 1.0))
    phases["calm"] = observe(model, idle, partial(model.run, 10.0))
    memory_mb = deep_size(model.routers[0].swarm) / 1e6
    phases["kill"] = observe(model, partial(model.kill, 0), partial(settle, 5.0))
    model.start(0)
    settle(5.0)
    phases["restart"] = observe(model, kill_and_start, partial(settle, 8.0))
    phases["tenth"] = observe(model, restart_tenth, partial(settle, 8.0))
    if not short:
        phases["zone"] = observe(model, partial(vanish, model, zone), partial(settle, 20.0))
        phases["zone_back"] = observe(model, restore_zone, partial(settle, 8.0))
        other_routers = set(all_indexes) - set(region)
        phases["cut"] = observe(
            model, partial(model.cut, region, other_routers), partial(settle, PARTITION_ONSET_S)
        )
        phases["cut_on"] = observe(model, idle, partial(model.run, PARTITION_STEADY_S))
        phases["meet"] = observe(model, model.cuts.clear, partial(settle, 20.0))
    steady = phases["calm"]
    figures = {
        "memory_mb": memory_mb,
        "calm_bytes_a_datagram": steady.bytes / max(1, steady.datagrams) / 2,  # each is sent and received
        "join_bytes_a_datagram": phases["join"].bytes / phases["join"].datagrams / 2,
    }
    for name, phase in phases.items():
        figures |= phase_figures(name, phase, steady, count)
    return figures


def idle() -> None:
    """Do nothing: the action of a phase without an event."""


def let_join(model: CountedModel) -> None:
    """Run until all routers have their full share, at most 120 s."""
    model.until(model.joined, 120.0)


def let_settle(model: CountedModel, min_s: float) -> None:
    """Run for at least `min_s` seconds and until no router has claims left to broadcast."""
    model.run(min_s)
    model.until(model.broadcasts_done, 300.0)


def phase_figures(name: str, phase: Phase, steady: Phase, count: int) -> Figures:
    """Return a phase's figures per router, and its cost above steady state over the same time."""
    steady_ratio = 0.0 if name in ("join", "calm") else phase.seconds / steady.seconds
    return {
        f"{name}_s": phase.seconds,
        f"{name}_datagrams": phase.datagrams,
        f"{name}_datagrams_each_s": phase.datagrams / phase.seconds / count,
        f"{name}_bytes_each_s": phase.bytes / phase.seconds / count,
        f"{name}_extra_datagrams": phase.datagrams - steady.datagrams * steady_ratio,
        f"{name}_extra_bytes_each": (phase.bytes - steady.bytes * steady_ratio) / count,
        f"{name}_peak_bytes": phase.peak_bytes,
        f"{name}_peak_one_bytes": phase.peak_router_bytes,
        f"{name}_cpu_us_each_s": phase.decision_s / phase.seconds / count * 1e6,
        f"{name}_cpu_ms_each": phase.decision_s / count * 1e3,
    }


def swarm(short: bool, sizes: Sequence[int]) -> Figures:
    """Simulate fleets of several sizes, one process each, and extrapolate to 730 routers."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(sizes), mp_context=context) as pool:
        results = list(pool.map(play_fleet, sizes, [short] * len(sizes)))
    figures: Figures = {}
    print("swarm: " + " ".join(f"{size:>10}" for size in sizes) + "   fit; at 730")
    for name in results[0]:
        values = [result[name] for result in results]
        power = power_fit(sizes, values)
        shown = " ".join(f"{value:10.4g}" for value in values)
        predicted = power.at(ROUTERS)
        print(f"{name:26} {shown}   {power.factor:.3g} x N^{power.exponent:.2f}; {predicted:.4g}")
        figures |= {f"swarm_{name}_{size}": value for size, value in zip(sizes, values, strict=True)}
        figures |= {f"swarm_{name}_exponent": power.exponent, f"swarm_{name}_{ROUTERS}": predicted}
    return figures

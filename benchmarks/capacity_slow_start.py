"""Measure how much of a slow-starting node's limit is used when each of many routers has a fixed share of it.

The decisions of all routers that share the node are simulated on one clock. The node has just started,
and the offered work exceeds its limit.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from benchmarks.capacity_sizes import (
    CACHE_CAPACITY,
    CLIENT_KB_PER_S,
    MEAN_TRANSFER_MS,
    MISS_FRACTION,
    ORIGIN_KIND,
    PARENT_KIND,
    ROUTERS,
    ZONE_CACHES,
    ZONE_ROUTERS,
    edge_settings,
    node,
    parent_capacity,
    sizes_kb,
)
from stonecove.routing.actions import SendAttempt
from stonecove.routing.director import Director
from stonecove.routing.endpoints import EndpointListKind, Node
from stonecove.routing.events import (
    AttemptEnded,
    CacheStatus,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
)
from stonecove.routing.settings import Settings
from stonecove.routing.slow_start import BUDGET_UTILIZATION, SlowStartBudget

START_MS = 1e12
STARTING_NODE_ID = 4242
CLIENT_TIMEOUT_MS = 3000.0  # how long clients wait for a response
FILL_EXTRA_MS = 30.0  # how much longer a fill takes than a hit


@dataclass
class SimulationResult:
    """Work offered and sent to a slow-starting node: time and work of each attempt, in ms."""

    window_ms: float
    capacity: float
    budget: SlowStartBudget
    sent: list[tuple[float, float]] = field(default_factory=list)
    offered: list[tuple[float, float]] = field(default_factory=list)
    requests: int = 0

    def limit_ms(self, now: float) -> float:
        """Return the work in ms allowed within the window that ends at `now`."""
        return (
            self.budget.fleet_limit_ms(
                now, node(STARTING_NODE_ID)._replace(started_ms=START_MS), self.capacity
            )
            / BUDGET_UTILIZATION
        )

    def allowed_ms(self, until_ms: float) -> float:
        """Return the work in ms allowed from the start until `until_ms`."""
        step_ms, time_ms, allowed_ms = 100.0, START_MS, 0.0
        while time_ms < until_ms:
            allowed_ms += self.limit_ms(time_ms) * step_ms / self.window_ms
            time_ms += step_ms
        return allowed_ms

    def used(self, until_ms: float) -> float:
        """Return the work sent before `until_ms` as a fraction of the allowed work."""
        return _work_before(self.sent, until_ms) / self.allowed_ms(until_ms)

    def offered_fraction(self, until_ms: float) -> float:
        """Return the work offered before `until_ms` as a fraction of the allowed work."""
        return _work_before(self.offered, until_ms) / self.allowed_ms(until_ms)

    def worst(self) -> float:
        """Return the greatest work sent within any window as a fraction of the limit at its end."""
        in_window: deque[tuple[float, float]] = deque()
        total = worst = 0.0
        for at_ms, work_ms in sorted(self.sent):
            in_window.append((at_ms, work_ms))
            total += work_ms
            while in_window[0][0] <= at_ms - self.window_ms:
                total -= in_window.popleft()[1]
            worst = max(worst, total / self.limit_ms(at_ms))
        return worst


def _work_before(attempts: list[tuple[float, float]], until_ms: float) -> float:
    return sum(work_ms for at_ms, work_ms in attempts if at_ms < until_ms)


def cache_list() -> tuple[Node, ...]:
    """Return a zone with the slow-starting cache alone, so that no other cache can take its work."""
    others = (node(5000, PARENT_KIND, 0, 1e6), node(9000, ORIGIN_KIND, 0, 1e6))
    return (node(STARTING_NODE_ID)._replace(started_ms=START_MS), *others)


def parent_list(parents: int) -> tuple[Node, ...]:
    """Return warm caches of a zone, the origin and the slow-starting parent.

    Only the objects of this parent are requested.
    """
    capacity = parent_capacity(parents)
    caches = [node(1000 + index) for index in range(ZONE_CACHES)]
    starting_node = node(STARTING_NODE_ID, PARENT_KIND, 0, capacity)._replace(started_ms=START_MS)
    return (*caches, starting_node, node(9000, ORIGIN_KIND, 0, 1e6))


class _Clock:
    """Directors and the pending ends of their attempts, handled in order of time."""

    def __init__(self, settings: Settings, count: int, nodes: tuple[Node, ...]) -> None:
        self.directors = [Director(settings, seed) for seed in range(count)]
        for director in self.directors:
            director.handle(START_MS, EndpointListUpdate(EndpointListKind.SNAPSHOT, nodes))
        self._pending: list[tuple[float, int, int, Event]] = []
        self._sequence = itertools.count()

    def schedule(self, at_ms: float, director_index: int, event: Event) -> None:
        heapq.heappush(self._pending, (at_ms, next(self._sequence), director_index, event))

    def run_until(self, now: float) -> None:
        while self._pending and self._pending[0][0] <= now:
            at_ms, _, director_index, event = heapq.heappop(self._pending)
            self.directors[director_index].handle(at_ms, event)


def simulate(
    count: int,
    nodes: tuple[Node, ...],
    capacity: float,
    load_multiple: float,
    duration_ms: float,
    parent: bool,
) -> SimulationResult:
    """Simulate requests for a slow-starting node.

    `load_multiple`: offered work as a multiple of the node's capacity when warm.
    """
    settings = edge_settings(**({"fleet_size": count} if parent else {"routers_by_zone": (0, count)}))
    budget = SlowStartBudget(settings.overload_window_ms)
    budget.configure(
        settings.parent_slow_start_initial_fraction if parent else settings.slow_start_initial_fraction,
        settings.parent_slow_start_ms if parent else settings.slow_start_ms,
        settings.parent_overload_multiple if parent else settings.overload_multiple,
    )
    result = SimulationResult(settings.overload_window_ms, capacity, budget)
    clock, generator, sizes = _Clock(settings, count, nodes), random.Random(11), sizes_kb(13)
    request_fraction = MISS_FRACTION if parent else 1.0
    mean_gap_ms = MEAN_TRANSFER_MS * request_fraction / (load_multiple * capacity)  # between two requests
    now = START_MS
    while now < START_MS + duration_ms:
        now += generator.expovariate(1.0 / mean_gap_ms)
        clock.run_until(now)
        _send_request(clock, generator, result, now, next(sizes), parent)
    return result


def _send_request(
    clock: _Clock, generator: random.Random, result: SimulationResult, now: float, size: float, parent: bool
) -> None:
    """Send a request to a random director; record what goes to the slow-starting node.

    Attempts end at the full transfer rate.
    """
    result.requests += 1
    director_index, work_ms = generator.randrange(len(clock.directors)), size / CLIENT_KB_PER_S * 1000.0
    is_fill = generator.random() < MISS_FRACTION
    if is_fill or not parent:
        result.offered.append((now, work_ms))
    request = RequestReceived(
        result.requests, 0, generator.getrandbits(60) | 1, CLIENT_TIMEOUT_MS, size, 3, 0
    )
    for action in clock.directors[director_index].handle(now, request):
        if isinstance(action, SendAttempt):
            if (action.source_id if parent else action.node_id) == STARTING_NODE_ID and (
                is_fill or not parent
            ):
                result.sent.append((now, work_ms))
            attempt_ms = work_ms + (FILL_EXTRA_MS if is_fill else 1.0)
            cache_status = CacheStatus.FILLED if is_fill else CacheStatus.HIT
            end = AttemptEnded(
                request.request_id,
                0,
                action.node_id,
                Outcome.OK,
                attempt_ms,
                True,
                cache_status,
                FILL_EXTRA_MS * is_fill,
                (),
            )
            clock.schedule(now + attempt_ms, director_index, end)


def share_requests(count: int, capacity: float, parent: bool) -> float:
    """Return the mean transfers that fit a router's share of a window when the slow start begins."""
    settings = edge_settings()
    initial_fraction = (
        settings.parent_slow_start_initial_fraction if parent else settings.slow_start_initial_fraction
    )
    multiple = settings.parent_overload_multiple if parent else settings.overload_multiple
    return (
        multiple
        * initial_fraction
        * settings.overload_window_ms
        * capacity
        * BUDGET_UTILIZATION
        / count
        / MEAN_TRANSFER_MS
    )


@dataclass(frozen=True)
class Scenario:
    """A slow-starting cache (no parents), or one of `parents` parents, shared by `routers` routers.

    `load_multiple`: offered work as a multiple of the node's capacity when warm.
    """

    name: str
    routers: int
    parents: int
    load_multiple: float
    duration_ms: float

    @property
    def capacity(self) -> float:
        """Return the concurrent transfers that the node can carry when warm."""
        return parent_capacity(self.parents) if self.parents else CACHE_CAPACITY

    def simulate(self) -> SimulationResult:
        """Simulate the scenario."""
        nodes = parent_list(self.parents) if self.parents else cache_list()
        return simulate(
            self.routers, nodes, self.capacity, self.load_multiple, self.duration_ms, self.parents > 0
        )


SCENARIOS = (
    Scenario("cache", ZONE_ROUTERS, 0, 2.0, 19_000.0),
    Scenario("parent85", ROUTERS, 85, 1.0, 19_000.0),
    Scenario("parent85_pressed", ROUTERS, 85, 3.0, 6000.0),
    Scenario("parent85_pressed_by_4", 4 * ROUTERS, 85, 3.0, 6000.0),
    Scenario("parent20_pressed", ROUTERS, 20, 1.5, 3200.0),
)


def measure(scenarios: tuple[Scenario, ...]) -> dict[str, float]:
    """Run the scenarios; return the used fraction, the worst window and the requests of a router's share."""
    figures = {"cold_headroom": BUDGET_UTILIZATION}
    for scenario in scenarios:
        result, end = scenario.simulate(), START_MS + scenario.duration_ms
        scenario_figures = {
            "own_requests": share_requests(scenario.routers, scenario.capacity, scenario.parents > 0),
            "offered_first": result.offered_fraction(START_MS + result.window_ms),
            "used_first": result.used(START_MS + result.window_ms),
            "offered": result.offered_fraction(end),
            "used": result.used(end),
            "worst": result.worst(),
        }
        shown = " ".join(f"{key}={value:.3g}" for key, value in scenario_figures.items())
        print(
            f"  {scenario.name} ({scenario.routers} routers, {result.requests} requests): {shown}",
            flush=True,
        )
        figures |= {f"cold_{scenario.name}_{key}": value for key, value in scenario_figures.items()}
    return figures

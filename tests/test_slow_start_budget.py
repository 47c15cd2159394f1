"""Test the work that all routers of a fleet send to a cache or parent in slow start.

The fleet is 30 directors on one clock.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import pytest
from conftest import make_settings

from stonecove.routing.actions import Action, SendAttempt
from stonecove.routing.director import Director
from stonecove.routing.endpoints import EndpointListKind, Node, NodeState
from stonecove.routing.events import (
    AttemptEnded,
    CacheStatus,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestReceived,
)

ROUTERS = 30
REQUESTS_PER_MS = 1.5  # of the fleet: about twice the node's capacity at the beginning of its slow start
DURATION_MS = 4000.0
START_MS = 1_000_000.0  # Unix time
MIN_SIZE_KB, MAX_SIZE_KB = 10.0, 40.0  # 1 KB takes 1 ms to send
MEAN_SIZE_KB = (MIN_SIZE_KB + MAX_SIZE_KB) / 2
ROUND_TRIP_MS = 15.0  # in addition to the sending time
SLOW_CACHE, WARM_CACHE, WARM_PARENT, SLOW_PARENT = 11, 12, 21, 22
NODE_WEIGHT = 30.0  # concurrent transfers
SETTINGS = make_settings(
    fleet_size=ROUTERS,
    routers_by_zone=(0, ROUTERS),
    zone_link_kb_per_s=(0.0, 1e7),
    weights_known=True,
    slow_start_initial_fraction=0.2,
    slow_start_ms=6000.0,
    overload_multiple=2.0,
    overload_window_ms=1000.0,
    parent_slow_start_initial_fraction=0.2,
    parent_slow_start_ms=6000.0,
    parent_overload_multiple=2.0,
)


@dataclass(frozen=True, slots=True)
class Role:
    """The node in slow start, and the other nodes of its scenario."""

    slow_node_id: int
    kind: int
    zone: int
    others: tuple[Node, ...]  # of the other kind, warmed up
    peer: Node  # of the same kind, warmed up

    def node(self, started_ms: float, state: NodeState = NodeState.READY) -> Node:
        """Return the entry of the node in the endpoint list."""
        return Node(self.slow_node_id, self.kind, started_ms, state, 0, self.zone, NODE_WEIGHT)

    def serves(self, attempt: SendAttempt) -> bool:
        """Return whether the attempt is work for the node."""
        return self.slow_node_id == (attempt.source_id if self.kind else attempt.node_id)


def warm_node(node_id: int, kind: int, zone: int) -> Node:
    """Return the entry of a node that has warmed up."""
    return Node(node_id, kind, 0.0, NodeState.READY, 0, zone, 1e4)


CACHE_ROLE = Role(SLOW_CACHE, 0, 1, (warm_node(WARM_PARENT, 1, 0),), warm_node(WARM_CACHE, 0, 1))
PARENT_ROLE = Role(SLOW_PARENT, 1, 0, (warm_node(WARM_CACHE, 0, 1),), warm_node(WARM_PARENT, 1, 0))
Schedule = Iterator[tuple[float, Callable[["Fleet"], None]]]  # steps with ascending times in ms


class Fleet:
    """Directors on one clock and nodes that answer attempts; records the work of the node in slow start."""

    def __init__(self, role: Role) -> None:
        self.role = role
        self.started_ms = START_MS
        self.directors = [Director(SETTINGS, 100 + index) for index in range(ROUTERS)]
        self.sent: list[tuple[float, float]] = []  # time and work, in ms
        self.requests = 0
        self._random = random.Random(7)
        self._answers: list[tuple[float, int, int, AttemptEnded]] = []  # time, request, director
        self._sizes: dict[int, float] = {}
        self.now_ms = START_MS

    def deliver(self, event: Event, target: int | None = None) -> None:
        """Deliver an event to one director, or to all."""
        for index, director in enumerate(self.directors):
            if target is None or index == target:
                self._apply(index, director.handle(self.now_ms, event))

    def send_snapshot(self, *nodes: Node) -> None:
        """Deliver a snapshot of the endpoint list to all directors."""
        self.deliver(EndpointListUpdate(EndpointListKind.SNAPSHOT, (*self.role.others, *nodes)))

    def send_delta(self, *nodes: Node) -> None:
        """Deliver changes of the endpoint list to all directors."""
        self.deliver(EndpointListUpdate(EndpointListKind.DELTA, nodes))

    def restart_router(self, index: int) -> None:
        """Replace a director by a new one, which knows only the endpoint list."""
        self.directors[index] = Director(SETTINGS, 200 + index)
        self.deliver(
            EndpointListUpdate(
                EndpointListKind.SNAPSHOT, (*self.role.others, self.role.node(self.started_ms))
            ),
            index,
        )

    def run(self, schedule: Schedule) -> None:
        """Send requests until the end, and run the steps of the schedule in between."""
        next_step = next(schedule, None)
        while self.now_ms < START_MS + DURATION_MS:
            arrival_ms = self.now_ms + self._random.expovariate(REQUESTS_PER_MS)
            while next_step is not None and START_MS + next_step[0] <= arrival_ms:
                self.now_ms = max(self.now_ms, START_MS + next_step[0])
                next_step[1](self)
                next_step = next(schedule, None)
            self._answer(arrival_ms)
            self.now_ms = arrival_ms
            self._request()

    def _request(self) -> None:
        self.requests += 1
        index = self._random.randrange(ROUTERS)
        size, key = self._random.uniform(MIN_SIZE_KB, MAX_SIZE_KB), self._random.randrange(1, 1 << 40)
        self._sizes[self.requests] = size
        request = RequestReceived(self.requests, 0, key, 4000.0, size, 3, 0)
        self._apply(index, self.directors[index].handle(self.now_ms, request))

    def _apply(self, index: int, actions: Sequence[Action]) -> None:
        for action in actions:
            if not isinstance(action, SendAttempt):
                continue
            work = self._sizes[action.request_id]
            if self.role.serves(action):
                self.sent.append((self.now_ms, work))
            duration_ms = ROUND_TRIP_MS + work
            ended = AttemptEnded(
                action.request_id,
                0,
                action.node_id,
                Outcome.OK,
                duration_ms,
                True,
                int(CacheStatus.FILLED),
                5.0,
                (),
            )
            heapq.heappush(self._answers, (self.now_ms + duration_ms, action.request_id, index, ended))

    def _answer(self, until_ms: float) -> None:
        while self._answers and self._answers[0][0] <= until_ms:
            self.now_ms, _, index, ended = heapq.heappop(self._answers)
            self._apply(index, self.directors[index].handle(self.now_ms, ended))

    # -- the limit --

    def limit_requests(self, at_ms: float) -> float:
        """Return the configured limit for the window that ends at `at_ms`, in requests of mean work."""
        initial_fraction, slow_start_ms, multiple = (
            (
                SETTINGS.parent_slow_start_initial_fraction,
                SETTINGS.parent_slow_start_ms,
                SETTINGS.parent_overload_multiple,
            )
            if self.role.kind
            else (SETTINGS.slow_start_initial_fraction, SETTINGS.slow_start_ms, SETTINGS.overload_multiple)
        )
        progress = max(0.0, at_ms - self.started_ms - SETTINGS.overload_window_ms) / slow_start_ms
        fraction = initial_fraction + (1.0 - initial_fraction) * min(1.0, progress)
        return multiple * fraction * SETTINGS.overload_window_ms * NODE_WEIGHT / MEAN_SIZE_KB

    def largest_window(self) -> tuple[float, float, float]:
        """Return the largest work in a window: as a fraction of the bound, in mean requests, and its time."""
        window, total, largest = deque[tuple[float, float]](), 0.0, (0.0, 0.0, 0.0)
        for at_ms, work in self.sent:
            window.append((at_ms, work))
            total += work
            while window[0][0] <= at_ms - SETTINGS.overload_window_ms:
                total -= window.popleft()[1]
            limit = self.limit_requests(at_ms)
            largest = max(
                largest,
                (
                    total / MEAN_SIZE_KB / (limit + 2.0 * math.sqrt(limit) + 2.0),
                    total / MEAN_SIZE_KB,
                    at_ms - START_MS,
                ),
            )
        return largest


def remain_in_slow_start(role: Role) -> Schedule:
    """Keep the node in slow start from the beginning."""
    yield 0.0, lambda fleet: fleet.send_snapshot(role.node(START_MS))


def repeat_snapshots(role: Role) -> Schedule:
    """Deliver a snapshot of the endpoint list every 100 ms."""
    for number in range(int(DURATION_MS / 100.0)):
        yield 100.0 * number, lambda fleet: fleet.send_snapshot(role.node(START_MS))


def join_beside_peer(role: Role) -> Schedule:
    """Add the node beside a peer, which drains and is removed soon after."""
    yield 0.0, lambda fleet: fleet.send_snapshot(role.peer)

    def add(fleet: Fleet) -> None:
        fleet.started_ms = fleet.now_ms
        fleet.send_delta(role.node(fleet.now_ms))

    yield 300.0, add
    yield 400.0, lambda fleet: fleet.send_delta(role.peer._replace(state=NodeState.DRAINING))
    yield 700.0, lambda fleet: fleet.send_delta(role.peer._replace(state=NodeState.REMOVED))


def repeat_steps(role: Role, first: Callable[[Fleet], None], second: Callable[[Fleet], None]) -> Schedule:
    yield 0.0, lambda fleet: fleet.send_snapshot(role.node(START_MS))
    for number in range(1, int(DURATION_MS / 400.0)):
        yield 400.0 * number, first
        yield 400.0 * number + 50.0, second


def drain_node(role: Role) -> Schedule:
    """Drain the node for 50 ms every 400 ms."""
    yield from repeat_steps(
        role,
        lambda fleet: fleet.send_delta(role.node(START_MS, NodeState.DRAINING)),
        lambda fleet: fleet.send_delta(role.node(START_MS)),
    )


def remove_and_list_again(role: Role) -> Schedule:
    """Remove the node and list it again without a restart, so that its slow start continues."""
    yield from repeat_steps(
        role,
        lambda fleet: fleet.send_delta(role.node(START_MS, NodeState.REMOVED)),
        lambda fleet: fleet.send_delta(role.node(START_MS)),
    )


def omit_from_snapshots(role: Role) -> Schedule:
    """Leave the node out of every other snapshot."""
    yield from repeat_steps(
        role, lambda fleet: fleet.send_snapshot(), lambda fleet: fleet.send_snapshot(role.node(START_MS))
    )


def restart_node(role: Role) -> Schedule:
    """Restart the node repeatedly: each restart begins a full slow start, whatever was sent before."""

    def restart(fleet: Fleet) -> None:
        fleet.started_ms = fleet.now_ms
        fleet.send_delta(role.node(fleet.now_ms))

    yield from repeat_steps(role, lambda fleet: None, restart)


def restart_routers(role: Role) -> Schedule:
    """Restart all routers one after the other."""
    yield 0.0, lambda fleet: fleet.send_snapshot(role.node(START_MS))
    for index in range(ROUTERS):

        def restart_one(fleet: Fleet, index: int = index) -> None:
            fleet.restart_router(index)

        yield 500.0 + 100.0 * index, restart_one


ROLES = {"cache": CACHE_ROLE, "parent": PARENT_ROLE}
SCENARIOS: list[Any] = [
    remain_in_slow_start,
    repeat_snapshots,
    join_beside_peer,
    drain_node,
    restart_node,
    restart_routers,
]


def excess_work(role: Role, scenario: Callable[[Role], Schedule]) -> str:
    """Run a scenario; return by how much the work exceeded the bound, or "" if it did not."""
    fleet = Fleet(role)
    fleet.run(scenario(role))
    # the node is used, and the demand exceeds its limit
    assert len(fleet.sent) > 0.3 * fleet.limit_requests(START_MS)
    assert fleet.requests / DURATION_MS * SETTINGS.overload_window_ms > 2.0 * fleet.limit_requests(START_MS)
    fraction, count, at_ms = fleet.largest_window()
    return (
        f"{count:.0f} requests of mean work, {fraction:.2f} of the bound, at {at_ms:.0f} ms"
        if fraction > 1.0
        else ""
    )


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
@pytest.mark.parametrize("role", ROLES)
def test_fleet_stays_within_budget_of_node_in_slow_start(
    role: str, scenario: Callable[[Role], Schedule]
) -> None:
    assert not excess_work(ROLES[role], scenario)


def test_node_listed_again_in_slow_start_gets_no_second_budget() -> None:
    """The charges of the current window must not be dropped with the removed entry."""
    found = {
        f"{name}, {scenario.__name__}": excess_work(role, scenario)
        for name, role in ROLES.items()
        for scenario in (remove_and_list_again, omit_from_snapshots)
    }
    assert found == dict.fromkeys(found, "")

"""A cold cache or parent under the sum of a whole fleet: thirty directors on one clock, seeds fixed."""

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
RATE = 1.5  # requests a ms, of the whole fleet: about twice what the cold node bears at its start
LASTS = 4000.0  # ms
BEGIN = 1_000_000.0  # Unix ms
SMALLEST, LARGEST = 10.0, 40.0  # KB, and as many ms of sending time
MEAN = (SMALLEST + LARGEST) / 2
WAY = 15.0  # ms to a cache and back, beside the sending time
COLD, WARM, PARENT, COLD_PARENT = 11, 12, 21, 22
WEIGHT = 30.0  # transfers at once
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
    """A cold node: how it is listed, and of which actions it gets work."""

    ident: int
    kind: int
    zone: int
    others: tuple[Node, ...]  # without which nothing works
    warm: Node  # one like it, which is warm

    def node(self, started: float, state: NodeState = NodeState.READY) -> Node:
        return Node(self.ident, self.kind, started, state, 0, self.zone, WEIGHT)

    def asked(self, get: SendAttempt) -> bool:
        """Whether the attempt is work for it."""
        return self.ident == (get.source_id if self.kind else get.node_id)


def warm(ident: int, kind: int, zone: int) -> Node:
    return Node(ident, kind, 0.0, NodeState.READY, 0, zone, 1e4)


CACHE = Role(COLD, 0, 1, (warm(PARENT, 1, 0),), warm(WARM, 0, 1))
PARENT_ROLE = Role(COLD_PARENT, 1, 0, (warm(WARM, 0, 1),), warm(PARENT, 1, 0))
News = Iterator[tuple[float, Callable[["Fleet"], None]]]  # ms since the start, in order, and what happens


class Fleet:
    """Directors on one clock, and servers that answer all; notes what goes to the cold node."""

    def __init__(self, role: Role) -> None:
        self.role = role
        self.started = BEGIN
        self.directors = [Director(SETTINGS, 100 + place) for place in range(ROUTERS)]
        self.sent: list[tuple[float, float]] = []  # when, and how much work
        self.requests = 0
        self._random = random.Random(7)
        self._answers: list[tuple[float, int, int, AttemptEnded]] = []  # when, order, director
        self._sizes: dict[int, float] = {}
        self.now = BEGIN

    def tell(self, event: Event, place: int | None = None) -> None:
        """Tells one director, or all."""
        for at, director in enumerate(self.directors):
            if place is None or at == place:
                self._carry(at, director.handle(self.now, event))

    def whole(self, *nodes: Node) -> None:
        """The whole list, to all."""
        self.tell(EndpointListUpdate(EndpointListKind.SNAPSHOT, (*self.role.others, *nodes)))

    def change(self, *nodes: Node) -> None:
        """What has changed in the list, to all."""
        self.tell(EndpointListUpdate(EndpointListKind.DELTA, nodes))

    def renew(self, place: int) -> None:
        """A router that was restarted knows the list and nothing else."""
        self.directors[place] = Director(SETTINGS, 200 + place)
        self.tell(
            EndpointListUpdate(EndpointListKind.SNAPSHOT, (*self.role.others, self.role.node(self.started))),
            place,
        )

    def play(self, news: News) -> None:
        """Load until the end, and the news in between."""
        following = next(news, None)
        while self.now < BEGIN + LASTS:
            due = self.now + self._random.expovariate(RATE)
            while following is not None and BEGIN + following[0] <= due:
                self.now = max(self.now, BEGIN + following[0])
                following[1](self)
                following = next(news, None)
            self._answer(due)
            self.now = due
            self._ask()

    def _ask(self) -> None:
        self.requests += 1
        place = self._random.randrange(ROUTERS)
        size, key = self._random.uniform(SMALLEST, LARGEST), self._random.randrange(1, 1 << 40)
        self._sizes[self.requests] = size
        request = RequestReceived(self.requests, 0, key, 4000.0, size, 3, 0)
        self._carry(place, self.directors[place].handle(self.now, request))

    def _carry(self, place: int, actions: Sequence[Action]) -> None:
        for action in actions:
            if not isinstance(action, SendAttempt):
                continue
            work = self._sizes[action.request_id]
            if self.role.asked(action):
                self.sent.append((self.now, work))
            took = WAY + work
            ended = AttemptEnded(
                action.request_id, 0, action.node_id, Outcome.OK, took, True, int(CacheStatus.FILLED), 5.0, ()
            )
            heapq.heappush(self._answers, (self.now + took, action.request_id, place, ended))

    def _answer(self, until: float) -> None:
        while self._answers and self._answers[0][0] <= until:
            self.now, _, place, ended = heapq.heappop(self._answers)
            self._carry(place, self.directors[place].handle(self.now, ended))

    # -- the rule --

    def allowed(self, at: float) -> float:
        """Requests of mean work that the settings let the node bear in the window that ends then."""
        cold_from, warm_up, multiple = (
            (
                SETTINGS.parent_slow_start_initial_fraction,
                SETTINGS.parent_slow_start_ms,
                SETTINGS.parent_overload_multiple,
            )
            if self.role.kind
            else (SETTINGS.slow_start_initial_fraction, SETTINGS.slow_start_ms, SETTINGS.overload_multiple)
        )
        warmed = max(0.0, at - self.started - SETTINGS.overload_window_ms) / warm_up
        present = cold_from + (1.0 - cold_from) * min(1.0, warmed)
        return multiple * present * SETTINGS.overload_window_ms * WEIGHT / MEAN

    def worst(self) -> tuple[float, float, float]:
        """Most work in a window against the bound: the part of it, in requests of mean work, and when."""
        within, total, most = deque[tuple[float, float]](), 0.0, (0.0, 0.0, 0.0)
        for at, work in self.sent:
            within.append((at, work))
            total += work
            while within[0][0] <= at - SETTINGS.overload_window_ms:
                total -= within.popleft()[1]
            n = self.allowed(at)
            most = max(most, (total / MEAN / (n + 2.0 * math.sqrt(n) + 2.0), total / MEAN, at - BEGIN))
        return most


def start(role: Role) -> News:
    """The node is cold from the first moment on."""
    yield 0.0, lambda fleet: fleet.whole(role.node(BEGIN))


def whole_lists(role: Role) -> News:
    """The whole list is told again and again."""
    for number in range(int(LASTS / 100.0)):
        yield 100.0 * number, lambda fleet: fleet.whole(role.node(BEGIN))


def join(role: Role) -> News:
    """It comes beside a warm one, which leaves soon after."""
    yield 0.0, lambda fleet: fleet.whole(role.warm)

    def comes(fleet: Fleet) -> None:
        fleet.started = fleet.now
        fleet.change(role.node(fleet.now))

    yield 300.0, comes
    yield 400.0, lambda fleet: fleet.change(role.warm._replace(state=NodeState.DRAINING))
    yield 700.0, lambda fleet: fleet.change(role.warm._replace(state=NodeState.REMOVED))


def _again_and_again(role: Role, goes: Callable[[Fleet], None], comes: Callable[[Fleet], None]) -> News:
    yield 0.0, lambda fleet: fleet.whole(role.node(BEGIN))
    for number in range(1, int(LASTS / 400.0)):
        yield 400.0 * number, goes
        yield 400.0 * number + 50.0, comes


def drain(role: Role) -> News:
    """It drains for a moment, and is ready again."""
    yield from _again_and_again(
        role,
        lambda fleet: fleet.change(role.node(BEGIN, NodeState.DRAINING)),
        lambda fleet: fleet.change(role.node(BEGIN)),
    )


def leave_and_return(role: Role) -> News:
    """It leaves the list and returns to it, and was not restarted: its cold start goes on."""
    yield from _again_and_again(
        role,
        lambda fleet: fleet.change(role.node(BEGIN, NodeState.REMOVED)),
        lambda fleet: fleet.change(role.node(BEGIN)),
    )


def missing_in_whole_lists(role: Role) -> News:
    """A whole list lacks it, the next one has it again."""
    yield from _again_and_again(
        role, lambda fleet: fleet.whole(), lambda fleet: fleet.whole(role.node(BEGIN))
    )


def restarted(role: Role) -> News:
    """It starts anew again and again: as cold as at first, whatever it was sent before."""

    def anew(fleet: Fleet) -> None:
        fleet.started = fleet.now
        fleet.change(role.node(fleet.now))

    yield from _again_and_again(role, lambda fleet: None, anew)


def routers_return(role: Role) -> News:
    """Routers are restarted one after the other, all within the time of the trial."""
    yield 0.0, lambda fleet: fleet.whole(role.node(BEGIN))
    for place in range(ROUTERS):

        def renew(fleet: Fleet, place: int = place) -> None:
            fleet.renew(place)

        yield 500.0 + 100.0 * place, renew


ROLES = {"cache": CACHE, "parent": PARENT_ROLE}
STORIES: list[Any] = [start, whole_lists, join, drain, restarted, routers_return]


def overdone(role: Role, story: Callable[[Role], News]) -> str:
    """Plays a story; how far over the bound the node was sent work, empty if it never was."""
    fleet = Fleet(role)
    fleet.play(story(role))
    assert len(fleet.sent) > 0.3 * fleet.allowed(BEGIN)  # it is used, and there is more to do
    assert fleet.requests / LASTS * SETTINGS.overload_window_ms > 2.0 * fleet.allowed(BEGIN)
    part, count, at = fleet.worst()
    return f"{count:.0f} requests of mean work, {part:.2f} of the bound, at {at:.0f} ms" if part > 1.0 else ""


@pytest.mark.parametrize("story", STORIES, ids=lambda story: story.__name__)
@pytest.mark.parametrize("role", ROLES)
def test_no_cold_node_is_sent_more_than_it_bears_by_all_together(
    role: str, story: Callable[[Role], News]
) -> None:
    assert not overdone(ROLES[role], story)


def test_a_cold_node_that_leaves_the_list_and_returns_is_sent_no_more_for_that() -> None:
    """Guards against what it was sent within the window being forgotten with its entry."""
    found = {
        f"{name}, {story.__name__}": overdone(role, story)
        for name, role in ROLES.items()
        for story in (leave_and_return, missing_in_whole_lists)
    }
    assert found == dict.fromkeys(found, "")

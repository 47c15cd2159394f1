"""Simulates many swarm members on one clock, with a network that loses, delays, duplicates and partitions.

The decisions are the program's own: each router runs a `Swarm`, its datagrams are the bytes of `wire.gossip`,
and time passes only when nothing is left to be delivered. After each tick the shares that routers act
upon are summed over the window of the rule; `worst` keeps the largest sum.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stonecove.gossip.claims import Claim, MemberState, has_ended, ident_of
from stonecove.gossip.figures import GossipConfig
from stonecove.gossip.shares import Shares
from stonecove.gossip.swarm import TICK_S, Swarm
from stonecove.protocols.gossip import decode, encode, parse_number

EPOCH = 1_700_000_000_000.0  # Unix ms at the start


@dataclass(slots=True)
class NetworkConditions:
    """How the network treats datagrams: probabilities of loss and duplication, range of the delay."""

    lose: float = 0.0
    delay: tuple[float, float] = (0.0025, 0.019)  # seconds
    repeat: float = 0.0


@dataclass(slots=True)
class SimulatedRouter:
    """One router: its address is used by its processes one after the other, `swarm` is the present one."""

    place: int
    swarm: Swarm | None = None
    born: float = 0.0
    due: float = math.inf  # when its next tick is due
    skew: float = 0.0  # seconds by which its clock is off
    stopped_until: float = 0.0
    waiting: list[tuple[int, bytes, bool]] = field(default_factory=list)  # while it is stopped
    # By pool (zone, or None for parents): the highest share of late, until when and how much.
    shares: dict[int | None, deque[tuple[float, float]]] = field(default_factory=dict)


class SwarmModel:
    """A fleet. `cuts` holds the pairs whose datagrams are dropped; `network` applies to all others."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        zones: int = 1,
        window: float = 3.0,
        figures: GossipConfig | None = None,
    ) -> None:
        """Starts no router yet; routers are assigned to zones in turn."""
        self.now = 0.0
        self.window = window
        self.network = NetworkConditions()
        self.cuts: set[tuple[int, int]] = set()
        self.random = random.Random(seed)
        self.figures = figures or GossipConfig()
        self.zones = zones
        self.routers = [SimulatedRouter(place) for place in range(count)]
        self.sent = 0
        self.worst = 0.0
        self.notes: list[tuple[float, int, str, dict[str, object]]] = []
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._past: list[tuple[int | None, deque[tuple[float, float]]]] = []  # of lives that have ended
        self._looked = -1.0

    # -- what a schedule does --

    def start(self, place: int, name: str = "", skew: float = 0.0) -> None:
        """Starts a process at that address; `skew`: seconds by which its clock is off."""
        router = self.routers[place]
        if router.swarm is not None:
            self.kill(place)
        router.skew = skew
        unix = self._unix(router)
        by_zone = [len(range(zone, len(self.routers), self.zones)) for zone in range(self.zones)]
        shares = Shares(
            len(self.routers) - 1,
            place % self.zones,
            len(self.routers),
            tuple(by_zone),
            self.window,
            self.now,
            lease_s=self.figures.lease_duration_s(len(self.routers)),
        )
        me = Claim(ident_of(name or f"router-{place}"), int(unix), 0, MemberState.ALIVE, place % self.zones)
        router.swarm = Swarm(me, shares, self.figures, self.random.getrandbits(32), self.now, unix)
        router.born, router.stopped_until, router.waiting, router.due = self.now, 0.0, [], math.inf
        self._due(router, self.random.random() * TICK_S)

    def kill(self, place: int) -> None:
        """Ends the process without notice; its address refuses from now on."""
        router = self.routers[place]
        router.swarm = None
        self._past += router.shares.items()
        router.shares = {}

    def stop(self, place: int, seconds: float) -> None:
        """Stops the process for so long; it continues without noticing."""
        self.routers[place].stopped_until = self.now + seconds

    def cut(self, ones: Iterable[int], others: Iterable[int], both: bool = True) -> None:
        """Drops what `ones` send to `others`, and with `both` the other direction too."""
        others = list(others)
        for one in ones:
            for other in others:
                self.cuts.add((one, other))
                if both:
                    self.cuts.add((other, one))

    def run(self, seconds: float, each: Callable[[], None] | None = None) -> None:
        """Lets time pass; calls `each` every TICK_S."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            at, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            call()
            if self.now >= self._looked + TICK_S:
                self._looked = self.now
                self._look()
                if each is not None:
                    each()
        self.now = until

    def until(self, holds: Callable[[], bool], most: float) -> float:
        """Lets time pass until the condition holds; returns the seconds it took, or infinity after `most`."""
        began = self.now
        while self.now < began + most:
            if holds():
                return self.now - began
            self.run(TICK_S)
        return math.inf

    # -- what there is to see --

    def here(self) -> list[SimulatedRouter]:
        """The routers that run and are not stopped."""
        return [
            router for router in self.routers if router.swarm is not None and router.stopped_until <= self.now
        ]

    def stands(self, of: int, by: int) -> str:
        """The state of router `of` in the table of router `by`."""
        swarm = self.routers[by].swarm
        member = swarm.gossip.table.get(ident_of(f"router-{of}")) if swarm is not None else None
        return "unknown" if member is None else member.status_name(self.now)

    def known_over(self, place: int) -> bool:
        """Whether all other running routers consider that router failed or gone."""
        ident = ident_of(f"router-{place}")
        return all(
            (member := router.swarm.gossip.table.get(ident)) is not None
            and (member.claim.state is MemberState.FAILED or has_ended(member.claim.state))
            for router in self.here()
            if router.swarm is not None and router.place != place
        )

    def joined(self) -> bool:
        """Whether all running routers have their full share."""
        return all(
            router.swarm.share_state(self.now).joined for router in self.here() if router.swarm is not None
        )

    def shares(self) -> float:
        """The sum of the shares that may be used now, of what a parent bears."""
        return sum(
            router.swarm.share_state(self.now).share() for router in self.here() if router.swarm is not None
        )

    # -- within --

    def _unix(self, router: SimulatedRouter) -> float:
        return EPOCH + (self.now + router.skew) * 1000.0

    def _at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), call))

    def _due(self, router: SimulatedRouter, rest: float) -> None:
        """Schedules the next tick after `rest` seconds, unless one is due before."""
        if self.now + rest < router.due:
            router.due, life = self.now + rest, router.swarm
            self._at(router.due, lambda: self._tick(router, life))

    def _tick(self, router: SimulatedRouter, life: Swarm | None) -> None:
        if life is None or router.swarm is not life or self.now < router.due:
            return
        if router.stopped_until > self.now:
            self._at(router.stopped_until, lambda: self._tick(router, life))
            return
        waiting, router.waiting = router.waiting, []
        for slot, data, refused in waiting:
            self._take(router, life, slot, data, refused)
        life.tick(self.now, self._unix(router))
        self._flush(router, life)
        router.due = math.inf
        self._due(router, life.tick_delay_s(self.now))

    def _take(self, router: SimulatedRouter, life: Swarm, slot: int, data: bytes, refused: bool) -> None:
        if refused:
            number = parse_number(data)
            if number is not None:
                life.receive_refusal(slot, number, self.now)
        else:
            life.receive(slot, decode(data), self.now, self._unix(router))

    def _flush(self, router: SimulatedRouter, life: Swarm) -> None:
        out, life.gossip.outgoing = life.gossip.outgoing, []
        for slot, datagram in out:
            self._carry(router.place, slot if slot < router.place else slot + 1, encode(datagram))
        notes, life.gossip.notes = life.gossip.notes, []
        self.notes += [(self.now, router.place, note.event, note.fields) for note in notes]

    def _carry(self, source: int, to: int, data: bytes) -> None:
        self.sent += 1
        for _ in range(1 + (self.random.random() < self.network.repeat)):
            if (source, to) not in self.cuts and self.random.random() >= self.network.lose:
                at = self.now + self.random.uniform(*self.network.delay)
                self._at(at, lambda: self._arrive(source, to, data))

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        router = self.routers[to]
        if router.swarm is None:
            back = self.routers[source]
            if back.swarm is not None and (to, source) not in self.cuts:
                self._give(back, to, data, True)
            return
        self._give(router, source, data, False)

    def _give(self, router: SimulatedRouter, other: int, data: bytes, refused: bool) -> None:
        slot = other if other < router.place else other - 1
        if router.stopped_until > self.now or router.swarm is None:
            router.waiting.append((slot, data, refused))
            return
        self._take(router, router.swarm, slot, data, refused)
        self._flush(router, router.swarm)
        self._due(router, router.swarm.tick_delay_s(self.now))

    def _look(self) -> None:
        """Sums the largest recent share of each address: what could be sent within one window."""
        self._past = [(pool, kept) for pool, kept in self._past if kept and kept[-1][0] > self.now]
        for pool in (None, *range(self.zones)):
            total = 0.0
            for of, kept in self._past:
                while of == pool and kept[0][0] <= self.now:
                    kept.popleft()
                total += kept[0][1] if of == pool else 0.0
            for router in self.routers:
                if pool is not None and router.place % self.zones != pool:
                    continue
                kept = router.shares.setdefault(pool, deque())
                if router.swarm is not None and router.stopped_until <= self.now:
                    share = router.swarm.share_state(self.now).share(pool)
                    while kept and kept[-1][1] <= share:
                        kept.pop()
                    kept.append((self.now + self.window, share))
                while kept and kept[0][0] <= self.now:
                    kept.popleft()
                total += kept[0][1] if kept else 0.0
            self.worst = max(self.worst, total)

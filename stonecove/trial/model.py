"""Decisions alone: many swarms on one simulated clock, with a network that loses, delays, repeats and cuts.

Nothing here is the decisions' own: each router is a `Swarm` as the program runs it, its datagrams are the
bytes of `wire.gossip`, and time passes only when nothing is left to be delivered. The sum of the shares that
routers act upon is looked at after each step, over the window of the rule.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stonecove.swarm.figures import Figures
from stonecove.swarm.shares import Shares
from stonecove.swarm.swarm import TICK, Swarm
from stonecove.swarm.words import Standing, Word, ident_of, over
from stonecove.wire.gossip import decode, encode, number_of

EPOCH = 1_700_000_000_000.0  # Unix ms at the start


@dataclass(slots=True)
class Weather:
    """What becomes of datagrams on their way."""

    lose: float = 0.0
    delay: tuple[float, float] = (0.0025, 0.019)  # seconds
    repeat: float = 0.0


@dataclass(slots=True)
class Box:
    """One router's place: its address, which its lives use one after the other."""

    place: int
    swarm: Swarm | None = None
    born: float = 0.0
    due: float = math.inf  # when its life looks at the time next
    skew: float = 0.0  # seconds by which its clock is off
    stopped_until: float = 0.0
    waiting: list[tuple[int, bytes, bool]] = field(default_factory=list)  # while it is stopped
    # By pool (zone, or None for parents): the highest share of late, until when and how much.
    shares: dict[int | None, deque[tuple[float, float]]] = field(default_factory=dict)


class Model:
    """A fleet. `cut(a, b)` says whether what a sends to b is swallowed; `weather` holds for all ways."""

    def __init__(
        self, count: int, seed: int = 1, zones: int = 1, window: float = 3.0, figures: Figures | None = None
    ) -> None:
        """Nobody is started yet; routers stand in zones in turn."""
        self.now = 0.0
        self.window = window
        self.weather = Weather()
        self.cuts: set[tuple[int, int]] = set()
        self.random = random.Random(seed)
        self.figures = figures or Figures()
        self.zones = zones
        self.boxes = [Box(place) for place in range(count)]
        self.sent = 0
        self.worst = 0.0
        self.notes: list[tuple[float, int, str, dict[str, object]]] = []
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._past: list[tuple[int | None, deque[tuple[float, float]]]] = []  # of lives that have ended
        self._looked = -1.0

    # -- what a schedule does --

    def start(self, place: int, name: str = "", skew: float = 0.0) -> None:
        """A new life at that address; `skew`: seconds by which its clock is off."""
        box = self.boxes[place]
        if box.swarm is not None:
            self.kill(place)
        box.skew = skew
        unix = self._unix(box)
        by_zone = [len(range(zone, len(self.boxes), self.zones)) for zone in range(self.zones)]
        shares = Shares(
            len(self.boxes) - 1,
            place % self.zones,
            len(self.boxes),
            tuple(by_zone),
            self.window,
            self.now,
            lease=self.figures.lease_of(len(self.boxes)),
        )
        me = Word(ident_of(name or f"router-{place}"), int(unix), 0, Standing.ALIVE, place % self.zones)
        box.swarm = Swarm(me, shares, self.figures, self.random.getrandbits(32), self.now, unix)
        box.born, box.stopped_until, box.waiting, box.due = self.now, 0.0, [], math.inf
        self._due(box, self.random.random() * TICK)

    def kill(self, place: int) -> None:
        """Its process ends without a word, and its address refuses."""
        box = self.boxes[place]
        box.swarm = None
        self._past += box.shares.items()
        box.shares = {}

    def stop(self, place: int, seconds: float) -> None:
        """It is stopped, and goes on as if nothing had been."""
        self.boxes[place].stopped_until = self.now + seconds

    def cut(self, ones: Iterable[int], others: Iterable[int], both: bool = True) -> None:
        """What the ones send to the others is swallowed, and the other way round too."""
        others = list(others)
        for one in ones:
            for other in others:
                self.cuts.add((one, other))
                if both:
                    self.cuts.add((other, one))

    def run(self, seconds: float, each: Callable[[], None] | None = None) -> None:
        """Lets time pass; `each` is called every TICK."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            at, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            call()
            if self.now >= self._looked + TICK:
                self._looked = self.now
                self._look()
                if each is not None:
                    each()
        self.now = until

    def until(self, holds: Callable[[], bool], most: float) -> float:
        """Lets time pass until that holds; returns the seconds it took, or infinity."""
        began = self.now
        while self.now < began + most:
            if holds():
                return self.now - began
            self.run(TICK)
        return math.inf

    # -- what there is to see --

    def here(self) -> list[Box]:
        """Those that run and are not stopped."""
        return [box for box in self.boxes if box.swarm is not None and box.stopped_until <= self.now]

    def stands(self, of: int, by: int) -> str:
        """How one router stands, as another believes."""
        swarm = self.boxes[by].swarm
        member = swarm.gossip.table.get(ident_of(f"router-{of}")) if swarm is not None else None
        return "unknown" if member is None else member.told(self.now)

    def known_over(self, place: int) -> bool:
        """Whether all who run hold that router for failed or gone."""
        ident = ident_of(f"router-{place}")
        return all(
            (member := box.swarm.gossip.table.get(ident)) is not None
            and (member.word.standing is Standing.FAILED or over(member.word.standing))
            for box in self.here()
            if box.swarm is not None and box.place != place
        )

    def joined(self) -> bool:
        """Whether all who run have their full share."""
        return all(box.swarm.stand(self.now).joined for box in self.here() if box.swarm is not None)

    def shares(self) -> float:
        """The sum of the shares that may be used now, of what a parent bears."""
        return sum(box.swarm.stand(self.now).share() for box in self.here() if box.swarm is not None)

    # -- within --

    def _unix(self, box: Box) -> float:
        return EPOCH + (self.now + box.skew) * 1000.0

    def _at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), call))

    def _due(self, box: Box, rest: float) -> None:
        """Its life looks at the time after that rest, if not before."""
        if self.now + rest < box.due:
            box.due, life = self.now + rest, box.swarm
            self._at(box.due, lambda: self._tick(box, life))

    def _tick(self, box: Box, life: Swarm | None) -> None:
        if life is None or box.swarm is not life or self.now < box.due:
            return
        if box.stopped_until > self.now:
            self._at(box.stopped_until, lambda: self._tick(box, life))
            return
        waiting, box.waiting = box.waiting, []
        for slot, data, refused in waiting:
            self._take(box, life, slot, data, refused)
        life.tick(self.now, self._unix(box))
        self._flush(box, life)
        box.due = math.inf
        self._due(box, life.rest(self.now))

    def _take(self, box: Box, life: Swarm, slot: int, data: bytes, refused: bool) -> None:
        if refused:
            number = number_of(data)
            if number is not None:
                life.refused(slot, number, self.now)
        else:
            life.heard(slot, decode(data), self.now, self._unix(box))

    def _flush(self, box: Box, life: Swarm) -> None:
        out, life.gossip.out = life.gossip.out, []
        for slot, datagram in out:
            self._carry(box.place, slot if slot < box.place else slot + 1, encode(datagram))
        notes, life.gossip.notes = life.gossip.notes, []
        self.notes += [(self.now, box.place, note.event, note.fields) for note in notes]

    def _carry(self, source: int, to: int, data: bytes) -> None:
        self.sent += 1
        for _ in range(1 + (self.random.random() < self.weather.repeat)):
            if (source, to) not in self.cuts and self.random.random() >= self.weather.lose:
                at = self.now + self.random.uniform(*self.weather.delay)
                self._at(at, lambda: self._arrive(source, to, data))

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        box = self.boxes[to]
        if box.swarm is None:
            back = self.boxes[source]
            if back.swarm is not None and (to, source) not in self.cuts:
                self._give(back, to, data, True)
            return
        self._give(box, source, data, False)

    def _give(self, box: Box, other: int, data: bytes, refused: bool) -> None:
        slot = other if other < box.place else other - 1
        if box.stopped_until > self.now or box.swarm is None:
            box.waiting.append((slot, data, refused))
            return
        self._take(box, box.swarm, slot, data, refused)
        self._flush(box, box.swarm)
        self._due(box, box.swarm.rest(self.now))

    def _look(self) -> None:
        """The largest share of late of each address, and their sum: what could be sent within one window."""
        self._past = [(pool, kept) for pool, kept in self._past if kept and kept[-1][0] > self.now]
        for pool in (None, *range(self.zones)):
            total = 0.0
            for of, kept in self._past:
                while of == pool and kept[0][0] <= self.now:
                    kept.popleft()
                total += kept[0][1] if of == pool else 0.0
            for box in self.boxes:
                if pool is not None and box.place % self.zones != pool:
                    continue
                kept = box.shares.setdefault(pool, deque())
                if box.swarm is not None and box.stopped_until <= self.now:
                    share = box.swarm.stand(self.now).share(pool)
                    while kept and kept[-1][1] <= share:
                        kept.pop()
                    kept.append((self.now + self.window, share))
                while kept and kept[0][0] <= self.now:
                    kept.popleft()
                total += kept[0][1] if kept else 0.0
            self.worst = max(self.worst, total)

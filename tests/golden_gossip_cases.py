"""Seeded runs of routers that gossip over a simulated network that loses, delays, repeats and partitions.

Datagrams are recorded by their bytes; `describe_share` and the table of log events know the program's names.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from stonecove.gossip.claims import Claim, MemberState, ident_of, shown
from stonecove.gossip.figures import Figures
from stonecove.gossip.gossip import Gossip
from stonecove.gossip.shares import Shares, ShareState
from stonecove.gossip.status import answer
from stonecove.gossip.swarm import Swarm
from stonecove.protocols.gossip import decode, encode, number_of

EPOCH_MS = 1_700_000_000_000.0
FIGURES = Figures(
    period=0.2,
    answer=0.06,
    helpers=3,
    suspicion=0.6,
    longest=2.0,
    confirmations=3,
    settle=0.3,
    most_settle=1.0,
    refusals_prove=True,
    lease=2.5,
)
WINDOW_S = 1.0
NOTES = {  # by the program's name of a log event: its neutral name
    "gossip_view_changed": "view-changed",
    "gossip_member_changed": "member-changed",
    "gossip_stopped": "was-stopped",
    "gossip_suspected": "was-held-for-failed",
    "gossip_refuted": "suspicion-refuted",
    "gossip_generation_raised": "generation-raised",
    "gossip_name_conflict": "duplicate-name",
}


def describe_share(stand: ShareState) -> list[Any]:
    """Return the share that a router may use: whether it has joined, its part, and of how many routers."""
    return [stand.joined, stand.own, stand.fleet, list(stand.by_zone)]


class BelievingGossip(Gossip):
    """Believe each verdict of others at once, as the program at commit ac9ef58 did, which was recorded."""

    def receive_claim(self, claim: Claim, sender: int, now: float) -> None:
        """Take a claim as it is."""
        self.believe(claim, now, f"told by {shown(sender)}")


@dataclass(slots=True)
class Router:
    """One simulated router; its address is used by its processes one after the other."""

    place: int
    swarm: Swarm | None = None
    skew: float = 0.0  # seconds by which its clock is off
    due: float = math.inf
    stopped_until: float = 0.0


class GossipFleet:
    """Routers on one simulated clock, and a network that loses, delays, repeats and partitions."""

    def __init__(self, seed: int, count: int, zones: int, believing: bool) -> None:
        """`believing`: routers believe each verdict of others at once."""
        self._believing = believing
        self._random = random.Random(seed)
        self._zones = zones
        self._routers = [Router(place) for place in range(count)]
        self._cuts: set[tuple[int, int]] = set()
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.lines: list[list[Any]] = []  # datagrams and log events in the order in which they came about
        self.kinds: Counter[str] = Counter()
        self.noted: Counter[str] = Counter()

    def run(self, trouble: float, calm: float) -> None:
        """Start all routers, disturb them for `trouble` seconds, and leave them alone for `calm` seconds."""
        for router in self._routers:
            self._start(router, 0.0)
        self._at(1.5, lambda: self._disturb(trouble))
        self._at(0.1, self._look)
        while self._queue and self._queue[0][0] <= trouble + calm:
            at, _, call = heapq.heappop(self._queue)
            self._now = max(self._now, at)
            call()
        self._now = trouble + calm

    def end(self) -> list[Any]:
        """Return each router's answers to an operator: its view, its share, its members."""
        found = []
        for router in self._routers:
            swarm = router.swarm
            if swarm is None:
                continue
            other = f"router-{(router.place + 1) % len(self._routers)}"
            questions = [["status"], ["history"], ["explain", other], ["explain", "none"], ["nothing"]]
            found.append([self._ask(swarm, question) for question in questions])
        return found

    def _ask(self, swarm: Swarm, question: list[str]) -> dict[str, Any]:
        """Return the answer to an operator's question; addresses are those of a router's slots."""
        addresses = [(f"10.0.0.{slot}", 7000) for slot in range(len(self._routers) - 1)]
        return answer(question, swarm, "me", self._now, addresses, swarm.gossip.counts)

    def _look(self) -> None:
        """Note the share on which each router acts."""
        for router in self._routers:
            if router.swarm is not None and router.stopped_until <= self._now:
                share = describe_share(router.swarm.share_state(self._now))
                self.lines.append(["share", self._now, router.place, *share])
        self._at(self._now + 0.35, self._look)

    # -- faults --

    def _disturb(self, until: float) -> None:
        chooser = self._random
        if self._now >= until:
            self._cuts.clear()
            for router in self._routers:
                if router.swarm is None:
                    self._start(router, 0.0)
            return
        router = chooser.choice(self._routers)
        swarm = router.swarm
        match chooser.randrange(9):
            case 0 | 1 if swarm is None:
                self._start(router, chooser.choice((0.0, 0.0, 2.0, -30.0)))
            case 0:
                router.swarm = None
            case 1:
                self._start(router, chooser.choice((0.0, -30.0)))  # a new process at once
            case 2:
                router.stopped_until = self._now + chooser.uniform(0.1, 2.5)
            case 3:
                others = chooser.sample(range(len(self._routers)), len(self._routers) // 2)
                self._cuts |= {(router.place, other) for other in others}
                if chooser.random() < 0.7:
                    self._cuts |= {(other, router.place) for other in others}
            case 4 | 5:
                self._cuts.clear()
            case 6 if swarm is not None and router.stopped_until <= self._now:
                swarm.leaving(self._now)
                self._flush(router, swarm)
                self._at(self._now + 0.2, lambda: self._leave(router, swarm))
            case 7 if swarm is not None and router.stopped_until <= self._now:
                question = ["gone", f"10.0.0.{chooser.randrange(len(self._routers))}:7000"]
                self.lines.append(["answer", self._now, router.place, self._ask(swarm, question)])
                self._flush(router, swarm)
            case 8 if swarm is None:
                self._start(router, 0.0, f"router-{(router.place + 1) % len(self._routers)}")
        self._at(self._now + chooser.uniform(0.1, 1.2), lambda: self._disturb(until))

    def _start(self, router: Router, skew: float, name: str = "") -> None:
        router.skew, router.stopped_until, router.due = skew, 0.0, math.inf
        count, zone = len(self._routers), router.place % self._zones
        by_zone = tuple(len(range(one, count, self._zones)) for one in range(self._zones))
        lease = FIGURES.lease_of(count)
        shares = Shares(count - 1, zone, count, by_zone, WINDOW_S, self._now, lease=lease)
        unix = self._unix(router)
        me = Claim(ident_of(name or f"router-{router.place}"), int(unix), 0, MemberState.ALIVE, zone)
        router.swarm = Swarm(me, shares, FIGURES, self._random.getrandbits(32), self._now, unix)
        if self._believing:
            router.swarm.gossip.__class__ = BelievingGossip
        router.swarm.begin(self._now)
        self._due(router, self._random.random() * 0.05)

    def _leave(self, router: Router, swarm: Swarm) -> None:
        if router.swarm is swarm:
            swarm.left(self._now)
            self._flush(router, swarm)
            router.swarm = None

    # -- the clock and the network --

    def _unix(self, router: Router) -> float:
        return EPOCH_MS + (self._now + router.skew) * 1000.0

    def _at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), call))

    def _due(self, router: Router, rest: float) -> None:
        if self._now + rest < router.due:
            router.due, swarm = self._now + rest, router.swarm
            self._at(router.due, lambda: self._tick(router, swarm))

    def _tick(self, router: Router, swarm: Swarm | None) -> None:
        if swarm is None or router.swarm is not swarm or self._now < router.due:
            return
        if router.stopped_until > self._now:
            self._at(router.stopped_until, lambda: self._tick(router, swarm))
            return
        swarm.tick(self._now, self._unix(router))
        self._flush(router, swarm)
        router.due = math.inf
        self._due(router, swarm.rest(self._now))

    def _flush(self, router: Router, swarm: Swarm) -> None:
        out, swarm.gossip.out = swarm.gossip.out, []
        for slot, datagram in out:
            data = encode(datagram)
            to = slot if slot < router.place else slot + 1
            digest = hashlib.sha256(data).hexdigest()[:16]
            self.lines.append(["sent", self._now, router.place, to, len(data), digest])
            self.kinds[str(int(decode(data).kind))] += 1
            self._carry(router.place, to, data)
        notes, swarm.gossip.notes = swarm.gossip.notes, []
        for note in notes:
            self.lines.append([NOTES[note.event], self._now, router.place])
            self.noted[NOTES[note.event]] += 1

    def _carry(self, source: int, to: int, data: bytes) -> None:
        chooser = self._random
        for _ in range(1 + (chooser.random() < 0.03)):
            if (source, to) not in self._cuts and chooser.random() >= 0.04:
                at = self._now + chooser.uniform(0.0025, 0.019)
                self._at(at, lambda: self._arrive(source, to, data))

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        router = self._routers[to]
        if router.stopped_until > self._now:
            self._at(router.stopped_until, lambda: self._arrive(source, to, data))
        elif router.swarm is not None:
            slot = source if source < to else source - 1
            router.swarm.heard(slot, decode(data), self._now, self._unix(router))
            self._flush(router, router.swarm)
            self._due(router, router.swarm.rest(self._now))
        elif (to, source) not in self._cuts:
            self._refuse(self._routers[source], to, data)

    def _refuse(self, router: Router, to: int, data: bytes) -> None:
        """Nobody has that address: tell the sender, if it is there."""
        number = number_of(data[:8])
        if router.swarm is not None and number is not None and router.stopped_until <= self._now:
            slot = to if to < router.place else to - 1
            router.swarm.refused(slot, number, self._now)
            self._flush(router, router.swarm)
            self._due(router, router.swarm.rest(self._now))

"""Seeded runs of gossiping routers over a simulated network that loses, delays, repeats and partitions.

Datagrams are recorded by a digest of their bytes. Shares and log events are recorded under neutral names,
which do not change with the names in the code.
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

from stonecove.gossip.claims import Claim, MemberState, format_member_id, ident_of
from stonecove.gossip.figures import GossipConfig
from stonecove.gossip.gossip import Gossip
from stonecove.gossip.shares import Shares, ShareState
from stonecove.gossip.status import answer
from stonecove.gossip.swarm import Swarm
from stonecove.protocols.gossip import decode, encode, parse_number

EPOCH_MS = 1_700_000_000_000.0
CONFIG = GossipConfig(
    probe_interval_s=0.2,
    ping_timeout_s=0.06,
    indirect_ping_count=3,
    suspicion_timeout_s=0.6,
    suspicion_max_multiple=2.0,
    confirmations=3,
    view_settle_s=0.3,
    view_settle_max_s=1.0,
    trust_refusals=True,
    lease_min_s=2.5,
)
WINDOW_S = 1.0
NEUTRAL_EVENT_NAMES = {  # by the name of the log event
    "gossip_view_changed": "view-changed",
    "gossip_member_changed": "member-changed",
    "gossip_stopped": "was-stopped",
    "gossip_suspected": "was-held-for-failed",
    "gossip_refuted": "suspicion-refuted",
    "gossip_generation_raised": "generation-raised",
    "gossip_name_conflict": "duplicate-name",
}


def describe_share(state: ShareState) -> list[Any]:
    """Return whether the router has joined, its usable fraction, and the counted routers: all and by zone."""
    return [state.joined, state.usable_fraction, state.counted_routers, list(state.counted_by_zone)]


class UnconfirmedGossip(Gossip):
    """Gossip that accepts each claim of FAILED at once, as the recorded version, commit ac9ef58, did."""

    def receive_claim(self, claim: Claim, sender: int, now: float) -> None:
        """Accept a claim without confirmation."""
        self.accept_claim(claim, now, f"told by {format_member_id(sender)}")


@dataclass(slots=True)
class Router:
    """One simulated router address; its processes use it one after the other."""

    index: int
    swarm: Swarm | None = None
    skew_s: float = 0.0  # added to its wall clock
    tick_at: float = math.inf
    paused_until: float = 0.0


class GossipFleet:
    """Routers on one simulated clock, and a network that loses, delays, repeats and partitions."""

    def __init__(self, seed: int, count: int, zones: int, accept_unconfirmed: bool) -> None:
        """Create routers that, with `accept_unconfirmed`, accept each claim of FAILED at once."""
        self._accept_unconfirmed = accept_unconfirmed
        self._random = random.Random(seed)
        self._zones = zones
        self._routers = [Router(index) for index in range(count)]
        self._cuts: set[tuple[int, int]] = set()
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.lines: list[list[Any]] = []  # datagrams and log events in order of occurrence
        self.datagram_kinds: Counter[str] = Counter()
        self.log_events: Counter[str] = Counter()

    def run(self, fault_s: float, quiet_s: float) -> None:
        """Start all routers, inject faults for `fault_s` seconds, then run `quiet_s` seconds without any."""
        for router in self._routers:
            self._start(router, 0.0)
        self._schedule(1.5, lambda: self._inject_fault(fault_s))
        self._schedule(0.1, self._record_shares)
        while self._queue and self._queue[0][0] <= fault_s + quiet_s:
            at, _, callback = heapq.heappop(self._queue)
            self._now = max(self._now, at)
            callback()
        self._now = fault_s + quiet_s

    def answers_at_end(self) -> list[Any]:
        """Return each router's answers to an operator: its view, its share, its members."""
        answers = []
        for router in self._routers:
            swarm = router.swarm
            if swarm is None:
                continue
            other = f"router-{(router.index + 1) % len(self._routers)}"
            questions = [["status"], ["history"], ["explain", other], ["explain", "none"], ["nothing"]]
            answers.append([self._ask(swarm, question) for question in questions])
        return answers

    def _ask(self, swarm: Swarm, question: list[str]) -> dict[str, Any]:
        """Return the answer to an operator's question, with one address for each slot of the router."""
        addresses = [(f"10.0.0.{slot}", 7000) for slot in range(len(self._routers) - 1)]
        return answer(question, swarm, "me", self._now, addresses, swarm.gossip.counts)

    def _record_shares(self) -> None:
        """Record the share on which each router acts."""
        for router in self._routers:
            if router.swarm is not None and router.paused_until <= self._now:
                share = describe_share(router.swarm.share_state(self._now))
                self.lines.append(["share", self._now, router.index, *share])
        self._schedule(self._now + 0.35, self._record_shares)

    # -- faults --

    def _inject_fault(self, until: float) -> None:
        rng = self._random
        if self._now >= until:
            self._cuts.clear()
            for router in self._routers:
                if router.swarm is None:
                    self._start(router, 0.0)
            return
        router = rng.choice(self._routers)
        swarm = router.swarm
        match rng.randrange(9):
            case 0 | 1 if swarm is None:
                self._start(router, rng.choice((0.0, 0.0, 2.0, -30.0)))
            case 0:
                router.swarm = None
            case 1:
                self._start(router, rng.choice((0.0, -30.0)))  # a new process at once
            case 2:
                router.paused_until = self._now + rng.uniform(0.1, 2.5)
            case 3:
                others = rng.sample(range(len(self._routers)), len(self._routers) // 2)
                self._cuts |= {(router.index, other) for other in others}
                if rng.random() < 0.7:
                    self._cuts |= {(other, router.index) for other in others}
            case 4 | 5:
                self._cuts.clear()
            case 6 if swarm is not None and router.paused_until <= self._now:
                swarm.announce_leaving(self._now)
                self._flush(router, swarm)
                self._schedule(self._now + 0.2, lambda: self._leave(router, swarm))
            case 7 if swarm is not None and router.paused_until <= self._now:
                question = ["gone", f"10.0.0.{rng.randrange(len(self._routers))}:7000"]
                self.lines.append(["answer", self._now, router.index, self._ask(swarm, question)])
                self._flush(router, swarm)
            case 8 if swarm is None:
                self._start(router, 0.0, f"router-{(router.index + 1) % len(self._routers)}")
        self._schedule(self._now + rng.uniform(0.1, 1.2), lambda: self._inject_fault(until))

    def _start(self, router: Router, skew_s: float, name: str = "") -> None:
        router.skew_s, router.paused_until, router.tick_at = skew_s, 0.0, math.inf
        count, zone = len(self._routers), router.index % self._zones
        routers_by_zone = tuple(len(range(number, count, self._zones)) for number in range(self._zones))
        lease_s = CONFIG.lease_duration_s(count)
        shares = Shares(count - 1, zone, count, routers_by_zone, WINDOW_S, self._now, lease_s=lease_s)
        unix_ms = self._unix_ms(router)
        own_claim = Claim(
            ident_of(name or f"router-{router.index}"), int(unix_ms), 0, MemberState.ALIVE, zone
        )
        router.swarm = Swarm(own_claim, shares, CONFIG, self._random.getrandbits(32), self._now, unix_ms)
        if self._accept_unconfirmed:
            router.swarm.gossip.__class__ = UnconfirmedGossip
        router.swarm.begin(self._now)
        self._schedule_tick(router, self._random.random() * 0.05)

    def _leave(self, router: Router, swarm: Swarm) -> None:
        if router.swarm is swarm:
            swarm.announce_left(self._now)
            self._flush(router, swarm)
            router.swarm = None

    # -- the clock and the network --

    def _unix_ms(self, router: Router) -> float:
        return EPOCH_MS + (self._now + router.skew_s) * 1000.0

    def _schedule(self, at: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._order), callback))

    def _schedule_tick(self, router: Router, delay_s: float) -> None:
        if self._now + delay_s < router.tick_at:
            router.tick_at, swarm = self._now + delay_s, router.swarm
            self._schedule(router.tick_at, lambda: self._tick(router, swarm))

    def _tick(self, router: Router, swarm: Swarm | None) -> None:
        if swarm is None or router.swarm is not swarm or self._now < router.tick_at:
            return
        if router.paused_until > self._now:
            self._schedule(router.paused_until, lambda: self._tick(router, swarm))
            return
        swarm.tick(self._now, self._unix_ms(router))
        self._flush(router, swarm)
        router.tick_at = math.inf
        self._schedule_tick(router, swarm.tick_delay_s(self._now))

    def _flush(self, router: Router, swarm: Swarm) -> None:
        outgoing, swarm.gossip.outgoing = swarm.gossip.outgoing, []
        for slot, datagram in outgoing:
            data = encode(datagram)
            target = slot if slot < router.index else slot + 1
            digest = hashlib.sha256(data).hexdigest()[:16]
            self.lines.append(["sent", self._now, router.index, target, len(data), digest])
            self.datagram_kinds[str(int(decode(data).kind))] += 1
            self._transmit(router.index, target, data)
        notes, swarm.gossip.notes = swarm.gossip.notes, []
        for note in notes:
            self.lines.append([NEUTRAL_EVENT_NAMES[note.event], self._now, router.index])
            self.log_events[NEUTRAL_EVENT_NAMES[note.event]] += 1

    def _transmit(self, source: int, target: int, data: bytes) -> None:
        rng = self._random
        for _ in range(1 + (rng.random() < 0.03)):
            if (source, target) not in self._cuts and rng.random() >= 0.04:
                at = self._now + rng.uniform(0.0025, 0.019)
                self._schedule(at, lambda: self._deliver(source, target, data))

    def _deliver(self, source: int, target: int, data: bytes) -> None:
        router = self._routers[target]
        if router.paused_until > self._now:
            self._schedule(router.paused_until, lambda: self._deliver(source, target, data))
        elif router.swarm is not None:
            slot = source if source < target else source - 1
            router.swarm.receive(slot, decode(data), self._now, self._unix_ms(router))
            self._flush(router, router.swarm)
            self._schedule_tick(router, router.swarm.tick_delay_s(self._now))
        elif (target, source) not in self._cuts:
            self._refuse(self._routers[source], target, data)

    def _refuse(self, router: Router, target: int, data: bytes) -> None:
        """Notify the sender, if it runs, that no process has that address."""
        number = parse_number(data[:8])
        if router.swarm is not None and number is not None and router.paused_until <= self._now:
            slot = target if target < router.index else target - 1
            router.swarm.receive_refusal(slot, number, self._now)
            self._flush(router, router.swarm)
            self._schedule_tick(router, router.swarm.tick_delay_s(self._now))

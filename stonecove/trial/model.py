"""Simulates many gossip members on one clock, with a network that loses, delays, duplicates and partitions.

The decisions are the program's own: each router runs a `Swarm`, and its datagrams are encoded by
`protocols.gossip`. Time advances from one scheduled event to the next. After each tick the shares that
routers act upon are summed over the window of the rule; `max_share_sum` keeps the largest sum.
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
    """One router address, used by successive processes; `swarm` belongs to the current one, if any."""

    index: int
    swarm: Swarm | None = None
    started_at: float = 0.0
    next_tick_at: float = math.inf
    skew: float = 0.0  # clock error in seconds
    suspended_until: float = 0.0
    undelivered: list[tuple[int, bytes, bool]] = field(default_factory=list)  # received while it is suspended
    # By pool (zone, or None for parents): descending maxima of recent shares as (valid until, share).
    shares: dict[int | None, deque[tuple[float, float]]] = field(default_factory=dict)


class SwarmModel:
    """A simulated fleet; `cuts` holds pairs whose datagrams are dropped, `network` applies to all others."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        zones: int = 1,
        window: float = 3.0,
        config: GossipConfig | None = None,
    ) -> None:
        """Create the routers without starting them; they are assigned to zones round-robin."""
        self.now = 0.0
        self.window = window
        self.network = NetworkConditions()
        self.cuts: set[tuple[int, int]] = set()
        self.random = random.Random(seed)
        self.config = config or GossipConfig()
        self.zones = zones
        self.routers = [SimulatedRouter(router_index) for router_index in range(count)]
        self.sent = 0
        self.max_share_sum = 0.0
        self.notes: list[tuple[float, int, str, dict[str, object]]] = []
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        # Recent shares of processes that have ended, by pool.
        self._ended_shares: list[tuple[int | None, deque[tuple[float, float]]]] = []
        self._shares_recorded_at = -1.0

    # -- actions of a schedule --

    def start(self, router_index: int, name: str = "", skew: float = 0.0) -> None:
        """Start a process at that address; `skew`: clock error in seconds."""
        router = self.routers[router_index]
        if router.swarm is not None:
            self.kill(router_index)
        router.skew = skew
        unix_ms = self._unix_ms(router)
        routers_by_zone = [len(range(zone, len(self.routers), self.zones)) for zone in range(self.zones)]
        shares = Shares(
            len(self.routers) - 1,
            router_index % self.zones,
            len(self.routers),
            tuple(routers_by_zone),
            self.window,
            self.now,
            lease_s=self.config.lease_duration_s(len(self.routers)),
        )
        own_claim = Claim(
            ident_of(name or f"router-{router_index}"),
            int(unix_ms),
            0,
            MemberState.ALIVE,
            router_index % self.zones,
        )
        router.swarm = Swarm(own_claim, shares, self.config, self.random.getrandbits(32), self.now, unix_ms)
        router.started_at, router.suspended_until, router.undelivered, router.next_tick_at = (
            self.now,
            0.0,
            [],
            math.inf,
        )
        self._schedule_tick(router, self.random.random() * TICK_S)

    def kill(self, router_index: int) -> None:
        """End the process without notice; its address refuses datagrams from now on."""
        router = self.routers[router_index]
        router.swarm = None
        self._ended_shares += router.shares.items()
        router.shares = {}

    def suspend(self, router_index: int, seconds: float) -> None:
        """Suspend the process for `seconds`, as SIGSTOP does."""
        self.routers[router_index].suspended_until = self.now + seconds

    def cut(self, sources: Iterable[int], targets: Iterable[int], both: bool = True) -> None:
        """Drop datagrams from `sources` to `targets`; with `both`, those of the other direction, too."""
        targets = list(targets)
        for source in sources:
            for target in targets:
                self.cuts.add((source, target))
                if both:
                    self.cuts.add((target, source))

    def run(self, seconds: float, each: Callable[[], None] | None = None) -> None:
        """Advance the time by `seconds`; call `each` every TICK_S."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            due_at, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, due_at)
            call()
            if self.now >= self._shares_recorded_at + TICK_S:
                self._shares_recorded_at = self.now
                self._record_shares()
                if each is not None:
                    each()
        self.now = end

    def until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Advance the time until the condition holds; return the seconds taken, or infinity on timeout."""
        started_at = self.now
        while self.now < started_at + timeout_s:
            if condition():
                return self.now - started_at
            self.run(TICK_S)
        return math.inf

    # -- observation --

    def running_routers(self) -> list[SimulatedRouter]:
        """Return the routers that run and are not suspended."""
        return [
            router
            for router in self.routers
            if router.swarm is not None and router.suspended_until <= self.now
        ]

    def state_of(self, of: int, by: int) -> str:
        """Return the state of router `of` in the member table of router `by`."""
        swarm = self.routers[by].swarm
        member = swarm.gossip.table.get(ident_of(f"router-{of}")) if swarm is not None else None
        return "unknown" if member is None else member.status_name(self.now)

    def known_ended(self, router_index: int) -> bool:
        """Return whether all other running routers consider that router failed or ended."""
        ident = ident_of(f"router-{router_index}")
        return all(
            (member := router.swarm.gossip.table.get(ident)) is not None
            and (member.claim.state is MemberState.FAILED or has_ended(member.claim.state))
            for router in self.running_routers()
            if router.swarm is not None and router.index != router_index
        )

    def joined(self) -> bool:
        """Return whether all running routers have their full share."""
        return all(
            router.swarm.share_state(self.now).joined
            for router in self.running_routers()
            if router.swarm is not None
        )

    def shares(self) -> float:
        """Return the sum of the shares in use, as a fraction of a parent cache's capacity."""
        return sum(
            router.swarm.share_state(self.now).share()
            for router in self.running_routers()
            if router.swarm is not None
        )

    # -- implementation --

    def _unix_ms(self, router: SimulatedRouter) -> float:
        return EPOCH + (self.now + router.skew) * 1000.0

    def _schedule(self, due_at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (due_at, next(self._order), call))

    def _schedule_tick(self, router: SimulatedRouter, delay_s: float) -> None:
        """Schedule the next tick after `delay_s`, unless one is due earlier."""
        if self.now + delay_s < router.next_tick_at:
            router.next_tick_at, swarm = self.now + delay_s, router.swarm
            self._schedule(router.next_tick_at, lambda: self._tick(router, swarm))

    def _tick(self, router: SimulatedRouter, swarm: Swarm | None) -> None:
        if swarm is None or router.swarm is not swarm or self.now < router.next_tick_at:
            return
        if router.suspended_until > self.now:
            self._schedule(router.suspended_until, lambda: self._tick(router, swarm))
            return
        received, router.undelivered = router.undelivered, []
        for slot, data, refused in received:
            self._process(router, swarm, slot, data, refused)
        swarm.tick(self.now, self._unix_ms(router))
        self._send_outgoing(router, swarm)
        router.next_tick_at = math.inf
        self._schedule_tick(router, swarm.tick_delay_s(self.now))

    def _process(self, router: SimulatedRouter, swarm: Swarm, slot: int, data: bytes, refused: bool) -> None:
        if refused:
            number = parse_number(data)
            if number is not None:
                swarm.receive_refusal(slot, number, self.now)
        else:
            swarm.receive(slot, decode(data), self.now, self._unix_ms(router))

    def _send_outgoing(self, router: SimulatedRouter, swarm: Swarm) -> None:
        outgoing, swarm.gossip.outgoing = swarm.gossip.outgoing, []
        for slot, datagram in outgoing:
            self._transmit(router.index, slot if slot < router.index else slot + 1, encode(datagram))
        notes, swarm.gossip.notes = swarm.gossip.notes, []
        self.notes += [(self.now, router.index, note.event, note.fields) for note in notes]

    def _transmit(self, source: int, target: int, data: bytes) -> None:
        self.sent += 1
        for _ in range(1 + (self.random.random() < self.network.repeat)):
            if (source, target) not in self.cuts and self.random.random() >= self.network.lose:
                arrival = self.now + self.random.uniform(*self.network.delay)
                self._schedule(arrival, lambda: self._arrive(source, target, data))

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        router = self.routers[target]
        if router.swarm is None:
            sender = self.routers[source]
            if sender.swarm is not None and (target, source) not in self.cuts:
                self._deliver(sender, target, data, True)
            return
        self._deliver(router, source, data, False)

    def _deliver(self, router: SimulatedRouter, peer_index: int, data: bytes, refused: bool) -> None:
        slot = peer_index if peer_index < router.index else peer_index - 1
        if router.suspended_until > self.now or router.swarm is None:
            router.undelivered.append((slot, data, refused))
            return
        self._process(router, router.swarm, slot, data, refused)
        self._send_outgoing(router, router.swarm)
        self._schedule_tick(router, router.swarm.tick_delay_s(self.now))

    def _record_shares(self) -> None:
        """Sum the largest recent share of each address: what could be sent within one window."""
        self._ended_shares = [
            (pool, maxima) for pool, maxima in self._ended_shares if maxima and maxima[-1][0] > self.now
        ]
        for pool in (None, *range(self.zones)):
            total = 0.0
            for ended_pool, maxima in self._ended_shares:
                while ended_pool == pool and maxima[0][0] <= self.now:
                    maxima.popleft()
                total += maxima[0][1] if ended_pool == pool else 0.0
            for router in self.routers:
                if pool is not None and router.index % self.zones != pool:
                    continue
                maxima = router.shares.setdefault(pool, deque())
                if router.swarm is not None and router.suspended_until <= self.now:
                    share = router.swarm.share_state(self.now).share(pool)
                    while maxima and maxima[-1][1] <= share:
                        maxima.pop()
                    maxima.append((self.now + self.window, share))
                while maxima and maxima[0][0] <= self.now:
                    maxima.popleft()
                total += maxima[0][1] if maxima else 0.0
            self.max_share_sum = max(self.max_share_sum, total)

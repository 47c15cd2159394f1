"""State machine of the gossip swarm: several real `Swarm`s with faults between them.

The network and the clock are simulated. A `wait` is a number of ticks of all routers in which their datagrams
are delivered; faults happen between two waits.
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from stonecove.explore.fleet import Machine
from stonecove.gossip.claims import Claim, Datagram, MemberState, has_ended, ident_of
from stonecove.gossip.figures import GossipConfig
from stonecove.gossip.shares import Shares
from stonecove.gossip.swarm import Swarm
from stonecove.protocols.gossip import decode, encode

WINDOW_S, TICK_S, EPOCH_MS = 1.0, 0.25, 1_700_000_000_000.0
FIGURES = GossipConfig(
    probe_interval_s=0.75, ping_timeout_s=0.05, suspicion_timeout_s=0.5, suspicion_max_multiple=1.5,
    view_settle_s=0.5, view_settle_max_s=1.0, lease_min_s=1.5,
)  # fmt: skip
SETTLE_S = 30.0  # seconds within which the swarm recovers after the last fault
MAX_ROUNDS = 6  # maximum message rounds within one tick


class SwarmBounds(NamedTuple):
    """Bounds of a scope: search depth, number of faults and kinds of steps."""

    name: str
    depth: int
    faults: int
    kinds: tuple[str, ...]
    routers: int = 3
    ticks: int = 2  # per wait


SCOPES: tuple[SwarmBounds, ...] = (
    SwarmBounds("swarm-lives", 7, 2, ("kill", "back"), routers=2),
    SwarmBounds("swarm-words", 5, 2, ("kill", "hold", "again", "lose"), routers=2),
    SwarmBounds("swarm-part", 7, 1, ("part",), ticks=16),
    SwarmBounds("swarm-lost", 5, 2, ("part", "kill"), ticks=6),
    SwarmBounds("swarm-cuts", 4, 2, ("cut", "kill"), ticks=6),
    SwarmBounds("swarm-stops", 4, 2, ("stop", "kill", "part"), ticks=8),
)


# Scopes added later; they are left out of the names listed for an unknown scope, since that list is fixed.
LATER_SCOPES: tuple[SwarmBounds, ...] = (SwarmBounds("swarm-halves", 7, 1, ("halves",), routers=6, ticks=8),)


class SwarmMachine(Machine):
    """A swarm of routers; in the initial state all have joined."""

    def __init__(self, bounds: SwarmBounds) -> None:
        """Start all routers and wait until they have joined."""
        super().__init__()
        self.bounds = bounds
        self.faults = bounds.faults
        self.now = 0.0
        self.routers: list[Swarm | None] = [None] * bounds.routers
        self.starts = 0
        self.stopped: dict[int, list[tuple[int, Datagram]]] = {}  # datagrams queued for each stopped router
        self.cuts: set[tuple[int, int]] = set()
        self.ever_cut: set[tuple[int, int]] = set()
        self.delayed: list[tuple[int, int, Datagram]] = []  # source, target, datagram
        self.last_delivered: list[tuple[int, int, Datagram]] = []  # delivered within the last wait
        # Fault ("hold" or "lose") of one router's datagrams during the next wait.
        self.datagram_fault: tuple[str, int] | None = None
        self.shares = [deque[tuple[float, float]]() for _ in range(bounds.routers)]
        self.ended_shares: list[deque[tuple[float, float]]] = []  # shares of ended incarnations
        self.dead_since: dict[int, float] = {}
        for index in range(bounds.routers):
            self._start(index, 0.0)
        for _ in range(12):
            self._wait(2)

    def enabled(self) -> list[str]:
        """Return the steps that are possible in the current state."""
        steps, indexes = ["wait"], range(self.bounds.routers)
        steps += [f"start {index}" for index in indexes if self.routers[index] is None]
        steps += [f"go {index}" for index in sorted(self.stopped)]
        steps += ["heal"] * bool(self.cuts) + ["late"] * bool(self.delayed)
        if not self.faults or self.datagram_fault is not None:
            return steps
        kinds, alive = self.bounds.kinds, [p for p in indexes if self.routers[p] is not None]
        steps += [f"kill {index}" for index in alive if "kill" in kinds]
        steps += [f"back {index}" for index in indexes if "back" in kinds and self.routers[index] is None]
        steps += [f"stop {index}" for index in alive if "stop" in kinds and index not in self.stopped]
        steps += [f"part {index}" for index in indexes if "part" in kinds]
        steps += ["halves"] * ("halves" in kinds and not self.cuts)
        if "cut" in kinds:
            steps += [f"cut {a} {b}" for a in indexes for b in indexes if a != b and (a, b) not in self.cuts]
        steps += [f"{kind} {index}" for kind in ("hold", "lose") if kind in kinds for index in indexes]
        if "again" in kinds and self.last_delivered:
            steps.append("again")
        return steps

    def do(self, step: str) -> None:
        """Execute `step` and check the invariants."""
        action, *numbers = step.split(" ")
        args = [int(number) for number in numbers]
        self.faults -= action in ("kill", "back", "stop", "part", "halves", "cut", "hold", "lose", "again")
        match action:
            case "wait":
                self._wait(self.bounds.ticks)
            case "start" | "back":
                self._start(args[0], -60.0 if action == "back" else 0.0)
            case "kill":
                self.routers[args[0]] = None
                self.stopped.pop(args[0], None)
                self.dead_since[args[0]] = self.now
                self.ended_shares.append(self.shares[args[0]])
                self.shares[args[0]] = deque()
            case "stop":
                self.stopped[args[0]] = []
            case "go":
                self._resume(args[0])
            case "cut":
                self.cuts.add((args[0], args[1]))
            case "part":
                for other in range(self.bounds.routers):
                    self.cuts |= {(args[0], other), (other, args[0])}
            case "halves":
                half = self.bounds.routers // 2
                self.cuts |= {
                    (first, other)
                    for first in range(self.bounds.routers)
                    for other in range(self.bounds.routers)
                    if (first < half) != (other < half)
                }
            case "heal":
                self.cuts.clear()
            case "hold" | "lose":
                self.datagram_fault = action, args[0]
            case "late":
                datagrams, self.delayed = self.delayed, []
                for source, target, datagram in datagrams:
                    self._receive(source, target, datagram)
                self._deliver()
            case "again":
                for source, target, datagram in list(self.last_delivered):
                    self._receive(source, target, datagram)
                self._deliver()
        self.ever_cut |= self.cuts
        self._check_invariants()

    def settle(self) -> None:
        """End all faults; check that the routers agree and that shares are restored."""
        for index in list(self.stopped):
            self._resume(index)
        self.cuts.clear()
        self.datagram_fault = None
        survivors = [index for index, router in enumerate(self.routers) if router is not None]
        for _ in range(round(SETTLE_S / TICK_S / 2)):
            self._wait(1)
        for index, router in enumerate(self.routers):
            if router is None:
                for observer_index in survivors:
                    self._check_knows_ended(observer_index, index)
                self._start(index, 0.0)
        for _ in range(round(SETTLE_S / TICK_S / 2)):
            self._wait(1)
        routers = [router for router in self.routers if router is not None]
        for router in routers:
            for member in router.gossip.table:
                if member.slot is not None and member.claim.state is not MemberState.ALIVE:
                    self.report_violation("swarm-denied", f"{member.claim} is wrong: the router is alive")
        if len({router.gossip.views.current[:2] for router in routers}) > 1:
            self.report_violation(
                "swarm-agree",
                f"views differ: {[tuple(peer.gossip.views.current[:2]) for peer in routers]}",
            )
        total = sum(router.share_state(self.now).share() for router in routers)
        if total < 1.0 - 1e-9:
            self.report_violation("share-back", f"shares add up to only {total:.3f} after settling")

    def _check_knows_ended(self, observer_index: int, ended_index: int) -> None:
        router = self.routers[observer_index]
        member = router.gossip.table.get(ident_of(f"r{ended_index}")) if router is not None else None
        if member is not None and not has_ended(member.claim.state):
            self.report_violation(
                "swarm-known",
                f"router {observer_index} considers {ended_index} {member.claim.state.name.lower()}, "
                f"which ended {self.now - self.dead_since[ended_index]:.1f} s ago",
            )

    # -- internals --

    def _unix(self, index: int) -> float:
        return EPOCH_MS + self.now * 1000.0

    def _start(self, index: int, skew_s: float) -> None:
        self.starts += 1
        count = self.bounds.routers
        shares = Shares(
            count - 1, 0, count, (count,), WINDOW_S, self.now, lease_s=FIGURES.lease_duration_s(count)
        )
        unix = self._unix(index) + skew_s * 1000.0
        own_claim = Claim(ident_of(f"r{index}"), int(unix), 0, MemberState.ALIVE, 0)
        self.routers[index] = Swarm(own_claim, shares, FIGURES, self.starts, self.now, self._unix(index))
        self.dead_since.pop(index, None)

    def _resume(self, index: int) -> None:
        waiting = self.stopped.pop(index)
        self._check_invariants()  # it may act before it has read the clock
        for source, datagram in waiting:
            self._receive(source, index, datagram)
        self._deliver()

    def _wait(self, ticks: int) -> None:
        self.last_delivered = []
        for _ in range(ticks):
            self.now += TICK_S
            for index, router in enumerate(self.routers):
                if router is not None and index not in self.stopped:
                    router.tick(self.now, self._unix(index))
            self._deliver()
            self._check_invariants()
        self.datagram_fault = None

    def _deliver(self) -> None:
        for _ in range(MAX_ROUNDS):
            outgoing_datagrams = [
                (index, slot if slot < index else slot + 1, datagram)
                for index, router in enumerate(self.routers) if router is not None
                for slot, datagram in router.gossip.outgoing
            ]  # fmt: skip
            for router in self.routers:
                if router is not None:
                    router.gossip.outgoing, router.gossip.notes = [], []
            for source, target, datagram in outgoing_datagrams:
                if self.datagram_fault is not None and self.datagram_fault[1] == source:
                    if self.datagram_fault[0] == "hold":
                        self.delayed.append((source, target, datagram))
                    continue
                if (source, target) not in self.cuts:
                    self.last_delivered.append((source, target, datagram))
                    self._receive(source, target, datagram)

    def _receive(self, source: int, target: int, datagram: Datagram) -> None:
        router, sender = self.routers[target], self.routers[source]
        if router is None:
            if sender is not None and (target, source) not in self.cuts and source not in self.stopped:
                sender.receive_refusal(target if target < source else target - 1, datagram.number, self.now)
        elif target in self.stopped:
            self.stopped[target].append((source, datagram))
        else:
            slot = source if source < target else source - 1
            router.receive(slot, decode(encode(datagram)), self.now, self._unix(target))

    def _check_invariants(self) -> None:
        self.ended_shares = [
            recent_shares
            for recent_shares in self.ended_shares
            if recent_shares and recent_shares[-1][0] > self.now
        ]
        total = 0.0
        for index, recent_shares in enumerate([*self.shares, *self.ended_shares]):
            router = self.routers[index] if index < len(self.routers) else None
            if router is not None and index not in self.stopped:
                share = router.share_state(self.now).share()
                while recent_shares and recent_shares[-1][1] <= share:
                    recent_shares.pop()
                recent_shares.append((self.now + WINDOW_S, share))
            while recent_shares and recent_shares[0][0] <= self.now:
                recent_shares.popleft()
            total += recent_shares[0][1] if recent_shares else 0.0
        self._check_reachable()
        if total > 1.0 + 1e-9:
            self.report_violation("share-sum", f"within {WINDOW_S:g} s the shares add up to {total:.3f}")

    def _check_reachable(self) -> None:
        """Check that no router considers a running router failed that it could always reach."""
        if "halves" not in self.bounds.kinds:
            return
        for observer_index, router in enumerate(self.routers):
            for index, other in enumerate(self.routers):
                if router is None or other is None or observer_index == index:
                    continue
                member = router.gossip.table.get(ident_of(f"r{index}"))
                was_cut = (observer_index, index) in self.ever_cut or (index, observer_index) in self.ever_cut
                if member is not None and member.claim.state is MemberState.FAILED and not was_cut:
                    self.report_violation(
                        "swarm-in-reach",
                        f"router {observer_index} considers {index} failed, but can reach it",
                    )

    def encode(self) -> bytes:
        """Return the complete pickled state; equal states may differ, but distinct ones never match."""
        parts = {name: value for name, value in vars(self).items() if name not in ("violations", "bounds")}
        return pickle.dumps(parts, 4)


def starter(bounds: SwarmBounds) -> Callable[[], SwarmMachine]:
    """Return a factory of machines in their initial state."""
    return partial(SwarmMachine, bounds)

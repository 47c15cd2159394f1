"""The machine of the swarm: some real `Swarm`s, with all that may come between them.

Made up are the wire and the clock. A `wait` is some ticks of all routers, with all that they say to each
other delivered; what may go wrong comes between two waits.
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

WINDOW, TICK, EPOCH = 1.0, 0.25, 1_700_000_000_000.0
FIGURES = GossipConfig(
    probe_interval_s=0.75, ping_timeout_s=0.05, suspicion_timeout_s=0.5, suspicion_max_multiple=1.5,
    view_settle_s=0.5, view_settle_max_s=1.0, lease_min_s=1.5,
)  # fmt: skip
SETTLES = 30.0  # seconds within which all is well again, once nothing is wrong any more
ROUNDS = 6  # of answers to answers within one tick


class SwarmBounds(NamedTuple):
    """How much of what may happen."""

    name: str
    depth: int
    faults: int
    kinds: tuple[str, ...]
    routers: int = 3
    ticks: int = 2  # in a wait


SCOPES: tuple[SwarmBounds, ...] = (
    SwarmBounds("swarm-lives", 7, 2, ("kill", "back"), routers=2),
    SwarmBounds("swarm-words", 5, 2, ("kill", "hold", "again", "lose"), routers=2),
    SwarmBounds("swarm-part", 7, 1, ("part",), ticks=16),
    SwarmBounds("swarm-lost", 5, 2, ("part", "kill"), ticks=6),
    SwarmBounds("swarm-cuts", 4, 2, ("cut", "kill"), ticks=6),
    SwarmBounds("swarm-stops", 4, 2, ("stop", "kill", "part"), ticks=8),
)


# Scopes that came after the list of names that an unknown one is answered with, which stays as it is.
LATER_SCOPES: tuple[SwarmBounds, ...] = (SwarmBounds("swarm-halves", 7, 1, ("halves",), routers=6, ticks=8),)


class SwarmMachine(Machine):
    """Routers that have all joined, at first."""

    def __init__(self, bounds: SwarmBounds) -> None:
        super().__init__()
        self.bounds = bounds
        self.faults = bounds.faults
        self.now = 0.0
        self.routers: list[Swarm | None] = [None] * bounds.routers
        self.starts = 0
        self.stopped: dict[int, list[tuple[int, Datagram]]] = {}  # and what waits for them
        self.cuts: set[tuple[int, int]] = set()
        self.ever_cut: set[tuple[int, int]] = set()
        self.held: list[tuple[int, int, Datagram]] = []  # on its way for long
        self.last: list[tuple[int, int, Datagram]] = []  # delivered within the last wait
        self.mood: tuple[str, int] | None = None  # what becomes of one router's datagrams in the next wait
        self.shares = [deque[tuple[float, float]]() for _ in range(bounds.routers)]
        self.past: list[deque[tuple[float, float]]] = []  # the same of lives that have ended
        self.dead_since: dict[int, float] = {}
        for place in range(bounds.routers):
            self._start(place, 0.0)
        for _ in range(12):
            self._wait(2)

    def enabled(self) -> list[str]:
        """What may happen now."""
        steps, places = ["wait"], range(self.bounds.routers)
        steps += [f"start {place}" for place in places if self.routers[place] is None]
        steps += [f"go {place}" for place in sorted(self.stopped)]
        steps += ["heal"] * bool(self.cuts) + ["late"] * bool(self.held)
        if not self.faults or self.mood is not None:
            return steps
        kinds, alive = self.bounds.kinds, [p for p in places if self.routers[p] is not None]
        steps += [f"kill {place}" for place in alive if "kill" in kinds]
        steps += [f"back {place}" for place in places if "back" in kinds and self.routers[place] is None]
        steps += [f"stop {place}" for place in alive if "stop" in kinds and place not in self.stopped]
        steps += [f"part {place}" for place in places if "part" in kinds]
        steps += ["halves"] * ("halves" in kinds and not self.cuts)
        if "cut" in kinds:
            steps += [f"cut {a} {b}" for a in places for b in places if a != b and (a, b) not in self.cuts]
        steps += [f"{kind} {place}" for kind in ("hold", "lose") if kind in kinds for place in places]
        if "again" in kinds and self.last:
            steps.append("again")
        return steps

    def do(self, step: str) -> None:
        """Takes a step."""
        word, *numbers = step.split(" ")
        args = [int(number) for number in numbers]
        self.faults -= word in ("kill", "back", "stop", "part", "halves", "cut", "hold", "lose", "again")
        match word:
            case "wait":
                self._wait(self.bounds.ticks)
            case "start" | "back":
                self._start(args[0], -60.0 if word == "back" else 0.0)
            case "kill":
                self.routers[args[0]] = None
                self.stopped.pop(args[0], None)
                self.dead_since[args[0]] = self.now
                self.past.append(self.shares[args[0]])
                self.shares[args[0]] = deque()
            case "stop":
                self.stopped[args[0]] = []
            case "go":
                self._go(args[0])
            case "cut":
                self.cuts.add((args[0], args[1]))
            case "part":
                for other in range(self.bounds.routers):
                    self.cuts |= {(args[0], other), (other, args[0])}
            case "halves":
                half = self.bounds.routers // 2
                self.cuts |= {
                    (one, other)
                    for one in range(self.bounds.routers)
                    for other in range(self.bounds.routers)
                    if (one < half) != (other < half)
                }
            case "heal":
                self.cuts.clear()
            case "hold" | "lose":
                self.mood = word, args[0]
            case "late":
                held, self.held = self.held, []
                for source, to, datagram in held:
                    self._arrive(source, to, datagram)
                self._deliver()
            case "again":
                for source, to, datagram in list(self.last):
                    self._arrive(source, to, datagram)
                self._deliver()
        self.ever_cut |= self.cuts
        self._look()

    def settle(self) -> None:
        """Nothing is wrong any more: all have all of it again, and agree."""
        for place in list(self.stopped):
            self._go(place)
        self.cuts.clear()
        self.mood = None
        alone = [place for place, router in enumerate(self.routers) if router is not None]
        for _ in range(round(SETTLES / TICK / 2)):
            self._wait(1)
        for place, router in enumerate(self.routers):
            if router is None:
                for by in alone:
                    self._knows(by, place)
                self._start(place, 0.0)
        for _ in range(round(SETTLES / TICK / 2)):
            self._wait(1)
        routers = [router for router in self.routers if router is not None]
        for router in routers:
            for member in router.gossip.table:
                if member.slot is not None and member.claim.state is not MemberState.ALIVE:
                    self.broken("swarm-denied", f"{member.claim} is held for what it is not")
        if len({router.gossip.views.current[:2] for router in routers}) > 1:
            self.broken("swarm-agree", f"views {[tuple(one.gossip.views.current[:2]) for one in routers]}")
        total = sum(router.share_state(self.now).share() for router in routers)
        if total < 1.0 - 1e-9:
            self.broken("share-back", f"shares add up to {total:.3f} for good")

    def _knows(self, by: int, dead: int) -> None:
        router = self.routers[by]
        member = router.gossip.table.get(ident_of(f"r{dead}")) if router is not None else None
        if member is not None and not has_ended(member.claim.state):
            self.broken(
                "swarm-known",
                f"router {by} holds {dead} for {member.claim.state.name.lower()}, "
                f"which ended {self.now - self.dead_since[dead]:.1f} s ago",
            )

    # -- within --

    def _unix(self, place: int) -> float:
        return EPOCH + self.now * 1000.0

    def _start(self, place: int, skew: float) -> None:
        self.starts += 1
        count = self.bounds.routers
        shares = Shares(
            count - 1, 0, count, (count,), WINDOW, self.now, lease_s=FIGURES.lease_duration_s(count)
        )
        unix = self._unix(place) + skew * 1000.0
        me = Claim(ident_of(f"r{place}"), int(unix), 0, MemberState.ALIVE, 0)
        self.routers[place] = Swarm(me, shares, FIGURES, self.starts, self.now, self._unix(place))
        self.dead_since.pop(place, None)

    def _go(self, place: int) -> None:
        waiting = self.stopped.pop(place)
        self._look()  # it may act before it has looked at the clock
        for source, datagram in waiting:
            self._arrive(source, place, datagram)
        self._deliver()

    def _wait(self, ticks: int) -> None:
        self.last = []
        for _ in range(ticks):
            self.now += TICK
            for place, router in enumerate(self.routers):
                if router is not None and place not in self.stopped:
                    router.tick(self.now, self._unix(place))
            self._deliver()
            self._look()
        self.mood = None

    def _deliver(self) -> None:
        for _ in range(ROUNDS):
            going = [
                (place, slot if slot < place else slot + 1, datagram)
                for place, router in enumerate(self.routers) if router is not None
                for slot, datagram in router.gossip.outgoing
            ]  # fmt: skip
            for router in self.routers:
                if router is not None:
                    router.gossip.outgoing, router.gossip.notes = [], []
            for source, to, datagram in going:
                if self.mood is not None and self.mood[1] == source:
                    if self.mood[0] == "hold":
                        self.held.append((source, to, datagram))
                    continue
                if (source, to) not in self.cuts:
                    self.last.append((source, to, datagram))
                    self._arrive(source, to, datagram)

    def _arrive(self, source: int, to: int, datagram: Datagram) -> None:
        router, sender = self.routers[to], self.routers[source]
        if router is None:
            if sender is not None and (to, source) not in self.cuts and source not in self.stopped:
                sender.receive_refusal(to if to < source else to - 1, datagram.number, self.now)
        elif to in self.stopped:
            self.stopped[to].append((source, datagram))
        else:
            slot = source if source < to else source - 1
            router.receive(slot, decode(encode(datagram)), self.now, self._unix(to))

    def _look(self) -> None:
        self.past = [kept for kept in self.past if kept and kept[-1][0] > self.now]
        total = 0.0
        for place, kept in enumerate([*self.shares, *self.past]):
            router = self.routers[place] if place < len(self.routers) else None
            if router is not None and place not in self.stopped:
                share = router.share_state(self.now).share()
                while kept and kept[-1][1] <= share:
                    kept.pop()
                kept.append((self.now + WINDOW, share))
            while kept and kept[0][0] <= self.now:
                kept.popleft()
            total += kept[0][1] if kept else 0.0
        self._look_within_reach()
        if total > 1.0 + 1e-9:
            self.broken("share-sum", f"within {WINDOW:g} s the shares add up to {total:.3f}")

    def _look_within_reach(self) -> None:
        """Check that no router holds for failed a running one from which it was never cut off."""
        if "halves" not in self.bounds.kinds:
            return
        for by, router in enumerate(self.routers):
            for place, other in enumerate(self.routers):
                if router is None or other is None or by == place:
                    continue
                member = router.gossip.table.get(ident_of(f"r{place}"))
                apart = (by, place) in self.ever_cut or (place, by) in self.ever_cut
                if member is not None and member.claim.state is MemberState.FAILED and not apart:
                    self.broken("swarm-in-reach", f"router {by} holds {place} for failed, and reaches it")

    def encode(self) -> bytes:
        """The whole state as it is: few states meet, and none is taken for another."""
        parts = {name: value for name, value in vars(self).items() if name not in ("violations", "bounds")}
        return pickle.dumps(parts, 4)


def starter(bounds: SwarmBounds) -> Callable[[], SwarmMachine]:
    """What starts a machine."""
    return partial(SwarmMachine, bounds)

"""Which part of what a cold node bears this router may use; the sum over all routers never exceeds 1.

There are N routers at the most (the settings, or the list of peers where that is longer), each at a *slot*:
its address in the list. Every router i keeps C_i, the slots that it counts, and acts on

    joined and leased:   (1 - own x (N - |C_i|) / N) / |C_i|      of the rule
    else:                own / N, once `window` has passed since its start; before that, nothing

Rules:

1. C_i holds all slots at first. A slot leaves C_i `window` after it was *proven* that the last life heard
   there is over: its address refused what was sent after it was last heard, another life is there, or its own
   last word. Silence alone proves nothing: who is cut off, stopped or slow is counted on. See 6 for when it
   does.
2. A slot from which a life is heard that is not over is in C_i from that moment. Only then is it answered.
3. i is *joined* `window` after each slot but its own has either answered a question of i's present life (so
   it counts i, by rule 2), or has refused one of them (so nobody is there, and who starts there asks i
   first).
4. A router that learns that its own life was taken for over begins another one, and is not joined. One that
   learns that it was held for failed is not joined either, and asks all once more. Who held it for failed,
   or was told that another does, tells it so with each answer, until it asks as one that is not joined.
5. i is *leased* while more than half of the list, itself among them, have answered what it asked within
   `lease`, being joined themselves; or while every slot has answered or refused what it asked within `lease`.
6. A slot also leaves C_i `lease` and `window` after i learned that more than half of the list, itself among
   them, hold its life for failed, if nothing was heard from it since. Who asks i without being joined is told
   whom i holds for failed before it gets its answer, and tells each of these so (4), believing it or not.

Claim: within any window, the shares on which routers act add up to 1 at the most.

Proof. Let i and j, joined and leased, act at moments s and t less than `window` apart. Then j is in C_i at s,
and i in C_j at t.

(a) Without 6. Say i asked j: j answered at a and counted i from then on until `window` after i's end was
proven; i acts at `window` after a at the earliest, so t > s - window >= a. Say j's slot had refused i: j's
life began later, so j asked i and was answered before it acted, and the same holds with i and j changed over;
what i did before it answered lies more than `window` before what j does. An answer by an earlier life of j's
slot is no harm: j's life begins with all slots counted, and drops i's by proof.

(b) With 6. Say j dropped i at T = u + lease + window, where u is when it learned that most hold i for failed,
and it has not heard i since. Had all slots answered i within `lease` of s, j did so after s - lease > T -
window - lease = u for any s > T - window: but it has not heard i since u. Had most answered, one of these, k,
is one of those who held i for failed by u, and was asked after u: if it is the same life, its answer said so
(4), and i was not joined. If it is a later life, it was joined, so j had answered it: after u, when j told it
that it holds i for failed (6), which it said to i; or before u, but then j had heard the earlier life of k
hold i for failed, and held it so itself. Once i has learned it, it is not joined until j has answered it, and
then j counts it.

(c) So with A those that act so within the window, F the others that act, g = own / N: C_i contains A, and of
F those that it has not dropped. With f of these, i's share is at most (1 - g(|F| - f)) / (|A| + f), which is
at most (1 - g|F|) / |A| as g(|A| + |F|) <= 1. Summed over A, with g|F| for F: at most 1. What a router sent
before its share fell is what its own guard books: it sends nothing until the window has room.

A slot that never spoke may belong to a router without this subsystem, which acts on 1/N: it stays counted,
and 1/N is at most what is left for it. Refusals it gives count for rule 3 alone.

Zones: caches are shared by the routers of one zone. The same holds with the slots of that zone for all slots;
a slot whose zone is not known counts in each. (1 - g(N - c)) / c falls as c rises, so counting too many is
safe.

What it rests on: a refusal is the word of the host that has the address; lists of peers name all routers that
act; steady clocks of hosts run at the same pace.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

UNLEASED_FRACTION = 0.3  # of 1/N, for those that are not joined


@dataclass(slots=True)
class _Slot:
    """What is known of one address."""

    generation: int = 0  # the latest that was heard there; 0: none ever
    zone: int | None = None
    over_at: float = math.inf  # when we learned that this life is over
    free_at: float = math.inf  # when it answered or refused: our life needs no more of it to join
    asked: float = -math.inf  # when we asked what it answered or refused last
    fresh: float = -math.inf  # when we asked what it answered last while it was joined itself
    majority_failed_at: float = (
        math.inf
    )  # when we learned that most hold it for failed, and it has not spoken since


class ShareState(NamedTuple):
    """What holds now. `own`: the part of 1/fleet, and of 1/by_zone, that may be used."""

    joined: bool
    own: float
    fleet: int
    by_zone: tuple[int, ...]

    def share(self, zone: int | None = None) -> float:
        """Of what a parent bears, or with a zone of what its caches do."""
        return self.own / max(1, self.fleet if zone is None else self.by_zone[zone])


class Shares:
    """One router's share. The sum over all stays at most 1, whoever is cut off, stopped or restarted."""

    def __init__(
        self,
        slots: int,
        zone: int,
        fleet: int,
        by_zone: tuple[int, ...],
        window: float,
        now: float,
        own: float = UNLEASED_FRACTION,
        lease: float = math.inf,
    ) -> None:
        """`slots`: all others; `fleet`, `by_zone`: the settings; `window`: of the rule, in seconds.

        `lease`: seconds for which an answer counts; infinite: silence takes nothing and frees nothing.
        """
        self.slots = [_Slot() for _ in range(slots)]
        self._zone = zone
        self._settings = fleet, by_zone
        self._outside = max(0, fleet - slots - 1)  # in the settings and not in the list: counted always
        self._window = window
        self._own = own
        self._lease = lease if slots > 1 else math.inf  # of two, neither can be outvoted
        self._born = now
        self._elsewhere: dict[int, tuple[int, float]] = {}  # ids whose slot is not known: life, when over
        self._asking = dict.fromkeys(range(slots))  # slots that have neither answered nor refused, in order
        self._known: tuple[float, float, ShareState] | None = None  # what holds, from when until when

    @property
    def all(self) -> int:
        """N: how many routers there are at the most."""
        return len(self.slots) + 1 + self._outside

    @property
    def majority(self) -> int:
        """How many of those in the list are more than half of them."""
        return (len(self.slots) + 1) // 2 + 1

    @property
    def answered_by_all(self) -> bool:
        """Whether each slot has answered or refused since our life began, or was last doubted."""
        return not self._asking

    def heard(self, slot: int, generation: int, zone: int) -> None:
        """A life speaks from there: it counts, from this moment."""
        one = self.slots[slot]
        if generation > one.generation or (generation == one.generation and one.zone is None):
            one.generation, one.zone, one.over_at = generation, zone, math.inf
            self._known = None
        if generation == one.generation and one.majority_failed_at < math.inf:
            one.majority_failed_at, self._known = math.inf, None

    def add_unplaced(self, ident: int, generation: int) -> None:
        """Another router knows of a life that we can't place: it counts beside all slots."""
        known = self._elsewhere.get(ident)
        if known is None or generation > known[0]:
            self._elsewhere[ident] = generation, math.inf
            self._known = None

    def placed(self, ident: int) -> None:
        """That router's slot is known now, and counts instead."""
        if self._elsewhere.pop(ident, None) is not None:
            self._known = None

    def over(self, slot: int, generation: int, now: float) -> None:
        """Proven: that life, and all before it, is over."""
        one = self.slots[slot]
        if 0 < one.generation <= generation and one.over_at == math.inf:
            one.over_at = now
            self._known = None

    def unplaced_over(self, ident: int, generation: int, now: float) -> None:
        """The same of a router whose slot is not known."""
        known = self._elsewhere.get(ident)
        if known is not None and known[0] <= generation and known[1] == math.inf:
            self._elsewhere[ident] = known[0], now
            self._known = None

    def answered(self, slot: int, now: float) -> None:
        """It has answered a question of our present life: it counts us."""
        if slot in self._asking:
            del self._asking[slot]
            self.slots[slot].free_at = now
            self._known = None

    def renewed(self, slot: int, asked: float, joined: bool) -> None:
        """It has answered what we asked then; `joined`: as one that acts on its whole share."""
        one = self.slots[slot]
        one.asked = max(one.asked, asked)
        if joined:
            one.fresh = max(one.fresh, asked)
        if self._lease < math.inf:
            self._known = None

    def refused(self, slot: int, asked: float, now: float) -> None:
        """Nobody was at that address when what our present life asked then came there."""
        self.answered(slot, now)
        self.slots[slot].asked = max(self.slots[slot].asked, asked)
        self.over(slot, self.slots[slot].generation, now)

    def record_majority_failed(self, slot: int, generation: int, now: float) -> None:
        """Most of all routers hold that life for failed."""
        one = self.slots[slot]
        if one.generation == generation and one.majority_failed_at == math.inf:
            one.majority_failed_at, self._known = now, None

    def begin_generation(self, now: float) -> None:
        """Our own life was taken for over, and another one begins."""
        self._born = now
        self.doubted()

    def doubted(self) -> None:
        """Somebody held us for failed and may have stopped counting us: we ask all once more."""
        self._known = None
        self._asking = dict.fromkeys(range(len(self.slots)))
        for one in self.slots:
            one.free_at, one.asked, one.fresh = math.inf, -math.inf, -math.inf

    def oldest(self) -> int | None:
        """The slot whose last answer or refusal is the oldest, so that it is asked again in time."""
        return min(range(len(self.slots)), key=lambda slot: self.slots[slot].asked, default=None)

    def leased(self, now: float) -> bool:
        """Whether nobody can have stopped counting us: rule 5."""
        return now < self._leased_until()

    def _leased_until(self) -> float:
        if self._lease == math.inf or not self.slots:
            return math.inf
        fresh = sorted((one.fresh for one in self.slots), reverse=True)
        most = fresh[self.majority - 2]  # with ourselves more than half
        every = min(one.asked for one in self.slots)
        return max(most, every) + self._lease

    def asking(self) -> list[int]:
        """The slots that have neither answered nor refused."""
        return list(self._asking)

    def counts(self, slot: int, now: float) -> bool:
        """Whether that slot is counted."""
        one = self.slots[slot]
        return (
            not one.generation or now < min(one.over_at, one.majority_failed_at + self._lease) + self._window
        )

    def share_state(self, now: float) -> ShareState:
        """What may be used now."""
        if self._known is None or not self._known[0] <= now < self._known[1]:
            self._known = now, self._next_change(now), self._stand(now)
        return self._known[2]

    def changes_at(self, now: float) -> float:
        """When time alone changes what may be used; infinite if it does not."""
        self.share_state(now)
        assert self._known is not None
        return self._known[1]

    def _stand(self, now: float) -> ShareState:
        fleet, by_zone = self._settings
        latest = max((one.free_at for one in self.slots), default=self._born)
        if now < max(latest, self._born) + self._window or not self.leased(now):
            own = self._own if now >= self._born + self._window else 0.0
            return ShareState(False, own, max(fleet, self.all), by_zone)
        elsewhere = sum(now < over_at + self._window for _, over_at in self._elsewhere.values())
        counted = [one for number, one in enumerate(self.slots) if self.counts(number, now)]
        unknown = sum(one.zone is None for one in counted) + elsewhere + self._outside
        total = min(self.all, 1 + len(counted) + elsewhere + self._outside)
        zones, free = [], (self.all - total) / self.all
        for zone, told in enumerate(by_zone):
            known = (zone == self._zone) + sum(one.zone == zone for one in counted)
            most = max(told, known, 1)
            zones.append(min(most, known + unknown))
            if zone == self._zone:  # who starts in our zone, where we count fewer than there may be
                free = max(free, (most - zones[-1]) / most)
        return ShareState(True, 1.0 - self._own * free, total, tuple(zones))

    def _next_change(self, now: float) -> float:
        """When time alone changes what holds; infinite if it does not."""
        moments = [self._born + self._window]
        moments += [one.free_at + self._window for one in self.slots if one.free_at < math.inf]
        moments += [one.over_at + self._window for one in self.slots if one.over_at < math.inf]
        if self._lease < math.inf:
            moments += [self._leased_until()]
            moments += [
                one.majority_failed_at + self._lease + self._window
                for one in self.slots
                if one.majority_failed_at < math.inf
            ]
        moments += [at + self._window for _, at in self._elsewhere.values() if at < math.inf]
        return min((moment for moment in moments if moment > now), default=math.inf)

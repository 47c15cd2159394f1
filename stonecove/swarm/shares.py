"""Which part of what a cold node bears this router may use; the sum over all routers never exceeds 1.

There are N routers at the most (the settings, or the list of peers where that is longer), each at a *slot*:
its address in the list. Every router i keeps C_i, the slots that it counts, and acts on

    joined:      (1 - own x (N - |C_i|) / N) / |C_i|         of the rule
    not joined:   own / N, once `window` has passed since its start; before that, nothing

Rules:

1. C_i holds all slots at first. A slot leaves C_i only `window` after it was *proven* that the last life
   heard there is over: its address refused what was sent after it was last heard, another life is there, or
   its own last word. Silence proves nothing: who is cut off, stopped or slow is counted on.
2. A slot from which a later life is heard, straight or by another's word, is in C_i from that moment. Only
   then is it answered.
3. i is *joined* `window` after each slot but its own has either answered a question of i's present life (so
   it counts i, by rule 2), or has refused one of them (so nobody is there, and who starts there asks i
   first).
4. A router that learns that its own life was taken for over begins another one, and is not joined.

Claim: within any window, the shares on which routers act add up to 1 at the most.

Let two joined routers i and j act at moments s and t less than `window` apart. Then j is in C_i at s, and i
in C_j at t. Say j was asked by i: it answered at a, and counted i from then on until `window` after i's end
was proven, hence at any t > a up to `window` after i acts; and i acts only `window` after a, so t > s -
window >= a. Say j's slot had refused i: j's life began later, so j asked i and was answered before it acted,
by the same argument with i and j changed over; what i did before it answered lies more than `window` before
what j does. An answer by an earlier life of j's slot is no harm: j's life begins with all slots counted and
drops i's by proof alone. So with A the joined that act within the window, F the others that do, g = own / N:
C_i contains A, and of F those that it has not dropped. With f of these, i's share is at most (1 - g(|F| - f))
/ (|A| + f), which is at most (1 - g|F|) / |A| as g(|A| + |F|) <= 1. Summed over A, with g|F| for F: at most
1. What a router sent before its share fell is what its own guard books: it sends nothing until the window has
room.

A slot that never spoke may belong to a router without this subsystem, which acts on 1/N: it stays counted,
and 1/N is at most what is left for it. Refusals it gives count for rule 3 alone.

Zones: caches are shared by the routers of one zone. The same holds with the slots of that zone for all slots;
a slot whose zone is not known counts in each. (1 - g(N - c)) / c falls as c rises, so counting too many is
safe.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

OWN = 0.3  # of 1/N, for those that are not joined


@dataclass(slots=True)
class _Slot:
    """What is known of one address."""

    life: int = 0  # the latest that was heard there; 0: none ever
    zone: int | None = None
    over_at: float = math.inf  # when we learned that this life is over
    free_at: float = math.inf  # when it was answered or refused: our life needs no more of it


class Stand(NamedTuple):
    """What holds now. `own`: the part of 1/fleet, and of 1/by_zone, that may be used."""

    joined: bool
    own: float
    fleet: int
    by_zone: tuple[int, ...]

    def share(self, zone: int | None = None) -> float:
        """Of what a parent bears, or with a zone of what its caches do."""
        return self.own / max(1, self.fleet if zone is None else self.by_zone[zone])


class Shares:
    """One router's side of the sum. Danger: a sum over 1, whoever is cut off, stopped or started anew."""

    def __init__(
        self, slots: int, zone: int, fleet: int, by_zone: tuple[int, ...], window: float, now: float,
        own: float = OWN,
    ) -> None:
        """`slots`: all others; `fleet`, `by_zone`: the settings; `window`: of the rule, in seconds."""
        self.slots = [_Slot() for _ in range(slots)]
        self._zone = zone
        self._settings = fleet, by_zone
        self._outside = max(0, fleet - slots - 1)  # in the settings and not in the list: counted always
        self._window = window
        self._own = own
        self._born = now
        self._elsewhere: dict[int, tuple[int, float]] = {}  # ids whose slot is not known: life, when over
        self._asking = dict.fromkeys(range(slots))  # slots that have neither answered nor refused, in order
        self._known: tuple[float, float, Stand] | None = None  # what holds, from when until when

    @property
    def all(self) -> int:
        """N: how many routers there are at the most."""
        return len(self.slots) + 1 + self._outside

    def heard(self, slot: int, life: int, zone: int) -> None:
        """A life speaks from there: it counts, from this moment."""
        one = self.slots[slot]
        if life > one.life or (life == one.life and one.zone is None):
            one.life, one.zone, one.over_at = life, zone, math.inf
            self._known = None

    def heard_of(self, ident: int, life: int) -> None:
        """Another router knows of a life that we can't place: it counts beside all slots."""
        known = self._elsewhere.get(ident)
        if known is None or life > known[0]:
            self._elsewhere[ident] = life, math.inf
            self._known = None

    def placed(self, ident: int) -> None:
        """That router's slot is known now, and counts instead."""
        if self._elsewhere.pop(ident, None) is not None:
            self._known = None

    def over(self, slot: int, life: int, now: float) -> None:
        """Proven: that life, and all before it, is over."""
        one = self.slots[slot]
        if 0 < one.life <= life and one.over_at == math.inf:
            one.over_at = now
            self._known = None

    def over_elsewhere(self, ident: int, life: int, now: float) -> None:
        """The same of a router whose slot is not known."""
        known = self._elsewhere.get(ident)
        if known is not None and known[0] <= life and known[1] == math.inf:
            self._elsewhere[ident] = known[0], now
            self._known = None

    def answered(self, slot: int, now: float) -> None:
        """It has answered a question of our present life: it counts us."""
        if slot in self._asking:
            del self._asking[slot]
            self.slots[slot].free_at = now
            self._known = None

    def refused(self, slot: int, now: float) -> None:
        """Nobody was at that address when a question of our present life came there."""
        self.answered(slot, now)
        self.over(slot, self.slots[slot].life, now)

    def reborn(self, now: float) -> None:
        """Our own life was taken for over, and another one begins."""
        self._born, self._known = now, None
        self._asking = dict.fromkeys(range(len(self.slots)))
        for one in self.slots:
            one.free_at = math.inf

    def asking(self) -> list[int]:
        """The slots that have neither answered nor refused."""
        return list(self._asking)

    def counts(self, slot: int, now: float) -> bool:
        """Whether that slot is counted."""
        one = self.slots[slot]
        return not one.life or now < one.over_at + self._window

    def stand(self, now: float) -> Stand:
        """What may be used now."""
        if self._known is None or not self._known[0] <= now < self._known[1]:
            self._known = now, self._next_change(now), self._stand(now)
        return self._known[2]

    def _stand(self, now: float) -> Stand:
        fleet, by_zone = self._settings
        latest = max((one.free_at for one in self.slots), default=self._born)
        if now < max(latest, self._born) + self._window:
            own = self._own if now >= self._born + self._window else 0.0
            return Stand(False, own, max(fleet, self.all), by_zone)
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
        return Stand(True, 1.0 - self._own * free, total, tuple(zones))

    def _next_change(self, now: float) -> float:
        """When time alone changes what holds; infinite if it does not."""
        moments = [self._born + self._window]
        moments += [one.free_at + self._window for one in self.slots if one.free_at < math.inf]
        moments += [one.over_at + self._window for one in self.slots if one.over_at < math.inf]
        moments += [at + self._window for _, at in self._elsewhere.values() if at < math.inf]
        return min((moment for moment in moments if moment > now), default=math.inf)

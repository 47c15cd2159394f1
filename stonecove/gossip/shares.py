"""The share of a warming node's limits that this router may use; all routers' shares add up to at most 1.

There are at most N routers (the settings, or the list of peers where that is longer), each at a *slot*: its
address in the list. Every router i maintains C_i, the slots that it counts, and acts on

    joined and leased:   (1 - q x (N - |C_i|) / N) / |C_i|      of the limit
    else:                q / N, once `window` has passed since its start; before that, nothing

where q is the unleased fraction.

Rules:

1. C_i holds all slots at first. A slot leaves C_i `window` after it was *proven* that the last generation
   received from there has ended: its address refused what was sent after the last datagram from it, another
   generation is there, or it claimed its own end. Silence alone proves nothing: a router that is partitioned,
   paused or slow remains counted. See 6 for the exception.
2. A slot from which a generation that has not ended is received is in C_i from that moment. Only then is it
   answered.
3. i is *joined* `window` after each slot but its own has either answered a ping of i's present generation (so
   it counts i, by rule 2), or has refused one (so no process is there, and one that starts there pings i
   first).
4. A router that learns that its own generation was believed ended begins another one, and is not joined. One
   that learns that it was believed failed is not joined either, and pings all once more. A router that
   believed it failed, or received such a claim, includes the claim in each answer to it until it pings as one
   that is not joined.
5. i is *leased* while more than half of the list, itself included, have answered what it sent within `lease`,
   being joined themselves; or while every slot has answered or refused what it sent within `lease`.
6. A slot also leaves C_i `lease` and `window` after i learned that more than half of the list, itself
   included, believe its generation failed, if nothing was received from it since. A router that pings i
   without being joined receives the claims on those that i believes failed before it gets its answer, and
   sends these claims to their subjects (4), whether or not it accepts them.

Claim: within any window, the shares on which routers act add up to at most 1.

Proof. Let i and j, joined and leased, act at moments s and t less than `window` apart. Then j is in C_i at s,
and i in C_j at t.

(a) Without 6. If i pinged j: j answered at a and counted i from then on until `window` after i's end was
proven; i acts at `window` after a at the earliest, so t > s - window >= a. If j's slot had refused i: j's
generation began later, so j pinged i and was answered before it acted, and the same holds with i and j
exchanged; what i did before it answered lies more than `window` before what j does. An answer by an earlier
generation of j's slot does no harm: j's generation begins with all slots counted, and drops i's by proof.

(b) With 6. If j dropped i at T = u + lease + window, where u is when it learned that a majority believes i
failed, and it has not received from i since. Had all slots answered i within `lease` of s, j did so after
s - lease > T - window - lease = u for any s > T - window: but it has not received from i since u. Had a
majority answered, one of these, k, is one of those that believed i failed by u, and was pinged after u: if it
is the same generation, its answer included the claim (4), and i was not joined. If it is a later generation,
it was joined, so j had answered it: after u, when j sent it the claim that i failed (6), which it passed on
to i; or before u, but then j had learned that the earlier generation of k believed i failed, and believed it
itself. Once i has learned of the claim, it is not joined until j has answered it, and then j counts it.

(c) So let A be those that act so within the window, F the others that act, g = q / N: C_i contains A, and of
F those that it has not dropped. With f of these, i's share is at most (1 - g(|F| - f)) / (|A| + f), which is
at most (1 - g|F|) / |A| as g(|A| + |F|) <= 1. Summed over A, with g|F| for F: at most 1. What a router sent
before its share fell is still in its own limiter's window: it sends nothing until that has capacity.

A slot from which nothing was ever received may belong to a router without gossip, which acts on 1/N: it stays
counted, and 1/N is at most what is left for it. Refusals from it count for rule 3 alone.

Zones: caches are shared by the routers of one zone. The same holds with the slots of that zone for all slots;
a slot whose zone is not known counts in each. (1 - g(N - c)) / c falls as c rises, so counting too many is
safe.

Assumptions: a refusal comes from the host that has the address; lists of peers name all routers that act;
monotonic clocks of hosts run at the same rate.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

UNLEASED_FRACTION = 0.3  # of 1/N, for routers that are not joined


@dataclass(slots=True)
class _Slot:
    """What is known of one address."""

    generation: int = 0  # the latest that was received from there; 0: none
    zone: int | None = None
    ended_at: float = math.inf  # when this router learned that this generation has ended
    answered_at: float = math.inf  # when it first answered or refused a ping of the own generation
    last_ping_at: float = -math.inf  # when the ping that it answered or refused last was sent
    last_joined_ping_at: float = -math.inf  # when the ping that it answered last while joined was sent
    majority_failed_at: float = (
        math.inf
    )  # when this router learned that a majority believes it failed, with nothing received since


class ShareState(NamedTuple):
    """The present share: `usable_fraction` of 1/counted_routers, in a zone of 1/counted_by_zone."""

    joined: bool
    usable_fraction: float
    counted_routers: int
    counted_by_zone: tuple[int, ...]

    def share(self, zone: int | None = None) -> float:
        """Return the share of a parent's limits, or with a zone that of its caches' limits."""
        return self.usable_fraction / max(
            1, self.counted_routers if zone is None else self.counted_by_zone[zone]
        )


class Shares:
    """One router's share. All shares add up to at most 1 under any partition, pause or restart."""

    def __init__(
        self,
        slots: int,
        zone: int,
        fleet_size: int,
        routers_by_zone: tuple[int, ...],
        window_s: float,
        now: float,
        unleased_fraction: float = UNLEASED_FRACTION,
        lease_s: float = math.inf,
    ) -> None:
        """`slots` counts all others; `fleet_size` and `routers_by_zone` are the settings'.

        `window_s` is the window of the limits. `lease_s` is how long an answer counts; with infinity, silence
        neither ends the own share nor drops a slot.
        """
        self.slots = [_Slot() for _ in range(slots)]
        self._zone = zone
        self._settings = fleet_size, routers_by_zone
        self._unlisted = max(0, fleet_size - slots - 1)  # in the settings, not in the list: always counted
        self._window_s = window_s
        self._unleased_fraction = unleased_fraction
        self._lease_s = lease_s if slots > 1 else math.inf  # of two routers, neither can be outvoted
        self._started_at = now
        self._unplaced: dict[int, tuple[int, float]] = {}  # by id without a slot: generation, when it ended
        self._unanswered = dict.fromkeys(range(slots))  # slots that have neither answered nor refused
        self._cached: tuple[float, float, ShareState] | None = None  # valid from, valid until, state

    @property
    def max_routers(self) -> int:
        """Return N, the maximum number of routers."""
        return len(self.slots) + 1 + self._unlisted

    @property
    def majority(self) -> int:
        """Return how many routers of the list are more than half of it."""
        return (len(self.slots) + 1) // 2 + 1

    @property
    def answered_by_all(self) -> bool:
        """Return whether each slot has answered or refused since joining was last started."""
        return not self._unanswered

    def record_generation(self, slot: int, generation: int, zone: int) -> None:
        """Record a generation that was received from a slot: it counts from now on."""
        entry = self.slots[slot]
        if generation > entry.generation or (generation == entry.generation and entry.zone is None):
            entry.generation, entry.zone, entry.ended_at = generation, zone, math.inf
            self._cached = None
        if generation == entry.generation and entry.majority_failed_at < math.inf:
            entry.majority_failed_at, self._cached = math.inf, None

    def add_unplaced(self, ident: int, generation: int) -> None:
        """Count a generation that another router knows and that has no slot here, beside all slots."""
        known = self._unplaced.get(ident)
        if known is None or generation > known[0]:
            self._unplaced[ident] = generation, math.inf
            self._cached = None

    def remove_unplaced(self, ident: int) -> None:
        """Count a router by its slot from now on."""
        if self._unplaced.pop(ident, None) is not None:
            self._cached = None

    def record_end(self, slot: int, generation: int, now: float) -> None:
        """Record the proof that a generation and all before it have ended."""
        entry = self.slots[slot]
        if 0 < entry.generation <= generation and entry.ended_at == math.inf:
            entry.ended_at = now
            self._cached = None

    def record_unplaced_end(self, ident: int, generation: int, now: float) -> None:
        """Record the same of a router whose slot is not known."""
        known = self._unplaced.get(ident)
        if known is not None and known[0] <= generation and known[1] == math.inf:
            self._unplaced[ident] = known[0], now
            self._cached = None

    def record_answer(self, slot: int, now: float) -> None:
        """Record an answer to a ping of the own generation: that router counts this one."""
        if slot in self._unanswered:
            del self._unanswered[slot]
            self.slots[slot].answered_at = now
            self._cached = None

    def renew_lease(self, slot: int, pinged_at: float, joined: bool) -> None:
        """Record an answer to a ping sent at `pinged_at`, by a router that is itself `joined` or not."""
        entry = self.slots[slot]
        entry.last_ping_at = max(entry.last_ping_at, pinged_at)
        if joined:
            entry.last_joined_ping_at = max(entry.last_joined_ping_at, pinged_at)
        if self._lease_s < math.inf:
            self._cached = None

    def record_refusal(self, slot: int, pinged_at: float, now: float) -> None:
        """Record that no process had that address when a datagram of the own generation arrived there."""
        self.record_answer(slot, now)
        self.slots[slot].last_ping_at = max(self.slots[slot].last_ping_at, pinged_at)
        self.record_end(slot, self.slots[slot].generation, now)

    def record_majority_failed(self, slot: int, generation: int, now: float) -> None:
        """Record that a majority of all routers believes a generation failed."""
        entry = self.slots[slot]
        if entry.generation == generation and entry.majority_failed_at == math.inf:
            entry.majority_failed_at, self._cached = now, None

    def begin_generation(self, now: float) -> None:
        """Start over: the own generation was believed ended, and another one begins."""
        self._started_at = now
        self.restart_join()

    def restart_join(self) -> None:
        """Require new answers from all: one that believed this router failed may not count it any more."""
        self._cached = None
        self._unanswered = dict.fromkeys(range(len(self.slots)))
        for entry in self.slots:
            entry.answered_at, entry.last_ping_at, entry.last_joined_ping_at = math.inf, -math.inf, -math.inf

    def least_recent_slot(self) -> int | None:
        """Return the slot whose last answer or refusal is the oldest, to be pinged again in time."""
        return min(range(len(self.slots)), key=lambda slot: self.slots[slot].last_ping_at, default=None)

    def is_leased(self, now: float) -> bool:
        """Return whether no router can have stopped counting this one (rule 5)."""
        return now < self._lease_expires_at()

    def _lease_expires_at(self) -> float:
        if self._lease_s == math.inf or not self.slots:
            return math.inf
        joined_pings = sorted((entry.last_joined_ping_at for entry in self.slots), reverse=True)
        majority_at = joined_pings[self.majority - 2]  # with this router a majority
        every_at = min(entry.last_ping_at for entry in self.slots)
        return max(majority_at, every_at) + self._lease_s

    def unanswered_slots(self) -> list[int]:
        """Return the slots that have neither answered nor refused."""
        return list(self._unanswered)

    def is_counted(self, slot: int, now: float) -> bool:
        """Return whether a slot is counted."""
        entry = self.slots[slot]
        return (
            not entry.generation
            or now < min(entry.ended_at, entry.majority_failed_at + self._lease_s) + self._window_s
        )

    def share_state(self, now: float) -> ShareState:
        """Return what may be used now."""
        if self._cached is None or not self._cached[0] <= now < self._cached[1]:
            self._cached = now, self._next_change(now), self._compute_state(now)
        return self._cached[2]

    def next_change_at(self, now: float) -> float:
        """Return when time alone changes what may be used; infinity if it does not."""
        self.share_state(now)
        assert self._cached is not None
        return self._cached[1]

    def _compute_state(self, now: float) -> ShareState:
        fleet_size, routers_by_zone = self._settings
        latest = max((entry.answered_at for entry in self.slots), default=self._started_at)
        if now < max(latest, self._started_at) + self._window_s or not self.is_leased(now):
            usable = self._unleased_fraction if now >= self._started_at + self._window_s else 0.0
            return ShareState(False, usable, max(fleet_size, self.max_routers), routers_by_zone)
        unplaced = sum(now < ended_at + self._window_s for _, ended_at in self._unplaced.values())
        counted = [entry for number, entry in enumerate(self.slots) if self.is_counted(number, now)]
        unknown = sum(entry.zone is None for entry in counted) + unplaced + self._unlisted
        total = min(self.max_routers, 1 + len(counted) + unplaced + self._unlisted)
        zones, free = [], (self.max_routers - total) / self.max_routers
        for zone, configured in enumerate(routers_by_zone):
            known = (zone == self._zone) + sum(entry.zone == zone for entry in counted)
            maximum = max(configured, known, 1)
            zones.append(min(maximum, known + unknown))
            if zone == self._zone:  # for routers that start in the own zone, if fewer than possible count
                free = max(free, (maximum - zones[-1]) / maximum)
        return ShareState(True, 1.0 - self._unleased_fraction * free, total, tuple(zones))

    def _next_change(self, now: float) -> float:
        moments = [self._started_at + self._window_s]
        moments += [
            entry.answered_at + self._window_s for entry in self.slots if entry.answered_at < math.inf
        ]
        moments += [entry.ended_at + self._window_s for entry in self.slots if entry.ended_at < math.inf]
        if self._lease_s < math.inf:
            moments += [self._lease_expires_at()]
            moments += [
                entry.majority_failed_at + self._lease_s + self._window_s
                for entry in self.slots
                if entry.majority_failed_at < math.inf
            ]
        moments += [
            ended_at + self._window_s for _, ended_at in self._unplaced.values() if ended_at < math.inf
        ]
        return min((moment for moment in moments if moment > now), default=math.inf)

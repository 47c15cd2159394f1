"""Our own word, what we believe of others and tell them: the state that detector and joining share."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Any, NamedTuple

from stonecove.gossip.broadcasts import BroadcastQueue
from stonecove.gossip.claims import MAX_INCARNATION, NOBODY, Claim, Datagram, Kind, MemberState, over, shown
from stonecove.gossip.figures import Figures
from stonecove.gossip.health import Health
from stonecove.gossip.probing import Outbox, Purpose, Sent
from stonecove.gossip.shares import Shares
from stonecove.gossip.table import Member, Suspicion, Table
from stonecove.gossip.view import Views
from stonecove.runtime.log_events import LogEvent

MAX_CLAIMS = 10  # that a datagram holds
FAN = 3  # who are told at once of what can't wait
URGENT_WAIT = 0.03  # seconds, so that what happens together is told together
URGENT_RATE, URGENT_BURST = 15.0, 15.0  # such datagrams a second
MAX_AHEAD_MS = (
    86_400_000  # ms by which a life may begin after our own clock; guards against one nobody can top
)


class Note(NamedTuple):
    """A line for the log."""

    event: str
    fields: dict[str, Any]


class Gossip:
    """One router's side. `out` is what is to be sent, `notes` what is to be logged; both are taken by I/O."""

    def __init__(
        self, me: Claim, shares: Shares, figures: Figures, seed: int, now: float, unix: float
    ) -> None:
        """`unix`: Unix ms now. `me.life` is our start by the same clock."""
        self.me = me
        self.shares = shares
        self.figures = figures
        self.born = now
        self.unix = unix
        self.table = Table()
        self.broadcasts = BroadcastQueue()
        self.health = Health(now)
        self.outbox = Outbox(seed ^ me.generation)
        self.views = Views(now, figures.settle, figures.most_settle)
        self.random = random.Random(seed)
        self.out: list[tuple[int, Datagram]] = []
        self.notes: list[Note] = []
        self.counts: Counter[str] = Counter()
        self.name_taken_by = 0  # the life of another that bears our name and began later; 0: nobody
        self.twin = False  # another that bears our name has spoken to us from its own address
        self.last_received = now
        self._urgent_at = -1.0
        self._tokens, self._tokens_at = URGENT_BURST, now
        self.broadcasts.add(me)
        self.update_wanted_view(now)

    @property
    def name_is_taken(self) -> bool:
        """Whether another, started later, bears our name."""
        return self.name_taken_by != 0

    def note(self, event: str, **fields: Any) -> None:
        """A line for the log."""
        self.notes.append(Note(event, {**fields, "view": self.views.now.number}))

    # -- sending --

    def send(
        self,
        slot: int,
        kind: Kind,
        now: float,
        *,
        purpose: Purpose | None = None,
        ident: int = NOBODY,
        asker: tuple[int, int] | None = None,
        answers: int = 0,
        generation: int = 0,
        first: tuple[Claim, ...] = (),
        buckets: tuple[int, ...] = (),
    ) -> int:
        """Puts a datagram to a slot; returns its number. What it is told first is what concerns it."""
        room = 0 if kind is Kind.STALE else MAX_CLAIMS - len(first) - (len(buckets) + 3) // 4
        told = self.broadcasts.take(room, len(self.table.members) + 1)
        number = self.outbox.number(Sent(slot, now, purpose, ident, asker, claims=told))
        self.out.append((
            slot,
            Datagram(
                kind, number, self.me, answers, ident, generation,
                self.views.now.number, self.views.now.digest,
                self.table.digest(self.me), self.health.told(now),
                self.shares.answered_by_all, first + told, buckets,
            ),
        ))  # fmt: skip
        self.counts["sent"] += 1
        return number

    def alive(self) -> list[Member]:
        """Members that may be asked for help or told news."""
        return [one for one in self.table if one.slot is not None and one.claim.state <= MemberState.LEAVING]

    def urgent(self, now: float) -> None:
        """Something that can't wait for the next probe."""
        if self._urgent_at < 0:
            self._urgent_at = now + URGENT_WAIT

    def urgent_due(self) -> float:
        """When what can't wait may be told; infinite if there is nothing."""
        if self._urgent_at < 0:
            return math.inf
        return max(self._urgent_at, self._tokens_at + (FAN - self._tokens) / URGENT_RATE)

    def push(self, now: float) -> None:
        """Tells a few at once of what can't wait, as far as the rate allows."""
        if self._urgent_at < 0 or now < self._urgent_at:
            return
        if not self._take_tokens(FAN, now):
            return  # it goes on later, or by piggyback
        self._urgent_at = -1.0
        self.broadcast(FAN, now)

    def _take_tokens(self, count: float, now: float) -> bool:
        """Take tokens for datagrams sent at once; return False if there are too few."""
        self._tokens = min(URGENT_BURST, self._tokens + (now - self._tokens_at) * URGENT_RATE)
        self._tokens_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def broadcast(self, count: int, now: float) -> None:
        """News to so many members, as long as there is any."""
        alive = self.alive()
        for one in self.random.sample(alive, min(count, len(alive))):
            if one.slot is not None and len(self.broadcasts):
                self.send(one.slot, Kind.NEWS, now)

    # -- believing --

    def believe(self, claim: Claim, now: float, why: str) -> bool:
        """Takes a word on another router; says whether it was news."""
        if claim.ident == self.me.ident or claim.generation > self.unix + MAX_AHEAD_MS:
            self.counts["odd"] += claim.ident != self.me.ident
            return False
        before = self.table.get(claim.ident)
        stood = before.claim if before is not None else None
        if not self.table.believe(claim, now, why):
            return False
        member = self.table.members[claim.ident]
        if stood is not None and claim.generation > stood.generation:
            member.slot = None  # where the new life is, we learn when it speaks
        self._share(member, now)
        if claim.state is MemberState.SUSPECT:
            member.suspicion = self._suspicion(now)
        self.broadcasts.add(claim)
        grave = claim.state >= MemberState.FAILED or claim.state is MemberState.LEAVING
        if grave or stood is None or claim.generation > stood.generation:
            self.urgent(now)
        if stood is None or (stood.generation, stood.state) != (claim.generation, claim.state):
            self.note(
                LogEvent.GOSSIP_MEMBER_CHANGED,
                member=shown(claim.ident),
                state=claim.state.name.lower(),
                generation=claim.generation,
                reason=why,
            )
        self.update_wanted_view(now)
        return True

    def receive_claim(self, claim: Claim, sender: int, now: float) -> None:
        """Handle another router's claim on a third one.

        A claim of FAILED on a member that this router does not suspect begins a suspicion: the member may be
        within reach here, cut off only from the router that gave it up, and is to be able to refute it first.
        """
        member = self.table.get(claim.ident)
        if member is not None and self._is_unconfirmed_failure(claim, member, now):
            self._suspect_on_claim(claim, member, sender, now)
        else:
            self.believe(claim, now, f"told by {shown(sender)}")

    def _is_unconfirmed_failure(self, claim: Claim, member: Member, now: float) -> bool:
        """Return whether FAILED is claimed of a member that has not been suspected here for long enough."""
        if (
            claim.state is not MemberState.FAILED
            or claim.generation != member.claim.generation
            or member.slot is None
        ):
            return False
        if claim.order() <= member.claim.order() or member.claim.state is MemberState.FAILED:
            return False
        suspicion = member.suspicion
        return suspicion is None or now < suspicion.began + self.figures.suspicion

    def _suspect_on_claim(self, claim: Claim, member: Member, sender: int, now: float) -> None:
        """Suspect a member that another router holds for failed, and let the member know first."""
        was_suspect = member.suspicion is not None
        suspect = claim._replace(state=MemberState.SUSPECT)
        self.believe(suspect, now, f"{shown(sender)} holds it for failed; not confirmed here")
        member.failed_claim = claim  # the proof in `shares` needs the member to learn of the claim
        if member.suspicion is not None:
            member.suspicion.doubters.add(sender)
            member.suspicion.confirm(self.figures.suspicion)
        if not was_suspect and member.slot is not None and self._take_tokens(1.0, now):
            self.send(member.slot, Kind.PING, now, purpose=Purpose.LOST, ident=claim.ident, first=(claim,))

    def _share(self, member: Member, now: float) -> None:
        """What a word means for the shares: a life that counts, or one that is over."""
        claim, slot = member.claim, member.slot
        here = slot is not None and self.shares.slots[slot].generation == claim.generation
        if over(claim.state):
            if here and slot is not None:
                self.shares.over(slot, claim.generation, now)
            self.shares.unplaced_over(claim.ident, claim.generation, now)
        elif not here:
            self.shares.add_unplaced(claim.ident, claim.generation)

    def _suspicion(self, now: float) -> Suspicion:
        least = self.figures.suspicion_min(len(self.table.members) + 1) * self.health.patience
        return Suspicion(now, least, least * self.figures.longest, self.figures.confirmations)

    def update_wanted_view(self, now: float) -> None:
        """What the next view is to be, from what is believed now."""
        lives = {(one.claim.ident, one.claim.generation) for one in self.table.in_view()}
        if not over(self.me.state):
            lives.add((self.me.ident, self.name_taken_by or self.me.generation))
        self.views.wants(frozenset(lives), now)

    # -- our own word --

    def say(self, state: MemberState, now: float) -> None:
        """We tell another standing of ourselves."""
        incarnation = min(MAX_INCARNATION, self.me.incarnation + 1)
        self._set_own_claim(self.me._replace(state=state, incarnation=incarnation), now)

    def _set_own_claim(self, claim: Claim, now: float) -> None:
        self.me = claim
        self.table.changed()
        if not self.name_is_taken:
            self.broadcasts.add(claim)
        self.update_wanted_view(now)

    def receive_own_claim(self, claim: Claim, now: float) -> None:
        """Another's word on us. Who doubts is told better; a life that was taken for over is a new one."""
        mine = self.me
        if claim.generation > self.unix + MAX_AHEAD_MS:
            return
        if (
            claim.state is MemberState.FAILED
            and claim.generation == mine.generation
            and self.shares.answered_by_all
        ):
            # Whoever holds or held that may have stopped counting us, however we stand by now.
            self.born = now
            self.shares.doubted()
            self.note(LogEvent.GOSSIP_SUSPECTED, incarnation=claim.incarnation)
        if claim.order() <= mine.order():
            return
        if claim.generation > mine.generation:
            if self.twin or self.shares.share_state(now).joined:
                self.yield_name(claim, now)
            elif not self.name_is_taken:
                self.begin_generation(claim.generation, now, "a later life of our name is known")
        elif over(claim.state) or claim.incarnation >= MAX_INCARNATION:
            self.begin_generation(claim.generation, now, f"told to be {claim.state.name.lower()}")
        else:
            self.health.record_failure()
            self.counts["refuted"] += 1
            mine = mine._replace(incarnation=claim.incarnation)
            self.me = mine
            self.say(mine.state, now)
            self.note(LogEvent.GOSSIP_REFUTED, incarnation=self.me.incarnation)

    def begin_generation(self, generation: int, now: float, why: str) -> None:
        """A life after that one. Nobody counts it yet."""
        self.note(
            LogEvent.GOSSIP_GENERATION_RAISED,
            before=self.me.generation,
            generation=generation + 1,
            reason=why,
        )
        self.born = now
        self.shares.begin_generation(now)
        self._set_own_claim(self.me._replace(generation=generation + 1, incarnation=0), now)
        self.urgent(now)

    def yield_name(self, claim: Claim, now: float) -> None:
        """Another router bears our name and began later: the name is its, and people are told."""
        if not self.name_is_taken:
            self.note(
                LogEvent.GOSSIP_NAME_CONFLICT,
                own_generation=self.me.generation,
                other_generation=claim.generation,
                kept="theirs",
            )
        self.name_taken_by = max(self.name_taken_by, claim.generation)
        self.table.changed()
        self.update_wanted_view(now)

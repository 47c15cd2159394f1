"""The own claim, the claims accepted about others and their dissemination: state of detector and joining."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import Any, NamedTuple

from stonecove.gossip.broadcasts import BroadcastQueue
from stonecove.gossip.claims import (
    MAX_INCARNATION,
    NO_MEMBER,
    Claim,
    Datagram,
    Kind,
    MemberState,
    format_member_id,
    has_ended,
)
from stonecove.gossip.figures import GossipConfig
from stonecove.gossip.health import LocalHealth
from stonecove.gossip.probing import Purpose, SentDatagram, SentTracker
from stonecove.gossip.shares import Shares
from stonecove.gossip.table import Member, Suspicion, Table
from stonecove.gossip.view import Views
from stonecove.runtime.log_events import LogEvent

MAX_CLAIMS = 10  # in one datagram
PUSH_FANOUT = 3  # members to which urgent claims are sent at once
PUSH_DELAY_S = 0.03  # so that claims about one event go out together
PUSH_RATE, PUSH_BURST = 15.0, 15.0  # datagrams a second that are sent at once
# How far a generation may lie ahead of the own clock: otherwise one wrong clock would start a generation
# that no later start could exceed.
MAX_AHEAD_MS = 86_400_000


class Note(NamedTuple):
    """A log entry that the owner writes."""

    event: str
    fields: dict[str, Any]


class Gossip:
    """The gossip state of one router. The owner sends what is in `outgoing` and logs what is in `notes`."""

    def __init__(
        self, own_claim: Claim, shares: Shares, config: GossipConfig, seed: int, now: float, unix_ms: float
    ) -> None:
        """`unix_ms` is the Unix time; `own_claim.generation` is the process start by the same clock."""
        self.own_claim = own_claim
        self.shares = shares
        self.config = config
        self.generation_began = now
        self.unix_ms = unix_ms
        self.table = Table()
        self.broadcasts = BroadcastQueue()
        self.health = LocalHealth(now)
        self.sent_tracker = SentTracker(seed ^ own_claim.generation)
        self.views = Views(now, config.view_settle_s, config.view_settle_max_s)
        self.random = random.Random(seed)
        self.outgoing: list[tuple[int, Datagram]] = []
        self.notes: list[Note] = []
        self.counts: Counter[str] = Counter()
        self.name_taken_by = 0  # the later generation of another router with the same name; 0: none
        self.name_duplicated = False  # another router with the same name has sent from its own address
        self.last_received = now
        self._push_at = -1.0
        self._tokens, self._tokens_at = PUSH_BURST, now
        self.broadcasts.add(own_claim)
        self.update_proposed_view(now)

    @property
    def name_is_taken(self) -> bool:
        """Return whether another router that started later has the same name."""
        return self.name_taken_by != 0

    def note(self, event: str, **fields: Any) -> None:
        """Add a log entry."""
        self.notes.append(Note(event, {**fields, "view": self.views.current.number}))

    # -- sending --

    def send(
        self,
        slot: int,
        kind: Kind,
        now: float,
        *,
        purpose: Purpose | None = None,
        ident: int = NO_MEMBER,
        requester: tuple[int, int] | None = None,
        in_reply_to: int = 0,
        generation: int = 0,
        first: tuple[Claim, ...] = (),
        buckets: tuple[int, ...] = (),
    ) -> int:
        """Send a datagram to a slot and return its number; the claims `first` precede piggybacked ones."""
        limit = 0 if kind is Kind.STALE else MAX_CLAIMS - len(first) - (len(buckets) + 3) // 4
        piggybacked = self.broadcasts.take(limit, len(self.table.members) + 1)
        number = self.sent_tracker.record(
            SentDatagram(slot, now, purpose, ident, requester, claims=piggybacked)
        )
        self.outgoing.append((
            slot,
            Datagram(
                kind, number, self.own_claim, in_reply_to, ident, generation,
                self.views.current.number, self.views.current.digest,
                self.table.digest(self.own_claim), self.health.recent_pause_s(now),
                self.shares.answered_by_all, first + piggybacked, buckets,
            ),
        ))  # fmt: skip
        self.counts["sent"] += 1
        return number

    def alive_members(self) -> list[Member]:
        """Return the members that may be sent broadcasts and indirect ping requests."""
        return [
            member
            for member in self.table
            if member.slot is not None and member.claim.state <= MemberState.LEAVING
        ]

    def request_push(self, now: float) -> None:
        """Schedule a push of claims that cannot wait for the next probe."""
        if self._push_at < 0:
            self._push_at = now + PUSH_DELAY_S

    def push_due_at(self) -> float:
        """Return when the next push may be sent; infinity if none is scheduled."""
        if self._push_at < 0:
            return math.inf
        return max(self._push_at, self._tokens_at + (PUSH_FANOUT - self._tokens) / PUSH_RATE)

    def push(self, now: float) -> None:
        """Send urgent claims to a few members, as far as the rate limit allows."""
        if self._push_at < 0 or now < self._push_at:
            return
        if not self._take_tokens(PUSH_FANOUT, now):
            return  # sent later, or piggybacked
        self._push_at = -1.0
        self.broadcast(PUSH_FANOUT, now)

    def _take_tokens(self, count: float, now: float) -> bool:
        """Take tokens for datagrams sent at once; return False if there are too few."""
        self._tokens = min(PUSH_BURST, self._tokens + (now - self._tokens_at) * PUSH_RATE)
        self._tokens_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def broadcast(self, count: int, now: float) -> None:
        """Send queued claims to up to `count` random members, as long as there are any."""
        alive = self.alive_members()
        for member in self.random.sample(alive, min(count, len(alive))):
            if member.slot is not None and len(self.broadcasts):
                self.send(member.slot, Kind.NEWS, now)

    # -- claims about others --

    def accept_claim(self, claim: Claim, now: float, why: str) -> bool:
        """Accept a claim about another router; return whether it changed the table."""
        if claim.ident == self.own_claim.ident or claim.generation > self.unix_ms + MAX_AHEAD_MS:
            self.counts["odd"] += claim.ident != self.own_claim.ident
            return False
        before = self.table.get(claim.ident)
        previous = before.claim if before is not None else None
        if not self.table.merge(claim, now, why):
            return False
        member = self.table.members[claim.ident]
        if previous is not None and claim.generation > previous.generation:
            member.slot = None  # the address of the new generation is known once it sends
        self._update_shares(member, now)
        if claim.state is MemberState.SUSPECT:
            member.suspicion = self._new_suspicion(now)
        self.broadcasts.add(claim)
        urgent = claim.state >= MemberState.FAILED or claim.state is MemberState.LEAVING
        if urgent or previous is None or claim.generation > previous.generation:
            self.request_push(now)
        if previous is None or (previous.generation, previous.state) != (claim.generation, claim.state):
            self.note(
                LogEvent.GOSSIP_MEMBER_CHANGED,
                member=format_member_id(claim.ident),
                state=claim.state.name.lower(),
                generation=claim.generation,
                reason=why,
            )
        self.update_proposed_view(now)
        return True

    def receive_claim(self, claim: Claim, sender: int, now: float) -> None:
        """Handle another router's claim about a third one.

        A claim of FAILED about a member that this router does not suspect begins a suspicion: the member may
        be reachable from here, partitioned only from the router that declared it failed, and must be able to
        refute the claim first.
        """
        member = self.table.get(claim.ident)
        if member is not None and self._is_unconfirmed_failure(claim, member, now):
            self._suspect_on_claim(claim, member, sender, now)
        else:
            self.accept_claim(claim, now, f"told by {format_member_id(sender)}")

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
        return suspicion is None or now < suspicion.started_at + self.config.suspicion_timeout_s

    def _suspect_on_claim(self, claim: Claim, member: Member, sender: int, now: float) -> None:
        """Suspect a member that another router believes failed, and notify the member first."""
        was_suspect = member.suspicion is not None
        suspect = claim._replace(state=MemberState.SUSPECT)
        self.accept_claim(suspect, now, f"{format_member_id(sender)} holds it for failed; not confirmed here")
        member.failed_claim = claim  # the proof in `shares` needs the member to learn of the claim
        if member.suspicion is not None:
            member.suspicion.confirmers.add(sender)
            member.suspicion.shorten(self.config.suspicion_timeout_s)
        if not was_suspect and member.slot is not None and self._take_tokens(1.0, now):
            self.send(member.slot, Kind.PING, now, purpose=Purpose.RECHECK, ident=claim.ident, first=(claim,))

    def _update_shares(self, member: Member, now: float) -> None:
        """Update the shares after a claim: its generation counts, or has ended."""
        claim, slot = member.claim, member.slot
        is_placed = slot is not None and self.shares.slots[slot].generation == claim.generation
        if has_ended(claim.state):
            if is_placed and slot is not None:
                self.shares.record_end(slot, claim.generation, now)
            self.shares.record_unplaced_end(claim.ident, claim.generation, now)
        elif not is_placed:
            self.shares.add_unplaced(claim.ident, claim.generation)

    def _new_suspicion(self, now: float) -> Suspicion:
        min_s = self.config.suspicion_min_s(len(self.table.members) + 1) * self.health.timeout_multiplier
        return Suspicion(now, min_s, min_s * self.config.suspicion_max_multiple, self.config.confirmations)

    def update_proposed_view(self, now: float) -> None:
        """Propose the member set of the next view from the present table."""
        members = {(member.claim.ident, member.claim.generation) for member in self.table.in_view()}
        if not has_ended(self.own_claim.state):
            members.add((self.own_claim.ident, self.name_taken_by or self.own_claim.generation))
        self.views.propose(frozenset(members), now)

    # -- the own claim --

    def announce_state(self, state: MemberState, now: float) -> None:
        """Claim a state of this router, with a higher incarnation."""
        incarnation = min(MAX_INCARNATION, self.own_claim.incarnation + 1)
        self._set_own_claim(self.own_claim._replace(state=state, incarnation=incarnation), now)

    def _set_own_claim(self, claim: Claim, now: float) -> None:
        self.own_claim = claim
        self.table.invalidate_digests()
        if not self.name_is_taken:
            self.broadcasts.add(claim)
        self.update_proposed_view(now)

    def receive_own_claim(self, claim: Claim, now: float) -> None:
        """Handle another router's claim about this one.

        A suspicion is refuted by a higher incarnation. Where this generation is believed to have ended, a new
        one begins.
        """
        own = self.own_claim
        if claim.generation > self.unix_ms + MAX_AHEAD_MS:
            return
        if (
            claim.state is MemberState.FAILED
            and claim.generation == own.generation
            and self.shares.answered_by_all
        ):
            # Whoever believes or believed this may have stopped counting this router, whatever its state now.
            self.generation_began = now
            self.shares.restart_join()
            self.note(LogEvent.GOSSIP_SUSPECTED, incarnation=claim.incarnation)
        if claim.order() <= own.order():
            return
        if claim.generation > own.generation:
            if self.name_duplicated or self.shares.share_state(now).joined:
                self.yield_name(claim, now)
            elif not self.name_is_taken:
                self.begin_generation(claim.generation, now, "a later generation with this name is known")
        elif has_ended(claim.state) or claim.incarnation >= MAX_INCARNATION:
            self.begin_generation(claim.generation, now, f"claimed to be {claim.state.name.lower()}")
        else:
            self.health.record_failure()
            self.counts["refuted"] += 1
            own = own._replace(incarnation=claim.incarnation)
            self.own_claim = own
            self.announce_state(own.state, now)
            self.note(LogEvent.GOSSIP_REFUTED, incarnation=self.own_claim.incarnation)

    def begin_generation(self, generation: int, now: float, why: str) -> None:
        """Begin a generation after the given one, which no router counts yet."""
        self.note(
            LogEvent.GOSSIP_GENERATION_RAISED,
            before=self.own_claim.generation,
            generation=generation + 1,
            reason=why,
        )
        self.generation_began = now
        self.shares.begin_generation(now)
        self._set_own_claim(self.own_claim._replace(generation=generation + 1, incarnation=0), now)
        self.request_push(now)

    def yield_name(self, claim: Claim, now: float) -> None:
        """Leave the name to another router that has it and started later, and log the conflict."""
        if not self.name_is_taken:
            self.note(
                LogEvent.GOSSIP_NAME_CONFLICT,
                own_generation=self.own_claim.generation,
                other_generation=claim.generation,
                kept="theirs",
            )
        self.name_taken_by = max(self.name_taken_by, claim.generation)
        self.table.invalidate_digests()
        self.update_proposed_view(now)

"""The failure detector and the join protocol over `gossip`: SWIM with Lifeguard's suspicion.

- In each interval one member is probed. If it does not answer, some other members ping it on this router's
  behalf. It is suspected only if such a helper could not reach it either: without a helper's nack it may be
  this router whose datagrams are lost, which lowers its own health instead.
- A suspect is notified first and refutes the suspicion by a higher incarnation. It becomes failed after
  `config.suspicion_timeout_s`, later if few members confirm the suspicion or this router's health is low.
- A router that was paused, or receives nothing, declares nobody failed.
- A refusal of a datagram that was sent after the last one received from that address proves that the
  generation there has ended, without any wait.
"""

from __future__ import annotations

import math

from stonecove.gossip.claims import Claim, Datagram, Kind, MemberState, format_member_id, has_ended
from stonecove.gossip.figures import GossipConfig
from stonecove.gossip.gossip import MAX_AHEAD_MS, MAX_CLAIMS, Gossip
from stonecove.gossip.probing import Probe, Purpose, SentDatagram, probe_target
from stonecove.gossip.shares import Shares, ShareState
from stonecove.gossip.table import Member
from stonecove.runtime.log_events import LogEvent

TICK_S = 0.05  # between two calls of `tick` while something is in progress
MAX_TICK_DELAY_S = 0.2  # while nothing is; a pause can still be told from it (`health.PAUSE_THRESHOLD_S`)
MIN_TICK_DELAY_S = 0.005
JOIN_PINGS_PER_TICK = 8
JOIN_RETRY_S = 0.3, 2.0  # until a router is pinged again, within JOIN_FAST_S and later
JOIN_FAST_S = 3.0
RECHECK_INTERVAL_S = 3.0  # between two pings to failed or least recently answering members
MIN_NACKS = 2  # helpers that must fail to reach a member before it is suspected
ISOLATION_INTERVALS = 3.0  # probe intervals without any datagram after which nobody is declared failed
NACK_TIMEOUT_MULTIPLE = 1.5  # a helper sends a nack after this many ping timeouts
LEAVE_FANOUT = 8  # members to which the last claim is sent
SYNC_DELAY_S, SYNC_INTERVAL_S = 1.0, 1.0  # how long tables differ before a sync; between two syncs
MAX_SYNC_DATAGRAMS = 4  # datagrams that answer a sync
STALE_REPLY_RATE = 10.0  # replies a second to senders of an earlier generation


class Swarm:
    """One router's SWIM member. It is called with the time; what it sends is in `gossip.outgoing`."""

    def __init__(
        self, own_claim: Claim, shares: Shares, config: GossipConfig, seed: int, now: float, unix_ms: float
    ) -> None:
        """`now` is monotonic seconds, `unix_ms` Unix time in ms."""
        self.gossip = Gossip(own_claim, shares, config, seed, now, unix_ms)
        self.config = config
        self.probe: Probe | None = None
        # At a random moment, so that routers which start together do not all probe at once.
        self._next_probe = now + self.gossip.random.random() * config.probe_interval_s
        self._no_failure_until = now
        self._pending_nacks: list[tuple[float, int, int]] = []  # when due, slot and number of the ping
        self._join_pinged_at: dict[int, float] = {}  # by slot
        self._lease_s = config.lease_duration_s(shares.max_routers)
        self._next_recheck = now + RECHECK_INTERVAL_S
        self._recheck_turn = 0
        self._last_received: dict[int, float] = {}  # by slot
        self._differs_since: dict[int, float] = {}  # by slot, for tables that differ from the own one
        self._next_sync = now
        self._stale_tokens, self._stale_tokens_at = STALE_REPLY_RATE, now

    def share_state(self, now: float) -> ShareState:
        """Return the share that may be used now."""
        return self.gossip.shares.share_state(now)

    # -- time --

    def begin(self, now: float) -> None:
        """Start to measure pauses from now on."""
        self.gossip.health.reset_clock(now)

    def tick(self, now: float, unix_ms: float) -> None:
        """Do what is due; to be called again after `tick_delay_s`."""
        gossip = self.gossip
        gossip.unix_ms = unix_ms
        if gap := gossip.health.measure_gap(now):
            self._handle_pause(now, gap)
        self._probe(now, unix_ms)
        self._send_nacks(now)
        self._expire_suspicions(now)
        self._join(now)
        self._recheck(now)
        self._sync(now)
        gossip.push(now)
        if gossip.views.advance(now, bool(gossip.table.suspects)) is not None:
            view, joined, departed = gossip.views.history[-1]
            gossip.note(
                LogEvent.GOSSIP_VIEW_CHANGED,
                members=len(view.generations),
                digest=f"{view.digest:08x}",
                joined=joined,
                left=departed,
            )

    def tick_delay_s(self, now: float) -> float:
        """Return the seconds until `tick` may have something to do; ask again after each datagram."""
        gossip, shares = self.gossip, self.gossip.shares
        moments = [
            gossip.push_due_at(),
            gossip.views.advance_at(bool(gossip.table.suspects)),
            shares.next_change_at(now),
        ]
        probe = self.probe
        if probe is not None and not probe.answered:
            timeout_s = self.config.ping_timeout_s * gossip.health.timeout_multiplier
            moments.append(
                probe.deadline
                if probe.indirect_requested
                else min(probe.started_at + timeout_s, probe.deadline)
            )
        else:
            moments.append(self._next_probe)
        moments += [due for due, _, _ in self._pending_nacks]
        moments += [
            other.suspicion.expires_at() for other in gossip.table.suspects.values() if other.suspicion
        ]
        if self._differs_since:
            moments.append(self._next_sync)
        if now < gossip.generation_began + JOIN_FAST_S and not shares.answered_by_all:
            moments.append(now + TICK_S)
        # What is due but could not be done yet is tried again after TICK_S.
        soonest = min(moment - now if moment > now else TICK_S for moment in moments)
        return min(MAX_TICK_DELAY_S, max(MIN_TICK_DELAY_S, soonest))

    def _handle_pause(self, now: float, gap: float) -> None:
        """Handle a pause of this process: what it did not receive meanwhile is no evidence about others."""
        self.gossip.note(LogEvent.GOSSIP_STOPPED, seconds=round(gap, 2))
        self.probe = None
        self._pending_nacks.clear()
        self._no_failure_until = now + 2.0 * self.config.probe_interval_s
        self.gossip.last_received = now
        for member in self.gossip.table.suspects.values():
            if member.suspicion is not None:
                member.suspicion.started_at += gap

    def _probe(self, now: float, unix_ms: float) -> None:
        probe, config, gossip = self.probe, self.config, self.gossip
        if probe is not None and not probe.answered:
            member = gossip.table.get(probe.ident)
            if member is None or has_ended(member.claim.state):
                self.probe = None
            elif (
                not probe.indirect_requested
                and now >= probe.started_at + config.ping_timeout_s * gossip.health.timeout_multiplier
            ):
                self._request_indirect_pings(probe, member, now)
            elif now >= probe.deadline:
                self._handle_missed_probe(probe, member, now)
        if now < self._next_probe:
            return
        if self.probe is not None and not self.probe.answered and now < self.probe.deadline:
            return  # with a raised health score a probe may last longer than an interval
        self._next_probe = max(self._next_probe + config.probe_interval_s, now)
        ring = sorted(
            other.claim.ident
            for other in gossip.table
            if other.slot is not None and other.claim.state <= MemberState.SUSPECT
        )
        chosen = gossip.table.get(
            probe_target(ring, gossip.own_claim.ident, int(unix_ms / 1000.0 / config.probe_interval_s)) or 0
        )
        self.probe = None
        if chosen is not None and chosen.slot is not None:
            number = self._ping(chosen, now, Purpose.PROBE)
            deadline = now + config.probe_interval_s * gossip.health.timeout_multiplier
            self.probe = Probe(chosen.claim.ident, chosen.slot, number, now, deadline)

    def _ping(self, member: Member, now: float, purpose: Purpose) -> int:
        assert member.slot is not None
        # A suspect is notified first, so that it can refute the claim.
        first = (member.claim,) if member.claim.state in (MemberState.SUSPECT, MemberState.FAILED) else ()
        return self.gossip.send(
            member.slot, Kind.PING, now, purpose=purpose, ident=member.claim.ident, first=first
        )

    def _request_indirect_pings(self, probe: Probe, member: Member, now: float) -> None:
        probe.indirect_requested = True
        others = [other for other in self.gossip.alive_members() if other.claim.ident != probe.ident]
        for other in self.gossip.random.sample(others, min(self.config.indirect_ping_count, len(others))):
            if other.slot is not None:
                self.gossip.send(other.slot, Kind.ASK, now, ident=probe.ident, in_reply_to=probe.number)
                probe.helpers.add(other.slot)

    def _handle_missed_probe(self, probe: Probe, member: Member, now: float) -> None:
        """Suspect a member that answered neither this router nor its helpers, if enough sent a nack."""
        self.probe = None
        gossip = self.gossip
        member.missed_probes += 1
        if len(probe.nacks) < min(MIN_NACKS, len(probe.helpers)):
            gossip.health.record_failure()  # the helpers did not answer either: this router may be at fault
            return
        self._suspect(member, now, f"no answer to {probe.number}, nor to {len(probe.nacks)} who asked for us")

    def _suspect(self, member: Member, now: float, why: str) -> None:
        gossip = self.gossip
        if member.claim.state < MemberState.SUSPECT:
            gossip.accept_claim(member.claim._replace(state=MemberState.SUSPECT), now, why)
        if member.suspicion is not None:
            member.suspicion.confirmers.add(gossip.own_claim.ident)

    def _send_nacks(self, now: float) -> None:
        """Send nacks for indirect pings that were not answered in time."""
        for due, slot, number in [nack for nack in self._pending_nacks if nack[0] <= now]:
            sent = self.gossip.sent_tracker.find(number, slot)
            if sent is not None and not sent.completed and sent.requester is not None:
                sent.completed = True
                requester, in_reply_to = sent.requester
                self.gossip.send(requester, Kind.MISS, now, ident=sent.ident, in_reply_to=in_reply_to)
            self._pending_nacks.remove((due, slot, number))

    def _expire_suspicions(self, now: float) -> None:
        """Declare suspects failed whose timeout has expired, unless this router was paused or is isolated."""
        if (
            now < self._no_failure_until
            or now > self.gossip.last_received + ISOLATION_INTERVALS * self.config.probe_interval_s
        ):
            return
        for member in list(self.gossip.table.suspects.values()):
            if member.suspicion is not None and now >= member.suspicion.expires_at():
                confirmers = len(member.suspicion.confirmers)
                self.gossip.accept_claim(
                    member.claim._replace(state=MemberState.FAILED),
                    now,
                    f"silent since it was suspected; {confirmers} could not reach it",
                )

    def _join(self, now: float) -> None:
        """Ping routers that have not answered this generation yet, so that they count it."""
        retry_s = JOIN_RETRY_S[0] if now < self.gossip.generation_began + JOIN_FAST_S else JOIN_RETRY_S[1]
        due_slots = [
            slot
            for slot in self.gossip.shares.unanswered_slots()
            if (last := self._join_pinged_at.get(slot, -math.inf)) < self.gossip.generation_began
            or now >= last + retry_s
        ]
        for slot in due_slots[:JOIN_PINGS_PER_TICK]:
            self._join_pinged_at[slot] = now
            self.gossip.send(slot, Kind.PING, now, purpose=Purpose.JOIN)

    def _recheck(self, now: float) -> None:
        """Ping a failed member, as a partition may have ended, and renew the oldest answer for the lease."""
        if now < self._next_recheck:
            return
        self._next_recheck = now + min(
            RECHECK_INTERVAL_S, self._lease_s / 4.0 / max(1, len(self.gossip.shares.slots))
        )
        failed = [other for other in self.gossip.table.failed.values() if other.slot is not None]
        if failed:
            self._recheck_turn += 1
            self._ping(failed[self._recheck_turn % len(failed)], now, Purpose.RECHECK)
        # Members that have ended are not probed; their refusals have to stay recent for the lease.
        shares = self.gossip.shares
        least_recent = shares.least_recent_slot()
        if least_recent is not None and shares.slots[least_recent].last_ping_at < now - self._lease_s / 2.0:
            self.gossip.send(least_recent, Kind.PING, now, purpose=Purpose.RECHECK)

    def _sync(self, now: float) -> None:
        """Start an anti-entropy sync with a router whose table has differed for some time."""
        if now < self._next_sync:
            return
        self._next_sync = now + SYNC_INTERVAL_S
        differing = [slot for slot, since in self._differs_since.items() if now - since >= SYNC_DELAY_S]
        if differing:
            slot = self.gossip.random.choice(differing)
            del self._differs_since[slot]
            self.gossip.send(slot, Kind.SYNC, now, buckets=self.gossip.table.digests(self.gossip.own_claim))

    # -- received datagrams --

    def receive(self, slot: int, datagram: Datagram, now: float, unix_ms: float) -> None:
        """Handle a datagram from the address of a slot."""
        gossip, sender = self.gossip, datagram.sender
        gossip.unix_ms = unix_ms
        if (
            sender.generation < gossip.shares.slots[slot].generation
            or sender.generation > unix_ms + MAX_AHEAD_MS
        ):
            gossip.counts["old"] += 1
            self._reply_stale(slot, datagram.number, now)
            return
        gossip.last_received = self._last_received[slot] = now
        if has_ended(sender.state):  # its last claim: it still counts until the window has passed
            gossip.shares.record_end(slot, sender.generation, now)
        else:
            gossip.shares.record_generation(slot, sender.generation, sender.zone)
        self._update_sender(slot, datagram, now)
        for claim in datagram.claims:
            if claim.ident == gossip.own_claim.ident:
                gossip.receive_own_claim(claim, now)
            else:
                gossip.receive_claim(claim, sender.ident, now)
        gossip.views.receive(datagram.view, datagram.view_digest)
        if datagram.table_digest == gossip.table.digest(gossip.own_claim):
            self._differs_since.pop(slot, None)
            self._record_same_table(sender.ident, now)
        else:
            self._differs_since.setdefault(slot, now)
        self._handle_kind(slot, datagram, now, unix_ms)

    def _record_same_table(self, ident: int, now: float) -> None:
        """Record that a router has the same table, and thus believes the same members failed."""
        shares = self.gossip.shares
        for member in self.gossip.table.failed.values():
            member.failure_confirmers.add(ident)
            if member.slot is not None and len(member.failure_confirmers) + 1 >= shares.majority:
                shares.record_majority_failed(member.slot, member.claim.generation, now)

    def _update_sender(self, slot: int, datagram: Datagram, now: float) -> None:
        gossip, sender = self.gossip, datagram.sender
        if sender.ident == gossip.own_claim.ident:
            # Not a claim about this router: otherwise two that start together under one name would each raise
            # the generation above the other's for ever.
            first, gossip.name_duplicated = not gossip.name_duplicated, True
            if sender.generation > gossip.own_claim.generation:
                gossip.yield_name(sender, now)
            elif first:
                gossip.note(
                    LogEvent.GOSSIP_NAME_CONFLICT,
                    own_generation=gossip.own_claim.generation,
                    other_generation=sender.generation,
                    kept="ours",
                )
            return
        gossip.accept_claim(sender, now, "its own word")
        member = gossip.table.get(sender.ident)
        if member is None or member.claim.generation != sender.generation:
            return  # another router with the same name, of an earlier generation
        if member.slot != slot:
            before = gossip.table.assign_slot(sender.ident, slot)
            gossip.shares.remove_unplaced(sender.ident)
            if before is not None and not has_ended(before.claim.state):
                gossip.accept_claim(
                    before.claim._replace(state=MemberState.GONE),
                    now,
                    f"{format_member_id(sender.ident)} is at its address",
                )
        member.last_received = now
        member.failure_confirmers.clear()  # it is alive: a majority has to believe it failed anew
        member.view = datagram.view, datagram.view_digest
        if datagram.paused_s and datagram.paused_s != member.pause[1]:
            member.pause = now, datagram.paused_s
            member.evidence.append((now, f"it was stopped for {datagram.paused_s:.1f} s"))

    def _handle_kind(self, slot: int, datagram: Datagram, now: float, unix_ms: float) -> None:
        gossip = self.gossip
        sent = gossip.sent_tracker.find(datagram.in_reply_to, slot) if datagram.in_reply_to else None
        match datagram.kind:
            case Kind.PING:
                self._answer_ping(slot, datagram, now)
            case Kind.ACK if sent is not None and sent.purpose is not None and not sent.completed:
                self._handle_ack(slot, datagram, sent, now)
            case Kind.ASK:
                target = gossip.table.get(datagram.target)
                if target is not None and target.slot is not None:
                    number = gossip.send(
                        target.slot,
                        Kind.PING,
                        now,
                        purpose=Purpose.INDIRECT,
                        ident=datagram.target,
                        requester=(slot, datagram.in_reply_to),
                        first=(datagram.sender,),
                    )
                    self._pending_nacks.append(
                        (now + self.config.ping_timeout_s * NACK_TIMEOUT_MULTIPLE, target.slot, number)
                    )
            case Kind.VIA | Kind.MISS if self.probe is not None and datagram.in_reply_to == self.probe.number:
                self._handle_indirect_result(slot, datagram, now)
            case Kind.SYNC:
                self._answer_sync(slot, datagram.buckets, now)
            case Kind.STALE if (
                sent is not None and sent.sent_at > gossip.generation_began and not gossip.name_is_taken
            ):
                if gossip.own_claim.generation <= datagram.generation <= unix_ms + MAX_AHEAD_MS:
                    gossip.begin_generation(
                        datagram.generation, now, "a later generation is known at this address"
                    )
            case _:
                gossip.counts["late"] += datagram.kind is not Kind.NEWS

    def _answer_ping(self, slot: int, datagram: Datagram, now: float) -> None:
        """Answer a ping, with claims about the sender first."""
        gossip, sender = self.gossip, datagram.sender
        known, first = gossip.table.get(sender.ident), tuple[Claim, ...]()
        if known is not None and known.claim.generation == sender.generation:
            if not datagram.joined:
                known.failed_claim = None  # it joins anew and is counted from now on
            if known.failed_claim is not None:
                first = (known.failed_claim,)
            elif known.claim.state in (MemberState.SUSPECT, MemberState.FAILED):
                first = (known.claim,)
        elif known is not None and known.claim.generation > sender.generation:
            first = (known.claim,)
        if not datagram.joined and datagram.table_digest != gossip.table.digest(gossip.own_claim):
            # A joining router has to learn who is believed failed here, before its answers let others act.
            first += tuple(other.claim for other in gossip.table.failed.values() if other is not known)
            if len(first) > MAX_CLAIMS:
                self._send_claims(slot, first, now)
                return
        gossip.send(slot, Kind.ACK, now, in_reply_to=datagram.number, first=first)

    def _handle_ack(self, slot: int, datagram: Datagram, sent: SentDatagram, now: float) -> None:
        sent.completed = True
        gossip = self.gossip
        if sent.sent_at > gossip.generation_began:  # an answer to an earlier generation proves nothing
            gossip.shares.record_answer(slot, now)
            gossip.shares.renew_lease(slot, sent.sent_at, datagram.joined)
        member = gossip.table.get(datagram.sender.ident)
        if member is not None:
            member.last_reached, member.missed_probes = now, 0
        if sent.purpose is Purpose.INDIRECT and sent.requester is not None:
            requester, in_reply_to = sent.requester
            gossip.send(
                requester,
                Kind.VIA,
                now,
                ident=sent.ident,
                in_reply_to=in_reply_to,
                first=(datagram.sender,),
            )
        if self.probe is not None and self.probe.number == datagram.in_reply_to:
            self.probe.answered = True
            gossip.health.record_success()

    def _handle_indirect_result(self, slot: int, datagram: Datagram, now: float) -> None:
        """Handle a helper's message that it reached the probed member, or could not."""
        probe, member = self.probe, self.gossip.table.get(datagram.target)
        if probe is None or member is None or datagram.target != probe.ident or slot not in probe.helpers:
            return
        if datagram.kind is Kind.VIA:
            if not probe.answered:
                member.missed_probes += 1
                member.last_reached_indirectly = now
                member.evidence.append(
                    (now, f"{format_member_id(datagram.sender.ident)} reached it, we did not")
                )
            probe.answered = True
        else:
            probe.nacks.add(slot)
            member.evidence.append(
                (now, f"{format_member_id(datagram.sender.ident)} could not reach it either")
            )
            if member.suspicion is not None:
                member.suspicion.confirmers.add(datagram.sender.ident)

    def _answer_sync(self, slot: int, received: tuple[int, ...], now: float) -> None:
        """Send the claims of buckets whose digests differ; the own claim goes with each datagram."""
        gossip = self.gossip
        own = gossip.table.digests(gossip.own_claim)
        differing = {index for index, digest in enumerate(own) if received[index : index + 1] != (digest,)}
        claims = [other.claim for other in gossip.table if other.claim.ident % len(own) in differing]
        self._send_claims(slot, tuple(claims), now)

    def _send_claims(self, slot: int, claims: tuple[Claim, ...], now: float) -> None:
        """Send a random sample of the claims, so that repeated calls send different ones."""
        chosen = self.gossip.random.sample(claims, min(len(claims), MAX_SYNC_DATAGRAMS * MAX_CLAIMS))
        for start in range(0, len(chosen), MAX_CLAIMS):
            self.gossip.send(slot, Kind.NEWS, now, first=tuple(chosen[start : start + MAX_CLAIMS]))

    def _reply_stale(self, slot: int, number: int, now: float) -> None:
        """Notify a sender of an earlier generation: it may be a restart whose clock was set back."""
        self._stale_tokens = min(
            STALE_REPLY_RATE, self._stale_tokens + (now - self._stale_tokens_at) * STALE_REPLY_RATE
        )
        self._stale_tokens_at = now
        if self._stale_tokens >= 1.0:
            self._stale_tokens -= 1.0
            self.gossip.send(
                slot,
                Kind.STALE,
                now,
                in_reply_to=number,
                generation=self.gossip.shares.slots[slot].generation,
            )

    def declare_gone(self, slot: int, now: float) -> None:
        """Treat an address as unused, on an operator's word: as if it had refused a datagram of just now."""
        self.gossip.shares.record_refusal(slot, now, now)
        member = next((other for other in self.gossip.table if other.slot == slot), None)
        if member is not None and not has_ended(member.claim.state):
            self.gossip.accept_claim(
                member.claim._replace(state=MemberState.GONE), now, "an operator said so"
            )

    def receive_refusal(self, slot: int, number: int, now: float) -> None:
        """Handle the refusal of a sent datagram: no process has that address.

        It proves the end of a generation only if the datagram was sent after the last one received from
        there; otherwise a refusal read after a datagram of a restarted process would end its generation.
        """
        gossip = self.gossip
        sent = gossip.sent_tracker.find(number, slot)
        if sent is None or not self.config.trust_refusals:
            return
        gossip.counts["refused"] += 1
        gossip.broadcasts.requeue(sent.claims, len(gossip.table.members) + 1)
        sent.claims = ()
        if sent.sent_at <= self._last_received.get(slot, -math.inf):
            return
        if sent.purpose is Purpose.PROBE:
            self._next_probe = now  # otherwise a mass failure would be detected at one member an interval
        if sent.sent_at > gossip.generation_began:  # a refusal to an earlier generation proves nothing
            gossip.shares.record_refusal(slot, sent.sent_at, now)
        member = next((other for other in gossip.table if other.slot == slot), None)
        if member is not None and not has_ended(member.claim.state):
            gossip.accept_claim(
                member.claim._replace(state=MemberState.GONE), now, f"its address refused {number}"
            )

    # -- leaving --

    def announce_leaving(self, now: float) -> None:
        """Announce that this router finishes its requests and takes no more."""
        self.gossip.announce_state(MemberState.LEAVING, now)
        self.gossip.request_push(now)

    def announce_left(self, now: float) -> None:
        """Send the last claim to some members; after it nothing may be sent to caches."""
        self.gossip.announce_state(MemberState.LEFT, now)
        self.gossip.broadcast(LEAVE_FANOUT, now)

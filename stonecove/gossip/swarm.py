"""The detector, after SWIM with Lifeguard's doubts, over `gossip`: everything that one router does.

- Each period one member is probed. Who does not answer is asked for by some others. Suspected is only whom a
  helper could not reach either: without a witness it may be us who are not heard, and we doubt ourselves.
- A suspect is told so first of all, and denies it by a higher incarnation. The verdict comes after
  `figures.suspicion`, later where few have confirmed the doubt or we doubt ourselves.
- Who was stopped, or hears nobody, gives no verdict.
- A refused datagram, sent after the last word from there, proves that life over, without any wait.
"""

from __future__ import annotations

import math

from stonecove.gossip.claims import Claim, Datagram, Kind, MemberState, over, shown
from stonecove.gossip.figures import Figures
from stonecove.gossip.gossip import MAX_AHEAD_MS, MAX_CLAIMS, Gossip
from stonecove.gossip.probing import Probe, Purpose, Sent, target
from stonecove.gossip.shares import Shares, ShareState
from stonecove.gossip.table import Member
from stonecove.runtime.log_events import LogEvent

TICK = 0.05  # seconds between two calls of `tick` while something is under way
MAX_REST = 0.2  # and while nothing is; with it a stop is still told from a rest (`health.GAP`)
MIN_REST = 0.005
JOIN_AT_ONCE = 8  # questions of a joining router in one tick
JOIN_AGAIN = 0.3, 2.0  # seconds until one is asked again, in the first while and later
JOIN_WHILE = 3.0
LOST_EVERY = 3.0  # seconds between two questions to those who were given up or never heard
WITNESSES = 2  # helpers without whose word nobody is suspected
DEAF = 3.0  # periods without a word from anybody, after which we give no verdict
HELP_PATIENCE = 1.5  # a helper says so after this many times the wait for an answer
LAST_FAN = 8  # who are told our last word
SYNC_AFTER, SYNC_EVERY = 1.0, 1.0  # seconds for which tables differ; between two comparisons
MAX_NEWS_DATAGRAMS = 4  # datagrams that answer a comparison
STALE_RATE = 10.0  # answers a second to those who speak from the past


class Swarm:
    """One router among the others. Called with the time; what is to be sent waits in `gossip.out`."""

    def __init__(
        self, me: Claim, shares: Shares, figures: Figures, seed: int, now: float, unix: float
    ) -> None:
        """`now`: steady seconds; `unix`: Unix ms."""
        self.gossip = Gossip(me, shares, figures, seed, now, unix)
        self.figures = figures
        self.probe: Probe | None = None
        # Guards against all who started together probing at the same moment.
        self._next_probe = now + self.gossip.random.random() * figures.period
        self._no_verdict_until = now
        self._helps: list[tuple[float, int, int]] = []  # when, slot, number: a helper says it got none
        self._asked: dict[int, float] = {}  # by slot, when we asked it to count us
        self._lease = figures.lease_of(shares.all)
        self._next_lost = now + LOST_EVERY
        self._lost = 0
        self._heard: dict[int, float] = {}  # by slot
        self._differs: dict[int, float] = {}
        self._next_sync = now
        self._stale_tokens, self._stale_at = STALE_RATE, now

    def share_state(self, now: float) -> ShareState:
        """The shares that hold."""
        return self.gossip.shares.share_state(now)

    # -- time --

    def begin(self, now: float) -> None:
        """Time begins to count for it."""
        self.gossip.health.begin(now)

    def tick(self, now: float, unix: float) -> None:
        """What time brings about; called again after `rest`."""
        gossip = self.gossip
        gossip.unix = unix
        if gap := gossip.health.measure_gap(now):
            self._stopped(now, gap)
        self._probe(now, unix)
        self._help(now)
        self._verdicts(now)
        self._join(now)
        self._probe_lost(now)
        self._sync(now)
        gossip.push(now)
        if gossip.views.move(now, bool(gossip.table.suspects)) is not None:
            view, came, went = gossip.views.history[-1]
            gossip.note(
                LogEvent.GOSSIP_VIEW_CHANGED,
                members=len(view.lives),
                digest=f"{view.digest:08x}",
                joined=came,
                left=went,
            )

    def rest(self, now: float) -> float:
        """Seconds until `tick` may have something to do. To be asked again once something was heard."""
        gossip, shares = self.gossip, self.gossip.shares
        moments = [gossip.urgent_due(), gossip.views.due(bool(gossip.table.suspects)), shares.changes_at(now)]
        probe = self.probe
        if probe is not None and not probe.answered:
            patience = self.figures.answer * gossip.health.patience
            moments.append(probe.ends if probe.asked else min(probe.at + patience, probe.ends))
        else:
            moments.append(self._next_probe)
        moments += [due for due, _, _ in self._helps]
        moments += [one.suspicion.until() for one in gossip.table.suspects.values() if one.suspicion]
        if self._differs:
            moments.append(self._next_sync)
        if now < gossip.born + JOIN_WHILE and not shares.answered_by_all:
            moments.append(now + TICK)
        # What is due and could not be done yet is looked at each TICK.
        soonest = min(moment - now if moment > now else TICK for moment in moments)
        return min(MAX_REST, max(MIN_REST, soonest))

    def _stopped(self, now: float, gap: float) -> None:
        """We were stopped: what we did not hear meanwhile says nothing of others."""
        self.gossip.note(LogEvent.GOSSIP_STOPPED, seconds=round(gap, 2))
        self.probe = None
        self._helps.clear()
        self._no_verdict_until = now + 2.0 * self.figures.period
        self.gossip.last_received = now
        for one in self.gossip.table.suspects.values():
            if one.suspicion is not None:
                one.suspicion.began += gap

    def _probe(self, now: float, unix: float) -> None:
        probe, figures, gossip = self.probe, self.figures, self.gossip
        if probe is not None and not probe.answered:
            member = gossip.table.get(probe.ident)
            if member is None or over(member.claim.state):
                self.probe = None
            elif not probe.asked and now >= probe.at + figures.answer * gossip.health.patience:
                self._request_helpers(probe, member, now)
            elif now >= probe.ends:
                self._unanswered(probe, member, now)
        if now < self._next_probe:
            return
        if self.probe is not None and not self.probe.answered and now < self.probe.ends:
            return  # with doubts in ourselves a probe may last for longer than a period
        self._next_probe = max(self._next_probe + figures.period, now)
        ring = sorted(
            one.claim.ident
            for one in gossip.table
            if one.slot is not None and one.claim.state <= MemberState.SUSPECT
        )
        chosen = gossip.table.get(target(ring, gossip.me.ident, int(unix / 1000.0 / figures.period)) or 0)
        self.probe = None
        if chosen is not None and chosen.slot is not None:
            number = self._ping(chosen, now, Purpose.PROBE)
            ends = now + figures.period * gossip.health.patience
            self.probe = Probe(chosen.claim.ident, chosen.slot, number, now, ends)

    def _ping(self, member: Member, now: float, purpose: Purpose) -> int:
        assert member.slot is not None
        # A suspect is told first of all: it denies it, if it can.
        first = (member.claim,) if member.claim.state in (MemberState.SUSPECT, MemberState.FAILED) else ()
        return self.gossip.send(
            member.slot, Kind.PING, now, purpose=purpose, ident=member.claim.ident, first=first
        )

    def _request_helpers(self, probe: Probe, member: Member, now: float) -> None:
        probe.asked = True
        others = [one for one in self.gossip.alive() if one.claim.ident != probe.ident]
        for one in self.gossip.random.sample(others, min(self.figures.helpers, len(others))):
            if one.slot is not None:
                self.gossip.send(one.slot, Kind.ASK, now, ident=probe.ident, answers=probe.number)
                probe.helpers.add(one.slot)

    def _unanswered(self, probe: Probe, member: Member, now: float) -> None:
        """Neither it nor who was asked for it has answered."""
        self.probe = None
        gossip = self.gossip
        member.missed += 1
        if len(probe.witnesses) < min(WITNESSES, len(probe.helpers)):
            gossip.health.record_failure()  # hardly anybody heard us: it may be our own doing
            return
        self._suspect(
            member, now, f"no answer to {probe.number}, nor to {len(probe.witnesses)} who asked for us"
        )

    def _suspect(self, member: Member, now: float, why: str) -> None:
        gossip = self.gossip
        if member.claim.state < MemberState.SUSPECT:
            gossip.believe(member.claim._replace(state=MemberState.SUSPECT), now, why)
        if member.suspicion is not None:
            member.suspicion.doubters.add(gossip.me.ident)

    def _help(self, now: float) -> None:
        for due, slot, number in [one for one in self._helps if one[0] <= now]:
            sent = self.gossip.outbox.find(number, slot)
            if sent is not None and not sent.done and sent.asker is not None:
                sent.done = True
                asker, answers = sent.asker
                self.gossip.send(asker, Kind.MISS, now, ident=sent.ident, answers=answers)
            self._helps.remove((due, slot, number))

    def _verdicts(self, now: float) -> None:
        """Ends suspicions whose time is up, unless we are in no state to judge."""
        if now < self._no_verdict_until or now > self.gossip.last_received + DEAF * self.figures.period:
            return
        for one in list(self.gossip.table.suspects.values()):
            if one.suspicion is not None and now >= one.suspicion.until():
                doubters = len(one.suspicion.doubters)
                self.gossip.believe(
                    one.claim._replace(state=MemberState.FAILED),
                    now,
                    f"silent since it was suspected; {doubters} could not reach it",
                )

    def _join(self, now: float) -> None:
        """Asks all that have not answered yet to count us."""
        again = JOIN_AGAIN[0] if now < self.gossip.born + JOIN_WHILE else JOIN_AGAIN[1]
        asking = [
            slot
            for slot in self.gossip.shares.asking()
            if (last := self._asked.get(slot, -math.inf)) < self.gossip.born or now >= last + again
        ]
        for slot in asking[:JOIN_AT_ONCE]:
            self._asked[slot] = now
            self.gossip.send(slot, Kind.PING, now, purpose=Purpose.JOIN)

    def _probe_lost(self, now: float) -> None:
        """Asks one of those who were given up: a cut may have ended."""
        if now < self._next_lost:
            return
        self._next_lost = now + min(LOST_EVERY, self._lease / 4.0 / max(1, len(self.gossip.shares.slots)))
        lost = [one for one in self.gossip.table.failed.values() if one.slot is not None]
        if lost:
            self._lost += 1
            self._ping(lost[self._lost % len(lost)], now, Purpose.LOST)
        # Those who are gone are not probed: that they refuse has to stay fresh.
        shares = self.gossip.shares
        oldest = shares.oldest()
        if oldest is not None and shares.slots[oldest].asked < now - self._lease / 2.0:
            self.gossip.send(oldest, Kind.PING, now, purpose=Purpose.LOST)

    def _sync(self, now: float) -> None:
        if now < self._next_sync:
            return
        self._next_sync = now + SYNC_EVERY
        long = [slot for slot, since in self._differs.items() if now - since >= SYNC_AFTER]
        if long:
            slot = self.gossip.random.choice(long)
            del self._differs[slot]
            self.gossip.send(slot, Kind.SYNC, now, buckets=self.gossip.table.digests(self.gossip.me))

    # -- what comes in --

    def heard(self, slot: int, datagram: Datagram, now: float, unix: float) -> None:
        """A datagram from that slot's address."""
        gossip, sender = self.gossip, datagram.sender
        gossip.unix = unix
        if (
            sender.generation < gossip.shares.slots[slot].generation
            or sender.generation > unix + MAX_AHEAD_MS
        ):
            gossip.counts["old"] += 1
            self._stale(slot, datagram.number, now)
            return
        gossip.last_received = self._heard[slot] = now
        if over(sender.state):  # its last word: that life is over, and counts until the window has passed
            gossip.shares.over(slot, sender.generation, now)
        else:
            gossip.shares.heard(slot, sender.generation, sender.zone)
        self._of_sender(slot, datagram, now)
        for claim in datagram.claims:
            if claim.ident == gossip.me.ident:
                gossip.receive_own_claim(claim, now)
            else:
                gossip.receive_claim(claim, sender.ident, now)
        gossip.views.heard(datagram.view, datagram.view_digest)
        if datagram.table_digest == gossip.table.digest(gossip.me):
            self._differs.pop(slot, None)
            self._same_table(sender.ident, now)
        else:
            self._differs.setdefault(slot, now)
        self._answer(slot, datagram, now, unix)

    def _same_table(self, ident: int, now: float) -> None:
        """That router believes what we do: whom we hold for failed, it does, too."""
        shares = self.gossip.shares
        for one in self.gossip.table.failed.values():
            one.failure_witnesses.add(ident)
            if one.slot is not None and len(one.failure_witnesses) + 1 >= shares.majority:
                shares.record_majority_failed(one.slot, one.claim.generation, now)

    def _of_sender(self, slot: int, datagram: Datagram, now: float) -> None:
        gossip, sender = self.gossip, datagram.sender
        if sender.ident == gossip.me.ident:
            # Guards against two that start together and top each other's life for ever: it is no word on us.
            first, gossip.twin = not gossip.twin, True
            if sender.generation > gossip.me.generation:
                gossip.yield_name(sender, now)
            elif first:
                gossip.note(
                    LogEvent.GOSSIP_NAME_CONFLICT,
                    own_generation=gossip.me.generation,
                    other_generation=sender.generation,
                    kept="ours",
                )
            return
        gossip.believe(sender, now, "its own word")
        member = gossip.table.get(sender.ident)
        if member is None or member.claim.generation != sender.generation:
            return  # another of the same name, and an older one
        if member.slot != slot:
            before = gossip.table.place(sender.ident, slot)
            gossip.shares.placed(sender.ident)
            if before is not None and not over(before.claim.state):
                gossip.believe(
                    before.claim._replace(state=MemberState.GONE),
                    now,
                    f"{shown(sender.ident)} is at its address",
                )
        member.heard = now
        member.failure_witnesses.clear()  # it speaks: what most held of it has to be learned anew
        member.view = datagram.view, datagram.view_digest
        if datagram.paused and datagram.paused != member.paused[1]:
            member.paused = now, datagram.paused
            member.evidence.append((now, f"it was stopped for {datagram.paused:.1f} s"))

    def _answer(self, slot: int, datagram: Datagram, now: float, unix: float) -> None:
        gossip = self.gossip
        sent = gossip.outbox.find(datagram.answers, slot) if datagram.answers else None
        match datagram.kind:
            case Kind.PING:
                self._pinged(slot, datagram, now)
            case Kind.ACK if sent is not None and sent.purpose is not None and not sent.done:
                self._answered(slot, datagram, sent, now)
            case Kind.ASK:
                wanted = gossip.table.get(datagram.about)
                if wanted is not None and wanted.slot is not None:
                    number = gossip.send(
                        wanted.slot,
                        Kind.PING,
                        now,
                        purpose=Purpose.HELP,
                        ident=datagram.about,
                        asker=(slot, datagram.answers),
                        first=(datagram.sender,),
                    )
                    self._helps.append((now + self.figures.answer * HELP_PATIENCE, wanted.slot, number))
            case Kind.VIA | Kind.MISS if self.probe is not None and datagram.answers == self.probe.number:
                self._of_helper(slot, datagram, now)
            case Kind.SYNC:
                self._send_difference(slot, datagram.buckets, now)
            case Kind.STALE if sent is not None and sent.at > gossip.born and not gossip.name_is_taken:
                if gossip.me.generation <= datagram.generation <= unix + MAX_AHEAD_MS:
                    gossip.begin_generation(
                        datagram.generation, now, "a later life was heard from our address"
                    )
            case _:
                gossip.counts["late"] += datagram.kind is not Kind.NEWS

    def _pinged(self, slot: int, datagram: Datagram, now: float) -> None:
        """Answers, and says first what concerns the sender."""
        gossip, sender = self.gossip, datagram.sender
        known, first = gossip.table.get(sender.ident), tuple[Claim, ...]()
        if known is not None and known.claim.generation == sender.generation:
            if not datagram.joined:
                known.failed_claim = None  # it asks all once more, us too: from now on we count it
            if known.failed_claim is not None:
                first = (known.failed_claim,)
            elif known.claim.state in (MemberState.SUSPECT, MemberState.FAILED):
                first = (known.claim,)
        elif known is not None and known.claim.generation > sender.generation:
            first = (known.claim,)
        if not datagram.joined and datagram.table_digest != gossip.table.digest(gossip.me):
            # Who is not joined yet has to hold for failed whom we do, before its answers let them act.
            first += tuple(one.claim for one in gossip.table.failed.values() if one is not known)
            if len(first) > MAX_CLAIMS:
                self._send_claims(slot, first, now)
                return
        gossip.send(slot, Kind.ACK, now, answers=datagram.number, first=first)

    def _answered(self, slot: int, datagram: Datagram, sent: Sent, now: float) -> None:
        sent.done = True
        gossip = self.gossip
        if sent.at > gossip.born:  # a question of before says nothing of now
            gossip.shares.answered(slot, now)
            gossip.shares.renewed(slot, sent.at, datagram.joined)
        member = gossip.table.get(datagram.sender.ident)
        if member is not None:
            member.reached, member.missed = now, 0
        if sent.purpose is Purpose.HELP and sent.asker is not None:
            asker, answers = sent.asker
            gossip.send(asker, Kind.VIA, now, ident=sent.ident, answers=answers, first=(datagram.sender,))
        if self.probe is not None and self.probe.number == datagram.answers:
            self.probe.answered = True
            gossip.health.record_success()

    def _of_helper(self, slot: int, datagram: Datagram, now: float) -> None:
        """Who was asked has reached the member, or could not."""
        probe, member = self.probe, self.gossip.table.get(datagram.about)
        if probe is None or member is None or datagram.about != probe.ident or slot not in probe.helpers:
            return
        if datagram.kind is Kind.VIA:
            if not probe.answered:
                member.missed += 1
                member.via = now
                member.evidence.append((now, f"{shown(datagram.sender.ident)} reached it, we did not"))
            probe.answered = True
        else:
            probe.witnesses.add(slot)
            member.evidence.append((now, f"{shown(datagram.sender.ident)} could not reach it either"))
            if member.suspicion is not None:
                member.suspicion.doubters.add(datagram.sender.ident)

    def _send_difference(self, slot: int, theirs: tuple[int, ...], now: float) -> None:
        """Tells words of the buckets that differ, ours among them."""
        gossip = self.gossip
        mine = gossip.table.digests(gossip.me)
        differ = {place for place, digest in enumerate(mine) if theirs[place : place + 1] != (digest,)}
        claims = [one.claim for one in gossip.table if one.claim.ident % len(mine) in differ]
        self._send_claims(slot, tuple(claims), now)

    def _send_claims(self, slot: int, claims: tuple[Claim, ...], now: float) -> None:
        """Some of many words; guards against the same few each time."""
        chosen = self.gossip.random.sample(claims, min(len(claims), MAX_NEWS_DATAGRAMS * MAX_CLAIMS))
        for start in range(0, len(chosen), MAX_CLAIMS):
            self.gossip.send(slot, Kind.NEWS, now, first=tuple(chosen[start : start + MAX_CLAIMS]))

    def _stale(self, slot: int, number: int, now: float) -> None:
        """Tells who speaks from the past so: it may be a new start whose clock was set back."""
        self._stale_tokens = min(STALE_RATE, self._stale_tokens + (now - self._stale_at) * STALE_RATE)
        self._stale_at = now
        if self._stale_tokens >= 1.0:
            self._stale_tokens -= 1.0
            self.gossip.send(
                slot, Kind.STALE, now, answers=number, generation=self.gossip.shares.slots[slot].generation
            )

    def declare_gone(self, slot: int, now: float) -> None:
        """An operator says that nobody is at that address: as if it had refused a question of just now."""
        self.gossip.shares.refused(slot, now, now)
        member = next((one for one in self.gossip.table if one.slot == slot), None)
        if member is not None and not over(member.claim.state):
            self.gossip.believe(member.claim._replace(state=MemberState.GONE), now, "an operator said so")

    def refused(self, slot: int, number: int, now: float) -> None:
        """What we sent there under that number was refused: nobody has that address.

        It proves something only if it was sent after the last word from there; guards against a refusal that
        is read after a new start was heard.
        """
        gossip = self.gossip
        sent = gossip.outbox.find(number, slot)
        if sent is None or not self.figures.refusals_prove:
            return
        gossip.counts["refused"] += 1
        gossip.broadcasts.requeue(sent.claims, len(gossip.table.members) + 1)
        sent.claims = ()
        if sent.at <= self._heard.get(slot, -math.inf):
            return
        if sent.purpose is Purpose.PROBE:
            self._next_probe = now  # more may be gone: guards against a mass kill found one in each period
        if sent.at > gossip.born:  # a question of before says nothing of now
            gossip.shares.refused(slot, sent.at, now)
        member = next((one for one in gossip.table if one.slot == slot), None)
        if member is not None and not over(member.claim.state):
            gossip.believe(
                member.claim._replace(state=MemberState.GONE), now, f"its address refused {number}"
            )

    # -- our own end --

    def leaving(self, now: float) -> None:
        """We finish what we took and take nothing more."""
        self.gossip.say(MemberState.LEAVING, now)
        self.gossip.urgent(now)

    def left(self, now: float) -> None:
        """Our last word, to some who tell the others; nothing may be sent to caches after it."""
        self.gossip.say(MemberState.LEFT, now)
        self.gossip.broadcast(LAST_FAN, now)

"""Seeded claims of three endpoint sources, and the results of their merge.

Only the `describe_...` functions and the table of alarms refer to the program's fields.
"""

from __future__ import annotations

import itertools
import json
import math
import random
from collections import Counter
from typing import Any

from stonecove.discovery import Member
from stonecove.discovery.merge import EndpointMerger, EndpointSource, Explanation
from stonecove.discovery.records import TopologyNames, parse_member
from stonecove.discovery.roster import Claim, Roster, RosterRules
from stonecove.routing.endpoints import NodeState

EPOCH_MS = 1_700_000_000_000.0
REMOVED, DRAINING, READY = NodeState.REMOVED, NodeState.DRAINING, NodeState.READY
NAMES = TopologyNames(("hub", "edge-1", "edge-2"), ("small", "large", "parent", "origin"))
RULES = RosterRules(
    stale_after_ms=6000.0,
    linger_ms=900.0,
    reconnect_within_ms=300.0,
    mass_departure_share=0.5,
    mass_departure_min=3,
    mass_departure_window_ms=500.0,
    max_returns=2,
    flap_window_ms=5000.0,
    flap_hold_ms=400.0,
    max_flap_hold_ms=3000.0,
    max_record_bytes=400,
)
ALARMS = {  # by log event: its name in the golden data, and its fields in order
    "endpoint_record_invalid": ("unreadable-record", ("node", "reason")),
    "mass_departure_suspected": ("mass-departure", ("departed", "total")),
    "mass_departure_confirmed": ("departure-confirmed", ("departed", "returned")),
    "endpoint_source_stale": ("silent-source", ("silent_s", "unchanged_s", "nodes")),
    "endpoint_returned": ("returned", ("node", "absent_ms", "same_process", "reconnected")),
    "endpoint_flapping": ("flapping", ("node", "returns", "suppressed_ms")),
    "endpoint_id_duplicated": ("duplicate-id", ("node", "nodes", "chosen")),
    "endpoint_address_duplicated": ("duplicate-address", ("node", "address", "chosen")),
}


def describe_member(member: Member | None) -> list[Any] | None:
    """Return an endpoint and its address as a list."""
    if member is None:
        return None
    node = member.node
    return [
        node.node_id, node.kind, node.started_ms, int(node.state), node.cell, node.zone, node.weight,
        member.host,
        member.port,
    ]  # fmt: skip


def describe_claim(claim: Claim) -> list[Any]:
    """Return a source's claim about an endpoint as a list."""
    return [int(claim.state), describe_member(claim.member), claim.reason]


def describe_explanation(explanation: Explanation | None) -> list[Any] | None:
    """Return the status of an endpoint and the claims behind it as a list."""
    if explanation is None:
        return None
    status = explanation.status
    claims = [
        [
            source.name,
            source.rank,
            current,
            describe_claim(recorded.claim),
            recorded.sequence,
            recorded.received_at_ms,
        ]
        for source, current, recorded in explanation.claims
    ]
    return [int(status.state), describe_member(status.member), status.reason, explanation.since_ms, claims]


def endpoint_record(rng: random.Random, ident: int) -> bytes:
    """Return the record of an endpoint; a few records cannot be parsed."""
    if rng.random() < 0.02:
        return rng.choice((b"{", b"[]", b'{"id": 0}', b" " * 500))
    host = rng.choice((ident, ident, ident, ident % 4))
    return json.dumps(
        {
            "id": f"s-{ident:08x}",
            "address": f"10.0.0.{host}:6565",
            "zone": rng.choice(("edge-1", "edge-1", "edge-2", 0)),
            "kind": rng.choice(("small", "large", 2)),
            "cell": ident % 3,
            "weight": rng.choice((20.0, 20.0, 40.5)),
            "started": rng.choice((0, 5000, 5000, 9000 + ident)),
            "state": rng.choice(("up", "up", "up", "draining")),
        }
    ).encode()


class EndpointSources:
    """One merge of three sources: a roster of ephemeral nodes, and two that make claims directly."""

    IDS = range(1, 15)

    def __init__(self, seed: int, retain_last_list: bool) -> None:
        self._rng = random.Random(seed)
        self._sources = [
            EndpointSource("changelog", 0),
            EndpointSource("zookeeper", 1),
            EndpointSource("dns", 2),
        ]
        self._merge = EndpointMerger(self._sources, retain_last_list)
        self._roster = Roster(NAMES, RULES, self._emit_claim, self._request_confirmation, self._log_alarm)
        self._now_ms = EPOCH_MS
        self._owners: dict[str, int] = {}  # owner sessions of the ephemeral nodes, by name of the node
        self._transactions = itertools.count(1)
        self._entries: list[Any] = []
        self.seen: Counter[str] = Counter()

    def run(self, steps: int) -> list[list[Any]]:
        """Return for each step the events of the roster, and the members that the merge delivers."""
        lines = []
        for _ in range(steps):
            self._entries = []
            self._now_ms += self._rng.choice((0.0, 1.0, 20.0, 150.0, 400.0))
            self._step()
            self._deliver()
            lines.append(self._entries)
            self.seen.update(entry[0] for entry in self._entries)
        return lines

    def _record_entry(self, kind: str, *values: Any) -> None:
        self._entries.append([kind, *values])

    def _emit_claim(self, ident: int, claim: Claim) -> None:
        self._record_entry("claim", ident, *describe_claim(claim))
        self._merge.apply_claim(self._source_named("zookeeper"), ident, claim, self._now_ms)

    def _request_confirmation(self) -> None:
        self._record_entry("confirmation-wanted")

    def _log_alarm(self, event: str, **fields: Any) -> None:
        name, order = ALARMS[event]
        self._record_entry(name, *(fields[field] for field in order))
        assert set(fields) == set(order)

    def _source_named(self, name: str) -> EndpointSource:
        return next(source for source in self._merge.sources if source.name == name)

    def _step(self) -> None:
        rng, roster = self._rng, self._roster
        draw = rng.random()
        if draw < 0.30:
            self._put(rng.choice(self.IDS))
        elif draw < 0.48:
            count = rng.choice((1, 1, 1, 2, 7))
            names = rng.sample(sorted(self._owners), min(len(self._owners), count))
            self._remove_owners(names)
            roster.remove(names, self._now_ms)
        elif draw < 0.54:
            self._remove_owners(rng.sample(sorted(self._owners), min(len(self._owners), rng.randrange(3))))
            roster.apply_snapshot(frozenset(self._owners), rng.random() < 0.5, self._now_ms)
        elif draw < 0.57:
            roster.connection_lost(self._now_ms)
            self._now_ms += rng.choice((100.0, 2000.0, 7000.0))
            roster.tick(self._now_ms)
        elif draw < 0.67:
            roster.tick(self._now_ms)
            next_tick_ms = roster.next_tick_ms()
            self._record_entry("due", None if next_tick_ms == math.inf else next_tick_ms, roster.unconfirmed)
        elif draw < 0.70:
            roster.prune(self._now_ms)
        elif draw < 0.90:
            self._claim_directly()
        elif draw < 0.95:
            name = rng.choice(("changelog", "dns"))
            self._merge.set_current(self._source_named(name), rng.random() < 0.75, self._now_ms)
        elif draw < 0.96:
            self._update_ranks()
        else:
            ident = rng.choice(self.IDS)
            self._record_entry("explained", ident, describe_explanation(self._merge.explain(ident)))

    def _put(self, ident: int) -> None:
        rng = self._rng
        name = rng.choice((f"n{ident}", f"n{ident}", f"twin{ident}"))
        if self._owners.get(name) is None:
            self._owners[name] = rng.choice((100 + ident, 200 + next(self._transactions)))
        czxid = rng.choice((ident, next(self._transactions)))
        self._roster.put(
            name, endpoint_record(rng, ident), czxid, self._now_ms, self._owners[name], self._now_ms
        )

    def _remove_owners(self, names: list[str]) -> None:
        for name in names:
            del self._owners[name]

    def _claim_directly(self) -> None:
        rng = self._rng
        source = self._source_named(rng.choice(("changelog", "changelog", "dns")))
        ident = rng.choice(self.IDS)
        state = rng.choice((READY, READY, READY, DRAINING, REMOVED))
        member = None
        if state is READY or rng.random() < 0.5:
            record = b""
            while not record.startswith(b'{"id": "s-'):
                record = endpoint_record(rng, ident)
            member = parse_member(record, NAMES)
        self._merge.apply_claim(source, ident, Claim(state, member, f"said to be {int(state)}"), self._now_ms)
        known = self._merge.claim_of(source, ident)
        self._record_entry("claimed", source.name, ident, None if known is None else describe_claim(known))

    def _update_ranks(self) -> None:
        rng = self._rng
        ranks = rng.sample(range(5), 3)
        if rng.random() < 0.2:
            ranks = [1, 1, 2]
        sources = [
            EndpointSource(source.name, rank) for source, rank in zip(self._sources, ranks, strict=True)
        ]
        try:
            self._merge.update_ranks(sources, rng.random() < 0.5, self._now_ms)
        except ValueError as error:
            self._record_entry("error", str(error))

    def _deliver(self) -> None:
        """Deliver urgent changes at once and others at times later, as the owner of the merge does."""
        merge = self._merge
        merge.set_current(
            self._source_named("zookeeper"), self._roster.is_current(self._now_ms), self._now_ms
        )
        if merge.has_changes() and (merge.urgent or self._rng.random() < 0.6):
            urgent = merge.urgent
            self._record_entry("told", urgent, [describe_member(member) for member in merge.take_changes()])
            self._record_entry("known", merge.node_ids(), len(merge))

"""Seeded reports of three endpoint sources, and what their merge tells.

The functions named `describe_...` and the table of alarms alone know the program's fields.
"""

from __future__ import annotations

import itertools
import json
import math
import random
from collections import Counter
from typing import Any

from stonecove.discovery import Member
from stonecove.discovery.merge import Explanation, Merge, Source
from stonecove.discovery.records import Names, member_of
from stonecove.discovery.roster import Claim, Roster, Rules
from stonecove.routing.endpoints import NodeState

EPOCH_MS = 1_700_000_000_000.0
GONE, DRAINING, READY = NodeState.REMOVED, NodeState.DRAINING, NodeState.READY
NAMES = Names(("hub", "edge-1", "edge-2"), ("small", "large", "parent", "origin"))
RULES = Rules(
    stale_for=6000.0,
    linger=900.0,
    return_within=300.0,
    mass_share=0.5,
    mass_least=3,
    mass_window=500.0,
    flap_most=2,
    flap_window=5000.0,
    flap_hold=400.0,
    flap_longest=3000.0,
    most_bytes=400,
)
ALARMS = {  # by the program's name of a log event: its neutral name, and its fields in order
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
    """Return what a source says of an endpoint."""
    return [int(claim.state), describe_member(claim.member), claim.why]


def describe_explanation(found: Explanation | None) -> list[Any] | None:
    """Return why an endpoint is what it is."""
    if found is None:
        return None
    verdict = found.verdict
    claims = [
        [source.name, source.rank, counts, describe_claim(told.claim), told.number, told.at]
        for source, counts, told in found.claims
    ]
    return [int(verdict.state), describe_member(verdict.member), verdict.why, found.since, claims]


def endpoint_record(chooser: random.Random, ident: int) -> bytes:
    """Return the published record of an endpoint; a few cannot be read."""
    if chooser.random() < 0.02:
        return chooser.choice((b"{", b"[]", b'{"id": 0}', b" " * 500))
    host = chooser.choice((ident, ident, ident, ident % 4))
    return json.dumps(
        {
            "id": f"s-{ident:08x}",
            "address": f"10.0.0.{host}:6565",
            "zone": chooser.choice(("edge-1", "edge-1", "edge-2", 0)),
            "kind": chooser.choice(("small", "large", 2)),
            "cell": ident % 3,
            "weight": chooser.choice((20.0, 20.0, 40.5)),
            "started": chooser.choice((0, 5000, 5000, 9000 + ident)),
            "state": chooser.choice(("up", "up", "up", "draining")),
        }
    ).encode()


class EndpointSources:
    """Three sources around one merge: a roster of ephemeral nodes, and two that claim by themselves."""

    IDS = range(1, 15)

    def __init__(self, seed: int, keep: bool) -> None:
        self._random = random.Random(seed)
        self._sources = [Source("changelog", 0), Source("zookeeper", 1), Source("dns", 2)]
        self._merge = Merge(self._sources, keep)
        self._roster = Roster(NAMES, RULES, self._emitted, self._confirm, self._alarm)
        self._now = EPOCH_MS
        self._names: dict[str, int] = {}  # ephemeral nodes, with the id in each
        self._transactions = itertools.count(1)
        self._line: list[Any] = []
        self.seen: Counter[str] = Counter()

    def run(self, steps: int) -> list[list[Any]]:
        """Return for each step what the roster told, and what the sink is told by the merge."""
        lines = []
        for _ in range(steps):
            self._line = []
            self._now += self._random.choice((0.0, 1.0, 20.0, 150.0, 400.0))
            self._step()
            self._settle()
            lines.append(self._line)
            self.seen.update(entry[0] for entry in self._line)
        return lines

    def _note(self, kind: str, *values: Any) -> None:
        self._line.append([kind, *values])

    def _emitted(self, ident: int, claim: Claim) -> None:
        self._note("claim", ident, *describe_claim(claim))
        self._merge.claim(self._sources_named("zookeeper"), ident, claim, self._now)

    def _confirm(self) -> None:
        self._note("confirmation-wanted")

    def _alarm(self, event: str, **fields: Any) -> None:
        name, order = ALARMS[event]
        self._note(name, *(fields[field] for field in order))
        assert set(fields) == set(order)

    def _sources_named(self, name: str) -> Source:
        return next(source for source in self._merge.sources if source.name == name)

    def _step(self) -> None:
        chooser, roster = self._random, self._roster
        roll = chooser.random()
        if roll < 0.30:
            self._put(chooser.choice(self.IDS))
        elif roll < 0.48:
            most = chooser.choice((1, 1, 1, 2, 7))
            names = chooser.sample(sorted(self._names), min(len(self._names), most))
            self._leave(names)
            roster.removed(names, self._now)
        elif roll < 0.54:
            self._leave(chooser.sample(sorted(self._names), min(len(self._names), chooser.randrange(3))))
            roster.whole(frozenset(self._names), chooser.random() < 0.5, self._now)
        elif roll < 0.57:
            roster.down(self._now)
            self._now += chooser.choice((100.0, 2000.0, 7000.0))
            roster.tick(self._now)
        elif roll < 0.67:
            roster.tick(self._now)
            due = roster.next_due()
            self._note("due", None if due == math.inf else due, roster.unconfirmed)
        elif roll < 0.70:
            roster.forget(self._now)
        elif roll < 0.90:
            self._direct_claim()
        elif roll < 0.95:
            name = chooser.choice(("changelog", "dns"))
            self._merge.say(self._sources_named(name), chooser.random() < 0.75, self._now)
        elif roll < 0.96:
            self._rank()
        else:
            ident = chooser.choice(self.IDS)
            self._note("explained", ident, describe_explanation(self._merge.explain(ident)))

    def _put(self, ident: int) -> None:
        chooser = self._random
        name = chooser.choice((f"n{ident}", f"n{ident}", f"twin{ident}"))
        if self._names.get(name) is None:
            self._names[name] = chooser.choice((100 + ident, 200 + next(self._transactions)))
        made = chooser.choice((ident, next(self._transactions)))
        self._roster.put(name, endpoint_record(chooser, ident), made, self._now, self._names[name], self._now)

    def _leave(self, names: list[str]) -> None:
        for name in names:
            del self._names[name]

    def _direct_claim(self) -> None:
        chooser = self._random
        source = self._sources_named(chooser.choice(("changelog", "changelog", "dns")))
        ident = chooser.choice(self.IDS)
        state = chooser.choice((READY, READY, READY, DRAINING, GONE))
        member = None
        if state is READY or chooser.random() < 0.5:
            record = b""
            while not record.startswith(b'{"id": "s-'):
                record = endpoint_record(chooser, ident)
            member = member_of(record, NAMES)
        self._merge.claim(source, ident, Claim(state, member, f"said to be {int(state)}"), self._now)
        known = self._merge.claimed(source, ident)
        self._note("claimed", source.name, ident, None if known is None else describe_claim(known))

    def _rank(self) -> None:
        chooser = self._random
        ranks = chooser.sample(range(5), 3)
        if chooser.random() < 0.2:
            ranks = [1, 1, 2]
        sources = [Source(source.name, rank) for source, rank in zip(self._sources, ranks, strict=True)]
        try:
            self._merge.rank(sources, chooser.random() < 0.5, self._now)
        except ValueError as error:
            self._note("error", str(error))

    def _settle(self) -> None:
        """Hand over what has changed, most of the time, as the owner of the merge does."""
        merge = self._merge
        merge.say(self._sources_named("zookeeper"), self._roster.has_say(self._now), self._now)
        if merge.waiting() and (merge.urgent or self._random.random() < 0.6):
            urgent = merge.urgent
            self._note("told", urgent, [describe_member(member) for member in merge.take()])
            self._note("known", merge.ids(), len(merge))

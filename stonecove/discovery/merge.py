"""Several sources, one list: which state and address a node has when they do not agree. Knows no I/O.

The rule, for each node, by the claims of all sources (a claim has the number at which it was told):

1. The strictest state wins at once: a claim of draining or gone holds from the moment it is told.
2. Coming back is for the most trusted source that has a say and knows the node: a strict claim of another
   source is over only if that source takes it back, or if the most trusted one has told `ready` after it.
3. A source without a say (silent for too long, or never read) no longer keeps a node ready; a strict claim
   of its stands until a source with a say tells `ready` after it.
4. A node that no source with a say knows is draining; if no source has a say at all, `nobody` decides
   whether the last list stands (`keep`) or nothing gets fresh work (`refuse`).
5. Address, zone, kind and weight are those of the most trusted claim that has them; `started` is the latest
   told, as a cold node must not be taken for a warm one.
6. Of two ready ids at one address, the younger (by `started`, then by the claim's number) keeps it; the
   other drains.

`Merge` is an index that is kept up with each claim; `merged` is the same rule over all claims at once, by
which it is tested and measured.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from stonecove.discovery import Member
from stonecove.discovery.roster import Claim
from stonecove.routing.endpoints import NodeId, NodeState


class Source(NamedTuple):
    """A keeper of a list; the lower the rank, the more it is trusted."""

    name: str
    rank: int


class Told(NamedTuple):
    """A claim as it is kept: with its number and the Unix millisecond at which it was told."""

    claim: Claim
    number: int
    at: float


class Verdict(NamedTuple):
    """What a node is for us, and why."""

    state: NodeState
    member: Member | None
    why: str


class Explanation(NamedTuple):
    """Why a node is what it is."""

    verdict: Verdict
    since: float
    claims: tuple[tuple[Source, bool, Told], ...]  # source, whether it has a say, and what it says


UNKNOWN = Verdict(NodeState.REMOVED, None, "no source knows it")


def decide(claims: Iterable[tuple[Source, bool, Told]], anybody: bool, keep: bool) -> Verdict:
    """Rules 1 to 5 for one node. `anybody`: some source has a say; `keep`: the last list stands if none
    has.
    """
    known = sorted(claims, key=lambda one: one[0].rank)
    members = [told.claim.member for _, _, told in known if told.claim.member is not None]
    if not members:
        return UNKNOWN
    living = [
        told.claim.member
        for _, _, told in known
        if told.claim.member is not None and told.claim.state is not NodeState.REMOVED
    ]
    member = (living or members)[0]
    latest = max(found.node.started_ms for found in (living or members))
    if latest != member.node.started_ms:
        member = member._replace(node=member.node._replace(started_ms=latest))
    having = [one for one in known if one[1]] or ([] if anybody or not keep else known)
    if not having:
        if not living:
            return Verdict(NodeState.REMOVED, member, f"{known[0][0].name}: {known[0][2].claim.why}")
        why = "no source with a say knows it" if anybody else "no source has a say"
        return Verdict(NodeState.DRAINING, member, why)
    top, _, newest = having[0]
    if newest.claim.state is not NodeState.READY:
        # Gone here, but others still list it: draining, so that what is out may end.
        state = NodeState.DRAINING if living else NodeState.REMOVED
        return Verdict(state, member, f"{top.name}: {newest.claim.why}")
    for source, _, told in known:
        if told.claim.state is not NodeState.READY and told.number > newest.number:
            return Verdict(NodeState.DRAINING, member, f"{source.name}: {told.claim.why}")
    return Verdict(NodeState.READY, member, f"{top.name}: {newest.claim.why}")


class _Node:
    """One node of the index."""

    __slots__ = ("claims", "verdict", "base", "since", "number")

    def __init__(self) -> None:
        self.claims: dict[Source, Told] = {}
        self.base = UNKNOWN  # before rule 6
        self.verdict = UNKNOWN
        self.since = 0.0
        self.number = 0  # of its newest ready claim


class Merge:
    """The merged list, kept up claim by claim."""

    def __init__(self, sources: Iterable[Source], keep: bool = False) -> None:
        """`keep`: the last list stands if no source has a say. Raises ValueError for two of one rank or
        name.
        """
        self.sources = tuple(sorted(sources, key=lambda source: source.rank))
        for field in ("rank", "name"):
            if len({getattr(source, field) for source in self.sources}) < len(self.sources):
                raise ValueError(f"two sources of one {field}")
        self._keep = keep
        self._say = dict.fromkeys(self.sources, False)
        self._nodes: dict[NodeId, _Node] = {}
        self._known_by: dict[Source, set[NodeId]] = {source: set() for source in self.sources}
        self._at: dict[tuple[str, int], set[NodeId]] = {}
        self._changed: dict[NodeId, None] = {}  # in the order of their changes
        self._number = 0
        self.urgent = False  # among the changes is one that forbids fresh work

    def __len__(self) -> int:
        return len(self._nodes)

    def claim(self, source: Source, ident: NodeId, claim: Claim, now: float) -> None:
        """A source says something new of a node."""
        self._number += 1
        node = self._nodes.get(ident)
        if node is None:
            if claim.state is NodeState.REMOVED:
                return
            node = self._nodes[ident] = _Node()
        before = node.claims.get(source)
        if claim.member is None and before is not None:
            claim = claim._replace(member=before.claim.member)
        node.claims[source] = Told(claim, self._number, now)
        self._known_by[source].add(ident)
        self._judge(ident, now)

    def say(self, source: Source, has: bool, now: float) -> None:
        """A source gains or loses its say."""
        if self._say[source] == has:
            return
        anybody = any(self._say.values())
        self._say[source] = has
        # If nobody has a say any more, or somebody has again, all nodes are touched and not only those of
        # the source.
        whole = anybody != any(self._say.values())
        for ident in list(self._nodes if whole else self._known_by[source]):
            self._judge(ident, now)

    def rank(self, sources: Iterable[Source], keep: bool, now: float) -> None:
        """The same sources by name, trusted in another order; raises ValueError where a name is missing."""
        ranked = tuple(sorted(sources, key=lambda source: source.rank))
        new = {source.name: source for source in ranked}
        if len({source.rank for source in ranked}) < len(ranked):
            raise ValueError("two sources of one rank")
        if set(new) != {source.name for source in self.sources}:
            raise ValueError("other sources than before")
        self.sources, self._keep = ranked, keep
        self._say = {new[source.name]: say for source, say in self._say.items()}
        self._known_by = {new[source.name]: known for source, known in self._known_by.items()}
        for node in self._nodes.values():
            node.claims = {new[source.name]: told for source, told in node.claims.items()}
        for ident in list(self._nodes):
            self._judge(ident, now)

    def has_say(self, source: Source) -> bool:
        """Whether the claims of a source count."""
        return self._say[source]

    def take(self) -> list[Member]:
        """What has changed since the last call, as the core is to be told of it; each node once."""
        changed, self._changed, self.urgent = self._changed, {}, False
        found = []
        for ident in changed:
            node = self._nodes[ident]
            member = node.verdict.member
            if member is not None:
                found.append(member._replace(node=member.node._replace(state=node.verdict.state)))
            if node.verdict.state is NodeState.REMOVED and all(
                told.claim.state is NodeState.REMOVED for told in node.claims.values()
            ):
                self._drop(ident)
        return found

    def claimed(self, source: Source, ident: NodeId) -> Claim | None:
        """What a source says of a node; None if nothing."""
        node = self._nodes.get(ident)
        told = node.claims.get(source) if node is not None else None
        return None if told is None else told.claim

    def waiting(self) -> bool:
        """Whether `take` has something to give."""
        return bool(self._changed)

    def verdict(self, ident: NodeId) -> Verdict:
        """What a node is now."""
        node = self._nodes.get(ident)
        return UNKNOWN if node is None else node.verdict

    def ids(self) -> list[NodeId]:
        """All nodes that any source knows, sorted."""
        return sorted(self._nodes)

    def explain(self, ident: NodeId) -> Explanation | None:
        """Who says what of a node; None if nobody knows it."""
        node = self._nodes.get(ident)
        if node is None:
            return None
        return Explanation(node.verdict, node.since, self._told(node))

    # -- within --

    def _told(self, node: _Node) -> tuple[tuple[Source, bool, Told], ...]:
        return tuple((source, self._say[source], told) for source, told in node.claims.items())

    def _judge(self, ident: NodeId, now: float) -> None:
        node = self._nodes[ident]
        before, base = node.base, decide(self._told(node), any(self._say.values()), self._keep)
        node.base = base
        node.number = max(
            (told.number for told in node.claims.values() if told.claim.state is NodeState.READY), default=0
        )
        touched = {ident}
        for verdict, add in ((before, False), (base, True)):
            if verdict.state is NodeState.READY and verdict.member is not None:
                address = (verdict.member.host, verdict.member.port)
                there = self._at.setdefault(address, set())
                there.add(ident) if add else there.discard(ident)
                touched |= there
                if not there:
                    del self._at[address]
        for other in touched:
            self._settle(other, now)

    def _settle(self, ident: NodeId, now: float) -> None:
        """Rule 6, and what has become of the node by it."""
        node = self._nodes[ident]
        verdict, member = node.base, node.base.member
        if verdict.state is NodeState.READY and member is not None:
            rivals = self._at[member.host, member.port]
            if len(rivals) > 1:
                youngest = max(rivals, key=self._youth)
                if youngest != ident:
                    verdict = Verdict(NodeState.DRAINING, member, f"its address is that of s-{youngest:08x}")
        if verdict == node.verdict:
            return
        if verdict[:2] != node.verdict[:2]:
            self._changed[ident] = None
            self.urgent |= node.verdict.state is NodeState.READY and verdict.state is not NodeState.READY
        if verdict.state is not node.verdict.state:
            node.since = now
        node.verdict = verdict

    def _youth(self, ident: NodeId) -> tuple[float, int]:
        node = self._nodes[ident]
        return (node.base.member.node.started_ms if node.base.member else 0.0, node.number)

    def _drop(self, ident: NodeId) -> None:
        for source in self._nodes.pop(ident).claims:
            self._known_by[source].discard(ident)


def merged(
    claims: Mapping[NodeId, Mapping[Source, Told]], say: Mapping[Source, bool], keep: bool = False
) -> dict[NodeId, Verdict]:
    """The whole list made anew from all claims, by the same rule: what `Merge` is tested and measured
    against.
    """
    anybody = any(say.values())
    found = {
        ident: decide([(source, say[source], told) for source, told in by.items()], anybody, keep)
        for ident, by in claims.items()
    }
    at: dict[tuple[str, int], list[NodeId]] = {}
    for ident, verdict in found.items():
        if verdict.state is NodeState.READY and verdict.member is not None:
            at.setdefault((verdict.member.host, verdict.member.port), []).append(ident)
    for rivals in at.values():
        if len(rivals) < 2:
            continue

        def youth(ident: NodeId) -> tuple[float, int]:
            member = found[ident].member
            numbers = [told.number for told in claims[ident].values() if told.claim.state is NodeState.READY]
            return (member.node.started_ms if member else 0.0, max(numbers, default=0))

        youngest = max(rivals, key=youth)
        for ident in rivals:
            if ident != youngest:
                found[ident] = Verdict(
                    NodeState.DRAINING, found[ident].member, f"its address is that of s-{youngest:08x}"
                )
    return found

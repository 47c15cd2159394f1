"""Merges the claims of several endpoint sources into one list: the state and address of each node. No I/O.

A source is current once it has been read, until it has been silent for too long; its claims then count. Each
claim has the sequence number with which it was received. The rules, for each node over the claims of all
sources:

1. The strictest state wins at once: a claim of draining or removed holds from the moment it is received.
2. Only the most trusted source that is current and knows the node can make it ready again: a strict claim of
   another source ends if that source withdraws it, or if the most trusted one has claimed `ready` after it.
3. A source that is not current no longer keeps a node ready; its strict claims stand until a current source
   claims `ready` after them.
4. A node that no current source knows is draining; if no source is current at all, the operator's setting
   `nobody` decides whether the last list stands (`keep`) or nothing gets new work (`refuse`).
5. Address, zone, kind and weight are those of the most trusted claim that has them; `started` is the latest
   that any source claims, since a restarted node must not be taken for one that has warmed up.
6. Of two ready ids at one address, the younger one (by `started`, then by the claim's sequence number) keeps
   it; the other one drains.

`EndpointMerger` is an index that is updated with each claim; `merge_all_claims` applies the same rules to all
claims at once and serves as the reference in tests and benchmarks.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from stonecove.discovery import Member
from stonecove.discovery.roster import Claim
from stonecove.routing.endpoints import NodeId, NodeState


class EndpointSource(NamedTuple):
    """A source of an endpoint list; the lower its rank, the more it is trusted."""

    name: str
    rank: int


class RecordedClaim(NamedTuple):
    """A claim with its sequence number and the Unix time in milliseconds at which it was received."""

    claim: Claim
    sequence: int
    received_at_ms: float


class EndpointStatus(NamedTuple):
    """The state of a node by the rules, and the reason for it."""

    state: NodeState
    member: Member | None
    reason: str


class Explanation(NamedTuple):
    """The status of a node, since when it holds, and the claims behind it."""

    status: EndpointStatus
    since_ms: float
    claims: tuple[tuple[EndpointSource, bool, RecordedClaim], ...]  # source, whether it is current, its claim


UNKNOWN_ENDPOINT = EndpointStatus(NodeState.REMOVED, None, "no source knows it")


def resolve_claims(
    claims: Iterable[tuple[EndpointSource, bool, RecordedClaim]], any_current: bool, retain_last_list: bool
) -> EndpointStatus:
    """Return the status of one node by rules 1 to 5.

    `any_current`: some source is current; `retain_last_list`: the last list stands if none is.
    """
    ranked = sorted(claims, key=lambda entry: entry[0].rank)
    members = [recorded.claim.member for _, _, recorded in ranked if recorded.claim.member is not None]
    if not members:
        return UNKNOWN_ENDPOINT
    listed = [
        recorded.claim.member
        for _, _, recorded in ranked
        if recorded.claim.member is not None and recorded.claim.state is not NodeState.REMOVED
    ]
    member = (listed or members)[0]
    latest_start_ms = max(candidate.node.started_ms for candidate in (listed or members))
    if latest_start_ms != member.node.started_ms:
        member = member._replace(node=member.node._replace(started_ms=latest_start_ms))
    counted = [entry for entry in ranked if entry[1]] or (
        [] if any_current or not retain_last_list else ranked
    )
    if not counted:
        if not listed:
            return EndpointStatus(
                NodeState.REMOVED, member, f"{ranked[0][0].name}: {ranked[0][2].claim.reason}"
            )
        reason = "no source with a say knows it" if any_current else "no source has a say"
        return EndpointStatus(NodeState.DRAINING, member, reason)
    most_trusted, _, decisive = counted[0]
    if decisive.claim.state is not NodeState.READY:
        # Removed here, but still listed by others: draining lets requests in flight complete.
        state = NodeState.DRAINING if listed else NodeState.REMOVED
        return EndpointStatus(state, member, f"{most_trusted.name}: {decisive.claim.reason}")
    for source, _, recorded in ranked:
        if recorded.claim.state is not NodeState.READY and recorded.sequence > decisive.sequence:
            return EndpointStatus(NodeState.DRAINING, member, f"{source.name}: {recorded.claim.reason}")
    return EndpointStatus(NodeState.READY, member, f"{most_trusted.name}: {decisive.claim.reason}")


class _MergedNode:
    """One node of the index."""

    __slots__ = ("claims", "status", "claimed_status", "since_ms", "ready_sequence")

    def __init__(self) -> None:
        self.claims: dict[EndpointSource, RecordedClaim] = {}
        self.claimed_status = UNKNOWN_ENDPOINT  # by rules 1 to 5, before rule 6
        self.status = UNKNOWN_ENDPOINT
        self.since_ms = 0.0
        self.ready_sequence = 0  # of its newest ready claim


class EndpointMerger:
    """The merged list, updated claim by claim."""

    def __init__(self, sources: Iterable[EndpointSource], retain_last_list: bool = False) -> None:
        """Create an empty list; `retain_last_list`: the last list stands if no source is current.

        Raises ValueError for two sources of one rank or name.
        """
        self.sources = tuple(sorted(sources, key=lambda source: source.rank))
        for field in ("rank", "name"):
            if len({getattr(source, field) for source in self.sources}) < len(self.sources):
                raise ValueError(f"two sources of one {field}")
        self._retain_last_list = retain_last_list
        self._current = dict.fromkeys(self.sources, False)
        self._nodes: dict[NodeId, _MergedNode] = {}
        self._ids_by_source: dict[EndpointSource, set[NodeId]] = {source: set() for source in self.sources}
        self._ready_ids_by_address: dict[tuple[str, int], set[NodeId]] = {}
        self._changed: dict[NodeId, None] = {}  # in the order of their changes
        self._sequence = 0
        self.urgent = False  # the pending changes include one that forbids new work

    def __len__(self) -> int:
        return len(self._nodes)

    def apply_claim(self, source: EndpointSource, ident: NodeId, claim: Claim, now_ms: float) -> None:
        """Replace a source's claim about a node."""
        self._sequence += 1
        node = self._nodes.get(ident)
        if node is None:
            if claim.state is NodeState.REMOVED:
                return
            node = self._nodes[ident] = _MergedNode()
        previous = node.claims.get(source)
        if claim.member is None and previous is not None:
            claim = claim._replace(member=previous.claim.member)
        node.claims[source] = RecordedClaim(claim, self._sequence, now_ms)
        self._ids_by_source[source].add(ident)
        self._evaluate(ident, now_ms)

    def set_current(self, source: EndpointSource, current: bool, now_ms: float) -> None:
        """Set whether a source is current, that is, whether its claims count."""
        if self._current[source] == current:
            return
        any_current = any(self._current.values())
        self._current[source] = current
        # Where the last current source is lost, or the first one is back, rule 4 changes for all nodes and
        # not only for those of the source.
        affects_all = any_current != any(self._current.values())
        for ident in list(self._nodes if affects_all else self._ids_by_source[source]):
            self._evaluate(ident, now_ms)

    def update_ranks(self, sources: Iterable[EndpointSource], retain_last_list: bool, now_ms: float) -> None:
        """Replace the ranks of the sources, which are the same by name.

        Raises ValueError where a name is missing or added, or two sources have one rank.
        """
        ranked = tuple(sorted(sources, key=lambda source: source.rank))
        new = {source.name: source for source in ranked}
        if len({source.rank for source in ranked}) < len(ranked):
            raise ValueError("two sources of one rank")
        if set(new) != {source.name for source in self.sources}:
            raise ValueError("other sources than before")
        self.sources, self._retain_last_list = ranked, retain_last_list
        self._current = {new[source.name]: current for source, current in self._current.items()}
        self._ids_by_source = {new[source.name]: idents for source, idents in self._ids_by_source.items()}
        for node in self._nodes.values():
            node.claims = {new[source.name]: recorded for source, recorded in node.claims.items()}
        for ident in list(self._nodes):
            self._evaluate(ident, now_ms)

    def is_current(self, source: EndpointSource) -> bool:
        """Return whether the claims of a source count."""
        return self._current[source]

    def take_changes(self) -> list[Member]:
        """Return the members that have changed since the last call, each once, as the core is to see them."""
        changed, self._changed, self.urgent = self._changed, {}, False
        members = []
        for ident in changed:
            node = self._nodes[ident]
            member = node.status.member
            if member is not None:
                members.append(member._replace(node=member.node._replace(state=node.status.state)))
            if node.status.state is NodeState.REMOVED and all(
                recorded.claim.state is NodeState.REMOVED for recorded in node.claims.values()
            ):
                self._delete(ident)
        return members

    def claim_of(self, source: EndpointSource, ident: NodeId) -> Claim | None:
        """Return a source's claim about a node; None if it has made none."""
        node = self._nodes.get(ident)
        recorded = node.claims.get(source) if node is not None else None
        return None if recorded is None else recorded.claim

    def has_changes(self) -> bool:
        """Return whether changes are pending for `take_changes`."""
        return bool(self._changed)

    def status(self, ident: NodeId) -> EndpointStatus:
        """Return the present status of a node."""
        node = self._nodes.get(ident)
        return UNKNOWN_ENDPOINT if node is None else node.status

    def node_ids(self) -> list[NodeId]:
        """Return the ids of all nodes that any source knows, sorted."""
        return sorted(self._nodes)

    def explain(self, ident: NodeId) -> Explanation | None:
        """Return the status of a node with the claims behind it; None if no source knows it."""
        node = self._nodes.get(ident)
        if node is None:
            return None
        return Explanation(node.status, node.since_ms, self._claims_of(node))

    # -- internals --

    def _claims_of(self, node: _MergedNode) -> tuple[tuple[EndpointSource, bool, RecordedClaim], ...]:
        return tuple((source, self._current[source], recorded) for source, recorded in node.claims.items())

    def _evaluate(self, ident: NodeId, now_ms: float) -> None:
        node = self._nodes[ident]
        previous, claimed = (
            node.claimed_status,
            resolve_claims(self._claims_of(node), any(self._current.values()), self._retain_last_list),
        )
        node.claimed_status = claimed
        node.ready_sequence = max(
            (
                recorded.sequence
                for recorded in node.claims.values()
                if recorded.claim.state is NodeState.READY
            ),
            default=0,
        )
        affected = {ident}
        for status, add in ((previous, False), (claimed, True)):
            if status.state is NodeState.READY and status.member is not None:
                address = (status.member.host, status.member.port)
                sharers = self._ready_ids_by_address.setdefault(address, set())
                sharers.add(ident) if add else sharers.discard(ident)
                affected |= sharers
                if not sharers:
                    del self._ready_ids_by_address[address]
        for other in affected:
            self._resolve_address(other, now_ms)

    def _resolve_address(self, ident: NodeId, now_ms: float) -> None:
        """Apply rule 6 to a node, and record a change of its status."""
        node = self._nodes[ident]
        status, member = node.claimed_status, node.claimed_status.member
        if status.state is NodeState.READY and member is not None:
            sharers = self._ready_ids_by_address[member.host, member.port]
            if len(sharers) > 1:
                youngest = max(sharers, key=self._recency_key)
                if youngest != ident:
                    status = EndpointStatus(
                        NodeState.DRAINING, member, f"its address is that of s-{youngest:08x}"
                    )
        if status == node.status:
            return
        if status[:2] != node.status[:2]:
            self._changed[ident] = None
            self.urgent |= node.status.state is NodeState.READY and status.state is not NodeState.READY
        if status.state is not node.status.state:
            node.since_ms = now_ms
        node.status = status

    def _recency_key(self, ident: NodeId) -> tuple[float, int]:
        node = self._nodes[ident]
        return (
            node.claimed_status.member.node.started_ms if node.claimed_status.member else 0.0,
            node.ready_sequence,
        )

    def _delete(self, ident: NodeId) -> None:
        for source in self._nodes.pop(ident).claims:
            self._ids_by_source[source].discard(ident)


def merge_all_claims(
    claims: Mapping[NodeId, Mapping[EndpointSource, RecordedClaim]],
    current: Mapping[EndpointSource, bool],
    retain_last_list: bool = False,
) -> dict[NodeId, EndpointStatus]:
    """Return the status of every node, computed from all claims at once by the rules of the index.

    Serves as the reference by which `EndpointMerger` is tested and measured.
    """
    any_current = any(current.values())
    statuses = {
        ident: resolve_claims(
            [(source, current[source], recorded) for source, recorded in by_source.items()],
            any_current,
            retain_last_list,
        )
        for ident, by_source in claims.items()
    }
    ready_ids_by_address: dict[tuple[str, int], list[NodeId]] = {}
    for ident, status in statuses.items():
        if status.state is NodeState.READY and status.member is not None:
            ready_ids_by_address.setdefault((status.member.host, status.member.port), []).append(ident)
    for sharers in ready_ids_by_address.values():
        if len(sharers) < 2:
            continue

        def recency_key(ident: NodeId) -> tuple[float, int]:
            member = statuses[ident].member
            sequences = [
                recorded.sequence
                for recorded in claims[ident].values()
                if recorded.claim.state is NodeState.READY
            ]
            return (member.node.started_ms if member else 0.0, max(sequences, default=0))

        youngest = max(sharers, key=recency_key)
        for ident in sharers:
            if ident != youngest:
                statuses[ident] = EndpointStatus(
                    NodeState.DRAINING, statuses[ident].member, f"its address is that of s-{youngest:08x}"
                )
    return statuses

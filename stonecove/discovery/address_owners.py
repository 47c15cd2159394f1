"""Tells which of several listed nodes is the process at an address. No I/O.

A change log may list a new node at the address of one that has gone before it removes the old one. Work for
the old node would reach the new process: under another id, without its slow start, and outside the group in
which a repeat is recognized. Two processes can't listen at one address, so the one that came there last has
it, and the others have gone.
"""

from __future__ import annotations

from typing import NamedTuple

from stonecove.discovery import Member, MembershipEvent, MembershipSink, MembersUpdate
from stonecove.routing.endpoints import NodeId, NodeState
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent

Address = tuple[str, int]


class _Arrival(NamedTuple):
    """When a node came to its address: the number of the update, then its start in Unix ms."""

    update: int
    started_ms: float


class AddressOwners:
    """Passes membership events on, with nodes whose address another one has taken as draining."""

    def __init__(self, sink: MembershipSink) -> None:
        self._sink = sink
        self._update_count = 0
        self._listed: dict[NodeId, Member] = {}  # as listed
        self._arrivals: dict[NodeId, _Arrival] = {}
        self._ids_by_address: dict[Address, set[NodeId]] = {}
        self._draining: set[NodeId] = set()  # listed as ready, and passed on as draining

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Pass one event on to the sink."""
        if not isinstance(event, MembersUpdate):
            self._sink.handle_membership_event(event)
            return
        self._update_count += 1
        if event.is_snapshot:
            listed = {member.node.node_id for member in event.members}
            for node_id in [node_id for node_id in self._listed if node_id not in listed]:
                self._remove(node_id)
        addresses: set[Address] = set()
        for member in event.members:
            previous = self._listed.get(member.node.node_id)
            addresses |= {(known.host, known.port) for known in (previous, member) if known is not None}
            self._apply(member)
        named = {member.node.node_id for member in event.members}
        others = [
            self._listed[node_id]
            for address in addresses
            for node_id in self._ids_by_address.get(address, ())
            if node_id not in named and (node_id in self._draining or self._successor(node_id) is not None)
        ]
        members = tuple(self._resolve(member) for member in (*event.members, *others))
        self._sink.handle_membership_event(MembersUpdate(event.is_snapshot, members))

    def _apply(self, member: Member) -> None:
        """Record a member as listed, and when it came to its address."""
        node_id = member.node.node_id
        previous = self._listed.get(node_id)
        has_moved = previous is None or previous[1:] != member[1:]
        if previous is not None and (has_moved or member.node.state is NodeState.REMOVED):
            self._remove(node_id)
        if member.node.state is NodeState.REMOVED:
            return
        self._listed[node_id] = member
        if has_moved:
            self._arrivals[node_id] = _Arrival(self._update_count, member.node.started_ms)
            self._ids_by_address.setdefault((member.host, member.port), set()).add(node_id)

    def _remove(self, node_id: NodeId) -> None:
        member = self._listed.pop(node_id)
        del self._arrivals[node_id]
        address = member.host, member.port
        self._ids_by_address[address].discard(node_id)
        if not self._ids_by_address[address]:
            del self._ids_by_address[address]

    def _successor(self, node_id: NodeId) -> NodeId | None:
        """Return the node that came to the address of this one after it, the last of several; else None."""
        member, arrival = self._listed[node_id], self._arrivals[node_id]
        ids = self._ids_by_address[member.host, member.port]
        last = max(ids, key=lambda each: (self._arrivals[each], each))
        return last if self._arrivals[last] > arrival else None

    def _resolve(self, member: Member) -> Member:
        """Return a member as it is passed on."""
        node_id = member.node.node_id
        was_draining = node_id in self._draining
        self._draining.discard(node_id)
        is_ready = member.node.state is NodeState.READY and node_id in self._listed
        successor = self._successor(node_id) if is_ready else None
        if successor is None:
            return member
        self._draining.add(node_id)
        if not was_draining:
            log(
                LogEvent.ENDPOINT_ADDRESS_DUPLICATED,
                node=f"s-{node_id:08x}",
                address=f"{member.host}:{member.port}",
                chosen=f"s-{successor:08x}",
            )
        return member._replace(node=member.node._replace(state=NodeState.DRAINING))

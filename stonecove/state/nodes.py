"""The table of nodes: what the list says of each, and where it listens."""

from __future__ import annotations

from stonecove.discovery import Member, MembersUpdate
from stonecove.routing.endpoints import NodeId, NodeState


class NodeTable:
    """Nodes by their id of the list. Addresses differ for each router and are used again; ids are not."""

    def __init__(self) -> None:
        self._members: dict[NodeId, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def apply(self, told: MembersUpdate) -> None:
        """Takes in a list, or what has changed in it."""
        if told.whole:
            self._members = {}
        for member in told.members:
            if member.node.state is NodeState.REMOVED:
                self._members.pop(member.node.node_id, None)
            else:
                self._members[member.node.node_id] = member

    def lists(self, node: NodeId) -> bool:
        """Whether the list names the node, in whatever state."""
        return node in self._members

    def ready(self, node: NodeId) -> bool:
        """Whether new work may go there, or be filled from there."""
        member = self._members.get(node)
        return member is not None and member.node.state is NodeState.READY

    def address(self, node: NodeId) -> tuple[str, int]:
        """Where the node listens."""
        member = self._members[node]
        return member.host, member.port

"""The table of nodes: their listed state and their addresses."""

from __future__ import annotations

from stonecove.discovery import Member, MembersUpdate
from stonecove.routing.endpoints import NodeId, NodeState


class NodeTable:
    """Nodes by their id in the endpoint list.

    Addresses differ between routers and are reused, ids are not.
    """

    def __init__(self) -> None:
        self._members: dict[NodeId, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def apply(self, update: MembersUpdate) -> None:
        """Apply a complete endpoint list, or the changes to it."""
        if update.is_snapshot:
            self._members = {}
        for member in update.members:
            if member.node.state is NodeState.REMOVED:
                self._members.pop(member.node.node_id, None)
            else:
                self._members[member.node.node_id] = member

    def is_listed(self, node_id: NodeId) -> bool:
        """Return whether the endpoint list contains the node, in any state."""
        return node_id in self._members

    def is_ready(self, node_id: NodeId) -> bool:
        """Return whether a new attempt may be sent to the node, or filled from it."""
        member = self._members.get(node_id)
        return member is not None and member.node.state is NodeState.READY

    def address(self, node_id: NodeId) -> tuple[str, int]:
        """Return the node's host and port; raise KeyError if it is not listed."""
        member = self._members[node_id]
        return member.host, member.port

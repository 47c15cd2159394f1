"""The table of nodes: what the list says of each, and where it listens."""

from __future__ import annotations

from stonecove.interface import NodeId, NodeState
from stonecove.membership import Member, MembersTold


class NodeTable:
    """Nodes by their id of the list. Addresses differ for each router and are used again; ids are not."""

    def __init__(self) -> None:
        self._members: dict[NodeId, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def apply(self, told: MembersTold) -> set[NodeId]:
        """Takes in a list; returns the nodes to which open connections are worth nothing any more."""
        before = dict(self._members)
        if told.whole:
            self._members = {}
        for member in told.members:
            if member.node.state is NodeState.GONE:
                self._members.pop(member.node.node, None)
            else:
                self._members[member.node.node] = member
        return {ident for ident, old in before.items() if self._replaced(old, self._members.get(ident))}

    @staticmethod
    def _replaced(old: Member, new: Member | None) -> bool:
        return new is None or (old.host, old.port, old.node.started) != (new.host, new.port, new.node.started)

    def ready(self, node: NodeId) -> bool:
        """Whether new work may go there, or be filled from there."""
        member = self._members.get(node)
        return member is not None and member.node.state is NodeState.READY

    def address(self, node: NodeId) -> tuple[str, int]:
        """Where the node listens."""
        member = self._members[node]
        return member.host, member.port

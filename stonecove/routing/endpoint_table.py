"""The listed nodes, and the ready ones by their role."""

from __future__ import annotations

from stonecove.routing.endpoints import EndpointListKind, Node, NodeId, NodeState
from stonecove.routing.events import EndpointListUpdate
from stonecove.routing.rendezvous import RendezvousHash
from stonecove.routing.settings import Settings


class EndpointTable:
    """Hold the endpoint list. Nodes that are not ready have no role, so they get no new work."""

    def __init__(self) -> None:
        self.listed: dict[NodeId, Node] = {}
        self.origins: list[NodeId] = []
        self.parents = RendezvousHash((), False)
        self.caches = RendezvousHash((), False)

    def apply(self, update: EndpointListUpdate) -> list[NodeId]:
        """Apply a list or changes to it; return the nodes that are known to have restarted.

        The caller must call `assign_roles` afterwards.
        """
        if update.kind is not EndpointListKind.DELTA:
            self.listed = {}
        restarted = []
        for node in update.nodes:
            known = self.listed.get(node.node_id)
            if known is not None and node.started_ms != known.started_ms:
                restarted.append(node.node_id)
            self.listed[node.node_id] = node
        self.listed = {
            node_id: node for node_id, node in self.listed.items() if node.state is not NodeState.REMOVED
        }
        return restarted

    def assign_roles(self, settings: Settings) -> None:
        """Sort the ready nodes into origins, parents and the caches of this zone."""
        parent, origin, weighted = settings.parent_kind, settings.origin_kind, settings.weights_known
        ready = sorted(node for node in self.listed.values() if node.state is NodeState.READY)
        caches = [node for node in ready if node.kind not in (parent, origin) and node.zone == settings.zone]
        self.origins = [node.node_id for node in ready if node.kind == origin]
        self.parents = RendezvousHash([node for node in ready if node.kind == parent], weighted)
        self.caches = RendezvousHash(caches, weighted)

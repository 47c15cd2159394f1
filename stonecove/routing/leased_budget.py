"""Leases of a shared budget, from which a router spends without further requests."""

from __future__ import annotations

import math
from dataclasses import dataclass

from stonecove.routing.actions import ReturnLease
from stonecove.routing.endpoints import NodeId
from stonecove.routing.events import LeaseGranted


@dataclass(slots=True)
class ActiveLease:
    """A lease that is not known to have expired."""

    expires_at_ms: float
    remaining_ms: float


class LeasedBudget:
    """Hold leases by node. Each is spent once, and not after it has expired."""

    def __init__(self) -> None:
        self.leases: dict[NodeId, dict[int, ActiveLease]] = {}
        self.returned: list[ReturnLease] = []  # to be sent back by the caller

    def grant(self, now_ms: float, granted: LeaseGranted) -> None:
        """Add a lease, or end the one of that id if no work is granted."""
        active = self.leases.setdefault(granted.node_id, {})
        lease = active.setdefault(granted.lease_id, ActiveLease(granted.expires_at_ms, granted.work_ms))
        if granted.work_ms <= 0:
            lease.expires_at_ms = -math.inf
        self.remaining(now_ms, granted.node_id)

    def remaining(self, now_ms: float, node_id: NodeId) -> float:
        """Return the work that may still be spent on a node; expired leases are returned."""
        active = self.leases.get(node_id)
        if not active:
            return 0.0
        over = [
            lease_id
            for lease_id, lease in active.items()
            if lease.expires_at_ms <= now_ms or lease.remaining_ms <= 0
        ]
        for lease_id in over:
            unspent_ms = active.pop(lease_id).remaining_ms
            if unspent_ms > 0:
                self.returned.append(ReturnLease(lease_id, unspent_ms))
        return sum(lease.remaining_ms for lease in active.values())

    def spend(self, now_ms: float, node_id: NodeId, work_ms: float) -> bool:
        """Spend the work if the leases of the node cover all of it; return whether they did."""
        if self.remaining(now_ms, node_id) < work_ms:
            return False
        for lease in self.leases.get(node_id, {}).values():
            spent_ms = min(work_ms, lease.remaining_ms)
            lease.remaining_ms -= spent_ms
            work_ms -= spent_ms
        return True

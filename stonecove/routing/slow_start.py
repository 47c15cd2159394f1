"""Slow start: limits on the work of a node while it warms up."""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stonecove.routing.endpoints import Node, NodeId
from stonecove.routing.link_load import LinkShare

if TYPE_CHECKING:
    from stonecove.routing.leased_budget import LeasedBudget

BUDGET_UTILIZATION = 0.6  # a margin for inexact sizes and uneven load among routers
LEASE_REQUEST_FRACTION = 0.5  # a lease is requested once this fraction of the unleased budget remains


@dataclass(slots=True)
class SlowStartCharge:
    """Work sent to a node in slow start."""

    sent_ms: float
    work_ms: float


class SlowStartBudget:
    """Limit the work sent to a node in slow start to this router's share of its overload limit.

    Without it the routers of a fleet, each with a modest load, together overload a node that warms up.
    """

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self.charges: dict[NodeId, deque[SlowStartCharge]] = {}
        self.remaining_ms: dict[NodeId, float] = {}  # of the unleased budget, when it was last checked
        self.unleased_fraction = 1.0
        self.leased: LeasedBudget | None = None

    def configure(self, initial_fraction: float, duration_ms: float, overload_multiple: float) -> None:
        """Set the limits from now on. Charges stay, or a change would grant a second budget."""
        self._initial_fraction = initial_fraction
        self._duration_ms = duration_ms
        self._overload_multiple = overload_multiple

    def capacity_fraction(self, now_ms: float, started_ms: float) -> float:
        """Return the minimum fraction of its capacity that a node has; 1 after its slow start."""
        age_ms = now_ms - started_ms
        if started_ms <= 0 or age_ms >= self._duration_ms + self._window_ms:
            return 1.0
        progress = max(0.0, age_ms - self._window_ms) / max(self._duration_ms, 1.0)
        return self._initial_fraction + (1 - self._initial_fraction) * min(1.0, progress)

    def admits(self, now_ms: float, node: Node, work_ms: float, link: LinkShare) -> bool:
        """Return whether this much transfer time may be sent to the node now."""
        if self.capacity_fraction(now_ms, node.started_ms) >= 1.0:
            self.charges.pop(node.node_id, None)
            return True
        charges = self.charges.setdefault(node.node_id, deque())
        while charges and charges[0].sent_ms <= now_ms - self._window_ms:
            charges.popleft()
        limit_ms = self.unleased_fraction * link.share * self.fleet_limit_ms(now_ms, node, link.capacity)
        self.remaining_ms[node.node_id] = limit_ms - sum(charge.work_ms for charge in charges)
        if work_ms <= self.remaining_ms[node.node_id]:
            return True
        return self.leased is not None and work_ms <= self.leased.remaining(now_ms, node.node_id)

    def fleet_limit_ms(self, now_ms: float, node: Node, capacity: float) -> float:
        """Return the work that all routers together may send to the node within one window."""
        fraction = self.capacity_fraction(now_ms, node.started_ms)
        return self._overload_multiple * fraction * self._window_ms * capacity * BUDGET_UTILIZATION

    def should_request_lease(self, now_ms: float, node: Node, work_ms: float, link: LinkShare) -> bool:
        """Return whether the remaining budget is low enough to request another lease."""
        if self.leased is None or node.node_id not in self.charges:
            return False
        limit_ms = self.unleased_fraction * link.share * self.fleet_limit_ms(now_ms, node, link.capacity)
        threshold_ms = max(work_ms, LEASE_REQUEST_FRACTION * limit_ms)
        if self.remaining_ms.get(node.node_id, 0.0) >= threshold_ms:
            return False
        return self.leased.remaining(now_ms, node.node_id) < 2 * work_ms

    def charge(self, now_ms: float, node_id: NodeId, work_ms: float) -> SlowStartCharge:
        """Charge an attempt, whatever its outcome, if the node is in slow start; return the charge."""
        charge = SlowStartCharge(now_ms, work_ms)
        if node_id not in self.charges:
            return charge
        if self.leased is None or work_ms <= self.remaining_ms.get(node_id, 0.0):
            self.charges[node_id].append(charge)
        else:
            self.leased.spend(now_ms, node_id, work_ms)
        return charge

    def forget_removed(self, since_ms: float, listed: Container[NodeId]) -> None:
        """Drop the records of nodes that are not listed, except for charges later than `since_ms`.

        Without those a node that is removed and listed again would get a second budget.
        """
        self.charges = {
            node_id: charges
            for node_id, charges in self.charges.items()
            if node_id in listed or (charges and charges[-1].sent_ms > since_ms)
        }
        self.remaining_ms = {
            node_id: remaining for node_id, remaining in self.remaining_ms.items() if node_id in listed
        }

"""The timing and limits of the gossip protocol, in seconds, as the operator's file sets them."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """Protocol parameters. Defaults: four datagrams a second when idle; a pause of 5 s alone fails nobody."""

    probe_interval_s: float = 0.6  # one member is probed in each
    ping_timeout_s: float = 0.2  # how long a probe waits before it requests indirect pings
    indirect_ping_count: int = 3
    suspicion_timeout_s: float = 6.0  # the shortest time from suspect to failed; above any tolerated pause
    suspicion_max_multiple: float = 2.0  # the longest time, without confirmations, as a multiple of it
    confirmations: int = 3  # independent suspicions that reduce the timeout to its minimum
    view_settle_s: float = 1.5  # how long nothing changes before a view advances
    view_settle_max_s: float = 4.0  # a view advances after this even if changes continue
    trust_refusals: bool = True  # a refused datagram proves that no process has that address
    lease_min_s: float = 20.0  # the shortest time for which an answer lets a router act on its share

    def lease_duration_s(self, routers: int) -> float:
        """Return a lease during which each of so many routers is probed three times."""
        return max(self.lease_min_s, 3.0 * routers * self.probe_interval_s)

    def suspicion_min_s(self, routers: int) -> float:
        """Return the minimum suspicion timeout; it grows with dissemination of suspicion and refutation."""
        return self.suspicion_timeout_s + self.probe_interval_s * math.log2(routers + 1) / 2.0

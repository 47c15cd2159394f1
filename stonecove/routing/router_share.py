"""Values derived from the settings: this router's shares, thresholds and times."""

from __future__ import annotations

import math
from dataclasses import dataclass

from stonecove.routing.settings import Settings

EJECTION_IN_CONNECT_TIMEOUTS = 4.0  # an ejected node gets no attempt for this long, then a single trial
CONGESTION_THRESHOLD_IN_FLEET = 0.65  # a transfer of this fraction of the objective means congestion
CONGESTION_THRESHOLD_ALONE = 0.8  # the same for a single router; in a fleet, others add unobserved work
MIN_OBJECTIVE_MS = 0.001
MIN_CONNECT_TIMEOUT_MS = 1.0


@dataclass(frozen=True, slots=True)
class RouterShare:
    """Values derived from the settings and the size of the fleet."""

    client_kb_per_s: float  # infinite if the clients' pace is not known
    shortest_objective_ms: float
    ejection_ms: float
    zone_share: float  # this router's share of its zone
    congestion_threshold: float
    zone_link_capacity: float  # transfers at once over the zone's link

    @classmethod
    def from_settings(cls, settings: Settings) -> RouterShare:
        """Derive the values of a router."""
        zone, links, routers = settings.zone, settings.zone_link_kb_per_s, settings.routers_by_zone
        client_kb_per_s = settings.client_kb_per_s if settings.client_kb_per_s > 0 else math.inf
        zone_share = 1.0 / max(1, routers[zone] if 0 <= zone < len(routers) else settings.fleet_size)
        shortest_ms = min(each.latency_objective_ms for each in settings.classes)
        return cls(
            client_kb_per_s=client_kb_per_s,
            shortest_objective_ms=max(MIN_OBJECTIVE_MS, shortest_ms),
            ejection_ms=EJECTION_IN_CONNECT_TIMEOUTS
            * max(settings.connect_timeout_ms, MIN_CONNECT_TIMEOUT_MS),
            zone_share=zone_share,
            congestion_threshold=CONGESTION_THRESHOLD_IN_FLEET
            + (CONGESTION_THRESHOLD_ALONE - CONGESTION_THRESHOLD_IN_FLEET) * zone_share,
            zone_link_capacity=(links[zone] if 0 <= zone < len(links) else 0.0) / client_kb_per_s,
        )

"""The state of the routing decisions between events."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from stonecove.routing.actions import RETRY_LEASE, Action
from stonecove.routing.class_statistics import ClassStatistics
from stonecove.routing.endpoint_table import EndpointTable
from stonecove.routing.endpoints import Node, NodeId
from stonecove.routing.hedging import RetryBudget
from stonecove.routing.in_flight import InFlightRequest
from stonecove.routing.link_load import LinkLoad, LinkShare
from stonecove.routing.outlier_detection import OutlierDetector, OutlierDetectors
from stonecove.routing.popularity import Popularity
from stonecove.routing.purges import PURGE_RETENTION_MARGIN, PurgeHistory
from stonecove.routing.router_share import RouterShare
from stonecove.routing.settings import Settings
from stonecove.routing.slow_start import SlowStartBudget
from stonecove.routing.stored_copies import StoredCopies

if TYPE_CHECKING:
    from stonecove.routing.leased_budget import LeasedBudget

POPULARITY_HALF_LIFE_IN_SLOW_STARTS = 4.0
COPY_LIFETIME_IN_SLOW_STARTS = 1.0  # a stored copy is assumed to stay in its cache for this long
_FULL_LINK = LinkShare(1.0, 1.0)


class RoutingState:
    """Own the stateful parts of the decisions, and adapt them to changed settings."""

    def __init__(self, settings: Settings, entropy: int) -> None:
        self.random = random.Random(entropy)
        self.actions: list[Action] = []  # of the event being handled
        self.endpoints = EndpointTable()
        self.popularity = Popularity()
        self.cache_detectors = OutlierDetectors(OutlierDetector)
        self.source_detectors = OutlierDetectors(OutlierDetector)
        self.cache_budget = SlowStartBudget(settings.overload_window_ms)
        self.parent_budget = SlowStartBudget(settings.overload_window_ms)
        self.purges = PurgeHistory()
        self.copies = StoredCopies()
        self.statistics = ClassStatistics()
        self.retries = RetryBudget()
        self.leased: LeasedBudget | None = None
        self.in_flight: dict[int, InFlightRequest] = {}
        self.link_loads: dict[NodeId, LinkLoad] = {}
        self.fill_wait_ms = 0.0  # moving average of the wait for a fill's first byte
        self._apply(0.0, settings)
        objective_ms = self.share.shortest_objective_ms
        self.origin_load = LinkLoad.for_share(_FULL_LINK, objective_ms)  # fetches requested and answered
        self.zone_link = LinkLoad.for_share(self._zone_link_share(), objective_ms)

    def _apply(self, now_ms: float, settings: Settings) -> None:
        """Set everything that depends on the settings; observations are kept."""
        self.settings = settings
        self.share = RouterShare.from_settings(settings)
        self.popularity.set_half_life(
            now_ms,
            POPULARITY_HALF_LIFE_IN_SLOW_STARTS * max(settings.slow_start_ms, settings.purge_settled_ms),
        )
        self.cache_budget.configure(
            settings.slow_start_initial_fraction, settings.slow_start_ms, settings.overload_multiple
        )
        self.parent_budget.configure(
            settings.parent_slow_start_initial_fraction,
            settings.parent_slow_start_ms,
            settings.parent_overload_multiple,
        )
        self.purges.configure(
            now_ms, settings.purge_settled_ms * PURGE_RETENTION_MARGIN + settings.purge_grace_ms
        )
        self.statistics.configure(settings.classes)
        self.endpoints.assign_roles(settings)

    def reconfigure(self, now_ms: float, settings: Settings) -> None:
        """Adapt to changed settings. Open requests keep the settings of their class."""
        listed = self.endpoints.listed
        nodes = [listed[node_id] for node_id in self.link_loads if node_id in listed]
        previous_zone_link = self._zone_link_share()
        previous_shares = [self.link_share(node) for node in nodes]
        self._apply(now_ms, settings)
        objective_ms = self.share.shortest_objective_ms
        self.zone_link.resize(previous_zone_link, self._zone_link_share(), objective_ms)
        for node, previous_share in zip(nodes, previous_shares, strict=True):
            self.link_loads[node.node_id].resize(previous_share, self.link_share(node), objective_ms)
        self.origin_load.objective_ms = objective_ms

    def enable_leases(self, unleased_fraction: float, retry_fraction: float) -> None:
        """Spend only these fractions of this router's shares without a lease from now on."""
        from stonecove.routing.leased_budget import LeasedBudget  # loaded only where leases are in use

        self.leased = self.leased or LeasedBudget()
        for budget in (self.cache_budget, self.parent_budget):
            budget.leased = self.leased
            budget.unleased_fraction = unleased_fraction
        self.retries.leased = self.leased
        self.retries.limit(retry_fraction)

    def forget_removed(self, now_ms: float) -> None:
        """Drop the records of nodes that are not listed any more, or the tables would grow without bound."""
        listed = self.endpoints.listed
        since_ms = now_ms - self.settings.overload_window_ms
        for budget in (self.cache_budget, self.parent_budget):
            budget.forget_removed(since_ms, listed)
        tables: tuple[dict[NodeId, Any], ...] = (self.cache_detectors, self.source_detectors, self.link_loads)
        for table in tables:
            for node_id in [node_id for node_id in table if node_id not in listed]:
                del table[node_id]
        if self.leased is not None:
            leases = self.leased.leases
            for node_id in [each for each in leases if each not in listed and each != RETRY_LEASE]:
                del leases[node_id]

    def _zone_link_share(self) -> LinkShare:
        return LinkShare(self.share.zone_link_capacity, self.share.zone_share)

    def link_share(self, node: Node) -> LinkShare:
        """Return the capacity of a node and this router's share of it.

        The capacity is the node's weight where weights are known, else a share of the links that it feeds.
        """
        settings, share = self.settings, self.share
        if node.kind == settings.parent_kind:
            router_share = 1.0 / max(1, settings.fleet_size)
            links_capacity = sum(settings.zone_link_kb_per_s) / share.client_kb_per_s
            capacity = links_capacity / max(1, len(self.endpoints.parents.nodes))
        else:
            router_share = share.zone_share
            capacity = share.zone_link_capacity / max(1, len(self.endpoints.caches.nodes))
        if settings.weights_known and node.weight > 0:
            capacity = node.weight
        return LinkShare(max(1.0, capacity), router_share)

    def link_load(self, node_id: NodeId) -> LinkLoad:
        """Return the load of the link to a node."""
        load = self.link_loads.get(node_id)
        if load is None:
            node = self.endpoints.listed.get(node_id)
            link = self.link_share(node) if node is not None else _FULL_LINK
            load = self.link_loads[node_id] = LinkLoad.for_share(link, self.share.shortest_objective_ms)
        return load

    def copy_lifetime_ms(self) -> float:
        """Return how long a stored copy is assumed to stay in its cache."""
        return COPY_LIFETIME_IN_SLOW_STARTS * self.settings.slow_start_ms

"""The order in which caches and fill sources are tried for a request."""

from __future__ import annotations

from collections.abc import Iterator

from stonecove.routing.endpoints import NodeId
from stonecove.routing.in_flight import InFlightRequest
from stonecove.routing.link_load import FULL_PACE_SLOWDOWN, OBSERVATION_WEIGHT
from stonecove.routing.outlier_detection import OutlierDetectors
from stonecove.routing.rendezvous import MASK_64_BITS, RendezvousHash, chunk_key, unit_hash
from stonecove.routing.slow_start import SlowStartBudget
from stonecove.routing.state import RoutingState
from stonecove.routing.stored_copies import StoredCopy

FAIR_SHARE_PER_REPLICA = 0.5  # an object gets one more cache for each such fraction of a cache's fair share


class CandidateSelector:
    """Order the nodes that a request may be sent to."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state

    def caches(self, now_ms: float, in_flight: InFlightRequest) -> Iterator[NodeId]:
        """Yield the home cache, or one of several for a popular object, then the others in hash order.

        Caches with congested links are skipped, or one link would be overloaded while others idle. Caches in
        slow start are tried before a request is rejected; their budgets limit their work. If all caches are
        ejected or were attempted before, they are tried again, attempted ones last.
        """
        state = self._state
        key, caches = chunk_key(in_flight.request), state.endpoints.caches
        order = caches.order(key)
        suitable = [
            node_id
            for node_id in order
            if node_id not in in_flight.attempted_nodes
            and self._is_suitable(now_ms, key, node_id, caches, state.cache_detectors, state.cache_budget)
        ]
        replicas = self._replicas(in_flight.request.object_key, len(order))
        if replicas > 1 and len(suitable) > 1:
            loads = {node_id: state.link_load(node_id) for node_id in suitable[:replicas]}
            suitable[:replicas] = sorted(
                loads, key=lambda node_id: loads[node_id].in_flight_work_ms / loads[node_id].capacity
            )
        yield from (node_id for node_id in suitable if not self._is_congested(now_ms, in_flight, node_id))
        yield from (
            node_id
            for node_id in order
            if node_id not in suitable
            and node_id not in in_flight.attempted_nodes
            and state.cache_detectors[node_id].is_available(now_ms)
            and not self._is_congested(now_ms, in_flight, node_id)
        )
        if not suitable:
            yield from sorted(order, key=lambda node_id: node_id in in_flight.attempted_nodes)

    def sources(self, now_ms: float, in_flight: InFlightRequest, cache: NodeId) -> Iterator[NodeId]:
        """Yield the sources of a fill: parents in hash order, the origins, then the cache itself."""
        state = self._state
        key, parents = in_flight.request.object_key, state.endpoints.parents
        order = () if in_flight.class_settings.never_cached else parents.order(key)
        suitable = [
            parent
            for parent in order
            if parent not in in_flight.failed_sources
            and self._is_suitable(now_ms, key, parent, parents, state.source_detectors, state.parent_budget)
        ]
        yield from sorted(
            suitable + state.endpoints.origins,
            key=lambda source_id: self._is_congested(now_ms, in_flight, source_id),
        )
        yield from (parent for parent in order if parent not in suitable)
        yield cache

    def is_zone_link_congested(self, now_ms: float, in_flight: InFlightRequest) -> bool:
        """Return whether the answer would come too late if the object had to be filled.

        Each request for which this holds shortens the assumed wait, so that fills are tried again in time.
        """
        state = self._state
        transfer_ms = in_flight.work_ms * state.zone_link.expected_slowdown(now_ms)
        is_late = state.fill_wait_ms + transfer_ms > self._tolerable_ms(in_flight)
        state.fill_wait_ms *= 1 - OBSERVATION_WEIGHT * is_late
        return is_late

    def has_copy(self, now_ms: float, in_flight: InFlightRequest, cache: NodeId) -> bool:
        """Return whether the cache probably holds the object, as this router recently had it stored there."""
        state, request = self._state, in_flight.request
        copy = StoredCopy(request.object_key, request.chunk_index, cache)
        stored_ms = state.copies.last_stored_ms(copy)
        max_age_ms = state.purges.max_age_ms(now_ms, request.object_key, request.group)
        lifetime_ms = min(state.copy_lifetime_ms(), max_age_ms)
        return (
            now_ms - stored_ms <= lifetime_ms and stored_ms >= state.endpoints.caches.nodes[cache].started_ms
        )

    def _replicas(self, object_key: int, cache_count: int) -> int:
        """Return the number of caches that serve an admitted object, by its share of the load."""
        share = self._state.popularity.byte_share(object_key)
        return 1 + int(share * cache_count / FAIR_SHARE_PER_REPLICA)

    @staticmethod
    def _is_suitable(
        now_ms: float,
        key: int,
        node_id: NodeId,
        ring: RendezvousHash,
        detectors: OutlierDetectors,
        budget: SlowStartBudget,
    ) -> bool:
        """Return whether the node is not ejected and, if in slow start, serves this object already."""
        if not detectors[node_id].is_available(now_ms):
            return False
        fraction = budget.capacity_fraction(now_ms, ring.nodes[node_id].started_ms)
        return fraction >= 1.0 or unit_hash(~key & MASK_64_BITS, node_id) < fraction

    def _is_congested(self, now_ms: float, in_flight: InFlightRequest, node_id: NodeId) -> bool:
        """Return whether the answer would come too late even from a stored copy."""
        transfer_ms = in_flight.work_ms * self._state.link_load(node_id).expected_slowdown(now_ms)
        return transfer_ms > self._tolerable_ms(in_flight)

    def _tolerable_ms(self, in_flight: InFlightRequest) -> float:
        """Return the longest expected transfer time at which a request is still sent.

        Requests of a size that is answered too rarely may use up most of the client's timeout. Otherwise
        large ones, or all of a class, would be late at every cache and never be sent.
        """
        threshold = self._state.share.congestion_threshold
        if self._state.statistics.is_starved(in_flight):
            return threshold * in_flight.request.timeout_ms
        return max(threshold * in_flight.objective_ms, FULL_PACE_SLOWDOWN * in_flight.work_ms)

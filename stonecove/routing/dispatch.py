"""Sending of attempts, within the rules on where and how often a request may be executed."""

from __future__ import annotations

import math

from stonecove.routing.actions import FetchMode, RequestLease, SendAttempt, StartTimer
from stonecove.routing.candidates import CandidateSelector
from stonecove.routing.endpoints import Node, NodeId
from stonecove.routing.in_flight import Attempt, InFlightRequest
from stonecove.routing.link_load import MAX_OBSERVED_SLOWDOWN, SLOWDOWN_TOLERANCE
from stonecove.routing.settings import DeduplicationScope, Idempotency
from stonecove.routing.slow_start import SlowStartBudget
from stonecove.routing.state import RoutingState

OVERDUE_FRACTION = 0.6  # an attempt is overdue after this fraction of its latency objective at the earliest
LEASE_GROWTH_PERIOD_MS = 1000.0


class AttemptDispatcher:
    """Choose the nodes of an attempt and send it."""

    def __init__(self, state: RoutingState, candidates: CandidateSelector) -> None:
        self._state = state
        self._candidates = candidates

    def try_send(self, now_ms: float, in_flight: InFlightRequest, cached_only: bool = False) -> bool:
        """Send the request to the first suitable cache and source; return whether there was one.

        While the zone's link is congested, only stored copies are requested, and only once.
        """
        if in_flight.class_settings.never_cached:
            cached_only = False
        else:
            cached_only = cached_only or self._candidates.is_zone_link_congested(now_ms, in_flight)
        if in_flight.missed and (cached_only or in_flight.bypasses_origin):
            return False
        for cache in self._candidates.caches(now_ms, in_flight):
            sources = (cache,) if cached_only else self._candidates.sources(now_ms, in_flight, cache)
            if any(self._send(now_ms, in_flight, cache, source) for source in sources):
                return True
        return False

    def _send(self, now_ms: float, in_flight: InFlightRequest, node_id: NodeId, source_id: NodeId) -> bool:
        """Send an attempt if every rule allows it; return whether it was sent.

        All attempts pass through here.
        """
        state = self._state
        cache = state.endpoints.caches.nodes.get(node_id)
        if cache is None or not self._is_allowed(now_ms, in_flight, cache, source_id):
            return False
        mean_work_ms = state.statistics.mean_work[in_flight.request.class_index].mean_ms
        parent = state.endpoints.parents.nodes.get(source_id)
        if not self._fits_budget(now_ms, state.cache_budget, cache, mean_work_ms):
            return False
        if parent is not None and not self._fits_budget(
            now_ms, state.parent_budget, parent, in_flight.work_ms
        ):
            return False
        state.cache_budget.charge(now_ms, node_id, mean_work_ms)
        source_charge = state.parent_budget.charge(now_ms, source_id, in_flight.work_ms)
        state.cache_detectors[node_id].begin_trial(now_ms, state.share.ejection_ms)
        state.source_detectors[source_id].begin_trial(now_ms, state.share.ejection_ms)
        expects_fill = source_id != node_id and not self._candidates.has_copy(now_ms, in_flight, node_id)
        attempt = Attempt(
            node_id,
            source_id,
            sent_ms=now_ms,
            overdue_at_ms=self._overdue_at_ms(now_ms, in_flight, node_id, expects_fill),
            expects_fill=expects_fill,
            source_charge=source_charge,
            cache_load=state.link_load(node_id),
            source_load=state.link_load(source_id),
        )
        self._begin(in_flight, attempt)
        self._emit(now_ms, in_flight, attempt)
        return True

    def _is_allowed(self, now_ms: float, in_flight: InFlightRequest, cache: Node, source_id: NodeId) -> bool:
        """Return whether the request may go to this ready cache, to be filled from this source."""
        state = self._state
        if in_flight.request.request_id not in state.in_flight or now_ms >= in_flight.deadline_ms:
            return False  # it has its final answer, or its deadline has passed
        if len(in_flight.attempts) >= state.settings.max_attempts:
            return False
        if not self._may_repeat(now_ms, in_flight, cache):
            return False
        endpoints = state.endpoints
        is_ready_source = source_id in endpoints.parents.nodes or source_id in endpoints.origins
        return is_ready_source or source_id == cache.node_id

    def _may_repeat(self, now_ms: float, in_flight: InFlightRequest, cache: Node) -> bool:
        """Return whether another attempt cannot duplicate an effect."""
        if in_flight.pending_attempts() and not self._state.settings.hedging_allowed:
            return False
        settings = in_flight.class_settings
        first = next((attempt for attempt in in_flight.attempts if attempt.may_have_run), None)
        if settings.idempotency is Idempotency.IDEMPOTENT or first is None:
            return True
        if settings.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        if now_ms - first.sent_ms >= settings.deduplication_window_ms:
            return False
        if cache.started_ms > first.sent_ms:
            return False  # this process may not know what ran before its start
        scope, other = settings.deduplication_scope, self._state.endpoints.listed.get(first.node_id)
        if scope is DeduplicationScope.ALL:
            return True
        if other is None:
            return cache.node_id == first.node_id
        return cache.zone == other.zone if scope is DeduplicationScope.ZONE else cache.cell == other.cell

    def _fits_budget(self, now_ms: float, budget: SlowStartBudget, node: Node, work_ms: float) -> bool:
        """Return whether the node may get the work now; request a lease if the budget is about to run out."""
        link = self._state.link_share(node)
        fits = budget.admits(now_ms, node, work_ms, link)
        if self._state.leased is not None and budget.should_request_lease(now_ms, node, work_ms, link):
            limit_ms = budget.fleet_limit_ms(now_ms, node, link.capacity)
            later_ms = budget.fleet_limit_ms(now_ms + LEASE_GROWTH_PERIOD_MS, node, link.capacity)
            is_zonal = budget is self._state.cache_budget
            self._state.actions.append(
                RequestLease(node.node_id, work_ms, limit_ms, later_ms - limit_ms, link.share, is_zonal)
            )
        return fits

    def _overdue_at_ms(
        self, now_ms: float, in_flight: InFlightRequest, node_id: NodeId, expects_fill: bool
    ) -> float:
        """Return when an attempt sent now is overdue."""
        expected_ms = in_flight.work_ms * self._state.link_load(node_id).expected_slowdown(now_ms)
        if expects_fill:
            expected_ms += self._state.fill_wait_ms
        tolerance = SLOWDOWN_TOLERANCE if in_flight.size_known else MAX_OBSERVED_SLOWDOWN
        return now_ms + max(OVERDUE_FRACTION * in_flight.objective_ms, tolerance * expected_ms)

    def _begin(self, in_flight: InFlightRequest, attempt: Attempt) -> None:
        """Add an attempt to the load of its cache and, if a miss is likely, of its source and zone link."""
        attempt.cache_load.in_flight += 1
        attempt.cache_load.in_flight_work_ms += in_flight.work_ms
        if attempt.expects_fill:
            self._state.zone_link.in_flight += 1
            attempt.source_load.in_flight += 1
        attempt.concurrent = attempt.cache_load.in_flight
        in_flight.attempts.append(attempt)
        in_flight.attempted_nodes.add(attempt.node_id)

    def release(self, in_flight: InFlightRequest, attempt: Attempt) -> None:
        """Mark an attempt as ended and subtract it from the loads."""
        attempt.pending = False
        if attempt.expects_fill:
            self._state.zone_link.in_flight -= 1
            attempt.source_load.in_flight -= 1
        attempt.cache_load.in_flight -= 1
        attempt.cache_load.in_flight_work_ms -= in_flight.work_ms

    def _emit(self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt) -> None:
        """Emit the actions that send an attempt and start its timer."""
        state, request = self._state, in_flight.request
        never_cached = in_flight.class_settings.never_cached
        rank = 0 if never_cached else state.popularity.cache_rank(request.object_key)
        purge_limit_ms = state.purges.max_age_ms(now_ms, request.object_key, request.group)
        state.actions.append(
            SendAttempt(
                request.request_id,
                attempt.node_id,
                in_flight.deadline_ms,
                attempt.source_id,
                rank,
                self._max_age_ms(in_flight, purge_limit_ms),
                self._fetch_mode(in_flight, purge_limit_ms),
            )
        )
        if attempt.overdue_at_ms < in_flight.deadline_ms:
            state.actions.append(StartTimer(request.request_id, attempt.overdue_at_ms))

    @staticmethod
    def _max_age_ms(in_flight: InFlightRequest, purge_limit_ms: float) -> float:
        """Return the largest acceptable age of a copy; 0 for any.

        A retry, or a request that bypasses the origin, accepts stale copies.
        """
        settings = in_flight.class_settings
        takes_stale = settings.fresh_ms > 0 and (in_flight.bypasses_origin or len(in_flight.attempts) > 1)
        class_limit_ms = settings.fresh_ms + (settings.stale_ms if takes_stale else 0.0)
        if class_limit_ms > 0:
            return min(purge_limit_ms, class_limit_ms)
        return purge_limit_ms if purge_limit_ms < math.inf else 0.0

    def _fetch_mode(self, in_flight: InFlightRequest, purge_limit_ms: float) -> int:
        """Return how the cache is to handle a miss.

        A fill in progress may have started before a purge, so it is joined only where there was none.
        """
        mode = 0
        if in_flight.bypasses_origin:
            mode = int(FetchMode.CACHED_ONLY)
        elif in_flight.class_settings.fresh_ms > 0:
            mode = int(FetchMode.REVALIDATE)
        was_purged = purge_limit_ms < math.inf
        if self._state.settings.fill_joining_allowed and not was_purged and len(in_flight.attempts) <= 1:
            mode |= FetchMode.JOIN_FILL
        return mode

"""Recording of attempt outcomes for the cache, the source and the origin."""

from __future__ import annotations

from stonecove.routing.actions import WriteLog
from stonecove.routing.endpoints import NodeId
from stonecove.routing.events import AttemptEnded, CacheStatus, Outcome
from stonecove.routing.in_flight import Attempt, InFlightRequest
from stonecove.routing.link_load import MAX_OBSERVED_SLOWDOWN, OBSERVATION_WEIGHT
from stonecove.routing.outlier_detection import EJECTION_FAILURES, RESET_FAILURE_WEIGHT, OutlierDetectors
from stonecove.routing.state import RoutingState
from stonecove.routing.stored_copies import StoredCopy

_SOURCE_FAILURES = frozenset(
    (CacheStatus.SOURCE_REJECTED, CacheStatus.SOURCE_DISCONNECTED, CacheStatus.SOURCE_MISSING_OBJECT)
)
_REPORTED_FILLS = frozenset((CacheStatus.FILLED, CacheStatus.FILLED_BY_ORIGIN))


class OutcomeRecorder:
    """Update the routing state from the outcomes of attempts."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state

    def record(
        self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt, event: AttemptEnded
    ) -> None:
        """Record the outcome of an attempt for its cache, its source and the origin."""
        was_rejected_by_origin = self._record_origin(now_ms, in_flight, attempt, event)
        if event.outcome is Outcome.OK:
            self._record_answer(now_ms, in_flight, attempt, event)
        elif was_rejected_by_origin or event.cache_status in _SOURCE_FAILURES:
            self._record_source_failure(now_ms, in_flight, attempt, event)
        elif event.outcome in (Outcome.CONNECT_FAILED, Outcome.ERROR):
            weight = EJECTION_FAILURES if event.outcome is Outcome.CONNECT_FAILED else 1.0
            self.record_cache_failure(now_ms, attempt, weight)
        elif event.outcome is Outcome.RESET:
            self._record_reset(now_ms, in_flight, attempt)

    def record_cache_failure(self, now_ms: float, attempt: Attempt, weight: float = 1.0) -> None:
        """Count a failure of an attempt's cache."""
        self._record_failure(now_ms, self._state.cache_detectors, attempt.node_id, attempt.sent_ms, weight)

    def record_source_failure(self, now_ms: float, attempt: Attempt) -> None:
        """Count a failure of an attempt's source."""
        self._record_failure(now_ms, self._state.source_detectors, attempt.source_id, attempt.sent_ms, 1.0)

    def _record_failure(
        self, now_ms: float, detectors: OutlierDetectors, node_id: NodeId, sent_ms: float, weight: float
    ) -> None:
        state = self._state
        if detectors[node_id].record_failure(now_ms, sent_ms, state.share.ejection_ms, weight):
            role = "cache" if detectors is state.cache_detectors else "source"
            state.actions.append(WriteLog(f"{role} {node_id:x} ejected"))

    def _record_origin(
        self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt, event: AttemptEnded
    ) -> bool:
        """Record the origin's part in an outcome; return whether it rejected the request."""
        state, status = self._state, event.cache_status
        was_rejected = status == CacheStatus.ORIGIN_FAILED or (
            status in _SOURCE_FAILURES and attempt.source_id in state.endpoints.origins
        )
        if status in (CacheStatus.ORIGIN_FAILED, CacheStatus.FILLED_BY_ORIGIN):
            objective_ms = state.share.shortest_objective_ms
            state.origin_load.observe(now_ms, objective_ms, objective_ms * (not was_rejected))
        in_flight.rejected_by_origin |= was_rejected
        return was_rejected

    def _record_answer(
        self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt, event: AttemptEnded
    ) -> None:
        state, request, status = self._state, in_flight.request, event.cache_status
        state.cache_detectors[attempt.node_id].record_success(now_ms)
        if not in_flight.size_known and status in (CacheStatus.HIT, CacheStatus.NONE):
            state.statistics.mean_work[request.class_index].observe(event.duration_ms)
        if status == CacheStatus.HIT:
            self._record_hit(now_ms, in_flight, attempt, event)
        if status == CacheStatus.HIT or state.popularity.cache_rank(request.object_key):
            copy = StoredCopy(request.object_key, request.chunk_index, attempt.node_id)
            state.copies.record(now_ms, copy, state.copy_lifetime_ms())
        if status in _REPORTED_FILLS:
            self._record_fill(now_ms, in_flight, attempt, event)
        if status in _REPORTED_FILLS or (attempt.expects_fill and status == CacheStatus.NONE):
            state.source_detectors[attempt.source_id].record_success(now_ms)

    def _record_hit(
        self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt, event: AttemptEnded
    ) -> None:
        attempt.source_charge.work_ms = 0.0  # the attempt never reached the parent
        attempt.cache_load.observe(now_ms, event.duration_ms, in_flight.work_ms)
        if not self._state.settings.weights_known and in_flight.work_ms > 0:
            slowdown = event.duration_ms / in_flight.work_ms
            attempt.cache_load.estimate_capacity(attempt.concurrent, slowdown)

    def _record_fill(
        self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt, event: AttemptEnded
    ) -> None:
        """Record a fill's transfer on its links; each gets the slowdown that the others do not explain."""
        state, work_ms = self._state, in_flight.work_ms
        state.fill_wait_ms += OBSERVATION_WEIGHT * (event.fill_wait_ms - state.fill_wait_ms)
        transfer_ms = min(
            max(work_ms, event.duration_ms - event.fill_wait_ms), MAX_OBSERVED_SLOWDOWN * work_ms
        )
        links = [attempt.cache_load, state.zone_link, attempt.source_load]
        slowdowns = [link.slowdown(now_ms) for link in links]
        for index, link in enumerate(links):
            others = max(slowdowns[:index] + slowdowns[index + 1 :])
            link.observe(now_ms, transfer_ms, max(work_ms, min(transfer_ms, work_ms * others)))

    def _record_source_failure(
        self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt, event: AttemptEnded
    ) -> None:
        """Record a fill that failed at its source, although the cache itself answered."""
        state = self._state
        in_flight.failed_sources.add(attempt.source_id)
        if event.cache_status != CacheStatus.SOURCE_MISSING_OBJECT:
            state.fill_wait_ms += OBSERVATION_WEIGHT * (in_flight.objective_ms - state.fill_wait_ms)
        state.cache_detectors[attempt.node_id].record_success(now_ms)
        if event.cache_status == CacheStatus.SOURCE_DISCONNECTED:
            self.record_source_failure(now_ms, attempt)

    def _record_reset(self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt) -> None:
        """Count a reset connection once, or one that carried many attempts would eject the cache."""
        detector = self._state.cache_detectors[attempt.node_id]
        if attempt.sent_ms > detector.last_reset_ms:
            detector.last_reset_ms = now_ms
            self.record_cache_failure(now_ms, attempt, RESET_FAILURE_WEIGHT)
        if detector.is_available(now_ms):
            in_flight.attempted_nodes.discard(attempt.node_id)  # unlike other caches it may hold the object

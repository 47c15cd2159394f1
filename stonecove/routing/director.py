"""The entry point of the routing decisions: it takes an event and returns the resulting actions.

A router sees only its own traffic. On the normal path, request counts that decay with time decide which
objects are cached (`popularity`), a rendezvous hash shared by all routers selects the home cache and the
parent that fills it (`rendezvous`), and the request is sent there (`dispatch`). Everything else handles
failures and overload on that path.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from stonecove.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    StartTimer,
    WatchEndpointList,
)
from stonecove.routing.candidates import CandidateSelector
from stonecove.routing.dispatch import AttemptDispatcher
from stonecove.routing.endpoints import EndpointListKind
from stonecove.routing.events import (
    PROVEN_NOT_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    FleetSizeChanged,
    LeaseGranted,
    LeaseTerms,
    Outcome,
    PurgeReceived,
    RequestReceived,
    SettingsChanged,
    TimerExpired,
)
from stonecove.routing.in_flight import Attempt, InFlightRequest
from stonecove.routing.link_load import SLOWDOWN_TOLERANCE
from stonecove.routing.outcomes import OutcomeRecorder
from stonecove.routing.settings import DeduplicationScope, Idempotency, Settings
from stonecove.routing.state import RoutingState

SILENCE_IN_CONNECT_TIMEOUTS = 3.0  # a cache counts as silent once nothing was received for this long
ORIGIN_OVERLOAD_RATIO = 1.25  # fetches sent to the origin for each that it answers; others bypass it
MIN_RETRY_AFTER_FRACTION = 0.5  # spreads the retries of rejected clients, or all would return at once
TIMER_TOLERANCE_MS = 0.001
MS_PER_S = 1000.0

_UNSEEN_BY_CACHES = frozenset((Outcome.CONNECT_FAILED, Outcome.EXPIRED_UNSENT))


class Director:
    """Decide for one router. `handle` takes an event and returns actions; it never waits."""

    def __init__(self, settings: Settings, entropy: int) -> None:
        """Raise ValueError for settings without a class. `entropy` seeds the random choices."""
        if not settings.classes:
            raise ValueError("settings lack 'classes'")
        self.state = RoutingState(settings, entropy)
        self._dispatcher = AttemptDispatcher(self.state, CandidateSelector(self.state))
        self._outcomes = OutcomeRecorder(self.state)
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            EndpointListUpdate: self._on_endpoint_list,
            RequestReceived: self._on_request,
            AttemptEnded: self._on_attempt_ended,
            TimerExpired: self._on_timer,
            ClientDisconnected: self._on_disconnect,
            PurgeReceived: self.state.purges.record,
            FleetSizeChanged: self._on_fleet_size,
            SettingsChanged: self._on_settings,
            LeaseTerms: self._on_lease_terms,
            LeaseGranted: self._on_lease_granted,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event; return the actions to be carried out, in order."""
        self.state.actions = []
        if handler := self._handlers.get(type(event)):
            handler(now_ms, event)
        return self.state.actions

    # -- endpoints, settings and leases --

    def _on_endpoint_list(self, now_ms: float, event: EndpointListUpdate) -> None:
        state = self.state
        if event.kind is EndpointListKind.FAILED:
            return
        if event.kind is EndpointListKind.CACHED_SNAPSHOT and state.settings.endpoint_list_polled:
            state.actions.append(WatchEndpointList())
        for node_id in state.endpoints.apply(event):
            state.cache_detectors.pop(node_id, None)
            state.source_detectors.pop(node_id, None)
        state.forget_removed(now_ms)
        state.endpoints.assign_roles(state.settings)

    def _on_settings(self, now_ms: float, event: SettingsChanged) -> None:
        self.state.reconfigure(now_ms, event.settings)

    def _on_fleet_size(self, now_ms: float, event: FleetSizeChanged) -> None:
        settings = replace(
            self.state.settings, fleet_size=event.fleet_size, routers_by_zone=event.routers_by_zone
        )
        self.state.reconfigure(now_ms, settings)

    def _on_lease_terms(self, _now_ms: float, event: LeaseTerms) -> None:
        self.state.enable_leases(event.unleased_fraction, event.retry_fraction)

    def _on_lease_granted(self, now_ms: float, event: LeaseGranted) -> None:
        leased = self.state.leased
        if leased is not None:
            leased.grant(now_ms, event)
            self.state.actions += leased.returned
            leased.returned.clear()

    # -- requests --

    def _on_request(self, now_ms: float, event: RequestReceived) -> None:
        state = self.state
        if not 0 <= event.class_index < len(state.settings.classes):
            state.actions.append(RejectRequest(event.request_id, 0.0))
            return
        in_flight = self._admit(now_ms, event)
        if not in_flight.class_settings.never_cached:
            state.popularity.record_request(now_ms, event.object_key, event.size_kb, event.chunk_index)
        state.in_flight[event.request_id] = in_flight
        in_flight.bypasses_origin = self._should_bypass_origin(now_ms, in_flight)
        if not self._dispatcher.try_send(now_ms, in_flight):
            self._give_up(in_flight)

    def _admit(self, now_ms: float, event: RequestReceived) -> InFlightRequest:
        """Return the state of a new request, which earns a fraction of a retry."""
        state = self.state
        mean_work = state.statistics.mean_work[event.class_index]
        sized_work_ms = event.size_kb / state.share.client_kb_per_s * MS_PER_S
        if sized_work_ms:
            mean_work.observe(sized_work_ms)
        observed_work_ms = mean_work.mean_ms * (mean_work.samples > 0)
        state.retries.earn()
        return InFlightRequest(
            now_ms,
            event,
            state.settings.classes[event.class_index],
            work_ms=sized_work_ms or observed_work_ms,
            mean_work_ms=mean_work.mean_ms * (sized_work_ms > 0),
        )

    def _should_bypass_origin(self, now_ms: float, in_flight: InFlightRequest) -> bool:
        """Return whether no attempt of this request may be filled by the origin.

        An origin that gets more fetches than it can serve would stop answering altogether.
        """
        if in_flight.class_settings.never_cached:
            return False
        return self.state.random.random() * self.state.origin_load.slowdown(now_ms) > ORIGIN_OVERLOAD_RATIO

    def _on_attempt_ended(self, now_ms: float, event: AttemptEnded) -> None:
        in_flight = self.state.in_flight.get(event.request_id)
        if in_flight is None or event.attempt_index >= len(in_flight.attempts):
            return
        attempt = in_flight.attempts[event.attempt_index]
        if not attempt.pending:
            return
        self._dispatcher.release(in_flight, attempt)
        self._outcomes.record(now_ms, in_flight, attempt, event)
        if event.answered or event.outcome is Outcome.OK:
            self._finish(in_flight, event)
            return
        attempt.may_have_run = event.outcome not in PROVEN_NOT_EXECUTED
        in_flight.missed |= event.outcome is Outcome.MISS
        if in_flight.pending_attempts():
            return
        if self._may_retry(now_ms, in_flight, event.outcome) and self._dispatcher.try_send(now_ms, in_flight):
            return
        self._give_up(in_flight)

    def _finish(self, in_flight: InFlightRequest, event: AttemptEnded) -> None:
        """Close an answered request; refund a hedged request that overtook an earlier attempt."""
        if any(earlier.pending for earlier in in_flight.attempts[: event.attempt_index]):
            self.state.retries.refund()
        self.state.statistics.record_end(in_flight, event.outcome is Outcome.OK)
        self._close(in_flight)

    def _may_retry(self, now_ms: float, in_flight: InFlightRequest, outcome: Outcome) -> bool:
        """Return whether a failed request may be sent again, and spend a retry if one is needed.

        A request that no cache has seen adds no work when it is repeated, and one reset per request is free.
        A request that the origin rejected is not repeated at once, or all routers would retry together.
        """
        if in_flight.rejected_by_origin or now_ms >= in_flight.deadline_ms:
            return False
        is_first_reset = outcome is Outcome.RESET and len(in_flight.attempts) == 1
        if outcome in _UNSEEN_BY_CACHES or is_first_reset:
            return True
        return self.state.retries.try_spend(now_ms, self.state.actions)

    # -- overdue attempts --

    def _on_timer(self, now_ms: float, event: TimerExpired) -> None:
        in_flight = self.state.in_flight.get(event.token)
        if in_flight is None:
            return
        overdue = [
            attempt
            for attempt in in_flight.attempts
            if attempt.pending
            and not attempt.overdue
            and now_ms + TIMER_TOLERANCE_MS >= attempt.overdue_at_ms
        ]
        for attempt in overdue:
            self._attribute_overdue(now_ms, in_flight, attempt)
            self._hedge(now_ms, in_flight, attempt)

    def _attribute_overdue(self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt) -> None:
        """Count a failure of the cache if nothing was received from it since, else of the fill's source.

        A failure of the cache is counted only after a longer silence, at which the timer expires again.
        """
        state = self.state
        cache_answers = state.cache_detectors[attempt.node_id].last_success_ms >= attempt.sent_ms
        silence_ms = SILENCE_IN_CONNECT_TIMEOUTS * state.settings.connect_timeout_ms
        silent_at_ms = attempt.sent_ms + silence_ms
        if not cache_answers and now_ms + TIMER_TOLERANCE_MS < silent_at_ms:
            state.actions.append(StartTimer(in_flight.request.request_id, silent_at_ms))
        else:
            attempt.overdue = True
            if not cache_answers:
                self._outcomes.record_cache_failure(now_ms, attempt)
            elif attempt.expects_fill:
                self._outcomes.record_source_failure(now_ms, attempt)
        if attempt.expects_fill:
            in_flight.failed_sources.add(attempt.source_id)

    def _hedge(self, now_ms: float, in_flight: InFlightRequest, attempt: Attempt) -> None:
        """Send a hedged request in addition to an overdue attempt.

        Answers can be lost while their cache is up, where no ejection would help.
        """
        state = self.state
        is_ejected = not (
            state.cache_detectors[attempt.node_id].is_available(now_ms)
            and state.source_detectors[attempt.source_id].is_available(now_ms)
        )
        if not is_ejected:
            # If only its answer was lost, the cache has the object by now.
            in_flight.attempted_nodes.discard(attempt.node_id)
        slowdown = max(state.link_load(attempt.node_id).slowdown(now_ms), state.zone_link.slowdown(now_ms))
        if in_flight.pending_attempts() > 1 + is_ejected:
            return
        if slowdown >= SLOWDOWN_TOLERANCE and not is_ejected:
            return
        if state.retries.try_spend(now_ms, state.actions):
            self._dispatcher.try_send(now_ms, in_flight, cached_only=not is_ejected)

    # -- final answers --

    def _on_disconnect(self, _now_ms: float, event: ClientDisconnected) -> None:
        if in_flight := self.state.in_flight.get(event.request_id):
            self._close(in_flight)

    def _close(self, in_flight: InFlightRequest) -> None:
        """Forget a request that has its final answer, and cancel its pending attempts."""
        request_id = in_flight.request.request_id
        del self.state.in_flight[request_id]
        for index, attempt in enumerate(in_flight.attempts):
            if attempt.pending:
                self._dispatcher.release(in_flight, attempt)
                if self.state.settings.cancellation_allowed:
                    self.state.actions.append(CancelAttempt(request_id, index))

    def _give_up(self, in_flight: InFlightRequest) -> None:
        """Give the final answer: rejected if a retry by the client is known to be harmless, else failed."""
        state, request_id = self.state, in_flight.request.request_id
        state.statistics.record_end(in_flight, False)
        if self._is_retry_harmless(in_flight):
            state.actions.append(RejectRequest(request_id, self._retry_after_ms()))
        else:
            state.actions.append(FailRequest(request_id))
        self._close(in_flight)

    @staticmethod
    def _is_retry_harmless(in_flight: InFlightRequest) -> bool:
        """Return whether the client may repeat the request without a duplicate effect."""
        settings = in_flight.class_settings
        if settings.idempotency is Idempotency.IDEMPOTENT:
            return True
        if not any(attempt.may_have_run for attempt in in_flight.attempts):
            return True
        is_deduplicated = settings.deduplication_scope is DeduplicationScope.ALL
        return settings.idempotency is Idempotency.IDEMPOTENCY_KEY and is_deduplicated

    def _retry_after_ms(self) -> float:
        """Return the Retry-After of a rejected client, at random below the maximum; 0 if none is allowed."""
        if not self.state.settings.retry_after_allowed:
            return 0.0
        fraction = self.state.random.uniform(MIN_RETRY_AFTER_FRACTION, 1.0)
        return self.state.settings.max_retry_after_ms * fraction

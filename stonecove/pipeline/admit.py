"""Stage 2, admission: bounds what is held in memory, and sets the deadline of a request."""

from __future__ import annotations

import random

from stonecove.exchange import ClientRequest
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import CpuCredit
from stonecove.state.budget import MemoryBudget
from stonecove.state.requests import OpenRequest, OpenRequests

RESPONSE_MARGIN_MS = 15.0  # time left of the client's limit for the response to reach it
MAX_OPEN_REQUESTS = 4096
MAX_ANSWER_BYTES = 240_000  # longest object
# A client may claim to wait for longer than the deadline of any class; its request is not held that long.
MAX_WAIT_MS = 60_000.0
# Fraction of the latency objective that a request of mean priority may wait for its decision.
QUEUEING_FRACTION = 0.4
MIN_QUEUEING_MS = 20.0
# CPU time by which the router's share is exceeded when a request of mean priority is rejected.
CPU_OVERDRAFT_S = 0.02


class Admit:
    """Decides whether there is capacity for another request."""

    def __init__(
        self,
        settings: Settings,
        requests: OpenRequests,
        budget: MemoryBudget,
        transfer_bytes_per_s: float,
        seed: int,
    ) -> None:
        """Create the stage; `transfer_bytes_per_s` is the rate of one transfer, 0 if unknown."""
        self.cpu = CpuCredit()
        self._random = random.Random(seed)
        self._requests = requests
        self._budget = budget
        self._transfer_bytes_per_s = transfer_bytes_per_s
        self.final_deadline_ms = float("inf")  # Unix ms by which all is answered once the router stops
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings to requests that arrive from now on."""
        self._classes = settings.classes
        self._max_retry_after_ms = settings.max_retry_after_ms if settings.retry_after_allowed else 0.0
        mean_weight = sum(cls.priority_weight for cls in settings.classes) / max(1, len(settings.classes))
        self._relative_priority = [
            min(2.0, cls.priority_weight / mean_weight) if mean_weight > 0 else 1.0
            for cls in settings.classes
        ]
        self._max_queueing_ms = [
            max(MIN_QUEUEING_MS, QUEUEING_FRACTION * priority * cls.latency_objective_ms)
            for priority, cls in zip(self._relative_priority, settings.classes, strict=True)
        ]
        self._max_wait_ms = max(MAX_WAIT_MS, *(cls.deadline_ms for cls in settings.classes))
        self._max_open = min(settings.max_open_requests, MAX_OPEN_REQUESTS)
        rate_known = settings.client_kb_per_s > 0 and self._transfer_bytes_per_s > 0
        self._bytes_per_kb = self._transfer_bytes_per_s / settings.client_kb_per_s if rate_known else 1000.0

    def open_request(self, now_ms: float, client_request: ClientRequest) -> OpenRequest | None:
        """Open a request; return None if there is no capacity for it, or the drain is over.

        Its memory is reserved for the response as well.
        """
        if now_ms >= self.final_deadline_ms:
            return None
        reserved_bytes = len(client_request.body) + min(
            MAX_ANSWER_BYTES, round(client_request.size_kb * self._bytes_per_kb)
        )
        if len(self._requests) >= self._max_open or not self._budget.can_reserve(reserved_bytes):
            return None
        self._budget.reserve(reserved_bytes)
        deadline_ms = min(
            now_ms + max(1.0, min(client_request.timeout_ms, self._max_wait_ms) - RESPONSE_MARGIN_MS),
            self.final_deadline_ms,
        )
        return self._requests.add(
            client_request, self._classes[client_request.class_index], deadline_ms, reserved_bytes
        )

    def should_shed(self, now_ms: float, arrived_at_ms: float, kind: int) -> bool:
        """Return whether a request that arrived at that time is to be rejected, as the router is overloaded.

        Rejecting early, requests of lower priority first, keeps all of them from becoming late together.
        """
        if now_ms - arrived_at_ms > self._max_queueing_ms[kind]:
            return True
        remaining_s = self.cpu.remaining_s()
        return remaining_s < 0 and remaining_s <= -CPU_OVERDRAFT_S * (
            self._relative_priority[kind] - min(self._relative_priority)
        )

    def retry_after_ms(self) -> float:
        """Return a random time, in ms, for which a rejected client should back off.

        With one time for all, rejected clients would return together.
        """
        return self._max_retry_after_ms * self._random.uniform(0.5, 1.0)

    def close_request(self, request: OpenRequest, now_ms: float) -> None:
        """Release a request's memory; a second call for the same request has no effect."""
        if self._requests.remove(request.request_id, now_ms):
            self._budget.release(request.reserved_bytes)

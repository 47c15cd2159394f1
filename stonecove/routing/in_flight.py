"""Requests without a final answer, and their attempts."""

from __future__ import annotations

from dataclasses import dataclass

from stonecove.routing.endpoints import NodeId
from stonecove.routing.events import RequestReceived
from stonecove.routing.link_load import LinkLoad
from stonecove.routing.settings import ClassSettings
from stonecove.routing.slow_start import SlowStartCharge

LARGEST_SIZE_TIER = 2


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    node_id: NodeId
    source_id: NodeId
    sent_ms: float
    overdue_at_ms: float
    expects_fill: bool  # a miss is likely
    source_charge: SlowStartCharge
    cache_load: LinkLoad  # stored here, as its node may have left the list when the attempt ends
    source_load: LinkLoad
    concurrent: int = 0  # this router's attempts at the cache when it was sent
    pending: bool = True
    may_have_run: bool = True
    overdue: bool = False


class InFlightRequest:
    """The state of one request until its final answer."""

    def __init__(
        self,
        now_ms: float,
        request: RequestReceived,
        class_settings: ClassSettings,
        work_ms: float,
        mean_work_ms: float,
    ) -> None:
        """Set `work_ms` to the transfer time at full pace, `mean_work_ms` to the mean of the class.

        `mean_work_ms` is 0 if the size of the request is unknown.
        """
        self.request, self.class_settings = request, class_settings
        self.size_known = mean_work_ms > 0
        self.size_tier = min(LARGEST_SIZE_TIER, int(work_ms / mean_work_ms)) if self.size_known else 0
        self.work_ms, self.deadline_ms = work_ms, now_ms + request.timeout_ms
        stretched_ms = class_settings.latency_objective_ms + class_settings.objective_stretch * work_ms
        self.objective_ms = min(stretched_ms, class_settings.deadline_ms)
        self.attempts: list[Attempt] = []
        self.missed = False
        self.bypasses_origin = False
        self.rejected_by_origin = False
        self.attempted_nodes: set[NodeId] = set()
        self.failed_sources: set[NodeId] = set()

    def pending_attempts(self) -> int:
        """Return the number of attempts that have not ended."""
        return sum(attempt.pending for attempt in self.attempts)

"""Ejection of nodes that fail or stop responding."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from stonecove.routing.endpoints import NodeId

EJECTION_FAILURES = 2.0  # consecutive failures that eject a node
RESET_FAILURE_WEIGHT = 0.5  # if the process has died, the next connection is refused and counts in full


@dataclass(slots=True)
class OutlierDetector:
    """Track failures of one node in one role. A success clears them; consecutive ones eject the node."""

    last_success_ms: float = -math.inf
    failure_count: float = 0.0
    ejected_until_ms: float = -math.inf
    last_reset_ms: float = -math.inf

    def record_success(self, now_ms: float) -> None:
        """Clear the failures and end an ejection."""
        self.last_success_ms, self.failure_count, self.ejected_until_ms = now_ms, 0.0, -math.inf

    def record_failure(self, now_ms: float, sent_ms: float, ejection_ms: float, weight: float = 1.0) -> bool:
        """Count the failure of an attempt sent at `sent_ms`; return whether it ejects the node."""
        if sent_ms <= self.last_success_ms:
            return False
        previous_count, self.failure_count = self.failure_count, self.failure_count + weight
        if self.failure_count >= EJECTION_FAILURES and now_ms >= self.ejected_until_ms:
            self.ejected_until_ms = now_ms + ejection_ms
        return previous_count < EJECTION_FAILURES <= self.failure_count

    def is_available(self, now_ms: float) -> bool:
        """Return whether the node is not ejected now."""
        return now_ms >= self.ejected_until_ms

    def begin_trial(self, now_ms: float, ejection_ms: float) -> None:
        """Let one attempt try a node whose ejection has ended; the node stays ejected for all others."""
        if self.failure_count >= EJECTION_FAILURES:
            self.ejected_until_ms = now_ms + ejection_ms


OutlierDetectors = defaultdict[NodeId, OutlierDetector]

"""Stage 2, admit: bounds what is held, and starts a request's clock."""

from __future__ import annotations

import random

from stonecove.exchange import ClientRequest
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import CpuCredit
from stonecove.state.budget import Budget
from stonecove.state.requests import OpenRequest, OpenRequests

MARGIN = 15.0  # ms before the client's own limit at which the answer is due: it has to get there
MOST_OPEN = 4096
MOST_ANSWER = 240_000  # bytes of the longest object
LONGEST = 60_000.0  # ms; a client may claim to wait for longer than any class does, but is not kept for it
PATIENCE = 0.4  # part of the wanted time that a request of the mean worth may wait for its decision
LEAST_PATIENCE = 20.0  # ms of it at least
OVERDRAWN = 0.02  # seconds of CPU by which we are over our share when a request of the mean worth is refused


class Admit:
    """Decides whether there is room for one request more."""

    def __init__(
        self, settings: Settings, requests: OpenRequests, budget: Budget, pace: float, seed: int
    ) -> None:
        """The pace is that of one transfer, in bytes a second; 0 if it is not told."""
        self.cpu = CpuCredit()
        self._random = random.Random(seed)
        self._requests = requests
        self._budget = budget
        self._pace = pace
        self.latest = float("inf")  # once the router stops, all is answered by this Unix millisecond
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold for requests that come from now on."""
        self._classes = settings.classes
        self._longest_pause = settings.max_retry_after_ms if settings.retry_after_allowed else 0.0
        mean = sum(cls.priority_weight for cls in settings.classes) / max(1, len(settings.classes))
        self._priority = [
            min(2.0, cls.priority_weight / mean) if mean > 0 else 1.0 for cls in settings.classes
        ]
        self._patience = [
            max(LEAST_PATIENCE, PATIENCE * priority * cls.latency_objective_ms)
            for priority, cls in zip(self._priority, settings.classes, strict=True)
        ]
        self._longest = max(LONGEST, *(cls.deadline_ms for cls in settings.classes))
        self._most = min(settings.max_open_requests, MOST_OPEN)
        told = settings.client_kb_per_s > 0 and self._pace > 0
        self._bytes_per_kb = self._pace / settings.client_kb_per_s if told else 1000.0

    def enter(self, now: float, asked: ClientRequest) -> OpenRequest | None:
        """The request, now open; None if there is no room for it and its answer, or the drain is over."""
        if now >= self.latest:
            return None
        holds = len(asked.body) + min(MOST_ANSWER, round(asked.size_kb * self._bytes_per_kb))
        if len(self._requests) >= self._most or not self._budget.admits(holds):
            return None
        self._budget.take(holds)
        deadline = min(now + max(1.0, min(asked.timeout_ms, self._longest) - MARGIN), self.latest)
        return self._requests.add(asked, self._classes[asked.class_index], deadline, holds)

    def too_much(self, now: float, since: float, kind: int) -> bool:
        """Whether a request that came then is to be refused, as there is more to do than we can.

        Guards against all becoming late together: what is refused is refused early, and of less worth first.
        """
        if now - since > self._patience[kind]:
            return True
        left = self.cpu.left()
        return left < 0 and left <= -OVERDRAWN * (self._priority[kind] - min(self._priority))

    def pause(self) -> float:
        """For how long a client that we refuse should stay away; spread, or all come back together."""
        return self._longest_pause * self._random.uniform(0.5, 1.0)

    def leave(self, request: OpenRequest) -> None:
        """The request is over. Guards against giving back twice what was set aside once."""
        if self._requests.drop(request.req):
            self._budget.give(request.holds)

"""Stage 2, admit: bounds what is held, and starts a request's clock."""

from __future__ import annotations

from stonecove.interface import Settings
from stonecove.memory.budget import Budget
from stonecove.memory.requests import OpenRequest, OpenRequests
from stonecove.stages.types import Asked

MARGIN = 15.0  # ms before the client's own limit at which the answer is due: it has to get there
MOST_OPEN = 4096
MOST_ANSWER = 240_000  # bytes of the longest object
LONGEST = 60_000.0  # ms; a client may claim to wait for longer, but is not kept in memory for it
FULL_PAUSE = 500.0  # ms for which a client that found us full should stay away


class Admit:
    """Decides whether there is room for one request more."""

    def __init__(self, settings: Settings, requests: OpenRequests, budget: Budget, pace: float) -> None:
        """The pace is that of one transfer, in bytes a second; 0 if it is not told."""
        self._requests = requests
        self._budget = budget
        self._most = min(settings.most_held, MOST_OPEN)
        self._bytes_per_kb = pace / settings.client_pace if settings.client_pace > 0 and pace > 0 else 1000.0
        self.latest = float("inf")  # once the router stops, all is answered by this Unix millisecond

    def enter(self, now: float, asked: Asked) -> OpenRequest | None:
        """The request, now open; None if there is no room for it and its answer."""
        holds = len(asked.body) + min(MOST_ANSWER, round(asked.size * self._bytes_per_kb))
        if len(self._requests) >= self._most or not self._budget.has(holds):
            return None
        self._budget.take(holds)
        deadline = min(now + max(1.0, min(asked.ttl, LONGEST) - MARGIN), self.latest)
        return self._requests.add(asked, deadline, holds)

    def leave(self, request: OpenRequest) -> None:
        """The request is over."""
        self._budget.give(request.holds)
        self._requests.drop(request.req)

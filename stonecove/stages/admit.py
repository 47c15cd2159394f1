"""Stage 2, admit: bounds what is held, and starts a request's clock."""

from __future__ import annotations

from collections.abc import Callable

from stonecove.interface import Settings
from stonecove.memory.requests import OpenRequest, OpenRequests
from stonecove.stages.types import Asked

MARGIN = 15.0  # ms before the client's own limit at which the answer is due: it has to get there
MOST_OPEN = 4096
MEMORY_SHARE = 0.25  # part of the memory limit that bodies and unsent answers may take
LONGEST = 60_000.0  # ms; a client may claim to wait for longer, but is not kept in memory for it
FULL_PAUSE = 500.0  # ms for which a client that found us full should stay away


class Admit:
    """Decides whether there is room for one request more."""

    def __init__(self, settings: Settings, requests: OpenRequests, memory_mb: float,
                 unsent: Callable[[], int]) -> None:
        self._requests = requests
        self._most = min(settings.most_held, MOST_OPEN)
        self._most_bytes = memory_mb * MEMORY_SHARE * 1e6
        self._unsent = unsent
        self._bodies = 0
        self.latest = float("inf")  # once the router stops, all is answered by this Unix millisecond

    def enter(self, now: float, asked: Asked) -> OpenRequest | None:
        """The request, now open; None if there is no room. Guards against being killed for memory."""
        if len(self._requests) >= self._most or (
                self._bodies + len(asked.body) + self._unsent() > self._most_bytes):
            return None
        self._bodies += len(asked.body)
        return self._requests.add(asked, min(now + max(1.0, min(asked.ttl, LONGEST) - MARGIN), self.latest))

    def leave(self, request: OpenRequest) -> None:
        """The request is over."""
        self._bodies -= len(request.asked.body)
        self._requests.drop(request.req)

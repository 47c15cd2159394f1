"""One of the listener's limited places for HTTP clients: what its client does with it."""

from __future__ import annotations

from collections.abc import Callable

import trio

from stonecove.state.budget import MemoryBudget
from stonecove.state.client_activity import ClientActivity, PlaceStatus, PlaceUse
from stonecove.transport.peer_state import HasFileno


class HttpPlace:
    """The place of one connection, from its acceptance to its end. Times are Unix milliseconds."""

    def __init__(self, sock: HasFileno, budget: MemoryBudget, now_ms: Callable[[], float]) -> None:
        """Create the place of a client that was just accepted; `budget` counts what it sends in part."""
        self.sock, self.budget, self._now_ms = sock, budget, now_ms
        self._accepted_at_ms = now_ms()
        self.activity = ClientActivity(self._accepted_at_ms)
        self.scope = trio.CancelScope()  # of all that is done for the client
        self.stop_input: Callable[[], None] = self.scope.cancel  # until the connection can end in order
        self.is_evicted = False
        self._nothing_received = True
        self._is_busy = False
        self._receiving_since_ms = 0.0  # when an incomplete request started; 0: there is none
        self._lingering_since_ms = 0.0

    def input_received(self, is_partial: bool) -> None:
        """Record received bytes, and whether they leave a request incomplete."""
        self._nothing_received = False
        if not is_partial:
            self._receiving_since_ms = 0.0
        elif not self._receiving_since_ms:
            self._receiving_since_ms = self._now_ms()

    def request_accepted(self) -> None:
        """Record a request that will get an answer."""
        self._is_busy, self._receiving_since_ms = True, 0.0
        self.activity.record_accepted(self._now_ms())

    def request_rejected(self) -> None:
        """Record a request that was rejected."""
        self._receiving_since_ms = 0.0
        self.activity.record_rejected()

    def answer_written(self) -> None:
        """Record that an answer was written."""
        self._is_busy = False
        self.activity.record_written(self._now_ms())

    def linger(self) -> None:
        """Record that the connection only waits for the client to close its side."""
        self._is_busy = False
        self._lingering_since_ms = self._now_ms()

    def has_sent_request(self) -> bool:
        """Return whether a request of this client was accepted before."""
        return self.activity.has_sent_request

    def place_status(self) -> PlaceStatus:
        """Return what the client does with its place."""
        if self._lingering_since_ms:
            return PlaceStatus(PlaceUse.LINGERING, self._lingering_since_ms)
        if self._is_busy:
            return PlaceStatus(PlaceUse.BUSY, 0.0)
        if self._nothing_received:
            return PlaceStatus(PlaceUse.SILENT, self._accepted_at_ms)
        has_wasted = self.activity.has_wasted()
        if self._receiving_since_ms:
            since_ms = self.activity.progress_at_ms if has_wasted else self._receiving_since_ms
            return PlaceStatus(PlaceUse.RECEIVING, since_ms)
        use = PlaceUse.WASTING if has_wasted else PlaceUse.IDLE
        return PlaceStatus(use, self.activity.progress_at_ms)

    def evict(self) -> None:
        """Make way for another client; what has arrived by now is still served."""
        self.is_evicted = True
        if self.place_status().use is PlaceUse.LINGERING:
            self.scope.cancel()
        else:
            self.stop_input()

"""Open requests and their attempts."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from stonecove.exchange import ClientRequest
from stonecove.routing.actions import SendAttempt
from stonecove.routing.settings import ClassSettings
from stonecove.runtime.timers import Timer


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt, from the decision to its one end."""

    request: OpenRequest
    number: int
    action: SendAttempt
    decided_at_ms: float
    written_at_ms: float = 0.0  # when its first byte was written; 0 if it is unsent
    purged: bool = False  # its object was purged after the decision
    ended: bool = False
    not_executed: bool = False  # its outcome proves that it did not run
    reassigned: bool = False  # it was moved to another connection
    deadline_timer: Timer | None = None


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request from its admission until it is answered and its last attempt has ended."""

    request_id: int
    client_request: ClientRequest
    class_settings: ClassSettings  # as of the request's admission
    deadline_ms: float
    reserved_bytes: int = 0  # for the request and its response
    answered: bool = False
    backstop_timer: Timer | None = None
    expired: bool = False  # no more attempts are sent for it
    attempts: list[Attempt] = field(default_factory=list)


class OpenRequests:
    """All open requests, by id."""

    def __init__(self) -> None:
        self._open: dict[int, OpenRequest] = {}
        self._by_txn: dict[str, OpenRequest] = {}
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(list(self._open.values()))

    def add(
        self,
        client_request: ClientRequest,
        class_settings: ClassSettings,
        deadline_ms: float,
        reserved_bytes: int,
    ) -> OpenRequest:
        """Open a request under a new id below 2^32."""
        self._last_id = self._last_id % 0xFFFFFFFF + 1
        request = self._open[self._last_id] = OpenRequest(
            self._last_id, client_request, class_settings, deadline_ms, reserved_bytes
        )
        self._by_txn[client_request.txn] = request
        return request

    def is_open(self, txn: str) -> bool:
        """Return whether a request of that transaction id is open and unanswered."""
        request = self._by_txn.get(txn)
        return request is not None and not request.answered

    def get(self, request_id: int) -> OpenRequest | None:
        """Return the open request of that id, or None."""
        return self._open.get(request_id)

    def remove(self, request_id: int) -> bool:
        """Remove a request; return whether it was open."""
        request = self._open.pop(request_id, None)
        if request is not None and self._by_txn.get(request.client_request.txn) is request:
            del self._by_txn[request.client_request.txn]
        return request is not None

    def unsent_attempts(self) -> list[Attempt]:
        """Return the attempts of which nothing has been written."""
        return [
            attempt
            for request in self._open.values()
            for attempt in request.attempts
            if not attempt.ended and not attempt.written_at_ms
        ]

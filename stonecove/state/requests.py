"""Open requests and their attempts."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from stonecove.exchange import ClientRequest
from stonecove.routing.actions import SendAttempt
from stonecove.routing.settings import ClassSettings, Idempotency
from stonecove.runtime.timers import Timer

USED_RETENTION_MS = 600_000.0  # no client repeats a request later than that
MAX_USED = 10_000  # transaction ids, of 150 bytes each


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

    def may_have_had_effect(self) -> bool:
        """Return whether an attempt may have run whose repetition is not harmless."""
        return self.class_settings.idempotency is not Idempotency.IDEMPOTENT and any(
            attempt.written_at_ms and not attempt.not_executed for attempt in self.attempts
        )


class UsedTransactions:
    """Transaction ids whose requests may have had an effect, for a time and in a bounded number."""

    def __init__(self) -> None:
        self._forget_at_ms: dict[int, float] = {}  # in the order in which they were added

    def add(self, txn: str, now_ms: float) -> None:
        """Remember an id for `USED_RETENTION_MS`, and drop the oldest one beyond `MAX_USED`."""
        key = int(txn, 16)
        self._forget_at_ms.pop(key, None)
        self._forget_at_ms[key] = now_ms + USED_RETENTION_MS
        while len(self._forget_at_ms) > MAX_USED or next(iter(self._forget_at_ms.values())) <= now_ms:
            del self._forget_at_ms[next(iter(self._forget_at_ms))]

    def contains(self, txn: str, now_ms: float) -> bool:
        """Return whether the id, however it is spelled, was used and is not forgotten."""
        return self._forget_at_ms.get(int(txn, 16), 0.0) > now_ms


class OpenRequests:
    """All open requests, by id, and the ids of those that may have had an effect."""

    def __init__(self) -> None:
        self._open: dict[int, OpenRequest] = {}
        self._by_txn: dict[str, OpenRequest] = {}
        self._used = UsedTransactions()
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
        self._by_txn[client_request.txn.lower()] = request
        return request

    def rejection_reason(self, txn: str, now_ms: float) -> str:
        """Return why no request may be opened under a transaction id; empty if one may.

        An id is new with every request. A request that came again, as after its client has left, could
        otherwise have its effect twice.
        """
        request = self._by_txn.get(txn.lower())
        if request is not None and not request.answered:
            return "X-Txn is in use by an open request"
        if (request is not None and request.may_have_had_effect()) or self._used.contains(txn, now_ms):
            return "X-Txn was used by an earlier request"
        return ""

    def get(self, request_id: int) -> OpenRequest | None:
        """Return the open request of that id, or None."""
        return self._open.get(request_id)

    def remove(self, request_id: int, now_ms: float) -> bool:
        """Remove a request; return whether it was open. Its id is remembered if it may have had an effect."""
        request = self._open.pop(request_id, None)
        if request is None:
            return False
        txn = request.client_request.txn.lower()
        if self._by_txn.get(txn) is request:
            del self._by_txn[txn]
        if request.may_have_had_effect():
            self._used.add(txn, now_ms)
        return True

    def unsent_attempts(self) -> list[Attempt]:
        """Return the attempts of which nothing has been written."""
        return [
            attempt
            for request in self._open.values()
            for attempt in request.attempts
            if not attempt.ended and not attempt.written_at_ms
        ]

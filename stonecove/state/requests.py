"""The requests that are open, and their attempts."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from stonecove.exchange import ClientRequest
from stonecove.routing.actions import SendAttempt
from stonecove.routing.settings import ClassSettings
from stonecove.runtime.timers import Alarm


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from the order to its one end."""

    request: OpenRequest
    number: int
    order: SendAttempt
    ordered_at: float
    written_at: float = 0.0  # when its first byte was written; 0: never sent so far
    outdated: bool = False  # a purge came after the order
    ended: bool = False
    not_run: bool = False  # its end proves that it never ran
    moved: bool = False  # it has been put on another connection
    alarm: Alarm | None = None


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that has been taken, until its last attempt has ended and it is answered."""

    req: int
    asked: ClientRequest
    cls: ClassSettings  # as it was when the request was taken in
    deadline: float
    holds: int = 0  # bytes that are set aside for it and its answer
    answered: bool = False
    backstop: Alarm | None = None
    expired: bool = False  # nothing more goes out for it
    attempts: list[Attempt] = field(default_factory=list)


class OpenRequests:
    """All open requests by their number."""

    def __init__(self) -> None:
        self._open: dict[int, OpenRequest] = {}
        self._txns: dict[str, OpenRequest] = {}
        self._next = 0

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(list(self._open.values()))

    def add(self, asked: ClientRequest, cls: ClassSettings, deadline: float, holds: int) -> OpenRequest:
        """Takes a request in, under a new number below 2^32."""
        self._next = self._next % 0xFFFFFFFF + 1
        request = self._open[self._next] = OpenRequest(self._next, asked, cls, deadline, holds)
        self._txns[asked.txn] = request
        return request

    def waits(self, txn: str) -> bool:
        """Whether a request of that id is open and not answered."""
        request = self._txns.get(txn)
        return request is not None and not request.answered

    def get(self, req: int) -> OpenRequest | None:
        """The request of that number, if it is open."""
        return self._open.get(req)

    def drop(self, req: int) -> bool:
        """Forgets a request that is over; says whether it was known until now."""
        request = self._open.pop(req, None)
        if request is not None and self._txns.get(request.asked.txn) is request:
            del self._txns[request.asked.txn]
        return request is not None

    def waiting(self) -> list[Attempt]:
        """Attempts of which nothing has been written yet."""
        return [
            attempt
            for request in self._open.values()
            for attempt in request.attempts
            if not attempt.ended and not attempt.written_at
        ]

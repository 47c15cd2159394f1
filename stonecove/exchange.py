"""Requests and answers as the pipeline stages exchange them, independent of the client protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """Kind of a final answer."""

    SERVED = "served"
    UNCHANGED = "unchanged"  # the client's own copy is current
    REFUSED = "refused"  # a retry is harmless
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    body: bytes = b""
    tag: str = ""
    retry_after_ms: float = 0.0  # for refused requests
    copy_made_at_ms: float = 0.0  # Unix time at which the copy was made; 0 if unknown


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A validated request. Its texts are sent to caches unchanged."""

    txn: str
    cls: str
    item: str
    chunk: str
    class_index: int
    object_key: int
    chunk_index: int
    group: int
    size_kb: float
    timeout_ms: float
    client_tag: str  # tag of the client's own copy; empty if it has none
    body: bytes
    reply: Callable[[Answer], None]
    idempotency_key: str = ""  # empty where the class has none
    client: str = ""  # the client's identity as the web server reports it; empty if it does not
    on_disconnect: Callable[[], None] | None = None  # called if the client leaves before the answer
    # Makes the frontend check that the client is there; returns False while its input hides whether it is.
    check_connection: Callable[[], bool] | None = None


class BadRequestError(Exception):
    """A request that cannot be accepted; `status` is the closest HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status

"""What passes between the stages, whatever front a request came by."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """What an answer says."""

    SERVED = "served"
    UNCHANGED = "unchanged"  # the copy that the client holds is the one
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    body: bytes = b""
    tag: str = ""
    pause: float = 0.0  # on a refusal, for how long the client should stay away
    born: float = 0.0  # Unix ms at which the copy was given out; 0: not told


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request, checked; the texts pass on to caches unchanged."""

    txn: str
    cls: str
    item: str
    chunk: str
    kind: int
    key: int
    part: int
    group: int
    size: float
    ttl: float
    seen: str  # tag of the copy that the client holds; empty if none
    body: bytes
    reply: Callable[[Answer], None]
    nonce: str = ""  # the client's idempotency key; empty where the class has none
    client: str = ""  # who asks, as the web server tells it; empty if it does not
    gone: Callable[[], None] | None = None  # told when its client leaves before the answer
    look: Callable[[], None] | None = None  # has its front look, now, whether its client is still there


class BadRequestError(Exception):
    """A request that can't be taken; `status` is the nearest of HTTP's."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status

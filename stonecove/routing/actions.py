"""Actions that the routing decisions return, to be carried out in order by the caller."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from stonecove.routing.endpoints import NodeId

RETRY_LEASE: NodeId = -1  # stands for a node where a lease is of retries, one unit of work each


class FetchMode(IntEnum):
    """Bits that tell a cache how to handle a miss."""

    JOIN_FILL = 1
    CACHED_ONLY = 2
    NO_PARENT_COPY = 4
    REVALIDATE = 8


class SendAttempt(NamedTuple):
    """Send a request to a cache, and tell it where to fill a miss from and how to store the copy.

    `cache_rank` 0 means that the copy is not stored, `max_age_ms` 0 that the class's own limit holds.
    """

    request_id: int
    node_id: NodeId
    deadline_ms: float
    source_id: NodeId
    cache_rank: int
    max_age_ms: float
    fetch_mode: int


class CancelAttempt(NamedTuple):
    """Stop waiting for one attempt."""

    request_id: int
    attempt_index: int


class RejectRequest(NamedTuple):
    """Final answer: rejected; a retry is harmless."""

    request_id: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Final answer: failed; the request may have been executed."""

    request_id: int


class StartTimer(NamedTuple):
    """Post a `TimerExpired` event with this token at `expires_at_ms`."""

    token: int
    expires_at_ms: float


class SendHealthCheck(NamedTuple):
    """Check the health of a node."""

    node_id: NodeId


class WatchEndpointList(NamedTuple):
    """Subscribe to changes of the endpoint list."""


class WriteLog(NamedTuple):
    """Log a line for the operators."""

    text: str


class RequestLease(NamedTuple):
    """Request a lease of the slow-start budget that routers share.

    `fleet_limit_ms` is the work that all routers of the pool may send to the node within a window now. It
    grows by `growth_ms_per_s` until the node is warm. The pool is the routers of this zone if `zonal`, else
    all of them; `share` is this router's part of the limit.
    """

    node_id: NodeId
    work_ms: float
    fleet_limit_ms: float
    growth_ms_per_s: float
    share: float
    zonal: bool


class ReturnLease(NamedTuple):
    """Return what is left of a lease that is over."""

    lease_id: int
    work_ms: float


Action = (
    SendAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | StartTimer
    | SendHealthCheck
    | WatchEndpointList
    | WriteLog
    | RequestLease
    | ReturnLease
)

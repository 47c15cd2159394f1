"""Actions that the routing decisions return. The caller carries them out in order."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from stonecove.routing.endpoints import NodeId

RETRY_LEASE: NodeId = -1  # in place of a node: the lease is of retries, one unit of work each


class FetchMode(IntEnum):
    """Bit flags by which a cache handles a miss."""

    JOIN_FILL = 1
    CACHED_ONLY = 2
    NO_PARENT_COPY = 4
    REVALIDATE = 8


class SendAttempt(NamedTuple):
    """Send a request to a cache, with the source that fills a miss and the rank at which to store the copy.

    A `cache_rank` of 0 means that the copy is not stored, a `max_age_ms` of 0 that the limit of the class
    applies.
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
    """Give the final answer "rejected"; a retry by the client is harmless."""

    request_id: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Give the final answer "failed"; the request may have been executed."""

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
    grows by `growth_ms_per_s` until the node's slow start ends. The pool is the routers of this zone if
    `zonal`, else all of them; `share` is this router's share of the limit.
    """

    node_id: NodeId
    work_ms: float
    fleet_limit_ms: float
    growth_ms_per_s: float
    share: float
    zonal: bool


class ReturnLease(NamedTuple):
    """Return the unspent work of an ended lease."""

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

"""Events that the routing decisions take, and how attempts end.

Times are milliseconds of the caller's clock and sizes are KB.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from stonecove.routing.endpoints import EndpointListKind, Node, NodeId
from stonecove.routing.settings import Settings


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    CANCELLED = 1
    TIMEOUT = 4
    MISS = 5
    REJECTED_OVERLOADED = 8
    EXPIRED_UNSENT = 9
    RESET = 10
    ERROR = 13
    CONNECT_FAILED = 14
    UNKNOWN = 255


# Published names, in statistics and spans, where they differ from the code's.
_REPORTED_OUTCOMES = {Outcome.REJECTED_OVERLOADED: "full", Outcome.EXPIRED_UNSENT: "moot"}


def reported_outcome(outcome: Outcome) -> str:
    """Return the name by which statistics and spans call an outcome."""
    return _REPORTED_OUTCOMES.get(outcome, outcome.name.lower())


PROVEN_NOT_EXECUTED = frozenset(
    (Outcome.REJECTED_OVERLOADED, Outcome.CONNECT_FAILED, Outcome.EXPIRED_UNSENT, Outcome.MISS)
)


class CacheStatus(IntEnum):
    """State of the cached copy, or of the fill behind it, as an answer reports it."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_DISCONNECTED = 7
    SOURCE_MISSING_OBJECT = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


class EndpointListUpdate(NamedTuple):
    """The endpoint list, or what has changed in it."""

    kind: EndpointListKind
    nodes: tuple[Node, ...]


class RequestReceived(NamedTuple):
    """A client's request has arrived; exactly one final answer must follow."""

    request_id: int
    class_index: int
    object_key: int
    timeout_ms: float
    size_kb: float
    group: int
    chunk_index: int


class AttemptEnded(NamedTuple):
    """One attempt of a request has ended. `answered`: the request has its final answer already."""

    request_id: int
    attempt_index: int
    node_id: NodeId
    outcome: Outcome
    duration_ms: float
    answered: bool
    cache_status: int
    fill_wait_ms: float
    load_report: tuple[float, ...]


class ResponseStarted(NamedTuple):
    """The response of a streamed request has started."""

    request_id: int
    attempt_index: int
    node_id: NodeId


class ClientDisconnected(NamedTuple):
    """The client of a request has disconnected; no answer is needed any more."""

    request_id: int


class TimerExpired(NamedTuple):
    """A timer started by a `StartTimer` action has expired."""

    token: int


class PurgeReceived(NamedTuple):
    """An object, or a whole group where `object_key` is 0, was purged `age_ms` ago."""

    age_ms: float
    group: int
    object_key: int


class FleetSizeChanged(NamedTuple):
    """The number of routers has changed, in total and by zone."""

    fleet_size: int
    routers_by_zone: tuple[int, ...]


class SettingsChanged(NamedTuple):
    """Other settings are in force, in which classes may only have been appended.

    `zone`, the two kinds, `client_kb_per_s`, `overload_window_ms` and `endpoint_list_polled` are those of the
    start. Open requests keep the settings of their class.
    """

    settings: Settings


class HealthCheckEnded(NamedTuple):
    """The result of a health check."""

    node_id: NodeId
    succeeded: bool
    duration_ms: float
    load_report: tuple[float, ...]


class LeaseTerms(NamedTuple):
    """The routers of a host share slow-start budgets and retries by leases from now on.

    The fractions are those of its shares that a router may spend without a lease.
    """

    unleased_fraction: float
    retry_fraction: float


class LeaseGranted(NamedTuple):
    """This much work may be spent on a node, once, until the lease expires. A work of 0 ends the lease."""

    lease_id: int
    node_id: NodeId
    work_ms: float
    expires_at_ms: float


Event = (
    EndpointListUpdate
    | RequestReceived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | TimerExpired
    | PurgeReceived
    | HealthCheckEnded
    | FleetSizeChanged
    | SettingsChanged
    | LeaseTerms
    | LeaseGranted
)

"""Events and actions of the routing decisions, built and described without the names of the code.

Only this module uses the program's event and action types, so that a rename there changes no recorded data.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from stonecove.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    RequestLease,
    ReturnLease,
    SendAttempt,
    StartTimer,
    WatchEndpointList,
    WriteLog,
)
from stonecove.routing.endpoints import EndpointListKind, Node, NodeState
from stonecove.routing.events import (
    AttemptEnded,
    CacheStatus,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    FleetSizeChanged,
    HealthCheckEnded,
    LeaseGranted,
    LeaseTerms,
    Outcome,
    PurgeReceived,
    RequestReceived,
    ResponseStarted,
    SettingsChanged,
    TimerExpired,
)
from stonecove.settings import read_settings

DRAINING, REMOVED, READY = 0, 1, 2
DELTA, SNAPSHOT, CACHED, FAILED = 0, 1, 2, 3
OUTCOMES = (0, 1, 4, 5, 8, 9, 10, 13, 14, 255)
OK, CANCELLED, TIMEOUT, MISS, OVERLOADED, UNSENT, RESET, ERROR, CONNECT_FAILED, UNKNOWN = OUTCOMES
NO_CACHE_STATUS, HIT, FILLED, FILLED_BY_ORIGIN = 0, 1, 2, 3
SOURCE_REJECTED, SOURCE_DISCONNECTED, SOURCE_MISSING_OBJECT, NO_FILL_SLOT, ORIGIN_FAILED = 6, 7, 8, 9, 10
CACHE_STATUSES = range(11)
RETRY_LEASE_NODE = -1  # node id of a lease for retries


class Endpoint(NamedTuple):
    """One simulated cache, parent or origin."""

    node: int
    kind: int
    started_ms: float
    state: int
    cell: int
    zone: int
    weight: float


Step = tuple[str, tuple[Any, ...]]  # an event as its kind and the arguments of its factory


# -- the program's types: events in, actions out --


def make_node(
    node: int, kind: int, started_ms: float, state: int, cell: int, zone: int, weight: float
) -> Node:
    """Return one entry of an endpoint list."""
    return Node(node, kind, started_ms, NodeState(state), cell, zone, weight)


def make_list(kind: int, endpoints: Iterable[Endpoint]) -> Event:
    """Return an update of the endpoint list."""
    return EndpointListUpdate(EndpointListKind(kind), tuple(make_node(*endpoint) for endpoint in endpoints))


def make_request(
    request: int, class_index: int, key: int, timeout_ms: float, size_kb: float, group: int, chunk: int
) -> Event:
    """Return a client's request."""
    return RequestReceived(request, class_index, key, timeout_ms, size_kb, group, chunk)


def make_attempt_end(
    request: int,
    attempt: int,
    node: int,
    outcome: int,
    duration_ms: float,
    final: bool,
    cache_status: int,
    fill_wait_ms: float,
    load: tuple[float, ...],
) -> Event:
    """Return the end of an attempt."""
    return AttemptEnded(
        request,
        attempt,
        node,
        Outcome(outcome),
        duration_ms,
        final,
        CacheStatus(cache_status),
        fill_wait_ms,
        load,
    )


def make_response_start(request: int, attempt: int, node: int) -> Event:
    """Return the beginning of a streamed response."""
    return ResponseStarted(request, attempt, node)


def make_disconnect(request: int) -> Event:
    """Return the disconnection of a client."""
    return ClientDisconnected(request)


def make_timer_end(token: int) -> Event:
    """Return the expiry of a timer that the director started."""
    return TimerExpired(token)


def make_purge(age_ms: float, group: int, key: int) -> Event:
    """Return a purge of an object, or of a group where the key is 0."""
    return PurgeReceived(age_ms, group, key)


def make_probe_end(node: int, succeeded: bool, duration_ms: float, load: tuple[float, ...]) -> Event:
    """Return the result of a health check."""
    return HealthCheckEnded(node, succeeded, duration_ms, load)


def make_fleet_size(fleet_size: int, by_zone: tuple[int, ...]) -> Event:
    """Return a change of the number of routers."""
    return FleetSizeChanged(fleet_size, by_zone)


def make_settings_change(settings: dict[str, Any]) -> Event:
    """Return a change of the settings, given as published JSON."""
    return SettingsChanged(read_settings(json.dumps(settings)))


def make_lease_terms(unleased_fraction: float, retry_fraction: float) -> Event:
    """Return the fractions of its shares that a router may use without a lease."""
    return LeaseTerms(unleased_fraction, retry_fraction)


def make_lease(number: int, node: int, work: float, expires_at_ms: float) -> Event:
    """Return a granted lease, or the end of one if the work is 0."""
    return LeaseGranted(number, node, work, expires_at_ms)


EVENT_FACTORIES: dict[str, Callable[..., Event]] = {
    "list": make_list,
    "request": make_request,
    "attempt-end": make_attempt_end,
    "response-start": make_response_start,
    "disconnect": make_disconnect,
    "timer-end": make_timer_end,
    "purge": make_purge,
    "probe-end": make_probe_end,
    "fleet-size": make_fleet_size,
    "settings-change": make_settings_change,
    "lease-terms": make_lease_terms,
    "lease": make_lease,
}

DESCRIBERS: dict[type, Callable[[Any], list[Any]]] = {
    SendAttempt: lambda action: [
        "send", action.request_id,
        action.node_id,
        action.deadline_ms,
        action.source_id,
        action.cache_rank,
        action.max_age_ms,
        int(action.fetch_mode),
    ],
    CancelAttempt: lambda action: ["cancel", action.request_id, action.attempt_index],
    RejectRequest: lambda action: ["reject", action.request_id, action.retry_after_ms],
    FailRequest: lambda action: ["fail", action.request_id],
    StartTimer: lambda action: ["timer", action.token, action.expires_at_ms],
    WatchEndpointList: lambda action: ["watch"],
    WriteLog: lambda action: ["log", action.text],
    RequestLease: lambda action: [
        "request-lease", action.node_id, action.work_ms, action.fleet_limit_ms, action.growth_ms_per_s,
        action.share, action.zonal
    ],
    ReturnLease: lambda action: ["return-lease", action.lease_id, action.work_ms],
}  # fmt: skip


def describe_action(action: Action) -> list[Any]:
    """Return an action as a list without class names: its kind, then its values in a fixed order."""
    return DESCRIBERS[type(action)](action)

"""The events and actions of the decision module, built and described without their names.

This is the one place of the recordings of decisions that knows the program's types: a rename changes the
right sides here, and no recorded data.
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

DRAINING, GONE, READY = 0, 1, 2
DELTA, FULL, CACHED, FAILED = 0, 1, 2, 3
OUTCOMES = (0, 1, 4, 5, 8, 9, 10, 13, 14, 255)
OK, CANCELLED, TIMEOUT, MISS, OVERLOADED, UNSENT, RESET, ERROR, CONNECT_FAILED, UNKNOWN = OUTCOMES
NO_NOTE, HIT, FILLED, FILLED_BY_ORIGIN = 0, 1, 2, 3
SOURCE_REFUSED, SOURCE_BROKE, SOURCE_LACKS, NO_FILL_PLACE, ORIGIN_FAILED = 6, 7, 8, 9, 10
NOTES = range(11)
RETRY_CREDIT = -1  # the node number under which credit for retries is leased


class Endpoint(NamedTuple):
    """One simulated cache, parent or origin."""

    node: int
    kind: int
    started: float
    state: int
    cell: int
    zone: int
    weight: float


Step = tuple[str, tuple[Any, ...]]  # an event as its kind and the arguments of its factory


# -- the program's types: events in, actions out --


def make_node(node: int, kind: int, started: float, state: int, cell: int, zone: int, weight: float) -> Node:
    """Return one entry of an endpoint list."""
    return Node(node, kind, started, NodeState(state), cell, zone, weight)


def make_list(form: int, endpoints: Iterable[Endpoint]) -> Event:
    """Return an update of the endpoint list."""
    return EndpointListUpdate(EndpointListKind(form), tuple(make_node(*one) for one in endpoints))


def make_request(
    request: int, kind: int, key: int, time_left: float, size: float, group: int, part: int
) -> Event:
    """Return a client's request."""
    return RequestReceived(request, kind, key, time_left, size, group, part)


def make_attempt_end(
    request: int,
    attempt: int,
    node: int,
    outcome: int,
    took: float,
    final: bool,
    note: int,
    waited: float,
    load: tuple[float, ...],
) -> Event:
    """Return the end of an attempt."""
    return AttemptEnded(
        request, attempt, node, Outcome(outcome), took, final, CacheStatus(note), waited, load
    )


def make_response_start(request: int, attempt: int, node: int) -> Event:
    """Return the beginning of a streamed response."""
    return ResponseStarted(request, attempt, node)


def make_disconnect(request: int) -> Event:
    """Return the disconnection of a client."""
    return ClientDisconnected(request)


def make_timer_end(token: int) -> Event:
    """Return the end of a timer that was asked for."""
    return TimerExpired(token)


def make_purge(age: float, group: int, key: int) -> Event:
    """Return a purge of an object, or of a group where the key is 0."""
    return PurgeReceived(age, group, key)


def make_probe_end(node: int, succeeded: bool, took: float, load: tuple[float, ...]) -> Event:
    """Return the result of a health check."""
    return HealthCheckEnded(node, succeeded, took, load)


def make_fleet_size(fleet: int, by_zone: tuple[int, ...]) -> Event:
    """Return the present numbers of routers."""
    return FleetSizeChanged(fleet, by_zone)


def make_settings_change(settings: dict[str, Any]) -> Event:
    """Return a change of the settings, given as published JSON."""
    return SettingsChanged(read_settings(json.dumps(settings)))


def make_lease_terms(own: float, retries: float) -> Event:
    """Return the parts of its shares that a router spends without a lease."""
    return LeaseTerms(own, retries)


def make_lease(number: int, node: int, work: float, until: float) -> Event:
    """Return a granted lease, or the end of one where no work is left."""
    return LeaseGranted(number, node, work, until)


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
    SendAttempt: lambda act: [
        "send", act.request_id,
        act.node_id,
        act.deadline_ms,
        act.source_id,
        act.cache_rank,
        act.max_age_ms,
        int(act.fetch_mode),
    ],
    CancelAttempt: lambda act: ["cancel", act.request_id, act.attempt_index],
    RejectRequest: lambda act: ["reject", act.request_id, act.retry_after_ms],
    FailRequest: lambda act: ["fail", act.request_id],
    StartTimer: lambda act: ["timer", act.token, act.expires_at_ms],
    WatchEndpointList: lambda act: ["watch"],
    WriteLog: lambda act: ["log", act.text],
    RequestLease: lambda act: [
        "request-lease", act.node_id, act.work_ms, act.fleet_limit_ms, act.growth_ms_per_s,
        act.share, act.zonal
    ],
    ReturnLease: lambda act: ["return-lease", act.lease_id, act.work_ms],
}  # fmt: skip


def describe_action(action: Action) -> list[Any]:
    """Return an action as a list that names no class: its kind, then its values in a fixed order."""
    return DESCRIBERS[type(action)](action)

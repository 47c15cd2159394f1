"""The events and actions of the decision module, built and described without their names.

This is the one place of the recordings of decisions that knows the program's types: a rename changes the
right sides here, and no recorded data.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from stonecove import interface
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


def make_node(
    node: int, kind: int, started: float, state: int, cell: int, zone: int, weight: float
) -> interface.Node:
    """Return one entry of an endpoint list."""
    return interface.Node(node, kind, started, interface.NodeState(state), cell, zone, weight)


def make_list(form: int, endpoints: Iterable[Endpoint]) -> interface.Event:
    """Return an update of the endpoint list."""
    return interface.Listed(interface.ListKind(form), tuple(make_node(*one) for one in endpoints))


def make_request(
    request: int, kind: int, key: int, time_left: float, size: float, group: int, part: int
) -> interface.Event:
    """Return a client's request."""
    return interface.Request(request, kind, key, time_left, size, group, part)


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
) -> interface.Event:
    """Return the end of an attempt."""
    return interface.Ended(
        request, attempt, node, interface.Outcome(outcome), took, final, interface.Note(note), waited, load
    )


def make_response_start(request: int, attempt: int, node: int) -> interface.Event:
    """Return the beginning of a streamed response."""
    return interface.Started(request, attempt, node)


def make_disconnect(request: int) -> interface.Event:
    """Return the disconnection of a client."""
    return interface.Left(request)


def make_timer_end(token: int) -> interface.Event:
    """Return the end of a timer that was asked for."""
    return interface.Due(token)


def make_purge(age: float, group: int, key: int) -> interface.Event:
    """Return a purge of an object, or of a group where the key is 0."""
    return interface.Purged(age, group, key)


def make_probe_end(node: int, succeeded: bool, took: float, load: tuple[float, ...]) -> interface.Event:
    """Return the result of a health check."""
    return interface.Probed(node, succeeded, took, load)


def make_fleet_size(fleet: int, by_zone: tuple[int, ...]) -> interface.Event:
    """Return the present numbers of routers."""
    return interface.Peers(fleet, by_zone)


def make_settings_change(settings: dict[str, Any]) -> interface.Event:
    """Return a change of the settings, given as published JSON."""
    return interface.Reconfigured(read_settings(json.dumps(settings)))


def make_lease_terms(own: float, retries: float) -> interface.Event:
    """Return the parts of its shares that a router spends without a lease."""
    return interface.Terms(own, retries)


def make_lease(number: int, node: int, work: float, until: float) -> interface.Event:
    """Return a granted lease, or the end of one where no work is left."""
    return interface.Piece(number, node, work, until)


EVENT_FACTORIES: dict[str, Callable[..., interface.Event]] = {
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
    interface.Get: lambda act: [
        "send", act.req, act.node, act.cut_at, act.source, act.keep, act.age, int(act.how)
    ],
    interface.Cancel: lambda act: ["cancel", act.req, act.attempt],
    interface.Refuse: lambda act: ["reject", act.req, act.pause],
    interface.Fail: lambda act: ["fail", act.req],
    interface.Timer: lambda act: ["timer", act.token, act.at],
    interface.Watch: lambda act: ["watch"],
    interface.Log: lambda act: ["log", act.text],
    interface.Want: lambda act: [
        "request-lease", act.node, act.work, act.rule, act.rises, act.share, act.zonal
    ],
    interface.Unspent: lambda act: ["return-lease", act.number, act.work],
}  # fmt: skip


def describe_action(action: interface.Action) -> list[Any]:
    """Return an action as a list that names no class: its kind, then its values in a fixed order."""
    return DESCRIBERS[type(action)](action)

"""The nodes of the endpoint list, to which requests can be routed."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

NodeId = int


class NodeState(IntEnum):
    """State of a listed node."""

    DRAINING = 0
    REMOVED = 1
    READY = 2


# Published names, in reports of the control sockets.
_REPORTED_STATES = {NodeState.DRAINING: "draining", NodeState.REMOVED: "gone", NodeState.READY: "ready"}


def reported_state(state: NodeState) -> str:
    """Return the name by which reports call a state."""
    return _REPORTED_STATES[state]


class EndpointListKind(IntEnum):
    """What an update of the endpoint list contains."""

    DELTA = 0
    SNAPSHOT = 1
    CACHED_SNAPSHOT = 2  # the list known at the start, which may be out of date
    FAILED = 3


class Node(NamedTuple):
    """One entry of the endpoint list. `started_ms` is 0 where the start is unknown."""

    node_id: NodeId
    kind: int
    started_ms: float
    state: NodeState
    cell: int
    zone: int
    weight: float

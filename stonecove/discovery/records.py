"""What a cache, parent or origin writes into its ephemeral node: a JSON object, checked by field. No I/O.

    {"id": "s-000000a1", "address": "10.1.0.9:6565", "zone": "edge-1", "kind": "small-box", "cell": 0,
     "weight": 20.0, "started": 1764576000123, "state": "up"}

`id`, `address`, `zone` and `kind` must be there; zone and kind by name or place. `weight` is plain (not in
thousandths), `started` the Unix millisecond at which the process began, 0 or absent if it is not told;
`state` is `up` or `draining`. Unknown fields are passed over.
"""

from __future__ import annotations

import ipaddress
import math
from typing import Any, NamedTuple

import ujson

from stonecove.discovery import Member
from stonecove.routing.endpoints import Node, NodeId, NodeState

MOST_BYTES = 4096
MOST_ID = 0xFFFFFFFF
_STATES = {"up": NodeState.READY, "draining": NodeState.DRAINING}


class RecordError(Exception):
    """A record that can't be used; the text is one line and names the field."""


class Names(NamedTuple):
    """Names of zones and kinds, in the order of their places."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


def node_id(value: Any) -> NodeId:
    """An id, written as `s-` and 8 hex digits or as a whole number; raises RecordError."""
    if isinstance(value, str) and value.startswith("s-"):
        try:
            value = int(value[2:], 16)
        except ValueError:
            raise RecordError(f"id {value[:20]!r} is not s- and hex digits") from None
    if isinstance(value, bool) or not isinstance(value, int) or not 0 < value <= MOST_ID:
        raise RecordError(f"id {str(value)[:20]!r} is none")
    return value


def _address(value: Any) -> tuple[str, int]:
    host, _, port = str(value).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise RecordError(f"address {str(value)[:40]!r} is not like 10.1.0.9:6565") from None
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise RecordError(f"address {str(value)[:40]!r} has no port")
    return host, int(port)


def _place(table: dict[str, Any], field: str, names: tuple[str, ...]) -> int:
    value = table.get(field)
    if isinstance(value, str) and value in names:
        return names.index(value)
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < len(names):
        return value
    raise RecordError(f"{field} {str(value)[:40]!r} is none of {', '.join(names)}")


def _figure(table: dict[str, Any], field: str, most: float) -> float:
    value = table.get(field, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise RecordError(f"{field} is no number")
    if not 0 <= value <= most:
        raise RecordError(f"{field} {value} is not within 0 to {most:g}")
    return float(value)


def load(data: bytes, most: int = MOST_BYTES) -> dict[str, Any]:
    """The JSON object; raises RecordError."""
    if len(data) > most:
        raise RecordError(f"{len(data)} bytes, {most} at most")
    try:
        table = ujson.loads(data)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"no JSON: {str(error)[:60]}") from None
    if not isinstance(table, dict):
        raise RecordError("no JSON object")
    return table


def member_of(data: bytes, names: Names, most: int = MOST_BYTES) -> Member:
    """The member that a record describes; raises RecordError."""
    table = load(data, most)
    if table.get("state", "up") not in _STATES:
        raise RecordError(f"state {str(table['state'])[:20]!r} is neither up nor draining")
    host, port = _address(table.get("address"))
    node = Node(
        node_id(table.get("id")),
        _place(table, "kind", names.kinds),
        _figure(table, "started", 1e14),
        _STATES[table.get("state", "up")],
        int(_figure(table, "cell", 65_535)),
        _place(table, "zone", names.zones),
        _figure(table, "weight", 1e6),
    )
    return Member(node, host, port)


def record_of(member: Member, names: Names) -> bytes:
    """The record that describes a member."""
    node = member.node
    return ujson.dumps(
        {
            "id": f"s-{node.node_id:08x}",
            "address": f"{member.host}:{member.port}",
            "zone": names.zones[node.zone],
            "kind": names.kinds[node.kind],
            "cell": node.cell,
            "weight": node.weight,
            "started": int(node.started_ms),
            "state": "up" if node.state is NodeState.READY else "draining",
        }
    ).encode()

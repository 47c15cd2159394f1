"""Records in the ephemeral nodes of caches, parents and origins: JSON, checked field by field. No I/O.

    {"id": "s-000000a1", "address": "10.1.0.9:6565", "zone": "edge-1", "kind": "small-box", "cell": 0,
     "weight": 20.0, "started": 1764576000123, "state": "up"}

`id`, `address`, `zone` and `kind` are required; zone and kind are given by name or by index. `weight` is a
plain number (not in thousandths), `started` the Unix time in milliseconds at which the process started, 0 or
absent if unknown; `state` is `up` or `draining`. Unknown fields are ignored.
"""

from __future__ import annotations

import ipaddress
import math
from typing import Any, NamedTuple

import ujson

from stonecove.discovery import Member
from stonecove.routing.endpoints import Node, NodeId, NodeState

MAX_RECORD_BYTES = 4096
MAX_NODE_ID = 0xFFFFFFFF
_NODE_STATES = {"up": NodeState.READY, "draining": NodeState.DRAINING}


class RecordError(Exception):
    """A record cannot be used; the text is one line and names the field."""


class TopologyNames(NamedTuple):
    """Names of the zones and kinds, each at its index."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


def parse_node_id(value: Any) -> NodeId:
    """Return the node id written as `s-` and 8 hex digits, or as an integer.

    Raises RecordError.
    """
    if isinstance(value, str) and value.startswith("s-"):
        try:
            value = int(value[2:], 16)
        except ValueError:
            raise RecordError(f"id {value[:20]!r} is not s- and hex digits") from None
    if isinstance(value, bool) or not isinstance(value, int) or not 0 < value <= MAX_NODE_ID:
        raise RecordError(f"id {str(value)[:20]!r} is none")
    return value


def _parse_address(value: Any) -> tuple[str, int]:
    host, _, port = str(value).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise RecordError(f"address {str(value)[:40]!r} is not like 10.1.0.9:6565") from None
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise RecordError(f"address {str(value)[:40]!r} has no port")
    return host, int(port)


def _parse_index(fields: dict[str, Any], field: str, names: tuple[str, ...]) -> int:
    value = fields.get(field)
    if isinstance(value, str) and value in names:
        return names.index(value)
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < len(names):
        return value
    raise RecordError(f"{field} {str(value)[:40]!r} is none of {', '.join(names)}")


def _parse_number(fields: dict[str, Any], field: str, maximum: float) -> float:
    value = fields.get(field, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise RecordError(f"{field} is no number")
    if not 0 <= value <= maximum:
        raise RecordError(f"{field} {value} is not within 0 to {maximum:g}")
    return float(value)


def load_record(data: bytes, max_bytes: int = MAX_RECORD_BYTES) -> dict[str, Any]:
    """Return the JSON object of a record; raises RecordError."""
    if len(data) > max_bytes:
        raise RecordError(f"{len(data)} bytes, {max_bytes} at most")
    try:
        fields = ujson.loads(data)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"no JSON: {str(error)[:60]}") from None
    if not isinstance(fields, dict):
        raise RecordError("no JSON object")
    return fields


def parse_member(data: bytes, names: TopologyNames, max_bytes: int = MAX_RECORD_BYTES) -> Member:
    """Return the member that a record describes; raises RecordError."""
    fields = load_record(data, max_bytes)
    if fields.get("state", "up") not in _NODE_STATES:
        raise RecordError(f"state {str(fields['state'])[:20]!r} is neither up nor draining")
    host, port = _parse_address(fields.get("address"))
    node = Node(
        parse_node_id(fields.get("id")),
        _parse_index(fields, "kind", names.kinds),
        _parse_number(fields, "started", 1e14),
        _NODE_STATES[fields.get("state", "up")],
        int(_parse_number(fields, "cell", 65_535)),
        _parse_index(fields, "zone", names.zones),
        _parse_number(fields, "weight", 1e6),
    )
    return Member(node, host, port)


def encode_member(member: Member, names: TopologyNames) -> bytes:
    """Return the record that describes a member."""
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

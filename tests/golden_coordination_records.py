"""Golden cases of the coordination area: records of caches and routers in the coordination service."""

from __future__ import annotations

from typing import Any

from golden_folder import NOT_JSON_OBJECTS, Format, Meaning, json_with, key_of, reason_without_json_error

from stonecove.discovery import Member, presence
from stonecove.discovery.records import RecordError, TopologyNames, encode_member, parse_member
from stonecove.routing.endpoints import Node, NodeState

TOPOLOGY_NAMES = TopologyNames(("hub", "edge-1"), ("box", "parent", "origin"))
NODE_STATES = {"ready": NodeState.READY, "draining": NodeState.DRAINING}


def describe_member(member: Member) -> Meaning:
    """Return the meaning of a member's record."""
    node = member.node
    return {
        "node": node.node_id,
        "host": member.host,
        "port": member.port,
        "zone_index": node.zone,
        "kind_index": node.kind,
        "cell": node.cell,
        "weight": node.weight,
        "started_ms": node.started_ms,
        "state": key_of(NODE_STATES, node.state),
    }


def build_member(meaning: Meaning) -> Member:
    """Build the member that a meaning describes."""
    node = Node(
        node_id=meaning["node"],
        kind=meaning["kind_index"],
        started_ms=meaning["started_ms"],
        state=NODE_STATES[meaning["state"]],
        cell=meaning["cell"],
        zone=meaning["zone_index"],
        weight=meaning["weight"],
    )
    return Member(node, meaning["host"], meaning["port"])


def _member(**changes: Any) -> Meaning:
    return {
        "node": 0xA1,
        "host": "10.1.0.9",
        "port": 6565,
        "zone_index": 1,
        "kind_index": 0,
        "cell": 3,
        "weight": 20.0,
        "started_ms": 1_764_576_000_123.0,
        "state": "ready",
        **changes,
    }


MEMBER_RECORD = encode_member(build_member(_member()), TOPOLOGY_NAMES)
_INVALID_MEMBER_FIELDS: tuple[tuple[str, Any], ...] = (
    ("id", 0),
    ("id", "s-zz"),
    ("id", True),
    ("id", 1 << 32),
    ("id", "0x1"),
    ("address", "10.0.0.1"),
    ("address", "host:1"),
    ("address", "10.0.0.1:0"),
    ("address", "10.0.0.1:65536"),
    ("zone", "elsewhere"),
    ("zone", 2),
    ("zone", -1),
    ("kind", True),
    ("kind", "x" * 50),
    ("weight", "1"),
    ("weight", -1),
    ("weight", 1e7),
    ("cell", 1e9),
    ("started", -1),
    ("started", 1e15),
    ("state", "gone"),
)

MEMBERS = Format(
    "member-records",
    lambda meaning: encode_member(build_member(meaning), TOPOLOGY_NAMES),
    lambda data: describe_member(parse_member(data, TOPOLOGY_NAMES)),
    samples=(
        ("ready", _member()),
        ("draining", _member(state="draining")),
        ("least", _member(node=1, host="0.0.0.0", port=1, zone_index=0, cell=0, weight=0.0, started_ms=0.0)),
        (
            "greatest",
            _member(
                node=0xFFFFFFFF,
                host="255.255.255.255",
                port=65_535,
                kind_index=2,
                cell=65_535,
                weight=1e6,
                started_ms=1e14,
            ),
        ),
        ("weight of many digits", _member(weight=12.3456)),
    ),  # fmt: skip
    inputs=(
        ("needed fields alone", b'{"id": 7, "address": "10.0.0.7:1", "zone": 0, "kind": 2}'),
        ("unknown fields", json_with(MEMBER_RECORD, rack="r1", more={"a": []})),
    ),
    broken=(
        *NOT_JSON_OBJECTS,
        ("too long", b" " * 4097),
        *(
            (f"without {name}", json_with(MEMBER_RECORD, **{name: None}))
            for name in ("id", "address", "zone", "kind")
        ),
        *(
            (f"{name} {value!r}", json_with(MEMBER_RECORD, **{name: value}))
            for name, value in _INVALID_MEMBER_FIELDS
        ),
    ),  # fmt: skip
    error=RecordError,
    reason=reason_without_json_error,
)


def describe_peer(peer: presence.Peer) -> Meaning:
    """Return the meaning of a router's presence record."""
    return {
        "name": peer.name,
        "zone_index": peer.zone,
        "state": peer.state,
        "listen_address": peer.listen,
        "started_ms": peer.started,
    }


def build_peer(meaning: Meaning) -> presence.Peer:
    """Build the presence record that a meaning describes."""
    return presence.Peer(
        name=meaning["name"],
        zone=meaning["zone_index"],
        state=meaning["state"],
        listen=meaning["listen_address"],
        started=meaning["started_ms"],
    )


def _peer(**changes: Any) -> Meaning:
    return {
        "name": "edge-1-r7",
        "zone_index": 1,
        "state": "ready",
        "listen_address": "10.0.0.4:6565",
        "started_ms": 1_764_576_000_123.0,
        **changes,
    }


PEER_RECORD = presence.encode_peer(build_peer(_peer()), TOPOLOGY_NAMES)

PRESENCE = Format(
    "presence-records",
    lambda meaning: presence.encode_peer(build_peer(meaning), TOPOLOGY_NAMES),
    lambda data: describe_peer(presence.parse_peer(data, TOPOLOGY_NAMES)),
    samples=tuple((state, _peer(state=state)) for state in ("starting", "ready", "draining")),
    inputs=(
        ("needed fields alone", b'{"zone": "hub", "state": "ready"}'),
        ("long texts are cut, unknown fields", json_with(PEER_RECORD, name="n" * 150, listen="l" * 150, x=1)),
    ),
    broken=(
        *NOT_JSON_OBJECTS,
        ("too long", b" " * 4097),
        ("without zone", json_with(PEER_RECORD, zone=None)),
        ("zone by place", json_with(PEER_RECORD, zone=1)),
        ("unknown zone", json_with(PEER_RECORD, zone="elsewhere")),
        ("without state", json_with(PEER_RECORD, state=None)),
        ("unknown state", json_with(PEER_RECORD, state="up")),
        ("started is a text", json_with(PEER_RECORD, started="now")),
        ("started is true", json_with(PEER_RECORD, started=True)),
    ),
    error=RecordError,
    reason=reason_without_json_error,
)

FORMATS = (MEMBERS, PRESENCE)

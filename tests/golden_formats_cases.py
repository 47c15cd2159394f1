"""Helpers of the golden tests of published formats: read, compare and record their files."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

from stonecove.discovery import Member, MembershipEvent, PurgeUpdate
from stonecove.routing.endpoints import Node, NodeState

ROOT = Path(__file__).parent.parent
FOLDER = ROOT / "tests" / "golden" / "formats"
NODE_STATES = {NodeState.READY: "ready", NodeState.DRAINING: "draining", NodeState.REMOVED: "removed"}

Cases = Mapping[str, Callable[[], bytes]]


def input_bytes(name: str) -> bytes:
    """Return an input file as it is."""
    return (FOLDER / name).read_bytes()


def input_json(name: str) -> Any:
    """Return an input file as decoded JSON."""
    return json.loads(input_bytes(name))


def input_hex(name: str) -> dict[str, bytes]:
    """Return the named byte strings of a hex file.

    A line `== NAME` begins a string; `#` begins a comment; `61*5` stands for 61 five times.
    """
    strings: dict[str, bytearray] = {}
    current = bytearray()
    for line in input_bytes(name).decode().splitlines():
        text = line.partition("#")[0].strip()
        if text.startswith("== "):
            current = strings[text[3:]] = bytearray()
        else:
            for token in text.split():
                digits, _, count = token.partition("*")
                current += bytes.fromhex(digits) * int(count or 1)
    return {case: bytes(data) for case, data in strings.items()}


def input_sections(name: str, marker: str = "//== ") -> dict[str, str]:
    """Return the named texts of a file in which a line of the marker and a name begins each of them."""
    parts = ("\n" + input_bytes(name).decode()).split("\n" + marker)[1:]
    sections = {}
    for part in parts:
        case, _, text = part.partition("\n")
        sections[case.strip()] = text
    return sections


def normalize_numbers(meaning: object) -> object:
    """Return a meaning with each integral float as an integer, since 5 and 5.0 mean the same."""
    if isinstance(meaning, float) and meaning.is_integer():
        return int(meaning)
    if isinstance(meaning, Mapping):
        return {key: normalize_numbers(value) for key, value in meaning.items()}
    if isinstance(meaning, (list, tuple)):
        return [normalize_numbers(value) for value in meaning]
    return meaning


def as_json(meaning: object) -> bytes:
    """Return a meaning as the bytes of a golden file."""
    return (json.dumps(normalize_numbers(meaning), indent=1, sort_keys=True) + "\n").encode()


def latin1_text(data: bytes) -> str:
    """Return bytes as text of one character per byte, which is legible in JSON."""
    return data.decode("latin-1")


def check_golden_file(cases: Cases, name: str) -> None:
    """Check that the program produces the golden file of that name."""
    assert cases[name]().decode() == (FOLDER / name).read_text()


def record_golden_files(cases: Cases) -> None:
    """Write all golden files if the command line requests it."""
    if sys.argv[1:] != ["--record"]:
        sys.exit("usage: --record")
    for name, make_output in cases.items():
        (FOLDER / name).write_bytes(make_output())


def compare_fields(full: object, default: object, path: str = "") -> Iterator[tuple[str, bool]]:
    """Yield each field of two meanings with whether they differ there."""
    if isinstance(full, dict) and isinstance(default, dict):
        assert full.keys() == default.keys(), path
        for key in full:
            yield from compare_fields(full[key], default[key], f"{path}.{key}")
    elif isinstance(full, list) and isinstance(default, list) and default and isinstance(full[0], dict):
        yield from compare_fields(full[0], default[0], f"{path}[0]")
    else:
        yield path, full != default


def describe_node(node: Node) -> dict[str, object]:
    """Return a node of the endpoint list under neutral keys."""
    return {
        "id": node.node_id,
        "kind": node.kind,
        "started_unix_ms": node.started_ms,
        "state": NODE_STATES[node.state],
        "cell": node.cell,
        "zone": node.zone,
        "weight": node.weight,
    }


def describe_member(member: Member) -> dict[str, object]:
    """Return an endpoint, its node and its address, under neutral keys."""
    return {"node": describe_node(member.node), "host": member.host, "port": member.port}


def describe_update(event: MembershipEvent) -> dict[str, object]:
    """Return an endpoint list update or a purge under neutral keys."""
    if isinstance(event, PurgeUpdate):
        return {"update": "purge", "unix_ms": event.purged_at_ms, "group": event.group, "object": event.key}
    endpoints = [describe_member(member) for member in event.members]
    return {"update": "endpoints", "complete": event.is_snapshot, "endpoints": endpoints}

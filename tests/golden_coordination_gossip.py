"""Golden cases of the coordination area: gossip datagrams."""

from __future__ import annotations

import struct
import zlib
from typing import Any

from golden_folder import Format, Meaning, NamedMeaning, key_of

from stonecove.gossip.claims import Claim, Datagram, Kind, MemberState
from stonecove.protocols.gossip import GossipError, decode, encode

DATAGRAM_KINDS = {
    "ping": Kind.PING,
    "ack": Kind.ACK,
    "indirect_ping_request": Kind.ASK,
    "indirect_ping_ack": Kind.VIA,
    "indirect_ping_nack": Kind.MISS,
    "update": Kind.NEWS,
    "sync": Kind.SYNC,
    "stale": Kind.STALE,
}
MEMBER_STATES = {
    "alive": MemberState.ALIVE,
    "leaving": MemberState.LEAVING,
    "suspect": MemberState.SUSPECT,
    "failed": MemberState.FAILED,
    "left": MemberState.LEFT,
    "gone": MemberState.GONE,
}
GOSSIP_REASONS = {
    "bytes": "length",
    "another format or version": "format or version",
    "garbled": "checksum",
    "standing": "unknown member state",
    "kind": "unknown kind",
    "counts that do not fit its length": "counts",
}


def describe_update(claim: Claim) -> Meaning:
    """Return the meaning of a claim."""
    return {
        "member": claim.ident,
        "generation": claim.generation,
        "incarnation": claim.incarnation,
        "state": key_of(MEMBER_STATES, claim.state),
        "zone": claim.zone,
    }


def build_update(meaning: Meaning) -> Claim:
    """Build the claim that a member update describes."""
    return Claim(
        meaning["member"],
        meaning["generation"],
        meaning["incarnation"],
        MEMBER_STATES[meaning["state"]],
        meaning["zone"],
    )


def describe_datagram(datagram: Datagram) -> Meaning:
    """Return the meaning of a datagram."""
    return {
        "kind": key_of(DATAGRAM_KINDS, datagram.kind),
        "number": datagram.number,
        "sender": describe_update(datagram.sender),
        "in_reply_to": datagram.in_reply_to,
        "target_member": datagram.target,
        "newest_generation": datagram.generation,
        "view": datagram.view,
        "view_digest": datagram.view_digest,
        "table_digest": datagram.table_digest,
        "paused_s": datagram.paused_s,
        "joined": datagram.joined,
        "updates": [describe_update(claim) for claim in datagram.claims],
        "bucket_digests": list(datagram.buckets),
    }


def build_datagram(meaning: Meaning) -> Datagram:
    """Build the datagram that a meaning describes."""
    return Datagram(
        kind=DATAGRAM_KINDS[meaning["kind"]],
        number=meaning["number"],
        sender=build_update(meaning["sender"]),
        in_reply_to=meaning["in_reply_to"],
        target=meaning["target_member"],
        generation=meaning["newest_generation"],
        view=meaning["view"],
        view_digest=meaning["view_digest"],
        table_digest=meaning["table_digest"],
        paused_s=meaning["paused_s"],
        joined=meaning["joined"],
        claims=tuple(map(build_update, meaning["updates"])),
        buckets=tuple(meaning["bucket_digests"]),
    )


def _update(member: int, state: str = "alive", **changes: Any) -> Meaning:
    return {
        "member": member,
        "generation": 1_764_576_000_123,
        "incarnation": 0,
        "state": state,
        "zone": 1,
        **changes,
    }


def _datagram(kind: str, **changes: Any) -> Meaning:
    return {
        "kind": kind,
        "number": 0x01020304,
        "sender": _update(0x1122334455667788),
        "in_reply_to": 0,
        "target_member": 0,
        "newest_generation": 0,
        "view": 7,
        "view_digest": 0xAABBCCDD,
        "table_digest": 0x0BADCAFE,
        "paused_s": 0.0,
        "joined": False,
        "updates": [],
        "bucket_digests": [],
        **changes,
    }


def _datagram_samples() -> tuple[NamedMeaning, ...]:
    every_state = [
        _update(number + 1, state, incarnation=number, zone=number)
        for number, state in enumerate(MEMBER_STATES)
    ]
    extremes = _update((1 << 64) - 1, "left", generation=(1 << 48) - 1, incarnation=65_535, zone=255)
    return (
        *((f"{kind}, nothing more", _datagram(kind)) for kind in DATAGRAM_KINDS),
        ("ping of a joined member", _datagram("ping", joined=True, paused_s=5.3)),
        ("ack", _datagram("ack", in_reply_to=0x0A0B0C0D, joined=True)),
        ("request to ping for us", _datagram("indirect_ping_request", in_reply_to=9, target_member=0xABCDEF)),
        ("it answered", _datagram("indirect_ping_ack", in_reply_to=9, target_member=0xABCDEF)),
        ("it did not answer", _datagram("indirect_ping_nack", in_reply_to=9, target_member=0xABCDEF)),
        ("updates of every state", _datagram("update", updates=every_state)),
        ("sync of 16 buckets", _datagram("sync", bucket_digests=[n * 0x01010101 for n in range(16)])),
        ("stale", _datagram("stale", in_reply_to=77, newest_generation=1_764_576_999_999)),
        ("sender leaves", _datagram("update", sender=_update(5, "leaving", incarnation=3))),
        ("as many updates as fit", _datagram("update", updates=[_update(n + 1) for n in range(10)])),
        (
            "greatest numbers",
            _datagram(
                "ping",
                number=0xFFFFFFFF,
                sender=extremes,
                in_reply_to=0xFFFFFFFF,
                target_member=(1 << 64) - 1,
                newest_generation=(1 << 48) - 1,
                view=0xFFFFFFFF,
                view_digest=0xFFFFFFFF,
                table_digest=0xFFFFFFFF,
                paused_s=6553.5,
                updates=[extremes],
                bucket_digests=[0xFFFFFFFF],
            ),
        ),
    )


def _with_checksum(data: bytes) -> bytes:
    """Return a datagram with its checksum recomputed."""
    return data[:-4] + struct.pack(">I", zlib.crc32(data[:-4]))


def _broken_datagrams() -> tuple[tuple[str, bytes], ...]:
    valid = encode(build_datagram(_datagram("update", updates=[_update(1), _update(2)])))

    def with_byte_changed(index: int, value: int) -> bytes:
        return _with_checksum(valid[:index] + bytes([value]) + valid[index + 1 :])

    return (
        ("empty", b""),
        ("shorter than any datagram", valid[:63]),
        ("longer than any datagram", _with_checksum(valid + bytes(257 - len(valid)))),
        ("another format", with_byte_changed(0, ord("x"))),
        ("another version", with_byte_changed(2, 2)),
        ("one bit changed", valid[:20] + bytes([valid[20] ^ 1]) + valid[21:]),
        ("checksum changed", valid[:-1] + bytes([valid[-1] ^ 0x80])),
        ("cut off within its updates", valid[:-10]),
        ("kind 0", with_byte_changed(3, 0)),
        ("kind 9", with_byte_changed(3, 9)),
        ("sender's state 6", with_byte_changed(24, 6)),
        ("an update's state 6", with_byte_changed(60 + 16, 6)),
        ("one update more than there is", with_byte_changed(58, 3)),
        ("one bucket more than there is", with_byte_changed(59, 1)),
    )


def _gossip_reason(error: Exception) -> str:
    message = str(error)
    reasons = [reason for text, reason in GOSSIP_REASONS.items() if text in message]
    return reasons[0] if len(reasons) == 1 else f"unexpected: {message}"


DATAGRAMS = Format(
    "swarm-datagrams",
    lambda meaning: encode(build_datagram(meaning)),
    lambda data: describe_datagram(decode(data)),
    samples=_datagram_samples(),
    broken=_broken_datagrams(),
    unwritable=(
        ("one update too many", _datagram("update", updates=[_update(n + 1) for n in range(11)])),
        ("too many buckets", _datagram("sync", bucket_digests=[0] * 49)),
    ),
    error=GossipError,
    reason=_gossip_reason,
)

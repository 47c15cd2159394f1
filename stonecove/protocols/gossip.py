"""Codec of the gossip datagrams between routers, without I/O: at most 256 bytes, all numbers big-endian.

    0  "sw"  2 version  3 kind  4 number:4                 the first eight bytes, which a rejection echoes
    8  sender: id:8 generation:6 incarnation:2 state:1 zone:1
   26  answers:4 about:8 paused:2 (tenths of a second) generation:6 view:4 view digest:4 table digest:4
   58  claims:1 (the highest bit: the sender has joined) buckets:1
   60  claims, 18 bytes each in the sender's format; buckets, 4 bytes each
    n  CRC-32 of everything before:4

docs/swarm.md explains the fields.
"""

from __future__ import annotations

import struct
import zlib

from stonecove.gossip.claims import MAX_GENERATION, Claim, Datagram, Kind, MemberState

MAX_DATAGRAM_BYTES = 256
VERSION = 1
_HEAD = struct.Struct(">2sBBI")
_CLAIM = struct.Struct(">QQBB")  # generation and incarnation are one number: 48 and 16 bits
_FIXED_PART = struct.Struct(">IQQIIIBB")  # the generation has 48 bits; the upper 16 are the sender's pause
_NUMBER = struct.Struct(">I")
_MAGIC = b"sw"
FIXED_BYTES = _HEAD.size + _CLAIM.size + _FIXED_PART.size + _NUMBER.size
MAX_PAUSE_S = 6_553.5
_JOINED = 0x80


class GossipError(ValueError):
    """A malformed datagram; the text is the reason."""


def _pack_claim(claim: Claim) -> bytes:
    return _CLAIM.pack(claim.ident, claim.generation << 16 | claim.incarnation, claim.state, claim.zone)


def _unpack_claim(data: bytes, at: int) -> Claim:
    ident, combined, state, zone = _CLAIM.unpack_from(data, at)
    try:
        return Claim(ident, combined >> 16, combined & 0xFFFF, MemberState(state), zone)
    except ValueError:
        raise GossipError(f"standing {state}") from None


def encode(datagram: Datagram) -> bytes:
    """Return a datagram as bytes; raise GossipError if it is too long."""
    paused = round(min(MAX_PAUSE_S, max(0.0, datagram.paused_s)) * 10)
    parts = [
        _HEAD.pack(_MAGIC, VERSION, datagram.kind, datagram.number),
        _pack_claim(datagram.sender),
        _FIXED_PART.pack(
            datagram.in_reply_to, datagram.target,
            paused << 48 | min(datagram.generation, MAX_GENERATION), datagram.view,
            datagram.view_digest, datagram.table_digest,
            len(datagram.claims) | _JOINED * datagram.joined, len(datagram.buckets),
        ),
        *map(_pack_claim, datagram.claims),
        *map(_NUMBER.pack, datagram.buckets),
    ]  # fmt: skip
    data = b"".join(parts)
    if len(data) + _NUMBER.size > MAX_DATAGRAM_BYTES:
        raise GossipError(f"{len(data)} bytes")
    return data + _NUMBER.pack(zlib.crc32(data))


def decode(data: bytes) -> Datagram:
    """Return the datagram in the bytes; raise GossipError unless it is complete and of this version."""
    if not FIXED_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise GossipError(f"{len(data)} bytes")
    magic, version, kind, number = _HEAD.unpack_from(data)
    if magic != _MAGIC or version != VERSION:
        raise GossipError("another format or version")
    if _NUMBER.unpack_from(data, len(data) - _NUMBER.size)[0] != zlib.crc32(data[: -_NUMBER.size]):
        raise GossipError("garbled")
    sender = _unpack_claim(data, _HEAD.size)
    at = _HEAD.size + _CLAIM.size
    answers, about, generation, view, view_digest, table_digest, claims, buckets = _FIXED_PART.unpack_from(
        data, at
    )
    at += _FIXED_PART.size
    joined, claims = bool(claims & _JOINED), claims & ~_JOINED
    if len(data) != FIXED_BYTES + claims * _CLAIM.size + buckets * _NUMBER.size:
        raise GossipError("counts that do not fit its length")
    received = tuple(_unpack_claim(data, at + index * _CLAIM.size) for index in range(claims))
    at += claims * _CLAIM.size
    digests = tuple(_NUMBER.unpack_from(data, at + index * _NUMBER.size)[0] for index in range(buckets))
    try:
        parsed = Kind(kind)
    except ValueError:
        raise GossipError(f"kind {kind}") from None
    return Datagram(parsed, number, sender, answers, about, generation & MAX_GENERATION, view, view_digest,
                    table_digest, (generation >> 48) / 10, joined, received, digests)  # fmt: skip


def parse_number(data: bytes) -> int | None:
    """Return the number of the datagram whose first bytes a rejection echoes; None if it is malformed."""
    if len(data) < _HEAD.size:
        return None
    magic, version, _, number = _HEAD.unpack_from(data)
    return int(number) if magic == _MAGIC and version == VERSION else None

"""Datagrams from router to router: at most 256 bytes, one version, all numbers big-endian. Knows no I/O.

    0  "sw"  2 version  3 kind  4 number:4                the first eight bytes, which a refusal gives back
    8  sender: id:8 life:6 incarnation:2 standing:1 zone:1
   26  answers:4 about:8 paused:2 (tenths of a second) life:6 view:4 view digest:4 table digest:4
   58  words:1 (the highest bit: the sender is joined) buckets:1
   60  words, 18 bytes each as the sender is written; buckets, 4 bytes each
    n  CRC-32 of all before:4

docs/swarm.md tells what each is for.
"""

from __future__ import annotations

import struct
import zlib

from stonecove.gossip.claims import MAX_GENERATION, Claim, Datagram, Kind, MemberState

MOST_BYTES = 256
VERSION = 1
_HEAD = struct.Struct(">2sBBI")
_WORD = struct.Struct(">QQBB")  # life and incarnation are one number: 48 and 16 bits
_REST = struct.Struct(">IQQIIIBB")  # life is 48 bits; the upper 16 are how long the sender was stopped
_NUMBER = struct.Struct(">I")
_MAGIC = b"sw"
FIXED = _HEAD.size + _WORD.size + _REST.size + _NUMBER.size
MOST_PAUSE = 6_553.5
_JOINED = 0x80


class GossipError(ValueError):
    """A datagram that can't be read; the text says why."""


def _word(claim: Claim) -> bytes:
    return _WORD.pack(claim.ident, claim.generation << 16 | claim.incarnation, claim.state, claim.zone)


def _word_at(data: bytes, at: int) -> Claim:
    ident, both, state, zone = _WORD.unpack_from(data, at)
    try:
        return Claim(ident, both >> 16, both & 0xFFFF, MemberState(state), zone)
    except ValueError:
        raise GossipError(f"standing {state}") from None


def encode(datagram: Datagram) -> bytes:
    """The bytes; raises GossipError for one that is too long."""
    paused = round(min(MOST_PAUSE, max(0.0, datagram.paused_s)) * 10)
    parts = [
        _HEAD.pack(_MAGIC, VERSION, datagram.kind, datagram.number),
        _word(datagram.sender),
        _REST.pack(
            datagram.in_reply_to, datagram.target,
            paused << 48 | min(datagram.generation, MAX_GENERATION), datagram.view,
            datagram.view_digest, datagram.table_digest,
            len(datagram.claims) | _JOINED * datagram.joined, len(datagram.buckets),
        ),
        *map(_word, datagram.claims),
        *map(_NUMBER.pack, datagram.buckets),
    ]  # fmt: skip
    data = b"".join(parts)
    if len(data) + _NUMBER.size > MOST_BYTES:
        raise GossipError(f"{len(data)} bytes")
    return data + _NUMBER.pack(zlib.crc32(data))


def decode(data: bytes) -> Datagram:
    """Raises GossipError for whatever is not a whole datagram of this version."""
    if not FIXED <= len(data) <= MOST_BYTES:
        raise GossipError(f"{len(data)} bytes")
    magic, version, kind, number = _HEAD.unpack_from(data)
    if magic != _MAGIC or version != VERSION:
        raise GossipError("another format or version")
    if _NUMBER.unpack_from(data, len(data) - _NUMBER.size)[0] != zlib.crc32(data[: -_NUMBER.size]):
        raise GossipError("garbled")
    sender = _word_at(data, _HEAD.size)
    at = _HEAD.size + _WORD.size
    answers, about, generation, view, view_digest, table_digest, claims, buckets = _REST.unpack_from(data, at)
    at += _REST.size
    joined, claims = bool(claims & _JOINED), claims & ~_JOINED
    if len(data) != FIXED + claims * _WORD.size + buckets * _NUMBER.size:
        raise GossipError("counts that do not fit its length")
    told = tuple(_word_at(data, at + place * _WORD.size) for place in range(claims))
    at += claims * _WORD.size
    digests = tuple(_NUMBER.unpack_from(data, at + place * _NUMBER.size)[0] for place in range(buckets))
    try:
        named = Kind(kind)
    except ValueError:
        raise GossipError(f"kind {kind}") from None
    return Datagram(named, number, sender, answers, about, generation & MAX_GENERATION, view, view_digest,
                    table_digest, (generation >> 48) / 10, joined, told, digests)  # fmt: skip


def number_of(data: bytes) -> int | None:
    """The number of a datagram of ours of which a refusal gave back the beginning."""
    if len(data) < _HEAD.size:
        return None
    magic, version, _, number = _HEAD.unpack_from(data)
    return int(number) if magic == _MAGIC and version == VERSION else None

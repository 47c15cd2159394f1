"""RESP codec without I/O: arrays of bulk strings, and the field lists that they carry."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence

from stonecove.protocols.buffer import Buffer

MAX_ARRAY_ITEMS = 16
MAX_BULK_BYTES = 1 << 18
MAX_LENGTH_LINE_BYTES = 32

_FIELD = rb"[a-z0-9_]+=[!-+\--~]*"  # printable ASCII without spaces and commas
_FIELDS = re.compile(_FIELD + b"(," + _FIELD + b")*")


class RespError(Exception):
    """Bytes that are not an array of bulk strings, or text that is not a field list."""


def encode(*items: bytes) -> bytes:
    """Return one array of bulk strings as bytes."""
    parts = [b"*%d\r\n" % len(items)]
    for item in items:
        parts.append(b"$%d\r\n%b\r\n" % (len(item), item))
    return b"".join(parts)


class Decoder:
    """Incremental decoder of arrays; it does not depend on how the bytes were split."""

    def __init__(self) -> None:
        self._items: list[bytes] = []
        self._remaining = 0
        self._bulk_length = -1

    def bytes_missing(self, buffered: int) -> int:
        """Return how many bytes the current item lacks, so that a long one is read in few calls."""
        return max(0, self._bulk_length + 2 - buffered) if self._bulk_length >= 0 else 0

    def has_partial_array(self) -> bool:
        """Return whether an array has started and is incomplete."""
        return self._remaining > 0

    @staticmethod
    def _number(buffer: Buffer, prefix: bytes, minimum: int, maximum: int) -> int | None:
        """Return the number of a line like `*4` or `$16`; None if the line is incomplete."""
        end = buffer.find(b"\r\n", MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(buffer) >= MAX_LENGTH_LINE_BYTES:
                raise RespError("a length line does not end")
            return None
        line = buffer.take(end + 2)[:-2]
        if line[:1] != prefix or not line[1:].isdigit() or not minimum <= int(line[1:]) <= maximum:
            raise RespError(f"a length line reads {line!r}")
        return int(line[1:])

    def arrays(self, buffer: Buffer) -> Iterator[list[bytes]]:
        """Consume and yield all complete arrays; raise RespError at malformed bytes."""
        while True:
            if not self._remaining:
                count = self._number(buffer, b"*", 1, MAX_ARRAY_ITEMS)
                if count is None:
                    return
                self._remaining, self._items = count, []
            elif self._bulk_length < 0:
                size = self._number(buffer, b"$", 0, MAX_BULK_BYTES)
                if size is None:
                    return
                self._bulk_length = size
            else:
                if len(buffer) < self._bulk_length + 2:
                    return
                self._items.append(buffer.take(self._bulk_length))
                if buffer.take(2) != b"\r\n":
                    raise RespError("a bulk string is longer than its length")
                self._remaining, self._bulk_length = self._remaining - 1, -1
                if not self._remaining:
                    yield self._items


def format_fields(fields: Sequence[tuple[str, str]]) -> bytes:
    """Return the text of a field list, `name=value,...`; `-` for an empty one."""
    return ",".join(f"{name}={value}" for name, value in fields).encode() or b"-"


def parse_fields(text: bytes) -> dict[str, str]:
    """Return a field list as a dictionary; raise RespError if the text is malformed."""
    if text == b"-":
        return {}
    if not _FIELDS.fullmatch(text):
        raise RespError(f"fields read {text[:40]!r}")
    return dict(pair.split("=", 1) for pair in text.decode("ascii").split(","))

"""RESP: arrays of bulk strings; a codec that knows no I/O."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence

from stonecove.protocols.buffer import Buffer

MOST_ITEMS = 16
MOST_BULK = 1 << 18
MOST_LINE = 32


_FIELD = rb"[a-z0-9_]+=[!-+\--~]*"  # what can be printed, without blanks and commas
_FIELDS = re.compile(_FIELD + b"(," + _FIELD + b")*")


class RespError(Exception):
    """Bytes that are no array of bulk strings."""


def encode(*items: bytes) -> bytes:
    """One array of bulk strings."""
    parts = [b"*%d\r\n" % len(items)]
    for item in items:
        parts.append(b"$%d\r\n%b\r\n" % (len(item), item))
    return b"".join(parts)


class Decoder:
    """Arrays out of a buffer, however the bytes were split."""

    def __init__(self) -> None:
        self._items: list[bytes] = []
        self._left = 0
        self._bulk = -1

    def wanted(self, held: int) -> int:
        """How many more bytes the item under way needs, so that a long one is read in few steps."""
        return max(0, self._bulk + 2 - held) if self._bulk >= 0 else 0

    def midway(self) -> bool:
        """Whether an array has begun and is not whole."""
        return self._left > 0

    @staticmethod
    def _number(buffer: Buffer, sign: bytes, least: int, most: int) -> int | None:
        """The number of a line like `*4` or `$16`; None if the line is not whole yet."""
        end = buffer.find(b"\r\n", MOST_LINE)
        if end < 0:
            if len(buffer) >= MOST_LINE:
                raise RespError("a length line does not end")
            return None
        line = buffer.take(end + 2)[:-2]
        if line[:1] != sign or not line[1:].isdigit() or not least <= int(line[1:]) <= most:
            raise RespError(f"a length line reads {line!r}")
        return int(line[1:])

    def arrays(self, buffer: Buffer) -> Iterator[list[bytes]]:
        """All arrays that are whole."""
        while True:
            if not self._left:
                count = self._number(buffer, b"*", 1, MOST_ITEMS)
                if count is None:
                    return
                self._left, self._items = count, []
            elif self._bulk < 0:
                size = self._number(buffer, b"$", 0, MOST_BULK)
                if size is None:
                    return
                self._bulk = size
            else:
                if len(buffer) < self._bulk + 2:
                    return
                self._items.append(buffer.take(self._bulk))
                if buffer.take(2) != b"\r\n":
                    raise RespError("a bulk string is longer than its length")
                self._left, self._bulk = self._left - 1, -1
                if not self._left:
                    yield self._items


def words(fields: Sequence[tuple[str, str]]) -> bytes:
    """The text of a field list; `-` for none."""
    return ",".join(f"{name}={value}" for name, value in fields).encode() or b"-"


def fields_of(text: bytes) -> dict[str, str]:
    """A field list as a table; raises RespError if it is none."""
    if text == b"-":
        return {}
    if not _FIELDS.fullmatch(text):
        raise RespError(f"fields read {text[:40]!r}")
    return dict(pair.split("=", 1) for pair in text.decode("ascii").split(","))

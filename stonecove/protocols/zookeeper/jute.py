"""Jute, the record format of ZooKeeper: big-endian integers, counted buffers and vectors, without I/O.

Source: Apache ZooKeeper, `zookeeper.jute` and the description of the binary archive: an int has 4 bytes, a
long 8, a boolean 1; a buffer or UTF-8 string is its length as an int (-1: absent) and its bytes; a vector is
its count as an int (-1: absent) and its members.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

_INT = struct.Struct(">i")
_LONG = struct.Struct(">q")
_T = TypeVar("_T")


class JuteError(Exception):
    """The bytes are not a record of the expected type; the message is one line."""


def int_(value: int) -> bytes:
    """Encode an int, from -2**31 to 2**31 - 1."""
    return _INT.pack(value)


def long(value: int) -> bytes:
    """Encode a long, from -2**63 to 2**63 - 1."""
    return _LONG.pack(value)


def boolean(value: bool) -> bytes:
    """Encode a boolean."""
    return b"\1" if value else b"\0"


def buffer(data: bytes | None) -> bytes:
    """Encode a buffer; None is an absent one."""
    return _INT.pack(-1) if data is None else _INT.pack(len(data)) + data


def string(text: str | None) -> bytes:
    """Encode a string as UTF-8; None is an absent one."""
    return buffer(None if text is None else text.encode())


def vector(items: Iterable[bytes]) -> bytes:
    """Encode a vector of members that are already encoded."""
    members = list(items)
    return _INT.pack(len(members)) + b"".join(members)


def strings(texts: Iterable[str]) -> bytes:
    """Encode a vector of strings."""
    return vector(map(string, texts))


class Reader:
    """Reads consecutive records from a frame; raises JuteError if it is truncated or malformed."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    @property
    def remaining(self) -> int:
        """Number of bytes that have not been read."""
        return len(self._data) - self._offset

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the values of a struct; raise JuteError if the frame is too short."""
        if layout.size > self.remaining:
            raise JuteError(f"expected {layout.size} bytes, {self.remaining} remain")
        values = layout.unpack_from(self._data, self._offset)
        self._offset += layout.size
        return values

    def int_(self) -> int:
        """Read an int."""
        value: int = self.take(_INT)[0]
        return value

    def long(self) -> int:
        """Read a long."""
        value: int = self.take(_LONG)[0]
        return value

    def boolean(self) -> bool:
        """Read a boolean; any byte other than 0 is true."""
        if not self.remaining:
            raise JuteError("expected a boolean, no bytes remain")
        self._offset += 1
        return self._data[self._offset - 1] != 0

    def buffer(self) -> bytes | None:
        """Read a buffer; return None if it is absent."""
        count = self.int_()
        if count == -1:
            return None
        if not 0 <= count <= self.remaining:
            raise JuteError(f"buffer of {count} bytes, {self.remaining} remain")
        self._offset += count
        return self._data[self._offset - count : self._offset]

    def string(self) -> str:
        """Read a string; an absent one is returned as empty."""
        data = self.buffer()
        try:
            return (data or b"").decode()
        except UnicodeDecodeError as error:
            raise JuteError(f"string is not valid UTF-8: {error.reason}") from error

    def vector(self, member: Callable[[], _T]) -> list[_T]:
        """Read a vector; an absent one is returned as empty."""
        count = self.int_()
        if count == -1:
            return []
        # Each member has at least one byte: a larger count is corrupt and could allocate billions of members.
        if not 0 <= count <= self.remaining:
            raise JuteError(f"vector of {count} members, {self.remaining} bytes remain")
        return [member() for _ in range(count)]

    def strings(self) -> list[str]:
        """Read a vector of strings."""
        return self.vector(self.string)

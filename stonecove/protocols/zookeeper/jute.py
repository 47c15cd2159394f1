"""Jute, the record format of ZooKeeper: big-endian whole numbers, counted buffers and vectors. Knows no I/O.

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
    """Bytes that are no record of the kind that was to be read; the text is one line."""


def int_(value: int) -> bytes:
    """An int, from -2**31 to 2**31 - 1."""
    return _INT.pack(value)


def long(value: int) -> bytes:
    """A long, from -2**63 to 2**63 - 1."""
    return _LONG.pack(value)


def boolean(value: bool) -> bytes:
    """A boolean."""
    return b"\1" if value else b"\0"


def buffer(data: bytes | None) -> bytes:
    """A buffer, or its absence."""
    return _INT.pack(-1) if data is None else _INT.pack(len(data)) + data


def string(text: str | None) -> bytes:
    """A string, or its absence."""
    return buffer(None if text is None else text.encode())


def vector(items: Iterable[bytes]) -> bytes:
    """A vector of members that are encoded already."""
    members = list(items)
    return _INT.pack(len(members)) + b"".join(members)


def strings(texts: Iterable[str]) -> bytes:
    """A vector of strings."""
    return vector(map(string, texts))


class Reader:
    """Reads one record after the other from a frame; raises JuteError where the frame is too short or odd."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    @property
    def left(self) -> int:
        """Bytes that have not been read."""
        return len(self._data) - self._at

    def take(self, form: struct.Struct) -> tuple[Any, ...]:
        """The next bytes in that form."""
        if form.size > self.left:
            raise JuteError(f"{form.size} bytes wanted, {self.left} left")
        found = form.unpack_from(self._data, self._at)
        self._at += form.size
        return found

    def int_(self) -> int:
        """An int."""
        found: int = self.take(_INT)[0]
        return found

    def long(self) -> int:
        """A long."""
        found: int = self.take(_LONG)[0]
        return found

    def boolean(self) -> bool:
        """A boolean; any byte but 0 is true."""
        if not self.left:
            raise JuteError("a boolean wanted, nothing left")
        self._at += 1
        return self._data[self._at - 1] != 0

    def buffer(self) -> bytes | None:
        """A buffer; None if it is absent."""
        count = self.int_()
        if count == -1:
            return None
        if not 0 <= count <= self.left:
            raise JuteError(f"a buffer of {count} bytes, {self.left} left")
        self._at += count
        return self._data[self._at - count : self._at]

    def string(self) -> str:
        """A string; an absent one is read as empty."""
        data = self.buffer()
        try:
            return (data or b"").decode()
        except UnicodeDecodeError as error:
            raise JuteError(f"a string that is not UTF-8: {error.reason}") from error

    def vector(self, member: Callable[[], _T]) -> list[_T]:
        """A vector; an absent one is read as empty."""
        count = self.int_()
        if count == -1:
            return []
        # Guards against a count that would have us make a list of thousands of millions: each member has a
        # byte.
        if not 0 <= count <= self.left:
            raise JuteError(f"a vector of {count}, {self.left} bytes left")
        return [member() for _ in range(count)]

    def strings(self) -> list[str]:
        """A vector of strings."""
        return self.vector(self.string)

"""The input buffer of a connection: it grows as needed and is compacted in place."""

from __future__ import annotations

import struct
from typing import Any

INITIAL_BYTES = 4096  # size of a new buffer, and the default minimum offered for a read
MAX_RETAINED_BYTES = 65_536  # a larger buffer is released once it is empty


class BufferFullError(Exception):
    """The peer sent more than the connection may buffer unread."""


class Buffer:
    """A bytearray of which the bytes between `_start` and `_end` are unread."""

    def __init__(self, max_bytes: int) -> None:
        self._data = bytearray(INITIAL_BYTES)
        self._max_bytes = max_bytes
        self._start = 0
        self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def reserve(self, minimum: int = INITIAL_BYTES) -> memoryview:
        """Return a view to receive into, of `minimum` bytes unless the bound leaves fewer.

        It has to be released (or its `with` block left) before any other call. Raise BufferFullError if the
        buffer is full.
        """
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._data) > MAX_RETAINED_BYTES:
                self._data = bytearray(INITIAL_BYTES)
        if len(self._data) - self._end < minimum and self._start:
            unread = self._end - self._start
            self._data[:unread] = self._data[self._start : self._end]
            self._start, self._end = 0, unread
        if len(self._data) - self._end < minimum:
            size = min(self._max_bytes, max(2 * len(self._data), self._end + minimum))
            if size <= self._end:
                raise BufferFullError(f"{self._end} bytes unread")
            self._data.extend(bytes(size - len(self._data)))
        return memoryview(self._data)[self._end :]

    def commit(self, count: int) -> None:
        """Add the first `count` bytes of the last reserved view to the unread ones."""
        self._end += count

    def feed(self, data: bytes | bytearray) -> None:
        """Append bytes; raise BufferFullError if they do not fit."""
        with self.reserve(len(data)) as view:
            view[: len(data)] = data
        self.commit(len(data))

    def find(self, pattern: bytes, within: int) -> int:
        """Return the offset of a pattern from the first unread byte; -1 if not within that many bytes."""
        at = self._data.find(pattern, self._start, min(self._end, self._start + within))
        return at - self._start if at >= 0 else -1

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Return the next bytes as unpacked by the layout without consuming them; enough must be unread."""
        return layout.unpack_from(self._data, self._start)

    def take(self, count: int) -> bytes:
        """Consume and return up to `count` bytes."""
        data = bytes(self._data[self._start : min(self._end, self._start + count)])
        self._start += len(data)
        return data

    def skip(self, count: int) -> None:
        """Consume up to `count` bytes without returning them."""
        self._start = min(self._end, self._start + count)

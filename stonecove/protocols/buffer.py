"""The one input buffer of a connection: it grows as needed and is compacted in place."""

from __future__ import annotations

import struct
from typing import Any

FIRST = 4096  # bytes of a new buffer, and the least room offered for a read
KEEP = 65_536  # an empty buffer larger than this is given back


class BufferFullError(Exception):
    """The peer sent more than the connection may hold unread."""


class Buffer:
    """Bytes between `_start` and `_end` of one bytearray are waiting to be read."""

    def __init__(self, most: int) -> None:
        self._data = bytearray(FIRST)
        self._most = most
        self._start = 0
        self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    def room(self, want: int = FIRST) -> memoryview:
        """A view to receive into; release it (or leave its `with` block) before anything else."""
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._data) > KEEP:
                self._data = bytearray(FIRST)
        if len(self._data) - self._end < want and self._start:
            held = self._end - self._start
            self._data[:held] = self._data[self._start : self._end]
            self._start, self._end = 0, held
        if len(self._data) - self._end < want:
            size = min(self._most, max(2 * len(self._data), self._end + want))
            if size <= self._end:
                raise BufferFullError(f"{self._end} bytes unread")
            self._data.extend(bytes(size - len(self._data)))
        return memoryview(self._data)[self._end :]

    def filled(self, count: int) -> None:
        """So many bytes were received into the last room."""
        self._end += count

    def feed(self, data: bytes | bytearray) -> None:
        """Appends bytes that are at hand."""
        with self.room(len(data)) as view:
            view[: len(data)] = data
        self.filled(len(data))

    def find(self, mark: bytes, within: int) -> int:
        """Where the mark begins, counted from the first unread byte; -1 if not within so many bytes."""
        at = self._data.find(mark, self._start, min(self._end, self._start + within))
        return at - self._start if at >= 0 else -1

    def unpack(self, form: struct.Struct) -> tuple[Any, ...]:
        """The next bytes in that form, left where they are; they must be there."""
        return form.unpack_from(self._data, self._start)

    def take(self, count: int) -> bytes:
        """The next bytes, consumed."""
        data = bytes(self._data[self._start : min(self._end, self._start + count)])
        self._start += len(data)
        return data

    def skip(self, count: int) -> None:
        """Consumes bytes unseen."""
        self._start = min(self._end, self._start + count)

"""Persistent state: an append-only file of checksummed records.

The file is compacted by writing a new one and renaming it.

    record = length:4 crc32:4 payload         length counts the payload; both big-endian, crc32 of the
    payload (zlib)

A record is durable once it is written and synced. A torn tail (a record that ends early, or whose checksum
does not match, with no valid record after it) is truncated. An invalid record before valid ones is an error
that names its offset, as the records after it may be incomplete. The directory is synced after a rename.
"""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path
from typing import Any, Protocol

import ujson

RECORD_HEADER = struct.Struct(">II")
MAX_RECORD_BYTES = 1 << 20
MAGIC = b"stonecove journal 1\n"
COMPACT_AFTER_RECORDS = 4096


class JournalError(Exception):
    """A journal that can't be trusted; the text names the offset."""


class Disk(Protocol):
    """The file operations of a journal; the tests inject an implementation that fails and crashes."""

    def read(self, path: Path) -> bytes:
        """Return the file's content; empty if the file does not exist."""
        ...

    def append(self, path: Path, data: bytes) -> None:
        """Append bytes and sync the file; raises OSError."""
        ...

    def truncate(self, path: Path, size: int) -> None:
        """Truncate the file to `size` bytes."""
        ...

    def replace(self, path: Path, data: bytes) -> None:
        """Replace the file atomically."""
        ...


class RealDisk:
    """Files of the operating system, synced after each write."""

    def read(self, path: Path) -> bytes:
        """Return the file's content; empty if the file does not exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return b""

    def append(self, path: Path, data: bytes) -> None:
        """Append bytes and sync the file; raises OSError, with nothing of a failed write left in the file."""
        with open(path, "ab", buffering=0) as file:
            size = os.fstat(file.fileno()).st_size
            try:
                unwritten = memoryview(data)
                while unwritten:
                    unwritten = unwritten[file.write(unwritten) or 0 :]
                os.fsync(file.fileno())
            except OSError:
                os.ftruncate(file.fileno(), size)
                raise

    def truncate(self, path: Path, size: int) -> None:
        """Truncate the file to `size` bytes and sync it."""
        with open(path, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def replace(self, path: Path, data: bytes) -> None:
        """Replace the file atomically: after a crash it has either the old or the new content."""
        temporary = path.with_name(path.name + ".new")
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def encode(record: dict[str, Any]) -> bytes:
    """Return a record as it is stored in the file; raises ValueError if it is too long."""
    payload = ujson.dumps(record).encode()
    if len(payload) > MAX_RECORD_BYTES:
        raise ValueError(f"record of {len(payload)} bytes exceeds the maximum of {MAX_RECORD_BYTES}")
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _end_of_record(data: bytes, offset: int) -> int:
    """Return the end of the record at `offset`; 0 if there is no valid one."""
    if offset + RECORD_HEADER.size > len(data):
        return 0
    length, crc = RECORD_HEADER.unpack_from(data, offset)
    end = offset + RECORD_HEADER.size + length
    if (
        length > MAX_RECORD_BYTES
        or end > len(data)
        or zlib.crc32(data[offset + RECORD_HEADER.size : end]) != crc
    ):
        return 0
    return int(end)


def decode(data: bytes) -> tuple[list[dict[str, Any]], int]:
    """Return the records and the number of valid bytes; the bytes after them are a torn tail.

    Raises JournalError.
    """
    if not data:
        return [], 0
    if not data.startswith(MAGIC):
        if MAGIC.startswith(data):
            return [], 0
        raise JournalError("byte 0: not a journal of this version")
    records, offset = [], len(MAGIC)
    while offset < len(data):
        end = _end_of_record(data, offset)
        if not end:
            if valid_offset := _find_valid_record(data, offset + 1):
                raise JournalError(
                    f"byte {offset}: invalid record, followed by a valid one at byte {valid_offset}"
                )
            break
        try:
            record = ujson.loads(data[offset + RECORD_HEADER.size : end])
        except ValueError as error:
            raise JournalError(f"byte {offset}: record is not JSON: {error}") from None
        records.append(record)
        offset = end
    return records, offset


def _find_valid_record(data: bytes, offset: int) -> int:
    """Return the offset of the next valid record with a JSON object; 0 if there is none."""
    while offset + RECORD_HEADER.size <= len(data):
        length = RECORD_HEADER.unpack_from(data, offset)[0]
        if (
            2 <= length <= MAX_RECORD_BYTES
            and data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + 1] == b"{"
            and _end_of_record(data, offset)
        ):
            return offset
        offset += 1
    return 0


class Journal:
    """A crash-safe key-value store that keeps the newest value of each key."""

    def __init__(self, path: Path, disk: Disk | None = None) -> None:
        """Read the file; raises JournalError if it can't be trusted, OSError if it can't be read."""
        self._path = path
        self._disk = disk or RealDisk()
        self.values: dict[str, Any] = {}
        self.truncated_bytes = 0  # of a torn tail
        self.failed_writes = 0
        self.records = 0
        self._file_outdated = False  # a write failed: the file lacks some of `values`
        data = self._disk.read(path)
        found, size = decode(data)
        if size < len(data):
            self.truncated_bytes = len(data) - size
            self._disk.truncate(path, size)
        self._has_magic = size > 0
        for record in found:
            self._apply(record)
        self.records = len(found)

    def _apply(self, record: dict[str, Any]) -> None:
        if record.get("value") is None:
            self.values.pop(str(record.get("key")), None)
        else:
            self.values[str(record.get("key"))] = record["value"]

    def put(self, key: str, value: Any) -> bool:
        """Store a value, or delete the key if it is None.

        Returns False if the write failed and the value is only in memory.
        """
        if self.values.get(key) == value and not self._file_outdated:
            return True
        record = {"key": key, "value": value}
        self._apply(record)
        try:
            if self._file_outdated or self.records >= COMPACT_AFTER_RECORDS:
                self._compact()
            else:
                data = encode(record)
                self._disk.append(self._path, data if self._has_magic else MAGIC + data)
                self._has_magic = True
                self.records += 1
        except OSError:
            self.failed_writes += 1
            self._file_outdated = True
            return False
        return True

    def _compact(self) -> None:
        """Replace the file by one with the present values alone."""
        records = [encode({"key": key, "value": value}) for key, value in self.values.items()]
        self._disk.replace(self._path, MAGIC + b"".join(records))
        self.records, self._has_magic, self._file_outdated = len(records), True, False

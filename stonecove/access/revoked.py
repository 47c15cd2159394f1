"""Revoked keys, subjects and tokens, each until the last token that it could affect has expired.

A Bloom filter answers for the many names that were never revoked; a positive answer is looked up in the exact
table. A check therefore costs a few bits, and a false positive refuses nothing. The filter is rebuilt from
the live entries as the table ages.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

BITS_PER_ENTRY = 10
HASH_COUNT = 4


class Bloom:
    """Bloom filter: false positives at about 1 % when filled to its size, no false negatives."""

    def __init__(self, size: int) -> None:
        """Create an empty filter sized for `size` entries."""
        self._bit_count = max(1024, size * BITS_PER_ENTRY)
        self._bits = bytearray(self._bit_count // 8 + 1)
        self.count = 0

    def _positions(self, entry: str) -> Iterable[int]:
        digest = xxhash.xxh3_128_intdigest(entry.encode())
        first, second = digest & 0xFFFFFFFFFFFFFFFF, digest >> 64 | 1
        return ((first + index * second) % self._bit_count for index in range(HASH_COUNT))

    def add(self, entry: str) -> None:
        """Add an entry."""
        for position in self._positions(entry):
            self._bits[position >> 3] |= 1 << (position & 7)
        self.count += 1

    def __contains__(self, entry: str) -> bool:
        return all(self._bits[position >> 3] >> (position & 7) & 1 for position in self._positions(entry))


class RevocationList:
    """Exact table of revocations with a Bloom filter in front of it."""

    def __init__(self, max_entries: int = 1_000_000, filter_size: int = 4096) -> None:
        """Create an empty list; the filter starts at `filter_size` entries and grows with the list."""
        self._max_entries = max_entries
        self._entries: dict[str, tuple[float, float]] = {}  # issued before, until
        self._filter = Bloom(filter_size)
        self._filter_size = filter_size
        self.exact_lookups = 0

    def __len__(self) -> int:
        return len(self._entries)

    def revoke(self, kind: str, name: str, issued_before: float, until: float, now: float) -> None:
        """Revoke the tokens of a `kind` (key, subject or token) and name; times are Unix seconds.

        Tokens issued at `issued_before` or later stay valid (inf: none do); the entry is dropped after
        `until`. Raises ValueError if the list is full.
        """
        if len(self._entries) >= self._max_entries:
            self.sweep(now)
            if len(self._entries) >= self._max_entries:
                raise ValueError("no room for another entry in the revocation list")
        entry = f"{kind}:{name}"
        known_before, known_until = self._entries.get(entry, (-math.inf, -math.inf))
        self._entries[entry] = max(known_before, issued_before), max(known_until, until)
        self._filter.add(entry)
        if self._filter.count > self._filter_size:
            self.sweep(now)

    def sweep(self, now: float) -> None:
        """Drop expired entries; rebuild the filter from the remaining ones, so that it does not fill up."""
        self._entries = {entry: times for entry, times in self._entries.items() if times[1] > now}
        self._filter_size = max(4096, 2 * len(self._entries))
        self._filter = Bloom(self._filter_size)
        for entry in self._entries:
            self._filter.add(entry)

    def covers(self, kind: str, name: str, issued: float, now: float) -> bool:
        """Return whether a token issued at `issued` under that name is revoked."""
        entry = f"{kind}:{name}"
        if not name or entry not in self._filter:
            return False
        self.exact_lookups += 1
        before, until = self._entries.get(entry, (-math.inf, -math.inf))
        return issued < before and now < until

"""What was revoked: keys, subjects and tokens, until the last token that it could touch has expired.

An aged Bloom filter (two generations) answers for the many that were never revoked; what it thinks may be
is looked up in the exact list. So a request costs a few bits, and nothing is refused by chance.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

BITS_EACH = 10
HASHES = 4


class Bloom:
    """A set that may say yes by chance (about 1 % at its size), never no."""

    def __init__(self, size: int) -> None:
        """For so many entries."""
        self._bits = max(1024, size * BITS_EACH)
        self._field = bytearray(self._bits // 8 + 1)
        self.count = 0

    def _places(self, text: str) -> Iterable[int]:
        digest = xxhash.xxh3_128_intdigest(text.encode())
        first, second = digest & 0xFFFFFFFFFFFFFFFF, digest >> 64 | 1
        return ((first + turn * second) % self._bits for turn in range(HASHES))

    def add(self, text: str) -> None:
        """Notes an entry."""
        for place in self._places(text):
            self._field[place >> 3] |= 1 << (place & 7)
        self.count += 1

    def __contains__(self, text: str) -> bool:
        return all(self._field[place >> 3] >> (place & 7) & 1 for place in self._places(text))


class Revoked:
    """The exact list, with the sketch before it."""

    def __init__(self, most: int = 1_000_000, sketch: int = 4096) -> None:
        """`most` entries; the sketch grows as the list does."""
        self._most = most
        self._exact: dict[str, tuple[float, float]] = {}  # issued before, until
        self._sketch = Bloom(sketch)
        self._size = sketch
        self.looked_up = 0

    def __len__(self) -> int:
        return len(self._exact)

    def revoke(self, kind: str, name: str, issued_before: float, until: float, now: float) -> None:
        """`kind`: key, subject or token. What was issued from `issued_before` on is good again (inf: never);
        the entry is dropped after `until`. Raises ValueError when there is no room.
        """
        if len(self._exact) >= self._most:
            self.sweep(now)
            if len(self._exact) >= self._most:
                raise ValueError("no room for one more revocation")
        entry = f"{kind}:{name}"
        before, last = self._exact.get(entry, (-math.inf, -math.inf))
        self._exact[entry] = max(before, issued_before), max(last, until)
        self._sketch.add(entry)
        if self._sketch.count > self._size:
            self.sweep(now)

    def sweep(self, now: float) -> None:
        """Drops what is over, and makes the sketch anew from what is left: so it ages."""
        self._exact = {entry: held for entry, held in self._exact.items() if held[1] > now}
        self._size = max(4096, 2 * len(self._exact))
        self._sketch = Bloom(self._size)
        for entry in self._exact:
            self._sketch.add(entry)

    def covers(self, kind: str, name: str, issued: float, now: float) -> bool:
        """Whether what was issued then, under that name, is revoked."""
        entry = f"{kind}:{name}"
        if not name or entry not in self._sketch:
            return False
        self.looked_up += 1
        before, until = self._exact.get(entry, (-math.inf, -math.inf))
        return issued < before and now < until

"""Cache of signature verification results, and the budget of verifications a second.

Only the result of verifying a signature is cached: times, sources and all other claims are checked on each
request. Valid and invalid signatures have separate capacities, so that a flood of forged tokens evicts no
valid one. A result holds for one key ring only: the cache is cleared when the ring is replaced.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

MAX_VALID_SIGNATURES = 20_000
MAX_INVALID_SIGNATURES = 20_000


class SignatureCache:
    """Results of signature verification, in two LRU tables: one of valid signatures, one of invalid ones."""

    def __init__(
        self, max_valid: int = MAX_VALID_SIGNATURES, max_invalid: int = MAX_INVALID_SIGNATURES
    ) -> None:
        """Create an empty cache with these capacities, in signatures."""
        self._valid: OrderedDict[bytes, str] = OrderedDict()
        self._invalid: OrderedDict[bytes, str] = OrderedDict()
        self._capacities = {True: max_valid, False: max_invalid}
        self.hits = 0

    @staticmethod
    def digest(raw: str, message: bytes, signature: bytes, key_id: str) -> bytes:
        """Return the cache key: a collision-resistant hash over everything that the result depends on."""
        hasher = hashlib.blake2b(digest_size=16)
        for field in (raw.encode(), message, signature, key_id.encode()):
            hasher.update(len(field).to_bytes(4))
            hasher.update(field)
        return hasher.digest()

    def lookup(self, digest: bytes) -> bool | None:
        """Return whether the signature is valid; None if the result is not cached."""
        for valid, table in ((True, self._valid), (False, self._invalid)):
            if digest in table:
                table.move_to_end(digest)
                self.hits += 1
                return valid
        return None

    def store(self, digest: bytes, valid: bool) -> None:
        """Store a result; evicts the least recently used entry of a full table."""
        table = self._valid if valid else self._invalid
        if len(table) >= self._capacities[valid]:
            table.popitem(last=False)
        table[digest] = ""

    def clear(self) -> None:
        """Remove all results; called when the key ring is replaced."""
        self._valid.clear()
        self._invalid.clear()


class SignatureBudget:
    """Token buckets over the cost of signature verifications, with a share reserved for high priority."""

    def __init__(self, checks_per_s: float, reserved_fraction: float = 0.25) -> None:
        """Allow `checks_per_s` in all, of which `reserved_fraction` is for high-priority requests only."""
        self._checks_per_s = checks_per_s
        self._available = {
            True: checks_per_s * reserved_fraction,
            False: checks_per_s * (1 - reserved_fraction),
        }
        self._capacities = dict(self._available)
        self._refilled_at_s = 0.0

    def take(self, now: float, high_priority: bool, cost: float = 1.0) -> bool:
        """Take `cost` from the budget; return whether it was available. `now`: seconds of a steady clock."""
        elapsed_s = min(1.0, max(0.0, now - self._refilled_at_s))
        self._refilled_at_s = max(self._refilled_at_s, now)
        for reserved, capacity in self._capacities.items():
            self._available[reserved] = min(capacity, self._available[reserved] + elapsed_s * capacity)
        for reserved in (False, True) if high_priority else (False,):
            if self._available[reserved] >= cost:
                self._available[reserved] -= cost
                return True
        return False

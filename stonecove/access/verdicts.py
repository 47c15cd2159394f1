"""Verdicts on signatures that were checked, bounded, and how many may be checked a second.

Only the signature's verdict is remembered: times, sources and the rest are looked at each time. Good and bad
have room of their own, so that a flood of forged tokens pushes out no good one. A verdict belongs to the key
ring that gave it: a new ring begins anew.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

MOST_GOOD = 20_000
MOST_BAD = 20_000


class Verdicts:
    """Least recently used goes first, good and bad apart."""

    def __init__(self, most_good: int = MOST_GOOD, most_bad: int = MOST_BAD) -> None:
        """Room for so many of each."""
        self._good: OrderedDict[bytes, str] = OrderedDict()
        self._bad: OrderedDict[bytes, str] = OrderedDict()
        self._most = {True: most_good, False: most_bad}
        self.hits = 0

    @staticmethod
    def name(raw: str, message: bytes, signature: bytes, key_id: str) -> bytes:
        """What a verdict is kept under: all that it depends on. Collisions can't be made."""
        made = hashlib.blake2b(digest_size=16)
        for part in (raw.encode(), message, signature, key_id.encode()):
            made.update(len(part).to_bytes(4))
            made.update(part)
        return made.digest()

    def known(self, name: bytes) -> bool | None:
        """The verdict, if there is one."""
        for verdict, table in ((True, self._good), (False, self._bad)):
            if name in table:
                table.move_to_end(name)
                self.hits += 1
                return verdict
        return None

    def keep(self, name: bytes, verdict: bool) -> None:
        """Remembers one."""
        table = self._good if verdict else self._bad
        if len(table) >= self._most[verdict]:
            table.popitem(last=False)
        table[name] = ""

    def forget(self) -> None:
        """The keys are others."""
        self._good.clear()
        self._bad.clear()


class Work:
    """Signatures that may be checked a second, in what they cost; the valued class has a part of its own."""

    def __init__(self, a_second: float, floor: float = 0.25) -> None:
        """`a_second`: checks a second in all; `floor`: the part that only the valued may use."""
        self._rate = a_second
        self._left = {True: a_second * floor, False: a_second * (1 - floor)}
        self._most = dict(self._left)
        self._at = 0.0

    def take(self, now: float, valued: bool, cost: float = 1.0) -> bool:
        """Whether one more may be checked now. `now`: seconds of a steady clock."""
        passed = min(1.0, max(0.0, now - self._at))
        self._at = max(self._at, now)
        for which, most in self._most.items():
            self._left[which] = min(most, self._left[which] + passed * most)
        for which in (False, True) if valued else (False,):
            if self._left[which] >= cost:
                self._left[which] -= cost
                return True
        return False

"""How many bytes of requests and answers are held, against how many may be."""

from __future__ import annotations

from typing import Protocol

LARGEST = 240_000 + 65_536  # bytes of the longest answer and the longest body
COMING_PART = 0.25  # part of all that is for requests which are not whole


class Holder(Protocol):
    """Where requests come in."""

    def give_way(self) -> None:
        """Keeps nothing of what has come in so far."""


class Budget:
    """Two counts for the whole process. Guards against being killed for memory."""

    def __init__(self) -> None:
        self.most = 0.0
        self._used = 0
        self._coming = 0
        self._holders: dict[Holder, int] = {}  # what is coming in, by connection

    def admits(self, count: int) -> bool:
        """Whether one more request may be held that takes so many bytes with its answer.

        Guards against large ones that find no room while small ones take all that comes free: while there is
        room for the largest, size decides nothing, and then nobody is let in.
        """
        most = self.most * (1.0 - COMING_PART)
        return self._used <= most - min(LARGEST, most / 2.0) and self._used + count <= most

    def lets_in(self, count: int, holder: Holder) -> bool:
        """Whether so many bytes more may come in there; who holds most gives way to who holds less.

        Guards against a few clients that send halves and so keep out all others.
        """
        room = max(self.most * COMING_PART, min(self.most, LARGEST))
        while self._coming + count > room:
            most = max(self._holders, key=self._holders.__getitem__, default=holder)
            if self._holders.get(most, 0) <= self._holders.get(holder, 0) + count:
                return False
            most.give_way()
        return True

    def come(self, count: int, holder: Holder) -> None:
        """So many bytes more (or less, below 0) are held there of requests that are not whole."""
        self._coming += count
        self._holders[holder] = self._holders.get(holder, 0) + count
        if not self._holders[holder]:
            del self._holders[holder]

    def take(self, count: int) -> None:
        """So many bytes more are held."""
        self._used += count

    def give(self, count: int) -> None:
        """So many bytes are held no more."""
        self._used -= count

"""How many bytes of requests and answers are held, against how many may be."""

from __future__ import annotations


class Budget:
    """One count for the whole process. Guards against being killed for memory."""

    def __init__(self) -> None:
        self.most = 0.0
        self._used = 0

    def has(self, count: int) -> bool:
        """Whether so many bytes more may be held."""
        return self._used + count <= self.most

    def take(self, count: int) -> None:
        """So many bytes more are held."""
        self._used += count

    def give(self, count: int) -> None:
        """So many bytes are held no more."""
        self._used -= count

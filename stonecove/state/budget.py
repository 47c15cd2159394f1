"""The budget of memory for requests and responses."""

from __future__ import annotations

from typing import Protocol

MAX_REQUEST_BYTES = 240_000 + 65_536  # longest response and longest request body
INCOMPLETE_FRACTION = 0.25  # of the limit, for requests that have been received in part


class IncompleteRequestHolder(Protocol):
    """A connection that holds requests which have been received in part."""

    def discard_incomplete(self) -> None:
        """Drop all that has been received of incomplete requests."""


class MemoryBudget:
    """Counts the memory of the whole process for open and for incomplete requests, each against a limit.

    Without it the process would be killed for using too much memory.
    """

    def __init__(self) -> None:
        self.limit_bytes = 0.0
        self._reserved_bytes = 0
        self._incomplete_bytes = 0
        self._incomplete_by_holder: dict[IncompleteRequestHolder, int] = {}

    def can_reserve(self, size_bytes: int) -> bool:
        """Return whether another request may be opened that takes this much memory with its response.

        While there is room for the largest request, the size is not considered; below that none is admitted.
        Otherwise small requests would take all memory as it is released, and large ones would never be
        admitted.
        """
        available_bytes = self.limit_bytes * (1.0 - INCOMPLETE_FRACTION)
        return (
            self._reserved_bytes <= available_bytes - min(MAX_REQUEST_BYTES, available_bytes / 2.0)
            and self._reserved_bytes + size_bytes <= available_bytes
        )

    def can_receive(self, size_bytes: int, holder: IncompleteRequestHolder) -> bool:
        """Return whether a holder may receive this many more bytes of incomplete requests.

        If the limit is reached, the holder of the most bytes is made to discard them. Otherwise a few clients
        that send parts of requests could keep out all others.
        """
        allowance_bytes = max(
            self.limit_bytes * INCOMPLETE_FRACTION, min(self.limit_bytes, MAX_REQUEST_BYTES)
        )
        while self._incomplete_bytes + size_bytes > allowance_bytes:
            largest_holder = max(
                self._incomplete_by_holder, key=self._incomplete_by_holder.__getitem__, default=holder
            )
            if (
                self._incomplete_by_holder.get(largest_holder, 0)
                <= self._incomplete_by_holder.get(holder, 0) + size_bytes
            ):
                return False
            largest_holder.discard_incomplete()
        return True

    def add_incomplete(self, size_bytes: int, holder: IncompleteRequestHolder) -> None:
        """Add to the bytes of incomplete requests that a holder has; a negative size subtracts."""
        self._incomplete_bytes += size_bytes
        self._incomplete_by_holder[holder] = self._incomplete_by_holder.get(holder, 0) + size_bytes
        if not self._incomplete_by_holder[holder]:
            del self._incomplete_by_holder[holder]

    def reserve(self, size_bytes: int) -> None:
        """Reserve memory for an open request or for its response."""
        self._reserved_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Release memory that was reserved."""
        self._reserved_bytes -= size_bytes

"""What a client connection has done with its place: progress, and input that led to nothing.

Bytes alone don't show that a client uses its place: it may send them without end and never complete a request
that can be answered. All limits on clients therefore go by progress.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

MAX_REJECTED_IN_A_ROW = 20  # rejected requests without progress in between
MAX_WASTED_BYTES = 1 << 20  # of input that belongs to no request, without progress in between
RECORD_COST_BYTES = 512  # added for each message of such input, as handling one costs as much as many bytes


class PlaceUse(IntEnum):
    """What a client does with its place, in the order in which clients are evicted."""

    LINGERING = 0  # it was disconnected, and has yet to close its side
    SILENT = 1  # it has sent nothing since it was accepted
    WASTING = 2  # what it sent since its last progress led to nothing
    IDLE = 3  # it rests between two requests
    RECEIVING = 4  # a request has arrived in part, and no other one is open
    BUSY = 5  # it waits for an answer, or reads one; never evicted


class PlaceStatus(NamedTuple):
    """The use of a place, and the Unix time in ms since when it lasts."""

    use: PlaceUse
    since_ms: float


class ClientActivity:
    """The progress of one client connection. Times are Unix milliseconds."""

    def __init__(self, now_ms: float) -> None:
        """Start with the time at which the connection was accepted."""
        self.progress_at_ms = now_ms  # when a request was last accepted, or part of an answer written
        self.has_sent_request = False  # a request was accepted on this connection
        self.rejected_in_a_row = 0  # requests rejected since the last accepted one
        self.wasted_bytes = 0  # input since then that belongs to no request, with the cost of its messages

    def record_accepted(self, now_ms: float) -> None:
        """Record that a request was accepted, which clears all that was wasted before."""
        self.progress_at_ms = now_ms
        self.has_sent_request = True
        self.rejected_in_a_row = 0
        self.wasted_bytes = 0

    def record_written(self, now_ms: float) -> None:
        """Record that output was written; the answers to rejected requests are no progress."""
        if not self.rejected_in_a_row:
            self.progress_at_ms = now_ms

    def record_rejected(self) -> None:
        """Count a rejected request."""
        self.rejected_in_a_row += 1

    def record_wasted(self, size_bytes: int, messages: int = 1) -> None:
        """Count input that belongs to no request."""
        self.wasted_bytes += size_bytes + messages * RECORD_COST_BYTES

    def has_wasted(self) -> bool:
        """Return whether any input led to nothing since the last progress."""
        return self.rejected_in_a_row > 0 or self.wasted_bytes > 0

    def limit_reached(self) -> str:
        """Return the limit that the client has reached, at which it is disconnected; empty if none."""
        if self.rejected_in_a_row > MAX_REJECTED_IN_A_ROW:
            return "too many rejected requests in a row"
        if self.wasted_bytes > MAX_WASTED_BYTES:
            return "too much input that belongs to no request"
        return ""

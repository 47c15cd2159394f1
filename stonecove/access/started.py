"""Objects whose transfer began with a valid token: their remaining chunks are allowed for a grace period.

The allowance is bound to the object, the token and its holder (subject and source address), and ends when the
policy's grace after the token's expiry is over. The table is bounded; the oldest entries are evicted.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_STARTED_OBJECTS = 50_000


class StartedObjects:
    """Time of the last request with an unexpired token, by token, holder and object."""

    def __init__(self, max_entries: int = MAX_STARTED_OBJECTS) -> None:
        """Create a table of at most `max_entries` entries."""
        self._max_entries = max_entries
        self._last_request_s: OrderedDict[tuple[bytes, str, str], float] = OrderedDict()

    def record(self, token: bytes, holder: str, item: str, now: float) -> None:
        """Record a request for a chunk of the object with an unexpired token."""
        key = token, holder, item
        self._last_request_s[key] = now
        self._last_request_s.move_to_end(key)
        if len(self._last_request_s) > self._max_entries:
            self._last_request_s.popitem(last=False)

    def within_grace(
        self, token: bytes, holder: str, item: str, expired: float, now: float, grace: float
    ) -> bool:
        """Return whether the grace period of a token that expired at `expired` still covers this object.

        Times are Unix seconds. The grace counts from the expiry, so further requests do not extend it, and a
        clock that is set back does not either.
        """
        last_request_s = self._last_request_s.get((token, holder, item))
        return last_request_s is not None and last_request_s <= now <= expired + grace

"""Objects that were begun while their token was good: the parts that follow stay good for a while.

Bound to the same object, the same token and the same holder (subject and source), from the last good part on
for the policy's grace, never longer. Bounded; the oldest go first.
"""

from __future__ import annotations

from collections import OrderedDict

MOST_STARTED = 50_000


class Started:
    """When a good request for an object last came, by token, holder and object."""

    def __init__(self, most: int = MOST_STARTED) -> None:
        """So many are kept."""
        self._most = most
        self._at: OrderedDict[tuple[bytes, str, str], float] = OrderedDict()

    def good(self, token: bytes, holder: str, item: str, now: float) -> None:
        """A part was asked for while the token was good."""
        key = token, holder, item
        self._at[key] = now
        self._at.move_to_end(key)
        if len(self._at) > self._most:
            self._at.popitem(last=False)

    def may_go_on(
        self, token: bytes, holder: str, item: str, expired: float, now: float, grace: float
    ) -> bool:
        """Whether a token that expired then is still good for this object. The grace counts from the expiry:
        going on does not prolong it. A clock that was set back earns nothing.
        """
        at = self._at.get((token, holder, item))
        return at is not None and at <= now <= expired + grace

"""The maximum age of copies after purges."""

from __future__ import annotations

import math

from stonecove.routing.events import PurgeReceived

PURGE_RETENTION_MARGIN = 1.5  # purges are stored for this multiple of the lifetime of outdated copies
MIN_AGE_MS = 0.001  # an age of 0 would mean that any copy is acceptable
_ANY_GROUP = -1
_ANY_OBJECT = 0


class PurgeHistory:
    """Store purges until no copy from before them can exist.

    Without it a client could be answered from a copy that is older than a purge.
    """

    def __init__(self) -> None:
        self._retention_ms = self._next_retention_ms = 0.0
        self._purged_at_ms: dict[tuple[int, int], float] = {}
        self._next_sweep_ms = -math.inf

    def configure(self, now_ms: float, retention_ms: float) -> None:
        """Set how long purges are stored. A shorter time takes effect after the current one has passed."""
        if retention_ms != self._next_retention_ms:
            self._next_retention_ms = retention_ms
            self._retention_ms = max(self._retention_ms, retention_ms)
            self._next_sweep_ms = now_ms + self._retention_ms

    def record(self, now_ms: float, event: PurgeReceived) -> None:
        """Store a purge of an object, or of a group where no object is named."""
        name = (event.object_key, _ANY_GROUP) if event.object_key else (_ANY_OBJECT, event.group)
        self._purged_at_ms[name] = max(now_ms - event.age_ms, self._purged_at_ms.get(name, -math.inf))
        if now_ms >= self._next_sweep_ms:
            self._sweep(now_ms)

    def _sweep(self, now_ms: float) -> None:
        self._retention_ms = self._next_retention_ms
        self._next_sweep_ms = now_ms + self._retention_ms
        self._purged_at_ms = {
            name: purged_ms
            for name, purged_ms in self._purged_at_ms.items()
            if purged_ms + self._retention_ms > now_ms
        }

    def max_age_ms(self, now_ms: float, object_key: int, group: int) -> float:
        """Return the maximum age of a copy from after the last purge; infinite without a recent purge."""
        purged_ms = max(
            self._purged_at_ms.get((object_key, _ANY_GROUP), -math.inf),
            self._purged_at_ms.get((_ANY_OBJECT, group), -math.inf),
        )
        if now_ms - purged_ms >= self._retention_ms:
            return math.inf
        return max(now_ms - purged_ms - MIN_AGE_MS, MIN_AGE_MS)

"""The number of routers, counted from the ephemeral nodes in which they announce themselves. No I/O.

The decision module divides the capacity of a warming node and of a zone link by the size of the fleet:
counting too few routers overloads them, counting too many only wastes capacity. Therefore a larger count
takes effect soon, a smaller one only after it has been stable for long, and none while the source is
unavailable. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import ujson

from stonecove.discovery.records import RecordError, TopologyNames, load_record

PEER_STATES = ("starting", "ready", "draining")


class Peer(NamedTuple):
    """A router, as its own record describes it."""

    name: str
    zone: int
    state: str
    listen: str
    started: float  # Unix ms


class FleetSize(NamedTuple):
    """The number of routers that are counted, in total and by zone."""

    total: int
    by_zone: tuple[int, ...]


class Hysteresis(NamedTuple):
    """For how long a count must have been stable before it takes effect, in milliseconds."""

    grow_after_ms: float = 1_000.0
    shrink_after_ms: float = 10_000.0


def parse_peer(data: bytes, names: TopologyNames) -> Peer:
    """Return the router that a record describes; raises RecordError."""
    fields: dict[str, Any] = load_record(data)
    zone, state = fields.get("zone"), fields.get("state")
    if zone not in names.zones:
        raise RecordError(f"zone {str(zone)[:40]!r} is none of {', '.join(names.zones)}")
    if state not in PEER_STATES:
        raise RecordError(f"state {str(state)[:20]!r} is none of {', '.join(PEER_STATES)}")
    started = fields.get("started", 0)
    if isinstance(started, bool) or not isinstance(started, (int, float)):
        raise RecordError("started is no number")
    return Peer(
        str(fields.get("name", ""))[:100],
        names.zones.index(zone),
        state,
        str(fields.get("listen", ""))[:100],
        float(started),
    )


def encode_peer(peer: Peer, names: TopologyNames) -> bytes:
    """Return the record that describes a router."""
    return ujson.dumps(
        {
            "name": peer.name,
            "zone": names.zones[peer.zone],
            "state": peer.state,
            "listen": peer.listen,
            "started": int(peer.started),
        }
    ).encode()


class FleetCounter:
    """Counts the routers, with hysteresis."""

    def __init__(self, zones: int, zone: int, hysteresis: Hysteresis, initial: FleetSize) -> None:
        """Create a counter for a number of zones, with `initial` in effect until a list has been read.

        This router's own `zone` always counts at least one router.
        """
        self._zone = zone
        self._zones = max(zones, zone + 1)
        self._hysteresis = hysteresis
        self.effective = initial
        self._peers: dict[str, Peer] = {}
        self._counted = initial
        self._counted_since_ms = 0.0
        self._source_lost = True

    @property
    def peers(self) -> dict[str, Peer]:
        """The listed routers, by the name of their node."""
        return self._peers

    def put(self, name: str, peer: Peer, now_ms: float) -> None:
        """Add a router, or replace its record."""
        self._peers[name] = peer
        self._recount(now_ms)

    def discard(self, names: Iterable[str], now_ms: float) -> None:
        """Remove routers that are no longer listed."""
        for name in names:
            self._peers.pop(name, None)
        self._recount(now_ms)

    def source_lost(self, now_ms: float) -> None:
        """Freeze the size in effect while the source is unavailable."""
        self._source_lost = True

    def source_read(self, now_ms: float) -> None:
        """Resume counting, after the complete list has been read."""
        self._source_lost = False
        self._counted_since_ms = now_ms
        self._recount(now_ms)

    def _recount(self, now_ms: float) -> None:
        by_zone = [0] * self._zones
        for peer in self._peers.values():
            if peer.state != "draining" and peer.zone < self._zones:
                by_zone[peer.zone] += 1
        by_zone[self._zone] = max(1, by_zone[self._zone])
        counted = FleetSize(sum(by_zone), tuple(by_zone))
        if counted != self._counted:
            self._counted, self._counted_since_ms = counted, now_ms

    def effective_at_ms(self) -> float:
        """Return when the counted size takes effect, in part or in full.

        Infinite if it already has, or while the source is unavailable.
        """
        if self._source_lost or self._counted == self.effective:
            return float("inf")
        return self._counted_since_ms + (
            self._hysteresis.grow_after_ms
            if self._grown() != self.effective
            else self._hysteresis.shrink_after_ms
        )

    def _grown(self) -> FleetSize:
        """Return the size in effect with only the increases applied, which never overload anything."""
        effective = self.effective.by_zone + (0,) * (self._zones - len(self.effective.by_zone))
        by_zone = tuple(map(max, effective, self._counted.by_zone))
        return FleetSize(max(self.effective.total, self._counted.total), by_zone)

    def tick(self, now_ms: float) -> FleetSize | None:
        """Return the size that takes effect now, or None if nothing changes."""
        if now_ms < self.effective_at_ms():
            return None
        self.effective = (
            self._counted
            if now_ms >= self._counted_since_ms + self._hysteresis.shrink_after_ms
            else self._grown()
        )
        return self.effective

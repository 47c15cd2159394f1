"""How many routers there are, by the ephemeral nodes that they keep for themselves. Knows no I/O.

The decisions share what a cold node and a link bear by the size of the fleet: counting too few overloads,
counting too many only wastes. So a larger count holds soon, a smaller one after a long calm, and none while
the source is away. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import ujson

from stonecove.discovery.records import Names, RecordError, load

STATES = ("starting", "ready", "draining")


class Peer(NamedTuple):
    """A router, as it describes itself."""

    name: str
    zone: int
    state: str
    listen: str
    started: float  # Unix ms


class FleetSize(NamedTuple):
    """The routers that count, in all and by zone."""

    fleet: int
    by_zone: tuple[int, ...]


class Calm(NamedTuple):
    """For how long a count must have stood before it holds, in milliseconds."""

    grow: float = 1_000.0
    shrink: float = 10_000.0


def peer_of(data: bytes, names: Names) -> Peer:
    """From its record; raises RecordError."""
    table: dict[str, Any] = load(data)
    zone, state = table.get("zone"), table.get("state")
    if zone not in names.zones:
        raise RecordError(f"zone {str(zone)[:40]!r} is none of {', '.join(names.zones)}")
    if state not in STATES:
        raise RecordError(f"state {str(state)[:20]!r} is none of {', '.join(STATES)}")
    started = table.get("started", 0)
    if isinstance(started, bool) or not isinstance(started, (int, float)):
        raise RecordError("started is no number")
    return Peer(
        str(table.get("name", ""))[:100],
        names.zones.index(zone),
        state,
        str(table.get("listen", ""))[:100],
        float(started),
    )


def record_of(peer: Peer, names: Names) -> bytes:
    """The record of a router."""
    return ujson.dumps(
        {
            "name": peer.name,
            "zone": names.zones[peer.zone],
            "state": peer.state,
            "listen": peer.listen,
            "started": int(peer.started),
        }
    ).encode()


class Fleet:
    """Counts the routers, with hysteresis."""

    def __init__(self, zones: int, zone: int, calm: Calm, least: FleetSize) -> None:
        """Our own zone counts one at least; `least` is what holds until a list was read."""
        self._zone = zone
        self._zones = max(zones, zone + 1)
        self._calm = calm
        self.holds = least
        self._peers: dict[str, Peer] = {}
        self._seen = least
        self._since = 0.0
        self._away = True

    @property
    def peers(self) -> dict[str, Peer]:
        """The routers that are listed, by the name of their node."""
        return self._peers

    def put(self, name: str, peer: Peer, now: float) -> None:
        """A router is there, or tells another state."""
        self._peers[name] = peer
        self._count(now)

    def removed(self, names: Iterable[str], now: float) -> None:
        """Routers are gone."""
        for name in names:
            self._peers.pop(name, None)
        self._count(now)

    def away(self, now: float) -> None:
        """The source is away: what holds goes on to hold."""
        self._away = True

    def here(self, now: float) -> None:
        """The list was read whole."""
        self._away = False
        self._since = now
        self._count(now)

    def _count(self, now: float) -> None:
        by_zone = [0] * self._zones
        for peer in self._peers.values():
            if peer.state != "draining" and peer.zone < self._zones:
                by_zone[peer.zone] += 1
        by_zone[self._zone] = max(1, by_zone[self._zone])
        seen = FleetSize(sum(by_zone), tuple(by_zone))
        if seen != self._seen:
            self._seen, self._since = seen, now

    def due(self) -> float:
        """When something of the count that is seen will hold; infinite if all does, or the source is away."""
        if self._away or self._seen == self.holds:
            return float("inf")
        return self._since + (self._calm.grow if self._grown() != self.holds else self._calm.shrink)

    def _grown(self) -> FleetSize:
        """What holds, with what has grown only: the way that is never dangerous."""
        held = self.holds.by_zone + (0,) * (self._zones - len(self.holds.by_zone))
        by_zone = tuple(map(max, held, self._seen.by_zone))
        return FleetSize(max(self.holds.fleet, self._seen.fleet), by_zone)

    def tick(self, now: float) -> FleetSize | None:
        """The new count, once it holds; None while nothing changes."""
        if now < self.due():
            return None
        self.holds = self._seen if now >= self._since + self._calm.shrink else self._grown()
        return self.holds

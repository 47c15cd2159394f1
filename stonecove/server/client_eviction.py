"""Choice of the clients that are disconnected to admit others, for all frontends; no I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol, TypeVar

from stonecove.state.client_activity import PlaceStatus, PlaceUse

EVICTION_FRACTION = 0.125  # share of all places that is freed at once, as each scan of the clients is costly
EVICTION_LINGER_S = 0.25  # time in which an evicted client may close its side


# A client is not evicted before it has used its place in this way for so long.
MIN_USE_MS = {
    PlaceUse.LINGERING: EVICTION_LINGER_S * 1000.0,
    PlaceUse.SILENT: 100.0,
    PlaceUse.WASTING: 60.0,
    PlaceUse.IDLE: 60.0,  # it may be sending a request
    PlaceUse.RECEIVING: 500.0,
}


class Evictable(Protocol):
    """A client that holds one of a limited number of places."""

    def place_status(self) -> PlaceStatus:
        """Return what the client does with its place."""

    def has_sent_request(self) -> bool:
        """Return whether a request of this client was accepted before."""


Client = TypeVar("Client", bound=Evictable)


def select_for_eviction(
    clients: Iterable[Client], count: int, now_ms: float
) -> list[tuple[Client, PlaceUse]]:
    """Return up to `count` clients to be evicted, all of the least valuable use that there is.

    Connections that are merely open, or whose input never becomes a request, would otherwise keep out clients
    with requests. Of those that send a request slowly, the ones that never completed any go first.
    """
    by_use: dict[PlaceUse, list[tuple[bool, float, int, Client]]] = {}
    for order, client in enumerate(clients):
        use, since_ms = client.place_status()
        if use is not PlaceUse.BUSY and since_ms <= now_ms - MIN_USE_MS[use]:
            entry = (client.has_sent_request() and use is PlaceUse.RECEIVING, since_ms, order, client)
            by_use.setdefault(use, []).append(entry)
    if not by_use:
        return []
    use = min(by_use)
    return [(client, use) for *_, client in heapq.nsmallest(count, by_use[use])]

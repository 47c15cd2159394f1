"""Claims that are piggybacked on datagrams until each was sent often enough, the least often sent first."""

from __future__ import annotations

import math

from stonecove.gossip.claims import Claim

RETRANSMIT_FACTOR = 4.0  # times log2 of the number of routers: a claim reaches all of them almost surely


class BroadcastQueue:
    """Claims still to be sent. Each is sent a bounded number of times, so that none displaces the others."""

    def __init__(self) -> None:
        self._pending: dict[int, tuple[int, Claim]] = {}  # by member: how often the claim was sent, the claim

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, claim: Claim) -> None:
        """Queue a new claim; it replaces an older one about the same router."""
        self._pending[claim.ident] = 0, claim

    @staticmethod
    def max_transmits(routers: int) -> int:
        """Return how often a claim is sent among this number of routers."""
        return math.ceil(RETRANSMIT_FACTOR * math.log2(routers + 1))

    def take(self, limit: int, routers: int) -> tuple[Claim, ...]:
        """Return up to `limit` claims for one datagram, the least often sent first; they count as sent."""
        if not self._pending or limit <= 0:
            return ()
        max_transmits = self.max_transmits(routers)
        chosen = sorted(self._pending.items(), key=lambda item: item[1][0])[:limit]
        for ident, (sent, claim) in chosen:
            if sent + 1 >= max_transmits:
                del self._pending[ident]
            else:
                self._pending[ident] = sent + 1, claim
        return tuple(claim for _, (_, claim) in chosen)

    def requeue(self, claims: tuple[Claim, ...], routers: int) -> None:
        """Take back the count of claims whose datagram was refused.

        Without it, a mass failure uses up the transmissions of the first claims on routers that have ended.
        """
        for claim in claims:
            sent, known = self._pending.get(claim.ident, (self.max_transmits(routers), claim))
            if known == claim:
                self._pending[claim.ident] = max(0, sent - 1), claim

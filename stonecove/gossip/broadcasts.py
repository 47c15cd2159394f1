"""Words on their way to all, by piggyback: each is sent a bounded number of times, the least sent first."""

from __future__ import annotations

import math

from stonecove.gossip.claims import Claim

REPEATS = 4.0  # times the logarithm of the number of routers: each word reaches all but surely


class BroadcastQueue:
    """Updates still to be sent. Each is sent a bounded number of times, so that none displaces the others."""

    def __init__(self) -> None:
        self._left: dict[int, tuple[int, Claim]] = {}  # by router: how often it was sent, and the word

    def __len__(self) -> int:
        return len(self._left)

    def add(self, claim: Claim) -> None:
        """A word that is news; it takes the place of an older one of the same router."""
        self._left[claim.ident] = 0, claim

    @staticmethod
    def most(routers: int) -> int:
        """How often a word is sent among so many."""
        return math.ceil(REPEATS * math.log2(routers + 1))

    def take(self, room: int, routers: int) -> tuple[Claim, ...]:
        """Words for one datagram, the least sent first; each counts as sent."""
        if not self._left or room <= 0:
            return ()
        most = self.most(routers)
        chosen = sorted(self._left.items(), key=lambda item: item[1][0])[:room]
        for ident, (sent, claim) in chosen:
            if sent + 1 >= most:
                del self._left[ident]
            else:
                self._left[ident] = sent + 1, claim
        return tuple(claim for _, (_, claim) in chosen)

    def requeue(self, claims: tuple[Claim, ...], routers: int) -> None:
        """They went to somebody who is not there: they count as not sent.

        Guards against a mass kill, of which the first words all go to those who are gone.
        """
        for claim in claims:
            sent, known = self._left.get(claim.ident, (self.most(routers), claim))
            if known == claim:
                self._left[claim.ident] = max(0, sent - 1), claim

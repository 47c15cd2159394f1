"""The figures by which a swarm goes, in seconds, as the operator's file sets them."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figures:
    """Defaults: four datagrams a second in calm, and no verdict on who is silent for 5 s alone."""

    period: float = 0.6  # one member is probed in each
    answer: float = 0.2  # so long a probe waits before others are asked to try
    helpers: int = 3
    suspicion: float = 6.0  # the least time from suspect to failed; above any pause that is to be borne
    longest: float = 2.0  # as a multiple of it, while nobody confirms
    confirmations: int = 3  # that bring it down to the least
    settle: float = 1.5  # nothing has changed for so long before a view moves
    most_settle: float = 4.0  # though something goes on changing
    refusals_prove: bool = True  # a refused datagram says that nobody has that address
    lease: float = 20.0  # the least time for which an answer lets a router act on its share

    def lease_of(self, routers: int) -> float:
        """Long enough that each is probed three times within it, however many there are."""
        return max(self.lease, 3.0 * routers * self.period)

    def suspicion_min(self, routers: int) -> float:
        """Longer among many: doubt and denial both have to go round."""
        return self.suspicion + self.period * math.log2(routers + 1) / 2.0

"""Load and observed pace of the links between routers, caches and the sources of fills."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

PACE_HALF_LIFE_IN_OBJECTIVES = 3.0  # an observed pace is half forgotten after this many shortest objectives
BURST_DEVIATIONS = 2.0  # a router may exceed its share by this many standard deviations of its own work
FULL_PACE_PRIOR = 0.4  # weight of the assumption of full pace, in shortest objectives
FULL_PACE_SLOWDOWN = 1.3  # an answer slower than this shows the capacity of a link
SLOWDOWN_TOLERANCE = 1.5  # an attempt that takes this multiple of the expected time is overdue
MAX_OBSERVED_SLOWDOWN = 3.0  # limits one transfer: a few slow fills do not mean that a link is congested
OBSERVATION_WEIGHT = 0.1  # weight of one observation in a moving average
MAX_HALVINGS = 64.0


class LinkShare(NamedTuple):
    """A link that carries `capacity` transfers at once, and the share of it that is this router's."""

    capacity: float
    share: float


@dataclass(slots=True)
class LinkLoad:
    """Track this router's transfers over one link and how much they are slowed down.

    A router sees only a small part of the traffic, so its own transfers show little of a link that many use.
    """

    capacity: float  # transfers at once within this router's share
    headroom: float  # for bursts, on top, as long as full pace is observed
    objective_ms: float  # the shortest latency objective
    in_flight: int = 0
    in_flight_work_ms: float = 0.0
    observed_ms: float = 0.0
    expected_ms: float = 0.0
    observed_at_ms: float = 0.0

    @classmethod
    def for_share(cls, link: LinkShare, objective_ms: float) -> LinkLoad:
        """Return the load of an unused link of which this router has a share."""
        router_capacity = link.capacity * link.share
        headroom = BURST_DEVIATIONS * math.sqrt(router_capacity * (1 - link.share))
        return cls(max(1.0, router_capacity), headroom, objective_ms)

    def _decay(self, now_ms: float) -> float:
        halvings = (now_ms - self.observed_at_ms) / (PACE_HALF_LIFE_IN_OBJECTIVES * self.objective_ms)
        return float(0.5 ** min(MAX_HALVINGS, halvings))

    def slowdown(self, now_ms: float) -> float:
        """Return the factor by which transfers were slowed down recently."""
        decay, prior_ms = self._decay(now_ms), FULL_PACE_PRIOR * self.objective_ms
        return (self.observed_ms * decay + prior_ms) / (self.expected_ms * decay + prior_ms)

    def expected_slowdown(self, now_ms: float) -> float:
        """Return the factor by which one more transfer would be slowed down."""
        slowdown = self.slowdown(now_ms)
        headroom = self.headroom * min(1.0, max(0.0, 2.0 - slowdown))
        return max(1.0, (self.in_flight + 1) / (self.capacity + headroom), slowdown)

    def resize(self, before: LinkShare, after: LinkShare, objective_ms: float) -> None:
        """Adapt to another share of the link; an estimate of its capacity stays in proportion."""
        old, new = LinkLoad.for_share(before, objective_ms), LinkLoad.for_share(after, objective_ms)
        self.headroom, self.objective_ms = new.headroom, objective_ms
        self.capacity = max(1.0, self.capacity * (new.capacity / old.capacity))

    def estimate_capacity(self, concurrent: int, slowdown: float) -> None:
        """Update the capacity from an answer's slowdown among so many concurrent transfers."""
        if slowdown >= FULL_PACE_SLOWDOWN or concurrent > self.capacity:
            observed = max(1.0, concurrent / max(slowdown, 1.0))
            self.capacity += OBSERVATION_WEIGHT * (observed - self.capacity)

    def observe(self, now_ms: float, duration_ms: float, work_ms: float) -> None:
        """Record a transfer that took `duration_ms` and would take `work_ms` at full pace."""
        decay = self._decay(now_ms)
        self.observed_ms = self.observed_ms * decay + duration_ms
        self.expected_ms = self.expected_ms * decay + work_ms
        self.observed_at_ms = now_ms

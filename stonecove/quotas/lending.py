"""The lessor's state: the shares of the holders and what is lent to each. No I/O; times are steady seconds.

A *pool* is the set of routers that share one limit: those of a zone for caches, all of them for parents and
retries. Each holder reports its share of the limit in each pool (1/N by its settings). What is lent for a
node is at most

    (1 - unleased fraction) x (lowest limit reported for it within a window) x (shares of connected holders)

and each holder keeps unleased fraction x its share for itself. Summed over the holders of all hosts that is
at most the limit, whichever holders connect or disconnect: one that is not connected adds nothing to what is
lent, and spends no more than the unleased fraction of its share, for it never raises that by itself.

- A reported limit is the work that the node can bear at that moment at its lowest possible capacity, with its
  growth a second. The last report of each holder within a window counts, extrapolated by its growth. The
  lowest of them applies, so that a holder that is wrong, or has not learned of a restart, raises nothing.
- A restarted holder has forgotten what it sent before. For one window it gets no unleased share.
- Retries are a pool like any other, of as many as a single router may save up.
- Admission tokens come from the token buckets of `quota.Plan`, from the fraction of them that is not left
  with the holders.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from stonecove.quotas.buckets import BucketHierarchy
from stonecove.quotas.leases import Grant, Lessor, unleased_fraction_for
from stonecove.quotas.quota import MAX_BATCH_TOKENS, Path, Plan
from stonecove.routing.actions import RETRY_LEASE
from stonecove.routing.endpoints import NodeId

MAX_HOLDERS = 10_000
MAX_NODES = 10_000  # nodes with an account; once it is idle, a node needs none


class LendingError(ValueError):
    """A holder's message that cannot be accepted; the text gives the reason."""


class Terms(NamedTuple):
    """What a holder may spend without a lease, sent to it when it connects."""

    own: float  # fraction of its shares
    retries: float  # fraction of the retry budget
    rest: float  # seconds until it may spend that: a cooldown after a restart


@dataclass(slots=True)
class _HolderRecord:
    name: str
    shares: dict[str, float]  # by pool
    started_at_s: float  # steady seconds
    requested: int = 0
    granted: int = 0
    refused: int = 0


@dataclass(slots=True)
class _ReportedLimits:
    """The latest limit that each holder reported for a node, the last report last.

    Each is the time of the report, the limit and its growth a second.
    """

    pool: str
    by_holder: dict[str, tuple[float, float, float]] = field(default_factory=dict)

    def lowest(self, now_s: float) -> float:
        """Return the lowest limit in force; 0 if none was reported."""
        return min(
            (
                limit + growth_per_s * (now_s - reported_at_s)
                for reported_at_s, limit, growth_per_s in self.by_holder.values()
            ),
            default=0.0,
        )


class Lending:
    """Lend the shared budgets of one host. A holder's key is new with each connection."""

    def __init__(
        self,
        now_s: float,
        window_s: float,
        holder_count: int,
        unleased_fraction: float = 0.0,
        plan: Plan | None = None,
    ) -> None:
        """Expect `holder_count` holders. An `unleased_fraction` of 0 selects the usual one for so many.

        Raise PlanError for an unusable plan.
        """
        self.window_s = window_s
        self.unleased_fraction = unleased_fraction or unleased_fraction_for(holder_count)
        self._expected_holders = max(1, holder_count)
        self._lessor = Lessor(window_s, now_s, self.unleased_fraction)
        self._holders: dict[str, _HolderRecord] = {}
        self._reported: dict[NodeId, _ReportedLimits] = {}
        self._departed: dict[str, float] = {}  # start times of the processes of disconnected holders, by name
        self.plan = plan
        self._hierarchy: BucketHierarchy | None = (
            plan.hierarchy(1.0 - self.unleased_fraction) if plan is not None else None
        )
        self.refused_tokens: dict[str, int] = {}  # by the limit that refused them

    @property
    def lifetime_s(self) -> float:
        """Return how long a lease is valid."""
        return self._lessor.lifetime_s

    def add_holder(
        self,
        key: str,
        name: str,
        window_s: float,
        shares: dict[str, float],
        started_at_s: float,
        now_s: float,
    ) -> Terms:
        """Register a holder and return its terms; raise LendingError if it is not accepted.

        `window_s` is that of its settings, `started_at_s` when its process began to serve.
        """
        if key in self._holders:
            raise LendingError(f"{name} is here already")
        if window_s > self.window_s:
            raise LendingError(
                f"the settings' window is {window_s:g} s, leases are made for {self.window_s:g} s"
            )
        if len(self._holders) >= MAX_HOLDERS:
            raise LendingError("too many holders")
        if invalid := [pool for pool, share in shares.items() if not 0 < share <= 1]:
            raise LendingError(f"a part of pool {invalid[0]} that is none")
        self._holders[key] = _HolderRecord(name, dict(shares), started_at_s)
        previous_start_s = self._departed.pop(name, started_at_s)
        # The previous process may have spent its unleased share, connected or not, until this one started.
        cooldown_s = (
            max(0.0, started_at_s + self.window_s - now_s) if started_at_s > previous_start_s else 0.0
        )
        return Terms(self.unleased_fraction, self.unleased_fraction / self._expected_holders, cooldown_s)

    def remove_holder(self, key: str) -> None:
        """Remove a disconnected holder; its leases expire."""
        holder = self._holders.pop(key, None)
        if holder is None:
            return
        self._lessor.remove_holder(key)
        if len(self._departed) >= MAX_HOLDERS:
            del self._departed[next(iter(self._departed))]
        self._departed[holder.name] = holder.started_at_s

    def request_lease(
        self,
        key: str,
        number: int,
        node: NodeId,
        work: float,
        limit: float,
        pool: str,
        now_s: float,
        growth_per_s: float = 0.0,
    ) -> Grant | None:
        """Return a lease of work on a node; None if nothing is available now.

        `limit` is the limit that the holder computes for the node. Raise LendingError for an invalid request.
        """
        holder = self._known_holder(key)
        holder.requested += 1
        is_valid = work > 0 and limit > 0 and growth_per_s >= 0 and math.isfinite(limit + growth_per_s)
        if not is_valid or pool not in holder.shares:
            raise LendingError(f"{holder.name} asks for what makes no sense")
        reported = self._reported.get(node)
        if reported is None or reported.pool != pool:
            if len(self._reported) >= MAX_NODES:
                self._forget_idle_nodes(now_s)
            reported = self._reported[node] = _ReportedLimits(pool)
        reported.by_holder.pop(key, None)
        reported.by_holder[key] = now_s, limit, growth_per_s
        while (oldest := next(iter(reported.by_holder.items())))[1][0] <= now_s - self.window_s:
            del reported.by_holder[oldest[0]]
        connected_share = min(1.0, sum(each.shares.get(pool, 0.0) for each in self._holders.values()))
        self._lessor.set_limit(node, reported.lowest(now_s) * connected_share, now_s)
        grant = self._lessor.request_lease(key, number, node, now_s, work)
        holder.granted += grant is not None
        holder.refused += grant is None
        return grant

    def return_lease(self, key: str, number: int, unspent: float, now_s: float) -> None:
        """Take back the unspent work of a lease; raise LendingError for an unknown holder."""
        self._known_holder(key)
        self._lessor.return_lease(key, number, unspent, now_s)

    def take_tokens(self, key: str, path: Path, max_count: int, now_s: float) -> tuple[int, str]:
        """Take admission tokens for a path; return their number and the limit that withheld the others.

        Raise LendingError where there are no limits.
        """
        holder = self._known_holder(key)
        if self._hierarchy is None or max_count <= 0:
            raise LendingError(f"{holder.name} asks for tokens, and there are none")
        count, limit_name = self._hierarchy.take_many(path, min(max_count, MAX_BATCH_TOKENS), now_s)
        if limit_name:
            self.refused_tokens[limit_name] = self.refused_tokens.get(limit_name, 0) + max_count - count
        return count, limit_name

    def _known_holder(self, key: str) -> _HolderRecord:
        if key not in self._holders:
            raise LendingError("who asks has not said who it is")
        return self._holders[key]

    def _forget_idle_nodes(self, now_s: float) -> None:
        for node in [
            node
            for node, reported in self._reported.items()
            if all(
                reported_at_s <= now_s - self.window_s for reported_at_s, _, _ in reported.by_holder.values()
            )
        ]:
            if self._lessor.booked_work(node, now_s) <= 0:
                del self._reported[node]
                self._lessor.forget_node(node)
        if len(self._reported) >= MAX_NODES:
            raise LendingError("too many cold nodes at once")

    def status(self, now_s: float) -> dict[str, object]:
        """Return a report of what is lent by node and what was requested by holder."""
        return {
            "own": self.unleased_fraction,
            "window_s": self.window_s,
            "granted": self._lessor.granted_count,
            "refused": self._lessor.refused_count,
            "nodes": {
                "retries" if node == RETRY_LEASE else f"s-{node:08x}": {
                    "pool": reported.pool,
                    "rule": round(reported.lowest(now_s), 1),
                    "lent": round(self._lessor.booked_work(node, now_s), 1),
                }
                for node, reported in sorted(self._reported.items())
            },
            "holders": {
                each.name: {"asked": each.requested, "granted": each.granted, "refused": each.refused}
                for each in self._holders.values()
            },
            "limits": dict(sorted(self.refused_tokens.items())),
        }

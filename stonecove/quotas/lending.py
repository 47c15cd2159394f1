"""The lessor's whole side: who shares in what, and what each is told. No I/O; times are steady seconds.

A *pool* is the set of directors that share one rule: those of a zone for caches, all of them for parents and
retries. Each holder tells its part of the rule in each pool (1/N by its settings). What is lent for a node is

    (1 - own) x (the least rule told of it within a window) x (the parts of the holders that are here)

and each holder keeps `own` x its part for itself. Summed over the holders of all hosts that is at most the
rule, whoever comes and goes: a holder that is not here adds nothing to what is lent, and spends no more than
`own` of its part, for it never raises that by itself.

- The rule told is the least that the node can bear at that moment, and by how much that rises a second. Each
  holder's last word within a window counts, carried on by its rise; the least of them holds, so that a holder
  that is wrong, or has not heard of a new start, raises nothing.
- A holder that was started anew has forgotten what it sent before. For one window it gets no part of its own.
- Retries are a pool like another, of as many as one router alone may save up.
- Admission tokens come from the token buckets of `quota.Plan`, the part of them that is not left with the
  holders.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from stonecove.quotas.buckets import Hierarchy
from stonecove.quotas.leases import Grant, Lessor, own_part
from stonecove.quotas.quota import MOST_TOKENS, Path, Plan
from stonecove.routing.actions import RETRY_LEASE
from stonecove.routing.endpoints import NodeId

MOST_HOLDERS = 10_000
MOST_NODES = 10_000  # nodes with an account; a cold one that is asked for anew needs no old one


class LendingError(ValueError):
    """A holder's word that can't be heeded; the text says why."""


class Terms(NamedTuple):
    """What a holder is told when it comes: its own part, of retries too, and when its own part begins."""

    own: float
    retries: float
    rest: float  # seconds for which it has no part of its own


@dataclass(slots=True)
class _Holder:
    name: str
    parts: dict[str, float]  # by pool
    born: float  # steady seconds
    asked: int = 0
    granted: int = 0
    refused: int = 0


@dataclass(slots=True)
class _Told:
    """Rules of a node that were told of late, by holder, the latest last: when, how much, rise a second."""

    pool: str
    rules: dict[str, tuple[float, float, float]] = field(default_factory=dict)

    def rule(self, now: float) -> float:
        """The least that holds now."""
        return min((rule + rises * (now - at) for at, rule, rises in self.rules.values()), default=0.0)


class Lending:
    """All that one host lends. Holders are told apart by a key that is new with each connection."""

    def __init__(
        self, now: float, window: float, holders: int, own: float = 0.0, plan: Plan | None = None
    ) -> None:
        """`holders`: how many there are to be; `own`: 0 for the usual part of so many."""
        self.window = window
        self.own = own or own_part(holders)
        self._expected = max(1, holders)
        self._lessor = Lessor(window, now, self.own)
        self._holders: dict[str, _Holder] = {}
        self._told: dict[NodeId, _Told] = {}
        self._left: dict[str, float] = {}  # names that were here, and when their process began
        self.plan = plan
        self._hierarchy: Hierarchy | None = plan.hierarchy(1.0 - self.own) if plan is not None else None
        self.tokens: dict[str, int] = {}  # admission refused, by the limit that did

    @property
    def life(self) -> float:
        """Seconds for which a piece is good."""
        return self._lessor.life

    def hello(
        self, key: str, name: str, window: float, parts: dict[str, float], born: float, now: float
    ) -> Terms:
        """A holder is here. `window`: that of its settings; `born`: when its process began to serve."""
        if key in self._holders:
            raise LendingError(f"{name} is here already")
        if window > self.window:
            raise LendingError(f"the settings' window is {window:g} s, leases are made for {self.window:g} s")
        if len(self._holders) >= MOST_HOLDERS:
            raise LendingError("too many holders")
        if bad := [pool for pool, part in parts.items() if not 0 < part <= 1]:
            raise LendingError(f"a part of pool {bad[0]} that is none")
        self._holders[key] = _Holder(name, dict(parts), born)
        before = self._left.pop(name, born)
        # The one before may have spent its own part, connected or not, until this one began.
        rest = max(0.0, born + self.window - now) if born > before else 0.0
        return Terms(self.own, self.own / self._expected, rest)

    def gone(self, key: str) -> None:
        """A holder is no more; what it held ages out."""
        holder = self._holders.pop(key, None)
        if holder is None:
            return
        self._lessor.gone(key)
        if len(self._left) >= MOST_HOLDERS:
            del self._left[next(iter(self._left))]
        self._left[holder.name] = holder.born

    def ask(
        self,
        key: str,
        number: int,
        node: NodeId,
        work: float,
        rule: float,
        pool: str,
        now: float,
        rises: float = 0.0,
    ) -> Grant | None:
        """A holder wants work on a node; None if there is nothing to lend now."""
        holder = self._known(key)
        holder.asked += 1
        sound = work > 0 and rule > 0 and rises >= 0 and math.isfinite(rule + rises)
        if not sound or pool not in holder.parts:
            raise LendingError(f"{holder.name} asks for what makes no sense")
        told = self._told.get(node)
        if told is None or told.pool != pool:
            if len(self._told) >= MOST_NODES:
                self._sweep(now)
            told = self._told[node] = _Told(pool)
        told.rules.pop(key, None)
        told.rules[key] = now, rule, rises
        while (oldest := next(iter(told.rules.items())))[1][0] <= now - self.window:
            del told.rules[oldest[0]]
        here = min(1.0, sum(one.parts.get(pool, 0.0) for one in self._holders.values()))
        self._lessor.rule(node, told.rule(now) * here, now)
        grant = self._lessor.ask(key, number, node, now, work)
        holder.granted += grant is not None
        holder.refused += grant is None
        return grant

    def back(self, key: str, number: int, unspent: float, now: float) -> None:
        """A holder gives back what it did not spend."""
        self._known(key)
        self._lessor.give_back(key, number, unspent, now)

    def take(self, key: str, path: Path, wanted: int, now: float) -> tuple[int, str]:
        """Admission tokens for a path: how many there are, and the limit that holds the rest back."""
        holder = self._known(key)
        if self._hierarchy is None or wanted <= 0:
            raise LendingError(f"{holder.name} asks for tokens, and there are none")
        count, limit = self._hierarchy.take_many(path, min(wanted, MOST_TOKENS), now)
        if limit:
            self.tokens[limit] = self.tokens.get(limit, 0) + wanted - count
        return count, limit

    def _known(self, key: str) -> _Holder:
        if key not in self._holders:
            raise LendingError("who asks has not said who it is")
        return self._holders[key]

    def _sweep(self, now: float) -> None:
        for node in [
            node
            for node, told in self._told.items()
            if all(at <= now - self.window for at, _, _ in told.rules.values())
        ]:
            if self._lessor.booked(node, now) <= 0:
                del self._told[node]
                self._lessor.forget(node)
        if len(self._told) >= MOST_NODES:
            raise LendingError("too many cold nodes at once")

    def status(self, now: float) -> dict[str, object]:
        """Everything there is to tell: by node what is lent, by holder what it asked for."""
        return {
            "own": self.own,
            "window_s": self.window,
            "granted": self._lessor.granted,
            "refused": self._lessor.refused,
            "nodes": {
                "retries" if node == RETRY_LEASE else f"s-{node:08x}": {
                    "pool": told.pool,
                    "rule": round(told.rule(now), 1),
                    "lent": round(self._lessor.booked(node, now), 1),
                }
                for node, told in sorted(self._told.items())
            },
            "holders": {
                one.name: {"asked": one.asked, "granted": one.granted, "refused": one.refused}
                for one in self._holders.values()
            },
            "limits": dict(sorted(self.tokens.items())),
        }

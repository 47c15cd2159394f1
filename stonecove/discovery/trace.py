"""What became of each node and when: told by which source, decided as what, last given fresh work. Knows
no I/O.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from stonecove.discovery.merge import Explanation
from stonecove.routing.endpoints import NodeId, NodeState, reported_state


class Life:
    """What is known of one node; Unix milliseconds, 0 for never."""

    __slots__ = ("state", "told_at", "as_target", "as_source")

    def __init__(self) -> None:
        self.state = NodeState.REMOVED
        self.told_at = 0.0  # when it last stopped being ready
        self.as_target = 0.0  # when the first byte of the last request to it was written
        self.as_source = 0.0  # the same for the last request that names it as source of a fill


class Trace:
    """The last lines, and a life of each node."""

    def __init__(self, most: int) -> None:
        self.lines: deque[dict[str, Any]] = deque(maxlen=most)
        self.lives: dict[NodeId, Life] = {}

    def claim(self, at: float, source: str, ident: NodeId, state: NodeState, why: str) -> None:
        """A source has said something new."""
        self.lines.append(
            {
                "at": at,
                "what": "claim",
                "source": source,
                "id": f"s-{ident:08x}",
                "state": reported_state(state),
                "why": why,
            }
        )

    def decided(self, at: float, ident: NodeId, state: NodeState, why: str) -> None:
        """A node is something else now."""
        life = self.lives.setdefault(ident, Life())
        if life.state is NodeState.READY and state is not NodeState.READY:
            life.told_at = at
        life.state = state
        self.lines.append(
            {"at": at, "what": "state", "id": f"s-{ident:08x}", "state": reported_state(state), "why": why}
        )

    def written(self, at: float, node: NodeId, source: NodeId) -> None:
        """The first byte of a request goes out."""
        if (life := self.lives.get(node)) is not None:
            life.as_target = at
        if source != node and (life := self.lives.get(source)) is not None:
            life.as_source = at

    def told(self, ident: NodeId) -> dict[str, Any]:
        """When a node was told to be no longer ready, and its last fresh work; empty if it is not known."""
        life = self.lives.get(ident)
        if life is None:
            return {}
        late = 0.0
        if life.told_at and life.state is not NodeState.READY:
            late = max(0.0, max(life.as_target, life.as_source) - life.told_at)
        return {
            "id": f"s-{ident:08x}",
            "state": reported_state(life.state),
            "told_at": life.told_at,
            "last_as_target": life.as_target,
            "last_as_source": life.as_source,
            "late_ms": late,
        }

    def summary(self) -> list[dict[str, Any]]:
        """The same for all nodes, by their ids."""
        return [self.told(ident) for ident in sorted(self.lives)]

    def forget(self, known: set[NodeId], most: int) -> None:
        """Keeps tables from growing with every node that ever was: the oldest of the gone are dropped."""
        gone = sorted((life.told_at, ident) for ident, life in self.lives.items() if ident not in known)
        for _, ident in gone[: max(0, len(gone) - most)]:
            del self.lives[ident]


def explained(ident: NodeId, found: Explanation) -> dict[str, Any]:
    """An explanation as a table for programs and people."""
    member = found.verdict.member
    return {
        "id": f"s-{ident:08x}",
        "state": reported_state(found.verdict.state),
        "why": found.verdict.why,
        "since": found.since,
        "address": f"{member.host}:{member.port}" if member else "",
        "zone": member.node.zone if member else -1,
        "kind": member.node.kind if member else -1,
        "started": member.node.started_ms if member else 0.0,
        "claims": [
            {
                "source": source.name,
                "rank": source.rank,
                "has_say": say,
                "number": told.number,
                "state": reported_state(told.claim.state),
                "why": told.claim.why,
                "since": told.at,
                "address": f"{told.claim.member.host}:{told.claim.member.port}" if told.claim.member else "",
            }
            for source, say, told in sorted(found.claims, key=lambda one: one[0].rank)
        ],
    }

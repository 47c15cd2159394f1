"""History of each node: which source claimed what, the resulting state, and the last new work. No I/O."""

from __future__ import annotations

from collections import deque
from typing import Any

from stonecove.discovery.merge import Explanation
from stonecove.routing.endpoints import NodeId, NodeState, reported_state


class NodeHistory:
    """What is recorded of one node; times are Unix milliseconds, 0 for never."""

    __slots__ = ("state", "not_ready_since_ms", "last_target_ms", "last_source_ms")

    def __init__(self) -> None:
        self.state = NodeState.REMOVED
        self.not_ready_since_ms = 0.0  # when it last stopped being ready
        self.last_target_ms = 0.0  # when the first byte of the last request to it was written
        self.last_source_ms = 0.0  # the same for the last request that names it as source of a fill


class MembershipTrace:
    """The latest membership changes, and a history of each node."""

    def __init__(self, max_lines: int) -> None:
        self.lines: deque[dict[str, Any]] = deque(maxlen=max_lines)
        self.histories: dict[NodeId, NodeHistory] = {}

    def record_claim(self, now_ms: float, source: str, ident: NodeId, state: NodeState, reason: str) -> None:
        """Record a new claim of a source."""
        self.lines.append(
            {
                "at": now_ms,
                "what": "claim",
                "source": source,
                "id": f"s-{ident:08x}",
                "state": reported_state(state),
                "why": reason,
            }
        )

    def record_state(self, now_ms: float, ident: NodeId, state: NodeState, reason: str) -> None:
        """Record a change of a node's state."""
        history = self.histories.setdefault(ident, NodeHistory())
        if history.state is NodeState.READY and state is not NodeState.READY:
            history.not_ready_since_ms = now_ms
        history.state = state
        self.lines.append(
            {
                "at": now_ms,
                "what": "state",
                "id": f"s-{ident:08x}",
                "state": reported_state(state),
                "why": reason,
            }
        )

    def record_write(self, now_ms: float, target: NodeId, source: NodeId) -> None:
        """Record that the first byte of a request was written."""
        if (history := self.histories.get(target)) is not None:
            history.last_target_ms = now_ms
        if source != target and (history := self.histories.get(source)) is not None:
            history.last_source_ms = now_ms

    def node_summary(self, ident: NodeId) -> dict[str, Any]:
        """Return when a node stopped being ready, and its last new work; empty if it is not known."""
        history = self.histories.get(ident)
        if history is None:
            return {}
        late_ms = 0.0
        if history.not_ready_since_ms and history.state is not NodeState.READY:
            late_ms = max(
                0.0, max(history.last_target_ms, history.last_source_ms) - history.not_ready_since_ms
            )
        return {
            "id": f"s-{ident:08x}",
            "state": reported_state(history.state),
            "told_at": history.not_ready_since_ms,
            "last_as_target": history.last_target_ms,
            "last_as_source": history.last_source_ms,
            "late_ms": late_ms,
        }

    def summary(self) -> list[dict[str, Any]]:
        """Return the summaries of all nodes, in the order of their ids."""
        return [self.node_summary(ident) for ident in sorted(self.histories)]

    def prune(self, known: set[NodeId], max_unknown: int) -> None:
        """Drop the oldest histories of nodes that are no longer known, so that memory stays bounded."""
        unknown = sorted(
            (history.not_ready_since_ms, ident)
            for ident, history in self.histories.items()
            if ident not in known
        )
        for _, ident in unknown[: max(0, len(unknown) - max_unknown)]:
            del self.histories[ident]


def explanation_to_dict(ident: NodeId, explanation: Explanation) -> dict[str, Any]:
    """Return an explanation as the JSON object of the control socket."""
    member = explanation.status.member
    return {
        "id": f"s-{ident:08x}",
        "state": reported_state(explanation.status.state),
        "why": explanation.status.reason,
        "since": explanation.since_ms,
        "address": f"{member.host}:{member.port}" if member else "",
        "zone": member.node.zone if member else -1,
        "kind": member.node.kind if member else -1,
        "started": member.node.started_ms if member else 0.0,
        "claims": [
            {
                "source": source.name,
                "rank": source.rank,
                "has_say": current,
                "number": recorded.sequence,
                "state": reported_state(recorded.claim.state),
                "why": recorded.claim.reason,
                "since": recorded.received_at_ms,
                "address": f"{recorded.claim.member.host}:{recorded.claim.member.port}"
                if recorded.claim.member
                else "",
            }
            for source, current, recorded in sorted(explanation.claims, key=lambda entry: entry[0].rank)
        ],
    }

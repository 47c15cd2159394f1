"""Lookup of the access policy of a path: longest-prefix match in a trie of path segments.

Prefixes match complete segments: `/svc/guide` is not a prefix of `/svc/guide-video`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from stonecove.access.grants import Format


@dataclass(frozen=True, slots=True)
class Policy:
    """Requirements on the requests below a path prefix. Times are in seconds."""

    prefix: str
    token: bool = True  # a token is required
    formats: tuple[Format, ...] = ()  # empty: any format
    audience: str = ""
    issuer: str = ""
    skew: float = 5.0  # tolerated clock difference, in both directions
    longest: float = 86_400.0 * 7  # maximum remaining lifetime of a token
    grace: float = 0.0  # time after expiry in which a started object may be completed
    once: bool = False  # every token is single-use, whatever it claims
    depot: bool = False  # a token has to name this router's depot
    rate: float = 0.0  # requests a second by subject; 0: unlimited
    burst: float = 10.0
    concurrent: int = 0  # concurrent requests by subject; 0: unlimited
    methods: tuple[str, ...] = ("GET", "HEAD")
    edge_name: str = "hdnts"  # parameter or cookie name of edge-auth tokens
    edge_key: str = ""  # key id for edge-auth tokens that name no key
    floor: bool = False  # highest-priority class: may use the reserved signature checks and replay capacity


@dataclass(slots=True)
class _Node:
    children: dict[str, _Node] = field(default_factory=dict)
    policy: Policy | None = None


def _segments(path: str) -> list[str]:
    return [segment for segment in path.split("/") if segment]


class Routes:
    """Policies in a trie of path segments."""

    def __init__(self, policies: Iterable[Policy]) -> None:
        """Build the trie; raises ValueError for a duplicate prefix."""
        self._root = _Node()
        for policy in policies:
            node = self._root
            for segment in _segments(policy.prefix):
                node = node.children.setdefault(segment, _Node())
            if node.policy is not None:
                raise ValueError(f"two policies for prefix {policy.prefix}")
            node.policy = policy

    def find(self, path: str) -> Policy | None:
        """Return the policy with the longest matching prefix; None if no prefix matches."""
        node, found = self._root, self._root.policy
        for segment in path.split("/"):
            if not segment:
                continue
            child = node.children.get(segment)
            if child is None:
                break
            node = child
            found = node.policy or found
        return found


class LinearRoutes:
    """Reference implementation of `Routes` by linear scan, for tests and benchmarks."""

    def __init__(self, policies: Iterable[Policy]) -> None:
        """Sort the policies by prefix length, longest first."""
        self._policies = sorted(policies, key=lambda policy: -len(_segments(policy.prefix)))

    def find(self, path: str) -> Policy | None:
        """Return the policy with the longest matching prefix; None if no prefix matches."""
        for policy in self._policies:
            prefix = policy.prefix.rstrip("/")
            if path == prefix or path.startswith(f"{prefix}/"):
                return policy
        return None

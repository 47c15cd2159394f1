"""Which policy holds for a path: that of the longest prefix, found by a trie of segments.

A prefix holds for whole segments: `/svc/guide` is no prefix of `/svc/guide-video`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from stonecove.access.grants import Format


@dataclass(frozen=True, slots=True)
class Policy:
    """What is asked of a request below a prefix. Times in seconds."""

    prefix: str
    token: bool = True  # one is wanted
    formats: tuple[Format, ...] = ()  # none named: any
    audience: str = ""
    issuer: str = ""
    skew: float = 5.0  # by which clocks may differ, both ways
    longest: float = 86_400.0 * 7  # that a token may still be good for
    grace: float = 0.0  # for which a started object may go on after its token has expired
    once: bool = False  # each token for one request, whatever it says
    depot: bool = False  # a token has to name a depot, and it has to be ours
    rate: float = 0.0  # requests a second of a subject; 0: unlimited
    burst: float = 10.0
    concurrent: int = 0  # open requests of a subject; 0: unlimited
    methods: tuple[str, ...] = ("GET", "HEAD")
    edge_name: str = "hdnts"  # of the parameter or cookie of edge-auth tokens
    edge_key: str = ""  # the key of those that name none
    floor: bool = False  # the most valued class: refused last when signatures or replay memory run short


@dataclass(slots=True)
class _Node:
    below: dict[str, _Node] = field(default_factory=dict)
    policy: Policy | None = None


def _segments(path: str) -> list[str]:
    return [segment for segment in path.split("/") if segment]


class Routes:
    """Policies by prefix."""

    def __init__(self, policies: Iterable[Policy]) -> None:
        """Raises ValueError for a prefix that is there twice."""
        self._root = _Node()
        for policy in policies:
            node = self._root
            for segment in _segments(policy.prefix):
                node = node.below.setdefault(segment, _Node())
            if node.policy is not None:
                raise ValueError(f"two policies for {policy.prefix}")
            node.policy = policy

    def find(self, path: str) -> Policy | None:
        """The policy of the longest prefix; None if no prefix holds."""
        node, found = self._root, self._root.policy
        for segment in path.split("/"):
            if not segment:
                continue
            below = node.below.get(segment)
            if below is None:
                break
            node = below
            found = node.policy or found
        return found


class PlainRoutes:
    """The same by a look at each prefix: what the trie is measured against."""

    def __init__(self, policies: Iterable[Policy]) -> None:
        """The longest first."""
        self._policies = sorted(policies, key=lambda policy: -len(_segments(policy.prefix)))

    def find(self, path: str) -> Policy | None:
        """The policy of the longest prefix; None if no prefix holds."""
        for policy in self._policies:
            prefix = policy.prefix.rstrip("/")
            if path == prefix or path.startswith(f"{prefix}/"):
                return policy
        return None

"""Weighted rendezvous hashing, the same at every router."""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import lru_cache

from stonecove.routing.endpoints import Node, NodeId
from stonecove.routing.events import RequestReceived

MAX_CACHED_ORDERS = 20_000
MASK_64_BITS = (1 << 64) - 1


def mix64(value: int) -> int:
    """Return a 64-bit hash of an integer (the finalizer of SplitMix64)."""
    value = (value + 0x9E3779B97F4A7C15) & MASK_64_BITS
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64_BITS
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64_BITS
    return value ^ (value >> 31)


def unit_hash(key: int, node_id: NodeId) -> float:
    """Return the hash of a key and a node as a number within (0, 1)."""
    return ((mix64(key ^ mix64(node_id)) >> 11) + 0.5) / (1 << 53)


def chunk_key(request: RequestReceived) -> int:
    """Return the key that selects the home cache of a chunk.

    Each chunk has its own home, or one cache would serve all chunks of a large object.
    """
    if not request.chunk_index:
        return request.object_key
    return mix64(request.object_key + mix64(request.chunk_index))


class RendezvousHash:
    """Rank some nodes for each key. Orders are cached for as long as the nodes are the same."""

    def __init__(self, nodes: Sequence[Node], weighted: bool) -> None:
        self.nodes = {node.node_id: node for node in nodes}
        self._weights = [
            (node.node_id, node.weight if weighted and node.weight > 0 else 1.0) for node in nodes
        ]
        self.order = lru_cache(MAX_CACHED_ORDERS)(self._order)

    def _order(self, key: int) -> tuple[NodeId, ...]:
        """Return the ids of all nodes, the home of the key first."""
        scores = [(math.log(unit_hash(key, node_id)) / weight, node_id) for node_id, weight in self._weights]
        return tuple(node_id for _, node_id in sorted(scores, reverse=True))

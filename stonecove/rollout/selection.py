"""Which routers a roll-out's share chooses: the same ones for everybody who asks, others for each version."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

from stonecove.rollout.messages import RolloutState, Target


def place(name: str, version: int) -> float:
    """The router's place from 0 to below 1 in the order in which it gets a version."""
    digest = hashlib.blake2b(f"{name}\0{version}".encode(), digest_size=6).digest()
    return int.from_bytes(digest, "big") / (1 << 48)


def is_chosen(target: Target, name: str) -> bool:
    """Whether the router is to have the target's version, rather than the previous one."""
    if target.state is RolloutState.ROLLING:
        return place(name, target.version) < target.share
    return target.state is RolloutState.COMPLETE


def wanted_version(target: Target, name: str) -> int:
    """The version that the router is to have in force."""
    return target.version if is_chosen(target, name) else target.previous


def share_for(wave: float, version: int, names: Iterable[str]) -> float:
    """The share of a wave, raised to the smallest that chooses anyone: no wave of a small fleet is empty."""
    first = min((place(name, version) for name in names), default=0.0)
    return max(wave, math.nextafter(first, 1.0))

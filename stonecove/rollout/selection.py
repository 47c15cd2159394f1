"""Which routers a roll-out's share selects: the same for every caller, and others for each version."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

from stonecove.rollout.messages import RolloutState, Target


def rollout_position(name: str, version: int) -> float:
    """Return the router's position, from 0 to below 1, in the order in which routers get a version."""
    digest = hashlib.blake2b(f"{name}\0{version}".encode(), digest_size=6).digest()
    return int.from_bytes(digest, "big") / (1 << 48)


def is_chosen(target: Target, name: str) -> bool:
    """Return whether the router is to apply the target's version rather than the previous one."""
    if target.state is RolloutState.ROLLING:
        return rollout_position(name, target.version) < target.share
    return target.state is RolloutState.COMPLETE


def wanted_version(target: Target, name: str) -> int:
    """Return the version that the router is to apply."""
    return target.version if is_chosen(target, name) else target.previous


def share_for(wave: float, version: int, names: Iterable[str]) -> float:
    """Return a wave's share, raised if needed to select one router: no wave of a small fleet is empty."""
    first = min((rollout_position(name, version) for name in names), default=0.0)
    return max(wave, math.nextafter(first, 1.0))

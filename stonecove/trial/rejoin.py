"""Reads from the logs of a trial's routers when each joined for the last time.

A router is joined while it acts on its full share (`gossip/shares.py`, rule 3). It logs each change of its
share, so the time does not depend on when the routers are sampled.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from stonecove.trial.processes import RouterProcess

# Time for a router to learn that it was declared failed, to query all others and to be answered: each router
# probes one failed member every lease / 4 / N seconds (20 s / 4 / 4 = 1.25 s among five), and again after
# 0.3 s.
REJOIN_TIMEOUT_S = 2.0


def joined_since(router: RouterProcess, until: float) -> float:
    """Return the Unix time since which the process, joined at `until`, has been so; infinity if it is not."""
    started_at = router.run_times[-1][0]
    joined_at = math.inf
    for line in router.lines("gossip_share_changed"):
        if not started_at <= float(line["at"]) <= until:
            continue
        if line["joined"] != "True":
            joined_at = math.inf
        elif joined_at == math.inf:
            joined_at = float(line["at"])
    return joined_at


def all_joined_since(routers: Iterable[RouterProcess], since: float, until: float) -> float | None:
    """Return the Unix time since which all, joined at `until`, have been so; None if one is not.

    The result is `since` at the earliest.
    """
    joined_at = max((joined_since(router, until) for router in routers), default=since)
    return None if joined_at == math.inf else max(since, joined_at)


def join_time_limit_s(
    expected_s: float, routers: Iterable[RouterProcess], last_fault_at: float, window_s: float
) -> float:
    """Return the seconds after the last fault within which all routers have to join.

    That is `expected_s`; but if a router learned after the fault, or less than a window before it, that
    others had declared it failed, at least rule 3's window plus the time to learn so and to query all.
    """
    suspected = any(
        float(line["at"]) >= last_fault_at - window_s
        for router in routers
        for line in router.lines("gossip_suspected")
    )
    return max(expected_s, window_s + REJOIN_TIMEOUT_S) if suspected else expected_s

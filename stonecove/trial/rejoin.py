"""Reads from the logs of a trial's routers when each was joined for good.

A router is joined while it acts on its whole share (`gossip/shares.py`, rule 3). It logs each change of its
share, so the moment is known whenever somebody looks.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from stonecove.trial.processes import RouterProcess

# Seconds in which a router learns that it was held for failed, asks all and is answered: each router asks one
# that it gave up every lease / 4 / N seconds (20 s / 4 / 4 = 1.25 s among five), and again after 0.3 s.
REJOINS_WITHIN = 2.0


def joined_for_good(router: RouterProcess, until: float) -> float:
    """Return the Unix second from which the present process was joined until then, infinity if it was not."""
    started = router.lives[-1][0]
    joined_at = math.inf
    for line in router.lines("gossip_share_changed"):
        if not started <= float(line["at"]) <= until:
            continue
        if line["joined"] != "True":
            joined_at = math.inf
        elif joined_at == math.inf:
            joined_at = float(line["at"])
    return joined_at


def all_joined_for_good(routers: Iterable[RouterProcess], since: float, until: float) -> float | None:
    """Return from when, `since` at the earliest, all were joined until then; None if one was not."""
    joined_at = max((joined_for_good(router, until) for router in routers), default=since)
    return None if joined_at == math.inf else max(since, joined_at)


def longest_rejoin(
    expected: float, routers: Iterable[RouterProcess], last_fault: float, window: float
) -> float:
    """Return the seconds after the last fault in which all have to be joined.

    That is what the trial expects, or rule 3's window and the time to learn and ask for a router that learned
    after the fault, or less than a window before it, that it was held for failed.
    """
    suspected = any(
        float(line["at"]) >= last_fault - window
        for router in routers
        for line in router.lines("gossip_suspected")
    )
    return max(expected, window + REJOINS_WITHIN) if suspected else expected

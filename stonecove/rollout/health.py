"""A router's health within windows of time, from counters that may be set back to 0 at any time."""

from __future__ import annotations

from collections.abc import Mapping

from stonecove.rollout.messages import Health

ANSWERED, REFUSED, FAILED = ("served", "unchanged"), ("refused",), ("failed",)
REPORT_STEP = 0.01  # change of the bad share that is worth a report
LEAST_REQUESTS = 20  # of a window, below which it says nothing


class HealthWindow:
    """Counts what came since the last sample."""

    def __init__(self, counts: Mapping[str, int]) -> None:
        """`counts`: the counters of answers by verdict, read at each sample."""
        self._counts = counts
        self._last = dict(counts)

    def sample(self) -> Health:
        """What came since the last sample; what came before the counters were set back is lost."""
        now = dict(self._counts)
        last, self._last = self._last, now

        def since(names: tuple[str, ...]) -> int:
            before, after = (sum(one.get(name, 0) for name in names) for one in (last, now))
            return after - before if after >= before else after

        return Health(since(ANSWERED), since(REFUSED), since(FAILED))


def worth_reporting(told: Health, found: Health) -> bool:
    """Whether another health than the one told last should be reported."""
    return found.total >= LEAST_REQUESTS and abs(found.bad_share - told.bad_share) >= REPORT_STEP

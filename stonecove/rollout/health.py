"""A router's health within time windows, from counters that may be reset at any time."""

from __future__ import annotations

from collections.abc import Mapping

from stonecove.rollout.messages import Health

ANSWERED, REFUSED, FAILED = ("served", "unchanged"), ("refused",), ("failed",)
REPORT_STEP = 0.01  # change of the unsuccessful share that is reported
MIN_REPORTED_REQUESTS = 20  # in a window; its health is not significant with fewer


class HealthWindow:
    """Counts requests since the last sample."""

    def __init__(self, counts: Mapping[str, int]) -> None:
        """Start at the present values of `counts`, the live counters of answers by verdict."""
        self._counts = counts
        self._last = dict(counts)

    def sample(self) -> Health:
        """Return the counts since the last sample; counts from before a reset of the counters are lost."""
        now = dict(self._counts)
        last, self._last = self._last, now

        def since(names: tuple[str, ...]) -> int:
            before, after = (sum(one.get(name, 0) for name in names) for one in (last, now))
            return after - before if after >= before else after

        return Health(since(ANSWERED), since(REFUSED), since(FAILED))


def should_report(reported: Health, current: Health) -> bool:
    """Return whether the current health differs enough from the one reported last."""
    return (
        current.total >= MIN_REPORTED_REQUESTS
        and abs(current.unsuccessful_share - reported.unsuccessful_share) >= REPORT_STEP
    )

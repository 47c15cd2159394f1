"""Statistics of each class of requests: the mean work, and the share that is answered."""

from __future__ import annotations

from dataclasses import dataclass, field

from stonecove.routing.in_flight import LARGEST_SIZE_TIER, InFlightRequest
from stonecove.routing.link_load import OBSERVATION_WEIGHT
from stonecove.routing.settings import ClassSettings

MIN_TIER_ANSWER_RATIO = 0.75  # each size tier is to reach this fraction of its class's answered share
MAX_MEAN_SAMPLES = 1000.0


@dataclass(slots=True)
class MeanWork:
    """The mean transfer time of a class; its latency objective until a request was observed."""

    samples: float
    mean_ms: float

    def observe(self, work_ms: float) -> None:
        """Add one request to the mean."""
        self.samples += 1
        self.mean_ms += (work_ms - self.mean_ms) / min(self.samples, MAX_MEAN_SAMPLES)


@dataclass(slots=True)
class AnsweredShares:
    """Shares of a class's requests that were answered recently, in total and by size tier."""

    overall: float = 1.0
    by_tier: list[float] = field(default_factory=lambda: [1.0] * (LARGEST_SIZE_TIER + 1))

    def record(self, tier: int, answered: bool) -> None:
        """Add one request to the moving averages."""
        self.by_tier[tier] += OBSERVATION_WEIGHT * (answered - self.by_tier[tier])
        self.overall += OBSERVATION_WEIGHT * (answered - self.overall)

    def is_starved(self, tier: int) -> bool:
        """Return whether requests of this size are answered much less often than the class's others."""
        return self.by_tier[tier] < MIN_TIER_ANSWER_RATIO * self.overall


class ClassStatistics:
    """Statistics by class index."""

    def __init__(self) -> None:
        self.mean_work: list[MeanWork] = []
        self.answered: list[AnsweredShares] = []

    def configure(self, classes: tuple[ClassSettings, ...]) -> None:
        """Adapt to other settings; earlier observations are kept."""
        observed = {index: mean for index, mean in enumerate(self.mean_work) if mean.samples}
        self.mean_work = [
            observed.get(index, MeanWork(0.0, each.latency_objective_ms))
            for index, each in enumerate(classes)
        ]
        self.answered += [AnsweredShares() for _ in classes[len(self.answered) :]]

    def record_end(self, in_flight: InFlightRequest, answered: bool) -> None:
        """Count a request as answered or not."""
        self.answered[in_flight.request.class_index].record(in_flight.size_tier, answered)

    def is_starved(self, in_flight: InFlightRequest) -> bool:
        """Return whether requests of this one's class and size are answered too rarely."""
        return self.answered[in_flight.request.class_index].is_starved(in_flight.size_tier)

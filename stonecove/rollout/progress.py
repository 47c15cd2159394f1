"""The progress of a roll-out, from the target and the live routers' reports."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from stonecove.rollout.messages import Health, Report, RolloutState, Target
from stonecove.rollout.selection import is_chosen, wanted_version


@dataclass(frozen=True, slots=True)
class Progress:
    """Counts and names of routers; names are sorted."""

    live: int
    by_version: Mapping[int, int]
    in_force: int  # routers that have applied their wanted version
    lagging: tuple[str, ...]  # have another version, and have not refused the wanted one
    refused: tuple[str, ...]  # have refused their wanted version or the target's version
    in_force_everywhere: bool


def progress_of(target: Target, reports: Mapping[str, Report]) -> Progress:
    """Return the progress of the fleet towards a target."""
    lagging, refused = [], []
    for name, report in sorted(reports.items()):
        wanted = wanted_version(target, name)
        if report.refused is not None and report.refused.version in (wanted, target.version):
            refused.append(name)
        elif report.in_force != wanted:
            lagging.append(name)
    in_force = sum(report.in_force == wanted_version(target, name) for name, report in reports.items())
    return Progress(
        live=len(reports),
        by_version=dict(sorted(Counter(report.in_force for report in reports.values()).items())),
        in_force=in_force,
        lagging=tuple(lagging),
        refused=tuple(refused),
        in_force_everywhere=target.state is RolloutState.COMPLETE and in_force == len(reports),
    )


@dataclass(frozen=True, slots=True)
class Wave:
    """The results that the routers selected by a rolling target have reported in its round."""

    chosen: int
    settled: int  # applied, with the health of a complete window reported
    refused: int
    health: Health  # of the settled routers

    @classmethod
    def of(cls, target: Target, reports: Mapping[str, Report]) -> Wave:
        """Return the counts over the reports."""
        chosen = settled = refused = 0
        health = Health()
        for name, report in reports.items():
            if not is_chosen(target, name):
                continue
            chosen += 1
            if report.round != target.round:
                continue
            if report.refused is not None and report.refused.version == target.version:
                refused += 1
            elif report.in_force == target.version and report.settled:
                settled += 1
                health += report.health
        return cls(chosen, settled, refused, health)


def health_of(reports: Mapping[str, Report]) -> Health:
    """Return the sum of the health that all routers reported last."""
    return sum((report.health for report in reports.values()), Health())

"""Runs soaks of many seeds, several at once; a failing one is played again alone and made smaller."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path

from stonecove.soak.judge import BrokenRule, SoakVerdict, judge_soak
from stonecove.soak.plan import SoakPlan, draw_plan
from stonecove.soak.play import SoakTestbed
from stonecove.trial.testbed import TrialError


@dataclass(slots=True)
class Reduction:
    """What is left of a failing seed: whether it failed again alone, and the troubles that it needs."""

    verdict: SoakVerdict
    troubles: list[str] = field(default_factory=list)
    plays: int = 0

    @property
    def failed_again(self) -> bool:
        """Return whether the seed failed when it was played alone."""
        return bool(self.verdict.broken)


def play_plan(plan: SoakPlan, folder: Path | None = None) -> SoakVerdict:
    """Play one plan and judge it; what can't be played counts as a broken rule."""
    with tempfile.TemporaryDirectory(prefix="stonecove-soak-") as temporary:
        testbed = SoakTestbed(plan, folder or Path(temporary))
        try:
            return judge_soak(testbed.play_soak())
        except TrialError as error:
            return SoakVerdict(plan.seed, [BrokenRule("ready", 0.0, str(error))])
        finally:
            testbed.close()


def play_seed(seed: int, seconds: float) -> SoakVerdict:
    """Play the plan of a seed."""
    return play_plan(draw_plan(seed, seconds))


def play_seeds(seeds: Iterable[int], seconds: float, jobs: int) -> Iterator[SoakVerdict]:
    """Play seeds, so many at once in processes of their own; yields verdicts as they come."""
    with ProcessPoolExecutor(jobs, get_context("spawn"), max_tasks_per_child=1) as pool:
        playing = [pool.submit(play_seed, seed, seconds) for seed in seeds]
        for one in as_completed(playing):
            yield one.result()


def reduce_seed(seed: int, seconds: float, play: Callable[[SoakPlan], SoakVerdict] = play_plan) -> Reduction:
    """Play a failing seed again alone; take troubles out one by one while it breaks the same rule."""
    plan = draw_plan(seed, seconds)
    found = Reduction(play(plan), [one.summary() for one in plan.troubles], 1)
    if not found.failed_again:
        return found
    rules = {one.rule for one in found.verdict.broken}
    place = len(plan.troubles) - 1
    while place >= 0:
        smaller = plan.without(place)
        verdict = play(smaller)
        found.plays += 1
        if rules & {one.rule for one in verdict.broken}:
            plan, found.verdict = smaller, verdict
        place -= 1
    found.troubles = [one.summary() for one in plan.troubles]
    return found

"""Runs soaks of many seeds in parallel; reruns a failing seed alone and reduces its plan."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path

from stonecove.soak.judge import SoakVerdict, SoakViolation, judge_soak
from stonecove.soak.plan import SoakPlan, draw_plan
from stonecove.soak.testbed import SoakTestbed
from stonecove.trial.testbed import TrialError


@dataclass(slots=True)
class Reduction:
    """The result of reducing a failing seed: the last failing verdict and the faults that it needs."""

    verdict: SoakVerdict
    faults: list[str] = field(default_factory=list)
    run_count: int = 0

    @property
    def failed_again(self) -> bool:
        """Return whether the seed failed when it ran alone."""
        return bool(self.verdict.violations)


def run_plan(plan: SoakPlan, folder: Path | None = None) -> SoakVerdict:
    """Run one plan and judge it; a TrialError counts as a violation of the rule `ready`."""
    with tempfile.TemporaryDirectory(prefix="stonecove-soak-") as temporary:
        testbed = SoakTestbed(plan, folder or Path(temporary))
        try:
            return judge_soak(testbed.run_soak())
        except TrialError as error:
            return SoakVerdict(plan.seed, [SoakViolation("ready", 0.0, str(error))])
        finally:
            testbed.close()


def run_seed(seed: int, duration_s: float) -> SoakVerdict:
    """Run the plan of a seed."""
    return run_plan(draw_plan(seed, duration_s))


def run_seeds(seeds: Iterable[int], duration_s: float, jobs: int) -> Iterator[SoakVerdict]:
    """Run seeds in up to `jobs` processes at once; yield verdicts in order of completion."""
    with ProcessPoolExecutor(jobs, get_context("spawn"), max_tasks_per_child=1) as pool:
        futures = [pool.submit(run_seed, seed, duration_s) for seed in seeds]
        for future in as_completed(futures):
            yield future.result()


def reduce_seed(seed: int, duration_s: float, run: Callable[[SoakPlan], SoakVerdict] = run_plan) -> Reduction:
    """Rerun a failing seed alone; remove each fault without which it still violates one of the rules."""
    plan = draw_plan(seed, duration_s)
    reduction = Reduction(run(plan), [fault.summary() for fault in plan.faults], 1)
    if not reduction.failed_again:
        return reduction
    rules = {violation.rule for violation in reduction.verdict.violations}
    index = len(plan.faults) - 1
    while index >= 0:
        reduced_plan = plan.without(index)
        verdict = run(reduced_plan)
        reduction.run_count += 1
        if rules & {violation.rule for violation in verdict.violations}:
            plan, reduction.verdict = reduced_plan, verdict
        index -= 1
    reduction.faults = [fault.summary() for fault in plan.faults]
    return reduction

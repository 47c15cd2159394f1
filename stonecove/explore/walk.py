"""Seeded random walks, for state spaces too large for exhaustive search."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stonecove.explore.scope import ALL_FAULTS, FAULT_FREE_ANSWERS, Scope
from stonecove.explore.search import SETTLE, Found, Start

# Weight of a step by its action, the first part of its name. Faults are rare, so that many other steps come
# between them.
WEIGHTS = {
    "ask": 6.0,
    "up": 8.0,
    "hit": 6.0,
    "filled": 6.0,
    "flush": 3.0,
    "rest": 3.0,
    "unstall": 2.0,
    "mend": 2.0,
    "relief": 2.0,
    "wait": 2.0,
    "fire": 6.0,
    "decide": 8.0,
    "end": 8.0,
    "notup": 8.0,
}
FAULT_WEIGHT = 0.12
ANSWER_WEIGHT = 0.8


@dataclass
class Walks:
    """Totals and violations of a series of walks."""

    walks: int = 0
    steps: int = 0
    # Number of steps taken, by action.
    steps_by_action: dict[str, int] = field(default_factory=dict)
    found: list[Found] = field(default_factory=list)


def weight(step: str) -> float:
    """Return the relative probability of a step."""
    action = step.partition(" ")[0]
    if action in WEIGHTS:
        return WEIGHTS[action]
    return (
        FAULT_WEIGHT
        if action.rstrip("0123456789") in ALL_FAULTS
        else ANSWER_WEIGHT
        if action not in FAULT_FREE_ANSWERS
        else 1.0
    )


def walk(start: Start, scope: Scope, seed: int, max_steps: int, totals: Walks) -> None:
    """Walk at most `max_steps` random steps, settle the machine, and add the result to `totals`."""
    rng = random.Random(seed)
    machine = start()
    taken: list[str] = []
    totals.walks += 1
    while len(taken) < max_steps and not machine.violations:
        steps = machine.enabled()
        if not steps:
            break
        step = rng.choices(steps, list(map(weight, steps)))[0]
        taken.append(step)
        machine.do(step)
        action = step.partition(" ")[0]
        totals.steps_by_action[action] = totals.steps_by_action.get(action, 0) + 1
    if not machine.violations:
        taken.append(SETTLE)
        machine.settle()
    totals.steps += len(taken)
    if machine.violations:
        totals.found.append(Found(tuple(taken), machine.violations[0]))

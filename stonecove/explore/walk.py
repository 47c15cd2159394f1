"""Seeded random walks, beyond the bounds of what can be explored whole."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stonecove.explore.scope import ALL_FAULTS, FREE, Scope
from stonecove.explore.search import SETTLE, Found, Start

# How likely a step is to be taken, by its first word; faults are rare, so that much happens between them.
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
FAULT = 0.12
ANSWER = 0.8


@dataclass
class Walks:
    """What walks have come to."""

    walks: int = 0
    steps: int = 0
    words: dict[str, int] = field(
        default_factory=dict
    )  # by the first word of the step: how often it was taken
    found: list[Found] = field(default_factory=list)


def weight(step: str) -> float:
    """How likely a step is against the others."""
    word = step.partition(" ")[0]
    if word in WEIGHTS:
        return WEIGHTS[word]
    return FAULT if word.rstrip("0123456789") in ALL_FAULTS else ANSWER if word not in FREE else 1.0


def walk(start: Start, scope: Scope, seed: int, most: int, done: Walks) -> None:
    """One walk of at most so many steps, then all is let settle."""
    chooser = random.Random(seed)
    machine = start()
    taken: list[str] = []
    done.walks += 1
    while len(taken) < most and not machine.violations:
        names = machine.enabled()
        if not names:
            break
        step = chooser.choices(names, list(map(weight, names)))[0]
        taken.append(step)
        machine.do(step)
        word = step.partition(" ")[0]
        done.words[word] = done.words.get(word, 0) + 1
    if not machine.violations:
        taken.append(SETTLE)
        machine.settle()
    done.steps += len(taken)
    if machine.violations:
        done.found.append(Found(tuple(taken), machine.violations[0]))

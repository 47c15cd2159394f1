"""Counterexamples: shrinking, description of steps, storage as JSON, and replay."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, NamedTuple

from stonecove.explore import seeds
from stonecove.explore.machine import Machine, Violation
from stonecove.explore.properties import PROPERTIES
from stonecove.explore.scope import ANSWERS, Scope
from stonecove.explore.search import SETTLE, Start, Steps
from stonecove.explore.simulation import START_S, Simulation

FORMAT = 1
_STEP_DESCRIPTIONS = {
    "ask": "client: request {0} ({cls}) comes in",
    "abort": "client: aborts request {0}",
    "retry": "client: asks again for request {0}",
    "leave": "client: the connection is closed",
    "stall": "client: takes in nothing",
    "unstall": "client: reads again",
    "up": "{0}: the connection is up",
    "refuse": "{0}: the connection is refused",
    "never": "{0}: the connection will never come up",
    "lack": "{0}: no descriptor for the connection",
    "reset": "{0}: resets the connection",
    "hangup": "{0}: closes the connection",
    "choke0": "{0}: takes no byte more",
    "choke20": "{0}: takes 20 bytes more",
    "flush": "{0}: takes bytes again",
    "second": "{0}: answers request {1} a second time",
    "stray": "{0}: an answer to an id that nobody asked",
    "spoil": "{0}: an answer to request {1} that can't be read",
    "half": "{0}: half an answer to request {1}, then a reset",
    "trickle": "{0}: half an answer to request {1}",
    "rest": "{0}: the rest of the answer",
    "drain": "list: {0} is draining",
    "gone": "list: {0} is gone",
    "replace": "list: {0} is gone, a new node has its address",
    "restart": "list: {0} has started anew",
    "back": "list: {0} is ready again",
    "join": "list: a new cache",
    "purge": "list: the object is purged",
    "purgeall": "list: the group is purged",
    "cut": "change log: the connection breaks",
    "mend": "change log: connected again, tells what was missed",
    "repeat": "change log: tells the last event again",
    "gap": "change log: the next event comes under a number too high",
    "term": "router: SIGTERM",
    "reload": "router: a new configuration allows one connection",
    "nomem": "router: the memory budget is used up",
    "nocpu": "router: over its share of CPU",
    "nolinks": "router: no descriptors for more connections",
    "relief": "router: the limits are as before",
    "wait": "time passes to the next alarm",
    "fire": "router: the alarms that are due are run",
    "decide": "router: decides what waits",
    "end": "router: notices the end of {0}",
    "notup": "router: gives up connecting {0}",
    "endsession": "router: ends the client connection",
    "expire": "router: ends all that is open",
    SETTLE: "everybody falls silent, and time passes until all is quiet",
}


class ReplayedStep(NamedTuple):
    """A replayed step with its time and description."""

    at_ms: float  # since the start
    step: str
    text: str


@dataclass(frozen=True)
class Trace:
    """Steps that violate a property, with everything needed to replay them."""

    scope: Scope
    steps: Steps
    prop: str
    why: str
    seed: str = ""

    def to_json(self) -> str:
        """Return the trace as JSON; equal traces give equal text."""
        table = {
            "format": FORMAT,
            "scope": asdict(self.scope),
            "seed": self.seed,
            "steps": list(self.steps),
            "property": self.prop,
            "why": self.why,
        }
        return json.dumps(table, indent=1) + "\n"

    @classmethod
    def from_json(cls, text: str) -> Trace:
        """Parse a trace; raises ValueError with the reason."""
        try:
            table: dict[str, Any] = json.loads(text)
            if table["format"] != FORMAT:
                raise ValueError(f"format {table['format']}, not {FORMAT}")
            fields = {
                name: tuple(value) if isinstance(value, list) else value
                for name, value in table["scope"].items()
            }
            scope: Any = Scope
            return cls(
                scope(**fields),
                tuple(table["steps"]),
                str(table["property"]),
                str(table["why"]),
                str(table.get("seed", "")),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"no trace: {error!r}") from error

    @classmethod
    def read(cls, path: Path) -> Trace:
        """Read a file; raises ValueError or OSError."""
        return cls.from_json(path.read_text())

    def start(self) -> Start:
        """Plant the trace's fault and return a function that starts its simulation."""
        return simulation_start(self.scope, self.seed)

    def play(self) -> tuple[list[ReplayedStep], list[Violation]]:
        """Replay the steps as far as possible; return the steps taken and the violations at the end."""
        machine = self.start()()
        assert isinstance(machine, Simulation)
        replayed = []
        for step in self.steps:
            if step != SETTLE and step not in machine.enabled():
                break
            replayed.append(
                ReplayedStep(round(machine.now_ms - START_S * 1000.0, 3), step, describe_step(machine, step))
            )
            if step == SETTLE:
                machine.settle()
            else:
                machine.do(step)
            if machine.violations:
                break
        return replayed, machine.violations

    def format_report(self) -> str:
        """Return the replayed trace as text for an operator."""
        replayed, violations = self.play()
        prop = PROPERTIES[self.prop]
        lines = [f"{self.prop}: {prop.text} ({prop.source})"]
        if self.seed:
            lines.append(f"with the seeded fault {self.seed}")
        lines += [f"{step.at_ms:9.1f} ms  {step.text}" for step in replayed]
        lines += [f"           broken: {violation.prop}: {violation.why}" for violation in violations]
        if not violations:
            lines.append("           nothing is broken")
        return "\n".join(lines)


def simulation_start(scope: Scope, seed: str = "") -> Start:
    """Plant the fault `seed` in this process and return a function that starts a simulation of the scope."""
    seeds.plant(seed)

    def start() -> Machine:
        return Simulation(scope)

    return start


def describe_step(simulation: Simulation, step: str) -> str:
    """Return the description of a step."""
    action, _, rest = step.partition(" ")
    args = rest.split()
    if action in ANSWERS:
        code, note = ANSWERS[action]
        return f"{args[0]}: answers request {args[1]} with {code}{f', {note}' if note else ''}"
    index = int(args[0]) if args and args[0].isdigit() else -1
    cls = simulation.requests[index][0] if 0 <= index < len(simulation.requests) else ""
    return _STEP_DESCRIPTIONS.get(action, action).format(*args, cls=cls)


def shrink(start: Start, steps: Steps, prop: str) -> Steps:
    """Return the fewest steps found that violate the same property.

    Removes halves, then smaller parts down to single steps (Zeller and Hildebrandt, "Simplifying and
    isolating failure-inducing input", 2002). Steps that can't be taken are skipped.
    """

    def violating_steps(candidate: Steps) -> Steps | None:
        taken = replay_possible_steps(start, candidate, prop)
        return taken

    best = violating_steps(steps) or steps
    size = max(1, len(best) // 2)
    while size:
        index = 0
        while index < len(best):
            shorter = violating_steps(best[:index] + best[index + size :])
            if shorter is not None and len(shorter) < len(best):
                best = shorter
            else:
                index += size
        size //= 2
    return best


def replay_possible_steps(start: Start, steps: Steps, prop: str) -> Steps | None:
    """Take the steps that can be taken; return those that led to a violation of the property, or None."""
    machine = start()
    taken: list[str] = []
    for step in steps:
        if step != SETTLE and step not in machine.enabled():
            continue
        taken.append(step)
        if step == SETTLE:
            machine.settle()
        else:
            machine.do(step)
        if machine.violations:
            return tuple(taken) if machine.violations[0].prop == prop else None
    return None

"""All hollow routers of a scale run, over their processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from stonecove.scale.child import Child, ask_all
from stonecove.scale.configuration import Applied
from stonecove.scale.ledger import Life
from stonecove.scale.results import ControlCost

MODULE = "stonecove.scale.hollow_process"


@dataclass(frozen=True, slots=True)
class FleetSample:
    """What all hollow routers together have spent by a moment."""

    cpu: float  # seconds
    cpu_alone: float  # seconds, of the one that has a process to itself
    memory_mb: float  # beyond what their processes had without them
    received: int
    sent: int
    headers: int
    heard: int  # routers whose control machine has said something
    bugs: tuple[str, ...]
    events: Counter[str]  # lines of their logs so far

    def cost_since(self, before: FleetSample, routers: int, seconds: float) -> ControlCost:
        """What one router spent since an earlier sample."""
        share = routers * seconds
        return ControlCost(
            (self.received - before.received) / share,
            (self.sent - before.sent) / share,
            (self.headers - before.headers) / share,
            100.0 * (self.cpu - before.cpu) / share,
            self.memory_mb / routers,
            100.0 * (self.cpu_alone - before.cpu_alone) / seconds,
        )


class HollowFleet:
    """All hollow processes. Ends all that it started by `close`."""

    def __init__(
        self, folder: Path, shared: dict[str, Any], routers: dict[int, dict[str, Any]], per_process: int
    ) -> None:
        """`shared`: the configuration; `routers`: what is different of each, by its number.

        Starts the processes, without routers.
        """
        self._folder, self._shared, self._routers = folder, shared, routers
        numbers = sorted(routers)
        # The first has a process to itself: many that share one share its turns of the loop as well.
        self._parts = [numbers[:1]]
        self._parts += [numbers[at : at + per_process] for at in range(1, len(numbers), per_process)]
        self._children: list[Child] = []
        self._idle_mb = 0.0
        try:
            for place in range(len(self._parts)):
                self._children.append(Child(MODULE, folder / f"hollow-{place}.log"))
        except BaseException:
            self.close()
            raise

    def __len__(self) -> int:
        return len(self._routers)

    @property
    def pids(self) -> list[int]:
        """Of all processes."""
        return [child.pid for child in self._children]

    @property
    def routers(self) -> set[int]:
        """The numbers of all."""
        return set(self._routers)

    def start_all(self) -> None:
        """Tells each process its routers, which start at once."""
        self._idle_mb = sum(answer["memory_mb"] for answer in ask_all(self._children, "idle"))
        for child, part in zip(self._children, self._parts, strict=True):
            child.tell("routers", shared=self._shared, routers={n: self._routers[n] for n in part})
        for child in self._children:
            child.hear()

    def start(self, routers: set[int], within: float) -> None:
        """Starts these routers anew, spread over so many seconds."""
        for child, part in zip(self._children, self._parts, strict=True):
            if mine := [number for number in part if number in routers]:
                child.tell("start", routers=mine, within=within)

    def kill(self, routers: set[int]) -> None:
        """Ends these routers, as if their processes were killed."""
        for child, part in zip(self._children, self._parts, strict=True):
            if mine := [number for number in part if number in routers]:
                child.tell("kill", routers=mine)

    def behind(self, number: int) -> int:
        """How many routers lack an event, those that don't run among them."""
        return sum(answer["behind"] for answer in ask_all(self._children, "level", number=number))

    def applied(self) -> list[Applied]:
        """Changes of settings that were put in force by the routers that run."""
        answers = ask_all(self._children, "applied")
        return [Applied(*one) for answer in answers for one in answer["applied"]]

    def sample(self) -> FleetSample:
        """What all have spent so far."""
        answers = ask_all(self._children, "sample")

        def total(name: str) -> int:
            return sum(answer[name] for answer in answers)

        bugs = tuple(bug for answer in answers for bug in answer["bugs"])
        events = sum((Counter(answer["events"]) for answer in answers), Counter[str]())
        memory = total("memory_mb") - self._idle_mb
        return FleetSample(total("cpu"), answers[0]["cpu"], memory, total("received"), total("sent"),
                           total("headers"), total("heard"), bugs, events)  # fmt: skip

    def lives(self) -> list[Life]:
        """The ledgers of all lives of all routers."""
        found = []
        for place, child in enumerate(self._children):
            path = self._folder / f"ledgers-{place}"
            heads = child.ask("ledgers", path=str(path))["lives"]
            found += _lives(heads, path)
            path.unlink()
        return found

    def close(self) -> None:
        """Ends all processes."""
        for child in self._children:
            child.close()


def _lives(heads: Iterable[list[int]], path: Path) -> list[Life]:
    """What a process has written; see `HollowProcess.write_ledgers`."""
    moments, at, found = np.fromfile(path, dtype=np.int64), 0, []
    for router, last, began, ended, repeated, count in heads:
        found.append(Life(router, last, began, ended, repeated, moments[at : at + count]))
        at += count
    return found

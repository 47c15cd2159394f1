"""The order in which states are played: level by level on all cores, or in depth on one.

Breadth first, a level is shared out by chunks, and what comes back is merged in the order in which one
process would have found it: states, transitions and traces are the same for any number of processes. A
frontier entry is the list of steps that leads there; a worker takes them again once, and copies the state for
each step that follows. Sleep sets (Godefroid, "Partial-Order Methods", 1996, chapter 5) save transitions that
would only close a diamond; they leave out no state, which the tests check by playing with and without.
"""

from __future__ import annotations

import gc
import hashlib
import multiprocessing
import os
import pickle
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from stonecove.explore.copying import DeepCopy, Pickle, Replay, Way
from stonecove.explore.fingerprint import fingerprint
from stonecove.explore.machine import Machine, Violation, independent
from stonecove.explore.visited import FingerprintSet, PlainSet, Visited

Steps = tuple[str, ...]
CHUNK = 24  # frontier entries that a worker is handed at a time
SETTLE = "settle"  # the last step of a trace whose violation shows only when all is let go on
NOTHING: frozenset[str] = frozenset()


class Entry(NamedTuple):
    """A state to be expanded: how to get there, which of its steps, and those that need not be taken."""

    steps: Steps
    todo: Steps | None = None
    sleep: frozenset[str] = NOTHING


class Next(NamedTuple):
    """What a step led to."""

    step: str
    print: int
    sleep: frozenset[str]


class Expanded(NamedTuple):
    """All that came of an entry."""

    nexts: list[Next]
    broken: list[tuple[Steps, Violation]]
    transitions: int
    settled: int


class Found(NamedTuple):
    """A violation, and the steps that lead to it."""

    steps: Steps
    violation: Violation


@dataclass
class Result:
    """What an exploration has come to."""

    states: int = 0
    transitions: int = 0
    depth: int = 0
    settled: int = 0
    seconds: float = 0.0
    bytes_visited: int = 0
    complete: bool = True
    found: list[Found] = field(default_factory=list)

    def add(self, other: Result) -> None:
        """Takes in the result of another scope."""
        self.states += other.states
        self.transitions += other.transitions
        self.settled += other.settled
        self.seconds += other.seconds
        self.depth = max(self.depth, other.depth)
        self.bytes_visited += other.bytes_visited
        self.complete &= other.complete
        self.found += other.found


@dataclass(frozen=True)
class Options:
    """How to search."""

    reduce: bool = True
    copying: str = "pickle"  # pickle, deepcopy, replay
    plain_set: bool = False
    stop_at_first: bool = False
    most_seconds: float = float("inf")
    save: Path | None = None
    save_every: float = 20.0  # seconds between two saved frontiers


Start = Callable[[], Machine]


def replay(start: Start, steps: Steps) -> Machine:
    """The machine after these steps, of which the last may be to let it settle."""
    machine = start()
    for step in steps:
        if step == SETTLE:
            machine.settle()
        else:
            machine.do(step)
    return machine


def _way(kind: str, start: Start) -> Way:
    return Replay(start) if kind == "replay" else DeepCopy() if kind == "deepcopy" else Pickle()


class Expander:
    """Expands entries; one a process."""

    def __init__(self, start: Start, depth: int, reduce: bool, copying: str) -> None:
        self._start, self._depth, self._reduce = start, depth, reduce
        self._way = _way(copying, start)
        self._settled: set[int] = set()  # states of the last depth that were let settle by this process

    def expand(self, entry: Entry) -> Expanded:
        """Takes each step of the entry's state that is to be taken; at the last depth, lets it settle."""
        machine = replay(self._start, entry.steps)
        names = machine.enabled()
        last = len(entry.steps) + 1 >= self._depth
        settled = 0
        if not names:
            machine.settle()
            broken = [((*entry.steps, SETTLE), violation) for violation in machine.violations[:1]]
            return Expanded([], broken, 0, 1)
        todo = [
            name for name in names if name not in entry.sleep and (entry.todo is None or name in entry.todo)
        ]
        touches = {name: machine.touches(name) for name in names} if self._reduce else {}
        self._way.keep(machine, entry.steps)
        nexts, broken, done = [], [], set(entry.sleep)
        for place, name in enumerate(todo):
            after = self._way.back() if place < len(todo) - 1 else machine
            after.do(name)
            if after.violations:
                broken.append(((*entry.steps, name), after.violations[0]))
            else:
                mine = touches.get(name)
                sleep = frozenset(other for other in done if independent(touches.get(other), mine))
                nexts.append(Next(name, fingerprint(after.encode()), sleep))
                if last and nexts[-1].print not in self._settled:
                    self._settled.add(nexts[-1].print)
                    settled += 1
                    after.settle()
                    broken += [
                        ((*entry.steps, name, SETTLE), violation) for violation in after.violations[:1]
                    ]
            done.add(name)
        return Expanded(nexts, broken, len(todo), settled)


class Setup(NamedTuple):
    """What a worker has to know of an exploration. `make(*args)` gives what starts the machine."""

    make: Callable[..., Start]
    args: tuple[Any, ...]
    depth: int
    reduce: bool = True
    copying: str = "pickle"


_present: tuple[Setup, Expander] | None = None


def _expand_all(job: tuple[Setup, list[Entry]]) -> list[Expanded]:
    """Expands some entries; the worker keeps its expander for as long as the exploration is the same."""
    global _present
    setup, entries = job
    if _present is None or _present[0] != setup:
        gc.set_threshold(20_000, 20, 50)
        _present = setup, Expander(setup.make(*setup.args), setup.depth, setup.reduce, setup.copying)
    return [_present[1].expand(entry) for entry in entries]


class WorkerPool:
    """The processes that expand states; with one, no process is started. Leaving the context ends them."""

    def __init__(self, processes: int = 1) -> None:
        self.processes = processes
        self._pool = multiprocessing.get_context("spawn").Pool(processes) if processes > 1 else None

    def expand(self, setup: Setup, entries: list[Entry]) -> Iterator[list[Expanded]]:
        """The expansions of the entries, in their order."""
        jobs = ((setup, some) for some in _chunks(entries))
        return self._pool.imap(_expand_all, jobs) if self._pool else map(_expand_all, jobs)

    def __enter__(self) -> WorkerPool:
        return self

    def __exit__(self, *error: object) -> None:
        if self._pool:
            self._pool.terminate()
            self._pool.join()


def _chunks(entries: list[Entry]) -> Iterator[list[Entry]]:
    for at in range(0, len(entries), CHUNK):
        yield entries[at : at + CHUNK]


class SavedError(Exception):
    """A saved frontier that can't be gone on from."""


class Frontier:
    """What is known between two levels; all that a later run needs to go on."""

    def __init__(self, visited: Visited) -> None:
        self.visited = visited
        self.sleeping: dict[int, frozenset[str]] = {}
        self.entries: list[Entry] = []
        self.result = Result()

    def merge(self, level: list[Entry], expanded: list[Expanded], depth: int) -> None:
        """Takes in what came of a level, in the order of its entries; what is at the last depth goes no
        further.

        A state of the last depth may have been let settle by several processes, the first that reaches it in
        this order always: so what is found first does not depend on their number.
        """
        arrivals: list[tuple[Entry, Next]] = []
        for entry, one in zip(level, expanded, strict=True):
            self.result.transitions += one.transitions
            self.result.settled += one.settled
            self.result.found += [Found(*broken) for broken in one.broken]
            arrivals += [(entry, after) for after in one.nexts]
        self.entries = []
        if not arrivals:
            return
        fresh = self.visited.add(
            np.fromiter((after.print for _, after in arrivals), np.uint64, len(arrivals))
        )
        new: dict[int, tuple[Steps, frozenset[str]]] = {}
        again: dict[int, tuple[Steps, frozenset[str]]] = {}
        for (entry, after), is_new in zip(arrivals, fresh.tolist(), strict=True):
            steps = (*entry.steps, after.step)
            if is_new:
                new[after.print] = steps, after.sleep
            elif after.print in new:
                new[after.print] = new[after.print][0], new[after.print][1] & after.sleep
            elif (slept := self.sleeping.get(after.print)) and not slept <= after.sleep:
                before = again.get(after.print, (steps, slept))
                again[after.print] = before[0], before[1] & after.sleep
        self.result.states = len(self.visited)
        if new and len(next(iter(new.values()))[0]) >= depth:
            self.result.depth = depth
            return
        for at, (steps, sleep) in new.items():
            if sleep:
                self.sleeping[at] = sleep
            self.entries.append(Entry(steps, None, sleep))
        for at, (steps, left) in again.items():
            slept = self.sleeping[at]
            self.entries.append(Entry(steps, tuple(sorted(slept - left)), left))
            self.sleeping[at] = left

    def save(self, path: Path, key: str) -> None:
        """Writes it so that a crash at any moment leaves the old file or the new one."""
        runs = self.visited.runs() if isinstance(self.visited, FingerprintSet) else []
        body = pickle.dumps((key, runs, self.sleeping, self.entries, self.result))
        part = path.with_suffix(path.suffix + ".part")
        with open(part, "wb") as file:
            file.write(hashlib.blake2b(body, digest_size=16).digest() + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, path)

    @classmethod
    def load(cls, path: Path, key: str) -> Frontier:
        """Reads it; raises SavedError if it is torn or of another exploration."""
        data = path.read_bytes()
        if hashlib.blake2b(data[16:], digest_size=16).digest() != data[:16]:
            raise SavedError(f"{path} is torn: its check sum does not hold")
        found, runs, sleeping, entries, result = pickle.loads(data[16:])
        if found != key:
            raise SavedError(f"{path} is of another exploration: {found}, not {key}")
        made = cls(FingerprintSet.of(runs))
        made.sleeping, made.entries, made.result = sleeping, entries, result
        return made


def breadth_first(
    pool: WorkerPool,
    make: Callable[..., Start],
    args: tuple[Any, ...],
    depth: int,
    options: Options,
    key: str = "",
    progress: Callable[[Result, int], None] | None = None,
) -> Result:
    """Explores all states within so many steps.

    `make(*args)` gives the function that starts the machine; it is called in each process, so that what it
    does to the loaded code holds there, too. `key` names the exploration in a saved frontier.
    """
    began = time.monotonic()
    save = options.save
    if save is not None and save.exists():
        front = Frontier.load(save, key)
    else:
        start = make(*args)
        front = Frontier(PlainSet() if options.plain_set else FingerprintSet())
        front.visited.add(np.array([fingerprint(start().encode())], np.uint64))
        front.entries = [Entry(())]
        front.result.states = 1
    spent = front.result.seconds
    saved_at = began
    setup = Setup(make, args, depth, options.reduce, options.copying)
    while front.entries:
        level, expanded = front.entries, []
        for some in pool.expand(setup, level):
            expanded += some
            if time.monotonic() - began > options.most_seconds:
                break
        front.result.seconds = spent + time.monotonic() - began
        if len(expanded) < len(level):
            front.result.complete = False
            front.merge(level[: len(expanded)], expanded, depth)
            break
        front.result.depth = max(front.result.depth, max(len(entry.steps) for entry in level))
        front.merge(level, expanded, depth)
        front.result.bytes_visited = front.visited.nbytes()
        if progress:
            progress(front.result, len(front.entries))
        if save is not None and time.monotonic() - saved_at >= options.save_every:
            front.save(save, key)
            saved_at = time.monotonic()
        if options.stop_at_first and front.result.found:
            break
    front.result.seconds = spent + time.monotonic() - began
    if (
        save is not None and front.result.complete
    ):  # an empty frontier: a later run has nothing left to do here
        front.save(save, key)
    return front.result


def depth_first(start: Start, depth: int, copying: str = "pickle", stop_at_first: bool = False) -> Result:
    """Explores the same states in depth; a state that is reached by fewer steps is expanded again."""
    began = time.monotonic()
    result, best = Result(), {}
    expander = Expander(start, depth, False, copying)
    best[fingerprint(start().encode())] = 0
    stack = [Entry(())]
    while stack and not (stop_at_first and result.found):
        entry = stack.pop()
        expanded = expander.expand(entry)
        result.transitions += expanded.transitions
        result.settled += expanded.settled
        result.found += [Found(*broken) for broken in expanded.broken]
        result.depth = max(result.depth, len(entry.steps))
        for after in reversed(expanded.nexts):
            length = len(entry.steps) + 1
            if best.get(after.print, depth + 1) > length:
                best[after.print] = length
                if length < depth:
                    stack.append(Entry((*entry.steps, after.step)))
    result.states = len(best)
    result.seconds = time.monotonic() - began
    return result

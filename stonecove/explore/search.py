"""Search order of states: breadth first on all cores, or depth first on one.

Breadth first, a level is distributed in chunks, and the results are merged in the order in which one process
would have found them: states, transitions and traces are the same for any number of processes. A frontier
entry is the list of steps that leads to a state; a worker replays them once and copies the state for each
step that follows. Sleep sets (Godefroid, "Partial-Order Methods", 1996, chapter 5) save transitions that
would only close a diamond; they leave out no state, which the tests check by running with and without them.
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

from stonecove.explore.copying import DeepCopy, Pickle, Replay, Restorer
from stonecove.explore.fingerprint import fingerprint
from stonecove.explore.machine import Machine, Violation, independent
from stonecove.explore.visited import FingerprintSet, PlainSet, Visited

Steps = tuple[str, ...]
CHUNK_SIZE = 24  # frontier entries that a worker receives at a time
SETTLE = "settle"  # the last step of a trace whose violation shows only once the machine settles
NO_STEPS: frozenset[str] = frozenset()


class Entry(NamedTuple):
    """A state to expand: the steps that lead to it, the steps to take, and those that need not be taken."""

    steps: Steps
    todo: Steps | None = None
    sleep: frozenset[str] = NO_STEPS


class Successor(NamedTuple):
    """The state that a step led to."""

    step: str
    fingerprint: int
    sleep: frozenset[str]


class Expansion(NamedTuple):
    """The result of expanding an entry."""

    successors: list[Successor]
    violations: list[tuple[Steps, Violation]]
    transitions: int
    settled: int


class Found(NamedTuple):
    """A violation, and the steps that lead to it."""

    steps: Steps
    violation: Violation


@dataclass
class Result:
    """Totals and violations of an exploration."""

    states: int = 0
    transitions: int = 0
    depth: int = 0
    settled: int = 0
    seconds: float = 0.0
    bytes_visited: int = 0
    complete: bool = True
    found: list[Found] = field(default_factory=list)

    def add(self, other: Result) -> None:
        """Add the result of another scope."""
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
    """Search options."""

    reduce: bool = True
    copying: str = "pickle"  # pickle, deepcopy, replay
    plain_set: bool = False
    stop_at_first: bool = False
    max_duration_s: float = float("inf")
    save: Path | None = None
    save_interval_s: float = 20.0  # between two saved frontiers


Start = Callable[[], Machine]


def replay(start: Start, steps: Steps) -> Machine:
    """Return the machine after these steps, of which the last may be SETTLE."""
    machine = start()
    for step in steps:
        if step == SETTLE:
            machine.settle()
        else:
            machine.do(step)
    return machine


def _make_restorer(kind: str, start: Start) -> Restorer:
    return Replay(start) if kind == "replay" else DeepCopy() if kind == "deepcopy" else Pickle()


class Expander:
    """Expands entries; each process has one."""

    def __init__(self, start: Start, depth: int, reduce: bool, copying: str) -> None:
        """Expand up to `depth` steps; `reduce` applies sleep sets, `copying` names the restorer."""
        self._start, self._depth, self._reduce = start, depth, reduce
        self._restorer = _make_restorer(copying, start)
        self._settled: set[int] = set()  # states of the last depth that this process has settled

    def expand(self, entry: Entry) -> Expansion:
        """Take each step to be taken in the entry's state; at the last depth, let the machine settle."""
        machine = replay(self._start, entry.steps)
        names = machine.enabled()
        last = len(entry.steps) + 1 >= self._depth
        settled = 0
        if not names:
            machine.settle()
            violations = [((*entry.steps, SETTLE), violation) for violation in machine.violations[:1]]
            return Expansion([], violations, 0, 1)
        todo = [
            name for name in names if name not in entry.sleep and (entry.todo is None or name in entry.todo)
        ]
        touches = {name: machine.touches(name) for name in names} if self._reduce else {}
        self._restorer.save(machine, entry.steps)
        successors, violations, done = [], [], set(entry.sleep)
        for index, name in enumerate(todo):
            after = self._restorer.restore() if index < len(todo) - 1 else machine
            after.do(name)
            if after.violations:
                violations.append(((*entry.steps, name), after.violations[0]))
            else:
                touched = touches.get(name)
                sleep = frozenset(other for other in done if independent(touches.get(other), touched))
                successors.append(Successor(name, fingerprint(after.encode()), sleep))
                if last and successors[-1].fingerprint not in self._settled:
                    self._settled.add(successors[-1].fingerprint)
                    settled += 1
                    after.settle()
                    violations += [
                        ((*entry.steps, name, SETTLE), violation) for violation in after.violations[:1]
                    ]
            done.add(name)
        return Expansion(successors, violations, len(todo), settled)


class Setup(NamedTuple):
    """Parameters of an exploration; `make(*args)` returns the function that starts the machine."""

    make: Callable[..., Start]
    args: tuple[Any, ...]
    depth: int
    reduce: bool = True
    copying: str = "pickle"


_current: tuple[Setup, Expander] | None = None


def _expand_all(job: tuple[Setup, list[Entry]]) -> list[Expansion]:
    """Expand entries; the worker reuses its expander while the exploration is the same."""
    global _current
    setup, entries = job
    if _current is None or _current[0] != setup:
        gc.set_threshold(20_000, 20, 50)
        _current = setup, Expander(setup.make(*setup.args), setup.depth, setup.reduce, setup.copying)
    return [_current[1].expand(entry) for entry in entries]


class WorkerPool:
    """Worker processes that expand states; a single one runs in-process. Leaving the context ends them."""

    def __init__(self, processes: int = 1) -> None:
        """Start the worker processes."""
        self.processes = processes
        self._pool = multiprocessing.get_context("spawn").Pool(processes) if processes > 1 else None

    def expand(self, setup: Setup, entries: list[Entry]) -> Iterator[list[Expansion]]:
        """Yield the expansions of the entries in order, chunk by chunk."""
        jobs = ((setup, chunk) for chunk in _chunks(entries))
        return self._pool.imap(_expand_all, jobs) if self._pool else map(_expand_all, jobs)

    def __enter__(self) -> WorkerPool:
        """Return the pool."""
        return self

    def __exit__(self, *error: object) -> None:
        """End the worker processes."""
        if self._pool:
            self._pool.terminate()
            self._pool.join()


def _chunks(entries: list[Entry]) -> Iterator[list[Entry]]:
    for index in range(0, len(entries), CHUNK_SIZE):
        yield entries[index : index + CHUNK_SIZE]


class SavedError(Exception):
    """A saved frontier is corrupt or belongs to another exploration."""


class Frontier:
    """State of the search between two levels; all that a later run needs to continue."""

    def __init__(self, visited: Visited) -> None:
        """Start without entries on a set of visited states."""
        self.visited = visited
        self.sleeping: dict[int, frozenset[str]] = {}
        self.entries: list[Entry] = []
        self.result = Result()

    def merge(self, level: list[Entry], expanded: list[Expansion], depth: int) -> None:
        """Merge the expansions of a level in order; states at the last depth are not expanded.

        Several processes may have settled the same state of the last depth, always including the first that
        reaches it in this order, so the first violation does not depend on the number of processes.
        """
        arrivals: list[tuple[Entry, Successor]] = []
        for entry, expansion in zip(level, expanded, strict=True):
            self.result.transitions += expansion.transitions
            self.result.settled += expansion.settled
            self.result.found += [Found(*violation) for violation in expansion.violations]
            arrivals += [(entry, after) for after in expansion.successors]
        self.entries = []
        if not arrivals:
            return
        fresh = self.visited.add(
            np.fromiter((after.fingerprint for _, after in arrivals), np.uint64, len(arrivals))
        )
        new: dict[int, tuple[Steps, frozenset[str]]] = {}
        revisited: dict[int, tuple[Steps, frozenset[str]]] = {}
        for (entry, after), is_new in zip(arrivals, fresh.tolist(), strict=True):
            steps = (*entry.steps, after.step)
            if is_new:
                new[after.fingerprint] = steps, after.sleep
            elif after.fingerprint in new:
                new[after.fingerprint] = new[after.fingerprint][0], new[after.fingerprint][1] & after.sleep
            elif (slept := self.sleeping.get(after.fingerprint)) and not slept <= after.sleep:
                before = revisited.get(after.fingerprint, (steps, slept))
                revisited[after.fingerprint] = before[0], before[1] & after.sleep
        self.result.states = len(self.visited)
        if new and len(next(iter(new.values()))[0]) >= depth:
            self.result.depth = depth
            return
        for state, (steps, sleep) in new.items():
            if sleep:
                self.sleeping[state] = sleep
            self.entries.append(Entry(steps, None, sleep))
        for state, (steps, remaining) in revisited.items():
            slept = self.sleeping[state]
            self.entries.append(Entry(steps, tuple(sorted(slept - remaining)), remaining))
            self.sleeping[state] = remaining

    def save(self, path: Path, key: str) -> None:
        """Write the frontier so that a crash at any moment leaves the old file or the new one."""
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
        """Read a frontier; raises SavedError if it is corrupt or of another exploration."""
        data = path.read_bytes()
        if hashlib.blake2b(data[16:], digest_size=16).digest() != data[:16]:
            raise SavedError(f"{path} is torn: its check sum does not hold")
        saved_key, runs, sleeping, entries, result = pickle.loads(data[16:])
        if saved_key != key:
            raise SavedError(f"{path} is of another exploration: {saved_key}, not {key}")
        frontier = cls(FingerprintSet.of(runs))
        frontier.sleeping, frontier.entries, frontier.result = sleeping, entries, result
        return frontier


def breadth_first(
    pool: WorkerPool,
    make: Callable[..., Start],
    args: tuple[Any, ...],
    depth: int,
    options: Options,
    key: str = "",
    progress: Callable[[Result, int], None] | None = None,
) -> Result:
    """Explore all states within `depth` steps.

    `make(*args)` returns the function that starts the machine; it is called in each process, so that its
    changes to the loaded code apply there, too. `key` names the exploration in a saved frontier.
    """
    started_at = time.monotonic()
    save = options.save
    if save is not None and save.exists():
        frontier = Frontier.load(save, key)
    else:
        start = make(*args)
        frontier = Frontier(PlainSet() if options.plain_set else FingerprintSet())
        frontier.visited.add(np.array([fingerprint(start().encode())], np.uint64))
        frontier.entries = [Entry(())]
        frontier.result.states = 1
    spent = frontier.result.seconds
    saved_at = started_at
    setup = Setup(make, args, depth, options.reduce, options.copying)
    while frontier.entries:
        level, expanded = frontier.entries, []
        for chunk in pool.expand(setup, level):
            expanded += chunk
            if time.monotonic() - started_at > options.max_duration_s:
                break
        frontier.result.seconds = spent + time.monotonic() - started_at
        if len(expanded) < len(level):
            frontier.result.complete = False
            frontier.merge(level[: len(expanded)], expanded, depth)
            break
        frontier.result.depth = max(frontier.result.depth, max(len(entry.steps) for entry in level))
        frontier.merge(level, expanded, depth)
        frontier.result.bytes_visited = frontier.visited.nbytes()
        if progress:
            progress(frontier.result, len(frontier.entries))
        if save is not None and time.monotonic() - saved_at >= options.save_interval_s:
            frontier.save(save, key)
            saved_at = time.monotonic()
        if options.stop_at_first and frontier.result.found:
            break
    frontier.result.seconds = spent + time.monotonic() - started_at
    if (
        save is not None and frontier.result.complete
    ):  # an empty frontier shows a later run that nothing is left to do
        frontier.save(save, key)
    return frontier.result


def depth_first(start: Start, depth: int, copying: str = "pickle", stop_at_first: bool = False) -> Result:
    """Explore the same states depth first; a state reached in fewer steps is expanded again."""
    started_at = time.monotonic()
    result, best = Result(), {}
    expander = Expander(start, depth, False, copying)
    best[fingerprint(start().encode())] = 0
    stack = [Entry(())]
    while stack and not (stop_at_first and result.found):
        entry = stack.pop()
        expanded = expander.expand(entry)
        result.transitions += expanded.transitions
        result.settled += expanded.settled
        result.found += [Found(*violation) for violation in expanded.violations]
        result.depth = max(result.depth, len(entry.steps))
        for after in reversed(expanded.successors):
            length = len(entry.steps) + 1
            if best.get(after.fingerprint, depth + 1) > length:
                best[after.fingerprint] = length
                if length < depth:
                    stack.append(Entry((*entry.steps, after.step)))
    result.states = len(best)
    result.seconds = time.monotonic() - started_at
    return result

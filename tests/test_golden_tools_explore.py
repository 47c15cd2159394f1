"""Compare the explorer's traces, counts and saved frontiers with golden data.

To record again, run `PYTHONPATH=. python tests/test_golden_tools_explore.py --record` in the root.
"""

from __future__ import annotations

import dataclasses
import pickletools
import re
import shutil
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from click.testing import CliRunner
from golden_tools_cases import (
    FOLDER,
    ROOT,
    as_json,
    describe_frontier,
    describe_result,
    describe_scope,
    describe_trace,
    load,
    recorded,
    write,
)

from stonecove.commands.main import cli
from stonecove.explore import runner, scope, seeds
from stonecove.explore.properties import PROPERTIES
from stonecove.explore.search import Frontier, Options, Result, SavedError, WorkerPool
from stonecove.explore.trace import Trace

TRACES = sorted((ROOT / "tests" / "traces").glob("*.json"))
FRONTIER, FRONTIER_SCOPE, FRONTIER_DEPTH = "frontier.log", "log", 4
ENDED, ENDED_SCOPE, ENDED_DEPTH, ENDED_SEED = "frontier.links", "links", 2, "given-back-twice"
LEVELS_BEFORE_THE_SAVE = 2
COUNTED = (("keyed", 4), ("purge", 3), ("confirm", 3), ("page", 3), ("drain", 2), ("log", 2))
COUNTED_MACHINES = (("zk-watch", 4), ("lease-two", 2), ("life-one", 2), ("swarm-lives", 3))
SEEDED = (
    ("link-taken-twice", "confirm", 3, ("ask 0", "up c1.0", "wait")),
    ("given-back-twice", "links", 2, ()),
)


@pytest.fixture(autouse=True)
def _no_seed_stays() -> Iterator[None]:
    yield
    seeds.plant("")


def _small(name: str, depth: int) -> scope.Scope:
    return scope.named(scope.SMALL, name).with_bounds(depth=depth)


def _forget(pool: WorkerPool) -> None:
    """Explore something else: a process that explores the same twice lets no state settle again."""
    runner.explore(_small("page", 1), pool)


# -- traces --


def replay_traces() -> Any:
    """Return the meaning of each kept trace, and its steps as they happen, with and without its fault."""
    entries = []
    for path in TRACES:
        trace = Trace.read(path)
        entry: dict[str, Any] = {
            "file": path.name,
            "trace": describe_trace(trace),
            "story": trace.format_report(),
        }
        for name, played in (("with its fault", trace), ("without", dataclasses.replace(trace, seed=""))):
            steps, violations = played.play()
            entry[name] = {
                "steps": [{"at_ms": one.at_ms, "step": one.step, "text": one.text} for one in steps],
                "violations": [{"property": one.prop, "reason": one.why} for one in violations],
            }
        seeds.plant("")
        entries.append(entry)
    return entries


def trace_written() -> str:
    """Return the text of a trace with nothing at its default."""
    made = scope.Scope("all-set", ("image", "page"), 3, 2, 4, 5, 6, ("reset", "drain"), ("hit", "old"), True,
                       True, False, True, ("c1", "o1"), ("ask 0",), "each field")  # fmt: skip
    return Trace(
        made, ("ask 0", "up c1.0", "settle"), "no-leak", "shown by nothing", "given-back-twice"
    ).to_json()


def trace_errors() -> Any:
    """Return the error messages for invalid traces."""
    good = TRACES[0].read_text()
    texts = {
        "not JSON": "{",
        "a list": "[]",
        "another format": good.replace('"format": 1', '"format": 2'),
        "without steps": good.replace('"steps"', '"staps"'),
        "a field of the scope that is not known": good.replace('"caches"', '"caches_"'),
    }
    entries = {}
    for name, text in texts.items():
        with pytest.raises(ValueError) as error_info:
            Trace.from_json(text)
        entries[name] = str(error_info.value).partition(":")[0]
    return entries


def scopes_meaning() -> Any:
    """Return the bounds of all scopes, and the names of all properties, faults and answers."""
    return {
        "small": [describe_scope(one) for one in scope.SCOPES["small"]],
        "full": [describe_scope(one) for one in scope.SCOPES["full"]],
        "walk": {**describe_scope(scope.WALK), "request_classes": len(scope.WALK.requests)},
        "answers": {word: {"status": code, "note": note} for word, (code, note) in scope.ANSWERS.items()},
        "small_machines": {name: bounds.depth for name, bounds in runner.SMALL_MACHINES.items()},
        "properties": {name: {"text": one.text} for name, one in PROPERTIES.items()},
        "seeded_faults": [
            {"name": one.name, "breaks": one.breaks, "scopes": list(one.scopes)} for one in seeds.SEEDS
        ],
    }


# -- explorations --


def counts() -> Any:
    """Return the counts and violations of explorations with small bounds."""
    found: dict[str, Any] = {}
    with WorkerPool(1) as pool:
        _forget(pool)
        for name, depth in COUNTED:
            found[f"{name}, depth {depth}"] = describe_result(runner.explore(_small(name, depth), pool))
        for name, depth in COUNTED_MACHINES:
            bounds = runner.SMALL_MACHINES[name]._replace(depth=depth)
            found[f"{name}, depth {depth}"] = describe_result(runner.explore_machine(bounds, pool))
        for seed, name, depth, first in SEEDED:
            bounds_after = _small(name, depth).with_bounds(prefix=first)
            result = runner.explore(bounds_after, pool, Options(stop_at_first=True), seed)
            found[f"{name} with {seed}"] = describe_result(result)
            seeds.plant("")
    return found


def walks() -> Any:
    """Return the counts of seeded random walks."""
    done = runner.run_walks(1, 1, 150)
    return {"walks": done.walks, "steps": done.steps, "by_step": dict(sorted(done.steps_by_action.items()))}


# -- saved frontiers --


class _StopExplorationError(Exception):
    """Enough levels were explored."""


def saved_frontier(folder: Path) -> Path:
    """Return the frontier that an exploration has saved before it was stopped after some levels."""
    path, levels = folder / FRONTIER, 0

    def count(_result: Result, _entries: int) -> None:
        nonlocal levels
        levels += 1
        if levels > LEVELS_BEFORE_THE_SAVE:
            raise _StopExplorationError

    options = Options(save=path, save_interval_s=0.0)
    with (
        WorkerPool(1) as pool,
        mock.patch.object(time, "monotonic", lambda: 0.0),
        pytest.raises(_StopExplorationError),
    ):
        runner.explore(_small(FRONTIER_SCOPE, FRONTIER_DEPTH), pool, options, progress=count)
    return path


def globals_of(data: bytes) -> list[str]:
    """Return the module and class names that a pickle holds."""
    found, texts, memo, last = set(), list[str](), list[str | None](), None
    for operation, argument, _ in pickletools.genops(data):
        if operation.name == "MEMOIZE":
            memo.append(last)
            continue
        last = None
        if "UNICODE" in operation.name:
            last = str(argument)
        elif operation.name in ("BINGET", "LONG_BINGET"):
            last = memo[int(argument or 0)]
        elif operation.name == "GLOBAL":
            found.add(str(argument))
        elif operation.name == "STACK_GLOBAL":
            found.add(f"{texts[-2]} {texts[-1]}")
        if last is not None:
            texts.append(last)
    return sorted(found)


def frontier_key(data: bytes) -> str:
    """Return what names the exploration in a saved frontier: its first text."""
    return next(str(argument) for _, argument, _ in pickletools.genops(data) if isinstance(argument, str))


def ended_frontier(folder: Path) -> Path:
    """Return what a whole exploration with a seeded fault has saved in the end."""
    path = folder / ENDED
    with WorkerPool(1) as pool, mock.patch.object(time, "monotonic", lambda: 0.0):
        _forget(pool)
        runner.explore(_small(ENDED_SCOPE, ENDED_DEPTH), pool, Options(save=path), ENDED_SEED)
    seeds.plant("")
    return path


def ended_meaning() -> Any:
    """Return what the committed frontier of a completed exploration holds, by names and by meaning."""
    data = (FOLDER / ENDED).read_bytes()[16:]
    key = frontier_key(data)
    with tempfile.TemporaryDirectory() as name, WorkerPool(1) as pool:
        path = Path(name, ENDED)
        shutil.copy(FOLDER / ENDED, path)
        result = runner.explore(_small(ENDED_SCOPE, ENDED_DEPTH), pool, Options(save=path), ENDED_SEED)
    seeds.plant("")
    return {"key": key, "names": globals_of(data), "loaded": describe_result(result)}


def frontier_meaning() -> Any:
    """Return what the committed frontier holds, by names and by meaning, and what it goes on to."""
    data = (FOLDER / FRONTIER).read_bytes()[16:]
    key = frontier_key(data)
    with tempfile.TemporaryDirectory() as name, WorkerPool(1) as pool:
        path = Path(name, FRONTIER)
        shutil.copy(FOLDER / FRONTIER, path)
        bounds = _small(FRONTIER_SCOPE, FRONTIER_DEPTH)
        _forget(pool)
        resumed = runner.explore(bounds, pool, Options(save=path, save_interval_s=1e9))
        completed = runner.explore(bounds, pool, Options(save=path, save_interval_s=1e9))
        _forget(pool)
        fresh = runner.explore(bounds, pool)
        _forget(pool)
    return {
        "key": key,
        "names": globals_of(data),
        "frontier": describe_frontier(Frontier.load(FOLDER / FRONTIER, key)),
        "gone_on_to": describe_result(resumed),
        "loaded_when_done": describe_result(completed),
        "from_the_start": describe_result(fresh),
    }


def command_lines() -> Any:
    """Return what `stonecove explore` prints that is the same each time, and its exit codes."""
    entries = []
    with (
        tempfile.TemporaryDirectory() as name,
        WorkerPool(1) as pool,
        mock.patch.object(runner, "CHANNEL_DEPTH", 5),  # whole, it and the codecs would take seconds
        mock.patch.object(runner, "explore_codecs", lambda: Result(states=1, transitions=2)),
    ):
        _forget(pool)
        shutil.copy(FOLDER / FRONTIER, Path(name, FRONTIER))
        Path(name, "no.json").write_text("{}")
        run, one = ("run", "--scope", "log", "--depth"), ("--processes", "1")
        for words in (
            (*run, str(FRONTIER_DEPTH), *one, "--save", f"{name}/frontier"),
            (*run, "5", *one, "--save", f"{name}/frontier"),
            ("run", "--scope", "zk-watch", "--depth", "3", *one),
            ("run", "--scope", "nowhere"),
            ("run", "--scope", "small", "--depth", "2"),
            ("seeded", "--only", "nothing"),
            ("walk", "--walks", "1", "--steps", "40", "--seed", "3", *one),
            ("replay", str(TRACES[0])),
            ("replay", str(TRACES[0]), "--chart", f"{name}/chart.txt"),
            ("replay", f"{name}/no.json"),
            ("replay", f"{name}/nothing.json"),
        ):
            done = CliRunner().invoke(cli, ["explore", *words])
            seeds.plant("")
            texts = [
                text.replace(name, "FOLDER").replace(f"{ROOT}/", "")
                for text in (*words, done.stdout, done.stderr)
            ]
            *arguments, out, error = [
                re.sub(r"(seconds|states_per_s)=[\d.]+", r"\1=N", text) for text in texts
            ]
            out = re.sub(r" +[\d.]+ s  ", " N s  ", out)
            error = error.partition("of another exploration")[0] if "of another" in error else error
            entries.append(
                {"arguments": arguments, "exit_code": done.exit_code, "stdout": out, "stderr": error}
            )
    return entries


OUTPUTS: dict[str, Callable[[], Any]] = {
    "traces_played.json": replay_traces,
    "trace_written.txt": trace_written,
    "trace_errors.json": trace_errors,
    "scopes.json": scopes_meaning,
    "explored_counts.json": counts,
    "explored_walks.json": walks,
    "frontier_meaning.json": frontier_meaning,
    "frontier_ended_meaning.json": ended_meaning,
    "explore_commands.json": command_lines,
}


@pytest.mark.parametrize("name", OUTPUTS)
def test_explorer_output_equals_recording(name: str) -> None:
    assert as_json(OUTPUTS[name]()) == recorded(name)


def test_properties_name_modules_that_exist() -> None:
    named = [
        module for one in PROPERTIES.values() for module in re.findall(r"[a-z_]+(?:/[a-z_]+)+", one.source)
    ]
    assert len(named) >= 20
    assert [module for module in named if not (ROOT / "stonecove" / f"{module}.py").is_file()] == []


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_is_written_as_it_was_read(path: Path) -> None:
    assert Trace.read(path).to_json().encode() == path.read_bytes()


def test_frontier_is_saved_as_recorded(tmp_path: Path) -> None:
    """By its meaning: the order within sets of texts differs from process to process."""
    path = saved_frontier(tmp_path)
    made = Frontier.load(path, frontier_key(path.read_bytes()[16:]))
    assert as_json(describe_frontier(made)) == load("frontier_meaning.json")["frontier"]
    completed = ended_frontier(tmp_path)
    result = Frontier.load(completed, frontier_key(completed.read_bytes()[16:])).result
    assert as_json(describe_result(result)) == load("frontier_ended_meaning.json")["loaded"]


def test_resumed_frontier_reaches_counts_of_complete_run() -> None:
    meaning = load("frontier_meaning.json")
    assert meaning["gone_on_to"] == meaning["from_the_start"] == meaning["loaded_when_done"]
    assert meaning["frontier"]["result"]["states"] < meaning["gone_on_to"]["states"]


def test_torn_or_foreign_frontier_is_rejected(tmp_path: Path) -> None:
    data = (FOLDER / FRONTIER).read_bytes()
    path = tmp_path / FRONTIER
    path.write_bytes(data[:-3])
    with pytest.raises(SavedError, match="is torn: its check sum does not hold"):
        Frontier.load(path, frontier_key(data[16:]))
    with pytest.raises(SavedError, match="is of another exploration"):
        Frontier.load(FOLDER / FRONTIER, "another")


def record() -> None:
    """Write all golden files; a frontier only if there is none."""
    for file, saved in ((FRONTIER, saved_frontier), (ENDED, ended_frontier)):
        if not (FOLDER / file).exists():
            with tempfile.TemporaryDirectory() as name:
                shutil.copy(saved(Path(name)), FOLDER / file)
    for name, output in OUTPUTS.items():
        write(name, output())
        seeds.plant("")


if __name__ == "__main__" and "--record" in sys.argv:
    record()

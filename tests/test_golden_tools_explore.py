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
    REPOSITORY,
    describe_frontier,
    describe_result,
    describe_scope,
    describe_trace,
    json_round_trip,
    read_golden,
    read_json,
    write_golden,
)

from stonecove.commands.main import cli
from stonecove.explore import runner, scope, seeds
from stonecove.explore.properties import PROPERTIES
from stonecove.explore.search import Frontier, Options, Result, SavedError, WorkerPool
from stonecove.explore.trace import Trace

TRACES = sorted((REPOSITORY / "tests" / "traces").glob("*.json"))
FRONTIER, FRONTIER_SCOPE, FRONTIER_DEPTH = "frontier.log", "log", 4
COMPLETED_FRONTIER, COMPLETED_SCOPE, COMPLETED_DEPTH, COMPLETED_SEED = (
    "frontier.links",
    "links",
    2,
    "given-back-twice",
)
LEVELS_BEFORE_SAVE = 2
COUNTED_SCOPES = (("keyed", 4), ("purge", 3), ("confirm", 3), ("page", 3), ("drain", 2), ("log", 2))
COUNTED_MACHINES = (("zk-watch", 4), ("lease-two", 2), ("life-one", 2), ("swarm-lives", 3))
SEEDED_FAULTS = (
    ("link-taken-twice", "confirm", 3, ("ask 0", "up c1.0", "wait")),
    ("given-back-twice", "links", 2, ()),
)


@pytest.fixture(autouse=True)
def _remove_planted_fault() -> Iterator[None]:
    yield
    seeds.plant("")


def _small_scope(name: str, depth: int) -> scope.Scope:
    return scope.named(scope.SMALL, name).with_bounds(depth=depth)


def _explore_another_scope(pool: WorkerPool) -> None:
    """Explore another scope, since a process that explores the same scope twice settles no state again."""
    runner.explore(_small_scope("page", 1), pool)


# -- traces --


def replay_traces() -> Any:
    """Return the meaning of each stored trace, and its replay with and without its fault."""
    entries = []
    for path in TRACES:
        trace = Trace.read(path)
        entry: dict[str, Any] = {
            "file": path.name,
            "trace": describe_trace(trace),
            "story": trace.format_report(),
        }
        for name, variant in (("with its fault", trace), ("without", dataclasses.replace(trace, seed=""))):
            steps, violations = variant.play()
            entry[name] = {
                "steps": [
                    {"at_ms": played_step.at_ms, "step": played_step.step, "text": played_step.text}
                    for played_step in steps
                ],
                "violations": [
                    {"property": violation.prop, "reason": violation.why} for violation in violations
                ],
            }
        seeds.plant("")
        entries.append(entry)
    return entries


def written_trace() -> str:
    """Return the text of a trace in which no field has its default value."""
    custom_scope = scope.Scope(
        "all-set", ("image", "page"), 3, 2, 4, 5, 6, ("reset", "drain"), ("hit", "old"), True, True, False,
        True, ("c1", "o1"), ("ask 0",), "each field",
    )  # fmt: skip
    return Trace(
        custom_scope, ("ask 0", "up c1.0", "settle"), "no-leak", "shown by nothing", "given-back-twice"
    ).to_json()


def trace_errors() -> Any:
    """Return the error messages for invalid traces."""
    valid = TRACES[0].read_text()
    texts = {
        "not JSON": "{",
        "a list": "[]",
        "another format": valid.replace('"format": 1', '"format": 2'),
        "without steps": valid.replace('"steps"', '"staps"'),
        "a field of the scope that is not known": valid.replace('"caches"', '"caches_"'),
    }
    entries = {}
    for name, text in texts.items():
        with pytest.raises(ValueError) as error_info:
            Trace.from_json(text)
        entries[name] = str(error_info.value).partition(":")[0]
    return entries


def describe_scopes() -> Any:
    """Return the bounds of all scopes, and the names of all properties, faults and answers."""
    return {
        "small": [describe_scope(item) for item in scope.SCOPES["small"]],
        "full": [describe_scope(item) for item in scope.SCOPES["full"]],
        "walk": {**describe_scope(scope.WALK), "request_classes": len(scope.WALK.requests)},
        "answers": {answer: {"status": code, "note": note} for answer, (code, note) in scope.ANSWERS.items()},
        "small_machines": {name: bounds.depth for name, bounds in runner.SMALL_MACHINES.items()},
        "properties": {name: {"text": item.text} for name, item in PROPERTIES.items()},
        "seeded_faults": [
            {"name": item.name, "breaks": item.breaks, "scopes": list(item.scopes)} for item in seeds.SEEDS
        ],
    }


# -- explorations --


def exploration_counts() -> Any:
    """Return the counts and violations of explorations with small bounds."""
    results: dict[str, Any] = {}
    with WorkerPool(1) as pool:
        _explore_another_scope(pool)
        for name, depth in COUNTED_SCOPES:
            results[f"{name}, depth {depth}"] = describe_result(
                runner.explore(_small_scope(name, depth), pool)
            )
        for name, depth in COUNTED_MACHINES:
            bounds = runner.SMALL_MACHINES[name]._replace(depth=depth)
            results[f"{name}, depth {depth}"] = describe_result(runner.explore_machine(bounds, pool))
        for seed, name, depth, first_steps in SEEDED_FAULTS:
            prefixed_scope = _small_scope(name, depth).with_bounds(prefix=first_steps)
            result = runner.explore(prefixed_scope, pool, Options(stop_at_first=True), seed)
            results[f"{name} with {seed}"] = describe_result(result)
            seeds.plant("")
    return results


def walk_counts() -> Any:
    """Return the counts of seeded random walks."""
    result = runner.run_walks(1, 1, 150)
    return {
        "walks": result.walks,
        "steps": result.steps,
        "by_step": dict(sorted(result.steps_by_action.items())),
    }


# -- saved frontiers --


class _StopExplorationError(Exception):
    """Raised to stop an exploration after enough levels."""


def saved_frontier(folder: Path) -> Path:
    """Return the file of the frontier that an exploration saved before it was stopped after some levels."""
    path, levels = folder / FRONTIER, 0

    def count(_result: Result, _entries: int) -> None:
        nonlocal levels
        levels += 1
        if levels > LEVELS_BEFORE_SAVE:
            raise _StopExplorationError

    options = Options(save=path, save_interval_s=0.0)
    with (
        WorkerPool(1) as pool,
        mock.patch.object(time, "monotonic", lambda: 0.0),
        pytest.raises(_StopExplorationError),
    ):
        runner.explore(_small_scope(FRONTIER_SCOPE, FRONTIER_DEPTH), pool, options, progress=count)
    return path


def globals_of(data: bytes) -> list[str]:
    """Return the module and class names in a pickle."""
    names, texts, memo, last = set(), list[str](), list[str | None](), None
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
            names.add(str(argument))
        elif operation.name == "STACK_GLOBAL":
            names.add(f"{texts[-2]} {texts[-1]}")
        if last is not None:
            texts.append(last)
    return sorted(names)


def frontier_key(data: bytes) -> str:
    """Return the key of the exploration in a saved frontier, which is its first text."""
    return next(str(argument) for _, argument, _ in pickletools.genops(data) if isinstance(argument, str))


def completed_frontier(folder: Path) -> Path:
    """Return the file that a completed exploration with a seeded fault has saved."""
    path = folder / COMPLETED_FRONTIER
    with WorkerPool(1) as pool, mock.patch.object(time, "monotonic", lambda: 0.0):
        _explore_another_scope(pool)
        runner.explore(
            _small_scope(COMPLETED_SCOPE, COMPLETED_DEPTH), pool, Options(save=path), COMPLETED_SEED
        )
    seeds.plant("")
    return path


def describe_completed_frontier() -> Any:
    """Return the class names and the meaning of the committed frontier of a completed exploration."""
    data = (FOLDER / COMPLETED_FRONTIER).read_bytes()[16:]
    key = frontier_key(data)
    with tempfile.TemporaryDirectory() as name, WorkerPool(1) as pool:
        path = Path(name, COMPLETED_FRONTIER)
        shutil.copy(FOLDER / COMPLETED_FRONTIER, path)
        result = runner.explore(
            _small_scope(COMPLETED_SCOPE, COMPLETED_DEPTH), pool, Options(save=path), COMPLETED_SEED
        )
    seeds.plant("")
    return {"key": key, "names": globals_of(data), "loaded": describe_result(result)}


def describe_committed_frontier() -> Any:
    """Return the class names and the meaning of the committed frontier, and the result of resuming it."""
    data = (FOLDER / FRONTIER).read_bytes()[16:]
    key = frontier_key(data)
    with tempfile.TemporaryDirectory() as name, WorkerPool(1) as pool:
        path = Path(name, FRONTIER)
        shutil.copy(FOLDER / FRONTIER, path)
        bounds = _small_scope(FRONTIER_SCOPE, FRONTIER_DEPTH)
        _explore_another_scope(pool)
        resumed = runner.explore(bounds, pool, Options(save=path, save_interval_s=1e9))
        completed = runner.explore(bounds, pool, Options(save=path, save_interval_s=1e9))
        _explore_another_scope(pool)
        fresh = runner.explore(bounds, pool)
        _explore_another_scope(pool)
    return {
        "key": key,
        "names": globals_of(data),
        "frontier": describe_frontier(Frontier.load(FOLDER / FRONTIER, key)),
        "gone_on_to": describe_result(resumed),
        "loaded_when_done": describe_result(completed),
        "from_the_start": describe_result(fresh),
    }


def command_output() -> Any:
    """Return the exit codes of `stonecove explore` and its output, with figures that vary masked."""
    entries = []
    with (
        tempfile.TemporaryDirectory() as name,
        WorkerPool(1) as pool,
        mock.patch.object(runner, "CHANNEL_DEPTH", 5),  # in full, the channel and the codecs take seconds
        mock.patch.object(runner, "explore_codecs", lambda: Result(states=1, transitions=2)),
    ):
        _explore_another_scope(pool)
        shutil.copy(FOLDER / FRONTIER, Path(name, FRONTIER))
        Path(name, "no.json").write_text("{}")
        run_log_scope, one_process = ("run", "--scope", "log", "--depth"), ("--processes", "1")
        for command in (
            (*run_log_scope, str(FRONTIER_DEPTH), *one_process, "--save", f"{name}/frontier"),
            (*run_log_scope, "5", *one_process, "--save", f"{name}/frontier"),
            ("run", "--scope", "zk-watch", "--depth", "3", *one_process),
            ("run", "--scope", "nowhere"),
            ("run", "--scope", "small", "--depth", "2"),
            ("seeded", "--only", "nothing"),
            ("walk", "--walks", "1", "--steps", "40", "--seed", "3", *one_process),
            ("replay", str(TRACES[0])),
            ("replay", str(TRACES[0]), "--chart", f"{name}/chart.txt"),
            ("replay", f"{name}/no.json"),
            ("replay", f"{name}/nothing.json"),
        ):
            result = CliRunner().invoke(cli, ["explore", *command])
            seeds.plant("")
            texts = [
                text.replace(name, "FOLDER").replace(f"{REPOSITORY}/", "")
                for text in (*command, result.stdout, result.stderr)
            ]
            *arguments, stdout, stderr = [
                re.sub(r"(seconds|states_per_s)=[\d.]+", r"\1=N", text) for text in texts
            ]
            stdout = re.sub(r" +[\d.]+ s  ", " N s  ", stdout)
            stderr = stderr.partition("of another exploration")[0] if "of another" in stderr else stderr
            entries.append(
                {"arguments": arguments, "exit_code": result.exit_code, "stdout": stdout, "stderr": stderr}
            )
    return entries


OUTPUTS: dict[str, Callable[[], Any]] = {
    "traces_played.json": replay_traces,
    "trace_written.txt": written_trace,
    "trace_errors.json": trace_errors,
    "scopes.json": describe_scopes,
    "explored_counts.json": exploration_counts,
    "explored_walks.json": walk_counts,
    "frontier_meaning.json": describe_committed_frontier,
    "frontier_ended_meaning.json": describe_completed_frontier,
    "explore_commands.json": command_output,
}


@pytest.mark.parametrize("name", OUTPUTS)
def test_explorer_output_matches_golden_files(name: str) -> None:
    assert json_round_trip(OUTPUTS[name]()) == read_golden(name)


def test_properties_name_modules_that_exist() -> None:
    modules = [
        module
        for checked_property in PROPERTIES.values()
        for module in re.findall(r"[a-z_]+(?:/[a-z_]+)+", checked_property.source)
    ]
    assert len(modules) >= 20
    assert [module for module in modules if not (REPOSITORY / "stonecove" / f"{module}.py").is_file()] == []


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_is_written_as_it_was_read(path: Path) -> None:
    assert Trace.read(path).to_json().encode() == path.read_bytes()


def test_frontier_is_saved_as_recorded(tmp_path: Path) -> None:
    """Compare meanings, since the order within sets of strings differs between processes."""
    path = saved_frontier(tmp_path)
    frontier = Frontier.load(path, frontier_key(path.read_bytes()[16:]))
    assert json_round_trip(describe_frontier(frontier)) == read_json("frontier_meaning.json")["frontier"]
    completed = completed_frontier(tmp_path)
    result = Frontier.load(completed, frontier_key(completed.read_bytes()[16:])).result
    assert json_round_trip(describe_result(result)) == read_json("frontier_ended_meaning.json")["loaded"]


def test_resumed_frontier_reaches_counts_of_complete_run() -> None:
    meaning = read_json("frontier_meaning.json")
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
    for file, saved in ((FRONTIER, saved_frontier), (COMPLETED_FRONTIER, completed_frontier)):
        if not (FOLDER / file).exists():
            with tempfile.TemporaryDirectory() as name:
                shutil.copy(saved(Path(name)), FOLDER / file)
    for name, output in OUTPUTS.items():
        write_golden(name, output())
        seeds.plant("")


if __name__ == "__main__" and "--record" in sys.argv:
    record()

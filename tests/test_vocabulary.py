"""Check that the packages which are renamed define no identifier with a withdrawn word in it."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent

CHECKED_PATHS = (
    "stonecove/routing",
    "stonecove/access",
    "stonecove/commands",
    "stonecove/discovery",
    "stonecove/fleet",
    "stonecove/frontends",
    "stonecove/gossip",
    "stonecove/operator_config",
    "stonecove/overload",
    "stonecove/pipeline",
    "stonecove/protocols",
    "stonecove/quotas",
    "stonecove/rollout",
    "stonecove/runtime",
    "stonecove/scale",
    "stonecove/server",
    "stonecove/soak",
    "stonecove/standins",
    "stonecove/state",
    "stonecove/transport",
    "stonecove/trial",
    "stonecove/exchange.py",
    "stonecove/settings.py",
    "stonecove/simulator_adapter.py",
    "stonecove/errors.py",
    "stonecove/explore",
    "benchmarks",
    "examples",
)

# fmt: off
WITHDRAWN_WORDS = (
    "told", "tell", "word", "words", "say", "says", "said", "heard", "hear", "ask", "asked", "asking",
    "held", "kept", "keep", "cold", "warm", "worth", "aim", "piece", "life", "lives", "born", "reborn",
    "marks", "tried", "trouble", "spoilt", "pause", "due", "least", "news", "stand", "begun", "spare",
    "spares", "turned", "ill", "mine", "ours", "crowd", "doubt", "doubtful", "moot", "story", "house",
    "purse", "rumours", "door", "gulp", "overhear", "hasten", "youth", "gist", "heed", "room", "look",
    "felt", "slowed", "wanted", "went", "came",
)
# fmt: on


class AllowedIdentifier(NamedTuple):
    """Allow one identifier of one file, for a reason."""

    path: str
    identifier: str
    reason: str


HALF_LIFE = "half-life is the standard term for the time in which a decaying value halves"
DATAGRAM_KIND = "a published name of a kind of datagram"
PROCESS_PAUSE = "a pause of a process, in which none of its code runs"
DUE_TIME = "a timer or task is due when its time has come"
LEAST_RECENT = "least recent and least loaded are standard terms of selection"
QUERY_WORDS = "the words of a line of text, split at blanks"
WANTED_VERSION = "the wanted state of a roll-out or an instance, as opposed to the present one"
KEEP_ALIVE = "keep-alive is the term of HTTP and FastCGI"
WARM_UP_SETTING = "warm_up is the published key of the setting whose value it is"
WARM_UP = "warm-up is the standard term for the load before a measurement"
STAND_IN = "a stand-in is the project's term for an emulated outside system"
STEP_NAME = "the explorer calls it by the name of a step, which saved traces hold"
README_COMMAND = "the README names this file in a command"
ALLOWED_IDENTIFIERS = (
    AllowedIdentifier("benchmarks/capacity_coordination.py", "stand_in", STAND_IN),
    AllowedIdentifier("benchmarks/capacity_data.py", "WARM_UP_S", WARM_UP),
    AllowedIdentifier("benchmarks/capacity_log.py", "warm_up_s", WARM_UP),
    AllowedIdentifier("benchmarks/capacity_popularity.py", "HALF_LIFE_MS", HALF_LIFE),
    AllowedIdentifier("benchmarks/capacity_popularity.py", "half_life", HALF_LIFE),
    AllowedIdentifier("benchmarks/capacity_popularity.py", "_half_life", HALF_LIFE),
    AllowedIdentifier("benchmarks/membership.py", "stand_in", STAND_IN),
    AllowedIdentifier("benchmarks/rollout.py", "stand_in_ensemble", STAND_IN),
    AllowedIdentifier("examples/ask.py", "ask", README_COMMAND),
    AllowedIdentifier("stonecove/routing/link_load.py", "PACE_HALF_LIFE_IN_OBJECTIVES", HALF_LIFE),
    AllowedIdentifier("stonecove/routing/popularity.py", "MIN_HALF_LIFE_MS", HALF_LIFE),
    AllowedIdentifier("stonecove/routing/popularity.py", "set_half_life", HALF_LIFE),
    AllowedIdentifier("stonecove/routing/popularity.py", "half_life_ms", HALF_LIFE),
    AllowedIdentifier("stonecove/routing/popularity.py", "_half_life_ms", HALF_LIFE),
    AllowedIdentifier("stonecove/routing/state.py", "POPULARITY_HALF_LIFE_IN_SLOW_STARTS", HALF_LIFE),
    AllowedIdentifier("stonecove/access/formats.py", "wanted", WANTED_VERSION),
    AllowedIdentifier("stonecove/explore/coordination.py", "_on_expire_ours", STEP_NAME),
    AllowedIdentifier("stonecove/explore/coordination.py", "_on_hear", STEP_NAME),
    AllowedIdentifier("stonecove/explore/coordination.py", "_on_log_heard", STEP_NAME),
    AllowedIdentifier("stonecove/explore/simulation.py", "_do_ask", STEP_NAME),
    AllowedIdentifier("stonecove/gossip/claims.py", "ASK", DATAGRAM_KIND),
    AllowedIdentifier("stonecove/gossip/claims.py", "NEWS", DATAGRAM_KIND),
    AllowedIdentifier("stonecove/gossip/gossip.py", "push_due_at", DUE_TIME),
    AllowedIdentifier("stonecove/gossip/health.py", "PAUSE_ANNOUNCED_S", PROCESS_PAUSE),
    AllowedIdentifier("stonecove/gossip/health.py", "PAUSE_THRESHOLD_S", PROCESS_PAUSE),
    AllowedIdentifier("stonecove/gossip/health.py", "recent_pause_s", PROCESS_PAUSE),
    AllowedIdentifier("stonecove/gossip/shares.py", "least_recent_slot", LEAST_RECENT),
    AllowedIdentifier("stonecove/gossip/status.py", "words", QUERY_WORDS),
    AllowedIdentifier("stonecove/gossip/swarm.py", "_handle_pause", PROCESS_PAUSE),
    AllowedIdentifier("stonecove/gossip/swarm.py", "due", DUE_TIME),
    AllowedIdentifier("stonecove/gossip/swarm.py", "due_slots", DUE_TIME),
    AllowedIdentifier("stonecove/gossip/swarm.py", "least_recent", LEAST_RECENT),
    AllowedIdentifier("stonecove/gossip/swarm.py", "pause", PROCESS_PAUSE),
    AllowedIdentifier("stonecove/gossip/table.py", "pause", PROCESS_PAUSE),
    AllowedIdentifier("stonecove/operator_config/records.py", "keep", KEEP_ALIVE),
    AllowedIdentifier("stonecove/operator_config/records.py", "least", LEAST_RECENT),
    AllowedIdentifier("stonecove/protocols/change_log.py", "_KEEP_ALIVE", KEEP_ALIVE),
    AllowedIdentifier("stonecove/protocols/fastcgi/codec.py", "KEEP_CONN", KEEP_ALIVE),
    AllowedIdentifier("stonecove/protocols/fastcgi/codec.py", "keep_conn", KEEP_ALIVE),
    AllowedIdentifier("stonecove/protocols/gossip.py", "MAX_PAUSE_S", PROCESS_PAUSE),
    AllowedIdentifier("stonecove/protocols/http.py", "keep_alive", KEEP_ALIVE),
    AllowedIdentifier("stonecove/rollout/follower.py", "health_due_ms", DUE_TIME),
    AllowedIdentifier("stonecove/rollout/follower.py", "wanted", WANTED_VERSION),
    AllowedIdentifier("stonecove/rollout/progress.py", "wanted", WANTED_VERSION),
    AllowedIdentifier("stonecove/rollout/selection.py", "wanted_version", WANTED_VERSION),
    AllowedIdentifier("stonecove/runtime/timers.py", "due_s", DUE_TIME),
    AllowedIdentifier("stonecove/runtime/timers.py", "next_due", DUE_TIME),
    AllowedIdentifier("stonecove/runtime/timers.py", "run_due", DUE_TIME),
    AllowedIdentifier("stonecove/scale/configuration.py", "INITIAL_WARM_UP_MS", WARM_UP_SETTING),
    AllowedIdentifier("stonecove/scale/event_log.py", "due_s", DUE_TIME),
    AllowedIdentifier("stonecove/server/configuration.py", "wanted", WANTED_VERSION),
    AllowedIdentifier("stonecove/server/http.py", "_disable_keep_alive", KEEP_ALIVE),
    AllowedIdentifier("stonecove/server/http.py", "keep_alive", KEEP_ALIVE),
    AllowedIdentifier("stonecove/server/members.py", "words", QUERY_WORDS),
    AllowedIdentifier("stonecove/server/reconfigure.py", "words", QUERY_WORDS),
    AllowedIdentifier("stonecove/server/swarm.py", "words", QUERY_WORDS),
    AllowedIdentifier("stonecove/standins/loaded.py", "_answer_due", DUE_TIME),
    AllowedIdentifier("stonecove/standins/zookeeper.py", "_apply_due", DUE_TIME),
    AllowedIdentifier("stonecove/standins/zookeeper.py", "due_at", DUE_TIME),
    AllowedIdentifier("stonecove/trial/model.py", "due_at", DUE_TIME),
    AllowedIdentifier("stonecove/trial/processes.py", "pause", PROCESS_PAUSE),
    AllowedIdentifier("stonecove/trial/processes.py", "words", QUERY_WORDS),
)


class Definition(NamedTuple):
    """Locate an identifier that a file defines."""

    path: str
    line: int
    identifier: str


def split_words(identifier: str) -> list[str]:
    """Return the words of an identifier in lower case, split at underscores, digits and capitals."""
    return [word.lower() for word in re.findall(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+", identifier)]


def find_withdrawn_words(identifier: str) -> list[str]:
    """Return the withdrawn words in an identifier."""
    return [word for word in split_words(identifier) if word in WITHDRAWN_WORDS]


def defined_name(node: ast.AST) -> str | None:
    """Return the identifier that a syntax node defines, if any."""
    match node:
        case ast.ClassDef(name=name) | ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
            return name
        case (
            ast.arg(arg=name) | ast.Name(id=name, ctx=ast.Store()) | ast.Attribute(attr=name, ctx=ast.Store())
        ):
            return name
        case ast.ExceptHandler(name=name) | ast.alias(asname=name):
            return name
        case ast.MatchAs(name=name) | ast.MatchStar(name=name) | ast.MatchMapping(rest=name):
            return name
    return None


def find_definitions(source: str, path: str) -> Iterator[Definition]:
    """Yield the identifiers that a module defines: itself, classes, functions, fields, variables."""
    yield from (Definition(path, 1, part) for part in Path(path).with_suffix("").parts)
    for node in ast.walk(ast.parse(source)):
        if (name := defined_name(node)) is not None:
            yield Definition(path, getattr(node, "lineno", 0), name)


def find_violations(source: str, path: str) -> list[Definition]:
    """Return the definitions of a module that hold a withdrawn word, allowed or not."""
    return [found for found in find_definitions(source, path) if find_withdrawn_words(found.identifier)]


def checked_files() -> list[Path]:
    """Return the Python files of the checked paths."""
    roots = [ROOT / path for path in CHECKED_PATHS]
    return sorted(file for root in roots for file in ([root] if root.is_file() else root.rglob("*.py")))


def all_violations() -> list[Definition]:
    """Return the violations in all checked files."""
    return [
        found
        for file in checked_files()
        for found in find_violations(file.read_text(), file.relative_to(ROOT).as_posix())
    ]


@pytest.mark.parametrize("path", CHECKED_PATHS)
def test_checked_path_holds_python_files(path: str) -> None:
    assert [file for file in checked_files() if file.is_relative_to(ROOT / path)]


def test_checked_files_define_no_identifier_with_a_withdrawn_word() -> None:
    allowed = {(entry.path, entry.identifier) for entry in ALLOWED_IDENTIFIERS}
    violations = [
        f"{found.path}:{found.line}: {found.identifier} ({', '.join(find_withdrawn_words(found.identifier))})"
        for found in all_violations()
        if (found.path, found.identifier) not in allowed
    ]
    assert violations == [], "\n".join(violations)


def test_allowed_identifiers_are_in_use_and_have_a_reason() -> None:
    used = {(found.path, found.identifier) for found in all_violations()}
    assert [entry for entry in ALLOWED_IDENTIFIERS if (entry.path, entry.identifier) not in used] == []
    assert all(entry.reason.strip() for entry in ALLOWED_IDENTIFIERS)


@pytest.mark.parametrize(
    ("source", "identifier"),
    [
        ("class ColdBudget: ...", "ColdBudget"),
        ("def told_once(): ...", "told_once"),
        ("async def _heed(): ...", "_heed"),
        ("def admit(now, *, worth=1): ...", "worth"),
        ("def admit(*asked, **kept): ...", "asked"),
        ("lambda word: 0", "word"),
        ("class Lease:\n    due_ms: int", "due_ms"),
        ("self.isHeld = 1", "isHeld"),
        ("MAX_LIFE = 1", "MAX_LIFE"),
        ("first, *spares = ()", "spares"),
        ("for piece in (): ...", "piece"),
        ("[0 for ask in ()]", "ask"),
        ("with open('x') as door: ...", "door"),
        ("if (news := 1): ...", "news"),
        ("import time as story", "story"),
        ("try: ...\nexcept OSError as trouble: ...", "trouble"),
        ("match 1:\n    case [*rumours] | {**rumours}: ...", "rumours"),
        ("match 1:\n    case int() as marks: ...", "marks"),
    ],
)
def test_finds_a_withdrawn_word_in_each_kind_of_definition(source: str, identifier: str) -> None:
    assert identifier in [found.identifier for found in find_violations(source, "module.py")]


def test_finds_a_withdrawn_word_in_the_name_of_a_module() -> None:
    assert [found.identifier for found in find_violations("", "package/cold_start.py")] == ["cold_start"]


@pytest.mark.parametrize("source", ["headroom = threshold = lookup = 1", "x = table.kept", "'a word'"])
def test_ignores_longer_words_uses_and_text(source: str) -> None:
    assert find_violations(source, "module.py") == []

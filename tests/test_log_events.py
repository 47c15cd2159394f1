"""Compare the events and fields that ONCALL.md names with those that the sources write."""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from collections.abc import Iterator, Mapping
from pathlib import Path

import pytest

from stonecove.runtime.log_events import LogEvent

ROOT = Path(__file__).parents[1]
ONCALL = (ROOT / "ONCALL.md").read_text(encoding="utf-8")
RENAMES_TITLE = "Old and new names of log events"
LOG_FUNCTIONS = {"log", "log_limited"}
EVENT_WRITERS = LOG_FUNCTIONS | {"_say", "say", "_alarm", "_log", "_log_alarm", "_log_alarm_once", "note"}
UNCHANGED_NAMES = {LogEvent.STATS}
QUOTED = re.compile(r"`([^`]+)`")
RENAMED_FIELD = re.compile(r"`(\w+)` → `(\w+)`")

Table = list[dict[str, str]]


def tables(text: str) -> list[Table]:
    """Return the tables of a page, each row by the titles of its columns."""
    found: list[Table] = []
    titles: list[str] = []
    for line in text.splitlines():
        if not line.startswith("|"):
            titles = []
            continue
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if not titles:
            titles = cells
            found.append([])
        elif set(line) - set("| -"):
            found[-1].append(dict(zip(titles, cells, strict=True)))
    return found


def event_rows(text: str) -> Table:
    """Return the rows of the tables whose first column is the event."""
    return [row for table in tables(text) for row in table if next(iter(row)) == "event"]


def rename_rows(text: str) -> Table:
    """Return the rows that give the old and the new name of an event."""
    _, _, section = text.partition(f"\n## {RENAMES_TITLE}\n")
    return [row for table in tables(section) for row in table]


def calls_to(tree: ast.AST, names: set[str]) -> Iterator[tuple[str, ast.Call]]:
    """Yield each call of a function or method with one of these names that has a first argument."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        name = node.func.attr if isinstance(node.func, ast.Attribute) else getattr(node.func, "id", "")
        if name in names:
            yield name, node


def named_events(expression: ast.expr) -> set[str]:
    """Return the events that an expression names as LogEvent.X."""
    return {
        LogEvent[node.attr].value
        for node in ast.walk(expression)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "LogEvent"
    }


def keyword_names(call: ast.Call) -> set[str]:
    """Return the names of the keyword arguments, without those that a mapping brings."""
    return {keyword.arg for keyword in call.keywords if keyword.arg is not None}


def fields_added_by(tree: ast.AST) -> dict[str, set[str]]:
    """Return by writer the fields that it adds to each event passed through it."""
    added: dict[str, set[str]] = defaultdict(set)
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef) and node.name in EVENT_WRITERS:
            for _, call in calls_to(node, EVENT_WRITERS):
                if not named_events(call.args[0]):
                    added[node.name] |= keyword_names(call)
    return added


def written_fields(sources: Mapping[str, str]) -> dict[str, set[str]]:
    """Return the fields of each event that the sources write."""
    fields: dict[str, set[str]] = defaultdict(set)
    for source in sources.values():
        tree = ast.parse(source)
        added = fields_added_by(tree)
        for name, call in calls_to(tree, EVENT_WRITERS):
            for event in named_events(call.args[0]):
                fields[event] |= keyword_names(call) | added.get(name, set())
    return fields


def literal_events(sources: Mapping[str, str]) -> list[str]:
    """Return the places where log or log_limited gets a string literal as its event."""
    return [
        f"{path}:{call.lineno}"
        for path, source in sources.items()
        for _, call in calls_to(ast.parse(source), LOG_FUNCTIONS)
        if any(isinstance(node, ast.Constant | ast.JoinedStr) for node in event_values(call.args[0]))
    ]


def event_values(expression: ast.expr) -> Iterator[ast.expr]:
    """Yield the values that an expression can have: both sides of a condition, or itself."""
    if isinstance(expression, ast.IfExp):
        yield from event_values(expression.body)
        yield from event_values(expression.orelse)
    else:
        yield expression


def unknown_fields(text: str, fields: Mapping[str, set[str]]) -> list[str]:
    """Return the fields, as `event.field`, that the page names and no call writes."""
    named = [
        (event, field)
        for row in event_rows(text)
        for event in QUOTED.findall(row["event"])
        for field in QUOTED.findall(row.get("fields", ""))
    ]
    named += [
        (event, field)
        for row in rename_rows(text)
        for event in QUOTED.findall(row["new event"])
        for _, field in RENAMED_FIELD.findall(row["renamed fields"])
    ]
    return [f"{event}.{field}" for event, field in named if field not in fields.get(event, set())]


@pytest.fixture(scope="module")
def sources() -> dict[str, str]:
    """Return the sources of the package by path."""
    paths = sorted((ROOT / "stonecove").rglob("*.py"))
    return {str(path.relative_to(ROOT)): path.read_text(encoding="utf-8") for path in paths}


def test_event_tables_name_every_event_once_and_no_other() -> None:
    named = [event for row in event_rows(ONCALL) for event in QUOTED.findall(row["event"])]
    assert sorted(named) == sorted(LogEvent)


def test_event_names_are_lower_case_words_joined_by_underscores() -> None:
    assert [event for event in LogEvent if not re.fullmatch(r"[a-z]+(_[a-z]+)*", event)] == []
    assert [event for event in LogEvent if event.name.lower() != event.value] == []


def test_named_fields_are_written(sources: dict[str, str]) -> None:
    assert unknown_fields(ONCALL, written_fields(sources)) == []


def test_every_event_is_written(sources: dict[str, str]) -> None:
    assert set(LogEvent) - set(written_fields(sources)) == set()


def test_log_calls_name_events_by_the_enumeration(sources: dict[str, str]) -> None:
    assert literal_events(sources) == []


def test_rename_table_lists_every_renamed_event_once() -> None:
    rows = rename_rows(ONCALL)
    new = [event for row in rows for event in QUOTED.findall(row["new event"])]
    old = [event for row in rows for event in QUOTED.findall(row["old event"])]
    assert sorted(new) == sorted(set(LogEvent) - UNCHANGED_NAMES)
    assert len(old) == len(set(old)) == len(rows) == len(new)
    assert [name for name in old if not re.fullmatch(r"[a-z]+(-[a-z]+)*", name)] == []


def test_rename_table_gives_fields_as_pairs() -> None:
    for row in rename_rows(ONCALL):
        pairs = RENAMED_FIELD.findall(row["renamed fields"])
        written = ", ".join(f"`{old}` → `{new}`" for old, new in pairs) or "none"
        assert row["renamed fields"] == written
        assert all(old != new for old, new in pairs)


def test_scan_finds_fields_of_forwarded_and_conditional_events() -> None:
    source = """
def _alarm(event, **fields):
    _say(event, node="s-1", **fields)
_alarm(LogEvent.ENDPOINT_FLAPPING, returns=3)
log(LogEvent.FLEET_READY if ready else LogEvent.FLEET_RELOADED, total=2)
"""
    assert written_fields({"a.py": source}) == {
        "endpoint_flapping": {"node", "returns"},
        "fleet_ready": {"total"},
        "fleet_reloaded": {"total"},
    }


@pytest.mark.parametrize("event", ['"ready"', 'f"{name}"', '"ready" if up else LogEvent.STATS'])
def test_scan_finds_literal_events(event: str) -> None:
    assert literal_events({"a.py": f"log({event}, nodes=1)"}) == ["a.py:1"]


def test_scan_reports_fields_that_no_call_writes() -> None:
    page = "| event | fields |\n| --- | --- |\n| `router_stopped` | `open`, `why` |\n"
    page += f"\n## {RENAMES_TITLE}\n\n| old event | new event | renamed fields |\n| --- | --- | --- |\n"
    page += "| `stopped` | `router_stopped` | `left` → `remaining` |\n"
    assert unknown_fields(page, {"router_stopped": {"open"}}) == [
        "router_stopped.why",
        "router_stopped.remaining",
    ]

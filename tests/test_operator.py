"""Tests of the operator file: the CUE subset, the schema, problems with source positions, the commands."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from stonecove.operator_config.evaluate import Evaluator, to_plain
from stonecove.operator_config.grammar import OperatorError, parse
from stonecove.operator_config.reader import explain, read, read_text, show
from stonecove.operator_config.values import Diagnostics

ROOT = Path(__file__).parent.parent
ZOOKEEPER_SOURCE = 'sources: zookeeper: {servers: ["10.0.0.1:2181"], path: "/b"}\n'


def evaluate_text(text: str) -> object:
    """Return a source text evaluated without a schema, as plain dictionaries, lists and scalars."""
    diagnostics = Diagnostics()
    table = to_plain(Evaluator(diagnostics).struct(parse(text, "f.cue"), None, ""), "", diagnostics)
    if diagnostics.problems:
        raise OperatorError(diagnostics.problems)
    return table


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", {}),
        ('a: 1, b: "x" // a comment\n"c-d": true', {"a": 1, "b": "x", "c-d": True}),
        ("a: b: c: 2.5\na: b: d: null", {"a": {"b": {"c": 2.5, "d": None}}}),
        ("a: 1_000\nb: -3\nc: 1.5e3", {"a": 1000, "b": -3, "c": 1500.0}),
        (
            "a: 250ms\nb: 5s\nc: 1.5min\nd: 2h\ne: 1d",
            {"a": 250, "b": 5000, "c": 90_000, "d": 7_200_000, "e": 86_400_000},
        ),
        ("a: 64MB\nb: 4KiB\nc: 1.5GiB\nd: 9B", {"a": 64_000_000, "b": 4096, "c": 1610612736, "d": 9}),
        ('a: [1, "x", {b: 2}]\nc: []', {"a": [1, "x", {"b": 2}], "c": []}),
        (
            '#D: {x: *1 | int, y?: string}\na: #D\nb: #D & {x: 3, y: "z"}',
            {"a": {"x": 1}, "b": {"x": 3, "y": "z"}},
        ),
        ("base: {x: 1}\na: base & {y: 2}\nb: a.y", {"base": {"x": 1}, "a": {"x": 1, "y": 2}, "b": 2}),
        ("n: 5\na: int & >=1 & <=9 & n", {"n": 5, "a": 5}),
        ('a: string & =~"^a+$" & !~"b" & !="aa"\na: "aaa"', {"a": "aaa"}),
        ('a: *"x" | "y"\nb: "y" & (*"x" | "y")', {"a": "x", "b": "y"}),
        ("#A: [int, ...int]\na: #A & [1, 2, 3]", {"a": [1, 2, 3]}),
        ("#P: {[string]: int}\na: #P & {x: 1, y: 2}", {"a": {"x": 1, "y": 2}}),
        ("#O: {x: 1, ...}\na: #O & {z: 2}", {"a": {"x": 1, "z": 2}}),
        ("a: (1 | 2) & (2 | 3)", {"a": 2}),
        ("x: 1\na: {x: 2, b: x}", {"x": 1, "a": {"x": 2, "b": 2}}),
    ],
)
def test_the_cue_subset_evaluates_as_in_cue(text: str, expected: object) -> None:
    assert evaluate_text(text) == expected


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("a: 1\na: 2", r"f.cue:1: a: 1 is not 2 \(f.cue:2\)"),
        ("a: int\na: 1.5", r"a: .*1.5 is no int"),
        ("a: 5 & <3", r"a: 5 is not <3"),
        ("a: 5s & >=10s", r"a: 5s is not >=10s"),
        ("a: 5s & >=1", r"a: 5s is no number"),
        ("a: 5 & duration", r"a: 5 is no duration"),
        ('a: "x" & =~"^y"', r'a: "x" is not =~"\^y"'),
        ("#D: {x: int}\na: #D & {x: 1, z: 2}", r"f.cue:2: a.z: no such field"),
        ("a: b", r"a: b is not known"),
        ("a: b\nb: c\nc: a", r"refers to itself"),
        ("a: b.c\nb: 1", r"a: b.c: no c there"),
        ("a: string", r"a: missing: string"),
        ('a: "x" | "y"', r'a: not decided: "x" \| "y"'),
        ("#A: [int, ...int]\na: #A & []", r"a: 0 members where 1 are wanted"),
        ("a: [1, 2] & [1]", r"a: 1 members where 2 are wanted"),
        ("a: {x: 1} & 3", r"have nothing in common"),
        ('a: =~"("', r"no regular expression"),
        ("a: >true", r"has no order"),
        ("{[int]: 1}", r"not of the language's subset"),
        ("a: {[int]: 1}", r"only \[string\]"),
        ('a: "\\q"', r"escape"),
        ("a: 1 b: 2", r"f.cue:1: fields on one line are parted by a comma"),
        ("a: 1 + 2", r"f.cue:1: '\+' at column 6"),
        ('import "x"', r"f.cue:1: "),
        ("a: [for x in y {x}]", r"f.cue:1: "),
        ("a: {\n\n", r"the end of the file"),
        ("a: 5parsecs", r"f.cue:1: "),
        ("a: " + "(" * 3000 + "1" + ")" * 3000, r"."),
    ],
)
def test_a_problem_is_reported_with_its_source_position(text: str, message: str) -> None:
    with pytest.raises(OperatorError, match=message):
        evaluate_text(text)


def test_all_problems_are_reported_at_once_with_both_positions() -> None:
    text = """sources: zookeeper: {
        servers: []
        path: "x"
        sesion_timeout: 5s
        linger: 20min
    }
    members: {trace: -1, nobody: "maybe"}
    """
    with pytest.raises(OperatorError) as raised:
        read_text(text, "f.cue")
    lines = str(raised.value).splitlines()
    assert len(lines) == len(raised.value.problems) == 6
    assert all(re.search(r"schema\.cue:\d+", line) for line in lines)
    assert [line.split(": ")[1] for line in lines] == [
        "sources.zookeeper.servers",
        "sources.zookeeper.path",
        "sources.zookeeper.sesion_timeout",
        "sources.zookeeper.linger",
        "members.trace",
        "members.nobody",
    ]
    assert "did you mean session_timeout?" in lines[2]


@pytest.mark.parametrize(
    ("addition", "message"),
    [
        ("sources: zookeeper: rank: 0", "rank.*trusted more"),
        ('sources: zookeeper: servers: ["10.0.0.300:1"]', "is not"),
        ("sources: zookeeper: back_off: {first: 9s, longest: 1s}", "longer than"),
        ("sources: zookeeper: flap: {hold: 9min, longest: 1min}", "longer than"),
        ('presence: path: "/b"', "also that of the boxes"),
    ],
)
def test_constraints_between_fields_are_checked(addition: str, message: str) -> None:
    with pytest.raises(OperatorError, match=message):
        read_text(ZOOKEEPER_SOURCE + addition, "f.cue")
    with pytest.raises(OperatorError, match="needs sources.zookeeper"):
        read_text('presence: path: "/b"', "f.cue")


def test_an_empty_file_gives_the_defaults_and_records_are_frozen() -> None:
    operator = read_text("", "f.cue").operator
    assert (
        operator.zookeeper is None and operator.presence is None and operator.changelog.silent_for == 600_000
    )
    with pytest.raises(AttributeError):
        operator.changelog.rank = 3  # type: ignore[misc]
    configured = read_text(ZOOKEEPER_SOURCE + 'presence: {path: "/r", shares: "derived"}', "f.cue").operator
    assert configured.zookeeper is not None and configured.zookeeper.servers == (("10.0.0.1", 2181),)
    assert (
        configured.zookeeper.most_bytes == 4096
        and configured.presence is not None
        and configured.presence.derived
    )


def test_a_printed_configuration_reads_back_unchanged() -> None:
    original = read(ROOT / "deploy" / "operator.cue")
    reread = read_text("\n".join(show(original.value)), "again.cue")
    assert reread.operator == original.operator


def test_explain_names_the_source_of_a_setting() -> None:
    loaded = read_text(ZOOKEEPER_SOURCE + "members: batch: 20ms", "f.cue")
    assert explain(loaded.value, "members.nope") is None
    lines = explain(loaded.value, "members.batch")
    assert lines is not None and lines[0] == "members.batch: 20ms" and "  given in f.cue:2" in lines
    default_lines = explain(loaded.value, "sources.zookeeper.linger")
    assert default_lines is not None and "the default" in default_lines[1]


@seed(20261201)
@settings(max_examples=300, deadline=None, database=None)
@given(st.text(alphabet='ab#:{}[]()"1.,*|&<>=~!?s\n ', max_size=60))
def test_no_text_crashes_the_reader(text: str) -> None:
    try:
        read_text(text, "f.cue")
    except OperatorError as error:
        assert error.problems and all(problem.at.line >= 1 for problem in error.problems)


@pytest.mark.parametrize(
    ("arguments", "exit_code", "expected"),
    [
        (("check", "deploy/operator.cue"), 0, "good"),
        (("check", "none.cue"), 2, "No such file"),
        (("show",), 0, "stale_for: 5min"),
        (("explain", "sources.changelog.rank"), 0, "given in deploy/operator.cue"),
        (("explain", "sources.none"), 1, "nothing at"),
    ],
)
def test_config_commands_report_by_output_and_exit_code(
    arguments: tuple[str, ...], exit_code: int, expected: str
) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "stonecove", "config", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == exit_code and expected in completed.stdout + completed.stderr

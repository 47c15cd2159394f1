"""Check how KNOWN-RED.txt is read and enforced, by runs of pytest in a directory of their own."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = """
import pytest

def test_good():
    pass

def test_red():
    assert 1 == 2

@pytest.mark.parametrize("what", ["a | b", "c::d"])
def test_many(what):
    assert what == "c::d"

@pytest.mark.skip(reason="not here")
def test_marked():
    pass

def test_skips():
    pytest.skip("not now")

@pytest.fixture
def broken():
    raise OSError("no room")

def test_set_up(broken):
    pass

@pytest.mark.xfail
def test_set_up_of_an_expected_failure(broken):
    pass

@pytest.fixture
def sticky():
    yield
    raise OSError("can't be cleared")

def test_tear_down(sticky):
    assert False

@pytest.mark.xfail
def test_own():
    assert False
"""
FILE = "tests/test_some.py"
DETAILS = "pytest --seed 4 | a fault | issue 3"
RED = f"{FILE}::test_red | pytest -k red, seed 1 | one is not two | issue 7"
MANY = f"{FILE}::test_many[a | b] | pytest -k many, seed 2 | the first is another | issue 12"
OWN = f"{FILE}::test_own | pytest -k own, seed 3 | expected anyway | issue 13"
TWO_WORKERS = ("-p", "xdist", "-n", "2")


@pytest.fixture
def repository(tmp_path: Path) -> Path:
    """Create a repository with a directory of tests."""
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\naddopts = -q\n")
    (tmp_path / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, tmp_path / "tests")
    (tmp_path / FILE).write_text(TESTS)
    (tmp_path / "tests/test_other.py").write_text("def test_other():\n    pass\n")
    return tmp_path


def run(repository: Path, *args: str, lines: list[str] | None = None) -> tuple[int, str]:
    """Return exit code and output of a run with these lines in the file, or without a file."""
    if lines is not None:
        (repository / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    env = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    env |= {"PYTHONPATH": str(HERE.parent), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    done = subprocess.run(
        [sys.executable, "-m", "pytest", *args],
        cwd=repository,
        env=env,
        capture_output=True,
        text=True,
        timeout=120,
    )
    return done.returncode, done.stdout + done.stderr


SELECTED = ("-k", "test_good or test_red or test_many or test_own")


@pytest.mark.parametrize("options", [(), TWO_WORKERS])
def test_expects_listed_tests_to_fail_and_prints_them(repository: Path, options: tuple[str, ...]) -> None:
    code, text = run(repository, *options, *SELECTED, lines=["# why", "", RED, MANY, OWN])
    assert code == 0 and "3 xfailed" in text and "2 passed" in text
    for line in (RED, MANY, OWN):
        test, command, observation, issue = line.rsplit(" | ", 3)
        assert f"{test}: failed as expected | {command} | {observation} | {issue}" in text


def test_changes_nothing_without_the_file(repository: Path) -> None:
    code, text = run(repository, *SELECTED)
    assert code == 1 and "2 failed, 2 passed" in text and "known failing" not in text


@pytest.mark.parametrize("options", [(), TWO_WORKERS])
@pytest.mark.parametrize(
    "reasons",
    [
        {
            "test_good": "passes: remove its entry",
            "test_marked": "but skipped: not here",
            "test_skips": "but skipped: not now",
        },
        {
            "test_set_up": "no room",
            "test_set_up_of_an_expected_failure": "no room",
            "test_tear_down": "can't be cleared",
        },
    ],
)
def test_fails_the_run_if_a_listed_test_passes_skips_or_errors(
    repository: Path, options: tuple[str, ...], reasons: dict[str, str]
) -> None:
    code, text = run(
        repository,
        *options,
        *(f"{FILE}::{test}" for test in reasons),
        lines=[f"{FILE}::{test} | {DETAILS}" for test in reasons],
    )
    assert code == 1
    for test, reason in reasons.items():
        assert reason in text and f"{test}: NOT as expected | {DETAILS}" in text


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (f"{FILE}::test_red", "line 2 is not"),
        (f"{FILE}::test_red | a fault", "line 2 is not"),
        (f"{FILE}::test_red | a fault | issue 3", "line 2 is not"),
        (f"{FILE}::test_many[a | b] | a fault | issue 3", "line 2 is not"),
        (f"{FILE}::test_red |  | a fault | issue 3", "line 2 is not"),
        (f"{FILE}::test_red | pytest --seed 4 |  | issue 3", "line 2 is not"),
        (f"{FILE}::test_red | pytest --seed 4 | a fault | 3", "line 2 is not"),
        (f"test_some.py::test_red | {DETAILS}", "line 2 is not"),
        (f"{FILE} | {DETAILS}", "line 2 is not"),
        (f"{FILE}::test_red | pytest --seed 5 | another fault | issue 3", "again"),
        (f"{MANY}\n{OWN}\n{FILE}::test_good | {DETAILS}", "4 tests"),
    ],
)
def test_rejects_a_malformed_file(repository: Path, line: str, reason: str) -> None:
    code, text = run(repository, FILE, lines=[RED, line])
    assert code == pytest.ExitCode.USAGE_ERROR and "KNOWN-RED.txt: " in text and reason in text


MISSING, OTHER = f"{FILE}::test_gone", "tests/test_other.py"


@pytest.mark.parametrize(
    ("test", "args", "accepted"),
    [
        # in a complete run, each must be found: by its file, its name, its parameter
        (MISSING, (), False),
        (MISSING, TWO_WORKERS, False),
        ("tests/test_gone.py::test_red", (), False),
        ("tests/known_red.py::test_red", (), False),
        (f"{FILE}::test_many", (), False),
        # in a partial run, if the complete file is collected, whatever is selected of it
        (MISSING, (FILE, "-k", "test_good"), False),
        (MISSING, ("tests", "-k", "test_other"), False),
        (f"{FILE}::test_red", (FILE, "-k", "test_good"), True),
        (f"{FILE}::test_red", (FILE, "-k", "test_good", *TWO_WORKERS), True),
        # if it is not collected, the test may exist, unless the file does not
        (MISSING, (OTHER,), True),
        (MISSING, (f"{FILE}::test_good",), True),
        (MISSING, ("--ignore", FILE), True),
        ("tests/test_gone.py::test_red", (OTHER,), False),
    ],
)
def test_fails_the_run_if_a_listed_test_is_missing(
    repository: Path, test: str, args: tuple[str, ...], accepted: bool
) -> None:
    (repository / FILE).write_text(TESTS.split("@pytest.mark.skip")[0].replace("assert ", "assert True or "))
    code, text = run(repository, *args, lines=[f"{test} | {DETAILS}"])
    assert code == (0 if accepted else 1)
    assert f"{test}: {'not run' if accepted else 'NOT FOUND'} | {DETAILS}" in text

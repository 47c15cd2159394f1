"""KNOWN-RED.txt, by runs of pytest in a folder of their own."""

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
RED = f"{FILE}::test_red | one is not two | issue 7"
MANY = f"{FILE}::test_many[a | b] | the first is another | issue 12"
OWN = f"{FILE}::test_own | expected anyway | issue 13"
TWO = ("-p", "xdist", "-n", "2")


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A repository with a folder of tests."""
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\naddopts = -q\n")
    (tmp_path / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, tmp_path / "tests")
    (tmp_path / FILE).write_text(TESTS)
    (tmp_path / "tests/test_other.py").write_text("def test_other():\n    pass\n")
    return tmp_path


def run(folder: Path, *args: str, lines: list[str] | None = None) -> tuple[int, str]:
    """Exit code and output of a run with these lines in the file; None: without a file."""
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    env = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    env |= {"PYTHONPATH": str(HERE.parent), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    done = subprocess.run(
        [sys.executable, "-m", "pytest", *args],
        cwd=folder,
        env=env,
        capture_output=True,
        text=True,
        timeout=120,
    )
    return done.returncode, done.stdout + done.stderr


CHOSEN = ("-k", "test_good or test_red or test_many or test_own")


@pytest.mark.parametrize("how", [(), TWO])
def test_listed_tests_are_expected_to_fail_and_are_told(folder: Path, how: tuple[str, ...]) -> None:
    code, text = run(folder, *how, *CHOSEN, lines=["# why", "", RED, MANY, OWN])
    assert code == 0 and "3 xfailed" in text and "2 passed" in text
    for line in (RED, MANY, OWN):
        test, cause, issue = line.rsplit(" | ", 2)
        assert f"{test}: failed as expected | {cause} | {issue}" in text


def test_without_the_file_all_is_as_before(folder: Path) -> None:
    code, text = run(folder, *CHOSEN)
    assert code == 1 and "2 failed, 2 passed" in text and "known failing" not in text


@pytest.mark.parametrize("how", [(), TWO])
@pytest.mark.parametrize(
    "whys",
    [
        {
            "test_good": "passes: take its line out",
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
def test_what_does_not_fail_by_itself_fails_the_run(
    folder: Path, how: tuple[str, ...], whys: dict[str, str]
) -> None:
    code, text = run(
        folder,
        *how,
        *(f"{FILE}::{test}" for test in whys),
        lines=[f"{FILE}::{test} | a cause | issue 3" for test in whys],
    )
    assert code == 1
    for test, why in whys.items():
        assert why in text and f"{test}: NOT as expected | a cause | issue 3" in text


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (f"{FILE}::test_red", "line 2"),
        (f"{FILE}::test_red | a cause", "line 2"),
        (f"{FILE}::test_red |  | issue 3", "line 2"),
        (f"{FILE}::test_red | a cause | 3", "line 2"),
        ("test_some.py::test_red | a cause | issue 3", "line 2"),
        (f"{FILE} | a cause | issue 3", "line 2"),
        (f"{FILE}::test_red | another cause | issue 3", "again"),
        (f"{MANY}\n{OWN}\n{FILE}::test_good | a cause | issue 3", "4 tests"),
    ],
)
def test_a_file_that_cannot_be_used_fails_the_run(folder: Path, line: str, why: str) -> None:
    code, text = run(folder, FILE, lines=[RED, line])
    assert code == pytest.ExitCode.USAGE_ERROR and "KNOWN-RED.txt: " in text and why in text


GONE, OTHER = f"{FILE}::test_gone", "tests/test_other.py"


@pytest.mark.parametrize(
    ("test", "args", "there"),
    [
        # in a whole run, each must be found: by its file, its name, its parameter
        (GONE, (), False),
        (GONE, TWO, False),
        ("tests/test_gone.py::test_red", (), False),
        ("tests/known_red.py::test_red", (), False),
        (f"{FILE}::test_many", (), False),
        # in part of one, if the whole file is looked at, whatever is run of it
        (GONE, (FILE, "-k", "test_good"), False),
        (GONE, ("tests", "-k", "test_other"), False),
        (f"{FILE}::test_red", (FILE, "-k", "test_good"), True),
        (f"{FILE}::test_red", (FILE, "-k", "test_good", *TWO), True),
        # if it is not, nothing can be said, unless there is no such file
        (GONE, (OTHER,), True),
        (GONE, (f"{FILE}::test_good",), True),
        (GONE, ("--ignore", FILE), True),
        ("tests/test_gone.py::test_red", (OTHER,), False),
    ],
)
def test_a_test_that_is_not_there_fails_the_run(
    folder: Path, test: str, args: tuple[str, ...], there: bool
) -> None:
    (folder / FILE).write_text(TESTS.split("@pytest.mark.skip")[0].replace("assert ", "assert True or "))
    code, text = run(folder, *args, lines=[f"{test} | a cause | issue 3"])
    assert code == (0 if there else 1)
    assert f"{test}: {'not run' if there else 'NOT FOUND'} | a cause | issue 3" in text

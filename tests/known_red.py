"""Tests that are known to fail: read from KNOWN-RED.txt, held to failing, and told at the end of each run.

A line reads `tests/test_x.py::test_name | cause | issue 12`; blank lines and those that begin with `#` are
passed over. Without the file nothing of this is there.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
_TEST = re.compile(r"(tests/(?:\w+/)*\w+\.py)::\S.*")
_ISSUE = re.compile(r"issue [0-9]+")


class Known(NamedTuple):
    """A line of the file."""

    file: str
    cause: str
    issue: str


def read(text: str) -> dict[str, Known]:
    """The lines by the tests' ids; raises ValueError for a line that can't be used."""
    known: dict[str, Known] = {}
    for number, line in enumerate(map(str.strip, text.splitlines()), 1):
        if not line or line.startswith("#"):
            continue
        test, cause, issue = ("", "", *line.rsplit(" | ", 2))[-3:]  # a parameter may hold the sign as well
        if not (found := _TEST.fullmatch(test)) or not cause.strip() or not _ISSUE.fullmatch(issue):
            raise ValueError(f"line {number} is not 'tests/test_x.py::test_name | cause | issue N'")
        if test in known:
            raise ValueError(f"line {number} lists {test} again")
        known[test] = Known(found[1], cause, issue)
    if len(known) > MOST:
        raise ValueError(f"{len(known)} tests are listed, {MOST} may be: mend one first")
    return known


class KnownRed:
    """The plugin. With pytest-xdist it is in each worker, and in the process that tells the end."""

    def __init__(self, config: pytest.Config, known: dict[str, Known]) -> None:
        self._config = config
        self._known = known
        self._unknown: set[str] = set()
        self._became = dict.fromkeys(known, "not run")

    # -- which tests there are --

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Looks for the listed tests before `-k` and the like leave some out."""
        there = {item.nodeid for item in items}
        self._unknown = {
            test
            for test, line in self._known.items()
            if test not in there and self._should_be_there(line.file)
        }
        if hasattr(self._config, "workeroutput"):
            self._config.workeroutput["unknown_red"] = sorted(self._unknown)

    def _should_be_there(self, file: str) -> bool:
        """Whether this run collects all of a file, or there is no such file.

        Guards against calling a test unknown because only some were asked for.
        """
        path = self._config.rootpath / file
        if not path.is_file():
            return True
        if any(self._config.getoption(name, None) for name in ("lf", "ignore", "ignore_glob")):
            return False
        start = self._config.invocation_params.dir
        whole = [(start / arg).resolve() for arg in self._config.args if "::" not in arg]
        return any(part in (path, *path.parents) for part in whole)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """A worker of pytest-xdist has ended."""
        self._unknown.update(getattr(node, "workeroutput", {}).get("unknown_red", ()))

    # -- how they end --

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Only a failure of the test itself is the expected one.

        A skip, or an error in set-up or tear-down, shows nothing of the listed cause.
        """
        report = yield
        if not (line := self._known.get(item.nodeid)):
            return report
        if call.excinfo is not None and call.excinfo.errisinstance(pytest.skip.Exception):
            report.outcome, report.longrepr = "failed", f"listed in {NAME}, but skipped: {call.excinfo.value}"
        elif call.excinfo is not None and report.when == "call":
            report.outcome, report.wasxfail = "skipped", f"{line.cause} ({line.issue})"
        elif call.excinfo is not None:  # an expected failure of its own does not cover it either
            report.outcome = "failed"
            report.__dict__.pop("wasxfail", None)
        elif report.when == "call":
            report.outcome, report.longrepr = "failed", f"passes: take its line out of {NAME} ({line.issue})"
            report.__dict__.pop("wasxfail", None)
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Keeps what became of a listed test, for the end."""
        if report.nodeid in self._known and (report.when == "call" or not report.passed):
            self._became[report.nodeid] = "failed as expected" if report.skipped else "NOT as expected"

    # -- the end --

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fails the run over tests that are not there."""
        self._became.update(dict.fromkeys(self._unknown, "NOT FOUND"))
        if self._unknown and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Tells each listed test with its cause and issue."""
        terminalreporter.section(f"known failing tests ({NAME})")
        for test, line in self._known.items():
            terminalreporter.write_line(f"{test}: {self._became[test]} | {line.cause} | {line.issue}")


def configure(config: pytest.Config, path: Path) -> None:
    """Takes the file into account, if there is one; raises UsageError for one that can't be used."""
    if not path.exists():
        return
    try:
        known = read(path.read_text())
    except (OSError, ValueError) as error:
        raise pytest.UsageError(f"{NAME}: {error}") from error
    config.pluginmanager.register(KnownRed(config, known), "known-red")

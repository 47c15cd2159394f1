"""Expect the failures that KNOWN-RED.txt lists, and report each of them at the end of a run.

An entry reads `tests/test_x.py::test_name | command and seed | what was seen | issue 12`; blank lines
and lines that begin with `#` are ignored. Without the file, pytest runs as it does without this plugin.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3
_SEPARATOR = " | "
_FORMAT = _SEPARATOR.join(("tests/test_x.py::test_name", "command and seed", "what was seen", "issue N"))
_TEST_ID = re.compile(r"(tests/(?:\w+/)*\w+\.py)::\w+(?:::\w+)*(?:\[.*\])?")
_ISSUE = re.compile(r"issue [0-9]+")


class KnownFailure(NamedTuple):
    """Describe one test that is expected to fail."""

    file: str
    command: str
    observation: str
    issue: str


def parse_entries(text: str) -> dict[str, KnownFailure]:
    """Return the known failures by test id; raise ValueError for a malformed or excess entry."""
    failures: dict[str, KnownFailure] = {}
    for number, line in enumerate(map(str.strip, text.splitlines()), 1):
        if not line or line.startswith("#"):
            continue
        test_id, failure = _parse_entry(number, line)
        if test_id in failures:
            raise ValueError(f"line {number} lists {test_id} again")
        failures[test_id] = failure
    if len(failures) > MAX_ENTRIES:
        raise ValueError(f"{len(failures)} tests are listed, at most {MAX_ENTRIES} may be: fix one first")
    return failures


def _parse_entry(number: int, line: str) -> tuple[str, KnownFailure]:
    """Return the test id and the failure of a line; raise ValueError if a part is missing or malformed.

    Split from the right, since a parameter in the test id may contain the separator as well.
    """
    parts = line.rsplit(_SEPARATOR, 3)
    if len(parts) == 4:
        test_id, command, observation, issue = parts
        match = _TEST_ID.fullmatch(test_id)
        if match and command.strip() and observation.strip() and _ISSUE.fullmatch(issue):
            return test_id, KnownFailure(match[1], command, observation, issue)
    raise ValueError(f"line {number} is not '{_FORMAT}'")


class KnownRed:
    """Hold listed tests to failing.

    With pytest-xdist, each worker and the controller, which prints the summary, has a plugin of its own.
    """

    def __init__(self, config: pytest.Config, failures: dict[str, KnownFailure]) -> None:
        self._config = config
        self._failures = failures
        self._missing: set[str] = set()
        self._results = dict.fromkeys(failures, "not run")

    # -- collection --

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Record the listed tests that don't exist, before options such as `-k` deselect some."""
        collected = {item.nodeid for item in items}
        self._missing = {
            test_id
            for test_id, failure in self._failures.items()
            if test_id not in collected and self._must_be_collected(failure.file)
        }
        if hasattr(self._config, "workeroutput"):
            self._config.workeroutput["missing_known_red"] = sorted(self._missing)

    def _must_be_collected(self, file: str) -> bool:
        """Return whether this run collects all of a file, or the file doesn't exist.

        Otherwise a listed test would be reported as missing only because the run selects others.
        """
        path = self._config.rootpath / file
        if not path.is_file():
            return True
        if any(self._config.getoption(name, None) for name in ("lf", "ignore", "ignore_glob")):
            return False
        start = self._config.invocation_params.dir
        complete = [(start / arg).resolve() for arg in self._config.args if "::" not in arg]
        return any(part in (path, *path.parents) for part in complete)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Merge the missing tests that a pytest-xdist worker found."""
        self._missing.update(getattr(node, "workeroutput", {}).get("missing_known_red", ()))

    # -- results --

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Accept a failure of the test's own body only.

        A skip, or an error in set-up or tear-down, doesn't show the listed fault.
        """
        report = yield
        if not (failure := self._failures.get(item.nodeid)):
            return report
        if call.excinfo is not None and call.excinfo.errisinstance(pytest.skip.Exception):
            report.outcome, report.longrepr = "failed", f"listed in {NAME}, but skipped: {call.excinfo.value}"
        elif call.excinfo is not None and report.when == "call":
            report.outcome, report.wasxfail = "skipped", f"{failure.observation} ({failure.issue})"
        elif call.excinfo is not None:  # an `xfail` mark on the test doesn't excuse it either
            report.outcome = "failed"
            report.__dict__.pop("wasxfail", None)
        elif report.when == "call":
            report.outcome = "failed"
            report.longrepr = f"passes: remove its entry from {NAME} ({failure.issue})"
            report.__dict__.pop("wasxfail", None)
        return report

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the result of a listed test for the summary."""
        if report.nodeid in self._failures and (report.when == "call" or not report.passed):
            self._results[report.nodeid] = "failed as expected" if report.skipped else "NOT as expected"

    # -- end of the run --

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run if a listed test doesn't exist."""
        self._results.update(dict.fromkeys(self._missing, "NOT FOUND"))
        if self._missing and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print each listed test with its result, command, observation and issue."""
        terminalreporter.section(f"known failing tests ({NAME})")
        for test_id, failure in self._failures.items():
            result = f"{test_id}: {self._results[test_id]}"
            terminalreporter.write_line(
                _SEPARATOR.join((result, failure.command, failure.observation, failure.issue))
            )


def configure(config: pytest.Config, path: Path) -> None:
    """Register the plugin if the file exists; raise UsageError if the file can't be read or parsed."""
    if not path.exists():
        return
    try:
        failures = parse_entries(path.read_text())
    except (OSError, ValueError) as error:
        raise pytest.UsageError(f"{NAME}: {error}") from error
    config.pluginmanager.register(KnownRed(config, failures), "known-red")

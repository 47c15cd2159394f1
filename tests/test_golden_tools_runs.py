"""Compare scale runs and trials with golden data: options, schedules, verdicts, reports and output.

Record again with `PYTHONPATH=. python tests/test_golden_tools_runs.py --record` from the repository's root.
"""

from __future__ import annotations

import json
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import numpy as np
import pytest
from click.testing import CliRunner
from golden_tools_cases import (
    FOLDER,
    REPOSITORY,
    describe_delays,
    describe_incarnation,
    describe_scale_options,
    describe_trial,
    json_number,
    json_round_trip,
    read_golden,
    write_golden,
)
from hdrh.histogram import HdrHistogram

from stonecove.commands.main import cli
from stonecove.operator_config.grammar import OperatorError
from stonecove.overload.amplification import AmplificationStatistics, LoadEvent
from stonecove.scale import ledger, options, report
from stonecove.scale.results import ControlCost, Delays, FaultResult, MachineCost, Measurement
from stonecove.scale.series import Series, play_series
from stonecove.standins.depot import ReceivedRequest
from stonecove.standins.loaded import Fetch, LoadedDepot
from stonecove.trial.judge import judge, peak_slow_start_load
from stonecove.trial.open_loop import OpenLoopClients
from stonecove.trial.processes import RouterProcess
from stonecove.trial.schedule import Trial, read_trial, trial_of
from stonecove.trial.testbed import TrialRecord

TRIAL_FILES = sorted((REPOSITORY / "stonecove" / "trial" / "trials").glob("*.cue"))
SEED = 5
START_S = 1_800_000_000.0
NS_PER_MS = 1_000_000


# -- scale: options --


def scale_options() -> Any:
    """Return options without a file and with files, and the resources that such runs need."""
    sources = {
        "default": options.ScaleOptions(),
        "short": options.SHORT,
        "scale_all.cue": options.read_options(FOLDER / "scale_all.cue", options.ScaleOptions()),
        "scale_some.cue over short": options.read_options(FOLDER / "scale_some.cue", options.SHORT),
    }
    return {
        name: {
            "options": describe_scale_options(run_options),
            "hollow_routers": [run_options.hollow(size) for size in run_options.sizes],
            "hollow_processes": [run_options.hollow_processes(size) for size in run_options.sizes],
            "processes": options.processes_needed(run_options),
            "descriptors": options.descriptors_needed(run_options),
            "memory_mb": options.memory_needed_mb(run_options),
        }
        for name, run_options in sources.items()
    }


INVALID_SCALE_FILES = (
    "sizes: [4, 8", "sizes: [1, 8, 12, 40]", "seconds: 1", 'faults: ["rain"]', "colour: 3", "real: 51",
    "seed: 1.5", "caches: 0\nreal: 99",
)  # fmt: skip
INVALID_SCALE_ARGUMENTS = (
    ("--sizes", "10,20,30"), ("--sizes", "10,20,20,60"), ("--sizes", "10,20,30,3000"),
    ("--sizes", "1,20,30,60"), ("--sizes", "few"), ("--real", "10"), ("--seconds", "1"),
    ("--seconds", "nan"), ("--faults", "rain"),
    ("--faults", "zone-cut,zone-cut"), ("--faults", "zone-cut", "--no-faults"),
    ("--sizes", "10,20,30,1000", "--real", "3", "--logs", "/dev/null"),
)  # fmt: skip


def scale_errors() -> Any:
    """Return the error messages and exit codes for invalid files and options."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "scale.cue")
        for text in INVALID_SCALE_FILES:
            path.write_text(text)
            result = CliRunner().invoke(cli, ["scale", "run", str(path)])
            results.append(
                {
                    "file": text,
                    "exit_code": result.exit_code,
                    "stderr": result.stderr.replace(folder, "FOLDER"),
                }
            )
    for arguments in INVALID_SCALE_ARGUMENTS:
        result = CliRunner().invoke(cli, ["scale", "run", "--short", *arguments])
        results.append({"arguments": list(arguments), "exit_code": result.exit_code, "stderr": result.stderr})
    return results


# -- scale: results --


def _measurement(routers: int, faults: tuple[FaultResult, ...] = (), lost: int = 0) -> Measurement:
    return Measurement(
        routers=routers,
        hollow=routers - 1,
        real=1,
        caches=290,
        seconds=4.0,
        purges=88,
        purge=Delays(88, 5.0, 10.0 + 0.5 * routers, 20.0 + 1.25 * routers),
        config=Delays(3, 100.0, 200.0, 300.0 + routers),
        cost=ControlCost(500.0 + 1.0 * routers, 100.0, 50.0, 0.2 + 0.001 * routers, 1.5, 0.75),
        machines=(
            MachineCost("a", 1.0, 30.0, 100.0, routers),
            MachineCost("b", 2.0 + 0.1 * routers, 40.0 + 0.2 * routers, 1000.0 * routers, routers),
        ),
        faults=faults,
        lost=lost,
        repeated=lost // 2,
        requests_answered=80,
        requests_failed=lost,
        notes=("one note", f"{routers} only"),
    )


PASSING_FAULTS = (FaultResult("zone-cut", 350.5, 120.0, "a note"), FaultResult("routers-killed", 90.0, 30.0))
FAILING_FAULTS = (FaultResult("region-cut", -1.0, 9000.0),)


def _stub_play(failing: bool) -> Callable[[options.ScaleOptions, int], Measurement]:
    """Return a stub that returns fixed measurements for a size, with faults where the options have them."""

    def play(run_options: options.ScaleOptions, routers: int) -> Measurement:
        if not run_options.faults:
            return _measurement(routers)
        return _measurement(routers, FAILING_FAULTS if failing else PASSING_FAULTS, 4 if failing else 0)

    return play


class _RecordingListener:
    """Records the lines of output while a series is played."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def played(self, measured: Measurement) -> None:
        self.lines.append(report.played_line(measured))

    def predicted(self, predictions: Any) -> None:
        self.lines += report.prediction_lines(predictions)


def _series(failing: bool) -> tuple[Series, list[str]]:
    listener = _RecordingListener()
    return play_series(options.SHORT, _stub_play(failing), listener), listener.lines


def scale_reports() -> Any:
    """Return the record and the lines of a series within its bounds, and of one that exceeds them."""
    reports = {}
    for name, failing in (("kept", False), ("broken", True)):
        series, lines = _series(failing)
        reports[name] = {
            "told_while_played": lines,
            "record": report.record(series),
            "broken_rules": list(report.broken_rules(series)),
            "closing_lines": report.closing_lines(series),
            "last_line": report.summary_line(series),
        }
    return reports


def scale_commands() -> Any:
    """Return the output and exit codes of `stonecove scale run` for fixed measurements."""
    results = []
    for failing in (False, True):
        with mock.patch("stonecove.scale.run.play", _stub_play(failing)):
            for arguments in (("--json",), ()):
                result = CliRunner().invoke(
                    cli, ["scale", "run", "--short", *arguments], env={"COLUMNS": "140"}
                )
                results.append(
                    {"arguments": list(arguments), "broken": failing, "exit_code": result.exit_code,
                     "stdout": result.stdout.splitlines(), "stderr": result.stderr.splitlines()}
                )  # fmt: skip
    return results


def scale_ledgers() -> Any:
    """Return which events routers applied, and the counts and delays computed from them."""
    first, second, third = (
        ledger.Ledger(0, 10, 5 * NS_PER_MS),
        ledger.Ledger(1, 10, 6 * NS_PER_MS),
        ledger.Ledger(1, 13, 60 * NS_PER_MS),
    )
    for event, at_ms in ((11, 20), (12, 22), (12, 23), (14, 26), (13, 27), (10, 28)):
        first.record_applied(event, at_ms * NS_PER_MS)
    for event, at_ms in ((11, 21), (13, 25)):
        second.record_applied(event, at_ms * NS_PER_MS)
    second.ended_at_ns = 30 * NS_PER_MS
    for event, at_ms in ((14, 70), (15, 71)):
        third.record_applied(event, at_ms * NS_PER_MS)
    incarnations = [ledger.Incarnation.of(router_ledger) for router_ledger in (first, second, third)]
    first_bytes_ns = ledger.earliest_first_bytes_ns(
        [
            [18 * NS_PER_MS, 0, 24 * NS_PER_MS, 25 * NS_PER_MS, 0],
            [19 * NS_PER_MS, 21 * NS_PER_MS, 23 * NS_PER_MS],
            [0] * 6,
        ],
        5,
    )
    published = ledger.Published(11, first_bytes_ns, frozenset({11, 12, 14}))
    return {
        "lives": [describe_incarnation(incarnation) for incarnation in incarnations],
        "newest": [router_ledger.newest for router_ledger in (first, second, third)],
        "first_bytes_ns": first_bytes_ns.tolist(),
        "last_published": published.last,
        "lost": [
            ledger.count_lost(selected, published)
            for selected in (incarnations, incarnations[:1], incarnations[1:])
        ],
        "repeated": ledger.count_repeated(incarnations),
        "purges": [
            describe_delays(ledger.purge_delays(selected, published, 11, last))
            for selected in (incarnations[:1], incarnations[:2])
            for last in (14, 15)
        ],
        "level_ns": [ledger.caught_up_at_ns(incarnations[:1], published, event) for event in (9, 11, 14, 15)],
        "delays": [
            describe_delays(ledger.summarize_delays(selected))
            for selected in ([], [3.0], list(np.arange(1.0, 101.0)))
        ],
    }


# -- trials: schedules --


def trial_schedules() -> Any:
    """Return the meaning of the bundled trials, and of a trial with every field for two seeds."""
    schedules = {path.stem: describe_trial(read_trial(path, SEED)) for path in TRIAL_FILES}
    for seed in (SEED, SEED + 1):
        schedules[f"trial_all.cue, seed {seed}"] = describe_trial(read_trial(FOLDER / "trial_all.cue", seed))
    return schedules


_INVALID_FAULTS = (
    '{at: 1s, do: "kill"}', '{at: 1s, do: "kill", who: [5]}', '{at: 1s, do: "kill", some: 6}',
    '{at: 1s, do: "kill", zone: 2}', '{at: 1s, do: "reset"}', '{at: 1s, do: "reset", of: ["cache-9"]}',
    '{at: 1s, do: "surge", factor: 2, for: 1s}', '{at: 1s, do: "slow", factor: 2, for: 1s}',
    '{at: 1s, do: "clock", who: [0]}', '{at: 1s, do: "pause", who: [0]}',
    '{at: 4s, do: "pause", who: [0], for: 2s}', '{at: 1s, do: "weather", delay: [2s, 1s], for: 1s}',
    '{at: 1s, do: "cold", cache: 3}', '{at: 1s, do: "rain"}', '{at: 1, do: "purge"}',
)  # fmt: skip
INVALID_TRIAL_FILES = (
    *(f'title: "t", lasts: 5s, expects: {{}}\nfaults: [{fault}]' for fault in _INVALID_FAULTS),
    "", 'title: "t", lasts: 5s', 'title: "t", lasts: 500ms, expects: {}', 'title: "t", lasts: 5s, twins: [7]',
    'title: "t", lasts: 5s, routers: 21\ncolour: 1', 'title: "t", lasts: 5s, crowd: {tries: 9}', "title: [",
)  # fmt: skip


def trial_errors() -> Any:
    """Return all problems of invalid schedules, and the exit code of the command."""
    results: list[dict[str, Any]] = []
    for text in INVALID_TRIAL_FILES:
        try:
            trial_of(text, "t.cue", 1)
        except OperatorError as error:
            results.append({"file": text, "problems": [str(problem) for problem in error.problems]})
        else:
            results.append({"file": text, "problems": []})
    result = CliRunner().invoke(cli, ["trial", "run", "no-such-trial"])
    results.append({"arguments": ["no-such-trial"], "exit_code": result.exit_code, "stderr": result.stderr})
    return results


# -- trials: results --


class _StubDepot(LoadedDepot):
    """A depot without a server, with the requests, fetches and connections that it would have recorded."""

    def __init__(self, failing: bool) -> None:
        start_ms = START_S * 1000.0
        self.received_requests = [
            ReceivedRequest(
                start_ms + 1000.0 + 40.0 * number,
                0x11 + number % 2,
                f"{16 * number:x}",
                "item-image",
                "s-00000021",
            )
            for number in range(1, 220)
            for _ in range(2 if failing else 1)
        ]
        self.received_requests += [
            ReceivedRequest(start_ms + 2000.0, 0x11, f"{16 * 3:x}", "item-image", "s-00000021")
        ]
        self.fetches = [
            Fetch(start_ms + 1500.0, "fill", "30", True),
            Fetch(start_ms + 1600.0, "origin", "30", False),
        ]
        self.connection_times_ms = [start_ms + 500.0, start_ms + 900.0]
        self.origin_stop_times = [start_ms + 3000.0] if failing else []
        self._failing = failing

    def count_stale_answers(self, purged_at_ms: float, grace_ms: float = 500.0) -> int:
        """Return the number of answers that are older than a purge."""
        return 2 if self._failing else 0


def _stub_clients(failing: bool) -> OpenLoopClients:
    """Return clients without threads, with the events and answers that they would have recorded."""
    clients = OpenLoopClients.__new__(OpenLoopClients)
    clients.events, clients.answers, clients.lost = [], Counter({"200": 203, "503": 16}), []
    clients.latency_us = HdrHistogram(1, 60_000_000, 3)
    for number in range(1, 220):
        at_s, cls = START_S + 1.0 + 0.04 * number, "pick-confirm" if number % 10 == 0 else "item-image"
        served = number % 13 != 0 and not (failing and number > 60)
        clients.events += [
            LoadEvent(at_s, "meant", number, cls),
            LoadEvent(at_s, "try", number, cls),
            LoadEvent(at_s + 0.02, "served" if served else "refused", number, cls),
        ]
        clients.latency_us.record_value(1000 * number)
    if failing:
        clients.lost = [(START_S + 2.0, 1)]
    return clients


SHARE_LINE = (
    "{at:.3f} gossip_share_changed joined=True unleased_fraction=1.000 fleet_size={fleet} "
    "by_zone=0,1 view=1\n"
)
VIEW_LINE = "{at:.3f} gossip_view_changed view=2 members=2\n"
MEMBER_LINE = "{at:.3f} gossip_member_changed member={member} state=failed generation={generation}\n"
INTERNAL_ERROR_LINE = "{at:.3f} internal_error where=x\n"


def _log_text(index: int, other_member: str, failing: bool) -> str:
    """Return the log of a router; in a trial that passes, the second router is killed after 3 s."""
    generation = round((START_S - 5.0) * 1000.0)
    lines = [SHARE_LINE.format(at=START_S + 0.5, fleet=1 if failing else 2)]
    if failing or index == 0:
        lines += [
            VIEW_LINE.format(at=START_S + 4.0),
            MEMBER_LINE.format(at=START_S + 4.0, member=other_member, generation=generation),
        ]
    if failing:
        lines += [VIEW_LINE.format(at=START_S + 5.0), INTERNAL_ERROR_LINE.format(at=START_S + 5.0)]
    return "".join(lines)


def _trial_record(folder: Path, failing: bool) -> TrialRecord:
    trial = trial_of((FOLDER / "trial_result.cue").read_text(), "trial_result.cue", SEED)
    ids = ["00000000000000a1", "00000000000000b2"]
    routers = []
    for index, name in enumerate(("edge-0", "edge-1")):
        router = RouterProcess(folder / name, name, {"listen": "127.0.0.1:1"}, None)
        router.log.write_text(_log_text(index, ids[1 - index], failing))
        ended_at_s = None if index == 0 or failing else START_S + 3.0
        router.run_times = [(START_S - 5.0, ended_at_s)]
        routers.append(router)
    record = TrialRecord(
        trial, START_S, START_S + 10.0, routers, ids, _stub_clients(failing), _StubDepot(failing),
        1 if failing else 0,
        [(START_S, "s-00000011",
          [(START_S + 1.0) * 1000.0 + number for number in range(700 if failing else 4)])],
        [] if failing else [(START_S + 3.0, START_S + 10.0, 1, "kill")],
        [(0, -6)] if failing else [],
        [(START_S + 1.25, 0, {"members": [{"member": ids[1], "state": "alive"}], "status": {"view": 1}})],
        [(START_S + 0.5, START_S + 3.0, 0x11)] if failing else [],
        [(START_S + 1.0) * 1000.0],
        None if failing else START_S + 4.5,
    )  # fmt: skip
    return record


def trial_verdicts() -> Any:
    """Return the verdicts on a trial without violations, and on one that violates every rule."""
    verdicts: dict[str, Any] = {}
    for name, failing in (("kept", False), ("broken", True)):
        with tempfile.TemporaryDirectory() as folder:
            verdict = judge(_trial_record(Path(folder), failing))
        table = verdict.as_dict()
        table["figures"] = {key: json_number(value) for key, value in table["figures"].items()}
        verdicts[name] = {
            "verdict": table,
            "in_words": [violation.summary() for violation in verdict.violations],
        }
    verdicts["cold part"] = [
        list(
            peak_slow_start_load(
                [(START_S + 0.1 * number) * 1000.0 for number in range(count)], START_S, 3.0, 40.0
            )
        )
        for count in (0, 1, 60)
    ]
    return verdicts


def _run_trial(folder: Path, failing: bool, *arguments: str) -> Any:
    def play(_trial: Trial, _seed: int, logs: Path) -> Any:
        record = _trial_record(logs / "routers", failing)
        return record, judge(record)

    with mock.patch("stonecove.trial.judge.run_trial", play):
        return CliRunner().invoke(cli, ["trial", "run", str(FOLDER / "trial_result.cue"), *arguments])


def trial_commands() -> Any:
    """Return the output and files of `stonecove trial run` for fixed trial records."""
    results = []
    for failing in (False, True):
        for arguments in (("--json",), ()):
            with tempfile.TemporaryDirectory() as folder:
                result = _run_trial(Path(folder), failing, *arguments, "--logs", f"{folder}/logs")
                files = {path.name: path.read_text() for path in sorted(Path(folder, "logs").glob("*.json"))}
            results.append(
                {"arguments": list(arguments), "broken": failing, "exit_code": result.exit_code,
                 "stdout": result.stdout.splitlines(), "files": files}
            )  # fmt: skip
    listed = CliRunner().invoke(cli, ["trial", "list"])
    return [
        *results,
        {"arguments": ["list"], "exit_code": listed.exit_code, "stdout": listed.stdout.splitlines()},
    ]


def overload_commands() -> Any:
    """Return the output of `stonecove overload report` for the files that a trial has written."""
    results = []
    for entry in read_golden("trial_commands.json"):
        if "--json" not in entry["arguments"]:
            continue
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "book.json").write_text(entry["files"]["book.json"])
            for arguments in (("--json",), ("--seconds",)):
                result = CliRunner().invoke(
                    cli, ["overload", "report", folder, *arguments], env={"COLUMNS": "140"}
                )
                results.append(
                    {"broken": entry["broken"], "arguments": list(arguments), "exit_code": result.exit_code,
                     "stdout": result.stdout.splitlines()}
                )  # fmt: skip
    for text in (None, "{", "{}", '{"events": [[1]]}', '{"events": [["a", "b", 1, "c"]]}'):
        with tempfile.TemporaryDirectory() as folder:
            if text is not None:
                Path(folder, "book.json").write_text(text)
            result = CliRunner().invoke(cli, ["overload", "report", folder])
        results.append({"file": text, "exit_code": result.exit_code, "named": "book.json" in result.stderr})
    return results


def overload_book() -> Any:
    """Return the statistics of the events that a trial has written."""
    entry = next(command for command in read_golden("trial_commands.json") if command["broken"])
    stored = json.loads(entry["files"]["book.json"])
    book = AmplificationStatistics(
        LoadEvent(float(at_s), kind, int(intent), cls) for at_s, kind, intent, cls in stored["events"]
    )
    return {
        "meant": book.intended,
        "by_second": {
            str(at_s): {"meant": second.intended, "caused": dict(sorted(second.caused.items())),
                      "ended": dict(sorted(second.ended.items()))}
            for at_s, second in sorted(book.seconds.items())
        },
        "by_class": {name: dict(sorted(counts.items())) for name, counts in sorted(book.by_class.items())},
        "recovered_s": [json_number(book.recovery_s(at_s)) for at_s in (0.0, 1.0, 5.0)],
        "sustained_by": [list(pair) for pair in book.sustained_by(3.0, 2.0)],
    }  # fmt: skip


OUTPUTS: dict[str, Callable[[], Any]] = {
    "scale_options.json": scale_options,
    "scale_errors.json": scale_errors,
    "scale_reports.json": scale_reports,
    "scale_commands.json": scale_commands,
    "scale_ledgers.json": scale_ledgers,
    "trial_schedules.json": trial_schedules,
    "trial_errors.json": trial_errors,
    "trial_verdicts.json": trial_verdicts,
    "trial_commands.json": trial_commands,
    "overload_commands.json": overload_commands,
    "overload_book.json": overload_book,
}


@pytest.mark.parametrize("name", OUTPUTS)
def test_scale_and_trial_output_matches_golden_files(name: str) -> None:
    assert json_round_trip(OUTPUTS[name]()) == read_golden(name)


def test_series_creates_folder_of_each_size(tmp_path: Path) -> None:
    folders: list[Path | None] = []

    def play(run_options: options.ScaleOptions, routers: int) -> Measurement:
        folders.append(run_options.folder)
        return _measurement(routers)

    play_series(options.ScaleOptions(sizes=(4, 8, 12, 16), folder=tmp_path), play, _RecordingListener())
    assert folders == [tmp_path / f"routers-{size}" for size in (4, 8, 12, 16)]
    assert all(folder is not None and folder.is_dir() for folder in folders)


def test_recorded_verdict_covers_every_rule() -> None:
    broken = {
        violation["rule"] for violation in read_golden("trial_verdicts.json")["broken"]["verdict"]["broken"]
    }
    assert broken == {
        "answer", "write", "crash", "bug", "cold", "drain", "purge", "amplification", "recovery", "valued",
        "shares", "failed", "joined", "views",
    }  # fmt: skip
    assert read_golden("trial_verdicts.json")["kept"]["verdict"]["passed"] is True


def record() -> None:
    """Write all golden files."""
    for name, output in OUTPUTS.items():
        write_golden(name, output())


if __name__ == "__main__" and "--record" in sys.argv:
    record()

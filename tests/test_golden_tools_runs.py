"""Scale runs and trials: options and schedules read, results judged and written, held against golden data.

Record anew with `PYTHONPATH=. python tests/test_golden_tools_runs.py --record` from the repository's root.
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
    ROOT,
    as_json,
    describe_delays,
    describe_life,
    describe_scale_options,
    describe_trial,
    finite,
    recorded,
    write,
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

TRIALS = sorted((ROOT / "stonecove" / "trial" / "trials").glob("*.cue"))
SEED = 5
BEGAN = 1_800_000_000.0
MS = 1_000_000  # nanoseconds


# -- scale: options --


def scale_options() -> Any:
    """Return the options without a file, with files, and what a run of that size needs."""
    found = {
        "default": options.ScaleOptions(),
        "short": options.SHORT,
        "scale_all.cue": options.read_options(FOLDER / "scale_all.cue", options.ScaleOptions()),
        "scale_some.cue over short": options.read_options(FOLDER / "scale_some.cue", options.SHORT),
    }
    return {
        name: {
            "options": describe_scale_options(one),
            "hollow_routers": [one.hollow(size) for size in one.sizes],
            "hollow_processes": [one.hollow_processes(size) for size in one.sizes],
            "processes": options.processes_needed(one),
            "descriptors": options.descriptors_needed(one),
            "memory_mb": options.memory_needed_mb(one),
        }
        for name, one in found.items()
    }


SCALE_TEXTS = (
    "sizes: [4, 8", "sizes: [1, 8, 12, 40]", "seconds: 1", 'faults: ["rain"]', "colour: 3", "real: 51",
    "seed: 1.5", "caches: 0\nreal: 99",
)  # fmt: skip
SCALE_WORDS = (
    ("--sizes", "10,20,30"), ("--sizes", "10,20,20,60"), ("--sizes", "10,20,30,3000"),
    ("--sizes", "1,20,30,60"), ("--sizes", "few"), ("--real", "10"), ("--seconds", "1"),
    ("--seconds", "nan"), ("--faults", "rain"),
    ("--faults", "zone-cut,zone-cut"), ("--faults", "zone-cut", "--no-faults"),
    ("--sizes", "10,20,30,1000", "--real", "3", "--logs", "/dev/null"),
)  # fmt: skip


def scale_errors() -> Any:
    """Return what is told of files and options that can't be used, with the exit code."""
    told = []
    with tempfile.TemporaryDirectory() as name:
        path = Path(name, "scale.cue")
        for text in SCALE_TEXTS:
            path.write_text(text)
            done = CliRunner().invoke(cli, ["scale", "run", str(path)])
            told.append(
                {"file": text, "exit_code": done.exit_code, "stderr": done.stderr.replace(name, "FOLDER")}
            )
    for words in SCALE_WORDS:
        done = CliRunner().invoke(cli, ["scale", "run", "--short", *words])
        told.append({"arguments": list(words), "exit_code": done.exit_code, "stderr": done.stderr})
    return told


# -- scale: results --


def _measured(routers: int, faults: tuple[FaultResult, ...] = (), lost: int = 0) -> Measurement:
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


GOOD_FAULTS = (FaultResult("zone-cut", 350.5, 120.0, "a note"), FaultResult("routers-killed", 90.0, 30.0))
BAD_FAULTS = (FaultResult("region-cut", -1.0, 9000.0),)


def _player(bad: bool) -> Callable[[options.ScaleOptions, int], Measurement]:
    """Return what plays a size without playing: at the last one, with faults."""

    def play(asked: options.ScaleOptions, routers: int) -> Measurement:
        if not asked.faults:
            return _measured(routers)
        return _measured(routers, BAD_FAULTS if bad else GOOD_FAULTS, 4 if bad else 0)

    return play


class _Listener:
    """Keeps what it is told while a series is played."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def played(self, measured: Measurement) -> None:
        self.lines.append(report.played_line(measured))

    def predicted(self, predictions: Any) -> None:
        self.lines += report.prediction_lines(predictions)


def _series(bad: bool) -> tuple[Series, list[str]]:
    listener = _Listener()
    return play_series(options.SHORT, _player(bad), listener), listener.lines


def scale_reports() -> Any:
    """Return the record and the lines of a series that kept its bounds, and of one that did not."""
    found = {}
    for name, bad in (("kept", False), ("broken", True)):
        series, lines = _series(bad)
        found[name] = {
            "told_while_played": lines,
            "record": report.record(series),
            "broken_rules": list(report.broken_rules(series)),
            "closing_lines": report.closing_lines(series),
            "last_line": report.summary_line(series),
        }
    return found


def scale_commands() -> Any:
    """Return what `stonecove scale run` prints of results that are given, and its exit codes."""
    told = []
    for bad in (False, True):
        with mock.patch("stonecove.scale.run.play", _player(bad)):
            for words in (("--json",), ()):
                done = CliRunner().invoke(cli, ["scale", "run", "--short", *words], env={"COLUMNS": "140"})
                told.append(
                    {"arguments": list(words), "broken": bad, "exit_code": done.exit_code,
                     "stdout": done.stdout.splitlines(), "stderr": done.stderr.splitlines()}
                )  # fmt: skip
    return told


def scale_ledgers() -> Any:
    """Return which events routers took in force, and what is counted of them."""
    first, second, third = (
        ledger.Ledger(0, 10, 5 * MS),
        ledger.Ledger(1, 10, 6 * MS),
        ledger.Ledger(1, 13, 60 * MS),
    )
    for number, moment in ((11, 20), (12, 22), (12, 23), (14, 26), (13, 27), (10, 28)):
        first.record_applied(number, moment * MS)
    for number, moment in ((11, 21), (13, 25)):
        second.record_applied(number, moment * MS)
    second.ended_at_ns = 30 * MS
    for number, moment in ((14, 70), (15, 71)):
        third.record_applied(number, moment * MS)
    lives = [ledger.Incarnation.of(one) for one in (first, second, third)]
    bytes_told = ledger.earliest_first_bytes_ns(
        [[18 * MS, 0, 24 * MS, 25 * MS, 0], [19 * MS, 21 * MS, 23 * MS], [0] * 6], 5
    )
    published = ledger.Published(11, bytes_told, frozenset({11, 12, 14}))
    return {
        "lives": [describe_life(one) for one in lives],
        "newest": [one.newest for one in (first, second, third)],
        "first_bytes_ns": bytes_told.tolist(),
        "last_published": published.last,
        "lost": [ledger.count_lost(some, published) for some in (lives, lives[:1], lives[1:])],
        "repeated": ledger.count_repeated(lives),
        "purges": [
            describe_delays(ledger.purge_delays(some, published, 11, last))
            for some in (lives[:1], lives[:2])
            for last in (14, 15)
        ],
        "level_ns": [ledger.caught_up_at_ns(lives[:1], published, number) for number in (9, 11, 14, 15)],
        "delays": [
            describe_delays(ledger.summarize_delays(some))
            for some in ([], [3.0], list(np.arange(1.0, 101.0)))
        ],
    }


# -- trials: schedules --


def trial_schedules() -> Any:
    """Return the meaning of the trials that come along, and of one with every field, by two seeds."""
    found = {path.stem: describe_trial(read_trial(path, SEED)) for path in TRIALS}
    for seed in (SEED, SEED + 1):
        found[f"trial_all.cue, seed {seed}"] = describe_trial(read_trial(FOLDER / "trial_all.cue", seed))
    return found


_FAULTY = (
    '{at: 1s, do: "kill"}', '{at: 1s, do: "kill", who: [5]}', '{at: 1s, do: "kill", some: 6}',
    '{at: 1s, do: "kill", zone: 2}', '{at: 1s, do: "reset"}', '{at: 1s, do: "reset", of: ["cache-9"]}',
    '{at: 1s, do: "surge", factor: 2, for: 1s}', '{at: 1s, do: "slow", factor: 2, for: 1s}',
    '{at: 1s, do: "clock", who: [0]}', '{at: 1s, do: "pause", who: [0]}',
    '{at: 4s, do: "pause", who: [0], for: 2s}', '{at: 1s, do: "weather", delay: [2s, 1s], for: 1s}',
    '{at: 1s, do: "cold", cache: 3}', '{at: 1s, do: "rain"}', '{at: 1, do: "purge"}',
)  # fmt: skip
TRIAL_TEXTS = (
    *(f'title: "t", lasts: 5s, expects: {{}}\nfaults: [{one}]' for one in _FAULTY),
    "", 'title: "t", lasts: 5s', 'title: "t", lasts: 500ms, expects: {}', 'title: "t", lasts: 5s, twins: [7]',
    'title: "t", lasts: 5s, routers: 21\ncolour: 1', 'title: "t", lasts: 5s, crowd: {tries: 9}', "title: [",
)  # fmt: skip


def trial_errors() -> Any:
    """Return all problems of schedules that can't be used, and the exit code of the command."""
    told: list[dict[str, Any]] = []
    for text in TRIAL_TEXTS:
        try:
            trial_of(text, "t.cue", 1)
        except OperatorError as error:
            told.append({"file": text, "problems": [str(one) for one in error.problems]})
        else:
            told.append({"file": text, "problems": []})
    done = CliRunner().invoke(cli, ["trial", "run", "no-such-trial"])
    told.append({"arguments": ["no-such-trial"], "exit_code": done.exit_code, "stderr": done.stderr})
    return told


# -- trials: results --


class _RecordedDepot(LoadedDepot):
    """What a depot would have seen, without any server."""

    def __init__(self, bad: bool) -> None:
        ms = BEGAN * 1000.0
        self.received_requests = [
            ReceivedRequest(
                ms + 1000.0 + 40.0 * number, 0x11 + number % 2, f"{16 * number:x}", "item-image", "s-00000021"
            )
            for number in range(1, 220)
            for _ in range(2 if bad else 1)
        ]
        self.received_requests += [
            ReceivedRequest(ms + 2000.0, 0x11, f"{16 * 3:x}", "item-image", "s-00000021")
        ]
        self.fetches = [Fetch(ms + 1500.0, "fill", "30", True), Fetch(ms + 1600.0, "origin", "30", False)]
        self.connection_times_ms = [ms + 500.0, ms + 900.0]
        self.origin_stop_times = [ms + 3000.0] if bad else []
        self._bad = bad

    def count_stale_answers(self, purged_at_ms: float, grace_ms: float = 500.0) -> int:
        """Return how many answers were older than a purge."""
        return 2 if self._bad else 0


def _clients(bad: bool) -> OpenLoopClients:
    """Return what clients would have recorded, without any thread."""
    clients = OpenLoopClients.__new__(OpenLoopClients)
    clients.events, clients.answers, clients.lost = [], Counter({"200": 203, "503": 16}), []
    clients.latency_us = HdrHistogram(1, 60_000_000, 3)
    for number in range(1, 220):
        at, cls = BEGAN + 1.0 + 0.04 * number, "pick-confirm" if number % 10 == 0 else "item-image"
        served = number % 13 != 0 and not (bad and number > 60)
        clients.events += [
            LoadEvent(at, "meant", number, cls),
            LoadEvent(at, "try", number, cls),
            LoadEvent(at + 0.02, "served" if served else "refused", number, cls),
        ]
        clients.latency_us.record_value(1000 * number)
    if bad:
        clients.lost = [(BEGAN + 2.0, 1)]
    return clients


SHARE = (
    "{at:.3f} gossip_share_changed joined=True unleased_fraction=1.000 fleet_size={fleet} "
    "by_zone=0,1 view=1\n"
)
VIEW = "{at:.3f} gossip_view_changed view=2 members=2\n"
MEMBER = "{at:.3f} gossip_member_changed member={member} state=failed generation={life}\n"
BUG = "{at:.3f} internal_error where=x\n"


def _log(place: int, other: str, bad: bool) -> str:
    """Return what a router would have logged: in a good trial, the second is killed after 3 s."""
    life = round((BEGAN - 5.0) * 1000.0)
    lines = [SHARE.format(at=BEGAN + 0.5, fleet=1 if bad else 2)]
    if bad or place == 0:
        lines += [VIEW.format(at=BEGAN + 4.0), MEMBER.format(at=BEGAN + 4.0, member=other, life=life)]
    if bad:
        lines += [VIEW.format(at=BEGAN + 5.0), BUG.format(at=BEGAN + 5.0)]
    return "".join(lines)


def _record(folder: Path, bad: bool) -> TrialRecord:
    trial = trial_of((FOLDER / "trial_result.cue").read_text(), "trial_result.cue", SEED)
    ids = ["00000000000000a1", "00000000000000b2"]
    routers = []
    for place, name in enumerate(("edge-0", "edge-1")):
        router = RouterProcess(folder / name, name, {"listen": "127.0.0.1:1"}, None)
        router.log.write_text(_log(place, ids[1 - place], bad))
        ended = None if place == 0 or bad else BEGAN + 3.0
        router.run_times = [(BEGAN - 5.0, ended)]
        routers.append(router)
    record = TrialRecord(
        trial, BEGAN, BEGAN + 10.0, routers, ids, _clients(bad), _RecordedDepot(bad), 1 if bad else 0,
        [(BEGAN, "s-00000011", [(BEGAN + 1.0) * 1000.0 + number for number in range(700 if bad else 4)])],
        [] if bad else [(BEGAN + 3.0, BEGAN + 10.0, 1, "kill")],
        [(0, -6)] if bad else [],
        [(BEGAN + 1.25, 0, {"members": [{"member": ids[1], "state": "alive"}], "status": {"view": 1}})],
        [(BEGAN + 0.5, BEGAN + 3.0, 0x11)] if bad else [],
        [(BEGAN + 1.0) * 1000.0],
        None if bad else BEGAN + 4.5,
    )  # fmt: skip
    return record


def trial_verdicts() -> Any:
    """Return the verdicts on a trial that kept the rules, and on one that broke each."""
    found: dict[str, Any] = {}
    for name, bad in (("kept", False), ("broken", True)):
        with tempfile.TemporaryDirectory() as folder:
            verdict = judge(_record(Path(folder), bad))
        table = verdict.as_dict()
        table["figures"] = {key: finite(value) for key, value in table["figures"].items()}
        found[name] = {"verdict": table, "in_words": [one.summary() for one in verdict.violations]}
    found["cold part"] = [
        list(
            peak_slow_start_load(
                [(BEGAN + 0.1 * number) * 1000.0 for number in range(count)], BEGAN, 3.0, 40.0
            )
        )
        for count in (0, 1, 60)
    ]
    return found


def _played(folder: Path, bad: bool, *words: str) -> Any:
    def play(_trial: Trial, _seed: int, logs: Path) -> Any:
        record = _record(logs / "routers", bad)
        return record, judge(record)

    with mock.patch("stonecove.trial.judge.run_trial", play):
        return CliRunner().invoke(cli, ["trial", "run", str(FOLDER / "trial_result.cue"), *words])


def trial_commands() -> Any:
    """Return what `stonecove trial run` prints and writes of a trial that is given."""
    told = []
    for bad in (False, True):
        for words in (("--json",), ()):
            with tempfile.TemporaryDirectory() as name:
                done = _played(Path(name), bad, *words, "--logs", f"{name}/logs")
                files = {path.name: path.read_text() for path in sorted(Path(name, "logs").glob("*.json"))}
            told.append(
                {"arguments": list(words), "broken": bad, "exit_code": done.exit_code,
                 "stdout": done.stdout.splitlines(), "files": files}
            )  # fmt: skip
    listed = CliRunner().invoke(cli, ["trial", "list"])
    return [
        *told,
        {"arguments": ["list"], "exit_code": listed.exit_code, "stdout": listed.stdout.splitlines()},
    ]


def overload_commands() -> Any:
    """Return what `stonecove overload report` makes of the files that a trial has left."""
    told = []
    for entry in recorded("trial_commands.json"):
        if "--json" not in entry["arguments"]:
            continue
        with tempfile.TemporaryDirectory() as name:
            Path(name, "book.json").write_text(entry["files"]["book.json"])
            for words in (("--json",), ("--seconds",)):
                done = CliRunner().invoke(cli, ["overload", "report", name, *words], env={"COLUMNS": "140"})
                told.append(
                    {"broken": entry["broken"], "arguments": list(words), "exit_code": done.exit_code,
                     "stdout": done.stdout.splitlines()}
                )  # fmt: skip
    for text in (None, "{", "{}", '{"events": [[1]]}', '{"events": [["a", "b", 1, "c"]]}'):
        with tempfile.TemporaryDirectory() as name:
            if text is not None:
                Path(name, "book.json").write_text(text)
            done = CliRunner().invoke(cli, ["overload", "report", name])
        told.append({"file": text, "exit_code": done.exit_code, "named": "book.json" in done.stderr})
    return told


def overload_book() -> Any:
    """Return what a book counts of the events that a trial has left."""
    entry = next(one for one in recorded("trial_commands.json") if one["broken"])
    found = json.loads(entry["files"]["book.json"])
    book = AmplificationStatistics(
        LoadEvent(float(at), what, int(meaning), cls) for at, what, meaning, cls in found["events"]
    )
    return {
        "meant": book.intended,
        "by_second": {
            str(at): {"meant": second.intended, "caused": dict(sorted(second.caused.items())),
                      "ended": dict(sorted(second.ended.items()))}
            for at, second in sorted(book.seconds.items())
        },
        "by_class": {name: dict(sorted(came.items())) for name, came in sorted(book.by_class.items())},
        "recovered_s": [finite(book.recovery_s(at)) for at in (0.0, 1.0, 5.0)],
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
def test_runs_give_what_was_recorded(name: str) -> None:
    assert as_json(OUTPUTS[name]()) == recorded(name)


def test_folder_of_each_size_is_made(tmp_path: Path) -> None:
    given: list[Path | None] = []

    def play(asked: options.ScaleOptions, routers: int) -> Measurement:
        given.append(asked.folder)
        return _measured(routers)

    play_series(options.ScaleOptions(sizes=(4, 8, 12, 16), folder=tmp_path), play, _Listener())
    assert given == [tmp_path / f"routers-{size}" for size in (4, 8, 12, 16)]
    assert all(one is not None and one.is_dir() for one in given)


def test_every_rule_is_broken_in_the_recorded_verdict() -> None:
    broken = {one["rule"] for one in recorded("trial_verdicts.json")["broken"]["verdict"]["broken"]}
    assert broken == {
        "answer", "write", "crash", "bug", "cold", "drain", "purge", "amplification", "recovery", "valued",
        "shares", "failed", "joined", "views",
    }  # fmt: skip
    assert recorded("trial_verdicts.json")["kept"]["verdict"]["passed"] is True


def record() -> None:
    """Write all golden files."""
    for name, output in OUTPUTS.items():
        write(name, output())


if __name__ == "__main__" and "--record" in sys.argv:
    record()

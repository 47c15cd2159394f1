"""Golden cases of the fleet area: the supervisor's journal and run files."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

from golden_fleet_files import FOLDER, UNIX_TIME_S, temporary_folder
from golden_folder import Format, GoldenFolder, Meaning, Replay, Snapshot, key_of

from stonecove.fleet import runfile
from stonecove.fleet.journal import Journal, JournalError
from stonecove.fleet.restart import InstanceLifecycle, Phase, RestartPolicy
from stonecove.fleet.rolling import RollingRestart, RollingState
from stonecove.fleet.supervisor import LAUNCH_SCRIPT


class MemoryDisk:
    """An in-memory disk with one file that records operations and fails writes while `full` is set."""

    def __init__(self, data: bytes = b"") -> None:
        self.data = data
        self.full = False
        self.operations: list[Meaning] = []

    def _check(self) -> None:
        if self.full:
            raise OSError(28, "No space left on device")

    def read(self, path: Path) -> bytes:
        """Return the content."""
        return self.data

    def append(self, path: Path, data: bytes) -> None:
        """Append bytes."""
        self._check()
        self.data += data
        self.operations.append({"appended": data.hex()})

    def truncate(self, path: Path, size: int) -> None:
        """Truncate the content."""
        self._check()
        self.data = self.data[:size]
        self.operations.append({"truncated_to": size})

    def replace(self, path: Path, data: bytes) -> None:
        """Replace the content."""
        self._check()
        self.data = data
        self.operations.append({"replaced_by": data.hex()})


JOURNAL_PATH = Path("journal")
RUNNING = {"wanted": True, "held": False, "why": "answers", "restarts": 0, "recent": []}
RESTARTED = {
    "wanted": True,
    "held": False,
    "why": 'ended by SIGSEGV: "\u00e9"/x',
    "restarts": 2,
    "recent": [1_764_575_990.5, 1_764_575_998.25],
}
SUSPENDED = {
    "wanted": True,
    "held": True,
    "why": "ended with 1; 5 restarts within 60 s",
    "restarts": 5,
    "recent": [1_764_575_950.5, 1_764_575_960.5, 1_764_575_970.5, 1_764_575_980.5, 1_764_575_990.5],
}
STOPPED = {"wanted": False, "held": False, "why": "by an operator", "restarts": 1, "recent": [UNIX_TIME_S]}
ROLLING = {
    "state": "rolling",
    "why": "",
    "out": 2,
    "left": ["r-2"],
    "under_way": ["r-1"],
    "done": ["r-0"],
    "reload": False,
    "pids": {"r-0": 4711, "r-1": 4712},
}
ROLLING_STOPPED = {
    **ROLLING,
    "state": "stopped",
    "why": "r-1: not ready within 10 s",
    "left": [],
    "reload": True,
}
ENTRIES: tuple[tuple[str, Any], ...] = (
    ("unit/r-0", RUNNING),
    ("unit/r-1", RESTARTED),
    ("unit/r-2", SUSPENDED),
    ("roll", ROLLING),
    ("unit/r-1", STOPPED),
    ("unit/r-3", RUNNING),
    ("unit/r-3", None),
    ("roll", ROLLING_STOPPED),
)


def _play_journal(inputs: list[Meaning]) -> list[Any]:
    disk = MemoryDisk()
    journal = Journal(JOURNAL_PATH, disk)
    outputs = []
    for step in inputs:
        disk.full, disk.operations = step["disk_full"], []
        stored = journal.put(step["key"], step["value"])
        outputs.append(
            {
                "stored": stored,
                "disk": disk.operations,
                "records": journal.records,
                "failures": journal.failed_writes,
            }
        )
    return outputs


def _journal_script() -> list[Meaning]:
    writes: list[tuple[str, Any, bool]] = [(key, value, False) for key, value in ENTRIES]
    writes += [
        ("unit/r-0", RUNNING, False),  # unchanged: nothing is written
        ("unit/r-0", STOPPED, True),
        ("unit/r-0", STOPPED, True),
        ("unit/r-0", STOPPED, False),  # the file is rewritten
        ("unit/r-0", RUNNING, False),
    ]
    return [{"key": key, "value": value, "disk_full": full} for key, value, full in writes]


def _journal_bytes() -> bytes:
    disk = MemoryDisk()
    journal = Journal(JOURNAL_PATH, disk)
    for key, value in ENTRIES:
        assert journal.put(key, value)
    return disk.data


def _journal_state(data: bytes) -> Meaning:
    """Return the content of a journal, or the offsets in its error message."""
    disk = MemoryDisk(data)
    try:
        journal = Journal(JOURNAL_PATH, disk)
    except JournalError as error:
        return {"broken_at": [int(number) for number in re.findall(r"byte (\d+)", str(error))]}
    return {"records": journal.records, "file_bytes": len(disk.data), "values": journal.values}


def _group_equal_states(states: list[Meaning]) -> list[Meaning]:
    """Return groups of equal consecutive states with their first and last positions."""
    groups: list[Meaning] = []
    for position, state in enumerate(states):
        if groups and groups[-1]["state"] == state:
            groups[-1]["to"] = position
        else:
            groups.append({"from": position, "to": position, "state": state})
    return groups


def _truncated_journals() -> list[Meaning]:
    data = FOLDER.read_bytes("journal.bin")
    return _group_equal_states([_journal_state(data[:size]) for size in range(len(data) + 1)])


def _damaged_journals() -> list[Meaning]:
    """Return the journal's state for each single inverted byte, grouped by the offset of that byte."""
    data = FOLDER.read_bytes("journal.bin")
    states = []
    for offset in range(len(data)):
        state = _journal_state(data[:offset] + bytes([data[offset] ^ 0xFF]) + data[offset + 1 :])
        state.pop("values", None)
        states.append(state)
    return _group_equal_states(states)


class JournalFile:
    """The golden journal, rewritten and read back."""

    name = "journal"

    def record(self, folder: GoldenFolder) -> None:
        """Write the golden files."""
        folder.write_bytes("journal.bin", _journal_bytes())
        folder.write("journal.json", _journal_state(folder.read_bytes("journal.bin")))

    def check(self, folder: GoldenFolder) -> None:
        """Assert that the same entries give the same bytes, and the bytes the same entries."""
        data = folder.read_bytes("journal.bin")
        assert _journal_bytes() == data
        assert _journal_state(data) == folder.read("journal.json")
        with temporary_folder() as folder_path:
            journal = Journal(folder_path / "journal")
            for key, value in ENTRIES:
                assert journal.put(key, value)
            assert (folder_path / "journal").read_bytes() == data


PHASES = {
    "stopped": Phase.STOPPED,
    "starting": Phase.STARTING,
    "ready": Phase.READY,
    "stopping": Phase.STOPPING,
    "killed": Phase.KILLED,
    "backing_off": Phase.BACKING_OFF,
    "held": Phase.SUSPENDED,
}
ROLLING_STATES = {
    "none": RollingState.NONE,
    "rolling": RollingState.ROLLING,
    "done": RollingState.DONE,
    "stopped": RollingState.STOPPED,
}


def _restore_entries(inputs: list[Meaning]) -> list[Any]:
    """Restore instances and rolling restarts from journal entries, and encode them again."""
    outputs: list[Meaning] = []
    for step in inputs:
        value = step["value"]
        if step["key"] == "roll":
            rolling_restart = RollingRestart()
            rolling_restart.restore(value, set(step["instances"]))
            meaning = {
                "state": key_of(ROLLING_STATES, rolling_restart.state),
                "reason": rolling_restart.reason,
                "most_out": rolling_restart.max_unavailable,
                "remaining": rolling_restart.remaining,
                "in_progress": rolling_restart.in_progress,
                "finished": rolling_restart.finished,
            }
            outputs.append({"meaning": meaning, "written": rolling_restart.to_journal()})
            continue
        instance = InstanceLifecycle(RestartPolicy())
        instance.restore(value, UNIX_TIME_S, 1000.0)
        meaning = {
            "phase": key_of(PHASES, instance.phase),
            "wanted": instance.should_run,
            "reason": instance.reason,
            "restarts": instance.restarts,
        }
        outputs.append({"meaning": meaning, "written": instance.to_journal(UNIX_TIME_S, 1000.0)})
    return outputs


def _restore_script() -> list[Meaning]:
    restarted_in_future = {**RESTARTED, "recent": [UNIX_TIME_S + 50.0]}  # the clock was set back
    instances = [RUNNING, RESTARTED, SUSPENDED, STOPPED, restarted_in_future, {}]
    rolling_restarts: list[Meaning] = [
        ROLLING,
        ROLLING_STOPPED,
        {**ROLLING, "state": "done"},
        {"state": "none"},
    ]
    return [
        *({"key": "unit/r-0", "value": value} for value in instances),
        *({"key": "roll", "value": value, "instances": ["r-0", "r-1", "r-2"]} for value in rolling_restarts),
        {"key": "roll", "value": ROLLING, "instances": ["r-0"]},
    ]


# -- run files --


def _encode_run_file(meaning: Meaning) -> bytes:
    with temporary_folder() as folder:
        runfile.write(folder, runfile.Run(meaning["pid"], meaning["start_ticks"], meaning["boot_id"]))
        assert [path.name for path in folder.iterdir()] == ["run.json"]
        return (folder / "run.json").read_bytes()


def _decode_run_file(data: bytes) -> Meaning:
    with temporary_folder() as folder:
        (folder / "run.json").write_bytes(data)
        run = runfile.read(folder)
    if run is None:
        raise ValueError
    return {"pid": run.pid, "start_ticks": run.start, "boot_id": run.boot}


RUN_FILE = Format(
    "run-file",
    _encode_run_file,
    _decode_run_file,
    samples=(
        ("usual", {"pid": 4711, "start_ticks": 123_456, "boot_id": "5f3b1c52-8f5e-4d6a-9c3e-0a1b2c3d4e5f"}),
        ("no boot id", {"pid": 1, "start_ticks": 0, "boot_id": ""}),
    ),
    inputs=(("more fields, text for numbers", b'{"boot": 5, "pid": "17", "start": 3.5, "x": 1}'),),
    broken=(
        ("empty", b""),
        ("no object", b"[]"),
        ("cut off", b'{"pid": 4711, "start": 12'),
        ("without start", b'{"pid": 4711, "boot": ""}'),
        ("pid is a word", b'{"pid": "x", "start": 1, "boot": ""}'),
    ),
    reason=lambda error: "unreadable",
)


def _launch_output() -> Meaning:
    """Return the files written by the launcher and the environment of the program that replaces it."""
    shell_command = 'echo "descriptors $(ulimit -Sn)"; echo "pid $$"; echo error >&2'
    with temporary_folder() as folder:
        command = [
            str(LAUNCH_SCRIPT),
            str(folder),
            "-",
            "64",
            str(folder / "errors"),
            "--",
            "sh",
            "-c",
            shell_command,
        ]
        process = subprocess.run([sys.executable, "-S", "-E", *command], capture_output=True, check=False)
        run_file = (folder / "run.json").read_bytes()
        output = (folder / "errors").read_text()
        permissions = (folder / "errors").stat().st_mode & 0o777
        names = sorted(path.name for path in folder.iterdir())
    run_record = json.loads(run_file)
    masked = re.sub(rb'("pid": |"start": )\d+', rb"\1<number>", run_file)
    masked = re.sub(rb'("boot": ")[0-9a-f-]*', rb"\1<boot id>", masked)
    return {
        "exit": process.returncode,
        "printed": (process.stdout + process.stderr).decode(),
        "files": names,
        "run_file": masked.decode(),
        "errors": output.replace(f"pid {run_record['pid']}", "pid <as in the run file>"),
        "errors_rights": oct(permissions),
        "boot_id_is_the_machines": run_record["boot"] == runfile.boot_id(),
    }


CASES = (
    JournalFile(),
    Replay("journal-writes", _journal_script, _play_journal),
    Snapshot("journal-cuts", _truncated_journals),
    Snapshot("journal-damage", _damaged_journals),
    Replay("journal-entries", _restore_script, _restore_entries),
    RUN_FILE,
    Snapshot("launch", _launch_output),
)

"""Cases of the fleet area: the supervisor's journal and run files."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

from golden_fleet_files import FOLDER, UNIX, temporary_folder
from golden_folder import Folder, Format, Meaning, Replay, Snapshot, key_of

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


PATH = Path("journal")
RUNNING = {"wanted": True, "held": False, "why": "answers", "restarts": 0, "recent": []}
RESTARTED = {
    "wanted": True,
    "held": False,
    "why": 'ended by SIGSEGV: "\u00e9"/x',
    "restarts": 2,
    "recent": [1_764_575_990.5, 1_764_575_998.25],
}
HELD = {
    "wanted": True,
    "held": True,
    "why": "ended with 1; 5 restarts within 60 s",
    "restarts": 5,
    "recent": [1_764_575_950.5, 1_764_575_960.5, 1_764_575_970.5, 1_764_575_980.5, 1_764_575_990.5],
}
STOPPED = {"wanted": False, "held": False, "why": "by an operator", "restarts": 1, "recent": [UNIX]}
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
ROLL_STOPPED = {
    **ROLLING,
    "state": "stopped",
    "why": "r-1: not ready within 10 s",
    "left": [],
    "reload": True,
}
ENTRIES: tuple[tuple[str, Any], ...] = (
    ("unit/r-0", RUNNING),
    ("unit/r-1", RESTARTED),
    ("unit/r-2", HELD),
    ("roll", ROLLING),
    ("unit/r-1", STOPPED),
    ("unit/r-3", RUNNING),
    ("unit/r-3", None),
    ("roll", ROLL_STOPPED),
)


def _play_journal(inputs: list[Meaning]) -> list[Any]:
    disk = MemoryDisk()
    journal = Journal(PATH, disk)
    outputs = []
    for one in inputs:
        disk.full, disk.operations = one["disk_full"], []
        stored = journal.put(one["key"], one["value"])
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
    puts: list[tuple[str, Any, bool]] = [(key, value, False) for key, value in ENTRIES]
    puts += [
        ("unit/r-0", RUNNING, False),  # unchanged: nothing is written
        ("unit/r-0", STOPPED, True),
        ("unit/r-0", STOPPED, True),
        ("unit/r-0", STOPPED, False),  # the file is rewritten
        ("unit/r-0", RUNNING, False),
    ]
    return [{"key": key, "value": value, "disk_full": full} for key, value, full in puts]


def _journal_bytes() -> bytes:
    disk = MemoryDisk()
    journal = Journal(PATH, disk)
    for key, value in ENTRIES:
        assert journal.put(key, value)
    return disk.data


def _journal_state(data: bytes) -> Meaning:
    """Return the content of a journal, or the offsets named in its error."""
    disk = MemoryDisk(data)
    try:
        journal = Journal(PATH, disk)
    except JournalError as error:
        return {"broken_at": [int(number) for number in re.findall(r"byte (\d+)", str(error))]}
    return {"records": journal.records, "file_bytes": len(disk.data), "values": journal.values}


def _ranges(states: list[Meaning]) -> list[Meaning]:
    """Return runs of equal states with their first and last positions."""
    runs: list[Meaning] = []
    for position, state in enumerate(states):
        if runs and runs[-1]["state"] == state:
            runs[-1]["to"] = position
        else:
            runs.append({"from": position, "to": position, "state": state})
    return runs


def _truncated_journals() -> list[Meaning]:
    data = FOLDER.read_bytes("journal.bin")
    return _ranges([_journal_state(data[:size]) for size in range(len(data) + 1)])


def _damaged_journals() -> list[Meaning]:
    """Return the journal's state with one byte inverted, by the offset of that byte."""
    data = FOLDER.read_bytes("journal.bin")
    states = []
    for offset in range(len(data)):
        state = _journal_state(data[:offset] + bytes([data[offset] ^ 0xFF]) + data[offset + 1 :])
        state.pop("values", None)
        states.append(state)
    return _ranges(states)


class JournalFile:
    """The golden journal, rewritten and read back."""

    name = "journal"

    def record(self, folder: Folder) -> None:
        """Write the golden files."""
        folder.write_bytes("journal.bin", _journal_bytes())
        folder.write("journal.json", _journal_state(folder.read_bytes("journal.bin")))

    def check(self, folder: Folder) -> None:
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
    """Restore entries and write them again."""
    outputs: list[Meaning] = []
    for one in inputs:
        value = one["value"]
        if one["key"] == "roll":
            roll = RollingRestart()
            roll.restore(value, set(one["instances"]))
            meaning = {
                "state": key_of(ROLLING_STATES, roll.state),
                "reason": roll.reason,
                "most_out": roll.max_unavailable,
                "remaining": roll.remaining,
                "in_progress": roll.in_progress,
                "finished": roll.finished,
            }
            outputs.append({"meaning": meaning, "written": roll.to_journal()})
            continue
        instance = InstanceLifecycle(RestartPolicy())
        instance.restore(value, UNIX, 1000.0)
        meaning = {
            "phase": key_of(PHASES, instance.phase),
            "wanted": instance.should_run,
            "reason": instance.reason,
            "restarts": instance.restarts,
        }
        outputs.append({"meaning": meaning, "written": instance.to_journal(UNIX, 1000.0)})
    return outputs


def _restore_script() -> list[Meaning]:
    future = {**RESTARTED, "recent": [UNIX + 50.0]}  # the clock was set back
    instances = [RUNNING, RESTARTED, HELD, STOPPED, future, {}]
    rolls: list[Meaning] = [ROLLING, ROLL_STOPPED, {**ROLLING, "state": "done"}, {"state": "none"}]
    return [
        *({"key": "unit/r-0", "value": value} for value in instances),
        *({"key": "roll", "value": value, "instances": ["r-0", "r-1", "r-2"]} for value in rolls),
        {"key": "roll", "value": ROLLING, "instances": ["r-0"]},
    ]


# -- run files --


def _write_run(meaning: Meaning) -> bytes:
    with temporary_folder() as folder:
        runfile.write(folder, runfile.Run(meaning["pid"], meaning["start_ticks"], meaning["boot_id"]))
        assert [path.name for path in folder.iterdir()] == ["run.json"]
        return (folder / "run.json").read_bytes()


def _read_run(data: bytes) -> Meaning:
    with temporary_folder() as folder:
        (folder / "run.json").write_bytes(data)
        run = runfile.read(folder)
    if run is None:
        raise ValueError
    return {"pid": run.pid, "start_ticks": run.start, "boot_id": run.boot}


RUN_FILE = Format(
    "run-file",
    _write_run,
    _read_run,
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


def _launch() -> Meaning:
    """Return the files written by the launcher and the environment of the program that replaces it."""
    shell = 'echo "descriptors $(ulimit -Sn)"; echo "pid $$"; echo error >&2'
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
            shell,
        ]
        done = subprocess.run([sys.executable, "-S", "-E", *command], capture_output=True, check=False)
        run = (folder / "run.json").read_bytes()
        output = (folder / "errors").read_text()
        rights = (folder / "errors").stat().st_mode & 0o777
        names = sorted(path.name for path in folder.iterdir())
    table = json.loads(run)
    masked = re.sub(rb'("pid": |"start": )\d+', rb"\1<number>", run)
    masked = re.sub(rb'("boot": ")[0-9a-f-]*', rb"\1<boot id>", masked)
    return {
        "exit": done.returncode,
        "printed": (done.stdout + done.stderr).decode(),
        "files": names,
        "run_file": masked.decode(),
        "errors": output.replace(f"pid {table['pid']}", "pid <as in the run file>"),
        "errors_rights": oct(rights),
        "boot_id_is_the_machines": table["boot"] == runfile.boot_id(),
    }


CASES = (
    JournalFile(),
    Replay("journal-writes", _journal_script, _play_journal),
    Snapshot("journal-cuts", _truncated_journals),
    Snapshot("journal-damage", _damaged_journals),
    Replay("journal-entries", _restore_script, _restore_entries),
    RUN_FILE,
    Snapshot("launch", _launch),
)

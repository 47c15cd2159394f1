"""Run files: the identity of an instance's process, from which a new supervisor finds it.

A process is identified by its pid and start time, never by its name.

    {"pid": 4711, "start": 123456, "boot": "…"}

`start` is field 22 of /proc/PID/stat (proc(5)), in clock ticks since boot: a process that reuses the pid has
another start time.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import NamedTuple

FILE_NAME = "run.json"


class Run(NamedTuple):
    """The identity of a process, unique among all that have or had its pid."""

    pid: int
    start: int  # clock ticks since boot
    boot: str


def boot_id() -> str:
    """Return the id of the machine's present boot; empty where the system does not provide one."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def start_ticks(pid: int) -> int | None:
    """Return a process's start time in clock ticks since boot; None if there is none or it is a zombie."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except (OSError, ValueError):
        return None
    return None if fields[0] in ("Z", "X") else int(fields[19])


def current_process() -> Run:
    """Return the identity of this process."""
    pid = os.getpid()
    return Run(pid, start_ticks(pid) or 0, boot_id())


def write(folder: Path, run: Run) -> None:
    """Write the run file atomically."""
    temporary = folder / f"{FILE_NAME}.{run.pid}"
    temporary.write_text(json.dumps(run._asdict()))
    os.replace(temporary, folder / FILE_NAME)


def read(folder: Path) -> Run | None:
    """Return the content of the run file; None if it does not exist or can't be read."""
    try:
        table = json.loads((folder / FILE_NAME).read_text())
        return Run(int(table["pid"]), int(table["start"]), str(table["boot"]))
    except (OSError, ValueError, KeyError, TypeError):
        return None


def is_running(run: Run | None) -> bool:
    """Return whether exactly this process still runs."""
    return run is not None and run.boot == boot_id() and start_ticks(run.pid) == run.start


def remove(folder: Path) -> None:
    """Delete the run file, if there is one."""
    (folder / FILE_NAME).unlink(missing_ok=True)

"""Runs the program with a wall clock that a trial can set: `python -m stonecove.trial.shifted run ...`.

STONECOVE_TRIAL_CLOCK names a file of eight bytes: the offset in seconds that is added to the system's wall
clock. The trial may write it at any time, as if the host's clock had been set. Monotonic clocks are not
affected.
"""

from __future__ import annotations

import mmap
import os
import runpy
import struct
import time
from pathlib import Path

CLOCK_FILE_VARIABLE = "STONECOVE_TRIAL_CLOCK"
_OFFSET = struct.Struct("=d")


def write_offset(path: Path, offset_s: float) -> None:
    """Write the clock offset in seconds to the file, which a running program reads at once."""
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(_OFFSET.pack(offset_s))


def main() -> None:
    """Replace `time.time` before any module of the program is imported, then run the program."""
    with open(os.environ[CLOCK_FILE_VARIABLE], "rb") as file:
        offset = mmap.mmap(file.fileno(), _OFFSET.size, access=mmap.ACCESS_READ)
    system_time = time.time
    time.time = lambda: system_time() + float(_OFFSET.unpack_from(offset)[0])
    runpy.run_module("stonecove", run_name="__main__")


if __name__ == "__main__":
    main()

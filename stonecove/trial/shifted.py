"""The program with a clock that a trial sets: `python -m stonecove.trial.shifted run ...`.

STONECOVE_TRIAL_CLOCK names a file of eight bytes, seconds that are added to what the system's clock tells.
The trial writes there at any moment, as if somebody had set this host's clock. Steady clocks go on as they
are.
"""

from __future__ import annotations

import mmap
import os
import runpy
import struct
import time
from pathlib import Path

VARIABLE = "STONECOVE_TRIAL_CLOCK"
_SECONDS = struct.Struct("=d")


def write(path: Path, seconds: float) -> None:
    """Sets that clock."""
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(_SECONDS.pack(seconds))


def main() -> None:
    """Puts the clock in place of the system's before anything of the program is there, and starts it."""
    with open(os.environ[VARIABLE], "rb") as file:
        shift = mmap.mmap(file.fileno(), _SECONDS.size, access=mmap.ACCESS_READ)
    system = time.time
    time.time = lambda: system() + float(_SECONDS.unpack_from(shift)[0])
    runpy.run_module("stonecove", run_name="__main__")


if __name__ == "__main__":
    main()

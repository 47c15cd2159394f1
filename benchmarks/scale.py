"""Measure the cost of the control plane by fleet size, with the options of `stonecove scale run`.

    python -m benchmarks.scale [--short]

Without options it simulates 50, 150, 400 and 730 routers. The last line is `key=value ...`.
"""

from __future__ import annotations

import sys

from stonecove.commands.scale import scale

if __name__ == "__main__":
    scale(["run", *sys.argv[1:]], prog_name="python -m benchmarks.scale")

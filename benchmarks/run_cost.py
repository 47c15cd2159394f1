"""CPU a request and memory at ready of the router, against another checkout, in turns in the same run.

python -m benchmarks.run_cost [--short] [--against DIR]
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

from stonecove.commands.demo import free_port, router_config, wait_ready
from stonecove.standins.depot import Depot
from stonecove.standins.webserver import FastCgiClient

HERE = Path(__file__).parent.parent
TICKS = os.sysconf("SC_CLK_TCK")


def _cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _resident(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def once(checkout: Path, requests: int) -> tuple[float, float]:
    """Microseconds of CPU a request, and MB at ready."""
    depot, port = Depot(caches=3), free_port()
    config = router_config("cost", depot, port)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(config))
        environ = {**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(checkout)}
        router = subprocess.Popen(
            [sys.executable, "-m", "stonecove"], cwd=checkout, env=environ, stderr=subprocess.DEVNULL
        )
        try:
            wait_ready(port, router)
            resident, asker = _resident(router.pid), FastCgiClient(port)
            for number in range(200):
                asker.request_item(number, number % 20 + 1)
            before = _cpu(router.pid)
            for number in range(200, 200 + requests):
                asker.request_item(number, number % 20 + 1)
            return (_cpu(router.pid) - before) / requests * 1e6, resident
        finally:
            router.kill()
            router.wait()
            depot.close()


def main() -> None:
    """Measures in turns, and prints medians."""
    arguments = sys.argv[1:]
    other = Path(arguments[arguments.index("--against") + 1]).resolve() if "--against" in arguments else HERE
    rounds, requests = (3, 1500) if "--short" in arguments else (9, 3000)
    found: dict[str, list[tuple[float, float]]] = {"here": [], "other": []}
    for _ in range(rounds):
        for name, checkout in (("other", other), ("here", HERE)):
            found[name].append(once(checkout, requests))
            time.sleep(0.1)
    figures = {}
    for name, runs in found.items():
        figures[f"{name}_us"] = median(cpu for cpu, _ in runs)
        figures[f"{name}_mb"] = median(resident for _, resident in runs)
        print(
            f"{name:6} CPU a request {min(c for c, _ in runs):.0f} to {max(c for c, _ in runs):.0f} us, "
            f"median {figures[f'{name}_us']:.0f}; at ready {figures[f'{name}_mb']:.2f} MB"
        )
    ratios = [here[0] / there[0] for here, there in zip(found["here"], found["other"], strict=True)]
    figures["cpu_ratio"] = median(ratios)
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

"""Compare the router's CPU per request and its memory when ready with those of another checkout.

The two checkouts alternate within one run.

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

THIS_CHECKOUT = Path(__file__).parent.parent
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure_once(checkout: Path, requests: int) -> tuple[float, float]:
    """Return microseconds of CPU per request and resident MB when ready."""
    depot, port = Depot(caches=3), free_port()
    config = router_config("cost", depot, port)
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder, "config.json")
        config_path.write_text(json.dumps(config))
        environment = {**os.environ, "RELAY_CONFIG": str(config_path), "PYTHONPATH": str(checkout)}
        router = subprocess.Popen(
            [sys.executable, "-m", "stonecove"], cwd=checkout, env=environment, stderr=subprocess.DEVNULL
        )
        try:
            wait_ready(port, router)
            resident_mb, client = _resident_mb(router.pid), FastCgiClient(port)
            for number in range(200):
                client.request_item(number, number % 20 + 1)
            cpu_before_s = _cpu_s(router.pid)
            for number in range(200, 200 + requests):
                client.request_item(number, number % 20 + 1)
            return (_cpu_s(router.pid) - cpu_before_s) / requests * 1e6, resident_mb
        finally:
            router.kill()
            router.wait()
            depot.close()


def main() -> None:
    """Measure both checkouts alternately and print the medians."""
    arguments = sys.argv[1:]
    other_checkout = (
        Path(arguments[arguments.index("--against") + 1]).resolve()
        if "--against" in arguments
        else THIS_CHECKOUT
    )
    rounds, requests = (3, 1500) if "--short" in arguments else (9, 3000)
    samples: dict[str, list[tuple[float, float]]] = {"here": [], "other": []}
    for _ in range(rounds):
        for name, checkout in (("other", other_checkout), ("here", THIS_CHECKOUT)):
            samples[name].append(measure_once(checkout, requests))
            time.sleep(0.1)
    figures = {}
    for name, runs in samples.items():
        figures[f"{name}_us"] = median(cpu for cpu, _ in runs)
        figures[f"{name}_mb"] = median(resident_mb for _, resident_mb in runs)
        print(
            f"{name:6} CPU per request {min(c for c, _ in runs):.0f} to {max(c for c, _ in runs):.0f} us, "
            f"median {figures[f'{name}_us']:.0f}; when ready {figures[f'{name}_mb']:.2f} MB"
        )
    ratios = [
        this_sample[0] / other_sample[0]
        for this_sample, other_sample in zip(samples["here"], samples["other"], strict=True)
    ]
    figures["cpu_ratio"] = median(ratios)
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

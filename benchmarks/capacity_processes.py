"""Measure the real program: CPU by purge rate, the cost of restarts and SIGHUPs, a host's supervisor."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from benchmarks.capacity_fits import (
    CACHES,
    PURGES_PER_S,
    ROUTERS,
    Figures,
    cpu_seconds,
    line_fit,
    resident_mb,
)
from benchmarks.capacity_log import LogServer
from benchmarks.swarm import idle_cpu_us_per_s
from stonecove.commands.demo import free_port, wait_ready
from stonecove.fleet.control import ControlError, send_command
from stonecove.standins.depot import HOST
from stonecove.standins.webserver import settings


def known_caches(count: int) -> dict[str, object]:
    """Return an initial endpoint list of `count` caches that receive no requests."""
    entries = [
        {
            "instanceId": f"s-{0x100 + index:08x}",
            "hostPort": f"127.3.{index // 250}.{index % 250 + 1}:7",
            "zone": "edge-1",
            "machineType": "small-box",
            "cell": 0,
            "lifecycle": "up",
            "weight": 20.0,
            "startedAtMs": 0,
        }
        for index in range(count)
    ]
    return {
        "seq": 1,
        "results": [{"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": entries}}],
    }


class Router:
    """The real program, following a change log."""

    def __init__(self, folder: Path, server: LogServer, caches: int) -> None:
        """Start the router and wait until it is ready; `ready_s` and `cpu_s` tell how long that took."""
        self.port = free_port()
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "capacity",
                    "listen": f"{HOST}:{self.port}",
                    "seed": "7",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "changelog": f"{HOST}:{server.port}",
                    "known": known_caches(caches),
                    "settings": {**settings(), "fleet_size": ROUTERS},
                }
            )
        )
        environment = {**os.environ, "RELAY_CONFIG": str(config)}
        started_at_s = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stonecove"], stderr=subprocess.DEVNULL, env=environment
        )
        wait_ready(self.port, self.process)
        self.ready_s = time.monotonic() - started_at_s
        self.cpu_s = cpu_seconds(self.process.pid)

    def stop(self) -> float:
        """Stop the router with SIGTERM and return the seconds until it has ended."""
        started_at_s = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(30)
        return time.monotonic() - started_at_s


def follower(short: bool) -> Figures:
    """Measure the router's CPU and memory by purge rate, and the cost of a restart and a SIGHUP."""
    with tempfile.TemporaryDirectory() as folder:
        figures = _restarts(Path(folder), (12,) if short else (12, 100, CACHES), 2 if short else 5)
        return figures | _purges(Path(folder), (0.0, 220.0) if short else (0.0, 22.0, 220.0, 1100.0), short)


def _restarts(folder: Path, sizes: Sequence[int], rounds: int) -> Figures:
    figures: Figures = {}
    for caches in sizes:
        cpu, ready, stop = [], [], []
        for _ in range(rounds):
            server = LogServer()
            router = Router(folder, server, caches)
            cpu.append(router.cpu_s)
            ready.append(router.ready_s)
            stop.append(router.stop())
            server.close()
        print(
            f"restart with {caches} caches, {rounds} starts: {sorted(cpu)[rounds // 2]:.3f} s of CPU and "
            f"{sorted(ready)[rounds // 2]:.3f} s until ready, {sorted(stop)[rounds // 2]:.3f} s to stop"
        )
        figures |= {
            f"restart_cpu_s_{caches}": sorted(cpu)[rounds // 2],
            f"restart_ready_s_{caches}": sorted(ready)[rounds // 2],
            f"restart_stop_s_{caches}": sorted(stop)[rounds // 2],
        }
    return figures


def _purges(folder: Path, rates: Sequence[float], short: bool) -> Figures:
    server = LogServer()
    router = Router(folder, server, CACHES)
    pid, seconds, reloads = router.process.pid, 2.0 if short else 8.0, 5 if short else 20
    time.sleep(1.0)
    cpu_by_rate, initial_mb, purge_count = [], resident_mb(pid), 0
    for rate in rates:
        cpu_before_s = cpu_seconds(pid)
        purge_count += server.run(rate, seconds)
        cpu_by_rate.append((cpu_seconds(pid) - cpu_before_s) / seconds)
    line = line_fit(rates, cpu_by_rate)
    server.window_s, cpu_before_s = 0.5, cpu_seconds(pid)
    purge_count += server.run(PURGES_PER_S, seconds)
    batched_cpu = (cpu_seconds(pid) - cpu_before_s) / seconds
    final_mb = resident_mb(pid)
    cpu_before_s = cpu_seconds(pid)
    for _ in range(reloads):
        router.process.send_signal(signal.SIGHUP)
        server.run(0.0, 0.1)
    reload_s = (cpu_seconds(pid) - cpu_before_s - line.base * reloads * 0.1) / reloads
    router.stop()
    server.close()
    shown = ", ".join(f"{cpu * 1e6:.0f} at {rate:g}" for rate, cpu in zip(rates, cpu_by_rate, strict=True))
    print(
        f"router CPU, us per second by purges per second: {shown}; {line.slope * 1e6:.0f} us per purge, "
        f"{line.base * 1e6:.0f} us per second without, {batched_cpu * 1e6:.0f} at {PURGES_PER_S:g} per "
        f"second batched over 500 ms; {initial_mb:.1f} MB, {final_mb:.1f} after {purge_count} purges; "
        f"SIGHUP {reload_s * 1e3:.2f} ms of CPU"
    )
    return {
        "purge_us": line.slope * 1e6,
        "idle_us_s": line.base * 1e6,
        "gathered_us_s": batched_cpu * 1e6,
        "purged_mb": final_mb - initial_mb,
        "purged": purge_count,
        "reload_cpu_ms": reload_s * 1e3,
    }


def supervisor(short: bool) -> Figures:
    """Measure the supervisor and its idle instances by the number of instances."""
    sizes = (1, 2) if short else (2, 5, 10)
    results = [_measure_supervisor(size, 1.5 if short else 5.0) for size in sizes]
    figures: Figures = {}
    for name in results[0]:
        line = line_fit(sizes, [result[name] for result in results])
        shown = ", ".join(
            f"{result[name]:.4g} at {size}" for size, result in zip(sizes, results, strict=True)
        )
        print(f"supervisor {name}: {shown}; {line.base:.4g} + {line.slope:.4g} per instance")
        figures |= {f"supervisor_{name}_base": line.base, f"supervisor_{name}_slope": line.slope}
    return figures


def _measure_supervisor(instances: int, seconds: float) -> Figures:
    server = LogServer()
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        base, operator, fleet = folder / "base.json", folder / "operator.cue", folder / "fleet"
        base.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": "127.0.0.1:1",
                    "seed": "7",
                    "changelog": f"{HOST}:{server.port}",
                    "known": known_caches(CACHES),
                    "settings": {**settings(), "fleet_size": instances},
                }
            )
        )
        operator.write_text(
            f'fleet: {{folder: "{fleet}"\n'
            f'groups: r: {{config: "{base}", host: "127.78.7.7", first_port: 7300, count: {instances}}}}}\n'
        )
        command = [sys.executable, "-m", "stonecove", "fleet", "--operator", str(operator), "run"]
        process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
        heartbeats = threading.Thread(target=server.run, args=(0.0, seconds + 60.0), daemon=True)
        heartbeats.start()
        try:
            pids = _pids_when_ready(fleet, instances)
            time.sleep(1.0)
            cpu_before_s, instances_cpu_before_s = cpu_seconds(process.pid), sum(map(cpu_seconds, pids))
            time.sleep(seconds)
            return {
                "cpu_us_s": (cpu_seconds(process.pid) - cpu_before_s) / seconds * 1e6,
                "mb": resident_mb(process.pid),
                "instances_cpu_us_s": (sum(map(cpu_seconds, pids)) - instances_cpu_before_s) / seconds * 1e6,
                "instances_mb": sum(map(resident_mb, pids)),
            }
        finally:
            process.terminate()
            process.wait(60)


def _pids_when_ready(folder: Path, count: int) -> list[int]:
    deadline_s = time.monotonic() + 60.0
    while time.monotonic() < deadline_s:
        try:
            statuses = send_command(folder, "status")["instances"]
        except ControlError:
            statuses = []
        if len(statuses) == count and all(status["phase"] == "ready" for status in statuses):
            return [status["pid"] for status in statuses]
        time.sleep(0.05)
    raise RuntimeError(f"not all of {count} instances became ready within 60 s")


def processes(short: bool) -> Figures:
    """Measure the CPU of 20 idle router processes with and without a swarm, sockets included."""
    seconds = 2.0 if short else 8.0
    with_swarm, without = idle_cpu_us_per_s(seconds, True), idle_cpu_us_per_s(seconds, False)
    print(
        f"20 idle processes: {with_swarm:.0f} us of CPU per second each with a swarm, {without:.0f} without"
    )
    return {"process_swarm_us_s": with_swarm - without, "process_idle_us_s": without}

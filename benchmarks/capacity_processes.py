"""The real program: its CPU by purges, what restarts and SIGHUPs take, the supervisor of a host."""

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

from benchmarks.capacity_fits import CACHES, PURGE_RATE, ROUTERS, Figures, cpu_of, line_fit, resident_of
from benchmarks.capacity_log import LogServer
from benchmarks.swarm import idle
from stonecove.commands.demo import free_port, wait_ready
from stonecove.fleet.control import ControlError, send_command
from stonecove.standins.depot import HOST
from stonecove.standins.webserver import settings


def known_caches(count: int) -> dict[str, object]:
    """The list of the start with that many caches that nobody asks."""
    entries = [
        {
            "instanceId": f"s-{0x100 + place:08x}",
            "hostPort": f"127.3.{place // 250}.{place % 250 + 1}:7",
            "zone": "edge-1",
            "machineType": "small-box",
            "cell": 0,
            "lifecycle": "up",
            "weight": 20.0,
            "startedAtMs": 0,
        }
        for place in range(count)
    ]
    return {
        "seq": 1,
        "results": [{"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": entries}}],
    }


class Router:
    """The real program, following a change log."""

    def __init__(self, folder: Path, server: LogServer, caches: int) -> None:
        """Returns once it is ready; `ready_s` and `cpu_s` are what that took."""
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
        environ = {**os.environ, "RELAY_CONFIG": str(config)}
        began = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stonecove"], stderr=subprocess.DEVNULL, env=environ
        )
        wait_ready(self.port, self.process)
        self.ready_s = time.monotonic() - began
        self.cpu_s = cpu_of(self.process.pid)

    def stop(self) -> float:
        """Seconds from SIGTERM to its end."""
        began = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(30)
        return time.monotonic() - began


def follower(short: bool) -> Figures:
    """CPU and memory of the real router by purges; what a restart and a SIGHUP take."""
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
            f"{sorted(ready)[rounds // 2]:.3f} s to ready, {sorted(stop)[rounds // 2]:.3f} s to its end"
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
    used, began_mb, told = [], resident_of(pid), 0
    for rate in rates:
        before = cpu_of(pid)
        told += server.run(rate, seconds)
        used.append((cpu_of(pid) - before) / seconds)
    line = line_fit(rates, used)
    server.window, before = 0.5, cpu_of(pid)
    told += server.run(PURGE_RATE, seconds)
    gathered = (cpu_of(pid) - before) / seconds
    ended_mb = resident_of(pid)
    before = cpu_of(pid)
    for _ in range(reloads):
        router.process.send_signal(signal.SIGHUP)
        server.run(0.0, 0.1)
    reload_s = (cpu_of(pid) - before - line.base * reloads * 0.1) / reloads
    router.stop()
    server.close()
    shown = ", ".join(f"{cpu * 1e6:.0f} at {rate:g}" for rate, cpu in zip(rates, used, strict=True))
    print(
        f"the router's CPU, us a second by purges a second: {shown}; {line.slope * 1e6:.0f} us a purge, "
        f"{line.base * 1e6:.0f} us a second without, {gathered * 1e6:.0f} at {PURGE_RATE:g} a second "
        f"gathered for 500 ms; {began_mb:.1f} MB, {ended_mb:.1f} after {told} purges; "
        f"SIGHUP {reload_s * 1e3:.2f} ms of CPU"
    )
    return {
        "purge_us": line.slope * 1e6,
        "idle_us_s": line.base * 1e6,
        "gathered_us_s": gathered * 1e6,
        "purged_mb": ended_mb - began_mb,
        "purged": told,
        "reload_cpu_ms": reload_s * 1e3,
    }


def supervisor(short: bool) -> Figures:
    """The supervisor and its idle instances, by their number."""
    sizes = (1, 2) if short else (2, 5, 10)
    found = [_supervised(size, 1.5 if short else 5.0) for size in sizes]
    figures: Figures = {}
    for name in found[0]:
        line = line_fit(sizes, [one[name] for one in found])
        shown = ", ".join(f"{one[name]:.4g} at {size}" for size, one in zip(sizes, found, strict=True))
        print(f"supervisor {name}: {shown}; {line.base:.4g} + {line.slope:.4g} an instance")
        figures |= {f"supervisor_{name}_base": line.base, f"supervisor_{name}_slope": line.slope}
    return figures


def _supervised(instances: int, seconds: float) -> Figures:
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
        beats = threading.Thread(target=server.run, args=(0.0, seconds + 60.0), daemon=True)
        beats.start()
        try:
            pids = _pids_when_ready(fleet, instances)
            time.sleep(1.0)
            before, idle_before = cpu_of(process.pid), sum(map(cpu_of, pids))
            time.sleep(seconds)
            return {
                "cpu_us_s": (cpu_of(process.pid) - before) / seconds * 1e6,
                "mb": resident_of(process.pid),
                "instances_cpu_us_s": (sum(map(cpu_of, pids)) - idle_before) / seconds * 1e6,
                "instances_mb": sum(map(resident_of, pids)),
            }
        finally:
            process.terminate()
            process.wait(60)


def _pids_when_ready(folder: Path, count: int) -> list[int]:
    limit = time.monotonic() + 60.0
    while time.monotonic() < limit:
        try:
            units = send_command(folder, "status")["instances"]
        except ControlError:
            units = []
        if len(units) == count and all(unit["phase"] == "ready" for unit in units):
            return [unit["pid"] for unit in units]
        time.sleep(0.05)
    raise RuntimeError(f"not all of {count} instances became ready")


def processes(short: bool) -> Figures:
    """CPU of 20 idle routers as processes, with a swarm and without: what sockets add to the decisions."""
    seconds = 2.0 if short else 8.0
    beside, without = idle(seconds, True), idle(seconds, False)
    print(f"20 idle processes: {beside:.0f} us of CPU a second each with a swarm, {without:.0f} without")
    return {"process_swarm_us_s": beside - without, "process_idle_us_s": without}

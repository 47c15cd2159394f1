"""Measure a fleet on one host: kills, a roll-out and a reload, and the use of a shared budget.

    python -m benchmarks.fleet [--short] [--minutes N] [--cold]

Part one runs the real supervisor and 20 real instances against stand-in caches; part two restarts stand-in
caches, which record the requests sent to them during slow start (`--cold`: without part one). Part three
simulates the decisions of the shared budget alone (`quotas.leases`), compared with fixed shares. The last
line is `key=value ...`.
"""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path
from typing import Any

from stonecove.fleet.control import ControlError, send_command
from stonecove.quotas.leases import LeaseHolder, Lessor, unleased_fraction_for
from stonecove.standins.depot import Depot
from stonecove.standins.webserver import settings
from stonecove.trial.closed_loop import ClosedLoopClients

HOST = "127.77.7.7"
FIRST_PORT = 7300
REQUESTS_PER_S = 200.0  # requests per second of all clients
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _addresses(instances: int) -> list[tuple[str, int]]:
    return [(HOST, FIRST_PORT + number) for number in range(instances)]


def _status(folder: Path) -> dict[str, dict[str, Any]]:
    try:
        return {unit["name"]: unit for unit in send_command(folder, "status")["instances"]}
    except ControlError:
        return {}


def _all_ready(folder: Path, count: int, timeout_s: float = 60.0) -> float:
    started_at_s = time.monotonic()
    while time.monotonic() < started_at_s + timeout_s:
        units = _status(folder)
        if len(units) == count and all(unit["phase"] == "ready" for unit in units.values()):
            return time.monotonic() - started_at_s
        time.sleep(0.02)
    raise RuntimeError(f"not all of {count} instances became ready in time")


def _cpu_s(pid: int) -> float:
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def measure_fleet(instances: int, seconds: float) -> dict[str, float]:
    """Run the real fleet under load with a kill every few seconds, a roll-out and a reload."""
    depot = Depot(caches=6)
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        base, operator, fleet = folder / "base.json", folder / "operator.cue", folder / "fleet"
        base.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": "127.0.0.1:1",
                    "seed": "7",
                    "changelog": f"127.0.0.1:{depot.log_port}",
                    "known": depot.endpoint_list(),
                    "settings": {**settings(), "fleet_size": instances},
                }
            )
        )
        operator.write_text(
            f'fleet: {{folder: "{fleet}", roll_out: 4, health: every: 200ms, restarts: most: 1000\n'
            f'groups: r: {{config: "{base}", host: "{HOST}", first_port: {FIRST_PORT}\n'
            f"count: {instances}}}}}\n"
        )
        command = [sys.executable, "-m", "stonecove", "fleet", "--operator", str(operator)]
        started_at_s = time.monotonic()
        supervisor = subprocess.Popen([*command, "run"], stderr=subprocess.DEVNULL)
        try:
            _all_ready(fleet, instances)
            ready_s = time.monotonic() - started_at_s
            clients = ClosedLoopClients(_addresses(instances), REQUESTS_PER_S)
            generator, kills = random.Random(5), list[tuple[float, int]]()
            pids = {unit["pid"]: _cpu_s(unit["pid"]) for unit in _status(fleet).values()}
            start = time.monotonic()
            time.sleep(min(5.0, seconds / 6))
            used = sum(_cpu_s(pid) - before for pid, before in pids.items())
            answered = sum(clients.answers.values())
            cpu = used / max(1, answered) * 1e6
            memory = [unit["memory_mb"] for unit in _status(fleet).values()]
            rolled = subprocess.Popen(
                [*command, "roll"], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
            )
            rolled.wait(120)
            reloaded = subprocess.run([*command, "reload"], capture_output=True, check=False, timeout=120)
            while time.monotonic() < start + seconds:
                time.sleep(min(3.0, seconds / 10))
                instance_index = generator.randrange(instances)
                pid = _status(fleet)[f"r-{instance_index}"]["pid"]
                if pid:
                    kills.append((time.time(), instance_index))
                    os.kill(pid, signal.SIGKILL)
            recovered_s = _all_ready(fleet, instances)
            clients.stop()
            unexplained = [
                loss
                for loss in clients.lost
                if not any(
                    instance_index == loss[1] and 0 <= loss[0] - killed_at_s < 2.0
                    for killed_at_s, instance_index in kills
                )
            ]
            total = sum(clients.answers.values())
            supervisor.terminate()
            stopping = time.monotonic()
            code = supervisor.wait(60)
            stop_s = time.monotonic() - stopping
        finally:
            if supervisor.poll() is None:
                supervisor.kill()
            depot.close()
    histogram = clients.latency_us
    print(
        f"{instances} instances: all ready after {ready_s:.2f} s, {sum(memory) / len(memory):.1f} MB each, "
        f"{cpu:.0f} us of CPU per request"
    )
    print(
        f"{total} answers {dict(clients.answers)}, "
        f"p50 {histogram.get_value_at_percentile(50) / 1000:.2f} ms, "
        f"p99 {histogram.get_value_at_percentile(99) / 1000:.2f} ms; {clients.refused_connections} refused, "
        f"{clients.close_races} sent while the connection was closing"
    )
    print(
        f"{len(kills)} kills lost {len(clients.lost) - len(unexplained)} requests in flight; "
        f"{len(unexplained)} others had no answer; roll-out ended with {rolled.returncode}, reload with "
        f"{reloaded.returncode}; {depot.count_repeated_writes()} writes ran twice; "
        f"all ready again after {recovered_s:.2f} s; "
        f"stopped in {stop_s:.2f} s with {code}"
    )
    return {
        "instances": instances,
        "ready_s": ready_s,
        "mb_each": sum(memory) / len(memory),
        "cpu_us": cpu,
        "answers": total,
        "kills": len(kills),
        "lost_in_kills": len(clients.lost) - len(unexplained),
        "lost_otherwise": len(unexplained),
        "roll_code": rolled.returncode or 0,
        "stop_s": stop_s,
    }


OBJECT_KB, CACHE_WEIGHT, CACHE_RESTART_INTERVAL_S = 200, 1.0, 8.0
# The same values as in the settings.
OVERLOAD_SETTINGS = {"cold_from": 0.25, "overload_for": 3.0, "tip_multiple": 4.0, "warm_up": 16.0}
UTILIZATION_TARGET = 0.6  # the fraction of the limit that routers use, since sizes are estimates


def _allowed_ms(age_s: float) -> float:
    """Return the lowest work limit per window, in ms, of a cache that started `age_s` seconds ago."""
    warmed = max(0.0, age_s - OVERLOAD_SETTINGS["overload_for"]) / OVERLOAD_SETTINGS["warm_up"]
    present = min(1.0, OVERLOAD_SETTINGS["cold_from"] + (1 - OVERLOAD_SETTINGS["cold_from"]) * warmed)
    return (
        OVERLOAD_SETTINGS["tip_multiple"]
        * present
        * OVERLOAD_SETTINGS["overload_for"]
        * 1000.0
        * CACHE_WEIGHT
    )


def measure_cache_restarts(
    instances: int, seconds: float, leases: bool, requests_per_s: float = 500.0
) -> dict[str, float]:
    """Restart caches under the real fleet and record the requests sent to them.

    Returns the mean used fraction of the routers' limit from 3 to 7 s after a start, and the greatest
    fraction of the true limit within any window.
    """
    depot = Depot(caches=4, weight=CACHE_WEIGHT)
    work_ms = OBJECT_KB / 4200.0 * 1000.0
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        base, operator, fleet = folder / "base.json", folder / "operator.cue", folder / "fleet"
        router_settings = settings()
        router_settings["fleet_size"] = instances
        router_settings["domain"]["instances_by_zone"] = [0, instances]  # type: ignore[index]
        router_settings["domain"]["zone_link_kb_per_s"] = [0.0, 6e6]  # type: ignore[index]
        base.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": "127.0.0.1:1",
                    "seed": "7",
                    "changelog": f"127.0.0.1:{depot.log_port}",
                    "known": depot.endpoint_list(),
                    "settings": router_settings,
                }
            )
        )
        operator.write_text(
            f'fleet: {{folder: "{fleet}", health: every: 200ms\n{"leases: {}" if leases else ""}\n'
            f'groups: r: {{config: "{base}", host: "{HOST}", first_port: {FIRST_PORT}\n'
            f"count: {instances}}}}}\n"
        )
        command = [sys.executable, "-m", "stonecove", "fleet", "--operator", str(operator)]
        supervisor = subprocess.Popen([*command, "run"], stderr=subprocess.DEVNULL)
        used, worst, restarts = list[float](), 0.0, 0
        try:
            _all_ready(fleet, instances)
            # A new lessor knows no earlier leases and starts to grant late.
            time.sleep(4.5 if leases else 1.0)
            clients = ClosedLoopClients(_addresses(instances), requests_per_s, skew=True, kb=OBJECT_KB)
            start = time.monotonic()
            while time.monotonic() < start + seconds:
                cache = depot.caches[restarts % len(depot.caches)]
                restarts += 1
                cache.restart_empty()
                depot.announce_state(cache, "up")
                time.sleep(CACHE_RESTART_INTERVAL_S)
                sent_times_ms, cache_started_ms = list(cache.request_times_ms), cache.started_ms
                for step in range(0, 29):
                    age_s = step * 0.25
                    sent = (
                        sum(
                            cache_started_ms + (age_s - 3.0) * 1000
                            < sent_ms
                            <= cache_started_ms + age_s * 1000
                            for sent_ms in sent_times_ms
                        )
                        * work_ms
                    )
                    worst = max(worst, sent / _allowed_ms(age_s))
                    if age_s >= 3.0:
                        used.append(sent / (_allowed_ms(age_s) * UTILIZATION_TARGET))
            clients.stop()
            lease_status = send_command(fleet, "status")["leases"]
            answered, lost = sum(clients.answers.values()), len(clients.lost)
            supervisor.terminate()
            supervisor.wait(60)
        finally:
            if supervisor.poll() is None:
                supervisor.kill()
            depot.close()
    lease_requests = (
        sum(holder["asked"] for holder in lease_status["holders"].values()) if lease_status else 0
    )
    print(
        f"{instances} instances, {restarts} cold starts, {'leases' if leases else 'shares'}: "
        f"{sum(used) / len(used):.0%} of the routers' limit used, worst window {worst:.0%} of the true one, "
        f"{lease_requests / seconds:.1f} lease requests per second, {answered} answers, {lost} without one, "
        f"{clients.answers['503']} refused"
    )
    return {
        "used": sum(used) / len(used),
        "worst": worst,
        "questions": lease_requests / seconds,
        "lost": lost,
    }


def simulate_leases(instances: int, windows: int = 6) -> tuple[float, float, float]:
    """Return the used fraction of a limit by shares of 1/N and by leases, and the worst window of leases.

    One slow-starting node; the offered work is 1.5 times its limit, spread over the instances in proportion
    to 1/rank, as from web servers that prefer some routers. A unit of work is 1/200 of the limit.
    """
    window_s, limit = 4.0, 200.0
    generator = random.Random(3)
    weights = [1.0 / (rank + 1) for rank in range(instances)]
    unleased_fraction = unleased_fraction_for(instances)
    lessor = Lessor(window_s, -2 * window_s, unleased_fraction)
    holders = [LeaseHolder(lessor.lifetime_s) for _ in range(instances)]
    sent: dict[str, list[deque[float]]] = {
        mode: [deque() for _ in range(instances)] for mode in ("share", "own")
    }
    leased: deque[float] = deque()
    count = Counter[str]()
    worst = 0
    events = round(1.5 * limit * windows)
    instance_indexes = generator.choices(range(instances), weights, k=events)
    for number, instance_index in enumerate(instance_indexes):
        now = number * window_s / (1.5 * limit)
        lessor.set_limit(7, limit, now)
        for mode, fraction in (("share", 1.0), ("own", unleased_fraction)):
            recent_sends = sent[mode][instance_index]
            while recent_sends and recent_sends[0] <= now - window_s:
                recent_sends.popleft()
            if len(recent_sends) + 1 <= fraction * limit / instances:
                recent_sends.append(now)
                count[mode] += 1
                if mode == "own":
                    leased.append(now)
                continue
            if mode == "own":
                if (
                    holders[instance_index].unspent_work(7, now) < 1.0
                    and (request_number := holders[instance_index].begin_request(7, now)) is not None
                ):
                    grant = lessor.request_lease(str(instance_index), request_number, 7, now, 1.0)
                    if grant is None:
                        holders[instance_index].end_request(request_number)
                    else:
                        holders[instance_index].accept_grant(grant, now)
                if holders[instance_index].spend(7, 1.0, now):
                    count["leased"] += 1
                    leased.append(now)
        for lease_number, unspent in holders[instance_index].pop_expired(now):
            lessor.return_lease(str(instance_index), lease_number, unspent, now)
        while leased and leased[0] <= now - window_s:
            leased.popleft()
        worst = max(worst, len(leased))
    allowed = limit * windows
    return count["share"] / allowed, (count["own"] + count["leased"]) / allowed, worst / limit


def main() -> None:
    """Run all parts and print the figures."""
    short = "--short" in sys.argv[1:]
    minutes = float(sys.argv[sys.argv.index("--minutes") + 1]) if "--minutes" in sys.argv[1:] else 1.0
    figures = {} if "--cold" in sys.argv[1:] else measure_fleet(20, 12.0 if short else 60.0 * minutes)
    if figures:
        single_instance = measure_fleet(1, 8.0 if short else 30.0)
        figures |= {
            f"alone_{name}": single_instance[name] for name in ("ready_s", "mb_each", "cpu_us", "answers")
        }
    for instances in (5, 20) if short else (1, 5, 20):
        for with_leases in (False, True):
            result = measure_cache_restarts(
                instances, CACHE_RESTART_INTERVAL_S if short else 10 * CACHE_RESTART_INTERVAL_S, with_leases
            )
            name = f"live_{'lease' if with_leases else 'share'}_{instances}"
            figures |= {name: result["used"], f"{name}_worst": result["worst"]}
    for instances in (1, 5, 20, 200, 2000):
        shares, leases, worst = simulate_leases(instances)
        print(
            f"{instances} instances, a slow-starting node: {shares:.0%} of the limit used by shares, "
            f"{leases:.0%} by leases; worst window {worst:.0%}"
        )
        figures |= {f"share_{instances}": shares, f"lease_{instances}": leases, f"worst_{instances}": worst}
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

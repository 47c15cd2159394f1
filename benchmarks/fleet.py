"""A fleet on one host: through kills, a roll and a reload, and how near a shared budget is used.

    python -m benchmarks.fleet [--short] [--minutes N] [--cold]

Part one runs the real supervisor and 20 real instances against stand-in caches; part two has boxes start cold
that keep the book on what they are sent (`--cold`: without part one). Part three plays the decisions
of the shared budget alone (`sharing.leases`), beside guards that share by their number. The last line is
`key=value ...`.
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
PACE = 200.0  # requests a second in all
TICKS = os.sysconf("SC_CLK_TCK")


def _addresses(instances: int) -> list[tuple[str, int]]:
    return [(HOST, FIRST_PORT + number) for number in range(instances)]


def _status(folder: Path) -> dict[str, dict[str, Any]]:
    try:
        return {unit["name"]: unit for unit in send_command(folder, "status")["instances"]}
    except ControlError:
        return {}


def _all_ready(folder: Path, count: int, patience: float = 60.0) -> float:
    began = time.monotonic()
    while time.monotonic() < began + patience:
        units = _status(folder)
        if len(units) == count and all(unit["phase"] == "ready" for unit in units.values()):
            return time.monotonic() - began
        time.sleep(0.02)
    raise RuntimeError(f"not all of {count} instances became ready")


def _cpu(pid: int) -> float:
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / TICKS


def live(instances: int, seconds: float) -> dict[str, float]:
    """The real fleet under load, with a kill every few seconds, a roll and a reload."""
    depot = Depot(caches=6)
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        base, operator, fleet = folder / "base.json", folder / "operator.cue", folder / "fleet"
        base.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": "127.0.0.1:1",
                    "seed": "7",
                    "changelog": f"127.0.0.1:{depot.log_port}",
                    "known": depot.known(),
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
        began = time.monotonic()
        supervisor = subprocess.Popen([*command, "run"], stderr=subprocess.DEVNULL)
        try:
            _all_ready(fleet, instances)
            ready = time.monotonic() - began
            clients = ClosedLoopClients(_addresses(instances), PACE)
            chooser, kills = random.Random(5), list[tuple[float, int]]()
            pids = {unit["pid"]: _cpu(unit["pid"]) for unit in _status(fleet).values()}
            start = time.monotonic()
            time.sleep(min(5.0, seconds / 6))
            used = sum(_cpu(pid) - before for pid, before in pids.items())
            asked = sum(clients.answers.values())
            cpu = used / max(1, asked) * 1e6
            memory = [unit["memory_mb"] for unit in _status(fleet).values()]
            rolled = subprocess.Popen(
                [*command, "roll"], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
            )
            rolled.wait(120)
            reloaded = subprocess.run([*command, "reload"], capture_output=True, check=False, timeout=120)
            while time.monotonic() < start + seconds:
                time.sleep(min(3.0, seconds / 10))
                at = chooser.randrange(instances)
                pid = _status(fleet)[f"r-{at}"]["pid"]
                if pid:
                    kills.append((time.time(), at))
                    os.kill(pid, signal.SIGKILL)
            back = _all_ready(fleet, instances)
            clients.end()
            unexplained = [
                one
                for one in clients.lost
                if not any(at == one[1] and 0 <= one[0] - when < 2.0 for when, at in kills)
            ]
            total = sum(clients.answers.values())
            supervisor.terminate()
            stopping = time.monotonic()
            code = supervisor.wait(60)
            stopped = time.monotonic() - stopping
        finally:
            if supervisor.poll() is None:
                supervisor.kill()
            depot.close()
    histogram = clients.latency_us
    print(
        f"{instances} instances: all ready after {ready:.2f} s, {sum(memory) / len(memory):.1f} MB each, "
        f"{cpu:.0f} us of CPU a request"
    )
    print(
        f"{total} answers {dict(clients.answers)}, "
        f"p50 {histogram.get_value_at_percentile(50) / 1000:.2f} ms, "
        f"p99 {histogram.get_value_at_percentile(99) / 1000:.2f} ms; {clients.refused_connections} refused, "
        f"{clients.crossed} crossed a close"
    )
    print(
        f"{len(kills)} kills took along {len(clients.lost) - len(unexplained)} requests in flight; "
        f"{len(unexplained)} others had no answer; roll ended with {rolled.returncode}, reload with "
        f"{reloaded.returncode}; {depot.count_repeated_writes()} writes ran twice; "
        f"all ready again after {back:.2f} s; "
        f"stopped in {stopped:.2f} s with {code}"
    )
    return {
        "instances": instances,
        "ready_s": ready,
        "mb_each": sum(memory) / len(memory),
        "cpu_us": cpu,
        "answers": total,
        "kills": len(kills),
        "lost_in_kills": len(clients.lost) - len(unexplained),
        "lost_otherwise": len(unexplained),
        "roll_code": rolled.returncode or 0,
        "stop_s": stopped,
    }


COLD_KB, COLD_WEIGHT, COLD_EVERY = 200, 1.0, 8.0
RULES = {"cold_from": 0.25, "overload_for": 3.0, "tip_multiple": 4.0, "warm_up": 16.0}  # as in the settings
HEADROOM = 0.6  # the part of the rule that routers use: sizes are rough


def _allowed(age: float) -> float:
    """The work in ms that a box of that age in seconds may be sent within a window, at the least."""
    warmed = max(0.0, age - RULES["overload_for"]) / RULES["warm_up"]
    present = min(1.0, RULES["cold_from"] + (1 - RULES["cold_from"]) * warmed)
    return RULES["tip_multiple"] * present * RULES["overload_for"] * 1000.0 * COLD_WEIGHT


def cold(instances: int, seconds: float, leases: bool, pace: float = 500.0) -> dict[str, float]:
    """Boxes that start cold under the real fleet, and keep the book on what they are sent.

    Returns the mean part of the routers' rule that is used from 3 to 7 s after a start, and the worst part of
    the true rule within any window.
    """
    depot = Depot(caches=4, weight=COLD_WEIGHT)
    work = COLD_KB / 4200.0 * 1000.0
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        base, operator, fleet = folder / "base.json", folder / "operator.cue", folder / "fleet"
        made = settings()
        made["fleet_size"] = instances
        made["domain"]["instances_by_zone"] = [0, instances]  # type: ignore[index]
        made["domain"]["zone_link_kb_per_s"] = [0.0, 6e6]  # type: ignore[index]
        base.write_text(
            json.dumps(
                {
                    "name": "r",
                    "listen": "127.0.0.1:1",
                    "seed": "7",
                    "changelog": f"127.0.0.1:{depot.log_port}",
                    "known": depot.known(),
                    "settings": made,
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
        used, worst, told = list[float](), 0.0, 0
        try:
            _all_ready(fleet, instances)
            time.sleep(4.5 if leases else 1.0)  # a lessor that knows nothing of the past begins late
            clients = ClosedLoopClients(_addresses(instances), pace, skew=True, kb=COLD_KB)
            start = time.monotonic()
            while time.monotonic() < start + seconds:
                box = depot.caches[told % len(depot.caches)]
                told += 1
                box.restart_empty()
                depot.announce_state(box, "up")
                time.sleep(COLD_EVERY)
                book, began = list(box.request_times_ms), box.started_ms
                for step in range(0, 29):
                    age = step * 0.25
                    sent = sum(began + (age - 3.0) * 1000 < at <= began + age * 1000 for at in book) * work
                    worst = max(worst, sent / _allowed(age))
                    if age >= 3.0:
                        used.append(sent / (_allowed(age) * HEADROOM))
            clients.end()
            found = send_command(fleet, "status")["leases"]
            answered, lost = sum(clients.answers.values()), len(clients.lost)
            supervisor.terminate()
            supervisor.wait(60)
        finally:
            if supervisor.poll() is None:
                supervisor.kill()
            depot.close()
    asked = sum(one["asked"] for one in found["holders"].values()) if found else 0
    print(
        f"{instances} instances, {told} cold starts, {'leases' if leases else 'shares'}: "
        f"{sum(used) / len(used):.0%} of the routers' rule used, worst window {worst:.0%} of the true one, "
        f"{asked / seconds:.1f} questions a second, {answered} answers, {lost} without one, "
        f"{clients.answers['503']} refused"
    )
    return {"used": sum(used) / len(used), "worst": worst, "questions": asked / seconds, "lost": lost}


def budget(instances: int, windows: int = 6) -> tuple[float, float, float]:
    """Parts of the rule that are used over some windows: by shares of 1/N, by leases; and the worst of
    leases.

    One cold node; half again as much work as the rule allows comes, at instances in proportion to 1/rank, as
    web servers that keep to some routers bring it. A piece of work is a two-hundredth of the rule.
    """
    window, rule = 4.0, 200.0
    chooser = random.Random(3)
    weights = [1.0 / (rank + 1) for rank in range(instances)]
    own = unleased_fraction_for(instances)
    lessor = Lessor(window, -2 * window, own)
    holders = [LeaseHolder(lessor.lifetime_s) for _ in range(instances)]
    sent: dict[str, list[deque[float]]] = {
        way: [deque() for _ in range(instances)] for way in ("share", "own")
    }
    leased: deque[float] = deque()
    count = Counter[str]()
    worst = 0
    events = round(1.5 * rule * windows)
    places = chooser.choices(range(instances), weights, k=events)
    for number, at in enumerate(places):
        now = number * window / (1.5 * rule)
        lessor.set_limit(7, rule, now)
        for way, part in (("share", 1.0), ("own", own)):
            mine = sent[way][at]
            while mine and mine[0] <= now - window:
                mine.popleft()
            if len(mine) + 1 <= part * rule / instances:
                mine.append(now)
                count[way] += 1
                if way == "own":
                    leased.append(now)
                continue
            if way == "own":
                if (
                    holders[at].unspent_work(7, now) < 1.0
                    and (asked := holders[at].begin_request(7, now)) is not None
                ):
                    grant = lessor.request_lease(str(at), asked, 7, now, 1.0)
                    if grant is None:
                        holders[at].end_request(asked)
                    else:
                        holders[at].accept_grant(grant, now)
                if holders[at].spend(7, 1.0, now):
                    count["leased"] += 1
                    leased.append(now)
        for back, unspent in holders[at].pop_expired(now):
            lessor.return_lease(str(at), back, unspent, now)
        while leased and leased[0] <= now - window:
            leased.popleft()
        worst = max(worst, len(leased))
    allowed = rule * windows
    return count["share"] / allowed, (count["own"] + count["leased"]) / allowed, worst / rule


def main() -> None:
    """Measures both parts, and prints the figures."""
    short = "--short" in sys.argv[1:]
    minutes = float(sys.argv[sys.argv.index("--minutes") + 1]) if "--minutes" in sys.argv[1:] else 1.0
    figures = {} if "--cold" in sys.argv[1:] else live(20, 12.0 if short else 60.0 * minutes)
    if figures:
        alone = live(1, 8.0 if short else 30.0)
        figures |= {f"alone_{name}": alone[name] for name in ("ready_s", "mb_each", "cpu_us", "answers")}
    for instances in (5, 20) if short else (1, 5, 20):
        for way in (False, True):
            part = cold(instances, COLD_EVERY if short else 10 * COLD_EVERY, way)
            name = f"live_{'lease' if way else 'share'}_{instances}"
            figures |= {name: part["used"], f"{name}_worst": part["worst"]}
    for instances in (1, 5, 20, 200, 2000):
        shares, leases, worst = budget(instances)
        print(
            f"{instances} instances, a cold node: {shares:.0%} of the rule used by shares, {leases:.0%} by "
            f"leases; most within one window {worst:.0%}"
        )
        figures |= {f"share_{instances}": shares, f"lease_{instances}": leases, f"worst_{instances}": worst}
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

"""A real fleet during failures that affect all of it: a full disk, lost membership, a slow-starting cache."""

from __future__ import annotations

import json
import resource
import signal
import struct
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from coordination_harness import CACHES_PATH, CoordinationEnsemble, node_record
from process_harness import CacheCommand, ProcessHarness
from test_fleet_daemon import Daemon

from stonecove.fleet.control import send_command

INSTANCES = 20


@pytest.fixture
def ensemble() -> Iterator[CoordinationEnsemble]:
    """Provide a coordination server."""
    started_ensemble = CoordinationEnsemble()
    yield started_ensemble
    started_ensemble.close()


def test_commands_work_while_the_disk_is_full_and_are_stored_later(tmp_path: Path) -> None:
    """Limit the supervisor's file size, so that no file can grow: commands must still be executed."""
    daemon = Daemon(tmp_path)
    try:
        daemon.wait_phase("ready")
        hard = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
        resource.prlimit(daemon.process.pid, resource.RLIMIT_FSIZE, (1, hard))
        daemon.do("drain", "r-0")
        assert send_command(daemon.folder, "status")["journal"]["failed"] > 0
        client = daemon.client(1)
        client.send()
        daemon.harness.next_command().reply(body=b"x")
        assert client.read_answer().body == b"x"
        resource.prlimit(daemon.process.pid, resource.RLIMIT_FSIZE, (hard, hard))
        daemon.do("drain", "r-1")  # written together with the earlier entry
        daemon.process.kill()
        daemon.process.wait()
        daemon.process = daemon.start()
        daemon.wait_phase("stopped")
    finally:
        daemon.close()


def test_instances_serve_on_after_losing_membership_at_once(
    tmp_path: Path, ensemble: CoordinationEnsemble
) -> None:
    """Partition the coordination server from all; once it is back, all must notice a draining cache."""
    members = tmp_path / "members.cue"
    members.write_text(
        f'sources: zookeeper: {{servers: ["{ensemble.servers[0]}"], path: "{CACHES_PATH}", '
        "session_timeout: 1s\n"
        "back_off: {first: 20ms, longest: 200ms}}\n"
    )
    daemon = Daemon(tmp_path, count=INSTANCES)
    try:
        daemon.wait_phase("ready")
        cache_nodes = [
            ensemble.register_cache(node_record(cache.ident, cache.listener.port))
            for cache in daemon.harness.caches
        ]
        group = daemon.operator.read_text().replace("first_port", f'operator: "{members}", first_port')
        daemon.operator.write_text(group)
        daemon.do("reload")
        daemon.do("roll", "--out", str(INSTANCES))
        daemon.wait_phase("ready")
        clients = [daemon.client(number) for number in range(INSTANCES)]

        def all_served() -> set[int]:
            """Have each instance answer one request; return the caches that were used."""
            used = set()
            for number, client in enumerate(clients):
                client.send(1, X_ROW=f"{number * 7919 + 1:016x}")
                fetch: CacheCommand = daemon.harness.next_command()
                used.add(fetch.cache.ident)
                fetch.reply(body=b"x")
                assert client.read_answer().status == 200
            return used

        def lines(event: str) -> int:
            return sum(path.read_text().count(f" {event} ") for path in daemon.folder.glob("r-*/log"))

        assert len(all_served()) == 2
        ensemble.run_command("partition")
        ProcessHarness.wait_until(
            lambda: lines("coordination_disconnected") >= INSTANCES, "all instances lost the server"
        )
        all_served()
        ensemble.run_command("heal")
        ProcessHarness.wait_until(
            lambda: cache_nodes[0].client is not None and cache_nodes[0].client.connected,
            "the cache is connected again",
        )
        cache_nodes[0].update_record(state="draining")
        drain_line = f"node=s-{daemon.harness.caches[0].ident:08x} state=draining"
        ProcessHarness.wait_until(
            lambda: all(drain_line in path.read_text() for path in daemon.folder.glob("r-*/log")),
            "all instances noticed the drain",
        )
        time.sleep(0.25)
        assert all_served() == {daemon.harness.caches[1].ident}
        assert all(unit["restarts"] <= 1 for unit in daemon.status().values())
    finally:
        daemon.close()


def _clock_went_back(log: Path) -> bool:
    """Return whether the times of a log show a clock that was set back."""
    times = [float(line.split()[0]) for line in log.read_text().splitlines()]
    return any(later < earlier - 1.0 for earlier, later in zip(times, times[1:], strict=False))


SHIFTED = """import os, time
_real, _path = time.time, os.environ["STONECOVE_TEST_SHIFT"]
def _shifted():
    with open(_path) as file:
        return _real() + float(file.read() or 0)
time.time = _shifted
"""


@pytest.mark.parametrize("back", [0.0, 5.0])
def test_two_instances_share_the_limit_of_a_slow_starting_cache(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, back: float
) -> None:
    """Start two instances with a cache that has just started; together they must stay below its limit.

    With `back`, the system clock of the supervisor and the instances is set back by so many seconds.
    """
    shift = tmp_path / "shift"
    shift.write_text("0")
    if back:
        (tmp_path / "sitecustomize.py").write_text(SHIFTED)
        monkeypatch.setenv("STONECOVE_TEST_SHIFT", str(shift))
        monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    daemon = Daemon(tmp_path, more="leases: {}")
    try:
        daemon.wait_phase("ready")
        base = json.loads(daemon.base.read_text())
        started = int(time.time() * 1000)
        for one in base["known"]["results"][0]["fleet"]["instances"]:
            one["weight"] = 1
            one["startedAtMs"] = started if one["instanceId"] == "s-00000010" else 0
        base["settings"] |= {"fleet_size": 2}
        base["settings"]["domain"] |= {
            "instances_by_zone": [0, 2],
            "client_kb_per_s": 4200.0,
            "zone_link_kb_per_s": [0.0, 9e6],
        }
        daemon.base.write_text(json.dumps(base))
        daemon.do("restart")
        daemon.wait_phase("ready")
        ProcessHarness.wait_until(lambda: len(daemon.leases()["holders"]) == 2, "both holders")
        sent_ms: list[float] = []
        before = {name: unit["pid"] for name, unit in daemon.status().items()}
        until = time.monotonic() + 5.0
        clients = [daemon.client(number) for number in (0, 1)]
        number, served = 0, 0
        while time.monotonic() < until:
            number += 1
            if back and time.monotonic() > until - 3.0:
                shift.write_text(f"{-back}")
            for client in clients:
                client.send(1, X_ROW=f"{number:016x}", X_WORKING_SET_KB="420")  # 100 ms of work
                fetch = daemon.harness.next_command()
                if fetch.cache.ident == 0x10:
                    sent_ms.append(time.time() * 1000)
                fetch.reply(body=b"x")
                served += client.read_answer().status == 200
        limit_ms = 4.0 * 0.25 * 3000.0 * 1.6  # of work; the limit grows by less than 1.6 during the test
        max_work_ms = (
            max(sum(at - 3000.0 < then <= at for then in sent_ms) * 100.0 for at in sent_ms)
            if sent_ms
            else 0.0
        )
        assert served == 2 * number and 0 < max_work_ms <= limit_ms
        assert {name: unit["pid"] for name, unit in daemon.status().items()} == before  # no restarts
        if back:
            ProcessHarness.wait_until(
                lambda: _clock_went_back(daemon.folder / "r-0" / "log"), "a line with the new time"
            )
    finally:
        daemon.close()


def test_instances_serve_on_while_the_lessor_does_not_answer(tmp_path: Path) -> None:
    """Stop the supervisor by SIGSTOP: instances must serve with their unleased share."""
    daemon = Daemon(tmp_path, more="leases: {}\n limits: {rate: 1000, burst: 1000}")
    try:
        daemon.wait_phase("ready")
        ProcessHarness.wait_until(lambda: len(daemon.leases()["holders"]) == 2, "both holders")
        daemon.process.send_signal(signal.SIGSTOP)
        client = daemon.client()
        for number in range(20):
            client.send(number + 1)
            daemon.harness.next_command().reply(body=struct.pack(">H", number))
            assert client.read_answer().status == 200
        daemon.process.send_signal(signal.SIGCONT)
        daemon.wait_phase("ready")
    finally:
        daemon.process.send_signal(signal.SIGCONT)
        daemon.close()

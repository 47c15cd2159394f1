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

INSTANCE_COUNT = 20


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
        daemon.wait_for_phase("ready")
        hard_limit = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
        resource.prlimit(daemon.process.pid, resource.RLIMIT_FSIZE, (1, hard_limit))
        daemon.run_command("drain", "r-0")
        assert send_command(daemon.folder, "status")["journal"]["failed"] > 0
        client = daemon.client(1)
        client.send()
        daemon.harness.next_command().reply(body=b"x")
        assert client.read_answer().body == b"x"
        resource.prlimit(daemon.process.pid, resource.RLIMIT_FSIZE, (hard_limit, hard_limit))
        daemon.run_command("drain", "r-1")  # written together with the earlier entry
        daemon.process.kill()
        daemon.process.wait()
        daemon.process = daemon.start()
        daemon.wait_for_phase("stopped")
    finally:
        daemon.close()


def test_instances_keep_serving_after_all_lose_the_coordination_server_at_once(
    tmp_path: Path, ensemble: CoordinationEnsemble
) -> None:
    """Partition the coordination server from all instances; once it is reachable, all must notice a drain."""
    source_settings = tmp_path / "members.cue"
    source_settings.write_text(
        f'sources: zookeeper: {{servers: ["{ensemble.servers[0]}"], path: "{CACHES_PATH}", '
        "session_timeout: 1s\n"
        "back_off: {first: 20ms, longest: 200ms}}\n"
    )
    daemon = Daemon(tmp_path, instance_count=INSTANCE_COUNT)
    try:
        daemon.wait_for_phase("ready")
        cache_nodes = [
            ensemble.register_cache(node_record(cache.ident, cache.listener.port))
            for cache in daemon.harness.caches
        ]
        operator_text = daemon.operator_file.read_text().replace(
            "first_port", f'operator: "{source_settings}", first_port'
        )
        daemon.operator_file.write_text(operator_text)
        daemon.run_command("reload")
        daemon.run_command("roll", "--out", str(INSTANCE_COUNT))
        daemon.wait_for_phase("ready")
        clients = [daemon.client(number) for number in range(INSTANCE_COUNT)]

        def serve_one_request_each() -> set[int]:
            """Have each instance answer one request; return the caches that were used."""
            used_caches = set()
            for number, client in enumerate(clients):
                client.send(1, X_ROW=f"{number * 7919 + 1:016x}")
                fetch: CacheCommand = daemon.harness.next_command()
                used_caches.add(fetch.cache.ident)
                fetch.reply(body=b"x")
                assert client.read_answer().status == 200
            return used_caches

        def count_log_lines(event: str) -> int:
            return sum(path.read_text().count(f" {event} ") for path in daemon.folder.glob("r-*/log"))

        assert len(serve_one_request_each()) == 2
        ensemble.run_command("partition")
        ProcessHarness.wait_until(
            lambda: count_log_lines("coordination_disconnected") >= INSTANCE_COUNT,
            "all instances to lose the coordination server",
        )
        serve_one_request_each()
        ensemble.run_command("heal")
        ProcessHarness.wait_until(
            lambda: cache_nodes[0].client is not None and cache_nodes[0].client.connected,
            "the cache to reconnect",
        )
        cache_nodes[0].update_record(state="draining")
        drain_line = f"node=s-{daemon.harness.caches[0].ident:08x} state=draining"
        ProcessHarness.wait_until(
            lambda: all(drain_line in path.read_text() for path in daemon.folder.glob("r-*/log")),
            "all instances to notice the drain",
        )
        time.sleep(0.25)
        assert serve_one_request_each() == {daemon.harness.caches[1].ident}
        assert all(instance["restarts"] <= 1 for instance in daemon.status().values())
    finally:
        daemon.close()


def _clock_went_back(log: Path) -> bool:
    """Return whether the times of a log show a clock that was set back."""
    times = [float(line.split()[0]) for line in log.read_text().splitlines()]
    return any(later < earlier - 1.0 for earlier, later in zip(times, times[1:], strict=False))


SHIFTED_CLOCK_MODULE = """import os, time
_real, _path = time.time, os.environ["STONECOVE_TEST_SHIFT"]
def _shifted():
    with open(_path) as file:
        return _real() + float(file.read() or 0)
time.time = _shifted
"""


@pytest.mark.parametrize("set_back_s", [0.0, 5.0])
def test_two_instances_share_the_limit_of_a_slow_starting_cache(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, set_back_s: float
) -> None:
    """Start two instances with a cache that has just started; together they must stay below its limit.

    With `set_back_s`, the system clock of the supervisor and the instances is set back by so many seconds.
    """
    shift_file = tmp_path / "shift"
    shift_file.write_text("0")
    if set_back_s:
        (tmp_path / "sitecustomize.py").write_text(SHIFTED_CLOCK_MODULE)
        monkeypatch.setenv("STONECOVE_TEST_SHIFT", str(shift_file))
        monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    daemon = Daemon(tmp_path, extra_settings="leases: {}")
    try:
        daemon.wait_for_phase("ready")
        config = json.loads(daemon.base_config_file.read_text())
        started_ms = int(time.time() * 1000)
        for instance in config["known"]["results"][0]["fleet"]["instances"]:
            instance["weight"] = 1
            instance["startedAtMs"] = started_ms if instance["instanceId"] == "s-00000010" else 0
        config["settings"] |= {"fleet_size": 2}
        config["settings"]["domain"] |= {
            "instances_by_zone": [0, 2],
            "client_kb_per_s": 4200.0,
            "zone_link_kb_per_s": [0.0, 9e6],
        }
        daemon.base_config_file.write_text(json.dumps(config))
        daemon.run_command("restart")
        daemon.wait_for_phase("ready")
        ProcessHarness.wait_until(
            lambda: len(daemon.leases()["holders"]) == 2, "both instances to register as holders"
        )
        sent_ms: list[float] = []
        pids_before = {name: instance["pid"] for name, instance in daemon.status().items()}
        end_s = time.monotonic() + 5.0
        clients = [daemon.client(number) for number in (0, 1)]
        round_number, served_count = 0, 0
        while time.monotonic() < end_s:
            round_number += 1
            if set_back_s and time.monotonic() > end_s - 3.0:
                shift_file.write_text(f"{-set_back_s}")
            for client in clients:
                client.send(1, X_ROW=f"{round_number:016x}", X_WORKING_SET_KB="420")  # 100 ms of work
                fetch = daemon.harness.next_command()
                if fetch.cache.ident == 0x10:
                    sent_ms.append(time.time() * 1000)
                fetch.reply(body=b"x")
                served_count += client.read_answer().status == 200
        limit_ms = 4.0 * 0.25 * 3000.0 * 1.6  # of work; it grows by a factor below 1.6 during the test
        max_work_ms = (
            max(
                sum(window_end_ms - 3000.0 < time_ms <= window_end_ms for time_ms in sent_ms) * 100.0
                for window_end_ms in sent_ms
            )
            if sent_ms
            else 0.0
        )
        assert served_count == 2 * round_number and 0 < max_work_ms <= limit_ms
        # No instance was restarted.
        assert {name: instance["pid"] for name, instance in daemon.status().items()} == pids_before
        if set_back_s:
            ProcessHarness.wait_until(
                lambda: _clock_went_back(daemon.folder / "r-0" / "log"),
                "a log line with the time after the step",
            )
    finally:
        daemon.close()


def test_instances_keep_serving_while_the_lessor_does_not_answer(tmp_path: Path) -> None:
    """Stop the supervisor by SIGSTOP: instances must serve with their unleased share."""
    daemon = Daemon(tmp_path, extra_settings="leases: {}\n limits: {rate: 1000, burst: 1000}")
    try:
        daemon.wait_for_phase("ready")
        ProcessHarness.wait_until(
            lambda: len(daemon.leases()["holders"]) == 2, "both instances to register as holders"
        )
        daemon.process.send_signal(signal.SIGSTOP)
        client = daemon.client()
        for number in range(20):
            client.send(number + 1)
            daemon.harness.next_command().reply(body=struct.pack(">H", number))
            assert client.read_answer().status == 200
        daemon.process.send_signal(signal.SIGCONT)
        daemon.wait_for_phase("ready")
    finally:
        daemon.process.send_signal(signal.SIGCONT)
        daemon.close()

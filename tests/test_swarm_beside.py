"""Gossip together with a coordination service or a supervisor that lends leases, in real processes."""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from coordination_harness import ROUTERS_PATH, CoordinationEnsemble, operator_text
from process_harness import ProcessHarness
from test_fleet_daemon import Daemon

from stonecove.standins.depot import Depot
from stonecove.standins.webserver import settings
from stonecove.trial.closed_loop import ClosedLoopClients
from stonecove.trial.judge import peak_slow_start_load
from stonecove.trial.schedule import trial_of
from stonecove.trial.testbed import WEIGHT, Testbed

REQUEST_KB, WINDOW_S = 200, 1.0
SWARM_SETTINGS = 'swarm: {}\nmembers: socket: "%s/{name}.sock"\n'


@pytest.fixture
def ensemble() -> Iterator[CoordinationEnsemble]:
    ensemble = CoordinationEnsemble()
    yield ensemble
    ensemble.close()


def test_the_greater_fleet_size_of_gossip_and_the_coordination_service_applies(
    ensemble: CoordinationEnsemble, tmp_path: Path
) -> None:
    """Check that neither a session that outlives its router nor one that expires early enlarges the share."""
    presence = f'presence: {{path: "{ROUTERS_PATH}", shares: "derived", grow: 50ms, shrink: 200ms}}'
    trial = trial_of('title: "t", routers: 3, lasts: 1s, window: 300ms', "t", 1)
    testbed = Testbed(trial, 5, tmp_path, operator_text(ensemble, None, presence, "session_timeout: 3s"))
    client = ensemble.client()

    def effective_fleet_size(index: int) -> int:
        return int(testbed.routers[index].lines("gossip_share_changed")[-1]["fleet_size"])

    def gossip_fleet_size(index: int) -> int:
        status = (testbed.routers[index].send_query("swarm status") or {"status": {"fleet": 0}})["status"]
        return int(status["fleet"])

    try:
        for index in range(3):
            testbed.start(index)
        assert testbed.until(testbed.joined, 30.0)
        assert testbed.until(lambda: len(client.get_children(ROUTERS_PATH)) == 3, 30.0)
        assert effective_fleet_size(0) == 3
        record = json.dumps({"name": "x", "zone": "edge-1", "state": "ready", "listen": "127.0.0.1:9"})
        client.create(f"{ROUTERS_PATH}/other-router", record.encode(), ephemeral=True)
        assert testbed.until(lambda: [effective_fleet_size(index) for index in range(3)] == [4, 4, 4], 10.0)
        assert gossip_fleet_size(0) == 3  # gossip alone counts three
        client.delete(f"{ROUTERS_PATH}/other-router")
        assert testbed.until(lambda: [effective_fleet_size(index) for index in range(3)] == [3, 3, 3], 10.0)
        # Killed: gossip detects it at once; the service's session lasts longer, and its count applies.
        testbed.kill(2)
        killed_at = time.time()
        assert testbed.until(lambda: gossip_fleet_size(0) == 2, 10.0)
        detected_at = time.time()
        assert effective_fleet_size(0) == 3
        assert testbed.until(lambda: effective_fleet_size(0) == 2, 20.0)
        last_change = testbed.routers[0].lines("gossip_share_changed")[-1]
        assert float(last_change["at"]) > detected_at > killed_at
        # Paused: the service's session expires; gossip still counts the router, and its count applies.
        testbed.routers[1].pause()
        assert testbed.until(lambda: "edge-1" not in client.get_children(ROUTERS_PATH), 20.0)
        time.sleep(0.5)  # longer than the service's `shrink`
        assert effective_fleet_size(0) == 2 and testbed.routers[0].send_query("fleet") is not None
        testbed.routers[1].resume()
        assert testbed.until(testbed.joined, 20.0)
    finally:
        client.stop()
        client.close()
        testbed.close()


class SupervisedFleet:
    """Three instances under a supervisor that grants leases, all gossiping, in front of a trial's depot."""

    def __init__(self, folder: Path) -> None:
        self.depot, self.count = Depot(2, WEIGHT), 3
        self.folder = folder
        router_settings = settings()
        router_settings["fleet_size"] = self.count
        router_settings["domain"] |= {"instances_by_zone": [0, self.count], "zone_link_kb_per_s": [0.0, 6e6]}  # type: ignore[operator]
        router_settings["limits"] |= {"peers": True}  # type: ignore[operator]
        router_settings["rules"] |= {"overload_for": WINDOW_S * 1000.0}  # type: ignore[operator]
        change_log = f"127.0.0.1:{self.depot.log_port}"
        base = {"changelog": change_log, "known": self.depot.endpoint_list(), "settings": router_settings}
        self.daemon = Daemon(folder, self.count, "leases: {}\n messages: true", SWARM_SETTINGS % folder, base)
        try:
            self.daemon.wait_for_phase("ready")
            self.wait_joined()
        except BaseException:
            self.close()
            raise

    def wait_joined(self) -> None:
        """Wait until all instances have their full share and hold leases."""
        ProcessHarness.wait_until(
            lambda: all(self.status(index).get("joined") for index in range(self.count)),
            "all instances joined",
        )
        ProcessHarness.wait_until(
            lambda: len(self.daemon.leases()["holders"]) == self.count, "all instances hold leases"
        )

    def status(self, index: int) -> dict[str, Any]:
        """Return the gossip status of an instance; empty while it cannot be queried."""
        try:
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(2.0)
                sock.connect(str(self.folder / f"r-{index}.sock"))
                sock.sendall(b"swarm status\n")
                status: dict[str, Any] = json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))["status"]
        except (OSError, ValueError):
            return {}
        return status

    def pids(self) -> list[int]:
        """Return the process ids of all instances in order; empty while the supervisor cannot be queried."""
        instances = self.daemon.status()
        return [int(instances[f"r-{index}"]["pid"] or 0) for index in range(self.count)] if instances else []

    def pid(self, index: int) -> int:
        return self.pids()[index]

    def close(self) -> None:
        self.daemon.close()
        self.depot.close()


@pytest.mark.parametrize(
    "fault", ["lessor stopped", "lessor killed in a roll", "holder stopped past its lease", "holder killed"]
)
def test_leases_and_gossip_shares_together_stay_within_one_limit(fault: str, tmp_path: Path) -> None:
    """Check that unleased fractions, leases and gossip shares together do not overload a warming cache."""
    fleet = SupervisedFleet(tmp_path)
    addresses = [(fleet.daemon.host, 7100 + index) for index in range(fleet.count)]
    clients = ClosedLoopClients(addresses, 150.0, kb=REQUEST_KB, writes=0.1)
    lessor_pid = fleet.daemon.process.pid
    faulty_pid = lessor_pid if fault.startswith("lessor") else fleet.pid(1)
    pids_before = fleet.pids()
    try:
        cache = fleet.depot.caches[0]
        cache.restart_empty()
        fleet.depot.announce_state(cache, "up")
        time.sleep(1.0)
        if fault == "holder killed":
            os.kill(faulty_pid, signal.SIGKILL)
        elif fault == "lessor killed in a roll":
            fleet.daemon.start_command("roll")
            ProcessHarness.wait_until(lambda: fleet.pids() != pids_before, "a restarted instance")
            fleet.daemon.process.kill()
            fleet.daemon.process.wait()
            fleet.daemon.process = fleet.daemon.start()
            ProcessHarness.wait_until(
                lambda: not set(fleet.pids()) & set(pids_before),
                "all instances restarted under the new supervisor",
            )
            fleet.daemon.wait_for_phase("ready")
        else:
            os.kill(faulty_pid, signal.SIGSTOP)
            time.sleep(2.0 * WINDOW_S)
            os.kill(faulty_pid, signal.SIGCONT)
        time.sleep(2.0)
        fleet.wait_joined()
        if fault == "lessor stopped":  # the running instances would not count a further one
            fleet.daemon.write_operator_file(fleet.count + 1)
            assert "r-3" in fleet.daemon.run_command("reload", exit_code=1)
            fleet.daemon.write_operator_file(extra_settings="leases: {}")
            assert "fleet.messages" in fleet.daemon.run_command("reload", exit_code=1)
    finally:
        clients.stop()
        fleet.close()
    _, fraction = peak_slow_start_load(
        cache.request_times_ms, cache.started_ms / 1000.0, WINDOW_S, REQUEST_KB
    )
    assert 0 < fraction <= 1.0
    assert fleet.depot.count_repeated_writes() == 0
    lost_of_holder = [at for at, index in clients.lost if index == 1 and fault.startswith("holder")]
    assert len(clients.lost) == len(lost_of_holder)

"""The swarm beside others who count or lend: a coordination service, a supervisor. Real processes."""

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
from keeper import ROUTERS, Keeper, operator_text
from stand import Stand
from test_fleet_daemon import Daemon

from stonecove.standins.depot import Depot
from stonecove.standins.webserver import settings
from stonecove.trial.closed_loop import ClosedLoopClients
from stonecove.trial.judge import cold_part
from stonecove.trial.schedule import trial_of
from stonecove.trial.testbed import WEIGHT, Testbed

KB, WINDOW = 200, 1.0
SWARM = 'swarm: {}\nmembers: socket: "%s/{name}.sock"\n'


@pytest.fixture
def keeper() -> Iterator[Keeper]:
    made = Keeper()
    yield made
    made.close()


def test_beside_a_coordination_service_the_greater_count_holds(keeper: Keeper, tmp_path: Path) -> None:
    """Neither a session that outlives its router nor one that is lost under it makes the share too large."""
    presence = f'presence: {{path: "{ROUTERS}", shares: "derived", grow: 50ms, shrink: 200ms}}'
    trial = trial_of('title: "t", routers: 3, lasts: 1s, window: 300ms', "t", 1)
    testbed = Testbed(trial, 5, tmp_path, operator_text(keeper, None, presence, "session_timeout: 3s"))
    client = keeper.client()

    def told(place: int) -> int:
        return int(testbed.routers[place].lines("gossip_share_changed")[-1]["fleet_size"])

    def counted(place: int) -> int:
        status = (testbed.routers[place].ask("swarm status") or {"status": {"fleet": 0}})["status"]
        return int(status["fleet"])

    try:
        for place in range(3):
            testbed.start(place)
        assert testbed.until(testbed.joined, 30.0)
        assert testbed.until(lambda: len(client.get_children(ROUTERS)) == 3, 30.0)
        assert told(0) == 3
        stranger = json.dumps({"name": "x", "zone": "edge-1", "state": "ready", "listen": "127.0.0.1:9"})
        client.create(f"{ROUTERS}/stranger", stranger.encode(), ephemeral=True)
        assert testbed.until(lambda: [told(place) for place in range(3)] == [4, 4, 4], 10.0)
        assert counted(0) == 3  # the swarm itself knows of three
        client.delete(f"{ROUTERS}/stranger")
        assert testbed.until(lambda: [told(place) for place in range(3)] == [3, 3, 3], 10.0)
        # Killed: the swarm knows it at once, the service holds its session for a while, and that holds.
        testbed.kill(2)
        killed = time.time()
        assert testbed.until(lambda: counted(0) == 2, 10.0)
        known = time.time()
        assert told(0) == 3
        assert testbed.until(lambda: told(0) == 2, 20.0)
        line = testbed.routers[0].lines("gossip_share_changed")[-1]
        assert float(line["at"]) > known > killed
        # Stopped: the service loses its session, the swarm goes on to count it, and that holds.
        testbed.routers[1].pause()
        assert testbed.until(lambda: "edge-1" not in client.get_children(ROUTERS), 20.0)
        time.sleep(0.5)  # longer than the service's `shrink`
        assert told(0) == 2 and testbed.routers[0].ask("fleet") is not None
        testbed.routers[1].resume()
        assert testbed.until(testbed.joined, 20.0)
    finally:
        client.stop()
        client.close()
        testbed.close()


class Host:
    """Three instances under a supervisor that lends, each in the swarm, before a depot of the trials."""

    def __init__(self, folder: Path) -> None:
        self.depot, self.count = Depot(2, WEIGHT), 3
        self.folder = folder
        made = settings()
        made["fleet_size"] = self.count
        made["domain"] |= {"instances_by_zone": [0, self.count], "zone_link_kb_per_s": [0.0, 6e6]}  # type: ignore[operator]
        made["limits"] |= {"peers": True}  # type: ignore[operator]
        made["rules"] |= {"overload_for": WINDOW * 1000.0}  # type: ignore[operator]
        log = f"127.0.0.1:{self.depot.log_port}"
        base = {"changelog": log, "known": self.depot.known(), "settings": made}
        self.daemon = Daemon(folder, self.count, "leases: {}\n messages: true", SWARM % folder, base)
        try:
            self.daemon.wait_phase("ready")
            self.wait_joined()
        except BaseException:
            self.close()
            raise

    def wait_joined(self) -> None:
        """Until all have their whole share and hold leases."""
        Stand.wait(lambda: all(self.status(place).get("joined") for place in range(self.count)), "all joined")
        Stand.wait(lambda: len(self.daemon.leases()["holders"]) == self.count, "all holders")

    def status(self, place: int) -> dict[str, Any]:
        """How the swarm stands, as that instance tells."""
        try:
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(2.0)
                sock.connect(str(self.folder / f"r-{place}.sock"))
                sock.sendall(b"swarm status\n")
                found: dict[str, Any] = json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))["status"]
        except (OSError, ValueError):
            return {}
        return found

    def pids(self) -> list[int]:
        """Of all instances, in order; empty while the supervisor can't be asked."""
        found = self.daemon.status()
        return [int(found[f"r-{place}"]["pid"] or 0) for place in range(self.count)] if found else []

    def pid(self, place: int) -> int:
        return self.pids()[place]

    def close(self) -> None:
        self.daemon.close()
        self.depot.close()


@pytest.mark.parametrize(
    "fault", ["lessor stopped", "lessor killed in a roll", "holder stopped past its lease", "holder killed"]
)
def test_what_is_lent_and_what_the_swarm_shares_keep_to_one_rule(fault: str, tmp_path: Path) -> None:
    """A cold cache is sent no more than it bears by own parts, pieces and the swarm's shares together."""
    host = Host(tmp_path)
    addresses = [(host.daemon.host, 7100 + place) for place in range(host.count)]
    clients = ClosedLoopClients(addresses, 150.0, kb=KB, writes=0.1)
    lessor = host.daemon.process.pid
    stopped = lessor if fault.startswith("lessor") else host.pid(1)
    before = host.pids()
    try:
        box = host.depot.caches[0]
        box.forget()
        host.depot.tell_state(box, "up")
        time.sleep(1.0)
        if fault == "holder killed":
            os.kill(stopped, signal.SIGKILL)
        elif fault == "lessor killed in a roll":
            host.daemon.begin("roll")
            Stand.wait(lambda: host.pids() != before, "a new start")
            host.daemon.process.kill()
            host.daemon.process.wait()
            host.daemon.process = host.daemon.start()
            Stand.wait(lambda: not set(host.pids()) & set(before), "all rolled by the one that follows")
            host.daemon.wait_phase("ready")
        else:
            os.kill(stopped, signal.SIGSTOP)
            time.sleep(2.0 * WINDOW)
            os.kill(stopped, signal.SIGCONT)
        time.sleep(2.0)
        host.wait_joined()
        if fault == "lessor stopped":  # the others would not count it
            host.daemon.write(host.count + 1)
            assert "r-3" in host.daemon.do("reload", code=1)
            host.daemon.write(more="leases: {}")
            assert "fleet.messages" in host.daemon.do("reload", code=1)
    finally:
        clients.end()
        host.close()
    _, part = cold_part(box.book, box.started / 1000.0, WINDOW, KB)
    assert 0 < part <= 1.0
    assert host.depot.repeated() == 0
    to_fault = [at for at, place in clients.lost if place == 1 and fault.startswith("holder")]
    assert len(clients.lost) == len(to_fault)

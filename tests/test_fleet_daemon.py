"""The supervisor with real instances: start, rolling restart, adoption, suspension, kill and stop."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from process_harness import WAIT_TIMEOUT_S, Client, ProcessHarness

from stonecove.runtime.log_events import LogEvent


class Daemon:
    """A supervisor process whose instances use the harness's caches."""

    def __init__(
        self,
        folder: Path,
        count: int = 2,
        more: str = "",
        operator: str = "",
        base: dict[str, Any] | None = None,
    ) -> None:
        self.harness = ProcessHarness()
        self.harness.process.kill()
        self.harness.process.wait()
        self.folder, self.base = folder / "fleet", folder / "base.json"
        self.base.write_text(json.dumps(base or self.harness.config))
        self.host = ".".join(("127", *(str(random.randint(1, 250)) for _ in range(3))))
        self.operator = folder / "operator.cue"
        self.count, self.more = count, more
        self.instances = folder / "instances.cue"  # the operator file of the instances
        self.instances.write_text(operator)
        self.write()
        self.errors = (folder / "errors").open("ab")
        self.process = self.start()

    def write(self, count: int = 0, more: str = "") -> None:
        """Write the operator file."""
        group = f'config: "{self.base}", host: "{self.host}", first_port: 7100, count: {count or self.count}'
        if self.instances.read_text():
            group += f', operator: "{self.instances}"'
        self.operator.write_text(
            f'fleet: {{\n folder: "{self.folder}"\n groups: r: {{{group}}}\n'
            " health: {every: 100ms, within: 500ms, misses: 3}\n back_off: {first: 50ms, longest: 200ms}\n"
            f" stop_within: 2s\n{more or self.more}\n}}\n"
        )

    def start(self) -> subprocess.Popen[bytes]:
        """Start the supervisor process."""
        return subprocess.Popen(
            [sys.executable, "-m", "stonecove", "fleet", "--operator", str(self.operator), "run"],
            stderr=self.errors,
        )

    def do(self, *words: str, code: int = 0) -> str:
        """Run a command, assert its exit code and return its output."""
        done = subprocess.run(
            [sys.executable, "-m", "stonecove", "fleet", "--operator", str(self.operator), *words],
            capture_output=True,
            text=True,
            timeout=2 * WAIT_TIMEOUT_S,
            check=False,
        )
        assert done.returncode == code, (words, done.returncode, done.stdout, done.stderr)
        return done.stdout + done.stderr

    def begin(self, word: str) -> None:
        """Run a command without waiting for it; it ends with its supervisor at the latest."""
        command = [sys.executable, "-m", "stonecove", "fleet", "--operator", str(self.operator), word]
        call = partial(subprocess.run, command, capture_output=True, check=False)
        threading.Thread(target=call, daemon=True).start()

    def status(self) -> dict[str, dict[str, Any]]:
        """Return the status of all instances by name, read directly from the control socket."""
        from stonecove.fleet.control import ControlError, send_command

        try:
            return {unit["name"]: unit for unit in send_command(self.folder, "status")["instances"]}
        except ControlError:
            return {}

    def leases(self) -> dict[str, Any]:
        """Return the status of the leases; without holders while no supervisor answers."""
        from stonecove.fleet.control import ControlError, send_command

        try:
            return dict(send_command(self.folder, "status")["leases"])
        except ControlError:
            return {"holders": {}}

    def wait_phase(self, phase: str, *names: str) -> None:
        """Wait until the named instances, or all, are in a phase."""

        def all_in_phase() -> bool:
            found = self.status()
            return bool(found) and all(found[name]["phase"] == phase for name in names or found)

        ProcessHarness.wait_until(all_in_phase, f"{names or 'all'} {phase}")

    def client(self, number: int = 0) -> Client:
        """Connect a client to an instance."""
        return Client((self.host, 7100 + number))

    def lines(self, event: str) -> list[str]:
        """Return the supervisor's log lines of an event."""
        assert event in set(LogEvent), event
        text = Path(self.errors.name).read_text()
        return [line for line in text.splitlines() if line.split(" ")[1:2] == [event]]

    def close(self) -> None:
        """Stop the supervisor and its instances."""
        if self.process.poll() is None:
            self.process.terminate()
            self.process.wait(WAIT_TIMEOUT_S)
        for path in self.folder.glob("*/run.json"):  # processes left by a killed supervisor
            pid = int(json.loads(path.read_text())["pid"])
            if f"{path.parent}" in Path(f"/proc/{pid}/environ").read_text():
                os.kill(pid, signal.SIGKILL)
        self.errors.close()
        self.harness.close()


@pytest.fixture
def daemon(tmp_path: Path) -> Iterator[Daemon]:
    """Provide a supervisor with two ready instances."""
    started_daemon = Daemon(tmp_path)
    started_daemon.wait_phase("ready")
    yield started_daemon
    started_daemon.close()


def test_a_fleet_starts_serves_and_stops(daemon: Daemon) -> None:
    shown = daemon.do("status")
    assert "r-0" in shown and "ready" in shown
    assert (daemon.folder / "control.sock").stat().st_mode & 0o777 == 0o600
    client = daemon.client(1)
    client.send()
    daemon.harness.next_command().reply(body=b"x")
    assert client.read_answer().body == b"x"
    assert "held" not in daemon.do("drain", "r-0") and daemon.status()["r-0"]["phase"] == "stopped"
    daemon.do("status", code=0)  # an instance stopped by an operator is no failure
    daemon.do("start", "r-0")
    assert daemon.status()["r-0"]["phase"] == "ready"
    daemon.do("stop", "none", code=1)
    assert '"name": "r-0"' in daemon.do("--json", "logs", "r-0", "--lines", "5")
    assert daemon.do("logs", "--grep", " router_ready ").count(" router_ready ") >= 2
    started = time.monotonic()
    daemon.process.terminate()
    assert daemon.process.wait(WAIT_TIMEOUT_S) == 0 and time.monotonic() - started < 10
    daemon.do("status", code=2)
    assert not list(daemon.folder.glob("*/run.json"))


def test_a_killed_instance_disconnects_only_its_own_clients(daemon: Daemon) -> None:
    clients = [daemon.client(number) for number in (0, 1)]
    for client in clients:
        client.send()
    fetches = [daemon.harness.next_command() for _ in clients]
    before = daemon.status()
    os.kill(before["r-0"]["pid"], signal.SIGKILL)
    with pytest.raises((EOFError, OSError)):
        clients[0].read_answer()
    for fetch in fetches:
        try:
            fetch.reply(body=b"x")
        except OSError:
            continue
    assert clients[1].read_answer().body == b"x"
    ProcessHarness.wait_until(
        lambda: daemon.status()["r-0"]["pid"] not in (None, before["r-0"]["pid"]), "a new process"
    )
    daemon.wait_phase("ready")
    after = daemon.status()
    assert after["r-0"]["restarts"] == 1 and after["r-1"]["pid"] == before["r-1"]["pid"]


def test_a_hanging_instance_that_ignores_sigterm_is_killed_and_restarted(daemon: Daemon) -> None:
    before = daemon.status()["r-0"]["pid"]
    os.kill(before, signal.SIGSTOP)
    ProcessHarness.wait_until(lambda: daemon.status()["r-0"]["pid"] not in (None, before), "a new process")
    daemon.wait_phase("ready")
    assert daemon.lines("instance_killed") and "health checks" in daemon.lines("instance_killed")[0]


def test_a_new_supervisor_continues_a_rolling_restart(tmp_path: Path) -> None:
    daemon = Daemon(tmp_path, count=3)
    try:
        daemon.wait_phase("ready")
        before = {name: unit["pid"] for name, unit in daemon.status().items()}
        daemon.begin("roll")
        ProcessHarness.wait_until(
            lambda: daemon.status().get("r-0", {}).get("pid", before["r-0"]) != before["r-0"], "the first"
        )
        daemon.process.kill()
        daemon.process.wait()
        alive = [pid for pid in before.values() if Path(f"/proc/{pid}").exists()]
        assert alive  # instances run on without a supervisor
        client = daemon.client(2)
        daemon.process = daemon.start()
        ProcessHarness.wait_until(lambda: daemon.lines("rolling_restart_finished"), "the rest of the roll")
        after = {name: unit["pid"] for name, unit in daemon.status().items()}
        assert all(after[name] != before[name] for name in before)
        assert len(daemon.lines("instance_adopted")) >= 2 and daemon.lines("rolling_restart_resumed")
        assert client.is_disconnected()
    finally:
        daemon.close()


def test_a_crashing_configuration_suspends_instances_and_stops_a_rolling_restart(tmp_path: Path) -> None:
    daemon = Daemon(tmp_path, more="restarts: {most: 2, within: 1min}")
    try:
        daemon.wait_phase("ready")
        valid = daemon.base.read_text()
        daemon.base.write_text(json.dumps({**json.loads(valid), "changelog": "nowhere"}))
        output = daemon.do("roll", code=1)
        assert "stopped" in output and "r-0" in output and daemon.status()["r-1"]["phase"] == "ready"
        daemon.do("restart", "r-1", code=1)
        daemon.wait_phase("held")
        assert len(daemon.lines("instance_suspended")) == 2 and "2 restarts" in daemon.status()["r-0"]["why"]
        daemon.do("status", code=1)
        assert "is no address" in (daemon.folder / "r-0" / "errors").read_text()
        daemon.process.kill()
        daemon.process.wait()
        daemon.process = daemon.start()
        daemon.wait_phase("held")  # a new supervisor does not restart the crash loop
        daemon.base.write_text(valid)
        daemon.do("start")
        daemon.wait_phase("ready")
    finally:
        daemon.close()


def test_a_second_supervisor_and_unusable_files_are_rejected(daemon: Daemon) -> None:
    assert "another supervisor runs here" in daemon.do("run", code=2)
    daemon.write(3)
    assert "done" in daemon.do("reload")
    daemon.wait_phase("ready", "r-2")
    daemon.write(1)
    daemon.do("reload")
    ProcessHarness.wait_until(lambda: set(daemon.status()) == {"r-0"}, "one instance")
    daemon.write(1, "roll_out: 0")
    assert "roll_out" in daemon.do("reload", code=2)
    daemon.process.send_signal(signal.SIGHUP)
    ProcessHarness.wait_until(lambda: daemon.lines("fleet_reload_rejected"), "a refusal")
    assert daemon.status()["r-0"]["phase"] == "ready"


def test_excess_memory_suspends_an_instance_and_an_invalid_journal_is_rejected(tmp_path: Path) -> None:
    daemon = Daemon(tmp_path, count=1, more="restarts: {most: 1, within: 1min}")
    try:
        daemon.wait_phase("ready")
        text = daemon.operator.read_text().replace("first_port", "memory: 16MB, first_port")
        daemon.operator.write_text(text)
        daemon.process.send_signal(signal.SIGHUP)  # a rolling restart would race with the exit
        daemon.wait_phase("held")
        assert daemon.lines("instance_limit_exceeded")
        daemon.process.terminate()
        daemon.process.wait(WAIT_TIMEOUT_S)
        path = daemon.folder / "journal"
        data = bytearray(path.read_bytes())
        data[40] ^= 1
        path.write_bytes(bytes(data))
        assert "byte 20" in daemon.do("run", code=2)
    finally:
        daemon.close()


def _received_states(manager: socket.socket, until: str) -> list[str]:
    """Return the states that a service manager has received, up to and including `until`."""
    received: list[str] = []
    while until not in received:
        received += manager.recv(4096).decode().split("\n")
    return received


def test_a_service_manager_is_notified_and_top_shows_enforced_limits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "notify"
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind(str(path))
        manager.settimeout(WAIT_TIMEOUT_S)
        monkeypatch.setenv("NOTIFY_SOCKET", str(path))
        daemon = Daemon(tmp_path)
        try:
            ready = "STATUS=2 of 2 instances ready"
            # both in one message, once all instances are ready
            assert _received_states(manager, ready)[-2:] == ["READY=1", ready]
            shown = daemon.do("top", "--times", "1")
            assert "r-0" in shown and "r-1" in shown and "/256" in shown
            for unit in daemon.status().values():
                limits = Path(f"/proc/{unit['pid']}/limits").read_text()
                files = next(line for line in limits.splitlines() if line.startswith("Max open files"))
                assert files.split()[3] == str(unit["descriptors_most"]) and 0 < unit["descriptors"] < 256
            daemon.process.send_signal(signal.SIGHUP)
            _received_states(manager, "RELOADING=1")
            daemon.process.terminate()
            _received_states(manager, "STOPPING=1")
            assert daemon.process.wait(WAIT_TIMEOUT_S) == 0
        finally:
            daemon.close()


def test_an_instance_notifies_its_own_service_manager(tmp_path: Path) -> None:
    path = tmp_path / "notify"
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind(str(path))
        manager.settimeout(WAIT_TIMEOUT_S)
        harness = ProcessHarness(env={"NOTIFY_SOCKET": str(path)})
        try:
            _received_states(manager, "READY=1")
            harness.process.terminate()
            _received_states(manager, "STOPPING=1")
        finally:
            harness.close()

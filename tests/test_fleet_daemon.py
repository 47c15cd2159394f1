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
        instance_count: int = 2,
        extra_settings: str = "",
        instance_settings: str = "",
        base_config: dict[str, Any] | None = None,
    ) -> None:
        self.harness = ProcessHarness()
        self.harness.process.kill()
        self.harness.process.wait()
        self.folder, self.base_config_file = folder / "fleet", folder / "base.json"
        self.base_config_file.write_text(json.dumps(base_config or self.harness.config))
        self.host = ".".join(("127", *(str(random.randint(1, 250)) for _ in range(3))))
        self.operator_file = folder / "operator.cue"
        self.instance_count, self.extra_settings = instance_count, extra_settings
        self.instance_operator_file = folder / "instances.cue"
        self.instance_operator_file.write_text(instance_settings)
        self.write_operator_file()
        self.log_file = (folder / "errors").open("ab")
        self.process = self.start()

    def write_operator_file(self, instance_count: int = 0, extra_settings: str = "") -> None:
        """Write the operator file."""
        group = (
            f'config: "{self.base_config_file}", host: "{self.host}", first_port: 7100, '
            f"count: {instance_count or self.instance_count}"
        )
        if self.instance_operator_file.read_text():
            group += f', operator: "{self.instance_operator_file}"'
        self.operator_file.write_text(
            f'fleet: {{\n folder: "{self.folder}"\n groups: r: {{{group}}}\n'
            " health: {every: 100ms, within: 500ms, misses: 3}\n back_off: {first: 50ms, longest: 200ms}\n"
            f" stop_within: 2s\n{extra_settings or self.extra_settings}\n}}\n"
        )

    def start(self) -> subprocess.Popen[bytes]:
        """Start the supervisor process."""
        return subprocess.Popen(
            [sys.executable, "-m", "stonecove", "fleet", "--operator", str(self.operator_file), "run"],
            stderr=self.log_file,
        )

    def run_command(self, *arguments: str, exit_code: int = 0) -> str:
        """Run a command, assert its exit code and return its output."""
        result = subprocess.run(
            [sys.executable, "-m", "stonecove", "fleet", "--operator", str(self.operator_file), *arguments],
            capture_output=True,
            text=True,
            timeout=2 * WAIT_TIMEOUT_S,
            check=False,
        )
        assert result.returncode == exit_code, (arguments, result.returncode, result.stdout, result.stderr)
        return result.stdout + result.stderr

    def start_command(self, name: str) -> None:
        """Run a command without waiting for it; it ends with its supervisor at the latest."""
        command = [sys.executable, "-m", "stonecove", "fleet", "--operator", str(self.operator_file), name]
        run_in_thread = partial(subprocess.run, command, capture_output=True, check=False)
        threading.Thread(target=run_in_thread, daemon=True).start()

    def status(self) -> dict[str, dict[str, Any]]:
        """Return the status of all instances by name, read directly from the control socket."""
        from stonecove.fleet.control import ControlError, send_command

        try:
            return {
                instance["name"]: instance for instance in send_command(self.folder, "status")["instances"]
            }
        except ControlError:
            return {}

    def leases(self) -> dict[str, Any]:
        """Return the status of the leases; without holders while no supervisor answers."""
        from stonecove.fleet.control import ControlError, send_command

        try:
            return dict(send_command(self.folder, "status")["leases"])
        except ControlError:
            return {"holders": {}}

    def wait_for_phase(self, phase: str, *names: str) -> None:
        """Wait until the named instances, or all, are in a phase."""

        def all_in_phase() -> bool:
            instances = self.status()
            return bool(instances) and all(instances[name]["phase"] == phase for name in names or instances)

        ProcessHarness.wait_until(all_in_phase, f"{names or 'all instances'} to be {phase}")

    def client(self, number: int = 0) -> Client:
        """Connect a client to an instance."""
        return Client((self.host, 7100 + number))

    def log_lines(self, event: str) -> list[str]:
        """Return the supervisor's log lines of an event."""
        assert event in set(LogEvent), event
        text = Path(self.log_file.name).read_text()
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
        self.log_file.close()
        self.harness.close()


@pytest.fixture
def daemon(tmp_path: Path) -> Iterator[Daemon]:
    """Provide a supervisor with two ready instances."""
    started_daemon = Daemon(tmp_path)
    started_daemon.wait_for_phase("ready")
    yield started_daemon
    started_daemon.close()


def test_a_fleet_starts_serves_and_stops(daemon: Daemon) -> None:
    output = daemon.run_command("status")
    assert "r-0" in output and "ready" in output
    assert (daemon.folder / "control.sock").stat().st_mode & 0o777 == 0o600
    client = daemon.client(1)
    client.send()
    daemon.harness.next_command().reply(body=b"x")
    assert client.read_answer().body == b"x"
    assert "held" not in daemon.run_command("drain", "r-0") and daemon.status()["r-0"]["phase"] == "stopped"
    daemon.run_command("status", exit_code=0)  # an instance stopped by an operator is no failure
    daemon.run_command("start", "r-0")
    assert daemon.status()["r-0"]["phase"] == "ready"
    daemon.run_command("stop", "none", exit_code=1)
    assert '"name": "r-0"' in daemon.run_command("--json", "logs", "r-0", "--lines", "5")
    assert daemon.run_command("logs", "--grep", " router_ready ").count(" router_ready ") >= 2
    started = time.monotonic()
    daemon.process.terminate()
    assert daemon.process.wait(WAIT_TIMEOUT_S) == 0 and time.monotonic() - started < 10
    daemon.run_command("status", exit_code=2)
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
        lambda: daemon.status()["r-0"]["pid"] not in (None, before["r-0"]["pid"]),
        "the instance to run in a new process",
    )
    daemon.wait_for_phase("ready")
    after = daemon.status()
    assert after["r-0"]["restarts"] == 1 and after["r-1"]["pid"] == before["r-1"]["pid"]


def test_a_hanging_instance_that_ignores_sigterm_is_killed_and_restarted(daemon: Daemon) -> None:
    hung_pid = daemon.status()["r-0"]["pid"]
    os.kill(hung_pid, signal.SIGSTOP)
    ProcessHarness.wait_until(
        lambda: daemon.status()["r-0"]["pid"] not in (None, hung_pid), "the instance to run in a new process"
    )
    daemon.wait_for_phase("ready")
    assert daemon.log_lines("instance_killed") and "health checks" in daemon.log_lines("instance_killed")[0]


def test_a_new_supervisor_adopts_instances_and_continues_a_rolling_restart(tmp_path: Path) -> None:
    daemon = Daemon(tmp_path, instance_count=3)
    try:
        daemon.wait_for_phase("ready")
        pids_before = {name: instance["pid"] for name, instance in daemon.status().items()}
        daemon.start_command("roll")
        ProcessHarness.wait_until(
            lambda: daemon.status().get("r-0", {}).get("pid", pids_before["r-0"]) != pids_before["r-0"],
            "the first instance to be restarted",
        )
        daemon.process.kill()
        daemon.process.wait()
        running_pids = [pid for pid in pids_before.values() if Path(f"/proc/{pid}").exists()]
        assert running_pids  # instances keep running without a supervisor
        client = daemon.client(2)
        daemon.process = daemon.start()
        ProcessHarness.wait_until(
            lambda: daemon.log_lines("rolling_restart_finished"), "the rolling restart to finish"
        )
        pids_after = {name: instance["pid"] for name, instance in daemon.status().items()}
        assert all(pids_after[name] != pids_before[name] for name in pids_before)
        assert len(daemon.log_lines("instance_adopted")) >= 2 and daemon.log_lines("rolling_restart_resumed")
        assert client.is_disconnected()
    finally:
        daemon.close()


def test_a_crashing_configuration_suspends_instances_and_stops_a_rolling_restart(tmp_path: Path) -> None:
    daemon = Daemon(tmp_path, extra_settings="restarts: {most: 2, within: 1min}")
    try:
        daemon.wait_for_phase("ready")
        valid_config = daemon.base_config_file.read_text()
        daemon.base_config_file.write_text(json.dumps({**json.loads(valid_config), "changelog": "nowhere"}))
        output = daemon.run_command("roll", exit_code=1)
        assert "stopped" in output and "r-0" in output and daemon.status()["r-1"]["phase"] == "ready"
        daemon.run_command("restart", "r-1", exit_code=1)
        daemon.wait_for_phase("held")
        assert (
            len(daemon.log_lines("instance_suspended")) == 2 and "2 restarts" in daemon.status()["r-0"]["why"]
        )
        daemon.run_command("status", exit_code=1)
        assert "is no address" in (daemon.folder / "r-0" / "errors").read_text()
        daemon.process.kill()
        daemon.process.wait()
        daemon.process = daemon.start()
        daemon.wait_for_phase("held")  # a new supervisor does not restart the crash loop
        daemon.base_config_file.write_text(valid_config)
        daemon.run_command("start")
        daemon.wait_for_phase("ready")
    finally:
        daemon.close()


def test_a_second_supervisor_and_invalid_settings_are_rejected(daemon: Daemon) -> None:
    assert "another supervisor runs here" in daemon.run_command("run", exit_code=2)
    daemon.write_operator_file(3)
    assert "done" in daemon.run_command("reload")
    daemon.wait_for_phase("ready", "r-2")
    daemon.write_operator_file(1)
    daemon.run_command("reload")
    ProcessHarness.wait_until(lambda: set(daemon.status()) == {"r-0"}, "only one instance to be left")
    daemon.write_operator_file(1, "roll_out: 0")
    assert "roll_out" in daemon.run_command("reload", exit_code=2)
    daemon.process.send_signal(signal.SIGHUP)
    ProcessHarness.wait_until(lambda: daemon.log_lines("fleet_reload_rejected"), "the reload to be rejected")
    assert daemon.status()["r-0"]["phase"] == "ready"


def test_excess_memory_suspends_an_instance_and_an_invalid_journal_is_rejected(tmp_path: Path) -> None:
    daemon = Daemon(tmp_path, instance_count=1, extra_settings="restarts: {most: 1, within: 1min}")
    try:
        daemon.wait_for_phase("ready")
        text = daemon.operator_file.read_text().replace("first_port", "memory: 16MB, first_port")
        daemon.operator_file.write_text(text)
        daemon.process.send_signal(signal.SIGHUP)  # a rolling restart would race with the exit
        daemon.wait_for_phase("held")
        assert daemon.log_lines("instance_limit_exceeded")
        daemon.process.terminate()
        daemon.process.wait(WAIT_TIMEOUT_S)
        path = daemon.folder / "journal"
        data = bytearray(path.read_bytes())
        data[40] ^= 1
        path.write_bytes(bytes(data))
        assert "byte 20" in daemon.run_command("run", exit_code=2)
    finally:
        daemon.close()


def _receive_states(manager: socket.socket, last_state: str) -> list[str]:
    """Return the states that a service manager receives, up to and including `last_state`."""
    received: list[str] = []
    while last_state not in received:
        received += manager.recv(4096).decode().split("\n")
    return received


def test_a_service_manager_is_notified_and_descriptor_limits_are_enforced(
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
            assert _receive_states(manager, ready)[-2:] == ["READY=1", ready]
            output = daemon.run_command("top", "--times", "1")
            assert "r-0" in output and "r-1" in output and "/256" in output
            for instance in daemon.status().values():
                limits = Path(f"/proc/{instance['pid']}/limits").read_text()
                descriptor_limit = next(
                    line for line in limits.splitlines() if line.startswith("Max open files")
                )
                assert (
                    descriptor_limit.split()[3] == str(instance["descriptors_most"])
                    and 0 < instance["descriptors"] < 256
                )
            daemon.process.send_signal(signal.SIGHUP)
            _receive_states(manager, "RELOADING=1")
            daemon.process.terminate()
            _receive_states(manager, "STOPPING=1")
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
            _receive_states(manager, "READY=1")
            harness.process.terminate()
            _receive_states(manager, "STOPPING=1")
        finally:
            harness.close()

"""Nine in ten restarted routers are ready within 10 s, or 6 s on short days, even if discovery is down."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from process_harness import SETTINGS, Client, Listener, ProcessHarness, free_address

from stonecove.runtime.log_events import LogEvent

ROUTERS = 10
REQUIRED_ROUTERS = 9
READY_WITHIN_S = 6.0  # on short days; 10 s otherwise
DRAIN_GRACE_MS = 60_000.0  # a start must not take as long as this setting
PARTIAL_FRAME = bytes(7)


class Router:
    """A router process that can be restarted with another change log."""

    def __init__(self, folder: Path, index: int, harness: ProcessHarness) -> None:
        self._path, self._log = folder / f"config-{index}.json", folder / f"log-{index}"
        self.address = free_address()
        self._config = {**harness.config, "name": f"n{index}", "listen": ":".join(map(str, self.address))}
        self._process: subprocess.Popen[bytes] | None = None
        self.startup_s = float("inf")  # from the latest start until the router was ready

    def start(self, changelog: str) -> threading.Thread:
        """Kill the running process and start a new one; the returned thread ends once it is ready."""
        self.kill()
        self._path.write_text(json.dumps({**self._config, "changelog": changelog}))
        self.startup_s, started_at = float("inf"), time.monotonic()
        with self._log.open("wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "stonecove"],
                stderr=output,
                env={**os.environ, "RELAY_CONFIG": str(self._path)},
            )
        thread = threading.Thread(target=self._measure_startup, args=(started_at,), daemon=True)
        thread.start()
        return thread

    def _measure_startup(self, started_at: float) -> None:
        while time.monotonic() < started_at + 2 * READY_WITHIN_S:
            with contextlib.suppress(OSError, EOFError):
                client = Client(self.address)
                if client.exchange(path="/status/live").status == 200:
                    self.startup_s = time.monotonic() - started_at
                    return
            time.sleep(0.02)

    def has_logged(self, event: str) -> bool:
        """Return whether the log of the latest process has a line of this event."""
        assert event in set(LogEvent), event
        return any(line.split(" ")[1:2] == [event] for line in self._log.read_text().splitlines())

    def kill(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()


@pytest.fixture(scope="module")
def routers(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[ProcessHarness, list[Router]]]:
    """Return a harness and ten routers that have been ready once, with its change log."""
    harness, folder = (
        ProcessHarness(rules={**SETTINGS["rules"], "drain_grace": DRAIN_GRACE_MS}),
        tmp_path_factory.mktemp("ten"),
    )
    started = [Router(folder, index, harness) for index in range(ROUTERS)]
    try:
        for thread in [router.start(harness.config["changelog"]) for router in started]:
            thread.join()
        assert all(router.has_logged("router_ready") for router in started)
        yield harness, started
    finally:
        for router in started:
            router.kill()
        harness.close()


@contextlib.contextmanager
def change_log_address(harness: ProcessHarness, outage: str) -> Iterator[str]:
    """Yield the address of a change log that is available, or has the given outage."""
    if outage == "none":
        yield harness.config["changelog"]
    elif outage == "refuses":
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))  # bound, but not listening
            yield f"127.0.0.1:{closed.getsockname()[1]}"
    else:
        silent = Listener(
            lambda sock: _stay_silent(sock, PARTIAL_FRAME if outage == "stops in a frame" else b"")
        )
        yield f"127.0.0.1:{silent.port}"
        silent.close()


def _stay_silent(sock: socket.socket, first: bytes) -> None:
    sock.sendall(first)
    while sock.recv(4096):
        pass


@pytest.mark.parametrize("outage", ["none", "refuses", "accepts and is silent", "stops in a frame"])
def test_nine_in_ten_routers_restarted_together_are_ready_in_time(
    routers: tuple[ProcessHarness, list[Router]], outage: str
) -> None:
    harness, started = routers
    with change_log_address(harness, outage) as changelog:
        for thread in [router.start(changelog) for router in started]:
            thread.join()
        startup_times_s = sorted(router.startup_s for router in started)
        assert startup_times_s[REQUIRED_ROUTERS - 1] <= READY_WITHIN_S, startup_times_s
        if outage != "none":
            assert not any(router.has_logged("internal_error") for router in started)
            # each router tried the change log, which was down
            assert all(router.has_logged("change_log_disconnected") for router in started)

"""Publish changes of settings during a scale run, as the operators' command does.

The coordination service's stand-in is a separate process with three servers. The controller runs in a
thread of the run. Each change is rolled out in the default waves; the next one starts when its time has
come and the last one is complete.
"""

from __future__ import annotations

import subprocess
import sys
import threading
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

import trio

from stonecove.fleet.rollout_controller import (
    InputError,
    OvertakenError,
    RolloutController,
    ServiceError,
    service_session,
)
from stonecove.protocols.zookeeper.session import Server, SessionConfig
from stonecove.rollout.controller import RolloutError
from stonecove.rollout.messages import DEFAULT_WAVES, Bounds, RolloutState
from stonecove.scale.hollow_process import CONFIGURATION_PATH
from stonecove.scale.ledger import summarize_delays
from stonecove.scale.results import Delays

SERVER_COUNT = 3
SERVICE_TIMEOUT_S = 30.0  # for the service's answers and the routers' reports
# Each change sets another warm-up time of caches, which does not affect hollow routers.
INITIAL_WARM_UP_MS = 10_000.0
STOP_TIMEOUT_S = 10.0


class Applied(NamedTuple):
    """One router has applied a version."""

    router: int
    version: int
    at_ns: int


class Change(NamedTuple):
    """One completed change of settings."""

    version: int
    started_at_ns: int  # before its first byte was sent


class RolloutDriver:
    """The coordination service and the roll-out controller of a run; `close` stops both."""

    def __init__(self, folder: Path) -> None:
        """Start the stand-in; raises OSError."""
        with (folder / "coordination.log").open("ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "stonecove", "standin", "zookeeper", "--servers", str(SERVER_COUNT)],
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
            )
        assert self._process.stdout is not None
        self.servers = tuple(_parse_address(self._process.stdout.readline()) for _ in range(SERVER_COUNT))
        self.changes: list[Change] = []
        self.unfinished: list[str] = []  # why changes were not complete
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def pid(self) -> int:
        """Return the process ID of the stand-in."""
        return self._process.pid

    def start(self, routers: int, changes_per_s: float) -> None:
        """Start to publish changes to this number of running routers."""
        self._thread = threading.Thread(
            target=trio.run, args=(self._publish_all, routers, 1.0 / changes_per_s), daemon=True
        )
        self._thread.start()

    def end(self) -> None:
        """Publish no further changes and wait for the current one."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Stop the controller and the stand-in."""
        self.end()
        self._process.terminate()
        self._process.wait(STOP_TIMEOUT_S)

    async def _publish_all(self, routers: int, interval_s: float) -> None:
        async with service_session(self.servers, SessionConfig(), SERVICE_TIMEOUT_S) as session:
            controller = RolloutController(CONFIGURATION_PATH, session, SERVICE_TIMEOUT_S)
            with trio.move_on_after(SERVICE_TIMEOUT_S):
                while len(controller.reports.by_name) < routers and not self._stopped.is_set():
                    await trio.sleep(0.05)
            while not self._stopped.is_set():
                started_at_s = trio.current_time()
                await self._publish(controller)
                while trio.current_time() < started_at_s + interval_s and not self._stopped.is_set():
                    await trio.sleep(0.05)

    async def _publish(self, controller: RolloutController) -> None:
        patch = {"rules": {"warm_up": INITIAL_WARM_UP_MS + len(self.changes)}}
        started_at_ns = time.time_ns()
        try:
            state = await controller.publish(patch, DEFAULT_WAVES, Bounds())
            target = await controller.status()
        except (InputError, OvertakenError, RolloutError, ServiceError) as error:
            self.unfinished.append(str(error))
            return
        if target is None or state is not RolloutState.COMPLETE:
            self.unfinished.append(f"{state.value}: {target.why if target is not None else ''}")
        else:
            self.changes.append(Change(target.version, started_at_ns))


def configuration_delays(
    changes: Sequence[Change], applied: Iterable[Applied], routers: frozenset[int]
) -> Delays | None:
    """Return the delays until the last of these routers applied each change; None if none was completed."""
    applied_ns_by_version: dict[int, dict[int, int]] = {change.version: {} for change in changes}
    for application in applied:
        if application.router in routers and application.version in applied_ns_by_version:
            applied_ns_by_version[application.version].setdefault(application.router, application.at_ns)
    delays_ms = [
        (max(applied_ns_by_version[change.version].values()) - change.started_at_ns) / 1e6
        for change in changes
        if len(applied_ns_by_version[change.version]) == len(routers)
    ]
    return summarize_delays(delays_ms) if delays_ms else None


def _parse_address(line: str) -> Server:
    host, _, port = line.split()[-1].rpartition(":")
    return host, int(port)

"""Changes of settings in a scale run: published as the operators' command does.

The stand-in of the coordination service is a process of its own, with three servers. The controller runs in a
thread of the run. Each change is rolled out in the default waves; the next one begins when its time has
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
from stonecove.scale.ledger import delays_of
from stonecove.scale.results import Delays

SERVERS = 3
PATIENCE = 30.0  # seconds for which the service and the routers' reports are waited for
FIRST_WARM_UP = 10_000.0  # ms; each change sets another warm-up of caches, which no hollow router goes by
END_WAIT = 10.0


class Applied(NamedTuple):
    """One router has put a version in force."""

    router: int
    version: int
    moment: int  # ns


class Change(NamedTuple):
    """One change that was rolled out."""

    version: int
    began: int  # ns, before its first byte


class RolloutPath:
    """The coordination service and the controller of a run. Ends all that it started by `close`."""

    def __init__(self, folder: Path) -> None:
        """Starts the stand-in; raises OSError."""
        with (folder / "coordination.log").open("ab") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "stonecove", "standin", "zookeeper", "--servers", str(SERVERS)],
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
            )
        assert self._process.stdout is not None
        self.servers = tuple(_address(self._process.stdout.readline()) for _ in range(SERVERS))
        self.changes: list[Change] = []
        self.unfinished: list[str] = []  # of changes that were not complete, why
        self._over = threading.Event()
        self._thread: threading.Thread | None = None

    @property
    def pid(self) -> int:
        """Of the stand-in's process."""
        return self._process.pid

    def start(self, routers: int, changes_a_second: float) -> None:
        """So many routers run: changes are published from now on."""
        self._thread = threading.Thread(
            target=trio.run, args=(self._publish_all, routers, 1.0 / changes_a_second), daemon=True
        )
        self._thread.start()

    def end(self) -> None:
        """No further changes; waits for the one that is under way."""
        self._over.set()
        if self._thread is not None:
            self._thread.join(END_WAIT)

    def close(self) -> None:
        """Ends all that it started."""
        self.end()
        self._process.terminate()
        self._process.wait(END_WAIT)

    async def _publish_all(self, routers: int, every: float) -> None:
        async with service_session(self.servers, SessionConfig(), PATIENCE) as session:
            controller = RolloutController(CONFIGURATION_PATH, session, PATIENCE)
            with trio.move_on_after(PATIENCE):
                while len(controller.reports.by_name) < routers and not self._over.is_set():
                    await trio.sleep(0.05)
            while not self._over.is_set():
                began = trio.current_time()
                await self._publish(controller)
                while trio.current_time() < began + every and not self._over.is_set():
                    await trio.sleep(0.05)

    async def _publish(self, controller: RolloutController) -> None:
        merge = {"rules": {"warm_up": FIRST_WARM_UP + len(self.changes)}}
        began = time.time_ns()
        try:
            state = await controller.publish(merge, DEFAULT_WAVES, Bounds())
            target = await controller.status()
        except (InputError, OvertakenError, RolloutError, ServiceError) as error:
            self.unfinished.append(str(error))
            return
        if target is None or state is not RolloutState.COMPLETE:
            self.unfinished.append(f"{state.value}: {target.why if target is not None else ''}")
        else:
            self.changes.append(Change(target.version, began))


def configuration_delays(
    changes: Sequence[Change], applied: Iterable[Applied], routers: frozenset[int]
) -> Delays | None:
    """From a change's first byte until the last of these routers has it in force; None without one."""
    moments: dict[int, dict[int, int]] = {change.version: {} for change in changes}
    for one in applied:
        if one.router in routers and one.version in moments:
            moments[one.version].setdefault(one.router, one.moment)
    taken = [
        (max(moments[change.version].values()) - change.began) / 1e6
        for change in changes
        if len(moments[change.version]) == len(routers)
    ]
    return delays_of(taken) if taken else None


def _address(line: str) -> Server:
    host, _, port = line.split()[-1].rpartition(":")
    return host, int(port)

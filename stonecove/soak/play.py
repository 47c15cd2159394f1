"""Plays a soak: real routers beside a misbehaving depot, rude clients, reloads and restarts."""

from __future__ import annotations

import contextlib
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stonecove.soak.clients import SentRequest, SoakClients
from stonecove.soak.depot import Arrival, SoakDepot
from stonecove.soak.host import HostLag, ProcessUse
from stonecove.soak.plan import (
    CACHES,
    CacheTrouble,
    Crowd,
    LogTrouble,
    Reloads,
    Restart,
    ServerTrouble,
    SoakPlan,
)
from stonecove.standins.depot import HOST, Depot
from stonecove.trial.processes import RouterProcess
from stonecove.trial.streams import StreamRelays, host_of
from stonecove.trial.testbed import WEIGHT, Testbed, TrialRecord

CROWD_STAYS_S = 4.0  # clients close a connection after so long at rest
SETTLES_S = 0.5
STEP_S = 0.01
SIGHUP_BIT = 1 << signal.SIGHUP - 1  # in the masks of /proc/PID/status


@dataclass(slots=True)
class Shutdown:
    """One router's end: SIGTERM, and SIGKILL at the earliest moment allowed. Moments are Unix seconds."""

    router: int
    asked_at: float
    ended_at: float
    exit_code: int
    killed: bool  # it had not ended when SIGKILL was due


def no_lag(_since: float, _until: float) -> float:
    """Return the delay of a host that is never late."""
    return 0.0


@dataclass(slots=True)
class SoakRecord:
    """What a soak recorded, for the judge."""

    plan: SoakPlan
    trial: TrialRecord
    sent: list[SentRequest]
    unasked: list[str]
    arrivals: list[Arrival]
    shutdowns: list[Shutdown]
    descriptors: list[int]
    memory_mb: list[float]
    worst_lag_s: float
    lag_of: Callable[[float, float], float] = no_lag


class SoakTestbed(Testbed):
    """The testbed of a soak."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        """Start no router yet."""
        self.plan = plan
        self.shutdowns: list[Shutdown] = []
        self._reloads = 0
        self._crowds: list[tuple[float, list[socket.socket]]] = []
        self._second_log_ports: list[int] = []
        super().__init__(plan.trial(), plan.seed, folder)

    # -- what the routers are told --

    def _depot(self) -> Depot:
        return SoakDepot(CACHES, WEIGHT, self.plan.idle_ms)

    @property
    def soak_depot(self) -> SoakDepot:
        """Return the depot by its own type."""
        assert isinstance(self.depot, SoakDepot)
        return self.depot

    def _streams(self, seed: int) -> StreamRelays:
        places = range(self.plan.routers)
        self._log_ports = [self.depot.log_for(host_of(place)) for place in places]
        self._second_log_ports = [self.depot.log_for(host_of(place)) for place in places]
        ports = [
            *(server.port for server in self.depot.servers),
            *self._log_ports,
            *self._second_log_ports,
        ]
        return StreamRelays(self.plan.routers, [(HOST, port) for port in ports], seed)

    def _log_ports_of(self, place: int) -> list[int]:
        return [self._log_ports[place], self._second_log_ports[place]]

    def _settings(self, place: int) -> dict[str, Any]:
        made = super()._settings(place)
        made["classes"] = [
            {
                "name": one.name, "importance": 1.0, "on_time": one.deadline_ms / 3.0,
                "deadline": one.deadline_ms, "effect": one.effect.value, "late_worth": 0.2,
                "window": one.window_ms,
            }
            for one in self.plan.classes
        ]  # fmt: skip
        made["domain"]["never_kept"] = [False, True, True]
        made["domain"]["lifetime_by_class"] = [0.0, 0.0, 0.0]
        made["limits"]["conn_idle"] = self.plan.idle_ms
        return made

    def _limits(self) -> dict[str, float]:
        return {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": self.plan.sockets}

    def _configure(self, place: int, changed: bool) -> None:
        """Write a router's configuration anew, with the list as it is; `changed`: with other limits, too."""
        config = self._config(place, self.plan.seed, self.routers[place].address)
        if changed:
            self._reloads += 1
            config["limits"]["sockets"] = self.plan.sockets - 8 * (self._reloads % 2)
            port = self._log_ports_of(place)[self._reloads % 2]
            config["changelog"] = f"{host_of(place)}:{port}"
        self.routers[place].configure(config)

    # -- the whole --

    def play_soak(self) -> SoakRecord:
        """Run the soak; raises TrialError if the routers did not become ready."""
        places = list(range(self.plan.routers))
        for place in places:
            self.start(place)
        self.wait_ready(places)
        lag, use = HostLag(), ProcessUse(self.routers)
        began = time.time()
        clients = SoakClients([router.address for router in self.routers], self.plan, lag)
        try:
            self._run_troubles(began)
            for thread in self._threads:
                thread.join()
            self._end_all(places)
            ended = time.time()
        finally:
            self._over.set()
            clients.end()
            use.close()
            self._close_crowds(float("inf"))
        time.sleep(SETTLES_S)
        lag.close()
        record = TrialRecord(
            self.trial, began, ended, self.routers, self.ids, None, self.depot, 0, self.colds,
            codes=self.codes, drains=self.drains, purges=self.purges,
        )  # fmt: skip
        return SoakRecord(
            self.plan, record, clients.sent, clients.unasked, self.soak_depot.arrivals, self.shutdowns,
            use.descriptors, use.memory_mb, lag.worst(began, ended), lag.worst,
        )  # fmt: skip

    def _run_troubles(self, began: float) -> None:
        steps: list[tuple[float, Callable[[], None]]] = []
        for one in self.plan.troubles:
            steps += self._steps_of(one)
        steps.append((self.plan.seconds, lambda: None))
        for at, step in sorted(steps, key=lambda step: step[0]):
            if at > self.plan.seconds:  # it lasts to the end of the shutdown
                continue
            while (left := began + at - time.time()) > 0:
                self._close_crowds(time.time())
                time.sleep(min(left, 0.1))
            step()

    def _steps_of(self, trouble: object) -> list[tuple[float, Callable[[], None]]]:
        """Return what is done for a trouble, and when."""
        match trouble:
            case CacheTrouble():
                ident, behaviours = self.depot.caches[trouble.cache].ident, self.soak_depot.behaviours
                return [
                    (trouble.at, lambda: behaviours.update({ident: trouble.behaviour})),
                    (trouble.ends, lambda: behaviours.pop(ident, None) and None),
                ]
            case LogTrouble():
                return [
                    (trouble.at, lambda: setattr(self.soak_depot, "log_behaviour", trouble.behaviour)),
                    (trouble.ends, lambda: setattr(self.soak_depot, "log_behaviour", None)),
                ]
            case ServerTrouble(fault):
                steps: list[tuple[float, Callable[[], None]]] = [(fault.at, lambda: self.do(fault))]
                return steps + ([(fault.ends, lambda: self.undo(fault))] if fault.ends else [])
            case Reloads():
                return [(trouble.at, lambda: self._spawn(lambda: self._reload(trouble)))]
            case Restart():
                return [(trouble.at, lambda: self._spawn(lambda: self._restart(trouble)))]
            case Crowd():
                return [(trouble.at, lambda: self._crowd(trouble))]
        raise AssertionError(trouble)

    def _reload(self, reloads: Reloads) -> None:
        for _ in range(reloads.count):
            self._configure(reloads.router, reloads.changed)
            self.routers[reloads.router].signal(signal.SIGHUP)
            time.sleep(reloads.gap_s)

    def _crowd(self, crowd: Crowd) -> None:
        sockets = []
        for _ in range(crowd.connections):
            with contextlib.suppress(OSError):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.routers[crowd.router].address)
                sockets.append(sock)
        self._crowds.append((time.time() + CROWD_STAYS_S, sockets))

    def _close_crowds(self, now: float) -> None:
        for over in [one for one in self._crowds if one[0] <= now]:
            self._crowds.remove(over)
            for sock in over[1]:
                sock.close()

    # -- ends and starts --

    def _restart(self, restart: Restart) -> None:
        self._shut_down(restart.router, restart.signals)
        self._configure(restart.router, False)
        router = self.routers[restart.router]
        self.start(restart.router)
        if _handles_signals(router):
            time.sleep(restart.early_signal_s)
            router.signal(signal.SIGHUP)
        self.until(router.ready, 30.0)

    def _end_all(self, places: list[int]) -> None:
        for place in places:
            self._spawn(lambda place=place: self._shut_down(place, self.plan.last_signals))
        for thread in self._threads:
            thread.join()

    def _shut_down(self, place: int, signals: tuple[tuple[float, str], ...]) -> None:
        """Send SIGTERM and what follows it, and SIGKILL at the earliest moment at which the platform does."""
        router = self.routers[place]
        asked_at = time.time()
        router.signal(signal.SIGTERM)
        kill_at = asked_at + self.plan.kill_after_s
        for after, name in signals:
            time.sleep(max(0.0, asked_at + after - time.time()))
            router.signal(signal.Signals[name])
        killed = not _has_ended(router, kill_at)
        if killed:
            router.signal(signal.SIGKILL)
        code = router.wait()
        self.relays.down(place)
        self.shutdowns.append(Shutdown(place, asked_at, time.time(), code, killed))


def _has_ended(router: RouterProcess, until: float) -> bool:
    """Wait for the end of a process; return whether it came before that Unix second."""
    assert router.process is not None
    try:
        router.process.wait(max(0.0, until - time.time()))
    except subprocess.TimeoutExpired:
        return False
    return True


def _handles_signals(router: RouterProcess) -> bool:
    """Wait until a new process blocks or handles SIGHUP, as it does from its first line on."""
    assert router.process is not None
    status = Path(f"/proc/{router.process.pid}/status")
    limit = time.monotonic() + 10.0
    while time.monotonic() < limit and router.running:
        with contextlib.suppress(OSError):
            masks = dict(line.split(":\t") for line in status.read_text().splitlines() if ":\t" in line)
            if (int(masks["SigBlk"], 16) | int(masks["SigCgt"], 16)) & SIGHUP_BIT:
                return True
        time.sleep(STEP_S)
    return False

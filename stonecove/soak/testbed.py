"""Runs a soak: real routers with a misbehaving depot, misbehaving clients, reloads and restarts."""

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
from stonecove.soak.host import HostLag, ProcessUsage
from stonecove.soak.plan import (
    CACHE_COUNT,
    CacheFault,
    ChangeLogFault,
    IdleConnections,
    Reloads,
    Restart,
    ServerFault,
    SoakPlan,
)
from stonecove.standins.depot import HOST, Depot
from stonecove.trial.processes import RouterProcess
from stonecove.trial.streams import StreamRelays, host_of
from stonecove.trial.testbed import WEIGHT, Testbed, TrialRecord

IDLE_CONNECTION_LIFETIME_S = 4.0
SETTLE_S = 0.5
POLL_INTERVAL_S = 0.01
SIGHUP_BIT = 1 << signal.SIGHUP - 1  # in the signal masks of /proc/PID/status


@dataclass(slots=True)
class Shutdown:
    """A router's shutdown by SIGTERM, with SIGKILL at the earliest allowed time. Times are Unix seconds."""

    router_index: int
    sigterm_at: float
    ended_at: float
    exit_code: int
    was_killed: bool  # it was still running when SIGKILL was due


def no_lag(_since: float, _until: float) -> float:
    """Return 0: the wake-up delay of an ideal host, in seconds."""
    return 0.0


@dataclass(slots=True)
class SoakRecord:
    """The observations of a soak that the judge evaluates."""

    plan: SoakPlan
    trial: TrialRecord
    sent_requests: list[SentRequest]
    unexpected_answers: list[str]
    arrivals: list[Arrival]
    shutdowns: list[Shutdown]
    descriptors: list[int]
    memory_mb: list[float]
    worst_lag_s: float
    lag_between: Callable[[float, float], float] = no_lag


class SoakTestbed(Testbed):
    """The testbed of a trial, with the depot, the clients and the faults of a soak."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        """Set up stand-ins and router configurations without starting a router."""
        self.plan = plan
        self.shutdowns: list[Shutdown] = []
        self._changed_reload_count = 0
        self._idle_sockets: list[tuple[float, list[socket.socket]]] = []
        self._alternate_log_ports: list[int] = []
        super().__init__(plan.trial(), plan.seed, folder)

    # -- router configuration --

    def _create_depot(self) -> Depot:
        return SoakDepot(CACHE_COUNT, WEIGHT, self.plan.idle_timeout_ms)

    @property
    def soak_depot(self) -> SoakDepot:
        """Return the depot with its concrete type."""
        assert isinstance(self.depot, SoakDepot)
        return self.depot

    def _create_stream_relays(self, seed: int) -> StreamRelays:
        router_indexes = range(self.plan.router_count)
        self._log_ports = [
            self.depot.add_change_log(host_of(router_index)) for router_index in router_indexes
        ]
        self._alternate_log_ports = [
            self.depot.add_change_log(host_of(router_index)) for router_index in router_indexes
        ]
        ports = [
            *(server.port for server in self.depot.servers),
            *self._log_ports,
            *self._alternate_log_ports,
        ]
        return StreamRelays(self.plan.router_count, [(HOST, port) for port in ports], seed)

    def _log_ports_of(self, router_index: int) -> list[int]:
        return [self._log_ports[router_index], self._alternate_log_ports[router_index]]

    def _settings(self, router_index: int) -> dict[str, Any]:
        settings = super()._settings(router_index)
        settings["classes"] = [
            {
                "name": request_class.name, "importance": 1.0, "on_time": request_class.deadline_ms / 3.0,
                "deadline": request_class.deadline_ms, "effect": request_class.effect.value,
                "late_worth": 0.2, "window": request_class.window_ms,
            }
            for request_class in self.plan.classes
        ]  # fmt: skip
        settings["domain"]["never_kept"] = [False, True, True]
        settings["domain"]["lifetime_by_class"] = [0.0, 0.0, 0.0]
        settings["limits"]["conn_idle"] = self.plan.idle_timeout_ms
        return settings

    def _limits(self) -> dict[str, float]:
        return {"cores": 1.0, "memory_mb": self.plan.max_memory_mb, "sockets": self.plan.max_sockets}

    def _rewrite_config(self, router_index: int, is_changed: bool) -> None:
        """Rewrite a router's configuration with the current endpoint list.

        `is_changed`: alternate between two socket limits and two change log ports, too.
        """
        config = self._config(router_index, self.plan.seed, self.routers[router_index].address)
        if is_changed:
            self._changed_reload_count += 1
            config["limits"]["sockets"] = self.plan.max_sockets - 8 * (self._changed_reload_count % 2)
            port = self._log_ports_of(router_index)[self._changed_reload_count % 2]
            config["changelog"] = f"{host_of(router_index)}:{port}"
        self.routers[router_index].configure(config)

    # -- the run --

    def run_soak(self) -> SoakRecord:
        """Run the soak; raises TrialError if the routers do not become ready."""
        router_indexes = list(range(self.plan.router_count))
        for router_index in router_indexes:
            self.start(router_index)
        self.wait_ready(router_indexes)
        host_lag, usage = HostLag(), ProcessUsage(self.routers)
        started_at = time.time()
        clients = SoakClients([router.address for router in self.routers], self.plan, host_lag)
        try:
            self._run_soak_faults(started_at)
            for thread in self._threads:
                thread.join()
            self._shut_down_all(router_indexes)
            ended_at = time.time()
        finally:
            self._stopping.set()
            clients.stop()
            usage.close()
            self._close_idle_connections(float("inf"))
        time.sleep(SETTLE_S)
        host_lag.close()
        trial_record = TrialRecord(
            self.trial, started_at, ended_at, self.routers, self.member_ids, None, self.depot, 0,
            self.cache_starts, unexpected_exits=self.unexpected_exits, drains=self.drains, purges=self.purges,
        )  # fmt: skip
        return SoakRecord(
            self.plan, trial_record, clients.sent_requests, clients.unexpected_answers,
            self.soak_depot.arrivals, self.shutdowns, usage.descriptors, usage.memory_mb,
            host_lag.worst_s(started_at, ended_at), host_lag.worst_s,
        )  # fmt: skip

    def _run_soak_faults(self, started_at: float) -> None:
        steps: list[tuple[float, Callable[[], None]]] = []
        for soak_fault in self.plan.faults:
            steps += self._soak_steps(soak_fault)
        steps.append((self.plan.duration_s, lambda: None))
        for at_s, step in sorted(steps, key=lambda step: step[0]):
            if at_s > self.plan.duration_s:  # the end of a fault that lasts throughout the final shutdown
                continue
            while (remaining_s := started_at + at_s - time.time()) > 0:
                self._close_idle_connections(time.time())
                time.sleep(min(remaining_s, 0.1))
            step()

    def _soak_steps(self, soak_fault: object) -> list[tuple[float, Callable[[], None]]]:
        """Return the steps of a fault, each with its time in seconds after the load began."""
        match soak_fault:
            case CacheFault():
                cache_id, behaviours = (
                    self.depot.caches[soak_fault.cache_index].ident,
                    self.soak_depot.cache_behaviours,
                )
                return [
                    (soak_fault.at_s, lambda: behaviours.update({cache_id: soak_fault.behaviour})),
                    (soak_fault.ends_at_s, lambda: behaviours.pop(cache_id, None) and None),
                ]
            case ChangeLogFault():
                return [
                    (
                        soak_fault.at_s,
                        lambda: setattr(self.soak_depot, "log_behaviour", soak_fault.behaviour),
                    ),
                    (soak_fault.ends_at_s, lambda: setattr(self.soak_depot, "log_behaviour", None)),
                ]
            case ServerFault(fault):
                steps: list[tuple[float, Callable[[], None]]] = [(fault.at, lambda: self.begin_fault(fault))]
                return steps + ([(fault.ends, lambda: self.end_fault(fault))] if fault.ends else [])
            case Reloads():
                return [(soak_fault.at_s, lambda: self._spawn(lambda: self._reload(soak_fault)))]
            case Restart():
                return [(soak_fault.at_s, lambda: self._spawn(lambda: self._restart(soak_fault)))]
            case IdleConnections():
                return [(soak_fault.at_s, lambda: self._open_idle_connections(soak_fault))]
        raise AssertionError(soak_fault)

    def _reload(self, reloads: Reloads) -> None:
        for _ in range(reloads.signal_count):
            self._rewrite_config(reloads.router_index, reloads.is_changed)
            self.routers[reloads.router_index].signal(signal.SIGHUP)
            time.sleep(reloads.interval_s)

    def _open_idle_connections(self, idle: IdleConnections) -> None:
        sockets = []
        for _ in range(idle.connection_count):
            with contextlib.suppress(OSError):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(self.routers[idle.router_index].address)
                sockets.append(sock)
        self._idle_sockets.append((time.time() + IDLE_CONNECTION_LIFETIME_S, sockets))

    def _close_idle_connections(self, now: float) -> None:
        for expired in [group for group in self._idle_sockets if group[0] <= now]:
            self._idle_sockets.remove(expired)
            for sock in expired[1]:
                sock.close()

    # -- shutdowns and starts --

    def _restart(self, restart: Restart) -> None:
        self._shut_down(restart.router_index, restart.signals)
        self._rewrite_config(restart.router_index, False)
        router = self.routers[restart.router_index]
        self.start(restart.router_index)
        if _handles_signals(router):
            time.sleep(restart.sighup_after_s)
            router.signal(signal.SIGHUP)
        self.until(router.ready, 30.0)

    def _shut_down_all(self, router_indexes: list[int]) -> None:
        for index in router_indexes:
            self._spawn(lambda index=index: self._shut_down(index, self.plan.final_signals))
        for thread in self._threads:
            thread.join()

    def _shut_down(self, router_index: int, signals: tuple[tuple[float, str], ...]) -> None:
        """Send SIGTERM, the further signals, and SIGKILL at the earliest time that the platform allows."""
        router = self.routers[router_index]
        sigterm_at = time.time()
        router.signal(signal.SIGTERM)
        sigkill_at = sigterm_at + self.plan.sigkill_after_s
        for after_s, name in signals:
            time.sleep(max(0.0, sigterm_at + after_s - time.time()))
            router.signal(signal.Signals[name])
        was_killed = not _exits_before(router, sigkill_at)
        if was_killed:
            router.signal(signal.SIGKILL)
        exit_code = router.wait()
        self.relays.announce_exit(router_index)
        self.shutdowns.append(Shutdown(router_index, sigterm_at, time.time(), exit_code, was_killed))


def _exits_before(router: RouterProcess, deadline_at: float) -> bool:
    """Wait for a process to exit; return whether it did before a deadline in Unix seconds."""
    assert router.process is not None
    try:
        router.process.wait(max(0.0, deadline_at - time.time()))
    except subprocess.TimeoutExpired:
        return False
    return True


def _handles_signals(router: RouterProcess) -> bool:
    """Wait up to 10 s until a new process blocks or handles SIGHUP; return whether it does.

    Routers do so from their first line on.
    """
    assert router.process is not None
    status = Path(f"/proc/{router.process.pid}/status")
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline and router.running:
        with contextlib.suppress(OSError):
            masks = dict(line.split(":\t") for line in status.read_text().splitlines() if ":\t" in line)
            if (int(masks["SigBlk"], 16) | int(masks["SigCgt"], 16)) & SIGHUP_BIT:
                return True
        time.sleep(POLL_INTERVAL_S)
    return False

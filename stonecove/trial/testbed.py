"""Runs one trial with real processes: routers, caches, relays between them, load, and scheduled faults."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stonecove.gossip.claims import format_member_id, ident_of
from stonecove.standins.depot import HOST, Cache, Depot
from stonecove.standins.loaded import LoadedDepot
from stonecove.standins.webserver import settings
from stonecove.trial.closed_loop import ClosedLoopClients
from stonecove.trial.open_loop import OpenLoopClients
from stonecove.trial.processes import RouterProcess, free_address
from stonecove.trial.rejoin import all_joined_since
from stonecove.trial.relay import Address, DatagramFaults, DatagramRelays
from stonecove.trial.schedule import Fault, Trial
from stonecove.trial.streams import StreamFaults, StreamRelays, host_of

SAMPLE_INTERVAL_S = 0.25  # between two samples of the routers' member tables
STARVE_INTERVAL_S = 0.05  # length of each phase: suspended, then running, in turn
FLOOD_DATAGRAMS_PER_S = 10_000.0
SETTLE_TIME_S = 1.0  # after the load, for requests in flight to end
WEIGHT = 1.0  # concurrent transfers that a cache's link carries; a cold cache is sent few
ZONE_LINK_KB_PER_S = 6e6
GROUP = 17  # invalidation group of all objects that the load requests


class TrialError(Exception):
    """Raised with the reason if a trial cannot be run."""


@dataclass(slots=True)
class TrialRecord:
    """What a trial recorded for the judge; times are Unix seconds."""

    trial: Trial
    started_at: float
    ended_at: float
    routers: list[RouterProcess]
    member_ids: list[str]  # by router
    clients: ClosedLoopClients | OpenLoopClients | None  # None in soaks, which judge their own clients
    depot: Depot
    repeated_write_count: int  # writes that ran more than once
    cache_starts: list[tuple[float, str, list[float]]]  # start, empty cache, Unix ms of requests
    # start, end, router, kind of fault
    router_faults: list[tuple[float, float, int, str]] = field(default_factory=list)
    unexpected_exits: list[tuple[int, int]] = field(default_factory=list)  # router, exit code
    samples: list[tuple[float, int, dict[str, Any]]] = field(default_factory=list)
    drains: list[tuple[float, float, int]] = field(default_factory=list)  # start, end, cache
    purges: list[float] = field(default_factory=list)  # Unix ms
    joined_at: float | None = None  # time since which all running routers were joined; None: not all were


class Testbed:
    """All processes, stand-ins and relays of one trial; `close` ends everything that was started."""

    __test__ = False  # pytest would collect a class of this name

    def __init__(self, trial: Trial, seed: int, folder: Path, extra_operator_config: str = "") -> None:
        """Start no router yet; `extra_operator_config`: text added to the operator file of each router."""
        self.trial, self.folder, self._extra_operator_config = trial, folder, extra_operator_config
        self.depot = self._create_depot()
        self.clients: ClosedLoopClients | OpenLoopClients | None = None
        self._log_ports = [self.depot.log_port] * trial.routers
        self.streams = self._create_stream_relays(seed) if trial.relayed else None
        self.relays = DatagramRelays(trial.routers, seed)
        self.names = [f"edge-{router_index}" for router_index in range(trial.routers)]
        for twin in trial.twins[1:]:
            self.names[twin] = self.names[trial.twins[0]]
        self.member_ids = [format_member_id(ident_of(name)) for name in self.names]
        self.listens = [free_address(f"127.41.0.{1 + router_index}") for router_index in range(trial.routers)]
        self.routers = [self._create_router(router_index, seed) for router_index in range(trial.routers)]
        self.router_faults: list[tuple[float, float, int, str]] = []
        self.cache_starts: list[tuple[float, str, list[float]]] = []
        self.drains: list[tuple[float, float, int]] = []
        self.purges: list[float] = []
        self.unexpected_exits: list[tuple[int, int]] = []
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def _settings(self, router_index: int) -> dict[str, Any]:
        """Return the settings of that router."""
        trial, values = self.trial, settings()
        zones = [trial.zone(other) for other in range(trial.routers)]
        values["fleet_size"] = trial.routers
        values["zone"] = trial.zone(router_index)
        values["areas"] = ["central", *(f"edge-{1 + zone}" for zone in range(trial.zones))]
        values["domain"]["instances_by_zone"] = [zones.count(zone) for zone in range(1 + trial.zones)]  # type: ignore[index]
        values["domain"]["zone_link_kb_per_s"] = [0.0] + [ZONE_LINK_KB_PER_S] * trial.zones  # type: ignore[index]
        values["limits"]["peers"] = True  # type: ignore[index]
        values["rules"]["overload_for"] = trial.window * 1000.0  # type: ignore[index]
        return values

    def _limits(self) -> dict[str, float]:
        """Return the resource limits of each router."""
        return {"cores": 1.0, "memory_mb": 192, "sockets": 256}

    def _config(self, router_index: int, seed: int, address: Address) -> dict[str, Any]:
        """Return the configuration of that router, which listens at `address`."""
        host, port = address
        others = [other for other in range(self.trial.routers) if other != router_index]
        servers = host_of(router_index) if self.streams is not None else HOST
        return {
            "name": self.names[router_index], "listen": f"{host}:{port}", "seed": f"{seed + router_index:x}",
            "changelog": f"{servers}:{self._log_ports[router_index]}",
            "known": self.depot.endpoint_list(servers),
            "settings": self._settings(router_index),
            "limits": self._limits(),
            "peer_listen": ":".join(map(str, self.listens[router_index])),
            "peers": [":".join(map(str, self.relays.address(router_index, other))) for other in others],
        }  # fmt: skip

    def _create_router(self, router_index: int, seed: int) -> RouterProcess:
        trial = self.trial
        config = self._config(router_index, seed, free_address(f"127.40.0.{1 + router_index}"))
        router = RouterProcess(
            self.folder / f"edge-{router_index}",
            f"edge-{router_index}",
            config,
            ("swarm: {}\n" if trial.swarm else "") + self._extra_operator_config,
        )
        if trial.ahead or any(fault.do == "clock" for fault in trial.faults):
            router.set_clock(dict(enumerate(trial.ahead)).get(router_index, 0.0))
        return router

    def _create_depot(self) -> Depot:
        trial = self.trial
        if trial.bears is None:
            return Depot(trial.caches, WEIGHT, trial.zones)
        return LoadedDepot(trial.caches, float(trial.bears.slots), trial.zones, trial.bears)

    def _create_stream_relays(self, seed: int) -> StreamRelays:
        """Create relays to all servers, and a change log per router that lists its own addresses of them."""
        self._log_ports = [
            self.depot.add_change_log(host_of(router_index)) for router_index in range(self.trial.routers)
        ]
        ports = [*(server.port for server in self.depot.servers), *self._log_ports]
        return StreamRelays(self.trial.routers, [(HOST, port) for port in ports], seed)

    # -- actions of a schedule --

    def start(self, router_index: int) -> None:
        """Start a process of that router."""
        self.relays.announce_start(router_index, self.listens[router_index])
        self.routers[router_index].start()

    def kill(self, router_index: int) -> None:
        """Kill the router's process with SIGKILL."""
        self.routers[router_index].kill()
        self.relays.announce_exit(router_index)

    def terminate(self, router_index: int) -> None:
        """Send SIGTERM to the router and wait until its process has ended."""
        self.routers[router_index].signal(signal.SIGTERM)
        self._wait_exit(router_index)

    def _wait_exit(self, router_index: int) -> None:
        exit_code = self.routers[router_index].wait()
        self.relays.announce_exit(router_index)
        if exit_code:
            self.unexpected_exits.append((router_index, exit_code))

    def wait_ready(self, router_indices: list[int], timeout_s: float = 30.0) -> None:
        """Wait until all accept connections; raise TrialError if one exits or does not within `timeout_s`."""
        deadline = time.monotonic() + timeout_s
        for router_index in router_indices:
            while not self.routers[router_index].ready():
                if time.monotonic() > deadline or not self.routers[router_index].running:
                    raise TrialError(
                        f"{self.names[router_index]} exited or did not accept connections within "
                        f"{timeout_s:g} s; its log is {self.routers[router_index].log}"
                    )
                time.sleep(0.02)

    def joined(self) -> bool:
        """Return whether all running routers have their full share."""
        reports = [router.send_query("swarm status") for router in self._responsive_routers()]
        return bool(reports) and all(report is not None and report["status"]["joined"] for report in reports)

    def _views_agree(self) -> bool:
        """Return whether all have joined with the same view.

        A router that gets its first view only later would count as a change of views.
        """
        reports = [router.send_query("swarm status") for router in self._responsive_routers()]
        statuses = [status["status"] for status in reports if status is not None]
        return (
            len(statuses) == len(reports) > 0
            and all(status["joined"] and status["view"] for status in statuses)
            and (len({status["digest"] for status in statuses}) == 1)
        )

    def _responsive_routers(self) -> list[RouterProcess]:
        return [router for router in self.routers if router.running and not router.suspended]

    def until(self, condition: Any, timeout_s: float) -> bool:
        """Wait up to `timeout_s` for a condition; return whether it came true."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                return False
            time.sleep(0.05)
        return True

    def begin_fault(self, fault: Fault) -> None:
        """Inject a fault; one that lasts is ended by `end_fault`."""
        now = time.time()
        match fault.do:
            case "kill":
                for router_index in fault.who:
                    self._record_router_fault(now, router_index, fault)
                    self.kill(router_index)
            case "start" | "restart":
                for router_index in fault.who:
                    if self.routers[router_index].running:
                        self._record_router_fault(now, router_index, fault)
                        self.kill(router_index)
                    self.start(router_index)
            case "roll":
                self._spawn(lambda: self._roll(fault.who))
            case "terminate":
                for router_index in fault.who:
                    self._spawn(lambda router_index=router_index: self.terminate(router_index))
            case "pause":
                for router_index in fault.who:
                    self._record_router_fault(now, router_index, fault)
                    self.routers[router_index].pause()
            case "starve":
                for router_index in fault.who:
                    self._record_router_fault(now, router_index, fault)
                    self._spawn(
                        lambda router_index=router_index: self._starve(
                            router_index, now + fault.ends - fault.at
                        )
                    )
            case "flood":
                for router_index in fault.who:
                    self._spawn(
                        lambda router_index=router_index: self._flood(
                            router_index, now + fault.ends - fault.at
                        )
                    )
            case _ if fault.of:
                self._change_server_faults(fault, True)
            case "cut":
                self._set_partition(fault, True)
            case "weather":
                self._set_network_faults(fault.lose, fault.delay, fault.repeat)
            case "cold":
                self._restart_empty(self.depot.caches[fault.cache])
            case "drain":
                cache = self.depot.caches[fault.cache]
                self.drains.append((now, now + fault.ends - fault.at, cache.ident))
                self.depot.announce_state(cache, "draining")
            case "purge":
                self.purges.append(self.depot.announce_purge(GROUP))
            case "surge":
                self._set_load_factor(fault.factor)
            case "slow":
                self._set_origin_speed(fault.factor)
            case "clock":
                for router_index in fault.who:
                    self.routers[router_index].set_clock(fault.shift)

    def end_fault(self, fault: Fault) -> None:
        """End a fault that lasts."""
        match fault.do:
            case "pause":
                for router_index in fault.who:
                    self.routers[router_index].resume()
            case _ if fault.of:
                self._change_server_faults(fault, False)
            case "surge":
                self._set_load_factor(1.0)
            case "slow":
                self._set_origin_speed(1.0)
            case "drain":
                self.depot.announce_state(self.depot.caches[fault.cache], "up")
            case "cut":
                self._set_partition(fault, False)
            case "weather":
                self._set_network_faults(0.0, (0.0, 0.0), 0.0)

    def _record_router_fault(self, started_at: float, router_index: int, fault: Fault) -> None:
        ends_at = started_at + fault.ends - fault.at if fault.ends else started_at
        self.router_faults.append((started_at, ends_at, router_index, fault.do))

    def _set_partition(self, fault: Fault, partitioned: bool) -> None:
        def change() -> None:
            for router_index in fault.who:
                for peer_index in fault.to:
                    if router_index != peer_index:
                        self.relays.faults[router_index, peer_index].cut = partitioned
                        if fault.both:
                            self.relays.faults[peer_index, router_index].cut = partitioned

        self.relays.change(change)

    def _set_load_factor(self, factor: float) -> None:
        assert isinstance(self.clients, OpenLoopClients)
        self.clients.rate = self.trial.rate * factor

    def _set_origin_speed(self, factor: float) -> None:
        assert isinstance(self.depot, LoadedDepot)
        self.depot.origin_speed_factor = factor

    def _restart_empty(self, cache: Cache) -> None:
        """Restart a cache empty, and publish it in the endpoint list."""
        cache.restart_empty()
        self.cache_starts.append((cache.started_ms / 1000.0, f"s-{cache.ident:08x}", cache.request_times_ms))
        self.depot.announce_state(cache, "up")

    def _change_server_faults(self, fault: Fault, begins: bool) -> None:
        """Begin or end a fault between routers and servers."""
        assert self.streams is not None
        servers = [server for name in fault.of for server in self._servers_named(name)]
        paths = [(router_index, server.port) for router_index in fault.who for server in servers]
        if "log" in fault.of:
            paths += [
                (router_index, port)
                for router_index in fault.who
                for port in self._log_ports_of(router_index)
            ]
        if fault.do == "reset":
            return self.streams.reset(paths)

        def change(faults: StreamFaults) -> None:
            match fault.do:
                case "cut":
                    faults.cut = begins
                case "swallow":
                    faults.swallow = begins
                case "down":
                    faults.down = begins
                case "weather":
                    faults.lose, faults.delay = (fault.lose, fault.delay) if begins else (0.0, (0.0, 0.0))

        self.streams.change(paths, change)
        if fault.do == "down" and not begins:
            for server in servers:
                self._restart_empty(server)

    def _log_ports_of(self, router_index: int) -> list[int]:
        """Return the ports at which that router may follow the change log."""
        return [self._log_ports[router_index]]

    def _servers_named(self, name: str) -> list[Cache]:
        """Return the servers that a name in a schedule stands for."""
        kind, _, number = name.partition("-")
        match kind:
            case "cache":
                return [self.depot.caches[int(number)]]
            case "zone":
                return [cache for cache in self.depot.caches if cache.zone == int(number)]
            case "parent":
                return [self.depot.parent]
            case "origin":
                return [self.depot.origin]
        return []

    def _set_network_faults(self, lose: float, delay: tuple[float, float], repeat: float) -> None:
        def change() -> None:
            self.relays.global_faults = DatagramFaults(lose, delay, repeat)

        self.relays.change(change)

    def _roll(self, router_indices: tuple[int, ...]) -> None:
        """Terminate and start the routers one by one, each once the one before is ready."""
        for router_index in router_indices:
            if not self._stopping.is_set():
                self.terminate(router_index)
                self.start(router_index)
                self.until(self.routers[router_index].ready, 30.0)

    def _starve(self, router_index: int, end: float) -> None:
        while time.time() < end and not self._stopping.is_set():
            self.routers[router_index].signal(signal.SIGSTOP)
            time.sleep(STARVE_INTERVAL_S)
            self.routers[router_index].signal(signal.SIGCONT)
            time.sleep(STARVE_INTERVAL_S)

    def _flood(self, router_index: int, end: float) -> None:
        """Send malformed datagrams from a peer's address and from an unknown one."""
        self.relays.flood(
            self.listens[router_index], router_index, FLOOD_DATAGRAMS_PER_S, end - time.time(), self._stopping
        )

    def _spawn(self, call: Any) -> None:
        thread = threading.Thread(target=call)
        thread.start()
        self._threads.append(thread)

    # -- the trial --

    def run(self) -> TrialRecord:
        """Run the trial; raise TrialError if the routers do not become ready or do not join."""
        trial, router_indices = self.trial, list(range(self.trial.routers))
        for router_index in router_indices:
            self.start(router_index)
        self.wait_ready(router_indices)
        if trial.swarm and not self.until(self._views_agree, trial.joins):
            raise TrialError(f"the routers did not join with the same view within {trial.joins:g} s")
        addresses = [router.address for router in self.routers]
        load_started_at = time.time()
        clients: ClosedLoopClients | OpenLoopClients
        if trial.open_loop is None:
            clients = ClosedLoopClients(addresses, trial.rate, kb=trial.kb, writes=trial.writes)
        else:
            clients = OpenLoopClients(addresses, trial.rate, trial.open_loop)
        self.clients = clients
        samples: list[tuple[float, int, dict[str, Any]]] = []
        try:
            if trial.swarm:
                self._spawn(lambda: self._collect_samples(samples))
            self._run_schedule(load_started_at)
            time.sleep(max(0.0, load_started_at + trial.lasts - time.time()))
        finally:
            self._stopping.set()
            clients.stop()
        for thread in self._threads:
            thread.join()
        time.sleep(SETTLE_TIME_S)
        ended_at = time.time()
        for router_index, router in enumerate(self.routers):
            if not router.running and router.run_times[-1][1] is None:
                self.unexpected_exits.append((router_index, router.wait()))
        running = [router_index for router_index in router_indices if self.routers[router_index].running]
        joined_at = all_joined_since(
            [self.routers[router_index] for router_index in running],
            load_started_at + trial.span[1],
            ended_at,
        )
        for router_index in running:
            self.routers[router_index].signal(signal.SIGTERM)
        for router_index in running:
            self._wait_exit(router_index)
        return TrialRecord(
            trial,
            load_started_at,
            ended_at,
            self.routers,
            self.member_ids,
            clients,
            self.depot,
            self.depot.count_repeated_writes(),
            self.cache_starts,
            self.router_faults,
            self.unexpected_exits,
            samples,
            self.drains,
            self.purges,
            joined_at,
        )

    def _run_schedule(self, load_started_at: float) -> None:
        """Begin and end all faults in chronological order."""
        steps = [(fault.at, 1, fault) for fault in self.trial.faults]
        steps += [(fault.ends, 0, fault) for fault in self.trial.faults if fault.ends]
        for at_s, begins, fault in sorted(steps, key=lambda step: step[:2]):
            time.sleep(max(0.0, load_started_at + at_s - time.time()))
            if begins:
                self.begin_fault(fault)
            else:
                self.end_fault(fault)

    def _collect_samples(self, samples: list[tuple[float, int, dict[str, Any]]]) -> None:
        while not self._stopping.wait(SAMPLE_INTERVAL_S):
            for router in self._responsive_routers():
                if (report := router.send_query("swarm status")) is not None:
                    samples.append((time.time(), self.routers.index(router), report))

    def close(self) -> None:
        """End all processes, threads and relays, suspended processes included."""
        self._stopping.set()
        for router in self.routers:
            if router.running:
                with contextlib.suppress(OSError):
                    router.kill()
        for thread in self._threads:
            thread.join()
        self.relays.close()
        if self.streams is not None:
            self.streams.close()
        self.depot.close()

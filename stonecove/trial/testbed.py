"""Runs one trial on real processes: routers, caches, relays between them, load, and faults at set times."""

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
from stonecove.trial.rejoin import all_joined_for_good
from stonecove.trial.relay import Address, DatagramRelays, Faults
from stonecove.trial.schedule import Fault, Trial
from stonecove.trial.streams import StreamFaults, StreamRelays, host_of

SAMPLE = 0.25  # seconds between two looks at what routers hold of each other
STARVE = 0.05  # seconds stopped, and as long running, in turn
FLOOD_RATE = 10_000.0  # datagrams a second
SETTLES = 1.0  # seconds after the load in which what is under way comes to its end
WEIGHT = 1.0  # transfers at once that a cache's link carries: cold ones bear little
AREA_LINK = 6e6
GROUP = 17  # of all objects that the load asks for


class TrialError(Exception):
    """A trial that could not be run; the text says why."""


@dataclass(slots=True)
class TrialRecord:
    """What a trial recorded, for the judge. Moments are Unix seconds."""

    trial: Trial
    began: float
    ended: float
    routers: list[RouterProcess]
    ids: list[str]
    clients: ClosedLoopClients | OpenLoopClients | None  # None: they are judged elsewhere
    depot: Depot
    repeated: int
    colds: list[tuple[float, str, list[float]]]  # start, cache, when it was asked
    troubled: list[tuple[float, float, int, str]] = field(default_factory=list)  # from, to, router, what
    codes: list[tuple[int, int]] = field(default_factory=list)  # router and exit code that nobody asked for
    samples: list[tuple[float, int, dict[str, Any]]] = field(default_factory=list)
    drains: list[tuple[float, float, int]] = field(default_factory=list)  # from, until, cache
    purges: list[float] = field(default_factory=list)  # Unix ms
    joined_at: float | None = None  # from when all who run were joined for good, after the last fault


class Testbed:
    """All processes, stand-ins and relays of one trial; `close` ends everything that was started."""

    __test__ = False  # for pytest, which takes a class of a name like this for tests

    def __init__(self, trial: Trial, seed: int, folder: Path, more: str = "") -> None:
        """Starts no router yet. `more`: text added to the operator's file of each router."""
        self.trial, self.folder, self._more = trial, folder, more
        self.depot = self._depot()
        self.clients: ClosedLoopClients | OpenLoopClients | None = None
        self._log_ports = [self.depot.log_port] * trial.routers
        self.streams = self._streams(seed) if trial.relayed else None
        self.relays = DatagramRelays(trial.routers, seed)
        self.names = [f"edge-{place}" for place in range(trial.routers)]
        for twin in trial.twins[1:]:
            self.names[twin] = self.names[trial.twins[0]]
        self.ids = [format_member_id(ident_of(name)) for name in self.names]
        self.listens = [free_address(f"127.41.0.{1 + place}") for place in range(trial.routers)]
        self.routers = [self._router(place, seed) for place in range(trial.routers)]
        self.troubled: list[tuple[float, float, int, str]] = []
        self.colds: list[tuple[float, str, list[float]]] = []
        self.drains: list[tuple[float, float, int]] = []
        self.purges: list[float] = []
        self.codes: list[tuple[int, int]] = []
        self._over = threading.Event()
        self._threads: list[threading.Thread] = []

    def _settings(self, place: int) -> dict[str, Any]:
        """The settings of that router."""
        trial, made = self.trial, settings()
        zones = [trial.zone(other) for other in range(trial.routers)]
        made["fleet_size"] = trial.routers
        made["zone"] = trial.zone(place)
        made["areas"] = ["central", *(f"edge-{1 + zone}" for zone in range(trial.zones))]
        made["domain"]["instances_by_zone"] = [zones.count(zone) for zone in range(1 + trial.zones)]  # type: ignore[index]
        made["domain"]["zone_link_kb_per_s"] = [0.0] + [AREA_LINK] * trial.zones  # type: ignore[index]
        made["limits"]["peers"] = True  # type: ignore[index]
        made["rules"]["overload_for"] = trial.window * 1000.0  # type: ignore[index]
        return made

    def _limits(self) -> dict[str, float]:
        """What each router may use."""
        return {"cores": 1.0, "memory_mb": 192, "sockets": 256}

    def _config(self, place: int, seed: int, address: Address) -> dict[str, Any]:
        """The configuration of that router, which listens there."""
        host, port = address
        others = [other for other in range(self.trial.routers) if other != place]
        servers = host_of(place) if self.streams is not None else HOST
        return {
            "name": self.names[place], "listen": f"{host}:{port}", "seed": f"{seed + place:x}",
            "changelog": f"{servers}:{self._log_ports[place]}", "known": self.depot.known(servers),
            "settings": self._settings(place),
            "limits": self._limits(),
            "peer_listen": ":".join(map(str, self.listens[place])),
            "peers": [":".join(map(str, self.relays.address(place, other))) for other in others],
        }  # fmt: skip

    def _router(self, place: int, seed: int) -> RouterProcess:
        trial = self.trial
        config = self._config(place, seed, free_address(f"127.40.0.{1 + place}"))
        router = RouterProcess(
            self.folder / f"edge-{place}",
            f"edge-{place}",
            config,
            ("swarm: {}\n" if trial.swarm else "") + self._more,
        )
        if trial.ahead or any(fault.do == "clock" for fault in trial.faults):
            router.set_clock(dict(enumerate(trial.ahead)).get(place, 0.0))
        return router

    def _depot(self) -> Depot:
        trial = self.trial
        if trial.bears is None:
            return Depot(trial.caches, WEIGHT, trial.zones)
        return LoadedDepot(trial.caches, float(trial.bears.places), trial.zones, trial.bears)

    def _streams(self, seed: int) -> StreamRelays:
        """Relays to all servers, and a change log for each router that tells its own addresses of them."""
        self._log_ports = [self.depot.log_for(host_of(place)) for place in range(self.trial.routers)]
        ports = [*(server.port for server in self.depot.servers), *self._log_ports]
        return StreamRelays(self.trial.routers, [(HOST, port) for port in ports], seed)

    # -- what a schedule does --

    def start(self, place: int) -> None:
        """Starts a process of that router."""
        self.relays.up(place, self.listens[place])
        self.routers[place].start()

    def kill(self, place: int) -> None:
        """Kills the router's process with SIGKILL."""
        self.routers[place].kill()
        self.relays.down(place)

    def terminate(self, place: int) -> None:
        """Sends SIGTERM, and waits until the process has ended."""
        self.routers[place].signal(signal.SIGTERM)
        self._ended(place)

    def _ended(self, place: int) -> None:
        code = self.routers[place].wait()
        self.relays.down(place)
        if code:
            self.codes.append((place, code))

    def wait_ready(self, places: list[int], patience: float = 30.0) -> None:
        """Raises TrialError if one is not ready in time."""
        limit = time.monotonic() + patience
        for place in places:
            while not self.routers[place].ready():
                if time.monotonic() > limit or not self.routers[place].running:
                    raise TrialError(f"{self.names[place]} did not become ready: {self.routers[place].log}")
                time.sleep(0.02)

    def joined(self) -> bool:
        """Whether all running routers have their full share."""
        found = [router.ask("swarm status") for router in self._awake()]
        return bool(found) and all(one is not None and one["status"]["joined"] for one in found)

    def _settled(self) -> bool:
        """Whether all have their share and one view: guards against a first view that counts as a change."""
        found = [router.ask("swarm status") for router in self._awake()]
        told = [one["status"] for one in found if one is not None]
        return (
            len(told) == len(found) > 0
            and all(one["joined"] and one["view"] for one in told)
            and (len({one["digest"] for one in told}) == 1)
        )

    def _awake(self) -> list[RouterProcess]:
        return [router for router in self.routers if router.running and not router.stopped]

    def until(self, holds: Any, patience: float) -> bool:
        """Waits up to `patience` seconds for a condition; returns whether it came true."""
        limit = time.monotonic() + patience
        while not holds():
            if time.monotonic() > limit:
                return False
            time.sleep(0.05)
        return True

    def do(self, fault: Fault) -> None:
        """Injects a fault; one that lasts is ended by `undo`."""
        now = time.time()
        match fault.do:
            case "kill":
                for place in fault.who:
                    self._trouble(now, place, fault)
                    self.kill(place)
            case "start" | "restart":
                for place in fault.who:
                    if self.routers[place].running:
                        self._trouble(now, place, fault)
                        self.kill(place)
                    self.start(place)
            case "roll":
                self._spawn(lambda: self._roll(fault.who))
            case "terminate":
                for place in fault.who:
                    self._spawn(lambda place=place: self.terminate(place))
            case "pause":
                for place in fault.who:
                    self._trouble(now, place, fault)
                    self.routers[place].pause()
            case "starve":
                for place in fault.who:
                    self._trouble(now, place, fault)
                    self._spawn(lambda place=place: self._starve(place, now + fault.ends - fault.at))
            case "flood":
                for place in fault.who:
                    self._spawn(lambda place=place: self._flood(place, now + fault.ends - fault.at))
            case _ if fault.of:
                self._to_servers(fault, True)
            case "cut":
                self._cut(fault, True)
            case "weather":
                self._weather(fault.lose, fault.delay, fault.repeat)
            case "cold":
                self._cold(self.depot.caches[fault.cache])
            case "drain":
                cache = self.depot.caches[fault.cache]
                self.drains.append((now, now + fault.ends - fault.at, cache.ident))
                self.depot.tell_state(cache, "draining")
            case "purge":
                self.purges.append(self.depot.tell_purge(GROUP))
            case "surge":
                self._pace(fault.factor)
            case "slow":
                self._slow(fault.factor)
            case "clock":
                for place in fault.who:
                    self.routers[place].set_clock(fault.shift)

    def undo(self, fault: Fault) -> None:
        """Ends a fault that lasts."""
        match fault.do:
            case "pause":
                for place in fault.who:
                    self.routers[place].resume()
            case _ if fault.of:
                self._to_servers(fault, False)
            case "surge":
                self._pace(1.0)
            case "slow":
                self._slow(1.0)
            case "drain":
                self.depot.tell_state(self.depot.caches[fault.cache], "up")
            case "cut":
                self._cut(fault, False)
            case "weather":
                self._weather(0.0, (0.0, 0.0), 0.0)

    def _trouble(self, now: float, place: int, fault: Fault) -> None:
        ends = now + fault.ends - fault.at if fault.ends else now
        self.troubled.append((now, ends, place, fault.do))

    def _cut(self, fault: Fault, cut: bool) -> None:
        def change() -> None:
            for one in fault.who:
                for other in fault.to:
                    if one != other:
                        self.relays.faults[one, other].cut = cut
                        if fault.both:
                            self.relays.faults[other, one].cut = cut

        self.relays.change(change)

    def _pace(self, factor: float) -> None:
        assert isinstance(self.clients, OpenLoopClients)
        self.clients.rate = self.trial.rate * factor

    def _slow(self, factor: float) -> None:
        assert isinstance(self.depot, LoadedDepot)
        self.depot.pace = factor

    def _cold(self, cache: Cache) -> None:
        """Restarts a cache cold and empty, and updates the list."""
        cache.forget()
        self.colds.append((cache.started / 1000.0, f"s-{cache.ident:08x}", cache.book))
        self.depot.tell_state(cache, "up")

    def _to_servers(self, fault: Fault, begins: bool) -> None:
        """Begins or ends a fault between routers and servers."""
        assert self.streams is not None
        servers = [server for name in fault.of for server in self._named(name)]
        ways = [(place, server.port) for place in fault.who for server in servers]
        if "log" in fault.of:
            ways += [(place, port) for place in fault.who for port in self._log_ports_of(place)]
        if fault.do == "reset":
            return self.streams.reset(ways)

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

        self.streams.change(ways, change)
        if fault.do == "down" and not begins:
            for server in servers:
                self._cold(server)

    def _log_ports_of(self, place: int) -> list[int]:
        """The ports at which that router may follow the change log."""
        return [self._log_ports[place]]

    def _named(self, name: str) -> list[Cache]:
        """The servers that a schedule means by a name."""
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

    def _weather(self, lose: float, delay: tuple[float, float], repeat: float) -> None:
        def change() -> None:
            self.relays.weather = Faults(lose, delay, repeat)

        self.relays.change(change)

    def _roll(self, places: tuple[int, ...]) -> None:
        """A rolling restart: each router is terminated and started again, the next once it is ready."""
        for place in places:
            if not self._over.is_set():
                self.terminate(place)
                self.start(place)
                self.until(self.routers[place].ready, 30.0)

    def _starve(self, place: int, until: float) -> None:
        while time.time() < until and not self._over.is_set():
            self.routers[place].signal(signal.SIGSTOP)
            time.sleep(STARVE)
            self.routers[place].signal(signal.SIGCONT)
            time.sleep(STARVE)

    def _flood(self, place: int, until: float) -> None:
        """Sends malformed datagrams from a peer's address and from unknown ones."""
        self.relays.flood(self.listens[place], place, FLOOD_RATE, until - time.time(), self._over)

    def _spawn(self, call: Any) -> None:
        thread = threading.Thread(target=call)
        thread.start()
        self._threads.append(thread)

    # -- the whole --

    def play(self) -> TrialRecord:
        """Runs the trial; raises TrialError if the routers did not become ready, or did not join."""
        trial, places = self.trial, list(range(self.trial.routers))
        for place in places:
            self.start(place)
        self.wait_ready(places)
        if trial.swarm and not self.until(self._settled, trial.joins):
            raise TrialError("the routers did not count each other in time")
        addresses = [router.address for router in self.routers]
        began = time.time()
        clients: ClosedLoopClients | OpenLoopClients
        if trial.open_loop is None:
            clients = ClosedLoopClients(addresses, trial.rate, kb=trial.kb, writes=trial.writes)
        else:
            clients = OpenLoopClients(addresses, trial.rate, trial.open_loop)
        self.clients = clients
        samples: list[tuple[float, int, dict[str, Any]]] = []
        try:
            if trial.swarm:
                self._spawn(lambda: self._sample(samples))
            self._faults(began)
            time.sleep(max(0.0, began + trial.lasts - time.time()))
        finally:
            self._over.set()
            clients.end()
        for thread in self._threads:
            thread.join()
        time.sleep(SETTLES)
        ended = time.time()
        for place, router in enumerate(self.routers):
            if not router.running and router.lives[-1][1] is None:
                self.codes.append((place, router.wait()))
        running = [place for place in places if self.routers[place].running]
        joined_at = all_joined_for_good(
            [self.routers[place] for place in running], began + trial.span[1], ended
        )
        for place in running:
            self.routers[place].signal(signal.SIGTERM)
        for place in running:
            self._ended(place)
        return TrialRecord(
            trial,
            began,
            ended,
            self.routers,
            self.ids,
            clients,
            self.depot,
            self.depot.repeated(),
            self.colds,
            self.troubled,
            self.codes,
            samples,
            self.drains,
            self.purges,
            joined_at,
        )

    def _faults(self, began: float) -> None:
        """Begins and ends all faults in the order of time."""
        steps = [(fault.at, 1, fault) for fault in self.trial.faults]
        steps += [(fault.ends, 0, fault) for fault in self.trial.faults if fault.ends]
        for at, begins, fault in sorted(steps, key=lambda step: step[:2]):
            time.sleep(max(0.0, began + at - time.time()))
            if begins:
                self.do(fault)
            else:
                self.undo(fault)

    def _sample(self, samples: list[tuple[float, int, dict[str, Any]]]) -> None:
        while not self._over.wait(SAMPLE):
            for router in self._awake():
                if (found := router.ask("swarm status")) is not None:
                    samples.append((time.time(), self.routers.index(router), found))

    def close(self) -> None:
        """Ends all processes, threads and relays, stopped processes included."""
        self._over.set()
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

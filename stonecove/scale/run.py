"""Plays one size of a scale run: real and hollow routers, three control machines, an ordinary day, faults."""

from __future__ import annotations

import contextlib
import signal
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import Any

from stonecove.scale.configuration import Applied, RolloutPath, configuration_delays
from stonecove.scale.control_machine import FIRST_NUMBER
from stonecove.scale.control_plane import ControlPlane, MachineReport
from stonecove.scale.event_log import DAY, EventLog, OrdinaryDay
from stonecove.scale.faults import FAULTS, LASTS, Window
from stonecove.scale.hollow import HEADER_BYTES
from stonecove.scale.hollow_fleet import FleetSample, HollowFleet
from stonecove.scale.ledger import Life, Published, earliest, lost, purge_delays, repeated
from stonecove.scale.options import ScaleOptions
from stonecove.scale.real_routers import RealRouters, Requests, Spent
from stonecove.scale.results import Delays, Measurement
from stonecove.scale.router_tables import own_table, peer_tables, shared_table, whole_table
from stonecove.scale.topology import MACHINES, ZONES, RouterPlace, place_of
from stonecove.standins.loaded import Bears, LoadedDepot
from stonecove.trial.processes import free_address

READY_WITHIN = 60.0  # seconds for the start of all routers
LEVEL_WITHIN = 20.0  # seconds at the end of each part until all routers have all events
SETTLES = 1.0  # seconds after the start until anything is measured
POLL = 0.05  # seconds between two looks whether routers are level
CENTRAL_SERVERS = 2  # one parent and one origin, counted among the caches
LINK_WEIGHT = 16.0  # transfers at once that a cache's link carries
CONFIGURATIONS_A_DAY = 1600.0
# The caches are there to be asked, not to be measured: they bear more than any load that is played.
SERVERS_BEAR = Bears(origin=4000.0, work=0.005, places=64, parent_places=64, patience=1.0)


class ScaleError(Exception):
    """A run that could not be played; the text says why."""


@dataclass(frozen=True, slots=True)
class Calm:
    """What was measured without faults: events from `first` to `last`, and what all spent meanwhile."""

    seconds: float
    began: int  # ns
    ended: int  # ns, when all routers had all of its events
    first: int
    last: int
    before: FleetSample
    after: FleetSample
    machines_before: list[MachineReport]
    machines_after: list[MachineReport]
    real_before: Spent
    real_after: Spent
    requests: Requests


class ScaleRun:
    """Everything that takes part in one size. Ends all that it started by `close`, whatever happens."""

    def __init__(self, options: ScaleOptions, routers: int, folder: Path) -> None:
        """Nothing runs yet; `folder` takes logs."""
        self.options, self.folder = options, folder
        self.places: list[RouterPlace] = [place_of(router) for router in range(routers)]
        self.log = EventLog()
        self.windows: list[Window] = []
        self.rollout: RolloutPath | None = None
        self.applied: list[Applied] = []  # changes of settings while it was calm
        self._ending = contextlib.ExitStack()

    def start(self) -> None:
        """Starts everything, and waits until all routers follow their control machines."""
        options = self.options
        self.depot = LoadedDepot(max(1, options.caches - CENTRAL_SERVERS), LINK_WEIGHT, ZONES, SERVERS_BEAR)
        self._ending.callback(self.depot.close)
        self.control = ControlPlane(self.folder, self.log)
        self._ending.callback(self.control.close)
        shared = shared_table(self.places, self.depot, options.swarm)
        if options.rollout:
            self.rollout = RolloutPath(self.folder)
            self._ending.callback(self.rollout.close)
            shared["coordination"] = self.rollout.servers
        hollow = [place for place in self.places if place.router >= options.real]
        tables = {place.router: self._own_table(place) for place in hollow}
        if options.swarm:
            for router, peers in peer_tables(hollow).items():
                tables[router] |= peers
        self.hollow = HollowFleet(self.folder, shared, tables, options.hollow_per_process)
        self._ending.callback(self.hollow.close)
        self.real = RealRouters(self.folder, self._real_tables(shared))
        self._ending.callback(self.real.close)
        self.real.start(set(range(options.real)))
        self.hollow.start_all()
        self.real.wait_ready(READY_WITHIN)
        self._wait(lambda: self.hollow.sample().heard == len(self.hollow), READY_WITHIN)
        self.real.load(options.requests_a_second, options.seed)
        day = OrdinaryDay(self.log, self.depot, options.purges_a_second, options.day_factor, options.seed)
        self._ending.callback(day.end)
        self._day = day
        time.sleep(SETTLES)

    def _own_table(self, place: RouterPlace, listen: str = "") -> dict[str, Any]:
        more = {"listen": listen} if listen else {}
        return own_table(place, self.control.ports, self.options.seed, **more)

    def _real_tables(self, shared: dict[str, Any]) -> dict[int, dict[str, Any]]:
        tables = {}
        for place in self.places[: self.options.real]:
            host, port = free_address(f"127.91.{place.router // 250}.{1 + place.router % 250}")
            tables[place.router] = whole_table(shared, self._own_table(place, f"{host}:{port}"))
        return tables

    def calm(self) -> Calm:
        """Time without faults; changes of settings are rolled out in it alone."""
        if self.rollout is not None:
            self.rollout.start(len(self.hollow), CONFIGURATIONS_A_DAY / DAY * self.options.day_factor)
        before, machines_before = self.hollow.sample(), self.control.reports()
        real_before, requests_before = self.real.spent(), self.real.requests()
        began_ns, first, began = time.time_ns(), self.newest() + 1, time.monotonic()
        time.sleep(self.options.seconds)
        seconds, last = time.monotonic() - began, self.newest()
        after, machines_after = self.hollow.sample(), self.control.reports()
        real_after, requests = self.real.spent(), self.real.requests().since(requests_before)
        if self.rollout is not None:
            self.rollout.end()
            self.applied = self.hollow.applied()
        self.until_level(last, LEVEL_WITHIN)
        return Calm(seconds, began_ns, time.time_ns(), first, last, before, after, machines_before,
                    machines_after, real_before, real_after, requests)  # fmt: skip

    def play_faults(self) -> None:
        """All that are asked for, one after the other."""
        for name in self.options.faults:
            self.windows.append(FAULTS[name](self))

    def finish(self) -> tuple[list[Life], Published]:
        """Ends the day; what all routers took, and what they were told."""
        self._day.end()
        self.until_level(self.newest(), LEVEL_WITHIN)
        reports = [report.first_bytes for report in self.control.reports()] + self.control.first_bytes
        count = self.newest() + 1 - FIRST_NUMBER
        published = Published(FIRST_NUMBER, earliest(reports, count), frozenset(self.log.purges))
        return self.hollow.lives(), published

    @property
    def pids(self) -> list[int]:
        """Of all processes but the real routers."""
        return [*self.control.pids, *self.hollow.pids]

    # -- what a fault acts upon --

    @property
    def ports(self) -> tuple[int, ...]:
        """Of the control machines."""
        return self.control.ports

    def newest(self) -> int:
        """The number of the newest event."""
        return self.log.last

    def kill_machine(self, machine: int) -> None:
        """Ends a control machine without a word."""
        self.control.kill(machine)

    def start_machine(self, machine: int) -> None:
        """Starts it again, at the same address."""
        self.control.start(machine)

    def cut(self, zones: list[int], cut: bool, machines: list[int] | None = None) -> None:
        """Cuts the ways between zones and control machines (None: all), or joins them."""
        self.control.cut(zones, cut, range(MACHINES) if machines is None else machines)

    def kill_routers(self, routers: set[int]) -> None:
        """Ends routers without a word."""
        self.hollow.kill(routers)
        self.real.kill(routers)

    def start_routers(self, routers: set[int], within: float) -> None:
        """Starts them again, spread over so many seconds; the real ones at once."""
        self.hollow.start(routers, within)
        self.real.start(routers)

    def until_level(self, number: int, patience: float) -> bool:
        """Waits until all routers run and have that event in force; says whether it came to that."""
        return self._until(lambda: self.hollow.behind(number) == 0 and self.real.ready(), patience)

    @staticmethod
    def _until(holds: Callable[[], bool], patience: float) -> bool:
        limit = time.monotonic() + patience
        while not holds():
            if time.monotonic() > limit:
                return False
            time.sleep(POLL)
        return True

    def _wait(self, holds: Callable[[], bool], patience: float) -> None:
        if not self._until(holds, patience):
            raise ScaleError(f"not all routers hear their control machines; see {self.folder}")

    def close(self) -> None:
        """Ends all that it started."""
        self._ending.close()


def play(options: ScaleOptions, routers: int) -> Measurement:
    """Plays one size; raises ScaleError, ChildError or RealRouterError.

    All that it started has ended then, also after an error, an interrupt or SIGTERM.
    """
    with contextlib.ExitStack() as ending:
        ending.enter_context(_ended_by_sigterm())
        folder = options.folder or Path(ending.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        run = ScaleRun(options, routers, folder)
        ending.callback(run.close)
        run.start()
        calm = run.calm()
        run.play_faults()
        lives, published = run.finish()
        return _measurement(run, calm, lives, published)


def _measurement(
    run: ScaleRun,
    calm: Calm,
    lives: list[Life],
    published: Published,
) -> Measurement:
    hollow = len(run.hollow)
    purge = purge_delays(_lives_of(calm, lives), published, calm.first, calm.last)
    machines = tuple(
        after.cost_since(before, f"control-{place}", calm.seconds)
        for place, (before, after) in enumerate(zip(calm.machines_before, calm.machines_after, strict=True))
    )
    return Measurement(
        routers=len(run.places),
        hollow=hollow,
        real=len(run.real),
        caches=run.options.caches,
        seconds=calm.seconds,
        purges=sum(calm.first <= number <= calm.last for number in published.purges),
        purge=purge,
        config=_configuration_delays(run),
        cost=calm.after.cost_since(calm.before, hollow, calm.seconds),
        machines=machines,
        faults=tuple(window.result(lives, published) for window in run.windows),
        lost=lost(lives, published),
        repeated=repeated(lives),
        requests_answered=calm.requests.answered,
        requests_failed=calm.requests.failed,
        notes=_notes(run, calm),
    )


def _configuration_delays(run: ScaleRun) -> Delays | None:
    if run.rollout is None:
        return None
    return configuration_delays(run.rollout.changes, run.applied, frozenset(run.hollow.routers))


def _lives_of(calm: Calm, lives: list[Life]) -> list[Life]:
    """Of the routers while it was calm."""
    return [life for life in lives if life.began < calm.began and not 0 < life.ended <= calm.ended]


def _notes(run: ScaleRun, calm: Calm) -> tuple[str, ...]:
    options = run.options
    alone = calm.after.cost_since(calm.before, len(run.hollow), calm.seconds).cpu_percent_alone
    notes = [
        "purge delays and times until level are those of hollow routers; real ones count for their load and "
        "their own cost, and have to be ready before a fault counts as over",
        "a hollow router that is killed closes its connection and begins anew within its process",
        "in a cut, connections come up and stay mute",
        f"headers: {HEADER_BYTES} bytes for each TCP segment and bare ACK, as the kernel counts them",
        f"CPU of a hollow router: its process's, divided by the routers in it ({options.hollow_per_process} "
        f"at most); one with a process to itself spent {alone:.2f} % of a core",
        "memory of a hollow router: what its process has beyond one without routers, divided likewise",
        f"list changes: {options.day_factor:g} times as fast as on an ordinary day",
        f"a control machine that is killed comes back at the same address after {LASTS:g} s",
    ]
    if real := len(run.real):
        cpu = 100.0 * (calm.real_after.cpu - calm.real_before.cpu) / calm.seconds / real
        memory = calm.real_after.memory_mb / real
        notes.append(f"a real router under load: {cpu:.1f} % of a core, {memory:.0f} MB")
    if run.rollout is not None:
        notes.append(
            "changes of settings go to hollow routers alone, by a stand-in of the coordination service in "
            f"one process, one roll-out after the other; complete: {len(run.rollout.changes)}"
        )
        notes += [f"a roll-out was not complete: {why}" for why in run.rollout.unfinished]
    if run.control.cut_off:
        notes.append(f"{run.control.cut_off} followers were cut off as too far behind")
    bugs = [*calm.after.bugs, *run.real.bugs()]
    notes += [f"a router logged a bug: {bug}" for bug in bugs]
    return tuple(notes)


@contextlib.contextmanager
def _ended_by_sigterm() -> Iterator[None]:
    """SIGTERM ends the run as an interrupt does, so that all that it started is ended."""
    if threading.current_thread() is not threading.main_thread():
        yield
        return

    def end(number: int, frame: FrameType | None) -> None:
        raise SystemExit(128 + number)

    before = signal.signal(signal.SIGTERM, end)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)

"""Play one size of a scale run: real and hollow routers, control machines, an ordinary day, faults."""

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

from stonecove.scale.configuration import Applied, RolloutDriver, configuration_delays
from stonecove.scale.control_machine import FIRST_NUMBER
from stonecove.scale.control_plane import ControlPlane, MachineReport
from stonecove.scale.event_log import DAY_S, ChurnGenerator, EventLog
from stonecove.scale.faults import FAULT_DURATION_S, FAULTS, Window
from stonecove.scale.hollow import HEADER_BYTES
from stonecove.scale.hollow_fleet import FleetSample, HollowFleet
from stonecove.scale.ledger import (
    Incarnation,
    Published,
    count_lost,
    count_repeated,
    earliest_first_bytes_ns,
    purge_delays,
)
from stonecove.scale.options import ScaleOptions
from stonecove.scale.real_routers import RealRouters, Requests, ResourceUsage
from stonecove.scale.results import Delays, Measurement
from stonecove.scale.router_tables import complete_table, peer_tables, router_table, shared_table
from stonecove.scale.topology import MACHINES, ZONES, RouterLocation, location_of
from stonecove.standins.loaded import LoadedDepot, ServerCapacity
from stonecove.trial.processes import free_address

READY_TIMEOUT_S = 60.0  # for the start of all routers
CATCH_UP_TIMEOUT_S = 20.0  # at the end of each phase, until all routers have all events
SETTLE_S = 1.0  # after the start, before measurements begin
POLL_INTERVAL_S = 0.05  # between two checks whether routers have caught up
CENTRAL_SERVERS = 2  # one parent and one origin, counted among the caches
LINK_WEIGHT = 16.0  # concurrent transfers on a cache's link
CONFIGURATIONS_A_DAY = 1600.0
# The caches only answer requests and are not measured: their capacity exceeds any load that is played.
SERVER_CAPACITY = ServerCapacity(origin_per_s=4000.0, work_s=0.005, slots=64, parent_slots=64, max_wait_s=1.0)


class ScaleError(Exception):
    """A run that could not be played; the text says why."""


@dataclass(frozen=True, slots=True)
class FaultFreePhase:
    """The phase without faults: events from `first` to `last`, and resource usage before and after."""

    seconds: float
    started_at_ns: int
    ended_at_ns: int  # when all routers had all of its events
    first: int
    last: int
    before: FleetSample
    after: FleetSample
    machines_before: list[MachineReport]
    machines_after: list[MachineReport]
    real_before: ResourceUsage
    real_after: ResourceUsage
    requests: Requests


class ScaleRun:
    """All processes and threads of one size; `close` stops them in every case."""

    def __init__(self, options: ScaleOptions, routers: int, folder: Path) -> None:
        """Create a run without starting anything; logs go to `folder`."""
        self.options, self.folder = options, folder
        self.locations: list[RouterLocation] = [location_of(router) for router in range(routers)]
        self.log = EventLog()
        self.windows: list[Window] = []
        self.rollout: RolloutDriver | None = None
        self.applied: list[Applied] = []  # settings versions applied in the phase without faults
        self._exit_stack = contextlib.ExitStack()

    def start(self) -> None:
        """Start everything, and wait until all routers follow their control machines."""
        options = self.options
        self.depot = LoadedDepot(
            max(1, options.caches - CENTRAL_SERVERS), LINK_WEIGHT, ZONES, SERVER_CAPACITY
        )
        self._exit_stack.callback(self.depot.close)
        self.control = ControlPlane(self.folder, self.log)
        self._exit_stack.callback(self.control.close)
        shared = shared_table(self.locations, self.depot, options.swarm)
        if options.rollout:
            self.rollout = RolloutDriver(self.folder)
            self._exit_stack.callback(self.rollout.close)
            shared["coordination"] = self.rollout.servers
        hollow = [location for location in self.locations if location.router >= options.real]
        own_tables = {location.router: self._own_table(location) for location in hollow}
        if options.swarm:
            for router, peers in peer_tables(hollow).items():
                own_tables[router] |= peers
        self.hollow = HollowFleet(self.folder, shared, own_tables, options.hollow_per_process)
        self._exit_stack.callback(self.hollow.close)
        self.real = RealRouters(self.folder, self._real_tables(shared))
        self._exit_stack.callback(self.real.close)
        self.real.start(set(range(options.real)))
        self.hollow.start_all()
        self.real.wait_ready(READY_TIMEOUT_S)
        self._require(lambda: self.hollow.sample().receiving == len(self.hollow), READY_TIMEOUT_S)
        self.real.load(options.requests_a_second, options.seed)
        churn = ChurnGenerator(
            self.log, self.depot, options.purges_a_second, options.day_factor, options.seed
        )
        self._exit_stack.callback(churn.end)
        self._churn = churn
        time.sleep(SETTLE_S)

    def _own_table(self, location: RouterLocation, listen: str = "") -> dict[str, Any]:
        overrides = {"listen": listen} if listen else {}
        return router_table(location, self.control.ports, self.options.seed, **overrides)

    def _real_tables(self, shared: dict[str, Any]) -> dict[int, dict[str, Any]]:
        own_tables = {}
        for location in self.locations[: self.options.real]:
            host, port = free_address(f"127.91.{location.router // 250}.{1 + location.router % 250}")
            own_tables[location.router] = complete_table(shared, self._own_table(location, f"{host}:{port}"))
        return own_tables

    def measure_fault_free(self) -> FaultFreePhase:
        """Measure a phase without faults; settings are rolled out only in this phase."""
        if self.rollout is not None:
            self.rollout.start(len(self.hollow), CONFIGURATIONS_A_DAY / DAY_S * self.options.day_factor)
        before, machines_before = self.hollow.sample(), self.control.reports()
        real_before, requests_before = self.real.resource_usage(), self.real.requests()
        started_at_ns, first, started_at_s = time.time_ns(), self.newest() + 1, time.monotonic()
        time.sleep(self.options.seconds)
        seconds, last = time.monotonic() - started_at_s, self.newest()
        after, machines_after = self.hollow.sample(), self.control.reports()
        real_after, requests = self.real.resource_usage(), self.real.requests().since(requests_before)
        if self.rollout is not None:
            self.rollout.end()
            self.applied = self.hollow.applied()
        self.wait_until_caught_up(last, CATCH_UP_TIMEOUT_S)
        return FaultFreePhase(
            seconds,
            started_at_ns,
            time.time_ns(),
            first,
            last,
            before,
            after,
            machines_before,
            machines_after,
            real_before,
            real_after,
            requests,
        )

    def play_faults(self) -> None:
        """Play all faults of the options, one after the other."""
        for name in self.options.faults:
            self.windows.append(FAULTS[name](self))

    def finish(self) -> tuple[list[Incarnation], Published]:
        """End the day's changes; return what all routers applied and what was published."""
        self._churn.end()
        self.wait_until_caught_up(self.newest(), CATCH_UP_TIMEOUT_S)
        reports = [report.first_bytes for report in self.control.reports()] + self.control.first_bytes
        count = self.newest() + 1 - FIRST_NUMBER
        published = Published(
            FIRST_NUMBER, earliest_first_bytes_ns(reports, count), frozenset(self.log.purges)
        )
        return self.hollow.incarnations(), published

    @property
    def pids(self) -> list[int]:
        """Return the IDs of all processes but the real routers."""
        return [*self.control.pids, *self.hollow.pids]

    # -- FaultTarget --

    @property
    def ports(self) -> tuple[int, ...]:
        """Return the ports of the control machines."""
        return self.control.ports

    def newest(self) -> int:
        """Return the number of the newest event."""
        return self.log.last

    def kill_machine(self, machine: int) -> None:
        """Kill a control machine with SIGKILL."""
        self.control.kill(machine)

    def start_machine(self, machine: int) -> None:
        """Start a killed control machine at the same address."""
        self.control.start(machine)

    def partition(self, zones: list[int], partitioned: bool, machines: list[int] | None = None) -> None:
        """Start or end a partition between zones and control machines (None: all)."""
        self.control.partition(zones, partitioned, range(MACHINES) if machines is None else machines)

    def kill_routers(self, routers: set[int]) -> None:
        """Kill the real ones of these routers; stop the hollow ones as if they were killed."""
        self.hollow.kill(routers)
        self.real.kill(routers)

    def start_routers(self, routers: set[int], spread_s: float) -> None:
        """Start killed routers, hollow ones spread over this many seconds."""
        self.hollow.start(routers, spread_s)
        self.real.start(routers)

    def wait_until_caught_up(self, number: int, timeout_s: float) -> bool:
        """Wait until all routers run and have applied this event; return False on timeout."""
        return self._poll_until(
            lambda: self.hollow.count_lagging(number) == 0 and self.real.ready(), timeout_s
        )

    @staticmethod
    def _poll_until(condition: Callable[[], bool], timeout_s: float) -> bool:
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                return False
            time.sleep(POLL_INTERVAL_S)
        return True

    def _require(self, condition: Callable[[], bool], timeout_s: float) -> None:
        if not self._poll_until(condition, timeout_s):
            raise ScaleError(f"not all routers receive frames from their control machines; see {self.folder}")

    def close(self) -> None:
        """Stop everything that was started."""
        self._exit_stack.close()


def play(options: ScaleOptions, routers: int) -> Measurement:
    """Play one size; raises ScaleError, ChildError or RealRouterError.

    Everything that it started has ended when it returns, also after an error, an interrupt or SIGTERM.
    """
    with contextlib.ExitStack() as exit_stack:
        exit_stack.enter_context(_exit_on_sigterm())
        folder = options.folder or Path(exit_stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        run = ScaleRun(options, routers, folder)
        exit_stack.callback(run.close)
        run.start()
        phase = run.measure_fault_free()
        run.play_faults()
        incarnations, published = run.finish()
        return _measurement(run, phase, incarnations, published)


def _measurement(
    run: ScaleRun,
    phase: FaultFreePhase,
    incarnations: list[Incarnation],
    published: Published,
) -> Measurement:
    hollow = len(run.hollow)
    purge = purge_delays(_incarnations_during(phase, incarnations), published, phase.first, phase.last)
    machines = tuple(
        after.cost_since(before, f"control-{index}", phase.seconds)
        for index, (before, after) in enumerate(zip(phase.machines_before, phase.machines_after, strict=True))
    )
    return Measurement(
        routers=len(run.locations),
        hollow=hollow,
        real=len(run.real),
        caches=run.options.caches,
        seconds=phase.seconds,
        purges=sum(phase.first <= number <= phase.last for number in published.purges),
        purge=purge,
        config=_configuration_delays(run),
        cost=phase.after.cost_since(phase.before, hollow, phase.seconds),
        machines=machines,
        faults=tuple(window.result(incarnations, published) for window in run.windows),
        lost=count_lost(incarnations, published),
        repeated=count_repeated(incarnations),
        requests_answered=phase.requests.answered,
        requests_failed=phase.requests.failed,
        notes=_notes(run, phase),
    )


def _configuration_delays(run: ScaleRun) -> Delays | None:
    if run.rollout is None:
        return None
    return configuration_delays(run.rollout.changes, run.applied, frozenset(run.hollow.routers))


def _incarnations_during(phase: FaultFreePhase, incarnations: list[Incarnation]) -> list[Incarnation]:
    """Return the incarnations that ran throughout the phase."""
    return [
        incarnation
        for incarnation in incarnations
        if incarnation.started_at_ns < phase.started_at_ns
        and not 0 < incarnation.ended_at_ns <= phase.ended_at_ns
    ]


def _notes(run: ScaleRun, phase: FaultFreePhase) -> tuple[str, ...]:
    options = run.options
    cpu_percent_alone = phase.after.cost_since(phase.before, len(run.hollow), phase.seconds).cpu_percent_alone
    notes = [
        "purge delays and catch-up times are those of hollow routers; real ones only carry load, show their "
        "own cost, and have to be ready before a fault counts as over",
        "a hollow router that is killed closes its connection and restarts within its process",
        "in a partition, connections are established but carry no data",
        f"headers: {HEADER_BYTES} bytes for each TCP segment and bare ACK, as the kernel counts them",
        f"CPU of a hollow router: its process's, divided by the routers in it ({options.hollow_per_process} "
        f"at most); one with a process to itself spent {cpu_percent_alone:.2f} % of a core",
        "memory of a hollow router: what its process uses beyond one without routers, divided likewise",
        f"endpoint list changes: {options.day_factor:g} times as fast as on an ordinary day",
        f"a control machine that is killed restarts at the same address after {FAULT_DURATION_S:g} s",
    ]
    if real := len(run.real):
        cpu_percent = 100.0 * (phase.real_after.cpu_s - phase.real_before.cpu_s) / phase.seconds / real
        memory_mb = phase.real_after.memory_mb / real
        notes.append(f"a real router under load: {cpu_percent:.1f} % of a core, {memory_mb:.0f} MB")
    if run.rollout is not None:
        notes.append(
            "changes of settings go to hollow routers only, through a stand-in of the coordination service "
            f"in one process, one roll-out after the other; complete: {len(run.rollout.changes)}"
        )
        notes += [f"a roll-out was not complete: {why}" for why in run.rollout.unfinished]
    if run.control.cut_off:
        notes.append(f"{run.control.cut_off} followers were disconnected because they lagged too far")
    bugs = [*phase.after.bugs, *run.real.bugs()]
    notes += [f"a router logged a bug: {bug}" for bug in bugs]
    return tuple(notes)


@contextlib.contextmanager
def _exit_on_sigterm() -> Iterator[None]:
    """Let SIGTERM end the run as an interrupt does, so that everything started is stopped."""
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

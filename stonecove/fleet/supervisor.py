"""The supervisor: starts, watches, adopts and ends the instances of one folder; answers the control socket.

Decisions are in `restart`, `rolling` and `placement`; here they get processes, sockets, clocks and a journal.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import trio

from stonecove.fleet import logs, runfile
from stonecove.fleet.control import MOST, NAME
from stonecove.fleet.journal import Journal
from stonecove.fleet.lender import Lender, plan_of
from stonecove.fleet.placement import Demand, Host, Placement, place
from stonecove.fleet.probe import live
from stonecove.fleet.restart import Do, Instance, Phase, Policy
from stonecove.fleet.rolling import Roll, RollState
from stonecove.operator_config.grammar import OperatorError
from stonecove.operator_config.reader import read
from stonecove.operator_config.records import Fleet, FleetInstance
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.notify import notify, notify_reloading, watchdog_interval_s
from stonecove.runtime.unix import bind_private, serve_connections

LAUNCH = Path(__file__).with_name("launch.py")
STARTING_EVERY = 0.05  # seconds between two health checks of an instance that is starting
TICK = 0.05
MEASURE_EVERY = 1.0
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class FleetError(Exception):
    """The fleet can't be run; the text says why, a line each."""


def policy_of(fleet: Fleet) -> Policy:
    """The figures of the restart policy, in seconds."""
    return Policy(
        fleet.ready_within / 1000,
        fleet.back_off.first / 1000,
        fleet.back_off.longest / 1000,
        fleet.restarts.most,
        fleet.restarts.within / 1000,
        fleet.health.misses,
        fleet.stop_within / 1000,
    )


def host_of(fleet: Fleet) -> Host:
    """What this machine gives to the fleet: cores that we may use, memory, descriptors of a process."""
    import resource

    with open("/proc/meminfo") as file:
        memory = int(file.readline().split()[1]) * 1024
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = 1 << 30 if hard == resource.RLIM_INFINITY else hard
    return Host(tuple(sorted(os.sched_getaffinity(0))), min(memory, fleet.memory or memory), sockets)


class Unit:
    """One instance and what is known of its process."""

    def __init__(self, name: str, spec: FleetInstance, folder: Path, policy: Policy, fleet: Fleet) -> None:
        self.name = name
        self.spec = spec
        self.folder = folder / name
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.life = Instance(policy)
        self.run: runfile.Run | None = None
        self.pidfd = -1
        self.stats: dict[str, str] = {}
        self.resident = 0
        self.descriptors = 0
        self.log = logs.RotatingFile(self.folder / logs.FILE, fleet.log.most_bytes, fleet.log.keep)
        self.pipe = logs.open_pipe(logs.make_pipe(self.folder))
        self.lines = logs.Lines()
        self.served = trio.Event()  # a health check was good since this was set anew
        self.ended_at = -1e9  # steady seconds: when its last process ended

    def send(self, number: int) -> bool:
        """A signal to that very process."""
        if self.pidfd < 0:
            return False
        try:
            signal.pidfd_send_signal(self.pidfd, number)
        except ProcessLookupError:
            return False
        return True

    def close(self) -> None:
        """Leaves its files; the process goes on."""
        os.close(self.pipe)
        self.log.close()
        if self.pidfd >= 0:
            os.close(self.pidfd)
            self.pidfd = -1


class Supervisor:
    """All instances of one folder."""

    def __init__(self, path: Path) -> None:
        """Reads the operator's file, locks the folder and reads the journal; raises FleetError."""
        self._path = path
        self.fleet = self._read()
        self.folder = Path(self.fleet.folder)
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = open(self.folder / "lock", "a+")  # noqa: SIM115 - held for as long as we run
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FleetError(f"{self.folder}: another supervisor runs here") from None
        except OSError as error:
            raise FleetError(f"{self.folder}: {error.strerror}") from None
        try:
            self.journal = Journal(self.folder / "journal")
        except Exception as error:
            raise FleetError(f"{self.folder / 'journal'}: {error}") from None
        if self.journal.cut:
            log(LogEvent.JOURNAL_TRUNCATED, bytes=self.journal.cut)
        self.placement = self._place(self.fleet, {})
        self.roll = Roll()
        self._roll_reload = False
        self.units: dict[str, Unit] = {}
        self.writer = logs.Writer()
        self.lender = self._make_lender()
        self._nursery: trio.Nursery
        self._ending = False
        self._journal_warned = False
        self._began = time.time()

    # -- the file --

    def _read(self) -> Fleet:
        try:
            fleet = read(self._path).operator.fleet
        except OperatorError as error:
            raise FleetError(str(error)) from None
        if fleet is None:
            raise FleetError(f"{self._path}: names no fleet")
        return fleet

    def _make_lender(self) -> Lender | None:
        """Raises FleetError for limits that make no sense."""
        try:
            return Lender(self.fleet, self.folder) if self.fleet.leases is not None else None
        except ValueError as error:
            raise FleetError(f"{self._path}: fleet.limits: {error}") from None

    def _place(self, fleet: Fleet, present: dict[str, int]) -> Placement:
        wanted = {
            name: Demand(spec.cores, spec.memory, spec.sockets) for name, spec in fleet.instances.items()
        }
        if not fleet.pin:
            return Placement({}, ())
        found = place(wanted, host_of(fleet), present)
        if found.problems:
            raise FleetError("\n".join(found.problems))
        return found

    # -- life --

    async def run(self) -> None:
        """Until it is told to end."""
        async with trio.open_nursery() as self._nursery:
            with trio.open_signal_receiver(*SIGNALS) as signals:
                self._recall()
                listener = self._listen()
                self._nursery.start_soon(serve_connections, listener, self._answer)
                if self.lender is not None:
                    await self._nursery.start(self.lender.run)
                self._nursery.start_soon(self._tick)
                self._nursery.start_soon(self._measure)
                self._nursery.start_soon(self._watchdog)
                self._nursery.start_soon(self._tell_ready)
                log(LogEvent.SUPERVISOR_STARTED, folder=str(self.folder), instances=len(self.units))
                async for number in signals:
                    if number == signal.SIGHUP:
                        self.reload()
                        continue
                    break
            await self.shut_down()
            self._nursery.cancel_scope.cancel()
        for unit in self.units.values():
            unit.close()
        self.writer.close()
        (self.folder / NAME).unlink(missing_ok=True)
        log(LogEvent.SUPERVISOR_STOPPED)

    def _recall(self) -> None:
        """What the journal and the run files say: adopts what runs, starts what should."""
        now, wall = trio.current_time(), time.time()
        kept_roll = self.journal.values.get("roll")
        for name, spec in self.fleet.instances.items():
            self._add(name, spec)
        for name, unit in self.units.items():
            kept = self.journal.values.get(f"unit/{name}")
            if isinstance(kept, dict):
                unit.life.recall(kept, wall, now)
            else:
                unit.life.wanted = True
            run = runfile.read(unit.folder)
            if runfile.alive(run):
                wanted = unit.life.wanted
                assert run is not None
                self._follow(unit, run)
                unit.life.adopted(False, now)
                log(LogEvent.INSTANCE_ADOPTED, name=name, pid=run.pid)
                if not wanted:
                    self._act(unit, unit.life.want(False, now, "was to be stopped"))
            else:
                if run is not None:
                    unit.ended_at = time.monotonic()  # it may have ended just now
                runfile.clear(unit.folder)
                if unit.life.wanted and unit.life.phase is Phase.STOPPED:
                    self._act(unit, unit.life.want(True, now, "wanted"))
        if isinstance(kept_roll, dict):
            self.roll.recall(kept_roll, set(self.units))
            self._roll_reload = bool(kept_roll.get("reload"))
            for name in self.roll.under_way:
                # What was under way has either been ended already, or not: it is ended once more only if it
                # is still the old process.
                unit, before = self.units[name], kept_roll.get("pids", {})
                if unit.run is not None and isinstance(before, dict) and before.get(name) == unit.run.pid:
                    self._act(unit, unit.life.again(now, "rolled"))
            if self.roll.state is RollState.ROLLING:
                log(
                    LogEvent.ROLLING_RESTART_RESUMED,
                    remaining=len(self.roll.left),
                    under_way=",".join(self.roll.under_way),
                )
        self._end_strangers()

    def _end_strangers(self) -> None:
        """Instances that run in this folder and that the file names no more."""
        for folder in self.folder.iterdir():
            run = runfile.read(folder) if folder.is_dir() and folder.name not in self.units else None
            if run is not None and runfile.alive(run):
                log(LogEvent.INSTANCE_PROCESS_UNKNOWN, name=folder.name, pid=run.pid)
                with contextlib.suppress(OSError):
                    fd = os.pidfd_open(run.pid)
                    if runfile.alive(run):
                        signal.pidfd_send_signal(fd, signal.SIGTERM)
                    os.close(fd)

    def _add(self, name: str, spec: FleetInstance) -> Unit:
        unit = self.units[name] = Unit(name, spec, self.folder, policy_of(self.fleet), self.fleet)
        self._nursery.start_soon(self._pump, unit)
        self._nursery.start_soon(self._check, unit)
        return unit

    async def shut_down(self) -> None:
        """Drains all, and ends what does not end by itself, within `stop_within`."""
        self._ending = True
        notify("STOPPING=1")
        self.roll.stop("the supervisor ends")
        now = trio.current_time()
        for unit in self.units.values():
            if unit.life.phase is not Phase.HELD:
                wanted = unit.life.wanted
                self._act(unit, unit.life.want(False, now, "the supervisor ends"))
                # The next supervisor starts it again: only an operator's own word is remembered.
                self.journal.put(f"unit/{unit.name}", {**unit.life.keep(time.time(), now), "wanted": wanted})
        while any(unit.pidfd >= 0 for unit in self.units.values()):
            await trio.sleep(0.01)

    # -- processes --

    def _act(self, unit: Unit, steps: Iterable[Do]) -> None:
        """Carries out what was decided, and remembers it."""
        for step in steps:
            if step is Do.START:
                self._start(unit)
            elif step is Do.TERMINATE:
                unit.send(signal.SIGTERM)
            elif step is Do.KILL:
                log(LogEvent.INSTANCE_KILLED, name=unit.name, reason=unit.life.why)
                unit.send(signal.SIGKILL)
            elif step is Do.ALARM:
                log(LogEvent.INSTANCE_SUSPENDED, name=unit.name, reason=unit.life.why)
        if not self._ending:
            self._remember(unit)
        self._roll_seen(unit)

    def _remember(self, unit: Unit) -> None:
        kept = unit.life.keep(time.time(), trio.current_time())
        before = self.journal.values.get(f"unit/{unit.name}")
        # The moments of restarts are told from now, and so differ each time: their number says whether there
        # is news.
        if isinstance(before, dict) and _gist(before) == _gist(kept):
            return
        self._put(f"unit/{unit.name}", kept)

    def _put(self, key: str, value: object) -> None:
        good = self.journal.put(key, value)
        if good == self._journal_warned:
            self._journal_warned = not good
            log(
                LogEvent.JOURNAL_WRITE_RECOVERED if good else LogEvent.JOURNAL_WRITE_FAILED,
                failed=self.journal.failed,
            )

    def _config(self, unit: Unit) -> None:
        """Writes the configuration that the instance reads; raises OSError or ValueError."""
        table = json.loads(Path(unit.spec.config).read_text())
        if not isinstance(table, dict):
            raise ValueError(f"{unit.spec.config} holds no object")
        table |= {
            "name": unit.name,
            "listen": ":".join(map(str, unit.spec.listen)),
            "seed": f"{hash((unit.name, self._began)) & 0xFFFFFFFFFFFFFFFF:016x}",
            "limits": {
                "cores": unit.spec.cores,
                "memory_mb": unit.spec.memory / 1e6,
                "sockets": unit.spec.sockets,
            },
        }
        if self.fleet.messages:
            others = [
                ":".join(map(str, one.listen))
                for name, one in self.fleet.instances.items()
                if name != unit.name
            ]
            table |= {"peer_listen": table["listen"], "peers": [*others, *table.get("peers", ())]}
        _replace(unit.folder / "config.json", json.dumps(table))
        if self.lender is not None:
            rest = unit.ended_at + self.lender.lending.window_s - time.monotonic()
            _replace(unit.folder / "leases.json", self.lender.file(max(0.0, rest)).dumps())
            fleet_size = (table.get("settings") or {}).get("fleet_size", 1)
            if fleet_size < len(self.fleet.instances):
                log(
                    LogEvent.FLEET_SIZE_TOO_SMALL,
                    name=unit.name,
                    fleet_size=fleet_size,
                    instances=len(self.fleet.instances),
                )

    def _start(self, unit: Unit) -> None:
        now = trio.current_time()
        try:
            self._config(unit)
            place = self.placement.places.get(unit.name)
            env = {
                **os.environ,
                "RELAY_CONFIG": str(unit.folder / "config.json"),
                "RELAY_NAME": unit.name,
                "STONECOVE_LOG": f"{'json:' if self.fleet.log.json else ''}{unit.folder / logs.PIPE}",
            }
            env.pop("NOTIFY_SOCKET", None)
            env.pop("STONECOVE_LEASES", None)
            env.pop("STONECOVE_TRACE", None)
            if self.lender is not None:
                env["STONECOVE_LEASES"] = str(unit.folder / "leases.json")
            if (tracing := self.fleet.tracing) is not None:
                env["STONECOVE_TRACE"] = (
                    f"{tracing.ratio:g}:{tracing.most_bytes}:{tracing.keep}:{unit.folder / 'trace'}"
                )
            if unit.spec.operator:
                env["STONECOVE_OPERATOR"] = unit.spec.operator
            else:
                env.pop("STONECOVE_OPERATOR", None)
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-S",
                    "-E",
                    str(LAUNCH),
                    str(unit.folder),
                    str(place.cpu) if place else "-",
                    str(unit.spec.sockets),
                    str(unit.folder / "errors"),
                    "--",
                    sys.executable,
                    "-m",
                    "stonecove",
                ],
                env=env,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        except (OSError, ValueError) as error:
            log(LogEvent.INSTANCE_START_FAILED, name=unit.name, reason=str(error))
            self._act(unit, unit.life.start_failed(f"can't be started: {error}", now))
            return
        process.returncode = 0  # reaped by us, by its descriptor
        run = runfile.Run(process.pid, runfile.start_of(process.pid) or 0, runfile.boot_id())
        log(
            LogEvent.INSTANCE_STARTED,
            name=unit.name,
            pid=run.pid,
            reason=unit.life.why,
            restarts=unit.life.restarts,
        )
        self._follow(unit, run)

    def _follow(self, unit: Unit, run: runfile.Run) -> None:
        unit.run, unit.stats = run, {}
        unit.pidfd = os.pidfd_open(run.pid)
        self._nursery.start_soon(self._await_end, unit, unit.pidfd, run)

    async def _await_end(self, unit: Unit, pidfd: int, run: runfile.Run) -> None:
        await trio.lowlevel.wait_readable(pidfd)
        how = "ended"
        try:
            _, status = os.waitpid(run.pid, os.WNOHANG)
            code = os.waitstatus_to_exitcode(status)
            how = f"ended by {signal.Signals(-code).name}" if code < 0 else f"ended with {code}"
        except (ChildProcessError, ValueError):
            pass  # adopted: it is no child of ours
        unit.pidfd = -1
        os.close(pidfd)
        unit.run = None
        unit.ended_at = time.monotonic()
        runfile.clear(unit.folder)
        log(LogEvent.INSTANCE_EXITED, name=unit.name, pid=run.pid, exit=how)
        self._act(unit, unit.life.exited(how, trio.current_time()))

    async def _check(self, unit: Unit) -> None:
        """Health checks of one instance."""
        every, within = self.fleet.health.every / 1000, self.fleet.health.within / 1000
        while self.units.get(unit.name) is unit:
            phase, run = unit.life.phase, unit.run
            if phase in (Phase.STARTING, Phase.READY) and run is not None:
                good = await live(unit.spec.listen, within)
                if unit.run is run and unit.life.phase is phase:
                    self._act(unit, unit.life.health(good, trio.current_time()))
                    if good:
                        unit.served.set()
                    if phase is Phase.STARTING and unit.life.phase is Phase.READY:
                        log(LogEvent.INSTANCE_READY, name=unit.name, pid=run.pid)
                        self._next_of_roll()
            await trio.sleep(STARTING_EVERY if unit.life.phase is Phase.STARTING else every)

    async def _measure(self) -> None:
        """Memory and descriptors."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            for unit in self.units.values():
                if unit.run is None:
                    continue
                with contextlib.suppress(OSError, ValueError, IndexError):
                    unit.resident = int(Path(f"/proc/{unit.run.pid}/statm").read_text().split()[1]) * page
                    unit.descriptors = len(os.listdir(f"/proc/{unit.run.pid}/fd"))
                    if unit.resident > unit.spec.memory:
                        why = f"{unit.resident >> 20} MiB of memory, {unit.spec.memory >> 20} allowed"
                        log(LogEvent.INSTANCE_LIMIT_EXCEEDED, name=unit.name, reason=why)
                        self._act(unit, unit.life.over_limit(why, trio.current_time()))
            await trio.sleep(MEASURE_EVERY)

    async def _tick(self) -> None:
        while True:
            now = trio.current_time()
            for unit in list(self.units.values()):
                if now >= unit.life.next_due():
                    self._act(unit, unit.life.tick(now))
            self._next_of_roll()
            await trio.sleep(TICK)

    async def _pump(self, unit: Unit) -> None:
        """Empties an instance's pipe into its log."""
        while True:
            await trio.lowlevel.wait_readable(unit.pipe)
            try:
                data = os.read(unit.pipe, 65_536)
            except BlockingIOError:
                continue
            for line in unit.lines.feed(data):
                self.writer.put(unit.log, line)
                if " stats " in line[:40] or '"event": "stats"' in line:
                    unit.stats = _fields(line)

    async def _watchdog(self) -> None:
        every = watchdog_interval_s()
        while every is not None:
            notify("WATCHDOG=1")
            await trio.sleep(every)

    async def _tell_ready(self) -> None:
        """READY=1 once every instance that is wanted has become ready or is held."""
        settled = (Phase.READY, Phase.HELD, Phase.STOPPED)
        while not all(unit.life.phase in settled for unit in self.units.values()):
            await trio.sleep(TICK)
        ready = sum(unit.life.phase is Phase.READY for unit in self.units.values())
        notify("READY=1", f"STATUS={ready} of {len(self.units)} instances ready")
        log(LogEvent.FLEET_READY, ready=ready, total=len(self.units))

    # -- rolls --

    def begin_roll(self, names: list[str], out: int, by_reload: bool) -> None:
        """Raises ValueError while another one is under way."""
        self.roll.begin(names, out)
        self._roll_reload = by_reload
        log(LogEvent.ROLLING_RESTART_STARTED, instances=len(names), max_unavailable=out, reload=by_reload)
        self._next_of_roll()

    def _next_of_roll(self) -> None:
        if self.roll.state is not RollState.ROLLING or self._ending:
            return
        not_ready = {
            name
            for name, unit in self.units.items()
            if unit.life.wanted and unit.life.phase not in (Phase.READY, Phase.HELD)
        }
        steps = self.roll.next(not_ready)
        now = trio.current_time()
        for step in steps:
            unit = self.units[step.name]
            self._keep_roll()
            if self._roll_reload:
                self._nursery.start_soon(self._reload_one, unit)
            else:
                self._act(unit, unit.life.again(now, "rolled"))
        over = not self.roll.left and not self.roll.under_way
        if steps or over:
            self._keep_roll()
        if over:
            log(LogEvent.ROLLING_RESTART_FINISHED, instances=len(self.roll.done))

    def _keep_roll(self) -> None:
        pids = {name: unit.run.pid for name, unit in self.units.items() if unit.run is not None}
        self._put("roll", {**self.roll.keep(), "reload": self._roll_reload, "pids": pids})

    def _roll_seen(self, unit: Unit) -> None:
        """What became of an instance that is rolled."""
        if unit.name not in self.roll.under_way or self._roll_reload:
            return
        life = unit.life
        if life.phase is Phase.READY:
            self.roll.ready(unit.name)
            self._keep_roll()
        elif life.phase in (Phase.HELD, Phase.WAITING, Phase.STOPPED) or (
            life.phase in (Phase.STOPPING, Phase.KILLED) and life.why != "rolled"
        ):
            self._roll_failed(unit.name, life.why)

    def _roll_failed(self, name: str, why: str) -> None:
        self.roll.failed(name, why)
        if self.roll.state is RollState.STOPPED:
            log(LogEvent.ROLLING_RESTART_STOPPED, reason=self.roll.why, remaining=len(self.roll.left))
            self._keep_roll()

    async def _reload_one(self, unit: Unit) -> None:
        """SIGHUP, and then a good health check, or the roll ends."""
        try:
            self._config(unit)
        except (OSError, ValueError) as error:
            self._roll_failed(unit.name, str(error))
            return
        run = unit.run
        if not unit.send(signal.SIGHUP):
            self._roll_failed(unit.name, "it does not run")
            return
        await trio.sleep(STARTING_EVERY)
        unit.served = trio.Event()
        with trio.move_on_after(self.fleet.ready_within / 1000):
            await unit.served.wait()
        if unit.served.is_set() and unit.run is run:
            self.roll.ready(unit.name)
            self._next_of_roll()
        else:
            self._roll_failed(unit.name, "no answer after SIGHUP")

    def reload(self) -> list[str]:
        """Takes a new file over, whole or not at all; what is wrong otherwise, a line each."""
        notify_reloading()
        try:
            fleet = self._read()
            if Path(fleet.folder) != self.folder:
                raise FleetError("fleet.folder can't be changed while it runs")
            if (fleet.leases, plan_of(fleet)) != (self.fleet.leases, plan_of(self.fleet)):
                raise FleetError("fleet.leases and fleet.limits can't be changed while it runs")
            _keep_peers(self.fleet, fleet)
            present = {name: at.cpu for name, at in self.placement.places.items()}
            placement = self._place(fleet, present)
        except FleetError as error:
            lines = str(error).splitlines()
            for line in lines:
                log(LogEvent.FLEET_RELOAD_REJECTED, reason=line)
            notify("READY=1")
            return lines
        now = trio.current_time()
        changed = [
            name
            for name, spec in fleet.instances.items()
            if name in self.units and self.units[name].spec != spec
        ]
        gone = [name for name in self.units if name not in fleet.instances]
        new = [name for name in fleet.instances if name not in self.units]
        self.fleet, self.placement = fleet, placement
        for name in gone:
            unit = self.units[name]
            self._act(unit, unit.life.want(False, now, "the file names it no more"))
            self._nursery.start_soon(self._drop, unit)
        for name in new:
            unit = self._add(name, fleet.instances[name])
            self._act(unit, unit.life.want(True, now, "new in the file"))
        for name, unit in self.units.items():
            unit.life.policy = policy_of(fleet)
            if name in fleet.instances:
                unit.spec = fleet.instances[name]
        log(LogEvent.FLEET_RELOADED, added=len(new), removed=len(gone), changed=len(changed))
        notify("READY=1")
        return []

    async def _drop(self, unit: Unit) -> None:
        """Forgets an instance once it has ended."""
        while unit.pidfd >= 0:
            await trio.sleep(TICK)
        if self.units.get(unit.name) is unit:
            del self.units[unit.name]
            self._put(f"unit/{unit.name}", None)

    # -- the control socket --

    def _listen(self) -> socket.socket:
        path = self.folder / NAME
        path.unlink(missing_ok=True)  # the lock is ours: nobody else listens there
        try:
            return bind_private(str(path))
        except OSError as error:
            raise FleetError(f"{path}: {error.strerror or error}") from None

    async def _answer(self, client: trio.socket.SocketType) -> None:
        with client, contextlib.suppress(OSError), trio.move_on_after(10):
            data = b""
            while not data.endswith(b"\n") and len(data) < MOST:
                part = await client.recv(65_536)
                if not part:
                    return
                data += part
            try:
                question = json.loads(data)
                answer = self.asked(str(question.pop("do", "")), question)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                answer = {"error": str(error) or type(error).__name__}
            out = memoryview(json.dumps(answer).encode() + b"\n")
            while out:
                out = out[await client.send(out) :]

    def _named(self, names: list[str]) -> list[Unit]:
        """Raises ValueError for a name that is none."""
        if unknown := [name for name in names if name not in self.units]:
            raise ValueError(f"no instance {unknown[0]}")
        return [self.units[name] for name in names or self.units]

    def asked(self, do: str, what: dict[str, Any]) -> dict[str, Any]:
        """Carries out a command; raises ValueError with what is wrong."""
        now = trio.current_time()
        names = [str(name) for name in what.get("names", [])]
        match do:
            case "status":
                return self.status()
            case "start" | "stop":
                for unit in self._named(names):
                    self._act(unit, unit.life.want(do == "start", now, "by an operator"))
            case "restart":
                for unit in self._named(names):
                    self._act(unit, unit.life.again(now, "restarted by an operator"))
            case "roll" | "reload":
                if do == "reload" and (wrong := self.reload()):
                    raise ValueError("; ".join(wrong))
                ready = [unit.name for unit in self._named(names) if unit.life.wanted]
                self.begin_roll(ready, int(what.get("out") or self.fleet.roll_out), do == "reload")
            case "stop-roll":
                self.roll.stop("by an operator")
                self._keep_roll()
            case _:
                raise ValueError(f"no command {do!r}")
        return {"done": do}

    def status(self) -> dict[str, Any]:
        """Everything that there is to tell, for programs."""
        now = trio.current_time()
        return {
            "folder": str(self.folder),
            "up_s": round(time.time() - self._began, 1),
            "journal": {"failed": self.journal.failed, "records": self.journal.records},
            "log_dropped": self.writer.dropped,
            "roll": self.roll.keep(),
            "leases": self.lender.lending.status(time.monotonic()) if self.lender is not None else None,
            "instances": [
                {
                    "name": name,
                    "phase": unit.life.phase.value,
                    "for_s": round(now - unit.life.since, 1),
                    "why": unit.life.why,
                    "wanted": unit.life.wanted,
                    "restarts": unit.life.restarts,
                    "pid": unit.run.pid if unit.run else None,
                    "listen": ":".join(map(str, unit.spec.listen)),
                    "cpu": at.cpu if (at := self.placement.places.get(name)) else None,
                    "cores": unit.spec.cores,
                    "memory_mb": round(unit.resident / 1e6, 1),
                    "memory_most_mb": round(unit.spec.memory / 1e6, 1),
                    "descriptors": unit.descriptors,
                    "descriptors_most": unit.spec.sockets,
                    "stats": unit.stats,
                }
                for name, unit in sorted(self.units.items())
            ],
        }


def _replace(path: Path, text: str) -> None:
    """Guards against a reader that finds half a file; raises OSError."""
    part = path.with_name(f"{path.name}.new")
    part.write_text(text)
    os.replace(part, path)


def _keep_peers(present: Fleet, wanted: Fleet) -> None:
    """Guards against routers that send each other datagrams and don't know of all: a new one would not count.

    Raises FleetError.
    """
    if present.messages != wanted.messages:
        raise FleetError("fleet.messages can't be changed while it runs")
    known = {one.listen for one in present.instances.values()}
    new = [name for name, one in wanted.instances.items() if one.listen not in known]
    if wanted.messages and new:
        raise FleetError(f"{new[0]}: with fleet.messages no address can be added while it runs")


def _gist(kept: dict[str, object]) -> dict[str, object]:
    recent = kept.get("recent")
    return {**kept, "recent": len(recent) if isinstance(recent, list) else 0}


def _fields(line: str) -> dict[str, str]:
    """The fields of a log line, in either form."""
    if line.startswith("{"):
        try:
            return {
                name: str(value) for name, value in json.loads(line).items() if name not in ("time", "event")
            }
        except ValueError:
            return {}
    return dict(pair.split("=", 1) for pair in line.split(" ")[2:] if "=" in pair)


async def run(path: Path) -> None:
    """Runs the fleet that the operator's file names; raises FleetError."""
    await Supervisor(path).run()

"""The supervisor: starts, monitors, adopts and stops the instances of one folder; serves the control socket.

Decisions are made in `restart`, `rolling` and `placement`; this module applies them to processes, sockets,
clocks and the journal.
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
from stonecove.fleet.control import MAX_COMMAND_BYTES, SOCKET_NAME
from stonecove.fleet.journal import Journal
from stonecove.fleet.lender import LessorServer, plan_from_fleet
from stonecove.fleet.placement import Demand, Host, Placement, place_instances
from stonecove.fleet.probe import check_liveness
from stonecove.fleet.restart import Action, InstanceLifecycle, Phase, RestartPolicy
from stonecove.fleet.rolling import RollingRestart, RollingState
from stonecove.operator_config.grammar import OperatorError
from stonecove.operator_config.reader import read
from stonecove.operator_config.records import Fleet, FleetInstance
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.notify import notify, notify_reloading, watchdog_interval_s
from stonecove.runtime.unix import bind_private, serve_connections

LAUNCH_SCRIPT = Path(__file__).with_name("launch.py")
STARTING_CHECK_INTERVAL_S = 0.05  # between health checks of an instance that is starting
TICK_S = 0.05
USAGE_INTERVAL_S = 1.0  # between measurements of memory and descriptors
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class FleetError(Exception):
    """The fleet can't be run; the text has one line per reason."""


def restart_policy(fleet: Fleet) -> RestartPolicy:
    """Return the restart policy of a fleet's configuration."""
    return RestartPolicy(
        fleet.ready_within / 1000,
        fleet.back_off.first / 1000,
        fleet.back_off.longest / 1000,
        fleet.restarts.most,
        fleet.restarts.within / 1000,
        fleet.health.misses,
        fleet.stop_within / 1000,
    )


def host_resources(fleet: Fleet) -> Host:
    """Return what this host provides to the fleet: usable cores, memory, descriptors per process."""
    import resource

    with open("/proc/meminfo") as file:
        memory_bytes = int(file.readline().split()[1]) * 1024
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = 1 << 30 if hard_limit == resource.RLIM_INFINITY else hard_limit
    return Host(
        tuple(sorted(os.sched_getaffinity(0))), min(memory_bytes, fleet.memory or memory_bytes), descriptors
    )


class ManagedInstance:
    """One instance with its lifecycle, process, log and resource usage."""

    def __init__(
        self, name: str, spec: FleetInstance, folder: Path, policy: RestartPolicy, fleet: Fleet
    ) -> None:
        self.name = name
        self.spec = spec
        self.folder = folder / name
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lifecycle = InstanceLifecycle(policy)
        self.process: runfile.Run | None = None
        self.pidfd = -1
        self.stats: dict[str, str] = {}
        self.resident_bytes = 0
        self.open_descriptors = 0
        self.log_file = logs.RotatingFile(self.folder / logs.LOG_NAME, fleet.log.most_bytes, fleet.log.keep)
        self.log_pipe = logs.open_pipe(logs.make_pipe(self.folder))
        self.line_splitter = logs.LineSplitter()
        self.healthy = trio.Event()  # set by the first successful health check after it was replaced
        self.exited_at_s = -1e9  # monotonic time at which its last process exited

    def send_signal(self, number: int) -> bool:
        """Send a signal to exactly this process; False if there is none."""
        if self.pidfd < 0:
            return False
        try:
            signal.pidfd_send_signal(self.pidfd, number)
        except ProcessLookupError:
            return False
        return True

    def close(self) -> None:
        """Close its files; a running process continues."""
        os.close(self.log_pipe)
        self.log_file.close()
        if self.pidfd >= 0:
            os.close(self.pidfd)
            self.pidfd = -1


class Supervisor:
    """All instances of one folder."""

    def __init__(self, path: Path) -> None:
        """Read the operator file, lock the folder and read the journal; raises FleetError."""
        self._path = path
        self.fleet = self._read()
        self.folder = Path(self.fleet.folder)
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = open(self.folder / "lock", "a+")  # noqa: SIM115 - held until the process exits
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FleetError(f"{self.folder}: another supervisor runs here") from None
        except OSError as error:
            raise FleetError(f"{self.folder}: {error.strerror}") from None
        try:
            self.journal = Journal(self.folder / "journal")
        except Exception as error:
            raise FleetError(f"{self.folder / 'journal'}: {error}") from None
        if self.journal.truncated_bytes:
            log(LogEvent.JOURNAL_TRUNCATED, bytes=self.journal.truncated_bytes)
        self.placement = self._place(self.fleet, {})
        self.rolling_restart = RollingRestart()
        self._rolling_reload = False
        self.managed_instances: dict[str, ManagedInstance] = {}
        self.log_writer = logs.LogWriter()
        self.lessor = self._make_lessor()
        self._nursery: trio.Nursery
        self._shutting_down = False
        self._journal_failure_logged = False
        self._started_unix_s = time.time()

    # -- configuration --

    def _read(self) -> Fleet:
        try:
            fleet = read(self._path).operator.fleet
        except OperatorError as error:
            raise FleetError(str(error)) from None
        if fleet is None:
            raise FleetError(f"{self._path}: names no fleet")
        return fleet

    def _make_lessor(self) -> LessorServer | None:
        """Return the lessor, if leases are configured; raises FleetError for inconsistent limits."""
        try:
            return LessorServer(self.fleet, self.folder) if self.fleet.leases is not None else None
        except ValueError as error:
            raise FleetError(f"{self._path}: fleet.limits: {error}") from None

    def _place(self, fleet: Fleet, current_cpus: dict[str, int]) -> Placement:
        demands = {
            name: Demand(spec.cores, spec.memory, spec.sockets) for name, spec in fleet.instances.items()
        }
        if not fleet.pin:
            return Placement({}, ())
        placement = place_instances(demands, host_resources(fleet), current_cpus)
        if placement.problems:
            raise FleetError("\n".join(placement.problems))
        return placement

    # -- main loop --

    async def run(self) -> None:
        """Supervise the fleet until SIGTERM or SIGINT; SIGHUP reloads the operator file."""
        async with trio.open_nursery() as self._nursery:
            with trio.open_signal_receiver(*SIGNALS) as signals:
                self._restore()
                listener = self._listen()
                self._nursery.start_soon(serve_connections, listener, self._serve_client)
                if self.lessor is not None:
                    await self._nursery.start(self.lessor.run)
                self._nursery.start_soon(self._run_deadlines)
                self._nursery.start_soon(self._measure_usage)
                self._nursery.start_soon(self._notify_watchdog)
                self._nursery.start_soon(self._notify_ready)
                log(
                    LogEvent.SUPERVISOR_STARTED,
                    folder=str(self.folder),
                    instances=len(self.managed_instances),
                )
                async for number in signals:
                    if number == signal.SIGHUP:
                        self.reload()
                        continue
                    break
            await self.shut_down()
            self._nursery.cancel_scope.cancel()
        for instance in self.managed_instances.values():
            instance.close()
        self.log_writer.close()
        (self.folder / SOCKET_NAME).unlink(missing_ok=True)
        log(LogEvent.SUPERVISOR_STOPPED)

    def _restore(self) -> None:
        """Restore the state of the journal and the run files: adopt running processes, start missing ones."""
        now, unix_s = trio.current_time(), time.time()
        rolling_entry = self.journal.values.get("roll")
        for name, spec in self.fleet.instances.items():
            self._add(name, spec)
        for name, instance in self.managed_instances.items():
            entry = self.journal.values.get(f"unit/{name}")
            if isinstance(entry, dict):
                instance.lifecycle.restore(entry, unix_s, now)
            else:
                instance.lifecycle.should_run = True
            process = runfile.read(instance.folder)
            if runfile.is_running(process):
                should_run = instance.lifecycle.should_run
                assert process is not None
                self._track(instance, process)
                instance.lifecycle.on_adopted(False, now)
                log(LogEvent.INSTANCE_ADOPTED, name=name, pid=process.pid)
                if not should_run:
                    self._apply(instance, instance.lifecycle.set_should_run(False, now, "stop was requested"))
            else:
                if process is not None:
                    instance.exited_at_s = time.monotonic()  # the exit may be as recent as now
                runfile.remove(instance.folder)
                if instance.lifecycle.should_run and instance.lifecycle.phase is Phase.STOPPED:
                    self._apply(instance, instance.lifecycle.set_should_run(True, now, "wanted"))
        if isinstance(rolling_entry, dict):
            self.rolling_restart.restore(rolling_entry, set(self.managed_instances))
            self._rolling_reload = bool(rolling_entry.get("reload"))
            for name in self.rolling_restart.in_progress:
                # An instance in progress may have been stopped already: it is restarted only if it still has
                # the process of before.
                instance, old_pids = self.managed_instances[name], rolling_entry.get("pids", {})
                if (
                    instance.process is not None
                    and isinstance(old_pids, dict)
                    and old_pids.get(name) == instance.process.pid
                ):
                    self._apply(instance, instance.lifecycle.request_restart(now, "rolled"))
            if self.rolling_restart.state is RollingState.ROLLING:
                log(
                    LogEvent.ROLLING_RESTART_RESUMED,
                    remaining=len(self.rolling_restart.remaining),
                    under_way=",".join(self.rolling_restart.in_progress),
                )
        self._terminate_unknown_processes()

    def _terminate_unknown_processes(self) -> None:
        """Terminate processes of this folder whose instances are no longer in the operator file."""
        for folder in self.folder.iterdir():
            process = (
                runfile.read(folder)
                if folder.is_dir() and folder.name not in self.managed_instances
                else None
            )
            if process is not None and runfile.is_running(process):
                log(LogEvent.INSTANCE_PROCESS_UNKNOWN, name=folder.name, pid=process.pid)
                with contextlib.suppress(OSError):
                    pidfd = os.pidfd_open(process.pid)
                    if runfile.is_running(process):
                        signal.pidfd_send_signal(pidfd, signal.SIGTERM)
                    os.close(pidfd)

    def _add(self, name: str, spec: FleetInstance) -> ManagedInstance:
        instance = self.managed_instances[name] = ManagedInstance(
            name, spec, self.folder, restart_policy(self.fleet), self.fleet
        )
        self._nursery.start_soon(self._read_log_pipe, instance)
        self._nursery.start_soon(self._check_health, instance)
        return instance

    async def shut_down(self) -> None:
        """Drain all instances, and kill those that do not exit within the fleet's `stop_within`."""
        self._shutting_down = True
        notify("STOPPING=1")
        self.rolling_restart.stop("supervisor is shutting down")
        now = trio.current_time()
        for instance in self.managed_instances.values():
            if instance.lifecycle.phase is not Phase.SUSPENDED:
                should_run = instance.lifecycle.should_run
                self._apply(
                    instance, instance.lifecycle.set_should_run(False, now, "supervisor is shutting down")
                )
                # The journal keeps what the operator requested, so that the next supervisor starts it again.
                self.journal.put(
                    f"unit/{instance.name}",
                    {**instance.lifecycle.to_journal(time.time(), now), "wanted": should_run},
                )
        while any(instance.pidfd >= 0 for instance in self.managed_instances.values()):
            await trio.sleep(0.01)

    # -- processes --

    def _apply(self, instance: ManagedInstance, actions: Iterable[Action]) -> None:
        """Carry out the actions of a decision and store the new state."""
        for action in actions:
            if action is Action.START:
                self._start(instance)
            elif action is Action.TERMINATE:
                instance.send_signal(signal.SIGTERM)
            elif action is Action.KILL:
                log(LogEvent.INSTANCE_KILLED, name=instance.name, reason=instance.lifecycle.reason)
                instance.send_signal(signal.SIGKILL)
            elif action is Action.ALARM:
                log(LogEvent.INSTANCE_SUSPENDED, name=instance.name, reason=instance.lifecycle.reason)
        if not self._shutting_down:
            self._store_lifecycle(instance)
        self._update_rolling_restart(instance)

    def _store_lifecycle(self, instance: ManagedInstance) -> None:
        entry = instance.lifecycle.to_journal(time.time(), trio.current_time())
        stored = self.journal.values.get(f"unit/{instance.name}")
        # Restart times are computed from the present time and differ slightly on each call, so only their
        # number is compared.
        if isinstance(stored, dict) and _comparable(stored) == _comparable(entry):
            return
        self._store(f"unit/{instance.name}", entry)

    def _store(self, key: str, value: object) -> None:
        stored = self.journal.put(key, value)
        if stored == self._journal_failure_logged:
            self._journal_failure_logged = not stored
            log(
                LogEvent.JOURNAL_WRITE_RECOVERED if stored else LogEvent.JOURNAL_WRITE_FAILED,
                failed=self.journal.failed_writes,
            )

    def _write_config(self, instance: ManagedInstance) -> None:
        """Write the files that the instance reads at its start; raises OSError or ValueError."""
        table = json.loads(Path(instance.spec.config).read_text())
        if not isinstance(table, dict):
            raise ValueError(f"{instance.spec.config} is not a JSON object")
        table |= {
            "name": instance.name,
            "listen": ":".join(map(str, instance.spec.listen)),
            "seed": f"{hash((instance.name, self._started_unix_s)) & 0xFFFFFFFFFFFFFFFF:016x}",
            "limits": {
                "cores": instance.spec.cores,
                "memory_mb": instance.spec.memory / 1e6,
                "sockets": instance.spec.sockets,
            },
        }
        if self.fleet.messages:
            peers = [
                ":".join(map(str, spec.listen))
                for name, spec in self.fleet.instances.items()
                if name != instance.name
            ]
            table |= {"peer_listen": table["listen"], "peers": [*peers, *table.get("peers", ())]}
        _write_atomically(instance.folder / "config.json", json.dumps(table))
        if self.lessor is not None:
            cooldown_s = instance.exited_at_s + self.lessor.lending.window_s - time.monotonic()
            _write_atomically(
                instance.folder / "leases.json", self.lessor.lease_file(max(0.0, cooldown_s)).dumps()
            )
            fleet_size = (table.get("settings") or {}).get("fleet_size", 1)
            if fleet_size < len(self.fleet.instances):
                log(
                    LogEvent.FLEET_SIZE_TOO_SMALL,
                    name=instance.name,
                    fleet_size=fleet_size,
                    instances=len(self.fleet.instances),
                )

    def _start(self, instance: ManagedInstance) -> None:
        now = trio.current_time()
        try:
            self._write_config(instance)
            place = self.placement.places.get(instance.name)
            env = {
                **os.environ,
                "RELAY_CONFIG": str(instance.folder / "config.json"),
                "RELAY_NAME": instance.name,
                "STONECOVE_LOG": (
                    f"{'json:' if self.fleet.log.json else ''}{instance.folder / logs.PIPE_NAME}"
                ),
            }
            env.pop("NOTIFY_SOCKET", None)
            env.pop("STONECOVE_LEASES", None)
            env.pop("STONECOVE_TRACE", None)
            if self.lessor is not None:
                env["STONECOVE_LEASES"] = str(instance.folder / "leases.json")
            if (tracing := self.fleet.tracing) is not None:
                env["STONECOVE_TRACE"] = (
                    f"{tracing.ratio:g}:{tracing.most_bytes}:{tracing.keep}:{instance.folder / 'trace'}"
                )
            if instance.spec.operator:
                env["STONECOVE_OPERATOR"] = instance.spec.operator
            else:
                env.pop("STONECOVE_OPERATOR", None)
            child = subprocess.Popen(
                [
                    sys.executable,
                    "-S",
                    "-E",
                    str(LAUNCH_SCRIPT),
                    str(instance.folder),
                    str(place.cpu) if place else "-",
                    str(instance.spec.sockets),
                    str(instance.folder / "errors"),
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
            log(LogEvent.INSTANCE_START_FAILED, name=instance.name, reason=str(error))
            self._apply(instance, instance.lifecycle.on_start_failed(f"can't be started: {error}", now))
            return
        child.returncode = 0  # keeps subprocess from reaping it; _await_exit does so through the pidfd
        process = runfile.Run(child.pid, runfile.start_ticks(child.pid) or 0, runfile.boot_id())
        log(
            LogEvent.INSTANCE_STARTED,
            name=instance.name,
            pid=process.pid,
            reason=instance.lifecycle.reason,
            restarts=instance.lifecycle.restarts,
        )
        self._track(instance, process)

    def _track(self, instance: ManagedInstance, process: runfile.Run) -> None:
        instance.process, instance.stats = process, {}
        instance.pidfd = os.pidfd_open(process.pid)
        self._nursery.start_soon(self._await_exit, instance, instance.pidfd, process)

    async def _await_exit(self, instance: ManagedInstance, pidfd: int, process: runfile.Run) -> None:
        await trio.lowlevel.wait_readable(pidfd)
        reason = "ended"
        try:
            _, status = os.waitpid(process.pid, os.WNOHANG)
            code = os.waitstatus_to_exitcode(status)
            reason = f"ended by {signal.Signals(-code).name}" if code < 0 else f"ended with {code}"
        except (ChildProcessError, ValueError):
            pass  # an adopted process is not a child of this one
        instance.pidfd = -1
        os.close(pidfd)
        instance.process = None
        instance.exited_at_s = time.monotonic()
        runfile.remove(instance.folder)
        log(LogEvent.INSTANCE_EXITED, name=instance.name, pid=process.pid, exit=reason)
        self._apply(instance, instance.lifecycle.on_exited(reason, trio.current_time()))

    async def _check_health(self, instance: ManagedInstance) -> None:
        """Run the health checks of one instance until it is removed."""
        interval_s, timeout_s = self.fleet.health.every / 1000, self.fleet.health.within / 1000
        while self.managed_instances.get(instance.name) is instance:
            phase, process = instance.lifecycle.phase, instance.process
            if phase in (Phase.STARTING, Phase.READY) and process is not None:
                healthy = await check_liveness(instance.spec.listen, timeout_s)
                if instance.process is process and instance.lifecycle.phase is phase:
                    self._apply(instance, instance.lifecycle.on_health_check(healthy, trio.current_time()))
                    if healthy:
                        instance.healthy.set()
                    if phase is Phase.STARTING and instance.lifecycle.phase is Phase.READY:
                        log(LogEvent.INSTANCE_READY, name=instance.name, pid=process.pid)
                        self._advance_rolling_restart()
            await trio.sleep(
                STARTING_CHECK_INTERVAL_S if instance.lifecycle.phase is Phase.STARTING else interval_s
            )

    async def _measure_usage(self) -> None:
        """Measure memory and descriptors of all instances, and enforce their memory limits."""
        page_bytes = os.sysconf("SC_PAGE_SIZE")
        while True:
            for instance in self.managed_instances.values():
                if instance.process is None:
                    continue
                with contextlib.suppress(OSError, ValueError, IndexError):
                    instance.resident_bytes = (
                        int(Path(f"/proc/{instance.process.pid}/statm").read_text().split()[1]) * page_bytes
                    )
                    instance.open_descriptors = len(os.listdir(f"/proc/{instance.process.pid}/fd"))
                    if instance.resident_bytes > instance.spec.memory:
                        reason = (
                            f"{instance.resident_bytes >> 20} MiB of memory, "
                            f"{instance.spec.memory >> 20} allowed"
                        )
                        log(LogEvent.INSTANCE_LIMIT_EXCEEDED, name=instance.name, reason=reason)
                        self._apply(
                            instance, instance.lifecycle.on_limit_exceeded(reason, trio.current_time())
                        )
            await trio.sleep(USAGE_INTERVAL_S)

    async def _run_deadlines(self) -> None:
        while True:
            now = trio.current_time()
            for instance in list(self.managed_instances.values()):
                if now >= instance.lifecycle.next_deadline():
                    self._apply(instance, instance.lifecycle.tick(now))
            self._advance_rolling_restart()
            await trio.sleep(TICK_S)

    async def _read_log_pipe(self, instance: ManagedInstance) -> None:
        """Copy the lines of an instance's pipe into its log file, and record its latest counts."""
        while True:
            await trio.lowlevel.wait_readable(instance.log_pipe)
            try:
                data = os.read(instance.log_pipe, 65_536)
            except BlockingIOError:
                continue
            for line in instance.line_splitter.feed(data):
                self.log_writer.put(instance.log_file, line)
                if " stats " in line[:40] or '"event": "stats"' in line:
                    instance.stats = _parse_fields(line)

    async def _notify_watchdog(self) -> None:
        interval_s = watchdog_interval_s()
        while interval_s is not None:
            notify("WATCHDOG=1")
            await trio.sleep(interval_s)

    async def _notify_ready(self) -> None:
        """Send READY=1 once every instance is ready, suspended or stopped."""
        settled = (Phase.READY, Phase.SUSPENDED, Phase.STOPPED)
        while not all(instance.lifecycle.phase in settled for instance in self.managed_instances.values()):
            await trio.sleep(TICK_S)
        ready = sum(instance.lifecycle.phase is Phase.READY for instance in self.managed_instances.values())
        notify("READY=1", f"STATUS={ready} of {len(self.managed_instances)} instances ready")
        log(LogEvent.FLEET_READY, ready=ready, total=len(self.managed_instances))

    # -- rolling restarts --

    def start_rolling_restart(self, names: list[str], max_unavailable: int, by_reload: bool) -> None:
        """Start a rolling restart, by SIGHUP if `by_reload`; raises ValueError while one is in progress."""
        self.rolling_restart.start(names, max_unavailable)
        self._rolling_reload = by_reload
        log(
            LogEvent.ROLLING_RESTART_STARTED,
            instances=len(names),
            max_unavailable=max_unavailable,
            reload=by_reload,
        )
        self._advance_rolling_restart()

    def _advance_rolling_restart(self) -> None:
        if self.rolling_restart.state is not RollingState.ROLLING or self._shutting_down:
            return
        not_ready = {
            name
            for name, instance in self.managed_instances.items()
            if instance.lifecycle.should_run
            and instance.lifecycle.phase not in (Phase.READY, Phase.SUSPENDED)
        }
        steps = self.rolling_restart.next_steps(not_ready)
        now = trio.current_time()
        for step in steps:
            instance = self.managed_instances[step.name]
            self._store_rolling_restart()
            if self._rolling_reload:
                self._nursery.start_soon(self._reload_instance, instance)
            else:
                self._apply(instance, instance.lifecycle.request_restart(now, "rolled"))
        finished = not self.rolling_restart.remaining and not self.rolling_restart.in_progress
        if steps or finished:
            self._store_rolling_restart()
        if finished:
            log(LogEvent.ROLLING_RESTART_FINISHED, instances=len(self.rolling_restart.finished))

    def _store_rolling_restart(self) -> None:
        pids = {
            name: instance.process.pid
            for name, instance in self.managed_instances.items()
            if instance.process is not None
        }
        self._store(
            "roll", {**self.rolling_restart.to_journal(), "reload": self._rolling_reload, "pids": pids}
        )

    def _update_rolling_restart(self, instance: ManagedInstance) -> None:
        """Record whether an instance in progress has become ready or failed."""
        if instance.name not in self.rolling_restart.in_progress or self._rolling_reload:
            return
        lifecycle = instance.lifecycle
        if lifecycle.phase is Phase.READY:
            self.rolling_restart.mark_ready(instance.name)
            self._store_rolling_restart()
        elif lifecycle.phase in (Phase.SUSPENDED, Phase.BACKING_OFF, Phase.STOPPED) or (
            lifecycle.phase in (Phase.STOPPING, Phase.KILLED) and lifecycle.reason != "rolled"
        ):
            self._fail_rolling_restart(instance.name, lifecycle.reason)

    def _fail_rolling_restart(self, name: str, reason: str) -> None:
        self.rolling_restart.mark_failed(name, reason)
        if self.rolling_restart.state is RollingState.STOPPED:
            log(
                LogEvent.ROLLING_RESTART_STOPPED,
                reason=self.rolling_restart.reason,
                remaining=len(self.rolling_restart.remaining),
            )
            self._store_rolling_restart()

    async def _reload_instance(self, instance: ManagedInstance) -> None:
        """Send SIGHUP to an instance; the rolling restart stops unless a health check succeeds after it."""
        try:
            self._write_config(instance)
        except (OSError, ValueError) as error:
            self._fail_rolling_restart(instance.name, str(error))
            return
        process = instance.process
        if not instance.send_signal(signal.SIGHUP):
            self._fail_rolling_restart(instance.name, "not running")
            return
        await trio.sleep(STARTING_CHECK_INTERVAL_S)
        instance.healthy = trio.Event()
        with trio.move_on_after(self.fleet.ready_within / 1000):
            await instance.healthy.wait()
        if instance.healthy.is_set() and instance.process is process:
            self.rolling_restart.mark_ready(instance.name)
            self._advance_rolling_restart()
        else:
            self._fail_rolling_restart(instance.name, "no answer after SIGHUP")

    def reload(self) -> list[str]:
        """Apply the operator file as a whole, or reject it and return the reasons, one line each."""
        notify_reloading()
        try:
            fleet = self._read()
            if Path(fleet.folder) != self.folder:
                raise FleetError("fleet.folder can't be changed while the fleet runs")
            if (fleet.leases, plan_from_fleet(fleet)) != (self.fleet.leases, plan_from_fleet(self.fleet)):
                raise FleetError("fleet.leases and fleet.limits can't be changed while the fleet runs")
            _check_peers_unchanged(self.fleet, fleet)
            current_cpus = {name: place.cpu for name, place in self.placement.places.items()}
            placement = self._place(fleet, current_cpus)
        except FleetError as error:
            reasons = str(error).splitlines()
            for reason in reasons:
                log(LogEvent.FLEET_RELOAD_REJECTED, reason=reason)
            notify("READY=1")
            return reasons
        now = trio.current_time()
        changed = [
            name
            for name, spec in fleet.instances.items()
            if name in self.managed_instances and self.managed_instances[name].spec != spec
        ]
        removed = [name for name in self.managed_instances if name not in fleet.instances]
        added = [name for name in fleet.instances if name not in self.managed_instances]
        self.fleet, self.placement = fleet, placement
        for name in removed:
            instance = self.managed_instances[name]
            self._apply(
                instance, instance.lifecycle.set_should_run(False, now, "removed from the operator file")
            )
            self._nursery.start_soon(self._remove_after_exit, instance)
        for name in added:
            instance = self._add(name, fleet.instances[name])
            self._apply(instance, instance.lifecycle.set_should_run(True, now, "added to the operator file"))
        for name, instance in self.managed_instances.items():
            instance.lifecycle.policy = restart_policy(fleet)
            if name in fleet.instances:
                instance.spec = fleet.instances[name]
        log(LogEvent.FLEET_RELOADED, added=len(added), removed=len(removed), changed=len(changed))
        notify("READY=1")
        return []

    async def _remove_after_exit(self, instance: ManagedInstance) -> None:
        """Remove an instance and its journal entry once its process has exited."""
        while instance.pidfd >= 0:
            await trio.sleep(TICK_S)
        if self.managed_instances.get(instance.name) is instance:
            del self.managed_instances[instance.name]
            self._store(f"unit/{instance.name}", None)

    # -- the control socket --

    def _listen(self) -> socket.socket:
        path = self.folder / SOCKET_NAME
        path.unlink(missing_ok=True)  # the lock on the folder excludes another listener
        try:
            return bind_private(str(path))
        except OSError as error:
            raise FleetError(f"{path}: {error.strerror or error}") from None

    async def _serve_client(self, client: trio.socket.SocketType) -> None:
        with client, contextlib.suppress(OSError), trio.move_on_after(10):
            data = b""
            while not data.endswith(b"\n") and len(data) < MAX_COMMAND_BYTES:
                received = await client.recv(65_536)
                if not received:
                    return
                data += received
            try:
                arguments = json.loads(data)
                answer = self.execute(str(arguments.pop("do", "")), arguments)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                answer = {"error": str(error) or type(error).__name__}
            unsent = memoryview(json.dumps(answer).encode() + b"\n")
            while unsent:
                unsent = unsent[await client.send(unsent) :]

    def _select(self, names: list[str]) -> list[ManagedInstance]:
        """Return the named instances, all for an empty list; raises ValueError for an unknown name."""
        if unknown := [name for name in names if name not in self.managed_instances]:
            raise ValueError(f"no instance {unknown[0]}")
        return [self.managed_instances[name] for name in names or self.managed_instances]

    def execute(self, command: str, arguments: dict[str, Any]) -> dict[str, Any]:
        """Execute a command of the control socket and return its answer; raises ValueError to reject it."""
        now = trio.current_time()
        names = [str(name) for name in arguments.get("names", [])]
        match command:
            case "status":
                return self.status()
            case "start" | "stop":
                for instance in self._select(names):
                    self._apply(
                        instance,
                        instance.lifecycle.set_should_run(command == "start", now, "by an operator"),
                    )
            case "restart":
                for instance in self._select(names):
                    self._apply(instance, instance.lifecycle.request_restart(now, "restarted by an operator"))
            case "roll" | "reload":
                if command == "reload" and (reasons := self.reload()):
                    raise ValueError("; ".join(reasons))
                selected = [
                    instance.name for instance in self._select(names) if instance.lifecycle.should_run
                ]
                self.start_rolling_restart(
                    selected, int(arguments.get("out") or self.fleet.roll_out), command == "reload"
                )
            case "stop-roll":
                self.rolling_restart.stop("by an operator")
                self._store_rolling_restart()
            case _:
                raise ValueError(f"no command {command!r}")
        return {"done": command}

    def status(self) -> dict[str, Any]:
        """Return the state of the fleet as a JSON-serializable table."""
        now = trio.current_time()
        return {
            "folder": str(self.folder),
            "up_s": round(time.time() - self._started_unix_s, 1),
            "journal": {"failed": self.journal.failed_writes, "records": self.journal.records},
            "log_dropped": self.log_writer.dropped,
            "roll": self.rolling_restart.to_journal(),
            "leases": self.lessor.lending.status(time.monotonic()) if self.lessor is not None else None,
            "instances": [
                {
                    "name": name,
                    "phase": instance.lifecycle.phase.value,
                    "for_s": round(now - instance.lifecycle.phase_since, 1),
                    "why": instance.lifecycle.reason,
                    "wanted": instance.lifecycle.should_run,
                    "restarts": instance.lifecycle.restarts,
                    "pid": instance.process.pid if instance.process else None,
                    "listen": ":".join(map(str, instance.spec.listen)),
                    "cpu": place.cpu if (place := self.placement.places.get(name)) else None,
                    "cores": instance.spec.cores,
                    "memory_mb": round(instance.resident_bytes / 1e6, 1),
                    "memory_most_mb": round(instance.spec.memory / 1e6, 1),
                    "descriptors": instance.open_descriptors,
                    "descriptors_most": instance.spec.sockets,
                    "stats": instance.stats,
                }
                for name, instance in sorted(self.managed_instances.items())
            ],
        }


def _write_atomically(path: Path, text: str) -> None:
    """Write a file that readers see either complete or not at all; raises OSError."""
    temporary = path.with_name(f"{path.name}.new")
    temporary.write_text(text)
    os.replace(temporary, path)


def _check_peers_unchanged(current: Fleet, requested: Fleet) -> None:
    """Reject new addresses while the routers exchange datagrams; raises FleetError.

    Running routers do not know an address that is added later, so the new router would not be counted.
    """
    if current.messages != requested.messages:
        raise FleetError("fleet.messages can't be changed while the fleet runs")
    known = {spec.listen for spec in current.instances.values()}
    added = [name for name, spec in requested.instances.items() if spec.listen not in known]
    if requested.messages and added:
        raise FleetError(f"{added[0]}: with fleet.messages no address can be added while the fleet runs")


def _comparable(entry: dict[str, object]) -> dict[str, object]:
    recent = entry.get("recent")
    return {**entry, "recent": len(recent) if isinstance(recent, list) else 0}


def _parse_fields(line: str) -> dict[str, str]:
    """Return the fields of a log line in text or JSON form."""
    if line.startswith("{"):
        try:
            return {
                name: str(value) for name, value in json.loads(line).items() if name not in ("time", "event")
            }
        except ValueError:
            return {}
    return dict(pair.split("=", 1) for pair in line.split(" ")[2:] if "=" in pair)


async def run(path: Path) -> None:
    """Run the fleet of an operator file; raises FleetError."""
    await Supervisor(path).run()

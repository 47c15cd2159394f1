"""From the start to the end of the process."""

from __future__ import annotations

import gc
import heapq
import os
import select
import signal
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from stonecove.frontends.fastcgi import FastCgiFrontend
from stonecove.pipeline.route import Route
from stonecove.pipeline.send import connection_limit
from stonecove.protocols.change_log import Follower
from stonecove.protocols.upstream_channel import Owner
from stonecove.routing.events import FleetSizeChanged
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log, log_limited, set_log_sink
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.timers import Timers
from stonecove.server.config import Config, ConfigError, read_config
from stonecove.state.budget import MemoryBudget
from stonecove.transport.change_log_follower import ChangeLogClient
from stonecove.transport.client_connection import ClientConnection as Client
from stonecove.transport.upstream_connection import RESOURCE_ERRNOS, UpstreamConnection

if TYPE_CHECKING:
    from stonecove.operator_config.records import ConfigurationRecord, Operator
    from stonecove.server.access import AccessKeeper
    from stonecove.server.configuration import ConfigurationKeeper
    from stonecove.server.http import HttpListener
    from stonecove.server.leases import Leases
    from stonecove.server.members import Members
    from stonecove.server.reconfigure import Reconfigure
    from stonecove.server.swarm import SwarmKeeper

BACKLOG = 1024
SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
GRID = 0.005  # seconds: alarms fall due in steps, for each waking costs as much as many calls
GRACE = 0.8  # seconds after SIGTERM for which new connections and requests still come
KILL_AFTER = 0.7  # SIGKILL comes so many seconds after the longest deadline, counted from SIGTERM,
LONGEST_COUNTED = 3.0  # with a longer one counted as so many seconds
KILL_MARGIN = 0.5  # so long before SIGKILL all is answered,
LEAST_MARGIN = 0.1  # or so long, where deadlines are so short that requests still come then
LAST_WRITE = 0.3  # seconds left then to write the answers out
MEMORY_SHARE = 0.25  # part of the memory limit for what is held of requests and answers; they are copied
STATS_EVERY = 10.0
CLIENT_IDLE = 60_000.0  # ms after which a client connection with nothing open is closed
CHECK_EVERY = 0.25  # seconds between two looks at what clients are sending
MUTE_FOR = 100.0  # ms for which a new client may say nothing while others wait for its place
WAY_OUT = 0.25  # seconds for which an idle client that loses its place may end its side
IDLE_FOR = 60.0  # ms for which an idle client keeps its place while others wait: it may be asking just now
HALF_FOR = 500.0  # ms for which one keeps it that has begun to ask, has nothing else open and sends no more
PLACES_PART = 0.125  # part of all places that are made at once: looking through all clients costs
LEAST_CLIENTS = 8  # places for clients, however few descriptors there are
CLIENTS_PART = 0.6  # of the descriptors that the system turned out to have, clients get so much
PLACES_BACK = 0.125  # part by which places taken for a lack of descriptors grow again at each statistics


class Server:
    """One edge router."""

    def __init__(
        self,
        config: Config,
        nursery: trio.Nursery,
        operator: Path | None = None,
        datagrams: socket.socket | None = None,
    ) -> None:
        """`datagrams`: where other routers speak to us.

        Raises `OperatorError` or OSError for an operator's file that can't be used.
        """
        self._config = config
        self._nursery = nursery
        self._clock = Clock()
        self._alarm_set = trio.Event()  # an earlier alarm than the one that is waited for
        self._timers = Timers(self._clock, trio.current_time, self._wake_timers)
        self._came = trio.Event()  # a request waits to be decided
        self._clients: set[Client] = set()
        self._making_room: set[Client] = set()  # idle ones that are ended for others, and not gone yet
        self._accepting = trio.CancelScope()
        self._starting = trio.CancelScope()
        self._stopping = trio.Event()
        self._stop: tuple[str, float] = "", 0.0  # the signal that ends us, and when it came in trio's seconds
        self._reload_wanted = False  # a new configuration was told of while we start
        self._budget = MemoryBudget()
        self._route = Route(
            config.settings,
            config.seed,
            self._clock,
            self._timers,
            self._budget,
            config.pace,
            self._connect,
            self._wake_decide,
        )
        self._limit(config)
        self._front = FastCgiFrontend(config.settings, self._route)
        self._operator = operator
        self._changelog = ChangeLogClient(*config.changelog, Follower(config.last))
        self._changelog.on_descriptor_shortage = self._short_of_descriptors
        self._members: Members | None = None
        self._leases: Leases | None = None
        if leases := os.environ.get("STONECOVE_LEASES"):
            from stonecove.server.leases import leases_from

            self._leases = leases_from(
                Path(leases), config.name, config.settings, self._route, self._clock, self._spawn
            )
        self._http: HttpListener | None = None
        self._access: AccessKeeper | None = None
        if operator is not None:
            from stonecove.operator_config.reader import read

            self._more_fronts(read(operator).operator)
        if tracing := os.environ.get("STONECOVE_TRACE"):
            from stonecove.server.tracing import trace_from

            trace_from(tracing, config, self._route)
        if operator is not None:
            from stonecove.server.members import Members

            self._members = Members(operator, config, self._route, self._clock, self._changelog, self._spawn)
        self._swarm: SwarmKeeper | None = None
        record = self._members.operator.swarm if self._members is not None else None
        if self._members is not None and record is not None and datagrams is not None:
            from stonecove.server.swarm import SwarmKeeper

            self._swarm = SwarmKeeper(record, config, datagrams, self._route, self._clock, self._leases)
            self._members.sized = self._swarm.present
            self._members.also["swarm"] = self._swarm.answer
        self._reconfigure: Reconfigure | None = None
        self._configuration: ConfigurationKeeper | None = None
        self._follow_settings()
        self._time_drain(config.settings)

    def _time_drain(self, settings: Settings) -> None:
        """How long a drain may take: SIGKILL comes by the longest deadline."""
        longest = max(cls.deadline_ms for cls in settings.classes) / 1000.0
        kill = min(longest, LONGEST_COUNTED) + KILL_AFTER  # seconds after SIGTERM, as is:
        self._last_answer = max(kill - KILL_MARGIN, min(GRACE, kill - LEAST_MARGIN))
        self._last_write = min(LAST_WRITE, kill - LEAST_MARGIN / 2 - self._last_answer)

    def _follow_settings(self) -> None:
        """Settings are taken over while we run, if the operator's file says so.

        A router that takes part in roll-outs goes on with that until its end.
        """
        if self._configuration is not None:
            return
        members = self._members
        record = members.operator.configuration if members is not None else None
        if members is None or record is None or not record.settings:
            self._reconfigure = None
            if members is not None:
                members.also.pop("configuration", None)
        elif self._reconfigure is None:
            from stonecove.server.reconfigure import Reconfigure

            others = [one for one in (self._leases, self._swarm) if one is not None]
            self._reconfigure = Reconfigure(
                self._config.settings,
                self._config.version,
                self._route,
                [self, members, *others],
                self._counted,
                self._clock.now,
            )
            members.also["configuration"] = self._reconfigure.answer
        if members is not None and record is not None and record.path and self._reconfigure is not None:
            self._follow_rollouts(members, record, self._reconfigure)

    def _follow_rollouts(
        self, members: Members, record: ConfigurationRecord, reconfigure: Reconfigure
    ) -> None:
        """Changes of the settings come by the session with the coordination service."""
        from stonecove.server.configuration import ConfigurationKeeper

        keeper = ConfigurationKeeper(
            record, self._config, self._config.table, reconfigure, self._route.recorder.counts, self._clock
        )
        members.use_session(keeper.attach)
        self._spawn(keeper.run)
        self._configuration = keeper

    def _counted(self) -> FleetSizeChanged | None:
        """How many routers there are, where that is counted."""
        if self._swarm is not None:
            return self._swarm.counted()
        return self._members.counted() if self._members is not None else None

    def objection(self, settings: Settings) -> str:
        """There is none to other settings here."""
        return ""

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold from now on, at the fronts and for the drain."""
        self._config = replace(self._config, settings=settings)
        self._front.reconfigure(settings)
        if self._http is not None:
            self._http.front.reconfigure(settings)
        self._time_drain(settings)

    def _more_fronts(self, operator: Operator) -> None:
        """Tokens and the HTTP front, where the operator's file has them; raises OSError or AccessError."""
        settings = self._config.settings
        depot = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        if operator.access is not None:
            from stonecove.server.access import AccessKeeper

            self._access = AccessKeeper(operator.access, depot, self._clock, self._route)
            if operator.access.fastcgi:
                self._front.token_checker = self._access.desk
        if operator.http is not None:
            from stonecove.frontends.http import HttpFrontend
            from stonecove.server.http import HttpListener

            desk = self._access.desk if self._access is not None else None
            scheme = "https" if operator.http.certificate else "http"
            front = HttpFrontend(settings, self._route, self._clock, desk, scheme)
            self._http = HttpListener(operator.http, front, self._spawn)

    def _connect(self, owner: Owner, address: tuple[str, int], patience: float) -> UpstreamConnection:
        connection = UpstreamConnection(owner, address, patience, self._clock.now, self._short_of_descriptors)
        self._spawn(connection.run)
        return connection

    def _wake_timers(self) -> None:
        self._alarm_set.set()

    async def _run_timers(self) -> None:
        """Makes the calls of the alarms as they fall due."""
        while True:
            self._alarm_set = trio.Event()
            now = trio.current_time()
            self._timers.run_due()
            with trio.move_on_at(max(self._timers.next_due(), now + GRID)):
                await self._alarm_set.wait()

    def _wake_decide(self) -> None:
        self._came.set()

    async def _decide(self) -> None:
        """Has requests decided, some at a time; in between, sockets are read and ends are booked."""
        while True:
            if not self._route.decide():
                self._came = trio.Event()
                await self._came.wait()
            else:
                await trio.lowlevel.checkpoint()

    def _spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        self._nursery.start_soon(self._apart, task)

    @staticmethod
    async def _apart(task: Callable[[], Awaitable[None]]) -> None:
        """Guards against what goes wrong with one connection ending the others."""
        try:
            await task()
        except Exception as error:
            log(LogEvent.INTERNAL_ERROR, where="connection", error=repr(error))

    async def run(self, listener: socket.socket) -> None:
        """Serves until SIGTERM, and then finishes what was taken; reads its configuration anew on SIGHUP.

        Guards against a signal that ends the process before it is ready or while it drains: they are blocked
        (see `main`) but for the time in which they are heeded.
        """
        with trio.open_signal_receiver(*SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._heed, signals)
                    await self._live(listener)
                    # Guards against a task that goes on with a socket which is closed by now.
                    self._nursery.cancel_scope.cancel()
            finally:
                signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    async def _heed(self, signals: AsyncIterator[int]) -> None:
        """Only the first signal to end counts, and no new configuration after it."""
        async for number in signals:
            if self._stopping.is_set():
                continue
            if number != signal.SIGHUP:
                self._stop = signal.Signals(number).name, trio.current_time()
                self._stopping.set()
                self._starting.cancel()
            elif self._front.ready:
                self._reload()
            else:
                self._reload_wanted = True

    async def _live(self, listener: socket.socket) -> None:
        """From the start to the end of the drain."""
        told = self._route if self._members is None else self._members
        for event in self._config.known:
            told.handle_membership_event(event)
        for task in (self._run_timers, self._decide, self._stats, self._check):
            self._nursery.start_soon(task)
        self._nursery.start_soon(self._changelog.run, told)
        with trio.CancelScope() as self._starting:
            await self._changelog.wait_caught_up(self._config.settings.drain_grace_ms / 1000.0)
        self._nursery.start_soon(self._accept, listener)
        if self._leases is not None:
            self._leases.start()
        if self._swarm is not None:
            self._swarm.start(self._spawn)
        if self._members is not None:
            self._members.start()
            with trio.CancelScope() as self._starting:
                if not self._stopping.is_set():
                    await self._members.ready()
                    if self._configuration is not None:
                        await self._configuration.ready()
        if not self._stopping.is_set():
            self._ready()
        await self._stopping.wait()
        name, since = self._stop
        log(LogEvent.ROUTER_STOPPING, signal=name, open=len(self._route.requests), within=self._last_answer)
        self._notify("STOPPING=1")
        if self._swarm is not None:
            self._swarm.leaving()
        if self._members is not None:
            await self._members.leaving()
        await self._drain(listener, since)
        if self._swarm is not None:
            self._swarm.close()
        if self._members is not None:
            await self._members.close()

    def _ready(self) -> None:
        """Clients may come."""
        self._front.ready = True
        if self._http is not None:
            self._http.front.ready = True
            self._http.start()
            log(LogEvent.HTTP_LISTENING, listen=self._http.where)
        self._notify("READY=1")
        log(
            LogEvent.ROUTER_READY,
            name=self._config.name,
            listen=":".join(map(str, self._config.listen)),
            nodes=len(self._route.nodes),
        )
        if self._reload_wanted:
            self._reload()

    @staticmethod
    def _notify(state: str) -> None:
        """Tells a service manager, where one has asked for it."""
        if os.environ.get("NOTIFY_SOCKET"):
            from stonecove.runtime.notify import notify

            notify(state)

    def _reload(self) -> None:
        """Takes over from a new configuration what can change while requests go on.

        The whole file is checked first: guards against half a new configuration, and against ending over a
        bad one.
        """
        try:
            config = read_config()
        except ConfigError as error:
            log(LogEvent.CONFIG_RELOAD_REJECTED, reason=str(error))
            if self._reconfigure is not None:
                self._reconfigure.refuse(str(error))
            return
        taken = self._take_settings(config, self._reconfigure) if self._reconfigure is not None else {}
        if taken.get("settings") == "in-force":  # those of the file, under what is rolled out
            config = replace(config, settings=self._config.settings)
        fixed = [
            name
            for name in ("name", "listen", "pace", "settings")
            if getattr(config, name) != getattr(self._config, name)
        ]
        log(
            LogEvent.CONFIG_RELOADED,
            changelog=":".join(map(str, config.changelog)),
            sockets=config.sockets,
            memory_mb=config.memory_mb,
            cores=config.cores,
            waits_for_restart=",".join(fixed) or "nothing",
            **taken,
        )
        self._limit(config)
        self._changelog.change_address(*config.changelog)
        if self._members is not None:
            self._members.reload(replace(config, settings=self._config.settings))
            self._follow_settings()
        if self._operator is not None and (self._access is not None or self._http is not None):
            self._reload_fronts(self._operator)

    def _take_settings(self, config: Config, reconfigure: Reconfigure) -> dict[str, object]:
        """Puts the settings of a file in force, or tells why not; what the log line says of it."""
        from stonecove.server.reconfigure import SettingsRefused

        try:
            if self._configuration is not None:
                self._configuration.rebase(config.table)
            else:
                reconfigure.apply(config.settings, config.version)
        except SettingsRefused as error:
            return {"settings": f"refused: {error}", "version": reconfigure.version}
        return {"settings": "in-force", "version": reconfigure.version}

    def _reload_fronts(self, path: Path) -> None:
        """Keys, policies, revocations and certificates, each whole or not at all."""
        from stonecove.operator_config.grammar import OperatorError
        from stonecove.operator_config.reader import read

        try:
            operator = read(path).operator
        except OperatorError as error:
            log(LogEvent.ACCESS_CONFIG_REJECTED, reason=str(error))
            return
        if self._access is not None and operator.access is not None:
            self._access.reload(operator.access)
        if self._http is not None and operator.http is not None:
            self._http.reload(operator.http)

    def _limit(self, config: Config) -> None:
        """Shares the limits out."""
        self._most_clients = self._granted_clients = max(LEAST_CLIENTS, config.sockets // 2)
        self._budget.limit_bytes = config.memory_mb * MEMORY_SHARE * 1e6
        self._route.send.max_connections = connection_limit(config.sockets)
        self._route.admit.cpu.set_cores(config.cores)

    def _short_of_descriptors(self) -> None:
        """The system gives us no descriptor more, whatever our limit says: clients get fewer places.

        Guards against idle clients that hold all descriptors, so that no connection to the change log or to
        a cache comes up again.
        """
        log_limited(
            LogEvent.DESCRIPTORS_EXHAUSTED,
            clients=len(self._clients),
            connections=self._route.send.connection_count(),
        )
        if len(self._clients) <= self._most_clients:
            held = len(self._clients) + self._route.send.connection_count()
            self._most_clients = max(LEAST_CLIENTS, min(self._most_clients, int(CLIENTS_PART * held)))
        self._make_room()

    def _try_more_clients(self) -> None:
        """Gives back, bit by bit, the places that a lack of descriptors took."""
        more = max(1, round(PLACES_BACK * self._most_clients))
        self._most_clients = min(self._granted_clients, self._most_clients + more)

    async def _drain(self, listener: socket.socket, since: float) -> None:
        """Goes on accepting for the grace, finishes what was taken, and ends well before SIGKILL.

        `since`: when we were told to end, in trio's seconds.
        """
        end = since + self._last_answer
        if self._http is not None:
            self._http.drain()
        self._route.admit.final_deadline_ms = self._clock.now() + (end - trio.current_time()) * 1000.0
        await trio.sleep_until(min(since + GRACE, end))
        # Guards against requests that are lost with their connections, as those wait to be accepted.
        while trio.current_time() < end and select.select([listener], [], [], 0)[0]:
            await trio.sleep(0.01)
        if self._http is not None:
            self._http.stop()
        self._accepting.cancel()  # the task is ended before the socket is, which it may be about to wait for
        await trio.lowlevel.checkpoint()
        self._take_last(listener)
        listener.close()
        while trio.current_time() < end and not self._idle():
            await trio.sleep(0.01)
        self._route.expire()
        # Guards against what comes in at the very end: it is answered, or meets a connection that we have
        # ended in order. A reset would take along answers that are written and not yet read.
        with trio.move_on_at(end + self._last_write):
            while self._clients or (self._http is not None and self._http.busy):
                for client in list(self._clients):
                    client.close_if_idle()
                await trio.sleep(0.01)
        log(LogEvent.ROUTER_STOPPED, open=len(self._route.requests))

    def _take_last(self, listener: socket.socket) -> None:
        """Accepts what came since the last look: with the listener, it would be reset."""
        most = self._most_clients * (1.0 + PLACES_PART)
        while len(self._clients) < most:
            try:
                self._take(listener.accept()[0])
            except OSError:
                break

    def _idle(self) -> bool:
        """Whether nothing is open or coming in. Who has only just connected may be about to ask."""
        if self._http is not None and self._http.busy:
            return False
        young = self._clock.now() - MUTE_FOR
        return not any(not request.answered for request in self._route.requests) and all(
            client.resting() and not (client.mute and client.last_used > young) for client in self._clients
        )

    async def _stats(self) -> None:
        while True:
            await trio.sleep(STATS_EVERY)
            # Guards against what has grown old and then ended, as connections do: the oldest generation is
            # looked through so seldom by itself that a node of 64 MB is full before. It holds few objects.
            gc.collect()
            self._route.recorder.log_statistics(
                open=len(self._route.requests),
                clients=len(self._clients),
                links=self._route.send.connection_count(),
            )
            self._try_more_clients()
            limit = self._clock.now() - CLIENT_IDLE
            for client in list(self._clients):
                if client.idle() and client.last_used <= limit:
                    client.close_if_idle()

    async def _check(self) -> None:
        """Looks at what clients are sending, now and then; what lies in their sockets by then has come."""
        while True:
            await trio.sleep(CHECK_EVERY)
            for client in list(self._clients):
                client.check(self._clock.now())

    def _make_room(self) -> bool:
        """Closes clients that say nothing, else those idle, else those halfway, for longest; says whether.

        Guards against connections that are merely held keeping out those that ask, as when each client asks
        once and stays, or never asks to the end; and against losing a request that has come, but that we have
        not got round to reading.
        """
        self._making_room &= self._clients
        surplus = len(self._clients) - self._most_clients  # where places were taken back
        places = max(round(self._most_clients * PLACES_PART), surplus) - len(self._making_room)
        if places <= 0:
            return False
        now = self._clock.now()
        mute = [client for client in self._clients if client.mute and client.last_used <= now - MUTE_FOR]
        idle = mute or [
            client
            for client in self._clients
            if not client.leaving() and client.idle() and client.last_used <= now - IDLE_FOR
        ]
        idle = idle or [
            client
            for client in self._clients
            if not client.leaving() and client.quiet() and client.last_used <= now - HALF_FOR
        ]
        for client in heapq.nsmallest(places, idle, key=lambda client: client.last_used):
            if client.leaving():
                client.close()
            elif client.mute:
                client.close_if_idle(0.0)
            elif client.resting():
                client.close_if_idle(WAY_OUT)
                if client.leaving():  # it may have begun to ask just then
                    self._making_room.add(client)
            elif not client.unread():
                client.close()
        return bool(idle)

    async def _accept(self, listener: socket.socket) -> None:
        with self._accepting:
            await self._accept_all(listener)

    async def _accept_all(self, listener: socket.socket) -> None:
        while True:
            try:
                await trio.lowlevel.wait_readable(listener)
                if len(self._clients) >= self._most_clients:  # and only now somebody waits for a place
                    await trio.sleep(0.001 if self._make_room() else 0.01)
                    continue
                self._take(listener.accept()[0])
            except BlockingIOError:
                continue
            except OSError as error:
                # Guards against running out of descriptors: wait, and let idle connections go.
                if error.errno in RESOURCE_ERRNOS:
                    self._short_of_descriptors()
                    await trio.sleep(0.05)

    def _take(self, sock: socket.socket) -> None:
        """A new client counts at once: guards against an end of the drain that does not see it."""
        sock.setblocking(False)
        client = Client(sock, self._front, self._clock.now, self._budget)
        self._clients.add(client)
        self._spawn(partial(self._serve, sock, client))

    async def _serve(self, sock: socket.socket, client: Client) -> None:
        """One client connection."""
        with sock:
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                why = await client.run()
                if why not in ("closed by the client", "closed by us"):
                    log_limited(LogEvent.CLIENT_CONNECTION_ABORTED, reason=why)
            finally:
                self._clients.discard(client)


async def serve(
    config: Config,
    listener: socket.socket,
    operator: Path | None = None,
    datagrams: socket.socket | None = None,
) -> None:
    """Runs an edge router on sockets that are bound already."""
    async with trio.open_nursery() as nursery:
        await Server(config, nursery, operator, datagrams).run(listener)


def _calm_collector() -> None:
    """What is there at the start stays, and requests leave few cycles: look for them not too often.

    Guards against closed connections that pile up: each is a cycle that may hold 50 KB of buffers and
    answers, and few objects, so that a high threshold is reached after hundreds of them.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(2_000, 10, 20)


async def _main(config: Config, operator: Path | None) -> int:
    with socket.socket() as listener:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(config.listen)
        except OSError as error:
            print(
                f"stonecove: can't listen on {config.listen[0]}:{config.listen[1]}: {error.strerror}",
                file=sys.stderr,
            )
            return 2
        listener.listen(BACKLOG)
        try:
            datagrams = _datagrams(config, operator) if operator is not None else None
        except OSError as error:
            print(f"stonecove: can't listen on {config.peer_listen}: {error.strerror}", file=sys.stderr)
            return 2
        _calm_collector()
        await serve(config, listener, operator, datagrams)
    return 0


def _datagrams(config: Config, operator: Path) -> socket.socket | None:
    """Where other routers speak to us, if they are to; raises OSError."""
    from stonecove.operator_config.reader import read

    if read(operator).operator.swarm is None:
        return None
    from stonecove.server.swarm import bound

    return bound(config)


def _check_shared() -> str:
    """What is wrong with the supervisor's own words; empty if nothing is."""
    if leases := os.environ.get("STONECOVE_LEASES"):
        from stonecove.server.leases import LeaseFile, LeaseFileError

        try:
            LeaseFile.read(Path(leases))
        except LeaseFileError as error:
            return f"stonecove: {error}"
    return ""


def _check(operator: Path, config: Config) -> str:
    """What is wrong with an operator's file; empty if it can be used. Guards against finding out half
    started.
    """
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.operator_config.reader import read

    try:
        found = read(operator).operator
    except OperatorError as error:
        return str(error)
    if found.access is not None:
        from stonecove.server.access import AccessError, policies_of, read_ring

        try:
            read_ring(Path(found.access.ring))
            policies_of(found.access)
        except AccessError as error:
            return f"stonecove: {error}"
    if found.swarm is not None:
        from stonecove.server.swarm import usable

        if wrong := usable(config):
            return f"stonecove: {operator}: {wrong}"
    return ""


def main(operator: Path | None = None) -> int:
    """Entry point of the edge router; STONECOVE_OPERATOR names an operator's file if no argument does."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until the router heeds them, and once it has ended
    if pipe := os.environ.get("STONECOVE_LOG"):
        from stonecove.runtime.pipe import open_pipe_sink

        try:
            set_log_sink(open_pipe_sink(pipe))
        except OSError as error:
            print(f"stonecove: {pipe}: {error.strerror}", file=sys.stderr)
    if operator is None and (named := os.environ.get("STONECOVE_OPERATOR")):
        operator = Path(named)
    try:
        config = read_config()
    except ConfigError as error:
        print(f"stonecove: {error}", file=sys.stderr)
        return 2
    if operator is not None and (wrong := _check(operator, config)):
        print(wrong, file=sys.stderr)
        return 2
    if wrong := _check_shared():
        print(wrong, file=sys.stderr)
        return 2
    return trio.run(_main, config, operator)

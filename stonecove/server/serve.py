"""The lifecycle of an edge router: start, readiness, signals, reload, drain and stop."""

from __future__ import annotations

import gc
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

from stonecove.discovery.address_owners import AddressOwners
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
from stonecove.server.client_eviction import (
    EVICTION_FRACTION,
    EVICTION_LINGER_S,
    MIN_USE_MS,
    select_for_eviction,
)
from stonecove.server.config import Config, ConfigError, read_config
from stonecove.state.budget import MemoryBudget
from stonecove.state.client_activity import PlaceUse
from stonecove.transport.change_log_follower import ChangeLogClient
from stonecove.transport.client_connection import ClientConnection as Client
from stonecove.transport.upstream_connection import RESOURCE_ERRNOS, UpstreamConnection

if TYPE_CHECKING:
    from stonecove.operator_config.records import ConfigurationRecord, Operator
    from stonecove.server.access import AccessController
    from stonecove.server.configuration import ConfigurationAgent
    from stonecove.server.http import HttpListener
    from stonecove.server.leases import LeaseClient
    from stonecove.server.members import Members
    from stonecove.server.reconfigure import ActiveSettings
    from stonecove.server.swarm import SwarmAgent

LISTEN_BACKLOG = 1024
SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
TIMER_RESOLUTION_S = 0.005  # timers fire in steps: each wake-up costs as much as many callbacks
ACCEPT_GRACE_S = 0.8  # after SIGTERM, new connections and requests are accepted for this long
KILL_AFTER_DEADLINE_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline plus this time
MAX_COUNTED_DEADLINE_S = 3.0  # a longer deadline counts as this much towards the time of SIGKILL
ANSWER_MARGIN_S = 0.5  # all requests are answered this long before SIGKILL
MIN_ANSWER_MARGIN_S = 0.1  # used where deadlines are so short that requests still arrive at that time
FINAL_WRITE_S = 0.3  # time left after the last answer to write buffered answers
MEMORY_SHARE = 0.25  # share of the memory limit for buffered requests and answers, which are copied
STATISTICS_INTERVAL_S = 10.0
CLIENT_IDLE_TIMEOUT_MS = 60_000.0  # a client connection without an open request is closed after this time
CLIENT_CHECK_INTERVAL_S = 0.25  # between two checks of what clients are sending
MAX_ACCEPTS_PER_TURN = 16  # else new clients wait for as many turns of all others as are ahead of them
MIN_CLIENTS = 8  # clients that are accepted, however few descriptors there are
CLIENT_DESCRIPTOR_FRACTION = 0.6  # clients' share of the descriptors that the system turned out to have
LIMIT_RECOVERY_FRACTION = 0.125  # growth of a reduced client limit at each output of statistics


class Server:
    """One edge router."""

    def __init__(
        self,
        config: Config,
        nursery: trio.Nursery,
        operator: Path | None = None,
        datagrams: socket.socket | None = None,
    ) -> None:
        """Create a router; `datagrams` is the socket for messages from other routers.

        Raises OperatorError or OSError for an operator file that can't be used.
        """
        self._config = config
        self._nursery = nursery
        self._clock = Clock()
        self._earlier_timer_set = trio.Event()  # a timer was set that expires before the one waited for
        self._timers = Timers(self._clock, trio.current_time, self._wake_timers)
        self._request_queued = trio.Event()  # a request waits for its decision
        self._clients: set[Client] = set()
        self._evicting: set[Client] = set()  # idle clients that are being closed to admit others
        self._accepting = trio.CancelScope()
        self._starting = trio.CancelScope()
        self._stopping = trio.Event()
        self._stop_signal: tuple[str, float] = "", 0.0  # its name and the time of its arrival on trio's clock
        self._reload_pending = False  # SIGHUP arrived during the start
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
        self._apply_limits(config)
        self._front = FastCgiFrontend(config.settings, self._route)
        self._operator = operator
        self._changelog = ChangeLogClient(*config.changelog, Follower(config.last))
        self._changelog.on_descriptor_shortage = self._on_descriptors_exhausted
        self._members: Members | None = None
        self._leases: LeaseClient | None = None
        if leases := os.environ.get("STONECOVE_LEASES"):
            from stonecove.server.leases import create_lease_client

            self._leases = create_lease_client(
                Path(leases), config.name, config.settings, self._route, self._clock, self._spawn
            )
        self._http: HttpListener | None = None
        self._access: AccessController | None = None
        if operator is not None:
            from stonecove.operator_config.reader import read

            self._create_optional_frontends(read(operator).operator)
        if tracing := os.environ.get("STONECOVE_TRACE"):
            from stonecove.server.tracing import start_tracing

            start_tracing(tracing, config, self._route)
        if operator is not None:
            from stonecove.server.members import Members

            self._members = Members(operator, config, self._route, self._clock, self._changelog, self._spawn)
        self._swarm: SwarmAgent | None = None
        record = self._members.operator.swarm if self._members is not None else None
        if self._members is not None and record is not None and datagrams is not None:
            from stonecove.server.swarm import SwarmAgent

            self._swarm = SwarmAgent(record, config, datagrams, self._route, self._clock, self._leases)
            self._members.on_fleet_size = self._swarm.set_presence_count
            self._members.query_handlers["swarm"] = self._swarm.handle_query
        self._active_settings: ActiveSettings | None = None
        self._configuration: ConfigurationAgent | None = None
        self._update_reconfiguration()
        self._set_drain_times(config.settings)

    def _set_drain_times(self, settings: Settings) -> None:
        """Set how long a drain may take: SIGKILL follows SIGTERM after the longest deadline."""
        longest = max(cls.deadline_ms for cls in settings.classes) / 1000.0
        kill = min(longest, MAX_COUNTED_DEADLINE_S) + KILL_AFTER_DEADLINE_S  # seconds after SIGTERM
        self._last_answer_s = max(kill - ANSWER_MARGIN_S, min(ACCEPT_GRACE_S, kill - MIN_ANSWER_MARGIN_S))
        self._final_write_s = min(FINAL_WRITE_S, kill - MIN_ANSWER_MARGIN_S / 2 - self._last_answer_s)

    def _update_reconfiguration(self) -> None:
        """Turn changes of the settings at run time on or off, as the operator file says.

        A router that takes part in roll-outs keeps doing so until it ends.
        """
        if self._configuration is not None:
            return
        members = self._members
        record = members.operator.configuration if members is not None else None
        if members is None or record is None or not record.settings:
            self._active_settings = None
            if members is not None:
                members.query_handlers.pop("configuration", None)
        elif self._active_settings is None:
            from stonecove.server.reconfigure import ActiveSettings

            others = [component for component in (self._leases, self._swarm) if component is not None]
            self._active_settings = ActiveSettings(
                self._config.settings,
                self._config.version,
                self._route,
                [self, members, *others],
                self._derived_fleet_size,
                self._clock.now,
            )
            members.query_handlers["configuration"] = self._active_settings.handle_query
        if members is not None and record is not None and record.path and self._active_settings is not None:
            self._follow_rollouts(members, record, self._active_settings)

    def _follow_rollouts(
        self, members: Members, record: ConfigurationRecord, active_settings: ActiveSettings
    ) -> None:
        """Follow changes of the settings in the session with the coordination service."""
        from stonecove.server.configuration import ConfigurationAgent

        agent = ConfigurationAgent(
            record,
            self._config,
            self._config.table,
            active_settings,
            self._route.recorder.counts,
            self._clock,
        )
        members.add_session_listener(agent.attach)
        self._spawn(agent.run)
        self._configuration = agent

    def _derived_fleet_size(self) -> FleetSizeChanged | None:
        """Return the number of routers where it is derived from membership, else None."""
        if self._swarm is not None:
            return self._swarm.derived_fleet_size()
        return self._members.derived_fleet_size() if self._members is not None else None

    def rejection_reason(self, settings: Settings) -> str:
        """Return an empty text: the server itself can apply any settings."""
        return ""

    def reconfigure(self, settings: Settings) -> None:
        """Apply settings to the front-ends and to the times of the drain."""
        self._config = replace(self._config, settings=settings)
        self._front.reconfigure(settings)
        if self._http is not None:
            self._http.front.reconfigure(settings)
        self._set_drain_times(settings)

    def _create_optional_frontends(self, operator: Operator) -> None:
        """Create token checks and the HTTP front-end, if the operator file has them.

        Raises OSError or AccessError.
        """
        settings = self._config.settings
        depot = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        if operator.access is not None:
            from stonecove.server.access import AccessController

            self._access = AccessController(operator.access, depot, self._clock, self._route)
            if operator.access.fastcgi:
                self._front.token_checker = self._access.token_checker
        if operator.http is not None:
            from stonecove.frontends.http import HttpFrontend
            from stonecove.server.http import HttpListener

            token_checker = self._access.token_checker if self._access is not None else None
            scheme = "https" if operator.http.certificate else "http"
            front = HttpFrontend(settings, self._route, self._clock, token_checker, scheme)
            self._http = HttpListener(operator.http, front, self._spawn, self._budget, self._clock.now)

    def _connect(self, owner: Owner, address: tuple[str, int], timeout_s: float) -> UpstreamConnection:
        connection = UpstreamConnection(
            owner, address, timeout_s, self._clock.now, self._on_descriptors_exhausted
        )
        self._spawn(connection.run)
        return connection

    def _wake_timers(self) -> None:
        self._earlier_timer_set.set()

    async def _run_timers(self) -> None:
        """Run the callbacks of timers as they expire."""
        while True:
            self._earlier_timer_set = trio.Event()
            now = trio.current_time()
            self._timers.run_due()
            with trio.move_on_at(max(self._timers.next_due(), now + TIMER_RESOLUTION_S)):
                await self._earlier_timer_set.wait()

    def _wake_decide(self) -> None:
        self._request_queued.set()

    async def _decide(self) -> None:
        """Decide queued requests in batches, and let sockets be read and outcomes be recorded in between."""
        while True:
            if not self._route.decide():
                self._request_queued = trio.Event()
                await self._request_queued.wait()
            else:
                await trio.lowlevel.checkpoint()

    def _spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        self._nursery.start_soon(self._run_isolated, task)

    @staticmethod
    async def _run_isolated(task: Callable[[], Awaitable[None]]) -> None:
        """Run a task and log its failure, which would otherwise end all connections."""
        try:
            await task()
        except Exception as error:
            log(LogEvent.INTERNAL_ERROR, where="connection", error=repr(error))

    async def run(self, listener: socket.socket) -> None:
        """Serve until SIGTERM or SIGINT, then drain; reload the configuration on SIGHUP.

        Signals are blocked (see `main`) except while they are handled here. Otherwise one could end the
        process before it is ready or while it drains.
        """
        with trio.open_signal_receiver(*SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._handle_signals, signals)
                    await self._run_lifecycle(listener)
                    # Otherwise a task could go on using a socket that is closed by now.
                    self._nursery.cancel_scope.cancel()
            finally:
                signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    async def _handle_signals(self, signals: AsyncIterator[int]) -> None:
        """Handle signals; after the first one that ends the router, all others are ignored."""
        async for number in signals:
            if self._stopping.is_set():
                continue
            if number != signal.SIGHUP:
                self._stop_signal = signal.Signals(number).name, trio.current_time()
                self._stopping.set()
                self._starting.cancel()
            elif self._front.ready:
                self._reload()
            else:
                self._reload_pending = True

    async def _run_lifecycle(self, listener: socket.socket) -> None:
        """Start, serve until a signal asks to stop, and drain."""
        # Several sources settle among themselves which node has an address.
        sink = AddressOwners(self._route) if self._members is None else self._members
        for event in self._config.known:
            sink.handle_membership_event(event)
        for task in (self._run_timers, self._decide, self._run_statistics, self._check_clients):
            self._nursery.start_soon(task)
        self._nursery.start_soon(self._changelog.run, sink)
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
            self._set_ready()
        await self._stopping.wait()
        name, since = self._stop_signal
        log(LogEvent.ROUTER_STOPPING, signal=name, open=len(self._route.requests), within=self._last_answer_s)
        self._notify("STOPPING=1")
        if self._swarm is not None:
            self._swarm.announce_draining()
        if self._members is not None:
            await self._members.announce_draining()
        await self._drain(listener, since)
        if self._swarm is not None:
            self._swarm.close()
        if self._members is not None:
            await self._members.close()

    def _set_ready(self) -> None:
        """Accept requests from now on, and report readiness."""
        self._front.ready = True
        if self._http is not None:
            self._http.front.ready = True
            self._http.start()
            log(LogEvent.HTTP_LISTENING, listen=self._http.address)
        self._notify("READY=1")
        log(
            LogEvent.ROUTER_READY,
            name=self._config.name,
            listen=":".join(map(str, self._config.listen)),
            nodes=len(self._route.nodes),
        )
        if self._reload_pending:
            self._reload()

    @staticmethod
    def _notify(state: str) -> None:
        """Notify the service manager, if NOTIFY_SOCKET names one."""
        if os.environ.get("NOTIFY_SOCKET"):
            from stonecove.runtime.notify import notify

            notify(state)

    def _reload(self) -> None:
        """Apply those parts of a new configuration that can change while requests are served.

        The whole file is checked first, so that no half of a configuration is applied and an invalid file
        does not end the router.
        """
        try:
            config = read_config()
        except ConfigError as error:
            log(LogEvent.CONFIG_RELOAD_REJECTED, reason=str(error))
            if self._active_settings is not None:
                self._active_settings.refuse(str(error))
            return
        fields = (
            self._apply_file_settings(config, self._active_settings)
            if self._active_settings is not None
            else {}
        )
        if fields.get("settings") == "in-force":  # the file's settings, overlaid by what is rolled out
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
            **fields,
        )
        self._apply_limits(config)
        self._changelog.change_address(*config.changelog)
        if self._members is not None:
            self._members.reload(replace(config, settings=self._config.settings))
            self._update_reconfiguration()
        if self._operator is not None and (self._access is not None or self._http is not None):
            self._reload_frontends(self._operator)

    def _apply_file_settings(self, config: Config, active_settings: ActiveSettings) -> dict[str, object]:
        """Apply the settings of a reloaded file if possible; return the log fields that state the result."""
        from stonecove.server.reconfigure import SettingsRefused

        try:
            if self._configuration is not None:
                self._configuration.rebase(config.table)
            else:
                active_settings.apply(config.settings, config.version)
        except SettingsRefused as error:
            return {"settings": f"refused: {error}", "version": active_settings.version}
        return {"settings": "in-force", "version": active_settings.version}

    def _reload_frontends(self, path: Path) -> None:
        """Reload keys, policies, revocations and certificates, each completely or not at all."""
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

    def _apply_limits(self, config: Config) -> None:
        """Divide the configured limits between clients, buffers, connections and the CPU budget."""
        self._max_clients = self._configured_max_clients = max(MIN_CLIENTS, config.sockets // 2)
        self._budget.limit_bytes = config.memory_mb * MEMORY_SHARE * 1e6
        self._route.send.max_connections = connection_limit(config.sockets)
        self._route.admit.cpu.set_cores(config.cores)

    def _on_descriptors_exhausted(self) -> None:
        """Lower the client limit when the system has no more descriptors, whatever the configured limit is.

        Otherwise idle clients hold all descriptors, and connections to the change log or to a cache can't be
        opened again.
        """
        log_limited(
            LogEvent.DESCRIPTORS_EXHAUSTED,
            clients=len(self._clients),
            connections=self._route.send.connection_count(),
        )
        if len(self._clients) <= self._max_clients:
            in_use = len(self._clients) + self._route.send.connection_count()
            self._max_clients = max(
                MIN_CLIENTS, min(self._max_clients, int(CLIENT_DESCRIPTOR_FRACTION * in_use))
            )
        self._evict_clients()

    def _raise_client_limit(self) -> None:
        """Raise a client limit that was lowered for a lack of descriptors by one step."""
        step = max(1, round(LIMIT_RECOVERY_FRACTION * self._max_clients))
        self._max_clients = min(self._configured_max_clients, self._max_clients + step)

    async def _drain(self, listener: socket.socket, since: float) -> None:
        """Accept requests for the grace period, finish those accepted, and end well before SIGKILL.

        `since` is the time of the signal on trio's clock, in seconds.
        """
        end = since + self._last_answer_s
        if self._http is not None:
            self._http.drain()
        self._route.admit.final_deadline_ms = self._clock.now() + (end - trio.current_time()) * 1000.0
        await trio.sleep_until(min(since + ACCEPT_GRACE_S, end))
        # Connections that wait to be accepted would be reset when the listener closes, with their requests.
        while trio.current_time() < end and select.select([listener], [], [], 0)[0]:
            await trio.sleep(0.01)
        if self._http is not None:
            self._http.stop()
        self._accepting.cancel()  # the task, which may be about to wait for the socket, ends before it closes
        await trio.lowlevel.checkpoint()
        self._accept_backlog(listener)
        listener.close()
        while trio.current_time() < end and not self._is_idle():
            await trio.sleep(0.01)
        self._route.expire()
        # A request that arrives at the very end is answered or meets a connection that was closed in order.
        # A reset would discard answers that were written and not yet read.
        with trio.move_on_at(end + self._final_write_s):
            while self._clients or (self._http is not None and self._http.requests_in_flight):
                for client in list(self._clients):
                    client.close_in_order()
                await trio.sleep(0.01)
        log(LogEvent.ROUTER_STOPPED, open=len(self._route.requests))

    def _accept_backlog(self, listener: socket.socket) -> None:
        """Accept the connections still in the backlog: closing the listener would reset them."""
        limit = self._max_clients * (1.0 + EVICTION_FRACTION)
        while len(self._clients) < limit:
            try:
                self._add_client(listener.accept()[0])
            except OSError:
                break

    def _is_idle(self) -> bool:
        """Return whether nothing is open or arriving; a client that has just connected may send a request."""
        if self._http is not None and self._http.requests_in_flight:
            return False
        recent = self._clock.now() - MIN_USE_MS[PlaceUse.SILENT]
        if any(not request.answered for request in self._route.requests):
            return False
        for client in self._clients:
            use, since_ms = client.place_status()
            if use in (PlaceUse.BUSY, PlaceUse.RECEIVING) or (use is PlaceUse.SILENT and since_ms > recent):
                return False
        return True

    async def _run_statistics(self) -> None:
        """Output statistics, raise a lowered client limit and close idle clients at intervals."""
        while True:
            await trio.sleep(STATISTICS_INTERVAL_S)
            # Connections grow old before they end, and their cycles are found by a collection of the oldest
            # generation alone. By itself it runs so seldom that a node of 64 MB is full before. It is cheap,
            # as that generation holds few objects.
            gc.collect()
            self._route.recorder.log_statistics(
                open=len(self._route.requests),
                clients=len(self._clients),
                links=self._route.send.connection_count(),
            )
            self._raise_client_limit()
            limit = self._clock.now() - CLIENT_IDLE_TIMEOUT_MS
            for client in list(self._clients):
                use, since_ms = client.place_status()
                if use in (PlaceUse.IDLE, PlaceUse.WASTING) and since_ms <= limit:
                    client.close_in_order()

    async def _check_clients(self) -> None:
        """Check at intervals what clients are sending; what their sockets hold by then counts as received."""
        while True:
            await trio.sleep(CLIENT_CHECK_INTERVAL_S)
            for client in list(self._clients):
                client.expire_overdue(self._clock.now())

    def _evict_clients(self) -> bool:
        """Close the clients that make the least of their places; return whether there were any.

        A request that has arrived but is not read yet is not lost.
        """
        self._evicting &= self._clients
        surplus = len(self._clients) - self._max_clients  # where the limit was lowered
        places = max(round(self._max_clients * EVICTION_FRACTION), surplus) - len(self._evicting)
        if places <= 0:
            return False
        selected = select_for_eviction(self._clients, places, self._clock.now())
        for client, use in selected:
            client.evict(use, EVICTION_LINGER_S)
            if client.is_closing() and use not in (PlaceUse.SILENT, PlaceUse.LINGERING):
                self._evicting.add(client)
        return bool(selected)

    async def _accept(self, listener: socket.socket) -> None:
        with self._accepting:
            await self._accept_clients(listener)

    async def _accept_clients(self, listener: socket.socket) -> None:
        while True:
            try:
                await trio.lowlevel.wait_readable(listener)
                if len(self._clients) >= self._max_clients:  # evicts only once a client waits to be accepted
                    await trio.sleep(0.001 if self._evict_clients() else 0.01)
                    continue
                for _ in range(min(MAX_ACCEPTS_PER_TURN, self._max_clients - len(self._clients))):
                    self._add_client(listener.accept()[0])
            except BlockingIOError:
                continue
            except OSError as error:
                # Without descriptors, idle connections are closed before the next attempt.
                if error.errno in RESOURCE_ERRNOS:
                    self._on_descriptors_exhausted()
                    await trio.sleep(0.05)

    def _add_client(self, sock: socket.socket) -> None:
        """Register a new client at once, so that the end of the drain does not miss it, and serve it."""
        sock.setblocking(False)
        client = Client(sock, self._front, self._clock.now, self._budget)
        self._clients.add(client)
        self._spawn(partial(self._serve_client, sock, client))

    async def _serve_client(self, sock: socket.socket, client: Client) -> None:
        """Serve one client connection until it ends."""
        with sock:
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                reason = await client.run()
                if reason not in ("closed by the client", "closed by us"):
                    log_limited(LogEvent.CLIENT_CONNECTION_ABORTED, reason=reason)
            finally:
                self._clients.discard(client)


async def serve(
    config: Config,
    listener: socket.socket,
    operator: Path | None = None,
    datagrams: socket.socket | None = None,
) -> None:
    """Run an edge router on sockets that are bound already."""
    async with trio.open_nursery() as nursery:
        await Server(config, nursery, operator, datagrams).run(listener)


def _tune_garbage_collector() -> None:
    """Exclude the objects of the start from collection, and limit how many objects may await it.

    Requests leave few cycles, but each closed connection is one. It may hold 50 KB of buffers and answers in
    few objects, so that a high threshold would be reached after hundreds of them only.
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
        listener.listen(LISTEN_BACKLOG)
        try:
            datagrams = _bind_peer_socket(config, operator) if operator is not None else None
        except OSError as error:
            print(f"stonecove: can't listen on {config.peer_listen}: {error.strerror}", file=sys.stderr)
            return 2
        _tune_garbage_collector()
        await serve(config, listener, operator, datagrams)
    return 0


def _bind_peer_socket(config: Config, operator: Path) -> socket.socket | None:
    """Bind the socket for messages from other routers, if gossip is configured; raises OSError."""
    from stonecove.operator_config.reader import read

    if read(operator).operator.swarm is None:
        return None
    from stonecove.server.swarm import bind_datagram_socket

    return bind_datagram_socket(config)


def _check_lease_file() -> str:
    """Return the error in the supervisor's lease file; empty if there is none."""
    if leases := os.environ.get("STONECOVE_LEASES"):
        from stonecove.server.leases import LeaseFile, LeaseFileError

        try:
            LeaseFile.read(Path(leases))
        except LeaseFileError as error:
            return f"stonecove: {error}"
    return ""


def _check_operator_file(operator: Path, config: Config) -> str:
    """Return the error in an operator file, before anything is started; empty if there is none."""
    from stonecove.operator_config.grammar import OperatorError
    from stonecove.operator_config.reader import read

    try:
        record = read(operator).operator
    except OperatorError as error:
        return str(error)
    if record.access is not None:
        from stonecove.server.access import AccessError, build_routes, read_key_ring

        try:
            read_key_ring(Path(record.access.ring))
            build_routes(record.access)
        except AccessError as error:
            return f"stonecove: {error}"
    if record.swarm is not None:
        from stonecove.server.swarm import swarm_config_error

        if problem := swarm_config_error(config):
            return f"stonecove: {operator}: {problem}"
    return ""


def main(operator: Path | None = None) -> int:
    """Run the edge router; STONECOVE_OPERATOR names the operator file if no argument does."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # before and after the router handles them
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
    if operator is not None and (problem := _check_operator_file(operator, config)):
        print(problem, file=sys.stderr)
        return 2
    if problem := _check_lease_file():
        print(problem, file=sys.stderr)
        return 2
    return trio.run(_main, config, operator)

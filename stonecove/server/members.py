"""Membership from several sources: connects sessions, rosters and their merge to the router.

Off on the platform. Decisions are in `stonecove.discovery` (roster, merge, presence, pace) and
`stonecove.protocols.zookeeper.session`; this module connects them to clocks, sockets and each other.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import stat
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import trio

from stonecove.discovery import Member, MembershipEvent, MembersUpdate, PurgeUpdate, presence
from stonecove.discovery.merge import EndpointMerger, EndpointSource
from stonecove.discovery.pace import UpdatePacer
from stonecove.discovery.records import RecordError, TopologyNames, parse_node_id
from stonecove.discovery.roster import Claim
from stonecove.discovery.trace import MembershipTrace, explanation_to_dict
from stonecove.operator_config.grammar import OperatorError
from stonecove.operator_config.reader import read
from stonecove.operator_config.records import Operator
from stonecove.pipeline.route import Route
from stonecove.routing.endpoints import NodeId, NodeState, reported_state
from stonecove.routing.events import FleetSizeChanged
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.unix import bind_private, serve_connections
from stonecove.server.config import Config
from stonecove.server.coordination import Coordination, Spawn, roster_rules, session_key
from stonecove.state.requests import Attempt
from stonecove.transport.change_log_follower import ChangeLogClient
from stonecove.transport.zookeeper import ZooKeeperClient

FIRST_LIST_TIMEOUT_S = 3.0  # for the first endpoint list, before the router serves without it
MAINTENANCE_INTERVAL_S = 0.25  # between two checks of time limits
DRAIN_ANNOUNCEMENT_TIMEOUT_S = 0.15  # for the acknowledgement of the announced drain
CLOSE_TIMEOUT_S = 0.2
NAME_RETRY_S = 5.0  # after which registration under a name that was taken is retried
MAX_TRACED_REMOVED_NODES = 10_000
MAX_QUERY_BYTES = 1000


class Members:
    """All sources of one router, merged. Replaces the route as the sink of the change log."""

    def __init__(
        self, path: Path, config: Config, route: Route, clock: Clock, changelog: ChangeLogClient, spawn: Spawn
    ) -> None:
        """Read the operator file at `path`, and create the coordination that it configures.

        Raises OperatorError for a file that can't be used, OSError for a credential that can't be read.
        """
        self._path = path
        self.config = config
        self.clock = clock
        self.seed = config.seed
        self.names = TopologyNames(config.settings.zones, config.settings.kinds)
        self._route = route
        self._changelog = changelog
        self._spawn = spawn
        self.operator = read(path).operator
        self._state = "starting"
        self._started_ms = clock.now()
        self._change_log_source = EndpointSource("changelog", self.operator.changelog.rank)
        self._zookeeper_source = EndpointSource(
            "zookeeper", self.operator.zookeeper.rank if self.operator.zookeeper else 100
        )
        self.merge = EndpointMerger(self._sources(), self.operator.members.keep)
        self.trace = MembershipTrace(self.operator.members.trace)
        self._pace = UpdatePacer(self.operator.members.batch / 1000.0)
        self._pending: dict[NodeId, Member] = {}
        self._pending_woken = trio.Event()
        self._change_log_nodes: set[NodeId] = set()  # nodes that the change log lists
        self._claims_emitted = False
        self._sources_unavailable = False
        self._trace_pruned_at_ms = 0.0
        self._socket_scope = trio.CancelScope()
        self._coordination: Coordination | None = None
        self._replacement: Coordination | None = None  # takes over once it has read its list
        # Called with the size of the fleet, where it is derived.
        self.on_fleet_size: Callable[[FleetSizeChanged], None] = route.post
        # Handlers of other components for queries on the members socket, by their first word.
        self.query_handlers: dict[str, Callable[[list[str]], dict[str, Any]]] = {}
        self._fleet_size: FleetSizeChanged | None = None  # as derived last
        self._name_taken_at = 0.0  # when the name was found to be taken, on trio's clock; 0 if it is not
        self._session_listeners: list[Callable[[ZooKeeperClient], None]] = []
        if self.operator.zookeeper is not None:
            self._coordination = self._create_coordination(self.operator)
        route.send.on_write = self._on_written

    # -- called by the router --

    def start(self) -> None:
        """Start all tasks."""
        self._spawn(self._flush)
        self._spawn(self._run_maintenance)
        if self._coordination is not None:
            self._spawn(self._coordination.run)
        self._open_socket()

    async def ready(self) -> None:
        """Wait for the endpoint list, without which all requests would be rejected, and announce readiness.

        Gives up waiting after FIRST_LIST_TIMEOUT_S.
        """
        with trio.move_on_after(FIRST_LIST_TIMEOUT_S) as waiting:
            while not len(self._route.nodes) or (
                self._coordination is not None and not self._coordination.list_read.is_set()
            ):
                await trio.sleep(0.005)
        if waiting.cancelled_caught:
            log(LogEvent.ENDPOINT_LIST_DELAYED, nodes=len(self._route.nodes))
        self._announce_state("ready")

    def add_session_listener(self, listener: Callable[[ZooKeeperClient], None]) -> None:
        """Call `listener` with the session of the coordination service, and with each later replacement."""
        self._session_listeners.append(listener)
        if self._coordination is not None:
            listener(self._coordination.ensemble)

    async def announce_draining(self) -> None:
        """Announce that the router drains, and wait for the acknowledgement for a limited time."""
        acknowledged = trio.Event()
        self._announce_state("draining", acknowledged.set)
        if self._coordination is not None and self._coordination.registrar is not None:
            with trio.move_on_after(DRAIN_ANNOUNCEMENT_TIMEOUT_S) as waiting:
                await acknowledged.wait()
            log(LogEvent.PRESENCE_WITHDRAWN, acknowledged=not waiting.cancelled_caught)

    async def close(self) -> None:
        """Close the sessions explicitly, so that the router's node is removed at once."""
        for coordination in (self._coordination, self._replacement):
            if coordination is not None:
                coordination.ensemble.close()
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            while any(
                coordination is not None and coordination.ensemble.session.state.value != "closed"
                for coordination in (self._coordination, self._replacement)
            ):
                await trio.sleep(0.005)

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Handle an event of the change log: forward purges, take nodes as claims of one source."""
        if isinstance(event, PurgeUpdate):
            self._route.handle_membership_event(event)
            return
        now = self.clock.now()
        listed = {member.node.node_id for member in event.members}
        if event.is_snapshot:
            for ident in self._change_log_nodes - listed:
                self._claim(
                    self._change_log_source,
                    ident,
                    Claim(NodeState.REMOVED, None, "no longer in the complete list"),
                )
            self._change_log_nodes.clear()
        for member in event.members:
            ident, state = member.node.node_id, member.node.state
            if event.is_snapshot and self._is_repeated(self._change_log_source, ident, state, member):
                self._change_log_nodes.add(ident)
                continue
            self._claim(
                self._change_log_source,
                ident,
                Claim(state, member, f"the change log says {reported_state(state)}"),
            )
            if state is NodeState.REMOVED:
                self._change_log_nodes.discard(ident)
            else:
                self._change_log_nodes.add(ident)
        self.merge.set_current(self._change_log_source, True, now)
        self.apply_changes()

    def rejection_reason(self, settings: Settings) -> str:
        """Return why settings can't be applied: records in ZooKeeper use the names of the start."""
        names = TopologyNames(settings.zones, settings.kinds)
        if self.operator.zookeeper is None or names == self.names:
            return ""
        field = "zones" if names.zones != self.names.zones else "kinds"
        return f"{field}: other names need a restart beside sources.zookeeper, whose records are read by them"

    def reconfigure(self, settings: Settings) -> None:
        """Apply settings."""
        self.names = TopologyNames(settings.zones, settings.kinds)
        self.config = replace(self.config, settings=settings)

    def derived_fleet_size(self) -> FleetSizeChanged | None:
        """Return the number of routers that the coordination service lists; None if that is configured."""
        presence_record = self.operator.presence
        return self._fleet_size if presence_record is not None and presence_record.derived else None

    def reload(self, config: Config) -> None:
        """Reload the operator file, and apply it completely or not at all."""
        self.config = config
        try:
            operator = read(self._path).operator
            coordination = self._create_replacement(operator)
        except OperatorError as error:
            for problem in error.problems:
                log(LogEvent.OPERATOR_CONFIG_REJECTED, reason=str(problem))
            return
        except OSError as error:
            log(LogEvent.OPERATOR_CONFIG_REJECTED, reason=f"{error.filename}: {error.strerror}")
            return
        before, self.operator = self.operator, operator
        self._change_log_source = EndpointSource("changelog", operator.changelog.rank)
        self._zookeeper_source = EndpointSource(
            "zookeeper", operator.zookeeper.rank if operator.zookeeper else 100
        )
        now = self.clock.now()
        self.merge.update_ranks(self._sources(), operator.members.keep, now)
        self._pace.batch_delay_s = operator.members.batch / 1000.0
        self.trace.lines = type(self.trace.lines)(self.trace.lines, maxlen=operator.members.trace)
        if operator.zookeeper is None:
            self._drop_coordination(now)
        elif coordination is not None:
            for present in (self._coordination, self._replacement):
                if present is not None and present.registrar is not None:
                    present.registrar.retire()
            if self._replacement is not None:
                self._replacement.ensemble.close()
            self._replacement = coordination
            self._spawn(coordination.run)
            self._spawn(self._take_over)
        elif self._coordination is not None:
            self._coordination.roster.rules = roster_rules(operator.zookeeper)
            self._coordination.source = operator.zookeeper
        if operator.members.socket != before.members.socket:
            self._socket_scope.cancel()
            self._open_socket()
        log(LogEvent.OPERATOR_CONFIG_RELOADED, file=str(self._path), moves=coordination is not None)
        self.apply_changes()

    # -- internals --

    def _sources(self) -> tuple[EndpointSource, ...]:
        return (self._change_log_source, self._zookeeper_source)

    def _local_peer(self, operator: Operator) -> presence.Peer:
        name = operator.presence.name if operator.presence and operator.presence.name else self.config.name
        return presence.Peer(
            name,
            self.config.settings.zone,
            self._state,
            ":".join(map(str, self.config.listen)),
            self._started_ms,
        )

    def _create_coordination(self, operator: Operator) -> Coordination:
        assert operator.zookeeper is not None
        coordination = Coordination(
            operator.zookeeper,
            operator.presence,
            self._local_peer(operator),
            self,
            lambda ident, claim: self._on_claim(coordination, ident, claim),
        )
        return coordination

    def _on_claim(self, coordination: Coordination, ident: NodeId, claim: Claim) -> None:
        """Handle a roster's claim; those of a replacement that has not taken over yet are ignored."""
        if coordination is self._coordination and coordination.roster.snapshot_received:
            self._claim(self._zookeeper_source, ident, claim)

    def _is_repeated(
        self, source: EndpointSource, ident: NodeId, state: NodeState, member: Member | None
    ) -> bool:
        """Return whether an entry of a complete list only repeats what its source claims already.

        Otherwise a list that is merely read again would undo what another source has drained since.
        """
        before = self.merge.claim_of(source, ident)
        return before is not None and before.state is state and before.member == member

    def _claim(self, source: EndpointSource, ident: NodeId, claim: Claim) -> None:
        now = self.clock.now()
        self.trace.record_claim(now, source.name, ident, claim.state, claim.reason)
        self.merge.apply_claim(source, ident, claim, now)

    def _create_replacement(self, operator: Operator) -> Coordination | None:
        """Create a coordination if the operator file needs another one; else return None."""
        if operator.zookeeper is None:
            return None
        present = self._replacement or self._coordination
        if (
            present is not None
            and present.presence_record == operator.presence
            and session_key(present.source) == session_key(operator.zookeeper)
        ):
            return None
        return self._create_coordination(operator)

    async def _take_over(self) -> None:
        """Replace the present coordination once its replacement has read its complete list."""
        successor = self._replacement
        if successor is None:
            return
        await successor.list_read.wait()
        if self._replacement is not successor:
            return
        predecessor, self._coordination, self._replacement = self._coordination, successor, None
        before = set(predecessor.roster.claims) if predecessor is not None else set()
        self._emit_claims(successor, before)
        for listener in self._session_listeners:
            listener(successor.ensemble)
        if predecessor is not None:
            predecessor.ensemble.close()
        self._announce_state(self._state)
        log(
            LogEvent.COORDINATION_PATH_CHANGED,
            nodes=len(successor.roster.claims),
            remaining=len(before - set(successor.roster.claims)),
        )
        self.apply_changes()

    def _emit_claims(self, coordination: Coordination, before: set[NodeId]) -> None:
        """Emit all claims of a roster that takes over; nodes that it lacks are drained and removed."""
        self._claims_emitted = True
        for ident, claim in coordination.roster.claims.items():
            if not self._is_repeated(self._zookeeper_source, ident, claim.state, claim.member):
                self._claim(self._zookeeper_source, ident, claim)
        for ident in before - set(coordination.roster.claims):
            self._claim(
                self._zookeeper_source,
                ident,
                Claim(NodeState.REMOVED, None, "not listed by the new ensemble"),
            )

    def _drop_coordination(self, now: float) -> None:
        """Drop an ensemble that is no longer configured: nodes that only it listed are drained."""
        for coordination in (self._coordination, self._replacement):
            if coordination is not None:
                coordination.ensemble.close()
        if self._coordination is not None:
            for ident in list(self._coordination.roster.claims):
                self._claim(
                    self._zookeeper_source,
                    ident,
                    Claim(NodeState.REMOVED, None, "its source is no longer configured"),
                )
        self._coordination = self._replacement = None
        self.merge.set_current(self._zookeeper_source, False, now)

    def apply_changes(self) -> None:
        """Apply what claims have changed: drained nodes to the route at once, the rest in a batch."""
        now = self.clock.now()
        coordination = self._coordination
        if coordination is not None:
            if coordination.roster.snapshot_received and not self._claims_emitted:
                self._emit_claims(coordination, set())
            self.merge.set_current(self._zookeeper_source, coordination.roster.is_current(now), now)
        if not self.merge.has_changes():
            return
        urgent = self.merge.urgent
        draining = []
        for member in self.merge.take_changes():
            ident = member.node.node_id
            self._pending[ident] = member
            verdict = self.merge.status(ident)
            self.trace.record_state(now, ident, member.node.state, verdict.reason)
            if member.node.state is NodeState.DRAINING:
                draining.append(member)
        if draining:
            self._route.nodes.apply(MembersUpdate(False, tuple(draining)))
        self._pace.schedule(trio.current_time(), urgent)
        self._pending_woken.set()

    async def _flush(self) -> None:
        """Pass batches of changes to the route."""
        while True:
            self._pending_woken = trio.Event()
            flush_at = self._pace.deliver_at_s()
            if trio.current_time() < flush_at:
                with trio.move_on_at(flush_at):
                    await self._pending_woken.wait()
                continue
            started = trio.current_time()
            update = MembersUpdate(False, tuple(self._pending.values()))
            self._pending = {}
            self._route.handle_membership_event(update)
            self._pace.delivered(started, trio.current_time())
            await trio.lowlevel.checkpoint()

    async def _run_maintenance(self) -> None:
        """Check time limits at intervals, and at the roster's next deadline."""
        while True:
            now = self.clock.now()
            silent_ms = (trio.current_time() - self._changelog.last_frame_at_s) * 1000.0
            self.merge.set_current(
                self._change_log_source,
                silent_ms < self.operator.changelog.silent_for
                or (not self._changelog.last_frame_at_s and bool(self._change_log_nodes)),
                now,
            )
            coordination = self._coordination
            if coordination is not None:
                coordination.roster.tick(now)
                self._update_fleet_size(coordination, now)
                self._retry_name(coordination)
                if now - self._trace_pruned_at_ms > 10_000.0:
                    self._trace_pruned_at_ms = now
                    coordination.roster.prune(now)
                    self.trace.prune(set(self.merge.node_ids()), MAX_TRACED_REMOVED_NODES)
            self.apply_changes()
            self._log_availability()
            delay_s = MAINTENANCE_INTERVAL_S
            if coordination is not None:
                delay_s = min(
                    delay_s, max(0.005, (coordination.roster.next_tick_ms() - self.clock.now()) / 1000.0)
                )
            await trio.sleep(delay_s)

    def _update_fleet_size(self, coordination: Coordination, now: float) -> None:
        """Log a changed fleet size, and use it where the operator has it derived from the listed routers."""
        if coordination.fleet is None or coordination.presence_record is None:
            return
        size = coordination.fleet.tick(now)
        if size is not None:
            log(
                LogEvent.FLEET_SIZE_CHANGED,
                fleet_size=size.total,
                by_zone=",".join(map(str, size.by_zone)),
                used=coordination.presence_record.derived,
            )
            if coordination.presence_record.derived:
                self._fleet_size = FleetSizeChanged(size.total, size.by_zone)
                self.on_fleet_size(self._fleet_size)

    def _retry_name(self, coordination: Coordination) -> None:
        if coordination.registrar is None or not coordination.registrar.name_taken:
            self._name_taken_at = 0.0
        elif not self._name_taken_at:
            self._name_taken_at = trio.current_time()
        elif trio.current_time() >= self._name_taken_at + NAME_RETRY_S:
            self._name_taken_at = 0.0
            coordination.registrar.retry_name()

    def _log_availability(self) -> None:
        """Log once when no source is available any more, and when one is again."""
        unavailable = (
            not any(self.merge.is_current(source) for source in self._sources()) and len(self.merge) > 0
        )
        if unavailable != self._sources_unavailable:
            self._sources_unavailable = unavailable
            log(
                LogEvent.ENDPOINT_SOURCES_UNAVAILABLE if unavailable else LogEvent.ENDPOINT_SOURCES_AVAILABLE,
                rule="keep" if self.operator.members.keep else "refuse",
                nodes=len(self.merge),
            )

    def _announce_state(self, state: str, on_acknowledged: Callable[[], None] | None = None) -> None:
        self._state = state
        for coordination in (self._coordination, self._replacement):
            if coordination is not None and coordination.registrar is not None:
                coordination.registrar.update_record(
                    presence.encode_peer(self._local_peer(self.operator), self.names), on_acknowledged
                )

    def _on_written(self, attempt: Attempt) -> None:
        self.trace.record_write(attempt.written_at_ms, attempt.action.node_id, attempt.action.source_id)

    # -- the socket for `stonecove members` --

    def _open_socket(self) -> None:
        path = self.operator.members.socket.replace("{name}", self.config.name)
        if not path:
            return
        try:
            listener = _unix_listener(path)
        except OSError as error:
            log(LogEvent.MEMBERS_SOCKET_FAILED, path=path, reason=error.strerror or str(error))
            return
        self._socket_scope = trio.CancelScope()
        self._spawn(partial(self._serve_socket, path, listener, self._socket_scope))

    async def _serve_socket(self, path: str, listener: socket.socket, scope: trio.CancelScope) -> None:
        try:
            with scope:
                await serve_connections(listener, self._serve_query)
        finally:
            Path(path).unlink(missing_ok=True)

    async def _serve_query(self, client: trio.socket.SocketType) -> None:
        """Serve one query, which is a line; the answer is a JSON object."""
        with client, contextlib.suppress(OSError), trio.move_on_after(5):
            data = b""
            while b"\n" not in data and len(data) < MAX_QUERY_BYTES:
                chunk = await client.recv(MAX_QUERY_BYTES)
                if not chunk:
                    return
                data += chunk
            answer = self.handle_query(data.split(b"\n")[0].decode("utf-8", "replace").split())
            out = memoryview(json.dumps(answer).encode() + b"\n")
            while out:
                out = out[await client.send(out) :]

    def handle_query(self, words: list[str]) -> dict[str, Any]:
        """Return the answer to a query of `stonecove members`, or of a component in `query_handlers`."""
        if words and (handler := self.query_handlers.get(words[0])) is not None:
            return handler(words[1:])
        match words:
            case ["explain", text]:
                try:
                    ident = parse_node_id(int(text) if text.isdecimal() else text)
                except RecordError as error:
                    return {"error": str(error)}
                explanation = self.merge.explain(ident)
                if explanation is None:
                    return {"error": f"no source knows s-{ident:08x}"}
                return {
                    "node": explanation_to_dict(ident, explanation),
                    "life": self.trace.node_summary(ident),
                }
            case ["list"]:
                return {
                    "nodes": [
                        explanation_to_dict(ident, explanation)
                        for ident in self.merge.node_ids()
                        if (explanation := self.merge.explain(ident)) is not None
                    ]
                }
            case ["trace"]:
                return {"lines": list(self.trace.lines), "lives": self.trace.summary()}
            case ["sources"]:
                return {
                    "sources": [
                        {"source": source.name, "rank": source.rank, "has_say": self.merge.is_current(source)}
                        for source in self._sources()
                    ],
                    "coordination": self._describe_coordination(),
                }
            case ["fleet"]:
                coordination = self._coordination
                if coordination is None or coordination.fleet is None:
                    return {"error": "no presence is configured"}
                return {
                    "holds": {
                        "fleet": coordination.fleet.effective.total,
                        "by_zone": list(coordination.fleet.effective.by_zone),
                    },
                    "peers": [
                        {"node": name, **peer._asdict()}
                        for name, peer in sorted(coordination.fleet.peers.items())
                    ],
                }
        return {"error": f"no question {' '.join(words)[:40]!r}"}

    def _describe_coordination(self) -> dict[str, Any]:
        coordination = self._coordination
        if coordination is None:
            return {}
        session, down_since = coordination.ensemble.session, coordination.roster.disconnected_since_ms
        return {
            "state": session.state.value,
            "server": ":".join(map(str, session.server or ())),
            "session": f"{session.session:#x}",
            "zxid": session.last_zxid,
            "watches": sum(map(len, session.watches.all_kinds())),
            "unconfirmed": coordination.roster.unconfirmed,
            "silent_ms": 0.0 if down_since is None else self.clock.now() - down_since,
            "moving": self._replacement is not None,
        }


def _unix_listener(path: str) -> socket.socket:
    """Return a listening socket with mode 0600, in place of one that no process listens on any more."""
    with contextlib.suppress(FileNotFoundError):
        if stat.S_ISSOCK(os.stat(path).st_mode):
            with socket.socket(socket.AF_UNIX) as probe:
                try:
                    probe.connect(path)
                except ConnectionRefusedError:
                    os.unlink(path)
    return bind_private(path)

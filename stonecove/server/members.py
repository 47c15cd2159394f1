"""Membership from several sources: joins sessions, rosters and the merge to the router. Off on the platform.

Decisions are in `stonecove.discovery` (roster, merge, presence, pace) and
`stonecove.protocols.zookeeper.session`; here they are given clocks, sockets and each other.
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
from stonecove.server.coordination import Coordination, Spawn, connection_of, rules_of
from stonecove.state.requests import Attempt
from stonecove.transport.change_log_follower import ChangeLogClient
from stonecove.transport.zookeeper import ZooKeeperClient

FIRST_LIST = 3.0  # seconds for which serving waits for the first list
HOUSEKEEPING = 0.25  # seconds between two looks at what only time brings about
LEAVE_WAIT = 0.15  # seconds for which a drain waits for the word that it was told
CLOSE_WAIT = 0.2
TAKEN_WAIT = 5.0  # seconds after which a name that was taken is tried again
MOST_GONE = 10_000  # lives of gone nodes that the trace keeps
MOST_LINE = 1000


class Members:
    """All sources of one router, merged. Takes the place of the router as the sink of the change log."""

    def __init__(
        self, path: Path, config: Config, route: Route, clock: Clock, changelog: ChangeLogClient, spawn: Spawn
    ) -> None:
        """Raises OperatorError for a file that can't be used, OSError for a credential that can't be read."""
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
        self._began = clock.now()
        self._log_source = EndpointSource("changelog", self.operator.changelog.rank)
        self._zk_source = EndpointSource(
            "zookeeper", self.operator.zookeeper.rank if self.operator.zookeeper else 100
        )
        self.merge = EndpointMerger(self._sources(), self.operator.members.keep)
        self.trace = MembershipTrace(self.operator.members.trace)
        self._pace = UpdatePacer(self.operator.members.batch / 1000.0)
        self._pending: dict[NodeId, Member] = {}
        self._pending_woken = trio.Event()
        self._logged: set[NodeId] = set()  # that the change log lists
        self._told_once = False
        self._warned = False
        self._forgot_at = 0.0
        self._socket_scope = trio.CancelScope()
        self._coordination: Coordination | None = None
        self._next: Coordination | None = None  # takes over once it has read its list
        self.sized: Callable[[FleetSizeChanged], None] = (
            route.post
        )  # told of the fleet's size, where it is derived
        self.also: dict[str, Callable[[list[str]], dict[str, Any]]] = {}  # others who answer on the socket
        self._peers: FleetSizeChanged | None = None  # the fleet's size that was derived last
        self._taken_at = 0.0  # when our name was found to be taken, in trio's seconds
        self._session_users: list[Callable[[ZooKeeperClient], None]] = []
        if self.operator.zookeeper is not None:
            self._coordination = self._coordinate(self.operator)
        route.send.on_write = self._written

    # -- what the router calls --

    def start(self) -> None:
        """Starts all tasks."""
        self._spawn(self._flush)
        self._spawn(self._keep_house)
        if self._coordination is not None:
            self._spawn(self._coordination.run)
        self._open_socket()

    async def ready(self) -> None:
        """The router is about to serve: waits for a list, for a while. Without one it could only refuse."""
        with trio.move_on_after(FIRST_LIST) as waiting:
            while not len(self._route.nodes) or (
                self._coordination is not None and not self._coordination.whole_once.is_set()
            ):
                await trio.sleep(0.005)
        if waiting.cancelled_caught:
            log(LogEvent.ENDPOINT_LIST_DELAYED, nodes=len(self._route.nodes))
        self._tell_state("ready")

    def use_session(self, user: Callable[[ZooKeeperClient], None]) -> None:
        """`user` is given the session of the coordination service, and each that takes its place later."""
        self._session_users.append(user)
        if self._coordination is not None:
            user(self._coordination.ensemble)

    async def leaving(self) -> None:
        """Tells that we drain; waits for a moment until that is known to be told."""
        heard = trio.Event()
        self._tell_state("draining", heard.set)
        if self._coordination is not None and self._coordination.registrar is not None:
            with trio.move_on_after(LEAVE_WAIT) as waiting:
                await heard.wait()
            log(LogEvent.PRESENCE_WITHDRAWN, acknowledged=not waiting.cancelled_caught)

    async def close(self) -> None:
        """Ends our sessions by word, so that our node goes at once."""
        for one in (self._coordination, self._next):
            if one is not None:
                one.ensemble.close()
        with trio.move_on_after(CLOSE_WAIT):
            while any(
                one is not None and one.ensemble.session.state.value != "closed"
                for one in (self._coordination, self._next)
            ):
                await trio.sleep(0.005)

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """The change log's word: purges pass, nodes are one source's claims."""
        if isinstance(event, PurgeUpdate):
            self._route.handle_membership_event(event)
            return
        now = self.clock.now()
        listed = {member.node.node_id for member in event.members}
        if event.is_snapshot:
            for ident in self._logged - listed:
                self._claim(
                    self._log_source, ident, Claim(NodeState.REMOVED, None, "no longer in the whole list")
                )
            self._logged.clear()
        for member in event.members:
            ident, state = member.node.node_id, member.node.state
            if event.is_snapshot and self._no_news(self._log_source, ident, state, member):
                self._logged.add(ident)
                continue
            self._claim(
                self._log_source, ident, Claim(state, member, f"the change log says {reported_state(state)}")
            )
            if state is NodeState.REMOVED:
                self._logged.discard(ident)
            else:
                self._logged.add(ident)
        self.merge.set_current(self._log_source, True, now)
        self.settle()

    def objection(self, settings: Settings) -> str:
        """Why these settings can't be taken over: records in ZooKeeper are read by the names of the start."""
        names = TopologyNames(settings.zones, settings.kinds)
        if self.operator.zookeeper is None or names == self.names:
            return ""
        field = "zones" if names.zones != self.names.zones else "kinds"
        return f"{field}: other names need a restart beside sources.zookeeper, whose records are read by them"

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold from now on."""
        self.names = TopologyNames(settings.zones, settings.kinds)
        self.config = replace(self.config, settings=settings)

    def counted(self) -> FleetSizeChanged | None:
        """The routers that the coordination service lists; None where the settings say how many."""
        presence_record = self.operator.presence
        return self._peers if presence_record is not None and presence_record.derived else None

    def reload(self, config: Config) -> None:
        """Reads the operator's file anew, and takes it over whole or not at all."""
        self.config = config
        try:
            operator = read(self._path).operator
            coordination = self._replacement(operator)
        except OperatorError as error:
            for problem in error.problems:
                log(LogEvent.OPERATOR_CONFIG_REJECTED, reason=str(problem))
            return
        except OSError as error:
            log(LogEvent.OPERATOR_CONFIG_REJECTED, reason=f"{error.filename}: {error.strerror}")
            return
        before, self.operator = self.operator, operator
        self._log_source = EndpointSource("changelog", operator.changelog.rank)
        self._zk_source = EndpointSource("zookeeper", operator.zookeeper.rank if operator.zookeeper else 100)
        now = self.clock.now()
        self.merge.update_ranks(self._sources(), operator.members.keep, now)
        self._pace.batch_delay_s = operator.members.batch / 1000.0
        self.trace.lines = type(self.trace.lines)(self.trace.lines, maxlen=operator.members.trace)
        if operator.zookeeper is None:
            self._drop_coordination(now)
        elif coordination is not None:
            for one in (self._coordination, self._next):
                if one is not None and one.registrar is not None:
                    one.registrar.retire()
            if self._next is not None:
                self._next.ensemble.close()
            self._next = coordination
            self._spawn(coordination.run)
            self._spawn(self._take_over)
        elif self._coordination is not None:
            self._coordination.roster.rules = rules_of(operator.zookeeper)
            self._coordination.source = operator.zookeeper
        if operator.members.socket != before.members.socket:
            self._socket_scope.cancel()
            self._open_socket()
        log(LogEvent.OPERATOR_CONFIG_RELOADED, file=str(self._path), moves=coordination is not None)
        self.settle()

    # -- within --

    def _sources(self) -> tuple[EndpointSource, ...]:
        return (self._log_source, self._zk_source)

    def _peer(self, operator: Operator) -> presence.Peer:
        name = operator.presence.name if operator.presence and operator.presence.name else self.config.name
        return presence.Peer(
            name, self.config.settings.zone, self._state, ":".join(map(str, self.config.listen)), self._began
        )

    def _coordinate(self, operator: Operator) -> Coordination:
        assert operator.zookeeper is not None
        made = Coordination(
            operator.zookeeper,
            operator.presence,
            self._peer(operator),
            self,
            lambda ident, claim: self._emitted(made, ident, claim),
        )
        return made

    def _emitted(self, one: Coordination, ident: NodeId, claim: Claim) -> None:
        """A roster's claim; one that has not taken over yet keeps its claims to itself."""
        if one is self._coordination and one.roster.snapshot_received:
            self._claim(self._zk_source, ident, claim)

    def _no_news(
        self, source: EndpointSource, ident: NodeId, state: NodeState, member: Member | None
    ) -> bool:
        """Whether a list that is told whole only says again what its source says already.

        Guards against a list that is merely read again taking back what another source has drained since.
        """
        before = self.merge.claim_of(source, ident)
        return before is not None and before.state is state and before.member == member

    def _claim(self, source: EndpointSource, ident: NodeId, claim: Claim) -> None:
        now = self.clock.now()
        self.trace.record_claim(now, source.name, ident, claim.state, claim.reason)
        self.merge.apply_claim(source, ident, claim, now)

    def _replacement(self, operator: Operator) -> Coordination | None:
        """A new coordination where the file asks for another one; None where the present one will do."""
        if operator.zookeeper is None:
            return None
        present = self._next or self._coordination
        if (
            present is not None
            and present.own == operator.presence
            and connection_of(present.source) == connection_of(operator.zookeeper)
        ):
            return None
        return self._coordinate(operator)

    async def _take_over(self) -> None:
        """Once the next coordination has read its whole list, it takes the place of the present one."""
        coming = self._next
        if coming is None:
            return
        await coming.whole_once.wait()
        if self._next is not coming:
            return
        gone, self._coordination, self._next = self._coordination, coming, None
        before = set(gone.roster.claims) if gone is not None else set()
        self._tell_claims(coming, before)
        for user in self._session_users:
            user(coming.ensemble)
        if gone is not None:
            gone.ensemble.close()
        self._tell_state(self._state)
        log(
            LogEvent.COORDINATION_PATH_CHANGED,
            nodes=len(coming.roster.claims),
            remaining=len(before - set(coming.roster.claims)),
        )
        self.settle()

    def _tell_claims(self, one: Coordination, before: set[NodeId]) -> None:
        """All claims of a roster that takes over; what it does not list drains, and is gone after a while."""
        self._told_once = True
        for ident, claim in one.roster.claims.items():
            if not self._no_news(self._zk_source, ident, claim.state, claim.member):
                self._claim(self._zk_source, ident, claim)
        for ident in before - set(one.roster.claims):
            self._claim(
                self._zk_source, ident, Claim(NodeState.REMOVED, None, "not listed by the new ensemble")
            )

    def _drop_coordination(self, now: float) -> None:
        """The file names no ensemble any more: its claims lose their say, and what it alone knew drains."""
        for one in (self._coordination, self._next):
            if one is not None:
                one.ensemble.close()
        if self._coordination is not None:
            for ident in list(self._coordination.roster.claims):
                self._claim(
                    self._zk_source, ident, Claim(NodeState.REMOVED, None, "its source is configured no more")
                )
        self._coordination = self._next = None
        self.merge.set_current(self._zk_source, False, now)

    def settle(self) -> None:
        """Works off what claims have led to: the table of the last look at once, the decisions soon."""
        now = self.clock.now()
        one = self._coordination
        if one is not None:
            if one.roster.snapshot_received and not self._told_once:
                self._tell_claims(one, set())
            self.merge.set_current(self._zk_source, one.roster.is_current(now), now)
        if not self.merge.has_changes():
            return
        urgent = self.merge.urgent
        strict = []
        for member in self.merge.take_changes():
            ident = member.node.node_id
            self._pending[ident] = member
            verdict = self.merge.status(ident)
            self.trace.record_state(now, ident, member.node.state, verdict.reason)
            if member.node.state is NodeState.DRAINING:
                strict.append(member)
        if strict:
            self._route.nodes.apply(MembersUpdate(False, tuple(strict)))
        self._pace.schedule(trio.current_time(), urgent)
        self._pending_woken.set()

    async def _flush(self) -> None:
        """Hands changes to the router."""
        while True:
            self._pending_woken = trio.Event()
            due = self._pace.deliver_at_s()
            if trio.current_time() < due:
                with trio.move_on_at(due):
                    await self._pending_woken.wait()
                continue
            began = trio.current_time()
            told = MembersUpdate(False, tuple(self._pending.values()))
            self._pending = {}
            self._route.handle_membership_event(told)
            self._pace.delivered(began, trio.current_time())
            await trio.lowlevel.checkpoint()

    async def _keep_house(self) -> None:
        """What only time brings about."""
        while True:
            now = self.clock.now()
            silent = (trio.current_time() - self._changelog.last_frame_at_s) * 1000.0
            self.merge.set_current(
                self._log_source,
                silent < self.operator.changelog.silent_for
                or (not self._changelog.last_frame_at_s and bool(self._logged)),
                now,
            )
            one = self._coordination
            if one is not None:
                one.roster.tick(now)
                self._count(one, now)
                self._retry_name(one)
                if now - self._forgot_at > 10_000.0:
                    self._forgot_at = now
                    one.roster.prune(now)
                    self.trace.prune(set(self.merge.node_ids()), MOST_GONE)
            self.settle()
            self._warn()
            due = HOUSEKEEPING
            if one is not None:
                due = min(due, max(0.005, (one.roster.next_tick_ms() - self.clock.now()) / 1000.0))
            await trio.sleep(due)

    def _count(self, one: Coordination, now: float) -> None:
        """Fleet size and zone shares, where they are to be derived."""
        if one.fleet is None or one.own is None:
            return
        size = one.fleet.tick(now)
        if size is not None:
            log(
                LogEvent.FLEET_SIZE_CHANGED,
                fleet_size=size.total,
                by_zone=",".join(map(str, size.by_zone)),
                used=one.own.derived,
            )
            if one.own.derived:
                self._peers = FleetSizeChanged(size.total, size.by_zone)
                self.sized(self._peers)

    def _retry_name(self, one: Coordination) -> None:
        if one.registrar is None or not one.registrar.taken:
            self._taken_at = 0.0
        elif not self._taken_at:
            self._taken_at = trio.current_time()
        elif trio.current_time() >= self._taken_at + TAKEN_WAIT:
            self._taken_at = 0.0
            one.registrar.again()

    def _warn(self) -> None:
        """Tells once when no source has a say any more, and when one has again."""
        nobody = not any(self.merge.is_current(source) for source in self._sources()) and len(self.merge) > 0
        if nobody != self._warned:
            self._warned = nobody
            log(
                LogEvent.ENDPOINT_SOURCES_UNAVAILABLE if nobody else LogEvent.ENDPOINT_SOURCES_AVAILABLE,
                rule="keep" if self.operator.members.keep else "refuse",
                nodes=len(self.merge),
            )

    def _tell_state(self, state: str, heard: Callable[[], None] | None = None) -> None:
        self._state = state
        for one in (self._coordination, self._next):
            if one is not None and one.registrar is not None:
                one.registrar.tell(presence.encode_peer(self._peer(self.operator), self.names), heard)

    def _written(self, attempt: Attempt) -> None:
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
                await serve_connections(listener, self._answer)
        finally:
            Path(path).unlink(missing_ok=True)

    async def _answer(self, client: trio.socket.SocketType) -> None:
        """One question, a line; the answer is a JSON object."""
        with client, contextlib.suppress(OSError), trio.move_on_after(5):
            data = b""
            while b"\n" not in data and len(data) < MOST_LINE:
                part = await client.recv(MOST_LINE)
                if not part:
                    return
                data += part
            answer = self.asked(data.split(b"\n")[0].decode("utf-8", "replace").split())
            out = memoryview(json.dumps(answer).encode() + b"\n")
            while out:
                out = out[await client.send(out) :]

    def asked(self, words: list[str]) -> dict[str, Any]:
        """The answer to a question of `stonecove members`."""
        if words and (other := self.also.get(words[0])) is not None:
            return other(words[1:])
        match words:
            case ["explain", text]:
                try:
                    ident = parse_node_id(int(text) if text.isdecimal() else text)
                except RecordError as error:
                    return {"error": str(error)}
                found = self.merge.explain(ident)
                if found is None:
                    return {"error": f"no source knows s-{ident:08x}"}
                return {"node": explanation_to_dict(ident, found), "life": self.trace.node_summary(ident)}
            case ["list"]:
                return {
                    "nodes": [
                        explanation_to_dict(ident, found)
                        for ident in self.merge.node_ids()
                        if (found := self.merge.explain(ident)) is not None
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
                    "coordination": self._coordination_told(),
                }
            case ["fleet"]:
                one = self._coordination
                if one is None or one.fleet is None:
                    return {"error": "no presence is configured"}
                return {
                    "holds": {
                        "fleet": one.fleet.effective.total,
                        "by_zone": list(one.fleet.effective.by_zone),
                    },
                    "peers": [
                        {"node": name, **peer._asdict()} for name, peer in sorted(one.fleet.peers.items())
                    ],
                }
        return {"error": f"no question {' '.join(words)[:40]!r}"}

    def _coordination_told(self) -> dict[str, Any]:
        one = self._coordination
        if one is None:
            return {}
        session, down = one.ensemble.session, one.roster.disconnected_since_ms
        return {
            "state": session.state.value,
            "server": ":".join(map(str, session.server or ())),
            "session": f"{session.session:#x}",
            "zxid": session.last_zxid,
            "watches": sum(map(len, session.watches.all_kinds())),
            "unconfirmed": one.roster.unconfirmed,
            "silent_ms": 0.0 if down is None else self.clock.now() - down,
            "moving": self._next is not None,
        }


def _unix_listener(path: str) -> socket.socket:
    """A listening socket with rights 0600, in place of one that nobody listens on any more."""
    with contextlib.suppress(FileNotFoundError):
        if stat.S_ISSOCK(os.stat(path).st_mode):
            with socket.socket(socket.AF_UNIX) as probe:
                try:
                    probe.connect(path)
                except ConnectionRefusedError:
                    os.unlink(path)
    return bind_private(path)

"""Simulated environment of the router's core, where each choice of a peer, and of time, is a step.

The router is not modelled: frontend, session, channel, codecs, stages and the decision module are the real
code. The sockets, the servers behind them, the clients, the change log and the clock are simulated.
"""

from __future__ import annotations

import math
import struct
from typing import Any

from stonecove.discovery import MembershipEvent, MembersUpdate, PurgeUpdate
from stonecove.explore import scope as scopes
from stonecove.explore.fingerprint import encode_state
from stonecove.explore.machine import Violation
from stonecove.explore.peers import ClientSession, ClientSocket, ServerChannel, request_bytes
from stonecove.explore.properties import PropertyMonitor
from stonecove.explore.scope import ANSWERS, CACHE, CLASSES, ORIGIN, PARENT, Scope
from stonecove.frontends.fastcgi import FastCgiFrontend
from stonecove.pipeline.admit import RESPONSE_MARGIN_MS
from stonecove.pipeline.route import BACKSTOP_MS, Route
from stonecove.pipeline.send import NodeConnection, connection_limit
from stonecove.protocols import resp
from stonecove.protocols.buffer import Buffer
from stonecove.protocols.change_log import Follower, frames
from stonecove.protocols.fastcgi import codec as fastcgi
from stonecove.routing.actions import SendAttempt
from stonecove.routing.endpoints import Node, NodeState
from stonecove.routing.events import AttemptEnded, Event, RequestReceived
from stonecove.routing.rendezvous import RendezvousHash, chunk_key
from stonecove.runtime import log as runtime_log
from stonecove.runtime.clock import Clock, CpuCredit
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.timers import Timers
from stonecove.state.budget import MemoryBudget

START_S = 1_000_000.0  # Unix time in seconds at which every run starts
TIME_EPSILON_S = 1e-7  # a wait ends this long after a timer is due, so that equal times are one instant
CLIENT_TIMEOUT_MS = 400.0
DRAIN_TIMEOUT_S = 0.5  # after SIGTERM; all requests are answered by then
PURGE_GROUP = 3
MEMORY_LIMIT_BYTES = 1e6
MAX_SOCKETS = 48
STALE_COPY_AGE_MS = 5000.0  # age of a stale copy at the start of the run
MAX_SETTLE_STEPS = 400  # default steps within which the simulation must become idle

_NODE_RECORD = struct.Struct(">IIHBBBHIQ")
_EVENT_HEADER = struct.Struct(">IQB")
_VERDICT_BY_STATUS = {"Status: 200": "served", "Status: 503": "refused", "Status: 502": "failed"}
# The part of the state to which a step with this action is confined.
_PART_BY_ACTION = {
    "stall": "client",
    "cut": "log",
    "gap": "log",
    "nocpu": "cpu",
    "nomem": "budget",
    "reload": "limit",
}
_KIND_BY_PREFIX = {"c": CACHE, "p": PARENT, "o": ORIGIN, "n": CACHE}


class FixedRandom:
    """Random source that always returns the middle of the range, so that randomness adds no states."""

    def random(self) -> float:
        """Return the middle of 0 and 1."""
        return 0.5

    def uniform(self, low: float, high: float) -> float:
        """Return the middle of a range."""
        return (low + high) / 2


class FixedCredit(CpuCredit):
    """CPU credit whose value is set by steps."""

    def __init__(self) -> None:
        """Start without credit."""
        self.credit_s = 0.0

    def set_cores(self, cores: float) -> None:
        """Ignore the number of cores; the credit is set by steps."""

    def remaining_s(self) -> float:
        """Return the credit that was set."""
        return self.credit_s


def _find_object_key(cls: str, caches: tuple[int, ...]) -> int:
    """Return the lowest object key of the class whose caches in hash order are these, so that c1 is first."""
    nodes = [Node(node, CACHE, 0.0, NodeState.READY, 0, 1, 1.0) for node in caches]
    ring = RendezvousHash(nodes, False)
    key = 1000 * (1 + scopes.CLASS_NAMES.index(cls))
    while ring.order(chunk_key(RequestReceived(1, 0, key, 0.0, 0.0, 0, 0))) != caches:
        key += 1
    return key


class Simulation:
    """One router and its environment; steps are named by strings, e.g. `up c1.0`."""

    def __init__(self, scope: Scope) -> None:
        """Start the router with all nodes ready, then take the steps of the scope's prefix."""
        global _current
        _current = self
        runtime_log.set_log_sink(_handle_log_line)
        self.scope = scope
        self.now_s = START_S  # Unix time in seconds
        self.faults = scope.faults
        self.clock = Clock(self._seconds)
        self.timers = Timers(self.clock, self._seconds)
        self.budget = MemoryBudget()
        self.budget.limit_bytes = MEMORY_LIMIT_BYTES
        settings = scopes.settings(scope.attempts, scope.cancel)
        self.settings = settings
        self.monitor = PropertyMonitor(CLASSES, scope.attempts)
        self.channels: list[ServerChannel] = []  # connections whose end has not been reported to the router
        self.route = Route(settings, 7, self.clock, self.timers, self.budget, 0.0, self._connect)
        self.route.admit.cpu = FixedCredit()
        setattr(self.route.admit, "_random", FixedRandom())  # noqa: B010
        setattr(self.route.director.state, "random", FixedRandom())  # noqa: B010
        setattr(self.route.director, "handle", MonitoredHandle(self))  # noqa: B010
        self.route.send.max_connections = connection_limit(MAX_SOCKETS)
        self.frontend = FastCgiFrontend(settings, self.route)
        self.frontend.ready = True
        self.node_ids: dict[str, int] = {}  # by name
        self.ports: dict[str, int] = {}  # by name
        # By node id: name, state, start in Unix ms.
        self.members: dict[int, tuple[str, NodeState, float]] = {}
        self.node_by_port: dict[int, int] = {}  # the node whose process listens at the port
        self.follower = Follower(0)
        self.log: list[bytes] = []  # frames of the events; event n is at index n - 1
        self.log_connected = True
        self.log_skips = False  # the next event is sent with a number that is too high
        self.delivered_events = 0
        self.requests: list[tuple[str, str]] = []  # class and state: unasked, asked, retried
        self.partial_answers: dict[int, bytes] = {}  # by FastCGI id: the bytes that the client has received
        self.session = ClientSession(
            ClientSocket(self._client_record_received), self.frontend, self.clock.now, self.budget
        )
        self.drain_ends_at_s = math.inf
        self.expired = False
        caches = tuple(0x11 + n for n in range(scope.caches))
        self.object_keys = {cls: _find_object_key(cls, caches) for cls in set(scope.requests)}
        names = (
            [f"c{n + 1}" for n in range(scope.caches)] + [f"p{n + 1}" for n in range(scope.parents)] + ["o1"]
        )
        for index, name in enumerate(names):
            node = 0x11 + index if name[0] == "c" else 0x100 * _KIND_BY_PREFIX[name[0]] + index
            self.node_ids[name], self.ports[name] = node, 7000 + index
            self.node_by_port[7000 + index] = node
            self.members[node] = (name, NodeState.READY, 0.0)
        self.requests = [(cls, "unasked") for cls in scope.requests]
        self._publish_nodes(names, is_snapshot=True)
        for step in scope.prefix:
            self.do(step)

    # -- interfaces of the router --

    def _seconds(self) -> float:
        return self.now_s

    @property
    def now_ms(self) -> float:
        """Return the current Unix time in ms."""
        return self.now_s * 1000.0

    @property
    def violations(self) -> list[Violation]:
        """Return the properties that were violated."""
        return self.monitor.violations

    def _connect(self, owner: Any, address: tuple[str, int], connect_timeout_s: float) -> ServerChannel:
        assert isinstance(owner, NodeConnection)
        channel = ServerChannel(
            self, owner, self.node_by_port.get(address[1], 0), self.now_s + connect_timeout_s
        )
        self.channels.append(channel)
        return channel

    def report_attempt_end(self, event: Event) -> None:
        """Report the end of an attempt to the monitor before the decision module sees it."""
        if isinstance(event, AttemptEnded) and (txn := self.txn_of(event.request_id)):
            self.monitor.attempt_ended(txn, event.attempt_index, event.outcome)

    def txn_of(self, request_id: int) -> str:
        """Return the transaction id of an open request; empty for a closed one."""
        request = self.route.requests.get(request_id)
        return request.client_request.txn if request is not None else ""

    def check_log_line(self, event: str, fields: dict[str, object]) -> None:
        """Check a line that the router logged."""
        if event == LogEvent.INTERNAL_ERROR:
            self.monitor.report_violation("no-slip", f"{fields.get('where')}: {fields.get('error')}")
        elif event == LogEvent.REQUEST_UNDECIDED and not self.expired:
            self.monitor.report_violation(
                "decided", f"request {fields.get('request')} was answered only by the backstop"
            )

    # -- endpoint list and change log --

    def _publish_nodes(self, names: list[str], is_snapshot: bool = False) -> None:
        records = []
        for name in names:
            node = self.node_ids[name]
            _, state, started_ms = self.members[node]
            code = {NodeState.READY: 0, NodeState.DRAINING: 1, NodeState.REMOVED: 2}[state]
            zone = 1 if name[0] in "cn" else 0
            cell = 1 if name == "c3" else 0
            records.append(
                _NODE_RECORD.pack(
                    node,
                    0x7F000001,
                    self.ports[name],
                    code,
                    zone,
                    _KIND_BY_PREFIX[name[0]],
                    cell,
                    1000,
                    int(started_ms),
                )
            )
        self._append_event(1 if is_snapshot else 2, b"".join(records))

    def _append_event(self, kind: int, payload: bytes) -> None:
        number = len(self.log) + 1
        self.log.append(_EVENT_HEADER.pack(9 + len(payload), number, kind) + payload)
        if self.log_connected:
            if self.log_skips:  # the event gets a number that is too high, as if one had been missed
                self.log_skips = False
                if self._deliver_frame(_EVENT_HEADER.pack(9 + len(payload), number + 1, kind) + payload):
                    return
            self._catch_up()

    def _catch_up(self) -> None:
        (last,) = struct.unpack(">Q", self.follower.hello())
        for frame in self.log[last:]:
            self._deliver_frame(frame)

    def _deliver_frame(self, data: bytes) -> bool:
        buffer = Buffer(1 << 16)
        buffer.feed(data)
        return all(self.follower.take(frame, self) for frame in frames(buffer))

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Pass an event from the follower to the monitor, then to the router."""
        self.delivered_events += 1
        if isinstance(event, MembersUpdate):
            self.monitor.nodes_listed(tuple(member.node for member in event.members), event.is_snapshot)
        elif isinstance(event, PurgeUpdate):
            self.monitor.purges.append((self.now_ms, event.purged_at_ms, event.group, event.key))
        self.route.handle_membership_event(event)

    # -- clients --

    def txn(self, index: int) -> str:
        """Return the transaction id of a request of the scope."""
        return f"{index + 1:016x}"

    def _client_record_received(self, kind: int, request_id: int, content: bytes) -> None:
        """Process a FastCGI record that reached the client."""
        if kind == fastcgi.STDOUT:
            self.partial_answers[request_id] = self.partial_answers.get(request_id, b"") + content
        elif kind == fastcgi.END:
            text = self.partial_answers.pop(request_id, b"")
            head, _, body = text.partition(b"\r\n\r\n")
            if not text:
                if content[4] == fastcgi.OVERLOADED:
                    self.monitor.request_answered(self.txn(request_id - 1), "refused", b"", self.now_ms)
                return  # the end of a request that was aborted
            result = _VERDICT_BY_STATUS.get(head.decode("latin-1")[:11], "failed")
            if b"X-Notmod" in head:
                result = "unchanged"
            self.monitor.request_answered(self.txn(request_id - 1), result, body, self.now_ms)

    def first_byte(self, channel: ServerChannel, txn: str, fields: dict[str, str]) -> None:
        """Report to the monitor that the first byte of a fetch is written."""
        number = next(
            (
                attempt.number
                for attempt, link in self.route.send._connection_by_attempt.items()
                if link.channel is channel and attempt.request.client_request.txn == txn
            ),
            -1,
        )
        if txn in channel.unanswered_ids:
            self.monitor.report_violation(
                "one-id",
                f"transaction id of {self.monitor.observed_requests[txn].cls} is already open on "
                f"{self._channel_name(channel)}",
            )
        source = int(fields["from"].removeprefix("s-"), 16) if "from" in fields else None
        channel.attempt_numbers[txn] = number
        self.monitor.first_byte(txn, number, channel.link.node_id, source, self.now_ms)

    # -- the steps --

    def _channel_name(self, channel: ServerChannel) -> str:
        """Return the name of a connection: its node and its index among the connections to that node."""
        node = channel.link.node_id
        same = [other for other in self.channels if other.link.node_id == node]
        return f"{self.members[node][0]}.{same.index(channel)}"

    def _find_channel(self, name: str) -> ServerChannel:
        return next(channel for channel in self.channels if self._channel_name(channel) == name)

    def urgent(self) -> list[str]:
        """Return the router's own steps that must run before time may pass."""
        steps = []
        for channel in self.channels:
            if channel.is_closed or (channel.reached and channel.sock.close_kind):
                steps.append(f"end {self._channel_name(channel)}")
            elif not channel.reached and self.now_s >= channel.connect_deadline_s:
                steps.append(f"notup {self._channel_name(channel)}")
        if self.session.closing and not self.session.finished:
            steps.append("endsession")
        if self.route._undecided:
            steps.append("decide")
        if self.timers.next_due() <= self.now_s:
            steps.append("fire")
        if self.now_s >= self.drain_ends_at_s and not self.expired:
            steps.append("expire")
        return steps

    def _next_time(self) -> float:
        times = [self.timers.next_due(), self.drain_ends_at_s if not self.expired else math.inf]
        times += [
            channel.connect_deadline_s
            for channel in self.channels
            if not channel.reached and not channel.is_closed
        ]
        return min(times)

    def idle(self) -> bool:
        """Return whether no request, connection, drain or timer is left but the periodic sweep."""
        timers = [
            timer
            for _, _, timer in self.timers._heap
            if timer.callback is not None and getattr(timer.callback, "__name__", "") != "_sweep"
        ]
        stopping = self.drain_ends_at_s < math.inf and not self.expired
        return not (timers or len(self.route.requests) or self.channels or self.route._undecided or stopping)

    def enabled(self) -> list[str]:
        """Return all steps that may be taken now."""
        steps = self.urgent()
        if not steps and not self.idle():
            steps.append("wait")
        scope, kinds, faults_left = self.scope, self.scope.kinds, self.faults > 0
        for index, (cls, state) in enumerate(self.requests):
            if state == "unasked":
                same = [other for other in self.requests[:index] if other == (cls, "unasked")]
                if not same and (self.session.finished or not self.session.closing) and not self.expired:
                    steps.append(f"ask {index}")
            elif faults_left and (observed := self.monitor.observed_requests.get(self.txn(index))):
                if "abort" in kinds and observed.state == "open" and not self.session.closing:
                    steps.append(f"abort {index}")
                if (
                    "retry" in kinds
                    and observed.state == "answered"
                    and state == "asked"
                    and len(self.requests) == len(scope.requests)
                    and not self.session.closing
                ):
                    steps.append(f"retry {index}")
        for channel in self.channels:
            steps += self._channel_steps(channel, faults_left)
        if faults_left:
            steps += self._list_steps()
            steps += self._other_steps()
        if not self.log_connected:
            steps.append("mend")
        if scope.relief and self._is_under_pressure():
            steps.append("relief")
        if self.session.sock.capacity is not None and not self.session.closing:
            steps.append("unstall")
        return steps

    def _is_under_pressure(self) -> bool:
        return (
            self.budget.limit_bytes < MEMORY_LIMIT_BYTES
            or self.route.send.max_connections < connection_limit(MAX_SOCKETS)
            or getattr(self.route.admit.cpu, "credit_s", 0.0) < 0
        )

    def _channel_steps(self, channel: ServerChannel, faults_left: bool) -> list[str]:
        if channel.is_closed or channel.sock.close_kind:
            return []
        name, kinds, steps = self._channel_name(channel), self.scope.kinds, []
        if not channel.reached:
            if not channel.never_opens:
                steps.append(f"up {name}")
                if faults_left:
                    steps += [f"{kind} {name}" for kind in ("refuse", "never", "lack") if kind in kinds]
        elif channel.sock.capacity is not None:
            steps.append(f"flush {name}")
        if channel.unsent_rest:
            return [
                f"rest {name}",
                *(f"{kind} {name}" for kind in ("reset", "hangup") if faults_left and kind in kinds),
            ]
        for txn in channel.unanswered_ids:
            index = int(txn, 16) - 1
            is_aborted = txn in channel.aborted_ids
            for answer in ("hit",) if is_aborted else self.scope.answers:
                if answer in scopes.FAULT_FREE_ANSWERS or faults_left:
                    if answer == "same" and not self.scope.seen:
                        continue
                    steps.append(f"{answer} {name} {index}")
            if faults_left and not is_aborted:
                steps += [f"{kind} {name} {index}" for kind in ("spoil", "half", "trickle") if kind in kinds]
        if faults_left and "choke" in kinds and channel.sock.capacity is None:
            steps += [f"choke{capacity} {name}" for capacity in (0, 20)]
        if faults_left and channel.reached:
            steps += [f"{kind} {name}" for kind in ("reset", "hangup", "stray") if kind in kinds]
            if "second" in kinds:
                steps += [f"second {name} {int(txn, 16) - 1}" for txn in dict.fromkeys(channel.answered_ids)]
        return steps

    def _list_steps(self) -> list[str]:
        steps = []
        for name in self.scope.targets:
            if name not in self.node_ids:
                continue
            state = self.members[self.node_ids[name]][1]
            if state is NodeState.READY:
                steps += [
                    f"{kind} {name}"
                    for kind in ("drain", "gone", "replace", "restart")
                    if kind in self.scope.kinds
                ]
            elif state is NodeState.DRAINING:
                steps += [f"{kind} {name}" for kind in ("gone", "back") if kind in self.scope.kinds]
        return steps

    def _other_steps(self) -> list[str]:
        kinds, steps = self.scope.kinds, []
        if "join" in kinds:
            steps.append("join")
        if self.log_connected:
            steps += [kind for kind in ("cut", "repeat") if kind in kinds]
            if "gap" in kinds and not self.log_skips:
                steps.append("gap")
        steps += [kind for kind in ("purge", "purgeall") if kind in kinds]
        if not self.session.closing:
            if "leave" in kinds and self.monitor.observed_requests:
                steps.append("leave")
            if "stall" in kinds and self.session.sock.capacity is None:
                steps.append("stall")
        if "term" in kinds and self.drain_ends_at_s == math.inf:
            steps.append("term")
        steps += [kind for kind in ("reload", "nomem", "nocpu", "nolinks") if kind in kinds]
        return steps

    def touches(self, step: str) -> frozenset[str] | None:
        """Return the parts that a step is confined to: a connection, the client socket, the log or a limit.

        None for a step that may reach the decision module, which touches everything. The last remaining fault
        disables all others, so with one left they touch each other.
        """
        action, _, rest = step.partition(" ")
        action, args = action.rstrip("0123456789"), rest.split()
        part = _PART_BY_ACTION.get(action)
        if action in ("up", "flush"):
            part = args[0] if self._can_send_all(self._find_channel(args[0])) else None
        elif action in ("choke", "never", "stray"):
            part = args[0]
        else:
            noticed_later = action in ("reset", "hangup") and self.scope.fine
            if noticed_later or (
                action == "second" and self.txn(int(args[1])) not in self._find_channel(args[0]).link.attempts
            ):
                part = args[0]
        if part is None:
            return None
        return frozenset((part, "faults") if action in scopes.ALL_FAULTS and self.faults < 2 else (part,))

    def _can_send_all(self, channel: ServerChannel) -> bool:
        """Return whether all queued commands can still be sent, so that writing them reports no end.

        A connection that opens without commands may take over commands that wait for others.
        """
        attempts = [getattr(command, "_attempt", None) for command in channel._queue]
        return bool(not channel.sock.close_kind and channel.link.attempts) and all(
            attempt is None
            or not (attempt.ended or attempt.purged)
            and self.route.nodes.is_ready(attempt.action.node_id)
            and self.route.nodes.is_ready(attempt.action.source_id)
            for attempt in attempts
        )

    def do(self, step: str) -> None:
        """Take a step and, in a coarse scope, the router's own steps that follow at once."""
        global _current
        _current = self
        runtime_log.set_log_sink(_handle_log_line)
        action, _, rest = step.partition(" ")
        self._take_step(action, rest.split())
        while not self.scope.fine and (
            urgent_steps := [
                next_step for next_step in self.urgent() if next_step.startswith(("end", "decide"))
            ]
        ):
            action, _, rest = urgent_steps[0].partition(" ")
            self._take_step(action, rest.split())
        if self.session.sock.capacity is None:
            self.monitor.check_overdue(self.now_ms)
        self._check_invariants()

    def _check_invariants(self) -> None:
        """Check the invariants that hold between any two steps."""
        report_violation = self.monitor.report_violation
        if self.log_connected and not self.follower.last == self.delivered_events == len(self.log):
            report_violation(
                "log-followed",
                f"{len(self.log)} events published, {self.delivered_events} delivered, "
                f"last number {self.follower.last}",
            )
        for attempt in self.route.send._connection_by_attempt:
            if attempt.request.answered and self.settings.cancellation_allowed:
                report_violation(
                    "cancelled",
                    f"attempt {attempt.number} of {attempt.request.client_request.cls} "
                    "was not cancelled after the answer",
                )
        for channel in self.channels:
            if not channel.is_closed and not self.route.nodes.is_listed(channel.link.node_id):
                report_violation(
                    "gone-closed", f"{self._channel_name(channel)} stays open, but its node is not listed"
                )
            if channel.reached and not (
                channel.is_closed or channel.sock.close_kind or channel._write_blocked or channel._queue
            ):
                for txn in channel.unanswered_ids:
                    if txn not in channel.aborted_ids and txn not in channel.link.attempts:
                        report_violation(
                            "cancelled", f"{self._channel_name(channel)} was not told of an attempt given up"
                        )

    def _take_step(self, action: str, args: list[str]) -> None:
        if action in ANSWERS:
            self._send_answer(action, self._find_channel(args[0]), int(args[1]))
            self.faults -= action not in scopes.FAULT_FREE_ANSWERS
            return
        action, capacity = (action[:5], int(action[5:])) if action.startswith("choke") else (action, 0)
        if action in scopes.ALL_FAULTS:
            self.faults -= 1
        if action == "choke":
            self._find_channel(args[0]).sock.capacity = capacity
        else:
            getattr(self, f"_do_{action}")(*args)

    # time and the router's own steps

    def _do_wait(self) -> None:
        self.now_s = max(self.now_s, self._next_time()) + TIME_EPSILON_S

    def _do_fire(self) -> None:
        self.timers.run_due()

    def _do_decide(self) -> None:
        self.route.decide()

    def _do_expire(self) -> None:
        self.expired = True
        self.route.expire()

    def _do_end(self, name: str) -> None:
        channel = self._find_channel(name)
        self.channels.remove(channel)
        channel.ended("" if channel.is_closed else f"{channel.sock.close_kind} by the server")

    def _do_notup(self, name: str) -> None:
        channel = self._find_channel(name)
        self.channels.remove(channel)
        channel.connect_timed_out = True
        channel.ended("not up in time")

    def _do_endsession(self) -> None:
        self.session.finished = True
        for observed in self.monitor.observed_requests.values():
            if observed.state == "open":
                observed.state = "left"
        self.session.ended()

    # clients

    def _do_ask(self, index: str) -> None:
        cls, _ = self.requests[int(index)]
        self.requests[int(index)] = (cls, "asked")
        now, txn = self.now_ms, self.txn(int(index))
        self.monitor.request_received(
            txn,
            cls,
            now,
            min(now + CLIENT_TIMEOUT_MS - RESPONSE_MARGIN_MS, self.route.admit.final_deadline_ms)
            + BACKSTOP_MS,
        )
        if self.session.finished:
            self.session = ClientSession(
                ClientSocket(self._client_record_received), self.frontend, self.clock.now, self.budget
            )
        body = b"b" * 8 if CLASSES[cls].never_cached else b""
        etag = "aa11" if self.scope.seen and not CLASSES[cls].never_cached else ""
        self.session.feed(
            request_bytes(
                int(index) + 1, cls, txn, f"{self.object_keys[cls]:016x}", CLIENT_TIMEOUT_MS, etag, body
            )
        )

    def _do_abort(self, index: str) -> None:
        if (self.session, int(index) + 1) in self.frontend._open:
            self.monitor.client_left(self.txn(int(index)))  # otherwise the abort crosses the answer
        self.session.feed(fastcgi.record(fastcgi.ABORT, int(index) + 1))

    def _do_retry(self, index: str) -> None:
        cls, _ = self.requests[int(index)]
        self.requests[int(index)] = (cls, "retried")
        self.requests.append((cls, "unasked"))
        self._do_ask(str(len(self.requests) - 1))

    def _do_leave(self) -> None:
        self.session.sock.client_has_left = True
        self.session.closing = True
        for observed in self.monitor.observed_requests.values():
            if observed.state == "open":
                observed.state = "left"

    def _do_stall(self) -> None:
        self.session.sock.capacity = 0

    def _do_unstall(self) -> None:
        self.session.sock.capacity = None
        if self.session._write_blocked:
            self.session.writable()

    # connections

    def _do_up(self, name: str) -> None:
        channel = self._find_channel(name)
        channel.opened(channel.sock)

    def _do_refuse(self, name: str) -> None:
        channel = self._find_channel(name)
        self.channels.remove(channel)
        channel.failed(ConnectionRefusedError("refused"))
        channel.ended()

    def _do_never(self, name: str) -> None:
        self._find_channel(name).never_opens = True

    def _do_lack(self, name: str) -> None:
        channel = self._find_channel(name)
        self.channels.remove(channel)
        channel.awaits_descriptor = True
        channel.failed(OSError(24, "too many open files"))
        channel.ended()

    def _do_flush(self, name: str) -> None:
        channel = self._find_channel(name)
        channel.sock.capacity = None
        if channel._write_blocked:
            channel.writable()

    def _do_reset(self, name: str) -> None:
        self._find_channel(name).sock.close_kind = "reset"

    def _do_hangup(self, name: str) -> None:
        self._find_channel(name).sock.close_kind = "closed"

    # answers

    def _reply(self, action: str, txn: str, node: int, cls: str) -> tuple[bytes, bytes, float]:
        code, note = ANSWERS[action]
        name = f"{action}|{cls}|{node:x}"
        created_at_ms = START_S * 1000.0 - STALE_COPY_AGE_MS if action in ("old", "same") else self.now_ms
        fields = [("tell", note)] if note else []
        body = b""
        if code in ("200", "304") and action != "bare":
            fields += [("ver", "aa11"), ("born", f"{created_at_ms:.0f}")]
        if code == "200":
            body = f"{name}|{created_at_ms:.0f}".encode()
        fields += [("waited", "5"), ("meter", "busy:1;x0:0.5")]
        return resp.encode(txn.encode(), code.encode(), resp.format_fields(fields), body), body, created_at_ms

    def _send_answer(self, action: str, channel: ServerChannel, index: int) -> None:
        txn = self.txn(index)
        data, body, created_at_ms = self._reply(action, txn, channel.link.node_id, self.requests[index][0])
        self._mark_answered(channel, txn, data)
        self.monitor.answer_received(
            txn, channel.attempt_numbers.get(txn, -1), ANSWERS[action][0], body, created_at_ms
        )
        channel.deliver(data)

    def _mark_answered(self, channel: ServerChannel, txn: str, data: bytes) -> None:
        channel.unanswered_ids.remove(txn)
        if txn in channel.aborted_ids:
            channel.aborted_ids.remove(txn)
        channel.answered_ids.append(txn)
        channel.last_answers[txn] = data

    def _do_second(self, name: str, index: str) -> None:
        channel = self._find_channel(name)
        channel.deliver(channel.last_answers[self.txn(int(index))])

    def _do_stray(self, name: str) -> None:
        data, _, _ = self._reply("full", "f" * 16, 0, "none")
        self._find_channel(name).deliver(data)

    def _do_spoil(self, name: str, index: str) -> None:
        channel = self._find_channel(name)
        self._mark_answered(channel, self.txn(int(index)), b"")
        channel.deliver(resp.encode(self.txn(int(index)).encode(), b"299", b"-", b""))

    def _send_first_half(self, channel: ServerChannel, index: int) -> None:
        txn = self.txn(index)
        data, body, created_at_ms = self._reply("hit", txn, channel.link.node_id, self.requests[index][0])
        self._mark_answered(channel, txn, data)
        channel.unsent_rest = data[len(data) // 2 :]
        channel.partial_answer = (txn, body, created_at_ms)
        channel.deliver(data[: len(data) // 2])

    def _do_half(self, name: str, index: str) -> None:
        channel = self._find_channel(name)
        self._send_first_half(channel, int(index))
        channel.unsent_rest = b""
        channel.sock.close_kind = "reset"

    def _do_trickle(self, name: str, index: str) -> None:
        self._send_first_half(self._find_channel(name), int(index))

    def _do_rest(self, name: str) -> None:
        channel = self._find_channel(name)
        data, channel.unsent_rest = channel.unsent_rest, b""
        txn, body, created_at_ms = channel.partial_answer
        self.monitor.answer_received(txn, channel.attempt_numbers.get(txn, -1), "200", body, created_at_ms)
        channel.deliver(data)

    # endpoint list

    def _set_member(self, name: str, state: NodeState, started_ms: float | None = None) -> None:
        node = self.node_ids[name]
        _, _, before = self.members[node]
        self.members[node] = (name, state, before if started_ms is None else started_ms)

    def _do_drain(self, name: str) -> None:
        self._set_member(name, NodeState.DRAINING)
        self._publish_nodes([name])

    def _do_back(self, name: str) -> None:
        self._set_member(name, NodeState.READY)
        self._publish_nodes([name])

    def _do_gone(self, name: str) -> None:
        self._set_member(name, NodeState.REMOVED)
        self._publish_nodes([name])

    def _do_restart(self, name: str) -> None:
        self._set_member(name, NodeState.READY, round(self.now_ms))
        self._publish_nodes([name])

    def _do_replace(self, name: str) -> None:
        new_name = f"n{sum(other[0] == 'n' for other in self.node_ids) + 1}"
        if name[0] != "c":
            new_name = f"{name[0]}{int(name[1:]) + 5}"
        self.node_ids[new_name] = node = self.node_ids[name] + 0x1000
        self.ports[new_name] = self.ports[name]
        self.node_by_port[self.ports[name]] = node
        self._set_member(name, NodeState.REMOVED)
        self.members[node] = (new_name, NodeState.READY, 0.0)
        self._publish_nodes([name, new_name])

    def _do_join(self) -> None:
        new_name = f"n{sum(other[0] == 'n' for other in self.node_ids) + 1}"
        self.node_ids[new_name] = node = 0x5000 + len(self.node_ids)
        self.ports[new_name] = port = 7500 + len(self.node_ids)
        self.node_by_port[port] = node
        self.members[node] = (new_name, NodeState.READY, round(self.now_ms))
        self._publish_nodes([new_name])

    def _do_relief(self) -> None:
        self.budget.limit_bytes = MEMORY_LIMIT_BYTES
        self.route.send.max_connections = connection_limit(MAX_SOCKETS)
        assert isinstance(self.route.admit.cpu, FixedCredit)
        self.route.admit.cpu.credit_s = 0.0

    def _do_purge(self) -> None:
        cls = next(
            (cls for cls in self.scope.requests if not CLASSES[cls].never_cached), self.scope.requests[0]
        )
        self._append_event(3, struct.pack(">QQ", self.object_keys[cls], round(self.now_ms)))

    def _do_purgeall(self) -> None:
        self._append_event(4, struct.pack(">HQ", PURGE_GROUP, round(self.now_ms)))

    def _do_cut(self) -> None:
        self.log_connected = False

    def _do_mend(self) -> None:
        self.log_connected = True
        self._catch_up()

    def _do_repeat(self) -> None:
        self._deliver_frame(self.log[-1])

    def _do_gap(self) -> None:
        self.log_skips = True

    # the router's limits

    def _do_term(self) -> None:
        self.drain_ends_at_s = self.now_s + DRAIN_TIMEOUT_S
        self.route.admit.final_deadline_ms = self.now_ms + DRAIN_TIMEOUT_S * 1000.0

    def _do_reload(self) -> None:
        self.route.send.max_connections = 1

    def _do_nomem(self) -> None:
        self.budget.limit_bytes = 0.0

    def _do_nocpu(self) -> None:
        assert isinstance(self.route.admit.cpu, FixedCredit)
        self.route.admit.cpu.credit_s = -1.0

    def _do_nolinks(self) -> None:
        self.route.send.max_connections = self.route.send.connection_count()

    # -- settling --

    def default(self) -> str | None:
        """Return the step that happens if no peer acts any more; None if nothing is left to do."""
        urgent = self.urgent()
        return urgent[0] if urgent else None if self.idle() else "wait"

    def settle(self) -> None:
        """Let time pass with silent peers, and check that all requests end and all resources are released."""
        if self.session.sock.capacity is not None and not self.session.closing:
            self.do("unstall")
        for _ in range(MAX_SETTLE_STEPS):
            step = self.default()
            if step is None or self.violations:
                break
            self.do(step)
        else:
            self.monitor.report_violation("ends", f"not idle after {MAX_SETTLE_STEPS} steps")
        if self.violations:
            return
        for observed in self.monitor.observed_requests.values():
            if observed.state == "open":
                self.monitor.report_violation("ends", f"{observed.cls} has no answer, and no step is left")
        self._check_leaks()

    def _check_leaks(self) -> None:
        route, state = self.route, self.route.director.state
        loads = [*state.link_loads.values(), state.zone_link]
        remaining: dict[str, object] = {
            "open requests": len(route.requests),
            "request ids": len(route.requests._by_txn),
            "connections": route.send.connection_count(),
            "attempts on connections": len(route.send._connection_by_attempt),
            "bytes of the budget": self.budget._reserved_bytes + self.budget._incomplete_bytes,
            "requests of the frontend": len(self.frontend._open),
            "request ids of the client connection": 0
            if self.session.finished
            else len(self.session._decoder.open),
            "unsent answers": 0
            if self.session.finished
            else len(self.session._responses) + self.session._queued_bytes,
            "requests in the decision module": len(state.in_flight),
            "load in the decision module": sum(abs(load.in_flight) for load in loads)
            + round(sum(abs(load.in_flight_work_ms) for load in loads), 6),
        }
        for name, count in remaining.items():
            if count:
                self.monitor.report_violation("no-leak", f"{name}: {count} when all is quiet")

    def encode(self) -> bytes:
        """Return the state in its canonical form."""
        return encode_state(self)


_current: Simulation | None = None  # the simulation that checks the log lines of this process


def _handle_log_line(event: str, fields: dict[str, object]) -> None:
    if _current is not None and hasattr(_current, "monitor"):
        _current.check_log_line(event, fields)


class MonitoredHandle:
    """Wrapper of the decision module's `handle` that reports ended and ordered attempts to the monitor."""

    def __init__(self, simulation: Simulation) -> None:
        """Wrap the decision module of this simulation."""
        self._simulation = simulation
        self._director = simulation.route.director

    def __call__(self, now: float, event: Event) -> list[Any]:
        """Handle an event and report the ordered attempts to the monitor."""
        self._simulation.report_attempt_end(event)
        actions = type(self._director).handle(self._director, now, event)
        for action in actions:
            if isinstance(action, SendAttempt) and (txn := self._simulation.txn_of(action.request_id)):
                self._simulation.monitor.attempt_ordered(txn)
        return actions

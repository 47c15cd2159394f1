"""Runs the router's core in a simulated environment, where each choice of a peer, and of time, is a step.

Nothing of the router is modelled: front, session and channel, codecs, stages and the decision module are the
program's. Simulated are the sockets, the servers behind them, the clients, the change log and the clock.
"""

from __future__ import annotations

import math
import struct
from typing import Any

from stonecove.discovery import MembershipEvent, MembersUpdate, PurgeUpdate
from stonecove.explore import scope as bounds
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

START = 1_000_000.0  # the Unix second at which every run begins
HAIR = 1e-7  # seconds past an alarm's time to which a wait goes, so that equal times are one instant
TTL = 400.0  # ms that clients wait
LAST = 0.5  # seconds after SIGTERM at which all is answered
GROUP = 3
MEMORY = 1e6
SOCKETS = 48
OLD = 5000.0  # ms by which an old copy was born before the start
MOST_SETTLE = 400  # default steps within which all is quiet

_RECORD = struct.Struct(">IIHBBBHIQ")
_HEAD = struct.Struct(">IQB")
_VERDICTS = {"Status: 200": "served", "Status: 503": "refused", "Status: 502": "failed"}
_PARTS = {"stall": "client", "cut": "log", "gap": "log", "nocpu": "cpu", "nomem": "budget", "reload": "limit"}
_KINDS = {"c": CACHE, "p": PARENT, "o": ORIGIN, "n": CACHE}


class FixedRandom:
    """A random source that always gives the middle of the range, so that chance adds no states."""

    def random(self) -> float:
        """The middle of 0 and 1."""
        return 0.5

    def uniform(self, least: float, most: float) -> float:
        """The middle of a range."""
        return (least + most) / 2


class FixedCredit(CpuCredit):
    """CPU credit whose value is set by steps."""

    def __init__(self) -> None:
        self.saved = 0.0

    def set_cores(self, cores: float) -> None:
        """Nothing depends on cores here."""

    def remaining_s(self) -> float:
        """What was set."""
        return self.saved


def _item(cls: str, caches: tuple[int, ...]) -> int:
    """The least object of the class whose caches in hash order are those, so that c1 is always the home."""
    nodes = [Node(node, CACHE, 0.0, NodeState.READY, 0, 1, 1.0) for node in caches]
    ring = RendezvousHash(nodes, False)
    key = 1000 * (1 + bounds.ORDER.index(cls))
    while ring.order(chunk_key(RequestReceived(1, 0, key, 0.0, 0.0, 0, 0))) != caches:
        key += 1
    return key


class Simulation:
    """One router and its environment; steps are named by strings, as in `up c1.0`."""

    def __init__(self, scope: Scope) -> None:
        global _current
        _current = self
        runtime_log.set_log_sink(_logged)
        self.scope = scope
        self.t = START  # seconds
        self.faults = scope.faults
        self.clock = Clock(self._seconds)
        self.timers = Timers(self.clock, self._seconds)
        self.budget = MemoryBudget()
        self.budget.limit_bytes = MEMORY
        settings = bounds.settings(scope.attempts, scope.cancel)
        self.settings = settings
        self.monitor = PropertyMonitor(CLASSES, scope.attempts)
        self.channels: list[ServerChannel] = []  # those of which the router has not been told the end
        self.route = Route(settings, 7, self.clock, self.timers, self.budget, 0.0, self._connect)
        self.route.admit.cpu = FixedCredit()
        setattr(self.route.admit, "_random", FixedRandom())  # noqa: B010
        setattr(self.route.director.state, "random", FixedRandom())  # noqa: B010
        setattr(self.route.director, "handle", MonitoredHandle(self))  # noqa: B010
        self.route.send.max_connections = connection_limit(SOCKETS)
        self.front = FastCgiFrontend(settings, self.route)
        self.front.ready = True
        self.names: dict[str, int] = {}
        self.addresses: dict[str, int] = {}
        self.members: dict[int, tuple[str, NodeState, float]] = {}
        self.processes: dict[int, int] = {}  # by port: what listens there
        self.follower = Follower(0)
        self.log: list[bytes] = []  # payloads of events, by number
        self.log_up = True
        self.log_skips = False
        self.told_events = 0
        self.requests: list[tuple[str, str]] = []  # class and state: unasked, asked
        self.heads: dict[int, bytes] = {}  # what has come so far of answers, by FastCGI id
        self.session = ClientSession(ClientSocket(self._record), self.front, self.clock.now, self.budget)
        self.term_at = math.inf
        self.expired = False
        caches = tuple(0x11 + n for n in range(scope.caches))
        self.items = {cls: _item(cls, caches) for cls in set(scope.requests)}
        names = (
            [f"c{n + 1}" for n in range(scope.caches)] + [f"p{n + 1}" for n in range(scope.parents)] + ["o1"]
        )
        for place, name in enumerate(names):
            node = 0x11 + place if name[0] == "c" else 0x100 * _KINDS[name[0]] + place
            self.names[name], self.addresses[name] = node, 7000 + place
            self.processes[7000 + place] = node
            self.members[node] = (name, NodeState.READY, 0.0)
        self.requests = [(cls, "unasked") for cls in scope.requests]
        self._tell_list(names, whole=True)
        for step in scope.prefix:
            self.do(step)

    # -- what the router is given --

    def _seconds(self) -> float:
        return self.t

    @property
    def now(self) -> float:
        """Unix milliseconds."""
        return self.t * 1000.0

    @property
    def violations(self) -> list[Violation]:
        """Properties that were violated."""
        return self.monitor.violations

    def _connect(self, owner: Any, address: tuple[str, int], patience: float) -> ServerChannel:
        assert isinstance(owner, NodeConnection)
        channel = ServerChannel(self, owner, self.processes.get(address[1], 0), self.t + patience)
        self.channels.append(channel)
        return channel

    def _handle(self, event: Event) -> None:
        """Reports the end of an attempt to the monitor before the decision module sees it."""
        if isinstance(event, AttemptEnded) and (txn := self.txn_of(event.request_id)):
            self.monitor.ended(txn, event.attempt_index, event.outcome)

    def txn_of(self, req: int) -> str:
        """The id of an open request; empty for one that is over."""
        request = self.route.requests.get(req)
        return request.client_request.txn if request is not None else ""

    def logged(self, event: str, fields: dict[str, object]) -> None:
        """Called for each line that the router logs."""
        if event == LogEvent.INTERNAL_ERROR:
            self.monitor.broken("no-slip", f"{fields.get('where')}: {fields.get('error')}")
        elif event == LogEvent.REQUEST_UNDECIDED and not self.expired:
            self.monitor.broken("decided", f"request {fields.get('request')} was left to the backstop")

    # -- the list and its log --

    def _tell_list(self, names: list[str], whole: bool = False) -> None:
        records = []
        for name in names:
            node = self.names[name]
            _, state, started = self.members[node]
            code = {NodeState.READY: 0, NodeState.DRAINING: 1, NodeState.REMOVED: 2}[state]
            zone = 1 if name[0] in "cn" else 0
            cell = 1 if name == "c3" else 0
            records.append(
                _RECORD.pack(
                    node,
                    0x7F000001,
                    self.addresses[name],
                    code,
                    zone,
                    _KINDS[name[0]],
                    cell,
                    1000,
                    int(started),
                )
            )
        self._event(1 if whole else 2, b"".join(records))

    def _event(self, kind: int, payload: bytes) -> None:
        number = len(self.log) + 1
        self.log.append(_HEAD.pack(9 + len(payload), number, kind) + payload)
        if self.log_up:
            if self.log_skips:  # the event comes under a number too high, as if one had been missed
                self.log_skips = False
                if self._take(_HEAD.pack(9 + len(payload), number + 1, kind) + payload):
                    return
            self._catch_up()

    def _catch_up(self) -> None:
        (last,) = struct.unpack(">Q", self.follower.hello())
        for frame in self.log[last:]:
            self._take(frame)

    def _take(self, data: bytes) -> bool:
        buffer = Buffer(1 << 16)
        buffer.feed(data)
        return all(self.follower.take(frame, self) for frame in frames(buffer))

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Called by the follower with each event; reports it to the monitor, then to the router."""
        self.told_events += 1
        if isinstance(event, MembersUpdate):
            self.monitor.listed(tuple(member.node for member in event.members), event.is_snapshot)
        elif isinstance(event, PurgeUpdate):
            self.monitor.purges.append((self.now, event.purged_at_ms, event.group, event.key))
        self.route.handle_membership_event(event)

    # -- clients --

    def txn(self, place: int) -> str:
        """The id of a request of the scope."""
        return f"{place + 1:016x}"

    def _record(self, kind: int, ident: int, content: bytes) -> None:
        """Called with each FastCGI record that reaches the client."""
        if kind == fastcgi.STDOUT:
            self.heads[ident] = self.heads.get(ident, b"") + content
        elif kind == fastcgi.END:
            text = self.heads.pop(ident, b"")
            head, _, body = text.partition(b"\r\n\r\n")
            if not text:
                if content[4] == fastcgi.OVERLOADED:
                    self.monitor.answered(self.txn(ident - 1), "refused", b"", self.now)
                return  # the end of a request that was aborted
            verdict = _VERDICTS.get(head.decode("latin-1")[:11], "failed")
            if b"X-Notmod" in head:
                verdict = "unchanged"
            self.monitor.answered(self.txn(ident - 1), verdict, body, self.now)

    def first_byte(self, channel: ServerChannel, txn: str, fields: dict[str, str]) -> None:
        """Called as the first byte of a fetch is written."""
        number = next(
            (
                attempt.number
                for attempt, link in self.route.send._connection_by_attempt.items()
                if link.channel is channel and attempt.request.client_request.txn == txn
            ),
            -1,
        )
        if txn in channel.asked:
            self.monitor.broken(
                "one-id", f"id of {self.monitor.seen[txn].cls} is open already on {self._name(channel)}"
            )
        source = int(fields["from"].removeprefix("s-"), 16) if "from" in fields else None
        channel.numbers[txn] = number
        self.monitor.first_byte(txn, number, channel.link.node_id, source, self.now)

    # -- the steps --

    def _name(self, channel: ServerChannel) -> str:
        """A connection by its node and its place among those to it."""
        node = channel.link.node_id
        same = [other for other in self.channels if other.link.node_id == node]
        return f"{self.members[node][0]}.{same.index(channel)}"

    def _channel(self, name: str) -> ServerChannel:
        return next(channel for channel in self.channels if self._name(channel) == name)

    def urgent(self) -> list[str]:
        """The router's own steps that are due before time may pass."""
        steps = []
        for channel in self.channels:
            if channel.is_closed or (channel.reached and channel.sock.dead):
                steps.append(f"end {self._name(channel)}")
            elif not channel.reached and self.t >= channel.until:
                steps.append(f"notup {self._name(channel)}")
        if self.session.closing and not self.session.finished:
            steps.append("endsession")
        if self.route._undecided:
            steps.append("decide")
        if self.timers.next_due() <= self.t:
            steps.append("fire")
        if self.t >= self.term_at and not self.expired:
            steps.append("expire")
        return steps

    def _next_time(self) -> float:
        times = [self.timers.next_due(), self.term_at if not self.expired else math.inf]
        times += [channel.until for channel in self.channels if not channel.reached and not channel.is_closed]
        return min(times)

    def idle(self) -> bool:
        """Whether nothing is open, held, connected or due but the sweep."""
        alarms = [
            alarm
            for _, _, alarm in self.timers._heap
            if alarm.callback is not None and getattr(alarm.callback, "__name__", "") != "_sweep"
        ]
        stopping = self.term_at < math.inf and not self.expired
        return not (alarms or len(self.route.requests) or self.channels or self.route._undecided or stopping)

    def enabled(self) -> list[str]:
        """All steps that may be taken now."""
        steps = self.urgent()
        if not steps and not self.idle():
            steps.append("wait")
        scope, kinds, left = self.scope, self.scope.kinds, self.faults > 0
        for place, (cls, state) in enumerate(self.requests):
            if state == "unasked":
                same = [other for other in self.requests[:place] if other == (cls, "unasked")]
                if not same and (self.session.finished or not self.session.closing) and not self.expired:
                    steps.append(f"ask {place}")
            elif left and (seen := self.monitor.seen.get(self.txn(place))):
                if "abort" in kinds and seen.state == "open" and not self.session.closing:
                    steps.append(f"abort {place}")
                if (
                    "retry" in kinds
                    and seen.state == "answered"
                    and state == "asked"
                    and len(self.requests) == len(scope.requests)
                    and not self.session.closing
                ):
                    steps.append(f"retry {place}")
        for channel in self.channels:
            steps += self._on_channel(channel, left)
        if left:
            steps += self._on_list()
            steps += self._on_rest()
        if not self.log_up:
            steps.append("mend")
        if scope.relief and self._strained():
            steps.append("relief")
        if self.session.sock.room is not None and not self.session.closing:
            steps.append("unstall")
        return steps

    def _strained(self) -> bool:
        return (
            self.budget.limit_bytes < MEMORY
            or self.route.send.max_connections < connection_limit(SOCKETS)
            or getattr(self.route.admit.cpu, "saved", 0.0) < 0
        )

    def _on_channel(self, channel: ServerChannel, left: bool) -> list[str]:
        if channel.is_closed or channel.sock.dead:
            return []
        name, kinds, steps = self._name(channel), self.scope.kinds, []
        if not channel.reached:
            if not channel.silent:
                steps.append(f"up {name}")
                if left:
                    steps += [f"{kind} {name}" for kind in ("refuse", "never", "lack") if kind in kinds]
        elif channel.sock.room is not None:
            steps.append(f"flush {name}")
        if channel.halfway:
            return [
                f"rest {name}",
                *(f"{kind} {name}" for kind in ("reset", "hangup") if left and kind in kinds),
            ]
        for txn in channel.asked:
            place = int(txn, 16) - 1
            gone = txn in channel.aborted
            for answer in ("hit",) if gone else self.scope.answers:
                if answer in bounds.FREE or left:
                    if answer == "same" and not self.scope.seen:
                        continue
                    steps.append(f"{answer} {name} {place}")
            if left and not gone:
                steps += [f"{kind} {name} {place}" for kind in ("spoil", "half", "trickle") if kind in kinds]
        if left and "choke" in kinds and channel.sock.room is None:
            steps += [f"choke{room} {name}" for room in (0, 20)]
        if left and channel.reached:
            steps += [f"{kind} {name}" for kind in ("reset", "hangup", "stray") if kind in kinds]
            if "second" in kinds:
                steps += [f"second {name} {int(txn, 16) - 1}" for txn in dict.fromkeys(channel.done)]
        return steps

    def _on_list(self) -> list[str]:
        steps = []
        for name in self.scope.targets:
            if name not in self.names:
                continue
            state = self.members[self.names[name]][1]
            if state is NodeState.READY:
                steps += [
                    f"{kind} {name}"
                    for kind in ("drain", "gone", "replace", "restart")
                    if kind in self.scope.kinds
                ]
            elif state is NodeState.DRAINING:
                steps += [f"{kind} {name}" for kind in ("gone", "back") if kind in self.scope.kinds]
        return steps

    def _on_rest(self) -> list[str]:
        kinds, steps = self.scope.kinds, []
        if "join" in kinds:
            steps.append("join")
        if self.log_up:
            steps += [kind for kind in ("cut", "repeat") if kind in kinds]
            if "gap" in kinds and not self.log_skips:
                steps.append("gap")
        steps += [kind for kind in ("purge", "purgeall") if kind in kinds]
        if not self.session.closing:
            if "leave" in kinds and self.monitor.seen:
                steps.append("leave")
            if "stall" in kinds and self.session.sock.room is None:
                steps.append("stall")
        if "term" in kinds and self.term_at == math.inf:
            steps.append("term")
        steps += [kind for kind in ("reload", "nomem", "nocpu", "nolinks") if kind in kinds]
        return steps

    def touches(self, step: str) -> frozenset[str] | None:
        """The parts that a step stays within: a connection, the client's socket, the log, one of our limits.

        A step that may reach the decision module touches everything. The last fault left takes all other
        faults away, so with one left they touch each other.
        """
        word, _, rest = step.partition(" ")
        word, args = word.rstrip("0123456789"), rest.split()
        part = _PARTS.get(word)
        if word in ("up", "flush"):
            part = args[0] if self._goes_on(self._channel(args[0])) else None
        elif word in ("choke", "never", "stray"):
            part = args[0]
        else:
            noticed_later = word in ("reset", "hangup") and self.scope.fine
            if noticed_later or (
                word == "second" and self.txn(int(args[1])) not in self._channel(args[0]).link.attempts
            ):
                part = args[0]
        if part is None:
            return None
        return frozenset((part, "faults") if word in bounds.ALL_FAULTS and self.faults < 2 else (part,))

    def _goes_on(self, channel: ServerChannel) -> bool:
        """Whether all that waits on the connection still goes, so that no end is told when it is written.

        One that comes up with nothing on it may take over what waits for others.
        """
        attempts = [getattr(command, "_attempt", None) for command in channel._queue]
        return bool(not channel.sock.dead and channel.link.attempts) and all(
            attempt is None
            or not (attempt.ended or attempt.purged)
            and self.route.nodes.is_ready(attempt.action.node_id)
            and self.route.nodes.is_ready(attempt.action.source_id)
            for attempt in attempts
        )

    def do(self, step: str) -> None:
        """Takes a step, and in a coarse scope the router's own turns that follow at once."""
        global _current
        _current = self
        runtime_log.set_log_sink(_logged)
        word, _, rest = step.partition(" ")
        self._one(word, rest.split())
        while not self.scope.fine and (own := [s for s in self.urgent() if s.startswith(("end", "decide"))]):
            word, _, rest = own[0].partition(" ")
            self._one(word, rest.split())
        if self.session.sock.room is None:
            self.monitor.overdue(self.now)
        self._look()

    def _look(self) -> None:
        """What must hold between any two steps."""
        broken = self.monitor.broken
        if self.log_up and not self.follower.last == self.told_events == len(self.log):
            broken(
                "log-followed",
                f"{len(self.log)} events, {self.told_events} told, last {self.follower.last}",
            )
        for attempt in self.route.send._connection_by_attempt:
            if attempt.request.answered and self.settings.cancellation_allowed:
                broken(
                    "cancelled", f"attempt {attempt.number} of {attempt.request.client_request.cls} stays out"
                )
        for channel in self.channels:
            if not channel.is_closed and not self.route.nodes.is_listed(channel.link.node_id):
                broken("gone-closed", f"{self._name(channel)} stays open")
            if channel.reached and not (
                channel.is_closed or channel.sock.dead or channel._write_blocked or channel._queue
            ):
                for txn in channel.asked:
                    if txn not in channel.aborted and txn not in channel.link.attempts:
                        broken("cancelled", f"{self._name(channel)} was not told of an attempt given up")

    def _one(self, word: str, args: list[str]) -> None:
        if word in ANSWERS:
            self._answer(word, self._channel(args[0]), int(args[1]))
            self.faults -= word not in bounds.FREE
            return
        word, room = (word[:5], int(word[5:])) if word.startswith("choke") else (word, 0)
        if word in bounds.ALL_FAULTS:
            self.faults -= 1
        if word == "choke":
            self._channel(args[0]).sock.room = room
        else:
            getattr(self, f"_do_{word}")(*args)

    # time and our own turns

    def _do_wait(self) -> None:
        self.t = max(self.t, self._next_time()) + HAIR

    def _do_fire(self) -> None:
        self.timers.run_due()

    def _do_decide(self) -> None:
        self.route.decide()

    def _do_expire(self) -> None:
        self.expired = True
        self.route.expire()

    def _do_end(self, name: str) -> None:
        channel = self._channel(name)
        self.channels.remove(channel)
        channel.ended("" if channel.is_closed else f"{channel.sock.dead} by the server")

    def _do_notup(self, name: str) -> None:
        channel = self._channel(name)
        self.channels.remove(channel)
        channel.connect_timed_out = True
        channel.ended("not up in time")

    def _do_endsession(self) -> None:
        self.session.finished = True
        for seen in self.monitor.seen.values():
            if seen.state == "open":
                seen.state = "left"
        self.session.ended()

    # clients

    def _do_ask(self, place: str) -> None:
        cls, _ = self.requests[int(place)]
        self.requests[int(place)] = (cls, "asked")
        now, txn = self.now, self.txn(int(place))
        self.monitor.taken(
            txn,
            cls,
            now,
            min(now + TTL - RESPONSE_MARGIN_MS, self.route.admit.final_deadline_ms) + BACKSTOP_MS,
        )
        if self.session.finished:
            self.session = ClientSession(ClientSocket(self._record), self.front, self.clock.now, self.budget)
        body = b"b" * 8 if CLASSES[cls].never_cached else b""
        seen = "aa11" if self.scope.seen and not CLASSES[cls].never_cached else ""
        self.session.feed(request_bytes(int(place) + 1, cls, txn, f"{self.items[cls]:016x}", TTL, seen, body))

    def _do_abort(self, place: str) -> None:
        if (self.session, int(place) + 1) in self.front._open:
            self.monitor.left(self.txn(int(place)))  # else the abort crosses an answer that is on its way
        self.session.feed(fastcgi.record(fastcgi.ABORT, int(place) + 1))

    def _do_retry(self, place: str) -> None:
        cls, _ = self.requests[int(place)]
        self.requests[int(place)] = (cls, "retried")
        self.requests.append((cls, "unasked"))
        self._do_ask(str(len(self.requests) - 1))

    def _do_leave(self) -> None:
        self.session.sock.gone = True
        self.session.closing = True
        for seen in self.monitor.seen.values():
            if seen.state == "open":
                seen.state = "left"

    def _do_stall(self) -> None:
        self.session.sock.room = 0

    def _do_unstall(self) -> None:
        self.session.sock.room = None
        if self.session._write_blocked:
            self.session.writable()

    # connections

    def _do_up(self, name: str) -> None:
        channel = self._channel(name)
        channel.opened(channel.sock)

    def _do_refuse(self, name: str) -> None:
        channel = self._channel(name)
        self.channels.remove(channel)
        channel.failed(ConnectionRefusedError("refused"))
        channel.ended()

    def _do_never(self, name: str) -> None:
        self._channel(name).silent = True

    def _do_lack(self, name: str) -> None:
        channel = self._channel(name)
        self.channels.remove(channel)
        channel.awaits_descriptor = True
        channel.failed(OSError(24, "too many open files"))
        channel.ended()

    def _do_flush(self, name: str) -> None:
        channel = self._channel(name)
        channel.sock.room = None
        if channel._write_blocked:
            channel.writable()

    def _do_reset(self, name: str) -> None:
        self._channel(name).sock.dead = "reset"

    def _do_hangup(self, name: str) -> None:
        self._channel(name).sock.dead = "closed"

    # answers

    def _reply(self, word: str, txn: str, node: int, cls: str) -> tuple[bytes, bytes, float]:
        code, note = ANSWERS[word]
        name = f"{word}|{cls}|{node:x}"
        born = START * 1000.0 - OLD if word in ("old", "same") else self.now
        fields = [("tell", note)] if note else []
        body = b""
        if code in ("200", "304") and word != "bare":
            fields += [("ver", "aa11"), ("born", f"{born:.0f}")]
        if code == "200":
            body = f"{name}|{born:.0f}".encode()
        fields += [("waited", "5"), ("meter", "busy:1;x0:0.5")]
        return resp.encode(txn.encode(), code.encode(), resp.format_fields(fields), body), body, born

    def _answer(self, word: str, channel: ServerChannel, place: int) -> None:
        txn = self.txn(place)
        data, body, born = self._reply(word, txn, channel.link.node_id, self.requests[place][0])
        self._answered(channel, txn, data)
        self.monitor.word(txn, channel.numbers.get(txn, -1), ANSWERS[word][0], body, born)
        channel.deliver(data)

    def _answered(self, channel: ServerChannel, txn: str, data: bytes) -> None:
        channel.asked.remove(txn)
        if txn in channel.aborted:
            channel.aborted.remove(txn)
        channel.done.append(txn)
        channel.last[txn] = data

    def _do_second(self, name: str, place: str) -> None:
        channel = self._channel(name)
        channel.deliver(channel.last[self.txn(int(place))])

    def _do_stray(self, name: str) -> None:
        data, _, _ = self._reply("full", "f" * 16, 0, "none")
        self._channel(name).deliver(data)

    def _do_spoil(self, name: str, place: str) -> None:
        channel = self._channel(name)
        self._answered(channel, self.txn(int(place)), b"")
        channel.deliver(resp.encode(self.txn(int(place)).encode(), b"299", b"-", b""))

    def _halfway(self, channel: ServerChannel, place: int) -> None:
        txn = self.txn(place)
        data, body, born = self._reply("hit", txn, channel.link.node_id, self.requests[place][0])
        self._answered(channel, txn, data)
        channel.halfway = data[len(data) // 2 :]
        channel.owed = (txn, body, born)
        channel.deliver(data[: len(data) // 2])

    def _do_half(self, name: str, place: str) -> None:
        channel = self._channel(name)
        self._halfway(channel, int(place))
        channel.halfway = b""
        channel.sock.dead = "reset"

    def _do_trickle(self, name: str, place: str) -> None:
        self._halfway(self._channel(name), int(place))

    def _do_rest(self, name: str) -> None:
        channel = self._channel(name)
        data, channel.halfway = channel.halfway, b""
        txn, body, born = channel.owed
        self.monitor.word(txn, channel.numbers.get(txn, -1), "200", body, born)
        channel.deliver(data)

    # the list

    def _set(self, name: str, state: NodeState, started: float | None = None) -> None:
        node = self.names[name]
        _, _, before = self.members[node]
        self.members[node] = (name, state, before if started is None else started)

    def _do_drain(self, name: str) -> None:
        self._set(name, NodeState.DRAINING)
        self._tell_list([name])

    def _do_back(self, name: str) -> None:
        self._set(name, NodeState.READY)
        self._tell_list([name])

    def _do_gone(self, name: str) -> None:
        self._set(name, NodeState.REMOVED)
        self._tell_list([name])

    def _do_restart(self, name: str) -> None:
        self._set(name, NodeState.READY, round(self.now))
        self._tell_list([name])

    def _do_replace(self, name: str) -> None:
        fresh = f"n{sum(other[0] == 'n' for other in self.names) + 1}"
        if name[0] != "c":
            fresh = f"{name[0]}{int(name[1:]) + 5}"
        self.names[fresh] = node = self.names[name] + 0x1000
        self.addresses[fresh] = self.addresses[name]
        self.processes[self.addresses[name]] = node
        self._set(name, NodeState.REMOVED)
        self.members[node] = (fresh, NodeState.READY, 0.0)
        self._tell_list([name, fresh])

    def _do_join(self) -> None:
        fresh = f"n{sum(other[0] == 'n' for other in self.names) + 1}"
        self.names[fresh] = node = 0x5000 + len(self.names)
        self.addresses[fresh] = port = 7500 + len(self.names)
        self.processes[port] = node
        self.members[node] = (fresh, NodeState.READY, round(self.now))
        self._tell_list([fresh])

    def _do_relief(self) -> None:
        self.budget.limit_bytes = MEMORY
        self.route.send.max_connections = connection_limit(SOCKETS)
        assert isinstance(self.route.admit.cpu, FixedCredit)
        self.route.admit.cpu.saved = 0.0

    def _do_purge(self) -> None:
        cls = next(
            (cls for cls in self.scope.requests if not CLASSES[cls].never_cached), self.scope.requests[0]
        )
        self._event(3, struct.pack(">QQ", self.items[cls], round(self.now)))

    def _do_purgeall(self) -> None:
        self._event(4, struct.pack(">HQ", GROUP, round(self.now)))

    def _do_cut(self) -> None:
        self.log_up = False

    def _do_mend(self) -> None:
        self.log_up = True
        self._catch_up()

    def _do_repeat(self) -> None:
        self._take(self.log[-1])

    def _do_gap(self) -> None:
        self.log_skips = True

    # our own limits

    def _do_term(self) -> None:
        self.term_at = self.t + LAST
        self.route.admit.final_deadline_ms = self.now + LAST * 1000.0

    def _do_reload(self) -> None:
        self.route.send.max_connections = 1

    def _do_nomem(self) -> None:
        self.budget.limit_bytes = 0.0

    def _do_nocpu(self) -> None:
        assert isinstance(self.route.admit.cpu, FixedCredit)
        self.route.admit.cpu.saved = -1.0

    def _do_nolinks(self) -> None:
        self.route.send.max_connections = self.route.send.connection_count()

    # -- towards the end --

    def default(self) -> str | None:
        """The step that happens if no peer does anything more; None if nothing is left to do."""
        urgent = self.urgent()
        return urgent[0] if urgent else None if self.idle() else "wait"

    def settle(self) -> None:
        """Lets time run with peers that say nothing, and checks that all ends and nothing is kept."""
        if self.session.sock.room is not None and not self.session.closing:
            self.do("unstall")
        for _ in range(MOST_SETTLE):
            step = self.default()
            if step is None or self.violations:
                break
            self.do(step)
        else:
            self.monitor.broken("ends", f"not quiet after {MOST_SETTLE} steps")
        if self.violations:
            return
        for seen in self.monitor.seen.values():
            if seen.state == "open":
                self.monitor.broken("ends", f"{seen.cls} is open, and nothing more will happen")
        self._leaks()

    def _leaks(self) -> None:
        route, state = self.route, self.route.director.state
        loads = [*state.link_loads.values(), state.zone_link]
        held: dict[str, object] = {
            "open requests": len(route.requests),
            "request ids": len(route.requests._by_txn),
            "connections": route.send.connection_count(),
            "attempts on connections": len(route.send._connection_by_attempt),
            "bytes of the budget": self.budget._reserved_bytes + self.budget._incomplete_bytes,
            "requests of the front": len(self.front._open),
            "ids of the client": 0 if self.session.finished else len(self.session._decoder.open),
            "answers unsent": 0
            if self.session.finished
            else len(self.session._responses) + self.session._queued_bytes,
            "requests in the module": len(state.in_flight),
            "load in the module": sum(abs(load.in_flight) for load in loads)
            + round(sum(abs(load.in_flight_work_ms) for load in loads), 6),
        }
        for name, count in held.items():
            if count:
                self.monitor.broken("no-leak", f"{name}: {count} when all is quiet")

    def encode(self) -> bytes:
        """The state in its canonical form."""
        return encode_state(self)


_current: Simulation | None = None


def _logged(event: str, fields: dict[str, object]) -> None:
    if _current is not None and hasattr(_current, "monitor"):
        _current.logged(event, fields)


class MonitoredHandle:
    """The decision module's `handle`; reports its orders to the monitor."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._director = simulation.route.director

    def __call__(self, now: float, event: Event) -> list[Any]:
        self._simulation._handle(event)
        actions = type(self._director).handle(self._director, now, event)
        for act in actions:
            if isinstance(act, SendAttempt) and (txn := self._simulation.txn_of(act.request_id)):
                self._simulation.monitor.ordered(txn)
        return actions

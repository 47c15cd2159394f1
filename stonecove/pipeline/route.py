"""Stage 3, route: the one loop. Events go into the decision module, its actions are carried out."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from stonecove.discovery import MembersUpdate, PurgeUpdate, Told
from stonecove.exchange import Answer, ClientRequest, Verdict
from stonecove.pipeline.admit import Admit
from stonecove.pipeline.book import Book
from stonecove.pipeline.relay import Relay
from stonecove.pipeline.send import Connect, Send
from stonecove.routing.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    StartTimer,
    WriteLog,
)
from stonecove.routing.director import Director
from stonecove.routing.endpoints import EndpointListKind, reported_state
from stonecove.routing.events import (
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    Outcome,
    PurgeReceived,
    RequestReceived,
    SettingsChanged,
    TimerExpired,
)
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.timers import Timers, nobody
from stonecove.state.budget import Budget
from stonecove.state.nodes import NodeTable
from stonecove.state.requests import Attempt, OpenRequest, OpenRequests

Gate = Callable[
    [ClientRequest], str
]  # empty if a request may go in, else the name of the limit that refuses it

BATCH = 8  # requests that are decided between two looks at the sockets
SAID_FOR = 1000.0  # ms within which the module's words are not repeated
BACKSTOP = 20.0  # ms after a request's deadline at which it is answered even if nobody decided


class Route:
    """The core: it never waits, and nothing in here knows how a front speaks."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        timers: Timers,
        budget: Budget,
        pace: float,
        connect: Connect,
        wake: Callable[[], None] = nobody,
    ) -> None:
        """`connect` opens connections to caches; `wake` is called when a request waits to be decided."""
        self._clock, self._timers = clock, timers
        self.director = Director(settings, seed)
        self._events: deque[Event] = deque()
        self._busy = False
        self.nodes = NodeTable()
        self.requests = OpenRequests()
        self.admit = Admit(settings, self.requests, budget, pace, seed)
        self._undecided: deque[tuple[float, OpenRequest]] = deque()  # with the time at which each came
        self._wake = wake
        self.book = Book(clock, self.admit, self.post)
        self.relay = Relay(settings, self.book)
        self.send = Send(clock, timers, self.nodes, settings, self.book, self.relay, connect)
        self._carry: dict[type, Callable[[Any], None]] = {
            SendAttempt: self._get,
            CancelAttempt: self._cancel,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            StartTimer: self._timer,
            WriteLog: self._log,
        }
        self._said: dict[str, float] = {}
        self.gate: Gate | None = None  # limits that routers share, where the operator has set some

    def carries(self, action: type, call: Callable[[Any], None]) -> None:
        """What is done with actions of a kind that only some installations have."""
        self._carry[action] = call

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold from now on, everywhere in one step; not to be called from within a decision.

        What was taken in before is decided by the settings before: guards against a request that is decided
        as of a class that it was not checked for.
        """
        while self.decide():
            pass
        self.post(SettingsChanged(settings))
        self.admit.reconfigure(settings)
        self.relay.reconfigure(settings)
        self.send.reconfigure(settings)

    # -- what comes in --

    def asked(self, asked: ClientRequest) -> OpenRequest | None:
        """A request was taken in; None if it was refused at the door."""
        now = self._clock.now()
        if self.gate is not None and (limit := self.gate(asked)):
            self.book.counts[f"limit:{limit}"] += 1
            asked.reply(Answer(Verdict.REFUSED, retry_after_ms=self.admit.pause()))
            return None
        request = self.admit.enter(now, asked)
        if request is None:
            self.book.counts["no_room"] += 1
            asked.reply(Answer(Verdict.REFUSED, retry_after_ms=self.admit.pause()))
            return None
        request.backstop = self._timers.at(request.deadline + BACKSTOP, partial(self._backstop, request))
        self._undecided.append((now, request))
        self._wake()
        return request

    def decide(self) -> bool:
        """Hands some requests to the module; says whether more are waiting. In between, sockets are read.

        Guards against a burst that keeps answers from being passed on. How long a request has waited here
        shows whether there is more to do than we can.
        """
        for _ in range(min(BATCH, len(self._undecided))):
            came, request = self._undecided.popleft()
            if not request.answered:
                self._decide(came, request)
        return bool(self._undecided)

    def _decide(self, came: float, request: OpenRequest) -> None:
        now, asked = self._clock.now(), request.asked
        if self.admit.too_much(now, came, asked.class_index):
            self.book.counts["shed"] += 1
            self.relay.answer(request, Answer(Verdict.REFUSED, retry_after_ms=self.admit.pause()))
        else:
            self.post(
                RequestReceived(
                    request.req,
                    asked.class_index,
                    asked.object_key,
                    request.deadline - now,
                    asked.size_kb,
                    asked.group,
                    asked.chunk_index,
                )
            )

    def left(self, request: OpenRequest) -> None:
        """The client of an open request has gone."""
        if not request.answered:
            if request.asked.on_disconnect is not None:
                request.asked.on_disconnect()
            self.relay.left(request)
            self.post(ClientDisconnected(request.req))

    def told(self, event: Told) -> None:
        """News of nodes or a purge. What waits to be written is looked at again, once the module knows."""
        waiting = self.requests.waiting()
        if isinstance(event, PurgeUpdate):
            self.post(PurgeReceived(max(0.0, self._clock.now() - event.time), event.group, event.key))
            for attempt in waiting:
                asked = attempt.request.asked
                attempt.outdated |= asked.object_key == event.key if event.key else asked.group == event.group
        else:
            self._listed(event)
        for attempt in waiting:
            self.send.may_go(attempt)

    def _listed(self, event: MembersUpdate) -> None:
        self.nodes.apply(event)
        form = EndpointListKind.SNAPSHOT if event.whole else EndpointListKind.DELTA
        self.post(EndpointListUpdate(form, tuple(member.node for member in event.members)))
        for member in event.members:
            node = member.node
            if node.started_ms > 0:
                self.send.started(node.node_id, node.started_ms)
            log(
                LogEvent.ENDPOINT_UPDATED,
                node=f"s-{node.node_id:08x}",
                state=reported_state(node.state),
                kind=node.kind,
                zone=node.zone,
                started_ms=f"{node.started_ms:.0f}",
                address=f"{member.host}:{member.port}",
            )
        self.send.gone()

    def post(self, event: Event) -> None:
        """Queues an event and, unless that is going on already, works the queue off."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._one(self._events.popleft())
        finally:
            self._busy = False

    def _one(self, event: Event) -> None:
        """Guards against a slip in one decision that ends the process or leaves a request unanswered."""
        try:
            for action in self.director.handle(self._clock.now(), event):
                if carry := self._carry.get(type(action)):
                    carry(action)
        except Exception as error:
            where = traceback.extract_tb(error.__traceback__)[-1]
            log(
                LogEvent.INTERNAL_ERROR,
                where=f"{where.filename.rpartition('/')[2]}:{where.lineno}",
                error=repr(error),
            )
            if isinstance(event, RequestReceived) and (request := self.requests.get(event.request_id)):
                self._fail(FailRequest(request.req))

    # -- what is to be done --

    def _get(self, act: SendAttempt) -> None:
        request = self.requests.get(act.request_id)
        if request is None:
            return
        cut_at = min(act.deadline_ms, request.deadline) if act.deadline_ms > 0 else request.deadline
        attempt = Attempt(request, len(request.attempts), act._replace(deadline_ms=cut_at), self._clock.now())
        request.attempts.append(attempt)
        if request.expired:
            self.book.ended(attempt, Outcome.EXPIRED_UNSENT)
        else:
            self.send.order(attempt)

    def _cancel(self, act: CancelAttempt) -> None:
        request = self.requests.get(act.request_id)
        if request is not None and act.attempt_index < len(request.attempts):
            attempt = request.attempts[act.attempt_index]
            if not attempt.ended:
                self.send.cancel(attempt)

    def _refuse(self, act: RejectRequest) -> None:
        if request := self.requests.get(act.request_id):
            self.relay.answer(request, Answer(Verdict.REFUSED, retry_after_ms=act.retry_after_ms))

    def _fail(self, act: FailRequest) -> None:
        if request := self.requests.get(act.request_id):
            self.relay.answer(request, Answer(Verdict.FAILED))

    def _timer(self, act: StartTimer) -> None:
        self._timers.at(act.expires_at_ms, partial(self.post, TimerExpired(act.token)))

    def _log(self, act: WriteLog) -> None:
        """Guards against a log full of one line: the same text comes once a second at most."""
        now = self._clock.now()
        self._said = {text: at for text, at in self._said.items() if 0 <= now - at < SAID_FOR}
        if act.text not in self._said:
            self._said[act.text] = now
            log(LogEvent.ROUTING_NOTICE, text=act.text)

    # -- ends --

    def _backstop(self, request: OpenRequest) -> None:
        """Guards against a request that nobody answers."""
        if not request.answered:
            log(LogEvent.REQUEST_UNDECIDED, request=request.asked.txn)
            self.relay.answer(request, Answer(Verdict.FAILED))
            self.post(ClientDisconnected(request.req))
        for attempt in request.attempts:
            if not attempt.ended:
                self.send.cancel(attempt)

    def expire(self) -> None:
        """The router is about to stop: the time of all that is open is over, and the module is told so."""
        for request in self.requests:
            request.expired = True
            for attempt in list(request.attempts):
                if not attempt.ended:
                    self.send.late(attempt)
            if not request.answered and not request.attempts:
                # It came so late that it has not been decided: nothing ran, so the client may ask elsewhere.
                self.relay.answer(request, Answer(Verdict.REFUSED, retry_after_ms=self.admit.pause()))
            elif not request.answered:
                self._backstop(request)

"""Stage 3, routing: the event loop around the decision module.

Events are passed to the decision module one at a time, and the actions that it returns are carried out.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from stonecove.discovery import MembershipEvent, MembersUpdate, PurgeUpdate
from stonecove.exchange import Answer, BadRequestError, ClientRequest, Verdict
from stonecove.pipeline.admit import Admit
from stonecove.pipeline.book import AttemptRecorder
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
from stonecove.runtime.timers import Timers, no_op
from stonecove.state.budget import MemoryBudget
from stonecove.state.nodes import NodeTable
from stonecove.state.requests import Attempt, OpenRequest, OpenRequests

# Returns the name of the limit that rejects a request; empty if it is admitted.
SharedLimitCheck = Callable[[ClientRequest], str]

DECISION_BATCH = 8  # requests decided before the sockets are read again
NOTICE_INTERVAL_MS = 1000.0  # a notice of the decision module is not repeated within this time
BACKSTOP_MS = 20.0  # a request that is undecided this long after its deadline is failed


class Route:
    """Connects the stages. It never blocks, and it is independent of the front end's protocol."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        timers: Timers,
        budget: MemoryBudget,
        transfer_bytes_per_s: float,
        connect: Connect,
        wake: Callable[[], None] = no_op,
    ) -> None:
        """Create the stages.

        `transfer_bytes_per_s` is the rate of one transfer to a client, 0 if unknown. `connect` opens a
        connection to a cache. `wake` is called when a request is queued for a decision.
        """
        self._clock, self._timers = clock, timers
        self.director = Director(settings, seed)
        self._events: deque[Event] = deque()
        self._processing = False
        self.nodes = NodeTable()
        self.requests = OpenRequests()
        self.admit = Admit(settings, self.requests, budget, transfer_bytes_per_s, seed)
        self._undecided: deque[tuple[float, OpenRequest]] = deque()  # with arrival times in Unix ms
        self._wake = wake
        self.recorder = AttemptRecorder(clock, self.admit, self.post)
        self.relay = Relay(settings, self.recorder)
        self.send = Send(clock, timers, self.nodes, settings, self.recorder, self.relay, connect)
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            SendAttempt: self._send_attempt,
            CancelAttempt: self._cancel_attempt,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            StartTimer: self._start_timer,
            WriteLog: self._write_log,
        }
        self._last_notice_ms: dict[str, float] = {}
        # limits shared by all routers; None unless the operator has configured some
        self.shared_limit_check: SharedLimitCheck | None = None

    def set_action_handler(self, action: type, handler: Callable[[Any], None]) -> None:
        """Set the handler of an action type that only some installations use."""
        self._action_handlers[action] = handler

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings to all stages at once. Must not be called from within a decision.

        Queued requests are decided under the old settings first. Otherwise a request could be decided as a
        member of a class that it was not validated for.
        """
        while self.decide(check_clients=False):
            pass
        self.post(SettingsChanged(settings))
        self.admit.reconfigure(settings)
        self.relay.reconfigure(settings)
        self.send.reconfigure(settings)

    # -- events --

    def check_transaction(self, client_request: ClientRequest) -> None:
        """Raise BadRequestError if the transaction id was used, so that the request might run twice."""
        if reason := self.requests.rejection_reason(client_request.txn, self._clock.now()):
            raise BadRequestError(400, reason)

    def submit(self, client_request: ClientRequest) -> OpenRequest | None:
        """Admit a validated request and queue it for a decision; return None if it was rejected."""
        now_ms = self._clock.now()
        if self.shared_limit_check is not None and (limit := self.shared_limit_check(client_request)):
            self.recorder.counts[f"limit:{limit}"] += 1
            client_request.reply(Answer(Verdict.REFUSED, retry_after_ms=self.admit.retry_after_ms()))
            return None
        request = self.admit.open_request(now_ms, client_request)
        if request is None:
            self.recorder.counts["no_room"] += 1
            client_request.reply(Answer(Verdict.REFUSED, retry_after_ms=self.admit.retry_after_ms()))
            return None
        request.backstop_timer = self._timers.call_at(
            request.deadline_ms + BACKSTOP_MS, partial(self._backstop, request)
        )
        self._undecided.append((now_ms, request))
        self._wake()
        return request

    def decide(self, check_clients: bool = True) -> bool:
        """Pass a batch of queued requests to the decision module; return whether more are waiting.

        Sockets are read between two batches, so that a burst of requests does not delay the relaying of
        responses. The time that a request has spent in this queue shows whether the router is overloaded.

        Unless `check_clients` is False, a request waits while its client's input is not read up to the end:
        the client may have disconnected behind it.
        """
        postponed: list[tuple[float, OpenRequest]] = []
        unread: set[Callable[[], bool]] = set()  # checks of the clients whose input is not read up to the end
        for _ in range(min(DECISION_BATCH, len(self._undecided))):
            arrived_at_ms, request = self._undecided.popleft()
            if check_clients and self._must_wait_for_client(arrived_at_ms, request, unread):
                postponed.append((arrived_at_ms, request))
            elif not request.answered:
                self._decide(arrived_at_ms, request)
        self._undecided.extend(postponed)
        return bool(self._undecided)

    def _must_wait_for_client(
        self, arrived_at_ms: float, request: OpenRequest, unread: set[Callable[[], bool]]
    ) -> bool:
        """Return whether it is not known if the client is still there, and there is time to find out.

        Each client is checked once for a batch, and then added to `unread` if that is so.
        """
        check = request.client_request.check_connection
        if request.answered or check is None:
            return False
        if check not in unread:
            if check():
                return False
            unread.add(check)
        now_ms, class_index = self._clock.now(), request.client_request.class_index
        return not self.admit.should_shed(now_ms, arrived_at_ms, class_index)

    def _decide(self, arrived_at_ms: float, request: OpenRequest) -> None:
        now_ms, client_request = self._clock.now(), request.client_request
        if self.admit.should_shed(now_ms, arrived_at_ms, client_request.class_index):
            self.recorder.counts["shed"] += 1
            self.relay.answer(request, Answer(Verdict.REFUSED, retry_after_ms=self.admit.retry_after_ms()))
        else:
            self.post(
                RequestReceived(
                    request.request_id,
                    client_request.class_index,
                    client_request.object_key,
                    request.deadline_ms - now_ms,
                    client_request.size_kb,
                    client_request.group,
                    client_request.chunk_index,
                )
            )

    def client_disconnected(self, request: OpenRequest) -> None:
        """Handle the disconnection of an open request's client."""
        if not request.answered:
            if request.client_request.on_disconnect is not None:
                request.client_request.on_disconnect()
            self.relay.client_disconnected(request)
            self.post(ClientDisconnected(request.request_id))

    def handle_membership_event(self, event: MembershipEvent) -> None:
        """Handle a change of the endpoint list, or a purge.

        Attempts that are not written yet are checked again once the decision module has seen the event.
        """
        waiting = self.requests.unsent_attempts()
        if isinstance(event, PurgeUpdate):
            self.post(PurgeReceived(max(0.0, self._clock.now() - event.purged_at_ms), event.group, event.key))
            for attempt in waiting:
                client_request = attempt.request.client_request
                attempt.purged |= (
                    client_request.object_key == event.key
                    if event.key
                    else client_request.group == event.group
                )
        else:
            self._apply_members(event)
        for attempt in waiting:
            self.send.can_send(attempt)

    def _apply_members(self, event: MembersUpdate) -> None:
        self.nodes.apply(event)
        update_kind = EndpointListKind.SNAPSHOT if event.is_snapshot else EndpointListKind.DELTA
        self.post(EndpointListUpdate(update_kind, tuple(member.node for member in event.members)))
        for member in event.members:
            node = member.node
            if node.started_ms > 0:
                self.send.handle_restart(node.node_id, node.started_ms)
            log(
                LogEvent.ENDPOINT_UPDATED,
                node=f"s-{node.node_id:08x}",
                state=reported_state(node.state),
                kind=node.kind,
                zone=node.zone,
                started_ms=f"{node.started_ms:.0f}",
                address=f"{member.host}:{member.port}",
            )
        self.send.close_outdated()

    def post(self, event: Event) -> None:
        """Queue an event, and process the queue unless that is already under way."""
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._processing = False

    def _handle_event(self, event: Event) -> None:
        """Pass one event to the decision module and carry out the actions.

        An exception in a decision is logged and fails the request concerned. It would otherwise end the
        process or leave the request unanswered.
        """
        try:
            for action in self.director.handle(self._clock.now(), event):
                if handler := self._action_handlers.get(type(action)):
                    handler(action)
        except Exception as error:
            where = traceback.extract_tb(error.__traceback__)[-1]
            log(
                LogEvent.INTERNAL_ERROR,
                where=f"{where.filename.rpartition('/')[2]}:{where.lineno}",
                error=repr(error),
            )
            if isinstance(event, RequestReceived) and (request := self.requests.get(event.request_id)):
                self._fail_request(FailRequest(request.request_id))

    # -- actions --

    def _send_attempt(self, action: SendAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return
        attempt_deadline_ms = (
            min(action.deadline_ms, request.deadline_ms) if action.deadline_ms > 0 else request.deadline_ms
        )
        attempt = Attempt(
            request,
            len(request.attempts),
            action._replace(deadline_ms=attempt_deadline_ms),
            self._clock.now(),
        )
        request.attempts.append(attempt)
        if request.expired:
            self.recorder.attempt_ended(attempt, Outcome.EXPIRED_UNSENT)
        else:
            self.send.start(attempt)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and action.attempt_index < len(request.attempts):
            attempt = request.attempts[action.attempt_index]
            if not attempt.ended:
                self.send.cancel(attempt)

    def _reject_request(self, action: RejectRequest) -> None:
        if request := self.requests.get(action.request_id):
            self.relay.answer(request, Answer(Verdict.REFUSED, retry_after_ms=action.retry_after_ms))

    def _fail_request(self, action: FailRequest) -> None:
        if request := self.requests.get(action.request_id):
            self.relay.answer(request, Answer(Verdict.FAILED))

    def _start_timer(self, action: StartTimer) -> None:
        self._timers.call_at(action.expires_at_ms, partial(self.post, TimerExpired(action.token)))

    def _write_log(self, action: WriteLog) -> None:
        """Log a notice of the decision module.

        The same text is logged at most once per `NOTICE_INTERVAL_MS`, so that it does not fill the log.
        """
        now_ms = self._clock.now()
        self._last_notice_ms = {
            text: logged_at_ms
            for text, logged_at_ms in self._last_notice_ms.items()
            if 0 <= now_ms - logged_at_ms < NOTICE_INTERVAL_MS
        }
        if action.text not in self._last_notice_ms:
            self._last_notice_ms[action.text] = now_ms
            log(LogEvent.ROUTING_NOTICE, text=action.text)

    # -- backstop and shutdown --

    def _backstop(self, request: OpenRequest) -> None:
        """Fail a request that is undecided after its deadline, and cancel its attempts."""
        if not request.answered:
            log(LogEvent.REQUEST_UNDECIDED, request=request.client_request.txn)
            self.relay.answer(request, Answer(Verdict.FAILED))
            self.post(ClientDisconnected(request.request_id))
        for attempt in request.attempts:
            if not attempt.ended:
                self.send.cancel(attempt)

    def expire(self) -> None:
        """End all open requests and attempts, as the router is about to stop.

        The decision module is notified of each attempt that ends.
        """
        for request in self.requests:
            request.expired = True
            for attempt in list(request.attempts):
                if not attempt.ended:
                    self.send.late(attempt)
            if not request.answered and not request.attempts:
                # It arrived too late to be decided. Nothing was sent, so the client may retry elsewhere.
                self.relay.answer(
                    request, Answer(Verdict.REFUSED, retry_after_ms=self.admit.retry_after_ms())
                )
            elif not request.answered:
                self._backstop(request)

"""Simulated web servers of a soak: they reuse connections and record the outcome of each request."""

from __future__ import annotations

import contextlib
import random
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from stonecove.soak.connection import CompleteAnswer, WebServerConnection, encode_request
from stonecove.soak.host import HostLag
from stonecove.soak.plan import Effect, RequestClass, SoakPlan
from stonecove.trial.testbed import GROUP

CLIENT_THREADS = 8
MAX_REQUESTS_PER_BATCH = 5  # per connection
ITEM_COUNT = 400
ANSWER_TOLERANCE_S = 0.55  # after the request's TTL; includes 50 ms for socket delays
CLOSE_RACE_S = 0.05  # a request sent within this time of a close is retried once
RECONNECT_DELAY_S = 0.05
FRAGMENT_INTERVAL_S = 0.02  # between two fragments of a request


class Outcome(Enum):
    """The outcome of a request as its client observed it."""

    OPEN = "open"
    ANSWERED = "answered"
    ABANDONED = "left"  # the client stopped waiting
    CLOSE_RACE = "crossed"  # the connection ended within CLOSE_RACE_S of the send
    UNSENT = "unsent"  # not completely written
    LOST = "lost"


@dataclass(slots=True)
class SentRequest:
    """A request and its outcome; `sent_at` is when its last byte was written. Times are Unix seconds."""

    txn: str
    request_class: RequestClass
    router_index: int
    item_id: int
    ttl_s: float
    request_id: int
    is_retry: bool = False  # repeats a request that raced a close
    sent_at: float = 0.0
    ended_at: float = 0.0
    outcome: Outcome = Outcome.OPEN
    status: str = ""
    answer_count: int = 0
    body_matches: bool = True

    @property
    def counts_lost_at(self) -> float:
        """Return the time in Unix seconds from which the unanswered request counts as lost."""
        return self.sent_at + self.ttl_s + ANSWER_TOLERANCE_S


class SoakClients:
    """Client threads that send requests to all routers, and abandon some of them."""

    def __init__(self, addresses: Sequence[tuple[str, int]], plan: SoakPlan, lag: HostLag) -> None:
        """Start the client threads."""
        self.sent_requests: list[SentRequest] = []
        self.unexpected_answers: list[str] = []  # descriptions of answers to no open request
        self._addresses, self._plan, self._lag = addresses, plan, lag
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._request_count = 0
        self._threads = [
            threading.Thread(target=self._run_client, args=(thread_index,))
            for thread_index in range(CLIENT_THREADS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the outstanding answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    # -- one client thread --

    def _run_client(self, thread_index: int) -> None:
        rng = random.Random(f"{self._plan.seed}-{thread_index}")
        connection: WebServerConnection | None = None
        router_index = thread_index % len(self._addresses)
        while not self._stopped.is_set():
            time.sleep(rng.expovariate(self._plan.requests_per_s / CLIENT_THREADS / 2.0))
            if connection is not None and self._check_ended(connection):
                connection.close()
                connection = None
            if connection is None:
                router_index = rng.randrange(len(self._addresses))
                connection = self._connect(router_index)
                if connection is None:
                    time.sleep(RECONNECT_DELAY_S)
                    continue
            if not self._run_batch(rng, connection, router_index):
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def _connect(self, router_index: int) -> WebServerConnection | None:
        try:
            return WebServerConnection(self._addresses[router_index])
        except OSError:
            return None

    def _check_ended(self, connection: WebServerConnection) -> bool:
        self._record_unexpected(connection.read(0.0))
        return connection.ended

    def _run_batch(self, rng: random.Random, connection: WebServerConnection, router_index: int) -> bool:
        """Send a batch of requests and await answers; return whether the connection is reusable."""
        batch_size = rng.choice((1, 1, 1, 2, MAX_REQUESTS_PER_BATCH))
        requests = [
            self._draw_request(rng, router_index, request_id) for request_id in range(1, batch_size + 1)
        ]
        fragment_count = rng.choice((1, 1, 1, 2, 5))
        for request in requests:
            if not self._send(connection, request, fragment_count):
                break
        if rng.random() < 0.12:
            self._abandon(rng, connection, requests)
        self._await_answers(connection, requests)
        for request in requests:
            if request.outcome is Outcome.CLOSE_RACE and not request.is_retry:
                self._retry_after_close(rng, request)
        return not connection.ended and all(
            request.outcome is Outcome.ANSWERED
            or (request.outcome is Outcome.ABANDONED and request.answer_count)
            for request in requests
        )

    def _draw_request(self, rng: random.Random, router_index: int, request_id: int) -> SentRequest:
        request_class = rng.choices(self._plan.classes, (6, 2, 2))[0]
        ttl_s = request_class.deadline_ms / 1000.0 * rng.choice((1.0, 1.0, 0.8, 0.3))
        return self._record_request(
            request_class, router_index, rng.randrange(1, ITEM_COUNT), ttl_s, request_id
        )

    def _record_request(
        self, request_class: RequestClass, router_index: int, item_id: int, ttl_s: float, request_id: int
    ) -> SentRequest:
        with self._lock:
            self._request_count += 1
            txn = f"{self._plan.seed & 0xFFFFFFFF:08x}{self._request_count:08x}"
            request = SentRequest(txn, request_class, router_index, item_id, ttl_s, request_id)
            self.sent_requests.append(request)
        return request

    def _send(self, connection: WebServerConnection, request: SentRequest, fragment_count: int) -> bool:
        fields = {
            "TXN": request.txn, "TTL_MS": f"{request.ttl_s * 1000.0:.0f}", "ROW": f"{request.item_id:016x}",
            "BUCKET": str(GROUP), "WORKING_SET_KB": "40", "SEG": "0",
        }  # fmt: skip
        if request.request_class.effect is Effect.TOKEN:
            fields["TXN_KEY"] = request.txn
        data = encode_request(request.request_id, f"/svc/{request.request_class.name}", fields)
        try:
            connection.send(data, fragment_count, FRAGMENT_INTERVAL_S)
        except OSError:
            request.outcome = Outcome.UNSENT
            connection.mark_ended()
            return False
        request.sent_at = time.time()
        return True

    def _abandon(
        self, rng: random.Random, connection: WebServerConnection, requests: list[SentRequest]
    ) -> None:
        """Abandon the first or all requests by an abort record, a half-close or a close."""
        time.sleep(rng.choice((0.0, 0.002, 0.05, 0.3)))
        disconnect_mode = rng.choice(("abort", "abort", "half-close", "close"))
        abandoned = requests[:1] if disconnect_mode == "abort" else requests
        self._record_answers(requests, connection.read(0.0))
        with contextlib.suppress(OSError):
            match disconnect_mode:
                case "abort":
                    connection.abort(requests[0].request_id)
                case "half-close":
                    connection.half_close()
                case _:
                    connection.close()
        now = time.time()
        for request in abandoned:
            if request.outcome is Outcome.OPEN and request.sent_at:
                request.outcome, request.ended_at = Outcome.ABANDONED, now
        if disconnect_mode == "close":
            connection.mark_ended()

    def _await_answers(self, connection: WebServerConnection, requests: list[SentRequest]) -> None:
        """Wait until every sent request is answered, lost or abandoned."""
        while pending := [
            candidate for candidate in requests if candidate.outcome is Outcome.OPEN and candidate.sent_at
        ]:
            self._record_answers(
                requests, connection.read(max(waiting.counts_lost_at for waiting in pending))
            )
            now = time.time()
            for request in pending:
                if request.outcome is not Outcome.OPEN:
                    continue
                if connection.ended:
                    race_limit_s = CLOSE_RACE_S + self._lag.worst_s(request.sent_at, now)
                    raced_close = connection.ended_at - request.sent_at <= race_limit_s
                    request.outcome = Outcome.CLOSE_RACE if raced_close else Outcome.LOST
                    request.ended_at = connection.ended_at
                elif now >= request.counts_lost_at:
                    request.outcome, request.ended_at = Outcome.LOST, now
        for request in requests:
            if request.outcome is Outcome.OPEN:
                request.outcome = Outcome.UNSENT

    def _record_answers(self, requests: list[SentRequest], answers: list[CompleteAnswer]) -> None:
        """Record each answer in the request with its identifier."""
        by_request_id = {request.request_id: request for request in requests}
        for answer in answers:
            request = by_request_id.get(answer.request_id)
            if request is None or not request.sent_at:
                self.unexpected_answers.append(f"answer to unknown request id {answer.request_id}")
                continue
            request.answer_count += 1
            if request.outcome is Outcome.OPEN:
                request.outcome, request.ended_at, request.status = (
                    Outcome.ANSWERED,
                    time.time(),
                    answer.status,
                )
                request.body_matches = self._body_matches(request, answer)

    def _body_matches(self, request: SentRequest, answer: CompleteAnswer) -> bool:
        """Return whether a successful answer has the body that the caches generate for the request."""
        if answer.status != "200":
            return True
        if request.request_class.effect is Effect.PURE:
            return answer.body.startswith(f"{request.item_id:x}:".encode())
        return answer.body == b"confirmed"

    def _retry_after_close(self, rng: random.Random, raced_request: SentRequest) -> None:
        """Retry a request that raced a close, on a new connection to a random router."""
        router_index = rng.randrange(len(self._addresses))
        connection = self._connect(router_index)
        if connection is None:
            return
        request = self._record_request(
            raced_request.request_class, router_index, raced_request.item_id, raced_request.ttl_s, 1
        )
        request.is_retry = True
        self._send(connection, request, 1)
        self._await_answers(connection, [request])
        connection.close()

    def _record_unexpected(self, answers: list[CompleteAnswer]) -> None:
        for answer in answers:
            self.unexpected_answers.append(f"answer to request id {answer.request_id} on an idle connection")

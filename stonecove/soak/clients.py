"""Web servers of a soak: they use their connections until these end, and note what became of each request."""

from __future__ import annotations

import contextlib
import random
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from stonecove.soak.connection import WebServerConnection, WholeAnswer, encode_request
from stonecove.soak.host import HostLag
from stonecove.soak.plan import Effect, RequestClass, SoakPlan
from stonecove.trial.testbed import GROUP

WORKERS = 8
MAX_TOGETHER = 5  # requests at once on a connection
ITEMS = 400
ANSWER_SLACK_S = 0.55  # after its time, and the 50 ms of sockets, a request counts as lost
CROSSING_S = 0.05  # a request that crosses a close within this time is sent again, once
RECONNECT_S = 0.05
GAP_S = 0.02  # between two pieces of a request


class Fate(Enum):
    """What became of a request, as its client saw it."""

    OPEN = "open"
    ANSWERED = "answered"
    LEFT = "left"  # the client stopped waiting
    CROSSED = "crossed"  # the connection ended within CROSSING_S
    UNSENT = "unsent"  # not all of it was written
    LOST = "lost"


@dataclass(slots=True)
class SentRequest:
    """One request, from its last byte to its end. Moments are Unix seconds."""

    txn: str
    request_class: RequestClass
    router: int
    item: int
    ttl_s: float
    ident: int
    again: bool = False  # sent a second time after a close that it crossed
    sent_at: float = 0.0
    ended_at: float = 0.0
    fate: Fate = Fate.OPEN
    status: str = ""
    answers: int = 0
    body_fits: bool = True

    @property
    def lost_at(self) -> float:
        """Return the moment from which it counts as lost without an answer."""
        return self.sent_at + self.ttl_s + ANSWER_SLACK_S


class SoakClients:
    """Threads that send requests to all routers, and the idle clients of a crowd."""

    def __init__(self, addresses: Sequence[tuple[str, int]], plan: SoakPlan, lag: HostLag) -> None:
        """Start to send."""
        self.sent: list[SentRequest] = []
        self.unasked: list[str] = []  # answers that nobody was owed
        self._addresses, self._plan, self._lag = addresses, plan, lag
        self._over = threading.Event()
        self._lock = threading.Lock()
        self._count = 0
        self._threads = [threading.Thread(target=self._work, args=(seed,)) for seed in range(WORKERS)]
        for thread in self._threads:
            thread.start()

    def end(self) -> None:
        """Stop sending, and wait for the last answers."""
        self._over.set()
        for thread in self._threads:
            thread.join()

    # -- one thread --

    def _work(self, seed: int) -> None:
        chooser = random.Random(f"{self._plan.seed}-{seed}")
        connection: WebServerConnection | None = None
        router = seed % len(self._addresses)
        while not self._over.is_set():
            time.sleep(chooser.expovariate(self._plan.rate / WORKERS / 2.0))
            if connection is not None and self._has_ended(connection):
                connection.close()
                connection = None
            if connection is None:
                router = chooser.randrange(len(self._addresses))
                connection = self._connect(router)
                if connection is None:
                    time.sleep(RECONNECT_S)
                    continue
            if not self._round(chooser, connection, router):
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def _connect(self, router: int) -> WebServerConnection | None:
        try:
            return WebServerConnection(self._addresses[router])
        except OSError:
            return None

    def _has_ended(self, connection: WebServerConnection) -> bool:
        self._note_unasked(connection.read(0.0))
        return connection.ended

    def _round(self, chooser: random.Random, connection: WebServerConnection, router: int) -> bool:
        """Send some requests and wait for what is owed; return whether the connection can be used on."""
        count = chooser.choice((1, 1, 1, 2, MAX_TOGETHER))
        requests = [self._draw(chooser, router, ident) for ident in range(1, count + 1)]
        pieces = chooser.choice((1, 1, 1, 2, 5))
        for request in requests:
            if not self._send(connection, request, pieces):
                break
        if chooser.random() < 0.12:
            self._leave(chooser, connection, requests)
        self._await(connection, requests)
        for request in requests:
            if request.fate is Fate.CROSSED and not request.again:
                self._send_again(chooser, request)
        return not connection.ended and all(
            request.fate is Fate.ANSWERED or (request.fate is Fate.LEFT and request.answers)
            for request in requests
        )

    def _draw(self, chooser: random.Random, router: int, ident: int) -> SentRequest:
        request_class = chooser.choices(self._plan.classes, (6, 2, 2))[0]
        ttl = request_class.deadline_ms / 1000.0 * chooser.choice((1.0, 1.0, 0.8, 0.3))
        return self._note(request_class, router, chooser.randrange(1, ITEMS), ttl, ident)

    def _note(
        self, request_class: RequestClass, router: int, item: int, ttl_s: float, ident: int
    ) -> SentRequest:
        with self._lock:
            self._count += 1
            txn = f"{self._plan.seed & 0xFFFFFFFF:08x}{self._count:08x}"
            request = SentRequest(txn, request_class, router, item, ttl_s, ident)
            self.sent.append(request)
        return request

    def _send(self, connection: WebServerConnection, request: SentRequest, pieces: int) -> bool:
        fields = {
            "TXN": request.txn, "TTL_MS": f"{request.ttl_s * 1000.0:.0f}", "ROW": f"{request.item:016x}",
            "BUCKET": str(GROUP), "WORKING_SET_KB": "40", "SEG": "0",
        }  # fmt: skip
        if request.request_class.effect is Effect.TOKEN:
            fields["TXN_KEY"] = request.txn
        data = encode_request(request.ident, f"/svc/{request.request_class.name}", fields)
        try:
            connection.send(data, pieces, GAP_S)
        except OSError:
            request.fate = Fate.UNSENT
            connection.end()
            return False
        request.sent_at = time.time()
        return True

    def _leave(
        self, chooser: random.Random, connection: WebServerConnection, requests: list[SentRequest]
    ) -> None:
        """Stop waiting for some or all requests, in one of the ways in which clients do."""
        time.sleep(chooser.choice((0.0, 0.002, 0.05, 0.3)))
        way = chooser.choice(("abort", "abort", "half-close", "close"))
        leaving = requests[:1] if way == "abort" else requests
        self._take(requests, connection.read(0.0))
        with contextlib.suppress(OSError):
            match way:
                case "abort":
                    connection.abort(requests[0].ident)
                case "half-close":
                    connection.half_close()
                case _:
                    connection.close()
        now = time.time()
        for request in leaving:
            if request.fate is Fate.OPEN and request.sent_at:
                request.fate, request.ended_at = Fate.LEFT, now
        if way == "close":
            connection.end()

    def _await(self, connection: WebServerConnection, requests: list[SentRequest]) -> None:
        """Wait until no request is owed an answer any more."""
        while open_ := [one for one in requests if one.fate is Fate.OPEN and one.sent_at]:
            self._take(requests, connection.read(max(one.lost_at for one in open_)))
            now = time.time()
            for request in open_:
                if request.fate is not Fate.OPEN:
                    continue
                if connection.ended:
                    crossing = CROSSING_S + self._lag.worst(request.sent_at, now)
                    crossed = connection.ended_at - request.sent_at <= crossing
                    request.fate = Fate.CROSSED if crossed else Fate.LOST
                    request.ended_at = connection.ended_at
                elif now >= request.lost_at:
                    request.fate, request.ended_at = Fate.LOST, now
        for request in requests:
            if request.fate is Fate.OPEN:
                request.fate = Fate.UNSENT

    def _take(self, requests: list[SentRequest], answers: list[WholeAnswer]) -> None:
        """Note answers, each at the request that it is for."""
        by_ident = {request.ident: request for request in requests}
        for answer in answers:
            request = by_ident.get(answer.ident)
            if request is None or not request.sent_at:
                self.unasked.append(f"an answer under id {answer.ident} that was not asked")
                continue
            request.answers += 1
            if request.fate is Fate.OPEN:
                request.fate, request.ended_at, request.status = Fate.ANSWERED, time.time(), answer.status
                request.body_fits = self._fits(request, answer)

    def _fits(self, request: SentRequest, answer: WholeAnswer) -> bool:
        """Return whether a served answer holds what caches gave out for the request."""
        if answer.status != "200":
            return True
        if request.request_class.effect is Effect.PURE:
            return answer.body.startswith(f"{request.item:x}:".encode())
        return answer.body == b"confirmed"

    def _send_again(self, chooser: random.Random, crossed: SentRequest) -> None:
        """Send a request that crossed a close once more, on a new connection to any router."""
        router = chooser.randrange(len(self._addresses))
        connection = self._connect(router)
        if connection is None:
            return
        request = self._note(crossed.request_class, router, crossed.item, crossed.ttl_s, 1)
        request.again = True
        self._send(connection, request, 1)
        self._await(connection, [request])
        connection.close()

    def _note_unasked(self, answers: list[WholeAnswer]) -> None:
        for answer in answers:
            self.unasked.append(f"an answer under id {answer.ident} on a connection at rest")

"""The HTTP front: turns requests into the stages' own and the stages' answers into HTTP.

GET and HEAD `/svc/CLASS/OBJECT/PART`, POST for classes with an effect. The fields of the platform's protocol
are headers of the same names; without `X-Txn` one is made, without `X-Ttl-Ms` the class's deadline holds. A
token is checked before anything is set aside for the request, and before its body is read.
"""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable
from functools import partial

from stonecove.access.gate import Decision, cookie_path
from stonecove.access.grants import Request as Presented
from stonecove.exchange import Answer, BadRequestError, ClientRequest, Verdict
from stonecove.frontends.fastcgi import READY_PATH
from stonecove.frontends.token_check import TokenChecker
from stonecove.pipeline.intake import Intake
from stonecove.pipeline.route import Route
from stonecove.protocols.http import HttpError, HttpRequest, byte_range
from stonecove.routing.settings import ClassSettings, Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.state.requests import OpenRequest

Fields = list[tuple[str, str]]
Reply = Callable[[int, Fields, bytes], None]


def _parts(path: str) -> tuple[str, str, str]:
    """Class, object and part; raises BadRequestError."""
    found = path.split("/")
    if len(found) not in (4, 5) or found[1] != "svc":
        raise BadRequestError(404, "no such path")
    return found[2], found[3], found[4] if len(found) == 5 else "0"


class HttpFront:
    """Takes the requests of all HTTP connections."""

    def __init__(
        self, settings: Settings, route: Route, clock: Clock, tokens: TokenChecker | None, scheme: str
    ) -> None:
        """`tokens`: checks each request; None admits all."""
        self._route, self._clock = route, clock
        self.tokens = tokens
        self._scheme = scheme
        self.ready = False
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold for requests that are whole from now on."""
        self._intake = Intake(settings)
        self._kinds = {cls.name: cls for cls in settings.classes}

    def door(self, request: HttpRequest, source: str) -> Decision | None:
        """What the head alone decides; None if nothing is asked of it. Raises BadRequestError."""
        if request.path == READY_PATH or self.tokens is None:
            return None
        presented = Presented(
            request.method,
            self._scheme,
            request.fields.get("host", ""),
            request.target,
            source,
            self.tokens.depot,
            request.fields.get("authorization", ""),
            request.cookies,
        )
        return self.tokens.check(presented)

    def turned_away(self, decision: Decision) -> tuple[int, Fields]:
        """Status and fields of a refusal: the client learns little."""
        from stonecove.access.reasons import status_of

        status, fields = status_of(decision.reason), self._pause(decision.wait * 1000.0)
        if status == 401:
            fields.append(("WWW-Authenticate", "Bearer"))
        return status, fields

    def request(
        self, request: HttpRequest, decision: Decision | None, source: str, reply: Reply
    ) -> OpenRequest | None:
        """A whole request; `reply` is called once. None if it is answered already. Raises BadRequestError."""
        if request.path == READY_PATH:
            reply(200 if self.ready else 503, [("Cache-Control", "no-store")], b"")
            return None
        cls, item, part = _parts(request.path)
        known = self._kinds.get(cls)
        if known is None:
            raise BadRequestError(404, "no such class")
        if (request.method == "POST") is not known.never_cached:
            raise BadRequestError(405, f"{request.method} is not for {cls}")
        seen = request.fields.get("if-none-match", "")
        fields = {
            "X-Txn": request.fields.get("x-txn") or secrets.token_hex(8),
            "X-Row": item,
            "X-Seg": part,
            "X-Bucket": request.fields.get("x-bucket", "0"),
            "X-Ttl-Ms": request.fields.get("x-ttl-ms") or f"{known.deadline_ms:.0f}",
            "X-Working-Set-Kb": request.fields.get("x-working-set-kb", "0"),
            "X-Etag": "" if "," in seen or seen == "*" else seen,
        }
        if key := request.fields.get("x-txn-key"):
            fields["X-Txn-Key"] = key
        answer = partial(self._answer, request, known, decision, reply)
        asked: ClientRequest = self._intake.parse(f"/svc/{cls}", fields, request.body, answer)
        asked.on_disconnect = partial(self.over, decision, ran=True)
        asked.client = decision.subject if decision is not None and decision.subject else source
        if self._route.requests.is_open(asked.txn):
            raise BadRequestError(400, "X-Txn is that of an open request")
        return self._route.submit(asked)

    def over(self, decision: Decision | None, ran: bool) -> None:
        """A request that was let in has its final answer, or its client has left."""
        if decision is not None and self.tokens is not None:
            self.tokens.over(decision, ran)

    def _answer(
        self,
        request: HttpRequest,
        cls: ClassSettings,
        decision: Decision | None,
        reply: Reply,
        answer: Answer,
    ) -> None:
        self.over(decision, ran=answer.verdict is not Verdict.REFUSED)
        reply(*self._made(request, cls, decision, answer))

    def _made(
        self, request: HttpRequest, cls: ClassSettings, decision: Decision | None, answer: Answer
    ) -> tuple[int, Fields, bytes]:
        """Status, fields and body of an answer."""
        if answer.verdict is Verdict.REFUSED:
            return 503, [("Cache-Control", "no-store"), *self._pause(answer.retry_after_ms)], b""
        if answer.verdict is Verdict.FAILED:
            return 502, [("Cache-Control", "no-store")], b""
        fields: Fields = []
        if cls.never_cached:
            fields.append(("Cache-Control", "no-store"))
        else:
            kind = "private" if decision is not None and decision.subject else "public"
            age = (
                max(0.0, self._clock.now() - answer.copy_made_at_ms) / 1000.0
                if answer.copy_made_at_ms
                else 0.0
            )
            fresh = f"max-age={cls.fresh_ms / 1000.0:.0f}" if cls.fresh_ms else "no-cache"
            fields += [("Cache-Control", f"{kind}, {fresh}"), ("Age", f"{age:.0f}")]
        if answer.tag:
            fields.append(("ETag", f'"{answer.tag}"'))
        if decision is not None and decision.cookie:
            path = cookie_path(request.path, decision.cookie_depth)
            secure = "; Secure" if self._scheme == "https" else ""
            fields.append(
                ("Set-Cookie", f"URISigningPackage={decision.cookie}; Path={path}; HttpOnly{secure}")
            )
        if answer.verdict is Verdict.UNCHANGED:
            return 304, fields, b""
        fields += [("Content-Type", "application/octet-stream"), ("Accept-Ranges", "bytes")]
        wanted = request.fields.get("range", "") if request.method == "GET" else ""
        if not wanted or request.fields.get("if-range", f'"{answer.tag}"') != f'"{answer.tag}"':
            return 200, fields, answer.body
        try:
            found = byte_range(wanted, len(answer.body))
        except HttpError:
            return 416, [*fields, ("Content-Range", f"bytes */{len(answer.body)}")], b""
        if found is None:
            return 200, fields, answer.body
        first, last = found
        fields.append(("Content-Range", f"bytes {first}-{last}/{len(answer.body)}"))
        return 206, fields, answer.body[first : last + 1]

    def left(self, request: OpenRequest) -> None:
        """The client of an open request has gone: what was sent may have run."""
        self._route.client_disconnected(request)

    def _pause(self, ms: float) -> Fields:
        """For how long to stay away: whole seconds, rounded up, and exactly."""
        if ms <= 0:
            return []
        return [("Retry-After", str(max(1, math.ceil(ms / 1000.0)))), ("X-Throttle-Ms", f"{ms:.0f}")]


def told(error: BadRequestError) -> int:
    """Logs a request that can't be taken; its status."""
    log_limited(LogEvent.REQUEST_MALFORMED, status=error.status, reason=str(error), front="http")
    return error.status

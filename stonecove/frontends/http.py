"""The HTTP frontend: maps HTTP requests to pipeline requests, and their answers to HTTP responses.

GET and HEAD `/svc/CLASS/OBJECT/CHUNK`, POST for classes with an effect. The fields of the platform's protocol
are headers of the same names; a missing `X-Txn` is generated, a missing `X-Ttl-Ms` is the deadline of the
class. A token is checked before anything is reserved for the request, and before its body is read.
"""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable
from functools import partial

from stonecove.access.gate import Decision, cookie_path
from stonecove.access.grants import Request as TokenRequest
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

HeaderFields = list[tuple[str, str]]
ReplyCallback = Callable[[int, HeaderFields, bytes], None]


def _split_path(path: str) -> tuple[str, str, str]:
    """Return class, object and chunk; raises BadRequestError."""
    segments = path.split("/")
    if len(segments) not in (4, 5) or segments[1] != "svc":
        raise BadRequestError(404, "no such path")
    return segments[2], segments[3], segments[4] if len(segments) == 5 else "0"


class HttpFrontend:
    """Handles the requests of all HTTP client connections."""

    def __init__(
        self, settings: Settings, route: Route, clock: Clock, token_checker: TokenChecker | None, scheme: str
    ) -> None:
        """Create a frontend whose requests `token_checker` checks; None admits all."""
        self._route, self._clock = route, clock
        self.token_checker = token_checker
        self._scheme = scheme
        self.ready = False
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings to requests that are completely received from now on."""
        self._intake = Intake(settings)
        self._classes = {cls.name: cls for cls in settings.classes}

    def check_token(self, request: HttpRequest, source: str) -> Decision | None:
        """Decide on a request by its head alone; None if it needs no token. Raises BadRequestError."""
        if request.path == READY_PATH or self.token_checker is None:
            return None
        token_request = TokenRequest(
            request.method,
            self._scheme,
            request.fields.get("host", ""),
            request.target,
            source,
            self.token_checker.depot,
            request.fields.get("authorization", ""),
            request.cookies,
        )
        return self.token_checker.check(token_request)

    def rejection_response(self, decision: Decision) -> tuple[int, HeaderFields]:
        """Return status and fields of a rejection, which tell the client no more than needed."""
        from stonecove.access.reasons import status_of

        status, fields = status_of(decision.reason), self._retry_after(decision.retry_after_s * 1000.0)
        if status == 401:
            fields.append(("WWW-Authenticate", "Bearer"))
        return status, fields

    def handle_request(
        self, request: HttpRequest, decision: Decision | None, source: str, reply: ReplyCallback
    ) -> OpenRequest | None:
        """Handle a complete request, and return it; None if it is already answered.

        `reply` is called once. Raises BadRequestError.
        """
        if request.path == READY_PATH:
            reply(200 if self.ready else 503, [("Cache-Control", "no-store")], b"")
            return None
        cls, item, chunk = _split_path(request.path)
        settings = self._classes.get(cls)
        if settings is None:
            raise BadRequestError(404, "no such class")
        if (request.method == "POST") is not settings.never_cached:
            raise BadRequestError(405, f"{request.method} is not allowed for class {cls}")
        if_none_match = request.fields.get("if-none-match", "")
        fields = {
            "X-Txn": request.fields.get("x-txn") or secrets.token_hex(8),
            "X-Row": item,
            "X-Seg": chunk,
            "X-Bucket": request.fields.get("x-bucket", "0"),
            "X-Ttl-Ms": request.fields.get("x-ttl-ms") or f"{settings.deadline_ms:.0f}",
            "X-Working-Set-Kb": request.fields.get("x-working-set-kb", "0"),
            "X-Etag": "" if "," in if_none_match or if_none_match == "*" else if_none_match,
        }
        if key := request.fields.get("x-txn-key"):
            fields["X-Txn-Key"] = key
        send_reply = partial(self._reply, request, settings, decision, reply)
        client_request: ClientRequest = self._intake.parse(f"/svc/{cls}", fields, request.body, send_reply)
        client_request.on_disconnect = partial(self.release, decision, ran=True)
        client_request.client = decision.subject if decision is not None and decision.subject else source
        self._route.check_transaction(client_request)
        return self._route.submit(client_request)

    def release(self, decision: Decision | None, ran: bool) -> None:
        """Release an admitted request after its final answer, or after its client has disconnected."""
        if decision is not None and self.token_checker is not None:
            self.token_checker.release(decision, ran)

    def _reply(
        self,
        request: HttpRequest,
        cls: ClassSettings,
        decision: Decision | None,
        reply: ReplyCallback,
        answer: Answer,
    ) -> None:
        self.release(decision, ran=answer.verdict is not Verdict.REFUSED)
        reply(*self._build_response(request, cls, decision, answer))

    def _build_response(
        self, request: HttpRequest, cls: ClassSettings, decision: Decision | None, answer: Answer
    ) -> tuple[int, HeaderFields, bytes]:
        """Return status, fields and body of the response to an answer."""
        if answer.verdict is Verdict.REFUSED:
            return 503, [("Cache-Control", "no-store"), *self._retry_after(answer.retry_after_ms)], b""
        if answer.verdict is Verdict.FAILED:
            return 502, [("Cache-Control", "no-store")], b""
        fields: HeaderFields = []
        if cls.never_cached:
            fields.append(("Cache-Control", "no-store"))
        else:
            scope = "private" if decision is not None and decision.subject else "public"
            age = (
                max(0.0, self._clock.now() - answer.copy_made_at_ms) / 1000.0
                if answer.copy_made_at_ms
                else 0.0
            )
            freshness = f"max-age={cls.fresh_ms / 1000.0:.0f}" if cls.fresh_ms else "no-cache"
            fields += [("Cache-Control", f"{scope}, {freshness}"), ("Age", f"{age:.0f}")]
        if answer.tag:
            fields.append(("ETag", f'"{answer.tag}"'))
        if decision is not None and decision.cookie:
            path = cookie_path(request.path, decision.cookie_path_segments)
            secure = "; Secure" if self._scheme == "https" else ""
            fields.append(
                ("Set-Cookie", f"URISigningPackage={decision.cookie}; Path={path}; HttpOnly{secure}")
            )
        if answer.verdict is Verdict.UNCHANGED:
            return 304, fields, b""
        fields += [("Content-Type", "application/octet-stream"), ("Accept-Ranges", "bytes")]
        range_header = request.fields.get("range", "") if request.method == "GET" else ""
        if not range_header or request.fields.get("if-range", f'"{answer.tag}"') != f'"{answer.tag}"':
            return 200, fields, answer.body
        try:
            found = byte_range(range_header, len(answer.body))
        except HttpError:
            return 416, [*fields, ("Content-Range", f"bytes */{len(answer.body)}")], b""
        if found is None:
            return 200, fields, answer.body
        first, last = found
        fields.append(("Content-Range", f"bytes {first}-{last}/{len(answer.body)}"))
        return 206, fields, answer.body[first : last + 1]

    def client_disconnected(self, request: OpenRequest) -> None:
        """Abandon an open request whose client has disconnected; attempts already sent may have run."""
        self._route.client_disconnected(request)

    def _retry_after(self, delay_ms: float) -> HeaderFields:
        """Return the fields that ask for a delay: in whole seconds, rounded up, and in milliseconds."""
        if delay_ms <= 0:
            return []
        return [
            ("Retry-After", str(max(1, math.ceil(delay_ms / 1000.0)))),
            ("X-Throttle-Ms", f"{delay_ms:.0f}"),
        ]


def log_malformed(error: BadRequestError) -> int:
    """Log a malformed request, and return the status to answer it with."""
    log_limited(LogEvent.REQUEST_MALFORMED, status=error.status, reason=str(error), front="http")
    return error.status

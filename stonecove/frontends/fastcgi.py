"""The FastCGI frontend: maps FastCGI requests to pipeline requests, and their answers to CGI responses."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from stonecove.exchange import Answer, BadRequestError, ClientRequest, Verdict
from stonecove.pipeline.intake import REQUEST_FIELDS, Intake
from stonecove.pipeline.route import Route
from stonecove.protocols.fastcgi.codec import COMPLETE
from stonecove.protocols.fastcgi.session import Session
from stonecove.routing.settings import Settings
from stonecove.runtime.log import log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.state.requests import OpenRequest

if TYPE_CHECKING:
    from stonecove.frontends.token_check import TokenChecker

READY_PATH = "/status/live"
_STATUS_LINES = {
    Verdict.SERVED: "200 OK",
    Verdict.UNCHANGED: "200 OK",
    Verdict.REFUSED: "503 Service Unavailable",
    Verdict.FAILED: "502 Bad Gateway",
}
_REASON_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    401: "Unauthorized",
    403: "Forbidden",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


def _encode_head(status: str, **fields: object) -> bytes:
    lines = [f"Status: {status}", *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response_head(answer: Answer) -> bytes:
    """Return the CGI header of an answer."""
    fields: dict[str, object] = {"Content_Type": "application/octet-stream"}
    fields["Content_Length"] = len(answer.body)
    if answer.verdict is Verdict.UNCHANGED:
        fields["X_Notmod"] = 1
    if answer.verdict is Verdict.REFUSED:
        fields["X_Throttle_Ms"] = max(0, round(answer.retry_after_ms))
    if answer.tag:
        fields["X_Etag"] = answer.tag
    return _encode_head(_STATUS_LINES[answer.verdict], **fields)


# Other fields are not decoded: a request may have hundreds of them.
_FIELD_BY_PARAMETER = {f"HTTP_{field.upper().replace('-', '_')}": field for field in REQUEST_FIELDS}


def header_fields(params: dict[str, str]) -> dict[str, str]:
    """Return the header fields of a request by their protocol names: the parameter HTTP_X_TXN is X-Txn."""
    return {
        field: value
        for name, value in params.items()
        if name.startswith("HTTP_") and (field := _FIELD_BY_PARAMETER.get(name.upper()))
    }


class FastCgiFrontend:
    """Handles the requests of all FastCGI client connections."""

    def __init__(self, settings: Settings, route: Route) -> None:
        self._intake = Intake(settings)
        self._route = route
        self._open: dict[tuple[Session, int], OpenRequest] = {}
        self.ready = False
        self.token_checker: TokenChecker | None = None  # None: FastCGI requests need no token

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings to requests that are completely received from now on."""
        self._intake = Intake(settings)

    def request(self, connection: Session, ident: int, params: dict[str, str], body: bytes, bad: str) -> bool:
        """Handle a received request, or reject it for the reason `bad`; return whether it was accepted."""
        path = params.get("SCRIPT_NAME", "") + params.get("PATH_INFO", "")
        if path == READY_PATH and not bad:
            connection.answer(ident, _encode_head("200 OK" if self.ready else "503 Service Unavailable"), b"")
            return True
        try:
            if bad:
                raise BadRequestError(413 if "too long" in bad else 408 if "in time" in bad else 400, bad)
            if params.get("CONTENT_LENGTH", "") not in ("", str(len(body))):
                raise BadRequestError(400, "CONTENT_LENGTH does not match the length of the body")
            client_request = self._intake.parse(
                path, header_fields(params), body, partial(self._reply, connection, ident)
            )
            client_request.client = params.get("REMOTE_ADDR", "")[:64]
            client_request.check_connection = connection.detect_disconnect
            self._route.check_transaction(client_request)
            if self.token_checker is not None and not self._authorize(
                connection, ident, params, client_request
            ):
                return True
        except BadRequestError as error:
            log_limited(LogEvent.REQUEST_MALFORMED, status=error.status, reason=str(error))
            connection.answer(
                ident, _encode_head(f"{error.status} {_REASON_PHRASES[error.status]}", Content_Length=0), b""
            )
            return False
        request = self._route.submit(client_request)
        if request is not None and not request.answered:
            self._open[connection, ident] = request
        return True

    def _authorize(
        self, connection: Session, ident: int, params: dict[str, str], client_request: ClientRequest
    ) -> bool:
        """Check the token of a request; a rejected request is answered at once and never sent to a cache."""
        from stonecove.frontends.fastcgi_tokens import rejection_response, token_request

        assert self.token_checker is not None
        decision = self.token_checker.check(token_request(params, client_request, self.token_checker.depot))
        if not decision.admitted:
            status, fields = rejection_response(decision)
            connection.answer(ident, _encode_head(f"{status} {_REASON_PHRASES[status]}", **fields), b"")
            return False
        token_checker, reply = self.token_checker, client_request.reply

        def release_and_reply(answer: Answer) -> None:
            token_checker.release(decision, answer.verdict is not Verdict.REFUSED)
            reply(answer)

        client_request.reply = release_and_reply
        client_request.on_disconnect = partial(token_checker.release, decision, ran=True)
        return True

    def _reply(self, connection: Session, ident: int, answer: Answer) -> None:
        self._open.pop((connection, ident), None)
        connection.answer(ident, response_head(answer), answer.body)

    def aborted(self, connection: Session, ident: int) -> None:
        """Handle an aborted request: its id may be used again once the end is written."""
        request = self._open.pop((connection, ident), None)
        if request is not None:
            self._route.client_disconnected(request)
            connection.end(ident, COMPLETE)

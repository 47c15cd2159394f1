"""The FastCGI front: turns its requests into the stages' and the stages' answers into CGI responses."""

from __future__ import annotations

from functools import lru_cache, partial
from typing import TYPE_CHECKING

from stonecove.exchange import Answer, BadRequestError, ClientRequest, Verdict
from stonecove.pipeline.intake import Intake
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
_LINES = {
    Verdict.SERVED: "200 OK",
    Verdict.UNCHANGED: "200 OK",
    Verdict.REFUSED: "503 Service Unavailable",
    Verdict.FAILED: "502 Bad Gateway",
}
_REASONS = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    401: "Unauthorized",
    403: "Forbidden",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


def _head(status: str, **fields: object) -> bytes:
    lines = [f"Status: {status}", *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def head_of(answer: Answer) -> bytes:
    """The CGI header of an answer."""
    fields: dict[str, object] = {"Content_Type": "application/octet-stream"}
    fields["Content_Length"] = len(answer.body)
    if answer.verdict is Verdict.UNCHANGED:
        fields["X_Notmod"] = 1
    if answer.verdict is Verdict.REFUSED:
        fields["X_Throttle_Ms"] = max(0, round(answer.retry_after_ms))
    if answer.tag:
        fields["X_Etag"] = answer.tag
    return _head(_LINES[answer.verdict], **fields)


@lru_cache(256)
def _name(name: str) -> str:
    """The field that CGI calls so; empty if it is none."""
    return "-".join(word.capitalize() for word in name[5:].split("_")) if name.startswith("HTTP_") else ""


def fields_of(params: dict[str, str]) -> dict[str, str]:
    """The header fields among CGI's parameters, named as on the page: HTTP_X_TXN is X-Txn."""
    return {field: value for name, value in params.items() if (field := _name(name))}


class Front:
    """Takes the requests of all client connections."""

    def __init__(self, settings: Settings, route: Route) -> None:
        self._intake = Intake(settings)
        self._route = route
        self._open: dict[tuple[Session, int], OpenRequest] = {}
        self.ready = False
        self.desk: TokenChecker | None = None  # where tokens are checked, if the operator wants it here too

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold for requests that are whole from now on."""
        self._intake = Intake(settings)

    def request(self, connection: Session, ident: int, params: dict[str, str], body: bytes, bad: str) -> bool:
        """A request has come in; says whether it could be taken."""
        path = params.get("SCRIPT_NAME", "") + params.get("PATH_INFO", "")
        if path == READY_PATH and not bad:
            connection.answer(ident, _head("200 OK" if self.ready else "503 Service Unavailable"), b"")
            return True
        try:
            if bad:
                raise BadRequestError(413 if "too long" in bad else 408 if "in time" in bad else 400, bad)
            if params.get("CONTENT_LENGTH", "") not in ("", str(len(body))):
                raise BadRequestError(400, "CONTENT_LENGTH is not that of the body")
            asked = self._intake.parse(path, fields_of(params), body, partial(self._reply, connection, ident))
            asked.client = params.get("REMOTE_ADDR", "")[:64]
            asked.check_connection = connection.look_for_end
            if self._route.requests.is_open(asked.txn):
                raise BadRequestError(400, "X-Txn is that of an open request")
            if self.desk is not None and not self._let_in(connection, ident, params, asked):
                return True
        except BadRequestError as error:
            log_limited(LogEvent.REQUEST_MALFORMED, status=error.status, reason=str(error))
            connection.answer(ident, _head(f"{error.status} {_REASONS[error.status]}", Content_Length=0), b"")
            return False
        request = self._route.submit(asked)
        if request is not None and not request.answered:
            self._open[connection, ident] = request
        return True

    def _let_in(self, connection: Session, ident: int, params: dict[str, str], asked: ClientRequest) -> bool:
        """Has the token checked; a request that may not go in is refused at once, and never sent on."""
        from stonecove.frontends.fastcgi_tokens import presented, refusal

        assert self.desk is not None
        decision = self.desk.check(presented(params, asked, self.desk.depot))
        if not decision.good:
            status, fields = refusal(decision)
            connection.answer(ident, _head(f"{status} {_REASONS[status]}", **fields), b"")
            return False
        desk, reply = self.desk, asked.reply

        def over(answer: Answer) -> None:
            desk.over(decision, answer.verdict is not Verdict.REFUSED)
            reply(answer)

        asked.reply = over
        asked.on_disconnect = partial(desk.over, decision, ran=True)
        return True

    def _reply(self, connection: Session, ident: int, answer: Answer) -> None:
        self._open.pop((connection, ident), None)
        connection.answer(ident, head_of(answer), answer.body)

    def aborted(self, connection: Session, ident: int) -> None:
        """The client no longer waits: its id is free again once the end is written."""
        request = self._open.pop((connection, ident), None)
        if request is not None:
            self._route.client_disconnected(request)
            connection.end(ident, COMPLETE)

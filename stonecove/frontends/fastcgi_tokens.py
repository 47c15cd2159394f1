"""Token checks over FastCGI: maps the parameters of a web server to the request that the gate checks."""

from __future__ import annotations

from stonecove.access.gate import Decision
from stonecove.access.grants import Request
from stonecove.access.reasons import status_of
from stonecove.exchange import ClientRequest
from stonecove.protocols.http import parse_cookies


def token_request(params: dict[str, str], client_request: ClientRequest, depot: str) -> Request:
    """Return the request with the path that a token covers, `/svc/CLASS/OBJECT/CHUNK`."""
    query = params.get("QUERY_STRING", "")
    path = f"/svc/{client_request.cls}/{client_request.item}/{client_request.chunk}"
    return Request(
        params.get("REQUEST_METHOD", "GET"),
        "https" if params.get("HTTPS", "").lower() == "on" else "http",
        params.get("HTTP_HOST", ""),
        f"{path}?{query}" if query else path,
        params.get("REMOTE_ADDR", ""),
        depot,
        params.get("HTTP_AUTHORIZATION", ""),
        parse_cookies(params.get("HTTP_COOKIE", "")),
    )


def rejection_response(decision: Decision) -> tuple[int, dict[str, object]]:
    """Return the status and CGI fields that answer a rejected request."""
    fields: dict[str, object] = {"Content_Length": 0}
    if decision.retry_after_s:
        fields["X_Throttle_Ms"] = round(decision.retry_after_s * 1000.0)
    return status_of(decision.reason), fields

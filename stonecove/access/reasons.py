"""Reasons for refusing a request: stable codes for logs and counters. The client gets the status only."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Reason codes. They are a public interface for operators and are never renamed."""

    GOOD = "good"
    OPEN = "open"  # no policy requires a token for this path
    PATH = "path"  # the path is not canonical
    MISSING = "missing"
    TOO_LONG = "too-long"
    MALFORMED = "malformed"
    FORMAT = "format"  # not accepted by the policy
    CONFLICT = "conflict"  # several tokens with different claims
    UNKNOWN_KEY = "unknown-key"
    KEY_NOT_YET = "key-not-yet"
    KEY_RETIRED = "key-retired"
    ALGORITHM = "algorithm"  # not the algorithm of the key
    SIGNATURE = "signature"
    EXPIRED = "expired"
    NOT_YET = "not-yet"
    TOO_LONG_LIVED = "too-long-lived"
    RESOURCE = "resource"
    METHOD = "method"
    SOURCE = "source"
    DEPOT = "depot"
    AUDIENCE = "audience"
    ISSUER = "issuer"
    REPLAYED = "replayed"
    REPLAY_FULL = "replay-full"
    REVOKED_KEY = "revoked-key"
    REVOKED_SUBJECT = "revoked-subject"
    REVOKED_TOKEN = "revoked-token"
    RATE = "rate"
    CONCURRENCY = "concurrency"
    BUSY = "busy"  # the budget of signature verifications is exhausted


STATUS_BY_REASON = {
    Reason.PATH: 400,
    Reason.TOO_LONG: 400,
    Reason.MALFORMED: 401,
    Reason.MISSING: 401,
    Reason.RATE: 429,
    Reason.CONCURRENCY: 429,
    Reason.BUSY: 503,
    Reason.REPLAY_FULL: 503,
}


def status_of(reason: Reason) -> int:
    """Return the HTTP status of a refusal: 401 without a well-formed token, 403 if it is rejected."""
    return STATUS_BY_REASON.get(reason, 403)

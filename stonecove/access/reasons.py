"""Why a request is refused: stable codes for logs and counts. The client is told the status alone."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Codes that operators may build on; they are never renamed."""

    GOOD = "good"
    OPEN = "open"  # no policy asks for a token here
    PATH = "path"  # the path is not in its one form
    MISSING = "missing"
    TOO_LONG = "too-long"
    MALFORMED = "malformed"
    FORMAT = "format"  # the policy does not take this format
    CONFLICT = "conflict"  # more than one token, and they are not the same
    UNKNOWN_KEY = "unknown-key"
    KEY_NOT_YET = "key-not-yet"
    KEY_RETIRED = "key-retired"
    ALGORITHM = "algorithm"  # not the one that the key is for
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
    BUSY = "busy"  # too many signatures to check at once


STATUS = {
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
    """The HTTP status of a refusal: 401 without a readable token, 403 with one that won't do."""
    return STATUS.get(reason, 403)

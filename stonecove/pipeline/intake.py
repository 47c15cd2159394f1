"""Stage 1, intake: builds a validated request from the fields that a front end has read."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from stonecove.exchange import Answer, BadRequestError, ClientRequest
from stonecove.routing.settings import Idempotency, Settings

PATH_PREFIX = "/svc/"
REQUEST_FIELDS = (
    "X-Row",
    "X-Seg",
    "X-Bucket",
    "X-Ttl-Ms",
    "X-Txn",
    "X-Txn-Key",
    "X-Working-Set-Kb",
    "X-Etag",
)
MAX_CHUNK = 65_535
MAX_GROUP = 255
MAX_SIZE_KB = 1e7
MAX_TTL_MS = 3_600_000.0
_HEX_64 = re.compile(r"[0-9a-fA-F]{16}")
_INTEGER = re.compile(r"[0-9]{1,9}")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
_TAG = re.compile(r"[0-9A-Za-z._-]{1,64}")


def _field(fields: Mapping[str, str], name: str, pattern: re.Pattern[str], default: str | None = None) -> str:
    """Return a field's text; raise BadRequestError if it is missing or malformed.

    Unchecked text could break out of the list of fields that is sent to a cache.
    """
    text = fields.get(name, default)
    if text is None:
        raise BadRequestError(400, f"{name} is missing")
    if not pattern.fullmatch(text):
        raise BadRequestError(400, f"{name} can't be read")
    return text


def _number(
    fields: Mapping[str, str], name: str, pattern: re.Pattern[str], maximum: float, default: str | None = None
) -> float:
    """Return a field's number; raise BadRequestError if it is malformed or out of range for caches."""
    value = float(_field(fields, name, pattern, default))
    if value > maximum:
        raise BadRequestError(400, f"{name} is out of range")
    return value


def _opaque_tag(tag: str) -> str:
    """Return a client's entity tag without quotes and weak mark; empty if it can't be passed on."""
    opaque = tag.strip().removeprefix("W/").strip('"')
    return opaque if _TAG.fullmatch(opaque) else ""


class Intake:
    """Validates requests against the settings."""

    def __init__(self, settings: Settings) -> None:
        self._keyed_classes = {
            cls.name for cls in settings.classes if cls.idempotency is Idempotency.IDEMPOTENCY_KEY
        }
        self._index_by_class = {cls.name: index for index, cls in enumerate(settings.classes)}

    def parse(
        self, path: str, fields: Mapping[str, str], body: bytes, reply: Callable[[Answer], None]
    ) -> ClientRequest:
        """Return the request described by these fields; raise BadRequestError if it is invalid."""
        cls = path.removeprefix(PATH_PREFIX)
        if not path.startswith(PATH_PREFIX) or cls not in self._index_by_class:
            raise BadRequestError(404, "no such class")
        item = _field(fields, "X-Row", _HEX_64)
        chunk_number = _number(fields, "X-Seg", _INTEGER, MAX_CHUNK, "0")
        ttl_ms = _number(fields, "X-Ttl-Ms", _DECIMAL, MAX_TTL_MS)
        if ttl_ms <= 0:
            raise BadRequestError(400, "X-Ttl-Ms must be above 0")
        return ClientRequest(
            txn=_field(fields, "X-Txn", _HEX_64),
            cls=cls,
            item=item,
            chunk=fields.get("X-Seg", "0"),
            class_index=self._index_by_class[cls],
            object_key=int(item, 16),
            chunk_index=int(chunk_number),
            group=int(_number(fields, "X-Bucket", _INTEGER, MAX_GROUP, "0")),
            size_kb=_number(fields, "X-Working-Set-Kb", _DECIMAL, MAX_SIZE_KB, "0"),
            timeout_ms=ttl_ms,
            client_tag=_opaque_tag(fields.get("X-Etag", "")),
            body=body,
            reply=reply,
            # Required where the class has one: without its key a repeat can't be recognized.
            idempotency_key=_field(fields, "X-Txn-Key", _TAG) if cls in self._keyed_classes else "",
        )

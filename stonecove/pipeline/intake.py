"""Stage 1, take in: makes a checked request of the fields that a front has read."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from stonecove.exchange import Answer, BadRequestError, ClientRequest
from stonecove.routing.settings import Idempotency, Settings

PATH = "/svc/"
MOST_PART = 65_535
MOST_GROUP = 255
MOST_KB = 1e7
LONGEST = 3_600_000.0  # ms that a client may claim to wait
_HEX = re.compile(r"[0-9a-fA-F]{16}")
_WHOLE = re.compile(r"[0-9]{1,9}")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
_TAG = re.compile(r"[0-9A-Za-z._-]{1,64}")


def _field(fields: Mapping[str, str], name: str, form: re.Pattern[str], default: str | None = None) -> str:
    """A field's text. Guards against text that would break out of the list of fields sent to a cache."""
    text = fields.get(name, default)
    if text is None:
        raise BadRequestError(400, f"{name} is missing")
    if not form.fullmatch(text):
        raise BadRequestError(400, f"{name} can't be read")
    return text


def _figure(
    fields: Mapping[str, str], name: str, form: re.Pattern[str], most: float, default: str | None = None
) -> float:
    """A field's figure. Guards against one out of range, which no cache can use."""
    value = float(_field(fields, name, form, default))
    if value > most:
        raise BadRequestError(400, f"{name} is out of range")
    return value


def _bare(tag: str) -> str:
    """A client's tag without the quotes and the weak mark; empty if it can't be passed on."""
    bare = tag.strip().removeprefix("W/").strip('"')
    return bare if _TAG.fullmatch(bare) else ""


class Intake:
    """Checks requests against the settings."""

    def __init__(self, settings: Settings) -> None:
        self._keyed = {cls.name for cls in settings.classes if cls.idempotency is Idempotency.IDEMPOTENCY_KEY}
        self._kinds = {cls.name: place for place, cls in enumerate(settings.classes)}

    def take(
        self, path: str, fields: Mapping[str, str], body: bytes, reply: Callable[[Answer], None]
    ) -> ClientRequest:
        """The request that these fields make; raises BadRequestError."""
        cls = path.removeprefix(PATH)
        if not path.startswith(PATH) or cls not in self._kinds:
            raise BadRequestError(404, "no such class")
        item = _field(fields, "X-Row", _HEX)
        part = _figure(fields, "X-Seg", _WHOLE, MOST_PART, "0")
        ttl = _figure(fields, "X-Ttl-Ms", _NUMBER, LONGEST)
        if ttl <= 0:
            raise BadRequestError(400, "X-Ttl-Ms is 0")
        return ClientRequest(
            txn=_field(fields, "X-Txn", _HEX),
            cls=cls,
            item=item,
            chunk=fields.get("X-Seg", "0"),
            class_index=self._kinds[cls],
            object_key=int(item, 16),
            chunk_index=int(part),
            group=int(_figure(fields, "X-Bucket", _WHOLE, MOST_GROUP, "0")),
            size_kb=_figure(fields, "X-Working-Set-Kb", _NUMBER, MOST_KB, "0"),
            timeout_ms=ttl,
            client_tag=_bare(fields.get("X-Etag", "")),
            body=body,
            reply=reply,
            # Guards against a repeat that nobody can know for one: without its key it is not taken.
            idempotency_key=_field(fields, "X-Txn-Key", _TAG) if cls in self._keyed else "",
        )

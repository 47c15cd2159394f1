"""The records of a roll-out that are stored at the coordination service, and their JSON.

Below the configured path, `versions/<10 digits>` holds an `Overlay`, `target` the `Target`, and
`routers/<name>` each live router's `Report`. Times are Unix milliseconds; shares are fractions of 1.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import ujson

LOCAL_VERSION = 0  # the router's own configuration file, without any overlay
MAX_OVERLAY_BYTES = 64 * 1024
MAX_TARGET_BYTES = 4 * 1024
MAX_REPORT_BYTES = 2 * 1024
MAX_WHY_LENGTH = 200  # characters
MAX_WAVES = 16
MAX_VERSION = 9_999_999_999  # ten digits
PER_ROUTER_FIELDS = ("zone", "fleet_size")  # differ from router to router, so no overlay may set them


class MessageError(ValueError):
    """Raised for a record that cannot be used; the text is one line and names the field."""


def target_path(path: str) -> str:
    """Return the path of the target's node."""
    return f"{path}/target"


def versions_path(path: str) -> str:
    """Return the path of the parent node of all overlays."""
    return f"{path}/versions"


def version_path(path: str, version: int) -> str:
    """Return the path of one overlay's node."""
    return f"{versions_path(path)}/{version:010d}"


def routers_path(path: str) -> str:
    """Return the path of the parent node of the routers' reports."""
    return f"{path}/routers"


def _decode_object(data: bytes, max_bytes: int, record: str) -> dict[str, Any]:
    if len(data) > max_bytes:
        raise MessageError(f"{record}: {len(data)} bytes, {max_bytes} at most")
    try:
        table = ujson.loads(data)
    except (ValueError, RecursionError) as error:
        raise MessageError(f"{record}: not JSON: {error}") from None
    if not isinstance(table, dict):
        raise MessageError(f"{record}: not a JSON object")
    return table


def _integer_field(table: Mapping[str, Any], field: str, maximum: int = MAX_VERSION) -> int:
    value = table.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        raise MessageError(f"{field}: {value!r} is no whole number from 0 to {maximum}")
    return value


def _number_field(table: Mapping[str, Any], field: str, maximum: float) -> float:
    value = table.get(field)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0.0 <= value <= maximum:
        raise MessageError(f"{field}: {value!r} is no number from 0 to {maximum:g}")
    return float(value)


def _text_field(table: Mapping[str, Any], field: str) -> str:
    value = table.get(field)
    if not isinstance(value, str):
        raise MessageError(f"{field}: {value!r} is no text")
    return value[:MAX_WHY_LENGTH]


def _object_field(table: Mapping[str, Any], field: str) -> dict[str, Any]:
    value = table.get(field)
    if not isinstance(value, dict):
        raise MessageError(f"{field}: {value!r} is no JSON object")
    return value


def _encode_object(table: dict[str, Any]) -> bytes:
    return ujson.dumps(table, escape_forward_slashes=False).encode()


class RolloutState(Enum):
    """The state of a roll-out."""

    ROLLING = "rolling"  # the routers that `share` selects apply the version
    HALTED = "halted"  # all return to the previous version
    COMPLETE = "complete"  # all apply the version


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits whose excess halts a roll-out, as fractions of the selected routers, and the wave timeout."""

    refused_share: float = 0.01
    missing_share: float = 0.05
    worse_by: float = 0.05  # increase of the fraction of requests refused or failed
    wave_timeout_ms: float = 2000.0

    def encode(self) -> dict[str, Any]:
        """Return the JSON object."""
        return {
            "refused_share": self.refused_share,
            "missing_share": self.missing_share,
            "worse_by": self.worse_by,
            "wave_timeout_ms": self.wave_timeout_ms,
        }

    @classmethod
    def decode(cls, table: Mapping[str, Any]) -> Bounds:
        """Decode a JSON object; raise MessageError for one that cannot be used."""
        return cls(
            _number_field(table, "refused_share", 1.0),
            _number_field(table, "missing_share", 1.0),
            _number_field(table, "worse_by", 1.0),
            _number_field(table, "wave_timeout_ms", 3_600_000.0),
        )


DEFAULT_WAVES = (0.02, 0.2, 1.0)


def validate_waves(waves: tuple[float, ...]) -> tuple[float, ...]:
    """Return the waves; raise MessageError unless they are rising shares that end with 1."""
    if not 1 <= len(waves) <= MAX_WAVES:
        raise MessageError(f"waves: {len(waves)} of them, from 1 to {MAX_WAVES} are possible")
    if not all(0.0 < wave <= 1.0 for wave in waves) or waves[-1] != 1.0:
        raise MessageError("waves: not shares above 0 that end with 1")
    if any(later <= earlier for earlier, later in zip(waves, waves[1:], strict=False)):
        raise MessageError("waves: each has to be larger than the one before")
    return waves


@dataclass(frozen=True, slots=True)
class Target:
    """The version that the fleet is to apply, with the whole state of a roll-out for any controller.

    `round` counts roll-outs and resumptions: reports with another round belong to an earlier attempt.
    """

    version: int
    previous: int
    share: float
    state: RolloutState
    round: int = 1
    rollback: bool = False
    waves: tuple[float, ...] = DEFAULT_WAVES
    bounds: Bounds = Bounds()
    since_ms: float = 0.0  # when the current wave began
    expected: int = 0  # live routers that were selected when the current wave began
    baseline: float = 0.0  # fraction of requests refused or failed before the roll-out
    writer: str = ""  # the controller that wrote this
    why: str = ""  # why it was halted

    def encode(self) -> bytes:
        """Return the node's data."""
        return _encode_object(
            {
                "version": self.version,
                "previous": self.previous,
                "share": self.share,
                "state": self.state.value,
                "round": self.round,
                "rollback": self.rollback,
                "waves": list(self.waves),
                "bounds": self.bounds.encode(),
                "since_ms": self.since_ms,
                "expected": self.expected,
                "baseline": self.baseline,
                "writer": self.writer,
                "why": self.why,
            }
        )

    @classmethod
    def decode(cls, data: bytes) -> Target:
        """Decode the node's data; raise MessageError for data that cannot be used."""
        table = _decode_object(data, MAX_TARGET_BYTES, "target")
        try:
            state = RolloutState(table.get("state"))
        except ValueError:
            raise MessageError(f"state: {table.get('state')!r} is none that is known") from None
        rollback, waves = table.get("rollback"), table.get("waves")
        if not isinstance(rollback, bool):
            raise MessageError(f"rollback: {rollback!r} is neither true nor false")
        if not isinstance(waves, list) or not all(type(wave) in (int, float) for wave in waves):
            raise MessageError(f"waves: {waves!r} is no list of numbers")
        return cls(
            version=_integer_field(table, "version"),
            previous=_integer_field(table, "previous"),
            share=_number_field(table, "share", 1.0),
            state=state,
            round=_integer_field(table, "round"),
            rollback=rollback,
            waves=validate_waves(tuple(map(float, waves))),
            bounds=Bounds.decode(_object_field(table, "bounds")),
            since_ms=_number_field(table, "since_ms", math.inf),
            expected=_integer_field(table, "expected"),
            baseline=_number_field(table, "baseline", 1.0),
            writer=_text_field(table, "writer"),
            why=_text_field(table, "why"),
        )


@dataclass(frozen=True, slots=True)
class Overlay:
    """One version of the settings: a JSON merge patch (RFC 7396) over the router's own file."""

    version: int
    merge: Mapping[str, Any]

    def encode(self) -> bytes:
        """Return the node's data; raise MessageError if it is too large."""
        data = _encode_object({"version": self.version, "merge": dict(self.merge)})
        if len(data) > MAX_OVERLAY_BYTES:
            raise MessageError(f"merge: {len(data)} bytes with its version, {MAX_OVERLAY_BYTES} at most")
        return data

    @classmethod
    def decode(cls, version: int, data: bytes) -> Overlay:
        """Decode the data of a version's node; raise MessageError for data that cannot be used."""
        table = _decode_object(data, MAX_OVERLAY_BYTES, "overlay")
        stored = _integer_field(table, "version")
        if stored != version:
            raise MessageError(f"version: {stored} in the node of version {version}")
        merge = _object_field(table, "merge")
        check_overlay(merge)
        return cls(version, merge)


LOCAL_OVERLAY = Overlay(LOCAL_VERSION, {})


def check_overlay(merge: Mapping[str, Any]) -> None:
    """Raise MessageError for an overlay that sets a field which differs from router to router."""
    for field in PER_ROUTER_FIELDS:
        if field in merge:
            raise MessageError(f"merge.{field}: differs from router to router, so no overlay may set it")


@dataclass(frozen=True, slots=True)
class Health:
    """Counts of the requests that ended within a window, by result."""

    answered: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Return the number of all requests."""
        return self.answered + self.refused + self.failed

    @property
    def unsuccessful_share(self) -> float:
        """Return the fraction that was refused or failed; 0 without requests."""
        return (self.refused + self.failed) / self.total if self.total else 0.0

    def __add__(self, other: Health) -> Health:
        return Health(
            self.answered + other.answered, self.refused + other.refused, self.failed + other.failed
        )


@dataclass(frozen=True, slots=True)
class Refusal:
    """A version that a router could not apply, and the reason."""

    version: int
    why: str


@dataclass(frozen=True, slots=True)
class Report:
    """A router's applied version. `listen` and `started` identify its process among those of one name."""

    in_force: int = LOCAL_VERSION
    since_ms: float = 0.0
    refused: Refusal | None = None
    round: int = 0  # of the last target that selected it and that it has processed
    settled: bool = False  # `health` covers a complete window since then
    health: Health = Health()
    listen: str = ""
    started: float = 0.0

    def encode(self) -> bytes:
        """Return the node's data."""
        refused = self.refused
        return _encode_object(
            {
                "in_force": self.in_force,
                "since_ms": self.since_ms,
                "refused": None
                if refused is None
                else {"version": refused.version, "why": refused.why[:MAX_WHY_LENGTH]},
                "round": self.round,
                "settled": self.settled,
                "health": {
                    "answered": self.health.answered,
                    "refused": self.health.refused,
                    "failed": self.health.failed,
                },
                "listen": self.listen,
                "started": self.started,
            }
        )

    @classmethod
    def decode(cls, data: bytes) -> Report:
        """Decode the node's data; raise MessageError for data that cannot be used."""
        table = _decode_object(data, MAX_REPORT_BYTES, "report")
        health = _object_field(table, "health")
        refused = None
        if table.get("refused") is not None:
            rejection = _object_field(table, "refused")
            refused = Refusal(_integer_field(rejection, "version"), _text_field(rejection, "why"))
        return cls(
            in_force=_integer_field(table, "in_force"),
            since_ms=_number_field(table, "since_ms", math.inf),
            refused=refused,
            round=_integer_field(table, "round"),
            settled=table.get("settled") is True,
            health=Health(
                _integer_field(health, "answered"),
                _integer_field(health, "refused"),
                _integer_field(health, "failed"),
            ),
            listen=_text_field(table, "listen"),
            started=_number_field(table, "started", math.inf),
        )

"""What is kept at the coordination service for a roll-out, as typed records, and their JSON.

Below the configured path: `versions/<10 digits>` holds an `Overlay`, `target` the `Target`, and
`routers/<name>` each live router's `Report`. Times are Unix milliseconds, shares are parts of 1.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import ujson

LOCAL_VERSION = 0  # the router's own configuration file, without any overlay
MOST_OVERLAY_BYTES = 64 * 1024
MOST_TARGET_BYTES = 4 * 1024
MOST_REPORT_BYTES = 2 * 1024
MOST_WHY = 200  # characters of a reason
MOST_WAVES = 16
MOST_VERSION = 9_999_999_999  # ten digits
PER_ROUTER_FIELDS = ("zone", "fleet_size")  # differ from router to router, so no overlay may set them


class MessageError(ValueError):
    """A record that can't be used; the text is one line and names the field."""


def target_path(path: str) -> str:
    """The node that holds the target."""
    return f"{path}/target"


def versions_path(path: str) -> str:
    """The node below which the overlays are."""
    return f"{path}/versions"


def version_path(path: str, version: int) -> str:
    """The node of one overlay."""
    return f"{versions_path(path)}/{version:010d}"


def routers_path(path: str) -> str:
    """The node below which the routers report."""
    return f"{path}/routers"


def _table(data: bytes, most: int, what: str) -> dict[str, Any]:
    if len(data) > most:
        raise MessageError(f"{what}: {len(data)} bytes, {most} at most")
    try:
        table = ujson.loads(data)
    except (ValueError, RecursionError) as error:
        raise MessageError(f"{what}: not JSON: {error}") from None
    if not isinstance(table, dict):
        raise MessageError(f"{what}: not a JSON object")
    return table


def _whole(table: Mapping[str, Any], field: str, most: int = MOST_VERSION) -> int:
    value = table.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= most:
        raise MessageError(f"{field}: {value!r} is no whole number from 0 to {most}")
    return value


def _number(table: Mapping[str, Any], field: str, most: float) -> float:
    value = table.get(field)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0.0 <= value <= most:
        raise MessageError(f"{field}: {value!r} is no number from 0 to {most:g}")
    return float(value)


def _text(table: Mapping[str, Any], field: str) -> str:
    value = table.get(field)
    if not isinstance(value, str):
        raise MessageError(f"{field}: {value!r} is no text")
    return value[:MOST_WHY]


def _part(table: Mapping[str, Any], field: str) -> dict[str, Any]:
    value = table.get(field)
    if not isinstance(value, dict):
        raise MessageError(f"{field}: {value!r} is no JSON object")
    return value


def _encoded(table: dict[str, Any]) -> bytes:
    return ujson.dumps(table, escape_forward_slashes=False).encode()


class RolloutState(Enum):
    """Where a roll-out stands."""

    ROLLING = "rolling"  # the routers chosen by `share` take the version
    HALTED = "halted"  # all take the previous version again
    COMPLETE = "complete"  # all take the version


@dataclass(frozen=True, slots=True)
class Bounds:
    """What halts a roll-out, as parts of the routers that are chosen, and how long a wave may take."""

    refused_share: float = 0.01
    missing_share: float = 0.05
    worse_by: float = 0.05  # rise of the part of requests refused or failed
    wave_timeout_ms: float = 2000.0

    def encode(self) -> dict[str, Any]:
        """The JSON object."""
        return {
            "refused_share": self.refused_share,
            "missing_share": self.missing_share,
            "worse_by": self.worse_by,
            "wave_timeout_ms": self.wave_timeout_ms,
        }

    @classmethod
    def decode(cls, table: Mapping[str, Any]) -> Bounds:
        """From its JSON object; raises MessageError."""
        return cls(
            _number(table, "refused_share", 1.0),
            _number(table, "missing_share", 1.0),
            _number(table, "worse_by", 1.0),
            _number(table, "wave_timeout_ms", 3_600_000.0),
        )


DEFAULT_WAVES = (0.02, 0.2, 1.0)


def checked_waves(waves: tuple[float, ...]) -> tuple[float, ...]:
    """The waves, if they are usable: rising shares that end with 1. Raises MessageError."""
    if not 1 <= len(waves) <= MOST_WAVES:
        raise MessageError(f"waves: {len(waves)} of them, from 1 to {MOST_WAVES} are possible")
    if not all(0.0 < wave <= 1.0 for wave in waves) or waves[-1] != 1.0:
        raise MessageError("waves: not shares above 0 that end with 1")
    if any(later <= earlier for earlier, later in zip(waves, waves[1:], strict=False)):
        raise MessageError("waves: each has to be larger than the one before")
    return waves


@dataclass(frozen=True, slots=True)
class Target:
    """What the fleet is to have in force. All state of a roll-out is in here, for any controller.

    `round` counts roll-outs and resumptions: reports that bear another one are of an earlier attempt.
    """

    version: int
    previous: int
    share: float
    state: RolloutState
    round: int = 1
    rollback: bool = False
    waves: tuple[float, ...] = DEFAULT_WAVES
    bounds: Bounds = Bounds()
    since_ms: float = 0.0  # when the present wave began
    expected: int = 0  # live routers that were chosen when the present wave began
    baseline: float = 0.0  # part of requests refused or failed before the roll-out
    writer: str = ""  # the controller that wrote this
    why: str = ""  # why it was halted

    def encode(self) -> bytes:
        """The node's data."""
        return _encoded(
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
        """From the node's data; raises MessageError."""
        table = _table(data, MOST_TARGET_BYTES, "target")
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
            version=_whole(table, "version"),
            previous=_whole(table, "previous"),
            share=_number(table, "share", 1.0),
            state=state,
            round=_whole(table, "round"),
            rollback=rollback,
            waves=checked_waves(tuple(map(float, waves))),
            bounds=Bounds.decode(_part(table, "bounds")),
            since_ms=_number(table, "since_ms", math.inf),
            expected=_whole(table, "expected"),
            baseline=_number(table, "baseline", 1.0),
            writer=_text(table, "writer"),
            why=_text(table, "why"),
        )


@dataclass(frozen=True, slots=True)
class Overlay:
    """One version: a JSON merge patch (RFC 7396) over the settings of the router's own file."""

    version: int
    merge: Mapping[str, Any]

    def encode(self) -> bytes:
        """The node's data; raises MessageError where it is larger than allowed."""
        data = _encoded({"version": self.version, "merge": dict(self.merge)})
        if len(data) > MOST_OVERLAY_BYTES:
            raise MessageError(f"merge: {len(data)} bytes with its version, {MOST_OVERLAY_BYTES} at most")
        return data

    @classmethod
    def decode(cls, version: int, data: bytes) -> Overlay:
        """From the data of the node of that version; raises MessageError."""
        table = _table(data, MOST_OVERLAY_BYTES, "overlay")
        named = _whole(table, "version")
        if named != version:
            raise MessageError(f"version: {named} in the node of version {version}")
        merge = _part(table, "merge")
        check_overlay(merge)
        return cls(version, merge)


LOCAL_OVERLAY = Overlay(LOCAL_VERSION, {})


def check_overlay(merge: Mapping[str, Any]) -> None:
    """Raises MessageError for an overlay that sets what differs from router to router."""
    for field in PER_ROUTER_FIELDS:
        if field in merge:
            raise MessageError(f"merge.{field}: differs from router to router, so no overlay may set it")


@dataclass(frozen=True, slots=True)
class Health:
    """Requests that ended within some time, by how they ended."""

    answered: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """All of them."""
        return self.answered + self.refused + self.failed

    @property
    def bad_share(self) -> float:
        """The part that was refused or failed; 0 without requests."""
        return (self.refused + self.failed) / self.total if self.total else 0.0

    def __add__(self, other: Health) -> Health:
        return Health(
            self.answered + other.answered, self.refused + other.refused, self.failed + other.failed
        )


@dataclass(frozen=True, slots=True)
class Refusal:
    """A version that could not be taken, and why."""

    version: int
    why: str


@dataclass(frozen=True, slots=True)
class Report:
    """What one router has in force. `listen` and `started` tell its process from others of its name."""

    in_force: int = LOCAL_VERSION
    since_ms: float = 0.0
    refused: Refusal | None = None
    round: int = 0  # of the target for which it was chosen last, and that it has followed
    settled: bool = False  # `health` is of a whole window since then
    health: Health = Health()
    listen: str = ""
    started: float = 0.0

    def encode(self) -> bytes:
        """The node's data."""
        refused = self.refused
        return _encoded(
            {
                "in_force": self.in_force,
                "since_ms": self.since_ms,
                "refused": None
                if refused is None
                else {"version": refused.version, "why": refused.why[:MOST_WHY]},
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
        """From the node's data; raises MessageError."""
        table = _table(data, MOST_REPORT_BYTES, "report")
        health = _part(table, "health")
        refused = None
        if table.get("refused") is not None:
            told = _part(table, "refused")
            refused = Refusal(_whole(told, "version"), _text(told, "why"))
        return cls(
            in_force=_whole(table, "in_force"),
            since_ms=_number(table, "since_ms", math.inf),
            refused=refused,
            round=_whole(table, "round"),
            settled=table.get("settled") is True,
            health=Health(_whole(health, "answered"), _whole(health, "refused"), _whole(health, "failed")),
            listen=_text(table, "listen"),
            started=_number(table, "started", math.inf),
        )

"""The change log: numbered events, as JSON at the start and as binary frames from then on. Knows no I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, NamedTuple

from stonecove.discovery import Member, MembershipEvent, MembershipSink, MembersUpdate, PurgeUpdate
from stonecove.protocols.buffer import Buffer
from stonecove.routing.endpoints import Node, NodeState
from stonecove.routing.settings import Settings
from stonecove.runtime.log import log_limited
from stonecove.runtime.log_events import LogEvent

MOST_FRAME = 4 << 20

_HEAD = struct.Struct(">IQB")
_RECORD = struct.Struct(">IIHBBBHIQ")
_OBJECT = struct.Struct(">QQ")
_GROUP = struct.Struct(">HQ")
_NOTHING, _WHOLE, _CHANGES, _OBJECT_PURGE, _GROUP_PURGE = range(5)
_STATES = {0: NodeState.READY, 1: NodeState.DRAINING, 2: NodeState.REMOVED}
_WORDS = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.REMOVED}


class ChangeLogError(Exception):
    """A frame or a list that cannot be read."""


class Frame(NamedTuple):
    """One frame: its number, whether it is an event, and what that tells, if its kind is known."""

    number: int
    event: bool
    told: MembershipEvent | None
    wrong: str = ""  # why the payload can't be read


def _members(payload: bytes) -> tuple[Member, ...]:
    if len(payload) % _RECORD.size:
        raise ChangeLogError(f"a list of {len(payload)} bytes")
    found = []
    for ident, address, port, state, zone, kind, cell, weight, started in _RECORD.iter_unpack(payload):
        node = Node(
            ident, kind, float(started), _STATES.get(state, NodeState.DRAINING), cell, zone, weight / 1000.0
        )
        host = ".".join(str(byte) for byte in address.to_bytes(4, "big"))
        found.append(Member(node, host, port))
    return tuple(found)


def _frame(number: int, kind: int, payload: bytes) -> Frame:
    told: MembershipEvent | None = None
    wrong = ""
    try:
        if kind in (_WHOLE, _CHANGES):
            told = MembersUpdate(kind == _WHOLE, _members(payload))
        elif kind == _OBJECT_PURGE:
            key, time = _OBJECT.unpack(payload)
            told = PurgeUpdate(float(time), 0, key)
        elif kind == _GROUP_PURGE:
            group, time = _GROUP.unpack(payload)
            told = PurgeUpdate(float(time), group, 0)
    except (struct.error, ChangeLogError) as error:  # only this event: the next frame begins where it says
        wrong = f"a frame of kind {kind}: {error}"
    return Frame(number, kind != _NOTHING, told, wrong)


def frames(buffer: Buffer) -> Iterator[Frame]:
    """All frames that are whole."""
    while len(buffer) >= _HEAD.size:
        length, number, kind = buffer.unpack(_HEAD)
        if not _HEAD.size - 4 <= length <= MOST_FRAME:
            raise ChangeLogError(f"a frame of {length} bytes")
        if len(buffer) < length + 4:
            return
        buffer.skip(_HEAD.size)
        yield _frame(number, kind, buffer.take(length + 4 - _HEAD.size))


def _place(names: tuple[str, ...], value: Any) -> int:
    """A zone or kind, by its name or its place."""
    if isinstance(value, int):
        return value
    if value not in names:
        raise ChangeLogError(f"unknown zone or kind {value!r}")
    return names.index(value)


def member_from(entry: dict[str, Any], settings: Settings) -> Member:
    """An instance of the JSON list."""
    host, _, port = str(entry["hostPort"]).rpartition(":")
    ident = int(str(entry["instanceId"]).removeprefix("s-"), 16)
    node = Node(
        ident,
        _place(settings.kinds, entry["machineType"]),
        float(entry.get("startedAtMs") or 0.0),
        _WORDS.get(entry["lifecycle"], NodeState.DRAINING),
        int(entry.get("cell") or 0),
        _place(settings.zones, entry["zone"]),
        float(entry.get("weight") or 0.0),
    )
    return Member(node, host, int(port))


def known_events(known: dict[str, Any], settings: Settings) -> list[MembershipEvent]:
    """The events of the start, given as JSON."""
    told: list[MembershipEvent] = []
    try:
        for event in known.get("results", []):
            if fleet := event.get("fleet"):
                members = tuple(member_from(entry, settings) for entry in fleet["instances"])
                told.append(MembersUpdate(bool(fleet.get("reset")) or not told, members))
            if purge := event.get("invalidate"):
                key = int(str(purge["object"]), 16) if "object" in purge else 0
                told.append(PurgeUpdate(float(purge["time"]), int(purge.get("bucket", 0)), key))
    except (KeyError, TypeError, ValueError) as error:
        raise ChangeLogError(f"'known' cannot be read: {error!r}") from error
    return told


class Follower:
    """Keeps count of the numbers: what came already is passed over, a gap is noticed.

    What is wrong with the next event is asked for again, once, and then borne: an event that never comes,
    can't be read or can't be worked off must not keep all later ones away.
    """

    def __init__(self, last: int) -> None:
        self.last = last
        self._jumped = -1  # the last number after which the log was asked again

    def hello(self) -> bytes:
        """What is written at the start of a connection."""
        return struct.pack(">Q", self.last)

    def take(self, frame: Frame, sink: MembershipSink) -> bool:
        """Passes a frame on; False if it can't be read or events before it were missed, and the log should be
        asked again. What the sink raises comes out, and the event with it once more.
        """
        if not frame.event:
            return frame.number <= self.last or self._accept_gap()
        if frame.number <= self.last:
            return True
        if (frame.number > self.last + 1 or frame.wrong) and not self._accept_gap():
            return False
        if frame.told is not None:
            try:
                sink.handle_membership_event(frame.told)
            except Exception:
                if self._accept_gap():
                    self.last = frame.number
                raise
        else:  # guards against asking for ever for an event that a newer log tells and we don't know
            log_limited(
                LogEvent.CHANGE_LOG_EVENT_SKIPPED, number=frame.number, reason=frame.wrong or "its kind"
            )
        self.last = frame.number
        return True

    def _accept_gap(self) -> bool:
        """Whether the log was asked again after the last number already: it has nothing better, so go on."""
        again, self._jumped = self._jumped == self.last, self.last
        return again

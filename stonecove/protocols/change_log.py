"""Codec and follower of the change log, without I/O.

The log is a sequence of numbered events: JSON in the configuration at the start, binary frames afterwards.
"""

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

MAX_FRAME_BYTES = 4 << 20

_HEADER = struct.Struct(">IQB")
_RECORD = struct.Struct(">IIHBBBHIQ")
_OBJECT = struct.Struct(">QQ")
_GROUP = struct.Struct(">HQ")
_KEEP_ALIVE, _COMPLETE_LIST, _CHANGES, _OBJECT_PURGE, _GROUP_PURGE = range(5)
_STATES = {0: NodeState.READY, 1: NodeState.DRAINING, 2: NodeState.REMOVED}
_STATE_NAMES = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.REMOVED}


class ChangeLogError(Exception):
    """A malformed frame or JSON list."""


class Frame(NamedTuple):
    """One frame; `update` is the decoded event, None if it is unreadable or its type is unknown."""

    number: int
    is_event: bool
    update: MembershipEvent | None
    error: str = ""  # why the payload is unreadable


def _members(payload: bytes) -> tuple[Member, ...]:
    if len(payload) % _RECORD.size:
        raise ChangeLogError(f"endpoint list of {len(payload)} bytes is not a multiple of the record size")
    found = []
    for ident, address, port, state, zone, kind, cell, weight, started in _RECORD.iter_unpack(payload):
        node = Node(
            ident, kind, float(started), _STATES.get(state, NodeState.DRAINING), cell, zone, weight / 1000.0
        )
        host = ".".join(str(byte) for byte in address.to_bytes(4, "big"))
        found.append(Member(node, host, port))
    return tuple(found)


def _frame(number: int, kind: int, payload: bytes) -> Frame:
    update: MembershipEvent | None = None
    problem = ""
    try:
        if kind in (_COMPLETE_LIST, _CHANGES):
            update = MembersUpdate(kind == _COMPLETE_LIST, _members(payload))
        elif kind == _OBJECT_PURGE:
            key, time = _OBJECT.unpack(payload)
            update = PurgeUpdate(float(time), 0, key)
        elif kind == _GROUP_PURGE:
            group, time = _GROUP.unpack(payload)
            update = PurgeUpdate(float(time), group, 0)
    except (
        struct.error,
        ChangeLogError,
    ) as error:  # only this event is lost: the length tells where the next frame starts
        problem = f"frame of type {kind}: {error}"
    return Frame(number, kind != _KEEP_ALIVE, update, problem)


def frames(buffer: Buffer) -> Iterator[Frame]:
    """Consume and yield all complete frames; raise ChangeLogError if a length is out of range."""
    while len(buffer) >= _HEADER.size:
        length, number, kind = buffer.unpack(_HEADER)
        if not _HEADER.size - 4 <= length <= MAX_FRAME_BYTES:
            raise ChangeLogError(f"frame length {length} is out of range")
        if len(buffer) < length + 4:
            return
        buffer.skip(_HEADER.size)
        yield _frame(number, kind, buffer.take(length + 4 - _HEADER.size))


def _index_of(names: tuple[str, ...], value: Any) -> int:
    """Return the index of a zone or kind that is given by its name or its index."""
    if isinstance(value, int):
        return value
    if value not in names:
        raise ChangeLogError(f"unknown zone or kind {value!r}")
    return names.index(value)


def parse_member(entry: dict[str, Any], settings: Settings) -> Member:
    """Return an instance of the JSON list; raise KeyError, TypeError, ValueError or ChangeLogError."""
    host, _, port = str(entry["hostPort"]).rpartition(":")
    ident = int(str(entry["instanceId"]).removeprefix("s-"), 16)
    node = Node(
        ident,
        _index_of(settings.kinds, entry["machineType"]),
        float(entry.get("startedAtMs") or 0.0),
        _STATE_NAMES.get(entry["lifecycle"], NodeState.DRAINING),
        int(entry.get("cell") or 0),
        _index_of(settings.zones, entry["zone"]),
        float(entry.get("weight") or 0.0),
    )
    return Member(node, host, int(port))


def known_events(known: dict[str, Any], settings: Settings) -> list[MembershipEvent]:
    """Return the events that the configuration lists as JSON; raise ChangeLogError if it is malformed."""
    updates: list[MembershipEvent] = []
    try:
        for event in known.get("results", []):
            if fleet := event.get("fleet"):
                members = tuple(parse_member(entry, settings) for entry in fleet["instances"])
                updates.append(MembersUpdate(bool(fleet.get("reset")) or not updates, members))
            if purge := event.get("invalidate"):
                key = int(str(purge["object"]), 16) if "object" in purge else 0
                updates.append(PurgeUpdate(float(purge["time"]), int(purge.get("bucket", 0)), key))
    except (KeyError, TypeError, ValueError) as error:
        raise ChangeLogError(f"'known' cannot be read: {error!r}") from error
    return updates


class Follower:
    """Tracks the event numbers: duplicates are ignored, gaps are detected.

    A missing, unreadable or unprocessable event is requested again once and then skipped: a permanent fault
    of one event must not hold back all later ones.
    """

    def __init__(self, last: int) -> None:
        self.last = last
        self._requested_again_after = -1  # the last number after which the events were requested again

    def hello(self) -> bytes:
        """Return what is written at the start of a connection: the number of the last event."""
        return struct.pack(">Q", self.last)

    def take(self, frame: Frame, sink: MembershipSink) -> bool:
        """Pass a frame to the sink; return False if the events are to be requested again.

        That is the case for an unreadable event and for a gap before it. An exception of the sink is
        propagated, and the event is delivered once more.
        """
        if not frame.is_event:
            return frame.number <= self.last or self._accept_gap()
        if frame.number <= self.last:
            return True
        if (frame.number > self.last + 1 or frame.error) and not self._accept_gap():
            return False
        if frame.update is not None:
            try:
                sink.handle_membership_event(frame.update)
            except Exception:
                if self._accept_gap():
                    self.last = frame.number
                raise
        else:  # unknown types of a newer log are skipped, as requesting them again would never end
            log_limited(
                LogEvent.CHANGE_LOG_EVENT_SKIPPED, number=frame.number, reason=frame.error or "unknown type"
            )
        self.last = frame.number
        return True

    def _accept_gap(self) -> bool:
        """Return whether the events after the last number were requested again before, and note the request.

        If they were, the log has nothing better, and the follower continues.
        """
        repeated, self._requested_again_after = self._requested_again_after == self.last, self.last
        return repeated

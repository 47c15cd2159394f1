"""The change log: numbered events, as JSON at the start and as binary frames from then on."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, NamedTuple

import trio

from stonecove.interface import Node, NodeState, Settings
from stonecove.lifecycle.log import log
from stonecove.membership import Member, MembershipSink, MembersTold, PurgeTold, Told
from stonecove.wire.buffer import Buffer, BufferFullError

# What the log tells counts as told 2 s after a break and 4 s after it stops: all waits must fit into that.
QUIET = 2.5  # a frame comes each second; after so many without a whole one the connection is given up
BACK_OFF = 0.05, 0.4  # seconds before the next connection, doubled from the first to the second
CONNECT_WAIT = 0.8
MOST_FRAME = 4 << 20

_HEAD = struct.Struct(">IQB")
_RECORD = struct.Struct(">IIHBBBHIQ")
_OBJECT = struct.Struct(">QQ")
_GROUP = struct.Struct(">HQ")
_NOTHING, _WHOLE, _CHANGES, _OBJECT_PURGE, _GROUP_PURGE = range(5)
_STATES = {0: NodeState.READY, 1: NodeState.DRAINING, 2: NodeState.GONE}
_WORDS = {"up": NodeState.READY, "draining": NodeState.DRAINING, "removed": NodeState.GONE}


class ChangeLogError(Exception):
    """A frame or a list that cannot be read."""


class Frame(NamedTuple):
    """One frame: its number, whether it is an event, and what that tells, if its kind is known."""

    number: int
    event: bool
    told: Told | None


def _members(payload: bytes) -> tuple[Member, ...]:
    if len(payload) % _RECORD.size:
        raise ChangeLogError(f"a list of {len(payload)} bytes")
    found = []
    for ident, address, port, state, zone, kind, cell, weight, started in _RECORD.iter_unpack(payload):
        node = Node(ident, kind, float(started), _STATES.get(state, NodeState.DRAINING), cell, zone,
                    weight / 1000.0)
        host = ".".join(str(byte) for byte in address.to_bytes(4, "big"))
        found.append(Member(node, host, port))
    return tuple(found)


def _frame(number: int, kind: int, payload: bytes) -> Frame:
    told: Told | None = None
    try:
        if kind in (_WHOLE, _CHANGES):
            told = MembersTold(kind == _WHOLE, _members(payload))
        elif kind == _OBJECT_PURGE:
            key, time = _OBJECT.unpack(payload)
            told = PurgeTold(float(time), 0, key)
        elif kind == _GROUP_PURGE:
            group, time = _GROUP.unpack(payload)
            told = PurgeTold(float(time), group, 0)
    except struct.error as error:
        raise ChangeLogError(f"a frame of kind {kind}: {error}") from error
    return Frame(number, kind != _NOTHING, told)


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
    node = Node(ident, _place(settings.kinds, entry["machineType"]), float(entry.get("startedAtMs") or 0.0),
                _WORDS.get(entry["lifecycle"], NodeState.DRAINING),
                int(entry.get("cell") or 0), _place(settings.zones, entry["zone"]),
                float(entry.get("weight") or 0.0))
    return Member(node, host, int(port))


def known_events(known: dict[str, Any], settings: Settings) -> list[Told]:
    """The events of the start, given as JSON."""
    told: list[Told] = []
    try:
        for event in known.get("results", []):
            if fleet := event.get("fleet"):
                members = tuple(member_from(entry, settings) for entry in fleet["instances"])
                told.append(MembersTold(bool(fleet.get("reset")) or not told, members))
            if purge := event.get("invalidate"):
                key = int(str(purge["object"]), 16) if "object" in purge else 0
                told.append(PurgeTold(float(purge["time"]), int(purge.get("bucket", 0)), key))
    except (KeyError, TypeError, ValueError) as error:
        raise ChangeLogError(f"'known' cannot be read: {error!r}") from error
    return told


class ChangeLog:
    """Follows the change log for good: resumes after the last number, however often it breaks."""

    def __init__(self, host: str, port: int, last: int) -> None:
        self._address = (host, port)
        self._last = last
        self._jumped = -1  # the last number at which the log went on with a gap
        self._scope = trio.CancelScope()

    def move(self, host: str, port: int) -> None:
        """Follows the log at another address from now on, after the same last number.

        The connection to the old one is given up at once: it may stay open and tell nothing more.
        """
        if (host, port) != self._address:
            self._address = (host, port)
            self._scope.cancel()

    async def run(self, sink: MembershipSink) -> None:
        """Follows the log for good, wherever it is."""
        while True:
            with trio.CancelScope() as self._scope:
                await self._keep(sink)
            log("changelog-moved", to=":".join(map(str, self._address)), last=self._last)

    async def _keep(self, sink: MembershipSink) -> None:
        """Connects again and again, with a short back-off."""
        wait = BACK_OFF[0]
        while True:
            before = self._last
            why = "closed"
            try:
                why = await self._follow(sink)
            except (OSError, BufferFullError, ChangeLogError) as error:
                why = str(error) or type(error).__name__
            except Exception as error:  # guards against one event that can't be worked off ending the process
                log("bug", where="change log", error=repr(error))
                why = "an event can't be worked off"
            log("changelog-lost", last=self._last, why=why)
            wait = BACK_OFF[0] if self._last != before else min(2 * wait, BACK_OFF[1])
            await trio.sleep(wait)

    async def _follow(self, sink: MembershipSink) -> str:
        with trio.socket.socket() as sock:
            with trio.move_on_after(CONNECT_WAIT) as waiting:
                await sock.connect(self._address)
                await sock.send(struct.pack(">Q", self._last))
            if waiting.cancelled_caught:
                return "not up in time"
            log("changelog-up", last=self._last)
            buffer = Buffer(MOST_FRAME + 4096)
            # Guards against a log that was cut off or stops in the middle of a frame: the connection stays
            # open, and bytes may still trickle in. Only whole frames count.
            with trio.move_on_after(QUIET) as quiet:
                while True:
                    with buffer.room(4096) as view:
                        count = await sock.recv_into(view)
                    if not count:
                        return "closed by the log"
                    buffer.filled(count)
                    for frame in frames(buffer):
                        quiet.deadline = trio.current_time() + QUIET
                        if not self._take(frame, sink):
                            return f"a gap before {frame.number}"
            return "silent"

    def _take(self, frame: Frame, sink: MembershipSink) -> bool:
        """Passes a frame on; False if events before it were missed and should be asked for again."""
        if not frame.event:
            return frame.number <= self._last or self._accept_gap()
        if frame.number <= self._last:
            return True
        if frame.number > self._last + 1 and not self._accept_gap():
            return False
        self._last = frame.number
        if frame.told is not None:
            sink.told(frame.told)
        else:  # guards against asking for ever for an event that a newer log tells and we don't know
            log("changelog-unknown", number=frame.number)
        return True

    def _accept_gap(self) -> bool:
        """Asked once more, the log still goes on with a gap: it has nothing better, so go on too."""
        again, self._jumped = self._jumped == self._last, self._last
        return again

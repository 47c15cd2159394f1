"""Wire adapter: reads batches of events on standard input, writes actions on standard output.

It hosts one Director for each instance and decides nothing.
"""

from __future__ import annotations

import struct
import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO

from stonecove.routing import events as i
from stonecove.routing.director import Director
from stonecove.settings import read_settings

_HEAD = struct.Struct(">dII")
_REPLY = struct.Struct(">II")
_INST = struct.Struct(">I")
_LAUNCH = struct.Struct(">IQI")
_LIST = struct.Struct(">IBII")
_ENTRY = struct.Struct(">BdBHIHHf")
_INCOMING = struct.Struct(">IIHHQdfffH")
_DONE = struct.Struct(">IIBIHBdBIdB")
_DUE = struct.Struct(">II")
_STARTED = struct.Struct(">IIBIHd")
_PROBED = struct.Struct(">IdBIHB")
_PURGED = struct.Struct(">IdHQ")
_PEER = struct.Struct(">IHH")
_OUT_GET = struct.Struct(">BIIIHdIHBdB")
_OUT_CANCEL = struct.Struct(">BIIB")
_OUT_REFUSE = struct.Struct(">BIId")
_OUT_FAIL = struct.Struct(">BII")
_OUT_TIMER = struct.Struct(">BIId")
_OUT_PROBE = struct.Struct(">BIIH")
_OUT_WATCH = struct.Struct(">BIB")
_OUT_TEXT = struct.Struct(">BIH")

_OUTCOMES = {int(o): o for o in i.Outcome}
_STATES = {int(s): s for s in i.NodeState}
_FORMS = {int(f): f for f in i.ListKind}
_LAUNCH_CODE, _STOP_CODE, _LIST_CODE, _PEER_CODE = 70, 50, 30, 90


class WireError(Exception):
    """A frame that cannot be read."""


def _floats(body: bytes, at: int, count: int) -> tuple[tuple[float, ...], int]:
    return struct.unpack_from(f">{count}f", body, at), at + 4 * count


def _read_request(body: bytes, at: int) -> tuple[int, i.Event, int]:
    inst, req, kind, _, key, grace, size, group, part, _ = _INCOMING.unpack_from(body, at)
    return inst, i.Request(req, kind, key, grace, size, int(group), int(part)), at + _INCOMING.size


def _read_done(body: bytes, at: int) -> tuple[int, i.Event, int]:
    inst, req, attempt, addr, port, code, took, closed, note, waited, count = _DONE.unpack_from(body, at)
    load, end = _floats(body, at + _DONE.size, count)
    node, outcome = addr << 16 | port, _OUTCOMES.get(code, i.Outcome.UNKNOWN)
    return inst, i.Ended(req, attempt, node, outcome, took, bool(closed), note, waited, load), end


def _read_due(body: bytes, at: int) -> tuple[int, i.Event, int]:
    inst, token = _DUE.unpack_from(body, at)
    return inst, i.Due(token), at + _DUE.size


def _read_started(body: bytes, at: int) -> tuple[int, i.Event, int]:
    inst, req, attempt, addr, port, _ = _STARTED.unpack_from(body, at)
    return inst, i.Started(req, attempt, addr << 16 | port), at + _STARTED.size


def _read_probed(body: bytes, at: int) -> tuple[int, i.Event, int]:
    inst, took, code, addr, port, count = _PROBED.unpack_from(body, at)
    load, end = _floats(body, at + _PROBED.size, count)
    return inst, i.Probed(addr << 16 | port, code == i.Outcome.OK, took, load), end


def _read_purged(body: bytes, at: int) -> tuple[int, i.Event, int]:
    inst, age, group, key = _PURGED.unpack_from(body, at)
    return inst, i.Purged(age, group, key), at + _PURGED.size


def _read_left(body: bytes, at: int) -> tuple[int, i.Event, int]:
    inst, req = _DUE.unpack_from(body, at)
    return inst, i.Left(req), at + _DUE.size


def _read_list(body: bytes, at: int) -> tuple[int, i.Event, int]:
    inst, form, _, count = _LIST.unpack_from(body, at)
    at += _LIST.size
    end = at + count * _ENTRY.size
    nodes = []
    for kind, started, state, cell, addr, port, zone, weight in _ENTRY.iter_unpack(body[at:end]):
        state = _STATES.get(state, i.NodeState.DRAINING)
        nodes.append(i.Node(addr << 16 | port, kind, started, state, cell, zone, weight))
    if len(nodes) != count:
        raise WireError("a list ends early")
    return inst, i.Listed(_FORMS.get(form, i.ListKind.FAILED), tuple(nodes)), end


_READERS: dict[int, Callable[[bytes, int], tuple[int, i.Event, int]]] = {
    10: _read_purged,
    20: _read_due,
    _LIST_CODE: _read_list,
    40: _read_started,
    60: _read_done,
    80: _read_request,
    100: _read_probed,
    110: _read_left,
}


def _write_get(inst: int, act: i.Get) -> bytes:
    node, source = act.node, act.source
    return _OUT_GET.pack(
        80,
        inst,
        act.req,
        node >> 16,
        node & 65535,
        act.cut_at,
        source >> 16,
        source & 65535,
        act.keep,
        act.age,
        act.how,
    )


def _write_text(code: int, inst: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:60000]
    return _OUT_TEXT.pack(code, inst, len(data)) + data


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    i.Get: _write_get,
    i.Cancel: lambda inst, act: _OUT_CANCEL.pack(30, inst, act.req, act.attempt),
    i.Refuse: lambda inst, act: _OUT_REFUSE.pack(60, inst, act.req, act.pause),
    i.Fail: lambda inst, act: _OUT_FAIL.pack(40, inst, act.req),
    i.Timer: lambda inst, act: _OUT_TIMER.pack(110, inst, act.token, act.at),
    i.Probe: lambda inst, act: _OUT_PROBE.pack(20, inst, act.node >> 16, act.node & 65535),
    i.Watch: lambda inst, act: _OUT_WATCH.pack(70, inst, 1),
    i.Log: lambda inst, act: _write_text(50, inst, act.text),
}


class Link:
    """The instances of one process."""

    def __init__(self) -> None:
        self.directors: dict[int, Director] = {}

    def _launch(self, body: bytes, at: int) -> int:
        inst, entropy, count = _LAUNCH.unpack_from(body, at)
        at += _LAUNCH.size
        if at + count > len(body):
            raise WireError("settings end early")
        self.directors[inst] = Director(read_settings(body[at : at + count]), entropy)
        return int(at + count)

    def _one(self, now: float, body: bytes, at: int, out: list[bytes]) -> int:
        """Hands one record to its director; returns where the next begins."""
        code, at = body[at], at + 1
        if code == _LAUNCH_CODE:
            return self._launch(body, at)
        if code == _STOP_CODE:
            self.directors.pop(_INST.unpack_from(body, at)[0], None)
            return at + _INST.size
        if code == _PEER_CODE:
            _, _, count = _PEER.unpack_from(body, at)
            return int(at + _PEER.size + count)
        reader = _READERS.get(code)
        if reader is None:
            raise WireError(f"unknown event code {code}")
        inst, event, end = reader(body, at)
        director = self.directors.get(inst)
        if director is not None:
            out.extend(_WRITERS[type(act)](inst, act) for act in director.handle(now, event))
        return end

    def batch(self, now: float, count: int, body: bytes) -> bytes:
        """The reply to one batch."""
        out: list[bytes] = []
        at = 0
        for _ in range(count):
            start = at
            try:
                at = self._one(now, body, at, out)
            except (struct.error, IndexError) as error:
                if start >= len(body) or "unpack" in str(error):
                    raise WireError(f"a record is cut short: {error}") from error
                out.append(self._bug(body, start))
                break
            except WireError:
                raise
            except Exception:
                out.append(self._bug(body, start))
                break
        else:
            if at != len(body):
                raise WireError("bytes are left over after the last record")
        data = b"".join(out)
        return _REPLY.pack(len(out), _REPLY.size + len(data)) + data

    @staticmethod
    def _bug(body: bytes, start: int) -> bytes:
        inst = _INST.unpack_from(body, start + 1)[0]
        return _write_text(100, inst, "\n".join(traceback.format_exc().splitlines()[-6:]))


def _read(stream: BinaryIO, count: int) -> bytes:
    data = b""
    while len(data) < count:
        more = stream.read(count - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends."""
    link = Link()
    while head := _read(source, _HEAD.size):
        if len(head) < _HEAD.size:
            raise WireError("the input ends within a header")
        now, length, count = _HEAD.unpack(head)
        body = _read(source, length - _HEAD.size) if length >= _HEAD.size else b""
        if len(body) != length - _HEAD.size:
            raise WireError("the input ends within a batch, or its length is wrong")
        sink.write(link.batch(now, count, body))
        sink.flush()


def main() -> int:
    """Entry point of the adapter."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"stonecove: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

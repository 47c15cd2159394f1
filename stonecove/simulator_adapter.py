"""Adapter to the simulator: reads batches of events from standard input, writes actions to standard output.

It hosts one `Director` for each simulated router and makes no decisions itself. Numbers are big-endian; a
node's id consists of its address and port.
"""

from __future__ import annotations

import struct
import sys
import traceback
from collections.abc import Callable
from enum import IntEnum
from typing import Any, BinaryIO, NamedTuple

from stonecove.errors import StonecoveError
from stonecove.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SendHealthCheck,
    StartTimer,
    WatchEndpointList,
    WriteLog,
)
from stonecove.routing.director import Director
from stonecove.routing.endpoints import EndpointListKind, Node, NodeId, NodeState
from stonecove.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    Outcome,
    PurgeReceived,
    RequestReceived,
    ResponseStarted,
    TimerExpired,
)
from stonecove.settings import read_settings

MAX_TEXT_BYTES = 60_000
TRACEBACK_LINES = 6
_PORT_BITS = 16
_PORT_MASK = (1 << _PORT_BITS) - 1


class RecordCode(IntEnum):
    """Code at the start of each record of a batch."""

    PURGE = 10
    TIMER_EXPIRED = 20
    ENDPOINT_LIST = 30
    RESPONSE_STARTED = 40
    STOP = 50
    ATTEMPT_ENDED = 60
    LAUNCH = 70
    REQUEST = 80
    PEER_MESSAGE = 90
    HEALTH_CHECK_ENDED = 100
    CLIENT_DISCONNECTED = 110


class ActionCode(IntEnum):
    """Code at the start of each action of a reply."""

    HEALTH_CHECK = 20
    CANCEL = 30
    FAIL = 40
    LOG = 50
    REJECT = 60
    WATCH = 70
    SEND = 80
    ADAPTER_ERROR = 100
    TIMER = 110


_BATCH_HEADER = struct.Struct(">dII")
_REPLY_HEADER = struct.Struct(">II")
_INSTANCE = struct.Struct(">I")
_LAUNCH = struct.Struct(">IQI")
_ENDPOINT_LIST = struct.Struct(">IBII")
_ENDPOINT = struct.Struct(">BdBHIHHf")
_REQUEST = struct.Struct(">IIHHQdfffH")
_ATTEMPT_ENDED = struct.Struct(">IIBIHBdBIdB")
_INSTANCE_AND_ID = struct.Struct(">II")
_RESPONSE_STARTED = struct.Struct(">IIBIHd")
_HEALTH_CHECK_ENDED = struct.Struct(">IdBIHB")
_PURGE = struct.Struct(">IdHQ")
_PEER_MESSAGE = struct.Struct(">IHH")
_SEND = struct.Struct(">BIIIHdIHBdB")
_CANCEL = struct.Struct(">BIIB")
_REJECT = struct.Struct(">BIId")
_FAIL = struct.Struct(">BII")
_TIMER = struct.Struct(">BIId")
_HEALTH_CHECK = struct.Struct(">BIIH")
_WATCH = struct.Struct(">BIB")
_TEXT = struct.Struct(">BIH")

_OUTCOMES = {int(outcome): outcome for outcome in Outcome}
_NODE_STATES = {int(state): state for state in NodeState}
_LIST_KINDS = {int(kind): kind for kind in EndpointListKind}


class WireError(StonecoveError):
    """A batch cannot be read."""


class DecodedEvent(NamedTuple):
    """An event for one instance, and the offset of the next record."""

    instance: int
    event: Event
    end: int


def _node_id(address: int, port: int) -> NodeId:
    return address << _PORT_BITS | port


def _read_floats(body: bytes, offset: int, count: int) -> tuple[tuple[float, ...], int]:
    """Return `count` numbers, and the offset after them."""
    return struct.unpack_from(f">{count}f", body, offset), offset + 4 * count


def _read_request(body: bytes, offset: int) -> DecodedEvent:
    fields = _REQUEST.unpack_from(body, offset)
    instance, request_id, class_index, _, object_key, timeout_ms, size_kb, group, chunk_index, _ = fields
    event = RequestReceived(
        request_id, class_index, object_key, timeout_ms, size_kb, int(group), int(chunk_index)
    )
    return DecodedEvent(instance, event, offset + _REQUEST.size)


def _read_attempt_ended(body: bytes, offset: int) -> DecodedEvent:
    fields = _ATTEMPT_ENDED.unpack_from(body, offset)
    (
        instance,
        request_id,
        attempt_index,
        address,
        port,
        code,
        duration_ms,
        answered,
        status,
        wait_ms,
        count,
    ) = fields
    load_report, end = _read_floats(body, offset + _ATTEMPT_ENDED.size, count)
    event = AttemptEnded(
        request_id,
        attempt_index,
        _node_id(address, port),
        _OUTCOMES.get(code, Outcome.UNKNOWN),
        duration_ms,
        bool(answered),
        status,
        wait_ms,
        load_report,
    )
    return DecodedEvent(instance, event, end)


def _read_timer_expired(body: bytes, offset: int) -> DecodedEvent:
    instance, token = _INSTANCE_AND_ID.unpack_from(body, offset)
    return DecodedEvent(instance, TimerExpired(token), offset + _INSTANCE_AND_ID.size)


def _read_response_started(body: bytes, offset: int) -> DecodedEvent:
    instance, request_id, attempt_index, address, port, _ = _RESPONSE_STARTED.unpack_from(body, offset)
    event = ResponseStarted(request_id, attempt_index, _node_id(address, port))
    return DecodedEvent(instance, event, offset + _RESPONSE_STARTED.size)


def _read_health_check_ended(body: bytes, offset: int) -> DecodedEvent:
    instance, duration_ms, code, address, port, count = _HEALTH_CHECK_ENDED.unpack_from(body, offset)
    load_report, end = _read_floats(body, offset + _HEALTH_CHECK_ENDED.size, count)
    event = HealthCheckEnded(_node_id(address, port), code == Outcome.OK, duration_ms, load_report)
    return DecodedEvent(instance, event, end)


def _read_purge(body: bytes, offset: int) -> DecodedEvent:
    instance, age_ms, group, object_key = _PURGE.unpack_from(body, offset)
    return DecodedEvent(instance, PurgeReceived(age_ms, group, object_key), offset + _PURGE.size)


def _read_client_disconnected(body: bytes, offset: int) -> DecodedEvent:
    instance, request_id = _INSTANCE_AND_ID.unpack_from(body, offset)
    return DecodedEvent(instance, ClientDisconnected(request_id), offset + _INSTANCE_AND_ID.size)


def _read_endpoint_list(body: bytes, offset: int) -> DecodedEvent:
    instance, kind_code, _, count = _ENDPOINT_LIST.unpack_from(body, offset)
    offset += _ENDPOINT_LIST.size
    end = offset + count * _ENDPOINT.size
    nodes = []
    for kind, started_ms, state_code, cell, address, port, zone, weight in _ENDPOINT.iter_unpack(
        body[offset:end]
    ):
        state = _NODE_STATES.get(state_code, NodeState.DRAINING)
        nodes.append(Node(_node_id(address, port), kind, started_ms, state, cell, zone, weight))
    if len(nodes) != count:
        raise WireError("a list ends early")
    kind = _LIST_KINDS.get(kind_code, EndpointListKind.FAILED)
    return DecodedEvent(instance, EndpointListUpdate(kind, tuple(nodes)), end)


_READERS: dict[int, Callable[[bytes, int], DecodedEvent]] = {
    RecordCode.PURGE: _read_purge,
    RecordCode.TIMER_EXPIRED: _read_timer_expired,
    RecordCode.ENDPOINT_LIST: _read_endpoint_list,
    RecordCode.RESPONSE_STARTED: _read_response_started,
    RecordCode.ATTEMPT_ENDED: _read_attempt_ended,
    RecordCode.REQUEST: _read_request,
    RecordCode.HEALTH_CHECK_ENDED: _read_health_check_ended,
    RecordCode.CLIENT_DISCONNECTED: _read_client_disconnected,
}


def _write_send(instance: int, action: SendAttempt) -> bytes:
    return _SEND.pack(
        ActionCode.SEND,
        instance,
        action.request_id,
        action.node_id >> _PORT_BITS,
        action.node_id & _PORT_MASK,
        action.deadline_ms,
        action.source_id >> _PORT_BITS,
        action.source_id & _PORT_MASK,
        action.cache_rank,
        action.max_age_ms,
        action.fetch_mode,
    )


def _write_cancel(instance: int, action: CancelAttempt) -> bytes:
    return _CANCEL.pack(ActionCode.CANCEL, instance, action.request_id, action.attempt_index)


def _write_reject(instance: int, action: RejectRequest) -> bytes:
    return _REJECT.pack(ActionCode.REJECT, instance, action.request_id, action.retry_after_ms)


def _write_fail(instance: int, action: FailRequest) -> bytes:
    return _FAIL.pack(ActionCode.FAIL, instance, action.request_id)


def _write_timer(instance: int, action: StartTimer) -> bytes:
    return _TIMER.pack(ActionCode.TIMER, instance, action.token, action.expires_at_ms)


def _write_health_check(instance: int, action: SendHealthCheck) -> bytes:
    address, port = action.node_id >> _PORT_BITS, action.node_id & _PORT_MASK
    return _HEALTH_CHECK.pack(ActionCode.HEALTH_CHECK, instance, address, port)


def _write_watch(instance: int, _action: WatchEndpointList) -> bytes:
    return _WATCH.pack(ActionCode.WATCH, instance, 1)


def _write_log(instance: int, action: WriteLog) -> bytes:
    return _write_text(ActionCode.LOG, instance, action.text)


def _write_text(code: ActionCode, instance: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, instance, len(data)) + data


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    SendAttempt: _write_send,
    CancelAttempt: _write_cancel,
    RejectRequest: _write_reject,
    FailRequest: _write_fail,
    StartTimer: _write_timer,
    SendHealthCheck: _write_health_check,
    WatchEndpointList: _write_watch,
    WriteLog: _write_log,
}


def _write_action(instance: int, action: Action) -> bytes:
    return _WRITERS[type(action)](instance, action)


class SimulatorAdapter:
    """Host one director for each simulated router."""

    def __init__(self) -> None:
        self.directors: dict[int, Director] = {}

    def handle_batch(self, now_ms: float, count: int, body: bytes) -> bytes:
        """Return the reply to a batch of `count` records; raise WireError if it cannot be read.

        An error in a decision ends the batch and is reported in the reply.
        """
        out: list[bytes] = []
        offset = 0
        for _ in range(count):
            start = offset
            try:
                offset = self._handle_record(now_ms, body, offset, out)
            except (struct.error, IndexError) as error:
                if start >= len(body) or "unpack" in str(error):
                    raise WireError(f"a record is cut short: {error}") from error
                out.append(self._error_report(body, start))
                break
            except WireError:
                raise
            except Exception:
                out.append(self._error_report(body, start))
                break
        else:
            if offset != len(body):
                raise WireError("bytes are left over after the last record")
        data = b"".join(out)
        return _REPLY_HEADER.pack(len(out), _REPLY_HEADER.size + len(data)) + data

    def _handle_record(self, now_ms: float, body: bytes, offset: int, out: list[bytes]) -> int:
        """Pass one record to its director; return the offset of the next."""
        code, offset = body[offset], offset + 1
        if code == RecordCode.LAUNCH:
            return self._launch(body, offset)
        if code == RecordCode.STOP:
            self.directors.pop(_INSTANCE.unpack_from(body, offset)[0], None)
            return offset + _INSTANCE.size
        if code == RecordCode.PEER_MESSAGE:
            _, _, count = _PEER_MESSAGE.unpack_from(body, offset)
            return int(offset + _PEER_MESSAGE.size + count)
        reader = _READERS.get(code)
        if reader is None:
            raise WireError(f"unknown event code {code}")
        decoded = reader(body, offset)
        director = self.directors.get(decoded.instance)
        if director is not None:
            actions = director.handle(now_ms, decoded.event)
            out.extend(_write_action(decoded.instance, action) for action in actions)
        return decoded.end

    def _launch(self, body: bytes, offset: int) -> int:
        """Start an instance, replacing one of the same number; return the offset of the next record."""
        instance, entropy, count = _LAUNCH.unpack_from(body, offset)
        offset += _LAUNCH.size
        if offset + count > len(body):
            raise WireError("settings end early")
        self.directors[instance] = Director(read_settings(body[offset : offset + count]), entropy)
        return int(offset + count)

    @staticmethod
    def _error_report(body: bytes, start: int) -> bytes:
        instance = _INSTANCE.unpack_from(body, start + 1)[0]
        text = "\n".join(traceback.format_exc().splitlines()[-TRACEBACK_LINES:])
        return _write_text(ActionCode.ADAPTER_ERROR, instance, text)


def _read(stream: BinaryIO, count: int) -> bytes:
    """Return `count` bytes, or fewer at the end of the input."""
    data = b""
    while len(data) < count:
        more = stream.read(count - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raise WireError for malformed input."""
    adapter = SimulatorAdapter()
    while header := _read(source, _BATCH_HEADER.size):
        if len(header) < _BATCH_HEADER.size:
            raise WireError("the input ends within a header")
        now_ms, length, count = _BATCH_HEADER.unpack(header)
        body = _read(source, length - _BATCH_HEADER.size) if length >= _BATCH_HEADER.size else b""
        if len(body) != length - _BATCH_HEADER.size:
            raise WireError("the input ends within a batch, or its length is wrong")
        sink.write(adapter.handle_batch(now_ms, count, body))
        sink.flush()


def main() -> int:
    """Run the adapter; return its exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"stonecove: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

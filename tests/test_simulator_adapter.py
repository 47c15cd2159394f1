"""The simulator adapter, with records built by hand from the wire format."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from stonecove import simulator_adapter
from stonecove.routing.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendHealthCheck,
    StartTimer,
    WatchEndpointList,
    WriteLog,
)
from stonecove.settings import read_settings
from stonecove.simulator_adapter import SimulatorAdapter, WireError, serve

SETTINGS = {
    "zone": 0,
    "classes": [{"deadline": 3000.0, "on_time": 500.0, "unknown_key": 1}],
    "unknown_table": {"a": 1},
    "domain": {"shield_kind": 1, "store_kind": 2, "zone_link_kb_per_s": [9000.0], "client_kb_per_s": 900.0},
    "rules": {"warm_up": 9000.0},
    "limits": {"most_tries": 3, "cancel": True, "second_copies": True},
}


def launch_record(instance: int) -> bytes:
    """Return a record that launches an instance."""
    text = json.dumps(SETTINGS).encode()
    return struct.pack(">BIQI", 70, instance, 5, len(text)) + text


def endpoint_list_record(instance: int) -> bytes:
    """Return a cached snapshot of the endpoint list: one cache, one parent and one origin."""
    nodes = [(0, 0xA000001), (1, 0xA000002), (2, 0xA000003)]
    entries = b"".join(
        struct.pack(">BdBHIHHf", kind, 0.0, 2, 0, address, 80, 0, 1.0) for kind, address in nodes
    )
    return struct.pack(">BIBII", 30, instance, 2, 1, 3) + entries


def request_record(instance: int, request_id: int, timeout_ms: float = 3000.0) -> bytes:
    """Return the record of a client request."""
    return struct.pack(">BIIHHQdfffH", 80, instance, request_id, 0, 0, 99, timeout_ms, 50.0, 4.0, 0.0, 0)


def attempt_ended_record(
    instance: int, request_id: int, code: int = 0, load: tuple[float, ...] = (1.0, 0.5)
) -> bytes:
    """Return the record of an ended attempt."""
    return struct.pack(
        ">BIIBIHBdBIdB", 60, instance, request_id, 0, 0xA000001, 80, code, 12.0, code == 0, 1, 0.0, len(load)
    ) + struct.pack(f">{len(load)}f", *load)


OTHER_EVENT_RECORDS = [
    struct.pack(">BIdHQ", 10, 3, 20.0, 4, 0),
    struct.pack(">BII", 20, 3, 8),
    struct.pack(">BIIBIHd", 40, 3, 8, 0, 0xA000001, 80, 1.0),
    struct.pack(">BIdBIHB", 100, 3, 1.0, 0, 0xA000001, 80, 1) + struct.pack(">f", 0.25),
    struct.pack(">BIHH", 90, 3, 1, 2) + b"hi",
    struct.pack(">BII", 110, 3, 8),
]


def batch(*records: bytes, now_ms: float = 1000.0) -> bytes:
    """Return a batch of records."""
    body = b"".join(records)
    return struct.pack(">dII", now_ms, 16 + len(body), len(records)) + body


def replies_to(*batches: bytes) -> list[tuple[int, bytes]]:
    """Serve the batches; return the number of actions and the body of each reply."""
    sink = io.BytesIO()
    serve(io.BytesIO(b"".join(batches)), sink)
    data, replies = sink.getvalue(), []
    while data:
        count, length = struct.unpack_from(">II", data)
        replies.append((count, data[8:length]))
        data = data[length:]
    return replies


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert replies_to(batch()) == [(0, b"")]


def test_a_request_leads_to_an_attempt_and_a_timer() -> None:
    replies = replies_to(
        batch(), batch(launch_record(3), endpoint_list_record(3)), batch(request_record(3, 8))
    )
    assert [count for count, _ in replies] == [0, 0, 2]
    sent = struct.unpack_from(">BIIIHdIHBdB", replies[2][1])
    assert sent == (80, 3, 8, 0xA000001, 80, 4000.0, 0xA000002, 80, 1, 0.0, 0)
    assert struct.unpack_from(">BII", replies[2][1], 39) == (110, 3, 8)


def test_every_kind_of_event_record_is_decoded() -> None:
    for record in OTHER_EVENT_RECORDS:
        assert (
            replies_to(batch(launch_record(3), endpoint_list_record(3), record, request_record(3, 9)))[0][0]
            == 2
        )
    assert replies_to(
        batch(launch_record(3), endpoint_list_record(3), request_record(3, 8)),
        batch(attempt_ended_record(3, 8)),
    )[1] == (
        0,
        b"",
    )


def test_instances_are_independent_and_restart_without_state() -> None:
    stop_record = struct.pack(">BI", 50, 3)
    first_batch = batch(
        launch_record(3), stop_record, launch_record(3), endpoint_list_record(3), launch_record(4)
    )
    replies = replies_to(first_batch, batch(request_record(3, 1), request_record(4, 1)))
    assert replies[1][0] == 3
    assert struct.unpack_from(">BII", replies[1][1], 56) == (60, 4, 1)


def test_actions_are_encoded() -> None:
    adapter = SimulatorAdapter()
    adapter.handle_batch(0.0, 2, launch_record(3) + endpoint_list_record(3))
    expected = [
        (CancelAttempt(1, 2), (30, 3, 1, 2), ">BIIB"),
        (FailRequest(1), (40, 3, 1), ">BII"),
        (RejectRequest(1, 5.0), (60, 3, 1, 5.0), ">BIId"),
        (SendHealthCheck(0xA0000010050), (20, 3, 0xA000001, 80), ">BIIH"),
        (WatchEndpointList(), (70, 3, 1), ">BIB"),
        (StartTimer(4, 9.0), (110, 3, 4, 9.0), ">BIId"),
        (WriteLog("hi"), (50, 3, 2, b"hi"), ">BIH2s"),
    ]
    for action, fields, record_format in expected:
        assert struct.unpack(record_format, simulator_adapter._WRITERS[type(action)](3, action)) == fields


def test_an_exception_is_reported_in_the_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    adapter = SimulatorAdapter()
    adapter.handle_batch(0.0, 2, launch_record(3) + endpoint_list_record(3))

    def raise_key_error(now_ms: float, event: object) -> list[object]:
        raise KeyError("handler failed")

    monkeypatch.setattr(adapter.directors[3], "handle", raise_key_error)
    reply = adapter.handle_batch(1.0, 1, request_record(3, 8))
    assert reply[8] == 100 and b"handler failed" in reply
    invalid = json.dumps({"classes": []}).encode()
    reply = adapter.handle_batch(2.0, 1, struct.pack(">BIQI", 70, 5, 1, len(invalid)) + invalid)
    assert reply[8] == 100 and b"zone" in reply


@pytest.mark.parametrize(
    "data",
    [
        b"abc",
        batch(launch_record(3))[:-4],
        batch(b"\xff\x00\x00\x00\x01"),
        batch(request_record(3, 8)[:-3]),
        batch(request_record(3, 8))[:-50] + b"\0" * 50,
        struct.pack(">dII", 0.0, 3, 0),
        struct.pack(">dII", 0.0, 18, 0) + b"xx",
    ],
)
def test_malformed_batches_are_rejected(data: bytes) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "stonecove.simulator_adapter"], input=data, capture_output=True
    )
    if completed.returncode == 0:
        pytest.fail("the malformed batch was accepted")
    assert b"malformed input" in completed.stderr and b"Traceback" not in completed.stderr


def test_a_truncated_record_in_a_valid_batch_is_a_wire_error() -> None:
    with pytest.raises(WireError):
        SimulatorAdapter().handle_batch(0.0, 1, request_record(3, 8)[:-3])


def test_errors_about_settings_name_the_missing_key() -> None:
    for missing_key, settings in (
        ("classes", {"zone": 1}),
        ("zone", {"classes": []}),
        ("deadline", {"zone": 1, "classes": [{}]}),
    ):
        with pytest.raises(ValueError, match=missing_key):
            read_settings(json.dumps(settings))

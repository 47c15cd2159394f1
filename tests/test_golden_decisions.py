"""Compare the routing decisions and the simulator protocol with their recordings."""

from __future__ import annotations

import contextlib
import io
import json
import struct
import sys
from collections import Counter
from functools import cache
from types import SimpleNamespace
from typing import Any
from unittest import mock

import pytest
from golden_decisions_cases import SCENARIOS, Recording, Simulation, router_settings, summary_of
from golden_decisions_storage import FOLDER, difference_from, read_json, write_json
from golden_decisions_types import CACHE_STATUSES, CACHED, DESCRIBERS, EVENT_FACTORIES, OUTCOMES, Step

from stonecove import simulator_adapter

SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@cache
def run_scenario(name: str) -> Recording:
    """Return the recording of a scenario, which runs once per process."""
    return Simulation(SCENARIOS_BY_NAME[name]).run()


# -- the director --


@pytest.mark.parametrize("name", SCENARIOS_BY_NAME)
def test_director_answers_as_recorded(name: str) -> None:
    assert not difference_from(f"director-{name}.json", summary_of(run_scenario(name)))


def test_recordings_cover_every_event_action_outcome_and_cache_status() -> None:
    events, actions, outcomes, cache_statuses = (Counter[str]() for _ in range(4))
    for name in SCENARIOS_BY_NAME:
        stored = read_json(f"director-{name}.json")
        events.update(stored["event_kinds"])
        actions.update(stored["action_kinds"])
        outcomes.update(stored["outcomes"])
        cache_statuses.update(stored["notes"])
    assert set(events) == set(EVENT_FACTORIES)
    assert set(actions) == {
        "send", "cancel", "reject", "fail", "timer", "watch", "log", "request-lease", "return-lease"
    }  # fmt: skip
    assert len(actions) == len(DESCRIBERS)
    assert set(outcomes) == {str(code) for code in OUTCOMES}
    assert set(cache_statuses) == {str(code) for code in CACHE_STATUSES}


# -- the wire: records of events, in the published layout --

LAUNCH, STOP, PEER_MESSAGE = 70, 50, 90
NOT_ON_THE_WIRE = ("fleet-size", "settings-change", "lease-terms", "lease")
LOG_CODE = 50
ACTION_BYTES = {30: 10, 40: 9, LOG_CODE: 7, 60: 17, 70: 6, 80: 39, 110: 17}  # without the text of a log line
INSTANCES = {3: "ordinary", 4: "overloaded-origin", 5: "no-parents"}
EVENTS_PER_INSTANCE = 450
RESTART_AFTER_BATCHES = 300  # then one instance is stopped and launched again


def _address(node: int) -> tuple[int, int]:
    return node >> 16, node & 65535


def _floats(values: tuple[float, ...]) -> bytes:
    return struct.pack(f">{len(values)}f", *values)


def launch_record(instance: int, settings: dict[str, Any]) -> bytes:
    """Return the record that launches an instance."""
    text = json.dumps(settings).encode()
    return struct.pack(">BIQI", LAUNCH, instance, 40 + instance, len(text)) + text


def event_record(instance: int, step: Step) -> bytes:
    """Return the record of an event; raise KeyError if the protocol has no record for it."""
    kind, values = step
    match kind:
        case "purge":
            age_ms, group, key = values
            return struct.pack(">BIdHQ", 10, instance, age_ms, group, key)
        case "timer-end":
            return struct.pack(">BII", 20, instance, values[0])
        case "list":
            list_kind, endpoints = values
            entries = [
                struct.pack(
                    ">BdBHIHHf", endpoint.kind, endpoint.started_ms, endpoint.state, endpoint.cell,
                    *_address(endpoint.node), endpoint.zone, endpoint.weight,
                )
                for endpoint in endpoints
            ]  # fmt: skip
            return struct.pack(">BIBII", 30, instance, list_kind, 9, len(entries)) + b"".join(entries)
        case "response-start":
            request, attempt, node = values
            return struct.pack(">BIIBIHd", 40, instance, request, attempt, *_address(node), 1.5)
        case "attempt-end":
            request, attempt, node, outcome, duration_ms, final, cache_status, fill_wait_ms, load = values
            return struct.pack(
                ">BIIBIHBdBIdB", 60, instance, request, attempt, *_address(node), outcome, duration_ms, final,
                cache_status, fill_wait_ms, len(load),
            ) + _floats(load)  # fmt: skip
        case "request":
            request, class_index, key, timeout_ms, size_kb, group, chunk = values
            return struct.pack(
                ">BIIHHQdfffH",
                80,
                instance,
                request,
                class_index,
                0,
                key,
                timeout_ms,
                size_kb,
                group,
                chunk,
                0,
            )
        case "probe-end":
            node, succeeded, duration_ms, load = values
            return struct.pack(
                ">BIdBIHB", 100, instance, duration_ms, 0 if succeeded else 13, *_address(node), len(load)
            ) + _floats(load)
        case "disconnect":
            return struct.pack(">BII", 110, instance, values[0])
    raise KeyError(kind)


def batch(now: float, *records: bytes) -> bytes:
    """Return a batch of records."""
    body = b"".join(records)
    return struct.pack(">dII", now, 16 + len(body), len(records)) + body


def _unusual_records(instance: int) -> list[bytes]:
    """Return records that the scenarios do not produce: unknown codes and instances, a probe."""
    entry = struct.pack(">BdBHIHHf", 0, 0.0, 9, 0, *_address(0xA01), 1, 20.0)
    unknown_outcome = ("attempt-end", (1, 0, 0xA01, 77, 5.0, False, 99, 0.0, ()))
    return [
        struct.pack(">BIBII", 30, instance, 7, 9, 1) + entry,
        struct.pack(">BIBII", 30, instance, 0, 9, 1) + entry,
        event_record(instance, unknown_outcome),
        event_record(instance, ("probe-end", (0xA01, True, 3.0, (0.25, 4.0)))),
        struct.pack(">BIHH", PEER_MESSAGE, instance, 1, 2) + b"hi",
        event_record(99, ("timer-end", (1,))),
        event_record(99, ("disconnect", (1,))),
    ]


def stream_batches() -> list[tuple[float, list[bytes]]]:
    """Return timed batches with the events of three instances, each from its scenario."""
    timed_records = []
    for instance, name in INSTANCES.items():
        recording = run_scenario(name)
        steps = list(zip(recording.times, recording.events, strict=True))[:EVENTS_PER_INSTANCE]
        timed_records += [
            (now, event_record(instance, step)) for now, step in steps if step[0] not in NOT_ON_THE_WIRE
        ]
    timed_records.sort(key=lambda entry: entry[0])
    launches = [
        launch_record(instance, SCENARIOS_BY_NAME[name].settings[0]) for instance, name in INSTANCES.items()
    ]
    batches = [(0.0, list[bytes]()), (99_000.0, launches)]
    position = 0
    while position < len(timed_records):
        chunk = timed_records[position : position + 1 + position % 7 % 3]
        batches.append((chunk[-1][0], [record for _, record in chunk]))
        position += len(chunk)
        if len(batches) == RESTART_AFTER_BATCHES:
            endpoints = tuple(SCENARIOS_BY_NAME[INSTANCES[4]].endpoints)
            restart_records = [
                struct.pack(">BI", STOP, 4),
                launches[1],
                event_record(4, ("list", (CACHED, endpoints))),
            ]
            batches.append((chunk[-1][0], restart_records + _unusual_records(3)))
    return batches


def make_stream() -> bytes:
    """Return the batches as bytes."""
    return b"".join(batch(now, *records) for now, records in stream_batches())


def adapter_output(data: bytes) -> bytes:
    """Return the output of the adapter for a stream."""
    output = io.BytesIO()
    simulator_adapter.serve(io.BytesIO(data), output)
    return output.getvalue()


def replies_of(data: bytes) -> list[bytes]:
    """Return the single replies, each with its header."""
    replies = []
    while data:
        length = struct.unpack_from(">II", data)[1]
        replies.append(data[:length])
        data = data[length:]
    return replies


def action_codes(reply: bytes) -> list[int]:
    """Return the codes of the actions in a reply."""
    codes, offset = [], 8
    while offset < len(reply):
        codes.append(reply[offset])
        offset += ACTION_BYTES[reply[offset]]
        if codes[-1] == LOG_CODE:
            offset += int(struct.unpack_from(">H", reply, offset - 2)[0])
    assert len(codes) == struct.unpack_from(">I", reply)[0]
    return codes


def test_wire_output_equals_recorded_bytes() -> None:
    recorded = (FOLDER / "wire-output.bin").read_bytes()
    output = adapter_output((FOLDER / "wire-input.bin").read_bytes())
    if output != recorded:
        pairs = enumerate(zip(replies_of(recorded), replies_of(output), strict=False))
        number = next((number for number, (recorded_reply, reply) in pairs if recorded_reply != reply), -1)
        pytest.fail(f"the reply to batch {number} differs from the recorded one")
    assert {code for reply in replies_of(recorded) for code in action_codes(reply)} == {
        30,
        40,
        50,
        60,
        80,
        110,
    }


def test_wire_input_covers_every_record_code() -> None:
    assert (FOLDER / "wire-input.bin").read_bytes() == make_stream()
    codes = {record[0] for _, records in stream_batches() for record in records}
    assert codes == {10, 20, 30, 40, STOP, 60, LAUNCH, 80, PEER_MESSAGE, 100, 110}


# -- the wire: malformed input --


def _request_record() -> bytes:
    return event_record(3, ("request", (8, 0, 99, 3000.0, 50.0, 4, 0)))


def malformed_streams() -> dict[str, bytes]:
    """Return malformed streams by the name of their fault."""
    launch = launch_record(3, router_settings())
    request = _request_record()
    return {
        "header-cut-short": b"abc",
        "batch-cut-short": batch(1.0, launch)[:-4],
        "length-too-large": struct.pack(">dII", 0.0, 18, 0) + b"x",
        "length-below-header": struct.pack(">dII", 0.0, 3, 0),
        "unknown-code": batch(1.0, b"\xff\x00\x00\x00\x01"),
        "record-cut-short": batch(1.0, request[:-3]),
        "fewer-records-than-told": struct.pack(">dII", 0.0, 16 + len(request), 2) + request,
        "more-bytes-than-records": struct.pack(">dII", 0.0, 18, 0) + b"xx",
        "settings-cut-short": batch(1.0, launch[:-9]),
        "list-cut-short": batch(1.0, struct.pack(">BIBII", 30, 3, 2, 1, 3) + b"\0" * 30),
        "list-cut-within-an-entry": batch(1.0, struct.pack(">BIBII", 30, 3, 2, 1, 1) + b"\0" * 23),
        "loads-cut-short": batch(1.0, struct.pack(">BIdBIHB", 100, 3, 1.0, 0, 0xA, 80, 4) + b"\0" * 8),
        "second-batch-broken": batch(1.0, launch) + batch(2.0, b"\x63"),
    }


def reported_streams() -> dict[str, bytes]:
    """Return streams whose first record leads to a reported error, by the name of their fault."""
    incomplete = router_settings()
    del incomplete["zone"]
    return {
        "settings-without-zone": batch(1.0, launch_record(5, incomplete)),
        "settings-without-classes": batch(1.0, launch_record(5, {"zone": 1, "classes": []})),
        "class-without-deadline": batch(1.0, launch_record(5, {"zone": 1, "classes": [{}]})),
        "deadline-of-zero": batch(1.0, launch_record(5, {"zone": 1, "classes": [{"deadline": 0.0}]})),
        "settings-not-json": batch(1.0, struct.pack(">BIQI", LAUNCH, 5, 1, 1) + b"{"),
    }


def broken_streams() -> dict[str, dict[str, str]]:
    """Return all streams that lead to an error, as hexadecimal text."""
    return {
        "malformed": {name: data.hex() for name, data in malformed_streams().items()},
        "reported": {name: data.hex() for name, data in reported_streams().items()},
    }


def run_main(data: bytes) -> dict[str, Any]:
    """Return exit code, output and error text of the adapter's program."""
    output, errors = io.BytesIO(), io.StringIO()
    with (
        mock.patch.object(sys, "stdin", SimpleNamespace(buffer=io.BytesIO(data))),
        mock.patch.object(sys, "stdout", SimpleNamespace(buffer=output)),
        contextlib.redirect_stderr(errors),
    ):
        code = simulator_adapter.main()
    return {"exit": code, "output": output.getvalue().hex(), "errors": errors.getvalue()}


def run_reporting_stream(data: bytes) -> dict[str, Any]:
    """Return the report of an error: code, instance and the message, without the traceback above it."""
    reply = adapter_output(data)
    count, _, code, instance, length = struct.unpack_from(">IIBIH", reply)
    last_line = reply[15:].decode().splitlines()[-1]
    return {
        "records": count,
        "code": code,
        "instance": instance,
        "whole": len(reply) == 15 + length,
        "message": last_line.partition(": ")[2],
    }


def stream_errors(streams: dict[str, dict[str, str]]) -> dict[str, dict[str, Any]]:
    """Return the results of streams given as hexadecimal text."""
    return {
        "malformed": {name: run_main(bytes.fromhex(data)) for name, data in streams["malformed"].items()},
        "reported": {
            name: run_reporting_stream(bytes.fromhex(data)) for name, data in streams["reported"].items()
        },
    }


def test_wire_rejects_malformed_input_as_recorded() -> None:
    stored = read_json("wire-errors.json")
    assert stored["streams"] == broken_streams()
    errors = stream_errors(stored["streams"])
    assert errors["malformed"] == stored["malformed"]
    assert errors["reported"] == stored["reported"]
    assert all(result["exit"] == 2 and result["errors"] for result in errors["malformed"].values())


# -- recording --


def record() -> None:
    """Rewrite all golden files of this module."""
    for name in SCENARIOS_BY_NAME:
        write_json(FOLDER / f"director-{name}.json", summary_of(run_scenario(name)))
    stream = make_stream()
    (FOLDER / "wire-input.bin").write_bytes(stream)
    (FOLDER / "wire-output.bin").write_bytes(adapter_output(stream))
    streams = broken_streams()
    write_json(FOLDER / "wire-errors.json", {"streams": streams, **stream_errors(streams)})


if __name__ == "__main__" and sys.argv[1:] == ["--record"]:
    record()

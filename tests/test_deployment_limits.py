"""Test the real program with other limits: streams per connection and connect time-out."""

from __future__ import annotations

from typing import Any

from process_harness import SETTINGS, ProcessHarness, resp_array

NON_IDEMPOTENT_PATH = "/svc/confirm"


def changed_limits(**changes: Any) -> dict[str, Any]:
    """Return the usual limits of the settings with these changes."""
    return {**SETTINGS["limits"], **changes}


def test_one_stream_per_connection_allows_as_many_requests_as_many_streams() -> None:
    harness = ProcessHarness(limits=changed_limits(streams_per_conn=1))
    try:
        clients = [harness.client() for _ in range(2)]
        for client in clients:
            for ident in range(1, 33):
                client.send(ident, X_ROW=f"{ident:016x}")
        fetches = [harness.next_command() for _ in range(64)]
        assert len({id(fetch.sock) for fetch in fetches}) == 64
        for fetch in fetches:
            fetch.reply()
        assert [client.read_answer().status for client in clients for _ in range(32)] == [200] * 64
    finally:
        harness.close()


def test_reply_may_stall_for_less_than_a_long_connect_timeout() -> None:
    harness = ProcessHarness(limits=changed_limits(connect_timeout=3000.0))
    try:
        client = harness.client()
        client.send(path=NON_IDEMPOTENT_PATH)
        fetch = harness.next_command()
        reply = resp_array(fetch.txn.encode(), b"200", b"tell=via_origin", b"whole")
        fetch.sock.sendall(reply[:-4])
        assert harness.next_command_within(1.0) is None
        fetch.sock.sendall(reply[-4:])
        assert client.read_answer().body == b"whole"
    finally:
        harness.close()

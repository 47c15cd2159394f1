"""The real program under limits of other deployments: streams per connection, connect time-out."""

from __future__ import annotations

from typing import Any

from stand import SETTINGS, Stand, resp

WRITE = "/svc/confirm"


def limits(**changes: Any) -> dict[str, Any]:
    """Return the usual limits of the settings with these changes."""
    return {**SETTINGS["limits"], **changes}


def test_one_stream_per_connection_allows_as_many_requests_as_many_streams() -> None:
    stand = Stand(limits=limits(streams_per_conn=1))
    try:
        clients = [stand.client() for _ in range(2)]
        for client in clients:
            for ident in range(1, 33):
                client.send(ident, X_ROW=f"{ident:016x}")
        fetches = [stand.command() for _ in range(64)]
        assert len({id(fetch.sock) for fetch in fetches}) == 64
        for fetch in fetches:
            fetch.reply()
        assert [client.answer().status for client in clients for _ in range(32)] == [200] * 64
    finally:
        stand.close()


def test_an_answer_may_stall_for_less_than_a_long_connect_timeout() -> None:
    stand = Stand(limits=limits(connect_timeout=3000.0))
    try:
        client = stand.client()
        client.send(path=WRITE)
        fetch = stand.command()
        answer = resp(fetch.txn.encode(), b"200", b"tell=via_origin", b"whole")
        fetch.sock.sendall(answer[:-4])
        assert stand.maybe_command(1.0) is None
        fetch.sock.sendall(answer[-4:])
        assert client.answer().body == b"whole"
    finally:
        stand.close()

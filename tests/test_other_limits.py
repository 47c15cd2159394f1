"""Limits, times and permissions that other deployments give: the real program keeps to them."""

from __future__ import annotations

from typing import Any

from stand import SETTINGS, Stand

WRITE = "/svc/confirm"


def limits(**changes: Any) -> dict[str, Any]:
    return {**SETTINGS["limits"], **changes}


def test_nothing_is_called_off_where_the_settings_forbid_it() -> None:
    """The cache was told how long we wait."""
    stand = Stand(limits=limits(cancel=False))
    try:
        client = stand.client()
        client.send(path=WRITE, X_TTL_MS="200")
        first = stand.command()
        assert client.answer().status == 502
        client.send(2, path=WRITE)
        assert (later := stand.commands.get(timeout=30)).word == "fetch" and later.txn != first.txn
        first.reply()  # late: nobody's answer
        later.reply(body=b"later")
        assert client.answer().body == b"later"
    finally:
        stand.close()

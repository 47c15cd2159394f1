"""Test the relays with injected faults of the testbed."""

from __future__ import annotations

import socket
from collections import Counter
from types import SimpleNamespace
from typing import Any

import trio

from stonecove.trial.streams import StreamRelays


def test_connection_that_is_reset_while_its_answer_is_delayed_and_lost_ends_the_relay_in_order() -> None:
    """Guards against a testbed that ends with an error as it waits for a socket which it has closed."""
    near, far = socket.socketpair()
    target, receiver = socket.socketpair()

    async def reset_during_delay(path: Any) -> None:
        near.close()

    async def run_scenario() -> None:
        relay: Any = SimpleNamespace(_wait_delay=reset_during_delay, counts=Counter())
        path: Any = SimpleNamespace(faults=SimpleNamespace(swallow=True))
        near.setblocking(False)
        far.sendall(b"answer")
        await StreamRelays._pump(relay, path, near, target, True)
        assert relay.counts["swallowed"] == len(b"answer")

    with near, far, target, receiver:
        trio.run(run_scenario)

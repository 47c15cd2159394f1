"""Clients that hold connections and send without end, in a process of their own."""

from __future__ import annotations

import contextlib
import pickle
import socket
import subprocess
import sys
import time
from typing import NamedTuple

MAX_RUN_S = 60.0  # after which the process ends by itself
SEND_BYTES = 65_536


class Flood(NamedTuple):
    """What a bad client sends: something once, then something else again and again."""

    first: bytes
    then: bytes
    interval_s: float


class BadClients:
    """A process with clients that send a flood, and connect again when they are disconnected."""

    def __init__(self, address: tuple[str, int], flood: Flood, count: int) -> None:
        self._process = subprocess.Popen([sys.executable, __file__], stdin=subprocess.PIPE)
        assert self._process.stdin is not None
        with self._process.stdin as stdin:
            pickle.dump((address, tuple(flood), count), stdin)

    def stop(self) -> None:
        """End the process, and with it all connections."""
        self._process.kill()
        self._process.wait()


class _Connection:
    """One client: what it has yet to send, and when it last began to send."""

    def __init__(self, address: tuple[str, int], first: bytes) -> None:
        self.sock = socket.create_connection(address, 0.5)
        self.sock.setblocking(False)
        self._unsent = memoryview(first)
        self._began_at = time.monotonic()

    def step(self, flood: Flood) -> bool:
        """Send and read what is possible; return False once the connection has ended."""
        if not self._unsent and time.monotonic() >= self._began_at + flood.interval_s:
            self._unsent, self._began_at = memoryview(flood.then), time.monotonic()
        try:
            with contextlib.suppress(BlockingIOError):
                if self._unsent:
                    self._unsent = self._unsent[self.sock.send(self._unsent[:SEND_BYTES]) :]
            return bool(self.sock.recv(SEND_BYTES))
        except BlockingIOError:
            return True
        except OSError:
            return False


def run_flood(address: tuple[str, int], flood: Flood, count: int) -> None:
    """Send the flood on `count` connections for MAX_RUN_S."""
    connections: list[_Connection] = []
    end = time.monotonic() + MAX_RUN_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            while len(connections) < count:
                connections.append(_Connection(address, flood.first))
        for connection in list(connections):
            if not connection.step(flood):
                connection.sock.close()
                connections.remove(connection)
        time.sleep(0.001)


if __name__ == "__main__":
    target, fields, connection_count = pickle.load(sys.stdin.buffer)
    run_flood(target, Flood(*fields), connection_count)

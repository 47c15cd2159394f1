"""Run the stand-in coordination service for tests, with caches that register ephemeral nodes there."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from kazoo.client import KazooClient
from stand import WAIT_TIMEOUT_S, Stand

BOXES = "/stonecove/boxes"
ROUTERS = "/stonecove/routers"


class CoordinationEnsemble:
    """A running ensemble with its control port."""

    def __init__(self, servers: int = 1, lag: float = 0.0) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "stonecove",
                "standin",
                "zookeeper",
                "--servers",
                str(servers),
                "--lag",
                str(lag),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.servers = [self.process.stdout.readline().split()[-1] for _ in range(servers)]
        host, _, port = self.process.stdout.readline().split()[-1].rpartition(":")
        self._sock = socket.create_connection((host, int(port)), WAIT_TIMEOUT_S)
        self._stream = self._sock.makefile("r")
        self.boxes: list[RegisteredCache] = []

    def do(self, command: str) -> list[str]:
        """Send a command to the control port; return the lines before `ok`."""
        self._sock.sendall(command.encode() + b"\n")
        lines = []
        while (line := self._stream.readline().strip()) != "ok":
            assert line and not line.startswith("error"), f"{command}: {line}"
            lines.append(line)
        return lines

    def trace(self, what: str = "") -> list[dict[str, Any]]:
        """Return the recorded events, of one kind if `what` names it."""
        return [entry for entry in map(json.loads, self.do("trace")) if not what or entry["what"] == what]

    def box(self, record: dict[str, Any], name: str = "") -> RegisteredCache:
        """Register a cache with its node."""
        self.boxes.append(RegisteredCache(self, record, name or record["id"]))
        return self.boxes[-1]

    def client(self) -> KazooClient:
        """Return an independent client (kazoo)."""
        client = KazooClient(hosts=",".join(self.servers), timeout=5.0)
        client.start(timeout=WAIT_TIMEOUT_S)
        return client

    def close(self) -> None:
        """Remove all registered caches, and stop the ensemble."""
        for box in self.boxes:
            box.leave()
        self._sock.close()
        self.process.terminate()
        self.process.wait(WAIT_TIMEOUT_S)


class RegisteredCache:
    """A cache's session, with its ephemeral node."""

    def __init__(self, ensemble: CoordinationEnsemble, record: dict[str, Any], name: str) -> None:
        self.record, self.path = record, f"{BOXES}/{name}"
        self.client = ensemble.client()
        self.client.create(self.path, json.dumps(record).encode(), ephemeral=True, makepath=True)
        self.session = f"{self.client.client_id[0]:#x}"

    def say(self, **changes: Any) -> float:
        """Change the record; return the time before it was sent, in Unix milliseconds."""
        self.record = {**self.record, **changes}
        sent_after_ms = time.time() * 1000
        self.client.set(self.path, json.dumps(self.record).encode())
        return sent_after_ms

    def leave(self) -> None:
        """Close the session explicitly."""
        if self.client is not None:
            self.client.stop()
            self.client.close()
            self.client = None


def record(ident: int, port: int, **changes: Any) -> dict[str, Any]:
    """Return the record of a cache of the test stand."""
    return {
        "id": f"s-{ident:08x}",
        "address": f"127.0.0.1:{port}",
        "zone": "edge-1",
        "kind": "box",
        "cell": 0,
        "weight": 9000.0,
        "started": 0,
        "state": "up",
        **changes,
    }


def operator_text(
    ensemble: CoordinationEnsemble, socket_path: Path | None, more: str = "", zookeeper: str = ""
) -> str:
    """Return an operator file for the test stand."""
    servers = ", ".join(f'"{server}"' for server in ensemble.servers)
    return f"""
sources: zookeeper: {{
    servers: [{servers}]
    path: "{BOXES}"
    {"" if "session_timeout" in zookeeper else "session_timeout: 2s"}
    back_off: {{first: 20ms, longest: 200ms}}
    {zookeeper}
}}
{f'members: socket: "{socket_path}"' if socket_path is not None else ""}
{more}
"""


def parents(stand: Stand) -> list[dict[str, Any]]:
    """Return the records of the stand's parent and origin, on whose ports nothing listens."""
    return [record(0x20, 1, zone="hub", kind="parent"), record(0x30, 2, zone="hub", kind="origin")]


class CoordinatedRouter:
    """A test stand whose router uses an ensemble, with queries by `stonecove members`."""

    def __init__(
        self, ensemble: CoordinationEnsemble, folder: Path, more: str = "", zookeeper: str = "", **stand: Any
    ) -> None:
        self.ensemble, self.socket = ensemble, folder / "members.sock"
        self.operator = folder / "operator.cue"
        self.operator.write_text(operator_text(ensemble, self.socket, more, zookeeper))
        self.stand = Stand(env={"STONECOVE_OPERATOR": str(self.operator)}, **stand)

    def ask(self, *words: str) -> Any:
        """Return the JSON output of `stonecove members`."""
        completed = subprocess.run(
            [sys.executable, "-m", "stonecove", "members", "--socket", str(self.socket), "--json", *words],
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT_S,
            check=False,
            env=dict(os.environ),
        )
        return (
            json.loads(completed.stdout)
            if completed.stdout
            else {"exit": completed.returncode, "why": completed.stderr}
        )

    def question(self, *words: str) -> Any:
        """Return the answer to the same query, sent directly to the members socket."""
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(WAIT_TIMEOUT_S)
            sock.connect(str(self.socket))
            sock.sendall(" ".join(words).encode() + b"\n")
            return json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))

    def state(self, ident: int) -> str:
        """Return the state that a node has for the router."""
        answer = self.question("explain", f"s-{ident:08x}")
        return str(answer["node"]["state"]) if "node" in answer else "unknown"

    def wait_state(self, ident: int, *states: str) -> None:
        """Wait until a node has one of the states."""
        Stand.wait(lambda: self.state(ident) in states, f"s-{ident:08x} is {' or '.join(states)}")

    def wait_line(self, event: str, count: int = 1) -> list[str]:
        """Wait until the log has that many lines of an event, and return them."""
        Stand.wait(lambda: len(self.stand.lines(event)) >= count, f"{count} lines {event}")
        return self.stand.lines(event)

    def close(self) -> None:
        """Stop the router."""
        self.stand.close()

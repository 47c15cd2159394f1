"""Runs a stand-in ZooKeeper ensemble and routers that use it, for tests over sockets."""

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
from process_harness import WAIT_TIMEOUT_S, ProcessHarness

CACHES_PATH = "/stonecove/boxes"
ROUTERS_PATH = "/stonecove/routers"


class CoordinationEnsemble:
    """A stand-in ensemble that runs as a process, with its control port and the caches registered there."""

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
        self.registered: list[RegisteredCache] = []

    def run_command(self, command: str) -> list[str]:
        """Send a command to the control port; return the lines of its output, without the final `ok`."""
        self._sock.sendall(command.encode() + b"\n")
        lines = []
        while (line := self._stream.readline().strip()) != "ok":
            assert line and not line.startswith("error"), f"{command}: {line}"
            lines.append(line)
        return lines

    def trace(self, kind: str = "") -> list[dict[str, Any]]:
        """Return the events that the ensemble has recorded; only those of a kind if one is given."""
        return [
            entry for entry in map(json.loads, self.run_command("trace")) if not kind or entry["what"] == kind
        ]

    def register_cache(self, record: dict[str, Any], name: str = "") -> RegisteredCache:
        """Register a cache by an ephemeral node, whose name is the id in its record unless one is given."""
        self.registered.append(RegisteredCache(self, record, name or record["id"]))
        return self.registered[-1]

    def client(self) -> KazooClient:
        """Return a connected kazoo client, an implementation independent of the router's."""
        client = KazooClient(hosts=",".join(self.servers), timeout=5.0)
        client.start(timeout=WAIT_TIMEOUT_S)
        return client

    def close(self) -> None:
        """Close the sessions of all registered caches, and stop the ensemble."""
        for cache in self.registered:
            cache.close()
        self._sock.close()
        self.process.terminate()
        self.process.wait(WAIT_TIMEOUT_S)


class RegisteredCache:
    """The session of a cache with the ensemble, and its ephemeral node."""

    def __init__(self, ensemble: CoordinationEnsemble, record: dict[str, Any], name: str) -> None:
        self.record, self.path = record, f"{CACHES_PATH}/{name}"
        self.client = ensemble.client()
        self.client.create(self.path, json.dumps(record).encode(), ephemeral=True, makepath=True)
        self.session = f"{self.client.client_id[0]:#x}"

    def update_record(self, **changes: Any) -> float:
        """Change the record in the node; return the Unix time in ms just before the change was sent."""
        self.record = {**self.record, **changes}
        sent_after_ms = time.time() * 1000
        self.client.set(self.path, json.dumps(self.record).encode())
        return sent_after_ms

    def close(self) -> None:
        """Close the session, which removes the node."""
        if self.client is not None:
            self.client.stop()
            self.client.close()
            self.client = None


def node_record(ident: int, port: int, **changes: Any) -> dict[str, Any]:
    """Return the record that a cache of the process harness registers, with these changes."""
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
    """Return the text of an operator file with the ensemble as a source of endpoints."""
    servers = ", ".join(f'"{server}"' for server in ensemble.servers)
    return f"""
sources: zookeeper: {{
    servers: [{servers}]
    path: "{CACHES_PATH}"
    {"" if "session_timeout" in zookeeper else "session_timeout: 2s"}
    back_off: {{first: 20ms, longest: 200ms}}
    {zookeeper}
}}
{f'members: socket: "{socket_path}"' if socket_path is not None else ""}
{more}
"""


def parent_records(harness: ProcessHarness) -> list[dict[str, Any]]:
    """Return the records of the harness's parent and origin, on whose ports nothing listens."""
    return [node_record(0x20, 1, zone="hub", kind="parent"), node_record(0x30, 2, zone="hub", kind="origin")]


class CoordinatedRouter:
    """A process harness whose router follows an ensemble, and queries of its members socket."""

    def __init__(
        self,
        ensemble: CoordinationEnsemble,
        folder: Path,
        more: str = "",
        zookeeper: str = "",
        **harness: Any,
    ) -> None:
        self.ensemble, self.socket = ensemble, folder / "members.sock"
        self.operator = folder / "operator.cue"
        self.operator.write_text(operator_text(ensemble, self.socket, more, zookeeper))
        self.harness = ProcessHarness(env={"STONECOVE_OPERATOR": str(self.operator)}, **harness)

    def query_command(self, *words: str) -> Any:
        """Return the JSON output of `stonecove members`, or its exit code and error text without any."""
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

    def query(self, *words: str) -> Any:
        """Return the answer to a query that is sent directly to the members socket."""
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(WAIT_TIMEOUT_S)
            sock.connect(str(self.socket))
            sock.sendall(" ".join(words).encode() + b"\n")
            return json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))

    def state(self, ident: int) -> str:
        """Return the state of a node as the router sees it, or "unknown"."""
        answer = self.query("explain", f"s-{ident:08x}")
        return str(answer["node"]["state"]) if "node" in answer else "unknown"

    def wait_for_state(self, ident: int, *states: str) -> None:
        """Wait until a node has one of the states."""
        ProcessHarness.wait_until(
            lambda: self.state(ident) in states, f"s-{ident:08x} is {' or '.join(states)}"
        )

    def wait_for_lines(self, event: str, count: int = 1) -> list[str]:
        """Wait until the router's log has at least `count` lines of an event, and return them."""
        ProcessHarness.wait_until(
            lambda: len(self.harness.log_lines(event)) >= count, f"{count} log lines of {event}"
        )
        return self.harness.log_lines(event)

    def close(self) -> None:
        """Stop the router."""
        self.harness.close()

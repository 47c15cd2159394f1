"""Starts the stand-in coordination server, and plays boxes that keep their ephemeral nodes there."""

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
from stand import PATIENCE, Stand

BOXES = "/stonecove/boxes"
ROUTERS = "/stonecove/routers"


class Keeper:
    """A running ensemble, and its control port."""

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
        self._sock = socket.create_connection((host, int(port)), PATIENCE)
        self._stream = self._sock.makefile("r")
        self.boxes: list[Box] = []

    def do(self, command: str) -> list[str]:
        """A command of the control port; the lines before `ok`."""
        self._sock.sendall(command.encode() + b"\n")
        lines = []
        while (line := self._stream.readline().strip()) != "ok":
            assert line and not line.startswith("error"), f"{command}: {line}"
            lines.append(line)
        return lines

    def trace(self, what: str = "") -> list[dict[str, Any]]:
        """All that has happened there."""
        return [entry for entry in map(json.loads, self.do("trace")) if not what or entry["what"] == what]

    def box(self, record: dict[str, Any], name: str = "") -> Box:
        """A box with its node."""
        self.boxes.append(Box(self, record, name or record["id"]))
        return self.boxes[-1]

    def client(self) -> KazooClient:
        """A client that is none of ours."""
        client = KazooClient(hosts=",".join(self.servers), timeout=5.0)
        client.start(timeout=PATIENCE)
        return client

    def close(self) -> None:
        for box in self.boxes:
            box.leave()
        self._sock.close()
        self.process.terminate()
        self.process.wait(PATIENCE)


class Box:
    """A box's own session, with its ephemeral node."""

    def __init__(self, keeper: Keeper, record: dict[str, Any], name: str) -> None:
        self.record, self.path = record, f"{BOXES}/{name}"
        self.client = keeper.client()
        self.client.create(self.path, json.dumps(record).encode(), ephemeral=True, makepath=True)
        self.session = f"{self.client.client_id[0]:#x}"

    def say(self, **changes: Any) -> float:
        """Changes its record; Unix milliseconds before it was sent."""
        self.record = {**self.record, **changes}
        moment = time.time() * 1000
        self.client.set(self.path, json.dumps(self.record).encode())
        return moment

    def leave(self) -> None:
        """Ends the session by word."""
        if self.client is not None:
            self.client.stop()
            self.client.close()
            self.client = None


def record(ident: int, port: int, **changes: Any) -> dict[str, Any]:
    """The record of a box of the stand's."""
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


def operator_text(keeper: Keeper, socket_path: Path | None, more: str = "", zookeeper: str = "") -> str:
    """An operator's file for the stand."""
    servers = ", ".join(f'"{server}"' for server in keeper.servers)
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
    """Records of the stand's parent and origin, whose ports nobody listens on."""
    return [record(0x20, 1, zone="hub", kind="parent"), record(0x30, 2, zone="hub", kind="origin")]


class Routed:
    """A stand whose router follows a keeper, and `stonecove members` to ask it."""

    def __init__(
        self, keeper: Keeper, folder: Path, more: str = "", zookeeper: str = "", **stand: Any
    ) -> None:
        self.keeper, self.socket = keeper, folder / "members.sock"
        self.operator = folder / "operator.cue"
        self.operator.write_text(operator_text(keeper, self.socket, more, zookeeper))
        self.stand = Stand(env={"STONECOVE_OPERATOR": str(self.operator)}, **stand)

    def ask(self, *words: str) -> Any:
        """What `stonecove members` says, as JSON."""
        done = subprocess.run(
            [sys.executable, "-m", "stonecove", "members", "--socket", str(self.socket), "--json", *words],
            capture_output=True,
            text=True,
            timeout=PATIENCE,
            check=False,
            env=dict(os.environ),
        )
        return json.loads(done.stdout) if done.stdout else {"exit": done.returncode, "why": done.stderr}

    def question(self, *words: str) -> Any:
        """The same by the socket alone, without a program in between."""
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(PATIENCE)
            sock.connect(str(self.socket))
            sock.sendall(" ".join(words).encode() + b"\n")
            return json.loads(b"".join(iter(lambda: sock.recv(65_536), b"")))

    def state(self, ident: int) -> str:
        """What a node is for the router."""
        found = self.question("explain", f"s-{ident:08x}")
        return str(found["node"]["state"]) if "node" in found else "unknown"

    def wait_state(self, ident: int, *states: str) -> None:
        Stand.wait(lambda: self.state(ident) in states, f"s-{ident:08x} is {' or '.join(states)}")

    def wait_line(self, event: str, count: int = 1) -> list[str]:
        Stand.wait(lambda: len(self.stand.lines(event)) >= count, f"{count} lines {event}")
        return self.stand.lines(event)

    def close(self) -> None:
        self.stand.close()

"""Boxes that keep an ephemeral node each, in the project's own stand-in for a ZooKeeper-style service."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import subprocess
from typing import Any

from depot2 import ROOT, Cache, Record

TIMEOUT_MS = 6000
PATH = "/stonecove/boxes"
START = (
    "import trio\n"
    "from stonecove.standins.zookeeper import serve\n"
    "trio.run(serve, '127.0.0.1', [0], ('127.0.0.1', 0), 0.0, lambda text: print(text, flush=True))\n"
)


class Ensemble:
    """The process of the stand-in."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._process: subprocess.Popen[str] | None = None
        self.address = ("", 0)

    async def start(self) -> None:
        """Start the process, and wait until it listens."""
        self._process = subprocess.Popen(
            [".venv/bin/python", "-c", START],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        assert self._process.stdout is not None
        line = await asyncio.to_thread(self._process.stdout.readline)
        host, _, port = line.strip().rpartition(" ")[2].rpartition(":")
        self.address = host, int(port)
        self._record.write("service", "started, process", self._process.pid, line.strip())

    def close(self) -> None:
        """End the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


def _buffer(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def _frame(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


class Box:
    """The session of one box, and its node."""

    def __init__(
        self, cache: Cache, ensemble: Ensemble, settings: dict[str, Any], started: int | None
    ) -> None:
        entry = cache.entry(settings)
        self._name = cache.name
        self._record = {
            "id": entry["instanceId"],
            "address": entry["hostPort"],
            "zone": entry["zone"],
            "kind": entry["machineType"],
            "cell": 0,
            "weight": entry["weight"],
            "state": "up",
        }
        if started is not None:
            self._record["started"] = started
        self._ensemble = ensemble
        self._writer: asyncio.StreamWriter | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._xid = 0

    async def register(self) -> None:
        """Open a session, and create the ephemeral node; the path above is made if it is not there."""
        reader, writer = await asyncio.open_connection(*self._ensemble.address)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._writer = writer
        hello = struct.pack(">iqiq", 0, 0, TIMEOUT_MS, 0) + _buffer(bytes(16)) + b"\0"
        writer.write(_frame(hello))
        await self._reply(reader)
        above = ""
        for part in PATH.strip("/").split("/"):
            above += f"/{part}"
            await self._create(reader, above, b"", 0)
        error = await self._create(reader, f"{PATH}/{self._name}", json.dumps(self._record).encode(), 1)
        if error:
            raise RuntimeError(f"{self._name} can't register: {error}")
        self._tasks = [asyncio.create_task(self._ping()), asyncio.create_task(self._drop(reader))]

    async def _create(self, reader: asyncio.StreamReader, path: str, data: bytes, flags: int) -> int:
        assert self._writer is not None
        self._xid += 1
        acl = struct.pack(">ii", 1, 31) + _buffer(b"world") + _buffer(b"anyone")
        body = _buffer(path.encode()) + _buffer(data) + acl + struct.pack(">i", flags)
        self._writer.write(_frame(struct.pack(">ii", self._xid, 1) + body))
        return int(struct.unpack_from(">iqi", await self._reply(reader))[2])

    @staticmethod
    async def _reply(reader: asyncio.StreamReader) -> bytes:
        size = struct.unpack(">i", await reader.readexactly(4))[0]
        return await reader.readexactly(size)

    async def _ping(self) -> None:
        assert self._writer is not None
        while True:
            await asyncio.sleep(TIMEOUT_MS / 3000.0)
            self._writer.write(_frame(struct.pack(">ii", -2, 11)))

    async def _drop(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._reply(reader)

    def close(self) -> None:
        """End the connection."""
        for task in self._tasks:
            task.cancel()
        if self._writer is not None:
            self._writer.close()

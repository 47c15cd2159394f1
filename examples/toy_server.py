"""A toy depot for one edge router: caches that generate their objects, and a change log.

    python examples/toy_server.py examples/config.json

listens on the addresses in the configuration. It keeps requested objects in memory (so the second request for
an object is a hit) and prints each request. Commands on standard input are written to the change log:
`drain ID`, `up ID`, `purge GROUP`.
"""

from __future__ import annotations

import struct
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

import trio
import ujson

from stonecove.protocols import resp
from stonecove.protocols.buffer import Buffer

INSTANCE_RECORD = struct.Struct(">IIHBBBHIQ")


class Depot:
    """All toy caches and the change log."""

    def __init__(self, config: dict[str, Any]) -> None:
        """Start with the configured caches, all empty."""
        self.entries = config["known"]["results"][0]["fleet"]["instances"]
        self.settings = config["settings"]
        self.log: list[bytes] = []
        self.last_seq = config["known"]["seq"]
        self.first_seq = self.last_seq
        self.cached: dict[tuple[str, str, str], tuple[str, int]] = {}

    def append_event(self, kind: int, payload: bytes) -> None:
        """Append an event to the change log."""
        self.last_seq += 1
        self.log.append(struct.pack(">IQB", 9 + len(payload), self.last_seq, kind) + payload)

    def command(self, line: str) -> None:
        """Run a command line from standard input."""
        verb, _, value = line.strip().partition(" ")
        entry = next((entry for entry in self.entries if entry["instanceId"] == value), None)
        if verb == "purge" and value.isdigit():
            self.cached.clear()
            self.append_event(4, struct.pack(">HQ", int(value), int(time.time() * 1000)))
        elif verb in ("drain", "up") and entry is not None:
            host, _, port = entry["hostPort"].partition(":")
            address = int.from_bytes(bytes(int(part) for part in host.split(".")), "big")
            self.append_event(
                2,
                INSTANCE_RECORD.pack(
                    int(value[2:], 16),
                    address,
                    int(port),
                    verb == "drain",
                    self.settings["areas"].index(entry["zone"]),
                    self.settings["models"].index(entry["machineType"]),
                    entry["cell"],
                    int(entry["weight"] * 1000),
                    entry["startedAtMs"],
                ),
            )
        else:
            print(f"unknown command: {line.strip()!r}", flush=True)

    def answer(self, name: str, fields_in: list[bytes]) -> bytes:
        """Return the named cache's response; empty for an `abort`."""
        if fields_in[0] == b"alive":
            return resp.encode(fields_in[1], b"alive", b"-", b"")
        if fields_in[0] != b"fetch":
            return b""
        fetch_fields = resp.parse_fields(fields_in[2])
        cache_key = (name, fetch_fields["item"], fetch_fields["chunk"])
        is_write = self.settings["classes"][-1]["name"] == fetch_fields["cls"]
        cache_status = "hit" if cache_key in self.cached else "filled" if "from" in fetch_fields else ""
        print(
            f"{name} {fetch_fields['cls']} {fetch_fields['item']} part {fetch_fields['chunk']}: "
            f"{cache_status or 'miss'}",
            flush=True,
        )
        if not cache_status:
            return resp.encode(fields_in[1], b"404", b"-", b"")
        tag, created_ms = self.cached.get(
            cache_key, (f"{hash(cache_key) & 0xFFFFFFFF:08x}", int(time.time() * 1000))
        )
        if not is_write and fetch_fields.get("rank", "0") != "0":
            self.cached[cache_key] = tag, created_ms
        fields = resp.format_fields(
            [
                ("ver", tag),
                ("born", str(created_ms)),
                ("tell", cache_status),
                ("meter", "inflight:1;util:0.1"),
            ]
        )
        if fetch_fields.get("seen") == tag:
            return resp.encode(fields_in[1], b"304", fields, b"")
        return resp.encode(
            fields_in[1], b"200", fields, f"{fetch_fields['item']}/{fetch_fields['chunk']}\n".encode() * 100
        )


async def cache(depot: Depot, name: str, stream: trio.SocketStream) -> None:
    """Serve one connection to a cache."""
    buffer, decoder = Buffer(2 << 20), resp.Decoder()
    async for data in stream:
        buffer.feed(data)
        for fields_in in decoder.arrays(buffer):
            if answer := depot.answer(name, fields_in):
                await stream.send_all(answer)


async def changelog(depot: Depot, stream: trio.SocketStream) -> None:
    """Serve one follower of the change log."""
    (next_seq,) = struct.unpack(">Q", await stream.receive_some(8))
    try:
        while True:
            for frame in depot.log[max(0, next_seq - depot.first_seq) :]:
                await stream.send_all(frame)
            next_seq = depot.last_seq
            await stream.send_all(struct.pack(">IQB", 9, next_seq, 0))
            with trio.move_on_after(1.0):
                while depot.last_seq == next_seq:
                    await trio.sleep(0.02)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def read_commands(depot: Depot) -> None:
    """Run the commands of standard input until it ends."""
    while line := await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True):
        depot.command(line)


async def main(path: str) -> None:
    """Serve until the process is stopped."""
    config = ujson.loads(Path(path).read_bytes())
    depot = Depot(config)
    async with trio.open_nursery() as nursery:
        for entry in depot.entries:
            host, _, port = entry["hostPort"].partition(":")
            await nursery.start(
                partial(trio.serve_tcp, partial(cache, depot, entry["instanceId"]), int(port), host=host)
            )
        host, _, port = config["changelog"].partition(":")
        await nursery.start(partial(trio.serve_tcp, partial(changelog, depot), int(port), host=host))
        print("toy depot is up", flush=True)
        nursery.start_soon(read_commands, depot)


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit("usage: toy_server.py CONFIGURATION")
    try:
        trio.run(main, sys.argv[1])
    except KeyboardInterrupt:
        sys.exit(130)

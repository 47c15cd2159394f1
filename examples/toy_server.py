"""A toy depot for one edge router: its caches, which make up the objects, and its change log.

    python examples/toy_server.py examples/config.json

listens where the configuration says. It keeps what it was asked for in memory (so the second request for
an object is a hit) and says what it is asked. Commands on standard input go into the change log:
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

RECORD = struct.Struct(">IIHBBBHIQ")


class Depot:
    """All toy caches, and the events so far."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.entries = config["known"]["results"][0]["fleet"]["instances"]
        self.settings = config["settings"]
        self.log: list[bytes] = []
        self.last = config["known"]["seq"]
        self.first = self.last
        self.held: dict[tuple[str, str, str], tuple[str, int]] = {}

    def tell(self, kind: int, payload: bytes) -> None:
        """Appends an event to the change log."""
        self.last += 1
        self.log.append(struct.pack(">IQB", 9 + len(payload), self.last, kind) + payload)

    def command(self, line: str) -> None:
        """Carries out a line of standard input."""
        word, _, value = line.strip().partition(" ")
        entry = next((entry for entry in self.entries if entry["instanceId"] == value), None)
        if word == "purge" and value.isdigit():
            self.held.clear()
            self.tell(4, struct.pack(">HQ", int(value), int(time.time() * 1000)))
        elif word in ("drain", "up") and entry is not None:
            host, _, port = entry["hostPort"].partition(":")
            address = int.from_bytes(bytes(int(part) for part in host.split(".")), "big")
            self.tell(
                2,
                RECORD.pack(
                    int(value[2:], 16),
                    address,
                    int(port),
                    word == "drain",
                    self.settings["areas"].index(entry["zone"]),
                    self.settings["models"].index(entry["machineType"]),
                    entry["cell"],
                    int(entry["weight"] * 1000),
                    entry["startedAtMs"],
                ),
            )
        else:
            print(f"not understood: {line.strip()!r}", flush=True)

    def answer(self, name: str, words: list[bytes]) -> bytes:
        """What the cache of that name answers; nothing to an `abort`."""
        if words[0] == b"alive":
            return resp.encode(words[1], b"alive", b"-", b"")
        if words[0] != b"fetch":
            return b""
        asked = resp.parse_fields(words[2])
        copy = (name, asked["item"], asked["chunk"])
        write = self.settings["classes"][-1]["name"] == asked["cls"]
        note = "hit" if copy in self.held else "filled" if "from" in asked else ""
        print(f"{name} {asked['cls']} {asked['item']} part {asked['chunk']}: {note or 'miss'}", flush=True)
        if not note:
            return resp.encode(words[1], b"404", b"-", b"")
        tag, born = self.held.get(copy, (f"{hash(copy) & 0xFFFFFFFF:08x}", int(time.time() * 1000)))
        if not write and asked.get("rank", "0") != "0":
            self.held[copy] = tag, born
        fields = resp.format_fields(
            [("ver", tag), ("born", str(born)), ("tell", note), ("meter", "inflight:1;util:0.1")]
        )
        if asked.get("seen") == tag:
            return resp.encode(words[1], b"304", fields, b"")
        return resp.encode(words[1], b"200", fields, f"{asked['item']}/{asked['chunk']}\n".encode() * 100)


async def cache(depot: Depot, name: str, stream: trio.SocketStream) -> None:
    """One connection to a cache."""
    buffer, decoder = Buffer(2 << 20), resp.Decoder()
    async for data in stream:
        buffer.feed(data)
        for words in decoder.arrays(buffer):
            if answer := depot.answer(name, words):
                await stream.send_all(answer)


async def changelog(depot: Depot, stream: trio.SocketStream) -> None:
    """One reader of the change log."""
    (number,) = struct.unpack(">Q", await stream.receive_some(8))
    try:
        while True:
            for frame in depot.log[max(0, number - depot.first) :]:
                await stream.send_all(frame)
            number = depot.last
            await stream.send_all(struct.pack(">IQB", 9, number, 0))
            with trio.move_on_after(1.0):
                while depot.last == number:
                    await trio.sleep(0.02)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def read_commands(depot: Depot) -> None:
    """Follows standard input to its end."""
    while line := await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True):
        depot.command(line)


async def main(path: str) -> None:
    """Serves until it is stopped."""
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

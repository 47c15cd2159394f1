"""Bad clients send messages that never end: do the usual clients still get their final answers?"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import depot2  # noqa: E402

DESCRIPTORS = 256
USUAL, BAD = 20, 130  # clients
BEFORE_S, DURING_S, AFTER_S = 4.0, 12.0, 3.0
TTL_MS = 1500.0
LOST_AFTER_MS = TTL_MS + 500.0 + 50.0 + 8.0  # half a second later, and what the rules on sockets add
RECORD_BYTES = 4000  # of a body that never ends
OWED_WITHIN_S = 3.0


# -- bad clients, in a process of their own --


async def endless(address: tuple[str, int], told: dict[str, float]) -> None:
    """Begin a request whose body never ends, send at full speed and read whatever is sent."""
    while True:
        begin = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        told["connected"] += 1
        reading = asyncio.create_task(read_all(reader, writer, begin, told))
        head = depot2.fcgi_request(1, "/svc/pick-confirm", depot2.fields_for(5, 5, 3000.0, 10.0))
        with contextlib.suppress(OSError):
            writer.write(head.removesuffix(depot2.fcgi(5, 1)))
            while not reading.done():
                writer.write(depot2.fcgi(5, 1, b"y" * RECORD_BYTES))
                told["records"] += 1
                await writer.drain()
                await asyncio.sleep(0)
        reading.cancel()
        writer.transport.abort()


async def read_all(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, begin: float, told: dict[str, float]
) -> None:
    """Read until the router closes the connection."""
    first = True
    with contextlib.suppress(OSError):
        while (data := await reader.read(4096)) or first:
            if first:
                within = time.monotonic() - begin
                told["answered"] += bool(data)
                told["answered or closed in time"] += within <= OWED_WITHIN_S
                told["latest"] = max(told["latest"], round(within, 2))
            first = False
            if not data:
                break
    told["closed"] += 1
    writer.transport.abort()  # ends the writing, too


async def bad_clients(host: str, port: int) -> None:
    """Be the bad clients, and print what they saw."""
    counts = ("connected", "records", "answered", "answered or closed in time", "closed", "latest")
    told: dict[str, float] = dict.fromkeys(counts, 0)
    tasks = [asyncio.create_task(endless((host, port), told)) for _ in range(BAD)]
    await asyncio.sleep(DURING_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    print(json.dumps(told))


# -- the case --


class Usual:
    """Web servers that open a connection, ask once and close."""

    def __init__(self, scene: depot2.Scene) -> None:
        self._scene = scene
        self.ends: list[tuple[float, str]] = []  # when it was sent, and how it ended

    async def ask_on(self) -> None:
        """Ask until cancelled; a request is judged once it is lost, or has its final answer."""
        while True:
            await asyncio.sleep(random.uniform(0.2, 0.6))
            try:
                client = await asyncio.wait_for(depot2.Client.connect(self._scene.router.address), 2.0)
            except (OSError, TimeoutError):
                self._scene.record.write("client: no connection")  # not accepted, so not taken
                continue
            key = random.randrange(500)
            fields = depot2.fields_for(key, key % 32, TTL_MS, 50.0)
            sent, at = depot2.now_ms(), time.monotonic()
            answer = await client.ask("/svc/item-image", fields, wait_s=(LOST_AFTER_MS + 100.0) / 1000.0)
            took = answer.at_ms - sent
            end = str(answer.status) if answer.status and took <= LOST_AFTER_MS else "lost"
            self.ends.append((at, end))
            self._scene.record.write(
                "client", fields["X-Txn"], end, answer.status, answer.why, f"{took:.0f} ms"
            )
            client.close()

    def count(self, begin: float, end: float) -> dict[str, int]:
        """Return how many of the requests that were sent then ended how."""
        found: dict[str, int] = {}
        for at, how in self.ends:
            if begin <= at < end:
                found[how] = found.get(how, 0) + 1
        return found


async def handle(fetch: depot2.Fetch) -> None:
    """Serve a copy, as a sound cache does."""
    await asyncio.sleep(0.02)
    fetch.answer("200", b"x" * 500, tell="hit", ver="v1", born=int(depot2.now_ms()))


async def case(record: depot2.Record, trouble: bool) -> int:
    """Return 1 if a request of a usual client gets no final answer, else 0."""
    nodes = [depot2.Cache(0x11 + number, handle) for number in range(4)]
    nodes += [depot2.Cache(0x21, handle, 0, 2, 40.0), depot2.Cache(0x31, handle, 0, 3, 40.0)]
    scene = depot2.Scene(record, depot2.small_settings(), nodes)
    scene.router.config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS}
    usual, process = Usual(scene), None
    try:
        await scene.start(clients=0)
        tasks = [asyncio.create_task(usual.ask_on()) for _ in range(USUAL)]
        begin = time.monotonic()
        await asyncio.sleep(BEFORE_S)
        if trouble:
            command = [sys.executable, str(Path(__file__).resolve()), "bad", *map(str, scene.router.address)]
            process = subprocess.Popen(command, stdout=subprocess.PIPE)
            record.say(f"{BAD} bad clients begin, process {process.pid}")
        await asyncio.sleep(DURING_S)
        during = time.monotonic()
        if process is not None:
            told = json.loads((await asyncio.to_thread(process.communicate))[0])
            record.say("the bad clients saw:", json.dumps(told))
        await asyncio.sleep(AFTER_S)
        for task in tasks:
            task.cancel()
        alive = scene.router.process is not None and scene.router.process.poll() is None
    finally:
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()
        scene.close()
    record.say("the first seconds, ends of usual requests by status:", usual.count(begin, begin + BEFORE_S))
    with_bad = usual.count(begin + BEFORE_S, during)
    record.say("from then on, until the bad clients have gone:", with_bad)
    record.say("after that:", usual.count(during, time.monotonic()))
    record.say("the router", "lives" if alive else "has ended")
    lost = [at for at, end in usual.ends if end == "lost"]
    if lost:
        first = min(lost) - begin - BEFORE_S
        record.say(f"BROKEN: {len(lost)} taken requests lost, the first of them sent {first:.1f} s in")
        return 1
    if sum(usual.count(begin, during).values()) < USUAL:
        raise RuntimeError("too few requests were taken")
    record.say("held: every taken request got its final answer")
    return 0


if __name__ == "__main__":
    if sys.argv[1:2] == ["bad"]:
        asyncio.run(bad_clients(sys.argv[2], int(sys.argv[3])))
    else:
        depot2.main(case, HERE)

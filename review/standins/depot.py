"""Stand-ins for one depot, written from the protocol page: caches, the change log, clients, the platform.

Everything here runs in the test's own process, on loopback addresses. The router is started as a process of
its own by the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, Self, TextIO

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
LIST, CHANGES, OBJECT_PURGE, GROUP_PURGE = 1, 2, 3, 4
UP, DRAINING, GONE = 0, 1, 2
MAX_RECORD = 60_000
SLOW_BUFFER_BYTES = 65_536
READ_BYTES = 16_384
OBJECT_BYTES = 3000


def now_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * 1000.0


def free_address() -> tuple[str, int]:
    """Return a loopback address with a free port.

    The host is not 127.0.0.1, where a free port may become the local end of another connection at any time.
    """
    host = ".".join(("127", *(str(random.randint(1, 250)) for _ in range(3))))
    with socket.create_server((host, 0)) as sock:
        address: tuple[str, int] = sock.getsockname()
    return address


class Record:
    """The record of a run: one line for each event, with the time since the start in milliseconds."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")
        self._start_ms = now_ms()

    def line(self, text: str, at_ms: float = 0.0) -> None:
        """Write one line."""
        self._file.write(f"{(at_ms or now_ms()) - self._start_ms:10.1f} {text}\n")
        self._file.flush()


# -- caches --


class Fetch(NamedTuple):
    """A fetch command as a cache received it whole."""

    at_ms: float
    txn: str
    fields: dict[str, str]
    body: bytes


class CacheConnection:
    """One connection of a router to a cache."""

    def __init__(self, cache: Cache, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.cache, self.reader, self.writer = cache, reader, writer
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def _array(self) -> list[bytes]:
        """Read one array of bulk strings."""
        items = []
        for _ in range(int((await self.reader.readuntil(b"\r\n"))[1:])):
            size = int((await self.reader.readuntil(b"\r\n"))[1:])
            items.append((await self.reader.readexactly(size + 2))[:-2])
        return items

    async def serve(self) -> None:
        """Serve commands until the connection ends."""
        try:
            while True:
                items = await self._array()
                name, txn = items[0].decode(), items[1].decode()
                if name == "fetch":
                    text = items[2].decode()
                    fields = dict(pair.split("=", 1) for pair in text.split(",")) if text != "-" else {}
                    fetch = Fetch(now_ms(), txn, fields, items[3])
                    self.cache.received(fetch)
                    self.tasks[txn] = asyncio.create_task(self._answer(fetch))
                elif name == "abort":
                    self.cache.depot.record.line(f"{self.cache.name} abort {txn}")
                    if task := self.tasks.pop(txn, None):
                        task.cancel()
                elif name == "alive":
                    self.send(txn, "alive", {}, b"")
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            for task in self.tasks.values():
                task.cancel()
            self.cache.connections.discard(self)
            with contextlib.suppress(OSError):
                self.writer.close()

    async def _answer(self, fetch: Fetch) -> None:
        with contextlib.suppress(OSError):
            await self.cache.behave(self, fetch)
        self.tasks.pop(fetch.txn, None)

    def send(self, txn: str, word: str, fields: dict[str, str], body: bytes) -> None:
        """Write an answer."""
        text = ",".join(f"{name}={value}" for name, value in fields.items()).encode() or b"-"
        items = (txn.encode(), word.encode(), text, body)
        data = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)
        self.cache.depot.record.line(f"{self.cache.name} answers {txn} {word} {fields.get('tell', '-')}")
        self.writer.write(data)


Behaviour = Callable[[CacheConnection, Fetch], Awaitable[None]]


class Cache:
    """A cache, parent or origin. Only caches are asked; the others are named as sources."""

    def __init__(self, depot: Depot, ident: int, kind: int, weight: float) -> None:
        self.depot, self.ident, self.kind, self.weight = depot, ident, kind, weight
        self.name = f"s-{ident:08x}"
        self.zone = 0 if kind >= 2 else 1  # parents and the origin stand at the hub
        self.state, self.started_ms = UP, 0
        self.copies: dict[tuple[str, str], float] = {}
        self.fetches: list[Fetch] = []
        self.connections: set[CacheConnection] = set()
        self.behave: Behaviour = self.serve_soundly
        self.port = 0
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections, at the earlier port after a restart."""
        self._server = await asyncio.start_server(self._accept, HOST, self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = CacheConnection(self, reader, writer)
        self.connections.add(connection)
        await connection.serve()

    def received(self, fetch: Fetch) -> None:
        """Record a fetch that has arrived whole."""
        self.fetches.append(fetch)
        wanted = {
            name: fetch.fields[name] for name in ("cls", "item", "from", "oldest") if name in fetch.fields
        }
        self.depot.record.line(f"{self.name} fetch {fetch.txn} {wanted}", fetch.at_ms)

    async def serve_soundly(self, connection: CacheConnection, fetch: Fetch) -> None:
        """Answer as a sound cache does: from a copy that is young enough, else by a fill."""
        fields, depot = fetch.fields, self.depot
        cls = fields["cls"]
        if cls in depot.never_kept:
            if "from" not in fields:
                connection.send(fetch.txn, "404", {}, b"")
                return
            await asyncio.sleep(depot.origin_s)
            depot.runs.append((now_ms(), fetch.txn, self.name))
            depot.record.line(f"origin runs {fetch.txn} by way of {self.name}")
            answer = {"tell": "filled", "ver": "c0", "born": f"{now_ms():.0f}", **depot.report}
            connection.send(fetch.txn, "200", answer, b"done:" + fetch.txn.encode())
            return
        key = fields["item"], fields["chunk"]
        max_age_ms = float(fields.get("oldest", 0)) or depot.fresh_ms.get(cls, 0.0)
        born = self.copies.get(key, 0.0)
        tell = "hit"
        if not born or (max_age_ms and now_ms() - born > max_age_ms):
            if "from" not in fields:
                connection.send(fetch.txn, "404", {}, b"")
                return
            await asyncio.sleep(depot.fill_s)
            born, tell = now_ms(), "filled"
            if fields.get("rank", "0") != "0":
                self.copies[key] = born
        await asyncio.sleep(depot.serve_s)
        answer = {"tell": tell, "ver": f"v{born:.0f}", "born": f"{born:.0f}", **depot.report}
        connection.send(fetch.txn, "200", answer, depot.content(cls, fields["item"], fields["chunk"]))

    def close(self) -> None:
        """End the process: reset its connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            sock = connection.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.writer.transport.abort()


# -- the change log --


class ChangeLog:
    """The change log."""

    def __init__(self, depot: Depot) -> None:
        self.depot = depot
        self.events: list[bytes] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent = False  # connections are accepted and stay open, and nothing is told
        self.port = 0
        self._server: asyncio.Server | None = None

    def address(self) -> str:
        """Return the address as the configuration names it."""
        return f"{HOST}:{self.port}"

    async def listen(self) -> None:
        """Accept connections, at the earlier port after an outage."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def last(self) -> int:
        """Return the number of the last event; the list in the configuration is number 1."""
        return len(self.events) + 1

    def _frame(self, number: int, kind: int, payload: bytes = b"") -> bytes:
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    def add(self, kind: int, payload: bytes) -> None:
        """Add an event, and tell it to all that follow."""
        frame = self._frame(self.last() + 1, kind, payload)
        self.events.append(frame)
        self.depot.record.line(f"change log: event {self.last()} of kind {kind}")
        if not self.silent:
            for writer in self.writers:
                writer.write(frame)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            (number,) = struct.unpack(">Q", await reader.readexactly(8))
            self.depot.record.line(f"change log: asked from {number}")
            new = b"".join(self.events[max(0, number - 1) :])
            if not self.silent:
                writer.write(new or self._frame(self.last(), 0))
                self.writers.add(writer)
            while True:
                await asyncio.sleep(1.0)
                if not self.silent:
                    writer.write(self._frame(self.last(), 0))
                    self.writers.add(writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    def stop(self) -> None:
        """Break all connections, and refuse new ones."""
        self.depot.record.line("change log: down")
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def member(self, cache: Cache) -> bytes:
        """Return the record of a cache in its present state."""
        return struct.pack(
            ">IIHBBBHIQ",
            cache.ident,
            0x7F000001,
            cache.port,
            cache.state,
            cache.zone,
            cache.kind,
            0,
            round(cache.weight * 1000),
            int(cache.started_ms),
        )

    def tell(self, cache: Cache, state: int) -> None:
        """Tell a cache's state."""
        cache.state = state
        self.depot.record.line(f"change log: {cache.name} is now {('up', 'draining', 'gone')[state]}")
        self.add(CHANGES, self.member(cache))


# -- the depot --


class Depot:
    """All servers of a depot, with the settings that a router of it is given."""

    def __init__(self, settings: dict[str, Any], record: Record, caches: int, weight: float = 20.0) -> None:
        self.settings, self.record = settings, record
        names = [entry["name"] for entry in settings["classes"]]
        domain = settings["domain"]
        self.never_kept = {name for name, never in zip(names, domain["never_kept"], strict=True) if never}
        self.fresh_ms = dict(zip(names, domain["lifetime_by_class"], strict=True))
        self.report = {"meter": ";".join(f"{name}:0.1" for name in settings["report"]["fields"])}
        self.runs: list[tuple[float, str, str]] = []  # writes that ran: time, id, cache
        self.origin_s, self.fill_s, self.serve_s = 0.045, 0.03, 0.01
        self.bytes_by_class: dict[str, int] = {}  # of a part, where it is not OBJECT_BYTES
        self.caches = [Cache(self, 0x11 + index, index % 2, weight) for index in range(caches)]
        self.parent, self.origin = Cache(self, 0x21, 2, 60.0), Cache(self, 0x31, 3, 60.0)
        self.servers = [*self.caches, self.parent, self.origin]
        self.log = ChangeLog(self)

    def content(self, cls: str, item: str, chunk: str) -> bytes:
        """Return the bytes of a part of an object."""
        text, size = f"{item}/{chunk};".encode(), self.bytes_by_class.get(cls, OBJECT_BYTES)
        return (text * (size // len(text) + 1))[:size]

    async def start(self) -> None:
        """Start all servers and the change log."""
        for server in self.servers:
            await server.listen()
        await self.log.listen()

    def known(self) -> dict[str, Any]:
        """Return the list of all servers as JSON, as event 1, with the states and starts of this moment."""
        instances = [
            {
                "instanceId": server.name,
                "hostPort": f"{HOST}:{server.port}",
                "zone": self.settings["areas"][server.zone],
                "machineType": self.settings["models"][server.kind],
                "cell": 0,
                "lifecycle": ("up", "draining", "removed")[server.state],
                "weight": server.weight,
                "startedAtMs": int(server.started_ms),
            }
            for server in self.servers
        ]
        fleet = {"generation": 1, "reset": True, "instances": instances}
        return {"seq": self.log.last(), "results": [{"seq": self.log.last(), "fleet": fleet}]}

    def close(self) -> None:
        """End all servers."""
        for server in self.servers:
            server.close()
        self.log.stop()


# -- the router --


class Router:
    """A router, started by the command `run` of the deploy file."""

    def __init__(self, depot: Depot, folder: Path, **limits: float) -> None:
        self.depot, self.address = depot, free_address()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits}
        self._folder = folder
        self._path = folder / "config.json"
        self._run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, **changes: Any) -> None:
        """Write the configuration as the platform does before a start."""
        config = {
            "name": "n0",
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": secrets.token_hex(8),
            "limits": self.limits,
            "changelog": self.depot.log.address(),
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 124000000,
            "known": self.depot.known(),
            "settings": self.depot.settings,
            **changes,
        }
        path = self._path.with_suffix(".new")
        path.write_text(json.dumps(config))
        path.rename(self._path)

    def start(self) -> None:
        """Start the process; it is not waited for."""
        temporary = tempfile.mkdtemp(dir=self._folder)
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self._run],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "RELAY_NAME": "n0",
                    "RELAY_LISTEN": f"{self.address[0]}:{self.address[1]}",
                    "RELAY_CONFIG": str(self._path),
                    "TMPDIR": temporary,
                },
            )
        self.depot.record.line("platform: the router's process is started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.depot.record.line(f"platform: {number.name} to the router")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process outright, and wait until it has ended."""
        assert self.process is not None
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait()

    def reload(self, **changes: Any) -> None:
        """Replace the configuration, and send SIGHUP."""
        self.write_config(**changes)
        self.signal(signal.SIGHUP)

    async def live(self, within_s: float = 30.0) -> None:
        """Wait until the router answers for its readiness with 200."""
        deadline_ms = now_ms() + within_s * 1000.0
        while now_ms() < deadline_ms:
            with contextlib.suppress(OSError, EOFError, asyncio.TimeoutError):
                client = await Client.connect(self)
                try:
                    answer = await client.ask("/status/live", {}, b"", 2.0)
                    if answer is not None and answer.status == 200:
                        self.depot.record.line("platform: the router is ready")
                        return
                finally:
                    client.close()
            await asyncio.sleep(0.05)
        raise TimeoutError("the router was not ready")

    def log_text(self) -> str:
        """Return what the router has logged."""
        return (self._folder / "log").read_text(errors="replace")


# -- clients --


class Answer(NamedTuple):
    """A whole answer; `status` is 0 where the request ended without a response."""

    at_ms: float
    status: int
    fields: dict[str, str]
    body: bytes
    protocol: int

    def verdict(self) -> str:
        """Return what the answer says."""
        if self.status == 200:
            return "served"
        return "refused" if self.status in (429, 503) or self.protocol == 2 else "failed"


def _pair(name: str, value: str) -> bytes:
    sizes = b"".join(
        bytes((len(text),)) if len(text) < 128 else struct.pack(">I", len(text) | 1 << 31)
        for text in (name, value)
    )
    return sizes + name.encode() + value.encode()


def fastcgi_record(kind: int, ident: int, content: bytes = b"") -> bytes:
    """Return one FastCGI record."""
    return struct.pack(">BBHHBB", 1, kind, ident, len(content), 0, 0) + content


def encode_request(ident: int, path: str, fields: dict[str, str], body: bytes) -> bytes:
    """Return the records of a request."""
    pairs = {"SCRIPT_NAME": path}
    pairs.update((f"HTTP_{name.upper().replace('-', '_')}", value) for name, value in fields.items())
    params = b"".join(_pair(name, value) for name, value in pairs.items())
    stdin = [body[at : at + MAX_RECORD] for at in range(0, len(body), MAX_RECORD)]
    return (
        fastcgi_record(1, ident, struct.pack(">HB5x", 1, 1))
        + fastcgi_record(4, ident, params)
        + fastcgi_record(4, ident)
        + b"".join(fastcgi_record(5, ident, part) for part in stdin)
        + fastcgi_record(5, ident)
    )


class Client:
    """One connection of a web server, with up to 32 requests open on it.

    It works on the plain socket, so that what the system has received before a reset is still read.
    """

    def __init__(self, sock: socket.socket, bytes_per_s: float) -> None:
        self._sock = sock
        self._bytes_per_s = bytes_per_s  # at which it reads at most; 0: no limit
        self._open: dict[int, asyncio.Future[Answer | None]] = {}
        self._parts: dict[int, bytes] = {}
        self._to_write: asyncio.Queue[bytes] = asyncio.Queue()
        self.ended = False
        self._tasks = [asyncio.create_task(self._read()), asyncio.create_task(self._write())]

    @classmethod
    async def connect(cls, router: Router, bytes_per_s: float = 0.0) -> Self:
        """Connect to a router; raise OSError. `bytes_per_s`: at which the client reads at most, 0 for any."""
        sock = socket.socket()
        if bytes_per_s:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, router.address)
        except OSError:
            sock.close()
            raise
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, bytes_per_s)

    def open_requests(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._open)

    def write(self, data: bytes) -> None:
        """Write bytes in order."""
        self._to_write.put_nowait(data)

    async def _write(self) -> None:
        with contextlib.suppress(OSError):  # the reading task finds out, too
            while True:
                await asyncio.get_running_loop().sock_sendall(self._sock, await self._to_write.get())

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        began_s, received, data = loop.time(), 0, bytearray()
        try:
            while True:
                if self._bytes_per_s:
                    await asyncio.sleep(began_s + received / self._bytes_per_s - loop.time())
                some = await loop.sock_recv(self._sock, READ_BYTES)
                if not some:
                    return
                received += len(some)
                data += some
                while len(data) >= 8 and len(data) >= (size := 8 + data[4] * 256 + data[5] + data[6]):
                    self._handle(bytes(data[:size]))
                    del data[:size]
        except OSError:
            pass
        finally:
            self.ended = True
            for future in self._open.values():
                if not future.done():
                    future.set_result(None)
            self._open.clear()

    def _handle(self, record: bytes) -> None:
        """Handle one record: a part of an answer, or its end."""
        _, kind, ident, length, _, _ = struct.unpack(">BBHHBB", record[:8])
        content = record[8 : 8 + length]
        if kind == 6:
            self._parts[ident] = self._parts.get(ident, b"") + content
        elif kind == 3 and (future := self._open.pop(ident, None)) is not None:
            text, _, body = self._parts.pop(ident, b"").partition(b"\r\n\r\n")
            lines = [line.split(": ", 1) for line in text.decode().split("\r\n") if line]
            fields = {name: value for name, value in lines}
            answer = Answer(now_ms(), int(fields.get("Status", "0")[:3]), fields, body, content[4])
            if not future.done():
                future.set_result(answer)

    async def ask(self, path: str, fields: dict[str, str], body: bytes, wait_s: float) -> Answer | None:
        """Send a request; return its answer, None if the connection ended; raise TimeoutError."""
        if self.ended:
            return None
        ident = next(number for number in range(1, 33) if number not in self._open)
        future = self._open[ident] = asyncio.get_running_loop().create_future()
        self.write(encode_request(ident, path, fields, body))
        async with asyncio.timeout(wait_s):
            return await future

    def close(self) -> None:
        """Close the connection."""
        for task in self._tasks:
            task.cancel()
        asyncio.get_running_loop().call_soon(self._sock.close)


def new_request(item: int, ttl_ms: float, size_kb: float, chunk: int = 0, **more: str) -> dict[str, Any]:
    """Return the fields of a request with a new id."""
    return {
        "X-Txn": secrets.token_hex(8),
        "X-Ttl-Ms": f"{ttl_ms:.0f}",
        "X-Row": f"{item:016x}",
        "X-Seg": str(chunk),
        "X-Bucket": str(item % 32),
        "X-Working-Set-Kb": f"{size_kb:.1f}",
        **more,
    }


# -- a case --


class Run:
    """What a case has: its record, its temporary folder, and whether the disruption is on."""

    def __init__(self, record: Record, folder: Path, trouble: bool) -> None:
        self.record, self.folder, self.trouble = record, folder, trouble
        self.broken: list[str] = []
        self.routers: list[Router] = []

    def breaks(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.record.line(f"BROKEN: {text}")


def run_case(case: Path, play: Callable[[Run], Awaitable[None]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(case / "record.txt")
    code = 2
    with tempfile.TemporaryDirectory() as folder:
        run = Run(record, Path(folder), os.environ.get("TROUBLE", "1") != "0")
        record.line(f"the disruption is {'on' if run.trouble else 'off'}")

        async def bounded() -> None:
            async with asyncio.timeout(110):
                await play(run)

        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda *_: None)  # tasks of stand-ins end with their connections
        try:
            loop.run_until_complete(bounded())
            code = 1 if run.broken else 0
        except Exception as error:
            record.line(f"the case could not run: {error!r}")
        finally:
            for router in run.routers:
                router.kill()
    text = {0: "the rule held", 1: f"the rule was broken, {len(run.broken)} times", 2: "could not run"}[code]
    record.line(text)
    print(text)
    sys.stdout.flush()
    os._exit(code)  # without waiting for what stand-ins still have open

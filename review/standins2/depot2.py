"""Stand-ins for a review case: routers by the deploy file, caches, the change log and clients.

They follow PROTOCOL: FastCGI towards clients, RESP towards caches, frames from the change log. Only the
standard library is used, and only loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN_S = 30.0


def now_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * 1000.0


def free_address() -> tuple[str, int]:
    """Return a loopback address with a free port."""
    host = ".".join(("127", *(str(random.randint(1, 250)) for _ in range(3))))
    with socket.create_server((host, 0)) as sock:
        return host, sock.getsockname()[1]


class Record:
    """The record of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.time()

    def write(self, *words: object) -> None:
        """Write one line with the time since the start in seconds."""
        self._file.write(f"{time.time() - self._start:9.4f} {' '.join(map(str, words))}\n")

    def say(self, *words: object) -> None:
        """Write one line to the record and to standard output."""
        self.write(*words)
        print(*words, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# -- caches --


@dataclass(eq=False)
class Fetch:
    """A request as a cache received it."""

    cache: Cache
    writer: asyncio.StreamWriter
    txn: str
    fields: dict[str, str]
    body: bytes
    at_ms: float
    connection: int
    task: asyncio.Task[None] | None = None

    def answer(self, status: str = "200", body: bytes = b"", **fields: object) -> None:
        """Write an answer."""
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        self.writer.write(resp(self.txn.encode(), status.encode(), text.encode(), body))


def resp(*items: bytes) -> bytes:
    """Return an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class Cache:
    """A cache, parent or origin at one address; `handle` is a coroutine that answers a fetch."""

    def __init__(
        self,
        ident: int,
        handle: Callable[[Fetch], Awaitable[None]],
        zone: int = 1,
        kind: int = 0,
        weight: float = 20.0,
    ) -> None:
        self.ident, self.zone, self.kind, self.weight = ident, zone, kind, weight
        self.name = f"s-{ident:08x}"
        self.handle = handle
        self.state = 0
        self.started = 0
        self.address = free_address()
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.on_abort: Callable[[str], None] = lambda _txn: None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address, limit=1 << 20, backlog=512)

    async def stop(self) -> None:
        """Die as a process does: nothing listens, and connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        open_fetches: dict[str, Fetch] = {}
        try:
            while line := await reader.readline():
                items = []
                for _ in range(int(line[1:])):
                    size = int((await reader.readline())[1:])
                    items.append((await reader.readexactly(size + 2))[:-2])
                txn = items[1].decode()
                if items[0] == b"abort":
                    self.on_abort(txn)
                    if (fetch := open_fetches.pop(txn, None)) is not None and fetch.task is not None:
                        fetch.task.cancel()
                    continue
                pairs = items[2].decode().split(",") if items[2] != b"-" else []
                fields = dict(pair.split("=", 1) for pair in pairs)
                fetch = Fetch(self, writer, txn, fields, items[3], now_ms(), number)
                open_fetches[txn] = fetch
                fetch.task = asyncio.create_task(self._run(fetch, open_fetches))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            for fetch in list(open_fetches.values()):
                if fetch.task is not None:
                    fetch.task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def _run(self, fetch: Fetch, open_fetches: dict[str, Fetch]) -> None:
        try:
            await self.handle(fetch)
        finally:
            if open_fetches.get(fetch.txn) is fetch:
                del open_fetches[fetch.txn]

    def entry(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Return the entry for the configuration's list."""
        return {
            "instanceId": self.name,
            "hostPort": ":".join(map(str, self.address)),
            "zone": settings["areas"][self.zone],
            "machineType": settings["models"][self.kind],
            "cell": 0,
            "lifecycle": ("up", "draining", "removed")[self.state],
            "weight": self.weight,
            "startedAtMs": self.started,
        }

    def packed(self) -> bytes:
        """Return the record for a frame of the change log."""
        return struct.pack(
            ">I4sHBBBHIQ",
            self.ident,
            socket.inet_aton(self.address[0]),
            self.address[1],
            self.state,
            self.zone,
            self.kind,
            0,
            round(self.weight * 1000),
            self.started,
        )


# -- the change log --


class ChangeLog:
    """The numbered events of one router, over TCP, with an empty frame each second."""

    def __init__(self) -> None:
        self.address = free_address()
        self.events: list[tuple[int, bytes]] = []  # number 1 is the list in the configuration
        self._woken: list[asyncio.Event] = []
        self._server: asyncio.Server | None = None
        self.results: list[dict[str, Any]] = []  # the same events as JSON
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def add(self, kind: int, payload: bytes, result: dict[str, Any]) -> None:
        """Add an event, which counts as told from now on."""
        self.events.append((kind, payload))
        self.results.append({"seq": len(self.events), **result})
        for event in self._woken:
            event.set()

    def add_list(self, caches: list[Cache], settings: dict[str, Any], whole: bool = False) -> None:
        """Add a whole list, or changes."""
        instances = [cache.entry(settings) for cache in caches]
        fleet = {"generation": len(self.events) + 1, "reset": whole, "instances": instances}
        self.add(1 if whole else 2, b"".join(cache.packed() for cache in caches), {"fleet": fleet})

    def purge_object(self, key: int, at_ms: float) -> None:
        """Add the purge of an object."""
        at = int(at_ms)
        self.add(3, struct.pack(">QQ", key, at), {"invalidate": {"object": f"{key:016x}", "time": at}})

    def known(self) -> dict[str, Any]:
        """Return the events up to now as the configuration gives them."""
        return {"seq": len(self.events), "results": list(self.results)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        woken = asyncio.Event()
        self._woken.append(woken)
        self.writers.add(writer)
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            while not writer.is_closing():
                while last < len(self.events):
                    kind, payload = self.events[last]
                    last += 1
                    writer.write(struct.pack(">IQB", 9 + len(payload), last, kind) + payload)
                writer.write(struct.pack(">IQB", 9, last, 0))
                await writer.drain()
                woken.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(woken.wait(), 1.0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._woken.remove(woken)
            self.writers.discard(writer)
            writer.close()


# -- routers --


@dataclass(eq=False)
class Router:
    """One router, started by the `run` command of the deploy file."""

    name: str
    config: dict[str, Any]
    changelog: ChangeLog
    record: Record
    address: tuple[str, int] = field(default_factory=free_address)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    env: dict[str, str] = field(default_factory=dict)  # beside the platform's variables

    def start(self) -> None:
        """Write the configuration as of now, and start the program."""
        self.starts += 1
        table = {
            **self.config,
            "name": self.name,
            "listen": ":".join(map(str, self.address)),
            "seed": secrets.token_hex(8),
            "changelog": ":".join(map(str, self.changelog.address)),
            "known": self.changelog.known(),
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(table))
        (self.folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {name: value for name, value in os.environ.items() if not name.startswith("STONECOVE_")}
        env |= {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": table["listen"],
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(self.folder / "tmp"),
            **self.env,
        }
        with (self.folder / f"log{self.starts}").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.record.write("router", self.name, "started, process", self.process.pid)

    async def ready(self) -> None:
        """Wait until the router answers /status/live with 200, as the front does."""
        end = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < end:
            assert self.process is not None
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} has ended: {self.log()[-500:]}")
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                client = await Client.connect(self.address)
                try:
                    found = await client.ask("/status/live", {}, wait_s=1.0)
                finally:
                    client.close()
                if found.status == 200:
                    self.record.write("router", self.name, "is ready")
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} is not ready")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write("router", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def ended(self, within_s: float) -> int | None:
        """Wait for the end of the process; return its code, or None."""
        assert self.process is not None
        end = time.monotonic() + within_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        return self.process.poll()

    def log(self) -> str:
        """Return what the router has logged, over all its starts."""
        return "".join(path.read_text(errors="replace") for path in sorted(self.folder.glob("log*")))

    def close(self) -> None:
        """End the process, and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# -- clients --


@dataclass
class Answer:
    """How a request ended: `status` 0 without an answer, `why` then says how."""

    status: int
    fields: dict[str, str]
    body: bytes
    at_ms: float
    why: str = ""


def _pair(name: str, value: str) -> bytes:
    size = struct.pack(">I", len(value) | 1 << 31) if len(value) > 127 else bytes((len(value),))
    return bytes((len(name),)) + size + name.encode() + value.encode()


def fcgi(kind: int, ident: int, content: bytes = b"") -> bytes:
    """Return a FastCGI record."""
    return struct.pack(">BBHHBB", 1, kind, ident, len(content), 0, 0) + content


def fcgi_request(
    ident: int, path: str, fields: dict[str, str], body: bytes = b"", cgi: dict[str, str] | None = None
) -> bytes:
    """Return the records of a request; `cgi` has further CGI variables."""
    params = b"".join(_pair(*pair) for pair in {"SCRIPT_NAME": path, **(cgi or {})}.items())
    params += b"".join(_pair("HTTP_" + name.upper().replace("-", "_"), fields[name]) for name in fields)
    stdin = b"".join(fcgi(5, ident, body[at : at + 60_000]) for at in range(0, len(body), 60_000))
    return (
        fcgi(1, ident, struct.pack(">HB5x", 1, 1))
        + fcgi(4, ident, params)
        + fcgi(4, ident)
        + stdin
        + fcgi(5, ident)
    )


class Client:
    """A web server's connection: up to 32 requests at once."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._waiting: dict[int, tuple[asyncio.Future[Answer], bytearray]] = {}
        self._last_ident = 0
        self.over = False
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Client:
        """Open a connection."""
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    @property
    def open(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._waiting)

    def send(
        self, path: str, fields: dict[str, str], body: bytes = b"", cgi: dict[str, str] | None = None
    ) -> tuple[int, asyncio.Future[Answer]]:
        """Send a request; return its id and its answer to come."""
        ident = next(number for number in range(1, 34) if number not in self._waiting)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting[ident] = future, bytearray()
        self._writer.write(fcgi_request(ident, path, fields, body, cgi))
        return ident, future

    async def ask(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes = b"",
        wait_s: float = 10.0,
        cgi: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request, and return its answer; after `wait_s` it is aborted."""
        ident, future = self.send(path, fields, body, cgi)
        try:
            return await asyncio.wait_for(asyncio.shield(future), wait_s)
        except TimeoutError:
            self._writer.write(fcgi(2, ident))
            return Answer(0, {}, b"", now_ms(), "no answer in time")

    async def _read(self) -> None:
        why = "closed"
        try:
            while True:
                head = await self._reader.readexactly(8)
                _, kind, ident, length, padding, _ = struct.unpack(">BBHHBB", head)
                content = (await self._reader.readexactly(length + padding))[:length]
                if ident not in self._waiting:
                    continue
                future, data = self._waiting[ident]
                if kind == 6:
                    data += content
                elif kind == 3:
                    del self._waiting[ident]
                    if not future.done():
                        future.set_result(self._answer(bytes(data), content))
        except (OSError, asyncio.IncompleteReadError) as error:
            why = f"connection ended: {type(error).__name__}"
        self.over = True
        for future, data in self._waiting.values():
            if not future.done():
                future.set_result(Answer(0, {}, bytes(data), now_ms(), why))
        self._waiting.clear()

    @staticmethod
    def _answer(data: bytes, end: bytes) -> Answer:
        if not data and end[4] == 2:
            return Answer(503, {}, b"", now_ms(), "overloaded")
        head, _, body = data.partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if line)
        return Answer(int(fields.get("Status", "0")[:3]), fields, body, now_ms())

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()


def small_settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment; `changes` replace whole parts or parts' members."""
    settings: dict[str, Any] = {
        "areas": ["central", "edge-1"],
        "models": ["small-box", "large-box", "parent", "origin"],
        "zone": 1,
        "fleet_size": 1,
        "self_index": 0,
        "weights": "nominal",
        "discovery": "push",
        "classes": [
            {"name": "guide-video", "importance": 2.0, "late_worth": 0.15, "on_time": 500.0,
             "aim_stretch": 2.0, "deadline": 5000.0, "effect": "pure", "group": "all", "window": 5000.0},
            {"name": "item-image", "importance": 1.0, "late_worth": 0.2, "on_time": 400.0,
             "aim_stretch": 2.0, "deadline": 3000.0, "effect": "pure", "group": "all", "window": 5000.0},
            {"name": "pick-confirm", "importance": 3.0, "late_worth": 0.0, "on_time": 800.0,
             "deadline": 3000.0, "effect": "side_effect", "group": "all", "window": 5000.0},
        ],
        "domain": {
            "client_kb_per_s": 4200.0, "heed_within": 500.0, "home_hub": [0, 0],
            "instances_by_zone": [0, 1], "in_pieces": [True, False, False], "inlet_cost": 0.02,
            "joins": True, "lifetime_by_class": [0.0, 20000.0, 0.0], "may_pass_by": False,
            "never_kept": [False, False, True], "origin_bears": 3000.0, "origin_stops_at": 2.5,
            "parent_cold_from": 0.063, "parent_limit_factor": 2.0, "parent_warms_in": 21000.0,
            "purge_settles": 6000.0, "says": "all", "shield_kind": 2, "siblings": "silent",
            "stale_for": [0.0, 0.0, 0.0], "store_kind": 3, "worth_when_old": [0.7, 0.7, 0.7],
            "zone_link_kb_per_s": [0.0, 60000.0],
        },
        "limits": {
            "cancel": True, "conn_idle": 15000.0, "connect_timeout": 400.0, "max_retry_after": 1000.0,
            "may_probe": False, "most_held": 20000, "most_tries": 8, "peers": False, "retry_after": True,
            "second_copies": True, "streams_per_conn": 100,
        },
        "prices": {"handshake": 0.0},
        "report": {"fields": ["busy_reqs", "cpu_share", "x0"], "how": "piggyback"},
        "rules": {
            "answer_slack": 8.0, "cold_from": 0.25, "drain_grace": 250.0, "overload_for": 3000.0,
            "tip_multiple": 4.0, "warm_up": 16000.0,
        },
    }  # fmt: skip
    for name, value in changes.items():
        if isinstance(value, dict) and isinstance(settings.get(name), dict):
            settings[name] = {**settings[name], **value}
        else:
            settings[name] = value
    return settings


def fields_for(key: int, group: int, ttl_ms: float, size_kb: float, part: int = 0) -> dict[str, str]:
    """Return the fields of a request with a new id."""
    return {
        "X-Txn": secrets.token_hex(8),
        "X-Ttl-Ms": f"{ttl_ms:g}",
        "X-Row": f"{key:016x}",
        "X-Seg": str(part),
        "X-Bucket": str(group),
        "X-Working-Set-Kb": f"{size_kb:g}",
    }


class Scene:
    """One router with its caches, its change log, and clients that ask at a steady rate."""

    def __init__(
        self, record: Record, settings: dict[str, Any], nodes: list[Cache], log: ChangeLog | None = None
    ) -> None:
        self.record, self.settings, self.nodes = record, settings, nodes
        self.log = log or ChangeLog()
        config = {
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 12400000,
            "settings": settings,
        }
        self.router = Router("n0", config, self.log, record)
        self.answers: dict[int, int] = {}  # by status
        self._clients: list[Client] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, clients: int, listed: bool = True) -> None:
        """Start the servers and the router; `listed`: the change log has the list of nodes."""
        for node in self.nodes:
            await node.start()
        await self.log.start()
        if listed:
            self.log.add_list(self.nodes, self.settings, whole=True)
        self.router.start()
        await self.router.ready()
        self._clients = [await Client.connect(self.router.address) for _ in range(clients)]

    async def ask(self, cls: str, fields: dict[str, str]) -> Answer:
        """Send a request on the connection with the fewest open ones, and return its answer."""
        client = min(self._clients, key=lambda each: each.open)
        sent = now_ms()
        answer = await client.ask(f"/svc/{cls}", fields, wait_s=float(fields["X-Ttl-Ms"]) / 1000.0 + 0.5)
        self.answers[answer.status] = self.answers.get(answer.status, 0) + 1
        self.record.write(
            "client", fields["X-Txn"], answer.status, f"{answer.at_ms - sent:.0f} ms", answer.why
        )
        return answer

    async def load(
        self, seconds: float, rate: float, request: Callable[[], tuple[str, dict[str, str]]]
    ) -> None:
        """Send requests at a steady rate for so long; answers are counted as they come."""
        begin, sent = time.monotonic(), 0
        while (elapsed := time.monotonic() - begin) < seconds:
            while sent < elapsed * rate:
                sent += 1
                task: asyncio.Task[Any] = asyncio.create_task(self.ask(*request()))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(0.004)

    def close(self) -> None:
        """End everything."""
        for client in self._clients:
            client.close()
        self.router.close()


def main(case: Callable[[Record, bool], Awaitable[int]], folder: Path) -> None:
    """Run a case within 120 seconds; exit with 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    try:
        code = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except Exception as error:
        record.say("the case could not run:", repr(error))
        code = 2
    record.close()
    sys.exit(code)

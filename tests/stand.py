"""Run the real program for tests over sockets, with stand-ins for clients, caches and the change log."""

from __future__ import annotations

import contextlib
import json
import os
import queue
import random
import resource
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from stonecove.runtime.log_events import LogEvent

WAIT_TIMEOUT_S = 30.0  # generous, as no test measures speed with it
SETTINGS: dict[str, Any] = {
    "areas": ["hub", "edge-1"],
    "models": ["box", "parent", "origin"],
    "zone": 1,
    "fleet_size": 1,
    "classes": [
        {"name": "image", "deadline": 9000.0, "on_time": 4000.0, "effect": "pure", "importance": 1.0},
        {
            "name": "confirm",
            "deadline": 9000.0,
            "on_time": 4000.0,
            "effect": "side_effect",
            "importance": 3.0,
        },
        {"name": "page", "deadline": 9000.0, "on_time": 4000.0, "effect": "pure", "importance": 1.0},
    ],
    "domain": {
        "shield_kind": 1,
        "store_kind": 2,
        "client_kb_per_s": 9e6,
        "zone_link_kb_per_s": [0.0, 9e9],
        "instances_by_zone": [0, 1],
        "never_kept": [False, True, False],
        "heed_within": 500.0,
        "lifetime_by_class": [0.0, 0.0, 20000.0],
        "purge_settles": 6000.0,
        "joins": True,
    },
    "limits": {
        "most_tries": 8,
        "cancel": True,
        "second_copies": True,
        "connect_timeout": 400.0,
        "retry_after": True,
        "max_retry_after": 1000.0,
        "conn_idle": 15000.0,
        "streams_per_conn": 100,
    },
    "report": {"fields": ["busy_reqs", "x0"], "how": "piggyback"},
    "weights": "nominal",
    "rules": {
        "drain_grace": 250.0,
        "cold_from": 0.25,
        "warm_up": 16000.0,
        "tip_multiple": 4.0,
        "overload_for": 3000.0,
    },
}


def resp(*items: bytes) -> bytes:
    """Return items as an array of RESP bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class CacheCommand(NamedTuple):
    """A command that a cache received."""

    cache: Cache
    sock: socket.socket
    word: str
    txn: str
    fields: dict[str, str]
    body: bytes

    def reply(self, word: str = "200", body: bytes = b"", **fields: object) -> None:
        """Send an answer, of a cached copy unless `fields` say otherwise."""
        table = {"tell": "hit", "ver": "aa11", "born": int(time.time() * 1000), **fields}
        text = ",".join(f"{name}={value}" for name, value in table.items())
        self.sock.sendall(resp(self.txn.encode(), word.encode(), text.encode(), body))


class Listener:
    """Serves each connection in its own thread."""

    def __init__(self, serve: Callable[[socket.socket], None], sock: socket.socket | None = None) -> None:
        self._serve = serve
        self.sock = sock or socket.create_server(("127.0.0.1", 0))
        self.port: int = self.sock.getsockname()[1]
        self.accepted: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.accepted.append(sock)
            threading.Thread(target=self._serve_connection, args=(sock,), daemon=True).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        try:
            self._serve(sock)
        except (OSError, ValueError, struct.error):
            sock.close()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        for sock in (self.sock, *self.accepted):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Cache:
    """A cache that passes the commands it receives to the test."""

    def __init__(self, ident: int, commands: queue.Queue[CacheCommand]) -> None:
        self.ident, self.name = ident, f"s-{ident:08x}"
        self._commands = commands
        self.listener = Listener(self._serve)

    def _serve(self, sock: socket.socket) -> None:
        stream = sock.makefile("rb")
        while line := stream.readline():
            items = []
            for _ in range(int(line[1:])):
                size = int(stream.readline()[1:])
                items.append(stream.read(size + 2)[:-2])
            texts = [item.decode("latin-1") for item in items]
            pairs = texts[2].split(",") if len(items) > 2 and texts[2] != "-" else []
            fields = dict((name, value) for name, _, value in (pair.partition("=") for pair in pairs))
            self._commands.put(CacheCommand(self, sock, texts[0], texts[1], fields, items[-1]))


class ChangeLog:
    """A change log that records the sequence number at which each connection starts."""

    def __init__(self, sock: socket.socket | None = None) -> None:
        self.missed: Callable[[], bytes] | None = None  # returns the first bytes sent on a new connection
        self.since: queue.Queue[int] = queue.Queue()
        self.listener = Listener(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        last = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))[0]
        sock.sendall(self.missed() if self.missed else struct.pack(">IQB", 9, last, 0))
        self.since.put(last)
        sock.recv(1)

    def tell(self, number: int, kind: int, payload: bytes = b"") -> None:
        """Send an event on the latest connection."""
        Stand.wait(lambda: self.listener.accepted, "a connection to the change log")
        sock = self.listener.accepted[-1]
        sock.sendall(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)

    def trickle(self) -> None:
        """Send one more byte of a frame that is never completed."""
        with contextlib.suppress(OSError):
            self.listener.accepted[-1].send(b"\0")


def record(kind: int, ident: int, content: bytes = b"", padding: int = 0) -> bytes:
    """Return a FastCGI record."""
    return struct.pack(">BBHHBB", 1, kind, ident, len(content), padding, 0) + content + bytes(padding)


def pair(name: str, value: str) -> bytes:
    """Return a FastCGI name-value pair."""
    size = struct.pack(">I", len(value) | 1 << 31) if len(value) > 127 else bytes((len(value),))
    return bytes((len(name),)) + size + name.encode() + value.encode()


class Answer(NamedTuple):
    """A complete answer; status 0 if the request ended without a response."""

    ident: int
    status: int
    fields: dict[str, str]
    body: bytes
    protocol: int


class Client:
    """One FastCGI connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, WAIT_TIMEOUT_S)
        self._stream = self.sock.makefile("rb")
        self._out: dict[int, bytes] = {}

    def request(
        self,
        ident: int = 1,
        path: str = "/svc/image",
        body: bytes = b"",
        padding: int = 0,
        cgi: dict[str, str] | None = None,
        **fields: str | None,
    ) -> bytes:
        """Return the records of a request; fields with the value None are omitted."""
        table = {
            "X_TXN": secrets.token_hex(8),
            "X_TTL_MS": "8000",
            "X_SEG": "3",
            "X_ROW": "7f3a9c21e0b4d655",
            "X_BUCKET": "17",
            "X_WORKING_SET_KB": "4.5",
            **fields,
        }
        params = b"".join(
            pair(*variable) for variable in {"SCRIPT_NAME": path, **(cgi or {})}.items()
        ) + b"".join(pair(f"HTTP_{name}", value) for name, value in table.items() if value is not None)
        stdin = record(5, ident, body, padding) if body else b""
        return (
            record(1, ident, struct.pack(">HB5x", 1, 1))
            + record(4, ident, params[:20], padding)
            + record(4, ident, params[20:])
            + record(4, ident)
            + stdin
            + record(5, ident)
        )

    def send(self, ident: int = 1, **options: Any) -> None:
        """Send a request; for the options, see `request`."""
        self.sock.sendall(self.request(ident, **options))

    def record(self) -> tuple[int, int, bytes]:
        """Return kind, id and content of the next record; raises EOFError at the end of the connection."""
        head = self._stream.read(8)
        if len(head) < 8:
            raise EOFError
        _, kind, ident, length, padding, _ = struct.unpack(">BBHHBB", head)
        return kind, ident, self._stream.read(length + padding)[:length]

    def answer(self) -> Answer:
        """Return the next answer that is complete, whatever its id."""
        while True:
            kind, ident, content = self.record()
            if kind == 6:
                self._out[ident] = self._out.get(ident, b"") + content
            elif kind == 3:
                head, _, body = self._out.pop(ident, b"").partition(b"\r\n\r\n")
                lines = [line.split(": ", 1) for line in head.decode().split("\r\n") if line]
                fields = {name: value for name, value in lines}
                return Answer(ident, int(fields.get("Status", "0")[:3]), fields, body, content[4])

    def ask(self, **options: Any) -> Answer:
        """Send a request, and return the next answer."""
        self.send(**options)
        return self.answer()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
        self.sock.close()

    def ended(self) -> bool:
        """Return whether the router has closed the connection."""
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return True


class UnresponsiveAddress:
    """An address at which connections are not established until `open`, as with a machine that is down."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.port: int = self.sock.getsockname()[1]
        self._fillers = [socket.socket() for _ in range(2)]  # more would compete with the router in `open`
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))

    def open(self, timeout_s: float = WAIT_TIMEOUT_S) -> socket.socket:
        """Establish connections; return the first that is not one of the fillers.

        A connection that the kernel dropped for a full backlog is established once its client sends data.
        """
        filler_addresses = [filler.getsockname() for filler in self._fillers]
        self.sock.settimeout(timeout_s)
        while (found := self.sock.accept())[1] in filler_addresses:
            found[0].close()
        return found[0]

    def close(self) -> None:
        """Close the address and the connections that fill its backlog."""
        for sock in (self.sock, *self._fillers):
            sock.close()


def free_address() -> tuple[str, int]:
    """Return an address for a program to listen on.

    It is not 127.0.0.1, where a free port may become the local end of another connection at any time.
    """
    host = ".".join(("127", *(str(random.randint(1, 250)) for _ in range(3))))
    with socket.create_server((host, 0)) as free:
        port: int = free.getsockname()[1]
    return host, port


class Stand:
    """A running edge router with two caches, a parent and an origin, and its change log."""

    def __init__(
        self,
        descriptors: int | None = None,
        memory_mb: float = 192,
        sockets: int = 1024,
        env: dict[str, str] | None = None,
        missed: Callable[[Stand], bytes] | None = None,
        **settings: Any,
    ) -> None:
        self.commands: queue.Queue[CacheCommand] = queue.Queue()
        self.caches = [Cache(0x10 + index, self.commands) for index in range(2)]
        self.log = ChangeLog()
        self.address = free_address()
        nodes = [self.instance(cache.ident, cache.listener.port, 1, "box") for cache in self.caches]
        nodes += [self.instance(0x20, 1, 0, "parent"), self.instance(0x30, 2, 0, "origin")]
        first = {"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": nodes}}
        known = {"seq": 1, "results": [first]}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": ":".join(map(str, self.address)),
            "seed": "8c1f30d27a5be964",
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "changelog": f"127.0.0.1:{self.log.listener.port}",
            "settings": {**SETTINGS, **settings},
        }
        self.log.missed = missed and (lambda: missed(self))
        self._descriptors, self._env = descriptors, env or {}
        self.process = self.start()

    @staticmethod
    def plain_config() -> dict[str, Any]:
        """Return a configuration without nodes, for a free address."""
        return {
            "name": "n0",
            "listen": ":".join(map(str, free_address())),
            "seed": "1",
            "known": {"seq": 0, "results": []},
            "changelog": "127.0.0.1:1",
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }

    @staticmethod
    def instance(ident: int, port: int, zone: int, kind: str) -> dict[str, Any]:
        """Return a node as configurations have it."""
        return {
            "instanceId": f"s-{ident:08x}",
            "hostPort": f"127.0.0.1:{port}",
            "machineType": kind,
            "cell": 0,
            "zone": SETTINGS["areas"][zone],
            "lifecycle": "up",
            "weight": 9000,
            "startedAtMs": 0,
        }

    def record(self, cache: Cache, state: int, started: int = 0, port: int = 0) -> bytes:
        """Return a cache's record as the change log sends it."""
        return struct.pack(
            ">IIHBBBHIQ",
            cache.ident,
            0x7F000001,
            port or cache.listener.port,
            state,
            1,
            0,
            0,
            9_000_000,
            started,
        )

    def start(self) -> subprocess.Popen[bytes]:
        """Start the router in a new folder, and return its process once it serves or has ended."""
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name, "config.json")
        path.write_text(json.dumps(self.config))
        limit = self._descriptors

        def limit_descriptors() -> None:
            if limit:
                resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

        with Path(self.folder.name, "log").open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "stonecove"],
                stderr=output,
                preexec_fn=limit_descriptors,
                env={**os.environ, **self._env, "RELAY_CONFIG": str(path)},
            )
        self.wait(lambda: process.poll() is not None or self._is_live(), "the router is ready")
        return process

    def reload(self, text: str) -> None:
        """Replace the configuration file, and send SIGHUP to the router."""
        path = Path(self.folder.name, "config.json")
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").rename(path)
        self.process.send_signal(signal.SIGHUP)

    def _is_live(self) -> bool:
        try:
            return self.client().ask(path="/status/live").status == 200
        except (OSError, EOFError):
            return False

    def client(self) -> Client:
        """Return a new connection to the router."""
        return Client(self.address)

    def command(self, word: str = "fetch") -> CacheCommand:
        """Return the next command of this name that a cache receives; others are skipped."""
        while (found := self.commands.get(timeout=WAIT_TIMEOUT_S)).word != word:
            pass
        return found

    def maybe_command(self, timeout_s: float) -> CacheCommand | None:
        """Return the next command, or None if there is none within the timeout."""
        with contextlib.suppress(queue.Empty):
            return self.commands.get(timeout=timeout_s)
        return None

    def lines(self, event: str) -> list[str]:
        """Return the lines of an event in the router's log; the name must be that of a known event."""
        assert event in set(LogEvent) or event == "Exception", event
        text = Path(self.folder.name, "log").read_text()
        return [line for line in text.splitlines() if line.split(" ")[1:2] == [event]]

    @staticmethod
    def wait(condition: Callable[[], object], what: str) -> None:
        """Wait until a condition holds; fail with its description `what` after WAIT_TIMEOUT_S."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, f"timed out waiting for: {what}"
            time.sleep(0.02)

    def close(self) -> None:
        """Kill the router if it runs, and close all stand-ins."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        for listener in (self.log.listener, *[cache.listener for cache in self.caches]):
            listener.close()
        self.folder.cleanup()

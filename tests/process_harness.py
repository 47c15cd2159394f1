"""Runs a router process for tests over sockets, with stand-ins for clients, caches and the change log."""

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

WAIT_TIMEOUT_S = 30.0  # generous, as no test measures speed by it
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


def resp_array(*items: bytes) -> bytes:
    """Return items as an array of RESP bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class CacheCommand(NamedTuple):
    """A command that a cache received; `txn` is the transaction id of its request."""

    cache: Cache
    sock: socket.socket
    name: str
    txn: str
    fields: dict[str, str]
    body: bytes

    def reply(self, status: str = "200", body: bytes = b"", **fields: object) -> None:
        """Send a reply; its fields are those of a cached copy, apart from the given ones."""
        table = {"tell": "hit", "ver": "aa11", "born": int(time.time() * 1000), **fields}
        text = ",".join(f"{name}={value}" for name, value in table.items())
        self.sock.sendall(resp_array(self.txn.encode(), status.encode(), text.encode(), body))


class Listener:
    """A listening socket that serves each connection in a thread of its own."""

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
    """A cache that hands the commands it receives to the test."""

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
    """A change log; `start_numbers` gets the sequence number from which each connection continues.

    `first_frames`, if it is set, returns what a new connection is sent first, in place of a keep-alive.
    """

    def __init__(self, sock: socket.socket | None = None) -> None:
        self.first_frames: Callable[[], bytes] | None = None
        self.start_numbers: queue.Queue[int] = queue.Queue()
        self.listener = Listener(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        last = struct.unpack(">Q", sock.recv(8, socket.MSG_WAITALL))[0]
        sock.sendall(self.first_frames() if self.first_frames else struct.pack(">IQB", 9, last, 0))
        self.start_numbers.put(last)
        sock.recv(1)

    def send_event(self, number: int, kind: int, payload: bytes = b"") -> None:
        """Send an event on the latest connection."""
        ProcessHarness.wait_until(lambda: self.listener.accepted, "a connection to the change log")
        sock = self.listener.accepted[-1]
        sock.sendall(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)

    def send_byte(self) -> None:
        """Send one byte on the latest connection, as a part of a frame that is never completed."""
        with contextlib.suppress(OSError):
            self.listener.accepted[-1].send(b"\0")


def fastcgi_record(kind: int, ident: int, content: bytes = b"", padding: int = 0) -> bytes:
    """Return a FastCGI record."""
    return struct.pack(">BBHHBB", 1, kind, ident, len(content), padding, 0) + content + bytes(padding)


def name_value_pair(name: str, value: str) -> bytes:
    """Return a FastCGI name-value pair."""
    size = struct.pack(">I", len(value) | 1 << 31) if len(value) > 127 else bytes((len(value),))
    return bytes((len(name),)) + size + name.encode() + value.encode()


class Answer(NamedTuple):
    """A complete answer to a request; its status is 0 if the request ended without a response."""

    ident: int
    status: int
    fields: dict[str, str]
    body: bytes
    protocol: int


class Client:
    """A client with one FastCGI connection to the router."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, WAIT_TIMEOUT_S)
        self._stream = self.sock.makefile("rb")
        self._responses: dict[int, bytes] = {}

    def encode_request(
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
            name_value_pair(*variable) for variable in {"SCRIPT_NAME": path, **(cgi or {})}.items()
        ) + b"".join(
            name_value_pair(f"HTTP_{name}", value) for name, value in table.items() if value is not None
        )
        stdin = fastcgi_record(5, ident, body, padding) if body else b""
        return (
            fastcgi_record(1, ident, struct.pack(">HB5x", 1, 1))
            + fastcgi_record(4, ident, params[:20], padding)
            + fastcgi_record(4, ident, params[20:])
            + fastcgi_record(4, ident)
            + stdin
            + fastcgi_record(5, ident)
        )

    def send(self, ident: int = 1, **options: Any) -> None:
        """Send a request; for the options, see `encode_request`."""
        self.sock.sendall(self.encode_request(ident, **options))

    def read_record(self) -> tuple[int, int, bytes]:
        """Return the kind, request id and content of the next record; raise EOFError at the end."""
        head = self._stream.read(8)
        if len(head) < 8:
            raise EOFError
        _, kind, ident, length, padding, _ = struct.unpack(">BBHHBB", head)
        return kind, ident, self._stream.read(length + padding)[:length]

    def read_answer(self) -> Answer:
        """Return the next complete answer, whichever request it belongs to."""
        while True:
            kind, ident, content = self.read_record()
            if kind == 6:
                self._responses[ident] = self._responses.get(ident, b"") + content
            elif kind == 3:
                head, _, body = self._responses.pop(ident, b"").partition(b"\r\n\r\n")
                lines = [line.split(": ", 1) for line in head.decode().split("\r\n") if line]
                fields = {name: value for name, value in lines}
                return Answer(ident, int(fields.get("Status", "0")[:3]), fields, body, content[4])

    def exchange(self, **options: Any) -> Answer:
        """Send a request, and return the next answer."""
        self.send(**options)
        return self.read_answer()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
        self.sock.close()

    def is_disconnected(self) -> bool:
        """Wait for data or the end of the connection; return whether the router has closed or reset it."""
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return True


class UnresponsiveAddress:
    """An address at which connections are not established until `accept`, as with a machine that is down."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.port: int = self.sock.getsockname()[1]
        self._fillers = [socket.socket() for _ in range(2)]  # more would compete with the router in `accept`
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))

    def accept(self, timeout_s: float = WAIT_TIMEOUT_S) -> socket.socket:
        """Accept connections; return the first one that does not fill the backlog.

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
    """Return a loopback address with a free port for a program to listen on.

    The host is not 127.0.0.1, where a free port may become the local end of another connection at any time.
    """
    host = ".".join(("127", *(str(random.randint(1, 250)) for _ in range(3))))
    with socket.create_server((host, 0)) as free:
        port: int = free.getsockname()[1]
    return host, port


def rebind(port: int) -> socket.socket:
    """Return a listening socket at the port that another process has left."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(64)
    return sock


class ProcessHarness:
    """A router process with two caches and a change log.

    Its configuration also lists a parent and an origin, on whose ports nothing listens.
    """

    def __init__(
        self,
        descriptors: int | None = None,
        memory_mb: float = 192,
        sockets: int = 1024,
        env: dict[str, str] | None = None,
        first_frames: Callable[[ProcessHarness], bytes] | None = None,
        **settings: Any,
    ) -> None:
        self.commands: queue.Queue[CacheCommand] = queue.Queue()
        self.caches = [Cache(0x10 + index, self.commands) for index in range(2)]
        self.change_log = ChangeLog()
        self.address = free_address()
        nodes = [self.node_entry(cache.ident, cache.listener.port, 1, "box") for cache in self.caches]
        nodes += [self.node_entry(0x20, 1, 0, "parent"), self.node_entry(0x30, 2, 0, "origin")]
        first = {"seq": 1, "fleet": {"generation": 1, "reset": True, "instances": nodes}}
        known = {"seq": 1, "results": [first]}
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": ":".join(map(str, self.address)),
            "seed": "8c1f30d27a5be964",
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "changelog": f"127.0.0.1:{self.change_log.listener.port}",
            "settings": {**SETTINGS, **settings},
        }
        self.change_log.first_frames = first_frames and (lambda: first_frames(self))
        self._descriptors, self._env = descriptors, env or {}
        self.process = self.start()

    @staticmethod
    def config_without_nodes() -> dict[str, Any]:
        """Return the configuration of a router that listens on a free address and knows no nodes."""
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
    def node_entry(ident: int, port: int, zone: int, kind: str) -> dict[str, Any]:
        """Return the entry of a node in a configuration."""
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

    def endpoint_record(self, cache: Cache, state: int, started: int = 0, port: int = 0) -> bytes:
        """Return the record of a cache as the change log sends it."""
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
        self.wait_until(lambda: process.poll() is not None or self._is_live(), "the router is ready")
        return process

    def reload(self, text: str) -> None:
        """Replace the configuration file, and send SIGHUP to the router."""
        path = Path(self.folder.name, "config.json")
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").rename(path)
        self.process.send_signal(signal.SIGHUP)

    def _is_live(self) -> bool:
        try:
            return self.client().exchange(path="/status/live").status == 200
        except (OSError, EOFError):
            return False

    def client(self) -> Client:
        """Return a new connection to the router."""
        return Client(self.address)

    def next_command(self, name: str = "fetch") -> CacheCommand:
        """Return the next command of this name that a cache receives; skip the others."""
        while (found := self.commands.get(timeout=WAIT_TIMEOUT_S)).name != name:
            pass
        return found

    def next_command_within(self, timeout_s: float) -> CacheCommand | None:
        """Return the next command that a cache receives, or None if it receives none within the timeout."""
        with contextlib.suppress(queue.Empty):
            return self.commands.get(timeout=timeout_s)
        return None

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of an event in the router's log; the event must be a known one, or "Exception"."""
        assert event in set(LogEvent) or event == "Exception", event
        text = Path(self.folder.name, "log").read_text()
        return [line for line in text.splitlines() if line.split(" ")[1:2] == [event]]

    @staticmethod
    def wait_until(condition: Callable[[], object], description: str) -> None:
        """Wait until a condition holds; fail with its description after WAIT_TIMEOUT_S."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, f"timed out waiting for: {description}"
            time.sleep(0.02)

    def close(self) -> None:
        """Kill the router if it runs, and close the stand-ins."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        for listener in (self.change_log.listener, *[cache.listener for cache in self.caches]):
            listener.close()
        self.folder.cleanup()

"""The web server's side of a FastCGI connection, and the settings of a sample depot."""

from __future__ import annotations

import select
import socket
import struct

from stonecove.protocols.fastcgi import codec as fastcgi

ANSWER_TIMEOUT_S = 20.0  # socket timeout for a response
CLASSES = (("item-image", "pure", 3000.0), ("pick-confirm", "side_effect", 3000.0))


def settings() -> dict[str, object]:
    """Return the settings of a sample depot, in the form of the platform's configuration."""
    return {
        "areas": ["central", "edge-1"],
        "models": ["small-box", "parent", "origin"],
        "zone": 1,
        "fleet_size": 1,
        "weights": "nominal",
        "discovery": "push",
        "classes": [
            {
                "name": name,
                "importance": 1.0,
                "on_time": 400.0,
                "deadline": deadline,
                "effect": effect,
                "late_worth": 0.2,
                "window": 5000.0,
            }
            for name, effect, deadline in CLASSES
        ],
        "domain": {
            "client_kb_per_s": 4200.0,
            "heed_within": 500.0,
            "instances_by_zone": [0, 1],
            "joins": True,
            "never_kept": [False, True],
            "lifetime_by_class": [0.0, 0.0],
            "purge_settles": 6000.0,
            "shield_kind": 1,
            "store_kind": 2,
            "zone_link_kb_per_s": [0.0, 60000.0],
        },
        "limits": {
            "cancel": True,
            "connect_timeout": 400.0,
            "max_retry_after": 1000.0,
            "most_tries": 8,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "rules": {
            "cold_from": 0.25,
            "drain_grace": 250.0,
            "overload_for": 3000.0,
            "tip_multiple": 4.0,
            "warm_up": 16000.0,
        },
    }


class FastCgiClient:
    """A FastCGI connection that sends one request at a time."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        """Connect to a router."""
        self._sock = socket.create_connection((host, port), ANSWER_TIMEOUT_S)
        self._stream = self._sock.makefile("rb")

    def closed(self) -> bool:
        """Return whether the router has closed the connection while it was idle."""
        if not select.select([self._sock], [], [], 0)[0]:
            return False
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

    def request(self, path: str, **fields: str) -> tuple[str, bytes]:
        """Return the status line and the body of the response; raise EOFError if there is none."""
        variables = {"SCRIPT_NAME": path, **{f"HTTP_X_{name}": value for name, value in fields.items()}}
        params = b"".join(
            bytes((len(name), len(value))) + name.encode() + value.encode()
            for name, value in variables.items()
        )
        self._sock.sendall(
            fastcgi.record(fastcgi.BEGIN, 1, struct.pack(">HB5x", fastcgi.RESPONDER, fastcgi.KEEP_CONN))
            + fastcgi.record(fastcgi.PARAMS, 1, params)
            + fastcgi.record(fastcgi.PARAMS, 1)
            + fastcgi.record(fastcgi.STDIN, 1)
        )
        output = b""
        while len(head := self._stream.read(8)) == 8:
            _, kind, _, length, padding, _ = struct.unpack(">BBHHBB", head)
            content = self._stream.read(length + padding)[:length]
            if kind == fastcgi.STDOUT:
                output += content
            elif kind == fastcgi.END:
                head, _, body = output.partition(b"\r\n\r\n")
                return head.decode("latin-1").partition("\r\n")[0].removeprefix("Status: "), body
        raise EOFError("the router closed the connection")

    def request_item(
        self, number: int, item: int, cls: str = "item-image", kb: int = 40
    ) -> tuple[str, bytes]:
        """Request an object under a transaction id derived from the number."""
        return self.request(
            f"/svc/{cls}",
            TXN=f"{number + 1:016x}",
            TTL_MS="3000",
            ROW=f"{item:016x}",
            BUCKET="17",
            WORKING_SET_KB=str(kb),
        )

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

"""Request one part of an object from an edge router, as a web server does.

python examples/ask.py 127.0.0.1:6565 item-image 7f3a9c21e0b4d655
"""

from __future__ import annotations

import secrets
import socket
import struct
import sys

from stonecove.protocols.fastcgi import codec as fastcgi


def pair(name: str, value: str) -> bytes:
    """Encode a FastCGI name-value pair of fewer than 128 bytes each."""
    return bytes((len(name), len(value))) + name.encode() + value.encode()


def main(address: str, cls: str, item: str, part: str = "0") -> int:
    """Print the response headers and the body's size; return 0 for status 200, else 1."""
    fields = {
        "X_TXN": secrets.token_hex(8),
        "X_TTL_MS": "3000",
        "X_ROW": item.zfill(16),
        "X_SEG": part,
        "X_BUCKET": "17",
        "X_WORKING_SET_KB": "40",
    }
    params = pair("SCRIPT_NAME", f"/svc/{cls}") + b"".join(
        pair(f"HTTP_{name}", value) for name, value in fields.items()
    )
    host, _, port = address.rpartition(":")
    response = b""
    with socket.create_connection((host, int(port)), 10) as sock, sock.makefile("rb") as stream:
        sock.sendall(
            fastcgi.record(fastcgi.BEGIN, 1, struct.pack(">HB5x", 1, 1))
            + fastcgi.record(fastcgi.PARAMS, 1, params)
            + fastcgi.record(fastcgi.PARAMS, 1)
            + fastcgi.record(fastcgi.STDIN, 1)
        )
        while len(record_header := stream.read(8)) == 8:
            _, kind, _, length, padding, _ = struct.unpack(">BBHHBB", record_header)
            content = stream.read(length + padding)[:length]
            if kind == fastcgi.END:
                break
            response += content
    headers, _, body = response.partition(b"\r\n\r\n")
    print(headers.decode().replace("\r\n", "\n"))
    print(f"{len(body)} bytes")
    return 0 if headers.startswith(b"Status: 200") else 1


if __name__ == "__main__":
    if len(sys.argv) not in (4, 5):
        sys.exit("usage: ask.py ADDRESS CLASS OBJECT [PART]")
    sys.exit(main(*sys.argv[1:]))

"""Health check of an instance by the platform's own request: FastCGI, `/status/live`."""

from __future__ import annotations

import struct

import trio

from stonecove.protocols.fastcgi import codec as fastcgi

LIVENESS_PATH = b"/status/live"
MAX_RESPONSE_BYTES = 4096


def liveness_request() -> bytes:
    """Return the records of one request."""
    params = bytes((len(b"SCRIPT_NAME"), len(LIVENESS_PATH))) + b"SCRIPT_NAME" + LIVENESS_PATH
    return (
        fastcgi.record(fastcgi.BEGIN, 1, struct.pack(">HB5x", fastcgi.RESPONDER, 0))
        + fastcgi.record(fastcgi.PARAMS, 1, params)
        + fastcgi.record(fastcgi.PARAMS, 1)
        + fastcgi.record(fastcgi.STDIN, 1)
    )


def response_is_ok(data: bytes) -> bool | None:
    """Return whether the response has status 200; None while it is incomplete."""
    offset, output = 0, b""
    while offset + 8 <= len(data):
        _, kind, _, length, padding, _ = struct.unpack_from(">BBHHBB", data, offset)
        end = offset + 8 + length + padding
        if end > len(data):
            return None
        if kind == fastcgi.STDOUT:
            output += data[offset + 8 : offset + 8 + length]
        elif kind == fastcgi.END:
            return output.startswith(b"Status: 200")
        offset = end
    return None


async def check_liveness(address: tuple[str, int], timeout_s: float) -> bool:
    """Return whether an instance answers with status 200 within the timeout."""
    with trio.move_on_after(timeout_s):
        try:
            with trio.socket.socket() as sock:
                await sock.connect(address)
                await sock.send(liveness_request())
                data = b""
                while len(data) < MAX_RESPONSE_BYTES:
                    received = await sock.recv(MAX_RESPONSE_BYTES)
                    if not received:
                        return False
                    data += received
                    if (healthy := response_is_ok(data)) is not None:
                        return healthy
        except OSError:
            return False
    return False

"""Asks an instance whether it serves, by the platform's own question: FastCGI, `/status/live`."""

from __future__ import annotations

import struct

import trio

from stonecove.protocols.fastcgi import codec as fastcgi

PATH = b"/status/live"
MOST = 4096  # bytes of an answer that is worth reading


def question() -> bytes:
    """The records of one request."""
    params = bytes((len(b"SCRIPT_NAME"), len(PATH))) + b"SCRIPT_NAME" + PATH
    return (
        fastcgi.record(fastcgi.BEGIN, 1, struct.pack(">HB5x", fastcgi.RESPONDER, 0))
        + fastcgi.record(fastcgi.PARAMS, 1, params)
        + fastcgi.record(fastcgi.PARAMS, 1)
        + fastcgi.record(fastcgi.STDIN, 1)
    )


def answered(data: bytes) -> bool | None:
    """Whether the answer says 200; None while it is not whole."""
    at, out = 0, b""
    while at + 8 <= len(data):
        _, kind, _, length, padding, _ = struct.unpack_from(">BBHHBB", data, at)
        end = at + 8 + length + padding
        if end > len(data):
            return None
        if kind == fastcgi.STDOUT:
            out += data[at + 8 : at + 8 + length]
        elif kind == fastcgi.END:
            return out.startswith(b"Status: 200")
        at = end
    return None


async def live(address: tuple[str, int], within: float) -> bool:
    """Whether an instance answers 200 within so many seconds."""
    with trio.move_on_after(within):
        try:
            with trio.socket.socket() as sock:
                await sock.connect(address)
                await sock.send(question())
                data = b""
                while len(data) < MOST:
                    part = await sock.recv(MOST)
                    if not part:
                        return False
                    data += part
                    if (good := answered(data)) is not None:
                        return good
        except OSError:
            return False
    return False

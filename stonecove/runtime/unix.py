"""Listening Unix sockets that are ours alone, for whoever answers questions or lends on this host."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Awaitable, Callable

import trio

NO_ROOM_WAIT = 0.1  # seconds


def bound(path: str, backlog: int = 16) -> socket.socket:
    """A non-blocking listener with rights 0600 from the start; raises OSError. What is at the path stays the
    caller's matter.
    """
    listener = socket.socket(socket.AF_UNIX)
    try:
        before = os.umask(0o177)
        try:
            listener.bind(path)
        finally:
            os.umask(before)
        listener.listen(backlog)
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener


async def accept_all(
    listener: socket.socket, serve: Callable[[trio.socket.SocketType], Awaitable[None]]
) -> None:
    """Serves each connection in a task of its own, until it is cancelled; then the listener is closed.

    Guards against running out of descriptors: it waits, and goes on.
    """
    with trio.socket.from_stdlib_socket(listener) as sock:
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    client, _ = await sock.accept()
                except OSError as error:
                    if error.errno not in (errno.EMFILE, errno.ENFILE):
                        raise
                    await trio.sleep(NO_ROOM_WAIT)
                    continue
                nursery.start_soon(serve, client)

"""Private listening Unix sockets, for queries and leases on this host."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Awaitable, Callable

import trio

DESCRIPTOR_RETRY_S = 0.1


def bind_private(path: str, backlog: int = 16) -> socket.socket:
    """Return a non-blocking listener whose socket has mode 0600 from the start; raise OSError if that fails.

    The caller has to deal with whatever exists at the path.
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


async def serve_connections(
    listener: socket.socket, serve: Callable[[trio.socket.SocketType], Awaitable[None]]
) -> None:
    """Serve each connection in a task of its own until cancelled; then close the listener.

    If descriptors are exhausted, it waits and tries again.
    """
    with trio.socket.from_stdlib_socket(listener) as sock:
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    client, _ = await sock.accept()
                except OSError as error:
                    if error.errno not in (errno.EMFILE, errno.ENFILE):
                        raise
                    await trio.sleep(DESCRIPTOR_RETRY_S)
                    continue
                nursery.start_soon(serve, client)

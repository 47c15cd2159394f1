"""The state of a connection's other side, as far as the system knows it."""

from __future__ import annotations

import select
import socket

# Not all systems report a peer's end separately from the data before it.
_PEER_ENDED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def peer_has_ended(sock: socket.socket) -> bool:
    """Return whether the peer has ended or reset the connection, though data before its end is unread.

    False where the system can't tell; reading up to the end of the data shows it in any case.
    """
    try:
        poller = select.poll()
        poller.register(sock, _PEER_ENDED)
        return any(events & _PEER_ENDED for _, events in poller.poll(0))
    except (OSError, ValueError):  # the socket is closed on this side, or the system can't poll it
        return False

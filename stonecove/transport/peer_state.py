"""The state of a connection's other side, as far as the system knows it without reading."""

from __future__ import annotations

import fcntl
import select
import sys
import termios
from typing import Protocol

# Not all systems report a peer's end separately from the data before it.
_ENDED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


class HasFileno(Protocol):
    """A socket of any library."""

    def fileno(self) -> int:
        """Return the file descriptor; negative once it is closed."""


def _poll(sock: HasFileno, events: int) -> int:
    """Return which of these events there are now; none for a socket that can't be polled."""
    try:
        poller = select.poll()
        poller.register(sock.fileno(), events)
        return sum(found for _, found in poller.poll(0)) & events
    except (OSError, ValueError):
        return 0


def peer_has_ended(sock: HasFileno) -> bool:
    """Return whether the peer has ended or reset the connection, though data before its end is unread.

    False where the system can't tell; reading up to the end of the data shows it in any case.
    """
    return bool(_poll(sock, _ENDED))


def has_input(sock: HasFileno) -> bool:
    """Return whether a read would return at once, with data or with the end of the connection."""
    return bool(_poll(sock, select.POLLIN | _ENDED))


def unread_bytes(sock: HasFileno) -> int:
    """Return how many bytes the system holds that were not read; 0 where it can't tell."""
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
    except (OSError, ValueError):
        return 0

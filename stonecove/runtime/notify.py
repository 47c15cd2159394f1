"""The notification protocol of systemd, as in sd_notify(3).

States are sent as datagrams to the socket named by NOTIFY_SOCKET.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Mapping


def notify(*lines: str, env: Mapping[str, str] = os.environ) -> bool:
    """Send states such as READY=1; return whether they were sent.

    It returns False if NOTIFY_SOCKET is unset or nothing receives there; it never blocks or raises.
    """
    path = env.get("NOTIFY_SOCKET", "")
    if not path.startswith(("/", "@")):
        return False
    address = "\0" + path[1:] if path.startswith("@") else path
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC) as sock:
            sock.setblocking(False)
            sock.sendto("\n".join(lines).encode(), address)
    except OSError:
        return False
    return True


def notify_reloading() -> bool:
    """Send RELOADING=1 with the monotonic time, which the protocol requires."""
    return notify("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")


def watchdog_interval_s(env: Mapping[str, str] = os.environ) -> float | None:
    """Return the seconds between two watchdog notifications; None if no watchdog is configured.

    That is half of the time-out that the service manager allows.
    """
    if env.get("WATCHDOG_PID", str(os.getpid())) != str(os.getpid()):
        return None
    try:
        allowed = int(env.get("WATCHDOG_USEC", "0"))
    except ValueError:
        return None
    return allowed / 2e6 if allowed > 0 else None

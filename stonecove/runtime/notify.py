"""The notify protocol of systemd (sd_notify(3)): states told by a datagram to the socket that
NOTIFY_SOCKET names.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Mapping


def notify(*lines: str, env: Mapping[str, str] = os.environ) -> bool:
    """Tells states such as READY=1; False if nobody asked for it or nobody hears. Never waits, never
    raises.
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


def reloading() -> bool:
    """RELOADING=1 wants the steady clock beside it."""
    return notify("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")


def watchdog_every(env: Mapping[str, str] = os.environ) -> float | None:
    """Seconds between two signs of life that the manager wants: half of what it allows; None if it wants
    none.
    """
    if env.get("WATCHDOG_PID", str(os.getpid())) != str(os.getpid()):
        return None
    try:
        allowed = int(env.get("WATCHDOG_USEC", "0"))
    except ValueError:
        return None
    return allowed / 2e6 if allowed > 0 else None

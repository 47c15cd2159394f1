"""Client of the supervisor's control socket: one JSON object per line in each direction.

The socket has rights 0600, so only processes of the same user can send commands.
"""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

SOCKET_NAME = "control.sock"
MAX_COMMAND_BYTES = 1 << 20


class ControlError(Exception):
    """The supervisor can't be reached or rejects a command; the text is one line."""


def send_command(folder: Path, command: str, timeout_s: float = 10.0, **arguments: Any) -> dict[str, Any]:
    """Send a command to the supervisor of a folder and return its answer; raises ControlError."""
    path = folder / SOCKET_NAME
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(timeout_s)
            sock.connect(str(path))
            sock.sendall(json.dumps({"do": command, **arguments}).encode() + b"\n")
            data = b""
            while not data.endswith(b"\n"):
                received = sock.recv(65_536)
                if not received:
                    break
                data += received
        answer = json.loads(data)
    except FileNotFoundError:
        raise ControlError(f"{folder}: no supervisor runs here") from None
    except ConnectionRefusedError:
        raise ControlError(f"{folder}: the supervisor is gone; its instances may run on") from None
    except (OSError, ValueError) as error:
        raise ControlError(f"{path}: {error}") from None
    if not isinstance(answer, dict):
        raise ControlError(f"{path}: an answer that is no object")
    if "error" in answer:
        raise ControlError(str(answer["error"]))
    return answer

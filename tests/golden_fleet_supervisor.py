"""Golden cases of the fleet area: answers of the supervisor's control socket."""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio
import trio.testing
from golden_fleet_files import notify_socket, temporary_folder
from golden_folder import Meaning, Snapshot

from stonecove.fleet import control, journal, runfile
from stonecove.fleet.supervisor import Supervisor

MASKS = {"pid": "<pid>", "up_s": "<seconds>", "memory_mb": "<number>", "descriptors": "<number>"}


def _masked(value: Any, folder: str) -> Any:
    """Return an answer with the values that differ between runs masked."""
    if isinstance(value, dict):
        return {
            name: MASKS[name]
            if name in MASKS and isinstance(item, (int, float))
            else {instance: "<pid>" for instance in item}
            if name == "pids"
            else _masked(item, folder)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [_masked(item, folder) for item in value]
    return value.replace(folder, "<folder>") if isinstance(value, str) else value


def _send(folder: Path, data: bytes) -> Any:
    """Send bytes to the control socket and return its answer."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(10.0)
        sock.connect(str(folder / "control.sock"))
        sock.sendall(data)
        with sock.makefile("rb") as stream:
            line = stream.readline()
    assert line.endswith(b"\n")
    return json.loads(line)


COMMANDS: tuple[dict[str, Any], ...] = (
    {"do": "status"},
    {"do": "sing"},
    {},
    {"do": "start", "names": ["r-9"]},
    {"do": "stop", "names": ["r-1"]},
    {"do": "start", "names": ["r-1"]},
    {"do": "roll", "names": [], "out": 0},
    {"do": "status"},
    {"do": "roll", "out": 1},
    {"do": "stop-roll"},
    {"do": "restart", "names": ["r-1"]},
    {"do": "reload"},
    {"do": "status"},
    {"do": "stop-roll"},
    {"do": "stop", "names": ["r-0"]},
)


def _supervisor_answers() -> Meaning:
    """Return a supervisor's answers and the files that it leaves behind.

    It adopts `r-0` (a sleeping process in place of a router) and can't start `r-1`. The clock only
    advances by a jump until the last status has been read.
    """
    clock = trio.testing.MockClock()
    results: Meaning = {}

    async def send_command(folder: Path, command: dict[str, Any]) -> Any:
        data = json.dumps(command).encode() + b"\n"
        return await trio.to_thread.run_sync(_send, folder, data)

    async def play(base_folder: Path, received_messages: Callable[[], list[str]]) -> None:
        folder = base_folder / "fleet"
        operator = base_folder / "operator.cue"
        instances = ", ".join(
            f'"r-{number}": {{config: "{base_folder}/none.json", listen: "127.0.0.1:{number + 1}"}}'
            for number in range(2)
        )
        operator.write_text(
            f'fleet: {{folder: "{folder}", instances: {{{instances}}}, restarts: most: 0, leases: {{}}}}'
        )
        sleeping_process = subprocess.Popen(["sleep", "60"])
        try:
            (folder / "r-0").mkdir(parents=True)
            start = runfile.start_ticks(sleeping_process.pid) or 0
            runfile.write(folder / "r-0", runfile.Run(sleeping_process.pid, start, runfile.boot_id()))
            supervisor = Supervisor(operator)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(supervisor.run)
                await trio.testing.wait_all_tasks_blocked(0.02)
                permissions = (folder / "control.sock").stat().st_mode & 0o777
                results["control_socket_rights"] = oct(permissions)
                with (folder / "r-0" / "log.pipe").open("wb", buffering=0) as pipe:
                    pipe.write(b"1764576000.000 stats served=7 open=3 share=0.25\n1764576000.100 later a=b\n")
                await trio.testing.wait_all_tasks_blocked(0.02)
                results["answers"] = [
                    {
                        "question": command,
                        "answer": _masked(await send_command(folder, command), str(base_folder)),
                    }
                    for command in COMMANDS
                ]
                malformed_answer = await trio.to_thread.run_sync(_send, folder, b"no JSON\n")
                results["keys of the answer to what is no JSON"] = sorted(malformed_answer)
                for _ in range(500):  # until the supervisor has noticed the exit of r-0
                    if runfile.read(folder / "r-0") is None:
                        break
                    await trio.testing.wait_all_tasks_blocked(0.02)
                clock.jump(0.06)
                await trio.testing.wait_all_tasks_blocked(0.02)
                results["last status"] = _masked(
                    await send_command(folder, {"do": "status"}), str(base_folder)
                )
                clock.rate = 1.0
                signal.raise_signal(signal.SIGTERM)
        finally:
            sleeping_process.kill()
            sleeping_process.wait()
        results["notified"] = received_messages()
        results["files"] = sorted(str(path.relative_to(folder)) for path in folder.rglob("*"))
        records, _ = journal.decode((folder / "journal").read_bytes())
        results["journal"] = [_masked(record, str(base_folder)) for record in records]

    with temporary_folder() as base_folder, notify_socket() as received_messages:
        trio.run(play, base_folder, received_messages, clock=clock)
    return results


def _control_errors() -> Meaning:
    """Return the client's errors for missing, failing and malformed answers of the control socket."""
    results: Meaning = {}
    with temporary_folder() as folder:

        def status_error() -> str:
            try:
                return str(control.send_command(folder, "status", 1.0))
            except control.ControlError as error:
                return re.sub(r": Expecting.*", ": <no JSON>", str(error).replace(str(folder), "<folder>"))

        results["no socket"] = status_error()
        with socket.socket(socket.AF_UNIX) as sock:
            sock.bind(str(folder / control.SOCKET_NAME))
        results["nobody listens"] = status_error()
        (folder / control.SOCKET_NAME).unlink()
        with socket.socket(socket.AF_UNIX) as sock:
            sock.bind(str(folder / control.SOCKET_NAME))
            sock.listen()
            for name, data in (("an error", b'{"error": "no"}\n'), ("a list", b"[]\n"), ("no JSON", b"x\n")):
                results[name] = _call_with_answer(sock, data, status_error)
    return results


def _call_with_answer(listener: socket.socket, data: bytes, call: Callable[[], str]) -> str:
    import threading

    def answer() -> None:
        client, _ = listener.accept()
        with client:
            client.recv(1000)
            client.sendall(data)

    thread = threading.Thread(target=answer)
    thread.start()
    result = call()
    thread.join()
    return result


CASES = (
    Snapshot("control-supervisor", _supervisor_answers),
    Snapshot("control-errors", _control_errors),
)

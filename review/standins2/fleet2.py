"""A supervisor with a group of routers on loopback addresses, by its command line."""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import json
import os
import signal
import subprocess
import time
from pathlib import Path
from typing import Any

from depot2 import ROOT, Scene, free_address

COMMAND = [".venv/bin/python", "-m", "stonecove", "fleet"]
MODULES = ("click", "lark")  # of the extras cli and operator


class Fleet:
    """The supervisor's process, its files and its instances `r-0`, `r-1`, ..."""

    def __init__(self, scene: Scene) -> None:
        missing = [name for name in MODULES if importlib.util.find_spec(name) is None]
        if missing:
            raise RuntimeError(f"not installed: {', '.join(missing)}; run review/build-2.sh")
        self._scene = scene
        self._folder = scene.router.folder
        self._operator = self._folder / "operator.cue"
        self._log = self._folder / "supervisor"
        self._host, self._port = free_address()
        self._process: subprocess.Popen[bytes] | None = None

    def write(self, count: int) -> None:
        """Write the operator's file with so many instances."""
        group = f'config: "{self._folder}/base.json", host: "{self._host}", first_port: {self._port}'
        text = (
            f'fleet: {{\n    folder: "{self._folder}/fleet"\n    groups: r: {{{group}, count: {count}}}\n}}\n'
        )
        new = self._operator.with_suffix(".new")
        new.write_text(text)
        new.rename(self._operator)
        self._scene.record.say(f"the operator's file names {count} instances")

    def start(self, count: int) -> None:
        """Write all files, and start the supervisor."""
        log = self._scene.log
        table: dict[str, Any] = {
            "name": "base",
            "listen": "127.0.0.1:1",
            "seed": "1",
            "limits": {},
            "changelog": ":".join(map(str, log.address)),
            "known": log.known(),
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "settings": self._scene.settings,
        }
        (self._folder / "base.json").write_text(json.dumps(table))
        self.write(count)
        env = {name: value for name, value in os.environ.items() if not name.startswith("STONECOVE_")}
        with self._log.open("wb") as output:
            self._process = subprocess.Popen(
                [*COMMAND, "--operator", str(self._operator), "run"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._scene.record.write("supervisor started, process", self._process.pid)

    def roll(self) -> subprocess.Popen[bytes]:
        """Begin a roll of all instances; return the command's process."""
        self._scene.record.say("an operator rolls all instances")
        return subprocess.Popen(
            [*COMMAND, "--operator", str(self._operator), "roll"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def reload(self) -> None:
        """Send SIGHUP to the supervisor."""
        assert self._process is not None
        self._scene.record.say("the supervisor gets SIGHUP")
        self._process.send_signal(signal.SIGHUP)

    def log(self) -> str:
        """Return what the supervisor has logged."""
        return self._log.read_text(errors="replace")

    def ended(self) -> int | None:
        """Return the exit code of the supervisor; None while it runs."""
        assert self._process is not None
        return self._process.poll()

    async def logged(self, text: str, within_s: float) -> bool:
        """Wait until the log has this text; return False if that takes longer or the supervisor ends."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if text in self.log():
                return True
            if self.ended() is not None:
                return False
            await asyncio.sleep(0.05)
        return False

    def running(self) -> dict[str, int]:
        """Return the process ids of the instances that run."""
        found = {}
        for path in (self._folder / "fleet").glob("*/run.json"):
            with contextlib.suppress(OSError, ValueError, IndexError, KeyError):
                run = json.loads(path.read_text())
                fields = Path(f"/proc/{run['pid']}/stat").read_text().rpartition(")")[2].split()
                if fields[0] not in "ZX" and int(fields[19]) == run["start"]:
                    found[path.parent.name] = int(run["pid"])
        return found

    def close(self) -> None:
        """End the supervisor and all instances."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        for pid in self.running().values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)

"""The example does what the README says, on free ports."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from stand import free_address

EXAMPLES = Path(__file__).parent.parent / "examples"


@contextmanager
def running(*command: str, said: str, on: str, **env: str) -> Iterator[subprocess.Popen[str]]:
    """Starts a program and waits for the line that says it is up; ends it in the end."""
    process = subprocess.Popen(
        [sys.executable, *command],
        stdin=subprocess.PIPE,
        text=True,
        env={**os.environ, **env},
        **{on: subprocess.PIPE},
    )  # type: ignore[call-overload]
    try:
        for line in getattr(process, on):
            if said in line:
                break
        else:
            raise AssertionError(f"{command} ended early")
        yield process
    finally:
        process.kill()
        process.communicate()


def ask(address: str, *what: str) -> str:
    done = subprocess.run(
        [sys.executable, str(EXAMPLES / "ask.py"), address, *what], capture_output=True, text=True, timeout=30
    )
    assert done.returncode == 0, done.stdout + done.stderr
    return done.stdout


def test_the_example_serves(tmp_path: Path) -> None:
    text = (EXAMPLES / "config.json").read_text()
    for old in sorted(set(re.findall(r"127\.0\.0\.1:\d+", text))):
        text = text.replace(old, ":".join(map(str, free_address())))
    config = tmp_path / "config.json"
    config.write_text(text)
    found = re.search(r'"listen": "(.*?)"', text)
    assert found
    depot = running(str(EXAMPLES / "toy_server.py"), str(config), said="toy depot is up", on="stdout")
    with (
        depot as toy,
        running(
            "-m", "stonecove", said="change_log_connected", on="stderr", RELAY_CONFIG=str(config)
        ) as router,
    ):
        for note in ("filled", "hit"):
            answer = ask(found[1], "item-image", "7f3a9c21e0b4d655")
            assert "Status: 200 OK" in answer and answer.endswith("1900 bytes\n")
            assert toy.stdout
            assert toy.stdout.readline().endswith(f"item-image 7f3a9c21e0b4d655 part 0: {note}\n")
        ask(found[1], "pick-confirm", "1")
        assert toy.stdin and router.stderr
        toy.stdin.write("drain s-00000011\n")
        toy.stdin.flush()
        assert any("node=s-00000011 state=draining" in line for line in router.stderr)

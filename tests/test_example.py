"""Run the example of the README on free ports."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from process_harness import free_address

EXAMPLES = Path(__file__).parent.parent / "examples"


@contextmanager
def running(*command: str, ready_text: str, stream: str, **env: str) -> Iterator[subprocess.Popen[str]]:
    """Start a program, wait for the line that contains `ready_text`, and kill it at the end."""
    process = subprocess.Popen(
        [sys.executable, *command],
        stdin=subprocess.PIPE,
        text=True,
        env={**os.environ, **env},
        **{stream: subprocess.PIPE},
    )  # type: ignore[call-overload]
    try:
        for line in getattr(process, stream):
            if ready_text in line:
                break
        else:
            raise AssertionError(f"{command} ended early")
        yield process
    finally:
        process.kill()
        process.communicate()


def run_client(address: str, *arguments: str) -> str:
    result = subprocess.run(
        [sys.executable, str(EXAMPLES / "ask.py"), address, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    return result.stdout


def test_example_router_serves_requests_and_drains_a_cache(tmp_path: Path) -> None:
    config_text = (EXAMPLES / "config.json").read_text()
    for address_text in sorted(set(re.findall(r"127\.0\.0\.1:\d+", config_text))):
        config_text = config_text.replace(address_text, ":".join(map(str, free_address())))
    config = tmp_path / "config.json"
    config.write_text(config_text)
    listen_match = re.search(r'"listen": "(.*?)"', config_text)
    assert listen_match
    depot = running(
        str(EXAMPLES / "toy_server.py"), str(config), ready_text="toy depot is up", stream="stdout"
    )
    with (
        depot as toy_server,
        running(
            "-m", "stonecove", ready_text="change_log_connected", stream="stderr", RELAY_CONFIG=str(config)
        ) as router,
    ):
        for cache_status in ("filled", "hit"):
            answer = run_client(listen_match[1], "item-image", "7f3a9c21e0b4d655")
            assert "Status: 200 OK" in answer and answer.endswith("1900 bytes\n")
            assert toy_server.stdout
            assert toy_server.stdout.readline().endswith(
                f"item-image 7f3a9c21e0b4d655 part 0: {cache_status}\n"
            )
        run_client(listen_match[1], "pick-confirm", "1")
        assert toy_server.stdin and router.stderr
        toy_server.stdin.write("drain s-00000011\n")
        toy_server.stdin.flush()
        assert any("node=s-00000011 state=draining" in line for line in router.stderr)

"""Test roll-outs of settings with the real program: the command, a stand-in ensemble and a router."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from coordination_harness import CoordinatedRouter, CoordinationEnsemble, parent_records
from process_harness import WAIT_TIMEOUT_S, ProcessHarness

from stonecove.rollout.messages import Overlay, Target, target_path, version_path

PATH = "/stonecove/configuration"
RECORD = f'configuration: {{settings: true, path: "{PATH}", start_wait: 10s}}'


class Publisher:
    """An ensemble, and the command that publishes settings there."""

    def __init__(self, ensemble: CoordinationEnsemble, folder: Path) -> None:
        self.ensemble, self.folder = ensemble, folder
        self._changes = 0

    def command(self, *words: str) -> tuple[int, dict[str, str], str]:
        """Run the command; return its exit code, the fields of its last line, and its error output."""
        done = subprocess.run(
            [sys.executable, "-m", "stonecove", "configuration", words[0], "--servers"]
            + [",".join(self.ensemble.servers), "--path", PATH, *words[1:]],
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT_S,
            check=False,
            env=dict(os.environ),
        )
        last = (done.stdout.splitlines() or [""])[-1]
        return done.returncode, dict(word.split("=", 1) for word in last.split() if "=" in word), done.stderr

    def publish(self, change: dict[str, Any]) -> tuple[int, dict[str, str], str]:
        self._changes += 1
        file = self.folder / f"change-{self._changes}.json"
        file.write_text(json.dumps(change))
        return self.command("publish", str(file))


@pytest.fixture
def publisher(tmp_path: Path) -> Iterator[Publisher]:
    ensemble = CoordinationEnsemble()
    yield Publisher(ensemble, tmp_path)
    ensemble.close()


@pytest.fixture
def routed(publisher: Publisher) -> Iterator[CoordinatedRouter]:
    running = CoordinatedRouter(publisher.ensemble, publisher.folder, RECORD)
    for node in parent_records(running.harness):
        publisher.ensemble.register_cache(node)
    yield running
    running.close()


def in_force(routed: CoordinatedRouter) -> dict[str, Any]:
    status: dict[str, Any] = routed.query("configuration")["configuration"]
    return status


def requested_max_age_ms(routed: CoordinatedRouter, row: int) -> float:
    """Return the maximum age of a page that the router requests from a cache, in ms."""
    client = routed.harness.client()
    client.send(path="/svc/page", X_ROW=f"{row:016x}", X_SEG="0")
    fetch = routed.harness.next_command()
    fetch.reply(body=b"x")
    assert client.read_answer().status == 200
    return float(fetch.fields["oldest"])


def reload(routed: CoordinatedRouter, section: str, **changes: Any) -> None:
    """Replace fields of a section of the settings in the router's own file."""
    settings = routed.harness.config["settings"]
    changed = {**settings, section: {**settings[section], **changes}} if section else {**settings, **changes}
    routed.harness.reload(json.dumps({**routed.harness.config, "settings": changed}))


def test_a_published_change_is_in_force_in_the_running_router(
    publisher: Publisher, routed: CoordinatedRouter
) -> None:
    process = routed.harness.process
    assert in_force(routed)["version"] == 0
    assert requested_max_age_ms(routed, 1) == 20_000.0
    code, line, error = publisher.publish({"domain": {"lifetime_by_class": [0.0, 0.0, 12_345.0]}})
    assert code == 0, error
    assert (line["version"], line["state"], line["in_force"]) == ("1", "complete", "1")
    current = in_force(routed)
    assert current["version"] == 1 and current["refused"] is None
    assert requested_max_age_ms(routed, 2) == 12_345.0
    assert process.poll() is None and len(routed.harness.log_lines("router_ready")) == 1


def test_a_change_that_a_router_rejects_halts_and_keeps_the_old_version(
    publisher: Publisher, routed: CoordinatedRouter
) -> None:
    assert publisher.publish({"domain": {"heed_within": 900.0}})[0] == 0
    code, line, _ = publisher.publish({"domain": {"shield_kind": 0}})
    assert (code, line["state"]) == (1, "halted")
    current = in_force(routed)
    assert current["version"] == 1
    assert current["refused"]["version"] == 2 and "parent_kind" in current["refused"]["why"]
    refused = routed.harness.log_lines("settings_rejected")
    assert len(refused) == 1 and "parent_kind" in refused[0]
    status = publisher.command("status")[1]
    assert status["in_force"] == "1" and status["refused"] == "1"


def test_a_starting_router_serves_with_the_published_version(
    publisher: Publisher, routed: CoordinatedRouter
) -> None:
    assert publisher.publish({"domain": {"heed_within": 900.0}})[0] == 0
    routed.close()
    again = CoordinatedRouter(publisher.ensemble, publisher.folder, RECORD)
    try:
        again.wait_for_lines("router_ready")
        log = Path(again.harness.folder.name, "log").read_text()
        assert log.index(" settings_applied ") < log.index(" router_ready ")
        assert in_force(again)["version"] == 1
    finally:
        again.close()


def test_the_routers_own_file_is_applied_below_the_published_overlay(
    publisher: Publisher, routed: CoordinatedRouter
) -> None:
    assert publisher.publish({"domain": {"heed_within": 900.0}})[0] == 0
    reload(routed, "rules", drain_grace=444.0)
    line = routed.wait_for_lines("config_reloaded")[-1]
    assert "settings=in-force" in line and "version=1" in line
    assert "waits_for_restart=nothing" in line
    reload(routed, "", zone=0)
    line = routed.wait_for_lines("config_reloaded", 2)[-1]
    assert "settings='refused: zone: 0 in place of 1" in line and "version=1" in line
    assert in_force(routed)["version"] == 1


def test_a_router_that_was_paused_applies_the_newest_version_in_one_step(
    publisher: Publisher, routed: CoordinatedRouter
) -> None:
    assert publisher.publish({"domain": {"heed_within": 900.0}})[0] == 0
    process, client = routed.harness.process, publisher.ensemble.client()
    process.send_signal(signal.SIGSTOP)
    try:
        ProcessHarness.wait_until(
            lambda: publisher.command("status")[1].get("live") == "0", "its session has ended"
        )
        target = Target.decode(client.get(target_path(PATH))[0])
        for version in (2, 3):  # as two roll-outs leave them that this router has missed
            overlay = Overlay(version, {"domain": {"heed_within": 900.0 + version}})
            client.create(version_path(PATH, version), overlay.encode())
            target = replace(target, version=version, previous=version - 1, round=version)
            client.set(target_path(PATH), target.encode())
    finally:
        process.send_signal(signal.SIGCONT)
        client.stop()
        client.close()
    ProcessHarness.wait_until(lambda: in_force(routed)["version"] == 3, "version 3 in force")
    applied = [line for line in routed.harness.log_lines("settings_applied") if "version=2" in line]
    assert applied == [], "a superseded version is skipped"

"""Tests of roll-outs of settings with the real program: the command, a stand-in ensemble and a router."""

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
CONFIGURATION_RECORD = f'configuration: {{settings: true, path: "{PATH}", start_wait: 10s}}'


class Publisher:
    """An ensemble, and the command that publishes settings there."""

    def __init__(self, ensemble: CoordinationEnsemble, folder: Path) -> None:
        self.ensemble, self.folder = ensemble, folder
        self._changes = 0

    def run_command(self, *arguments: str) -> tuple[int, dict[str, str], str]:
        """Run the command; return its exit code, the fields of its last line, and its error output."""
        completed = subprocess.run(
            [sys.executable, "-m", "stonecove", "configuration", arguments[0], "--servers"]
            + [",".join(self.ensemble.servers), "--path", PATH, *arguments[1:]],
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT_S,
            check=False,
            env=dict(os.environ),
        )
        last_line = (completed.stdout.splitlines() or [""])[-1]
        return (
            completed.returncode,
            dict(field.split("=", 1) for field in last_line.split() if "=" in field),
            completed.stderr,
        )

    def publish(self, change: dict[str, Any]) -> tuple[int, dict[str, str], str]:
        self._changes += 1
        file = self.folder / f"change-{self._changes}.json"
        file.write_text(json.dumps(change))
        return self.run_command("publish", str(file))


@pytest.fixture
def publisher(tmp_path: Path) -> Iterator[Publisher]:
    ensemble = CoordinationEnsemble()
    yield Publisher(ensemble, tmp_path)
    ensemble.close()


@pytest.fixture
def router(publisher: Publisher) -> Iterator[CoordinatedRouter]:
    router = CoordinatedRouter(publisher.ensemble, publisher.folder, CONFIGURATION_RECORD)
    for node in parent_records(router.harness):
        publisher.ensemble.register_cache(node)
    yield router
    router.close()


def configuration_status(router: CoordinatedRouter) -> dict[str, Any]:
    status: dict[str, Any] = router.query("configuration")["configuration"]
    return status


def requested_max_age_ms(router: CoordinatedRouter, row: int) -> float:
    """Return the maximum age of a page that the router requests from a cache, in ms."""
    client = router.harness.client()
    client.send(path="/svc/page", X_ROW=f"{row:016x}", X_SEG="0")
    fetch = router.harness.next_command()
    fetch.reply(body=b"x")
    assert client.read_answer().status == 200
    return float(fetch.fields["oldest"])


def reload_settings(router: CoordinatedRouter, section: str, **changes: Any) -> None:
    """Replace fields of a section of the settings in the router's file; top-level fields if it is empty."""
    settings = router.harness.config["settings"]
    changed = {**settings, section: {**settings[section], **changes}} if section else {**settings, **changes}
    router.harness.reload(json.dumps({**router.harness.config, "settings": changed}))


def test_a_published_change_is_in_force_in_the_running_router(
    publisher: Publisher, router: CoordinatedRouter
) -> None:
    process = router.harness.process
    assert configuration_status(router)["version"] == 0
    assert requested_max_age_ms(router, 1) == 20_000.0
    code, fields, error = publisher.publish({"domain": {"lifetime_by_class": [0.0, 0.0, 12_345.0]}})
    assert code == 0, error
    assert (fields["version"], fields["state"], fields["in_force"]) == ("1", "complete", "1")
    current = configuration_status(router)
    assert current["version"] == 1 and current["refused"] is None
    assert requested_max_age_ms(router, 2) == 12_345.0
    assert process.poll() is None and len(router.harness.log_lines("router_ready")) == 1


def test_a_change_that_the_router_rejects_halts_the_rollout_and_keeps_the_previous_version(
    publisher: Publisher, router: CoordinatedRouter
) -> None:
    assert publisher.publish({"domain": {"heed_within": 900.0}})[0] == 0
    code, fields, _ = publisher.publish({"domain": {"shield_kind": 0}})
    assert (code, fields["state"]) == (1, "halted")
    current = configuration_status(router)
    assert current["version"] == 1
    assert current["refused"]["version"] == 2 and "parent_kind" in current["refused"]["why"]
    rejections = router.harness.log_lines("settings_rejected")
    assert len(rejections) == 1 and "parent_kind" in rejections[0]
    status = publisher.run_command("status")[1]
    assert status["in_force"] == "1" and status["refused"] == "1"


def test_a_restarted_router_applies_the_published_version_before_it_is_ready(
    publisher: Publisher, router: CoordinatedRouter
) -> None:
    assert publisher.publish({"domain": {"heed_within": 900.0}})[0] == 0
    router.close()
    restarted = CoordinatedRouter(publisher.ensemble, publisher.folder, CONFIGURATION_RECORD)
    try:
        restarted.wait_for_lines("router_ready")
        log = Path(restarted.harness.folder.name, "log").read_text()
        assert log.index(" settings_applied ") < log.index(" router_ready ")
        assert configuration_status(restarted)["version"] == 1
    finally:
        restarted.close()


def test_a_reloaded_settings_file_is_combined_with_the_published_overlay(
    publisher: Publisher, router: CoordinatedRouter
) -> None:
    assert publisher.publish({"domain": {"heed_within": 900.0}})[0] == 0
    reload_settings(router, "rules", drain_grace=444.0)
    line = router.wait_for_lines("config_reloaded")[-1]
    assert "settings=in-force" in line and "version=1" in line
    assert "waits_for_restart=nothing" in line
    reload_settings(router, "", zone=0)
    line = router.wait_for_lines("config_reloaded", 2)[-1]
    assert "settings='refused: zone: 0 in place of 1" in line and "version=1" in line
    assert configuration_status(router)["version"] == 1


def test_a_router_that_was_paused_skips_superseded_versions(
    publisher: Publisher, router: CoordinatedRouter
) -> None:
    assert publisher.publish({"domain": {"heed_within": 900.0}})[0] == 0
    process, client = router.harness.process, publisher.ensemble.client()
    process.send_signal(signal.SIGSTOP)
    try:
        ProcessHarness.wait_until(
            lambda: publisher.run_command("status")[1].get("live") == "0",
            "end of the paused router's session",
        )
        target = Target.decode(client.get(target_path(PATH))[0])
        for version in (2, 3):  # the nodes of two roll-outs that the paused router misses
            overlay = Overlay(version, {"domain": {"heed_within": 900.0 + version}})
            client.create(version_path(PATH, version), overlay.encode())
            target = replace(target, version=version, previous=version - 1, round=version)
            client.set(target_path(PATH), target.encode())
    finally:
        process.send_signal(signal.SIGCONT)
        client.stop()
        client.close()
    ProcessHarness.wait_until(lambda: configuration_status(router)["version"] == 3, "version 3 in force")
    applied = [line for line in router.harness.log_lines("settings_applied") if "version=2" in line]
    assert applied == [], "a superseded version was applied"

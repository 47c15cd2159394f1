"""The real program takes part in roll-outs of settings: the command, a stand-in ensemble, a router."""

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
from keeper import Keeper, Routed, parents
from stand import PATIENCE, Stand

from stonecove.rollout.messages import Overlay, Target, target_path, version_path

PATH = "/stonecove/configuration"
RECORD = f'configuration: {{settings: true, path: "{PATH}", start_wait: 10s}}'


class Published:
    """The ensemble, and the command that publishes there."""

    def __init__(self, ensemble: Keeper, folder: Path) -> None:
        self.ensemble, self.folder = ensemble, folder
        self._changes = 0

    def command(self, *words: str) -> tuple[int, dict[str, str], str]:
        """Exit code, the last line's values, what was said of errors."""
        done = subprocess.run(
            [sys.executable, "-m", "stonecove", "configuration", words[0], "--servers"]
            + [",".join(self.ensemble.servers), "--path", PATH, *words[1:]],
            capture_output=True,
            text=True,
            timeout=PATIENCE,
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
def published(tmp_path: Path) -> Iterator[Published]:
    ensemble = Keeper()
    yield Published(ensemble, tmp_path)
    ensemble.close()


@pytest.fixture
def routed(published: Published) -> Iterator[Routed]:
    found = Routed(published.ensemble, published.folder, RECORD)
    for one in parents(found.stand):
        published.ensemble.box(one)
    yield found
    found.close()


def in_force(routed: Routed) -> dict[str, Any]:
    told: dict[str, Any] = routed.question("configuration")["configuration"]
    return told


def oldest_asked_for(routed: Routed, row: int) -> float:
    """The oldest copy of a page that the router asks a cache for, in ms."""
    client = routed.stand.client()
    client.send(path="/svc/page", X_ROW=f"{row:016x}", X_SEG="0")
    fetch = routed.stand.command()
    fetch.reply(body=b"x")
    assert client.answer().status == 200
    return float(fetch.fields["oldest"])


def reload(routed: Routed, part: str, **changes: Any) -> None:
    """Replaces fields of a part of the settings in the router's own file."""
    settings = routed.stand.config["settings"]
    changed = {**settings, part: {**settings[part], **changes}} if part else {**settings, **changes}
    routed.stand.reload(json.dumps({**routed.stand.config, "settings": changed}))


def test_a_published_change_is_in_force_in_the_running_router(published: Published, routed: Routed) -> None:
    process = routed.stand.process
    assert in_force(routed)["version"] == 0
    assert oldest_asked_for(routed, 1) == 20_000.0
    code, line, error = published.publish({"domain": {"lifetime_by_class": [0.0, 0.0, 12_345.0]}})
    assert code == 0, error
    assert (line["version"], line["state"], line["in_force"]) == ("1", "complete", "1")
    told = in_force(routed)
    assert told["version"] == 1 and told["refused"] is None
    assert oldest_asked_for(routed, 2) == 12_345.0
    assert process.poll() is None and len(routed.stand.lines("router_ready")) == 1


def test_a_change_that_a_router_refuses_halts_and_leaves_the_old_one(
    published: Published, routed: Routed
) -> None:
    assert published.publish({"domain": {"heed_within": 900.0}})[0] == 0
    code, line, _ = published.publish({"domain": {"shield_kind": 0}})
    assert (code, line["state"]) == (1, "halted")
    told = in_force(routed)
    assert told["version"] == 1
    assert told["refused"]["version"] == 2 and "parent_kind" in told["refused"]["why"]
    refused = routed.stand.lines("settings_rejected")
    assert len(refused) == 1 and "parent_kind" in refused[0]
    status = published.command("status")[1]
    assert status["in_force"] == "1" and status["refused"] == "1"


def test_a_router_that_starts_serves_by_what_is_published(published: Published, routed: Routed) -> None:
    assert published.publish({"domain": {"heed_within": 900.0}})[0] == 0
    routed.close()
    again = Routed(published.ensemble, published.folder, RECORD)
    try:
        again.wait_line("router_ready")
        log = Path(again.stand.folder.name, "log").read_text()
        assert log.index(" settings_applied ") < log.index(" router_ready ")
        assert in_force(again)["version"] == 1
    finally:
        again.close()


def test_the_routers_own_file_is_taken_over_below_what_is_published(
    published: Published, routed: Routed
) -> None:
    assert published.publish({"domain": {"heed_within": 900.0}})[0] == 0
    reload(routed, "rules", drain_grace=444.0)
    line = routed.wait_line("config_reloaded")[-1]
    assert "settings=in-force" in line and "version=1" in line
    assert "waits_for_restart=nothing" in line
    reload(routed, "", zone=0)
    line = routed.wait_line("config_reloaded", 2)[-1]
    assert "settings='refused: zone: 0 in place of 1" in line and "version=1" in line
    assert in_force(routed)["version"] == 1


def test_a_router_that_was_stopped_takes_the_newest_version_in_one_step(
    published: Published, routed: Routed
) -> None:
    assert published.publish({"domain": {"heed_within": 900.0}})[0] == 0
    process, client = routed.stand.process, published.ensemble.client()
    process.send_signal(signal.SIGSTOP)
    try:
        Stand.wait(lambda: published.command("status")[1].get("live") == "0", "its session has ended")
        target = Target.decode(client.get(target_path(PATH))[0])
        for version in (2, 3):  # as two roll-outs to the rest of a fleet leave them
            overlay = Overlay(version, {"domain": {"heed_within": 900.0 + version}})
            client.create(version_path(PATH, version), overlay.encode())
            target = replace(target, version=version, previous=version - 1, round=version)
            client.set(target_path(PATH), target.encode())
    finally:
        process.send_signal(signal.SIGCONT)
        client.stop()
        client.close()
    Stand.wait(lambda: in_force(routed)["version"] == 3, "version 3 in force")
    taken = [line for line in routed.stand.lines("settings_applied") if "version=2" in line]
    assert taken == [], "a version that was overtaken is passed over"

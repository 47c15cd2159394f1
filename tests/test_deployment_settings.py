"""Test basic operation of the real program with the settings of different deployments."""

from __future__ import annotations

import json
import secrets
import signal
import socket
import struct
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from process_harness import WAIT_TIMEOUT_S, Cache, CacheCommand, Client, ProcessHarness

from stonecove.pipeline.admit import Admit
from stonecove.pipeline.intake import Intake
from stonecove.settings import settings_from
from stonecove.state.budget import MemoryBudget
from stonecove.state.requests import OpenRequests


def class_record(
    name: str, effect: str, deadline_ms: float, objective_ms: float, **more: Any
) -> dict[str, Any]:
    return {"name": name, "effect": effect, "deadline": deadline_ms, "on_time": objective_ms, **more}


DEPLOYMENTS: dict[str, dict[str, Any]] = {
    # short deadlines, three zones, node kinds in another order, keys valid in one cell, few options allowed
    "short_deadlines": {
        "areas": ["north", "south", "west"],
        "models": ["source", "mid", "leaf"],
        "zone": 2,
        "fleet_size": 40,
        "classes": [
            class_record("tile", "pure", 900.0, 400.0, importance=4.0),
            class_record("vote", "token", 1000.0, 500.0, importance=5.0, group="cell", window=200.0),
            class_record("pay", "side_effect", 800.0, 400.0, importance=9.0),
        ],
        "domain": {
            "shield_kind": 1,
            "store_kind": 0,
            "client_kb_per_s": 2e5,
            "heed_within": 100.0,
            "never_kept": [False, True, True],
            "zone_link_kb_per_s": [0, 1e6, 1e6],
            "instances_by_zone": [0, 10, 30],
            "lifetime_by_class": [5000.0, 0, 0],
            "stale_for": [2000.0, 0, 0],
            "purge_settles": 2000.0,
        },
        "tenants": [{"name": "one", "quota_rps": 50.0, "share": 0.4}, {"name": "two", "share": 0.6}],
        "limits": {
            "most_tries": 3,
            "cancel": False,
            "second_copies": False,
            "connect_timeout": 200.0,
            "conn_idle": 1000.0,
            "streams_per_conn": 1,
            "most_held": 500,
        },
        "report": {"fields": [], "how": "silent"},
        "weights": "silent",
        "prices": {"handshake": 0.05},
        "rules": {
            "drain_grace": 0.0,
            "cold_from": 0.1,
            "warm_up": 4000.0,
            "tip_multiple": 2.0,
            "overload_for": 1000.0,
        },
    },
    # long deadlines, one zone, no parents, no idempotent class
    "long_deadlines": {
        "areas": ["site"],
        "models": ["store", "shelf"],
        "zone": 0,
        "fleet_size": 1,
        "classes": [
            class_record("film", "side_effect", 60_000.0, 20_000.0, aim_stretch=2.0),
            class_record("note", "side_effect", 30_000.0, 9000.0, importance=0.2),
        ],
        "domain": {
            "shield_kind": -1,
            "store_kind": 0,
            "client_kb_per_s": 300.0,
            "never_kept": [False, True],
            "zone_link_kb_per_s": [4000.0],
            "instances_by_zone": [1],
            "joins": True,
            "may_pass_by": True,
            "heed_within": 3000.0,
            "purge_settles": 60_000.0,
        },
        "limits": {
            "most_tries": 20,
            "cancel": True,
            "second_copies": True,
            "connect_timeout": 3000.0,
            "retry_after": True,
            "max_retry_after": 30_000.0,
            "conn_idle": 120_000.0,
            "streams_per_conn": 2000,
            "peers": True,
            "may_probe": True,
        },
        "report": {"fields": ["cpu_share"], "how": "pull"},
        "weights": "live",
        "discovery": "ask",
        "rules": {
            "drain_grace": 2000.0,
            "cold_from": 0.5,
            "warm_up": 90_000.0,
            "tip_multiple": 8.0,
            "overload_for": 10_000.0,
            "ask_within": 30_000.0,
        },
    },
}


class DeploymentHarness(ProcessHarness):
    """A test environment with the node kinds and zones of a deployment; each cache has its own cell."""

    def __init__(self, deployment: dict[str, Any], **more: Any) -> None:
        self.deployment = deployment
        super().__init__(**{**deployment, **more})

    def start(self) -> subprocess.Popen[bytes]:
        fleet = self.config["known"]["results"][0]["fleet"]
        domain, models = self.deployment["domain"], self.deployment["models"]
        cache_kind = next(
            n for n in range(len(models)) if n not in (domain["shield_kind"], domain["store_kind"])
        )
        self.cache_kind_and_zone = cache_kind, self.deployment["zone"]
        kinds = {"box": cache_kind, "parent": domain["shield_kind"], "origin": domain["store_kind"]}
        for cell, node in enumerate(nodes := fleet["instances"]):
            if node["machineType"] in kinds:
                kind = kinds[node["machineType"]]
                node["zone"] = self.deployment["areas"][self.deployment["zone"] if kind == cache_kind else 0]
                node["machineType"], node["cell"] = models[kind] if kind >= 0 else "", cell
        fleet["instances"] = [node for node in nodes if node["machineType"]]
        return super().start()

    def drain(self, cache: Cache) -> None:
        kind, zone = self.cache_kind_and_zone
        self.change_log.send_event(
            2,
            2,
            struct.pack(
                ">IIHBBBHIQ", cache.ident, 0x7F000001, cache.listener.port, 1, zone, kind, 0, 1000, 0
            ),
        )
        self.wait_until(
            lambda: any("state=draining" in line for line in self.log_lines("endpoint_updated")), "the drain"
        )

    def send(self, client: Client, class_index: int, ident: int = 1, ttl: float = 0.0) -> None:
        """Send a request of a class, as its clients do."""
        traffic_class = self.deployment["classes"][class_index]
        key = {"X_TXN_KEY": secrets.token_hex(8)} if traffic_class["effect"] == "token" else {}
        client.send(
            ident,
            path=f"/svc/{traffic_class['name']}",
            X_TTL_MS=str(ttl or traffic_class["deadline"]),
            X_ROW=secrets.token_hex(8),
            **key,
        )

    def request_fetch(
        self, client: Client, class_index: int, ident: int = 1, ttl: float = 0.0
    ) -> CacheCommand:
        """Send a request and return its fetch; send it again if a busy router rejects it."""
        for _ in range(20):
            self.send(client, class_index, ident, ttl)
            while (fetch := self.next_command_within(2.0)) is not None:
                if fetch.name == "fetch":
                    return fetch
            assert client.read_answer().status == 503
        raise AssertionError("the router rejected the request 20 times in a row")


@pytest.fixture(params=DEPLOYMENTS)
def harness(request: pytest.FixtureRequest) -> Iterator[DeploymentHarness]:
    running = DeploymentHarness(DEPLOYMENTS[request.param])
    yield running
    assert running.process.poll() in (None, 0) and not running.log_lines("internal_error")
    running.close()


def classes_of(harness: DeploymentHarness) -> Iterator[tuple[int, dict[str, Any]]]:
    yield from enumerate(harness.deployment["classes"])


def reset(fetch: CacheCommand) -> None:
    fetch.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    fetch.sock.shutdown(socket.SHUT_RD)
    fetch.sock.close()


def is_refusal(harness: DeploymentHarness, status: int, fields: dict[str, str]) -> bool:
    """Return whether an answer is a rejection, with a retry delay if and only if the settings allow one."""
    expects_retry_delay = harness.deployment["limits"].get("retry_after", False)
    return status == 503 and (int(fields["X-Throttle-Ms"]) > 0) == expects_retry_delay


def test_each_class_is_served(harness: DeploymentHarness) -> None:
    client = harness.client()
    for class_index, traffic_class in classes_of(harness):
        fetch = harness.request_fetch(client, class_index)
        assert (
            fetch.fields["cls"] == traffic_class["name"]
            and 0 < int(fetch.fields["limit"]) <= traffic_class["deadline"]
        )
        cached = not harness.deployment["domain"]["never_kept"][class_index]
        assert fetch.fields["from"] == (
            "s-00000020" if cached and harness.deployment["domain"]["shield_kind"] >= 0 else "s-00000030"
        )
        fetch.reply(body=b"%d" % class_index)
        assert client.read_answer()[1:4:2] == (200, b"%d" % class_index)


def test_request_that_never_ran_is_refused(harness: DeploymentHarness) -> None:
    client = harness.client()
    for class_index, _ in classes_of(harness):
        harness.request_fetch(client, class_index).reply("503", tell="")
        while (retry := harness.next_command_within(0.2)) is not None:
            retry.reply("503", tell="")
        answer = client.read_answer()
        assert is_refusal(harness, answer.status, answer.fields)


@pytest.mark.parametrize("failure", ["500", "reset"])
def test_request_that_may_have_run_is_retried_only_if_its_class_allows_it(
    harness: DeploymentHarness, failure: str
) -> None:
    client = harness.client()
    for class_index, traffic_class in classes_of(harness):
        first = harness.request_fetch(client, class_index)
        reset(first) if failure == "reset" else first.reply("500", tell="")
        if traffic_class["effect"] == "pure":
            second = harness.next_command()
            assert second.txn == first.txn
            second.reply()
            assert client.read_answer().status == 200
            continue
        while (retry := harness.next_command_within(0.3)) is not None and retry.name == "fetch":
            # a key is known only in its cell, and each cache has its own cell
            assert traffic_class["effect"] == "token" and (retry.txn, retry.cache) == (first.txn, first.cache)
            reset(retry)
        assert client.read_answer().status == 502
    assert harness.commands.empty()


def test_request_is_answered_at_its_deadline(harness: DeploymentHarness) -> None:
    client = harness.client()
    for class_index, traffic_class in classes_of(harness):
        harness.request_fetch(client, class_index, ttl=min(traffic_class["deadline"], 1200.0))
        answer = client.read_answer()
        assert (
            is_refusal(harness, answer.status, answer.fields)
            if traffic_class["effect"] == "pure"
            else (answer.status == 502)
        )


def test_draining_cache_gets_no_attempts(harness: DeploymentHarness) -> None:
    harness.drain(harness.caches[0])
    client = harness.client()
    for ident in range(1, 9):
        fetch = harness.request_fetch(client, 0, ident)
        assert fetch.cache is harness.caches[1]
        fetch.reply()
        assert client.read_answer().status == 200


def test_shutdown_loses_no_request(harness: DeploymentHarness) -> None:
    early, late = harness.client(), harness.client()
    first = harness.request_fetch(early, 0)
    harness.process.send_signal(signal.SIGTERM)
    harness.wait_until(lambda: harness.log_lines("router_stopping"), "the shutdown to begin")
    harness.request_fetch(late, 0).reply(body=b"late")
    first.reply(body=b"early")
    assert late.read_answer().body == b"late" and early.read_answer().body == b"early"
    assert harness.process.wait(WAIT_TIMEOUT_S) == 0


@pytest.mark.parametrize(
    "settings",
    [
        {"classes": []},
        {"classes": {}},
        {"classes": [class_record("a", "pure", 0.0, 0.0)]},
        {"classes": [class_record("a", "pure", float("nan"), 1.0)]},
        {"classes": [class_record("a", "pure", 5.0, float("nan"))]},
    ],
)
def test_unusable_settings_are_reported_in_one_line(tmp_path: Path, settings: dict[str, Any]) -> None:
    config = ProcessHarness.config_without_nodes()
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**config, "settings": {**config["settings"], **settings}}))
    completed = subprocess.run(
        [sys.executable, "-m", "stonecove"],
        env={"RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_S,
    )
    assert (completed.returncode, completed.stderr.count("\n")) == (2, 1) and "settings" in completed.stderr


@pytest.mark.parametrize(
    ("deadline", "ttl", "expected_ms"),
    [
        (300.0, 300.0, 300.0),
        (60_000.0, 60_000.0, 60_000.0),
        (180_000.0, 180_000.0, 180_000.0),
        (300.0, 3_600_000.0, 60_000.0),
    ],
)
def test_request_may_take_as_long_as_its_class_allows(
    deadline: float, ttl: float, expected_ms: float
) -> None:
    """Long requests must not be cut short, and no request may set an unlimited deadline."""
    settings = settings_from({"zone": 0, "classes": [class_record("a", "pure", deadline, deadline)]})
    fields = {"X-Row": "7f3a9c21e0b4d655", "X-Txn": "9b1f03aa5c7e2d41", "X-Ttl-Ms": f"{ttl:.0f}"}
    client_request = Intake(settings).parse("/svc/a", fields, b"", lambda answer: None)
    budget = MemoryBudget()
    budget.limit_bytes = 1e9
    request = Admit(settings, OpenRequests(), budget, 0.0, 1).open_request(1000.0, client_request)
    assert request is not None and expected_ms - 20.0 <= request.deadline_ms - 1000.0 <= expected_ms


def test_connect_timeout_has_a_minimum_if_settings_have_none() -> None:
    for limits in ({}, {"connect_timeout": 0.0}):
        settings = settings_from(
            {"zone": 0, "classes": [class_record("a", "pure", 5.0, 5.0)], "limits": limits}
        )
        assert settings.connect_timeout_ms >= 100.0

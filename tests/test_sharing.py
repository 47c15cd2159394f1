"""Budgets that routers share: the director, the lessor, admission tokens; then real instances."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import time
from collections import deque
from collections.abc import Iterator
from pathlib import Path

import pytest
from conftest import DirectorHarness, make_nodes, make_settings, sent_attempts
from process_harness import ProcessHarness
from test_fleet_daemon import Daemon

from stonecove.quotas.lending import Lending, LendingError
from stonecove.quotas.quota import Limit, Plan, PlanError, Quota
from stonecove.routing.actions import RETRY_LEASE, RequestLease, ReturnLease
from stonecove.routing.endpoints import EndpointListKind
from stonecove.routing.events import EndpointListUpdate, LeaseGranted, LeaseTerms
from stonecove.routing.leased_budget import LeasedBudget
from stonecove.server.leases import LeaseFile, LeaseFileError

WINDOW_S = 3.0


# -- the director --


def slow_start_harness(unleased_fraction: float) -> DirectorHarness:
    """Return a director with one cache, which is in slow start, and with leases."""
    harness = DirectorHarness(make_settings(zone_link_kb_per_s=(0.0, 4000.0, 4000.0), overload_multiple=1.0))
    cache = next(node for node in make_nodes() if node.node_id == 11)
    harness.deliver(
        EndpointListUpdate(
            EndpointListKind.SNAPSHOT, (cache._replace(started_ms=harness.now_ms - 100.0), *make_nodes()[4:])
        )
    )
    harness.deliver(LeaseTerms(unleased_fraction, 0.1))
    return harness


def count_sent(harness: DirectorHarness, wait_ms: float = 0.0) -> int:
    """Return how many of 60 requests are sent."""
    return sum(
        len(sent_attempts(harness.request(object_key=key, size_kb=20.0, wait_ms=wait_ms)))
        for key in range(60)
    )


def test_work_is_bounded_by_the_unleased_share_plus_the_leases() -> None:
    full_harness, half_harness = slow_start_harness(1.0), slow_start_harness(0.5)
    full_count, half_count = count_sent(full_harness), count_sent(half_harness)
    assert 0 < half_count <= full_count / 2 + 1 and full_count > 3
    requested = [
        action
        for action in half_harness.request(object_key=7, size_kb=20.0)
        if isinstance(action, RequestLease)
    ]
    assert requested and requested[0].node_id == 11 and requested[0].zonal and requested[0].share == 1.0
    assert (
        half_count * 20.0
        <= 0.5 * requested[0].fleet_limit_ms * requested[0].share
        <= half_count * 20.0 + 20.0
    )
    assert half_harness.deliver(LeaseGranted(1, 11, 50.0, half_harness.now_ms + 500.0)) == []
    assert count_sent(half_harness) == 2  # two requests of 20 fit into the lease of 50


def test_a_lease_is_spent_once_and_not_after_it_expired() -> None:
    harness = slow_start_harness(0.0)
    assert count_sent(harness) == 0
    harness.deliver(LeaseGranted(1, 11, 40.0, harness.now_ms + 100.0))
    harness.now_ms += 200.0
    assert count_sent(harness) == 0
    assert harness.deliver(LeaseGranted(2, 11, 40.0, harness.now_ms + 500.0)) == [ReturnLease(1, 40.0)]
    # A grant that is delivered twice counts once.
    assert harness.deliver(LeaseGranted(2, 11, 40.0, harness.now_ms + 500.0)) == []
    assert count_sent(harness) == 2
    harness.deliver(LeaseGranted(3, 11, 40.0, harness.now_ms + 500.0))
    # The end by the monotonic clock takes precedence.
    assert ReturnLease(3, 40.0) in harness.deliver(LeaseGranted(3, 11, 0.0, 0.0))
    assert count_sent(harness) == 0


def test_retries_beyond_the_unleased_share_need_leases() -> None:
    leased = LeasedBudget()
    leased.grant(0.0, LeaseGranted(1, RETRY_LEASE, 2.0, 100.0))
    assert [leased.spend(1.0, RETRY_LEASE, 1.0) for _ in range(3)] == [True, True, False]
    harness = DirectorHarness()
    harness.deliver(LeaseTerms(0.3, 0.015))  # the share of one of 20 routers: at most one retry accumulates
    assert harness.director.state.retries.max_tokens == 1.0
    actions = [
        action
        for _ in range(2)
        for action in harness.director.handle(harness.now_ms, LeaseGranted(9, 99, 0.0, 0.0))
    ]
    assert actions == []
    assert harness.director.state.retries.try_spend(
        harness.now_ms, []
    ) and not harness.director.state.retries.try_spend(harness.now_ms, [])
    harness.deliver(LeaseGranted(1, RETRY_LEASE, 1.0, harness.now_ms + 100.0))
    assert harness.director.state.retries.try_spend(
        harness.now_ms, []
    ) and not harness.director.state.retries.try_spend(harness.now_ms, [])


# -- the lessor --


@pytest.mark.parametrize("seed", range(8))
def test_local_budgets_and_leases_together_stay_within_the_limit(seed: int) -> None:
    """Holders connect, die and return, some spend late or never; the work within any window is bounded."""
    rng, holders, limit = random.Random(seed), 6, 600.0
    lending = Lending(0.0, WINDOW_S, holders)
    holder_keys: dict[int, str] = {}
    started_at = dict.fromkeys(range(holders), 0.0)
    cooldown_until = dict.fromkeys(range(holders), 0.0)
    local_spent: dict[int, deque[tuple[float, float]]] = {index: deque() for index in range(holders)}
    leases: list[tuple[int, float, float]] = []  # holder, expiry, work
    spent: deque[tuple[float, float]] = deque()
    now, connection_count, max_spent = 0.0, 0, 0.0
    for step in range(4000):
        now += rng.expovariate(1 / 0.02)
        index = rng.randrange(holders)
        if index not in holder_keys:
            connection_count += 1
            holder_keys[index] = f"k{connection_count}"
            terms = lending.add_holder(
                holder_keys[index], f"h{index}", WINDOW_S, {"zone:1": 1 / holders}, started_at[index], now
            )
            cooldown_until[index] = max(cooldown_until[index], now + terms.rest)
        elif rng.random() < 0.01:
            lending.remove_holder(holder_keys.pop(index))
            if rng.random() < 0.5:  # its process died and lost its state
                now += 0.001
                started_at[index], local_spent[index] = now, deque()
                leases = [lease for lease in leases if lease[0] != index]
        while local_spent[index] and local_spent[index][0][0] <= now - WINDOW_S:
            local_spent[index].popleft()
        local_limit = lending.unleased_fraction * limit / holders if now >= cooldown_until[index] else 0.0
        if index in holder_keys and sum(work for _, work in local_spent[index]) + 5.0 <= local_limit:
            local_spent[index].append((now, 5.0))
            spent.append((now, 5.0))
        elif index in holder_keys:
            grant = lending.request_lease(holder_keys[index], step + 1, 11, 10.0, limit, "zone:1", now)
            if grant is not None:
                leases.append((index, now + lending.lifetime_s, grant.work))
        if leases and rng.random() < 0.7:
            _, expires_at, work = leases.pop(rng.randrange(len(leases)))
            if now < expires_at:
                spent.append((now, work))
        while spent and spent[0][0] <= now - WINDOW_S:
            spent.popleft()
        max_spent = max(max_spent, sum(work for _, work in spent))
    assert 0.4 * limit < max_spent <= limit + 1e-6


def test_invalid_messages_are_rejected_without_effect() -> None:
    lending = Lending(-100.0, WINDOW_S, 2)
    lending.add_holder("a", "r-0", WINDOW_S, {"zone:1": 0.5}, 0.0, 0.0)
    for invalid in (
        lambda: lending.add_holder("a", "r-0", WINDOW_S, {}, 0.0, 0.0),
        lambda: lending.add_holder("b", "r-1", 5.0, {}, 0.0, 0.0),
        lambda: lending.add_holder("b", "r-1", WINDOW_S, {"zone:1": 2.0}, 0.0, 0.0),
        lambda: lending.request_lease("c", 1, 11, 1.0, 1.0, "zone:1", 0.0),
        lambda: lending.request_lease("a", 1, 11, -1.0, 1.0, "zone:1", 0.0),
        lambda: lending.request_lease("a", 1, 11, 1.0, 1.0, "zone:2", 0.0),
        lambda: lending.take_tokens("a", ("z", "c", ""), 1, 0.0),
    ):
        with pytest.raises(LendingError):
            invalid()
    assert lending.request_lease("a", 1, 11, 1.0, 100.0, "zone:1", 0.0) is not None
    status = lending.status(0.0)
    assert status["nodes"] == {"s-0000000b": {"pool": "zone:1", "rule": 100.0, "lent": 1.0}}


def test_the_lowest_of_the_holders_latest_limits_applies() -> None:
    lending = Lending(-100.0, WINDOW_S, 2, unleased_fraction=0.2)

    def limit(now: float) -> float:
        return float(lending.status(now)["nodes"]["s-0000000b"]["rule"])  # type: ignore[index]

    for key in "ab":
        lending.add_holder(key, f"r-{key}", WINDOW_S, {"zone:1": 0.5}, 0.0, 0.0)
    lending.request_lease("a", 1, 11, 1.0, 100.0, "zone:1", 0.0, growth_per_s=10.0)
    assert limit(2.0) == 120.0
    lending.request_lease("b", 1, 11, 1.0, 1e9, "zone:1", 2.0)  # a holder with a wrong limit cannot raise it
    assert limit(2.0) == 120.0
    lending.request_lease("b", 2, 11, 1.0, 50.0, "zone:1", 2.5)  # a holder that knows of a restart lowers it
    assert limit(2.5) == 50.0
    lending.request_lease("a", 2, 11, 1.0, 50.0, "zone:1", 2.6)
    assert limit(2.6) == 50.0


def test_a_restarted_holder_gets_a_cooldown() -> None:
    lending = Lending(-100.0, WINDOW_S, 2)
    assert lending.add_holder("a", "r-0", WINDOW_S, {"fleet": 0.5}, 0.0, 0.0).rest == 0.0
    lending.remove_holder("a")
    assert lending.add_holder("b", "r-0", WINDOW_S, {"fleet": 0.5}, 0.0, 10.5).rest == 0.0  # the same process
    lending.remove_holder("b")
    assert lending.add_holder("c", "r-0", WINDOW_S, {"fleet": 0.5}, 20.5, 21.0).rest == pytest.approx(2.5)


# -- admission --


def plan(**changes: object) -> Plan:
    defaults: dict[str, object] = {
        "fleet": Limit(200.0, 20.0, 200.0),
        "floor_fraction": 0.2,
        "floor_class": "confirm",
        "zones": (("edge-1", Limit(160.0, 16.0, 200.0)),),
        "client": Limit(20.0, 5.0, 20.0),
    }
    return Plan(**{**defaults, **changes})  # type: ignore[arg-type]


def test_a_plan_survives_json_and_invalid_plans_are_rejected() -> None:
    assert Plan.read(json.loads(json.dumps(plan().to_table()))) == plan()
    for invalid in ({"fleet": [1, 2]}, {}, {**plan().to_table(), "zones": [["a", "x", 1, 1]]}):
        with pytest.raises(PlanError):
            Plan.read(invalid)
    with pytest.raises(PlanError, match="no bucket at nowhere"):
        plan(classes=(("nowhere", "c", Limit(1, 1, 1)),)).hierarchy(1.0)


def admitted_per_s(
    routers: int,
    requested_per_s: dict[tuple[str, str], float],
    with_lessor: bool = True,
    seconds: float = 20.0,
) -> dict[tuple[str, str], float]:
    """Return the requests a second admitted by (class, client), with most requests at the first router."""
    lending = Lending(-100.0, WINDOW_S, routers, plan=plan())
    quotas = [Quota(plan(), lending.unleased_fraction / routers) for _ in range(routers)]
    for index in range(routers):
        lending.add_holder(str(index), f"r-{index}", WINDOW_S, {"fleet": 1 / routers}, 0.0, 0.0)
    rng = random.Random(5)
    weights = [1 / (rank + 1) for rank in range(routers)]
    arrivals = sorted(
        (rng.uniform(0, seconds), class_client)
        for class_client, rate in requested_per_s.items()
        for number in range(int(rate * seconds))
    )
    admitted = dict.fromkeys(requested_per_s, 0)
    fetched_at = 0.0
    for now, class_client in arrivals:
        while fetched_at <= now and with_lessor:
            fetched_at += 0.05
            for index, quota in enumerate(quotas):
                for path, count in quota.batches_to_fetch(fetched_at):
                    quota.add_batch(
                        path,
                        *lending.take_tokens(str(index), path, count, fetched_at),
                        fetched_at,
                        fetched_at,
                    )
        index = rng.choices(range(routers), weights)[0]
        if not quotas[index].take(("edge-1", *class_client), now):
            admitted[class_client] += 1
    return {class_client: count / seconds for class_client, count in admitted.items()}


@pytest.mark.parametrize("routers", [1, 5, 20])
def test_shared_limits_are_kept_and_used_by_any_router(routers: int) -> None:
    requested_per_s = {("image", f"c{number}"): 40.0 for number in range(12)}
    admitted = admitted_per_s(routers, requested_per_s)
    total = sum(admitted.values())
    assert 0.6 * 160 <= total <= 160 + 20 * (routers + 2) / 20.0
    shares = sorted(admitted.values())
    assert shares[0] > 0.5 * shares[-1]  # no client is starved


def test_the_reserved_class_keeps_its_floor_under_a_flood() -> None:
    admitted = admitted_per_s(
        5, {("image", "flood"): 2000.0, ("image", "other"): 500.0, ("confirm", "c"): 15.0}
    )
    assert admitted["confirm", "c"] >= 14.0 and admitted["image", "flood"] <= 21.0


def test_without_the_lessor_requests_are_admitted_from_the_unleased_share() -> None:
    admitted = admitted_per_s(5, {("image", f"c{number}"): 40.0 for number in range(12)}, with_lessor=False)
    assert 0.5 * 0.3 * 160 <= sum(admitted.values()) <= 0.3 * 200 + 10


def test_late_tokens_are_ignored() -> None:
    quota = Quota(plan(), 0.0001)
    path = ("edge-1", "image", "c")
    quota.take(path, 0.0)
    ((fetched_path, count),) = quota.batches_to_fetch(0.05)
    quota.add_batch(fetched_path, count, "", 0.05, 5.0)
    assert quota.fetched_count == 0 and [quota.take(path, 5.0 + n / 100) for n in range(3)][-1] != ""


# -- the lease file --


def test_a_lease_file_is_read_as_it_was_written(tmp_path: Path) -> None:
    written = LeaseFile("/s", 3.0, 0.3, 0.015, 1.0, plan(), 0.015)
    path = tmp_path / "leases.json"
    path.write_text(written.dumps())
    assert LeaseFile.read(path) == written
    for text in ("{", "[]", '{"socket": "x"}', written.dumps().replace('"own": 0.3', '"own": 7')):
        path.write_text(text)
        with pytest.raises(LeaseFileError, match="leases.json"):
            LeaseFile.read(path)


# -- real instances --


@pytest.fixture
def sharing_fleet(tmp_path: Path) -> Iterator[Daemon]:
    """Provide a fleet with leases, request limits and tracing."""
    daemon = Daemon(
        tmp_path,
        extra_settings="leases: {}\n tracing: ratio: 1\n"
        "limits: {rate: 1000, burst: 100, client: {rate: 3, burst: 3}}",
    )
    daemon.wait_for_phase("ready")
    yield daemon
    daemon.close()


def test_instances_connect_to_the_lease_socket_and_a_trace_shows_a_request(sharing_fleet: Daemon) -> None:
    ProcessHarness.wait_until(
        lambda: len(sharing_fleet.leases()["holders"]) == 2, "both instances to register as holders"
    )
    assert (sharing_fleet.folder / "leases.sock").stat().st_mode & 0o777 == 0o600
    client = sharing_fleet.client()
    client.send(X_TXN="00000000000000aa")
    sharing_fleet.harness.next_command().reply(body=b"x")
    assert client.read_answer().status == 200

    def spans_are_written() -> bool:
        return "outcome=ok" in "".join(
            path.read_text() for path in sharing_fleet.folder.glob("*/trace")
        ).replace('"outcome": "ok"', "outcome=ok")

    ProcessHarness.wait_until(spans_are_written, "spans in the trace file")
    report = sharing_fleet.run_command("trace", "00000000000000aa")
    assert "verdict=served" in report and "written" in report and "attempt" in report and "arrived" in report
    sharing_fleet.run_command("trace", "00000000000000ab", exit_code=1)
    sharing_fleet.run_command("trace", "nonsense", exit_code=2)
    assert "holder" in sharing_fleet.run_command("leases")


def test_a_client_over_its_limit_is_rejected_immediately(sharing_fleet: Daemon) -> None:
    client = sharing_fleet.client()
    answers = []
    for number in range(12):
        client.send(number + 1, cgi={"REMOTE_ADDR": "10.0.0.9"})
        if (fetch := sharing_fleet.harness.next_command_within(0.3)) is not None:
            fetch.reply(body=b"x")
        answers.append(client.read_answer())
    statuses = {answer.status for answer in answers}
    assert statuses == {200, 503}
    assert any(answer.status == 503 and int(answer.fields["X-Throttle-Ms"]) > 0 for answer in answers)


def test_holders_keep_serving_without_the_lessor_and_reconnect(sharing_fleet: Daemon) -> None:
    ProcessHarness.wait_until(
        lambda: len(sharing_fleet.leases()["holders"]) == 2, "both instances to register as holders"
    )
    pids_before = {name: instance["pid"] for name, instance in sharing_fleet.status().items()}
    sharing_fleet.process.kill()
    sharing_fleet.process.wait()
    client = sharing_fleet.client()
    client.send()
    sharing_fleet.harness.next_command().reply(body=b"x")  # served from the unleased share, without a lessor
    assert client.read_answer().status == 200
    sharing_fleet.process = sharing_fleet.start()
    ProcessHarness.wait_until(
        lambda: len(sharing_fleet.leases().get("holders", {})) == 2,
        "both instances to register as holders again",
    )
    assert {name: instance["pid"] for name, instance in sharing_fleet.status().items()} == pids_before


def test_a_killed_holder_is_removed_and_its_successor_gets_a_cooldown(sharing_fleet: Daemon) -> None:
    ProcessHarness.wait_until(
        lambda: len(sharing_fleet.leases()["holders"]) == 2, "both instances to register as holders"
    )
    os.kill(sharing_fleet.status()["r-0"]["pid"], signal.SIGKILL)
    ProcessHarness.wait_until(
        lambda: sharing_fleet.status()["r-0"]["restarts"] == 1, "the instance to be restarted"
    )
    ProcessHarness.wait_until(
        lambda: len(sharing_fleet.leases()["holders"]) == 2, "both instances to register as holders again"
    )
    assert 0 < LeaseFile.read(sharing_fleet.folder / "r-0" / "leases.json").rest <= WINDOW_S


def test_malformed_messages_end_only_their_own_connection(sharing_fleet: Daemon) -> None:
    ProcessHarness.wait_until(
        lambda: len(sharing_fleet.leases()["holders"]) == 2, "both instances to register as holders"
    )
    for message in (
        b"nonsense\n",
        b'{"do": "ask"}\n',
        b"x" * 10_000,
        b'{"do": "hello", "name": "n"}\n',
        b"[]\n",
    ):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(10)
            sock.connect(str(sharing_fleet.folder / "leases.sock"))
            sock.sendall(message)
            response = b""
            while part := sock.recv(4096):
                response += part
            assert b'"wrong"' in response
    time.sleep(0.05)
    assert len(sharing_fleet.leases()["holders"]) == 2

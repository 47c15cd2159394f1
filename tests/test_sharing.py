"""What routers share: the module's credit, the lessor's whole side, admission tokens; then a real fleet."""

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
from conftest import World, gets, make_nodes, make_settings
from stand import Stand
from test_fleet_daemon import Daemon

from stonecove.quotas.lending import Lending, LendingError
from stonecove.quotas.quota import Limit, Plan, PlanError, Quota
from stonecove.routing.actions import RETRY_LEASE, RequestLease, ReturnLease
from stonecove.routing.endpoints import EndpointListKind
from stonecove.routing.events import EndpointListUpdate, LeaseGranted, LeaseTerms
from stonecove.routing.leased_budget import LeasedBudget
from stonecove.server.leases import LeaseFile, LeaseFileError

WINDOW = 3.0


# -- the module --


def cold_world(own: float) -> World:
    """A director before one cold cache, sharing with others."""
    world = World(make_settings(zone_link_kb_per_s=(0.0, 4000.0, 4000.0), overload_multiple=1.0))
    cold = next(node for node in make_nodes() if node.node_id == 11)
    world.give(
        EndpointListUpdate(
            EndpointListKind.SNAPSHOT, (cold._replace(started_ms=world.now - 100.0), *make_nodes()[4:])
        )
    )
    world.give(LeaseTerms(own, 0.1))
    return world


def sent_to_cold(world: World, wait: float = 0.0) -> int:
    return sum(len(gets(world.ask(object_key=key, size_kb=20.0, wait=wait))) for key in range(60))


def test_without_a_piece_the_own_part_is_the_bound_and_a_piece_adds_its_work() -> None:
    whole, part = cold_world(1.0), cold_world(0.5)
    all_of_it, half = sent_to_cold(whole), sent_to_cold(part)
    assert 0 < half <= all_of_it / 2 + 1 and all_of_it > 3
    wants = [act for act in part.ask(object_key=7, size_kb=20.0) if isinstance(act, RequestLease)]
    assert wants and wants[0].node_id == 11 and wants[0].zonal and wants[0].share == 1.0
    assert half * 20.0 <= 0.5 * wants[0].fleet_limit_ms * wants[0].share <= half * 20.0 + 20.0
    assert part.give(LeaseGranted(1, 11, 50.0, part.now + 500.0)) == []
    assert sent_to_cold(part) == 2  # 40 of the 50 fit


def test_a_piece_is_spent_once_and_not_after_its_time() -> None:
    world = cold_world(0.0)
    assert sent_to_cold(world) == 0
    world.give(LeaseGranted(1, 11, 40.0, world.now + 100.0))
    world.now += 200.0
    assert sent_to_cold(world) == 0
    assert world.give(LeaseGranted(2, 11, 40.0, world.now + 500.0)) == [ReturnLease(1, 40.0)]
    assert world.give(LeaseGranted(2, 11, 40.0, world.now + 500.0)) == []  # told twice: it counts once
    assert sent_to_cold(world) == 2
    world.give(LeaseGranted(3, 11, 40.0, world.now + 500.0))
    assert ReturnLease(3, 40.0) in world.give(
        LeaseGranted(3, 11, 0.0, 0.0)
    )  # the steady clock's word goes first
    assert sent_to_cold(world) == 0


def test_retries_beyond_the_own_part_come_in_pieces() -> None:
    credit = LeasedBudget()
    credit.grant(0.0, LeaseGranted(1, RETRY_LEASE, 2.0, 100.0))
    assert [credit.spend(1.0, RETRY_LEASE, 1.0) for _ in range(3)] == [True, True, False]
    world = World()
    world.give(LeaseTerms(0.3, 0.015))  # one of 20: no more than one retry is saved up
    assert world.director.state.retries.max_tokens == 1.0
    acts = [act for _ in range(2) for act in world.director.handle(world.now, LeaseGranted(9, 99, 0.0, 0.0))]
    assert acts == []
    assert world.director.state.retries.try_spend(
        world.now, []
    ) and not world.director.state.retries.try_spend(world.now, [])
    world.give(LeaseGranted(1, RETRY_LEASE, 1.0, world.now + 100.0))
    assert world.director.state.retries.try_spend(
        world.now, []
    ) and not world.director.state.retries.try_spend(world.now, [])


# -- the lessor --


@pytest.mark.parametrize("seed", range(8))
def test_guards_and_pieces_together_keep_to_the_rule(seed: int) -> None:
    """Holders come, die and come back, some spend late or never; what is spent within any window is bound."""
    chooser, holders, rule = random.Random(seed), 6, 600.0
    lending = Lending(0.0, WINDOW, holders)
    keys: dict[int, str] = {}
    born = dict.fromkeys(range(holders), 0.0)
    rests = dict.fromkeys(range(holders), 0.0)
    guards: dict[int, deque[tuple[float, float]]] = {at: deque() for at in range(holders)}
    pieces: list[tuple[int, float, float]] = []  # holder, until, work
    spent: deque[tuple[float, float]] = deque()
    now, count, worst = 0.0, 0, 0.0
    for step in range(4000):
        now += chooser.expovariate(1 / 0.02)
        at = chooser.randrange(holders)
        if at not in keys:
            count += 1
            keys[at] = f"k{count}"
            terms = lending.hello(keys[at], f"h{at}", WINDOW, {"zone:1": 1 / holders}, born[at], now)
            rests[at] = max(rests[at], now + terms.rest)
        elif chooser.random() < 0.01:
            lending.gone(keys.pop(at))
            if chooser.random() < 0.5:  # its process died, and with it what it knew
                now += 0.001
                born[at], guards[at] = now, deque()
                pieces = [piece for piece in pieces if piece[0] != at]
        while guards[at] and guards[at][0][0] <= now - WINDOW:
            guards[at].popleft()
        own = lending.own * rule / holders if now >= rests[at] else 0.0
        if at in keys and sum(work for _, work in guards[at]) + 5.0 <= own:
            guards[at].append((now, 5.0))
            spent.append((now, 5.0))
        elif at in keys:
            grant = lending.ask(keys[at], step + 1, 11, 10.0, rule, "zone:1", now)
            if grant is not None:
                pieces.append((at, now + lending.life, grant.work))
        if pieces and chooser.random() < 0.7:
            _, until, work = pieces.pop(chooser.randrange(len(pieces)))
            if now < until:
                spent.append((now, work))
        while spent and spent[0][0] <= now - WINDOW:
            spent.popleft()
        worst = max(worst, sum(work for _, work in spent))
    assert 0.4 * rule < worst <= rule + 1e-6


def test_words_that_make_no_sense_are_refused_and_harm_nobody() -> None:
    lending = Lending(-100.0, WINDOW, 2)
    lending.hello("a", "r-0", WINDOW, {"zone:1": 0.5}, 0.0, 0.0)
    for wrong in (
        lambda: lending.hello("a", "r-0", WINDOW, {}, 0.0, 0.0),
        lambda: lending.hello("b", "r-1", 5.0, {}, 0.0, 0.0),
        lambda: lending.hello("b", "r-1", WINDOW, {"zone:1": 2.0}, 0.0, 0.0),
        lambda: lending.ask("c", 1, 11, 1.0, 1.0, "zone:1", 0.0),
        lambda: lending.ask("a", 1, 11, -1.0, 1.0, "zone:1", 0.0),
        lambda: lending.ask("a", 1, 11, 1.0, 1.0, "zone:2", 0.0),
        lambda: lending.take("a", ("z", "c", ""), 1, 0.0),
    ):
        with pytest.raises(LendingError):
            wrong()
    assert lending.ask("a", 1, 11, 1.0, 100.0, "zone:1", 0.0) is not None
    status = lending.status(0.0)
    assert status["nodes"] == {"s-0000000b": {"pool": "zone:1", "rule": 100.0, "lent": 1.0}}


def test_the_least_of_the_holders_last_words_counts() -> None:
    lending = Lending(-100.0, WINDOW, 2, own=0.2)

    def rule(now: float) -> float:
        return float(lending.status(now)["nodes"]["s-0000000b"]["rule"])  # type: ignore[index]

    for key in "ab":
        lending.hello(key, f"r-{key}", WINDOW, {"zone:1": 0.5}, 0.0, 0.0)
    lending.ask("a", 1, 11, 1.0, 100.0, "zone:1", 0.0, rises=10.0)
    assert rule(2.0) == 120.0
    lending.ask("b", 1, 11, 1.0, 1e9, "zone:1", 2.0)  # one that is wrong can't raise it
    assert rule(2.0) == 120.0
    lending.ask("b", 2, 11, 1.0, 50.0, "zone:1", 2.5)  # one that has heard of a new start lowers it
    assert rule(2.5) == 50.0
    lending.ask("a", 2, 11, 1.0, 50.0, "zone:1", 2.6)
    assert rule(2.6) == 50.0


def test_one_that_was_started_anew_waits_with_its_own_part() -> None:
    lending = Lending(-100.0, WINDOW, 2)
    assert lending.hello("a", "r-0", WINDOW, {"fleet": 0.5}, 0.0, 0.0).rest == 0.0
    lending.gone("a")
    assert lending.hello("b", "r-0", WINDOW, {"fleet": 0.5}, 0.0, 10.5).rest == 0.0  # the same process
    lending.gone("b")
    assert lending.hello("c", "r-0", WINDOW, {"fleet": 0.5}, 20.5, 21.0).rest == pytest.approx(2.5)


# -- admission --


def plan(**more: object) -> Plan:
    base: dict[str, object] = {
        "fleet": Limit(200.0, 20.0, 200.0),
        "floor": 0.2,
        "floor_class": "confirm",
        "zones": (("edge-1", Limit(160.0, 16.0, 200.0)),),
        "client": Limit(20.0, 5.0, 20.0),
    }
    return Plan(**{**base, **more})  # type: ignore[arg-type]


def test_a_plan_goes_through_json_and_nonsense_is_refused() -> None:
    assert Plan.read(json.loads(json.dumps(plan().told()))) == plan()
    for wrong in ({"fleet": [1, 2]}, {}, {**plan().told(), "zones": [["a", "x", 1, 1]]}):
        with pytest.raises(PlanError):
            Plan.read(wrong)
    with pytest.raises(PlanError, match="no bucket at nowhere"):
        plan(classes=(("nowhere", "c", Limit(1, 1, 1)),)).hierarchy(1.0)


def shared_play(
    routers: int, wanted: dict[tuple[str, str], float], lessor: bool = True, seconds: float = 20.0
) -> dict[tuple[str, str], float]:
    """What each (class, client) gets a second over so many routers, the first one asked most."""
    lending = Lending(-100.0, WINDOW, routers, plan=plan())
    quotas = [Quota(plan(), lending.own / routers) for _ in range(routers)]
    for at in range(routers):
        lending.hello(str(at), f"r-{at}", WINDOW, {"fleet": 1 / routers}, 0.0, 0.0)
    chooser = random.Random(5)
    weights = [1 / (rank + 1) for rank in range(routers)]
    due = sorted(
        (chooser.uniform(0, seconds), who)
        for who, rate in wanted.items()
        for number in range(int(rate * seconds))
    )
    got = dict.fromkeys(wanted, 0)
    looked = 0.0
    for now, who in due:
        while looked <= now and lessor:
            looked += 0.05
            for at, quota in enumerate(quotas):
                for path, count in quota.wants(looked):
                    quota.granted(path, *lending.take(str(at), path, count, looked), looked, looked)
        at = chooser.choices(range(routers), weights)[0]
        if not quotas[at].take(("edge-1", *who), now):
            got[who] += 1
    return {who: count / seconds for who, count in got.items()}


@pytest.mark.parametrize("routers", [1, 5, 20])
def test_shared_limits_are_kept_and_used_whoever_is_asked(routers: int) -> None:
    wanted = {("image", f"c{number}"): 40.0 for number in range(12)}
    got = shared_play(routers, wanted)
    total = sum(got.values())
    assert 0.6 * 160 <= total <= 160 + 20 * (routers + 2) / 20.0
    shares = sorted(got.values())
    assert shares[0] > 0.5 * shares[-1]  # no client is starved


def test_the_valued_class_keeps_its_floor_under_a_flood() -> None:
    got = shared_play(5, {("image", "flood"): 2000.0, ("image", "other"): 500.0, ("confirm", "c"): 15.0})
    assert got["confirm", "c"] >= 14.0 and got["image", "flood"] <= 21.0


def test_without_the_lessor_the_own_part_is_left() -> None:
    got = shared_play(5, {("image", f"c{number}"): 40.0 for number in range(12)}, lessor=False)
    assert 0.5 * 0.3 * 160 <= sum(got.values()) <= 0.3 * 200 + 10


def test_late_tokens_are_passed_over() -> None:
    quota = Quota(plan(), 0.0001)
    path = ("edge-1", "image", "c")
    quota.take(path, 0.0)
    ((asked, count),) = quota.wants(0.05)
    quota.granted(asked, count, "", 0.05, 5.0)
    assert quota.fetched == 0 and [quota.take(path, 5.0 + n / 100) for n in range(3)][-1] != ""


# -- the supervisor's file --


def test_a_lease_file_is_read_as_it_was_written(tmp_path: Path) -> None:
    made = LeaseFile("/s", 3.0, 0.3, 0.015, 1.0, plan(), 0.015)
    path = tmp_path / "leases.json"
    path.write_text(made.dumps())
    assert LeaseFile.read(path) == made
    for text in ("{", "[]", '{"socket": "x"}', made.dumps().replace('"own": 0.3', '"own": 7')):
        path.write_text(text)
        with pytest.raises(LeaseFileError, match="leases.json"):
            LeaseFile.read(path)


# -- real instances --


@pytest.fixture
def sharing(tmp_path: Path) -> Iterator[Daemon]:
    made = Daemon(
        tmp_path,
        more="leases: {}\n tracing: ratio: 1\nlimits: {rate: 1000, burst: 100, client: {rate: 3, burst: 3}}",
    )
    made.wait_phase("ready")
    yield made
    made.close()


def test_instances_share_over_the_socket_and_traces_tell_a_request(sharing: Daemon) -> None:
    Stand.wait(lambda: len(sharing.leases()["holders"]) == 2, "both holders")
    assert (sharing.folder / "leases.sock").stat().st_mode & 0o777 == 0o600
    client = sharing.client()
    client.send(X_TXN="00000000000000aa")
    sharing.stand.command().reply(body=b"x")
    assert client.answer().status == 200

    def traced() -> bool:
        return "outcome=ok" in "".join(path.read_text() for path in sharing.folder.glob("*/trace")).replace(
            '"outcome": "ok"', "outcome=ok"
        )

    Stand.wait(traced, "spans in the file")
    said = sharing.do("trace", "00000000000000aa")
    assert "verdict=served" in said and "written" in said and "attempt" in said and "arrived" in said
    sharing.do("trace", "00000000000000ab", code=1)
    sharing.do("trace", "nonsense", code=2)
    assert "holder" in sharing.do("leases")


def test_a_client_over_its_limit_is_refused_at_once_by_name(sharing: Daemon) -> None:
    client = sharing.client()
    answers = []
    for number in range(12):
        client.send(number + 1, cgi={"REMOTE_ADDR": "10.0.0.9"})
        if (fetch := sharing.stand.maybe_command(0.3)) is not None:
            fetch.reply(body=b"x")
        answers.append(client.answer())
    statuses = {answer.status for answer in answers}
    assert statuses == {200, 503}
    assert any(answer.status == 503 and int(answer.fields["X-Throttle-Ms"]) > 0 for answer in answers)


def test_holders_outlive_the_lessor_and_come_back(sharing: Daemon) -> None:
    Stand.wait(lambda: len(sharing.leases()["holders"]) == 2, "both holders")
    before = {name: unit["pid"] for name, unit in sharing.status().items()}
    sharing.process.kill()
    sharing.process.wait()
    client = sharing.client()
    client.send()
    sharing.stand.command().reply(body=b"x")  # nobody to lend: the own part serves
    assert client.answer().status == 200
    sharing.process = sharing.start()
    Stand.wait(lambda: len(sharing.leases().get("holders", {})) == 2, "both holders again")
    assert {name: unit["pid"] for name, unit in sharing.status().items()} == before


def test_a_killed_holder_leaves_the_book_and_its_successor_rests(sharing: Daemon) -> None:
    Stand.wait(lambda: len(sharing.leases()["holders"]) == 2, "both holders")
    os.kill(sharing.status()["r-0"]["pid"], signal.SIGKILL)
    Stand.wait(lambda: sharing.status()["r-0"]["restarts"] == 1, "a new start")
    Stand.wait(lambda: len(sharing.leases()["holders"]) == 2, "both holders again")
    assert 0 < LeaseFile.read(sharing.folder / "r-0" / "leases.json").rest <= WINDOW


def test_strange_words_end_their_own_connection_alone(sharing: Daemon) -> None:
    Stand.wait(lambda: len(sharing.leases()["holders"]) == 2, "both holders")
    for words in (
        b"nonsense\n",
        b'{"do": "ask"}\n',
        b"x" * 10_000,
        b'{"do": "hello", "name": "n"}\n',
        b"[]\n",
    ):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(10)
            sock.connect(str(sharing.folder / "leases.sock"))
            sock.sendall(words)
            said = b""
            while part := sock.recv(4096):
                said += part
            assert b'"wrong"' in said
    time.sleep(0.05)
    assert len(sharing.leases()["holders"]) == 2

"""Decisions of the fleet without processes: restarts, rolls, places, leases, buckets, the journal, logs."""

from __future__ import annotations

import json
import os
import random
import time
from collections import deque
from pathlib import Path
from typing import Any

import pytest

from stonecove.fleet import logs, probe, runfile
from stonecove.fleet.journal import HEAD, MAGIC, Journal, JournalError, decode, encode
from stonecove.fleet.placement import Demand, Host, place
from stonecove.fleet.restart import Do, Instance, Phase, Policy
from stonecove.fleet.rolling import Roll, RollState
from stonecove.quotas.buckets import Bucket, BucketHierarchy
from stonecove.quotas.leases import Grant, LeaseHolder, Lessor, unleased_fraction_for
from stonecove.runtime.notify import notify, watchdog_interval_s
from stonecove.runtime.pipe import PipeSink, open_pipe_sink

# -- restarts --


def running(policy: Policy = Policy()) -> Instance:  # noqa: B008
    one = Instance(policy)
    assert one.want(True, 0.0) == [Do.START] and one.health(True, 0.1) == []
    assert one.phase is Phase.READY
    return one


def test_a_crash_is_followed_by_waits_that_double_and_then_by_a_hold() -> None:
    one, now, waits = running(Policy(first_wait=0.2, longest_wait=1.0, most_restarts=4)), 1.0, []
    for _ in range(4):
        assert one.exited("ended by SIGSEGV", now) == [] and one.phase is Phase.WAITING
        waits.append(round(one.next_due() - now, 3))
        assert one.tick(one.next_due() - 0.01) == []
        now = one.next_due()
        assert one.tick(now) == [Do.START]
        now += 0.1
        one.health(True, now)
    assert waits == [0.2, 0.4, 0.8, 1.0]
    assert one.exited("ended by SIGSEGV", now) == [Do.ALARM] and one.phase is Phase.HELD
    assert "4 restarts within 60 s" in one.why and one.next_due() == float("inf")
    assert one.want(True, now + 1) == [Do.START]  # an operator releases it
    assert one.exited("x", now + 2) == [] and one.next_due() == now + 2 + 0.2


def test_what_is_calm_for_long_enough_begins_anew() -> None:
    one = running(Policy(calm_for=30.0))
    one.exited("x", 1.0)
    one.tick(1.2)
    one.health(True, 2.0)
    assert one.tick(32.0) == []
    one.exited("x", 33.0)
    assert one.next_due() == 33.2


@pytest.mark.parametrize("cause", ["late", "hung", "memory"])
def test_what_is_late_or_hangs_or_takes_too_much_is_ended_and_started_anew(cause: str) -> None:
    one, now = (Instance(Policy()), 0.0) if cause == "late" else (running(), 1.0)
    if cause == "late":
        one.want(True, 0.0)
        now = one.next_due()
        steps = one.tick(now)
    elif cause == "hung":
        assert one.health(False, now) == [] and one.health(False, now) == []
        steps = one.health(False, now)
    else:
        steps = one.over_limit("300 MiB", now)
    assert steps == [Do.TERMINATE] and one.phase.value == "stopping"
    now = one.next_due()
    assert one.tick(now) == [Do.KILL]  # it ignores SIGTERM
    assert (
        one.exited("ended by SIGKILL", now + 0.1) == [] and one.phase is Phase.WAITING and one.restarts == 1
    )


def test_wanted_and_not_wanted_in_any_order() -> None:
    one = running()
    assert one.want(False, 1.0) == [Do.TERMINATE]
    assert one.want(True, 1.1) == []  # it is still ending
    assert one.exited("ended with 0", 2.0) == [Do.START] and one.restarts == 0
    one.want(False, 2.1)
    assert one.exited("ended with 0", 3.0) == [] and one.phase is Phase.STOPPED
    assert one.again(4.0, "rolled") == [Do.START]
    one.health(True, 4.1)
    assert one.again(5.0, "rolled") == [Do.TERMINATE] and one.exited("ended with 0", 6.0) == [Do.START]


def test_what_is_kept_outlives_the_supervisor_and_a_clock_that_is_set_back() -> None:
    one = running(Policy(most_restarts=2))
    for now in (1.0, 2.0):
        one.exited("x", now)
        one.tick(one.next_due())
    kept = json.loads(json.dumps(one.keep(1000.0, 3.0)))
    for wall in (1005.0, 900.0):  # later, and after the clock was set back
        other = Instance(Policy(most_restarts=2))
        other.recall(kept, wall, 50.0)
        assert other.wanted and other.restarts == 2 and other.phase is Phase.STOPPED
        other.want(True, 50.0, "wanted")
    held = Instance(Policy(most_restarts=2))
    held.recall({**kept, "held": True}, 1005.0, 50.0)
    assert held.phase is Phase.HELD


# -- rolls --


def test_a_roll_takes_no_more_out_than_was_stated() -> None:
    roll = Roll()
    roll.begin(list("abcd"), 2)
    assert [step.name for step in roll.next(set())] == ["a", "b"]
    assert roll.next({"a", "b"}) == []
    roll.ready("a")
    assert [step.name for step in roll.next({"b"})] == ["c"]
    roll.ready("b")
    assert roll.next({"c", "x"}) == []  # x is down by itself
    assert [step.name for step in roll.next({"c"})] == ["d"]
    for name in "cd":
        roll.ready(name)
    assert roll.next(set()) == [] and roll.state is RollState.DONE and roll.done == list("abcd")


def test_a_roll_stops_at_the_first_that_fails_and_is_recalled() -> None:
    roll = Roll()
    roll.begin(list("abc"), 1)
    roll.next(set())
    with pytest.raises(ValueError, match="under way"):
        roll.begin(["a"], 1)
    again = Roll()
    again.recall(json.loads(json.dumps(roll.keep())), {"a", "c"})
    assert (again.state, again.under_way, again.left) == (RollState.ROLLING, ["a"], ["c"])
    again.failed("a", "not ready within 10 s")
    assert (
        again.state is RollState.STOPPED
        and again.why == "a: not ready within 10 s"
        and again.next(set()) == []
    )
    again.failed("c", "x")
    assert again.why.startswith("a:")


# -- places --


def test_places_are_balanced_kept_and_never_bent() -> None:
    host = Host((0, 1, 2), 3 << 30, 1024)
    wanted = {f"r{number}": Demand(0.5, 100 << 20, 256) for number in range(6)}
    found = place(wanted, host)
    assert sorted(at.cpu for at in found.places.values()) == [0, 0, 1, 1, 2, 2] and not found.problems
    kept = place(wanted, host, {"r5": 0, "r4": 0})
    assert kept.places["r5"].cpu == kept.places["r4"].cpu == 0
    assert place({**wanted, "x": Demand(0.1, 1, 1)}, host).problems
    wrong = place({"a": Demand(1.5, 1, 1), "b": Demand(0.1, 4 << 30, 2048)}, host).problems
    assert len(wrong) == 3 and not place({"a": Demand(1.5, 1, 1)}, host).places
    assert place({"a": Demand(0.1, 1, 1)}, Host((), 1, 1)).problems == ("no core may be used",)


@pytest.mark.parametrize("number", range(30))
def test_places_that_are_found_hold_whatever_is_wanted(number: int) -> None:
    chooser = random.Random(number)
    host = Host(tuple(range(chooser.randrange(1, 5))), 1 << 30, 100)
    wanted = {
        f"r{one}": Demand(chooser.choice((0.2, 0.4, 0.5, 1.0)), 1, 1)
        for one in range(chooser.randrange(1, 9))
    }
    found = place(wanted, host, {"r0": 0, "r1": 0, "gone": 3})
    load = dict.fromkeys(host.cpus, 0.0)
    for name, at in found.places.items():
        load[at.cpu] += wanted[name].cores
    assert bool(found.places) != bool(found.problems) and all(used <= 1.0 + 1e-9 for used in load.values())
    assert found.problems or set(found.places) == set(wanted)


# -- leases --

WINDOW, RULE = 4.0, 100.0


def test_pieces_are_asked_granted_spent_and_age_out() -> None:
    lessor = Lessor(WINDOW, 0.0)
    lessor.set_limit(7, RULE, 0.0)
    assert lessor.request_lease("a", 1, 7, 1.0) is None  # it knows nothing of the past yet
    now = 5.0
    holder = LeaseHolder(lessor.lifetime_s)
    number = holder.begin_request(7, now)
    assert number == 1 and holder.begin_request(7, now) is None
    grant = lessor.request_lease("a", number, 7, now)
    assert (
        grant is not None and lessor.request_lease("a", number, 7, now) == grant
    )  # asked twice, granted once
    assert holder.accept_grant(grant, now) and not holder.accept_grant(grant, now)
    assert holder.spend(7, grant.work / 2, now) and not holder.spend(7, grant.work, now)
    assert holder.unspent_work(7, now + lessor.lifetime_s) == 0.0 and not holder.spend(
        7, 0.1, now + lessor.lifetime_s
    )
    assert (
        holder.pop_expired(now + lessor.lifetime_s) == [(1, grant.work / 2)]
        and holder.pop_expired(now + 99) == []
    )
    lessor.return_lease("a", 1, grant.work / 2, now + 1)
    lessor.return_lease("a", 1, grant.work / 2, now + 1)
    assert lessor.booked_work(7, now + 1) == pytest.approx(grant.work / 2)
    assert lessor.booked_work(7, now + WINDOW + lessor.lifetime_s) == 0.0
    assert lessor.request_lease("a", 9, 8, now) is None  # a node without a rule


def test_late_strange_and_given_up_answers_are_passed_over() -> None:
    holder = LeaseHolder(1.0)
    number = holder.begin_request(7, 0.0)
    assert number is not None
    assert not holder.accept_grant(Grant(number, 8, 5.0), 0.1)  # of another node
    number = holder.begin_request(7, 1.5)
    assert number is not None and not holder.accept_grant(Grant(number, 7, 5.0), 2.5)  # late
    number = holder.begin_request(7, 3.0)
    assert number is not None and holder.begin_request(7, 4.1) == number + 1  # given up
    assert not holder.accept_grant(Grant(number, 7, 5.0), 4.2)
    holder.end_request(number + 1)
    assert holder.begin_request(7, 4.3) == number + 2 and holder.ignored_grants == 3


@pytest.mark.parametrize("number", range(12))
def test_what_is_spent_within_any_window_keeps_to_the_rule(number: int) -> None:
    """Many holders, answers that are late or lost, holders that die, a lessor that starts anew, a rule
    that rises.
    """
    chooser = random.Random(number)
    lessor, now, rule = Lessor(WINDOW, 0.0), 0.0, RULE / 4
    holders = [LeaseHolder(lessor.lifetime_s) for _ in range(6)]
    names = [f"h{place}" for place in range(6)]
    spent: deque[float] = deque()
    in_flight: list[tuple[float, LeaseHolder, Grant]] = []
    most, work = 0, 0.1
    for _ in range(12_000):
        now += chooser.expovariate(400.0)
        rule = min(RULE, rule * 1.0005)
        lessor.set_limit(7, rule, now)
        at = chooser.randrange(6)
        if chooser.random() < 0.002:
            lessor.remove_holder(names[at])
            holders[at], names[at] = LeaseHolder(lessor.lifetime_s), f"{names[at]}'"
        if chooser.random() < 0.0001:
            lessor = Lessor(WINDOW, now)
            lessor.set_limit(7, rule, now)
        if (asked := holders[at].begin_request(7, now)) is not None:
            for _ in range(chooser.choice((1, 1, 2))):
                grant = lessor.request_lease(names[at], asked, 7, now)
                if grant is None:
                    holders[at].end_request(asked)
                elif chooser.random() < 0.9:
                    in_flight.append((now + chooser.choice((0.0, 0.01, 2.0)), holders[at], grant))
        for one in [one for one in in_flight if one[0] <= now]:
            one[1].accept_grant(one[2], now)
            in_flight.remove(one)
        if holders[at].spend(7, work, now):
            spent.append(now)
        for returned, left in holders[at].pop_expired(now):
            lessor.return_lease(names[at], returned, left, now)
        while spent and spent[0] <= now - WINDOW:
            spent.popleft()
        most = max(most, len(spent))
        assert len(spent) * work <= 0.7 * rule + 1e-6
    assert most * work > 0.2 * RULE


@pytest.mark.parametrize(("holders", "piece"), [(1, 1.4), (20, 1.0), (2000, 1.0)])
def test_among_many_a_piece_is_what_is_wanted(holders: int, piece: float) -> None:
    lessor = Lessor(WINDOW, -9.0)
    lessor.set_limit(7, RULE, 0.0)
    for number in range(holders):
        lessor.request_lease(f"h{number}", 1, 7, 0.0, 1.0)
    before = lessor.booked_work(7, 0.0)
    assert before <= 0.7 * RULE
    if holders < 50:
        grant = lessor.request_lease("one more", 1, 7, 0.0, 1.0)
        assert grant is not None and grant.work == pytest.approx(piece if holders > 1 else 1.4)
    assert unleased_fraction_for(1) == unleased_fraction_for(5) == 0.3 and unleased_fraction_for(
        2000
    ) == pytest.approx(0.00075)
    piece_for_large = Lessor(WINDOW, -9.0)
    piece_for_large.set_limit(7, RULE, 0.0)
    large = piece_for_large.request_lease("one", 1, 7, 0.0, 0.2 * RULE)
    assert large is not None and large.work == 0.2 * RULE  # less would be of no use


def test_a_clock_that_jumps_back_ends_what_was_known() -> None:
    lessor = Lessor(WINDOW, 100.0)
    lessor.set_limit(7, RULE, 110.0)
    assert lessor.request_lease("a", 1, 7, 110.0)
    assert lessor.request_lease("a", 2, 7, 50.0) is None
    lessor.set_limit(7, RULE, 51.0)
    assert lessor.request_lease("a", 3, 7, 54.4) is None and lessor.request_lease("a", 4, 7, 54.6)


# -- buckets --


def test_a_bucket_needs_sense() -> None:
    for wrong in ((5, 1, 3), (-1, 1, 3), (1, 0, 3)):
        with pytest.raises(ValueError, match="rate"):
            Bucket(*wrong)
    with pytest.raises(ValueError, match="floor"):
        BucketHierarchy(10, 10, 1.0)
    with pytest.raises(ValueError, match="no bucket at z"):
        BucketHierarchy(10, 10).add_bucket(("z", "c"), 1, 1, 1)


def play(
    limits: BucketHierarchy, wanted: dict[tuple[str, str, str], float], seconds: float = 20.0
) -> dict[Any, float]:
    """What each gets a second, if it asks so often."""
    taken = dict.fromkeys(wanted, 0)
    due = sorted(
        (number / rate, who) for who, rate in wanted.items() for number in range(int(rate * seconds))
    )
    for now, who in due:
        if not limits.take(*who, now):
            taken[who] += 1
    return {who: count / seconds for who, count in taken.items()}


def test_what_one_leaves_others_may_borrow_and_each_keeps_its_own() -> None:
    limits = BucketHierarchy(100, 10)
    for zone in "ab":
        limits.add_bucket((zone,), 50, 10, 100)
    alone = play(limits, {("a", "x", "c"): 300})
    assert 95 <= alone["a", "x", "c"] <= 105  # the other zone's part is free
    limits = BucketHierarchy(100, 10)
    for zone in "ab":
        limits.add_bucket((zone,), 50, 10, 100)
    both = play(limits, {("a", "x", "c"): 900, ("b", "x", "c"): 60})
    assert sum(both.values()) <= 106 and both["b", "x", "c"] >= 40


def test_the_most_valued_class_has_a_floor_that_none_may_borrow() -> None:
    limits = BucketHierarchy(100, 10, 0.2, "pick-confirm")
    got = play(limits, {("a", "item-image", "c"): 1000, ("a", "pick-confirm", "c"): 18})
    assert got["a", "pick-confirm", "c"] >= 17.9 and got["a", "item-image", "c"] <= 82
    assert "fleet" in {limits.take("a", "item-image", "c", 20.0) for _ in range(20)}


def test_a_refusal_names_its_limit_and_clients_are_bounded_each() -> None:
    limits = BucketHierarchy(1000, 100)
    limits.add_bucket(("a",), 500, 50, 1000)
    limits.add_bucket(("a", "x"), 100, 10, 200)
    limits.add_bucket(("a", "x", "greedy"), 5, 5, 5)
    assert [limits.take("a", "x", "greedy", 0.0) for _ in range(6)] == [""] * 5 + ["a/x/greedy"]
    assert limits.take("a", "x", "other", 0.0) == ""
    assert limits.take("a", "x", "greedy", -100.0) == "a/x/greedy"  # a clock set back earns nothing


# -- the journal --


class CrashDisk:
    """A disk that stops after so many bytes of all that is written, or refuses to write."""

    def __init__(self, files: dict[Path, bytes] | None = None, stop_after: int = 1 << 30) -> None:
        self.files, self.left, self.full = dict(files or {}), stop_after, False

    def read(self, path: Path) -> bytes:
        return self.files.get(path, b"")

    def append(self, path: Path, data: bytes) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        part = data[: self.left]
        self.left -= len(part)
        self.files[path] = self.files.get(path, b"") + part
        if len(part) < len(data):
            raise KeyboardInterrupt

    def truncate(self, path: Path, size: int) -> None:
        self.files[path] = self.files[path][:size]

    def replace(self, path: Path, data: bytes) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        if self.left < len(data):
            self.left = 0
            raise KeyboardInterrupt  # the new file is not whole: the old one stays
        self.left -= len(data)
        self.files[path] = data


PATH = Path("journal")


def test_a_crash_at_every_byte_leaves_what_was_acknowledged() -> None:
    wanted: list[tuple[str, Any]] = [
        (f"unit/r{number % 3}", {"wanted": bool(number % 2), "n": number}) for number in range(9)
    ]
    wanted.append(("unit/r1", None))
    whole = CrashDisk()
    journal = Journal(PATH, whole)
    for key, value in wanted:
        journal.put(key, value)
    for stop in range(len(whole.files[PATH]) + 1):
        disk = CrashDisk(stop_after=stop)
        acknowledged: dict[str, Any] = {}
        at_most: dict[str, Any] = {}
        try:
            journal = Journal(PATH, disk)
            for key, value in wanted:
                at_most = {**acknowledged, key: value}
                journal.put(key, value)
                acknowledged = at_most
        except KeyboardInterrupt:
            pass
        again = Journal(PATH, CrashDisk(disk.files))
        clean = [
            {key: value for key, value in state.items() if value is not None}
            for state in (acknowledged, at_most)
        ]
        assert again.values in clean
        assert Journal(PATH, CrashDisk({PATH: disk.files.get(PATH, b"")})).put("x", 1)


def test_a_torn_tail_is_cut_and_a_broken_middle_is_refused_with_its_place() -> None:
    records = [encode({"key": f"k{number}", "value": number}) for number in range(3)]
    data = MAGIC + b"".join(records)
    assert decode(data[:-1])[1] == len(data) - len(records[2])
    spoilt = bytearray(data)
    middle = len(MAGIC) + len(records[0])
    spoilt[middle + HEAD.size + 3] ^= 1
    with pytest.raises(JournalError, match=f"byte {middle}: .*byte {middle + len(records[1])}"):
        decode(bytes(spoilt))
    with pytest.raises(JournalError, match="version"):
        decode(b"something else")
    assert decode(MAGIC[:5]) == ([], 0)


def test_a_full_disk_is_told_and_made_good(tmp_path: Path) -> None:
    disk = CrashDisk()
    journal = Journal(PATH, disk)
    assert journal.put("a", 1)
    disk.full = True
    assert not journal.put("b", 2) and journal.values == {"a": 1, "b": 2} and journal.failed == 1
    disk.full = False
    assert journal.put("c", 3) and Journal(PATH, disk).values == {"a": 1, "b": 2, "c": 3}
    real = Journal(tmp_path / "journal")
    for number in range(5000):  # past a compaction
        real.put("n", number)
    assert Journal(tmp_path / "journal").values == {"n": 4999}
    assert (tmp_path / "journal").stat().st_size < 100_000


# -- run files, logs, notify --


def test_a_run_file_tells_a_process_from_its_pid(tmp_path: Path) -> None:
    mine = runfile.own()
    runfile.write(tmp_path, mine)
    assert runfile.read(tmp_path) == mine and runfile.alive(mine)
    assert not runfile.alive(mine._replace(start=mine.start + 1)) and not runfile.alive(
        mine._replace(boot="x")
    )
    assert not runfile.alive(None) and not runfile.alive(mine._replace(pid=1 << 22))
    (tmp_path / runfile.NAME).write_text("{")
    assert runfile.read(tmp_path) is None
    runfile.clear(tmp_path)
    assert runfile.read(tmp_path) is None


def test_a_pipe_nobody_empties_drops_with_a_count_and_never_waits(tmp_path: Path) -> None:
    path = logs.make_pipe(tmp_path)
    pipe = PipeSink(str(path))
    for number in range(3000):
        pipe("event", {"number": number, "pad": "x" * 60})
    assert pipe.dropped > 1000
    dropped, fd = pipe.dropped, logs.open_pipe(path)
    data, lines = b"", logs.Lines()
    while True:
        try:
            data += os.read(fd, 65_536)
        except BlockingIOError:
            break
    pipe("event", {"number": "last"})
    told = lines.feed(data + os.read(fd, 65_536))
    assert all(" event number=" in line for line in told[:-2])
    assert told[-2].endswith(f"log-dropped count={dropped}") and told[-1].endswith("event number=last")
    os.close(fd)
    assert logs.make_pipe(tmp_path) == path


def test_lines_as_json_keep_event_and_fields(tmp_path: Path) -> None:
    path = logs.make_pipe(tmp_path)
    pipe = open_pipe_sink(f"json:{path}")
    pipe("node", {"id": "s-1", "time": 5})
    fd = logs.open_pipe(path)
    table = json.loads(os.read(fd, 4096))
    os.close(fd)
    assert table["event"] == "node" and table["id"] == "s-1" and table["time_"] == 5 and table["time"] > 1e9


def test_logs_rotate_by_size_and_merge_by_time(tmp_path: Path) -> None:
    for name in "ab":
        (tmp_path / name).mkdir()
    writer = logs.Writer()
    files = {name: logs.RotatingFile(tmp_path / name / logs.FILE, 2000, 2) for name in "ab"}
    for number in range(500):
        writer.put(files["ab"[number % 2]], f"{1000 + number}.5 event number={number}")
    writer.close()
    merged = list(logs.merged([(name, tmp_path / name) for name in "ab"]))
    numbers = [int(line.rpartition("=")[2]) for _, _, line in merged]
    assert numbers == sorted(numbers) and numbers[-1] == 499 and {name for _, name, _ in merged} == {"a", "b"}
    assert sorted(path.name for path in (tmp_path / "a").iterdir()) == ["log", "log.1", "log.2"]
    assert all(path.stat().st_size <= 2000 for path in (tmp_path / "a").iterdir())


class FullFile(logs.RotatingFile):
    """A file on a disk that is full, or slow."""

    full, slow = False, 0.0

    def write(self, data: bytes) -> None:
        time.sleep(self.slow)
        if self.full:
            raise OSError(28, "No space left on device")
        super().write(data)


def test_a_full_or_slow_disk_drops_with_a_count(tmp_path: Path) -> None:
    writer, file = logs.Writer(most_queued=50), FullFile(tmp_path / "log", 10_000, 1)
    file.full = True
    writer.put(file, "1.0 event lost=1")
    while writer.dropped < 1:
        time.sleep(0.001)
    file.full, file.slow = False, 0.02
    began = time.monotonic()
    for number in range(500):
        writer.put(file, f"2.0 event number={number}")
    assert time.monotonic() - began < 1.0 and writer.dropped > 400
    writer.close(5.0)
    text = (tmp_path / "log").read_text()
    assert "log-dropped count=" in text and "lost=1" not in text


def test_states_are_told_to_a_service_manager(tmp_path: Path) -> None:
    import socket

    path = str(tmp_path / "notify")
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind(path)
        assert notify("READY=1", "STATUS=fine", env={"NOTIFY_SOCKET": path})
        assert manager.recv(100) == b"READY=1\nSTATUS=fine"
    assert not notify("READY=1", env={"NOTIFY_SOCKET": path}) and not notify("READY=1", env={})
    assert watchdog_interval_s({"WATCHDOG_USEC": "3000000"}) == 1.5 and watchdog_interval_s({}) is None
    assert (
        watchdog_interval_s({"WATCHDOG_USEC": "x"}) is None
        and watchdog_interval_s({"WATCHDOG_PID": "1"}) is None
    )


@pytest.mark.parametrize(("status", "good"), [(b"200 OK", True), (b"503 Service Unavailable", False)])
def test_an_answer_to_a_health_check_is_read_from_any_pieces(status: bytes, good: bool) -> None:
    from stonecove.protocols.fastcgi import codec as fastcgi

    data = fastcgi.record(fastcgi.STDOUT, 1, b"Status: " + status + b"\r\n\r\n") + fastcgi.record(
        fastcgi.END, 1, bytes(8)
    )
    assert probe.answered(data) is good
    assert all(probe.answered(data[:cut]) is None for cut in range(len(data)))

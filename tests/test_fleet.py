"""Fleet decisions and storage without processes: restarts, placement, leases, quotas, journal and logs."""

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
from stonecove.fleet.journal import MAGIC, RECORD_HEADER, Journal, JournalError, decode, encode
from stonecove.fleet.placement import Demand, Host, place_instances
from stonecove.fleet.restart import Action, InstanceLifecycle, Phase, RestartPolicy
from stonecove.fleet.rolling import RollingRestart, RollingState
from stonecove.quotas.buckets import Bucket, BucketHierarchy
from stonecove.quotas.leases import Grant, LeaseHolder, Lessor, unleased_fraction_for
from stonecove.runtime.notify import notify, watchdog_interval_s
from stonecove.runtime.pipe import PipeSink, open_pipe_sink

# -- restarts --


def ready_instance(policy: RestartPolicy = RestartPolicy()) -> InstanceLifecycle:  # noqa: B008
    """Return an instance that is ready."""
    instance = InstanceLifecycle(policy)
    assert instance.set_should_run(True, 0.0) == [Action.START] and instance.on_health_check(True, 0.1) == []
    assert instance.phase is Phase.READY
    return instance


def test_backoff_doubles_after_each_crash_until_the_instance_is_suspended() -> None:
    instance, now, backoffs = (
        ready_instance(RestartPolicy(initial_backoff_s=0.2, max_backoff_s=1.0, max_restarts=4)),
        1.0,
        [],
    )
    for _ in range(4):
        assert instance.on_exited("ended by SIGSEGV", now) == [] and instance.phase is Phase.BACKING_OFF
        backoffs.append(round(instance.next_deadline() - now, 3))
        assert instance.tick(instance.next_deadline() - 0.01) == []
        now = instance.next_deadline()
        assert instance.tick(now) == [Action.START]
        now += 0.1
        instance.on_health_check(True, now)
    assert backoffs == [0.2, 0.4, 0.8, 1.0]
    assert instance.on_exited("ended by SIGSEGV", now) == [Action.ALARM] and instance.phase is Phase.SUSPENDED
    assert "4 restarts within 60 s" in instance.reason and instance.next_deadline() == float("inf")
    assert instance.set_should_run(True, now + 1) == [Action.START]  # an operator starts it again
    assert instance.on_exited("x", now + 2) == [] and instance.next_deadline() == now + 2 + 0.2


def test_backoff_is_reset_after_a_period_of_readiness() -> None:
    instance = ready_instance(RestartPolicy(backoff_reset_s=30.0))
    instance.on_exited("x", 1.0)
    instance.tick(1.2)
    instance.on_health_check(True, 2.0)
    assert instance.tick(32.0) == []
    instance.on_exited("x", 33.0)
    assert instance.next_deadline() == 33.2


@pytest.mark.parametrize("cause", ["late", "hung", "memory"])
def test_late_start_hang_and_excess_memory_lead_to_kill_and_restart(cause: str) -> None:
    instance, now = (InstanceLifecycle(RestartPolicy()), 0.0) if cause == "late" else (ready_instance(), 1.0)
    if cause == "late":
        instance.set_should_run(True, 0.0)
        now = instance.next_deadline()
        actions = instance.tick(now)
    elif cause == "hung":
        assert instance.on_health_check(False, now) == [] and instance.on_health_check(False, now) == []
        actions = instance.on_health_check(False, now)
    else:
        actions = instance.on_limit_exceeded("300 MiB", now)
    assert actions == [Action.TERMINATE] and instance.phase.value == "stopping"
    now = instance.next_deadline()
    assert instance.tick(now) == [Action.KILL]  # SIGTERM is ignored
    assert (
        instance.on_exited("ended by SIGKILL", now + 0.1) == []
        and instance.phase is Phase.BACKING_OFF
        and instance.restarts == 1
    )


def test_start_and_restart_requests_take_effect_once_the_process_has_exited() -> None:
    instance = ready_instance()
    assert instance.set_should_run(False, 1.0) == [Action.TERMINATE]
    assert instance.set_should_run(True, 1.1) == []  # starts once the process has exited
    assert instance.on_exited("ended with 0", 2.0) == [Action.START] and instance.restarts == 0
    instance.set_should_run(False, 2.1)
    assert instance.on_exited("ended with 0", 3.0) == [] and instance.phase is Phase.STOPPED
    assert instance.request_restart(4.0, "rolled") == [Action.START]
    instance.on_health_check(True, 4.1)
    assert instance.request_restart(5.0, "rolled") == [Action.TERMINATE] and instance.on_exited(
        "ended with 0", 6.0
    ) == [Action.START]


def test_state_is_restored_even_if_the_clock_was_set_back() -> None:
    instance = ready_instance(RestartPolicy(max_restarts=2))
    for now in (1.0, 2.0):
        instance.on_exited("x", now)
        instance.tick(instance.next_deadline())
    entry = json.loads(json.dumps(instance.to_journal(1000.0, 3.0)))
    for unix_s in (1005.0, 900.0):  # later, and after the clock was set back
        restored = InstanceLifecycle(RestartPolicy(max_restarts=2))
        restored.restore(entry, unix_s, 50.0)
        assert restored.should_run and restored.restarts == 2 and restored.phase is Phase.STOPPED
        restored.set_should_run(True, 50.0, "wanted")
    suspended = InstanceLifecycle(RestartPolicy(max_restarts=2))
    suspended.restore({**entry, "held": True}, 1005.0, 50.0)
    assert suspended.phase is Phase.SUSPENDED


# -- rolling restarts --


def test_rolling_restart_limits_the_unavailable_instances() -> None:
    rolling_restart = RollingRestart()
    rolling_restart.start(list("abcd"), 2)
    assert [step.name for step in rolling_restart.next_steps(set())] == ["a", "b"]
    assert rolling_restart.next_steps({"a", "b"}) == []
    rolling_restart.mark_ready("a")
    assert [step.name for step in rolling_restart.next_steps({"b"})] == ["c"]
    rolling_restart.mark_ready("b")
    assert rolling_restart.next_steps({"c", "x"}) == []  # x is unavailable for another reason
    assert [step.name for step in rolling_restart.next_steps({"c"})] == ["d"]
    for name in "cd":
        rolling_restart.mark_ready(name)
    assert (
        rolling_restart.next_steps(set()) == []
        and rolling_restart.state is RollingState.DONE
        and rolling_restart.finished == list("abcd")
    )


def test_rolling_restart_stops_at_the_first_failure_and_is_restored() -> None:
    rolling_restart = RollingRestart()
    rolling_restart.start(list("abc"), 1)
    rolling_restart.next_steps(set())
    with pytest.raises(ValueError, match="under way"):
        rolling_restart.start(["a"], 1)
    restored = RollingRestart()
    restored.restore(json.loads(json.dumps(rolling_restart.to_journal())), {"a", "c"})
    assert (restored.state, restored.in_progress, restored.remaining) == (RollingState.ROLLING, ["a"], ["c"])
    restored.mark_failed("a", "not ready within 10 s")
    assert (
        restored.state is RollingState.STOPPED
        and restored.reason == "a: not ready within 10 s"
        and restored.next_steps(set()) == []
    )
    restored.mark_failed("c", "x")
    assert restored.reason.startswith("a:")


# -- placement --


def test_placement_is_balanced_stable_and_rejects_excess_demand() -> None:
    host = Host((0, 1, 2), 3 << 30, 1024)
    demands = {f"r{number}": Demand(0.5, 100 << 20, 256) for number in range(6)}
    placement = place_instances(demands, host)
    assert (
        sorted(place.cpu for place in placement.places.values()) == [0, 0, 1, 1, 2, 2]
        and not placement.problems
    )
    stable = place_instances(demands, host, {"r5": 0, "r4": 0})
    assert stable.places["r5"].cpu == stable.places["r4"].cpu == 0
    assert place_instances({**demands, "x": Demand(0.1, 1, 1)}, host).problems
    problems = place_instances({"a": Demand(1.5, 1, 1), "b": Demand(0.1, 4 << 30, 2048)}, host).problems
    assert len(problems) == 3 and not place_instances({"a": Demand(1.5, 1, 1)}, host).places
    assert place_instances({"a": Demand(0.1, 1, 1)}, Host((), 1, 1)).problems == ("no core may be used",)


@pytest.mark.parametrize("seed", range(30))
def test_placement_never_overloads_a_core(seed: int) -> None:
    rng = random.Random(seed)
    host = Host(tuple(range(rng.randrange(1, 5))), 1 << 30, 100)
    demands = {
        f"r{index}": Demand(rng.choice((0.2, 0.4, 0.5, 1.0)), 1, 1) for index in range(rng.randrange(1, 9))
    }
    placement = place_instances(demands, host, {"r0": 0, "r1": 0, "gone": 3})
    load = dict.fromkeys(host.cpus, 0.0)
    for name, place in placement.places.items():
        load[place.cpu] += demands[name].cores
    assert bool(placement.places) != bool(placement.problems) and all(
        used <= 1.0 + 1e-9 for used in load.values()
    )
    assert placement.problems or set(placement.places) == set(demands)


# -- leases --

WINDOW_S, LIMIT = 4.0, 100.0


def test_leases_are_requested_granted_spent_and_expire() -> None:
    lessor = Lessor(WINDOW_S, 0.0)
    lessor.set_limit(7, LIMIT, 0.0)
    assert lessor.request_lease("a", 1, 7, 1.0) is None  # earlier grants are unknown
    now = 5.0
    holder = LeaseHolder(lessor.lifetime_s)
    request_number = holder.begin_request(7, now)
    assert request_number == 1 and holder.begin_request(7, now) is None
    grant = lessor.request_lease("a", request_number, 7, now)
    # A repeated request gets the same grant.
    assert grant is not None and lessor.request_lease("a", request_number, 7, now) == grant
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
    assert lessor.booked_work(7, now + WINDOW_S + lessor.lifetime_s) == 0.0
    assert lessor.request_lease("a", 9, 8, now) is None  # a node without a limit


def test_grants_that_are_late_abandoned_or_of_another_node_are_ignored() -> None:
    holder = LeaseHolder(1.0)
    request_number = holder.begin_request(7, 0.0)
    assert request_number is not None
    assert not holder.accept_grant(Grant(request_number, 8, 5.0), 0.1)  # a grant of another node
    request_number = holder.begin_request(7, 1.5)
    # The grant arrives too late.
    assert request_number is not None and not holder.accept_grant(Grant(request_number, 7, 5.0), 2.5)
    request_number = holder.begin_request(7, 3.0)
    # The first request is abandoned.
    assert request_number is not None and holder.begin_request(7, 4.1) == request_number + 1
    assert not holder.accept_grant(Grant(request_number, 7, 5.0), 4.2)
    holder.end_request(request_number + 1)
    assert holder.begin_request(7, 4.3) == request_number + 2 and holder.ignored_grants == 3


@pytest.mark.parametrize("seed", range(12))
def test_work_spent_within_any_window_stays_below_the_limit(seed: int) -> None:
    """Simulate late, lost and repeated grants, restarts of holders and of the lessor, and a growing limit."""
    rng = random.Random(seed)
    lessor, now, limit = Lessor(WINDOW_S, 0.0), 0.0, LIMIT / 4
    holders = [LeaseHolder(lessor.lifetime_s) for _ in range(6)]
    names = [f"h{position}" for position in range(6)]
    spent: deque[float] = deque()
    in_flight: list[tuple[float, LeaseHolder, Grant]] = []
    max_spent_count, work = 0, 0.1
    for _ in range(12_000):
        now += rng.expovariate(400.0)
        limit = min(LIMIT, limit * 1.0005)
        lessor.set_limit(7, limit, now)
        index = rng.randrange(6)
        if rng.random() < 0.002:
            lessor.remove_holder(names[index])
            holders[index], names[index] = LeaseHolder(lessor.lifetime_s), f"{names[index]}'"
        if rng.random() < 0.0001:
            lessor = Lessor(WINDOW_S, now)
            lessor.set_limit(7, limit, now)
        if (request_number := holders[index].begin_request(7, now)) is not None:
            for _ in range(rng.choice((1, 1, 2))):
                grant = lessor.request_lease(names[index], request_number, 7, now)
                if grant is None:
                    holders[index].end_request(request_number)
                elif rng.random() < 0.9:
                    in_flight.append((now + rng.choice((0.0, 0.01, 2.0)), holders[index], grant))
        for delivery in [delivery for delivery in in_flight if delivery[0] <= now]:
            delivery[1].accept_grant(delivery[2], now)
            in_flight.remove(delivery)
        if holders[index].spend(7, work, now):
            spent.append(now)
        for lease_number, unspent_work in holders[index].pop_expired(now):
            lessor.return_lease(names[index], lease_number, unspent_work, now)
        while spent and spent[0] <= now - WINDOW_S:
            spent.popleft()
        max_spent_count = max(max_spent_count, len(spent))
        assert len(spent) * work <= 0.7 * limit + 1e-6
    assert max_spent_count * work > 0.2 * LIMIT


@pytest.mark.parametrize(("holders", "lease_work"), [(1, 1.4), (20, 1.0), (2000, 1.0)])
def test_lease_size_depends_on_the_number_of_holders_and_the_requested_work(
    holders: int, lease_work: float
) -> None:
    lessor = Lessor(WINDOW_S, -9.0)
    lessor.set_limit(7, LIMIT, 0.0)
    for number in range(holders):
        lessor.request_lease(f"h{number}", 1, 7, 0.0, 1.0)
    booked_before = lessor.booked_work(7, 0.0)
    assert booked_before <= 0.7 * LIMIT
    if holders < 50:
        grant = lessor.request_lease("one more", 1, 7, 0.0, 1.0)
        assert grant is not None and grant.work == pytest.approx(lease_work if holders > 1 else 1.4)
    assert unleased_fraction_for(1) == unleased_fraction_for(5) == 0.3 and unleased_fraction_for(
        2000
    ) == pytest.approx(0.00075)
    lessor_for_large = Lessor(WINDOW_S, -9.0)
    lessor_for_large.set_limit(7, LIMIT, 0.0)
    large_grant = lessor_for_large.request_lease("one", 1, 7, 0.0, 0.2 * LIMIT)
    assert large_grant is not None and large_grant.work == 0.2 * LIMIT  # a smaller lease could not be spent


def test_a_clock_that_jumps_back_discards_earlier_grants() -> None:
    lessor = Lessor(WINDOW_S, 100.0)
    lessor.set_limit(7, LIMIT, 110.0)
    assert lessor.request_lease("a", 1, 7, 110.0)
    assert lessor.request_lease("a", 2, 7, 50.0) is None
    lessor.set_limit(7, LIMIT, 51.0)
    assert lessor.request_lease("a", 3, 7, 54.4) is None and lessor.request_lease("a", 4, 7, 54.6)


# -- buckets --


def test_bucket_rejects_inconsistent_limits() -> None:
    for invalid in ((5, 1, 3), (-1, 1, 3), (1, 0, 3)):
        with pytest.raises(ValueError, match="rate"):
            Bucket(*invalid)
    with pytest.raises(ValueError, match="floor"):
        BucketHierarchy(10, 10, 1.0)
    with pytest.raises(ValueError, match="no bucket at z"):
        BucketHierarchy(10, 10).add_bucket(("z", "c"), 1, 1, 1)


def admitted_rates(
    limits: BucketHierarchy, rates: dict[tuple[str, str, str], float], seconds: float = 20.0
) -> dict[Any, float]:
    """Return the requests admitted per second, by requester, at the given request rates."""
    admitted = dict.fromkeys(rates, 0)
    schedule = sorted(
        (number / rate, path) for path, rate in rates.items() for number in range(int(rate * seconds))
    )
    for now, path in schedule:
        if not limits.take(*path, now):
            admitted[path] += 1
    return {path: count / seconds for path, count in admitted.items()}


def test_unused_capacity_is_borrowed_and_each_zone_keeps_its_rate() -> None:
    limits = BucketHierarchy(100, 10)
    for zone in "ab":
        limits.add_bucket((zone,), 50, 10, 100)
    one_zone = admitted_rates(limits, {("a", "x", "c"): 300})
    assert 95 <= one_zone["a", "x", "c"] <= 105  # the other zone's rate is unused
    limits = BucketHierarchy(100, 10)
    for zone in "ab":
        limits.add_bucket((zone,), 50, 10, 100)
    both_zones = admitted_rates(limits, {("a", "x", "c"): 900, ("b", "x", "c"): 60})
    assert sum(both_zones.values()) <= 106 and both_zones["b", "x", "c"] >= 40


def test_the_floor_of_a_class_is_not_borrowed() -> None:
    limits = BucketHierarchy(100, 10, 0.2, "pick-confirm")
    admitted = admitted_rates(limits, {("a", "item-image", "c"): 1000, ("a", "pick-confirm", "c"): 18})
    assert admitted["a", "pick-confirm", "c"] >= 17.9 and admitted["a", "item-image", "c"] <= 82
    assert "fleet" in {limits.take("a", "item-image", "c", 20.0) for _ in range(20)}


def test_a_rejection_names_its_limit_and_each_client_is_limited() -> None:
    limits = BucketHierarchy(1000, 100)
    limits.add_bucket(("a",), 500, 50, 1000)
    limits.add_bucket(("a", "x"), 100, 10, 200)
    limits.add_bucket(("a", "x", "greedy"), 5, 5, 5)
    assert [limits.take("a", "x", "greedy", 0.0) for _ in range(6)] == [""] * 5 + ["a/x/greedy"]
    assert limits.take("a", "x", "other", 0.0) == ""
    assert limits.take("a", "x", "greedy", -100.0) == "a/x/greedy"  # a clock that was set back adds no tokens


# -- the journal --


class CrashDisk:
    """An in-memory disk that simulates a crash after `stop_after` written bytes, or a full disk."""

    def __init__(self, files: dict[Path, bytes] | None = None, stop_after: int = 1 << 30) -> None:
        self.files, self.bytes_left, self.full = dict(files or {}), stop_after, False

    def read(self, path: Path) -> bytes:
        """Return a file's content."""
        return self.files.get(path, b"")

    def append(self, path: Path, data: bytes) -> None:
        """Append as many bytes as are left before the crash."""
        if self.full:
            raise OSError(28, "No space left on device")
        part = data[: self.bytes_left]
        self.bytes_left -= len(part)
        self.files[path] = self.files.get(path, b"") + part
        if len(part) < len(data):
            raise KeyboardInterrupt

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file."""
        self.files[path] = self.files[path][:size]

    def replace(self, path: Path, data: bytes) -> None:
        """Replace a file, unless the crash comes first."""
        if self.full:
            raise OSError(28, "No space left on device")
        if self.bytes_left < len(data):
            self.bytes_left = 0
            raise KeyboardInterrupt  # the new file is incomplete: the old one stays
        self.bytes_left -= len(data)
        self.files[path] = data


JOURNAL_PATH = Path("journal")


def test_acknowledged_records_survive_a_crash_at_every_byte() -> None:
    entries: list[tuple[str, Any]] = [
        (f"unit/r{number % 3}", {"wanted": bool(number % 2), "n": number}) for number in range(9)
    ]
    entries.append(("unit/r1", None))
    complete_disk = CrashDisk()
    journal = Journal(JOURNAL_PATH, complete_disk)
    for key, value in entries:
        journal.put(key, value)
    for crash_at in range(len(complete_disk.files[JOURNAL_PATH]) + 1):
        disk = CrashDisk(stop_after=crash_at)
        acknowledged: dict[str, Any] = {}
        with_pending: dict[str, Any] = {}
        try:
            journal = Journal(JOURNAL_PATH, disk)
            for key, value in entries:
                with_pending = {**acknowledged, key: value}
                journal.put(key, value)
                acknowledged = with_pending
        except KeyboardInterrupt:
            pass
        restored = Journal(JOURNAL_PATH, CrashDisk(disk.files))
        allowed_states = [
            {key: value for key, value in state.items() if value is not None}
            for state in (acknowledged, with_pending)
        ]
        assert restored.values in allowed_states
        assert Journal(JOURNAL_PATH, CrashDisk({JOURNAL_PATH: disk.files.get(JOURNAL_PATH, b"")})).put("x", 1)


def test_a_torn_tail_is_truncated_and_an_invalid_record_before_valid_ones_is_an_error() -> None:
    records = [encode({"key": f"k{number}", "value": number}) for number in range(3)]
    data = MAGIC + b"".join(records)
    assert decode(data[:-1])[1] == len(data) - len(records[2])
    corrupt = bytearray(data)
    middle = len(MAGIC) + len(records[0])
    corrupt[middle + RECORD_HEADER.size + 3] ^= 1
    with pytest.raises(JournalError, match=f"byte {middle}: .*byte {middle + len(records[1])}"):
        decode(bytes(corrupt))
    with pytest.raises(JournalError, match="version"):
        decode(b"something else")
    assert decode(MAGIC[:5]) == ([], 0)


def test_a_failed_write_is_reported_and_repaired_by_the_next(tmp_path: Path) -> None:
    disk = CrashDisk()
    journal = Journal(JOURNAL_PATH, disk)
    assert journal.put("a", 1)
    disk.full = True
    assert not journal.put("b", 2) and journal.values == {"a": 1, "b": 2} and journal.failed_writes == 1
    disk.full = False
    assert journal.put("c", 3) and Journal(JOURNAL_PATH, disk).values == {"a": 1, "b": 2, "c": 3}
    stored_journal = Journal(tmp_path / "journal")
    for number in range(5000):  # beyond a compaction
        stored_journal.put("n", number)
    assert Journal(tmp_path / "journal").values == {"n": 4999}
    assert (tmp_path / "journal").stat().st_size < 100_000


# -- run files, logs, notify --


def test_a_run_file_identifies_a_process_beyond_its_pid(tmp_path: Path) -> None:
    current = runfile.current_process()
    runfile.write(tmp_path, current)
    assert runfile.read(tmp_path) == current and runfile.is_running(current)
    assert not runfile.is_running(current._replace(start=current.start + 1)) and not runfile.is_running(
        current._replace(boot="x")
    )
    assert not runfile.is_running(None) and not runfile.is_running(current._replace(pid=1 << 22))
    (tmp_path / runfile.FILE_NAME).write_text("{")
    assert runfile.read(tmp_path) is None
    runfile.remove(tmp_path)
    assert runfile.read(tmp_path) is None


def test_a_full_pipe_drops_and_counts_lines_without_blocking(tmp_path: Path) -> None:
    path = logs.make_pipe(tmp_path)
    pipe = PipeSink(str(path))
    for number in range(3000):
        pipe("event", {"number": number, "pad": "x" * 60})
    assert pipe.dropped > 1000
    dropped, fd = pipe.dropped, logs.open_pipe(path)
    data, splitter = b"", logs.LineSplitter()
    while True:
        try:
            data += os.read(fd, 65_536)
        except BlockingIOError:
            break
    pipe("event", {"number": "last"})
    received = splitter.feed(data + os.read(fd, 65_536))
    assert all(" event number=" in line for line in received[:-2])
    assert received[-2].endswith(f"log-dropped count={dropped}") and received[-1].endswith(
        "event number=last"
    )
    os.close(fd)
    assert logs.make_pipe(tmp_path) == path


def test_json_log_lines_keep_event_and_fields(tmp_path: Path) -> None:
    path = logs.make_pipe(tmp_path)
    pipe = open_pipe_sink(f"json:{path}")
    pipe("node", {"id": "s-1", "time": 5})
    fd = logs.open_pipe(path)
    record = json.loads(os.read(fd, 4096))
    os.close(fd)
    assert (
        record["event"] == "node" and record["id"] == "s-1" and record["time_"] == 5 and record["time"] > 1e9
    )


def test_logs_rotate_by_size_and_merge_by_time(tmp_path: Path) -> None:
    for name in "ab":
        (tmp_path / name).mkdir()
    writer = logs.LogWriter()
    files = {name: logs.RotatingFile(tmp_path / name / logs.LOG_NAME, 2000, 2) for name in "ab"}
    for number in range(500):
        writer.put(files["ab"[number % 2]], f"{1000 + number}.5 event number={number}")
    writer.close()
    merged = list(logs.merge_logs([(name, tmp_path / name) for name in "ab"]))
    numbers = [int(line.rpartition("=")[2]) for _, _, line in merged]
    assert numbers == sorted(numbers) and numbers[-1] == 499 and {name for _, name, _ in merged} == {"a", "b"}
    assert sorted(path.name for path in (tmp_path / "a").iterdir()) == ["log", "log.1", "log.2"]
    assert all(path.stat().st_size <= 2000 for path in (tmp_path / "a").iterdir())


class FaultyFile(logs.RotatingFile):
    """A log file on a disk that is full, or that writes with a delay."""

    full, write_delay_s = False, 0.0

    def write(self, data: bytes) -> None:
        """Write after the delay; raises OSError while the disk is full."""
        time.sleep(self.write_delay_s)
        if self.full:
            raise OSError(28, "No space left on device")
        super().write(data)


def test_log_lines_for_a_full_or_slow_disk_are_dropped_and_counted(tmp_path: Path) -> None:
    writer, file = logs.LogWriter(max_queued_lines=50), FaultyFile(tmp_path / "log", 10_000, 1)
    file.full = True
    writer.put(file, "1.0 event lost=1")
    while writer.dropped < 1:
        time.sleep(0.001)
    file.full, file.write_delay_s = False, 0.02
    started = time.monotonic()
    for number in range(500):
        writer.put(file, f"2.0 event number={number}")
    assert time.monotonic() - started < 1.0 and writer.dropped > 400
    writer.close(5.0)
    text = (tmp_path / "log").read_text()
    assert "log-dropped count=" in text and "lost=1" not in text


def test_state_notifications_and_the_watchdog_interval_follow_the_environment(tmp_path: Path) -> None:
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


@pytest.mark.parametrize(("status", "healthy"), [(b"200 OK", True), (b"503 Service Unavailable", False)])
def test_a_health_check_response_is_parsed_from_any_prefix(status: bytes, healthy: bool) -> None:
    from stonecove.protocols.fastcgi import codec as fastcgi

    data = fastcgi.record(fastcgi.STDOUT, 1, b"Status: " + status + b"\r\n\r\n") + fastcgi.record(
        fastcgi.END, 1, bytes(8)
    )
    assert probe.response_is_ok(data) is healthy
    assert all(probe.response_is_ok(data[:size]) is None for size in range(len(data)))

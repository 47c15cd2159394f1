"""Test races between the decision on an attempt and its end, in each order that may occur."""

from __future__ import annotations

import contextlib
from typing import Any

import pytest
from conftest import CACHES, make_class, make_nodes, make_settings

from stonecove.discovery import Member, MembersUpdate
from stonecove.exchange import Answer, ClientRequest, Verdict
from stonecove.pipeline.route import Route
from stonecove.protocols import resp
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.routing.settings import ClassSettings, DeduplicationScope, Idempotency
from stonecove.runtime.clock import Clock
from stonecove.runtime.timers import Timers
from stonecove.state.budget import MemoryBudget


class CacheChannel(Channel):
    """A connection to a cache whose I/O the test simulates; it is its own socket."""

    def __init__(self, harness: RouterHarness, owner: Owner, address: tuple[str, int]) -> None:
        super().__init__(owner, harness.clock.now)
        self.harness, self.node = harness, address[1]
        self.capacity = 0
        self.written = b""
        self.closed_by_peer = False
        self.open_timeout_ms = 0.0

    def send(self, data: bytes | memoryview, /) -> int:
        count = min(self.capacity, len(data))
        if not count:
            raise BlockingIOError
        self.capacity -= count
        self.written += bytes(data[:count])
        return count

    def recv(self, count: int, flags: int, /) -> bytes:
        if self.closed_by_peer:
            return b""
        raise BlockingIOError

    def open(self, capacity: int = 1 << 20) -> None:
        self.capacity = capacity
        self.opened(self)

    def accept_more(self) -> None:
        self.capacity = 1 << 20
        self.writable()

    def reply(
        self,
        txn: str,
        status: str = "200",
        fields: str = "ver=aa11,born=1",
        body: bytes = b"",
        length: int | None = None,
    ) -> bytes:
        """Receive the first `length` bytes of a reply, all by default; return the remainder."""
        data = resp.encode(txn.encode(), status.encode(), fields.encode(), body)
        self.buffer.feed(data[:length])
        self.received()
        return data[len(data) if length is None else length :]

    def has_fetch(self, txn: str) -> bool:
        """Return whether the fetch of that transaction was written completely."""
        return b"fetch\r\n$16\r\n" + txn.encode() in self.written and not self._pending_write


class RouterHarness:
    """The router's stages without I/O: a clock that the test advances, and simulated connections."""

    def __init__(self, *classes: ClassSettings, caches: int = 4, **changes: Any) -> None:
        self.time_s = 1_000.0
        self.clock = Clock(lambda: self.time_s)
        self.timers = Timers(self.clock, lambda: self.time_s)
        self.channels: list[CacheChannel] = []
        budget = MemoryBudget()
        budget.limit_bytes = 1e9
        self.route = Route(
            make_settings(*classes, **changes), 7, self.clock, self.timers, budget, 0.0, self._connect
        )
        self.route.send.max_connections = 100
        self.members = [
            Member(node, "127.0.0.1", node.node_id)
            for node in make_nodes()
            if node.node_id not in CACHES[caches:]
        ]
        self.route.handle_membership_event(MembersUpdate(True, tuple(self.members)))
        self.answers: dict[str, list[Answer]] = {}

    def _connect(self, owner: Owner, address: tuple[str, int], timeout_s: float) -> Channel:
        self.channels.append(CacheChannel(self, owner, address))
        self.channels[-1].open_timeout_ms = timeout_s * 1000.0
        return self.channels[-1]

    def submit_and_decide(
        self, class_index: int = 0, object_key: int = 5, timeout_ms: float = 4015.0, client_tag: str = ""
    ) -> str:
        """Submit a request and have it decided; return its transaction id."""
        txn = f"{len(self.answers) + 1:016x}"
        answers = self.answers[txn] = []
        self.route.submit(
            ClientRequest(
                txn,
                "c",
                f"{object_key:016x}",
                "0",
                class_index,
                object_key,
                0,
                3,
                1.0,
                timeout_ms,
                client_tag,
                b"",
                answers.append,
            )
        )
        self.route.decide()
        return txn

    def advance(self, ms: float) -> None:
        """Advance the clock in steps of a millisecond, and run the timers that are due."""
        for _ in range(round(ms)):
            self.time_s += 0.001
            self.timers.run_due()

    def verdicts(self, txn: str) -> list[Verdict]:
        return [answer.verdict for answer in self.answers[txn]]

    def channels_with_fetch(self, txn: str) -> list[CacheChannel]:
        return [channel for channel in self.channels if channel.has_fetch(txn)]


def keyed_class(window_ms: float, scope: DeduplicationScope = DeduplicationScope.ALL) -> ClassSettings:
    return make_class(
        idempotency=Idempotency.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        deduplication_window_ms=window_ms,
        never_cached=True,
    )


# -- retries and hedged attempts --


@pytest.mark.parametrize(
    ("scope", "verdict"),
    [(DeduplicationScope.ALL, Verdict.REFUSED), (DeduplicationScope.ZONE, Verdict.FAILED)],
)
@pytest.mark.parametrize(("opened_after_ms", "is_sent"), [(90.0, True), (110.0, False)])
def test_retry_is_not_sent_after_deduplication_window(
    opened_after_ms: float, is_sent: bool, scope: DeduplicationScope, verdict: Verdict
) -> None:
    """The retry was decided within the deduplication window, but its connection opened after it."""
    harness = RouterHarness(keyed_class(200.0, scope), connect_timeout_ms=1000.0)
    txn = harness.submit_and_decide()
    harness.channels[0].open()
    harness.advance(100.0)
    harness.channels[0].ended("reset")
    assert len(harness.channels) == 2
    harness.advance(opened_after_ms)
    harness.channels[1].open()
    assert harness.channels[1].has_fetch(txn) is is_sent and len(harness.channels) == 2
    if not is_sent:
        assert harness.verdicts(txn) == [verdict]


def test_unsent_attempt_is_not_sent_after_deduplication_window_of_hedge() -> None:
    """The first attempt's socket accepted no data, and the hedged attempt was written before it."""
    harness = RouterHarness(keyed_class(1000.0))
    txn = harness.submit_and_decide()
    harness.channels[0].open(capacity=0)
    harness.advance(430.0)
    first, second = harness.channels
    second.open()
    assert second.has_fetch(txn)
    harness.advance(1010.0)
    first.accept_more()
    assert not first.has_fetch(txn)
    second.reply(txn)
    assert harness.verdicts(txn) == [Verdict.SERVED]


def test_attempt_that_did_not_run_starts_no_deduplication_window() -> None:
    harness = RouterHarness(keyed_class(50.0))
    txn = harness.submit_and_decide()
    harness.channels[0].open()
    harness.advance(100.0)
    harness.channels[0].reply(txn, "503")
    harness.advance(100.0)
    harness.channels[1].open()
    assert harness.channels[1].has_fetch(txn)


@pytest.mark.parametrize("disconnects", [True, False])
def test_unsent_attempt_is_dropped_once_nobody_waits_for_it(disconnects: bool) -> None:
    """Unsent attempts are dropped once nobody waits, even where the settings allow no cancellation."""
    harness = RouterHarness(cancellation_allowed=False)
    txn = harness.submit_and_decide()
    harness.channels[0].open(capacity=0)
    if disconnects:
        harness.route.client_disconnected(next(iter(harness.route.requests)))
    else:
        harness.advance(430.0)
        harness.channels[1].open()
        harness.channels[1].reply(txn)
    harness.channels[0].accept_more()
    assert not harness.channels[0].has_fetch(txn) and not len(harness.route.requests)
    assert harness.verdicts(txn) == ([] if disconnects else [Verdict.SERVED])


# -- replies of caches --


@pytest.mark.parametrize("never_cached", [True, False])
@pytest.mark.parametrize(
    ("fields", "is_current"),
    [
        ("ver=aa11,born=1", True),
        ("ver=bb22,born=1", False),
        ("born=1", False),
        ("-", False),
        ("ver=,born=1", False),
    ],
)
def test_unchanged_answer_requires_reply_with_current_tag(
    fields: str, is_current: bool, never_cached: bool
) -> None:
    harness = RouterHarness(make_class(never_cached=never_cached))
    txn = harness.submit_and_decide(client_tag="aa11")
    harness.channels[0].open()
    with contextlib.suppress(resp.RespError):  # which closes the connection
        harness.channels[0].reply(txn, "304", fields)
    assert harness.verdicts(txn) == [Verdict.UNCHANGED] * is_current


def test_no_attempt_waits_behind_reply_of_cancelled_attempt() -> None:
    """The reply to a cancelled attempt may never end; once it is complete, its connection is used again."""
    harness = RouterHarness(caches=1)
    harness.submit_and_decide()
    channel = harness.channels[0]
    channel.open()
    remainder = channel.reply(f"{1:016x}", body=b"x" * 100, length=60)
    harness.route.client_disconnected(next(iter(harness.route.requests)))
    second = harness.submit_and_decide()
    assert len(harness.channels) == 2 and not channel.has_fetch(second)
    channel.buffer.feed(remainder)
    channel.received()
    assert channel.has_fetch(harness.submit_and_decide())


def test_connection_with_endless_reply_of_cancelled_attempt_is_closed() -> None:
    harness = RouterHarness(caches=1)
    harness.submit_and_decide()
    channel = harness.channels[0]
    channel.open()
    channel.reply(f"{1:016x}", body=b"x" * 100_000, length=60)
    harness.route.client_disconnected(next(iter(harness.route.requests)))
    for _ in range(7):  # a byte is received every 100 ms
        harness.advance(100.0)
        channel.buffer.feed(b"x")
        channel.received()
    assert channel.is_closed


# -- connections that open late or never --


def changed_members(harness: RouterHarness, **changes: Any) -> MembersUpdate:
    """Return an update with changed fields of the only cache."""
    member = harness.members[0]
    return MembersUpdate(False, (member._replace(node=member.node._replace(**changes)),))


def test_cache_restart_during_connect_is_no_failure_of_new_process(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The router closes the connection to the old process, and the attempt moves to another one."""
    harness = RouterHarness(make_class(idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True), caches=1)
    txn = harness.submit_and_decide()
    harness.advance(10.0)
    harness.route.handle_membership_event(changed_members(harness, started_ms=harness.clock.now()))
    assert harness.channels[0].is_closed
    harness.channels[0].ended()
    assert len(next(iter(harness.route.requests)).attempts) == 1 and "ejected" not in capsys.readouterr().err
    harness.channels[1].open()
    harness.channels[1].reply(txn)
    assert harness.verdicts(txn) == [Verdict.SERVED]


def test_connect_timeout_beside_working_connection_does_not_eject_cache(
    capsys: pytest.CaptureFixture[str],
) -> None:
    harness = RouterHarness(make_class(idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True), caches=1)
    first, second = harness.submit_and_decide(), harness.submit_and_decide()
    harness.channels[0].open()
    harness.advance(300.0)
    harness.channels[1].connect_timed_out = True
    harness.channels[1].ended("not up in time")
    assert "ejected" not in capsys.readouterr().err
    harness.channels[2].open()
    for channel, txn in ((harness.channels[2], second), (harness.channels[0], first)):
        channel.reply(txn)
        assert harness.verdicts(txn) == [Verdict.SERVED]


def test_connect_timeout_without_other_connection_ejects_cache(
    capsys: pytest.CaptureFixture[str],
) -> None:
    harness = RouterHarness(caches=1)
    harness.submit_and_decide()
    harness.channels[0].connect_timed_out = True
    harness.channels[0].ended("not up in time")
    assert "ejected" in capsys.readouterr().err


def test_idle_connection_is_used_before_one_that_is_still_connecting() -> None:
    harness = RouterHarness(caches=1)
    harness.submit_and_decide()
    second = harness.submit_and_decide()
    harness.channels[1].open()
    harness.channels[1].reply(second)
    # so that no attempt waits for the first connection
    harness.route.client_disconnected(next(iter(harness.route.requests)))
    assert harness.channels[1].has_fetch(harness.submit_and_decide())


def test_attempt_waiting_for_late_connection_takes_freed_one_and_is_sent_once() -> None:
    harness = RouterHarness(make_class(idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True), caches=1)
    first, second, third = (
        harness.submit_and_decide(),
        harness.submit_and_decide(),
        harness.submit_and_decide(),
    )
    used, late, later = harness.channels
    used.open()
    used.reply(first)
    assert used.has_fetch(second) and not used.has_fetch(third)
    late.open()  # its own attempt has moved, but another attempt still waits
    assert late.has_fetch(third)
    later.open()
    for channel, txn in ((used, second), (late, third)):
        channel.reply(txn)
        assert harness.verdicts(txn) == [Verdict.SERVED] and harness.channels_with_fetch(txn) == [channel]


@pytest.mark.parametrize("first_to_open", [0, 1])
def test_attempt_waiting_for_slow_connection_takes_first_of_two_to_open(first_to_open: int) -> None:
    """The attempt moves once. A node that accepts neither connection must be detected no later for it."""
    harness = RouterHarness(
        make_class(idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True),
        caches=1,
        connect_timeout_ms=400.0,
    )
    txn = harness.submit_and_decide()
    harness.advance(390.0)
    assert len(harness.channels) == 2  # one more only, in spite of several sweeps
    slow, other = harness.channels
    assert 100.0 < 400.0 - other.open_timeout_ms < 310.0
    first, second = (slow, other) if first_to_open == 0 else (other, slow)
    first.open()
    second.open()
    first.reply(txn)
    assert harness.channels_with_fetch(txn) == [first] and harness.verdicts(txn) == [Verdict.SERVED]


@pytest.mark.parametrize(("idle_timeout_ms", "idle_for_ms"), [(500.0, 320.0), (300.0, 200.0), (200.0, 130.0)])
def test_nothing_goes_on_a_connection_that_the_cache_may_be_closing(
    idle_timeout_ms: float, idle_for_ms: float
) -> None:
    """Sweeps are 200 ms apart; between them, no connection may be used that is close to its idle time-out."""
    harness = RouterHarness(caches=1, connection_idle_ms=idle_timeout_ms)
    first = harness.submit_and_decide()
    harness.advance(30.0)  # between two sweeps
    harness.channels[0].open()
    harness.channels[0].reply(first)
    if idle_for_ms > 170.0:
        harness.advance(170.0)  # until right after a sweep
        harness.advance(idle_for_ms - 170.0)
    else:
        harness.advance(idle_for_ms)
    second = harness.submit_and_decide()
    assert not harness.channels[0].has_fetch(second)
    harness.channels[-1].open()
    assert harness.channels[-1].has_fetch(second)


def test_undecided_request_at_end_of_drain_is_refused_without_error_log(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A request that is undecided at the end of a drain must not fail, as nothing of it ran."""
    harness = RouterHarness(make_class(idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True))
    decided = harness.submit_and_decide()
    answers: list[Answer] = []
    harness.route.submit(
        ClientRequest("f" * 16, "c", "5", "0", 0, 5, 0, 3, 1.0, 4015.0, "", b"", answers.append)
    )
    harness.route.expire()
    assert [answer.verdict for answer in answers] == [Verdict.REFUSED]
    assert len(harness.verdicts(decided)) == 1
    assert not harness.route.decide() and not len(harness.route.requests)
    assert "request_undecided" not in capsys.readouterr().err


def test_request_after_end_of_drain_is_refused_at_once(capsys: pytest.CaptureFixture[str]) -> None:
    """A request that arrives after its deadline must not fail, as nothing of it ran."""
    harness = RouterHarness(make_class(idempotency=Idempotency.NON_IDEMPOTENT, never_cached=True))
    harness.route.admit.final_deadline_ms = harness.clock.now()
    answers: list[Answer] = []
    harness.route.submit(
        ClientRequest("f" * 16, "c", "5", "0", 0, 5, 0, 3, 1.0, 4015.0, "", b"", answers.append)
    )
    harness.timers.run_due()  # before the task that decides
    assert [answer.verdict for answer in answers] == [Verdict.REFUSED]
    assert not harness.channels and "request_undecided" not in capsys.readouterr().err

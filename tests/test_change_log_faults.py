"""Test a change log that falls silent, disconnects, moves, or sends events at inconvenient times."""

from __future__ import annotations

import contextlib
import json
import select
import signal
import socket
import struct
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from process_harness import SETTINGS, WAIT_TIMEOUT_S, ChangeLog, Listener, ProcessHarness, UnresponsiveAddress

from stonecove.discovery import MembershipEvent, PurgeUpdate
from stonecove.protocols import change_log
from stonecove.protocols.buffer import Buffer
from stonecove.transport import change_log_follower

PURGE_PAYLOAD = struct.pack(">HQ", 40, 1)
MALFORMED_LIST = b"12345"  # not a multiple of a record's length


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


@contextlib.contextmanager
def running(
    missed: Callable[[ProcessHarness], bytes] | None = None,
    drain_grace_ms: float = 250.0,
    env: dict[str, str] | None = None,
) -> Iterator[ProcessHarness]:
    harness = ProcessHarness(
        first_frames=missed, env=env, rules={**SETTINGS["rules"], "drain_grace": drain_grace_ms}
    )
    try:
        yield harness
    finally:
        harness.close()


def restart_router(harness: ProcessHarness, port: int) -> None:
    """Kill the router, and start it again with its change log at that port."""
    harness.process.kill()
    harness.process.wait()
    harness.config["changelog"] = f"127.0.0.1:{port}"
    harness.process = harness.start()


def move_change_log(harness: ProcessHarness, port: int) -> None:
    """Reload the configuration with the change log at that port, and wait until the router connects there."""
    before = len(harness.log_lines("change_log_address_changed"))
    harness.reload(json.dumps({**harness.config, "changelog": f"127.0.0.1:{port}"}))
    harness.wait_until(
        lambda: len(harness.log_lines("change_log_address_changed")) > before,
        "the change of the change log address",
    )


def has_drained(harness: ProcessHarness) -> bool:
    return any("state=draining" in line for line in harness.log_lines("endpoint_updated"))


def wait_for_endpoint_updates(harness: ProcessHarness, count: int) -> None:
    """Wait until that many records have arrived after those of the start."""
    harness.wait_until(
        lambda: len(harness.log_lines("endpoint_updated")) == 4 + count, f"{count} endpoint updates"
    )


def suspend(harness: ProcessHarness) -> None:
    """Suspend the router until SIGCONT."""
    harness.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{harness.process.pid}/stat")
    harness.wait_until(lambda: stat.read_text().split()[2] == "T", "the suspension")
    time.sleep(0.05)  # a shorter suspension is not noticed


def was_drained_before_ready(harness: ProcessHarness) -> bool:
    text = Path(harness.folder.name, "log").read_text()
    return "state=draining" in text.partition(" router_ready ")[0]


# -- start --


@pytest.mark.parametrize("fault", ["delay", "split frame", "gap", "disconnect", "number ahead"])
def test_router_is_ready_only_after_reading_whole_log(fault: str) -> None:
    """A delay, a gap or a disconnection must not be mistaken for the end of the events in the log."""
    drains_sent: list[bytes] = []

    def missed(harness: ProcessHarness) -> bytes:
        drain, sock = (
            frame(3, 2, harness.endpoint_record(harness.caches[0], 1)),
            harness.change_log.listener.accepted[-1],
        )
        drains_sent.append(drain)
        if fault == "delay":
            time.sleep(0.6)  # longer than the drain grace period
        elif fault == "split frame":
            sock.sendall(frame(2, 4, PURGE_PAYLOAD) + drain[:20])
            time.sleep(0.2)
            return drain[20:]
        elif len(drains_sent) == 1:
            if fault == "disconnect":
                sock.sendall(frame(2, 4, PURGE_PAYLOAD))
                sock.shutdown(socket.SHUT_RDWR)
                return b""
            return frame(4, 4, PURGE_PAYLOAD) if fault == "gap" else frame(3, 0)
        return frame(2, 4, PURGE_PAYLOAD) + drain

    with running(missed, 250.0 if fault == "delay" else 5_000.0) as harness:
        assert was_drained_before_ready(harness)
        assert not harness.log_lines("internal_error")


def test_long_drain_grace_does_not_delay_start() -> None:
    """A restart while the change log is down must not take as long as the drain grace period."""
    with running() as harness, socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))  # bound but not listening, so that connections are refused
        harness.config["settings"]["rules"] = {**SETTINGS["rules"], "drain_grace": 600_000.0}
        restart_router(harness, closed.getsockname()[1])
        assert harness.log_lines("router_ready") and not harness.log_lines("change_log_connected")


@pytest.mark.parametrize("outage", ["refused", "silent", "unresponsive"])
def test_router_starts_without_log_and_learns_of_drains_once_it_returns(outage: str) -> None:
    unresponsive_address = UnresponsiveAddress() if outage == "unresponsive" else None
    with running() as harness, socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        if outage == "silent":  # the backlog accepts connections, and nothing is sent
            sock.listen()
        restart_router(harness, unresponsive_address.port if unresponsive_address else sock.getsockname()[1])
        harness.wait_until(
            lambda: harness.log_lines("change_log_disconnected"), "a failed connection to the change log"
        )
        assert harness.log_lines("router_ready") and not has_drained(harness)
        if unresponsive_address:
            unresponsive_address.accept().close()
            sock = unresponsive_address.sock
            sock.settimeout(None)
        sock.listen()
        log = ChangeLog(sock)
        log.first_frames = lambda: frame(2, 2, harness.endpoint_record(harness.caches[0], 1))
        harness.wait_until(lambda: has_drained(harness), "the drain")
        client = harness.client()
        for number in range(8):
            client.send(number + 1, X_ROW=f"{number:016x}")
            assert harness.next_command().cache is harness.caches[1]
        log.listener.close()
    if unresponsive_address:
        unresponsive_address.close()


@pytest.mark.parametrize("constraint", ["short writes", "TCP_NODELAY"])
def test_hello_is_written_completely_and_without_delay(tmp_path: Path, constraint: str) -> None:
    condition = (
        "self.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)" if constraint == "TCP_NODELAY" else "True"
    )
    tmp_path.joinpath("sitecustomize.py").write_text(f"""import socket
original_send = socket.socket.send
def send(self, data, *flags):
    if not {condition}:
        raise OSError("TCP_NODELAY is not set")
    return original_send(self, data[:3], *flags)
socket.socket.send = send
""")
    with running(env={"PYTHONPATH": str(tmp_path)}) as harness:
        assert harness.change_log.start_numbers.get(timeout=5.0) == 1
        harness.change_log.send_event(2, 2, harness.endpoint_record(harness.caches[0], 1))
        harness.wait_until(lambda: has_drained(harness), "the drain")


# -- silence, disconnections and address changes --


def test_all_waits_in_a_row_fit_into_what_counts_as_told() -> None:
    """Consecutive time-outs fit into the time within which an event of the log must be known.

    This limit is 7 s at the latest, 4 s after the log stops or SIGHUP changes its address, and 2 s after a
    disconnection. A reserve is left for the connection that opens and receives data.
    """
    backoff_s, failed_connect_s, reserve_s = (
        change_log_follower.BACKOFF_S[1],
        change_log_follower.BACKOFF_S[1] + change_log_follower.CONNECT_TIMEOUT_S,
        0.5,
    )
    silent_s, first_silent_s = (
        change_log_follower.SILENCE_TIMEOUT_S + backoff_s,
        change_log_follower.FIRST_FRAME_TIMEOUT_S + backoff_s,
    )
    assert silent_s + first_silent_s + 2 * failed_connect_s <= 7.0 - reserve_s
    # two silent connections in a row
    assert silent_s + first_silent_s + change_log_follower.SILENCE_TIMEOUT_S + backoff_s <= 7.0
    assert max(silent_s + failed_connect_s, first_silent_s + 2 * failed_connect_s) <= 4.0 - reserve_s / 2
    assert backoff_s + failed_connect_s <= 2.0 - reserve_s
    assert backoff_s <= 0.2  # less than the usual drain grace period, once the log is back


@pytest.mark.parametrize("state", ["mid-frame", "connecting", "backing off", "silent"])
def test_sighup_moves_log_at_any_point_without_lost_or_duplicate_events(state: str) -> None:
    unresponsive_address = UnresponsiveAddress()
    with (
        running() as harness,
        socket.socket() as closed,
        socket.create_server(("127.0.0.1", 0)) as silent_log,
    ):
        new_log, drain = ChangeLog(), frame(3, 2, harness.endpoint_record(harness.caches[0], 1))
        closed.bind(("127.0.0.1", 0))
        harness.change_log.send_event(2, 2, harness.endpoint_record(harness.caches[1], 0))
        wait_for_endpoint_updates(harness, 1)
        if state == "mid-frame":
            harness.change_log.listener.accepted[-1].sendall(drain[:20])
        else:
            move_change_log(
                harness,
                {"connecting": unresponsive_address, "silent": None}.get(state)
                and unresponsive_address.port
                or (silent_log if state == "silent" else closed).getsockname()[1],
            )
        if state == "backing off":
            harness.wait_until(
                lambda: len(harness.log_lines("change_log_disconnected")) > 3, "refused connections"
            )
        move_change_log(harness, new_log.listener.port)
        assert new_log.start_numbers.get(timeout=WAIT_TIMEOUT_S) == 2
        new_log.listener.accepted[-1].sendall(
            frame(2, 2, harness.endpoint_record(harness.caches[1], 1)) + drain
        )
        harness.wait_until(lambda: has_drained(harness), "the drain")
        assert len(harness.log_lines("endpoint_updated")) == 6
        new_log.listener.close()
    unresponsive_address.close()


def test_reset_in_middle_of_frame_loses_no_event() -> None:
    with running() as harness:
        drain = frame(3, 2, harness.endpoint_record(harness.caches[0], 1))
        assert harness.change_log.start_numbers.get(timeout=WAIT_TIMEOUT_S) == 1
        sock = harness.change_log.listener.accepted[-1]
        sock.sendall(frame(2, 2, harness.endpoint_record(harness.caches[1], 0)) + drain[:20])
        wait_for_endpoint_updates(harness, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
        assert harness.change_log.start_numbers.get(timeout=WAIT_TIMEOUT_S) == 2
        harness.change_log.send_event(3, 2, drain[13:])
        harness.wait_until(lambda: has_drained(harness), "the drain")


def test_malformed_event_does_not_block_later_events() -> None:
    def missed(harness: ProcessHarness) -> bytes:
        return frame(2, 2, MALFORMED_LIST) + frame(3, 2, harness.endpoint_record(harness.caches[0], 1))

    with running(missed) as harness:
        harness.wait_until(lambda: has_drained(harness), "the drain after the malformed event")
        assert len(harness.log_lines("change_log_event_skipped")) == 1


def test_log_lines_are_limited_while_change_log_keeps_closing() -> None:
    with running() as harness:
        closing = Listener(socket.socket.close)
        move_change_log(harness, closing.port)
        harness.wait_until(lambda: len(closing.accepted) > 20, "many connections")
        seconds = [line.split(".")[0] for line in harness.log_lines("change_log_disconnected")]
        assert max(map(seconds.count, seconds)) <= 5
        closing.close()


@pytest.mark.parametrize("attempt", ["first", "retry"])
def test_events_sent_during_suspension_are_applied_before_attempts(attempt: str) -> None:
    """The drain must be applied first. Trio runs tasks in random order, so the test repeats the race."""
    with running() as harness:
        client = harness.client()
        for number in range(8):  # so that connections to both caches are open
            client.send(X_ROW=f"{number:016x}")
            harness.next_command().reply()
            client.read_answer()
        for number in range(2, 34, 2):
            client.send(X_ROW=f"{number % 8:016x}")
            fetch = harness.next_command()
            draining = next(
                cache for cache in harness.caches if (cache is fetch.cache) == (attempt == "first")
            )
            if attempt == "first":
                fetch.reply()
                client.read_answer()
            suspend(harness)
            if attempt == "first":
                client.send(X_ROW=f"{number % 8:016x}")
            else:
                fetch.reply("503")
            harness.change_log.send_event(number, 2, harness.endpoint_record(draining, 1))
            harness.process.send_signal(signal.SIGCONT)
            wait_for_endpoint_updates(harness, number - 1)
            while not select.select([client.sock], [], [], 0.02)[0]:
                command = harness.next_command_within(0.02)
                if command is not None and command.name == "fetch":
                    assert command.cache is not draining
                    command.reply()
            client.read_answer()
            harness.change_log.send_event(number + 1, 2, harness.endpoint_record(draining, 0))
            wait_for_endpoint_updates(harness, number)


def test_gap_received_during_suspension_is_requested_once_more() -> None:
    """The read before all tasks run and the read of the follower's own task must not count as two."""
    with running() as harness:
        assert harness.change_log.start_numbers.get(timeout=WAIT_TIMEOUT_S) == 1
        suspend(harness)
        harness.change_log.listener.accepted[-1].sendall(
            frame(3, 4, PURGE_PAYLOAD) + frame(4, 4, PURGE_PAYLOAD)
        )
        harness.process.send_signal(signal.SIGCONT)
        assert harness.change_log.start_numbers.get(timeout=WAIT_TIMEOUT_S) == 1
        assert "reason='a gap before 3'" in harness.log_lines("change_log_disconnected")[0]


# -- sequence numbers of events, without I/O --


class PurgeRecorder:
    """Records the groups that were purged; fails for each of them as often as `failures` specifies."""

    def __init__(self, failures: dict[int, int]) -> None:
        self.groups: list[int] = []
        self._failures = failures

    def handle_membership_event(self, event: MembershipEvent) -> None:
        assert isinstance(event, PurgeUpdate)
        if self._failures.get(event.group, 0):
            self._failures[event.group] -= 1
            raise RuntimeError("planned failure of the purge")
        self.groups.append(event.group)


def purge(number: int) -> bytes:
    return frame(number, 4, struct.pack(">HQ", number, 1))


@pytest.mark.parametrize(
    "events, failures, groups, reads",
    [
        ([purge(2), purge(3), purge(2), purge(3), purge(4)], {}, [2, 3, 4], 1),  # duplicates
        ([purge(3), purge(1), frame(0, 0), purge(2)], {}, [3], 2),  # a persistent gap; decreasing numbers
        ([purge(2), frame(1, 0), purge(3)], {}, [2, 3], 1),  # a log that lags
        ([purge(2), frame(3, 77, b"?"), purge(4)], {}, [2, 4], 1),  # an unknown kind
        ([purge(2), frame(3, 4, b"?"), purge(4)], {}, [2, 4], 2),  # malformed
        ([purge(2), frame(3, 3, b"?"), purge(4)], {}, [2, 4], 2),
        ([purge(2), frame(3, 1, b"?"), purge(4)], {}, [2, 4], 2),
        ([purge(2), purge(3), purge(4)], {3: 1}, [2, 3, 4], 2),  # fails once
        ([purge(2), purge(3), purge(4)], {3: 9}, [2, 4], 3),  # fails always
    ],
)
def test_each_event_is_applied_once_and_does_not_block_later_ones(
    events: list[bytes], failures: dict[int, int], groups: list[int], reads: int
) -> None:
    """The log is read `reads` times until all events are processed."""
    follower, recorder, attempts = change_log.Follower(1), PurgeRecorder(failures), 0
    complete = False
    while not complete and attempts < 5:
        attempts += 1
        buffer = Buffer(4096)
        buffer.feed(b"".join(events))
        with contextlib.suppress(RuntimeError, change_log.ChangeLogError):
            complete = all(follower.take(event, recorder) for event in change_log.frames(buffer))
    assert (recorder.groups, attempts) == (groups, reads)

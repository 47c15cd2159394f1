"""The change log falls silent, disconnects, moves, or sends events at inconvenient moments."""

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
from stand import SETTINGS, WAIT_TIMEOUT_S, ChangeLog, Listener, Stand, UnresponsiveAddress

from stonecove.discovery import MembershipEvent, PurgeUpdate
from stonecove.protocols import change_log
from stonecove.protocols.buffer import Buffer
from stonecove.transport import change_log_follower

PURGE = struct.pack(">HQ", 40, 1)
MALFORMED_LIST = b"12345"  # not a multiple of a record's length


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


@contextlib.contextmanager
def running(
    missed: Callable[[Stand], bytes] | None = None, grace_ms: float = 250.0, env: dict[str, str] | None = None
) -> Iterator[Stand]:
    stand = Stand(missed=missed, env=env, rules={**SETTINGS["rules"], "drain_grace": grace_ms})
    try:
        yield stand
    finally:
        stand.close()


def restart(stand: Stand, port: int) -> None:
    """Kill the router, and start it with its change log at that port."""
    stand.process.kill()
    stand.process.wait()
    stand.config["changelog"] = f"127.0.0.1:{port}"
    stand.process = stand.start()


def move_change_log(stand: Stand, port: int) -> None:
    """Reload the configuration with the change log at that port, and wait until the router connects there."""
    before = len(stand.lines("change_log_address_changed"))
    stand.reload(json.dumps({**stand.config, "changelog": f"127.0.0.1:{port}"}))
    stand.wait(lambda: len(stand.lines("change_log_address_changed")) > before, "the move")


def has_drained(stand: Stand) -> bool:
    return any("state=draining" in line for line in stand.lines("endpoint_updated"))


def wait_changes(stand: Stand, count: int) -> None:
    """Wait until that many records have arrived after those of the start."""
    stand.wait(lambda: len(stand.lines("endpoint_updated")) == 4 + count, f"{count} changes")


def suspend(stand: Stand) -> None:
    """Suspend the router until SIGCONT."""
    stand.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{stand.process.pid}/stat")
    stand.wait(lambda: stat.read_text().split()[2] == "T", "the stop")
    time.sleep(0.05)  # a shorter suspension is not noticed


def drained_before_ready(stand: Stand) -> bool:
    text = Path(stand.folder.name, "log").read_text()
    return "state=draining" in text.partition(" router_ready ")[0]


# -- start --


@pytest.mark.parametrize("first", ["late", "half", "gap", "broken", "number"])
def test_a_router_is_ready_only_once_the_log_has_told_all(first: str) -> None:
    """A pause, a gap or a disconnection must not be taken for the end of the events in the log."""
    drains_sent: list[bytes] = []

    def missed(stand: Stand) -> bytes:
        drain, sock = frame(3, 2, stand.record(stand.caches[0], 1)), stand.log.listener.accepted[-1]
        drains_sent.append(drain)
        if first == "late":
            time.sleep(0.6)  # longer than the grace of drains
        elif first == "half":
            sock.sendall(frame(2, 4, PURGE) + drain[:20])
            time.sleep(0.2)
            return drain[20:]
        elif len(drains_sent) == 1:
            if first == "broken":
                sock.sendall(frame(2, 4, PURGE))
                sock.shutdown(socket.SHUT_RDWR)
                return b""
            return frame(4, 4, PURGE) if first == "gap" else frame(3, 0)
        return frame(2, 4, PURGE) + drain

    with running(missed, 250.0 if first == "late" else 5_000.0) as stand:
        assert drained_before_ready(stand)
        assert not stand.lines("internal_error")


def test_a_long_grace_keeps_no_router_from_its_start() -> None:
    """A restart while the change log is down must not take as long as the drain period of the settings."""
    with running() as stand, socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))  # bound and not listening: refused
        stand.config["settings"]["rules"] = {**SETTINGS["rules"], "drain_grace": 600_000.0}
        restart(stand, closed.getsockname()[1])
        assert stand.lines("router_ready") and not stand.lines("change_log_connected")


@pytest.mark.parametrize("down", ["refused", "mute", "hanging"])
def test_a_start_without_a_log_is_ready_and_hears_of_drains_as_it_returns(down: str) -> None:
    hanging = UnresponsiveAddress() if down == "hanging" else None
    with running() as stand, socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        if down == "mute":  # the backlog accepts connections, and nothing is sent
            sock.listen()
        restart(stand, hanging.port if hanging else sock.getsockname()[1])
        stand.wait(lambda: stand.lines("change_log_disconnected"), "a first try")
        assert stand.lines("router_ready") and not has_drained(stand)
        if hanging:
            hanging.open().close()
            sock = hanging.sock
            sock.settimeout(None)
        sock.listen()
        log = ChangeLog(sock)
        log.missed = lambda: frame(2, 2, stand.record(stand.caches[0], 1))
        stand.wait(lambda: has_drained(stand), "the drain")
        client = stand.client()
        for number in range(8):
            client.send(number + 1, X_ROW=f"{number:016x}")
            assert stand.command().cache is stand.caches[1]
        log.listener.close()
    if hanging:
        hanging.close()


@pytest.mark.parametrize("peer", ["takes little", "wants no delay"])
def test_the_hello_is_written_whole_and_at_once(tmp_path: Path, peer: str) -> None:
    condition = (
        "self.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)" if peer == "wants no delay" else "True"
    )
    tmp_path.joinpath("sitecustomize.py").write_text(f"""import socket
real = socket.socket.send
def send(self, data, *flags):
    if not {condition}:
        raise OSError("held back")
    return real(self, data[:3], *flags)
socket.socket.send = send
""")
    with running(env={"PYTHONPATH": str(tmp_path)}) as stand:
        assert stand.log.since.get(timeout=5.0) == 1
        stand.log.tell(2, 2, stand.record(stand.caches[0], 1))
        stand.wait(lambda: has_drained(stand), "the drain")


# -- silence, disconnections and moves --


def test_all_waits_in_a_row_fit_into_what_counts_as_told() -> None:
    """Consecutive time-outs fit into the time after which an event of the log counts as known.

    That is 7 s at the latest, 4 s after the log stops or SIGHUP moves it, and 2 s after a disconnection. Some
    of it is left for the connection that opens and receives data.
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
    assert backoff_s <= 0.2  # less than the usual drain period, once the log has returned


@pytest.mark.parametrize("at", ["mid-frame", "connecting", "backing off", "mute"])
def test_sighup_moves_the_log_at_any_point_and_nothing_is_missed_or_told_twice(at: str) -> None:
    hanging = UnresponsiveAddress()
    with running() as stand, socket.socket() as closed, socket.create_server(("127.0.0.1", 0)) as mute:
        new, drain = ChangeLog(), frame(3, 2, stand.record(stand.caches[0], 1))
        closed.bind(("127.0.0.1", 0))
        stand.log.tell(2, 2, stand.record(stand.caches[1], 0))
        wait_changes(stand, 1)
        if at == "mid-frame":
            stand.log.listener.accepted[-1].sendall(drain[:20])
        else:
            move_change_log(
                stand,
                {"connecting": hanging, "mute": None}.get(at)
                and hanging.port
                or (mute if at == "mute" else closed).getsockname()[1],
            )
        if at == "backing off":
            stand.wait(lambda: len(stand.lines("change_log_disconnected")) > 3, "refusals")
        move_change_log(stand, new.listener.port)
        assert new.since.get(timeout=WAIT_TIMEOUT_S) == 2
        new.listener.accepted[-1].sendall(frame(2, 2, stand.record(stand.caches[1], 1)) + drain)
        stand.wait(lambda: has_drained(stand), "the drain")
        assert len(stand.lines("endpoint_updated")) == 6
        new.listener.close()
    hanging.close()


def test_a_reset_in_the_middle_of_a_frame_loses_nothing() -> None:
    with running() as stand:
        drain = frame(3, 2, stand.record(stand.caches[0], 1))
        assert stand.log.since.get(timeout=WAIT_TIMEOUT_S) == 1
        sock = stand.log.listener.accepted[-1]
        sock.sendall(frame(2, 2, stand.record(stand.caches[1], 0)) + drain[:20])
        wait_changes(stand, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
        assert stand.log.since.get(timeout=WAIT_TIMEOUT_S) == 2
        stand.log.tell(3, 2, drain[13:])
        stand.wait(lambda: has_drained(stand), "the drain")


def test_an_event_that_stays_unreadable_keeps_no_later_one_away() -> None:
    def missed(stand: Stand) -> bytes:
        return frame(2, 2, MALFORMED_LIST) + frame(3, 2, stand.record(stand.caches[0], 1))

    with running(missed) as stand:
        stand.wait(lambda: has_drained(stand), "the drain after the unreadable event")
        assert len(stand.lines("change_log_event_skipped")) == 1


def test_a_log_that_keeps_closing_fills_no_log_of_ours() -> None:
    with running() as stand:
        closing = Listener(socket.socket.close)
        move_change_log(stand, closing.port)
        stand.wait(lambda: len(closing.accepted) > 20, "many tries")
        seconds = [line.split(".")[0] for line in stand.lines("change_log_disconnected")]
        assert max(map(seconds.count, seconds)) <= 5
        closing.close()


@pytest.mark.parametrize("work", ["fresh", "repeat"])
def test_what_was_told_while_the_router_stood_still_is_learnt_before_work_goes_out(work: str) -> None:
    """The drain must be applied first. Trio runs tasks in random order, so one round proves little."""
    with running() as stand:
        client = stand.client()
        for number in range(8):  # so that connections to both caches are up
            client.send(X_ROW=f"{number:016x}")
            stand.command().reply()
            client.answer()
        for number in range(2, 34, 2):
            client.send(X_ROW=f"{number % 8:016x}")
            fetch = stand.command()
            draining = next(cache for cache in stand.caches if (cache is fetch.cache) == (work == "fresh"))
            if work == "fresh":
                fetch.reply()
                client.answer()
            suspend(stand)
            if work == "fresh":
                client.send(X_ROW=f"{number % 8:016x}")
            else:
                fetch.reply("503")
            stand.log.tell(number, 2, stand.record(draining, 1))
            stand.process.send_signal(signal.SIGCONT)
            wait_changes(stand, number - 1)
            while not select.select([client.sock], [], [], 0.02)[0]:
                later = stand.maybe_command(0.02)
                if later is not None and later.word == "fetch":
                    assert later.cache is not draining
                    later.reply()
            client.answer()
            stand.log.tell(number + 1, 2, stand.record(draining, 0))
            wait_changes(stand, number)


def test_a_gap_that_came_while_the_router_stood_still_is_asked_for_once_more() -> None:
    """The read ahead of all tasks and the task's own read must not count as two."""
    with running() as stand:
        assert stand.log.since.get(timeout=WAIT_TIMEOUT_S) == 1
        suspend(stand)
        stand.log.listener.accepted[-1].sendall(frame(3, 4, PURGE) + frame(4, 4, PURGE))
        stand.process.send_signal(signal.SIGCONT)
        assert stand.log.since.get(timeout=WAIT_TIMEOUT_S) == 1
        assert "reason='a gap before 3'" in stand.lines("change_log_disconnected")[0]


# -- the numbers of events, without I/O --


class Sink:
    """Records the groups that were purged; fails as often as given for each of them."""

    def __init__(self, failures: dict[int, int]) -> None:
        self.groups: list[int] = []
        self._failures = failures

    def handle_membership_event(self, event: MembershipEvent) -> None:
        assert isinstance(event, PurgeUpdate)
        if self._failures.get(event.group, 0):
            self._failures[event.group] -= 1
            raise RuntimeError("not now")
        self.groups.append(event.group)


def purge(number: int) -> bytes:
    return frame(number, 4, struct.pack(">HQ", number, 1))


@pytest.mark.parametrize(
    "events, failures, groups, rounds",
    [
        ([purge(2), purge(3), purge(2), purge(3), purge(4)], {}, [2, 3, 4], 1),  # duplicates
        ([purge(3), purge(1), frame(0, 0), purge(2)], {}, [3], 2),  # a lasting gap; decreasing numbers
        ([purge(2), frame(1, 0), purge(3)], {}, [2, 3], 1),  # a log that lags
        ([purge(2), frame(3, 77, b"?"), purge(4)], {}, [2, 4], 1),  # an unknown kind
        ([purge(2), frame(3, 4, b"?"), purge(4)], {}, [2, 4], 2),  # malformed
        ([purge(2), frame(3, 3, b"?"), purge(4)], {}, [2, 4], 2),
        ([purge(2), frame(3, 1, b"?"), purge(4)], {}, [2, 4], 2),
        ([purge(2), purge(3), purge(4)], {3: 1}, [2, 3, 4], 2),  # fails once
        ([purge(2), purge(3), purge(4)], {3: 9}, [2, 4], 3),  # fails always
    ],
)
def test_each_event_is_told_once_and_none_bars_the_way(
    events: list[bytes], failures: dict[int, int], groups: list[int], rounds: int
) -> None:
    """The log is read `rounds` times until all events were processed."""
    follower, sink, attempts = change_log.Follower(1), Sink(failures), 0
    complete = False
    while not complete and attempts < 5:
        attempts += 1
        buffer = Buffer(4096)
        buffer.feed(b"".join(events))
        with contextlib.suppress(RuntimeError, change_log.ChangeLogError):
            complete = all(follower.take(one, sink) for one in change_log.frames(buffer))
    assert (sink.groups, attempts) == (groups, rounds)

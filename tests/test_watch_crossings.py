"""Crossings of the watch on the change log: what falls silent, breaks, moves or comes between two lines."""

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
from stand import PATIENCE, SETTINGS, ChangeLog, Hanging, Listener, Stand

from stonecove.discovery import PurgeUpdate, Told
from stonecove.protocols import change_log
from stonecove.protocols.buffer import Buffer
from stonecove.transport import change_log_follower

PURGE = struct.pack(">HQ", 40, 1)
UNREADABLE = b"12345"  # as a list: no whole number of records


def frame(number: int, kind: int, payload: bytes = b"") -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


@contextlib.contextmanager
def running(
    missed: Callable[[Stand], bytes] | None = None, grace: float = 250.0, env: dict[str, str] | None = None
) -> Iterator[Stand]:
    stand = Stand(missed=missed, env=env, rules={**SETTINGS["rules"], "drain_grace": grace})
    try:
        yield stand
    finally:
        stand.close()


def restart(stand: Stand, port: int) -> None:
    """Starts the router anew, with its change log at that port."""
    stand.process.kill()
    stand.process.wait()
    stand.config["changelog"] = f"127.0.0.1:{port}"
    stand.process = stand.start()


def move(stand: Stand, port: int) -> None:
    """SIGHUP with the change log at that port; waits until the router goes there."""
    before = len(stand.lines("change_log_address_changed"))
    stand.reload(json.dumps({**stand.config, "changelog": f"127.0.0.1:{port}"}))
    stand.wait(lambda: len(stand.lines("change_log_address_changed")) > before, "the move")


def drained(stand: Stand) -> bool:
    return any("state=draining" in line for line in stand.lines("endpoint_updated"))


def wait_changes(stand: Stand, count: int) -> None:
    """Waits until so many records came after those of the start."""
    stand.wait(lambda: len(stand.lines("endpoint_updated")) == 4 + count, f"{count} changes")


def stop(stand: Stand) -> None:
    """Lets the router stand still until SIGCONT."""
    stand.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{stand.process.pid}/stat")
    stand.wait(lambda: stat.read_text().split()[2] == "T", "the stop")
    time.sleep(0.05)  # what is shorter is no standstill


def drained_before_ready(stand: Stand) -> bool:
    text = Path(stand.folder.name, "log").read_text()
    return "state=draining" in text.partition(" router_ready ")[0]


# -- start --


@pytest.mark.parametrize("first", ["late", "half", "gap", "broken", "number"])
def test_a_router_is_ready_only_once_the_log_has_told_all(first: str) -> None:
    """Guards against taking a pause, a gap or a break for the end of what the log has to tell."""
    tries: list[bytes] = []

    def missed(stand: Stand) -> bytes:
        drain, sock = frame(3, 2, stand.record(stand.caches[0], 1)), stand.log.listener.accepted[-1]
        tries.append(drain)
        if first == "late":
            time.sleep(0.6)  # longer than the grace of drains
        elif first == "half":
            sock.sendall(frame(2, 4, PURGE) + drain[:20])
            time.sleep(0.2)
            return drain[20:]
        elif len(tries) == 1:
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
    """Guards against a restart beside a change log that is down taking as long as the settings' grace."""
    with running() as stand, socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))  # bound and not listening: refused
        stand.config["settings"]["rules"] = {**SETTINGS["rules"], "drain_grace": 600_000.0}
        restart(stand, closed.getsockname()[1])
        assert stand.lines("router_ready") and not stand.lines("change_log_connected")


@pytest.mark.parametrize("down", ["refused", "mute", "hanging"])
def test_a_start_without_a_log_is_ready_and_hears_of_drains_as_it_returns(down: str) -> None:
    hanging = Hanging() if down == "hanging" else None
    with running() as stand, socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        if down == "mute":  # the backlog takes connections, and nobody speaks
            sock.listen()
        restart(stand, hanging.port if hanging else sock.getsockname()[1])
        stand.wait(lambda: stand.lines("change_log_disconnected"), "a first try")
        assert stand.lines("router_ready") and not drained(stand)
        if hanging:
            hanging.open().close()
            sock = hanging.sock
            sock.settimeout(None)
        sock.listen()
        log = ChangeLog(sock)
        log.missed = lambda: frame(2, 2, stand.record(stand.caches[0], 1))
        stand.wait(lambda: drained(stand), "the drain")
        client = stand.client()
        for number in range(8):
            client.send(number + 1, X_ROW=f"{number:016x}")
            assert stand.command().cache is stand.caches[1]
        log.listener.close()
    if hanging:
        hanging.close()


@pytest.mark.parametrize("peer", ["takes little", "wants no delay"])
def test_the_hello_is_written_whole_and_at_once(tmp_path: Path, peer: str) -> None:
    held = "self.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)" if peer == "wants no delay" else "True"
    tmp_path.joinpath("sitecustomize.py").write_text(f"""import socket
real = socket.socket.send
def send(self, data, *flags):
    if not {held}:
        raise OSError("held back")
    return real(self, data[:3], *flags)
socket.socket.send = send
""")
    with running(env={"PYTHONPATH": str(tmp_path)}) as stand:
        assert stand.log.since.get(timeout=5.0) == 1
        stand.log.tell(2, 2, stand.record(stand.caches[0], 1))
        stand.wait(lambda: drained(stand), "the drain")


# -- silence, breaks and moves --


def test_all_waits_in_a_row_fit_into_what_counts_as_told() -> None:
    """All that is in the log counts as told 7 s later at the latest, 4 s after it stops or SIGHUP moves it,
    2 s after a break. Some is left for the connection that comes up and speaks.
    """
    pause, fail, left = (
        change_log_follower.BACK_OFF[1],
        change_log_follower.BACK_OFF[1] + change_log_follower.CONNECT_WAIT,
        0.5,
    )
    silent, mute = change_log_follower.QUIET + pause, change_log_follower.FIRST + pause
    assert silent + mute + 2 * fail <= 7.0 - left
    assert silent + mute + change_log_follower.QUIET + pause <= 7.0  # two that are mute in a row
    assert max(silent + fail, mute + 2 * fail) <= 4.0 - left / 2
    assert pause + fail <= 2.0 - left
    assert pause <= 0.2  # after a return, less than the usual grace of drains


@pytest.mark.parametrize("at", ["mid-frame", "connecting", "backing off", "mute"])
def test_sighup_moves_the_log_at_any_point_and_nothing_is_missed_or_told_twice(at: str) -> None:
    hanging = Hanging()
    with running() as stand, socket.socket() as closed, socket.create_server(("127.0.0.1", 0)) as mute:
        new, drain = ChangeLog(), frame(3, 2, stand.record(stand.caches[0], 1))
        closed.bind(("127.0.0.1", 0))
        stand.log.tell(2, 2, stand.record(stand.caches[1], 0))
        wait_changes(stand, 1)
        if at == "mid-frame":
            stand.log.listener.accepted[-1].sendall(drain[:20])
        else:
            move(
                stand,
                {"connecting": hanging, "mute": None}.get(at)
                and hanging.port
                or (mute if at == "mute" else closed).getsockname()[1],
            )
        if at == "backing off":
            stand.wait(lambda: len(stand.lines("change_log_disconnected")) > 3, "refusals")
        move(stand, new.listener.port)
        assert new.since.get(timeout=PATIENCE) == 2
        new.listener.accepted[-1].sendall(frame(2, 2, stand.record(stand.caches[1], 1)) + drain)
        stand.wait(lambda: drained(stand), "the drain")
        assert len(stand.lines("endpoint_updated")) == 6
        new.listener.close()
    hanging.close()


def test_a_reset_in_the_middle_of_a_frame_loses_nothing() -> None:
    with running() as stand:
        drain = frame(3, 2, stand.record(stand.caches[0], 1))
        assert stand.log.since.get(timeout=PATIENCE) == 1
        sock = stand.log.listener.accepted[-1]
        sock.sendall(frame(2, 2, stand.record(stand.caches[1], 0)) + drain[:20])
        wait_changes(stand, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
        assert stand.log.since.get(timeout=PATIENCE) == 2
        stand.log.tell(3, 2, drain[13:])
        stand.wait(lambda: drained(stand), "the drain")


def test_an_event_that_stays_unreadable_keeps_no_later_one_away() -> None:
    def missed(stand: Stand) -> bytes:
        return frame(2, 2, UNREADABLE) + frame(3, 2, stand.record(stand.caches[0], 1))

    with running(missed) as stand:
        stand.wait(lambda: drained(stand), "the drain after the unreadable event")
        assert len(stand.lines("change_log_event_skipped")) == 1


def test_a_log_that_keeps_closing_fills_no_log_of_ours() -> None:
    with running() as stand:
        closing = Listener(socket.socket.close)
        move(stand, closing.port)
        stand.wait(lambda: len(closing.accepted) > 20, "many tries")
        seconds = [line.split(".")[0] for line in stand.lines("change_log_disconnected")]
        assert max(map(seconds.count, seconds)) <= 5
        closing.close()


@pytest.mark.parametrize("work", ["fresh", "repeat"])
def test_what_was_told_while_the_router_stood_still_is_learnt_before_work_goes_out(work: str) -> None:
    """Guards against the order in which trio lets tasks run; it is random, so one round proves little."""
    with running() as stand:
        client = stand.client()
        for number in range(8):  # so that connections to both caches are up
            client.send(X_ROW=f"{number:016x}")
            stand.command().reply()
            client.answer()
        for number in range(2, 34, 2):
            client.send(X_ROW=f"{number % 8:016x}")
            fetch = stand.command()
            drains = next(cache for cache in stand.caches if (cache is fetch.cache) == (work == "fresh"))
            if work == "fresh":
                fetch.reply()
                client.answer()
            stop(stand)
            if work == "fresh":
                client.send(X_ROW=f"{number % 8:016x}")
            else:
                fetch.reply("503")
            stand.log.tell(number, 2, stand.record(drains, 1))
            stand.process.send_signal(signal.SIGCONT)
            wait_changes(stand, number - 1)
            while not select.select([client.sock], [], [], 0.02)[0]:
                later = stand.maybe_command(0.02)
                if later is not None and later.word == "fetch":
                    assert later.cache is not drains
                    later.reply()
            client.answer()
            stand.log.tell(number + 1, 2, stand.record(drains, 0))
            wait_changes(stand, number)


def test_a_gap_that_came_while_the_router_stood_still_is_asked_for_once_more() -> None:
    """Guards against the look ahead of the tasks and the task's own look counting as two."""
    with running() as stand:
        assert stand.log.since.get(timeout=PATIENCE) == 1
        stop(stand)
        stand.log.listener.accepted[-1].sendall(frame(3, 4, PURGE) + frame(4, 4, PURGE))
        stand.process.send_signal(signal.SIGCONT)
        assert stand.log.since.get(timeout=PATIENCE) == 1
        assert "reason='a gap before 3'" in stand.lines("change_log_disconnected")[0]


# -- the count of events, without I/O --


class Sink:
    """Notes groups that were purged; fails as often as it should for one of them."""

    def __init__(self, fails: dict[int, int]) -> None:
        self.groups: list[int] = []
        self._fails = fails

    def told(self, event: Told) -> None:
        assert isinstance(event, PurgeUpdate)
        if self._fails.get(event.group, 0):
            self._fails[event.group] -= 1
            raise RuntimeError("not now")
        self.groups.append(event.group)


def purge(number: int) -> bytes:
    return frame(number, 4, struct.pack(">HQ", number, 1))


@pytest.mark.parametrize(
    "events, fails, groups, rounds",
    [
        ([purge(2), purge(3), purge(2), purge(3), purge(4)], {}, [2, 3, 4], 1),  # doubled
        ([purge(3), purge(1), frame(0, 0), purge(2)], {}, [3], 2),  # a gap that stays; numbers that go back
        ([purge(2), frame(1, 0), purge(3)], {}, [2, 3], 1),  # a log that lags
        ([purge(2), frame(3, 77, b"?"), purge(4)], {}, [2, 4], 1),  # a kind that is not known
        ([purge(2), frame(3, 4, b"?"), purge(4)], {}, [2, 4], 2),  # unreadable
        ([purge(2), frame(3, 3, b"?"), purge(4)], {}, [2, 4], 2),
        ([purge(2), frame(3, 1, b"?"), purge(4)], {}, [2, 4], 2),
        ([purge(2), purge(3), purge(4)], {3: 1}, [2, 3, 4], 2),  # can't be worked off once
        ([purge(2), purge(3), purge(4)], {3: 9}, [2, 4], 3),  # ever
    ],
)
def test_each_event_is_told_once_and_none_bars_the_way(
    events: list[bytes], fails: dict[int, int], groups: list[int], rounds: int
) -> None:
    """`rounds` is how often the log is asked until all went through."""
    follower, sink, needed = change_log.Follower(1), Sink(fails), 0
    whole = False
    while not whole and needed < 5:
        needed += 1
        buffer = Buffer(4096)
        buffer.feed(b"".join(events))
        with contextlib.suppress(RuntimeError, change_log.ChangeLogError):
            whole = all(follower.take(one, sink) for one in change_log.frames(buffer))
    assert (sink.groups, needed) == (groups, rounds)

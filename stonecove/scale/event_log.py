"""Generate the events of a scale run, numbered once and sent to all control machines in the same order.

Purges arrive at the real fleet's rate; changes of the endpoint list are those of an ordinary day, sped up
by a given factor.
"""

from __future__ import annotations

import contextlib
import heapq
import random
import threading
import time
from collections.abc import Callable
from itertools import count

from stonecove.scale.child import Child, ChildError
from stonecove.scale.control_machine import FIRST_NUMBER
from stonecove.standins.depot import (
    CHANGES,
    GROUP_PURGE,
    HOST,
    OBJECT_PURGE,
    Cache,
    Depot,
    event_frame,
    group_purge,
    member_record,
    object_purge,
)

GROUP_PURGE_FRACTION = 0.1  # of all purges
GROUPS = 1000
FAILURES_A_DAY = 6.0
RESTARTS_A_DAY = 100.0
REFERENCE_MACHINES = 730 + 290 + 3  # the fleet to which these failures and restarts apply
DAY_S = 86_400.0
DRAIN_S = 1.0  # before a cache is restarted
FAILURE_S = 3.0  # for which a failed cache is off the endpoint list


class EventLog:
    """All events so far, and the control machines that receive them."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._lock = threading.Lock()
        self._frames: list[bytes] = []
        self._machines: set[Child] = set()
        self.purges: set[int] = set()  # numbers of the events that are purges

    @property
    def last(self) -> int:
        """Return the number of the newest event."""
        return FIRST_NUMBER - 1 + len(self._frames)

    def publish(self, kind: int, payload: bytes) -> int:
        """Append an event, send it to all running machines and return its number."""
        with self._lock:
            number = self.last + 1
            frame = event_frame(number, kind, payload)
            self._frames.append(frame)
            if kind in (OBJECT_PURGE, GROUP_PURGE):
                self.purges.add(number)
            for machine in self._machines:
                with contextlib.suppress(ChildError):  # the machine has just exited
                    machine.send("publish", frames=[frame.hex()])
            return number

    def attach(self, machine: Child) -> None:
        """Send all events to a machine that has just started, and each new one from now on."""
        with self._lock:
            machine.send("publish", frames=[frame.hex() for frame in self._frames])
            self._machines.add(machine)

    def detach(self, machine: Child) -> None:
        """Stop sending events to a machine."""
        with self._lock:
            self._machines.discard(machine)


class ChurnGenerator:
    """Publishes purges and changes of the endpoint list from a thread."""

    def __init__(
        self, log: EventLog, depot: Depot, purges_per_s: float, day_factor: float, seed: int
    ) -> None:
        """Start to publish; `day_factor` speeds up the day's failures and restarts."""
        self._log, self._depot = log, depot
        self._random = random.Random(seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        reference_cache_fraction = len(depot.servers) / REFERENCE_MACHINES
        self._schedule_repeatedly(purges_per_s, self._publish_purge)
        self._schedule_repeatedly(
            FAILURES_A_DAY / DAY_S * day_factor * reference_cache_fraction, self._fail_cache
        )
        self._schedule_repeatedly(
            RESTARTS_A_DAY / DAY_S * day_factor * reference_cache_fraction, self._restart_cache
        )
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def end(self) -> None:
        """Stop publishing and wait for the thread."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.is_set():
            wait_s = self._queue[0][0] - time.monotonic() if self._queue else None
            if wait_s is None or wait_s > 0:
                self._stopped.wait(wait_s)
                continue
            heapq.heappop(self._queue)[2]()

    def _schedule_at(self, due_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (due_s, next(self._sequence), call))

    def _schedule_repeatedly(
        self, rate_per_s: float, call: Callable[[], None], since_s: float | None = None
    ) -> None:
        """Call a function at this mean rate, with exponentially distributed intervals."""
        if rate_per_s <= 0:
            return
        due_s = (time.monotonic() if since_s is None else since_s) + self._random.expovariate(rate_per_s)

        def call_and_reschedule() -> None:
            call()
            self._schedule_repeatedly(rate_per_s, call, due_s)

        self._schedule_at(due_s, call_and_reschedule)

    def _publish_purge(self) -> None:
        purged_at_ms = time.time() * 1000.0
        if self._random.random() < GROUP_PURGE_FRACTION:
            self._log.publish(GROUP_PURGE, group_purge(self._random.randrange(1, GROUPS), purged_at_ms))
        else:
            self._log.publish(OBJECT_PURGE, object_purge(self._random.getrandbits(63) | 1, purged_at_ms))

    def _fail_cache(self) -> None:
        cache = self._random.choice(self._depot.caches)
        self._publish_state(cache, "removed")
        self._schedule_at(time.monotonic() + FAILURE_S, lambda: self._start_cache(cache))

    def _restart_cache(self) -> None:
        cache = self._random.choice(self._depot.caches)
        self._publish_state(cache, "draining")
        self._schedule_at(time.monotonic() + DRAIN_S, lambda: self._start_cache(cache))

    def _start_cache(self, cache: Cache) -> None:
        cache.restart_empty()
        self._publish_state(cache, "up")

    def _publish_state(self, cache: Cache, state: str) -> None:
        cache.state = state
        self._log.publish(CHANGES, member_record(cache, HOST, state, self._depot.weight))

"""The events of a scale run: each is numbered once, and all control machines get the same ones in order.

Purges come as on the real fleet, changes of the list as on an ordinary day, played faster by a told factor.
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

GROUP_PART = 0.1  # of all purges that are of a group
GROUPS = 1000
FAILURES_A_DAY = 6.0
RESTARTS_A_DAY = 100.0
MACHINES_OF_THE_DAY = 730 + 290 + 3  # among which these failures and restarts are
DAY = 86_400.0  # seconds
DRAINS_FOR = 1.0  # seconds before a cache is restarted
AWAY_FOR = 3.0  # seconds for which a cache is off the list that has failed


class EventLog:
    """All events so far, and the control machines that are told of them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._frames: list[bytes] = []
        self._machines: set[Child] = set()
        self.purges: set[int] = set()  # numbers of the events that are purges

    @property
    def last(self) -> int:
        """The number of the newest event."""
        return FIRST_NUMBER - 1 + len(self._frames)

    def publish(self, kind: int, payload: bytes) -> int:
        """A new event, to all machines that run; its number."""
        with self._lock:
            number = self.last + 1
            frame = event_frame(number, kind, payload)
            self._frames.append(frame)
            if kind in (OBJECT_PURGE, GROUP_PURGE):
                self.purges.add(number)
            for machine in self._machines:
                with contextlib.suppress(ChildError):  # it has just ended
                    machine.tell("publish", frames=[frame.hex()])
            return number

    def attach(self, machine: Child) -> None:
        """A machine that has just started is given all events, as one that copies them from another."""
        with self._lock:
            machine.tell("publish", frames=[frame.hex() for frame in self._frames])
            self._machines.add(machine)

    def detach(self, machine: Child) -> None:
        """A machine is told nothing more."""
        with self._lock:
            self._machines.discard(machine)


class OrdinaryDay:
    """Publishes purges and changes of the list, in a thread."""

    def __init__(
        self, log: EventLog, depot: Depot, purges_a_second: float, day_factor: float, seed: int
    ) -> None:
        """`day_factor`: so many times faster come the day's failures and restarts. Begins at once."""
        self._log, self._depot = log, depot
        self._random = random.Random(seed)
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        caches = len(depot.servers) / MACHINES_OF_THE_DAY
        self._every(purges_a_second, self._purge)
        self._every(FAILURES_A_DAY / DAY * day_factor * caches, self._fail)
        self._every(RESTARTS_A_DAY / DAY * day_factor * caches, self._restart)
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def end(self) -> None:
        """Nothing more is published."""
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._over.is_set():
            wait = self._due[0][0] - time.monotonic() if self._due else None
            if wait is None or wait > 0:
                self._over.wait(wait)
                continue
            heapq.heappop(self._due)[2]()

    def _at(self, moment: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (moment, next(self._order), call))

    def _every(self, rate: float, call: Callable[[], None], since: float | None = None) -> None:
        """Has it called so many times a second on average, at random moments."""
        if rate <= 0:
            return
        due = (time.monotonic() if since is None else since) + self._random.expovariate(rate)

        def one() -> None:
            call()
            self._every(rate, call, due)

        self._at(due, one)

    def _purge(self) -> None:
        moment = time.time() * 1000.0
        if self._random.random() < GROUP_PART:
            self._log.publish(GROUP_PURGE, group_purge(self._random.randrange(1, GROUPS), moment))
        else:
            self._log.publish(OBJECT_PURGE, object_purge(self._random.getrandbits(63) | 1, moment))

    def _fail(self) -> None:
        cache = self._random.choice(self._depot.caches)
        self._tell(cache, "removed")
        self._at(time.monotonic() + AWAY_FOR, lambda: self._start(cache))

    def _restart(self) -> None:
        cache = self._random.choice(self._depot.caches)
        self._tell(cache, "draining")
        self._at(time.monotonic() + DRAINS_FOR, lambda: self._start(cache))

    def _start(self, cache: Cache) -> None:
        cache.forget()
        self._tell(cache, "up")

    def _tell(self, cache: Cache, state: str) -> None:
        cache.state = state
        self._log.publish(CHANGES, member_record(cache, HOST, state, self._depot.weight))

"""Amplification statistics: the work that each request intended by a client causes in the whole fleet.

A client intends a request once, and may try it several times. A try leads to attempts at caches; an attempt
that is sent beside or after another one of the same try is a repeat. Attempts lead to fills from parents and
fetches from the origin. Each is harmless by itself, but together they may sustain an overload after its cause
has ended (a metastable failure). Therefore they are counted per second, relative to the requests intended in
that second, and per intended request.

No I/O. Times are seconds since any origin that all events share.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

INTENDED, TRY, ATTEMPT, REPEAT, FILL, ORIGIN, CONNECT, PROBE = (
    "meant", "try", "attempt", "repeat", "fill", "origin", "connect", "probe")  # fmt: skip
# In the order in which one leads to another.
WORK_KINDS = (TRY, ATTEMPT, REPEAT, FILL, ORIGIN, CONNECT, PROBE)
SERVED, REFUSED, FAILED, LATE, LOST = "served", "refused", "failed", "late", "lost"
OUTCOMES = (SERVED, REFUSED, FAILED, LATE, LOST)
NO_REQUEST = -1  # request number of work that belongs to no request
MIN_INTENDED = 10  # intended requests per second; with fewer, a second's ratios are noise
GOOD_SERVED_SHARE = 0.9  # share of the intended requests that are served in a good second
RECOVERY_SECONDS = 3  # consecutive good seconds that count as recovery


class LoadEvent(NamedTuple):
    """The beginning of an intended request, work of one of WORK_KINDS, or an end with one of OUTCOMES."""

    at_s: float
    kind: str
    request_number: int = NO_REQUEST
    request_class: str = ""


@dataclass(slots=True)
class SecondStatistics:
    """The counts of one second; `ended` counts the outcomes of requests intended in it, ended at any time."""

    intended: int = 0
    caused: Counter[str] = field(default_factory=Counter)
    ended: Counter[str] = field(default_factory=Counter)

    def ratio(self, kind: str) -> float:
        """Return the amount of work of a kind per intended request."""
        return self.caused[kind] / self.intended if self.intended else math.nan

    @property
    def served_share(self) -> float:
        """The share of the intended requests that were served in the end."""
        return self.ended[SERVED] / self.intended if self.intended else math.nan


class AmplificationStatistics:
    """The events of one run, counted by second, by kind and by intended request."""

    def __init__(self, events: Iterable[LoadEvent]) -> None:
        """Count events, which may come in any order.

        INTENDED marks the beginning of a request, one of OUTCOMES its end.
        """
        self.seconds: dict[int, SecondStatistics] = defaultdict(SecondStatistics)
        self.by_class: dict[str, Counter[str]] = defaultdict(Counter)
        self._caused_by_request: dict[int, Counter[str]] = defaultdict(Counter)
        intended: dict[int, LoadEvent] = {}
        events = sorted(events)
        for event in events:
            if event.kind == INTENDED:
                intended[event.request_number] = event
                self.seconds[int(event.at_s)].intended += 1
                self.by_class[event.request_class][INTENDED] += 1
        for event in events:
            beginning = intended.get(event.request_number)
            if event.kind in OUTCOMES and beginning is not None:
                self.seconds[int(beginning.at_s)].ended[event.kind] += 1
                self.by_class[beginning.request_class][event.kind] += 1
            elif event.kind in WORK_KINDS:
                self.seconds[int(event.at_s)].caused[event.kind] += 1
                self.by_class[beginning.request_class if beginning is not None else ""][event.kind] += 1
                if beginning is not None:
                    self._caused_by_request[event.request_number][event.kind] += 1

    @property
    def intended(self) -> int:
        """The number of requests that clients intended."""
        return sum(second.intended for second in self.seconds.values())

    def total(self, kind: str) -> int:
        """Return the number of events of a kind of work, or of requests with an outcome."""
        return sum(second.caused[kind] + second.ended[kind] for second in self.seconds.values())

    def worst_second(self, kind: str) -> tuple[int, float]:
        """Return the second with the highest ratio of a kind of work, and the ratio; (0, 0.0) if none."""
        ratios = [
            (second.ratio(kind), at_s)
            for at_s, second in self.seconds.items()
            if second.intended >= MIN_INTENDED
        ]
        ratio, at_s = max(ratios, default=(0.0, 0))
        return at_s, ratio

    def most_amplified(self, kind: str) -> tuple[int, int]:
        """Return the number of the request that caused most work of a kind, and the amount of that work."""
        return max(((number, caused[kind]) for number, caused in self._caused_by_request.items()),
                   key=lambda pair: pair[1], default=(NO_REQUEST, 0))  # fmt: skip

    def recovery_s(self, fault_ended_s: float) -> float:
        """Return the seconds from the end of the fault until service is good for RECOVERY_SECONDS in a row.

        Their duration is not included; infinity if service does not recover.
        """
        last = max(self.seconds, default=0)
        good = 0
        for at_s in range(int(fault_ended_s), last):
            second = self.seconds.get(at_s)
            if second is None or second.intended < MIN_INTENDED:
                continue
            good = good + 1 if second.served_share >= GOOD_SERVED_SHARE else 0
            if good == RECOVERY_SECONDS:
                return max(0.0, at_s + 1 - RECOVERY_SECONDS - fault_ended_s)
        return math.inf

    def sustained_by(self, fault_ended_s: float, steady_until_s: float) -> list[tuple[str, float]]:
        """Return the kinds of work that keep service from recovering, the largest increase first.

        These are the kinds whose ratio in bad seconds after the end of the fault is above that of the steady
        state before it, each with the factor.
        """
        increases = []
        for kind in WORK_KINDS:
            before = [
                second.ratio(kind)
                for at_s, second in self.seconds.items()
                if at_s < steady_until_s and second.intended >= MIN_INTENDED
            ]
            after = [
                second.ratio(kind)
                for at_s, second in self.seconds.items()
                if at_s >= fault_ended_s
                and second.intended >= MIN_INTENDED
                and second.served_share < GOOD_SERVED_SHARE
            ]
            if before and after and (steady_ratio := sum(before) / len(before)) > 0.0:
                factor = sum(after) / len(after) / steady_ratio
                if factor > 1.0:
                    increases.append((kind, factor))
        return sorted(increases, key=lambda pair: -pair[1])

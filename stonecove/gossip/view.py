"""Views: numbered member sets that combine many changes into one step, after Rapid.

A view is the set of generations that count as members. It does not follow each change: it advances once
nothing has changed for `settle_s` and no member is suspected, or `settle_max_s` after the first change. Views
serve observation; the sum of shares does not depend on them (see `shares`).
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from stonecove.gossip.table import digest_of

MAX_HISTORY = 256
MAX_RECEIVED = 64


class View(NamedTuple):
    """A numbered set of (id, generation)."""

    number: int
    digest: int
    since: float
    generations: frozenset[tuple[int, int]]


class Views:
    """The current view and earlier ones. Changes are batched, so that one event leads to few views."""

    def __init__(self, now: float, settle_s: float, settle_max_s: float) -> None:
        self.current = View(0, 0, now, frozenset())
        self.history: deque[tuple[View, int, int]] = deque(maxlen=MAX_HISTORY)  # with counts joined, departed
        self._settle_s, self._settle_max_s = settle_s, settle_max_s
        self._proposed: frozenset[tuple[int, int]] = frozenset()
        self._first_change = self._last_change = math.inf  # of the changes not yet in a view
        self._highest_number = 0
        self._received: dict[int, int] = {}  # by digest, the highest number that others gave that set

    def receive(self, number: int, digest: int) -> None:
        """Record another router's view. If it is the current set under a higher number, adopt the number."""
        self._highest_number = max(self._highest_number, number)
        if number > self._received.get(digest, 0):
            self._received.pop(digest, None)
            self._received[digest] = number
            if len(self._received) > MAX_RECEIVED:
                del self._received[next(iter(self._received))]
        if digest == self.current.digest and number > self.current.number:
            self.current = self.current._replace(number=number)

    def propose(self, generations: frozenset[tuple[int, int]], now: float) -> None:
        """Set the generations that the next view is to have."""
        if generations == self._proposed:
            return
        self._proposed = generations
        self._last_change = now
        if generations == self.current.generations:  # changed back before a view took it in
            self._first_change = math.inf
        elif self._first_change == math.inf:
            self._first_change = now

    def advance_at(self, has_suspects: bool) -> float:
        """Return when the view advances; infinity if nothing has changed."""
        if self._first_change == math.inf:
            return math.inf
        return (
            self._first_change + self._settle_max_s
            if has_suspects
            else min(self._last_change + self._settle_s, self._first_change + self._settle_max_s)
        )

    def advance(self, now: float, has_suspects: bool) -> View | None:
        """Advance to the next view and return it, if it is time."""
        if now < self.advance_at(has_suspects):
            return None
        before = self.current
        digest = digest_of(part for generation in sorted(self._proposed) for part in generation)
        number = self._received.get(digest, 0)  # others have this set already: take their number
        if number <= before.number:
            number = max(self._highest_number, before.number) + 1
        self.current = View(number, digest, now, self._proposed)
        self._highest_number, self._first_change = max(self._highest_number, number), math.inf
        joined, departed = len(self._proposed - before.generations), len(before.generations - self._proposed)
        self.history.append((self.current, joined, departed))
        return self.current

"""Views: what many changes amount to, taken as one step, after Rapid.

A view is the set of lives that count as members. It does not follow each change: it moves once nothing has
changed for `settle` and nobody is in doubt, or `most_settle` after the first change. Views say what is going
on; the sum of shares does not rest on them (see `shares`).
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from stonecove.gossip.table import digest_of

MAX_HISTORY = 256
MAX_RECEIVED = 64


class View(NamedTuple):
    """A numbered set of (id, life)."""

    number: int
    digest: int
    since: float
    lives: frozenset[tuple[int, int]]


class Views:
    """The present view and earlier ones. Changes are batched, so that one event leads to few views."""

    def __init__(self, now: float, settle: float, most_settle: float) -> None:
        self.now = View(0, 0, now, frozenset())
        self.history: deque[tuple[View, int, int]] = deque(maxlen=MAX_HISTORY)  # with how many came, went
        self._settle, self._most = settle, most_settle
        self._wanted: frozenset[tuple[int, int]] = frozenset()
        self._first = self._last = math.inf  # change that no view has taken in yet
        self._highest = 0
        self._heard: dict[int, int] = {}  # by digest, the greatest number that others gave that set

    def heard(self, number: int, digest: int) -> None:
        """Another router's view. The same set under a greater number: that number holds."""
        self._highest = max(self._highest, number)
        if number > self._heard.get(digest, 0):
            self._heard.pop(digest, None)
            self._heard[digest] = number
            if len(self._heard) > MAX_RECEIVED:
                del self._heard[next(iter(self._heard))]
        if digest == self.now.digest and number > self.now.number:
            self.now = self.now._replace(number=number)

    def wants(self, lives: frozenset[tuple[int, int]], now: float) -> None:
        """What is believed now."""
        if lives == self._wanted:
            return
        self._wanted = lives
        self._last = now
        if lives == self.now.lives:  # it has changed back before anybody acted on it
            self._first = math.inf
        elif self._first == math.inf:
            self._first = now

    def due(self, doubt: bool) -> float:
        """When the view moves; infinite if it stands."""
        if self._first == math.inf:
            return math.inf
        return self._first + self._most if doubt else min(self._last + self._settle, self._first + self._most)

    def move(self, now: float, doubt: bool) -> View | None:
        """The next view, if it is time."""
        if now < self.due(doubt):
            return None
        before = self.now
        digest = digest_of(part for generation in sorted(self._wanted) for part in generation)
        number = self._heard.get(digest, 0)  # others are there already: theirs is the number of this step
        if number <= before.number:
            number = max(self._highest, before.number) + 1
        self.now = View(number, digest, now, self._wanted)
        self._highest, self._first = max(self._highest, number), math.inf
        came, went = len(self._wanted - before.lives), len(before.lives - self._wanted)
        self.history.append((self.now, came, went))
        return self.now

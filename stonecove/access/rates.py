"""Limits of a subject: a rate by GCRA, and how many requests may be open at once.

GCRA (ITU-T I.371, "virtual scheduling"): one time a subject, the theoretical arrival of its next request.
"""

from __future__ import annotations

from collections import OrderedDict

MOST_SUBJECTS = 100_000


class Rates:
    """One time a subject; the one unused for longest is forgotten, and begins anew with a whole burst."""

    def __init__(self, most: int = MOST_SUBJECTS) -> None:
        """So many subjects are told apart."""
        self._most = most
        self._due: OrderedDict[str, float] = OrderedDict()
        self._open: dict[str, int] = {}

    def take(self, subject: str, rate: float, burst: float, now: float) -> float:
        """0 if a request may go now, else seconds until one may. A clock set back earns nothing, and holds
        nobody for longer than a whole burst takes.
        """
        if rate <= 0:
            return 0.0
        step = 1.0 / rate
        due = min(max(self._due.get(subject, now), now), now + burst * step)
        if due + step > now + burst * step + 1e-9:
            return due + step - now - burst * step
        if subject not in self._due and len(self._due) >= self._most:
            self._due.popitem(last=False)
        self._due[subject] = due + step
        self._due.move_to_end(subject)
        return 0.0

    def enter(self, subject: str, most: int) -> bool:
        """Whether one more may be open; it is, until `leave`."""
        count = self._open.get(subject, 0)
        if most and count >= most:
            return False
        self._open[subject] = count + 1
        return True

    def leave(self, subject: str) -> None:
        """One of them is over."""
        count = self._open.get(subject, 0)
        if count > 1:
            self._open[subject] = count - 1
        else:
            self._open.pop(subject, None)

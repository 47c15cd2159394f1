"""Limits by subject: a request rate by GCRA, and the number of concurrent requests.

GCRA (ITU-T I.371, "virtual scheduling") stores one time for each subject: the theoretical arrival time (TAT)
of its next request.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_SUBJECTS = 100_000


class SubjectLimits:
    """Rate and concurrency of subjects.

    When the table of arrival times is full, the least recently used subject is evicted; it starts again with
    a full burst.
    """

    def __init__(self, max_subjects: int = MAX_SUBJECTS) -> None:
        """Track the rates of at most `max_subjects` subjects."""
        self._max_subjects = max_subjects
        self._arrival_times_s: OrderedDict[str, float] = OrderedDict()
        self._open: dict[str, int] = {}

    def take(self, subject: str, rate: float, burst: float, now: float) -> float:
        """Count a request against the subject's rate; return 0 if it conforms, else seconds until one does.

        `rate` is in requests a second (0: unlimited), `burst` in requests, `now` in seconds of a steady
        clock. A clock that is set back adds no credit, and delays a subject by the time of one full burst at
        most.
        """
        if rate <= 0:
            return 0.0
        interval_s = 1.0 / rate
        arrival_s = min(max(self._arrival_times_s.get(subject, now), now), now + burst * interval_s)
        if arrival_s + interval_s > now + burst * interval_s + 1e-9:
            return arrival_s + interval_s - now - burst * interval_s
        if subject not in self._arrival_times_s and len(self._arrival_times_s) >= self._max_subjects:
            self._arrival_times_s.popitem(last=False)
        self._arrival_times_s[subject] = arrival_s + interval_s
        self._arrival_times_s.move_to_end(subject)
        return 0.0

    def enter(self, subject: str, max_open: int) -> bool:
        """Count an open request until `leave`; return False if `max_open` are open already (0: unlimited)."""
        count = self._open.get(subject, 0)
        if max_open and count >= max_open:
            return False
        self._open[subject] = count + 1
        return True

    def leave(self, subject: str) -> None:
        """Count one open request of the subject as finished."""
        count = self._open.get(subject, 0)
        if count > 1:
            self._open[subject] = count - 1
        else:
            self._open.pop(subject, None)

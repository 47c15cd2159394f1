"""The set of states that were reached, by their fingerprints.

`FingerprintSet` keeps 64-bit fingerprints in sorted runs, each at least twice as long as the next, and takes
them in by batches: 8 bytes a state, where a `set` of whole numbers takes ten times as much. `PlainSet` is the
one that it is measured against.
"""

from __future__ import annotations

from typing import Protocol

import numpy as np
import numpy.typing as npt

Prints = npt.NDArray[np.uint64]


class Visited(Protocol):
    """A set of fingerprints that is asked by batches."""

    def add(self, prints: Prints) -> npt.NDArray[np.bool_]:
        """Adds them; tells of each whether it is there for the first time, also within the batch."""

    def __len__(self) -> int:
        """How many there are."""

    def nbytes(self) -> int:
        """Bytes that they take."""


class FingerprintSet:
    """Sorted runs; adding n to m states costs about n log m comparisons, and a merge now and then."""

    def __init__(self) -> None:
        self._runs: list[Prints] = []

    def add(self, prints: Prints) -> npt.NDArray[np.bool_]:
        """Adds a batch; tells of each whether it is new."""
        unique, first = np.unique(prints, return_index=True)
        fresh = np.ones(len(unique), dtype=np.bool_)
        for run in self._runs:
            at = np.searchsorted(run, unique)
            at[at == len(run)] = 0
            fresh &= run[at] != unique
        found = np.zeros(len(prints), dtype=np.bool_)
        found[first[fresh]] = True
        if fresh.any():
            self._runs.append(unique[fresh])
        while len(self._runs) > 1 and 2 * len(self._runs[-1]) > len(self._runs[-2]):
            last = self._runs.pop()
            merged = np.concatenate((self._runs.pop(), last))
            merged.sort(kind="stable")
            self._runs.append(merged)
        return found

    def __len__(self) -> int:
        return sum(map(len, self._runs))

    def nbytes(self) -> int:
        """Bytes of all runs."""
        return sum(run.nbytes for run in self._runs)

    def runs(self) -> list[Prints]:
        """What it is made of, to be saved."""
        return self._runs

    @classmethod
    def of(cls, runs: list[Prints]) -> FingerprintSet:
        """The set that was made of these."""
        made = cls()
        made._runs = list(runs)
        return made


class PlainSet:
    """A `set` of whole numbers."""

    def __init__(self) -> None:
        self._set: set[int] = set()

    def add(self, prints: Prints) -> npt.NDArray[np.bool_]:
        """Adds them one by one."""
        found = np.zeros(len(prints), dtype=np.bool_)
        known = self._set
        for place, value in enumerate(prints.tolist()):
            if value not in known:
                known.add(value)
                found[place] = True
        return found

    def __len__(self) -> int:
        return len(self._set)

    def nbytes(self) -> int:
        """Bytes of the table and of its numbers."""
        return self._set.__sizeof__() + sum(value.__sizeof__() for value in self._set)

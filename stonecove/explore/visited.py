"""Sets of visited states, stored as fingerprints.

`FingerprintSet` keeps 64-bit fingerprints in sorted runs, each at least twice as long as the next, and adds
them in batches: 8 bytes per state, where a `set` of integers takes ten times as much. `PlainSet` is the
baseline for comparison.
"""

from __future__ import annotations

from typing import Protocol

import numpy as np
import numpy.typing as npt

Prints = npt.NDArray[np.uint64]


class Visited(Protocol):
    """Set of fingerprints with batched insertion."""

    def add(self, prints: Prints) -> npt.NDArray[np.bool_]:
        """Add a batch; return for each whether it is new, also within the batch."""

    def __len__(self) -> int:
        """Return the number of fingerprints."""

    def nbytes(self) -> int:
        """Return the memory used, in bytes."""


class FingerprintSet:
    """Sorted runs; adding n to m states costs about n log m comparisons, and a merge now and then."""

    def __init__(self) -> None:
        """Start with an empty set."""
        self._runs: list[Prints] = []

    def add(self, prints: Prints) -> npt.NDArray[np.bool_]:
        """Add a batch; return for each whether it is new."""
        unique, first = np.unique(prints, return_index=True)
        fresh = np.ones(len(unique), dtype=np.bool_)
        for run in self._runs:
            indexes = np.searchsorted(run, unique)
            indexes[indexes == len(run)] = 0
            fresh &= run[indexes] != unique
        is_new = np.zeros(len(prints), dtype=np.bool_)
        is_new[first[fresh]] = True
        if fresh.any():
            self._runs.append(unique[fresh])
        while len(self._runs) > 1 and 2 * len(self._runs[-1]) > len(self._runs[-2]):
            last = self._runs.pop()
            merged = np.concatenate((self._runs.pop(), last))
            merged.sort(kind="stable")
            self._runs.append(merged)
        return is_new

    def __len__(self) -> int:
        """Return the number of fingerprints."""
        return sum(map(len, self._runs))

    def nbytes(self) -> int:
        """Return the size of all runs in bytes."""
        return sum(run.nbytes for run in self._runs)

    def runs(self) -> list[Prints]:
        """Return the sorted runs, to be saved."""
        return self._runs

    @classmethod
    def of(cls, runs: list[Prints]) -> FingerprintSet:
        """Return a set made of saved runs."""
        restored = cls()
        restored._runs = list(runs)
        return restored


class PlainSet:
    """A `set` of integers."""

    def __init__(self) -> None:
        """Start with an empty set."""
        self._set: set[int] = set()

    def add(self, prints: Prints) -> npt.NDArray[np.bool_]:
        """Add a batch one by one; return for each whether it is new."""
        is_new = np.zeros(len(prints), dtype=np.bool_)
        known = self._set
        for index, value in enumerate(prints.tolist()):
            if value not in known:
                known.add(value)
                is_new[index] = True
        return is_new

    def __len__(self) -> int:
        """Return the number of fingerprints."""
        return len(self._set)

    def nbytes(self) -> int:
        """Return the size of the table and of its integers in bytes."""
        return self._set.__sizeof__() + sum(value.__sizeof__() for value in self._set)

"""Three ways to restore a state: replaying its steps, `copy.deepcopy`, and a pickle of the whole simulation.

Settings are constant and shared by all copies. So are the constant parts of an endpoint list (`Rendezvous`),
identified by their inputs.
"""

from __future__ import annotations

import copy
import copyreg
import functools
import io
import pickle
import pickletools
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from stonecove.explore.machine import Machine
from stonecove.explore.scope import Scope
from stonecove.pipeline.intake import Intake
from stonecove.routing.settings import ClassSettings, Settings

_shared: list[object] = []
_shared_indexes: dict[int, int] = {}


def _share(instance: object) -> tuple[Callable[[int], object], tuple[int]]:
    index = _shared_indexes.get(id(instance))
    if index is None:
        index = _shared_indexes[id(instance)] = len(_shared)
        _shared.append(instance)
    return _shared_at, (index,)


def _shared_at(index: int) -> object:
    return _shared[index]


def _cached(method: Callable[..., Any], size: int) -> Any:
    return functools.lru_cache(size)(method)


_TABLE: dict[type, Callable[[Any], Any]] = {
    **copyreg.dispatch_table,
    Settings: _share,
    ClassSettings: _share,
    Scope: _share,
    Intake: _share,
    memoryview: lambda view: (memoryview, (bytes(view),)),
    type(functools.lru_cache(1)(len)): lambda cache: (
        _cached,
        (cache.__wrapped__, cache.cache_parameters()["maxsize"]),
    ),
}


_numbered: dict[tuple[str, str], int] = {}


def _number_classes(names: Iterable[tuple[str, str]]) -> None:
    """Assign numbers to classes for use in our own pickles, as looking up names takes a quarter of a copy.

    The numbers are valid within this process only. Reading them is harmless, so those entries stay;
    only our own pickles write them, because other processes must be able to read the pickles sent to them.
    """
    for name in names:
        if name not in _numbered:
            _numbered[name] = 0x1000 + len(_numbered)
            copyreg._inverted_registry[_numbered[name]] = name  # type: ignore[attr-defined]


def _class_names_in(data: bytes) -> Iterable[tuple[str, str]]:
    texts: list[str] = []
    memo: dict[int, str] = {}
    found = []
    for op, argument, _ in pickletools.genops(data):
        if "UNICODE" in op.name:
            texts.append(str(argument))
        elif op.name == "MEMOIZE":
            memo[len(memo)] = texts[-1] if texts else ""
        elif op.name in ("BINGET", "LONG_BINGET"):
            texts.append(memo.get(int(argument or 0), ""))
        elif op.name == "STACK_GLOBAL":
            found.append((texts[-2], texts[-1]))
    return found


class Restorer(Protocol):
    """Method to restore a state any number of times."""

    def save(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Save the state that these steps led to."""

    def restore(self) -> Machine:
        """Return the saved state in a machine of its own."""


class Replay:
    """Replays all steps from the start."""

    def __init__(self, start: Callable[[], Machine]) -> None:
        """Replay on machines made by `start`."""
        self._start = start
        self._steps: tuple[str, ...] = ()

    def save(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Save the steps."""
        self._steps = steps

    def restore(self) -> Machine:
        """Replay the saved steps and return the machine."""
        return run(self._start, self._steps)


class DeepCopy:
    """Copies object by object."""

    def __init__(self) -> None:
        """Start without a saved state."""
        self._saved: Machine | None = None

    def save(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Save a deep copy of the machine."""
        self._saved = self._copy(machine)

    @staticmethod
    def _copy(machine: Machine) -> Machine:
        dispatch = copy._deepcopy_dispatch  # type: ignore[attr-defined]
        extra = {
            Settings: lambda x, memo: x,
            ClassSettings: lambda x, memo: x,
            memoryview: lambda x, memo: memoryview(bytes(x)),
        }
        dispatch.update(extra)
        try:
            return copy.deepcopy(machine)
        finally:
            for cls in extra:
                dispatch.pop(cls, None)

    def restore(self) -> Machine:
        """Return a deep copy of the saved copy."""
        assert self._saved is not None
        return self._copy(self._saved)


class Pickle:
    """Pickles the whole machine once and unpickles it any number of times."""

    def __init__(self) -> None:
        """Start without a saved state."""
        self._data = b""

    def save(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Pickle the machine."""
        out = io.BytesIO()
        pickler = pickle.Pickler(out, pickle.HIGHEST_PROTOCOL)
        pickler.dispatch_table = _TABLE
        copyreg._extension_registry.update(_numbered)  # type: ignore[attr-defined]
        try:
            pickler.dump(machine)
        finally:
            for name in _numbered:
                del copyreg._extension_registry[name]  # type: ignore[attr-defined]
        self._data = out.getvalue()
        if not _numbered:  # after the first pickle, its classes are referred to by number
            _number_classes(_class_names_in(self._data))
            self.save(machine, steps)

    def restore(self) -> Machine:
        """Unpickle the machine."""
        machine: Machine = pickle.loads(self._data)
        return machine

    def __len__(self) -> int:
        """Return the size of the pickle in bytes."""
        return len(self._data)


def run(start: Callable[[], Machine], steps: tuple[str, ...]) -> Machine:
    """Return the machine after these steps."""
    machine = start()
    for step in steps:
        machine.do(step)
    return machine

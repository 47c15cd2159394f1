"""Three ways back to a state: taking its steps again, `copy.deepcopy`, and a pickle of the whole simulation.

Settings are fixed and shared by all copies; so are the fixed parts of a list (`Rendezvous`), by what they
were made of.
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
_places: dict[int, int] = {}


def _share(thing: object) -> tuple[Callable[[int], object], tuple[int]]:
    place = _places.get(id(thing))
    if place is None:
        place = _places[id(thing)] = len(_shared)
        _shared.append(thing)
    return _shared_at, (place,)


def _shared_at(place: int) -> object:
    return _shared[place]


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
    """Gives classes a number each, by which our own pickles name them: looking names up costs a quarter of a
    copy.

    The numbers hold within this process only. Reading them is harmless, so they stay in the table for that;
    writing them is allowed for our own pickles alone, for what goes to other processes must be read there.
    """
    for name in names:
        if name not in _numbered:
            _numbered[name] = 0x1000 + len(_numbered)
            copyreg._inverted_registry[_numbered[name]] = name  # type: ignore[attr-defined]


def _named_in(data: bytes) -> Iterable[tuple[str, str]]:
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


class Way(Protocol):
    """A way to come back to a state as often as needed."""

    def keep(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Remembers the state that these steps have led to."""

    def back(self) -> Machine:
        """The state, in a machine that is nobody else's."""


class Replay:
    """Takes all steps again, from the start."""

    def __init__(self, start: Callable[[], Machine]) -> None:
        self._start = start
        self._steps: tuple[str, ...] = ()

    def keep(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Remembers the steps."""
        self._steps = steps

    def back(self) -> Machine:
        """A new run of them."""
        return run(self._start, self._steps)


class DeepCopy:
    """Copies object by object."""

    def __init__(self) -> None:
        self._kept: Machine | None = None

    def keep(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Keeps a copy."""
        self._kept = self._copy(machine)

    @staticmethod
    def _copy(machine: Machine) -> Machine:
        before = copy._deepcopy_dispatch  # type: ignore[attr-defined]
        extra = {
            Settings: lambda x, memo: x,
            ClassSettings: lambda x, memo: x,
            memoryview: lambda x, memo: memoryview(bytes(x)),
        }
        before.update(extra)
        try:
            return copy.deepcopy(machine)
        finally:
            for cls in extra:
                before.pop(cls, None)

    def back(self) -> Machine:
        """A copy of the copy."""
        assert self._kept is not None
        return self._copy(self._kept)


class Pickle:
    """Writes the whole machine into bytes once, and reads them as often as needed."""

    def __init__(self) -> None:
        self._data = b""

    def keep(self, machine: Machine, steps: tuple[str, ...]) -> None:
        """Writes it."""
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
        if not _numbered:  # from the first pickle on, the classes that it names go by numbers
            _number_classes(_named_in(self._data))
            self.keep(machine, steps)

    def back(self) -> Machine:
        """Reads it."""
        machine: Machine = pickle.loads(self._data)
        return machine

    def __len__(self) -> int:
        return len(self._data)


def run(start: Callable[[], Machine], steps: tuple[str, ...]) -> Machine:
    """The machine after these steps."""
    machine = start()
    for step in steps:
        machine.do(step)
    return machine

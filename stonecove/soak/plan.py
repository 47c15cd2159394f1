"""Draws what happens in a soak from its seed: settings, troubles and the signals at its end."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from stonecove.trial.schedule import Expects, Fault, Trial

FIRST_TROUBLE_S = 1.0
QUIET_S = 4.0  # by which the troubles of some seeds come later
TROUBLES = (4, 9)  # fewest and most of a seed
DEADLINES_MS = (200.0, 400.0, 1000.0, 1500.0, 3000.0, 5000.0, 9000.0)
WINDOWS_MS = (400.0, 1500.0, 5000.0)
SOCKETS = (96, 192, 512)
MEMORY_MB = (96, 192)
COUNTED_DEADLINE_S = 3.0  # a longer one counts as so long for the time of SIGKILL
KILL_AFTER_S = 0.7  # seconds after SIGTERM and the longest deadline at which SIGKILL comes at the earliest
WINDOW_S = 3.0
READ_KB = 40
KINDS = (
    *("cache",) * 4, "log", "drain", "drain", "purge", "purge", "cold", "reset", "down",
    "reloads", "reloads", "restart", "restart", "crowd",
)  # fmt: skip
CACHES = 4
RELAYED_S = 100.0


class Effect(Enum):
    """What repeating a request of a class does, as the settings name it."""

    PURE = "pure"
    SIDE_EFFECT = "side_effect"
    TOKEN = "token"


class Behaviour(Enum):
    """How a cache treats the requests that reach it."""

    HANG = "hang"  # reads on, and answers nothing
    LATE = "late"
    HALF = "half"  # half an answer, then the end of the connection
    TWICE = "twice"  # the same answer a second time
    NEVER_WHOLE = "never-whole"  # half an answer, and the connection stays open
    REFUSE = "refuse"  # 503: it never ran
    FAIL = "fail"  # 500: it may have run
    CLOSE_IDLE = "close-idle"
    RESET = "reset"  # under requests


class LogBehaviour(Enum):
    """How the change log tells its events."""

    SILENT = "silent"
    SLOW = "slow"
    PIECES = "pieces"
    CROWDED = "crowded"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests in the settings."""

    name: str
    effect: Effect
    deadline_ms: float
    window_ms: float  # within which a keyed request may be repeated


@dataclass(frozen=True, slots=True)
class CacheTrouble:
    """A cache misbehaves for a while."""

    at: float
    ends: float
    cache: int
    behaviour: Behaviour

    def summary(self) -> str:
        """Return it in a few words."""
        return f"{self.at:.1f} to {self.ends:.1f} s: cache {self.cache} {self.behaviour.value}"


@dataclass(frozen=True, slots=True)
class LogTrouble:
    """The change log misbehaves for a while."""

    at: float
    ends: float
    behaviour: LogBehaviour

    def summary(self) -> str:
        """Return it in a few words."""
        return f"{self.at:.1f} to {self.ends:.1f} s: change log {self.behaviour.value}"


@dataclass(frozen=True, slots=True)
class ServerTrouble:
    """A drain, a purge, a cold restart, or a path between routers and servers that breaks."""

    fault: Fault

    @property
    def at(self) -> float:
        """Return when it begins."""
        return self.fault.at

    @property
    def ends(self) -> float:
        """Return when it is over."""
        return max(self.fault.at, self.fault.ends)

    def summary(self) -> str:
        """Return it in a few words."""
        return self.fault.summary()


@dataclass(frozen=True, slots=True)
class Reloads:
    """Several SIGHUPs to one router in a row, each after a new configuration or the same one."""

    at: float
    router: int
    count: int
    gap_s: float
    changed: bool

    @property
    def ends(self) -> float:
        """Return when the last is sent."""
        return self.at + self.count * self.gap_s

    def summary(self) -> str:
        """Return it in a few words."""
        what = "new configurations" if self.changed else "the same configuration"
        return f"{self.at:.1f} s: router {self.router} {self.count} SIGHUPs, {what}"


@dataclass(frozen=True, slots=True)
class Restart:
    """A router is drained, killed at the earliest moment allowed and started again, among signals."""

    at: float
    router: int
    signals: tuple[tuple[float, str], ...]  # seconds after SIGTERM, and the signal
    early_signal_s: float  # seconds after its start at which it gets a SIGHUP

    @property
    def ends(self) -> float:
        """Return when the drain begins; its end depends on the deadlines."""
        return self.at

    def summary(self) -> str:
        """Return it in a few words."""
        more = "".join(f", {name} after {after:.2f} s" for after, name in self.signals)
        return f"{self.at:.1f} s: router {self.router} SIGTERM{more}, and a new start"


@dataclass(frozen=True, slots=True)
class Crowd:
    """Idle clients that hold connections to a router."""

    at: float
    router: int
    connections: int

    @property
    def ends(self) -> float:
        """Return when it has come; the clients stay for a while."""
        return self.at

    def summary(self) -> str:
        """Return it in a few words."""
        return f"{self.at:.1f} s: {self.connections} idle clients at router {self.router}"


Trouble = CacheTrouble | LogTrouble | ServerTrouble | Reloads | Restart | Crowd


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """All that a seed stands for. Moments are seconds since the load began."""

    seed: int
    seconds: float
    routers: int
    classes: tuple[RequestClass, ...]
    sockets: int
    memory_mb: int
    idle_ms: float  # after which caches close idle connections
    rate: float  # requests a second
    troubles: tuple[Trouble, ...]
    last_signals: tuple[tuple[float, str], ...]  # seconds after the last SIGTERM, and the signal

    @property
    def kill_after_s(self) -> float:
        """Return how long after SIGTERM SIGKILL comes at the earliest."""
        longest = max(one.deadline_ms for one in self.classes) / 1000.0
        return min(longest, COUNTED_DEADLINE_S) + KILL_AFTER_S

    def without(self, place: int) -> SoakPlan:
        """Return the plan with one trouble taken out."""
        return replace(self, troubles=self.troubles[:place] + self.troubles[place + 1 :])

    def trial(self) -> Trial:
        """Return what a testbed needs to know of it."""
        faults = tuple(one.fault for one in self.troubles if isinstance(one, ServerTrouble))
        delayed = tuple(
            Fault(one.at, "cut", (), of=("log",), ends=one.ends)
            for one in self.troubles
            if isinstance(one, LogTrouble)
        )
        # One that is over before the load begins: with a fault that names servers, paths go through relays.
        relayed = Fault(-RELAYED_S, "weather", (), of=("log",), ends=-RELAYED_S)
        return Trial(
            f"soak {self.seed}", self.routers, CACHES, self.seconds, 10.0, self.rate, 0.0, READ_KB, WINDOW_S,
            False, (), 1, (), None, None, (*faults, *delayed, relayed), Expects(0, 0, None, None),
        )  # fmt: skip


def draw_plan(seed: int, seconds: float) -> SoakPlan:
    """Return the plan of a seed; the same seed and length give the same plan."""
    chooser = random.Random(f"soak-{seed}")
    routers = chooser.choice((1, 1, 2, 3, 4))
    sockets = chooser.choice(SOCKETS)
    classes = _draw_classes(chooser)
    quiet = QUIET_S if chooser.random() < 0.2 else 0.0
    last = seconds - 1.0
    troubles: list[Trouble] = []
    for _ in range(chooser.randint(*TROUBLES)):
        at = round(chooser.uniform(FIRST_TROUBLE_S + quiet, max(FIRST_TROUBLE_S + quiet, last)), 2)
        troubles.append(_draw_trouble(chooser, at, seconds, routers, sockets))
    if chooser.random() < 0.3:
        troubles.append(Crowd(0.5, chooser.randrange(routers), sockets // 3 - 10))
    if chooser.random() < 0.3:  # a cache that hangs through the whole shutdown
        cache = chooser.randrange(CACHES)
        troubles.append(CacheTrouble(seconds - 0.5, seconds + 10.0, cache, Behaviour.HANG))
    return SoakPlan(
        seed,
        seconds,
        routers,
        classes,
        sockets,
        chooser.choice(MEMORY_MB),
        chooser.choice((400.0, 1000.0, 15_000.0)),
        chooser.choice((30.0, 60.0)),
        tuple(sorted(_without_overlaps(troubles), key=lambda one: one.at)),
        _draw_signals(chooser),
    )


def _draw_classes(chooser: random.Random) -> tuple[RequestClass, ...]:
    names = ("item-image", "pick-confirm", "stock-count")
    effects = (Effect.PURE, Effect.SIDE_EFFECT, Effect.TOKEN)
    window_ms = chooser.choice(WINDOWS_MS)
    return tuple(
        RequestClass(name, effect, chooser.choice(DEADLINES_MS), window_ms)
        for name, effect in zip(names, effects, strict=True)
    )


def _draw_signals(chooser: random.Random) -> tuple[tuple[float, str], ...]:
    """Draw what comes after SIGTERM."""
    count = chooser.choice((0, 0, 1, 2, 3))
    names = ("SIGHUP", "SIGTERM", "SIGINT")
    drawn = [(round(chooser.uniform(0.0, 1.0), 2), chooser.choice(names)) for _ in range(count)]
    return tuple(sorted(drawn))


def _draw_trouble(chooser: random.Random, at: float, seconds: float, routers: int, sockets: int) -> Trouble:
    """Draw one trouble that begins then."""
    router, cache = chooser.randrange(routers), chooser.randrange(CACHES)
    ends = round(min(seconds + 2.0, at + chooser.uniform(0.5, 4.0)), 2)
    match chooser.choice(KINDS):
        case "cache":
            return CacheTrouble(at, ends, cache, chooser.choice(tuple(Behaviour)))
        case "log" if chooser.random() < 0.4:
            long = min(seconds, at + chooser.choice((2.0, 8.0)))
            return ServerTrouble(Fault(at, "down", tuple(range(routers)), of=("log",), ends=long))
        case "log":
            return LogTrouble(at, ends, chooser.choice(tuple(LogBehaviour)))
        case "drain" | "purge" | "cold" | "reset" | "down" as kind:
            return ServerTrouble(_server_fault(kind, at, min(seconds, ends), cache, tuple(range(routers))))
        case "reloads":
            gap = chooser.choice((0.0, 0.005, 0.1))
            return Reloads(at, router, chooser.randint(2, 6), gap, chooser.random() < 0.5)
        case "restart":
            return Restart(at, router, _draw_signals(chooser), round(chooser.uniform(0.0, 0.6), 2))
        case _:
            return Crowd(at, router, chooser.randint(5, sockets // 3 - 10))


def _server_fault(kind: str, at: float, ends: float, cache: int, routers: tuple[int, ...]) -> Fault:
    """Return a fault of a cache, or on the paths to it, or a purge."""
    if kind in ("reset", "down"):
        return Fault(at, kind, routers, of=(f"cache-{cache}",), ends=ends if kind == "down" else 0.0)
    return Fault(at, kind, (), cache=cache, ends=ends if kind == "drain" else 0.0)


def _without_overlaps(troubles: list[Trouble]) -> list[Trouble]:
    """Leave out what can't be beside another one, such as two restarts of a router."""
    kept: list[Trouble] = []
    for one in sorted(troubles, key=lambda one: one.at):
        if not any(_excludes(other, one) for other in kept):
            kept.append(one)
    return kept


def _excludes(earlier: Trouble, later: Trouble) -> bool:
    if isinstance(earlier, Restart | Crowd) and isinstance(later, Restart | Crowd):
        return type(earlier) is type(later) and earlier.router == later.router
    if isinstance(earlier, CacheTrouble) and isinstance(later, CacheTrouble):
        return earlier.cache == later.cache and later.at < earlier.ends
    if isinstance(earlier, ServerTrouble) and isinstance(later, ServerTrouble):
        same = earlier.fault.cache == later.fault.cache or earlier.fault.of == later.fault.of != ()
        return same and later.at < earlier.ends + 1.0
    return isinstance(earlier, LogTrouble) and isinstance(later, LogTrouble) and later.at < earlier.ends

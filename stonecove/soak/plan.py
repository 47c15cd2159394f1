"""Draws the plan of a soak from its seed: settings, faults and the signals during the final shutdown."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum

from stonecove.trial.schedule import Expects, Fault, Trial

FIRST_FAULT_AT_S = 1.0
EXTRA_QUIET_S = 4.0  # additional time without faults at the start of some plans
FAULT_COUNT_RANGE = (4, 9)  # minimum and maximum per plan
DEADLINES_MS = (200.0, 400.0, 1000.0, 1500.0, 3000.0, 5000.0, 9000.0)
WINDOWS_MS = (400.0, 1500.0, 5000.0)  # deduplication windows
MAX_SOCKETS = (96, 192, 512)
MAX_MEMORY_MB = (96, 192)
MAX_COUNTED_DEADLINE_S = 3.0  # longer deadlines are capped at this to compute the time of SIGKILL
SIGKILL_MARGIN_S = 0.7  # earliest SIGKILL: SIGTERM, the longest deadline and this margin
TRIAL_WINDOW_S = 3.0
OBJECT_KB = 40
FAULT_KINDS = (
    *("cache",) * 4, "log", "drain", "drain", "purge", "purge", "cold", "reset", "down",
    "reloads", "reloads", "restart", "restart", "crowd",
)  # fmt: skip
CACHE_COUNT = 4
RELAY_FAULT_LEAD_S = 100.0


class Effect(Enum):
    """The effect of repeating a request of a class, under its name in the settings."""

    PURE = "pure"
    SIDE_EFFECT = "side_effect"
    TOKEN = "token"


class CacheBehaviour(Enum):
    """How a cache handles the requests that it receives."""

    HANG = "hang"  # keeps reading, never answers
    LATE = "late"
    TRUNCATED = "half"  # sends half an answer, then closes the connection
    DUPLICATE = "twice"  # sends the same answer twice
    NEVER_COMPLETE = "never-whole"  # sends half an answer and leaves the connection open
    REFUSE = "refuse"  # 503: the request never executed
    FAIL = "fail"  # 500: the request may have executed
    CLOSE_IDLE = "close-idle"
    RESET = "reset"  # resets the connection instead of answering


class LogBehaviour(Enum):
    """How the change log sends its events."""

    SILENT = "silent"
    SLOW = "slow"
    FRAGMENTED = "pieces"
    BURST = "crowded"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class in the settings."""

    name: str
    effect: Effect
    deadline_ms: float
    window_ms: float  # period within which a request with a token may be repeated


@dataclass(frozen=True, slots=True)
class CacheFault:
    """A cache that misbehaves for a period."""

    at_s: float
    ends_at_s: float
    cache_index: int
    behaviour: CacheBehaviour

    def summary(self) -> str:
        """Return a one-line description."""
        return f"{self.at_s:.1f} to {self.ends_at_s:.1f} s: cache {self.cache_index} {self.behaviour.value}"


@dataclass(frozen=True, slots=True)
class ChangeLogFault:
    """A period in which the change log misbehaves."""

    at_s: float
    ends_at_s: float
    behaviour: LogBehaviour

    def summary(self) -> str:
        """Return a one-line description."""
        return f"{self.at_s:.1f} to {self.ends_at_s:.1f} s: change log {self.behaviour.value}"


@dataclass(frozen=True, slots=True)
class ServerFault:
    """A drain, a purge, a restart with an empty cache, or a network fault between routers and servers."""

    fault: Fault

    @property
    def at_s(self) -> float:
        """Return the start in seconds after the load began."""
        return self.fault.at

    @property
    def ends_at_s(self) -> float:
        """Return the end in seconds after the load began."""
        return max(self.fault.at, self.fault.ends)

    def summary(self) -> str:
        """Return a one-line description."""
        return self.fault.summary()


@dataclass(frozen=True, slots=True)
class Reloads:
    """Consecutive SIGHUPs to one router, each after its configuration was changed or rewritten unchanged."""

    at_s: float
    router_index: int
    signal_count: int
    interval_s: float
    is_changed: bool

    @property
    def ends_at_s(self) -> float:
        """Return the time at which all signals have been sent."""
        return self.at_s + self.signal_count * self.interval_s

    def summary(self) -> str:
        """Return a one-line description."""
        description = "new configurations" if self.is_changed else "the same configuration"
        return f"{self.at_s:.1f} s: router {self.router_index} {self.signal_count} SIGHUPs, {description}"


@dataclass(frozen=True, slots=True)
class Restart:
    """A shutdown by SIGTERM, further signals, and SIGKILL at the earliest allowed time; then a new start."""

    at_s: float
    router_index: int
    signals: tuple[tuple[float, str], ...]  # seconds after SIGTERM, and the signal's name
    sighup_after_s: float  # seconds between the new process handling signals and a SIGHUP

    @property
    def ends_at_s(self) -> float:
        """Return the start of the shutdown; its end depends on the deadlines."""
        return self.at_s

    def summary(self) -> str:
        """Return a one-line description."""
        signals = "".join(f", {name} after {after_s:.2f} s" for after_s, name in self.signals)
        return f"{self.at_s:.1f} s: router {self.router_index} SIGTERM{signals}, and a new start"


@dataclass(frozen=True, slots=True)
class IdleConnections:
    """Idle client connections to a router."""

    at_s: float
    router_index: int
    connection_count: int

    @property
    def ends_at_s(self) -> float:
        """Return the time at which the connections are opened; they stay open for some seconds."""
        return self.at_s

    def summary(self) -> str:
        """Return a one-line description."""
        return f"{self.at_s:.1f} s: {self.connection_count} idle clients at router {self.router_index}"


SoakFault = CacheFault | ChangeLogFault | ServerFault | Reloads | Restart | IdleConnections


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Everything that is drawn from a seed. Times are seconds after the load began."""

    seed: int
    duration_s: float
    router_count: int
    classes: tuple[RequestClass, ...]
    max_sockets: int
    max_memory_mb: int
    idle_timeout_ms: float  # after which caches close idle connections
    requests_per_s: float
    faults: tuple[SoakFault, ...]
    final_signals: tuple[tuple[float, str], ...]  # seconds after the final SIGTERM, and the signal's name

    @property
    def sigkill_after_s(self) -> float:
        """Return the seconds between SIGTERM and the earliest SIGKILL."""
        longest_deadline_s = max(request_class.deadline_ms for request_class in self.classes) / 1000.0
        return min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + SIGKILL_MARGIN_S

    def without(self, index: int) -> SoakPlan:
        """Return a copy of the plan without the fault at an index."""
        return replace(self, faults=self.faults[:index] + self.faults[index + 1 :])

    def trial(self) -> Trial:
        """Return the trial definition that the testbed takes."""
        server_faults = tuple(planned.fault for planned in self.faults if isinstance(planned, ServerFault))
        log_faults = tuple(
            Fault(planned.at_s, "cut", (), of=("log",), ends=planned.ends_at_s)
            for planned in self.faults
            if isinstance(planned, ChangeLogFault)
        )
        # A fault that names servers makes the testbed route connections through relays. This one has no other
        # effect, since it ends before the load begins.
        relay_fault = Fault(-RELAY_FAULT_LEAD_S, "weather", (), of=("log",), ends=-RELAY_FAULT_LEAD_S)
        return Trial(
            f"soak {self.seed}", self.router_count, CACHE_COUNT, self.duration_s, 10.0, self.requests_per_s,
            0.0, OBJECT_KB, TRIAL_WINDOW_S, False, (), 1, (), None, None,
            (*server_faults, *log_faults, relay_fault), Expects(0, 0, None, None),
        )  # fmt: skip


def draw_plan(seed: int, duration_s: float) -> SoakPlan:
    """Return the plan of a seed; the same seed and duration give the same plan."""
    rng = random.Random(f"soak-{seed}")
    router_count = rng.choice((1, 1, 2, 3, 4))
    max_sockets = rng.choice(MAX_SOCKETS)
    classes = _draw_classes(rng)
    quiet_s = EXTRA_QUIET_S if rng.random() < 0.2 else 0.0
    last_fault_at_s = duration_s - 1.0
    faults: list[SoakFault] = []
    for _ in range(rng.randint(*FAULT_COUNT_RANGE)):
        at_s = round(
            rng.uniform(FIRST_FAULT_AT_S + quiet_s, max(FIRST_FAULT_AT_S + quiet_s, last_fault_at_s)), 2
        )
        faults.append(_draw_fault(rng, at_s, duration_s, router_count, max_sockets))
    if rng.random() < 0.3:
        faults.append(IdleConnections(0.5, rng.randrange(router_count), max_sockets // 3 - 10))
    if rng.random() < 0.3:  # a cache that hangs during the entire shutdown
        cache_index = rng.randrange(CACHE_COUNT)
        faults.append(CacheFault(duration_s - 0.5, duration_s + 10.0, cache_index, CacheBehaviour.HANG))
    return SoakPlan(
        seed,
        duration_s,
        router_count,
        classes,
        max_sockets,
        rng.choice(MAX_MEMORY_MB),
        rng.choice((400.0, 1000.0, 15_000.0)),
        rng.choice((30.0, 60.0)),
        tuple(sorted(_without_conflicts(faults), key=lambda fault: fault.at_s)),
        _draw_signals(rng),
    )


def _draw_classes(rng: random.Random) -> tuple[RequestClass, ...]:
    names = ("item-image", "pick-confirm", "stock-count")
    effects = (Effect.PURE, Effect.SIDE_EFFECT, Effect.TOKEN)
    window_ms = rng.choice(WINDOWS_MS)
    return tuple(
        RequestClass(name, effect, rng.choice(DEADLINES_MS), window_ms)
        for name, effect in zip(names, effects, strict=True)
    )


def _draw_signals(rng: random.Random) -> tuple[tuple[float, str], ...]:
    """Draw the signals that follow SIGTERM, with their delays in seconds, in order of time."""
    signal_count = rng.choice((0, 0, 1, 2, 3))
    names = ("SIGHUP", "SIGTERM", "SIGINT")
    signals = [(round(rng.uniform(0.0, 1.0), 2), rng.choice(names)) for _ in range(signal_count)]
    return tuple(sorted(signals))


def _draw_fault(
    rng: random.Random, at_s: float, duration_s: float, router_count: int, max_sockets: int
) -> SoakFault:
    """Draw one fault that begins at `at_s`."""
    router_index, cache_index = rng.randrange(router_count), rng.randrange(CACHE_COUNT)
    ends_at_s = round(min(duration_s + 2.0, at_s + rng.uniform(0.5, 4.0)), 2)
    match rng.choice(FAULT_KINDS):
        case "cache":
            return CacheFault(at_s, ends_at_s, cache_index, rng.choice(tuple(CacheBehaviour)))
        case "log" if rng.random() < 0.4:
            down_until_s = min(duration_s, at_s + rng.choice((2.0, 8.0)))
            return ServerFault(
                Fault(at_s, "down", tuple(range(router_count)), of=("log",), ends=down_until_s)
            )
        case "log":
            return ChangeLogFault(at_s, ends_at_s, rng.choice(tuple(LogBehaviour)))
        case "drain" | "purge" | "cold" | "reset" | "down" as kind:
            return ServerFault(
                _server_fault(kind, at_s, min(duration_s, ends_at_s), cache_index, tuple(range(router_count)))
            )
        case "reloads":
            interval_s = rng.choice((0.0, 0.005, 0.1))
            return Reloads(at_s, router_index, rng.randint(2, 6), interval_s, rng.random() < 0.5)
        case "restart":
            return Restart(at_s, router_index, _draw_signals(rng), round(rng.uniform(0.0, 0.6), 2))
        case _:
            return IdleConnections(at_s, router_index, rng.randint(5, max_sockets // 3 - 10))


def _server_fault(
    kind: str, at_s: float, ends_at_s: float, cache_index: int, router_indexes: tuple[int, ...]
) -> Fault:
    """Return a fault of a cache or of the connections to it, or a purge."""
    if kind in ("reset", "down"):
        return Fault(
            at_s,
            kind,
            router_indexes,
            of=(f"cache-{cache_index}",),
            ends=ends_at_s if kind == "down" else 0.0,
        )
    return Fault(at_s, kind, (), cache=cache_index, ends=ends_at_s if kind == "drain" else 0.0)


def _without_conflicts(faults: list[SoakFault]) -> list[SoakFault]:
    """Return the faults without those that exclude each other, such as two restarts of a router."""
    compatible: list[SoakFault] = []
    for candidate in sorted(faults, key=lambda fault: fault.at_s):
        if not any(_conflicts(earlier, candidate) for earlier in compatible):
            compatible.append(candidate)
    return compatible


def _conflicts(earlier: SoakFault, later: SoakFault) -> bool:
    if isinstance(earlier, Restart | IdleConnections) and isinstance(later, Restart | IdleConnections):
        return type(earlier) is type(later) and earlier.router_index == later.router_index
    if isinstance(earlier, CacheFault) and isinstance(later, CacheFault):
        return earlier.cache_index == later.cache_index and later.at_s < earlier.ends_at_s
    if isinstance(earlier, ServerFault) and isinstance(later, ServerFault):
        same_target = earlier.fault.cache == later.fault.cache or earlier.fault.of == later.fault.of != ()
        return same_target and later.at_s < earlier.ends_at_s + 1.0
    return (
        isinstance(earlier, ChangeLogFault)
        and isinstance(later, ChangeLogFault)
        and later.at_s < earlier.ends_at_s
    )

"""Bounds of an exploration: the participants, the possible faults, and their number."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from stonecove.routing.settings import ClassSettings, DeduplicationScope, Idempotency, Settings

# Durations are short, so that few timers fire between a request and its end: only their order matters.
DEADLINE_MS = 400.0
CLASSES = {
    "image": ClassSettings(
        "image",
        1.0,
        0.2,
        200.0,
        0.0,
        DEADLINE_MS,
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        0.0,
        0.0,
        0.0,
        0.5,
        False,
    ),
    "confirm": ClassSettings(
        "confirm",
        3.0,
        0.0,
        200.0,
        0.0,
        DEADLINE_MS,
        Idempotency.NON_IDEMPOTENT,
        DeduplicationScope.ALL,
        0.0,
        0.0,
        0.0,
        0.5,
        True,
    ),
    "stock": ClassSettings(
        "stock",
        2.0,
        0.0,
        200.0,
        0.0,
        DEADLINE_MS,
        Idempotency.IDEMPOTENCY_KEY,
        DeduplicationScope.CELL,
        150.0,
        0.0,
        0.0,
        0.5,
        True,
    ),
    "page": ClassSettings(
        "page",
        1.0,
        0.2,
        200.0,
        0.0,
        DEADLINE_MS,
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        0.0,
        300.0,
        0.0,
        0.5,
        False,
    ),
}
CLASS_NAMES = tuple(CLASSES)
CACHE, PARENT, ORIGIN = range(3)
PURGE_SETTLED_MS = 800.0


def settings(max_attempts: int, cancel: bool = True) -> Settings:
    """Return the settings of every scope: one zone with caches, a parent and an origin elsewhere."""
    return Settings(
        classes=tuple(CLASSES.values()),
        zone=1,
        fleet_size=1,
        routers_by_zone=(0, 1),
        zone_link_kb_per_s=(0.0, 1e6),
        client_kb_per_s=1000.0,
        parent_kind=PARENT,
        origin_kind=ORIGIN,
        fill_joining_allowed=True,
        weights_known=False,
        parent_bypass_allowed=False,
        siblings="silent",
        slow_start_initial_fraction=0.25,
        slow_start_ms=2000.0,
        overload_multiple=4.0,
        overload_window_ms=300.0,
        parent_slow_start_initial_fraction=0.25,
        parent_slow_start_ms=2000.0,
        parent_overload_multiple=4.0,
        purge_grace_ms=100.0,
        purge_settled_ms=PURGE_SETTLED_MS,
        drain_grace_ms=100.0,
        max_attempts=max_attempts,
        hedging_allowed=True,
        cancellation_allowed=cancel,
        health_checks_allowed=False,
        retry_after_allowed=True,
        max_retry_after_ms=100.0,
        connect_timeout_ms=100.0,
        load_report_fields=("busy", "x0"),
        endpoint_list_polled=False,
        zones=("hub", "edge"),
        kinds=("box", "parent", "origin"),
        max_open_requests=64,
        streams_per_connection=4,
        connection_idle_ms=500.0,
    )


ANSWERS: dict[str, tuple[str, str]] = {  # status and note of each answer that a cache may give
    "hit": ("200", "hit"),
    "filled": ("200", "filled"),
    "via": ("200", "via_origin"),
    "joined": ("200", "joined"),
    "old": ("200", "stale"),
    "bare": ("200", ""),
    "same": ("304", "hit"),
    "miss": ("404", ""),
    "full": ("503", ""),
    "error": ("500", ""),
    "over": ("504", ""),
    "refused": ("500", "src_refused"),
    "broke": ("500", "src_broke"),
    "lacks": ("500", "src_lacks"),
    "noslot": ("503", "no_slot"),
    "orgfail": ("500", "origin_failed"),
}
FAULT_FREE_ANSWERS = ("hit", "filled")  # answers that do not count as a fault

# Possible faults; each occurrence counts as one.
ON_LINKS = (
    "refuse",
    "never",
    "lack",
    "reset",
    "hangup",
    "choke",
    "second",
    "stray",
    "spoil",
    "half",
    "trickle",
)
ON_NODES = ("drain", "gone", "replace", "restart", "back", "join")
ON_PURGES = ("purge", "purgeall")
ON_LOG = ("cut", "repeat", "gap")
ON_CLIENTS = ("abort", "leave", "retry", "stall")
ON_ROUTER = ("term", "reload", "nomem", "nocpu", "nolinks")
ALL_FAULTS = ON_LINKS + ON_NODES + ON_PURGES + ON_LOG + ON_CLIENTS + ON_ROUTER


@dataclass(frozen=True, slots=True)
class Scope:
    """Bounds of one exploration. `requests` are classes; the same class twice requests the same object."""

    name: str
    requests: tuple[str, ...]
    caches: int = 2
    parents: int = 1
    attempts: int = 2
    faults: int = 1
    depth: int = 12
    kinds: tuple[str, ...] = ()
    answers: tuple[str, ...] = FAULT_FREE_ANSWERS
    fine: bool = False  # deciding and noticing a closed connection are separate steps
    seen: bool = False  # clients have a cached copy
    cancel: bool = True  # whether attempts may be cancelled
    relief: bool = False  # exhausted resources become available again
    targets: tuple[str, ...] = ("c1", "c2", "p1", "o1")  # nodes that faults of the endpoint list may affect
    prefix: tuple[str, ...] = ()  # steps taken at the start, not counted in the depth
    note: str = field(default="", compare=False)

    def with_bounds(self, **changes: Any) -> Scope:
        """Return the scope with changed bounds."""
        return replace(self, **changes)


SMALL: tuple[Scope, ...] = (
    Scope(
        "answers",
        ("image",),
        answers=tuple(ANSWERS),
        faults=2,
        depth=7,
        attempts=3,
        seen=True,
        note="each answer word and note",
    ),
    Scope(
        "links",
        ("image",),
        kinds=ON_LINKS,
        faults=2,
        depth=8,
        attempts=3,
        fine=True,
        note="connections that break, choke or lie",
    ),
    Scope(
        "confirm",
        ("confirm",),
        kinds=ON_LINKS,
        answers=("hit", "full", "error", "over"),
        faults=2,
        depth=9,
        note="what may have run",
    ),
    Scope(
        "keyed",
        ("stock",),
        caches=3,
        kinds=("reset", "drain", "never"),
        answers=("hit", "error", "full"),
        faults=2,
        depth=8,
        attempts=3,
        targets=("c1",),
        note="repeats within a cell and a window",
    ),
    Scope(
        "drain",
        ("image",),
        kinds=ON_NODES + ("choke",),
        faults=2,
        depth=6,
        targets=("c1", "p1"),
        note="drains and ends, of caches and of sources, also during a fill",
    ),
    Scope(
        "purge",
        ("image",),
        kinds=ON_PURGES + ("choke", "never"),
        answers=("hit", "joined", "old"),
        faults=2,
        depth=8,
        note="purges of an object and of a group",
    ),
    Scope(
        "log",
        ("image",),
        kinds=ON_LOG + ("drain", "purge", "choke"),
        faults=2,
        depth=7,
        targets=("c1",),
        note="a change log that breaks, repeats and skips",
    ),
    Scope(
        "clients",
        ("image", "confirm"),
        kinds=ON_CLIENTS,
        faults=2,
        depth=7,
        fine=True,
        note="clients that abort, leave, stall and come back",
    ),
    Scope(
        "stop",
        ("confirm", "image"),
        kinds=("term", "choke", "reset"),
        faults=2,
        depth=6,
        note="SIGTERM while a write is half written",
    ),
    Scope(
        "stopped",
        ("confirm",),
        kinds=("term", "choke"),
        answers=("hit", "full", "error"),
        faults=2,
        depth=11,
        note="from SIGTERM to the last answer",
    ),
    Scope(
        "limits",
        ("image", "confirm"),
        kinds=("reload", "nomem", "nocpu", "nolinks", "lack"),
        faults=2,
        depth=6,
        note="budgets, descriptors and CPU run out",
    ),
    Scope(
        "idle",
        ("image", "image"),
        kinds=("hangup", "reset", "abort"),
        faults=1,
        depth=8,
        fine=True,
        answers=("hit",),
        note="a connection that ends while it is idle, and is used again",
    ),
    Scope(
        "hedge",
        ("image",),
        kinds=("reset", "abort"),
        faults=1,
        depth=13,
        attempts=2,
        answers=("hit",),
        note="a second copy, and what crosses it",
    ),
    Scope(
        "page",
        ("page",),
        kinds=("purge", "restart"),
        answers=("hit", "old", "same"),
        faults=2,
        depth=8,
        seen=True,
        targets=("c1", "p1"),
        note="copies with a lifetime",
    ),
    Scope(
        "nocancel",
        ("image",),
        kinds=("reset", "drain"),
        answers=("hit", "error"),
        faults=1,
        depth=10,
        cancel=False,
        attempts=3,
        targets=("c1", "p1"),
        note="settings that forbid to cancel",
    ),
    Scope(
        "deadline",
        ("confirm",),
        kinds=("abort", "reset"),
        answers=("hit", "error"),
        faults=1,
        depth=16,
        note="deadline, cut-off, backstop and answer in one instant",
    ),
)
FULL: tuple[Scope, ...] = (
    *(scope.with_bounds(depth=scope.depth + 1) for scope in SMALL),
    Scope(
        "all",
        ("image", "confirm"),
        kinds=ALL_FAULTS,
        answers=tuple(ANSWERS),
        faults=2,
        depth=5,
        prefix=("ask 0", "ask 1"),
        note="two requests are open, any two faults",
    ),
    Scope(
        "overdue",
        ("image", "confirm"),
        kinds=ALL_FAULTS,
        answers=tuple(ANSWERS),
        faults=2,
        depth=4,
        prefix=("ask 0", "ask 1", "up c1.0", "wait", "fire"),
        note="the first attempts are overdue and a second copy is out, any two faults",
    ),
    Scope(
        "same",
        ("image", "image"),
        kinds=("reset", "drain", "purge", "abort", "choke"),
        faults=2,
        depth=7,
        answers=("hit", "joined", "miss"),
        targets=("c1", "p1"),
        note="two requests for one object",
    ),
    Scope(
        "long",
        ("image", "confirm"),
        kinds=("reset", "drain", "abort"),
        faults=2,
        depth=8,
        answers=("hit", "error"),
        targets=("c1", "p1"),
        note="on to the overdue marks",
    ),
)
SCOPES = {"small": SMALL, "full": FULL}
WALK = Scope(
    "walk",
    ("image", "confirm", "stock", "page") * 60,
    caches=3,
    parents=2,
    attempts=4,
    faults=10**9,
    depth=10**9,
    kinds=tuple(kind for kind in ALL_FAULTS if kind != "term"),
    answers=tuple(ANSWERS),
    fine=True,
    relief=True,
    note="seeded walks of thousands of steps",
)


def named(scopes: tuple[Scope, ...], name: str) -> Scope:
    """Return the scope of that name; raises KeyError."""
    for scope in scopes:
        if scope.name == name:
            return scope
    raise KeyError(name)

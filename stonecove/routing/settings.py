"""Typed settings of the routing decisions. `stonecove.settings` reads them from the platform's JSON.

Times are milliseconds and sizes are KB. A class, zone or kind is its index in the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """Whether repeating a request of a class is harmless."""

    IDEMPOTENT = 0
    IDEMPOTENCY_KEY = 1
    NON_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """Which caches discard duplicates of a request with an idempotency key together."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of one class of requests."""

    name: str
    priority_weight: float
    late_priority_weight: float
    latency_objective_ms: float
    objective_stretch: float  # added to the objective for each ms of transfer time
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    fresh_ms: float
    stale_ms: float
    stale_priority_weight: float
    never_cached: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a router."""

    classes: tuple[ClassSettings, ...]
    zone: int
    fleet_size: int
    routers_by_zone: tuple[int, ...]
    zone_link_kb_per_s: tuple[float, ...]
    client_kb_per_s: float
    parent_kind: int
    origin_kind: int
    fill_joining_allowed: bool
    weights_known: bool
    parent_bypass_allowed: bool
    siblings: str
    slow_start_initial_fraction: float
    slow_start_ms: float
    overload_multiple: float
    overload_window_ms: float
    parent_slow_start_initial_fraction: float
    parent_slow_start_ms: float
    parent_overload_multiple: float
    purge_grace_ms: float
    purge_settled_ms: float
    drain_grace_ms: float
    max_attempts: int
    hedging_allowed: bool
    cancellation_allowed: bool
    health_checks_allowed: bool
    retry_after_allowed: bool
    max_retry_after_ms: float
    connect_timeout_ms: float
    load_report_fields: tuple[str, ...]
    endpoint_list_polled: bool
    # Used by the edge router alone, not by the routing decisions.
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    max_open_requests: int = 20_000
    streams_per_connection: int = 100
    connection_idle_ms: float = 15_000.0
    handshakes_priced: bool = False  # each new connection to a cache adds cost for the whole fleet
    router_messages_allowed: bool = False  # routers may send each other datagrams

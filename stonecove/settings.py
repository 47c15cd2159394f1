"""Reader of the platform's settings, for the edge router and the simulator's adapter.

The platform's names are mapped to the code's names here and nowhere else: each JSON key stands next to the
field that it sets. docs/GLOSSARY.md lists both.
"""

from __future__ import annotations

import math
from typing import Any

import ujson

from stonecove.routing.settings import ClassSettings, DeduplicationScope, Idempotency, Settings

DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # without one in the settings; at 0 no connection could be established
_KNOWN_WEIGHTS = ("nominal", "rough")
_POLLED_DISCOVERY = "ask"

_IDEMPOTENCY = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENCY_KEY,
    "side_effect": Idempotency.NON_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}

# Published names, in rejection messages and reports, where they differ from the code's.
_REPORTED_NAMES = {
    "cancellation_allowed": "may_cancel",
    "client_kb_per_s": "client_pace",
    "connect_timeout_ms": "connect_timeout",
    "connection_idle_ms": "conn_idle",
    "deadline_ms": "deadline",
    "deduplication_scope": "group",
    "deduplication_window_ms": "window",
    "drain_grace_ms": "drain_grace",
    "endpoint_list_polled": "list_by_asking",
    "fill_joining_allowed": "joins",
    "fleet_size": "fleet",
    "fresh_ms": "fresh",
    "health_checks_allowed": "may_probe",
    "hedging_allowed": "second_copies",
    "idempotency": "effect",
    "late_priority_weight": "late_worth",
    "latency_objective_ms": "aim",
    "load_report_fields": "report_fields",
    "max_attempts": "most_attempts",
    "max_open_requests": "most_held",
    "max_retry_after_ms": "longest_pause",
    "never_cached": "never_kept",
    "objective_stretch": "aim_stretch",
    "overload_multiple": "fall_multiple",
    "overload_window_ms": "fall_window",
    "parent_bypass_allowed": "may_bypass",
    "parent_overload_multiple": "parent_fall_multiple",
    "parent_slow_start_initial_fraction": "parent_cold_from",
    "parent_slow_start_ms": "parent_warm_up",
    "priority_weight": "worth",
    "purge_grace_ms": "purge_grace",
    "purge_settled_ms": "purge_done",
    "retry_after_allowed": "may_pause",
    "router_messages_allowed": "may_message",
    "routers_by_zone": "zone_directors",
    "slow_start_initial_fraction": "cold_from",
    "slow_start_ms": "warm_up",
    "stale_ms": "stale",
    "stale_priority_weight": "stale_worth",
    "streams_per_connection": "streams",
    "weights_known": "weighted",
    "zone_link_kb_per_s": "zone_link",
}

Table = dict[str, Any]


def reported_name(field_name: str) -> str:
    """Return the published name of a field of `Settings` or `ClassSettings`."""
    return _REPORTED_NAMES.get(field_name, field_name)


def _require(table: Table, key: str, path: str = "") -> Any:
    """Return a mandatory setting; raise ValueError if it is missing."""
    if key not in table:
        raise ValueError(f"settings lack '{path}{key}'")
    return table[key]


def _item(values: list[Any], index: int, default: Any) -> Any:
    return values[index] if index < len(values) else default


def _class_settings(index: int, entry: Table, domain: Table) -> ClassSettings:
    path = f"classes[{index}]."
    deadline_ms = float(_require(entry, "deadline", path))
    objective_ms = float(entry.get("on_time", deadline_ms))
    if not (0.0 < deadline_ms < math.inf and objective_ms >= 0.0):
        raise ValueError(f"settings '{path}' give {deadline_ms:g} ms, on time within {objective_ms:g} ms")
    return ClassSettings(
        name=str(entry.get("name", index)),
        priority_weight=float(entry.get("importance", 1.0)),
        late_priority_weight=float(entry.get("late_worth", 0.0)),
        latency_objective_ms=objective_ms,
        objective_stretch=float(entry.get("aim_stretch", 0.0)),
        deadline_ms=deadline_ms,
        idempotency=_IDEMPOTENCY.get(entry.get("effect", "pure"), Idempotency.NON_IDEMPOTENT),
        deduplication_scope=_DEDUPLICATION_SCOPES.get(entry.get("group", "all"), DeduplicationScope.CELL),
        deduplication_window_ms=float(entry.get("window", 0.0)),
        fresh_ms=float(_item(domain.get("lifetime_by_class", []), index, 0.0)),
        stale_ms=float(_item(domain.get("stale_for", []), index, 0.0)),
        stale_priority_weight=float(_item(domain.get("worth_when_old", []), index, 0.0)),
        never_cached=bool(_item(domain.get("never_kept", []), index, False)),
    )


def read_settings(text: str | bytes) -> Settings:
    """Return the settings in the simulator's first message; raise ValueError for unusable ones."""
    return settings_from(ujson.loads(text))


def settings_from(table: Table) -> Settings:
    """Return the settings in decoded JSON, ignoring unknown keys; raise ValueError for unusable ones."""
    zone, classes = int(_require(table, "zone")), _require(table, "classes")
    if not classes:
        raise ValueError("settings name no 'classes'")
    domain, rules, limits = (table.get(part, {}) for part in ("domain", "rules", "limits"))
    return Settings(
        classes=tuple(_class_settings(index, entry, domain) for index, entry in enumerate(classes)),
        zone=zone,
        fleet_size=int(table.get("fleet_size", 1)),
        routers_by_zone=tuple(int(n) for n in domain.get("instances_by_zone", [])),
        zone_link_kb_per_s=tuple(float(n) for n in domain.get("zone_link_kb_per_s", [])),
        client_kb_per_s=float(domain.get("client_kb_per_s", 0.0)),
        parent_kind=int(domain.get("shield_kind", -1)),
        origin_kind=int(domain.get("store_kind", -1)),
        fill_joining_allowed=bool(domain.get("joins", False)),
        weights_known=table.get("weights", "silent") in _KNOWN_WEIGHTS,
        parent_bypass_allowed=bool(domain.get("may_pass_by", False)),
        siblings=str(domain.get("siblings", "silent")),
        slow_start_initial_fraction=float(rules.get("cold_from", 0.0)),
        slow_start_ms=float(rules.get("warm_up", 0.0)),
        overload_multiple=float(rules.get("tip_multiple", 1.0)),
        overload_window_ms=float(rules.get("overload_for", 0.0)),
        parent_slow_start_initial_fraction=float(domain.get("parent_cold_from", 0.0)),
        parent_slow_start_ms=float(domain.get("parent_warms_in", 0.0)),
        parent_overload_multiple=float(domain.get("parent_limit_factor", 1.0)),
        purge_grace_ms=float(domain.get("heed_within", 0.0)),
        purge_settled_ms=float(domain.get("purge_settles", 0.0)),
        drain_grace_ms=float(rules.get("drain_grace", 0.0)),
        max_attempts=int(limits.get("most_tries", 1)),
        hedging_allowed=bool(limits.get("second_copies", False)),
        cancellation_allowed=bool(limits.get("cancel", False)),
        health_checks_allowed=bool(limits.get("may_probe", False)),
        retry_after_allowed=bool(limits.get("retry_after", False)),
        max_retry_after_ms=float(limits.get("max_retry_after", 0.0)),
        connect_timeout_ms=float(limits.get("connect_timeout", 0.0)) or DEFAULT_CONNECT_TIMEOUT_MS,
        load_report_fields=tuple(table.get("report", {}).get("fields", [])),
        endpoint_list_polled=table.get("discovery", "push") == _POLLED_DISCOVERY,
        zones=tuple(str(name) for name in table.get("areas", [])),
        kinds=tuple(str(name) for name in table.get("models", [])),
        max_open_requests=int(limits.get("most_held", 20_000)),
        streams_per_connection=max(1, int(limits.get("streams_per_conn", 100))),
        connection_idle_ms=float(limits.get("conn_idle", 15_000.0)),
        handshakes_priced=float(table.get("prices", {}).get("handshake", 0.0)) > 0,
        router_messages_allowed=bool(limits.get("peers", False)),
    )

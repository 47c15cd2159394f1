"""The one reader of the settings, shared by the edge router and the simulator's adapter."""

from __future__ import annotations

import math
from typing import Any

import ujson

from stonecove.routing import events as i

_EFFECTS = {"pure": i.Effect.SAFE, "token": i.Effect.KEYED, "side_effect": i.Effect.UNSAFE}
CONNECT_TIMEOUT = 1000.0  # ms, where the settings name none: at 0 no connection would ever come up
_GROUPS = {"all": i.KeyGroup.ALL, "zone": i.KeyGroup.ZONE, "cell": i.KeyGroup.CELL}


def _need(table: dict[str, Any], key: str, path: str = "") -> Any:
    """A setting without which nothing can be decided."""
    if key not in table:
        raise ValueError(f"settings lack '{path}{key}'")
    return table[key]


def _at(values: list[Any], place: int, default: Any) -> Any:
    return values[place] if place < len(values) else default


def _class(place: int, entry: dict[str, Any], domain: dict[str, Any]) -> i.ClassSettings:
    path = f"classes[{place}]."
    deadline = float(_need(entry, "deadline", path))
    aim = float(entry.get("on_time", deadline))
    if not (0.0 < deadline < math.inf and aim >= 0.0):
        raise ValueError(f"settings '{path}' give {deadline:g} ms, on time within {aim:g} ms")
    return i.ClassSettings(
        name=str(entry.get("name", place)),
        worth=float(entry.get("importance", 1.0)),
        late_worth=float(entry.get("late_worth", 0.0)),
        aim=aim,
        aim_stretch=float(entry.get("aim_stretch", 0.0)),
        deadline=deadline,
        effect=_EFFECTS.get(entry.get("effect", "pure"), i.Effect.UNSAFE),
        group=_GROUPS.get(entry.get("group", "all"), i.KeyGroup.CELL),
        window=float(entry.get("window", 0.0)),
        fresh=float(_at(domain.get("lifetime_by_class", []), place, 0.0)),
        stale=float(_at(domain.get("stale_for", []), place, 0.0)),
        stale_worth=float(_at(domain.get("worth_when_old", []), place, 0.0)),
        never_kept=bool(_at(domain.get("never_kept", []), place, False)),
    )


def read_settings(text: str | bytes) -> i.Settings:
    """Typed settings from the JSON of the simulator's first message."""
    return settings_from(ujson.loads(text))


def settings_from(table: dict[str, Any]) -> i.Settings:
    """Typed settings from decoded JSON; unknown keys are skipped. Raises ValueError if they can't be used."""
    zone, classes = int(_need(table, "zone")), _need(table, "classes")
    if not classes:
        raise ValueError("settings name no 'classes'")
    domain, rules, limits = (table.get(part, {}) for part in ("domain", "rules", "limits"))
    return i.Settings(
        classes=tuple(_class(n, entry, domain) for n, entry in enumerate(classes)),
        zone=zone,
        fleet=int(table.get("fleet_size", 1)),
        zone_directors=tuple(int(n) for n in domain.get("instances_by_zone", [])),
        zone_link=tuple(float(n) for n in domain.get("zone_link_kb_per_s", [])),
        client_pace=float(domain.get("client_kb_per_s", 0.0)),
        parent_kind=int(domain.get("shield_kind", -1)),
        origin_kind=int(domain.get("store_kind", -1)),
        joins=bool(domain.get("joins", False)),
        weighted=table.get("weights", "silent") in ("nominal", "rough"),
        may_bypass=bool(domain.get("may_pass_by", False)),
        siblings=str(domain.get("siblings", "silent")),
        cold_from=float(rules.get("cold_from", 0.0)),
        warm_up=float(rules.get("warm_up", 0.0)),
        fall_multiple=float(rules.get("tip_multiple", 1.0)),
        fall_window=float(rules.get("overload_for", 0.0)),
        parent_cold_from=float(domain.get("parent_cold_from", 0.0)),
        parent_warm_up=float(domain.get("parent_warms_in", 0.0)),
        parent_fall_multiple=float(domain.get("parent_limit_factor", 1.0)),
        purge_grace=float(domain.get("heed_within", 0.0)),
        purge_done=float(domain.get("purge_settles", 0.0)),
        drain_grace=float(rules.get("drain_grace", 0.0)),
        most_attempts=int(limits.get("most_tries", 1)),
        second_copies=bool(limits.get("second_copies", False)),
        may_cancel=bool(limits.get("cancel", False)),
        may_probe=bool(limits.get("may_probe", False)),
        may_pause=bool(limits.get("retry_after", False)),
        longest_pause=float(limits.get("max_retry_after", 0.0)),
        connect_timeout=float(limits.get("connect_timeout", 0.0)) or CONNECT_TIMEOUT,
        report_fields=tuple(table.get("report", {}).get("fields", [])),
        list_by_asking=table.get("discovery", "push") == "ask",
        zones=tuple(str(name) for name in table.get("areas", [])),
        kinds=tuple(str(name) for name in table.get("models", [])),
        most_held=int(limits.get("most_held", 20_000)),
        streams=max(1, int(limits.get("streams_per_conn", 100))),
        conn_idle=float(limits.get("conn_idle", 15_000.0)),
        handshakes_priced=float(table.get("prices", {}).get("handshake", 0.0)) > 0,
        may_message=bool(limits.get("peers", False)),
    )

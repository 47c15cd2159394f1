"""Settings of small deployments, with the names and figures that the pages of the sites give."""

from __future__ import annotations

from typing import Any


def hanbit_pick() -> dict[str, Any]:
    """Return the settings of `hanbit-pick`, a depot with one router, in the form of the first message."""
    return {
        "areas": ["central", "edge-1"],
        "classes": [
            {
                "name": "guide-video",
                "effect": "pure",
                "group": "all",
                "importance": 2.0,
                "late_worth": 0.15,
                "on_time": 500.0,
                "aim_stretch": 2.0,
                "deadline": 5000.0,
                "streamed": False,
                "window": 5000.0,
            },
            {
                "name": "item-image",
                "effect": "pure",
                "group": "all",
                "importance": 1.0,
                "late_worth": 0.2,
                "on_time": 400.0,
                "aim_stretch": 2.0,
                "deadline": 3000.0,
                "streamed": False,
                "window": 5000.0,
            },
            {
                "name": "pick-confirm",
                "effect": "side_effect",
                "group": "all",
                "importance": 3.0,
                "late_worth": 0.0,
                "on_time": 800.0,
                "deadline": 3000.0,
                "streamed": False,
                "window": 5000.0,
            },
        ],
        "clients": {"marks_retry": True},
        "discovery": "push",
        "domain": {
            "client_kb_per_s": 4200.0,
            "heed_within": 500.0,
            "home_hub": [0, 0],
            "in_pieces": [True, False, False],
            "inlet_cost": 0.02,
            "instances_by_zone": [0, 1],
            "joins": True,
            "lifetime_by_class": [0.0, 20000.0, 0.0],
            "may_pass_by": False,
            "never_kept": [False, False, True],
            "origin_bears": 3000.0,
            "origin_stops_at": 2.5,
            "parent_cold_from": 0.063,
            "parent_limit_factor": 2.0,
            "parent_warms_in": 21000.0,
            "purge_settles": 6000.0,
            "says": "all",
            "shield_kind": 2,
            "siblings": "silent",
            "stale_for": [0.0, 0.0, 0.0],
            "store_kind": 3,
            "worth_when_old": [0.7, 0.7, 0.7],
            "zone_link_kb_per_s": [0.0, 164575.0],
        },
        "family": "edge",
        "fleet_size": 1,
        "granularity": 2.0,
        "layer": 0,
        "limits": {
            "cancel": True,
            "conn_idle": 15000.0,
            "connect_timeout": 400.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 400000,
            "max_retry_after": 1000.0,
            "may_probe": False,
            "most_held": 20000,
            "most_tries": 8,
            "peers": False,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "models": ["small-box", "large-box", "parent", "origin"],
        "report": {"fields": ["inflight", "util", "x0"], "how": "piggyback"},
        "prices": {"connection": 0.0, "handshake": 0.0, "waste": 0.05},
        "rules": {
            "answer_slack": 8.0,
            "ask_within": 10000.0,
            "cold_from": 0.25,
            "drain_grace": 250.0,
            "overload_for": 3000.0,
            "tip_multiple": 4.0,
            "warm_up": 16000.0,
        },
        "self_index": 0,
        "tenants": [],
        "tiers": ["pick-cache"],
        "value_by": "request",
        "weights": "nominal",
        "zone": 1,
    }


def harbor_forms() -> dict[str, Any]:
    """Return the settings of `harbor-forms`, a depot with one router, in the form of the first message."""
    settings = hanbit_pick()
    settings["areas"] = ["quay", "edge-1"]
    settings["models"] = ["kiosk", "cabinet", "parent", "origin"]
    settings["tiers"] = ["quay-cache"]
    settings["weights"] = "rough"
    settings["clients"] = {"marks_retry": False}
    shape = (
        # name, effect, importance, late_worth, on_time, deadline, window
        ("manifest", "pure", 1.0, 0.1, 250.0, 1400.0, 5000.0),
        ("seal-photo", "pure", 2.0, 0.25, 500.0, 2600.0, 5000.0),
        ("stamp", "side_effect", 3.0, 0.5, 300.0, 1200.0, 5000.0),
        ("customs-entry", "token", 5.0, 0.0, 500.0, 1800.0, 700.0),
    )
    settings["classes"] = [
        {
            "name": name,
            "effect": effect,
            "group": "all",
            "importance": importance,
            "late_worth": late_worth,
            "on_time": on_time,
            "deadline": deadline,
            "streamed": False,
            "window": window,
        }
        for name, effect, importance, late_worth, on_time, deadline, window in shape
    ]
    settings["domain"].update(
        heed_within=300.0,
        in_pieces=[False, True, False, False],
        lifetime_by_class=[6000.0, 0.0, 0.0, 0.0],
        never_kept=[False, False, True, True],
        stale_for=[12000.0, 0.0, 0.0, 0.0],
        worth_when_old=[0.6, 0.7, 0.7, 0.7],
    )
    settings["limits"].update(
        conn_idle=4000.0,
        connect_timeout=250.0,
        cpu_us_per_s=500000,
        max_retry_after=300.0,
        most_tries=3,
        streams_per_conn=16,
    )
    settings["rules"].update(drain_grace=600.0, overload_for=1500.0, tip_multiple=3.0)
    return settings

"""Golden cases of the fleet area: the file that gives an instance its lease socket and quotas."""

from __future__ import annotations

import json
from typing import Any

from golden_fleet_files import json_or_text, temporary_folder
from golden_folder import Format, Meaning

from stonecove.quotas.quota import Limit, Plan
from stonecove.server.leases import LeaseFile, LeaseFileError

PLAN = Plan(
    Limit(100.0, 10.0, 100.0),
    zones=(("edge-1", Limit(50.0, 5.0, 60.0)),),
    classes=(("edge-1", "pictures", Limit(40.0, 4.0, 50.0)),),
    client=Limit(4.0, 2.0, 4.0),
)


def describe_lease_file(file: LeaseFile) -> Meaning:
    """Return the meaning of the file that the supervisor passes to an instance at its start."""
    plan = file.plan
    return {
        "socket": file.socket,
        "window_s": file.window,
        "own_quota": file.own,
        "retry_quota": file.retries,
        "cooldown_s": file.rest,
        "own_quota_of_limits": file.part,
        "limits": None if plan is None else _describe_plan(plan),
    }


def _describe_limit(limit: Limit) -> Meaning:
    return {"rate": limit.rate, "burst": limit.burst, "ceiling": limit.ceil}


def _describe_plan(plan: Plan) -> Meaning:
    return {
        "fleet": _describe_limit(plan.fleet),
        "reserved_fraction": plan.floor_fraction,
        "reserved_class": plan.floor_class,
        "zones": [[zone, _describe_limit(limit)] for zone, limit in plan.zones],
        "classes": [[zone, cls, _describe_limit(limit)] for zone, cls, limit in plan.classes],
        "client": None if plan.client is None else _describe_limit(plan.client),
    }


def _build_limit(meaning: Meaning) -> Limit:
    return Limit(meaning["rate"], meaning["burst"], meaning["ceiling"])


def _build_plan(meaning: Meaning) -> Plan:
    return Plan(
        _build_limit(meaning["fleet"]),
        meaning["reserved_fraction"],
        meaning["reserved_class"],
        tuple((zone, _build_limit(limit)) for zone, limit in meaning["zones"]),
        tuple((zone, cls, _build_limit(limit)) for zone, cls, limit in meaning["classes"]),
        None if meaning["client"] is None else _build_limit(meaning["client"]),
    )


def _write_lease_file(meaning: Meaning) -> bytes:
    file = LeaseFile(
        socket=meaning["socket"],
        window=meaning["window_s"],
        own=meaning["own_quota"],
        retries=meaning["retry_quota"],
        rest=meaning["cooldown_s"],
        plan=None if meaning["limits"] is None else _build_plan(meaning["limits"]),
        part=meaning["own_quota_of_limits"],
    )
    return file.dumps().encode()


def _read_lease_file(data: bytes) -> Meaning:
    with temporary_folder() as folder:
        (folder / "leases.json").write_bytes(data)
        return describe_lease_file(LeaseFile.read(folder / "leases.json"))


def _lease_file(**changes: Any) -> Meaning:
    return {
        "socket": "/run/fleet/leases.sock",
        "window_s": 3.0,
        "own_quota": 0.3,
        "retry_quota": 0.15,
        "cooldown_s": 0.0,
        "own_quota_of_limits": 0.15,
        "limits": None,
        **changes,
    }


def _broken_lease_files() -> tuple[tuple[str, bytes], ...]:
    valid = _write_lease_file(_lease_file(limits=_describe_plan(PLAN)))
    table = json_or_text(valid)

    def changed(**changes: Any) -> bytes:
        return json.dumps({**table, **changes}).encode()

    def without(name: str) -> bytes:
        return json.dumps({field: value for field, value in table.items() if field != name}).encode()

    return (
        ("empty", b""),
        ("no object", b"[]"),
        *((f"without {name}", without(name)) for name in table),
        ("quota above 1", changed(own=1.5)),
        ("quota below 0", changed(own=-0.1)),
        ("quota of the limits above 1", changed(part=2)),
        ("window of 0", changed(window=0)),
        ("window is a word", changed(window="x")),
        ("limits without the fleet's", changed(plan={"floor": 0})),
        ("limit of two figures", changed(plan={**table["plan"], "fleet": [1, 2]})),
    )  # fmt: skip


CASES = (
    Format(
        "lease-file",
        _write_lease_file,
        _read_lease_file,
        samples=(
            ("without limits", _lease_file()),
            ("with a cooldown", _lease_file(cooldown_s=1.25)),
            ("with limits", _lease_file(limits=_describe_plan(PLAN))),
            (
                "with a reserve",
                _lease_file(
                    limits={
                        **_describe_plan(PLAN),
                        "reserved_fraction": 0.1,
                        "reserved_class": "confirm",
                        "zones": [],
                        "classes": [],
                        "client": None,
                    }
                ),
            ),
        ),
        broken=_broken_lease_files(),
        error=LeaseFileError,
        reason=lambda error: "unusable",
    ),  # fmt: skip
)

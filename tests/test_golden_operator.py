"""Golden data of the operator's file: what it means, how it is shown, and what is told of a broken one."""

from __future__ import annotations

import re
import tempfile
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from golden_formats_cases import (
    ROOT,
    as_json,
    check,
    differences,
    input_bytes,
    input_json,
    input_sections,
    record,
)

from stonecove.operator_config import records
from stonecove.operator_config.grammar import OperatorError
from stonecove.operator_config.reader import MOST_BYTES, explain, read, read_text, show


def describe_zookeeper(one: records.ZooKeeperSource) -> dict[str, object]:
    """Return the ZooKeeper source of the operator's file under neutral keys."""
    return {
        "trust_rank": one.rank,
        "servers": [list(server) for server in one.servers],
        "path": one.path,
        "watch_mode": one.watches,
        "session_timeout_ms": one.session_timeout,
        "connect_timeout_ms": one.connect_timeout,
        "backoff": {
            "initial_ms": one.back_off.first,
            "max_ms": one.back_off.longest,
            "jitter": one.back_off.jitter,
        },
        "credentials": [{"scheme": each.scheme, "file": each.file} for each in one.auth],
        "stale_after_ms": one.stale_for,
        "departure_linger_ms": one.linger,
        "return_grace_ms": one.return_within,
        "mass_departure": {
            "fraction": one.mass.share,
            "min_count": one.mass.least,
            "window_ms": one.mass.window,
        },
        "flap_damping": {
            "max_returns": one.flap.most,
            "window_ms": one.flap.window,
            "hold_ms": one.flap.hold,
            "max_hold_ms": one.flap.longest,
        },
        "max_record_bytes": one.most_bytes,
    }


def describe_presence(one: records.Presence) -> dict[str, object]:
    """Return the router's own registration under neutral keys."""
    return {
        "path": one.path,
        "name": one.name,
        "shares_counted_from_list": one.derived,
        "grow_after_ms": one.grow,
        "shrink_after_ms": one.shrink,
    }


def describe_instance(one: records.FleetInstance) -> dict[str, object]:
    """Return one instance of a supervised fleet under neutral keys."""
    return {
        "config_file": one.config,
        "listen": list(one.listen),
        "cores": one.cores,
        "memory_bytes": one.memory,
        "max_sockets": one.sockets,
        "operator_file": one.operator,
    }


def describe_rate(table: Mapping[str, Any]) -> dict[str, object]:
    """Return one rate limit under neutral keys."""
    found = {"per_second": table["rate"], "burst": table["burst"]}
    return {**found, **({"ceiling_per_second": table["ceil"]} if "ceil" in table else {})}


def describe_limits(table: Mapping[str, Any]) -> dict[str, object]:
    """Return the rate limits of a fleet under neutral keys."""
    zones = {
        name: {
            **describe_rate(zone),
            "classes": {cls: describe_rate(each) for cls, each in zone.get("classes", {}).items()},
        }
        for name, zone in table.get("zones", {}).items()
    }
    reserved = table.get("floor")
    return {
        **describe_rate(table),
        "reserved": {"class": reserved["class"], "fraction": reserved["part"]} if reserved else None,
        "zones": zones,
        "each_client": describe_rate(table["client"]) if "client" in table else None,
    }


def describe_fleet(one: records.Fleet) -> dict[str, object]:
    """Return the supervised fleet under neutral keys."""
    return {
        "folder": one.folder,
        "instances": {name: describe_instance(each) for name, each in one.instances.items()},
        "messages_between_instances": one.messages,
        "pin_to_cores": one.pin,
        "memory_bytes": one.memory,
        "ready_timeout_ms": one.ready_within,
        "stop_timeout_ms": one.stop_within,
        "restart_backoff": {"initial_ms": one.back_off.first, "max_ms": one.back_off.longest},
        "restart_limit": {"count": one.restarts.most, "window_ms": one.restarts.within},
        "health_checks": {
            "interval_ms": one.health.every,
            "timeout_ms": one.health.within,
            "max_failures": one.health.misses,
        },
        "rolling_restart_width": one.roll_out,
        "log": {"max_bytes": one.log.most_bytes, "kept_files": one.log.keep, "json": one.log.json},
        "leases": None
        if one.leases is None
        else {"window_ms": one.leases.window, "retained_fraction": one.leases.own},
        "limits": None if one.limits is None else describe_limits(one.limits),
        "tracing": None
        if one.tracing is None
        else {
            "sampling_ratio": one.tracing.ratio,
            "max_bytes": one.tracing.most_bytes,
            "kept_files": one.tracing.keep,
        },
    }


def describe_policy(table: Mapping[str, Any]) -> dict[str, object]:
    """Return one access policy under neutral keys."""
    return {
        "path_prefix": table["prefix"],
        "token_required": table["token"],
        "token_formats": list(table["formats"]),
        "methods": list(table["methods"]),
        "audience": table["audience"],
        "issuer": table["issuer"],
        "clock_skew_ms": table["skew"],
        "max_token_lifetime_ms": table["longest"],
        "grace_ms": table["grace"],
        "single_use": table["once"],
        "site_required": table["depot"],
        "subject_rate_per_s": table["rate"],
        "subject_burst": table["burst"],
        "subject_concurrency": table["concurrent"],
        "edge_auth_name": table["edge_name"],
        "edge_auth_default_key": table["edge_key"],
        "served_first": table["floor"],
    }


def describe_access(one: records.Access) -> dict[str, object]:
    """Return the access section under neutral keys."""
    return {
        "key_ring": one.ring,
        "revocation_list": one.revoked,
        "fastcgi_too": one.fastcgi,
        "remembered_tokens": one.seen,
        "signature_checks_per_s": one.checks,
        "policies": [describe_policy(each) for each in one.policies],
    }


def describe_http(one: records.Http) -> dict[str, object]:
    """Return the HTTP listener's section under neutral keys."""
    return {
        "listen": list(one.listen),
        "certificate_file": one.certificate,
        "key_file": one.key,
        "max_connections": one.connections,
    }


def describe_swarm(one: records.SwarmRecord) -> dict[str, object]:
    """Return the gossip section under neutral keys."""
    return {
        "name": one.name,
        "shares_counted_from_members": one.counted,
        "uncounted_share": one.own,
        "probe_period_ms": one.period,
        "probe_timeout_ms": one.answer,
        "indirect_probes": one.helpers,
        "min_suspicion_ms": one.suspicion,
        "share_lease_ms": one.lease,
        "refused_connection_proves_death": one.refusals_prove,
    }


def describe_configuration(one: records.ConfigurationRecord) -> dict[str, object]:
    """Return the settings reload section under neutral keys."""
    return {"reload_settings": one.settings, "path": one.path, "start_wait_ms": one.start_wait}


def describe_operator(one: records.Operator) -> dict[str, object]:
    """Return the operator's whole file under neutral keys."""
    return {
        "change_log": {"trust_rank": one.changelog.rank, "silent_after_ms": one.changelog.silent_for},
        "zookeeper": None if one.zookeeper is None else describe_zookeeper(one.zookeeper),
        "presence": None if one.presence is None else describe_presence(one.presence),
        "members": {
            "socket": one.members.socket,
            "keep_last_list": one.members.keep,
            "trace_lines": one.members.trace,
            "batch_ms": one.members.batch,
        },
        "fleet": None if one.fleet is None else describe_fleet(one.fleet),
        "access": None if one.access is None else describe_access(one.access),
        "http": None if one.http is None else describe_http(one.http),
        "gossip": None if one.swarm is None else describe_swarm(one.swarm),
        "configuration": None if one.configuration is None else describe_configuration(one.configuration),
    }


def with_schema_text(text: str) -> str:
    """Return a text in which each line number of the schema is replaced by what stands on that line.

    The place that an error names is part of the check; how many lines of comment stand before it is not.
    """
    schema = (ROOT / "stonecove" / "operator_config" / "schema.cue").read_text().splitlines()

    def line_of(found: re.Match[str]) -> str:
        return "schema.cue:{" + " ".join(schema[int(found[1]) - 1].split()) + "}"

    return re.sub(r"schema\.cue:(\d+)", line_of, text)


def operator_full() -> bytes:
    text = input_bytes("operator-full.in.cue").decode()
    return as_json(describe_operator(read_text(text, "full.cue").operator))


def operator_shown() -> bytes:
    value = read_text(input_bytes("operator-full.in.cue").decode(), "full.cue").value
    return ("\n".join(show(value)) + "\n").encode()


def operator_explained() -> bytes:
    value = read_text(input_bytes("operator-full.in.cue").decode(), "full.cue").value
    paths = (
        "members",
        "members.batch",
        "sources.zookeeper.servers",
        "fleet.instances.two.cores",
        "members.none",
    )
    found = {path: explain(value, path) for path in paths}
    return as_json(
        {path: lines and [with_schema_text(text) for text in lines] for path, lines in found.items()}
    )


def operator_good() -> bytes:
    texts = input_sections("operator-good.in.cue")
    return as_json(
        {name: describe_operator(read_text(text, "f.cue").operator) for name, text in texts.items()}
    )


def operator_deployed() -> bytes:
    return as_json(describe_operator(read(ROOT / "deploy" / "operator.cue").operator))


def operator_error(make: Callable[[], object]) -> list[str]:
    """Return the lines of the error that an operator's file raises."""
    try:
        make()
    except OperatorError as error:
        return [with_schema_text(text) for text in str(error).splitlines()]
    return ["no error"]


def operator_broken() -> bytes:
    texts = input_sections("operator-broken.in.cue")
    return as_json({name: operator_error(partial(read_text, text, "f.cue")) for name, text in texts.items()})


def operator_file_errors() -> bytes:
    """Return the errors of reading the file, with its path replaced by FILE."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "operator.cue"
        found = {"missing": operator_error(partial(read, path))}
        contents = {
            "not-utf-8": b"members: {}\n// \xff\n",
            "too-long": b" " * (MOST_BYTES + 1),
            "too-deep": b"members: trace: " + b"(" * 3000 + b"1" + b")" * 3000,
        }
        for name, content in contents.items():
            path.write_bytes(content)
            found[name] = operator_error(partial(read, path))
        return as_json(
            {name: [text.replace(str(path), "FILE") for text in lines] for name, lines in found.items()}
        )


CASES: dict[str, Callable[[], bytes]] = {
    "operator-full.out.json": operator_full,
    "operator-shown.out.txt": operator_shown,
    "operator-explained.out.json": operator_explained,
    "operator-good.out.json": operator_good,
    "operator-deployed.out.json": operator_deployed,
    "operator-broken.out.json": operator_broken,
    "operator-file-errors.out.json": operator_file_errors,
}


@pytest.mark.parametrize("name", CASES)
def test_operator_files_read_and_print_as_recorded(name: str) -> None:
    check(CASES, name)


def test_full_operator_file_has_no_default_value() -> None:
    full = input_json("operator-full.out.json")
    default = input_json("operator-good.out.json")["sections-with-defaults"]
    default["fleet"]["limits"] = full["fleet"]["limits"]  # it has no defaults: below
    default["fleet"]["instances"] = {"one": default["fleet"]["instances"]["a"]}
    default["access"]["policies"] = [{**default["access"]["policies"][0], "token_required": False}]
    full["fleet"]["instances"] = {"one": full["fleet"]["instances"]["one"]}
    same = [path for path, differs in differences(full, default) if not differs]
    assert [path for path in same if not path.startswith(".fleet.limits.")] == []
    limits = full["fleet"]["limits"]
    assert all(limits[key] for key in limits) and all(limits["zones"]["coast"].values())


if __name__ == "__main__":
    record(CASES)

"""Golden tests of the operator file: its records, its printed and explained form, and its problems."""

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
    check_golden_file,
    compare_fields,
    input_bytes,
    input_json,
    input_sections,
    record_golden_files,
)

from stonecove.operator_config import records
from stonecove.operator_config.grammar import OperatorError
from stonecove.operator_config.reader import MAX_FILE_BYTES, explain, read, read_text, show


def describe_zookeeper(source: records.ZooKeeperSource) -> dict[str, object]:
    """Return the ZooKeeper source of the operator file under neutral keys."""
    return {
        "trust_rank": source.rank,
        "servers": [list(server) for server in source.servers],
        "path": source.path,
        "watch_mode": source.watches,
        "session_timeout_ms": source.session_timeout,
        "connect_timeout_ms": source.connect_timeout,
        "backoff": {
            "initial_ms": source.back_off.first,
            "max_ms": source.back_off.longest,
            "jitter": source.back_off.jitter,
        },
        "credentials": [{"scheme": credential.scheme, "file": credential.file} for credential in source.auth],
        "stale_after_ms": source.stale_for,
        "departure_linger_ms": source.linger,
        "return_grace_ms": source.return_within,
        "mass_departure": {
            "fraction": source.mass.share,
            "min_count": source.mass.least,
            "window_ms": source.mass.window,
        },
        "flap_damping": {
            "max_returns": source.flap.most,
            "window_ms": source.flap.window,
            "hold_ms": source.flap.hold,
            "max_hold_ms": source.flap.longest,
        },
        "max_record_bytes": source.most_bytes,
    }


def describe_presence(presence: records.Presence) -> dict[str, object]:
    """Return the router's own registration under neutral keys."""
    return {
        "path": presence.path,
        "name": presence.name,
        "shares_counted_from_list": presence.derived,
        "grow_after_ms": presence.grow,
        "shrink_after_ms": presence.shrink,
    }


def describe_instance(instance: records.FleetInstance) -> dict[str, object]:
    """Return one instance of a supervised fleet under neutral keys."""
    return {
        "config_file": instance.config,
        "listen": list(instance.listen),
        "cores": instance.cores,
        "memory_bytes": instance.memory,
        "max_sockets": instance.sockets,
        "operator_file": instance.operator,
    }


def describe_rate(settings: Mapping[str, Any]) -> dict[str, object]:
    """Return one rate limit under neutral keys."""
    limit = {"per_second": settings["rate"], "burst": settings["burst"]}
    return {**limit, **({"ceiling_per_second": settings["ceil"]} if "ceil" in settings else {})}


def describe_limits(settings: Mapping[str, Any]) -> dict[str, object]:
    """Return the rate limits of a fleet under neutral keys."""
    zones = {
        name: {
            **describe_rate(zone),
            "classes": {cls: describe_rate(limit) for cls, limit in zone.get("classes", {}).items()},
        }
        for name, zone in settings.get("zones", {}).items()
    }
    reserved = settings.get("floor")
    return {
        **describe_rate(settings),
        "reserved": {"class": reserved["class"], "fraction": reserved["part"]} if reserved else None,
        "zones": zones,
        "each_client": describe_rate(settings["client"]) if "client" in settings else None,
    }


def describe_fleet(fleet: records.Fleet) -> dict[str, object]:
    """Return the supervised fleet under neutral keys."""
    return {
        "folder": fleet.folder,
        "instances": {name: describe_instance(instance) for name, instance in fleet.instances.items()},
        "messages_between_instances": fleet.messages,
        "pin_to_cores": fleet.pin,
        "memory_bytes": fleet.memory,
        "ready_timeout_ms": fleet.ready_within,
        "stop_timeout_ms": fleet.stop_within,
        "restart_backoff": {"initial_ms": fleet.back_off.first, "max_ms": fleet.back_off.longest},
        "restart_limit": {"count": fleet.restarts.most, "window_ms": fleet.restarts.within},
        "health_checks": {
            "interval_ms": fleet.health.every,
            "timeout_ms": fleet.health.within,
            "max_failures": fleet.health.misses,
        },
        "rolling_restart_width": fleet.roll_out,
        "log": {"max_bytes": fleet.log.most_bytes, "kept_files": fleet.log.keep, "json": fleet.log.json},
        "leases": None
        if fleet.leases is None
        else {"window_ms": fleet.leases.window, "retained_fraction": fleet.leases.own},
        "limits": None if fleet.limits is None else describe_limits(fleet.limits),
        "tracing": None
        if fleet.tracing is None
        else {
            "sampling_ratio": fleet.tracing.ratio,
            "max_bytes": fleet.tracing.most_bytes,
            "kept_files": fleet.tracing.keep,
        },
    }


def describe_policy(settings: Mapping[str, Any]) -> dict[str, object]:
    """Return one access policy under neutral keys."""
    return {
        "path_prefix": settings["prefix"],
        "token_required": settings["token"],
        "token_formats": list(settings["formats"]),
        "methods": list(settings["methods"]),
        "audience": settings["audience"],
        "issuer": settings["issuer"],
        "clock_skew_ms": settings["skew"],
        "max_token_lifetime_ms": settings["longest"],
        "grace_ms": settings["grace"],
        "single_use": settings["once"],
        "site_required": settings["depot"],
        "subject_rate_per_s": settings["rate"],
        "subject_burst": settings["burst"],
        "subject_concurrency": settings["concurrent"],
        "edge_auth_name": settings["edge_name"],
        "edge_auth_default_key": settings["edge_key"],
        "served_first": settings["floor"],
    }


def describe_access(access: records.Access) -> dict[str, object]:
    """Return the access section under neutral keys."""
    return {
        "key_ring": access.ring,
        "revocation_list": access.revoked,
        "fastcgi_too": access.fastcgi,
        "remembered_tokens": access.seen,
        "signature_checks_per_s": access.checks,
        "policies": [describe_policy(policy) for policy in access.policies],
    }


def describe_http(http: records.Http) -> dict[str, object]:
    """Return the HTTP listener's section under neutral keys."""
    return {
        "listen": list(http.listen),
        "certificate_file": http.certificate,
        "key_file": http.key,
        "max_connections": http.connections,
    }


def describe_swarm(swarm: records.SwarmRecord) -> dict[str, object]:
    """Return the gossip section under neutral keys."""
    return {
        "name": swarm.name,
        "shares_counted_from_members": swarm.counted,
        "uncounted_share": swarm.own,
        "probe_period_ms": swarm.period,
        "probe_timeout_ms": swarm.answer,
        "indirect_probes": swarm.helpers,
        "min_suspicion_ms": swarm.suspicion,
        "share_lease_ms": swarm.lease,
        "refused_connection_proves_death": swarm.refusals_prove,
    }


def describe_configuration(configuration: records.ConfigurationRecord) -> dict[str, object]:
    """Return the settings reload section under neutral keys."""
    return {
        "reload_settings": configuration.settings,
        "path": configuration.path,
        "start_wait_ms": configuration.start_wait,
    }


def describe_operator(operator: records.Operator) -> dict[str, object]:
    """Return the whole operator file under neutral keys."""
    return {
        "change_log": {
            "trust_rank": operator.changelog.rank,
            "silent_after_ms": operator.changelog.silent_for,
        },
        "zookeeper": None if operator.zookeeper is None else describe_zookeeper(operator.zookeeper),
        "presence": None if operator.presence is None else describe_presence(operator.presence),
        "members": {
            "socket": operator.members.socket,
            "keep_last_list": operator.members.keep,
            "trace_lines": operator.members.trace,
            "batch_ms": operator.members.batch,
        },
        "fleet": None if operator.fleet is None else describe_fleet(operator.fleet),
        "access": None if operator.access is None else describe_access(operator.access),
        "http": None if operator.http is None else describe_http(operator.http),
        "gossip": None if operator.swarm is None else describe_swarm(operator.swarm),
        "configuration": None
        if operator.configuration is None
        else describe_configuration(operator.configuration),
    }


def with_schema_text(text: str) -> str:
    """Return a text in which each line number of the schema is replaced by the text of that line.

    The schema line that a problem names is part of the check; the number of lines before it is not.
    """
    schema = (ROOT / "stonecove" / "operator_config" / "schema.cue").read_text().splitlines()

    def schema_line(match: re.Match[str]) -> str:
        return "schema.cue:{" + " ".join(schema[int(match[1]) - 1].split()) + "}"

    return re.sub(r"schema\.cue:(\d+)", schema_line, text)


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
    explanations = {path: explain(value, path) for path in paths}
    return as_json(
        {path: lines and [with_schema_text(text) for text in lines] for path, lines in explanations.items()}
    )


def operator_good() -> bytes:
    texts = input_sections("operator-good.in.cue")
    return as_json(
        {name: describe_operator(read_text(text, "f.cue").operator) for name, text in texts.items()}
    )


def operator_deployed() -> bytes:
    return as_json(describe_operator(read(ROOT / "deploy" / "operator.cue").operator))


def operator_error(read_file: Callable[[], object]) -> list[str]:
    """Return the lines of the error that an operator file raises."""
    try:
        read_file()
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
        errors = {"missing": operator_error(partial(read, path))}
        contents = {
            "not-utf-8": b"members: {}\n// \xff\n",
            "too-long": b" " * (MAX_FILE_BYTES + 1),
            "too-deep": b"members: trace: " + b"(" * 3000 + b"1" + b")" * 3000,
        }
        for name, content in contents.items():
            path.write_bytes(content)
            errors[name] = operator_error(partial(read, path))
        return as_json(
            {name: [text.replace(str(path), "FILE") for text in lines] for name, lines in errors.items()}
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
def test_operator_file_results_match_the_golden_files(name: str) -> None:
    check_golden_file(CASES, name)


def test_full_operator_file_has_no_default_value() -> None:
    full = input_json("operator-full.out.json")
    default = input_json("operator-good.out.json")["sections-with-defaults"]
    default["fleet"]["limits"] = full["fleet"]["limits"]  # it has no defaults; checked separately below
    default["fleet"]["instances"] = {"one": default["fleet"]["instances"]["a"]}
    default["access"]["policies"] = [{**default["access"]["policies"][0], "token_required": False}]
    full["fleet"]["instances"] = {"one": full["fleet"]["instances"]["one"]}
    default_paths = [path for path, differs in compare_fields(full, default) if not differs]
    assert [path for path in default_paths if not path.startswith(".fleet.limits.")] == []
    limits = full["fleet"]["limits"]
    assert all(limits[key] for key in limits) and all(limits["zones"]["coast"].values())


if __name__ == "__main__":
    record_golden_files(CASES)

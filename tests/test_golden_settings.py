"""Compare the settings, the configuration, the deploy file and the log format with golden data."""

from __future__ import annotations

import ast
import contextlib
import io
import re
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest
import ujson
from golden_formats_cases import (
    ROOT,
    as_json,
    check_golden_file,
    compare_fields,
    describe_update,
    input_bytes,
    input_json,
    record_golden_files,
)

from stonecove.routing.settings import ClassSettings, DeduplicationScope, Idempotency, Settings
from stonecove.runtime.log import format_line, log, log_limited
from stonecove.server.config import Config, ConfigError, config_from, read_config, read_table
from stonecove.settings import read_settings, settings_from

IDEMPOTENCY_NAMES = {
    Idempotency.IDEMPOTENT: "idempotent",
    Idempotency.IDEMPOTENCY_KEY: "idempotency-key",
    Idempotency.NON_IDEMPOTENT: "non-idempotent",
}
DEDUPLICATION_SCOPE_NAMES = {
    DeduplicationScope.ALL: "all",
    DeduplicationScope.ZONE: "zone",
    DeduplicationScope.CELL: "cell",
}


# -- meanings --


def describe_class(request_class: ClassSettings) -> dict[str, object]:
    """Return a request class's settings under neutral keys."""
    return {
        "name": request_class.name,
        "priority_weight": request_class.priority_weight,
        "late_priority_weight": request_class.late_priority_weight,
        "latency_objective_ms": request_class.latency_objective_ms,
        "latency_objective_stretch": request_class.objective_stretch,
        "deadline_ms": request_class.deadline_ms,
        "idempotency": IDEMPOTENCY_NAMES[request_class.idempotency],
        "idempotency_key_scope": DEDUPLICATION_SCOPE_NAMES[request_class.deduplication_scope],
        "deduplication_window_ms": request_class.deduplication_window_ms,
        "fresh_ms": request_class.fresh_ms,
        "stale_ms": request_class.stale_ms,
        "stale_value": request_class.stale_priority_weight,
        "never_cached": request_class.never_cached,
    }


def describe_settings(settings: Settings) -> dict[str, object]:
    """Return the settings under neutral keys."""
    return {
        "classes": [describe_class(request_class) for request_class in settings.classes],
        "zone": settings.zone,
        "routers": settings.fleet_size,
        "routers_by_zone": list(settings.routers_by_zone),
        "zone_link_kb_per_s": list(settings.zone_link_kb_per_s),
        "client_kb_per_s": settings.client_kb_per_s,
        "parent_kind": settings.parent_kind,
        "origin_kind": settings.origin_kind,
        "caches_join_fills": settings.fill_joining_allowed,
        "nodes_have_weights": settings.weights_known,
        "bypass_allowed": settings.parent_bypass_allowed,
        "sibling_fills": settings.siblings,
        "slow_start_initial_fraction": settings.slow_start_initial_fraction,
        "slow_start_ms": settings.slow_start_ms,
        "overload_multiple": settings.overload_multiple,
        "overload_window_ms": settings.overload_window_ms,
        "parent_slow_start_initial_fraction": settings.parent_slow_start_initial_fraction,
        "parent_slow_start_ms": settings.parent_slow_start_ms,
        "parent_overload_multiple": settings.parent_overload_multiple,
        "purge_grace_ms": settings.purge_grace_ms,
        "purge_settled_ms": settings.purge_settled_ms,
        "drain_grace_ms": settings.drain_grace_ms,
        "max_attempts": settings.max_attempts,
        "hedging_allowed": settings.hedging_allowed,
        "cancellation_allowed": settings.cancellation_allowed,
        "health_checks_allowed": settings.health_checks_allowed,
        "retry_after_allowed": settings.retry_after_allowed,
        "max_retry_after_ms": settings.max_retry_after_ms,
        "connect_timeout_ms": settings.connect_timeout_ms,
        "load_report_fields": list(settings.load_report_fields),
        "endpoint_list_is_polled": settings.endpoint_list_polled,
        "zone_names": list(settings.zones),
        "node_kind_names": list(settings.kinds),
        "max_in_flight_requests": settings.max_open_requests,
        "max_streams_per_connection": settings.streams_per_connection,
        "connection_idle_ms": settings.connection_idle_ms,
        "connections_cost_the_fleet": settings.handshakes_priced,
        "messages_between_routers_allowed": settings.router_messages_allowed,
    }


def describe_config(config: Config) -> dict[str, object]:
    """Return the router's configuration under neutral keys."""
    return {
        "name": config.name,
        "listen": list(config.listen),
        "seed": config.seed,
        "max_sockets": config.sockets,
        "memory_mb": config.memory_mb,
        "cores": config.cores,
        "transfer_bytes_per_s": config.pace,
        "change_log": list(config.changelog),
        "change_log_position": config.last,
        "known": [describe_update(update) for update in config.known],
        "settings": describe_settings(config.settings),
        "settings_as_written": dict(config.table),
        "peers": list(config.peers),
        "peer_listen": config.peer_listen,
        "settings_version": config.version,
    }


# -- settings --


class TracedTable(dict[str, Any]):
    """A decoded JSON object that records which of its keys are read."""

    def __init__(self, table: Mapping[str, Any], path: str, read_keys: set[str]) -> None:
        super().__init__({key: traced(value, f"{path}{key}", read_keys) for key, value in table.items()})
        self._path, self._read_keys = path, read_keys

    def __getitem__(self, key: str) -> Any:
        self._read_keys.add(self._path + key)
        return super().__getitem__(key)

    def get(self, key: str, default: Any = None) -> Any:
        self._read_keys.add(self._path + key)
        return super().get(key, default)


def traced(value: Any, path: str, read_keys: set[str]) -> Any:
    """Return a decoded JSON value whose objects record which of their keys are read."""
    if isinstance(value, dict):
        return TracedTable(value, f"{path}." if path else "", read_keys)
    if isinstance(value, list):
        return [traced(item, f"{path}[]", read_keys) for item in value]
    return value


def keys_of(value: Any, path: str = "") -> Iterator[str]:
    """Yield the paths of all keys of decoded JSON."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield path + key
            yield from keys_of(inner, f"{path}{key}.")
    elif isinstance(value, list):
        for inner in value:
            yield from keys_of(inner, f"{path[:-1]}[].")


def settings_full() -> bytes:
    return as_json(describe_settings(read_settings(input_bytes("settings-full.in.json"))))


def settings_keys() -> bytes:
    read_keys: set[str] = set()
    settings_from(traced(input_json("settings-full.in.json"), "", read_keys))
    return as_json(sorted(read_keys))


def settings_variants() -> bytes:
    variants = input_json("settings-variants.in.json")
    return as_json({name: describe_settings(settings_from(table)) for name, table in variants.items()})


def settings_error(table: Any) -> str:
    """Return the text of the error that settings raise."""
    try:
        read_settings(table if isinstance(table, str) else ujson.dumps(table))
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        return str(error)
    return "no error"


def settings_broken() -> bytes:
    broken = input_json("settings-broken.in.json")
    return as_json({name: settings_error(table) for name, table in broken.items()})


# -- configuration --


def config_full() -> bytes:
    return as_json(describe_config(config_from(input_json("config-full.in.json"), {})))


def config_example() -> bytes:
    return as_json(describe_config(read_config({"RELAY_CONFIG": str(ROOT / "examples" / "config.json")})))


def config_variants() -> bytes:
    variants = input_json("config-variants.in.json")
    return as_json(
        {
            name: describe_config(config_from(variant["table"], variant["environment"]))
            for name, variant in variants.items()
        }
    )


def config_error(make: Callable[[], object]) -> str:
    """Return the text of the configuration error that is raised."""
    try:
        make()
    except ConfigError as error:
        return str(error)
    return "no error"


def config_broken() -> bytes:
    broken = input_json("config-broken.in.json")
    return as_json({name: config_error(partial(config_from, table, {})) for name, table in broken.items()})


def config_file_errors() -> bytes:
    """Return the errors of reading the file, with its path replaced by FILE."""
    errors = {"not-named": config_error(lambda: read_table({}))}
    errors["named-empty"] = config_error(lambda: read_table({"RELAY_CONFIG": ""}))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        environment = {"RELAY_CONFIG": str(path)}
        errors["missing"] = config_error(lambda: read_table(environment))
        contents = {
            "empty": b"",
            "cut-short": b'{"name": ',
            "list": b"[]",
            "number": b"5",
            "null": b"null",
            "not-utf-8": b'{"name": "\xff"}',
            "no-settings": b'{"name": "edge"}',
        }
        for name, content in contents.items():
            path.write_bytes(content)
            errors[name] = config_error(lambda: read_config(environment))
        path.unlink()
        path.mkdir()
        errors["folder"] = config_error(lambda: read_table(environment))
        return as_json({name: text.replace(str(path), "FILE") for name, text in errors.items()})


def environment_names() -> bytes:
    """Return the environment variables that the program's sources name in code."""
    names = set()
    for path in (ROOT / "stonecove").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                name = node.value
                if re.fullmatch(r"(RELAY|STONECOVE|NOTIFY|WATCHDOG)_[A-Z_]+", name):
                    names.add(name)
    return as_json(sorted(names))


# -- the deploy file --


def deploy_table() -> dict[str, Any]:
    """Return the deploy file as decoded TOML."""
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def deploy_commands() -> bytes:
    """Return the keys and commands of the deploy file, without the names of sources.

    The module that `sim` runs is one of these sources.
    """
    table = deploy_table()
    commands = {name: table[name] for name in ("build", "run")}
    commands["sim"], _, module = table["sim"].rpartition(" ")
    assert (ROOT / f"{module.replace('.', '/')}.py").is_file()
    return as_json({"keys": sorted(table), "commands": commands, "packages": table["packages"]})


def imported_modules(path: Path) -> Iterator[str]:
    """Yield the names that a source file imports anywhere and that may be modules of the package."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def source_of(module: str) -> Path | None:
    """Return the source file of a module of the package; None for any other name."""
    base = ROOT.joinpath(*module.split("."))
    for path in (base.with_suffix(".py"), base / "__init__.py"):
        if module.split(".")[0] == "stonecove" and path.is_file():
            return path
    return None


def reachable_sources(modules: list[str]) -> set[Path]:
    """Return the sources of these modules and of all that they import, also within functions."""
    sources: set[Path] = set()
    pending = list(modules)
    while pending:
        path = source_of(pending.pop())
        if path is not None and path not in sources:
            sources.add(path)
            pending += imported_modules(path)
    return sources


def modules_at_start() -> list[str]:
    """Return the package's modules that `python -m stonecove` has loaded when it reads its configuration."""
    program = (
        "import runpy, sys\n"
        "try:\n    runpy.run_module('stonecove', run_name='__main__')\n"
        "except SystemExit as end:\n    assert end.code == 2, end.code\n"
        "print(*[name for name in sys.modules if name.split('.')[0] == 'stonecove'])"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, env={}, capture_output=True, text=True, check=True
    )
    return process.stdout.split()


# -- the log --


def log_lines() -> bytes:
    """Return log lines with fields of every kind, at a fixed time."""
    fields: dict[str, object] = {
        "whole": 7,
        "fraction": 2.25,
        "large": 1e12,
        "word": "plain",
        "blank": "two words",
        "empty": "",
        "quoted": 'it\'s "so" said',
        "line": "a\nb",
        "accent": "caf\u00e9",
        "accent_blank": "caf\u00e9 noir",
        "yes": True,
        "none": None,
        "pair": ("a", 1),
    }
    with patch("time.time", return_value=1764576000.0625):
        lines = [format_line("event-name", {}), format_line("all", fields)]
        lines += [format_line("one", {name: value}) for name, value in fields.items()]
    return ("\n".join(lines) + "\n").encode()


def log_written() -> bytes:
    """Return the log on standard error; the lines of a rate-limited event are limited per second."""
    written = io.StringIO()
    with contextlib.redirect_stderr(written):
        for second in (1764576100.5, 1764576101.5, 1764576102.5):
            with patch("time.time", return_value=second):
                log("plain", at=second, why="no reason")
                for number in range(8 if second < 1764576101.0 else 2):
                    log_limited("golden-limited", number=number)
    return written.getvalue().encode()


CASES: dict[str, Callable[[], bytes]] = {
    "settings-full.out.json": settings_full,
    "settings-keys.out.json": settings_keys,
    "settings-variants.out.json": settings_variants,
    "settings-broken.out.json": settings_broken,
    "config-full.out.json": config_full,
    "config-example.out.json": config_example,
    "config-variants.out.json": config_variants,
    "config-broken.out.json": config_broken,
    "config-file-errors.out.json": config_file_errors,
    "environment-names.out.json": environment_names,
    "deploy-commands.out.json": deploy_commands,
    "log-lines.out.txt": log_lines,
    "log-written.out.txt": log_written,
}


@pytest.mark.parametrize("name", CASES)
def test_output_matches_golden_files(name: str) -> None:
    check_golden_file(CASES, name)


def test_full_settings_name_every_key_that_is_read() -> None:
    assert set(input_json("settings-keys.out.json")) == set(keys_of(input_json("settings-full.in.json")))


def test_full_settings_have_no_default_value() -> None:
    full = input_json("settings-full.out.json")
    default = input_json("settings-variants.out.json")["minimal"]
    assert [path for path, differs in compare_fields(full, default) if not differs] == []


def test_deploy_file_names_sources_that_exist() -> None:
    table = deploy_table()
    assert table["policy"] and table["node"]
    assert [path for path in table["policy"] + table["node"] if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("loaded", [True, False], ids=["loaded-at-start", "reachable-by-imports"])
def test_deploy_file_covers_the_sources_of_a_router(loaded: bool) -> None:
    modules = modules_at_start()
    assert len(modules) > 10
    paths = [source_of(name) for name in modules]
    sources = {path for path in paths if path} if loaded else reachable_sources(modules)
    table = deploy_table()
    listed = [ROOT / path for path in table["policy"] + table["node"]]
    package = ROOT / "stonecove" / "__init__.py"
    missing = {
        path
        for path in sources
        if path != package and not any(path.is_relative_to(listed_path) for listed_path in listed)
    }
    assert missing == set()


if __name__ == "__main__":
    record_golden_files(CASES)

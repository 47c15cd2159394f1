"""The configuration that the platform passes to the edge router at its start."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from stonecove.discovery import MembershipEvent
from stonecove.protocols.change_log import ChangeLogError, known_events
from stonecove.routing.settings import Settings
from stonecove.settings import settings_from

MIN_SOCKETS = 16


class ConfigError(Exception):
    """A configuration that can't be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration as typed values."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    cores: float
    pace: float  # bytes per second of one transfer; 0 if not stated
    changelog: tuple[str, int]
    last: int  # number of the last event in `known`
    known: tuple[MembershipEvent, ...]
    settings: Settings
    table: Mapping[str, Any]  # the settings as decoded, to which overlays of roll-outs are applied
    peers: tuple[str, ...] = ()  # addresses of the other routers, as configured
    peer_listen: str = ""
    version: int = 0  # of the settings, if the writer of the file numbers its changes; else 0


def parse_address(text: Any) -> tuple[str, int]:
    """Return host and port of an address; raises ConfigError."""
    host, separator, port = str(text).rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{text!r} is no address like 10.0.0.4:6565")
    return host, int(port)


def _version(value: Any) -> int:
    """Return a stated version, else 0: nothing depends on it, so an invalid one does not stop the start."""
    return value if isinstance(value, int) and not isinstance(value, bool) and value >= 0 else 0


def config_from(table: dict[str, Any], env: Mapping[str, str]) -> Config:
    """Return the typed configuration of a decoded file; raises ConfigError.

    The environment names the listening address and the router if the table does not.
    """
    try:
        settings = settings_from(table["settings"])
        peers = table.get("peers", ())
        limits, known = table.get("limits", {}), table.get("known", {})
        config = Config(
            name=str(table.get("name") or env.get("RELAY_NAME", "?")),
            listen=parse_address(table.get("listen") or env.get("RELAY_LISTEN", "")),
            seed=int(str(table.get("seed", "0")), 16),
            sockets=int(limits.get("sockets", 1024)),
            memory_mb=float(limits.get("memory_mb", 192)),
            cores=float(limits.get("cores", 1.0)),
            pace=float(table.get("flow_bytes_per_s", 0.0)),
            changelog=parse_address(table["changelog"]),
            last=int(known.get("seq", 0)),
            known=tuple(known_events(known, settings)),
            settings=settings,
            table=table["settings"],
            # only gossip uses these: an invalid list does not stop a router that has gossip turned off
            peers=tuple(map(str, peers)) if isinstance(peers, (list, tuple)) else (),
            peer_listen=str(table.get("peer_listen") or ""),
            version=_version(table.get("version")),
        )
    except KeyError as error:
        raise ConfigError(f"the configuration lacks {error}") from error
    except (TypeError, ValueError, AttributeError, ArithmeticError, ChangeLogError) as error:
        raise ConfigError(f"the configuration can't be used: {error}") from error
    if config.sockets < MIN_SOCKETS or not (config.memory_mb > 0 and config.cores > 0):
        raise ConfigError(
            f"no room to run in {config.sockets} sockets, {config.memory_mb:g} MB and {config.cores:g} cores"
        )
    return config


def read_table(env: Mapping[str, str] = os.environ) -> dict[str, Any]:
    """Return the JSON object in the file that RELAY_CONFIG names; raises ConfigError."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG names no configuration file")
    try:
        table = ujson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from error
    if not isinstance(table, dict):
        raise ConfigError(f"{path} holds no JSON object")
    return table


def read_config(env: Mapping[str, str] = os.environ) -> Config:
    """Return the configuration in the file that RELAY_CONFIG names; raises ConfigError."""
    return config_from(read_table(env), env)

"""The operator's settings as frozen records. Durations are in milliseconds, sizes in bytes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ChangeLogSource:
    """The platform's change log as one source."""

    rank: int
    silent_for: float


@dataclass(frozen=True, slots=True)
class BackOff:
    """Waits between attempts to connect."""

    first: float
    longest: float
    jitter: float


@dataclass(frozen=True, slots=True)
class Credential:
    """Who we are to the servers; the secret stays in its file until it is used."""

    scheme: str
    file: str


@dataclass(frozen=True, slots=True)
class Mass:
    """How many may depart without being confirmed."""

    share: float
    least: int
    window: float


@dataclass(frozen=True, slots=True)
class Flap:
    """How often a node may come back before it is damped."""

    most: int
    window: float
    hold: float
    longest: float


@dataclass(frozen=True, slots=True)
class ZooKeeperSource:
    """An ensemble, and the path below which boxes keep their nodes."""

    rank: int
    servers: tuple[tuple[str, int], ...]
    path: str
    watches: str
    session_timeout: float
    connect_timeout: float
    back_off: BackOff
    auth: tuple[Credential, ...]
    stale_for: float
    linger: float
    return_within: float
    mass: Mass
    flap: Flap
    most_bytes: int


@dataclass(frozen=True, slots=True)
class Presence:
    """The router's own node; an empty name: the one of the platform's configuration."""

    path: str
    name: str
    derived: bool
    grow: float
    shrink: float


@dataclass(frozen=True, slots=True)
class Members:
    """What is done with the merged list; an empty socket: none."""

    socket: str
    keep: bool
    trace: int
    batch: float


@dataclass(frozen=True, slots=True)
class FleetInstance:
    """One instance of a fleet; the configuration is a file as the platform gives one."""

    config: str
    listen: tuple[str, int]
    cores: float
    memory: int
    sockets: int
    operator: str


@dataclass(frozen=True, slots=True)
class Waits:
    """Waits between two starts."""

    first: float
    longest: float


@dataclass(frozen=True, slots=True)
class Restarts:
    """How many within a window, before an instance is held."""

    most: int
    within: float


@dataclass(frozen=True, slots=True)
class HealthChecks:
    """How often an instance is asked, and how often in a row it may not answer."""

    every: float
    within: float
    misses: int


@dataclass(frozen=True, slots=True)
class FleetLog:
    """Log files of the instances."""

    most_bytes: int
    keep: int
    json: bool


@dataclass(frozen=True, slots=True)
class FleetLeases:
    """Budgets that the instances of a host share; `own`: the part that stays with each, 0 for the usual."""

    window: float
    own: float


@dataclass(frozen=True, slots=True)
class Tracing:
    """Traces of requests; `ratio` of them, chosen by their ids."""

    ratio: float
    most_bytes: int
    keep: int


@dataclass(frozen=True, slots=True)
class Fleet:
    """Instances that one supervisor runs."""

    folder: str
    instances: dict[str, FleetInstance]
    messages: bool
    pin: bool
    memory: int
    ready_within: float
    stop_within: float
    back_off: Waits
    restarts: Restarts
    health: HealthChecks
    roll_out: int
    log: FleetLog
    leases: FleetLeases | None = None
    limits: dict[str, Any] | None = None  # as `fleet.lender.plan_of` reads it
    tracing: Tracing | None = None


@dataclass(frozen=True, slots=True)
class Access:
    """Signed URLs and tokens; policies as `lifecycle.access` reads them."""

    ring: str
    revoked: str
    fastcgi: bool
    seen: int
    checks: float
    policies: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Http:
    """The HTTP front; without a certificate, in the clear."""

    listen: tuple[str, int]
    certificate: str
    key: str
    connections: int


@dataclass(frozen=True, slots=True)
class SwarmRecord:
    """Membership among the routers; an empty name: the one of the platform's configuration."""

    name: str
    counted: bool
    own: float
    period: float
    answer: float
    helpers: int
    suspicion: float
    lease: float
    refusals_prove: bool


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """Changes of the settings while the router runs; an empty path: none are rolled out to it."""

    settings: bool
    path: str = ""
    start_wait: float = 2000.0


@dataclass(frozen=True, slots=True)
class Operator:
    """The whole file."""

    changelog: ChangeLogSource
    zookeeper: ZooKeeperSource | None
    presence: Presence | None
    members: Members
    fleet: Fleet | None = None
    access: Access | None = None
    http: Http | None = None
    swarm: SwarmRecord | None = None
    configuration: ConfigurationRecord | None = None


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _zookeeper(table: dict[str, Any]) -> ZooKeeperSource:
    return ZooKeeperSource(
        **{
            **table,
            "servers": tuple(map(_address, table["servers"])),
            "back_off": BackOff(**table["back_off"]),
            "auth": tuple(Credential(**one) for one in table["auth"]),
            "mass": Mass(**table["mass"]),
            "flap": Flap(**table["flap"]),
        }
    )


def _instance(table: dict[str, Any], listen: tuple[str, int]) -> FleetInstance:
    return FleetInstance(
        table["config"], listen, table["cores"], table["memory"], table["sockets"], table.get("operator", "")
    )


def _fleet(table: dict[str, Any]) -> Fleet:
    instances = {
        name: _instance(one, _address(one["listen"])) for name, one in table.get("instances", {}).items()
    }
    for name, group in table.get("groups", {}).items():
        for number in range(group["count"]):
            listen = (group["host"], group["first_port"] + number)
            instances[f"{name}-{number}"] = _instance(group, listen)
    return Fleet(
        **{
            **{field: value for field, value in table.items() if field not in ("instances", "groups")},
            "instances": instances,
            "back_off": Waits(**table["back_off"]),
            "restarts": Restarts(**table["restarts"]),
            "health": HealthChecks(**table["health"]),
            "log": FleetLog(**table["log"]),
            "leases": FleetLeases(**table["leases"]) if "leases" in table else None,
            "tracing": Tracing(**table["tracing"]) if "tracing" in table else None,
        }
    )


def _swarm(table: dict[str, Any]) -> SwarmRecord:
    return SwarmRecord(
        table.get("name", ""),
        table["shares"] == "counted",
        float(table["own"]),
        float(table["period"]),
        float(table["answer"]),
        table["helpers"],
        float(table["suspicion"]),
        float(table["lease"]),
        table["refusals"] == "prove",
    )


def _configuration(table: dict[str, Any]) -> ConfigurationRecord:
    return ConfigurationRecord(table["settings"], table.get("path", ""), float(table["start_wait"]))


def operator_of(table: dict[str, Any]) -> Operator:
    """The records of a table that the schema has passed."""
    sources, presence, members = table["sources"], table.get("presence"), table["members"]
    return Operator(
        changelog=ChangeLogSource(**sources["changelog"]),
        zookeeper=_zookeeper(sources["zookeeper"]) if "zookeeper" in sources else None,
        presence=None
        if presence is None
        else Presence(
            presence["path"],
            presence.get("name", ""),
            presence["shares"] == "derived",
            presence["grow"],
            presence["shrink"],
        ),
        fleet=_fleet(table["fleet"]) if "fleet" in table else None,
        access=Access(
            **{
                **table["access"],
                "revoked": table["access"].get("revoked", ""),
                "policies": tuple(table["access"]["policies"]),
            }
        )
        if "access" in table
        else None,
        http=Http(
            _address(table["http"]["listen"]),
            table["http"].get("tls", {}).get("certificate", ""),
            table["http"].get("tls", {}).get("key", ""),
            table["http"]["connections"],
        )
        if "http" in table
        else None,
        swarm=_swarm(table["swarm"]) if "swarm" in table else None,
        configuration=_configuration(table["configuration"]) if "configuration" in table else None,
        members=Members(
            members.get("socket", ""), members["nobody"] == "keep", members["trace"], members["batch"]
        ),
    )

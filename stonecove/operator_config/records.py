"""Typed records of the operator file. Durations are in milliseconds, sizes in bytes.

Fields have the names of the operator file, since most records are built from its tables by keyword.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ChangeLogSource:
    """The platform's change log as a source of endpoints.

    After `silent_for` without an event, its claims are no longer taken into account.
    """

    rank: int
    silent_for: float


@dataclass(frozen=True, slots=True)
class ReconnectBackOff:
    """First and longest delay between connection attempts, and their jitter."""

    first: float
    longest: float
    jitter: float


@dataclass(frozen=True, slots=True)
class Credential:
    """A credential for the ZooKeeper servers; the secret stays in its file until it is used."""

    scheme: str
    file: str


@dataclass(frozen=True, slots=True)
class MassDeparture:
    """Limits on departures within a window; a larger departure must be confirmed first."""

    share: float
    least: int
    window: float


@dataclass(frozen=True, slots=True)
class FlapDamping:
    """The number of returns of a node within a window above which it is suppressed."""

    most: int
    window: float
    hold: float
    longest: float


@dataclass(frozen=True, slots=True)
class ZooKeeperSource:
    """A ZooKeeper ensemble as a source of endpoints, and the path below which caches register."""

    rank: int
    servers: tuple[tuple[str, int], ...]
    path: str
    watches: str
    session_timeout: float
    connect_timeout: float
    back_off: ReconnectBackOff
    auth: tuple[Credential, ...]
    stale_for: float
    linger: float
    return_within: float
    mass: MassDeparture
    flap: FlapDamping
    most_bytes: int


@dataclass(frozen=True, slots=True)
class Presence:
    """The router's own registration; an empty name stands for that of the platform's configuration."""

    path: str
    name: str
    derived: bool
    grow: float
    shrink: float


@dataclass(frozen=True, slots=True)
class Members:
    """Handling of the merged endpoint list; an empty `socket` opens no socket."""

    socket: str
    keep: bool
    trace: int
    batch: float


@dataclass(frozen=True, slots=True)
class FleetInstance:
    """One instance of a fleet; `config` is the path of a configuration file in the platform's format."""

    config: str
    listen: tuple[str, int]
    cores: float
    memory: int
    sockets: int
    operator: str


@dataclass(frozen=True, slots=True)
class RestartBackOff:
    """First and longest delay between restarts of an instance."""

    first: float
    longest: float


@dataclass(frozen=True, slots=True)
class RestartLimit:
    """The number of restarts within a window after which an instance is suspended."""

    most: int
    within: float


@dataclass(frozen=True, slots=True)
class HealthChecks:
    """Interval and time-out of health checks, and the consecutive misses that are allowed."""

    every: float
    within: float
    misses: int


@dataclass(frozen=True, slots=True)
class FleetLog:
    """Size, rotation and format of the instances' log files."""

    most_bytes: int
    keep: int
    json: bool


@dataclass(frozen=True, slots=True)
class FleetLeases:
    """Budgets shared by the instances of a host; `own` is the fraction each retains, 0 for the default."""

    window: float
    own: float


@dataclass(frozen=True, slots=True)
class Tracing:
    """Request tracing; `ratio` is the fraction of requests traced, sampled by their ids."""

    ratio: float
    most_bytes: int
    keep: int


@dataclass(frozen=True, slots=True)
class Fleet:
    """The instances that one supervisor runs."""

    folder: str
    instances: dict[str, FleetInstance]
    messages: bool
    pin: bool
    memory: int
    ready_within: float
    stop_within: float
    back_off: RestartBackOff
    restarts: RestartLimit
    health: HealthChecks
    roll_out: int
    log: FleetLog
    leases: FleetLeases | None = None
    limits: dict[str, Any] | None = None  # parsed by `fleet.lender.plan_of`
    tracing: Tracing | None = None


@dataclass(frozen=True, slots=True)
class Access:
    """Signed URLs and tokens; `policies` are tables that `server.access` parses."""

    ring: str
    revoked: str
    fastcgi: bool
    seen: int
    checks: float
    policies: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Http:
    """The HTTP listener; without a certificate, it serves plain HTTP."""

    listen: tuple[str, int]
    certificate: str
    key: str
    connections: int


@dataclass(frozen=True, slots=True)
class SwarmRecord:
    """Gossip membership of the routers; an empty name stands for that of the platform's configuration."""

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
    """Reloading of settings at run time; with an empty path, the router takes part in no roll-out."""

    settings: bool
    path: str = ""
    start_wait: float = 2000.0


@dataclass(frozen=True, slots=True)
class Operator:
    """A complete operator file."""

    changelog: ChangeLogSource
    zookeeper: ZooKeeperSource | None
    presence: Presence | None
    members: Members
    fleet: Fleet | None = None
    access: Access | None = None
    http: Http | None = None
    swarm: SwarmRecord | None = None
    configuration: ConfigurationRecord | None = None


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _zookeeper_source(table: dict[str, Any]) -> ZooKeeperSource:
    return ZooKeeperSource(
        **{
            **table,
            "servers": tuple(map(_parse_address, table["servers"])),
            "back_off": ReconnectBackOff(**table["back_off"]),
            "auth": tuple(Credential(**credential) for credential in table["auth"]),
            "mass": MassDeparture(**table["mass"]),
            "flap": FlapDamping(**table["flap"]),
        }
    )


def _fleet_instance(table: dict[str, Any], listen: tuple[str, int]) -> FleetInstance:
    return FleetInstance(
        table["config"], listen, table["cores"], table["memory"], table["sockets"], table.get("operator", "")
    )


def _fleet(table: dict[str, Any]) -> Fleet:
    instances = {
        name: _fleet_instance(instance, _parse_address(instance["listen"]))
        for name, instance in table.get("instances", {}).items()
    }
    for name, group in table.get("groups", {}).items():
        for number in range(group["count"]):
            listen = (group["host"], group["first_port"] + number)
            instances[f"{name}-{number}"] = _fleet_instance(group, listen)
    return Fleet(
        **{
            **{field: value for field, value in table.items() if field not in ("instances", "groups")},
            "instances": instances,
            "back_off": RestartBackOff(**table["back_off"]),
            "restarts": RestartLimit(**table["restarts"]),
            "health": HealthChecks(**table["health"]),
            "log": FleetLog(**table["log"]),
            "leases": FleetLeases(**table["leases"]) if "leases" in table else None,
            "tracing": Tracing(**table["tracing"]) if "tracing" in table else None,
        }
    )


def _swarm_record(table: dict[str, Any]) -> SwarmRecord:
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


def _configuration_record(table: dict[str, Any]) -> ConfigurationRecord:
    return ConfigurationRecord(table["settings"], table.get("path", ""), float(table["start_wait"]))


def operator_from_table(table: dict[str, Any]) -> Operator:
    """Return the records of a table that has been validated against the schema."""
    sources, presence, members = table["sources"], table.get("presence"), table["members"]
    return Operator(
        changelog=ChangeLogSource(**sources["changelog"]),
        zookeeper=_zookeeper_source(sources["zookeeper"]) if "zookeeper" in sources else None,
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
            _parse_address(table["http"]["listen"]),
            table["http"].get("tls", {}).get("certificate", ""),
            table["http"].get("tls", {}).get("key", ""),
            table["http"]["connections"],
        )
        if "http" in table
        else None,
        swarm=_swarm_record(table["swarm"]) if "swarm" in table else None,
        configuration=_configuration_record(table["configuration"]) if "configuration" in table else None,
        members=Members(
            members.get("socket", ""), members["nobody"] == "keep", members["trace"], members["batch"]
        ),
    )

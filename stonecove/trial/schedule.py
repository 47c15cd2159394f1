"""Trial files: the participants of a trial and its faults, as frozen records. Durations are in seconds."""

from __future__ import annotations

import random
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import Any

from stonecove.operator_config.evaluate import value_at_path
from stonecove.operator_config.reader import read_source_text, validate_against_schema
from stonecove.operator_config.values import Diagnostics, Value
from stonecove.standins.loaded import ServerCapacity
from stonecove.trial.open_loop import ClientBehaviour

SCHEMA = "schema.cue"
TRANSFER_KB_PER_S = 4200.0  # rate of one transfer, as in the trials' settings
# Faults that need a duration.
LASTING_FAULTS = (
    "pause",
    "starve",
    "cut",
    "weather",
    "flood",
    "swallow",
    "down",
    "drain",
    "surge",
    "slow",
)
SERVER_FAULTS = ("reset", "swallow", "down")  # faults that need `of`
# Faults that need not name routers.
FAULTS_WITHOUT_ROUTERS = (
    "weather",
    "cold",
    "drain",
    "purge",
    "surge",
    "slow",
    *SERVER_FAULTS,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `ends`: its end in seconds, for faults that last."""

    at: float
    do: str
    who: tuple[int, ...]
    to: tuple[int, ...] = ()
    both: bool = True
    ends: float = 0.0
    lose: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)
    repeat: float = 0.0
    cache: int = 0
    of: tuple[str, ...] = ()
    shift: float = 0.0
    factor: float = 1.0

    def summary(self) -> str:
        """Return a one-line description for display."""
        routers = ",".join(map(str, self.who)) or "all ways"
        targets = f" {'and' if self.both else 'to'} {','.join(map(str, self.to))}" if self.to else ""
        targets = f" and {', '.join(self.of)}" if self.of else targets
        subject = f"cache {self.cache}" if self.do in ("cold", "drain") else routers
        subject = f"{routers} by {self.shift:+.1f} s" if self.shift else subject
        subject = f"{self.factor:g} times" if self.factor != 1.0 else subject
        duration = f" until {self.ends:.1f} s" if self.ends else ""
        return f"{self.at:.1f} s: {self.do} {subject}{targets}{duration}"


@dataclass(frozen=True, slots=True)
class Expects:
    """What has to hold besides the rules; None: not checked."""

    false_failed: int
    lost: int
    views: int | None
    joined_within: float | None
    amplification: float | None = None
    recovers_within: float | None = None
    valued: float | None = None


@dataclass(frozen=True, slots=True)
class Trial:
    """One trial: its participants, load, faults and expectations."""

    title: str
    routers: int
    caches: int
    lasts: float  # duration of the load
    joins: float  # time limit for all routers to join before the load
    rate: float  # requests per second
    writes: float  # fraction of requests with an effect
    kb: int  # work of a read
    window: float  # of the rule for cold caches
    swarm: bool  # whether the routers gossip
    twins: tuple[int, ...]  # routers that have the name of the first of them
    zones: int
    ahead: tuple[float, ...]  # by router: how far its clock is ahead at first
    open_loop: ClientBehaviour | None  # None: clients wait for an answer before the next request
    bears: ServerCapacity | None  # None: the servers' capacity is unlimited
    faults: tuple[Fault, ...]
    expects: Expects

    def zone(self, index: int) -> int:
        """Return the zone of that router or cache."""
        return 1 + index % self.zones

    @property
    def span(self) -> tuple[float, float]:
        """The start of the first fault and the end of the last, in seconds; 0.0 without any."""
        ends = [max(fault.at, fault.ends) for fault in self.faults]
        return min((fault.at for fault in self.faults), default=0.0), max(ends, default=0.0)

    @property
    def relayed(self) -> bool:
        """Whether faults affect connections to servers, so that these need relays."""
        return any(fault.of for fault in self.faults)


def read_trial(path: Path, seed: int) -> Trial:
    """Read a trial file; raise OperatorError with all errors. The same seed draws the same routers."""
    return trial_of(read_source_text(path), str(path), seed)


def trial_of(text: str, name: str, seed: int) -> Trial:
    """Parse the text of a trial file, as `read_trial` does; `name` is used in messages."""
    schema = resources.files("stonecove.trial").joinpath(SCHEMA).read_text()
    table, _ = validate_against_schema(text, name, schema, "#Trial", _check)
    rng = random.Random(seed)
    expects = table["expects"]

    def seconds(name: str) -> float | None:
        return expects[name] / 1000.0 if name in expects else None

    return Trial(
        table["title"], table["routers"], table["caches"], table["lasts"] / 1000.0,
        table["joins"] / 1000.0, float(table["rate"]), float(table["writes"]), table["kb"],
        table["window"] / 1000.0, table["swarm"], tuple(table["twins"]),
        table["zones"], tuple(ahead / 1000.0 for ahead in table["ahead"]),
        _client_behaviour(table), _server_capacity(table),
        tuple(sorted((_fault_of(fault, table, rng) for fault in table["faults"]),
                     key=lambda fault: fault.at)),
        Expects(expects["false_failed"], expects["lost"], expects.get("views"), seconds("joined_within"),
                expects.get("amplification"), seconds("recovers_within"), expects.get("valued")),
    )  # fmt: skip


def _client_behaviour(table: dict[str, Any]) -> ClientBehaviour | None:
    if (clients := table.get("crowd")) is None:
        return None
    return ClientBehaviour(
        clients["tries"],
        clients["patience"] / 1000.0,
        clients["heeds"],
        clients["items"],
        table["kb"],
        float(table["writes"]),
    )


def _server_capacity(table: dict[str, Any]) -> ServerCapacity | None:
    if (capacity := table.get("bears")) is None:
        return None
    return ServerCapacity(
        float(capacity["origin"]),
        table["kb"] / TRANSFER_KB_PER_S,
        capacity["places"],
        stop_s=capacity["stop"] / 1000.0,
    )


def _fault_of(table: dict[str, Any], trial: dict[str, Any], rng: random.Random) -> Fault:
    routers, of, to = trial["routers"], tuple(table.get("of", ())), tuple(table.get("to", ()))
    who = tuple(table.get("who", ())) or tuple(sorted(rng.sample(range(routers), table.get("some", 0))))
    if "zone" in table:
        who = tuple(
            router_index
            for router_index in range(routers)
            if 1 + router_index % trial["zones"] == table["zone"]
        )
    if of and not who:
        who = tuple(range(routers))
    if table["do"] == "cut" and not to and not of:
        to = tuple(router_index for router_index in range(routers) if router_index not in who)
    min_delay, max_delay = table["delay"]
    at_s = table["at"] / 1000.0
    ends_s = at_s + table["for"] / 1000.0 if "for" in table else 0.0
    return Fault(at_s, table["do"], who, to, table["both"], ends_s, table["lose"],
                 (min_delay / 1000.0, max_delay / 1000.0),
                 table["repeat"], table["cache"], of, (table["ahead"] - table["back"]) / 1000.0,
                 table["factor"])  # fmt: skip


def _check(table: dict[str, Any], value: Value, diagnostics: Diagnostics) -> None:
    """Check what the schema cannot: relations between several fields."""

    def report(path: str, text: str) -> None:
        location = value_at_path(value, path)
        diagnostics.add(location.at if location is not None else (), path, text)

    if unknown := [who for who in table["twins"] if who >= table["routers"]]:
        report("twins", f"names router {unknown[0]}, and there are {table['routers']}")
    for index, fault in enumerate(table["faults"]):
        path = f"faults[{index}]"
        router_indices = [*fault.get("who", ()), *fault.get("to", ())]
        if unknown := [who for who in router_indices if who >= table["routers"]]:
            report(path, f"names router {unknown[0]}, and there are {table['routers']}")
        if fault.get("some", 0) > table["routers"]:
            report(path, f"wants {fault['some']} of {table['routers']} routers")
        has_routers = fault.get("who") or fault.get("some") or fault.get("zone") or fault.get("of")
        if fault["do"] not in FAULTS_WITHOUT_ROUTERS and not has_routers:
            report(path, "tells neither who nor some")
        if fault.get("zone", 1) > table["zones"]:
            report(path, f"names zone {fault['zone']}, and there are {table['zones']}")
        if fault["do"] in SERVER_FAULTS and not fault.get("of"):
            report(path, f"{fault['do']} needs of: it breaks ways to servers")
        for name in fault.get("of", ()):
            if name not in _server_names(table):
                report(path, f"names {name}, and there are {', '.join(_server_names(table))}")
        if fault["do"] == "surge" and "crowd" not in table:
            report(path, "surge needs a crowd")
        if fault["do"] == "slow" and "bears" not in table:
            report(path, "slow needs bears: an origin with a pace")
        if fault["do"] == "clock" and fault["ahead"] == fault["back"]:
            report(path, "clock needs ahead or back")
        if fault["do"] in LASTING_FAULTS and "for" not in fault:
            report(path, f"{fault['do']} needs for: it would never end")
        if fault["at"] + fault.get("for", 0) > table["lasts"]:
            report(path, "is not over when the load ends")
        if fault["delay"][0] > fault["delay"][1]:
            report(path, "has a least delay above the most")
        if fault["do"] in ("cold", "drain") and fault["cache"] >= table["caches"]:
            report(path, f"names cache {fault['cache']}, and there are {table['caches']}")


def _server_names(table: dict[str, Any]) -> list[str]:
    return [*(f"cache-{index}" for index in range(table["caches"])),
            *(f"zone-{1 + zone}" for zone in range(table["zones"])), "parent", "origin", "log"]  # fmt: skip

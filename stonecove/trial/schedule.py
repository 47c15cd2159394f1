"""Trial files: who takes part and what breaks when, as frozen records. Durations are in seconds."""

from __future__ import annotations

import random
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import Any

from stonecove.operator_config.evaluate import value_at_path
from stonecove.operator_config.reader import read_source_text, validate_against_schema
from stonecove.operator_config.values import Diagnostics, Value
from stonecove.standins.loaded import Bears
from stonecove.trial.open_loop import ClientBehaviour

SCHEMA = "schema.cue"
PACE = 4200.0  # KB a second of one transfer, as in the trials' settings
LASTING = (
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
)  # that need an end
TO_SERVERS = ("reset", "swallow", "down")  # that need `of`
NOBODYS = ("weather", "cold", "drain", "purge", "surge", "slow", *TO_SERVERS)  # that need not tell who


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that breaks. `ends`: when it is over, for those that last."""

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
        """In a few words."""
        whom = ",".join(map(str, self.who)) or "all ways"
        to = f" {'and' if self.both else 'to'} {','.join(map(str, self.to))}" if self.to else ""
        to = f" and {', '.join(self.of)}" if self.of else to
        what = f"cache {self.cache}" if self.do in ("cold", "drain") else whom
        what = f"{whom} by {self.shift:+.1f} s" if self.shift else what
        what = f"{self.factor:g} times" if self.factor != 1.0 else what
        lasts = f" until {self.ends:.1f} s" if self.ends else ""
        return f"{self.at:.1f} s: {self.do} {what}{to}{lasts}"


@dataclass(frozen=True, slots=True)
class Expects:
    """What holds besides the rules; None: nothing is said."""

    false_failed: int
    lost: int
    views: int | None
    joined_within: float | None
    amplification: float | None = None
    recovers_within: float | None = None
    valued: float | None = None


@dataclass(frozen=True, slots=True)
class Trial:
    """One trial."""

    title: str
    routers: int
    caches: int
    lasts: float
    joins: float
    rate: float
    writes: float
    kb: int
    window: float
    swarm: bool
    twins: tuple[int, ...]
    zones: int
    ahead: tuple[float, ...]
    open_loop: ClientBehaviour | None  # None: clients wait for an answer before they ask again
    bears: Bears | None
    faults: tuple[Fault, ...]
    expects: Expects

    def zone(self, place: int) -> int:
        """In which zone that router, or that cache, stands."""
        return 1 + place % self.zones

    @property
    def span(self) -> tuple[float, float]:
        """When the first fault begins and when the last is over; 0.0 without any."""
        ends = [max(fault.at, fault.ends) for fault in self.faults]
        return min((fault.at for fault in self.faults), default=0.0), max(ends, default=0.0)

    @property
    def relayed(self) -> bool:
        """Whether ways to servers break, so that they need relays."""
        return any(fault.of for fault in self.faults)


def read_trial(path: Path, seed: int) -> Trial:
    """Reads a file; raises OperatorError with all that is wrong. The same seed draws the same routers."""
    return trial_of(read_source_text(path), str(path), seed)


def trial_of(text: str, name: str, seed: int) -> Trial:
    """The same for a text that is at hand."""
    schema = resources.files("stonecove.trial").joinpath(SCHEMA).read_text()
    table, _ = validate_against_schema(text, name, schema, "#Trial", _check)
    chooser = random.Random(seed)
    expects = table["expects"]

    def seconds(name: str) -> float | None:
        return expects[name] / 1000.0 if name in expects else None

    return Trial(
        table["title"], table["routers"], table["caches"], table["lasts"] / 1000.0,
        table["joins"] / 1000.0, float(table["rate"]), float(table["writes"]), table["kb"],
        table["window"] / 1000.0, table["swarm"], tuple(table["twins"]),
        table["zones"], tuple(ahead / 1000.0 for ahead in table["ahead"]),
        _open_loop(table), _bears(table),
        tuple(sorted((_fault(one, table, chooser) for one in table["faults"]),
                     key=lambda one: one.at)),
        Expects(expects["false_failed"], expects["lost"], expects.get("views"), seconds("joined_within"),
                expects.get("amplification"), seconds("recovers_within"), expects.get("valued")),
    )  # fmt: skip


def _open_loop(table: dict[str, Any]) -> ClientBehaviour | None:
    if (crowd := table.get("crowd")) is None:
        return None
    return ClientBehaviour(
        crowd["tries"],
        crowd["patience"] / 1000.0,
        crowd["heeds"],
        crowd["items"],
        table["kb"],
        float(table["writes"]),
    )


def _bears(table: dict[str, Any]) -> Bears | None:
    if (bears := table.get("bears")) is None:
        return None
    return Bears(float(bears["origin"]), table["kb"] / PACE, bears["places"], stop=bears["stop"] / 1000.0)


def _fault(table: dict[str, Any], trial: dict[str, Any], chooser: random.Random) -> Fault:
    routers, of, to = trial["routers"], tuple(table.get("of", ())), tuple(table.get("to", ()))
    who = tuple(table.get("who", ())) or tuple(sorted(chooser.sample(range(routers), table.get("some", 0))))
    if "zone" in table:
        who = tuple(place for place in range(routers) if 1 + place % trial["zones"] == table["zone"])
    if of and not who:
        who = tuple(range(routers))
    if table["do"] == "cut" and not to and not of:
        to = tuple(place for place in range(routers) if place not in who)
    low, high = table["delay"]
    at = table["at"] / 1000.0
    ends = at + table["for"] / 1000.0 if "for" in table else 0.0
    return Fault(at, table["do"], who, to, table["both"], ends, table["lose"], (low / 1000.0, high / 1000.0),
                 table["repeat"], table["cache"], of, (table["ahead"] - table["back"]) / 1000.0,
                 table["factor"])  # fmt: skip


def _check(table: dict[str, Any], value: Value, notes: Diagnostics) -> None:
    """What one field alone can't show."""

    def fault(path: str, text: str) -> None:
        found = value_at_path(value, path)
        notes.add(found.at if found is not None else (), path, text)

    if beyond := [who for who in table["twins"] if who >= table["routers"]]:
        fault("twins", f"names router {beyond[0]}, and there are {table['routers']}")
    for place, one in enumerate(table["faults"]):
        path = f"faults[{place}]"
        named = [*one.get("who", ()), *one.get("to", ())]
        if beyond := [who for who in named if who >= table["routers"]]:
            fault(path, f"names router {beyond[0]}, and there are {table['routers']}")
        if one.get("some", 0) > table["routers"]:
            fault(path, f"wants {one['some']} of {table['routers']} routers")
        told = one.get("who") or one.get("some") or one.get("zone") or one.get("of")
        if one["do"] not in NOBODYS and not told:
            fault(path, "tells neither who nor some")
        if one.get("zone", 1) > table["zones"]:
            fault(path, f"names zone {one['zone']}, and there are {table['zones']}")
        if one["do"] in TO_SERVERS and not one.get("of"):
            fault(path, f"{one['do']} needs of: it breaks ways to servers")
        for name in one.get("of", ()):
            if name not in _servers(table):
                fault(path, f"names {name}, and there are {', '.join(_servers(table))}")
        if one["do"] == "surge" and "crowd" not in table:
            fault(path, "surge needs a crowd")
        if one["do"] == "slow" and "bears" not in table:
            fault(path, "slow needs bears: an origin with a pace")
        if one["do"] == "clock" and one["ahead"] == one["back"]:
            fault(path, "clock needs ahead or back")
        if one["do"] in LASTING and "for" not in one:
            fault(path, f"{one['do']} needs for: it would never end")
        if one["at"] + one.get("for", 0) > table["lasts"]:
            fault(path, "is not over when the load ends")
        if one["delay"][0] > one["delay"][1]:
            fault(path, "has a least delay above the most")
        if one["do"] in ("cold", "drain") and one["cache"] >= table["caches"]:
            fault(path, f"names cache {one['cache']}, and there are {table['caches']}")


def _servers(table: dict[str, Any]) -> list[str]:
    return [*(f"cache-{place}" for place in range(table["caches"])),
            *(f"zone-{1 + zone}" for zone in range(table["zones"])), "parent", "origin", "log"]  # fmt: skip

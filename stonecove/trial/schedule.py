"""Trial files: who takes part and what breaks when, as frozen records. Durations are in seconds."""

from __future__ import annotations

import random
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import Any

from stonecove.operator.evaluate import at_path
from stonecove.operator.reader import checked, text_of
from stonecove.operator.values import Notes, Value

SCHEMA = "schema.cue"
LASTING = ("pause", "starve", "cut", "weather", "flood")  # faults that need an end


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

    def told(self) -> str:
        """In a few words."""
        whom = ",".join(map(str, self.who)) or "all ways"
        to = f" {'and' if self.both else 'to'} {','.join(map(str, self.to))}" if self.to else ""
        lasts = f" until {self.ends:.1f} s" if self.ends else ""
        return f"{self.at:.1f} s: {self.do} {f'cache {self.cache}' if self.do == 'cold' else whom}{to}{lasts}"


@dataclass(frozen=True, slots=True)
class Expects:
    """What holds besides the rules; None: nothing is said."""

    false_failed: int
    lost: int
    views: int | None
    joined_within: float | None


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
    faults: tuple[Fault, ...]
    expects: Expects


def read_trial(path: Path, seed: int) -> Trial:
    """Reads a file; raises OperatorError with all that is wrong. The same seed draws the same routers."""
    return trial_of(text_of(path), str(path), seed)


def trial_of(text: str, name: str, seed: int) -> Trial:
    """The same for a text that is at hand."""
    schema = resources.files("stonecove.trial").joinpath(SCHEMA).read_text()
    table, _ = checked(text, name, schema, "#Trial", _check)
    chooser = random.Random(seed)
    expects = table["expects"]
    within = expects.get("joined_within")
    return Trial(
        table["title"], table["routers"], table["caches"], table["lasts"] / 1000.0,
        table["joins"] / 1000.0, float(table["rate"]), float(table["writes"]), table["kb"],
        table["window"] / 1000.0, table["swarm"], tuple(table["twins"]),
        tuple(sorted((_fault(one, table["routers"], chooser) for one in table["faults"]),
                     key=lambda one: one.at)),
        Expects(expects["false_failed"], expects["lost"], expects.get("views"),
                None if within is None else within / 1000.0),
    )  # fmt: skip


def _fault(table: dict[str, Any], routers: int, chooser: random.Random) -> Fault:
    who = tuple(table.get("who", ())) or tuple(sorted(chooser.sample(range(routers), table.get("some", 0))))
    to = tuple(table.get("to", ()))
    if table["do"] == "cut" and not to:
        to = tuple(place for place in range(routers) if place not in who)
    low, high = table["delay"]
    at = table["at"] / 1000.0
    ends = at + table["for"] / 1000.0 if "for" in table else 0.0
    return Fault(at, table["do"], who, to, table["both"], ends, table["lose"], (low / 1000.0, high / 1000.0),
                 table["repeat"], table["cache"])  # fmt: skip


def _check(table: dict[str, Any], value: Value, notes: Notes) -> None:
    """What one field alone can't show."""

    def fault(path: str, text: str) -> None:
        found = at_path(value, path)
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
        if one["do"] not in ("weather", "cold") and not one.get("who") and not one.get("some"):
            fault(path, "tells neither who nor some")
        if one["do"] in LASTING and "for" not in one:
            fault(path, f"{one['do']} needs for: it would never end")
        if one["at"] + one.get("for", 0) > table["lasts"]:
            fault(path, "is not over when the load ends")
        if one["delay"][0] > one["delay"][1]:
            fault(path, "has a least delay above the most")
        if one["do"] == "cold" and one["cache"] >= table["caches"]:
            fault(path, f"names cache {one['cache']}, and there are {table['caches']}")

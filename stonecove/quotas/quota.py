"""Admission by token buckets that many routers share: the plan of the limits, and a router's side. No I/O.

A plan is a hierarchy fleet > zone > class > client (`buckets.Hierarchy`). The part `own` of every bucket,
over the number of holders, is each router's for good; the rest is one hierarchy at the lessor, whose tokens
are fetched ahead in small batches. A request takes a token that was fetched, else one of the router's own,
else it is refused at once with the name of the limit: nothing waits for the lessor.

- What is fetched follows what was asked lately, and is good for `TOKEN_LIFE`: a router that dies or falls
  idle takes little along. The sum of what is admitted is never above the plan's rates and bursts.
- A lessor that is gone leaves `own` of the rates.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from stonecove.quotas.buckets import Hierarchy

Path = tuple[str, str, str]  # zone, class, client

TOKEN_LIFE = 0.5  # seconds for which a fetched token is good
AHEAD = 2.0  # times what was asked for since the last look, so many tokens are kept
MOST_TOKENS = 256  # in one batch
MOST_PATHS = 4096  # paths for which tokens are kept; the one unused for longest goes
FORGET_AFTER = 20  # looks at a path without a request


class PlanError(ValueError):
    """Limits that can't be; the text names the place."""


@dataclass(frozen=True, slots=True)
class Limit:
    """`rate` requests a second of its own, `ceil` with what others leave, `burst` at once."""

    rate: float
    burst: float
    ceil: float

    def part(self, part: float) -> tuple[float, float, float]:
        """Rate, burst and ceil of this part of it."""
        return self.rate * part, max(1.0, self.burst * part), self.ceil * part


@dataclass(frozen=True, slots=True)
class Plan:
    """All limits of a fleet."""

    fleet: Limit
    floor: float = 0.0  # part of the fleet's rate that only `floor_class` may use
    floor_class: str = ""
    zones: tuple[tuple[str, Limit], ...] = ()
    classes: tuple[tuple[str, str, Limit], ...] = ()  # zone, class
    client: Limit | None = None  # of each client of a class; its ceil is a bound, nothing is set aside

    def hierarchy(self, part: float) -> Hierarchy:
        """The buckets of this part of the plan; raises PlanError for one that makes no sense."""
        self._check()
        try:
            made = Hierarchy(*self.fleet.part(part)[:2], self.floor, self.floor_class)
            for zone, limit in self.zones:
                made.set((zone,), *limit.part(part))
            for zone, cls, limit in self.classes:
                made.set((zone, cls), *limit.part(part))
            if self.client is not None:
                _, burst, ceil = self.client.part(part)
                made.each_client(burst, ceil)
        except ValueError as error:
            raise PlanError(str(error)) from None
        return made

    def _check(self) -> None:
        """Guards against rates that are promised twice: what is set aside below is within what is above."""
        free = self.fleet.rate * (1.0 - self.floor)
        if (zones := sum(limit.rate for _, limit in self.zones)) > free * (1 + 1e-9):
            raise PlanError(f"the zones' rates are {zones:g} in all, the fleet's without its floor {free:g}")
        for zone, limit in self.zones:
            classes = sum(one.rate for at, _, one in self.classes if at == zone)
            if classes > limit.rate * (1 + 1e-9):
                raise PlanError(
                    f"the rates of the classes of {zone} are {classes:g} in all, its own {limit.rate:g}"
                )

    def told(self) -> dict[str, Any]:
        """As JSON has it; `read` makes it a plan again."""

        def flat(limit: Limit) -> list[float]:
            return [limit.rate, limit.burst, limit.ceil]

        return {
            "fleet": flat(self.fleet),
            "floor": self.floor,
            "floor_class": self.floor_class,
            "zones": [[zone, *flat(limit)] for zone, limit in self.zones],
            "classes": [[zone, cls, *flat(limit)] for zone, cls, limit in self.classes],
            "client": flat(self.client) if self.client is not None else None,
        }

    @classmethod
    def read(cls, table: dict[str, Any]) -> Plan:
        """Raises PlanError."""
        try:
            return cls(
                Limit(*map(float, table["fleet"])),
                float(table["floor"]),
                str(table["floor_class"]),
                tuple((str(zone), Limit(*map(float, limit))) for zone, *limit in table["zones"]),
                tuple(
                    (str(zone), str(one), Limit(*map(float, limit))) for zone, one, *limit in table["classes"]
                ),
                Limit(*map(float, table["client"])) if table["client"] is not None else None,
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlanError(f"a plan that can't be read: {error}") from None


@dataclass(slots=True)
class _Purse:
    """Tokens that were fetched, and what was asked for of late."""

    tokens: float = 0.0
    until: float = 0.0
    asked: int = 0
    idle: int = 0
    out: bool = False  # a question is under way
    limit: str = ""  # what held the last batch back


class Quota:
    """One router's side."""

    def __init__(self, plan: Plan, part: float) -> None:
        """`part` of the plan is this router's own; raises PlanError."""
        self._own = plan.hierarchy(part)
        self._purses: OrderedDict[Path, _Purse] = OrderedDict()
        self.fetched = 0
        self._turn = 0  # where the next look begins

    def take(self, path: Path, now: float) -> str:
        """Takes a token for one request; empty if it may go, else the name of the limit that refuses."""
        credit = self._purses.get(path)
        if credit is None:
            if len(self._purses) >= MOST_PATHS:
                self._purses.popitem(last=False)
            credit = self._purses[path] = _Purse()
        else:
            self._purses.move_to_end(path)
        credit.asked += 1
        if credit.tokens >= 1.0 and now < credit.until:
            credit.tokens -= 1.0
            return ""
        limit = self._own.take(*path, now)
        return (credit.limit or limit) if limit else ""

    def wants(self, now: float) -> list[tuple[Path, int]]:
        """What is to be fetched, by path: as much as was asked for since the last look, and again."""
        found = []
        # Guards against the same paths coming first, and finding all that there is, at each look.
        paths = list(self._purses.items())
        self._turn = (self._turn + 7) % max(1, len(paths))
        for path, credit in paths[self._turn :] + paths[: self._turn]:
            asked, credit.asked = credit.asked, 0
            credit.idle = 0 if asked else credit.idle + 1
            if credit.idle > FORGET_AFTER:
                del self._purses[path]
                continue
            if now >= credit.until:
                credit.tokens = 0.0
            wanted = min(MOST_TOKENS, round(AHEAD * asked - credit.tokens))
            if wanted > 0 and not credit.out:
                credit.out = True
                found.append((path, wanted))
        return found

    def granted(self, path: Path, count: int, limit: str, asked_at: float, now: float) -> None:
        """A batch has come. Guards against a late one, and a clock that was set back."""
        credit = self._purses.get(path)
        if credit is None:
            return
        credit.out = False
        credit.limit = limit
        if not asked_at <= now < asked_at + TOKEN_LIFE:
            return
        if now >= credit.until:
            credit.tokens = 0.0
        credit.tokens += count
        credit.until = asked_at + TOKEN_LIFE
        self.fetched += count

    def lost(self) -> None:
        """The lessor is gone: nothing is under way."""
        for credit in self._purses.values():
            credit.out, credit.limit = False, ""

"""Admission by token buckets that many routers share: the plan of the limits, and a router's side. No I/O.

A plan is a hierarchy fleet > zone > class > client (`buckets.BucketHierarchy`). The unleased fraction of
every bucket, divided by the number of holders, is each router's own; the remainder is one hierarchy at the
lessor, whose tokens are fetched ahead in small batches. A request takes a fetched token, else one of the
router's own, else it is refused at once with the name of the limit: nothing waits for the lessor.

- What is fetched follows recent demand and is valid for `TOKEN_LIFETIME_S`, so a router that dies or falls
  idle takes few tokens with it. The sum of what is admitted never exceeds the plan's rates and bursts.
- Without the lessor, the unleased fraction of the rates remains.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from stonecove.quotas.buckets import BucketHierarchy

Path = tuple[str, str, str]  # zone, class, client

TOKEN_LIFETIME_S = 0.5  # how long a fetched token is valid
PREFETCH_FACTOR = 2.0  # tokens available ahead for each request since the last round of fetches
MAX_BATCH_TOKENS = 256
MAX_PREFETCH_PATHS = 4096  # paths with fetched tokens; the least recently used one is dropped
MAX_IDLE_ROUNDS = 20  # a path without a request for more rounds of fetches is dropped


class PlanError(ValueError):
    """Limits that are not possible; the text names the place."""


@dataclass(frozen=True, slots=True)
class Limit:
    """`rate` requests a second, `ceil` with what others leave unused, `burst` at once."""

    rate: float
    burst: float
    ceil: float

    def scaled(self, fraction: float) -> tuple[float, float, float]:
        """Return rate, burst and ceil of this fraction of the limit."""
        return self.rate * fraction, max(1.0, self.burst * fraction), self.ceil * fraction


@dataclass(frozen=True, slots=True)
class Plan:
    """All limits of a fleet."""

    fleet: Limit
    floor_fraction: float = 0.0  # fraction of the fleet's rate that only `floor_class` may use
    floor_class: str = ""
    zones: tuple[tuple[str, Limit], ...] = ()
    classes: tuple[tuple[str, str, Limit], ...] = ()  # zone, class
    client: Limit | None = None  # of each client of a class; only a bound, nothing is reserved

    def hierarchy(self, fraction: float) -> BucketHierarchy:
        """Return the buckets of this fraction of the plan; raise PlanError for an impossible plan."""
        self._validate()
        try:
            hierarchy = BucketHierarchy(
                *self.fleet.scaled(fraction)[:2], self.floor_fraction, self.floor_class
            )
            for zone, limit in self.zones:
                hierarchy.add_bucket((zone,), *limit.scaled(fraction))
            for zone, cls, limit in self.classes:
                hierarchy.add_bucket((zone, cls), *limit.scaled(fraction))
            if self.client is not None:
                _, burst, ceil = self.client.scaled(fraction)
                hierarchy.limit_each_client(burst, ceil)
        except ValueError as error:
            raise PlanError(str(error)) from None
        return hierarchy

    def _validate(self) -> None:
        """Raise PlanError if rates are promised twice: those below must fit into the one above."""
        free_rate = self.fleet.rate * (1.0 - self.floor_fraction)
        if (zones_rate := sum(limit.rate for _, limit in self.zones)) > free_rate * (1 + 1e-9):
            raise PlanError(
                f"the zones' rates are {zones_rate:g} in all, the fleet's without its floor {free_rate:g}"
            )
        for zone, limit in self.zones:
            classes_rate = sum(each.rate for class_zone, _, each in self.classes if class_zone == zone)
            if classes_rate > limit.rate * (1 + 1e-9):
                raise PlanError(
                    f"the rates of the classes of {zone} are {classes_rate:g} in all, its own {limit.rate:g}"
                )

    def to_table(self) -> dict[str, Any]:
        """Return the plan as JSON values; `read` reverses it."""

        def flat(limit: Limit) -> list[float]:
            return [limit.rate, limit.burst, limit.ceil]

        return {
            "fleet": flat(self.fleet),
            "floor": self.floor_fraction,
            "floor_class": self.floor_class,
            "zones": [[zone, *flat(limit)] for zone, limit in self.zones],
            "classes": [[zone, cls, *flat(limit)] for zone, cls, limit in self.classes],
            "client": flat(self.client) if self.client is not None else None,
        }

    @classmethod
    def read(cls, table: dict[str, Any]) -> Plan:
        """Return the plan in decoded JSON; raise PlanError for a malformed one."""
        try:
            return cls(
                Limit(*map(float, table["fleet"])),
                float(table["floor"]),
                str(table["floor_class"]),
                tuple((str(zone), Limit(*map(float, limit))) for zone, *limit in table["zones"]),
                tuple(
                    (str(zone), str(name), Limit(*map(float, limit)))
                    for zone, name, *limit in table["classes"]
                ),
                Limit(*map(float, table["client"])) if table["client"] is not None else None,
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlanError(f"a plan that can't be read: {error}") from None


@dataclass(slots=True)
class _FetchedTokens:
    """Tokens fetched for one path, and its recent demand."""

    tokens: float = 0.0
    expires_at_s: float = 0.0
    requested: int = 0  # since the last round of fetches
    idle_rounds: int = 0
    fetching: bool = False
    limit_name: str = ""  # the limit that withheld tokens of the last batch


class Quota:
    """Admit the requests of one router."""

    def __init__(self, plan: Plan, fraction: float) -> None:
        """Reserve `fraction` of the plan for this router alone; raise PlanError for an impossible plan."""
        self._local = plan.hierarchy(fraction)
        self._fetched: OrderedDict[Path, _FetchedTokens] = OrderedDict()
        self.fetched_count = 0
        self._first_index = 0  # of the path at which the next round of fetches begins

    def take(self, path: Path, now_s: float) -> str:
        """Take a token for one request; return "" if it is admitted, else the name of the limit reached."""
        fetched = self._fetched.get(path)
        if fetched is None:
            if len(self._fetched) >= MAX_PREFETCH_PATHS:
                self._fetched.popitem(last=False)
            fetched = self._fetched[path] = _FetchedTokens()
        else:
            self._fetched.move_to_end(path)
        fetched.requested += 1
        if fetched.tokens >= 1.0 and now_s < fetched.expires_at_s:
            fetched.tokens -= 1.0
            return ""
        limit_name = self._local.take(*path, now_s)
        return (fetched.limit_name or limit_name) if limit_name else ""

    def batches_to_fetch(self, now_s: float) -> list[tuple[Path, int]]:
        """Return how many tokens to fetch by path, in proportion to the requests since the last call."""
        batches = []
        # Each round begins at another path, or the same paths would come first and take all tokens each time.
        paths = list(self._fetched.items())
        self._first_index = (self._first_index + 7) % max(1, len(paths))
        for path, fetched in paths[self._first_index :] + paths[: self._first_index]:
            requested, fetched.requested = fetched.requested, 0
            fetched.idle_rounds = 0 if requested else fetched.idle_rounds + 1
            if fetched.idle_rounds > MAX_IDLE_ROUNDS:
                del self._fetched[path]
                continue
            if now_s >= fetched.expires_at_s:
                fetched.tokens = 0.0
            missing_count = min(MAX_BATCH_TOKENS, round(PREFETCH_FACTOR * requested - fetched.tokens))
            if missing_count > 0 and not fetched.fetching:
                fetched.fetching = True
                batches.append((path, missing_count))
        return batches

    def add_batch(self, path: Path, count: int, limit_name: str, requested_at_s: float, now_s: float) -> None:
        """Add a batch of tokens, unless it is late or the clock was set back since it was requested."""
        fetched = self._fetched.get(path)
        if fetched is None:
            return
        fetched.fetching = False
        fetched.limit_name = limit_name
        if not requested_at_s <= now_s < requested_at_s + TOKEN_LIFETIME_S:
            return
        if now_s >= fetched.expires_at_s:
            fetched.tokens = 0.0
        fetched.tokens += count
        fetched.expires_at_s = requested_at_s + TOKEN_LIFETIME_S
        self.fetched_count += count

    def abandon_fetches(self) -> None:
        """Forget the fetches under way after the lessor was lost."""
        for fetched in self._fetched.values():
            fetched.fetching, fetched.limit_name = False, ""

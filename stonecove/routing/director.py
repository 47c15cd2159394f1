"""All decisions of stonecove; its types, events and actions are in stonecove/interface.py.

A Director sees only its own traffic. The ordinary path is the design's: aged counts admit the top
set, density ranks it, a shared weighted rendezvous hash names the home cache and, over all parents,
the source of a fill. Everything else in here is for when that path breaks.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from stonecove.routing.events import (NOT_RUN, RETRIES, Action, Cancel, ClassSettings, Due, Effect, Ended, Event,
                                 Fail, Get, How, KeyGroup, Left, Listed, ListKind, Log, Node, NodeId,
                                 NodeState, Note, Outcome, Peers, Piece, Purged, Reconfigured, Refuse,
                                 Request, Settings, Terms, Timer, Want, Watch)

if TYPE_CHECKING:
    from stonecove.routing.leased_budget import LeasedCredit

# The design's open values.
TOP_SHARE = 0.9  # P_th: the top set is the most popular objects whose summed share first reaches it
HALF_LIFE = 4.0  # counts halve in this many warm-up times of a cache
TABLE_MOST = 20_000  # objects counted at most; the least popular half makes room
FRESH_FOR = 50  # requests after which a director trusts its own ranking
REBUILD_EVERY = 50  # requests between two rankings, more once there is much to rank
SPREAD_AT = 0.5  # an object with more than this part of one cache's fair share goes to one cache more
# Health and further attempts.
OVERDUE = 0.6  # an attempt is overdue after this part of the time within which its answer is wanted
LATE = 1.5  # and not before this multiple of what the pace felt there lets expect
SILENT_AFTER = 2  # overdue or failed attempts in a row, with no answer since, that eject a node
BREAK_MARK = 0.5  # what a broken connection counts; where a process has died, the next one is refused
SILENT_FOR = 3.0  # an overdue attempt counts once nothing was heard for this many connect time-outs
PAUSE = 4.0  # an ejected node is left alone for this many connect time-outs, then tried by one attempt
HEDGE_SHARE = 0.1  # second copies and retries earned by each request, so that overload is not multiplied
HEDGE_BURST = 20.0  # and how many may be saved up
# Crowds.
CROWDED = 0.65, 0.8  # crowded: the pace uses up this part of the wanted time, beside many directors or alone
FELT_FOR = 3.0  # the pace felt on a link is half forgotten after this many of the shortest wanted times
CHANCE = 2.0  # a director may exceed its share of a link by this many standard deviations of its own work
ORIGIN_PUSH = 1.25  # fetches asked of the origin for each that it answers; the rest spare it
STRAY = 3.0  # one fill tells of no more slowness than this: a few slow ones make no crowded link
DOUBT = 0.4  # and starts from full pace, with the weight of this part of one
FULL_PACE = 1.3  # an answer slower than this multiple of its sending time tells what a link can carry
LEARN = 0.1  # weight of one observation of that, and of one wait for a fill's first byte
FLOOR = 0.75  # each size of a class is to get this part of the class's answered share
KEPT_FOR = 1.0  # a copy that this director had kept is thought to be there for this many warm-up times
# Cold nodes and purges.
HEADROOM = 0.6  # part of a cold node's budget that is used: sizes are rough and directors uneven
EARLY = 0.5  # of its own part, left: a director asks for a piece of what is shared
PURGE_MARGIN = 1.5  # old copies are guarded against for this multiple of the time they may last
TICK = 0.001  # the least age: an age of 0 would mean the default

_MASK = (1 << 64) - 1
_UNSEEN = frozenset((Outcome.CONNECT_FAILED, Outcome.MOOT))
_SOURCE_NOTES = frozenset((Note.SOURCE_REFUSED, Note.SOURCE_BROKE, Note.SOURCE_LACKS))


@dataclass(slots=True)
class Counted:
    """What is known of one object."""

    size: float
    count: float = 0.0
    parts: int = 1


class Popularity:
    """Bounded, aged counts; from them the top set (admission) and the densities (ranks)."""

    def __init__(self, half_life: float = 1.0) -> None:
        self._half_life = max(half_life, 1.0)
        self._table: dict[int, Counted] = {}
        self._total = self._bytes = self._least = self._origin = 0.0
        self._seen, self._rebuild_at = 0, REBUILD_EVERY
        self._cuts = (math.inf, math.inf)

    def _weight(self, now: float) -> float:
        """What a request counts now; counts grow instead of ageing, so that nothing is rewritten often."""
        doublings = (now - self._origin) / self._half_life
        if doublings > 30 or not self._seen:
            self._rescale(2.0 ** -doublings if self._seen else 1.0)
            self._origin, doublings = now, 0.0
        return float(2.0 ** doublings)

    def _rescale(self, factor: float) -> None:
        for item in self._table.values():
            item.count *= factor
        self._total, self._bytes = self._total * factor, self._bytes * factor
        self._least *= factor

    def change(self, now: float, half_life: float) -> None:
        """Counts halve in another time from now on; what they are worth by now stays."""
        before, self._half_life = self._half_life, max(half_life, 1.0)
        self._origin = now - (now - self._origin) * (self._half_life / before)

    def note(self, now: float, key: int, size: float, part: int) -> None:
        weight = self._weight(now)
        item = self._table.get(key)
        if item is None:
            if len(self._table) >= TABLE_MOST:
                self._evict()
            item = self._table[key] = Counted(size)
        item.count += weight
        item.size += (size - item.size) / min(16, item.parts + 1) if size else 0.0
        item.parts = max(item.parts, part + 1)
        self._total += weight
        self._bytes += weight * size
        self._seen += 1
        if self._seen >= self._rebuild_at:
            self._rebuild_at = self._seen + max(REBUILD_EVERY, len(self._table) // 8)
            self._rebuild()

    def _evict(self) -> None:
        """Drops the less popular half; it stays in the total, or shares would be overstated."""
        kept = sorted(self._table, key=lambda key: (-self._table[key].count, key))[:TABLE_MOST // 2]
        self._table = {key: self._table[key] for key in kept}

    @staticmethod
    def _density(item: Counted) -> float:
        return item.count / (item.parts * max(item.size, 1.0))

    def _rebuild(self) -> None:
        """Finds the least count within the top set and the cuts between the ranks."""
        items = sorted(self._table.items(), key=lambda pair: (-pair[1].count, pair[0]))
        reached, kept = 0.0, []
        for _, item in items:
            kept.append(self._density(item))
            reached += item.count
            self._least = item.count
            if reached >= TOP_SHARE * self._total:
                break
        kept.sort(reverse=True)
        self._cuts = (kept[len(kept) // 3], kept[2 * len(kept) // 3])

    def fresh(self) -> bool:
        return self._seen < FRESH_FOR

    def admitted(self, key: int) -> bool:
        """Whether the object is in the top set."""
        item = self._table.get(key)
        return item is not None and item.count >= self._least

    def rank(self, key: int) -> int:
        """The rank at which a copy is kept; 0 passes it through."""
        if self.fresh():
            return 1
        if not self.admitted(key):
            return 0
        density = self._density(self._table[key])
        return 3 if density > self._cuts[0] else 2 if density > self._cuts[1] else 1

    def byte_share(self, key: int) -> float:
        """The part of all bytes that are asked of one part of an object of the top set."""
        item = self._table.get(key) if not self.fresh() and self.admitted(key) else None
        return item.count * item.size / item.parts / self._bytes if item and self._bytes > 0 else 0.0


def mix(value: int) -> int:
    """A 64-bit mix, the same at every director."""
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def unit(key: int, node: NodeId) -> float:
    """A number within (0, 1) that belongs to the pair."""
    return ((mix(key ^ mix(node)) >> 11) + 0.5) / (1 << 53)


def part_key(request: Request) -> int:
    """What names the home. Danger: all parts of a film on one cache; each is kept and filled on its own."""
    return mix(request.key + mix(request.part)) if request.part else request.key


class Rendezvous:
    """Weighted rendezvous hashing over some nodes; orders are cached until the list changes."""

    def __init__(self, nodes: Sequence[Node], weighted: bool) -> None:
        self.nodes = {node.node: node for node in nodes}
        self._weights = [(node.node, node.weight if weighted and node.weight > 0 else 1.0) for node in nodes]
        self.order = lru_cache(TABLE_MOST)(self._order)

    def _order(self, key: int) -> tuple[NodeId, ...]:
        scores = [(math.log(unit(key, node)) / weight, node) for node, weight in self._weights]
        return tuple(node for _, node in sorted(scores, reverse=True))


@dataclass(slots=True)
class Health:
    """What is known of one node in one role. Answers clear it, failures and silence in a row eject it."""

    heard: float = -math.inf
    marks: float = 0.0
    until: float = -math.inf
    broke: float = -math.inf  # when a connection broke last

    def good(self, now: float) -> None:
        self.heard, self.marks, self.until = now, 0, -math.inf

    def bad(self, now: float, sent: float, pause: float, marks: float = 1.0) -> bool:
        """An attempt sent then failed or is overdue; True if that ejects the node."""
        if sent <= self.heard:
            return False
        before, self.marks = self.marks, self.marks + marks
        if self.marks >= SILENT_AFTER and now >= self.until:
            self.until = now + pause
        return before < SILENT_AFTER <= self.marks

    def usable(self, now: float) -> bool:
        return now >= self.until

    def tried(self, now: float, pause: float) -> None:
        """An ejected node's pause is over and one attempt tries it; the others keep off meanwhile."""
        if self.marks >= SILENT_AFTER:
            self.until = now + pause


Healths = defaultdict[NodeId, Health]


class ColdBudget:
    """Danger: a cold node pushed over by all directors together. This director's share of what it bears."""

    def __init__(self, window: float) -> None:
        self._window = window
        self.sent: dict[NodeId, deque[list[float]]] = {}
        self.room: dict[NodeId, float] = {}  # what was left of the own part when it was last looked at
        self.own = 1.0  # part of the share that is spent without asking
        self.credit: LeasedCredit | None = None

    def change(self, cold_from: float, warm_up: float, multiple: float) -> None:
        """Other figures from now on. Danger: bookings that are forgotten, and so a second budget at once."""
        self._from, self._warm_up, self._multiple = cold_from, warm_up, multiple

    def present(self, now: float, started: float) -> float:
        """The least part of its capacity that the node has now; 1 once it is surely warm."""
        age = now - started
        if started <= 0 or age >= self._warm_up + self._window:
            return 1.0
        warmed = max(0.0, age - self._window) / max(self._warm_up, 1.0)
        return self._from + (1 - self._from) * min(1.0, warmed)

    def fits(self, now: float, node: Node, work: float, capacity: float, share: float) -> bool:
        """Whether work of so long a sending time may go there now. Capacity is in transfers at once."""
        if self.present(now, node.started) >= 1.0:
            self.sent.pop(node.node, None)
            return True
        sent = self.sent.setdefault(node.node, deque())
        while sent and sent[0][0] <= now - self._window:
            sent.popleft()
        own = self.own * share * self.rule(now, node, capacity)
        self.room[node.node] = own - sum(work for _, work in sent)
        return work <= self.room[node.node] or (
            self.credit is not None and work <= self.credit.left(now, node.node))

    def rule(self, now: float, node: Node, capacity: float) -> float:
        """The work that all directors together may send there within a window."""
        return self._multiple * self.present(now, node.started) * self._window * capacity * HEADROOM

    def lacks(self, now: float, node: Node, work: float, capacity: float, share: float) -> bool:
        """Whether it is time to ask for a piece."""
        early = EARLY * self.own * share * self.rule(now, node, capacity)
        return self.credit is not None and node.node in self.sent and (
            self.room.get(node.node, 0.0) < max(work, early) and self.credit.left(now, node.node) < 2 * work)

    def charge(self, now: float, node: NodeId, work: float) -> list[float]:
        """Books an attempt whatever its end, if the node is watched; returns the entry."""
        entry = [now, work]
        if node in self.sent and (self.credit is None or work <= self.room.get(node, 0.0)):
            self.sent[node].append(entry)
        elif node in self.sent and self.credit is not None:
            self.credit.spend(now, node, work)
        return entry


class Purges:
    """Danger: an answer from a copy older than a purge. Moments of purges until all copies have gone."""

    def __init__(self) -> None:
        self._lasts = self._wanted = 0.0
        self._moments: dict[tuple[int, int], float] = {}
        self._next_sweep = -math.inf

    def change(self, now: float, lasts: float) -> None:
        """Old copies last so long now, and those purged before for as long as they may; then it is swept."""
        if lasts != self._wanted:
            self._wanted, self._lasts = lasts, max(self._lasts, lasts)
            self._next_sweep = now + self._lasts

    def told(self, now: float, event: Purged) -> None:
        """Notes a purge of an object (group -1) or, with no object, of a group."""
        name = (event.key, -1) if event.key else (0, event.group)
        self._moments[name] = max(now - event.age, self._moments.get(name, -math.inf))
        if now >= self._next_sweep:
            self._lasts = self._wanted
            self._next_sweep = now + self._lasts
            self._moments = {n: m for n, m in self._moments.items() if m + self._lasts > now}

    def limit(self, now: float, key: int, group: int) -> float:
        """The oldest copy that will do now; infinite where nothing was purged lately."""
        moment = max(self._moments.get((key, -1), -math.inf), self._moments.get((0, group), -math.inf))
        return math.inf if now - moment >= self._lasts else max(now - moment - TICK, TICK)


@dataclass(slots=True)
class Load:
    """One link: this director's own work there, its part of what the link sends at once, the pace felt.

    Danger: a thin slice of the traffic; one's own work says little of a link that many directors fill.
    """

    carries: float
    room: float  # for chance, on top, as long as full pace is felt
    span: float  # the shortest wanted time
    out: int = 0
    work: float = 0.0
    took: float = 0.0
    sent: float = 0.0
    at: float = 0.0

    def _fade(self, now: float) -> float:
        return float(0.5 ** min(64.0, (now - self.at) / (FELT_FOR * self.span)))

    def slowed(self, now: float) -> float:
        """By how much transfers were slowed down lately."""
        fade, doubt = self._fade(now), DOUBT * self.span
        return (self.took * fade + doubt) / (self.sent * fade + doubt)

    def pace(self, now: float) -> float:
        """By how much one more transfer would be slowed down."""
        slowed = self.slowed(now)
        spare = self.room * min(1.0, max(0.0, 2.0 - slowed))
        return max(1.0, (self.out + 1) / (self.carries + spare), slowed)

    def change(self, before: tuple[float, float], after: tuple[float, float], span: float) -> None:
        """Size and share are others now; what was learned of what it carries stays in proportion."""
        told, self.room, self.span = Load.of(*before, span).carries, Load.of(*after, span).room, span
        self.carries = max(1.0, self.carries * (Load.of(*after, span).carries / told))

    @classmethod
    def of(cls, size: float, share: float, span: float) -> Load:
        """A director's part of a link for so many transfers at once."""
        part = size * share
        return cls(max(1.0, part), CHANCE * math.sqrt(part * (1 - share)), span)

    def learn(self, beside: int, slowed: float) -> None:
        """What is carried where no size is told: an answer was slowed down so much beside so many others."""
        if slowed >= FULL_PACE or beside > self.carries:
            self.carries += LEARN * (max(1.0, beside / max(slowed, 1.0)) - self.carries)

    def felt(self, now: float, took: float, work: float) -> None:
        """A transfer took so long for so much work."""
        fade = self._fade(now)
        self.took, self.sent, self.at = self.took * fade + took, self.sent * fade + work, now


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    node: NodeId
    source: NodeId
    sent: float
    due: float  # overdue from then on
    fills: bool  # a miss is likely
    budget: list[float]  # its entry in a cold parent's budget
    load: Load  # of its cache and its source, which may have left the list when it ends
    source_load: Load
    beside: int = 0  # this director's attempts at the cache when it was sent
    pending: bool = True
    may_have_run: bool = True
    overdue: bool = False


class Held:
    """The one record of a request that has no final answer yet."""

    def __init__(self, now: float, request: Request, cls: ClassSettings, work: float, mean: float) -> None:
        self.request, self.cls = request, cls
        self.told = mean > 0  # its size is, and so the mean work of its class
        self.tier = min(2, int(work / mean)) if self.told else 0  # 0: up to the mean, 1: up to twice that
        self.work, self.deadline = work, now + request.grace
        self.aim = min(cls.aim + cls.aim_stretch * work, cls.deadline)
        self.attempts: list[Attempt] = []
        self.missed = self.spares = False  # spares: the origin is not asked for it
        self.turned_away = False  # the origin did not take it on
        self.tried: set[NodeId] = set()
        self.bad_sources: set[NodeId] = set()

    def pending(self) -> int:
        return sum(attempt.pending for attempt in self.attempts)


class Director:
    """Decides for one director. handle() takes one event and returns the actions it leads to."""

    def __init__(self, settings: Settings, entropy: int) -> None:
        if not settings.classes:
            raise ValueError("settings lack 'classes'")
        self._random = random.Random(entropy)
        self._out: list[Action] = []
        self._listed: dict[NodeId, Node] = {}
        self._popularity = Popularity()
        self._cache_health, self._source_health = Healths(Health), Healths(Health)
        self._cold_caches, self._cold_parents = (ColdBudget(settings.fall_window) for _ in range(2))
        self._purges = Purges()
        self._held: dict[int, Held] = {}
        self._loads: dict[NodeId, Load] = {}
        self._wait = 0.0  # how long fills lately waited for their first byte; a failed one, its wanted time
        self._copies: dict[tuple[int, int, NodeId], float] = {}
        self._mean_work: list[list[float]] = []  # how many, and their mean: the aim, until one is known
        self._answered: list[list[float]] = []  # shares of late: of three sizes, and of all
        self._hedges = self._burst = HEDGE_BURST
        self._credit: LeasedCredit | None = None
        self._take_over(0.0, settings)
        self._origin = Load.of(1.0, 1.0, self._shortest)  # fetches asked of it against those it answered
        self._link = Load.of(self._link_size, self._zone_share, self._shortest)
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            Listed: self._on_list, Request: self._on_request, Ended: self._on_end, Left: self._on_left,
            Due: self._on_due, Purged: self._purges.told, Peers: self._on_settings,
            Terms: self._on_terms, Piece: self._on_piece, Reconfigured: self._on_settings}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Takes one event; returns what is to be done, in order. Streams go on by themselves."""
        self._out = []
        if handler := self._handlers.get(type(event)):
            handler(now, event)
        return self._out

    def _take_over(self, now: float, settings: Settings) -> None:
        """All that follows from the settings; what is learned is kept."""
        self._set = settings
        self._pace = settings.client_pace if settings.client_pace > 0 else math.inf
        self._shortest = max(TICK, min(cls.aim for cls in settings.classes))
        self._pause = PAUSE * max(settings.connect_timeout, 1.0)
        zone, links, directors = settings.zone, settings.zone_link, settings.zone_directors
        self._zone_share = 1.0 / max(1, directors[zone] if 0 <= zone < len(directors) else settings.fleet)
        self._crowded_at = CROWDED[0] + (CROWDED[1] - CROWDED[0]) * self._zone_share  # others add work unseen
        self._link_size = (links[zone] if 0 <= zone < len(links) else 0.0) / self._pace  # transfers at once
        self._popularity.change(now, HALF_LIFE * max(settings.warm_up, settings.purge_done))
        self._cold_caches.change(settings.cold_from, settings.warm_up, settings.fall_multiple)
        self._cold_parents.change(settings.parent_cold_from, settings.parent_warm_up,
                                  settings.parent_fall_multiple)
        self._purges.change(now, settings.purge_done * PURGE_MARGIN + settings.purge_grace)
        known = {kind: mean for kind, mean in enumerate(self._mean_work) if mean[0]}
        self._mean_work = [known.get(kind, [0.0, cls.aim]) for kind, cls in enumerate(settings.classes)]
        self._answered += [[1.0] * 4 for _ in settings.classes[len(self._answered):]]
        self._rings()

    def _on_settings(self, now: float, event: Reconfigured | Peers) -> None:
        """Other settings, or other numbers of directors, hold from now on. Open requests keep their class."""
        settings = event.settings if isinstance(event, Reconfigured) else replace(
            self._set, fleet=event.fleet, zone_directors=event.by_zone)
        nodes = [self._listed[node] for node in self._loads if node in self._listed]
        link, bears = (self._link_size, self._zone_share), [self._bears(node) for node in nodes]
        self._take_over(now, settings)
        self._link.change(link, (self._link_size, self._zone_share), self._shortest)
        for node, before in zip(nodes, bears, strict=True):
            self._loads[node.node].change(before, self._bears(node), self._shortest)
        self._origin.span = self._shortest

    def _on_terms(self, now: float, event: Terms) -> None:
        """A part of what cold nodes bear, and of retries, is ours; the rest comes in pieces."""
        from stonecove.routing.leased_budget import LeasedCredit  # only where directors share

        self._credit = self._cold_caches.credit = self._cold_parents.credit = self._credit or LeasedCredit()
        self._cold_caches.own = self._cold_parents.own = event.own
        self._burst = max(1.0, HEDGE_BURST * event.retries)
        self._hedges = min(self._hedges, self._burst)

    def _on_piece(self, now: float, event: Piece) -> None:
        if self._credit is not None:
            self._credit.add(now, event)
            self._out += self._credit.over
            self._credit.over.clear()

    def _want(self, now: float, cold: ColdBudget, node: Node, work: float) -> None:
        """Asks for a piece in time, whether or not there is still room."""
        size, share = self._bears(node)
        if cold.lacks(now, node, work, size, share):  # with by how much the rule rises within a second
            rule, later = cold.rule(now, node, size), cold.rule(now + 1000.0, node, size)
            self._out.append(Want(node.node, work, rule, later - rule, share, cold is self._cold_caches))

    def _on_list(self, now: float, event: Listed) -> None:
        if event.form is ListKind.FAILED:
            return
        if event.form is not ListKind.DELTA:
            self._listed = {}
            if event.form is ListKind.CACHED and self._set.list_by_asking:
                self._out.append(Watch())
        for node in event.nodes:
            known = self._listed.get(node.node)
            if known is not None and node.started != known.started:
                self._cache_health.pop(node.node, None)
                self._source_health.pop(node.node, None)
            self._listed[node.node] = node
        self._listed = {key: node for key, node in self._listed.items() if node.state is not NodeState.GONE}
        self._forget(now)
        self._rings()

    def _forget(self, now: float) -> None:
        """Danger: tables that grow for ever; a cold node that is back within a window, to a second budget."""
        for cold in (self._cold_caches, self._cold_parents):
            since = now - self._set.fall_window
            cold.sent = {n: s for n, s in cold.sent.items() if n in self._listed or s and s[-1][0] > since}
        tables: list[dict[NodeId, Any]] = [self._cache_health, self._source_health, self._loads,
                                           self._cold_caches.room, self._cold_parents.room]
        tables += [self._credit.pieces] if self._credit is not None else []
        for table in tables:
            for node in [node for node in table if node not in self._listed and node != RETRIES]:
                del table[node]

    def _rings(self) -> None:
        """Sorts the ready nodes by role."""
        parent, origin, weighted = self._set.parent_kind, self._set.origin_kind, self._set.weighted
        ready = sorted(n for n in self._listed.values() if n.state is NodeState.READY)
        self._origins = [n.node for n in ready if n.kind == origin]
        self._parents = Rendezvous([n for n in ready if n.kind == parent], weighted)
        self._caches = Rendezvous(
            [n for n in ready if n.kind not in (parent, origin) and n.zone == self._set.zone], weighted)

    def _on_request(self, now: float, event: Request) -> None:
        if not 0 <= event.kind < len(self._set.classes):
            self._out.append(Refuse(event.req, 0.0))
            return
        cls = self._set.classes[event.kind]
        if told := event.size / self._pace * 1000.0:
            self._learn_work(event.kind, told)
        mean = self._mean_work[event.kind]
        held = Held(now, event, cls, told or mean[1] * (mean[0] > 0), mean[1] * (told > 0))
        self._hedges = min(self._burst, self._hedges + HEDGE_SHARE)
        if not cls.never_kept:
            self._popularity.note(now, event.key, event.size, event.part)
        self._held[event.req] = held
        # Danger: an origin that is asked for more than it can do, and stops. Settled once for all attempts.
        held.spares = not cls.never_kept and self._random.random() * self._origin.slowed(now) > ORIGIN_PUSH
        if not self._try(now, held):
            self._give_up(held)

    def _learn_work(self, kind: int, work: float) -> None:
        """What a request of the class is like; all that is known of those whose size nobody tells."""
        mean = self._mean_work[kind]
        mean[0] += 1
        mean[1] += (work - mean[1]) / min(mean[0], 1000.0)

    def _try(self, now: float, held: Held, look: bool = False) -> bool:
        """Sends the request to the first cache and source that will do; False if there is none.

        Danger: the location's link in is crowded; then a cache is only asked, once, for what it holds.
        """
        look = not held.cls.never_kept and (look or self._link_crowded(now, held))
        if held.missed and (look or held.spares):
            return False
        return any(self._leave(now, held, node, source) for node in self._cache_choices(now, held)
                   for source in ((node,) if look else self._source_choices(now, held, node)))

    def _cache_choices(self, now: float, held: Held) -> Iterator[NodeId]:
        """The home, spread for a hot object, then the rest in hash order; doubtful caches come last."""
        key, caches = part_key(held.request), self._caches
        order = caches.order(key)
        good = [node for node in order if node not in held.tried
                and self._fit(now, key, node, caches, self._cache_health, self._cold_caches)]
        spread = self._spread(held.request.key, len(order))
        if spread > 1 and len(good) > 1:
            loads = {node: self._load(node) for node in good[:spread]}
            good[:spread] = sorted(loads, key=lambda node: loads[node].work / loads[node].carries)
        # Danger: one cache's link is crowded while its neighbours idle; bounded loads walk on.
        yield from (node for node in good if not self._crowded(now, held, node))
        # Danger: work refused beside caches that warm and have room; their budgets bound what they get.
        yield from (node for node in order if node not in good and node not in held.tried
                    and self._cache_health[node].usable(now) and not self._crowded(now, held, node))
        if not good:
            yield from sorted(order, key=lambda node: node in held.tried)

    def _crowded(self, now: float, held: Held, node: NodeId) -> bool:
        """Whether the answer would come too late even from a copy."""
        return held.work * self._load(node).pace(now) > self._bearable(held)

    def _bearable(self, held: Held) -> float:
        """Danger: large ones, or all of a class, that would be late wherever they went, and never go."""
        shares = self._answered[held.request.kind]
        if shares[held.tier] < FLOOR * shares[-1]:
            return self._crowded_at * held.request.grace
        return max(self._crowded_at * held.aim, FULL_PACE * held.work)

    def _count(self, held: Held, answered: bool) -> None:
        shares = self._answered[held.request.kind]
        for place in (held.tier, -1):
            shares[place] += LEARN * (answered - shares[place])

    def _link_crowded(self, now: float, held: Held) -> bool:
        """Whether the answer would come too late if it had to be filled."""
        late = self._wait + held.work * self._link.pace(now) > self._bearable(held)
        self._wait *= 1 - LEARN * late  # each request held off lets the next ones try a little sooner
        return late

    def _has_copy(self, now: float, held: Held, node: NodeId) -> bool:
        """Whether the cache probably holds the object, as this director had it kept there lately."""
        request = held.request
        since = self._copies.get((request.key, request.part, node), -math.inf)
        lasts = min(KEPT_FOR * self._set.warm_up, self._purges.limit(now, request.key, request.group))
        return now - since <= lasts and since >= self._caches.nodes[node].started

    def _spread(self, key: int, caches: int) -> int:
        """Over how many caches an object of the top set goes, by its heat against a cache's fair share."""
        return 1 + int(self._popularity.byte_share(key) * caches / SPREAD_AT)

    @staticmethod
    def _fit(now: float, key: int, node: NodeId, ring: Rendezvous, health: Healths, cold: ColdBudget) -> bool:
        """Whether the node is healthy and, while it warms, takes this object already."""
        if not health[node].usable(now):
            return False
        present = cold.present(now, ring.nodes[node].started)
        return present >= 1.0 or unit(~key & _MASK, node) < present

    def _source_choices(self, now: float, held: Held, node: NodeId) -> Iterator[NodeId]:
        """The home parent and the next ones in hash order, the origin last."""
        key, parents = held.request.key, self._parents
        order = () if held.cls.never_kept else parents.order(key)
        good = [parent for parent in order if parent not in held.bad_sources
                and self._fit(now, key, parent, parents, self._source_health, self._cold_parents)]
        yield from sorted(good + self._origins, key=lambda source: self._crowded(now, held, source))
        yield from (parent for parent in order if parent not in good)
        yield node

    def _leave(self, now: float, held: Held, node: NodeId, source: NodeId) -> bool:
        """Every attempt leaves here, where the five rules are kept; False if they forbid this one."""
        request, settings = held.request, self._set
        cache = self._caches.nodes.get(node)
        if cache is None or request.req not in self._held or now >= held.deadline:
            return False  # drains (the ring holds ready nodes only) and final answers
        parent = self._parents.nodes.get(source)
        if len(held.attempts) >= settings.most_attempts or not self._may_repeat(now, held, cache) or (
                parent is None and source not in self._origins and source != node):
            return False
        work = self._mean_work[request.kind][1]
        for cold, one, load in ((self._cold_caches, cache, work), (self._cold_parents, parent, held.work)):
            fits = one is None or cold.fits(now, one, load, *self._bears(one))
            if one is not None and self._credit is not None:
                self._want(now, cold, one, load)
            if not fits:
                return False
        self._cold_caches.charge(now, node, work)
        entry = self._cold_parents.charge(now, source, held.work)
        for table, name in ((self._cache_health, node), (self._source_health, source)):
            table[name].tried(now, self._pause)
        fills = source != node and not self._has_copy(now, held, node)
        expected = held.work * self._load(node).pace(now) + (self._wait if fills else 0.0)
        due = now + max(OVERDUE * held.aim, (LATE if held.told else STRAY) * expected)
        self._begin(held, Attempt(node, source, now, due, fills, entry, self._load(node), self._load(source)))
        keep = 0 if held.cls.never_kept else self._popularity.rank(request.key)
        self._out.append(Get(request.req, node, held.deadline, source, keep, *self._copy_wanted(now, held)))
        if due < held.deadline:
            self._out.append(Timer(request.req, due))
        return True

    def _load(self, node: NodeId) -> Load:
        if node not in self._loads:
            size, share = self._bears(self._listed[node]) if node in self._listed else (1.0, 1.0)
            self._loads[node] = Load.of(size, share, self._shortest)
        return self._loads[node]

    def _may_repeat(self, now: float, held: Held, cache: Node) -> bool:
        """Danger: an effect that happens twice."""
        if held.pending() and not self._set.second_copies:
            return False
        first = next((attempt for attempt in held.attempts if attempt.may_have_run), None)
        if held.cls.effect is Effect.SAFE or first is None:
            return True
        if held.cls.effect is Effect.UNSAFE or now - first.sent >= held.cls.window:
            return False
        group, other = held.cls.group, self._listed.get(first.node)
        if other is None or group is KeyGroup.ALL:
            return group is KeyGroup.ALL or cache.node == first.node
        return cache.zone == other.zone if group is KeyGroup.ZONE else cache.cell == other.cell

    def _copy_wanted(self, now: float, held: Held) -> tuple[float, int]:
        """The oldest copy that will do, and how to fill. A repeat, or one to spare the origin, takes old."""
        cls, request = held.cls, held.request
        limit = self._purges.limit(now, request.key, request.group)
        how = int(How.HELD_ONLY) if held.spares else int(How.RENEW) if cls.fresh > 0 else 0
        if self._set.joins and limit == math.inf and len(held.attempts) <= 1:
            how |= How.JOIN  # a fill under way may have begun before a purge
        old = cls.fresh > 0 and (held.spares or len(held.attempts) > 1)
        most = cls.fresh + (cls.stale if old else 0.0)
        return (min(limit, most) if most > 0 else limit if limit < math.inf else 0.0), how

    def _bears(self, node: Node) -> tuple[float, float]:
        """Transfers at once, told by the weight or else a part of the links that it feeds; our share."""
        if node.kind == self._set.parent_kind:
            share = 1.0 / max(1, self._set.fleet)
            size = sum(self._set.zone_link) / self._pace / max(1, len(self._parents.nodes))
        else:
            share, size = self._zone_share, self._link_size / max(1, len(self._caches.nodes))
        return max(1.0, node.weight if self._set.weighted and node.weight > 0 else size), share

    def _on_end(self, now: float, event: Ended) -> None:
        held = self._held.get(event.req)
        if held is None or event.attempt >= len(held.attempts) or not held.attempts[event.attempt].pending:
            return
        attempt = held.attempts[event.attempt]
        self._ended(held, attempt)
        self._judge(now, held, attempt, event)
        if event.closed or event.outcome is Outcome.OK:
            if any(earlier.pending for earlier in held.attempts[:event.attempt]):
                self._hedges = min(self._burst, self._hedges + 1.0)  # the copy was needed
            self._count(held, event.outcome is Outcome.OK)
            self._close(held)
            return
        attempt.may_have_run = event.outcome not in NOT_RUN
        held.missed |= event.outcome is Outcome.MISS
        # What no cache has seen adds no work when it is tried again; a break is made good once a request.
        free = event.outcome in _UNSEEN or (event.outcome is Outcome.RESET and len(held.attempts) == 1)
        if held.pending():
            return
        # Danger: an origin that turns away is asked again by all directors at once. Clients come again later.
        if not held.turned_away and now < held.deadline and (free or self._may_spend(now)) and (
                self._try(now, held)):
            return
        self._give_up(held)

    def _begin(self, held: Held, attempt: Attempt) -> None:
        """Books an attempt on the cache's link and, if a miss is likely, on the location's."""
        attempt.load.out += 1
        attempt.load.work += held.work
        if attempt.fills:
            self._link.out += 1
            attempt.source_load.out += 1
        attempt.beside = attempt.load.out
        held.attempts.append(attempt)
        held.tried.add(attempt.node)

    def _ended(self, held: Held, attempt: Attempt) -> None:
        attempt.pending = False
        if attempt.fills:
            self._link.out -= 1
            attempt.source_load.out -= 1
        attempt.load.out -= 1
        attempt.load.work -= held.work

    def _may_spend(self, now: float) -> bool:
        """Danger: retries that multiply an overload; a request earns a part of one."""
        if self._hedges >= 1.0:
            self._hedges -= 1.0
            return True
        if self._credit is None:
            return False
        self._out.append(Want(RETRIES, 1.0, HEDGE_BURST, 0.0, 1.0, False))
        return self._credit.spend(now, RETRIES, 1.0)

    def _judge(self, now: float, held: Held, attempt: Attempt, event: Ended) -> None:
        """Tells cache, source and origin apart by the outcome and its note."""
        note, outcome = event.note, event.outcome
        turned = note == Note.ORIGIN_FAILED or (note in _SOURCE_NOTES and attempt.source in self._origins)
        if note in (Note.ORIGIN_FAILED, Note.FILLED_BY_ORIGIN):
            self._origin.felt(now, self._shortest, self._shortest * (not turned))
        held.turned_away |= turned
        if outcome is Outcome.OK:
            self._cache_health[attempt.node].good(now)
            if not held.told and note in (Note.HIT, Note.NONE):
                self._learn_work(held.request.kind, event.took)
            if note == Note.HIT:
                attempt.budget[1] = 0.0  # it never reached the parent
                attempt.load.felt(now, event.took, held.work)
                if not self._set.weighted and held.work > 0:
                    attempt.load.learn(attempt.beside, event.took / held.work)
            if note == Note.HIT or self._popularity.rank(held.request.key):
                self._copied(now, (held.request.key, held.request.part, attempt.node))
            if note in (Note.FILLED, Note.FILLED_BY_ORIGIN):
                self._wait += LEARN * (event.waited - self._wait)
                came = min(max(held.work, event.took - event.waited), STRAY * held.work)
                ways = [attempt.load, self._link, attempt.source_load]
                felt = [load.slowed(now) for load in ways]  # each is blamed for what the others don't explain
                for place, load in enumerate(ways):
                    others = max(felt[:place] + felt[place + 1:])
                    load.felt(now, came, max(held.work, min(came, held.work * others)))
            if note in (Note.FILLED, Note.FILLED_BY_ORIGIN) or (attempt.fills and not note):  # untold
                self._source_health[attempt.source].good(now)
            return
        if turned or note in _SOURCE_NOTES:
            held.bad_sources.add(attempt.source)
            if note != Note.SOURCE_LACKS:
                self._wait += LEARN * (held.aim - self._wait)
            self._cache_health[attempt.node].good(now)
            if note == Note.SOURCE_BROKE:
                self._bad(self._source_health, attempt.source, now, attempt.sent, 1)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.ERROR):
            marks = SILENT_AFTER if outcome is Outcome.CONNECT_FAILED else 1
            self._bad(self._cache_health, attempt.node, now, attempt.sent, marks)
        elif outcome is Outcome.RESET:  # danger: a cache ejected for one connection, with all that was on it
            health = self._cache_health[attempt.node]
            if attempt.sent > health.broke:
                health.broke = now
                self._bad(self._cache_health, attempt.node, now, attempt.sent, BREAK_MARK)
            if health.usable(now):
                held.tried.discard(attempt.node)  # it may well hold the object, unlike the next one

    def _copied(self, now: float, copy: tuple[int, int, NodeId]) -> None:
        """Notes where a copy is; those too old to be thought there any more go first."""
        self._copies.pop(copy, None)
        self._copies[copy] = now
        for _ in range(2):
            oldest = next(iter(self._copies))
            if len(self._copies) < TABLE_MOST and now - self._copies[oldest] <= KEPT_FOR * self._set.warm_up:
                break
            del self._copies[oldest]

    def _bad(self, table: Healths, node: NodeId, now: float, sent: float, marks: float) -> None:
        if table[node].bad(now, sent, self._pause, marks):
            self._out.append(Log(f"{'cache' if table is self._cache_health else 'source'} {node:x} ejected"))

    def _on_due(self, now: float, event: Due) -> None:
        """An attempt may be overdue: blame what has not been heard of since, and send a second copy.

        Danger: answers that are lost while their cache lives, so that no ejection helps.
        """
        if not (held := self._held.get(event.token)):
            return
        for attempt in [a for a in held.attempts if a.pending and not a.overdue and now + TICK >= a.due]:
            cache = self._cache_health[attempt.node]
            alive, least = cache.heard >= attempt.sent, attempt.sent + SILENT_FOR * self._set.connect_timeout
            if not alive and now + TICK < least:
                self._out.append(Timer(event.token, least))
            else:
                attempt.overdue = True
                if not alive:
                    self._bad(self._cache_health, attempt.node, now, attempt.sent, 1)
                elif attempt.fills:
                    self._bad(self._source_health, attempt.source, now, attempt.sent, 1)
            if attempt.fills:
                held.bad_sources.add(attempt.source)
            down = not (cache.usable(now) and self._source_health[attempt.source].usable(now))
            if not down:
                held.tried.discard(attempt.node)  # if just the answer was lost, it holds the object by now
            calm = max(self._load(attempt.node).slowed(now), self._link.slowed(now)) < LATE
            if held.pending() <= 1 + down and (calm or down) and self._may_spend(now):
                self._try(now, held, look=not down)

    def _on_left(self, now: float, event: Left) -> None:
        if held := self._held.get(event.req):
            self._close(held)

    def _close(self, held: Held) -> None:
        """The request has its final answer; what is still out is called off."""
        del self._held[held.request.req]
        for number, attempt in enumerate(held.attempts):
            if attempt.pending:
                self._ended(held, attempt)
                if self._set.may_cancel:
                    self._out.append(Cancel(held.request.req, number))

    def _give_up(self, held: Held) -> None:
        """The final answer of this director: refused where a retry is surely harmless, else failed."""
        self._count(held, False)
        harmless = held.cls.effect is Effect.SAFE or not any(a.may_have_run for a in held.attempts) or (
            held.cls.effect is Effect.KEYED and held.cls.group is KeyGroup.ALL)
        if harmless:  # danger: refused clients that come back all together
            pause = self._set.longest_pause * self._random.uniform(0.5, 1.0) if self._set.may_pause else 0.0
            self._out.append(Refuse(held.request.req, pause))
        else:
            self._out.append(Fail(held.request.req))
        self._close(held)

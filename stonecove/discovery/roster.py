"""What one ZooKeeper-style source says of each node: the rules between its ephemeral nodes and a claim.

Knows no I/O; times are Unix milliseconds. The claim of an id is a function of the nodes that name it now, of
what it was before, and of the time, never of the order in which news of different ids came:

1. One node names an id: its record is the claim. Draining by a change of data holds at once.
2. No node names it any more: draining at once (nothing fresh, what is out goes on), gone after `linger`.
3. It comes back: the same incarnation (the same `started`, or where none is told the same owner) is as warm
   as it was; another one is cold from its `started`, or from the creation of its node where none is told.
4. Two nodes name one id: the younger (by `started`, then by creation) is the claim; an alarm is told.
5. Two ids name one address: the younger keeps it, the other one drains; an alarm is told.
6. A record that can't be read, or is too long, leaves out that node alone, and what it said before with it.
7. Many depart within `mass_window`: those beyond the bound are kept until a read after a sync says the same.
8. An id that came back too often within `flap_window` drains for a while longer each time before it is ready
   again.
9. Without a connection, all claims stand for `stale_for`; then the source has no say (see `merge`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from stonecove.discovery import Member
from stonecove.discovery.records import Names, RecordError, member_of
from stonecove.routing.endpoints import NodeId, NodeState
from stonecove.runtime.log_events import LogEvent

Say = Callable[..., None]


class Rules(NamedTuple):
    """Figures of a roster, in milliseconds where not said otherwise."""

    stale_for: float = 300_000.0  # for which claims stand without a connection
    linger: float = 5_000.0  # from departed to gone; what is out may end
    return_within: float = 1_000.0  # a node that comes back so soon was away for a blink, not for a restart
    mass_share: float = 0.5  # part of the list that may depart within the window without being confirmed
    mass_least: int = 4  # departures that never need to be confirmed
    mass_window: float = 1_000.0
    flap_most: int = 3  # returns within the window that are not damped
    flap_window: float = 60_000.0
    flap_hold: float = 2_000.0  # doubled with each further return
    flap_longest: float = 60_000.0
    most_bytes: int = 4_096  # of one record


class Claim(NamedTuple):
    """What a source says of a node."""

    state: NodeState
    member: Member | None  # None only where the source has never known it
    why: str


class Entry(NamedTuple):
    """A node of the source, as it was read last."""

    name: str
    member: Member | None  # None: its record can't be used
    czxid: int  # the transaction that made the node
    ctime: float
    owner: int  # the session that keeps it alive


class _Past(NamedTuple):
    """What an id was when its last node departed."""

    member: Member
    owner: int
    czxid: int
    at: float


class Roster:
    """All ids of one source."""

    def __init__(
        self,
        names: Names,
        rules: Rules,
        emit: Callable[[NodeId, Claim], None],
        confirm: Callable[[], None],
        say: Say,
    ) -> None:
        """`emit` takes each claim that changes; `confirm` asks for a read after a sync; `say` tells
        alarms.
        """
        self._names = names
        self.rules = rules
        self._emit = emit
        self._confirm = confirm
        self._say = say
        self._entries: dict[str, Entry] = {}
        self._by_id: dict[NodeId, dict[str, Entry]] = {}
        self._by_address: dict[tuple[str, int], set[NodeId]] = {}
        self._address_of: dict[NodeId, tuple[str, int]] = {}
        self._past: dict[NodeId, _Past] = {}
        self._started: dict[
            NodeId, tuple[str, float]
        ] = {}  # ids whose start we had to conclude, and from when
        self._returns: dict[NodeId, deque[float]] = {}
        self._held_back: dict[NodeId, float] = {}  # damped until then
        self._kept: dict[str, float] = {}  # departed, not yet confirmed; since when
        self._departures: deque[float] = deque()
        self._claims: dict[NodeId, Claim] = {}
        self._alarmed: set[tuple[str, str]] = set()
        self.whole_once = False  # a whole list has been read since the start
        self.down_since: float | None = 0.0  # None: connected and read whole
        self._aged = 0

    # -- what the source tells --

    def put(self, name: str, data: bytes, czxid: int, ctime: float, owner: int, now: float) -> None:
        """A node is there with this record, made by that transaction, kept alive by that session."""
        try:
            member: Member | None = member_of(data, self._names, self.rules.most_bytes)
        except RecordError as error:
            member = None
            self._say(LogEvent.ENDPOINT_RECORD_INVALID, node=name, reason=str(error))
        entry = Entry(name, member, czxid, ctime, owner)
        self._kept.pop(name, None)
        self._replace(name, entry, now)

    def removed(self, names: Iterable[str], now: float) -> None:
        """Nodes are gone, all told at once."""
        gone = [name for name in names if name in self._entries and name not in self._kept]
        while self._departures and self._departures[0] <= now - self.rules.mass_window:
            self._departures.popleft()
        counted = [name for name in gone if self._entries[name].member is not None]
        population = len(self._entries) - len(self._kept) + len(self._departures)
        bound = max(self.rules.mass_least, self.rules.mass_share * population)
        departed = len(self._departures) + len(counted)
        none_left = departed > 1 and len({self._ident(name) for name in counted}) == len(self._by_id)
        # Guards against losing all nodes at once to trouble of the source's own, as when it forgets all
        # sessions.
        if counted and (self._kept or none_left or departed > bound):
            if not self._kept:
                self._say(LogEvent.MASS_DEPARTURE_SUSPECTED, departed=departed, total=population)
            for name in gone:
                self._kept[name] = now
            self._confirm()
            return
        for name in gone:
            if self._entries[name].member is not None:
                self._departures.append(now)
            self._replace(name, None, now)

    def _ident(self, name: str) -> NodeId:
        member = self._entries[name].member
        return 0 if member is None else member.node.node_id

    def whole(self, names: frozenset[str], confirmed: bool, now: float) -> None:
        """The list was read with all its data."""
        self.whole_once, self.down_since, self._aged = True, None, 0
        missing = [name for name in self._entries if name not in names and name not in self._kept]
        if missing:
            self.removed(missing, now)
        if not self._kept:
            return
        if not confirmed:
            self._confirm()
            return
        kept, self._kept = self._kept, {}
        left = [name for name in kept if name not in names]
        self._say(LogEvent.MASS_DEPARTURE_CONFIRMED, departed=len(left), returned=len(kept) - len(left))
        for name in left:
            self._replace(name, None, now)

    def down(self, now: float) -> None:
        """No connection: what was told stands for a while."""
        if self.down_since is None:
            self.down_since = now

    def tick(self, now: float) -> None:
        """Time has passed: ends what lingers, lets back what was damped, tells of ageing."""
        for ident in [
            ident
            for ident, past in self._past.items()
            if ident in self._claims and now >= past.at + self.rules.linger
        ]:
            self._judge(ident, now)
        for ident in [ident for ident, until in self._held_back.items() if now >= until]:
            del self._held_back[ident]
            self._judge(ident, now)
        if self.down_since is not None and self.whole_once:
            quarter = int(4.0 * (now - self.down_since) / max(self.rules.stale_for, 1.0))
            if quarter > self._aged and quarter <= 4:
                self._aged = quarter
                self._say(
                    LogEvent.ENDPOINT_SOURCE_STALE,
                    silent_s=round((now - self.down_since) / 1000.0),
                    unchanged_s=round(self.rules.stale_for / 1000.0),
                    nodes=len(self._claims),
                )

    def next_due(self) -> float:
        """When `tick` is to be called next; infinite if nothing waits."""
        dues = [
            past.at + self.rules.linger
            for ident, past in self._past.items()
            if ident in self._claims
            and self._claims[ident].state is not NodeState.REMOVED
            and ident not in self._by_id
        ]
        dues += self._held_back.values()
        if self.down_since is not None and self.whole_once and self._aged < 4:
            dues.append(self.down_since + (self._aged + 1) * self.rules.stale_for / 4.0)
        return min(dues, default=float("inf"))

    def has_say(self, now: float) -> bool:
        """Whether the claims count: a whole list was read, and not too long ago."""
        return self.whole_once and (self.down_since is None or now < self.down_since + self.rules.stale_for)

    @property
    def claims(self) -> dict[NodeId, Claim]:
        """The present claim of each id that is not forgotten."""
        return self._claims

    @property
    def unconfirmed(self) -> int:
        """Nodes that are kept until their departure is confirmed."""
        return len(self._kept)

    # -- rules --

    def _replace(self, name: str, entry: Entry | None, now: float) -> None:
        """Puts a node in place of what its name held before, and judges all ids that this touches."""
        before = self._entries.pop(name, None)
        touched: set[NodeId] = set()
        if before is not None and before.member is not None:
            ident = before.member.node.node_id
            nodes = self._by_id[ident]
            del nodes[name]
            touched.add(ident)
            if not nodes:
                del self._by_id[ident]
                self._past[ident] = _Past(before.member, before.owner, before.czxid, now)
        if entry is not None:
            self._entries[name] = entry
            if entry.member is not None:
                ident = entry.member.node.node_id
                self._by_id.setdefault(ident, {})[name] = entry
                touched.add(ident)
                self._came_back(ident, entry, now)
        for ident in touched:
            self._judge(ident, now)

    def _came_back(self, ident: NodeId, entry: Entry, now: float) -> None:
        """Rules 3 and 8, when an id that had departed is named again."""
        past = self._past.get(ident)
        if past is None or len(self._by_id[ident]) > 1 or entry.member is None:
            return
        del self._past[ident]
        if entry.owner == past.owner and entry.czxid == past.czxid:
            return  # it was there all the time: only its record has changed
        told = entry.member.node.started_ms
        same = told == past.member.node.started_ms if told > 0 else entry.owner == past.owner
        if not same and told <= 0:
            self._started[ident] = (entry.name, entry.ctime)
        away = now - past.at
        self._say(
            LogEvent.ENDPOINT_RETURNED,
            node=f"s-{ident:08x}",
            absent_ms=round(away),
            same_process=same,
            reconnected=away <= self.rules.return_within,
        )
        returns = self._returns.setdefault(ident, deque())
        returns.append(now)
        while returns[0] <= now - self.rules.flap_window:
            returns.popleft()
        over = len(returns) - self.rules.flap_most
        if over > 0:
            hold = min(self.rules.flap_hold * 2.0 ** (over - 1), self.rules.flap_longest)
            self._held_back[ident] = now + hold
            self._say(
                LogEvent.ENDPOINT_FLAPPING,
                node=f"s-{ident:08x}",
                returns=len(returns),
                suppressed_ms=round(hold),
            )

    def _key(self, ident: NodeId) -> tuple[float, int, NodeId]:
        """How young the claim of an id is."""
        best = self._best(ident)
        return (self._begun(ident, best), best.czxid, ident)

    def _best(self, ident: NodeId) -> Entry:
        return max(self._by_id[ident].values(), key=lambda one: (self._begun(ident, one), one.czxid))

    def _begun(self, ident: NodeId, entry: Entry) -> float:
        assert entry.member is not None
        concluded = self._started.get(ident)
        if entry.member.node.started_ms <= 0 and concluded is not None and concluded[0] == entry.name:
            return concluded[1]
        return entry.member.node.started_ms

    def _judge(self, ident: NodeId, now: float) -> None:
        """Tells the claim of an id if it is another one now, and judges those that shared its address."""
        nodes = self._by_id.get(ident)
        neighbours: set[NodeId] = set()
        address = None
        if nodes:
            member = self._best(ident).member
            assert member is not None
            address = (member.host, member.port)
        before = self._address_of.get(ident)
        if address != before:
            if before is not None:
                self._by_address[before].discard(ident)
                neighbours |= self._by_address[before]
                if not self._by_address[before]:
                    del self._by_address[before]
                del self._address_of[ident]
            if address is not None:
                self._address_of[ident] = address
                self._by_address.setdefault(address, set()).add(ident)
        if address is not None:
            neighbours |= self._by_address[address] - {ident}
        self._tell(ident, self._claim(ident, now))
        for other in neighbours:
            self._tell(other, self._claim(other, now))

    def _claim(self, ident: NodeId, now: float) -> Claim:
        nodes = self._by_id.get(ident)
        if not nodes:
            past = self._past[ident]
            if now >= past.at + self.rules.linger:
                return Claim(NodeState.REMOVED, past.member, "departed")
            return Claim(NodeState.DRAINING, past.member, "departed, what is out may end")
        best = self._best(ident)
        assert best.member is not None
        member = best.member._replace(
            node=best.member.node._replace(started_ms=self._begun(ident, best), state=NodeState.READY)
        )
        if len(nodes) > 1:
            self._alarm(
                LogEvent.ENDPOINT_ID_DUPLICATED, ident, nodes=",".join(sorted(nodes)), chosen=best.name
            )
        else:
            self._alarmed.discard((LogEvent.ENDPOINT_ID_DUPLICATED.value, str(ident)))
        rivals = self._by_address.get((member.host, member.port), set()) - {ident}
        younger = [rival for rival in rivals if self._key(rival) > self._key(ident)]
        if younger:
            taken = f"s-{max(younger, key=self._key):08x}"
            self._alarm(
                LogEvent.ENDPOINT_ADDRESS_DUPLICATED,
                ident,
                address=f"{member.host}:{member.port}",
                chosen=taken,
            )
            return Claim(NodeState.DRAINING, member, f"its address is that of {taken}")
        self._alarmed.discard((LogEvent.ENDPOINT_ADDRESS_DUPLICATED.value, str(ident)))
        if best.member.node.state is not NodeState.READY:
            return Claim(NodeState.DRAINING, member, "its record says draining")
        if ident in self._held_back:
            return Claim(NodeState.DRAINING, member, "it came back too often")
        return Claim(NodeState.READY, member, "its record says up")

    def _alarm(self, event: str, ident: NodeId, **fields: object) -> None:
        if (str(event), str(ident)) not in self._alarmed:
            self._alarmed.add((str(event), str(ident)))
            self._say(event, node=f"s-{ident:08x}", **fields)

    def _tell(self, ident: NodeId, claim: Claim) -> None:
        if claim == self._claims.get(ident):
            return
        if claim.state is NodeState.REMOVED and ident not in self._claims:
            return
        if claim.state is NodeState.REMOVED:
            del self._claims[ident]
        else:
            self._claims[ident] = claim
        self._emit(ident, claim)

    def forget(self, now: float) -> None:
        """Drops what is known of ids that are long gone, so that tables do not grow with all that ever
        were.
        """
        limit = now - max(self.rules.flap_window, self.rules.linger)
        for ident in [
            ident
            for ident, past in self._past.items()
            if past.at < limit and ident not in self._claims and ident not in self._by_id
        ]:
            del self._past[ident]
            self._returns.pop(ident, None)
            self._started.pop(ident, None)
            self._held_back.pop(ident, None)

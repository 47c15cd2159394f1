"""Turns the ephemeral nodes of one ZooKeeper-style source into a claim about each endpoint.

No I/O; times are Unix milliseconds. The claim about an id depends on the nodes that name it now, on its
previous claim and on the time, never on the order in which changes of different ids arrived:

1. One node names an id: its record is the claim. A change of its data to draining takes effect at once.
2. No node names it any more: draining at once (no new work, requests in flight continue), removed after
   `linger_ms`.
3. It returns: the same process (the same `started`, or the same owner session where none is given) has warmed
   up as far as before; another one warms up from its `started`, or from the creation of its node where none
   is given.
4. Two nodes name one id: the younger (by `started`, then by creation) is the claim; an alarm is logged.
5. Two ids name one address: the younger keeps it, the other one drains; an alarm is logged.
6. A record that cannot be read, or is too long, excludes that node alone, and its earlier record is dropped.
7. Many nodes depart within `mass_departure_window_ms`: those beyond the limit are kept until a read after a
   sync confirms it.
8. An id that returned too often within `flap_window_ms` drains for longer each time before it is ready again.
9. Without a connection, all claims stand for `stale_after_ms`; then the source is no longer current (see
   `merge`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from stonecove.discovery import Member
from stonecove.discovery.records import RecordError, TopologyNames, parse_member
from stonecove.routing.endpoints import NodeId, NodeState
from stonecove.runtime.log_events import LogEvent

LogAlarm = Callable[..., None]


class RosterRules(NamedTuple):
    """Limits and delays of a roster."""

    stale_after_ms: float = 300_000.0  # for which claims stand without a connection
    linger_ms: float = 5_000.0  # from departure to removal, so that requests in flight may complete
    reconnect_within_ms: float = 1_000.0  # an absence this short is a lost connection, not a restart
    mass_departure_share: float = 0.5  # share of the list that may depart within the window unconfirmed
    mass_departure_min: int = 4  # number of departures that never need to be confirmed
    mass_departure_window_ms: float = 1_000.0
    max_returns: int = 3  # within the window, without being suppressed
    flap_window_ms: float = 60_000.0
    flap_hold_ms: float = 2_000.0  # doubled with each further return
    max_flap_hold_ms: float = 60_000.0
    max_record_bytes: int = 4_096


class Claim(NamedTuple):
    """What a source reports about a node."""

    state: NodeState
    member: Member | None  # None only where the source has never known it
    reason: str


class ListedNode(NamedTuple):
    """An ephemeral node of the source, as it was last read."""

    name: str
    member: Member | None  # None: its record cannot be used
    czxid: int  # the transaction that created the node
    ctime_ms: float
    owner: int  # the session that keeps it alive


class _Departure(NamedTuple):
    """The last node of an id that has departed, and when it did."""

    member: Member
    owner: int
    czxid: int
    departed_at_ms: float


class Roster:
    """The endpoints of one source, by id."""

    def __init__(
        self,
        names: TopologyNames,
        rules: RosterRules,
        emit_claim: Callable[[NodeId, Claim], None],
        request_confirmation: Callable[[], None],
        log_alarm: LogAlarm,
    ) -> None:
        """Create an empty roster.

        `emit_claim` receives each claim that changes, `request_confirmation` requests a read after a sync,
        and `log_alarm` logs an event with its fields.
        """
        self._names = names
        self.rules = rules
        self._emit_claim = emit_claim
        self._request_confirmation = request_confirmation
        self._log_alarm = log_alarm
        self._listed: dict[str, ListedNode] = {}
        self._by_id: dict[NodeId, dict[str, ListedNode]] = {}
        self._ids_by_address: dict[tuple[str, int], set[NodeId]] = {}
        self._address_by_id: dict[NodeId, tuple[str, int]] = {}
        self._departed: dict[NodeId, _Departure] = {}
        # Node and start of ids whose record does not give the start.
        self._inferred_starts: dict[NodeId, tuple[str, float]] = {}
        self._returns: dict[NodeId, deque[float]] = {}
        self._suppressed_until_ms: dict[NodeId, float] = {}
        self._unconfirmed_since_ms: dict[str, float] = {}  # nodes whose departure is not yet confirmed
        self._recent_departures: deque[float] = deque()
        self._claims: dict[NodeId, Claim] = {}
        self._active_alarms: set[tuple[str, str]] = set()
        self.snapshot_received = False  # a complete list has been read since the start
        self.disconnected_since_ms: float | None = 0.0  # None: connected, and the list read completely
        self._stale_quarters_logged = 0

    # -- events of the source --

    def put(self, name: str, data: bytes, czxid: int, ctime_ms: float, owner: int, now_ms: float) -> None:
        """Add a node or replace its record; `czxid` created it, the session `owner` keeps it alive."""
        try:
            member: Member | None = parse_member(data, self._names, self.rules.max_record_bytes)
        except RecordError as error:
            member = None
            self._log_alarm(LogEvent.ENDPOINT_RECORD_INVALID, node=name, reason=str(error))
        listed = ListedNode(name, member, czxid, ctime_ms, owner)
        self._unconfirmed_since_ms.pop(name, None)
        self._replace(name, listed, now_ms)

    def remove(self, names: Iterable[str], now_ms: float) -> None:
        """Remove nodes that were reported as deleted together.

        A mass departure is not applied until it is confirmed: a source that loses all sessions through a
        fault of its own would otherwise drain every node at once.
        """
        departing = [
            name for name in names if name in self._listed and name not in self._unconfirmed_since_ms
        ]
        while (
            self._recent_departures
            and self._recent_departures[0] <= now_ms - self.rules.mass_departure_window_ms
        ):
            self._recent_departures.popleft()
        counted = [name for name in departing if self._listed[name].member is not None]
        population = len(self._listed) - len(self._unconfirmed_since_ms) + len(self._recent_departures)
        limit = max(self.rules.mass_departure_min, self.rules.mass_departure_share * population)
        departed = len(self._recent_departures) + len(counted)
        none_left = departed > 1 and len({self._node_id_of(name) for name in counted}) == len(self._by_id)
        if counted and (self._unconfirmed_since_ms or none_left or departed > limit):
            if not self._unconfirmed_since_ms:
                self._log_alarm(LogEvent.MASS_DEPARTURE_SUSPECTED, departed=departed, total=population)
            for name in departing:
                self._unconfirmed_since_ms[name] = now_ms
            self._request_confirmation()
            return
        for name in departing:
            if self._listed[name].member is not None:
                self._recent_departures.append(now_ms)
            self._replace(name, None, now_ms)

    def _node_id_of(self, name: str) -> NodeId:
        member = self._listed[name].member
        return 0 if member is None else member.node.node_id

    def apply_snapshot(self, names: frozenset[str], confirmed: bool, now_ms: float) -> None:
        """Apply a complete list whose data has been read; `confirmed`: it was read after a sync."""
        self.snapshot_received, self.disconnected_since_ms, self._stale_quarters_logged = True, None, 0
        missing = [
            name for name in self._listed if name not in names and name not in self._unconfirmed_since_ms
        ]
        if missing:
            self.remove(missing, now_ms)
        if not self._unconfirmed_since_ms:
            return
        if not confirmed:
            self._request_confirmation()
            return
        unconfirmed, self._unconfirmed_since_ms = self._unconfirmed_since_ms, {}
        departed = [name for name in unconfirmed if name not in names]
        self._log_alarm(
            LogEvent.MASS_DEPARTURE_CONFIRMED,
            departed=len(departed),
            returned=len(unconfirmed) - len(departed),
        )
        for name in departed:
            self._replace(name, None, now_ms)

    def connection_lost(self, now_ms: float) -> None:
        """Record the loss of the connection; claims stand for `stale_after_ms`."""
        if self.disconnected_since_ms is None:
            self.disconnected_since_ms = now_ms

    def tick(self, now_ms: float) -> None:
        """Apply what depends on time: removals, ends of suppression, and alarms about a stale list."""
        for ident in [
            ident
            for ident, departure in self._departed.items()
            if ident in self._claims and now_ms >= departure.departed_at_ms + self.rules.linger_ms
        ]:
            self._evaluate(ident, now_ms)
        for ident in [ident for ident, until in self._suppressed_until_ms.items() if now_ms >= until]:
            del self._suppressed_until_ms[ident]
            self._evaluate(ident, now_ms)
        if self.disconnected_since_ms is not None and self.snapshot_received:
            quarters = int(4.0 * (now_ms - self.disconnected_since_ms) / max(self.rules.stale_after_ms, 1.0))
            if quarters > self._stale_quarters_logged and quarters <= 4:
                self._stale_quarters_logged = quarters
                self._log_alarm(
                    LogEvent.ENDPOINT_SOURCE_STALE,
                    silent_s=round((now_ms - self.disconnected_since_ms) / 1000.0),
                    unchanged_s=round(self.rules.stale_after_ms / 1000.0),
                    nodes=len(self._claims),
                )

    def next_tick_ms(self) -> float:
        """Return when `tick` is to be called next; infinite if nothing depends on time."""
        times = [
            departure.departed_at_ms + self.rules.linger_ms
            for ident, departure in self._departed.items()
            if ident in self._claims
            and self._claims[ident].state is not NodeState.REMOVED
            and ident not in self._by_id
        ]
        times += self._suppressed_until_ms.values()
        if (
            self.disconnected_since_ms is not None
            and self.snapshot_received
            and self._stale_quarters_logged < 4
        ):
            times.append(
                self.disconnected_since_ms
                + (self._stale_quarters_logged + 1) * self.rules.stale_after_ms / 4.0
            )
        return min(times, default=float("inf"))

    def is_current(self, now_ms: float) -> bool:
        """Return whether the claims count: a complete list was read, and the connection not lost for long."""
        return self.snapshot_received and (
            self.disconnected_since_ms is None
            or now_ms < self.disconnected_since_ms + self.rules.stale_after_ms
        )

    @property
    def claims(self) -> dict[NodeId, Claim]:
        """The present claim about each id that has not been removed."""
        return self._claims

    @property
    def unconfirmed(self) -> int:
        """The number of nodes that are kept until their departure is confirmed."""
        return len(self._unconfirmed_since_ms)

    # -- rules --

    def _replace(self, name: str, listed: ListedNode | None, now_ms: float) -> None:
        """Replace or remove the node of a name, and evaluate all ids that this affects."""
        previous = self._listed.pop(name, None)
        affected: set[NodeId] = set()
        if previous is not None and previous.member is not None:
            ident = previous.member.node.node_id
            nodes = self._by_id[ident]
            del nodes[name]
            affected.add(ident)
            if not nodes:
                del self._by_id[ident]
                self._departed[ident] = _Departure(previous.member, previous.owner, previous.czxid, now_ms)
        if listed is not None:
            self._listed[name] = listed
            if listed.member is not None:
                ident = listed.member.node.node_id
                self._by_id.setdefault(ident, {})[name] = listed
                affected.add(ident)
                self._check_return(ident, listed, now_ms)
        for ident in affected:
            self._evaluate(ident, now_ms)

    def _check_return(self, ident: NodeId, listed: ListedNode, now_ms: float) -> None:
        """Apply rules 3 and 8 if the id had departed."""
        departure = self._departed.get(ident)
        if departure is None or len(self._by_id[ident]) > 1 or listed.member is None:
            return
        del self._departed[ident]
        if listed.owner == departure.owner and listed.czxid == departure.czxid:
            return  # the node was never absent, only its record has changed
        started_ms = listed.member.node.started_ms
        same = (
            started_ms == departure.member.node.started_ms
            if started_ms > 0
            else listed.owner == departure.owner
        )
        if not same and started_ms <= 0:
            self._inferred_starts[ident] = (listed.name, listed.ctime_ms)
        absent_ms = now_ms - departure.departed_at_ms
        self._log_alarm(
            LogEvent.ENDPOINT_RETURNED,
            node=f"s-{ident:08x}",
            absent_ms=round(absent_ms),
            same_process=same,
            reconnected=absent_ms <= self.rules.reconnect_within_ms,
        )
        returns = self._returns.setdefault(ident, deque())
        returns.append(now_ms)
        while returns[0] <= now_ms - self.rules.flap_window_ms:
            returns.popleft()
        excess = len(returns) - self.rules.max_returns
        if excess > 0:
            hold_ms = min(self.rules.flap_hold_ms * 2.0 ** (excess - 1), self.rules.max_flap_hold_ms)
            self._suppressed_until_ms[ident] = now_ms + hold_ms
            self._log_alarm(
                LogEvent.ENDPOINT_FLAPPING,
                node=f"s-{ident:08x}",
                returns=len(returns),
                suppressed_ms=round(hold_ms),
            )

    def _recency_key(self, ident: NodeId) -> tuple[float, int, NodeId]:
        """Return a key that is greater the younger the process behind an id is."""
        youngest = self._youngest_node(ident)
        return (self._start_ms(ident, youngest), youngest.czxid, ident)

    def _youngest_node(self, ident: NodeId) -> ListedNode:
        return max(
            self._by_id[ident].values(), key=lambda listed: (self._start_ms(ident, listed), listed.czxid)
        )

    def _start_ms(self, ident: NodeId, listed: ListedNode) -> float:
        assert listed.member is not None
        inferred = self._inferred_starts.get(ident)
        if listed.member.node.started_ms <= 0 and inferred is not None and inferred[0] == listed.name:
            return inferred[1]
        return listed.member.node.started_ms

    def _evaluate(self, ident: NodeId, now_ms: float) -> None:
        """Emit the claim about an id if it has changed, and those about ids that share its address."""
        nodes = self._by_id.get(ident)
        neighbours: set[NodeId] = set()
        address = None
        if nodes:
            member = self._youngest_node(ident).member
            assert member is not None
            address = (member.host, member.port)
        previous = self._address_by_id.get(ident)
        if address != previous:
            if previous is not None:
                self._ids_by_address[previous].discard(ident)
                neighbours |= self._ids_by_address[previous]
                if not self._ids_by_address[previous]:
                    del self._ids_by_address[previous]
                del self._address_by_id[ident]
            if address is not None:
                self._address_by_id[ident] = address
                self._ids_by_address.setdefault(address, set()).add(ident)
        if address is not None:
            neighbours |= self._ids_by_address[address] - {ident}
        self._update_claim(ident, self._build_claim(ident, now_ms))
        for other in neighbours:
            self._update_claim(other, self._build_claim(other, now_ms))

    def _build_claim(self, ident: NodeId, now_ms: float) -> Claim:
        nodes = self._by_id.get(ident)
        if not nodes:
            departure = self._departed[ident]
            if now_ms >= departure.departed_at_ms + self.rules.linger_ms:
                return Claim(NodeState.REMOVED, departure.member, "departed")
            return Claim(NodeState.DRAINING, departure.member, "departed, what is out may end")
        youngest = self._youngest_node(ident)
        assert youngest.member is not None
        member = youngest.member._replace(
            node=youngest.member.node._replace(
                started_ms=self._start_ms(ident, youngest), state=NodeState.READY
            )
        )
        if len(nodes) > 1:
            self._log_alarm_once(
                LogEvent.ENDPOINT_ID_DUPLICATED, ident, nodes=",".join(sorted(nodes)), chosen=youngest.name
            )
        else:
            self._active_alarms.discard((LogEvent.ENDPOINT_ID_DUPLICATED.value, str(ident)))
        rivals = self._ids_by_address.get((member.host, member.port), set()) - {ident}
        younger = [rival for rival in rivals if self._recency_key(rival) > self._recency_key(ident)]
        if younger:
            chosen = f"s-{max(younger, key=self._recency_key):08x}"
            self._log_alarm_once(
                LogEvent.ENDPOINT_ADDRESS_DUPLICATED,
                ident,
                address=f"{member.host}:{member.port}",
                chosen=chosen,
            )
            return Claim(NodeState.DRAINING, member, f"its address is that of {chosen}")
        self._active_alarms.discard((LogEvent.ENDPOINT_ADDRESS_DUPLICATED.value, str(ident)))
        if youngest.member.node.state is not NodeState.READY:
            return Claim(NodeState.DRAINING, member, "its record says draining")
        if ident in self._suppressed_until_ms:
            return Claim(NodeState.DRAINING, member, "it came back too often")
        return Claim(NodeState.READY, member, "its record says up")

    def _log_alarm_once(self, event: str, ident: NodeId, **fields: object) -> None:
        if (str(event), str(ident)) not in self._active_alarms:
            self._active_alarms.add((str(event), str(ident)))
            self._log_alarm(event, node=f"s-{ident:08x}", **fields)

    def _update_claim(self, ident: NodeId, claim: Claim) -> None:
        if claim == self._claims.get(ident):
            return
        if claim.state is NodeState.REMOVED and ident not in self._claims:
            return
        if claim.state is NodeState.REMOVED:
            del self._claims[ident]
        else:
            self._claims[ident] = claim
        self._emit_claim(ident, claim)

    def prune(self, now_ms: float) -> None:
        """Drop the history of ids that departed long ago, so that memory stays bounded."""
        limit_ms = now_ms - max(self.rules.flap_window_ms, self.rules.linger_ms)
        for ident in [
            ident
            for ident, departure in self._departed.items()
            if departure.departed_at_ms < limit_ms and ident not in self._claims and ident not in self._by_id
        ]:
            del self._departed[ident]
            self._returns.pop(ident, None)
            self._inferred_starts.pop(ident, None)
            self._suppressed_until_ms.pop(ident, None)

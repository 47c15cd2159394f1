"""One coordination service joined to the router: its session, its tree, a roster, and our own node there."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Protocol

import trio

from stonecove.discovery import presence
from stonecove.discovery.records import RecordError, TopologyNames
from stonecove.discovery.roster import Claim, Roster, RosterRules
from stonecove.operator_config.records import Presence, ZooKeeperSource
from stonecove.protocols.zookeeper.messages import Stat
from stonecove.protocols.zookeeper.registration import Registrar
from stonecove.protocols.zookeeper.session import Down, Expired, Figures, SessionEvent
from stonecove.protocols.zookeeper.tree_watch import Tree
from stonecove.routing.endpoints import NodeId
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.server.config import Config
from stonecove.transport.zookeeper import ZooKeeperClient

Spawn = Callable[[Callable[[], Awaitable[None]]], None]


class CoordinationOwner(Protocol):
    """What a coordination needs from the membership that owns it."""

    @property
    def clock(self) -> Clock:
        """The router's clock."""

    @property
    def seed(self) -> int:
        """Seeds the order in which servers are tried, and the jitter of the pauses between."""

    @property
    def names(self) -> TopologyNames:
        """The names of zones and kinds that records may use."""

    @property
    def config(self) -> Config:
        """The present configuration: its settings hold the fleet's size as configured."""

    def settle(self) -> None:
        """Called after each event of the session, once roster and tree have taken it in."""


def rules_of(source: ZooKeeperSource) -> RosterRules:
    """The figures of a roster."""
    return RosterRules(
        source.stale_for,
        source.linger,
        source.return_within,
        source.mass.share,
        source.mass.least,
        source.mass.window,
        source.flap.most,
        source.flap.window,
        source.flap.hold,
        source.flap.longest,
        source.most_bytes,
    )


def _credentials(source: ZooKeeperSource) -> tuple[tuple[str, bytes], ...]:
    """Raises OSError for a file that can't be read."""
    return tuple((one.scheme, Path(one.file).read_bytes().rstrip(b"\r\n")) for one in source.auth)


def figures_of(source: ZooKeeperSource) -> Figures:
    """The figures of a session, in seconds; raises OSError for a credential that can't be read."""
    return Figures(
        source.session_timeout / 1000,
        source.connect_timeout / 1000,
        (source.back_off.first / 1000, source.back_off.longest / 1000),
        source.back_off.jitter,
        _credentials(source),
    )


class CacheSink:
    """Passes the nodes of caches, parents and origin in one ensemble to a roster, with the time."""

    def __init__(self, roster: Roster, clock: Clock, whole: Callable[[], None]) -> None:
        self._roster = roster
        self._clock = clock
        self._whole = whole

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """A node was created, or its record changed."""
        self._roster.put(name, data, stat.czxid, float(stat.ctime), stat.ephemeral_owner, self._clock.now())

    def removed(self, names: Iterable[str]) -> None:
        """Nodes were removed."""
        self._roster.remove(names, self._clock.now())

    def whole(self, names: frozenset[str], confirmed: bool) -> None:
        """The whole list was read; `confirmed`: after a sync with the ordering server."""
        self._roster.apply_snapshot(names, confirmed, self._clock.now())
        self._whole()

    def absent(self, confirmed: bool) -> None:
        """There is no such path: an empty list."""
        log_limited(LogEvent.ENDPOINT_PATH_MISSING)
        self.whole(frozenset(), confirmed)


class PeerSink:
    """The routers' nodes, handed to the count of the fleet; a record that can't be read counts as none."""

    def __init__(
        self,
        fleet: presence.FleetCounter,
        names: TopologyNames,
        clock: Clock,
        mine: str,
        vanished: Callable[[], None],
    ) -> None:
        self._fleet, self._names, self._clock = fleet, names, clock
        self._mine, self._vanished = mine, vanished

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """A router is there, or says something else."""
        try:
            self._fleet.put(name, presence.parse_peer(data, self._names), self._clock.now())
        except RecordError as error:
            log_limited(LogEvent.PRESENCE_RECORD_INVALID, node=name, reason=str(error))
            self._fleet.discard((name,), self._clock.now())

    def removed(self, names: Iterable[str]) -> None:
        """Routers are gone; were we told to be, our node is made again."""
        gone = list(names)
        self._fleet.discard(gone, self._clock.now())
        if self._mine in gone:
            self._vanished()

    def whole(self, names: frozenset[str], confirmed: bool) -> None:
        """The list was read."""
        self._fleet.source_read(self._clock.now())

    def absent(self, confirmed: bool) -> None:
        """Nobody has made the path yet."""
        self._fleet.source_read(self._clock.now())


class Coordination:
    """One ensemble: its session, the caches' nodes below a path, and our own node."""

    def __init__(
        self,
        source: ZooKeeperSource,
        own: Presence | None,
        peer: presence.Peer,
        owner: CoordinationOwner,
        emit: Callable[[NodeId, Claim], None],
    ) -> None:
        """Raises OSError for a credential that can't be read."""
        self.source = source
        self.own = own
        self._clock = owner.clock
        names = owner.names
        self.ensemble = ZooKeeperClient(source.servers, owner.seed, figures_of(source), owner.settle)
        self.roster = Roster(names, rules_of(source), emit, self._confirm, log)
        self.tree = Tree(
            source.path,
            self.ensemble.request,
            CacheSink(self.roster, owner.clock, self._whole),
            source.watches == "recursive",
        )
        self.whole_once = trio.Event()
        self.ensemble.add_listener(self.tree.feed)
        self.ensemble.add_listener(self._feed)
        self.registrar: Registrar | None = None
        self.fleet: presence.FleetCounter | None = None
        if own is not None:
            least = presence.FleetSize(
                owner.config.settings.fleet_size, owner.config.settings.routers_by_zone
            )
            self.fleet = presence.FleetCounter(
                len(names.zones), peer.zone, presence.Hysteresis(own.grow, own.shrink), least
            )
            self.registrar = Registrar(
                own.path,
                peer.name,
                presence.encode_peer(peer, names),
                self.ensemble.request,
                lambda: self.ensemble.session.session,
                lambda data: _same_listen(data, names, peer),
                log,
            )
            self.peers = Tree(
                own.path,
                self.ensemble.request,
                PeerSink(self.fleet, names, owner.clock, peer.name, self.registrar.vanished),
                source.watches == "recursive",
            )
            # Our own node is asked for first: it stands before the list of all is read.
            self.ensemble.add_listener(self.registrar.feed)
            self.ensemble.add_listener(self.peers.feed)

    def _confirm(self) -> None:
        self.tree.confirm()

    def _whole(self) -> None:
        self.whole_once.set()

    def _feed(self, event: SessionEvent) -> None:
        if isinstance(event, (Down, Expired)):
            now = self._clock.now()
            self.roster.connection_lost(now)
            if self.fleet is not None:
                self.fleet.source_lost(now)

    async def run(self) -> None:
        """Until it is closed."""
        await self.ensemble.run()


def _same_listen(data: bytes, names: TopologyNames, peer: presence.Peer) -> bool:
    """Whether a record is that of our own process before its restart: nobody else can listen there."""
    try:
        found = presence.parse_peer(data, names)
    except RecordError:
        return False
    return found.listen == peer.listen and found.started <= peer.started


def connection_of(source: ZooKeeperSource) -> tuple[object, ...]:
    """What can't be changed without another session or another list."""
    return (
        source.servers,
        source.path,
        source.watches,
        source.session_timeout,
        source.connect_timeout,
        source.back_off,
        source.auth,
    )

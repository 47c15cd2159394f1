"""Connect one coordination service to the router: its session, its tree, a roster, and the router's node."""

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
from stonecove.protocols.zookeeper.session import Down, Expired, SessionConfig, SessionEvent
from stonecove.protocols.zookeeper.tree_watch import TreeWatch
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
        """Seed for the order in which servers are tried and for the jitter of the back-off."""

    @property
    def names(self) -> TopologyNames:
        """The names of zones and kinds that records may use."""

    @property
    def config(self) -> Config:
        """The present configuration, whose settings hold the configured size of the fleet."""

    def apply_changes(self) -> None:
        """Handle a session event, after roster and tree have handled it."""


def roster_rules(source: ZooKeeperSource) -> RosterRules:
    """Return the parameters of a source's roster."""
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
    """Return schemes and credentials; raises OSError for a file that can't be read."""
    return tuple((entry.scheme, Path(entry.file).read_bytes().rstrip(b"\r\n")) for entry in source.auth)


def session_parameters(source: ZooKeeperSource) -> SessionConfig:
    """Return the parameters of a session, in seconds; raises OSError for an unreadable credential."""
    return SessionConfig(
        source.session_timeout / 1000,
        source.connect_timeout / 1000,
        (source.back_off.first / 1000, source.back_off.longest / 1000),
        source.back_off.jitter,
        _credentials(source),
    )


class CacheSink:
    """Passes the nodes of caches, parents and origin in one ensemble to a roster, with the time."""

    def __init__(self, roster: Roster, clock: Clock, on_list_read: Callable[[], None]) -> None:
        self._roster = roster
        self._clock = clock
        self._on_list_read = on_list_read

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """Handle a node that was created or whose record changed."""
        self._roster.put(name, data, stat.czxid, float(stat.ctime), stat.ephemeral_owner, self._clock.now())

    def removed(self, names: Iterable[str]) -> None:
        """Handle the removal of nodes."""
        self._roster.remove(names, self._clock.now())

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        """Handle a complete list; `confirmed` if it was read after a sync with the leader."""
        self._roster.apply_snapshot(names, confirmed, self._clock.now())
        self._on_list_read()

    def absent(self, confirmed: bool) -> None:
        """Handle a missing path as an empty list."""
        log_limited(LogEvent.ENDPOINT_PATH_MISSING)
        self.list_complete(frozenset(), confirmed)


class PeerSink:
    """Passes the routers' nodes to the count of the fleet; a router with an invalid record is not counted."""

    def __init__(
        self,
        fleet: presence.FleetCounter,
        names: TopologyNames,
        clock: Clock,
        local_name: str,
        on_local_removed: Callable[[], None],
    ) -> None:
        self._fleet, self._names, self._clock = fleet, names, clock
        self._local_name, self._on_local_removed = local_name, on_local_removed

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """Handle a router's node that was created or changed."""
        try:
            self._fleet.put(name, presence.parse_peer(data, self._names), self._clock.now())
        except RecordError as error:
            log_limited(LogEvent.PRESENCE_RECORD_INVALID, node=name, reason=str(error))
            self._fleet.discard((name,), self._clock.now())

    def removed(self, names: Iterable[str]) -> None:
        """Handle the removal of routers' nodes; the local router's node is created again."""
        removed = list(names)
        self._fleet.discard(removed, self._clock.now())
        if self._local_name in removed:
            self._on_local_removed()

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        """Handle a complete list."""
        self._fleet.source_read(self._clock.now())

    def absent(self, confirmed: bool) -> None:
        """Handle a path that no router has created yet."""
        self._fleet.source_read(self._clock.now())


class Coordination:
    """One ensemble: its session, the caches' nodes below a path, and the router's own node."""

    def __init__(
        self,
        source: ZooKeeperSource,
        presence_record: Presence | None,
        peer: presence.Peer,
        owner: CoordinationOwner,
        emit: Callable[[NodeId, Claim], None],
    ) -> None:
        """Create the session; raises OSError for a credential that can't be read."""
        self.source = source
        self.presence_record = presence_record
        self._clock = owner.clock
        names = owner.names
        self.ensemble = ZooKeeperClient(
            source.servers, owner.seed, session_parameters(source), owner.apply_changes
        )
        self.roster = Roster(names, roster_rules(source), emit, self._confirm, log)
        self.tree = TreeWatch(
            source.path,
            self.ensemble.request,
            CacheSink(self.roster, owner.clock, self._on_list_read),
            source.watches == "recursive",
        )
        self.list_read = trio.Event()
        self.ensemble.add_listener(self.tree.feed)
        self.ensemble.add_listener(self._feed)
        self.registrar: Registrar | None = None
        self.fleet: presence.FleetCounter | None = None
        if presence_record is not None:
            configured = presence.FleetSize(
                owner.config.settings.fleet_size, owner.config.settings.routers_by_zone
            )
            self.fleet = presence.FleetCounter(
                len(names.zones),
                peer.zone,
                presence.Hysteresis(presence_record.grow, presence_record.shrink),
                configured,
            )
            self.registrar = Registrar(
                presence_record.path,
                peer.name,
                presence.encode_peer(peer, names),
                self.ensemble.request,
                lambda: self.ensemble.session.session,
                lambda data: _is_same_process(data, names, peer),
                log,
            )
            self.peers = TreeWatch(
                presence_record.path,
                self.ensemble.request,
                PeerSink(self.fleet, names, owner.clock, peer.name, self.registrar.recreate_node),
                source.watches == "recursive",
            )
            # The registrar sends its request first, so that the router's node exists before the list is read.
            self.ensemble.add_listener(self.registrar.feed)
            self.ensemble.add_listener(self.peers.feed)

    def _confirm(self) -> None:
        self.tree.confirm()

    def _on_list_read(self) -> None:
        self.list_read.set()

    def _feed(self, event: SessionEvent) -> None:
        if isinstance(event, (Down, Expired)):
            now = self._clock.now()
            self.roster.connection_lost(now)
            if self.fleet is not None:
                self.fleet.source_lost(now)

    async def run(self) -> None:
        """Run the session until it is closed."""
        await self.ensemble.run()


def _is_same_process(data: bytes, names: TopologyNames, peer: presence.Peer) -> bool:
    """Return whether a record was written by this router before its restart: no other can listen there."""
    try:
        recorded = presence.parse_peer(data, names)
    except RecordError:
        return False
    return recorded.listen == peer.listen and recorded.started <= peer.started


def session_key(source: ZooKeeperSource) -> tuple[object, ...]:
    """Return the fields of a source that can't change without another session or another list."""
    return (
        source.servers,
        source.path,
        source.watches,
        source.session_timeout,
        source.connect_timeout,
        source.back_off,
        source.auth,
    )

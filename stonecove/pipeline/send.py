"""Stage 4, sending: connections to caches, and the checks before an attempt's first byte is written."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

from stonecove.pipeline.book import AttemptRecorder
from stonecove.pipeline.relay import Relay, Reply
from stonecove.protocols import resp
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.routing.actions import FetchMode, SendAttempt
from stonecove.routing.endpoints import NodeId
from stonecove.routing.events import Outcome
from stonecove.routing.settings import Idempotency, Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.timers import Timers
from stonecove.state.nodes import NodeTable
from stonecove.state.requests import Attempt

# Fraction of the idle time-out after which a connection is closed, before the cache does so.
IDLE_FRACTION = 0.6
# Connect time-outs without a byte received, though a response is outstanding, after which a connection gets
# no more attempts.
SILENCE_TIMEOUTS = 3.0
# Connections to one node. A reset or a corrupt response ends all attempts on its connection.
MAX_NODE_CONNECTIONS = 16
# Attempts in flight to one node for which there are connections, however few a connection may carry.
MAX_NODE_ATTEMPTS = 256
MAX_RECENT_IDS = 256  # per connection, for answered and for cancelled attempts each
# Attempts on a connection before another one is opened, where the platform charges for handshakes.
MAX_SHARED_ATTEMPTS = 4
SWEEP_INTERVAL_MS = 200.0
# Attempts that wait for a connection move to another one after this fraction of the connect time-out.
SLOW_CONNECT_FRACTION = 0.25
# A connection is closed if an incomplete response gets no byte for this long, or for the connect time-out.
STUCK_TIMEOUT_MS = 400.0
FETCH_MODE_NAMES = (
    (FetchMode.JOIN_FILL, "wait-for"),
    (FetchMode.CACHED_ONLY, "no-fetch"),
    (FetchMode.NO_PARENT_COPY, "no-keep"),
    (FetchMode.REVALIDATE, "background"),
)

# Opens a connection for an owner, to an address, with a connect time-out in seconds.
Connect = Callable[[Owner, tuple[str, int], float], Channel]


def encode_fetch(attempt: Attempt, now_ms: float) -> bytes:
    """Return the fetch command of an attempt as it is written to a cache."""
    action, client_request = attempt.action, attempt.request.client_request
    fields = [
        ("cls", client_request.cls),
        ("item", client_request.item),
        ("chunk", client_request.chunk),
        ("limit", str(max(1, int(action.deadline_ms - now_ms)))),
    ]
    if action.source_id != action.node_id:
        fields.append(("from", f"s-{action.source_id:08x}"))
    if action.cache_rank:
        fields.append(("rank", str(action.cache_rank)))
    if action.max_age_ms > 0:
        fields.append(("oldest", str(max(1, int(action.max_age_ms)))))
    if mode := "+".join(name for bit, name in FETCH_MODE_NAMES if action.fetch_mode & bit):
        fields.append(("mode", mode))
    if client_request.client_tag:
        fields.append(("seen", client_request.client_tag))
    if client_request.idempotency_key:
        fields.append(("nonce", client_request.idempotency_key))
    return resp.encode(b"fetch", client_request.txn.encode(), resp.format_fields(fields), client_request.body)


class RecentIds(dict[str, None]):
    """The most recent transaction ids, in insertion order.

    It is a dictionary so that a lookup takes the same time for any number of ids.
    """

    def add(self, txn: str) -> None:
        """Add an id, and drop the oldest one beyond `MAX_RECENT_IDS`."""
        self[txn] = None
        if len(self) > MAX_RECENT_IDS:
            del self[next(iter(self))]


class NodeConnection:
    """A connection to a node and the attempts on it, by transaction id."""

    def __init__(self, node_id: NodeId, send: Send, address: tuple[str, int], now_ms: float) -> None:
        self.node_id = node_id
        self.address = address
        self.opened_at_ms = now_ms
        self.attempts: dict[str, Attempt] = {}
        self.cancelled_ids = RecentIds()
        self.answered_ids = RecentIds()
        self.suspect = False  # an attempt was cancelled on it after a long silence
        self.last_received_ms = now_ms
        self.last_used_ms = now_ms
        self._send = send
        self.channel: Channel

    def opened(self, channel: Channel) -> None:
        """Take over attempts that wait for other connections, as this one is up."""
        self._send.adopt_waiting(self)

    def arrived(self, channel: Channel, array: list[bytes]) -> None:
        """Handle a response; raise RespError if it is malformed."""
        self._send.handle_response(self, array)

    def closed(self, channel: Channel, reason: str) -> None:
        """Handle the end of the connection."""
        self._send.handle_closed(self, reason)

    def can_take(self, txn: str, now_ms: float, max_attempts: int, silence_ms: float) -> bool:
        """Return whether another attempt may use this connection.

        A connection is refused if it has received nothing for `silence_ms` though a response is outstanding,
        as its machine may have vanished, and if the response of a cancelled attempt is incomplete, as it may
        never end. An id is used once per connection: a late or second response to its first attempt would be
        taken for that of the next one, which may run although the first response was a rejection.
        """
        if (
            self.channel.is_closed
            or self.suspect
            or len(self.attempts) >= max_attempts
            or txn in self.attempts
            or (txn in self.cancelled_ids or txn in self.answered_ids)
        ):
            return False
        if not self.attempts:
            return not self.channel.partial_reply_at_ms
        oldest_ms = min(
            (attempt.written_at_ms or attempt.decided_at_ms for attempt in self.attempts.values()),
            default=now_ms,
        )
        return now_ms - max(oldest_ms, self.last_received_ms) < silence_ms


def _load(connection: NodeConnection) -> tuple[bool, int]:
    """Return a sort key that prefers connections that are up, then those with fewer attempts.

    Nothing is known about when, or whether, a connection that is not up will be.
    """
    return not connection.channel.reached, len(connection.attempts)


class FetchCommand:
    """An attempt in a connection's write queue."""

    def __init__(self, send: Send, attempt: Attempt, connection: NodeConnection) -> None:
        self._send = send
        self._attempt = attempt
        self._connection = connection

    def is_superseded(self) -> bool:
        """Return whether the attempt has ended, moved to another connection, or been written already."""
        attempt = self._attempt
        return (
            self._connection.attempts.get(attempt.request.client_request.txn) is not attempt
            or attempt.written_at_ms > 0
        )

    def begin(self) -> bytes | None:
        """Return the command's bytes; None if the attempt may not be sent any more or was written already."""
        return None if self.is_superseded() else self._send.begin(self._attempt)

    def unwritten(self) -> None:
        """Note that not a byte of the attempt was written."""
        self._attempt.written_at_ms = 0.0


class AbortCommand:
    """Cancels an attempt that was written."""

    def __init__(self, txn: str) -> None:
        self._txn = txn

    def begin(self) -> bytes | None:
        """Return the command's bytes."""
        return resp.encode(b"abort", self._txn.encode())

    def unwritten(self) -> None:
        """Do nothing: the connection is ending, and the attempt with it."""


class Send:
    """All connections to caches, and the attempts on them."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        nodes: NodeTable,
        settings: Settings,
        recorder: AttemptRecorder,
        relay: Relay,
        connect: Connect,
    ) -> None:
        self._clock, self._timers, self._nodes = clock, timers, nodes
        self._settings = settings
        self._recorder, self._relay, self._connect = recorder, relay, connect
        self.max_connections = 0
        # whether an attempt was decided under a share that no longer holds, where shares are leased
        self.is_decision_outdated: Callable[[Attempt], bool] | None = None
        # called with each attempt that is about to be written
        self.on_write: Callable[[Attempt], None] | None = None
        self._connections: dict[NodeId, list[NodeConnection]] = {}
        self._connection_by_attempt: dict[Attempt, NodeConnection] = {}
        self._timers.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings, to open connections as well."""
        self._settings = settings

    def connection_count(self) -> int:
        """Return the number of connections."""
        return sum(map(len, self._connections.values()))

    def start(self, attempt: Attempt) -> None:
        """Start an attempt's deadline timer and assign it to a connection."""
        attempt.deadline_timer = self._timers.call_at(attempt.action.deadline_ms, partial(self.late, attempt))
        self._assign(attempt)

    def _assign(self, attempt: Attempt) -> None:
        """Assign an attempt to a connection; end it as unsent if the connection limit leaves none."""
        action = attempt.action
        if not self.can_send(attempt):
            return
        connection = self._choose_connection(attempt, self._clock.now())
        if connection is None:  # the router's own limit, which is no failure of the cache
            log_limited(
                LogEvent.UPSTREAM_CONNECTION_LIMIT_REACHED,
                node=f"s-{action.node_id:08x}",
                connections=self.connection_count(),
            )
            self._recorder.attempt_ended(attempt, Outcome.EXPIRED_UNSENT)
            return
        self._enqueue(attempt, connection)

    def _enqueue(self, attempt: Attempt, connection: NodeConnection) -> None:
        connection.attempts[attempt.request.client_request.txn] = attempt
        self._connection_by_attempt[attempt] = connection
        connection.channel.enqueue(FetchCommand(self, attempt, connection))

    def adopt_waiting(self, connection: NodeConnection) -> None:
        """Move an attempt that waits for another connection to the node onto this one, which is up and free.

        Otherwise a request could wait for a connection that opens late, or never, while this one is idle.
        """
        for other in list(self._connections.get(connection.node_id, ())):
            for attempt in [] if other.channel.reached else list(other.attempts.values()):
                if (
                    not connection.attempts
                    and other.address == connection.address
                    and connection.can_take(attempt.request.client_request.txn, self._clock.now(), 1, 0.0)
                ):
                    self._detach(attempt)
                    connection.last_used_ms = self._clock.now()
                    self._enqueue(attempt, connection)

    def _choose_connection(self, attempt: Attempt, now_ms: float) -> NodeConnection | None:
        """Return a free connection, else a new one, else the one with the fewest attempts.

        A connection of its own for each attempt keeps a corrupt response from ending other attempts. Where
        handshakes are charged for, idempotent attempts share connections. All routers would otherwise hold as
        many connections to a cache as they have requests there.
        """
        node_id, txn = attempt.action.node_id, attempt.request.client_request.txn
        shareable = (
            self._settings.handshakes_priced
            and attempt.request.class_settings.idempotency is Idempotency.IDEMPOTENT
        )
        max_shared = min(MAX_SHARED_ATTEMPTS, self._settings.streams_per_connection) if shareable else 1
        silence_ms = SILENCE_TIMEOUTS * max(self._settings.connect_timeout_ms, 100.0)
        address, connections = self._nodes.address(node_id), self._connections.get(node_id, [])
        usable = [
            connection
            for connection in connections
            if not (self._is_slow_to_open(connection, now_ms) or self._is_idle_too_long(connection, now_ms))
        ]
        for connection in sorted(
            (connection for connection in usable if len(connection.attempts) < max_shared), key=_load
        ):
            if connection.address == address and connection.can_take(txn, now_ms, max_shared, silence_ms):
                connection.last_used_ms = now_ms
                return connection
        fair_share = max(2, self.max_connections // max(1, len(self._connections)))
        max_node_connections = max(
            MAX_NODE_CONNECTIONS, MAX_NODE_ATTEMPTS // self._settings.streams_per_connection
        )
        if len(connections) < min(max_node_connections, fair_share) and (
            self.connection_count() < self.max_connections or self._close_idlest()
        ):
            connection = NodeConnection(node_id, self, address, now_ms)
            # Connections tried in a row share one connect time-out; otherwise a node that has disappeared
            # would be noticed later.
            remaining_ms = self._settings.connect_timeout_ms - (now_ms - attempt.decided_at_ms)
            timeout_ms = remaining_ms if remaining_ms > 0 else self._settings.connect_timeout_ms
            connection.channel = self._connect(connection, address, max(timeout_ms, 1.0) / 1000.0)
            self._connections.setdefault(node_id, []).append(connection)
            return connection
        for connection in sorted(connections, key=_load):
            if (
                connection.address == address
                and not self._is_idle_too_long(connection, now_ms)
                and connection.can_take(txn, now_ms, self._settings.streams_per_connection, silence_ms)
            ):
                connection.last_used_ms = now_ms
                return connection
        return None

    def _is_idle_too_long(self, connection: NodeConnection, now_ms: float) -> bool:
        """Return whether a connection has been idle so long that the cache may be closing it."""
        return (
            not connection.attempts
            and now_ms - connection.last_used_ms > IDLE_FRACTION * self._settings.connection_idle_ms
        )

    def _is_slow_to_open(self, connection: NodeConnection, now_ms: float) -> bool:
        """Return whether a connection has been opening for so long that nothing more should wait for it."""
        return (
            not connection.channel.reached
            and now_ms - connection.opened_at_ms >= SLOW_CONNECT_FRACTION * self._settings.connect_timeout_ms
        )

    def _move_waiting(self, connection: NodeConnection, now_ms: float) -> None:
        """Move attempts that wait for a slow connection to another one, once each.

        Otherwise one connection that opens late, or never, would count as a failure of the cache.
        """
        for attempt in list(connection.attempts.values()):
            if (
                not attempt.reassigned
                and self.connection_count() < self.max_connections
                and (other := self._choose_connection(attempt, now_ms))
            ):
                attempt.reassigned = True
                self._detach(attempt)
                self._enqueue(attempt, other)

    def _close_idlest(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        idle = [
            connection
            for connections in self._connections.values()
            for connection in connections
            if not connection.attempts and not connection.channel.is_closed
        ]
        if idle:
            min(idle, key=lambda connection: connection.last_used_ms).channel.close()
        return bool(idle)

    def can_send(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent; if not, end it as unsent.

        Drains, removals and purges may have arrived since the decision. The request may have been answered,
        or its deduplication window may have passed while the attempt waited.
        """
        action: SendAttempt = attempt.action
        if attempt.ended:
            return False
        over = attempt.request.answered or attempt.purged or self._deduplication_window_passed(attempt)
        if (
            over
            or not self._nodes.is_ready(action.node_id)
            or (action.source_id != action.node_id and not self._nodes.is_ready(action.source_id))
        ):
            self._finish(attempt, Outcome.EXPIRED_UNSENT)
            return False
        return True

    def _deduplication_window_passed(self, attempt: Attempt) -> bool:
        """Return whether another attempt may have run so long ago that the class allows no repeat any more.

        The order in which the attempts were decided does not matter: a later one may have been written first.
        """
        cls = attempt.request.class_settings
        return cls.idempotency is Idempotency.IDEMPOTENCY_KEY and any(
            other.written_at_ms
            and not other.not_executed
            and self._clock.now() - other.written_at_ms >= cls.deduplication_window_ms
            for other in attempt.request.attempts
        )

    def begin(self, attempt: Attempt) -> bytes | None:
        """Return the command of an attempt that is about to be written; None if it may not be sent."""
        if attempt.request.client_request.check_connection is not None:
            attempt.request.client_request.check_connection()
        if not self.can_send(attempt):
            return None
        if self.is_decision_outdated is not None and self.is_decision_outdated(attempt):
            # The process was suspended since the decision, so its share may have changed.
            self._finish(attempt, Outcome.EXPIRED_UNSENT)
            return None
        now_ms = self._clock.now()
        attempt.written_at_ms = now_ms
        if self.on_write is not None:
            self.on_write(attempt)
        return encode_fetch(attempt, now_ms)

    def cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """End an attempt; if it was written, abort it by its transaction id."""
        connection = self._connection_by_attempt.get(attempt)
        if attempt.written_at_ms and connection is not None and not connection.channel.is_closed:
            connection.cancelled_ids.add(attempt.request.client_request.txn)
            connection.channel.enqueue(AbortCommand(attempt.request.client_request.txn))
            silent_ms = self._clock.now() - max(attempt.written_at_ms, connection.last_received_ms)
            connection.last_used_ms = self._clock.now()
            # A connection without any response must not get the next attempt, too.
            connection.suspect |= silent_ms > SILENCE_TIMEOUTS * max(self._settings.connect_timeout_ms, 100.0)
        self._finish(attempt, outcome)

    def late(self, attempt: Attempt) -> None:
        """End an attempt whose deadline has passed; one that was never written did not run."""
        self.cancel(attempt, Outcome.TIMEOUT if attempt.written_at_ms else Outcome.CONNECT_FAILED)

    def _finish(self, attempt: Attempt, outcome: Outcome) -> None:
        self._detach(attempt)
        self._recorder.attempt_ended(attempt, outcome)

    def _detach(self, attempt: Attempt) -> None:
        connection = self._connection_by_attempt.pop(attempt, None)
        if connection is not None:
            connection.attempts.pop(attempt.request.client_request.txn, None)

    def handle_response(self, connection: NodeConnection, array: list[bytes]) -> None:
        """Handle a response on a connection; ignore it if its transaction id is not in flight there.

        Raises RespError if the response is malformed: nothing on this connection can be trusted then.
        """
        if len(array) != 4:
            raise resp.RespError(f"an answer of {len(array)} parts")
        txn, reply = (
            array[0].decode("latin-1"),
            Reply(array[1].decode("latin-1"), resp.parse_fields(array[2]), array[3]),
        )
        attempt = connection.attempts.get(txn)
        if attempt is None or not attempt.written_at_ms:
            if txn in connection.cancelled_ids:
                connection.last_received_ms = self._clock.now()
            return
        if reason := self._relay.corruption_reason(attempt, reply):
            raise resp.RespError(reason)
        connection.last_received_ms = connection.last_used_ms = self._clock.now()
        connection.answered_ids.add(txn)
        self._detach(attempt)
        self._relay.handle_reply(attempt, reply)
        self.adopt_waiting(connection)

    def handle_closed(self, connection: NodeConnection, reason: str) -> None:
        """Handle the end of a connection.

        Attempts that were written may have run, the others did not. Those move to another connection, once,
        if the end of this one is no sign of a failure of the cache.
        """
        connections = self._connections.get(connection.node_id, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self._connections.pop(connection.node_id, None)
        if connection.attempts:
            log_limited(
                LogEvent.UPSTREAM_CONNECTION_CLOSED,
                node=f"s-{connection.node_id:08x}",
                open=len(connection.attempts),
                reason=reason,
            )
        inconclusive = self._is_inconclusive(connection)
        for attempt in list(connection.attempts.values()):
            if attempt.ended:
                continue
            if inconclusive and not attempt.written_at_ms and not attempt.reassigned:
                attempt.reassigned = True
                self._detach(attempt)
                self._assign(attempt)
            else:
                never_reached = connection.channel.awaits_descriptor or (
                    inconclusive and not connection.channel.reached
                )
                unsent_outcome = Outcome.EXPIRED_UNSENT if never_reached else Outcome.CONNECT_FAILED
                self._finish(attempt, Outcome.RESET if attempt.written_at_ms else unsent_outcome)

    def _is_inconclusive(self, connection: NodeConnection) -> bool:
        """Return whether the end of a connection is no sign of a failure of its cache.

        That is so if it was up and was reset, if the router closed it, or if another connection to the cache
        has received data since it was opened. Otherwise one failed connection would eject a cache that works.
        """
        if connection.channel.connect_timed_out:
            return any(
                other.channel.reached and other.last_received_ms >= connection.opened_at_ms
                for other in self._connections.get(connection.node_id, ())
            )
        return not connection.channel.connect_failed

    def handle_restart(self, node_id: NodeId, started_ms: float) -> None:
        """Close the connections to a node that were opened before it was restarted.

        Nothing answers on them. Those opened since lead to the new process, and the attempts on them go on.
        """
        for connection in list(self._connections.get(node_id, [])):
            if connection.opened_at_ms < started_ms:
                connection.channel.close()

    def close_outdated(self) -> None:
        """Close the connections to nodes that are not listed any more, and to addresses that nodes have left.

        Another process may listen at such an address by now. Attempts that are not written go to the new
        address; for those that are, the connection stays until they end.
        """
        for node_id, connections in list(self._connections.items()):
            for connection in list(connections):
                if not self._nodes.is_listed(node_id):
                    connection.channel.close()
                elif self._is_outdated(connection):
                    self._reassign_unwritten(connection)

    def _is_outdated(self, connection: NodeConnection) -> bool:
        """Return whether a listed node is not at the address of this connection any more."""
        node_id = connection.node_id
        return self._nodes.is_listed(node_id) and connection.address != self._nodes.address(node_id)

    def _reassign_unwritten(self, connection: NodeConnection) -> None:
        """Assign the attempts that wait for a connection to another one, and close it if no others remain."""
        for attempt in list(connection.attempts.values()):
            if not attempt.written_at_ms:
                self._detach(attempt)
                self._assign(attempt)
        if not connection.attempts:
            connection.channel.close()

    def _sweep(self) -> None:
        """Close connections that are idle, stuck or suspect, and move attempts that wait for slow ones.

        Otherwise an attempt could be written to a connection that the cache is closing. A connection could
        stay open in the middle of a response, or receive the response of a cancelled attempt without end.
        """
        now_ms, stuck_timeout_ms = self._clock.now(), max(STUCK_TIMEOUT_MS, self._settings.connect_timeout_ms)
        self._timers.call_at(now_ms + SWEEP_INTERVAL_MS, self._sweep)
        for connections in list(self._connections.values()):
            for connection in list(connections):
                if self._is_slow_to_open(connection, now_ms) and not connection.channel.is_closed:
                    self._move_waiting(connection, now_ms)
                incomplete_since_ms = connection.channel.partial_reply_at_ms
                since_ms = (
                    incomplete_since_ms
                    if connection.attempts
                    else min(incomplete_since_ms, connection.last_used_ms)
                )
                stuck = incomplete_since_ms and now_ms - since_ms > stuck_timeout_ms
                if (
                    stuck
                    or self._is_idle_too_long(connection, now_ms)
                    or (not connection.attempts and (connection.suspect or self._is_outdated(connection)))
                ):
                    connection.channel.close()


def connection_limit(max_sockets: int) -> int:
    """Return the number of connections to caches that a limit on sockets allows."""
    return max(4, math.floor(max_sockets / 3))

"""Canonical encoding of a state, from which its fingerprint is computed.

Times are relative to the present, requests are identified by their index in the scope, and connections by
node and order, so that runs which differ only in those identifiers give the same state. Each omitted field
is listed with the reason, and `check_fields` reports a class with a field unknown here, because a forgotten
field would merge states that differ.
"""

from __future__ import annotations

import marshal
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import xxhash

from stonecove.explore import peers
from stonecove.explore.properties import PropertyMonitor
from stonecove.explore.scope import Scope
from stonecove.pipeline import admit, relay, route, send
from stonecove.pipeline.book import AttemptRecorder
from stonecove.protocols import upstream_channel as channel
from stonecove.protocols.change_log import Follower
from stonecove.protocols.fastcgi import codec as fastcgi
from stonecove.protocols.fastcgi import session
from stonecove.protocols.resp import Decoder
from stonecove.routing.actions import SendAttempt
from stonecove.routing.candidates import CandidateSelector
from stonecove.routing.class_statistics import ClassStatistics
from stonecove.routing.director import Director
from stonecove.routing.dispatch import AttemptDispatcher
from stonecove.routing.endpoint_table import EndpointTable
from stonecove.routing.endpoints import Node, NodeState
from stonecove.routing.hedging import RetryBudget
from stonecove.routing.in_flight import Attempt, InFlightRequest
from stonecove.routing.link_load import LinkLoad
from stonecove.routing.outcomes import OutcomeRecorder
from stonecove.routing.outlier_detection import OutlierDetector
from stonecove.routing.popularity import Popularity
from stonecove.routing.purges import PurgeHistory
from stonecove.routing.slow_start import SlowStartBudget
from stonecove.routing.state import RoutingState
from stonecove.routing.stored_copies import StoredCopies
from stonecove.runtime.timers import Timers
from stonecove.state import budget, nodes, requests
from stonecove.state.client_activity import ClientActivity

WIRING = "constant reference to another part, which is encoded separately"
FIXED = "set once from the settings"
REPORTED = "only reported; no code depends on it"
DERIVED = "derived from encoded fields"

# For each class of the core: the encoded fields, and the omitted fields with the reason.
LEDGER: dict[type, tuple[str, dict[str, str]]] = {
    route.Route: (
        "_undecided",
        {
            "_clock": WIRING,
            "_timers": WIRING,
            "director": WIRING,
            "nodes": WIRING,
            "requests": WIRING,
            "admit": WIRING,
            "recorder": WIRING,
            "relay": WIRING,
            "send": WIRING,
            "_action_handlers": FIXED,
            "_wake": WIRING,
            "_events": "empty between steps",
            "_processing": "false between steps",
            "_last_notice_ms": REPORTED,
            "shared_limit_check": "not set in the explorer's setup",
        },
    ),
    admit.Admit: (
        "cpu final_deadline_ms",
        {
            "_random": "always returns the middle of the range here",
            "_max_retry_after_ms": FIXED,
            "_max_wait_ms": FIXED,
            "_relative_priority": FIXED,
            "_max_queueing_ms": FIXED,
            "_requests": WIRING,
            "_budget": WIRING,
            "_max_open": FIXED,
            "_bytes_per_kb": FIXED,
            "_classes": FIXED,
            "_transfer_bytes_per_s": FIXED,
        },
    ),
    AttemptRecorder: ("", {"_clock": WIRING, "_admit": WIRING, "_post": WIRING, "counts": REPORTED}),
    relay.Relay: ("", {"_report_fields": FIXED, "_recorder": WIRING}),
    send.Send: (
        "max_connections _connections _connection_by_attempt",
        {
            "_clock": WIRING,
            "_timers": WIRING,
            "_nodes": WIRING,
            "_settings": FIXED,
            "_recorder": WIRING,
            "_relay": WIRING,
            "_connect": WIRING,
            "on_write": WIRING,
            "is_decision_outdated": WIRING,
        },
    ),
    send.NodeConnection: (
        "node_id address opened_at_ms attempts cancelled_ids answered_ids suspect last_received_ms "
        "last_used_ms channel",
        {"_send": WIRING},
    ),
    requests.OpenRequests: (
        "_open _by_txn",
        {
            "_last_id": "requests are identified by their index in the scope",
            "_used": "each request of the scope has an id of its own",
        },
    ),
    requests.OpenRequest: (
        "client_request deadline_ms reserved_bytes answered backstop_timer expired attempts",
        {
            "request_id": "requests are identified by their index in the scope",
            "class_settings": "taken from the settings, which do not change here",
        },
    ),
    requests.Attempt: (
        "number action decided_at_ms written_at_ms purged ended not_executed reassigned deadline_timer",
        {"request": WIRING},
    ),
    nodes.NodeTable: ("_members", {}),
    budget.MemoryBudget: (
        "limit_bytes _reserved_bytes _incomplete_bytes",
        {"_incomplete_by_holder": DERIVED},
    ),
    Timers: (
        "_heap",
        {
            "_clock": WIRING,
            "_monotonic": WIRING,
            "_wake": WIRING,
            "_sequence": "ties in time are ordered by the heap",
            "_compact_at": "the heap never grows to this size here",
        },
    ),
    channel.Channel: (
        "_queue _pending_write _write_blocked buffer decoder awaits_descriptor reached is_closed "
        "partial_reply_at_ms",
        {
            "_owner": WIRING,
            "_clock": WIRING,
            "_sock": WIRING,
            "_flushing": "false between steps",
            "_close_reason": REPORTED,
            "connect_failed": "reported when the channel ends",
            "connect_timed_out": "reported when the channel ends",
        },
    ),
    peers.ServerChannel: (
        "process connect_deadline_s never_opens sock unanswered_ids aborted_ids answered_ids attempt_numbers "
        "unsent_rest",
        {"link": WIRING, "observer": WIRING, "last_answers": DERIVED, "partial_answer": DERIVED},
    ),
    peers.LinkSocket: (
        "capacity close_kind _unwritten",
        {"_observer": WIRING, "_channel": WIRING, "_command": DERIVED},
    ),
    Decoder: ("_items _remaining _bulk_length", {}),
    session.Session: (
        "_decoder _buffer _closing_reason _discarded_bytes _partial_since_ms nothing_received "
        "_control_records _responses _queued_bytes _pending_write _write_blocked "
        "_client_stalled closing finished",
        {
            "_sock": WIRING,
            "sock": "encoded by its fields",
            "_handler": WIRING,
            "_clock": WIRING,
            "_budget": WIRING,
            "last_used": "read only by the idle-client check, which is not explored",
            "_output_ended_ms": "read only by the choice of clients to evict, which is not explored",
        },
    ),
    fastcgi.Decoder: (
        "_incoming open activity keep_conn closing _current_record _remaining _padding record_started_ms",
        {
            "_budget": WIRING,
            "_clock": WIRING,
            "records_handled": "read only by the transport, which is not explored",
            "is_paused": "false, as few records arrive at once here",
        },
    ),
    ClientActivity: (
        "rejected_in_a_row",
        {
            "wasted_bytes": "stays far below its limit here, and nothing else reads it",
            "progress_at_ms": "read only by the choice of clients to evict, which is not explored",
            "has_sent_request": "read only by the choice of clients to evict, which is not explored",
        },
    ),
    Director: (
        "",
        {
            "state": WIRING,
            "_dispatcher": WIRING,
            "_outcomes": WIRING,
            "_handlers": FIXED,
            "handle": "replaced by the monitor's wrapper",
        },
    ),
    AttemptDispatcher: ("", {"_state": WIRING, "_candidates": WIRING}),
    CandidateSelector: ("", {"_state": WIRING}),
    OutcomeRecorder: ("", {"_state": WIRING}),
    RoutingState: (
        "endpoints popularity cache_detectors source_detectors cache_budget parent_budget purges in_flight "
        "link_loads fill_wait_ms origin_load zone_link copies statistics retries",
        {
            "settings": FIXED,
            "share": FIXED,
            "random": "always returns the middle of the range here",
            "actions": "already handed over between steps",
            "leased": "no lessor in the explorer's setup; leases are explored by explore.fleet",
        },
    ),
    EndpointTable: ("listed", {"origins": DERIVED, "parents": DERIVED, "caches": DERIVED}),
    ClassStatistics: (
        "mean_work",
        {"answered": "all requests of a class have one size here, so its share is always 1"},
    ),
    RetryBudget: (
        "tokens",
        {"max_tokens": FIXED, "leased": "no lessor in the explorer's setup"},
    ),
    StoredCopies: ("stored_at_ms", {}),
    InFlightRequest: (
        "work_ms deadline_ms objective_ms attempts missed bypasses_origin rejected_by_origin attempted_nodes "
        "failed_sources",
        {"request": DERIVED, "class_settings": DERIVED, "size_known": DERIVED, "size_tier": DERIVED},
    ),
    Attempt: (
        "node_id source_id sent_ms overdue_at_ms expects_fill source_charge concurrent pending may_have_run "
        "overdue",
        {"cache_load": DERIVED, "source_load": DERIVED},
    ),
    LinkLoad: (
        "capacity headroom objective_ms in_flight in_flight_work_ms observed_ms expected_ms observed_at_ms",
        {},
    ),
    OutlierDetector: ("last_success_ms failure_count ejected_until_ms last_reset_ms", {}),
    SlowStartBudget: (
        "charges",
        {
            "_initial_fraction": FIXED,
            "_duration_ms": FIXED,
            "_overload_multiple": FIXED,
            "_window_ms": FIXED,
            "remaining_ms": "written and read within one decision",
            "unleased_fraction": FIXED,
            "leased": "no lessor in the explorer's setup",
        },
    ),
    PurgeHistory: (
        "_purged_at_ms",
        {
            "_retention_ms": FIXED,
            "_next_retention_ms": FIXED,
            "_next_sweep_ms": "time of the next removal of expired purges; has no effect on decisions",
        },
    ),
    Popularity: (
        "_table _total_count _total_kb _epoch_ms _requests_seen _rebuild_at _min_admitted_count "
        "_rank_densities",
        {"_half_life_ms": FIXED},
    ),
}


def fields_of(instance: object) -> set[str]:
    """Return the names of an object's fields, with or without slots."""
    names = set(getattr(instance, "__dict__", ()))
    for cls in type(instance).__mro__:
        names.update(getattr(cls, "__slots__", ()))
    return names


def check_fields(instances: list[object]) -> list[str]:
    """Return a message for each field of these objects that the ledger does not list."""
    errors = []
    for instance in instances:
        known: set[str] = set()
        for cls in type(instance).__mro__:
            if cls in LEDGER:
                known |= set(LEDGER[cls][0].split()) | set(LEDGER[cls][1])
        for name in sorted(fields_of(instance) - known):
            errors.append(f"{type(instance).__name__}.{name} is not in the ledger of the fingerprint")
    return errors


def fingerprint(data: bytes) -> int:
    """Return a 64-bit hash of a state; among n states a collision has a probability of n * n / 2 ** 65."""
    return xxhash.xxh3_64_intdigest(data)


def _number(value: float) -> float:
    return round(value, 4) + 0.0


class SimulationState(Protocol):
    """Input of a fingerprint: the router's parts and the simulation around them."""

    @property
    def now_s(self) -> float:
        """Current Unix time in seconds."""

    @property
    def now_ms(self) -> float:
        """Current Unix time in milliseconds."""

    @property
    def scope(self) -> Scope:
        """Bounds of the exploration."""

    @property
    def route(self) -> route.Route:
        """Router's event loop with the stages and the decision module."""

    @property
    def budget(self) -> budget.MemoryBudget:
        """Router's memory budget in bytes."""

    @property
    def timers(self) -> Timers:
        """Router's timers."""

    @property
    def channels(self) -> list[peers.ServerChannel]:
        """Connections to servers whose end has not been reported to the router."""

    @property
    def session(self) -> peers.ClientSession:
        """Connection of the clients."""

    @property
    def partial_answers(self) -> dict[int, bytes]:
        """Bytes received so far of each answer, by FastCGI id."""

    @property
    def members(self) -> dict[int, tuple[str, NodeState, float]]:
        """Listed nodes by id: name, state, start in Unix ms."""

    @property
    def node_by_port(self) -> dict[int, int]:
        """Node that listens at each port."""

    @property
    def follower(self) -> Follower:
        """Router's reader of the change log."""

    @property
    def log(self) -> list[bytes]:
        """Events of the change log, by number."""

    @property
    def log_connected(self) -> bool:
        """Whether the change log can be reached."""

    @property
    def log_skips(self) -> bool:
        """Whether the next event is sent with a number that is too high."""

    @property
    def requests(self) -> list[tuple[str, str]]:
        """Class and state of each request."""

    @property
    def faults(self) -> int:
        """Number of faults that may still be injected."""

    @property
    def drain_ends_at_s(self) -> float:
        """Unix time in seconds at which a drain ends; infinite without one."""

    @property
    def expired(self) -> bool:
        """Whether the drain has ended."""

    @property
    def monitor(self) -> PropertyMonitor:
        """Monitor of the properties."""


class _Encoder:
    """Encodes the parts of one simulation."""

    def __init__(self, simulation: SimulationState) -> None:
        self._simulation = simulation
        self._now_ms = simulation.now_ms
        self._request_indexes = {
            request.request_id: int(request.client_request.txn, 16) for request in simulation.route.requests
        }

    def time(self, time_ms: float) -> float:
        """Return a Unix time in ms relative to now; 0 stays 0."""
        return round(time_ms - self._now_ms, 3) + 0.0 if time_ms else 0.0

    def request_index(self, request_id: int) -> int:
        """Return the index of a request in the scope; -1 if unknown."""
        return self._request_indexes.get(request_id, -1)

    # -- stages and memory --

    def core(self) -> tuple[Any, ...]:
        """Return the stages and the memory budget."""
        route, time = self._simulation.route, self.time
        cpu = getattr(route.admit.cpu, "credit_s", 0.0)
        members = tuple(
            (key, self.node(member.node), member.host, member.port)
            for key, member in sorted(route.nodes._members.items())
        )
        opened = tuple(
            sorted(
                (
                    int(request.client_request.txn, 16),
                    time(request.deadline_ms),
                    request.reserved_bytes,
                    request.answered,
                    request.expired,
                    self.timer_state(request.backstop_timer),
                    tuple(map(self.attempt, request.attempts)),
                )
                for request in route.requests
            )
        )
        txns = tuple(
            sorted(
                (txn, self.request_index(request.request_id))
                for txn, request in route.requests._by_txn.items()
            )
        )
        undecided = tuple(
            (time(submitted_at_ms), self.request_index(request.request_id))
            for submitted_at_ms, request in route._undecided
        )
        links = tuple(
            (key, tuple(map(self.link, connections)))
            for key, connections in sorted(route.send._connections.items())
        )
        connection_of_attempt = tuple(
            sorted(
                (self.request_index(attempt.request.request_id), attempt.number, link.node_id)
                for attempt, link in route.send._connection_by_attempt.items()
            )
        )
        return (
            cpu,
            time(route.admit.final_deadline_ms),
            members,
            opened,
            txns,
            undecided,
            links,
            connection_of_attempt,
            route.send.max_connections,
            self._simulation.budget.limit_bytes,
            self._simulation.budget._reserved_bytes,
            self._simulation.budget._incomplete_bytes,
        )

    def node(self, node: Node) -> tuple[Any, ...]:
        """Return an entry of the endpoint list."""
        return (
            node.node_id,
            node.kind,
            self.time(node.started_ms),
            int(node.state),
            node.cell,
            node.zone,
            node.weight,
        )

    @staticmethod
    def timer_state(timer: Any) -> int:
        """Return 1 if a timer is set, 0 if it has fired or was cancelled, -1 without one."""
        return -1 if timer is None else int(timer.callback is not None)

    def order(self, action: SendAttempt) -> tuple[Any, ...]:
        """Return an order to send an attempt, without its request id."""
        return (
            action.node_id,
            self.time(action.deadline_ms),
            action.source_id,
            action.cache_rank,
            _number(action.max_age_ms),
            action.fetch_mode,
        )

    def attempt(self, attempt: requests.Attempt) -> tuple[Any, ...]:
        """Return an attempt of the stages."""
        return (
            attempt.number,
            self.order(attempt.action),
            self.time(attempt.decided_at_ms),
            self.time(attempt.written_at_ms),
            attempt.purged,
            attempt.ended,
            attempt.not_executed,
            attempt.reassigned,
            self.timer_state(attempt.deadline_timer),
        )

    def link(self, link: send.NodeConnection) -> tuple[Any, ...]:
        """Return a connection to a cache."""
        opened = tuple(sorted((txn, attempt.number) for txn, attempt in link.attempts.items()))
        return (
            link.node_id,
            link.address,
            self.time(link.opened_at_ms),
            opened,
            tuple(sorted(link.cancelled_ids)),
            tuple(sorted(link.answered_ids)),
            link.suspect,
            self.time(link.last_received_ms),
            self.time(link.last_used_ms),
        )

    def channel(self, channel: peers.ServerChannel) -> tuple[Any, ...]:
        """Return a connection as the peers and the codec see it."""
        queue = tuple(self.command(command) for command in channel._queue)
        decoder, sock = channel.decoder, channel.sock
        return (
            channel.link.node_id,
            channel.process,
            round(channel.connect_deadline_s - self._simulation.now_s, 6),
            channel.never_opens,
            queue,
            channel._pending_write,
            channel._write_blocked,
            bytes(channel.buffer._data[channel.buffer._start : channel.buffer._end]),
            tuple(decoder._items),
            decoder._remaining,
            decoder._bulk_length,
            channel.awaits_descriptor,
            channel.reached,
            channel.is_closed,
            self.time(channel.partial_reply_at_ms),
            -1 if sock.capacity is None else sock.capacity,
            sock.close_kind,
            sock._unwritten,
            tuple(sorted(channel.unanswered_ids)),
            tuple(sorted(channel.aborted_ids)),
            tuple(sorted(dict.fromkeys(channel.answered_ids))),
            tuple(sorted(channel.attempt_numbers.items())),
            channel.unsent_rest,
            any(
                link is channel.link
                for link in self._simulation.route.send._connections.get(channel.link.node_id, ())
            ),
        )

    def command(self, command: Any) -> tuple[Any, ...]:
        """Return a command that waits to be written."""
        if isinstance(command, send.FetchCommand):
            attempt = command._attempt
            return (self.request_index(attempt.request.request_id), attempt.number, command.is_superseded())
        return (command._txn,)

    def timers(self) -> tuple[Any, ...]:
        """Return all active timers in the order of their due times."""
        return tuple(
            (round(fires_at_s - self._simulation.now_s, 6), self.callback_key(timer.callback))
            for fires_at_s, _, timer in sorted(self._simulation.timers._heap, key=lambda entry: entry[:2])
            if timer.callback is not None
        )

    def callback_key(self, callback: Callable[[], None]) -> tuple[Any, ...]:
        """Return what a timer's callback will do."""
        if not isinstance(callback, partial):
            return (getattr(callback, "__name__", ""),)
        encoded: list[Any] = [getattr(callback.func, "__name__", "")]
        for argument in callback.args:
            if isinstance(argument, requests.Attempt):
                encoded += [self.request_index(argument.request.request_id), argument.number]
            elif isinstance(argument, requests.OpenRequest):
                encoded.append(self.request_index(argument.request_id))
            else:
                encoded.append(self.request_index(getattr(argument, "token", -1)))
        return tuple(encoded)

    # -- the decision module --

    def director(self) -> tuple[Any, ...]:
        """Return the decision module."""
        state, time = self._simulation.route.director.state, self.time
        listed = tuple(self.node(state.endpoints.listed[key]) for key in sorted(state.endpoints.listed))
        detectors = tuple(
            tuple(
                (key, *encoded)
                for key, value in sorted(each.items())
                if (encoded := self.detector(value)) is not None
            )
            for each in (state.cache_detectors, state.source_detectors)
        )
        charges = tuple(
            tuple(
                (key, tuple((time(charge.sent_ms), _number(charge.work_ms)) for charge in each))
                for key, each in sorted(budget.charges.items())
            )
            for budget in (state.cache_budget, state.parent_budget)
        )
        purges = tuple((key, time(at)) for key, at in sorted(state.purges._purged_at_ms.items()))
        in_flight = tuple(
            sorted(
                (self.request_index(request_id), *self.in_flight(value))
                for request_id, value in state.in_flight.items()
            )
        )
        loads = tuple((key, *self.load(value)) for key, value in sorted(state.link_loads.items()))
        copies = tuple((tuple(key), time(at)) for key, at in sorted(state.copies.stored_at_ms.items()))
        means = tuple((mean.samples, _number(mean.mean_ms)) for mean in state.statistics.mean_work)
        return (
            listed,
            self.popularity(state.popularity),
            detectors,
            charges,
            purges,
            in_flight,
            loads,
            _number(state.fill_wait_ms),
            self.load(state.origin_load),
            self.load(state.zone_link),
            copies,
            means,
            _number(state.retries.tokens),
        )

    def popularity(self, popularity: Popularity) -> tuple[Any, ...]:
        """Return the counted objects."""
        table = tuple(
            (key, _number(item.size_kb), _number(item.count), item.chunks)
            for key, item in sorted(popularity._table.items())
        )
        return (
            table,
            _number(popularity._total_count),
            _number(popularity._total_kb),
            self.time(popularity._epoch_ms),
            popularity._requests_seen,
            popularity._rebuild_at,
            _number(popularity._min_admitted_count),
            popularity._rank_densities,
        )

    def detector(self, detector: OutlierDetector) -> tuple[float, ...] | None:
        """Return a node's failures; None if nothing is known."""
        encoded = (
            self.time(detector.last_success_ms),
            float(detector.failure_count),
            self.time(detector.ejected_until_ms),
            self.time(detector.last_reset_ms),
        )
        return None if encoded == (-float("inf"), 0.0, -float("inf"), -float("inf")) else encoded

    def load(self, load: LinkLoad) -> tuple[Any, ...]:
        """Return a link's load."""
        return (
            _number(load.capacity),
            _number(load.headroom),
            load.in_flight,
            _number(load.in_flight_work_ms),
            _number(load.observed_ms),
            _number(load.expected_ms),
            self.time(load.observed_at_ms),
        )

    def in_flight(self, in_flight: InFlightRequest) -> tuple[Any, ...]:
        """Return a request of the decision module."""
        attempts = tuple(
            (
                attempt.node_id,
                attempt.source_id,
                self.time(attempt.sent_ms),
                self.time(attempt.overdue_at_ms),
                attempt.expects_fill,
                self.time(attempt.source_charge.sent_ms),
                _number(attempt.source_charge.work_ms),
                attempt.concurrent,
                attempt.pending,
                attempt.may_have_run,
                attempt.overdue,
            )
            for attempt in in_flight.attempts
        )
        return (
            _number(in_flight.work_ms),
            self.time(in_flight.deadline_ms),
            _number(in_flight.objective_ms),
            attempts,
            in_flight.missed,
            in_flight.bypasses_origin,
            in_flight.rejected_by_origin,
            tuple(sorted(in_flight.attempted_nodes)),
            tuple(sorted(in_flight.failed_sources)),
        )

    # -- peers and the monitor --

    def environment(self) -> tuple[Any, ...]:
        """Return clients, endpoint list, change log and limits."""
        simulation, session = self._simulation, self._simulation.session
        decoder = session._decoder
        client = (
            tuple(sorted(decoder.open)),
            tuple(sorted(decoder._incoming)),
            decoder.activity.rejected_in_a_row,
            decoder.keep_conn,
            decoder.closing,
            decoder._current_record,
            decoder._remaining,
            decoder._padding,
            self.time(decoder.record_started_ms),
            len(session._buffer),
            session._closing_reason,
            session._discarded_bytes,
            self.time(session._partial_since_ms),
            session.nothing_received,
            tuple(session._control_records),
            tuple((ident, tuple(records)) for ident, records in session._responses),
            session._queued_bytes,
            bytes(session._pending_write),
            session._write_blocked,
            session._client_stalled,
            session.closing,
            session.finished,
            -1 if session.sock.capacity is None else session.sock.capacity,
            session.sock.client_has_left,
            tuple(sorted(simulation.partial_answers.items())),
        )
        members = tuple(
            (node, name, int(state), self.time(started))
            for node, (name, state, started) in sorted(simulation.members.items())
        )
        behind = len(simulation.log) - simulation.follower.last
        log = (
            simulation.log_connected,
            simulation.log_skips,
            behind,
            simulation.follower._requested_again_after - simulation.follower.last,
            tuple(simulation.log[simulation.follower.last :]),
            simulation.log[-1][13:] if "repeat" in simulation.scope.kinds else b"",
        )
        return (
            client,
            members,
            log,
            tuple(sorted(simulation.node_by_port.items())),
            tuple(simulation.requests),
            simulation.faults,
            round(simulation.drain_ends_at_s - simulation.now_s, 6),
            simulation.expired,
        )

    def monitor(self) -> tuple[Any, ...]:
        """Return the monitor's state that later checks depend on."""
        monitor = self._simulation.monitor
        purges = tuple(
            (self.time(reported), self.time(purged), group, key)
            for reported, purged, group, key in monitor.purges
        )
        observed = []
        for txn, request in monitor.observed_requests.items():
            over = request.state != "open" and self._simulation.route.requests._by_txn.get(txn) is None
            sent = (
                ()
                if over
                else tuple(
                    (
                        attempt.number,
                        attempt.node,
                        self.time(attempt.sent_at_ms),
                        attempt.purge_count,
                        attempt.not_executed,
                        attempt.ended,
                    )
                    for attempt in request.sent_attempts
                )
            )
            observed.append(
                (
                    txn,
                    request.state,
                    0.0 if over else self.time(request.answer_deadline_ms),
                    sent,
                    ()
                    if over
                    else (
                        tuple(request.ended_attempts),
                        request.ordered_count,
                        tuple(sorted(request.statuses.items())),
                    ),
                )
            )
        return (purges, tuple(observed))


def encode_state(simulation: SimulationState) -> bytes:
    """Return the whole state of a simulation in its canonical form."""
    encoder = _Encoder(simulation)
    channels = tuple(map(encoder.channel, simulation.channels))
    state = (
        encoder.core(),
        tuple(sorted(channels, key=lambda channel: channel[0])),
        encoder.timers(),
        encoder.director(),
        encoder.environment(),
        encoder.monitor(),
    )
    return marshal.dumps(state, 2)


def all_parts(simulation: SimulationState) -> list[object]:
    """Return the objects of a simulation whose fields `check_fields` compares with the ledger."""
    route = simulation.route
    director = route.director
    state = director.state
    parts: list[object] = [
        route,
        route.admit,
        route.recorder,
        route.relay,
        route.send,
        route.requests,
        route.nodes,
        simulation.budget,
        simulation.timers,
        simulation.session,
        simulation.session._decoder,
        director,
        director._dispatcher,
        director._dispatcher._candidates,
        director._outcomes,
        state,
        state.endpoints,
        state.popularity,
        state.purges,
        state.cache_budget,
        state.zone_link,
        state.statistics,
        state.retries,
        state.copies,
    ]
    for request in route.requests:
        parts += [request, *request.attempts]
    for server_channel in simulation.channels:
        parts += [server_channel, server_channel.sock, server_channel.link, server_channel.decoder]
    for in_flight in state.in_flight.values():
        parts += [in_flight, *in_flight.attempts]
    parts += list(state.cache_detectors.values())
    return parts

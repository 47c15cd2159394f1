"""Gossip among routers: connects its decisions to a UDP socket, the clock and the router.

Off on the platform. A received datagram takes effect before it is answered: when a share shrinks, the
decision module uses the smaller share before a datagram reports it (see `stonecove.gossip.shares`, rule 2).
"""

from __future__ import annotations

import errno
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from stonecove.gossip.claims import Claim, MemberState, ident_of
from stonecove.gossip.figures import GossipConfig
from stonecove.gossip.health import PAUSE_THRESHOLD_S
from stonecove.gossip.shares import Shares, ShareState
from stonecove.gossip.status import answer
from stonecove.gossip.swarm import Swarm
from stonecove.operator_config.records import SwarmRecord
from stonecove.pipeline.route import Route
from stonecove.protocols.gossip import MAX_DATAGRAM_BYTES, GossipError, decode, encode, parse_number
from stonecove.routing.events import FleetSizeChanged, LeaseTerms
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.server.config import Config, ConfigError, parse_address
from stonecove.server.leases import LeaseClient
from stonecove.settings import reported_name
from stonecove.state.requests import Attempt

READ_BATCH = 64  # datagrams that are read before other sockets get their turn
MAX_DATAGRAMS_PER_PEER_PER_S = 200  # that are processed; a flood from one address is dropped
IP_RECVERR = 11  # Linux: ICMP errors are queued together with the datagram and its destination
_EXTENDED_ERROR = struct.Struct("=IBBBBII")  # sock_extended_err: errno, origin, type, code, pad, info, data
_ICMP, _UNREACHABLE, _PORT = 2, 3, 3

Spawn = Callable[[Callable[[], Awaitable[None]]], None]


def gossip_parameters(record: SwarmRecord) -> GossipConfig:
    """Return the parameters of an operator file, in seconds."""
    return GossipConfig(
        probe_interval_s=record.period / 1000.0, ping_timeout_s=record.answer / 1000.0,
        indirect_ping_count=record.helpers, suspicion_timeout_s=record.suspicion / 1000.0,
        trust_refusals=record.refusals_prove, lease_min_s=record.lease / 1000.0,
    )  # fmt: skip


def swarm_config_error(config: Config) -> str:
    """Return why gossip can't run with this configuration; empty if it can."""
    if not config.settings.router_messages_allowed:
        return "swarm: the settings allow no messages between routers"
    if not config.peer_listen:
        return "swarm: the configuration names no peer_listen"
    try:
        addresses = [parse_address(text) for text in (config.peer_listen, *config.peers)]
    except ConfigError as error:
        return f"swarm: {error}"
    if len(set(addresses[1:])) < len(config.peers):
        return "swarm: the configuration names a peer twice"
    return ""


def bind_datagram_socket(config: Config) -> socket.socket:
    """Return a bound UDP socket that also reports ICMP errors; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
        sock.bind(parse_address(config.peer_listen))
    except OSError:
        sock.close()
        raise
    return sock


class SwarmAgent:
    """Runs gossip for one router, and connects its results to the decision module."""

    def __init__(
        self,
        record: SwarmRecord,
        config: Config,
        datagrams: socket.socket,
        route: Route,
        clock: Clock,
        leases: LeaseClient | None,
    ) -> None:
        """Take over `datagrams`, a socket from `bind_datagram_socket`."""
        self._route, self._clock, self._leases = route, clock, leases
        self._shares_counted = record.counted
        self._slots = {parse_address(text): slot for slot, text in enumerate(config.peers)}
        self._addresses = list(self._slots)
        self._settings = settings = config.settings
        self._socket = datagrams
        now, unix = time.monotonic(), clock.now()
        parameters, routers = gossip_parameters(record), max(settings.fleet_size, len(self._slots) + 1)
        shares = Shares(len(self._slots), settings.zone, settings.fleet_size, settings.routers_by_zone,
                        settings.overload_window_ms / 1000.0, now, record.own,
                        parameters.lease_duration_s(routers))  # fmt: skip
        local = Claim(ident_of(record.name or config.name), int(unix), 0, MemberState.ALIVE, settings.zone)
        self._presence_count = FleetSizeChanged(0, ())  # as a coordination service counts
        self._applied: tuple[float, FleetSizeChanged] | None = None
        self._ticked_at = time.monotonic()
        self._tick_delay = trio.CancelScope()  # ends the wait for the next tick
        self.name = record.name or config.name
        self.counts: Counter[str] = Counter()
        self._rate_second, self._rate_counts = 0, Counter[int]()
        self.swarm = Swarm(local, shares, parameters, config.seed, now, unix)
        if record.counted:
            route.send.is_decision_outdated = self._is_outdated
        self._apply_share(now)

    def start(self, spawn: Spawn) -> None:
        """Start to receive and to probe."""
        self.swarm.begin(time.monotonic())
        spawn(self._receive)
        spawn(self._run_ticks)

    def announce_draining(self) -> None:
        """Announce that the router accepts no more requests."""
        self.swarm.announce_leaving(time.monotonic())
        self._flush()

    def close(self) -> None:
        """Announce the end of the router, which sends no more requests to caches, and close the socket."""
        self.swarm.announce_left(time.monotonic())
        self._flush()
        self._socket.close()

    def rejection_reason(self, settings: Settings) -> str:
        """Return why settings can't be applied: the sum of all shares relies on one number of routers."""
        if not settings.router_messages_allowed:
            return f"{reported_name('router_messages_allowed')}: gossip needs messages between routers"
        for name in ("fleet_size", "routers_by_zone"):
            if self._shares_counted and getattr(settings, name) != getattr(self._settings, name):
                reason = "the shares of gossip are computed from the value at the start"
                return f"{reported_name(name)}: needs a restart: {reason}"
        return ""

    def reconfigure(self, settings: Settings) -> None:
        """Apply settings."""
        self._settings = settings

    def derived_fleet_size(self) -> FleetSizeChanged | None:
        """Return the number of routers in use; None where it is configured."""
        return self._applied[1] if self._applied is not None else None

    def set_presence_count(self, size: FleetSizeChanged) -> None:
        """Set the number of routers that a coordination service counts; the greater of both counts is used.

        The lower count may come from the source that knows less: a number that is too small overloads caches,
        one that is too large only wastes capacity.
        """
        self._presence_count = size
        self._apply_share(time.monotonic())

    def handle_query(self, words: list[str]) -> dict[str, Any]:
        """Return the answer to a query of `stonecove swarm`."""
        return answer(
            words,
            self.swarm,
            self.name,
            time.monotonic(),
            self._addresses,
            self.swarm.gossip.counts + self.counts,
        )

    # -- internals --

    async def _run_ticks(self) -> None:
        while True:
            self._tick()
            with self._tick_delay:
                await trio.sleep_forever()
            self._tick_delay = trio.CancelScope()

    def _tick(self) -> None:
        self._ticked_at = time.monotonic()
        self.swarm.tick(self._ticked_at, self._clock.now())
        self._publish()
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Let the next tick happen as soon as there is something to do."""
        tick_at = trio.current_time() + self.swarm.tick_delay_s(time.monotonic())
        self._tick_delay.deadline = min(self._tick_delay.deadline, tick_at)

    def _is_outdated(self, attempt: Attempt) -> bool:
        """Return whether an attempt, about to be written, was decided long ago or before the process paused.

        After a pause of the process the share may have expired unnoticed. It is updated first, and the
        attempt is decided again.
        """
        if time.monotonic() - self._ticked_at > PAUSE_THRESHOLD_S:
            self._tick()
            return True
        return self._clock.now() - attempt.decided_at_ms > PAUSE_THRESHOLD_S * 1000.0

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            # Refusals come first: they are older than datagrams that are readable at the same time.
            self._read_refusals()
            for _ in range(READ_BATCH):
                try:
                    data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError as error:  # an error of an earlier datagram, reported again
                    if error.errno not in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH):
                        log_limited(LogEvent.GOSSIP_SOCKET_FAILED, reason=error.strerror or str(error))
                    continue
                self._handle_datagram(data, address)
            self._publish()
            self._schedule_tick()
            await trio.lowlevel.checkpoint()

    def _handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle a received datagram; one that can't be used is counted."""
        slot = self._slots.get(address)
        if slot is None:
            self.counts["strangers"] += 1
            return
        now, second = time.monotonic(), int(time.monotonic())
        if second != self._rate_second:
            self._rate_second, self._rate_counts = second, Counter()
        self._rate_counts[slot] += 1
        if self._rate_counts[slot] > MAX_DATAGRAMS_PER_PEER_PER_S:
            self.counts["flood"] += 1
            return
        try:
            datagram = decode(data)
        except GossipError:
            self.counts["unreadable"] += 1
            return
        self.swarm.receive(slot, datagram, now, self._clock.now())

    def _read_refusals(self) -> None:
        for _ in range(READ_BATCH):
            try:
                data, ancillary, _, address = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES, 512, socket.MSG_ERRQUEUE
                )
            except OSError:
                return
            number, slot = parse_number(data), self._slots.get(address)
            for level, kind, record in ancillary:
                if level != socket.IPPROTO_IP or kind != IP_RECVERR or len(record) < _EXTENDED_ERROR.size:
                    continue
                error_number, origin, icmp_type, code, *_ = _EXTENDED_ERROR.unpack_from(record)
                port_closed = (error_number, origin, icmp_type, code) == (
                    errno.ECONNREFUSED,
                    _ICMP,
                    _UNREACHABLE,
                    _PORT,
                )
                if port_closed and number is not None and slot is not None:
                    self.swarm.receive_refusal(slot, number, time.monotonic())

    def _publish(self) -> None:
        """Apply the share first, then send the datagrams that report it, and write log lines."""
        self._apply_share(time.monotonic())
        self._flush()
        notes, self.swarm.gossip.notes = self.swarm.gossip.notes, []
        for note in notes:
            # Suspicions and refutations are rate-limited in the log; final states are logged each time.
            write = log_limited if note.fields.get("stands") in ("suspect", "alive") else log
            write(note.event, **note.fields)

    def _flush(self) -> None:
        outgoing, self.swarm.gossip.outgoing = self.swarm.gossip.outgoing, []
        for slot, datagram in outgoing:
            try:
                self._socket.sendto(encode(datagram), self._addresses[slot])
            except OSError as error:  # a full buffer or no route: as if the datagram were lost
                self.counts["unsent"] += 1
                if error.errno == errno.ECONNREFUSED:
                    self._read_refusals()

    def _apply_share(self, now: float) -> None:
        """Pass a changed share to the decision module."""
        if not self._shares_counted:
            return
        state = self.swarm.share_state(now)
        share = state.usable_fraction, self._fleet_size(state)
        if share == self._applied:
            return
        before, self._applied = self._applied, share
        if before is None or before[1] != share[1]:
            self._route.post(share[1])
        if self._leases is not None:
            self._leases.set_share_factor(state.usable_fraction)
        else:
            self._route.post(LeaseTerms(state.usable_fraction, 1.0))
        log(
            LogEvent.GOSSIP_SHARE_CHANGED,
            joined=state.joined,
            unleased_fraction=f"{state.usable_fraction:.3f}",
            fleet_size=share[1].fleet_size,
            by_zone=",".join(map(str, share[1].routers_by_zone)),
            view=self.swarm.gossip.views.current.number,
        )

    def _fleet_size(self, state: ShareState) -> FleetSizeChanged:
        counted = self._presence_count
        zones = [max(pair) for pair in zip(state.counted_by_zone, counted.routers_by_zone, strict=False)]
        return FleetSizeChanged(
            max(state.counted_routers, counted.fleet_size), (*zones, *state.counted_by_zone[len(zones) :])
        )

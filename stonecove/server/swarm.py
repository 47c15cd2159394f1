"""The swarm's datagrams: gives its decisions a socket, the time, a way to the router. Off on the platform.

What is heard is acted upon before it is answered: a share that falls has fallen in the decision module before
the datagram goes out that says so (`swarm.shares`, rule 2).
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
from stonecove.protocols.gossip import MOST_BYTES, GossipError, decode, encode, number_of
from stonecove.routing.events import FleetSizeChanged, LeaseTerms
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.server.config import Config, ConfigError, address_of
from stonecove.server.leases import Leases
from stonecove.settings import reported_name
from stonecove.state.requests import Attempt

BATCH = 64  # datagrams that are read between two looks at other sockets
MOST_FROM_ONE = 200  # datagrams a second from one address that are read; guards against a flood
IP_RECVERR = 11  # Linux: refusals are queued with what was refused and where it went
_ERROR = struct.Struct("=IBBBBII")  # sock_extended_err: errno, origin, type, code, pad, info, data
_ICMP, _UNREACHABLE, _PORT = 2, 3, 3

Spawn = Callable[[Callable[[], Awaitable[None]]], None]


def figures_of(record: SwarmRecord) -> GossipConfig:
    """The figures of an operator's file, in seconds."""
    return GossipConfig(
        probe_interval_s=record.period / 1000.0, ping_timeout_s=record.answer / 1000.0,
        indirect_ping_count=record.helpers, suspicion_timeout_s=record.suspicion / 1000.0,
        trust_refusals=record.refusals_prove, lease_min_s=record.lease / 1000.0,
    )  # fmt: skip


def usable(config: Config) -> str:
    """Why a swarm can't be had with this configuration; empty if it can."""
    if not config.settings.router_messages_allowed:
        return "swarm: the settings allow no messages between routers"
    if not config.peer_listen:
        return "swarm: the configuration names no peer_listen"
    try:
        addresses = [address_of(text) for text in (config.peer_listen, *config.peers)]
    except ConfigError as error:
        return f"swarm: {error}"
    if len(set(addresses[1:])) < len(config.peers):
        return "swarm: the configuration names a peer twice"
    return ""


def bound(config: Config) -> socket.socket:
    """The socket for datagrams, from which refusals can be read; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
        sock.bind(address_of(config.peer_listen))
    except OSError:
        sock.close()
        raise
    return sock


class SwarmKeeper:
    """One router's side of the swarm, joined to its decisions."""

    def __init__(
        self,
        record: SwarmRecord,
        config: Config,
        datagrams: socket.socket,
        route: Route,
        clock: Clock,
        leases: Leases | None,
    ) -> None:
        """`datagrams`: as `bound` makes it; ours from now on."""
        self._route, self._clock, self._leases = route, clock, leases
        self._counted = record.counted
        self._slots = {address_of(text): slot for slot, text in enumerate(config.peers)}
        self._addresses = list(self._slots)
        self._settings = settings = config.settings
        self._socket = datagrams
        now, unix = time.monotonic(), clock.now()
        figures, routers = figures_of(record), max(settings.fleet_size, len(self._slots) + 1)
        shares = Shares(len(self._slots), settings.zone, settings.fleet_size, settings.routers_by_zone,
                        settings.overload_window_ms / 1000.0, now, record.own,
                        figures.lease_duration_s(routers))  # fmt: skip
        me = Claim(ident_of(record.name or config.name), int(unix), 0, MemberState.ALIVE, settings.zone)
        self._present = FleetSizeChanged(0, ())  # as a coordination service counts
        self._told: tuple[float, FleetSizeChanged] | None = None
        self._ticked = time.monotonic()
        self._rest = trio.CancelScope()  # ends with the wait until the next look at the time
        self.name = record.name or config.name
        self.counts: Counter[str] = Counter()
        self._second, self._read = 0, Counter[int]()
        self.swarm = Swarm(me, shares, figures, config.seed, now, unix)
        if record.counted:
            route.send.is_decision_outdated = self._outlived
        self._apply(now)

    def start(self, spawn: Spawn) -> None:
        """Begins to listen and to probe."""
        self.swarm.begin(time.monotonic())
        spawn(self._receive)
        spawn(self._run)

    def leaving(self) -> None:
        """We take no more requests."""
        self.swarm.announce_leaving(time.monotonic())
        self._flush()

    def close(self) -> None:
        """Our last word; nothing goes to caches any more."""
        self.swarm.announce_left(time.monotonic())
        self._flush()
        self._socket.close()

    def objection(self, settings: Settings) -> str:
        """Why these settings can't be taken over: the sum of all shares rests on one number of routers."""
        if not settings.router_messages_allowed:
            return f"{reported_name('router_messages_allowed')}: the swarm goes by messages between routers"
        for name in ("fleet_size", "routers_by_zone"):
            if self._counted and getattr(settings, name) != getattr(self._settings, name):
                reason = "the swarm's shares are made for that of the start"
                return f"{reported_name(name)}: needs a restart: {reason}"
        return ""

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold from now on."""
        self._settings = settings

    def counted(self) -> FleetSizeChanged | None:
        """The routers that count; None where the settings say how many."""
        return self._told[1] if self._told is not None else None

    def present(self, peers: FleetSizeChanged) -> None:
        """A coordination service counts so many routers: where both count, the greater number holds.

        Guards against the one that knows less: a number too small overloads, one too large only wastes.
        """
        self._present = peers
        self._apply(time.monotonic())

    def answer(self, words: list[str]) -> dict[str, Any]:
        """The answer to a question of `stonecove swarm`."""
        return answer(
            words,
            self.swarm,
            self.name,
            time.monotonic(),
            self._addresses,
            self.swarm.gossip.counts + self.counts,
        )

    # -- within --

    async def _run(self) -> None:
        while True:
            self._tick()
            with self._rest:
                await trio.sleep_forever()
            self._rest = trio.CancelScope()

    def _tick(self) -> None:
        self._ticked = time.monotonic()
        self.swarm.tick(self._ticked, self._clock.now())
        self._after()
        self._hasten()

    def _hasten(self) -> None:
        """The next look at the time comes as soon as there is something to do."""
        due = trio.current_time() + self.swarm.tick_delay_s(time.monotonic())
        self._rest.deadline = min(self._rest.deadline, due)

    def _outlived(self, attempt: Attempt) -> bool:
        """Whether an attempt, about to be written, was decided before we were stopped, or long ago.

        We may not have looked at the clock since: the share is looked at first, and then it is decided anew.
        """
        if time.monotonic() - self._ticked > PAUSE_THRESHOLD_S:
            self._tick()
            return True
        return self._clock.now() - attempt.decided_at_ms > PAUSE_THRESHOLD_S * 1000.0

    async def _receive(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            # Refusals first: they are older than what is heard in the same moment.
            self._read_refusals()
            for _ in range(BATCH):
                try:
                    data, address = self._socket.recvfrom(MOST_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError as error:  # an error of what was sent earlier, told once more
                    if error.errno not in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH):
                        log_limited(LogEvent.GOSSIP_SOCKET_FAILED, reason=error.strerror or str(error))
                    continue
                self._heard(data, address)
            self._after()
            self._hasten()
            await trio.lowlevel.checkpoint()

    def _heard(self, data: bytes, address: tuple[str, int]) -> None:
        """Whatever can't be used costs its count."""
        slot = self._slots.get(address)
        if slot is None:
            self.counts["strangers"] += 1
            return
        now, second = time.monotonic(), int(time.monotonic())
        if second != self._second:
            self._second, self._read = second, Counter()
        self._read[slot] += 1
        if self._read[slot] > MOST_FROM_ONE:
            self.counts["flood"] += 1
            return
        try:
            datagram = decode(data)
        except GossipError:
            self.counts["unreadable"] += 1
            return
        self.swarm.receive(slot, datagram, now, self._clock.now())

    def _read_refusals(self) -> None:
        for _ in range(BATCH):
            try:
                data, notes, _, address = self._socket.recvmsg(MOST_BYTES, 512, socket.MSG_ERRQUEUE)
            except OSError:
                return
            number, slot = number_of(data), self._slots.get(address)
            for level, kind, note in notes:
                if level != socket.IPPROTO_IP or kind != IP_RECVERR or len(note) < _ERROR.size:
                    continue
                why, origin, what, code, *_ = _ERROR.unpack_from(note)
                nobody = (why, origin, what, code) == (errno.ECONNREFUSED, _ICMP, _UNREACHABLE, _PORT)
                if nobody and number is not None and slot is not None:
                    self.swarm.receive_refusal(slot, number, time.monotonic())

    def _after(self) -> None:
        """Shares first, then what tells others of them."""
        self._apply(time.monotonic())
        self._flush()
        notes, self.swarm.gossip.notes = self.swarm.gossip.notes, []
        for note in notes:
            # Guards against a log full of doubt and denial, while what is final is told each time.
            say = log_limited if note.fields.get("stands") in ("suspect", "alive") else log
            say(note.event, **note.fields)

    def _flush(self) -> None:
        out, self.swarm.gossip.outgoing = self.swarm.gossip.outgoing, []
        for slot, datagram in out:
            try:
                self._socket.sendto(encode(datagram), self._addresses[slot])
            except OSError as error:  # no room, or no way there: as if it were lost
                self.counts["unsent"] += 1
                if error.errno == errno.ECONNREFUSED:
                    self._read_refusals()

    def _apply(self, now: float) -> None:
        """Tells the decisions of a share that has changed."""
        if not self._counted:
            return
        stand = self.swarm.share_state(now)
        told = stand.usable_fraction, self._peers(stand)
        if told == self._told:
            return
        before, self._told = self._told, told
        if before is None or before[1] != told[1]:
            self._route.post(told[1])
        if self._leases is not None:
            self._leases.scale(stand.usable_fraction)
        else:
            self._route.post(LeaseTerms(stand.usable_fraction, 1.0))
        log(
            LogEvent.GOSSIP_SHARE_CHANGED,
            joined=stand.joined,
            unleased_fraction=f"{stand.usable_fraction:.3f}",
            fleet_size=told[1].fleet_size,
            by_zone=",".join(map(str, told[1].routers_by_zone)),
            view=self.swarm.gossip.views.current.number,
        )

    def _peers(self, stand: ShareState) -> FleetSizeChanged:
        present = self._present
        zones = [max(pair) for pair in zip(stand.counted_by_zone, present.routers_by_zone, strict=False)]
        return FleetSizeChanged(
            max(stand.counted_routers, present.fleet_size), (*zones, *stand.counted_by_zone[len(zones) :])
        )

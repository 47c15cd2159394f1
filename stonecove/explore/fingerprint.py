"""A state in a canonical form, from which its fingerprint is made.

Times are told from the present on, requests by their place in the scope, connections by node and order, so
that runs which differ in those names alone give the same state. What is left out is listed with the reason,
and a class that has grown a field unknown here is refused (`check_fields`): a field forgotten would merge
states that differ.
"""

from __future__ import annotations

import marshal
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import xxhash

from stonecove.routing import director as choice
from stonecove.explore import peers
from stonecove.explore.properties import PropertyMonitor
from stonecove.explore.scope import Scope
from stonecove.runtime.timers import Timers
from stonecove.routing.events import Get, Node, NodeState
from stonecove.state import budget, nodes, requests
from stonecove.pipeline import admit, relay, route, send
from stonecove.pipeline.book import Book
from stonecove.protocols import upstream_channel as channel
from stonecove.protocols.fastcgi import codec as fastcgi, session
from stonecove.protocols.change_log import Follower
from stonecove.protocols.resp import Decoder

WIRING = "points to another part that is encoded on its own, and never changes"
FIXED = "set once from the settings"
SAID = "told to people, read by nothing"
DERIVED = "follows from what is encoded"

# Each class of the core: the fields that are encoded below, and those left out, with the reason.
LEDGER: dict[type, tuple[str, dict[str, str]]] = {
    route.Route: (
        "_undecided",
        {
            "_clock": WIRING,
            "_timers": WIRING,
            "_director": WIRING,
            "nodes": WIRING,
            "requests": WIRING,
            "admit": WIRING,
            "book": WIRING,
            "relay": WIRING,
            "send": WIRING,
            "_carry": FIXED,
            "_wake": WIRING,
            "_events": "empty between steps",
            "_busy": "false between steps",
            "_said": SAID,
            "gate": "none in the explorer's installation",
        },
    ),
    admit.Admit: (
        "cpu latest",
        {
            "_random": "always the middle here",
            "_longest_pause": FIXED,
            "_longest": FIXED,
            "_priority": FIXED,
            "_patience": FIXED,
            "_requests": WIRING,
            "_budget": WIRING,
            "_most": FIXED,
            "_bytes_per_kb": FIXED,
            "_classes": FIXED,
            "_pace": FIXED,
        },
    ),
    Book: ("", {"_clock": WIRING, "_admit": WIRING, "_post": WIRING, "counts": SAID}),
    relay.Relay: ("", {"_report_fields": FIXED, "_book": WIRING}),
    send.Send: (
        "most_links _links _where",
        {
            "_clock": WIRING,
            "_timers": WIRING,
            "_nodes": WIRING,
            "_settings": FIXED,
            "_book": WIRING,
            "_relay": WIRING,
            "_connect": WIRING,
            "watcher": WIRING,
            "outlived": WIRING,
        },
    ),
    send.Link: (
        "node address opened_at open given_up answered doubtful heard_at used_at connection",
        {"_send": WIRING},
    ),
    requests.OpenRequests: ("_open _txns", {"_next": "numbers are told by place"}),
    requests.OpenRequest: (
        "asked deadline holds answered backstop expired attempts",
        {"req": "numbers are told by place", "cls": "that of the settings, which stay as they are here"},
    ),
    requests.Attempt: (
        "number order ordered_at written_at outdated ended not_run moved alarm",
        {"request": WIRING},
    ),
    nodes.NodeTable: ("_members", {}),
    budget.Budget: ("most _used _coming", {"_holders": DERIVED}),
    Timers: (
        "_heap",
        {
            "_clock": WIRING,
            "_steady": WIRING,
            "_wake": WIRING,
            "_count": "the order of equal times is that of the heap",
            "_tidy_at": "there are never so many here",
        },
    ),
    channel.Channel: (
        "_queue _rest _full buffer decoder lacking up over halfway_at",
        {
            "_owner": WIRING,
            "_clock": WIRING,
            "_sock": WIRING,
            "_pumping": "false between steps",
            "_why": SAID,
            "refused": "told with its end",
            "late": "told with its end",
        },
    ),
    peers.ServerChannel: (
        "process until silent sock asked aborted done numbers halfway",
        {"link": WIRING, "observer": WIRING, "last": DERIVED, "owed": DERIVED},
    ),
    peers.LinkSocket: ("room dead _midway", {"_observer": WIRING, "_channel": WIRING, "_command": DERIVED}),
    Decoder: ("_items _left _bulk", {}),
    session.Session: (
        "_decoder _buffer _leaving _unwanted _partial_since mute _urgent _answers _unsent _rest _full "
        "_broken closing finished",
        {
            "_sock": WIRING,
            "sock": "encoded by its fields",
            "_handler": WIRING,
            "_clock": WIRING,
            "_budget": WIRING,
            "last_used": "read by the check of idle clients, which is not played here",
        },
    ),
    fastcgi.Decoder: (
        "_taking open turned_away keep closing _part _left _padding part_since",
        {"_budget": WIRING, "_clock": WIRING},
    ),
    choice.Director: (
        "_listed _popularity _cache_health _source_health _cold_caches _cold_parents _purges _held "
        "_loads _wait _origin _link _copies _mean_work _hedges",
        {
            "_set": FIXED,
            "_pace": FIXED,
            "_shortest": FIXED,
            "_random": "always the middle here",
            "_zone_share": FIXED,
            "_crowded_at": FIXED,
            "_link_size": FIXED,
            "_out": "handed over already",
            "_origins": DERIVED,
            "_parents": DERIVED,
            "_caches": DERIVED,
            "_pause": FIXED,
            "_handlers": FIXED,
            "handle": "the monitor's own",
            "_burst": FIXED,
            "_answered": "all requests of a class are of one size here, whose share is that of all",
            "_credit": "nobody lends in the explorer's installation; its machine is explore.fleet",
        },
    ),
    choice.Held: (
        "work deadline aim attempts missed spares turned_away tried bad_sources",
        {"request": DERIVED, "cls": DERIVED, "told": DERIVED, "tier": DERIVED},
    ),
    choice.Attempt: (
        "node source sent due fills budget beside pending may_have_run overdue",
        {"load": DERIVED, "source_load": DERIVED},
    ),
    choice.Load: ("carries room span out work took sent at", {}),
    choice.Health: ("heard marks until broke", {}),
    choice.ColdBudget: (
        "sent",
        {
            "_from": FIXED,
            "_warm_up": FIXED,
            "_multiple": FIXED,
            "_window": FIXED,
            "room": "written and read within one decision",
            "own": FIXED,
            "credit": "nobody lends in the explorer's installation",
        },
    ),
    choice.Purges: (
        "_moments",
        {"_lasts": FIXED, "_wanted": FIXED, "_next_sweep": "when what is over is dropped; it has no effect"},
    ),
    choice.Popularity: (
        "_table _total _bytes _origin _seen _rebuild_at _least _cuts",
        {"_half_life": FIXED},
    ),
}


def fields_of(thing: object) -> set[str]:
    """The names of an object's fields, with or without slots."""
    names = set(getattr(thing, "__dict__", ()))
    for cls in type(thing).__mro__:
        names.update(getattr(cls, "__slots__", ()))
    return names


def check_fields(things: list[object]) -> list[str]:
    """Fields of these objects that the ledger does not know, and known ones that are gone."""
    wrong = []
    for thing in things:
        known: set[str] = set()
        for cls in type(thing).__mro__:
            if cls in LEDGER:
                known |= set(LEDGER[cls][0].split()) | set(LEDGER[cls][1])
        for name in sorted(fields_of(thing) - known):
            wrong.append(f"{type(thing).__name__}.{name} is not in the ledger of the fingerprint")
    return wrong


def fingerprint(data: bytes) -> int:
    """64 bits that stand for a state. Two of n states share them by chance with n * n / 2 ** 65."""
    return xxhash.xxh3_64_intdigest(data)


def _number(value: float) -> float:
    return round(value, 4) + 0.0


class SimulationState(Protocol):
    """What a fingerprint is made of: the router's parts, and those of the simulation around it."""

    @property
    def t(self) -> float:
        """The present Unix second."""

    @property
    def now(self) -> float:
        """The present Unix millisecond."""

    @property
    def scope(self) -> Scope:
        """The bounds that are explored."""

    @property
    def route(self) -> route.Route:
        """The router's loop, with the stages and the decision module."""

    @property
    def budget(self) -> budget.Budget:
        """The router's budget of bytes."""

    @property
    def timers(self) -> Timers:
        """The router's timers."""

    @property
    def channels(self) -> list[peers.ServerChannel]:
        """Connections to servers whose end has not been reported to the router."""

    @property
    def session(self) -> peers.ClientSession:
        """The connection of the clients."""

    @property
    def heads(self) -> dict[int, bytes]:
        """What has come so far of each answer, by FastCGI id."""

    @property
    def members(self) -> dict[int, tuple[str, NodeState, float]]:
        """The listed nodes by id: name, state, start in Unix ms."""

    @property
    def processes(self) -> dict[int, int]:
        """The node that listens at each port."""

    @property
    def follower(self) -> Follower:
        """The router's reader of the change log."""

    @property
    def log(self) -> list[bytes]:
        """The events of the change log, by number."""

    @property
    def log_up(self) -> bool:
        """Whether the change log can be reached."""

    @property
    def log_skips(self) -> bool:
        """Whether the next event comes under a number that is too high."""

    @property
    def requests(self) -> list[tuple[str, str]]:
        """Class and state of each request."""

    @property
    def faults(self) -> int:
        """How many faults may still happen."""

    @property
    def term_at(self) -> float:
        """The Unix second at which a drain is over; infinite without one."""

    @property
    def expired(self) -> bool:
        """Whether the drain is over."""

    @property
    def monitor(self) -> PropertyMonitor:
        """What was observed, for the properties."""


class _Encoder:
    """Encodes the parts of one simulation."""

    def __init__(self, simulation: SimulationState) -> None:
        self._simulation = simulation
        self._now = simulation.now
        self._place = {request.req: int(request.asked.txn, 16) for request in simulation.route.requests}

    def time(self, moment: float) -> float:
        """A Unix millisecond, told from now on; 0 stays 0."""
        return round(moment - self._now, 3) + 0.0 if moment else 0.0

    def request_place(self, req: int) -> int:
        """A request by its place in the scope."""
        return self._place.get(req, -1)

    # -- stages and memory --

    def core(self) -> tuple[Any, ...]:
        """Stages and memory."""
        route, time = self._simulation.route, self.time
        cpu = getattr(route.admit.cpu, "saved", 0.0)
        members = tuple(
            (key, self.node(member.node), member.host, member.port)
            for key, member in sorted(route.nodes._members.items())
        )
        opened = tuple(
            sorted(
                (
                    int(request.asked.txn, 16),
                    time(request.deadline),
                    request.holds,
                    request.answered,
                    request.expired,
                    self.alarm(request.backstop),
                    tuple(map(self.attempt, request.attempts)),
                )
                for request in route.requests
            )
        )
        txns = tuple(
            sorted((txn, self.request_place(request.req)) for txn, request in route.requests._txns.items())
        )
        undecided = tuple((time(came), self.request_place(request.req)) for came, request in route._undecided)
        links = tuple((key, tuple(map(self.link, found))) for key, found in sorted(route.send._links.items()))
        where = tuple(
            sorted(
                (self.request_place(attempt.request.req), attempt.number, link.node)
                for attempt, link in route.send._where.items()
            )
        )
        return (
            cpu,
            time(route.admit.latest),
            members,
            opened,
            txns,
            undecided,
            links,
            where,
            route.send.most_links,
            self._simulation.budget.most,
            self._simulation.budget._used,
            self._simulation.budget._coming,
        )

    def node(self, node: Node) -> tuple[Any, ...]:
        """An entry of the list."""
        return (
            node.node,
            node.kind,
            self.time(node.started),
            int(node.state),
            node.cell,
            node.zone,
            node.weight,
        )

    @staticmethod
    def alarm(alarm: Any) -> int:
        """Whether an alarm is set."""
        return -1 if alarm is None else int(alarm.call is not None)

    def order(self, get: Get) -> tuple[Any, ...]:
        """An order, without the number of its request."""
        return (get.node, self.time(get.cut_at), get.source, get.keep, _number(get.age), get.how)

    def attempt(self, attempt: requests.Attempt) -> tuple[Any, ...]:
        """An attempt of the stages."""
        return (
            attempt.number,
            self.order(attempt.order),
            self.time(attempt.ordered_at),
            self.time(attempt.written_at),
            attempt.outdated,
            attempt.ended,
            attempt.not_run,
            attempt.moved,
            self.alarm(attempt.alarm),
        )

    def link(self, link: send.Link) -> tuple[Any, ...]:
        """A connection to a cache, with its socket."""
        opened = tuple(sorted((txn, attempt.number) for txn, attempt in link.open.items()))
        return (
            link.node,
            link.address,
            self.time(link.opened_at),
            opened,
            tuple(sorted(link.given_up)),
            tuple(sorted(link.answered)),
            link.doubtful,
            self.time(link.heard_at),
            self.time(link.used_at),
        )

    def channel(self, channel: peers.ServerChannel) -> tuple[Any, ...]:
        """A connection as the peers and the codec see it."""
        queue = tuple(self.command(command) for command in channel._queue)
        decoder, sock = channel.decoder, channel.sock
        return (
            channel.link.node,
            channel.process,
            round(channel.until - self._simulation.t, 6),
            channel.silent,
            queue,
            channel._rest,
            channel._full,
            bytes(channel.buffer._data[channel.buffer._start : channel.buffer._end]),
            tuple(decoder._items),
            decoder._left,
            decoder._bulk,
            channel.lacking,
            channel.up,
            channel.over,
            self.time(channel.halfway_at),
            -1 if sock.room is None else sock.room,
            sock.dead,
            sock._midway,
            tuple(sorted(channel.asked)),
            tuple(sorted(channel.aborted)),
            tuple(sorted(dict.fromkeys(channel.done))),
            tuple(sorted(channel.numbers.items())),
            channel.halfway,
            any(
                link is channel.link for link in self._simulation.route.send._links.get(channel.link.node, ())
            ),
        )

    def command(self, command: Any) -> tuple[Any, ...]:
        """Something that waits to be written."""
        if isinstance(command, send.Fetch):
            attempt = command._attempt
            return (self.request_place(attempt.request.req), attempt.number, command.stale())
        return (command._txn,)

    def timers(self) -> tuple[Any, ...]:
        """All alarms that are on, in their order."""
        return tuple(
            (round(due - self._simulation.t, 6), self.call(alarm.call))
            for due, _, alarm in sorted(self._simulation.timers._heap, key=lambda entry: entry[:2])
            if alarm.call is not None
        )

    def call(self, call: Callable[[], None]) -> tuple[Any, ...]:
        """What an alarm will do."""
        if not isinstance(call, partial):
            return (getattr(call, "__name__", ""),)
        found: list[Any] = [getattr(call.func, "__name__", "")]
        for argument in call.args:
            if isinstance(argument, requests.Attempt):
                found += [self.request_place(argument.request.req), argument.number]
            elif isinstance(argument, requests.OpenRequest):
                found.append(self.request_place(argument.req))
            else:
                found.append(self.request_place(getattr(argument, "token", -1)))
        return tuple(found)

    # -- the decision module --

    def director(self) -> tuple[Any, ...]:
        """The decision module."""
        d, time = self._simulation.route._director, self.time
        listed = tuple(self.node(d._listed[key]) for key in sorted(d._listed))
        popularity = d._popularity
        table = tuple(
            (key, _number(item.size), _number(item.count), item.parts)
            for key, item in sorted(popularity._table.items())
        )
        counted = (
            table,
            _number(popularity._total),
            _number(popularity._bytes),
            time(popularity._origin),
            popularity._seen,
            popularity._rebuild_at,
            _number(popularity._least),
            popularity._cuts,
        )
        health = tuple(
            tuple(
                (key, *found)
                for key, value in sorted(each.items())
                if (found := self.health(value)) is not None
            )
            for each in (d._cache_health, d._source_health)
        )
        cold = tuple(
            tuple(
                (key, tuple((time(at), _number(work)) for at, work in entries))
                for key, entries in sorted(each.sent.items())
            )
            for each in (d._cold_caches, d._cold_parents)
        )
        purges = tuple((key, time(at)) for key, at in sorted(d._purges._moments.items()))
        held = tuple(sorted((self.request_place(req), *self.held(value)) for req, value in d._held.items()))
        loads = tuple((key, *self.load(value)) for key, value in sorted(d._loads.items()))
        copies = tuple((key, time(at)) for key, at in sorted(d._copies.items()))
        means = tuple((count, _number(mean)) for count, mean in d._mean_work)
        return (
            listed,
            counted,
            health,
            cold,
            purges,
            held,
            loads,
            _number(d._wait),
            self.load(d._origin),
            self.load(d._link),
            copies,
            means,
            _number(d._hedges),
        )

    def health(self, health: choice.Health) -> tuple[float, ...] | None:
        """A node's health; None if nothing is known."""
        found = (
            self.time(health.heard),
            float(health.marks),
            self.time(health.until),
            self.time(health.broke),
        )
        return None if found == (-float("inf"), 0.0, -float("inf"), -float("inf")) else found

    def load(self, load: choice.Load) -> tuple[Any, ...]:
        """A link's load."""
        return (
            _number(load.carries),
            _number(load.room),
            load.out,
            _number(load.work),
            _number(load.took),
            _number(load.sent),
            self.time(load.at),
        )

    def held(self, held: choice.Held) -> tuple[Any, ...]:
        """A request of the module."""
        attempts = tuple(
            (
                attempt.node,
                attempt.source,
                self.time(attempt.sent),
                self.time(attempt.due),
                attempt.fills,
                self.time(attempt.budget[0]),
                _number(attempt.budget[1]),
                attempt.beside,
                attempt.pending,
                attempt.may_have_run,
                attempt.overdue,
            )
            for attempt in held.attempts
        )
        return (
            _number(held.work),
            self.time(held.deadline),
            _number(held.aim),
            attempts,
            held.missed,
            held.spares,
            held.turned_away,
            tuple(sorted(held.tried)),
            tuple(sorted(held.bad_sources)),
        )

    # -- peers and the monitor --

    def around(self) -> tuple[Any, ...]:
        """Clients, list, log and limits."""
        simulation, session = self._simulation, self._simulation.session
        decoder = session._decoder
        client = (
            tuple(sorted(decoder.open)),
            tuple(sorted(decoder._taking)),
            decoder.turned_away,
            decoder.keep,
            decoder.closing,
            decoder._part,
            decoder._left,
            decoder._padding,
            self.time(decoder.part_since),
            len(session._buffer),
            session._leaving,
            session._unwanted,
            self.time(session._partial_since),
            session.mute,
            tuple(session._urgent),
            tuple((ident, tuple(records)) for ident, records in session._answers),
            session._unsent,
            bytes(session._rest),
            session._full,
            session._broken,
            session.closing,
            session.finished,
            -1 if session.sock.room is None else session.sock.room,
            session.sock.gone,
            tuple(sorted(simulation.heads.items())),
        )
        members = tuple(
            (node, name, int(state), self.time(started))
            for node, (name, state, started) in sorted(simulation.members.items())
        )
        behind = len(simulation.log) - simulation.follower.last
        log = (
            simulation.log_up,
            simulation.log_skips,
            behind,
            simulation.follower._jumped - simulation.follower.last,
            tuple(simulation.log[simulation.follower.last :]),
            simulation.log[-1][13:] if "repeat" in simulation.scope.kinds else b"",
        )
        return (
            client,
            members,
            log,
            tuple(sorted(simulation.processes.items())),
            tuple(simulation.requests),
            simulation.faults,
            round(simulation.term_at - simulation.t, 6),
            simulation.expired,
        )

    def monitor(self) -> tuple[Any, ...]:
        """What the monitor has to remember."""
        monitor = self._simulation.monitor
        purges = tuple(
            (self.time(told), self.time(at), group, key) for told, at, group, key in monitor.purges
        )
        seen = []
        for txn, one in monitor.seen.items():
            over = one.state != "open" and self._simulation.route.requests._txns.get(txn) is None
            sent = (
                ()
                if over
                else tuple((s.number, s.node, self.time(s.at), s.purges, s.not_run, s.over) for s in one.sent)
            )
            seen.append(
                (
                    txn,
                    one.state,
                    0.0 if over else self.time(one.due),
                    sent,
                    () if over else (tuple(one.ended), one.orders, tuple(sorted(one.words.items()))),
                )
            )
        return (purges, tuple(seen))


def encode_state(simulation: SimulationState) -> bytes:
    """The whole state of a simulation in its canonical form."""
    encoder = _Encoder(simulation)
    channels = tuple(map(encoder.channel, simulation.channels))
    state = (
        encoder.core(),
        tuple(sorted(channels, key=lambda channel: channel[0])),
        encoder.timers(),
        encoder.director(),
        encoder.around(),
        encoder.monitor(),
    )
    return marshal.dumps(state, 2)


def all_parts(simulation: SimulationState) -> list[object]:
    """The objects in a simulation whose fields `check_fields` is to compare with the ledger."""
    route = simulation.route
    director = route._director
    found: list[object] = [
        route,
        route.admit,
        route.book,
        route.relay,
        route.send,
        route.requests,
        route.nodes,
        simulation.budget,
        simulation.timers,
        simulation.session,
        simulation.session._decoder,
        director,
        director._popularity,
        director._purges,
        director._cold_caches,
        director._link,
    ]
    for request in route.requests:
        found += [request, *request.attempts]
    for one in simulation.channels:
        found += [one, one.sock, one.link, one.decoder]
    for held in director._held.values():
        found += [held, *held.attempts]
    found += list(director._cache_health.values())
    return found

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
from typing import TYPE_CHECKING, Any

import xxhash

from stonecove import choice
from stonecove.explore import peers
from stonecove.runtime.timers import Timers
from stonecove.interface import Get, Node
from stonecove.memory import budget, nodes, requests
from stonecove.stages import admit, relay, route, send
from stonecove.stages.book import Book
from stonecove.wire import channel, fastcgi, session
from stonecove.wire.resp import Decoder

if TYPE_CHECKING:
    from stonecove.explore.world import World

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
        {"link": WIRING, "world": WIRING, "last": DERIVED, "owed": DERIVED},
    ),
    peers.LinkSocket: ("room dead _midway", {"_world": WIRING, "_channel": WIRING, "_command": DERIVED}),
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
            "handle": "the witness's own",
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


class _Encoder:
    """One walk through a world."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._now = world.now
        self._place = {request.req: int(request.asked.txn, 16) for request in world.route.requests}

    def time(self, moment: float) -> float:
        """A Unix millisecond, told from now on; 0 stays 0."""
        return round(moment - self._now, 3) + 0.0 if moment else 0.0

    def request_place(self, req: int) -> int:
        """A request by its place in the scope."""
        return self._place.get(req, -1)

    # -- stages and memory --

    def core(self) -> tuple[Any, ...]:
        """Stages and memory."""
        route, time = self._world.route, self.time
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
            self._world.budget.most,
            self._world.budget._used,
            self._world.budget._coming,
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
            round(channel.until - self._world.t, 6),
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
            any(link is channel.link for link in self._world.route.send._links.get(channel.link.node, ())),
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
            (round(due - self._world.t, 6), self.call(alarm.call))
            for due, _, alarm in sorted(self._world.timers._heap, key=lambda entry: entry[:2])
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
        d, time = self._world.route._director, self.time
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

    # -- peers and the witness --

    def around(self) -> tuple[Any, ...]:
        """Clients, list, log and limits."""
        world, session = self._world, self._world.session
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
            tuple(sorted(world.heads.items())),
        )
        members = tuple(
            (node, name, int(state), self.time(started))
            for node, (name, state, started) in sorted(world.members.items())
        )
        behind = len(world.log) - world.follower.last
        log = (
            world.log_up,
            world.log_skips,
            behind,
            world.follower._jumped - world.follower.last,
            tuple(world.log[world.follower.last :]),
            world.log[-1][13:] if "repeat" in world.scope.kinds else b"",
        )
        return (
            client,
            members,
            log,
            tuple(sorted(world.processes.items())),
            tuple(world.requests),
            world.faults,
            round(world.term_at - world.t, 6),
            world.expired,
        )

    def witness(self) -> tuple[Any, ...]:
        """What the witness has to remember."""
        witness = self._world.witness
        purges = tuple(
            (self.time(told), self.time(at), group, key) for told, at, group, key in witness.purges
        )
        seen = []
        for txn, one in witness.seen.items():
            over = one.state != "open" and self._world.route.requests._txns.get(txn) is None
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


def encode_world(world: World) -> bytes:
    """The whole state of a world."""
    encoder = _Encoder(world)
    channels = tuple(map(encoder.channel, world.channels))
    state = (
        encoder.core(),
        tuple(sorted(channels, key=lambda channel: channel[0])),
        encoder.timers(),
        encoder.director(),
        encoder.around(),
        encoder.witness(),
    )
    return marshal.dumps(state, 2)


def all_parts(world: World) -> list[object]:
    """One object of each class of the ledger that the world holds, to check its fields."""
    route = world.route
    director = route._director
    found: list[object] = [
        route,
        route.admit,
        route.book,
        route.relay,
        route.send,
        route.requests,
        route.nodes,
        world.budget,
        world.timers,
        world.session,
        world.session._decoder,
        director,
        director._popularity,
        director._purges,
        director._cold_caches,
        director._link,
    ]
    for request in route.requests:
        found += [request, *request.attempts]
    for one in world.channels:
        found += [one, one.sock, one.link, one.decoder]
    for held in director._held.values():
        found += [held, *held.attempts]
    found += list(director._cache_health.values())
    return found

"""Stage 4, send: takes an attempt to its cache, with the last look before its first byte."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

from stonecove.pipeline.book import Book
from stonecove.pipeline.relay import Relay, Reply
from stonecove.protocols import resp
from stonecove.protocols.upstream_channel import Channel, Owner
from stonecove.routing.actions import FetchMode, SendAttempt
from stonecove.routing.endpoints import NodeId
from stonecove.routing.events import Outcome
from stonecove.routing.settings import Idempotency, Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log_some
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.timers import Timers
from stonecove.state.nodes import NodeTable
from stonecove.state.requests import Attempt

IDLE_PART = 0.6  # a connection idle for this part of the allowed time is closed before the cache does it
SILENT = 3.0  # connect time-outs without a byte, though some are owed, after which a connection gets no more
MOST_LINKS = 16  # connections to one node; what breaks or is spoilt takes along all that is on its connection
MOST_OUT = 256  # attempts out at one node for which there are connections, however few go on each
MOST_RECENT = 256  # ids that a connection keeps, of what was answered and of what was given up
SHARED = 4  # attempts on a connection before another is opened, where connections have a price
SWEEP = 200.0
SLOW = 0.25  # part of the connect time-out after which what waits goes by another connection
STUCK = 400.0  # ms, or a connect time-out, without a byte of an answer begun, after which its connection goes
MODES = (
    (FetchMode.JOIN_FILL, "wait-for"),
    (FetchMode.CACHED_ONLY, "no-fetch"),
    (FetchMode.NO_PARENT_COPY, "no-keep"),
    (FetchMode.REVALIDATE, "background"),
)

# Opens a connection for its owner, to that address, within so many seconds.
Connect = Callable[[Owner, tuple[str, int], float], Channel]


def command(attempt: Attempt, now: float) -> bytes:
    """The words of a fetch."""
    order, asked = attempt.order, attempt.request.asked
    fields = [
        ("cls", asked.cls),
        ("item", asked.item),
        ("chunk", asked.chunk),
        ("limit", str(max(1, int(order.deadline_ms - now)))),
    ]
    if order.source_id != order.node_id:
        fields.append(("from", f"s-{order.source_id:08x}"))
    if order.cache_rank:
        fields.append(("rank", str(order.cache_rank)))
    if order.max_age_ms > 0:
        fields.append(("oldest", str(max(1, int(order.max_age_ms)))))
    if mode := "+".join(word for bit, word in MODES if order.fetch_mode & bit):
        fields.append(("mode", mode))
    if asked.client_tag:
        fields.append(("seen", asked.client_tag))
    if asked.idempotency_key:
        fields.append(("nonce", asked.idempotency_key))
    return resp.encode(b"fetch", asked.txn.encode(), resp.words(fields), asked.body)


class Recent(dict[str, None]):
    """The latest ids, in order; a look costs the same however many there are."""

    def add(self, txn: str) -> None:
        """Notes one, and forgets the oldest of too many."""
        self[txn] = None
        if len(self) > MOST_RECENT:
            del self[next(iter(self))]


class Link:
    """A connection to a node and the attempts that are on it."""

    def __init__(self, node: NodeId, send: Send, address: tuple[str, int], now: float) -> None:
        self.node = node
        self.address = address
        self.opened_at = now
        self.open: dict[str, Attempt] = {}
        self.given_up = Recent()
        self.answered = Recent()
        self.doubtful = False  # an attempt was given up on it after a long silence
        self.heard_at = now
        self.used_at = now
        self._send = send
        self.connection: Channel

    def opened(self, connection: Channel) -> None:
        """It is up."""
        self._send.relieve(self)

    def arrived(self, connection: Channel, array: list[bytes]) -> None:
        """An answer came in."""
        self._send.arrived(self, array)

    def closed(self, connection: Channel, why: str) -> None:
        """The connection is over."""
        self._send.down(self, why)

    def takes(self, txn: str, now: float, streams: int, silence: float) -> bool:
        """Whether another attempt may go on this connection.

        Guards against two answers under one id, against a connection to a machine that has vanished, and
        against waiting behind an answer that nobody waits for and that may never end. An id goes on a
        connection once: a late or second answer to its first attempt would be taken for the word on the next,
        which may run although that word was `full`.
        """
        if (
            self.connection.over
            or self.doubtful
            or len(self.open) >= streams
            or txn in self.open
            or (txn in self.given_up or txn in self.answered)
        ):
            return False
        if not self.open:
            return not self.connection.halfway_at
        oldest = min((a.written_at or a.ordered_at for a in self.open.values()), default=now)
        return now - max(oldest, self.heard_at) < silence


def _load(link: Link) -> tuple[bool, int]:
    """Those that are up come first: nobody knows when, or whether, another one comes up."""
    return not link.connection.up, len(link.open)


class Fetch:
    """An attempt in a connection's queue."""

    def __init__(self, send: Send, attempt: Attempt, link: Link) -> None:
        self._send = send
        self._attempt = attempt
        self._link = link

    def stale(self) -> bool:
        """Whether the attempt has ended or is on another connection by now, or was written already."""
        attempt = self._attempt
        return self._link.open.get(attempt.request.asked.txn) is not attempt or attempt.written_at > 0

    def begin(self) -> bytes | None:
        """The last look; None if the attempt can't go any more. Guards against writing one twice."""
        return None if self.stale() else self._send.begin(self._attempt)

    def unwritten(self) -> None:
        """Not a byte went out."""
        self._attempt.written_at = 0.0


class Abort:
    """Gives an attempt up that was written."""

    def __init__(self, txn: str) -> None:
        self._txn = txn

    def begin(self) -> bytes | None:
        """The words."""
        return resp.encode(b"abort", self._txn.encode())

    def unwritten(self) -> None:
        """Then the connection is over, and with it the attempt."""


class Send:
    """All connections to caches."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        nodes: NodeTable,
        settings: Settings,
        book: Book,
        relay: Relay,
        connect: Connect,
    ) -> None:
        self._clock, self._timers, self._nodes = clock, timers, nodes
        self._settings = settings
        self._book, self._relay, self._connect = book, relay, connect
        self.most_links = 0
        # whether what was decided of an attempt does not hold any more, where shares are leased
        self.outlived: Callable[[Attempt], bool] | None = None
        # told of each attempt that is about to be written
        self.watcher: Callable[[Attempt], None] | None = None
        self._links: dict[NodeId, list[Link]] = {}
        self._where: dict[Attempt, Link] = {}
        self._timers.at(clock.now() + SWEEP, self._sweep)

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold from now on, for connections that are open as well."""
        self._settings = settings

    def links(self) -> int:
        """How many connections there are."""
        return sum(map(len, self._links.values()))

    def order(self, attempt: Attempt) -> None:
        """Sends an attempt on its way."""
        attempt.alarm = self._timers.at(attempt.order.deadline_ms, partial(self.late, attempt))
        self._place(attempt)

    def _place(self, attempt: Attempt) -> None:
        """Puts an attempt on a connection."""
        order = attempt.order
        if not self.may_go(attempt):
            return
        link = self._link(attempt, self._clock.now())
        if link is None:  # our own lack, which says nothing of the cache
            log_some(
                LogEvent.UPSTREAM_CONNECTION_LIMIT_REACHED,
                node=f"s-{order.node_id:08x}",
                connections=self.links(),
            )
            self._book.ended(attempt, Outcome.EXPIRED_UNSENT)
            return
        self._put(attempt, link)

    def _put(self, attempt: Attempt, link: Link) -> None:
        link.open[attempt.request.asked.txn] = attempt
        self._where[attempt] = link
        link.connection.put(Fetch(self, attempt, link))

    def relieve(self, link: Link) -> None:
        """A connection that is up and free takes over what waits for another one to the same node.

        Guards against a request that waits for a connection that comes up late, or never, beside one that
        is idle.
        """
        for other in list(self._links.get(link.node, ())):
            for attempt in [] if other.connection.up else list(other.open.values()):
                if (
                    not link.open
                    and other.address == link.address
                    and link.takes(attempt.request.asked.txn, self._clock.now(), 1, 0.0)
                ):
                    self._unlink(attempt)
                    link.used_at = self._clock.now()
                    self._put(attempt, link)

    def _link(self, attempt: Attempt, now: float) -> Link | None:
        """A free connection, else a new one, else the one with the least on it.

        Guards against one answer that is spoilt taking many others along. Where connections have a price,
        what may be repeated shares a few: guards against all routers holding as many to a cache as they have
        requests there.
        """
        node, txn = attempt.order.node_id, attempt.request.asked.txn
        shares = (
            self._settings.handshakes_priced and attempt.request.cls.idempotency is Idempotency.IDEMPOTENT
        )
        few = min(SHARED, self._settings.streams_per_connection) if shares else 1
        silence = SILENT * max(self._settings.connect_timeout_ms, 100.0)
        address, links = self._nodes.address(node), self._links.get(node, [])
        prompt = [link for link in links if not (self._slow(link, now) or self._idle_too_long(link, now))]
        for link in sorted((link for link in prompt if len(link.open) < few), key=_load):
            if link.address == address and link.takes(txn, now, few, silence):
                link.used_at = now
                return link
        fair = max(2, self.most_links // max(1, len(self._links)))
        most = max(MOST_LINKS, MOST_OUT // self._settings.streams_per_connection)
        if len(links) < min(most, fair) and (self.links() < self.most_links or self._make_room()):
            link = Link(node, self, address, now)
            # Guards against a node that is gone and is noticed later, as its connections are tried in a row.
            left = self._settings.connect_timeout_ms - (now - attempt.ordered_at)
            patience = left if left > 0 else self._settings.connect_timeout_ms
            link.connection = self._connect(link, address, max(patience, 1.0) / 1000.0)
            self._links.setdefault(node, []).append(link)
            return link
        for link in sorted(links, key=_load):
            if (
                link.address == address
                and not self._idle_too_long(link, now)
                and link.takes(txn, now, self._settings.streams_per_connection, silence)
            ):
                link.used_at = now
                return link
        return None

    def _idle_too_long(self, link: Link, now: float) -> bool:
        """Return whether the cache may be closing a connection on which nothing has been open for a while."""
        return not link.open and now - link.used_at > IDLE_PART * self._settings.connection_idle_ms

    def _slow(self, link: Link, now: float) -> bool:
        """Whether a connection has been coming up for long: nothing more is to wait for it."""
        return not link.connection.up and now - link.opened_at >= SLOW * self._settings.connect_timeout_ms

    def _hurry(self, link: Link, now: float) -> None:
        """Puts what waits for a slow connection on another one, once; the first that is up has it.

        Guards against a cache that is given up for one connection that comes up late, or never.
        """
        for attempt in list(link.open.values()):
            if not attempt.moved and self.links() < self.most_links and (other := self._link(attempt, now)):
                attempt.moved = True
                self._unlink(attempt)
                self._put(attempt, other)

    def _make_room(self) -> bool:
        """Closes the connection that has been idle for longest; says whether there was one."""
        idle = [
            link
            for links in self._links.values()
            for link in links
            if not link.open and not link.connection.over
        ]
        if idle:
            min(idle, key=lambda link: link.used_at).connection.close()
        return bool(idle)

    def may_go(self, attempt: Attempt) -> bool:
        """Whether the attempt may still go; if not, it ends as never sent.

        Guards against drains, ends and purges that were told after the order, against a request that has
        its answer by now, and against a repeat whose window has passed while it waited.
        """
        order: SendAttempt = attempt.order
        if attempt.ended:
            return False
        over = attempt.request.answered or attempt.outdated or self._window_over(attempt)
        if (
            over
            or not self._nodes.ready(order.node_id)
            or (order.source_id != order.node_id and not self._nodes.ready(order.source_id))
        ):
            self._finish(attempt, Outcome.EXPIRED_UNSENT)
            return False
        return True

    def _window_over(self, attempt: Attempt) -> bool:
        """Whether another attempt may have run, and began so long ago that the class allows no repeat now.

        Whichever was ordered first: the other may have been written before it.
        """
        cls = attempt.request.cls
        return cls.idempotency is Idempotency.IDEMPOTENCY_KEY and any(
            other.written_at
            and not other.not_run
            and self._clock.now() - other.written_at >= cls.deduplication_window_ms
            for other in attempt.request.attempts
        )

    def begin(self, attempt: Attempt) -> bytes | None:
        """The bytes of an attempt whose first byte is about to be written; None if it can't go."""
        if attempt.request.asked.check_connection is not None:
            attempt.request.asked.check_connection()
        if not self.may_go(attempt):
            return None
        if self.outlived is not None and self.outlived(attempt):
            # Guards against what was decided on a share of before we were stopped.
            self._finish(attempt, Outcome.EXPIRED_UNSENT)
            return None
        now = self._clock.now()
        attempt.written_at = now
        if self.watcher is not None:
            self.watcher(attempt)
        return command(attempt, now)

    def cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Gives an attempt up; what was written is aborted by its id."""
        link = self._where.get(attempt)
        if attempt.written_at and link is not None and not link.connection.over:
            link.given_up.add(attempt.request.asked.txn)
            link.connection.put(Abort(attempt.request.asked.txn))
            silent_for = self._clock.now() - max(attempt.written_at, link.heard_at)
            link.used_at = self._clock.now()
            # Guards against a connection on which nothing comes back taking the next attempt, too.
            link.doubtful |= silent_for > SILENT * max(self._settings.connect_timeout_ms, 100.0)
        self._finish(attempt, outcome)

    def late(self, attempt: Attempt) -> None:
        """The time of an attempt has run out; one that was never written surely did not run."""
        self.cancel(attempt, Outcome.TIMEOUT if attempt.written_at else Outcome.CONNECT_FAILED)

    def _finish(self, attempt: Attempt, outcome: Outcome) -> None:
        self._unlink(attempt)
        self._book.ended(attempt, outcome)

    def _unlink(self, attempt: Attempt) -> None:
        link = self._where.pop(attempt, None)
        if link is not None:
            link.open.pop(attempt.request.asked.txn, None)

    def arrived(self, link: Link, array: list[bytes]) -> None:
        """An answer on a connection; one under an id that is not open there is not owed, and dropped.

        Raises RespError if it can't be read: then nothing on this connection can be trusted any more.
        """
        if len(array) != 4:
            raise resp.RespError(f"an answer of {len(array)} parts")
        txn, reply = (
            array[0].decode("latin-1"),
            Reply(array[1].decode("latin-1"), resp.fields_of(array[2]), array[3]),
        )
        attempt = link.open.get(txn)
        if attempt is None or not attempt.written_at:
            if txn in link.given_up:
                link.heard_at = self._clock.now()
            return
        if why := self._relay.spoilt(attempt, reply):
            raise resp.RespError(why)
        link.heard_at = link.used_at = self._clock.now()
        link.answered.add(txn)
        self._unlink(attempt)
        self._relay.arrived(attempt, reply)
        self.relieve(link)

    def down(self, link: Link, why: str) -> None:
        """A connection is over: what was written may have run, the rest did not.

        What was not written goes by another connection, once, if the end of this one says little of the
        cache.
        """
        links = self._links.get(link.node, [])
        if link in links:
            links.remove(link)
        if not links:
            self._links.pop(link.node, None)
        if link.open:
            log_some(
                LogEvent.UPSTREAM_CONNECTION_CLOSED,
                node=f"s-{link.node:08x}",
                open=len(link.open),
                reason=why,
            )
        excused = self._excused(link)
        for attempt in list(link.open.values()):
            if attempt.ended:
                continue
            if excused and not attempt.written_at and not attempt.moved:
                attempt.moved = True
                self._unlink(attempt)
                self._place(attempt)
            else:
                ours = link.connection.lacking or (excused and not link.connection.up)
                unseen = Outcome.EXPIRED_UNSENT if ours else Outcome.CONNECT_FAILED
                self._finish(attempt, Outcome.RESET if attempt.written_at else unseen)

    def _excused(self, link: Link) -> bool:
        """Whether the end of a connection says little of its cache.

        It had come up and was reset, or we closed it, or others to the same cache have worked since it was
        begun: guards against a cache that is given up for one connection.
        """
        if link.connection.late:
            return any(
                other.connection.up and other.heard_at >= link.opened_at
                for other in self._links.get(link.node, ())
            )
        return not link.connection.refused

    def started(self, node: NodeId, moment: float) -> None:
        """The node was started anew then. Guards against waiting on connections to what ran before;

        those opened since lead to the new process, and what is out on them goes on.
        """
        for link in list(self._links.get(node, [])):
            if link.opened_at < moment:
                link.connection.close()

    def gone(self) -> None:
        """Closes the connections to nodes that are listed no more: nobody there answers what is out."""
        for node in [node for node in self._links if not self._nodes.lists(node)]:
            for link in list(self._links[node]):
                link.connection.close()

    def _sweep(self) -> None:
        """Closes connections that are idle, stuck or in doubt, and has nothing wait for slow ones.

        Guards against writing into one that the cache is closing, and against one that stays open in the
        middle of an answer, or goes on for ever with one that was given up.
        """
        now, stuck_after = self._clock.now(), max(STUCK, self._settings.connect_timeout_ms)
        self._timers.at(now + SWEEP, self._sweep)
        for links in list(self._links.values()):
            for link in list(links):
                if self._slow(link, now) and not link.connection.over:
                    self._hurry(link, now)
                halfway = link.connection.halfway_at
                since = halfway if link.open else min(halfway, link.used_at)
                stuck = halfway and now - since > stuck_after
                if stuck or self._idle_too_long(link, now) or (not link.open and link.doubtful):
                    link.connection.close()


def connection_limit(sockets: int) -> int:
    """Connections to caches that a limit on descriptors leaves room for."""
    return max(4, math.floor(sockets / 3))

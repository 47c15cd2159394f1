"""A ZooKeeper session over trio: the I/O of a `zksession.Session`, and who gets which reply."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.session import (
    Down,
    Expired,
    Figures,
    Reply,
    Server,
    Session,
    SessionEvent,
    State,
    Up,
)
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent

GULP = 65_536
Feed = Callable[[SessionEvent], None]


class Ensemble:
    """Keeps one session for as long as it runs. Replies and events are handed over in their order."""

    def __init__(
        self, servers: tuple[Server, ...], seed: int, figures: Figures, after: Callable[[], None]
    ) -> None:
        """`after` is called once all events of a moment have been handed over."""
        self.session = Session(servers, seed, figures)
        self._after = after
        self._feeds: list[Feed] = []
        self._calls: dict[int, Callable[[Reply], None]] = {}
        self._token = 0
        self._changed = trio.Event()  # there is something to write, or another plan
        self._handing = False

    def add(self, feed: Feed) -> None:
        """Somebody who is told of all events of the session."""
        self._feeds.append(feed)

    def ask(self, what: zk.Request, call: Callable[[Reply], None]) -> None:
        """Sends a request; `call` gets its one reply, which may say that the connection was lost."""
        self._token += 1
        self._calls[self._token] = call
        self.session.ask(self._token, what, trio.current_time())
        self._changed.set()

    def close(self) -> None:
        """Ends the session, and with it `run`, once the server has been told."""
        if self.session.state is not State.CLOSED:
            self.session.close(trio.current_time())
            self._changed.set()

    async def run(self) -> None:
        """Connects again and again, until it is closed. No error of the network leaves here."""
        while self.session.state is not State.CLOSED:
            self._changed = trio.Event()
            plan = self.session.plan(trio.current_time())
            if plan.connect is not None:
                await self._connect(plan.connect)
            else:
                with trio.move_on_at(plan.until):
                    await self._changed.wait()
        self._hand_over()

    async def _connect(self, server: Server) -> None:
        session = self.session
        session.connecting(trio.current_time())
        try:
            with trio.socket.socket() as sock:
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                with trio.move_on_at(session.plan(trio.current_time()).until) as waiting:
                    await sock.connect(server)
                if waiting.cancelled_caught:
                    session.lost("not up in time", trio.current_time())
                elif session.state is State.CONNECTING:
                    session.opened(trio.current_time())
                    await self._live(sock)
        except OSError as error:
            session.lost(error.strerror or type(error).__name__, trio.current_time())
        self._hand_over()

    async def _live(self, sock: trio.socket.SocketType) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, sock, nursery.cancel_scope)
            nursery.start_soon(self._write, sock, nursery.cancel_scope)

    def _over(self) -> bool:
        return self.session.state not in (State.GREETING, State.CONNECTED)

    async def _read(self, sock: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        while not self._over():
            try:
                data = await sock.recv(GULP)
            except OSError as error:
                self.session.lost(error.strerror or type(error).__name__, trio.current_time())
                break
            if self._over():
                break
            if data:
                self.session.received(data, trio.current_time())
            else:
                self.session.lost("closed by the server", trio.current_time())
            self._hand_over()
            self._changed.set()
        scope.cancel()

    async def _write(self, sock: trio.socket.SocketType, scope: trio.CancelScope) -> None:
        """Writes what is to be sent, and looks at the time."""
        while not self._over():
            data = self.session.data_to_send()
            while data:
                try:
                    sent = await sock.send(data)
                except OSError as error:
                    self.session.lost(error.strerror or type(error).__name__, trio.current_time())
                    break
                data = data[sent:] or self.session.data_to_send()
            self._changed = trio.Event()
            if self._over():
                break
            until = self.session.plan(trio.current_time()).until
            with trio.move_on_at(until if until < math.inf else trio.current_time() + 60):
                await self._changed.wait()
            self.session.tick(trio.current_time())
        self._hand_over()
        scope.cancel()

    def _hand_over(self) -> None:
        """Works off what has happened; what that leads to comes after it."""
        if self._handing:
            return
        self._handing = True
        try:
            for event in self.session.events():
                if isinstance(event, Reply):
                    self._guarded(self._calls.pop(event.token), event)
                    continue
                self._log(event)
                for feed in self._feeds:
                    self._guarded(feed, event)
        finally:
            self._handing = False
        self._guarded(lambda _: self._after(), None)

    @staticmethod
    def _guarded(call: Callable[..., None], event: SessionEvent | None) -> None:
        """Guards against one event that can't be worked off ending the process."""
        try:
            call(event)
        except Exception as error:
            log(LogEvent.INTERNAL_ERROR, where="coordination", error=repr(error))

    def _log(self, event: SessionEvent) -> None:
        if isinstance(event, Up):
            where = self.session.server
            log(
                LogEvent.COORDINATION_CONNECTED,
                server=":".join(map(str, where or ())),
                session=f"{event.session:#x}",
                resumed=event.resumed,
            )
        elif isinstance(event, Down):
            where = self.session.server
            log(LogEvent.COORDINATION_DISCONNECTED, server=":".join(map(str, where or ())), reason=event.why)
        elif isinstance(event, Expired):
            log(LogEvent.COORDINATION_SESSION_EXPIRED, session=f"{event.session:#x}")

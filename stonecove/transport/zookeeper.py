"""The I/O of a ZooKeeper `Session` over trio, and the delivery of its replies and events."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.session import (
    Down,
    Expired,
    Reply,
    Server,
    Session,
    SessionConfig,
    SessionEvent,
    State,
    Up,
)
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent

READ_SIZE_BYTES = 65_536
EventListener = Callable[[SessionEvent], None]


class ZooKeeperClient:
    """Keeps one session open while it runs, and delivers replies and events in order."""

    def __init__(
        self, servers: tuple[Server, ...], seed: int, figures: SessionConfig, on_batch_end: Callable[[], None]
    ) -> None:
        """Create a client; `on_batch_end` is called after each batch of events was delivered."""
        self.session = Session(servers, seed, figures)
        self._on_batch_end = on_batch_end
        self._listeners: list[EventListener] = []
        self._callbacks: dict[int, Callable[[Reply], None]] = {}
        self._last_token = 0
        self._changed = trio.Event()  # there is data to write, or the session's plan has changed
        self._delivering = False

    def add_listener(self, listener: EventListener) -> None:
        """Add a listener that is called with all events of the session."""
        self._listeners.append(listener)

    def request(self, operation: zk.Request, callback: Callable[[Reply], None]) -> None:
        """Send a request; `callback` gets its one reply, which may report that the connection was lost."""
        self._last_token += 1
        self._callbacks[self._last_token] = callback
        self.session.send_request(self._last_token, operation, trio.current_time())
        self._changed.set()

    def close(self) -> None:
        """Close the session, which ends `run` once the server has been notified."""
        if self.session.state is not State.CLOSED:
            self.session.close(trio.current_time())
            self._changed.set()

    async def run(self) -> None:
        """Connect and reconnect until the session is closed. Network errors are not raised."""
        while self.session.state is not State.CLOSED:
            self._changed = trio.Event()
            plan = self.session.plan(trio.current_time())
            if plan.connect is not None:
                await self._connect(plan.connect)
            else:
                with trio.move_on_at(plan.until):
                    await self._changed.wait()
        self._deliver_events()

    async def _connect(self, server: Server) -> None:
        session = self.session
        session.connecting(trio.current_time())
        try:
            with trio.socket.socket() as sock:
                sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
                with trio.move_on_at(session.plan(trio.current_time()).until) as connect_scope:
                    await sock.connect(server)
                if connect_scope.cancelled_caught:
                    session.lost("not up in time", trio.current_time())
                elif session.state is State.CONNECTING:
                    session.opened(trio.current_time())
                    await self._exchange(sock)
        except OSError as error:
            session.lost(error.strerror or type(error).__name__, trio.current_time())
        self._deliver_events()

    async def _exchange(self, sock: trio.socket.SocketType) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, sock, nursery.cancel_scope)
            nursery.start_soon(self._write, sock, nursery.cancel_scope)

    def _is_closed(self) -> bool:
        return self.session.state not in (State.GREETING, State.CONNECTED)

    async def _read(self, sock: trio.socket.SocketType, nursery_scope: trio.CancelScope) -> None:
        while not self._is_closed():
            try:
                data = await sock.recv(READ_SIZE_BYTES)
            except OSError as error:
                self.session.lost(error.strerror or type(error).__name__, trio.current_time())
                break
            if self._is_closed():
                break
            if data:
                self.session.received(data, trio.current_time())
            else:
                self.session.lost("closed by the server", trio.current_time())
            self._deliver_events()
            self._changed.set()
        nursery_scope.cancel()

    async def _write(self, sock: trio.socket.SocketType, nursery_scope: trio.CancelScope) -> None:
        """Write pending data, and let the session check its time-outs."""
        while not self._is_closed():
            data = self.session.data_to_send()
            while data:
                try:
                    sent = await sock.send(data)
                except OSError as error:
                    self.session.lost(error.strerror or type(error).__name__, trio.current_time())
                    break
                data = data[sent:] or self.session.data_to_send()
            self._changed = trio.Event()
            if self._is_closed():
                break
            until_s = self.session.plan(trio.current_time()).until
            with trio.move_on_at(until_s if until_s < math.inf else trio.current_time() + 60):
                await self._changed.wait()
            self.session.tick(trio.current_time())
        self._deliver_events()
        nursery_scope.cancel()

    def _deliver_events(self) -> None:
        """Deliver pending replies and events; those that a delivery causes come after them."""
        if self._delivering:
            return
        self._delivering = True
        try:
            for event in self.session.events():
                if isinstance(event, Reply):
                    self._call_safely(self._callbacks.pop(event.token), event)
                    continue
                self._log(event)
                for listener in self._listeners:
                    self._call_safely(listener, event)
        finally:
            self._delivering = False
        self._call_safely(lambda _: self._on_batch_end(), None)

    @staticmethod
    def _call_safely(callback: Callable[..., None], event: SessionEvent | None) -> None:
        """Call back; an exception is logged, as an event that can't be processed must not end the process."""
        try:
            callback(event)
        except Exception as error:
            log(LogEvent.INTERNAL_ERROR, where="coordination", error=repr(error))

    def _log(self, event: SessionEvent) -> None:
        if isinstance(event, Up):
            server = self.session.server
            log(
                LogEvent.COORDINATION_CONNECTED,
                server=":".join(map(str, server or ())),
                session=f"{event.session:#x}",
                resumed=event.resumed,
            )
        elif isinstance(event, Down):
            server = self.session.server
            log(
                LogEvent.COORDINATION_DISCONNECTED,
                server=":".join(map(str, server or ())),
                reason=event.reason,
            )
        elif isinstance(event, Expired):
            log(LogEvent.COORDINATION_SESSION_EXPIRED, session=f"{event.session:#x}")

"""The HTTP listener: connections over trio, with TLS where certificates are named. Off on the platform."""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from stonecove.access.gate import Decision
from stonecove.exchange import BadRequestError
from stonecove.frontends.http import HeaderFields, HttpFrontend, log_malformed
from stonecove.operator_config.records import Http
from stonecove.protocols.http import HttpError, HttpRequest, HttpSession, State
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.state.requests import OpenRequest

GULP = 65_536
HEAD_WITHIN = 2.0  # seconds from a request's first byte to its last
IDLE_FOR = 60.0  # seconds for which a connection with nothing open is kept
WRITE_WITHIN = 10.0  # seconds for which a client may take in nothing
HANDSHAKE_WITHIN = 5.0
LINGER = 1.0  # seconds for which a client that we leave may go on sending
BACKLOG = 1024

Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]


def tls_of(http: Http) -> ssl.SSLContext | None:
    """A server's context, TLS 1.2 and later; raises OSError (ssl.SSLError is one) for files that can't be
    used.
    """
    if not http.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(http.certificate, http.key)
    context.set_alpn_protocols(["http/1.1"])
    return context


class HttpConnection:
    """One client connection: requests one after the other."""

    def __init__(self, stream: Stream, source: str, front: HttpFrontend, owner: HttpListener) -> None:
        self._stream, self._source, self._front, self._owner = stream, source, front, owner
        self._session = HttpSession()
        self._open: OpenRequest | None = None

    async def run(self) -> None:
        """Until either side ends it."""
        session = self._session
        try:
            while session.keep:
                request = await self._request()
                if request is None:
                    return
                self._owner.busy += 1
                try:
                    await self._serve(request)
                finally:
                    self._owner.busy -= 1
        except HttpError as error:
            log_limited(LogEvent.REQUEST_MALFORMED, status=error.status, reason=str(error), front="http")
            await self._send(session.refuse(error))
        finally:
            if self._open is not None:
                self._front.client_disconnected(self._open)

    async def _request(self) -> HttpRequest | None:
        """The next request's head; None if the client has gone, or was idle for long."""
        session = self._session
        limit = trio.current_time() + IDLE_FOR
        while (request := session.next()) is None:
            if session.began:
                limit = min(limit, trio.current_time() + HEAD_WITHIN)
            with trio.move_on_at(limit) as scope:
                data = await self._receive()
            if scope.cancelled_caught:
                if session.began:
                    raise HttpError(408, "a request that does not end")
                return None
            if not data:
                return None
            session.feed(data)
        return request

    async def _receive(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(GULP))
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return b""

    async def _serve(self, request: HttpRequest) -> None:
        """One request, from its head to its answer."""
        session, front = self._session, self._front
        decision = front.check_token(request, self._source)
        if decision is not None and not decision.good:
            status, fields = front.rejection_response(decision)
            if not request.length:
                session.next()
            await self._send(session.answer(status, fields, b"", self._owner.draining))
            return
        try:
            if request.expects:
                await self._send(session.go_on())
            with trio.move_on_after(HEAD_WITHIN) as scope:
                while session.state is State.BODY and session.next() is None:
                    data = await self._receive()
                    if not data:
                        front.release(decision, ran=False)
                        return self._end()
                    session.feed(data)
            if scope.cancelled_caught:
                raise HttpError(408, "a body that does not end")
        except HttpError:
            front.release(decision, ran=False)
            raise
        await self._ask(request, decision)

    def _end(self) -> None:
        self._session.keep = False

    async def _ask(self, request: HttpRequest, decision: Decision | None) -> None:
        """Hands a whole request on, and waits for its one answer or for the client's end."""
        answered = trio.Event()
        made: list[tuple[int, HeaderFields, bytes]] = []

        def reply(status: int, fields: HeaderFields, body: bytes) -> None:
            made.append((status, fields, body))
            answered.set()

        try:
            opened = self._front.handle_request(request, decision, self._source, reply)
        except BadRequestError as error:
            self._front.release(decision, ran=False)
            await self._send(self._session.answer(log_malformed(error), [], b"", self._owner.draining))
            return
        if opened is not None and not made:
            self._open = opened
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, nursery.cancel_scope)
                await answered.wait()
                nursery.cancel_scope.cancel()
            if not made:
                return self._end()  # the client has gone: `run` tells so
            self._open = None
        status, fields, body = made[0]
        await self._send(self._session.answer(status, fields, body, self._owner.draining))

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Takes in what is sent ahead; a client that ends its side while it waits has gone."""
        while True:
            data = await self._receive()
            if not data:
                scope.cancel()
                return
            try:
                self._session.feed(data)
            except HttpError:
                scope.cancel()
                return

    async def _send(self, data: bytes) -> None:
        """Guards against a client that takes in nothing."""
        try:
            with trio.move_on_after(WRITE_WITHIN) as scope:
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return self._end()
        if scope.cancelled_caught:
            self._end()


class HttpListener:
    """Accepts HTTP clients, up to a number of places."""

    def __init__(
        self, http: Http, front: HttpFrontend, spawn: Callable[[Callable[[], Awaitable[None]]], None]
    ) -> None:
        """Binds; raises OSError for an address or certificate that can't be used."""
        self._http, self.front, self._spawn = http, front, spawn
        self._tls = tls_of(http)
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._sock.bind(http.listen)
        except OSError:
            self._sock.close()
            raise
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self._accepting = trio.CancelScope()
        self.where = ":".join(map(str, self._sock.getsockname()))
        self.clients = 0
        self.busy = 0  # requests that are not answered and written
        self.draining = False

    def start(self) -> None:
        """Begins to accept."""
        self._spawn(self._accept)

    def reload(self, http: Http) -> None:
        """Takes a new certificate over, for connections to come; one that can't be used is a line, and the
        old one stays. The address stays, too.
        """
        try:
            self._tls = tls_of(http)
        except OSError as error:
            log(LogEvent.CERTIFICATE_REJECTED, reason=error.strerror or str(error))
            return
        self._http = http
        log(LogEvent.HTTP_RELOADED, tls=self._tls is not None)

    def drain(self) -> None:
        """Answers from now on are the last of their connections."""
        self.draining = True

    def stop(self) -> None:
        """No new connection is taken."""
        self._accepting.cancel()
        self._sock.close()

    async def _accept(self) -> None:
        listener = trio.socket.from_stdlib_socket(self._sock)
        with self._accepting:
            while True:
                if self.clients >= self._http.connections:
                    await trio.sleep(0.01)
                    continue
                try:
                    client, address = await listener.accept()
                except OSError:
                    await trio.sleep(0.05)
                    continue
                self.clients += 1
                self._spawn(partial(self._one, client, str(address[0])))

    async def _one(self, client: trio.socket.SocketType, source: str) -> None:
        """A connection; nothing that goes wrong with it leaves here."""
        try:
            plain = trio.SocketStream(client)
            stream: Stream = plain
            if self._tls is not None:
                stream = trio.SSLStream(plain, self._tls, server_side=True, https_compatible=True)
                try:
                    with trio.fail_after(HANDSHAKE_WITHIN):
                        await stream.do_handshake()
                except (trio.BrokenResourceError, trio.TooSlowError) as error:
                    log_limited(
                        LogEvent.TLS_HANDSHAKE_FAILED, source=source, reason=str(error.__cause__ or error)
                    )
                    await trio.aclose_forcefully(stream)
                    return
            await HttpConnection(stream, source, self.front, self).run()
            await self._leave(stream, plain)
        finally:
            self.clients -= 1

    @staticmethod
    async def _leave(stream: Stream, plain: trio.SocketStream) -> None:
        """Guards against an answer lost to a reset, as when a socket is closed with bytes unread."""
        with trio.move_on_after(LINGER), contextlib.suppress(trio.BrokenResourceError, OSError):
            if isinstance(stream, trio.SSLStream):
                await stream.aclose()
            else:
                await plain.send_eof()
                while await plain.receive_some(GULP):
                    pass
        await trio.aclose_forcefully(plain)

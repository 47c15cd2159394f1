"""The HTTP listener: connections over trio, with TLS if a certificate is configured. Off on the platform."""

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

READ_SIZE_BYTES = 65_536
REQUEST_TIMEOUT_S = 2.0  # from a request's first byte to the last of its head, and for its body
IDLE_TIMEOUT_S = 60.0  # for a connection without an open request
WRITE_TIMEOUT_S = 10.0  # for a client that reads nothing
HANDSHAKE_TIMEOUT_S = 5.0
LINGER_S = 1.0  # for which a client may go on sending after the router has ended the connection
LISTEN_BACKLOG = 1024

Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]


def tls_context(http: Http) -> ssl.SSLContext | None:
    """Return a server's context for TLS 1.2 and later; None if no certificate is configured.

    Raises OSError (of which ssl.SSLError is a subclass) for files that can't be used.
    """
    if not http.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(http.certificate, http.key)
    context.set_alpn_protocols(["http/1.1"])
    return context


class HttpConnection:
    """Serves the requests of one client connection, one after the other."""

    def __init__(self, stream: Stream, source: str, front: HttpFrontend, owner: HttpListener) -> None:
        self._stream, self._source, self._front, self._owner = stream, source, front, owner
        self._session = HttpSession()
        self._open: OpenRequest | None = None

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        session = self._session
        try:
            while session.keep_alive:
                request = await self._next_request()
                if request is None:
                    return
                self._owner.requests_in_flight += 1
                try:
                    await self._serve(request)
                finally:
                    self._owner.requests_in_flight -= 1
        except HttpError as error:
            log_limited(LogEvent.REQUEST_MALFORMED, status=error.status, reason=str(error), front="http")
            await self._send(session.error_response(error))
        finally:
            if self._open is not None:
                self._front.client_disconnected(self._open)

    async def _next_request(self) -> HttpRequest | None:
        """Return the next request's head; None if the client has disconnected or was idle too long."""
        session = self._session
        deadline = trio.current_time() + IDLE_TIMEOUT_S
        while (request := session.next_request()) is None:
            if session.has_partial_request:
                deadline = min(deadline, trio.current_time() + REQUEST_TIMEOUT_S)
            with trio.move_on_at(deadline) as scope:
                data = await self._receive()
            if scope.cancelled_caught:
                if session.has_partial_request:
                    raise HttpError(408, "the head of the request did not arrive in time")
                return None
            if not data:
                return None
            session.receive_data(data)
        return request

    async def _receive(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(READ_SIZE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return b""

    async def _serve(self, request: HttpRequest) -> None:
        """Serve one request, from its head to its answer."""
        session, front = self._session, self._front
        decision = front.check_token(request, self._source)
        if decision is not None and not decision.admitted:
            status, fields = front.rejection_response(decision)
            if not request.content_length:
                session.next_request()
            await self._send(session.response(status, fields, b"", self._owner.draining))
            return
        try:
            if request.expects_continue:
                await self._send(session.continue_response())
            with trio.move_on_after(REQUEST_TIMEOUT_S) as scope:
                while session.state is State.BODY and session.next_request() is None:
                    data = await self._receive()
                    if not data:
                        front.release(decision, ran=False)
                        return self._disable_keep_alive()
                    session.receive_data(data)
            if scope.cancelled_caught:
                raise HttpError(408, "the body of the request did not arrive in time")
        except HttpError:
            front.release(decision, ran=False)
            raise
        await self._forward(request, decision)

    def _disable_keep_alive(self) -> None:
        self._session.keep_alive = False

    async def _forward(self, request: HttpRequest, decision: Decision | None) -> None:
        """Forward a complete request, and wait for its answer or for the client to disconnect."""
        answered = trio.Event()
        answers: list[tuple[int, HeaderFields, bytes]] = []

        def reply(status: int, fields: HeaderFields, body: bytes) -> None:
            answers.append((status, fields, body))
            answered.set()

        try:
            opened = self._front.handle_request(request, decision, self._source, reply)
        except BadRequestError as error:
            self._front.release(decision, ran=False)
            await self._send(self._session.response(log_malformed(error), [], b"", self._owner.draining))
            return
        if opened is not None and not answers:
            self._open = opened
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_client, nursery.cancel_scope)
                await answered.wait()
                nursery.cancel_scope.cancel()
            if not answers:
                return self._disable_keep_alive()  # the client has disconnected: `run` reports it
            self._open = None
        status, fields, body = answers[0]
        await self._send(self._session.response(status, fields, body, self._owner.draining))

    async def _watch_client(self, scope: trio.CancelScope) -> None:
        """Read pipelined data; a client that closes its side while it waits counts as disconnected."""
        while True:
            data = await self._receive()
            if not data:
                scope.cancel()
                return
            try:
                self._session.receive_data(data)
            except HttpError:
                scope.cancel()
                return

    async def _send(self, data: bytes) -> None:
        """Write data; end the connection if the client does not read it in time."""
        try:
            with trio.move_on_after(WRITE_TIMEOUT_S) as scope:
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return self._disable_keep_alive()
        if scope.cancelled_caught:
            self._disable_keep_alive()


class HttpListener:
    """Accepts HTTP clients, up to the configured number of connections."""

    def __init__(
        self, http: Http, front: HttpFrontend, spawn: Callable[[Callable[[], Awaitable[None]]], None]
    ) -> None:
        """Bind the socket; raises OSError for an address or certificate that can't be used."""
        self._http, self.front, self._spawn = http, front, spawn
        self._tls = tls_context(http)
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self._sock.bind(http.listen)
        except OSError:
            self._sock.close()
            raise
        self._sock.listen(LISTEN_BACKLOG)
        self._sock.setblocking(False)
        self._accepting = trio.CancelScope()
        self.address = ":".join(map(str, self._sock.getsockname()))
        self.clients = 0
        self.requests_in_flight = 0  # requests whose answer is not yet written
        self.draining = False

    def start(self) -> None:
        """Start to accept connections."""
        self._spawn(self._accept)

    def reload(self, http: Http) -> None:
        """Use a new certificate for new connections; the address does not change.

        A certificate that can't be used is logged, and the present one stays in use.
        """
        try:
            self._tls = tls_context(http)
        except OSError as error:
            log(LogEvent.CERTIFICATE_REJECTED, reason=error.strerror or str(error))
            return
        self._http = http
        log(LogEvent.HTTP_RELOADED, tls=self._tls is not None)

    def drain(self) -> None:
        """Close each connection after its next answer from now on."""
        self.draining = True

    def stop(self) -> None:
        """Stop accepting connections."""
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
                self._spawn(partial(self._serve_client, client, str(address[0])))

    async def _serve_client(self, client: trio.socket.SocketType, source: str) -> None:
        """Serve one connection, with its TLS handshake."""
        try:
            transport = trio.SocketStream(client)
            stream: Stream = transport
            if self._tls is not None:
                stream = trio.SSLStream(transport, self._tls, server_side=True, https_compatible=True)
                try:
                    with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                        await stream.do_handshake()
                except (trio.BrokenResourceError, trio.TooSlowError) as error:
                    log_limited(
                        LogEvent.TLS_HANDSHAKE_FAILED, source=source, reason=str(error.__cause__ or error)
                    )
                    await trio.aclose_forcefully(stream)
                    return
            await HttpConnection(stream, source, self.front, self).run()
            await self._shut_down(stream, transport)
        finally:
            self.clients -= 1

    @staticmethod
    async def _shut_down(stream: Stream, transport: trio.SocketStream) -> None:
        """Close the connection in order: closing a socket with unread bytes resets it and loses answers."""
        with trio.move_on_after(LINGER_S), contextlib.suppress(trio.BrokenResourceError, OSError):
            if isinstance(stream, trio.SSLStream):
                await stream.aclose()
            else:
                await transport.send_eof()
                while await transport.receive_some(READ_SIZE_BYTES):
                    pass
        await trio.aclose_forcefully(transport)

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
from stonecove.protocols.http import MAX_PENDING_BYTES, HttpError, HttpRequest, HttpSession, State
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.server.client_eviction import EVICTION_FRACTION, select_for_eviction
from stonecove.server.http_place import HttpPlace
from stonecove.state.budget import MemoryBudget
from stonecove.state.client_activity import PlaceUse
from stonecove.state.requests import OpenRequest
from stonecove.transport.peer_state import has_input, peer_has_ended, unread_bytes

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

    def __init__(
        self, stream: Stream, source: str, front: HttpFrontend, owner: HttpListener, place: HttpPlace
    ) -> None:
        """Serve a stream from the address `source`, whose client has `place`."""
        self._stream, self._source, self._front, self._owner = stream, source, front, owner
        self._place = place
        self._session = HttpSession()
        self._open: OpenRequest | None = None
        self._buffered_bytes = 0  # counted in the memory budget
        self._input_scope = trio.CancelScope()  # of a wait for input
        self._is_refused = False  # evicted, or its input was discarded for want of memory

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        session = self._session
        try:
            while session.keep_alive and not self._is_refused:
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
            session.discard_buffered()
            self._count_buffered()
            if self._open is not None:
                self._front.client_disconnected(self._open)

    def stop_input(self) -> None:
        """End the wait for input, unless some has arrived; a request in part is refused."""
        if not has_input(self._place.sock):
            self._is_refused = True
            self._input_scope.cancel()

    def discard_incomplete(self) -> None:
        """Drop what has been received of a request: the memory budget is exhausted."""
        self._session.discard_buffered()
        self._count_buffered()
        self._is_refused = True
        self._input_scope.cancel()

    def _count_buffered(self) -> None:
        """Bring the memory budget up to date with the session's buffer."""
        added, self._buffered_bytes = (
            self._session.buffered_bytes - self._buffered_bytes,
            self._session.buffered_bytes,
        )
        if added:
            self._place.budget.add_incomplete(added, self)

    def _accept_data(self, data: bytes) -> None:
        """Pass received data to the session; raise HttpError if there is no memory for it."""
        if not self._place.budget.can_receive(len(data), self):
            raise HttpError(503, "no memory for a request")
        self._session.receive_data(data)
        self._count_buffered()
        self._place.input_received(is_partial=True)

    async def _next_request(self) -> HttpRequest | None:
        """Return the next request's head; None if the client has disconnected or was idle too long."""
        session = self._session
        deadline = trio.current_time() + IDLE_TIMEOUT_S
        while (request := session.next_request()) is None:
            if session.has_partial_request:
                deadline = min(deadline, trio.current_time() + REQUEST_TIMEOUT_S)
            with trio.CancelScope(deadline=deadline) as self._input_scope:
                data = await self._receive()
            if self._input_scope.cancelled_caught:
                if session.has_partial_request:
                    raise self._input_error("the head of the request did not arrive in time")
                return None
            if not data:
                return None
            self._accept_data(data)
        self._count_buffered()
        self._place.input_received(is_partial=True)
        return request

    def _input_error(self, reason: str) -> HttpError:
        """Return the error for a request that is not complete, for this reason or as its client made way."""
        return HttpError(503, "evicted") if self._is_refused else HttpError(408, reason)

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
            await self._send(session.response(status, fields, b"", self._is_last()))
            self._place.input_received(is_partial=False)
            return
        try:
            if request.expects_continue:
                await self._send(session.continue_response())
            with trio.move_on_after(REQUEST_TIMEOUT_S) as self._input_scope:
                while session.state is State.BODY and session.next_request() is None:
                    data = await self._receive()
                    if not data:
                        front.release(decision, ran=False)
                        return self._disable_keep_alive()
                    self._accept_data(data)
            if self._input_scope.cancelled_caught:
                raise self._input_error("the body of the request did not arrive in time")
        except HttpError:
            front.release(decision, ran=False)
            raise
        self._count_buffered()
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
            self._place.request_rejected()
            await self._send(self._session.response(log_malformed(error), [], b"", self._is_last()))
            return
        self._place.request_accepted()
        if opened is not None and not answers:
            self._open = opened
            opened.client_request.check_connection = self._check_client
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_client, nursery.cancel_scope)
                await answered.wait()
                nursery.cancel_scope.cancel()
            if not answers:
                return self._disable_keep_alive()  # the client has disconnected: `run` reports it
            self._open = None
        status, fields, body = answers[0]
        await self._send(self._session.response(status, fields, body, self._is_last()))
        self._place.answer_written()
        self._place.input_received(self._session.buffered_bytes > 0)

    def _is_last(self) -> bool:
        """Return whether the connection ends after the next response."""
        reached_limit = bool(self._place.activity.limit_reached())
        return self._owner.draining or self._is_refused or reached_limit

    def _check_client(self) -> bool:
        """Abandon the open request if the client has ended the connection, though this is not read yet.

        Its end may lie behind more than the system takes in for it. A client that has sent so much ahead is
        given up in any case.
        """
        sent_ahead = self._session.buffered_bytes + unread_bytes(self._place.sock)
        if self._open is not None and (sent_ahead > MAX_PENDING_BYTES or peer_has_ended(self._place.sock)):
            self._front.client_disconnected(self._open)
        return True

    async def _watch_client(self, scope: trio.CancelScope) -> None:
        """Read pipelined data; a client that closes its side while it waits counts as disconnected."""
        while True:
            data = await self._receive()
            if not data:
                scope.cancel()
                return
            try:
                self._accept_data(data)
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
        self,
        http: Http,
        front: HttpFrontend,
        spawn: Callable[[Callable[[], Awaitable[None]]], None],
        budget: MemoryBudget,
        now_ms: Callable[[], float],
    ) -> None:
        """Bind the socket; raises OSError for an address or certificate that can't be used."""
        self._http, self.front, self._spawn = http, front, spawn
        self._budget, self._now_ms = budget, now_ms
        self._places: set[HttpPlace] = set()
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

    def _evict_clients(self) -> bool:
        """Close the clients that make the least of their places; return whether there were any."""
        count = max(1, round(self._http.connections * EVICTION_FRACTION))
        selected = select_for_eviction(self._places, count, self._now_ms())
        if selected and selected[0][1] is not PlaceUse.LINGERING:
            ending = sum(place.is_evicted for place in self._places)
            selected = selected[: max(0, count - ending)]
        for place, _ in selected:
            place.evict()
        return bool(selected)

    async def _accept(self) -> None:
        listener = trio.socket.from_stdlib_socket(self._sock)
        with self._accepting:
            while True:
                if len(self._places) >= self._http.connections:
                    await trio.lowlevel.wait_readable(self._sock)  # evicts only once a client waits
                    await trio.sleep(0.001 if self._evict_clients() else 0.01)
                    continue
                try:
                    client, address = await listener.accept()
                except OSError:
                    await trio.sleep(0.05)
                    continue
                place = HttpPlace(client, self._budget, self._now_ms)
                self._places.add(place)
                self._spawn(partial(self._serve_client, client, str(address[0]), place))

    async def _serve_client(self, client: trio.socket.SocketType, source: str, place: HttpPlace) -> None:
        """Serve one connection, with its TLS handshake."""
        try:
            with place.scope, client:
                await self._serve_stream(client, source, place)
        finally:
            self._places.discard(place)

    async def _serve_stream(self, client: trio.socket.SocketType, source: str, place: HttpPlace) -> None:
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
        connection = HttpConnection(stream, source, self.front, self, place)
        place.stop_input = connection.stop_input
        await connection.run()
        place.linger()
        await self._shut_down(stream, transport)

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

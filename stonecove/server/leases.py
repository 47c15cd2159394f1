"""The client side of leases: requests work and admission tokens from the lessor for the decision module.

Off on the platform. STONECOVE_LEASES names a file that the supervisor has written. Nothing here blocks:
decisions use the leases at hand, and a lessor that is late, disconnected or faulty costs throughput but never
breaks the limit (see `stonecove.quotas.lending`).
"""

from __future__ import annotations

import json
import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

from stonecove.exchange import ClientRequest
from stonecove.pipeline.route import Route
from stonecove.quotas.leases import LIFETIME_IN_WINDOWS, Grant, LeaseHolder
from stonecove.quotas.quota import Plan, PlanError, Quota
from stonecove.routing.actions import RequestLease, ReturnLease
from stonecove.routing.events import LeaseGranted, LeaseTerms
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent

RECONNECT_DELAYS_S = 0.05, 1.0  # the first and the longest delay between two attempts to connect
TOKEN_FETCH_INTERVAL_S = 0.05  # between two checks of which admission tokens to fetch
MAX_QUEUED_MESSAGES = 1024  # messages to the lessor; more are dropped, as if they were lost
MAX_LINE_BYTES = 4096


class LeaseFileError(Exception):
    """A file from the supervisor that can't be used."""


@dataclass(frozen=True, slots=True)
class LeaseFile:
    """What the supervisor passes to an instance at its start; the fields have the names of the JSON keys."""

    socket: str
    window: float  # seconds
    own: float  # fraction of the slow-start budgets that needs no lease
    retries: float  # fraction of the retry budget that needs no lease
    rest: float  # seconds after the start without any unleased fraction
    plan: Plan | None
    part: float  # fraction of the plan that is this router's own

    def dumps(self) -> str:
        """Return the contents of the file."""
        plan = self.plan.to_table() if self.plan is not None else None
        return json.dumps(
            {
                "socket": self.socket,
                "window": self.window,
                "own": self.own,
                "plan": plan,
                "retries": self.retries,
                "rest": self.rest,
                "part": self.part,
            }
        )

    @classmethod
    def read(cls, path: Path) -> LeaseFile:
        """Read a file; raises LeaseFileError."""
        try:
            table = json.loads(path.read_text())
            numbers = {name: float(table[name]) for name in ("window", "own", "retries", "rest", "part")}
            plan = Plan.read(table["plan"]) if table["plan"] is not None else None
            lease_file = cls(socket=str(table["socket"]), plan=plan, **numbers)
        except (OSError, ValueError, KeyError, TypeError, PlanError) as error:
            raise LeaseFileError(f"{path}: {error}") from None
        if not (0 <= lease_file.own <= 1 and 0 <= lease_file.part <= 1 and lease_file.window > 0):
            raise LeaseFileError(f"{path}: a fraction outside of 0 to 1, or a window that is not positive")
        return lease_file


def pool_shares(settings: Settings) -> dict[str, float]:
    """Return this router's share of each pool, by the settings."""
    zone, by_zone = settings.zone, settings.routers_by_zone
    routers = by_zone[zone] if 0 <= zone < len(by_zone) else settings.fleet_size
    return {f"zone:{zone}": 1.0 / max(1, routers), "fleet": 1.0 / max(1, settings.fleet_size)}


class LeaseClient:
    """Connects the decision module's requests for leases and the admission tokens to the lessor's socket."""

    def __init__(
        self,
        file: LeaseFile,
        name: str,
        settings: Settings,
        route: Route,
        clock: Clock,
        spawn: Callable[[Callable[[], Awaitable[None]]], None],
    ) -> None:
        """Enable the unleased fraction at once, or after the cooldown that the file states."""
        self._file, self._name, self._settings = file, name, settings
        self._route, self._clock, self._spawn = route, clock, spawn
        self._holder = LeaseHolder(file.window * LIFETIME_IN_WINDOWS)
        self._started_at_s = time.monotonic()
        self._cooldown_until_s = self._started_at_s + file.rest  # until then the unleased fraction is 0
        self._zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self._quota = Quota(file.plan, file.part) if file.plan is not None else None
        self._tokens_requested_at: dict[tuple[str, str, str], float] = {}
        self._queue_sender, self._queue_receiver = trio.open_memory_channel[dict[str, Any]](
            MAX_QUEUED_MESSAGES
        )
        self._connected = False
        self._connection_scope = trio.CancelScope()
        self._unleased_fraction = file.own
        self._share_factor = 1.0  # factor for it, as gossip among the routers sets it
        route.set_action_handler(RequestLease, self._request_lease)
        route.set_action_handler(ReturnLease, self._return_lease)
        self._post_terms()
        if self._quota is not None:
            route.shared_limit_check = self._check_quota

    def start(self) -> None:
        """Start all tasks."""
        self._spawn(self._run_connections)
        self._spawn(self._end_cooldown)
        if self._quota is not None:
            self._spawn(self._fetch_tokens)

    async def _end_cooldown(self) -> None:
        """Enable the unleased fraction once work sent before the start has left the window."""
        while (remaining_s := self._cooldown_until_s - time.monotonic()) > 0:
            await trio.sleep(remaining_s)
        self._post_terms()

    def rejection_reason(self, settings: Settings) -> str:
        """Return an empty text: the lessor goes by the shares that this client reports."""
        return ""

    def reconfigure(self, settings: Settings) -> None:
        """Apply settings; changed shares are reported to the lessor in a new connection."""
        before, self._settings = self._settings, settings
        if pool_shares(before) != pool_shares(settings):
            self._connection_scope.cancel()

    def set_share_factor(self, factor: float) -> None:
        """Multiply the unleased fraction, as this router holds only a part of the share it belongs to.

        Leases go by the shares of the settings, which together with all unleased fractions keep to the limit.
        """
        self._share_factor = factor
        self._post_terms()

    def _post_terms(self) -> None:
        fraction = self._unleased_fraction if time.monotonic() >= self._cooldown_until_s else 0.0
        self._route.post(LeaseTerms(fraction * self._share_factor, self._file.retries))

    # -- requests of the decision module --

    def _enqueue(self, message: dict[str, Any]) -> bool:
        if not self._connected:
            return False
        try:
            self._queue_sender.send_nowait(message)
        except trio.WouldBlock:
            log_limited(LogEvent.LEASE_MESSAGES_DROPPED)
            return False
        return True

    def _request_lease(self, request: RequestLease) -> None:
        now = time.monotonic()
        if not self._connected or (number := self._holder.begin_request(request.node_id, now)) is None:
            return
        if not math.isfinite(request.fleet_limit_ms + request.growth_ms_per_s):
            self._holder.end_request(number)
            return
        self._route.recorder.counts["lease_asked"] += 1
        pool = f"zone:{self._settings.zone}" if request.zonal else "fleet"
        queued = self._enqueue(
            {
                "do": "ask",
                "number": number,
                "node": request.node_id,
                "work": request.work_ms,
                "rule": request.fleet_limit_ms,
                "rises": request.growth_ms_per_s,
                "pool": pool,
            }
        )
        if not queued:
            self._holder.end_request(number)

    def _return_lease(self, returned: ReturnLease) -> None:
        self._enqueue({"do": "back", "number": returned.lease_id, "left": returned.work_ms})

    def _check_quota(self, request: ClientRequest) -> str:
        assert self._quota is not None
        return self._quota.take((self._zone, request.cls, request.client), time.monotonic())

    async def _fetch_tokens(self) -> None:
        """Fetch admission tokens ahead of their use."""
        assert self._quota is not None
        while True:
            await trio.sleep(TOKEN_FETCH_INTERVAL_S)
            now = time.monotonic()
            if not self._connected:
                self._quota.abandon_fetches()
                continue
            for path, count in self._quota.batches_to_fetch(now):
                if not self._enqueue({"do": "take", "path": path, "count": count}):
                    self._quota.add_batch(path, 0, "", now, now)
                else:
                    self._tokens_requested_at[path] = now

    # -- the lessor --

    async def _run_connections(self) -> None:
        delay_s, logged = RECONNECT_DELAYS_S[0], False
        while True:
            reason = "refused"
            try:
                with trio.fail_after(RECONNECT_DELAYS_S[1]):
                    stream = await trio.open_unix_socket(self._file.socket)
            except (OSError, trio.TooSlowError, ValueError) as error:
                reason = str(error)
            else:
                connected_at = time.monotonic()
                async with stream:
                    reason = await self._run_connection(stream)
                self._on_disconnected()
                if time.monotonic() > connected_at + RECONNECT_DELAYS_S[1]:
                    delay_s, logged = RECONNECT_DELAYS_S[0], False
            if not logged:
                log(LogEvent.LESSOR_DISCONNECTED, reason=reason)
                logged = True
            await trio.sleep(delay_s)
            delay_s = min(RECONNECT_DELAYS_S[1], delay_s * 2)

    def _on_disconnected(self) -> None:
        """Drop queued messages and requests for tokens; the unleased fraction stays.

        It must not grow, as the other routers may still spend their leases.
        """
        self._connected = False
        while True:
            try:
                self._queue_receiver.receive_nowait()
            except trio.WouldBlock:
                break
        if self._quota is not None:
            self._quota.abandon_fetches()
        self._tokens_requested_at.clear()

    async def _run_connection(self, stream: trio.SocketStream) -> str:
        """Run one connection until it ends; return why it did."""
        reason = "closed"
        try:
            async with trio.open_nursery() as nursery:
                # Set before the settings are read for the hello, as they may change meanwhile.
                self._connection_scope = nursery.cancel_scope
                await stream.send_all(json.dumps(self._hello()).encode() + b"\n")
                nursery.start_soon(self._write, stream)
                data = b""
                async for chunk in stream:
                    *lines, data = (data + chunk).split(b"\n")
                    for line in lines:
                        self._handle_message(json.loads(line))
                    if len(data) > MAX_LINE_BYTES:
                        raise ValueError("a line exceeds the maximum length")
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, ValueError, KeyError, TypeError) as errors:
            reason = str(errors.exceptions[0])
        return reason

    def _hello(self) -> dict[str, Any]:
        """Return the first message: the router's name, and its shares by the settings."""
        return {
            "do": "hello",
            "name": self._name,
            "window": self._settings.overload_window_ms / 1000.0,
            "parts": pool_shares(self._settings),
            "born": self._started_at_s,
        }

    async def _write(self, stream: trio.SocketStream) -> None:
        async for message in self._queue_receiver:
            await stream.send_all(json.dumps(message).encode() + b"\n")

    def _handle_message(self, message: dict[str, Any]) -> None:
        """Handle a message from the lessor; raises ValueError, KeyError or TypeError for an invalid one."""
        now = time.monotonic()
        match message["is"]:
            case "terms":
                self._connected = True
                self._unleased_fraction = min(1.0, max(0.0, float(message["own"])))
                cooldown_s = float(message["rest"])
                if cooldown_s > 0:
                    self._cooldown_until_s = max(self._cooldown_until_s, now + cooldown_s)
                    self._spawn(self._end_cooldown)
                self._post_terms()
                log(LogEvent.LESSOR_CONNECTED, unleased_fraction=self._unleased_fraction)
            case "grant":
                grant = Grant(int(message["number"]), int(message["node"]), float(message["work"]))
                if self._holder.accept_grant(grant, now):
                    self._route.recorder.counts["lease_granted"] += 1
                    for number, work_ms, expires_at in self._holder.pop_leases(grant.node):
                        self._post_lease(number, grant.node, work_ms, expires_at, now)
            case "none":
                self._holder.end_request(int(message["number"]))
            case "tokens" if self._quota is not None:
                zone, cls, client = map(str, message["path"])
                path = zone, cls, client
                requested_at = self._tokens_requested_at.pop(path, -math.inf)
                self._quota.add_batch(path, int(message["count"]), str(message["limit"]), requested_at, now)
            case "wrong":
                raise ValueError(str(message["why"]))

    def _post_lease(self, number: int, node: int, work_ms: float, expires_at: float, now: float) -> None:
        """Pass a lease to the decision module, and end it when it expires.

        The decision module goes by the system clock, leases by the monotonic clock, in seconds. A lease is
        ended explicitly because it would be valid for too long if the system clock were set back.
        """
        self._route.post(LeaseGranted(number, node, work_ms, self._clock.now() + (expires_at - now) * 1000.0))

        async def expire() -> None:
            await trio.sleep(max(0.0, expires_at - time.monotonic()))
            self._route.post(LeaseGranted(number, node, 0.0, 0.0))

        self._spawn(expire)


def create_lease_client(
    path: Path,
    name: str,
    settings: Settings,
    route: Route,
    clock: Clock,
    spawn: Callable[[Callable[[], Awaitable[None]]], None],
) -> LeaseClient:
    """Create a client from a lease file; raises LeaseFileError."""
    return LeaseClient(LeaseFile.read(path), name, settings, route, clock, spawn)

"""A router's side of what a host's routers share: asks the lessor for what the decisions want.

Off on the platform. STONECOVE_LEASES names a file that the supervisor has written. Nothing here waits:
decisions go on with what is at hand, and a lessor that is late, gone or wrong costs throughput, never the
rule (`sharing.lending`).
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

BACK_OFF = 0.05, 1.0  # seconds between two attempts to reach the lessor
FETCH_EVERY = 0.05  # seconds between two looks at which admission tokens to fetch
MOST_WAITING = 1024  # words to the lessor that may wait; more are dropped, as if they were lost
MOST_LINE = 4096


class LeaseFileError(Exception):
    """The file that the supervisor has written can't be used."""


@dataclass(frozen=True, slots=True)
class LeaseFile:
    """What the supervisor tells its instance at the start."""

    socket: str
    window: float  # seconds
    own: float
    retries: float
    rest: float  # seconds without a part of its own
    plan: Plan | None
    part: float  # of the plan that is this router's own

    def dumps(self) -> str:
        """As the file has it."""
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
        """Raises LeaseFileError."""
        try:
            table = json.loads(path.read_text())
            figures = {name: float(table[name]) for name in ("window", "own", "retries", "rest", "part")}
            plan = Plan.read(table["plan"]) if table["plan"] is not None else None
            made = cls(socket=str(table["socket"]), plan=plan, **figures)
        except (OSError, ValueError, KeyError, TypeError, PlanError) as error:
            raise LeaseFileError(f"{path}: {error}") from None
        if not (0 <= made.own <= 1 and 0 <= made.part <= 1 and made.window > 0):
            raise LeaseFileError(f"{path}: figures that make no sense")
        return made


def parts_of(settings: Settings) -> dict[str, float]:
    """This router's part of each pool, by the settings."""
    zone, by_zone = settings.zone, settings.routers_by_zone
    directors = by_zone[zone] if 0 <= zone < len(by_zone) else settings.fleet_size
    return {f"zone:{zone}": 1.0 / max(1, directors), "fleet": 1.0 / max(1, settings.fleet_size)}


class Leases:
    """Joins the decisions' wants, the lessor's socket and the admission tokens."""

    def __init__(
        self,
        file: LeaseFile,
        name: str,
        settings: Settings,
        route: Route,
        clock: Clock,
        spawn: Callable[[Callable[[], Awaitable[None]]], None],
    ) -> None:
        """The own part begins at once, or after the rest that the file states."""
        self._file, self._name, self._settings = file, name, settings
        self._route, self._clock, self._spawn = route, clock, spawn
        self._holder = LeaseHolder(file.window * LIFETIME_IN_WINDOWS)
        self._born = time.monotonic()
        self._rest_until = self._born + file.rest  # until then we have no part of our own
        self._zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self._quota = Quota(file.plan, file.part) if file.plan is not None else None
        self._asked_at: dict[tuple[str, str, str], float] = {}
        self._send, self._outgoing = trio.open_memory_channel[dict[str, Any]](MOST_WAITING)
        self._here = False
        self._talking = trio.CancelScope()
        self._own = file.own
        self._scale = 1.0  # of it, as long as the routers among themselves say so
        route.set_action_handler(RequestLease, self._want)
        route.set_action_handler(ReturnLease, self._unspent)
        self._post_terms()
        if self._quota is not None:
            route.shared_limit_check = self._gate

    def start(self) -> None:
        """Begins to ask."""
        self._spawn(self._run)
        self._spawn(self._rested)
        if self._quota is not None:
            self._spawn(self._fetch)

    async def _rested(self) -> None:
        """Begins the own part once what was sent before our start has left the window."""
        while (left := self._rest_until - time.monotonic()) > 0:
            await trio.sleep(left)
        self._post_terms()

    def objection(self, settings: Settings) -> str:
        """There is none: what is lent goes by the parts that we tell."""
        return ""

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold from now on; the lessor is told other parts in a new connection."""
        before, self._settings = self._settings, settings
        if parts_of(before) != parts_of(settings):
            self._talking.cancel()

    def scale(self, part: float) -> None:
        """The own part counts by so much: the share that it is a part of is not wholly ours.

        What is lent goes by the parts of the settings, whose sum with all own parts keeps to the rule.
        """
        self._scale = part
        self._post_terms()

    def _post_terms(self) -> None:
        own = self._own if time.monotonic() >= self._rest_until else 0.0
        self._route.post(LeaseTerms(own * self._scale, self._file.retries))

    # -- what the decisions want --

    def _say(self, word: dict[str, Any]) -> bool:
        if not self._here:
            return False
        try:
            self._send.send_nowait(word)
        except trio.WouldBlock:
            log_limited(LogEvent.LEASE_MESSAGES_DROPPED)
            return False
        return True

    def _want(self, want: RequestLease) -> None:
        now = time.monotonic()
        if not self._here or (number := self._holder.begin_request(want.node_id, now)) is None:
            return
        if not math.isfinite(want.fleet_limit_ms + want.growth_ms_per_s):
            self._holder.end_request(number)
            return
        self._route.recorder.counts["lease_asked"] += 1
        pool = f"zone:{self._settings.zone}" if want.zonal else "fleet"
        said = self._say(
            {
                "do": "ask",
                "number": number,
                "node": want.node_id,
                "work": want.work_ms,
                "rule": want.fleet_limit_ms,
                "rises": want.growth_ms_per_s,
                "pool": pool,
            }
        )
        if not said:
            self._holder.end_request(number)

    def _unspent(self, unspent: ReturnLease) -> None:
        self._say({"do": "back", "number": unspent.lease_id, "left": unspent.work_ms})

    def _gate(self, asked: ClientRequest) -> str:
        assert self._quota is not None
        return self._quota.take((self._zone, asked.cls, asked.client), time.monotonic())

    async def _fetch(self) -> None:
        """Fetches admission tokens ahead."""
        assert self._quota is not None
        while True:
            await trio.sleep(FETCH_EVERY)
            now = time.monotonic()
            if not self._here:
                self._quota.abandon_fetches()
                continue
            for path, count in self._quota.batches_to_fetch(now):
                if not self._say({"do": "take", "path": path, "count": count}):
                    self._quota.add_batch(path, 0, "", now, now)
                else:
                    self._asked_at[path] = now

    # -- the lessor --

    async def _run(self) -> None:
        wait, known = BACK_OFF[0], False
        while True:
            why = "refused"
            try:
                with trio.fail_after(BACK_OFF[1]):
                    stream = await trio.open_unix_socket(self._file.socket)
            except (OSError, trio.TooSlowError, ValueError) as error:
                why = str(error)
            else:
                began = time.monotonic()
                async with stream:
                    why = await self._talk(stream)
                self._lost()
                if time.monotonic() > began + BACK_OFF[1]:
                    wait, known = BACK_OFF[0], False
            if not known:
                log(LogEvent.LESSOR_DISCONNECTED, reason=why)
                known = True
            await trio.sleep(wait)
            wait = min(BACK_OFF[1], wait * 2)

    def _lost(self) -> None:
        """Our own part stays what it was: what others hold may still be spent."""
        self._here = False
        while True:
            try:
                self._outgoing.receive_nowait()
            except trio.WouldBlock:
                break
        if self._quota is not None:
            self._quota.abandon_fetches()
        self._asked_at.clear()

    async def _talk(self, stream: trio.SocketStream) -> str:
        """Until the connection ends, and why it did."""
        why = "closed"
        try:
            async with trio.open_nursery() as nursery:
                self._talking = (
                    nursery.cancel_scope
                )  # before the settings are read: they may change meanwhile
                await stream.send_all(json.dumps(self._hello()).encode() + b"\n")
                nursery.start_soon(self._write, stream)
                data = b""
                async for part in stream:
                    *lines, data = (data + part).split(b"\n")
                    for line in lines:
                        self._heard(json.loads(line))
                    if len(data) > MOST_LINE:
                        raise ValueError("a line without end")
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, ValueError, KeyError, TypeError) as errors:
            why = str(errors.exceptions[0])
        return why

    def _hello(self) -> dict[str, Any]:
        """Who we are, and our parts by the settings."""
        return {
            "do": "hello",
            "name": self._name,
            "window": self._settings.overload_window_ms / 1000.0,
            "parts": parts_of(self._settings),
            "born": self._born,
        }

    async def _write(self, stream: trio.SocketStream) -> None:
        async for word in self._outgoing:
            await stream.send_all(json.dumps(word).encode() + b"\n")

    def _heard(self, word: dict[str, Any]) -> None:
        """A word of the lessor's; raises ValueError, KeyError or TypeError for one that makes no sense."""
        now = time.monotonic()
        match word["is"]:
            case "terms":
                self._here = True
                self._own = min(1.0, max(0.0, float(word["own"])))
                rest = float(word["rest"])
                if rest > 0:
                    self._rest_until = max(self._rest_until, now + rest)
                    self._spawn(self._rested)
                self._post_terms()
                log(LogEvent.LESSOR_CONNECTED, unleased_fraction=self._own)
            case "grant":
                grant = Grant(int(word["number"]), int(word["node"]), float(word["work"]))
                if self._holder.accept_grant(grant, now):
                    self._route.recorder.counts["lease_granted"] += 1
                    for number, left, until in self._holder.pop_leases(grant.node):
                        self._piece(number, grant.node, left, until, now)
            case "none":
                self._holder.end_request(int(word["number"]))
            case "tokens" if self._quota is not None:
                zone, cls, client = map(str, word["path"])
                path = zone, cls, client
                asked_at = self._asked_at.pop(path, -math.inf)
                self._quota.add_batch(path, int(word["count"]), str(word["limit"]), asked_at, now)
            case "wrong":
                raise ValueError(str(word["why"]))

    def _piece(self, number: int, node: int, work: float, until: float, now: float) -> None:
        """Tells the decisions of a piece, and in time that it is over.

        They go by the system's clock, pieces by the steady one: guards against a clock that is set back, by
        which a piece would be good for longer than it is.
        """
        self._route.post(LeaseGranted(number, node, work, self._clock.now() + (until - now) * 1000.0))

        async def end() -> None:
            await trio.sleep(max(0.0, until - time.monotonic()))
            self._route.post(LeaseGranted(number, node, 0.0, 0.0))

        self._spawn(end)


def leases_from(
    path: Path,
    name: str,
    settings: Settings,
    route: Route,
    clock: Clock,
    spawn: Callable[[Callable[[], Awaitable[None]]], None],
) -> Leases:
    """Raises LeaseFileError."""
    return Leases(LeaseFile.read(path), name, settings, route, clock, spawn)

"""The controller of a roll-out: its session with the coordination service and its control loop.

Decisions are made in `stonecove.rollout.controller`. All state is in the target's node, which is written by
compare-and-set: a controller whose write fails, or that finds the target of another controller, stops.
"""

from __future__ import annotations

import math
import os
import secrets
import time
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err, Stat
from stonecove.protocols.zookeeper.session import Reply, Server, SessionConfig, Up
from stonecove.protocols.zookeeper.tree_watch import TreeWatch
from stonecove.rollout.controller import (
    Finished,
    RolloutError,
    Write,
    begin_rollout,
    halt_rollout,
    next_step,
    resume_rollout,
    roll_back_to,
)
from stonecove.rollout.messages import (
    LOCAL_VERSION,
    Bounds,
    MessageError,
    Overlay,
    Report,
    RolloutState,
    Target,
    routers_path,
    target_path,
    version_path,
    versions_path,
)
from stonecove.rollout.progress import progress_of
from stonecove.transport.zookeeper import ZooKeeperClient

MAX_STORED_VERSIONS = 200  # overlays, each of 64 KB at most; older ones are deleted
REPORT_BATCH_DELAY_S = 0.02  # collects reports that arrive together
TARGET_POLL_INTERVAL_S = 0.25  # while no report changes
LAGGARD_TIMEOUT_S = 5.0  # for lagging routers to report after the end of a roll-out
CLOSE_TIMEOUT_S = 0.5
MAX_COMMAND_ATTEMPTS = 20  # of a command whose compare-and-set fails


class ServiceError(Exception):
    """The coordination service can't be reached or rejects a request; the text is one line."""


class OvertakenError(Exception):
    """Another controller has written the target; the text is one line."""


class InputError(Exception):
    """A command has invalid input; the text is one line and names the field."""


class StoredTarget(NamedTuple):
    """The content of the target's node; without the node, None and version -1."""

    target: Target | None
    version: int


class ServiceSession:
    """One session with the coordination service, with requests that wait for their reply."""

    def __init__(self, servers: tuple[Server, ...], figures: SessionConfig, timeout_s: float) -> None:
        """Create the session; `timeout_s` is the time to wait for a connection, also after a loss."""
        self.ensemble = ZooKeeperClient(servers, secrets.randbits(32), figures, lambda: None)
        self._timeout_s = timeout_s
        self._connected = trio.Event()
        self.ensemble.add_listener(lambda event: self._connected.set() if isinstance(event, Up) else None)

    async def request(self, request: zk.Request) -> Reply:
        """Send one request and return its reply, which may be a connection loss; raises ServiceError."""
        while not self.ensemble.session.connected:
            self._connected = trio.Event()
            with trio.move_on_after(self._timeout_s) as scope:
                await self._connected.wait()
            if scope.cancelled_caught:
                raise ServiceError(f"--servers: no connection in {self._timeout_s:g} s")
        done, replies = trio.Event(), []

        def on_reply(reply: Reply) -> None:
            replies.append(reply)
            done.set()

        self.ensemble.request(request, on_reply)
        await done.wait()
        return replies[0]

    async def read(self, request: zk.GetData | zk.GetChildren2) -> Reply:
        """Send a read, again after a connection loss; raises ServiceError if the servers reject it."""
        while True:
            reply = await self.request(request)
            if reply.error in (Err.OK, Err.NO_NODE):
                return reply
            if reply.error is not Err.CONNECTION_LOSS:
                raise ServiceError(f"{request.path}: {reply.error.name}")

    async def create_path(self, path: str) -> None:
        """Create a node without data, and its missing ancestors; raises ServiceError."""
        while True:
            reply = await self.request(zk.Create(path))
            if reply.error in (Err.OK, Err.NODE_EXISTS):
                return
            if reply.error is Err.NO_NODE:
                await self.create_path(path.rpartition("/")[0])
            elif reply.error is not Err.CONNECTION_LOSS:
                raise ServiceError(f"{path}: {reply.error.name}")


@asynccontextmanager
async def service_session(
    servers: tuple[Server, ...], figures: SessionConfig, timeout_s: float
) -> AsyncIterator[ServiceSession]:
    """Open a session, and close it on exit."""
    session = ServiceSession(servers, figures, timeout_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(session.ensemble.run)
        try:
            yield session
        finally:
            session.ensemble.close()
            with trio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                while session.ensemble.session.connected:
                    await trio.sleep(0.005)
            nursery.cancel_scope.cancel()


class RouterReports:
    """The reports of the live routers, synchronized with the servers; unreadable reports are left out."""

    def __init__(self, path: str, ensemble: ZooKeeperClient) -> None:
        self.by_name: dict[str, Report] = {}
        self.changed = trio.Event()
        self._list_read = trio.Event()
        tree = TreeWatch(routers_path(path), ensemble.request, self, recursive=True)
        ensemble.add_listener(tree.feed)
        if ensemble.session.connected:
            tree.feed(Up(ensemble.session.session, False))

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """Add or replace the report of a router."""
        try:
            self.by_name[name] = Report.decode(data)
        except MessageError:
            self.by_name.pop(name, None)
        self.changed.set()

    def removed(self, names: Iterable[str]) -> None:
        """Remove the reports of routers that have departed."""
        for name in names:
            self.by_name.pop(name, None)
        self.changed.set()

    def list_complete(self, names: frozenset[str], confirmed: bool) -> None:
        """Record that the list of routers was read."""
        self._list_read.set()
        self.changed.set()

    def absent(self, confirmed: bool) -> None:
        """Record that the node of the reports does not exist yet."""
        self.list_complete(frozenset(), confirmed)

    async def wait_until_read(self, timeout_s: float) -> None:
        """Wait until all reports were read once; raises ServiceError after `timeout_s`."""
        with trio.move_on_after(timeout_s) as scope:
            await self._list_read.wait()
        if scope.cancelled_caught:
            raise ServiceError(f"--servers: no reports in {timeout_s:g} s")

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a report changes, or for `timeout_s`."""
        with trio.move_on_after(timeout_s):
            await self.changed.wait()
            await trio.sleep(REPORT_BATCH_DELAY_S)
        self.changed = trio.Event()


class RolloutController:
    """Publishes, drives, halts, resumes and rolls back configuration versions."""

    def __init__(self, path: str, session: ServiceSession, timeout_s: float) -> None:
        self.path = path
        self._session = session
        self._timeout_s = timeout_s
        self._writer_name = f"{os.uname().nodename}-{os.getpid()}-{secrets.token_hex(4)}"
        self.reports = RouterReports(path, session.ensemble)

    async def wait_until_ready(self) -> None:
        """Wait for the reports of all live routers; raises ServiceError."""
        await self._session.read(zk.GetData(target_path(self.path)))
        await self.reports.wait_until_read(self._timeout_s)

    # -- the commands --

    async def publish(
        self, merge: Mapping[str, object], waves: tuple[float, ...], bounds: Bounds
    ) -> RolloutState:
        """Roll a new version out to all routers; raises InputError, OvertakenError or ServiceError."""
        await self.wait_until_ready()
        if not self.reports.by_name:
            raise InputError(f"--path: no router reports below {routers_path(self.path)}")
        stored = await self._read_target()
        begin_rollout(
            stored.target, 0, {}, 0.0, "", waves, bounds
        )  # rejects bad input before a version is created
        await self._session.create_path(versions_path(self.path))
        version = await self._create_version(merge, stored.target)
        target = begin_rollout(
            stored.target, version, self.reports.by_name, _now_ms(), self._writer_name, waves, bounds
        )
        if not await self._write_target(target, stored.version):
            await self._session.request(zk.Delete(version_path(self.path, version)))
            raise OvertakenError(f"version {version} is not published: another roll-out has just started")
        await self._delete_old_versions(target)
        return await self.drive()

    async def halt(self) -> None:
        """Return all routers to the previous version; raises RolloutError if no roll-out is in progress."""
        await self._apply_command(
            lambda target: halt_rollout(target, "halted by command", _now_ms(), self._writer_name)
        )

    async def resume(self) -> RolloutState:
        """Restart a halted roll-out, or continue one whose controller has ended."""
        await self.wait_until_ready()
        await self._apply_command(
            lambda target: resume_rollout(target, self.reports.by_name, _now_ms(), self._writer_name)
        )
        return await self.drive()

    async def roll_back(self, version: int, waves: tuple[float, ...]) -> RolloutState:
        """Return all routers to an earlier version; raises InputError if it is no longer stored."""
        await self.wait_until_ready()
        if version != LOCAL_VERSION:
            reply = await self._session.read(zk.GetData(version_path(self.path, version)))
            if reply.error is Err.NO_NODE:
                raise InputError(f"VERSION: {version} is not kept")
        await self._apply_command(
            lambda target: roll_back_to(
                target, version, self.reports.by_name, _now_ms(), self._writer_name, waves
            )
        )
        return await self.drive()

    async def status(self) -> Target | None:
        """Return the present target, after all reports were read."""
        await self.wait_until_ready()
        return (await self._read_target()).target

    # -- the loop --

    async def drive(self) -> RolloutState:
        """Advance wave by wave until the roll-out is complete or halted.

        Raises OvertakenError or ServiceError.
        """
        while True:
            stored = await self._read_target()
            target = stored.target
            if target is None:
                raise OvertakenError("the target was deleted")
            if target.writer != self._writer_name and target.state is not RolloutState.HALTED:
                raise OvertakenError(f"{target.writer} has taken over, with version {target.version}")
            step = next_step(target, self.reports.by_name, _now_ms(), self._writer_name)
            if isinstance(step, Finished):
                await self._wait_for_laggards(target)
                return step.state
            if isinstance(step, Write):
                await self._write_target(
                    step.target, stored.version
                )  # a lost compare-and-set shows in the next iteration
            else:
                await self.reports.wait_for_change(
                    min(TARGET_POLL_INTERVAL_S, max(0.0, (step.until_ms - _now_ms()) / 1000.0))
                )

    async def _wait_for_laggards(self, target: Target) -> None:
        with trio.move_on_after(LAGGARD_TIMEOUT_S):
            while progress_of(target, self.reports.by_name).lagging:
                await self.reports.wait_for_change(TARGET_POLL_INTERVAL_S)

    # -- the nodes --

    async def _read_target(self) -> StoredTarget:
        reply = await self._session.read(zk.GetData(target_path(self.path)))
        if not isinstance(reply.result, zk.Data):
            return StoredTarget(None, -1)
        try:
            return StoredTarget(Target.decode(reply.result.data), reply.result.stat.version)
        except MessageError as error:
            raise InputError(f"{target_path(self.path)}: {error}") from None

    async def _write_target(self, target: Target, version: int) -> bool:
        """Write the target by compare-and-set; return whether this write succeeded. Raises ServiceError."""
        path, data = target_path(self.path), target.encode()
        while True:
            reply = await self._session.request(
                zk.SetData(path, data, version) if version >= 0 else zk.Create(path, data)
            )
            if reply.error is Err.OK:
                return True
            if reply.error in (Err.BAD_VERSION, Err.NODE_EXISTS, Err.NO_NODE):
                return False
            if reply.error is not Err.CONNECTION_LOSS:
                raise ServiceError(f"{path}: {reply.error.name}")
            stored = await self._read_target()  # the write may have succeeded before the loss
            if stored.target == target:
                return True
            if stored.version != version:
                return False

    async def _apply_command(self, change: Callable[[Target], Target]) -> None:
        """Write the changed target, with retries for concurrent writes of a controller."""
        for _ in range(MAX_COMMAND_ATTEMPTS):
            stored = await self._read_target()
            if stored.target is None:
                raise InputError(f"--path: nothing was published below {self.path}")
            if await self._write_target(change(stored.target), stored.version):
                return
        raise OvertakenError(f"the target was changed concurrently {MAX_COMMAND_ATTEMPTS} times in a row")

    async def _create_version(self, merge: Mapping[str, object], target: Target | None) -> int:
        """Store an overlay under the next free version, and return that; raises InputError if too large."""
        versions = await self._stored_versions()
        version = max((*versions, target.version if target is not None else 0)) + 1
        while True:
            try:
                data = Overlay(version, merge).encode()
            except MessageError as error:
                raise InputError(f"FILE: {error}") from None
            path = version_path(self.path, version)
            reply = await self._session.request(zk.Create(path, data))
            if reply.error is Err.OK:
                return version
            if reply.error not in (Err.NODE_EXISTS, Err.CONNECTION_LOSS):
                raise ServiceError(f"{path}: {reply.error.name}")
            version += 1  # after a loss, the version may exist: it is skipped

    async def _stored_versions(self) -> list[int]:
        reply = await self._session.read(zk.GetChildren2(versions_path(self.path)))
        names = reply.result.names if isinstance(reply.result, zk.Children) else ()
        return sorted(int(name) for name in names if name.isdecimal())

    async def _delete_old_versions(self, target: Target) -> None:
        for version in (await self._stored_versions())[:-MAX_STORED_VERSIONS]:
            if version not in (target.version, target.previous):
                await self._session.request(zk.Delete(version_path(self.path, version)))


def _now_ms() -> float:
    """Return the present Unix time in whole milliseconds."""
    return math.floor(time.time() * 1000.0)


__all__ = [
    "RolloutController",
    "InputError",
    "OvertakenError",
    "RolloutError",
    "ServiceError",
    "service_session",
]

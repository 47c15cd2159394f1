"""The controller of a roll-out over trio: the commands' session with the coordination service, and its loop.

Decisions are in `stonecove.rollout.controller`. All state is in the target's node, which is written by
compare-and-set: a controller whose write loses, or that finds another one's, stops.
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
from stonecove.protocols.zookeeper.session import Figures, Reply, Server, Up
from stonecove.protocols.zookeeper.tree_watch import Tree
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

KEPT_VERSIONS = 200  # overlays that are kept, each of 64 KB at most; older ones are deleted
GATHER = 0.02  # seconds for which reports are gathered before they are looked at together
LOOK_EVERY = 0.25  # seconds between two looks at the target while nothing is reported
LAST_REPORTS = 5.0  # seconds for which routers that lag are waited for, once a roll-out is over
CLOSE_WAIT = 0.5
MOST_TRIES = 20  # of a command whose write loses against others


class ServiceError(Exception):
    """The coordination service can't be reached, or refuses; the text is one line."""


class OvertakenError(Exception):
    """Another controller has written the target; the text is one line."""


class InputError(Exception):
    """What was asked for can't be done; the text is one line and names the field."""


class Stored(NamedTuple):
    """The target's node; version -1 where there is none."""

    target: Target | None
    version: int


class ServiceSession:
    """One session with the coordination service, whose requests are waited for."""

    def __init__(self, servers: tuple[Server, ...], figures: Figures, patience: float) -> None:
        """`patience`: seconds for which a connection is waited for, also when one is lost."""
        self.ensemble = ZooKeeperClient(servers, secrets.randbits(32), figures, lambda: None)
        self._patience = patience
        self._up = trio.Event()
        self.ensemble.add_listener(lambda event: self._up.set() if isinstance(event, Up) else None)

    async def ask(self, what: zk.Request) -> Reply:
        """One request; its reply may say that the connection was lost. Raises ServiceError."""
        while not self.ensemble.session.connected:
            self._up = trio.Event()
            with trio.move_on_after(self._patience) as waiting:
                await self._up.wait()
            if waiting.cancelled_caught:
                raise ServiceError(f"--servers: no connection in {self._patience:g} s")
        done, found = trio.Event(), []

        def came(reply: Reply) -> None:
            found.append(reply)
            done.set()

        self.ensemble.request(what, came)
        await done.wait()
        return found[0]

    async def read(self, what: zk.GetData | zk.GetChildren2) -> Reply:
        """A read, asked again if it was lost; raises ServiceError for what the servers refuse."""
        while True:
            reply = await self.ask(what)
            if reply.error in (Err.OK, Err.NO_NODE):
                return reply
            if reply.error is not Err.CONNECTION_LOSS:
                raise ServiceError(f"{what.path}: {reply.error.name}")

    async def make(self, path: str) -> None:
        """Makes a node without data, and those above it."""
        while True:
            reply = await self.ask(zk.Create(path))
            if reply.error in (Err.OK, Err.NODE_EXISTS):
                return
            if reply.error is Err.NO_NODE:
                await self.make(path.rpartition("/")[0])
            elif reply.error is not Err.CONNECTION_LOSS:
                raise ServiceError(f"{path}: {reply.error.name}")


@asynccontextmanager
async def service_session(
    servers: tuple[Server, ...], figures: Figures, patience: float
) -> AsyncIterator[ServiceSession]:
    """A session that is closed at the end."""
    session = ServiceSession(servers, figures, patience)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(session.ensemble.run)
        try:
            yield session
        finally:
            session.ensemble.close()
            with trio.move_on_after(CLOSE_WAIT, shield=True):
                while session.ensemble.session.connected:
                    await trio.sleep(0.005)
            nursery.cancel_scope.cancel()


class Reports:
    """The live routers' reports, kept in step with the servers. A report that can't be read is left out."""

    def __init__(self, path: str, ensemble: ZooKeeperClient) -> None:
        self.by_name: dict[str, Report] = {}
        self.changed = trio.Event()
        self._whole = trio.Event()
        tree = Tree(routers_path(path), ensemble.request, self, recursive=True)
        ensemble.add_listener(tree.feed)
        if ensemble.session.connected:
            tree.feed(Up(ensemble.session.session, False))

    def put(self, name: str, data: bytes, stat: Stat) -> None:
        """A router is there, or reports something else."""
        try:
            self.by_name[name] = Report.decode(data)
        except MessageError:
            self.by_name.pop(name, None)
        self.changed.set()

    def removed(self, names: Iterable[str]) -> None:
        """Routers are gone."""
        for name in names:
            self.by_name.pop(name, None)
        self.changed.set()

    def whole(self, names: frozenset[str], confirmed: bool) -> None:
        """The list was read."""
        self._whole.set()
        self.changed.set()

    def absent(self, confirmed: bool) -> None:
        """No router has reported yet."""
        self.whole(frozenset(), confirmed)

    async def read(self, patience: float) -> None:
        """Waits until all were read once; raises ServiceError."""
        with trio.move_on_after(patience) as waiting:
            await self._whole.wait()
        if waiting.cancelled_caught:
            raise ServiceError(f"--servers: no reports in {patience:g} s")

    async def wait(self, seconds: float) -> None:
        """Until something was reported, but no longer than that."""
        with trio.move_on_after(seconds):
            await self.changed.wait()
            await trio.sleep(GATHER)
        self.changed = trio.Event()


class Controller:
    """Publishes, drives, halts and rolls back."""

    def __init__(self, path: str, session: ServiceSession, patience: float) -> None:
        self.path = path
        self._session = session
        self._patience = patience
        self._name = f"{os.uname().nodename}-{os.getpid()}-{secrets.token_hex(4)}"
        self.reports = Reports(path, session.ensemble)

    async def ready(self) -> None:
        """Waits for the reports of all live routers; raises ServiceError."""
        await self._session.read(zk.GetData(target_path(self.path)))
        await self.reports.read(self._patience)

    # -- the commands --

    async def publish(
        self, merge: Mapping[str, object], waves: tuple[float, ...], bounds: Bounds
    ) -> RolloutState:
        """A new version to all routers; raises InputError, OvertakenError or ServiceError."""
        await self.ready()
        if not self.reports.by_name:
            raise InputError(f"--path: no router reports below {routers_path(self.path)}")
        stored = await self._stored()
        begin_rollout(
            stored.target, 0, {}, 0.0, "", waves, bounds
        )  # guards against a version that nobody may use
        await self._session.make(versions_path(self.path))
        version = await self._create_version(merge, stored.target)
        target = begin_rollout(
            stored.target, version, self.reports.by_name, _now(), self._name, waves, bounds
        )
        if not await self._write(target, stored.version):
            await self._session.ask(zk.Delete(version_path(self.path, version)))
            raise OvertakenError(f"version {version} is not published: another roll-out has just begun")
        await self._delete_old(target)
        return await self.drive()

    async def halt(self) -> None:
        """All routers go back to the version before; raises RolloutError if nothing is rolled out."""
        await self._command(lambda target: halt_rollout(target, "halted by command", _now(), self._name))

    async def resume(self) -> RolloutState:
        """Begins a halted roll-out again, or goes on with one whose controller is gone."""
        await self.ready()
        await self._command(lambda target: resume_rollout(target, self.reports.by_name, _now(), self._name))
        return await self.drive()

    async def roll_back(self, version: int, waves: tuple[float, ...]) -> RolloutState:
        """An earlier version to all routers; raises InputError if it is not kept any more."""
        await self.ready()
        if version != LOCAL_VERSION:
            reply = await self._session.read(zk.GetData(version_path(self.path, version)))
            if reply.error is Err.NO_NODE:
                raise InputError(f"VERSION: {version} is not kept")
        await self._command(
            lambda target: roll_back_to(target, version, self.reports.by_name, _now(), self._name, waves)
        )
        return await self.drive()

    async def status(self) -> Target | None:
        """The present target, with `reports` read."""
        await self.ready()
        return (await self._stored()).target

    # -- the loop --

    async def drive(self) -> RolloutState:
        """Wave after wave until the roll-out is complete or halted; raises OvertakenError, ServiceError."""
        while True:
            stored = await self._stored()
            target = stored.target
            if target is None:
                raise OvertakenError("the target was deleted")
            if target.writer != self._name and target.state is not RolloutState.HALTED:
                raise OvertakenError(f"{target.writer} has taken over, with version {target.version}")
            step = next_step(target, self.reports.by_name, _now(), self._name)
            if isinstance(step, Finished):
                await self._wait_for_laggards(target)
                return step.state
            if isinstance(step, Write):
                await self._write(step.target, stored.version)  # a write that lost is seen at the next look
            else:
                await self.reports.wait(min(LOOK_EVERY, max(0.0, (step.until_ms - _now()) / 1000.0)))

    async def _wait_for_laggards(self, target: Target) -> None:
        with trio.move_on_after(LAST_REPORTS):
            while progress_of(target, self.reports.by_name).lagging:
                await self.reports.wait(LOOK_EVERY)

    # -- the nodes --

    async def _stored(self) -> Stored:
        reply = await self._session.read(zk.GetData(target_path(self.path)))
        if not isinstance(reply.result, zk.Data):
            return Stored(None, -1)
        try:
            return Stored(Target.decode(reply.result.data), reply.result.stat.version)
        except MessageError as error:
            raise InputError(f"{target_path(self.path)}: {error}") from None

    async def _write(self, target: Target, version: int) -> bool:
        """Compare-and-set of the target; whether it is ours that stands. Raises ServiceError."""
        path, data = target_path(self.path), target.encode()
        while True:
            reply = await self._session.ask(
                zk.SetData(path, data, version) if version >= 0 else zk.Create(path, data)
            )
            if reply.error is Err.OK:
                return True
            if reply.error in (Err.BAD_VERSION, Err.NODE_EXISTS, Err.NO_NODE):
                return False
            if reply.error is not Err.CONNECTION_LOSS:
                raise ServiceError(f"{path}: {reply.error.name}")
            stored = await self._stored()  # the write may have been done
            if stored.target == target:
                return True
            if stored.version != version:
                return False

    async def _command(self, make: Callable[[Target], Target]) -> None:
        """Writes what a command makes of the target; tried again where a controller writes at the time."""
        for _ in range(MOST_TRIES):
            stored = await self._stored()
            if stored.target is None:
                raise InputError(f"--path: nothing was published below {self.path}")
            if await self._write(make(stored.target), stored.version):
                return
        raise OvertakenError(f"others have written the target {MOST_TRIES} times in a row")

    async def _create_version(self, merge: Mapping[str, object], target: Target | None) -> int:
        """The next free version; raises InputError for an overlay that is too large."""
        kept = await self._kept()
        version = max((*kept, target.version if target is not None else 0)) + 1
        while True:
            try:
                data = Overlay(version, merge).encode()
            except MessageError as error:
                raise InputError(f"FILE: {error}") from None
            path = version_path(self.path, version)
            reply = await self._session.ask(zk.Create(path, data))
            if reply.error is Err.OK:
                return version
            if reply.error not in (Err.NODE_EXISTS, Err.CONNECTION_LOSS):
                raise ServiceError(f"{path}: {reply.error.name}")
            version += 1  # after a loss, one that may be ours is left alone

    async def _kept(self) -> list[int]:
        reply = await self._session.read(zk.GetChildren2(versions_path(self.path)))
        names = reply.result.names if isinstance(reply.result, zk.Children) else ()
        return sorted(int(name) for name in names if name.isdecimal())

    async def _delete_old(self, target: Target) -> None:
        for version in (await self._kept())[:-KEPT_VERSIONS]:
            if version not in (target.version, target.previous):
                await self._session.ask(zk.Delete(version_path(self.path, version)))


def _now() -> float:
    """Unix milliseconds, as the routers' clocks tell them."""
    return math.floor(time.time() * 1000.0)


__all__ = [
    "Controller",
    "InputError",
    "OvertakenError",
    "RolloutError",
    "ServiceError",
    "service_session",
]

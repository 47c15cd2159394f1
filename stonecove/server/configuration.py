"""Takes over the versions of the settings that are rolled out to the fleet. Off on the platform.

Decisions are in `stonecove.rollout.follower`; here they are given the router's session with the coordination
service, its own configuration file and the running router, whose settings they change.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

import trio

from stonecove.operator_config.records import ConfigurationRecord
from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err, Stat
from stonecove.protocols.zookeeper.node_watch import NodeWatch
from stonecove.protocols.zookeeper.registration import Registrar
from stonecove.protocols.zookeeper.session import Reply, SessionEvent, Up
from stonecove.rollout.follower import Follower
from stonecove.rollout.health import HealthWindow, should_report
from stonecove.rollout.merge import settings_with
from stonecove.rollout.messages import (
    LOCAL_OVERLAY,
    LOCAL_VERSION,
    MessageError,
    Overlay,
    Report,
    Target,
    routers_path,
    target_path,
    version_path,
)
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.server.config import Config
from stonecove.server.reconfigure import SettingsRefused
from stonecove.transport.zookeeper import ZooKeeperClient

HEALTH_PERIOD = 10.0  # seconds between two looks at the health while nothing is rolled out
START_POLL = 0.005  # seconds between two looks at whether the target is in force, at the start
NAME_RETRY = 5.0  # seconds after which a name that was taken is tried again


class SettingsTarget(Protocol):
    """The running router, whose settings are changed."""

    def apply(self, settings: Settings, version: int) -> None:
        """Takes them over, as a whole; raises SettingsRefused if they can't be, and changes nothing then."""

    def refuse(self, why: str, version: int) -> None:
        """Notes a version that could not even be read."""


class ConfigurationKeeper:
    """Keeps the router's settings in step with the target, and its report with what is in force."""

    def __init__(
        self,
        record: ConfigurationRecord,
        config: Config,
        table: Mapping[str, Any],
        router: SettingsTarget,
        counts: Mapping[str, int],
        clock: Clock,
    ) -> None:
        """`table`: the settings of the router's own file; `counts`: its answers by verdict."""
        self._record = record
        self._name = config.name
        self._table = table
        self._router = router
        self._clock = clock
        self._window = HealthWindow(counts)
        self._overlay = LOCAL_OVERLAY  # that is in force
        self._session: ConfigurationSession | None = None
        self._target_known = trio.Event()
        self._changed = trio.Event()
        self.follower = Follower(config.name, ":".join(map(str, config.listen)), clock.now())

    def attach(self, ensemble: ZooKeeperClient) -> None:
        """Follows the target by this session from now on, in place of an earlier one."""
        if self._session is not None:
            self._session.retire()
        self.follower.reset_revision()
        self._session = ConfigurationSession(self._record.path, self._name, ensemble, self)
        self._session.start()

    async def ready(self) -> None:
        """Waits until the target is in force, or refused, but no longer than the operator allows."""
        with trio.move_on_after(self._record.start_wait / 1000.0) as waiting:
            await self._target_known.wait()
            while self.follower.next_version() is not None:
                await trio.sleep(START_POLL)
        log(
            LogEvent.SETTINGS_LOADED,
            in_force=self.follower.in_force,
            late=waiting.cancelled_caught,
        )

    async def run(self) -> None:
        """Tells the health: soon after each change, and when it has become another."""
        while True:
            self._changed = trio.Event()
            with trio.move_on_after(self._sleep()):
                await self._changed.wait()
                continue
            self._tick()

    def rebase(self, table: Mapping[str, Any]) -> None:
        """The router's own file says something else: taken over under the present overlay, or not at all.

        Raises SettingsRefused.
        """
        try:
            settings = settings_with(table, self._overlay)
        except MessageError as error:
            raise SettingsRefused(str(error)) from error
        self._router.apply(settings, self._overlay.version)
        self._table = table
        self.follower.retry_refused()
        self.go_on()

    # -- what the session tells --

    def target_read(self, target: Target, revision: int) -> None:
        """The target, as it stands at that transaction."""
        self.follower.receive_target(target, revision, self._clock.now())
        self.go_on()
        self._target_known.set()

    def target_absent(self) -> None:
        """Nothing is published, or no longer: what is in force stays."""
        self._target_known.set()

    def overlay_read(self, version: int, data: bytes | None) -> None:
        """The data of a version's node; None: there is no such node."""
        wanted = version == self.follower.next_version()
        overlay = self.follower.decode_overlay(version, data, self._clock.now())
        refused = self.follower.report().refused
        if overlay is not None:
            self._take(overlay)
        elif wanted and refused is not None:
            self._router.refuse(refused.why, version)
            log(
                LogEvent.SETTINGS_REJECTED,
                version=version,
                in_force=self.follower.in_force,
                reason=refused.why,
            )
        self.go_on()

    def go_on(self) -> None:
        """Takes the next step to the target, and tells what has changed."""
        version = self.follower.next_version()
        if version == LOCAL_VERSION:
            self._take(LOCAL_OVERLAY)
        elif version is not None and self._session is not None:
            self._session.fetch(version)
        if self._session is not None:
            self._session.tell(self.follower.report())
        self._changed.set()

    # -- within --

    def _take(self, overlay: Overlay) -> None:
        """Puts a version in force as a whole, or refuses it."""
        now, before = self._clock.now(), self.follower.in_force
        try:
            self._router.apply(settings_with(self._table, overlay), overlay.version)
        except SettingsRefused as error:
            self._refuse(overlay.version, str(error))
            return
        except MessageError as error:
            self._router.refuse(str(error), overlay.version)
            self._refuse(overlay.version, str(error))
            return
        self._overlay = overlay
        self.follower.record_applied(overlay.version, now)
        self._window.sample()  # what came before is of the version before
        log(LogEvent.SETTINGS_APPLIED, version=overlay.version, before=before)

    def _refuse(self, version: int, why: str) -> None:
        self.follower.record_refusal(version, why, self._clock.now())
        log(LogEvent.SETTINGS_REJECTED, version=version, in_force=self.follower.in_force, reason=why)

    def _sleep(self) -> float:
        due = self.follower.health_due_ms()
        return HEALTH_PERIOD if due is None else max(0.0, (due - self._clock.now()) / 1000.0)

    def _tick(self) -> None:
        found = self._window.sample()
        if self.follower.health_due_ms() is not None or should_report(self.follower.health, found):
            self.follower.record_health(found)
        if self._session is not None:
            self._session.retry_name()
            self._session.tell(self.follower.report())


class ConfigurationSession:
    """The nodes of a roll-out as one session with the coordination service sees them."""

    def __init__(self, path: str, name: str, ensemble: ZooKeeperClient, keeper: ConfigurationKeeper) -> None:
        self._path = path
        self._ensemble = ensemble
        self._keeper = keeper
        self._fetching: int | None = None
        self._retired = False
        self._taken_at: float | None = None  # when our name was found to be taken, in trio's seconds
        self._target = NodeWatch(target_path(path), ensemble.request, self)
        report = keeper.follower.report()
        self._registrar = Registrar(
            routers_path(path),
            name,
            report.encode(),
            ensemble.request,
            lambda: ensemble.session.session,
            lambda data: _same_process(data, report),
            log,
        )

    def start(self) -> None:
        """Follows the session, which may be up already."""
        self._ensemble.add_listener(self._feed)
        if self._ensemble.session.connected:
            self._feed(Up(self._ensemble.session.session, False))

    def retire(self) -> None:
        """Another session takes over: this one's report ends with it."""
        self._retired = True
        self._registrar.retire()

    def tell(self, report: Report) -> None:
        """Writes the report, if it says something else than the last one."""
        self._registrar.tell(report.encode())

    def retry_name(self) -> None:
        """Tries again for a name that was taken."""
        if not self._registrar.taken:
            self._taken_at = None
        elif self._taken_at is None:
            self._taken_at = trio.current_time()
        elif trio.current_time() >= self._taken_at + NAME_RETRY:
            self._taken_at = None
            self._registrar.again()

    def fetch(self, version: int) -> None:
        """Reads a version's overlay, unless that is under way; one is read at a time."""
        if self._fetching is None:
            self._fetching = version
            self._ensemble.request(zk.GetData(version_path(self._path, version)), self._fetched)

    # -- the target's node --

    def put(self, data: bytes, stat: Stat) -> None:
        """The target was read; one that can't be used changes nothing."""
        if self._retired:
            return
        try:
            target = Target.decode(data)
        except MessageError as error:
            log_limited(LogEvent.SETTINGS_TARGET_INVALID, reason=str(error))
            return
        self._keeper.target_read(target, stat.mzxid)

    def absent(self) -> None:
        """There is no target."""
        if not self._retired:
            self._keeper.target_absent()

    def unreadable(self, error: Err) -> None:
        """The servers refuse to tell the target."""
        log_limited(LogEvent.SETTINGS_TARGET_UNREADABLE, reason=error.name)

    # -- within --

    def _feed(self, event: SessionEvent) -> None:
        if self._retired:
            return
        if isinstance(event, Up):
            self._fetching = None
        self._registrar.feed(event)
        self._target.feed(event)

    def _fetched(self, reply: Reply) -> None:
        version, self._fetching = self._fetching, None
        if self._retired or version is None or reply.error is Err.CONNECTION_LOSS:
            return  # the target is read again once there is a connection
        if isinstance(reply.result, zk.Data):
            self._keeper.overlay_read(version, reply.result.data)
        elif reply.error is Err.NO_NODE:
            self._keeper.overlay_read(version, None)
        else:
            log_limited(LogEvent.SETTINGS_OVERLAY_UNREADABLE, version=version, reason=reply.error.name)


def _same_process(data: bytes, mine: Report) -> bool:
    """Whether a report is that of our own process before its restart: nobody else can listen there."""
    try:
        found = Report.decode(data)
    except MessageError:
        return False
    return found.listen == mine.listen and found.started <= mine.started

"""Apply the versions of the settings that are rolled out to the fleet. Off on the platform.

Decisions are in `stonecove.rollout.follower`. This module connects them to the router's session with the
coordination service, its own configuration file and the running router, whose settings change.
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

HEALTH_INTERVAL_S = 10.0  # between two samples of the health while nothing is rolled out
START_POLL_INTERVAL_S = 0.005  # between two checks, at the start, of whether the target is in force
NAME_RETRY_S = 5.0  # after which registration under a name that was taken is retried


class SettingsTarget(Protocol):
    """The running router, whose settings are changed."""

    def apply(self, settings: Settings, version: int) -> None:
        """Apply the settings completely; raises SettingsRefused, and changes nothing then."""

    def refuse(self, why: str, version: int) -> None:
        """Record a version that could not be read."""


class ConfigurationAgent:
    """Applies the target version to the router's settings and reports the version in force."""

    def __init__(
        self,
        record: ConfigurationRecord,
        config: Config,
        table: Mapping[str, Any],
        router: SettingsTarget,
        counts: Mapping[str, int],
        clock: Clock,
    ) -> None:
        """Start with the settings of the router's own file in force.

        `table` holds the settings of that file, `counts` the router's answers by verdict.
        """
        self._record = record
        self._name = config.name
        self._table = table
        self._router = router
        self._clock = clock
        self._health_window = HealthWindow(counts)
        self._overlay = LOCAL_OVERLAY  # the overlay in force
        self._session: ConfigurationSession | None = None
        self._target_known = trio.Event()
        self._changed = trio.Event()
        self.follower = Follower(config.name, ":".join(map(str, config.listen)), clock.now())

    def attach(self, ensemble: ZooKeeperClient) -> None:
        """Follow the target in this session from now on, in place of an earlier one."""
        if self._session is not None:
            self._session.retire()
        self.follower.reset_revision()
        self._session = ConfigurationSession(self._record.path, self._name, ensemble, self)
        self._session.start()

    async def ready(self) -> None:
        """Wait until the target is applied or rejected, at most for the time that the operator allows."""
        with trio.move_on_after(self._record.start_wait / 1000.0) as waiting:
            await self._target_known.wait()
            while self.follower.next_version() is not None:
                await trio.sleep(START_POLL_INTERVAL_S)
        log(
            LogEvent.SETTINGS_LOADED,
            in_force=self.follower.in_force,
            late=waiting.cancelled_caught,
        )

    async def run(self) -> None:
        """Report the health soon after each change of the version, and when it has changed."""
        while True:
            self._changed = trio.Event()
            with trio.move_on_after(self._next_sample_delay_s()):
                await self._changed.wait()
                continue
            self._sample_health()

    def rebase(self, table: Mapping[str, Any]) -> None:
        """Apply changed settings of the router's own file, under the present overlay, or none of them.

        Raises SettingsRefused.
        """
        try:
            settings = settings_with(table, self._overlay)
        except MessageError as error:
            raise SettingsRefused(str(error)) from error
        self._router.apply(settings, self._overlay.version)
        self._table = table
        self.follower.retry_refused()
        self.advance()

    # -- called by the session --

    def target_read(self, target: Target, revision: int) -> None:
        """Record the target as of the transaction `revision`."""
        self.follower.receive_target(target, revision, self._clock.now())
        self.advance()
        self._target_known.set()

    def target_absent(self) -> None:
        """Record that no target is published (any more); the version in force stays."""
        self._target_known.set()

    def overlay_read(self, version: int, data: bytes | None) -> None:
        """Record the data of a version's node; None if there is no such node."""
        wanted = version == self.follower.next_version()
        overlay = self.follower.decode_overlay(version, data, self._clock.now())
        refused = self.follower.report().refused
        if overlay is not None:
            self._apply(overlay)
        elif wanted and refused is not None:
            self._router.refuse(refused.why, version)
            log(
                LogEvent.SETTINGS_REJECTED,
                version=version,
                in_force=self.follower.in_force,
                reason=refused.why,
            )
        self.advance()

    def advance(self) -> None:
        """Take the next step towards the target, and report what has changed."""
        version = self.follower.next_version()
        if version == LOCAL_VERSION:
            self._apply(LOCAL_OVERLAY)
        elif version is not None and self._session is not None:
            self._session.fetch(version)
        if self._session is not None:
            self._session.publish(self.follower.report())
        self._changed.set()

    # -- internals --

    def _apply(self, overlay: Overlay) -> None:
        """Apply a version completely, or reject it."""
        now, before = self._clock.now(), self.follower.in_force
        try:
            self._router.apply(settings_with(self._table, overlay), overlay.version)
        except SettingsRefused as error:
            self._reject(overlay.version, str(error))
            return
        except MessageError as error:
            self._router.refuse(str(error), overlay.version)
            self._reject(overlay.version, str(error))
            return
        self._overlay = overlay
        self.follower.record_applied(overlay.version, now)
        self._health_window.sample()  # starts a new sample: earlier answers belong to the previous version
        log(LogEvent.SETTINGS_APPLIED, version=overlay.version, before=before)

    def _reject(self, version: int, reason: str) -> None:
        self.follower.record_refusal(version, reason, self._clock.now())
        log(LogEvent.SETTINGS_REJECTED, version=version, in_force=self.follower.in_force, reason=reason)

    def _next_sample_delay_s(self) -> float:
        deadline = self.follower.health_due_ms()
        return HEALTH_INTERVAL_S if deadline is None else max(0.0, (deadline - self._clock.now()) / 1000.0)

    def _sample_health(self) -> None:
        health = self._health_window.sample()
        if self.follower.health_due_ms() is not None or should_report(self.follower.health, health):
            self.follower.record_health(health)
        if self._session is not None:
            self._session.retry_name()
            self._session.publish(self.follower.report())


class ConfigurationSession:
    """The nodes of a roll-out as one session with the coordination service sees them."""

    def __init__(self, path: str, name: str, ensemble: ZooKeeperClient, agent: ConfigurationAgent) -> None:
        self._path = path
        self._ensemble = ensemble
        self._agent = agent
        self._fetching: int | None = None
        self._retired = False
        self._name_taken_at: float | None = None  # when the name was found to be taken, on trio's clock
        self._target = NodeWatch(target_path(path), ensemble.request, self)
        report = agent.follower.report()
        self._registrar = Registrar(
            routers_path(path),
            name,
            report.encode(),
            ensemble.request,
            lambda: ensemble.session.session,
            lambda data: _is_same_process(data, report),
            log,
        )

    def start(self) -> None:
        """Follow the session, which may be connected already."""
        self._ensemble.add_listener(self._feed)
        if self._ensemble.session.connected:
            self._feed(Up(self._ensemble.session.session, False))

    def retire(self) -> None:
        """Stop following: another session takes over, and the report ends with this one."""
        self._retired = True
        self._registrar.retire()

    def publish(self, report: Report) -> None:
        """Write the report, if it differs from the last one."""
        self._registrar.update_record(report.encode())

    def retry_name(self) -> None:
        """Retry registration under a name that was taken, after a delay."""
        if not self._registrar.name_taken:
            self._name_taken_at = None
        elif self._name_taken_at is None:
            self._name_taken_at = trio.current_time()
        elif trio.current_time() >= self._name_taken_at + NAME_RETRY_S:
            self._name_taken_at = None
            self._registrar.retry_name()

    def fetch(self, version: int) -> None:
        """Read a version's overlay, unless one is being read: only one is read at a time."""
        if self._fetching is None:
            self._fetching = version
            self._ensemble.request(zk.GetData(version_path(self._path, version)), self._fetched)

    # -- events of the target's node --

    def put(self, data: bytes, stat: Stat) -> None:
        """Handle the target's data; an invalid target changes nothing."""
        if self._retired:
            return
        try:
            target = Target.decode(data)
        except MessageError as error:
            log_limited(LogEvent.SETTINGS_TARGET_INVALID, reason=str(error))
            return
        self._agent.target_read(target, stat.mzxid)

    def absent(self) -> None:
        """Handle the absence of the target's node."""
        if not self._retired:
            self._agent.target_absent()

    def unreadable(self, error: Err) -> None:
        """Log that the servers refuse to return the target."""
        log_limited(LogEvent.SETTINGS_TARGET_UNREADABLE, reason=error.name)

    # -- internals --

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
            self._agent.overlay_read(version, reply.result.data)
        elif reply.error is Err.NO_NODE:
            self._agent.overlay_read(version, None)
        else:
            log_limited(LogEvent.SETTINGS_OVERLAY_UNREADABLE, version=version, reason=reply.error.name)


def _is_same_process(data: bytes, local: Report) -> bool:
    """Return whether a report was written by this router before its restart: no other can listen there."""
    try:
        recorded = Report.decode(data)
    except MessageError:
        return False
    return recorded.listen == local.listen and recorded.started <= local.started

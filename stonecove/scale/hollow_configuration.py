"""Roll-outs of settings to a hollow router: the router's own code, with traffic and times recorded."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from stonecove.operator_config.records import ConfigurationRecord
from stonecove.pipeline.route import Route
from stonecove.protocols.zookeeper.session import Server, Session, SessionConfig
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.scale.hollow import HEADER_BYTES, Traffic
from stonecove.server.config import Config
from stonecove.server.configuration import ConfigurationAgent
from stonecove.server.reconfigure import ActiveSettings
from stonecove.transport.zookeeper import ZooKeeperClient

SESSION = SessionConfig(session_timeout_s=10.0)


class _CountedSession(Session):
    """A session that counts its bytes, and takes each read and each write for a segment and its ACK."""

    def __init__(self, servers: tuple[Server, ...], seed: int, config: SessionConfig) -> None:
        super().__init__(servers, seed, config)
        self.traffic = Traffic()

    def received(self, data: bytes, now: float) -> None:
        """Count and handle received bytes."""
        self.traffic.add(Traffic(received=len(data), headers=2 * HEADER_BYTES))
        super().received(data, now)

    def data_to_send(self) -> bytes:
        """Count and return the bytes to send."""
        data = super().data_to_send()
        if data:
            self.traffic.add(Traffic(sent=len(data), headers=2 * HEADER_BYTES))
        return data


class _RecordingActiveSettings(ActiveSettings):
    """The router's active settings, which record when each version was applied."""

    def __init__(self, config: Config, route: Route, clock: Clock) -> None:
        super().__init__(config.settings, 0, route, [], lambda: None, clock.now)
        self.applied: list[tuple[int, int]] = []  # versions, each with the time in ns

    def apply(self, settings: Settings, version: int = 0) -> None:
        """Apply the settings and record the time."""
        super().apply(settings, version)
        self.applied.append((version, time.time_ns()))


class HollowConfiguration:
    """Follows published settings over a session of its own."""

    def __init__(
        self, config: Config, route: Route, clock: Clock, servers: tuple[Server, ...], path: str
    ) -> None:
        """Create one that is not running yet."""
        self._ensemble = ZooKeeperClient(servers, config.seed, SESSION, lambda: None)
        self._session = _CountedSession(servers, config.seed, SESSION)
        self._ensemble.session = self._session
        self._active_settings = _RecordingActiveSettings(config, route, clock)
        record = ConfigurationRecord(True, path)
        self._agent = ConfigurationAgent(
            record, config, config.table, self._active_settings, route.recorder.counts, clock
        )

    def start(self, spawn: Callable[[Callable[[], Awaitable[None]]], None]) -> None:
        """Start to follow."""
        self._agent.attach(self._ensemble)
        spawn(self._ensemble.run)
        spawn(self._agent.run)

    @property
    def traffic(self) -> Traffic:
        """Return the traffic of the session."""
        return self._session.traffic

    @property
    def applied(self) -> list[tuple[int, int]]:
        """Return the applied versions, each with the time in ns."""
        return self._active_settings.applied

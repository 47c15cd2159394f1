"""A hollow router's part in roll-outs of settings: the program's own, with bytes and moments noted."""

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

    def __init__(self, servers: tuple[Server, ...], seed: int, figures: SessionConfig) -> None:
        super().__init__(servers, seed, figures)
        self.traffic = Traffic()

    def received(self, data: bytes, now: float) -> None:
        """Counts what comes in."""
        self.traffic.add(Traffic(received=len(data), headers=2 * HEADER_BYTES))
        super().received(data, now)

    def data_to_send(self) -> bytes:
        """Counts what goes out."""
        data = super().data_to_send()
        if data:
            self.traffic.add(Traffic(sent=len(data), headers=2 * HEADER_BYTES))
        return data


class _NotedReconfigure(ActiveSettings):
    """The program's change of settings, which notes when each version was in force."""

    def __init__(self, config: Config, route: Route, clock: Clock) -> None:
        super().__init__(config.settings, 0, route, [], lambda: None, clock.now)
        self.applied: list[tuple[int, int]] = []  # versions, and the moment in ns

    def apply(self, settings: Settings, version: int = 0) -> None:
        """As the program does."""
        super().apply(settings, version)
        self.applied.append((version, time.time_ns()))


class HollowConfiguration:
    """Follows what is published, by a session of its own."""

    def __init__(
        self, config: Config, route: Route, clock: Clock, servers: tuple[Server, ...], path: str
    ) -> None:
        """Nothing runs yet."""
        self._ensemble = ZooKeeperClient(servers, config.seed, SESSION, lambda: None)
        self._session = _CountedSession(servers, config.seed, SESSION)
        self._ensemble.session = self._session
        self._reconfigure = _NotedReconfigure(config, route, clock)
        record = ConfigurationRecord(True, path)
        self._keeper = ConfigurationAgent(
            record, config, config.table, self._reconfigure, route.recorder.counts, clock
        )

    def start(self, spawn: Callable[[Callable[[], Awaitable[None]]], None]) -> None:
        """Begins to follow."""
        self._keeper.attach(self._ensemble)
        spawn(self._ensemble.run)
        spawn(self._keeper.run)

    @property
    def traffic(self) -> Traffic:
        """All that has passed."""
        return self._session.traffic

    @property
    def applied(self) -> list[tuple[int, int]]:
        """Versions that were put in force, and the moment in ns."""
        return self._reconfigure.applied

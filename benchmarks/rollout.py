"""Measure how soon a settings change is applied at all routers, and what it costs each of them.

    python -m benchmarks.rollout [--short]

Runs the routers' configuration agents with a session each in this process, against the stand-in ensemble over
loopback, with the command's controller. One process runs all routers, so times are longer than with a
machine for each router. The last line is `key=value ...`.
"""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from stonecove.fleet.rollout_controller import RolloutController, service_session
from stonecove.operator_config.records import ConfigurationRecord
from stonecove.protocols.zookeeper.session import Server, Session, SessionConfig
from stonecove.rollout.messages import DEFAULT_WAVES, Bounds, RolloutState
from stonecove.routing.settings import Settings
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import set_log_sink
from stonecove.server.config import config_from
from stonecove.server.configuration import ConfigurationAgent
from stonecove.standins.webserver import settings
from stonecove.transport.zookeeper import ZooKeeperClient

PATH = "/stonecove/configuration"
SESSION_CONFIG = SessionConfig(session_timeout_s=10.0)
TIMEOUT_S = 30.0
CHANGES = 3  # the first of a fleet is not counted: sessions and tables are still being created
WAVE_TIMEOUT_MS = 5000.0


class CountedSession(Session):
    """A session that counts its bytes in both directions."""

    bytes_both_ways = 0

    def received(self, data: bytes, now: float) -> None:
        """Count received bytes."""
        self.bytes_both_ways += len(data)
        super().received(data, now)

    def data_to_send(self) -> bytes:
        """Count sent bytes."""
        data = super().data_to_send()
        self.bytes_both_ways += len(data)
        return data


class SimulatedRouter:
    """Applies all settings and records when."""

    def __init__(self, number: int, servers: tuple[Server, ...]) -> None:
        """Create the agent and its session; nothing runs yet."""
        self.applied_at = 0.0
        initial_settings = settings()
        table = {
            "name": f"edge-{number}",
            "listen": f"127.0.0.1:{10_000 + number}",
            "changelog": "127.0.0.1:1",
            "settings": initial_settings,
        }
        self.ensemble = ZooKeeperClient(servers, number, SESSION_CONFIG, lambda: None)
        self.session = CountedSession(servers, number, SESSION_CONFIG)
        self.ensemble.session = self.session
        self.agent = ConfigurationAgent(
            ConfigurationRecord(True, PATH), config_from(table, {}), initial_settings, self, {}, Clock()
        )
        self.agent.attach(self.ensemble)

    def refuse(self, why: str, version: int) -> None:
        """Raise, so that no figures come from a change that was not applied."""
        raise RuntimeError(why)

    def apply(self, settings: Settings, version: int) -> None:
        """Record when the settings were applied."""
        self.applied_at = time.monotonic()


@contextmanager
def stand_in_ensemble(servers: int) -> Iterator[tuple[Server, ...]]:
    """Run a stand-in ensemble as a process and yield its servers."""
    process = subprocess.Popen(
        [sys.executable, "-m", "stonecove", "standin", "zookeeper", "--servers", str(servers)],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    try:
        addresses = []
        for _ in range(servers):
            host, _, port = process.stdout.readline().split()[-1].rpartition(":")
            addresses.append((host, int(port)))
        yield tuple(addresses)
    finally:
        process.terminate()
        process.wait(TIMEOUT_S)


async def measure_rollouts(count: int, servers: tuple[Server, ...], changes: int) -> tuple[float, float]:
    """Publish changes to `count` routers.

    Returns the longest time in ms and the most bytes of a router for one change.
    """
    async with trio.open_nursery() as nursery:
        routers = [SimulatedRouter(number, servers) for number in range(count)]
        for router in routers:
            nursery.start_soon(router.ensemble.run)
            nursery.start_soon(router.agent.run)
        slowest_ms, max_bytes = 0.0, 0.0
        async with service_session(servers, SessionConfig(), TIMEOUT_S) as service:
            controller = RolloutController(PATH, service, TIMEOUT_S)
            with trio.fail_after(TIMEOUT_S):
                while len(controller.reports.by_name) < count:
                    await trio.sleep(0.05)
            for change in range(changes + 1):
                bytes_before = [router.session.bytes_both_ways for router in routers]
                started_at_s = time.monotonic()
                state = await controller.publish(
                    {"rules": {"warm_up": 10_000.0 + change}},
                    DEFAULT_WAVES,
                    Bounds(wave_timeout_ms=WAVE_TIMEOUT_MS),
                )
                assert state is RolloutState.COMPLETE, state
                if change == 0:
                    continue
                slowest_ms = max(
                    slowest_ms, *(1000.0 * (router.applied_at - started_at_s) for router in routers)
                )
                bytes_used = [
                    router.session.bytes_both_ways - bytes_at_start
                    for router, bytes_at_start in zip(routers, bytes_before, strict=True)
                ]
                max_bytes = max(max_bytes, *bytes_used)
        nursery.cancel_scope.cancel()
    return slowest_ms, max_bytes


def main() -> None:
    """Run all measurements and print the figures."""
    set_log_sink(lambda event, fields: None)
    changes = 1 if "--short" in sys.argv[1:] else CHANGES
    figures: dict[str, float] = {}
    for count in (50, 150, 400):
        with stand_in_ensemble(3) as servers:
            slowest_ms, max_bytes = trio.run(measure_rollouts, count, servers, changes)
        print(
            f"{count} routers: applied by the last after {slowest_ms:.0f} ms, "
            f"{max_bytes:.0f} bytes per router"
        )
        figures |= {f"config_max_ms_{count}": slowest_ms, f"config_bytes_{count}": max_bytes}
    print(f"config_max_ms={max(figures[f'config_max_ms_{count}'] for count in (50, 150, 400)):.4g}", end=" ")
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

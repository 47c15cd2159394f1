"""How soon a change of the settings is in force at all routers, and what it costs each of them.

    python -m benchmarks.rollout [--short]

Routers' keepers with sessions of their own, in this process, against the stand-in ensemble over loopback;
the controller is the command's. One process plays all routers, so times are above those of routers that
have a machine each. The last line is `key=value ...`.
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
SESSION = SessionConfig(session_timeout_s=10.0)
PATIENCE = 30.0
CHANGES = 3  # the first one of a fleet is not counted: sessions and tables are still being made
WAVE_TIMEOUT_MS = 5000.0


class CountedSession(Session):
    """A session that counts its bytes, both ways."""

    bytes_both_ways = 0

    def received(self, data: bytes, now: float) -> None:
        """Counts what comes in."""
        self.bytes_both_ways += len(data)
        super().received(data, now)

    def data_to_send(self) -> bytes:
        """Counts what goes out."""
        data = super().data_to_send()
        self.bytes_both_ways += len(data)
        return data


class PlayedRouter:
    """Takes all settings over, and tells when."""

    def __init__(self, number: int, servers: tuple[Server, ...]) -> None:
        self.applied_at = 0.0
        own = settings()
        table = {
            "name": f"edge-{number}",
            "listen": f"127.0.0.1:{10_000 + number}",
            "changelog": "127.0.0.1:1",
            "settings": own,
        }
        self.ensemble = ZooKeeperClient(servers, number, SESSION, lambda: None)
        self.session = CountedSession(servers, number, SESSION)
        self.ensemble.session = self.session
        self.keeper = ConfigurationAgent(
            ConfigurationRecord(True, PATH), config_from(table, {}), own, self, {}, Clock()
        )
        self.keeper.attach(self.ensemble)

    def refuse(self, why: str, version: int) -> None:
        """Guards against figures of a change that was not taken over."""
        raise RuntimeError(why)

    def apply(self, settings: Settings, version: int) -> None:
        """Takes them over."""
        self.applied_at = time.monotonic()


@contextmanager
def stand_in(servers: int) -> Iterator[tuple[Server, ...]]:
    """A stand-in ensemble as a process."""
    process = subprocess.Popen(
        [sys.executable, "-m", "stonecove", "standin", "zookeeper", "--servers", str(servers)],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    try:
        found = []
        for _ in range(servers):
            host, _, port = process.stdout.readline().split()[-1].rpartition(":")
            found.append((host, int(port)))
        yield tuple(found)
    finally:
        process.terminate()
        process.wait(PATIENCE)


async def play(count: int, servers: tuple[Server, ...], changes: int) -> tuple[float, float]:
    """Publishes changes to so many routers: the longest time in ms, the most bytes of a router a change."""
    async with trio.open_nursery() as nursery:
        routers = [PlayedRouter(number, servers) for number in range(count)]
        for router in routers:
            nursery.start_soon(router.ensemble.run)
            nursery.start_soon(router.keeper.run)
        slowest, most_bytes = 0.0, 0.0
        async with service_session(servers, SessionConfig(), PATIENCE) as service:
            controller = RolloutController(PATH, service, PATIENCE)
            with trio.fail_after(PATIENCE):
                while len(controller.reports.by_name) < count:
                    await trio.sleep(0.05)
            for change in range(changes + 1):
                counted = [router.session.bytes_both_ways for router in routers]
                began = time.monotonic()
                state = await controller.publish(
                    {"rules": {"warm_up": 10_000.0 + change}},
                    DEFAULT_WAVES,
                    Bounds(wave_timeout_ms=WAVE_TIMEOUT_MS),
                )
                assert state is RolloutState.COMPLETE, state
                if change == 0:
                    continue
                slowest = max(slowest, *(1000.0 * (router.applied_at - began) for router in routers))
                spent = [
                    router.session.bytes_both_ways - before
                    for router, before in zip(routers, counted, strict=True)
                ]
                most_bytes = max(most_bytes, *spent)
        nursery.cancel_scope.cancel()
    return slowest, most_bytes


def main() -> None:
    """Measures all, and prints the figures."""
    set_log_sink(lambda event, fields: None)
    changes = 1 if "--short" in sys.argv[1:] else CHANGES
    figures: dict[str, float] = {}
    for count in (50, 150, 400):
        with stand_in(3) as servers:
            slowest, most_bytes = trio.run(play, count, servers, changes)
        print(
            f"{count} routers: in force at the last after {slowest:.0f} ms, {most_bytes:.0f} bytes a router"
        )
        figures |= {f"config_max_ms_{count}": slowest, f"config_bytes_{count}": most_bytes}
    print(f"config_max_ms={max(figures[f'config_max_ms_{count}'] for count in (50, 150, 400)):.4g}", end=" ")
    print(" ".join(f"{name}={value:.4g}" for name, value in figures.items()))


if __name__ == "__main__":
    main()

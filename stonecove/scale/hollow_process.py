"""Run a process of many hollow routers, controlled by the run.

The first command, `routers`, carries the shared configuration and what differs for each router. `sample`
returns resource usage, `level` how many routers lack an event; `ledgers` writes when each event was applied.
"""

from __future__ import annotations

import gc
import signal
import time
from array import array
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

import trio

from stonecove.runtime.log import set_log_sink
from stonecove.runtime.log_events import LogEvent
from stonecove.scale import child
from stonecove.scale.hollow import CountedDatagrams, HollowRouter, Traffic
from stonecove.scale.ledger import Ledger
from stonecove.server.config import Config, config_from

if TYPE_CHECKING:
    from stonecove.scale.hollow_configuration import HollowConfiguration

CONFIGURATION_PATH = "/stonecove/configuration"
SAMPLE_INTERVAL_S = 0.5  # between two reads of the connections' traffic
MAX_BUG_LINES = 20  # `internal_error` log lines that are kept


class HollowProcess:
    """The routers of this process, with the ledgers of ended incarnations."""

    def __init__(
        self, shared: dict[str, Any], routers: dict[str, dict[str, Any]], nursery: trio.Nursery
    ) -> None:
        """Create one; `shared` is the common configuration, `routers` what differs for each, by number."""
        self._nursery = nursery
        self._tables = {int(router): {**shared, **own} for router, own in routers.items()}
        for table in self._tables.values():
            table["settings"] = {**shared["settings"], "zone": table.pop("zone")}
        self._running: dict[int, HollowRouter] = {}
        self._ledgers: list[Ledger] = []
        self._datagrams: dict[int, CountedDatagrams] = {}
        self._configurations: dict[int, HollowConfiguration] = {}
        coordination = shared.pop("coordination", None)
        self._servers = tuple((host, port) for host, port in coordination or ())
        self._ended_traffic = Traffic()  # by incarnations that have ended
        self.events: Counter[str] = Counter()  # counts of the routers' log lines
        self.bugs: list[str] = []

    def log(self, event: str, fields: dict[str, object]) -> None:
        """Count a line of a router's log, and keep the fields of internal errors."""
        self.events[event] += 1
        if event == LogEvent.INTERNAL_ERROR and len(self.bugs) < MAX_BUG_LINES:
            self.bugs.append(str(fields))

    async def start(self, routers: list[int], spread_s: float) -> None:
        """Start or restart these routers, spread over this many seconds."""
        for index, router in enumerate(routers):
            if router in self._running:
                self.kill([router])
            hollow = HollowRouter(router, config_from(self._tables[router], {}))
            self._running[router] = hollow
            self._ledgers.append(hollow.ledger)
            self._nursery.start_soon(hollow.run, self._start_optional_parts)
            await trio.sleep(spread_s / len(routers) if index + 1 < len(routers) else 0.0)

    def _start_optional_parts(self, hollow: HollowRouter) -> None:
        """Start the parts that only some runs have."""
        self._start_swarm(hollow)
        if self._servers:
            self._start_configuration(hollow)

    def _start_configuration(self, hollow: HollowRouter) -> None:
        """Take part in roll-outs of settings."""
        from stonecove.scale.hollow_configuration import HollowConfiguration

        configuration = HollowConfiguration(
            hollow.config, hollow.route, hollow.clock, self._servers, CONFIGURATION_PATH
        )
        self._configurations[hollow.ledger.router] = configuration
        configuration.start(hollow.spawn)

    def _start_swarm(self, hollow: HollowRouter) -> None:
        """Start gossip among the routers, if the run enables it."""
        config: Config = hollow.config
        if not config.peer_listen:
            return
        from stonecove.operator_config.reader import read_text
        from stonecove.server.swarm import SwarmAgent, bind_datagram_socket

        record = read_text("swarm: {}", "scale").operator.swarm
        assert record is not None
        datagrams = CountedDatagrams.from_socket(bind_datagram_socket(config))
        self._datagrams[hollow.ledger.router] = datagrams
        hollow.exit_stack.callback(datagrams.close)
        agent = SwarmAgent(record, config, datagrams, hollow.route, hollow.clock, None)
        agent.start(hollow.spawn)

    def kill(self, routers: list[int]) -> None:
        """Stop these routers as if their processes were killed."""
        for router in routers:
            hollow = self._running.pop(router, None)
            if hollow is None:
                continue
            self._ended_traffic.add(hollow.sockets.traffic())
            if datagrams := self._datagrams.pop(router, None):
                self._ended_traffic.add(datagrams.traffic)
            if configuration := self._configurations.pop(router, None):
                self._ended_traffic.add(configuration.traffic)
            hollow.ledger.ended_at_ns = time.time_ns()
            hollow.end()

    def sample(self) -> child.Message:
        """Return the resource usage since the start of the process."""
        total = Traffic()
        total.add(self._ended_traffic)
        for hollow in self._running.values():
            total.add(hollow.sockets.traffic())
        for datagrams in self._datagrams.values():
            total.add(datagrams.traffic)
        for configuration in self._configurations.values():
            total.add(configuration.traffic)
        return {
            "cpu": time.process_time(), "memory_mb": child.resident_mb(), "routers": len(self._running),
            "received": total.received, "sent": total.sent, "headers": total.headers,
            "heard": sum(hollow.has_received for hollow in self._running.values()),
            "bugs": self.bugs, "events": self.events,
        }  # fmt: skip

    def applied(self) -> list[list[int]]:
        """Return router, version and time in ns of each settings version that was applied."""
        return [
            [router, version, applied_ns]
            for router, configuration in self._configurations.items()
            for version, applied_ns in configuration.applied
        ]

    def count_lagging(self, number: int) -> int:
        """Return how many routers lack this event; those not running count."""
        current = sum(hollow.ledger.newest >= number for hollow in self._running.values())
        return len(self._tables) - current

    def write_ledgers(self, path: Path) -> child.Message:
        """Write the times of all incarnations, one after the other; return a header for each."""
        headers = []
        with path.open("wb") as file:
            for ledger in self._ledgers:
                array("q", ledger.applied_at_ns).tofile(file)
                headers.append(
                    [
                        ledger.router,
                        ledger.last,
                        ledger.started_at_ns,
                        ledger.ended_at_ns,
                        ledger.repeated,
                        len(ledger.applied_at_ns),
                    ]
                )
        return {"lives": headers}

    async def sample_repeatedly(self) -> None:
        """Read the connections' traffic regularly, so that little is missing when one closes."""
        while True:
            await trio.sleep(SAMPLE_INTERVAL_S)
            for hollow in self._running.values():
                hollow.sockets.traffic()


async def serve() -> None:
    """Serve until the command pipe is closed."""
    process: HollowProcess | None = None
    async with trio.open_nursery() as nursery:
        async for command in child.receive_commands():
            if command["do"] == "idle":
                gc.collect()
                child.send_response(memory_mb=child.resident_mb(), cpu=time.process_time())
                continue
            if command["do"] == "routers":
                process = HollowProcess(command["shared"], command["routers"], nursery)
                set_log_sink(process.log)
                nursery.start_soon(process.sample_repeatedly)
                await process.start([int(router) for router in command["routers"]], 0.0)
                gc.collect()
                gc.freeze()  # as the router does
                child.send_response()
                continue
            assert process is not None, "the process has not received its routers yet"
            match command["do"]:
                case "start":
                    nursery.start_soon(process.start, command["routers"], command["within"])
                case "kill":
                    process.kill(command["routers"])
                case "sample":
                    child.send_response(**process.sample())
                case "level":
                    child.send_response(behind=process.count_lagging(command["number"]))
                case "applied":
                    child.send_response(applied=process.applied())
                case "ledgers":
                    child.send_response(**process.write_ledgers(Path(command["path"])))
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # it exits with its parent
    trio.run(serve)


if __name__ == "__main__":
    main()

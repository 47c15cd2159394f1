"""A process of many hollow routers, which takes orders from the run.

The first order, `routers`, tells the configuration that all share and what differs. `sample` tells what they
have spent, `level` how many lack an event, `ledgers` writes what each took and when.
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
SAMPLE = 0.5  # seconds between two looks at what has passed over the connections
MOST_BUGS = 20  # lines of the log that are kept, of those that should not be


class HollowProcess:
    """The routers of this process, dead lives among them."""

    def __init__(
        self, shared: dict[str, Any], routers: dict[str, dict[str, Any]], nursery: trio.Nursery
    ) -> None:
        """`shared`: the configuration; `routers`: what is different of each, by its number."""
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
        self._spent = Traffic()  # by lives that have ended
        self.events: Counter[str] = Counter()  # lines of the routers' logs
        self.bugs: list[str] = []

    def log(self, event: str, fields: dict[str, object]) -> None:
        """A line of a router's log: only counted, but for bugs."""
        self.events[event] += 1
        if event == LogEvent.INTERNAL_ERROR and len(self.bugs) < MOST_BUGS:
            self.bugs.append(str(fields))

    async def start(self, routers: list[int], within: float) -> None:
        """Starts these routers, spread over so many seconds."""
        for place, router in enumerate(routers):
            if router in self._running:
                self.kill([router])
            hollow = HollowRouter(router, config_from(self._tables[router], {}))
            self._running[router] = hollow
            self._ledgers.append(hollow.ledger)
            self._nursery.start_soon(hollow.run, self._start_more)
            await trio.sleep(within / len(routers) if place + 1 < len(routers) else 0.0)

    def _start_more(self, hollow: HollowRouter) -> None:
        """What only some runs ask for."""
        self._start_swarm(hollow)
        if self._servers:
            self._start_configuration(hollow)

    def _start_configuration(self, hollow: HollowRouter) -> None:
        """Takes part in roll-outs of settings."""
        from stonecove.scale.hollow_configuration import HollowConfiguration

        configuration = HollowConfiguration(
            hollow.config, hollow.route, hollow.clock, self._servers, CONFIGURATION_PATH
        )
        self._configurations[hollow.ledger.router] = configuration
        configuration.start(hollow.spawn)

    def _start_swarm(self, hollow: HollowRouter) -> None:
        """Membership among the routers, where the run asks for it."""
        config: Config = hollow.config
        if not config.peer_listen:
            return
        from stonecove.operator_config.reader import read_text
        from stonecove.server.swarm import SwarmAgent, bind_datagram_socket

        record = read_text("swarm: {}", "scale").operator.swarm
        assert record is not None
        datagrams = CountedDatagrams.around(bind_datagram_socket(config))
        self._datagrams[hollow.ledger.router] = datagrams
        hollow.ending.callback(datagrams.close)
        keeper = SwarmAgent(record, config, datagrams, hollow.route, hollow.clock, None)
        keeper.start(hollow.spawn)

    def kill(self, routers: list[int]) -> None:
        """Ends these routers, as if their processes were killed."""
        for router in routers:
            hollow = self._running.pop(router, None)
            if hollow is None:
                continue
            self._spent.add(hollow.sockets.traffic())
            if datagrams := self._datagrams.pop(router, None):
                self._spent.add(datagrams.traffic)
            if configuration := self._configurations.pop(router, None):
                self._spent.add(configuration.traffic)
            hollow.ledger.ended = time.time_ns()
            hollow.end()

    def sample(self) -> child.Order:
        """What all have spent since the start of the process."""
        total = Traffic()
        total.add(self._spent)
        for hollow in self._running.values():
            total.add(hollow.sockets.traffic())
        for datagrams in self._datagrams.values():
            total.add(datagrams.traffic)
        for configuration in self._configurations.values():
            total.add(configuration.traffic)
        return {
            "cpu": time.process_time(), "memory_mb": child.resident_mb(), "routers": len(self._running),
            "received": total.received, "sent": total.sent, "headers": total.headers,
            "heard": sum(hollow.heard for hollow in self._running.values()),
            "bugs": self.bugs, "events": self.events,
        }  # fmt: skip

    def applied(self) -> list[list[int]]:
        """Router, version and moment in ns of each change of settings that was put in force."""
        return [
            [router, version, moment]
            for router, configuration in self._configurations.items()
            for version, moment in configuration.applied
        ]

    def behind(self, number: int) -> int:
        """How many routers lack that event, those that don't run among them."""
        has = sum(hollow.ledger.newest >= number for hollow in self._running.values())
        return len(self._tables) - has

    def write_ledgers(self, path: Path) -> child.Order:
        """Writes the moments of all lives, one after the other; the heads of them are told."""
        heads = []
        with path.open("wb") as file:
            for ledger in self._ledgers:
                array("q", ledger.taken).tofile(file)
                heads.append([ledger.router, ledger.last, ledger.began, ledger.ended, ledger.repeated,
                              len(ledger.taken)])  # fmt: skip
        return {"lives": heads}

    async def sample_for_good(self) -> None:
        """Looks at the connections now and then, so that little is missing of one that ends."""
        while True:
            await trio.sleep(SAMPLE)
            for hollow in self._running.values():
                hollow.sockets.traffic()


async def serve() -> None:
    """Runs until the orders end."""
    process: HollowProcess | None = None
    async with trio.open_nursery() as nursery:
        async for order in child.orders():
            if order["do"] == "idle":
                gc.collect()
                child.answer(memory_mb=child.resident_mb(), cpu=time.process_time())
                continue
            if order["do"] == "routers":
                process = HollowProcess(order["shared"], order["routers"], nursery)
                set_log_sink(process.log)
                nursery.start_soon(process.sample_for_good)
                await process.start([int(router) for router in order["routers"]], 0.0)
                gc.collect()
                gc.freeze()  # as the router does
                child.answer()
                continue
            assert process is not None, "no routers are told yet"
            match order["do"]:
                case "start":
                    nursery.start_soon(process.start, order["routers"], order["within"])
                case "kill":
                    process.kill(order["routers"])
                case "sample":
                    child.answer(**process.sample())
                case "level":
                    child.answer(behind=process.behind(order["number"]))
                case "applied":
                    child.answer(applied=process.applied())
                case "ledgers":
                    child.answer(**process.write_ledgers(Path(order["path"])))
        nursery.cancel_scope.cancel()


def main() -> None:
    """The process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # ends with its parent
    trio.run(serve)


if __name__ == "__main__":
    main()

"""A cache begins to drain while the change log is down for 8 s: is it left alone once that counts as told?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import depot2  # noqa: E402

DOWN_S = 8.0  # FLEET: "discovery is down for 8 s"
DRAIN_AFTER_S = 0.1  # from the begin of the outage
TOLD_AFTER_MS = 7000.0  # PROTOCOL: told 7 s later at the latest
GRACE_MS = 250.0 + 50.0  # drain_grace, and what the rules on sockets add
MEASURING_MS = 50.0  # for the way to the cache and this program's own delays
RATE = 60.0  # requests a second


class Outage(depot2.ChangeLog):
    """A change log that can be down: nothing listens, and open connections are closed."""

    def down(self) -> None:
        """End the service; `start` begins it again at the same address."""
        assert self._server is not None
        self._server.close()
        for writer in list(self.writers):
            writer.close()


class Arrivals:
    """What the caches got: time in Unix ms, cache and source."""

    def __init__(self) -> None:
        self.seen: list[tuple[float, str, str]] = []
        self._copies: set[tuple[str, str]] = set()

    async def handle(self, fetch: depot2.Fetch) -> None:
        """Serve as a sound cache does, drained or not."""
        self.seen.append((fetch.at_ms, fetch.cache.name, fetch.fields.get("from", "-")))
        await asyncio.sleep(random.uniform(0.01, 0.03))
        copy = fetch.cache.name, fetch.fields["item"]
        tell = "hit" if copy in self._copies else "filled"
        self._copies.add(copy)
        meter = "busy_reqs:1;cpu_share:0.2;x0:0.7"
        fetch.answer("200", b"x" * 2000, tell=tell, ver="v1", born=int(depot2.now_ms()), meter=meter)


def request() -> tuple[str, dict[str, str]]:
    """Return the next request."""
    key = random.randrange(1, 400)
    return "item-image", depot2.fields_for(key, key % 32, 3000.0, 80.0)


async def play(scene: depot2.Scene, log: Outage, drained: depot2.Cache, trouble: bool) -> float:
    """Play the case; return when the drain was in the change log, in Unix ms."""
    await scene.start(clients=4)
    await scene.load(2.0, RATE, request)
    if trouble:
        log.down()
        scene.record.say(f"the change log is down for {DOWN_S:g} s")
    await scene.load(DRAIN_AFTER_S, RATE, request)
    drained.state = 1
    log.add_list([drained], scene.settings)
    drained_ms = depot2.now_ms()
    scene.record.say(f"{drained.name} begins to drain: event {len(log.events)} of the change log")
    await scene.load(DOWN_S - DRAIN_AFTER_S, RATE, request)
    if trouble:
        await log.start()
        scene.record.say("the change log is back")
    await scene.load(2.0, RATE, request)
    await asyncio.sleep(1.0)
    return drained_ms


async def case(record: depot2.Record, trouble: bool) -> int:
    """Return 1 if the drained cache got fresh work after its drain counted as told, else 0."""
    arrivals, log = Arrivals(), Outage()
    caches = [depot2.Cache(0x11 + number, arrivals.handle) for number in range(3)]
    parent = depot2.Cache(0x21, arrivals.handle, 0, 2, 40.0)
    origin = depot2.Cache(0x31, arrivals.handle, 0, 3, 40.0)
    scene = depot2.Scene(record, depot2.small_settings(), [*caches, parent, origin], log)
    drained = caches[0]
    try:
        drained_ms = await play(scene, log, drained, trouble)
    finally:
        scene.close()
    told_ms = drained_ms + (TOLD_AFTER_MS if trouble else 0.0)
    to_drained = [at_ms for at_ms, name, source in arrivals.seen if drained.name in (name, source)]
    for at_ms in to_drained:
        if at_ms > drained_ms:
            record.write(f"{drained.name} got a request {at_ms - drained_ms:.0f} ms after the event")
    record.say("answers by status:", dict(sorted(scene.answers.items())))
    if len(to_drained) < 20 or scene.answers.get(200, 0) < 300:
        record.say("too little traffic to judge")
        return 2
    late = [at_ms - told_ms for at_ms in to_drained if at_ms > told_ms + GRACE_MS + MEASURING_MS]
    if late:
        record.say(
            f"BROKEN: {len(late)} requests to {drained.name}, the first {min(late):.0f} ms, the last "
            f"{max(late):.0f} ms after its drain counted as told; {GRACE_MS:.0f} ms are allowed"
        )
        return 1
    record.say(f"held: the last request {max(to_drained) - told_ms:.0f} ms after the drain counted as told")
    return 0


if __name__ == "__main__":
    depot2.main(case, HERE)

"""The lessor's socket: `leases.sock` in the fleet's folder, rights 0600, a JSON object a line each way."""

from __future__ import annotations

import contextlib
import itertools
import json
import time
from pathlib import Path
from typing import Any

import trio

from stonecove.operator_config.records import Fleet
from stonecove.quotas.lending import Lending, LendingError
from stonecove.quotas.quota import Limit, Plan, PlanError
from stonecove.runtime.log import log, log_limited
from stonecove.runtime.log_events import LogEvent
from stonecove.runtime.unix import bind_private, serve_connections
from stonecove.server.leases import LeaseFile

SOCKET = "leases.sock"
MOST_LINE = 4096
HELLO_WITHIN = 2.0  # seconds
MOST_BEHIND = 1 << 18  # bytes of answers that a holder has not read: it is left


def _limit(table: dict[str, Any]) -> Limit:
    limit = Limit(table["rate"], table["burst"], table.get("ceil", table["rate"]))
    if limit.ceil < limit.rate:
        raise PlanError(f"ceil {limit.ceil:g} is below rate {limit.rate:g}")
    return limit


def plan_of(fleet: Fleet) -> Plan | None:
    """The plan of the operator's limits; raises PlanError."""
    table = fleet.limits
    if table is None:
        return None
    if fleet.leases is None:
        raise PlanError("limits are shared by leases: fleet.leases is missing")
    floor, zones = table.get("floor", {}), table.get("zones", {})
    return Plan(
        _limit(table),
        floor.get("part", 0.0),
        floor.get("class", ""),
        tuple((zone, _limit(one)) for zone, one in zones.items()),
        tuple(
            (zone, cls, _limit(each))
            for zone, one in zones.items()
            for cls, each in one.get("classes", {}).items()
        ),
        _limit(table["client"]) if "client" in table else None,
    )


class Lender:
    """One lessor, as many holders as connect."""

    def __init__(self, fleet: Fleet, folder: Path) -> None:
        """Raises PlanError for limits that make no sense."""
        assert fleet.leases is not None
        self._path = folder / SOCKET
        self._count = max(1, len(fleet.instances))
        window = fleet.leases.window / 1000.0
        self.lending = Lending(time.monotonic(), window, self._count, fleet.leases.own, plan_of(fleet))
        if self.lending.plan is not None:
            self.lending.plan.hierarchy(self.lending.unleased_fraction / self._count)
        self._keys = itertools.count(1)

    def file(self, rest: float) -> LeaseFile:
        """What an instance is told at its start; `rest`: seconds without a part of its own."""
        lending = self.lending
        part = lending.unleased_fraction / self._count
        return LeaseFile(
            str(self._path), lending.window_s, lending.unleased_fraction, part, rest, lending.plan, part
        )

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until it is cancelled."""
        self._path.unlink(missing_ok=True)  # the folder's lock is ours: nobody else listens there
        listener = bind_private(str(self._path), 256)
        task_status.started()
        await serve_connections(listener, self._holder)

    async def _holder(self, client: trio.socket.SocketType) -> None:
        """One holder, from its hello to its end."""
        key, name, why = str(next(self._keys)), "", "closed"
        outgoing = bytearray()
        with client:
            try:
                data = b""
                with trio.fail_after(HELLO_WITHIN):
                    while b"\n" not in data:
                        data += await self._more(client, data)
                while True:
                    *lines, data = data.split(b"\n")
                    for line in lines:
                        word = json.loads(line)
                        name = str(word["name"]) if word["do"] == "hello" else name
                        answer = self._answer(key, word)
                        if answer is not None:
                            outgoing += json.dumps(answer).encode() + b"\n"
                    await self._write(client, outgoing)
                    data += await self._more(client, data)
            except EOFError:
                pass
            except (OSError, trio.TooSlowError) as error:
                why = str(error) or type(error).__name__
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                why = str(error) or type(error).__name__
                log_limited(LogEvent.LEASE_MESSAGE_MALFORMED, name=name, reason=why)
                with contextlib.suppress(OSError):
                    await client.send(json.dumps({"is": "wrong", "why": why}).encode() + b"\n")
            finally:
                self.lending.remove_holder(key)
        if name:
            log(LogEvent.LEASE_HOLDER_DISCONNECTED, name=name, reason=why)

    @staticmethod
    async def _more(client: trio.socket.SocketType, data: bytes) -> bytes:
        """More bytes; raises EOFError at the end, ValueError for a line that never ends."""
        if len(data) > MOST_LINE:
            raise ValueError("a line without end")
        part = await client.recv(65_536)
        if not part:
            raise EOFError
        return part

    @staticmethod
    async def _write(client: trio.socket.SocketType, outgoing: bytearray) -> None:
        """Guards against a holder that asks and never reads: others wait for nothing of it."""
        if len(outgoing) > MOST_BEHIND:
            raise ValueError("it does not read")
        with trio.move_on_after(HELLO_WITHIN) as scope:
            while outgoing:
                sent = await client.send(outgoing)
                del outgoing[:sent]
        if scope.cancelled_caught:
            raise OSError("it does not read")

    def _answer(self, key: str, word: dict[str, Any]) -> dict[str, Any] | None:
        """Raises ValueError, KeyError or TypeError for a word that can't be heeded."""
        now, lending = time.monotonic(), self.lending
        match word["do"]:
            case "hello":
                parts = {str(pool): float(part) for pool, part in word["parts"].items()}
                terms = lending.add_holder(
                    key, str(word["name"]), float(word["window"]), parts, float(word["born"]), now
                )
                return {"is": "terms", **terms._asdict()}
            case "ask":
                number = int(word["number"])
                grant = lending.request_lease(
                    key,
                    number,
                    int(word["node"]),
                    float(word["work"]),
                    float(word["rule"]),
                    str(word["pool"]),
                    now,
                    float(word["rises"]),
                )
                return (
                    {"is": "none", "number": number} if grant is None else {"is": "grant", **grant._asdict()}
                )
            case "back":
                lending.return_lease(key, int(word["number"]), float(word["left"]), now)
                return None
            case "take":
                zone, cls, client = map(str, word["path"])
                count, limit = lending.take_tokens(key, (zone, cls, client), int(word["count"]), now)
                return {"is": "tokens", "path": [zone, cls, client], "count": count, "limit": limit}
            case other:
                raise LendingError(f"no word {other!r}")

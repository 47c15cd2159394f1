"""The lessor's socket: `leases.sock` in the fleet's folder, with rights 0600.

Messages are JSON objects, one per line in each direction.
"""

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

LEASE_SOCKET_NAME = "leases.sock"
MAX_LINE_BYTES = 4096
IO_TIMEOUT_S = 2.0  # for the first message of a lease holder, and for writing answers to it
MAX_UNSENT_BYTES = 1 << 18  # answers not read by a lease holder, beyond which it is disconnected


def _limit(table: dict[str, Any]) -> Limit:
    limit = Limit(table["rate"], table["burst"], table.get("ceil", table["rate"]))
    if limit.ceil < limit.rate:
        raise PlanError(f"ceil {limit.ceil:g} is below rate {limit.rate:g}")
    return limit


def plan_from_fleet(fleet: Fleet) -> Plan | None:
    """Return the plan of the operator's limits; None without limits. Raises PlanError."""
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
        tuple((zone, _limit(limits)) for zone, limits in zones.items()),
        tuple(
            (zone, cls, _limit(class_limits))
            for zone, limits in zones.items()
            for cls, class_limits in limits.get("classes", {}).items()
        ),
        _limit(table["client"]) if "client" in table else None,
    )


class LessorServer:
    """Serves one lessor to the lease holders that connect."""

    def __init__(self, fleet: Fleet, folder: Path) -> None:
        """Create the lessor; raises PlanError for inconsistent limits."""
        assert fleet.leases is not None
        self._path = folder / LEASE_SOCKET_NAME
        self._instance_count = max(1, len(fleet.instances))
        window_s = fleet.leases.window / 1000.0
        self.lending = Lending(
            time.monotonic(), window_s, self._instance_count, fleet.leases.own, plan_from_fleet(fleet)
        )
        if self.lending.plan is not None:
            self.lending.plan.hierarchy(self.lending.unleased_fraction / self._instance_count)
        self._keys = itertools.count(1)

    def lease_file(self, cooldown_s: float) -> LeaseFile:
        """Return what an instance reads at its start; `cooldown_s` is the time without an unleased share."""
        lending = self.lending
        share = lending.unleased_fraction / self._instance_count
        return LeaseFile(
            str(self._path),
            lending.window_s,
            lending.unleased_fraction,
            share,
            cooldown_s,
            lending.plan,
            share,
        )

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        self._path.unlink(missing_ok=True)  # the lock on the folder excludes another listener
        listener = bind_private(str(self._path), 256)
        task_status.started()
        await serve_connections(listener, self._serve_holder)

    async def _serve_holder(self, client: trio.socket.SocketType) -> None:
        """Serve one lease holder until it disconnects or sends an invalid message."""
        key, name, reason = str(next(self._keys)), "", "closed"
        outgoing = bytearray()
        with client:
            try:
                data = b""
                with trio.fail_after(IO_TIMEOUT_S):
                    while b"\n" not in data:
                        data += await self._receive(client, data)
                while True:
                    *lines, data = data.split(b"\n")
                    for line in lines:
                        message = json.loads(line)
                        name = str(message["name"]) if message["do"] == "hello" else name
                        answer = self._answer(key, message)
                        if answer is not None:
                            outgoing += json.dumps(answer).encode() + b"\n"
                    await self._send(client, outgoing)
                    data += await self._receive(client, data)
            except EOFError:
                pass
            except (OSError, trio.TooSlowError) as error:
                reason = str(error) or type(error).__name__
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                reason = str(error) or type(error).__name__
                log_limited(LogEvent.LEASE_MESSAGE_MALFORMED, name=name, reason=reason)
                with contextlib.suppress(OSError):
                    await client.send(json.dumps({"is": "wrong", "why": reason}).encode() + b"\n")
            finally:
                self.lending.remove_holder(key)
        if name:
            log(LogEvent.LEASE_HOLDER_DISCONNECTED, name=name, reason=reason)

    @staticmethod
    async def _receive(client: trio.socket.SocketType, data: bytes) -> bytes:
        """Return more bytes; raises EOFError at the end, ValueError if the incomplete line is too long."""
        if len(data) > MAX_LINE_BYTES:
            raise ValueError("a line without end")
        received = await client.recv(65_536)
        if not received:
            raise EOFError
        return received

    @staticmethod
    async def _send(client: trio.socket.SocketType, outgoing: bytearray) -> None:
        """Send the queued answers and remove them from the queue.

        A lease holder that sends requests without reading answers is disconnected, so that it can't exhaust
        memory: raises ValueError or OSError.
        """
        if len(outgoing) > MAX_UNSENT_BYTES:
            raise ValueError("lease holder does not read its answers")
        with trio.move_on_after(IO_TIMEOUT_S) as scope:
            while outgoing:
                sent = await client.send(outgoing)
                del outgoing[:sent]
        if scope.cancelled_caught:
            raise OSError("lease holder does not read its answers")

    def _answer(self, key: str, message: dict[str, Any]) -> dict[str, Any] | None:
        """Return the answer to a message, if it has one; raises ValueError, KeyError or TypeError."""
        now, lending = time.monotonic(), self.lending
        match message["do"]:
            case "hello":
                shares = {str(pool): float(share) for pool, share in message["parts"].items()}
                terms = lending.add_holder(
                    key, str(message["name"]), float(message["window"]), shares, float(message["born"]), now
                )
                return {"is": "terms", **terms._asdict()}
            case "ask":
                number = int(message["number"])
                grant = lending.request_lease(
                    key,
                    number,
                    int(message["node"]),
                    float(message["work"]),
                    float(message["rule"]),
                    str(message["pool"]),
                    now,
                    float(message["rises"]),
                )
                return (
                    {"is": "none", "number": number} if grant is None else {"is": "grant", **grant._asdict()}
                )
            case "back":
                lending.return_lease(key, int(message["number"]), float(message["left"]), now)
                return None
            case "take":
                zone, cls, client = map(str, message["path"])
                count, limit = lending.take_tokens(key, (zone, cls, client), int(message["count"]), now)
                return {"is": "tokens", "path": [zone, cls, client], "count": count, "limit": limit}
            case other:
                raise LendingError(f"no word {other!r}")

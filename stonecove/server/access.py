"""Keys, policies and revocations from the operator's files, and again on SIGHUP: whole or not at all."""

from __future__ import annotations

import json
import math
import os
import stat
import time
from pathlib import Path
from typing import Any

from stonecove.access.gate import Gate, Limits
from stonecove.access.grants import Format
from stonecove.access.keys import Key, KeyRing, KeyRingError
from stonecove.access.revoked import Revoked
from stonecove.access.routes import Policy, Routes
from stonecove.frontends.token_check import TokenChecker
from stonecove.operator_config.records import Access
from stonecove.pipeline.route import Route
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent

MOST_FILE = 1 << 24


class AccessError(Exception):
    """Keys, policies or revocations that can't be used; never holds a secret."""


def read_private(path: Path) -> Any:
    """JSON from a file that nobody else may read; raises AccessError. Looked at through one descriptor, so
    that it is the file that was checked that is read.
    """
    try:
        with path.open("rb") as file:
            found = os.fstat(file.fileno())
            if found.st_mode & 0o077:
                raise AccessError(f"{path}: rights {stat.S_IMODE(found.st_mode):o}, others may read it")
            if found.st_uid not in (os.geteuid(), 0):
                raise AccessError(f"{path}: it is somebody else's")
            if found.st_size > MOST_FILE:
                raise AccessError(f"{path}: {found.st_size} bytes, {MOST_FILE} at most")
            return json.loads(file.read(MOST_FILE))
    except OSError as error:
        raise AccessError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError):
        raise AccessError(f"{path}: it is no JSON") from None


def read_ring(path: Path) -> KeyRing:
    """A ring file, or all rings `*.json` of a folder; raises AccessError."""
    files = sorted(path.glob("*.json")) if path.is_dir() else [path]
    keys: list[Key] = []
    for one in files:
        try:
            keys += KeyRing.read(read_private(one)).keys.values()
        except KeyRingError as error:
            raise AccessError(f"{one}: {error}") from None
    try:
        return KeyRing(keys)
    except KeyRingError as error:
        raise AccessError(f"{path}: {error}") from None


def read_revoked(path: Path, now: float) -> Revoked:
    """A list of `{"kind": "key" | "subject" | "token", "name", "until", "issued_before"?}`."""
    table, made = read_private(path), Revoked()
    if not isinstance(table, list):
        raise AccessError(f"{path}: it is no list")
    for place, one in enumerate(table):
        try:
            if one["kind"] not in ("key", "subject", "token") or set(one) - {
                "kind",
                "name",
                "until",
                "issued_before",
            }:
                raise ValueError
            before = float(one.get("issued_before", math.inf))
            made.revoke(one["kind"], str(one["name"]), before, float(one["until"]), now)
        except (KeyError, TypeError, ValueError, AttributeError):
            raise AccessError(f"{path}: entry {place} can't be read") from None
    return made


def policies_of(access: Access) -> Routes:
    """The policies as records have them; raises AccessError."""
    try:
        return Routes(
            Policy(
                **{
                    **one,
                    "formats": tuple(Format(form) for form in one["formats"]),
                    "methods": tuple(one["methods"]),
                    **{name: one[name] / 1000.0 for name in ("skew", "longest", "grace")},
                }
            )
            for one in access.policies
        )
    except ValueError as error:
        raise AccessError(str(error)) from None


class AccessKeeper:
    """The gate of a router, and what it is made of."""

    def __init__(self, access: Access, depot: str, clock: Clock, route: Route) -> None:
        """Raises AccessError."""
        self._access = access
        ring, routes, revoked = self._read(access)
        gate = Gate(routes, ring, Limits(access.seen, access.checks), revoked)
        self.desk = TokenChecker(gate, clock, depot, self._counter(route))

    @staticmethod
    def _counter(route: Route) -> Any:
        def count(name: str) -> None:
            route.recorder.counts[name] += 1

        return count

    @staticmethod
    def _read(access: Access) -> tuple[KeyRing, Routes, Revoked]:
        revoked = read_revoked(Path(access.revoked), time.time()) if access.revoked else Revoked()
        return read_ring(Path(access.ring)), policies_of(access), revoked

    def reload(self, access: Access) -> None:
        """Takes other keys, policies and revocations over; what was seen and started stays. A file that can't
        be used is one line, and the old ones stay.
        """
        try:
            ring, routes, revoked = self._read(access)
        except AccessError as error:
            log(LogEvent.ACCESS_CONFIG_REJECTED, reason=str(error))
            return
        gate = self.desk.gate
        before = set(gate.ring.keys)
        gate.rekey(ring, routes)
        gate.revoked = revoked
        log(
            LogEvent.ACCESS_CONFIG_RELOADED,
            keys=len(ring.keys),
            added=len(set(ring.keys) - before),
            removed=len(before - set(ring.keys)),
            retired=sum(key.retired for key in ring.keys.values()),
            revoked=len(revoked),
        )

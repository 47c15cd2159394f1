"""Load keys, policies and revocations from the operator's files, and reload them on SIGHUP.

A reload is applied completely or not at all.
"""

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
from stonecove.access.revoked import RevocationList
from stonecove.access.routes import Policy, Routes
from stonecove.frontends.token_check import TokenChecker
from stonecove.operator_config.records import Access
from stonecove.pipeline.route import Route
from stonecove.runtime.clock import Clock
from stonecove.runtime.log import log
from stonecove.runtime.log_events import LogEvent

MAX_FILE_BYTES = 1 << 24


class AccessError(Exception):
    """Keys, policies or revocations that can't be used; never holds a secret."""


def read_private_json(path: Path) -> Any:
    """Return the JSON of a file that no other user may read; raises AccessError.

    Mode, owner and size are checked on the open descriptor, so that the checked file is the one that is read.
    """
    try:
        with path.open("rb") as file:
            status = os.fstat(file.fileno())
            if status.st_mode & 0o077:
                raise AccessError(f"{path}: rights {stat.S_IMODE(status.st_mode):o}, others may read it")
            if status.st_uid not in (os.geteuid(), 0):
                raise AccessError(f"{path}: owned by another user")
            if status.st_size > MAX_FILE_BYTES:
                raise AccessError(f"{path}: {status.st_size} bytes, {MAX_FILE_BYTES} at most")
            return json.loads(file.read(MAX_FILE_BYTES))
    except OSError as error:
        raise AccessError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError):
        raise AccessError(f"{path}: it is no JSON") from None


def read_key_ring(path: Path) -> KeyRing:
    """Return the keys of a ring file, or of all files `*.json` of a folder; raises AccessError."""
    files = sorted(path.glob("*.json")) if path.is_dir() else [path]
    keys: list[Key] = []
    for file in files:
        try:
            keys += KeyRing.read(read_private_json(file)).keys.values()
        except KeyRingError as error:
            raise AccessError(f"{file}: {error}") from None
    try:
        return KeyRing(keys)
    except KeyRingError as error:
        raise AccessError(f"{path}: {error}") from None


def read_revocations(path: Path, now: float) -> RevocationList:
    """Return the revocations of a file; raises AccessError. `now` is in Unix seconds.

    The file is a list of `{"kind": "key" | "subject" | "token", "name", "until", "issued_before"?}`.
    """
    entries, revocations = read_private_json(path), RevocationList()
    if not isinstance(entries, list):
        raise AccessError(f"{path}: it is no list")
    for index, entry in enumerate(entries):
        try:
            if entry["kind"] not in ("key", "subject", "token") or set(entry) - {
                "kind",
                "name",
                "until",
                "issued_before",
            }:
                raise ValueError
            before = float(entry.get("issued_before", math.inf))
            revocations.revoke(entry["kind"], str(entry["name"]), before, float(entry["until"]), now)
        except (KeyError, TypeError, ValueError, AttributeError):
            raise AccessError(f"{path}: entry {index} can't be read") from None
    return revocations


def build_routes(access: Access) -> Routes:
    """Return the routes of the configured policies; raises AccessError."""
    try:
        return Routes(
            Policy(
                **{
                    **record,
                    "formats": tuple(Format(form) for form in record["formats"]),
                    "methods": tuple(record["methods"]),
                    **{name: record[name] / 1000.0 for name in ("skew", "longest", "grace")},
                }
            )
            for record in access.policies
        )
    except ValueError as error:
        raise AccessError(str(error)) from None


class AccessController:
    """Creates the token checker of a router and reloads what it checks by."""

    def __init__(self, access: Access, depot: str, clock: Clock, route: Route) -> None:
        """Load the files; raises AccessError."""
        self._access = access
        ring, routes, revoked = self._read(access)
        gate = Gate(routes, ring, Limits(access.seen, access.checks), revoked)
        self.token_checker = TokenChecker(gate, clock, depot, self._counter(route))

    @staticmethod
    def _counter(route: Route) -> Any:
        def count(name: str) -> None:
            route.recorder.counts[name] += 1

        return count

    @staticmethod
    def _read(access: Access) -> tuple[KeyRing, Routes, RevocationList]:
        revoked = read_revocations(Path(access.revoked), time.time()) if access.revoked else RevocationList()
        return read_key_ring(Path(access.ring)), build_routes(access), revoked

    def reload(self, access: Access) -> None:
        """Reload keys, policies and revocations; the records of seen tokens and of open requests stay.

        A file that can't be used is logged, and the present keys, policies and revocations stay in use.
        """
        try:
            ring, routes, revoked = self._read(access)
        except AccessError as error:
            log(LogEvent.ACCESS_CONFIG_REJECTED, reason=str(error))
            return
        gate = self.token_checker.gate
        before = set(gate.ring.keys)
        gate.replace_keys(ring, routes)
        gate.revoked = revoked
        log(
            LogEvent.ACCESS_CONFIG_RELOADED,
            keys=len(ring.keys),
            added=len(set(ring.keys) - before),
            removed=len(before - set(ring.keys)),
            retired=sum(key.retired for key in ring.keys.values()),
            revoked=len(revoked),
        )

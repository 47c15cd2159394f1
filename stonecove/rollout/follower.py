"""What one router takes and reports, given the targets and overlays it reads. Knows no I/O.

The owner tells each target that it reads (`follow`), asks which version is to be fetched (`next_version`),
has the overlay read (`overlay`), checks and applies it, and tells how that ended (`took`, `refuse`). A
version that is overtaken while it is being fetched is passed over: a router that was away takes one step.
"""

from __future__ import annotations

from stonecove.rollout.messages import (
    LOCAL_OVERLAY,
    LOCAL_VERSION,
    MOST_WHY,
    Health,
    MessageError,
    Overlay,
    Refusal,
    Report,
    Target,
)
from stonecove.rollout.selection import is_chosen, wanted_version

SETTLE_MS = 500.0  # from taking a version until its health is told


class Follower:
    """The state of one router."""

    def __init__(self, name: str, listen: str, started: float) -> None:
        """Starts with the router's own file in force; `started` in Unix ms."""
        self.name = name
        self.target: Target | None = None
        self.in_force = LOCAL_VERSION
        self.health = Health()
        self._listen, self._started = listen, started
        self._since_ms = started
        self._revision = -1
        self._refused: Refusal | None = None
        self._refused_round = 0  # the round in which it was refused: it is tried again in the next one
        self._round = 0
        self._round_since_ms = started
        self._settled = True

    def forget_revision(self) -> None:
        """Another ensemble: its revisions don't compare with those of the last one."""
        self._revision = -1

    def follow(self, target: Target, revision: int, now: float) -> None:
        """A target was read; one that is older than the last is passed over."""
        if revision <= self._revision:
            return
        self._revision = revision
        self.target = target
        if target.round != self._round and is_chosen(target, self.name) and self.in_force == target.version:
            self._acknowledge(target.round, now)

    def next_version(self) -> int | None:
        """The version to be taken now; None if there is none."""
        if self.target is None:
            return None
        wanted = wanted_version(self.target, self.name)
        if wanted == self.in_force or self._has_refused(wanted, self.target.round):
            return None
        return wanted

    def overlay(self, version: int, data: bytes | None, now: float) -> Overlay | None:
        """The overlay that was fetched; None if it is wanted no more, or can't be used, which is reported."""
        if version != self.next_version():
            return None
        if version == LOCAL_VERSION:
            return LOCAL_OVERLAY
        if data is None:
            self.refuse(version, f"version: {version} is not there", now)
            return None
        try:
            return Overlay.decode(version, data)
        except MessageError as error:
            self.refuse(version, str(error), now)
            return None

    def took(self, version: int, now: float) -> None:
        """The version is in force, as a whole."""
        self.in_force, self._since_ms = version, now
        if self._refused is not None and self._refused.version == version:
            self._refused = None
        if self.target is not None and is_chosen(self.target, self.name):
            self._acknowledge(self.target.round, now)

    def refuse(self, version: int, why: str, now: float) -> None:
        """The version can't be used; what was in force still is."""
        self._refused = Refusal(version, why[:MOST_WHY])
        self._refused_round = self.target.round if self.target is not None else 0
        if self.target is not None and is_chosen(self.target, self.name):
            self._acknowledge(self.target.round, now)

    def try_again(self) -> None:
        """The router's own file has changed: what was refused may be usable now."""
        self._refused_round = -1

    def settle_due(self) -> float | None:
        """The moment in Unix ms at which the health since the last change is to be told; None: it was."""
        return None if self._settled else self._round_since_ms + SETTLE_MS

    def settle(self, health: Health) -> None:
        """The health since the last change."""
        self._settled, self.health = True, health

    def report(self) -> Report:
        """What the router tells the controllers."""
        return Report(
            self.in_force,
            self._since_ms,
            self._refused,
            self._round,
            self._settled,
            self.health,
            self._listen,
            self._started,
        )

    def _has_refused(self, version: int, round_number: int) -> bool:
        return (
            self._refused is not None
            and self._refused.version == version
            and self._refused_round == round_number
        )

    def _acknowledge(self, round_number: int, now: float) -> None:
        self._round, self._round_since_ms, self._settled = round_number, now, False

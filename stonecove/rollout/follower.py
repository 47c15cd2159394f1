"""What one router applies and reports, given the targets and overlays that it reads; without I/O.

The owner passes each target that it reads to `receive_target`, fetches the version that `next_version`
returns, decodes the overlay with `decode_overlay`, checks and applies it, and records the result with
`record_applied` or `record_refusal`. A version that is superseded while it is fetched is skipped, so that a
router which was disconnected takes one step.
"""

from __future__ import annotations

from stonecove.rollout.messages import (
    LOCAL_OVERLAY,
    LOCAL_VERSION,
    MAX_WHY_LENGTH,
    Health,
    MessageError,
    Overlay,
    Refusal,
    Report,
    Target,
)
from stonecove.rollout.selection import is_chosen, wanted_version

SETTLE_MS = 500.0  # from applying a version until its health is reported


class Follower:
    """The roll-out state of one router. Times are Unix milliseconds."""

    def __init__(self, name: str, listen: str, started_ms: float) -> None:
        """Start with the router's own file applied."""
        self.name = name
        self.target: Target | None = None
        self.in_force = LOCAL_VERSION
        self.health = Health()
        self._listen, self._started_ms = listen, started_ms
        self._since_ms = started_ms
        self._revision = -1
        self._refused: Refusal | None = None
        self._refused_round = 0  # the version is retried in the round after this one
        self._round = 0
        self._round_since_ms = started_ms
        self._settled = True

    def reset_revision(self) -> None:
        """Accept any revision next: revisions of another ensemble cannot be compared with earlier ones."""
        self._revision = -1

    def receive_target(self, target: Target, revision: int, now_ms: float) -> None:
        """Store a target that was read, unless it is older than the last one."""
        if revision <= self._revision:
            return
        self._revision = revision
        self.target = target
        if target.round != self._round and is_chosen(target, self.name) and self.in_force == target.version:
            self._acknowledge(target.round, now_ms)

    def next_version(self) -> int | None:
        """Return the version to apply now, or None."""
        if self.target is None:
            return None
        wanted = wanted_version(self.target, self.name)
        if wanted == self.in_force or self._has_refused(wanted, self.target.round):
            return None
        return wanted

    def decode_overlay(self, version: int, data: bytes | None, now_ms: float) -> Overlay | None:
        """Return a fetched overlay; None if it is superseded or cannot be used, which is then reported."""
        if version != self.next_version():
            return None
        if version == LOCAL_VERSION:
            return LOCAL_OVERLAY
        if data is None:
            self.record_refusal(version, f"version: {version} is not there", now_ms)
            return None
        try:
            return Overlay.decode(version, data)
        except MessageError as error:
            self.record_refusal(version, str(error), now_ms)
            return None

    def record_applied(self, version: int, now_ms: float) -> None:
        """Record that a version was applied completely."""
        self.in_force, self._since_ms = version, now_ms
        if self._refused is not None and self._refused.version == version:
            self._refused = None
        if self.target is not None and is_chosen(self.target, self.name):
            self._acknowledge(self.target.round, now_ms)

    def record_refusal(self, version: int, why: str, now_ms: float) -> None:
        """Record that a version cannot be used; the applied one remains."""
        self._refused = Refusal(version, why[:MAX_WHY_LENGTH])
        self._refused_round = self.target.round if self.target is not None else 0
        if self.target is not None and is_chosen(self.target, self.name):
            self._acknowledge(self.target.round, now_ms)

    def retry_refused(self) -> None:
        """Allow a refused version again: the router's own file has changed, so it may be usable now."""
        self._refused_round = -1

    def health_due_ms(self) -> float | None:
        """Return when the health since the last change is to be reported; None if it has been."""
        return None if self._settled else self._round_since_ms + SETTLE_MS

    def record_health(self, health: Health) -> None:
        """Record the health since the last change."""
        self._settled, self.health = True, health

    def report(self) -> Report:
        """Return the report for the controllers."""
        return Report(
            self.in_force,
            self._since_ms,
            self._refused,
            self._round,
            self._settled,
            self.health,
            self._listen,
            self._started_ms,
        )

    def _has_refused(self, version: int, round_number: int) -> bool:
        return (
            self._refused is not None
            and self._refused.version == version
            and self._refused_round == round_number
        )

    def _acknowledge(self, round_number: int, now_ms: float) -> None:
        self._round, self._round_since_ms, self._settled = round_number, now_ms, False

"""Interface of the state machines that the search explores."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Violation(NamedTuple):
    """A violated property, and the evidence."""

    prop: str
    why: str


class Machine(Protocol):
    """A system whose steps are chosen by the caller; the same step names give the same run."""

    @property
    def violations(self) -> list[Violation]:
        """The violations found so far."""

    def enabled(self) -> list[str]:
        """Return the enabled steps, always in the same order for the same state."""

    def do(self, step: str) -> None:
        """Execute an enabled step; append what it violates to `violations`."""

    def encode(self) -> bytes:
        """Return the state in canonical form: equal only for states with the same future behaviour."""

    def touches(self, step: str) -> frozenset[str] | None:
        """Return the parts of the state that the step reads or writes; None if it may be any."""

    def default(self) -> str | None:
        """Return the step taken if no other is chosen; None if the system is idle."""

    def settle(self) -> None:
        """Run the default steps until the system is idle, then check the final properties."""


def independent(first: frozenset[str] | None, second: frozenset[str] | None) -> bool:
    """Return whether two steps touch disjoint parts, so that their order does not matter."""
    return first is not None and second is not None and not first & second

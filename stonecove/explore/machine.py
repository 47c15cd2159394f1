"""What the search asks of a machine that it explores."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Violation(NamedTuple):
    """A property that does not hold, and what shows it."""

    prop: str
    why: str


class Machine(Protocol):
    """A system whose steps are chosen from outside. Steps are names; the same names give the same run."""

    @property
    def violations(self) -> list[Violation]:
        """What was found not to hold."""

    def enabled(self) -> list[str]:
        """The steps that may be taken now, always in the same order for the same state."""

    def do(self, step: str) -> None:
        """Takes an enabled step; adds to `violations` what it breaks."""

    def encode(self) -> bytes:
        """The whole state in a canonical form: equal for states from which the same can happen."""

    def touches(self, step: str) -> frozenset[str] | None:
        """The parts of the state that the step reads or writes; None: perhaps all of them."""

    def default(self) -> str | None:
        """The step by which things go on if nobody chooses; None when all is quiet."""

    def settle(self) -> None:
        """Goes on by itself until all is quiet, and checks what must hold then."""


def independent(one: frozenset[str] | None, other: frozenset[str] | None) -> bool:
    """Whether two steps give the same state in either order: each stays within parts of its own."""
    return one is not None and other is not None and not one & other

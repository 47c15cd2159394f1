"""Where a mechanism that carries configuration changes to all routers can be joined to a scale run.

The program has none yet: without one, a measurement has no figure of it.
"""

from __future__ import annotations

from typing import Protocol

from stonecove.scale.results import Delays


class ConfigurationPath(Protocol):
    """A mechanism under measurement. The run calls it from one thread."""

    def start(self, routers: int, changes_a_second: float) -> None:
        """All routers run: changes may be published from now on."""

    def delays(self) -> Delays:
        """From each change's first byte until the last router has it in force, of all since `start`."""

    def close(self) -> None:
        """Ends all that it started."""

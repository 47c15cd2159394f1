"""Takes other settings over while requests go on: as a whole, or not at all. Off on the platform.

What can be taken over, and why the rest can't, is in docs/configuration.md.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import fields, replace
from typing import Any, Protocol

from stonecove.pipeline.route import Route
from stonecove.routing.director import Director
from stonecove.routing.events import FleetSizeChanged
from stonecove.routing.settings import ClassSettings, Settings
from stonecove.settings import reported_name

# Fields that hold until the process ends, with the reason that is told.
FIXED = {
    "zone": "the place of the router",
    "parent_kind": "what is booked and learned of a node is of its role",
    "origin_kind": "what is booked and learned of a node is of its role",
    "client_kb_per_s": "all work that is booked and learned is told in it",
    "overload_window_ms": "bookings at cold nodes go back for one window",
    "endpoint_list_polled": "the source of the list is that of the start",
}
APPENDED = "zones", "kinds"  # nodes of the list hold places in them


class SettingsRefused(Exception):  # noqa: N818
    """Settings that can't be taken over; the text is one line and names the field."""


class SettingsHolder(Protocol):
    """A part of the router, other than the stages, that goes by the settings."""

    def objection(self, settings: Settings) -> str:
        """Why these settings can't be taken over, one line that names the field; empty if they can."""

    def reconfigure(self, settings: Settings) -> None:
        """These settings hold from now on. Does not wait, and does not fail."""


class Reconfigure:
    """The settings in force, and the one way to others."""

    def __init__(
        self,
        settings: Settings,
        version: int,
        route: Route,
        holders: Sequence[SettingsHolder],
        counted: Callable[[], FleetSizeChanged | None],
        now: Callable[[], float],
    ) -> None:
        """`counted`: how many routers there are, where that is counted and not told by the settings.

        `now`: Unix ms.
        """
        self._current = settings
        self._route = route
        self._holders = holders
        self._counted = counted
        self._now = now
        self.version = version
        self.in_force_since = now()
        self.refused: tuple[int | None, str] | None = None  # the last version that was refused, and why

    @property
    def current(self) -> Settings:
        """The settings in force."""
        return self._current

    def check(self, settings: Settings) -> None:
        """Raises SettingsRefused for settings that can't be taken over."""
        why = _changed(self._current, settings) or _unsound(settings)
        for holder in self._holders:
            why = why or holder.objection(settings)
        if why:
            raise SettingsRefused(why)
        try:
            Director(settings, 0)
        except (ValueError, ArithmeticError) as error:
            raise SettingsRefused(f"settings that nothing can be decided by: {error}") from error

    def apply(self, settings: Settings, version: int = 0) -> None:
        """Puts settings in force everywhere, in one step; raises SettingsRefused, and the old ones stay."""
        try:
            self.check(settings)
        except SettingsRefused as error:
            self.refuse(str(error), version)
            raise
        if settings != self._current or version != self.version:
            self.in_force_since = self._now()
        self._current, self.version, self.refused = settings, version, None
        counted = self._counted()
        if counted is None:
            self._route.reconfigure(settings)
        else:
            shared = replace(settings, fleet_size=counted.fleet_size, routers_by_zone=counted.routers_by_zone)
            self._route.reconfigure(shared)
        for holder in self._holders:
            holder.reconfigure(settings)

    def refuse(self, why: str, version: int | None = None) -> None:
        """Notes settings that were not taken over; no version: that of a file that can't be read."""
        self.refused = version, why

    def answer(self, words: list[str]) -> dict[str, Any]:
        """The answer to the question `configuration` on the members socket."""
        refused = None if self.refused is None else {"version": self.refused[0], "why": self.refused[1]}
        return {
            "configuration": {
                "version": self.version,
                "in_force_since_ms": round(self.in_force_since),
                "refused": refused,
            }
        }


def _changed(old: Settings, new: Settings) -> str:
    """What differs that has to stay; empty if nothing does."""
    for name, why in FIXED.items():
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            return f"{reported_name(name)}: {after} in place of {before} needs a restart: {why}"
    for name in APPENDED:
        if why := _not_appended(name, getattr(old, name), getattr(new, name)):
            return why
    classes = tuple(tuple(cls.name for cls in one.classes) for one in (old, new))
    return _not_appended("classes", *classes)


def _not_appended(name: str, old: tuple[str, ...], new: tuple[str, ...]) -> str:
    """Whether names were dropped, moved or given twice, instead of appended."""
    if new[: len(old)] != old:
        return f"{name}: {', '.join(new)} does not begin with {', '.join(old)}; names may only be appended"
    twice = next((one for place, one in enumerate(new[len(old) :], len(old)) if one in new[:place]), None)
    return "" if twice is None else f"{name}: {twice} is there twice"


def _unsound(settings: Settings) -> str:
    """A figure that nothing can go by; empty if there is none."""
    parts: list[tuple[str, Settings | ClassSettings]] = [("", settings)]
    parts += [(f"classes[{place}].", cls) for place, cls in enumerate(settings.classes)]
    for path, part in parts:
        for field in fields(part):
            value = getattr(part, field.name) if field.name not in FIXED else 0.0
            for number in value if isinstance(value, tuple) else (value,):
                if isinstance(number, (int, float)) and not 0.0 <= number < math.inf:
                    return f"{path}{reported_name(field.name)}: {number:g} is no figure to go by"
    return ""

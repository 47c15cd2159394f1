"""Change the platform's settings while requests are served: completely or not at all. Off on the platform.

docs/configuration.md states which fields can change, and why the others can't.
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

# Fields that can't change until the process ends, with the reason that is reported.
FIXED_FIELDS = {
    "zone": "the place of the router",
    "parent_kind": "what is booked and learned of a node is of its role",
    "origin_kind": "what is booked and learned of a node is of its role",
    "client_kb_per_s": "all recorded work and all estimates are in units of it",
    "overload_window_ms": "reservations at caches that are warming up are returned after one window",
    "endpoint_list_polled": "the source of the endpoint list is chosen at the start",
}
APPEND_ONLY_FIELDS = "zones", "kinds"  # nodes of the endpoint list refer to positions in them


class SettingsRefused(Exception):  # noqa: N818
    """Settings that can't be applied; the text is one line and names the field."""


class SettingsHolder(Protocol):
    """A component, other than the stages of the pipeline, that depends on the settings."""

    def rejection_reason(self, settings: Settings) -> str:
        """Return why the settings can't be applied, as one line that names the field; empty if they can."""

    def reconfigure(self, settings: Settings) -> None:
        """Apply the settings. Neither blocks nor fails."""


class ActiveSettings:
    """The settings in force, and the only way to change them."""

    def __init__(
        self,
        settings: Settings,
        version: int,
        route: Route,
        holders: Sequence[SettingsHolder],
        derived_fleet_size: Callable[[], FleetSizeChanged | None],
        now: Callable[[], float],
    ) -> None:
        """Start with the settings of the process's start.

        `derived_fleet_size` returns the number of routers where it is derived from membership, else None.
        `now` returns Unix milliseconds.
        """
        self._current = settings
        self._route = route
        self._holders = holders
        self._derived_fleet_size = derived_fleet_size
        self._now = now
        self.version = version
        self.in_force_since_ms = now()
        self.refused: tuple[int | None, str] | None = None  # the last rejected version and the reason

    @property
    def current(self) -> Settings:
        """The settings in force."""
        return self._current

    def check(self, settings: Settings) -> None:
        """Raise SettingsRefused for settings that can't be applied."""
        reason = _changed_fixed_field(self._current, settings) or _invalid_number(settings)
        for holder in self._holders:
            reason = reason or holder.rejection_reason(settings)
        if reason:
            raise SettingsRefused(reason)
        try:
            Director(settings, 0)
        except (ValueError, ArithmeticError) as error:
            raise SettingsRefused(
                f"no decision module can be created with these settings: {error}"
            ) from error

    def apply(self, settings: Settings, version: int = 0) -> None:
        """Apply settings in all components in one step.

        Raises SettingsRefused, and the present settings stay in force then.
        """
        try:
            self.check(settings)
        except SettingsRefused as error:
            self.refuse(str(error), version)
            raise
        if settings != self._current or version != self.version:
            self.in_force_since_ms = self._now()
        self._current, self.version, self.refused = settings, version, None
        derived = self._derived_fleet_size()
        if derived is None:
            self._route.reconfigure(settings)
        else:
            resized = replace(
                settings, fleet_size=derived.fleet_size, routers_by_zone=derived.routers_by_zone
            )
            self._route.reconfigure(resized)
        for holder in self._holders:
            holder.reconfigure(settings)

    def refuse(self, why: str, version: int | None = None) -> None:
        """Record settings that were not applied; the version is None for a file that can't be read."""
        self.refused = version, why

    def handle_query(self, words: list[str]) -> dict[str, Any]:
        """Return the answer to the query `configuration` on the members socket."""
        refused = None if self.refused is None else {"version": self.refused[0], "why": self.refused[1]}
        return {
            "configuration": {
                "version": self.version,
                "in_force_since_ms": round(self.in_force_since_ms),
                "refused": refused,
            }
        }


def _changed_fixed_field(old: Settings, new: Settings) -> str:
    """Return which field changed that must not; empty if none did."""
    for name, reason in FIXED_FIELDS.items():
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            return f"{reported_name(name)}: {after} in place of {before} needs a restart: {reason}"
    for name in APPEND_ONLY_FIELDS:
        if reason := _not_appended(name, getattr(old, name), getattr(new, name)):
            return reason
    classes = tuple(tuple(cls.name for cls in settings.classes) for settings in (old, new))
    return _not_appended("classes", *classes)


def _not_appended(name: str, old: tuple[str, ...], new: tuple[str, ...]) -> str:
    """Return whether names were dropped, moved or duplicated instead of appended; empty if not."""
    if new[: len(old)] != old:
        return f"{name}: {', '.join(new)} does not begin with {', '.join(old)}; names may only be appended"
    duplicate = next(
        (entry for index, entry in enumerate(new[len(old) :], len(old)) if entry in new[:index]), None
    )
    return "" if duplicate is None else f"{name}: {duplicate} is there twice"


def _invalid_number(settings: Settings) -> str:
    """Return the first number that is negative, infinite or NaN; empty if there is none."""
    sections: list[tuple[str, Settings | ClassSettings]] = [("", settings)]
    sections += [(f"classes[{index}].", cls) for index, cls in enumerate(settings.classes)]
    for path, section in sections:
        for field in fields(section):
            value = getattr(section, field.name) if field.name not in FIXED_FIELDS else 0.0
            for number in value if isinstance(value, tuple) else (value,):
                if isinstance(number, (int, float)) and not 0.0 <= number < math.inf:
                    return f"{path}{reported_name(field.name)}: {number:g} is not a finite number from 0"
    return ""

"""Where the routers of a scale run stand: sites, zones, regions, and the control machine each follows."""

from __future__ import annotations

from dataclasses import dataclass

from stonecove.trial.relay import Address

SITES = 31
ZONES = 19
REGIONS = 7
MACHINES = 3


@dataclass(frozen=True, slots=True)
class RouterPlace:
    """One router's place. Zones count from 1, as 0 is the central one; regions count from 0."""

    router: int
    site: int
    zone: int
    region: int
    machine: int  # the control machine that it follows

    @property
    def name(self) -> str:
        """As its configuration names it."""
        return f"edge-{self.router}"


def region_of(zone: int) -> int:
    """The region of a zone."""
    return (zone - 1) * REGIONS // ZONES


def place_of(router: int) -> RouterPlace:
    """The place of a router: sites in turn, each in one zone; some zones have two sites."""
    site = router % SITES
    zone = 1 + site % ZONES
    return RouterPlace(router, site, zone, region_of(zone), router % MACHINES)


def zones_of(region: int) -> tuple[int, ...]:
    """The zones of a region."""
    return tuple(zone for zone in range(1, ZONES + 1) if region_of(zone) == region)


def host_of(machine: int, zone: int) -> str:
    """The loopback address at which routers of that zone find that control machine.

    One address for each zone lets a control machine know by the socket where a connection comes from.
    """
    return f"127.90.{1 + machine}.{zone}"


def control_address(place: RouterPlace, ports: tuple[int, ...]) -> Address:
    """Where that router finds its change log; `ports`: of each control machine."""
    return host_of(place.machine, place.zone), ports[place.machine]

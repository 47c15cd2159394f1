"""Topology of a scale run: the site, zone, region and control machine of each router."""

from __future__ import annotations

from dataclasses import dataclass

from stonecove.trial.relay import Address

SITES = 31
ZONES = 19
REGIONS = 7
MACHINES = 3


@dataclass(frozen=True, slots=True)
class RouterLocation:
    """Location of one router. Zones count from 1, as 0 is the central one; regions count from 0."""

    router: int
    site: int
    zone: int
    region: int
    machine: int  # the control machine that it follows

    @property
    def name(self) -> str:
        """Return the name in the router's configuration."""
        return f"edge-{self.router}"


def region_of(zone: int) -> int:
    """Return the region of a zone."""
    return (zone - 1) * REGIONS // ZONES


def location_of(router: int) -> RouterLocation:
    """Return the location of a router: sites in turn, each in one zone; some zones have two sites."""
    site = router % SITES
    zone = 1 + site % ZONES
    return RouterLocation(router, site, zone, region_of(zone), router % MACHINES)


def zones_of(region: int) -> tuple[int, ...]:
    """Return the zones of a region."""
    return tuple(zone for zone in range(1, ZONES + 1) if region_of(zone) == region)


def host_of(machine: int, zone: int) -> str:
    """Return the loopback address at which the routers of a zone reach a control machine.

    With one address for each zone, the listening socket tells a control machine the zone of a connection.
    """
    return f"127.90.{1 + machine}.{zone}"


def control_address(location: RouterLocation, ports: tuple[int, ...]) -> Address:
    """Return the change log's address for a router; `ports` are those of the control machines."""
    return host_of(location.machine, location.zone), ports[location.machine]

"""Build the configuration of each router of a scale run, as the platform provides it."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from stonecove.scale.topology import ZONES, RouterLocation, control_address
from stonecove.standins import webserver
from stonecove.standins.depot import Depot

ZONE_LINK_KB_PER_S = 6e6
CORES, MEMORY_MB, SOCKETS = 1.0, 192, 1024
HOSTS_PER_SUBNET = 250
UNUSED_LISTEN_ADDRESS = "127.0.0.1:9"  # for routers that receive no requests


def shared_table(locations: Iterable[RouterLocation], depot: Depot, swarm: bool) -> dict[str, Any]:
    """Return the configuration that all routers share; `swarm` permits gossip among them."""
    routers_by_zone = Counter(location.zone for location in locations)
    settings: dict[str, Any] = webserver.settings()
    settings["fleet_size"] = routers_by_zone.total()
    settings["areas"] = ["central", *(f"edge-{zone}" for zone in range(1, ZONES + 1))]
    settings["domain"]["instances_by_zone"] = [routers_by_zone[zone] for zone in range(ZONES + 1)]
    settings["domain"]["zone_link_kb_per_s"] = [0.0] + [ZONE_LINK_KB_PER_S] * ZONES
    settings["limits"]["peers"] = swarm
    return {
        "known": depot.endpoint_list(),
        "settings": settings,
        "limits": {"cores": CORES, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    }


def router_table(
    location: RouterLocation, ports: tuple[int, ...], seed: int, listen: str = UNUSED_LISTEN_ADDRESS
) -> dict[str, Any]:
    """Return the configuration that differs for one router; `ports` are those of the control machines."""
    host, port = control_address(location, ports)
    return {
        "name": location.name,
        "zone": location.zone,
        "listen": listen,
        "seed": f"{seed + location.router:x}",
        "changelog": f"{host}:{port}",
    }


def peer_tables(locations: Iterable[RouterLocation]) -> dict[int, dict[str, Any]]:
    """Return each router's gossip address and those of its peers, by router number."""
    numbers = [location.router for location in locations]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((_peer_host(0), 0))
        port = probe.getsockname()[1]
    addresses = {number: f"{_peer_host(number)}:{port}" for number in numbers}
    return {
        number: {
            "peer_listen": addresses[number],
            "peers": [addresses[other] for other in numbers if other != number],
        }
        for number in numbers
    }


def _peer_host(router: int) -> str:
    """Return a loopback address for a router's datagrams that no other router has."""
    return f"127.92.{router // HOSTS_PER_SUBNET}.{1 + router % HOSTS_PER_SUBNET}"


def complete_table(shared: Mapping[str, Any], own: Mapping[str, Any]) -> dict[str, Any]:
    """Return both parts merged, as a router reads them."""
    own_values = {name: value for name, value in own.items() if name != "zone"}
    return {**shared, **own_values, "settings": {**shared["settings"], "zone": own["zone"]}}

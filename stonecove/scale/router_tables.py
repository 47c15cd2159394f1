"""The configuration of each router of a scale run, as the platform gives one."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from stonecove.scale.topology import ZONES, RouterPlace, control_address
from stonecove.standins import webserver
from stonecove.standins.depot import Depot

ZONE_LINK = 6e6  # KB a second of a zone's link
CORES, MEMORY_MB, SOCKETS = 1.0, 192, 1024
HOSTS_OF_A_NET = 250
DROPPED = "127.0.0.1:9"  # where a router would listen that takes no requests


def shared_table(places: Iterable[RouterPlace], depot: Depot, swarm: bool) -> dict[str, Any]:
    """What all routers are told alike; `swarm`: they may speak to each other."""
    by_zone = Counter(place.zone for place in places)
    settings: dict[str, Any] = webserver.settings()
    settings["fleet_size"] = by_zone.total()
    settings["areas"] = ["central", *(f"edge-{zone}" for zone in range(1, ZONES + 1))]
    settings["domain"]["instances_by_zone"] = [by_zone[zone] for zone in range(ZONES + 1)]
    settings["domain"]["zone_link_kb_per_s"] = [0.0] + [ZONE_LINK] * ZONES
    settings["limits"]["peers"] = swarm
    return {
        "known": depot.known(),
        "settings": settings,
        "limits": {"cores": CORES, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    }


def own_table(place: RouterPlace, ports: tuple[int, ...], seed: int, listen: str = DROPPED) -> dict[str, Any]:
    """What differs of one router; `ports`: of the control machines."""
    host, port = control_address(place, ports)
    return {
        "name": place.name,
        "zone": place.zone,
        "listen": listen,
        "seed": f"{seed + place.router:x}",
        "changelog": f"{host}:{port}",
    }


def peer_tables(places: Iterable[RouterPlace]) -> dict[int, dict[str, Any]]:
    """Where each router listens for the others' datagrams, and where it finds them; by its number."""
    numbers = [place.router for place in places]
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
    """A loopback address for a router's datagrams, that of no other one."""
    return f"127.92.{router // HOSTS_OF_A_NET}.{1 + router % HOSTS_OF_A_NET}"


def whole_table(shared: Mapping[str, Any], own: Mapping[str, Any]) -> dict[str, Any]:
    """Both together, as a router reads them."""
    rest = {name: value for name, value in own.items() if name != "zone"}
    return {**shared, **rest, "settings": {**shared["settings"], "zone": own["zone"]}}

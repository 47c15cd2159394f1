"""A simulated fleet under partitions, with the members that its routers declared failed."""

from __future__ import annotations

from collections.abc import Iterable

from golden_gossip_cases import UnconfirmedGossip

from stonecove.gossip.claims import format_member_id, ident_of
from stonecove.trial.model import SwarmModel


class PartitionedFleet:
    """A joined fleet, and all pairs of routers that were ever partitioned, in either direction."""

    def __init__(self, count: int, seed: int, zones: int) -> None:
        """Start all routers and wait until they have joined."""
        self.model = SwarmModel(count, seed=seed, zones=zones)
        self.zones = zones
        self.ever_partitioned: set[tuple[int, int]] = set()
        for index in range(count):
            self.model.start(index)
        assert self.model.until(self.model.joined, 30.0) < 30.0
        self.model.run(5.0 + seed / 100.0)  # partitions begin at different moments of a probe interval
        self.model.notes.clear()

    def zone(self, number: int) -> list[int]:
        """Return the routers of a zone."""
        return [index for index in range(len(self.model.routers)) if index % self.zones == number]

    def partition_zone(self, number: int, both: bool = True) -> None:
        """Partition a zone from all others; with `both` false, only datagrams that it sends are dropped."""
        zone = self.zone(number)
        others = [index for index in range(len(self.model.routers)) if index not in zone]
        cuts_before = set(self.model.cuts)
        self.model.cut(zone, others, both)
        for source, target in self.model.cuts - cuts_before:
            self.ever_partitioned |= {(source, target), (target, source)}

    def heal(self, *still_partitioned: int) -> None:
        """End all partitions but those of the zones given."""
        self.model.cuts.clear()
        for number in still_partitioned:
            self.partition_zone(number)

    def failures(self) -> list[tuple[int, int]]:
        """Return the pairs (router, member it declared failed), in order."""
        indices = {
            format_member_id(ident_of(f"router-{index}")): index for index in range(len(self.model.routers))
        }
        return [
            (observer, indices[str(fields["member"])])
            for _, observer, event, fields in self.model.notes
            if event == "gossip_member_changed" and fields["state"] == "failed"
        ]

    def failures_of_reachable(self) -> list[tuple[int, int]]:
        """Return those of `failures` between routers that were never partitioned from each other."""
        return [pair for pair in self.failures() if pair not in self.ever_partitioned]

    def accept_claims_unconfirmed(self, indices: Iterable[int]) -> None:
        """Let these routers accept each claim of FAILED at once, as older versions do."""
        for index in indices:
            swarm = self.model.routers[index].swarm
            assert swarm is not None
            swarm.gossip.__class__ = UnconfirmedGossip

    def tables(self) -> set[frozenset[tuple[int, tuple[int, bool, int, int]]]]:
        """Return the distinct tables of all running routers, each with the router's own claim."""
        return {
            frozenset(
                [(member.claim.ident, member.claim.order()) for member in router.swarm.gossip.table]
                + [(router.swarm.gossip.own_claim.ident, router.swarm.gossip.own_claim.order())]
            )
            for router in self.model.running_routers()
            if router.swarm is not None
        }

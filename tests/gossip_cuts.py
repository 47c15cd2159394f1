"""A simulated fleet under partitions, and which verdicts of its routers fell within reach."""

from __future__ import annotations

from collections.abc import Iterable

from golden_gossip_cases import BelievingGossip

from stonecove.gossip.claims import ident_of, shown
from stonecove.trial.model import SwarmModel


class PartitionedFleet:
    """A fleet that has joined, and all pairs that were ever cut off from each other, in any direction."""

    def __init__(self, count: int, seed: int, zones: int) -> None:
        """Start all routers and wait until they have joined."""
        self.model = SwarmModel(count, seed=seed, zones=zones)
        self.zones = zones
        self.severed: set[tuple[int, int]] = set()
        for place in range(count):
            self.model.start(place)
        assert self.model.until(self.model.joined, 30.0) < 30.0
        self.model.run(5.0 + seed / 100.0)  # cuts begin at different moments of a probe's period
        self.model.notes.clear()

    def zone(self, number: int) -> list[int]:
        """Return the routers of a zone."""
        return [place for place in range(len(self.model.routers)) if place % self.zones == number]

    def cut_zone(self, number: int, both: bool = True) -> None:
        """Cut a zone off from all others; with `both` false, only what it sends is lost."""
        zone = self.zone(number)
        others = [place for place in range(len(self.model.routers)) if place not in zone]
        before = set(self.model.cuts)
        self.model.cut(zone, others, both)
        for one, other in self.model.cuts - before:
            self.severed |= {(one, other), (other, one)}

    def heal(self, *still_cut: int) -> None:
        """End all cuts but those of the zones named."""
        self.model.cuts.clear()
        for number in still_cut:
            self.cut_zone(number)

    def verdicts(self) -> list[tuple[int, int]]:
        """Return who declared whom failed, in order."""
        places = {shown(ident_of(f"router-{place}")): place for place in range(len(self.model.routers))}
        return [
            (by, places[str(fields["member"])])
            for _, by, event, fields in self.model.notes
            if event == "gossip_member_changed" and fields["state"] == "failed"
        ]

    def verdicts_within_reach(self) -> list[tuple[int, int]]:
        """Return the verdicts between routers that were never cut off from each other."""
        return [pair for pair in self.verdicts() if pair not in self.severed]

    def run_as_before_the_mend(self, places: Iterable[int]) -> None:
        """Have these routers believe each claim at once, as programs before this one did."""
        for place in places:
            swarm = self.model.routers[place].swarm
            assert swarm is not None
            swarm.gossip.__class__ = BelievingGossip

    def tables(self) -> set[frozenset[tuple[int, tuple[int, bool, int, int]]]]:
        """Return the different tables of all running routers; each holds its own word, too."""
        return {
            frozenset(
                [(one.claim.ident, one.claim.order()) for one in router.swarm.gossip.table]
                + [(router.swarm.gossip.me.ident, router.swarm.gossip.me.order())]
            )
            for router in self.model.here()
            if router.swarm is not None
        }

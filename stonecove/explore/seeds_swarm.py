"""Faults of one line in the swarm's decisions; planted as those in `seeds` are."""

from __future__ import annotations

from stonecove.explore.seeds_coordination import Fault
from stonecove.gossip import gossip, shares, swarm, view

_LIVES, _PART, _LOST = ("swarm-lives",), ("swarm-part",), ("swarm-lost",)
_Shares = shares.Shares

FAULTS: tuple[Fault, ...] = (
    Fault(
        "swarm-frees-at-once",
        _Shares,
        "counts",
        "self._lease) + self._window",
        "self._lease)",
        _LIVES,
        "share-sum",
    ),
    Fault(
        "swarm-joins-at-once",
        _Shares,
        "_stand",
        "max(latest, self._born) + self._window",
        "latest",
        _LIVES,
        "share-sum",
    ),
    Fault(
        "swarm-no-rest",
        _Shares,
        "_stand",
        "if now >= self._born + self._window else 0.0",
        "if True else 0.0",
        _LIVES,
        "share-sum",
    ),
    Fault(
        "swarm-new-life-unheard",
        _Shares,
        "heard",
        "one.generation, one.zone, one.over_at = generation, zone, math.inf",
        "one.generation, one.zone = generation, zone",
        _LIVES,
        "share-sum",
    ),
    Fault(
        "swarm-asks-nobody",
        _Shares,
        "_stand",
        "max((one.free_at for one in self.slots), default=self._born)",
        "self._born",
        _LOST,
        "share-sum",
    ),
    Fault("swarm-no-reserve", _Shares, "_stand", "1.0 - self._own * free", "1.0", _PART, "share-sum"),
    Fault(
        "swarm-silence-is-proof",
        gossip.Gossip,
        "_share",
        "if over(claim.state):",
        "if claim.state >= MemberState.FAILED:",
        _PART,
        "share-sum",
    ),
    Fault(
        "swarm-lease-for-ever", _Shares, "leased", "now < self._leased_until()", "True", _PART, "share-sum"
    ),
    Fault(
        "swarm-freed-before-its-lease",
        _Shares,
        "counts",
        "one.majority_failed_at + self._lease",
        "one.majority_failed_at",
        _PART,
        "share-sum",
    ),
    Fault(
        "swarm-speaks-and-stays-out",
        _Shares,
        "heard",
        "one.majority_failed_at, self._known = math.inf, None",
        "pass",
        _PART,
        "share-sum",
    ),
    Fault(
        "swarm-doubt-forgotten",
        gossip.Gossip,
        "receive_own_claim",
        "self.shares.doubted()",
        "pass",
        _PART,
        "share-back",
    ),
    Fault(
        "swarm-no-denial",
        gossip.Gossip,
        "receive_own_claim",
        "self.say(mine.state, now)",
        "pass",
        _PART,
        "swarm-denied",
    ),
    Fault(
        "swarm-verdict-unconfirmed",
        gossip.Gossip,
        "receive_claim",
        "member is not None and self._is_unconfirmed_failure(claim, member, now)",
        "member is not None and False",
        ("swarm-halves",),
        "swarm-in-reach",
    ),
    Fault(
        "swarm-refusal-unheard",
        swarm.Swarm,
        "refused",
        "if member is not None and not over(member.claim.state):",
        "if False:",
        _LIVES,
        "swarm-known",
    ),
    Fault(
        "swarm-own-number",
        view.Views,
        "heard",
        "if digest == self.now.digest and number > self.now.number:",
        "if False:",
        _PART,
        "swarm-agree",
    ),
)

"""Answers operators' questions about a swarm: status, members, the evidence on each, past views."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from stonecove.gossip.claims import MemberState, ident_of, shown
from stonecove.gossip.swarm import Swarm
from stonecove.gossip.table import Member


def _ago(now: float, at: float) -> float | None:
    return None if at == -math.inf else round(now - at, 3)


def _member(swarm: Swarm, one: Member, addresses: list[tuple[str, int]], now: float) -> dict[str, Any]:
    view = swarm.gossip.views.now
    return {
        "member": shown(one.claim.ident),
        "state": one.told(now),
        "since_s": round(now - one.since, 3),
        "zone": one.claim.zone,
        "life": one.claim.generation,
        "incarnation": one.claim.incarnation,
        "address": "" if one.slot is None else ":".join(map(str, addresses[one.slot])),
        "heard_s": _ago(now, one.heard),
        "reached_s": _ago(now, one.reached),
        "through_others_s": _ago(now, one.via),
        "counts": one.slot is None or swarm.gossip.shares.counts(one.slot, now),
        "view": one.view[0],
        "agrees": one.view[1] == view.digest,
    }


def _status(swarm: Swarm, name: str, now: float, counts: Mapping[str, int]) -> dict[str, Any]:
    gossip, share_state, view = swarm.gossip, swarm.share_state(now), swarm.gossip.views.now
    states: dict[str, int] = {}
    for one in gossip.table:
        states[one.told(now)] = states.get(one.told(now), 0) + 1
    return {
        "name": name, "member": shown(gossip.me.ident), "life": gossip.me.generation,
        "incarnation": gossip.me.incarnation, "doubt": gossip.health.score,
        "name_twice": gossip.name_is_taken,
        "view": view.number, "digest": f"{view.digest:08x}", "stands_s": round(now - view.since, 3),
        "members": len(view.lives), "states": dict(sorted(states.items())),
        "disagree": sorted(shown(one.claim.ident) for one in gossip.table
                           if one.claim.state <= MemberState.LEAVING and one.view[1] != view.digest),
        "joined": share_state.joined, "share": round(share_state.share(), 6),
        "own": round(share_state.own, 6), "fleet": share_state.fleet,
        "by_zone": list(share_state.by_zone), "counts": dict(sorted(counts.items())),
        "not_answered": len(gossip.shares.asking()),
    }  # fmt: skip


def answer(
    words: list[str],
    swarm: Swarm,
    name: str,
    now: float,
    addresses: list[tuple[str, int]],
    counts: Mapping[str, int],
) -> dict[str, Any]:
    """The answer to a question; one that can't be answered has `error`."""
    gossip = swarm.gossip
    match words:
        case ["status"]:
            members = [_member(swarm, one, addresses, now) for one in gossip.table]
            return {
                "status": _status(swarm, name, now, counts),
                "members": sorted(members, key=lambda one: str(one["member"])),
            }
        case ["explain", text]:
            one = gossip.table.get(int(text[2:], 16) if _is_id(text) else ident_of(text))
            if one is None:
                return {"error": f"nobody of the name {text[:40]!r} was ever heard of"}
            return {
                "member": _member(swarm, one, addresses, now),
                "evidence": [{"ago_s": round(now - at, 3), "what": what} for at, what in one.evidence],
            }
        case ["gone", text]:
            slots = [slot for slot, address in enumerate(addresses) if ":".join(map(str, address)) == text]
            if not slots:
                return {"error": f"no peer has the address {text[:40]!r}"}
            swarm.declare_gone(slots[0], now)
            return {"address": text, "gone": True}
        case ["history"]:
            return {
                "views": [
                    {
                        "view": view.number,
                        "digest": f"{view.digest:08x}",
                        "ago_s": round(now - view.since, 3),
                        "members": len(view.lives),
                        "came": came,
                        "went": went,
                    }
                    for view, came, went in gossip.views.history
                ]
            }
    return {"error": f"no question {' '.join(words)[:40]!r}"}


def _is_id(text: str) -> bool:
    return text.startswith("r-") and len(text) == 18 and all(sign in "0123456789abcdef" for sign in text[2:])

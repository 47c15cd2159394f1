"""Answers to operators' questions about a swarm: status, members, the evidence on each, past views."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from stonecove.gossip.claims import MemberState, format_member_id, ident_of
from stonecove.gossip.swarm import Swarm
from stonecove.gossip.table import Member


def _age_s(now: float, at: float) -> float | None:
    return None if at == -math.inf else round(now - at, 3)


def _member(swarm: Swarm, member: Member, addresses: list[tuple[str, int]], now: float) -> dict[str, Any]:
    view = swarm.gossip.views.current
    return {
        "member": format_member_id(member.claim.ident),
        "state": member.status_name(now),
        "since_s": round(now - member.since, 3),
        "zone": member.claim.zone,
        "life": member.claim.generation,
        "incarnation": member.claim.incarnation,
        "address": "" if member.slot is None else ":".join(map(str, addresses[member.slot])),
        "heard_s": _age_s(now, member.last_received),
        "reached_s": _age_s(now, member.last_reached),
        "through_others_s": _age_s(now, member.last_reached_indirectly),
        "counts": member.slot is None or swarm.gossip.shares.is_counted(member.slot, now),
        "view": member.view[0],
        "agrees": member.view[1] == view.digest,
    }


def _status(swarm: Swarm, name: str, now: float, counts: Mapping[str, int]) -> dict[str, Any]:
    gossip, share_state, view = swarm.gossip, swarm.share_state(now), swarm.gossip.views.current
    states: dict[str, int] = {}
    for member in gossip.table:
        states[member.status_name(now)] = states.get(member.status_name(now), 0) + 1
    return {
        "name": name, "member": format_member_id(gossip.own_claim.ident),
        "life": gossip.own_claim.generation,
        "incarnation": gossip.own_claim.incarnation, "doubt": gossip.health.score,
        "name_twice": gossip.name_is_taken,
        "view": view.number, "digest": f"{view.digest:08x}", "stands_s": round(now - view.since, 3),
        "members": len(view.generations), "states": dict(sorted(states.items())),
        "disagree": sorted(format_member_id(member.claim.ident) for member in gossip.table
                           if member.claim.state <= MemberState.LEAVING and member.view[1] != view.digest),
        "joined": share_state.joined, "share": round(share_state.share(), 6),
        "own": round(share_state.usable_fraction, 6), "fleet": share_state.counted_routers,
        "by_zone": list(share_state.counted_by_zone), "counts": dict(sorted(counts.items())),
        "not_answered": len(gossip.shares.unanswered_slots()),
    }  # fmt: skip


def answer(
    words: list[str],
    swarm: Swarm,
    name: str,
    now: float,
    addresses: list[tuple[str, int]],
    counts: Mapping[str, int],
) -> dict[str, Any]:
    """Return the answer to a question, split into words; `error` says why one cannot be answered."""
    gossip = swarm.gossip
    match words:
        case ["status"]:
            members = [_member(swarm, member, addresses, now) for member in gossip.table]
            return {
                "status": _status(swarm, name, now, counts),
                "members": sorted(members, key=lambda entry: str(entry["member"])),
            }
        case ["explain", text]:
            member = gossip.table.get(int(text[2:], 16) if _is_id(text) else ident_of(text))
            if member is None:
                return {"error": f"nobody of the name {text[:40]!r} was ever heard of"}
            return {
                "member": _member(swarm, member, addresses, now),
                "evidence": [{"ago_s": round(now - at, 3), "what": what} for at, what in member.evidence],
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
                        "members": len(view.generations),
                        "came": joined,
                        "went": departed,
                    }
                    for view, joined, departed in gossip.views.history
                ]
            }
    return {"error": f"no question {' '.join(words)[:40]!r}"}


def _is_id(text: str) -> bool:
    return (
        text.startswith("r-") and len(text) == 18 and all(digit in "0123456789abcdef" for digit in text[2:])
    )

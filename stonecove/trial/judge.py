"""Checks whether a trial kept the rules, from the records of stand-ins and clients and the routers' logs."""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from stonecove.overload.book import (
    ATTEMPT,
    CONNECT,
    FILL,
    INTENDED,
    ORIGIN,
    REPEAT,
    SERVED,
    AmplificationStatistics,
    LoadEvent,
)
from stonecove.standins.depot import WRITE
from stonecove.standins.loaded import LoadedDepot
from stonecove.standins.webserver import settings
from stonecove.trial.open_loop import OpenLoopClients, meaning_of
from stonecove.trial.rejoin import longest_rejoin
from stonecove.trial.schedule import PACE, Trial
from stonecove.trial.testbed import WEIGHT, Testbed, TrialRecord

GRACE = 25.0  # seconds after a kill or a pause within which a request is lost to it: clients wait so long
SLACK = 0.5  # seconds by which a stand-in on a busy machine may note a request late
KNOWS = 2.0  # seconds after its start in which a router may not have heard of all others yet
RECONNECT = 2.0  # seconds in which a router reads the change log again once it can be reached
TOLD_BY = 7.0  # seconds by which an event counts as told, where the change log is cut off


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A rule that was broken: when (seconds after the load began), and by which processes."""

    rule: str
    at: float
    processes: tuple[str, ...]
    what: str

    def summary(self) -> str:
        """One line for people."""
        return f"{self.rule} at {self.at:.2f} s, {', '.join(self.processes) or 'nobody'}: {self.what}"


@dataclass(slots=True)
class Verdict:
    """The violations and figures of a trial."""

    title: str
    violations: list[RuleViolation] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)

    def as_dict(self) -> dict[str, Any]:
        """The JSON form that `stonecove trial run --json` prints."""
        return {
            "title": self.title,
            "passed": not self.violations,
            "broken": [asdict(one) for one in self.violations],
            "figures": self.figures,
        }


def play(trial: Trial, seed: int, folder: Path) -> tuple[TrialRecord, Verdict]:
    """Runs a trial and judges it; raises TrialError or OSError if it can't be run."""
    testbed = Testbed(trial, seed, folder)
    try:
        played = testbed.play()
    finally:
        testbed.close()
    return played, judge(played)


def judge(played: TrialRecord) -> Verdict:
    """Checks all rules on one trial."""
    verdict = Verdict(played.trial.title)
    _answers(played, verdict)
    judge_processes(played, verdict)
    judge_cold_caches(played, verdict)
    judge_endpoint_list(played, verdict)
    if isinstance(played.clients, OpenLoopClients):
        _open_loop(played, played.clients, verdict)
    if played.trial.swarm:
        _shares(played, verdict)
        _members(played, verdict)
    return verdict


def _answers(played: TrialRecord, verdict: Verdict) -> None:
    """Each request that was accepted gets one final answer, and no write runs twice."""
    clients, expects = played.clients, played.trial.expects
    assert clients is not None
    lost = [
        (at, place) for at, place in clients.lost
        if not any(place == who and since - 0.1 <= at <= until + GRACE
                   for since, until, who, _ in played.troubled)
    ]  # fmt: skip
    if len(lost) > expects.lost:
        at, place = lost[0]
        verdict.violations.append(
            RuleViolation(
                "answer",
                at - played.began,
                (played.routers[place].name,),
                f"{len(lost)} taken requests had no answer, though nothing ended them",
            )
        )
    if played.repeated:
        verdict.violations.append(
            RuleViolation(
                "write",
                played.ended - played.began,
                (),
                f"{played.repeated} requests with an effect ran more than once",
            )
        )
    total = sum(clients.answers.values())  # of open-loop clients, those of all tries
    verdict.figures |= {
        "answers": total, "served": clients.answers["200"] / max(1, total), "lost": len(lost),
        "lost_to_faults": len(clients.lost) - len(lost), "writes_twice": played.repeated,
        "p50_ms": clients.took.get_value_at_percentile(50) / 1000.0,
        "p99_ms": clients.took.get_value_at_percentile(99) / 1000.0,
    }  # fmt: skip


def judge_processes(played: TrialRecord, verdict: Verdict) -> None:
    """No router crashes or logs a bug."""
    for place, code in played.codes:
        verdict.violations.append(
            RuleViolation(
                "crash", played.ended - played.began, (played.routers[place].name,), f"ended with {code}"
            )
        )
    for router in played.routers:
        if bugs := router.lines("internal_error"):
            verdict.violations.append(
                RuleViolation(
                    "bug",
                    float(bugs[0]["at"]) - played.began,
                    (router.name,),
                    f"{len(bugs)} in its log: {bugs[0]}",
                )
            )


def judge_cold_caches(played: TrialRecord, verdict: Verdict) -> None:
    """All routers together send a cold cache no more than the rule allows; 1.0 is that bound."""
    worst = 0.0
    for started, cache, book in played.colds:
        at, part = cold_part(book, started, played.trial.window, played.trial.kb)
        if part > 1.0:
            verdict.violations.append(
                RuleViolation(
                    "cold",
                    at - played.began,
                    tuple(r.name for r in played.routers),
                    f"{cache} was sent {part:.2f} of what it bears",
                )
            )
        worst = max(worst, part)
    verdict.figures["cold_worst"] = worst


def cold_part(book: list[float], started: float, window: float, kb: float) -> tuple[float, float]:
    """When a cache that started then was sent most, and as a part of what the rule allows.

    `book`: Unix ms of each request, `kb` of work each; `started` and `window` in seconds.
    """
    rules: Any = settings()["rules"]
    work, most = kb / PACE * 1000.0, (started, 0.0)
    asked = sorted(at / 1000.0 for at in book)
    for number, at in enumerate(asked):
        age = at - started
        if age > rules["warm_up"] / 1000.0:
            break
        within = sum(at - window < other <= at for other in asked[: number + 1]) * work
        warmed = max(0.0, age - window) / (rules["warm_up"] / 1000.0)
        present = min(1.0, rules["cold_from"] + (1.0 - rules["cold_from"]) * warmed)
        part = within / (rules["tip_multiple"] * present * window * 1000.0 * WEIGHT)
        if part > most[1]:
            most = at, part
    return most


def judge_endpoint_list(played: TrialRecord, verdict: Verdict) -> None:
    """After its grace a drained cache is not used, and no answer is older than a purge."""
    for since, until, ident in played.drains:
        grace = since + settings_of("rules", "drain_grace") / 1000.0 + SLACK + _told_late(played, since)
        asked = [
            one
            for one in played.depot.seen
            if grace < one.at / 1000.0 < until and (one.cache == ident or one.source == f"s-{ident:08x}")
        ]
        if asked:
            verdict.violations.append(
                RuleViolation(
                    "drain",
                    asked[0].at / 1000.0 - played.began,
                    (),
                    f"s-{ident:08x} was asked {len(asked)} times after its grace",
                )
            )
    for moment in played.purges:
        late = SLACK + _told_late(played, moment / 1000.0)
        grace = settings_of("domain", "heed_within") + late * 1000.0
        if old := played.depot.too_old(moment, grace):
            verdict.violations.append(
                RuleViolation(
                    "purge",
                    moment / 1000.0 - played.began,
                    (),
                    f"{old} answers were older than it after its grace",
                )
            )


def events_of(played: TrialRecord) -> list[LoadEvent]:
    """All events that requests caused, as recorded by clients and servers; seconds since the load began."""
    depot, found, seen = played.depot, list[LoadEvent](), set[str]()
    if isinstance(played.clients, OpenLoopClients):
        found += [event._replace(at_s=event.at_s - played.began) for event in played.clients.events]
    for one in depot.seen:
        at, meaning = one.at / 1000.0 - played.began, meaning_of(one.txn)
        found.append(LoadEvent(at, ATTEMPT, meaning, one.cls))
        if one.txn in seen:
            found.append(LoadEvent(at, REPEAT, meaning, one.cls))
        seen.add(one.txn)
    if isinstance(depot, LoadedDepot):
        found += [LoadEvent(one.at / 1000.0 - played.began, FILL if one.what == "fill" else ORIGIN,
                        meaning_of(one.txn)) for one in depot.fetches]  # fmt: skip
    found += [LoadEvent(at / 1000.0 - played.began, CONNECT) for at in depot.connects]
    return [event for event in found if event.at_s >= 0]


def _open_loop(played: TrialRecord, clients: OpenLoopClients, verdict: Verdict) -> None:
    """How many intended requests were served, and whether service recovered."""
    expects, book = played.trial.expects, AmplificationStatistics(events_of(played))
    first, last = played.trial.span
    at, attempts = book.worst_second(ATTEMPT)
    back = book.recovery_s(last)
    writes = book.by_class[WRITE]
    valued = writes[SERVED] / max(1, writes[INTENDED])
    verdict.figures |= {
        "meant": book.intended, "served_of_meant": book.total(SERVED) / max(1, book.intended),
        "valued": valued,
        "amplification_worst": attempts, "origin_worst": book.worst_second(ORIGIN)[1],
        "repeats_worst": book.worst_second(REPEAT)[1], "recovery_s": back,
        "origin_stops": len(played.depot.stops) if isinstance(played.depot, LoadedDepot) else 0,
    }  # fmt: skip
    if expects.amplification is not None and attempts > expects.amplification:
        verdict.violations.append(
            RuleViolation(
                "amplification", float(at), (), f"{attempts:.2f} attempts for each request that was meant"
            )
        )
    if expects.recovers_within is not None and back > expects.recovers_within:
        sustained = ", ".join(f"{cause} {times:.1f} times" for cause, times in book.sustained_by(last, first))
        verdict.violations.append(
            RuleViolation("recovery", last, (), f"good again after {back:.1f} s; {sustained}")
        )
    if expects.valued is not None and valued < expects.valued:
        verdict.violations.append(
            RuleViolation("valued", 0.0, (), f"{valued:.3f} of the valued class was served")
        )


def _told_late(played: TrialRecord, at: float) -> float:
    """Seconds by which an event of that moment may arrive late because a change log was cut off."""
    cuts = [
        played.began + fault.ends
        for fault in played.trial.faults
        if "log" in fault.of and fault.at <= at - played.began + RECONNECT and fault.ends
    ]
    return max(0.0, min(TOLD_BY, max((end - at + RECONNECT for end in cuts), default=0.0)))


def settings_of(part: str, name: str) -> float:
    """A figure of the trials' settings."""
    table: Any = settings()[part]
    return float(table[name])


def _shares(played: TrialRecord, verdict: Verdict) -> None:
    """Within any window, the shares that routers act upon add up to 1 at most."""
    window = played.trial.window
    # from, to, share, router, its life; with the window after it
    spans: list[tuple[float, float, float, str, float]] = []
    for router in played.routers:
        for started, ended in router.lives:
            # Its last word comes after `stopped`, and nothing goes to caches then.
            over = min(
                [
                    float(line["at"])
                    for line in router.lines("router_stopped")
                    if started <= float(line["at"]) <= (ended or played.ended)
                ],
                default=ended or played.ended,
            )
            told = [
                (float(line["at"]), float(line["unleased_fraction"]) / max(1, int(line["fleet_size"])))
                for line in router.lines("gossip_share_changed")
                if started <= float(line["at"]) <= over
            ]
            for (at, share), (then, _) in zip(told, [*told[1:], (over, 0.0)], strict=True):
                spans.append((at, then + window, share, router.name, started))
    worst, moment, who = 0.0, played.began, tuple[str, ...]()
    for at in sorted({span[0] for span in spans}):
        most: dict[tuple[str, float], float] = {}
        for since, until, share, name, life in spans:
            if since <= at < until:
                most[name, life] = max(most.get((name, life), 0.0), share)
        if sum(most.values()) > worst:
            worst, moment, who = sum(most.values()), at, tuple(sorted({name for name, _ in most}))
    if worst > 1.0 + len(played.routers) * 0.001:  # the log has three digits
        verdict.violations.append(
            RuleViolation("shares", moment - played.began, who, f"add up to {worst:.3f}")
        )
    verdict.figures["rule_worst"] = min(worst, 1.0) if worst <= 1.0 + len(played.routers) * 0.001 else worst


def _members(played: TrialRecord, verdict: Verdict) -> None:
    """Which routers were declared failed, how soon after their end, and in how many views."""
    expects, places = played.trial.expects, {ident: place for place, ident in enumerate(played.ids)}
    falsely: list[tuple[float, str, str]] = []
    known: dict[tuple[int, str], list[float]] = {}
    lives: dict[tuple[str, int], int] = {}
    for router in played.routers:
        for line in router.lines("gossip_member_changed"):
            at, place = float(line["at"]), places.get(line["member"])
            if place is None or at > played.ended:
                continue
            later = int(line["generation"]) > lives.get((router.name, place), 0)
            lives[router.name, place] = max(int(line["generation"]), lives.get((router.name, place), 0))
            if line["state"] in ("failed", "gone") or later:  # a later life tells the end of the one before
                known.setdefault((place, router.name), []).append(at)
            if line["state"] not in ("failed", "gone"):
                continue
            lived = any(
                since < at - 0.05
                and (ended is None or at < ended)
                and int(line["generation"]) / 1000.0 - played.routers[place].shift_at(since) >= since - 0.1
                for since, ended in played.routers[place].lives
            )
            if lived:
                falsely.append((at, router.name, played.routers[place].name))
    if len(falsely) > expects.false_failed:
        at, by, of = falsely[0]
        verdict.violations.append(
            RuleViolation(
                "failed",
                at - played.began,
                (by, of),
                f"{by} declared {of} over, which was there ({len(falsely)} in all)",
            )
        )
    took = sorted(_detected(played, known))
    verdict.figures |= {
        "false_failed": len(falsely),
        "detect_p50_ms": _part(took, 0.5) * 1000.0, "detect_p99_ms": _part(took, 0.99) * 1000.0,
    }  # fmt: skip
    _views(played, verdict)
    last = played.trial.span[1]
    if expects.joined_within is not None:
        after = math.inf if played.joined_at is None else played.joined_at - played.began - last
        verdict.figures["joined_s"] = after
        if after > longest_rejoin(
            expects.joined_within, played.routers, played.began + last, played.trial.window
        ):
            verdict.violations.append(
                RuleViolation(
                    "joined", played.trial.lasts, (), f"all were joined {after:.1f} s after the last fault"
                )
            )


def _detected(played: TrialRecord, known: dict[tuple[int, str], list[float]]) -> list[float]:
    """Seconds from each kill until each router that kept running knew of it; infinite if it never did."""
    took = []
    for since, _, place, what in played.troubled:
        if what not in ("kill", "restart"):
            continue
        ended = next((end for _, end in played.routers[place].lives if end and end >= since), None)
        if ended is None:
            continue
        for router in played.routers:
            there = any(
                start < ended - KNOWS and (end is None or end > ended + 10.0) for start, end in router.lives
            )
            if router is played.routers[place] or not there:
                continue
            took.append(
                min(
                    (at - ended for at in known.get((place, router.name), ()) if at >= ended - 0.05),
                    default=math.inf,
                )
            )
    return took


def _views(played: TrialRecord, verdict: Verdict) -> None:
    expects, most, whose = played.trial.expects, 0, ""
    first = played.trial.span[0] + played.began
    for router in played.routers:
        started = router.lives[-1][0] if router.lives else 0.0
        count = sum(
            max(first, started) <= float(line["at"]) <= played.ended
            for line in router.lines("gossip_view_changed")
        )
        if count > most:
            most, whose = count, router.name
    verdict.figures["views"] = most
    if expects.views is not None and most > expects.views:
        verdict.violations.append(
            RuleViolation(
                "views",
                played.trial.lasts,
                (whose,),
                f"{most} views, {expects.views} at the most were expected",
            )
        )


def _part(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0

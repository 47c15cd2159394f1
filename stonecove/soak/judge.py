"""Judges a soak by what clients and servers saw, and by how the routers' processes ended.

Each rule has the sentence of the protocol or deployment page that it stands for. Times have the slack of
those pages, and the longest delay of the judging host's own threads.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from stonecove.soak.clients import Fate, SentRequest
from stonecove.soak.depot import Arrival
from stonecove.soak.plan import Effect
from stonecove.soak.play import SoakRecord
from stonecove.trial.judge import (
    Verdict,
    judge_cold_caches,
    judge_endpoint_list,
    judge_processes,
)

LEFT_GRACE_S = 0.1  # nothing begins so long after its client left
LEFT_SLACK_S = 0.15  # an attempt is noted once it has come whole, by threads of a busy host
WINDOW_SLACK_S = 0.2  # an attempt is noted once it has come whole
ERRORS = ("Traceback (most recent call last)", " internal_error ", " request_undecided ")

RULES = {
    "answer": "the request is lost if that connection ends without a whole answer",
    "second answer": "likewise on a second answer",
    "unasked": "one answer to a request: none under an id that is not open",
    "body": "an answer 'served' with what no cache made for it is lost",
    "repeat": "a further attempt is permitted only when each earlier one never executed",
    "window": "further sends go only within the class's window of its send",
    "left": "nothing begins 0.1 s after its client left",
    "drain": "no attempt more than drain_grace after this instance learned that it is draining",
    "purge": "not answered from a copy older than that purge",
    "cold": "a cold cache receives no more than tip_multiple times its present capacity",
    "exit": "an edge router that ends after SIGTERM ends with 0, before SIGKILL",
    "crash": "a process that ends by itself has crashed",
    "log": "nothing in the log that is an error of the program",
    "descriptors": "a process may hold `sockets` file descriptors",
    "memory": "over memory_mb the edge router is killed",
    "left over": "at its end no request is open",
}


@dataclass(frozen=True, slots=True)
class BrokenRule:
    """A rule that was broken: when, in seconds after the load began, and how."""

    rule: str
    at: float
    what: str

    def summary(self) -> str:
        """Return one line for people."""
        return f"{self.rule} at {self.at:.2f} s: {self.what}"


@dataclass(slots=True)
class SoakVerdict:
    """What a soak broke, and its figures."""

    seed: int
    broken: list[BrokenRule] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form that `stonecove soak --json` prints."""
        return {
            "seed": self.seed,
            "passed": not self.broken,
            "broken": [{"rule": one.rule, "at": round(one.at, 3), "what": one.what} for one in self.broken],
            "figures": self.figures,
        }


def judge_soak(record: SoakRecord) -> SoakVerdict:
    """Return what a soak broke."""
    verdict = SoakVerdict(record.plan.seed)
    for check in (_answers, _unasked, _repeats, _left, _trial_rules, _shutdowns, _logs, _limits):
        verdict.broken += check(record)
    fates = [one.fate for one in record.sent]
    verdict.figures = {
        "sent": len(fates),
        **{fate.value: fates.count(fate) for fate in Fate},
        "served": sum(one.status == "200" for one in record.sent),
        "attempts": len(record.arrivals),
        "shutdowns": len(record.shutdowns),
        "descriptors": max(record.descriptors),
        "memory_mb": round(max(record.memory_mb), 1),
        "worst_lag_ms": round(record.worst_lag_s * 1000.0, 1),
    }
    return verdict


def _answers(record: SoakRecord) -> Iterator[BrokenRule]:
    for one in record.sent:
        at = one.sent_at - record.trial.began
        if one.fate is Fate.LOST and not _host_was_late(record, one):
            after = one.ended_at - one.sent_at
            yield BrokenRule("answer", at, f"{_named(one)} had none after {after:.3f} s of {one.ttl_s:.3f} s")
        if one.again and one.fate is Fate.CROSSED:
            yield BrokenRule("answer", at, f"{_named(one)} crossed a close once more")
        if one.answers > 1:
            yield BrokenRule("second answer", at, f"{_named(one)} had {one.answers} answers")
        if not one.body_fits:
            yield BrokenRule("body", at, f"{_named(one)} was served with what is not its own")


def _host_was_late(record: SoakRecord, request: SentRequest) -> bool:
    """Return whether the host was so late that an answer in time could have come as late as this one."""
    late = request.ended_at - request.lost_at
    return 0.0 <= late < record.lag_of(request.sent_at, request.ended_at) - 0.1


def _named(request: SentRequest) -> str:
    return f"{request.txn} ({request.request_class.name}, router {request.router})"


def _unasked(record: SoakRecord) -> Iterator[BrokenRule]:
    for what in record.unasked:
        yield BrokenRule("unasked", 0.0, what)


def _by_request(record: SoakRecord) -> dict[str, list[Arrival]]:
    found: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(record.arrivals, key=lambda one: one.at):
        found[arrival.txn].append(arrival)
    return found


def _repeats(record: SoakRecord) -> Iterator[BrokenRule]:
    classes = {one.name: one for one in record.plan.classes}
    for txn, arrivals in _by_request(record).items():
        effect = classes[arrivals[0].cls].effect
        window_s = classes[arrivals[0].cls].window_ms / 1000.0
        for place, later in enumerate(arrivals[1:], 1):
            may_have_run = [
                one for one in arrivals[:place] if one.proved_at is None or one.proved_at > later.at
            ]
            at = later.at - record.trial.began
            if not may_have_run or effect is Effect.PURE:
                continue
            if effect is Effect.SIDE_EFFECT:
                yield BrokenRule("repeat", at, f"{txn} ({later.cls}) came again, and may have run")
            elif later.at > may_have_run[0].at + window_s + WINDOW_SLACK_S:
                yield BrokenRule("window", at, f"{txn} ({later.cls}) came again after its window")


def _left(record: SoakRecord) -> Iterator[BrokenRule]:
    arrivals = _by_request(record)
    for one in record.sent:
        if one.fate is not Fate.LEFT:
            continue
        for arrival in arrivals.get(one.txn, ()):
            allowed = LEFT_GRACE_S + LEFT_SLACK_S + record.lag_of(one.ended_at, arrival.at)
            if arrival.at > one.ended_at + allowed:
                after = arrival.at - one.ended_at
                at = arrival.at - record.trial.began
                yield BrokenRule("left", at, f"{_named(one)}: an attempt {after:.3f} s after its client left")


def _trial_rules(record: SoakRecord) -> Iterator[BrokenRule]:
    """Judge what a trial's judge knows: crashes, cold caches, drains and purges."""
    found = Verdict(record.trial.trial.title)
    judge_processes(record.trial, found)
    judge_cold_caches(record.trial, found)
    judge_endpoint_list(record.trial, found)
    for one in found.violations:
        rule = "log" if one.rule == "bug" else one.rule
        yield BrokenRule(rule, one.at, f"{', '.join(one.processes)} {one.what}".strip())


def _shutdowns(record: SoakRecord) -> Iterator[BrokenRule]:
    for one in record.shutdowns:
        at = one.asked_at - record.trial.began
        if one.killed:
            after = record.plan.kill_after_s
            yield BrokenRule("exit", at, f"router {one.router} had not ended {after:.1f} s after SIGTERM")
        elif one.exit_code:
            yield BrokenRule("exit", at, f"router {one.router} ended with {one.exit_code}")
    for place, router in enumerate(record.trial.routers):
        for line in router.lines("router_stopped"):
            if line["open"] != "0":
                at = float(line["at"]) - record.trial.began
                yield BrokenRule("left over", at, f"router {place} had {line['open']} requests open")


def _logs(record: SoakRecord) -> Iterator[BrokenRule]:
    for place, router in enumerate(record.trial.routers):
        text = router.log.read_text(errors="replace")
        for error in ERRORS:
            if (found := text.find(error)) >= 0:
                line = text[found : found + 300].replace("\n", " | ")
                yield BrokenRule("log", 0.0, f"router {place}: {line}")


def _limits(record: SoakRecord) -> Iterator[BrokenRule]:
    for place, count in enumerate(record.descriptors):
        if count > record.plan.sockets:
            yield BrokenRule("descriptors", 0.0, f"router {place} held {count} of {record.plan.sockets}")
    for place, used in enumerate(record.memory_mb):
        if used > record.plan.memory_mb:
            yield BrokenRule("memory", 0.0, f"router {place} used {used:.0f} of {record.plan.memory_mb} MB")

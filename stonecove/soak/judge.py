"""Judges a soak by the observations of clients and servers, and by the exits of the router processes.

Each rule quotes the sentence of the protocol or deployment specification that it checks. Time limits include
the tolerance of the specification and the longest wake-up delay of the judging host's threads.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from stonecove.soak.clients import Outcome, SentRequest
from stonecove.soak.depot import Arrival
from stonecove.soak.plan import Effect
from stonecove.soak.testbed import SoakRecord
from stonecove.trial.judge import (
    Verdict,
    judge_endpoint_list,
    judge_processes,
    judge_slow_start,
)

DISCONNECT_GRACE_S = 0.1  # no attempt may start later than this after its client disconnected
DISCONNECT_TOLERANCE_S = 0.15  # attempts are recorded when completely received, on a busy host
WINDOW_TOLERANCE_S = 0.2  # attempts are recorded only when completely received
LOG_ERROR_PATTERNS = ("Traceback (most recent call last)", " internal_error ", " request_undecided ")

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
class SoakViolation:
    """A violation of a rule; `at_s` is in seconds after the load began."""

    rule: str
    at_s: float
    details: str

    def summary(self) -> str:
        """Return a one-line description for display."""
        return f"{self.rule} at {self.at_s:.2f} s: {self.details}"


@dataclass(slots=True)
class SoakVerdict:
    """The violations and figures of a soak."""

    seed: int
    violations: list[SoakViolation] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form that `stonecove soak --json` prints."""
        return {
            "seed": self.seed,
            "passed": not self.violations,
            "broken": [
                {"rule": violation.rule, "at": round(violation.at_s, 3), "what": violation.details}
                for violation in self.violations
            ],
            "figures": self.figures,
        }


def judge_soak(record: SoakRecord) -> SoakVerdict:
    """Evaluate all rules and return the verdict of a soak."""
    verdict = SoakVerdict(record.plan.seed)
    for check in (
        _check_answers,
        _check_unexpected_answers,
        _check_repeats,
        _check_disconnects,
        _check_trial_rules,
        _check_shutdowns,
        _check_logs,
        _check_limits,
    ):
        verdict.violations += check(record)
    outcomes = [request.outcome for request in record.sent_requests]
    verdict.figures = {
        "sent": len(outcomes),
        **{outcome.value: outcomes.count(outcome) for outcome in Outcome},
        "served": sum(request.status == "200" for request in record.sent_requests),
        "attempts": len(record.arrivals),
        "shutdowns": len(record.shutdowns),
        "descriptors": max(record.descriptors),
        "memory_mb": round(max(record.memory_mb), 1),
        "worst_lag_ms": round(record.worst_lag_s * 1000.0, 1),
    }
    return verdict


def _check_answers(record: SoakRecord) -> Iterator[SoakViolation]:
    for request in record.sent_requests:
        at_s = request.sent_at - record.trial.started_at
        if request.outcome is Outcome.LOST and not _host_was_late(record, request):
            after_s = request.ended_at - request.sent_at
            yield SoakViolation(
                "answer",
                at_s,
                f"{_describe(request)} was lost {after_s:.3f} s after sending, TTL {request.ttl_s:.3f} s",
            )
        if request.is_retry and request.outcome is Outcome.CLOSE_RACE:
            yield SoakViolation("answer", at_s, f"{_describe(request)}, a retry, raced a close again")
        if request.answer_count > 1:
            yield SoakViolation(
                "second answer", at_s, f"{_describe(request)} was answered {request.answer_count} times"
            )
        if not request.body_matches:
            yield SoakViolation("body", at_s, f"{_describe(request)} was answered with the wrong body")


def _host_was_late(record: SoakRecord, request: SentRequest) -> bool:
    """Return whether the host's wake-up delay could explain that a timely answer was detected too late."""
    late_s = request.ended_at - request.counts_lost_at
    return 0.0 <= late_s < record.lag_between(request.sent_at, request.ended_at) - 0.1


def _describe(request: SentRequest) -> str:
    return f"{request.txn} ({request.request_class.name}, router {request.router_index})"


def _check_unexpected_answers(record: SoakRecord) -> Iterator[SoakViolation]:
    for description in record.unexpected_answers:
        yield SoakViolation("unasked", 0.0, description)


def _arrivals_by_txn(record: SoakRecord) -> dict[str, list[Arrival]]:
    arrivals_by_txn: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(record.arrivals, key=lambda item: item.received_at):
        arrivals_by_txn[arrival.txn].append(arrival)
    return arrivals_by_txn


def _check_repeats(record: SoakRecord) -> Iterator[SoakViolation]:
    classes = {request_class.name: request_class for request_class in record.plan.classes}
    for txn, arrivals in _arrivals_by_txn(record).items():
        effect = classes[arrivals[0].class_name].effect
        window_s = classes[arrivals[0].class_name].window_ms / 1000.0
        for index, later in enumerate(arrivals[1:], 1):
            possibly_executed = [
                earlier
                for earlier in arrivals[:index]
                if earlier.rejected_at is None or earlier.rejected_at > later.received_at
            ]
            at_s = later.received_at - record.trial.started_at
            if not possibly_executed or effect is Effect.PURE:
                continue
            if effect is Effect.SIDE_EFFECT:
                yield SoakViolation(
                    "repeat", at_s, f"{txn} ({later.class_name}) repeated although it may have executed"
                )
            elif later.received_at > possibly_executed[0].received_at + window_s + WINDOW_TOLERANCE_S:
                yield SoakViolation("window", at_s, f"{txn} ({later.class_name}) repeated after its window")


def _check_disconnects(record: SoakRecord) -> Iterator[SoakViolation]:
    arrivals = _arrivals_by_txn(record)
    for request in record.sent_requests:
        if request.outcome is not Outcome.ABANDONED:
            continue
        for arrival in arrivals.get(request.txn, ()):
            allowed_s = (
                DISCONNECT_GRACE_S
                + DISCONNECT_TOLERANCE_S
                + record.lag_between(request.ended_at, arrival.received_at)
            )
            if arrival.received_at > request.ended_at + allowed_s:
                after_s = arrival.received_at - request.ended_at
                at_s = arrival.received_at - record.trial.started_at
                yield SoakViolation(
                    "left",
                    at_s,
                    f"{_describe(request)}: attempt {after_s:.3f} s after its client disconnected",
                )


def _check_trial_rules(record: SoakRecord) -> Iterator[SoakViolation]:
    """Apply the rules shared with trials: crashes, slow start, drains and purges."""
    trial_verdict = Verdict(record.trial.trial.title)
    judge_processes(record.trial, trial_verdict)
    judge_slow_start(record.trial, trial_verdict)
    judge_endpoint_list(record.trial, trial_verdict)
    for violation in trial_verdict.violations:
        rule = "log" if violation.rule == "bug" else violation.rule
        yield SoakViolation(rule, violation.at, f"{', '.join(violation.processes)} {violation.what}".strip())


def _check_shutdowns(record: SoakRecord) -> Iterator[SoakViolation]:
    for shutdown in record.shutdowns:
        at_s = shutdown.sigterm_at - record.trial.started_at
        if shutdown.was_killed:
            after_s = record.plan.sigkill_after_s
            yield SoakViolation(
                "exit", at_s, f"router {shutdown.router_index} had not ended {after_s:.1f} s after SIGTERM"
            )
        elif shutdown.exit_code:
            yield SoakViolation(
                "exit", at_s, f"router {shutdown.router_index} exited with code {shutdown.exit_code}"
            )
    for router_index, router in enumerate(record.trial.routers):
        for line in router.lines("router_stopped"):
            if line["open"] != "0":
                at_s = float(line["at"]) - record.trial.started_at
                yield SoakViolation(
                    "left over", at_s, f"router {router_index} stopped with {line['open']} open requests"
                )


def _check_logs(record: SoakRecord) -> Iterator[SoakViolation]:
    for router_index, router in enumerate(record.trial.routers):
        text = router.log.read_text(errors="replace")
        for error in LOG_ERROR_PATTERNS:
            if (offset := text.find(error)) >= 0:
                line = text[offset : offset + 300].replace("\n", " | ")
                yield SoakViolation("log", 0.0, f"router {router_index}: {line}")


def _check_limits(record: SoakRecord) -> Iterator[SoakViolation]:
    for router_index, count in enumerate(record.descriptors):
        if count > record.plan.max_sockets:
            yield SoakViolation(
                "descriptors",
                0.0,
                f"router {router_index} had {count} open file descriptors, limit {record.plan.max_sockets}",
            )
    for router_index, used_mb in enumerate(record.memory_mb):
        if used_mb > record.plan.max_memory_mb:
            yield SoakViolation(
                "memory",
                0.0,
                f"router {router_index} used {used_mb:.0f} MB, limit {record.plan.max_memory_mb} MB",
            )

"""Checks whether a trial kept all rules, from the records of stand-ins and clients and the routers' logs."""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from stonecove.overload.amplification import (
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
from stonecove.trial.open_loop import OpenLoopClients, request_number_of
from stonecove.trial.rejoin import join_time_limit_s
from stonecove.trial.schedule import TRANSFER_KB_PER_S, Trial
from stonecove.trial.testbed import WEIGHT, Testbed, TrialRecord

CLIENT_TIMEOUT_S = 25.0  # clients wait this long: a request lost within it is attributed to a kill or pause
RECORD_DELAY_S = 0.5  # a stand-in on a busy machine may record a request this much later
DISCOVERY_S = 2.0  # for this long after its start, a router may not know all other members
RECONNECT_S = 2.0  # time to read the change log again once it is reachable
MAX_NOTIFICATION_DELAY_S = 7.0  # maximum allowance for an event while the change log is cut off


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violated rule: the time in seconds after the load began, and the processes involved."""

    rule: str
    at: float
    processes: tuple[str, ...]
    what: str

    def summary(self) -> str:
        """Return a one-line description for display."""
        return f"{self.rule} at {self.at:.2f} s, {', '.join(self.processes) or 'nobody'}: {self.what}"


@dataclass(slots=True)
class Verdict:
    """The rule violations and figures of a trial."""

    title: str
    violations: list[RuleViolation] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form that `stonecove trial run --json` prints."""
        return {
            "title": self.title,
            "passed": not self.violations,
            "broken": [asdict(violation) for violation in self.violations],
            "figures": self.figures,
        }


def run_trial(trial: Trial, seed: int, folder: Path) -> tuple[TrialRecord, Verdict]:
    """Run a trial and judge it; raise TrialError or OSError if it cannot be run."""
    testbed = Testbed(trial, seed, folder)
    try:
        record = testbed.run()
    finally:
        testbed.close()
    return record, judge(record)


def judge(record: TrialRecord) -> Verdict:
    """Check all rules on one trial."""
    verdict = Verdict(record.trial.title)
    _check_answers(record, verdict)
    judge_processes(record, verdict)
    judge_slow_start(record, verdict)
    judge_endpoint_list(record, verdict)
    if isinstance(record.clients, OpenLoopClients):
        _check_open_loop(record, record.clients, verdict)
    if record.trial.swarm:
        _check_shares(record, verdict)
        _check_membership(record, verdict)
    return verdict


def _check_answers(record: TrialRecord, verdict: Verdict) -> None:
    """Check that each accepted request got one final answer, and that no write ran twice."""
    clients, expects = record.clients, record.trial.expects
    assert clients is not None
    lost = [
        (lost_at, router_index) for lost_at, router_index in clients.lost
        if not any(router_index == faulty_index and start - 0.1 <= lost_at <= end + CLIENT_TIMEOUT_S
                   for start, end, faulty_index, _ in record.router_faults)
    ]  # fmt: skip
    if len(lost) > expects.lost:
        lost_at, router_index = lost[0]
        verdict.violations.append(
            RuleViolation(
                "answer",
                lost_at - record.started_at,
                (record.routers[router_index].name,),
                f"{len(lost)} taken requests had no answer, though nothing ended them",
            )
        )
    if record.repeated_write_count:
        verdict.violations.append(
            RuleViolation(
                "write",
                record.ended_at - record.started_at,
                (),
                f"{record.repeated_write_count} requests with an effect ran more than once",
            )
        )
    total = sum(clients.answers.values())  # for open-loop clients, the answers to all attempts
    verdict.figures |= {
        "answers": total, "served": clients.answers["200"] / max(1, total), "lost": len(lost),
        "lost_to_faults": len(clients.lost) - len(lost), "writes_twice": record.repeated_write_count,
        "p50_ms": clients.latency_us.get_value_at_percentile(50) / 1000.0,
        "p99_ms": clients.latency_us.get_value_at_percentile(99) / 1000.0,
    }  # fmt: skip


def judge_processes(record: TrialRecord, verdict: Verdict) -> None:
    """Check that no router crashed or logged an internal error."""
    for router_index, exit_code in record.unexpected_exits:
        verdict.violations.append(
            RuleViolation(
                "crash",
                record.ended_at - record.started_at,
                (record.routers[router_index].name,),
                f"ended with {exit_code}",
            )
        )
    for router in record.routers:
        if bug_lines := router.lines("internal_error"):
            verdict.violations.append(
                RuleViolation(
                    "bug",
                    float(bug_lines[0]["at"]) - record.started_at,
                    (router.name,),
                    f"{len(bug_lines)} in its log: {bug_lines[0]}",
                )
            )


def judge_slow_start(record: TrialRecord, verdict: Verdict) -> None:
    """Check that all routers together sent no cold cache more than the rule allows.

    The figure `cold_worst` is relative to that limit: 1.0 reaches it.
    """
    max_ratio = 0.0
    for started_at, cache, requested_at_ms in record.cache_starts:
        peak_at, load_ratio = peak_slow_start_load(
            requested_at_ms, started_at, record.trial.window, record.trial.kb
        )
        if load_ratio > 1.0:
            verdict.violations.append(
                RuleViolation(
                    "cold",
                    peak_at - record.started_at,
                    tuple(router.name for router in record.routers),
                    f"{cache} was sent {load_ratio:.2f} of what it bears",
                )
            )
        max_ratio = max(max_ratio, load_ratio)
    verdict.figures["cold_worst"] = max_ratio


def peak_slow_start_load(
    requested_at_ms: list[float], started_at: float, window_s: float, kb: float
) -> tuple[float, float]:
    """Return when a cache's load in one window peaked, and that load as a fraction of what the rule allows.

    `requested_at_ms`: Unix ms of each request, of `kb` of work each; `started_at`: Unix time of the cache's
    start.
    """
    rules: Any = settings()["rules"]
    work_ms, peak = kb / TRANSFER_KB_PER_S * 1000.0, (started_at, 0.0)
    requested_at = sorted(request_at / 1000.0 for request_at in requested_at_ms)
    for index, request_at in enumerate(requested_at):
        age_s = request_at - started_at
        if age_s > rules["warm_up"] / 1000.0:
            break
        window_work_ms = (
            sum(request_at - window_s < other_at <= request_at for other_at in requested_at[: index + 1])
            * work_ms
        )
        slow_start_fraction = max(0.0, age_s - window_s) / (rules["warm_up"] / 1000.0)
        capacity_fraction = min(1.0, rules["cold_from"] + (1.0 - rules["cold_from"]) * slow_start_fraction)
        load_ratio = window_work_ms / (rules["tip_multiple"] * capacity_fraction * window_s * 1000.0 * WEIGHT)
        if load_ratio > peak[1]:
            peak = request_at, load_ratio
    return peak


def judge_endpoint_list(record: TrialRecord, verdict: Verdict) -> None:
    """Check that a drained cache is not used after its grace period, and that no answer predates a purge."""
    for drain_start, drain_end, cache_id in record.drains:
        grace_ends_at = (
            drain_start
            + setting("rules", "drain_grace") / 1000.0
            + RECORD_DELAY_S
            + _notification_delay_s(record, drain_start)
        )
        late_fetches = [
            fetch
            for fetch in record.depot.received_requests
            if grace_ends_at < fetch.at / 1000.0 < drain_end
            and (fetch.cache == cache_id or fetch.source == f"s-{cache_id:08x}")
        ]
        if late_fetches:
            verdict.violations.append(
                RuleViolation(
                    "drain",
                    late_fetches[0].at / 1000.0 - record.started_at,
                    (),
                    f"s-{cache_id:08x} was asked {len(late_fetches)} times after its grace",
                )
            )
    for purged_at_ms in record.purges:
        delay_s = RECORD_DELAY_S + _notification_delay_s(record, purged_at_ms / 1000.0)
        grace_ms = setting("domain", "heed_within") + delay_s * 1000.0
        if stale_count := record.depot.count_stale_answers(purged_at_ms, grace_ms):
            verdict.violations.append(
                RuleViolation(
                    "purge",
                    purged_at_ms / 1000.0 - record.started_at,
                    (),
                    f"{stale_count} answers were older than it after its grace",
                )
            )


def events_of(record: TrialRecord) -> list[LoadEvent]:
    """Return all events that requests caused, as clients and servers recorded them.

    Their times are seconds since the load began.
    """
    depot, events, seen_ids = record.depot, list[LoadEvent](), set[str]()
    if isinstance(record.clients, OpenLoopClients):
        events += [event._replace(at_s=event.at_s - record.started_at) for event in record.clients.events]
    for fetch in depot.received_requests:
        at_s, request_number = fetch.at / 1000.0 - record.started_at, request_number_of(fetch.txn)
        events.append(LoadEvent(at_s, ATTEMPT, request_number, fetch.cls))
        if fetch.txn in seen_ids:
            events.append(LoadEvent(at_s, REPEAT, request_number, fetch.cls))
        seen_ids.add(fetch.txn)
    if isinstance(depot, LoadedDepot):
        events += [LoadEvent(fetch.at / 1000.0 - record.started_at, FILL if fetch.kind == "fill" else ORIGIN,
                        request_number_of(fetch.txn)) for fetch in depot.fetches]  # fmt: skip
    events += [
        LoadEvent(connected_at_ms / 1000.0 - record.started_at, CONNECT)
        for connected_at_ms in depot.connection_times_ms
    ]
    return [event for event in events if event.at_s >= 0]


def _check_open_loop(record: TrialRecord, clients: OpenLoopClients, verdict: Verdict) -> None:
    """Check how many intended requests were served, and whether service recovered."""
    expects, statistics = record.trial.expects, AmplificationStatistics(events_of(record))
    first_fault_s, last_fault_s = record.trial.span
    worst_second, max_attempts = statistics.worst_second(ATTEMPT)
    recovery_s = statistics.recovery_s(last_fault_s)
    writes = statistics.by_class[WRITE]
    valued_fraction = writes[SERVED] / max(1, writes[INTENDED])
    verdict.figures |= {
        "meant": statistics.intended,
        "served_of_meant": statistics.total(SERVED) / max(1, statistics.intended),
        "valued": valued_fraction,
        "amplification_worst": max_attempts, "origin_worst": statistics.worst_second(ORIGIN)[1],
        "repeats_worst": statistics.worst_second(REPEAT)[1], "recovery_s": recovery_s,
        "origin_stops": len(record.depot.origin_stop_times) if isinstance(record.depot, LoadedDepot) else 0,
    }  # fmt: skip
    if expects.amplification is not None and max_attempts > expects.amplification:
        verdict.violations.append(
            RuleViolation(
                "amplification",
                float(worst_second),
                (),
                f"{max_attempts:.2f} attempts for each request that was meant",
            )
        )
    if expects.recovers_within is not None and recovery_s > expects.recovers_within:
        sustained = ", ".join(
            f"{cause} {ratio:.1f} times"
            for cause, ratio in statistics.sustained_by(last_fault_s, first_fault_s)
        )
        verdict.violations.append(
            RuleViolation("recovery", last_fault_s, (), f"good again after {recovery_s:.1f} s; {sustained}")
        )
    if expects.valued is not None and valued_fraction < expects.valued:
        verdict.violations.append(
            RuleViolation("valued", 0.0, (), f"{valued_fraction:.3f} of the valued class was served")
        )


def _notification_delay_s(record: TrialRecord, event_at: float) -> float:
    """Return the seconds by which an event of that time may arrive late because a change log was cut off."""
    cut_ends = [
        record.started_at + fault.ends
        for fault in record.trial.faults
        if "log" in fault.of and fault.at <= event_at - record.started_at + RECONNECT_S and fault.ends
    ]
    return max(
        0.0,
        min(
            MAX_NOTIFICATION_DELAY_S,
            max((cut_end - event_at + RECONNECT_S for cut_end in cut_ends), default=0.0),
        ),
    )


def setting(section: str, name: str) -> float:
    """Return a value of the trials' settings."""
    table: Any = settings()[section]
    return float(table[name])


def _check_shares(record: TrialRecord, verdict: Verdict) -> None:
    """Check that within any window the shares that routers act upon sum to at most 1."""
    window = record.trial.window
    # start, end (with the window after it), share, router, start of its process
    spans: list[tuple[float, float, float, str, float]] = []
    for router in record.routers:
        for started, ended in router.run_times:
            # After `router_stopped`, the process still logs but sends nothing to caches.
            released_at = min(
                [
                    float(line["at"])
                    for line in router.lines("router_stopped")
                    if started <= float(line["at"]) <= (ended or record.ended_at)
                ],
                default=ended or record.ended_at,
            )
            share_changes = [
                (float(line["at"]), float(line["unleased_fraction"]) / max(1, int(line["fleet_size"])))
                for line in router.lines("gossip_share_changed")
                if started <= float(line["at"]) <= released_at
            ]
            for (changed_at, share), (next_change_at, _) in zip(
                share_changes, [*share_changes[1:], (released_at, 0.0)], strict=True
            ):
                spans.append((changed_at, next_change_at + window, share, router.name, started))
    max_sum, worst_at, worst_routers = 0.0, record.started_at, tuple[str, ...]()
    for changed_at in sorted({span[0] for span in spans}):
        max_shares: dict[tuple[str, float], float] = {}
        for since, until, share, name, process_start in spans:
            if since <= changed_at < until:
                max_shares[name, process_start] = max(max_shares.get((name, process_start), 0.0), share)
        if sum(max_shares.values()) > max_sum:
            max_sum, worst_at, worst_routers = (
                sum(max_shares.values()),
                changed_at,
                tuple(sorted({name for name, _ in max_shares})),
            )
    if max_sum > 1.0 + len(record.routers) * 0.001:  # the log rounds shares to three digits
        verdict.violations.append(
            RuleViolation("shares", worst_at - record.started_at, worst_routers, f"add up to {max_sum:.3f}")
        )
    verdict.figures["rule_worst"] = (
        min(max_sum, 1.0) if max_sum <= 1.0 + len(record.routers) * 0.001 else max_sum
    )


def _check_membership(record: TrialRecord, verdict: Verdict) -> None:
    """Check which routers were declared failed, how soon after their end, and in how many views."""
    expects, index_by_id = (
        record.trial.expects,
        {member_id: router_index for router_index, member_id in enumerate(record.member_ids)},
    )
    false_failures: list[tuple[float, str, str]] = []
    learned_at: dict[tuple[int, str], list[float]] = {}
    generations: dict[tuple[str, int], int] = {}
    for router in record.routers:
        for line in router.lines("gossip_member_changed"):
            changed_at, router_index = float(line["at"]), index_by_id.get(line["member"])
            if router_index is None or changed_at > record.ended_at:
                continue
            is_newer_generation = int(line["generation"]) > generations.get((router.name, router_index), 0)
            generations[router.name, router_index] = max(
                int(line["generation"]), generations.get((router.name, router_index), 0)
            )
            # A newer generation proves that the previous process has ended.
            if line["state"] in ("failed", "gone") or is_newer_generation:
                learned_at.setdefault((router_index, router.name), []).append(changed_at)
            if line["state"] not in ("failed", "gone"):
                continue
            was_running = any(
                since < changed_at - 0.05
                and (ended is None or changed_at < ended)
                and int(line["generation"]) / 1000.0 - record.routers[router_index].shift_at(since)
                >= since - 0.1
                for since, ended in record.routers[router_index].run_times
            )
            if was_running:
                false_failures.append((changed_at, router.name, record.routers[router_index].name))
    if len(false_failures) > expects.false_failed:
        changed_at, observer, member = false_failures[0]
        verdict.violations.append(
            RuleViolation(
                "failed",
                changed_at - record.started_at,
                (observer, member),
                f"{observer} declared {member} over, which was there ({len(false_failures)} in all)",
            )
        )
    delays_s = sorted(_detection_delays_s(record, learned_at))
    verdict.figures |= {
        "false_failed": len(false_failures),
        "detect_p50_ms": _quantile(delays_s, 0.5) * 1000.0,
        "detect_p99_ms": _quantile(delays_s, 0.99) * 1000.0,
    }  # fmt: skip
    _check_views(record, verdict)
    last_fault_s = record.trial.span[1]
    if expects.joined_within is not None:
        join_delay_s = (
            math.inf if record.joined_at is None else record.joined_at - record.started_at - last_fault_s
        )
        verdict.figures["joined_s"] = join_delay_s
        if join_delay_s > join_time_limit_s(
            expects.joined_within, record.routers, record.started_at + last_fault_s, record.trial.window
        ):
            verdict.violations.append(
                RuleViolation(
                    "joined",
                    record.trial.lasts,
                    (),
                    f"all were joined {join_delay_s:.1f} s after the last fault",
                )
            )


def _detection_delays_s(record: TrialRecord, learned_at: dict[tuple[int, str], list[float]]) -> list[float]:
    """Return the seconds from each kill until each router that kept running learned of it.

    Infinite for a router that never did.
    """
    delays_s = []
    for fault_at, _, router_index, action in record.router_faults:
        if action not in ("kill", "restart"):
            continue
        ended_at = next(
            (end for _, end in record.routers[router_index].run_times if end and end >= fault_at), None
        )
        if ended_at is None:
            continue
        for router in record.routers:
            was_running = any(
                start < ended_at - DISCOVERY_S and (end is None or end > ended_at + 10.0)
                for start, end in router.run_times
            )
            if router is record.routers[router_index] or not was_running:
                continue
            delays_s.append(
                min(
                    (
                        known_at - ended_at
                        for known_at in learned_at.get((router_index, router.name), ())
                        if known_at >= ended_at - 0.05
                    ),
                    default=math.inf,
                )
            )
    return delays_s


def _check_views(record: TrialRecord, verdict: Verdict) -> None:
    """Check that no router went through more membership views than expected."""
    expects, max_views, router_name = record.trial.expects, 0, ""
    first_fault_at = record.trial.span[0] + record.started_at
    for router in record.routers:
        started_at = router.run_times[-1][0] if router.run_times else 0.0
        view_count = sum(
            max(first_fault_at, started_at) <= float(line["at"]) <= record.ended_at
            for line in router.lines("gossip_view_changed")
        )
        if view_count > max_views:
            max_views, router_name = view_count, router.name
    verdict.figures["views"] = max_views
    if expects.views is not None and max_views > expects.views:
        verdict.violations.append(
            RuleViolation(
                "views",
                record.trial.lasts,
                (router_name,),
                f"{max_views} views, {expects.views} at the most were expected",
            )
        )


def _quantile(sorted_values: list[float], fraction: float) -> float:
    """Return a quantile of sorted values, 0.0 if there are none."""
    return (
        sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))]
        if sorted_values
        else 0.0
    )

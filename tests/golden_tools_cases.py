"""Helpers shared by the golden tests of the tools: files, and descriptions of the tools' types."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

from stonecove.explore.scope import Scope
from stonecove.explore.search import Found, Frontier, Result
from stonecove.explore.trace import Trace
from stonecove.scale.ledger import Incarnation
from stonecove.scale.options import ScaleOptions
from stonecove.scale.results import Delays
from stonecove.trial.schedule import Fault, Trial

REPOSITORY = Path(__file__).parent.parent
FOLDER = Path(__file__).parent / "golden" / "tools"


def read_json(name: str) -> Any:
    """Return the value of a golden JSON file."""
    return json.loads((FOLDER / name).read_text())


def json_round_trip(value: Any) -> Any:
    """Return a value as it is after it was written to JSON and read back."""
    return json.loads(json.dumps(value))


def write_golden(name: str, content: Any) -> None:
    """Write a golden file: bytes and text as they are, other values as JSON."""
    if isinstance(content, bytes):
        (FOLDER / name).write_bytes(content)
    elif name.endswith(".json"):
        (FOLDER / name).write_text(json.dumps(content, indent=1) + "\n")
    else:
        (FOLDER / name).write_text(content)


def read_golden(name: str) -> Any:
    """Return the content of a golden file: text as it is, JSON decoded."""
    return read_json(name) if name.endswith(".json") else (FOLDER / name).read_bytes().decode()


def json_number(value: float) -> float | str:
    """Return a number, or the name of an infinity, which JSON cannot represent."""
    return value if math.isfinite(value) else "infinity" if value > 0 else "-infinity"


# -- the explorer --


def describe_scope(scope: Scope) -> dict[str, Any]:
    """Return the bounds of an exploration."""
    return {
        "name": scope.name,
        "request_classes": list(scope.requests),
        "caches": scope.caches,
        "parents": scope.parents,
        "attempts": scope.attempts,
        "faults": scope.faults,
        "depth": scope.depth,
        "fault_kinds": list(scope.kinds),
        "answers": list(scope.answers),
        "router_turns_are_steps": scope.fine,
        "clients_hold_copy": scope.seen,
        "cancellation_allowed": scope.cancel,
        "limits_end": scope.relief,
        "targets": list(scope.targets),
        "uncounted_first_steps": list(scope.prefix),
        "note": scope.note,
    }


def describe_trace(trace: Trace) -> dict[str, Any]:
    """Return the meaning of a counterexample."""
    return {
        "scope": describe_scope(trace.scope),
        "seeded_fault": trace.seed,
        "steps": list(trace.steps),
        "property": trace.prop,
        "reason": trace.why,
    }


def describe_violation(found: Found) -> dict[str, Any]:
    """Return a violation with the steps that lead to it."""
    return {"steps": list(found.steps), "property": found.violation.prop, "reason": found.violation.why}


def describe_result(result: Result) -> dict[str, Any]:
    """Return the counts of an exploration that are the same in each run."""
    return {
        "states": result.states,
        "transitions": result.transitions,
        "depth": result.depth,
        "settled": result.settled,
        "complete": result.complete,
        "violations": [describe_violation(violation) for violation in result.found],
    }


def describe_frontier(frontier: Frontier) -> dict[str, Any]:
    """Return the content of a saved frontier without the values of fingerprints."""
    return {
        "visited": len(frontier.visited),
        "sleeping": sorted(sorted(steps) for steps in frontier.sleeping.values()),
        "entries": [
            {
                "steps": list(entry.steps),
                "to_do": list(entry.todo) if entry.todo is not None else None,
                "sleeping": sorted(entry.sleep),
            }
            for entry in frontier.entries
        ],
        "result": describe_result(frontier.result),
    }


# -- scale runs --


def describe_scale_options(options: ScaleOptions) -> dict[str, Any]:
    """Return the options of a scale run."""
    return {
        "sizes": list(options.sizes),
        "caches": options.caches,
        "real_routers": options.real,
        "hollow_routers_per_process": options.hollow_per_process,
        "purges_per_s": options.purges_a_second,
        "day_speed_up": options.day_factor,
        "load_s": options.seconds,
        "faults": list(options.faults),
        "requests_per_s": options.requests_a_second,
        "seed": options.seed,
        "gossip": options.swarm,
        "log_folder": str(options.folder) if options.folder is not None else None,
        "rollout": options.rollout,
    }


def describe_delays(delays: Delays) -> dict[str, Any]:
    """Return the delays of many events."""
    return {"count": delays.count, "p50_ms": delays.p50_ms, "p99_ms": delays.p99_ms, "max_ms": delays.max_ms}


def describe_incarnation(incarnation: Incarnation) -> dict[str, Any]:
    """Return when a router applied each event."""
    return {
        "router": incarnation.router,
        "known_up_to": incarnation.last,
        "began_ns": incarnation.started_at_ns,
        "ended_ns": incarnation.ended_at_ns,
        "repeated": incarnation.repeated,
        "taken_ns": incarnation.applied_at_ns.tolist(),
    }


# -- trials --


def describe_fault(fault: Fault) -> dict[str, Any]:
    """Return one fault of a trial; times in seconds."""
    return {
        "at_s": fault.at,
        "kind": fault.do,
        "routers": list(fault.who),
        "peers": list(fault.to),
        "both_ways": fault.both,
        "ends_s": fault.ends,
        "loss": fault.lose,
        "delay_s": list(fault.delay),
        "repetition": fault.repeat,
        "cache": fault.cache,
        "servers": list(fault.of),
        "clock_shift_s": fault.shift,
        "factor": fault.factor,
        "in_words": fault.summary(),
    }


def describe_trial(trial: Trial) -> dict[str, Any]:
    """Return a trial; times in seconds."""
    clients, capacity, expects = trial.open_loop, trial.bears, trial.expects
    return {
        "title": trial.title,
        "routers": trial.routers,
        "caches": trial.caches,
        "load_s": trial.lasts,
        "join_s": trial.joins,
        "requests_per_s": trial.rate,
        "write_fraction": trial.writes,
        "read_kb": trial.kb,
        "slow_start_window_s": trial.window,
        "gossip": trial.swarm,
        "routers_of_one_name": list(trial.twins),
        "zones": [trial.zone(index) for index in range(trial.routers)],
        "clocks_ahead_s": list(trial.ahead),
        "open_loop_clients": None
        if clients is None
        else {
            "tries": clients.tries,
            "patience_s": clients.timeout_s,
            "respect_retry_after": clients.obeys_retry_after,
            "items": clients.items,
            "read_kb": clients.kb,
            "write_fraction": clients.writes,
        },
        "capacity": None
        if capacity is None
        else {
            "origin_fetches_per_s": capacity.origin_per_s,
            "request_work_s": capacity.work_s,
            "places": capacity.slots,
            "parent_places": capacity.parent_slots,
            "patience_s": capacity.max_wait_s,
            "origin_stops_s": capacity.stop_s,
        },
        "faults": [describe_fault(fault) for fault in trial.faults],
        "faults_span_s": list(trial.span),
        "server_ways_break": trial.relayed,
        "expected": {
            "false_failed": expects.false_failed,
            "lost": expects.lost,
            "views": expects.views,
            "joined_within_s": expects.joined_within,
            "amplification": expects.amplification,
            "recovers_within_s": expects.recovers_within,
            "valued_fraction": expects.valued,
        },
    }

"""What the golden data on the tools share: folders, and descriptions of what the tools read and write."""

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

ROOT = Path(__file__).parent.parent
FOLDER = Path(__file__).parent / "golden" / "tools"


def load(name: str) -> Any:
    """Return what a golden JSON file holds."""
    return json.loads((FOLDER / name).read_text())


def as_json(found: Any) -> Any:
    """Return what a JSON file would give back."""
    return json.loads(json.dumps(found))


def write(name: str, found: Any) -> None:
    """Write a golden file: bytes and text as they are, all else as JSON."""
    if isinstance(found, bytes):
        (FOLDER / name).write_bytes(found)
    elif name.endswith(".json"):
        (FOLDER / name).write_text(json.dumps(found, indent=1) + "\n")
    else:
        (FOLDER / name).write_text(found)


def recorded(name: str) -> Any:
    """Return what a golden file holds: text as it is, JSON decoded."""
    return load(name) if name.endswith(".json") else (FOLDER / name).read_bytes().decode()


def finite(value: float) -> float | str:
    """Return a number as JSON can hold it."""
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


def describe_found(found: Found) -> dict[str, Any]:
    """Return a violation with the steps that lead to it."""
    return {"steps": list(found.steps), "property": found.violation.prop, "reason": found.violation.why}


def describe_result(result: Result) -> dict[str, Any]:
    """Return what an exploration counted, without what differs from run to run."""
    return {
        "states": result.states,
        "transitions": result.transitions,
        "depth": result.depth,
        "settled": result.settled,
        "complete": result.complete,
        "violations": [describe_found(one) for one in result.found],
    }


def describe_frontier(front: Frontier) -> dict[str, Any]:
    """Return all that a saved frontier holds, but the fingerprints' values."""
    return {
        "visited": len(front.visited),
        "sleeping": sorted(sorted(steps) for steps in front.sleeping.values()),
        "entries": [
            {
                "steps": list(one.steps),
                "to_do": list(one.todo) if one.todo is not None else None,
                "sleeping": sorted(one.sleep),
            }
            for one in front.entries
        ],
        "result": describe_result(front.result),
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


def describe_life(life: Incarnation) -> dict[str, Any]:
    """Return when a router took each event in force."""
    return {
        "router": life.router,
        "known_up_to": life.last,
        "began_ns": life.started_at_ns,
        "ended_ns": life.ended_at_ns,
        "repeated": life.repeated,
        "taken_ns": life.applied_at_ns.tolist(),
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
        "zones": [trial.zone(place) for place in range(trial.routers)],
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
        "faults": [describe_fault(one) for one in trial.faults],
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

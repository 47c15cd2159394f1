"""Lines and branches of the core that an exploration has executed, and why the others were not."""

from __future__ import annotations

import ast
import json
import re
import tempfile
from collections.abc import Iterator
from pathlib import Path

import coverage

import stonecove
from stonecove.explore import runner
from stonecove.explore.properties import PROPERTIES
from stonecove.explore.scope import SMALL, WALK
from stonecove.explore.search import Options, WorkerPool
from stonecove.explore.trace import simulation_start
from stonecove.explore.walk import Walks, walk

ROOT = Path(stonecove.__file__).parent
CORE = (
    "routing/candidates.py",
    "routing/class_statistics.py",
    "routing/director.py",
    "routing/dispatch.py",
    "routing/endpoint_table.py",
    "routing/hedging.py",
    "routing/in_flight.py",
    "routing/link_load.py",
    "routing/outcomes.py",
    "routing/outlier_detection.py",
    "routing/popularity.py",
    "routing/purges.py",
    "routing/rendezvous.py",
    "routing/router_share.py",
    "routing/slow_start.py",
    "routing/state.py",
    "routing/stored_copies.py",
    "exchange.py",
    "runtime/timers.py",
    "state/budget.py",
    "state/nodes.py",
    "state/requests.py",
    "pipeline/admit.py",
    "pipeline/book.py",
    "pipeline/intake.py",
    "pipeline/relay.py",
    "pipeline/route.py",
    "pipeline/send.py",
    "protocols/buffer.py",
    "protocols/change_log.py",
    "protocols/upstream_channel.py",
    "protocols/fastcgi/codec.py",
    "frontends/fastcgi.py",
    "protocols/resp.py",
    "protocols/fastcgi/session.py",
)

# Why lines of a function may stay unreached; the first matching entry applies.
REASONS: tuple[tuple[str, str, str], ...] = (
    (
        "routing/popularity.py",
        "record_request|_evict_less_popular_half|_rescale|_rebuild_ranks|cache_rank|is_admitted|byte_share",
        "popularity of thousands of requests; a scope has two, a walk hundreds",
    ),
    ("routing/candidates.py", "caches|_replicas", "popularity of thousands of requests"),
    ("routing/candidates.py", "has_copy|_is_congested|is_zone_link_congested", "load of a congested link"),
    ("routing/stored_copies.py", "record", "load of a congested link; covered by the benchmark days"),
    ("routing/link_load.py", "estimate_capacity|expected_slowdown", "load of a congested link"),
    ("routing/link_load.py", "resize", "settings that change: tests/test_director_reconfiguration.py"),
    (
        "routing/slow_start.py",
        "capacity_fraction|admits|charge|should_request_lease|forget_removed",
        "a slow-start budget that is used up takes more requests than a scope has",
    ),
    (
        "routing/director.py",
        "_on_endpoint_list|_on_request|Director.__init__|handle",
        "polled lists and unknown classes, which only the simulator has",
    ),
    (
        "routing/director.py",
        "_on_settings|_on_fleet_size",
        "settings that change, and numbers of routers: tests/test_director_reconfiguration.py",
    ),
    ("routing/director.py", "_on_lease_terms|_on_lease_granted", "leases: the machine of explore.fleet"),
    ("routing/state.py", "enable_leases|forget_removed", "leases: the machine of explore.fleet"),
    (
        "routing/state.py",
        "reconfigure|link_share",
        "settings that change: tests/test_director_reconfiguration.py",
    ),
    ("routing/hedging.py", "limit|try_spend", "leases: the machine of explore.fleet"),
    (
        "routing/class_statistics.py",
        "configure|is_starved",
        "settings that change: tests/test_director_reconfiguration.py",
    ),
    ("routing/purges.py", "configure|_sweep", "settings that change: tests/test_director_reconfiguration.py"),
    (
        "routing/dispatch.py",
        "_send|_is_allowed|_may_repeat|_max_age_ms|_fetch_mode|_fits_budget",
        "slow-start budgets, no hedging, stale times",
    ),
    ("routing/director.py", "_on_attempt_ended", "guards against late events, which the stages never send"),
    ("exchange.py", "__init__", "bad requests: tests/test_router.py"),
    (
        "runtime/timers.py",
        "next_due|_run_callback",
        "a timer callback that raises; covered by planted faults and tests",
    ),
    ("pipeline/book.py", "attempt_ended", "second guard against a second end: every caller checks first"),
    (
        "pipeline/relay.py",
        "answer",
        "second guard against a second answer; reached by nocancel at its full depth",
    ),
    (
        "pipeline/relay.py",
        "corruption_reason|_rejection_reason",
        "long bodies and wrong tags: tests/test_router.py",
    ),
    ("pipeline/route.py", "submit", "when memory is exhausted, the codec rejects requests before the stages"),
    ("pipeline/route.py", "_handle_event", "an error in the decisions; covered by planted faults"),
    (
        "pipeline/route.py",
        "_backstop|_send_attempt",
        "last guard: the decision module answers first; reached by SIGTERM at full depth",
    ),
    ("pipeline/route.py", "expire", "reached by the scope `stopped` at its full depth"),
    (
        "pipeline/send.py",
        "can_take|_assign|handle_response|handle_closed",
        "full connections, short arrays: tests/test_router.py",
    ),
    ("protocols/change_log.py", "take", "empty frames and unknown kinds: tests/test_router.py"),
    (
        "protocols/upstream_channel.py",
        "_flush",
        "a last check that skips to the next command; reached by drain at full depth",
    ),
    (
        "protocols/fastcgi/session.py",
        "_dispatch_request|_flush",
        "bad requests, and disconnected clients: tests/test_router.py",
    ),
    (
        "protocols/change_log.py",
        "parse_member|_index_of|known_events|_accept_gap|frames|_members|_frame",
        "the initial JSON, and broken frames: tests/test_router.py",
    ),
    (
        "protocols/fastcgi/session.py",
        "expire_overdue|idle|has_no_open_work|_close_when_answered|received|_queue_control_record",
        "slow and bad clients: tests/test_router.py",
    ),
    ("frontends/fastcgi.py", "", "bad requests and /status/live: tests/test_router.py"),
    ("pipeline/intake.py", "", "bad requests: tests/test_router.py"),
    ("protocols/fastcgi/codec.py", "", "covered by the codec machine, or limits of many requests"),
    ("protocols/resp.py", "", "covered by the codec machine"),
    ("protocols/buffer.py", "", "large buffers: tests/test_router.py"),
    (
        "pipeline/admit.py",
        "",
        "a whole core is never overdrawn by waiting in the scopes; covered by the load day",
    ),
    ("", "reconfigure", "settings that change: tests/test_settings_reload.py"),
    ("", "__len__|log_statistics|stats", "reported counts"),
)


def _enclosing_functions(path: Path) -> dict[int, str]:
    """Return the enclosing function of each line."""
    found: dict[int, str] = {}
    stack: list[tuple[int, str]] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        indent = len(line) - len(line.lstrip())
        if line.strip():
            while stack and stack[-1][0] >= indent:
                stack.pop()
            if match := re.match(r"\s*(?:async )?(?:def|class) (\w+)", line):
                stack.append((indent, match[1]))
        found[number] = ".".join(name for _, name in stack)
    return found


def import_time_lines(path: Path) -> set[int]:
    """Return the lines that run at import, which happens before the exploration."""
    found: set[int] = set()
    waiting: list[ast.stmt] = list(ast.parse(path.read_text()).body)
    while waiting:
        node = waiting.pop()
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
            found |= {node.lineno, *(decorator.lineno for decorator in node.decorator_list)}
            continue
        if isinstance(node, ast.ClassDef):
            found |= {node.lineno, *(decorator.lineno for decorator in node.decorator_list)}
            waiting += node.body
            continue
        found |= set(range(node.lineno, (node.end_lineno or node.lineno) + 1))
    return found


def reason(file: str, function: str) -> str:
    """Return why lines of a function were not reached; empty if no reason is recorded."""
    for path, names, why in REASONS:
        if path in ("", file) and (not names or re.search(rf"(^|\.)({names})$", function)):
            return why
    return ""


def report(depth: int, lines: bool) -> Iterator[str]:
    """Explore the small scopes to that depth and some walks under coverage; yield the lines of the report."""
    yield "Properties:"
    for prop in PROPERTIES.values():
        yield f"  {prop.name:18} {prop.text} [{prop.source}]"
    yield "Hard cases, and the scope that holds each:"
    for case, scope_name in HARD_CASES.items():
        yield f"  {scope_name:10} {case}"
    cover = coverage.Coverage(data_file=None, branch=True, include=[str(ROOT / name) for name in CORE])
    cover.start()
    try:
        with WorkerPool(1) as pool:
            for scope in SMALL:
                runner.explore(scope.with_bounds(depth=min(depth, scope.depth)), pool, Options())
            runner.explore_channel(pool)
        runner.explore_codecs()
        done = Walks()
        for chance in range(3):
            walk(simulation_start(WALK), WALK, chance, 1500, done)
    finally:
        cover.stop()
    total_lines = total_missed = 0
    unexplained: list[str] = []
    for name in CORE:
        path = ROOT / name
        _, statements, _, missing, _ = cover.analysis2(str(path))
        imported = import_time_lines(path)
        statements = [line for line in statements if line not in imported]
        missing = [line for line in missing if line not in imported]
        total_lines += len(statements)
        total_missed += len(missing)
        yield f"{name:20} {len(statements) - len(missing):4} of {len(statements):4} lines"
        functions = _enclosing_functions(path)
        by_function: dict[str, list[int]] = {}
        for line in missing:
            by_function.setdefault(functions.get(line, ""), []).append(line)
        for function, numbers in by_function.items():
            why = reason(name, function)
            if not why:
                unexplained.append(f"{name}:{function}")
            if lines:
                yield f"    {function}: {', '.join(map(str, numbers))}: {why or 'NO REASON ON RECORD'}"
    branches, taken = _branches(cover)
    yield (
        f"lines={total_lines} missed={total_missed} branches={branches} taken={taken} "
        f"unexplained={len(unexplained)}"
    )


def _branches(cover: coverage.Coverage) -> tuple[int, int]:
    """Return the number of branches of the core, and how many of them were taken."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "report.json")
        cover.json_report(outfile=str(path))
        totals = json.loads(path.read_text())["totals"]
    return int(totals["num_branches"]), int(totals["covered_branches"])


HARD_CASES = {
    "a cancel that crosses a late answer": "hedge",
    "a drain that arrives during a fill, of the cache": "drain",
    "a drain that arrives during a fill, of its source": "drain",
    "a hedge won in the moment the first attempt is reset": "hedge",
    "a client abort between first byte and answer": "clients",
    "a purge between order and first byte": "purge",
    "an id replaced at the same address with bytes in flight": "drain",
    "SIGTERM while a pick-confirm is half written": "stop",
    "deadline, cut-off timer and answer in one instant": "deadline",
}
# Steps that produce each hard case; the tests replay them and check that the exploration takes them.
HARD_STEPS: dict[str, tuple[str, ...]] = {
    "a cancel that crosses a late answer": (
        "ask 0",
        "up c1.0",
        "wait",
        "fire",
        "up c1.1",
        "hit c1.1 0",
        "hit c1.0 0",
    ),
    "a drain that arrives during a fill, of the cache": ("ask 0", "up c1.0", "drain c1", "filled c1.0 0"),
    "a drain that arrives during a fill, of its source": ("ask 0", "up c1.0", "drain p1", "filled c1.0 0"),
    "a hedge won in the moment the first attempt is reset": (
        "ask 0",
        "up c1.0",
        "wait",
        "fire",
        "up c1.1",
        "reset c1.0",
        "hit c1.0 0",
    ),
    "a client abort between first byte and answer": ("ask 0", "decide", "up c1.0", "abort 0", "hit c1.0 0"),
    "a purge between order and first byte": ("ask 0", "purge", "up c2.0", "hit c2.0 0"),
    "an id replaced at the same address with bytes in flight": (
        "ask 0",
        "choke20 c1.0",
        "up c1.0",
        "replace c1",
        "up n1.0",
    ),
    "SIGTERM while a pick-confirm is half written": (
        "ask 0",
        "choke20 c1.0",
        "up c1.0",
        "term",
        "flush c1.0",
    ),
    "deadline, cut-off timer and answer in one instant": (
        "ask 0",
        "up c1.0",
        "wait",
        "fire",
        "wait",
        "fire",
        "wait",
        "hit c1.0 0",
        "fire",
    ),
}

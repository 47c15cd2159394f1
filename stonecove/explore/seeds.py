"""Planted one-line faults: an explorer that does not find them proves nothing.

Each fault names a function of the program and one piece of its source to replace. The function is recompiled
from the changed source and replaces the original in this process only; the files do not change.
"""

from __future__ import annotations

import inspect
import sys
import textwrap
from typing import Any, NamedTuple

from stonecove.explore import seeds_coordination, seeds_fleet, seeds_swarm
from stonecove.pipeline import admit, book, relay, route, send
from stonecove.protocols import change_log, resp, upstream_channel
from stonecove.protocols.fastcgi import codec as fastcgi
from stonecove.protocols.fastcgi import session
from stonecove.routing.director import Director
from stonecove.routing.dispatch import AttemptDispatcher
from stonecove.routing.purges import PurgeHistory
from stonecove.state import nodes, requests


class Seed(NamedTuple):
    """A planted fault: its function, the replacement, and the scopes in which it is searched for."""

    name: str
    owner: Any
    function: str
    old: str
    new: str
    scopes: tuple[str, ...]
    breaks: str  # the property that it must violate
    also: str = ""  # another fault planted with it, for a guard that only matters once something else fails


_CORE_SEEDS: tuple[Seed, ...] = (
    Seed(
        "first-answer-guard-gone",
        relay.Relay,
        "answer",
        "if request.answered:",
        "if False:",
        ("nocancel",),
        "one-answer",
    ),
    Seed(
        "left-not-noted",
        relay.Relay,
        "client_disconnected",
        "request.answered = True",
        "request.answered = False",
        ("hedge", "clients"),
        "decided",
    ),
    Seed(
        "wrong-copy-passed-on",
        relay.Relay,
        "handle_reply",
        "(reason := self._rejection_reason(attempt, reply))",
        "(reason := '')",
        ("purge",),
        "no-purged",
    ),
    Seed(
        "age-of-class-forgotten",
        relay.Relay,
        "_max_age_ms",
        "attempt.action.max_age_ms or cls.fresh_ms",
        "0.0",
        ("page",),
        "not-too-old",
    ),
    Seed(
        "unknown-word-passed-on",
        relay.Relay,
        "corruption_reason",
        "if reply.status not in OUTCOMES:",
        "if False:",
        ("confirm",),
        "no-slip",
    ),
    Seed(
        "last-look-gone",
        send.Send,
        "begin",
        "if not self.can_send(attempt):",
        "if False:",
        ("keyed",),
        "no-repeat",
    ),
    Seed(
        "target-not-looked-at",
        send.Send,
        "can_send",
        "or not self._nodes.is_ready(action.node_id)\n",
        "or not self._nodes.is_listed(action.node_id)\n",
        ("drain",),
        "no-drained",
    ),
    Seed(
        "source-not-looked-at",
        send.Send,
        "can_send",
        "action.source_id != action.node_id and not self._nodes.is_ready(action.source_id)",
        "False",
        ("drain",),
        "no-drained-source",
    ),
    Seed(
        "reset-told-as-never-run",
        send.Send,
        "handle_closed",
        "Outcome.RESET if attempt.written_at_ms else unsent_outcome",
        "unsent_outcome",
        ("confirm",),
        "run-is-run",
    ),
    Seed(
        "unwritten-told-as-reset",
        send.Send,
        "handle_closed",
        "Outcome.RESET if attempt.written_at_ms else unsent_outcome",
        "Outcome.RESET",
        ("links", "confirm"),
        "unrun-is-unrun",
    ),
    Seed(
        "late-told-as-never-run",
        send.Send,
        "late",
        "Outcome.TIMEOUT if attempt.written_at_ms else Outcome.CONNECT_FAILED",
        "Outcome.CONNECT_FAILED",
        ("deadline",),
        "run-is-run",
    ),
    Seed(
        "written-moved-to-another",
        send.Send,
        "handle_closed",
        "and not attempt.written_at_ms and",
        "and",
        ("confirm",),
        "no-repeat",
        also="written-twice-on-the-way-back",
    ),
    Seed(
        "written-twice-on-the-way-back",
        send.FetchCommand,
        "is_superseded",
        "or attempt.written_at_ms > 0",
        "",
        ("keyed",),
        "one-id",
    ),
    Seed(
        "cancel-forgets-abort",
        send.Send,
        "cancel",
        "connection.channel.enqueue(AbortCommand(attempt.request.client_request.txn))",
        "pass",
        ("hedge",),
        "cancelled",
    ),
    Seed(
        "link-taken-twice",
        send.NodeConnection,
        "can_take",
        "txn in self.answered_ids",
        "False",
        ("confirm",),
        "run-is-run",
    ),
    Seed(
        "link-kept-after-end",
        send.Send,
        "handle_closed",
        "connections.remove(connection)",
        "pass",
        ("links",),
        "no-leak",
    ),
    Seed(
        "answer-not-unlinked",
        send.Send,
        "_detach",
        "connection.attempts.pop(attempt.request.client_request.txn, None)",
        "pass",
        ("links",),
        "ends",
    ),
    Seed(
        "gone-keeps-connections",
        send.Send,
        "close_outdated",
        "connection.channel.close()",
        "pass",
        ("drain",),
        "gone-closed",
    ),
    Seed(
        "purge-not-marked",
        route.Route,
        "handle_membership_event",
        "attempt.purged |=",
        "_ =",
        ("purge",),
        "no-purged",
    ),
    Seed(
        "backstop-not-set",
        route.Route,
        "submit",
        "request.backstop_timer = self._timers.call_at(\n"
        "        request.deadline_ms + BACKSTOP_MS, partial(self._backstop, request)\n"
        "    )",
        "pass",
        ("confirm", "hedge"),
        "in-time",
        also="given-up-unanswered",
    ),
    Seed(
        "left-not-posted",
        route.Route,
        "client_disconnected",
        "self.post(ClientDisconnected(request.request_id))",
        "pass",
        ("clients",),
        "cancelled",
    ),
    Seed(
        "end-told-twice",
        book.AttemptRecorder,
        "attempt_ended",
        "self.close_if_complete(request)",
        "self.close_if_complete(request); self._post(AttemptEnded(request.request_id, attempt.number, "
        "action.node_id, outcome, duration_ms, request.answered, cache_status, waited_ms, load))",
        ("answers",),
        "ends-once",
    ),
    Seed(
        "first-byte-lost",
        relay.Relay,
        "handle_reply",
        "reply.body,\n",
        "reply.body[1:],\n",
        ("answers",),
        "as-made",
    ),
    Seed(
        "id-open-twice",
        send.NodeConnection,
        "can_take",
        "or txn in self.attempts\n",
        "\n",
        ("limits",),
        "one-id",
    ),
    Seed(
        "no-connection-not-looked-at",
        send.Send,
        "_assign",
        "if connection is None:",
        "if False:",
        ("limits",),
        "no-slip",
    ),
    Seed(
        "alarm-not-taken-off",
        book.AttemptRecorder,
        "attempt_ended",
        "attempt.deadline_timer.cancel()",
        "attempt.ended = False",
        ("hedge", "deadline"),
        "ends-once",
    ),
    Seed(
        "closed-too-late",
        book.AttemptRecorder,
        "close_if_complete",
        "if request.answered and",
        "if False and",
        ("hedge",),
        "ends",
    ),
    Seed(
        "given-back-twice",
        admit.Admit,
        "close_request",
        "if self._requests.remove(request.request_id, now_ms):",
        "if self._requests.remove(request.request_id, now_ms) or True:",
        ("links",),
        "no-leak",
    ),
    Seed(
        "set-aside-for-good",
        admit.Admit,
        "close_request",
        "self._budget.release(request.reserved_bytes)",
        "pass",
        ("hedge",),
        "no-leak",
    ),
    Seed(
        "no-margin-before-the-limit",
        admit.Admit,
        "open_request",
        "min(client_request.timeout_ms, self._max_wait_ms) - RESPONSE_MARGIN_MS",
        "min(client_request.timeout_ms, self._max_wait_ms) + RESPONSE_MARGIN_MS",
        ("deadline",),
        "in-time",
    ),
    Seed(
        "ids-kept",
        requests.OpenRequests,
        "remove",
        "del self._by_txn[txn]",
        "pass",
        ("hedge",),
        "no-leak",
    ),
    Seed(
        "draining-counts-as-ready",
        nodes.NodeTable,
        "is_ready",
        "member.node.state is NodeState.READY",
        "True",
        ("drain",),
        "no-drained",
    ),
    Seed(
        "change-taken-for-the-whole",
        change_log.Follower,
        "take",
        "if frame.number <= self.last:",
        "if False:",
        ("log",),
        "log-followed",
    ),
    Seed(
        "gap-not-noticed",
        change_log.Follower,
        "take",
        "(frame.number > self.last + 1 or frame.error) and",
        "False and",
        ("log",),
        "log-followed",
    ),
    Seed(
        "unwritten-not-told",
        upstream_channel.Channel,
        "_write_command",
        "command.unwritten()",
        "pass",
        ("links", "confirm"),
        "unrun-is-unrun",
    ),
    Seed(
        "rest-forgotten",
        upstream_channel.Channel,
        "_write_command",
        "self._pending_write = self._pending_write[sent:]",
        "self._pending_write = b''",
        ("links", "confirm"),
        "order-kept",
    ),
    Seed(
        "end-not-looked-for",
        upstream_channel.Channel,
        "_peer_has_closed",
        "self.close()",
        "return False",
        ("idle",),
        "not-into-ended",
    ),
    Seed(
        "stray-taken-as-owed",
        send.Send,
        "handle_response",
        "attempt = connection.attempts.get(txn)",
        "attempt = connection.attempts.get(txn) or next(iter(connection.attempts.values()), None)",
        ("links", "confirm"),
        "run-is-run",
    ),
    Seed(
        "repeat-whatever-class",
        AttemptDispatcher,
        "_may_repeat",
        "if settings.idempotency is Idempotency.IDEMPOTENT or first is None:",
        "if True:",
        ("confirm", "keyed"),
        "no-repeat",
    ),
    Seed(
        "window-forgotten",
        AttemptDispatcher,
        "_may_repeat",
        "now_ms - first.sent_ms >= settings.deduplication_window_ms",
        "False",
        ("keyed",),
        "no-repeat",
        also="window-passes-while-it-waits",
    ),
    Seed(
        "window-passes-while-it-waits",
        send.Send,
        "_deduplication_window_passed",
        "cls.idempotency is Idempotency.IDEMPOTENCY_KEY and",
        "False and",
        ("keyed",),
        "no-repeat",
    ),
    Seed(
        "group-forgotten",
        AttemptDispatcher,
        "_may_repeat",
        "cache.cell == other.cell",
        "True",
        ("keyed",),
        "no-repeat",
    ),
    Seed(
        "error-proves-nothing-ran",
        Director,
        "_on_attempt_ended",
        "attempt.may_have_run = event.outcome not in PROVEN_NOT_EXECUTED",
        "attempt.may_have_run = event.outcome is Outcome.TIMEOUT",
        ("confirm", "keyed"),
        "no-repeat",
    ),
    Seed(
        "refused-though-it-may-have-run",
        Director,
        "_is_retry_harmless",
        "if settings.idempotency is Idempotency.IDEMPOTENT:",
        "if True:",
        ("confirm",),
        "harmless-refusal",
    ),
    Seed(
        "more-attempts-than-allowed",
        AttemptDispatcher,
        "_is_allowed",
        "if len(in_flight.attempts) >= state.settings.max_attempts:",
        "if False:",
        ("answers", "links"),
        "allowed-attempts",
    ),
    Seed(
        "nothing-called-off",
        Director,
        "_close",
        "if self.state.settings.cancellation_allowed:",
        "if False:",
        ("hedge",),
        "cancelled",
    ),
    Seed(
        "given-up-unanswered",
        Director,
        "_on_attempt_ended",
        "self._give_up(in_flight)",
        "pass",
        ("confirm", "answers"),
        "decided",
    ),
    Seed(
        "load-not-taken-off",
        AttemptDispatcher,
        "release",
        "attempt.cache_load.in_flight -= 1",
        "pass",
        ("hedge",),
        "no-leak",
    ),
    Seed(
        "purges-forgotten",
        PurgeHistory,
        "max_age_ms",
        "now_ms - purged_ms >= self._retention_ms",
        "True",
        ("purge",),
        "no-purged",
    ),
    Seed(
        "end-before-it-is-sent",
        session.Session,
        "_next_chunk",
        "self._decoder.open.discard(ident)",
        "pass",
        ("hedge", "clients"),
        "no-leak",
    ),
    Seed(
        "abort-not-passed-on",
        fastcgi.Decoder,
        "_handle_record",
        "yield Aborted(ident)",
        "pass",
        ("hedge", "clients"),
        "none-to-left",
    ),
    Seed(
        "length-line-without-end",
        resp.Decoder,
        "_number",
        "if len(buffer) >= MAX_LENGTH_LINE_BYTES:",
        "if False:",
        ("codecs",),
        "bounded",
    ),
    Seed(
        "bulk-cut-short",
        resp.Decoder,
        "arrays",
        "if len(buffer) < self._bulk_length + 2:",
        "if len(buffer) < self._bulk_length:",
        ("codecs",),
        "same-split",
    ),
    Seed(
        "body-without-bound",
        fastcgi.Decoder,
        "_handle_record",
        "if len(request.body) + len(content) > MAX_BODY_BYTES:",
        "if False:",
        ("codecs",),
        "bounded",
    ),
    Seed(
        "padding-left", fastcgi.Decoder, "events", "buffer.skip(padding)", "pass", ("codecs",), "legal-read"
    ),
    Seed(
        "begin-unchecked",
        fastcgi.Decoder,
        "_begin",
        "if len(content) < _BEGIN.size:",
        "if False:",
        ("codecs",),
        "clean-error",
    ),
    Seed(
        "told-twice",
        upstream_channel.Channel,
        "close",
        "self._stop()",
        "self._stop(); self._owner.closed(self, '')",
        ("channel",),
        "told-once",
    ),
    Seed(
        "queue-turned-round",
        upstream_channel.Channel,
        "_write_command",
        "self._queue.appendleft(command)",
        "self._queue.append(command)",
        ("channel",),
        "order-kept",
    ),
)


_MACHINE_SEEDS = tuple(
    Seed(*fault) for fault in seeds_coordination.FAULTS + seeds_fleet.FAULTS + seeds_swarm.FAULTS
)
SEEDS: tuple[Seed, ...] = _CORE_SEEDS + tuple(seed for seed in _MACHINE_SEEDS if seed.breaks)
HELPERS: tuple[Seed, ...] = tuple(
    seed for seed in _MACHINE_SEEDS if not seed.breaks
)  # planted only together with others


class SeedError(Exception):
    """The source that a fault replaces does not occur exactly once."""


def by_name(name: str) -> Seed:
    """Return the fault of that name; raises KeyError."""
    for seed in SEEDS + HELPERS:
        if seed.name == name:
            return seed
    raise KeyError(name)


_planted: list[tuple[Any, str, Any]] = []


def plant(name: str) -> None:
    """Plant a fault in the loaded code in place of the previous one; an empty name only removes that."""
    while _planted:
        owner, function, original = _planted.pop()
        setattr(owner, function, original)
    if not name:
        return
    seed = by_name(name)
    if seed.also:
        plant(seed.also)
    _plant(seed)


def _function_of(seed: Seed) -> tuple[Any, Any]:
    """Return the owner's attribute of that name, and the plain function within it."""
    attribute = inspect.getattr_static(seed.owner, seed.function)
    return attribute, attribute.__func__ if isinstance(attribute, (staticmethod, classmethod)) else attribute


def _source_of(function: Any) -> str:
    return textwrap.dedent(inspect.getsource(function))


def occurrences(seed: Seed) -> int:
    """Return how often the text to replace occurs in the seed's function; it must be 1 to be planted."""
    return _source_of(_function_of(seed)[1]).count(seed.old)


def _plant(seed: Seed) -> None:
    original, plain = _function_of(seed)
    source = _source_of(plain)
    if source.count(seed.old) != 1:
        raise SeedError(f"{seed.name}: {seed.old!r} occurs {source.count(seed.old)} times in {seed.function}")
    source = source.replace(seed.old, seed.new)
    namespace: dict[str, Any] = {}
    exec(compile(source, f"<{seed.name}>", "exec"), vars(sys.modules[plain.__module__]), namespace)
    setattr(seed.owner, seed.function, namespace[seed.function])
    _planted.append((seed.owner, seed.function, original))

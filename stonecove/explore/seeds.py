"""Faults of one line, put into the loaded code on purpose: an explorer that does not find them proves
nothing.

Each names a function of the program and one piece of its text to be replaced. The function is compiled anew
from the changed text and put in place of the old one, in this process only; the files stay as they are.
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
    """A fault: where, what is replaced by what, and where it is looked for."""

    name: str
    owner: Any
    function: str
    old: str
    new: str
    scopes: tuple[str, ...]
    breaks: str  # the property that it is to break
    also: str = (
        ""  # another fault that is planted with it, where a guard only matters once something else fails
    )


_CORE: tuple[Seed, ...] = (
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
        "left",
        "request.answered = True",
        "request.answered = False",
        ("hedge", "clients"),
        "decided",
    ),
    Seed(
        "wrong-copy-passed-on",
        relay.Relay,
        "arrived",
        "(wrong := self._wrong(attempt, reply))",
        "(wrong := '')",
        ("purge",),
        "no-purged",
    ),
    Seed(
        "age-of-class-forgotten",
        relay.Relay,
        "_oldest",
        "attempt.order.max_age_ms or cls.fresh_ms",
        "0.0",
        ("page",),
        "not-too-old",
    ),
    Seed(
        "unknown-word-passed-on",
        relay.Relay,
        "spoilt",
        "if reply.word not in OUTCOMES:",
        "if False:",
        ("confirm",),
        "no-slip",
    ),
    Seed(
        "last-look-gone",
        send.Send,
        "begin",
        "if not self.may_go(attempt):",
        "if False:",
        ("keyed",),
        "no-repeat",
    ),
    Seed(
        "target-not-looked-at",
        send.Send,
        "may_go",
        "or not self._nodes.ready(order.node_id)\n",
        "or not self._nodes.lists(order.node_id)\n",
        ("drain",),
        "no-drained",
    ),
    Seed(
        "source-not-looked-at",
        send.Send,
        "may_go",
        "order.source_id != order.node_id and not self._nodes.ready(order.source_id)",
        "False",
        ("drain",),
        "no-drained-source",
    ),
    Seed(
        "reset-told-as-never-run",
        send.Send,
        "down",
        "Outcome.RESET if attempt.written_at else unseen",
        "unseen",
        ("confirm",),
        "run-is-run",
    ),
    Seed(
        "unwritten-told-as-reset",
        send.Send,
        "down",
        "Outcome.RESET if attempt.written_at else unseen",
        "Outcome.RESET",
        ("links", "confirm"),
        "unrun-is-unrun",
    ),
    Seed(
        "late-told-as-never-run",
        send.Send,
        "late",
        "Outcome.TIMEOUT if attempt.written_at else Outcome.CONNECT_FAILED",
        "Outcome.CONNECT_FAILED",
        ("deadline",),
        "run-is-run",
    ),
    Seed(
        "written-moved-to-another",
        send.Send,
        "down",
        "and not attempt.written_at and",
        "and",
        ("confirm",),
        "no-repeat",
        also="written-twice-on-the-way-back",
    ),
    Seed(
        "written-twice-on-the-way-back",
        send.Fetch,
        "stale",
        "or attempt.written_at > 0",
        "",
        ("keyed",),
        "one-id",
    ),
    Seed(
        "cancel-forgets-abort",
        send.Send,
        "cancel",
        "link.connection.put(Abort(attempt.request.asked.txn))",
        "pass",
        ("hedge",),
        "cancelled",
    ),
    Seed("link-taken-twice", send.Link, "takes", "txn in self.answered", "False", ("confirm",), "run-is-run"),
    Seed("link-kept-after-end", send.Send, "down", "links.remove(link)", "pass", ("links",), "no-leak"),
    Seed(
        "answer-not-unlinked",
        send.Send,
        "_unlink",
        "link.open.pop(attempt.request.asked.txn, None)",
        "pass",
        ("links",),
        "ends",
    ),
    Seed(
        "gone-keeps-connections",
        send.Send,
        "gone",
        "link.connection.close()",
        "pass",
        ("drain",),
        "gone-closed",
    ),
    Seed("purge-not-marked", route.Route, "told", "attempt.outdated |=", "_ =", ("purge",), "no-purged"),
    Seed(
        "backstop-not-set",
        route.Route,
        "asked",
        "request.backstop = self._timers.at(request.deadline + BACKSTOP, partial(self._backstop, request))",
        "pass",
        ("confirm", "hedge"),
        "in-time",
        also="given-up-unanswered",
    ),
    Seed(
        "left-not-posted",
        route.Route,
        "left",
        "self.post(ClientDisconnected(request.req))",
        "pass",
        ("clients",),
        "cancelled",
    ),
    Seed(
        "end-told-twice",
        book.Book,
        "ended",
        "self.close_if_over(request)",
        "self.close_if_over(request); self._post(AttemptEnded(request.req, attempt.number, order.node_id, "
        "outcome, took, request.answered, note, waited, load))",
        ("answers",),
        "ends-once",
    ),
    Seed(
        "first-byte-lost",
        relay.Relay,
        "arrived",
        "reply.body,\n",
        "reply.body[1:],\n",
        ("answers",),
        "as-made",
    ),
    Seed("id-open-twice", send.Link, "takes", "or txn in self.open\n", "\n", ("limits",), "one-id"),
    Seed(
        "no-connection-not-looked-at",
        send.Send,
        "_place",
        "if link is None:",
        "if False:",
        ("limits",),
        "no-slip",
    ),
    Seed(
        "alarm-not-taken-off",
        book.Book,
        "ended",
        "attempt.alarm.off()",
        "attempt.ended = False",
        ("hedge", "deadline"),
        "ends-once",
    ),
    Seed(
        "closed-too-late",
        book.Book,
        "close_if_over",
        "if request.answered and",
        "if False and",
        ("hedge",),
        "ends",
    ),
    Seed(
        "given-back-twice",
        admit.Admit,
        "leave",
        "if self._requests.drop(request.req):",
        "if self._requests.drop(request.req) or True:",
        ("links",),
        "no-leak",
    ),
    Seed(
        "set-aside-for-good",
        admit.Admit,
        "leave",
        "self._budget.give(request.holds)",
        "pass",
        ("hedge",),
        "no-leak",
    ),
    Seed(
        "no-margin-before-the-limit",
        admit.Admit,
        "enter",
        "min(asked.timeout_ms, self._longest) - MARGIN",
        "min(asked.timeout_ms, self._longest) + MARGIN",
        ("deadline",),
        "in-time",
    ),
    Seed(
        "ids-kept",
        requests.OpenRequests,
        "drop",
        "del self._txns[request.asked.txn]",
        "pass",
        ("hedge",),
        "no-leak",
    ),
    Seed(
        "draining-counts-as-ready",
        nodes.NodeTable,
        "ready",
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
        "(frame.number > self.last + 1 or frame.wrong) and",
        "False and",
        ("log",),
        "log-followed",
    ),
    Seed(
        "unwritten-not-told",
        upstream_channel.Channel,
        "_pump_one",
        "command.unwritten()",
        "pass",
        ("links", "confirm"),
        "unrun-is-unrun",
    ),
    Seed(
        "rest-forgotten",
        upstream_channel.Channel,
        "_pump_one",
        "self._rest = self._rest[sent:]",
        "self._rest = b''",
        ("links", "confirm"),
        "order-kept",
    ),
    Seed(
        "end-not-looked-for",
        upstream_channel.Channel,
        "_ended",
        "self.close()",
        "return False",
        ("idle",),
        "not-into-ended",
    ),
    Seed(
        "stray-taken-as-owed",
        send.Send,
        "arrived",
        "attempt = link.open.get(txn)",
        "attempt = link.open.get(txn) or next(iter(link.open.values()), None)",
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
        "_window_over",
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
        "_gulp",
        "self._decoder.open.discard(ident)",
        "pass",
        ("hedge", "clients"),
        "no-leak",
    ),
    Seed(
        "abort-not-passed-on",
        fastcgi.Decoder,
        "_one",
        "yield Aborted(ident)",
        "pass",
        ("hedge", "clients"),
        "none-to-left",
    ),
    Seed(
        "length-line-without-end",
        resp.Decoder,
        "_number",
        "if len(buffer) >= MOST_LINE:",
        "if False:",
        ("codecs",),
        "bounded",
    ),
    Seed(
        "bulk-cut-short",
        resp.Decoder,
        "arrays",
        "if len(buffer) < self._bulk + 2:",
        "if len(buffer) < self._bulk:",
        ("codecs",),
        "same-split",
    ),
    Seed(
        "body-without-bound",
        fastcgi.Decoder,
        "_one",
        "if len(taking.body) + len(content) > MOST_BODY:",
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
        "_pump_one",
        "self._queue.appendleft(command)",
        "self._queue.append(command)",
        ("channel",),
        "order-kept",
    ),
)


_MORE = tuple(Seed(*fault) for fault in seeds_coordination.FAULTS + seeds_fleet.FAULTS + seeds_swarm.FAULTS)
SEEDS: tuple[Seed, ...] = _CORE + tuple(seed for seed in _MORE if seed.breaks)
HELPERS: tuple[Seed, ...] = tuple(seed for seed in _MORE if not seed.breaks)  # planted with others


class SeedError(Exception):
    """A fault whose place is not as it was."""


def by_name(name: str) -> Seed:
    """The fault of that name; raises KeyError."""
    for seed in SEEDS + HELPERS:
        if seed.name == name:
            return seed
    raise KeyError(name)


_planted: list[tuple[Any, str, Any]] = []


def plant(name: str) -> None:
    """Puts a fault into the loaded code, in place of the one before; an empty name takes it out."""
    while _planted:
        owner, function, before = _planted.pop()
        setattr(owner, function, before)
    if not name:
        return
    seed = by_name(name)
    if seed.also:
        plant(seed.also)
    _plant(seed)


def _function_of(seed: Seed) -> tuple[Any, Any]:
    """What the owner holds under that name, and the plain function within it."""
    held = inspect.getattr_static(seed.owner, seed.function)
    return held, held.__func__ if isinstance(held, (staticmethod, classmethod)) else held


def _source_of(function: Any) -> str:
    return textwrap.dedent(inspect.getsource(function))


def occurrences(seed: Seed) -> int:
    """How often the text to be replaced stands in the seed's function; only 1 can be planted."""
    return _source_of(_function_of(seed)[1]).count(seed.old)


def _plant(seed: Seed) -> None:
    before, plain = _function_of(seed)
    text = _source_of(plain)
    if text.count(seed.old) != 1:
        raise SeedError(f"{seed.name}: {seed.old!r} stands {text.count(seed.old)} times in {seed.function}")
    text = text.replace(seed.old, seed.new)
    scope: dict[str, Any] = {}
    exec(compile(text, f"<{seed.name}>", "exec"), vars(sys.modules[plain.__module__]), scope)
    setattr(seed.owner, seed.function, scope[seed.function])
    _planted.append((seed.owner, seed.function, before))

"""Properties that hold in every state, each with its source.

The `PropertyMonitor` observes only the sockets, the published endpoint list, and the input and output of the
decision module. It draws its own conclusions about attempts and does not read the state of the stages.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from stonecove.explore.machine import Violation
from stonecove.pipeline.relay import AGE_TOLERANCE_MS
from stonecove.routing.endpoints import Node, NodeState
from stonecove.routing.events import Outcome, reported_outcome
from stonecove.routing.settings import ClassSettings, DeduplicationScope, Idempotency


class Property(NamedTuple):
    """A rule and its source document."""

    name: str
    text: str
    source: str


PROPERTIES = {
    prop.name: prop
    for prop in (
        Property(
            "one-answer",
            "a taken request gets one final answer, and one only",
            "WIRE 2 rule 1; PROTOCOL, rules on sockets",
        ),
        Property("none-to-left", "a request whose client has left gets no answer", "PROTOCOL, clients"),
        Property(
            "in-time", "an answer is there by the deadline and the backstop", "WIRE 2 rule 1; answer_slack"
        ),
        Property("decided", "no request is left to the backstop while the router serves", "ONCALL, backstop"),
        Property("no-repeat", "what may have run goes out again only as its class allows", "WIRE 2 rule 2"),
        Property(
            "harmless-refusal", "a refusal is worded only where trying again is harmless", "WIRE 2 rule 2"
        ),
        Property("no-drained", "no first byte goes to a node told as draining or gone", "WIRE 2 rule 3"),
        Property(
            "no-drained-source", "none names such a node as the source of a fill", "WIRE 2 rule 3; 15 rules"
        ),
        Property(
            "no-purged",
            "no answer from a copy older than a purge told before its first byte",
            "WIRE 2 rule 5",
        ),
        Property(
            "not-too-old", "no copy older than its class allows is served", "PROTOCOL, rules on sockets"
        ),
        Property(
            "as-made", "what is served is what a cache made for this request", "PROTOCOL, rules on sockets"
        ),
        Property("unrun-is-unrun", "what was never written is never told as perhaps run", "README, way out"),
        Property(
            "run-is-run",
            "what was written is not told as never run, but by the cache's own word",
            "README, way out",
        ),
        Property("ends-once", "each attempt ends once", "house style: every attempt ends once"),
        Property("allowed-attempts", "no more attempts than the settings allow", "WIRE 15 limits.most_tries"),
        Property("one-id", "an id is open once at a time on a connection", "PROTOCOL, routers to caches"),
        Property(
            "cancelled",
            "what is still out when its request is over is given up, and the cache is told",
            "PROTOCOL, abort; settings limits.cancel",
        ),
        Property(
            "not-into-ended",
            "nothing begins to be written once the server has visibly ended the connection",
            "README, way out: what can't have run is not told as run",
        ),
        Property(
            "log-followed",
            "each event of the change log is taken once, in its order",
            "PROTOCOL, change log",
        ),
        Property("no-slip", "nothing in the router raises what nobody expects", "ONCALL, bug"),
        Property(
            "no-leak",
            "when all is quiet, everything held is back at its start",
            "README: budget, connections and books",
        ),
        Property("ends", "from every state all taken requests reach their end", "liveness; WIRE 2 rule 1"),
        Property("same-split", "a decoder gives the same for every split of the same bytes", "codecs"),
        Property("legal-read", "a legal stream is read to its end", "codecs"),
        Property(
            "gone-closed",
            "connections to a node that is listed no more are closed",
            "README; Send.close_outdated",
        ),
        Property("bounded", "a decoder holds no more than its bound", "codecs"),
        Property("clean-error", "bytes that can't be read give the codec's own error", "codecs"),
        Property(
            "told-once",
            "a connection tells its owner of its end once, and nothing after it",
            "protocols/upstream_channel",
        ),
        Property("order-kept", "commands go out whole and in their order", "protocols/upstream_channel"),
        Property(
            "told-strict",
            "what a source tells as drained, gone or unreadable gets no fresh work",
            "discovery/roster rules 1, 2, 6",
        ),
        Property("one-address", "of two ids at one address one is ready", "discovery/roster rule 5"),
        Property(
            "damped", "a node that came back too often waits before it is ready", "discovery/roster rule 8"
        ),
        Property(
            "cold-told",
            "a process that was started anew is not taken for a warm one",
            "discovery/roster rule 3; WIRE 2 rule 4",
        ),
        Property(
            "mass-confirmed",
            "all do not depart at once without a read after a sync",
            "discovery/roster rule 7",
        ),
        Property(
            "coming-back",
            "a strict claim is over only by the word of who made it, or of the most trusted",
            "discovery/merge rules 1 and 2",
        ),
        Property("say-lost", "what no source with a say knows gets no fresh work", "discovery/merge rule 4"),
        Property("merge-same", "the index gives what the rule gives over all claims", "discovery/merge"),
        Property(
            "converges",
            "once all is quiet, the list is that of the servers",
            "protocols/zookeeper/tree_watch",
        ),
        Property(
            "watch-kept",
            "once all is quiet, every watch is set at the server",
            "protocols/zookeeper/tree_watch",
        ),
        Property("not-back", "no older news is taken after newer", "protocols/zookeeper/session"),
        Property(
            "expired-by-word",
            "a session is over only by the servers' word",
            "ZooKeeper programmer's guide, sessions",
        ),
        Property(
            "reply-once",
            "each request has one reply, if only that it was lost",
            "protocols/zookeeper/session",
        ),
        Property(
            "lease-sum",
            "what is spent of shared pieces within any window keeps to what is to be shared",
            "quotas/leases; WIRE 2 rule 4",
        ),
        Property("lease-once", "what is left of a piece is given back once", "routing/leased_budget"),
        Property("lease-back", "what was handed out long ago may be handed out again", "quotas/leases"),
        Property("one-process", "an instance has one process at most", "fleet/restart"),
        Property("restarts-bounded", "a crash loop is held, also over supervisors", "fleet/restart"),
        Property("held-is-held", "what is held stays so until an operator releases it", "fleet/restart"),
        Property("stop-stands", "what an operator has stopped stays ended", "fleet/restart"),
        Property("wanted-runs", "what is wanted serves in the end, or is held", "fleet/restart"),
        Property("roll-out", "a roll takes out no more at once than was stated", "fleet/rolling"),
        Property("roll-ends", "a roll is done, or stops and says why", "fleet/rolling"),
        Property(
            "share-sum",
            "shares that routers act upon add up to 1 at the most within any window",
            "gossip/shares",
        ),
        Property("share-back", "once nothing is wrong, all of what is to be shared is used", "gossip/shares"),
        Property("swarm-known", "a router that has ended is known to be gone", "gossip/swarm"),
        Property(
            "swarm-in-reach",
            "no router is held for failed by one that it was never cut off from",
            "gossip/gossip",
        ),
        Property("swarm-denied", "who is there is alive to all, once nothing is wrong", "gossip/swarm"),
        Property("swarm-agree", "once nothing changes, all have one view", "gossip/view"),
        Property(
            "own-node",
            "our node is there, in our session, with our newest record",
            "protocols/zookeeper/registration",
        ),
    )
}


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt as observed on the sockets, from its first byte on."""

    number: int
    node: int
    sent_at_ms: float
    purge_count: int = 0  # number of purges reported before
    not_executed: bool = False  # the reply of the cache proves it
    ended: bool = False


@dataclass(slots=True)
class ObservedRequest:
    """A request as observed by its client."""

    cls: str
    answer_deadline_ms: float = 0.0  # the deadline and the backstop's delay
    state: str = "unasked"  # open, answered, left, lost
    sent_attempts: list[ObservedAttempt] = field(default_factory=list)
    # Numbers of the attempts whose end was reported to the decision module.
    ended_attempts: list[int] = field(default_factory=list)
    ordered_count: int = 0  # attempts that the decision module has ordered
    # By body: creation time, time of the first byte, and number of purges reported before that.
    copies_by_body: dict[bytes, tuple[float, float, int]] = field(default_factory=dict)
    statuses: dict[int, str] = field(default_factory=dict)  # by attempt: the status that reached the router


class PropertyMonitor:
    """Observes a run and records violated properties."""

    def __init__(self, classes: dict[str, ClassSettings], max_attempts: int) -> None:
        """Check requests of these classes, with at most `max_attempts` attempts each."""
        self._classes = classes
        self._max_attempts = max_attempts
        self.violations: list[Violation] = []
        self.nodes: dict[int, Node] = {}
        self.purges: list[tuple[float, float, int, int]] = []  # reported at, purged at, group, object
        self.observed_requests: dict[str, ObservedRequest] = {}

    def report_violation(self, prop: str, why: str) -> None:
        """Record a violation of property `prop`; only the first 8 are kept."""
        assert prop in PROPERTIES, prop
        if len(self.violations) < 8:
            self.violations.append(Violation(prop, why))

    # -- endpoint list --

    def nodes_listed(self, nodes: tuple[Node, ...], is_snapshot: bool) -> None:
        """Record nodes that were reported to the router."""
        if is_snapshot:
            self.nodes = {}
        for node in nodes:
            self.nodes[node.node_id] = node

    def _is_ready(self, node: int) -> bool:
        return node in self.nodes and self.nodes[node].state is NodeState.READY

    # -- sent attempts --

    def first_byte(self, txn: str, number: int, node: int, source: int | None, now: float) -> None:
        """Check the first byte of an attempt as it is sent."""
        request = self.observed_requests[txn]
        if not self._is_ready(node):
            self.report_violation(
                "no-drained", f"attempt {number} of {request.cls} is sent to s-{node:08x}, which is not ready"
            )
        if source is not None and not self._is_ready(source):
            self.report_violation(
                "no-drained-source",
                f"attempt {number} of {request.cls} is filled from s-{source:08x}, which is not ready",
            )
        if any(sent.number == number for sent in request.sent_attempts):
            self.report_violation("no-repeat", f"attempt {number} of {request.cls} is written twice")
        cls = self._classes[request.cls]
        for sent in request.sent_attempts:
            if sent.not_executed or cls.idempotency is Idempotency.IDEMPOTENT:
                continue
            if cls.idempotency is Idempotency.NON_IDEMPOTENT:
                self.report_violation(
                    "no-repeat",
                    f"attempt {number} of {request.cls} is sent, but attempt {sent.number} may have run",
                )
            elif not self._same_deduplication_scope(cls, sent.node, node):
                self.report_violation(
                    "no-repeat",
                    f"attempt {number} of {request.cls} is sent outside the deduplication scope "
                    f"of attempt {sent.number}",
                )
            elif now - sent.sent_at_ms > cls.deduplication_window_ms + 1.0:
                self.report_violation(
                    "no-repeat",
                    f"attempt {number} of {request.cls} is sent after the deduplication window "
                    f"of attempt {sent.number}",
                )
        request.sent_attempts.append(ObservedAttempt(number, node, now, len(self.purges)))
        if len(request.sent_attempts) > self._max_attempts:
            self.report_violation(
                "allowed-attempts", f"{len(request.sent_attempts)} attempts of {request.cls} were written"
            )

    def _same_deduplication_scope(self, cls: ClassSettings, node: int, other: int) -> bool:
        if cls.deduplication_scope is DeduplicationScope.ALL or node == other:
            return True
        if cls.deduplication_scope is DeduplicationScope.ZONE:
            return self.nodes[node].zone == self.nodes[other].zone
        return self.nodes[node].cell == self.nodes[other].cell

    # -- received answers --

    def answer_received(self, txn: str, number: int, status: str, body: bytes, created_at_ms: float) -> None:
        """Record an answer to an open attempt that has reached the router; duplicates are ignored."""
        request = self.observed_requests[txn]
        sent = next((sent for sent in request.sent_attempts if sent.number == number), None)
        if sent is None or number in request.statuses:
            return
        request.statuses[number] = status
        sent.not_executed = status in ("404", "503", "504")
        sent.ended = True
        if status in ("200", "304"):
            request.copies_by_body[body] = created_at_ms, sent.sent_at_ms, sent.purge_count

    # -- input and output of the decision module --

    def attempt_ordered(self, txn: str) -> None:
        """Record that the decision module has ordered an attempt."""
        request = self.observed_requests[txn]
        request.ordered_count += 1
        if request.ordered_count > self._max_attempts:
            self.report_violation(
                "allowed-attempts", f"{request.ordered_count} attempts of {request.cls} were ordered"
            )

    def attempt_ended(self, txn: str, number: int, outcome: Outcome) -> None:
        """Check the end of an attempt as reported to the decision module."""
        request = self.observed_requests[txn]
        if number in request.ended_attempts:
            self.report_violation(
                "ends-once",
                f"attempt {number} of {request.cls} ends again as {reported_outcome(outcome).upper()}",
            )
        request.ended_attempts.append(number)
        sent = next((sent for sent in request.sent_attempts if sent.number == number), None)
        if sent is None:
            if outcome not in (Outcome.CONNECT_FAILED, Outcome.EXPIRED_UNSENT, Outcome.CANCELLED):
                self.report_violation(
                    "unrun-is-unrun",
                    f"attempt {number} of {request.cls} ends as {reported_outcome(outcome).upper()}, "
                    "but was never written",
                )
            return
        status = request.statuses.get(number, "")
        proof = {"404": Outcome.MISS, "503": Outcome.REJECTED_OVERLOADED, "504": Outcome.EXPIRED_UNSENT}.get(
            status
        )
        if (
            outcome
            in (Outcome.MISS, Outcome.REJECTED_OVERLOADED, Outcome.EXPIRED_UNSENT, Outcome.CONNECT_FAILED)
            and outcome is not proof
        ):
            self.report_violation(
                "run-is-run",
                f"attempt {number} of {request.cls} was written and "
                f"ends as {reported_outcome(outcome).upper()}",
            )
        if outcome is not proof:
            sent.not_executed = False
        sent.ended = True

    # -- clients --

    def request_received(self, txn: str, cls: str, now: float, answer_deadline_ms: float) -> None:
        """Record a complete request."""
        self.observed_requests[txn] = ObservedRequest(cls, answer_deadline_ms, "open")

    def client_left(self, txn: str) -> None:
        """Record that the client of a request no longer waits."""
        if self.observed_requests[txn].state == "open":
            self.observed_requests[txn].state = "left"

    def request_answered(self, txn: str, verdict: str, body: bytes, now: float) -> None:
        """Check a complete answer: served, unchanged, refused or failed."""
        request = self.observed_requests[txn]
        if request.state == "left":
            self.report_violation("none-to-left", f"{verdict} to {request.cls}, whose client has left")
        elif request.state != "open":
            self.report_violation("one-answer", f"{verdict} to {request.cls}, which is {request.state}")
        request.state = "answered"
        cls = self._classes[request.cls]
        if verdict == "refused":
            unproven = [sent for sent in request.sent_attempts if not sent.not_executed]
            if unproven and (
                cls.idempotency is Idempotency.NON_IDEMPOTENT
                or (
                    cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                    and cls.deduplication_scope is not DeduplicationScope.ALL
                )
            ):
                self.report_violation(
                    "harmless-refusal", f"{request.cls} is refused; attempt {unproven[0].number} may have run"
                )
        if verdict not in ("served", "unchanged"):
            return
        if body not in request.copies_by_body:
            self.report_violation(
                "as-made", f"{request.cls} is served {body[:24]!r}, which no cache made for it"
            )
            return
        created_at_ms, first_byte_at_ms, purge_count = request.copies_by_body[body]
        if cls.never_cached:
            return
        for reported_at_ms, purged_at_ms, group, key in self.purges[:purge_count]:
            if created_at_ms < purged_at_ms - AGE_TOLERANCE_MS - 1.0:
                name = f"object {key:x}" if key else f"group {group}"
                self.report_violation(
                    "no-purged",
                    f"a copy created {purged_at_ms - created_at_ms:.0f} ms before the purge of {name}, "
                    f"which was reported {first_byte_at_ms - reported_at_ms:.0f} ms before the first byte",
                )
        if (
            cls.fresh_ms
            and created_at_ms < first_byte_at_ms - cls.fresh_ms - cls.stale_ms - AGE_TOLERANCE_MS - 1.0
        ):
            self.report_violation(
                "not-too-old", f"a copy {first_byte_at_ms - created_at_ms:.0f} ms old is served"
            )

    def check_overdue(self, now: float) -> None:
        """Check whether an answer is overdue."""
        for request in self.observed_requests.values():
            if request.state == "open" and now > request.answer_deadline_ms + 0.01:
                self.report_violation(
                    "in-time",
                    f"{request.cls} has no answer "
                    f"{now - request.answer_deadline_ms:.0f} ms after the latest permitted time",
                )
                request.state = "lost"

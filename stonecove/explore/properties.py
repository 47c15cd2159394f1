"""What must hold in every state, each property a unit with its source.

The `PropertyMonitor` sees only what passes on the sockets, what the list has told, and the two borders of the
decision module. What it concludes about an attempt is its own: it asks nothing of the stages' books.
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
    """A rule, and the page that it is from."""

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
            "README; Send.close_unlisted",
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
class Sent:
    """An attempt as the sockets saw it: from its first byte on."""

    number: int
    node: int
    at: float
    purges: int = 0  # how many purges were told before
    not_run: bool = False  # the cache itself said so
    over: bool = False


@dataclass(slots=True)
class Seen:
    """A request as its client sees it."""

    cls: str
    due: float = 0.0
    state: str = "unasked"  # open, answered, left, lost
    sent: list[Sent] = field(default_factory=list)
    ended: list[int] = field(default_factory=list)  # attempts whose end the module was told
    orders: int = 0
    # By bytes: born, first byte out, and how many purges were told before that.
    births: dict[bytes, tuple[float, float, int]] = field(default_factory=dict)
    words: dict[int, str] = field(default_factory=dict)  # by attempt: the word that reached the router


class PropertyMonitor:
    """Observes a run, and records each property that is violated."""

    def __init__(self, classes: dict[str, ClassSettings], most_attempts: int) -> None:
        self._classes = classes
        self._most = most_attempts
        self.violations: list[Violation] = []
        self.nodes: dict[int, Node] = {}
        self.purges: list[tuple[float, float, int, int]] = []  # told at, purged at, group, object
        self.seen: dict[str, Seen] = {}

    def broken(self, prop: str, why: str) -> None:
        """Records a violation."""
        assert prop in PROPERTIES, prop
        if len(self.violations) < 8:
            self.violations.append(Violation(prop, why))

    # -- what the list tells --

    def listed(self, nodes: tuple[Node, ...], whole: bool) -> None:
        """The router has been told of nodes."""
        if whole:
            self.nodes = {}
        for node in nodes:
            self.nodes[node.node_id] = node

    def _ready(self, node: int) -> bool:
        return node in self.nodes and self.nodes[node].state is NodeState.READY

    # -- what goes out --

    def first_byte(self, txn: str, number: int, node: int, source: int | None, now: float) -> None:
        """The first byte of an attempt goes out."""
        seen = self.seen[txn]
        if not self._ready(node):
            self.broken("no-drained", f"attempt {number} of {seen.cls} goes to s-{node:08x}")
        if source is not None and not self._ready(source):
            self.broken("no-drained-source", f"attempt {number} of {seen.cls} is filled from s-{source:08x}")
        if any(sent.number == number for sent in seen.sent):
            self.broken("no-repeat", f"attempt {number} of {seen.cls} is written twice")
        cls = self._classes[seen.cls]
        for sent in seen.sent:
            if sent.not_run or cls.idempotency is Idempotency.IDEMPOTENT:
                continue
            if cls.idempotency is Idempotency.NON_IDEMPOTENT:
                self.broken(
                    "no-repeat", f"attempt {number} of {seen.cls} goes out; {sent.number} may have run"
                )
            elif not self._same_group(cls, sent.node, node):
                self.broken("no-repeat", f"attempt {number} of {seen.cls} leaves the group of {sent.number}")
            elif now - sent.at > cls.deduplication_window_ms + 1.0:
                self.broken("no-repeat", f"attempt {number} of {seen.cls} goes out after its window")
        seen.sent.append(Sent(number, node, now, len(self.purges)))
        if len(seen.sent) > self._most:
            self.broken("allowed-attempts", f"{len(seen.sent)} attempts of {seen.cls} on sockets")

    def _same_group(self, cls: ClassSettings, one: int, other: int) -> bool:
        if cls.deduplication_scope is DeduplicationScope.ALL or one == other:
            return True
        if cls.deduplication_scope is DeduplicationScope.ZONE:
            return self.nodes[one].zone == self.nodes[other].zone
        return self.nodes[one].cell == self.nodes[other].cell

    # -- what comes back --

    def word(self, txn: str, number: int, word: str, body: bytes, born: float) -> None:
        """An answer to an attempt that is out has reached the router; it may be the second of its kind."""
        seen = self.seen[txn]
        sent = next((sent for sent in seen.sent if sent.number == number), None)
        if sent is None or number in seen.words:
            return
        seen.words[number] = word
        sent.not_run = word in ("404", "503", "504")
        sent.over = True
        if word in ("200", "304"):
            seen.births[body] = born, sent.at, sent.purges

    # -- the borders of the decision module --

    def ordered(self, txn: str) -> None:
        """The module has ordered an attempt."""
        seen = self.seen[txn]
        seen.orders += 1
        if seen.orders > self._most:
            self.broken("allowed-attempts", f"{seen.orders} orders for {seen.cls}")

    def ended(self, txn: str, number: int, outcome: Outcome) -> None:
        """The module is told of the end of an attempt."""
        seen = self.seen[txn]
        if number in seen.ended:
            self.broken(
                "ends-once",
                f"attempt {number} of {seen.cls} ends again as {reported_outcome(outcome).upper()}",
            )
        seen.ended.append(number)
        sent = next((sent for sent in seen.sent if sent.number == number), None)
        if sent is None:
            if outcome not in (Outcome.CONNECT_FAILED, Outcome.EXPIRED_UNSENT, Outcome.CANCELLED):
                self.broken(
                    "unrun-is-unrun",
                    f"attempt {number} of {seen.cls} ends as {reported_outcome(outcome).upper()}, "
                    "and was never written",
                )
            return
        word = seen.words.get(number, "")
        proof = {"404": Outcome.MISS, "503": Outcome.REJECTED_OVERLOADED, "504": Outcome.EXPIRED_UNSENT}.get(
            word
        )
        if (
            outcome
            in (Outcome.MISS, Outcome.REJECTED_OVERLOADED, Outcome.EXPIRED_UNSENT, Outcome.CONNECT_FAILED)
            and outcome is not proof
        ):
            self.broken(
                "run-is-run",
                f"attempt {number} of {seen.cls} was written and ends as {reported_outcome(outcome).upper()}",
            )
        if outcome is not proof:
            sent.not_run = False
        sent.over = True

    # -- the client's side --

    def taken(self, txn: str, cls: str, now: float, due: float) -> None:
        """A request has come in whole."""
        self.seen[txn] = Seen(cls, due, "open")

    def left(self, txn: str) -> None:
        """Its client stops waiting."""
        if self.seen[txn].state == "open":
            self.seen[txn].state = "left"

    def answered(self, txn: str, verdict: str, body: bytes, now: float) -> None:
        """Its client has a whole answer: served, unchanged, refused or failed."""
        seen = self.seen[txn]
        if seen.state == "left":
            self.broken("none-to-left", f"{verdict} to {seen.cls}, whose client has left")
        elif seen.state != "open":
            self.broken("one-answer", f"{verdict} to {seen.cls}, which is {seen.state}")
        seen.state = "answered"
        cls = self._classes[seen.cls]
        if verdict == "refused":
            unsure = [sent for sent in seen.sent if not sent.not_run]
            if unsure and (
                cls.idempotency is Idempotency.NON_IDEMPOTENT
                or (
                    cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                    and cls.deduplication_scope is not DeduplicationScope.ALL
                )
            ):
                self.broken(
                    "harmless-refusal", f"{seen.cls} is refused; attempt {unsure[0].number} may have run"
                )
        if verdict not in ("served", "unchanged"):
            return
        if body not in seen.births:
            self.broken("as-made", f"{seen.cls} is served {body[:24]!r}, which no cache made for it")
            return
        born, out, known = seen.births[body]
        if cls.never_cached:
            return
        for told, purged, group, key in self.purges[:known]:
            if born < purged - AGE_TOLERANCE_MS - 1.0:
                name = f"object {key:x}" if key else f"group {group}"
                self.broken(
                    "no-purged",
                    f"a copy born {purged - born:.0f} ms before the purge of {name}, told "
                    f"{out - told:.0f} ms before its first byte",
                )
        if cls.fresh_ms and born < out - cls.fresh_ms - cls.stale_ms - AGE_TOLERANCE_MS - 1.0:
            self.broken("not-too-old", f"a copy {out - born:.0f} ms old")

    def overdue(self, now: float) -> None:
        """Looks whether an answer is late."""
        for seen in self.seen.values():
            if seen.state == "open" and now > seen.due + 0.01:
                self.broken(
                    "in-time", f"{seen.cls} has no answer {now - seen.due:.0f} ms after its last moment"
                )
                seen.state = "lost"

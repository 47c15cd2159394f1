"""Types that cross the border of the decision module: settings, events and actions. No logic.

Times are milliseconds of the caller's clock, sizes are KB, nodes are opaque whole numbers.
A class, zone or kind is its place in the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

NodeId = int


class Effect(IntEnum):
    """Whether repeating a request of the class does harm."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class KeyGroup(IntEnum):
    """Which caches discard repeats of a keyed request together."""

    ALL = 0
    ZONE = 1
    CELL = 2


class NodeState(IntEnum):
    """State of a listed node."""

    DRAINING = 0
    GONE = 1
    READY = 2


class ListKind(IntEnum):
    """Kind of list report."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(IntEnum):
    """How an attempt ended. FULL, CONNECT_FAILED, MOOT and MISS prove that it did not run."""

    OK = 0
    CANCELLED = 1
    TIMEOUT = 4
    MISS = 5
    FULL = 8
    MOOT = 9
    RESET = 10
    ERROR = 13
    CONNECT_FAILED = 14
    UNKNOWN = 255


NOT_RUN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS))


class Note(IntEnum):
    """What an outcome tells of the copy or the fill behind it."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    OLD_COPY = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKE = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    name: str
    worth: float
    late_worth: float
    aim: float
    aim_stretch: float
    deadline: float
    effect: Effect
    group: KeyGroup
    window: float
    fresh: float
    stale: float
    stale_worth: float
    never_kept: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """What a director is told at its start."""

    classes: tuple[ClassSettings, ...]
    zone: int
    fleet: int
    zone_directors: tuple[int, ...]
    zone_link: tuple[float, ...]
    client_pace: float
    parent_kind: int
    origin_kind: int
    joins: bool
    weighted: bool
    may_bypass: bool
    siblings: str
    cold_from: float
    warm_up: float
    fall_multiple: float
    fall_window: float
    parent_cold_from: float
    parent_warm_up: float
    parent_fall_multiple: float
    purge_grace: float
    purge_done: float
    drain_grace: float
    most_attempts: int
    second_copies: bool
    may_cancel: bool
    may_probe: bool
    may_pause: bool
    longest_pause: float
    connect_timeout: float
    report_fields: tuple[str, ...]
    list_by_asking: bool
    # Read by the edge router alone; the decisions do without them.
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    most_held: int = 20_000
    streams: int = 100
    conn_idle: float = 15_000.0
    handshakes_priced: bool = False  # each new connection to a cache costs the whole fleet
    may_message: bool = False  # routers may send each other datagrams


class Node(NamedTuple):
    """One entry of a list of nodes."""

    node: NodeId
    kind: int
    started: float
    state: NodeState
    cell: int
    zone: int
    weight: float


class Listed(NamedTuple):
    """The list of nodes, or what has changed in it."""

    form: ListKind
    nodes: tuple[Node, ...]


class Request(NamedTuple):
    """A client's request; one final answer is owed from now on."""

    req: int
    kind: int
    key: int
    grace: float
    size: float
    group: int
    part: int


class Ended(NamedTuple):
    """The end of one attempt."""

    req: int
    attempt: int
    node: NodeId
    outcome: Outcome
    took: float
    closed: bool
    note: int
    waited: float
    load: tuple[float, ...]


class Started(NamedTuple):
    """The answer of a streamed request has begun."""

    req: int
    attempt: int
    node: NodeId


class Left(NamedTuple):
    """The client has gone."""

    req: int


class Due(NamedTuple):
    """A timer has fallen due."""

    token: int


class Purged(NamedTuple):
    """An object, or with key 0 a whole group, was purged `age` ago."""

    age: float
    group: int
    key: int


class Peers(NamedTuple):
    """How many directors there are, in all and by zone, from now on."""

    fleet: int
    by_zone: tuple[int, ...]


class Reconfigured(NamedTuple):
    """Other settings hold from now on, in which classes may only have been appended.

    `zone`, the two kinds, `client_pace`, `fall_window` and `list_by_asking` are those of the start. Requests
    that are open keep what their class was.
    """

    settings: Settings


class Probed(NamedTuple):
    """The result of a probe."""

    node: NodeId
    ok: bool
    took: float
    load: tuple[float, ...]


class Terms(NamedTuple):
    """From now on the directors of a host share what cold nodes bear, and what is saved up for retries.

    Of its share in either, a director spends this part without asking; the rest comes in pieces.
    """

    own: float
    retries: float


class Piece(NamedTuple):
    """So much work may be spent on a node, once, until then; none left under that number: it is over."""

    number: int
    node: NodeId
    work: float
    until: float


Event = (
    Listed | Request | Ended | Started | Left | Due | Purged | Probed | Peers | Reconfigured | Terms | Piece
)


class How(IntEnum):
    """Bits of an order to fill."""

    JOIN = 1
    HELD_ONLY = 2
    NO_PARENT_COPY = 4
    RENEW = 8


class Get(NamedTuple):
    """Ask a cache, with orders for a miss."""

    req: int
    node: NodeId
    cut_at: float
    source: NodeId
    keep: int
    age: float
    how: int


class Cancel(NamedTuple):
    """End the wait for one attempt."""

    req: int
    attempt: int


class Refuse(NamedTuple):
    """Final answer: refused, a retry is harmless."""

    req: int
    pause: float


class Fail(NamedTuple):
    """Final answer: failed, nothing is promised."""

    req: int


class Timer(NamedTuple):
    """Ask for a Due event."""

    token: int
    at: float


class Probe(NamedTuple):
    """Ask a node for its health."""

    node: NodeId


class Watch(NamedTuple):
    """Subscribe to changes of the list."""


class Log(NamedTuple):
    """A line for the operators."""

    text: str


class Want(NamedTuple):
    """Ask for a piece. `rule`: the work that all directors of the pool may send there within a window now;

    it rises by `rises` a second, until the node is warm.
    The pool is the directors of this zone, or all of them; `share` is this director's part of the rule.
    """

    node: NodeId
    work: float
    rule: float
    rises: float
    share: float
    zonal: bool


class Unspent(NamedTuple):
    """A piece is over and so much of it is left."""

    number: int
    work: float


Action = Get | Cancel | Refuse | Fail | Timer | Probe | Watch | Log | Want | Unspent

RETRIES: NodeId = -1  # in a piece: no node, but second copies and retries, one unit each

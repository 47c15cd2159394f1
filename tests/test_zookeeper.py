"""Tests of the ZooKeeper protocol: specified encodings, the session, and the stand-in with kazoo."""

from __future__ import annotations

import struct
import threading
from collections.abc import Callable, Iterator

import pytest
from coordination_harness import CoordinationEnsemble
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from kazoo.client import KazooClient
from kazoo.exceptions import BadVersionError, NodeExistsError, NoNodeError, NotEmptyError, RolledBackError
from process_harness import WAIT_TIMEOUT_S, ProcessHarness

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.zookeeper import jute
from stonecove.protocols.zookeeper import messages as zk
from stonecove.protocols.zookeeper.messages import Err, EventType, Op, ZooKeeperError
from stonecove.protocols.zookeeper.session import (
    Down,
    Expired,
    Reply,
    Session,
    SessionConfig,
    SessionEvent,
    State,
    Up,
    Watched,
)
from stonecove.standins.zkdata import Leader, WriteRequest, ZkError

# -- encodings, written by hand after the specification zookeeper.jute --

REQUESTS = {
    zk.ping(): "00000008 fffffffe 0000000b",
    zk.request(1, zk.GetChildren2("/a", True)): "0000000f 00000001 0000000c 00000002 2f61 01",
    zk.request(2, zk.GetData("/a")): "0000000f 00000002 00000004 00000002 2f61 00",
    zk.request(3, zk.Exists("/a", True)): "0000000f 00000003 00000003 00000002 2f61 01",
    zk.request(4, zk.Delete("/a", 7)): "00000012 00000004 00000002 00000002 2f61 00000007",
    zk.request(
        5, zk.SetData("/a", b"xy", -1)
    ): "00000018 00000005 00000005 00000002 2f61 00000002 7879 ffffffff",
    zk.request(6, zk.Sync("/a")): "0000000e 00000006 00000009 00000002 2f61",
    zk.request(7, zk.AddWatch("/a")): "00000012 00000007 0000006a 00000002 2f61 00000001",
    zk.request(8, zk.CloseSession()): "00000008 00000008 fffffff5",
    zk.request(
        9, zk.Create("/a", b"z", mode=zk.CreateMode.EPHEMERAL)
    ): "00000032 00000009 00000001 00000002 2f61 00000001 7a 00000001 0000001f 00000005 776f726c64"
    "00000006 616e796f6e65 00000001",
    zk.request(
        10, zk.Create("/a", with_stat=True)
    ): "00000031 0000000a 0000000f 00000002 2f61 00000000 00000001 0000001f 00000005 776f726c64"
    "00000006 616e796f6e65 00000000",
    zk.request(
        11, zk.Multi((zk.Check("/a", 1), zk.Delete("/a")))
    ): "00000037 0000000b 0000000e 0000000d 00 ffffffff 00000002 2f61 00000001"
    "00000002 00 ffffffff 00000002 2f61 ffffffff ffffffff 01 ffffffff",
    zk.request(
        -8, zk.SetWatches(5, ("/a",), (), ("/b",))
    ): "00000028 fffffff8 00000065 0000000000000005 00000001 00000002 2f61 00000000 00000001 00000002 2f62",
    zk.request(
        -8, zk.SetWatches(5, recursive=("/a",))
    ): "0000002a fffffff8 00000069 0000000000000005 00000000 00000000 00000000 00000000"
    " 00000001 00000002 2f61",
    zk.auth("digest", b"u:p"): "0000001d fffffffc 00000064 00000000 00000006 646967657374 00000003 753a70",
    zk.connect_request(
        9, 6000, 0x12, b"\1\2"
    ): "0000001f 00000000 0000000000000009 00001770 0000000000000012 00000002 0102 00",
}
STAT = zk.Stat(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
STAT_HEX = (
    "".join(f"{number:016x}" for number in (1, 2, 3, 4))
    + "000000050000000600000007"
    + ("0000000000000008000000090000000a000000000000000b")
)
REPLIES = [
    (Op.GET_DATA, f"00000002 7879 {STAT_HEX}", zk.Data(b"xy", STAT)),
    (Op.GET_DATA, f"ffffffff {STAT_HEX}", zk.Data(b"", STAT)),
    (Op.GET_CHILDREN2, f"00000002 00000001 61 00000001 62 {STAT_HEX}", zk.Children(("a", "b"), STAT)),
    (Op.EXISTS, STAT_HEX, STAT),
    (Op.SET_DATA, STAT_HEX, STAT),
    (Op.CREATE, "00000002 2f61", zk.Created("/a", None)),
    (Op.CREATE2, f"00000002 2f61 {STAT_HEX}", zk.Created("/a", STAT)),
    (Op.DELETE, "", None),
    (Op.SYNC, "00000002 2f61", None),
    (
        Op.MULTI,
        "00000001 00 00000000 00000002 2f61 00000002 00 00000000 ffffffff 01 ffffffff",
        (zk.Created("/a", None), None),
    ),
    (
        Op.MULTI,
        "ffffffff 00 00000000 00000000 ffffffff 00 ffffff99 ffffff99 ffffffff 01 ffffffff",
        (zk.Failed(Err.OK), zk.Failed(Err.BAD_VERSION)),
    ),
]


def test_requests_are_encoded_as_specified() -> None:
    for encoded, text in REQUESTS.items():
        assert encoded.hex() == text.replace(" ", "")


@pytest.mark.parametrize(("op", "text", "result"), REPLIES)
def test_replies_are_decoded_as_specified(op: Op, text: str, result: zk.Result) -> None:
    assert zk.read_result(op, jute.Reader(bytes.fromhex(text))) == result


@pytest.mark.parametrize(
    ("op", "text"),
    [
        (Op.GET_DATA, "7fffffff"),
        (Op.GET_DATA, "fffffffe"),
        (Op.GET_CHILDREN2, "7fffffff 00000001"),
        (Op.EXISTS, "00"),
        (Op.CREATE, "00000002 ff"),
        (Op.CREATE, "00000001 ff"),
        (Op.MULTI, "00000063 00 00000000"),
        (Op.MULTI, ""),
    ],
)
def test_malformed_replies_raise_an_error_that_names_the_operation(op: Op, text: str) -> None:
    with pytest.raises(ZooKeeperError, match=op.name):
        zk.read_result(op, jute.Reader(bytes.fromhex(text)))


@pytest.mark.parametrize("length", [-1, zk.MAX_FRAME_BYTES + 1])
def test_frames_are_bounded(length: int) -> None:
    buffer = Buffer(4096)
    buffer.feed(struct.pack(">i", length))
    with pytest.raises(ZooKeeperError, match="frame"):
        list(zk.frames(buffer))
    with pytest.raises(ValueError, match="at most"):
        zk.request(1, zk.SetData("/a", bytes(zk.MAX_FRAME_BYTES)))


def test_every_error_code_has_a_name_and_an_unknown_one_is_a_system_error() -> None:
    assert len(Err) == 32 and Err(-110) is Err.NODE_EXISTS and Err(-999) is Err.SYSTEM_ERROR


# -- the session --


def connect_response(
    session: int = 0x77, timeout: int = 6000, read_only: bool = False, without_read_only: bool = False
) -> bytes:
    body = (
        struct.pack(">iiqi", 0, timeout, session, 2)
        + b"pw"
        + (b"" if without_read_only else bytes((read_only,)))
    )
    return struct.pack(">i", len(body)) + body


def reply(xid: int, zxid: int, error: int = 0, body: bytes = b"") -> bytes:
    data = struct.pack(">iqi", xid, zxid, error) + body
    return struct.pack(">i", len(data)) + data


class ScriptedSession:
    """A session whose server is scripted."""

    def __init__(self, servers: int = 2, auth: tuple[tuple[str, bytes], ...] = ()) -> None:
        self.now = 100.0
        ports = tuple(("10.0.0.1", port) for port in range(servers))
        self.session = Session(ports, 7, SessionConfig(session_timeout_s=6.0, auth=auth))
        self.past_events: list[SessionEvent] = []

    def connect(self, data: bytes = connect_response()) -> list[SessionEvent]:  # noqa: B008
        self.now = max(self.now, 0.0)
        while self.session.plan(self.now).connect is None:
            self.now = self.session.plan(self.now).until
        self.session.connecting(self.now)
        self.session.opened(self.now)
        self.connect_request = self.session.data_to_send()
        return self.receive(data)

    def receive(self, data: bytes) -> list[SessionEvent]:
        self.session.received(data, self.now)
        return self.events()

    def events(self) -> list[SessionEvent]:
        new_events = list(self.session.events())
        self.past_events += new_events
        return new_events


@pytest.mark.parametrize("without_read_only", [False, True])
def test_a_session_connects_to_servers_with_and_without_read_only_mode(without_read_only: bool) -> None:
    scripted = ScriptedSession()
    assert scripted.connect(connect_response(without_read_only=without_read_only)) == [Up(0x77, False)]
    assert scripted.connect_request[-1] == 0 and scripted.session.timeout_s == 6.0
    scripted.session.lost("cut", scripted.now)
    assert scripted.events() == [Down("cut")]
    assert scripted.connect(connect_response(without_read_only=without_read_only)) == [Up(0x77, True)]
    assert scripted.connect_request.hex().endswith("000000000000007700000002707700")


def test_a_session_expires_only_when_a_server_says_so() -> None:
    scripted = ScriptedSession()
    scripted.connect()
    for _ in range(5):
        scripted.session.lost("cut", scripted.now)
        scripted.now += 3600
        scripted.connect(connect_response())
    assert not [event for event in scripted.past_events if isinstance(event, Expired)]
    scripted.session.lost("cut", scripted.now)
    assert scripted.connect(connect_response(0, 0))[-2:] == [Expired(0x77), Down("the session has expired")]
    assert scripted.connect(connect_response(0x78)) == [Up(0x78, False)]


def test_read_only_and_lagging_servers_are_disconnected() -> None:
    scripted = ScriptedSession()
    assert scripted.connect(connect_response(read_only=True)) == [Down("read-only")]
    scripted.connect()
    scripted.session.send_request(1, zk.Sync("/a"), scripted.now)
    assert isinstance(scripted.receive(reply(1, 50, 0, jute.string("/a")))[0], Reply)
    scripted.session.lost("cut", scripted.now)
    scripted.connect()
    scripted.session.send_request(2, zk.Sync("/a"), scripted.now)
    first, down = scripted.receive(reply(2, 49, 0, jute.string("/a")))
    assert first == Reply(2, Err.CONNECTION_LOSS, None, 0)
    assert isinstance(down, Down) and down.reason.startswith("behind")
    assert scripted.session.last_zxid == 50


@pytest.mark.parametrize(
    "data",
    [
        reply(9, 1),
        reply(1, 1, 0, b"\0"),
        struct.pack(">i", -5),
        struct.pack(">i", 3) + b"abc",
        reply(-1, -1, 0, struct.pack(">iii", 99, 3, 0)),
        reply(1, 1, -118),
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
    ],
)
def test_unexpected_data_leads_to_a_new_connection(data: bytes) -> None:
    scripted = ScriptedSession()
    scripted.connect()
    scripted.session.send_request(1, zk.GetData("/a"), scripted.now)
    events = scripted.receive(data)
    assert [type(event) for event in events] == [Reply, Down]
    assert scripted.session.state is State.WAITING
    assert scripted.connect() == [Up(0x77, True)]


def test_watches_are_restored_in_frames_of_accepted_size() -> None:
    scripted = ScriptedSession()
    scripted.connect()
    for number in range(3000):
        scripted.session.send_request(number, zk.GetData(f"/boxes/{'x' * 90}{number:04}", True), scripted.now)
        scripted.receive(reply(number + 1, number + 1, 0, jute.buffer(b"") + STAT.encode()))
    scripted.session.lost("cut", scripted.now)
    scripted.connect()
    data = scripted.session.data_to_send()
    buffer = Buffer(1 << 22)
    buffer.feed(data)
    frames = list(zk.frames(buffer))
    assert len(frames) == 3 and max(map(len, frames)) < 140_000
    assert all(
        frame[:8].hex() == "fffffff800000065" and frame[8:16].hex() == f"{3000:016x}" for frame in frames
    )
    event = reply(-1, -1, 0, jute.int_(3) + jute.int_(3) + jute.string(f"/boxes/{'x' * 90}0000"))
    assert [type(received) for received in scripted.receive(event)] == [Watched] and len(
        scripted.session.watches.data
    ) == 2999


def test_a_silent_server_is_pinged_and_then_disconnected() -> None:
    scripted = ScriptedSession()
    scripted.connect()
    start = scripted.now
    scripted.now = scripted.session.plan(scripted.now).until
    assert scripted.now == start + 2
    scripted.session.tick(scripted.now)
    assert scripted.session.data_to_send() == zk.ping()
    scripted.now = start + 4
    scripted.session.tick(scripted.now)
    assert scripted.events() == [Down("silent")]


def test_backoff_doubles_with_jitter_and_servers_rotate() -> None:
    scripted, waits, addresses = ScriptedSession(3), [], []
    for _ in range(12):
        plan = scripted.session.plan(scripted.now)
        if plan.connect is None:
            waits.append(plan.until - scripted.now)
            scripted.now = plan.until
            plan = scripted.session.plan(scripted.now)
        assert plan.connect is not None
        addresses.append(plan.connect)
        scripted.session.connecting(scripted.now)
        scripted.session.lost("refused", scripted.now)
    assert addresses == addresses[:3] * 4 and len(set(addresses)) == 3
    assert all(0.025 <= wait <= 0.075 for wait in waits[:3])
    assert waits[-1] > 10 * waits[0] and max(waits) <= 7.5 and len(set(waits)) == len(waits)


def test_rejected_credentials_delay_the_next_connection_and_misuse_raises() -> None:
    scripted = ScriptedSession(auth=(("digest", b"u:p"),))
    scripted.connect()
    assert zk.auth("digest", b"u:p") in scripted.session.data_to_send()
    assert scripted.receive(reply(zk.XID_AUTH, 0, -115)) == [Down("our credentials are refused")]
    assert (
        scripted.session.state is State.REFUSED
        and scripted.session.plan(scripted.now).until == scripted.now + 5
    )
    with pytest.raises(RuntimeError, match="opened while refused"):
        scripted.session.opened(scripted.now)


@seed(20261201)
@settings(max_examples=400, deadline=None, database=None)
@given(st.lists(st.binary(max_size=64), max_size=6), st.booleans())
def test_no_bytes_crash_the_session(parts: list[bytes], framed: bool) -> None:
    scripted = ScriptedSession()
    scripted.connect()
    for number in range(3):
        scripted.session.send_request(
            number, (zk.GetData("/a"), zk.GetChildren2("/a"), zk.Sync("/a"))[number], scripted.now
        )
    for part in parts:
        if scripted.session.state is not State.CONNECTED:
            break
        scripted.receive(struct.pack(">i", len(part)) + part if framed else part)
    assert scripted.session.state in (State.CONNECTED, State.WAITING)


# -- the stand-in, tested with the kazoo client --


@pytest.fixture(scope="module")
def ensemble() -> Iterator[CoordinationEnsemble]:
    ensemble = CoordinationEnsemble(3, lag=15.0)
    yield ensemble
    ensemble.close()


@pytest.fixture
def kazoo(ensemble: CoordinationEnsemble) -> Iterator[KazooClient]:
    client = ensemble.client()
    yield client
    client.stop()
    client.close()


def test_kazoo_reads_and_writes_nodes_of_the_stand_in(kazoo: KazooClient) -> None:
    kazoo.ensure_path("/rw/a")
    path, stat = kazoo.create("/rw/a/n-", b"x", sequence=True, include_data=True)
    assert path == "/rw/a/n-0000000000" and stat.version == 0
    assert kazoo.create("/rw/a/n-", b"y", sequence=True, ephemeral=True) == "/rw/a/n-0000000001"
    assert kazoo.set(path, b"z").version == 1 and kazoo.get(path)[0] == b"z"
    assert kazoo.get_children("/rw/a", include_data=True)[1].numChildren == 2
    failing_calls: list[tuple[Callable[[], object], type[Exception]]] = [
        (lambda: kazoo.set(path, b"", version=9), BadVersionError),
        (lambda: kazoo.delete("/rw/none"), NoNodeError),
        (lambda: kazoo.create(path), NodeExistsError),
        (lambda: kazoo.delete("/rw/a"), NotEmptyError),
    ]
    for call, error in failing_calls:
        with pytest.raises(error):
            call()
    assert kazoo.get_acls(path)[0][0].perms == 31 and kazoo.exists("/rw/none") is None


def test_kazoo_transactions_are_atomic(kazoo: KazooClient) -> None:
    kazoo.ensure_path("/tx")
    for version, succeeds in ((0, True), (7, False)):
        transaction = kazoo.transaction()
        transaction.create(f"/tx/{version}", b"1")
        transaction.check("/tx", version)
        transaction.set_data(f"/tx/{version}", b"2")
        result = transaction.commit()
        if succeeds:
            assert result[:2] == ["/tx/0", True] and kazoo.get("/tx/0")[0] == b"2"
        else:
            assert isinstance(result[0], RolledBackError) and isinstance(result[1], BadVersionError)
            assert kazoo.exists("/tx/7") is None


def test_kazoo_recipes_work_with_the_stand_in(ensemble: CoordinationEnsemble, kazoo: KazooClient) -> None:
    other = ensemble.client()
    elected, order = threading.Event(), []

    def acquire_lock() -> None:
        with other.Lock("/recipes/lock", "two"):
            order.append("two")

    with kazoo.Lock("/recipes/lock", "one"):
        thread = threading.Thread(target=acquire_lock, daemon=True)
        thread.start()
        ProcessHarness.wait_until(
            lambda: len(kazoo.Lock("/recipes/lock").contenders()) == 2, "the second contender"
        )
        order.append("one")
    thread.join(WAIT_TIMEOUT_S)
    assert order == ["one", "two"]
    threading.Thread(
        target=kazoo.Election("/recipes/election", "me").run, args=(elected.set,), daemon=True
    ).start()
    assert elected.wait(WAIT_TIMEOUT_S)
    counters = [client.Counter("/recipes/counter") for client in (kazoo, other)]
    for _ in range(5):
        for counter in counters:
            counter += 2
    kazoo.sync("/recipes/counter")
    assert counters[0].value == 20
    kazoo.Barrier("/recipes/barrier").create()
    other.sync("/recipes")  # it is connected to a server that lags
    assert not other.Barrier("/recipes/barrier").wait(0.05)
    kazoo.Barrier("/recipes/barrier").remove()
    assert other.Barrier("/recipes/barrier").wait(WAIT_TIMEOUT_S)
    parties = [client.Party("/recipes/party", name) for client, name in ((kazoo, "a"), (other, "b"))]
    for party in parties:
        party.join()
    ProcessHarness.wait_until(lambda: len(parties[0]) == 2, "both members of the party")
    child_lists: list[list[str]] = []
    kazoo.ensure_path("/recipes/list")
    kazoo.ChildrenWatch("/recipes/list", lambda names: child_lists.append(sorted(names)))
    other.create("/recipes/list/x", ephemeral=True)
    ProcessHarness.wait_until(lambda: child_lists[-1] == ["x"], "a notification of the new child")
    other.stop()
    other.close()
    ProcessHarness.wait_until(lambda: child_lists[-1] == [], "removal of the node of the closed session")
    ProcessHarness.wait_until(lambda: len(parties[0]) == 1, "departure of the other member of the party")


def test_kazoo_survives_dropped_connections_and_detects_expiry(ensemble: CoordinationEnsemble) -> None:
    client, states = ensemble.client(), []
    client.add_listener(lambda state: states.append(state))
    client.create("/alive", ephemeral=True)
    session_id = f"{client.client_id[0]:#x}"
    ensemble.run_command(f"drop {session_id}")
    ProcessHarness.wait_until(lambda: states == ["SUSPENDED", "CONNECTED"], "a restored connection")
    assert client.exists("/alive") is not None
    ensemble.run_command(f"expire {session_id}")
    ProcessHarness.wait_until(lambda: "LOST" in states and states[-1] == "CONNECTED", "a new session")
    assert client.exists("/alive") is None and f"{client.client_id[0]:#x}" != session_id
    client.stop()
    client.close()


@pytest.mark.parametrize(
    ("requests", "code"),
    [
        ([WriteRequest("create", "a")], Err.BAD_ARGUMENTS),
        ([WriteRequest("create", "/a/../b")], Err.BAD_ARGUMENTS),
        ([WriteRequest("create", "/e/x", acl=zk.OPEN_ACL)], Err.NO_CHILDREN_FOR_EPHEMERALS),
        ([WriteRequest("create", "/p", acl=())], Err.INVALID_ACL),
        ([WriteRequest("set", "/mine", b"x")], Err.NO_AUTH),
        ([WriteRequest("check", "/mine", version=3)], Err.NO_AUTH),
    ],
)
def test_the_stand_in_rejects_invalid_writes(requests: list[WriteRequest], code: Err) -> None:
    leader = Leader()
    leader.write([WriteRequest("create", "/e", acl=zk.OPEN_ACL, flags=1)], 5, [], 1)
    leader.write([WriteRequest("create", "/mine", acl=(zk.Acl(31, "auth", ""),))], 5, [("digest", "u:p")], 1)
    with pytest.raises(ZkError) as raised:
        leader.write(requests, 6, [("digest", "v:p")], 2)
    assert raised.value.code is code and leader.zxid == 2


def test_event_types_are_as_specified() -> None:
    assert [int(kind) for kind in EventType] == [-1, 1, 2, 3, 4, 5, 6, 7]

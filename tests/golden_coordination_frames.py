"""Golden cases of the coordination area: requests, replies and watch events of ZooKeeper."""

from __future__ import annotations

import struct
from typing import Any

from golden_folder import Format, Meaning, NamedMeaning, Replay, bytes_from_json, bytes_to_json

from stonecove.protocols.buffer import Buffer
from stonecove.protocols.zookeeper import messages as zk

# -- requests --

CREATE_MODES = {
    "persistent": zk.CreateMode.PERSISTENT,
    "ephemeral": zk.CreateMode.EPHEMERAL,
    "persistent_sequential": zk.CreateMode.PERSISTENT_SEQUENTIAL,
    "ephemeral_sequential": zk.CreateMode.EPHEMERAL_SEQUENTIAL,
    "container": zk.CreateMode.CONTAINER,
}
WATCH_MODES = {
    "persistent": zk.AddWatchMode.PERSISTENT,
    "persistent_recursive": zk.AddWatchMode.PERSISTENT_RECURSIVE,
}


def _request_data(meaning: Meaning) -> bytes:
    return b"x" * meaning["padding"] if "padding" in meaning else bytes_from_json(meaning["data"])


def build_operation(meaning: Meaning) -> zk.Request:
    """Build the request that a meaning describes."""
    path = meaning.get("path", "")
    match meaning["operation"]:
        case "create" | "create2" as name:
            return zk.Create(
                path,
                _request_data(meaning),
                tuple(zk.Acl(*entry) for entry in meaning["acl"]),
                CREATE_MODES[meaning["mode"]],
                name == "create2",
            )
        case "delete":
            return zk.Delete(path, meaning["version"])
        case "exists":
            return zk.Exists(path, meaning["watch"])
        case "get_data":
            return zk.GetData(path, meaning["watch"])
        case "get_children2":
            return zk.GetChildren2(path, meaning["watch"])
        case "set_data":
            return zk.SetData(path, _request_data(meaning), meaning["version"])
        case "sync":
            return zk.Sync(path)
        case "check":
            return zk.Check(path, meaning["version"])
        case "add_watch":
            return zk.AddWatch(path, WATCH_MODES[meaning["mode"]])
        case "close_session":
            return zk.CloseSession()
        case "set_watches":
            kinds = ("data", "exist", "child", "persistent", "persistent_recursive")
            return zk.SetWatches(meaning["zxid"], *(tuple(meaning[kind]) for kind in kinds))
        case "multi":
            return zk.Multi(tuple(map(_build_single, meaning["operations"])))
    raise KeyError(meaning["operation"])


def _build_single(meaning: Meaning) -> zk.Single:
    operation = build_operation(meaning)
    assert isinstance(operation, (zk.Create, zk.Delete, zk.SetData, zk.Check))
    return operation


def encode_request(meaning: Meaning) -> bytes:
    """Encode the request that a meaning describes as a frame."""
    match meaning["operation"]:
        case "connect":
            return zk.connect_request(
                meaning["last_zxid"],
                meaning["timeout_ms"],
                meaning["session"],
                bytes_from_json(meaning["password"]),
                meaning["read_only"],
            )
        case "ping":
            return zk.ping()
        case "auth":
            return zk.auth(meaning["scheme"], bytes_from_json(meaning["credentials"]))
    return zk.request(meaning["xid"], build_operation(meaning))


def operation_request(name: str, path: str = "", **fields: Any) -> Meaning:
    return {"operation": name, **({"path": path} if path else {}), **fields}


OPEN_ACL = [[31, "world", "anyone"]]


def create_request(path: str, data: bytes = b"", mode: str = "persistent", **changes: Any) -> Meaning:
    fields = {"data": bytes_to_json(data), "mode": mode, "acl": OPEN_ACL, **changes}
    return operation_request("create", path, **fields)


def _set_watches_request(**changes: Any) -> Meaning:
    kinds: dict[str, list[str]] = {
        kind: [] for kind in ("data", "exist", "child", "persistent", "persistent_recursive")
    }
    return operation_request("set_watches", **{"zxid": 0x1234, **kinds, **changes})


def _request_samples() -> tuple[NamedMeaning, ...]:
    password = bytes_to_json(bytes(range(16)))
    operations: list[NamedMeaning] = [
        *((f"create {mode}", create_request("/a/b", b"{}", mode)) for mode in CREATE_MODES),
        (
            "create with two access entries",
            create_request("/a", acl=[[1, "world", "anyone"], [31, "auth", ""]]),
        ),
        ("create2", {**create_request("/a/b", b"\x00\xff"), "operation": "create2"}),
        ("delete any version", operation_request("delete", "/a/b", version=-1)),
        ("delete version 3", operation_request("delete", "/a/b", version=3)),
        *(
            (f"{name}, watch {watch}", operation_request(name, "/a/\u00e9", watch=watch))
            for name in ("exists", "get_data", "get_children2")
            for watch in (False, True)
        ),
        ("set_data", operation_request("set_data", "/a/b", data=bytes_to_json(b'{"a": 1}'), version=7)),
        ("set_data to nothing", operation_request("set_data", "/a/b", data=bytes_to_json(b""), version=-1)),
        ("sync", operation_request("sync", "/a")),
        ("check", operation_request("check", "/a", version=2)),
        *((f"add_watch {mode}", operation_request("add_watch", "/a", mode=mode)) for mode in WATCH_MODES),
        ("close_session", operation_request("close_session")),
        (
            "multi",
            operation_request(
                "multi",
                operations=[
                    operation_request("check", "/a", version=2),
                    create_request("/a/b", b"x"),
                    {**create_request("/a/c", b"y", "ephemeral"), "operation": "create2"},
                    operation_request("set_data", "/a", data=bytes_to_json(b"z"), version=2),
                    operation_request("delete", "/a/d", version=-1),
                ],
            ),
        ),
        ("empty multi", operation_request("multi", operations=[])),
    ]
    numbered = [
        (name, {"xid": number + 1, **operation}) for number, (name, operation) in enumerate(operations)
    ]
    connect = operation_request(
        "connect", last_zxid=0x1_0000_0002, timeout_ms=10_000, session=0xABCDEF, password=password
    )
    return (
        ("connect for a new session", {**connect, "session": 0, "last_zxid": 0, "read_only": False}),
        ("connect again", {**connect, "read_only": False}),
        ("connect, read-only allowed", {**connect, "read_only": True}),
        ("ping", operation_request("ping")),
        ("auth", operation_request("auth", scheme="digest", credentials=bytes_to_json(b"router:secret"))),
        *numbered,
        ("greatest xid", {"xid": 0x7FFFFFFF, **operation_request("sync", "/a")}),
        ("set watches", {"xid": -8, **_set_watches_request(data=["/a"], exist=["/b"], child=["/c", "/d"])}),
        ("set watches, persistent ones too", {
            "xid": -8, **_set_watches_request(child=["/c"], persistent=["/p"], persistent_recursive=["/q"])}),
    )  # fmt: skip


REQUESTS = Format(
    "zookeeper-requests",
    encode_request,
    None,
    samples=_request_samples(),
    unwritable=(
        (
            "larger than a frame",
            {"xid": 1, **operation_request("set_data", "/a", padding=1 << 20, version=-1)},
        ),
    ),
)

# -- replies as encoded by a server --


def int_field(value: int) -> bytes:
    return struct.pack(">i", value)


def text_field(text: str) -> bytes:
    return int_field(len(text.encode())) + text.encode()


def _frame(payload: bytes) -> bytes:
    return int_field(len(payload)) + payload


def reply_frame(xid: int, zxid: int, error: int = 0, body: bytes = b"") -> bytes:
    return _frame(struct.pack(">iqi", xid, zxid, error) + body)


def connected_frame(timeout_ms: int, session: int, read_only: bool | None = False) -> bytes:
    mode = b"" if read_only is None else bytes([read_only])
    return _frame(struct.pack(">iiqi", 0, timeout_ms, session, 16) + bytes(range(100, 116)) + mode)


def event_frame(kind: int, path: str, state: int = 3) -> bytes:
    return reply_frame(-1, -1, 0, struct.pack(">ii", kind, state) + text_field(path))


def stat_field(czxid: int = 0x21, version: int = 0, owner: int = 0, **fields: int) -> bytes:
    mzxid, length, children = fields.get("mzxid", czxid), fields.get("length", 0), fields.get("children", 0)
    layout = ">qqqqiiiqiiq"
    return struct.pack(
        layout,
        czxid,
        mzxid,
        1_764_576_000_123,
        1_764_576_000_456,
        version,
        5,
        6,
        owner,
        length,
        children,
        0x99,
    )


def data_field(data: bytes, **stat: int) -> bytes:
    return int_field(len(data)) + data + stat_field(**{"length": len(data), **stat})


def children_field(*names: str) -> bytes:
    return int_field(len(names)) + b"".join(map(text_field, names)) + stat_field(children=len(names))


def _multi_results() -> bytes:
    def result_header(kind: int, is_last: bool = False) -> bytes:
        return struct.pack(">ibi", kind, is_last, -1)

    results = [
        result_header(13),
        result_header(1) + text_field("/a/b"),
        result_header(15) + text_field("/a/c") + stat_field(),
        result_header(5) + stat_field(version=3),
        result_header(2),
    ]
    return b"".join(results) + result_header(-1, True)


def _multi_failure() -> bytes:
    results = [struct.pack(">ibi", -1, False, code) + int_field(code) for code in (0, -103, -2)]
    return b"".join(results) + struct.pack(">ibi", -1, True, -1)


REPLY_KINDS = {
    "create": zk.Op.CREATE,
    "create2": zk.Op.CREATE2,
    "delete": zk.Op.DELETE,
    "exists": zk.Op.EXISTS,
    "get_data": zk.Op.GET_DATA,
    "get_children2": zk.Op.GET_CHILDREN2,
    "set_data": zk.Op.SET_DATA,
    "sync": zk.Op.SYNC,
    "check": zk.Op.CHECK,
    "multi": zk.Op.MULTI,
    "add_watch": zk.Op.ADD_WATCH,
    "close_session": zk.Op.CLOSE_SESSION,
    "set_watches": zk.Op.SET_WATCHES,
    "set_watches2": zk.Op.SET_WATCHES2,
}
ERROR_CODES = (
    0, -1, -2, -3, -4, -5, -6, -7, -8, -12, -13, -14, -100, -101, -102, -103, -108, -110, -111, -112, -113,
    -114, -115, -118, -119, -120, -121, -122, -123, -124, -125, -127, -99, -1000, 5,
)  # fmt: skip
EVENT_TYPES = {
    "none": zk.EventType.NONE,
    "node_created": zk.EventType.CREATED,
    "node_deleted": zk.EventType.DELETED,
    "data_changed": zk.EventType.DATA_CHANGED,
    "children_changed": zk.EventType.CHILDREN_CHANGED,
    "data_watch_removed": zk.EventType.DATA_WATCH_REMOVED,
    "child_watch_removed": zk.EventType.CHILD_WATCH_REMOVED,
    "persistent_watch_removed": zk.EventType.PERSISTENT_WATCH_REMOVED,
}


def describe_stat(stat: zk.Stat) -> Meaning:
    """Return the meaning of a node's stat."""
    return {
        "czxid": stat.czxid,
        "mzxid": stat.mzxid,
        "ctime_ms": stat.ctime,
        "mtime_ms": stat.mtime,
        "version": stat.version,
        "children_version": stat.cversion,
        "acl_version": stat.aversion,
        "ephemeral_owner": stat.ephemeral_owner,
        "data_length": stat.data_length,
        "children": stat.num_children,
        "pzxid": stat.pzxid,
    }


def describe_result(result: zk.Result) -> Any:
    """Return the meaning of a reply's body."""
    if result is None:
        return None
    if isinstance(result, zk.Failed):
        return {"error": int(result.error)}
    if isinstance(result, zk.Stat):
        return {"stat": describe_stat(result)}
    if isinstance(result, zk.Data):
        return {"data": bytes_to_json(result.data), "stat": describe_stat(result.stat)}
    if isinstance(result, zk.Children):
        return {"children": list(result.names), "stat": describe_stat(result.stat)}
    if isinstance(result, zk.Created):
        stat = None if result.stat is None else describe_stat(result.stat)
        return {"path": result.path, "stat": stat}
    return [describe_result(item) for item in result]


def describe_event(event: zk.WatchEvent) -> Meaning:
    """Return the meaning of a watch event."""
    name = next(name for name, kind in EVENT_TYPES.items() if kind is event.kind)
    return {"type": name, "state": event.state, "path": event.path}


def _describe_reply(operation: str, payload: bytes) -> Meaning:
    if operation == "connect":
        connected = zk.read_connected(payload)
        return {
            "timeout_ms": connected.timeout,
            "session": connected.session,
            "password": bytes_to_json(connected.password),
            "read_only": connected.read_only,
        }
    header, reader = zk.read_header(payload)
    meaning: Meaning = {"xid": header.xid, "zxid": header.zxid, "error": int(header.error)}
    if operation == "header":
        return meaning
    if operation == "event":
        return {**meaning, **describe_event(zk.read_event(reader))}
    return {**meaning, "result": describe_result(zk.read_result(REPLY_KINDS[operation], reader))}


def play_replies(inputs: list[Meaning]) -> list[Any]:
    """Decode each input's bytes as frames from a server, and return their meanings."""
    outputs: list[Any] = []
    for step in inputs:
        buffer = Buffer(1 << 21)
        buffer.feed(bytes_from_json(step["bytes"]))
        try:
            outputs.append([_describe_reply(step["operation"], payload) for payload in zk.frames(buffer)])
        except zk.ZooKeeperError:
            outputs.append("malformed")
    return outputs


def _reply_script() -> list[Meaning]:
    valid: list[tuple[str, bytes]] = [
        ("connect", connected_frame(10_000, 0xABCDEF)),
        ("connect", connected_frame(4_000, 0xABCDEF, True)),
        ("connect", connected_frame(0, 0, None)),
        ("create", reply_frame(1, 0x22, 0, text_field("/a/b0000000007"))),
        ("create2", reply_frame(1, 0x22, 0, text_field("/a/\u00e9") + stat_field(owner=0xABCDEF))),
        ("delete", reply_frame(2, 0x23)),
        ("exists", reply_frame(3, 0x24, 0, stat_field(version=9, children=2))),
        ("get_data", reply_frame(4, 0x25, 0, data_field(b'{"a": 1}', mzxid=0x55))),
        ("get_data", reply_frame(4, 0x25, 0, int_field(-1) + stat_field())),
        ("get_children2", reply_frame(5, 0x26, 0, children_field("b", "a", "\u00e9"))),
        ("get_children2", reply_frame(5, 0x26, 0, int_field(-1) + stat_field())),
        ("set_data", reply_frame(6, 0x27, 0, stat_field(version=10))),
        *((name, reply_frame(7, 0x28)) for name in ("sync", "check", "add_watch", "close_session")),
        *((name, reply_frame(-8, 0x28)) for name in ("set_watches", "set_watches2")),
        ("multi", reply_frame(8, 0x29, 0, _multi_results())),
        ("multi", reply_frame(8, 0x29, 0, _multi_failure())),
        ("header", reply_frame(-2, 0x30) + reply_frame(-4, 0x30) + reply_frame(9, 0x31, -101)),
        *(("header", reply_frame(9, 0x31, code)) for code in ERROR_CODES),
        *(("event", event_frame(kind, "/a/b")) for kind in (-1, 1, 2, 3, 4, 5, 6, 7)),
        ("event", event_frame(-1, "", -112)),
        ("header", b""),
        ("header", reply_frame(9, 0x31)[:-1]),
        ("header", reply_frame(9, 0x31) + reply_frame(10, 0x32)[:5]),
    ]
    malformed: list[tuple[str, bytes]] = [
        ("header", int_field(-1)),
        ("header", int_field((1 << 20) + 1)),
        ("header", _frame(b"\0" * 15)),
        ("connect", _frame(b"\0" * 15)),
        ("connect", _frame(struct.pack(">iiqi", 0, 1, 2, 17) + bytes(16))),
        ("event", reply_frame(-1, -1, 0, struct.pack(">ii", 8, 3) + text_field("/a"))),
        ("event", reply_frame(-1, -1, 0, struct.pack(">ii", 3, 3) + int_field(9) + b"/a")),
        ("event", reply_frame(-1, -1, 0, struct.pack(">ii", 3, 3) + int_field(2) + b"\xff\xfe")),
        ("get_data", reply_frame(4, 0x25, 0, data_field(b"abc")[:-1])),
        ("get_data", reply_frame(4, 0x25, 0, int_field(-2) + stat_field())),
        ("get_children2", reply_frame(5, 0x26, 0, int_field(1 << 30))),
        ("get_children2", reply_frame(5, 0x26, 0, int_field(-2) + stat_field())),
        ("multi", reply_frame(8, 0x29, 0, _multi_results()[:-9])),
        ("multi", reply_frame(8, 0x29, 0, struct.pack(">ibi", 4, False, -1))),
    ]
    return [
        {"operation": operation, "bytes": bytes_to_json(data)} for operation, data in (*valid, *malformed)
    ]


REPLIES = Replay("zookeeper-replies", _reply_script, play_replies)

CASES = (REQUESTS, REPLIES)

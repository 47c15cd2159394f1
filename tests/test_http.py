"""The HTTP front: what it takes apart purely, then tokens on the real program, over HTTP, TLS and FastCGI."""

from __future__ import annotations

import contextlib
import datetime
import http.client
import json
import signal
import socket
import ssl
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from stand import WAIT_TIMEOUT_S, Stand, free_address

from stonecove.access import formats
from stonecove.access.keys import KeyRing, generate
from stonecove.protocols.http import MOST_BODY, HttpError, HttpSession, State, byte_range

OBJECT = "7f3a9c21e0b4d655"
HEAD = b"GET /svc/image/7f3a9c21e0b4d655/3 HTTP/1.1\r\nHost: e\r\n"

# -- purely --


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (HEAD + b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n", 400),
        (HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", 411),
        (HEAD + b"Transfer-Encoding : chunked\r\n\r\n", 400),
        (HEAD + b"X: a\nY: b\r\n\r\n", 400),
        (HEAD + b"X: a\rY: b\r\n\r\n", 400),
        (HEAD + b"X: a\r\n folded\r\n\r\n", 400),
        (HEAD + b"X: \0\r\n\r\n", 400),
        (HEAD + b"\xc3\xa4: a\r\n\r\n", 400),
        (HEAD + b"Content-Length: +5\r\n\r\n", 400),
        (HEAD + b"Content-Length: 5\r\n\r\n", 400),
        (HEAD + b"Host: other\r\n\r\n", 400),
        (HEAD.replace(b"Host: e\r\n", b"") + b"\r\n", 400),
        (HEAD.replace(b"GET", b"get") + b"\r\n", 400),
        (HEAD.replace(b"GET", b"PUT") + b"\r\n", 405),
        (HEAD.replace(b"/svc", b"http://e/svc") + b"\r\n", 400),
        (HEAD.replace(b" HTTP", b"  HTTP") + b"\r\n", 400),
        (HEAD.replace(b"HTTP/1.1", b"HTTP/2.0") + b"\r\n", 400),
        (HEAD.replace(b"GET", b"POST") + b"Content-Length: 70000\r\n\r\n", 413),
        (HEAD + b"Expect: wonders\r\n\r\n", 417),
        (HEAD + b"X: y\r\n" * 70 + b"\r\n", 431),
        (b"GET /" + b"x" * 20_000, 431),
        (b"GET / HTTP/1.1\nHost: e\n\n", 400),
    ],
)
@pytest.mark.parametrize("step", [1, 1 << 20])
def test_what_two_readers_could_read_in_two_ways_is_refused(head: bytes, status: int, step: int) -> None:
    session = HttpSession()
    with pytest.raises(HttpError) as error:
        for at in range(0, len(head), step if len(head) < 5000 else 4096):
            session.feed(head[at : at + (step if len(head) < 5000 else 4096)])
            while session.next() is not None and session.state is not State.ANSWER:
                pass
        raise AssertionError("it was taken")
    assert error.value.status == status
    assert session.refuse(error.value).startswith(b"HTTP/1.1 %d " % status) and not session.keep


def test_pipelined_requests_come_in_order_one_at_a_time() -> None:
    session = HttpSession()
    post = b"POST /svc/confirm/1/0 HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\n\r\nabc"
    session.feed(HEAD + b"Cookie: a=1; b=2\r\n\r\n" + post + HEAD + b"Connection: close\r\n\r\n")
    first = session.next()
    assert first is not None and first.cookies == (("a", "1"), ("b", "2")) and session.next() is first
    assert session.next() is None and session.state is State.ANSWER
    assert b"ETag" in session.answer(200, [("ETag", '"t"')], b"x")
    second = session.next()
    assert second is not None and session.next() is second and second.body == b"abc"
    assert session.answer(200, [], b"y").endswith(b"\r\n\r\ny")
    third = session.next()
    assert third is not None and session.next() is third
    assert b"close" in session.answer(200, [], b"") and not session.keep


def test_what_waits_is_bounded_and_a_head_has_no_bytes() -> None:
    session = HttpSession()
    session.feed(HEAD.replace(b"GET", b"HEAD") + b"\r\n")
    session.next()
    session.next()
    out = session.answer(200, [], b"12345")
    assert b"Content-Length: 5" in out and out.endswith(b"\r\n\r\n")
    with pytest.raises(HttpError):
        for _ in range(3):
            session.feed(b"x" * MOST_BODY)


@pytest.mark.parametrize(
    ("text", "size", "found"),
    [
        ("bytes=0-0", 10, (0, 0)), ("bytes=5-", 10, (5, 9)), ("bytes=-3", 10, (7, 9)),
        ("bytes=-30", 10, (0, 9)), ("bytes=2-99", 10, (2, 9)), ("bytes=5-2", 10, None),
        ("bytes=0-1,3-4", 10, None), ("items=0-1", 10, None),
        ("bytes=-", 10, None), ("bytes=10-", 10, 416), ("bytes=-0", 10, 416), ("bytes=0-", 0, 416),
    ],
)  # fmt: skip
def test_ranges(text: str, size: int, found: Any) -> None:
    if found == 416:
        with pytest.raises(HttpError):
            byte_range(text, size)
    else:
        assert byte_range(text, size) == found


# -- on the real program --


def ring(*more: dict[str, Any], retired: str = "") -> dict[str, Any]:
    base: list[dict[str, Any]] = [
        {"id": "k1", "algorithm": "HS256", "secret": "00112233445566778899aabbccddeeff"},
        {"id": "e1", "algorithm": "HMAC-SHA256", "use": ["edge-auth"], "secret": "ff" * 16},
    ]
    return {"keys": [{**one, "retired": one["id"] == retired} for one in (*base, *more)]}


POLICIES = """policies: [
    {prefix: "/svc/image", grace: 20s, skew: 0ms},
    {prefix: "/svc/confirm", methods: ["POST"], once: true, floor: true, skew: 0ms},
    {prefix: "/svc/page", depot: true, formats: ["bearer"], skew: 0ms}]"""


class Fronted:
    """A stand whose router has an HTTP front and asks for tokens; every fetch is answered and noted."""

    def __init__(self, folder: Path, tls: str = "", more: str = "", answer: bool = True) -> None:
        self.ring_file = folder / "ring.json"
        self.write(ring())
        self.address = free_address()
        operator = folder / "operator.cue"
        operator.write_text(
            f'access: {{ring: "{self.ring_file}"\n{POLICIES}\n{more}}}\n'
            f'http: {{listen: "{self.address[0]}:{self.address[1]}"\n{tls}}}\n'
        )
        self.stand = Stand(env={"STONECOVE_OPERATOR": str(operator)})
        self.fetched: Counter[str] = Counter()
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._answer, daemon=True)
        if answer:
            self._thread.start()

    def write(self, table: dict[str, Any]) -> None:
        self.ring_file.touch(mode=0o600)
        self.ring_file.write_text(json.dumps(table))

    def _answer(self) -> None:
        while not self._over.is_set():
            if (fetch := self.stand.maybe_command(0.05)) is not None and fetch.word == "fetch":
                self.fetched[fetch.fields["cls"]] += 1
                fetch.reply(body=b"0123456789")

    def token(self, key: str = "k1", table: dict[str, Any] | None = None, **claims: Any) -> str:
        found = KeyRing.read(table or ring()).keys[key]
        return formats.sign_jwt(found, {"exp": time.time() + 60, "sub": "picker", **claims})

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(*self.address, timeout=WAIT_TIMEOUT_S)

    def ask(self, path: str, token: str = "", method: str = "GET", client: Any = None, **fields: str) -> Any:
        """Status, fields and body."""
        own = client or self.connect()
        headers = {name.replace("_", "-"): value for name, value in fields.items()}
        if token:
            headers["Authorization"] = f"Bearer {token}"
        own.request(method, path, b"abc" if method == "POST" else None, headers)
        answer = own.getresponse()
        body = answer.read()
        if client is None:
            own.close()
        return answer.status, answer.headers, body

    def close(self) -> None:
        self._over.set()
        self.stand.close()


@pytest.fixture
def fronted(tmp_path: Path) -> Iterator[Fronted]:
    made = Fronted(tmp_path)
    yield made
    made.close()


IMAGE = f"/svc/image/{OBJECT}"


def test_an_object_in_parts_by_get_head_range_and_etag(fronted: Fronted) -> None:
    assert fronted.ask("/status/live")[0] == 200
    token, client = fronted.token(), fronted.connect()
    status, answer, body = fronted.ask(f"{IMAGE}/0", token, client=client)
    assert (status, body, answer["ETag"]) == (200, b"0123456789", '"aa11"') and int(answer["Age"]) <= 5
    assert answer["Cache-Control"] == "private, no-cache"
    status, answer, body = fronted.ask(f"{IMAGE}/1", token, client=client, Range="bytes=2-4")
    assert (status, body, answer["Content-Range"]) == (206, b"234", "bytes 2-4/10")
    assert fronted.ask(f"{IMAGE}/1", token, client=client, Range="bytes=50-")[0] == 416
    assert fronted.ask(f"{IMAGE}/1", token, client=client, Range="bytes=2-4", If_Range='"other"')[0] == 200
    status, answer, body = fronted.ask(f"{IMAGE}/2", token, "HEAD", client)
    assert (status, body, answer["Content-Length"]) == (200, b"", "10")
    assert fronted.ask("/svc/nothing/1/0", token, client=client)[0] == 404
    assert fronted.ask(IMAGE, token, client=client)[0] == 200  # part 0


def test_a_forged_write_is_refused_once_and_no_cache_sees_it(fronted: Fronted) -> None:
    good = fronted.token(jti="one", mth=["POST"])
    forged = good[:-3] + ("AAA" if not good.endswith("AAA") else "BBB")
    status, answer, _ = fronted.ask("/svc/confirm/0000000000000001/0", forged, "POST")
    assert status == 403 and "token_rejected" in str(fronted.stand.lines("token_rejected"))
    assert not fronted.fetched and forged not in str(fronted.stand.lines("token_rejected"))
    assert fronted.ask("/svc/confirm/0000000000000001/0", good, "POST")[0] == 200
    assert fronted.ask("/svc/confirm/0000000000000001/0", good, "POST")[0] == 403  # a token for one request
    assert fronted.fetched["confirm"] == 1
    assert fronted.ask("/svc/confirm/0000000000000001/0", fronted.token(mth=["HEAD"]), "POST")[0] == 403
    assert fronted.ask("/svc/confirm/0000000000000001/0", method="POST")[0] == 401
    assert fronted.fetched["confirm"] == 1


def test_replay_on_two_connections_in_one_instant_lets_one_in(fronted: Fronted) -> None:
    statuses: Counter[int] = Counter()
    for number in range(10):
        token = fronted.token(jti=f"twice-{number}")
        begin = threading.Barrier(2)

        def ask(begin: threading.Barrier = begin, token: str = token) -> None:
            client = fronted.connect()
            client.connect()
            begin.wait()
            statuses[fronted.ask("/svc/confirm/0000000000000002/0", token, "POST", client)[0]] += 1
            client.close()

        both = [threading.Thread(target=ask) for _ in range(2)]
        for one in both:
            one.start()
        for one in both:
            one.join()
    assert statuses == {200: 10, 403: 10} and fronted.fetched["confirm"] == 10


def test_a_token_that_expires_in_the_middle_of_an_object_is_good_for_the_rest(fronted: Fronted) -> None:
    token, client = fronted.token(exp=time.time() + 1.2), fronted.connect()
    assert fronted.ask(f"{IMAGE}/0", token, client=client)[0] == 200
    Stand.wait(lambda: time.time() > json.loads(_claims(token))["exp"] + 0.1, "the token has expired")
    assert [fronted.ask(f"{IMAGE}/{part}", token, client=client)[0] for part in range(1, 4)] == [200] * 3
    assert fronted.ask("/svc/image/0000000000000009/0", token, client=client)[0] == 403


def _claims(token: str) -> bytes:
    import base64

    return base64.urlsafe_b64decode(token.split(".")[1] + "==")


def test_a_depot_is_asked_for_where_the_policy_says_so(fronted: Fronted) -> None:
    assert fronted.ask("/svc/page/1/0".replace("1", OBJECT), fronted.token(depot="edge-2"))[0] == 403
    assert fronted.ask("/svc/page/1/0".replace("1", OBJECT), fronted.token())[0] == 403
    assert fronted.ask("/svc/page/1/0".replace("1", OBJECT), fronted.token(depot="edge-1"))[0] == 200


def _wait_lines(fronted: Fronted, event: str, count: int) -> None:
    Stand.wait(lambda: len(fronted.stand.lines(event)) >= count, f"{count} lines {event}")


def test_keys_are_rotated_and_retired_under_load_without_a_refused_good_request(fronted: Fronted) -> None:
    second = generate("k2", "ES256", [], 0.0)
    both = ring(second)
    current = {"key": "k1"}
    statuses: Counter[int] = Counter()
    over = threading.Event()

    def load() -> None:
        client = fronted.connect()
        while not over.is_set():
            token = fronted.token(current["key"], both)
            statuses[fronted.ask(f"{IMAGE}/0", token, client=client)[0]] += 1
        client.close()

    workers = [threading.Thread(target=load) for _ in range(3)]
    for one in workers:
        one.start()
    try:
        for table, key in ((both, "k2"), (ring(second, retired="k1"), "k2")):
            count = len(fronted.stand.lines("access_config_reloaded")) + 1
            fronted.write(table)
            fronted.stand.process.send_signal(signal.SIGHUP)
            _wait_lines(fronted, "access_config_reloaded", count)
            current["key"] = key
            time.sleep(0.3)
        fronted.ring_file.chmod(0o644)
        fronted.stand.process.send_signal(signal.SIGHUP)
        Stand.wait(
            lambda: fronted.stand.lines("access_config_rejected"), "a ring that others may read is refused"
        )
    finally:
        over.set()
        for one in workers:
            one.join()
    assert set(statuses) == {200} and statuses[200] > 20
    assert fronted.ask(f"{IMAGE}/0", fronted.token("k1"))[0] == 403


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /svc/image/1/0 HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer " + b"x" * 10_000_000, 431),
        (b"GET /svc/image/1/0 HTTP/1.1\r\nHost: e\r\n" + b"X: y\r\n" * 9999, 431),
        (
            b"POST /svc/confirm/1/0 HTTP/1.1\r\nHost: e\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (b"GET /svc/../svc/image/1/0 HTTP/1.1\r\nHost: e\r\n\r\n", 400),
        (b"GET /svc/%69mage/1/0 HTTP/1.1\r\nHost: e\r\n\r\n", 400),
        (b"GET //svc/image/1/0 HTTP/1.1\r\nHost: e\r\n\r\n", 400),
        (b"GET /svc/image/1/0 HTTP/1.1\r\nHost: e\r\n", 408),
    ],
)
def test_bad_clients_get_one_answer_and_others_are_served(fronted: Fronted, data: bytes, status: int) -> None:
    with socket.create_connection(fronted.address, WAIT_TIMEOUT_S) as sock:
        with contextlib.suppress(OSError):
            sock.sendall(data)  # it may be left while it still sends
        got = b""
        with contextlib.suppress(OSError):
            while b"\r\n\r\n" not in got and (part := sock.recv(65_536)):
                got += part
    assert got.startswith(b"HTTP/1.1 %d " % status), got
    assert fronted.ask(f"{IMAGE}/0", fronted.token())[0] == 200


def test_a_client_that_leaves_and_one_that_expects(tmp_path: Path) -> None:
    fronted = Fronted(tmp_path, answer=False)
    try:
        head = f"GET {IMAGE}/0 HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {fronted.token()}\r\n\r\n"
        with socket.create_connection(fronted.address, WAIT_TIMEOUT_S) as sock:
            sock.sendall(head.encode())
            fetch = fronted.stand.command()
        fetch.reply(body=b"late")
        with socket.create_connection(fronted.address, WAIT_TIMEOUT_S) as sock:
            head = (
                f"POST /svc/confirm/{OBJECT}/0 HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\n"
                f"Expect: 100-continue\r\nAuthorization: Bearer {fronted.token(jti='x')}\r\n\r\n"
            )
            sock.sendall(head.encode())
            assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
            sock.sendall(b"abc")
            fetch = fronted.stand.command()
            assert fetch.fields["cls"] == "confirm" and fetch.body == b"abc"
            fetch.reply(body=b"ok")
            assert sock.recv(1000).startswith(b"HTTP/1.1 200 ")
            forged = head.replace(fronted.token(jti="x")[:20], "AAAA")
        with socket.create_connection(fronted.address, WAIT_TIMEOUT_S) as sock:
            sock.sendall(forged.encode())  # refused by its head alone: no 100
            assert sock.recv(1000).startswith(b"HTTP/1.1 40")
    finally:
        fronted.close()


def certificate(folder: Path, name: str) -> tuple[Path, Path]:
    """A certificate of its own for 127.0.0.0/8, and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    made = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    cert, private = folder / "cert.pem", folder / "key.pem"
    cert.write_bytes(made.public_bytes(serialization.Encoding.PEM))
    private.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return cert, private


def test_tls_and_a_new_certificate_in_service(tmp_path: Path) -> None:
    cert, key = certificate(tmp_path, "first")
    fronted = Fronted(tmp_path, tls=f'tls: {{certificate: "{cert}", key: "{key}"}}')
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE

    def connect() -> http.client.HTTPSConnection:
        client = http.client.HTTPSConnection(*fronted.address, timeout=WAIT_TIMEOUT_S, context=context)
        client.connect()
        return client

    def common_name(client: http.client.HTTPSConnection) -> str:
        der = client.sock.getpeercert(binary_form=True)
        assert der is not None
        return str(
            x509.load_der_x509_certificate(der)
            .subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)[0]
            .value
        )

    try:
        old = connect()
        assert common_name(old) == "first"
        assert fronted.ask(f"{IMAGE}/0", fronted.token(), client=old)[0] == 200
        certificate(tmp_path, "second")
        fronted.stand.process.send_signal(signal.SIGHUP)
        Stand.wait(lambda: fronted.stand.lines("http_reloaded"), "the new certificate")
        assert fronted.ask(f"{IMAGE}/1", fronted.token(), client=old)[0] == 200  # it goes on
        assert common_name(connect()) == "second"
        cert.write_text("nonsense")
        fronted.stand.process.send_signal(signal.SIGHUP)
        Stand.wait(lambda: fronted.stand.lines("certificate_rejected"), "a refusal")
        assert common_name(connect()) == "second"
        with socket.create_connection(fronted.address, WAIT_TIMEOUT_S) as plain:
            plain.sendall(b"GET / HTTP/1.1\r\nHost: e\r\n\r\n")
            assert not plain.recv(1000).startswith(b"HTTP")
        assert common_name(connect()) == "second"
    finally:
        fronted.close()


def test_tokens_over_fastcgi_where_the_file_says_so(tmp_path: Path) -> None:
    fronted = Fronted(tmp_path, more="fastcgi: true")
    try:
        client = fronted.stand.client()
        cgi = {"REMOTE_ADDR": "10.0.0.1", "REQUEST_METHOD": "GET"}
        assert client.ask(cgi=cgi).status == 401
        assert client.ask(cgi=cgi, AUTHORIZATION=f"Bearer {fronted.token()}").status == 200
        assert client.ask(cgi={**cgi, "QUERY_STRING": "hdnts=exp=1~hmac=aa"}).status == 403
        key = KeyRing.read(ring()).keys["e1"]
        text = formats.sign_edge_auth(
            key, int(time.time()) + 60, acl="/svc/image/*", source="10.0.0.1", data="kid:e1"
        )
        assert client.ask(cgi={**cgi, "QUERY_STRING": f"hdnts={text}"}).status == 200
        assert (
            client.ask(cgi={**cgi, "REMOTE_ADDR": "10.0.0.2", "QUERY_STRING": f"hdnts={text}"}).status == 403
        )
        assert fronted.fetched["image"] == 2
    finally:
        fronted.close()


def test_a_drain_answers_what_is_open_and_ends(tmp_path: Path) -> None:
    fronted = Fronted(tmp_path, answer=False)
    try:
        client = fronted.connect()
        client.request("GET", f"{IMAGE}/0", headers={"Authorization": f"Bearer {fronted.token()}"})
        fetch = fronted.stand.command()
        fronted.stand.process.terminate()
        time.sleep(0.2)
        fetch.reply(body=b"last")
        answer = client.getresponse()
        assert answer.read() == b"last" and answer.headers["Connection"] == "close"
        assert fronted.stand.process.wait(WAIT_TIMEOUT_S) == 0
    finally:
        fronted.close()


@pytest.mark.parametrize("wrong", ["rights", "ring", "policies"])
def test_what_can_not_be_used_is_told_before_the_start(tmp_path: Path, wrong: str) -> None:
    import os
    import subprocess
    import sys

    ring_file, operator = tmp_path / "ring.json", tmp_path / "operator.cue"
    ring_file.write_text(
        json.dumps(ring()) if wrong != "ring" else '{"keys": [{"id": "k", "algorithm": "x"}]}'
    )
    ring_file.chmod(0o644 if wrong == "rights" else 0o600)
    twice = 'policies: [{prefix: "/a"}, {prefix: "/a/"}]' if wrong == "policies" else "policies: []"
    operator.write_text(f'access: {{ring: "{ring_file}"\n{twice}}}\n')
    config = tmp_path / "config.json"
    config.write_text(json.dumps(Stand.plain_config()))
    done = subprocess.run(
        [sys.executable, "-m", "stonecove"],
        capture_output=True,
        text=True,
        check=False,
        timeout=WAIT_TIMEOUT_S,
        env={**os.environ, "RELAY_CONFIG": str(config), "STONECOVE_OPERATOR": str(operator)},
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1
    assert {"rights": "rights 644", "ring": "no algorithm", "policies": "two policies"}[wrong] in done.stderr

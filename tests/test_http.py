"""The HTTP front end: its session without I/O, then tokens on a real router, over HTTP, TLS and FastCGI."""

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
from process_harness import WAIT_TIMEOUT_S, ProcessHarness, free_address

from stonecove.access import formats
from stonecove.access.keys import KeyRing, generate
from stonecove.protocols.http import MAX_BODY_BYTES, HttpError, HttpSession, State, byte_range

OBJECT = "7f3a9c21e0b4d655"
REQUEST_HEAD = b"GET /svc/image/7f3a9c21e0b4d655/3 HTTP/1.1\r\nHost: e\r\n"

# -- the session without I/O --


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (REQUEST_HEAD + b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", 411),
        (REQUEST_HEAD + b"Transfer-Encoding : chunked\r\n\r\n", 400),
        (REQUEST_HEAD + b"X: a\nY: b\r\n\r\n", 400),
        (REQUEST_HEAD + b"X: a\rY: b\r\n\r\n", 400),
        (REQUEST_HEAD + b"X: a\r\n folded\r\n\r\n", 400),
        (REQUEST_HEAD + b"X: \0\r\n\r\n", 400),
        (REQUEST_HEAD + b"\xc3\xa4: a\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: +5\r\n\r\n", 400),
        (REQUEST_HEAD + b"Content-Length: 5\r\n\r\n", 400),
        (REQUEST_HEAD + b"Host: other\r\n\r\n", 400),
        (REQUEST_HEAD.replace(b"Host: e\r\n", b"") + b"\r\n", 400),
        (REQUEST_HEAD.replace(b"GET", b"get") + b"\r\n", 400),
        (REQUEST_HEAD.replace(b"GET", b"PUT") + b"\r\n", 405),
        (REQUEST_HEAD.replace(b"/svc", b"http://e/svc") + b"\r\n", 400),
        (REQUEST_HEAD.replace(b" HTTP", b"  HTTP") + b"\r\n", 400),
        (REQUEST_HEAD.replace(b"HTTP/1.1", b"HTTP/2.0") + b"\r\n", 400),
        (REQUEST_HEAD.replace(b"GET", b"POST") + b"Content-Length: 70000\r\n\r\n", 413),
        (REQUEST_HEAD + b"Expect: wonders\r\n\r\n", 417),
        (REQUEST_HEAD + b"X: y\r\n" * 70 + b"\r\n", 431),
        (b"GET /" + b"x" * 20_000, 431),
        (b"GET / HTTP/1.1\nHost: e\n\n", 400),
    ],
)
@pytest.mark.parametrize("chunk_bytes", [1, 1 << 20])
def test_ambiguous_requests_are_rejected(head: bytes, status: int, chunk_bytes: int) -> None:
    """Guards against request smuggling: heads that two parsers could interpret differently."""
    session = HttpSession()
    with pytest.raises(HttpError) as error:
        for offset in range(0, len(head), chunk_bytes if len(head) < 5000 else 4096):
            session.receive_data(head[offset : offset + (chunk_bytes if len(head) < 5000 else 4096)])
            while session.next_request() is not None and session.state is not State.ANSWER:
                pass
        raise AssertionError("the ambiguous request was accepted")
    assert error.value.status == status
    assert session.error_response(error.value).startswith(b"HTTP/1.1 %d " % status) and not session.keep_alive


def test_pipelined_requests_are_returned_in_order_one_at_a_time() -> None:
    """Guards against a pipelined request that is returned before the one ahead of it is answered."""
    session = HttpSession()
    post = b"POST /svc/confirm/1/0 HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\n\r\nabc"
    session.receive_data(
        REQUEST_HEAD + b"Cookie: a=1; b=2\r\n\r\n" + post + REQUEST_HEAD + b"Connection: close\r\n\r\n"
    )
    first = session.next_request()
    assert first is not None and first.cookies == (("a", "1"), ("b", "2")) and session.next_request() is first
    assert session.next_request() is None and session.state is State.ANSWER
    assert b"ETag" in session.response(200, [("ETag", '"t"')], b"x")
    second = session.next_request()
    assert second is not None and session.next_request() is second and second.body == b"abc"
    assert session.response(200, [], b"y").endswith(b"\r\n\r\ny")
    third = session.next_request()
    assert third is not None and session.next_request() is third
    assert b"close" in session.response(200, [], b"") and not session.keep_alive


def test_buffered_bytes_are_bounded_and_a_response_to_head_has_no_body() -> None:
    """Guards against unlimited pipelined bytes, and a body in the response to HEAD."""
    session = HttpSession()
    session.receive_data(REQUEST_HEAD.replace(b"GET", b"HEAD") + b"\r\n")
    session.next_request()
    session.next_request()
    response = session.response(200, [], b"12345")
    assert b"Content-Length: 5" in response and response.endswith(b"\r\n\r\n")
    with pytest.raises(HttpError):
        for _ in range(3):
            session.receive_data(b"x" * MAX_BODY_BYTES)


@pytest.mark.parametrize(
    ("field", "size", "expected"),
    [
        ("bytes=0-0", 10, (0, 0)), ("bytes=5-", 10, (5, 9)), ("bytes=-3", 10, (7, 9)),
        ("bytes=-30", 10, (0, 9)), ("bytes=2-99", 10, (2, 9)), ("bytes=5-2", 10, None),
        ("bytes=0-1,3-4", 10, None), ("items=0-1", 10, None),
        ("bytes=-", 10, None), ("bytes=10-", 10, 416), ("bytes=-0", 10, 416), ("bytes=0-", 0, 416),
    ],
)  # fmt: skip
def test_range_fields_are_parsed_as_rfc_9110_defines(field: str, size: int, expected: Any) -> None:
    """Guards against Range fields that are parsed otherwise than RFC 9110 defines."""
    if expected == 416:
        with pytest.raises(HttpError):
            byte_range(field, size)
    else:
        assert byte_range(field, size) == expected


# -- on a running router --


def make_ring(*extra_keys: dict[str, Any], retired: str = "") -> dict[str, Any]:
    """Return a key ring as JSON with two keys and any extra ones, of which one may be retired."""
    base_keys: list[dict[str, Any]] = [
        {"id": "k1", "algorithm": "HS256", "secret": "00112233445566778899aabbccddeeff"},
        {"id": "e1", "algorithm": "HMAC-SHA256", "use": ["edge-auth"], "secret": "ff" * 16},
    ]
    return {"keys": [{**key, "retired": key["id"] == retired} for key in (*base_keys, *extra_keys)]}


POLICIES = """policies: [
    {prefix: "/svc/image", grace: 20s, skew: 0ms},
    {prefix: "/svc/confirm", methods: ["POST"], once: true, floor: true, skew: 0ms},
    {prefix: "/svc/page", depot: true, formats: ["bearer"], skew: 0ms}]"""


class HttpHarness:
    """A harness whose router has an HTTP front end and requires tokens; fetches are answered and counted."""

    def __init__(
        self, folder: Path, tls_section: str = "", access_fields: str = "", answer_fetches: bool = True
    ) -> None:
        self.ring_file = folder / "ring.json"
        self.write_ring(make_ring())
        self.address = free_address()
        operator = folder / "operator.cue"
        operator.write_text(
            f'access: {{ring: "{self.ring_file}"\n{POLICIES}\n{access_fields}}}\n'
            f'http: {{listen: "{self.address[0]}:{self.address[1]}"\n{tls_section}}}\n'
        )
        self.router = ProcessHarness(env={"STONECOVE_OPERATOR": str(operator)})
        self.fetch_counts: Counter[str] = Counter()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._answer_fetches, daemon=True)
        if answer_fetches:
            self._thread.start()

    def write_ring(self, key_ring: dict[str, Any]) -> None:
        """Write the key ring's file, readable by the owner alone."""
        self.ring_file.touch(mode=0o600)
        self.ring_file.write_text(json.dumps(key_ring))

    def _answer_fetches(self) -> None:
        while not self._stopping.is_set():
            if (fetch := self.router.next_command_within(0.05)) is not None and fetch.name == "fetch":
                self.fetch_counts[fetch.fields["cls"]] += 1
                fetch.reply(body=b"0123456789")

    def sign_token(self, key_id: str = "k1", key_ring: dict[str, Any] | None = None, **claims: Any) -> str:
        """Return a signed token that is valid for a minute."""
        signing_key = KeyRing.read(key_ring or make_ring()).keys[key_id]
        return formats.sign_jwt(signing_key, {"exp": time.time() + 60, "sub": "picker", **claims})

    def connect(self) -> http.client.HTTPConnection:
        """Return a client of the front end."""
        return http.client.HTTPConnection(*self.address, timeout=WAIT_TIMEOUT_S)

    def send_request(
        self, path: str, token: str = "", method: str = "GET", client: Any = None, **headers: str
    ) -> Any:
        """Send a request and return status, fields and body of the response."""
        connection = client or self.connect()
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        if token:
            fields["Authorization"] = f"Bearer {token}"
        connection.request(method, path, b"abc" if method == "POST" else None, fields)
        response = connection.getresponse()
        body = response.read()
        if client is None:
            connection.close()
        return response.status, response.headers, body

    def close(self) -> None:
        """Stop answering fetches, then stop the router."""
        self._stopping.set()
        self.router.close()


@pytest.fixture
def frontend(tmp_path: Path) -> Iterator[HttpHarness]:
    """Return a router with an HTTP front end that is closed after the test."""
    frontend = HttpHarness(tmp_path)
    yield frontend
    frontend.close()


IMAGE = f"/svc/image/{OBJECT}"


def test_get_head_and_range_requests_for_chunks_are_answered(frontend: HttpHarness) -> None:
    """Guards against a wrong status, fields or body of GET, HEAD and Range requests for chunks."""
    assert frontend.send_request("/status/live")[0] == 200
    token, client = frontend.sign_token(), frontend.connect()
    status, response, body = frontend.send_request(f"{IMAGE}/0", token, client=client)
    assert (status, body, response["ETag"]) == (200, b"0123456789", '"aa11"') and int(response["Age"]) <= 5
    assert response["Cache-Control"] == "private, no-cache"
    status, response, body = frontend.send_request(f"{IMAGE}/1", token, client=client, Range="bytes=2-4")
    assert (status, body, response["Content-Range"]) == (206, b"234", "bytes 2-4/10")
    assert frontend.send_request(f"{IMAGE}/1", token, client=client, Range="bytes=50-")[0] == 416
    status, _, _ = frontend.send_request(
        f"{IMAGE}/1", token, client=client, Range="bytes=2-4", If_Range='"other"'
    )
    assert status == 200
    status, response, body = frontend.send_request(f"{IMAGE}/2", token, "HEAD", client)
    assert (status, body, response["Content-Length"]) == (200, b"", "10")
    assert frontend.send_request("/svc/nothing/1/0", token, client=client)[0] == 404
    assert frontend.send_request(IMAGE, token, client=client)[0] == 200  # without a chunk number: chunk 0


def test_writes_with_forged_reused_or_missing_tokens_reach_no_cache(frontend: HttpHarness) -> None:
    """Guards against writes by a forged, repeated, missing or wrong token, and a token in the log."""
    valid = frontend.sign_token(jti="one", mth=["POST"])
    forged = valid[:-3] + ("AAA" if not valid.endswith("AAA") else "BBB")
    status, response, _ = frontend.send_request("/svc/confirm/0000000000000001/0", forged, "POST")
    assert status == 403 and "token_rejected" in str(frontend.router.log_lines("token_rejected"))
    assert not frontend.fetch_counts and forged not in str(frontend.router.log_lines("token_rejected"))
    assert frontend.send_request("/svc/confirm/0000000000000001/0", valid, "POST")[0] == 200
    # The policy accepts a token once.
    assert frontend.send_request("/svc/confirm/0000000000000001/0", valid, "POST")[0] == 403
    assert frontend.fetch_counts["confirm"] == 1
    assert (
        frontend.send_request("/svc/confirm/0000000000000001/0", frontend.sign_token(mth=["HEAD"]), "POST")[0]
        == 403
    )
    assert frontend.send_request("/svc/confirm/0000000000000001/0", method="POST")[0] == 401
    assert frontend.fetch_counts["confirm"] == 1


def test_a_single_use_token_sent_twice_at_once_is_accepted_once(frontend: HttpHarness) -> None:
    """Guards against a single-use token that is accepted twice when both requests arrive together."""
    statuses: Counter[int] = Counter()
    for number in range(10):
        token = frontend.sign_token(jti=f"twice-{number}")
        start = threading.Barrier(2)

        def send(start: threading.Barrier = start, token: str = token) -> None:
            client = frontend.connect()
            client.connect()
            start.wait()
            statuses[frontend.send_request("/svc/confirm/0000000000000002/0", token, "POST", client)[0]] += 1
            client.close()

        threads = [threading.Thread(target=send) for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert statuses == {200: 10, 403: 10} and frontend.fetch_counts["confirm"] == 10


def test_a_token_that_expires_between_chunks_is_valid_for_the_rest_of_the_object(
    frontend: HttpHarness,
) -> None:
    """Guards against a transfer cut off between the chunks of one object, and against access to another."""
    token, client = frontend.sign_token(exp=time.time() + 1.2), frontend.connect()
    assert frontend.send_request(f"{IMAGE}/0", token, client=client)[0] == 200
    ProcessHarness.wait_until(
        lambda: time.time() > json.loads(_decode_claims(token))["exp"] + 0.1, "the token has expired"
    )
    assert [frontend.send_request(f"{IMAGE}/{chunk}", token, client=client)[0] for chunk in range(1, 4)] == [
        200
    ] * 3
    assert frontend.send_request("/svc/image/0000000000000009/0", token, client=client)[0] == 403


def _decode_claims(token: str) -> bytes:
    import base64

    return base64.urlsafe_b64decode(token.split(".")[1] + "==")


def test_a_policy_with_depot_requires_the_depot_claim_of_this_router(frontend: HttpHarness) -> None:
    """Guards against tokens of another depot, or of none, where the policy requires this one."""
    assert frontend.send_request(f"/svc/page/{OBJECT}/0", frontend.sign_token(depot="edge-2"))[0] == 403
    assert frontend.send_request(f"/svc/page/{OBJECT}/0", frontend.sign_token())[0] == 403
    assert frontend.send_request(f"/svc/page/{OBJECT}/0", frontend.sign_token(depot="edge-1"))[0] == 200


def _wait_for_log_lines(frontend: HttpHarness, event: str, count: int) -> None:
    ProcessHarness.wait_until(
        lambda: len(frontend.router.log_lines(event)) >= count, f"{count} log lines of {event}"
    )


def test_keys_are_rotated_and_retired_under_load_without_a_refused_valid_request(
    frontend: HttpHarness,
) -> None:
    """Guards against valid requests rejected during a reload, and a ring file readable by others."""
    second_key = generate("k2", "ES256", [], 0.0)
    both_keys = make_ring(second_key)
    active_key = {"id": "k1"}
    statuses: Counter[int] = Counter()
    stopping = threading.Event()

    def send_load() -> None:
        client = frontend.connect()
        while not stopping.is_set():
            token = frontend.sign_token(active_key["id"], both_keys)
            statuses[frontend.send_request(f"{IMAGE}/0", token, client=client)[0]] += 1
        client.close()

    workers = [threading.Thread(target=send_load) for _ in range(3)]
    for worker in workers:
        worker.start()
    try:
        for key_ring, key_id in ((both_keys, "k2"), (make_ring(second_key, retired="k1"), "k2")):
            count = len(frontend.router.log_lines("access_config_reloaded")) + 1
            frontend.write_ring(key_ring)
            frontend.router.process.send_signal(signal.SIGHUP)
            _wait_for_log_lines(frontend, "access_config_reloaded", count)
            active_key["id"] = key_id
            time.sleep(0.3)
        frontend.ring_file.chmod(0o644)
        frontend.router.process.send_signal(signal.SIGHUP)
        ProcessHarness.wait_until(
            lambda: frontend.router.log_lines("access_config_rejected"),
            "the ring readable by others is rejected",
        )
    finally:
        stopping.set()
        for worker in workers:
            worker.join()
    assert set(statuses) == {200} and statuses[200] > 20
    assert frontend.send_request(f"{IMAGE}/0", frontend.sign_token("k1"))[0] == 403


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
def test_malformed_requests_are_rejected_and_other_clients_are_served(
    frontend: HttpHarness, data: bytes, status: int
) -> None:
    """Guards against a malformed, oversized or unfinished request that is not answered by its status."""
    with socket.create_connection(frontend.address, WAIT_TIMEOUT_S) as sock:
        with contextlib.suppress(OSError):
            sock.sendall(data)  # the router may close while data is still sent
        received = b""
        with contextlib.suppress(OSError):
            while b"\r\n\r\n" not in received and (chunk := sock.recv(65_536)):
                received += chunk
    assert received.startswith(b"HTTP/1.1 %d " % status), received
    assert frontend.send_request(f"{IMAGE}/0", frontend.sign_token())[0] == 200


def test_a_late_answer_to_a_closed_connection_is_dropped_and_continue_precedes_a_body(tmp_path: Path) -> None:
    """Guards against a late answer for a closed connection, and a wrong use of 100 (Continue)."""
    frontend = HttpHarness(tmp_path, answer_fetches=False)
    try:
        head = f"GET {IMAGE}/0 HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer {frontend.sign_token()}\r\n\r\n"
        with socket.create_connection(frontend.address, WAIT_TIMEOUT_S) as sock:
            sock.sendall(head.encode())
            fetch = frontend.router.next_command()
        fetch.reply(body=b"late")
        with socket.create_connection(frontend.address, WAIT_TIMEOUT_S) as sock:
            head = (
                f"POST /svc/confirm/{OBJECT}/0 HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\n"
                f"Expect: 100-continue\r\nAuthorization: Bearer {frontend.sign_token(jti='x')}\r\n\r\n"
            )
            sock.sendall(head.encode())
            assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
            sock.sendall(b"abc")
            fetch = frontend.router.next_command()
            assert fetch.fields["cls"] == "confirm" and fetch.body == b"abc"
            fetch.reply(body=b"ok")
            assert sock.recv(1000).startswith(b"HTTP/1.1 200 ")
            forged = head.replace(frontend.sign_token(jti="x")[:20], "AAAA")
        with socket.create_connection(frontend.address, WAIT_TIMEOUT_S) as sock:
            sock.sendall(forged.encode())  # rejected by its head alone, without 100 (Continue)
            assert sock.recv(1000).startswith(b"HTTP/1.1 40")
    finally:
        frontend.close()


def certificate(folder: Path, name: str) -> tuple[Path, Path]:
    """Write a self-signed certificate with that common name; return the paths of it and of its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    signed = (
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
    cert.write_bytes(signed.public_bytes(serialization.Encoding.PEM))
    private.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return cert, private


def test_a_new_certificate_is_applied_and_open_connections_stay_usable(tmp_path: Path) -> None:
    """Guards against a reload that drops connections, or that applies an unusable certificate."""
    cert, key = certificate(tmp_path, "first")
    frontend = HttpHarness(tmp_path, tls_section=f'tls: {{certificate: "{cert}", key: "{key}"}}')
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE

    def connect() -> http.client.HTTPSConnection:
        client = http.client.HTTPSConnection(*frontend.address, timeout=WAIT_TIMEOUT_S, context=context)
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
        open_client = connect()
        assert common_name(open_client) == "first"
        assert frontend.send_request(f"{IMAGE}/0", frontend.sign_token(), client=open_client)[0] == 200
        certificate(tmp_path, "second")
        frontend.router.process.send_signal(signal.SIGHUP)
        ProcessHarness.wait_until(
            lambda: frontend.router.log_lines("http_reloaded"), "the new certificate is loaded"
        )
        # An open connection stays usable.
        assert frontend.send_request(f"{IMAGE}/1", frontend.sign_token(), client=open_client)[0] == 200
        assert common_name(connect()) == "second"
        cert.write_text("nonsense")
        frontend.router.process.send_signal(signal.SIGHUP)
        ProcessHarness.wait_until(
            lambda: frontend.router.log_lines("certificate_rejected"), "the certificate is rejected"
        )
        assert common_name(connect()) == "second"
        with socket.create_connection(frontend.address, WAIT_TIMEOUT_S) as plaintext_sock:
            plaintext_sock.sendall(b"GET / HTTP/1.1\r\nHost: e\r\n\r\n")
            assert not plaintext_sock.recv(1000).startswith(b"HTTP")
        assert common_name(connect()) == "second"
    finally:
        frontend.close()


def test_fastcgi_requests_need_tokens_where_the_operator_file_requires_them(tmp_path: Path) -> None:
    """Guards against FastCGI requests that bypass the token check where the operator file enables it."""
    frontend = HttpHarness(tmp_path, access_fields="fastcgi: true")
    try:
        client = frontend.router.client()
        cgi_params = {"REMOTE_ADDR": "10.0.0.1", "REQUEST_METHOD": "GET"}
        assert client.exchange(cgi=cgi_params).status == 401
        assert client.exchange(cgi=cgi_params, AUTHORIZATION=f"Bearer {frontend.sign_token()}").status == 200
        assert client.exchange(cgi={**cgi_params, "QUERY_STRING": "hdnts=exp=1~hmac=aa"}).status == 403
        key = KeyRing.read(make_ring()).keys["e1"]
        edge_token = formats.sign_edge_auth(
            key, int(time.time()) + 60, acl="/svc/image/*", source="10.0.0.1", data="kid:e1"
        )
        assert client.exchange(cgi={**cgi_params, "QUERY_STRING": f"hdnts={edge_token}"}).status == 200
        assert (
            client.exchange(
                cgi={**cgi_params, "REMOTE_ADDR": "10.0.0.2", "QUERY_STRING": f"hdnts={edge_token}"}
            ).status
            == 403
        )
        assert frontend.fetch_counts["image"] == 2
    finally:
        frontend.close()


def test_a_drain_answers_open_requests_and_then_exits(tmp_path: Path) -> None:
    """Guards against a shutdown that drops an open HTTP request or does not end."""
    frontend = HttpHarness(tmp_path, answer_fetches=False)
    try:
        client = frontend.connect()
        client.request("GET", f"{IMAGE}/0", headers={"Authorization": f"Bearer {frontend.sign_token()}"})
        fetch = frontend.router.next_command()
        frontend.router.process.terminate()
        time.sleep(0.2)
        fetch.reply(body=b"last")
        response = client.getresponse()
        assert response.read() == b"last" and response.headers["Connection"] == "close"
        assert frontend.router.process.wait(WAIT_TIMEOUT_S) == 0
    finally:
        frontend.close()


@pytest.mark.parametrize("fault", ["rights", "ring", "policies"])
def test_an_unusable_access_configuration_prevents_the_start(tmp_path: Path, fault: str) -> None:
    """Guards against a router that starts with an unusable key ring or policy list."""
    import os
    import subprocess
    import sys

    ring_file, operator_file = tmp_path / "ring.json", tmp_path / "operator.cue"
    ring_file.write_text(
        json.dumps(make_ring()) if fault != "ring" else '{"keys": [{"id": "k", "algorithm": "x"}]}'
    )
    ring_file.chmod(0o644 if fault == "rights" else 0o600)
    policies = 'policies: [{prefix: "/a"}, {prefix: "/a/"}]' if fault == "policies" else "policies: []"
    operator_file.write_text(f'access: {{ring: "{ring_file}"\n{policies}}}\n')
    config = tmp_path / "config.json"
    config.write_text(json.dumps(ProcessHarness.config_without_nodes()))
    completed = subprocess.run(
        [sys.executable, "-m", "stonecove"],
        capture_output=True,
        text=True,
        check=False,
        timeout=WAIT_TIMEOUT_S,
        env={**os.environ, "RELAY_CONFIG": str(config), "STONECOVE_OPERATOR": str(operator_file)},
    )
    assert completed.returncode == 2 and len(completed.stderr.splitlines()) == 1
    messages = {"rights": "rights 644", "ring": "no algorithm", "policies": "two policies"}
    assert messages[fault] in completed.stderr

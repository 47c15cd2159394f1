"""Fuzz untrusted input, guided by coverage: token formats, the gate, HTTP request heads.

    python -m benchmarks.fuzz [--short] [--seconds N] [--keep FOLDER]

Inputs that reach a new pair of consecutive lines join the corpus and are mutated further. With --keep, the
corpus is written to a folder (a file per target, a base64 line per input); `tests/corpus` is such a folder,
and tests/test_corpus.py replays it. An undocumented exception, or an unauthorized request that is admitted,
is a finding: it is printed, and the exit code is 1. The last line is `key=value ...`.
"""

from __future__ import annotations

import base64
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

from stonecove.access import formats
from stonecove.access.gate import Gate, Limits
from stonecove.access.grants import Request
from stonecove.access.keys import KeyRing
from stonecove.access.routes import Policy, Routes
from stonecove.protocols.http import HttpError, HttpSession, State, byte_range, parse_cookies

NOW = 1_800_000_000.0
RING = {
    "keys": [
        {"id": "hs", "algorithm": "HS256", "secret": "00112233" * 4},
        {"id": "mac", "algorithm": "HMAC-SHA256", "secret": "ffeeddcc" * 4},
    ]
}
GATE = Gate(Routes([Policy("/svc")]), KeyRing.read(RING), Limits(checks=1e12))
DICTIONARY = (
    b"Bearer |hdnts=|URISigningPackage=|Policy=|Signature=|Key-Pair-Id=hs|Expires=|~hmac=|~acl=/*"
    b"|exp=1900000000|{|}|\r\n|\r\n\r\n|Content-Length: 1|..|%2F|&|=|?|\x00|Range: bytes=0-1"
    b"|Transfer-Encoding: chunked|CloudFront-|regex:|hash:sha-256;|*|!|\xff|99999999999999999999"
).split(b"|")


def bearer(data: bytes) -> None:
    """Check an input as a bearer token; the attacker has no key."""
    _require_rejection(
        Request("GET", "http", "e", "/svc/a/1/0", "10.0.0.1", "z", f"Bearer {data.decode('latin-1')}")
    )


def query(data: bytes) -> None:
    """Check an input as a query string."""
    _require_rejection(Request("GET", "http", "e", f"/svc/a/1/0?{data.decode('latin-1')}", "10.0.0.1", "z"))


def cookie(data: bytes) -> None:
    """Check an input as a Cookie field."""
    _require_rejection(
        Request("GET", "http", "e", "/svc/a/1/0", "::1", "z", "", parse_cookies(data.decode("latin-1")))
    )


def path(data: bytes) -> None:
    """Check an input as a request target; below /svc a token is required."""
    decision = GATE.check(Request("GET", "http", "e", data.decode("latin-1"), "x", "z"), "x", NOW, NOW)
    if decision.admitted and data.decode("latin-1").partition("?")[0].startswith("/svc/"):
        raise AssertionError("request admitted without a token")


def http(data: bytes) -> None:
    """Feed an input to an HTTP connection and answer each parsed request."""
    session = HttpSession()
    try:
        session.receive_data(data)
        while session.keep_alive and session.next_request() is not None:
            if session.state is State.ANSWER and session.request is not None:
                if "range" in session.request.fields:
                    byte_range(session.request.fields["range"], 10)
                session.response(200, [], b"x")
    except HttpError as error:
        session.error_response(error)


def _require_rejection(request: Request) -> None:
    if GATE.check(request, "x", NOW, NOW).admitted:
        raise AssertionError("request with an invalid token admitted")


_CLAIMS = '{"exp":1900000000,"sub":"p","res":["/svc/*"],"net":"10.0.0.0/8","depot":"z","mth":["GET"]}'


def _jws(claims: str) -> bytes:
    parts = (b'{"alg":"HS256","kid":"hs"}', claims.encode(), b"not the signature of anybody....")
    return b".".join(base64.urlsafe_b64encode(part).rstrip(b"=") for part in parts)


_POLICY = base64.b64encode(formats.custom_policy("http://e/*", 1900000000, 5, "10.0.0.0/8")).translate(
    bytes.maketrans(b"+=/", b"-_~"))  # fmt: skip
_EDGE = b"hdnts=ip=10.0.0.1~st=1~exp=1900000000~acl=/svc/*!/a~id=p~data=kid:mac,depot:z~hmac="
_CDNI = '{"exp":1900000000,"cdniuc":"regex:.*","cdnistt":1,"cdniets":9,"cdnistd":1}'
TARGETS: dict[str, tuple[Callable[[bytes], None], list[bytes]]] = {
    "bearer": (bearer, [_jws(_CLAIMS), b"a.b.c"]),
    "query": (query, [
        _EDGE + b"ab" * 32, b"Policy=" + _POLICY + b"&Signature=aaaa&Key-Pair-Id=hs",
        b"Expires=1900000000&Signature=aaaa&Key-Pair-Id=hs", b"URISigningPackage=" + _jws(_CDNI)]),
    "cookie": (cookie, [b"CloudFront-Policy=" + _POLICY + b"; CloudFront-Signature=aaaa"
                        b"; CloudFront-Key-Pair-Id=hs",
                        b'hdnts="exp=1900000000~hmac=abcd"; x=y']),
    "path": (path, [b"/svc/a/1/0", b"/svc/%C3%A4/x?y", b"/other"]),
    "http": (http, [b"GET /svc/a/1/0 HTTP/1.1\r\nHost: e\r\nRange: bytes=0-1\r\nCookie: a=b\r\n\r\n",
                    b"POST /svc/c/1/0 HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\n"
                    b"Expect: 100-continue\r\n\r\nabc"]),
}  # fmt: skip


class Coverage:
    """Coverage: pairs of consecutive lines within the traced modules."""

    def __init__(self) -> None:
        """Start with nothing covered."""
        self.pairs: set[tuple[str, int, int]] = set()
        self.reached_new = False

    def _trace_line(self, frame: FrameType, event: str, _: Any) -> Any:
        if event == "line":
            name, line = frame.f_code.co_filename, frame.f_lineno
            pair = name, self._last_lines.get(name, 0), line
            self._last_lines[name] = line
            if pair not in self.pairs:
                self.pairs.add(pair)
                self.reached_new = True
        return self._trace_line

    def _trace_call(self, frame: FrameType, event: str, _: Any) -> Any:
        name = frame.f_code.co_filename
        return (
            self._trace_line if "/stonecove/access/" in name or name.endswith("/protocols/http.py") else None
        )

    def run(self, target: Callable[[bytes], None], data: bytes) -> bool:
        """Run a target on one input; return whether it reached a new pair of lines."""
        self._last_lines: dict[str, int] = {}
        self.reached_new = False
        sys.settrace(self._trace_call)
        try:
            target(data)
        finally:
            sys.settrace(None)
        return self.reached_new


def mutated(generator: random.Random, corpus: list[bytes]) -> bytes:
    """Return a random input of the corpus with one to four mutations, at most 4,000 bytes long."""
    data = bytearray(generator.choice(corpus))
    for _ in range(generator.randint(1, 4)):
        offset = generator.randint(0, len(data))
        match generator.randrange(6):
            case 0:
                data[offset:offset] = generator.choice(DICTIONARY)
            case 1:
                del data[offset : offset + generator.randint(1, 8)]
            case 2 if data:
                data[offset % len(data)] = generator.randrange(256)
            case 3:
                other = generator.choice(corpus)
                other_offset = generator.randint(0, len(other))
                data[offset:] = other[other_offset:]
            case 4:
                data[offset:offset] = data[: generator.randint(0, 40)]
            case _ if data:
                data[offset % len(data)] ^= 1 << generator.randrange(8)
    return bytes(data[:4000])


def main() -> int:
    """Fuzz all targets in turn; return 1 if there was a finding."""
    arguments = sys.argv[1:]
    seconds = (
        float(arguments[arguments.index("--seconds") + 1])
        if "--seconds" in arguments
        else (20.0 if "--short" in arguments else 300.0)
    )
    corpus_folder = Path(arguments[arguments.index("--keep") + 1]) if "--keep" in arguments else None
    generator, coverage, findings, runs = random.Random(11), Coverage(), 0, 0
    corpus_inputs = 0
    for name, (target, initial_inputs) in TARGETS.items():
        corpus = list(initial_inputs)
        deadline_s = time.monotonic() + seconds / len(TARGETS)
        untried = list(initial_inputs)
        while time.monotonic() < deadline_s:
            data = untried.pop() if untried else mutated(generator, corpus)
            runs += 1
            try:
                if coverage.run(target, data) and data not in corpus:
                    corpus.append(data)
            except Exception as error:
                findings += 1
                print(f"{name}: {error!r} by {data!r}")
                if findings > 20:
                    return 1
        corpus_inputs += len(corpus)
        print(f"{name}: {len(corpus)} inputs kept, {len(coverage.pairs)} pairs of lines reached so far")
        if corpus_folder is not None:
            corpus_folder.mkdir(exist_ok=True)
            lines = sorted(base64.b64encode(corpus_input).decode() for corpus_input in corpus)
            (corpus_folder / f"{name}.b64").write_text("\n".join(lines) + "\n")
    print(f"runs={runs} kept={corpus_inputs} pairs={len(coverage.pairs)} finds={findings}")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())

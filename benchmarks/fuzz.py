"""A coverage-guided fuzz of what strangers may send: token formats, the gate, HTTP heads.

    python -m benchmarks.fuzz [--short] [--seconds N] [--keep FOLDER]

Inputs that reach a pair of lines not reached before are kept and changed further. With --keep, the corpus is
written into a folder (a file for each target, a line each in base64); `tests/corpus` has one, which
tests/test_corpus.py plays. Any exception but the documented ones, or a stranger let in, is a find: it is
printed, and the exit code is 1. The last line is `key=value ...`.
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
WORDS = (
    b"Bearer |hdnts=|URISigningPackage=|Policy=|Signature=|Key-Pair-Id=hs|Expires=|~hmac=|~acl=/*"
    b"|exp=1900000000|{|}|\r\n|\r\n\r\n|Content-Length: 1|..|%2F|&|=|?|\x00|Range: bytes=0-1"
    b"|Transfer-Encoding: chunked|CloudFront-|regex:|hash:sha-256;|*|!|\xff|99999999999999999999"
).split(b"|")


def bearer(data: bytes) -> None:
    """A bearer token; the stranger has no key."""
    _never(Request("GET", "http", "e", "/svc/a/1/0", "10.0.0.1", "z", f"Bearer {data.decode('latin-1')}"))


def query(data: bytes) -> None:
    """A query."""
    _never(Request("GET", "http", "e", f"/svc/a/1/0?{data.decode('latin-1')}", "10.0.0.1", "z"))


def cookie(data: bytes) -> None:
    """A Cookie field."""
    _never(Request("GET", "http", "e", "/svc/a/1/0", "::1", "z", "", parse_cookies(data.decode("latin-1"))))


def path(data: bytes) -> None:
    """A target; below /svc a token is wanted."""
    decision = GATE.check(Request("GET", "http", "e", data.decode("latin-1"), "x", "z"), "x", NOW, NOW)
    if decision.admitted and data.decode("latin-1").partition("?")[0].startswith("/svc/"):
        raise AssertionError("let in without a token")


def http(data: bytes) -> None:
    """Bytes of a connection; each request that is taken is answered."""
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


def _never(request: Request) -> None:
    if GATE.check(request, "x", NOW, NOW).admitted:
        raise AssertionError("a stranger was let in")


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


class Reach:
    """Pairs of lines, one after the other, within our own code."""

    def __init__(self) -> None:
        self.pairs: set[tuple[str, int, int]] = set()
        self.new = False

    def _local(self, frame: FrameType, event: str, _: Any) -> Any:
        if event == "line":
            name, line = frame.f_code.co_filename, frame.f_lineno
            pair = name, self._last.get(name, 0), line
            self._last[name] = line
            if pair not in self.pairs:
                self.pairs.add(pair)
                self.new = True
        return self._local

    def _call(self, frame: FrameType, event: str, _: Any) -> Any:
        name = frame.f_code.co_filename
        return self._local if "/stonecove/access/" in name or name.endswith("/protocols/http.py") else None

    def run(self, target: Callable[[bytes], None], data: bytes) -> bool:
        """Plays one input; True if it reached what none had."""
        self._last: dict[str, int] = {}
        self.new = False
        sys.settrace(self._call)
        try:
            target(data)
        finally:
            sys.settrace(None)
        return self.new


def changed(chooser: random.Random, corpus: list[bytes]) -> bytes:
    """One of the corpus, changed in one to four places."""
    data = bytearray(chooser.choice(corpus))
    for _ in range(chooser.randint(1, 4)):
        at = chooser.randint(0, len(data))
        match chooser.randrange(6):
            case 0:
                data[at:at] = chooser.choice(WORDS)
            case 1:
                del data[at : at + chooser.randint(1, 8)]
            case 2 if data:
                data[at % len(data)] = chooser.randrange(256)
            case 3:
                other = chooser.choice(corpus)
                cut = chooser.randint(0, len(other))
                data[at:] = other[cut:]
            case 4:
                data[at:at] = data[: chooser.randint(0, 40)]
            case _ if data:
                data[at % len(data)] ^= 1 << chooser.randrange(8)
    return bytes(data[:4000])


def main() -> int:
    """Fuzzes all targets in turn; 1 if something was found."""
    words = sys.argv[1:]
    seconds = (
        float(words[words.index("--seconds") + 1])
        if "--seconds" in words
        else (20.0 if "--short" in words else 300.0)
    )
    keep = Path(words[words.index("--keep") + 1]) if "--keep" in words else None
    chooser, reach, finds, runs = random.Random(11), Reach(), 0, 0
    kept = 0
    for name, (target, first) in TARGETS.items():
        corpus = list(first)
        end = time.monotonic() + seconds / len(TARGETS)
        waiting = list(first)
        while time.monotonic() < end:
            data = waiting.pop() if waiting else changed(chooser, corpus)
            runs += 1
            try:
                if reach.run(target, data) and data not in corpus:
                    corpus.append(data)
            except Exception as error:
                finds += 1
                print(f"{name}: {error!r} by {data!r}")
                if finds > 20:
                    return 1
        kept += len(corpus)
        print(f"{name}: {len(corpus)} inputs kept, {len(reach.pairs)} pairs of lines reached so far")
        if keep is not None:
            keep.mkdir(exist_ok=True)
            lines = sorted(base64.b64encode(one).decode() for one in corpus)
            (keep / f"{name}.b64").write_text("\n".join(lines) + "\n")
    print(f"runs={runs} kept={kept} pairs={len(reach.pairs)} finds={finds}")
    return 1 if finds else 0


if __name__ == "__main__":
    sys.exit(main())

"""Tokens and their gate, purely: formats against texts written by hand, then every reason of a refusal."""

from __future__ import annotations

import base64
import hashlib
import hmac
import json
import random
from typing import Any

import pytest
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import rsa
from hypothesis import given, settings
from hypothesis import strategies as st

from stonecove.access import canon, formats
from stonecove.access.gate import Decision, Gate, Limits, cookie_path
from stonecove.access.grants import Format, Request, TokenError, networks
from stonecove.access.keys import Key, KeyRing, KeyRingError, generate, key_of
from stonecove.access.match import glob
from stonecove.access.rates import Rates
from stonecove.access.reasons import Reason, status_of
from stonecove.access.revoked import Revoked
from stonecove.access.routes import PlainRoutes, Policy, Routes
from stonecove.access.seen import PlainSeen, Seen, SeenIds
from stonecove.access.verdicts import Verdicts, Work

NOW = 1_800_000_000.0
PATH = "/svc/guide-video/7f3a9c21e0b4d655/3"
OBJECT = "7f3a9c21e0b4d655"
SECRET = "00112233445566778899aabbccddeeff"
_RSA = generate("rsa1", "RSA-SHA1", ["cloudfront"], 0.0)
RING: dict[str, Any] = {
    "keys": [
        _RSA,
        {**generate("ec1", "ECDSA-SHA256", ["cloudfront"], 0.0)},
        {"id": "edge1", "algorithm": "HMAC-SHA256", "use": ["edge-auth"], "secret": SECRET},
        {"id": "hs1", "algorithm": "HS256", "use": ["bearer", "cdni"], "secret": SECRET * 2},
        {**generate("es1", "ES256", ["bearer", "cdni"], 0.0)},
        {"id": "old", "algorithm": "HS256", "secret": SECRET * 2, "retired": True},
        {"id": "soon", "algorithm": "HS256", "secret": SECRET * 2, "from": NOW + 1000},
    ]
}


def request(path: str = PATH, query: str = "", **more: Any) -> Request:
    base: dict[str, Any] = {
        "method": "GET",
        "scheme": "http",
        "host": "edge.example",
        "source": "10.1.2.3",
        "depot": "edge-1",
        "target": f"{path}?{query}" if query else path,
    }
    return Request(**{**base, **more})


_READ = KeyRing.read(RING)


def gate(**policy: Any) -> Gate:
    made = Policy("/svc", **policy)
    open_one = Policy("/svc/open", token=False)
    return Gate(Routes([made, open_one]), _READ, Limits(seen=1000, checks=1000.0))


def keyed(made: Gate, ident: str) -> Key:
    return made.ring.keys[ident]


def decide(made: Gate, asked: Request, now: float = NOW, item: str = OBJECT) -> Decision:
    return made.check(asked, item, now, now)


def jwt(made: Gate, key: str = "hs1", **claims: Any) -> Request:
    text = formats.sign_jwt(keyed(made, key), {"exp": NOW + 60, "sub": "picker-1", **claims})
    return request(authorization=f"Bearer {text}")


# -- formats, against texts written by hand --


def test_a_jws_of_the_rfc_is_verified() -> None:
    """RFC 7515, appendix A.1."""
    text = (
        "eyJ0eXAiOiJKV1QiLA0KICJhbGciOiJIUzI1NiJ9.eyJpc3MiOiJqb2UiLA0KICJleHAiOjEzMDA4MTkzODAsDQogImh0dHA6Ly"
        "9leGFtcGxlLmNvbS9pc19yb290Ijp0cnVlfQ.dBjftJeZ4CVP-mB92K27uhbUJU1p1r_wW1gFWFOEjXk"
    )
    secret = base64.urlsafe_b64decode(
        "AyM1SysPpbyDfgZld3umj1qzKObwVMkoqQ-EstJQLr_T-1qS0gZH75aKtMN3Yj0iPS4hcgUuTwjAzZr1Z9CAow=="
    )
    _, claims, message, signature = formats._compact(text)
    assert claims["iss"] == "joe" and Key("k", "HS256", (), secret=secret).verify(message, signature)
    assert not Key("k", "HS256", (), secret=secret[1:]).verify(message, signature)


def test_a_canned_policy_is_the_text_of_the_guide() -> None:
    assert formats.canned_policy(
        "http://d111111abcdef8.cloudfront.net/horizon.jpg?size=large", 1258237200
    ) == (
        b'{"Statement":[{"Resource":"http://d111111abcdef8.cloudfront.net/horizon.jpg?size=large","Condition":'
        b'{"DateLessThan":{"AWS:EpochTime":1258237200}}}]}'
    )


def test_an_edge_auth_token_made_by_hand_is_read() -> None:
    body = f"ip=10.1.2.3~st={NOW - 10:.0f}~exp={NOW + 60:.0f}~acl=/svc/*!/other~id=p~data=kid:edge1"
    mac = hmac.new(bytes.fromhex(SECRET), body.encode(), hashlib.sha256).hexdigest()
    made = gate()
    assert decide(made, request(query=f"hdnts={body}~hmac={mac}")).reason is Reason.GOOD
    assert (
        decide(made, request(query=f"hdnts={body}~hmac={mac[:-1]}{'0' if mac[-1] != '0' else '1'}")).reason
        is Reason.SIGNATURE
    )
    by_path = f"exp={NOW + 60:.0f}~data=kid:edge1"
    mac = hmac.new(bytes.fromhex(SECRET), f"{by_path}~url={PATH}".encode(), hashlib.sha256).hexdigest()
    assert decide(made, request(query=f"hdnts={by_path}~hmac={mac}")).reason is Reason.GOOD
    other = PATH.replace("/3", "/4")
    assert decide(made, request(other, f"hdnts={by_path}~hmac={mac}")).reason is Reason.SIGNATURE


@pytest.mark.parametrize("ident", ["rsa1", "ec1"])
@pytest.mark.parametrize("place", ["url", "cookie"])
def test_cloudfront_by_url_and_cookie_canned_and_custom(ident: str, place: str) -> None:
    made = gate()
    key, until = keyed(made, ident), int(NOW + 60)

    def asked(policy: bytes, canned: bool, path: str = PATH, extra: str = "") -> Request:
        pairs = formats.sign_cloudfront(key, policy, canned, until)
        if place == "cookie":
            return request(path, extra, cookies=tuple((f"CloudFront-{name}", value) for name, value in pairs))
        query = "&".join(f"{name}={value}" for name, value in pairs)
        return request(path, f"{extra}&{query}" if extra else query)

    url = f"http://edge.example{PATH}"
    canned = formats.canned_policy(url, until)
    assert decide(made, asked(canned, True)).reason is Reason.GOOD
    assert decide(made, asked(canned, True, PATH[:-1] + "4")).reason is Reason.SIGNATURE
    assert decide(made, asked(formats.canned_policy(f"{url}?size=2", until), True, extra="size=2")).good
    wide = formats.custom_policy("http://edge.example/svc/guide-video/*", until, int(NOW - 5), "10.1.0.0/16")
    assert decide(made, asked(wide, False)).good and decide(made, asked(wide, False, PATH[:-1] + "4")).good
    assert decide(made, asked(wide, False, "/svc/item-image/1/0")).reason is Reason.RESOURCE
    away = formats.custom_policy("*", until, 0, "192.0.2.0/24")
    assert decide(made, asked(away, False)).reason is Reason.SOURCE
    later = formats.custom_policy("*", until, int(NOW + 30))
    assert decide(made, asked(later, False)).reason is Reason.NOT_YET


def test_cdni_containers_and_renewal_over_a_chain_of_a_thousand() -> None:
    made = gate(longest=100.0)
    key = keyed(made, "es1")
    claims = {
        "exp": int(NOW + 10),
        "iat": int(NOW),
        "cdniv": 1,
        "cdnistt": 1,
        "cdniets": 10,
        "cdnistd": 2,
        "cdniuc": r"regex:http://edge\.example/svc/guide-video/[0-9a-f]{16}/[0-9]+",
        "sub": "p",
    }
    cookie, now = formats.sign_jwt(key, claims), NOW
    for _ in range(1000):
        asked = request(cookies=((formats.CDNI_NAME, cookie),))
        decision = decide(made, asked, now)
        assert decision.good and decision.cookie and decision.cookie_depth == 2
        cookie, now = decision.cookie, now + 8.0
    assert decide(made, asked, now + 60).reason is Reason.EXPIRED
    assert cookie_path(PATH, 2) == "/svc/guide-video" and cookie_path(PATH, 0) == "/"
    digest = base64.urlsafe_b64encode(hashlib.sha256(f"http://edge.example{PATH}".encode()).digest())
    exact = {"exp": int(NOW + 10), "cdniuc": f"hash:sha-256;{digest.rstrip(b'=').decode()}"}
    for path, good in ((PATH, True), (PATH[:-1] + "5", False)):
        text = formats.sign_jwt(key, exact)
        assert decide(made, request(path, f"{formats.CDNI_NAME}={text}")).good is good


@pytest.mark.parametrize(
    ("claims", "why"),
    [
        ({"cdniuc": "glob:x"}, "container"),
        ({"cdniuc": "regex:(("}, "expression"),
        ({"cdniuc": "regex:.*", "cdnicrit": "cdnix"}, "critical"),
        ({"cdniuc": "regex:.*", "cdniv": 2}, "version"),
        ({"cdniuc": "regex:.*", "cdnistt": 1}, "cdniets"),
        ({"cdniuc": "regex:.*", "exp": "soon"}, "exp"),
    ],
)
def test_what_a_cdni_token_may_not_say(claims: dict[str, Any], why: str) -> None:
    made = gate()
    text = formats.sign_jwt(keyed(made, "es1"), {"exp": NOW + 5, **claims})
    decision = decide(made, request(query=f"{formats.CDNI_NAME}={text}"))
    assert decision.reason is Reason.MALFORMED and why in decision.why


# -- what strangers send --


def b64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def jose(payload: bytes, **header: Any) -> str:
    head = json.dumps({"alg": "HS256", **header}).encode()
    return f"{b64(head)}.{b64(payload)}.{b64(b's')}"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "a.b",
        "a.b.c",
        "...",
        f"{b64(b'{}')}.{b64(b'{}')}.",
        "x" * 5000,
        jose(b"{}", alg="none"),
        jose(b"{}", jku="http://evil"),
        jose(b"{}", crit=["x"]),
        jose(b"[" * 2000 + b"]" * 2000),
        jose(b'{"exp": NaN}'),
        jose(b'{"exp": 1, "exp": 2}'),
        jose(b'{"exp": 1, "evil": 2}'),
        jose(b'{"exp": 1e400}'),
        jose(b'{"exp": true}'),
        jose(b'{"exp": 1, "aud": 7}'),
        jose(b"\xff"),
    ],
)
def test_a_bearer_that_can_not_be_read_is_malformed(text: str) -> None:
    assert decide(gate(), request(authorization=f"Bearer {text}")).reason in (
        Reason.MALFORMED,
        Reason.TOO_LONG,
    )


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.text(alphabet=st.characters(min_codepoint=33, max_codepoint=126), max_size=120),
    st.sampled_from(["Bearer", "hdnts", "URISigningPackage", "CloudFront", "Policy"]),
)
def test_no_text_lets_a_stranger_in_or_breaks_the_gate(text: str, place: str) -> None:
    made = gate()
    asked = {
        "Bearer": request(authorization=f"Bearer {text}"),
        "hdnts": request(query=f"hdnts={text}"),
        "URISigningPackage": request(cookies=((formats.CDNI_NAME, text),)),
        "CloudFront": request(
            cookies=(
                ("CloudFront-Policy", text),
                ("CloudFront-Signature", "aa__"),
                ("CloudFront-Key-Pair-Id", "rsa1"),
            )
        ),
        "Policy": request(query=f"Expires=1900000000&Signature={text}&Key-Pair-Id=rsa1"),
    }[place]
    assert not decide(made, asked).good


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.integers(0, 10_000), st.integers(0, 255))
def test_a_token_with_any_byte_changed_is_refused(place: int, byte: int) -> None:
    made = gate()
    text = jwt(made).authorization.removeprefix("Bearer ")
    place %= len(text)
    changed = text[:place] + chr(33 + byte % 94) + text[place + 1 :]
    if changed != text:
        assert not decide(made, request(authorization=f"Bearer {changed}")).good


def test_algorithms_are_pinned_to_the_key() -> None:
    """An HMAC under an RSA key's public text, and each algorithm under another one's key."""
    made = gate()
    pem = keyed(made, "rsa1").public.public_bytes(
        serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    confused = Key("es1", "HS256", (), secret=pem)
    text = formats.sign_jwt(confused, {"exp": NOW + 5})
    assert decide(made, request(authorization=f"Bearer {text}")).reason is Reason.ALGORITHM
    wrong = Key("hs1", "HS512", (), secret=bytes.fromhex(SECRET * 2))
    text = formats.sign_jwt(wrong, {"exp": NOW + 5})
    assert decide(made, request(authorization=f"Bearer {text}")).reason is Reason.ALGORITHM


def test_paths_have_one_form() -> None:
    for good in (PATH, "/a", "/a-b_c.d~e/%C3%A4", "/a/b;c=1,2"):
        assert canon.wrong_with(good) == "", good
    for bad in (
        "",
        "a",
        "//a",
        "/a//b",
        "/a/",
        "/a/../b",
        "/a/./b",
        "/%2e%2e/a",
        "/%41",
        "/%c3%a4",
        "/a%2Fb",
        "/a%00",
        "/a%25",
        "/a\\b",
        "/a b",
        "/ä",
        "/a%",
        "/a%4",
        "/" + "x" * 2000,
        "/a%5Cb",
        "/a?b",
    ):
        assert canon.wrong_with(bad), bad
    assert decide(gate(), request("/svc//x")).reason is Reason.PATH


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(alphabet="ab*?", max_size=8), st.text(alphabet="ab", max_size=8))
def test_globs_agree_with_expressions(pattern: str, text: str) -> None:
    import re

    plain = "".join({"*": ".*", "?": "."}.get(char, char) for char in pattern)
    assert glob(pattern, text) == (re.fullmatch(plain, text) is not None)


# -- the gate: every reason --


def test_each_reason_has_its_status_and_open_routes_ask_for_nothing() -> None:
    made = gate()
    assert decide(made, request("/svc/open/x")).reason is Reason.OPEN
    assert decide(made, request("/elsewhere")).reason is Reason.OPEN
    assert decide(made, request()).reason is Reason.MISSING and status_of(Reason.MISSING) == 401
    assert {status_of(one) for one in Reason} == {400, 401, 403, 429, 503}


@pytest.mark.parametrize(
    ("claims", "policy", "asked", "reason"),
    [
        ({"exp": NOW - 10}, {}, {}, Reason.EXPIRED),
        ({"exp": NOW - 4}, {}, {}, Reason.GOOD),  # within the skew
        ({"nbf": NOW + 60}, {}, {}, Reason.NOT_YET),
        ({"iat": NOW + 60}, {}, {}, Reason.NOT_YET),
        ({"exp": NOW + 1e6}, {"longest": 1000.0}, {}, Reason.TOO_LONG_LIVED),
        ({"res": ["/svc/item-image/*"]}, {}, {}, Reason.RESOURCE),
        ({"res": ["/svc/guide-video/*"]}, {}, {}, Reason.GOOD),
        ({"mth": ["HEAD"]}, {"methods": ("HEAD", "POST")}, {"method": "POST"}, Reason.METHOD),
        ({}, {}, {"method": "POST"}, Reason.METHOD),
        ({"net": "10.1.0.0/16"}, {}, {"source": "10.2.0.1"}, Reason.SOURCE),
        ({"net": "10.1.0.0/16"}, {}, {"source": "::1"}, Reason.SOURCE),
        ({"net": "10.1.0.0/16"}, {}, {"source": "nonsense"}, Reason.SOURCE),
        ({"depot": ["edge-2"]}, {}, {}, Reason.DEPOT),
        ({}, {"depot": True}, {}, Reason.DEPOT),
        ({"depot": "edge-1"}, {"depot": True}, {}, Reason.GOOD),
        ({"aud": "other"}, {"audience": "pick"}, {}, Reason.AUDIENCE),
        ({"iss": "other"}, {"issuer": "hub"}, {}, Reason.ISSUER),
        ({}, {"formats": (Format.CDNI,)}, {}, Reason.FORMAT),
    ],
)
def test_reasons(
    claims: dict[str, Any], policy: dict[str, Any], asked: dict[str, Any], reason: Reason
) -> None:
    made = gate(**policy)
    token = jwt(made, **claims).authorization
    assert decide(made, request(authorization=token, **asked)).reason is reason


@pytest.mark.parametrize(("ident", "reason"), [("old", Reason.KEY_RETIRED), ("soon", Reason.KEY_NOT_YET)])
def test_keys_have_their_times(ident: str, reason: Reason) -> None:
    made = gate()
    assert decide(made, jwt(made, ident)).reason is reason
    other = Key("nobody", "HS256", (), secret=b"x" * 32)
    text = formats.sign_jwt(other, {"exp": NOW + 5})
    assert decide(made, request(authorization=f"Bearer {text}")).reason is Reason.UNKNOWN_KEY


def test_cookie_and_url_that_disagree_are_refused() -> None:
    made = gate()
    one = formats.sign_jwt(keyed(made, "es1"), {"exp": int(NOW + 9), "cdniuc": "regex:.*", "sub": "a"})
    other = formats.sign_jwt(keyed(made, "es1"), {"exp": int(NOW + 9), "cdniuc": "regex:.*", "sub": "b"})
    both = request(query=f"{formats.CDNI_NAME}={one}", cookies=((formats.CDNI_NAME, other),))
    assert decide(made, both).reason is Reason.CONFLICT
    same = request(query=f"{formats.CDNI_NAME}={one}", cookies=((formats.CDNI_NAME, one),))
    assert decide(made, same).good
    forged = one[:-4] + ("AAAA" if not one.endswith("AAAA") else "BBBB")
    second = request(query=f"{formats.CDNI_NAME}={one}", cookies=((formats.CDNI_NAME, forged),))
    assert decide(made, second).reason is Reason.SIGNATURE


def test_a_started_object_may_be_ended_after_its_token_expired() -> None:
    made = gate(grace=30.0)
    token = jwt(made, exp=NOW + 10)
    assert decide(made, token).good
    assert decide(made, token, NOW + 20).good and decide(made, token, NOW + 40).good
    assert decide(made, token, NOW + 46).reason is Reason.EXPIRED  # going on prolongs nothing
    assert decide(made, token, NOW + 20, item="another").reason is Reason.EXPIRED
    away = request(authorization=token.authorization, source="10.9.9.9")
    assert decide(made, away, NOW + 20).reason is Reason.EXPIRED
    fresh = jwt(made, exp=NOW + 10, jti="other")
    assert decide(made, fresh, NOW + 20).reason is Reason.EXPIRED  # never used while it was good


def test_a_token_for_one_request_is_good_once_also_by_a_clock_set_back() -> None:
    made = gate()
    token = jwt(made, jti="j1", once=True)
    first = decide(made, token)
    assert first.good
    assert decide(made, token).reason is Reason.REPLAYED
    assert decide(made, token, NOW - 3600).reason in (Reason.REPLAYED, Reason.TOO_LONG_LIVED)
    made.over(first, ran=True)
    assert decide(made, token).reason is Reason.REPLAYED
    refused = decide(made, jwt(made, jti="j2", once=True))
    made.over(refused, ran=False)  # turned away for want of room: the client may ask again
    assert decide(made, jwt(made, jti="j2", once=True)).good


def test_the_memory_of_ids_is_bounded_and_keeps_room_for_the_valued() -> None:
    ids = SeenIds(100, seed=7)
    assert [ids.see(str(n), NOW + 60, NOW) for n in range(100)].count(Seen.NEW) == 95
    assert ids.see("more", NOW + 60, NOW) is Seen.FULL
    assert (
        ids.see("more", NOW + 60, NOW, valued=True) is Seen.NEW and ids.see("0", NOW + 60, NOW) is Seen.AGAIN
    )
    assert ids.see("later", NOW + 200, NOW + 100) is Seen.NEW and len(ids) == 1  # the others are over
    assert ids.see("0", NOW + 60, NOW) is Seen.AGAIN  # the clock is back; what it was is forgotten


@pytest.mark.parametrize("seed", range(3))
def test_wheel_and_plain_dict_agree(seed: int) -> None:
    chooser = random.Random(seed)
    wheel, plain = SeenIds(10_000, seed=1), PlainSeen(10_000)
    now = NOW
    for _ in range(5000):
        now += chooser.expovariate(10)
        ident = str(chooser.randrange(800))
        expires = NOW + 100.0 * (1 + int((now - NOW) / 100)) + 50  # the same as long as the id is good
        if wheel.see(f"{ident} {expires}", expires, now) is not plain.see(f"{ident} {expires}", expires, now):
            raise AssertionError(ident)


def test_revocation_by_key_subject_and_token_ends_and_ages() -> None:
    made = gate()
    token = jwt(made, jti="t", iat=NOW - 100)
    for kind, name, reason in (
        ("key", "hs1", Reason.REVOKED_KEY),
        ("subject", "picker-1", Reason.REVOKED_SUBJECT),
        ("token", "t", Reason.REVOKED_TOKEN),
    ):
        made.revoked = Revoked()
        made.revoked.revoke(kind, name, NOW - 50, NOW + 1000, NOW)
        assert decide(made, token).reason is reason
        assert decide(made, jwt(made, iat=NOW - 10, jti="t")).good  # issued since
    revoked = Revoked(most=5000, sketch=64)
    for number in range(3000):
        revoked.revoke("token", str(number), 1e18, NOW + 10, NOW)
    assert all(revoked.covers("token", str(number), NOW, NOW) for number in range(3000))
    before = revoked.looked_up
    assert not any(revoked.covers("token", f"x{number}", NOW, NOW) for number in range(3000))
    assert revoked.looked_up - before < 300  # the sketch answers for nearly all
    revoked.sweep(NOW + 11)
    assert len(revoked) == 0 and not revoked.covers("token", "1", NOW, NOW + 11)
    with pytest.raises(ValueError, match="room"):
        for number in range(6000):
            revoked.revoke("token", str(number), 1e18, NOW + 100, NOW + 12)


def test_rates_and_open_requests_of_a_subject() -> None:
    made = gate(rate=2.0, burst=3.0, concurrent=2)
    first = [decide(made, jwt(made)) for _ in range(3)]
    assert [one.reason for one in first] == [Reason.GOOD, Reason.GOOD, Reason.CONCURRENCY]
    made.over(first[0], ran=True)
    fourth = decide(made, jwt(made))
    assert fourth.reason is Reason.RATE and 0 < fourth.wait <= 0.5
    assert decide(made, jwt(made, sub="other")).good
    bounded = [Policy(prefix, rate=1.0, burst=1.0) for prefix in ("/svc", "/svc/pick-confirm")]
    both = Gate(Routes(bounded), _READ)
    asked = jwt(both)
    write = request("/svc/pick-confirm/1/0", authorization=asked.authorization)
    assert decide(both, asked).good and decide(both, asked).reason is Reason.RATE
    assert decide(both, write).good  # what a subject asks of images takes nothing from its writes
    rates = Rates(2)
    assert [rates.take(name, 1.0, 1.0, 0.0) for name in ("a", "b", "c", "a")] == [0.0] * 4  # a was forgotten
    assert rates.take("c", 1.0, 1.0, -100.0) <= 1.0  # a clock set back holds nobody for long


def test_a_flood_of_forged_tokens_leaves_work_and_memory_for_good_ones() -> None:
    made = Gate(
        Routes([Policy("/svc/pick-confirm", methods=("POST",), floor=True), Policy("/svc")]),
        KeyRing.read(RING),
        Limits(checks=10.0),
    )
    good = jwt(made, "es1")
    assert decide(made, good).good
    forger = Key("es1", "ES256", (), private=key_of(generate("x", "ES256", [], 0.0)).private)
    reasons = [
        decide(
            made,
            request(authorization="Bearer " + formats.sign_jwt(forger, {"exp": NOW + n})),
            NOW + n / 1000,
        ).reason
        for n in range(50)
    ]
    assert set(reasons) == {Reason.SIGNATURE, Reason.BUSY}
    assert decide(made, good, NOW + 0.05).good  # by memory
    writer = formats.sign_jwt(keyed(made, "es1"), {"exp": NOW + 60, "sub": "new"})
    valued = request("/svc/pick-confirm/1/0", method="POST", authorization=f"Bearer {writer}")
    assert decide(made, valued, NOW + 0.06).good  # its part of the work
    again = decide(
        made, request(authorization="Bearer " + formats.sign_jwt(forger, {"exp": NOW})), NOW + 0.07
    )
    assert again.reason in (Reason.SIGNATURE, Reason.BUSY)


def test_work_and_verdicts_are_bounded() -> None:
    work = Work(4.0)
    assert [work.take(0.0, False) for _ in range(4)] == [True, True, True, False]
    assert work.take(0.0, True) and not work.take(0.0, True)
    assert work.take(-5.0, False) is False  # a clock set back earns nothing
    verdicts = Verdicts(2, 2)
    for number in range(5):
        verdicts.keep(bytes([number]), True)
        verdicts.keep(bytes([number + 100]), False)
    assert verdicts.known(bytes([4])) is True and verdicts.known(bytes([104])) is False
    assert verdicts.known(bytes([0])) is None


def test_rekeying_keeps_tokens_of_keys_that_stay() -> None:
    made = gate()
    token = jwt(made)
    assert decide(made, token).good
    table = {"keys": [{**one, "retired": True} if one["id"] == "hs1" else one for one in RING["keys"]]}
    made.rekey(KeyRing.read(table), made.routes)
    assert decide(made, token).reason is Reason.KEY_RETIRED
    made.rekey(KeyRing.read(RING), made.routes)
    assert decide(made, token).good


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"id": ""}, "id"),
        ({"algorithm": "none"}, "no algorithm"),
        ({"secret": "00"}, "secret of 1 bytes"),
        ({"secret": "zz"}, "can't be read"),
        ({"more": 1}, "unknown field more"),
        ({"use": "x"}, "list"),
        ({"from": 5, "until": 4}, "not before"),
        ({"algorithm": "RS256"}, "public is missing"),
    ],
)
def test_keys_that_can_not_be_used_are_told_by_id_alone(change: dict[str, Any], why: str) -> None:
    base = {"id": "k", "algorithm": "HS256", "secret": SECRET}
    with pytest.raises(KeyRingError, match=why) as error:
        key_of({**base, **change})
    assert SECRET not in str(error.value)
    assert SECRET not in repr(key_of(base)) and SECRET not in repr(bytes.fromhex(SECRET)) + str(error.value)


def test_weak_and_slow_rsa_keys_are_refused() -> None:
    def pem(public: Any) -> str:
        return str(
            public.public_bytes(
                serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
            ).decode()
        )

    small = rsa.generate_private_key(65537, 1024).public_key()
    with pytest.raises(KeyRingError, match="1024 bits"):
        key_of({"id": "k", "algorithm": "RS256", "public": pem(small)})
    numbers = rsa.generate_private_key(65537, 2048).public_key().public_numbers()
    slow = rsa.RSAPublicNumbers((1 << 40) + 15, numbers.n).public_key()
    with pytest.raises(KeyRingError, match="exponent"):
        key_of({"id": "k", "algorithm": "RS256", "public": pem(slow)})


@pytest.mark.parametrize("seed", range(3))
def test_the_trie_finds_what_a_scan_finds(seed: int) -> None:
    chooser = random.Random(seed)
    prefixes = {
        "/" + "/".join(chooser.choice("abc") for _ in range(chooser.randint(1, 5))) for _ in range(80)
    }
    policies = [Policy(prefix) for prefix in prefixes]
    trie, plain = Routes(policies), PlainRoutes(policies)
    for _ in range(500):
        path = "/" + "/".join(chooser.choice(["a", "b", "c", "aa"]) for _ in range(chooser.randint(1, 6)))
        assert trie.find(path) is plain.find(path)
    with pytest.raises(ValueError, match="two policies"):
        Routes([Policy("/a"), Policy("/a/")])


def test_times_out_of_range_and_bad_networks_raise_token_errors() -> None:
    for wrong in (True, "1", -1, 1e300, float("nan")):
        with pytest.raises(TokenError):
            formats._time(wrong, "exp")
    with pytest.raises(TokenError):
        networks("10.0.0.0/99")

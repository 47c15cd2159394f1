"""Unit tests of the access package: token formats with hand-made tokens, then each reason for refusal."""

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
from stonecove.access.grants import Format, Request, TokenError, parse_networks
from stonecove.access.keys import Key, KeyRing, KeyRingError, generate, parse_key
from stonecove.access.match import glob
from stonecove.access.rates import SubjectLimits
from stonecove.access.reasons import Reason, status_of
from stonecove.access.revoked import RevocationList
from stonecove.access.routes import LinearRoutes, Policy, Routes
from stonecove.access.seen import DictReplayCache, ReplayCache, ReplayStatus
from stonecove.access.verdicts import SignatureBudget, SignatureCache

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


def make_request(path: str = PATH, query: str = "", **more: Any) -> Request:
    base: dict[str, Any] = {
        "method": "GET",
        "scheme": "http",
        "host": "edge.example",
        "source": "10.1.2.3",
        "depot": "edge-1",
        "target": f"{path}?{query}" if query else path,
    }
    return Request(**{**base, **more})


_KEY_RING = KeyRing.read(RING)


def make_gate(**policy: Any) -> Gate:
    token_policy = Policy("/svc", **policy)
    open_policy = Policy("/svc/open", token=False)
    return Gate(Routes([token_policy, open_policy]), _KEY_RING, Limits(seen=1000, checks=1000.0))


def ring_key(gate: Gate, ident: str) -> Key:
    return gate.ring.keys[ident]


def decide(gate: Gate, request: Request, now: float = NOW, item: str = OBJECT) -> Decision:
    return gate.check(request, item, now, now)


def jwt_request(gate: Gate, key: str = "hs1", **claims: Any) -> Request:
    text = formats.sign_jwt(ring_key(gate, key), {"exp": NOW + 60, "sub": "picker-1", **claims})
    return make_request(authorization=f"Bearer {text}")


# -- Formats, against hand-made tokens --


def test_a_jws_of_the_rfc_is_verified() -> None:
    """Verify the example of RFC 7515, appendix A.1."""
    text = (
        "eyJ0eXAiOiJKV1QiLA0KICJhbGciOiJIUzI1NiJ9.eyJpc3MiOiJqb2UiLA0KICJleHAiOjEzMDA4MTkzODAsDQogImh0dHA6Ly"
        "9leGFtcGxlLmNvbS9pc19yb290Ijp0cnVlfQ.dBjftJeZ4CVP-mB92K27uhbUJU1p1r_wW1gFWFOEjXk"
    )
    secret = base64.urlsafe_b64decode(
        "AyM1SysPpbyDfgZld3umj1qzKObwVMkoqQ-EstJQLr_T-1qS0gZH75aKtMN3Yj0iPS4hcgUuTwjAzZr1Z9CAow=="
    )
    _, claims, message, signature = formats._parse_compact(text)
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
    gate = make_gate()
    assert decide(gate, make_request(query=f"hdnts={body}~hmac={mac}")).reason is Reason.GOOD
    assert (
        decide(
            gate, make_request(query=f"hdnts={body}~hmac={mac[:-1]}{'0' if mac[-1] != '0' else '1'}")
        ).reason
        is Reason.SIGNATURE
    )
    by_path = f"exp={NOW + 60:.0f}~data=kid:edge1"
    mac = hmac.new(bytes.fromhex(SECRET), f"{by_path}~url={PATH}".encode(), hashlib.sha256).hexdigest()
    assert decide(gate, make_request(query=f"hdnts={by_path}~hmac={mac}")).reason is Reason.GOOD
    other = PATH.replace("/3", "/4")
    assert decide(gate, make_request(other, f"hdnts={by_path}~hmac={mac}")).reason is Reason.SIGNATURE


@pytest.mark.parametrize("ident", ["rsa1", "ec1"])
@pytest.mark.parametrize("place", ["url", "cookie"])
def test_cloudfront_by_url_and_cookie_canned_and_custom(ident: str, place: str) -> None:
    gate = make_gate()
    key, until = ring_key(gate, ident), int(NOW + 60)

    def signed_request(policy: bytes, canned: bool, path: str = PATH, extra: str = "") -> Request:
        pairs = formats.sign_cloudfront(key, policy, canned, until)
        if place == "cookie":
            return make_request(
                path, extra, cookies=tuple((f"CloudFront-{name}", value) for name, value in pairs)
            )
        query = "&".join(f"{name}={value}" for name, value in pairs)
        return make_request(path, f"{extra}&{query}" if extra else query)

    url = f"http://edge.example{PATH}"
    canned = formats.canned_policy(url, until)
    assert decide(gate, signed_request(canned, True)).reason is Reason.GOOD
    assert decide(gate, signed_request(canned, True, PATH[:-1] + "4")).reason is Reason.SIGNATURE
    assert decide(
        gate, signed_request(formats.canned_policy(f"{url}?size=2", until), True, extra="size=2")
    ).admitted
    prefix_policy = formats.custom_policy(
        "http://edge.example/svc/guide-video/*", until, int(NOW - 5), "10.1.0.0/16"
    )
    assert (
        decide(gate, signed_request(prefix_policy, False)).admitted
        and decide(gate, signed_request(prefix_policy, False, PATH[:-1] + "4")).admitted
    )
    assert decide(gate, signed_request(prefix_policy, False, "/svc/item-image/1/0")).reason is Reason.RESOURCE
    other_source = formats.custom_policy("*", until, 0, "192.0.2.0/24")
    assert decide(gate, signed_request(other_source, False)).reason is Reason.SOURCE
    future_policy = formats.custom_policy("*", until, int(NOW + 30))
    assert decide(gate, signed_request(future_policy, False)).reason is Reason.NOT_YET


def test_cdni_containers_and_renewal_over_a_chain_of_a_thousand() -> None:
    gate = make_gate(longest=100.0)
    key = ring_key(gate, "es1")
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
        request = make_request(cookies=((formats.CDNI_NAME, cookie),))
        decision = decide(gate, request, now)
        assert decision.admitted and decision.cookie and decision.cookie_path_segments == 2
        cookie, now = decision.cookie, now + 8.0
    assert decide(gate, request, now + 60).reason is Reason.EXPIRED
    assert cookie_path(PATH, 2) == "/svc/guide-video" and cookie_path(PATH, 0) == "/"
    digest = base64.urlsafe_b64encode(hashlib.sha256(f"http://edge.example{PATH}".encode()).digest())
    exact = {"exp": int(NOW + 10), "cdniuc": f"hash:sha-256;{digest.rstrip(b'=').decode()}"}
    for path, good in ((PATH, True), (PATH[:-1] + "5", False)):
        text = formats.sign_jwt(key, exact)
        assert decide(gate, make_request(path, f"{formats.CDNI_NAME}={text}")).admitted is good


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
def test_invalid_cdni_claims_are_malformed(claims: dict[str, Any], why: str) -> None:
    gate = make_gate()
    text = formats.sign_jwt(ring_key(gate, "es1"), {"exp": NOW + 5, **claims})
    decision = decide(gate, make_request(query=f"{formats.CDNI_NAME}={text}"))
    assert decision.reason is Reason.MALFORMED and why in decision.log_detail


# -- Malformed and forged tokens --


def base64url(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def unsigned_jws(payload: bytes, **header: Any) -> str:
    head = json.dumps({"alg": "HS256", **header}).encode()
    return f"{base64url(head)}.{base64url(payload)}.{base64url(b's')}"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "a.b",
        "a.b.c",
        "...",
        f"{base64url(b'{}')}.{base64url(b'{}')}.",
        "x" * 5000,
        unsigned_jws(b"{}", alg="none"),
        unsigned_jws(b"{}", jku="http://evil"),
        unsigned_jws(b"{}", crit=["x"]),
        unsigned_jws(b"[" * 2000 + b"]" * 2000),
        unsigned_jws(b'{"exp": NaN}'),
        unsigned_jws(b'{"exp": 1, "exp": 2}'),
        unsigned_jws(b'{"exp": 1, "evil": 2}'),
        unsigned_jws(b'{"exp": 1e400}'),
        unsigned_jws(b'{"exp": true}'),
        unsigned_jws(b'{"exp": 1, "aud": 7}'),
        unsigned_jws(b"\xff"),
    ],
)
def test_a_bearer_that_can_not_be_read_is_malformed(text: str) -> None:
    assert decide(make_gate(), make_request(authorization=f"Bearer {text}")).reason in (
        Reason.MALFORMED,
        Reason.TOO_LONG,
    )


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.text(alphabet=st.characters(min_codepoint=33, max_codepoint=126), max_size=120),
    st.sampled_from(["Bearer", "hdnts", "URISigningPackage", "CloudFront", "Policy"]),
)
def test_no_random_token_is_admitted_or_raises(text: str, place: str) -> None:
    gate = make_gate()
    request = {
        "Bearer": make_request(authorization=f"Bearer {text}"),
        "hdnts": make_request(query=f"hdnts={text}"),
        "URISigningPackage": make_request(cookies=((formats.CDNI_NAME, text),)),
        "CloudFront": make_request(
            cookies=(
                ("CloudFront-Policy", text),
                ("CloudFront-Signature", "aa__"),
                ("CloudFront-Key-Pair-Id", "rsa1"),
            )
        ),
        "Policy": make_request(query=f"Expires=1900000000&Signature={text}&Key-Pair-Id=rsa1"),
    }[place]
    assert not decide(gate, request).admitted


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.integers(0, 10_000), st.integers(0, 255))
def test_a_token_with_any_byte_changed_is_refused(place: int, byte: int) -> None:
    gate = make_gate()
    text = jwt_request(gate).authorization.removeprefix("Bearer ")
    place %= len(text)
    changed = text[:place] + chr(33 + byte % 94) + text[place + 1 :]
    if changed != text:
        assert not decide(gate, make_request(authorization=f"Bearer {changed}")).admitted


def test_algorithms_are_pinned_to_the_key() -> None:
    """Algorithm confusion: an HMAC keyed with an RSA public key, and an algorithm other than the key's."""
    gate = make_gate()
    pem = ring_key(gate, "rsa1").public.public_bytes(
        serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    confused = Key("es1", "HS256", (), secret=pem)
    text = formats.sign_jwt(confused, {"exp": NOW + 5})
    assert decide(gate, make_request(authorization=f"Bearer {text}")).reason is Reason.ALGORITHM
    wrong = Key("hs1", "HS512", (), secret=bytes.fromhex(SECRET * 2))
    text = formats.sign_jwt(wrong, {"exp": NOW + 5})
    assert decide(gate, make_request(authorization=f"Bearer {text}")).reason is Reason.ALGORITHM


def test_only_canonical_paths_are_accepted() -> None:
    for good in (PATH, "/a", "/a-b_c.d~e/%C3%A4", "/a/b;c=1,2"):
        assert canon.path_error(good) == "", good
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
        assert canon.path_error(bad), bad
    assert decide(make_gate(), make_request("/svc//x")).reason is Reason.PATH


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(alphabet="ab*?", max_size=8), st.text(alphabet="ab", max_size=8))
def test_globs_agree_with_expressions(pattern: str, text: str) -> None:
    import re

    expression = "".join({"*": ".*", "?": "."}.get(char, char) for char in pattern)
    assert glob(pattern, text) == (re.fullmatch(expression, text) is not None)


# -- The gate: each reason --


def test_each_reason_has_its_status_and_open_routes_ask_for_nothing() -> None:
    gate = make_gate()
    assert decide(gate, make_request("/svc/open/x")).reason is Reason.OPEN
    assert decide(gate, make_request("/elsewhere")).reason is Reason.OPEN
    assert decide(gate, make_request()).reason is Reason.MISSING and status_of(Reason.MISSING) == 401
    assert {status_of(one) for one in Reason} == {400, 401, 403, 429, 503}


@pytest.mark.parametrize(
    ("claims", "policy", "request_fields", "reason"),
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
    claims: dict[str, Any], policy: dict[str, Any], request_fields: dict[str, Any], reason: Reason
) -> None:
    gate = make_gate(**policy)
    token = jwt_request(gate, **claims).authorization
    assert decide(gate, make_request(authorization=token, **request_fields)).reason is reason


@pytest.mark.parametrize(("ident", "reason"), [("old", Reason.KEY_RETIRED), ("soon", Reason.KEY_NOT_YET)])
def test_keys_have_their_times(ident: str, reason: Reason) -> None:
    gate = make_gate()
    assert decide(gate, jwt_request(gate, ident)).reason is reason
    other = Key("nobody", "HS256", (), secret=b"x" * 32)
    text = formats.sign_jwt(other, {"exp": NOW + 5})
    assert decide(gate, make_request(authorization=f"Bearer {text}")).reason is Reason.UNKNOWN_KEY


def test_cookie_and_url_that_disagree_are_refused() -> None:
    gate = make_gate()
    one = formats.sign_jwt(ring_key(gate, "es1"), {"exp": int(NOW + 9), "cdniuc": "regex:.*", "sub": "a"})
    other = formats.sign_jwt(ring_key(gate, "es1"), {"exp": int(NOW + 9), "cdniuc": "regex:.*", "sub": "b"})
    both = make_request(query=f"{formats.CDNI_NAME}={one}", cookies=((formats.CDNI_NAME, other),))
    assert decide(gate, both).reason is Reason.CONFLICT
    same = make_request(query=f"{formats.CDNI_NAME}={one}", cookies=((formats.CDNI_NAME, one),))
    assert decide(gate, same).admitted
    forged = one[:-4] + ("AAAA" if not one.endswith("AAAA") else "BBBB")
    second = make_request(query=f"{formats.CDNI_NAME}={one}", cookies=((formats.CDNI_NAME, forged),))
    assert decide(gate, second).reason is Reason.SIGNATURE


def test_a_started_object_may_be_ended_after_its_token_expired() -> None:
    gate = make_gate(grace=30.0)
    token = jwt_request(gate, exp=NOW + 10)
    assert decide(gate, token).admitted
    assert decide(gate, token, NOW + 20).admitted and decide(gate, token, NOW + 40).admitted
    assert decide(gate, token, NOW + 46).reason is Reason.EXPIRED  # further requests do not extend the grace
    assert decide(gate, token, NOW + 20, item="another").reason is Reason.EXPIRED
    other_source = make_request(authorization=token.authorization, source="10.9.9.9")
    assert decide(gate, other_source, NOW + 20).reason is Reason.EXPIRED
    fresh = jwt_request(gate, exp=NOW + 10, jti="other")
    assert decide(gate, fresh, NOW + 20).reason is Reason.EXPIRED  # never used before its expiry


def test_a_token_for_one_request_is_good_once_also_by_a_clock_set_back() -> None:
    gate = make_gate()
    token = jwt_request(gate, jti="j1", once=True)
    first = decide(gate, token)
    assert first.admitted
    assert decide(gate, token).reason is Reason.REPLAYED
    assert decide(gate, token, NOW - 3600).reason in (Reason.REPLAYED, Reason.TOO_LONG_LIVED)
    gate.finish_request(first, executed=True)
    assert decide(gate, token).reason is Reason.REPLAYED
    refused = decide(gate, jwt_request(gate, jti="j2", once=True))
    gate.finish_request(refused, executed=False)  # rejected for lack of capacity: the client may retry
    assert decide(gate, jwt_request(gate, jti="j2", once=True)).admitted


def test_replay_cache_is_bounded_with_a_reserved_share_for_high_priority() -> None:
    ids = ReplayCache(100, seed=7)
    assert [ids.check_and_add(str(n), NOW + 60, NOW) for n in range(100)].count(ReplayStatus.NEW) == 95
    assert ids.check_and_add("more", NOW + 60, NOW) is ReplayStatus.FULL
    assert (
        ids.check_and_add("more", NOW + 60, NOW, high_priority=True) is ReplayStatus.NEW
        and ids.check_and_add("0", NOW + 60, NOW) is ReplayStatus.SEEN_BEFORE
    )
    assert (
        ids.check_and_add("later", NOW + 200, NOW + 100) is ReplayStatus.NEW and len(ids) == 1
    )  # the others have expired
    assert (
        ids.check_and_add("0", NOW + 60, NOW) is ReplayStatus.SEEN_BEFORE
    )  # the clock was set back, and the id was dropped


@pytest.mark.parametrize("seed", range(3))
def test_wheel_and_plain_dict_agree(seed: int) -> None:
    rng = random.Random(seed)
    wheel, reference = ReplayCache(10_000, seed=1), DictReplayCache(10_000)
    now = NOW
    for _ in range(5000):
        now += rng.expovariate(10)
        ident = str(rng.randrange(800))
        expires = NOW + 100.0 * (1 + int((now - NOW) / 100)) + 50  # constant over the lifetime of an id
        if wheel.check_and_add(f"{ident} {expires}", expires, now) is not reference.check_and_add(
            f"{ident} {expires}", expires, now
        ):
            raise AssertionError(ident)


def test_revocation_by_key_subject_and_token_ends_and_ages() -> None:
    gate = make_gate()
    token = jwt_request(gate, jti="t", iat=NOW - 100)
    for kind, name, reason in (
        ("key", "hs1", Reason.REVOKED_KEY),
        ("subject", "picker-1", Reason.REVOKED_SUBJECT),
        ("token", "t", Reason.REVOKED_TOKEN),
    ):
        gate.revoked = RevocationList()
        gate.revoked.revoke(kind, name, NOW - 50, NOW + 1000, NOW)
        assert decide(gate, token).reason is reason
        assert decide(gate, jwt_request(gate, iat=NOW - 10, jti="t")).admitted  # issued after the revocation
    revoked = RevocationList(max_entries=5000, filter_size=64)
    for number in range(3000):
        revoked.revoke("token", str(number), 1e18, NOW + 10, NOW)
    assert all(revoked.covers("token", str(number), NOW, NOW) for number in range(3000))
    before = revoked.exact_lookups
    assert not any(revoked.covers("token", f"x{number}", NOW, NOW) for number in range(3000))
    assert revoked.exact_lookups - before < 300  # the filter answers nearly all lookups
    revoked.sweep(NOW + 11)
    assert len(revoked) == 0 and not revoked.covers("token", "1", NOW, NOW + 11)
    with pytest.raises(ValueError, match="room"):
        for number in range(6000):
            revoked.revoke("token", str(number), 1e18, NOW + 100, NOW + 12)


def test_rates_and_open_requests_of_a_subject() -> None:
    gate = make_gate(rate=2.0, burst=3.0, concurrent=2)
    first = [decide(gate, jwt_request(gate)) for _ in range(3)]
    assert [one.reason for one in first] == [Reason.GOOD, Reason.GOOD, Reason.CONCURRENCY]
    gate.finish_request(first[0], executed=True)
    fourth = decide(gate, jwt_request(gate))
    assert fourth.reason is Reason.RATE and 0 < fourth.retry_after_s <= 0.5
    assert decide(gate, jwt_request(gate, sub="other")).admitted
    bounded = [Policy(prefix, rate=1.0, burst=1.0) for prefix in ("/svc", "/svc/pick-confirm")]
    both = Gate(Routes(bounded), _KEY_RING)
    request = jwt_request(both)
    write = make_request("/svc/pick-confirm/1/0", authorization=request.authorization)
    assert decide(both, request).admitted and decide(both, request).reason is Reason.RATE
    assert decide(both, write).admitted  # reads of a subject do not use up the rate of its writes
    rates = SubjectLimits(2)
    assert [rates.take(name, 1.0, 1.0, 0.0) for name in ("a", "b", "c", "a")] == [0.0] * 4  # a was evicted
    assert rates.take("c", 1.0, 1.0, -100.0) <= 1.0  # a clock set back delays a subject by one burst at most


def test_a_flood_of_forged_tokens_does_not_block_valid_ones() -> None:
    gate = Gate(
        Routes([Policy("/svc/pick-confirm", methods=("POST",), floor=True), Policy("/svc")]),
        KeyRing.read(RING),
        Limits(checks=10.0),
    )
    good = jwt_request(gate, "es1")
    assert decide(gate, good).admitted
    forger = Key("es1", "ES256", (), private=parse_key(generate("x", "ES256", [], 0.0)).private)
    reasons = [
        decide(
            gate,
            make_request(authorization="Bearer " + formats.sign_jwt(forger, {"exp": NOW + n})),
            NOW + n / 1000,
        ).reason
        for n in range(50)
    ]
    assert set(reasons) == {Reason.SIGNATURE, Reason.BUSY}
    assert decide(gate, good, NOW + 0.05).admitted  # from the cache
    writer = formats.sign_jwt(ring_key(gate, "es1"), {"exp": NOW + 60, "sub": "new"})
    high_priority_write = make_request(
        "/svc/pick-confirm/1/0", method="POST", authorization=f"Bearer {writer}"
    )
    assert decide(gate, high_priority_write, NOW + 0.06).admitted  # the reserved share of the budget
    again = decide(
        gate, make_request(authorization="Bearer " + formats.sign_jwt(forger, {"exp": NOW})), NOW + 0.07
    )
    assert again.reason in (Reason.SIGNATURE, Reason.BUSY)


def test_signature_budget_and_cache_are_bounded() -> None:
    budget = SignatureBudget(4.0)
    assert [budget.take(0.0, False) for _ in range(4)] == [True, True, True, False]
    assert budget.take(0.0, True) and not budget.take(0.0, True)
    assert budget.take(-5.0, False) is False  # a clock set back adds no budget
    verdicts = SignatureCache(2, 2)
    for number in range(5):
        verdicts.store(bytes([number]), True)
        verdicts.store(bytes([number + 100]), False)
    assert verdicts.lookup(bytes([4])) is True and verdicts.lookup(bytes([104])) is False
    assert verdicts.lookup(bytes([0])) is None


def test_replacing_the_ring_keeps_tokens_of_keys_that_remain() -> None:
    gate = make_gate()
    token = jwt_request(gate)
    assert decide(gate, token).admitted
    table = {"keys": [{**one, "retired": True} if one["id"] == "hs1" else one for one in RING["keys"]]}
    gate.replace_keys(KeyRing.read(table), gate.routes)
    assert decide(gate, token).reason is Reason.KEY_RETIRED
    gate.replace_keys(KeyRing.read(RING), gate.routes)
    assert decide(gate, token).admitted


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
def test_errors_of_invalid_keys_name_the_id_and_no_secret(change: dict[str, Any], why: str) -> None:
    base = {"id": "k", "algorithm": "HS256", "secret": SECRET}
    with pytest.raises(KeyRingError, match=why) as error:
        parse_key({**base, **change})
    assert SECRET not in str(error.value)
    assert SECRET not in repr(parse_key(base)) and SECRET not in repr(bytes.fromhex(SECRET)) + str(
        error.value
    )


def test_weak_and_slow_rsa_keys_are_refused() -> None:
    def pem(public: Any) -> str:
        return str(
            public.public_bytes(
                serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
            ).decode()
        )

    small = rsa.generate_private_key(65537, 1024).public_key()
    with pytest.raises(KeyRingError, match="1024 bits"):
        parse_key({"id": "k", "algorithm": "RS256", "public": pem(small)})
    numbers = rsa.generate_private_key(65537, 2048).public_key().public_numbers()
    slow = rsa.RSAPublicNumbers((1 << 40) + 15, numbers.n).public_key()
    with pytest.raises(KeyRingError, match="exponent"):
        parse_key({"id": "k", "algorithm": "RS256", "public": pem(slow)})


@pytest.mark.parametrize("seed", range(3))
def test_the_trie_finds_what_a_scan_finds(seed: int) -> None:
    rng = random.Random(seed)
    prefixes = {"/" + "/".join(rng.choice("abc") for _ in range(rng.randint(1, 5))) for _ in range(80)}
    policies = [Policy(prefix) for prefix in prefixes]
    trie, reference = Routes(policies), LinearRoutes(policies)
    for _ in range(500):
        path = "/" + "/".join(rng.choice(["a", "b", "c", "aa"]) for _ in range(rng.randint(1, 6)))
        assert trie.find(path) is reference.find(path)
    with pytest.raises(ValueError, match="two policies"):
        Routes([Policy("/a"), Policy("/a/")])


def test_times_out_of_range_and_bad_networks_raise_token_errors() -> None:
    for wrong in (True, "1", -1, 1e300, float("nan")):
        with pytest.raises(TokenError):
            formats._parse_time(wrong, "exp")
    with pytest.raises(TokenError):
        parse_networks("10.0.0.0/99")

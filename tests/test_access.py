"""Unit tests of the access package: token formats, malformed and forged tokens, the gate's reasons."""

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
_RSA_KEY = generate("rsa1", "RSA-SHA1", ["cloudfront"], 0.0)
RING: dict[str, Any] = {
    "keys": [
        _RSA_KEY,
        {**generate("ec1", "ECDSA-SHA256", ["cloudfront"], 0.0)},
        {"id": "edge1", "algorithm": "HMAC-SHA256", "use": ["edge-auth"], "secret": SECRET},
        {"id": "hs1", "algorithm": "HS256", "use": ["bearer", "cdni"], "secret": SECRET * 2},
        {**generate("es1", "ES256", ["bearer", "cdni"], 0.0)},
        {"id": "old", "algorithm": "HS256", "secret": SECRET * 2, "retired": True},
        {"id": "soon", "algorithm": "HS256", "secret": SECRET * 2, "from": NOW + 1000},
    ]
}


def make_request(path: str = PATH, query: str = "", **fields: Any) -> Request:
    defaults: dict[str, Any] = {
        "method": "GET",
        "scheme": "http",
        "host": "edge.example",
        "source": "10.1.2.3",
        "depot": "edge-1",
        "target": f"{path}?{query}" if query else path,
    }
    return Request(**{**defaults, **fields})


_KEY_RING = KeyRing.read(RING)


def make_gate(**policy_fields: Any) -> Gate:
    token_policy = Policy("/svc", **policy_fields)
    open_policy = Policy("/svc/open", token=False)
    return Gate(Routes([token_policy, open_policy]), _KEY_RING, Limits(seen=1000, checks=1000.0))


def ring_key(gate: Gate, key_id: str) -> Key:
    return gate.ring.keys[key_id]


def decide(gate: Gate, request: Request, now: float = NOW, object_id: str = OBJECT) -> Decision:
    return gate.check(request, object_id, now, now)


def jwt_request(gate: Gate, key_id: str = "hs1", **claims: Any) -> Request:
    token = formats.sign_jwt(ring_key(gate, key_id), {"exp": NOW + 60, "sub": "picker-1", **claims})
    return make_request(authorization=f"Bearer {token}")


# -- Token formats --


def test_the_jws_example_of_rfc_7515_is_verified() -> None:
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


def test_a_canned_policy_matches_the_cloudfront_documentation() -> None:
    assert formats.canned_policy(
        "http://d111111abcdef8.cloudfront.net/horizon.jpg?size=large", 1258237200
    ) == (
        b'{"Statement":[{"Resource":"http://d111111abcdef8.cloudfront.net/horizon.jpg?size=large","Condition":'
        b'{"DateLessThan":{"AWS:EpochTime":1258237200}}}]}'
    )


def test_an_edge_auth_token_signed_without_the_program_is_verified() -> None:
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
    path_bound = f"exp={NOW + 60:.0f}~data=kid:edge1"
    mac = hmac.new(bytes.fromhex(SECRET), f"{path_bound}~url={PATH}".encode(), hashlib.sha256).hexdigest()
    assert decide(gate, make_request(query=f"hdnts={path_bound}~hmac={mac}")).reason is Reason.GOOD
    other_path = PATH.replace("/3", "/4")
    assert decide(gate, make_request(other_path, f"hdnts={path_bound}~hmac={mac}")).reason is Reason.SIGNATURE


@pytest.mark.parametrize("key_id", ["rsa1", "ec1"])
@pytest.mark.parametrize("location", ["url", "cookie"])
def test_canned_and_custom_cloudfront_policies_are_enforced_in_url_and_cookies(
    key_id: str, location: str
) -> None:
    gate = make_gate()
    key, expires = ring_key(gate, key_id), int(NOW + 60)

    def signed_request(policy: bytes, canned: bool, path: str = PATH, own_query: str = "") -> Request:
        pairs = formats.sign_cloudfront(key, policy, canned, expires)
        if location == "cookie":
            return make_request(
                path, own_query, cookies=tuple((f"CloudFront-{name}", value) for name, value in pairs)
            )
        query = "&".join(f"{name}={value}" for name, value in pairs)
        return make_request(path, f"{own_query}&{query}" if own_query else query)

    url = f"http://edge.example{PATH}"
    canned = formats.canned_policy(url, expires)
    assert decide(gate, signed_request(canned, True)).reason is Reason.GOOD
    assert decide(gate, signed_request(canned, True, PATH[:-1] + "4")).reason is Reason.SIGNATURE
    assert decide(
        gate, signed_request(formats.canned_policy(f"{url}?size=2", expires), True, own_query="size=2")
    ).admitted
    prefix_policy = formats.custom_policy(
        "http://edge.example/svc/guide-video/*", expires, int(NOW - 5), "10.1.0.0/16"
    )
    assert (
        decide(gate, signed_request(prefix_policy, False)).admitted
        and decide(gate, signed_request(prefix_policy, False, PATH[:-1] + "4")).admitted
    )
    assert decide(gate, signed_request(prefix_policy, False, "/svc/item-image/1/0")).reason is Reason.RESOURCE
    other_source = formats.custom_policy("*", expires, 0, "192.0.2.0/24")
    assert decide(gate, signed_request(other_source, False)).reason is Reason.SOURCE
    future_policy = formats.custom_policy("*", expires, int(NOW + 30))
    assert decide(gate, signed_request(future_policy, False)).reason is Reason.NOT_YET


def test_cdni_tokens_are_renewed_a_thousand_times_and_bound_to_their_uri() -> None:
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
    url_hash_claims = {"exp": int(NOW + 10), "cdniuc": f"hash:sha-256;{digest.rstrip(b'=').decode()}"}
    for path, admitted in ((PATH, True), (PATH[:-1] + "5", False)):
        token = formats.sign_jwt(key, url_hash_claims)
        assert decide(gate, make_request(path, f"{formats.CDNI_NAME}={token}")).admitted is admitted


@pytest.mark.parametrize(
    ("claims", "detail"),
    [
        ({"cdniuc": "glob:x"}, "container"),
        ({"cdniuc": "regex:(("}, "expression"),
        ({"cdniuc": "regex:.*", "cdnicrit": "cdnix"}, "critical"),
        ({"cdniuc": "regex:.*", "cdniv": 2}, "version"),
        ({"cdniuc": "regex:.*", "cdnistt": 1}, "cdniets"),
        ({"cdniuc": "regex:.*", "exp": "soon"}, "exp"),
    ],
)
def test_invalid_cdni_claims_are_malformed(claims: dict[str, Any], detail: str) -> None:
    gate = make_gate()
    token = formats.sign_jwt(ring_key(gate, "es1"), {"exp": NOW + 5, **claims})
    decision = decide(gate, make_request(query=f"{formats.CDNI_NAME}={token}"))
    assert decision.reason is Reason.MALFORMED and detail in decision.log_detail


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
def test_an_unreadable_bearer_token_is_malformed(text: str) -> None:
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


def test_a_token_must_use_the_algorithm_of_its_key() -> None:
    """Guards against algorithm confusion: an RSA public key as HMAC secret, or another digest."""
    gate = make_gate()
    pem = ring_key(gate, "rsa1").public.public_bytes(
        serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    public_key_as_secret = Key("es1", "HS256", (), secret=pem)
    token = formats.sign_jwt(public_key_as_secret, {"exp": NOW + 5})
    assert decide(gate, make_request(authorization=f"Bearer {token}")).reason is Reason.ALGORITHM
    other_algorithm = Key("hs1", "HS512", (), secret=bytes.fromhex(SECRET * 2))
    token = formats.sign_jwt(other_algorithm, {"exp": NOW + 5})
    assert decide(gate, make_request(authorization=f"Bearer {token}")).reason is Reason.ALGORITHM


def test_only_canonical_paths_are_accepted() -> None:
    for canonical_path in (PATH, "/a", "/a-b_c.d~e/%C3%A4", "/a/b;c=1,2"):
        assert canon.path_error(canonical_path) == "", canonical_path
    for ambiguous_path in (
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
        assert canon.path_error(ambiguous_path), ambiguous_path
    assert decide(make_gate(), make_request("/svc//x")).reason is Reason.PATH


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(alphabet="ab*?", max_size=8), st.text(alphabet="ab", max_size=8))
def test_globs_agree_with_expressions(pattern: str, text: str) -> None:
    import re

    expression = "".join({"*": ".*", "?": "."}.get(char, char) for char in pattern)
    assert glob(pattern, text) == (re.fullmatch(expression, text) is not None)


# -- The gate: each reason --


def test_each_reason_has_its_status_and_open_routes_need_no_token() -> None:
    gate = make_gate()
    assert decide(gate, make_request("/svc/open/x")).reason is Reason.OPEN
    assert decide(gate, make_request("/elsewhere")).reason is Reason.OPEN
    assert decide(gate, make_request()).reason is Reason.MISSING and status_of(Reason.MISSING) == 401
    assert {status_of(reason) for reason in Reason} == {400, 401, 403, 429, 503}


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
def test_claims_policy_and_request_determine_the_reason(
    claims: dict[str, Any], policy: dict[str, Any], request_fields: dict[str, Any], reason: Reason
) -> None:
    gate = make_gate(**policy)
    token = jwt_request(gate, **claims).authorization
    assert decide(gate, make_request(authorization=token, **request_fields)).reason is reason


@pytest.mark.parametrize(("key_id", "reason"), [("old", Reason.KEY_RETIRED), ("soon", Reason.KEY_NOT_YET)])
def test_tokens_of_retired_future_and_unknown_keys_are_refused(key_id: str, reason: Reason) -> None:
    gate = make_gate()
    assert decide(gate, jwt_request(gate, key_id)).reason is reason
    unknown_key = Key("nobody", "HS256", (), secret=b"x" * 32)
    token = formats.sign_jwt(unknown_key, {"exp": NOW + 5})
    assert decide(gate, make_request(authorization=f"Bearer {token}")).reason is Reason.UNKNOWN_KEY


def test_different_tokens_in_cookie_and_url_are_refused() -> None:
    gate = make_gate()
    first_token = formats.sign_jwt(
        ring_key(gate, "es1"), {"exp": int(NOW + 9), "cdniuc": "regex:.*", "sub": "a"}
    )
    second_token = formats.sign_jwt(
        ring_key(gate, "es1"), {"exp": int(NOW + 9), "cdniuc": "regex:.*", "sub": "b"}
    )
    different_tokens = make_request(
        query=f"{formats.CDNI_NAME}={first_token}", cookies=((formats.CDNI_NAME, second_token),)
    )
    assert decide(gate, different_tokens).reason is Reason.CONFLICT
    same_token_twice = make_request(
        query=f"{formats.CDNI_NAME}={first_token}", cookies=((formats.CDNI_NAME, first_token),)
    )
    assert decide(gate, same_token_twice).admitted
    forged_token = first_token[:-4] + ("AAAA" if not first_token.endswith("AAAA") else "BBBB")
    forged_cookie = make_request(
        query=f"{formats.CDNI_NAME}={first_token}", cookies=((formats.CDNI_NAME, forged_token),)
    )
    assert decide(gate, forged_cookie).reason is Reason.SIGNATURE


def test_a_started_object_may_be_completed_in_the_grace_after_expiry() -> None:
    gate = make_gate(grace=30.0)
    request = jwt_request(gate, exp=NOW + 10)
    assert decide(gate, request).admitted
    assert decide(gate, request, NOW + 20).admitted and decide(gate, request, NOW + 40).admitted
    # Further requests do not extend the grace.
    assert decide(gate, request, NOW + 46).reason is Reason.EXPIRED
    assert decide(gate, request, NOW + 20, object_id="another").reason is Reason.EXPIRED
    other_source = make_request(authorization=request.authorization, source="10.9.9.9")
    assert decide(gate, other_source, NOW + 20).reason is Reason.EXPIRED
    unused_request = jwt_request(gate, exp=NOW + 10, jti="other")
    assert decide(gate, unused_request, NOW + 20).reason is Reason.EXPIRED  # never used before its expiry


def test_a_single_use_token_is_accepted_once_even_if_the_clock_is_set_back() -> None:
    gate = make_gate()
    request = jwt_request(gate, jti="j1", once=True)
    first_decision = decide(gate, request)
    assert first_decision.admitted
    assert decide(gate, request).reason is Reason.REPLAYED
    assert decide(gate, request, NOW - 3600).reason in (Reason.REPLAYED, Reason.TOO_LONG_LIVED)
    gate.finish_request(first_decision, executed=True)
    assert decide(gate, request).reason is Reason.REPLAYED
    unexecuted_decision = decide(gate, jwt_request(gate, jti="j2", once=True))
    # Rejected for lack of capacity: the client may retry.
    gate.finish_request(unexecuted_decision, executed=False)
    assert decide(gate, jwt_request(gate, jti="j2", once=True)).admitted


def test_replay_cache_is_bounded_with_a_reserved_share_for_high_priority() -> None:
    replay_cache = ReplayCache(100, seed=7)
    statuses = [replay_cache.check_and_add(str(number), NOW + 60, NOW) for number in range(100)]
    assert statuses.count(ReplayStatus.NEW) == 95
    assert replay_cache.check_and_add("more", NOW + 60, NOW) is ReplayStatus.FULL
    assert (
        replay_cache.check_and_add("more", NOW + 60, NOW, high_priority=True) is ReplayStatus.NEW
        and replay_cache.check_and_add("0", NOW + 60, NOW) is ReplayStatus.SEEN_BEFORE
    )
    # The others have expired.
    assert (
        replay_cache.check_and_add("later", NOW + 200, NOW + 100) is ReplayStatus.NEW
        and len(replay_cache) == 1
    )
    # The clock was set back, and the id was dropped.
    assert replay_cache.check_and_add("0", NOW + 60, NOW) is ReplayStatus.SEEN_BEFORE


@pytest.mark.parametrize("seed", range(3))
def test_the_replay_cache_agrees_with_its_dict_reference(seed: int) -> None:
    rng = random.Random(seed)
    replay_cache, reference = ReplayCache(10_000, seed=1), DictReplayCache(10_000)
    now = NOW
    for _ in range(5000):
        now += rng.expovariate(10)
        token_id = str(rng.randrange(800))
        expires = NOW + 100.0 * (1 + int((now - NOW) / 100)) + 50  # constant over the lifetime of an id
        if replay_cache.check_and_add(f"{token_id} {expires}", expires, now) is not reference.check_and_add(
            f"{token_id} {expires}", expires, now
        ):
            raise AssertionError(f"the caches disagree on token {token_id}")


def test_revocations_of_keys_subjects_and_tokens_apply_until_they_expire() -> None:
    gate = make_gate()
    request = jwt_request(gate, jti="t", iat=NOW - 100)
    for kind, name, reason in (
        ("key", "hs1", Reason.REVOKED_KEY),
        ("subject", "picker-1", Reason.REVOKED_SUBJECT),
        ("token", "t", Reason.REVOKED_TOKEN),
    ):
        gate.revoked = RevocationList()
        gate.revoked.revoke(kind, name, NOW - 50, NOW + 1000, NOW)
        assert decide(gate, request).reason is reason
        assert decide(gate, jwt_request(gate, iat=NOW - 10, jti="t")).admitted  # issued after the revocation
    revoked = RevocationList(max_entries=5000, filter_size=64)
    for number in range(3000):
        revoked.revoke("token", str(number), 1e18, NOW + 10, NOW)
    assert all(revoked.covers("token", str(number), NOW, NOW) for number in range(3000))
    lookups_before = revoked.exact_lookups
    assert not any(revoked.covers("token", f"x{number}", NOW, NOW) for number in range(3000))
    assert revoked.exact_lookups - lookups_before < 300  # the filter answers nearly all lookups
    revoked.sweep(NOW + 11)
    assert len(revoked) == 0 and not revoked.covers("token", "1", NOW, NOW + 11)
    with pytest.raises(ValueError, match="room"):
        for number in range(6000):
            revoked.revoke("token", str(number), 1e18, NOW + 100, NOW + 12)


def test_rate_and_concurrency_of_a_subject_are_limited() -> None:
    gate = make_gate(rate=2.0, burst=3.0, concurrent=2)
    first_decisions = [decide(gate, jwt_request(gate)) for _ in range(3)]
    assert [decision.reason for decision in first_decisions] == [Reason.GOOD, Reason.GOOD, Reason.CONCURRENCY]
    gate.finish_request(first_decisions[0], executed=True)
    fourth_decision = decide(gate, jwt_request(gate))
    assert fourth_decision.reason is Reason.RATE and 0 < fourth_decision.retry_after_s <= 0.5
    assert decide(gate, jwt_request(gate, sub="other")).admitted
    policies = [Policy(prefix, rate=1.0, burst=1.0) for prefix in ("/svc", "/svc/pick-confirm")]
    two_policy_gate = Gate(Routes(policies), _KEY_RING)
    request = jwt_request(two_policy_gate)
    write_request = make_request("/svc/pick-confirm/1/0", authorization=request.authorization)
    assert (
        decide(two_policy_gate, request).admitted and decide(two_policy_gate, request).reason is Reason.RATE
    )
    # Reads of a subject do not use up the rate of its writes.
    assert decide(two_policy_gate, write_request).admitted
    subject_limits = SubjectLimits(2)
    # The second request of "a" is not delayed, since "a" was evicted.
    delays = [subject_limits.take(name, 1.0, 1.0, 0.0) for name in ("a", "b", "c", "a")]
    assert delays == [0.0] * 4
    # A clock set back delays a subject by one burst at most.
    assert subject_limits.take("c", 1.0, 1.0, -100.0) <= 1.0


def test_a_flood_of_forged_tokens_does_not_block_valid_ones() -> None:
    gate = Gate(
        Routes([Policy("/svc/pick-confirm", methods=("POST",), floor=True), Policy("/svc")]),
        KeyRing.read(RING),
        Limits(checks=10.0),
    )
    valid_request = jwt_request(gate, "es1")
    assert decide(gate, valid_request).admitted
    forging_key = Key("es1", "ES256", (), private=parse_key(generate("x", "ES256", [], 0.0)).private)
    reasons = [
        decide(
            gate,
            make_request(authorization="Bearer " + formats.sign_jwt(forging_key, {"exp": NOW + number})),
            NOW + number / 1000,
        ).reason
        for number in range(50)
    ]
    assert set(reasons) == {Reason.SIGNATURE, Reason.BUSY}
    assert decide(gate, valid_request, NOW + 0.05).admitted  # from the cache
    write_token = formats.sign_jwt(ring_key(gate, "es1"), {"exp": NOW + 60, "sub": "new"})
    high_priority_write = make_request(
        "/svc/pick-confirm/1/0", method="POST", authorization=f"Bearer {write_token}"
    )
    assert decide(gate, high_priority_write, NOW + 0.06).admitted  # the reserved share of the budget
    later_forgery = decide(
        gate, make_request(authorization="Bearer " + formats.sign_jwt(forging_key, {"exp": NOW})), NOW + 0.07
    )
    assert later_forgery.reason in (Reason.SIGNATURE, Reason.BUSY)


def test_signature_budget_and_cache_are_bounded() -> None:
    budget = SignatureBudget(4.0)
    assert [budget.take(0.0, False) for _ in range(4)] == [True, True, True, False]
    assert budget.take(0.0, True) and not budget.take(0.0, True)
    assert budget.take(-5.0, False) is False  # a clock set back adds no budget
    signature_cache = SignatureCache(2, 2)
    for number in range(5):
        signature_cache.store(bytes([number]), True)
        signature_cache.store(bytes([number + 100]), False)
    assert signature_cache.lookup(bytes([4])) is True and signature_cache.lookup(bytes([104])) is False
    assert signature_cache.lookup(bytes([0])) is None


def test_replacing_the_ring_keeps_tokens_of_keys_that_remain() -> None:
    gate = make_gate()
    request = jwt_request(gate)
    assert decide(gate, request).admitted
    ring_with_retired_key = {
        "keys": [{**key, "retired": True} if key["id"] == "hs1" else key for key in RING["keys"]]
    }
    gate.replace_keys(KeyRing.read(ring_with_retired_key), gate.routes)
    assert decide(gate, request).reason is Reason.KEY_RETIRED
    gate.replace_keys(KeyRing.read(RING), gate.routes)
    assert decide(gate, request).admitted


@pytest.mark.parametrize(
    ("changed_fields", "message"),
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
def test_errors_of_invalid_keys_name_the_id_and_no_secret(
    changed_fields: dict[str, Any], message: str
) -> None:
    valid_key = {"id": "k", "algorithm": "HS256", "secret": SECRET}
    with pytest.raises(KeyRingError, match=message) as error:
        parse_key({**valid_key, **changed_fields})
    assert SECRET not in str(error.value)
    assert SECRET not in repr(parse_key(valid_key)) and SECRET not in repr(bytes.fromhex(SECRET)) + str(
        error.value
    )


def test_weak_and_slow_rsa_keys_are_refused() -> None:
    def pem(public_key: Any) -> str:
        return str(
            public_key.public_bytes(
                serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
            ).decode()
        )

    short_key = rsa.generate_private_key(65537, 1024).public_key()
    with pytest.raises(KeyRingError, match="1024 bits"):
        parse_key({"id": "k", "algorithm": "RS256", "public": pem(short_key)})
    numbers = rsa.generate_private_key(65537, 2048).public_key().public_numbers()
    large_exponent_key = rsa.RSAPublicNumbers((1 << 40) + 15, numbers.n).public_key()
    with pytest.raises(KeyRingError, match="exponent"):
        parse_key({"id": "k", "algorithm": "RS256", "public": pem(large_exponent_key)})


@pytest.mark.parametrize("seed", range(3))
def test_the_route_trie_agrees_with_a_linear_scan(seed: int) -> None:
    rng = random.Random(seed)
    prefixes = {"/" + "/".join(rng.choice("abc") for _ in range(rng.randint(1, 5))) for _ in range(80)}
    policies = [Policy(prefix) for prefix in prefixes]
    trie, reference = Routes(policies), LinearRoutes(policies)
    for _ in range(500):
        path = "/" + "/".join(rng.choice(["a", "b", "c", "aa"]) for _ in range(rng.randint(1, 6)))
        assert trie.find(path) is reference.find(path)
    with pytest.raises(ValueError, match="two policies"):
        Routes([Policy("/a"), Policy("/a/")])


def test_invalid_times_and_networks_raise_token_errors() -> None:
    for invalid_time in (True, "1", -1, 1e300, float("nan")):
        with pytest.raises(TokenError):
            formats._parse_time(invalid_time, "exp")
    with pytest.raises(TokenError):
        parse_networks("10.0.0.0/99")

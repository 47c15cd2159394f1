"""The inputs of the golden data on access, how they are made, and how what the program gives is described."""

from __future__ import annotations

import base64
import functools
import hashlib
import hmac
import json
import math
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.asymmetric.utils import decode_dss_signature

from stonecove.access import formats
from stonecove.access.gate import Decision, Gate, Limits, cookie_path
from stonecove.access.grants import Request, Token
from stonecove.access.keys import Key, KeyRing
from stonecove.access.reasons import status_of
from stonecove.access.revoked import Revoked
from stonecove.access.routes import Policy
from stonecove.operator_config.reader import read_text
from stonecove.server.access import build_routes

FOLDER = Path(__file__).parent / "golden" / "access"
NOW = 1_800_000_000
UNTIL = NOW + 60
HOST = "edge.example"
PATH = "/svc/guide-video/7f3a9c21e0b4d655/3"
OTHER_PATH = "/svc/guide-video/7f3a9c21e0b4d655/4"
URL = f"http://{HOST}{PATH}"
OBJECT = "guide-video/7f3a9c21e0b4d655"
SECRET = "00112233445566778899aabbccddeeff"


def load(name: str) -> Any:
    """Return what a golden JSON file holds."""
    return json.loads((FOLDER / name).read_text())


def finite(value: float) -> float | str:
    """Return a number as JSON can hold it."""
    return value if math.isfinite(value) else "infinity"


# -- describing what the program gives --


def describe_key(key: Key) -> dict[str, Any]:
    """Return the meaning of a key, with a digest in place of what is secret."""
    public = b""
    if key.public is not None:
        public = key.public.public_bytes(
            serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
        )
    return {
        "id": key.ident,
        "algorithm": key.algorithm,
        "formats": list(key.formats),
        "valid_from": finite(key.not_before),
        "signs_until": finite(key.not_after),
        "retired": key.retired,
        "secret_sha256": hashlib.sha256(key.secret).hexdigest() if key.secret else None,
        "public_sha256": hashlib.sha256(public).hexdigest() if public else None,
        "has_private_part": key.private is not None,
    }


def describe_token(token: Token) -> dict[str, Any]:
    """Return the meaning of a token as it was read, before its signature is checked."""
    grant = token.grant
    renewal = None
    if grant.renewal is not None:
        renewal = {
            "lifetime_s": grant.renewal.lifetime,
            "path_segments": grant.renewal.depth,
            "claims": json.loads(grant.renews),
        }
    return {
        "format": grant.format.value,
        "expires": finite(grant.expires),
        "not_before": grant.not_before,
        "issued": grant.issued,
        "subject": grant.subject,
        "issuer": grant.issuer,
        "audience": list(grant.audience),
        "resources": [{"kind": one.kind, "pattern": one.pattern} for one in grant.resources],
        "source_networks": [str(one) for one in grant.sources],
        "depots": list(grant.depots),
        "methods": list(grant.methods),
        "token_id": grant.token_id,
        "single_use": grant.once,
        "renewal": renewal,
        "key": token.key_id,
        "algorithm": token.algorithm,
        "signed_bytes": token.message.decode("latin-1"),
        "signature_hex": token.signature.hex(),
        "url_without_token": token.bare_url,
    }


def describe_policy(policy: Policy) -> dict[str, Any]:
    """Return the meaning of a policy; times in seconds."""
    return {
        "prefix": policy.prefix,
        "token_required": policy.token,
        "formats": [one.value for one in policy.formats],
        "audience": policy.audience,
        "issuer": policy.issuer,
        "clock_skew_s": policy.skew,
        "longest_validity_s": policy.longest,
        "grace_s": policy.grace,
        "single_use": policy.once,
        "depot_required": policy.depot,
        "requests_per_s": policy.rate,
        "burst": policy.burst,
        "concurrent": policy.concurrent,
        "methods": list(policy.methods),
        "edge_auth_parameter": policy.edge_name,
        "edge_auth_key": policy.edge_key,
        "most_valued": policy.floor,
    }


def describe_decision(decision: Decision, path: str) -> dict[str, Any]:
    """Return the meaning of a decision, with the status that a refused client is told."""
    return {
        "admitted": decision.good,
        "reason": decision.reason.value,
        "status": None if decision.good else status_of(decision.reason),
        "detail": decision.why,
        "subject": decision.subject,
        "key": decision.key_id,
        "retry_after_s": round(decision.wait, 6),
        "renewed_token": decision.cookie,
        "renewed_path": cookie_path(path, decision.cookie_depth) if decision.cookie else "",
        "counted_as_open_under": decision.enters,
        "single_use_id": decision.seen[0],
        "single_use_until": decision.seen[1],
    }


# -- reading the inputs --


@functools.cache
def ring() -> KeyRing:
    """Return the keys of the committed ring."""
    return KeyRing.read(load("key_ring.json"))


@functools.cache
def routes_of(name: str) -> tuple[Any, Limits]:
    """Return the policies and limits of a committed operator's file."""
    access = read_text((FOLDER / name).read_text(), name).operator.access
    assert access is not None
    return build_routes(access), Limits(access.seen, access.checks)


def request_of(table: dict[str, Any]) -> Request:
    """Return the request that a golden file tells."""
    return Request(
        table.get("method", "GET"),
        table.get("scheme", "http"),
        table.get("host", HOST),
        table["target"],
        table.get("client", "10.1.2.3"),
        table.get("depot", "edge-1"),
        table.get("authorization", ""),
        tuple((name, value) for name, value in table.get("cookies", [])),
    )


def play(case: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the decisions on a case's requests, one after the other at one gate."""
    routes, limits = routes_of(case.get("operator", "operator.cue"))
    gate = Gate(routes, ring(), limits)
    gate.revoked = Revoked()
    for one in case.get("revoked", []):
        before = one.get("issued_before", math.inf)
        gate.revoked.revoke(one["kind"], one["name"], before, one["until"], NOW)
    decisions = []
    for step in case["steps"]:
        request, now = request_of(step["request"]), step.get("now", NOW)
        decision = gate.check(request, step.get("object", OBJECT), now, step.get("steady", float(now)))
        decisions.append(describe_decision(decision, request.path))
        if "ended" in step:
            gate.over(decision, step["ended"] == "executed")
    counts = {name: count for name, count in sorted(gate.counts.items()) if count}
    return [*decisions, {"counts": counts}]


# -- making the inputs --


def _b64url(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def signed_elliptic(key: Key, message: bytes) -> bytes:
    """Return a JOSE signature without chance (RFC 6979), so that recording gives the same bytes again."""
    digest, size = (hashes.SHA384(), 48) if key.algorithm == "ES384" else (hashes.SHA256(), 32)
    signature = key.private.sign(message, ec.ECDSA(digest, deterministic_signing=True))
    return b"".join(part.to_bytes(size) for part in decode_dss_signature(signature))


def jwt_by_hand(key: Key, claims: dict[str, Any], **header: Any) -> str:
    """Return a JWS that no code of the program has made; for elliptic keys, without chance."""

    def part(table: dict[str, Any]) -> str:
        return _b64url(json.dumps(table, separators=(",", ":")).encode())

    message = f"{part({'alg': key.algorithm, 'kid': key.ident, **header})}.{part(claims)}"
    if key.algorithm.startswith("ES"):
        return f"{message}.{_b64url(signed_elliptic(key, message.encode()))}"
    name = {"HS256": "sha256", "HS384": "sha384", "HS512": "sha512"}.get(key.algorithm)
    made = hmac.digest(key.secret, message.encode(), name) if name else key.sign(message.encode())
    return f"{message}.{_b64url(made)}"


def cloudfront_elliptic(key: Key, policy: bytes) -> list[tuple[str, str]]:
    """Return the parameters of a custom policy that an elliptic key has signed, without chance."""
    digest = hashes.SHA256() if key.algorithm.endswith("256") else hashes.SHA1()
    signature = key.private.sign(policy, ec.ECDSA(digest, deterministic_signing=True))

    def text(data: bytes) -> str:
        return base64.b64encode(data).decode().translate(str.maketrans("+=/", "-_~"))

    pairs = [("Policy", text(policy)), ("Signature", text(signature)), ("Key-Pair-Id", key.ident)]
    return [*pairs, ("Hash-Algorithm", "SHA256")] if key.algorithm.endswith("256") else pairs


def _query(pairs: list[tuple[str, str]]) -> str:
    return "&".join(f"{name}={value}" for name, value in pairs)


def _as_cookies(pairs: list[tuple[str, str]]) -> list[list[str]]:
    return [[f"CloudFront-{name}", value] for name, value in pairs]


def _changed(text: str, at: int = -2) -> str:
    """Return the text with one character of its signature changed."""
    place = len(text) + at
    return text[:place] + ("A" if text[place] != "A" else "B") + text[place + 1 :]


def _at(query: str = "", path: str = PATH, **more: Any) -> dict[str, Any]:
    return {"target": f"{path}?{query}" if query else path, **more}


def _case(name: str, *steps: dict[str, Any], **more: Any) -> dict[str, Any]:
    return {"name": name, **more, "steps": list(steps)}


def _one(name: str, request: dict[str, Any], now: int = NOW, **more: Any) -> dict[str, Any]:
    return _case(name, {"request": request, "now": now}, **more)


def cloudfront_cases() -> list[dict[str, Any]]:
    """Return requests with CloudFront's signed URLs and cookies."""
    keys, wide = ring().keys, f"http://{HOST}/svc/guide-video/*"
    canned = formats.canned_policy(URL, UNTIL)
    custom = formats.custom_policy(wide, UNTIL, NOW - 5, "10.1.0.0/16")
    cases = []
    for ident in ("rsa-sha1", "rsa-sha256"):
        pairs = formats.sign_cloudfront(keys[ident], canned, True, UNTIL)
        query = _query(pairs)
        cases += [
            _one(f"{ident} canned url", _at(query)),
            _one(f"{ident} canned cookies", _at(cookies=_as_cookies(pairs))),
            _one(f"{ident} canned, another path", _at(query, OTHER_PATH)),
            _one(f"{ident} canned, another expiry", _at(query.replace(str(UNTIL), str(UNTIL + 1)))),
            _one(f"{ident} expired", _at(query), UNTIL + 6),
            _one(f"{ident} expired within the skew", _at(query), UNTIL + 5),
            _one(f"{ident} custom url", _at(_query(formats.sign_cloudfront(keys[ident], custom, False, 0)))),
        ]
    with_query = formats.canned_policy(f"{URL}?size=2", UNTIL)
    signed = _query(formats.sign_cloudfront(keys["rsa-sha1"], with_query, True, UNTIL))
    wide_query = _query(formats.sign_cloudfront(keys["rsa-sha1"], custom, False, 0))
    later = formats.custom_policy("*", UNTIL, NOW + 30)
    for ident in ("ec-sha1", "ec-sha256"):
        pairs = cloudfront_elliptic(keys[ident], custom)
        cases += [
            _one(f"{ident} custom url", _at(_query(pairs))),
            _one(f"{ident} custom cookies", _at(cookies=_as_cookies(pairs))),
        ]
    return [
        *cases,
        _one("with a query of its own", _at(f"size=2&{signed}")),
        _one("its query is changed", _at(f"size=3&{signed}")),
        _one("custom, another object", _at(wide_query, "/svc/item-image/1/0")),
        _one("custom, another client", _at(wide_query, client="192.0.2.7")),
        _one("not yet", _at(_query(formats.sign_cloudfront(keys["rsa-sha1"], later, False, 0)))),
        _one("unknown key", _at(wide_query.replace("Id=rsa-sha1", "Id=nobody"))),
        _one("key of another use", _at(wide_query.replace("Id=rsa-sha1", "Id=hs256"))),
        _one("key of another algorithm", _at(wide_query.replace("Id=rsa-sha1", "Id=ec-sha256"))),
        _one("signature is changed", _at(wide_query.replace("Signature=", "Signature=AAAA"))),
        _one("both Policy and Expires", _at(f"{wide_query}&Expires=1")),
        _one("Policy twice", _at(f"{wide_query}&Policy=AAAA")),
        _one("no signature", _at("Policy=AAAA&Key-Pair-Id=rsa-sha1")),
        _one("base64 that can't be read", _at("Policy=%2&Signature=AAAA&Key-Pair-Id=rsa-sha1")),
        _one("no expiry", _at("Expires=soon&Signature=AAAA&Key-Pair-Id=rsa-sha1")),
        _one("another hash", _at(f"{wide_query}&Hash-Algorithm=MD5")),
    ]


def edge_auth_cases() -> list[dict[str, Any]]:
    """Return requests with Akamai's edge authorization tokens."""
    keys, cases = ring().keys, []
    for ident in ("edge-sha256", "edge-sha1", "edge-md5"):
        made = formats.sign_edge_auth(keys[ident], UNTIL, acl="/svc/*!/other", data=f"kid:{ident}")
        cases += [
            _one(f"{ident} acl", _at(f"hdnts={made}")),
            _one(f"{ident} cookie", _at(cookies=[["hdnts", made]])),
        ]
    key = keys["edge-sha256"]
    own = formats.sign_edge_auth(key, UNTIL, path=PATH, data="kid:edge-sha256")
    bound = formats.sign_edge_auth(
        key,
        UNTIL,
        "/svc/*",
        "",
        "10.1.0.0/16",
        NOW - 10,
        "picker-1",
        "kid:edge-sha256,depot:edge-1,jti:t-1,once:1",
    )
    future = formats.sign_edge_auth(key, UNTIL, acl="/svc/*", start=NOW + 30, data="kid:edge-sha256")
    named = formats.sign_edge_auth(key, UNTIL, acl="/svc/edge/*")
    return [
        *cases,
        _one("path of its own", _at(f"hdnts={own}")),
        _one("path of its own, another path", _at(f"hdnts={own}", OTHER_PATH)),
        _case(
            "bound to everything, then used again",
            {"request": _at(f"hdnts={bound}"), "ended": "executed"},
            {"request": _at(f"hdnts={bound}"), "now": NOW + 1},
        ),
        _one("bound, another client", _at(f"hdnts={bound}", client="192.0.2.7")),
        _one("bound, another depot", _at(f"hdnts={bound}", depot="edge-2")),
        _one("not yet", _at(f"hdnts={future}")),
        _one("expired", _at(f"hdnts={own}"), UNTIL + 6),
        _one("acl of another path", _at(f"hdnts={bound}", "/other/x")),
        _one("signature is changed", _at(f"hdnts={_changed(own).lower()}")),
        _one("without a key", _at(f"hdnts={named}")),
        _one("another parameter, the policy's key", _at(f"tok={named}", "/svc/edge/a/0")),
        _one("no hmac", _at("hdnts=exp=1~acl=/*")),
        _one("unknown field", _at("hdnts=exp=1~x=1~hmac=00")),
        _one("url in the token", _at("hdnts=exp=1~url=/svc~hmac=00")),
        _one("no hex", _at("hdnts=exp=1~hmac=zz")),
        _one("no time", _at("hdnts=exp=soon~hmac=00")),
    ]


def cdni_cases() -> list[dict[str, Any]]:
    """Return requests with URI Signing Packages (RFC 9246)."""
    keys, cases = ring().keys, []
    exact = _b64url(hashlib.sha256(URL.encode()).digest())
    claims = {"exp": UNTIL, "iat": NOW, "cdniv": 1, "sub": "picker-1", "cdniuc": f"hash:sha-256;{exact}"}
    for ident in ("hs256", "hs384", "hs512", "rs256", "rs384", "rs512", "es256", "es384"):
        text = jwt_by_hand(keys[ident], claims)
        cases.append(_one(f"{ident} hash of the url", _at(f"URISigningPackage={text}")))

    def package(**more: Any) -> dict[str, Any]:
        table = {"exp": UNTIL, "iat": NOW, "cdniuc": r"regex:http://edge\.example/svc/.*", **more}
        return _at(f"URISigningPackage={formats.sign_jwt(keys['hs256'], table)}")

    renewed = formats.sign_jwt(
        keys["hs256"], {**claims, "cdniuc": "regex:.*", "cdnistt": 1, "cdniets": 10, "cdnistd": 2}
    )
    once = package(jti="t-1")
    return [
        *cases,
        _one(
            "hash of another url",
            _at(cases[0]["steps"][0]["request"]["target"].partition("?")[2], OTHER_PATH),
        ),
        _one("expression", package()),
        _one("expression of another path", package(cdniuc=r"regex:http://edge\.example/other/.*")),
        _one("bound to a network", package(cdniip="10.1.0.0/16")),
        _one("bound to another network", package(cdniip="192.0.2.0/24")),
        _one("expired", package(exp=NOW - 6)),
        _one("not yet", package(nbf=NOW + 30)),
        _one("without expiry", package(exp=None)),
        _case("with an id, twice", {"request": once}, {"request": once, "now": NOW + 1}),
        _one("renewed cookie", _at(cookies=[["URISigningPackage", renewed]])),
        _one("unknown container", package(cdniuc="glob:x")),
        _one("expression that can't be read", package(cdniuc="regex:((")),
        _one("unknown critical claim", package(cdnicrit="cdnix")),
        _one("unknown version", package(cdniv=2)),
        _one("renewed without lifetime", package(cdnistt=1)),
        _one("renewed in another way", package(cdnistt=2)),
    ]


def bearer_cases() -> list[dict[str, Any]]:
    """Return requests with bearer tokens."""
    keys, cases = ring().keys, []
    base = {"exp": UNTIL, "iat": NOW, "sub": "picker-1", "res": ["/svc/*"]}

    def carried(text: str, path: str = PATH, **more: Any) -> dict[str, Any]:
        return _at("", path, authorization=f"Bearer {text}", **more)

    def told(path: str = PATH, key: str = "hs256", **claims: Any) -> dict[str, Any]:
        return carried(formats.sign_jwt(keys[key], {**base, **claims}), path)

    for ident in ("hs256", "hs384", "hs512", "rs256", "rs384", "rs512", "es256", "es384"):
        text = jwt_by_hand(keys[ident], base)
        cases += [
            _one(ident, carried(text)),
            _one(f"{ident} signature is changed", carried(_changed(text, -9))),
        ]
    good = told()["authorization"].partition(" ")[2]
    return [
        *cases,
        _one(
            "all that binds",
            told(net="10.1.0.0/16", depot=["edge-1"], mth=["GET"], jti="t", iss="i", aud="a"),
        ),
        _one("expired", told(exp=NOW - 6)),
        _one("not yet", told(nbf=NOW + 6)),
        _one("issued later", told(iat=NOW + 6)),
        _one("good for too long", told(exp=NOW + 3606)),
        _one("another resource", told(res=["/svc/other/*"])),
        _one("another method", carried(good, method="POST")),
        _one("methods of its own", told(mth=["HEAD"])),
        _one("another network", told(net="192.0.2.0/24")),
        _one("another depot", told(depot="edge-2")),
        _one("no depot where one is wanted", told("/svc/depot/a/0")),
        _one("no audience where one is wanted", told("/svc/issued/a/0")),
        _one("no issuer where one is wanted", told("/svc/issued/a/0", aud=["edge"])),
        _one("audience and issuer", told("/svc/issued/a/0", aud=["edge"], iss="depot-office")),
        _one("a format that is not taken", told("/svc/cloudfront/a/0")),
        _one("retired key", told(key="retired")),
        _one("key of later", told(key="later")),
        _one("unknown key", carried(jwt_by_hand(keys["hs256"], base, kid="nobody"))),
        _one("no key id", carried(jwt_by_hand(keys["hs256"], base, kid=None))),
        _one("another algorithm", carried(jwt_by_hand(keys["hs256"], base, alg="RS256"))),
        _one("no algorithm", carried(jwt_by_hand(keys["hs256"], base, alg="none"))),
        _one("unknown header", carried(jwt_by_hand(keys["hs256"], base, jku="http://x.example"))),
        _one("unknown claim", told(role="admin")),
        _one("text for once", told(once="yes")),
        _one("no expiry", told(exp=None)),
        _one("not a token", carried("x.y")),
        _one("base64 of another form", carried(f"{good}=")),
        _one("too long", carried("x" * 9000)),
        _one("no token", _at()),
        _one("another scheme", _at(authorization="Basic eDp5")),
        _one("path with a dot segment", carried(good, "/svc/../x")),
        _one("path with a needless encoding", carried(good, "/svc/%41/x")),
        _one("path without a policy", _at("", "/else/where")),
        _one("open path", _at("", "/svc/open/a/0")),
    ]


def sequence_cases() -> list[dict[str, Any]]:
    """Return requests whose outcome depends on those before, or on what is revoked."""
    keys = ring().keys

    def told(path: str, **claims: Any) -> dict[str, Any]:
        text = formats.sign_jwt(keys["hs256"], {"exp": UNTIL, "iat": NOW, "sub": "picker-1", **claims})
        return _at("", path, authorization=f"Bearer {text}")

    once, other = told("/svc/once/a/0", jti="one"), told("/svc/once/a/0", jti="two")
    single, late = told(PATH, once=True), told("/svc/grace/a/0")
    late_other = {**late, "target": "/svc/grace/b/0"}
    rate, open_ = told("/svc/rate/a/0"), told("/svc/open-requests/a/0")
    edge = formats.sign_edge_auth(keys["edge-sha256"], UNTIL, acl="/svc/*", data="kid:edge-sha256")
    forged = [told(PATH, jti=str(number)) for number in range(4)]
    for one in forged:
        one["authorization"] = _changed(one["authorization"])
    revoked = told(PATH, jti="t-1")
    return [
        _case(
            "used again after it ran, and after it surely did not",
            {"request": once, "ended": "executed"},
            {"request": once, "now": NOW + 1},
            {"request": other, "now": NOW + 1, "ended": "not executed"},
            {"request": other, "now": NOW + 2},
            {"request": other, "now": NOW + 3},
        ),
        _case("once by the token itself", {"request": single}, {"request": single, "now": NOW + 1}),
        _case(
            "memory of single-use tokens is full",
            *({"request": told(PATH, jti=str(number), once=True)} for number in range(5)),
            {"request": told("/svc/valued/a/0", jti="v", once=True)},
            operator="operator_small.cue",
        ),
        _case(
            "rate with a burst of two",
            *({"request": rate, "steady": steady} for steady in (100.0, 100.0, 100.0, 100.4, 100.5)),
        ),
        _case(
            "one open request",
            *({"request": open_, "ended": "executed"} for _ in range(2)),
            {"request": open_},
            {"request": open_, "ended": "executed"},
            {"request": open_},
        ),
        _case(
            "started object goes on after the expiry",
            {"request": late, "object": "a"},
            {"request": late, "object": "a", "now": UNTIL + 20},
            {"request": late_other, "object": "b", "now": UNTIL + 20},
            {"request": late, "object": "a", "now": UNTIL + 36},
        ),
        _case(
            "two tokens that say the same, and two that do not",
            {"request": _at(f"hdnts={edge}", cookies=[["hdnts", edge]])},
            {"request": {**_at(f"hdnts={edge}"), "authorization": rate["authorization"]}},
            {"request": _at(f"hdnts={edge}", cookies=[["hdnts", edge]] * 3)},
        ),
        _case(
            "too many signatures in a second",
            *({"request": one, "steady": 100.0} for one in (*forged, forged[0])),
            *({"request": told("/svc/valued/a/0", jti=ident), "steady": 100.0} for ident in ("v", "w")),
            operator="operator_slow.cue",
        ),
        *(
            _case(
                f"revoked {kind}",
                {"request": revoked},
                revoked=[{"kind": kind, "name": name, "until": UNTIL}],
            )
            for kind, name in (("key", "hs256"), ("subject", "picker-1"), ("token", "t-1"), ("token", "t-2"))
        ),
        *(
            _case(
                f"revoked subject, issued {name}",
                {"request": revoked},
                revoked=[{"kind": "subject", "name": "picker-1", "until": until, "issued_before": before}],
            )
            for name, before, until in (
                ("before", NOW + 1, UNTIL),
                ("later", NOW, UNTIL),
                ("before, and over", NOW + 1, NOW - 1),
            )
        ),
    ]


CASES = {
    "gate_cloudfront.json": cloudfront_cases,
    "gate_edge_auth.json": edge_auth_cases,
    "gate_cdni.json": cdni_cases,
    "gate_bearer.json": bearer_cases,
    "gate_sequences.json": sequence_cases,
}


def new_ring() -> dict[str, Any]:
    """Return a ring with a key of each algorithm; asymmetric ones are new each time."""
    from stonecove.access.keys import generate

    made = [
        generate(ident, algorithm, use, 0.0)
        for ident, algorithm, use in (
            ("rsa-sha1", "RSA-SHA1", ["cloudfront"]),
            ("ec-sha1", "ECDSA-SHA1", ["cloudfront"]),
            ("ec-sha256", "ECDSA-SHA256", ["cloudfront"]),
            ("es256", "ES256", ["bearer", "cdni"]),
            ("es384", "ES384", ["bearer", "cdni"]),
        )
    ]
    rsa, use = made[0]["private"], ["bearer", "cdni"]
    made += [{"id": "rsa-sha256", "algorithm": "RSA-SHA256", "use": ["cloudfront"], "private": rsa}]
    made += [
        {"id": f"rs{size}", "algorithm": f"RS{size}", "use": use, "private": rsa} for size in (256, 384, 512)
    ]
    made += [
        {
            "id": f"hs{size}",
            "algorithm": f"HS{size}",
            "use": use,
            "secret": SECRET * 2,
            "from": 1_000_000 + size,
        }
        for size in (512, 384)
    ]
    made += [{"id": "hs256", "algorithm": "HS256", "use": use, "secret": SECRET * 2, "from": 2_000_000}]
    made += [
        {"id": f"edge-{name}", "algorithm": f"HMAC-{name.upper()}", "use": ["edge-auth"], "secret": SECRET}
        for name in ("sha256", "sha1", "md5")
    ]
    public = serialization.load_pem_private_key(made[3]["private"].encode(), None).public_key()
    text = public.public_bytes(serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo)
    return {
        "keys": [
            *made,
            {"id": "verifies-only", "algorithm": "ES256", "public": text.decode()},
            {"id": "retired", "algorithm": "HS256", "secret": SECRET, "retired": True},
            {"id": "later", "algorithm": "HS256", "secret": SECRET, "from": NOW + 1000, "until": NOW + 2000},
        ]
    }

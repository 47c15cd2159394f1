"""Inputs of the golden data on access, and descriptions of the program's outputs under stable names."""

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
from stonecove.access.revoked import RevocationList
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


def load_golden(name: str) -> Any:
    """Return the contents of a golden JSON file."""
    return json.loads((FOLDER / name).read_text())


def json_number(value: float) -> float | str:
    """Return a number, or a string for infinity, which JSON cannot represent."""
    return value if math.isfinite(value) else "infinity"


# -- Descriptions of outputs --


def describe_key(key: Key) -> dict[str, Any]:
    """Return the description of a key, with digests in place of secrets."""
    public = b""
    if key.public is not None:
        public = key.public.public_bytes(
            serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
        )
    return {
        "id": key.ident,
        "algorithm": key.algorithm,
        "formats": list(key.formats),
        "valid_from": json_number(key.not_before),
        "signs_until": json_number(key.not_after),
        "retired": key.retired,
        "secret_sha256": hashlib.sha256(key.secret).hexdigest() if key.secret else None,
        "public_sha256": hashlib.sha256(public).hexdigest() if public else None,
        "has_private_part": key.private is not None,
    }


def describe_token(token: Token) -> dict[str, Any]:
    """Return the description of a parsed token, before its signature is verified."""
    grant = token.grant
    renewal = None
    if grant.renewal is not None:
        renewal = {
            "lifetime_s": grant.renewal.lifetime_s,
            "path_segments": grant.renewal.path_segments,
            "claims": json.loads(grant.next_claims_json),
        }
    return {
        "format": grant.format.value,
        "expires": json_number(grant.expires),
        "not_before": grant.not_before,
        "issued": grant.issued,
        "subject": grant.subject,
        "issuer": grant.issuer,
        "audience": list(grant.audience),
        "resources": [{"kind": resource.kind, "pattern": resource.pattern} for resource in grant.resources],
        "source_networks": [str(network) for network in grant.sources],
        "depots": list(grant.depots),
        "methods": list(grant.methods),
        "token_id": grant.token_id,
        "single_use": grant.once,
        "renewal": renewal,
        "key": token.key_id,
        "algorithm": token.algorithm,
        "signed_bytes": token.message.decode("latin-1"),
        "signature_hex": token.signature.hex(),
        "url_without_token": token.url_without_token,
    }


def describe_policy(policy: Policy) -> dict[str, Any]:
    """Return the description of a policy; times are in seconds."""
    return {
        "prefix": policy.prefix,
        "token_required": policy.token,
        "formats": [token_format.value for token_format in policy.formats],
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
    """Return the description of a decision, with the status that a refused client gets."""
    return {
        "admitted": decision.admitted,
        "reason": decision.reason.value,
        "status": None if decision.admitted else status_of(decision.reason),
        "detail": decision.log_detail,
        "subject": decision.subject,
        "key": decision.key_id,
        "retry_after_s": round(decision.retry_after_s, 6),
        "renewed_token": decision.cookie,
        "renewed_path": cookie_path(path, decision.cookie_path_segments) if decision.cookie else "",
        "counted_as_open_under": decision.concurrency_subject,
        "single_use_id": decision.single_use[0],
        "single_use_until": decision.single_use[1],
    }


# -- Reading the inputs --


@functools.cache
def golden_key_ring() -> KeyRing:
    """Return the committed key ring."""
    return KeyRing.read(load_golden("key_ring.json"))


@functools.cache
def load_routes(name: str) -> tuple[Any, Limits]:
    """Return the policies and limits of a committed operator file."""
    access = read_text((FOLDER / name).read_text(), name).operator.access
    assert access is not None
    return build_routes(access), Limits(access.seen, access.checks)


def parse_request(description: dict[str, Any]) -> Request:
    """Return a request from its description in a golden file."""
    return Request(
        description.get("method", "GET"),
        description.get("scheme", "http"),
        description.get("host", HOST),
        description["target"],
        description.get("client", "10.1.2.3"),
        description.get("depot", "edge-1"),
        description.get("authorization", ""),
        tuple((name, value) for name, value in description.get("cookies", [])),
    )


def run_case(case: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the decisions of one gate on the requests of a case, in order, and its counters."""
    routes, limits = load_routes(case.get("operator", "operator.cue"))
    gate = Gate(routes, golden_key_ring(), limits)
    gate.revoked = RevocationList()
    for entry in case.get("revoked", []):
        issued_before = entry.get("issued_before", math.inf)
        gate.revoked.revoke(entry["kind"], entry["name"], issued_before, entry["until"], NOW)
    decisions = []
    for step in case["steps"]:
        request, now = parse_request(step["request"]), step.get("now", NOW)
        decision = gate.check(request, step.get("object", OBJECT), now, step.get("steady", float(now)))
        decisions.append(describe_decision(decision, request.path))
        if "ended" in step:
            gate.finish_request(decision, step["ended"] == "executed")
    counts = {name: count for name, count in sorted(gate.counts.items()) if count}
    return [*decisions, {"counts": counts}]


# -- Generating the inputs --


def _b64url(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def sign_jose_ec(key: Key, message: bytes) -> bytes:
    """Return a deterministic JOSE signature (RFC 6979), so that recording is reproducible."""
    digest, size = (hashes.SHA384(), 48) if key.algorithm == "ES384" else (hashes.SHA256(), 32)
    signature = key.private.sign(message, ec.ECDSA(digest, deterministic_signing=True))
    return b"".join(part.to_bytes(size) for part in decode_dss_signature(signature))


def sign_jwt_independently(key: Key, claims: dict[str, Any], **header: Any) -> str:
    """Return a JWS made without the program's own signer; deterministic also for EC keys."""

    def encode_part(values: dict[str, Any]) -> str:
        return _b64url(json.dumps(values, separators=(",", ":")).encode())

    message = f"{encode_part({'alg': key.algorithm, 'kid': key.ident, **header})}.{encode_part(claims)}"
    if key.algorithm.startswith("ES"):
        return f"{message}.{_b64url(sign_jose_ec(key, message.encode()))}"
    digest_name = {"HS256": "sha256", "HS384": "sha384", "HS512": "sha512"}.get(key.algorithm)
    signature = (
        hmac.digest(key.secret, message.encode(), digest_name) if digest_name else key.sign(message.encode())
    )
    return f"{message}.{_b64url(signature)}"


def sign_cloudfront_ec(key: Key, policy: bytes) -> list[tuple[str, str]]:
    """Return the parameters of a custom policy, signed deterministically by an EC key."""
    digest = hashes.SHA256() if key.algorithm.endswith("256") else hashes.SHA1()
    signature = key.private.sign(policy, ec.ECDSA(digest, deterministic_signing=True))

    def encode(data: bytes) -> str:
        return base64.b64encode(data).decode().translate(str.maketrans("+=/", "-_~"))

    pairs = [("Policy", encode(policy)), ("Signature", encode(signature)), ("Key-Pair-Id", key.ident)]
    return [*pairs, ("Hash-Algorithm", "SHA256")] if key.algorithm.endswith("256") else pairs


def _query(pairs: list[tuple[str, str]]) -> str:
    return "&".join(f"{name}={value}" for name, value in pairs)


def _as_cookies(pairs: list[tuple[str, str]]) -> list[list[str]]:
    return [[f"CloudFront-{name}", value] for name, value in pairs]


def _with_changed_character(text: str, offset: int = -2) -> str:
    """Return the text with one character of its signature changed, at this offset from the end."""
    index = len(text) + offset
    return text[:index] + ("A" if text[index] != "A" else "B") + text[index + 1 :]


def _request(query: str = "", path: str = PATH, **fields: Any) -> dict[str, Any]:
    return {"target": f"{path}?{query}" if query else path, **fields}


def _case(name: str, *steps: dict[str, Any], **fields: Any) -> dict[str, Any]:
    return {"name": name, **fields, "steps": list(steps)}


def _single_step_case(name: str, request: dict[str, Any], now: int = NOW, **fields: Any) -> dict[str, Any]:
    return _case(name, {"request": request, "now": now}, **fields)


def cloudfront_cases() -> list[dict[str, Any]]:
    """Return requests with CloudFront's signed URLs and cookies."""
    keys, prefix_pattern = golden_key_ring().keys, f"http://{HOST}/svc/guide-video/*"
    canned = formats.canned_policy(URL, UNTIL)
    custom = formats.custom_policy(prefix_pattern, UNTIL, NOW - 5, "10.1.0.0/16")
    cases = []
    for key_id in ("rsa-sha1", "rsa-sha256"):
        pairs = formats.sign_cloudfront(keys[key_id], canned, True, UNTIL)
        query = _query(pairs)
        cases += [
            _single_step_case(f"{key_id} canned url", _request(query)),
            _single_step_case(f"{key_id} canned cookies", _request(cookies=_as_cookies(pairs))),
            _single_step_case(f"{key_id} canned, another path", _request(query, OTHER_PATH)),
            _single_step_case(
                f"{key_id} canned, another expiry", _request(query.replace(str(UNTIL), str(UNTIL + 1)))
            ),
            _single_step_case(f"{key_id} expired", _request(query), UNTIL + 6),
            _single_step_case(f"{key_id} expired within the skew", _request(query), UNTIL + 5),
            _single_step_case(
                f"{key_id} custom url",
                _request(_query(formats.sign_cloudfront(keys[key_id], custom, False, 0))),
            ),
        ]
    policy_with_query = formats.canned_policy(f"{URL}?size=2", UNTIL)
    signed_query = _query(formats.sign_cloudfront(keys["rsa-sha1"], policy_with_query, True, UNTIL))
    prefix_query = _query(formats.sign_cloudfront(keys["rsa-sha1"], custom, False, 0))
    future_policy = formats.custom_policy("*", UNTIL, NOW + 30)
    for key_id in ("ec-sha1", "ec-sha256"):
        pairs = sign_cloudfront_ec(keys[key_id], custom)
        cases += [
            _single_step_case(f"{key_id} custom url", _request(_query(pairs))),
            _single_step_case(f"{key_id} custom cookies", _request(cookies=_as_cookies(pairs))),
        ]
    return [
        *cases,
        _single_step_case("with a query of its own", _request(f"size=2&{signed_query}")),
        _single_step_case("its query is changed", _request(f"size=3&{signed_query}")),
        _single_step_case("custom, another object", _request(prefix_query, "/svc/item-image/1/0")),
        _single_step_case("custom, another client", _request(prefix_query, client="192.0.2.7")),
        _single_step_case(
            "not yet", _request(_query(formats.sign_cloudfront(keys["rsa-sha1"], future_policy, False, 0)))
        ),
        _single_step_case("unknown key", _request(prefix_query.replace("Id=rsa-sha1", "Id=nobody"))),
        _single_step_case("key of another use", _request(prefix_query.replace("Id=rsa-sha1", "Id=hs256"))),
        _single_step_case(
            "key of another algorithm", _request(prefix_query.replace("Id=rsa-sha1", "Id=ec-sha256"))
        ),
        _single_step_case(
            "signature is changed", _request(prefix_query.replace("Signature=", "Signature=AAAA"))
        ),
        _single_step_case("both Policy and Expires", _request(f"{prefix_query}&Expires=1")),
        _single_step_case("Policy twice", _request(f"{prefix_query}&Policy=AAAA")),
        _single_step_case("no signature", _request("Policy=AAAA&Key-Pair-Id=rsa-sha1")),
        _single_step_case(
            "base64 that can't be read", _request("Policy=%2&Signature=AAAA&Key-Pair-Id=rsa-sha1")
        ),
        _single_step_case("no expiry", _request("Expires=soon&Signature=AAAA&Key-Pair-Id=rsa-sha1")),
        _single_step_case("another hash", _request(f"{prefix_query}&Hash-Algorithm=MD5")),
    ]


def edge_auth_cases() -> list[dict[str, Any]]:
    """Return requests with Akamai's edge authorization tokens."""
    keys, cases = golden_key_ring().keys, []
    for key_id in ("edge-sha256", "edge-sha1", "edge-md5"):
        token = formats.sign_edge_auth(keys[key_id], UNTIL, acl="/svc/*!/other", data=f"kid:{key_id}")
        cases += [
            _single_step_case(f"{key_id} acl", _request(f"hdnts={token}")),
            _single_step_case(f"{key_id} cookie", _request(cookies=[["hdnts", token]])),
        ]
    key = keys["edge-sha256"]
    path_bound = formats.sign_edge_auth(key, UNTIL, path=PATH, data="kid:edge-sha256")
    fully_bound = formats.sign_edge_auth(
        key,
        UNTIL,
        "/svc/*",
        "",
        "10.1.0.0/16",
        NOW - 10,
        "picker-1",
        "kid:edge-sha256,depot:edge-1,jti:t-1,once:1",
    )
    future_token = formats.sign_edge_auth(key, UNTIL, acl="/svc/*", start=NOW + 30, data="kid:edge-sha256")
    token_without_key = formats.sign_edge_auth(key, UNTIL, acl="/svc/edge/*")
    return [
        *cases,
        _single_step_case("path of its own", _request(f"hdnts={path_bound}")),
        _single_step_case("path of its own, another path", _request(f"hdnts={path_bound}", OTHER_PATH)),
        _case(
            "bound to everything, then used again",
            {"request": _request(f"hdnts={fully_bound}"), "ended": "executed"},
            {"request": _request(f"hdnts={fully_bound}"), "now": NOW + 1},
        ),
        _single_step_case("bound, another client", _request(f"hdnts={fully_bound}", client="192.0.2.7")),
        _single_step_case("bound, another depot", _request(f"hdnts={fully_bound}", depot="edge-2")),
        _single_step_case("not yet", _request(f"hdnts={future_token}")),
        _single_step_case("expired", _request(f"hdnts={path_bound}"), UNTIL + 6),
        _single_step_case("acl of another path", _request(f"hdnts={fully_bound}", "/other/x")),
        _single_step_case(
            "signature is changed", _request(f"hdnts={_with_changed_character(path_bound).lower()}")
        ),
        _single_step_case("without a key", _request(f"hdnts={token_without_key}")),
        _single_step_case(
            "another parameter, the policy's key", _request(f"tok={token_without_key}", "/svc/edge/a/0")
        ),
        _single_step_case("no hmac", _request("hdnts=exp=1~acl=/*")),
        _single_step_case("unknown field", _request("hdnts=exp=1~x=1~hmac=00")),
        _single_step_case("url in the token", _request("hdnts=exp=1~url=/svc~hmac=00")),
        _single_step_case("no hex", _request("hdnts=exp=1~hmac=zz")),
        _single_step_case("no time", _request("hdnts=exp=soon~hmac=00")),
    ]


def cdni_cases() -> list[dict[str, Any]]:
    """Return requests with URI Signing Packages (RFC 9246)."""
    keys, cases = golden_key_ring().keys, []
    url_hash = _b64url(hashlib.sha256(URL.encode()).digest())
    claims = {"exp": UNTIL, "iat": NOW, "cdniv": 1, "sub": "picker-1", "cdniuc": f"hash:sha-256;{url_hash}"}
    for key_id in ("hs256", "hs384", "hs512", "rs256", "rs384", "rs512", "es256", "es384"):
        token = sign_jwt_independently(keys[key_id], claims)
        cases.append(_single_step_case(f"{key_id} hash of the url", _request(f"URISigningPackage={token}")))

    def cdni_request(**extra_claims: Any) -> dict[str, Any]:
        token_claims = {
            "exp": UNTIL,
            "iat": NOW,
            "cdniuc": r"regex:http://edge\.example/svc/.*",
            **extra_claims,
        }
        return _request(f"URISigningPackage={formats.sign_jwt(keys['hs256'], token_claims)}")

    renewable_token = formats.sign_jwt(
        keys["hs256"], {**claims, "cdniuc": "regex:.*", "cdnistt": 1, "cdniets": 10, "cdnistd": 2}
    )
    single_use_request = cdni_request(jti="t-1")
    return [
        *cases,
        _single_step_case(
            "hash of another url",
            _request(cases[0]["steps"][0]["request"]["target"].partition("?")[2], OTHER_PATH),
        ),
        _single_step_case("expression", cdni_request()),
        _single_step_case(
            "expression of another path", cdni_request(cdniuc=r"regex:http://edge\.example/other/.*")
        ),
        _single_step_case("bound to a network", cdni_request(cdniip="10.1.0.0/16")),
        _single_step_case("bound to another network", cdni_request(cdniip="192.0.2.0/24")),
        _single_step_case("expired", cdni_request(exp=NOW - 6)),
        _single_step_case("not yet", cdni_request(nbf=NOW + 30)),
        _single_step_case("without expiry", cdni_request(exp=None)),
        _case(
            "with an id, twice",
            {"request": single_use_request},
            {"request": single_use_request, "now": NOW + 1},
        ),
        _single_step_case("renewed cookie", _request(cookies=[["URISigningPackage", renewable_token]])),
        _single_step_case("unknown container", cdni_request(cdniuc="glob:x")),
        _single_step_case("expression that can't be read", cdni_request(cdniuc="regex:((")),
        _single_step_case("unknown critical claim", cdni_request(cdnicrit="cdnix")),
        _single_step_case("unknown version", cdni_request(cdniv=2)),
        _single_step_case("renewed without lifetime", cdni_request(cdnistt=1)),
        _single_step_case("renewed in another way", cdni_request(cdnistt=2)),
    ]


def bearer_cases() -> list[dict[str, Any]]:
    """Return requests with bearer tokens."""
    keys, cases = golden_key_ring().keys, []
    base_claims = {"exp": UNTIL, "iat": NOW, "sub": "picker-1", "res": ["/svc/*"]}

    def request_with_token(token: str, path: str = PATH, **fields: Any) -> dict[str, Any]:
        return _request("", path, authorization=f"Bearer {token}", **fields)

    def bearer_request(path: str = PATH, key: str = "hs256", **claims: Any) -> dict[str, Any]:
        return request_with_token(formats.sign_jwt(keys[key], {**base_claims, **claims}), path)

    for key_id in ("hs256", "hs384", "hs512", "rs256", "rs384", "rs512", "es256", "es384"):
        token = sign_jwt_independently(keys[key_id], base_claims)
        cases += [
            _single_step_case(key_id, request_with_token(token)),
            _single_step_case(
                f"{key_id} signature is changed", request_with_token(_with_changed_character(token, -9))
            ),
        ]
    valid_token = bearer_request()["authorization"].partition(" ")[2]
    return [
        *cases,
        _single_step_case(
            "all that binds",
            bearer_request(net="10.1.0.0/16", depot=["edge-1"], mth=["GET"], jti="t", iss="i", aud="a"),
        ),
        _single_step_case("expired", bearer_request(exp=NOW - 6)),
        _single_step_case("not yet", bearer_request(nbf=NOW + 6)),
        _single_step_case("issued later", bearer_request(iat=NOW + 6)),
        _single_step_case("good for too long", bearer_request(exp=NOW + 3606)),
        _single_step_case("another resource", bearer_request(res=["/svc/other/*"])),
        _single_step_case("another method", request_with_token(valid_token, method="POST")),
        _single_step_case("methods of its own", bearer_request(mth=["HEAD"])),
        _single_step_case("another network", bearer_request(net="192.0.2.0/24")),
        _single_step_case("another depot", bearer_request(depot="edge-2")),
        _single_step_case("no depot where one is wanted", bearer_request("/svc/depot/a/0")),
        _single_step_case("no audience where one is wanted", bearer_request("/svc/issued/a/0")),
        _single_step_case("no issuer where one is wanted", bearer_request("/svc/issued/a/0", aud=["edge"])),
        _single_step_case(
            "audience and issuer", bearer_request("/svc/issued/a/0", aud=["edge"], iss="depot-office")
        ),
        _single_step_case("a format that is not taken", bearer_request("/svc/cloudfront/a/0")),
        _single_step_case("retired key", bearer_request(key="retired")),
        _single_step_case("key of later", bearer_request(key="later")),
        _single_step_case(
            "unknown key",
            request_with_token(sign_jwt_independently(keys["hs256"], base_claims, kid="nobody")),
        ),
        _single_step_case(
            "no key id", request_with_token(sign_jwt_independently(keys["hs256"], base_claims, kid=None))
        ),
        _single_step_case(
            "another algorithm",
            request_with_token(sign_jwt_independently(keys["hs256"], base_claims, alg="RS256")),
        ),
        _single_step_case(
            "no algorithm", request_with_token(sign_jwt_independently(keys["hs256"], base_claims, alg="none"))
        ),
        _single_step_case(
            "unknown header",
            request_with_token(sign_jwt_independently(keys["hs256"], base_claims, jku="http://x.example")),
        ),
        _single_step_case("unknown claim", bearer_request(role="admin")),
        _single_step_case("text for once", bearer_request(once="yes")),
        _single_step_case("no expiry", bearer_request(exp=None)),
        _single_step_case("not a token", request_with_token("x.y")),
        _single_step_case("base64 of another form", request_with_token(f"{valid_token}=")),
        _single_step_case("too long", request_with_token("x" * 9000)),
        _single_step_case("no token", _request()),
        _single_step_case("another scheme", _request(authorization="Basic eDp5")),
        _single_step_case("path with a dot segment", request_with_token(valid_token, "/svc/../x")),
        _single_step_case("path with a needless encoding", request_with_token(valid_token, "/svc/%41/x")),
        _single_step_case("path without a policy", _request("", "/else/where")),
        _single_step_case("open path", _request("", "/svc/open/a/0")),
    ]


def sequence_cases() -> list[dict[str, Any]]:
    """Return requests whose outcome depends on earlier requests or on revocations."""
    keys = golden_key_ring().keys

    def bearer_request(path: str, **claims: Any) -> dict[str, Any]:
        token = formats.sign_jwt(keys["hs256"], {"exp": UNTIL, "iat": NOW, "sub": "picker-1", **claims})
        return _request("", path, authorization=f"Bearer {token}")

    single_use, second_single_use = (
        bearer_request("/svc/once/a/0", jti="one"),
        bearer_request("/svc/once/a/0", jti="two"),
    )
    single_use_by_claim, grace_request = bearer_request(PATH, once=True), bearer_request("/svc/grace/a/0")
    other_grace_request = {**grace_request, "target": "/svc/grace/b/0"}
    rate_limited, concurrency_limited = (
        bearer_request("/svc/rate/a/0"),
        bearer_request("/svc/open-requests/a/0"),
    )
    edge_token = formats.sign_edge_auth(keys["edge-sha256"], UNTIL, acl="/svc/*", data="kid:edge-sha256")
    forged = [bearer_request(PATH, jti=str(number)) for number in range(4)]
    for request in forged:
        request["authorization"] = _with_changed_character(request["authorization"])
    revoked = bearer_request(PATH, jti="t-1")
    return [
        _case(
            "used again after it ran, and after it surely did not",
            {"request": single_use, "ended": "executed"},
            {"request": single_use, "now": NOW + 1},
            {"request": second_single_use, "now": NOW + 1, "ended": "not executed"},
            {"request": second_single_use, "now": NOW + 2},
            {"request": second_single_use, "now": NOW + 3},
        ),
        _case(
            "once by the token itself",
            {"request": single_use_by_claim},
            {"request": single_use_by_claim, "now": NOW + 1},
        ),
        _case(
            "memory of single-use tokens is full",
            *({"request": bearer_request(PATH, jti=str(number), once=True)} for number in range(5)),
            {"request": bearer_request("/svc/valued/a/0", jti="v", once=True)},
            operator="operator_small.cue",
        ),
        _case(
            "rate with a burst of two",
            *({"request": rate_limited, "steady": steady} for steady in (100.0, 100.0, 100.0, 100.4, 100.5)),
        ),
        _case(
            "one open request",
            *({"request": concurrency_limited, "ended": "executed"} for _ in range(2)),
            {"request": concurrency_limited},
            {"request": concurrency_limited, "ended": "executed"},
            {"request": concurrency_limited},
        ),
        _case(
            "started object goes on after the expiry",
            {"request": grace_request, "object": "a"},
            {"request": grace_request, "object": "a", "now": UNTIL + 20},
            {"request": other_grace_request, "object": "b", "now": UNTIL + 20},
            {"request": grace_request, "object": "a", "now": UNTIL + 36},
        ),
        _case(
            "two tokens that say the same, and two that do not",
            {"request": _request(f"hdnts={edge_token}", cookies=[["hdnts", edge_token]])},
            {"request": {**_request(f"hdnts={edge_token}"), "authorization": rate_limited["authorization"]}},
            {"request": _request(f"hdnts={edge_token}", cookies=[["hdnts", edge_token]] * 3)},
        ),
        _case(
            "too many signatures in a second",
            *({"request": request, "steady": 100.0} for request in (*forged, forged[0])),
            *(
                {"request": bearer_request("/svc/valued/a/0", jti=ident), "steady": 100.0}
                for ident in ("v", "w")
            ),
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
                revoked=[
                    {"kind": "subject", "name": "picker-1", "until": until, "issued_before": issued_before}
                ],
            )
            for name, issued_before, until in (
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


def generate_key_ring() -> dict[str, Any]:
    """Return a ring with a key of each algorithm; asymmetric keys are generated."""
    from stonecove.access.keys import generate

    keys = [
        generate(key_id, algorithm, use, 0.0)
        for key_id, algorithm, use in (
            ("rsa-sha1", "RSA-SHA1", ["cloudfront"]),
            ("ec-sha1", "ECDSA-SHA1", ["cloudfront"]),
            ("ec-sha256", "ECDSA-SHA256", ["cloudfront"]),
            ("es256", "ES256", ["bearer", "cdni"]),
            ("es384", "ES384", ["bearer", "cdni"]),
        )
    ]
    rsa_private_key, use = keys[0]["private"], ["bearer", "cdni"]
    keys += [
        {"id": "rsa-sha256", "algorithm": "RSA-SHA256", "use": ["cloudfront"], "private": rsa_private_key}
    ]
    keys += [
        {"id": f"rs{size}", "algorithm": f"RS{size}", "use": use, "private": rsa_private_key}
        for size in (256, 384, 512)
    ]
    keys += [
        {
            "id": f"hs{size}",
            "algorithm": f"HS{size}",
            "use": use,
            "secret": SECRET * 2,
            "from": 1_000_000 + size,
        }
        for size in (512, 384)
    ]
    keys += [{"id": "hs256", "algorithm": "HS256", "use": use, "secret": SECRET * 2, "from": 2_000_000}]
    keys += [
        {"id": f"edge-{name}", "algorithm": f"HMAC-{name.upper()}", "use": ["edge-auth"], "secret": SECRET}
        for name in ("sha256", "sha1", "md5")
    ]
    public_key = serialization.load_pem_private_key(keys[3]["private"].encode(), None).public_key()
    public_pem = public_key.public_bytes(
        serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    return {
        "keys": [
            *keys,
            {"id": "verifies-only", "algorithm": "ES256", "public": public_pem.decode()},
            {"id": "retired", "algorithm": "HS256", "secret": SECRET, "retired": True},
            {"id": "later", "algorithm": "HS256", "secret": SECRET, "from": NOW + 1000, "until": NOW + 2000},
        ]
    }
